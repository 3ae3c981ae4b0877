"""HTTP/1.1 over asyncio and httptools: the client, and the readiness server."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

CONNECT_RETRY_S = 0.7
"""Connecting takes one round trip of a few ms. The system resends a lost first packet
only after 1 s, so that another attempt is begun before then. The earlier ones go on,
since packets may wait for longer in a busy link."""
MAX_CONNECT_ATTEMPTS = 3
"""Attempts of a request at the same time; the oldest is given up for a further one."""
CHANNEL_CONNECT_TIMEOUT_S = 0.7
"""Time-out of the connection of a channel, whose owner tries again by itself."""
UNDELIVERED_LIMIT_MS = 5000
"""Bytes of a channel that stay unacknowledged are given up after this, also if the
process stands still. Shorter than the time after which a promotion call counts as lost
(7 s)."""
STALL_LIMIT_S = 1.0
"""A large response is not given up while parts of it arrive at most this far apart."""
LONGEST_TRANSFER_S = 30.0
"""Time that a large response may take beyond the request's time-out."""
SWITCHING_PROTOCOLS = 101
"""The only status below 200 that no other response to the request follows."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a close discards what was not delivered. Otherwise the
system goes on sending a request that was given up, for minutes."""


class HttpFailure(Exception):
    """No complete response arrived; the request may have been executed."""


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})
    """Header fields by name in lower case."""


class _Connection(asyncio.Protocol):
    """One connection, which carries one request at a time.

    A response that equals an earlier one, to another request, may be its second one:
    it is ignored.
    """

    def __init__(self) -> None:
        self.closed = False
        self.is_last_response = False
        """Whether the service said that it closes the connection after a response."""
        self._earlier: set[tuple[int, bytes]] = set()
        """Status and body of the responses that were returned."""
        self._ends_at_close = False
        """Whether a response has begun that ends with the connection."""
        self._response: asyncio.Future[HttpResponse] | None = None
        self._parser = HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._has_all_headers = False
        self._body = bytearray()
        self.on_data: Callable[[], None] = _ignore
        """Called when a part of a response has arrived."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._response is None:
            self.abort()
            return
        self.on_data()
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.abort()
            self._fail(f"bad response: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        if error is None and self._ends_at_close and not self._response.done():
            self.on_message_complete()
        self._fail("the connection was closed")

    def _fail(self, reason: str) -> None:
        if self._response is not None and not self._response.done():
            self._response.set_exception(HttpFailure(reason))

    # Called by the parser.

    def on_message_begin(self) -> None:
        self._headers = {}
        self._has_all_headers = False
        self._body = bytearray()

    def on_headers_complete(self) -> None:
        self._has_all_headers = True
        has_length = self._headers.keys() & {"content-length", "transfer-encoding"}
        self._ends_at_close = not has_length

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._has_all_headers:  # Otherwise it follows a chunked body.
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        self._ends_at_close = False
        status = self._parser.get_status_code()
        if status < 200 and status != SWITCHING_PROTOCOLS:
            return
        if not self._parser.should_keep_alive():
            self._transport.close()
            self.closed = self.is_last_response = True
        body = bytes(self._body)
        if (status, body) in self._earlier:
            return
        if self._response.done():
            self.abort()
            return
        self._earlier.add((status, body))
        self._response.set_result(HttpResponse(status, body, self._headers))

    @property
    def is_answered(self) -> bool:
        """Whether the last request was answered completely."""
        response = self._response
        if response is None or not response.done() or response.cancelled():
            return False
        return response.exception() is None

    async def request(self, data: bytes) -> HttpResponse:
        if self.closed:
            raise HttpFailure("the connection was closed")
        self._response = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return await self._response

    def discard_unsent(self) -> None:
        """Have the system discard what was not delivered when the process is killed.

        It gives up by itself what stays unacknowledged for `UNDELIVERED_LIMIT_MS`.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            limit = UNDELIVERED_LIMIT_MS
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)

    def close(self) -> None:
        """Close the connection after its response has come."""
        self.closed = True
        self._transport.close()

    def abort(self, reason: str = "") -> None:
        """Reset the connection, so that bytes not yet delivered are discarded.

        A request that waits fails with the reason.
        """
        self.closed = True
        if reason:
            self._fail(reason)
        self._ends_at_close = False
        sock = self._transport.get_extra_info("socket")
        if sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()


