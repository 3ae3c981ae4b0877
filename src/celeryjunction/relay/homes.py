"""Selects where this VM runs a group's statements: locally or at a home of its zone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random

from celeryjunction.decoding import parse_address
from celeryjunction.membership import VmRecord
from celeryjunction.ports import Clock
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.placement import (
    HOMES_PER_ZONE,
    home_weights,
    homes_of_group,
)
from celeryjunction.relay.vanished_homes import VanishedHomes

HOME_WAIT_S = 0.3
"""Longest wait of a statement for a home that may soon be usable: VMs that start at the
same time are ready within 0.3 s of each other."""
HOME_POLL_S = 0.01
"""Interval of the checks during this wait."""


class HomeSelector:
    """Derives the homes from the list of VMs and keeps the links to this zone's homes.

    `on_update` is called with a link when its home sent a status or its endpoints.
    """

    def __init__(
        self,
        own: VmRecord,
        *,
        random: Random,
        clock: Clock,
        on_update: Callable[[HomeLink], None] = lambda link: None,
    ) -> None:
        self._clock = clock
        self._vm = own.name
        self._zone = own.zone
        self._own_record = own
        self._on_update = on_update
        self._random = random
        self._vms_per_zone: dict[str, int] = {}
        self._homes: dict[str, dict[str, list[str]]] = {}
        self._vanished = VanishedHomes(clock)
        self._links: dict[str, HomeLink] = {}
        self._retired: dict[str, HomeLink] = {}
        """Links to VMs that are no longer homes, until their statements have ended."""
        self._has_vm_list = False
        """Whether the list of VMs was received."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self._vm
        yield "links", sorted(self._links)

    def update(self, peers: Mapping[str, VmRecord], groups: Iterable[str]) -> None:
        """Compute the homes of the groups from the other VMs, and adapt the links."""
        self._has_vm_list = True
        records = [
            record
            for record in (self._own_record, *peers.values())
            if not record.leaving
        ]
        weights = home_weights({r.name: (r.link_mbps, r.cores) for r in records})
        zones: dict[str, dict[str, float]] = {}
        for record in records:
            zones.setdefault(record.zone, {})[record.name] = weights[record.name]
        self._vms_per_zone = {zone: len(vms) for zone, vms in zones.items()}
        before = {group: self.homes(group) for group in self._homes}
        self._vanished.update(before, peers, own=self._vm)
        self._homes = {group: homes_of_group(group, zones) for group in groups}
        self._update_links(
            {
                name: address
                for group in self._homes
                if not self.is_home(group)
                for name in self._homes_in_zone(group)
                if name in peers
                and (address := parse_address(peers[name].peer_address)) is not None
            }
        )

    def _update_links(self, wanted: Mapping[str, tuple[str, int]]) -> None:
        """Keep links to exactly these VMs; other links close once they are idle."""
        for name in [n for n in self._links if n not in wanted]:
            self._retired[name] = self._links.pop(name)
        for name, address in wanted.items():
            existing = self._links.get(name) or self._retired.pop(name, None)
            if existing is not None and existing.address != address:
                existing.close()
                existing = None
            self._links[name] = existing or HomeLink(
                name,
                address,
                random=self._random,
                clock=self._clock,
                on_update=self._on_update,
            )
        for name in [n for n, link in self._retired.items() if not link.busy]:
            self._retired.pop(name).close()

    def _homes_in_zone(self, group: str) -> list[str]:
        return self._homes.get(group, {}).get(self._zone, [])

    def is_home(self, group: str) -> bool:
        """Whether this VM is a home of the group; False before the first `update`."""
        return self._vm in self._homes_in_zone(group)

    @property
    def fellow_homes(self) -> set[str]:
        """Homes of the groups that this VM is a home of, itself included."""
        groups = filter(self.is_home, self._homes)
        return {name for group in groups for name in self.homes(group)}

    def homes(self, group: str) -> set[str]:
        """Return the homes of a group in all zones, including standbys."""
        zones = self._homes.get(group, {})
        return {name for names in zones.values() for name in names}

    def vanished_homes(self, group: str) -> set[str]:
        """Return the former homes of a group that may still confirm its commits."""
        return self._vanished.names(group)

    def home_count(self, group: str) -> int:
        """Return the number of homes in all zones, including standbys."""
        return max(1, sum(map(len, self._homes.get(group, {}).values())))

    def active_home_count(self, group: str) -> int:
        """Return the number of VMs that use the group's endpoints in normal operation.

        That is one home for each zone. In a zone with no more VMs than homes it is
        every VM, since each runs the statements of its own clients.
        """
        homes = self._homes.get(group, {})
        return max(
            1,
            sum(
                len(names) if self._vms_per_zone.get(zone, 0) <= HOMES_PER_ZONE else 1
                for zone, names in homes.items()
            ),
        )

    async def choose(
        self, group: str, *, other_than: HomeLink | None = None
    ) -> HomeLink | None:
        """Return the home to run a group's next transaction at; None for this VM.

        All VMs of a zone prefer the first usable home, so that few connections and few
        proofs of the primary serve the zone. A home that recently proved the primary
        goes before one that did not, such as one that just started. A VM that reaches
        no home runs the transaction itself. `other_than` is a home that was already
        tried.
        """
        link = self._best_link(group, other_than)
        if link is None and not self.is_home(group) and other_than is None:
            await self._wait_for_home(group)
            link = self._best_link(group, None)
        return link

    def _best_link(self, group: str, other_than: HomeLink | None) -> HomeLink | None:
        usable = [
            link
            for link in self._links_for(group)
            if link.usable and link is not other_than
        ]
        proven = (link for link in usable if group in link.status.served)
        return next(proven, usable[0] if usable else None)

    async def _wait_for_home(self, group: str) -> None:
        """Wait briefly for a home that may be starting at the same time as this VM."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + HOME_WAIT_S
        while loop.time() < deadline and not self.is_home(group):
            links = self._links_for(group)
            if any(link.usable for link in links):
                return
            if self._has_vm_list and not any(link.may_reconnect for link in links):
                return
            await asyncio.sleep(HOME_POLL_S)

    def _links_for(self, group: str) -> list[HomeLink]:
        names = self._homes_in_zone(group)
        return [self._links[name] for name in names if name in self._links]

    def is_primary_proven(self, group: str) -> bool:
        """Whether a usable home recently proved the group's primary."""
        return any(
            link.usable and group in link.status.served
            for link in self._links_for(group)
        )

    def is_reached(self, group: str) -> bool:
        """Whether an endpoint of the group recently answered a usable home."""
        return any(
            link.usable and group in (*link.status.reached, *link.status.served)
            for link in self._links_for(group)
        )

    @property
    def is_forwarding_only(self) -> bool:
        """Whether this VM is home of no group and reaches a home.

        It then learns of new routes and endpoints from homes.
        """
        if not self._has_vm_list or any(map(self.is_home, self._homes)):
            return False
        return any(link.usable for link in self._links.values())

    @property
    def homes_isolated(self) -> bool:
        """Whether most homes that answer report that they reach no other zone.

        Not all have to report it, since a home of few groups may not be able to tell.
        """
        statuses = [link.status for link in self._links.values() if link.status]
        return 2 * sum(status.isolated for status in statuses) > len(statuses)

    def close(self) -> None:
        """Close all links."""
        for link in (*self._links.values(), *self._retired.values()):
            link.close()
        self._links.clear()
        self._retired.clear()
