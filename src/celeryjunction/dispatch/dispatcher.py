"""Assigns the statements of this VM to the endpoints of a group.

A statement is sent at once if an endpoint has a free slot: to the one whose turn it is
by expected free slots and cost. Otherwise it waits in a queue. It is refused at once
only if no slot could become free for it before its queue deadline, even if each
statement that runs, or goes before it and may wait as long, took only the shortest
recent time; the client can then still try another VM.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from random import Random

from celeryjunction._pauses import PauseDetector
from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.endpoint_choice import Candidate, EndpointChoice
from celeryjunction.dispatch.endpoint_speed import GroupTimes
from celeryjunction.dispatch.gates import EndpointGate
from celeryjunction.dispatch.owner_placement import OwnerPlacement
from celeryjunction.dispatch.retry_budget import RetryBudget
from celeryjunction.dispatch.statement_queue import (
    Kind,
    OrganisationFlow,
    PendingStatement,
    StatementQueue,
    shortest_wait,
)
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.logs import get_logger
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import EndpointDialer, EndpointInfo, EndpointLink

CROSS_ZONE_RTT_S = 0.003
"""Round trip to another zone; one way takes 1.4 ms."""
LOW_PRIORITY = 2
"""Statements from this priority number on never use the last slot that this VM has at
an endpoint, unless it has only one."""
STUCK_CHECK_INTERVAL_S = 0.05
"""Interval of the check for stuck endpoints while statements are in flight."""
LATE_CHECK_S = 3 * STUCK_CHECK_INTERVAL_S
"""A check that comes this long after the last one shows that this process paused, for
example because it used up its share of the processor. What it then sees as slow or
silent is not the endpoints' fault."""
OVERLOAD_REFUSALS = 8
OVERLOAD_WINDOW_S = 1.0
"""The VM is overloaded when this many statements miss their queue deadline within the
window; a short burst costs fewer."""
RETRY_INTERVAL_S = 0.02
"""Interval of retries for queued statements while endpoints are avoided or full."""

__all__ = ["Dispatcher", "Grant", "PendingStatement"]

_log = get_logger("dispatch")


class Grant:
    """A connection to an endpoint and the slot of the statement that runs on it."""

    __slots__ = (
        "_charged_s",
        "_clock",
        "_dispatcher",
        "_flow",
        "_had_choice",
        "_pinned",
        "_priority",
        "_slot_since",
        "gate",
        "interruptible",
        "link",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        gate: EndpointGate,
        link: EndpointLink,
        *,
        clock: Clock,
        priority: int,
        flow: OrganisationFlow,
        charged_s: float,
        had_choice: bool = True,
    ) -> None:
        self._had_choice = had_choice
        self._dispatcher = dispatcher
        self._flow = flow
        self._charged_s = charged_s
        self._priority = priority
        self._clock = clock
        self._slot_since: float | None = clock.monotonic()
        self._pinned = False
        self.gate = gate
        self.link = link
        self.interruptible = False

    @property
    def endpoint(self) -> str:
        """Id of the endpoint."""
        return self.gate.info.id

    def mark_sent(self, *, interruptible: bool) -> None:
        """Record that the statement is about to be sent.

        An interruptible statement is aborted when its endpoint is stuck.
        """
        self.interruptible = interruptible
        self.gate.record_sent(self)
        self._dispatcher.schedule_stuck_check()

    def end_statement(self, *, answered: bool = True, served: bool = True) -> None:
        """Free the slot and keep the connection, between statements of a transaction.

        `served` is whether the answer time counts as a service time of the endpoint.
        """
        self._free_slot(answered, served and answered)
        self._dispatcher.dispatch_waiting()

    def _free_slot(self, answered: bool, served: bool) -> None:
        if self._slot_since is None:
            return
        now = self._clock.monotonic()
        seconds = now - self._slot_since
        served = served and not self._dispatcher.pauses.overlaps_pause(
            self._slot_since, now
        )
        self._slot_since = None
        self.gate.record_ended(self)
        self.gate.running -= 1
        if answered:
            self.gate.record_answer(seconds)
            self._flow.charge(seconds - self._charged_s)
        self._charged_s = 0.0
        if served:
            self.gate.record_service_time(
                seconds, priority=self._priority, had_choice=self._had_choice
            )

    def pin(self) -> None:
        """Reserve the connection for a transaction until `release`."""
        self._pinned = True
        self.gate.pool.connections.pin(self.link.owner)

    def begin_statement(self) -> None:
        """Take a slot for the next statement of a transaction, without queueing.

        An open transaction holds locks and a connection, so its statements go before
        new work.
        """
        if self._slot_since is None:
            self.gate.running += 1
            self._slot_since = self._clock.monotonic()

    def release(
        self, *, reusable: bool = True, answered: bool = True, served: bool = True
    ) -> None:
        """Return the connection, and free the slot if it is still held."""
        if self._pinned:
            self._pinned = False
            self.gate.pool.connections.pin(self.link.owner, -1)
        self.gate.pool.release(self.link, reusable=reusable)
        self.end_statement(answered=answered, served=served)


