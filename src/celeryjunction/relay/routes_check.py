"""Decides when a VM reads the routes beside its own watch of the store.

Answers the load of many VMs on the store: a VM that forwards its statements watches the
store with long waits, and takes the reports of its homes as checks of the routes. A
report counts only from the instant at which the store last answered that home: a home
whose own watch is dead reports the version that it has, and would otherwise hide a
newer one from all VMs of its zone.

Example::

    check = RoutesCheck(own_age_s=lambda: follower.age_s, max_age_s=4.75)
    check.record_report(status.routes_age_s, now=now)
    if check.is_due(now=now):
        ...  # list the routes
        check.record_read(now=now)
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

HOME_STATUS_TIMEOUT_S = 2.0
"""The routes are read after this time without a status from a home, and then again in
this interval, since each call of the store is charged."""
REPORT_MARGIN_S = 0.25
"""Time until a forwarding VM learns that the store has answered a home, which it asks
every 0.2 s."""
UNKNOWN_AGE_S = 1e6
"""Age to report of routes that the store has not yet confirmed; messages carry no
infinite numbers."""


class RoutesCheck:
    """What a VM knows of the age of its routes, in seconds.

    `own_age_s` returns the time since the store last answered this VM for the routes.
    They are read if neither the store nor a home's report has confirmed them for
    `max_age_s`.
    """

    __slots__ = (
        "_confirmed_at",
        "_max_age_s",
        "_own_age_s",
        "_read_at",
        "_reported_at",
    )

    def __init__(
        self,
        *,
        own_age_s: Callable[[], float] = lambda: 0.0,
        max_age_s: float = math.inf,
    ) -> None:
        self._max_age_s = max_age_s
        self._own_age_s = own_age_s
        self._confirmed_at = -math.inf
        """When the store last confirmed the routes to a home that reported them."""
        self._reported_at = -math.inf
        """When a home last reported; minus infinity if this VM needs no reports."""
        self._read_at = -math.inf

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "own_age_s", self.own_age_s
        yield "confirmed_at", self._confirmed_at

    @property
    def own_age_s(self) -> float:
        """Seconds since the store last answered this VM; finite."""
        return min(self._own_age_s(), UNKNOWN_AGE_S)

    def record_report(self, age_s: float, *, now: float) -> None:
        """Record a home's report of routes that the store confirmed `age_s` ago."""
        self._reported_at = now
        self._confirmed_at = max(self._confirmed_at, now - age_s)

    def record_read(self, *, now: float) -> None:
        """Record that the routes are being read."""
        self._read_at = now

    def stop_reports(self) -> None:
        """Expect no further reports: this VM became a home and watches often itself."""
        self._reported_at = -math.inf

    def is_due(self, *, now: float) -> bool:
        """Whether to read the routes, because no home has confirmed them recently."""
        if self._reported_at == -math.inf:
            return False
        if now - self._read_at < HOME_STATUS_TIMEOUT_S:
            return False
        if now - self._reported_at >= HOME_STATUS_TIMEOUT_S:
            return True
        return min(now - self._confirmed_at, self.own_age_s) >= self._max_age_s
