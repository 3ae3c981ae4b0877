"""Admits large messages to be handled, as many at a time as memory allows."""

from __future__ import annotations

import asyncio
from collections import deque

LARGE_BYTES = 16_384
"""Smaller messages are not counted."""
COPIES = 5
"""Copies of a message while its statement runs: the line, its text and the item, the
frame or command, and the transport's buffer."""


class WorkGate:
    """Admits in order of arrival.

    A message that alone needs more than the limit is admitted when nothing else runs.
    """

    def __init__(self, limit: int, *, copies: int = COPIES) -> None:
        self._limit = limit
        self._copies = copies
        self._in_use = 0
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    @property
    def in_use(self) -> int:
        """Bytes that the admitted messages need."""
        return self._in_use

    async def acquire(self, size: int) -> int:
        """Wait until a message of `size` bytes is admitted.

        Returns what to pass to `release`.
        """
        need = size * self._copies
        if not self._waiting and self._fits(need):
            self._in_use += need
            return need
        future = asyncio.get_running_loop().create_future()
        entry = (need, future)
        self._waiting.append(entry)
        try:
            await future
        except BaseException:
            if future.done() and not future.cancelled():
                self.release(need)
            else:
                if entry in self._waiting:
                    self._waiting.remove(entry)
                self._admit()
            raise
        return need

    def release(self, need: int) -> None:
        """Return what `acquire` returned."""
        self._in_use -= need
        self._admit()

    def _fits(self, need: int) -> bool:
        return not self._in_use or self._in_use + need <= self._limit

    def _admit(self) -> None:
        while self._waiting:
            need, future = self._waiting[0]
            # A cancelled wait leaves the queue only when its task runs.
            if not future.cancelled() and not self._fits(need):
                return
            self._waiting.popleft()
            if not future.cancelled():
                self._in_use += need
                future.set_result(None)
