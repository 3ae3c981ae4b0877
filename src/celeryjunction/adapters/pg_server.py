"""Clients, served in the PostgreSQL protocol.

`PgFrontend` listens and `ClientConnection`, a pg-mimic ``Connection``, runs one client
in one task: startup, TLS, SCRAM login, then one message after the other. Parameters
and rows pass through as the raw bytes that the client and the endpoint sent.

Output leaves at Sync, Flush and the end of a simple query. Describe of a portal
followed by its Execute is answered from the result, which saves the round trip of a
describe. Statements between two Syncs, or in one simple query, form one transaction as
in PostgreSQL: a BEGIN goes before the first write that more messages may follow.
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
    WRITE_CHUNK,
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
"""Version 3.0; later minor versions are negotiated down to it."""

PARAMETER_STATUS = {
    "server_version": "16.0 (celeryjunction)",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "TimeZone": "UTC",
}

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
LOGIN_TIMEOUT_S = 10.0

DRAIN_QUIET_S = 0.25
"""A draining connection that had a request within this time ends with its next answer,
in one write with it, so that no request can cross the shutdown error. A connection that
has been idle for longer ends at once."""

_BACKLOG = 1024
_ENTRY_BYTES = 200
"""Overhead counted for each prepared statement and portal."""

_PARSE_COMPLETE = messages.make_parse_complete()
_BIND_COMPLETE = messages.make_bind_complete()
_CLOSE_COMPLETE = messages.make_close_complete()
_NO_DATA = messages.make_no_data()
_EMPTY_QUERY = messages.make_empty_query_response()
_SUSPENDED = messages.make_portal_suspended()
_READY = {
    status: messages.make_ready_for_query(status) for status in (b"I", b"T", b"E")
}

_CONTROL_KINDS = frozenset(
    {
        StatementKind.BEGIN,
        StatementKind.COMMIT,
        StatementKind.ROLLBACK,
        StatementKind.SAVEPOINT,
    }
)

log = get_logger("clients")


class _Interrupt(Enum):
    """Why the task of a connection is being cancelled."""

    CANCEL_REQUEST = "cancel_request"
    CLIENT_GONE = "client_gone"
    SHUTDOWN = "shutdown"


class _Prepared:
    """A statement of the extended protocol; `shape` is known after a describe."""

    __slots__ = ("info", "param_oids", "shape", "size", "sql")

    def __init__(self, sql: str, param_oids: tuple[int, ...]) -> None:
        self.sql = sql
        self.param_oids = param_oids
        self.info: StatementInfo = classify(sql)
        self.shape: StatementShape | None = None
        self.size = len(sql) + _ENTRY_BYTES

    @property
    def empty(self) -> bool:
        """True for a text without a statement."""
        return self.info.kind is StatementKind.EMPTY


class _Portal:
    """A bound statement and, once it ran, the rows not yet sent."""

    __slots__ = ("finished", "position", "result", "size", "statement", "step")

    def __init__(self, statement: _Prepared, step: Step, size: int) -> None:
        self.statement = statement
        self.step = step
        self.size = size + _ENTRY_BYTES
        self.result: QueryResult | None = None
        self.position = 0
        self.finished = False


class ClientConnection(Connection):
    """One client's connection, from the first byte to the last."""

    def __init__(self, stream: ClientStream, frontend: PgFrontend, pid: int) -> None:
        secret = secrets.randbits(32) - (1 << 31)
        super().__init__(stream, None, frontend, pid, secret, {})
        self.session: ClientSession | None = None
        self.statements: dict[str, _Prepared] = {}
        self.portals: dict[str, _Portal] = {}
        self._held_bytes = 0
        self._opened_at = frontend.clock.monotonic()
        self._logged_in = False
        self._task: asyncio.Task[None] | None = None
        self._running = False
        self._interrupt: _Interrupt | None = None
        self._ending = False
        self._draining = False
        self._ended_idle = False
        self._outcome_open = False
        self._synced = True
        self._idle_since = self._opened_at
        self._failed = False
        self._implicit = False
        self._undescribed: _Portal | None = None
        stream.on_lost = self._client_gone

    # Cancelling.

    def request_cancel(self) -> None:
        """Cancel the statement that runs now; without one, do nothing."""
        self._cancel_statement(_Interrupt.CANCEL_REQUEST)

    def start_draining(self) -> None:
        """End the connection with 57P01 at the first moment when it is idle.

        Idle means that no transaction is open, each request was answered and no input
        is at hand. A client in the middle of its work is served until then.
        """
        if self._draining:
            return
        self._draining = True
        quiet = self.server.clock.monotonic() - self._idle_since
        loop = asyncio.get_running_loop()
        loop.call_later(max(0.0, DRAIN_QUIET_S - quiet), self.stream.interrupt_read)

    @property
    def _is_idle(self) -> bool:
        """Whether the client waits for nothing and has sent nothing."""
        return (
            self._synced
            and not self.stream.buffered
            and self.session.transaction_status == b"I"
        )

    def shut_down(self) -> None:
        """End the connection at once, cancelling a running statement.

        The client gets 57P01, or "outcome unknown" when the statement may write.
        """
        if self._ending:
            return
        self._ending = True
        self._outcome_open = self._outcome_open and self._running
        # A task that has not started yet ends itself; cancelled, it would not clean up.
        if self._task is not None:
            self._interrupt = _Interrupt.SHUTDOWN
            self._task.cancel()

    def _client_gone(self) -> None:
        self._cancel_statement(_Interrupt.CLIENT_GONE)

    def _cancel_statement(self, reason: _Interrupt) -> None:
        if self._running and self._interrupt is None:
            self._interrupt = reason
            self._task.cancel()

    async def _call(self, function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
        """Await a call of the session that a cancel request may interrupt."""
        if self.stream.closed:
            raise ConnectionClosed
        self._running = True
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
            self._running = False
            if self._interrupt not in (None, _Interrupt.SHUTDOWN):
                self._interrupt = None
                self._task.uncancel()

    async def _execute(self, step: Step) -> QueryResult:
        self._outcome_open = classify(step.sql).kind is not StatementKind.READ
        try:
            return await self._call(self.session.execute, step)
        finally:
            # A shutdown keeps the value for the last answer.
            if not self._ending:
                self._outcome_open = False

    # The life of a connection.

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
        """Return the answer to what a shutdown cut off."""
        if self._outcome_open:
            reason = "the proxy was stopped while the statement ran"
            return ProxyError(ErrorKind.OUTCOME_UNKNOWN, {"reason": reason})
        return ProxyError(ErrorKind.SHUTTING_DOWN)

    def _write_fatal(self, error: BaseException) -> None:
        """Write the error that ends the connection."""
        fields = _error_fields(error)
        log.info(
            "client_connection_ended",
            peer=self.stream.peer,
            user=self.username,
            sqlstate=fields.get("C"),
            logged_in=self._logged_in,
            age_s=self.server.clock.monotonic() - self._opened_at,
        )
        self.stream.write(pg.make_error(fields, severity="FATAL"))

    async def _clean_up(self) -> None:
        # From here on a shutdown must not interrupt the closing of the session.
        self._ending = True
        session, self.session = self.session, None
        try:
            if self._ended_idle:
                await self.stream.finish()
            await self.stream.close()
        finally:
            if session is not None:
                try:
                    await session.close()
                except Exception as error:
                    _log_internal(error)

    # Startup and login.

    async def _log_in(self) -> bool:
        """Bring the client to its first ReadyForQuery; False for a cancel request."""
        if not await self._negotiate():
            return False
        login = self._make_login()
        self.username, self.database = login.user, login.database
        self.stream.known_tags = messages.PASSWORD
        if not await self._authenticate():
            raise ProxyError(ErrorKind.WRONG_PASSWORD, {"customer": login.user})
        self.session = await self.server.factory.open(login)
        await self._send_startup_completion()
        self.stream.limit = self.server.max_message_bytes
        self.stream.known_tags = b"".join(_HANDLERS) + messages.TERMINATE
        self._logged_in = True
        return True

    async def _negotiate(self) -> bool:
        """Answer the untyped packets up to the startup message."""
        offers = [messages.SSL_REQUEST_CODE, messages.GSSENC_REQUEST_CODE]
        while True:
            code, payload = await self.stream.read_startup_packet()
            if code == messages.CANCEL_REQUEST_CODE:
                if len(payload) == 8:
                    self.server.cancel(*messages.parse_cancel_request(payload))
                return False
            if code not in offers:
                break
            offers.remove(code)
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
        letters = "".join(filter(str.isalnum, encoding)).upper()
        if letters not in ("UTF8", "UNICODE"):
            feature = f"client_encoding {encoding}"
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": feature})
        if options.pop("replication", "off").lower() not in ("off", "false", "no", "0"):
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": "replication"})
        return Login(user, database, options, self.stream.peer)

    async def _authenticate(self) -> bool:
        stored = self.server.factory.verifier(self.username)
        known = stored is not None
        verifier = (
            Verifier.parse(stored)
            if known
            else Verifier.fake(self.username, self.server.login_secret)
        )
        plugin = ScramAuthPlugin(verifier)
        if not (await plugin.authenticate(self.stream, self.username, None) and known):
            return False
        self.stream.write(messages.make_authentication_ok())
        return True

    # Messages.

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
            self._synced = False
            try:
                pending = handle(self, parsed)
                if pending is not None:
                    await pending
            except (ConnectionClosed, ConnectionFault):
                raise
            except Exception as error:
                self._report(error)
                self._ignore_until_sync = True
            if stream.crowded:
                await stream.drain()
        raise asyncio.CancelledError

    def _close_if_idle(self) -> None:
        """End the connection if it is idle; otherwise send what `_finish` kept."""
        if self._is_idle:
            self._ended_idle = True
            raise ProxyError(ErrorKind.SHUTTING_DOWN)
        self.stream.flush()

    def _report(self, error: Exception) -> None:
        """Answer a message with an error; the transaction so far has failed."""
        self._failed = True
        self._undescribed = None
        self.stream.write(pg.make_error(_error_fields(error), severity="ERROR"))
        # A Flush that follows is skipped, and the client may wait for this answer.
        self.stream.flush()

    # Transactions around several statements.

    async def _open_block(self, info: StatementInfo) -> None:
        """Begin a transaction if the statement needs one and none is open."""
        needs_block = info.kind is StatementKind.WRITE or (
            info.kind is StatementKind.SET and info.local
        )
        if needs_block and self.session.transaction_status == b"I":
            await self._execute(Step("BEGIN"))
            self._implicit = True

    async def _end_block(self) -> None:
        """Commit the transaction that `_open_block` began, or roll it back."""
        failed, self._failed = self._failed, False
        if not self._implicit:
            return
        self._implicit = False
        status = self.session.transaction_status
        if status != b"I":
            failed = failed or status == b"E"
            await self._execute(Step("ROLLBACK" if failed else "COMMIT"))

    async def _finish(self) -> None:
        """End the implicit transaction and tell the client to go on."""
        try:
            await self._end_block()
        except (ConnectionClosed, ConnectionFault):
            raise
        except Exception as error:
            self._report(error)
        self._failed = self._ignore_until_sync = False
        status = self.session.transaction_status
        if status == b"I":
            for name in list(self.portals):
                self._drop_portal(name)
        self.stream.write(_READY[status])
        self._synced = True
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
            self._report(error)
        await self._finish()

    async def _run_batch(self, parts: list[str]) -> None:
        if not parts:
            self.stream.write(_EMPTY_QUERY)
            return
        infos = [classify(part) for part in parts] if len(parts) > 1 else []
        own_control = any(info.kind in _CONTROL_KINDS for info in infos)
        for index, part in enumerate(parts):
            if index + 1 < len(parts) and not own_control:
                await self._open_block(infos[index])
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
        oids = tuple(oid & 0xFFFFFFFF for oid in parsed.param_oids)
        statement = _Prepared(parsed.sql, oids)
        self._hold(statement.size)
        self.statements[name] = statement
        self.stream.write(_PARSE_COMPLETE)

    def _handle_bind(self, parsed: pg.ParsedBind) -> None:
        name = parsed.portal_name
        if name and name in self.portals:
            raise ProxyError(ErrorKind.DUPLICATE_PORTAL, {"name": name})
        self._drop_portal(name)
        statement = self._statement(parsed.statement_name)
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
        self._hold(portal.size)
        self.portals[name] = portal
        self.stream.write(_BIND_COMPLETE)

    def _handle_close(self, target: tuple[bytes, str]) -> None:
        kind, name = target
        if kind == b"S":
            self._drop_statement(name)
        else:
            self._drop_portal(name)
        self.stream.write(_CLOSE_COMPLETE)

    def _hold(self, size: int) -> None:
        """Count memory that the client makes the proxy keep; refuse too much."""
        limit = 2 * self.server.max_message_bytes
        if self._held_bytes + size > limit:
            feature = f"keeping more than {limit} bytes in statements and portals"
            raise ProxyError(ErrorKind.UNSUPPORTED, {"feature": feature})
        self._held_bytes += size

    def _drop_statement(self, name: str) -> None:
        if (statement := self.statements.pop(name, None)) is not None:
            self._held_bytes -= statement.size

    def _drop_portal(self, name: str) -> None:
        if (portal := self.portals.pop(name, None)) is not None:
            self._held_bytes -= portal.size

    def _statement(self, name: str) -> _Prepared:
        statement = self.statements.get(name)
        if statement is None:
            raise ProxyError(ErrorKind.UNKNOWN_STATEMENT, {"name": name})
        return statement

    def _portal(self, name: str) -> _Portal:
        portal = self.portals.get(name)
        if portal is None:
            raise ProxyError(ErrorKind.UNKNOWN_PORTAL, {"name": name})
        return portal

    async def _handle_describe(self, target: tuple[bytes, str]) -> None:
        kind, name = target
        await self._describe_delayed()
        if kind == b"S":
            statement = self._statement(name)
            shape = await self._shape(statement)
            self.stream.write(pg.make_parameter_description(shape.param_oids))
            # The result formats are not known before Bind.
            self._write_columns(shape.columns, TEXT_FORMAT)
            return
        portal = self._portal(name)
        if self.stream.next_tag() == messages.EXECUTE and portal.result is None:
            self._undescribed = portal
        else:
            await self._describe_portal(portal)

    async def _shape(self, statement: _Prepared) -> StatementShape:
        if statement.shape is None:
            if statement.empty:
                statement.shape = StatementShape(statement.param_oids, None)
            else:
                statement.shape = await self._call(
                    self.session.describe, statement.sql, statement.param_oids
                )
        return statement.shape

    async def _describe_portal(self, portal: _Portal) -> None:
        shape = await self._shape(portal.statement)
        self._write_columns(shape.columns, portal.step.result_format)

    async def _describe_delayed(self) -> None:
        """Answer a Describe whose portal was not executed next after all."""
        portal, self._undescribed = self._undescribed, None
        if portal is not None:
            await self._describe_portal(portal)

    async def _handle_execute(self, target: tuple[str, int]) -> None:
        name, limit = target
        portal = self._portal(name)
        if self._undescribed is not portal:
            await self._describe_delayed()
        if portal.statement.empty:
            await self._describe_delayed()
            self.stream.write(_EMPTY_QUERY)
        else:
            await self._execute_portal(portal, limit)

    async def _execute_portal(self, portal: _Portal, limit: int) -> None:
        if portal.finished:
            reason = "the portal was executed to its end before"
            raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": reason})
        result = portal.result
        if result is None:
            if self.stream.next_tag() != messages.SYNC:
                await self._open_block(portal.statement.info)
            result = await self._run_step(portal)
        if self._undescribed is not None:
            self._undescribed = None
            self._write_columns(result.columns, portal.step.result_format)
        if limit > 0 and result.columns is not None:
            portal.result = result
            rows = result.rows[portal.position : portal.position + limit]
            portal.position += len(rows)
            await self._write_rows(rows)
            if len(rows) == limit:
                self.stream.write(_SUSPENDED)
                return
        elif result.columns is not None:
            rest = result.rows[portal.position :] if portal.position else result.rows
            await self._write_rows(rest)
        portal.finished, portal.result = True, None
        self.stream.write(messages.make_command_complete(result.tag))

    async def _run_step(self, portal: _Portal) -> QueryResult:
        """Run a portal's statement, or accept a BEGIN inside an implicit block."""
        if self._implicit and portal.statement.info.kind is StatementKind.BEGIN:
            self._implicit = False
            return QueryResult("BEGIN", None, ())
        return await self._execute(portal.step)

    async def _handle_sync(self, _parsed: None) -> None:
        if self._undescribed is not None:
            await self._describe_delayed()
        await self._finish()

    async def _handle_flush(self, _parsed: None) -> None:
        await self.stream.drain()

    def _handle_ignored(self, _parsed: None) -> None:
        """Drop a message of COPY, which may follow a refused COPY."""

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
            if size >= WRITE_CHUNK:
                stream.write_parts(parts, size)
                await stream.drain()
                parts, size = [], 0
        stream.write_parts(parts, size)


def _param_formats(codes: tuple[int, ...], count: int) -> tuple[int, ...]:
    """Return one format code for each parameter, or none when all are text."""
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
    """Return the one format of all result columns."""
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
    reference = _log_internal(error)
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


def _log_internal(error: BaseException) -> str:
    """Log an unexpected exception without its message, which may hold user data."""
    reference = secrets.token_hex(4)
    frames = traceback.extract_tb(error.__traceback__)[-3:]
    places = ",".join(f"{frame.name}:{frame.lineno}" for frame in frames)
    log.error(
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
    messages.SYNC: (pg.parse_nothing, ClientConnection._handle_sync),
    messages.FLUSH: (pg.parse_nothing, ClientConnection._handle_flush),
    messages.COPY_DATA: (pg.parse_ignored, ClientConnection._handle_ignored),
    messages.COPY_DONE: (pg.parse_ignored, ClientConnection._handle_ignored),
    messages.COPY_FAIL: (pg.parse_ignored, ClientConnection._handle_ignored),
}


class PgFrontend:
    """Listens for PostgreSQL clients and runs a session for each.

    `port` 0 takes a free port; the `port` property tells which after `start`. With
    `reuse_port` several processes may listen on one port. `max_message_bytes` bounds
    each message after login, `login_timeout_s` all steps before it, in seconds.
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
        """Number of open connections, those still logging in included."""
        return len(self._connections)

    async def start(self) -> None:
        """Listen; raises OSError when the address is taken."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: ClientStream(self._serve),
            self._host,
            self._port,
            reuse_port=self._reuse_port or None,
            backlog=_BACKLOG,
        )
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
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
        """Stop accepting and end all connections at once."""
        self._closing = True
        await self.stop_accepting()
        for connection in list(self._connections.values()):
            connection.shut_down()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def cancel(self, pid: int, secret: int) -> bool:
        """Cancel the running statement of a connection, as a cancel request asks.

        False when no connection here has this id and secret.
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

        def forget(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            self._connections.pop(pid, None)

        task.add_done_callback(forget)
