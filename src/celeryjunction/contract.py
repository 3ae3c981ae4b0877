"""Contracts: what each customer may use, and with which priority.

Each customer has one contract, a document of JSON with comments, from which the
proxy computes every limit that it enforces for the customer. Constraints on single
fields are in the annotations; `parse_contract` reports all problems of a document at
once.
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
from celeryjunction.scram import verifier_error

MAX_SHED_DAYS = 30
"""Longest validity of a shed order, in days after its signing."""

# Decimal shares such as 0.7 + 0.2 + 0.1 do not sum to exactly 1 in binary.
_SHARE_TOLERANCE = 1e-9


class Acknowledgement(Enum):
    """What the proxy must prove before it acknowledges a write.

    `PROVEN`: at some time after the commit, the primary had not been replaced.
    `REPLICATED`: in addition, a majority of the group has received the commit.
    """

    PROVEN = "proven"
    REPLICATED = "replicated"


def _time_error(text: str) -> str | None:
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        return f"{text!r} is not an ISO 8601 time"
    return None if time.tzinfo else f"{text!r} has no offset from UTC"


def _text_error(text: str) -> str | None:
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
"""Name of a customer, database, work class, VM, zone or endpoint."""

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
        extra={"wanted": "a text of 1 to 500 characters", "check": _text_error},
    ),
]
_Time = Annotated[
    str,
    Meta(
        extra={
            "wanted": "an ISO 8601 time with offset, such as 2030-01-31T08:00:00+08:00",
            "check": _time_error,
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
            "check": verifier_error,
        }
    ),
]


class WorkClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of a customer's work, selected at login or by ``SET``.

    A client logs in as ``customer`` (default class) or ``customer.work``, or runs
    ``SET celeryjunction.work = 'name'``. Only the classes of the contract can be
    selected, so a client cannot obtain a rank that the contract does not grant.
    """

    rank: RankName = "interactive"
    staleness_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    """Maximum staleness of reads; 0 requires read-your-writes."""
    deadline_ms: _Milliseconds = 10_000
    """Maximum time from the arrival of a statement to its answer."""
    repeatable: bool = False
    """Whether writes are idempotent, that is, may run more than once."""

    @property
    def rank_value(self) -> Rank:
        """The rank as an enum member."""
        return Rank[self.rank.upper()]


class ShedOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A director's signed permission, with an expiry, to refuse a customer's work."""

    id: _Text
    signed_by: _Text
    reason: _Text
    signed_at: _Time
    """ISO 8601 time with offset."""
    expires_at: _Time
    """ISO 8601 time with offset."""
    lowest_rank: RankName = "background"
    """Most urgent rank whose work may be refused; less urgent ranks may be, too."""

    def covers(self, rank: Rank, now: datetime) -> bool:
        """Return whether work of `rank` may be refused at `now` (with UTC offset)."""
        if rank < Rank[self.lowest_rank.upper()]:
            return False
        return _parse_time(self.signed_at) <= now < _parse_time(self.expires_at)


@lru_cache(maxsize=1024)
def _parse_time(text: str) -> datetime:
    return datetime.fromisoformat(text)


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The limits, credentials and work classes of one customer."""

    customer: Name
    databases: Annotated[tuple[Name, ...], Meta(min_length=1)]
    verifier: _Verifier
    """SCRAM verifier, ``SCRAM-SHA-256$<iterations>:<salt>$<stored>:<server>``."""
    work: Annotated[dict[Name, WorkClass], Meta(min_length=1)]
    default_work: Name
    shares: dict[RankName, Share]
    """Fraction of each endpoint's time reserved for this customer under overload, by
    rank."""
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 10
    """Maximum number of connections that the customer's work holds per endpoint."""
    idle_transaction_ms: Annotated[int, Meta(ge=100, le=3_600_000)] = 10_000
    acknowledgement: Acknowledgement = Acknowledgement.REPLICATED
    shed_orders: tuple[ShedOrder, ...] = ()

    def work_class(self, name: str | None) -> WorkClass:
        """Return a work class by name, or the default class for None.

        Raises `KeyError` if the contract has no class of this name.
        """
        return self.work[self.default_work if name is None else name]

    def active_shed_order(self, rank: Rank, now: datetime) -> ShedOrder | None:
        """Return the shed order that permits refusing work of `rank` at `now`.

        `now` has a UTC offset. If several orders apply, the one that expires last is
        returned. None means that no order applies and the work has to wait.
        """
        covering = [order for order in self.shed_orders if order.covers(rank, now)]
        return max(covering, key=lambda o: _parse_time(o.expires_at), default=None)

    def __rich_repr__(self) -> Iterator[tuple[str, Any]]:
        return hide_fields(self, "verifier")

    def __repr__(self) -> str:
        fields = ", ".join(f"{k}={v!r}" for k, v in self.__rich_repr__())
        return f"Contract({fields})"


