"""A client's session: its transaction, values, prepared statements and log position."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from functools import singledispatchmethod

import msgspec
from msgspec.structs import replace

from celeryjunction.allotments.admission import admit_operation
from celeryjunction.client_limits.state_size import StateSize
from celeryjunction.dispatch.dispatcher import Dispatcher, Grant, PendingStatement
from celeryjunction.errors import (
    ConnectionLost,
    ErrorKind,
    ProxyError,
    Ran,
    outcome_unknown_error,
    rolled_back_error,
)
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.organisations import NO_ORGANISATION
from celeryjunction.gateway.routes import Consistency, Route
from celeryjunction.gateway.shared_state import (
    apply_state,
    shared_name,
    state_commands,
)
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Request,
    Rollback,
    SetParameter,
    Write,
)
from celeryjunction.rank import Rank
from celeryjunction.replication.answer_matching import NO_DIGEST
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    NO_POSITION,
    Answer,
    ClearSession,
    Command,
    EndpointRefused,
    Fault,
    LogPosition,
    OpenTransaction,
    Relay,
    RelayPrepared,
    RollBack,
    TransactionState,
)

MAX_ATTEMPTS = 4
"""Attempts for one statement that has not run."""
RETRY_PAUSE_S = 0.02
"""Pause before a write that was refused or not sent is retried at the primary."""
ROLLBACK_TIMEOUT_S = 0.5
"""Time-out of a rollback, after which the connection is closed instead."""
BUSY_RETRIES = 3
"""Retries of a transaction's statement that the endpoint was too busy to run."""
BUSY_RETRY_PAUSE_S = 0.02
"""Pause before such a retry: about the service time of one statement."""
QUEUE_WAIT_GOAL_FRACTION = 0.7
"""Fraction of a route's goal that a statement may wait for an endpoint. A longer wait
would make the answer late, while a refusal lets the client try another VM in time."""
MIN_QUEUE_WAIT_S = 0.05
"""Lower bound of this wait, about the service time of two statements of 20 ms."""

_IDLE, _OPEN, _FAILED = TransactionState


class SessionState(msgspec.Struct, array_like=True):
    """State of a client's session that outlives transactions.

    `position` is the end of its own acknowledged writes in the log.
    """

    values: dict[bytes, bytes] = {}
    prepared: dict[bytes, Prepare] = {}
    position: LogPosition = NO_POSITION


class _Transaction:
    """An open transaction; `grant` holds its connection once a statement was sent."""

    __slots__ = (
        "arrived",
        "failed",
        "grant",
        "read_only",
        "request_id",
        "state_sent",
        "wrote",
    )

    def __init__(self, *, request_id: bytes, read_only: bool, arrived: float) -> None:
        self.request_id = request_id
        self.read_only = read_only
        self.arrived = arrived
        self.grant: Grant | None = None
        self.failed: ProxyError | None = None
        self.state_sent = False
        self.wrote = False


def _entry(prepared: Prepare | None) -> tuple[bytes, ...]:
    return (prepared.name, prepared.shape) if prepared is not None else ()


