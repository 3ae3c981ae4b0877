"""Contracts: what each customer may use, and how urgently it is served.

A contract is one JSON-with-comments document per customer. Every limit that the
proxy enforces is computed from it. The limits of single fields stand in their
annotations; `parse_contract` reports all problems of a document at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from datetime import datetime, timedelta
from enum import Enum
from functools import lru_cache
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from celeryjunction._documents import (
    DocumentError,
    Problem,
    convert,
    cross_check,
    hide_fields,
    parse_document,
)
from celeryjunction.ports import GroupRecord
from celeryjunction.rank import Rank
from celeryjunction.scram import verifier_fault

MAX_SHED_DAYS = 30
"""A shed order lasts at most this many days after it was signed."""

# Decimal shares such as 0.7 + 0.2 + 0.1 do not sum to exactly 1 in binary.
_SHARE_TOLERANCE = 1e-9


class Acknowledgement(Enum):
    """What must be proven before a write is acknowledged.

    `PROVEN`: the primary was not replaced at some moment after the commit.
    `REPLICATED`: besides, a majority of the group has received the commit.
    """

    PROVEN = "proven"
    REPLICATED = "replicated"


def _fault_of_time(text: str) -> str | None:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        return f"{text!r} is not an ISO 8601 time"
    return None if moment.tzinfo else f"{text!r} has no offset from UTC"


def _fault_of_text(text: str) -> str | None:
    if not text.strip():
        return "is empty"
    return None if text.isprintable() else "holds control characters"


Name = Annotated[
    str,
    Meta(
        pattern=r"\A[a-z0-9][a-z0-9_-]{0,62}\Z",
        extra={
            "wanted": "a name of 1 to 63 characters a-z, 0-9, _ and -, "
            "not beginning with _ or -"
        },
    ),
]
"""A name of a customer, database, work class, VM, zone or endpoint."""

RankName = Annotated[
    str,
    Meta(
        pattern=rf"\A({'|'.join(rank.label for rank in Rank)})\Z",
        extra={"wanted": f"one of {', '.join(rank.label for rank in Rank)}"},
    ),
]
Share = Annotated[float, Meta(gt=0, le=1)]
_Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
_Text = Annotated[
    str,
    Meta(
        max_length=500,
        extra={"wanted": "a text of 1 to 500 characters", "check": _fault_of_text},
    ),
]
_Time = Annotated[
    str,
    Meta(
        extra={
            "wanted": "an ISO 8601 time with offset, such as 2030-01-31T08:00:00+08:00",
            "check": _fault_of_time,
        }
    ),
]
_Verifier = Annotated[
    str,
    Meta(
        extra={
            "secret": True,
            "wanted": "a SCRAM-SHA-256 verifier",
            "remedy": "run `celeryjunction verifier` and give the line that it prints",
            "check": verifier_fault,
        }
    ),
]


class WorkClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of work of a customer, chosen at login or by ``SET``.

    A caller logs in as ``customer`` (default class) or ``customer.work``, or runs
    ``SET celeryjunction.work = 'name'``. Only classes named in the contract exist,
    so no caller gets a rank that the contract does not allow.
    """

    rank: RankName = "interactive"
    staleness_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    """Reads may miss writes of the last so many ms; 0 asks for read-your-writes."""
    deadline_ms: _Milliseconds = 10_000
    """Time from a statement's arrival to its answer."""
    repeatable: bool = False
    """Whether a write may run more than once."""

    @property
    def rank_value(self) -> Rank:
        """The rank as an enum member."""
        return Rank[self.rank.upper()]


class ShedOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A director's signed, expiring permission to refuse work of this customer."""

    id: _Text
    signed_by: _Text
    reason: _Text
    signed_at: _Time
    """ISO 8601 time with offset."""
    expires_at: _Time
    """ISO 8601 time with offset."""
    lowest_rank: RankName = "background"
    """Work of this rank or a less urgent one may be refused."""

    def covers(self, rank: Rank, now: datetime) -> bool:
        """Whether work of a rank may be refused at a time (with offset)."""
        if rank < Rank[self.lowest_rank.upper()]:
            return False
        return _moment(self.signed_at) <= now < _moment(self.expires_at)


@lru_cache(maxsize=1024)
def _moment(text: str) -> datetime:
    return datetime.fromisoformat(text)


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that the system knows of one customer."""

    customer: Name
    databases: Annotated[tuple[Name, ...], Meta(min_length=1)]
    verifier: _Verifier
    """SCRAM verifier, ``SCRAM-SHA-256$<iterations>:<salt>$<stored>:<server>``."""
    work: Annotated[dict[Name, WorkClass], Meta(min_length=1)]
    default_work: Name
    shares: dict[RankName, Share]
    """Per rank, the part of each endpoint's time kept for this customer in a flood."""
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 10
    """Connections that the customer's work may hold at each endpoint."""
    idle_transaction_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 10_000
    acknowledgement: Acknowledgement = Acknowledgement.REPLICATED
    shed_orders: tuple[ShedOrder, ...] = ()

    def work_class(self, name: str | None) -> WorkClass:
        """Return the work class of a name, the default one for None.

        Raises `KeyError` when the contract has no such class.
        """
        return self.work[self.default_work if name is None else name]

    def active_shed_order(self, rank: Rank, now: datetime) -> ShedOrder | None:
        """Return the order that lets work of this rank be refused at `now`.

        `now` carries an offset. Of several orders, the one that expires last is
        returned; None means that nobody signed one, and the work has to wait.
        """
        covering = [order for order in self.shed_orders if order.covers(rank, now)]
        return max(covering, key=lambda o: _moment(o.expires_at), default=None)

    def __rich_repr__(self) -> Iterator[tuple[str, Any]]:
        return hide_fields(self, "verifier")

    def __repr__(self) -> str:
        fields = ", ".join(f"{k}={v!r}" for k, v in self.__rich_repr__())
        return f"Contract({fields})"


