"""Streams of lines over TCP, used towards clients and endpoints."""

from __future__ import annotations

import asyncio
import socket
from collections import deque

LINE_END = b"\r\n"
"""CR or LF alone is part of a field."""
MAX_LINE_BYTES = 1 << 20
"""Longest line that the platform's specification allows."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MS = 4000
"""Together with the keepalive probes, this drops a silent connection about as soon as
endpoints drop an unreachable client (3 s)."""


MAX_ERROR_CHARACTERS = 1000
"""Length of error texts, which may quote names of up to 1 MiB."""


class LineTooLong(Exception):
    """The other side sent a line of more than `MAX_LINE_BYTES`."""


class LineStream(asyncio.Protocol):
    """A connection whose messages are lines that end with CR LF.

    `on_lost` is called once when the connection ends.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._messages: deque[bytes] = deque()
        self._read_waiter: asyncio.Future[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._too_long = False
        self._transport: asyncio.Transport | None = None
        self.closed = False
        self.on_lost = _do_nothing

    @property
    def buffered(self) -> bool:
        """Whether input has arrived that was not read yet."""
        return bool(self._messages or self._buffer)

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the kernel has not taken yet."""
        return 0 if self.closed else self._transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket's options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_options(sock)

    def data_received(self, data: bytes) -> None:
        """Split the received data into lines."""
        buffer = self._buffer
        # The CR may be the last byte of the data before.
        start = max(len(buffer) - 1, 0)
        buffer += data
        if buffer.find(LINE_END, start) >= 0:
            *lines, rest = bytes(buffer).split(LINE_END)
            self._buffer = bytearray(rest)
            self._add_lines(lines)
        size = len(self._buffer)
        ends_with_cr = size == MAX_LINE_BYTES + 1 and self._buffer.endswith(b"\r")
        if size > MAX_LINE_BYTES and not ends_with_cr:
            self._refuse_input()
        self._wake_reader()

    def _add_lines(self, lines: list[bytes]) -> None:
        for line in lines:
            if len(line) > MAX_LINE_BYTES:
                self._refuse_input()
            if self._too_long:
                return
            self._messages.append(line)

    def _refuse_input(self) -> None:
        self._too_long = True
        self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Close the connection; half-closed connections are not supported."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Wake waiting reads and writes and call `on_lost`."""
        self.closed = True
        self._writable.set()
        self._wake_reader()
        self.on_lost()

    def pause_writing(self) -> None:
        """Make `drain` wait, because the other side is not reading."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Wake a waiting `drain`."""
        self._writable.set()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    async def read_line(self) -> bytes | None:
        """Return the next line without its line end; None if the connection ended.

        Raises `LineTooLong`.
        """
        while not self._messages:
            if self._too_long:
                raise LineTooLong
            if self.closed:
                return None
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        return self._messages.popleft()

    def take_line(self) -> bytes | None:
        """Return the next line if it has arrived; None otherwise."""
        return self._messages.popleft() if self._messages else None

    def write(self, data: bytes) -> None:
        """Send bytes; on a closed connection they are dropped."""
        if not self.closed and not self._transport.is_closing():
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait until the other side has caught up with reading."""
        await self._writable.wait()

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close at once; bytes that are still buffered are lost."""
        self.closed = True
        self._wake_reader()
        if self._transport is not None:
            self._transport.abort()


def one_line(text: str) -> bytes:
    """Encode an error text as a field of bounded length."""
    line = text[:MAX_ERROR_CHARACTERS].encode("ascii", "replace")
    return line.replace(b"\r", b" ").replace(b"\n", b" ")


def _do_nothing() -> None:
    pass


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
