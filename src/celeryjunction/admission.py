"""Admission of statements to one endpoint within one proxy.

Two limits hold: `concurrency`, the statements sent at once, stays near the endpoint's
slots so that work waits here, in order of rank, and not in the endpoint's own FIFO
queue; `connections` bounds the connections held, idle open transactions included.

**Order.** When a slot is free, the first of these that may run is sent:

1. interactive, then background work whose rank is behind its guaranteed share;
2. urgent, then interactive, then background work.

Inside a rank, statements of open transactions come first, because they hold locks and
connections, and then the customer that is furthest behind its share. Shares are parts
of the endpoint's time: the expected service time is charged when a statement is sent,
and corrected when it is answered. Work in rank order uses whatever the guarantees
leave, so no slot stays free but for the reserve below. A guarantee starts at zero when
a rank becomes active. If the shares of the competing ranks add up to more than one,
those of interactive and background work are scaled down.

**Reserve.** Background work, and interactive work that is expected to take longer than
`LONG_S`, is called long here. With ``base = min(concurrency, slots)`` of two or more,

- long work never runs in more than ``base - 1`` slots;
- long work that uses left-over time also never takes the last free slot. The slots it
  leaves grow with the slots that urgent work kept busy in the last seconds: one up to
  `SPARE_SLOTS`, then one more for every busy slot begun, at most ``base - 1``.

A rank behind its guarantee may take the last *free* slot, as long as some other slot
runs short work that ends soon. Otherwise an urgent flood, which fills every slot that
is freed, would shut background work out for good. The cost: with only long work, one
slot of `base` is idle (utilization 2/3 with 3 slots). With urgent work besides, but no
flood of it, two of 3 are kept, so long work gets one slot and its guarantee. A
guarantee of long work holds only up to ``(base - 1) / base`` of the time. With enough
urgent or short interactive work waiting the reserve costs nothing, since such work may
take any slot. Slots above the endpoint's stated number are not counted, since work
there waits in the endpoint.

With a `base` of one no slot can be reserved. Left-over long work then runs if it is
expected to be short, or if no urgent work came in the last `QUIET_S`. Work behind its
guarantee runs if it is short, or if the rank is behind by a whole such statement;
urgent work then waits for that statement once.

Background work also leaves one connection free of `connections` (two or more).

**Overload** refuses nobody: work waits until its deadline. Only a ticket with a shed
order, taken from a signed entry of the contract, is refused earlier.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from math import ceil, inf
from typing import NamedTuple

from celeryjunction._concurrency import ConcurrencyLimit
from celeryjunction._fair_queue import MIN_SHARE, Flow, RankQueue
from celeryjunction._pauses import PauseDetector
from celeryjunction.contract import Rank, ShedOrder
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.ports import Clock

__all__ = [
    "AdmissionSnapshot",
    "ConcurrencyLimit",
    "EndpointAdmission",
    "RankPressure",
    "Ticket",
]

LONG_S = 0.05
"""Work expected to take longer may not use the reserved slot."""

SPARE_SLOTS = 0.12
"""Urgent use of slots that the first reserved slot takes. Beyond it, urgent statements
would too often wait for one another there, and their p99 would double."""

QUIET_S = 1.0
"""With one slot, long work waits until no urgent work came for so long."""

URGENT_FLOOR = 0.05
"""Part of the endpoint's time that no guarantee of other ranks may use up."""

EXPECTED_WEIGHT = 0.1

_URGENT, _INTERACTIVE, _BACKGROUND = Rank


