"""A loopback proxy that injects faults of a link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class FaultProxy:
    """A loopback proxy to one port that injects faults in either direction."""

    def __init__(self, port: Callable[[], int]) -> None:
        self._target = port
        self.delay_s = 0.0
        self.blocked: set[str] = set()
        """Directions (``up``, ``down``) in which bytes are withheld."""
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def block(self, *directions: str) -> None:
        """Withhold the bytes of these directions until `unblock`."""
        self.blocked = set(directions)
        self._unblocked.clear()

    def unblock(self) -> None:
        """Forward all bytes again, including the withheld ones."""
        self.blocked.clear()
        self._unblocked.set()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self._target()
            )
        except OSError:
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(up_writer)
        await asyncio.gather(
            self._pump("up", reader, up_writer), self._pump("down", up_reader, writer)
        )
        self._writers -= {writer, up_writer}

    async def _pump(
        self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.blocked:
                    await self._unblocked.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()
