"""Log lines about requests, bounded in number so that load never floods the log."""

from __future__ import annotations

from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock

LINES_PER_S = 40
"""Lines about requests written each second; one takes about 0.1 ms of a core."""

_log = get_logger("requests")


class RequestLog:
    """Writes at most so many lines a second and counts those left out."""

    __slots__ = ("_clock", "_left", "_second", "_suppressed")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._left = LINES_PER_S
        self._suppressed = 0

    def write(self, event: str, /, **fields: object) -> None:
        """Write an event of one request, if this second has room for it."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second, self._left = second, LINES_PER_S
            if self._suppressed:
                _log.info("lines_suppressed", count=self._suppressed)
                self._suppressed = 0
        if self._left <= 0:
            self._suppressed += 1
            return
        self._left -= 1
        _log.info(event, **fields)
