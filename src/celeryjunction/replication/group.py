"""A replicated group as this VM knows it: primary, term, proofs and freshness.

Every promotion first pauses all replicas under the new term. A replica that reports
the known term and holds no later one therefore proves that no promotion had taken
effect when it was asked (docs/platform.md, "How a primary is proven").
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from zlib import crc32

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.freshness import FreshnessHistory
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import (
    REFUSED,
    REPLACED,
    ControlLink,
    IdleConnectionPool,
)
from celeryjunction.replication.ports import (
    NO_POSITION,
    EndpointDialer,
    EndpointInfo,
    EndpointStatus,
    LogPosition,
)
from celeryjunction.replication.roster import GroupRoster

SETTLED_S = 3.0
"""Evidence on a younger connection counts only if all members agree: the endpoint may
have restarted and lost a pause. Longer than a promotion and the news of it take."""
HEDGE_S = 0.04
"""A second replica is asked when the first has not answered evidence for so long."""
ROUND_PAUSE_S = 0.03
"""Pause between two attempts to find evidence."""
HELD_MEMORY_S = 1.5
"""A pause seen longer ago than this may have ended."""
FIRST_PROMOTION_S = 1.2
"""Expected time of the first promotion: 1 s on the slowest site, and the calls."""
LEAST_PROMOTION_S = 0.3
LONGEST_PROMOTION_S = 3.0
RECENT_S = 0.3
"""An answer of the primary to a statement sent this long ago gives its position."""
PRIMARY_WAIT_S = 0.05
"""Pause between two looks for a primary while none is known."""

_log = get_logger("replication")


class ReplicationGroup:
    """Endpoints of one group, its primary and term, and what proves them."""

    def __init__(
        self,
        name: str,
        *,
        zone: str,
        dialer: EndpointDialer,
        clock: Clock,
        vm: str = "",
        roster: GroupRoster | None = None,
        idle_pool: IdleConnectionPool | None = None,
    ) -> None:
        self.name = name
        self.term = 0
        self.primary: str | None = None
        self.watched = True
        """Whether this VM looks at the group again and again."""
        self.led_since = 0.0
        """When the primary was first seen to lead; seconds."""
        self.endpoints: dict[str, EndpointInfo] = {}
        self.controls: dict[str, ControlLink] = {}
        self.statuses: dict[str, tuple[float, EndpointStatus]] = {}
        self.acknowledged = NO_POSITION
        """Highest position of a commit that this VM saw acknowledged."""
        self.primary_expected_at = 0.0
        """Time when a promotion that is under way should have taken effect."""
        self.proven_at = 0.0
        """When a primary and its position were last proven; seconds."""
        self.history: FreshnessHistory[LogPosition] = FreshnessHistory()
        self.promotion_s = FIRST_PROMOTION_S
        """Expected seconds from the pause of the replicas to the new primary."""
        self._zone = zone
        self._vm = vm
        self._dialer = dialer
        self._clock = clock
        self._roster = roster
        self._idle_pool = idle_pool
        self._round: tuple[float, asyncio.Task[bool]] | None = None
        self._refresh: asyncio.Task[None] | None = None
        self._retries: dict[str, asyncio.Task[EndpointStatus | None]] = {}
        self._primary_known = asyncio.Event()
        self._expected_term = 0
        self._has_evidence = True
        self._heard: dict[str, float] = {}
        self._primary_answer: tuple[float, LogPosition] | None = None
        self.sampled_at = 0.0
        """Instant that the newest entry of the history covers; seconds."""
        self.check_requested = asyncio.Event()
        """Set when the primary should be looked at without delay."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "name", self.name
        yield "term", self.term
        yield "primary", self.primary

    @property
    def replicas(self) -> list[str]:
        """Ids of the endpoints other than the primary."""
        return [name for name in self.endpoints if name != self.primary]

    def update_endpoints(self, endpoints: dict[str, EndpointInfo]) -> None:
        """Take over the group's endpoints from the register."""
        for name in [n for n in self.controls if n not in endpoints]:
            self.controls.pop(name).close()
            self.statuses.pop(name, None)
        for name, info in endpoints.items():
            known = self.endpoints.get(name)
            if known is not None and not known.is_same_process(info):
                self.controls.pop(name).close()
            if name not in self.controls:
                self.controls[name] = ControlLink(
                    info,
                    dialer=self._dialer,
                    clock=self._clock,
                    idle_pool=self._idle_pool,
                )
        self.endpoints = dict(endpoints)
        if self.primary is not None and self.primary not in endpoints:
            self.lose_primary("not_registered")

    def close(self) -> None:
        """Close the control connections."""
        for control in self.controls.values():
            control.close()
        self.controls.clear()
        self.endpoints = {}

    # What endpoints say

    async def ask(self, endpoint: str) -> EndpointStatus | None:
        """Ask an endpoint for its status and take over what it says."""
        control = self.controls.get(endpoint)
        if control is None:
            return None
        asked_at = self._clock.monotonic()
        status = await control.ask()
        if status is not None:
            self.observe(endpoint, status, asked_at=asked_at)
        return status

    def last_contact_at(self, endpoint: str) -> float:
        """Return when a command was sent that the endpoint answered last."""
        return self._heard.get(endpoint, 0.0)

    def record_answer(
        self, endpoint: str, position: LogPosition | None, *, sent_at: float
    ) -> None:
        """Note an answer of an endpoint to a command sent at `sent_at`.

        The primary's position covers all that was acknowledged before.
        """
        self._heard[endpoint] = max(sent_at, self._heard.get(endpoint, 0.0))
        if endpoint == self.primary and position is not None:
            known = self._primary_answer
            if position.term <= self.term and (known is None or sent_at > known[0]):
                self._primary_answer = (sent_at, position)

    def observe(
        self, endpoint: str, status: EndpointStatus, *, asked_at: float
    ) -> None:
        """Take over an endpoint's status, for example a newer primary."""
        self.statuses[endpoint] = (asked_at, status)
        position = status.received if status.is_primary else None
        self.record_answer(endpoint, position, sent_at=asked_at)
        if status.term > self.term:
            self._enter_term(status.term)
        if status.is_primary:
            leads = status.term == self.term and self.primary is None
            if leads and not self.held:
                self._new_primary(endpoint)
        elif endpoint == self.primary:
            self.lose_primary("not_primary_any_more")
        elif status.held_term > max(self.term, status.term):
            self._expect_promotion(status.held_term)

    @property
    def held(self) -> bool:
        """Whether a replica was lately seen to hold a later term."""
        oldest = self._clock.monotonic() - HELD_MEMORY_S
        return any(
            asked_at >= oldest and status.held_term > self.term
            for asked_at, status in self.statuses.values()
            if not status.is_primary
        )

    def _expect_promotion(self, held_term: int) -> None:
        if held_term <= self._expected_term:
            return
        self._expected_term = held_term
        self.primary_expected_at = self._clock.monotonic() + self.promotion_s
        self.lose_primary("promotion_under_way")

    def _enter_term(self, term: int) -> None:
        """Note that an endpoint is in a later term: nothing known of roles holds."""
        self.lose_primary("later_term")
        self.term = term
        self.history.clear()
        self.sampled_at = 0.0
        self._primary_answer = None

    def _new_primary(self, endpoint: str) -> None:
        _log.info("primary_changed", group=self.name, primary=endpoint, term=self.term)
        self._learn_promotion_time()
        self.primary = endpoint
        self.led_since = self._clock.monotonic()
        self.primary_expected_at = 0.0
        self._primary_known.set()

    def _learn_promotion_time(self) -> None:
        """Expect the next promotion to take as long as this one did."""
        if self.primary_expected_at:
            began = self.primary_expected_at - self.promotion_s
            took = self._clock.monotonic() - began
            self.promotion_s = min(max(took, LEAST_PROMOTION_S), LONGEST_PROMOTION_S)

    def lose_primary(self, reason: str) -> None:
        """Forget the primary; statements for it wait or are refused."""
        if self.primary is None:
            return
        _log.warning(
            "primary_lost",
            group=self.name,
            primary=self.primary,
            term=self.term,
            reason=reason,
        )
        self.primary = None
        self._primary_known.clear()
        self.refresh_soon()

    def refresh_soon(self) -> None:
        """Ask all endpoints for their role, unless that is being done."""
        self.check_requested.set()
        if self._refresh is None or self._refresh.done():
            self._refresh = asyncio.create_task(self.refresh())

    async def refresh(self) -> None:
        """Ask all endpoints for their status.

        Those that did not answer the last time are not waited for.
        """
        answering = []
        for name, control in list(self.controls.items()):
            if not control.failure:
                answering.append(self.ask(name))
            elif name not in self._retries:
                self._retries[name] = asyncio.create_task(self.ask(name))
                self._retries[name].add_done_callback(
                    lambda _, name=name: self._retries.pop(name, None)
                )
        await asyncio.gather(*answering)

    def has_ended(self, info: EndpointInfo, control: ControlLink) -> bool:
        """Whether an endpoint that drained no longer runs, by its control's failure.

        A partition may refuse connections as well, so a refusal counts only if another
        endpoint of that zone answered lately and the register dropped the entry.
        """
        if not info.draining:
            return False
        if control.failure == REPLACED:
            return True
        oldest = self._clock.monotonic() - RECENT_S
        return (
            control.failure == REFUSED
            and info.id not in self.endpoints
            and any(
                other.zone == info.zone and self.last_contact_at(name) >= oldest
                for name, other in self.endpoints.items()
            )
        )

    # Proofs

    async def wait_for_primary(self, deadline: float) -> str:
        """Return the primary; waits for one that is due before the deadline.

        Raises `ProxyError` (not run) at once when none is expected in time.
        """
        while self.primary is None:
            now = self._clock.monotonic()
            if (
                now >= deadline
                or now >= self.primary_expected_at
                or self.primary_expected_at > deadline
            ):
                # One look at the roles is worth its time before refusing.
                self.refresh_soon()
                await asyncio.wait({self._refresh}, timeout=max(0.0, deadline - now))
                if self.primary is not None:
                    break
                raise self._no_primary()
            await self._poll_for_primary(min(deadline - now, PRIMARY_WAIT_S))
        return self.primary

    async def _poll_for_primary(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._primary_known.wait()
        except TimeoutError:
            self.refresh_soon()

    def _no_primary(self) -> ProxyError:
        return ProxyError(ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.name})

    async def proven_primary(self, *, since: float, deadline: float) -> str:
        """Return the primary that led at `since` or later, with evidence for it.

        All commits acknowledged before `since` are in its log. Raises `ProxyError`
        (not run) when there is no evidence by the deadline.
        """
        while True:
            await self.wait_for_primary(deadline)
            term = self.term
            found = await self._evidence(since)
            self._note_evidence(found)
            if found and term == self.term and self.primary:
                return self.primary
            now = self._clock.monotonic()
            if now + ROUND_PAUSE_S >= deadline:
                raise ProxyError(ErrorKind.FRESHNESS_UNPROVEN, {"database": self.name})
            await asyncio.sleep(ROUND_PAUSE_S)

    def _note_evidence(self, found: bool) -> None:
        """Log when evidence begins to be missing, and when it is found again."""
        if found == self._has_evidence:
            return
        self._has_evidence = found
        _log.info(
            "evidence_found" if found else "evidence_missing",
            group=self.name,
            primary=self.primary,
            term=self.term,
            replicas={n: self.controls[n].failure or "ok" for n in self.replicas},
        )

    async def _evidence(self, since: float) -> bool:
        """Return whether evidence asked for at `since` or later was found.

        Callers share a round that started late enough.
        """
        running = self._round
        if running is None or running[0] < since or running[1].done():
            started = self._clock.monotonic()
            running = (started, asyncio.create_task(self._run_round()))
            self._round = running
        found = await asyncio.shield(running[1])
        if found:
            self._note_covered(running[0])
        return found

    def _note_covered(self, proven_at: float) -> None:
        """Note what an answer of the primary and evidence cover together."""
        answer = self._primary_answer
        if answer is None:
            return
        instant = min(answer[0], proven_at)
        if instant > self.sampled_at:
            self.sampled_at = self.proven_at = instant
            self.history.add(instant, answer[1])

    async def _run_round(self) -> bool:
        """Ask replicas, the best placed first, until one gives evidence."""
        term = self.term
        settled = self._by_distance(
            name for name in self.replicas if self._is_settled(name)
        )
        asked: list[asyncio.Task[EndpointStatus | None]] = []
        try:
            for name in settled:
                asked.append(asyncio.create_task(self.ask(name)))
                done, _ = await asyncio.wait(
                    asked, timeout=HEDGE_S, return_when=asyncio.FIRST_COMPLETED
                )
                if any(self._confirms(task.result(), term) for task in done):
                    return True
            if asked:
                done, _ = await asyncio.wait(asked)
                if any(self._confirms(task.result(), term) for task in done):
                    return True
            return await self._all_agree(term)
        finally:
            for task in asked:
                task.cancel()

    async def _all_agree(self, term: int) -> bool:
        """Ask all that could be promoted; one that was would say so itself.

        This holds whatever pause a restart has lost. A VM that does not watch the
        group may know an old roster, so it asks the registered ones as well.
        """
        holders = (
            self._roster.replicas_in_term(term) if self._roster is not None else None
        )
        candidates = set(holders or ())
        if holders is None or not self.watched:
            candidates |= set(self.replicas)
        if not candidates:
            return False
        answers = await asyncio.gather(*(self.ask(name) for name in candidates))
        return all(self._confirms(status, term) for status in answers)

    def _is_settled(self, endpoint: str) -> bool:
        return self.controls[endpoint].open_s >= SETTLED_S

    def _by_distance(self, names: Iterable[str]) -> list[str]:
        """Order endpoints for evidence: this zone's first, then always the same one.

        A VM keeps a connection for evidence to one replica, and all VMs together
        spread over the replicas.
        """

        def distance(name: str) -> tuple[bool, int]:
            place = crc32(f"{self._vm} {name}".encode())
            return self.endpoints[name].zone != self._zone, place

        return sorted(names, key=distance)

    def _confirms(self, status: EndpointStatus | None, term: int) -> bool:
        if status is None or status.is_primary:
            return False
        if status.held_term > term or status.term > term:
            self.refresh_soon()
            return False
        return status.term == term

    # Freshness

    async def sample(self) -> bool:
        """Find evidence and the primary's position; return whether both were found.

        The primary is asked only if it did not answer a statement lately.
        """
        started = self._clock.monotonic()
        primary, before = self.primary, self.sampled_at
        if primary is None:
            await self.refresh()
            return await self._sample_without_primary(started)
        if (
            self.last_contact_at(primary) < started - RECENT_S
            or self._primary_answer is None
        ):
            await asyncio.gather(self.ask(primary), self._evidence(started))
        else:
            await self._evidence(started)
        return self.sampled_at > before

    async def _sample_without_primary(self, started: float) -> bool:
        """Note the furthest replica's position while all members can be asked.

        Every acknowledged commit is at one of the replicas that the roster names, and
        none of them may hold a later term.
        """
        holders = (
            self._roster.replicas_in_term(self.term)
            if self._roster is not None
            else None
        )
        if not self.term or not holders:
            return False
        known = [self.statuses.get(name) for name in holders]
        replicas = [entry[1] for entry in known if entry and entry[0] >= started]
        if len(replicas) < len(holders):
            return False
        if any(not self._confirms(status, self.term) for status in replicas):
            return False
        self.sampled_at = started
        self.history.add(started, max(s.received for s in replicas))
        return True

    def position_covering(self, instant: float) -> LogPosition | None:
        """Return a position that covers all acknowledged before `instant`.

        None when no sample is recent enough.
        """
        return self.history.position_covering(instant)

    async def covered_position(self, *, instant: float, deadline: float) -> LogPosition:
        """Return a covering position, sampling until the deadline if need be."""
        while True:
            position = self.position_covering(instant)
            if position is not None:
                return position
            if not await self.sample():
                now = self._clock.monotonic()
                if now + ROUND_PAUSE_S >= deadline:
                    raise ProxyError(
                        ErrorKind.FRESHNESS_UNPROVEN, {"database": self.name}
                    )
                await asyncio.sleep(ROUND_PAUSE_S)
