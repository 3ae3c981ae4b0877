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
CORE_MBPS = 50.0
"""Traffic of a home, Mbit/s, that keeps one core busy. A statement takes 0.5 ms of a
core (0.03 to 0.06 of a core with 65 to 120 statements/s, docs/CAPACITY.md), so a core
bears 2,000 a second. A home receives and sends each statement and its answer, four
messages of about 0.75 KB: 25 kbit a statement. VMs of a sweep had
1.7 MB/s at 27% of their processor while 101 VMs started, which is 50 Mbit/s as well.
The size is assumed; docs/design/load-balancing.md says what the figure is good for."""
MIN_CORES = 0.01
"""Least capacity that a VM announces; 0 means that it announces none."""
HOMES_PER_ZONE = 2
"""Homes of a group in a zone, so that one is left when a VM is lost."""


def is_crowded(limit: int, vms: int) -> bool:
    """Whether a connection limit of the endpoints is too low for so many VMs."""
    return limit < MIN_CONNECTIONS_PER_VM * vms


def home_weights(vms: Mapping[str, tuple[float, float]]) -> dict[str, float]:
    """Return the weight of each VM as a home, Mbit/s, from its link and its cores.

    That is the lesser of what the link and the processor bear. As long as any VM
    announces no cores (0), an older version runs there that weighs VMs by their links
    alone, and all VMs do the same: two versions would otherwise choose other homes.

    ```python
    home_weights({"a": (200.0, 1.0), "b": (10.0, 1.0)})  # {"a": 50.0, "b": 10.0}
    home_weights({"a": (200.0, 1.0), "b": (10.0, 0.0)})  # {"a": 200.0, "b": 10.0}
    ```
    """
    announced = all(cores > 0.0 for _, cores in vms.values())
    return {
        vm: max(min(link, CORE_MBPS * cores) if announced else link, 1.0)
        for vm, (link, cores) in vms.items()
    }


def homes_of_group(
    group: str, zones: Mapping[str, Mapping[str, float]]
) -> dict[str, list[str]]:
    """Return the homes of a group for each zone: the preferred home and its standby.

    `zones` gives the weights of each zone's VMs (`home_weights`). VMs with more
    capacity are preferred, because a home carries the traffic of several VMs.
    """
    return {
        zone: rank_weighted(group, links)[:HOMES_PER_ZONE]
        for zone, links in zones.items()
    }
