"""Proofs of a group's primary and log positions, shared by all waiting operations.

A probe per endpoint queries the endpoint's status. An observation is valid from the
moment its query was sent. If a majority of the endpoints, the primary of term T among
them, reports T in queries sent at or after time t, then T had not been replaced at some
moment after t, and everything that T acknowledged before t is at or before the
primary's log position. One answer serves all waiting operations.

Probes query at intervals and only while an operation waits, so an idle group causes no
load.
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
"""Shortest pause between two status queries to an endpoint while operations wait."""
MAX_PROBE_INTERVAL_S = 0.025
"""Longest such pause."""
PAUSE_PER_WAITER_S = 0.00015
"""Additional pause per waiting operation on average. A single client is served without
delay; under load more operations share a status query, which takes about 70 µs of
processor time in the proxy and as much at the endpoint."""
WAITERS_EWMA_WEIGHT = 0.05
"""Weight of the newest sample in the moving average of waiting operations."""
PROBE_TIMEOUT_S = 1.0
PROBE_RETRY_S = 0.05
"""Pause after a failed query; otherwise refused connections cause a busy loop."""
PLATFORM_FALLBACK_S = 0.05
"""Wait of an operation after which the platform's record is read as well, and the
interval between such reads."""

_log = get_logger("rounds")


class Observation:
    """An endpoint's status and when its query was sent, in monotonic seconds."""

    __slots__ = ("sent_at", "status")

    def __init__(self, status: EndpointStatus, sent_at: float) -> None:
        self.status = status
        self.sent_at = sent_at

    def __rich_repr__(self):
        yield self.status
        yield "sent_at", self.sent_at


