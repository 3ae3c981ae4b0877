"""Connections to endpoints through libpq, at the `pq` level of psycopg.

Parameters and results stay the raw bytes that the client sent or asked for. Every
call is one pipeline: all steps and one Sync travel in one round trip, and libpq ends
the pipeline at the first step that fails.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from collections.abc import Sequence

from psycopg import OperationalError, pq
from psycopg.conninfo import make_conninfo

from celeryjunction.errors import ConnectionLost, EndpointError
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
"""Statements kept prepared per connection; the least recently used one goes first."""

CANCEL_TIMEOUT_S = 2.0

_ERROR_FIELDS = {
    chr(field.value): field
    for field in pq.DiagnosticField
    if field is not pq.DiagnosticField.SEVERITY_NONLOCALIZED
}

_ROW_STATUSES = (pq.ExecStatus.TUPLES_OK, pq.ExecStatus.SINGLE_TUPLE)


class EndpointLogin:
    """Account that the proxy uses at endpoints."""

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

        Raises `ConnectionLost` when the endpoint cannot be reached and
        `EndpointError` when it refuses the connection (53300: too many of them).
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
    # libpq keeps no SQLSTATE of a failed connection attempt, only the text.
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


class _Pending:
    """Answer of the running pipeline, as far as it has arrived."""

    __slots__ = ("commands", "done", "error", "results")

    def __init__(self, commands: deque[int | None], done: asyncio.Future[None]) -> None:
        # One entry per command sent: the index of the step it answers, or None for
        # a Parse whose answer carries nothing.
        self.commands = commands
        self.done = done
        self.error: EndpointError | None = None
        self.results: list[pq.abc.PGresult] = []


class PgConnection:
    """One libpq connection in pipeline mode. Implements `EndpointConnection`."""

    __slots__ = (
        "_closed",
        "_fileno",
        "_loop",
        "_lost",
        "_names",
        "_new_names",
        "_next_name",
        "_pending",
        "_pgconn",
        "_unclosed",
        "opened_at",
        "verified_term",
    )

    def __init__(self, pgconn: pq.PGconn, *, opened_at: float) -> None:
        self.opened_at = opened_at
        self.verified_term = 0
        self._pgconn = pgconn
        self._loop = asyncio.get_running_loop()
        self._names: OrderedDict[tuple[str, tuple[int, ...]], bytes] = OrderedDict()
        self._new_names: list[tuple[str, tuple[int, ...]]] = []
        self._unclosed: list[bytes] = []
        self._next_name = 0
        self._pending: _Pending | None = None
        self._closed = False
        self._lost = ""
        pgconn.nonblocking = 1
        pgconn.enter_pipeline_mode()
        self._fileno = pgconn.socket
        self._loop.add_reader(self._fileno, self._on_readable)

    @property
    def usable(self) -> bool:
        """False once the connection is closed or broken."""
        return not self._closed

    @property
    def in_transaction(self) -> bool:
        """True unless the endpoint last reported that no transaction is open."""
        return self._pgconn.transaction_status != pq.TransactionStatus.IDLE

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        """Run the steps in one round trip, at most `timeout` seconds long."""
        commands: deque[int | None] = deque()
        results = await self._exchange(
            lambda: self._send_steps(steps, commands), commands, timeout
        )
        return [_query_result(result) for result in results]

    async def describe(
        self, sql: str, param_oids: Sequence[int], *, timeout: float
    ) -> StatementShape:
        """Prepare the statement and return its parameters and columns."""
        commands: deque[int | None] = deque()

        def send() -> None:
            name = self._prepare(sql, tuple(param_oids), commands)
            self._pgconn.send_describe_prepared(name)
            commands.append(0)

        (result,) = await self._exchange(send, commands, timeout)
        oids = tuple(result.param_type(i) for i in range(result.nparams))
        columns = _columns(result) if result.nfields else None
        return StatementShape(oids, columns)

    def close(self) -> None:
        """Close at once; a running statement is cancelled at the endpoint."""
        if self._closed:
            return
        running = self._pending is not None and not self._lost
        self._closed = True
        self._loop.remove_reader(self._fileno)
        self._loop.remove_writer(self._fileno)
        self._fail_pending(self._lost or "the connection was closed")
        if running:
            _start_cancel(self._pgconn)
        else:
            self._pgconn.finish()

    async def _exchange(
        self, send, commands: deque[int | None], timeout: float
    ) -> list[pq.abc.PGresult]:
        if self._closed:
            raise ConnectionLost(self._lost or "the connection is closed", sent=False)
        if self._pending is not None:
            raise AssertionError("a pipeline is already running on this connection")
        pending = _Pending(commands, self._loop.create_future())
        self._pending = pending
        self._new_names.clear()
        try:
            for name in self._unclosed:
                self._close_name(name, commands)
            self._unclosed.clear()
            send()
            self._pgconn.pipeline_sync()
            self._flush()
            await self._wait(pending, timeout)
        except OperationalError as error:
            self._break(str(error).strip())
            raise ConnectionLost(self._lost, sent=True) from None
        except BaseException:
            # An unanswered pipeline leaves the connection in doubt: a late answer
            # must never reach the next user.
            self.close()
            raise
        finally:
            self._pending = None
        if pending.error is not None:
            self._forget_new_names()
            raise pending.error
        return pending.results

    def _forget_new_names(self) -> None:
        """Drop statements that a failed pipeline may not have prepared.

        They are closed with the next pipeline; closing an unknown name is no error.
        """
        for key in self._new_names:
            name = self._names.pop(key, None)
            if name is not None:
                self._unclosed.append(name)

    async def _wait(self, pending: _Pending, timeout: float) -> None:
        if pending.done.done():
            return pending.done.result()
        handle = self._loop.call_later(max(timeout, 0.0), _expire, pending.done)
        try:
            await pending.done
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
        name = self._names.get(key)
        if name is not None:
            self._names.move_to_end(key)
            return name
        if len(self._names) >= MAX_PREPARED_STATEMENTS:
            _, old = self._names.popitem(last=False)
            self._close_name(old, commands)
        self._next_name += 1
        name = b"cj%d" % self._next_name
        self._pgconn.send_prepare(name, sql.encode(), oids or None)
        commands.append(None)
        self._names[key] = name
        self._new_names.append(key)
        return name

    def _close_name(self, name: bytes, commands: deque[int | None]) -> None:
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
            self._break(str(error).strip())

    def _on_readable(self) -> None:
        try:
            self._pgconn.consume_input()
            if self._pending is None:
                if self._pgconn.status == pq.ConnStatus.BAD:
                    self._break("the endpoint closed the connection")
                return
            self._collect(self._pending)
        except OperationalError as error:
            self._break(str(error).strip())

    def _collect(self, pending: _Pending) -> None:
        pgconn = self._pgconn
        while not pending.done.done() and not pgconn.is_busy():
            result = pgconn.get_result()
            if result is None:
                if pgconn.status == pq.ConnStatus.BAD:
                    self._break("the endpoint closed the connection")
                continue
            status = result.status
            if status == pq.ExecStatus.PIPELINE_SYNC:
                pending.done.set_result(None)
            else:
                self._take(pending, result, status)

    def _take(self, pending: _Pending, result: pq.abc.PGresult, status: int) -> None:
        if self._pgconn.status == pq.ConnStatus.BAD:
            self._break(result.get_error_message().strip())
            return
        index = pending.commands.popleft()
        if status == pq.ExecStatus.FATAL_ERROR:
            step = index if index is not None else _next_step(pending.commands)
            pending.error = EndpointError(_error_fields(result), step)
        elif status == pq.ExecStatus.PIPELINE_ABORTED:
            return
        elif index is not None:
            pending.results.append(result)

    def _break(self, reason: str) -> None:
        self._lost = reason or "the connection broke"
        self.close()

    def _fail_pending(self, reason: str) -> None:
        pending = self._pending
        if pending is not None and not pending.done.done():
            pending.done.set_exception(ConnectionLost(reason, sent=True))
            # The waiter may be gone already (cancelled); its exception is then unused.
            pending.done.exception()


def _expire(done: asyncio.Future[None]) -> None:
    if not done.done():
        done.set_exception(ConnectionLost("no answer in time", sent=True))


def _next_step(commands: deque[int | None]) -> int:
    return next((index for index in commands if index is not None), 0)


def _columns(result: pq.abc.PGresult) -> tuple[Column, ...]:
    return tuple(
        Column(result.fname(i) or b"", result.ftype(i), result.fsize(i), result.fmod(i))
        for i in range(result.nfields)
    )


def _query_result(result: pq.abc.PGresult) -> QueryResult:
    tag = (result.command_status or b"").decode()
    if result.status not in _ROW_STATUSES:
        return QueryResult(tag, None, ())
    get = result.get_value
    width = range(result.nfields)
    rows = [tuple([get(r, c) for c in width]) for r in range(result.ntuples)]
    return QueryResult(tag, _columns(result), rows)


def _error_fields(result: pq.abc.PGresult) -> dict[str, str]:
    fields = {}
    for letter, field in _ERROR_FIELDS.items():
        value = result.error_field(field)
        if value is not None:
            fields[letter] = value.decode("utf-8", "replace")
    fields.setdefault("C", "XX000")
    fields.setdefault("M", result.get_error_message().strip())
    return fields


_cancels: set[asyncio.Task[None]] = set()


def _start_cancel(pgconn: pq.PGconn) -> None:
    task = asyncio.get_running_loop().create_task(_cancel(pgconn))
    _cancels.add(task)
    task.add_done_callback(_cancels.discard)


async def _cancel(pgconn: pq.PGconn) -> None:
    """Ask the endpoint to stop the running statement, then close the socket.

    Without it a slow statement would keep its slot after its client has gone.
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
