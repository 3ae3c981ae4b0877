"""Replaces a group's primary: pauses the replicas, chooses one, demotes, promotes.

A claim holder may stop safely between any two steps: the replicas stay paused until
another holder finishes. A later holder relies only on what the roster announces: in the
seal a promotion that may have been requested, and RESUME commands that may be on their
way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from celeryjunction.failover.attempt import Attempt, describe_old_primary, is_paused
from celeryjunction.failover.claims import Claim, Claims
from celeryjunction.failover.lost_members import end_log
from celeryjunction.failover.promotion_paths import PromotionPaths
from celeryjunction.failover.selection import choose_replica
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import OVERLOADED, ControlLink
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    NO_POSITION,
    Demote,
    EndpointDialer,
    EndpointInfo,
    EndpointStatus,
    LogPosition,
    PauseReceiving,
    Promoter,
    PromotionPath,
    PromotionRequest,
    PromotionResult,
    ResumeReceiving,
)
from celeryjunction.replication.restarts import restarted_members
from celeryjunction.replication.roster import SEAL_LIMIT_S, GroupRoster
from celeryjunction.replication.stored_roster import Roster

COMMAND_TIMEOUT_S = 0.3
"""A pause or demotion takes one round trip; the limit allows for a lost packet."""
PENDING_PROMOTION_WAIT_S = 1.5
"""Wait for an earlier holder's promotion before another is requested. Longer than the
call timeout (0.4 s) plus the time until a promotion takes effect (1 s)."""
DEMOTE_WAIT_S = 0.05
"""Wait for the old primary to stop: a few round trips to another zone."""
TAKEOVER_TIMEOUT_S = 3.0
"""A promotion without effect after this is abandoned; the next attempt chooses anew."""
TAKEOVER_POLL_INTERVAL_S = 0.04
MAX_DECISION_S = 2.0
"""A promotion is not requested if its announcement took longer: the VM may have stood
still, and another holder may have begun. Announcing it takes up to 1.5 s while the
store loses answers."""
MAX_CLAIM_AGE_S = 0.5
"""A promotion is not requested later than this after the claim was asked for. With the
call timeout (0.4 s) that is less than `PENDING_PROMOTION_WAIT_S`, for which another
holder waits that finds the replicas paused."""

_log = get_logger("failover")


class Coordinator:
    """Runs the replacement of one group's primary."""

    def __init__(
        self,
        group: ReplicationGroup,
        *,
        roster: GroupRoster,
        claims: Claims,
        promoter: Promoter,
        vm: str,
        clock: Clock,
        dialer: EndpointDialer,
        refresh_register: Callable[[], Awaitable[bool]],
    ) -> None:
        self._group = group
        self._roster = roster
        self._claims = claims
        self._paths = PromotionPaths(promoter)
        self._vm = vm
        self._clock = clock
        self._dialer = dialer
        self._refresh_register = refresh_register
        self._unregistered: dict[str, ControlLink] = {}

    async def replace(
        self,
        reason: str,
        *,
        term: int,
        acknowledged: LogPosition,
        is_unanimous: bool = False,
    ) -> bool:
        """Replace the primary of `term`; return whether a later term has begun.

        `acknowledged` is the highest log position that VMs saw acknowledged, and
        `is_unanimous` whether all that monitor the group were asked. While a call of
        another VM is on its way, this VM leaves the claim alone.
        """
        roster = self._roster
        if roster.must_await_call(term) or roster.has_unanswered_resume:
            await roster.read()
        if self._must_wait(term):
            return False
        path = None
        if self._paths.was_silent:
            path = await self._open_path()
            if path is None:
                return False
        claim = await self._claims.acquire(self._group.name)
        try:
            if claim is None:
                await self._roster.read()  # Its holder may have announced a call.
                return False
            if self._group.term != term:
                return True  # Another holder has replaced this primary.
            path = path or await self._open_path()
            if path is None:
                return False
            attempt = self._replace(
                claim, path, acknowledged, is_unanimous=is_unanimous
            )
            return await self._log_attempt(claim, reason, attempt)
        finally:
            if path is not None:
                path.close()
            if claim is not None:
                await self._claims.release(claim)

    async def _open_path(self) -> PromotionPath | None:
        path = await self._paths.take()
        if path is None:
            _log.warning("promotion_path_missing", group=self._group.name)
        return path

    def _must_wait(self, term: int) -> bool:
        """Whether an earlier promotion call or RESUME may arrive after this VM's."""
        if self._roster.has_unanswered_resume:
            _log.warning("unanswered_resume_awaited", group=self._group.name, term=term)
            return True
        if not self._roster.must_await_call(term):
            return False
        _log.warning(
            "unanswered_call_awaited",
            group=self._group.name,
            term=term,
            sealed_s=round(self._roster.seal_age_s, 3),
        )
        return True

    async def _log_attempt(
        self, claim: Claim, reason: str, attempt: Awaitable[bool]
    ) -> bool:
        group = self._group
        _log.warning(
            "failover_started",
            group=group.name,
            reason=reason,
            primary=group.primary,
            term=group.term,
            claim=claim.revision,
        )
        started = self._clock.monotonic()
        done = await attempt
        _log.warning(
            "failover_ended",
            group=group.name,
            done=done,
            primary=group.primary,
            term=group.term,
            took_s=round(self._clock.monotonic() - started, 3),
        )
        return done

    async def _replace(
        self,
        claim: Claim,
        path: PromotionPath,
        acknowledged: LogPosition,
        *,
        is_unanimous: bool = False,
    ) -> bool:
        group, term = self._group, self._group.term
        stored = await self._roster.read()
        if stored is None or not await self._refresh_register():
            return False
        if self._must_wait(term):
            return False
        attempt = self._begin_attempt(claim, path, stored)
        attempt.acknowledged, attempt.is_unanimous = acknowledged, is_unanimous
        statuses = await self._ask_all(attempt.infos)
        if group.term != term:
            return True  # Another holder has replaced this primary.
        to_pause = await self._select_members(attempt, statuses)
        if not to_pause:
            return False
        restart_floor = await self._floor_of_restarts(attempt, stored)
        if restart_floor is None:
            return False
        attempt.required = max(
            attempt.required,
            attempt.acknowledged,
            restart_floor,
            self._roster.floor(stored, term=term),
            *map(group.highest_received, to_pause),
        )
        # Replicas found paused: an earlier holder may have requested a promotion.
        attempt.promotion_pending = bool(attempt.sealed) or any(
            statuses[name].held_term > term for name in to_pause
        )
        if attempt.sealed:
            _log.info(
                "earlier_promotion_found",
                group=group.name,
                endpoint=attempt.sealed,
                holder=stored.seal_holder,
                fencing_token=stored.seal_token,
                sealed_s=round(self._roster.seal_age_s, 3),
            )
        if attempt.promotion_pending and await self._wait_for_takeover(
            to_pause, term, PENDING_PROMOTION_WAIT_S
        ):
            return True
        attempt.paused = await self._pause_all(to_pause, term) or {}
        chosen = self._choose(attempt) if attempt.paused else None
        if chosen is None:
            await self._keep_required(attempt)
            await self._abort(claim, to_pause, attempt.promotion_pending)
            return False
        return await self._promote(attempt, chosen)

    def _begin_attempt(
        self, claim: Claim, path: PromotionPath, stored: Roster
    ) -> Attempt:
        group, roster = self._group, self._roster
        infos = roster.endpoints_to_pause(
            stored, term=group.term, registered=group.endpoints
        )
        infos.pop(group.primary or "", None)
        demoted = self._find_demoted_primary()
        if demoted:
            infos[demoted] = group.endpoints[demoted]
        return Attempt(
            claim,
            path,
            term=group.term,
            infos=infos,
            demoted_primary=demoted,
            sealed=roster.sealed_choice(group.term),
            outstanding=roster.outstanding_choice(group.term),
        )

    def _find_demoted_primary(self) -> str:
        """Return the stored primary of the term if it may have been demoted.

        It has the most log, and is asked if it answered last. Its answer is not needed,
        since every confirmed commit is also at a member.
        """
        group = self._group
        name = self._roster.primary_in_term(group.term) or ""
        control = group.controls.get(name)
        if group.primary is not None or name not in group.endpoints:
            return ""
        return name if control is not None and not control.failure else ""

    async def _select_members(
        self, attempt: Attempt, statuses: dict[str, EndpointStatus | None]
    ) -> dict[str, EndpointInfo]:
        """Return the endpoints to pause; empty if one that is needed has not answered.

        The term's primary may have answered again.
        """
        group, term = self._group, attempt.term
        attempt.old_primary = group.primary
        for name, status in statuses.items():
            if status is not None and status.is_primary and status.term == term:
                attempt.old_primary = attempt.old_primary or name
        to_pause = {
            name: info
            for name, info in attempt.infos.items()
            if name != attempt.old_primary
            and (statuses[name] is not None or name != attempt.demoted_primary)
            and not await self._remove_if_ended(info)
        }
        unanswered = sorted(name for name in to_pause if statuses[name] is None)
        if not unanswered and to_pause:
            return to_pause
        answering = {n: i for n, i in to_pause.items() if n not in unanswered}
        if answering and await self._ends_log(attempt, answering):
            attempt.unanswered = unanswered
            leader = attempt.demoted_primary
            return answering | {leader: attempt.infos[leader]}
        _log.warning(
            "replica_not_asked",
            group=group.name,
            term=term,
            names=unanswered,
            needed=sorted(attempt.infos),
            registered=sorted(group.endpoints),
        )
        return {}

    async def _ends_log(
        self, attempt: Attempt, answering: dict[str, EndpointInfo]
    ) -> bool:
        """Whether the old primary was demoted, so that only its log matters."""
        leader = attempt.old_primary or attempt.demoted_primary
        members = answering.keys() - {leader}
        is_called = bool(attempt.sealed or attempt.outstanding)
        if is_called or not members or leader not in self._group.endpoints:
            return False
        if not await end_log(
            self._send,
            primary=leader,
            term=attempt.term,
            members=members,
            is_claimed=lambda: self._claims.is_valid(attempt.claim),
        ):
            return False
        attempt.infos[leader] = self._group.endpoints[leader]
        attempt.old_primary, attempt.demoted_primary = None, leader
        attempt.required = self._group.statuses[leader][1].received
        return True

    async def _floor_of_restarts(
        self, attempt: Attempt, stored: Roster
    ) -> LogPosition | None:
        """Return what the next primary needs if members started again without a log.

        That is the primary's position; None if it doesn't answer. If all VMs voted, the
        roster takes over the new processes with what these saw acknowledged.
        """
        group, members = self._group, {member.id: member for member in stored.members}
        restarted = restarted_members(members, group.endpoints)
        restarted = [name for name in restarted if name != attempt.old_primary]
        if stored.term != attempt.term or not restarted:
            return NO_POSITION
        leader = attempt.old_primary or attempt.demoted_primary
        if leader and leader not in restarted:
            status = await self._send(leader)
            if status is not None and status.term == attempt.term:
                return status.received
        _log.warning(
            "member_restarted",
            group=group.name,
            endpoints=restarted,
            unanimous=attempt.is_unanimous,
        )
        if attempt.is_unanimous:
            floor = max(attempt.acknowledged, *map(group.highest_received, restarted))
            processes = {name: group.endpoints[name] for name in restarted}
            if await self._roster.accept_restarts(processes, floor=floor):
                return floor
        return None

    def _choose(self, attempt: Attempt) -> str | None:
        """Choose the next primary; None if none has the required commits.

        The old primary keeps leading then. One that was demoted is chosen only if no
        member has them: what it has alone was confirmed to nobody.
        """
        group = self._group
        members = {
            name: status
            for name, status in attempt.paused.items()
            if name != attempt.demoted_primary
        }
        chosen = None
        for candidates in (members, attempt.paused):
            chosen = chosen or choose_replica(
                candidates,
                group.endpoints,
                acknowledged=attempt.required,
                sealed=attempt.sealed,
            )
        if chosen is None:
            _log.error(
                "no_replica_has_all",
                alarm=1,
                group=group.name,
                acknowledged=str(attempt.required),
                received={n: str(s.received) for n, s in attempt.paused.items()},
            )
            return None
        earlier = attempt.sealed or attempt.outstanding
        if earlier in ("", chosen) or self._roster.seal_age_s >= SEAL_LIMIT_S:
            return chosen
        # The earlier promotion may still take effect, in a term of the chosen endpoint.
        _log.warning(
            "promotion_outstanding",
            group=group.name,
            endpoint=earlier,
            chosen=chosen,
            sealed_s=round(self._roster.seal_age_s, 3),
        )
        return None

    async def _keep_required(self, attempt: Attempt) -> None:
        """Have the roster keep what a later attempt needs.

        No acknowledged commit is beyond the log of a primary that answers.
        """
        required = attempt.required
        info = self._group.endpoints.get(attempt.old_primary or "")
        if info is not None:
            # A failure on a connection of its own is no news about the group.
            control = ControlLink(info, dialer=self._dialer, clock=self._clock)
            status = await control.ask(timeout=DEMOTE_WAIT_S)
            control.close()
            if status is not None and status.is_primary and status.term == attempt.term:
                required = min(required, status.received)
        self._roster.require(required, term=attempt.term)

    async def _demote(self, old_primary: str | None, term: int) -> None:
        """Stop the old primary before the next one starts, if it can be reached."""
        if old_primary is not None:
            demotion = asyncio.create_task(self._send(old_primary, Demote(term + 1)))
            await asyncio.wait({demotion}, timeout=DEMOTE_WAIT_S)

    async def _remove_if_ended(self, info: EndpointInfo) -> bool:
        """Remove a drained member if its process has ended; return whether it is."""
        group = self._group
        if not group.drain_watch.has_ended(info, self._control(info.id)):
            return False
        floor = await group.floor_without(info)
        if floor is None:
            return False
        self._roster.remove_member(info, received=floor)
        return True

    def _control(self, endpoint: str) -> ControlLink | None:
        return self._group.controls.get(endpoint) or self._unregistered.get(endpoint)

    async def _ask_all(
        self, endpoints: Iterable[str] | dict[str, EndpointInfo]
    ) -> dict[str, EndpointStatus | None]:
        """Ask endpoints for their status, also those that left the register."""
        if isinstance(endpoints, dict):
            self._open_unregistered(endpoints)
        names = list(endpoints)
        answers = await asyncio.gather(*(self._send(name) for name in names))
        return dict(zip(names, answers, strict=True))

    def _open_unregistered(self, endpoints: dict[str, EndpointInfo]) -> None:
        for control in self._unregistered.values():
            control.close()
        self._unregistered = {
            name: ControlLink(info, dialer=self._dialer, clock=self._clock)
            for name, info in endpoints.items()
            if name not in self._group.controls
        }

    async def _send(
        self,
        endpoint: str,
        command: PauseReceiving | ResumeReceiving | Demote | None = None,
    ) -> EndpointStatus | None:
        """Send a command, by default a status request, and record the answer."""
        control = self._control(endpoint)
        if control is None:
            return None
        asked_at = self._clock.monotonic()
        status = await control.ask(command, timeout=COMMAND_TIMEOUT_S)
        if status is not None:
            self._group.observe(endpoint, status, asked_at=asked_at)
        if command is not None or status is None:
            _log.info(
                "failover_command",
                group=self._group.name,
                endpoint=endpoint,
                command=type(command).__name__,
                answer=status,
                failure=control.failure,
            )
        return status

    async def _pause_all(
        self, to_pause: dict[str, EndpointInfo], term: int
    ) -> dict[str, EndpointStatus] | None:
        """Pause all replicas; return their statuses, None if one is not paused."""
        await asyncio.gather(
            *(self._send(name, PauseReceiving(term + 1)) for name in to_pause)
        )
        statuses = await self._ask_all(list(to_pause))
        paused = {
            name: status
            for name, status in statuses.items()
            if status is not None and is_paused(status, term)
        }
        if len(paused) < len(to_pause):
            missing = sorted(set(to_pause) - set(paused))
            _log.warning(
                "replica_not_paused", group=self._group.name, term=term, missing=missing
            )
            return None
        return paused

    async def _still_paused(self, paused: dict[str, EndpointStatus], term: int) -> bool:
        """Check the pauses again: a replica that restarted has forgotten its pause."""
        again = await self._ask_all(list(paused))
        return all(
            status is not None
            and is_paused(status, term)
            and status.received == paused[name].received
            for name, status in again.items()
        )

    async def _abort(
        self, claim: Claim, paused: Iterable[str], promotion_pending: bool
    ) -> None:
        """Let the replicas receive again, unless a promotion may rely on their pause.

        That may be an earlier promotion or one of another VM that has the claim now, so
        the store has to confirm the claim. A later attempt then completes the
        replacement. No VM begins one until each replica has answered its RESUME, which
        is sent only to those that answer right before.
        """
        if promotion_pending:
            return
        send_before = self._clock.monotonic() + MAX_DECISION_S
        resuming = await self._roster.begin_resume(
            term=self._group.term,
            primary=self._group.primary,
            claim=self._claims.condition(claim),
        )
        if not resuming:
            return
        # One that hasn't joined the term would receive from the primary of its own.
        names = [name for name in paused if self._has_joined(name)]
        _log.info(
            "replicas_resumed",
            group=claim.group,
            endpoints=names,
            claim=claim.revision,
        )
        settled = await asyncio.gather(
            *(self._resume(name, send_before) for name in names)
        )
        if all(settled):
            await self._roster.end_resume(resuming)
        self._group.refresh_soon()

    async def _resume(self, endpoint: str, send_before: float) -> bool:
        """Let a replica receive again if it answers; False if RESUME is unanswered."""
        if not await self._is_answered(endpoint):
            return True
        if self._clock.monotonic() >= send_before:
            return True
        return await self._is_answered(endpoint, ResumeReceiving())

    async def _is_answered(
        self, endpoint: str, command: ResumeReceiving | None = None
    ) -> bool:
        """Send a command; return whether it was answered, if only with a refusal."""
        if await self._send(endpoint, command) is not None:
            return True
        control = self._control(endpoint)
        return control is not None and control.failure in OVERLOADED

    def _has_joined(self, endpoint: str) -> bool:
        known = self._group.statuses.get(endpoint)
        return known is None or known[1].term == self._group.term

    async def _promote(self, attempt: Attempt, chosen: str) -> bool:
        """Announce the promotion in the store, and request it at once.

        The platform has to answer on the connection of the call first: a call that is
        written to a silent connection may arrive after the next holder's. The pauses
        are checked after the announcement: a replica that forgets its pause later is no
        witness on its new connection while the roster is sealed. The claim is checked
        too: a store that came back from an older copy may have lost it, and another VM
        may have one.
        """
        group, claim, term = self._group, attempt.claim, attempt.term
        started = self._clock.monotonic()
        self._roster.require(attempt.required, term=term)
        attempt.token, earlier_calls = self._roster.repeatable_token(term, chosen)
        attempt.token = attempt.token or self._roster.next_token(term)
        if earlier_calls and not await attempt.path.confirm():
            # The announcement of a repeat makes the other VMs wait anew.
            return await self._give_up(attempt, chosen, reason="no_path")
        sealed = await self._roster.seal(
            term=term,
            next_primary=chosen,
            next_members=[attempt.infos[name] for name in attempt.paused],
            next_floor=attempt.paused[chosen].received,
            paused=[*attempt.paused, *attempt.unanswered],
            claim=self._claims.condition(claim),
            token=attempt.token,
            earlier_calls=earlier_calls,
        )
        attempt.is_announced = bool(sealed)
        if not sealed:
            attempt.promotion_pending = attempt.promotion_pending or sealed is None
            return await self._give_up(attempt, chosen, reason="not_sealed")
        announced_s = self._clock.monotonic() - started
        if not await attempt.path.confirm():
            return await self._give_up(attempt, chosen, reason="no_path")
        confirming_at = self._clock.monotonic()
        still_paused, still_claimed = await asyncio.gather(
            self._still_paused(attempt.paused, term), self._claims.is_valid(claim)
        )
        if not still_paused or not still_claimed:
            reason = "claim_lost" if still_paused else "pause_lost"
            return await self._give_up(attempt, chosen, reason=reason)
        await self._demote(attempt.old_primary, term)
        # The claim is asked for after the path, which may be slow.
        decided_s = announced_s + self._clock.monotonic() - confirming_at
        send_before = min(confirming_at + MAX_CLAIM_AGE_S, claim.expires_at)
        if decided_s > MAX_DECISION_S or self._clock.monotonic() >= send_before:
            return await self._give_up(attempt, chosen, reason="too_late")
        group.primary_expected_at = self._clock.monotonic() + group.expected_promotion_s
        asked_at = self._clock.monotonic()
        result = await attempt.path.promote(
            PromotionRequest(
                group=group.name,
                endpoint=chosen,
                holder=self._vm,
                fencing_token=attempt.token,
                is_due=lambda: self._clock.monotonic() < send_before,
            )
        )
        self._log_request(
            attempt, chosen, result=result, decided_s=decided_s, asked_at=asked_at
        )
        is_answered = result is not PromotionResult.UNANSWERED
        self._roster.note_call(token=attempt.token, is_answered=is_answered)
        if result is PromotionResult.REFUSED:
            return await self._give_up(attempt, chosen, reason="refused")
        if is_answered and attempt.sealed:
            # The next term has to know which of several calls were answered.
            await self._roster.record_answer(token=attempt.token)
        if await self._wait_for_takeover(attempt.paused, term, TAKEOVER_TIMEOUT_S):
            return True
        if is_answered and not attempt.sealed:
            await self._roster.record_answer(token=attempt.token)
        return False

    async def _give_up(self, attempt: Attempt, chosen: str, *, reason: str) -> bool:
        """Take back the announcement of a promotion that won't be carried out.

        One that an earlier holder announced may have been requested and stays.
        """
        claim = attempt.claim
        _log.warning(
            "promotion_given_up",
            group=claim.group,
            endpoint=chosen,
            token=attempt.token,
            reason=reason,
        )
        if attempt.sealed and attempt.is_announced:
            await self._roster.record_answer(token=attempt.token)
        elif not attempt.sealed and not await self._roster.unseal(token=attempt.token):
            attempt.promotion_pending = True
        await self._abort(claim, attempt.paused, attempt.promotion_pending)
        return False

    def _log_request(
        self,
        attempt: Attempt,
        chosen: str,
        *,
        result: PromotionResult,
        decided_s: float,
        asked_at: float,
    ) -> None:
        group, old_primary = self._group, attempt.old_primary
        now = self._clock.monotonic()
        received = {name: str(s.received) for name, s in attempt.paused.items()}
        _log.warning(
            "promotion_asked",
            group=group.name,
            endpoint=chosen,
            term=attempt.term + 1,
            received=received,
            required=str(attempt.required),
            fencing_token=attempt.token,
            result=result,
            decided_s=round(decided_s, 3),
            claimed_s=round(now - attempt.claim.requested_at, 3),
            asked_s=round(now - asked_at, 3),
            **describe_old_primary(group, old_primary, now=now),
            not_asked=sorted(group.endpoints.keys() - received.keys() - {old_primary}),
        )

    async def _wait_for_takeover(
        self, names: Iterable[str], term: int, timeout_s: float
    ) -> bool:
        """Wait until a primary of a later term is known; False after `timeout_s`.

        A replica that restarts meanwhile forgets its pause and is paused again.
        """
        names = list(names)
        deadline = self._clock.monotonic() + timeout_s
        while self._clock.monotonic() < deadline:
            statuses = await self._ask_all(names)
            if self._group.term > term and self._group.primary is not None:
                _log.info(
                    "promotion_took_effect",
                    group=self._group.name,
                    decided_term=term + 1,
                    term=self._group.term,
                    primary=self._group.primary,
                )
                return True
            for name, status in statuses.items():
                lost_pause = status is not None and status.held_term <= term
                if lost_pause and status.term == term and not status.is_primary:
                    await self._send(name, PauseReceiving(term + 1))
            await asyncio.sleep(TAKEOVER_POLL_INTERVAL_S)
        return False
