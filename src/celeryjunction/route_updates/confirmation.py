"""Until when the routes in force are known to have been the newest ones.

What a VM reads from the store was current when the request was sent; the answer may
have waited since. A home's report counts from the instant of the home's own
confirmation, so that homes without contact to the store do not hide a newer version
from a whole zone. All times are monotonic seconds.

Example::

    confirmation = RoutesConfirmation(own_confirmed_at=lambda: follower.confirmed_at)
    confirmation.record_report(7, in_force=7, confirmed_at=now - 0.3)
    confirmation.age_s(now)  # 0.3
    confirmation.record_report(8, in_force=7, confirmed_at=now - 0.1)
    confirmation.newer_version(7)  # 8
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

UNKNOWN_AGE_S = 1e6
"""Age to report of routes that were never confirmed; messages carry no infinite
numbers."""


class RoutesConfirmation:
    """The last confirmation, by this VM's own reads and by reports of other VMs."""

    __slots__ = (
        "_own_confirmed_at",
        "_reported_at",
        "_reported_version",
        "is_newest_unusable",
    )

    def __init__(
        self, *, own_confirmed_at: Callable[[], float] = lambda: -math.inf
    ) -> None:
        self._own_confirmed_at = own_confirmed_at
        self._reported_at = -math.inf
        """Last confirmation that other VMs reported."""
        self._reported_version = 0
        self.is_newest_unusable = False
        """Whether the newest routes were read and could not be decoded."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "confirmed_at", self.confirmed_at
        yield "reported_version", self._reported_version

    @property
    def confirmed_at(self) -> float:
        """Time at which the routes in force were surely the newest ones."""
        return max(self._reported_at, self._own_confirmed_at())

    def age_s(self, now: float) -> float:
        """Return the seconds since the last confirmation; finite."""
        return min(max(now - self.confirmed_at, 0.0), UNKNOWN_AGE_S)

    def record_report(
        self, version: int, *, in_force: int, confirmed_at: float
    ) -> None:
        """Record that another VM's `version` was the newest one at `confirmed_at`."""
        if version > in_force:
            self._reported_version = max(self._reported_version, version)
        else:
            self._reported_at = max(self._reported_at, confirmed_at)

    def newer_version(self, in_force: int) -> int:
        """Return a version that is known to be newer; 0 if none is."""
        return self._reported_version if self._reported_version > in_force else 0
