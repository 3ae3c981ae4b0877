"""Decides which statements of other VMs a home takes, so that no VM fills it."""

from __future__ import annotations

from collections.abc import Hashable

COPIES = 3
"""Copies of a frame while its statement runs: the frame, its fields, the command."""
STATEMENT_BYTES = 4096
"""Memory of a statement beside its frame: task, session and request."""
GUARANTEED_SHARE = 0.5
"""Part of the limit that is divided evenly among the VMs; the rest is for any VM."""


class HomeShares:
    """What the running statements of each forwarding VM take.

    A VM may use what is not guaranteed to the others. One statement of each VM is
    always taken.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._used: dict[Hashable, int] = {}

    def add(self, vm: Hashable) -> None:
        """Start to count a VM."""
        self._used[vm] = 0

    def remove(self, vm: Hashable) -> None:
        """Forget a VM."""
        self._used.pop(vm, None)

    def take(self, vm: Hashable, frame_bytes: int) -> int:
        """Take a statement; return what to pass to `release`, 0 if it is refused."""
        need = frame_bytes * COPIES + STATEMENT_BYTES
        used = self._used.get(vm, 0)
        guaranteed = self.limit * GUARANTEED_SHARE / max(len(self._used), 1)
        others = sum(
            max(other_used, guaranteed)
            for other, other_used in self._used.items()
            if other != vm
        )
        if used and used + need > self.limit - others:
            return 0
        self._used[vm] = used + need
        return need

    def force(self, vm: Hashable, frame_bytes: int) -> int:
        """Take a statement that may not be refused."""
        need = frame_bytes * COPIES + STATEMENT_BYTES
        self._used[vm] = self._used.get(vm, 0) + need
        return need

    def release(self, vm: Hashable, need: int) -> None:
        """Return what `take` returned."""
        if vm in self._used:
            self._used[vm] -= need
