"""One endpoint of a stand-in database group: clients, transactions, slots, faults.

An `Endpoint` runs PostgreSQL statements over its `Engine`. It knows its own term and
role, as a real endpoint does, and nothing of the other endpoints: replication and
promotion are the group's.
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

from celeryjunction.standin._plan import Kind, Plan
from celeryjunction.standin._protocol import (
    BufferedStream,
    ClientConnection,
    ClientServer,
    PlannedStatement,
    Rows,
)
from celeryjunction.standin._types import canonical_timestamp
from celeryjunction.standin.sqlite_engine import Engine, WriteTransaction

_BACKLOG = 512
_REBIND_ATTEMPTS = 100
_REBIND_PAUSE_S = 0.01
_SLOW_BASE_S = 0.001
"""Service time that `slow` multiplies when statements have none."""
_ENDS = (Kind.COMMIT, Kind.ROLLBACK, Kind.ROLLBACK_TO)


@dataclass(slots=True)
class EndpointTimes:
    """Delays of one endpoint, in seconds; `slow_factor` multiplies service times."""

    replication: float
    apply_lag: float
    connect_delay: float
    statement: float
    slow_factor: float = 1.0


@dataclass(slots=True)
class Counters:
    """What an endpoint counts for ``/state``."""

    connections: int = 0
    peak_connections: int = 0
    refused_connections: int = 0
    statements_run: int = 0
    running: int = 0
    peak_running: int = 0
    busy_s: float = 0.0


@dataclass(slots=True)
class Faults:
    """Faults that are switched on; `blocked` holds zones, None for all of them."""

    cut: bool = False
    crashed: bool = False
    frozen_until: float = 0.0
    blocked: set[str | None] = field(default_factory=set)
    lose_commit_answers: int = 0


class Endpoint:
    """One endpoint. `on_commit` is called after each log entry that it writes."""

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
        self._limit = connections
        self._slots = asyncio.Semaphore(slots)
        self._sessions: set[EndpointSession] = set()
        self._gate = asyncio.Event()
        self._server: ClientServer | None = None
        # Bound and never listening: keeps the port while the endpoint is down.
        self._port_holder = _bound_socket(host, port)
        self.port: int = self._port_holder.getsockname()[1]

    async def listen(self) -> None:
        """Accept clients on the endpoint's port; nothing while it is crashed."""
        if self.faults.crashed or self._server is not None:
            return
        server = ClientServer(self._accepted, self._serve, self._make_stream)
        self._server = server
        listener = await _rebound_socket(self.host, self.port)
        await server.start_server(sock=listener, backlog=_BACKLOG)
        if self._server is not server:
            server.abort()

    def disconnect_all(self) -> None:
        """Roll back all transactions, reset all sockets and stop listening."""
        for session in list(self._sessions):
            session.abort_transaction()
        if self._server is not None:
            self._server.abort()
            self._server = None

    def close(self) -> None:
        """Stop for good."""
        self.disconnect_all()
        self._port_holder.close()
        self.engine.close()

    def follow_term(self, term: int, term_start: int) -> None:
        """Record a term as a replica; open write transactions are rolled back."""
        self.term = term
        self.term_start = term_start
        self.is_primary = False
        for session in list(self._sessions):
            session.abort_write()

    # --- faults -------------------------------------------------------------------

    @property
    def frozen(self) -> bool:
        """True while the endpoint answers nothing."""
        until = self.faults.frozen_until
        return until > 0.0 and until > asyncio.get_running_loop().time()

    @property
    def connected(self) -> bool:
        """True while the endpoint can talk to the other endpoints."""
        return not (self.faults.cut or self.faults.crashed or self.frozen)

    def faults_changed(self) -> None:
        """Wake what waits for a fault to end."""
        self._gate.set()
        self._gate = asyncio.Event()

    async def thawed(self) -> None:
        """Wait until the endpoint is not frozen."""
        while self.frozen:
            await self._gate.wait()

    async def passable(self, zone: str) -> None:
        """Wait until bytes pass to and from clients of a zone."""
        blocked = self.faults.blocked
        while self.frozen or (blocked and (None in blocked or zone in blocked)):
            await self._gate.wait()

    # --- clients ------------------------------------------------------------------

    async def _accepted(self) -> None:
        await self.passable("")

    def _make_stream(self, reader: Any, writer: Any) -> BufferedStream:
        return BufferedStream(reader, writer, self.thawed)

    async def _serve(
        self, server: ClientServer, stream: BufferedStream, startup: dict[str, str]
    ) -> None:
        zone = _zone_of(startup.get("application_name", ""))
        stream.passable = lambda: self.passable(zone)
        await stream.passable()
        counters = self.counters
        if counters.connections >= self._limit:
            counters.refused_connections += 1
            await _refuse(stream)
            return
        counters.connections += 1
        counters.peak_connections = max(counters.peak_connections, counters.connections)
        try:
            await asyncio.sleep(self.times.connect_delay)
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
            server.forget(connection)

    # --- statements ---------------------------------------------------------------

    def status_row(self) -> dict[str, Any]:
        """Return the row of celeryjunction_status."""
        return {
            "term": self.term,
            "role": "primary" if self.is_primary else "replica",
            "received": len(self.engine.log),
            "applied": self.engine.applied,
            "leaving": self.leaving,
            "term_start": self.term_start,
        }

    def require_primary(self, tag: str) -> None:
        """Raise 25006 unless the endpoint accepts writes."""
        if not self.is_primary:
            raise _read_only(tag)

    @asynccontextmanager
    async def slot(self, sleep: float) -> AsyncIterator[None]:
        """Hold a slot for a statement's service time and for the body."""
        times, counters = self.times, self.counters
        async with self._slots:
            counters.running += 1
            counters.statements_run += 1
            counters.peak_running = max(counters.peak_running, counters.running)
            began = time.monotonic()
            try:
                base = times.statement
                if times.slow_factor != 1.0:
                    base = (base or _SLOW_BASE_S) * times.slow_factor
                if base + sleep > 0:
                    await asyncio.sleep(base + sleep)
                await self.thawed()
                yield
            finally:
                counters.running -= 1
                counters.busy_s += time.monotonic() - began

    def commit(self, write: WriteTransaction) -> bool:
        """Commit a write transaction; returns whether it wrote a log entry."""
        now = asyncio.get_running_loop().time()
        logged = self.engine.commit(write, term=self.term, at=now)
        if logged:
            self.on_commit(self)
        return logged


