"""The database groups and the contracts, as the key-value service last gave them.

`StoreDirectory` decodes them from two copies that `PrefixFollower` keeps.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple

import msgspec

from celeryjunction.contracts_store import (
    CONTRACTS,
    StoredContract,
    Validate,
    decode_envelope,
)
from celeryjunction.follower import PrefixFollower, Sleep, decode_record
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    GroupRecord,
    KeyValueStore,
    StoreUnavailable,
    WatchEvent,
)

GROUPS = "/groups/"
_DECODED_GROUPS = 256
"""Group records kept decoded, for the databases in use."""
_log = get_logger("directory")


class _StoredGroup(NamedTuple):
    """A group record as stored; a decoded one takes three times the memory."""

    value: bytes
    term: int
    revision: int


class StoreDirectory:
    """Database groups and contracts from the key-value service.

    The last known records stay during an outage. A group never goes back to an older
    term, and a record that cannot be decoded is ignored with an alarm, while the last
    good one stays. A contract also stays when its key is deleted, because refusing a
    customer needs more than a missing key.

    `check_contract` returns the problems of a document; a contract with problems
    counts as one that cannot be decoded.
    """

    __slots__ = (
        "_check_contract",
        "_contract_followers",
        "_contracts",
        "_decoded",
        "_group_followers",
        "_groups",
        "_ignored_contracts",
        "_last_contract",
        "_removed",
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
    ) -> None:
        self._store = store
        self._check_contract = check_contract
        self._groups: dict[str, _StoredGroup] = {}
        self._decoded: OrderedDict[str, GroupRecord] = OrderedDict()
        # The newest records of removed groups, whose term must not go back either.
        self._removed: dict[str, _StoredGroup] = {}
        self._contracts: dict[str, StoredContract] = {}
        self._ignored_contracts: dict[str, int] = {}
        self._last_contract = 0
        self._group_followers: list[Callable[[str, GroupRecord | None], None]] = []
        self._contract_followers: list[Callable[[StoredContract], None]] = []
        self.groups_follower = PrefixFollower(
            store,
            GROUPS,
            clock=clock,
            random=random,
            keep_values=False,
            sleep=sleep,
        )
        self.contracts_follower = PrefixFollower(
            store, CONTRACTS, clock=clock, random=random, sleep=sleep
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
        """Wait until groups and contracts were read once."""
        await self.groups_follower.synced.wait()
        await self.contracts_follower.synced.wait()

    @property
    def age_s(self) -> float:
        """Seconds since the older of the two copies was known to be current."""
        return max(self.groups_follower.age_s, self.contracts_follower.age_s)

    @property
    def groups(self) -> dict[str, GroupRecord]:
        """The groups as last known, by name; decodes them all."""
        return {name: _decode(stored) for name, stored in self._groups.items()}

    def has_database(self, database: str) -> bool:
        """Whether there is a group of this name, as last known."""
        return database in self._groups

    def set_vm_count(self, vms: int) -> None:
        """Spread calls after an outage over more time when there are many VMs."""
        self.groups_follower.set_vm_count(vms)
        self.contracts_follower.set_vm_count(vms)

    @property
    def contracts(self) -> dict[str, StoredContract]:
        """The contracts as last known, by customer."""
        return dict(self._contracts)

    @property
    def applied_revision(self) -> int:
        """All contract changes up to this revision are in force here.

        It stays below the revision of a contract that had to be ignored.
        """
        if self._ignored_contracts:
            return min(self._ignored_contracts.values()) - 1
        return self._last_contract

    def on_group(self, callback: Callable[[str, GroupRecord | None], None]) -> None:
        """Call back with name and record of each changed group, None for a removed."""
        self._group_followers.append(callback)

    def on_contract(self, callback: Callable[[StoredContract], None]) -> None:
        """Call back with each changed contract, after it is in `contracts`."""
        self._contract_followers.append(callback)

    def group(self, database: str) -> GroupRecord | None:
        """Return the last known record, which may lag; None for an unknown name."""
        record = self._decoded.get(database)
        if record is None and (stored := self._groups.get(database)) is not None:
            record = self._decoded[database] = _decode(stored)
            if len(self._decoded) > _DECODED_GROUPS:
                self._decoded.popitem(last=False)
        elif record is not None:
            self._decoded.move_to_end(database)
        return record

    def contract(self, customer: str) -> StoredContract | None:
        """Return the last known contract; None for an unknown customer."""
        return self._contracts.get(customer)

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Read the record from the platform; `timeout` is in seconds.

        Raises `StoreUnavailable` also when the record is missing, cannot be decoded
        or is older than one already seen, because then it proves nothing.
        """
        key = GROUPS + database
        item = await self._store.get(key, timeout=timeout)
        record = _decode_group(item.key, item.value) if item else None
        if record is None:
            raise StoreUnavailable(f"no usable record at {key}")
        if not self._take_group(record, item.value, item.revision):
            raise StoreUnavailable(f"the record at {key} is older than a known one")
        return record

    def _group_changed(self, event: WatchEvent) -> None:
        name = event.key.removeprefix(GROUPS)
        if event.value is None:
            if (stored := self._groups.pop(name, None)) is not None:
                self._removed[name] = stored._replace(value=b"")
                self._decoded.pop(name, None)
                self._tell_group(name, None)
            return
        record = _decode_group(event.key, event.value)
        if record is not None:
            self._take_group(record, event.value, event.revision)

    def _take_group(self, record: GroupRecord, value: bytes, revision: int) -> bool:
        """Keep a record, unless a newer one was already seen."""
        name = record.name
        stored = self._groups.get(name)
        _, term, known_revision = stored or self._removed.get(name, _NO_GROUP)
        if record.term < term:
            _log.error(
                "term_went_back",
                alarm=1,
                group=record.name,
                known=term,
                term=record.term,
                revision=revision,
            )
        if record.term < term or revision < known_revision:
            return False
        same = stored is not None and (
            value == stored.value or record == _decode(stored)
        )
        self._removed.pop(name, None)
        self._groups[name] = _StoredGroup(value, record.term, revision)
        if not same:
            self._decoded.pop(name, None)
            self._tell_group(name, record)
        return True

    def _tell_group(self, name: str, record: GroupRecord | None) -> None:
        for callback in self._group_followers:
            callback(name, record)

    def _contract_changed(self, event: WatchEvent) -> None:
        customer = event.key.removeprefix(CONTRACTS)
        contract = self._usable_contract(customer, event)
        if contract is None:
            # No accepted change deletes a contract, so a deletion is not waited for.
            if event.value is not None:
                self._ignored_contracts.setdefault(customer, event.revision)
            return
        self._contracts[customer] = contract
        try:
            for callback in self._contract_followers:
                callback(contract)
        except Exception:
            self._ignored_contracts.setdefault(customer, event.revision)
            raise
        self._ignored_contracts.pop(customer, None)
        self._last_contract = max(self._last_contract, event.revision)

    def _usable_contract(
        self, customer: str, event: WatchEvent
    ) -> StoredContract | None:
        if event.value is None:
            problems = ["the key was deleted"]
        else:
            try:
                envelope = decode_envelope(event.value)
                problems = self._check_contract(envelope.document)
            except (msgspec.MsgspecError, UnicodeDecodeError) as error:
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


def _decode(stored: _StoredGroup) -> GroupRecord:
    return msgspec.json.decode(stored.value, type=GroupRecord)


def _decode_group(key: str, value: bytes) -> GroupRecord | None:
    record = decode_record(GROUPS, key, value, GroupRecord)
    if isinstance(record, str):
        _log.error("group_ignored", alarm=1, key=key, reason=record)
        return None
    return record


class StaticDirectory:
    """Database groups from settings, without a key-value service."""

    __slots__ = ("_groups",)

    def __init__(self, records: Iterable[GroupRecord]) -> None:
        self._groups = {record.name: record for record in records}

    def has_database(self, database: str) -> bool:
        """Whether there is a group of this name."""
        return database in self._groups

    def group(self, database: str) -> GroupRecord | None:
        """Return the record of the settings; None for an unknown name."""
        return self._groups.get(database)

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Raise `StoreUnavailable`: settings prove nothing about the present."""
        raise StoreUnavailable("there is no key-value service in the settings")
