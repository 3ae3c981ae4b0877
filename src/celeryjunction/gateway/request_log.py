"""Rate-limited log of single requests, so that load cannot flood the log."""

from __future__ import annotations

from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock

LINES_PER_S = 40
"""Lines written per second at most; each takes about 0.1 ms of CPU time."""

_log = get_logger("requests")


class RequestLog:
    """Writes at most `LINES_PER_S` lines per second and counts the suppressed ones."""

    __slots__ = ("_clock", "_remaining", "_second", "_suppressed")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._remaining = LINES_PER_S
        self._suppressed = 0

    def write(self, event: str, /, **fields: object) -> None:
        """Write an event of one request, unless this second's limit is reached."""
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second, self._remaining = second, LINES_PER_S
            if self._suppressed:
                _log.info("lines_suppressed", count=self._suppressed)
                self._suppressed = 0
        if self._remaining <= 0:
            self._suppressed += 1
            return
        self._remaining -= 1
        _log.info(event, **fields)
