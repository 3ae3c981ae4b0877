"""Proof of a group's primary and of log positions, shared by all who wait for it.

Each endpoint of the group has a probe that asks for its status. An observation holds
from the moment its query was sent. When a majority of the endpoints reports term T in
queries sent at or after a time t, and the primary of T is among them, then T had not
been replaced at some moment after t, and all that T acknowledged before t is at or
before the primary's position. One probe answer serves every operation that waits.

Probes run only while somebody waits, and at intervals, so an idle group costs nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryjunction.freshness import FreshnessHistory
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    EndpointConnection,
    EndpointConnector,
    EndpointRecord,
    EndpointStatus,
    GroupDirectory,
    GroupRecord,
    QueryResult,
    Step,
    StoreUnavailable,
)

STATUS_STEP = Step(
    "SELECT term, role, received, applied, leaving, term_start "
    "FROM celeryjunction_status"
)

MIN_PROBE_INTERVAL_S = 0.0003
"""Pause between two status queries to one endpoint while operations wait."""
MAX_PROBE_INTERVAL_S = 0.025
PAUSE_PER_WAITER_S = 0.00015
"""Pause for each operation that waits on average. A single client is served at once;
under load more operations share each status query, which costs about 70 us of
processor time here and as much at the endpoint."""
WAITERS_WEIGHT = 0.05
PROBE_TIMEOUT_S = 1.0
PROBE_RETRY_S = 0.05
"""Wait after a failed probe; a refused connection would otherwise spin."""
PLATFORM_FALLBACK_S = 0.05
"""An operation that waits longer than this also reads the platform's record."""

_log = get_logger("rounds")


class Observation:
    """A status and the time its query was sent, in monotonic seconds."""

    __slots__ = ("sent_at", "status")

    def __init__(self, status: EndpointStatus, sent_at: float) -> None:
        self.status = status
        self.sent_at = sent_at

    def __rich_repr__(self):
        yield self.status
        yield "sent_at", self.sent_at


class Proof:
    """`primary` held `term`, unreplaced, at some moment at or after `proven_at`.

    `position` is the primary's log position then: all that it acknowledged before
    `proven_at` is at or before it.
    """

    __slots__ = ("position", "primary", "proven_at", "term", "term_start")

    def __init__(
        self,
        *,
        term: int,
        primary: str,
        position: int,
        term_start: int,
        proven_at: float,
    ) -> None:
        self.term = term
        self.primary = primary
        self.position = position
        self.term_start = term_start
        self.proven_at = proven_at

    def __rich_repr__(self):
        yield "term", self.term
        yield "primary", self.primary
        yield "position", self.position
        yield "proven_at", self.proven_at


class NoProof(Exception):
    """No proof was found before the deadline."""


class _Waiter:
    __slots__ = ("began", "check", "future")

    def __init__(self, check: Callable[[], object], future: asyncio.Future) -> None:
        self.began = future.get_loop().time()
        self.check = check
        self.future = future


def decode_status(result: QueryResult) -> EndpointStatus:
    """Decode the row that `STATUS_STEP` returns; raises `ValueError`."""
    if len(result.rows) != 1 or len(result.rows[0]) != 6:
        raise ValueError("the status query returned no single row of six columns")
    term, role, received, applied, leaving, start = result.rows[0]
    return EndpointStatus(
        int(term or b""),
        role == b"primary",
        int(received or b""),
        int(applied or b""),
        leaving == b"t",
        int(start or b""),
    )


