"""Reads: brought to an endpoint that is proven fresh enough.

A strict read needs all that was acknowledged before it began; a bounded read all that
was acknowledged before its staleness ago. Replicas come first, the primary is the
fallback. A replica's status counts on a connection only if the connection was opened
before the status was observed, because an endpoint closes its connections before it
rewinds its log (A4); on a younger connection the status is asked again in line.
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
"""How long a read waits for a replica to catch up before it goes to the primary."""
REPLICA_WAIT_PART = 0.2
"""Part of the time left that such a wait may take."""
REFRESH_PART = 0.25
"""A bounded read renews the proof in the background once it is older than this part
of the staleness, so that the next reads need not wait."""
LAST_WORD_S = 1.0
"""While bounded reads run, the endpoints' own word (such as that one leaves) is at
most about so old, however stale the reads may be."""
LAST_WORD_WAIT_S = 0.1
"""A bounded read after a quiet time waits no longer than this for the endpoints' word;
without a majority it then goes on with what is known."""
QUEUE_RECHECK_S = 0.02
"""A bounded read that waited longer than this for its slot proves its bound again."""
SLOW_READ_S = 0.5
"""After so long it is asked whether the read's endpoint is alive."""
LIVENESS_S = 1.2
"""Time for the answer; more than the probes' timeout of 1 s."""
BACKOFF_BASE_S = 0.01
BACKOFF_CAP_S = 0.25

READ_ONLY_STEP = Step("BEGIN READ ONLY")
END_STEP = Step("COMMIT")

RETRYABLE_STATES = frozenset(
    {"57P01", "57P02", "57P03", "53300", "40001", "08006", "08003"}
)
"""Errors that speak of the endpoint's state and not of the statement; on a replica
40001 reports a conflict with recovery."""


T = TypeVar("T")

_log = get_logger("reads")


