"""History of proofs: which log position covers everything up to a past instant.

An entry states that everything acknowledged before an instant is at or before a log
position. A replica that has applied the position is therefore at most as stale as the
time since that instant. Only the local monotonic clock is used for this.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Generic, TypeVar

FINE_STEP_S = 0.01
FINE_LENGTH = 256
COARSE_STEP_S = 1.0
COARSE_LENGTH = 3600
"""About one entry per second for an hour, the longest staleness that a contract may
accept."""


P = TypeVar("P", int, tuple[int, int])
"""A log position: an entry number within one term, or a term and an entry number."""


class _Series(Generic[P]):
    """Entries of (instant, log position), thinned out to about one per `step_s`.

    A new entry replaces the newest one if their positions are equal or if less than
    `step_s` seconds have passed since the entry before it.
    """

    __slots__ = ("_entries", "_step_s")

    def __init__(self, *, step_s: float, length: int) -> None:
        self._step_s = step_s
        self._entries: deque[tuple[float, P]] = deque(maxlen=length)

    def add(self, instant: float, position: P) -> None:
        entries = self._entries
        if (entries and entries[-1][1] == position) or (
            len(entries) > 1 and instant - entries[-2][0] < self._step_s
        ):
            entries[-1] = (instant, position)
        else:
            entries.append((instant, position))

    def first_position_from(self, instant: float) -> P | None:
        """Return the position of the first entry at or after `instant`."""
        index = bisect_left(self._entries, instant, key=lambda entry: entry[0])
        return self._entries[index][1] if index < len(self._entries) else None

    def last_instant_up_to(self, position: P) -> float | None:
        """Return the instant of the last entry at or before `position`.

        The first instant if all entries are after `position`; None without any entry.
        """
        if not self._entries:
            return None
        index = bisect_right(self._entries, position, key=lambda entry: entry[1])
        return self._entries[max(index - 1, 0)][0]

    def reaches_position(self, position: P) -> bool:
        """Whether the entries go back to `position`."""
        return bool(self._entries) and self._entries[0][1] <= position

    def reaches_instant(self, instant: float) -> bool:
        """Whether the entries go back to `instant`."""
        return bool(self._entries) and self._entries[0][0] <= instant

    def clear(self) -> None:
        self._entries.clear()


class FreshnessHistory(Generic[P]):
    """Log positions of one term and the instants that they cover.

    Recent instants are recorded about every 10 ms, older ones about every second.
    Missing entries make results more conservative, never wrong.
    """

    __slots__ = ("_coarse", "_fine")

    def __init__(self) -> None:
        self._fine = _Series(step_s=FINE_STEP_S, length=FINE_LENGTH)
        self._coarse = _Series(step_s=COARSE_STEP_S, length=COARSE_LENGTH)

    def add(self, instant: float, position: P) -> None:
        """Record that `position` covers everything acknowledged before `instant`."""
        self._fine.add(instant, position)
        self._coarse.add(instant, position)

    def position_covering(self, instant: float) -> P | None:
        """Return the lowest position known to cover `instant` (monotonic seconds).

        None if no recorded instant is at or after `instant`.
        """
        series = self._fine if self._fine.reaches_instant(instant) else self._coarse
        return series.first_position_from(instant)

    def last_covered_instant(self, position: P) -> float | None:
        """Return the latest recorded instant that `position` covers.

        For a position older than the history the result is the history's first instant,
        so the time since the true instant is at least the time since the result. None
        without any entry.
        """
        series = self._fine if self._fine.reaches_position(position) else self._coarse
        return series.last_instant_up_to(position)

    def clear(self) -> None:
        """Remove all entries; positions of different terms cannot be compared."""
        self._fine.clear()
        self._coarse.clear()
