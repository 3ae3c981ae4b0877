"""Decides whether a VM asks the load balancer for new clients.

A VM withdraws only for what another VM does better: it drains, has no routes or
endpoints yet, is cut off from the other zones, or reaches no endpoint of most groups. A
group without a primary is no reason, since every VM refuses the same statements of
that group: if all VMs withdrew for it, nobody would serve the reads that replicas can
answer, nor the other groups.
"""

from __future__ import annotations

from typing import NamedTuple

START_LIMIT_S = 3.0
"""A VM that starts waits this long at most until it has proven most primaries. Evidence
on connections that are younger than `STABLE_CONNECTION_S` in replication/group.py needs
the answers of all replicas, which may not be had."""


class GroupView(NamedTuple):
    """What a VM knows of one group, itself or through a home."""

    is_reached: bool
    """Whether an endpoint of the group answered recently."""
    is_proven: bool
    """Whether the group's primary was proven recently."""


class Readiness:
    """Readiness of one VM over time. Times are seconds of one clock."""

    __slots__ = ("_has_started", "_reached_since")

    def __init__(self) -> None:
        self._has_started = False
        self._reached_since: float | None = None

    def is_ready(self, groups: list[GroupView], *, now: float) -> bool:
        """Return whether this VM can serve most groups as well as other VMs can.

        ```python
        unproven = GroupView(is_reached=True, is_proven=False)
        readiness.is_ready([unproven, unproven], now=started_at)  # False: it starts
        ```
        """
        reached = sum(group.is_reached for group in groups)
        if not groups or 2 * reached < len(groups):
            self._reached_since = None
            return False
        if self._reached_since is None:
            self._reached_since = now
        proven = sum(group.is_proven for group in groups)
        if 2 * proven >= len(groups) or now - self._reached_since >= START_LIMIT_S:
            self._has_started = True
        return self._has_started
