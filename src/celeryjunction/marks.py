"""High-water marks of the acknowledged writes of one database's customers.

A customer's mark is the highest (term, log position) that was acknowledged to the
customer, as far as this proxy knows.
"""

from __future__ import annotations

from collections.abc import Iterator

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.peers import KnownWrites


class CustomerMarks:
    """Marks and reported losses of acknowledged writes, by customer.

    They are kept when the local group is closed because another proxy has become the
    home. The local group updates `marks` in place.
    """

    __slots__ = ("_lost_terms", "marks")

    def __init__(self) -> None:
        self.marks: dict[str, tuple[int, int]] = {}
        self._lost_terms: dict[str, int] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "customers", len(self.marks)

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the customer's mark; None if no acknowledged write is known."""
        return self.marks.get(customer)

    def merge(self, customer: str, mark: tuple[int, int] | None) -> None:
        """Raise the customer's mark to one received from another proxy."""
        if mark is not None:
            self.marks[customer] = max(self.marks.get(customer, mark), mark)

    def lost_term(self, customer: str) -> int | None:
        """Return the newest term reported to have dropped acknowledged writes.

        None again once a write of that term or a later one is acknowledged, as in
        `Group.lost_term`.
        """
        term = self._lost_terms.get(customer)
        mark = self.marks.get(customer)
        if term is None or (mark is not None and mark[0] >= term):
            return None
        return term

    def record_loss(self, customer: str, error: ProxyError) -> None:
        """Record the term of a home's error that reports lost writes.

        Other errors are ignored.
        """
        if error.kind is ErrorKind.ACKNOWLEDGED_WRITE_LOST:
            term = int(error.details["term"])
            self._lost_terms[customer] = max(self._lost_terms.get(customer, 0), term)

    def known_writes(self, customer: str) -> KnownWrites:
        """Return the mark and loss to send to the home with a statement."""
        return KnownWrites(self.marks.get(customer), self._lost_terms.get(customer, 0))
