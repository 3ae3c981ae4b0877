"""Replaces the primary of a group: pause all replicas, choose, demote, promote.

A holder of the claim that stops between any two steps harms nothing: the replicas stay
paused until another holder finishes, and no step trusts what an earlier holder saw.
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
"""A pause or demotion takes a round trip; this allows for a lost packet."""
INHERITED_WAIT_S = 1.5
"""Wait for an earlier holder's promotion before another is asked for. Longer than its
call may be on the way (0.4 s) and the promotion takes to have effect (1 s)."""
DEMOTE_WAIT_S = 0.05
"""Wait for the old primary to stop: a few round trips to another zone."""
TAKEOVER_LIMIT_S = 3.0
"""A promotion without effect after this is given up; the next try chooses anew."""
TAKEOVER_POLL_S = 0.04

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
        """Replace the primary of a term; return whether a later one leads.

        `acknowledged` is the highest position that VMs saw acknowledged.
        """
        group = self._group
        claim = await self._claims.take(group.name)
        if claim is None:
            return False
        if group.term != term:
            # Another holder was faster.
            await self._claims.give_back(claim)
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
            await self._claims.give_back(claim)
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
        old, term = group.primary, group.term
        needed = self._roster.to_pause(stored, term=term, registered=group.endpoints)
        needed.pop(old or "", None)
        before = await self._ask_all(needed)
        if group.term != term:
            return True  # Another holder was faster.
        if old is None:
            # A primary of this term that came back may be among those asked.
            leading = {
                n for n, status in before.items() if status and status.is_primary
            }
            needed = {n: info for n, info in needed.items() if n not in leading}
            old = next(iter(leading), None)
        needed = {n: info for n, info in needed.items() if not self._ended(info)}
        silent = sorted(name for name in needed if before[name] is None)
        if silent or not needed:
            _log.warning("replica_not_asked", group=group.name, term=term, names=silent)
            return False
        inherited = any(before[name].held_term > term for name in needed)
        if inherited and await self._takeover(needed, term, INHERITED_WAIT_S):
            return True
        paused = await self._pause_all(needed, term)
        if paused is None:
            await self._give_up(needed, inherited)
            return False
        if old is not None:
            # A primary that answers stops before the next one starts; one that does
            # not is not waited for.
            demotion = asyncio.create_task(self._command(old, Demote(term + 1)))
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
            await self._give_up(needed, inherited)
            return False
        if not await self._still_paused(paused, term):
            await self._give_up(needed, inherited)
            return False
        return await self._promote(claim, chosen, term, paused, inherited)

    def _ended(self, info: EndpointInfo) -> bool:
        """Whether an endpoint drained and its process no longer runs."""
        control = self._control(info.id)
        if control is None or not self._group.has_ended(info, control):
            return False
        self._roster.strike_off(info.id)
        return True

    def _control(self, endpoint: str) -> ControlLink | None:
        return self._group.controls.get(endpoint) or self._unregistered.get(endpoint)

    async def _ask_all(
        self, endpoints: Iterable[str] | dict[str, EndpointInfo]
    ) -> dict[str, EndpointStatus | None]:
        """Ask endpoints for their status, also those without an entry any more."""
        if isinstance(endpoints, dict):
            self._open_unregistered(endpoints)
        names = list(endpoints)
        answers = await asyncio.gather(*(self._command(name) for name in names))
        return dict(zip(names, answers, strict=True))

    def _open_unregistered(self, endpoints: dict[str, EndpointInfo]) -> None:
        for control in self._unregistered.values():
            control.close()
        self._unregistered = {
            name: ControlLink(info, dialer=self._dialer, clock=self._clock)
            for name, info in endpoints.items()
            if name not in self._group.controls
        }

    async def _command(
        self,
        endpoint: str,
        command: PauseReceiving | ResumeReceiving | Demote | None = None,
    ) -> EndpointStatus | None:
        """Send a command, by default for the status, and take over the answer."""
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
        self, needed: dict[str, EndpointInfo], term: int
    ) -> dict[str, EndpointStatus] | None:
        """Pause every replica; None if one could not be paused."""
        await asyncio.gather(
            *(self._command(name, PauseReceiving(term + 1)) for name in needed)
        )
        statuses = await self._ask_all(list(needed))
        paused = {
            name: status
            for name, status in statuses.items()
            if status is not None and status.held_term > term and not status.is_primary
        }
        if len(paused) < len(needed):
            missing = sorted(set(needed) - set(paused))
            _log.warning(
                "replica_not_paused", group=self._group.name, term=term, missing=missing
            )
            return None
        return paused

    async def _still_paused(self, paused: dict[str, EndpointStatus], term: int) -> bool:
        """Look again: a replica that restarted has forgotten its pause."""
        again = await self._ask_all(list(paused))
        return all(
            status is not None
            and status.held_term > term
            and status.received == paused[name].received
            for name, status in again.items()
        )

    async def _give_up(self, paused: Iterable[str], inherited: bool) -> None:
        """Let the replicas receive again, unless an earlier promotion may take effect.

        Then a later try finishes what was begun.
        """
        if inherited:
            return
        await asyncio.gather(
            *(self._command(name, ResumeReceiving()) for name in paused)
        )
        self._group.refresh_soon()

    async def _promote(
        self,
        claim: Claim,
        chosen: str,
        term: int,
        paused: dict[str, EndpointStatus],
        inherited: bool,
    ) -> bool:
        group = self._group
        if not await self._claims.holds(claim):
            _log.warning("claim_lost", group=group.name, token=claim.fencing_token)
            return False
        group.primary_expected_at = self._clock.monotonic() + group.promotion_s
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
        )
        if result is PromotionResult.REFUSED:
            await self._give_up(paused, inherited)
            return False
        return await self._takeover(paused, term, TAKEOVER_LIMIT_S)

    async def _takeover(self, names: Iterable[str], term: int, limit_s: float) -> bool:
        """Wait until one of the endpoints leads a later term.

        A replica that restarts meanwhile has forgotten its pause and is paused again.
        """
        names = list(names)
        deadline = self._clock.monotonic() + limit_s
        while self._clock.monotonic() < deadline:
            statuses = await self._ask_all(names)
            if self._group.term > term and self._group.primary is not None:
                return True
            for name, status in statuses.items():
                forgot = status is not None and status.held_term <= term
                if forgot and status.term == term and not status.is_primary:
                    await self._command(name, PauseReceiving(term + 1))
            await asyncio.sleep(TAKEOVER_POLL_S)
        return False
