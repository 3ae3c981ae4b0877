"""Connections to endpoints through libpq, using the `pq` layer of psycopg.

Parameters and results pass through as raw bytes. Every call is one pipeline: all steps
and one Sync take a single round trip, and the steps after a failed one do not run.

The protocol assigns answers to commands by their order alone. A connection on which an
answer is missing, doubled or out of place is therefore closed and never used again.
"""

from __future__ import annotations

import asyncio
import select
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence

from psycopg import OperationalError, pq
from psycopg.conninfo import make_conninfo

from celeryjunction.errors import ConnectionLost, EndpointError
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Column,
    EndpointRecord,
    QueryResult,
    StatementShape,
    Step,
    SystemClock,
)

MAX_PREPARED_STATEMENTS = 128
"""Prepared statements per connection; the least recently used one is closed first."""

CANCEL_TIMEOUT_S = 2.0
"""Limit for a cancel request, including its connection."""

_DIAGNOSTIC_FIELDS = {
    chr(field.value): field
    for field in pq.DiagnosticField
    if field is not pq.DiagnosticField.SEVERITY_NONLOCALIZED
}

_ROW_STATUSES = (pq.ExecStatus.TUPLES_OK, pq.ExecStatus.SINGLE_TUPLE)

_REPORTED_PARAMETERS = (
    b"DateStyle",
    b"IntervalStyle",
    b"TimeZone",
    b"application_name",
    b"client_encoding",
    b"default_transaction_read_only",
    b"in_hot_standby",
    b"is_superuser",
    b"scram_iterations",
    b"search_path",
    b"server_encoding",
    b"session_authorization",
    b"standard_conforming_strings",
)
"""Parameters whose changes an endpoint reports at any time."""

_ERROR_SEVERITIES = (b"ERROR", b"FATAL", b"PANIC")

_log = get_logger("endpoints")


class EndpointLogin:
    """Credentials of the proxy at endpoints."""

    __slots__ = ("application_name", "password", "user")

    def __init__(self, *, user: str, password: str = "", application_name: str) -> None:
        self.user = user
        self.password = password
        self.application_name = application_name


class PgConnector:
    """Opens `PgConnection`s. Implements `EndpointConnector`."""

    __slots__ = ("_clock", "_login")

    def __init__(self, login: EndpointLogin, *, clock: Clock | None = None) -> None:
        self._login = login
        self._clock = clock or SystemClock()

    async def connect(
        self, endpoint: EndpointRecord, database: str, *, timeout: float
    ) -> PgConnection:
        """Open a connection within `timeout` seconds.

        Raises `ConnectionLost` if the endpoint cannot be reached, and `EndpointError`
        (53300) if it refuses the connection because it has too many.
        """
        conninfo = make_conninfo(
            host=endpoint.host,
            port=endpoint.port,
            dbname=database,
            user=self._login.user,
            password=self._login.password,
            application_name=self._login.application_name,
            sslmode="prefer" if self._login.password else "disable",
            gssencmode="disable",
            client_encoding="UTF8",
        )
        pgconn = pq.PGconn.connect_start(conninfo.encode())
        try:
            async with asyncio.timeout(timeout):
                await _finish_connecting(pgconn)
        except TimeoutError:
            pgconn.finish()
            raise ConnectionLost("connecting timed out", sent=False) from None
        except BaseException:
            pgconn.finish()
            raise
        return PgConnection(pgconn, opened_at=self._clock.monotonic())


async def _finish_connecting(pgconn: pq.PGconn) -> None:
    while True:
        status = pgconn.connect_poll()
        if status == pq.PollingStatus.OK:
            return
        if status == pq.PollingStatus.FAILED:
            _raise_connect_error(pgconn)
        await _wait_socket(pgconn.socket, write=status == pq.PollingStatus.WRITING)


