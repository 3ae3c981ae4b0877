"""Framing of PostgreSQL messages over one client socket.

`ClientStream` is an asyncio protocol with the interface of pg-mimic's ``PgStream``. It
buffers both ways itself: a message that is already there is returned without waiting,
output leaves in few large writes, and the end of the client is seen at once, also
while a statement runs.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from struct import Struct

from pg_mimic.stream import ConnectionClosed

from celeryjunction.errors import ErrorKind, ProxyError

STARTUP_LIMIT = 10_000
"""Largest startup packet or login message in bytes, as in PostgreSQL."""

READ_AHEAD = 256 * 1024
"""Bytes of input that a client may send ahead before reading from it pauses."""

WRITE_CHUNK = 64 * 1024
"""Bytes of output that are collected before they are written."""

LINGER_S = 5.0
"""Seconds that a client has to read the last output before its socket is aborted."""

CROSSING_S = 1.0
"""Seconds that `finish` reads on for requests that crossed the last output. Closing a
socket with unread input resets it, and the client would lose that output."""

_INT32 = Struct("!i").unpack_from
_INT32_PAIR = Struct("!ii").unpack_from


class ConnectionFault(Exception):
    """The client broke the protocol; the connection ends after this error."""

    def __init__(self, error: ProxyError) -> None:
        super().__init__(str(error))
        self.error = error

    @classmethod
    def violation(cls, reason: str) -> ConnectionFault:
        """Return a protocol violation (08P01)."""
        return cls(ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason}))

    @classmethod
    def too_large(cls, size: int, limit: int) -> ConnectionFault:
        """Return the refusal of a message for its size in bytes (54000)."""
        details = {"size": size, "limit": limit}
        return cls(ProxyError(ErrorKind.STATEMENT_TOO_LARGE, details))


class ReadInterrupted(Exception):
    """`ClientStream.interrupt_read` ended a read that waited with no input."""


class ClientStream(asyncio.Protocol):
    """One client socket.

    `limit` is the largest message in bytes and `known_tags` the message types that are
    accepted; both change after login. `on_lost` is called once when the client is gone.
    """

    __slots__ = (
        "_available",
        "_buffer",
        "_chunks",
        "_closed",
        "_discarding",
        "_needed",
        "_on_connected",
        "_out",
        "_out_size",
        "_position",
        "_reader",
        "_reading_paused",
        "_transport",
        "_write_waiter",
        "known_tags",
        "limit",
        "on_lost",
    )

    def __init__(self, on_connected: Callable[[ClientStream], None]) -> None:
        self.limit = STARTUP_LIMIT
        self.known_tags = b""
        self.on_lost: Callable[[], None] | None = None
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._discarding = False
        self._buffer = b""
        self._position = 0
        self._chunks: list[bytes] = []
        self._available = 0
        self._needed = 0
        self._reading_paused = False
        self._reader: asyncio.Future[None] | None = None
        self._out: list[bytes] = []
        self._out_size = 0
        self._write_waiter: asyncio.Future[None] | None = None

    @property
    def closed(self) -> bool:
        """True once the client is gone."""
        return self._closed

    @property
    def peer(self) -> str:
        """Address and port of the client."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over a new socket."""
        self._transport = transport
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Keep input and wake the reader when it has what it needs."""
        if self._discarding:
            return
        self._chunks.append(data)
        self._available += len(data)
        if self._reader is not None:
            if self._available >= self._needed and not self._reader.done():
                self._reader.set_result(None)
        elif self._available > READ_AHEAD and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._lose()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the socket is closed."""
        self._lose()

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        if self._write_waiter is None:
            self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let `drain` go on."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _lose(self) -> None:
        if self._closed:
            return
        self._closed = True
        self.resume_writing()
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
        if self.on_lost is not None:
            self.on_lost()

    # Input.

    @property
    def buffered(self) -> int:
        """Bytes of input that arrived and were not yet taken."""
        return self._available

    def interrupt_read(self) -> None:
        """Raise `ReadInterrupted` in a read that waits with no input at hand."""
        reader = self._reader
        if reader is not None and not reader.done() and not self._available:
            reader.set_exception(ReadInterrupted())

    def next_tag(self) -> bytes:
        """Return the type of the next message if it arrived already, or nothing."""
        if self._position < len(self._buffer):
            return self._buffer[self._position : self._position + 1]
        return self._chunks[0][:1] if self._chunks else b""

    async def read_message(self) -> tuple[bytes, bytes]:
        """Return type and body of the next message.

        Raises `ConnectionFault` for unknown types and bad lengths and
        `ConnectionClosed` when the client is gone.
        """
        if self._closed:
            raise ConnectionClosed
        if self._available < 5:
            await self._fill(5)
        if len(self._buffer) - self._position < 5:
            self._join()
        start = self._position
        tag = self._buffer[start : start + 1]
        if tag not in self.known_tags:
            raise ConnectionFault.violation(f"unexpected message type {tag!r}")
        (length,) = _INT32(self._buffer, start + 1)
        self._check_length(length, 4, self.limit)
        if self._available < length + 1:
            await self._fill(length + 1)
        return tag, self._take(length + 1)[5:]

    async def read_startup_packet(self) -> tuple[int, bytes]:
        """Return code and body of an untyped packet."""
        await self._fill(8)
        self._join()
        length, code = _INT32_PAIR(self._buffer, self._position)
        self._check_length(length, 8, STARTUP_LIMIT)
        await self._fill(length)
        return code, self._take(length)[8:]

    def _check_length(self, length: int, least: int, limit: int) -> None:
        if length < least:
            raise ConnectionFault.violation(f"invalid message length {length}")
        if length > limit:
            raise ConnectionFault.too_large(length, limit)

    async def _fill(self, size: int) -> None:
        """Wait until `size` bytes have arrived."""
        while self._available < size:
            if self._closed:
                raise ConnectionClosed
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()
            self._needed = size
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None

    def _join(self) -> None:
        self._buffer = b"".join((self._buffer[self._position :], *self._chunks))
        self._position = 0
        self._chunks.clear()

    def _take(self, size: int) -> bytes:
        if len(self._buffer) - self._position < size:
            self._join()
        start = self._position
        self._position = start + size
        self._available -= size
        return self._buffer[start : start + size]

    # Output.

    def write(self, data: bytes) -> None:
        """Keep output until the next `flush` or `drain`."""
        self._out.append(data)
        self._out_size += len(data)

    def write_parts(self, parts: list[bytes], size: int) -> None:
        """Keep output that comes in parts of `size` bytes in all."""
        self._out += parts
        self._out_size += size

    @property
    def crowded(self) -> bool:
        """True when enough output is kept that it should be drained."""
        return self._out_size >= WRITE_CHUNK

    def flush(self) -> None:
        """Hand kept output to the socket."""
        if self._out:
            data = b"".join(self._out)
            self._out.clear()
            self._out_size = 0
            if not self._closed:
                self._transport.write(data)

    async def drain(self) -> None:
        """Flush, and wait while the client is slow to read."""
        self.flush()
        if self._write_waiter is not None:
            await self._write_waiter
        if self._closed:
            raise ConnectionClosed

    async def start_tls(self, context: ssl.SSLContext, *, timeout: float) -> None:
        """Upgrade to TLS as the server; the handshake may take `timeout` seconds.

        Input that came before the handshake would be taken for encrypted input, so it
        is a violation.
        """
        if self._available:
            raise ConnectionFault.violation("unencrypted data after SSLRequest")
        loop = asyncio.get_running_loop()
        try:
            self._transport = await loop.start_tls(
                self._transport,
                self,
                context,
                server_side=True,
                ssl_handshake_timeout=timeout,
            )
        except OSError as error:
            self._lose()
            raise ConnectionClosed from error
        if self._transport is None:
            raise ConnectionClosed

    def abort(self) -> None:
        """Close the socket at once."""
        self._closed = True
        self._transport.abort()

    async def finish(self) -> None:
        """Send the last output, then drop input until the client closes its side.

        It waits for `CROSSING_S` at most; `close` comes afterwards.
        """
        if self._closed:
            return
        self.flush()
        self._discarding = True
        if self._reading_paused:
            self._reading_paused = False
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._reader = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._reader}, timeout=CROSSING_S)
        self._reader = None

    async def close(self) -> None:
        """Flush and close the socket, at the latest after `LINGER_S`."""
        if not self._closed:
            self.flush()
            self._closed = True
            if self._transport.get_write_buffer_size():
                loop = asyncio.get_running_loop()
                loop.call_later(LINGER_S, self._transport.abort)
        self._transport.close()
