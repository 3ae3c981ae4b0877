"""Learns how slow and how faulty each endpoint of a group is, compared with the others.

Answers two loads. An endpoint that is slow, or fails part of its statements, gets fewer
statements, and is tried again at bounded intervals. The times of a VM that is slow
itself are longer at all endpoints alike; as only the ratio between endpoints counts, it
blames none of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import exp

INITIAL_SERVICE_S = 0.02
"""Service time assumed before the first answer: the work of a typical statement."""
SERVICE_WEIGHT = 0.02
"""Weight of a new answer in the moving averages of times. With 0.1 the averages of
equal endpoints differ by a quarter, more than their load does, and most statements go
to the one that seems fastest."""
FIRST_ANSWERS = 20
"""Answers that are averaged with equal weights at first."""
STALE_S = 5.0
"""A value that no answer confirms decays as ``exp(-(age / STALE_S) ** 2)``, so that the
endpoint is tried again: after 9 s if it was 20 times slower than the others."""

RARE_S = 10.0
"""A sample that comes this long after the last one replaces the average, and one after
a tenth of it weighs a tenth. Otherwise an endpoint that gets one statement a second
because it was slow would need a minute to be used again."""
FRESH = 0.1
"""Age, as a fraction of `STALE_S`, up to which the decay, 1%, is left out."""


class FadingMean:
    """A moving average that returns to a neutral value without new samples.

    Times are seconds of one clock. A sample is averaged with the decayed value, so the
    first good answer after a long time is enough to use an endpoint again.

    ```python
    slowness = FadingMean(neutral=1.0, weight=0.02, now=10.0)
    slowness.record(4.0, now=10.0)
    slowness.value(10.0)  # 1.06
    slowness.value(30.0)  # 1.0
    ```
    """

    __slots__ = ("_at", "_neutral", "_value", "_weight")

    def __init__(self, *, neutral: float, weight: float, now: float) -> None:
        self._neutral = neutral
        self._weight = weight
        self._value = neutral
        self._at = now

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "value", round(self._value, 3)
        yield "at", self._at

    def record(self, sample: float, *, now: float) -> None:
        """Record a sample."""
        value = self.value(now)
        weight = max(self._weight, min((now - self._at) / RARE_S, 1.0))
        self.assume(value + weight * (sample - value), now=now)

    def assume(self, value: float, *, now: float) -> None:
        """Set the average, from which it decays or which further samples change."""
        self._value, self._at = value, now

    def value(self, now: float) -> float:
        """Return the average, decayed by the time since the last sample."""
        stale = (now - self._at) / STALE_S
        if stale < FRESH:
            return self._value
        return self._neutral + (self._value - self._neutral) * exp(-stale * stale)


class GroupTimes:
    """Mean answer times of a group's endpoints, in total and by kind, in seconds.

    Endpoints are compared by the ratio to the mean of the same kind. The primary runs
    other statements than the replicas, and would otherwise seem slow or fast because
    of its statements.
    """

    __slots__ = ("_by_kind", "_total")

    def __init__(self) -> None:
        self._total = (1, INITIAL_SERVICE_S)
        self._by_kind: dict[tuple[int, bool], tuple[int, float]] = {}
        """Number of answers and their mean time."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "mean_s", round(self.mean_s, 4)

    @property
    def mean_s(self) -> float:
        """Mean time of all statements."""
        return self._total[1]

    def record(self, kind: tuple[int, bool], seconds: float) -> float:
        """Record the time of a statement and return its ratio to the mean.

        The kind is the priority and whether the statement had a choice of endpoints.
        """
        self._total = _average(self._total, seconds)
        average = _average(self._by_kind.get(kind, (0, 0.0)), seconds)
        self._by_kind[kind] = average
        return seconds / average[1] if average[1] > 0.0 else 1.0


def _average(average: tuple[int, float], seconds: float) -> tuple[int, float]:
    count, mean_s = average
    count += 1
    weight = 1 / count if count <= FIRST_ANSWERS else SERVICE_WEIGHT
    return count, mean_s + weight * (seconds - mean_s)