class Target:
    """Endpoints proven fresh enough: `term` and `position` that they must have.

    `chosen` is the one that was tried.
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

    def covered_by(self, status: EndpointStatus) -> bool:
        """Whether an endpoint with this status may serve the read."""
        return status.term == self.term and status.applied >= self.position

    def __rich_repr__(self):
        yield "names", self.names
        yield "term", self.term
        yield "position", self.position


class Reader:
    """Runs reads of one group."""

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
        self._refresh: asyncio.Task[None] | None = None
        self._checks: set[asyncio.Task[None]] = set()
        self._counts = dict.fromkeys(
            ("replica_strict", "strict", "replica_bounded", "bounded"), 0
        )

    @property
    def counts(self) -> dict[str, int]:
        """Reads so far, strict and bounded, in all and at replicas."""
        return dict(self._counts)

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read by itself; raises `ProxyError` or the endpoint's own error."""

        async def run(target: Target) -> QueryResult:
            if not target.primary:
                checkout, results = await self._open_at(target, work, [step])
                checkout.release()
                return results[0]
            # A function behind a view may write; a replica refuses that by itself.
            steps = [READ_ONLY_STEP, step, END_STEP]
            checkout, results = await self._open_at(target, work, steps)
            checkout.release()
            return results[1]

        return await self._attempt(work, run)

    async def open(
        self, work: Work, steps: Sequence[Step]
    ) -> tuple[Checkout, list[QueryResult]]:
        """Open a read-only transaction and keep its connection checked out.

        Raises the endpoint's own error, with the connection given back, and
        `ProxyError` when no endpoint was proven fresh.
        """
        return await self._attempt(
            work, lambda target: self._open_at(target, work, steps)
        )

    async def _attempt(self, work: Work, run: Callable[[Target], Awaitable[T]]) -> T:
        """Run at one fresh endpoint after the other until one answers."""
        self._budget.count_request()
        sent = False
        attempt = 0
        failed: set[str] = set()
        while True:
            target = await self._target(work, failed)
            try:
                return await run(target)
            except ConnectionLost as error:
                sent = sent or error.sent
            except EndpointError as error:
                if error.sqlstate not in RETRYABLE_STATES:
                    raise
            # The primary is the last resort; after it, all may be tried again.
            failed = set() if target.primary else failed | {target.chosen}
            attempt += 1
            await self._pause(work, attempt, sent=sent)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's shape, from an endpoint that a read could use."""

        async def run(target: Target) -> StatementShape:
            checkout = await self._enter(self._choose(target, work), work, target)
            try:
                timeout = work.deadline - self._clock.monotonic()
                return await checkout.connection.describe(
                    step.sql, step.param_oids, timeout=timeout
                )
            finally:
                checkout.release()

        return await self._attempt(work, run)

    async def _open_at(
        self, target: Target, work: Work, steps: Sequence[Step]
    ) -> tuple[Checkout, list[QueryResult]]:
        handle = self._choose(target, work)
        asked = self._clock.monotonic()
        checkout = await self._enter(handle, work, target)
        started = self._clock.monotonic()
        waited = started - asked
        if work.staleness_s > 0 and waited > QUEUE_RECHECK_S:
            self._recheck(checkout, work, target)
        check = asyncio.get_running_loop().call_later(
            SLOW_READ_S, self._start_liveness_check, checkout
        )
        try:
            results = await self._run_checked(checkout, work, steps, target)
        except BaseException as error:
            answered = isinstance(error, EndpointError)
            if answered:
                await checkout.roll_back()
            checkout.release(ok=answered)
            if not answered and not isinstance(error, asyncio.CancelledError):
                self._failed(handle)
            raise
        finally:
            check.cancel()
        self._balancer.observe(handle.name, self._clock.monotonic() - started, ok=True)
        self._count(work, target)
        return checkout, results

    def _count(self, work: Work, target: Target) -> None:
        kind = "bounded" if work.staleness_s > 0 else "strict"
        self._counts[kind] += 1
        if not target.primary:
            self._counts[f"replica_{kind}"] += 1

    async def _enter(
        self, handle: EndpointHandle, work: Work, target: Target
    ) -> Checkout:
        try:
            checkout = await handle.check_out(work)
        except (ConnectionLost, EndpointError):
            self._failed(handle)
            raise
        # The endpoint may have begun to leave while the work waited in its queue.
        if not target.primary and self._monitor.is_leaving(handle.name):
            checkout.release(reusable=False)
            raise ConnectionLost("the endpoint is leaving", sent=False)
        return checkout

    def _failed(self, handle: EndpointHandle) -> None:
        self._balancer.observe(handle.name, 0.0, ok=False)
        proof = self._monitor.proof
        if proof is not None and proof.primary == handle.name:
            self._monitor.suspect()

    async def _run_checked(
        self, checkout: Checkout, work: Work, steps: Sequence[Step], target: Target
    ) -> list[QueryResult]:
        seen = self._monitor.observations.get(checkout.endpoint)
        if (
            seen is not None
            and checkout.connection.opened_at <= seen.sent_at
            and target.covered_by(seen.status)
        ):
            return await checkout.run(steps, work)
        status_result, *results = await checkout.run([STATUS_STEP, *steps], work)
        status = decode_status(status_result)
        if not target.covered_by(status):
            self._monitor.discard_observation(checkout.endpoint)
            checkout.connection.close()
            raise ConnectionLost("the endpoint was not fresh enough", sent=True)
        return results

    def _start_liveness_check(self, checkout: Checkout) -> None:
        task = asyncio.create_task(self._check_liveness(checkout))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    async def _check_liveness(self, checkout: Checkout) -> None:
        """Break off a long read if its endpoint does not answer a status query.

        A read that is long for its own reasons goes on; one at an endpoint that is
        frozen or cut off is tried elsewhere instead of waiting for its deadline.
        """
        asked = self._clock.monotonic()
        deadline = asked + LIVENESS_S
        with suppress(NoProof):
            await self._monitor.prove(since=asked, deadline=deadline)
        await asyncio.sleep(deadline - self._clock.monotonic())
        seen = self._monitor.observations.get(checkout.endpoint)
        if (seen is None or seen.sent_at < asked) and not checkout.statement_ended:
            _log.warning("read_broken_off", endpoint=checkout.endpoint)
            checkout.connection.close()

    def _recheck(self, checkout: Checkout, work: Work, target: Target) -> None:
        """Prove the staleness again after a wait in the queue."""
        instant = self._clock.monotonic() - work.staleness_s
        position = self._monitor.position_covering(instant)
        seen = self._monitor.observations.get(checkout.endpoint)
        if (
            position is None
            or seen is None
            or seen.status.term != target.term
            or seen.status.applied < position
        ):
            checkout.release()
            raise ConnectionLost("no longer fresh after the wait", sent=False)

    async def _target(self, work: Work, failed: set[str]) -> Target:
        try:
            if work.staleness_s > 0:
                return await self._bounded_target(work, failed)
            proof = await self._monitor.prove(since=work.begun, deadline=work.deadline)
            return await self._replicas_or_primary(work, proof, proof.position, failed)
        except NoProof:
            raise ProxyError(
                ErrorKind.FRESHNESS_UNPROVEN, {"database": self._monitor.database}
            ) from None

    async def _bounded_target(self, work: Work, failed: set[str]) -> Target:
        monitor = self._monitor
        now = self._clock.monotonic()
        instant = now - work.staleness_s
        await self._hear_endpoints(work, now)
        position = monitor.position_covering(instant)
        proof = monitor.proof
        if position is None or proof is None:
            proof = await monitor.prove(since=instant, deadline=work.deadline)
            position = monitor.position_covering(instant)
            if position is None:
                position = proof.position
        if work.minimum is not None and work.minimum[0] == proof.term:
            position = max(position, work.minimum[1])
        if now - proof.proven_at > min(work.staleness_s * REFRESH_PART, LAST_WORD_S):
            self._start_refresh()
        return await self._replicas_or_primary(work, proof, position, failed)

    async def _hear_endpoints(self, work: Work, now: float) -> None:
        """Ask the endpoints again when nobody has for some time.

        A replica may have begun to leave since, which the record need not say yet.
        """
        proof = self._monitor.proof
        if proof is not None and now - proof.proven_at > 2 * LAST_WORD_S:
            deadline = min(work.deadline, now + LAST_WORD_WAIT_S)
            with suppress(NoProof):
                await self._monitor.prove(since=now, deadline=deadline)

    async def _replicas_or_primary(
        self, work: Work, proof: Proof, position: int, failed: set[str]
    ) -> Target:
        monitor = self._monitor
        names = monitor.replicas_at(proof.term, position)
        if not names and not failed:
            left = work.deadline - self._clock.monotonic()
            wait = min(REPLICA_WAIT_S[work.rank], left * REPLICA_WAIT_PART)
            # Waiting for replicas that lag by more would only cost time.
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
        if self._refresh is None or self._refresh.done():
            self._refresh = asyncio.create_task(self._refresh_proof())

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

    async def _pause(self, work: Work, attempt: int, *, sent: bool) -> None:
        left = work.deadline - self._clock.monotonic()
        if left <= 0:
            if sent:
                raise ProxyError(ErrorKind.READ_UNANSWERED)
            raise deadline_error(work)
        if attempt > 1 or not self._budget.try_spend():
            pause = backoff(
                attempt, base_s=BACKOFF_BASE_S, cap_s=BACKOFF_CAP_S, random=self._random
            )
            await asyncio.sleep(min(pause, left))
