"""Streams of lines over TCP, for callers and endpoints alike."""

from __future__ import annotations

import asyncio
import socket
from collections import deque

MAX_LINE_BYTES = 1 << 20
"""Longest message that the platform's page allows."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 4000
"""With the probes, a silent connection is dropped about as soon as endpoints drop an
unreachable caller (3 s)."""


class LineTooLong(Exception):
    """The other side sent more than `MAX_LINE_BYTES` without an end of line."""


class LineStream(asyncio.Protocol):
    """A connection whose messages are lines that end with CR LF.

    `on_lost` is called once when the connection ends.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._lines: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._too_long = False
        self._transport: asyncio.Transport | None = None
        self.closed = False
        self.on_lost = _nothing

    @property
    def buffered(self) -> bool:
        """Whether bytes came that were not read as a line yet."""
        return bool(self._lines or self._buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Split what came into lines."""
        buffer = self._buffer
        buffer += data
        if b"\n" in data:
            *lines, rest = bytes(buffer).split(b"\n")
            self._lines.extend(line.removesuffix(b"\r") for line in lines)
            self._buffer = bytearray(rest)
        if len(self._buffer) > MAX_LINE_BYTES:
            self._too_long = True
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Close: nobody speaks on a half-closed connection."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake whoever waits."""
        self.closed = True
        self._drained.set()
        self._wake()
        self.on_lost()

    def pause_writing(self) -> None:
        """Make `drain` wait: the other side does not read."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Let `drain` go on."""
        self._drained.set()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def read_line(self) -> bytes | None:
        """Return the next line without its end; None when the connection ended.

        Raises `LineTooLong`.
        """
        while not self._lines:
            if self._too_long:
                raise LineTooLong
            if self.closed:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._lines.popleft()

    def write(self, data: bytes) -> None:
        """Send bytes; those for a closed connection are dropped."""
        if not self.closed and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the other side reads again."""
        await self._drained.wait()

    def close(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; bytes that were not delivered are lost."""
        if self._transport is not None:
            self._transport.abort()


def _nothing() -> None:
    pass


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
