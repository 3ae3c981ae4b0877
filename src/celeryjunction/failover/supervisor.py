"""Samples a group, judges its primary and has it replaced when that is needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.detector import PrimaryWatch
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import Demote, LogPosition

SAMPLE_S = 0.3
"""Pause between samples. The shortest staleness bound is 1.5 s, so five samples may
fail before reads find none that is recent enough."""
SUSPECT_SAMPLE_S = 0.1
"""Pause between samples while the primary does not answer."""
RETRY_S = 0.6
"""Pause after a failed replacement, up to twice as long at random."""
ABANDONED_S = 2.5
"""Replicas that are held for so long were left by a holder that stopped."""
UNKNOWN_S = 1.0
"""A group without any primary for so long gets one."""

_log = get_logger("failover")


class Supervisor:
    """Keeps one group led. `live_vms` returns the number of VMs, this one included."""

    def __init__(
        self,
        group: ReplicationGroup,
        *,
        coordinator: Coordinator,
        suspicions: Suspicions,
        live_vms: Callable[[], int],
        clock: Clock,
        random: Random,
    ) -> None:
        self._group = group
        self._coordinator = coordinator
        self._suspicions = suspicions
        self._live_vms = live_vms
        self._clock = clock
        self._random = random
        self._watch = PrimaryWatch(group, clock=clock)
        self._next_try = 0.0
        self._held_since = 0.0
        self._leaderless_since = 0.0
        self._last_primary = ""

    async def run(self) -> None:
        """Sample and judge until cancelled."""
        while True:
            try:
                await self.step()
            except Exception as error:
                # One bad answer must not end the supervision of the group.
                _log.error(
                    "supervision_failed",
                    alarm=1,
                    group=self._group.name,
                    reason=repr(error),
                )
            pause = SUSPECT_SAMPLE_S if self._uncertain else SAMPLE_S
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    @property
    def _uncertain(self) -> bool:
        return self._watch.failing or self._group.primary is None

    async def step(self) -> None:
        """Take one sample and act on it."""
        group = self._group
        primary = group.primary
        started = self._clock.monotonic()
        await group.sample()
        if primary is not None:
            self._last_primary = primary
            self._note_primary(primary, started)
        await self._demote_old()
        reason = self._reason()
        if reason is None:
            await self._suspicions.withdraw(group.name)
        elif self._clock.monotonic() >= self._next_try:
            await self._replace(reason)

    def _note_primary(self, primary: str, started: float) -> None:
        group = self._group
        known = group.statuses.get(primary)
        status = known[1] if known is not None and known[0] >= started else None
        self._watch.note(primary, status)
        if status is None:
            return
        replicas = [
            group.statuses[name][1].received
            for name in group.replicas
            if name in group.statuses
        ]
        if len(replicas) == len(group.replicas):
            self._watch.note_replication(status.received, replicas)

    def _reason(self) -> str | None:
        group = self._group
        now = self._clock.monotonic()
        self._held_since = (self._held_since or now) if group.held else 0.0
        if self._held_since and now - self._held_since >= ABANDONED_S:
            return "abandoned"
        if group.primary is not None:
            self._leaderless_since = 0.0
            if group.endpoints[group.primary].draining:
                return "draining"
            return self._watch.verdict()
        if group.held or not group.endpoints:
            return None
        self._leaderless_since = self._leaderless_since or now
        if now - self._leaderless_since >= UNKNOWN_S:
            return "no_primary"
        return None

    async def _replace(self, reason: str) -> None:
        group = self._group
        self._next_try = self._clock.monotonic() + RETRY_S * self._random.uniform(1, 2)
        acknowledged = group.acknowledged
        if reason in ("silent", "stalled", "no_primary"):
            agreed = await self._agreed(reason)
            if agreed is None:
                return
            acknowledged = max(acknowledged, agreed)
        await self._coordinator.replace(reason, acknowledged=acknowledged)

    async def _agreed(self, reason: str) -> LogPosition | None:
        """Return the highest acknowledged position if half of the VMs agree."""
        group = self._group
        primary = group.primary or self._last_primary or "-"
        term = group.term
        self._next_try = self._clock.monotonic() + SUSPECT_SAMPLE_S
        stored = await self._suspicions.tell(
            group.name, term=term, primary=primary, acknowledged=group.acknowledged
        )
        if not stored:
            return None
        found = await self._suspicions.of_all(group.name, term=term, primary=primary)
        if found is None:
            return None
        live = self._live_vms()
        _log.info(
            "primary_suspected",
            group=group.name,
            primary=primary,
            term=term,
            reason=reason,
            agree=len(found),
            live_vms=live,
        )
        if 2 * len(found) < live:
            return None
        self._next_try = self._clock.monotonic() + RETRY_S * self._random.uniform(1, 2)
        return max(LogPosition(*one.acknowledged) for one in found)

    async def _demote_old(self) -> None:
        """Tell endpoints that still lead an older term about the newer one."""
        group = self._group
        oldest = self._clock.monotonic() - 2 * SAMPLE_S
        for name, (asked_at, status) in list(group.statuses.items()):
            if status.is_primary and status.term < group.term and asked_at >= oldest:
                control = group.controls.get(name)
                if control is not None:
                    answer = await control.ask(Demote(group.term))
                    _log.info(
                        "old_primary_demoted",
                        group=group.name,
                        endpoint=name,
                        term=group.term,
                        answer=answer,
                    )
                    group.statuses.pop(name, None)
