"""Admission control for the statements that one proxy sends to one endpoint.

Two limits apply. `concurrency` bounds the statements sent at once and stays near the
endpoint's slots, so that work waits here, ordered by rank, instead of in the endpoint's
own FIFO queue. `connections` bounds the connections held, including those of idle open
transactions.

**Order.** A free slot goes to the first of these that the limits permit:

1. interactive, then background work whose rank is behind its guaranteed share;
2. urgent, then interactive, then background work.

Within a rank, statements of open transactions come first, because they hold locks and
connections, and then the customer that is furthest behind its share. A share is a
fraction of the endpoint's time: the expected service time is charged when a statement
is sent, and corrected when it is answered. The second group uses whatever time the
guarantees leave over, so no slot stays idle except for the reserve below. A rank that
becomes active starts without credit towards its guarantee. If the shares of the
competing ranks add up to more than one, those of interactive and background work are
scaled down.

**Reserve.** Background work, and interactive work that is expected to take longer than
`LONG_STATEMENT_S`, is restricted. With ``base = min(concurrency, slots)`` of two or
more,

- restricted work never runs in more than ``base - 1`` slots;
- restricted work that uses left-over time also never takes the last free slot. The
  number of slots it leaves grows with the mean number of slots that urgent work kept
  busy in the last seconds: one up to `FIRST_RESERVED_SLOT_LOAD`, then one more for each
  further busy slot or part of one, at most ``base - 1``.

A rank behind its guarantee may take the last *free* slot, as long as some other slot
runs short work that ends soon. Otherwise a flood of urgent work, which fills every slot
that becomes free, would starve background work. The cost: with only restricted work,
one slot of `base` is idle (utilization 2/3 with 3 slots). With some urgent work, but no
flood of it, two of 3 slots are reserved, so restricted work gets one slot and its
guarantee. A guarantee of restricted work holds only up to ``(base - 1) / base`` of the
time. While enough urgent or short interactive work is waiting, the reserve costs
nothing, since such work may take any slot. Slots above the endpoint's stated number are
not counted, since statements there wait inside the endpoint.

With a `base` of one, no slot can be reserved. A background or interactive statement
that uses left-over time then runs only if it is expected to take no longer than
`LONG_STATEMENT_S`, or if no urgent statement arrived in the last `URGENT_QUIET_S`. Of
the work behind its guarantee, a short statement always runs, and a long one if the
rank's credit covers the rank's mean service time; urgent work then waits for that
statement once.

With two or more `connections`, background work never holds all of them.

**Overload.** No statement is refused because of load alone: work waits as long as its
deadline can be met. Only a ticket with a shed order, taken from a signed entry of the
contract, is refused earlier.
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

LONG_STATEMENT_S = 0.05
"""Expected service time above which interactive work is restricted by the reserve."""

FIRST_RESERVED_SLOT_LOAD = 0.12
"""Mean number of slots busy with urgent work up to which one reserved slot suffices.
Above this load, urgent statements would so often wait for one another in that slot that
their p99 latency would double."""

URGENT_QUIET_S = 1.0
"""With one slot, long work waits until no urgent statement arrived for this time."""

SHARE_FLOOR = 0.05
"""Fraction of the endpoint's time that the guarantees of other ranks always leave to
urgent work, and that the urgent share always leaves to those guarantees."""

EWMA_WEIGHT = 0.1
"""Weight of a new value in the moving averages of service times and allowed waits."""

_URGENT, _INTERACTIVE, _BACKGROUND = Rank


class Ticket:
    """A caller's request to send statements to an endpoint.

    `share` is the fraction of the endpoint's time that the contract reserves for this
    customer and rank. `deadline` is in seconds of the clock's monotonic time.
    `expected_s` is the caller's estimate of the service time, 0 if unknown. A statement
    that could not be answered before the deadline by this estimate is not sent, so the
    caller must let an estimate that was too high decay without new samples.

    `holds_connection` says that the statement belongs to an open transaction, and needs
    only a slot. The same ticket may be used again for the transaction's next statement,
    with a new deadline.
    """

    __slots__ = (
        "_charged_s",
        "_connection_acquired",
        "_credit_taken_s",
        "_flow",
        "_future",
        "_guaranteed",
        "_is_long",
        "_is_restricted",
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
        self._connection_acquired = False

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "customer", self.customer
        yield "rank", self.rank.label
        yield "share", self.share
        yield "deadline", self.deadline
        yield "holds_connection", self.holds_connection, False

    @property
    def sheddable(self) -> bool:
        """Whether a shed order covers the ticket's rank and no transaction is open.

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
    statement that arrives now. `seconds_left` is the time until that wait exceeds what
    callers allow, if the queue keeps growing: 0 when it already does, infinite when no
    statement waits or the queue does not grow.
    """

    waiting: int
    growth_per_s: float
    estimated_wait_s: float
    seconds_left: float


class AdmissionSnapshot(NamedTuple):
    """State of an endpoint's admission control for the status page."""

    concurrency: int
    connections: int
    running: int
    connections_held: int
    waiting: dict[Rank, int]
    oldest_wait_s: dict[Rank, float]
    pressure: dict[Rank, RankPressure]


