"""Groups and their writes: sent to the proven primary, at most once unless repeatable.

A write runs as BEGIN, the transaction's id, the statement, COMMIT. A fault before
COMMIT was sent therefore leaves a transaction that the endpoint rolls back.
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
    outcome_unknown,
    rolled_back,
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
"""Answers of an endpoint that is not, or no longer, the primary or is closing."""

_log = get_logger("writes")


class _NotSent(Exception):
    """The statement was not sent; it may go to another primary."""


class Group:
    """All that this proxy holds about one database group."""

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
        """Take over a newer record: endpoints that came, went or moved."""
        current = self.monitor.record
        if record == current or (current is not None and record.term < current.term):
            return
        self.monitor.update_record(record)
        names = {endpoint.name: endpoint for endpoint in record.endpoints}
        for name in [n for n in self.handles if n not in names]:
            self.handles.pop(name).pool.close()
        for name, endpoint in names.items():
            handle = self.handles.get(name)
            if handle is not None and _same_place(handle.record, endpoint):
                continue
            if handle is not None:
                handle.pool.close()
            self.handles[name] = self._new_handle(endpoint)
        self.close_idle_to_leaving()

    def close_idle_to_leaving(self) -> None:
        """Close the idle connections to endpoints that leave.

        A leaving primary takes writes until operators promote another, so it keeps
        its connections until then.
        """
        proof = self.monitor.proof
        for name, handle in self.handles.items():
            is_primary = proof is not None and proof.primary == name
            if self.monitor.is_leaving(name) and not is_primary:
                handle.pool.close_idle(older_than=float("-inf"))

    async def close(self) -> None:
        """Stop the probes and close the idle connections."""
        for handle in self.handles.values():
            handle.pool.close()
        await self.monitor.close()

    def snapshot(self) -> dict[str, object]:
        """Return plain data for the status page."""
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
        seen = self.monitor.observations.get(handle.name)
        admission = handle.admission
        return {
            "term": seen.status.term if seen else None,
            "applied": seen.status.applied if seen else None,
            "running": admission.running,
            "held": admission.connections_held,
            "idle": handle.pool.idle,
            "concurrency": admission.concurrency,
            "waiting": {rank.label: n for rank, n in admission.waiting.items()},
        }

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read by itself at an endpoint that is proven fresh enough."""
        return await self.reader.read(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        return await self.reader.describe(work, step)

    def begin(self, *, begin_sql: str, read_only: bool, begun: float) -> Transaction:
        """Return a new transaction; nothing is sent before its first statement."""
        return Transaction(self, begin_sql=begin_sql, read_only=read_only, begun=begun)

    def record_acknowledged(self, work: Work, committed: Committed) -> None:
        """Remember the highest position acknowledged to the work's customer."""
        mark = (committed.term, committed.position)
        if mark > self._marks.get(work.customer, (0, 0)):
            self._marks[work.customer] = mark

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, position) acknowledged to a customer here."""
        return self._marks.get(customer)

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer."""
        mark = self._marks.get(customer)
        if mark is None:
            return None
        return self.monitor.dropping_term(term=mark[0], position=mark[1])

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write by itself and return its answer once it is proven.

        Raises `ProxyError` or the endpoint's own error. The statement is sent at most
        once unless the work is repeatable.
        """
        self._budget.count_request()
        attempt = 0
        unknown_before = False
        while True:
            attempt += 1
            try:
                return await self._write_once(work, step)
            except _NotSent:
                pass
            except ProxyError as error:
                unknown_before |= error.spec.ran is not Ran.NO
                if not self._may_repeat(work, error):
                    raise _honest(error, unknown_before) from None
            try:
                await self.back_off(work, attempt)
            except ProxyError as error:
                raise _honest(error, unknown_before) from None

    async def check_out_primary(self, work: Work) -> tuple[Proof, Checkout]:
        """Wait for a trusted primary and check out a connection to it."""
        attempt = 0
        while True:
            attempt += 1
            proof = await self._trusted_primary(work)
            try:
                return proof, await self._enter(proof, work)
            except _NotSent:
                await self.back_off(work, attempt)

    async def _enter(self, proof: Proof, work: Work) -> Checkout:
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
        checkout = await self._enter(proof, work)
        try:
            xid, result = await self._run(checkout, work, step, proof)
            committed = await self.committer.commit(
                checkout, work, xid=xid, term=proof.term
            )
        finally:
            checkout.release()
        self.record_acknowledged(work, committed)
        return result

    async def _run(
        self, checkout: Checkout, work: Work, step: Step, proof: Proof
    ) -> tuple[bytes, QueryResult]:
        """Send the statement in a new transaction and return its id and answer."""
        verified = checkout.connection.verified_term == proof.term
        opening = [BEGIN_STEP, TRANSACTION_ID_STEP]
        try:
            if verified:
                _, xid, result = await checkout.run([*opening, step], work)
            else:
                # Not known yet to take writes: nothing but the opening is sent.
                _, xid = await self._open(checkout, work, opening)
                (result,) = await checkout.run([step], work)
                checkout.connection.verified_term = proof.term
        except ConnectionLost as error:
            self.monitor.suspect()
            if not error.sent:
                raise _NotSent from error
            raise rolled_back(f"the connection broke: {error.reason}") from None
        except EndpointError as error:
            await checkout.roll_back()
            if self.suspect_if_endpoint_fault(error):
                raise rolled_back("the endpoint stopped being the primary") from None
            raise
        return xid.rows[0][0] or b"", result

    async def _open(
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
        """Whether an error at the primary speaks of the endpoint, not the statement.

        Then the proof of the primary is distrusted.
        """
        fault = (
            isinstance(error, ConnectionLost) or error.sqlstate in NOT_PRIMARY_STATES
        )
        if fault:
            self.monitor.suspect()
        return fault

    async def back_off(self, work: Work, attempt: int) -> None:
        """Pause before another try; raises `NOT_RUN_NO_PRIMARY` at the deadline."""
        pause = backoff(
            attempt, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S, random=self._random
        )
        left = work.deadline - self.clock.monotonic()
        if left <= 0:
            raise ProxyError(ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.database})
        await asyncio.sleep(min(pause, left))

    def _new_handle(self, endpoint: EndpointRecord) -> EndpointHandle:
        return EndpointHandle(
            endpoint,
            self.database,
            connections=self._connections(endpoint),
            connector=self._connector,
            clock=self.clock,
            pauses=self.pauses,
        )


def _honest(error: ProxyError, unknown_before: bool) -> ProxyError:
    """Return what may be said: after an open try, "not run" would be untrue."""
    if unknown_before and error.spec.ran is Ran.NO:
        return outcome_unknown(
            "an earlier try of the repeatable write was not answered"
        )
    return error


def _same_place(a: EndpointRecord, b: EndpointRecord) -> bool:
    return (a.host, a.port, a.connections, a.slots, a.zone) == (
        b.host,
        b.port,
        b.connections,
        b.slots,
        b.zone,
    )
