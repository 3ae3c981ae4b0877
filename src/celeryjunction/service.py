"""Interfaces through which a session uses a database group, in any process.

`Group` runs the statements in this process.
"""

from __future__ import annotations

from typing import Protocol

from celeryjunction.ports import QueryResult, StatementShape, Step
from celeryjunction.work import Work


class GroupTransaction(Protocol):
    """A transaction that a client opened."""

    failed: bool
    """Whether only ROLLBACK or a rollback to a savepoint is still possible."""

    @property
    def opened(self) -> bool:
        """Whether the transaction is open at an endpoint.

        False before the first statement, and again once the connection is lost.
        """
        ...

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement; any error leaves the transaction failed."""
        ...

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe on the transaction's connection; None before it is opened."""
        ...

    async def commit(self, work: Work) -> str:
        """Commit; return the command tag, ``ROLLBACK`` for a failed transaction."""
        ...

    async def rollback(self) -> None:
        """Roll back and release the connection."""
        ...

    def abort(self) -> None:
        """Roll back at once, without waiting for an answer."""
        ...


class GroupService(Protocol):
    """Reads, writes and transactions of one group.

    All calls raise `ProxyError` for the proxy's own errors and `EndpointError` for an
    endpoint's answer.
    """

    database: str

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read outside a transaction at an endpoint proven fresh enough."""
        ...

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write outside a transaction; return its result once proven."""
        ...

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        ...

    def begin(
        self, *, begin_sql: str, read_only: bool, started_at: float
    ) -> GroupTransaction:
        """Return a new transaction; nothing is sent before its first statement."""
        ...

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) acknowledged to a customer."""
        ...

    def lost_term(self, customer: str) -> int | None:
        """Return the term whose start dropped writes acknowledged to the customer."""
        ...
