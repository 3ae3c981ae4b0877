"""Which VMs are homes of a group, computed alike on each VM from the list of VMs.

Endpoints accept a limited number of connections from all VMs together. While each VM
can have its part, each is a home and runs its callers' statements itself. With more
VMs than that, a few of each zone are homes, and the others pass statements on to the
first of them that answers. VMs with a wide link are preferred, because a home carries
the traffic of several. Answers the load of a site that grows in VMs, not in endpoints.
"""

from __future__ import annotations

from collections.abc import Mapping

from celeryjunction.home import rank_weighted

CONNECTIONS_PER_VM = 3
"""Connections that a VM needs at an endpoint to serve without waiting for one: two
for statements and one for status."""
CONNECTIONS_PER_HOME = 5
"""Connections that a home keeps at an endpoint on an ordinary day: as many as an
endpoint has slots (4 on the users' sheet), and one for a transaction that pauses."""
STEADY_SHARE = 0.5
"""Part of an endpoint's limit that homes use on an ordinary day. An endpoint keeps the
connections of VMs that lost power for 3 s; the rest lets them come back before."""
LEAST_HOMES = 2
"""Homes of a zone: one more than are lost with a VM."""


def is_crowded(limit: int, vms: int) -> bool:
    """Whether endpoints accept too few connections for all VMs."""
    return limit < CONNECTIONS_PER_VM * vms


def homes_of_zone(
    group: str, weights: Mapping[str, float], *, limit: int, zones: int
) -> list[str]:
    """Return a zone's homes of a group, the one to use first and those that stand by.

    `weights` are the links of the zone's VMs, Mbit/s.
    """
    count = int(limit * STEADY_SHARE / CONNECTIONS_PER_HOME) // max(zones, 1)
    return rank_weighted(group, weights)[: max(count, LEAST_HOMES)]


def homes_of_group(
    group: str, zones: Mapping[str, Mapping[str, float]], *, limit: int
) -> dict[str, list[str]]:
    """Return the homes of a group for each zone, from the links of its VMs."""
    if not is_crowded(limit, sum(map(len, zones.values()))):
        return {zone: sorted(weights) for zone, weights in zones.items()}
    return {
        zone: homes_of_zone(group, weights, limit=limit, zones=len(zones))
        for zone, weights in zones.items()
    }
