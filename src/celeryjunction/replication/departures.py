"""Tells endpoints that left by plan from those that merely fell silent.

An entry leaves the register when its endpoint has left, or after a time without
heartbeats. An endpoint that is cut off from the store may still run and acknowledge
commits, so its absence alone proves nothing. An entry that vanished sooner after a
heartbeat than silence would explain belongs to an endpoint that left.

A list shows heartbeats by the revisions of its entries: one that is higher than the
revision of an earlier linearizable list was written after that list was requested.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from celeryjunction.replication.ports import EndpointInfo

MISSED_HEARTBEATS = 3
"""Heartbeats that are missing when the register removes a silent endpoint's entry."""
MARGIN_S = 0.3
"""Heartbeats come approximately at their interval, so a silent endpoint's entry may go
a little sooner."""
MAX_DEPARTED = 1000


class Departures:
    """Which draining endpoints left. Times are seconds of one clock.

    `heartbeat_s` is the interval of the endpoints' heartbeats.
    """

    __slots__ = ("_departed", "_heartbeat_after", "_known", "_silence_s")

    def __init__(self, *, heartbeat_s: float) -> None:
        self._silence_s = MISSED_HEARTBEATS * heartbeat_s - MARGIN_S
        self._known: tuple[int, float] = (0, -math.inf)
        """Revision and request time of the last linearizable list."""
        self._heartbeat_after: dict[str, float] = {}
        self._departed: dict[tuple[str, int], None] = {}

    def record_list(
        self,
        revisions: Mapping[str, int],
        *,
        previous: Mapping[str, EndpointInfo],
        list_revision: int,
        requested_at: float,
        received_at: float,
        linearizable: bool,
    ) -> list[EndpointInfo]:
        """Record a list of the register; return the endpoints found to have left.

        `revisions` are those of the listed entries, `previous` the endpoints listed
        before. Lists are recorded in the order of `list_revision`.
        """
        known_revision, known_at = self._known
        for name, revision in revisions.items():
            if revision > known_revision and known_revision:
                self._heartbeat_after[name] = known_at
        left = []
        for name in previous.keys() - revisions.keys():
            heartbeat_after = self._heartbeat_after.pop(name, -math.inf)
            if previous[name].draining and (
                received_at - heartbeat_after < self._silence_s
            ):
                left.append(previous[name])
        for info in left:
            self._departed[info.id, info.started_ms] = None
        while len(self._departed) > MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))
        if linearizable:
            self._known = (list_revision, requested_at)
        return left

    def record_outage(self) -> None:
        """Forget the heartbeats: entries may expire early while the store is away."""
        self._known = (0, -math.inf)
        self._heartbeat_after.clear()

    def has_left(self, info: EndpointInfo) -> bool:
        """Whether this run of the endpoint's process has left."""
        return (info.id, info.started_ms) in self._departed