class ContractError(DocumentError):
    """A contract is invalid; `problems` lists the reasons by field."""


def parse_user(user: str) -> tuple[str, str | None]:
    """Split a user name ``customer.work`` into customer and work class.

    The work class is None if the user name has no dot, which selects the default
    class.
    """
    customer, dot, work = user.partition(".")
    return customer, work if dot else None


def parse_contract(text: str, *, comments: bool = True) -> Contract:
    """Parse a contract from JSON with comments.

    Raises `ContractError` with all problems. `check_against` checks what depends on
    other documents. The key-value service holds plain JSON: pass ``comments=False``
    to reject a corrupt document at once, because parsing it as JSON with comments can
    take seconds.
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
    """Check a contract against the other contracts and the database groups.

    `others` may include an older contract of the same customer, which is ignored.
    """
    records = {group.name: group for group in groups}
    other_contracts = [other for other in others if other.customer != contract.customer]
    problems: list[Problem] = []
    for index, database in enumerate(contract.databases):
        field_path = f"databases[{index}]"
        if database not in records:
            known = ", ".join(sorted(records)) or "none"
            message = f"there is no database {database}"
            problems.append(Problem(field_path, message, f"known databases: {known}"))
            continue
        problems += _check_connections(contract, records[database])
        problems += _check_shares(contract, other_contracts, database)
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
    contract: Contract, other_contracts: list[Contract], database: str
) -> Iterator[Problem]:
    sharing = [other for other in other_contracts if database in other.databases]
    taken_share = math.fsum(
        share for other in sharing for share in other.shares.values()
    )
    own_share = math.fsum(contract.shares.values())
    if sharing and own_share + taken_share > 1 + _SHARE_TOLERANCE:
        names = ", ".join(sorted(other.customer for other in sharing))
        message = (
            f"shares of {own_share:g} and {taken_share:g} of {names} for database "
            f"{database} sum to {own_share + taken_share:g}, more than 1; they "
            "cannot all be kept"
        )
        remedy = f"lower the shares to a sum of at most {max(0.0, 1 - taken_share):g}"
        yield Problem("shares", message, remedy)


@cross_check(Contract)
def _check_contract(fields: Mapping[str, Any]) -> Iterator[Problem]:
    work, shares = fields.get("work"), fields.get("shares")
    default = fields.get("default_work")
    if work is not None and default is not None and default not in work:
        message = f"work has no class {default}"
        remedy = f"give one of {', '.join(work)}, or add it to work"
        yield Problem("default_work", message, remedy)
    if shares is not None:
        yield from _check_own_shares(work or {}, shares)
    yield from _check_duplicates("databases", fields.get("databases", ()))
    order_ids = [order.id for order in fields.get("shed_orders", ())]
    yield from _check_duplicates("shed_orders", order_ids)


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


def _check_duplicates(field_path: str, values: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, value in enumerate(values):
        if value in seen:
            message = f"{value} is given twice"
            yield Problem(f"{field_path}[{index}]", message, "remove one of them")
        seen.add(value)


@cross_check(ShedOrder)
def _check_shed_order(fields: Mapping[str, Any]) -> Iterator[Problem]:
    if "signed_at" not in fields or "expires_at" not in fields:
        return
    signed, expires = (
        _parse_time(fields["signed_at"]),
        _parse_time(fields["expires_at"]),
    )
    if expires <= signed:
        message = f"{fields['expires_at']} is not after signed_at {fields['signed_at']}"
        yield Problem("expires_at", message, "give a later time")
    elif expires - signed > timedelta(days=MAX_SHED_DAYS):
        message = f"is more than {MAX_SHED_DAYS} days after signed_at"
        yield Problem("expires_at", message, "give an earlier time")
