"""Replaces a group's primary: pauses the replicas, chooses one, demotes, promotes.

A claim holder may stop safely between any two steps: the replicas stay paused until
another holder finishes, and no step relies on what an earlier holder saw.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from celeryjunction.failover.claims import Claim, Claims
from celeryjunction.failover.selection import choose_replica
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import ControlLink
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    Demote,
    EndpointDialer,
    EndpointInfo,
    EndpointStatus,
    LogPosition,
    PauseReceiving,
    Promoter,
    PromotionResult,
    ResumeReceiving,
)
from celeryjunction.replication.roster import GroupRoster

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
        self._promoter = promoter
        self._vm = vm
        self._clock = clock
        self._dialer = dialer
        self._refresh_register = refresh_register
        self._unregistered: dict[str, ControlLink] = {}

    async def replace(
        self, reason: str, *, term: int, acknowledged: LogPosition
    ) -> bool:
        """Replace the primary of `term`; return whether a later term has begun.

        `acknowledged` is the highest log position that VMs saw acknowledged.
        """
        group = self._group
        claim = await self._claims.acquire(group.name)
        if claim is None:
            return False
        if group.term != term:
            # Another holder has replaced this primary.
            await self._claims.release(claim)
            return True
        _log.warning(
            "failover_started",
            group=group.name,
            reason=reason,
            primary=group.primary,
            term=group.term,
            fencing_token=claim.fencing_token,
        )
        started = self._clock.monotonic()
        try:
            done = await self._replace(claim, acknowledged)
        finally:
            await self._claims.release(claim)
        _log.warning(
            "failover_ended",
            group=group.name,
            done=done,
            primary=group.primary,
            term=group.term,
            took_s=round(self._clock.monotonic() - started, 3),
        )
        return done

    async def _replace(self, claim: Claim, acknowledged: LogPosition) -> bool:
        group = self._group
        stored = await self._roster.read()
        if stored is None or not await self._refresh_register():
            return False
        old_primary, term = group.primary, group.term
        to_pause = self._roster.endpoints_to_pause(
            stored, term=term, registered=group.endpoints
        )
        to_pause.pop(old_primary or "", None)
        statuses = await self._ask_all(to_pause)
        if group.term != term:
            return True  # Another holder has replaced this primary.
        if old_primary is None:
            # The term's primary may have answered again.
            primaries = {
                n for n, status in statuses.items() if status and status.is_primary
            }
            to_pause = {n: info for n, info in to_pause.items() if n not in primaries}
            old_primary = next(iter(primaries), None)
        to_pause = {
            n: info for n, info in to_pause.items() if not self._remove_if_ended(info)
        }
        unanswered = sorted(name for name in to_pause if statuses[name] is None)
        if unanswered or not to_pause:
            _log.warning(
                "replica_not_asked",
                group=group.name,
                term=term,
                names=unanswered,
                members=[member.id for member in stored.members],
                registered=sorted(group.endpoints),
            )
            return False
        # Replicas found paused: an earlier holder may have requested a promotion.
        promotion_pending = any(statuses[name].held_term > term for name in to_pause)
        if promotion_pending and await self._wait_for_takeover(
            to_pause, term, PENDING_PROMOTION_WAIT_S
        ):
            return True
        paused = await self._pause_all(to_pause, term)
        if paused is None:
            await self._abort(claim, to_pause, promotion_pending)
            return False
        if old_primary is not None:
            # A reachable primary stops before the next one starts. An unreachable one
            # is not waited for.
            demotion = asyncio.create_task(self._send(old_primary, Demote(term + 1)))
            await asyncio.wait({demotion}, timeout=DEMOTE_WAIT_S)
        chosen = choose_replica(paused, group.endpoints, acknowledged=acknowledged)
        if chosen is None:
            _log.error(
                "no_replica_has_all",
                alarm=1,
                group=group.name,
                acknowledged=str(acknowledged),
                received={name: str(s.received) for name, s in paused.items()},
            )
            await self._abort(claim, to_pause, promotion_pending)
            return False
        if not await self._still_paused(paused, term):
            await self._abort(claim, to_pause, promotion_pending)
            return False
        return await self._promote(
            claim, chosen, term, paused, promotion_pending, old_primary=old_primary
        )

    def _remove_if_ended(self, info: EndpointInfo) -> bool:
        """Remove a drained member if its process has ended; return whether it has."""
        if not self._group.drain_watch.has_ended(info, self._control(info.id)):
            return False
        self._roster.remove_member(info)
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
            if status is not None and status.held_term > term and not status.is_primary
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
            and status.held_term > term
            and status.received == paused[name].received
            for name, status in again.items()
        )

    async def _abort(
        self, claim: Claim, paused: Iterable[str], promotion_pending: bool
    ) -> None:
        """Let the replicas receive again, unless a promotion may rely on their pause.

        That may be an earlier promotion or one of another VM that has the claim now, so
        the store has to confirm the claim. A later attempt then completes the
        replacement.
        """
        if promotion_pending:
            return
        if not await self._claims.is_valid(claim):
            _log.warning("claim_lost", group=claim.group, token=claim.fencing_token)
            return
        # One that hasn't joined the term would receive from the primary of its own.
        names = [name for name in paused if self._has_joined(name)]
        _log.info(
            "replicas_resumed",
            group=claim.group,
            endpoints=names,
            token=claim.fencing_token,
        )
        await asyncio.gather(*(self._send(name, ResumeReceiving()) for name in names))
        self._group.refresh_soon()

    def _has_joined(self, endpoint: str) -> bool:
        known = self._group.statuses.get(endpoint)
        return known is None or known[1].term == self._group.term

    async def _promote(
        self,
        claim: Claim,
        chosen: str,
        term: int,
        paused: dict[str, EndpointStatus],
        promotion_pending: bool,
        *,
        old_primary: str | None,
    ) -> bool:
        group, checked_at = self._group, self._clock.monotonic()
        if not await self._claims.is_valid(claim):
            _log.warning("claim_lost", group=group.name, token=claim.fencing_token)
            return False
        group.primary_expected_at = self._clock.monotonic() + group.expected_promotion_s
        result = await self._promoter.promote(
            group=group.name,
            endpoint=chosen,
            holder=self._vm,
            fencing_token=claim.fencing_token,
        )
        _log.warning(
            "promotion_asked",
            group=group.name,
            endpoint=chosen,
            term=term + 1,
            received={name: str(s.received) for name, s in paused.items()},
            fencing_token=claim.fencing_token,
            result=result,
            decided_s=round(self._clock.monotonic() - checked_at, 3),
            **self._describe_old_primary(old_primary),
            not_asked=sorted(group.endpoints.keys() - paused.keys() - {old_primary}),
        )
        if result is PromotionResult.REFUSED:
            await self._abort(claim, paused, promotion_pending)
            return False
        return await self._wait_for_takeover(paused, term, TAKEOVER_TIMEOUT_S)

    def _describe_old_primary(self, old_primary: str | None) -> dict[str, object]:
        """Return the old primary's last known role and log end, for the log."""
        known = self._group.statuses.get(old_primary or "")
        if known is None:
            return {"old_primary": old_primary, "old_received": None}
        asked_at, status = known
        return {
            "old_primary": old_primary,
            "old_received": str(status.received),
            "old_is_primary": status.is_primary,
            "old_age_s": round(self._clock.monotonic() - asked_at, 3),
        }

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
