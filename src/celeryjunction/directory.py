"""What the platform's key-value service says, followed and kept during outages.

`PrefixFollower` keeps a copy of the keys under a prefix. `StoreDirectory` decodes the
database groups and the contracts from two such copies.
"""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Iterable, Iterator
from random import Random
from typing import NamedTuple, TypeVar

import msgspec

from celeryjunction.contracts_store import (
    CONTRACTS,
    StoredContract,
    Validate,
    decode_envelope,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    GroupRecord,
    KeyValue,
    KeyValueList,
    KeyValueStore,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)

GROUPS = "/groups/"
_LIST_TIMEOUT_S = 5.0
_MAX_LIST_TIMEOUT_S = 60.0
"""The time for a list doubles up to this after each failure. When all VMs list 33,000
groups at once, 5 s may be too short for all of them, for ever."""
RECONNECTS_PER_S = 1_500
"""Calls a second that all VMs together make to the service after an outage."""
FOLLOWERS = 3
"""Prefixes that each VM follows."""
_DECODED_GROUPS = 256
"""Group records kept decoded, for the databases in use."""
_log = get_logger("directory")

T = TypeVar("T")
OnChange = Callable[[WatchEvent], None]
Sleep = Callable[[float], Awaitable[None]]


class PrefixFollower:
    """Follows all keys under a prefix of the key-value service.

    It lists the keys once, then watches from the listed revision on. After a break
    it resumes the watch at the revision where it stopped, with jittered back-off; it
    lists again only if the changes in between are no longer kept. Each change is
    given to the subscribers once and in order; a key that vanished between two lists
    is given as a deletion. An answer older than what is already known is ignored.

    `max_backoff_s` bounds the pause between two attempts, in seconds. Its default
    leaves a contract change time to be in force 3 s after an outage. `spread_over`
    makes it longer with many VMs.

    With `keep_values=False` only the keys are kept, for subscribers that keep the
    values in a form of their own.
    """

    __slots__ = (
        "_base_backoff_s",
        "_clock",
        "_failures",
        "_items",
        "_keep_values",
        "_last_contact",
        "_max_backoff_s",
        "_needs_list",
        "_prefix",
        "_random",
        "_revision",
        "_revisions",
        "_sleep",
        "_spread_s",
        "_store",
        "_subscribers",
        "synced",
    )

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        *,
        clock: Clock,
        random: Random,
        base_backoff_s: float = 0.1,
        max_backoff_s: float = 1.5,
        keep_values: bool = True,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._random = random
        self._base_backoff_s = base_backoff_s
        self._max_backoff_s = max_backoff_s
        self._sleep = sleep
        self._subscribers: list[OnChange] = []
        self._keep_values = keep_values
        self._spread_s = 0.0
        self._items: dict[str, KeyValue] = {}
        self._revisions: dict[str, int] = {}
        self._revision = 0
        self._failures = 0
        self._last_contact = -math.inf
        self._needs_list = True
        self.synced = asyncio.Event()

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "prefix", self._prefix
        yield "revision", self._revision
        yield "keys", len(self._revisions)
        yield "age_s", self.age_s

    @property
    def revision(self) -> int:
        """Revision of the service up to which all changes are known."""
        return self._revision

    @property
    def age_s(self) -> float:
        """Seconds since the service last gave a sign of life; infinite before."""
        return self._clock.monotonic() - self._last_contact

    @property
    def items(self) -> dict[str, KeyValue]:
        """The keys as last known; empty with `keep_values=False`."""
        return dict(self._items)

    def subscribe(self, on_change: OnChange) -> None:
        """Call back for every change from now on."""
        self._subscribers.append(on_change)

    def spread_over(self, vms: int) -> None:
        """Spread calls after a break over the time that so many VMs need for theirs.

        That is 4.6 s with 2,300 VMs, and twice as much after a failed attempt.
        """
        self._spread_s = FOLLOWERS * vms / RECONNECTS_PER_S

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                if self._needs_list:
                    await self._relist()
                await self._follow()
            except WatchCompacted as error:
                self._needs_list = True
                _log.warning(
                    "watch_compacted",
                    prefix=self._prefix,
                    revision=self._revision,
                    reason=str(error),
                )
            except (StoreUnavailable, StoreRefused) as error:
                _log.warning(
                    "watch_broken",
                    prefix=self._prefix,
                    revision=self._revision,
                    failures=self._failures,
                    reason=str(error),
                )
            await self._back_off()

    async def _back_off(self) -> None:
        first = self._failures == 0
        longest = self._base_backoff_s * 2 ** min(self._failures, 16)
        self._failures += 1
        ceiling = min(self._max_backoff_s, longest)
        if first and self._spread_s > ceiling:
            pause = self._random.uniform(0.0, self._spread_s)
        else:
            ceiling = max(ceiling, 2 * self._spread_s)
            pause = self._random.uniform(ceiling / 2, ceiling)
        await self._sleep(pause)

    async def _relist(self) -> None:
        timeout = _LIST_TIMEOUT_S * 2 ** min(self._failures, 16)
        listed = await self._store.list(
            self._prefix, timeout=min(timeout, _MAX_LIST_TIMEOUT_S)
        )
        if listed.revision < self._revision:
            _log.error(
                "store_went_back",
                alarm=1,
                prefix=self._prefix,
                known=self._revision,
                listed=listed.revision,
            )
            raise StoreUnavailable("the service answered with an older revision")
        self._touch()
        for event in self._differences(listed):
            self._apply(event)
        self._revision = listed.revision
        self._needs_list = False
        self.synced.set()

    def _differences(self, listed: KeyValueList) -> list[WatchEvent]:
        """Return what changed between the known keys and a list, by revision."""
        present = {item.key for item in listed.items}
        changed = [
            WatchEvent(item.key, item.value, item.revision)
            for item in sorted(listed.items, key=lambda item: item.revision)
            if item.revision > self._revisions.get(item.key, 0)
        ]
        gone = sorted(self._revisions.keys() - present)
        return changed + [WatchEvent(key, None, listed.revision) for key in gone]

    async def _follow(self) -> None:
        events = self._store.watch(self._prefix, start_revision=self._revision + 1)
        try:
            async for event in events:
                self._touch()
                # A note's revision is not taken over: services are known to send
                # notes ahead of changes that a watch has yet to catch up with.
                if event.key and event.revision >= self._revision:
                    self._apply(event)
                    self._revision = event.revision
        finally:
            if hasattr(events, "aclose"):
                await events.aclose()
        raise StoreUnavailable("the watch ended")

    def _touch(self) -> None:
        self._last_contact = self._clock.monotonic()
        self._failures = 0

    def _apply(self, event: WatchEvent) -> None:
        if event.revision <= self._revisions.get(event.key, 0):
            return
        if event.value is None:
            self._items.pop(event.key, None)
            if self._revisions.pop(event.key, None) is None:
                return
        else:
            self._revisions[event.key] = event.revision
            if self._keep_values:
                self._items[event.key] = KeyValue(*event)
        for subscriber in self._subscribers:
            try:
                subscriber(event)
            except Exception as error:
                # One bad record must not end the following of all others.
                _log.error(
                    "subscriber_failed",
                    alarm=1,
                    store_key=event.key,
                    revision=event.revision,
                    reason=repr(error),
                )


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

    def knows(self, database: str) -> bool:
        """Whether there is a group of this name, as last known."""
        return database in self._groups

    def spread_over(self, vms: int) -> None:
        """Spread calls after an outage over more time when there are many VMs."""
        self.groups_follower.spread_over(vms)
        self.contracts_follower.spread_over(vms)

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


def decode_named(prefix: str, key: str, value: bytes, kind: type[T]) -> T | str:
    """Decode a record whose key is `prefix` and its name; return what is wrong else."""
    try:
        record = msgspec.json.decode(value, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return str(error)
    return record if prefix + record.name == key else f"it names {record.name}"


def _decode_group(key: str, value: bytes) -> GroupRecord | None:
    record = decode_named(GROUPS, key, value, GroupRecord)
    if isinstance(record, str):
        _log.error("group_ignored", alarm=1, key=key, reason=record)
        return None
    return record


class StaticDirectory:
    """Database groups from settings, without a key-value service."""

    __slots__ = ("_groups",)

    def __init__(self, records: Iterable[GroupRecord]) -> None:
        self._groups = {record.name: record for record in records}

    def knows(self, database: str) -> bool:
        """Whether there is a group of this name."""
        return database in self._groups

    def group(self, database: str) -> GroupRecord | None:
        """Return the record of the settings; None for an unknown name."""
        return self._groups.get(database)

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Raise `StoreUnavailable`: settings prove nothing about the present."""
        raise StoreUnavailable("there is no key-value service in the settings")
