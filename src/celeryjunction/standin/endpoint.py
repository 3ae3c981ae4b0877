"""One endpoint of a stand-in database group: clients, transactions, slots, faults.

An `Endpoint` runs PostgreSQL statements on its `Engine`. As a real endpoint does, it
has its own term and role and no information about the other endpoints; replication and
promotion are implemented by the group.
"""

from __future__ import annotations

import asyncio
import secrets
import socket
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from pg_mimic import BaseSession, PgError, Statement, messages
from pg_mimic.stream import ConnectionClosed
from pg_mimic.typeinfo import is_typeinfo_query, typeinfo_statement

from celeryjunction.standin._plan import Plan, PlanKind
from celeryjunction.standin._protocol import (
    BufferedStream,
    ClientConnection,
    ClientServer,
    PlannedStatement,
    Rows,
)
from celeryjunction.standin._types import canonical_timestamp
from celeryjunction.standin.sqlite_engine import Engine, WriteTransaction

_LISTEN_BACKLOG = 512
_REBIND_ATTEMPTS = 100
_REBIND_PAUSE_S = 0.01
_DEFAULT_SERVICE_TIME_S = 0.001
"""Service time that `slow` multiplies when the configured service time is 0."""
_ALLOWED_AFTER_ERROR = (PlanKind.COMMIT, PlanKind.ROLLBACK, PlanKind.ROLLBACK_TO)
"""Statements that run in a failed transaction."""


@dataclass(slots=True)
class EndpointTimes:
    """Delays of one endpoint; `slow_factor` multiplies the service time `statement_s`.

    See `GroupConfig` for the meaning of each delay.
    """

    replication_s: float
    apply_lag_s: float
    connect_delay_s: float
    statement_s: float
    slow_factor: float = 1.0


@dataclass(slots=True)
class Counters:
    """Counters of one endpoint, shown by ``/state``."""

    connections: int = 0
    peak_connections: int = 0
    refused_connections: int = 0
    statements_run: int = 0
    running: int = 0
    peak_running: int = 0
    busy_s: float = 0.0


@dataclass(slots=True)
class Faults:
    """Active faults of one endpoint.

    `blocked` holds the blocked zones, where None means all zones. `frozen_until` is in
    the event loop's time; `lose_commit_answers` is the number of COMMIT answers still
    to lose.
    """

    cut: bool = False
    crashed: bool = False
    frozen_until: float = 0.0
    blocked: set[str | None] = field(default_factory=set)
    lose_commit_answers: int = 0


