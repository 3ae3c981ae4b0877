"""What this proxy knows of the acknowledged writes of one database's customers."""

from __future__ import annotations

from collections.abc import Iterator

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.peers import KnownWrites


class CustomerMarks:
    """Marks and reported losses by customer.

    They outlive the local group, which goes when another proxy becomes the home.
    `marks` is shared with it.
    """

    __slots__ = ("_lost", "marks")

    def __init__(self) -> None:
        self.marks: dict[str, tuple[int, int]] = {}
        self._lost: dict[str, int] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "customers", len(self.marks)

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) known to be acknowledged."""
        return self.marks.get(customer)

    def merge(self, customer: str, mark: tuple[int, int] | None) -> None:
        """Take in a mark that another proxy told."""
        if mark is not None:
            self.marks[customer] = max(self.marks.get(customer, mark), mark)

    def lost_term(self, customer: str) -> int | None:
        """Return the newest term known to have dropped acknowledged writes.

        None again once a write of that term or a later one was acknowledged, as
        `Group.lost_term` has it.
        """
        lost = self._lost.get(customer)
        mark = self.marks.get(customer)
        if lost is None or (mark is not None and mark[0] >= lost):
            return None
        return lost

    def record_loss(self, customer: str, error: ProxyError) -> None:
        """Remember the term when a home reported lost writes."""
        if error.kind is ErrorKind.ACKNOWLEDGED_WRITE_LOST:
            term = int(error.details["term"])
            self._lost[customer] = max(self._lost.get(customer, 0), term)

    def known_to_peer(self, customer: str) -> KnownWrites:
        """Return what to tell the home with a statement."""
        return KnownWrites(self.marks.get(customer), self._lost.get(customer, 0))
