"""Other VMs that report their register while the store doesn't answer this VM.

The store may turn single VMs away and serve the others. A VM whose own reads are not
answered connects to others and takes over what these have read, so that it learns which
endpoints drain. If the store answers nobody, it is enough that all VMs which may
replace a primary know of the same drains:

    sources.update(membership.peers(), monitors=homes.fellow_homes, is_needed=True)
    sources.record_report(link, is_same=True)  # for each status
    sources.agreed_at  # when the first of them was asked
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Mapping
from math import inf
from random import Random

from celeryjunction.decoding import parse_address
from celeryjunction.home import rank_weighted
from celeryjunction.membership import VmRecord
from celeryjunction.ports import Clock
from celeryjunction.relay.home_link import HomeLink

SOURCES_AGE_S = 1.7
"""Age of this VM's last read of the register at which others are asked. Reads are sent
more often while the store answers."""
MAX_MONITORS = 16
"""All VMs that monitor the same groups are asked if they are no more than this."""
FURTHER_SOURCES = 4
"""Other VMs that are asked; the store may turn away all that monitor the groups."""


class RegisterSources:
    """Connections to the VMs that are asked for their register.

    `on_update` is called with a link when its VM sent a status or its endpoints.
    """

    __slots__ = (
        "_agreed_at",
        "_clock",
        "_links",
        "_monitors",
        "_on_update",
        "_own",
        "_random",
        "_zones",
    )

    def __init__(
        self,
        own: VmRecord,
        *,
        random: Random,
        clock: Clock,
        on_update: Callable[[HomeLink], None],
    ) -> None:
        self._own = own
        self._random = random
        self._clock = clock
        self._on_update = on_update
        self._links: dict[str, HomeLink] = {}
        self._zones: dict[str, str] = {}
        self._monitors: frozenset[str] = frozenset()
        self._agreed_at: dict[str, float] = {}
        """When VMs were last asked that had the same list; monotonic seconds."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "links", sorted(self._links)

    @property
    def agreed_at(self) -> float:
        """When all VMs that monitor the same groups had the same list.

        Monotonic seconds; minus infinity if not all have reported it.
        """
        if not self._links:
            return -inf
        return min((self._agreed_at.get(n, -inf) for n in self._monitors), default=-inf)

    @property
    def reaches_zone(self) -> bool:
        """Whether a VM of another zone answers."""
        return any(
            link.status is not None and self._zones.get(name) != self._own.zone
            for name, link in self._links.items()
        )

    def record_report(self, link: HomeLink, *, is_same: bool) -> None:
        """Note whether a VM had the same list of endpoints when it was last asked."""
        if is_same:
            self._agreed_at[link.vm] = link.status_asked_at

    def update(
        self,
        peers: Mapping[str, VmRecord],
        *,
        monitors: Collection[str],
        is_needed: bool,
    ) -> None:
        """Connect to some of the peers while they are needed, to none otherwise.

        `monitors` are the VMs that monitor the same groups as this one.
        """
        self._monitors = frozenset(monitors) - {self._own.name}
        self._zones = {name: record.zone for name, record in peers.items()}
        wanted = self._choose(peers) if is_needed else {}
        obsolete = [
            n for n, link in self._links.items() if wanted.get(n) != link.address
        ]
        for name in obsolete:
            self._links.pop(name).close()
        for name, address in wanted.items():
            if name not in self._links:
                self._links[name] = HomeLink(
                    name,
                    address,
                    random=self._random,
                    clock=self._clock,
                    on_update=self._on_update,
                )
        if not wanted:
            self._agreed_at.clear()

    def _choose(self, peers: Mapping[str, VmRecord]) -> dict[str, tuple[str, int]]:
        """Choose the VMs to ask; the further ones by a hash with this VM's name."""
        addresses = {
            name: address
            for name, record in peers.items()
            if (address := parse_address(record.peer_address)) is not None
        }
        ranked = rank_weighted(self._own.name, dict.fromkeys(addresses, 1.0))
        monitors = [name for name in ranked if name in self._monitors]
        others = [name for name in ranked if name not in self._monitors]
        names = monitors[:MAX_MONITORS] + others[:FURTHER_SOURCES]
        return {name: addresses[name] for name in names}

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()
        self._links.clear()