class Ticket:
    """A caller's request to send statements to an endpoint.

    `share` is the part of the endpoint's time that the contract keeps for this
    customer and rank. `deadline` is in seconds of the clock's monotonic time.
    `expected_s` is the caller's estimate of the service time; work that cannot be
    answered before the deadline by this estimate is not sent, so an estimate must
    come down again by itself when it was wrong. Zero means unknown.

    `holds_connection` says that the statement belongs to an open transaction; it then
    needs only a slot. The same ticket may enter again for the next statement, with a
    new deadline.
    """

    __slots__ = (
        "_acquired",
        "_charged_s",
        "_flow",
        "_future",
        "_guaranteed",
        "_long",
        "_reserved",
        "_taken_s",
        "_timer",
        "customer",
        "deadline",
        "entered_at",
        "expected_s",
        "holds_connection",
        "rank",
        "share",
        "shed_order",
    )

    _flow: Flow
    _future: asyncio.Future[None] | None
    _timer: asyncio.TimerHandle | None

    def __init__(
        self,
        *,
        customer: str,
        rank: Rank,
        share: float,
        deadline: float,
        expected_s: float = 0.0,
        holds_connection: bool = False,
        shed_order: ShedOrder | None = None,
    ) -> None:
        self.customer = customer
        self.rank = rank
        self.share = share
        self.deadline = deadline
        self.expected_s = expected_s
        self.holds_connection = holds_connection
        self.shed_order = shed_order
        self.entered_at = 0.0
        self._future = None
        self._timer = None
        self._acquired = False

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "customer", self.customer
        yield "rank", self.rank.label
        yield "share", self.share
        yield "deadline", self.deadline
        yield "holds_connection", self.holds_connection, False

    @property
    def sheddable(self) -> bool:
        """True when a shed order covers the ticket's rank and no transaction is open.

        The caller attaches only orders that are in force.
        """
        order = self.shed_order
        if order is None or self.holds_connection:
            return False
        return self.rank >= Rank[order.lowest_rank.upper()]

    def deadline_error(self) -> ProxyError:
        """Return the error for a statement that was not sent in time."""
        allowed_s = max(0.0, self.deadline - self.entered_at)
        return ProxyError(ErrorKind.NOT_RUN_DEADLINE, {"deadline_s": allowed_s})

    def shed_error(self) -> ProxyError:
        """Return the error for a statement refused under the shed order."""
        order = self.shed_order
        assert order is not None
        return ProxyError(
            ErrorKind.NOT_RUN_SHED,
            {
                "order": order.id,
                "signed_by": order.signed_by,
                "reason": order.reason,
            },
        )


class RankPressure(NamedTuple):
    """How close the work of a rank is to missing its deadlines.

    `growth_per_s` is in statements per second. `estimated_wait_s` is the wait of a
    statement that comes now. `seconds_left` is the time until that wait exceeds what
    callers allow, if the queue keeps growing; 0 when it does already, infinite when
    the queue does not grow.
    """

    waiting: int
    growth_per_s: float
    estimated_wait_s: float
    seconds_left: float


class AdmissionSnapshot(NamedTuple):
    """State of an endpoint's admission for the status page. Times are in seconds."""

    concurrency: int
    connections: int
    running: int
    connections_held: int
    waiting: dict[Rank, int]
    oldest_wait_s: dict[Rank, float]
    pressure: dict[Rank, RankPressure]


