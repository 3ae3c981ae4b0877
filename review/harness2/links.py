"""A link of one machine that can be cut, as a proxy on loopback.

While it is cut, bytes are held up in both directions. As `DEPLOY.md` says, they are
lost if their sender resets the connection, and else arrive after the cut.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Link:
    """A proxy to one port. `on_sent` sees what the machine sends, before it passes."""

    def __init__(
        self, port: int, *, on_sent: Callable[[bytes], None] = lambda data: None
    ) -> None:
        self._target = port
        self._on_sent = on_sent
        self._passable = asyncio.Event()
        self._passable.set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    @property
    def address(self) -> str:
        """Address at which the machine reaches the other side."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def cut(self) -> None:
        """Hold up all bytes from now on."""
        self._passable.clear()

    def heal(self) -> None:
        """Let the bytes that were held up, and all others, pass."""
        self._passable.set()

    def close(self) -> None:
        """Stop listening and end all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.current_task())
        far_writer = None
        try:
            await self._passable.wait()
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
            async with asyncio.TaskGroup() as directions:
                directions.create_task(self._pass(reader, far_writer, self._on_sent))
                directions.create_task(
                    self._pass(far_reader, writer, lambda data: None)
                )
        except* (ConnectionError, OSError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            for side in (writer, far_writer):
                if side is not None:
                    side.transport.abort()

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        on_data: Callable[[bytes], None],
    ) -> None:
        """Pass bytes on; raises `ConnectionError` if their sender resets."""
        while data := await reader.read(1 << 16):
            on_data(data)
            if not self._passable.is_set():
                await self._hold(reader)
            writer.write(data)
            await writer.drain()
        await self._passable.wait()
        writer.write_eof()

    async def _hold(self, reader: asyncio.StreamReader) -> None:
        """Wait for the end of the cut; raises `ConnectionError` after a reset."""
        while not self._passable.is_set():
            error = reader.exception()
            if error is not None:
                raise ConnectionResetError from error
            await asyncio.sleep(0.01)
