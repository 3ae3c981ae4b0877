"""History of proofs: which log position covers everything up to a past instant.

Each entry says that all that was acknowledged before an instant is at or before a log
position. A replica that has applied the position is therefore no staler than the time
since that instant, measured on the local monotonic clock alone.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from typing import Generic, TypeVar

FINE_STEP_S = 0.01
FINE_LENGTH = 256
COARSE_STEP_S = 1.0
COARSE_LENGTH = 3600
"""One entry a second for an hour, the longest staleness that a contract may accept."""


P = TypeVar("P", int, tuple[int, int])
"""A log position: a number within one term, or term and number."""


class _Series(Generic[P]):
    """Entries at least `step` seconds apart; the last one moves until then."""

    __slots__ = ("_entries", "_step")

    def __init__(self, *, step: float, length: int) -> None:
        self._step = step
        self._entries: deque[tuple[float, P]] = deque(maxlen=length)

    def add(self, instant: float, position: P) -> None:
        entries = self._entries
        if (entries and entries[-1][1] == position) or (
            len(entries) > 1 and instant - entries[-2][0] < self._step
        ):
            entries[-1] = (instant, position)
        else:
            entries.append((instant, position))

    def first_from(self, instant: float) -> P | None:
        index = bisect_left(self._entries, instant, key=lambda entry: entry[0])
        return self._entries[index][1] if index < len(self._entries) else None

    def last_at(self, position: P) -> float | None:
        if not self._entries:
            return None
        index = bisect_right(self._entries, position, key=lambda entry: entry[1])
        return self._entries[max(index - 1, 0)][0]

    def holds(self, position: P) -> bool:
        return bool(self._entries) and self._entries[0][1] <= position

    def covers(self, instant: float) -> bool:
        return bool(self._entries) and self._entries[0][0] <= instant

    def clear(self) -> None:
        self._entries.clear()


class FreshnessHistory(Generic[P]):
    """Log positions by the instant that they cover, within one term.

    Recent instants are kept every 10 ms, older ones every second. Leaving entries out
    only makes the answer more careful, never wrong.
    """

    __slots__ = ("_coarse", "_fine")

    def __init__(self) -> None:
        self._fine = _Series(step=FINE_STEP_S, length=FINE_LENGTH)
        self._coarse = _Series(step=COARSE_STEP_S, length=COARSE_LENGTH)

    def add(self, instant: float, position: P) -> None:
        """Note that `position` covers all that was acknowledged before `instant`."""
        self._fine.add(instant, position)
        self._coarse.add(instant, position)

    def position_covering(self, instant: float) -> P | None:
        """Return the lowest position known to cover `instant` (monotonic seconds)."""
        series = self._fine if self._fine.covers(instant) else self._coarse
        return series.first_from(instant)

    def last_covered_instant(self, position: P) -> float | None:
        """Return the latest known instant that `position` covers.

        A position older than the history gives the history's first instant, so the
        time since is then at least the result. None without any entry.
        """
        series = self._fine if self._fine.holds(position) else self._coarse
        return series.last_at(position)

    def clear(self) -> None:
        """Forget everything; positions of another term cannot be compared."""
        self._fine.clear()
        self._coarse.clear()
