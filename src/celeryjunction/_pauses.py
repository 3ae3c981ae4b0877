"""Detection of pauses of this process, whose times must not be taken for service times.

A process that was stopped for 15 s finds answers that seem to have taken 15 s. Taken
for measurements, they make all endpoints look slow and all work look long for several
seconds, in which the proxy leaves slots unused.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

PAUSE_THRESHOLD_S = 1.5
"""Beats come every 0.5 s; one that is later than this shows a pause."""


class PauseDetector:
    """Knows the last pause from regular beats. Times are monotonic seconds.

    Without any beat it reports no pauses.
    """

    __slots__ = ("_beat_at", "_ended_at")

    def __init__(self) -> None:
        self._beat_at: float | None = None
        self._ended_at = -inf

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "beat_at", self._beat_at
        yield "ended_at", self._ended_at

    def tick(self, now: float) -> None:
        """Note that the process runs."""
        if self._is_late(now):
            self._ended_at = now
        self._beat_at = now

    def overlaps_pause(self, started: float, now: float) -> bool:
        """Whether a pause fell between `started` and now.

        An answer may be handled before the first beat after the pause, so a beat that
        is overdue counts as well.
        """
        return started <= self._ended_at or self._is_late(now)

    def _is_late(self, now: float) -> bool:
        return self._beat_at is not None and now - self._beat_at > PAUSE_THRESHOLD_S