def _bound_socket(host: str, port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    try:
        bound.bind((host, port))
    except OSError:
        bound.close()
        raise
    return bound


async def _rebound_socket(host: str, port: int) -> socket.socket:
    """Bind again to a port; an event loop may close the old listener a turn later."""
    for _ in range(_REBIND_ATTEMPTS):
        try:
            return _bound_socket(host, port)
        except OSError:
            await asyncio.sleep(_REBIND_PAUSE_S)
    return _bound_socket(host, port)


def _zone_of(application_name: str) -> str:
    """Return the zone of ``celeryjunction/<vm>/<zone>``; empty for other names."""
    parts = application_name.split("/")
    return parts[2] if len(parts) == 3 and parts[0] == "celeryjunction" else ""


async def _refuse(stream: BufferedStream) -> None:
    text = "sorry, too many clients already"
    fields = {"S": "FATAL", "V": "FATAL", "C": "53300", "M": text}
    stream.write(messages.make_error_response(fields))
    await stream.drain()


def _read_only(tag: str) -> PgError:
    return PgError("25006", f"cannot execute {tag} in a read-only transaction")


@dataclass(slots=True)
class _Transaction:
    """An open transaction; `write` is set from its first write on."""

    read_only: bool = False
    now: str = field(default_factory=lambda: canonical_timestamp(datetime.now(UTC)))
    xid: int = 0
    savepoints: list[str] = field(default_factory=list)
    write: WriteTransaction | None = None


class EndpointSession(BaseSession):
    """One client's session at an endpoint."""

    def __init__(self, endpoint: Endpoint, zone: str) -> None:
        self._endpoint = endpoint
        self._zone = zone
        self._connection: Any = None
        self._transaction: _Transaction | None = None

    async def init(self, connection: Any) -> None:
        """Remember the connection, which holds the transaction status."""
        self._connection = connection

    async def close(self) -> None:
        """Roll back what is open."""
        self.abort_transaction()

    async def before_message(self) -> None:
        """Wait until the client's messages reach the endpoint."""
        await self._endpoint.passable(self._zone)

    async def prepare(self, sql: str, param_oids: list[int | None]) -> Statement:
        """Analyse a statement."""
        if is_typeinfo_query(sql):
            return typeinfo_statement(self._connection, sql)
        plan = self._endpoint.engine.plan(sql, param_oids)
        return PlannedStatement(plan, self._run)

    async def _run(self, plan: Plan, params: tuple[Any, ...]) -> tuple[Rows, str]:
        if self._connection.tx_status == b"E" and plan.kind not in _ENDS:
            text = "current transaction is aborted, commands ignored until end of block"
            raise PgError("25P02", text)
        if plan.kind is Kind.STATUS:
            return self._read_status(plan)
        if plan.kind is Kind.READ:
            return await self._read(plan, params)
        if plan.kind is Kind.WRITE:
            return await self._write(plan, params)
        return _CONTROL[plan.kind](self, plan)

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
        logged = self._finish(transaction) if transaction is not None else False
        self._transaction = None
        self._connection.tx_status = b"I"
        faults = self._endpoint.faults
        if logged and faults.lose_commit_answers > 0:
            faults.lose_commit_answers -= 1
            self._connection.stream.abort()
            raise ConnectionClosed
        return [], "COMMIT"

    def _finish(self, transaction: _Transaction) -> bool:
        """Commit what the transaction did; returns whether it wrote a log entry."""
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
        """Roll back and forget the open transaction."""
        self.abort_write()
        self._transaction = None

    def abort_write(self) -> None:
        """Roll back an open write; the transaction then fails until its end."""
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
        known = self._connection.server.parameter_status
        value = self._connection.session_vars.get(name, known.get(name, ""))
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
                await self._lock(transaction, plan)
        if not plan.needs_slot:
            rows = self._select(plan, params, transaction)
        else:
            async with self._endpoint.slot(_sleep_of(plan, params)):
                rows = self._select(plan, params, transaction)
        if transaction is not self._transaction:
            self._finish(transaction)
        return rows, f"SELECT {len(rows)}"

    def _select(
        self, plan: Plan, params: tuple[Any, ...], transaction: _Transaction | None
    ) -> Rows:
        engine = self._endpoint.engine
        if transaction is not None and transaction.write is not None:
            return engine.run(transaction.write, plan, params, log=False)[0]
        self._check_alive()
        current = transaction or _Transaction()
        return engine.read(plan, params, now=current.now, xid=current.xid)

    def _check_alive(self) -> None:
        """Raise when the open transaction was aborted while a statement waited."""
        if self._connection.tx_status == b"E":
            raise PgError("25006", "the transaction was aborted by a change of primary")

    def _assign_xid(self, transaction: _Transaction) -> None:
        if not transaction.xid:
            transaction.xid = self._endpoint.engine.assign_xid()

    async def _write(self, plan: Plan, params: tuple[Any, ...]) -> tuple[Rows, str]:
        own = self._transaction is None
        transaction = self._transaction or _Transaction()
        self._transaction = transaction
        try:
            await self._lock(transaction, plan)
            async with self._endpoint.slot(_sleep_of(plan, params)):
                if transaction.write is None:
                    raise _read_only(plan.tag)
                rows, count = self._endpoint.engine.run(
                    transaction.write, plan, params, log=True
                )
                if own:
                    self._finish(transaction)
        except BaseException:
            if own:
                self.abort_transaction()
            raise
        if own:
            self._transaction = None
        return rows, _tag(plan, count)

    async def _lock(self, transaction: _Transaction, plan: Plan) -> None:
        """Take the write lock and open the write transaction, once."""
        endpoint = self._endpoint
        endpoint.require_primary(plan.tag)
        if transaction.read_only:
            raise _read_only(plan.tag)
        if transaction.write is not None:
            return
        await endpoint.write_lock.acquire()
        try:
            endpoint.require_primary(plan.tag)
            self._check_alive()
            self._assign_xid(transaction)
            transaction.write = endpoint.engine.begin(
                transaction.xid, transaction.now, transaction.savepoints
            )
        except BaseException:
            endpoint.write_lock.release()
            raise


_CONTROL: dict[Kind, Callable[[EndpointSession, Plan], tuple[Rows, str]]] = {
    Kind.EMPTY: lambda session, plan: ([], ""),
    Kind.BEGIN: EndpointSession._begin,
    Kind.COMMIT: EndpointSession._commit,
    Kind.ROLLBACK: EndpointSession._rollback,
    Kind.SAVEPOINT: EndpointSession._savepoint,
    Kind.RELEASE: EndpointSession._release,
    Kind.ROLLBACK_TO: EndpointSession._rollback_to,
    Kind.SET: EndpointSession._set,
    Kind.SHOW: EndpointSession._show,
    Kind.UTILITY: EndpointSession._utility,
}


def _savepoint_index(transaction: _Transaction, name: str) -> int:
    if name not in transaction.savepoints:
        raise PgError("3B001", f'savepoint "{name}" does not exist')
    names = transaction.savepoints
    return len(names) - 1 - names[::-1].index(name)


def _sleep_of(plan: Plan, params: tuple[Any, ...]) -> float:
    if plan.sleep is None:
        return 0.0
    if isinstance(plan.sleep, float):
        return plan.sleep
    return float(params[int(plan.sleep.name[1:]) - 1])


def _tag(plan: Plan, count: int) -> str:
    if plan.tag == "INSERT":
        return f"INSERT 0 {count}"
    return f"{plan.tag} {count}" if plan.tag in ("UPDATE", "DELETE") else plan.tag
