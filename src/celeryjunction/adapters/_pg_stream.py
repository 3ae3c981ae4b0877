"""Framing of PostgreSQL messages over one client socket.

`ClientStream` is an asyncio protocol with the interface of pg-mimic's ``PgStream``. It
buffers input and output itself: a message that has already arrived is returned without
waiting, output goes out in few large writes, and a disconnect of the client is noticed
at once, even while a statement runs.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Callable
from struct import Struct

from pg_mimic.stream import ConnectionClosed

from celeryjunction.errors import ErrorKind, ProxyError

MAX_STARTUP_BYTES = 10_000
"""Largest startup packet or login message, as in PostgreSQL."""

READ_AHEAD_BYTES = 256 * 1024
"""Unread input beyond which reading from the socket is paused."""

WRITE_CHUNK_BYTES = 64 * 1024
"""Size at which collected output is written to the socket."""

CLOSE_TIMEOUT_S = 5.0
"""Time that a client has to read the last output before its socket is aborted."""

HALF_CLOSE_TIMEOUT_S = 1.0
"""Time that `half_close` goes on reading, for requests that crossed the last output.
Closing a socket with unread input resets it, and the client would lose that output."""

_INT32 = Struct("!i").unpack_from
_INT32_PAIR = Struct("!ii").unpack_from


class ConnectionFault(Exception):
    """The client violated the protocol; the connection ends with this error."""

    def __init__(self, error: ProxyError) -> None:
        super().__init__(str(error))
        self.error = error

    @classmethod
    def violation(cls, reason: str) -> ConnectionFault:
        """Return a protocol violation (08P01)."""
        return cls(ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason}))

    @classmethod
    def too_large(cls, size: int, limit: int) -> ConnectionFault:
        """Return the error for a message of `size` bytes, above the limit (54000)."""
        details = {"size": size, "limit": limit}
        return cls(ProxyError(ErrorKind.STATEMENT_TOO_LARGE, details))


class ReadInterrupted(Exception):
    """`ClientStream.interrupt_read` ended a read that was waiting for input."""


class ClientStream(asyncio.Protocol):
    """One client socket.

    `max_message_bytes` and `accepted_tags`, the message types that are accepted, both
    change during login. `on_lost` is called once when the client has disconnected.
    """

    __slots__ = (
        "_available_bytes",
        "_buffer",
        "_chunks",
        "_closed",
        "_discarding",
        "_needed_bytes",
        "_on_connected",
        "_output",
        "_output_bytes",
        "_position",
        "_read_waiter",
        "_reading_paused",
        "_transport",
        "_write_waiter",
        "accepted_tags",
        "max_message_bytes",
        "on_lost",
    )

    def __init__(self, on_connected: Callable[[ClientStream], None]) -> None:
        self.max_message_bytes = MAX_STARTUP_BYTES
        self.accepted_tags = b""
        self.on_lost: Callable[[], None] | None = None
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._discarding = False
        self._buffer = b""
        self._position = 0
        self._chunks: list[bytes] = []
        self._available_bytes = 0
        self._needed_bytes = 0
        self._reading_paused = False
        self._read_waiter: asyncio.Future[None] | None = None
        self._output: list[bytes] = []
        self._output_bytes = 0
        self._write_waiter: asyncio.Future[None] | None = None

    @property
    def closed(self) -> bool:
        """True once the client has disconnected or the socket was closed here."""
        return self._closed

    @property
    def peer(self) -> str:
        """Address and port of the client."""
        name = self._transport.get_extra_info("peername") if self._transport else None
        return f"{name[0]}:{name[1]}" if name else "unknown"

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and announce the new connection."""
        self._transport = transport
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffer input; wake a waiting read when enough has arrived."""
        if self._discarding:
            return
        self._chunks.append(data)
        self._available_bytes += len(data)
        if self._read_waiter is not None:
            if (
                self._available_bytes >= self._needed_bytes
                and not self._read_waiter.done()
            ):
                self._read_waiter.set_result(None)
        elif self._available_bytes > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as closed."""
        self._mark_closed()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Mark the stream as closed."""
        self._mark_closed()

    def pause_writing(self) -> None:
        """Make `drain` wait."""
        if self._write_waiter is None:
            self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wake a waiting `drain`."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _mark_closed(self) -> None:
        if self._closed:
            return
        self._closed = True
        self.resume_writing()
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
        if self.on_lost is not None:
            self.on_lost()

    # Input.

    @property
    def buffered(self) -> int:
        """Number of bytes that arrived and were not consumed yet."""
        return self._available_bytes

    def interrupt_read(self) -> None:
        """Raise `ReadInterrupted` in a waiting read if no input has arrived."""
        waiter = self._read_waiter
        if waiter is not None and not waiter.done() and not self._available_bytes:
            waiter.set_exception(ReadInterrupted())

    def peek_tag(self) -> bytes:
        """Return the type of the next message, or ``b""`` if none has arrived yet."""
        if self._position < len(self._buffer):
            return self._buffer[self._position : self._position + 1]
        return self._chunks[0][:1] if self._chunks else b""

    async def read_message(self) -> tuple[bytes, bytes]:
        """Return the type and body of the next message.

        Raises `ConnectionFault` for an unexpected type or invalid length, and
        `ConnectionClosed` when the client has disconnected.
        """
        if self._closed:
            raise ConnectionClosed
        if self._available_bytes < 5:
            await self._fill(5)
        if len(self._buffer) - self._position < 5:
            self._join_chunks()
        start = self._position
        tag = self._buffer[start : start + 1]
        if tag not in self.accepted_tags:
            raise ConnectionFault.violation(f"unexpected message type {tag!r}")
        (length,) = _INT32(self._buffer, start + 1)
        self._check_length(length, 4, self.max_message_bytes)
        if self._available_bytes < length + 1:
            await self._fill(length + 1)
        return tag, self._consume(length + 1)[5:]

    async def read_startup_packet(self) -> tuple[int, bytes]:
        """Return the code and body of a packet without a type byte."""
        await self._fill(8)
        self._join_chunks()
        length, code = _INT32_PAIR(self._buffer, self._position)
        self._check_length(length, 8, MAX_STARTUP_BYTES)
        await self._fill(length)
        return code, self._consume(length)[8:]

    def _check_length(self, length: int, minimum: int, maximum: int) -> None:
        if length < minimum:
            raise ConnectionFault.violation(f"invalid message length {length}")
        if length > maximum:
            raise ConnectionFault.too_large(length, maximum)

    async def _fill(self, size: int) -> None:
        """Wait until `size` bytes have arrived."""
        while self._available_bytes < size:
            if self._closed:
                raise ConnectionClosed
            if self._reading_paused:
                self._reading_paused = False
                self._transport.resume_reading()
            self._needed_bytes = size
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None

    def _join_chunks(self) -> None:
        self._buffer = b"".join((self._buffer[self._position :], *self._chunks))
        self._position = 0
        self._chunks.clear()

    def _consume(self, size: int) -> bytes:
        if len(self._buffer) - self._position < size:
            self._join_chunks()
        start = self._position
        self._position = start + size
        self._available_bytes -= size
        return self._buffer[start : start + size]

    # Output.

    def write(self, data: bytes) -> None:
        """Buffer output until the next `flush` or `drain`."""
        self._output.append(data)
        self._output_bytes += len(data)

    def write_parts(self, parts: list[bytes], size: int) -> None:
        """Buffer output given as parts with a total of `size` bytes."""
        self._output += parts
        self._output_bytes += size

    @property
    def should_drain(self) -> bool:
        """True when enough output is buffered that it should be drained."""
        return self._output_bytes >= WRITE_CHUNK_BYTES

    def flush(self) -> None:
        """Write buffered output to the socket."""
        if self._output:
            data = b"".join(self._output)
            self._output.clear()
            self._output_bytes = 0
            if not self._closed:
                self._transport.write(data)

    async def drain(self) -> None:
        """Flush, and wait until the client has caught up with reading.

        Raises `ConnectionClosed` when the client has disconnected.
        """
        self.flush()
        if self._write_waiter is not None:
            await self._write_waiter
        if self._closed:
            raise ConnectionClosed

    async def start_tls(self, context: ssl.SSLContext, *, timeout: float) -> None:
        """Upgrade to TLS as the server; the handshake may take `timeout` seconds.

        Plain-text input that arrived before the handshake is a protocol violation,
        because it would be taken for encrypted input.
        """
        if self._available_bytes:
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
            self._mark_closed()
            raise ConnectionClosed from error
        if self._transport is None:
            raise ConnectionClosed

    def abort(self) -> None:
        """Close the socket at once."""
        self._closed = True
        self._transport.abort()

    async def half_close(self) -> None:
        """Send the last output and EOF, then discard input until the client closes.

        Waits at most `HALF_CLOSE_TIMEOUT_S`. Call `close` afterwards.
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
        self._read_waiter = asyncio.get_running_loop().create_future()
        await asyncio.wait({self._read_waiter}, timeout=HALF_CLOSE_TIMEOUT_S)
        self._read_waiter = None

    async def close(self) -> None:
        """Flush and close the socket; abort it after `CLOSE_TIMEOUT_S` if need be."""
        if not self._closed:
            self.flush()
            self._closed = True
            if self._transport.get_write_buffer_size():
                loop = asyncio.get_running_loop()
                loop.call_later(CLOSE_TIMEOUT_S, self._transport.abort)
        self._transport.close()
