"""Queues of one endpoint: per rank, and per customer within a rank.

All amounts are seconds of endpoint time, which is the time a statement occupies one
slot. The rules that use these queues are in `celeryjunction.admission`.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp
from typing import TYPE_CHECKING

from celeryjunction.contract import Rank

if TYPE_CHECKING:
    from celeryjunction.admission import Ticket

MIN_SHARE = 0.001
"""Share of a customer whose contract states none, so that it is never shut out."""

FIRST_EXPECTED_S = 0.005
"""Service time assumed before the first answer."""

TRANSACTION_LEAD_S = 1.0
"""Endpoint time by which open transactions may put a customer ahead of its share.
Without a bound, a customer that works in long transactions would starve the others."""

DEBT_S = 0.5
"""Span of endpoint time over which the use of left-over time counts against a
guaranteed share. It keeps urgent work from paying again for a rank that was just
served, and lets the guarantee resume soon after a flood of urgent work begins."""

LAG_S = 0.1
"""Endpoint time that a rank may be behind its guarantee; more is forgotten, so that
catching up never keeps urgent work waiting for long."""

METER_S = 2.0
TREND_S = 1.0


class BusyMeter:
    """Mean number of busy slots over the last few seconds, decaying."""

    __slots__ = ("_at", "_slots")

    def __init__(self) -> None:
        self._slots = 0.0
        self._at = 0.0

    def add(self, now: float, busy_s: float) -> None:
        """Count `busy_s` seconds of endpoint time that ended now."""
        self._slots = self.read(now) + busy_s / METER_S
        self._at = now

    def read(self, now: float) -> float:
        """Return the mean number of busy slots."""
        return self._slots * exp((self._at - now) / METER_S) if self._slots else 0.0


class Flow:
    """Work of one customer in one rank.

    `virtual_s` is the virtual time of start-time fair queueing: the endpoint time
    received, divided by the share. The four queues hold, in this order, statements of
    open transactions and new work, each short ones before long ones. They are apart
    because a connection or the reserve may hold back one kind and not the other.
    """

    __slots__ = (
        "active",
        "expected_s",
        "queue",
        "queues",
        "running",
        "share",
        "virtual_s",
        "waiting",
    )

    def __init__(self, queue: RankQueue, share: float) -> None:
        self.queue = queue
        self.share = max(share, MIN_SHARE)
        self.virtual_s = 0.0
        self.expected_s = FIRST_EXPECTED_S
        self.active = False
        self.waiting = 0
        self.running = 0
        self.queues: tuple[OrderedDict[Ticket, None], ...] = tuple(
            OrderedDict() for _ in range(4)
        )

    def catch_up(self) -> None:
        """Drop what an idle flow is behind the rank, when nothing waits."""
        queue = self.queue
        if self.virtual_s < queue.virtual_s:
            self.virtual_s = queue.virtual_s
        else:
            queue.virtual_s = self.virtual_s

    def head(self, *, short: bool, long: bool, new: bool) -> Ticket | None:
        """Return the next ticket among the permitted kinds, transactions first."""
        for first in (0, 2) if new else (0,):
            best = next(iter(self.queues[first]), None) if short else None
            other = next(iter(self.queues[first + 1]), None) if long else None
            if best is None or (
                other is not None and other.entered_at < best.entered_at
            ):
                best = other
            if best is not None:
                return best
        return None

    def last_sheddable(self) -> Ticket | None:
        """Return the newest new statement, if its contract lets it be refused."""
        for queue in (self.queues[3], self.queues[2]):
            ticket = next(reversed(queue), None)
            if ticket is not None and ticket.sheddable:
                return ticket
        return None


class RankQueue:
    """Queues of one rank, and how far the rank is behind its guaranteed share.

    `credit` grows with each second of endpoint time charged to anyone while the rank
    is active, by `rate`, and falls by the endpoint time the rank gets. The rank is
    behind its guarantee while the credit is positive.
    """

    __slots__ = (
        "_length",
        "_length_at",
        "active",
        "allowance_s",
        "backlog",
        "busy",
        "connections_held",
        "credit",
        "expected_s",
        "flows",
        "idle_since",
        "index",
        "rank",
        "rate",
        "running",
        "share",
        "virtual_s",
        "waiting",
    )

    def __init__(self, rank: Rank) -> None:
        self.rank = rank
        self.index = int(rank)
        self.flows: dict[str, Flow] = {}
        self.backlog: dict[Flow, None] = {}
        self.busy = BusyMeter()
        self.active = 0
        self.waiting = self.running = self.connections_held = 0
        self.credit = self.rate = self.share = 0.0
        self.virtual_s = 0.0
        self.idle_since = 0.0
        self.expected_s = FIRST_EXPECTED_S
        self.allowance_s = 0.0
        self._length = 0.0
        self._length_at = 0.0

    @property
    def work_s(self) -> float:
        """Expected endpoint time of all waiting statements."""
        return sum(flow.waiting * flow.expected_s for flow in self.backlog)

    @property
    def oldest(self) -> float | None:
        """Time at which the longest waiting statement came; None without any."""
        heads = (
            next(iter(queue)) for flow in self.backlog for queue in flow.queues if queue
        )
        return min((ticket.entered_at for ticket in heads), default=None)

    def growth(self, now: float) -> float:
        """Return the growth of the queue, statements per second.

        A decaying mean of the length lags behind a steady growth by its time
        constant, so the difference to the present length shows the growth.
        """
        self.sample(now)
        return (self.waiting - self._length) / TREND_S

    def sample(self, now: float) -> None:
        """Update the mean length with the length since the last call."""
        elapsed = now - self._length_at
        if elapsed > 0.01:
            part = 1 - exp(-elapsed / TREND_S)
            self._length += (self.waiting - self._length) * part
            self._length_at = now

    def activate(self, flow: Flow, now: float, slots: int) -> None:
        """Count a flow as competing; credit from an idle time is not kept."""
        flow.active = True
        flow.virtual_s = max(flow.virtual_s, self.virtual_s)
        if self.active == 0:
            recovered = self.share * slots * (now - self.idle_since)
            self.credit = min(0.0, self.credit + recovered)
            self.share = 0.0
        self.active += 1
        self.share += flow.share

    def deactivate(self, flow: Flow, now: float) -> None:
        """Count a flow as idle. The last one leaves its share for the debt's span."""
        flow.active = False
        self.active -= 1
        if self.active:
            self.share -= flow.share
        else:
            self.idle_since = now
            self.credit = min(0.0, self.credit)

    def accrue(self, charged_s: float) -> None:
        """Grow the credit for endpoint time that was charged to anyone."""
        most = max(LAG_S, 2 * self.expected_s)
        self.credit = min(most, self.credit + self.rate * charged_s)

    def charge(self, amount_s: float, guaranteed: bool) -> float:
        """Take endpoint time from the credit and return how much was taken.

        Left-over time is free beyond the debt's span: it was nobody else's.
        """
        if not guaranteed:
            room = self.credit + DEBT_S * self.share
            amount_s = max(0.0, min(amount_s, room))
        self.credit -= amount_s
        return amount_s

    def select(
        self, *, short: bool, long: bool, new: bool
    ) -> tuple[Flow, Ticket] | None:
        """Return the next statement of the rank among the permitted kinds.

        Statements of open transactions come first, then the customer that is furthest
        behind its share.
        """
        least = min(flow.virtual_s for flow in self.backlog)
        self.virtual_s = max(self.virtual_s, least)
        best = None
        best_key = (True, 0.0)
        for flow in self.backlog:
            ticket = flow.head(short=short, long=long, new=new)
            if ticket is None:
                continue
            lead_s = (flow.virtual_s - least) * flow.share
            ahead = ticket.holds_connection and lead_s <= TRANSACTION_LEAD_S
            key = (not ahead, flow.virtual_s)
            if best is None or key < best_key:
                best, best_key = (flow, ticket), key
        return best
