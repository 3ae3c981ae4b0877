"""Output of results and percentiles for the scenarios."""

from __future__ import annotations

import json

from hdrh.histogram import HdrHistogram


def format_table(values: dict[str, object]) -> str:
    """Return a two-column table of names and values."""
    width = max(len(name) for name in values)
    return "\n".join(f"{name:<{width}}  {value}" for name, value in values.items())


def print_result(result: dict[str, object]) -> None:
    """Print the result as the last line of output, one JSON object."""
    print(json.dumps(result), flush=True)


def percentile_ms(seconds: list[float], percent: float) -> float:
    """Return a percentile in milliseconds, with three significant digits."""
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value in seconds:
        histogram.record_value(max(int(value * 1e6), 1))
    return round(histogram.get_value_at_percentile(percent) / 1000, 2)
