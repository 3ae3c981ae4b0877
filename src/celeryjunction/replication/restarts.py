"""Members that started again: what their earlier process alone had may be lost.

A new process replaces the earlier one in the roster only once it is known up to where
that one may have received: by the primary's position after the restart or, without its
answer, by what all VMs saw acknowledged. Until then a failover waits.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from celeryjunction.ports import Clock
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.replication.stored_roster import Roster

RESTART_LIMIT_S = 60.0
"""A new process replaces the earlier one after this without a known position, like a
member that is absent. Longer than a primary that comes back with its log is away."""


def restarted_members(
    members: Mapping[str, EndpointInfo], registered: Mapping[str, EndpointInfo]
) -> list[str]:
    """Return the members that started again: they may hold nothing of before."""
    return [
        name
        for name, member in members.items()
        if name in registered and registered[name].process_key != member.process_key
    ]


class MemberRestarts:
    """Decides which earlier processes stay in one group's roster."""

    __slots__ = ("_accepted", "_clock", "_seen_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._accepted: set[tuple[str, int]] = set()
        self._seen_at: dict[tuple[str, int], float] = {}
        """When new processes were first seen registered; seconds."""

    def accept(self, processes: Iterable[EndpointInfo]) -> None:
        """Note that what earlier processes may have received is known."""
        self._accepted |= {info.process_key for info in processes}

    def merge(self, stored: Roster, seen: Roster) -> dict[str, EndpointInfo]:
        """Return the members of both rosters by id.

        A process that this VM saw replaces another one in the store if accepted.
        """
        members = {member.id: member for member in stored.members}
        for member in seen.members:
            known, key = members.get(member.id, member), member.process_key
            if known.process_key == key or key in self._accepted:
                members[member.id] = member
        return members

    def earlier_processes(
        self,
        members: Mapping[str, EndpointInfo],
        registered: Mapping[str, EndpointInfo],
        *,
        primary: str,
    ) -> dict[str, EndpointInfo]:
        """Return the members, by id, that their new processes must not replace yet.

        The term's primary is none of them, because every confirmed commit is also at
        another member.
        """
        now = self._clock.monotonic()
        keys = {info.process_key for info in registered.values()}
        self._seen_at = {k: at for k, at in self._seen_at.items() if k in keys}
        self._accepted &= keys
        for name in restarted_members(members, registered):
            key = registered[name].process_key
            age_s = now - self._seen_at.setdefault(key, now)
            if name == primary or age_s >= RESTART_LIMIT_S:
                self._accepted.add(key)
        return {
            name: members[name]
            for name in restarted_members(members, registered)
            if registered[name].process_key not in self._accepted
        }