class Dispatcher:
    """Assigns the statements of this VM to the endpoints of one group.

    `budget` returns how many connections for statements this VM may have to an
    endpoint, `vm_count` how many VMs send statements to the group's endpoints.
    """

    def __init__(
        self,
        *,
        zone: str,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
        budget: Callable[[EndpointInfo], ConnectionBudget],
        vm_count: Callable[[], int] = lambda: 1,
        metrics: Metrics | None = None,
    ) -> None:
        self.gates: dict[str, EndpointGate] = {}
        self.lends_idle_connections = False
        """Whether `borrow` and `adopt` share connections with control commands."""
        self.serves_no_owner = True
        """Whether statements without an owner may come, which use what `adopt` took."""
        self._metrics = metrics or Metrics()
        self._placement = OwnerPlacement()
        self._zone = zone
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._budget = budget
        self._vm_count = vm_count
        self._queue: StatementQueue[EndpointGate] = StatementQueue()
        self._choice = EndpointChoice(random=random)
        self._times = GroupTimes()
        self.pauses = PauseDetector(LATE_CHECK_S)
        """Pauses of this process while statements are in flight."""
        self._retry_timer: asyncio.TimerHandle | None = None
        self._stuck_check_timer: asyncio.TimerHandle | None = None
        self._refused_at: deque[float] = deque(maxlen=OVERLOAD_REFUSALS)
        self.retries = RetryBudget()
        """Budget for retries of reads that an endpoint failed."""
        self.on_stuck: Callable[[str], None] = lambda endpoint: None
        """Called with the id of an endpoint that is found stuck."""

    @property
    def waiting(self) -> int:
        """Number of statements in the queue."""
        return self._queue.waiting

    def unanswered_since(self, endpoint: str) -> float:
        """Return since when a stuck endpoint answered nothing, seconds; 0 if not."""
        gate = self.gates.get(endpoint)
        return gate.unanswered_since if gate is not None else 0.0

    def update_endpoints(self, endpoints: dict[str, EndpointInfo]) -> None:
        """Set the endpoints that statements may be sent to.

        The gate of an endpoint that was removed, or whose process was replaced, is
        closed.
        """
        for name in [n for n in self.gates if n not in endpoints]:
            self.gates.pop(name).close()
        for name, info in endpoints.items():
            gate = self.gates.get(name)
            if gate is not None and not gate.info.is_same_process(info):
                gate.close()
                gate = None
            if gate is None:
                gate = self.gates[name] = EndpointGate(
                    info,
                    dialer=self._dialer,
                    clock=self._clock,
                    random=self._random,
                    max_links=1,
                    metrics=self._metrics,
                    times=self._times,
                    pauses=self.pauses,
                )
            gate.info = info
            pool = gate.pool
            pool.connections.max_links, pool.resting_links = self._budget(info)
            gate.shared.slots = max(info.slots, 1)
            gate.shared.vm_count = max(self._vm_count(), 1)
        self._choice.retain(self.gates)
        self.dispatch_waiting()

    async def acquire(self, pending: PendingStatement) -> Grant:
        """Wait for a slot at an endpoint and return a connection to it.

        Raises `ProxyError` (not run) when the wait exceeds, or is expected to exceed,
        the queue deadline. Raises `ConnectionLost` or `EndpointRefused` when no
        connection to the chosen endpoint can be opened; the endpoint is then added to
        `pending.excluded`.
        """
        queue = self._queue
        must_wait = queue.waiting and queue.has_before(pending)
        gate = None if must_wait else self._choose_gate(pending)
        if gate is None:
            gate = await self._wait(pending)
            gate.pool.connections.promise(pending.organisation, -1)
            charged_s = gate.service_s
            flow = queue.charge_selected(pending, 0.0)
        else:
            gate.running += 1
            charged_s = gate.service_s
            flow = queue.charge_at_once(pending, charged_s)
        self.schedule_stuck_check()
        since = self._clock.monotonic() if pending.organisation else 0.0
        try:
            link = await gate.acquire(pending.values, pending.organisation)
        except BaseException:
            gate.running -= 1
            pending.excluded.add(gate.info.id)
            self.dispatch_waiting()
            raise
        if pending.organisation:
            flow.charge(self._clock.monotonic() - since)
        return Grant(
            self,
            gate,
            link,
            clock=self._clock,
            priority=pending.priority,
            flow=flow,
            charged_s=charged_s,
            had_choice=pending.required_endpoint is None,
        )

    # Connections shared with control commands

    def borrow(self, endpoint: str) -> EndpointLink | None:
        """Lend an idle connection; None without one or if lending is off."""
        gate = self.gates.get(endpoint)
        return (
            gate.borrow() if gate is not None and self.lends_idle_connections else None
        )

    def give_back(self, endpoint: str, link: EndpointLink) -> None:
        """Return a connection that was lent by `borrow`."""
        gate = self.gates.get(endpoint)
        if gate is None:
            link.close()
            return
        gate.pool.take_back(link)
        self.dispatch_waiting()

    def adopt(self, endpoint: EndpointInfo, link: EndpointLink) -> bool:
        """Take over a connection opened for a control command, if there is room.

        It has no owner, so where all statements have one it would serve none.
        """
        gate = self.gates.get(endpoint.id)
        if gate is None or not self.lends_idle_connections or not self.serves_no_owner:
            return False
        adopted = gate.info.is_same_process(endpoint) and gate.adopt(link)
        if adopted:
            self.dispatch_waiting()
        return adopted

    def oldest_idle_s(self, endpoint: str) -> float:
        """Return the age of the connection that `borrow` would lend, in seconds."""
        gate = self.gates.get(endpoint)
        return (
            gate.pool.oldest_idle_s
            if gate is not None and self.lends_idle_connections
            else 0.0
        )

    def close(self) -> None:
        """Close all idle connections and refuse the queued statements."""
        self.update_endpoints({})
        for pending in self._queue:
            if pending.future is not None and not pending.future.done():
                pending.future.set_exception(ProxyError(ErrorKind.SHUTTING_DOWN))

    def _choose_gate(self, pending: PendingStatement) -> EndpointGate | None:
        now = self._clock.monotonic()
        candidates = [
            gate
            for name, gate in self.gates.items()
            if pending.allows(name) and self._has_room(gate, pending, now)
        ]
        if len(candidates) > 1:
            return self._select(candidates, pending.organisation, now)
        return candidates[0] if candidates else None

    def _select(
        self, candidates: list[EndpointGate], owner: str, now: float
    ) -> EndpointGate:
        """Return the endpoint whose turn it is, for an owner among its own ones.

        These are the endpoints with an idle connection of the owner, unless all slots
        are expected to be taken there, or else those that its connections are kept on.
        """
        for gate in candidates:
            gate.refresh(now)
        if owner:
            own = [
                gate
                for gate in candidates
                if gate.pool.connections.has_idle(owner) and gate.free_slots > 0
            ]
            if not own:
                homes = self._homes_of(owner, candidates, now)
                own = [gate for gate in candidates if gate.info.id in homes]
            candidates = own or candidates
        name = self._choice.choose(
            [
                Candidate(gate.info.id, self._cost(gate, owner), gate.free_slots)
                for gate in candidates
            ],
            vm_count=candidates[0].shared.vm_count,
        )
        return self.gates[name]

    def _homes_of(
        self, owner: str, candidates: list[EndpointGate], now: float
    ) -> list[str]:
        """Return the endpoints on which an owner's connections are kept."""
        uses_per_s = sum(
            gate.pool.connections.uses_per_s(owner, now) for gate in self.gates.values()
        )
        return self._placement.homes(
            owner,
            {
                gate.info.id: gate.running + gate.slots_busy_elsewhere
                for gate in candidates
            },
            uses_per_s=uses_per_s,
        )

    def _has_room(
        self, gate: EndpointGate, pending: PendingStatement, now: float
    ) -> bool:
        if (
            now < gate.avoid_until
            or gate.is_stuck(now)
            or not gate.pool.has_link(now, pending.organisation)
        ):
            return False
        if gate.running >= self._limit(gate, pending.priority):
            return False
        return not pending.opens_transaction or gate.pool.connections.may_pin(
            pending.organisation, now
        )

    @staticmethod
    def _limit(gate: EndpointGate, priority: int) -> int:
        """Return the number of statements in flight from which on another one waits.

        A statement of priority 0 may exceed this VM's limit at the endpoint by one.
        """
        limit = gate.shared.limit
        if priority == 0:
            return limit + 1
        if priority >= LOW_PRIORITY:
            return max(limit - 1, 1)
        return limit

    def _cost(self, gate: EndpointGate, owner: str) -> float:
        """Return the expected seconds until success: network, queue and service.

        A connection that has to be opened for an owner occupies a slot meanwhile.
        """
        network_s = 0.0 if gate.info.zone == self._zone else CROSS_ZONE_RTT_S
        load = (gate.running + gate.slots_busy_elsewhere) / max(gate.info.slots, 1)
        slot_s = gate.service_s
        if owner and not gate.pool.connections.has_idle(owner):
            slot_s += gate.pool.opening_s
        return (network_s + slot_s * (1.0 + load)) * gate.expected_attempts

    async def _wait(self, pending: PendingStatement) -> EndpointGate:
        now = self._clock.monotonic()
        if now + self._shortest_wait(pending, now) >= pending.queue_deadline:
            raise self._record_refusal(pending)
        future = pending.future = asyncio.get_running_loop().create_future()
        self._queue.add(pending)
        self._schedule_retry()
        if pending.organisation:
            for name, gate in self.gates.items():
                if pending.allows(name):
                    gate.pool.connections.record_need(pending.organisation, now)
            # Those before it may wait for connections that this one does not need.
            self.dispatch_waiting()
        try:
            async with asyncio.timeout(pending.queue_deadline - now):
                return await future
        except BaseException as error:
            self._withdraw(pending)
            if isinstance(error, TimeoutError):
                raise self._record_refusal(pending) from None
            raise

    def _record_refusal(self, pending: PendingStatement) -> ProxyError:
        self._refused_at.append(self._clock.monotonic())
        allowed_s = max(0.0, pending.queue_deadline - pending.arrived)
        return ProxyError(ErrorKind.NOT_RUN_DEADLINE, {"deadline_s": allowed_s})

    @property
    def is_overloaded(self) -> bool:
        """Whether many statements missed their queue deadline in the last second."""
        if len(self._refused_at) < OVERLOAD_REFUSALS:
            return False
        return self._clock.monotonic() - self._refused_at[0] <= OVERLOAD_WINDOW_S

    def _withdraw(self, pending: PendingStatement) -> None:
        """Remove a statement from the queue; free the slot it may have just got."""
        self._queue.remove(pending)
        future = pending.future
        if future is None or not future.done() or future.cancelled():
            return
        if future.exception() is None:
            gate = future.result()
            gate.running -= 1
            gate.pool.connections.promise(pending.organisation, -1)
            self._queue.charge_selected(pending, -gate.service_s)
            self.dispatch_waiting()

    def _shortest_wait(self, pending: PendingStatement, now: float) -> float:
        """Return the seconds that a statement surely has to wait for a slot."""
        gates = [gate for name, gate in self.gates.items() if pending.allows(name)]
        if not gates:
            return 0.0
        return shortest_wait(
            self._queue.ahead(pending),
            slots=sum(self._limit(gate, pending.priority) for gate in gates),
            remaining_s=[left for gate in gates for left in gate.remaining_s(now)],
            shortest_s=min(gate.shortest_s for gate in gates),
        )

    def dispatch_waiting(self) -> None:
        """Give free slots to queued statements in queue order."""
        queue = self._queue
        while queue.waiting:
            selected = queue.select(self._has_slot, self._choose_gate)
            if selected is None:
                return
            pending, gate = selected
            queue.remove(pending)
            queue.charge_selected(pending, gate.service_s)
            gate.running += 1
            gate.pool.connections.promise(pending.organisation)
            if pending.future is not None:
                pending.future.set_result(gate)

    def _has_slot(self, kind: Kind, priority: int) -> bool:
        """Whether an endpoint that may run a kind of statement has a free slot."""
        required, _, excluded = kind
        return any(
            gate.running < self._limit(gate, priority)
            for name, gate in self.gates.items()
            if (name == required if required is not None else name not in excluded)
        )

    def schedule_stuck_check(self) -> None:
        """Start the timer of the stuck check if it is not running."""
        if self._stuck_check_timer is None:
            self.pauses.resume(self._clock.monotonic())
            self._start_stuck_timer()

    def _start_stuck_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._stuck_check_timer = loop.call_later(
            STUCK_CHECK_INTERVAL_S, self._check_for_stuck
        )

    def _check_for_stuck(self) -> None:
        self._stuck_check_timer = None
        now = self._clock.monotonic()
        paused_s = self.pauses.tick(now)
        for gate in self.gates.values():
            if paused_s:
                gate.excuse_pause(paused_s)
            if gate.is_stuck(now):
                gate.record_stuck()
                interrupted = gate.interrupt()
                if interrupted:
                    _log.warning(
                        "endpoint_stuck",
                        endpoint=gate.info.id,
                        group=gate.info.group,
                        interrupted=interrupted,
                    )
                self.on_stuck(gate.info.id)
        if any(gate.running for gate in self.gates.values()):
            self._start_stuck_timer()

    def _schedule_retry(self) -> None:
        if self._retry_timer is None and self._queue.waiting:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(RETRY_INTERVAL_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self._retry_timer = None
        self.dispatch_waiting()
        self._schedule_retry()
