"""Contract changes in the key-value service, with an audit trail.

A change is one transaction that replaces the contract and writes an audit entry. It
succeeds only if the contract still has the revision on which the change is based. Each
change has a unique id, by which it is found in the audit trail if the answer of the
service was lost. For example:

    outcome = await contracts.set(
        "co-op", text, base_revision=41, change_id="c-7", author="mei", reason="fair"
    )
    match outcome:
        case Accepted(revision=revision): ...
        case Conflict(current=current, diff=diff): ...
"""

from __future__ import annotations

import asyncio
import difflib
from collections.abc import Awaitable, Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

import json5
import msgspec

from celeryjunction.decoding import DecodingError, decode
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Compare,
    KeyValue,
    KeyValueStore,
    Put,
    StoreRefused,
    StoreUnavailable,
)

CONTRACT_PREFIX = "/contracts/"
AUDIT_PREFIX = "/audit/"
MAX_AUDIT_ENTRIES = 200
"""Maximum number of audit entries for each customer; older ones are deleted."""
# etcd allows 128 operations in a transaction, and a change itself needs a few.
_MAX_DELETES_PER_CHANGE = 100
_CALL_TIMEOUT_S = 2.0
_RETRY_DELAY_S = 0.2
_log = get_logger("contracts_store")

Validate = Callable[[str], list[str]]
"""Returns the problems of a contract document, each with a remedy."""


class ContractEnvelope(msgspec.Struct, frozen=True):
    """The value of ``/contracts/CUSTOMER``; `time` is in seconds since the epoch."""

    change_id: str
    author: str
    reason: str
    time: float
    document: str


class AuditEntry(msgspec.Struct, frozen=True):
    """The value of ``/audit/CUSTOMER/NUMBER``: who changed what, when and why.

    `before` is None for a customer's first contract. `shed_signers` lists the signers
    of the shed orders in the new document.
    """

    customer: str
    change_id: str
    author: str
    reason: str
    time: float
    base_revision: int
    before: str | None
    after: str
    shed_signers: tuple[str, ...] = ()


class AuditRecord(msgspec.Struct, frozen=True):
    """A stored audit entry; `revision` is that of the contract version it created."""

    key: str
    revision: int
    entry: AuditEntry


class StoredContract(msgspec.Struct, frozen=True):
    """A stored contract document; `change_id` is empty if the record is unreadable."""

    customer: str
    text: str
    revision: int
    change_id: str


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is stored; `revision` is the new revision of the contract."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change came first; `diff` is from the current to the refused text."""

    current: StoredContract | None
    diff: str


@dataclass(frozen=True, slots=True)
class Rejected:
    """The document or the request is invalid, and nothing was changed."""

    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NotApplied:
    """The change was never sent, because the service could not be read in time."""

    reason: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The change was sent and may still take effect; repeat it with the same id."""

    reason: str


SetOutcome = Accepted | Conflict | Rejected | NotApplied | Unknown


class AppliedRevision(Protocol):
    """The attributes of a VM's record that `lagging_vms` uses."""

    @property
    def name(self) -> str:
        """Name of the VM."""
        ...

    @property
    def applied_revision(self) -> int:
        """Revision up to which all contract changes are in force on the VM."""
        ...


class _ChangeRequest(msgspec.Struct, frozen=True):
    customer: str
    text: str
    base_revision: int
    change_id: str
    author: str
    reason: str


class _Snapshot(msgspec.Struct, frozen=True):
    """A customer's contract and audit trail, as read from the service."""

    current: StoredContract | None
    trail: tuple[AuditRecord, ...]

    @property
    def revision(self) -> int:
        return self.current.revision if self.current else 0

    @property
    def next_audit_number(self) -> int:
        """Number of the next audit entry: the revision that the change replaces.

        The number exceeds all earlier ones, even if the contract was deleted or changed
        by other means.
        """
        newest = self.trail[-1].revision if self.trail else 0
        return max(self.revision, newest)

    def find_applied(self, change_id: str) -> AuditRecord | None:
        return next((r for r in self.trail if r.entry.change_id == change_id), None)

    def is_truncated_after(self, base_revision: int) -> bool:
        """Return whether entries after the base revision may have been deleted."""
        full = len(self.trail) >= MAX_AUDIT_ENTRIES
        return full and self.trail[0].entry.base_revision > base_revision


