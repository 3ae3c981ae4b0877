"""Path from one machine to the store, which can be made to reset connections."""

from __future__ import annotations

import asyncio
from contextlib import suppress


class StorePath:
    """A proxy of one machine's connections to the store."""

    def __init__(self, store_address: str) -> None:
        host, _, port = store_address.rpartition(":")
        self._target = host, int(port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._turned_away = False

    async def start(self, host: str) -> str:
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def turn_away(self, turned_away: bool) -> None:
        """Reset this machine's connections from now on, or serve it again."""
        self._turned_away = turned_away
        if turned_away:
            for writer in list(self._writers):
                writer.transport.abort()

    async def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._turned_away:
            writer.transport.abort()
            return
        try:
            store_reader, store_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, store_writer}
        self._writers |= ends
        await asyncio.gather(_copy(reader, store_writer), _copy(store_reader, writer))
        self._writers -= ends


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(1 << 16):
            writer.write(data)
            await writer.drain()
    writer.close()