class EndpointAdmission:
    """Decides when statements may be sent to one endpoint.

    `slots` and `connections` are this proxy's part of the endpoint's capacity. Release
    the connection before the slot, so that the next statement finds both free::

        await admission.acquire(ticket)
        try:
            ...  # send the statement, receive the answer
        finally:
            if not transaction_open:
                admission.release_connection(ticket)
            admission.release_slot(ticket, service_s=elapsed, ok=True)

    All methods must be called from one event loop. Deadlines are compared with the
    clock, and timers run on the event loop, whose time must advance at the same rate.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_connections_held",
        "_last_urgent_at",
        "_limit",
        "_pauses",
        "_queues",
        "_quiet_timer",
        "_restricted_running",
        "_running",
        "_slots",
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
        self._restricted_running = 0
        self._connections_held = 0
        self._waiting = 0
        self._last_urgent_at = -inf
        self._quiet_timer: asyncio.TimerHandle | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "concurrency", self.concurrency
        yield "connections", self._connections
        yield "running", self._running
        yield "connections_held", self._connections_held
        yield "waiting", self._waiting

    @property
    def concurrency(self) -> int:
        """Statements that may run at once, adapted to the endpoint's service times."""
        return self._limit.limit

    @property
    def connections(self) -> int:
        """Connections that may be held."""
        return self._connections

    @property
    def running(self) -> int:
        """Number of statements that were sent and not yet answered."""
        return self._running

    @property
    def connections_held(self) -> int:
        """Connections held, by statements and by idle open transactions."""
        return self._connections_held

    @property
    def queued(self) -> int:
        """Number of waiting statements of all ranks."""
        return self._waiting

    @property
    def waiting(self) -> dict[Rank, int]:
        """Number of waiting statements of each rank."""
        return {queue.rank: queue.waiting for queue in self._queues}

    def waiting_of(self, rank: Rank) -> int:
        """Return the number of waiting statements of one rank."""
        return self._queues[rank].waiting

    @property
    def oldest_wait_s(self) -> dict[Rank, float]:
        """Seconds that each rank's oldest waiting statement has waited, or 0."""
        now = self._clock.monotonic()
        heads = ((queue.rank, queue.oldest_entered_at) for queue in self._queues)
        return {rank: 0.0 if at is None else now - at for rank, at in heads}

    def snapshot(self) -> AdmissionSnapshot:
        """Return the current state for the status page."""
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
        """Return, for each rank, how close its work is to missing its deadlines."""
        now = self._clock.monotonic()
        return {queue.rank: self._pressure(queue, now) for queue in self._queues}

    def set_connections(self, connections: int) -> None:
        """Change the limit of connections.

        Connections held above the new limit stay in use; none is granted until enough
        have been released.
        """
        self._connections = connections
        self._dispatch(self._clock.monotonic())

    async def acquire(self, ticket: Ticket) -> None:
        """Wait until the statement may be sent.

        On return the ticket occupies a slot and holds a connection. Raises
        `ProxyError` with `NOT_RUN_DEADLINE` when the deadline passes first or can no
        longer be met, and with `NOT_RUN_SHED` under the ticket's shed order.
        """
        now = self._clock.monotonic()
        ticket.entered_at = now
        left_s = ticket.deadline - now
        if left_s <= 0 or left_s < ticket.expected_s:
            raise ticket.deadline_error()
        flow = self._flow_of(ticket)
        if ticket.rank is _URGENT:
            self._last_urgent_at = now
        if not self._waiting and self._may_run_now(ticket, flow.queue, now):
            flow.sync_virtual_time()
            self._grant(ticket, guaranteed=False)
            return
        if ticket.shed_order is not None and ticket.sheddable:
            self._shed(ticket, now)
        await self._wait(ticket, now)

    def acquire_slot(self, ticket: Ticket) -> None:
        """Take a slot for the next statement of an open transaction without waiting.

        The ticket must hold a connection. Waiting could deadlock, since the statements
        in all slots may wait for locks that this transaction holds. The concurrency
        limit may therefore be exceeded, by at most the number of connections.
        """
        now = self._clock.monotonic()
        ticket.entered_at = now
        flow = self._flow_of(ticket)
        flow.sync_virtual_time()
        self._grant(ticket, guaranteed=False)

    def release_slot(self, ticket: Ticket, *, service_s: float, ok: bool) -> None:
        """Free the ticket's slot and charge `service_s` seconds of endpoint time.

        `ok` is False when the endpoint did not answer, or answered with an error; the
        time is then charged but not used as a sample of the endpoint's speed. A
        statement that ran while this process was paused is charged at most its expected
        service time.
        """
        now = self._clock.monotonic()
        if self._pauses.overlaps_pause(now - service_s, now):
            service_s = min(service_s, ticket._charged_s)
            ok = False
        flow = ticket._flow
        queue = flow.queue
        running = self._running
        self._free_slot(ticket, flow)
        self._reconcile_charge(ticket, service_s)
        queue.busy.add(now, service_s)
        if ok:
            flow.expected_s += EWMA_WEIGHT * (service_s - flow.expected_s)
            queue.expected_s += EWMA_WEIGHT * (service_s - queue.expected_s)
            self._limit.observe(
                queue.index,
                service_s,
                now=now,
                running=running,
                waiting=self._waiting > 0,
            )
        self._deactivate_if_idle(flow, now)
        if self._waiting:
            self._dispatch(now)

    def release_connection(self, ticket: Ticket) -> None:
        """Release the ticket's connection; does nothing when it holds none."""
        if not ticket.holds_connection:
            return
        ticket.holds_connection = False
        self._connections_held -= 1
        queue = self._queues[ticket.rank]
        queue.connections_held = max(0, queue.connections_held - 1)
        if self._waiting:
            self._dispatch(self._clock.monotonic())

    # Waiting

    async def _wait(self, ticket: Ticket, now: float) -> None:
        loop = asyncio.get_running_loop()
        future = ticket._future = loop.create_future()
        self._enqueue(ticket, now)
        self._dispatch(now)
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
        """Remove a cancelled waiter from its queue, or free the slot it was granted."""
        now = self._clock.monotonic()
        if future.cancelled():
            if ticket in self._queue_of(ticket):
                self._dequeue(ticket, now)
        elif future.exception() is None:
            self._free_slot(ticket, ticket._flow)
            self._reconcile_charge(ticket, 0.0)
            self._deactivate_if_idle(ticket._flow, now)
            if ticket._connection_acquired:
                self.release_connection(ticket)
        self._dispatch(now)

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
        kind = (0 if ticket.holds_connection else 2) + ticket._is_long
        return ticket._flow.queues[kind]

    def _enqueue(self, ticket: Ticket, now: float) -> None:
        flow = ticket._flow
        queue = flow.queue
        queue.update_mean_length(now)
        self._classify(ticket)
        self._queue_of(ticket)[ticket] = None
        allowed_wait_s = ticket.deadline - now
        weight = EWMA_WEIGHT if queue.mean_allowed_wait_s else 1.0
        queue.mean_allowed_wait_s += weight * (
            allowed_wait_s - queue.mean_allowed_wait_s
        )
        if not flow.active:
            queue.activate(flow, now, self._limit.limit)
            self._update_guarantee_rates()
        if not flow.waiting:
            queue.waiting_flows[flow] = None
        flow.waiting += 1
        queue.waiting += 1
        self._waiting += 1

    def _dequeue(self, ticket: Ticket, now: float) -> None:
        del self._queue_of(ticket)[ticket]
        self._count_dequeued(ticket, now)

    def _count_dequeued(self, ticket: Ticket, now: float) -> None:
        flow = ticket._flow
        queue = flow.queue
        queue.update_mean_length(now)
        flow.waiting -= 1
        queue.waiting -= 1
        self._waiting -= 1
        if not flow.waiting:
            del queue.waiting_flows[flow]
            self._deactivate_if_idle(flow, now)

    # Order

    def _dispatch(self, now: float) -> None:
        """Grant slots to waiting statements as far as the limits permit."""
        while self._waiting and self._running < self._limit.limit:
            chosen = self._select_next(now)
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
                self._count_dequeued(ticket, now)
                future.set_result(None)
        if self._waiting and not self._running and self._quiet_timer is None:
            loop = asyncio.get_running_loop()
            self._quiet_timer = loop.call_later(URGENT_QUIET_S, self._on_quiet_timer)

    def _on_quiet_timer(self) -> None:
        """Reconsider long work that, with one slot, waits for urgent work to cease."""
        self._quiet_timer = None
        self._dispatch(self._clock.monotonic())

    def _select_next(self, now: float) -> tuple[Ticket, bool] | None:
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
        selected = queue.select(allow_short=short, allow_long=long, allow_new=new)
        return None if selected is None else selected[1]

    def _connection_permits(self, queue: RankQueue) -> bool:
        if self._connections_held >= self._connections:
            return False
        if queue.rank is not _BACKGROUND:
            return True
        return queue.connections_held < max(1, self._connections - 1)

    def _reserve_permits(
        self, queue: RankQueue, guaranteed: bool, now: float
    ) -> tuple[bool, bool]:
        """Return whether the reserve permits short and long work of a rank to run."""
        if queue.rank is _URGENT:
            return True, True
        base = min(self._limit.limit, self._slots)
        if base >= 2:
            if guaranteed:
                may_run = self._restricted_running < base - 1
            else:
                urgent_load = self._queues[0].busy.read(now)
                reserved = min(
                    base - 1, 1 + ceil(urgent_load - FIRST_RESERVED_SLOT_LOAD)
                )
                free = base - self._running
                may_run = free >= 2 and self._restricted_running < base - reserved
            return may_run or queue.rank is _INTERACTIVE, may_run
        if guaranteed:
            return True, queue.credit >= queue.expected_s
        return True, now - self._last_urgent_at >= URGENT_QUIET_S

    def _may_run_now(self, ticket: Ticket, queue: RankQueue, now: float) -> bool:
        """Return whether a ticket may run at once, given that no statement waits."""
        if self._running >= self._limit.limit:
            return False
        if not ticket.holds_connection and not self._connection_permits(queue):
            return False
        self._classify(ticket)
        if queue.rank is _URGENT:
            return True
        return self._reserve_permits(queue, False, now)[ticket._is_long]

    # Accounting

    def _classify(self, ticket: Ticket) -> None:
        rank = ticket.rank
        long = (ticket.expected_s or ticket._flow.expected_s) > LONG_STATEMENT_S
        ticket._is_long = long
        ticket._is_restricted = rank is _BACKGROUND or (long and rank is not _URGENT)

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
        """Apply the share from a changed contract."""
        if flow.active:
            flow.queue.share += share - flow.share
        flow.share = share
        self._update_guarantee_rates()

    def _update_guarantee_rates(self) -> None:
        """Set the ranks' guarantee rates from the shares that currently compete."""
        urgent, *others = self._queues
        urgent_share = max(SHARE_FLOOR, urgent.share if urgent.active_flows else 0.0)
        total = sum(queue.share for queue in others if queue.active_flows)
        scale = min(1.0, max(SHARE_FLOOR, 1 - urgent_share) / total) if total else 0.0
        for queue in others:
            queue.guarantee_rate = queue.share * scale if queue.active_flows else 0.0

    def _grant(self, ticket: Ticket, *, guaranteed: bool) -> None:
        flow = ticket._flow
        queue = flow.queue
        self._running += 1
        queue.running += 1
        flow.running += 1
        self._restricted_running += ticket._is_restricted
        ticket._connection_acquired = not ticket.holds_connection
        if ticket._connection_acquired:
            ticket.holds_connection = True
            self._connections_held += 1
            queue.connections_held += 1
        expected_s = ticket.expected_s or flow.expected_s
        ticket._charged_s = expected_s
        ticket._guaranteed = guaranteed
        ticket._credit_taken_s = self._charge(flow, expected_s, guaranteed)

    def _free_slot(self, ticket: Ticket, flow: Flow) -> None:
        queue = flow.queue
        self._running -= 1
        queue.running -= 1
        flow.running -= 1
        self._restricted_running -= ticket._is_restricted

    def _charge(self, flow: Flow, amount_s: float, guaranteed: bool) -> float:
        flow.charge(amount_s)
        if self._waiting:
            for queue in self._queues[1:]:
                if queue.active_flows:
                    queue.accrue(amount_s)
        return flow.queue.charge(amount_s, guaranteed)

    def _reconcile_charge(self, ticket: Ticket, service_s: float) -> None:
        """Replace the charge of the expected service time by the measured one.

        The rank's credit is refunded no more than was taken from it, since the use of
        left-over time may have been charged less than the expected time.
        """
        flow = ticket._flow
        extra_s = service_s - ticket._charged_s
        if extra_s >= 0:
            self._charge(flow, extra_s, ticket._guaranteed)
            return
        self._charge(flow, extra_s, True)
        excess_s = -extra_s - ticket._credit_taken_s
        if excess_s > 0:
            flow.queue.credit -= excess_s

    def _deactivate_if_idle(self, flow: Flow, now: float) -> None:
        """Deactivate a flow that has no waiting and no running statement."""
        if flow.active and not flow.waiting and not flow.running:
            flow.queue.deactivate(flow, now)
            self._update_guarantee_rates()

    # Overload

    def _capacity(self, queue: RankQueue, now: float) -> float:
        """Return the number of slots that a rank can count on.

        This is its guarantee or, if larger, what remains after the recent use by more
        urgent ranks and the guarantees of less urgent ones.
        """
        slots = self._limit.limit
        left = float(slots)
        for other in self._queues:
            if other.rank < queue.rank:
                left -= other.busy.read(now)
            elif other.rank > queue.rank:
                left -= other.guarantee_rate * slots
        return max(queue.guarantee_rate * slots, left, 0.01)

    def _estimated_wait(self, flow: Flow, now: float) -> float:
        queue = flow.queue
        competing_share = queue.share if flow.active else flow.share
        if queue.active_flows and not flow.active:
            competing_share += queue.share
        fraction = min(1.0, flow.share / competing_share)
        work_s = (flow.waiting + 1) * flow.expected_s
        return work_s / (fraction * self._capacity(queue, now))

    def _shed(self, ticket: Ticket, now: float) -> None:
        """Refuse work under shed orders if the ticket would miss its deadline.

        Waiting work of less urgent ranks is refused first, from the least urgent rank
        up and from each customer's newest statement back, until the ticket's expected
        service time is freed. The ticket itself is refused only if no such work waits.
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
        for flow in list(queue.waiting_flows):
            while (victim := flow.last_sheddable()) is not None:
                yield victim

    def _pressure(self, queue: RankQueue, now: float) -> RankPressure:
        growth = queue.growth_per_s(now)
        capacity = self._capacity(queue, now)
        wait_s = queue.work_s / capacity
        slack_s = queue.mean_allowed_wait_s - wait_s
        if not queue.waiting:
            left_s = inf
        elif slack_s <= 0:
            left_s = 0.0
        elif growth <= 0:
            left_s = inf
        else:
            left_s = slack_s * capacity / (growth * queue.expected_s)
        return RankPressure(queue.waiting, growth, wait_s, left_s)
