"""A group that runs in this process while this proxy is the home of its database.

**Connection cap.** A home holds at most ``floor(connections / 2)`` connections to each
endpoint, the status probe's one included. Proxies may disagree for a moment about who
is the home, or the old home may be paused; an old and a new home together then still
stay within the endpoint's limit. The cost: half of an endpoint's connections are never
used as long as there is one home. With 20 connections and 3 slots, 9 remain for
statements and open transactions.

**When the home moves**, the old one closes its idle connections at once and drops the
group, with the probes and their connections, as soon as nothing runs in it. A group
that served a statement although this proxy is not the home is kept for `LINGER_S`
after the last one, since others may follow for as long as proxies disagree.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf

from celeryjunction.group import Group
from celeryjunction.marks import CustomerMarks
from celeryjunction.ports import (
    Clock,
    EndpointRecord,
    GroupRecord,
    QueryResult,
    StatementShape,
    Step,
)
from celeryjunction.service import GroupTransaction
from celeryjunction.work import Work

LINGER_S = 1.0
PROBE_CONNECTIONS = 1
"""Connections per endpoint that the status probe holds besides the pool's."""

MakeGroup = Callable[[str, dict[str, tuple[int, int]]], Group]
"""Makes a group for a database; the second argument holds its customers' marks."""


def home_connections(endpoint: EndpointRecord) -> int:
    """Return how many pooled connections a home may hold to an endpoint."""
    return max(endpoint.connections // 2 - PROBE_CONNECTIONS, 1)


class LocalGroup:
    """Opens a group when it is used and closes it when the home is elsewhere.

    Implements `ServedGroup`.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_make",
        "_used_at",
        "_uses",
        "_was_home",
        "database",
        "marks",
    )

    def __init__(
        self, database: str, *, make: MakeGroup, marks: CustomerMarks, clock: Clock
    ) -> None:
        self.database = database
        self.marks = marks
        self._make = make
        self._clock = clock
        self._group: Group | None = None
        self._uses = 0
        self._used_at = -inf
        self._was_home = False

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "open", self._group is not None
        yield "uses", self._uses

    @property
    def group(self) -> Group | None:
        """The open group; None while nothing needs it."""
        return self._group

    @property
    def uses(self) -> int:
        """Statements and transactions that run in the group."""
        return self._uses

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read by itself at an endpoint that is proven fresh enough."""
        with self._using() as group:
            return await group.read(work, step)

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write by itself and return its answer once it is proven."""
        with self._using() as group:
            return await group.write(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        with self._using() as group:
            return await group.describe(work, step)

    def begin(
        self, *, begin_sql: str, read_only: bool, begun: float
    ) -> GroupTransaction:
        """Return a transaction; the group is in use until it ends."""
        group = self._enter()
        transaction = group.begin(begin_sql=begin_sql, read_only=read_only, begun=begun)
        return _HeldTransaction(transaction, self._leave)

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) known for a customer."""
        return self.marks.mark(customer)

    def note_mark(self, customer: str, mark: tuple[int, int] | None) -> None:
        """Take in a mark that another proxy told."""
        self.marks.merge(customer, mark)

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer."""
        return self._group.lost_term(customer) if self._group is not None else None

    def follow(self, record: GroupRecord) -> None:
        """Take over a newer record."""
        if self._group is not None:
            self._group.follow(record)

    async def review(self, *, is_home: bool) -> None:
        """Give up connections, and then the group, when the home is elsewhere.

        Call it every 0.5 s; a late call shows that this process was paused.
        """
        group = self._group
        if group is not None:
            group.pauses.tick(self._clock.monotonic())
        if group is None or is_home:
            self._was_home = is_home
            return
        if self._was_home:
            self._was_home = False
            self._used_at = -inf
            for handle in group.handles.values():
                handle.pool.close_idle(older_than=-1.0)
        if not self._uses and self._clock.monotonic() - self._used_at > LINGER_S:
            await self.close()

    async def close(self) -> None:
        """Close the group; what still runs in it fails."""
        group, self._group = self._group, None
        if group is not None:
            await group.close()

    @contextmanager
    def _using(self) -> Iterator[Group]:
        group = self._enter()
        try:
            yield group
        finally:
            self._leave()

    def _enter(self) -> Group:
        if self._group is None:
            self._group = self._make(self.database, self.marks.marks)
        self._uses += 1
        return self._group

    def _leave(self) -> None:
        self._uses -= 1
        self._used_at = self._clock.monotonic()


class _HeldTransaction:
    """A local transaction that calls `release` when it has ended."""

    __slots__ = ("_inner", "_release")

    def __init__(self, inner: GroupTransaction, release: Callable[[], None]) -> None:
        self._inner = inner
        self._release: Callable[[], None] | None = release

    @property
    def failed(self) -> bool:
        """Whether only ROLLBACK is possible any more."""
        return self._inner.failed

    @failed.setter
    def failed(self, value: bool) -> None:
        self._inner.failed = value

    @property
    def opened(self) -> bool:
        """Whether anything was sent to an endpoint."""
        return self._inner.opened

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement."""
        return await self._inner.execute(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe on the transaction's connection."""
        return await self._inner.describe(work, step)

    async def commit(self, work: Work) -> str:
        """Commit; return the command tag."""
        try:
            return await self._inner.commit(work)
        finally:
            self._end()

    async def rollback(self) -> None:
        """Roll back."""
        try:
            await self._inner.rollback()
        finally:
            self._end()

    def abort(self) -> None:
        """Roll back at once."""
        self._inner.abort()
        self._end()

    def _end(self) -> None:
        release, self._release = self._release, None
        if release is not None:
            release()