class HttpClient:
    """Sends requests to one address, each on a connection of its own.

    No response names its request. A service may answer twice, and on a connection that
    is used again, the second response would be taken for that of the next request.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._long_polls: set[_Connection] = set()
        self.calls: dict[str, int] = {}
        """Number of requests sent, by path without query."""
        self.bytes_sent = 0
        self.bytes_received = 0

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout: float,
        long_poll: bool = False,
        large: bool = False,
    ) -> HttpResponse:
        """Send a request; raises `HttpFailure` without a response in `timeout` seconds.

        With `large` a response that began in time may take longer while it arrives: on
        a narrow link, one that is given up would begin again from nothing.

        With `long_poll` the service may hold back the response on purpose; the request
        is aborted when another one gets no response, because its connection is then
        likely to be dead as well.
        """
        name = path.partition("?")[0]
        data = self._encode(method, path, body=body, headers=headers)
        connection: _Connection | None = None
        was_sent = False
        try:
            async with asyncio.timeout(timeout) as limit:
                connection = await self._connect()
                if large:
                    connection.on_data = _extend_while_arriving(limit)
                if long_poll:
                    self._long_polls.add(connection)
                was_sent = True
                response = await connection.request(data)
        except (TimeoutError, OSError) as error:
            phase = "no response" if was_sent else "no connection"
            self.abort_long_polls(f"aborted, as {name} got {phase}")
            raise HttpFailure(f"{name}: {phase}: {type(error).__name__}") from None
        finally:
            if connection is not None:
                self._long_polls.discard(connection)
                self._release(connection)
        self.bytes_received += len(response.body)
        return response

    def _encode(
        self,
        method: str,
        path: str,
        *,
        body: bytes,
        headers: Mapping[str, str] | None,
    ) -> bytes:
        """Return the bytes of a request, and count it."""
        name = path.partition("?")[0]
        self.calls[name] = self.calls.get(name, 0) + 1
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {self._host}:{self._port}",
            f"Content-Length: {len(body)}",
        ]
        if body:
            lines.append("Content-Type: application/json")
        lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        self.bytes_sent += len(data)
        return data

    async def open_channel(self) -> HttpChannel:
        """Open a connection for one caller; raises `HttpFailure` without one.

        The end of the process resets it as well.
        """
        try:
            async with asyncio.timeout(CHANNEL_CONNECT_TIMEOUT_S):
                connection = await self._open_connection()
        except (TimeoutError, OSError) as error:
            reason = f"no connection: {type(error).__name__}"
            raise HttpFailure(reason) from None
        connection.discard_unsent()
        return HttpChannel(self._encode, connection)

    async def _connect(self) -> _Connection:
        """Return the first connection of several attempts; raises `OSError`."""
        attempts: list[asyncio.Task[_Connection]] = []
        try:
            while True:
                if len(attempts) == MAX_CONNECT_ATTEMPTS:
                    _give_up(attempts.pop(0))
                attempts.append(asyncio.create_task(self._open_connection()))
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=CONNECT_RETRY_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if done:
                    first = next(attempt for attempt in attempts if attempt in done)
                    attempts.remove(first)
                    return first.result()
        finally:
            for attempt in attempts:
                _give_up(attempt)

    async def _open_connection(self) -> _Connection:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, self._host, self._port
        )
        return connection

    def abort_long_polls(self, reason: str = "") -> None:
        """End the requests whose responses the service holds back."""
        for connection in list(self._long_polls):
            connection.abort(reason)

    def close(self) -> None:
        """Close the connections that are open: those of long polls."""
        self.abort_long_polls()

    @staticmethod
    def _release(connection: _Connection) -> None:
        if connection.is_answered:
            connection.close()
        else:
            connection.abort()


def _ignore() -> None:
    pass


def _extend_while_arriving(limit: asyncio.Timeout) -> Callable[[], None]:
    """Return a function to call for each part that arrives before a time limit."""
    loop = asyncio.get_running_loop()
    latest = limit.when() + LONGEST_TRANSFER_S

    def extend() -> None:
        if not limit.expired():
            wanted = min(loop.time() + STALL_LIMIT_S, latest)
            limit.reschedule(max(limit.when(), wanted))

    return extend


def _give_up(attempt: asyncio.Task[_Connection]) -> None:
    """Cancel an attempt to connect, and close what it has opened meanwhile."""

    def close(ended: asyncio.Task[_Connection]) -> None:
        if not ended.cancelled() and ended.exception() is None:
            ended.result().abort()

    attempt.cancel()
    attempt.add_done_callback(close)


class HttpChannel:
    """A connection of one caller, who knows which requests it has carried.

    A request whose response equals that to an earlier one counts as unanswered.
    """

    def __init__(self, encode: Callable[..., bytes], connection: _Connection) -> None:
        self._encode = encode
        self._connection = connection

    @property
    def closed(self) -> bool:
        """Whether the connection was closed, by either side."""
        return self._connection.closed

    @property
    def is_last_response(self) -> bool:
        """Whether the service said that it closes the connection after a response."""
        return self._connection.is_last_response

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout: float,
    ) -> HttpResponse:
        """Send a request; raises `HttpFailure` without a response in `timeout` seconds.

        The connection is then reset, so that bytes not yet delivered are discarded.
        """
        data = self._encode(method, path, body=body, headers=headers)
        try:
            async with asyncio.timeout(timeout):
                return await self._connection.request(data)
        except TimeoutError:
            raise HttpFailure(f"{path}: no response: TimeoutError") from None
        finally:
            response = self._connection._response
            if response is None or not response.done() or response.cancelled():
                self.close()

    def close(self) -> None:
        """Reset the connection."""
        if not self.closed:
            self._connection.abort()


class HttpResponder(asyncio.Protocol):
    """Answers GET requests with what `answer` returns for their path."""

    def __init__(self, answer: Callable[[str], tuple[int, bytes]]) -> None:
        self._answer = answer
        self._parser = HttpRequestParser(self)
        self._path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request aborts the connection."""
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade):
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Forget the last request; called by the parser."""
        self._path = ""

    def on_url(self, part: bytes) -> None:
        """Add to the path; called by the parser for each chunk of it."""
        self._path += part.decode("latin-1")

    def on_message_complete(self) -> None:
        """Answer the request; called by the parser."""
        status, body = self._answer(self._path)
        reason = "OK" if status == 200 else "Service Unavailable"
        head = (
            f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: text/plain\r\n\r\n"
        )
        has_body = self._parser.get_method() != b"HEAD"
        self._transport.write(head.encode() + (body if has_body else b""))
        if not self._parser.should_keep_alive():
            self._transport.close()
