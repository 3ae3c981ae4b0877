"""Contracts: what each customer may use, and how urgently it is served.

A contract is one JSON-with-comments document per customer. Every limit that the
proxy enforces is computed from it.
"""

from __future__ import annotations

from enum import Enum, IntEnum

import msgspec


class Rank(IntEnum):
    """How urgent a piece of work is. A smaller value is served first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2

    @property
    def label(self) -> str:
        """Name of the rank as contracts write it."""
        return self.name.lower()


class Acknowledgement(Enum):
    """What must be proven before a write is acknowledged.

    `PROVEN`: the primary was not replaced at some moment after the commit.
    `REPLICATED`: besides, a majority of the group has received the commit.
    """

    PROVEN = "proven"
    REPLICATED = "replicated"


class WorkClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work of a customer, chosen at login or by ``SET``.

    A caller logs in as ``customer`` (default class) or ``customer.work``, or runs
    ``SET celeryjunction.work = 'name'``. Only classes named in the contract exist,
    so no caller gets a rank that the contract does not allow.
    """

    rank: str = "interactive"
    staleness_ms: int = 0
    """Reads may miss writes of the last so many ms; 0 asks for read-your-writes."""
    deadline_ms: int = 10_000
    """Time from a statement's arrival to its answer."""
    repeatable: bool = False
    """Whether a write may run more than once."""

    @property
    def rank_value(self) -> Rank:
        """The rank as an enum member."""
        return Rank[self.rank.upper()]


class ShedOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A director's signed, expiring permission to refuse work of this customer."""

    id: str
    signed_by: str
    reason: str
    signed_at: str
    """ISO 8601 time with offset."""
    expires_at: str
    """ISO 8601 time with offset."""
    lowest_rank: str = "background"
    """Work of this rank or a less urgent one may be refused."""


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that the system knows of one customer."""

    customer: str
    databases: tuple[str, ...]
    verifier: str
    """SCRAM verifier, ``SCRAM-SHA-256$<iterations>:<salt>$<stored>:<server>``."""
    work: dict[str, WorkClass]
    default_work: str
    shares: dict[str, float]
    """Per rank, the part of each endpoint's time kept for this customer in a flood."""
    connections: int = 10
    """Connections that the customer's work may hold at each endpoint."""
    idle_transaction_ms: int = 10_000
    acknowledgement: Acknowledgement = Acknowledgement.REPLICATED
    shed_orders: tuple[ShedOrder, ...] = ()
