"""Database groups and contracts, as last received from the key-value service.

`StoreDirectory` decodes them from the changes of two `PrefixFollower`s.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple

import msgspec

from celeryjunction.contracts_store import (
    CONTRACT_PREFIX,
    StoredContract,
    Validate,
    decode_envelope,
)
from celeryjunction.decoding import DecodingError
from celeryjunction.follower import PrefixFollower, Sleep, decode_record
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    GroupRecord,
    KeyValueStore,
    StoreUnavailable,
    WatchEvent,
)
from celeryjunction.store_history import StoreHistory

GROUP_PREFIX = "/groups/"
_MAX_DECODED_GROUPS = 256
"""Number of group records cached in decoded form, for the databases in use."""
_log = get_logger("directory")


class _StoredGroup(NamedTuple):
    """An encoded group record; a decoded one takes three times the memory."""

    value: bytes
    term: int
    revision: int


class StoreDirectory:
    """Database groups and contracts from the key-value service.

    The last known records stay in use during an outage. A group never returns to an
    older term. A record that cannot be decoded is ignored with an alarm, and the last
    valid one stays in use. A contract stays in use also when its key is deleted: a
    missing key is not enough to refuse a customer.

    `check_contract` returns the problems of a document; a contract with problems is
    treated like one that cannot be decoded.
    """

    __slots__ = (
        "_check_contract",
        "_contract_listeners",
        "_contracts",
        "_decoded",
        "_group_listeners",
        "_groups",
        "_history",
        "_ignored_contracts",
        "_last_contract_revision",
        "_removed_groups",
        "_store",
        "contracts_follower",
        "groups_follower",
    )

    def __init__(
        self,
        store: KeyValueStore,
        *,
        clock: Clock,
        random: Random,
        check_contract: Validate = lambda _: [],
        sleep: Sleep = asyncio.sleep,
        history: StoreHistory | None = None,
    ) -> None:
        self._store = store
        self._history = history or StoreHistory()
        self._check_contract = check_contract
        self._groups: dict[str, _StoredGroup] = {}
        self._decoded: OrderedDict[str, GroupRecord] = OrderedDict()
        # Terms and revisions of removed groups, which must not decrease either.
        self._removed_groups: dict[str, _StoredGroup] = {}
        self._contracts: dict[str, StoredContract] = {}
        self._ignored_contracts: dict[str, int] = {}
        self._last_contract_revision = 0
        self._group_listeners: list[Callable[[str, GroupRecord | None], None]] = []
        self._contract_listeners: list[Callable[[StoredContract], None]] = []
        self.groups_follower = PrefixFollower(
            store,
            GROUP_PREFIX,
            clock=clock,
            random=random,
            keep_values=False,
            sleep=sleep,
        )
        self.contracts_follower = PrefixFollower(
            store, CONTRACT_PREFIX, clock=clock, random=random, sleep=sleep
        )
        self.groups_follower.subscribe(self._group_changed)
        self.contracts_follower.subscribe(self._contract_changed)

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "groups", len(self._groups)
        yield "contracts", len(self._contracts)
        yield "age_s", self.age_s

    async def run(self) -> None:
        """Follow groups and contracts until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.groups_follower.run())
            tasks.create_task(self.contracts_follower.run())

    async def synced(self) -> None:
        """Wait until groups and contracts have been listed once."""
        await self.groups_follower.synced.wait()
        await self.contracts_follower.synced.wait()

    @property
    def age_s(self) -> float:
        """Seconds since the service last answered, of the staler follower."""
        return max(self.groups_follower.age_s, self.contracts_follower.age_s)

    @property
    def groups(self) -> dict[str, GroupRecord]:
        """The last known groups by name; decodes all of them."""
        return {name: _decode_stored(stored) for name, stored in self._groups.items()}

    def has_database(self, database: str) -> bool:
        """Return whether a group of this name was last known to exist."""
        return database in self._groups

    def set_vm_count(self, vms: int) -> None:
        """Spread calls after an outage, see `PrefixFollower.set_vm_count`."""
        self.groups_follower.set_vm_count(vms)
        self.contracts_follower.set_vm_count(vms)

    @property
    def contracts(self) -> dict[str, StoredContract]:
        """The last known contracts by customer."""
        return dict(self._contracts)

    @property
    def applied_revision(self) -> int:
        """Revision up to which all contract changes are in force in this process.

        This stays below the revision of any contract that had to be ignored. It is 0
        once the service was restored from a copy, as changes with a known revision are
        not seen until the process is restarted.
        """
        if self._history.is_restored:
            return 0
        if self._ignored_contracts:
            return min(self._ignored_contracts.values()) - 1
        return self._last_contract_revision

    def on_group_change(
        self, callback: Callable[[str, GroupRecord | None], None]
    ) -> None:
        """Call `callback` with name and record of changed groups; None if removed."""
        self._group_listeners.append(callback)

    def on_contract_change(self, callback: Callable[[StoredContract], None]) -> None:
        """Call `callback` with each changed contract, after `contracts` has it."""
        self._contract_listeners.append(callback)

    def group(self, database: str) -> GroupRecord | None:
        """Return the last known record, possibly stale; None for an unknown name."""
        record = self._decoded.get(database)
        if record is None and (stored := self._groups.get(database)) is not None:
            record = self._decoded[database] = _decode_stored(stored)
            if len(self._decoded) > _MAX_DECODED_GROUPS:
                self._decoded.popitem(last=False)
        elif record is not None:
            self._decoded.move_to_end(database)
        return record

    def contract(self, customer: str) -> StoredContract | None:
        """Return the last known contract; None for an unknown customer."""
        return self._contracts.get(customer)

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Read the record from the key-value service; `timeout` is in seconds.

        Raises `StoreUnavailable` also if the record is missing, cannot be decoded or is
        older than a known one, because it then proves nothing about the present.
        """
        key = GROUP_PREFIX + database
        item = await self._store.get(key, timeout=timeout)
        record = _decode_group(item.key, item.value) if item else None
        if record is None:
            raise StoreUnavailable(f"no usable record at {key}")
        if not self._store_group(record, item.value, item.revision):
            raise StoreUnavailable(f"the record at {key} is older than the known one")
        return record

    def _group_changed(self, event: WatchEvent) -> None:
        name = event.key.removeprefix(GROUP_PREFIX)
        if event.value is None:
            if (stored := self._groups.pop(name, None)) is not None:
                self._removed_groups[name] = stored._replace(value=b"")
                self._decoded.pop(name, None)
                self._notify_group(name, None)
            return
        record = _decode_group(event.key, event.value)
        if record is not None:
            self._store_group(record, event.value, event.revision)

    def _store_group(self, record: GroupRecord, value: bytes, revision: int) -> bool:
        """Store a record unless a newer one is known; return whether it was stored."""
        name = record.name
        stored = self._groups.get(name)
        _, known_term, known_revision = stored or self._removed_groups.get(
            name, _NO_GROUP
        )
        if record.term < known_term:
            _log.error(
                "term_went_back",
                alarm=1,
                group=record.name,
                known=known_term,
                term=record.term,
                revision=revision,
            )
        if record.term < known_term or revision < known_revision:
            return False
        is_unchanged = stored is not None and (
            value == stored.value or record == _decode_stored(stored)
        )
        self._removed_groups.pop(name, None)
        self._groups[name] = _StoredGroup(value, record.term, revision)
        if not is_unchanged:
            self._decoded.pop(name, None)
            self._notify_group(name, record)
        return True

    def _notify_group(self, name: str, record: GroupRecord | None) -> None:
        for callback in self._group_listeners:
            callback(name, record)

    def _contract_changed(self, event: WatchEvent) -> None:
        customer = event.key.removeprefix(CONTRACT_PREFIX)
        contract = self._usable_contract(customer, event)
        if contract is None:
            # Contract changes never delete a key, so a deletion does not hold back the
            # applied revision.
            if event.value is not None:
                self._ignored_contracts.setdefault(customer, event.revision)
            return
        self._contracts[customer] = contract
        try:
            for callback in self._contract_listeners:
                callback(contract)
        except Exception:
            self._ignored_contracts.setdefault(customer, event.revision)
            raise
        self._ignored_contracts.pop(customer, None)
        self._last_contract_revision = max(self._last_contract_revision, event.revision)

    def _usable_contract(
        self, customer: str, event: WatchEvent
    ) -> StoredContract | None:
        if event.value is None:
            problems = ["the key was deleted"]
        else:
            try:
                envelope = decode_envelope(event.value)
                problems = self._check_contract(envelope.document)
            except DecodingError as error:
                problems = [str(error)]
        if not problems:
            return StoredContract(
                customer, envelope.document, event.revision, envelope.change_id
            )
        _log.error(
            "contract_ignored",
            alarm=1,
            customer=customer,
            revision=event.revision,
            reason=problems[0],
        )
        return None


_NO_GROUP = _StoredGroup(b"", 0, 0)


def _decode_stored(stored: _StoredGroup) -> GroupRecord:
    return msgspec.json.decode(stored.value, type=GroupRecord)


def _decode_group(key: str, value: bytes) -> GroupRecord | None:
    record = decode_record(GROUP_PREFIX, key, value, GroupRecord)
    if isinstance(record, str):
        _log.error("group_ignored", alarm=1, key=key, reason=record)
        return None
    return record


class StaticDirectory:
    """Database groups from the settings, without a key-value service."""

    __slots__ = ("_groups",)

    def __init__(self, records: Iterable[GroupRecord]) -> None:
        self._groups = {record.name: record for record in records}

    def has_database(self, database: str) -> bool:
        """Return whether there is a group of this name."""
        return database in self._groups

    def group(self, database: str) -> GroupRecord | None:
        """Return the record from the settings; None for an unknown name."""
        return self._groups.get(database)

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Raise `StoreUnavailable`: settings prove nothing about the present state."""
        raise StoreUnavailable("no key-value service is configured")
