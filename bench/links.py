"""Loopback links of VMs and endpoints, on each of which several faults may hold."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bench.fault_proxy import FaultProxy
from bench.platform_cluster import EdgeProcess
from celeryjunction.platform.standin import StandinPlatform


class LinkFault:
    """What a fault does to a link while it holds."""

    __slots__ = ("delay_s", "directions")

    def __init__(self, *directions: str, delay_s: float = 0.0) -> None:
        self.directions = frozenset(directions)
        """Directions (``up``, ``down``) in which bytes are withheld."""
        self.delay_s = delay_s


class Link:
    """A proxy in a zone with the faults that hold on it."""

    def __init__(self, proxy: FaultProxy, *, zone: str) -> None:
        self.proxy = proxy
        self.zone = zone
        self._faults: list[LinkFault] = []

    def begin(self, fault: LinkFault) -> None:
        """Let a fault hold beside those that already do."""
        self._faults.append(fault)
        self._apply()

    def end(self, fault: LinkFault) -> None:
        """End a fault; bytes that no other fault withholds are forwarded."""
        self._faults.remove(fault)
        self._apply()

    def _apply(self) -> None:
        directions = frozenset().union(*(fault.directions for fault in self._faults))
        self.proxy.unblock()
        if directions:
            self.proxy.block(*directions)
        delays = (fault.delay_s for fault in self._faults)
        self.proxy.delay_s = max(delays, default=0.0)


class BlockedLinks:
    """Some links whose bytes can be withheld beside their other faults."""

    def __init__(self, links: Callable[[], Iterable[Link]]) -> None:
        self._links = links
        self._blocked: list[tuple[Link, LinkFault]] = []

    def block(self, *directions: str) -> None:
        """Withhold the bytes of these directions until `unblock`."""
        self.unblock()
        for link in self._links():
            fault = LinkFault(*directions)
            link.begin(fault)
            self._blocked.append((link, fault))

    def unblock(self) -> None:
        """Forward all bytes again that no other fault withholds."""
        for link, fault in self._blocked:
            link.end(fault)
        self._blocked.clear()


class Links:
    """All links of a platform, by kind.

    Each VM has links of its own to the store (``store``) and to the promotion API
    (``promotion``), and one over which the other VMs reach it (``vm``). Each endpoint
    has one that all VMs share (``endpoint``).
    """

    def __init__(self, platform: StandinPlatform) -> None:
        self._platform = platform
        self._links: dict[str, dict[str, Link]] = {}

    @property
    def kinds(self) -> list[str]:
        """The kinds of which there are links."""
        return list(self._links)

    def of_kind(self, kind: str) -> dict[str, Link]:
        """Return all links of a kind, by the name of the VM or the endpoint."""
        return dict(self._links[kind])

    def add(self, kind: str, name: str, link: Link) -> None:
        """Add the link of a VM or an endpoint."""
        self._links.setdefault(kind, {})[name] = link

    def remove(self, kind: str, name: str) -> None:
        """Close and forget the link of a VM or an endpoint."""
        self._links[kind].pop(name).proxy.close()

    async def add_vm(self, edge: EdgeProcess, *, zone: str) -> None:
        """Open the links of an edge that has not started yet.

        Raises `OSError` if no port is left.
        """
        platform, name = self._platform, edge.name
        store_port, promotion_port = (
            int(address.rpartition(":")[2])
            for address in (platform.store.address, platform.store.promotion_address)
        )
        platform.store_addresses[name] = await self._open(
            "store", name, zone, lambda: store_port
        )
        platform.cloud_addresses[name] = await self._open(
            "promotion", name, zone, lambda: promotion_port
        )
        platform.store.advertised_vms[name] = await self._open(
            "vm", name, zone, lambda: edge.internal_port
        )

    async def _open(
        self, kind: str, name: str, zone: str, port: Callable[[], int]
    ) -> str:
        proxy = FaultProxy(port)
        await proxy.start()
        self.add(kind, name, Link(proxy, zone=zone))
        return f"127.0.0.1:{proxy.port}"

    def close(self) -> None:
        """Close all links."""
        for links in self._links.values():
            for link in links.values():
                link.proxy.close()
