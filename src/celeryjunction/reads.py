"""Reads, which run at an endpoint that is proven fresh enough.

A strict read sees everything that was acknowledged before the read began. A bounded
read with a staleness of s seconds sees everything that was acknowledged until s seconds
before it runs. Replicas are preferred; the primary is the fallback.

An endpoint closes its connections before it rewinds its log (A4). An observed status is
therefore valid for a connection only if the connection was opened before the status
query was sent. On a newer connection the status is queried in the same pipeline as the
read.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping, Sequence
from contextlib import suppress
from random import Random
from typing import TypeVar

from celeryjunction.balancer import Balancer, Candidate, RetryBudget, backoff
from celeryjunction.contract import Rank
from celeryjunction.endpoints import Checkout, EndpointHandle, deadline_error
from celeryjunction.errors import (
    ConnectionLost,
    EndpointError,
    ErrorKind,
    ProxyError,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    EndpointStatus,
    QueryResult,
    StatementShape,
    Step,
)
from celeryjunction.rounds import (
    STATUS_STEP,
    GroupMonitor,
    NoProof,
    Proof,
    decode_status,
)
from celeryjunction.work import Work

REPLICA_WAIT_S: dict[Rank, float] = {
    Rank.URGENT: 0.0,
    Rank.INTERACTIVE: 0.1,
    Rank.BACKGROUND: 0.5,
}
"""Longest wait for a replica to catch up before a read goes to the primary."""
REPLICA_WAIT_FRACTION = 0.2
"""Largest part of the remaining time that this wait may take."""
REFRESH_FRACTION = 0.25
"""A bounded read renews the proof in the background once the proof is older than this
part of the staleness, so that the next reads need not wait."""
STATUS_MAX_AGE_S = 1.0
"""Approximate maximum age of the endpoints' statuses (which tell, for example, that an
endpoint is leaving) while bounded reads run, whatever staleness the reads accept."""
STATUS_WAIT_S = 0.1
"""Longest wait of a bounded read for new statuses after a period without reads. If no
majority answers by then, the read uses the older statuses."""
QUEUE_RECHECK_S = 0.02
"""A bounded read that waited longer than this for a slot checks its bound again."""
SLOW_READ_S = 0.5
"""Time after which the liveness of a running read's endpoint is checked."""
LIVENESS_TIMEOUT_S = 1.2
"""Time limit of the liveness check; longer than the probes' timeout of 1 s."""
BACKOFF_BASE_S = 0.01
BACKOFF_CAP_S = 0.25

READ_ONLY_STEP = Step("BEGIN READ ONLY")
END_STEP = Step("COMMIT")

RETRYABLE_STATES = frozenset(
    {"57P01", "57P02", "57P03", "53300", "40001", "08006", "08003"}
)
"""SQLSTATEs caused by the endpoint's state, not by the statement. On a replica 40001
reports a conflict with recovery."""


T = TypeVar("T")

_log = get_logger("reads")


class Target:
    """Endpoints that are proven fresh enough for a read.

    They must have applied log position `position` of `term`. `primary` tells whether
    the primary is the only one of them, `chosen` which one the read was sent to.
    """

    __slots__ = ("chosen", "names", "position", "primary", "term")

    def __init__(
        self, names: Sequence[str], *, term: int, position: int, primary: bool
    ) -> None:
        self.names = names
        self.term = term
        self.position = position
        self.primary = primary
        self.chosen = ""

    def is_met_by(self, status: EndpointStatus) -> bool:
        """Whether an endpoint with this status is fresh enough for the read."""
        return status.term == self.term and status.applied >= self.position

    def __rich_repr__(self):
        yield "names", self.names
        yield "term", self.term
        yield "position", self.position


