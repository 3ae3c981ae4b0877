"""The stand-in's own framing of messages, so that faults of the proxy's show."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

MESSAGE_END = b"\r\n"


class StandinStream(asyncio.Protocol):
    """An accepted connection whose messages end with CR LF.

    `serve` is called with the stream when the connection is open, and `on_lost` when it
    has ended.
    """

    def __init__(self, serve: Callable[[StandinStream], None]) -> None:
        self._serve = serve
        self._reader = asyncio.StreamReader(limit=1 << 21)
        self._transport: asyncio.Transport | None = None
        self.on_lost: Callable[[], object] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to serve the connection."""
        self._transport = transport
        self._serve(self)

    def data_received(self, data: bytes) -> None:
        """Keep the data until it is read."""
        self._reader.feed_data(data)

    def connection_lost(self, error: Exception | None) -> None:
        """Wake a waiting read and call `on_lost`."""
        self._reader.feed_eof()
        self.on_lost()

    async def read_line(self) -> bytes | None:
        """Return the next message without its end; None if the connection ended."""
        try:
            message = await self._reader.readuntil(MESSAGE_END)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            return None
        return message[: -len(MESSAGE_END)]

    def write(self, data: bytes) -> None:
        """Send bytes; on a closed connection they are dropped."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        self._transport.close()

    def abort(self) -> None:
        """Close at once; bytes that are still buffered are lost."""
        self._transport.abort()
