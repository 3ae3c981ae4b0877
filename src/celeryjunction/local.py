"""A group that runs in this process, usually while this proxy is its database's home.

**Connection cap.** A home holds at most ``floor(connections / 2)`` connections to each
endpoint, including the one of the status probe. Proxies may briefly disagree about
which one is the home, or the old home may be paused; the cap keeps an old and a new
home together within the endpoint's limit. The cost is that a single home never uses
half of an endpoint's connections: with 20 connections and 3 slots, 9 remain for
statements and open transactions.

**When the home moves**, the old one closes its idle connections at once. It closes the
group, with its probes and their connections, as soon as nothing runs in it. A group
that served a statement although this proxy is not the home stays open for
`NON_HOME_RETENTION_S` after the last one, since more statements may arrive while
proxies disagree.
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

NON_HOME_RETENTION_S = 1.0
PROBE_CONNECTIONS = 1
"""Connections per endpoint that the status probe holds in addition to the pool's."""

MakeGroup = Callable[[str, dict[str, tuple[int, int]]], Group]
"""Creates the group of a database; the second argument holds its customers' marks."""


def home_connections(endpoint: EndpointRecord) -> int:
    """Return the number of pooled connections that a home may hold to an endpoint."""
    return max(endpoint.connections // 2 - PROBE_CONNECTIONS, 1)


class LocalGroup:
    """Opens a group on first use and closes it when another proxy is the home.

    Implements `ServedGroup`.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_last_used_at",
        "_make_group",
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
        self._make_group = make
        self._clock = clock
        self._group: Group | None = None
        self._uses = 0
        self._last_used_at = -inf
        self._was_home = False

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "open", self._group is not None
        yield "uses", self._uses

    @property
    def group(self) -> Group | None:
        """The open group; None while it is closed."""
        return self._group

    @property
    def uses(self) -> int:
        """Number of statements and transactions that run in the group."""
        return self._uses

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read outside a transaction at an endpoint proven fresh enough."""
        with self._using() as group:
            return await group.read(work, step)

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write outside a transaction and return its answer once it is proven."""
        with self._using() as group:
            return await group.write(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        with self._using() as group:
            return await group.describe(work, step)

    def begin(
        self, *, begin_sql: str, read_only: bool, started_at: float
    ) -> GroupTransaction:
        """Return a transaction; the group counts as in use until it ends."""
        group = self._acquire()
        transaction = group.begin(
            begin_sql=begin_sql, read_only=read_only, started_at=started_at
        )
        return _CountedTransaction(transaction, self._release)

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) acknowledged to a customer."""
        return self.marks.mark(customer)

    def merge_mark(self, customer: str, mark: tuple[int, int] | None) -> None:
        """Merge a mark that another proxy sent."""
        self.marks.merge(customer, mark)

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer."""
        return self._group.lost_term(customer) if self._group is not None else None

    def update_record(self, record: GroupRecord) -> None:
        """Apply a newer group record."""
        if self._group is not None:
            self._group.update_record(record)

    async def release_unless_home(self, *, is_home: bool) -> None:
        """Release idle connections, then the group, if another proxy is the home.

        Must be called every 0.5 s: a late call is taken as a pause of this process.
        """
        group = self._group
        if group is not None:
            group.pauses.tick(self._clock.monotonic())
        if group is None or is_home:
            self._was_home = is_home
            return
        if self._was_home:
            self._was_home = False
            self._last_used_at = -inf
            for handle in group.handles.values():
                handle.pool.close_idle(older_than=-1.0)
        if (
            not self._uses
            and self._clock.monotonic() - self._last_used_at > NON_HOME_RETENTION_S
        ):
            await self.close()

    async def close(self) -> None:
        """Close the group; statements that still run in it fail."""
        group, self._group = self._group, None
        if group is not None:
            await group.close()

    @contextmanager
    def _using(self) -> Iterator[Group]:
        group = self._acquire()
        try:
            yield group
        finally:
            self._release()

    def _acquire(self) -> Group:
        if self._group is None:
            self._group = self._make_group(self.database, self.marks.marks)
        self._uses += 1
        return self._group

    def _release(self) -> None:
        self._uses -= 1
        self._last_used_at = self._clock.monotonic()


class _CountedTransaction:
    """A local transaction that calls `release` once, when it ends."""

    __slots__ = ("_inner", "_release")

    def __init__(self, inner: GroupTransaction, release: Callable[[], None]) -> None:
        self._inner = inner
        self._release: Callable[[], None] | None = release

    @property
    def failed(self) -> bool:
        """Whether the transaction can only be rolled back."""
        return self._inner.failed

    @failed.setter
    def failed(self, value: bool) -> None:
        self._inner.failed = value

    @property
    def opened(self) -> bool:
        """Whether the transaction is open at an endpoint."""
        return self._inner.opened

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement."""
        return await self._inner.execute(work, step)

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe on the transaction's connection."""
        return await self._inner.describe(work, step)

    async def commit(self, work: Work) -> str:
        """Commit and return the command tag."""
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
