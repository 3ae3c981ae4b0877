"""Monitors a replication group and has its primary replaced when needed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress
from random import Random

from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.detector import PrimaryFailureDetector
from celeryjunction.failover.suspicions import UNKNOWN_PRIMARY, Suspicions
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import OVERLOADED, ControlLink
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    NO_POSITION,
    Demote,
    EndpointDialer,
    EndpointInfo,
    LogPosition,
)
from celeryjunction.replication.roster import GroupRoster

CHECK_INTERVAL_S = 0.25
"""Interval between checks of a group. A check sends no command while the answers to
statements are recent enough."""
SAMPLE_INTERVAL_S = 0.7
"""A new sample is taken once the last one is this old. The shortest staleness bound is
1.5 s, so one sample may fail before reads find none that is recent enough."""
MAX_CONTACT_AGE_S = 0.5
"""The primary is asked for its status when it has answered nothing for this long."""
SUSPECT_INTERVAL_S = 0.1
"""Interval between checks while the primary is unknown or does not answer."""
MAX_AGREEMENT_PAUSE_S = 0.8
"""Longest pause between two reads of the other VMs' suspicions. The pause doubles from
`SUSPECT_INTERVAL_S`, because the platform charges for each read."""
OBJECTION_WAIT_S = 2.5
"""Time for the objections of other VMs. They see a suspicion within about 1.5 s: a VM
pauses for 1 s between two calls for changes of the store."""
MIN_UNOPPOSED = 2
"""VMs that must suspect a primary to replace it without the agreement of half."""
RETRY_DELAY_S = 0.6
"""Least time between the starts of two replacements, up to twice as long at random."""
ABANDONED_PAUSE_S = 2.5
"""Replicas still paused after this were left by a claim holder that stopped."""
ROSTER_WRITE_JITTER_S = 0.4
"""Random delay before a VM writes a changed roster, so that usually only one does. It
is short, because until a VM has read the term's roster, evidence on young connections
needs the agreement of all registered replicas."""
DRAINED_CHECK_INTERVAL_S = 1.0
"""Interval at which drained members without a register entry are probed."""
ASK_UNKNOWN_INTERVAL_S = 1.0
"""Interval at which endpoints without an open connection, or not seen in this term, are
asked."""
NO_PRIMARY_LIMIT_S = 1.0
"""A group that has had no primary for this long gets a new one."""

_log = get_logger("failover")


class Supervisor:
    """Keeps a primary in one group.

    `monitor_count` returns the number of VMs that monitor the group, this one included,
    `vanished_monitors` the names of those whose record is gone, though they didn't
    leave. While `is_monitor` returns false, other VMs monitor the group and this one
    sends no commands. `should_hand_over` returns whether an overloaded primary should
    hand over, `unanswered_since` since when an endpoint answered no statement (seconds,
    0 if it does).
    """

    def __init__(
        self,
        group: ReplicationGroup,
        *,
        coordinator: Coordinator,
        suspicions: Suspicions,
        roster: GroupRoster,
        monitor_count: Callable[[], int],
        vanished_monitors: Callable[[], Collection[str]] = tuple,
        is_monitor: Callable[[], bool] = lambda: True,
        should_hand_over: Callable[[], bool] = lambda: False,
        unanswered_since: Callable[[str], float] = lambda endpoint: 0.0,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
    ) -> None:
        self._group = group
        self._coordinator = coordinator
        self._suspicions = suspicions
        self._roster = roster
        self._roster_write_at = 0.0
        self._drained_check_at = 0.0
        self._ask_unknown_at = 0.0
        self._probed_members: set[str] = set()
        self._member_check: asyncio.Task[None] | None = None
        self._monitor_count = monitor_count
        self._vanished_monitors = vanished_monitors
        self._is_monitor = is_monitor
        self._should_hand_over = should_hand_over
        self._unanswered_since = unanswered_since
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._detector = PrimaryFailureDetector(group, clock=clock)
        self._next_attempt_at = 0.0
        self._agreement_pause_s = SUSPECT_INTERVAL_S
        self._suspected: tuple[int, str] | None = None
        """Term and name of the primary that this VM's stored suspicion is about."""
        self._suspected_since = 0.0
        self._paused_since = 0.0
        self._no_primary_since = 0.0
        self._last_primary = ""

    async def run(self) -> None:
        """Check the group periodically until cancelled."""
        try:
            await self._run()
        finally:
            if self._member_check is not None:
                self._member_check.cancel()

    async def _run(self) -> None:
        while True:
            check_now = self._group.check_requested.is_set()
            self._group.check_requested.clear()
            try:
                await self.step(check_now=check_now)
            except Exception as error:
                # One failed check must not end the supervision of the group.
                _log.error(
                    "supervision_failed",
                    alarm=1,
                    group=self._group.name,
                    reason=repr(error),
                )
            await self._pause()

    async def _pause(self) -> None:
        no_primary = self._group.primary is None and self._is_monitor()
        uncertain = self._detector.is_failing or no_primary
        pause = SUSPECT_INTERVAL_S if uncertain else CHECK_INTERVAL_S
        pause *= self._random.uniform(0.8, 1.2)
        if uncertain:
            await asyncio.sleep(pause)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(pause):
                await self._group.check_requested.wait()

    async def step(self, *, check_now: bool = False) -> None:
        """Check the group once and replace its primary if there is a reason to.

        Endpoints are asked only for what recent answers to statements don't show.
        `check_now` asks the primary even after a recent answer, unless a sample is due.
        """
        group = self._group
        group.is_monitored = self._is_monitor()
        if not group.is_monitored:
            await self._stand_by()
            return
        started = self._clock.monotonic()
        primary = group.primary
        if primary is None or group.sampled_at < started - SAMPLE_INTERVAL_S:
            await group.sample()
        elif (
            self._detector.is_failing
            or check_now
            or group.last_contact_at(primary) < started - MAX_CONTACT_AGE_S
        ):
            await group.ask(primary)
        if primary is not None:
            self._last_primary = primary
            self._record_primary(primary, started)
        await self._demote_stale_primaries()
        await self._update_roster()
        reason = self._replacement_reason()
        if reason == "stalled" and not await self._still_stalled():
            reason = None
        if reason is None:
            self._agreement_pause_s = SUSPECT_INTERVAL_S
            self._suspected = None
            await self._answer_suspicions(started)
        elif self._clock.monotonic() >= self._next_attempt_at:
            await self._replace(reason)

    async def _answer_suspicions(self, started: float) -> None:
        """Object to other VMs' suspicions if the primary answers this VM.

        `started` is when the check began, in seconds.
        """
        group, primary = self._group, self._group.primary
        if (
            primary is not None
            and not self._detector.is_failing
            and group.last_contact_at(primary) >= started - MAX_CONTACT_AGE_S
            and self._suspicions.is_suspected_by_others(
                group.name, term=group.term, primary=primary
            )
        ):
            await self._suspicions.object(group.name, term=group.term, primary=primary)
        else:
            await self._suspicions.withdraw(group.name)
        self._end_vote()

    def _end_vote(self) -> None:
        """Prove commits again, unless the store may have this VM's suspicion."""
        if not self._suspicions.may_be_stored(self._group.name):
            self._group.receipts.limit_to_vote(None)

    async def _stand_by(self) -> None:
        """Leave the group to the VMs that monitor it."""
        self._group.drain_watch.forget()
        self._paused_since = self._no_primary_since = 0.0
        self._suspected = None
        for control in self._group.controls.values():
            control.close_idle()
        await self._suspicions.withdraw(self._group.name)
        self._end_vote()

    async def _still_stalled(self) -> bool:
        """Confirm a stall with new statuses, as those of some replicas may be old."""
        group = self._group
        if group.primary is None:
            return False
        started = self._clock.monotonic()
        await group.refresh()
        self._record_primary(group.primary, started)
        return self._detector.verdict() == "stalled"

    async def _update_roster(self, *, write_now: bool = False) -> None:
        """Record the members of the term, and store them after a random delay."""
        group = self._group
        if not group.term:
            return
        registered, answer = group.endpoints, None
        if group.primary is not None and self._roster.needs_primary_position(
            group.term, registered
        ):
            answer = await group.ask(group.primary)
        is_leading = answer is not None and answer.is_primary
        members = {
            name: registered[name]
            for name, (_, status) in group.statuses.items()
            if status.term == group.term and name in registered
        }
        leader = group.statuses.get(group.primary or "")
        is_current = leader is not None and leader[1].term == group.term
        self._roster.record_members(
            term=group.term,
            primary=group.primary if is_current else None,
            members=members,
            registered=registered,
            primary_received=leader[1].received if is_current else NO_POSITION,
            restart_floor=answer.received if is_leading and is_current else None,
        )
        self._start_member_check()
        now = self._clock.monotonic()
        if not self._roster.needs_write:
            self._roster_write_at = 0.0
            return
        if not self._roster_write_at and not write_now:
            self._roster_write_at = now + ROSTER_WRITE_JITTER_S * self._random.random()
        if write_now or now >= self._roster_write_at:
            self._roster_write_at = now + ROSTER_WRITE_JITTER_S * self._random.uniform(
                1.0, 2.0
            )
            await self._roster.write()

    def _start_member_check(self) -> None:
        """Check draining and drained members beside the checks of the primary.

        Endpoints that are gone answer nothing, and a detection must not wait for them.
        """
        if self._member_check is None or self._member_check.done():
            self._member_check = asyncio.create_task(self._check_members())

    async def _check_members(self) -> None:
        try:
            await self._update_members()
        except Exception as error:
            # Like a failed check, it must not end the supervision.
            _log.error(
                "supervision_failed",
                alarm=1,
                group=self._group.name,
                reason=repr(error),
            )

    async def _update_members(self) -> None:
        await self._group.drain_watch.check()
        now = self._clock.monotonic()
        if now >= self._ask_unknown_at:
            self._ask_unknown_at = now + ASK_UNKNOWN_INTERVAL_S
            await self._group.ask_unknown()
        if await self._check_drained_members():
            await self._roster.write()

    async def _check_drained_members(self) -> bool:
        """Remove the members that drained and whose process has ended.

        Returns whether one was removed. Members whose end was observed are removed as
        soon as the register drops them, others are probed at once and then at times.
        """
        drain_watch = self._group.drain_watch
        absent = self._roster.absent_drained_members()
        ended = [member for member in absent if drain_watch.has_ended(member)]
        unknown = [member for member in absent if member not in ended]
        if unknown and self._is_probe_due(unknown):
            ended += await self._probe(unknown)
        removed = False
        for member in ended:
            floor = await self._group.floor_without(member)
            if floor is not None:
                self._roster.remove_member(member, received=floor)
                removed = True
        return removed

    def _is_probe_due(self, members: list[EndpointInfo]) -> bool:
        now = self._clock.monotonic()
        names = {member.id for member in members}
        is_new = not names <= self._probed_members
        self._probed_members = names
        if now < self._drained_check_at and not is_new:
            return False
        self._drained_check_at = now + DRAINED_CHECK_INTERVAL_S * self._random.uniform(
            0.8, 1.2
        )
        return True

    async def _probe(self, members: list[EndpointInfo]) -> list[EndpointInfo]:
        """Probe drained members; return those that have ended."""
        drain_watch = self._group.drain_watch
        ended = []
        for member in members:
            control = ControlLink(member, dialer=self._dialer, clock=self._clock)
            await drain_watch.probe(member, control)
            control.close()
            if drain_watch.has_ended(member, control):
                ended.append(member)
        return ended

    def _record_primary(self, primary: str, started: float) -> None:
        """Tell the detector what the check that began at `started` found."""
        group = self._group
        control = group.controls.get(primary)
        failed = control is not None and control.failure
        since = started if failed else started - MAX_CONTACT_AGE_S
        answered = group.last_contact_at(primary) >= since
        # Statements that were not answered show the failure before the first check.
        unanswered_since = self._unanswered_since(primary) or started
        self._detector.record_check(
            primary, answered=answered, asked_at=min(started, unanswered_since)
        )
        latest = group.statuses.get(primary)
        if latest is None or latest[0] < started:
            return
        received = [
            group.statuses[name][1].received
            for name in group.replicas
            if name in group.statuses
        ]
        if len(received) == len(group.replicas):
            self._detector.record_replication(latest[1].received, received)

    def _replacement_reason(self) -> str | None:
        group = self._group
        now = self._clock.monotonic()
        self._paused_since = (
            (self._paused_since or now) if group.has_paused_replica else 0.0
        )
        if self._paused_since and now - self._paused_since >= ABANDONED_PAUSE_S:
            return "abandoned"
        if group.primary is not None:
            self._no_primary_since = 0.0
            if group.endpoints[group.primary].draining:
                return "draining"
            verdict = self._detector.verdict()
            if (
                verdict is None
                and not self._detector.is_failing
                and self._should_hand_over()
            ):
                return "replicas_behind"
            return verdict
        if (
            group.has_paused_replica
            or not group.endpoints
            or self._has_overloaded_endpoint()
        ):
            return None
        self._no_primary_since = self._no_primary_since or now
        if now - self._no_primary_since >= NO_PRIMARY_LIMIT_S:
            return "no_primary"
        return None

    def _has_overloaded_endpoint(self) -> bool:
        """Whether a running endpoint refused a status command for lack of capacity.

        It may be the primary: after a loss of power, endpoints keep the connections of
        the VMs for a while and may accept no others.
        """
        overloaded = any(
            control.failure in OVERLOADED for control in self._group.controls.values()
        )
        if overloaded:
            self._no_primary_since = 0.0
        return overloaded

    async def _replace(self, reason: str) -> None:
        group = self._group
        self._next_attempt_at = (
            self._clock.monotonic() + RETRY_DELAY_S * self._random.uniform(1, 2)
        )
        term, acknowledged, is_unanimous = group.term, group.acknowledged, False
        if reason in ("refused", "silent", "stalled", "no_primary"):
            agreed = await self._agreed_position(reason)
            if agreed is None:
                return
            acknowledged, is_unanimous = max(acknowledged, agreed[0]), agreed[1]
        else:
            await self._suspicions.withdraw(group.name)
            self._end_vote()
        if await self._coordinator.replace(
            reason, term=term, acknowledged=acknowledged, is_unanimous=is_unanimous
        ):
            await self._update_roster(write_now=True)

    async def _agreed_position(self, reason: str) -> tuple[LogPosition, bool] | None:
        """Share this VM's suspicion; return the highest position seen acknowledged.

        Also returns whether all VMs that monitor the group have voted. None unless the
        store answers and the VMs agree to replace the primary.
        """
        group = self._group
        primary = group.primary or self._last_primary or UNKNOWN_PRIMARY
        term = group.term
        self._next_attempt_at = self._clock.monotonic() + self._agreement_pause_s
        self._agreement_pause_s = min(
            2 * self._agreement_pause_s, MAX_AGREEMENT_PAUSE_S
        )
        votes, acknowledged = None, group.acknowledged
        group.receipts.limit_to_vote(acknowledged)
        if await self._suspicions.publish(
            group.name, term=term, primary=primary, acknowledged=acknowledged
        ):
            votes = await self._suspicions.list_votes(
                group.name, term=term, primary=primary
            )
        if votes is None:
            # Objections of this time may not be known.
            self._suspected = None
            return None
        if self._suspected != (term, primary):
            self._suspected = (term, primary)
            self._suspected_since = self._clock.monotonic()
        agreeing = [vote for vote in votes if not vote.is_objection]
        objecting = len(votes) - len(agreeing)
        if not self._is_agreed(reason, agreeing=len(agreeing), objecting=objecting):
            return None
        self._next_attempt_at = (
            self._clock.monotonic() + RETRY_DELAY_S * self._random.uniform(1, 2)
        )
        position = max(LogPosition(*vote.acknowledged) for vote in agreeing)
        return position, self._is_unanimous({vote.vm for vote in agreeing})

    def _is_unanimous(self, agreeing: Collection[str]) -> bool:
        """Whether all VMs agree that may have confirmed commits.

        One that the store turns away may go on after its lease and its record ended.
        """
        unasked = set(self._vanished_monitors()) - set(agreeing)
        if unasked:
            _log.warning(
                "votes_missing", group=self._group.name, vanished=sorted(unasked)
            )
        return len(agreeing) >= self._monitor_count() and not unasked

    def _is_agreed(self, reason: str, *, agreeing: int, objecting: int) -> bool:
        """Whether the votes suffice to replace the suspected primary.

        At least half of the VMs that monitor the group, this one included, have to
        suspect the primary, or at least `MIN_UNOPPOSED` without an objection for
        `OBJECTION_WAIT_S`: the others cannot reach the store.
        """
        monitor_count = self._monitor_count()
        waited_s = self._clock.monotonic() - self._suspected_since
        term, primary = self._suspected
        _log.info(
            "primary_suspected",
            group=self._group.name,
            primary=primary,
            term=term,
            reason=reason,
            agree=agreeing,
            against=objecting,
            watchers=monitor_count,
            waited_s=round(waited_s, 3),
        )
        if 2 * agreeing >= monitor_count:
            return True
        return (
            agreeing >= MIN_UNOPPOSED and not objecting and waited_s >= OBJECTION_WAIT_S
        )

    async def _demote_stale_primaries(self) -> None:
        """Demote endpoints that still act as primary of an older term."""
        group = self._group
        oldest = self._clock.monotonic() - SAMPLE_INTERVAL_S
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