class Reader:
    """Runs the reads of one group."""

    def __init__(
        self,
        monitor: GroupMonitor,
        handles: Mapping[str, EndpointHandle],
        *,
        balancer: Balancer,
        budget: RetryBudget,
        clock: Clock,
        random: Random,
    ) -> None:
        self._monitor = monitor
        self._handles = handles
        self._balancer = balancer
        self._budget = budget
        self._clock = clock
        self._random = random
        self._refresh_task: asyncio.Task[None] | None = None
        self._liveness_checks: set[asyncio.Task[None]] = set()
        self._counts = dict.fromkeys(
            ("replica_strict", "strict", "replica_bounded", "bounded"), 0
        )

    @property
    def counts(self) -> dict[str, int]:
        """Number of reads so far, strict and bounded, in total and at replicas."""
        return dict(self._counts)

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a single read.

        Raises `ProxyError`, or `EndpointError` when an endpoint rejects the statement.
        """

        async def run(target: Target) -> QueryResult:
            if not target.primary:
                checkout, results = await self._open_at(target, work, [step])
                checkout.release()
                return results[0]
            # A function used by a view may write. A replica refuses that by itself; at
            # the primary a read-only transaction is needed.
            steps = [READ_ONLY_STEP, step, END_STEP]
            checkout, results = await self._open_at(target, work, steps)
            checkout.release()
            return results[1]

        return await self._run_with_retries(work, run)

    async def open_transaction(
        self, work: Work, steps: Sequence[Step]
    ) -> tuple[Checkout, list[QueryResult]]:
        """Open a read-only transaction and keep its connection checked out.

        `steps` are the statement that begins the transaction and its first statement.
        Raises `ProxyError`, for example when no endpoint is proven fresh, and
        `EndpointError` when an endpoint rejects a step; the connection is released
        then.
        """
        return await self._run_with_retries(
            work, lambda target: self._open_at(target, work, steps)
        )

    async def _run_with_retries(
        self, work: Work, run: Callable[[Target], Awaitable[T]]
    ) -> T:
        """Call `run` for one fresh endpoint after another until one answers."""
        self._budget.count_request()
        sent = False
        attempt = 0
        failed: set[str] = set()
        while True:
            target = await self._find_target(work, failed)
            try:
                return await run(target)
            except ConnectionLost as error:
                sent = sent or error.sent
            except EndpointError as error:
                if error.sqlstate not in RETRYABLE_STATES:
                    raise
            # The primary is the last fallback; after it all endpoints are tried again.
            failed = set() if target.primary else failed | {target.chosen}
            attempt += 1
            await self._back_off(work, attempt, sent=sent)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's shape, from an endpoint that could serve the read."""

        async def run(target: Target) -> StatementShape:
            checkout = await self._check_out(self._choose(target, work), work, target)
            try:
                timeout = work.deadline - self._clock.monotonic()
                return await checkout.connection.describe(
                    step.sql, step.param_oids, timeout=timeout
                )
            finally:
                checkout.release()

        return await self._run_with_retries(work, run)

    async def _open_at(
        self, target: Target, work: Work, steps: Sequence[Step]
    ) -> tuple[Checkout, list[QueryResult]]:
        """Run the steps at an endpoint of the target; keep the connection."""
        handle = self._choose(target, work)
        queued_at = self._clock.monotonic()
        checkout = await self._check_out(handle, work, target)
        started_at = self._clock.monotonic()
        queued_s = started_at - queued_at
        if work.staleness_s > 0 and queued_s > QUEUE_RECHECK_S:
            self._recheck_staleness(checkout, work, target)
        liveness_check = asyncio.get_running_loop().call_later(
            SLOW_READ_S, self._start_liveness_check, checkout
        )
        try:
            results = await self._run_if_fresh(checkout, work, steps, target)
        except BaseException as error:
            answered = isinstance(error, EndpointError)
            if answered:
                await checkout.roll_back()
            checkout.release(ok=answered)
            if not answered and not isinstance(error, asyncio.CancelledError):
                self._record_failure(handle)
            raise
        finally:
            liveness_check.cancel()
        self._balancer.observe(
            handle.name, self._clock.monotonic() - started_at, ok=True
        )
        self._count(work, target)
        return checkout, results

    def _count(self, work: Work, target: Target) -> None:
        kind = "bounded" if work.staleness_s > 0 else "strict"
        self._counts[kind] += 1
        if not target.primary:
            self._counts[f"replica_{kind}"] += 1

    async def _check_out(
        self, handle: EndpointHandle, work: Work, target: Target
    ) -> Checkout:
        """Check out a connection; a replica that is leaving by then is refused."""
        try:
            checkout = await handle.check_out(work)
        except (ConnectionLost, EndpointError):
            self._record_failure(handle)
            raise
        # The endpoint may have started to leave while the read waited in its queue.
        if not target.primary and self._monitor.is_leaving(handle.name):
            checkout.release(reusable=False)
            raise ConnectionLost("the endpoint is leaving", sent=False)
        return checkout

    def _record_failure(self, handle: EndpointHandle) -> None:
        """Report a failure to the balancer; a failing primary is suspected."""
        self._balancer.observe(handle.name, 0.0, ok=False)
        proof = self._monitor.proof
        if proof is not None and proof.primary == handle.name:
            self._monitor.suspect()

    async def _run_if_fresh(
        self, checkout: Checkout, work: Work, steps: Sequence[Step], target: Target
    ) -> list[QueryResult]:
        """Run the steps, after a status query unless an observed status suffices.

        Raises `ConnectionLost` and discards the answers if that query shows that the
        endpoint is not fresh enough.
        """
        observation = self._monitor.observations.get(checkout.endpoint)
        if (
            observation is not None
            and checkout.connection.opened_at <= observation.sent_at
            and target.is_met_by(observation.status)
        ):
            return await checkout.run(steps, work)
        status_result, *results = await checkout.run([STATUS_STEP, *steps], work)
        status = decode_status(status_result)
        if not target.is_met_by(status):
            self._monitor.discard_observation(checkout.endpoint)
            checkout.connection.close()
            raise ConnectionLost("the endpoint was not fresh enough", sent=True)
        return results

    def _start_liveness_check(self, checkout: Checkout) -> None:
        task = asyncio.create_task(self._check_liveness(checkout))
        self._liveness_checks.add(task)
        task.add_done_callback(self._liveness_checks.discard)

    async def _check_liveness(self, checkout: Checkout) -> None:
        """Abort a slow read if its endpoint does not answer a status query.

        A read that takes long at a live endpoint continues. A read at a frozen or
        unreachable endpoint is retried elsewhere instead of waiting for its deadline.
        """
        checked_at = self._clock.monotonic()
        deadline = checked_at + LIVENESS_TIMEOUT_S
        with suppress(NoProof):
            await self._monitor.prove(since=checked_at, deadline=deadline)
        await asyncio.sleep(deadline - self._clock.monotonic())
        observation = self._monitor.observations.get(checkout.endpoint)
        if (
            observation is None or observation.sent_at < checked_at
        ) and not checkout.statement_ended:
            _log.warning("read_broken_off", endpoint=checkout.endpoint)
            checkout.connection.close()

    def _recheck_staleness(
        self, checkout: Checkout, work: Work, target: Target
    ) -> None:
        """Check again, after a wait in the queue, that the endpoint is fresh enough.

        Raises `ConnectionLost`, with the connection released, if it is not.
        """
        instant = self._clock.monotonic() - work.staleness_s
        position = self._monitor.position_covering(instant)
        observation = self._monitor.observations.get(checkout.endpoint)
        if (
            position is None
            or observation is None
            or observation.status.term != target.term
            or observation.status.applied < position
        ):
            checkout.release()
            raise ConnectionLost(
                "the endpoint became too stale while the read was queued", sent=False
            )

    async def _find_target(self, work: Work, failed: set[str]) -> Target:
        """Return fresh enough replicas that are not in `failed`, else the primary.

        Raises `ProxyError` with `FRESHNESS_UNPROVEN` at the work's deadline.
        """
        try:
            if work.staleness_s > 0:
                return await self._bounded_target(work, failed)
            proof = await self._monitor.prove(
                since=work.started_at, deadline=work.deadline
            )
            return await self._replicas_or_primary(work, proof, proof.position, failed)
        except NoProof:
            raise ProxyError(
                ErrorKind.FRESHNESS_UNPROVEN, {"database": self._monitor.database}
            ) from None

    async def _bounded_target(self, work: Work, failed: set[str]) -> Target:
        monitor = self._monitor
        now = self._clock.monotonic()
        instant = now - work.staleness_s
        await self._refresh_statuses(work, now)
        position = monitor.position_covering(instant)
        proof = monitor.proof
        if position is None or proof is None:
            proof = await monitor.prove(since=instant, deadline=work.deadline)
            position = monitor.position_covering(instant)
            if position is None:
                position = proof.position
        if work.minimum is not None and work.minimum[0] == proof.term:
            position = max(position, work.minimum[1])
        if now - proof.proven_at > min(
            work.staleness_s * REFRESH_FRACTION, STATUS_MAX_AGE_S
        ):
            self._start_refresh()
        return await self._replicas_or_primary(work, proof, position, failed)

    async def _refresh_statuses(self, work: Work, now: float) -> None:
        """Query the endpoints again if their statuses are old.

        A replica may have started to leave since, which the platform's record need not
        show yet.
        """
        proof = self._monitor.proof
        if proof is not None and now - proof.proven_at > 2 * STATUS_MAX_AGE_S:
            deadline = min(work.deadline, now + STATUS_WAIT_S)
            with suppress(NoProof):
                await self._monitor.prove(since=now, deadline=deadline)

    async def _replicas_or_primary(
        self, work: Work, proof: Proof, position: int, failed: set[str]
    ) -> Target:
        """Return the replicas at `position`, else the primary.

        Waits for a replica to catch up if that is expected within the wait that the
        work's rank allows.
        """
        monitor = self._monitor
        names = monitor.replicas_at(proof.term, position)
        if not names and not failed:
            remaining = work.deadline - self._clock.monotonic()
            wait = min(REPLICA_WAIT_S[work.rank], remaining * REPLICA_WAIT_FRACTION)
            # A wait for replicas that lag by more than this would be in vain.
            if wait > 0 and monitor.lag_s(proof.term, position) <= wait:
                try:
                    names = await monitor.wait_for_replica(
                        term=proof.term,
                        position=position,
                        deadline=self._clock.monotonic() + wait,
                    )
                except NoProof:
                    names = []
        names = [name for name in names if name not in failed]
        if names:
            return Target(names, term=proof.term, position=position, primary=False)
        return Target([proof.primary], term=proof.term, position=position, primary=True)

    def _start_refresh(self) -> None:
        if self._refresh_task is None or self._refresh_task.done():
            self._refresh_task = asyncio.create_task(self._refresh_proof())

    async def _refresh_proof(self) -> None:
        now = self._clock.monotonic()
        with suppress(NoProof):
            await self._monitor.prove(since=now, deadline=now + 1.0)

    def _choose(self, target: Target, work: Work) -> EndpointHandle:
        if len(target.names) == 1:
            target.chosen = target.names[0]
        else:
            candidates = [
                self._candidate(self._handle(name), work.rank) for name in target.names
            ]
            target.chosen = self._balancer.choose(candidates).name
        return self._handle(target.chosen)

    def _candidate(self, handle: EndpointHandle, rank: Rank) -> Candidate:
        admission = handle.admission
        return Candidate(
            name=handle.name,
            zone=handle.record.zone,
            slots=handle.record.slots,
            in_flight=admission.running,
            waiting=admission.waiting_of(rank),
            leaving=self._monitor.is_leaving(handle.name),
        )

    def _handle(self, name: str) -> EndpointHandle:
        handle = self._handles.get(name)
        if handle is None:
            raise ConnectionLost(f"endpoint {name} is not in the group", sent=False)
        return handle

    async def _back_off(self, work: Work, attempt: int, *, sent: bool) -> None:
        """Wait before the next attempt; the first retry is immediate within the budget.

        Raises `ProxyError` once the deadline has passed; `sent` tells whether the
        statement was sent to an endpoint.
        """
        remaining = work.deadline - self._clock.monotonic()
        if remaining <= 0:
            if sent:
                raise ProxyError(ErrorKind.READ_UNANSWERED)
            raise deadline_error(work)
        if attempt > 1 or not self._budget.try_spend():
            pause = backoff(
                attempt, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S, random=self._random
            )
            await asyncio.sleep(min(pause, remaining))
