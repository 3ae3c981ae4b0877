"""Endpoints of all groups, from the platform's register of heartbeats.

An endpoint's entry expires when its heartbeats stop, but also while the store is
unavailable, which a watch may not show. An endpoint whose entry is missing therefore
counts as lost only after `REREGISTER_S`, because running endpoints are listed again by
then. One that drained is expected to go and counts at once. An endpoint never stops to
drain: an entry of the same process that says otherwise is from an older copy of the
store.

The answer to a watch may have waited, and one that is lost looks like one without
changes. The entries are therefore confirmed only by reads, as of when these were sent:

    register.apply_changes(page.events, sent_at=sent_at)
    register.confirmed_age_s  # seconds since sent_at
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import suppress
from math import inf
from random import Random

import msgspec

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    KeyValue,
    KeyValueList,
    KeyValueStore,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)
from celeryjunction.replication.ports import EndpointInfo

RETRY_INTERVAL_S = 1.0
"""Interval between two lists while the store does not answer, and between two checks
whether another VM still passes the list on."""
REWATCH_PAUSE_S = 0.2
"""Pause before the register is listed again after its watch ended."""
LIST_TIMEOUT_S = 1.5
REREGISTER_S = 3.0
"""The platform lists running endpoints again about 2 s after the store returns."""
ANSWER_MARGIN_S = 0.5
"""The store counts as available, and a list of another VM as recent, for this much
longer than a watch without changes takes to answer."""
READ_AGE_S = 1.5
"""A VM reads the changes when the last read that confirmed the endpoints is older."""
MAX_DRAINED = 1000
"""Endpoints that drained and are remembered after they have left."""

_log = get_logger("register")

Decode = Callable[[KeyValue], EndpointInfo | str]
OnEndpoints = Callable[[dict[str, EndpointInfo]], None]


class EndpointRegister:
    """Follows the register and keeps the last known entries while it is unavailable.

    `watch_silence_s` is the longest time between two answers of a watch.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        *,
        decode: Decode,
        clock: Clock,
        random: Random,
        watch_silence_s: float = 3.5,
    ) -> None:
        self._max_age_s = watch_silence_s + ANSWER_MARGIN_S
        """Age up to which the last confirmation shows that the store is available."""
        self.endpoints: dict[str, EndpointInfo] = {}
        self.draining_since: dict[str, float] = {}
        """Instant before which each draining endpoint did not drain; seconds, 0 if none
        is known. The register may have said so since then, unseen by this VM."""
        self._drained: dict[tuple[str, int], float] = {}
        """The same by id and start time of each process that drained."""
        self.synced = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._random = random
        self._revision = 0
        self._peer_revisions: dict[str, int] = {}
        """Revision of the last list that each other VM passed on."""
        self._answered_at = 0.0
        self._read_at = -inf
        """When the last read of the store was sent that confirmed the entries."""
        self._reported_at = -inf
        """The same of the last read that another VM reported; seconds."""
        self._agreed_at = -inf
        """When all VMs that may replace a primary last knew the same; seconds."""
        self._answered_before = 0.0
        """When the register was confirmed before that; seconds."""
        self._available_since = 0.0
        self._listeners: list[OnEndpoints] = []
        self._items: dict[str, KeyValue] = {}
        """The entries as they were listed or changed last, by key."""
        self._applied_revision = 0
        """Revision up to which `_items` has all changes."""
        self._missing_since: dict[str, float] = {}
        """Since when entries of endpoints in use have been missing; seconds."""
        self._ignored: dict[str, str] = {}
        self._peer_list_until = 0.0
        self.version = 0
        """Grows with each change of the endpoints."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "endpoints", sorted(self.endpoints)
        yield "revision", self._revision

    def subscribe(self, listener: OnEndpoints) -> None:
        """Call `listener` with all endpoints after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the register until cancelled."""
        while True:
            pause = RETRY_INTERVAL_S if self.synced.is_set() else RETRY_INTERVAL_S / 5
            if self._clock.monotonic() >= self._peer_list_until and await self.poll():
                with suppress(StoreUnavailable, StoreRefused, WatchCompacted):
                    await self._follow()
                pause = REWATCH_PAUSE_S
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    async def _follow(self) -> None:
        """Apply changes until another VM passes on the list.

        Raises `StoreUnavailable`, `StoreRefused` or `WatchCompacted`.
        """
        start_revision = self._applied_revision + 1
        changes = self._store.watch(self._prefix, start_revision=start_revision)
        async for event in changes:
            now = self._clock.monotonic()
            if event.key:
                self._apply(event)
                continue
            # The changes up to this revision have been applied.
            self._confirm(now)
            self._revision = max(self._revision, event.revision)
            self._applied_revision = max(self._applied_revision, event.revision)
            self._process_items(now)
            if now < self._peer_list_until:
                return

    def _apply(self, event: WatchEvent) -> None:
        known = self._items.get(event.key)
        known_revision = known.revision if known else 0
        if event.revision <= max(self._applied_revision, known_revision):
            return
        if event.value is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = KeyValue(*event)

    @property
    def age_s(self) -> float:
        """Seconds since the register confirmed the endpoints."""
        return self._clock.monotonic() - self._answered_at

    @property
    def read_age_s(self) -> float:
        """Seconds since a read of this VM that confirmed the endpoints was sent."""
        return self._clock.monotonic() - self._read_at

    @property
    def confirmed_age_s(self) -> float:
        """Seconds since a read that confirmed the endpoints was sent by any VM.

        Every change that the store had accepted by then is known here. Infinite before
        the first read.
        """
        return self._clock.monotonic() - max(self._read_at, self._reported_at)

    @property
    def drains_known_age_s(self) -> float:
        """Seconds since no VM that may replace a primary knew of a further drain."""
        agreed_age_s = self._clock.monotonic() - self._agreed_at
        return min(self.confirmed_age_s, agreed_age_s)

    def record_agreement(self, asked_at: float) -> None:
        """Note that all VMs that may replace a primary have the same list.

        They were asked at `asked_at`, monotonic seconds, or later.
        """
        self._agreed_at = max(self._agreed_at, asked_at)

    @property
    def applied_revision(self) -> int:
        """Revision up to which all changes are known; 0 if this VM reads none.

        A read of the changes since then brings the endpoints up to date.
        """
        if not self.synced.is_set() or self._clock.monotonic() < self._peer_list_until:
            return 0
        return self._applied_revision

    @property
    def revision(self) -> int:
        """Revision of the store that the endpoints reflect."""
        return self._revision

    def update_from_peer(
        self,
        endpoints: Iterable[EndpointInfo],
        *,
        age_s: float,
        revision: int = 0,
        peer: str = "",
        read_at: float = -inf,
        replaces_reads: bool = True,
    ) -> None:
        """Use the endpoints that another VM's register confirmed `age_s` seconds ago.

        Until they are older than a watch allows, the register is not read, unless
        `replaces_reads` is false. A list of an older `revision` than the known one is
        ignored, since it may name endpoints that have left; 0 means that the peer does
        not tell the revision. The revisions of one `peer` fall only if the store came
        back from an older copy. The list has all changes that the store had accepted at
        `read_at`, monotonic seconds.
        """
        if age_s > self._max_age_s:
            return
        previous = self._peer_revisions.get(peer, 0) if peer else 0
        self._peer_revisions[peer] = revision
        if 0 < revision < self._revision and revision >= previous:
            return
        if revision:
            self._revision = revision
        now = self._clock.monotonic()
        if replaces_reads:
            self._peer_list_until = now + self._max_age_s - age_s
        self._reported_at = max(self._reported_at, read_at)
        self._confirm(max(self._answered_at, now - age_s))
        found = {info.id: self._keep_draining(info) for info in endpoints}
        if found != self.endpoints or not self.synced.is_set():
            self._set_endpoints(found, now)

    def apply_report(
        self,
        endpoints: Iterable[EndpointInfo],
        *,
        read_at: float,
        age_s: float,
        revision: int,
        peer: str,
    ) -> bool:
        """Take another VM's list as a confirmation; return whether it is the same.

        A list that differs replaces the endpoints only if the store doesn't answer this
        VM's reads; it has all changes that the store had accepted at `read_at`,
        monotonic seconds. See `update_from_peer` for the rest.
        """
        listed = list(endpoints)
        if {info.id: self._keep_draining(info) for info in listed} == self.endpoints:
            self._reported_at = max(self._reported_at, read_at)
            return True
        if self.read_age_s > READ_AGE_S and read_at > self._read_at:
            self.update_from_peer(
                listed,
                age_s=age_s,
                revision=revision,
                peer=peer,
                read_at=read_at,
                replaces_reads=False,
            )
        return False

    def apply_changes(self, events: Sequence[WatchEvent], *, sent_at: float) -> None:
        """Apply the changes of all keys after `applied_revision`, read at `sent_at`.

        Changes that the watch or a list has brought meanwhile are ignored.
        """
        own = [event for event in events if event.key.startswith(self._prefix)]
        for event in own:
            self._apply(event)
        newest = max((event.revision for event in events), default=0)
        self._applied_revision = max(self._applied_revision, newest)
        self._revision = max(self._revision, newest)
        if own:
            self._process_items(self._clock.monotonic())
        self._read_at = max(self._read_at, sent_at)

    async def poll(self) -> bool:
        """List the register once; return whether the store answered."""
        known, sent_at = self._revision, self._clock.monotonic()
        try:
            listed = await self._store.list(self._prefix, timeout=LIST_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            if self._available_since:
                _log.warning("register_unavailable", reason=str(error))
            self._available_since = 0.0
            return False
        now = self._clock.monotonic()
        if known <= listed.revision < self._revision:
            # A newer answer arrived meanwhile. Below `known`, the store has lost
            # changes: its answers are linearizable.
            if listed.revision >= self._applied_revision:
                self._set_items(listed)
            return True
        if not self._available_since or now - self._answered_at > self._max_age_s:
            _log.info("register_available", revision=listed.revision)
            self._available_since = now
        # The answer may have waited, and entries changed since it was given.
        self._confirm(max(self._answered_at, sent_at))
        self._read_at = max(self._read_at, sent_at)
        self._revision = listed.revision
        self._set_items(listed)
        self._process_items(now)
        return True

    def _confirm(self, now: float) -> None:
        self._answered_before, self._answered_at = self._answered_at, now

    def _set_items(self, listed: KeyValueList) -> None:
        self._applied_revision = listed.revision
        self._items = {item.key: item for item in listed.items}

    def _process_items(self, now: float) -> None:
        found: dict[str, EndpointInfo] = {}
        for item in self._items.values():
            info = self._decode(item)
            if isinstance(info, str):
                self._ignore(item.key, info)
            else:
                found[info.id] = self._keep_draining(info)
        retained = {
            name: info
            for name, info in self.endpoints.items()
            if name not in found and self._may_return(info, now)
        }
        self._missing_since = {name: self._missing_since[name] for name in retained}
        found |= retained
        if found != self.endpoints or not self.synced.is_set():
            self._set_endpoints(found, now)

    def _keep_draining(self, info: EndpointInfo) -> EndpointInfo:
        if info.draining or info.process_key not in self._drained:
            return info
        return msgspec.structs.replace(info, draining=True)

    def await_reregistration(self) -> None:
        """Keep missing endpoints for a while: the store lost what was written last."""
        if self._available_since:
            self._available_since = self._clock.monotonic()

    def _may_return(self, info: EndpointInfo, now: float) -> bool:
        """Whether an endpoint with a missing entry may only have expired."""
        since = self._missing_since.setdefault(info.id, now)
        if info.draining and now - self._available_since >= REREGISTER_S:
            return False
        return now - since < REREGISTER_S

    def remove_expired(self) -> None:
        """Remove the endpoints whose entries have been missing for `REREGISTER_S`."""
        now = self._clock.monotonic()
        is_due = any(
            now - since >= REREGISTER_S
            for name, since in self._missing_since.items()
            if name in self.endpoints
        )
        if is_due and now >= self._peer_list_until:
            self._process_items(now)

    def _set_endpoints(self, found: dict[str, EndpointInfo], now: float) -> None:
        for name in sorted(self.endpoints.keys() - found.keys()):
            _log.info("endpoint_gone", endpoint=name, revision=self._revision)
        for name, info in found.items():
            previous = self.endpoints.get(name)
            if previous != info:
                _log.info(
                    "endpoint_registered",
                    endpoint=name,
                    group=info.group,
                    zone=info.zone,
                    draining=info.draining,
                    started_ms=info.started_ms,
                    revision=self._revision,
                )
        first = not self.synced.is_set()
        draining = [info for info in found.values() if info.draining]
        for info in draining:
            since = 0.0 if first else self._answered_before
            self._drained.setdefault(info.process_key, since)
        while len(self._drained) > MAX_DRAINED:
            del self._drained[next(iter(self._drained))]
        self.draining_since = {
            info.id: self._drained.get(info.process_key, now) for info in draining
        }
        self.endpoints = found
        self.version += 1
        self.synced.set()
        for listener in self._listeners:
            listener(found)

    def _ignore(self, key: str, reason: str) -> None:
        if self._ignored.get(key) != reason and len(self._ignored) < 1000:
            self._ignored[key] = reason
            _log.warning("register_entry_ignored", entry=key, reason=reason)
