"""Membership: each VM announces itself under a lease and watches the others."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator
from random import Random

import msgspec

from celeryjunction.decoding import Amount, Count, Name
from celeryjunction.follower import (
    RECONNECTS_PER_S,
    PrefixFollower,
    Sleep,
    decode_record,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Compare,
    KeyValue,
    KeyValueStore,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
    WatchEvent,
)
from celeryjunction.store_history import StoreHistory

VM_PREFIX = "/vms/"
ANNOUNCEMENTS_PER_S = 200
"""Rate at which all VMs together request new leases and put their records after an
outage."""
# Longest pause after a conflicting put, so that two processes that share an incarnation
# by mistake do not overwrite each other in a tight loop.
_CONFLICT_PAUSE_S = 0.2
IMMEDIATE_REPORT_VMS = 20
"""With up to this many VMs, each puts its applied revision as soon as it changes, and
a vanished peer has no grace period."""
REPORTS_PER_S = 5.0
"""Rate at which all VMs together put applied revisions if there are more than
`IMMEDIATE_REPORT_VMS`. Every VM reads the puts of all others: an immediate put after
each change costs a VM 362 bytes and 0.47 ms of processor time for each other VM, or
116 KB/s and 15% of a core with 2,300 VMs and 12,000 changes a day."""
_log = get_logger("membership")


class VmRecord(msgspec.Struct, frozen=True):
    """The value of ``/vms/NAME``.

    `incarnation` grows with each start of the VM's process, for example the start
    time in nanoseconds; `started_at` is seconds since the epoch. All contract changes
    up to `applied_revision` are in force on the VM. Unknown fields are ignored, so
    that VMs of two versions can run side by side.
    """

    name: Name
    zone: Name
    peer_address: Name
    sql_address: Name
    status_address: Name
    incarnation: Count
    started_at: Amount
    applied_revision: Count = 0
    leaving: bool = False
    heartbeat_address: Name = ""
    link_mbps: Amount = 1.0
    """Capacity of the VM's network link, Mbit/s."""
    cores: Amount = 0.0
    """Processor capacity, in cores; 0 from a version that does not announce it."""


async def list_vms(store: KeyValueStore) -> tuple[VmRecord, ...]:
    """Read the announced VMs from the key-value service; raises `StoreUnavailable`."""
    listed = await store.list(VM_PREFIX)
    records = (_decode(item.key, item.value) for item in listed.items)
    return tuple(record for record in records if record is not None)