def _raise_connect_error(pgconn: pq.PGconn) -> None:
    message = pgconn.get_error_message().strip()
    # libpq reports a failed connection attempt only as text, without a SQLSTATE.
    if "too many" in message:
        raise EndpointError({"C": "53300", "M": message})
    raise ConnectionLost(message, sent=False)


async def _wait_socket(fileno: int, *, write: bool) -> None:
    loop = asyncio.get_running_loop()
    ready = loop.create_future()

    def wake() -> None:
        if not ready.done():
            ready.set_result(None)

    if write:
        loop.add_writer(fileno, wake)
    else:
        loop.add_reader(fileno, wake)
    try:
        await ready
    finally:
        if write:
            loop.remove_writer(fileno)
        else:
            loop.remove_reader(fileno)


class _Pipeline:
    """The running pipeline and the results received so far."""

    __slots__ = ("commands", "done", "error", "results", "runs_statements")

    def __init__(
        self,
        commands: deque[int | None],
        done: asyncio.Future[None],
        *,
        runs_statements: bool,
    ) -> None:
        # One entry per unanswered command: the index of its step, or None for a Parse
        # or Close, whose answer carries no result.
        self.commands = commands
        self.done = done
        self.error: EndpointError | None = None
        self.results: list[pq.abc.PGresult] = []
        self.runs_statements = runs_statements

    def is_answer(self, result: pq.abc.PGresult, index: int | None) -> bool:
        """Return whether the command with this index can have this result."""
        status = result.status
        if status == pq.ExecStatus.FATAL_ERROR:
            # libpq's own errors about unexpected messages have no SQLSTATE.
            return result.error_field(pq.DiagnosticField.SQLSTATE) is not None
        if status in (pq.ExecStatus.PIPELINE_ABORTED, pq.ExecStatus.EMPTY_QUERY):
            return True
        is_statement = index is not None and self.runs_statements
        tag = result.command_status or b""
        return bool(tag) == is_statement and tag.isascii()


