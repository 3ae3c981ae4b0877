"""Fair queues of one endpoint: one per rank, and one per customer within a rank.

Amounts of work are in seconds of endpoint time, the time for which a statement occupies
one slot. The rules that use these queues are in `celeryjunction.admission`, and the
virtual time of start-time fair queueing is that of `celeryjunction.virtual_time`.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp
from typing import TYPE_CHECKING

from celeryjunction.contract import Rank
from celeryjunction.virtual_time import VirtualClock, VirtualFlow

if TYPE_CHECKING:
    from celeryjunction.admission import Ticket

MIN_SHARE = 0.001
"""Lower bound of a customer's share, also if its contract states none. It prevents
starvation."""

FIRST_EXPECTED_S = 0.005
"""Service time assumed before the first answer."""

MAX_TRANSACTION_LEAD_S = 1.0
"""Endpoint time by which open transactions may put a customer ahead of its share.
Without this bound, a customer with long transactions would starve the others."""

DEBT_WINDOW_S = 0.5
"""Endpoint time whose share bounds the debt that a rank incurs by using left-over time.
The debt keeps a rank that was just served from claiming its guarantee at once at the
expense of urgent work; the bound lets the guarantee resume soon after a flood of urgent
work begins."""

MAX_CREDIT_S = 0.1
"""Endpoint time by which a rank may be behind its guarantee, or two of its statements
if that is longer. Anything beyond is dropped, so that catching up never delays urgent
work for long."""

BUSY_TIME_CONSTANT_S = 2.0
LENGTH_TIME_CONSTANT_S = 1.0
"""Time constant of the decaying mean of a queue's length."""


class BusyMeter:
    """Decaying mean of the number of busy slots, over `BUSY_TIME_CONSTANT_S`."""

    __slots__ = ("_at", "_slots")

    def __init__(self) -> None:
        self._slots = 0.0
        self._at = 0.0

    def add(self, now: float, busy_s: float) -> None:
        """Add `busy_s` seconds of endpoint time that ended now."""
        self._slots = self.read(now) + busy_s / BUSY_TIME_CONSTANT_S
        self._at = now

    def read(self, now: float) -> float:
        """Return the mean number of busy slots."""
        return (
            self._slots * exp((self._at - now) / BUSY_TIME_CONSTANT_S)
            if self._slots
            else 0.0
        )


class Flow(VirtualFlow):
    """Work of one customer in one rank.

    `virtual_s` is the endpoint time received, divided by the share. `queues` holds
    statements in four queues: short and long ones of open transactions, then short and
    long ones that need a connection. The kinds are separate because the connection
    limit or the reserve may block one and not another.
    """

    __slots__ = (
        "active",
        "expected_s",
        "queue",
        "queues",
        "running",
        "waiting",
    )

    def __init__(self, queue: RankQueue, share: float) -> None:
        super().__init__(max(share, MIN_SHARE))
        self.queue = queue
        self.expected_s = FIRST_EXPECTED_S
        self.active = False
        self.waiting = 0
        self.running = 0
        self.queues: tuple[OrderedDict[Ticket, None], ...] = tuple(
            OrderedDict() for _ in range(4)
        )

    def sync_virtual_time(self) -> None:
        """Align the virtual times of flow and rank when a statement skips the queue."""
        self.queue.skip_queue(self)

    def next_ticket(
        self, *, allow_short: bool, allow_long: bool, allow_new: bool
    ) -> Ticket | None:
        """Return the next ticket of the permitted kinds, open transactions first."""
        for first in (0, 2) if allow_new else (0,):
            best = next(iter(self.queues[first]), None) if allow_short else None
            other = next(iter(self.queues[first + 1]), None) if allow_long else None
            if best is None or (
                other is not None and other.entered_at < best.entered_at
            ):
                best = other
            if best is not None:
                return best
        return None

    def last_sheddable(self) -> Ticket | None:
        """Return the newest statement without a connection that may be shed.

        Long statements are taken before short ones.
        """
        for queue in (self.queues[3], self.queues[2]):
            ticket = next(reversed(queue), None)
            if ticket is not None and ticket.sheddable:
                return ticket
        return None


