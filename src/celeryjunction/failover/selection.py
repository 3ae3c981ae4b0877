"""Selection of the replica that becomes the next primary."""

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
    sealed: str = "",
) -> str | None:
    """Return the replica with the most log; None if all lack an acknowledged commit.

    `statuses` are those of paused replicas. If all members are paused, every confirmed
    commit is at one of them, so the one with the most log has them all. `acknowledged`
    is the highest position that is known to have been confirmed, or to have been
    received by a member that left since. Among equals, the one that is already `sealed`
    is preferred, then one that is not draining, then the one with the least apply lag.
    """
    if not statuses:
        return None
    highest = max(status.received for status in statuses.values())
    if highest < acknowledged:
        return None

    def preference(name: str) -> tuple[bool, bool, float, str]:
        info = endpoints.get(name)
        draining = info is not None and info.draining
        return name != sealed, draining, statuses[name].lag_s, name

    candidates = [
        name for name, status in statuses.items() if status.received == highest
    ]
    return min(candidates, key=preference)