class PgConnection:
    """One libpq connection in pipeline mode. Implements `EndpointConnection`."""

    __slots__ = (
        "_closed",
        "_fileno",
        "_loop",
        "_loss_reason",
        "_names_to_close",
        "_new_statements",
        "_next_name",
        "_notices",
        "_pgconn",
        "_pipeline",
        "_prepared_names",
        "_unasked_message",
        "opened_at",
        "verified_term",
    )

    def __init__(self, pgconn: pq.PGconn, *, opened_at: float) -> None:
        self.opened_at = opened_at
        self.verified_term = 0
        self._pgconn = pgconn
        self._loop = asyncio.get_running_loop()
        self._prepared_names: OrderedDict[tuple[str, tuple[int, ...]], bytes] = (
            OrderedDict()
        )
        self._new_statements: list[tuple[str, tuple[int, ...]]] = []
        self._names_to_close: list[bytes] = []
        self._next_name = 0
        self._pipeline: _Pipeline | None = None
        self._closed = False
        self._loss_reason = ""
        self._notices = 0
        self._unasked_message = ""
        pgconn.notice_handler = self._on_notice
        pgconn.nonblocking = 1
        pgconn.enter_pipeline_mode()
        self._fileno = pgconn.socket
        self._loop.add_reader(self._fileno, self._on_readable)

    @property
    def usable(self) -> bool:
        """False once the connection is closed or lost."""
        return not self._closed

    @property
    def in_transaction(self) -> bool:
        """True unless the endpoint last reported that no transaction is open."""
        return self._pgconn.transaction_status != pq.TransactionStatus.IDLE

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        """Run the steps in one round trip of at most `timeout` seconds.

        Raises `EndpointError` for a failed step, and `ConnectionLost`.
        """
        commands: deque[int | None] = deque()
        results = await self._run_pipeline(
            lambda: self._send_steps(steps, commands), commands, timeout
        )
        return [_query_result(result) for result in results]

    async def describe(
        self, sql: str, param_oids: Sequence[int], *, timeout: float
    ) -> StatementShape:
        """Prepare the statement and return its parameter types and columns."""
        commands: deque[int | None] = deque()

        def send() -> None:
            name = self._prepare(sql, tuple(param_oids), commands)
            self._pgconn.send_describe_prepared(name)
            commands.append(0)

        (result,) = await self._run_pipeline(
            send, commands, timeout, runs_statements=False
        )
        oids = tuple(result.param_type(i) for i in range(result.nparams))
        columns = _columns(result) if result.nfields else None
        return StatementShape(oids, columns)

    def close(self) -> None:
        """Close at once; cancel a running statement at the endpoint."""
        if self._closed:
            return
        running = self._pipeline is not None and not self._loss_reason
        self._closed = True
        self._loop.remove_reader(self._fileno)
        self._loop.remove_writer(self._fileno)
        self._fail_pipeline(self._loss_reason or "the connection was closed")
        if running:
            _start_cancel(self._pgconn)
        else:
            self._pgconn.finish()

    async def _run_pipeline(
        self,
        send: Callable[[], None],
        commands: deque[int | None],
        timeout: float,
        *,
        runs_statements: bool = True,
    ) -> list[pq.abc.PGresult]:
        if self._pipeline is not None:
            raise AssertionError("a pipeline is already running on this connection")
        if not self._closed:
            self._on_readable()
        if self._closed:
            raise ConnectionLost(
                self._loss_reason or "the connection is closed", sent=False
            )
        pipeline = _Pipeline(
            commands, self._loop.create_future(), runs_statements=runs_statements
        )
        self._pipeline = pipeline
        self._new_statements.clear()
        try:
            for name in self._names_to_close:
                self._send_close(name, commands)
            self._names_to_close.clear()
            send()
            self._pgconn.pipeline_sync()
            self._flush()
            await self._wait(pipeline, timeout)
        except OperationalError as error:
            self._mark_lost(str(error).strip())
            raise ConnectionLost(self._loss_reason, sent=True) from None
        except BaseException:
            # The pipeline is not answered in full. Close the connection, because a late
            # answer must never reach the next user.
            self.close()
            raise
        finally:
            self._pipeline = None
        if pipeline.error is not None:
            self._discard_new_statements()
            raise pipeline.error
        return pipeline.results

    def _discard_new_statements(self) -> None:
        """Drop the names of statements that a failed pipeline may not have prepared.

        The next pipeline closes these names; closing an unknown name is no error.
        """
        for key in self._new_statements:
            name = self._prepared_names.pop(key, None)
            if name is not None:
                self._names_to_close.append(name)

    async def _wait(self, pipeline: _Pipeline, timeout: float) -> None:
        if pipeline.done.done():
            return pipeline.done.result()
        handle = self._loop.call_later(
            max(timeout, 0.0), _fail_on_timeout, pipeline.done
        )
        try:
            await pipeline.done
        finally:
            handle.cancel()

    def _send_steps(self, steps: Sequence[Step], commands: deque[int | None]) -> None:
        for index, step in enumerate(steps):
            if step.prepare:
                name = self._prepare(step.sql, step.param_oids, commands)
                self._pgconn.send_query_prepared(
                    name, step.params, step.param_formats or None, step.result_format
                )
            else:
                self._pgconn.send_query_params(
                    step.sql.encode(),
                    step.params,
                    step.param_oids or None,
                    step.param_formats or None,
                    step.result_format,
                )
            commands.append(index)

    def _prepare(
        self, sql: str, oids: tuple[int, ...], commands: deque[int | None]
    ) -> bytes:
        key = (sql, oids)
        name = self._prepared_names.get(key)
        if name is not None:
            self._prepared_names.move_to_end(key)
            return name
        if len(self._prepared_names) >= MAX_PREPARED_STATEMENTS:
            _, old = self._prepared_names.popitem(last=False)
            self._send_close(old, commands)
        self._next_name += 1
        name = b"cj%d" % self._next_name
        self._pgconn.send_prepare(name, sql.encode(), oids or None)
        commands.append(None)
        self._prepared_names[key] = name
        self._new_statements.append(key)
        return name

    def _send_close(self, name: bytes, commands: deque[int | None]) -> None:
        self._pgconn.send_close_prepared(name)
        commands.append(None)

    def _flush(self) -> None:
        if self._pgconn.flush():
            self._loop.add_writer(self._fileno, self._on_writable)

    def _on_writable(self) -> None:
        try:
            if not self._pgconn.flush():
                self._loop.remove_writer(self._fileno)
        except OperationalError as error:
            self._mark_lost(str(error).strip())

    def _on_readable(self) -> None:
        try:
            if self._pipeline is None or self._pipeline.done.done():
                self._read_idle_input()
                return
            self._pgconn.consume_input()
            self._read_results(self._pipeline)
        except OperationalError as error:
            self._mark_lost(str(error).strip())

    def _read_idle_input(self) -> None:
        """Read input while no answer is due; close unless it is an expected message.

        Expected are notices, notifications and changed parameters. libpq does not tell
        an incomplete message from none, so input without any of these closes too. TLS
        has records that contain no message.
        """
        pgconn = self._pgconn
        has_input = not pgconn.ssl_in_use and _has_input(self._fileno)
        before = self._asynchronous_state() if has_input else ()
        if has_input or pgconn.ssl_in_use:
            pgconn.consume_input()
        pgconn.is_busy()
        notified = False
        while pgconn.notifies() is not None:
            notified = True
        if pgconn.status == pq.ConnStatus.BAD:
            self._mark_lost("the endpoint closed the connection")
        elif self._unasked_message:
            self._reject_answer(self._unasked_message)
        elif has_input and not notified and self._asynchronous_state() == before:
            self._reject_answer("part of a message while idle")

    def _asynchronous_state(self) -> tuple[object, ...]:
        parameters = map(self._pgconn.parameter_status, _REPORTED_PARAMETERS)
        return (self._notices, *parameters)

    def _on_notice(self, notice: pq.abc.PGresult) -> None:
        """Count a notice; libpq also reports messages that no command awaits here."""
        severity = notice.error_field(pq.DiagnosticField.SEVERITY_NONLOCALIZED)
        sqlstate = notice.error_field(pq.DiagnosticField.SQLSTATE)
        if sqlstate is None or severity in _ERROR_SEVERITIES:
            text = notice.error_field(pq.DiagnosticField.MESSAGE_PRIMARY) or b""
            self._unasked_message = text.decode("utf-8", "replace") or "an error"
        else:
            self._notices += 1

    def _reject_answer(self, reason: str) -> None:
        """Close the connection, because its next answers may be to other commands."""
        _log.warning(
            "endpoint_answer_rejected",
            host=self._pgconn.host,
            port=self._pgconn.port,
            running=self._pipeline is not None,
            reason=reason,
        )
        self._mark_lost(f"an answer was out of place: {reason}")

    def _read_results(self, pipeline: _Pipeline) -> None:
        pgconn = self._pgconn
        while not pipeline.done.done() and not pgconn.is_busy():
            result = pgconn.get_result()
            if result is None:
                if pgconn.status == pq.ConnStatus.BAD:
                    self._mark_lost("the endpoint closed the connection")
                continue
            status = result.status
            if status == pq.ExecStatus.PIPELINE_SYNC:
                self._end_pipeline(pipeline)
            else:
                self._record_result(pipeline, result, status)

    def _end_pipeline(self, pipeline: _Pipeline) -> None:
        """Finish the pipeline unless an answer is missing or another one follows."""
        if pipeline.commands:
            self._reject_answer(f"{len(pipeline.commands)} answers are missing")
            return
        self._pgconn.is_busy()
        if self._unasked_message:
            self._reject_answer(self._unasked_message)
        else:
            pipeline.done.set_result(None)

    def _record_result(
        self, pipeline: _Pipeline, result: pq.abc.PGresult, status: int
    ) -> None:
        if self._pgconn.status == pq.ConnStatus.BAD:
            self._mark_lost(result.get_error_message().strip())
            return
        if not pipeline.commands:
            self._reject_answer("more answers than commands")
            return
        index = pipeline.commands.popleft()
        if not pipeline.is_answer(result, index):
            self._reject_answer(_describe_result(result))
        elif status == pq.ExecStatus.FATAL_ERROR:
            step = index if index is not None else _next_step_index(pipeline.commands)
            pipeline.error = EndpointError(_error_fields(result), step)
        elif status == pq.ExecStatus.PIPELINE_ABORTED:
            return
        elif index is not None:
            pipeline.results.append(result)

    def _mark_lost(self, reason: str) -> None:
        self._loss_reason = reason or "the connection broke"
        self.close()

    def _fail_pipeline(self, reason: str) -> None:
        pipeline = self._pipeline
        if pipeline is not None and not pipeline.done.done():
            pipeline.done.set_exception(ConnectionLost(reason, sent=True))
            # Mark the exception as retrieved: the waiter may have been cancelled.
            pipeline.done.exception()


