"""VMs that enforce limits together, over a fake store and fake links."""

from __future__ import annotations

import asyncio
import copy
from collections import deque
from collections.abc import AsyncIterator, Sequence
from itertools import count
from random import Random

from _node_support import WatchedStore
from fakes import ManualClock

from celeryjunction.allotments.allotments import Allotments
from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.allotments.shares import Borrowed
from celeryjunction.errors import ProxyError
from celeryjunction.gateway.organisations import Organisation, OrganisationTable
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.membership import VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.ports import (
    KeyValueList,
    PutResult,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)
from celeryjunction.relay.messages import decode_to_home, encode
from celeryjunction.store_history import StoreHistory

IN_ZONE_S = 0.0002
"""Half a round trip between VMs of one zone."""
ACROSS_ZONES_S = 0.001
FULL_S = 12.0
"""Time after the first start by which all buckets are full."""


class LeasedStore(WatchedStore):
    """A store whose leases can be renewed, and that may lose its history."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self._numbers = count(1)
        self._timers: dict[int, asyncio.TimerHandle] = {}
        self._ttls: dict[int, int] = {}

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        await self._call()
        lease = next(self._numbers)
        self.leases[lease] = set()
        self._ttls[lease] = ttl
        self._start_timer(lease)
        return lease

    def _start_timer(self, lease: int) -> None:
        if lease in self._timers:
            self._timers.pop(lease).cancel()
        loop = asyncio.get_running_loop()
        self._timers[lease] = loop.call_later(self._ttls[lease], self.end_lease, lease)

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        renewed = await super().renew_lease(lease)
        if renewed:
            self._start_timer(lease)
        return renewed

    async def compare_and_put(
        self, compares, puts, *, lease: int = 0, timeout: float = 2.0
    ) -> PutResult:
        result = await super().compare_and_put(compares, puts, lease=lease)
        if result.succeeded:
            for number, keys in self.leases.items():
                if number != lease:
                    keys.difference_update(put.key for put in puts)
        return result

    def save(self) -> tuple:
        """Return a copy of the present state for `restore`."""
        return copy.deepcopy((self.items, self.leases))

    def restore(self, saved: tuple) -> None:
        """Come back from an older copy; revisions go on above the known ones."""
        self.items, self.leases = copy.deepcopy(saved)
        self.revision += 1
        self.history.clear()
        self.era += 1


class StoreView:
    """The store as one VM reaches it; `cut` makes it unavailable for this VM."""

    def __init__(self, store: LeasedStore, history: StoreHistory) -> None:
        self._store = store
        self._history = history
        self.cut = False
        self.frozen = False
        history.observe(store.era)

    def __getattr__(self, name: str):
        """Return a call of the store as this VM can make it."""
        method = getattr(self._store, name)

        async def call(*arguments, timeout: float = 2.0, **options):
            await self._reach(timeout)
            losses = self._history.losses
            result = await method(*arguments, **options)
            await self._reach(timeout)
            self._history.observe(self._store.era)
            self._history.check_no_loss_since(losses)
            if isinstance(result, KeyValueList):
                return result._replace(losses=losses)
            return result

        return call

    async def _reach(self, timeout: float) -> None:
        while self.frozen:
            await asyncio.sleep(0.01)
        if self.cut:
            await asyncio.sleep(timeout)
            raise StoreUnavailable("cut off")

    async def watch(
        self, prefix: str, *, start_revision: int
    ) -> AsyncIterator[WatchEvent]:
        era = self._store.era
        async for event in self._store.watch(prefix, start_revision=start_revision):
            await self._reach(2.0)
            self._history.observe(self._store.era)
            if era != self._store.era:
                raise WatchCompacted("the store has lost changes")
            yield event


class FakeLinkStream:
    """The asking end of a connection between two VMs."""

    def __init__(self, site: Site, source: Vm, target: Vm) -> None:
        self._site = site
        self._source = source
        self._target = target
        self._borrowed: dict[str, Borrowed] = {}
        self._frames: deque[bytes] = deque()
        self._arrived = asyncio.Event()
        self._carrying: set[asyncio.Task[None]] = set()
        self.closed = False

    def write_frame(self, frame: bytes) -> None:
        task = asyncio.create_task(self._carry(frame))
        self._carrying.add(task)
        task.add_done_callback(self._carrying.discard)

    async def _carry(self, frame: bytes) -> None:
        await self._site.travel(self._source, self._target)
        if self.closed or not self._target.running:
            return
        message = decode_to_home(frame)
        reply = encode(self._target.allotments.grant(message, self._borrowed))
        await self._site.travel(self._target, self._source)
        self._frames.append(reply)
        self._arrived.set()

    async def read_frame(self) -> bytes | None:
        while not self._frames and not self.closed:
            self._arrived.clear()
            await self._arrived.wait()
        return self._frames.popleft() if self._frames else None

    def abort(self) -> None:
        self.closed = True
        self._arrived.set()


class VmClock(ManualClock):
    """The simulated time, and how far a suspension has put this VM's clock ahead."""

    ahead_s = 0.0

    def monotonic(self) -> float:
        return super().monotonic() + self.ahead_s


