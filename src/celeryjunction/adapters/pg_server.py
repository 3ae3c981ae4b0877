"""Server side of the PostgreSQL protocol, for the proxy's clients.

`PgFrontend` listens. `ClientConnection`, a pg-mimic ``Connection``, serves one client
in one task: startup, TLS, SCRAM login, then one message at a time. Parameters and rows
pass through as the raw bytes that the client and the endpoint sent.

Output is flushed at Sync, Flush and the end of a simple query. A Describe of a portal
that is followed by the portal's Execute is answered from the result, which saves a
round trip to the endpoint. As in PostgreSQL, the statements between two Syncs, or in
one simple query, form one transaction: the proxy sends BEGIN ahead of the first write
that more statements may follow.
"""

from __future__ import annotations

import asyncio
import hmac
import secrets
import ssl
import struct
import traceback
from collections.abc import Awaitable, Callable
from enum import Enum
from functools import singledispatch
from typing import Any

from pg_mimic import messages
from pg_mimic.connection import Connection
from pg_mimic.stream import ConnectionClosed

from celeryjunction.adapters import _pg_messages as pg
from celeryjunction.adapters._pg_stream import (
    WRITE_CHUNK_BYTES,
    ClientStream,
    ConnectionFault,
    ReadInterrupted,
)
from celeryjunction.adapters.scram import ScramAuthPlugin, Verifier
from celeryjunction.classify import (
    StatementInfo,
    StatementKind,
    classify,
    split_statements,
)
from celeryjunction.errors import EndpointError, ErrorKind, ProxyError
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    TEXT_FORMAT,
    ClientSession,
    Clock,
    Login,
    QueryResult,
    SessionFactory,
    StatementShape,
    Step,
    SystemClock,
)

PROTOCOL_VERSION = 3 << 16
"""Version 3.0; newer minor versions are negotiated down to 3.0."""

