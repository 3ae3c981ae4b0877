"""Assigns the statements of this VM to the endpoints of a group.

A statement is sent at once to the endpoint with the lowest expected cost that has a
free slot. Otherwise it waits in a priority queue. It is refused at once when the
expected wait exceeds its queue deadline, so that the client can still try another VM.
"""

from __future__ import annotations

import asyncio
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

from celeryjunction._pauses import PauseDetector
from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.endpoint_choice import Candidate, EndpointChoice
from celeryjunction.dispatch.endpoint_speed import GroupTimes
from celeryjunction.dispatch.gates import EndpointGate
from celeryjunction.dispatch.retry_budget import RetryBudget
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.logs import get_logger
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

_log = get_logger("dispatch")


class PendingStatement:
    """A statement that needs an endpoint.

    `required_endpoint` is the only endpoint that may run the statement; if None, any
    endpoint that is not in `excluded` may. `arrived` and `queue_deadline` are seconds
    of the dispatcher's clock; a statement that is still queued at `queue_deadline` is
    refused.
    """

    __slots__ = (
        "_future",
        "_queue_key",
        "arrived",
        "excluded",
        "may_have_run",
        "opens_transaction",
        "organisation",
        "priority",
        "queue_deadline",
        "required_endpoint",
        "values",
    )

    def __init__(
        self,
        *,
        priority: int,
        arrived: float,
        queue_deadline: float,
        required_endpoint: str | None = None,
        opens_transaction: bool = False,
        values: dict[bytes, bytes] | None = None,
        organisation: str = "",
    ) -> None:
        self.organisation = organisation
        """Owner of the connection that the statement needs; empty for none."""
        self.priority = priority
        self.arrived = arrived
        self.queue_deadline = queue_deadline
        self.required_endpoint = required_endpoint
        self.opens_transaction = opens_transaction
        """Whether the statement opens a transaction, which pins its connection."""
        self.excluded: set[str] = set()
        self.may_have_run = False
        """Whether an earlier attempt may have run: it failed or was not answered."""
        self.values = values or {}
        self._queue_key = (priority, arrived, 0)
        self._future: asyncio.Future[EndpointGate] | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "priority", self.priority
        yield "required_endpoint", self.required_endpoint, None
        yield "excluded", self.excluded

    def allows(self, endpoint: str) -> bool:
        """Whether the endpoint may run the statement."""
        if self.required_endpoint is not None:
            return endpoint == self.required_endpoint
        return endpoint not in self.excluded


