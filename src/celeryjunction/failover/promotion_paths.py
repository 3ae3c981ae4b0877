"""Opens connections to the promotion call, before anything is paused for a promotion.

A call over a connection on which the platform doesn't answer could arrive after that of
the next holder. A VM that got no answer once leaves the right to promote to the others
until it gets one.

    paths = PromotionPaths(promoter)
    path = await paths.take()
    if path is not None and await path.confirm():
        await path.promote(request)
"""

from __future__ import annotations

import asyncio

from celeryjunction.replication.ports import Promoter, PromotionPath

OPEN_WAIT_S = 0.3
"""A VM waits so long for a connection; it goes on opening it for its next attempt."""
MAX_UNUSED_S = 2.0
"""A connection that was opened for an attempt and not used is closed after this."""


class PromotionPaths:
    """Connections to the promotion call for the attempts of one group."""

    __slots__ = ("_closing", "_opening", "_promoter", "_was_silent")

    def __init__(self, promoter: Promoter) -> None:
        self._promoter = promoter
        self._opening: asyncio.Task[PromotionPath | None] | None = None
        self._closing: asyncio.TimerHandle | None = None
        self._was_silent = False

    @property
    def was_silent(self) -> bool:
        """Whether the last attempt to open a connection got no answer yet."""
        return self._was_silent

    async def take(self) -> PromotionPath | None:
        """Return a connection on which the platform answered; None without one yet."""
        if self._opening is None:
            self._opening = asyncio.create_task(self._open())
        await asyncio.wait({self._opening}, timeout=OPEN_WAIT_S)
        opening, path = self._opening, None
        if opening is not None and opening.done():
            self._opening = None
            if self._closing is not None:
                self._closing.cancel()
            path = opening.result()
        self._was_silent = path is None
        return path

    async def _open(self) -> PromotionPath | None:
        path = await self._promoter.open_path()
        loop = asyncio.get_running_loop()
        self._closing = loop.call_later(MAX_UNUSED_S, self._discard, path)
        return path

    def _discard(self, path: PromotionPath | None) -> None:
        self._opening = None
        if path is not None:
            path.close()
