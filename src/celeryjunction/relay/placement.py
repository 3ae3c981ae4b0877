"""Which VMs are homes of a group, computed alike on each VM from the list of VMs.

Endpoints accept a limited number of connections from all VMs together. While each VM
can have its part, each is a home and runs its callers' statements itself. With more
VMs than that, a few of each zone are homes, and the others pass statements on to a
home of their own zone. Answers the load of a site that grows in VMs, not in endpoints.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from celeryjunction.home import rank_homes

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
    group: str, vms: Iterable[str], *, limit: int, zones: int
) -> list[str]:
    """Return a zone's homes of a group, of which there are few, the first one first."""
    count = int(limit * STEADY_SHARE / CONNECTIONS_PER_HOME) // max(zones, 1)
    return rank_homes(group, vms)[: max(count, LEAST_HOMES)]


def homes_of_group(
    group: str, vms_by_zone: Mapping[str, Iterable[str]], *, limit: int
) -> dict[str, list[str]]:
    """Return the homes of a group for each zone, from the names of its VMs."""
    names = {zone: sorted(vms) for zone, vms in vms_by_zone.items()}
    if not is_crowded(limit, sum(map(len, names.values()))):
        return names
    return {
        zone: homes_of_zone(group, vms, limit=limit, zones=len(names))
        for zone, vms in names.items()
    }
