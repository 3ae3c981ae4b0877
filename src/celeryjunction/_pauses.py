"""Detection of pauses of this process, which must not be counted as service time.

After a process was stopped for 15 s, answers appear to have taken 15 s. Recorded as
samples, these times would make all endpoints look slow and all work look long for
several seconds, during which the proxy would leave slots unused.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

PAUSE_THRESHOLD_S = 1.5
"""Ticks come every 0.5 s; a longer interval than this is taken as a pause."""


class PauseDetector:
    """Detects pauses of the process by overdue ticks. Times are monotonic seconds.

    A tick is overdue `threshold_s` after the last one. Without any tick, no pause is
    reported.
    """

    __slots__ = ("_last_tick_at", "_pause_ended_at", "_threshold_s")

    def __init__(self, threshold_s: float = PAUSE_THRESHOLD_S) -> None:
        self._threshold_s = threshold_s
        self._last_tick_at: float | None = None
        self._pause_ended_at = -inf

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "last_tick_at", self._last_tick_at
        yield "pause_ended_at", self._pause_ended_at

    def resume(self, now: float) -> None:
        """Begin to tick again after a time without ticks, which was no pause."""
        self._last_tick_at = now

    def tick(self, now: float) -> float:
        """Record that the process is running; return how long it has just paused."""
        last, self._last_tick_at = self._last_tick_at, now
        if last is None or now - last <= self._threshold_s:
            return 0.0
        self._pause_ended_at = now
        return now - last

    def overlaps_pause(self, started_at: float, now: float) -> bool:
        """Return whether the time from `started_at` to `now` overlaps a pause.

        An answer may be handled before the first tick after a pause, so an overdue tick
        counts as a pause too.
        """
        return started_at <= self._pause_ended_at or self._is_tick_overdue(now)

    def _is_tick_overdue(self, now: float) -> bool:
        return (
            self._last_tick_at is not None
            and now - self._last_tick_at > self._threshold_s
        )