class EndpointAdmission:
    """Decides when statements may be sent to one endpoint.

    `slots` and `connections` are this proxy's part of what the endpoint offers. Use
    it as follows; give back the connection first, so that leaving can pass on both::

        await admission.acquire(ticket)
        try:
            ...  # send the statement, receive the answer
        finally:
            if not transaction_open:
                admission.release_connection(ticket)
            admission.release_slot(ticket, service_s=elapsed, ok=True)

    All methods must be called from one event loop. Deadlines follow the clock, and
    timers are set by the event loop, whose time must advance alike.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_connections_held",
        "_limit",
        "_long_running",
        "_pauses",
        "_queues",
        "_recheck",
        "_running",
        "_slots",
        "_urgent_seen",
        "_waiting",
    )

    def __init__(
        self,
        *,
        slots: int,
        connections: int,
        clock: Clock,
        pauses: PauseDetector | None = None,
    ) -> None:
        self._clock = clock
        self._pauses = pauses or PauseDetector()
        self._slots = slots
        self._connections = connections
        self._limit = ConcurrencyLimit(slots=slots)
        self._queues = tuple(RankQueue(rank) for rank in Rank)
        self._running = 0
        self._long_running = 0
        self._connections_held = 0
        self._waiting = 0
        self._urgent_seen = -inf
        self._recheck: asyncio.TimerHandle | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "concurrency", self.concurrency
        yield "connections", self._connections
        yield "running", self._running
        yield "connections_held", self._connections_held
        yield "waiting", self._waiting

    @property
    def concurrency(self) -> int:
        """Statements that may run at once, as adapted to the endpoint's answers."""
        return self._limit.limit

    @property
    def connections(self) -> int:
        """Connections that may be held."""
        return self._connections

    @property
    def running(self) -> int:
        """Statements that were sent and not yet answered."""
        return self._running

    @property
    def connections_held(self) -> int:
        """Connections held, by statements and by idle open transactions."""
        return self._connections_held

    @property
    def queued(self) -> int:
        """Number of statements that wait, of all ranks."""
        return self._waiting

    @property
    def waiting(self) -> dict[Rank, int]:
        """Waiting statements of each rank."""
        return {queue.rank: queue.waiting for queue in self._queues}

    def waiting_of(self, rank: Rank) -> int:
        """Return the number of waiting statements of one rank."""
        return self._queues[rank].waiting

    @property
    def oldest_wait_s(self) -> dict[Rank, float]:
        """Longest present wait of each rank in seconds; 0 when none waits."""
        now = self._clock.monotonic()
        heads = ((queue.rank, queue.oldest) for queue in self._queues)
        return {rank: 0.0 if at is None else now - at for rank, at in heads}

    def snapshot(self) -> AdmissionSnapshot:
        """Return the present state for the status page."""
        return AdmissionSnapshot(
            concurrency=self.concurrency,
            connections=self._connections,
            running=self._running,
            connections_held=self._connections_held,
            waiting=self.waiting,
            oldest_wait_s=self.oldest_wait_s,
            pressure=self.pressure(),
        )

    def pressure(self) -> dict[Rank, RankPressure]:
        """Return an early warning of missed deadlines for each rank."""
        now = self._clock.monotonic()
        return {queue.rank: self._pressure(queue, now) for queue in self._queues}

    def set_connections(self, connections: int) -> None:
        """Change the limit of connections.

        When more are held, none is taken away; no new one is granted until enough
        have been given back.
        """
        self._connections = connections
        self._pump(self._clock.monotonic())

    async def acquire(self, ticket: Ticket) -> None:
        """Wait until the statement may be sent.

        On return the ticket occupies a slot and holds a connection. Raises
        `ProxyError` with `NOT_RUN_DEADLINE` when the deadline passes first or cannot
        be met any more, and with `NOT_RUN_SHED` under the ticket's shed order.
        """
        now = self._clock.monotonic()
        ticket.entered_at = now
        left_s = ticket.deadline - now
        if left_s <= 0 or left_s < ticket.expected_s:
            raise ticket.deadline_error()
        flow = self._flow_of(ticket)
        if ticket.rank is _URGENT:
            self._urgent_seen = now
        if not self._waiting and self._admits(ticket, flow.queue, now):
            flow.catch_up()
            self._grant(ticket, guaranteed=False)
            return
        if ticket.shed_order is not None and ticket.sheddable:
            self._shed(ticket, now)
        await self._wait(ticket, now)

    def acquire_slot(self, ticket: Ticket) -> None:
        """Take a slot at once for the next statement of an open transaction.

        The ticket holds a connection. It never waits, because the transaction may hold
        locks that the statements in all slots are waiting for; the slots may then be
        exceeded by at most the number of connections.
        """
        now = self._clock.monotonic()
        ticket.entered_at = now
        flow = self._flow_of(ticket)
        flow.catch_up()
        self._grant(ticket, guaranteed=False)

    def release_slot(self, ticket: Ticket, *, service_s: float, ok: bool) -> None:
        """Free the ticket's slot and charge `service_s` seconds of endpoint time.

        `ok` is False when the endpoint did not answer, or answered with an error; the
        time is charged, but is no sign of the endpoint's speed. A statement that was
        open while this process was paused is charged the time expected of it.
        """
        now = self._clock.monotonic()
        if self._pauses.overlaps_pause(now - service_s, now):
            service_s = min(service_s, ticket._charged_s)
            ok = False
        flow = ticket._flow
        queue = flow.queue
        running = self._running
        self._free_slot(ticket, flow)
        self._correct(ticket, service_s)
        queue.busy.add(now, service_s)
        if ok:
            flow.expected_s += EXPECTED_WEIGHT * (service_s - flow.expected_s)
            queue.expected_s += EXPECTED_WEIGHT * (service_s - queue.expected_s)
            self._limit.observe(
                queue.index,
                service_s,
                now=now,
                running=running,
                waiting=self._waiting > 0,
            )
        self._settle(flow, now)
        if self._waiting:
            self._pump(now)

    def release_connection(self, ticket: Ticket) -> None:
        """Give the ticket's connection back; does nothing when it holds none."""
        if not ticket.holds_connection:
            return
        ticket.holds_connection = False
        self._connections_held -= 1
        queue = self._queues[ticket.rank]
        queue.connections_held = max(0, queue.connections_held - 1)
        if self._waiting:
            self._pump(self._clock.monotonic())

    # Waiting

    async def _wait(self, ticket: Ticket, now: float) -> None:
        loop = asyncio.get_running_loop()
        future = ticket._future = loop.create_future()
        self._enqueue(ticket, now)
        self._pump(now)
        if not future.done():
            delay = ticket.deadline - ticket.expected_s - now
            ticket._timer = loop.call_later(delay, self._expire, ticket)
        try:
            await future
        except asyncio.CancelledError:
            self._withdraw(ticket, future)
            raise
        finally:
            ticket._future = None
            if ticket._timer is not None:
                ticket._timer.cancel()
                ticket._timer = None

    def _withdraw(self, ticket: Ticket, future: asyncio.Future[None]) -> None:
        """Undo what a cancelled waiter had: its place, or the slot it was granted."""
        now = self._clock.monotonic()
        if future.cancelled():
            if ticket in self._queue_of(ticket):
                self._dequeue(ticket, now)
        elif future.exception() is None:
            self._free_slot(ticket, ticket._flow)
            self._correct(ticket, 0.0)
            self._settle(ticket._flow, now)
            if ticket._acquired:
                self.release_connection(ticket)
        self._pump(now)

    def _expire(self, ticket: Ticket) -> None:
        now = self._clock.monotonic()
        left_s = ticket.deadline - ticket.expected_s - now
        if left_s > 0:
            loop = asyncio.get_running_loop()
            ticket._timer = loop.call_later(max(left_s, 0.001), self._expire, ticket)
        elif ticket._future is not None and not ticket._future.done():
            self._refuse(ticket, ticket.deadline_error(), now)

    def _refuse(self, ticket: Ticket, error: ProxyError, now: float) -> None:
        self._dequeue(ticket, now)
        if ticket._future is not None and not ticket._future.done():
            ticket._future.set_exception(error)

    def _queue_of(self, ticket: Ticket) -> dict[Ticket, None]:
        kind = (0 if ticket.holds_connection else 2) + ticket._long
        return ticket._flow.queues[kind]

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        flow = ticket._flow
        queue = flow.queue
        queue.sample(now)
        self._classify(ticket)
        self._queue_of(ticket)[ticket] = None
        allowance_s = ticket.deadline - now
        weight = EXPECTED_WEIGHT if queue.allowance_s else 1.0
        queue.allowance_s += weight * (allowance_s - queue.allowance_s)
        if not flow.active:
            queue.activate(flow, now, self._limit.limit)
            self._rescale()
        if not flow.waiting:
            queue.backlog[flow] = None
        flow.waiting += 1
        queue.waiting += 1
        self._waiting += 1

    def _dequeue(self, ticket: Ticket, now: float) -> None:
        del self._queue_of(ticket)[ticket]
        self._forget(ticket, now)

    def _forget(self, ticket: Ticket, now: float) -> None:
        flow = ticket._flow
        queue = flow.queue
        queue.sample(now)
        flow.waiting -= 1
        queue.waiting -= 1
        self._waiting -= 1
        if not flow.waiting:
            del queue.backlog[flow]
            self._settle(flow, now)

    # Order

    def _pump(self, now: float) -> None:
        """Grant slots while work may run."""
        while self._waiting and self._running < self._limit.limit:
            chosen = self._next(now)
            if chosen is None:
                break
            ticket, guaranteed = chosen
            future = ticket._future
            if future is None or future.done():
                self._dequeue(ticket, now)
            elif ticket.deadline - now < ticket.expected_s or ticket.deadline <= now:
                self._refuse(ticket, ticket.deadline_error(), now)
            else:
                del self._queue_of(ticket)[ticket]
                self._grant(ticket, guaranteed=guaranteed)
                self._forget(ticket, now)
                future.set_result(None)
        if self._waiting and not self._running and self._recheck is None:
            loop = asyncio.get_running_loop()
            self._recheck = loop.call_later(QUIET_S, self._check_again)

    def _check_again(self) -> None:
        """Look again at long work that waited for a quiet time, with one slot."""
        self._recheck = None
        self._pump(self._clock.monotonic())

    def _next(self, now: float) -> tuple[Ticket, bool] | None:
        for queue in self._queues[1:]:
            if queue.waiting and queue.credit > 0:
                ticket = self._select(queue, True, now)
                if ticket is not None:
                    return ticket, True
        for queue in self._queues:
            if queue.waiting:
                ticket = self._select(queue, False, now)
                if ticket is not None:
                    return ticket, False
        return None

    def _select(self, queue: RankQueue, guaranteed: bool, now: float) -> Ticket | None:
        short, long = self._reserve_permits(queue, guaranteed, now)
        new = self._connection_permits(queue)
        found = queue.select(short=short, long=long, new=new)
        return None if found is None else found[1]

    def _connection_permits(self, queue: RankQueue) -> bool:
        if self._connections_held >= self._connections:
            return False
        if queue.rank is not _BACKGROUND:
            return True
        return queue.connections_held < max(1, self._connections - 1)

    def _reserve_permits(
        self, queue: RankQueue, guaranteed: bool, now: float
    ) -> tuple[bool, bool]:
        """Tell whether the reserve lets short and long work of a rank run."""
        if queue.rank is _URGENT:
            return True, True
        base = min(self._limit.limit, self._slots)
        if base >= 2:
            if guaranteed:
                may_run = self._long_running < base - 1
            else:
                used = self._queues[0].busy.read(now)
                reserved = min(base - 1, 1 + ceil(used - SPARE_SLOTS))
                free = base - self._running
                may_run = free >= 2 and self._long_running < base - reserved
            return may_run or queue.rank is _INTERACTIVE, may_run
        if guaranteed:
            return True, queue.credit >= queue.expected_s
        return True, now - self._urgent_seen >= QUIET_S

    def _admits(self, ticket: Ticket, queue: RankQueue, now: float) -> bool:
        """Tell whether a ticket may run at once while nothing waits."""
        if self._running >= self._limit.limit:
            return False
        if not ticket.holds_connection and not self._connection_permits(queue):
            return False
        self._classify(ticket)
        if queue.rank is _URGENT:
            return True
        return self._reserve_permits(queue, False, now)[ticket._long]

    # Accounts

    def _classify(self, ticket: Ticket) -> None:
        rank = ticket.rank
        long = (ticket.expected_s or ticket._flow.expected_s) > LONG_S
        ticket._long = long
        ticket._reserved = rank is _BACKGROUND or (long and rank is not _URGENT)

    def _flow_of(self, ticket: Ticket) -> Flow:
        queue = self._queues[ticket.rank]
        flow = queue.flows.get(ticket.customer)
        if flow is None:
            flow = queue.flows[ticket.customer] = Flow(queue, ticket.share)
        elif flow.share != ticket.share and ticket.share > MIN_SHARE:
            self._set_share(flow, ticket.share)
        ticket._flow = flow
        return flow

    def _set_share(self, flow: Flow, share: float) -> None:
        """Apply the share of a changed contract."""
        if flow.active:
            flow.queue.share += share - flow.share
        flow.share = share
        self._rescale()

    def _rescale(self) -> None:
        """Set the rates of the guarantees from the shares that compete now."""
        urgent, *others = self._queues
        kept = max(URGENT_FLOOR, urgent.share if urgent.active else 0.0)
        total = sum(queue.share for queue in others if queue.active)
        scale = min(1.0, max(URGENT_FLOOR, 1 - kept) / total) if total else 0.0
        for queue in others:
            queue.rate = queue.share * scale if queue.active else 0.0

    def _grant(self, ticket: Ticket, *, guaranteed: bool) -> None:
        flow = ticket._flow
        queue = flow.queue
        self._running += 1
        queue.running += 1
        flow.running += 1
        self._long_running += ticket._reserved
        ticket._acquired = not ticket.holds_connection
        if ticket._acquired:
            ticket.holds_connection = True
            self._connections_held += 1
            queue.connections_held += 1
        expected_s = ticket.expected_s or flow.expected_s
        ticket._charged_s = expected_s
        ticket._guaranteed = guaranteed
        ticket._taken_s = self._charge(flow, expected_s, guaranteed)

    def _free_slot(self, ticket: Ticket, flow: Flow) -> None:
        queue = flow.queue
        self._running -= 1
        queue.running -= 1
        flow.running -= 1
        self._long_running -= ticket._reserved

    def _charge(self, flow: Flow, amount_s: float, guaranteed: bool) -> float:
        flow.virtual_s += amount_s / flow.share
        if self._waiting:
            for queue in self._queues[1:]:
                if queue.active:
                    queue.accrue(amount_s)
        return flow.queue.charge(amount_s, guaranteed)

    def _correct(self, ticket: Ticket, service_s: float) -> None:
        """Replace the charge of the expected service time by the measured one.

        The credit gets back no more than was taken from it: the use of left-over time
        may have cost it less than the expected time.
        """
        flow = ticket._flow
        extra_s = service_s - ticket._charged_s
        if extra_s >= 0:
            self._charge(flow, extra_s, ticket._guaranteed)
            return
        self._charge(flow, extra_s, True)
        excess_s = -extra_s - ticket._taken_s
        if excess_s > 0:
            flow.queue.credit -= excess_s

    def _settle(self, flow: Flow, now: float) -> None:
        """Count a flow as idle when it neither waits nor runs."""
        if flow.active and not flow.waiting and not flow.running:
            flow.queue.deactivate(flow, now)
            self._rescale()

    # Overload

    def _capacity(self, queue: RankQueue, now: float) -> float:
        """Return the slots that a rank can count on.

        This is its guarantee, or what is left after the slots that more urgent ranks
        used lately and the guarantees of less urgent ones.
        """
        slots = self._limit.limit
        left = float(slots)
        for other in self._queues:
            if other.rank < queue.rank:
                left -= other.busy.read(now)
            elif other.rank > queue.rank:
                left -= other.rate * slots
        return max(queue.rate * slots, left, 0.01)

    def _estimated_wait(self, flow: Flow, now: float) -> float:
        queue = flow.queue
        competing = queue.share if flow.active else flow.share
        if queue.active and not flow.active:
            competing += queue.share
        part = min(1.0, flow.share / competing)
        work_s = (flow.waiting + 1) * flow.expected_s
        return work_s / (part * self._capacity(queue, now))

    def _shed(self, ticket: Ticket, now: float) -> None:
        """Refuse work under shed orders when the ticket is expected to miss.

        Waiting work of less urgent ranks goes first, the newest of the least urgent
        rank, of at least the ticket's expected time; only without any such work is
        the ticket itself refused.
        """
        flow = ticket._flow
        expected_s = ticket.expected_s or flow.expected_s
        if self._estimated_wait(flow, now) <= ticket.deadline - now - expected_s:
            return
        freed_s = 0.0
        for queue in reversed(self._queues[ticket.rank + 1 :]):
            for victim in self._victims(queue):
                self._refuse(victim, victim.shed_error(), now)
                freed_s += victim.expected_s or victim._flow.expected_s
                if freed_s >= expected_s:
                    return
        if not freed_s:
            raise ticket.shed_error()

    def _victims(self, queue: RankQueue) -> Iterator[Ticket]:
        for flow in list(queue.backlog):
            while (victim := flow.last_sheddable()) is not None:
                yield victim

    def _pressure(self, queue: RankQueue, now: float) -> RankPressure:
        growth = queue.growth(now)
        capacity = self._capacity(queue, now)
        wait_s = queue.work_s / capacity
        slack_s = queue.allowance_s - wait_s
        if not queue.waiting:
            left_s = inf
        elif slack_s <= 0:
            left_s = 0.0
        elif growth <= 0:
            left_s = inf
        else:
            left_s = slack_s * capacity / (growth * queue.expected_s)
        return RankPressure(queue.waiting, growth, wait_s, left_s)