class _Probe:
    """Asks one endpoint for its status while somebody waits."""

    __slots__ = ("_connection", "_monitor", "_record", "_task", "leaving", "rtt_s")

    def __init__(self, monitor: GroupMonitor, record: EndpointRecord) -> None:
        self._monitor = monitor
        self._record = record
        self._connection: EndpointConnection | None = None
        self.rtt_s = MIN_PROBE_INTERVAL_S
        self.leaving = False
        self._task = asyncio.create_task(self._run(), name=f"probe-{record.name}")

    def stop(self) -> None:
        """Stop the probe; its connection closes as the task ends."""
        self._task.cancel()

    async def close(self) -> None:
        """Stop the probe and wait until its connection is closed."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            await self._ask_repeatedly()
        finally:
            self._disconnect()

    async def _ask_repeatedly(self) -> None:
        monitor = self._monitor
        while True:
            await monitor.demand.wait()
            sent_at = monitor.clock.monotonic()
            try:
                status = await self._ask()
            except Exception as error:
                # Whatever an endpoint answers, the probe must go on asking.
                self._disconnect()
                monitor.probe_failed(self._record.name, error)
                await asyncio.sleep(PROBE_RETRY_S)
                continue
            self.rtt_s = monitor.clock.monotonic() - sent_at
            monitor.observe(self._record.name, status, sent_at)
            await asyncio.sleep(monitor.probe_pause_s(self.rtt_s))

    async def _ask(self) -> EndpointStatus:
        if self._connection is None or not self._connection.usable:
            self._connection = await self._monitor.connector.connect(
                self._record, self._monitor.database, timeout=PROBE_TIMEOUT_S
            )
        (result,) = await self._connection.run([STATUS_STEP], timeout=PROBE_TIMEOUT_S)
        return decode_status(result)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class GroupMonitor:
    """What this proxy can prove about one group, now and in the recent past."""

    def __init__(
        self,
        database: str,
        *,
        directory: GroupDirectory,
        connector: EndpointConnector,
        clock: Clock,
    ) -> None:
        self.database = database
        self.connector = connector
        self.clock = clock
        self.demand = asyncio.Event()
        self._directory = directory
        self._record: GroupRecord | None = None
        self._leaving: set[str] = set()
        self._probes: dict[str, _Probe] = {}
        self._observations: dict[str, Observation] = {}
        self._failed: set[str] = set()
        self._platform: tuple[GroupRecord, float] | None = None
        self._platform_task: asyncio.Task[None] | None = None
        self._proof: Proof | None = None
        self._suspected_at = float("-inf")
        self._history = FreshnessHistory()
        self._term_starts: dict[int, int] = {}
        self._majority_received: dict[int, int] = {}
        self._waiters: list[_Waiter] = []
        self._usual_waiters = 0.0

    @property
    def record(self) -> GroupRecord | None:
        """The group's record that the probes follow."""
        return self._record

    @property
    def proof(self) -> Proof | None:
        """The newest proof, whatever its age."""
        return self._proof

    @property
    def observations(self) -> dict[str, Observation]:
        """The newest observation of each endpoint, by name."""
        return self._observations

    @property
    def waiting(self) -> int:
        """Number of operations that wait for a proof or a position."""
        return len(self._waiters)

    def probe_pause_s(self, rtt_s: float) -> float:
        """Return the pause between status queries, at least their round trip."""
        pause = MIN_PROBE_INTERVAL_S + PAUSE_PER_WAITER_S * self._usual_waiters
        return min(max(pause, rtt_s), MAX_PROBE_INTERVAL_S)

    def update_record(self, record: GroupRecord) -> None:
        """Follow the endpoints of a record; called again when the record changes."""
        if record == self._record:
            return
        if self._record is not None and record.term < self._record.term:
            return
        old, self._record = self._record, record
        self._leaving = {e.name for e in record.endpoints if e.leaving}
        kept = set(old.endpoints) & set(record.endpoints) if old else set()
        names = {endpoint.name for endpoint in kept}
        for name in [n for n in self._probes if n not in names]:
            probe = self._probes.pop(name)
            self._observations.pop(name, None)
            probe.stop()
        for endpoint in record.endpoints:
            if endpoint.name not in self._probes:
                self._probes[endpoint.name] = _Probe(self, endpoint)

    async def close(self) -> None:
        """Stop all probes; whoever waits gets `NoProof`."""
        for waiter in self._waiters:
            if not waiter.future.done():
                waiter.future.set_exception(NoProof())
        self._waiters.clear()
        if self._platform_task is not None:
            self._platform_task.cancel()
        await asyncio.gather(*(probe.close() for probe in self._probes.values()))
        self._probes.clear()

    def suspect(self) -> None:
        """Distrust the newest proof: the next write waits for a newer one."""
        self._suspected_at = self.clock.monotonic()

    @property
    def suspected_at(self) -> float:
        """Monotonic time of the last word against the newest proof."""
        return self._suspected_at

    @property
    def trusted_proof(self) -> Proof | None:
        """The newest proof, unless something has spoken against it since."""
        proof = self._proof
        if proof is None or proof.proven_at <= self._suspected_at:
            return None
        return proof

    def dropping_term(self, *, term: int, position: int) -> int | None:
        """Return the later term that may have dropped a position of `term`, if any.

        A position that a majority was seen to have received in its own term is kept
        by promotions; it counts as dropped only if a later term is known to begin
        before it. Any other position may be gone after the next promotion.
        """
        newest = self._proof.term if self._proof is not None else term
        if newest <= term:
            return None
        if self._majority_received.get(term, -1) < position:
            return newest
        return next(
            (
                later
                for later, start in self._term_starts.items()
                if later > term and start < position
            ),
            None,
        )

    def is_leaving(self, endpoint: str) -> bool:
        """Whether the endpoint's own word or the record says that it leaves."""
        observation = self._observations.get(endpoint)
        if observation is not None and observation.status.leaving:
            return True
        return endpoint in self._leaving

    async def prove(self, *, since: float, deadline: float) -> Proof:
        """Return a proof that holds at some moment at or after `since`.

        Both are monotonic seconds. Raises `NoProof` at the deadline.
        """

        def check() -> Proof | None:
            proof = self._proof
            return proof if proof and proof.proven_at >= since else None

        return await self._wait(check, deadline)

    async def confirm(
        self,
        *,
        term: int,
        position: int,
        since: float,
        replicated: bool,
        deadline: float,
    ) -> bool:
        """Wait for the proof that a commit may be acknowledged.

        True when the primary of `term` was not replaced at some moment after `since`
        (and, if `replicated`, a majority has received `position` in that term). False
        as soon as a later term is proven. Raises `NoProof` at the deadline.
        """

        def check() -> bool | None:
            proof = self._proof
            if proof is None or proof.proven_at < since:
                return None
            if proof.term != term:
                return False if proof.term > term else None
            if replicated and self._majority_received.get(term, -1) < position:
                return None
            return True

        return await self._wait(check, deadline)

    async def wait_for_replica(
        self, *, term: int, position: int, deadline: float
    ) -> list[str]:
        """Wait until a replica of `term` has applied `position`; return all such."""
        return await self._wait(
            lambda: self.replicas_at(term, position) or None, deadline
        )

    def replicas_at(self, term: int, position: int) -> list[str]:
        """Names of replicas last seen in `term` with `position` applied."""
        return [
            name
            for name, seen in self._observations.items()
            if seen.status.term == term
            and not seen.status.is_primary
            and seen.status.applied >= position
            and not self.is_leaving(name)
        ]

    def position_covering(self, instant: float) -> int | None:
        """Return the lowest position known to hold all acknowledged by `instant`.

        `instant` is in monotonic seconds. None when no proof is recent enough.
        """
        return self._history.position_covering(instant)

    def lag_s(self, term: int, position: int) -> float:
        """Estimate how long the best replica takes to reach a new log position.

        Infinite without a replica of the term. A replica that has all of `position`
        gives 0.
        """
        best = float("inf")
        for name, seen in self._observations.items():
            status = seen.status
            if status.term != term or status.is_primary or self.is_leaving(name):
                continue
            if status.applied >= position:
                return 0.0
            covered = self._history.last_covered_instant(status.applied)
            if covered is not None:
                best = min(best, seen.sent_at - covered)
        return best

    def observe(self, name: str, status: EndpointStatus, sent_at: float) -> None:
        """Take in an endpoint's answer to a query sent at `sent_at`."""
        self._failed.discard(name)
        self._observations[name] = Observation(status, sent_at)
        self._note_received(status.term)
        self._update_proof()
        self._wake()

    def discard_observation(self, name: str) -> None:
        """Drop the last observation of an endpoint that turned out otherwise."""
        self._observations.pop(name, None)

    def probe_failed(self, name: str, error: Exception) -> None:
        """Note that an endpoint gave no status."""
        if name not in self._failed:
            self._failed.add(name)
            _log.warning(
                "probe_failed", database=self.database, endpoint=name, reason=str(error)
            )
        if self._proof is not None and self._proof.primary == name:
            self.suspect()

    def observe_platform(self, record: GroupRecord, read_at: float) -> None:
        """Take in the platform's record, read by a call that began at `read_at`."""
        self._platform = (record, read_at)
        self.update_record(record)
        self._update_proof()
        self._wake()

    async def _wait(self, check: Callable[[], object], deadline: float):
        found = check()
        if found is not None:
            return found
        loop = asyncio.get_running_loop()
        remaining = deadline - self.clock.monotonic()
        if remaining <= 0:
            raise NoProof
        waiter = _Waiter(check, loop.create_future())
        self._waiters.append(waiter)
        self.demand.set()
        handle = loop.call_later(remaining, _expire, waiter.future)
        fallback = loop.call_later(PLATFORM_FALLBACK_S, self._read_platform)
        try:
            return await waiter.future
        finally:
            handle.cancel()
            fallback.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if not self._waiters:
                self.demand.clear()

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        self._usual_waiters += WAITERS_WEIGHT * (len(waiters) - self._usual_waiters)
        for waiter in waiters:
            if waiter.future.done():
                continue
            found = waiter.check()
            if found is None:
                self._waiters.append(waiter)
            else:
                waiter.future.set_result(found)
        if not self._waiters:
            self.demand.clear()

    def _update_proof(self) -> None:
        proof = self._evaluate()
        if proof is None:
            return
        old = self._proof
        if old is not None and (
            proof.term < old.term or proof.proven_at <= old.proven_at
        ):
            return
        if old is None or proof.term != old.term:
            self._history.clear()
            self._term_starts[proof.term] = proof.term_start
            _log.info(
                "primary_proven",
                database=self.database,
                term=proof.term,
                primary=proof.primary,
            )
        self._proof = proof
        self._history.add(proof.proven_at, proof.position)

    def _evaluate(self) -> Proof | None:
        record = self._record
        if record is None:
            return None
        leader = self._newest_primary()
        if leader is None:
            return None
        name, seen = leader
        term = seen.status.term
        held = self._held_since(record, term)
        if held is None:
            return None
        return Proof(
            term=term,
            primary=name,
            position=seen.status.applied,
            term_start=seen.status.term_start,
            proven_at=min(held, seen.sent_at),
        )

    def _newest_primary(self) -> tuple[str, Observation] | None:
        best: tuple[str, Observation] | None = None
        for name, seen in self._observations.items():
            if seen.status.is_primary and (
                best is None or seen.status.term > best[1].status.term
            ):
                best = (name, seen)
        return best

    def _held_since(self, record: GroupRecord, term: int) -> float | None:
        """Latest time from which on `term` is known not to have been replaced."""
        times = sorted(
            (o.sent_at for o in self._observations.values() if o.status.term == term),
            reverse=True,
        )
        if record.promotion != "single":
            return times[record.majority - 1] if len(times) >= record.majority else None
        # With promotions of a single endpoint a majority proves nothing: all of them
        # must report the term, or the platform's record must still have it (A2).
        candidates = []
        if len(times) == len(record.endpoints):
            candidates.append(times[-1])
        if self._platform is not None and self._platform[0].term == term:
            candidates.append(self._platform[1])
        return max(candidates, default=None)

    def _note_received(self, term: int) -> None:
        """Keep the highest position that a majority has received in a term."""
        record = self._record
        if record is None:
            return
        received = sorted(
            (
                seen.status.received
                for seen in self._observations.values()
                if seen.status.term == term
            ),
            reverse=True,
        )
        if len(received) >= record.majority:
            position = received[record.majority - 1]
            known = self._majority_received.get(term, -1)
            self._majority_received[term] = max(known, position)

    def _read_platform(self) -> None:
        if self._platform_task is None or self._platform_task.done():
            self._platform_task = asyncio.create_task(self._platform_round())

    async def _platform_round(self) -> None:
        while self._waiters:
            read_at = self.clock.monotonic()
            try:
                record = await self._directory.read_now(
                    self.database, timeout=PROBE_TIMEOUT_S
                )
            except StoreUnavailable:
                pass
            else:
                self.observe_platform(record, read_at)
            await asyncio.sleep(PLATFORM_FALLBACK_S)
            # Under steady load somebody always waits, but nobody for long. Without
            # this check, one slow moment left 6 reads of the record a second behind.
            late = asyncio.get_running_loop().time() - PLATFORM_FALLBACK_S
            if not any(waiter.began <= late for waiter in self._waiters):
                return


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(NoProof())
