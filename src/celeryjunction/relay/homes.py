"""Where this VM runs a group's statements: itself, or at a home of its zone."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Mapping
from random import Random

from celeryjunction.membership import VmRecord
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.placement import homes_of_group

FIRST_WAIT_S = 0.2
"""Wait for the first connection to a home that was just learned of."""


class Homes:
    """Follows the list of VMs and keeps the links to this zone's homes."""

    def __init__(self, own: VmRecord, *, random: Random) -> None:
        self._vm = own.name
        self._zone = own.zone
        self._own = own
        self._random = random
        self._vms = 1
        self._homes: dict[str, dict[str, list[str]]] = {}
        self._links: dict[str, HomeLink] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self._vm
        yield "links", sorted(self._links)

    def follow(self, peers: Mapping[str, VmRecord], limits: Mapping[str, int]) -> None:
        """Take over the other VMs, and the connection limit of each group."""
        zones: dict[str, dict[str, float]] = {}
        for record in (self._own, *peers.values()):
            if not record.leaving:
                links = zones.setdefault(record.zone, {})
                links[record.name] = max(record.link_mbps, 1.0)
        self._vms = sum(map(len, zones.values()))
        self._homes = {
            group: homes_of_group(group, zones, limit=limit)
            for group, limit in limits.items()
        }
        wanted = {
            name: address
            for group in limits
            if not self.is_home(group)
            for name in self._of_zone(group)
            if name in peers and (address := _address(peers[name])) is not None
        }
        for name in [n for n in self._links if n not in wanted]:
            self._links.pop(name).close()
        for name, address in wanted.items():
            known = self._links.get(name)
            if known is not None and known.address != address:
                known.close()
                known = None
            if known is None:
                self._links[name] = HomeLink(name, address, random=self._random)

    def _of_zone(self, group: str) -> list[str]:
        return self._homes.get(group, {}).get(self._zone, [])

    def is_home(self, group: str) -> bool:
        """Whether this VM connects to the group's endpoints itself."""
        return group not in self._homes or self._vm in self._of_zone(group)

    def count(self, group: str) -> int:
        """Return the number of homes in all zones, those that stand by included."""
        return max(1, sum(map(len, self._homes.get(group, {}).values())))

    def sharers(self, group: str) -> int:
        """Return the number of VMs that use the group's endpoints on a calm day."""
        homes = self._homes.get(group, {})
        return self.count(group) if self._all_are_homes(group) else max(1, len(homes))

    def _all_are_homes(self, group: str) -> bool:
        return self.count(group) >= self._vms

    async def choose(self, group: str) -> HomeLink | None:
        """Return the home that runs a group's next transaction; None for this VM.

        It is the first that answers, so that few connections and few proofs serve the
        whole zone. A VM that reaches no home of its zone serves the group itself.
        """
        if self.is_home(group):
            return None
        links = self._links_of(group)
        if not any(link.usable for link in links):
            first = [link.tried.wait() for link in links if not link.tried.is_set()]
            if first:
                await _wait_any(first, FIRST_WAIT_S)
        return next((link for link in links if link.usable), None)

    def _links_of(self, group: str) -> list[HomeLink]:
        names = self._of_zone(group)
        return [self._links[name] for name in names if name in self._links]

    def serves(self, group: str) -> bool:
        """Whether a home says that it proved the group's primary lately."""
        return any(
            link.usable and group in link.pulse.served for link in self._links_of(group)
        )

    @property
    def isolated(self) -> bool:
        """Whether all homes that answer say that they reach no other zone."""
        pulses = [link.pulse for link in self._links.values() if link.pulse]
        return bool(pulses) and all(pulse.isolated for pulse in pulses)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()


async def _wait_any(waits: list, timeout: float) -> None:
    tasks = [asyncio.ensure_future(wait) for wait in waits]
    try:
        await asyncio.wait(tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


def _address(record: VmRecord) -> tuple[str, int] | None:
    host, _, port = record.peer_address.rpartition(":")
    return (host, int(port)) if host and port.isdigit() else None
