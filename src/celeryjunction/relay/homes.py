"""Where this VM runs a group's statements: itself, or at a home of its zone."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from random import Random

from celeryjunction.membership import VmRecord
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.placement import HOMES, homes_of_group

BACK_WAIT_S = 0.3
"""Longest wait of a statement for a home that may be back soon: VMs that start at the
same moment are ready within 0.3 s of each other, by the users' pages."""
BACK_POLL_S = 0.01


class HomeSelector:
    """Follows the list of VMs and keeps the links to this zone's homes."""

    def __init__(
        self,
        own: VmRecord,
        *,
        random: Random,
        on_update: Callable[[HomeLink], None] = lambda link: None,
    ) -> None:
        self._vm = own.name
        self._zone = own.zone
        self._own = own
        self._on_update = on_update
        self._random = random
        self._vms: dict[str, int] = {}
        self._homes: dict[str, dict[str, list[str]]] = {}
        self._links: dict[str, HomeLink] = {}
        self._retired: dict[str, HomeLink] = {}
        """Links to VMs that are no homes any more, until what runs there has ended."""
        self._known = False
        """Whether the other VMs are known."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self._vm
        yield "links", sorted(self._links)

    def update(self, peers: Mapping[str, VmRecord], groups: Iterable[str]) -> None:
        """Take over the other VMs and the groups."""
        self._known = True
        zones: dict[str, dict[str, float]] = {}
        for record in (self._own, *peers.values()):
            if not record.leaving:
                links = zones.setdefault(record.zone, {})
                links[record.name] = max(record.link_mbps, 1.0)
        self._vms = {zone: len(links) for zone, links in zones.items()}
        self._homes = {group: homes_of_group(group, zones) for group in groups}
        self._keep_links(
            {
                name: address
                for group in self._homes
                if not self.is_home(group)
                for name in self._of_zone(group)
                if name in peers and (address := _address(peers[name])) is not None
            }
        )

    def _keep_links(self, wanted: Mapping[str, tuple[str, int]]) -> None:
        """Have a link to each of these VMs; others end when nothing runs there."""
        for name in [n for n in self._links if n not in wanted]:
            self._retired[name] = self._links.pop(name)
        for name, address in wanted.items():
            known = self._links.get(name) or self._retired.pop(name, None)
            if known is not None and known.address != address:
                known.close()
                known = None
            self._links[name] = known or HomeLink(
                name, address, random=self._random, on_update=self._on_update
            )
        for name in [n for n, link in self._retired.items() if not link.busy]:
            self._retired.pop(name).close()

    def _of_zone(self, group: str) -> list[str]:
        return self._homes.get(group, {}).get(self._zone, [])

    def is_home(self, group: str) -> bool:
        """Whether this VM connects to the group's endpoints itself.

        It does not before it knows the other VMs.
        """
        return self._vm in self._of_zone(group)

    def home_count(self, group: str) -> int:
        """Return the number of homes in all zones, those that stand by included."""
        return max(1, sum(map(len, self._homes.get(group, {}).values())))

    def active_home_count(self, group: str) -> int:
        """Return the number of VMs that use the group's endpoints on a calm day.

        That is one home of each zone, or both where both have callers of their own.
        """
        homes = self._homes.get(group, {})
        return max(
            1,
            sum(
                len(names) if self._vms.get(zone, 0) <= HOMES else 1
                for zone, names in homes.items()
            ),
        )

    async def choose(
        self, group: str, *, other_than: HomeLink | None = None
    ) -> HomeLink | None:
        """Return the home that runs a group's next transaction; None for this VM.

        It is the first that answers, so that few connections and few proofs serve the
        whole zone; one that lately proved the primary goes before one that did not,
        as after its start. A VM that reaches no home of its zone serves the group
        itself. `other_than` is a home that was tried already.
        """
        link = self._best(group, other_than)
        if link is None and not self.is_home(group) and other_than is None:
            await self._until_back(group)
            link = self._best(group, None)
        return link

    def _best(self, group: str, other_than: HomeLink | None) -> HomeLink | None:
        usable = [
            link
            for link in self._links_of(group)
            if link.usable and link is not other_than
        ]
        proven = (link for link in usable if group in link.status.served)
        return next(proven, usable[0] if usable else None)

    async def _until_back(self, group: str) -> None:
        """Wait a moment for homes that may be starting, as this VM may be."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + BACK_WAIT_S
        while loop.time() < deadline and not self.is_home(group):
            links = self._links_of(group)
            if any(link.usable for link in links):
                return
            if self._known and not any(link.may_return for link in links):
                return
            await asyncio.sleep(BACK_POLL_S)

    def _links_of(self, group: str) -> list[HomeLink]:
        names = self._of_zone(group)
        return [self._links[name] for name in names if name in self._links]

    def is_primary_proven(self, group: str) -> bool:
        """Whether a home says that it proved the group's primary lately."""
        return any(
            link.usable and group in link.status.served
            for link in self._links_of(group)
        )

    @property
    def is_forwarding_only(self) -> bool:
        """Whether this VM is no home, and a home that it reaches reads the platform."""
        if not self._known or any(map(self.is_home, self._homes)):
            return False
        return any(link.usable for link in self._links.values())

    @property
    def isolated(self) -> bool:
        """Whether most homes that answer say that they reach no other zone.

        A home of few groups may not be able to tell.
        """
        statuses = [link.status for link in self._links.values() if link.status]
        return 2 * sum(status.isolated for status in statuses) > len(statuses)

    def close(self) -> None:
        """Close all links."""
        for link in (*self._links.values(), *self._retired.values()):
            link.close()
        self._links.clear()
        self._retired.clear()


def _address(record: VmRecord) -> tuple[str, int] | None:
    host, _, port = record.peer_address.rpartition(":")
    return (host, int(port)) if host and port.isdigit() and int(port) else None
