"""Latency histograms and counters of one proxy.

Latencies are stored in HdrHistogram with two significant digits (an error of at most
1%), with which a histogram takes 27 KB. With three digits it would take 188 KB, and 256
of them 48 MB of the 64 MB that a node may use for control.
"""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from celeryjunction.rank import Rank

MAX_LATENCY_US = 3_600_000_000
"""Longer latencies are recorded as 1 hour."""
OTHER_LABEL = "other"
"""Label value that replaces those of all label sets beyond the limit."""

_SIGNIFICANT_DIGITS = 2
_MANTISSA_BITS = 8  # HdrHistogram has 256 sub-buckets for two significant digits.
_PERCENTILES = {"p50_us": 50.0, "p99_us": 99.0, "p999_us": 99.9}


class _LatencyHistogram:
    """Latency histogram of one label set, in microseconds.

    `HdrHistogram.record_value` takes about 1.5 µs, more than all other work to record a
    latency. `record` therefore increments the histogram's array directly, at the same
    index, and `snapshot` fills in the totals.
    """

    __slots__ = ("_counts", "_histogram", "_max", "_total")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
        self._counts = self._histogram.counts
        self._total = 0
        self._max = 1

    def record(self, value: int) -> None:
        """Count a value, clamped to the range from 1 to `MAX_LATENCY_US`."""
        if value > self._max:
            value = min(value, MAX_LATENCY_US)
            self._max = value
        elif value < 1:
            value = 1
        excess = value.bit_length() - _MANTISSA_BITS
        if excess > 0:
            value = (excess << (_MANTISSA_BITS - 1)) + (value >> excess)
        self._counts[value] += 1
        self._total += 1

    def snapshot(self) -> dict[str, int]:
        """Return the count, and the maximum and percentiles in microseconds."""
        self._histogram.total_count = self._total
        percentiles = list(_PERCENTILES.values())
        by_percentile = self._histogram.get_percentile_to_value_dict(percentiles)
        values = {
            name: min(int(by_percentile[percentile]), self._max)
            for name, percentile in _PERCENTILES.items()
        }
        return {"count": self._total, **values, "max_us": self._max}


class Metrics:
    """Latencies by rank, customer and endpoint, and named counters, since the start.

    At most `max_latency_sets` and `max_counters` label sets are stored. Further ones
    share a set whose labels are ``other``, so that clients cannot exhaust the memory.
    That latency set still has the rank, because there are only three.
    """

    __slots__ = ("_counters", "_latencies", "_max_counters", "_max_latency_sets")

    def __init__(
        self, *, max_latency_sets: int = 256, max_counters: int = 1024
    ) -> None:
        # Indexed by rank first: a list index is cheaper than hashing an enum member.
        self._latencies: list[dict[tuple[str, str], _LatencyHistogram]] = [
            {} for _ in Rank
        ]
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._max_latency_sets = max_latency_sets
        self._max_counters = max_counters

    def record_latency(
        self, *, rank: Rank, customer: str, endpoint: str, seconds: float
    ) -> None:
        """Record the time from the arrival of a statement to its answer."""
        latencies = self._latencies[rank].get((customer, endpoint))
        if latencies is None:
            latencies = self._add_latencies(rank, customer, endpoint)
        latencies.record(int(seconds * 1_000_000))

    def _add_latencies(
        self, rank: Rank, customer: str, endpoint: str
    ) -> _LatencyHistogram:
        if sum(map(len, self._latencies)) >= self._max_latency_sets:
            customer = endpoint = OTHER_LABEL
        return self._latencies[rank].setdefault(
            (customer, endpoint), _LatencyHistogram()
        )

    def count(self, name: str, n: int = 1, **labels: str) -> None:
        """Add `n` to a counter. The name must come from the code, not from a client."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        value = self._counters.get(key)
        if value is None and len(self._counters) >= self._max_counters:
            key = (name, tuple((label, OTHER_LABEL) for label in sorted(labels)))
            value = self._counters.get(key)
        self._counters[key] = (value or 0) + n

    def snapshot(self) -> dict[str, Any]:
        """Return all values as plain data.

        ``latency`` lists rank, customer, endpoint, count and p50, p99, p999 and
        maximum in microseconds; ``counters`` lists name, labels and value.
        """
        return {
            "latency": list(self._latency_rows()),
            "counters": [
                {"name": name, "labels": dict(labels), "value": value}
                for (name, labels), value in sorted(self._counters.items())
            ],
        }

    def _latency_rows(self) -> Iterator[dict[str, Any]]:
        for rank in Rank:
            by_labels = self._latencies[rank]
            for customer, endpoint in sorted(by_labels):
                labels = {"customer": customer, "endpoint": endpoint}
                values = by_labels[customer, endpoint].snapshot()
                yield {"rank": rank.label, **labels, **values}


def format_counters(counters: Mapping[str, object]) -> list[str]:
    """Return counters as lines of name, kind if there are several, and value."""
    lines = []
    for name, value in counters.items():
        if isinstance(value, dict):
            lines += [
                f"{name}{{kind={_quote(k)}}} {v}" for k, v in sorted(value.items())
            ]
        else:
            lines.append(f"{name} {value}")
    return lines


def format_metrics(metrics: Metrics) -> list[str]:
    """Return the counters and latencies as lines of name, labels and value."""
    snapshot = metrics.snapshot()
    lines = []
    for row in snapshot["counters"]:
        labels = ",".join(f"{k}={_quote(v)}" for k, v in row["labels"].items())
        lines.append(f"{row['name']}{{{labels}}} {row['value']}")
    for row in snapshot["latency"]:
        database = _quote(row["customer"])
        labels = f'rank="{row["rank"]}",database={database}'
        for name in ("count", "p50_us", "p99_us", "p999_us", "max_us"):
            lines.append(f"latency_{name}{{{labels}}} {row[name]}")
    return lines


def _quote(value: object) -> str:
    """Return a label's value as a JSON string in ASCII, as in log lines."""
    return json.dumps(str(value)).replace("\x7f", "\\u007f")
