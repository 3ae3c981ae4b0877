"""A loopback proxy to a service that can fall silent for a while."""

from __future__ import annotations

import asyncio


class SilentProxy:
    """Passes connections on to a port; while silent, nothing that is sent arrives.

    Connections that were open or opened during a silence stay without an answer and end
    with it.
    """

    def __init__(self, port: int) -> None:
        self._target = port
        self._silent = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._stuck: set[asyncio.StreamWriter] = set()
        self._awaited: list[tuple[bytes, asyncio.Event]] = []

    async def wait_for(self, text: bytes) -> None:
        """Wait until a piece that is passed on begins with a text."""
        arrived = asyncio.Event()
        self._awaited.append((text, arrived))
        await arrived.wait()

    @property
    def address(self) -> str:
        """Address of the listener."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def silence_for(self, seconds: float) -> None:
        """Pass nothing on for some seconds."""
        self._silent = True
        self._stuck |= self._writers
        asyncio.get_running_loop().call_later(seconds, self._end_silence)

    def _end_silence(self) -> None:
        self._silent = False
        for writer in self._stuck:
            writer.transport.abort()
        self._stuck.clear()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._silent:
            self._stuck.add(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(
                "127.0.0.1", self._target
            )
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, up_writer}
        self._writers |= ends
        await asyncio.gather(
            self._pass_on(reader, up_writer), self._pass_on(up_reader, writer)
        )
        self._writers -= ends

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1 << 16):
                if writer in self._stuck:
                    return
                for text, arrived in self._awaited:
                    if data.startswith(text):
                        arrived.set()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if writer not in self._stuck:
            writer.close()
