"""Homes of a group whose records are gone, though they didn't announce that they leave.

The store may turn a VM away until its lease ends. The VM goes on confirming commits of
its groups, so whoever counts the votes of all homes has to count it too:

    vanished.update({"g": {"vm-1", "vm-2"}}, peers, own="vm-1")  # vm-2 is not in peers
    vanished.names("g")  # {"vm-2"}
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from celeryjunction.membership import VmRecord
from celeryjunction.ports import Clock
from celeryjunction.replication.restarts import RESTART_LIMIT_S

VANISHED_LIMIT_S = RESTART_LIMIT_S
"""A home whose record is gone is expected back for this long. Nothing that its vote is
needed for waits longer."""


class VanishedHomes:
    """The vanished homes of all groups."""

    __slots__ = ("_clock", "_left_at", "_vanished_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._vanished_at: dict[tuple[str, str], float] = {}
        """When the record of a group's home was found missing; seconds."""
        self._left_at: dict[str, float] = {}
        """When VMs last announced that they leave; seconds."""

    def update(
        self,
        homes: Mapping[str, Collection[str]],
        peers: Mapping[str, VmRecord],
        *,
        own: str,
    ) -> None:
        """Compare the homes that each group had with the VMs that are announced now.

        `own` is the name of this VM, which isn't among its peers.
        """
        now = self._clock.monotonic()
        oldest = now - VANISHED_LIMIT_S
        leaving = (name for name, record in peers.items() if record.leaving)
        self._left_at |= dict.fromkeys(leaving, now)
        self._left_at = {n: at for n, at in self._left_at.items() if at >= oldest}
        present = {own, *peers, *self._left_at}
        for group, names in homes.items():
            for name in names:
                if name not in present:
                    self._vanished_at.setdefault((group, name), now)
        self._vanished_at = {
            (group, name): at
            for (group, name), at in self._vanished_at.items()
            if name not in present and at >= oldest
        }

    def names(self, group: str) -> set[str]:
        """Return the homes of a group that may still confirm its commits."""
        oldest = self._clock.monotonic() - VANISHED_LIMIT_S
        return {
            name
            for (known, name), at in self._vanished_at.items()
            if known == group and at >= oldest
        }