class RankQueue(VirtualClock):
    """Queues of one rank, and how far the rank is behind its guaranteed share.

    `credit` grows by `guarantee_rate` for each second of endpoint time that is charged
    to any rank while this one is active and statements are waiting. It falls by the
    endpoint time that this rank uses. The rank is behind its guarantee while the credit
    is positive.
    """

    __slots__ = (
        "_mean_length",
        "_mean_length_at",
        "active_flows",
        "busy",
        "connections_held",
        "credit",
        "expected_s",
        "flows",
        "guarantee_rate",
        "idle_since",
        "index",
        "mean_allowed_wait_s",
        "rank",
        "running",
        "share",
        "waiting",
        "waiting_flows",
    )

    def __init__(self, rank: Rank) -> None:
        super().__init__()
        self.rank = rank
        self.index = int(rank)
        self.flows: dict[str, Flow] = {}
        self.waiting_flows: dict[Flow, None] = {}
        self.busy = BusyMeter()
        self.active_flows = 0
        self.waiting = self.running = self.connections_held = 0
        self.credit = self.guarantee_rate = self.share = 0.0
        self.idle_since = 0.0
        self.expected_s = FIRST_EXPECTED_S
        self.mean_allowed_wait_s = 0.0
        self._mean_length = 0.0
        self._mean_length_at = 0.0

    @property
    def work_s(self) -> float:
        """Expected endpoint time of all waiting statements."""
        return sum(flow.waiting * flow.expected_s for flow in self.waiting_flows)

    @property
    def oldest_entered_at(self) -> float | None:
        """Time at which the oldest waiting statement entered, None if none waits."""
        heads = (
            next(iter(queue))
            for flow in self.waiting_flows
            for queue in flow.queues
            if queue
        )
        return min((ticket.entered_at for ticket in heads), default=None)

    def growth_per_s(self, now: float) -> float:
        """Return the growth of the queue in statements per second.

        The decaying mean of a steadily growing length lags behind it by the time
        constant, so the difference between both, divided by that constant, is the
        growth.
        """
        self.update_mean_length(now)
        return (self.waiting - self._mean_length) / LENGTH_TIME_CONSTANT_S

    def update_mean_length(self, now: float) -> None:
        """Update the mean length by the present length since the last update."""
        elapsed = now - self._mean_length_at
        if elapsed > 0.01:
            weight = 1 - exp(-elapsed / LENGTH_TIME_CONSTANT_S)
            self._mean_length += (self.waiting - self._mean_length) * weight
            self._mean_length_at = now

    def activate(self, flow: Flow, now: float, slots: int) -> None:
        """Count a flow as competing for the rank's time.

        When it is the rank's first, the rank starts without credit; a debt is reduced
        by the rank's share of the time during which it was idle.
        """
        flow.active = True
        self.start(flow)
        if self.active_flows == 0:
            recovered_s = self.share * slots * (now - self.idle_since)
            self.credit = min(0.0, self.credit + recovered_s)
            self.share = 0.0
        self.active_flows += 1
        self.share += flow.share

    def deactivate(self, flow: Flow, now: float) -> None:
        """Count a flow as idle.

        The last one's share is kept, so that `activate` can reduce a debt by it.
        """
        flow.active = False
        self.active_flows -= 1
        if self.active_flows:
            self.share -= flow.share
        else:
            self.idle_since = now
            self.credit = min(0.0, self.credit)

    def accrue(self, charged_s: float) -> None:
        """Increase the credit for endpoint time that was charged to any rank."""
        limit_s = max(MAX_CREDIT_S, 2 * self.expected_s)
        self.credit = min(limit_s, self.credit + self.guarantee_rate * charged_s)

    def charge(self, amount_s: float, guaranteed: bool) -> float:
        """Take endpoint time from the credit and return how much was taken.

        Left-over time adds to the debt only up to its bound, since no other rank could
        have used it.
        """
        if not guaranteed:
            available_s = self.credit + DEBT_WINDOW_S * self.share
            amount_s = max(0.0, min(amount_s, available_s))
        self.credit -= amount_s
        return amount_s

    def select(
        self, *, allow_short: bool, allow_long: bool, allow_new: bool
    ) -> tuple[Flow, Ticket] | None:
        """Return the rank's next statement of the permitted kinds, with its flow.

        Statements of open transactions come first, then the customer that is furthest
        behind its share.
        """
        least = self.advance(self.waiting_flows)
        best = None
        best_key = (True, 0.0)
        for flow in self.waiting_flows:
            ticket = flow.next_ticket(
                allow_short=allow_short, allow_long=allow_long, allow_new=allow_new
            )
            if ticket is None:
                continue
            lead_s = (flow.virtual_s - least) * flow.share
            ahead = ticket.holds_connection and lead_s <= MAX_TRANSACTION_LEAD_S
            key = (not ahead, flow.virtual_s)
            if best is None or key < best_key:
                best, best_key = (flow, ticket), key
        return best
