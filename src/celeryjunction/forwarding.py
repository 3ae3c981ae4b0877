"""Distribution of databases among proxies: homes, peer links, heartbeats, served work.

`Forwarding` combines these parts for the daemon. The daemon starts it before it
announces the VM, because the VM's record names the ports on which it listens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from itertools import count
from random import Random

from celeryjunction.adapters.nng import NngTransport
from celeryjunction.adapters.peer_stream import PeerListener, dial_peer
from celeryjunction.home import HOMES_PER_DATABASE, HomeTable, rank_homes
from celeryjunction.links import DIAL_TIMEOUT_S, PeerLink
from celeryjunction.liveness import HEARTBEAT_INTERVAL_S, Liveness
from celeryjunction.local import LocalGroup, MakeGroup
from celeryjunction.logs import get_logger
from celeryjunction.marks import CustomerMarks
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.peers import (
    BadMessage,
    Heartbeat,
    HeartbeatVerifier,
    Identity,
    PeerKeys,
    PeerLost,
    PeerStream,
    seal_heartbeat,
)
from celeryjunction.ports import Clock, GroupRecord, PeerTransport, WatchEvent
from celeryjunction.routing import RoutedGroup
from celeryjunction.serving import PeerServer
from celeryjunction.settings import PeersSettings, split_address

MAX_LEAVE_HEARTBEATS = 64
"""Peers that a leaving proxy notifies at once; the others learn it from its record."""

_log = get_logger("forwarding")


class LiveHomes:
    """The order of homes according to the VM list. Implements `Homes`.

    VMs that are leaving are used only when there are no others.
    """

    def __init__(self, vm: str, *, make_link: Callable[[str], PeerLink]) -> None:
        self.vm = vm
        self.links: dict[str, PeerLink] = {}
        self._make_link = make_link
        self._table = HomeTable()
        self._leaving: tuple[str, ...] = ()
        self._leaving_incarnations: dict[str, int] = {}
        """Incarnation of each peer that announced its leaving by heartbeat."""
        self._is_staying = True
        """Whether this proxy is not leaving."""
        self._peers: dict[str, VmRecord] = {}
        self.update({})

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "staying", len(self._table.vms)
        yield "leaving", self._leaving

    @property
    def peers(self) -> dict[str, VmRecord]:
        """The other VMs by name."""
        return self._peers

    def update(self, peers: dict[str, VmRecord]) -> None:
        """Replace the list of the other VMs, and close the links to removed ones."""
        self._peers = peers
        self._leaving_incarnations = {
            vm: incarnation
            for vm, incarnation in self._leaving_incarnations.items()
            if vm in peers and peers[vm].incarnation <= incarnation
        }
        leaving = {
            vm
            for vm, record in peers.items()
            if record.leaving or vm in self._leaving_incarnations
        }
        staying = peers.keys() - leaving
        (staying if self._is_staying else leaving).add(self.vm)
        self._table.update(staying)
        self._leaving = tuple(sorted(leaving))
        for vm in [vm for vm in self.links if vm not in peers]:
            self.links.pop(vm).close()

    def leave(self) -> None:
        """Prefer the other VMs as homes from now on."""
        self._is_staying = False
        self.update(self._peers)

    def record_leaving(self, vm: str, incarnation: int) -> None:
        """Record that a peer announced its leaving."""
        if vm in self._peers and self._leaving_incarnations.get(vm, -1) < incarnation:
            self._leaving_incarnations[vm] = incarnation
            self.update(self._peers)

    def homes(self, database: str) -> list[str]:
        """Return VMs, ordered by preference as the database's home."""
        return (
            self._table.homes(database)
            or rank_homes(database, self._leaving)[:HOMES_PER_DATABASE]
        )

    def link(self, vm: str) -> PeerLink:
        """Return the link to another proxy."""
        link = self.links.get(vm)
        if link is None:
            link = self.links[vm] = self._make_link(vm)
        return link


