"""Which replica may lead the next term."""

from __future__ import annotations

from collections.abc import Mapping

from celeryjunction.replication.ports import (
    EndpointInfo,
    EndpointStatus,
    LogPosition,
)


def choose_replica(
    statuses: Mapping[str, EndpointStatus],
    endpoints: Mapping[str, EndpointInfo],
    *,
    acknowledged: LogPosition,
) -> str | None:
    """Return the replica that received most; None when none has all that must stay.

    `statuses` are those of paused replicas. Every acknowledged commit is at one of
    them if all are paused, so the furthest has them all; `acknowledged` is the highest
    position that VMs saw acknowledged, for the case that one was lost. Of equal ones
    a replica that stays goes before one that drains, then the one that applied more.
    """
    if not statuses:
        return None
    furthest = max(status.received for status in statuses.values())
    if furthest < acknowledged:
        return None

    def preference(name: str) -> tuple[bool, float, str]:
        info = endpoints.get(name)
        return info is not None and info.draining, statuses[name].lag_s, name

    equal = [name for name, status in statuses.items() if status.received == furthest]
    return min(equal, key=preference)
