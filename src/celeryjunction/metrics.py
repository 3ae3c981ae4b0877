"""Latency histograms and counters of one proxy.

Latencies are kept in HdrHistogram with two significant digits (an error of at most
1%). One histogram then takes 27 KB; with three digits it would take 188 KB, and 256
of them 48 MB of the 64 MB that control may use on a node.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

from celeryjunction.rank import Rank

MAX_LATENCY_US = 3_600_000_000
"""Longer latencies count as 1 hour."""
OTHER = "other"
"""Stands for all labels beyond the limit."""

_DIGITS = 2
_KEPT_BITS = 8  # Two significant digits need 256 steps for the first powers of two.
_PERCENTILES = {"p50_us": 50.0, "p99_us": 99.0, "p999_us": 99.9}


class _Latencies:
    """Latencies of one label set, in microseconds.

    `HdrHistogram.record_value` took about 1.5 µs, more than the rest of the record
    together. `record` counts in the histogram's array itself, by the same index, and
    `snapshot` fills in the totals.
    """

    __slots__ = ("_counts", "_histogram", "_max", "_total")

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, _DIGITS)
        self._counts = self._histogram.counts
        self._total = 0
        self._max = 1

    def record(self, value: int) -> None:
        """Count a value; it is limited to 1 to `MAX_LATENCY_US`."""
        if value > self._max:
            value = min(value, MAX_LATENCY_US)
            self._max = value
        elif value < 1:
            value = 1
        excess = value.bit_length() - _KEPT_BITS
        if excess > 0:
            value = (excess << (_KEPT_BITS - 1)) + (value >> excess)
        self._counts[value] += 1
        self._total += 1

    def snapshot(self) -> dict[str, int]:
        """Return count, maximum and percentiles; microseconds."""
        self._histogram.total_count = self._total
        wanted = list(_PERCENTILES.values())
        found = self._histogram.get_percentile_to_value_dict(wanted)
        values = {
            name: min(int(found[percentile]), self._max)
            for name, percentile in _PERCENTILES.items()
        }
        return {"count": self._total, **values, "max_us": self._max}


class Metrics:
    """Latencies by rank, customer and endpoint, and named counters, since the start.

    At most `max_latency_sets` and `max_counters` label sets are kept; further ones
    share a set whose labels are ``other``, so that no caller can fill the memory. The
    rank is kept in it, because there are only three.
    """

    __slots__ = ("_counters", "_latencies", "_max_counters", "_max_latency_sets")

    def __init__(
        self, *, max_latency_sets: int = 256, max_counters: int = 1024
    ) -> None:
        # By rank first: a list index is cheaper than hashing an enum member.
        self._latencies: list[dict[tuple[str, str], _Latencies]] = [{} for _ in Rank]
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._max_latency_sets = max_latency_sets
        self._max_counters = max_counters

    def record_latency(
        self, *, rank: Rank, customer: str, endpoint: str, seconds: float
    ) -> None:
        """Record the time that a statement took, from its arrival to its answer."""
        latencies = self._latencies[rank].get((customer, endpoint))
        if latencies is None:
            latencies = self._add_latencies(rank, customer, endpoint)
        latencies.record(int(seconds * 1_000_000))

    def _add_latencies(self, rank: Rank, customer: str, endpoint: str) -> _Latencies:
        if sum(map(len, self._latencies)) >= self._max_latency_sets:
            customer = endpoint = OTHER
        return self._latencies[rank].setdefault((customer, endpoint), _Latencies())

    def count(self, name: str, n: int = 1, **labels: str) -> None:
        """Add `n` to a counter. The name comes from the code, never from a caller."""
        key = (name, tuple(sorted(labels.items())) if labels else ())
        known = self._counters.get(key)
        if known is None and len(self._counters) >= self._max_counters:
            key = (name, tuple((label, OTHER) for label in sorted(labels)))
            known = self._counters.get(key)
        self._counters[key] = (known or 0) + n

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
            by_name = self._latencies[rank]
            for customer, endpoint in sorted(by_name):
                labels = {"customer": customer, "endpoint": endpoint}
                values = by_name[customer, endpoint].snapshot()
                yield {"rank": rank.label, **labels, **values}