class Forwarding:
    """Exchanges statements and heartbeats with the other proxies.

    `make_group` creates a local group; `has_database` tells whether a database exists.
    """

    def __init__(
        self,
        identity: Identity,
        settings: PeersSettings,
        *,
        make_group: MakeGroup,
        has_database: Callable[[str], bool],
        clock: Clock,
        random: Random,
        metrics: Metrics,
        transport: PeerTransport | None = None,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._make_group = make_group
        self._has_database = has_database
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._keys = PeerKeys(settings.keys)
        self._membership: Membership | None = None
        self._groups: dict[str, RoutedGroup] = {}
        self._incarnations: dict[str, int] = {}
        self._heartbeat_numbers = count(1)
        self._leaving = False
        self._peers_version = -1
        self._heartbeat_verifier = HeartbeatVerifier(self._keys, identity)
        self._liveness = Liveness(clock=clock, random=random)
        self._homes = LiveHomes(identity.vm, make_link=self._make_link)
        self._server = PeerServer(
            group=self._served_group, liveness=self._liveness, clock=clock
        )
        self._listener = PeerListener(
            self._serve, identity=identity, keys=self._keys, on_drop=self._count_dropped
        )
        self._transport = transport or NngTransport()
        self._task: asyncio.Task[None] | None = None

    @property
    def peer_address(self) -> str:
        """Address at which other proxies open streams."""
        return _address(self._settings.host, self._listener.port)

    @property
    def heartbeat_address(self) -> str:
        """Address to which other proxies send heartbeats."""
        return _address(self._settings.host, self._transport.port)

    @property
    def heartbeat_bytes(self) -> tuple[int, int]:
        """Bytes of heartbeats sent and received; 0 if the transport counts none."""
        sent = getattr(self._transport, "bytes_sent", 0)
        return sent, getattr(self._transport, "bytes_received", 0)

    @property
    def in_flight(self) -> int:
        """Number of forwarded statements and transactions that run at this proxy."""
        return self._server.in_flight

    @property
    def local_groups(self) -> list[LocalGroup]:
        """The local groups of all databases in use."""
        return [group.local for group in self._groups.values()]

    async def start(self) -> None:
        """Listen for peers; raises `OSError` when an address is not free."""
        settings = self._settings
        await self._listener.start(settings.host, settings.port)
        self._transport.start(
            settings.host, settings.heartbeat_port, self._on_heartbeat
        )

    def join(self, membership: Membership) -> None:
        """Start to follow the VM list and to exchange heartbeats."""
        self._membership = membership
        membership.follower.subscribe(self._on_vms_changed)
        self._update_homes()
        self._task = asyncio.create_task(self._run_heartbeats())

    def group(self, database: str) -> RoutedGroup | None:
        """Return the group of a database; None for an unknown one."""
        group = self._groups.get(database)
        if group is not None:
            return group
        if not self._has_database(database):
            return None
        marks = CustomerMarks()
        local = LocalGroup(
            database, make=self._make_group, marks=marks, clock=self._clock
        )
        group = self._groups[database] = RoutedGroup(
            database, homes=self._homes, local=local, marks=marks, clock=self._clock
        )
        return group

    def update_record(self, database: str, record: GroupRecord) -> None:
        """Apply a newer group record."""
        group = self._groups.get(database)
        if group is not None:
            group.local.update_record(record)

    def leave(self) -> None:
        """Hand the databases over to the other proxies; running work continues."""
        self._leaving = True
        self._server.draining = True
        self._homes.leave()
        if self._membership is not None:
            self._membership.update(leaving=True)
        # Peers with a link come first.
        peers = sorted(self._homes.peers, key=lambda vm: vm not in self._homes.links)
        for vm in peers[:MAX_LEAVE_HEARTBEATS]:
            self._send_heartbeat(vm)

    async def close(self) -> None:
        """Close all connections to peers and all local groups."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._listener.close()
        await self._server.close()
        for link in self._homes.links.values():
            link.close()
        for local in self.local_groups:
            await local.close()
        self._transport.close()

    def snapshot(self) -> dict[str, object]:
        """Return plain data for the status page."""
        return {
            "home": {name: group.home for name, group in self._groups.items()},
            "forwarded": sum(group.forwarded for group in self._groups.values()),
            "served": self._server.served_count,
            "in_flight": self._server.in_flight,
            "heard_s_ago": self._liveness.seconds_since_heard(),
            "unusable": [
                vm for vm, link in self._homes.links.items() if not link.usable
            ],
        }

    def _served_group(self, database: str) -> LocalGroup | None:
        group = self.group(database)
        return group.local if group is not None else None

    async def _serve(self, stream: PeerStream) -> None:
        if stream.vm not in self._homes.peers:
            # The key proves that the peer is a proxy; its record may arrive later.
            _log.info("peer_not_listed", vm=stream.vm)
        self._record_incarnation(stream)
        await self._server.serve(stream)

    def _make_link(self, vm: str) -> PeerLink:
        return PeerLink(
            vm,
            dial=lambda: self._dial(vm),
            liveness=self._liveness,
            clock=self._clock,
            random=self._random,
        )

    def _dial(self, vm: str) -> Awaitable[PeerStream]:
        return self._dial_record(vm, self._homes.peers.get(vm))

    async def _dial_record(self, vm: str, record: VmRecord | None) -> PeerStream:
        if record is None:
            raise PeerLost("the VM is not listed")
        try:
            host, port = split_address(record.peer_address)
        except ValueError as error:
            raise PeerLost(str(error)) from None
        stream = await dial_peer(
            host,
            port,
            vm,
            identity=self._identity,
            keys=self._keys,
            timeout=DIAL_TIMEOUT_S,
            on_drop=self._count_dropped,
        )
        self._record_incarnation(stream)
        return stream

    def _record_incarnation(self, stream: PeerStream) -> None:
        newest = self._incarnations.get(stream.vm, 0)
        self._incarnations[stream.vm] = max(newest, stream.incarnation)

    # Heartbeats

    async def _run_heartbeats(self) -> None:
        while True:
            try:
                await self._tick()
            except Exception as error:
                # The loop must go on: without heartbeats, peers would take this VM
                # for dead.
                _log.error("heartbeat_failed", reason=repr(error))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _tick(self) -> None:
        peers = self._update_homes()
        for vm in self._liveness.heartbeat_targets(peers, all_streams=self._leaving):
            self._send_heartbeat(vm)
        for vm, silence in self._liveness.seconds_since_heard().items():
            if silence <= HEARTBEAT_INTERVAL_S:
                self._membership.record_received(vm)
        for link in self._homes.links.values():
            link.check()
        self._server.abort_suspected()
        self._heartbeat_verifier.retain(frozenset(peers))
        self._incarnations = {v: i for v, i in self._incarnations.items() if v in peers}
        for group in list(self._groups.values()):
            await group.local.release_unless_home(
                is_home=group.home == self._identity.vm
            )

    def _send_heartbeat(self, vm: str) -> None:
        record = self._homes.peers.get(vm)
        if record is None or not record.heartbeat_address:
            return
        try:
            host, port = split_address(record.heartbeat_address)
        except ValueError:
            return
        incarnation = max(record.incarnation, self._incarnations.get(vm, 0))
        heartbeat = Heartbeat(
            vm, incarnation, next(self._heartbeat_numbers), self._leaving
        )
        message = seal_heartbeat(self._keys, self._identity, heartbeat)
        self._transport.send(host, port, message)

    def _on_heartbeat(self, data: bytes) -> None:
        try:
            envelope = self._heartbeat_verifier.open(data)
        except BadMessage as error:
            self._count_dropped(str(error))
            return
        vm = envelope.vm
        if vm not in self._homes.peers:
            self._count_dropped("foreign")
            return
        self._liveness.record_received(vm)
        if envelope.body.leaving:
            self._homes.record_leaving(vm, envelope.incarnation)

    def _on_vms_changed(self, event: WatchEvent) -> None:
        if self._membership.peers_version != self._peers_version:
            self._update_homes()

    def _update_homes(self) -> dict[str, VmRecord]:
        """Apply the VM list if it changed, and return it."""
        peers = self._membership.peers()
        # Sorting 2,300 VMs takes 0.3 ms, too long to repeat for each revision.
        if self._membership.peers_version != self._peers_version:
            self._peers_version = self._membership.peers_version
            self._homes.update(peers)
        return peers

    def _count_dropped(self, reason: str) -> None:
        self._metrics.count("peer_messages_dropped", reason=reason)


def _address(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