class Proof:
    """Proof that `primary` held `term` at some moment at or after `proven_at`.

    `proven_at` is in monotonic seconds. Everything that the primary acknowledged before
    is at or before its log position `position`.
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
    """No proof was found before the deadline, or the monitor was closed."""


class _Waiter:
    """An operation that waits until `check` returns something other than None."""

    __slots__ = ("check", "future", "started_at")

    def __init__(self, check: Callable[[], object], future: asyncio.Future) -> None:
        self.started_at = future.get_loop().time()
        self.check = check
        self.future = future


def decode_status(result: QueryResult) -> EndpointStatus:
    """Decode the result of `STATUS_STEP`.

    Raises `ValueError` unless it is one row of six valid columns.
    """
    if len(result.rows) != 1 or len(result.rows[0]) != 6:
        raise ValueError("the status query did not return one row of six columns")
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
    """Queries the status of one endpoint while operations wait."""

    __slots__ = ("_connection", "_monitor", "_record", "_task", "leaving", "rtt_s")

    def __init__(self, monitor: GroupMonitor, record: EndpointRecord) -> None:
        self._monitor = monitor
        self._record = record
        self._connection: EndpointConnection | None = None
        self.rtt_s = MIN_PROBE_INTERVAL_S
        self.leaving = False
        self._task = asyncio.create_task(self._run(), name=f"probe-{record.name}")

    def stop(self) -> None:
        """Stop the probe; its connection is closed when the task ends."""
        self._task.cancel()

    async def close(self) -> None:
        """Stop the probe and wait until its connection is closed."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        try:
            await self._poll_status()
        finally:
            self._disconnect()

    async def _poll_status(self) -> None:
        monitor = self._monitor
        while True:
            await monitor.demand.wait()
            sent_at = monitor.clock.monotonic()
            try:
                status = await self._query_status()
            except Exception as error:
                # No answer of an endpoint may end the probe.
                self._disconnect()
                monitor.record_probe_failure(self._record.name, error)
                await asyncio.sleep(PROBE_RETRY_S)
                continue
            self.rtt_s = monitor.clock.monotonic() - sent_at
            monitor.observe(self._record.name, status, sent_at)
            await asyncio.sleep(monitor.probe_pause_s(self.rtt_s))

    async def _query_status(self) -> EndpointStatus:
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
    """Proofs of a group's primary and log positions, current and recent.

    `demand` is set while operations wait; the probes run only then.
    """

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
        self._failing_probes: set[str] = set()
        self._platform_record: tuple[GroupRecord, float] | None = None
        self._platform_task: asyncio.Task[None] | None = None
        self._proof: Proof | None = None
        self._suspected_at = float("-inf")
        self._history = FreshnessHistory()
        self._term_starts: dict[int, int] = {}
        self._majority_received: dict[int, int] = {}
        self._waiters: list[_Waiter] = []
        self._average_waiters = 0.0

    @property
    def record(self) -> GroupRecord | None:
        """The newest record of the group; None before the first one."""
        return self._record

    @property
    def proof(self) -> Proof | None:
        """The newest proof, regardless of its age."""
        return self._proof

    @property
    def observations(self) -> dict[str, Observation]:
        """The newest observation of each endpoint, by name."""
        return self._observations

    @property
    def waiting(self) -> int:
        """Number of operations that wait for a proof or a log position."""
        return len(self._waiters)

    def probe_pause_s(self, rtt_s: float) -> float:
        """Return the pause until an endpoint's next status query, in seconds.

        The pause is at least as long as a round trip of `rtt_s`, up to
        `MAX_PROBE_INTERVAL_S`.
        """
        pause = MIN_PROBE_INTERVAL_S + PAUSE_PER_WAITER_S * self._average_waiters
        return min(max(pause, rtt_s), MAX_PROBE_INTERVAL_S)

    def update_record(self, record: GroupRecord) -> None:
        """Probe the endpoints of a newer record.

        The probes of changed endpoints are restarted. A record that is unchanged or of
        an older term is ignored.
        """
        if record == self._record:
            return
        if self._record is not None and record.term < self._record.term:
            return
        old, self._record = self._record, record
        self._leaving = {e.name for e in record.endpoints if e.leaving}
        unchanged = set(old.endpoints) & set(record.endpoints) if old else set()
        unchanged_names = {endpoint.name for endpoint in unchanged}
        for name in [n for n in self._probes if n not in unchanged_names]:
            probe = self._probes.pop(name)
            self._observations.pop(name, None)
            probe.stop()
        for endpoint in record.endpoints:
            if endpoint.name not in self._probes:
                self._probes[endpoint.name] = _Probe(self, endpoint)

    async def close(self) -> None:
        """Stop all probes; waiting operations get `NoProof`."""
        for waiter in self._waiters:
            if not waiter.future.done():
                waiter.future.set_exception(NoProof())
        self._waiters.clear()
        if self._platform_task is not None:
            self._platform_task.cancel()
        await asyncio.gather(*(probe.close() for probe in self._probes.values()))
        self._probes.clear()

    def suspect(self) -> None:
        """Distrust the current proof: the next write waits for a newer one."""
        self._suspected_at = self.clock.monotonic()

    @property
    def suspected_at(self) -> float:
        """Monotonic time of the last call of `suspect`."""
        return self._suspected_at

    @property
    def trusted_proof(self) -> Proof | None:
        """The newest proof; None if the primary was suspected since."""
        proof = self._proof
        if proof is None or proof.proven_at <= self._suspected_at:
            return None
        return proof

    def dropping_term(self, *, term: int, position: int) -> int | None:
        """Return a later term that may have dropped a log position of `term`, if any.

        Promotions keep a position that a majority is known to have received in its own
        term; such a position counts as dropped only if a later term is known to start
        before it. Any other position may be lost in the next promotion, and counts as
        dropped once a later term is proven.
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
        """Whether the endpoint's own status or the record marks it as leaving."""
        observation = self._observations.get(endpoint)
        if observation is not None and observation.status.leaving:
            return True
        return endpoint in self._leaving

    async def prove(self, *, since: float, deadline: float) -> Proof:
        """Wait for a proof whose `proven_at` is at or after `since`.

        `since` and `deadline` are in monotonic seconds. Raises `NoProof` at the
        deadline.
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
        """Wait for proof that a commit at `position` in `term` may be acknowledged.

        Return True once `term` is proven current at some moment at or after `since`
        and, if `replicated`, a majority has received `position` in that term. Return
        False as soon as a later term is proven. Raise `NoProof` at the deadline.
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
        """Wait until replicas have applied `position` in `term`; return their names.

        Raises `NoProof` at the deadline.
        """
        return await self._wait(
            lambda: self.replicas_at(term, position) or None, deadline
        )

    def replicas_at(self, term: int, position: int) -> list[str]:
        """Return replicas whose newest status has `position` of `term` applied.

        Leaving replicas are left out.
        """
        return [
            name
            for name, observation in self._observations.items()
            if observation.status.term == term
            and not observation.status.is_primary
            and observation.status.applied >= position
            and not self.is_leaving(name)
        ]

    def position_covering(self, instant: float) -> int | None:
        """Return the lowest known log position that covers `instant`.

        Everything acknowledged before `instant` (monotonic seconds) is at or before
        the position. None when no proof is recent enough.
        """
        return self._history.position_covering(instant)

    def lag_s(self, term: int, position: int) -> float:
        """Estimate the replication lag of the most current replica, in seconds.

        The result is 0 if a replica has already applied `position`, and infinite
        without a replica in `term`.
        """
        lowest_lag_s = float("inf")
        for name, observation in self._observations.items():
            status = observation.status
            if status.term != term or status.is_primary or self.is_leaving(name):
                continue
            if status.applied >= position:
                return 0.0
            covered = self._history.last_covered_instant(status.applied)
            if covered is not None:
                lowest_lag_s = min(lowest_lag_s, observation.sent_at - covered)
        return lowest_lag_s

    def observe(self, name: str, status: EndpointStatus, sent_at: float) -> None:
        """Process an endpoint's answer to a status query sent at `sent_at`."""
        self._failing_probes.discard(name)
        self._observations[name] = Observation(status, sent_at)
        self._update_majority_received(status.term)
        self._update_proof()
        self._wake_waiters()

    def discard_observation(self, name: str) -> None:
        """Discard an endpoint's last observation because its state has changed."""
        self._observations.pop(name, None)

    def record_probe_failure(self, name: str, error: Exception) -> None:
        """Record that a status query failed; a failing primary is suspected."""
        if name not in self._failing_probes:
            self._failing_probes.add(name)
            _log.warning(
                "probe_failed", database=self.database, endpoint=name, reason=str(error)
            )
        if self._proof is not None and self._proof.primary == name:
            self.suspect()

    def observe_platform(self, record: GroupRecord, read_at: float) -> None:
        """Process the platform's record, read by a call that started at `read_at`."""
        self._platform_record = (record, read_at)
        self.update_record(record)
        self._update_proof()
        self._wake_waiters()

    async def _wait(self, check: Callable[[], object], deadline: float):
        """Return the first result of `check` that is not None.

        `check` is called after every status or record. Raises `NoProof` at the
        deadline.
        """
        result = check()
        if result is not None:
            return result
        loop = asyncio.get_running_loop()
        remaining = deadline - self.clock.monotonic()
        if remaining <= 0:
            raise NoProof
        waiter = _Waiter(check, loop.create_future())
        self._waiters.append(waiter)
        self.demand.set()
        expiry = loop.call_later(remaining, _expire, waiter.future)
        fallback = loop.call_later(PLATFORM_FALLBACK_S, self._start_platform_polling)
        try:
            return await waiter.future
        finally:
            expiry.cancel()
            fallback.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            if not self._waiters:
                self.demand.clear()

    def _wake_waiters(self) -> None:
        """Resume the operations whose check now has a result."""
        waiters, self._waiters = self._waiters, []
        self._average_waiters += WAITERS_EWMA_WEIGHT * (
            len(waiters) - self._average_waiters
        )
        for waiter in waiters:
            if waiter.future.done():
                continue
            result = waiter.check()
            if result is None:
                self._waiters.append(waiter)
            else:
                waiter.future.set_result(result)
        if not self._waiters:
            self.demand.clear()

    def _update_proof(self) -> None:
        """Replace the proof if the observations give a newer one."""
        proof = self._derive_proof()
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

    def _derive_proof(self) -> Proof | None:
        """Return the proof that the current observations give, if any."""
        record = self._record
        if record is None:
            return None
        newest = self._newest_primary()
        if newest is None:
            return None
        name, observation = newest
        term = observation.status.term
        current_at = self._term_current_at(record, term)
        if current_at is None:
            return None
        return Proof(
            term=term,
            primary=name,
            position=observation.status.applied,
            term_start=observation.status.term_start,
            proven_at=min(current_at, observation.sent_at),
        )

    def _newest_primary(self) -> tuple[str, Observation] | None:
        """Return the name and observation of the primary of the highest term."""
        newest: tuple[str, Observation] | None = None
        for name, observation in self._observations.items():
            if observation.status.is_primary and (
                newest is None or observation.status.term > newest[1].status.term
            ):
                newest = (name, observation)
        return newest

    def _term_current_at(self, record: GroupRecord, term: int) -> float | None:
        """Return the latest t such that `term` was current at some moment after t."""
        times = sorted(
            (o.sent_at for o in self._observations.values() if o.status.term == term),
            reverse=True,
        )
        if record.promotion != "single":
            return times[record.majority - 1] if len(times) >= record.majority else None
        # If a promotion needs a single endpoint only, a majority proves nothing: all
        # endpoints must report the term, or the platform's record must name it (A2).
        candidates = []
        if len(times) == len(record.endpoints):
            candidates.append(times[-1])
        if self._platform_record is not None and self._platform_record[0].term == term:
            candidates.append(self._platform_record[1])
        return max(candidates, default=None)

    def _update_majority_received(self, term: int) -> None:
        """Record the highest position that a majority has received in `term`."""
        record = self._record
        if record is None:
            return
        received = sorted(
            (
                observation.status.received
                for observation in self._observations.values()
                if observation.status.term == term
            ),
            reverse=True,
        )
        if len(received) >= record.majority:
            position = received[record.majority - 1]
            previous = self._majority_received.get(term, -1)
            self._majority_received[term] = max(previous, position)

    def _start_platform_polling(self) -> None:
        if self._platform_task is None or self._platform_task.done():
            self._platform_task = asyncio.create_task(self._poll_platform())

    async def _poll_platform(self) -> None:
        """Read the platform's record while an operation waits for too long."""
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
            # Under steady load there are always waiting operations, but none waits
            # long. Without this check, one slow moment led to 6 reads of the record
            # per second from then on.
            limit = asyncio.get_running_loop().time() - PLATFORM_FALLBACK_S
            if not any(waiter.started_at <= limit for waiter in self._waiters):
                return


def _expire(future: asyncio.Future) -> None:
    if not future.done():
        future.set_exception(NoProof())
