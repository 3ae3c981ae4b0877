"""Which VMs there are: each announces itself under a lease and follows the others."""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable, Iterator
from random import Random

import msgspec

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
    LeaseLapsed,
    Put,
    StoreRefused,
    StoreUnavailable,
    WatchEvent,
)

VMS = "/vms/"
ANNOUNCEMENTS_PER_S = 200
"""VMs a second that ask for a new lease, and put their record, after an outage."""
# Keeps two processes that share an incarnation by mistake from overwriting each other
# without pause.
_MISMATCH_PAUSE_S = 0.2
PROMPT_VMS = 20
"""With up to so many VMs, each puts its applied revision as soon as it changed."""
REPORTS_PER_S = 5.0
"""Puts of applied revisions a second that more VMs make together. Every VM reads the
put of every other: one put after each change cost a VM 362 bytes and 0.47 ms of
processor time for each VM, which is 116 KB/s and 15% of a core with 2,300 VMs and
12,000 changes a day."""
_log = get_logger("membership")


class VmRecord(msgspec.Struct, frozen=True):
    """The value of ``/vms/NAME``.

    `incarnation` grows with each start of the VM's process, for example the start
    time in nanoseconds; `started_at` is seconds since the epoch. All contract changes
    up to `applied_revision` are in force on the VM. Unknown fields are ignored, so
    that VMs of two versions can run side by side.
    """

    name: str
    zone: str
    peer_address: str
    sql_address: str
    status_address: str
    incarnation: int
    started_at: float
    applied_revision: int = 0
    leaving: bool = False
    heartbeat_address: str = ""
    link_mbps: float = 1.0
    """Capacity of the VM's network link, Mbit/s."""


async def list_vms(store: KeyValueStore) -> tuple[VmRecord, ...]:
    """Read the announced VMs from the service; raises `StoreUnavailable`."""
    listed = await store.list(VMS)
    records = (_decode(item.key, item.value) for item in listed.items)
    return tuple(record for record in records if record is not None)