PARAMETER_STATUS = {
    "server_version": "16.0 (celeryjunction)",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
"""Default limit of one message after login."""

LOGIN_TIMEOUT_S = 10.0

DRAIN_QUIET_S = 0.25
"""A draining connection that had a request within this time ends with its next answer,
in one write with it, so that no request can cross the shutdown error. A connection that
has been idle for longer ends at once."""

_LISTEN_BACKLOG = 1024
"""Connections that may wait to be accepted."""

_ENTRY_OVERHEAD_BYTES = 200
"""Memory overhead that is counted for each prepared statement and portal."""

_PARSE_COMPLETE = messages.make_parse_complete()
_BIND_COMPLETE = messages.make_bind_complete()
_CLOSE_COMPLETE = messages.make_close_complete()
_NO_DATA = messages.make_no_data()
_EMPTY_QUERY = messages.make_empty_query_response()
_PORTAL_SUSPENDED = messages.make_portal_suspended()
_READY = {
    status: messages.make_ready_for_query(status) for status in (b"I", b"T", b"E")
}

_TRANSACTION_CONTROL = frozenset(
    {
        StatementKind.BEGIN,
        StatementKind.COMMIT,
        StatementKind.ROLLBACK,
        StatementKind.SAVEPOINT,
    }
)

_log = get_logger("clients")


class _Interrupt(Enum):
    """Why the task of a connection is cancelled."""

    CANCEL_REQUEST = "cancel_request"
    CLIENT_GONE = "client_gone"
    SHUTDOWN = "shutdown"


class _PreparedStatement:
    """A prepared statement of the extended protocol; `shape` is set by a describe."""

    __slots__ = ("info", "param_oids", "shape", "size", "sql")

    def __init__(self, sql: str, param_oids: tuple[int, ...]) -> None:
        self.sql = sql
        self.param_oids = param_oids
        self.info: StatementInfo = classify(sql)
        self.shape: StatementShape | None = None
        self.size = len(sql) + _ENTRY_OVERHEAD_BYTES

    @property
    def is_empty(self) -> bool:
        """True if the text holds no statement."""
        return self.info.kind is StatementKind.EMPTY


class _Portal:
    """A bound statement and, after a partial Execute, its result.

    `position` is the number of rows that were sent.
    """

    __slots__ = ("finished", "position", "result", "size", "statement", "step")

    def __init__(self, statement: _PreparedStatement, step: Step, size: int) -> None:
        self.statement = statement
        self.step = step
        self.size = size + _ENTRY_OVERHEAD_BYTES
        self.result: QueryResult | None = None
        self.position = 0
        self.finished = False


class ClientConnection(Connection):
    """One client's connection, from startup to disconnect."""

    def __init__(self, stream: ClientStream, frontend: PgFrontend, pid: int) -> None:
        secret = secrets.randbits(32) - (1 << 31)
        super().__init__(stream, None, frontend, pid, secret, {})
        self.session: ClientSession | None = None
        self.statements: dict[str, _PreparedStatement] = {}
        self.portals: dict[str, _Portal] = {}
        self._retained_bytes = 0
        self._opened_at = frontend.clock.monotonic()
        self._logged_in = False
        self._task: asyncio.Task[None] | None = None
        self._in_session_call = False
        self._interrupt: _Interrupt | None = None
        self._ending = False
        self._draining = False
        self._ended_idle = False
        self._outcome_uncertain = False
        self._ready_sent = True
        self._idle_since = self._opened_at
        self._block_failed = False
        self._in_implicit_block = False
        self._deferred_describe: _Portal | None = None
        stream.on_lost = self._on_client_gone

    # Cancelling.

    def request_cancel(self) -> None:
        """Cancel the running statement, if any."""
        self._cancel_statement(_Interrupt.CANCEL_REQUEST)

    def start_draining(self) -> None:
        """End the connection with 57P01 as soon as it is idle.

        Idle means that no transaction is open, every request was answered and no input
        has arrived. Until then the client is served as usual.
        """
        if self._draining:
            return
        self._draining = True
        idle_s = self.server.clock.monotonic() - self._idle_since
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, DRAIN_QUIET_S - idle_s), self.stream.interrupt_read)

    @property
    def _is_idle(self) -> bool:
        """Whether no transaction is open and no request is pending or buffered."""
        return (
            self._ready_sent
            and not self.stream.buffered
            and self.session.transaction_status == b"I"
        )

    def shut_down(self) -> None:
        """End the connection at once, cancelling a running statement.

        The client gets 57P01, or "outcome unknown" if the statement may write.
        """
        if self._ending:
            return
        self._ending = True
        self._outcome_uncertain = self._outcome_uncertain and self._in_session_call
        # A task that has not started yet checks `_ending` itself. If cancelled before
        # its start, the task would skip its clean-up.
        if self._task is not None:
            self._interrupt = _Interrupt.SHUTDOWN
            self._task.cancel()

    def _on_client_gone(self) -> None:
        self._cancel_statement(_Interrupt.CLIENT_GONE)

    def _cancel_statement(self, reason: _Interrupt) -> None:
        if self._in_session_call and self._interrupt is None:
            self._interrupt = reason
            self._task.cancel()

    async def _call(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Await a session call that a cancel request or a disconnect may interrupt."""
        if self.stream.closed:
            raise ConnectionClosed
        self._in_session_call = True
        try:
            return await function(*args)
        except asyncio.CancelledError:
            if self._interrupt is _Interrupt.CANCEL_REQUEST:
                raise ProxyError(ErrorKind.CANCELLED) from None
            if self._interrupt is _Interrupt.CLIENT_GONE:
                raise ConnectionClosed from None
            if not self._task.cancelling():
                raise RuntimeError("the session cancelled itself") from None
            raise
        finally:
            self._in_session_call = False
            if self._interrupt not in (None, _Interrupt.SHUTDOWN):
                self._interrupt = None
                self._task.uncancel()

    async def _execute(self, step: Step) -> QueryResult:
        self._outcome_uncertain = classify(step.sql).kind is not StatementKind.READ
        try:
            return await self._call(self.session.execute, step)
        finally:
            # During a shutdown, `_shutdown_error` still needs the value.
            if not self._ending:
                self._outcome_uncertain = False

    # Connection lifecycle.

    async def run(self) -> None:
        """Serve the client until it leaves, breaks the protocol or is shut down."""
        self._task = asyncio.current_task()
        try:
            if not self._ending:
                await self._serve()
        except (ConnectionClosed, OSError):
            pass
        except asyncio.CancelledError:
            if not self._ending:
                raise
            self._write_fatal(self._shutdown_error())
        except Exception as error:
            self._write_fatal(error)
        finally:
            await self._clean_up()

    async def _serve(self) -> None:
        try:
            async with asyncio.timeout(self.server.login_timeout_s):
                if not await self._log_in():
                    return
        except TimeoutError:
            limit = self.server.login_timeout_s
            reason = f"login took longer than {limit:g} s"
            raise ConnectionFault.violation(reason) from None
        await self._command_loop()

    def _shutdown_error(self) -> ProxyError:
        """Return the error for the request that a shutdown interrupted."""
        if self._outcome_uncertain:
            reason = "the proxy was stopped while the statement ran"
            return ProxyError(ErrorKind.OUTCOME_UNKNOWN, {"reason": reason})
        return ProxyError(ErrorKind.SHUTTING_DOWN)

    def _write_fatal(self, error: BaseException) -> None:
        """Log and write the error that ends the connection."""
        fields = _error_fields(error)
        _log.info(
            "client_connection_ended",
            peer=self.stream.peer,
            user=self.username,
            sqlstate=fields.get("C"),
            logged_in=self._logged_in,
            age_s=self.server.clock.monotonic() - self._opened_at,
        )
        self.stream.write(pg.make_error(fields, severity="FATAL"))

    async def _clean_up(self) -> None:
        # A shutdown must not cancel the task while the session is being closed.
        self._ending = True
        session, self.session = self.session, None
        try:
            if self._ended_idle:
                await self.stream.half_close()
            await self.stream.close()
        finally:
            if session is not None:
                try:
                    await session.close()
                except Exception as error:
                    _log_internal_error(error)

    # Startup and login.

    async def _log_in(self) -> bool:
        """Run startup and login; return False if the client sent a cancel request."""
        if not await self._negotiate():
            return False
        login = self._make_login()
        self.username, self.database = login.user, login.database
        self.stream.accepted_tags = messages.PASSWORD
        if not await self._authenticate():
            raise ProxyError(ErrorKind.WRONG_PASSWORD, {"customer": login.user})
        self.session = await self.server.factory.open(login)
        await self._send_startup_completion()
        self.stream.max_message_bytes = self.server.max_message_bytes
        self.stream.accepted_tags = b"".join(_HANDLERS) + messages.TERMINATE
        self._logged_in = True
        return True

    async def _negotiate(self) -> bool:
        """Answer the packets up to the startup message.

        Returns False after a cancel request.
        """
        encryption_codes = [messages.SSL_REQUEST_CODE, messages.GSSENC_REQUEST_CODE]
        while True:
            code, payload = await self.stream.read_startup_packet()
            if code == messages.CANCEL_REQUEST_CODE:
                if len(payload) == 8:
                    self.server.cancel(*messages.parse_cancel_request(payload))
                return False
            if code not in encryption_codes:
                break
            encryption_codes.remove(code)
            await self._answer_encryption_request(code)
        try:
            self.startup_params = pg.parse_startup(payload)
        except ValueError:
            raise ConnectionFault.violation("malformed startup message") from None
        self._check_version(code)
        return True

    async def _answer_encryption_request(self, code: int) -> None:
        context = self.server.ssl_context
        use_tls = code == messages.SSL_REQUEST_CODE and context is not None
        self.stream.write(b"S" if use_tls else b"N")
        self.stream.flush()
        if use_tls:
            timeout = self.server.login_timeout_s
            await self.stream.start_tls(context, timeout=timeout)

    def _check_version(self, version: int) -> None:
        if version >> 16 != PROTOCOL_VERSION >> 16:
            raise ConnectionFault.violation(
                f"protocol {version >> 16}.{version & 0xFFFF} is not 3.0"
            )
        unknown = [name for name in self.startup_params if name.startswith("_pq_.")]
        for name in unknown:
            del self.startup_params[name]
        if version != PROTOCOL_VERSION or unknown:
            self.stream.write(pg.make_negotiate_version(PROTOCOL_VERSION, unknown))

    def _make_login(self) -> Login:
        parameters = dict(self.startup_params)
        user = parameters.pop("user", "")
        if not user:
            raise ConnectionFault.violation("the startup message names no user")
        database = parameters.pop("database", "") or user
        try:
            options = pg.parse_command_line(parameters.pop("options", ""))
        except ValueError as error:
            raise ConnectionFault.violation(str(error)) from None
        options |= parameters
        encoding = options.pop("client_encoding", "UTF8")
        normalized = "".join(filter(str.isalnum, encoding)).upper()
        if normalized not in ("UTF8", "UNICODE"):
            feature = f"client_encoding {encoding}"
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": feature})
        if options.pop("replication", "off").lower() not in ("off", "false", "no", "0"):
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": "replication"})
        return Login(user, database, options, self.stream.peer)

    async def _authenticate(self) -> bool:
        stored = self.server.factory.verifier(self.username)
        user_exists = stored is not None
        verifier = (
            Verifier.parse(stored)
            if user_exists
            else Verifier.fake(self.username, self.server.login_secret)
        )
        plugin = ScramAuthPlugin(verifier)
        if not (
            await plugin.authenticate(self.stream, self.username, None) and user_exists
        ):
            return False
        self.stream.write(messages.make_authentication_ok())
        return True

    # Message loop.

    async def _command_loop(self) -> None:
        stream = self.stream
        while not self._ending:
            if self._draining:
                self._close_if_idle()
            try:
                tag, payload = await stream.read_message()
            except ReadInterrupted:
                continue
            if tag == messages.TERMINATE:
                return
            if self._ignore_until_sync and tag != messages.SYNC:
                continue
            parse, handle = _HANDLERS[tag]
            try:
                parsed = parse(payload)
            except UnicodeDecodeError:
                raise ConnectionFault.violation("text is not valid UTF-8") from None
            except (ValueError, IndexError, struct.error):
                reason = f"malformed body of message {tag.decode()}"
                raise ConnectionFault.violation(reason) from None
            self._ready_sent = False
            try:
                pending = handle(self, parsed)
                if pending is not None:
                    await pending
            except (ConnectionClosed, ConnectionFault):
                raise
            except Exception as error:
                self._write_error(error)
                self._ignore_until_sync = True
            if stream.should_drain:
                await stream.drain()
        raise asyncio.CancelledError

    def _close_if_idle(self) -> None:
        """End the connection if it is idle; otherwise flush the buffered output.

        `_finish_cycle` does not flush the output of a draining connection.
        """
        if self._is_idle:
            self._ended_idle = True
            raise ProxyError(ErrorKind.SHUTTING_DOWN)
        self.stream.flush()

    def _write_error(self, error: Exception) -> None:
        """Answer a message with an error and mark an implicit transaction as failed."""
        self._block_failed = True
        self._deferred_describe = None
        self.stream.write(pg.make_error(_error_fields(error), severity="ERROR"))
        # A Flush that follows is skipped, and the client may be waiting for this error.
        self.stream.flush()

    # Implicit transactions.

    async def _begin_implicit_block(self, info: StatementInfo) -> None:
        """Begin a transaction for a write or a local SET unless one is open."""
        needs_block = info.kind is StatementKind.WRITE or (
            info.kind is StatementKind.SET and info.local
        )
        if needs_block and self.session.transaction_status == b"I":
            await self._execute(Step("BEGIN"))
            self._in_implicit_block = True

    async def _end_implicit_block(self) -> None:
        """Commit or roll back the transaction that `_begin_implicit_block` began."""
        failed, self._block_failed = self._block_failed, False
        if not self._in_implicit_block:
            return
        self._in_implicit_block = False
        status = self.session.transaction_status
        if status != b"I":
            failed = failed or status == b"E"
            await self._execute(Step("ROLLBACK" if failed else "COMMIT"))

    async def _finish_cycle(self) -> None:
        """End the implicit transaction and send ReadyForQuery."""
        try:
            await self._end_implicit_block()
        except (ConnectionClosed, ConnectionFault):
            raise
        except Exception as error:
            self._write_error(error)
        self._block_failed = self._ignore_until_sync = False
        status = self.session.transaction_status
        if status == b"I":
            for name in list(self.portals):
                self._drop_portal(name)
        self.stream.write(_READY[status])
        self._ready_sent = True
        self._idle_since = self.server.clock.monotonic()
        # A draining connection sends the shutdown error in one write with this answer.
        if not self._draining:
            await self.stream.drain()

    # Simple queries.

    async def _handle_query(self, sql: str) -> None:
        self._drop_statement("")
        self._drop_portal("")
        try:
            await self._run_batch(split_statements(sql))
        except (ConnectionClosed, ConnectionFault):
            raise
        except Exception as error:
            self._write_error(error)
        await self._finish_cycle()

    async def _run_batch(self, parts: list[str]) -> None:
        if not parts:
            self.stream.write(_EMPTY_QUERY)
            return
        infos = [classify(part) for part in parts] if len(parts) > 1 else []
        has_transaction_control = any(
            info.kind in _TRANSACTION_CONTROL for info in infos
        )
        for index, part in enumerate(parts):
            if index + 1 < len(parts) and not has_transaction_control:
                await self._begin_implicit_block(infos[index])
            result = await self._execute(Step(part, result_format=TEXT_FORMAT))
            if result.columns is not None:
                self._write_columns(result.columns, TEXT_FORMAT)
                await self._write_rows(result.rows)
            self.stream.write(messages.make_command_complete(result.tag))

    # Prepared statements and portals.

    def _handle_parse(self, parsed: messages.ParsedParse) -> None:
        name = parsed.statement_name
        if not name:
            self._drop_statement("")
        elif name in self.statements:
            raise ProxyError(ErrorKind.DUPLICATE_STATEMENT, {"name": name})
        oids = tuple(parsed.param_oids)
        statement = _PreparedStatement(parsed.sql, oids)
        self._reserve_bytes(statement.size)
        self.statements[name] = statement
        self.stream.write(_PARSE_COMPLETE)

    def _handle_bind(self, parsed: pg.ParsedBind) -> None:
        name = parsed.portal_name
        if name and name in self.portals:
            raise ProxyError(ErrorKind.DUPLICATE_PORTAL, {"name": name})
        self._drop_portal(name)
        statement = self._find_statement(parsed.statement_name)
        count = len(parsed.params)
        step = Step(
            statement.sql,
            parsed.params,
            _param_formats(parsed.param_formats, count),
            statement.param_oids,
            _result_format(parsed.result_formats),
        )
        size = sum(len(param) for param in parsed.params if param is not None)
        portal = _Portal(statement, step, size)
        self._reserve_bytes(portal.size)
        self.portals[name] = portal
        self.stream.write(_BIND_COMPLETE)

    def _handle_close(self, target: tuple[bytes, str]) -> None:
        kind, name = target
        if kind == b"S":
            self._drop_statement(name)
        else:
            self._drop_portal(name)
        self.stream.write(_CLOSE_COMPLETE)

    def _reserve_bytes(self, size: int) -> None:
        """Count memory retained for the client; raise `ProxyError` above the limit."""
        limit = 2 * self.server.max_message_bytes
        if self._retained_bytes + size > limit:
            feature = f"keeping more than {limit} bytes in statements and portals"
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": feature})
        self._retained_bytes += size

    def _drop_statement(self, name: str) -> None:
        if (statement := self.statements.pop(name, None)) is not None:
            self._retained_bytes -= statement.size

    def _drop_portal(self, name: str) -> None:
        if (portal := self.portals.pop(name, None)) is not None:
            self._retained_bytes -= portal.size

    def _find_statement(self, name: str) -> _PreparedStatement:
        statement = self.statements.get(name)
        if statement is None:
            raise ProxyError(ErrorKind.UNKNOWN_STATEMENT, {"name": name})
        return statement

    def _find_portal(self, name: str) -> _Portal:
        portal = self.portals.get(name)
        if portal is None:
            raise ProxyError(ErrorKind.UNKNOWN_PORTAL, {"name": name})
        return portal

    async def _handle_describe(self, target: tuple[bytes, str]) -> None:
        kind, name = target
        await self._answer_deferred_describe()
        if kind == b"S":
            statement = self._find_statement(name)
            shape = await self._describe_statement(statement)
            self.stream.write(pg.make_parameter_description(shape.param_oids))
            # Result formats are not known before Bind.
            self._write_columns(shape.columns, TEXT_FORMAT)
            return
        portal = self._find_portal(name)
        if self.stream.peek_tag() == messages.EXECUTE and portal.result is None:
            self._deferred_describe = portal
        else:
            await self._describe_portal(portal)

    async def _describe_statement(
        self, statement: _PreparedStatement
    ) -> StatementShape:
        if statement.shape is None:
            if statement.is_empty:
                statement.shape = StatementShape(statement.param_oids, None)
            else:
                statement.shape = await self._call(
                    self.session.describe, statement.sql, statement.param_oids
                )
        return statement.shape

    async def _describe_portal(self, portal: _Portal) -> None:
        shape = await self._describe_statement(portal.statement)
        self._write_columns(shape.columns, portal.step.result_format)

    async def _answer_deferred_describe(self) -> None:
        """Answer a deferred Describe that its portal's Execute did not follow."""
        portal, self._deferred_describe = self._deferred_describe, None
        if portal is not None:
            await self._describe_portal(portal)

    async def _handle_execute(self, target: tuple[str, int]) -> None:
        name, limit = target
        portal = self._find_portal(name)
        if self._deferred_describe is not portal:
            await self._answer_deferred_describe()
        if portal.statement.is_empty:
            await self._answer_deferred_describe()
            self.stream.write(_EMPTY_QUERY)
        else:
            await self._execute_portal(portal, limit)

    async def _execute_portal(self, portal: _Portal, limit: int) -> None:
        if portal.finished:
            reason = "the portal was executed to its end before"
            raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})
        result = portal.result
        if result is None:
            if self.stream.peek_tag() != messages.SYNC:
                await self._begin_implicit_block(portal.statement.info)
            result = await self._run_portal(portal)
        if self._deferred_describe is not None:
            self._deferred_describe = None
            self._write_columns(result.columns, portal.step.result_format)
        if limit > 0 and result.columns is not None:
            portal.result = result
            rows = result.rows[portal.position : portal.position + limit]
            portal.position += len(rows)
            await self._write_rows(rows)
            if len(rows) == limit:
                self.stream.write(_PORTAL_SUSPENDED)
                return
        elif result.columns is not None:
            rest = result.rows[portal.position :] if portal.position else result.rows
            await self._write_rows(rest)
        portal.finished, portal.result = True, None
        self.stream.write(messages.make_command_complete(result.tag))

    async def _run_portal(self, portal: _Portal) -> QueryResult:
        """Run a portal's statement.

        A BEGIN in an implicit transaction only turns it into an explicit one.
        """
        if (
            self._in_implicit_block
            and portal.statement.info.kind is StatementKind.BEGIN
        ):
            self._in_implicit_block = False
            return QueryResult("BEGIN", None, ())
        return await self._execute(portal.step)

    async def _handle_sync(self, _parsed: None) -> None:
        if self._deferred_describe is not None:
            await self._answer_deferred_describe()
        await self._finish_cycle()

    async def _handle_flush(self, _parsed: None) -> None:
        await self.stream.drain()

    def _handle_ignored(self, _parsed: None) -> None:
        """Ignore a COPY message; clients may still send some after a refused COPY."""

    # Results.

    def _write_columns(self, columns: Any, result_format: int) -> None:
        if columns is None:
            self.stream.write(_NO_DATA)
        else:
            self.stream.write(pg.make_row_description(tuple(columns), result_format))

    async def _write_rows(self, rows: Any) -> None:
        stream = self.stream
        parts: list[bytes] = []
        size = 0
        for row in rows:
            size += pg.append_row(parts, row)
            if size >= WRITE_CHUNK_BYTES:
                stream.write_parts(parts, size)
                await stream.drain()
                parts, size = [], 0
        stream.write_parts(parts, size)


