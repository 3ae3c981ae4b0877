"""Orders the statements that wait for an endpoint, and bounds how long one must wait.

The order is by priority, then fairly among organisations by weight, then by arrival.
Answers the load of an organisation that sends many times its usual: its statements
take the slots that nobody else wants, and beyond these only its own ones wait. With one
organisation, or without any, the order is by priority and arrival. The next statement
is found among the first ones of the organisations that wait, since hundreds of
statements may wait behind each of them.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from itertools import count
from typing import Generic, TypeVar

from celeryjunction.virtual_time import VirtualClock, VirtualFlow

T = TypeVar("T")

Kind = tuple[str | None, bool, frozenset[str]]
"""What decides which endpoints may run a statement: the required endpoint, whether it
opens a transaction, and the excluded endpoints."""

MAX_FLOWS = 1024
"""Flows of one priority from which on idle ones are forgotten."""


class PendingStatement:
    """A statement that needs an endpoint.

    `required_endpoint` is the only endpoint that may run the statement; if None, any
    endpoint that is not in `excluded` may. `arrived` and `queue_deadline` are seconds
    of the dispatcher's clock; a statement that is still queued at `queue_deadline` is
    refused.
    """

    __slots__ = (
        "_kind",
        "_order",
        "arrived",
        "excluded",
        "future",
        "may_have_run",
        "opens_transaction",
        "organisation",
        "priority",
        "queue_deadline",
        "required_endpoint",
        "values",
        "weight",
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
        weight: float = 1.0,
    ) -> None:
        self.organisation = organisation
        """Owner of the connection that the statement needs; empty for none."""
        self.weight = weight
        """Share of the slots relative to other organisations."""
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
        self.future: asyncio.Future | None = None
        """Set once the statement may leave the queue; None before it waits."""
        self._order = (arrived, 0)
        self._kind: Kind | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "priority", self.priority
        yield "required_endpoint", self.required_endpoint, None
        yield "excluded", self.excluded

    def allows(self, endpoint: str) -> bool:
        """Whether the endpoint may run the statement."""
        if self.required_endpoint is not None:
            return endpoint == self.required_endpoint
        return endpoint not in self.excluded

    @property
    def kind(self) -> Kind:
        """What decides which endpoints may run the statement."""
        if self._kind is not None:
            return self._kind
        required = self.required_endpoint
        excluded = frozenset() if required is not None else frozenset(self.excluded)
        return required, self.opens_transaction, excluded


class OrganisationFlow(VirtualFlow):
    """Statements of one organisation and priority, by kind and in order of arrival."""

    __slots__ = ("_deadlines", "waiting")

    def __init__(self, share: float) -> None:
        super().__init__(share)
        self.waiting: dict[Kind, list[PendingStatement]] = {}
        self._deadlines: dict[Kind, list[float]] = {}
        """Queue deadlines of the waiting statements, in order."""

    def add(self, pending: PendingStatement, kind: Kind) -> None:
        """Add a statement in the order of its arrival."""
        insort(self.waiting.setdefault(kind, []), pending, key=lambda p: p._order)
        insort(self._deadlines.setdefault(kind, []), pending.queue_deadline)

    def remove(self, pending: PendingStatement, kind: Kind) -> bool:
        """Remove a statement; return whether it waited."""
        statements = self.waiting.get(kind, [])
        index = bisect_left(statements, pending._order, key=lambda p: p._order)
        if index == len(statements) or statements[index] is not pending:
            return False
        del statements[index]
        deadlines = self._deadlines[kind]
        del deadlines[bisect_left(deadlines, pending.queue_deadline)]
        if not statements:
            del self.waiting[kind], self._deadlines[kind]
        return True

    def outlasting(self, pending: PendingStatement) -> int:
        """Return how many statements of a statement's kind may wait as long as it."""
        deadlines = self._deadlines.get(pending.kind, [])
        return len(deadlines) - bisect_left(deadlines, pending.queue_deadline)

    def first(self, kind: Kind) -> PendingStatement | None:
        """Return the first statement of a kind that is still wanted."""
        statements = self.waiting.get(kind, [])
        for statement in statements:
            if statement.future is None or not statement.future.done():
                return statement
        return None


