"""Notices that draining endpoints of a group have ended.

A member that drained may hold the only copy of a commit as long as it runs, so a
failover waits for it. That it ended shows only for a moment: its process closes the
connections and refuses new ones, and soon its machine answers nothing, as one behind a
partition does. The register drops its entry about a second later.

A partition may close or refuse connections as well. An end therefore counts only if
another endpoint of the zone answers a request sent afterwards, and only once the
register has dropped the entry soon after. The register drops an endpoint that is merely
cut off later, after several missed heartbeats.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection, Mapping
from math import inf

from celeryjunction.ports import Clock
from celeryjunction.replication.control import (
    CONNECTION_REFUSED,
    ENDPOINT_REPLACED,
    REACHABLE,
    ControlLink,
)
from celeryjunction.replication.ports import EndpointInfo, LogPosition

END_MEMORY_S = 3.0
"""An observed end counts for this long. The register shows it within about 1 s, but
drops an endpoint that is cut off from it only after 3 heartbeats of silence (3.6 s)."""

DRAIN_KNOWN_S = 3.0
"""After this, no VM takes a draining endpoint alone for a witness: it knows of the
drain, or asks all members (`member_receipts`). An endpoint drains for at least 7 s."""
MAX_DRAINING = 100
"""Draining processes whose positions are remembered."""

AskZone = Callable[[EndpointInfo], Awaitable[bool]]
"""Returns whether another endpoint in the zone of the given one answers now."""


class _Drain:
    """What was seen of a draining process."""

    __slots__ = ("begun_at", "final", "stayed")

    def __init__(self, begun_at: float, stayed: Collection[tuple[str, int]]) -> None:
        self.begun_at: float | None = begun_at
        """When the first request was sent of those that were answered without a gap;
        seconds. None while the endpoint doesn't answer."""
        self.stayed = frozenset(stayed)
        """The processes of the replicas that didn't drain at the first one."""
        self.final: LogPosition | None = None
        """How far it had received when no VM relied on it alone any more."""


class DrainWatch:
    """Observes the draining endpoints of one group.

    `endpoints` and `controls` return the registered endpoints and their connections,
    `ask` asks one of them for its status.
    """

    __slots__ = (
        "_ask",
        "_ask_zone",
        "_clock",
        "_controls",
        "_drains",
        "_ended_at",
        "_endpoints",
    )

    def __init__(
        self,
        *,
        endpoints: Callable[[], Mapping[str, EndpointInfo]],
        controls: Callable[[], Mapping[str, ControlLink]],
        ask: Callable[[str], Awaitable[object]],
        ask_zone: AskZone,
        clock: Clock,
    ) -> None:
        self._ask = ask
        self._endpoints = endpoints
        self._controls = controls
        self._ask_zone = ask_zone
        self._clock = clock
        self._ended_at: dict[tuple[str, int], float] = {}
        """When ends were observed, by endpoint and start of its process; seconds."""
        self._drains: dict[tuple[str, int], _Drain] = {}
        """The draining processes by endpoint and start."""

    def record_received(
        self,
        info: EndpointInfo,
        received: LogPosition,
        *,
        asked_at: float,
        staying: Collection[tuple[str, int]],
    ) -> None:
        """Note how far a draining replica has received, once no VM relies on it alone.

        What it receives later is confirmed to no client because of it. `staying` are
        the processes of the replicas that don't drain.
        """
        key = info.process_key
        drain = self._drains.get(key)
        if drain is None:
            drain = self._drains[key] = _Drain(asked_at, staying)
        elif drain.begun_at is None:
            drain.begun_at = asked_at
        if drain.final is None and asked_at - drain.begun_at >= DRAIN_KNOWN_S:
            drain.final = received
        while len(self._drains) > MAX_DRAINING:
            del self._drains[next(iter(self._drains))]

    def record_unanswered(self, info: EndpointInfo) -> None:
        """Note that an endpoint can't be reached: a drain counts anew afterwards.

        A VM that was cut off together with the endpoint may rely on it alone until it
        notices that it isn't cut off any more.
        """
        drain = self._drains.get(info.process_key)
        if drain is not None:
            drain.begun_at = None

    def forget(self) -> None:
        """Forget how far draining replicas had received: other VMs monitor the group.

        VMs that don't know of a drain ask only those that monitor it.
        """
        self._drains.clear()

    def final_received(self, info: EndpointInfo) -> LogPosition | None:
        """Return up to where an ended replica alone may have confirmed commits.

        None if it was not asked late enough in its drain.
        """
        drain = self._drains.get(info.process_key)
        return drain.final if drain is not None else None

    def is_outlasted(
        self, info: EndpointInfo, *, staying: Collection[tuple[str, int]]
    ) -> bool:
        """Whether a replica that didn't drain when the given one began still stays.

        It has what VMs confirmed that didn't know of the drain, as they ask all
        members.
        """
        drain = self._drains.get(info.process_key)
        return drain is not None and not drain.stayed.isdisjoint(staying)

    async def check(self) -> None:
        """Ask the draining endpoints that have no open connection.

        Keeping a connection to each makes its end show at the next check.
        """
        controls = self._controls()
        await asyncio.gather(
            *(
                self._check_endpoint(info, controls[name])
                for name, info in self._endpoints().items()
                if info.draining and name in controls and not controls[name].open_s
            )
        )

    async def _check_endpoint(self, info: EndpointInfo, control: ControlLink) -> None:
        was_closed = control.was_closed
        _, zone_answers = await asyncio.gather(self._ask(info.id), self._ask_zone(info))
        failed = control.failure not in REACHABLE
        if zone_answers and failed and (was_closed or _is_refused(control)):
            self.record_end(info)

    def record_end(self, info: EndpointInfo) -> None:
        """Record that a draining endpoint's process ended, as far as can be seen."""
        now = self._clock.monotonic()
        recent = {
            key: at for key, at in self._ended_at.items() if at >= now - END_MEMORY_S
        }
        self._ended_at = recent | {(info.id, info.started_ms): now}

    async def probe(self, info: EndpointInfo, control: ControlLink) -> None:
        """Ask a drained endpoint that the register no longer lists."""
        _, zone_answers = await asyncio.gather(control.ask(), self._ask_zone(info))
        if zone_answers and _is_refused(control):
            self.record_end(info)

    def has_ended(self, info: EndpointInfo, control: ControlLink | None = None) -> bool:
        """Whether a drained endpoint no longer runs.

        `control` is a connection on which it was just asked, if it was.
        """
        if not info.draining:
            return False
        if control is not None and control.failure == ENDPOINT_REPLACED:
            return True
        return self.was_seen_ending(info) and info.id not in self._endpoints()

    def was_seen_ending(self, info: EndpointInfo) -> bool:
        """Whether the endpoint recently looked as if it had ended."""
        ended_at = self._ended_at.get((info.id, info.started_ms), -inf)
        return self._clock.monotonic() - ended_at <= END_MEMORY_S


def _is_refused(control: ControlLink) -> bool:
    return control.failure == CONNECTION_REFUSED


def neighbours(
    info: EndpointInfo, endpoints: Collection[EndpointInfo]
) -> list[EndpointInfo]:
    """Return the endpoints in the zone of `info` that are not about to end."""
    return [
        other
        for other in endpoints
        if other.zone == info.zone and other.id != info.id and not other.draining
    ]