class Membership:
    """Announces one VM under a lease and tracks its peers.

    The lease is renewed every third of `ttl_s` seconds, with jitter. If it expires, for
    example because the process was paused, a new one is requested after a random part
    of `spread_s` seconds (more with many VMs), so that VMs do not return all at once.
    Changes of the own record are put at most once in `put_interval_s` seconds. With
    more than `IMMEDIATE_REPORT_VMS` VMs an applied revision is delayed further, so that
    all VMs together put about `REPORTS_PER_S`. The record then lags; the VM's status
    page shows the revision in force.

    The list may be out of date: a peer whose record vanished stays as long as messages
    arrive from it directly. Of two incarnations of one VM the newer wins; the older one
    raises an alarm and stops announcing itself.
    """

    __slots__ = (
        "_clock",
        "_dirty",
        "_failures",
        "_last_put",
        "_lease",
        "_peers",
        "_put_due_at",
        "_put_interval_s",
        "_put_now",
        "_random",
        "_received_at",
        "_record",
        "_renew_at",
        "_restored_at",
        "_revision",
        "_sleep",
        "_spread_s",
        "_store",
        "_ttl_s",
        "_vanished_at",
        "_vm_count_listeners",
        "announced",
        "follower",
        "peers_version",
        "superseded",
    )

    def __init__(
        self,
        store: KeyValueStore,
        record: VmRecord,
        *,
        ttl_s: int = 10,
        spread_s: float = 3.0,
        put_interval_s: float = 1.0,
        clock: Clock,
        random: Random,
        sleep: Sleep = asyncio.sleep,
        history: StoreHistory | None = None,
    ) -> None:
        self._store = store
        self._record = record
        self._restored_at = -math.inf
        if history is not None:
            history.subscribe(self._store_restored)
        self._ttl_s = ttl_s
        self._spread_s = spread_s
        self._put_interval_s = put_interval_s
        self._clock = clock
        self._random = random
        self._sleep = sleep
        self._lease = 0
        self._revision = 0
        self._renew_at = 0.0
        self._last_put = -math.inf
        self._failures = 0
        self._dirty = asyncio.Event()
        self._put_due_at = 0.0
        self._put_now = asyncio.Event()
        self.peers_version = 0
        """Incremented when a peer joins, leaves or changes its record, except when only
        the applied revision changes."""
        self._peers: dict[str, VmRecord] = {}
        self._vanished_at: dict[str, float] = {}
        self._vm_count_listeners: list[Callable[[int], None]] = []
        self._received_at: dict[str, float] = {}
        self.announced = asyncio.Event()
        self.superseded = asyncio.Event()
        self.follower = PrefixFollower(
            store, VM_PREFIX, clock=clock, random=random, sleep=sleep
        )
        self.follower.subscribe(self._vm_changed)
        self.on_vm_count(self.follower.set_vm_count)

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "name", self._record.name
        yield "announced", self.announced.is_set()
        yield "superseded", self.superseded.is_set()
        yield "peers", sorted(self._peers)

    @property
    def record(self) -> VmRecord:
        """This VM's own record, including changes not yet put."""
        return self._record

    @property
    def lease(self) -> int:
        """The lease of this VM's announcement, or 0."""
        return self._lease

    async def run(self) -> None:
        """Announce this VM and watch the others until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self._announce())

    async def leave(self) -> None:
        """Revoke the lease, which removes the record. Call after `run` has ended."""
        lease, self._lease = self._lease, 0
        if lease and not self.superseded.is_set():
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)

    def update(
        self, *, applied_revision: int | None = None, leaving: bool | None = None
    ) -> None:
        """Change this VM's record; the applied revision never decreases."""
        previous = self._record
        changed = msgspec.structs.replace(
            previous,
            applied_revision=max(previous.applied_revision, applied_revision or 0),
            leaving=previous.leaving if leaving is None else leaving,
        )
        if changed == previous:
            return
        self._record = changed
        mean_delay_s = self._mean_report_delay_s
        if changed.leaving != previous.leaving or not mean_delay_s:
            self._request_put()
        elif not self._dirty.is_set():
            delay_s = mean_delay_s * self._random.uniform(0.5, 1.5)
            self._put_due_at = self._clock.monotonic() + delay_s
            self._dirty.set()

    @property
    def _mean_report_delay_s(self) -> float:
        """Mean seconds from an applied contract change to the put that reports it."""
        return max(0.0, (len(self._peers) + 1 - IMMEDIATE_REPORT_VMS) / REPORTS_PER_S)

    def withdraw_applied_revision(self) -> None:
        """Announce that no change is known to be in force: the store lost changes."""
        self._record = msgspec.structs.replace(self._record, applied_revision=0)
        self._request_put()

    def _request_put(self) -> None:
        self._put_due_at = 0.0
        self._dirty.set()
        self._put_now.set()

    # Peers

    def on_vm_count(self, callback: Callable[[int], None]) -> None:
        """Call `callback` with the number of VMs whenever that changes."""
        self._vm_count_listeners.append(callback)

    def _vm_count_changed(self) -> None:
        self.peers_version += 1
        for callback in self._vm_count_listeners:
            callback(len(self._peers) + 1)

    @property
    def _reannounce_spread_s(self) -> float:
        """Seconds over which VMs whose leases expired announce themselves again."""
        return max(self._spread_s, (len(self._peers) + 1) / ANNOUNCEMENTS_PER_S)

    @property
    def _grace_period_s(self) -> float:
        """Seconds for which a vanished VM stays in the list without direct messages.

        After an outage longer than a lease, the records of all VMs are missing until
        the VMs have announced themselves again. A VM receives messages from all others
        only if they are few. With many VMs and no grace period, every database would
        change its home twice. A store that came back from an older copy lacks the
        records of VMs that run; they return within the time of a lease.
        """
        if self._clock.monotonic() - self._restored_at < self._ttl_s:
            return self._ttl_s
        if len(self._peers) < IMMEDIATE_REPORT_VMS:
            return 0.0
        return self._reannounce_spread_s + self._put_interval_s

    def _store_restored(self) -> None:
        self._restored_at = self._clock.monotonic()
        if self._lease:
            # The lease is lost; an early renewal shows it and requests a new one.
            self._renew_at = 0.0
            self._request_put()

    def record_received(self, vm: str) -> None:
        """Record that a message arrived directly from a peer."""
        if vm in self._peers:
            self._received_at[vm] = self._clock.monotonic()

    def peers(self) -> dict[str, VmRecord]:
        """Return the other VMs by name."""
        now, grace_s = self._clock.monotonic(), self._grace_period_s
        oldest = now - self._ttl_s
        expired = [
            vm
            for vm, vanished_at in self._vanished_at.items()
            if self._received_at.get(vm, -math.inf) <= oldest
            and now - vanished_at >= grace_s
        ]
        for vm in expired:
            self._remove_peer(vm)
        return dict(self._peers)

    def _remove_peer(self, vm: str) -> None:
        self._vanished_at.pop(vm, None)
        self._received_at.pop(vm, None)
        if self._peers.pop(vm, None) is not None:
            self._vm_count_changed()

    def _vm_changed(self, event: WatchEvent) -> None:
        name = event.key.removeprefix(VM_PREFIX)
        if event.value is None:
            if name == self._record.name:
                self._own_record_vanished(event.revision)
            elif name in self._peers:
                self._vanished_at[name] = self._clock.monotonic()
            return
        record = _decode(event.key, event.value)
        if name == self._record.name:
            if record is None:
                self._own_record_vanished(event.revision)
            else:
                self._check_incarnation(record)
        elif record is None:
            # The VM announces itself again; until then, what is known of it holds.
            return
        else:
            self._update_peer(record)

    def _update_peer(self, record: VmRecord) -> None:
        previous = self._peers.get(record.name)
        if previous is not None and record.incarnation < previous.incarnation:
            _log.error(
                "incarnation_went_back",
                alarm=1,
                vm=record.name,
                known=previous.incarnation,
                incarnation=record.incarnation,
            )
            return
        self._peers[record.name] = record
        self._vanished_at.pop(record.name, None)
        if previous is None:
            self._vm_count_changed()
        elif record != msgspec.structs.replace(
            previous, applied_revision=record.applied_revision
        ):
            self.peers_version += 1

    # Announcing

    def _own_record_vanished(self, revision: int) -> None:
        # The lease has usually expired; renewing it at once shows whether it has.
        if revision > self._revision and self._lease:
            self._renew_at = 0.0
            self._request_put()

    def _check_incarnation(self, stored: VmRecord) -> None:
        if stored.incarnation <= self._record.incarnation:
            return
        if not self.superseded.is_set():
            _log.error(
                "vm_superseded",
                alarm=1,
                vm=self._record.name,
                incarnation=self._record.incarnation,
                newer=stored.incarnation,
                address=stored.peer_address,
            )
        self.superseded.set()
        self.announced.clear()
        self._dirty.set()

    async def _announce(self) -> None:
        while not self.superseded.is_set():
            try:
                await self._announce_step()
                self._failures = 0
            except LeaseExpired:
                await self._handle_expired_lease()
            except (StoreUnavailable, StoreRefused) as error:
                _log.warning(
                    "announce_failed",
                    vm=self._record.name,
                    failures=self._failures,
                    reason=str(error),
                )
                await self._back_off()

    async def _announce_step(self) -> None:
        """Do what is due next: request a lease, renew it, put the record or wait."""
        now = self._clock.monotonic()
        if not self._lease:
            self._lease = await self._store.grant_lease(self._ttl_s)
            self._schedule_renewal(now)
            self._request_put()
        elif now >= self._renew_at:
            if not await self._store.renew_lease(self._lease):
                raise LeaseExpired("the lease expired before it was renewed")
            self._schedule_renewal(now)
        if not self._dirty.is_set():
            until_renewal_s = self._renew_at - self._clock.monotonic()
            await self._wait_for(self._dirty, until_renewal_s)
        elif (too_early_s := self._last_put + self._put_interval_s - now) > 0:
            await self._sleep(min(too_early_s, max(0.0, self._renew_at - now)))
        elif self._put_due_at > now:
            await self._wait_for(
                self._put_now, min(self._put_due_at, self._renew_at) - now
            )
        else:
            await self._put()

    def _schedule_renewal(self, now: float) -> None:
        self._renew_at = now + self._ttl_s / 3 * self._random.uniform(0.8, 1.0)

    async def _put(self) -> None:
        """Put the record, unless a newer incarnation or another put came first."""
        self._dirty.clear()
        self._put_now.clear()
        record, key = self._record, VM_PREFIX + self._record.name
        try:
            result = await self._store.compare_and_put(
                [Compare(key, self._revision)],
                [Put(key, msgspec.json.encode(record))],
                lease=self._lease,
            )
        except (StoreUnavailable, StoreRefused, LeaseExpired):
            self._dirty.set()
            raise
        current: KeyValue | None = result.current[0]
        self._revision = current.revision if current else 0
        if result.succeeded:
            self._last_put = self._clock.monotonic()
            self.announced.set()
            return
        # The stored record is from an own put whose answer was lost, or from another
        # incarnation.
        self._dirty.set()
        stored = _decode(key, current.value) if current else None
        if stored is not None:
            self._check_incarnation(stored)
        await self._sleep(self._random.uniform(0.0, _CONFLICT_PAUSE_S))

    async def _handle_expired_lease(self) -> None:
        _log.warning("lease_lapsed", vm=self._record.name, lease=self._lease)
        self._lease = self._revision = 0
        self.announced.clear()
        await self._sleep(self._random.uniform(0.0, self._reannounce_spread_s))

    async def _back_off(self) -> None:
        base = max(0.2, (len(self._peers) + 1) / RECONNECTS_PER_S)
        ceiling = min(self._reannounce_spread_s, base * 2 ** min(self._failures, 16))
        self._failures += 1
        await self._sleep(self._random.uniform(ceiling / 2, ceiling))

    async def _wait_for(self, event: asyncio.Event, seconds: float) -> None:
        """Wait until the event is set, for at most this many seconds."""
        sleeping = asyncio.ensure_future(self._sleep(max(0.0, seconds)))
        changing = asyncio.ensure_future(event.wait())
        waits = {sleeping, changing}
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()
            await asyncio.wait(waits)


def _decode(key: str, value: bytes) -> VmRecord | None:
    record = decode_record(VM_PREFIX, key, value, VmRecord)
    if isinstance(record, str):
        _log.error("vm_record_ignored", alarm=1, key=key, reason=record)
        return None
    return record