class PriorityLevel(VirtualClock):
    """The statements of one priority."""

    __slots__ = ("_flows", "counts", "waiting_flows")

    def __init__(self) -> None:
        super().__init__()
        self.waiting_flows: dict[OrganisationFlow, None] = {}
        self.counts: dict[Kind, int] = {}
        """Number of waiting statements by kind."""
        self._flows: dict[str, OrganisationFlow] = {}

    def flow(self, pending: PendingStatement) -> OrganisationFlow:
        """Return the flow of a statement's organisation, with its present weight."""
        flow = self._flows.get(pending.organisation)
        if flow is None:
            if len(self._flows) >= MAX_FLOWS:
                self._forget_idle()
            flow = self._flows[pending.organisation] = OrganisationFlow(pending.weight)
        flow.share = pending.weight
        return flow

    def _forget_idle(self) -> None:
        """Forget the flows that would begin at the present virtual time again."""
        self._flows = {
            name: flow
            for name, flow in self._flows.items()
            if flow.waiting or flow.virtual_s > self.virtual_s
        }

    def add(self, pending: PendingStatement) -> None:
        """Add a statement to its organisation's flow."""
        flow, kind = self.flow(pending), pending.kind
        if not flow.waiting:
            self.start(flow)
            self.waiting_flows[flow] = None
        flow.add(pending, kind)
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def remove(self, pending: PendingStatement) -> bool:
        """Remove a statement; return whether it waited."""
        flow, kind = self.flow(pending), pending.kind
        if not flow.remove(pending, kind):
            return False
        self.counts[kind] -= 1
        if not self.counts[kind]:
            del self.counts[kind]
        if not flow.waiting:
            del self.waiting_flows[flow]
        return True

    def select(
        self,
        priority: int,
        has_slot: Callable[[Kind, int], bool],
        choose: Callable[[PendingStatement], T | None],
    ) -> tuple[PendingStatement, T] | None:
        """Return the first statement in the fair order that can be served, and where.

        The arguments are those of `StatementQueue.select`.
        """
        kinds = [kind for kind in self.counts if has_slot(kind, priority)]
        if not kinds:
            return None
        best: tuple[PendingStatement, T] | None = None
        best_flow: OrganisationFlow | None = None
        for flow in self.waiting_flows:
            if best_flow is not None and flow.virtual_s >= best_flow.virtual_s:
                continue
            found = self._first_served(flow, kinds, choose)
            if found is not None:
                best, best_flow = found, flow
        if best_flow is not None:
            self.advance((best_flow,))
        return best

    @staticmethod
    def _first_served(
        flow: OrganisationFlow,
        kinds: list[Kind],
        choose: Callable[[PendingStatement], T | None],
    ) -> tuple[PendingStatement, T] | None:
        firsts = [first for kind in kinds if (first := flow.first(kind)) is not None]
        if len(firsts) > 1:
            firsts.sort(key=lambda pending: pending._order)
        for pending in firsts:
            endpoint = choose(pending)
            if endpoint is not None:
                return pending, endpoint
        return None

    def ahead(self, pending: PendingStatement, *, urgent: bool) -> int:
        """Return how many statements surely go before a new one of this level.

        With `urgent` the new one is of a less urgent level.
        """
        flow = self._flows.get(pending.organisation)
        if flow is None or pending.kind not in flow.waiting:
            return 0
        last = flow.waiting[pending.kind][-1]
        is_behind = urgent or last.arrived <= pending.arrived
        return flow.outlasting(pending) if is_behind else 0