class Grant:
    """A connection to an endpoint and the slot of the statement that runs on it."""

    __slots__ = (
        "_clock",
        "_dispatcher",
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
        had_choice: bool = True,
    ) -> None:
        self._had_choice = had_choice
        self._dispatcher = dispatcher
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
            self.gate.record_answer()
        if served:
            self.gate.record_service_time(
                seconds, priority=self._priority, had_choice=self._had_choice
            )

    def pin(self) -> None:
        """Reserve the connection for a transaction until `release`."""
        self._pinned = True
        self.gate.pinned += 1

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
            self.gate.pinned -= 1
        self.gate.release(self.link, reusable=reusable)
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
    ) -> None:
        self.gates: dict[str, EndpointGate] = {}
        self.lends_idle_connections = False
        """Whether `borrow` and `adopt` share connections with control commands."""
        self._zone = zone
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._budget = budget
        self._vm_count = vm_count
        self._choice = EndpointChoice(random=random)
        self._times = GroupTimes()
        self.pauses = PauseDetector(LATE_CHECK_S)
        """Pauses of this process while statements are in flight."""
        self._waiting: list[PendingStatement] = []
        self._sequence = count(1)
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
        return len(self._waiting)

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
                    times=self._times,
                    pauses=self.pauses,
                )
            gate.info = info
            gate.max_links, gate.resting_links = self._budget(info)
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
        gate = None if self._must_queue(pending) else self._choose_gate(pending)
        if gate is None:
            gate = await self._wait(pending)
            gate.promised -= 1
        else:
            gate.running += 1
        self.schedule_stuck_check()
        try:
            link = await gate.acquire(pending.values, pending.organisation)
        except BaseException:
            gate.running -= 1
            pending.excluded.add(gate.info.id)
            self.dispatch_waiting()
            raise
        return Grant(
            self,
            gate,
            link,
            clock=self._clock,
            priority=pending.priority,
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
        gate.take_back(link)
        self.dispatch_waiting()

    def adopt(self, endpoint: EndpointInfo, link: EndpointLink) -> bool:
        """Take over a connection opened for a control command, if there is room."""
        gate = self.gates.get(endpoint.id)
        if gate is None or not self.lends_idle_connections:
            return False
        adopted = gate.info.is_same_process(endpoint) and gate.adopt(link)
        if adopted:
            self.dispatch_waiting()
        return adopted

    def oldest_idle_s(self, endpoint: str) -> float:
        """Return the age of the connection that `borrow` would lend, in seconds."""
        gate = self.gates.get(endpoint)
        return (
            gate.oldest_idle_s
            if gate is not None and self.lends_idle_connections
            else 0.0
        )

    def close(self) -> None:
        """Close all idle connections and refuse the queued statements."""
        self.update_endpoints({})
        for pending in self._waiting:
            if not pending._future.done():
                pending._future.set_exception(ProxyError(ErrorKind.SHUTTING_DOWN))

    def _must_queue(self, pending: PendingStatement) -> bool:
        """Whether a statement that is at least as urgent waits for the same slots."""
        return any(
            other.priority <= pending.priority
            and (other.required_endpoint, other.opens_transaction)
            == (pending.required_endpoint, pending.opens_transaction)
            for other in self._waiting
        )

    def _choose_gate(self, pending: PendingStatement) -> EndpointGate | None:
        now = self._clock.monotonic()
        candidates = []
        for name, gate in self.gates.items():
            if pending.allows(name) and self._has_room(gate, pending, now):
                gate.refresh(now)
                busy = gate.running + gate.slots_busy_elsewhere
                free = max(gate.info.slots, 1) - busy
                candidates.append(Candidate(name, self._cost(gate), free))
        if not candidates:
            return None
        name = self._choice.choose(candidates, vm_count=gate.shared.vm_count)
        return self.gates[name]

    def _has_room(
        self, gate: EndpointGate, pending: PendingStatement, now: float
    ) -> bool:
        if (
            now < gate.avoid_until
            or gate.is_stuck(now)
            or not gate.has_link(now, pending.organisation)
        ):
            return False
        if pending.opens_transaction and not gate.may_pin:
            return False
        return gate.running < self._limit(gate, pending)

    @staticmethod
    def _limit(gate: EndpointGate, pending: PendingStatement) -> int:
        """Return the number of statements in flight from which on this one waits.

        A statement of priority 0 may exceed this VM's limit at the endpoint by one.
        """
        limit = gate.shared.limit
        if pending.priority == 0:
            return limit + 1
        if pending.priority >= LOW_PRIORITY:
            return max(limit - 1, 1)
        return limit

    def _cost(self, gate: EndpointGate) -> float:
        """Return the expected seconds until success: network, queue and service."""
        network_s = 0.0 if gate.info.zone == self._zone else CROSS_ZONE_RTT_S
        load = (gate.running + gate.slots_busy_elsewhere) / max(gate.info.slots, 1)
        return (network_s + gate.service_s * (1.0 + load)) * gate.expected_attempts

    async def _wait(self, pending: PendingStatement) -> EndpointGate:
        now = self._clock.monotonic()
        if now + self._expected_wait(pending) >= pending.queue_deadline:
            raise self._record_refusal(pending)
        pending._queue_key = (pending.priority, pending.arrived, next(self._sequence))
        pending._future = asyncio.get_running_loop().create_future()
        insort(self._waiting, pending, key=lambda waiting: waiting._queue_key)
        self._schedule_retry()
        try:
            async with asyncio.timeout(pending.queue_deadline - now):
                return await pending._future
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
        if pending in self._waiting:
            self._waiting.remove(pending)
        future = pending._future
        if future.done() and not future.cancelled() and future.exception() is None:
            gate = future.result()
            gate.running -= 1
            gate.promised -= 1
            self.dispatch_waiting()

    def _expected_wait(self, pending: PendingStatement) -> float:
        """Return the expected seconds in the queue, from the statements ahead."""
        gates = [gate for name, gate in self.gates.items() if pending.allows(name)]
        if not gates:
            return 0.0
        slots = sum(self._limit(gate, pending) for gate in gates)
        service_s = sum(gate.service_s for gate in gates) / len(gates)
        ahead = sum(other.priority <= pending.priority for other in self._waiting)
        return ahead * service_s / slots

    def dispatch_waiting(self) -> None:
        """Give free slots to queued statements in queue order."""
        for pending in list(self._waiting):
            if pending._future.done():
                continue
            gate = self._choose_gate(pending)
            if gate is not None:
                gate.running += 1
                gate.promised += 1
                self._waiting.remove(pending)
                pending._future.set_result(gate)

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
        if self._retry_timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._retry_timer = loop.call_later(RETRY_INTERVAL_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self._retry_timer = None
        self.dispatch_waiting()
        self._schedule_retry()
