"""Which endpoint of a group runs a statement, in which order statements wait.

A statement goes at once to the cheapest endpoint that has room. Otherwise it waits in
order of priority, and is refused at once when the wait is expected to outlast its
patience: a caller that is told early can ask another VM.
"""

from __future__ import annotations

import asyncio
from bisect import insort
from collections import deque
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

from celeryjunction.dispatch.gates import EndpointGate
from celeryjunction.dispatch.retry_budget import RetryBudget
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import EndpointDialer, EndpointInfo, EndpointLink

CROSS_ZONE_S = 0.003
"""Round trip to another zone: two ways of 1.4 ms, from the users' pages."""
LOWEST_PRIORITY = 2
"""Priorities from here on never use the last slot of an endpoint from one VM."""
WATCH_S = 0.05
"""Interval at which endpoints are looked at that have statements to answer."""
REFUSALS = 8
REFUSALS_S = 1.0
"""So many statements refused for want of time within this many seconds are more than
the few that a short burst costs."""
RETRY_S = 0.02
"""Pause before the queue is looked at again while endpoints are avoided or full."""

_log = get_logger("dispatch")


class Demand:
    """A statement that asks for an endpoint.

    `only` names the one endpoint that may run it; otherwise any endpoint may that is
    not in `excluded`. `give_up_at` is the time when it is refused, in seconds.
    """

    __slots__ = (
        "_future",
        "_order",
        "arrived",
        "excluded",
        "give_up_at",
        "only",
        "pins",
        "priority",
        "unanswered",
        "values",
    )

    def __init__(
        self,
        *,
        priority: int,
        arrived: float,
        give_up_at: float,
        only: str | None = None,
        pins: bool = False,
        values: dict[bytes, bytes] | None = None,
    ) -> None:
        self.priority = priority
        self.arrived = arrived
        self.give_up_at = give_up_at
        self.only = only
        self.pins = pins
        """Whether it opens a transaction, which keeps its connection."""
        self.excluded: set[str] = set()
        self.unanswered = False
        """Whether it was sent before and not answered: then it may have run."""
        self.values = values or {}
        self._order = (priority, arrived, 0)
        self._future: asyncio.Future[EndpointGate] | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "priority", self.priority
        yield "only", self.only, None
        yield "excluded", self.excluded

    def allows(self, endpoint: str) -> bool:
        """Whether the endpoint may run the statement."""
        if self.only is not None:
            return endpoint == self.only
        return endpoint not in self.excluded


class Grant:
    """A connection to an endpoint, with the slot of the statement that runs on it."""

    __slots__ = (
        "_clock",
        "_dispatcher",
        "_pinned",
        "_priority",
        "_since",
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
    ) -> None:
        self._dispatcher = dispatcher
        self._priority = priority
        self._clock = clock
        self._since: float | None = clock.monotonic()
        self._pinned = False
        self.gate = gate
        self.link = link
        self.interruptible = False

    @property
    def endpoint(self) -> str:
        """Id of the endpoint."""
        return self.gate.info.id

    def sent(self, *, interruptible: bool) -> None:
        """Note that the statement is sent now.

        An interruptible one is broken off when the endpoint answers nothing at all.
        """
        self.interruptible = interruptible
        self.gate.note_sent(self)
        self._dispatcher.watch()

    def end_statement(self, *, answered: bool = True, served: bool = True) -> None:
        """Free the slot and keep the connection, between a transaction's statements.

        `served` says that the answer took the time of a statement that ran.
        """
        self._free_slot(answered, served and answered)
        self._dispatcher.pump()

    def _free_slot(self, answered: bool, served: bool) -> None:
        if self._since is None:
            return
        seconds = self._clock.monotonic() - self._since
        self._since = None
        self.gate.note_ended(self)
        self.gate.running -= 1
        if answered:
            self.gate.note_answer()
        if served:
            self.gate.note_service(seconds, priority=self._priority)

    def pin(self) -> None:
        """Keep the connection for a transaction until it is released."""
        self._pinned = True
        self.gate.pinned += 1

    def next_statement(self) -> None:
        """Take a slot for the next statement of a transaction, without waiting.

        A transaction holds locks and a connection, so it goes before new work.
        """
        if self._since is None:
            self.gate.running += 1
            self._since = self._clock.monotonic()

    def release(
        self, *, reusable: bool = True, answered: bool = True, served: bool = True
    ) -> None:
        """Give the connection back, and the slot if it is still held."""
        if self._pinned:
            self._pinned = False
            self.gate.pinned -= 1
        self.gate.give(self.link, reusable=reusable)
        self.end_statement(answered=answered, served=served)


