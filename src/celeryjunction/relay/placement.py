"""Which VMs are homes of a group, computed alike on each VM from the list of VMs.

An endpoint runs a few statements at once and accepts a limited number of connections,
from all VMs together. Many VMs that each reach it on their own neither know when it is
busy nor leave each other connections. A few VMs of each zone are therefore homes of a
group. The others pass statements on to the first home of their zone that answers. In a
zone with no more VMs than that, each runs its callers' statements itself. Answers the
load of a site that grows in VMs, not in endpoints.
"""

from __future__ import annotations

from collections.abc import Mapping

from celeryjunction.home import rank_weighted

CONNECTIONS_PER_VM = 3
"""Connections that a VM needs at an endpoint to serve without waiting for one: two
for statements and one for status."""
HOMES = 2
"""Homes of a group in a zone: one more than are lost with a VM."""


def is_crowded(limit: int, vms: int) -> bool:
    """Whether endpoints accept too few connections for all VMs."""
    return limit < CONNECTIONS_PER_VM * vms


def homes_of_group(
    group: str, zones: Mapping[str, Mapping[str, float]]
) -> dict[str, list[str]]:
    """Return the homes of a group for each zone, the one to use first and its stand-in.

    `zones` gives the links of each zone's VMs, Mbit/s. A wide link is preferred,
    because a home carries the traffic of several VMs.
    """
    return {zone: rank_weighted(group, links)[:HOMES] for zone, links in zones.items()}
