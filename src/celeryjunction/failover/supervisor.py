"""Samples a group, judges its primary and has it replaced when that is needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from random import Random

from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.detector import NO_ROOM, PrimaryWatch
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import ControlLink
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import Demote, EndpointDialer, LogPosition
from celeryjunction.replication.roster import GroupRoster

LOOK_S = 0.25
"""Interval at which the group is looked at; that asks nobody if statements told all."""
SAMPLE_S = 0.7
"""A sample is taken when the last one is so old. The shortest staleness bound is 1.5 s,
so that one more may fail before reads find none that is recent enough."""
HEARD_S = 0.5
"""The primary is asked when it has not answered any statement for so long."""
SUSPECT_S = 0.1
"""Interval at which the group is looked at while its primary does not answer."""
RETRY_S = 0.6
"""Pause after a failed replacement, up to twice as long at random."""
ABANDONED_S = 2.5
"""Replicas that are held for so long were left by a holder that stopped."""
ROSTER_SPREAD_S = 0.4
"""VMs write a changed roster within this of each other, so that one write does. Until a
VM has read the new one, only settled connections give it evidence."""
LEAVERS_S = 1.0
"""Interval at which members that drained are looked for at their address."""
UNKNOWN_S = 1.0
"""A group without any primary for so long gets one."""

_log = get_logger("failover")


class Supervisor:
    """Keeps one group led.

    `watchers` returns the number of VMs that watch its primary, this one included.
    Nothing is asked while `active` is false: other VMs watch the group then.
    `overloaded` says whether the primary should hand over to relieve it.
    """

    def __init__(
        self,
        group: ReplicationGroup,
        *,
        coordinator: Coordinator,
        suspicions: Suspicions,
        roster: GroupRoster,
        watchers: Callable[[], int],
        active: Callable[[], bool] = lambda: True,
        overloaded: Callable[[], bool] = lambda: False,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
    ) -> None:
        self._group = group
        self._coordinator = coordinator
        self._suspicions = suspicions
        self._roster = roster
        self._roster_due = 0.0
        self._leavers_due = 0.0
        self._watchers = watchers
        self._active = active
        self._overloaded = overloaded
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._watch = PrimaryWatch(group, clock=clock)
        self._next_try = 0.0
        self._held_since = 0.0
        self._leaderless_since = 0.0
        self._last_primary = ""

    async def run(self) -> None:
        """Look at the group again and again until cancelled."""
        while True:
            nudged = self._group.check_requested.is_set()
            self._group.check_requested.clear()
            try:
                await self.step(nudged=nudged)
            except Exception as error:
                # One bad answer must not end the supervision of the group.
                _log.error(
                    "supervision_failed",
                    alarm=1,
                    group=self._group.name,
                    reason=repr(error),
                )
            await self._pause()

    async def _pause(self) -> None:
        unknown = self._group.primary is None and self._active()
        uncertain = self._watch.failing or unknown
        pause = SUSPECT_S if uncertain else LOOK_S
        pause *= self._random.uniform(0.8, 1.2)
        if uncertain:
            await asyncio.sleep(pause)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self._group.check_requested.wait()

    async def step(self, *, nudged: bool = False) -> None:
        """Ask what is not known from statements lately, and act on it."""
        group = self._group
        group.watched = self._active()
        if not group.watched:
            await self._rest()
            return
        started = self._clock.monotonic()
        primary = group.primary
        if primary is None or group.sampled_at < started - SAMPLE_S:
            await group.sample()
        elif (
            self._watch.failing
            or nudged
            or group.last_contact_at(primary) < started - HEARD_S
        ):
            await group.ask(primary)
        if primary is not None:
            self._last_primary = primary
            self._note_primary(primary, started)
        await self._demote_old()
        await self._keep_roster()
        reason = self._reason()
        if reason == "stalled" and not await self._still_stalled():
            reason = None
        if reason is None:
            await self._suspicions.withdraw(group.name)
        elif self._clock.monotonic() >= self._next_try:
            await self._replace(reason)

    async def _rest(self) -> None:
        """Leave the group to the VMs that watch it."""
        self._held_since = self._leaderless_since = 0.0
        for control in self._group.controls.values():
            control.close_idle()
        await self._suspicions.withdraw(self._group.name)

    async def _still_stalled(self) -> bool:
        """Ask all endpoints: the last word of some replicas may be old."""
        group = self._group
        if group.primary is None:
            return False
        started = self._clock.monotonic()
        await group.refresh()
        self._note_primary(group.primary, started)
        return self._watch.verdict() == "stalled"

    async def _keep_roster(self, *, at_once: bool = False) -> None:
        """Write down who takes part in the term; VMs take turns at random."""
        group = self._group
        if not group.term:
            return
        alive = {
            name: group.endpoints[name]
            for name, (_, status) in group.statuses.items()
            if status.term == group.term and name in group.endpoints
        }
        self._roster.note(
            term=group.term,
            primary=group.primary,
            alive=alive,
            registered=group.endpoints,
        )
        await self._look_for_leavers()
        now = self._clock.monotonic()
        if not self._roster.outdated:
            self._roster_due = 0.0
            return
        if not self._roster_due and not at_once:
            self._roster_due = now + ROSTER_SPREAD_S * self._random.random()
        if at_once or now >= self._roster_due:
            self._roster_due = now + ROSTER_SPREAD_S * self._random.uniform(1.0, 2.0)
            await self._roster.write()

    async def _look_for_leavers(self) -> None:
        """Strike off the members that drained and whose port is closed."""
        now = self._clock.monotonic()
        if now < self._leavers_due:
            return
        self._leavers_due = now + LEAVERS_S * self._random.uniform(0.8, 1.2)
        for member in self._roster.absent_leavers():
            control = ControlLink(member, dialer=self._dialer, clock=self._clock)
            await control.ask()
            control.close()
            if self._group.has_ended(member, control):
                self._roster.strike_off(member.id)

    def _note_primary(self, primary: str, started: float) -> None:
        group = self._group
        control = group.controls.get(primary)
        failed = control is not None and control.failure
        since = started if failed else started - HEARD_S
        heard = group.last_contact_at(primary) >= since
        self._watch.note(primary, answered=heard, asked_at=started)
        known = group.statuses.get(primary)
        if known is None or known[0] < started:
            return
        replicas = [
            group.statuses[name][1].received
            for name in group.replicas
            if name in group.statuses
        ]
        if len(replicas) == len(group.replicas):
            self._watch.note_replication(known[1].received, replicas)

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
            verdict = self._watch.verdict()
            if verdict is None and not self._watch.failing and self._overloaded():
                return "replicas_behind"
            return verdict
        if group.held or not group.endpoints or self._could_not_ask():
            return None
        self._leaderless_since = self._leaderless_since or now
        if now - self._leaderless_since >= UNKNOWN_S:
            return "no_primary"
        return None

    def _could_not_ask(self) -> bool:
        """Whether an endpoint lives that had no room for a question.

        It may be the primary: after a loss of power, endpoints keep the connections of
        the VMs for a while, and may accept no other.
        """
        alive = any(
            control.failure in NO_ROOM for control in self._group.controls.values()
        )
        if alive:
            self._leaderless_since = 0.0
        return alive

    async def _replace(self, reason: str) -> None:
        group = self._group
        self._next_try = self._clock.monotonic() + RETRY_S * self._random.uniform(1, 2)
        term, acknowledged = group.term, group.acknowledged
        if reason in ("refused", "silent", "stalled", "no_primary"):
            agreed = await self._agreed(reason)
            if agreed is None:
                return
            acknowledged = max(acknowledged, agreed)
        if await self._coordinator.replace(
            reason, term=term, acknowledged=acknowledged
        ):
            await self._keep_roster(at_once=True)

    async def _agreed(self, reason: str) -> LogPosition | None:
        """Return the highest acknowledged position if half of the VMs agree."""
        group = self._group
        primary = group.primary or self._last_primary or "-"
        term = group.term
        self._next_try = self._clock.monotonic() + SUSPECT_S
        stored = await self._suspicions.tell(
            group.name, term=term, primary=primary, acknowledged=group.acknowledged
        )
        if not stored:
            return None
        found = await self._suspicions.of_all(group.name, term=term, primary=primary)
        if found is None:
            return None
        watchers = self._watchers()
        _log.info(
            "primary_suspected",
            group=group.name,
            primary=primary,
            term=term,
            reason=reason,
            agree=len(found),
            watchers=watchers,
        )
        if 2 * len(found) < watchers:
            return None
        self._next_try = self._clock.monotonic() + RETRY_S * self._random.uniform(1, 2)
        return max(LogPosition(*one.acknowledged) for one in found)

    async def _demote_old(self) -> None:
        """Tell endpoints that still lead an older term about the newer one."""
        group = self._group
        oldest = self._clock.monotonic() - SAMPLE_S
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