class Dispatcher:
    """Places the statements of this VM on the endpoints of one group."""

    def __init__(
        self,
        *,
        zone: str,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
        max_links: Callable[[EndpointInfo], int],
        vm_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self.gates: dict[str, EndpointGate] = {}
        self.lends_idle_connections = False
        """Whether idle connections also serve for commands to the endpoints."""
        self._zone = zone
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._max_links = max_links
        self._vm_count = vm_count
        self._waiting: list[Demand] = []
        self._numbers = count(1)
        self._timer: asyncio.TimerHandle | None = None
        self._watch: asyncio.TimerHandle | None = None
        self._refused: deque[float] = deque(maxlen=REFUSALS)
        self.retries = RetryBudget()
        """Repetitions of reads that an endpoint failed."""
        self.on_stuck: Callable[[str], None] = lambda endpoint: None
        """Called with the id of an endpoint that answers nothing."""

    @property
    def waiting(self) -> int:
        """Statements that wait for an endpoint."""
        return len(self._waiting)

    def update_endpoints(self, endpoints: dict[str, EndpointInfo]) -> None:
        """Take over the endpoints that may be used."""
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
                )
            gate.info = info
            gate.max_links = self._max_links(info)
            gate.shared.slots = max(info.slots, 1)
            gate.shared.vm_count = max(self._vm_count(), 1)
        self.pump()

    async def acquire(self, demand: Demand) -> Grant:
        """Wait for room at an endpoint and return a connection to it.

        Raises `ProxyError` (not run) when the wait is or would be too long, and
        `ConnectionLost` or `EndpointRefused` when the chosen endpoint gives no
        connection; it is then in `demand.excluded`.
        """
        gate = None if self._must_queue(demand) else self._choose(demand)
        if gate is None:
            gate = await self._wait(demand)
        else:
            gate.running += 1
        try:
            link = await gate.take(demand.values)
        except BaseException:
            gate.running -= 1
            demand.excluded.add(gate.info.id)
            self.pump()
            raise
        return Grant(self, gate, link, clock=self._clock, priority=demand.priority)

    # Lending idle connections for commands

    def borrow(self, endpoint: str) -> EndpointLink | None:
        """Lend an idle connection, where VMs must share the endpoint's limit."""
        gate = self.gates.get(endpoint)
        return (
            gate.borrow() if gate is not None and self.lends_idle_connections else None
        )

    def give_back(self, endpoint: str, link: EndpointLink) -> None:
        """Take a lent connection back."""
        gate = self.gates.get(endpoint)
        if gate is None:
            link.close()
            return
        gate.give(link, reusable=True)
        self.pump()

    def adopt(self, endpoint: str, link: EndpointLink) -> bool:
        """Take over a connection that was opened for a command, if VMs must share."""
        gate = self.gates.get(endpoint)
        adopted = self.lends_idle_connections and gate is not None and gate.adopt(link)
        if adopted:
            self.pump()
        return adopted

    def oldest_idle_s(self, endpoint: str) -> float:
        """Return how long the connection that is lent next has been open, seconds."""
        gate = self.gates.get(endpoint)
        return (
            gate.oldest_idle_s
            if gate is not None and self.lends_idle_connections
            else 0.0
        )

    def close(self) -> None:
        """Close all idle connections and refuse what waits."""
        self.update_endpoints({})
        for demand in self._waiting:
            if not demand._future.done():
                demand._future.set_exception(ProxyError(ErrorKind.SHUTTING_DOWN))

    def _must_queue(self, demand: Demand) -> bool:
        """Whether something as urgent waits already for what this could take."""
        return any(
            other.priority <= demand.priority
            and (other.only, other.pins) == (demand.only, demand.pins)
            for other in self._waiting
        )

    def _choose(self, demand: Demand) -> EndpointGate | None:
        now = self._clock.monotonic()
        best, best_cost = None, 0.0
        for name, gate in self.gates.items():
            if not demand.allows(name) or not self._has_room(gate, demand, now):
                continue
            cost = self._cost(gate)
            if best is None or cost < best_cost:
                best, best_cost = gate, cost
        return best

    def _has_room(self, gate: EndpointGate, demand: Demand, now: float) -> bool:
        if now < gate.avoid_until or gate.is_stuck(now) or not gate.has_link(now):
            return False
        if demand.pins and not gate.may_pin:
            return False
        return gate.running < self._limit(gate, demand)

    @staticmethod
    def _limit(gate: EndpointGate, demand: Demand) -> int:
        limit = gate.shared.limit
        if demand.priority == 0:
            return limit + 1
        if demand.priority >= LOWEST_PRIORITY:
            return max(limit - 1, 1)
        return limit

    def _cost(self, gate: EndpointGate) -> float:
        """Return the expected seconds until a good answer: way, queue and service."""
        way = 0.0 if gate.info.zone == self._zone else CROSS_ZONE_S
        load = (gate.running + gate.slots_busy_elsewhere) / max(gate.info.slots, 1)
        return (way + gate.service_s * (1.0 + load)) * gate.expected_tries

    async def _wait(self, demand: Demand) -> EndpointGate:
        now = self._clock.monotonic()
        if now + self._expected_wait(demand) >= demand.give_up_at:
            raise self._not_in_time(demand)
        demand._order = (demand.priority, demand.arrived, next(self._numbers))
        demand._future = asyncio.get_running_loop().create_future()
        insort(self._waiting, demand, key=lambda waiting: waiting._order)
        self._look_again()
        try:
            async with asyncio.timeout(demand.give_up_at - now):
                return await demand._future
        except BaseException as error:
            self._withdraw(demand)
            if isinstance(error, TimeoutError):
                raise self._not_in_time(demand) from None
            raise

    def _not_in_time(self, demand: Demand) -> ProxyError:
        self._refused.append(self._clock.monotonic())
        allowed_s = max(0.0, demand.give_up_at - demand.arrived)
        return ProxyError(ErrorKind.NOT_RUN_DEADLINE, {"deadline_s": allowed_s})

    @property
    def is_overloaded(self) -> bool:
        """Whether many statements were refused lately because they had to wait."""
        if len(self._refused) < REFUSALS:
            return False
        return self._clock.monotonic() - self._refused[0] <= REFUSALS_S

    def _withdraw(self, demand: Demand) -> None:
        """Take a demand out of the queue; give back a place it just got."""
        if demand in self._waiting:
            self._waiting.remove(demand)
        future = demand._future
        if future.done() and not future.cancelled() and future.exception() is None:
            future.result().running -= 1
            self.pump()

    def _expected_wait(self, demand: Demand) -> float:
        """Return the expected seconds in the queue, from what is ahead of it."""
        gates = [gate for name, gate in self.gates.items() if demand.allows(name)]
        if not gates:
            return 0.0
        slots = sum(self._limit(gate, demand) for gate in gates)
        service_s = sum(gate.service_s for gate in gates) / len(gates)
        ahead = sum(other.priority <= demand.priority for other in self._waiting)
        return ahead * service_s / slots

    def pump(self) -> None:
        """Give free room to the statements that wait, the most urgent first."""
        for demand in list(self._waiting):
            if demand._future.done():
                continue
            gate = self._choose(demand)
            if gate is not None:
                gate.running += 1
                self._waiting.remove(demand)
                demand._future.set_result(gate)

    def watch(self) -> None:
        """Look for stuck endpoints while statements wait for their answers."""
        if self._watch is None:
            loop = asyncio.get_running_loop()
            self._watch = loop.call_later(WATCH_S, self._look_for_stuck)

    def _look_for_stuck(self) -> None:
        self._watch = None
        now = self._clock.monotonic()
        for gate in self.gates.values():
            if gate.is_stuck(now):
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
            self.watch()

    def _look_again(self) -> None:
        if self._timer is None and self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RETRY_S, self._timer_fired)

    def _timer_fired(self) -> None:
        self._timer = None
        self.pump()
        self._look_again()