class ContractStore:
    """Reads and changes contracts in the key-value service.

    `validate` returns the problems of a document. `sleep` takes seconds and is called
    between attempts.
    """

    __slots__ = ("_clock", "_random", "_sleep", "_store", "_validate")

    def __init__(
        self,
        store: KeyValueStore,
        *,
        clock: Clock,
        validate: Validate,
        random: Random | None = None,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._validate = validate
        self._random = random or Random()
        self._sleep = sleep

    async def get(self, customer: str) -> StoredContract | None:
        """Read a customer's contract; raises `StoreUnavailable`."""
        item = await self._store.get(CONTRACT_PREFIX + customer)
        return stored_contract(item) if item else None

    async def history(self, customer: str) -> tuple[StoredContract, ...]:
        """Return the versions of a contract in its audit trail, oldest first."""
        return tuple(
            StoredContract(
                customer, record.entry.after, record.revision, record.entry.change_id
            )
            for record in await self.audit(customer)
        )

    async def audit(self, customer: str | None = None) -> tuple[AuditRecord, ...]:
        """Return the audit trail of one or all customers, oldest first for each."""
        prefix = AUDIT_PREFIX if customer is None else f"{AUDIT_PREFIX}{customer}/"
        listing = await self._store.list(prefix)
        return tuple(_audit_records(listing.items))

    async def set(
        self,
        customer: str,
        text: str,
        *,
        base_revision: int,
        change_id: str,
        author: str,
        reason: str,
        timeout: float = 10.0,
    ) -> SetOutcome:
        """Replace a customer's contract if it still has the base revision.

        A `base_revision` of 0 creates the contract. `timeout` is in seconds. Calls with
        the same change id are idempotent: the change takes effect at most once.
        """
        change = _ChangeRequest(
            customer, text, base_revision, change_id, author, reason
        )
        problems = _request_problems(change) or self._validate(text)
        if problems:
            return Rejected(tuple(problems))
        outcome = await self._apply_change(change, self._clock.monotonic() + timeout)
        _log.info(
            "contract_set",
            customer=customer,
            change=change_id,
            author=author,
            base_revision=base_revision,
            outcome=type(outcome).__name__,
        )
        return outcome

    async def _apply_change(
        self, change: _ChangeRequest, deadline: float
    ) -> SetOutcome:
        """Read, and send if the base is still current, until the outcome is known."""
        sent = unanswered = False
        failure = "no time left"
        while (remaining_s := deadline - self._clock.monotonic()) > 0:
            try:
                snapshot = await self._read_snapshot(
                    change.customer, min(remaining_s, _CALL_TIMEOUT_S)
                )
                outcome = _outcome_from(change, snapshot, sent)
                if outcome is not None:
                    return outcome
                transaction = self._build_transaction(change, snapshot)
                sent = True
                result = await self._store.compare_and_put(
                    *transaction, timeout=min(remaining_s, _CALL_TIMEOUT_S)
                )
                if result.succeeded:
                    return Accepted(result.revision)
            except StoreRefused as error:
                if not unanswered:
                    return Rejected((f"the key-value service refused it: {error}",))
                # An earlier attempt may have taken effect, or still may.
                failure = str(error)
            except StoreUnavailable as error:
                unanswered = sent
                failure = str(error)
            # After a failed compare or a lost answer, read again to learn the outcome.
            await self._sleep(self._random.uniform(0.5, 1.0) * _RETRY_DELAY_S)
        return Unknown(failure) if sent else NotApplied(failure)

    async def _read_snapshot(self, customer: str, timeout: float) -> _Snapshot:
        # The contract is read before the trail: a change that is applied between the
        # two reads is then in the trail, and makes the compare fail.
        item = await self._store.get(CONTRACT_PREFIX + customer, timeout=timeout)
        listing = await self._store.list(f"{AUDIT_PREFIX}{customer}/", timeout=timeout)
        current = stored_contract(item) if item else None
        return _Snapshot(current, tuple(_audit_records(listing.items)))

    def _build_transaction(
        self, change: _ChangeRequest, snapshot: _Snapshot
    ) -> tuple[list[Compare], list[Put]]:
        now = self._clock.wall()
        envelope = ContractEnvelope(
            change.change_id, change.author, change.reason, now, change.text
        )
        entry = AuditEntry(
            customer=change.customer,
            change_id=change.change_id,
            author=change.author,
            reason=change.reason,
            time=now,
            base_revision=change.base_revision,
            before=snapshot.current.text if snapshot.current else None,
            after=change.text,
            shed_signers=shed_signers(change.text),
        )
        key = CONTRACT_PREFIX + change.customer
        # Numbers have a fixed width so that keys sort by number.
        audit_key = f"{AUDIT_PREFIX}{change.customer}/{snapshot.next_audit_number:020d}"
        compares = [Compare(key, change.base_revision), Compare(audit_key, 0)]
        puts = [
            Put(key, msgspec.json.encode(envelope)),
            Put(audit_key, msgspec.json.encode(entry)),
        ]
        excess = len(snapshot.trail) + 1 - MAX_AUDIT_ENTRIES
        oldest = snapshot.trail[: min(max(0, excess), _MAX_DELETES_PER_CHANGE)]
        return compares, puts + [Put(record.key, None) for record in oldest]


def _outcome_from(
    change: _ChangeRequest, snapshot: _Snapshot, sent: bool
) -> SetOutcome | None:
    """Return the outcome that a snapshot proves, or None if the change may be sent."""
    record = snapshot.find_applied(change.change_id)
    if record is not None:
        if record.entry.after != change.text:
            return Rejected(
                (f"change id {change.change_id} names another change; use a new id",)
            )
        return Accepted(record.revision)
    if snapshot.revision == change.base_revision:
        return None
    if sent and snapshot.is_truncated_after(change.base_revision):
        return Unknown("the audit trail no longer reaches back to the base revision")
    current = snapshot.current.text if snapshot.current else ""
    return Conflict(snapshot.current, diff(current, change.text))


def _request_problems(change: _ChangeRequest) -> list[str]:
    problems = []
    if not change.customer or "/" in change.customer:
        problems.append(f'customer "{change.customer}" is empty or has a slash in it')
    for field in ("change_id", "author", "reason"):
        if not getattr(change, field).strip():
            problems.append(f"{field} is empty; every change needs one")
    return problems


_envelope = msgspec.json.Decoder(ContractEnvelope)
_audit_entry = msgspec.json.Decoder(AuditEntry)


def decode_envelope(value: bytes) -> ContractEnvelope:
    """Decode a contract record; raises `DecodingError`."""
    return decode(_envelope, value)


def stored_contract(item: KeyValue) -> StoredContract:
    """Return the contract of a record.

    A record that cannot be decoded is returned as raw text without a change id, so
    that operators can inspect and replace it.
    """
    customer = item.key.removeprefix(CONTRACT_PREFIX)
    try:
        envelope = decode_envelope(item.value)
    except DecodingError:
        raw = item.value.decode(errors="replace")
        return StoredContract(customer, raw, item.revision, "")
    return StoredContract(
        customer, envelope.document, item.revision, envelope.change_id
    )


def _audit_records(items: Sequence[KeyValue]) -> Iterator[AuditRecord]:
    for item in items:
        try:
            entry = decode(_audit_entry, item.value)
        except DecodingError as error:
            _log.error("audit_entry_ignored", alarm=1, key=item.key, reason=error)
            continue
        yield AuditRecord(item.key, item.revision, entry)


def shed_signers(text: str) -> tuple[str, ...]:
    """Return the signers of the shed orders of a contract document."""
    try:
        orders = json5.loads(text)["shed_orders"]
        return tuple(str(order["signed_by"]) for order in orders)
    except (ValueError, KeyError, TypeError, RecursionError):
        return ()


def diff(a: str, b: str) -> str:
    """Return a unified diff from one document to another, empty if they are equal."""
    return "\n".join(
        difflib.unified_diff(a.splitlines(), b.splitlines(), "a", "b", lineterm="")
    )


def lagging_vms(revision: int, vms: Iterable[AppliedRevision]) -> list[str]:
    """Return the names of the VMs that do not yet apply a contract revision, sorted."""
    return sorted(vm.name for vm in vms if vm.applied_revision < revision)
