"""HTTP/1.1 over asyncio and httptools: the one client, and the readiness server."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

from httptools import HttpParserError, HttpRequestParser, HttpResponseParser

MAX_IDLE_CONNECTIONS = 4
"""Idle connections that a client keeps."""
CONNECT_TIMEOUT_S = 0.7
"""A connection takes a round trip of a few ms; a lost first packet is sent again after
a second, by when another attempt is as good."""


class HttpFailure(Exception):
    """No whole response came; the request may have been executed."""


class HttpResponse(NamedTuple):
    """A whole response."""

    status: int
    body: bytes


class _Connection(asyncio.Protocol):
    """One connection; one request at a time."""

    def __init__(self) -> None:
        self.closed = False
        self._done: asyncio.Future[HttpResponse] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._done is None or self._done.done():
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._fail(f"bad response: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._fail("the connection was closed")

    def _fail(self, reason: str) -> None:
        if self._done is not None and not self._done.done():
            self._done.set_exception(HttpFailure(reason))

    # Called by the parser.

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        if not self._parser.should_keep_alive():
            self._transport.close()
            self.closed = True
        status = self._parser.get_status_code()
        self._done.set_result(HttpResponse(status, bytes(self._body)))

    async def request(self, data: bytes) -> HttpResponse:
        self._body = bytearray()
        self._parser = HttpResponseParser(self)
        self._done = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return await self._done

    def abort(self) -> None:
        """Reset the connection, so that bytes held up on the way are lost."""
        self.closed = True
        self._transport.abort()


class HttpClient:
    """Sends requests to one address over kept connections."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._waiting: set[_Connection] = set()
        self.calls: dict[str, int] = {}
        """Requests sent, by the first words of their path."""
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
        new_connection: bool = False,
        long_poll: bool = False,
    ) -> HttpResponse:
        """Send a request; raises `HttpFailure` without a response in `timeout` seconds.

        With `new_connection` the request opens a connection of its own. With
        `long_poll` the service may hold back the response on purpose; the request is
        aborted when another one gets no response, because its connection is then
        likely to be dead as well.
        """
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
        connection: _Connection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await self._connection(new_connection)
                if long_poll:
                    self._waiting.add(connection)
                response = await connection.request(data)
        except (TimeoutError, OSError) as error:
            self._abandon()
            raise HttpFailure(f"{name}: {type(error).__name__}") from None
        finally:
            if connection is not None:
                self._waiting.discard(connection)
                self._put_back(connection)
        self.bytes_received += len(response.body)
        return response

    async def _connection(self, new_connection: bool) -> _Connection:
        while self._idle and not new_connection:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                _Connection, self._host, self._port
            )
        return connection

    def _abandon(self) -> None:
        """Drop the connections that may have died with the one that gave nothing."""
        for connection in list(self._waiting):
            connection.abort()
        self.close()

    def _put_back(self, connection: _Connection) -> None:
        done = connection._done
        answered = done is not None and done.done() and not done.cancelled()
        if (
            answered
            and done.exception() is None
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            if not connection.closed:
                self._idle.append(connection)
        elif not connection.closed:
            connection.abort()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()


class HttpResponder(asyncio.Protocol):
    """Answers GET requests from `answer`, which gets the path."""

    def __init__(self, answer: Callable[[str], tuple[int, bytes]]) -> None:
        self._answer = answer
        self._parser = HttpRequestParser(self)
        self._path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser; a malformed request ends the connection."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self._transport.abort()

    def on_url(self, url: bytes) -> None:
        """Keep the path; called by the parser."""
        self._path = url.decode("latin-1")

    def on_message_complete(self) -> None:
        """Answer; called by the parser."""
        status, body = self._answer(self._path)
        reason = "OK" if status == 200 else "Service Unavailable"
        head = (
            f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
            "Content-Type: text/plain\r\n\r\n"
        )
        self._transport.write(head.encode() + body)