def _fail_on_timeout(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_exception(ConnectionLost("no answer in time", sent=True))


def _has_input(fileno: int) -> bool:
    """Return whether the socket can be read without blocking."""
    poller = select.poll()
    poller.register(fileno, select.POLLIN)
    return bool(poller.poll(0))


def _describe_result(result: pq.abc.PGresult) -> str:
    tag = (result.command_status or b"").decode("utf-8", "replace")
    return result.get_error_message().strip() or f"{tag or 'no tag'} for a command"


def _next_step_index(commands: deque[int | None]) -> int:
    return next((index for index in commands if index is not None), 0)


def _columns(result: pq.abc.PGresult) -> tuple[Column, ...]:
    return tuple(
        Column(result.fname(i) or b"", result.ftype(i), result.fsize(i), result.fmod(i))
        for i in range(result.nfields)
    )


def _query_result(result: pq.abc.PGresult) -> QueryResult:
    tag = (result.command_status or b"").decode("ascii")
    if result.status not in _ROW_STATUSES:
        return QueryResult(tag, None, ())
    get = result.get_value
    width = range(result.nfields)
    rows = [tuple([get(r, c) for c in width]) for r in range(result.ntuples)]
    return QueryResult(tag, _columns(result), rows)


def _error_fields(result: pq.abc.PGresult) -> dict[str, str]:
    fields = {}
    for code, field in _DIAGNOSTIC_FIELDS.items():
        value = result.error_field(field)
        if value is not None:
            fields[code] = value.decode("utf-8", "replace")
    fields.setdefault("C", "XX000")
    fields.setdefault("M", result.get_error_message().strip())
    return fields


_cancel_tasks: set[asyncio.Task[None]] = set()


def _start_cancel(pgconn: pq.PGconn) -> None:
    task = asyncio.get_running_loop().create_task(_cancel(pgconn))
    _cancel_tasks.add(task)
    task.add_done_callback(_cancel_tasks.discard)


async def _cancel(pgconn: pq.PGconn) -> None:
    """Ask the endpoint to cancel the running statement, then close the socket.

    Otherwise a slow statement would occupy its slot after its client disconnected.
    """
    try:
        request = pgconn.cancel_conn()
        request.start()
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            while (status := request.poll()) != pq.PollingStatus.OK:
                if status == pq.PollingStatus.FAILED:
                    break
                write = status == pq.PollingStatus.WRITING
                await _wait_socket(request.socket, write=write)
    except (OperationalError, TimeoutError, OSError):
        pass
    finally:
        pgconn.finish()