class ContractError(DocumentError):
    """A contract cannot be accepted; `problems` says why, field by field."""


def parse_user(user: str) -> tuple[str, str | None]:
    """Split a login ``customer.work`` into customer and work class.

    The work class is None for a login without a dot, which gets the default class.
    """
    customer, dot, work = user.partition(".")
    return customer, work if dot else None


def parse_contract(text: str, *, comments: bool = True) -> Contract:
    """Return the contract that a JSON document (with comments) describes.

    Raises `ContractError` with all problems. What depends on other documents is
    checked by `check_against`. Documents of the key-value service are plain JSON;
    without `comments` a damaged one is refused at once, where reading it as JSON with
    comments can take seconds.
    """
    try:
        return convert(Contract, parse_document(text, comments=comments))
    except DocumentError as error:
        raise ContractError(error.problems) from None


def dump_contract(contract: Contract) -> bytes:
    """Return the contract as canonical JSON: all fields, keys sorted, no spaces."""
    return msgspec.json.encode(contract, order="sorted")


def check_against(
    contract: Contract, others: Iterable[Contract], groups: Iterable[GroupRecord]
) -> list[Problem]:
    """Return the problems of a contract next to the other contracts and the groups.

    `others` may hold an older contract of the same customer, which is left out.
    """
    records = {group.name: group for group in groups}
    rivals = [other for other in others if other.customer != contract.customer]
    problems: list[Problem] = []
    for index, database in enumerate(contract.databases):
        place = f"databases[{index}]"
        if database not in records:
            known = ", ".join(sorted(records)) or "none"
            message = f"there is no database {database}"
            problems.append(Problem(place, message, f"known databases: {known}"))
            continue
        problems += _check_connections(contract, records[database])
        problems += _check_shares(contract, rivals, database)
    return problems


def _check_connections(contract: Contract, group: GroupRecord) -> Iterator[Problem]:
    if not group.endpoints:
        return
    smallest = min(group.endpoints, key=lambda endpoint: endpoint.connections)
    if contract.connections > smallest.connections:
        message = (
            f"{contract.connections} is more than the {smallest.connections} "
            f"connections of endpoint {smallest.name} of database {group.name}"
        )
        remedy = f"give a whole number up to {smallest.connections}"
        yield Problem("connections", message, remedy)


def _check_shares(
    contract: Contract, rivals: list[Contract], database: str
) -> Iterator[Problem]:
    holders = [other for other in rivals if database in other.databases]
    taken = math.fsum(share for other in holders for share in other.shares.values())
    asked = math.fsum(contract.shares.values())
    if holders and asked + taken > 1 + _SHARE_TOLERANCE:
        names = ", ".join(sorted(other.customer for other in holders))
        message = (
            f"shares of {asked:g} and {taken:g} of {names} for database {database} "
            f"sum to {asked + taken:g}, more than 1; they cannot all be kept"
        )
        remedy = f"lower the shares to a sum of at most {max(0.0, 1 - taken):g}"
        yield Problem("shares", message, remedy)


@cross_check(Contract)
def _check_contract(parts: Mapping[str, Any]) -> Iterator[Problem]:
    work, shares = parts.get("work"), parts.get("shares")
    default = parts.get("default_work")
    if work is not None and default is not None and default not in work:
        message = f"work has no class {default}"
        remedy = f"give one of {', '.join(work)}, or add it to work"
        yield Problem("default_work", message, remedy)
    if shares is not None:
        yield from _check_own_shares(work or {}, shares)
    yield from _repeated("databases", parts.get("databases", ()))
    order_ids = [order.id for order in parts.get("shed_orders", ())]
    yield from _repeated("shed_orders", order_ids)


def _check_own_shares(
    work: Mapping[str, WorkClass], shares: Mapping[str, float]
) -> Iterator[Problem]:
    for rank in sorted({item.rank_value for item in work.values()}):
        if rank.label not in shares:
            names = [name for name, item in work.items() if item.rank_value is rank]
            message = f"is missing; work class {names[0]} has this rank"
            remedy = "add a number above 0 up to 1"
            yield Problem(f"shares.{rank.label}", message, remedy)
    total = math.fsum(shares.values())
    if total > 1 + _SHARE_TOLERANCE:
        message = f"the shares sum to {total:g}, more than 1"
        yield Problem("shares", message, "lower them to a sum of at most 1")


def _repeated(place: str, values: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            message = f"{value} is given twice"
            yield Problem(f"{place}[{index}]", message, "remove one of them")
        seen.add(value)


@cross_check(ShedOrder)
def _check_shed_order(parts: Mapping[str, Any]) -> Iterator[Problem]:
    if "signed_at" not in parts or "expires_at" not in parts:
        return
    signed, expires = _moment(parts["signed_at"]), _moment(parts["expires_at"])
    if expires <= signed:
        message = f"{parts['expires_at']} is not after signed_at {parts['signed_at']}"
        yield Problem("expires_at", message, "give a later time")
    elif expires - signed > timedelta(days=MAX_SHED_DAYS):
        message = f"is more than {MAX_SHED_DAYS} days after signed_at"
        yield Problem("expires_at", message, "give an earlier time")