def _param_formats(codes: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Return one format code for each parameter, or none if all are text."""
    if not codes:
        return ()
    if any(code > 1 for code in codes):
        reason = "a parameter format is neither 0 nor 1"
        raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})
    if len(codes) == 1:
        return codes * count
    if len(codes) != count:
        reason = f"{len(codes)} parameter formats for {count} parameters"
        raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})
    return codes


def _result_format(codes: tuple[int, ...]) -> int:
    """Return the format that all result columns share."""
    if not codes:
        return TEXT_FORMAT
    if any(code > 1 for code in codes):
        reason = "a result format is neither 0 nor 1"
        raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})
    if len(set(codes)) > 1:
        feature = "a mix of text and binary result columns"
        raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": feature})
    return codes[0]


@singledispatch
def _error_fields(error: BaseException) -> dict[str, str]:
    """Return the fields of the ErrorResponse for an exception."""
    reference = _log_internal_error(error)
    details = {"reason": f"see event client_internal_error reference={reference}"}
    return _error_fields(ProxyError(ErrorKind.INTERNAL, details))


@_error_fields.register
def _(error: ProxyError) -> dict[str, str]:
    return {"C": error.sqlstate, "M": error.message}


@_error_fields.register
def _(error: EndpointError) -> dict[str, str]:
    return {"C": error.sqlstate, "M": "", **error.fields}


@_error_fields.register
def _(error: ConnectionFault) -> dict[str, str]:
    return _error_fields(error.error)


def _log_internal_error(error: BaseException) -> str:
    """Log an unexpected exception and return the log entry's reference.

    The exception's message is left out, because it may hold user data.
    """
    reference = secrets.token_hex(4)
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    places = ",".join(f"{frame.name}:{frame.lineno}" for frame in frames)
    _log.error(
        "client_internal_error",
        reference=reference,
        error=type(error).__name__,
        at=places,
    )
    return reference


_Handler = tuple[Callable[[bytes], Any], Callable[[ClientConnection, Any], Any]]

_HANDLERS: dict[bytes, _Handler] = {
    messages.QUERY: (pg.parse_query, ClientConnection._handle_query),
    messages.PARSE: (pg.parse_parse, ClientConnection._handle_parse),
    messages.BIND: (pg.parse_bind, ClientConnection._handle_bind),
    messages.DESCRIBE: (pg.parse_target, ClientConnection._handle_describe),
    messages.EXECUTE: (pg.parse_execute, ClientConnection._handle_execute),
    messages.CLOSE: (pg.parse_target, ClientConnection._handle_close),
    messages.SYNC: (pg.parse_empty, ClientConnection._handle_sync),
    messages.FLUSH: (pg.parse_empty, ClientConnection._handle_flush),
    messages.COPY_DATA: (pg.skip_body, ClientConnection._handle_ignored),
    messages.COPY_DONE: (pg.skip_body, ClientConnection._handle_ignored),
    messages.COPY_FAIL: (pg.skip_body, ClientConnection._handle_ignored),
}


class PgFrontend:
    """Listens for PostgreSQL clients and runs a session for each.

    With `port` 0 the system picks a free port, which the `port` property returns after
    `start`. With `reuse_port` several processes may listen on one port.
    `max_message_bytes` is the limit of each message after login, and `login_timeout_s`
    that of all steps up to the end of the login.
    """

    parameter_status = PARAMETER_STATUS

    def __init__(
        self,
        factory: SessionFactory,
        *,
        host: str,
        port: int,
        reuse_port: bool = False,
        ssl_context: ssl.SSLContext | None = None,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
        login_timeout_s: float = LOGIN_TIMEOUT_S,
        clock: Clock | None = None,
    ) -> None:
        self.factory = factory
        self.ssl_context = ssl_context
        self.max_message_bytes = max_message_bytes
        self.login_timeout_s = login_timeout_s
        self.clock = clock or SystemClock()
        self.login_secret = secrets.token_bytes(32)
        self._host = host
        self._port = port
        self._reuse_port = reuse_port
        self._server: asyncio.Server | None = None
        self._connections: dict[int, ClientConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._closing = False
        self._draining = False

    @property
    def port(self) -> int:
        """The port that the frontend listens on."""
        return self._port

    @property
    def connections(self) -> int:
        """Number of open connections, including those still logging in."""
        return len(self._connections)

    async def start(self) -> None:
        """Start listening; raises OSError if the address is in use."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientStream(self._serve),
            self._host,
            self._port,
            reuse_port=self._reuse_port or None,
            backlog=_LISTEN_BACKLOG,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections are still served."""
        if self._server is not None:
            self._server.close()

    async def drain_connections(self) -> None:
        """End each connection once it is idle, and return when all have ended.

        See `ClientConnection.start_draining`. No request is cut off and there is no
        time limit; a caller that stops waiting ends the rest with `close`.
        """
        self._draining = True
        for connection in list(self._connections.values()):
            connection.start_draining()
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def close(self) -> None:
        """Stop accepting and shut down all connections at once."""
        self._closing = True
        await self.stop_accepting()
        for connection in list(self._connections.values()):
            connection.shut_down()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def cancel(self, pid: int, secret: int) -> bool:
        """Handle a cancel request: cancel the running statement of a connection.

        Returns False if no connection here has this id and secret.
        """
        connection = self._connections.get(pid)
        if connection is None or not hmac.compare_digest(
            str(connection.secret), str(secret)
        ):
            return False
        connection.request_cancel()
        return True

    def _serve(self, stream: ClientStream) -> None:
        if self._closing:
            stream.abort()
            return
        pid = 0
        while pid == 0 or pid in self._connections:
            pid = secrets.randbits(31)
        connection = ClientConnection(stream, self, pid)
        self._connections[pid] = connection
        if self._draining:
            connection.start_draining()
        task = asyncio.get_running_loop().create_task(connection.run())
        self._tasks.add(task)

        def on_done(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._connections.pop(pid, None)

        task.add_done_callback(on_done)
