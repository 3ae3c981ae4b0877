"""Estimates how many slots of an endpoint other VMs use, from old status answers.

Answers one load: many VMs choose endpoints by values that are many service times old.
The statements that such a value counted have ended, so an estimate weighs a single
value by its age: within about one service time it falls back to the mean of the values
of the last seconds. The mean stays useful, since it shows lasting differences, such as
the writes of all VMs at the primary.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import exp, inf

MEAN_S = 3.0
"""Time constant of the mean: some statuses, which come every 0.7 s, but not so many
that the mean lags behind a burst of some seconds."""
MAX_AGE_S = 10.0
"""The mean of an endpoint without a status for this long is no longer used."""
FORGOTTEN = 5.0
"""Age of a value, in service times, from which on it only counts in the mean: less than
1% of its deviation would be left."""


class LoadEstimate:
    """Slots of one endpoint that other VMs use; times are seconds of one clock.

    ```python
    load = LoadEstimate()
    load.record_status(3, at=10.0)
    load.busy_elsewhere(10.0, service_s=0.02)  # 3.0
    ```
    """

    __slots__ = ("_at", "_deviation", "_mean")

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0
        """Difference of the last value from the mean."""
        self._at = -inf
        """Time of the last value."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "mean", round(self._mean, 2)
        yield "at", self._at

    def record_status(self, busy: float, *, at: float) -> None:
        """Record the slots that others used at `at`; a known status has no effect.

        `busy` may be negative, because the own statements that are subtracted were
        counted at another moment than the busy slots. Cutting it off would make the
        mean too high.
        """
        if at <= self._at:
            return
        weight = 1.0 - exp((self._at - at) / MEAN_S)
        self._mean += weight * (busy - self._mean)
        self._deviation, self._at = busy - self._mean, at

    def busy_elsewhere(self, now: float, *, service_s: float) -> float:
        """Return the slots that other VMs are expected to use at `now`."""
        age_s = now - self._at
        if age_s > MAX_AGE_S:
            return 0.0
        busy = self._mean
        if age_s < FORGOTTEN * service_s:
            busy += self._deviation * exp(-age_s / service_s)
        return busy if busy > 0.0 else 0.0
