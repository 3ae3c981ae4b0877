"""A database group and its writes, which go to the proven primary.

A write runs as BEGIN, a query for the transaction id, the statement, and COMMIT. After
a failure before COMMIT is sent, the endpoint rolls the transaction back. A statement is
sent at most once unless its work is repeatable.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from celeryjunction._pauses import PauseDetector
from celeryjunction.balancer import Balancer, RetryBudget, backoff
from celeryjunction.commit import (
    TRANSACTION_ID_STEP,
    Committed,
    Committer,
    outcome_unknown_error,
    rolled_back_error,
)
from celeryjunction.endpoints import Checkout, EndpointHandle
from celeryjunction.errors import (
    ConnectionLost,
    EndpointError,
    ErrorKind,
    ProxyError,
    Ran,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    EndpointConnector,
    EndpointRecord,
    GroupDirectory,
    GroupRecord,
    QueryResult,
    StatementShape,
    Step,
)
from celeryjunction.reads import BACKOFF_BASE_S, BACKOFF_CAP_S, Reader
from celeryjunction.rounds import GroupMonitor, NoProof, Proof
from celeryjunction.transaction import Transaction
from celeryjunction.work import Work

BEGIN_STEP = Step("BEGIN")
NOT_PRIMARY_STATES = frozenset({"25006", "57P01", "57P02", "57P03", "53300"})
"""SQLSTATEs of an endpoint that is not the primary, is shutting down, or accepts no
more connections (53300)."""

_log = get_logger("writes")


class _NotSent(Exception):
    """The statement was not sent, so it may be sent again, also to another primary."""


class Group:
    """One database group: its primary, endpoints, reads, writes and transactions.

    `connections` gives the limit of pooled connections to an endpoint. `marks` holds
    the highest acknowledged (term, log position) of each customer; it is updated in
    place, so the caller can keep it for longer than the group.
    """

    def __init__(
        self,
        database: str,
        *,
        directory: GroupDirectory,
        connector: EndpointConnector,
        connections: Callable[[EndpointRecord], int],
        zone: str,
        clock: Clock,
        random: Random,
        marks: dict[str, tuple[int, int]] | None = None,
    ) -> None:
        self.database = database
        self.clock = clock
        self.monitor = GroupMonitor(
            database, directory=directory, connector=connector, clock=clock
        )
        self.handles: dict[str, EndpointHandle] = {}
        self.committer = Committer(self.monitor, clock=clock)
        self._connector = connector
        self._connections = connections
        self._random = random
        self._marks = {} if marks is None else marks
        self.pauses = PauseDetector()
        balancer = Balancer(zone=zone, clock=clock, random=random, pauses=self.pauses)
        self._budget = RetryBudget(clock=clock)
        self.reader = Reader(
            self.monitor,
            self.handles,
            balancer=balancer,
            budget=self._budget,
            clock=clock,
            random=random,
        )

    def update_record(self, record: GroupRecord) -> None:
        """Apply a newer record: add, remove and reconnect endpoints.

        A record that is unchanged or of an older term is ignored.
        """
        current = self.monitor.record
        if record == current or (current is not None and record.term < current.term):
            return
        self.monitor.update_record(record)
        endpoints = {endpoint.name: endpoint for endpoint in record.endpoints}
        for name in [n for n in self.handles if n not in endpoints]:
            self.handles.pop(name).pool.close()
        for name, endpoint in endpoints.items():
            handle = self.handles.get(name)
            if handle is not None and _is_handle_valid(handle.record, endpoint):
                continue
            if handle is not None:
                handle.pool.close()
            self.handles[name] = self._new_handle(endpoint)
        self.close_idle_to_leaving()

    def close_idle_to_leaving(self) -> None:
        """Close the idle connections to leaving endpoints.

        A leaving primary keeps its connections: it takes writes until operators
        promote another endpoint.
        """
        proof = self.monitor.proof
        for name, handle in self.handles.items():
            is_primary = proof is not None and proof.primary == name
            if self.monitor.is_leaving(name) and not is_primary:
                handle.pool.close_idle(older_than=float("-inf"))

    async def close(self) -> None:
        """Stop the status probes and close the idle connections."""
        for handle in self.handles.values():
            handle.pool.close()
        await self.monitor.close()

    def snapshot(self) -> dict[str, object]:
        """Return the group's state as plain data for the status page."""
        proof = self.monitor.proof
        now = self.clock.monotonic()
        return {
            "term": proof.term if proof else None,
            "primary": proof.primary if proof else None,
            "proof_age_s": round(now - proof.proven_at, 3) if proof else None,
            "waiting": self.monitor.waiting,
            "reads": self.reader.counts,
            "endpoints": {
                name: self._endpoint_snapshot(handle)
                for name, handle in self.handles.items()
            },
        }

    def _endpoint_snapshot(self, handle: EndpointHandle) -> dict[str, object]:
        observation = self.monitor.observations.get(handle.name)
        admission = handle.admission
        return {
            "term": observation.status.term if observation else None,
            "applied": observation.status.applied if observation else None,
            "running": admission.running,
            "held": admission.connections_held,
            "idle": handle.pool.idle,
            "concurrency": admission.concurrency,
            "waiting": {rank.label: n for rank, n in admission.waiting.items()},
        }

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a single read at an endpoint that is proven fresh enough."""
        return await self.reader.read(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return the parameters and columns of a statement."""
        return await self.reader.describe(work, step)

    def begin(
        self, *, begin_sql: str, read_only: bool, started_at: float
    ) -> Transaction:
        """Return a new transaction; nothing is sent before its first statement."""
        return Transaction(
            self, begin_sql=begin_sql, read_only=read_only, started_at=started_at
        )

    def record_acknowledged(self, work: Work, committed: Committed) -> None:
        """Raise the mark of the work's customer to an acknowledged commit."""
        mark = (committed.term, committed.position)
        if mark > self._marks.get(work.customer, (0, 0)):
            self._marks[work.customer] = mark

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) acknowledged to a customer."""
        return self._marks.get(customer)

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer.

        None when no such term is known; see `GroupMonitor.dropping_term`.
        """
        mark = self._marks.get(customer)
        if mark is None:
            return None
        return self.monitor.dropping_term(term=mark[0], position=mark[1])

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a single write and return its answer once the commit is proven.

        The statement is sent at most once unless the work is repeatable. Raises
        `ProxyError`, or `EndpointError` when the endpoint rejects the statement.
        """
        self._budget.count_request()
        attempt = 0
        may_have_run = False
        while True:
            attempt += 1
            try:
                return await self._write_once(work, step)
            except _NotSent:
                pass
            except ProxyError as error:
                may_have_run |= error.spec.ran is not Ran.NO
                if not self._may_repeat(work, error):
                    raise _final_error(error, may_have_run) from None
            try:
                await self.back_off(work, attempt)
            except ProxyError as error:
                raise _final_error(error, may_have_run) from None

    async def check_out_primary(self, work: Work) -> tuple[Proof, Checkout]:
        """Wait for a trusted primary and check out a connection to it.

        Raises `ProxyError` when the work's deadline passes first.
        """
        attempt = 0
        while True:
            attempt += 1
            proof = await self._trusted_primary(work)
            try:
                return proof, await self._check_out(proof, work)
            except _NotSent:
                await self.back_off(work, attempt)

    async def _check_out(self, proof: Proof, work: Work) -> Checkout:
        handle = self.handles.get(proof.primary)
        try:
            if handle is None:
                raise ConnectionLost("the primary is not in the record", sent=False)
            return await handle.check_out(work)
        except (ConnectionLost, EndpointError) as error:
            self.monitor.suspect()
            raise _NotSent from error

    async def _trusted_primary(self, work: Work) -> Proof:
        proof = self.monitor.trusted_proof
        if proof is not None:
            return proof
        try:
            return await self.monitor.prove(
                since=self.monitor.suspected_at, deadline=work.deadline
            )
        except NoProof:
            raise ProxyError(
                ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.database}
            ) from None

    async def _write_once(self, work: Work, step: Step) -> QueryResult:
        proof = await self._trusted_primary(work)
        checkout = await self._check_out(proof, work)
        try:
            xid, result = await self._run_statement(checkout, work, step, proof)
            committed = await self.committer.commit(
                checkout, work, xid=xid, term=proof.term
            )
        finally:
            checkout.release()
        self.record_acknowledged(work, committed)
        return result

    async def _run_statement(
        self, checkout: Checkout, work: Work, step: Step, proof: Proof
    ) -> tuple[bytes, QueryResult]:
        """Run the statement in a new transaction; return its id and the answer."""
        verified = checkout.connection.verified_term == proof.term
        opening = [BEGIN_STEP, TRANSACTION_ID_STEP]
        try:
            if verified:
                _, xid, result = await checkout.run([*opening, step], work)
            else:
                # The connection has not run a write in this term yet. A demoted
                # endpoint refuses the opening, so the statement stays unsent.
                _, xid = await self._open_transaction(checkout, work, opening)
                (result,) = await checkout.run([step], work)
                checkout.connection.verified_term = proof.term
        except ConnectionLost as error:
            self.monitor.suspect()
            if not error.sent:
                raise _NotSent from error
            raise rolled_back_error(f"the connection broke: {error.reason}") from None
        except EndpointError as error:
            await checkout.roll_back()
            if self.suspect_if_endpoint_fault(error):
                raise rolled_back_error(
                    "the endpoint stopped being the primary"
                ) from None
            raise
        return xid.rows[0][0] or b"", result

    async def _open_transaction(
        self, checkout: Checkout, work: Work, opening: list[Step]
    ) -> list[QueryResult]:
        try:
            return await checkout.run(opening, work)
        except (ConnectionLost, EndpointError) as error:
            self.monitor.suspect()
            checkout.connection.close()
            raise _NotSent from error

    def _may_repeat(self, work: Work, error: ProxyError) -> bool:
        repeatable = work.repeatable and error.kind in (
            ErrorKind.NOT_RUN_ROLLED_BACK,
            ErrorKind.OUTCOME_UNKNOWN,
        )
        in_time = self.clock.monotonic() < work.deadline
        return repeatable and in_time and self._budget.try_spend()

    def suspect_if_endpoint_fault(self, error: ConnectionLost | EndpointError) -> bool:
        """Return whether the primary, not the statement, caused the error.

        If so, the primary is suspected: the next write waits for a newer proof.
        """
        is_endpoint_fault = (
            isinstance(error, ConnectionLost) or error.sqlstate in NOT_PRIMARY_STATES
        )
        if is_endpoint_fault:
            self.monitor.suspect()
        return is_endpoint_fault

    async def back_off(self, work: Work, attempt: int) -> None:
        """Wait before the next attempt.

        Raises `ProxyError` with `NOT_RUN_NO_PRIMARY` once the deadline has passed.
        """
        pause = backoff(
            attempt, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S, random=self._random
        )
        remaining = work.deadline - self.clock.monotonic()
        if remaining <= 0:
            raise ProxyError(ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.database})
        await asyncio.sleep(min(pause, remaining))

    def _new_handle(self, endpoint: EndpointRecord) -> EndpointHandle:
        return EndpointHandle(
            endpoint,
            self.database,
            connections=self._connections(endpoint),
            connector=self._connector,
            clock=self.clock,
            pauses=self.pauses,
        )


def _final_error(error: ProxyError, may_have_run: bool) -> ProxyError:
    """Return the error for the client after the last attempt.

    If an earlier attempt may have run, "not run" would be wrong; "outcome unknown" is
    reported instead.
    """
    if may_have_run and error.spec.ran is Ran.NO:
        return outcome_unknown_error(
            "an earlier try of the repeatable write was not answered"
        )
    return error


def _is_handle_valid(old: EndpointRecord, new: EndpointRecord) -> bool:
    """Return whether a handle made from the old record also serves the new one."""
    return (old.host, old.port, old.connections, old.slots, old.zone) == (
        new.host,
        new.port,
        new.connections,
        new.slots,
        new.zone,
    )