class Membership:
    """Announces one VM under a lease and knows its peers.

    The lease is renewed every third of `ttl_s` seconds, with jitter. When it lapsed,
    for example because the process was paused, a new one is asked for after a random
    part of `spread_s` seconds, so that many VMs do not come back in the same moment.
    Changes of the own record are put at most once in `put_interval_s` seconds, and an
    applied revision later with more than `PROMPT_VMS` VMs, so that all together put
    about `REPORTS_PER_S`. The record then lags, and the VM's status page tells what
    is in force.

    The list counts as late: a peer whose record vanished stays as long as it is heard
    directly. Of two incarnations of one VM the newer one wins; the older one raises
    an alarm and stops announcing itself.
    """

    __slots__ = (
        "_clock",
        "_dirty",
        "_due",
        "_failures",
        "_heard",
        "_last_put",
        "_lease",
        "_on_size",
        "_peers",
        "_put_interval_s",
        "_random",
        "_record",
        "_renew_at",
        "_revision",
        "_sleep",
        "_spread_s",
        "_store",
        "_ttl_s",
        "_urgent",
        "_vanished",
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
    ) -> None:
        self._store = store
        self._record = record
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
        self._due = 0.0
        self._urgent = asyncio.Event()
        self.peers_version = 0
        """Grows when a peer comes or goes or its record changes, except for the
        applied revision alone."""
        self._peers: dict[str, VmRecord] = {}
        self._vanished: dict[str, float] = {}
        self._on_size: list[Callable[[int], None]] = []
        self._heard: dict[str, float] = {}
        self.announced = asyncio.Event()
        self.superseded = asyncio.Event()
        self.follower = PrefixFollower(
            store, VMS, clock=clock, random=random, sleep=sleep
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
        """This VM's own record, as it is or will be announced."""
        return self._record

    async def run(self) -> None:
        """Announce this VM and follow the others until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.follower.run())
            tasks.create_task(self._announce())

    async def leave(self) -> None:
        """End the lease, which removes the record. Call it after `run` has ended."""
        lease, self._lease = self._lease, 0
        if lease and not self.superseded.is_set():
            with contextlib.suppress(StoreUnavailable):
                await self._store.revoke_lease(lease)

    def update(
        self, *, applied_revision: int | None = None, leaving: bool | None = None
    ) -> None:
        """Change this VM's record; the applied revision never goes back."""
        known = self._record
        changed = msgspec.structs.replace(
            known,
            applied_revision=max(known.applied_revision, applied_revision or 0),
            leaving=known.leaving if leaving is None else leaving,
        )
        if changed == known:
            return
        self._record = changed
        spread_s = self._report_spread_s
        if changed.leaving != known.leaving or not spread_s:
            self._put_soon()
        elif not self._dirty.is_set():
            pause = spread_s * self._random.uniform(0.5, 1.5)
            self._due = self._clock.monotonic() + pause
            self._dirty.set()

    @property
    def _report_spread_s(self) -> float:
        """Mean seconds from an applied change to its put."""
        return max(0.0, (len(self._peers) + 1 - PROMPT_VMS) / REPORTS_PER_S)

    def _put_soon(self) -> None:
        self._due = 0.0
        self._dirty.set()
        self._urgent.set()

    # Peers

    def on_vm_count(self, callback: Callable[[int], None]) -> None:
        """Call back with the number of VMs whenever it changes."""
        self._on_size.append(callback)

    def _resized(self) -> None:
        self.peers_version += 1
        for callback in self._on_size:
            callback(len(self._peers) + 1)

    @property
    def _return_s(self) -> float:
        """Seconds over which lapsed VMs come back."""
        return max(self._spread_s, (len(self._peers) + 1) / ANNOUNCEMENTS_PER_S)

    @property
    def _grace_s(self) -> float:
        """Seconds for which a vanished VM stays in the list unheard.

        After an outage longer than a lease the records of all VMs vanish until they
        announced themselves again. With few VMs all of them are heard; with many,
        too few are, and every database would change its home twice.
        """
        if len(self._peers) < PROMPT_VMS:
            return 0.0
        return self._return_s + self._put_interval_s

    def record_received(self, vm: str) -> None:
        """Note that a peer was heard directly just now."""
        if vm in self._peers:
            self._heard[vm] = self._clock.monotonic()

    def peers(self) -> dict[str, VmRecord]:
        """Return the other VMs by name."""
        now, grace_s = self._clock.monotonic(), self._grace_s
        oldest = now - self._ttl_s
        silent = [
            vm
            for vm, vanished_at in self._vanished.items()
            if self._heard.get(vm, -math.inf) <= oldest and now - vanished_at >= grace_s
        ]
        for vm in silent:
            self._forget(vm)
        return dict(self._peers)

    def _forget(self, vm: str) -> None:
        self._vanished.pop(vm, None)
        self._heard.pop(vm, None)
        if self._peers.pop(vm, None) is not None:
            self._resized()

    def _vm_changed(self, event: WatchEvent) -> None:
        name = event.key.removeprefix(VMS)
        if event.value is None:
            if name == self._record.name:
                self._own_record_vanished(event.revision)
            elif name in self._peers:
                self._vanished[name] = self._clock.monotonic()
            return
        record = _decode(event.key, event.value)
        if record is None:
            return
        if name == self._record.name:
            self._check_incarnation(record)
        else:
            self._take_peer(record)

    def _take_peer(self, record: VmRecord) -> None:
        known = self._peers.get(record.name)
        if known is not None and record.incarnation < known.incarnation:
            _log.error(
                "incarnation_went_back",
                alarm=1,
                vm=record.name,
                known=known.incarnation,
                incarnation=record.incarnation,
            )
            return
        self._peers[record.name] = record
        self._vanished.pop(record.name, None)
        if known is None:
            self._resized()
        elif record != msgspec.structs.replace(
            known, applied_revision=record.applied_revision
        ):
            self.peers_version += 1

    # Announcing

    def _own_record_vanished(self, revision: int) -> None:
        # Usually the lease lapsed; renewing now instead of later shows it.
        if revision > self._revision and self._lease:
            self._renew_at = 0.0
            self._put_soon()

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
            except LeaseLapsed:
                await self._lapsed()
            except (StoreUnavailable, StoreRefused) as error:
                _log.warning(
                    "announce_failed",
                    vm=self._record.name,
                    failures=self._failures,
                    reason=str(error),
                )
                await self._back_off()

    async def _announce_step(self) -> None:
        """Do what is due next: ask for a lease, renew it, or put the record."""
        now = self._clock.monotonic()
        if not self._lease:
            self._lease = await self._store.grant_lease(self._ttl_s)
            self._schedule_renewal(now)
            self._put_soon()
        elif now >= self._renew_at:
            if not await self._store.renew_lease(self._lease):
                raise LeaseLapsed("the lease was not renewed in time")
            self._schedule_renewal(now)
        if not self._dirty.is_set():
            left = self._renew_at - self._clock.monotonic()
            await self._wait_for(self._dirty, left)
        elif (early := self._last_put + self._put_interval_s - now) > 0:
            await self._sleep(min(early, max(0.0, self._renew_at - now)))
        elif self._due > now:
            await self._wait_for(self._urgent, min(self._due, self._renew_at) - now)
        else:
            await self._put()

    def _schedule_renewal(self, now: float) -> None:
        self._renew_at = now + self._ttl_s / 3 * self._random.uniform(0.8, 1.0)

    async def _put(self) -> None:
        """Put the record, unless a newer incarnation has put its own."""
        self._dirty.clear()
        self._urgent.clear()
        record, key = self._record, VMS + self._record.name
        try:
            result = await self._store.compare_and_put(
                [Compare(key, self._revision)],
                [Put(key, msgspec.json.encode(record))],
                lease=self._lease,
            )
        except (StoreUnavailable, StoreRefused, LeaseLapsed):
            self._dirty.set()
            raise
        current: KeyValue | None = result.current[0]
        self._revision = current.revision if current else 0
        if result.succeeded:
            self._last_put = self._clock.monotonic()
            self.announced.set()
            return
        # An own earlier put whose answer was lost, or another incarnation's.
        self._dirty.set()
        stored = _decode(key, current.value) if current else None
        if stored is not None:
            self._check_incarnation(stored)
        await self._sleep(self._random.uniform(0.0, _MISMATCH_PAUSE_S))

    async def _lapsed(self) -> None:
        _log.warning("lease_lapsed", vm=self._record.name, lease=self._lease)
        self._lease = self._revision = 0
        self.announced.clear()
        await self._sleep(self._random.uniform(0.0, self._return_s))

    async def _back_off(self) -> None:
        base = max(0.2, (len(self._peers) + 1) / RECONNECTS_PER_S)
        ceiling = min(self._return_s, base * 2 ** min(self._failures, 16))
        self._failures += 1
        await self._sleep(self._random.uniform(ceiling / 2, ceiling))

    async def _wait_for(self, event: asyncio.Event, seconds: float) -> None:
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
    record = decode_record(VMS, key, value, VmRecord)
    if isinstance(record, str):
        _log.error("vm_record_ignored", alarm=1, key=key, reason=record)
        return None
    return record