class Vm:
    """One process of a VM."""

    def __init__(self, site: Site, name: str, zone: str, incarnation: int) -> None:
        self.site = site
        self.record = VmRecord(
            name, zone, f"{name}:1", "", "", incarnation, 0.0, link_mbps=100.0
        )
        self.history = StoreHistory()
        self.store = StoreView(site.store, self.history)
        self.clock = VmClock()
        self.metrics = Metrics()
        self.running = True
        self.draining = False
        self.frozen = False
        self.allotments = Allotments(
            self.store,  # type: ignore[arg-type]
            own=self.record,
            vms=lambda: {
                vm.record.name: vm.record for vm in site.vms.values() if vm.running
            },
            may_hold=lambda: not self.draining,
            bound=lambda: site.bound,
            history=self.history,
            metrics=self.metrics,
            clock=self.clock,
            random=Random(name),
            connect=self._connect,  # type: ignore[arg-type]
        )
        self.allotments.apply_routes(site.table())
        self.task = asyncio.create_task(self.allotments.run())

    async def _connect(self, address: tuple[str, int]) -> FakeLinkStream:
        target = self.site.vms[address[0]]
        await self.site.travel(self, target)
        if not target.running:
            raise ConnectionRefusedError("the process is not running")
        return FakeLinkStream(self.site, self, target)

    @property
    def shares(self) -> list[int]:
        """Numbers of the shares that this VM uses."""
        now = self.clock.monotonic()
        held = self.allotments._held
        return sorted(share.number for share in held if share.is_usable(now))

    def freeze(self, frozen: bool) -> None:
        self.frozen = self.store.frozen = frozen

    async def run_operation(self, name: str, *, timeout: float = 1.0) -> str:
        """Run an operation; return "ok" or the reason of the refusal."""
        organisation = self.site.organisations[name]
        deadline = self.clock.monotonic() + timeout
        try:
            await self.allotments.admit(organisation, deadline=deadline)
        except ProxyError as error:
            return str(error.details["reason"])
        self.site.uses[name].append(self.clock.monotonic())
        return "ok"

    def kill(self) -> None:
        """End the process at once."""
        self.running = False
        self.task.cancel()
        for link in self.allotments._links.values():
            link.close()


class Site:
    """VMs of three zones, `per_zone` in each, with names as "a0"."""

    def __init__(self, *organisations: Organisation, per_zone: int = 2) -> None:
        self.bound = QuotaBound()
        self.organisations = {one.name: one for one in organisations}
        self.store = LeasedStore()
        self.uses: dict[str, list[float]] = {one.name: [] for one in organisations}
        self.cuts: set[frozenset[str]] = set()
        """Pairs of VMs between which nothing arrives."""
        self.delays: dict[str, float] = {}
        """Further seconds that messages to a VM take."""
        self.vms: dict[str, Vm] = {}
        self._incarnations = count(1)
        self._version = 0
        for zone in "abc":
            for number in range(per_zone):
                self.start(f"{zone}{number}", zone)

    def table(self) -> RouteTable:
        self._version += 1
        table = OrganisationTable((one, []) for one in self.organisations.values())
        return RouteTable(
            version=self._version,
            routes=(),
            groups=(),
            idle_transaction_s=3.0,
            organisations=table,
        )

    def start(self, name: str, zone: str = "") -> Vm:
        """Start a VM's process, also once more after `Vm.kill`."""
        zone = zone or self.vms[name].record.zone
        self.vms[name] = Vm(self, name, zone, next(self._incarnations))
        return self.vms[name]

    def holder(self, share: int) -> Vm | None:
        return next((v for v in self.vms.values() if share in v.shares), None)

    @property
    def other_vm(self) -> Vm:
        """A VM that holds no share."""
        return next(vm for vm in self.vms.values() if not vm.shares)

    async def travel(self, source: Vm, target: Vm) -> None:
        """Wait until a message arrives, which may be never."""
        same_zone = source.record.zone == target.record.zone
        delay_s = IN_ZONE_S if same_zone else ACROSS_ZONES_S
        await asyncio.sleep(delay_s + self.delays.get(target.record.name, 0.0))
        while (
            frozenset((source.record.name, target.record.name)) in self.cuts
            or target.frozen
        ):
            await asyncio.sleep(0.01)

    def worst_window(self, name: str) -> int:
        """Return the highest number of operations in any window."""
        uses, worst, first = sorted(self.uses[name]), 0, 0
        for last, at in enumerate(uses):
            while uses[first] <= at - self.bound.window_s:
                first += 1
            worst = max(worst, last - first + 1)
        return worst

    async def full(self) -> None:
        """Wait until all shares are held and all buckets are full."""
        await asyncio.sleep(FULL_S)

    async def load(
        self, name: str, *, rate: float, seconds: float, vms: Sequence[str] = ()
    ) -> int:
        """Run operations at VMs in turn; return how many were admitted."""
        names = vms or sorted(self.vms)
        before = len(self.uses[name])
        tasks = []
        for index in range(int(rate * seconds)):
            vm = self.vms[names[index % len(names)]]
            if vm.running and not vm.frozen:
                tasks.append(asyncio.create_task(vm.run_operation(name)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return len(self.uses[name]) - before

    async def close(self) -> None:
        for vm in self.vms.values():
            vm.kill()
        await asyncio.sleep(0)
