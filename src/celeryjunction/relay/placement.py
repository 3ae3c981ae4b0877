"""Placement of homes, computed identically on each VM from the list of VMs.

An endpoint runs a few statements at once and accepts a limited number of connections
from all VMs together. If many VMs connected to it independently, none would know when
it is busy, and they would use up its connections. Therefore only a few VMs of each zone
are homes of a group, and the others forward statements to the first usable home of
their zone. In a zone with no more VMs than homes, each VM runs the statements of its
own clients. Thus a site can grow in VMs without more endpoints.
"""

from __future__ import annotations

from collections.abc import Mapping

from celeryjunction.home import rank_weighted

MIN_CONNECTIONS_PER_VM = 3
"""Connections that a VM needs at an endpoint so that its statements need not wait for
one: two for statements and one for status."""
HOMES_PER_ZONE = 2
"""Homes of a group in a zone, so that one is left when a VM is lost."""


def is_crowded(limit: int, vms: int) -> bool:
    """Whether a connection limit of the endpoints is too low for so many VMs."""
    return limit < MIN_CONNECTIONS_PER_VM * vms


def homes_of_group(
    group: str, zones: Mapping[str, Mapping[str, float]]
) -> dict[str, list[str]]:
    """Return the homes of a group for each zone: the preferred home and its standby.

    `zones` gives the network bandwidth of each zone's VMs in Mbit/s. VMs with more
    bandwidth are preferred, because a home carries the traffic of several VMs.
    """
    return {
        zone: rank_weighted(group, links)[:HOMES_PER_ZONE]
        for zone, links in zones.items()
    }