class Endpoint:
    """One endpoint; calls `on_commit` after each log entry that it commits."""

    def __init__(
        self,
        *,
        name: str,
        host: str,
        port: int,
        connections: int,
        slots: int,
        schema: Sequence[str],
        times: EndpointTimes,
    ) -> None:
        self.name = name
        self.host = host
        self.engine = Engine(schema)
        self.times = times
        self.counters = Counters()
        self.faults = Faults()
        self.term = 1
        self.term_start = 0
        self.is_primary = False
        self.leaving = False
        self.write_lock = asyncio.Lock()
        self.on_commit: Callable[[Endpoint], None] = lambda endpoint: None
        self._connection_limit = connections
        self._slots = asyncio.Semaphore(slots)
        self._sessions: set[EndpointSession] = set()
        self._faults_changed = asyncio.Event()
        self._server: ClientServer | None = None
        # Bound but never listening, to keep the port while the endpoint is down.
        self._port_reservation = _bind_socket(host, port)
        self.port: int = self._port_reservation.getsockname()[1]

    async def listen(self) -> None:
        """Accept clients, unless the endpoint is crashed or already listening."""
        if self.faults.crashed or self._server is not None:
            return
        server = ClientServer(
            self._wait_before_handshake, self._serve, self._make_stream
        )
        self._server = server
        listener = await _rebind_socket(self.host, self.port)
        await server.start_server(sock=listener, backlog=_LISTEN_BACKLOG)
        if self._server is not server:
            server.abort()

    def disconnect_all(self) -> None:
        """Roll back all transactions, reset all connections and stop listening."""
        for session in list(self._sessions):
            session.abort_transaction()
        if self._server is not None:
            self._server.abort()
            self._server = None

    def close(self) -> None:
        """Disconnect all clients and free the port and the data."""
        self.disconnect_all()
        self._port_reservation.close()
        self.engine.close()

    def adopt_term(self, term: int, term_start: int) -> None:
        """Record a term and become a replica; rolls back open write transactions."""
        self.term = term
        self.term_start = term_start
        self.is_primary = False
        for session in list(self._sessions):
            session.abort_write()

    # --- faults -------------------------------------------------------------------

    @property
    def is_frozen(self) -> bool:
        """Whether the endpoint currently answers nothing."""
        until = self.faults.frozen_until
        return until > 0.0 and until > asyncio.get_running_loop().time()

    @property
    def is_connected(self) -> bool:
        """Whether the endpoint can reach the other endpoints."""
        return not (self.faults.cut or self.faults.crashed or self.is_frozen)

    def wake_fault_waiters(self) -> None:
        """Wake the tasks that wait for a fault to end."""
        self._faults_changed.set()
        self._faults_changed = asyncio.Event()

    async def wait_until_thawed(self) -> None:
        """Wait until the endpoint is not frozen."""
        while self.is_frozen:
            await self._faults_changed.wait()

    async def wait_until_passable(self, zone: str) -> None:
        """Wait until the endpoint is not frozen and the zone is not blocked."""
        blocked = self.faults.blocked
        while self.is_frozen or (blocked and (None in blocked or zone in blocked)):
            await self._faults_changed.wait()

    # --- clients ------------------------------------------------------------------

    async def _wait_before_handshake(self) -> None:
        await self.wait_until_passable("")

    def _make_stream(self, reader: Any, writer: Any) -> BufferedStream:
        return BufferedStream(reader, writer, self.wait_until_thawed)

    async def _serve(
        self, server: ClientServer, stream: BufferedStream, startup: dict[str, str]
    ) -> None:
        zone = _zone_of(startup.get("application_name", ""))
        stream.wait_until_passable = lambda: self.wait_until_passable(zone)
        await stream.wait_until_passable()
        counters = self.counters
        if counters.connections >= self._connection_limit:
            counters.refused_connections += 1
            await _reject_connection(stream)
            return
        counters.connections += 1
        counters.peak_connections = max(counters.peak_connections, counters.connections)
        try:
            await asyncio.sleep(self.times.connect_delay_s)
            await self._run_connection(server, stream, startup, zone)
        finally:
            counters.connections -= 1

    async def _run_connection(
        self,
        server: ClientServer,
        stream: BufferedStream,
        startup: dict[str, str],
        zone: str,
    ) -> None:
        session = EndpointSession(self, zone)
        secret = secrets.randbelow(1 << 31)
        pid = server.allocate_pid()
        connection = ClientConnection(stream, session, server, pid, secret, startup)
        server.register(connection)
        self._sessions.add(session)
        try:
            await connection.run()
        finally:
            self._sessions.discard(session)
            server.unregister(connection)

    # --- statements ---------------------------------------------------------------

    def status_row(self) -> dict[str, Any]:
        """Return the row of celeryjunction_status by column name."""
        return {
            "term": self.term,
            "role": "primary" if self.is_primary else "replica",
            "received": len(self.engine.log),
            "applied": self.engine.applied,
            "leaving": self.leaving,
            "term_start": self.term_start,
        }

    def require_primary(self, tag: str) -> None:
        """Raise `PgError` 25006 unless the endpoint is a primary."""
        if not self.is_primary:
            raise _read_only(tag)

    @asynccontextmanager
    async def slot(self, sleep: float) -> AsyncIterator[None]:
        """Hold a slot for the service time, a further `sleep` seconds and the body."""
        times, counters = self.times, self.counters
        async with self._slots:
            counters.running += 1
            counters.statements_run += 1
            counters.peak_running = max(counters.peak_running, counters.running)
            started_at = time.monotonic()
            try:
                base = times.statement_s
                if times.slow_factor != 1.0:
                    base = (base or _DEFAULT_SERVICE_TIME_S) * times.slow_factor
                if base + sleep > 0:
                    await asyncio.sleep(base + sleep)
                await self.wait_until_thawed()
                yield
            finally:
                counters.running -= 1
                counters.busy_s += time.monotonic() - started_at

    def commit(self, write: WriteTransaction) -> bool:
        """Commit a write transaction; returns whether a log entry was written."""
        now = asyncio.get_running_loop().time()
        logged = self.engine.commit(write, term=self.term, at=now)
        if logged:
            self.on_commit(self)
        return logged