class StatementQueue(Generic[T]):
    """The statements of one group that wait for an endpoint.

    ```python
    queue = StatementQueue()
    queue.add(pending)
    queue.select(has_slot, choose)   # (pending, endpoint) if one can be served
    queue.remove(pending)
    ```
    """

    __slots__ = ("_levels", "_sequence", "waiting")

    def __init__(self) -> None:
        self.waiting = 0
        """Number of statements in the queue."""
        self._levels: dict[int, PriorityLevel] = {}
        self._sequence = count(1)

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "waiting", self.waiting

    def __iter__(self) -> Iterator[PendingStatement]:
        for level in self._levels.values():
            for flow in level.waiting_flows:
                for statements in flow.waiting.values():
                    yield from statements

    def level(self, priority: int) -> PriorityLevel:
        """Return the statements of one priority."""
        level = self._levels.get(priority)
        if level is None:
            self._levels[priority] = PriorityLevel()
            self._levels = dict(sorted(self._levels.items()))
            level = self._levels[priority]
        return level

    def add(self, pending: PendingStatement) -> None:
        """Add a statement in the order of its arrival."""
        pending._kind = pending.kind
        pending._order = (pending.arrived, next(self._sequence))
        self.level(pending.priority).add(pending)
        self.waiting += 1

    def remove(self, pending: PendingStatement) -> None:
        """Remove a statement if it waits."""
        if pending._kind is not None and self.level(pending.priority).remove(pending):
            self.waiting -= 1
        pending._kind = None

    def has_before(self, pending: PendingStatement) -> bool:
        """Whether a statement that is at least as urgent waits for the same slots."""
        slots = pending.required_endpoint, pending.opens_transaction
        return any(
            kind[:2] == slots
            for priority, level in self._levels.items()
            if priority <= pending.priority
            for kind in level.counts
        )

    def select(
        self,
        has_slot: Callable[[Kind, int], bool],
        choose: Callable[[PendingStatement], T | None],
    ) -> tuple[PendingStatement, T] | None:
        """Return the next statement that can be served, and where; None without one.

        `has_slot` is whether any endpoint has a slot for a kind of statement of a
        priority, and `choose` returns a statement's endpoint or None.
        """
        for priority, level in self._levels.items():
            if level.counts:
                found = level.select(priority, has_slot, choose)
                if found is not None:
                    return found
        return None

    def ahead(self, pending: PendingStatement) -> int:
        """Return how many waiting statements surely go before a new one.

        These are its organisation's of the same kind, if they are more urgent or came
        before, and may wait as long as the new one. Others may be refused before, run
        elsewhere, or wait for a connection and be overtaken.
        """
        return sum(
            level.ahead(pending, urgent=priority < pending.priority)
            for priority, level in self._levels.items()
            if priority <= pending.priority
        )

    # Shares

    def charge_at_once(
        self, pending: PendingStatement, expected_s: float
    ) -> OrganisationFlow:
        """Charge a statement that did not wait for its expected time.

        Returns the flow, which is charged the difference when the statement ends.
        """
        level = self._levels.get(pending.priority) or self.level(pending.priority)
        flow = level.flow(pending)
        if not level.counts:
            level.skip_queue(flow)
        elif not flow.waiting:
            level.start(flow)
        flow.charge(expected_s)
        return flow

    def charge_selected(
        self, pending: PendingStatement, expected_s: float
    ) -> OrganisationFlow:
        """Charge a statement that was selected; see `charge_at_once`."""
        flow = self.level(pending.priority).flow(pending)
        flow.charge(expected_s)
        return flow


def shortest_wait(
    ahead: int, *, slots: int, remaining_s: Iterable[float], shortest_s: float
) -> float:
    """Return the least seconds until a slot is free behind `ahead` statements.

    `remaining_s` are the least times until the running statements end; each of those
    ahead takes at least `shortest_s`.

    ```python
    shortest_wait(0, slots=2, remaining_s=[0.004, 0.006], shortest_s=0.006)  # 0.004
    shortest_wait(2, slots=2, remaining_s=[0.004, 0.006], shortest_s=0.006)  # 0.01
    ```
    """
    running = sorted(remaining_s)
    ends = len(running) + ahead + 1 - slots
    if ends <= 0:
        return 0.0
    if not running:
        return (ends - 1) // max(slots, 1) * shortest_s
    rounds, position = divmod(ends - 1, len(running))
    return running[position] + rounds * shortest_s
