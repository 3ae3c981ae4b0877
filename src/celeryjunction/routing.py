"""Routing of statements: to the home of their database, or to this proxy's own group.

The home is the first usable proxy in rendezvous order. A statement that provably did
not run there, or that may be repeated, goes to the next proxy. After
`MAX_PEER_ATTEMPTS` peers, or when no peer is usable, it runs at this proxy. A proxy
that is not the home may run it: consistency rests on status rounds and does not
require that there is only one home.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

from celeryjunction.commit import outcome_unknown_error
from celeryjunction.endpoints import deadline_error
from celeryjunction.errors import ErrorKind, ProxyError, Ran
from celeryjunction.links import PeerLink
from celeryjunction.local import LocalGroup
from celeryjunction.marks import CustomerMarks
from celeryjunction.ports import Clock, QueryResult, StatementShape, Step
from celeryjunction.remote import HomeUnavailable, RemoteGroup
from celeryjunction.service import GroupService, GroupTransaction
from celeryjunction.work import Work

MAX_PEER_ATTEMPTS = 3


class Homes(Protocol):
    """The proxies that can be a database's home."""

    vm: str
    """This proxy's VM."""

    def homes(self, database: str) -> list[str]:
        """Return VMs, ordered by preference as the database's home."""
        ...

    def link(self, vm: str) -> PeerLink:
        """Return the link to another proxy."""
        ...


class RoutedGroup:
    """Runs each statement of a group at the home. Implements `GroupService`."""

    __slots__ = ("_clock", "_homes", "database", "forwarded", "local", "marks")

    def __init__(
        self,
        database: str,
        *,
        homes: Homes,
        local: LocalGroup,
        marks: CustomerMarks,
        clock: Clock,
    ) -> None:
        self.database = database
        self.local = local
        self.marks = marks
        self.forwarded = 0
        self._homes = homes
        self._clock = clock

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "home", self.home

    @property
    def home(self) -> str:
        """VM to which the next statement is sent."""
        return self._choose_vm(())

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read at the home, or at the next proxy if the answer was lost."""
        return await self._route(work, lambda group: group.read(work, step))

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write at the home, or at the next proxy if it provably did not run.

        A repeatable write may also run at the next proxy after a lost answer.
        """
        return await self._route(
            work, lambda group: group.write(work, step), is_write=True
        )

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        return await self._route(work, lambda group: group.describe(work, step))

    def begin(
        self, *, begin_sql: str, read_only: bool, started_at: float
    ) -> RoutedTransaction:
        """Return a transaction that stays at the proxy of its first statement."""
        return RoutedTransaction(
            self, begin_sql=begin_sql, read_only=read_only, started_at=started_at
        )

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) acknowledged to a customer."""
        return self.marks.mark(customer)

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer."""
        terms = (self.local.lost_term(customer), self.marks.lost_term(customer))
        return max((term for term in terms if term is not None), default=None)

    async def _route(
        self,
        work: Work,
        call: Callable[[GroupService], Awaitable],
        *,
        is_write: bool = False,
    ):
        tried: set[str] = set()
        sent = False
        while True:
            vm = self._choose_vm(tried)
            try:
                return await call(self._group_at(vm))
            except HomeUnavailable as error:
                tried.add(vm)
                sent = sent or error.sent
            except ProxyError as error:
                if sent and is_write and error.spec.ran is Ran.NO:
                    # A repeatable write: an earlier attempt may have run.
                    raise outcome_unknown_error(
                        f"an earlier answer was lost; {error}"
                    ) from None
                raise
            if self._clock.monotonic() >= work.deadline:
                raise self._deadline_failure(work, sent=sent, is_write=is_write)

    def _deadline_failure(
        self, work: Work, *, sent: bool, is_write: bool
    ) -> ProxyError:
        if not sent:
            return deadline_error(work)
        if is_write:
            return outcome_unknown_error("the answers of its proxies were lost")
        return ProxyError(ErrorKind.READ_UNANSWERED)

    def _choose_vm(self, tried: set[str] | tuple[()]) -> str:
        homes = self._homes
        if len(tried) < MAX_PEER_ATTEMPTS:
            for vm in homes.homes(self.database):
                if vm == homes.vm:
                    return vm
                if vm not in tried and homes.link(vm).usable:
                    return vm
        return homes.vm

    def _group_at(self, vm: str) -> GroupService:
        if vm == self._homes.vm:
            return self.local
        self.forwarded += 1
        link = self._homes.link(vm)
        return RemoteGroup(self.database, link, marks=self.marks, clock=self._clock)


class RoutedTransaction:
    """A transaction that stays at the proxy of its first statement.

    Implements `GroupTransaction`.
    """

    __slots__ = (
        "_begin_sql",
        "_failed",
        "_group",
        "_inner",
        "_read_only",
        "_started_at",
    )

    def __init__(
        self, group: RoutedGroup, *, begin_sql: str, read_only: bool, started_at: float
    ) -> None:
        self._group = group
        self._begin_sql = begin_sql
        self._read_only = read_only
        self._started_at = started_at
        self._failed = False
        self._inner: GroupTransaction | None = None

    @property
    def failed(self) -> bool:
        """Whether the transaction can only be rolled back."""
        return self._failed if self._inner is None else self._inner.failed

    @failed.setter
    def failed(self, value: bool) -> None:
        self._failed = value
        if self._inner is not None:
            self._inner.failed = value

    @property
    def opened(self) -> bool:
        """Whether the transaction is open at an endpoint."""
        return self._inner is not None and self._inner.opened

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement; any error leaves the transaction failed."""
        if self._inner is not None:
            return await self._inner.execute(work, step)
        try:
            return await self._group._route(work, lambda g: self._open(g, work, step))
        except BaseException:
            self.failed = True
            raise

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe on the transaction's connection; None before it is opened."""
        return await self._inner.describe(work, step) if self._inner else None

    async def commit(self, work: Work) -> str:
        """Commit and return the command tag, ``ROLLBACK`` for a failed transaction."""
        if self._inner is None:
            return "ROLLBACK" if self._failed else "COMMIT"
        return await self._inner.commit(work)

    async def rollback(self) -> None:
        """Roll back and release the connection."""
        if self._inner is not None:
            await self._inner.rollback()

    def abort(self) -> None:
        """Roll back at once, without waiting for an answer."""
        self._failed = True
        if self._inner is not None:
            self._inner.abort()

    async def _open(self, group: GroupService, work: Work, step: Step) -> QueryResult:
        # Set before the first statement, so that abort() reaches it while it opens.
        self._inner = group.begin(
            begin_sql=self._begin_sql,
            read_only=self._read_only,
            started_at=self._started_at,
        )
        try:
            return await self._inner.execute(work, step)
        except HomeUnavailable:
            self._inner = None
            raise