def _bind_socket(host: str, port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


async def _rebind_socket(host: str, port: int) -> socket.socket:
    """Bind to a port again, with retries.

    The event loop may close the previous listener only in a later iteration.
    """
    for _ in range(_REBIND_ATTEMPTS):
        try:
            return _bind_socket(host, port)
        except OSError:
            await asyncio.sleep(_REBIND_PAUSE_S)
    return _bind_socket(host, port)


def _zone_of(application_name: str) -> str:
    """Return the zone of ``celeryjunction/<vm>/<zone>``, or "" for other names."""
    parts = application_name.split("/")
    return parts[2] if len(parts) == 3 and parts[0] == "celeryjunction" else ""


async def _reject_connection(stream: BufferedStream) -> None:
    message = "sorry, too many clients already"
    fields = {"S": "FATAL", "V": "FATAL", "C": "53300", "M": message}
    stream.write(messages.make_error_response(fields))
    await stream.drain()


def _read_only(tag: str) -> PgError:
    return PgError("25006", f"cannot execute {tag} in a read-only transaction")


@dataclass(slots=True)
class _Transaction:
    """An open transaction; `write` is set from its first write or row lock on."""

    read_only: bool = False
    now: str = field(default_factory=lambda: canonical_timestamp(datetime.now(UTC)))
    xid: int = 0
    savepoints: list[str] = field(default_factory=list)
    write: WriteTransaction | None = None


class EndpointSession(BaseSession):
    """The session of one client at an endpoint."""

    def __init__(self, endpoint: Endpoint, zone: str) -> None:
        self._endpoint = endpoint
        self._zone = zone
        self._connection: Any = None
        self._transaction: _Transaction | None = None

    async def init(self, connection: Any) -> None:
        """Store the connection, which holds the transaction status."""
        self._connection = connection

    async def close(self) -> None:
        """Roll back the open transaction."""
        self.abort_transaction()

    async def before_message(self) -> None:
        """Wait while the endpoint is frozen or the client's zone is blocked."""
        await self._endpoint.wait_until_passable(self._zone)

    async def prepare(self, sql: str, param_oids: list[int | None]) -> Statement:
        """Analyse a statement."""
        if is_typeinfo_query(sql):
            return typeinfo_statement(self._connection, sql)
        plan = self._endpoint.engine.plan(sql, param_oids)
        return PlannedStatement(plan, self._run)

    async def _run(self, plan: Plan, params: tuple[Any, ...]) -> tuple[Rows, str]:
        if self._connection.tx_status == b"E" and plan.kind not in _ALLOWED_AFTER_ERROR:
            text = "current transaction is aborted, commands ignored until end of block"
            raise PgError("25P02", text)
        if plan.kind is PlanKind.STATUS:
            return self._read_status(plan)
        if plan.kind is PlanKind.READ:
            return await self._read(plan, params)
        if plan.kind is PlanKind.WRITE:
            return await self._write(plan, params)
        return _CONTROL_HANDLERS[plan.kind](self, plan)

    # --- transaction control ------------------------------------------------------

    def _begin(self, plan: Plan) -> tuple[Rows, str]:
        if self._transaction is None:
            read_only = "READ ONLY" in plan.argument.upper()
            self._transaction = _Transaction(read_only=read_only)
            self._connection.tx_status = b"T"
        return [], "BEGIN"

    def _commit(self, plan: Plan) -> tuple[Rows, str]:
        transaction = self._transaction
        if self._connection.tx_status == b"E":
            return self._rollback(plan)
        logged = (
            self._commit_transaction(transaction) if transaction is not None else False
        )
        self._transaction = None
        self._connection.tx_status = b"I"
        faults = self._endpoint.faults
        if logged and faults.lose_commit_answers > 0:
            faults.lose_commit_answers -= 1
            self._connection.stream.abort()
            raise ConnectionClosed
        return [], "COMMIT"

    def _commit_transaction(self, transaction: _Transaction) -> bool:
        """Commit a transaction; returns whether a log entry was written."""
        write, transaction.write = transaction.write, None
        if write is None:
            if transaction.xid:
                self._endpoint.engine.xids[transaction.xid] = "committed"
            return False
        try:
            return self._endpoint.commit(write)
        finally:
            self._endpoint.write_lock.release()

    def _rollback(self, plan: Plan) -> tuple[Rows, str]:
        self.abort_transaction()
        self._connection.tx_status = b"I"
        return [], "ROLLBACK"

    def abort_transaction(self) -> None:
        """Roll back and discard the open transaction."""
        self.abort_write()
        self._transaction = None

    def abort_write(self) -> None:
        """Roll back the writes of the open transaction and mark it as failed.

        Does nothing if the transaction has neither a write nor a transaction id.
        """
        transaction = self._transaction
        if transaction is None or not (transaction.write or transaction.xid):
            return
        write, transaction.write = transaction.write, None
        if write is not None:
            self._endpoint.engine.rollback(write)
            self._endpoint.write_lock.release()
        self._endpoint.engine.xids[transaction.xid] = "aborted"
        if self._connection.tx_status == b"T":
            self._connection.tx_status = b"E"

    def _savepoint(self, plan: Plan) -> tuple[Rows, str]:
        transaction = self._in_block(plan)
        if transaction.write is not None:
            self._endpoint.engine.savepoint(transaction.write, plan.argument)
        transaction.savepoints.append(plan.argument)
        return [], "SAVEPOINT"

    def _release(self, plan: Plan) -> tuple[Rows, str]:
        transaction = self._in_block(plan)
        index = _savepoint_index(transaction, plan.argument)
        if transaction.write is not None:
            self._endpoint.engine.release(transaction.write, plan.argument)
        del transaction.savepoints[index:]
        return [], "RELEASE"

    def _rollback_to(self, plan: Plan) -> tuple[Rows, str]:
        transaction = self._in_block(plan)
        index = _savepoint_index(transaction, plan.argument)
        if transaction.write is not None:
            self._endpoint.engine.rollback_to(transaction.write, plan.argument)
        elif self._endpoint.engine.xids.get(transaction.xid) == "aborted":
            # A change of primary rolled back the whole transaction.
            raise _read_only("ROLLBACK TO SAVEPOINT")
        del transaction.savepoints[index + 1 :]
        self._connection.tx_status = b"T"
        return [], "ROLLBACK"

    def _in_block(self, plan: Plan) -> _Transaction:
        if self._transaction is None:
            raise PgError("25P01", f"{plan.tag} can only be used in transaction blocks")
        return self._transaction

    # --- settings -----------------------------------------------------------------

    def _set(self, plan: Plan) -> tuple[Rows, str]:
        name, _, value = plan.argument.replace("=", " ").partition(" ")
        value = value.strip().removeprefix("TO ").removeprefix("to ")
        self._connection.session_vars[name.lower()] = value.strip(" '\"")
        return [], "SET"

    def _show(self, plan: Plan) -> tuple[Rows, str]:
        name = plan.argument.strip('"').lower()
        defaults = self._connection.server.parameter_status
        value = self._connection.session_vars.get(name, defaults.get(name, ""))
        return [(value,)], "SHOW"

    def _utility(self, plan: Plan) -> tuple[Rows, str]:
        if plan.tag in ("RESET", "DISCARD"):
            self._connection.session_vars.clear()
        return [], plan.tag

    # --- statements ---------------------------------------------------------------

    def _read_status(self, plan: Plan) -> tuple[Rows, str]:
        row = self._endpoint.status_row()
        return [tuple(row[column.name] for column in plan.columns or ())], "SELECT 1"

    async def _read(self, plan: Plan, params: tuple[Any, ...]) -> tuple[Rows, str]:
        transaction = self._transaction
        if plan.assigns_xid:
            self._endpoint.require_primary("pg_current_xact_id()")
            transaction = transaction or _Transaction()
            self._assign_xid(transaction)
        if plan.takes_lock:
            self._endpoint.require_primary("SELECT FOR UPDATE")
            if transaction is not None:
                await self._open_write(transaction, plan)
        if not plan.needs_slot:
            rows = self._select(plan, params, transaction)
        else:
            async with self._endpoint.slot(_sleep_seconds(plan, params)):
                rows = self._select(plan, params, transaction)
        if transaction is not self._transaction:
            # An implicit transaction, which exists only for the transaction id.
            self._commit_transaction(transaction)
        return rows, f"SELECT {len(rows)}"

    def _select(
        self, plan: Plan, params: tuple[Any, ...], transaction: _Transaction | None
    ) -> Rows:
        engine = self._endpoint.engine
        if transaction is not None and transaction.write is not None:
            return engine.run(transaction.write, plan, params, log=False)[0]
        self._raise_if_aborted()
        current = transaction or _Transaction()
        return engine.read(plan, params, now=current.now, xid=current.xid)

    def _raise_if_aborted(self) -> None:
        """Raise 25006 if the transaction was aborted while the statement waited."""
        if self._connection.tx_status == b"E":
            raise PgError("25006", "the transaction was aborted by a change of primary")

    def _assign_xid(self, transaction: _Transaction) -> None:
        if not transaction.xid:
            transaction.xid = self._endpoint.engine.assign_xid()

    async def _write(self, plan: Plan, params: tuple[Any, ...]) -> tuple[Rows, str]:
        is_implicit = self._transaction is None
        transaction = self._transaction or _Transaction()
        self._transaction = transaction
        try:
            await self._open_write(transaction, plan)
            async with self._endpoint.slot(_sleep_seconds(plan, params)):
                if transaction.write is None:
                    raise _read_only(plan.tag)
                rows, count = self._endpoint.engine.run(
                    transaction.write, plan, params, log=True
                )
                if is_implicit:
                    self._commit_transaction(transaction)
        except BaseException:
            if is_implicit:
                self.abort_transaction()
            raise
        if is_implicit:
            self._transaction = None
        return rows, _command_tag(plan, count)

    async def _open_write(self, transaction: _Transaction, plan: Plan) -> None:
        """Acquire the write lock and begin the write transaction, if not yet done."""
        endpoint = self._endpoint
        endpoint.require_primary(plan.tag)
        if transaction.read_only:
            raise _read_only(plan.tag)
        if transaction.write is not None:
            return
        await endpoint.write_lock.acquire()
        try:
            endpoint.require_primary(plan.tag)
            self._raise_if_aborted()
            self._assign_xid(transaction)
            transaction.write = endpoint.engine.begin(
                transaction.xid, transaction.now, transaction.savepoints
            )
        except BaseException:
            endpoint.write_lock.release()
            raise


_CONTROL_HANDLERS: dict[
    PlanKind, Callable[[EndpointSession, Plan], tuple[Rows, str]]
] = {
    PlanKind.EMPTY: lambda session, plan: ([], ""),
    PlanKind.BEGIN: EndpointSession._begin,
    PlanKind.COMMIT: EndpointSession._commit,
    PlanKind.ROLLBACK: EndpointSession._rollback,
    PlanKind.SAVEPOINT: EndpointSession._savepoint,
    PlanKind.RELEASE: EndpointSession._release,
    PlanKind.ROLLBACK_TO: EndpointSession._rollback_to,
    PlanKind.SET: EndpointSession._set,
    PlanKind.SHOW: EndpointSession._show,
    PlanKind.UTILITY: EndpointSession._utility,
}


def _savepoint_index(transaction: _Transaction, name: str) -> int:
    if name not in transaction.savepoints:
        raise PgError("3B001", f'savepoint "{name}" does not exist')
    names = transaction.savepoints
    return len(names) - 1 - names[::-1].index(name)


def _sleep_seconds(plan: Plan, params: tuple[Any, ...]) -> float:
    if plan.sleep is None:
        return 0.0
    if isinstance(plan.sleep, float):
        return plan.sleep
    return float(params[int(plan.sleep.name[1:]) - 1])


def _command_tag(plan: Plan, count: int) -> str:
    if plan.tag == "INSERT":
        return f"INSERT 0 {count}"
    return f"{plan.tag} {count}" if plan.tag in ("UPDATE", "DELETE") else plan.tag
