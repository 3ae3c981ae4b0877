"""Accepts clients' connections on the platform's line protocol and serves them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryjunction.adapters.client_guard import ClientGuard
from celeryjunction.adapters.client_stream import ClientStream
from celeryjunction.adapters.line_server import LineServer
from celeryjunction.adapters.line_stream import LineTooLong, one_line
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.connection_end import ConnectionEnd
from celeryjunction.gateway.statements import Request
from celeryjunction.platform.wire import (
    ERROR_CODES,
    FAULT_CODES,
    STATE_CODES,
    UNKNOWN_OUTCOME_CODE,
    MalformedStatement,
    parse_statement,
)
from celeryjunction.ports import Clock
from celeryjunction.relay.session import ForwardingSession
from celeryjunction.replication.ports import Answer, TransactionState

CONNECT_TIMEOUT_S = 5.0
"""A connection is closed when its CONNECT message has not arrived after this."""

OpenSession = Callable[[str, bytes], ForwardingSession]
"""Opens a session for a database name and a client's key; raises `ProxyError`."""


class ClientConnection:
    """One client's connection, served by one task, one request at a time."""

    def __init__(
        self, stream: ClientStream, *, open_session: OpenSession, clock: Clock
    ) -> None:
        self._stream = stream
        self._open_session = open_session
        self._clock = clock
        self.session: ForwardingSession | None = None
        self.running = False
        self._end = ConnectionEnd()

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending and no transaction is open."""
        if self.running or self._stream.buffered:
            return False
        return self.session is None or self.session.state is TransactionState.IDLE

    def close(self) -> None:
        """Close the connection after pending output has been sent."""
        self._stream.close()

    def revoke(self) -> None:
        """End the connection: at once, or after the answer to a running statement."""
        self._end.is_revoked = True
        if not self.running:
            self._stream.close()

    def drain(self, refusal: ProxyError | None) -> None:
        """End the connection between transactions; a `refusal` ends these as well."""
        self._end.drain(refusal)
        if self.is_idle:
            self._stream.close()

    async def serve(self) -> None:
        """Serve the client until the connection ends.

        Raises `TimeoutError` if no CONNECT message arrives within `CONNECT_TIMEOUT_S`.
        """
        try:
            await self._serve()
        except LineTooLong:
            error = ProxyError(
                ErrorKind.STATEMENT_TOO_LARGE, {"size": "more", "limit": "1 MiB"}
            )
            self._stream.write(_encode_error(error))
        finally:
            self._stream.close()
            if self.session is not None:
                await self.session.close()

    async def _serve(self) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            line = await self._stream.read_line()
        if line is None or not self._handle_connect(line):
            return
        while True:
            line = await self._stream.read_line()
            if line is None or line == b"RELEASE" or self._end.is_revoked:
                return
            arrived_at = self._clock.monotonic()
            self.running = True
            try:
                self._stream.write(await self._handle_query(line, arrived_at))
            except (Exception, asyncio.CancelledError) as error:
                # The session's state is unknown, so the connection ends after this.
                reason = {"reason": type(error).__name__}
                failure = ProxyError(ErrorKind.INTERNAL, reason)
                self._stream.write(_encode_error(failure) + self._encode_ready())
                raise
            finally:
                self.running = False
            await self._stream.drain()
            if self._end.is_due(self.session, has_input=self._stream.buffered):
                return

    def _handle_connect(self, line: bytes) -> bool:
        fields = line.split(b" ")
        if len(fields) < 2 or fields[0] != b"CONNECT":
            self._stream.write(b"ERROR MALFORMED a connection begins with CONNECT\r\n")
            return False
        try:
            key = b" ".join(fields[2:])
            self.session = self._open_session(_decode_name(fields[1]), key)
            self.session.hold_state = self._stream.hold_state
        except ProxyError as error:
            self._stream.write(_encode_error(error))
            return False
        self._stream.write(b"READY I -\r\n")
        return True

    async def _handle_query(self, line: bytes, arrived_at: float) -> bytes:
        tag, _, rest = line.partition(b" ")
        request_id, _, text = rest.partition(b" ")
        try:
            if tag != b"QUERY" or not request_id:
                raise MalformedStatement(tag[:20].decode("latin-1"))
            statement = parse_statement(text)
        except MalformedStatement as error:
            reason = {"reason": f"unknown statement {error}"}
            failure = ProxyError(ErrorKind.PROTOCOL_VIOLATION, reason)
            return _encode_error(failure) + self._encode_ready()
        request = Request(request_id, text, statement, arrived_at)
        try:
            self._end.check(self.session)
            answer = await self.session.execute(request)
        except ProxyError as error:
            return _encode_error(error) + self._encode_ready()
        return _encode_answer(answer)

    def _encode_ready(self) -> bytes:
        return b"READY %b -\r\n" % STATE_CODES[self.session.state]


def _decode_name(name: bytes) -> str:
    """Decode a database's name, in the encoding of the config that has the routes."""
    try:
        return name.decode()
    except UnicodeDecodeError:
        details = {"database": name.decode("ascii", "backslashreplace")}
        raise ProxyError(ErrorKind.UNKNOWN_DATABASE, details) from None


def _encode_error(error: ProxyError) -> bytes:
    code = ERROR_CODES.get(error.kind, UNKNOWN_OUTCOME_CODE)
    return b"ERROR %b %b\r\n" % (code, one_line(error.message))


def _encode_answer(answer: Answer) -> bytes:
    parts = [b"ROW %b\r\n" % row for row in answer.rows]
    if answer.fault is None:
        parts.append(b"COMPLETE %b\r\n" % answer.digest)
    else:
        code = FAULT_CODES[answer.fault]
        parts.append(b"ERROR %b %b\r\n" % (code, one_line(answer.detail)))
    position = b"-" if answer.position is None else b"%d.%d" % answer.position
    parts.append(b"READY %b %b\r\n" % (STATE_CODES[answer.state], position))
    return b"".join(parts)


class LineFrontend(LineServer[ClientConnection]):
    """Accepts clients' connections and runs a task for each."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        open_session: OpenSession,
        clock: Clock,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__(host=host, port=port, guard=guard)
        self._open_session = open_session
        self._clock = clock

    def _make_connection(self, stream: ClientStream) -> ClientConnection:
        return ClientConnection(
            stream, open_session=self._open_session, clock=self._clock
        )