class StatementSession:
    """Runs one client's statements, one at a time.

    `execute` returns the endpoint's answer, or an answer of the session itself with
    the digest ``-``. It raises `ProxyError` if the session refuses the statement or
    gives it up.

    While a statement runs, only its own task uses or releases the transaction's
    connection. Other tasks end the transaction with `abort`, which does nothing
    beside a running statement, or with `close`, which cancels the statement first.
    """

    def __init__(
        self,
        database: str,
        *,
        gateway: Gateway,
        state: SessionState | None = None,
        organisation: str = NO_ORGANISATION,
        routes_version: int = 0,
    ) -> None:
        self.database = database
        self.organisation = organisation
        self._routes_version = routes_version
        """Version of the routes under which the client was admitted."""
        self.session_state = state or SessionState()
        """State that outlives transactions."""
        self.state_size = StateSize()
        """Size of the state that this session's own statements have set."""
        self._gateway = gateway
        self._clock = gateway.clock
        self._transaction: _Transaction | None = None
        self._idle_timer: asyncio.TimerHandle | None = None
        self._abort_task: asyncio.Task[None] | None = None
        self._statement_task: asyncio.Task[object] | None = None
        """The task that runs a statement, also while it waits before a retry."""
        self._closed = False
        self._endpoint = ""
        self._timeout_s = 0.0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "state", self.state

    @property
    def state(self) -> TransactionState:
        """Idle, in a transaction, or in a failed transaction."""
        if self._transaction is None:
            return _IDLE
        return _FAILED if self._transaction.failed is not None else _OPEN

    async def execute(self, request: Request) -> Answer:
        """Run one statement; log its outcome if it failed."""
        gateway = self._gateway
        self._stop_idle_timer()
        gateway.running += 1
        self._statement_task = asyncio.current_task()
        self._endpoint = ""
        route = gateway.route(self.database)
        self._timeout_s = route.timeout_s if route is not None else 0.0
        outcome = reason = ""
        try:
            await self._wait_for_abort()
            if self._closed:
                raise rolled_back_error("its session was closed")
            if self._transaction is None:
                self._check_routes_version()
            if route is None and self._transaction is None:
                raise gateway.refusal(
                    ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": self.database})
                )
            if gateway.allotments is not None and self._transaction is None:
                await admit_operation(
                    gateway.allotments,
                    request.statement,
                    prepared=self.session_state.prepared,
                    table=gateway.table,
                    organisation=self.organisation,
                    deadline=request.arrived + self._timeout_s,
                )
            answer = await self._run(request.statement, request, route)
            if answer.fault is not None:
                outcome = answer.fault.value
            return answer
        except ProxyError as error:
            outcome = error.kind.value
            reason = str(error.details.get("reason", ""))
            raise
        finally:
            gateway.running -= 1
            self._statement_task = None
            self._start_idle_timer()
            self._record_outcome(request, route, outcome, reason)

    def _check_routes_version(self) -> None:
        """Refuse a statement of a client that was admitted under newer routes."""
        table = self._gateway.table
        in_force = table.version if table is not None else 0
        if in_force < self._routes_version:
            self._gateway.on_newer_routes(self._routes_version)
            raise ProxyError(
                ErrorKind.NOT_RUN_OLDER_ROUTES, {"version": self._routes_version}
            )

    def _record_outcome(
        self, request: Request, route: Route | None, outcome: str, reason: str
    ) -> None:
        seconds = self._clock.monotonic() - request.arrived
        gateway = self._gateway
        if route is not None:
            rank = Rank(min(max(route.priority, 0), len(Rank) - 1))
            gateway.metrics.record_latency(
                rank=rank, customer=self.database, endpoint="", seconds=seconds
            )
        if not outcome:
            return
        gateway.metrics.count("failed_requests", outcome=outcome)
        gateway.request_log.write(
            "request_failed",
            id=request.id.decode("latin-1"),
            statement=type(request.statement).__name__,
            database=self.database,
            organisation=self.organisation or None,
            group=route.group if route else None,
            consistency=route.consistency if route else None,
            routes_version=gateway.table.version if gateway.table else None,
            endpoint=self._endpoint or None,
            session_position=str(self.session_state.position),
            took_ms=round(seconds * 1000, 1),
            **self._decision_inputs(route),
            outcome=outcome,
            reason=reason or None,
        )

    def _decision_inputs(self, route: Route | None) -> dict[str, object]:
        """Return the inputs of decisions about a route's statements, for the log."""
        group = self._gateway.groups.get(route.group) if route is not None else None
        if group is None:
            return {}
        dispatcher = self._gateway.dispatchers[group.name]
        return {
            "primary": group.primary,
            "term": group.term,
            "proof_age_ms": round((self._clock.monotonic() - group.proven_at) * 1000),
            "waiting": dispatcher.waiting,
            "endpoints": {n: gate.describe() for n, gate in dispatcher.gates.items()},
        }

    async def close(self) -> None:
        """Cancel a running statement, roll back and release the connection.

        A COMMIT that was sent may still take effect. Later statements are refused.
        """
        self._closed = True
        statement = self._statement_task
        if statement is not None and statement is not asyncio.current_task():
            statement.cancel()
            await asyncio.wait({statement})
        self._stop_idle_timer()
        await self._wait_for_abort()
        await self._roll_back()

    def adopt_failed_transaction(self, request_id: bytes, error: ProxyError) -> None:
        """Take over a transaction that was lost at a home, as a failed one.

        Its statements are refused until the client ends it.
        """
        self._transaction = _Transaction(
            request_id=request_id, read_only=True, arrived=self._clock.monotonic()
        )
        self._transaction.failed = error
        self._gateway.open_transactions += 1

    def abort(self, error: ProxyError) -> None:
        """Roll back an open transaction that runs no statement; COMMIT gets `error`.

        Without effect while a statement runs, also while it waits before a retry. The
        transaction stays, as a failed one, until the client ends it.
        """
        transaction = self._transaction
        if self._statement_task is not None or transaction is None:
            return
        if transaction.failed is not None:
            return
        self._gateway.request_log.write(
            "transaction_aborted",
            id=transaction.request_id.decode("latin-1"),
            database=self.database,
            endpoint=transaction.grant.endpoint if transaction.grant else None,
            reason=error.kind.value,
        )
        transaction.failed = error
        self._abort_task = asyncio.create_task(self._abort_transaction(transaction))

    # Statements

    @singledispatchmethod
    async def _run(
        self, statement: object, request: Request, route: Route | None
    ) -> Answer:
        raise ProxyError(ErrorKind.PROTOCOL_VIOLATION, {"reason": "unknown statement"})

    @_run.register
    async def _(
        self, statement: Begin, request: Request, route: Route | None
    ) -> Answer:
        if self._transaction is not None:
            raise ProxyError(
                ErrorKind.PROTOCOL_VIOLATION, {"reason": "a transaction is open"}
            )
        self._transaction = _Transaction(
            request_id=request.id,
            read_only=statement.read_only,
            arrived=request.arrived,
        )
        self._gateway.open_transactions += 1
        return self._local_answer()

    @_run.register
    async def _(
        self, statement: Commit, request: Request, route: Route | None
    ) -> Answer:
        transaction = self._transaction
        if transaction is None:
            raise ProxyError(
                ErrorKind.PROTOCOL_VIOLATION, {"reason": "no transaction is open"}
            )
        if transaction.failed is not None:
            error = transaction.failed
            await self._roll_back()
            raise error
        return await self._commit(transaction, request, route)

    @_run.register
    async def _(
        self, statement: Rollback, request: Request, route: Route | None
    ) -> Answer:
        await self._roll_back()
        return self._local_answer()

    @_run.register
    async def _(
        self, statement: SetParameter, request: Request, route: Route | None
    ) -> Answer:
        self._check_not_failed()
        values = self.session_state.values
        before = (
            (statement.name, values[statement.name]) if statement.name in values else ()
        )
        self.state_size.replace(before, (statement.name, statement.value))
        values[statement.name] = statement.value
        return self._local_answer()

    @_run.register
    async def _(
        self, statement: Prepare, request: Request, route: Route | None
    ) -> Answer:
        self._check_not_failed()
        before = self.session_state.prepared.get(statement.name)
        self.state_size.replace(_entry(before), _entry(statement))
        self.session_state.prepared[statement.name] = statement
        return self._local_answer()

    @_run.register
    async def _(
        self, statement: Deallocate, request: Request, route: Route | None
    ) -> Answer:
        self._check_not_failed()
        self.state_size.replace(
            _entry(self.session_state.prepared.pop(statement.name, None)), ()
        )
        return self._local_answer()

    @_run.register
    async def _(
        self, statement: Execute, request: Request, route: Route | None
    ) -> Answer:
        prepared = self.session_state.prepared.get(statement.name)
        if prepared is None:
            raise ProxyError(
                ErrorKind.UNKNOWN_STATEMENT, {"name": statement.name.decode("latin-1")}
            )
        relay = RelayPrepared(request.id, shared_name(prepared), statement.arguments)
        if prepared.writes:
            return await self._write(request, route, relay, prepared)
        return await self._read(request, route, relay, prepared)

    @_run.register
    async def _(self, statement: Read, request: Request, route: Route | None) -> Answer:
        return await self._read(request, route, Relay(request.id, request.text), None)

    @_run.register
    async def _(
        self, statement: Write, request: Request, route: Route | None
    ) -> Answer:
        return await self._write(request, route, Relay(request.id, request.text), None)

    def _local_answer(self) -> Answer:
        return Answer((), NO_DIGEST, self.state, None)

    def _check_not_failed(self) -> None:
        transaction = self._transaction
        if transaction is not None and transaction.failed is not None:
            raise ProxyError(ErrorKind.TRANSACTION_ABORTED)

    # Statements outside transactions

    async def _read(
        self,
        request: Request,
        route: Route | None,
        relay: Relay | RelayPrepared,
        prepared: Prepare | None,
    ) -> Answer:
        if self._transaction is not None:
            return await self._run_in_transaction(
                request, route, relay, prepared, False
            )
        pending = self._pending_statement(route, arrived=request.arrived)
        try:
            return await self._read_with_retries(
                request, route, relay, prepared, pending
            )
        except ProxyError as error:
            if pending.may_have_run and error.spec.ran is Ran.NO:
                raise ProxyError(ErrorKind.READ_UNANSWERED) from None
            raise

    async def _read_with_retries(
        self,
        request: Request,
        route: Route,
        relay: Relay | RelayPrepared,
        prepared: Prepare | None,
        pending: PendingStatement,
    ) -> Answer:
        """Run a read, with retries at other endpoints."""
        deadline = request.arrived + route.timeout_s
        answer: Answer | None = None
        dispatcher = self._dispatcher(route)
        dispatcher.retries.record_statement()
        for _ in range(MAX_ATTEMPTS):
            after = await self._prove_freshness(route, pending, since=request.arrived)
            command = relay if after is None else replace(relay, after=after)
            try:
                grant = await dispatcher.acquire(pending)
                answer = await self._run_once(
                    grant, command, prepared, deadline, reads=True
                )
            except (ConnectionLost, EndpointRefused) as error:
                self._record_endpoint_failure(route, pending, error)
                continue
            if answer.fault is None:
                return answer
            if not answer.fault.may_have_run:
                self._record_not_run(route, pending, answer.fault)
                continue
            # A read changes nothing, so a failed one can be retried.
            pending.may_have_run = True
            if pending.required_endpoint is None:
                pending.excluded.add(grant.endpoint)
            all_tried = pending.excluded >= set(dispatcher.gates)
            if all_tried or not dispatcher.retries.try_spend():
                return answer
        if answer is not None and answer.fault is not None:
            if pending.may_have_run and not answer.fault.may_have_run:
                raise ProxyError(ErrorKind.READ_UNANSWERED)
            return answer
        raise ProxyError(
            ErrorKind.NOT_RUN_CONNECTION,
            {"database": self.database, "reason": "no endpoint answered"},
        )

    async def _prove_freshness(
        self, route: Route, pending: PendingStatement, *, since: float
    ) -> LogPosition | None:
        """Prove the route's consistency; return the position that a read must see.

        A read that must see all commits requires the proven primary and no position.
        The proof must be found before the statement's queue deadline.
        """
        group = self._gateway.groups[route.group]
        deadline = pending.queue_deadline
        if route.consistency is Consistency.PRIMARY:
            pending.required_endpoint = await group.proven_primary(
                since=since,
                deadline=deadline,
                promotion_deadline=pending.arrived + route.timeout_s,
            )
            return None
        position = await group.covered_position(
            instant=since - route.staleness_s, deadline=deadline
        )
        if route.consistency is Consistency.READ_YOUR_WRITES:
            position = max(position, self.session_state.position)
        return position

    async def _write(
        self,
        request: Request,
        route: Route | None,
        relay: Relay | RelayPrepared,
        prepared: Prepare | None,
    ) -> Answer:
        if self._transaction is not None:
            return await self._run_in_transaction(request, route, relay, prepared, True)
        deadline = request.arrived + route.timeout_s
        group = self._gateway.groups[route.group]
        pending = self._pending_statement(route, arrived=request.arrived)
        fault = Fault.BUSY
        for _ in range(MAX_ATTEMPTS):
            pending.required_endpoint = await group.wait_for_primary(deadline)
            await self._expect_proof(group, deadline=pending.queue_deadline)
            try:
                grant = await self._dispatcher(route).acquire(pending)
                answer = await self._run_once(
                    grant, relay, prepared, deadline, reads=False
                )
            except (ConnectionLost, EndpointRefused) as error:
                if isinstance(error, ConnectionLost) and error.sent:
                    raise outcome_unknown_error(error.reason) from None
                self._record_endpoint_failure(route, pending, error)
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if answer.fault is None:
                await self._prove_commit(group, answer.position, deadline)
                self._record_commit(group, answer.position)
                return answer
            if answer.fault.may_have_run:
                return answer
            fault = answer.fault
            self._record_not_run(route, pending, fault)
            if fault is Fault.BUSY:
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        return Answer((), b"", _IDLE, None, fault, pending.required_endpoint or "")

    async def _run_once(
        self,
        grant: Grant,
        command: Command,
        prepared: Prepare | None,
        deadline: float,
        *,
        reads: bool,
    ) -> Answer:
        """Run a statement outside a transaction and release the connection.

        `sent` of a `ConnectionLost` is whether the statement itself was sent.
        """
        self._endpoint = grant.endpoint
        answered = served = False
        try:
            remaining_s = deadline - self._clock.monotonic()
            if remaining_s <= 0:
                raise ProxyError(
                    ErrorKind.NOT_RUN_DEADLINE, {"deadline_s": self._timeout_s}
                )
            commands = state_commands(
                grant.link,
                values=self.session_state.values,
                prepared=prepared,
                in_transaction=False,
            )
            try:
                await apply_state(grant.link, commands, timeout=remaining_s)
            except ConnectionLost as error:
                raise ConnectionLost(error.reason, sent=False) from None
            answer = await self._send_command(
                grant, command, remaining_s, interruptible=reads
            )
            answered, served = True, answer.fault is None
            return answer
        finally:
            grant.release(reusable=answered, answered=answered, served=served)

    # Transactions

    async def _run_in_transaction(
        self,
        request: Request,
        route: Route | None,
        relay: Relay | RelayPrepared,
        prepared: Prepare | None,
        writes: bool,
    ) -> Answer:
        transaction = self._transaction
        self._check_not_failed()
        route = self._transaction_route(transaction, route)
        deadline = request.arrived + route.timeout_s
        try:
            if transaction.grant is None:
                await self._open_transaction(transaction, route, deadline)
            else:
                transaction.grant.begin_statement()
            answer = await self._run_pinned(transaction, relay, prepared, deadline)
        except ProxyError as error:
            self._fail_transaction(transaction, error)
            raise
        except ConnectionLost as error:
            failure = rolled_back_error(error.reason)
            self._fail_transaction(transaction, failure)
            raise failure from None
        transaction.wrote = transaction.wrote or writes
        if answer.state is not _OPEN:
            self._fail_transaction(
                transaction, rolled_back_error("the endpoint ended it")
            )
        return answer._replace(state=self.state)

    def _transaction_route(
        self, transaction: _Transaction, route: Route | None
    ) -> Route:
        if route is None:
            error = ProxyError(
                ErrorKind.NOT_RUN_ROLLED_BACK, {"reason": "its route was removed"}
            )
            self._fail_transaction(transaction, error)
            raise error
        return route

    async def _open_transaction(
        self, transaction: _Transaction, route: Route, deadline: float
    ) -> None:
        """Open the transaction at an endpoint that can run all of its statements."""
        group = self._gateway.groups[route.group]
        pending = self._pending_statement(
            route, arrived=self._clock.monotonic(), opens_transaction=True
        )
        fault: Fault | None = None
        for _ in range(MAX_ATTEMPTS):
            after = await self._prove_freshness(
                route, pending, since=transaction.arrived
            )
            if not transaction.read_only:
                pending.required_endpoint = await group.wait_for_primary(deadline)
            try:
                grant = await self._dispatcher(route).acquire(pending)
            except (ConnectionLost, EndpointRefused) as error:
                self._record_endpoint_failure(route, pending, error)
                continue
            self._endpoint = grant.endpoint
            command = OpenTransaction(
                transaction.request_id, transaction.read_only, after
            )
            try:
                remaining_s = max(deadline - self._clock.monotonic(), 0.001)
                commands = state_commands(
                    grant.link,
                    values=self.session_state.values,
                    prepared=None,
                    in_transaction=False,
                )
                await apply_state(grant.link, commands, timeout=remaining_s)
                answer = await self._send_command(
                    grant, command, remaining_s, interruptible=True
                )
            except ConnectionLost as error:
                grant.release(reusable=False, answered=False)
                self._record_endpoint_failure(route, pending, error)
                continue
            except BaseException:
                grant.release(reusable=False, answered=False)
                raise
            if answer.fault is None and answer.state is _OPEN:
                grant.pin()
                transaction.grant = grant
                return
            grant.release(reusable=answer.state is _IDLE, answered=False)
            fault = answer.fault or Fault.OTHER
            self._record_not_run(route, pending, fault)
        reason = f"no endpoint opened it: {fault.value if fault else 'no answer'}"
        raise rolled_back_error(reason)

    async def _run_pinned(
        self,
        transaction: _Transaction,
        command: Command,
        prepared: Prepare | None,
        deadline: float,
        *,
        commits: bool = False,
    ) -> Answer:
        grant = transaction.grant
        self._endpoint = grant.endpoint
        remaining_s = max(deadline - self._clock.monotonic(), 0.001)
        answered = served = False
        try:
            commands = state_commands(
                grant.link,
                values=self.session_state.values,
                prepared=prepared,
                in_transaction=True,
            )
            if commands:
                transaction.state_sent = True
                await apply_state(grant.link, commands, timeout=remaining_s)
            answer = await self._send_command(
                grant, command, remaining_s, interruptible=not commits
            )
            # The time of a fault, or with pauses for retries, is no service time.
            served = answer.fault is None
            for _ in range(BUSY_RETRIES):
                if answer.fault is not Fault.BUSY or answer.state is not _OPEN:
                    break
                # The statement did not run; giving up would lose the transaction's
                # earlier work.
                await asyncio.sleep(BUSY_RETRY_PAUSE_S)
                answer = await self._send_command(
                    grant, command, remaining_s, interruptible=not commits
                )
            answered = True
            return answer
        finally:
            grant.end_statement(answered=answered, served=served)

    async def _send_command(
        self, grant: Grant, command: Command, timeout: float, *, interruptible: bool
    ) -> Answer:
        """Run a command; record its answer for the group and the endpoint."""
        sent_at = self._clock.monotonic()
        grant.mark_sent(interruptible=interruptible)
        (answer,) = await grant.link.run([command], timeout=timeout)
        info = grant.gate.info
        counter = "busy_refusals" if answer.fault is Fault.BUSY else "statements_placed"
        self._gateway.metrics.count(counter, group=info.group, endpoint=info.id)
        group = self._gateway.groups.get(info.group)
        if group is not None:
            # Only a digest shows that the position is as new as the command.
            is_signed = answer.fault is None and answer.digest != NO_DIGEST
            position = answer.position if is_signed else None
            group.record_answer(grant.endpoint, position, sent_at=sent_at)
        if answer.fault is None or answer.fault.may_have_run:
            grant.gate.record_fault(answer.fault is not None)
        return answer

    async def _commit(
        self, transaction: _Transaction, request: Request, route: Route | None
    ) -> Answer:
        route = self._transaction_route(transaction, route)
        deadline = request.arrived + route.timeout_s
        try:
            if transaction.grant is None:
                await self._open_transaction(transaction, route, deadline)
            else:
                transaction.grant.begin_statement()
        except ProxyError:
            self._finish_transaction()
            raise
        command = Relay(request.id, request.text)
        try:
            if transaction.wrote:
                await self._expect_commit_proof(route, request.arrived)
            answer = await self._run_pinned(
                transaction, command, None, deadline, commits=transaction.wrote
            )
        except ConnectionLost as error:
            if transaction.wrote and error.sent:
                raise outcome_unknown_error(error.reason) from None
            raise rolled_back_error(error.reason) from None
        finally:
            self._finish_transaction()
        if answer.fault is None and transaction.wrote:
            group = self._gateway.groups[route.group]
            await self._prove_commit(group, answer.position, deadline)
            self._record_commit(group, answer.position)
        if answer.fault is Fault.NOT_PRIMARY:
            self._gateway.groups[route.group].refresh_soon()
        return answer._replace(state=_IDLE)

    async def _expect_commit_proof(self, route: Route, arrived: float) -> None:
        """Check that a COMMIT could be proven; roll back if not."""
        pending = self._pending_statement(route, arrived=arrived)
        group = self._gateway.groups[route.group]
        try:
            await self._expect_proof(group, deadline=pending.queue_deadline)
        except ProxyError as error:
            await self._roll_back()
            raise rolled_back_error(str(error)) from None

    def _fail_transaction(self, transaction: _Transaction, error: ProxyError) -> None:
        """Mark the transaction as failed and close its connection."""
        transaction.failed = error
        grant, transaction.grant = transaction.grant, None
        if grant is not None:
            grant.release(reusable=False, answered=False)

    def _finish_transaction(self) -> None:
        """End the transaction after its last statement, and release its connection."""
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        self._gateway.open_transactions -= 1
        if transaction.grant is not None:
            if transaction.state_sent:
                transaction.grant.link.state_uncertain = True
            transaction.grant.release()

    async def _roll_back(self) -> None:
        """Roll back the transaction, if any, and release its connection."""
        transaction, self._transaction = self._transaction, None
        if transaction is None:
            return
        self._gateway.open_transactions -= 1
        await self._release_rolled_back(transaction)

    @staticmethod
    async def _release_rolled_back(transaction: _Transaction) -> None:
        """Roll back at the endpoint and release the transaction's connection."""
        grant, transaction.grant = transaction.grant, None
        if grant is None:
            return
        ended = False
        commands: list[Command] = [RollBack()]
        if transaction.state_sent:
            # It is unknown whether the endpoint keeps values that were set in a rolled
            # back transaction, so the connection is cleared.
            commands.append(ClearSession())
        try:
            answers = await grant.link.run(commands, timeout=ROLLBACK_TIMEOUT_S)
            ended = all(answer.fault is None for answer in answers)
            if transaction.state_sent:
                grant.link.values.clear()
                grant.link.prepared.clear()
        except ConnectionLost:
            pass
        finally:
            grant.release(reusable=ended, answered=False)

    # Idle transactions

    def _start_idle_timer(self) -> None:
        limit_s = self._gateway.idle_transaction_s
        if self._transaction is None or limit_s <= 0:
            return
        error = ProxyError(ErrorKind.IDLE_TRANSACTION, {"limit_s": limit_s})
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(limit_s, self.abort, error)

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    async def _abort_transaction(self, transaction: _Transaction) -> None:
        try:
            await self._release_rolled_back(transaction)
        finally:
            self._abort_task = None

    async def _wait_for_abort(self) -> None:
        """Wait until a running abort has ended, without cancelling it."""
        if self._abort_task is not None:
            await asyncio.wait({self._abort_task})

    # Helpers

    def _dispatcher(self, route: Route) -> Dispatcher:
        return self._gateway.dispatchers[route.group]

    def _pending_statement(
        self, route: Route, *, arrived: float, opens_transaction: bool = False
    ) -> PendingStatement:
        queue_wait_s = max(route.goal_s * QUEUE_WAIT_GOAL_FRACTION, MIN_QUEUE_WAIT_S)
        return PendingStatement(
            priority=route.priority,
            arrived=arrived,
            queue_deadline=arrived + min(queue_wait_s, route.timeout_s),
            opens_transaction=opens_transaction,
            values=self.session_state.values,
            organisation=self.organisation,
            weight=self._gateway.weight(self.organisation),
        )

    def _is_synchronous(self, group: ReplicationGroup) -> bool:
        settings = self._gateway.table.groups.get(group.name)
        return settings is not None and settings.synchronous_replicas > 0

    async def _expect_proof(self, group: ReplicationGroup, *, deadline: float) -> None:
        """Check that a commit could be proven; raises `ProxyError` (not run)."""
        if self._is_synchronous(group) and not await group.receipts.expect_witness(
            deadline=deadline
        ):
            raise ProxyError(ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.database})

    async def _prove_commit(
        self, group: ReplicationGroup, position: LogPosition | None, deadline: float
    ) -> None:
        """Prove that a commit is kept by the next promotion, if there is one.

        With synchronous replicas a member of the stored roster must have received it.
        Without them the primary must be proven after the commit. Raises `ProxyError`
        (outcome unknown) if there is no proof by the deadline.
        """
        if self._is_synchronous(group):
            if position is None or not await group.receipts.prove(
                position, deadline=deadline
            ):
                raise outcome_unknown_error("no member is known to have the commit")
            return
        term, now = group.term, self._clock.monotonic()
        try:
            await group.proven_primary(since=now, deadline=deadline)
        except ProxyError as error:
            raise outcome_unknown_error(
                f"the commit's primary is not proven: {error}"
            ) from None
        if group.term != term:
            raise outcome_unknown_error("the primary was replaced meanwhile")

    def _record_commit(
        self, group: ReplicationGroup, position: LogPosition | None
    ) -> None:
        if position is not None:
            self.session_state.position = max(self.session_state.position, position)
            group.acknowledged = max(group.acknowledged, position)

    def _record_not_run(
        self, route: Route, pending: PendingStatement, fault: Fault
    ) -> None:
        """Record that an endpoint reported a statement as not run."""
        group = self._gateway.groups[route.group]
        if pending.required_endpoint is None:
            pending.excluded.add(self._endpoint)
        gate = self._dispatcher(route).gates.get(self._endpoint)
        if fault is Fault.BUSY and gate is not None:
            gate.shared.record_busy()
        elif fault is Fault.BEHIND and gate is not None:
            gate.record_behind()
        if fault in (Fault.NOT_PRIMARY, Fault.WRONG_ENDPOINT):
            group.refresh_soon()

    def _record_endpoint_failure(
        self,
        route: Route,
        pending: PendingStatement,
        error: ConnectionLost | EndpointRefused,
    ) -> None:
        group = self._gateway.groups[route.group]
        if isinstance(error, ConnectionLost):
            gate = self._dispatcher(route).gates.get(self._endpoint)
            pending.may_have_run = pending.may_have_run or error.sent
            if error.sent and gate is not None:
                gate.record_failure(error.reason)
            pending.excluded.add(self._endpoint)
        group.refresh_soon()
