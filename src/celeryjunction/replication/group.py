"""A replicated group as this VM knows it: primary, term, evidence and freshness.

Every promotion first pauses all replicas for the new term. A replica that reports the
known term and is not paused for a later one is therefore evidence that no promotion
had taken effect when it was asked (docs/platform.md, "How a primary is proven").
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator
from math import inf
from zlib import crc32

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.freshness import FreshnessHistory
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.control import (
    REACHABLE,
    ControlLink,
    IdleConnectionPool,
)
from celeryjunction.replication.drain_watch import AskZone, DrainWatch, neighbours
from celeryjunction.replication.member_receipts import (
    MAX_READ_AGE_S,
    MemberReceipts,
)
from celeryjunction.replication.outage import Holding, hold_for_primary
from celeryjunction.replication.ports import (
    NO_POSITION,
    EndpointDialer,
    EndpointInfo,
    EndpointStatus,
    LogPosition,
)
from celeryjunction.replication.receipts import CommitReceipts
from celeryjunction.replication.roster import (
    ABSENCE_LIMIT_S,
    GroupRoster,
    in_use_count,
)

STABLE_CONNECTION_S = 3.0
"""Evidence on a younger connection counts only if all members agree: the endpoint may
have restarted and lost a pause. Longer than a promotion and its detection take."""
ANNOUNCEMENT_DELAY_S = 0.1
"""A promotion is announced in the roster about this long after the first pause. The
roster is read then, as the store may be away when the promotion takes effect."""
ROSTER_WAIT_S = 0.1
"""Longest wait for the roster of a new term before evidence is given up."""
HEDGE_DELAY_S = 0.04
"""The next replica is asked when none has given evidence for this long."""
EVIDENCE_TIME_S = 0.1
"""Time for the evidence of a new primary after its promotion was waited for. Evidence
takes a round trip, and a little longer while the replicas join the new term."""
EVIDENCE_RETRY_DELAY_S = 0.03
"""Pause between two attempts to find evidence."""
MAX_PAUSE_STATUS_AGE_S = 1.5
"""A pause that was reported longer ago than this may have ended."""
INITIAL_PROMOTION_S = 1.2
"""Expected duration of the first promotion: 1 s on the slowest site, plus the calls."""
MIN_PROMOTION_S = 0.3
MAX_PROMOTION_S = 3.0
RECENT_CONTACT_S = 0.3
"""An answer to a command sent within this time is recent: the primary need not be asked
for its position, and the endpoint's zone counts as reachable."""
MAX_REGISTER_AGE_S = 10.0
"""Replicas alone cover a commit only if the register was read within this time. It
takes longer to replace an endpoint: one that leaves drains first."""
PRIMARY_POLL_INTERVAL_S = 0.05
"""Interval at which endpoints are asked while a promotion is expected to finish."""

_log = get_logger("replication")


class ReplicationGroup:
    """Endpoints of one group, its primary and term, and the evidence for these.

    `ask_zone` asks endpoints of other groups as well, see `DrainWatch`; by default only
    those of this group. `register_age_s` returns the seconds since the register last
    confirmed the endpoints, `drains_known_age_s` those since no VM that may replace
    the primary knew of a drain that this one doesn't know. `is_cut_off` returns whether
    the VM's zone is cut off from the others since a time when it knew all drains.
    """

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
        ask_zone: AskZone | None = None,
        register_age_s: Callable[[], float] = lambda: 0.0,
        drains_known_age_s: Callable[[], float] = lambda: 0.0,
        is_cut_off: Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_cut_off = is_cut_off
        self._register_age_s = register_age_s
        self._drains_known_age_s = drains_known_age_s
        self._vanished: dict[str, float] = {}
        """When the entries of endpoints went that were not seen to end; seconds."""
        self.name = name
        self.term = 0
        self.primary: str | None = None
        self.is_synchronous = True
        """Whether a commit is acknowledged only after a replica received it."""
        self.is_monitored = True
        """Whether this VM monitors the group."""
        self.led_since = 0.0
        """When this VM first saw the primary in that role; seconds."""
        self.endpoints: dict[str, EndpointInfo] = {}
        self.controls: dict[str, ControlLink] = {}
        self.statuses: dict[str, tuple[float, EndpointStatus]] = {}
        self.acknowledged = NO_POSITION
        """Highest position of a commit that this VM saw acknowledged."""
        self.primary_expected_at = 0.0
        """When a promotion in progress should have taken effect; seconds, 0 if none."""
        self.proven_at = 0.0
        """Instant for which a primary and its position were last proven; seconds."""
        self.history: FreshnessHistory[LogPosition] = FreshnessHistory()
        self.expected_promotion_s = INITIAL_PROMOTION_S
        """Expected seconds from the pause of the replicas to the new primary."""
        self._zone = zone
        self._vm = vm
        self._dialer = dialer
        self._clock = clock
        self._roster = roster
        self._idle_pool = idle_pool
        self._evidence_round: tuple[float, asyncio.Task[bool]] | None = None
        self._sample_round: tuple[float, asyncio.Task[bool]] | None = None
        self._refresh: asyncio.Task[None] | None = None
        self._retries: dict[str, asyncio.Task[EndpointStatus | None]] = {}
        self._primary_found = asyncio.Event()
        self._expected_term = 0
        self._has_evidence = True
        self._asking: set[asyncio.Task[EndpointStatus | None]] = set()
        self._last_contact: dict[str, float] = {}
        self._roster_read: asyncio.Task[None] | None = None
        self.drain_watch = DrainWatch(
            endpoints=lambda: self.endpoints,
            controls=lambda: self.controls,
            ask=self.ask,
            ask_zone=ask_zone or self._ask_neighbours,
            clock=clock,
        )
        self._primary_answer: tuple[float, LogPosition] | None = None
        self._highest_received: dict[str, LogPosition] = {}
        """How far each replica was seen to have received in this term."""
        self._member_receipts = MemberReceipts()
        self.receipts = CommitReceipts(
            name,
            term=lambda: self.term,
            witnesses=lambda: self._witnesses,
            ask=self._gather_evidence,
            request_refresh=self.refresh_soon,
            clock=clock,
            describe=self._describe_evidence,
        )
        self.sampled_at = 0.0
        """Instant that the newest entry of the history covers; seconds."""
        self.check_requested = asyncio.Event()
        """Set when the primary should be checked without delay."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "name", self.name
        yield "term", self.term
        yield "primary", self.primary

    @property
    def replicas(self) -> list[str]:
        """Ids of the endpoints other than the primary."""
        return [name for name in self.endpoints if name != self.primary]

    def update_endpoints(self, endpoints: dict[str, EndpointInfo]) -> None:
        """Replace the group's endpoints by those that the register lists now."""
        for name in [n for n in self.controls if n not in endpoints]:
            self.controls.pop(name).close()
            self.statuses.pop(name, None)
        for name, info in endpoints.items():
            previous = self.endpoints.get(name)
            if previous is not None and not previous.is_same_process(info):
                self.controls.pop(name).close()
            if name not in self.controls:
                self.controls[name] = ControlLink(
                    info,
                    dialer=self._dialer,
                    clock=self._clock,
                    idle_pool=self._idle_pool,
                )
        self._record_vanished(endpoints)
        self.endpoints = dict(endpoints)
        if self.primary is not None and self.primary not in endpoints:
            self.clear_primary("not_registered")

    def _record_vanished(self, endpoints: dict[str, EndpointInfo]) -> None:
        now = self._clock.monotonic()
        for name, info in self.endpoints.items():
            if name not in endpoints and not self.drain_watch.was_seen_ending(info):
                self._vanished[name] = now
        for name in endpoints:
            self._vanished.pop(name, None)

    def close(self) -> None:
        """Close the control connections."""
        for control in self.controls.values():
            control.close()
        self.controls.clear()
        self.endpoints = {}

    # Endpoint statuses

    async def ask(self, endpoint: str) -> EndpointStatus | None:
        """Ask an endpoint for its status and record it; None without an answer."""
        control = self.controls.get(endpoint)
        if control is None:
            return None
        asked_at = self._clock.monotonic()
        status = await control.ask()
        if status is not None:
            self.observe(endpoint, status, asked_at=asked_at)
        elif control.failure not in REACHABLE:
            self.drain_watch.record_unanswered(control.info)
        return status

    def last_contact_at(self, endpoint: str) -> float:
        """Return the send time of the last command that the endpoint answered, or 0."""
        return self._last_contact.get(endpoint, 0.0)

    @property
    def reached_at(self) -> float:
        """Send time of the last command that any endpoint answered; seconds, or 0."""
        return max(map(self.last_contact_at, self.endpoints), default=0.0)

    def record_answer(
        self, endpoint: str, position: LogPosition | None, *, sent_at: float
    ) -> None:
        """Record an endpoint's answer to a command sent at `sent_at`.

        The primary's position covers all commits acknowledged before `sent_at`.
        """
        self._last_contact[endpoint] = max(
            sent_at, self._last_contact.get(endpoint, 0.0)
        )
        if endpoint == self.primary and position is not None:
            last = self._primary_answer
            if position.term <= self.term and (last is None or sent_at > last[0]):
                self._primary_answer = (sent_at, position)

    def observe(
        self, endpoint: str, status: EndpointStatus, *, asked_at: float
    ) -> None:
        """Record an endpoint's status and update the term and the primary from it."""
        self.statuses[endpoint] = (asked_at, status)
        position = status.received if status.is_primary else None
        self.record_answer(endpoint, position, sent_at=asked_at)
        if status.term > self.term:
            self._enter_term(status.term)
        if status.is_primary:
            is_new = status.term == self.term and self.primary is None
            if is_new and not self.has_paused_replica:
                self._set_primary(endpoint)
        elif endpoint == self.primary:
            self.clear_primary("not_primary_any_more")
        else:
            self._record_received(endpoint, status, asked_at=asked_at)
            if status.held_term > max(self.term, status.term):
                self._expect_promotion(status.held_term)
            else:
                self._record_receipt(endpoint, asked_at=asked_at)

    @property
    def has_paused_replica(self) -> bool:
        """Whether a replica recently reported a pause for a later term."""
        oldest = self._clock.monotonic() - MAX_PAUSE_STATUS_AGE_S
        return any(
            asked_at >= oldest and status.held_term > self.term
            for asked_at, status in self.statuses.values()
            if not status.is_primary
        )

    def _expect_promotion(self, held_term: int) -> None:
        if held_term <= self._expected_term:
            return
        self._expected_term = held_term
        if self._roster is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(ANNOUNCEMENT_DELAY_S, self._read_roster)
        self.primary_expected_at = self._clock.monotonic() + self.expected_promotion_s
        self.clear_primary("promotion_under_way")

    def _enter_term(self, term: int) -> None:
        """Enter a later term: the roles and positions known so far no longer hold."""
        self.clear_primary("later_term")
        self.term = term
        self.history.clear()
        self.sampled_at = 0.0
        self._primary_answer = None
        self.receipts.clear()
        self._member_receipts.clear()
        self._highest_received.clear()

    def _set_primary(self, endpoint: str) -> None:
        _log.info("primary_changed", group=self.name, primary=endpoint, term=self.term)
        self._update_expected_promotion()
        self.primary = endpoint
        self.led_since = self._clock.monotonic()
        self.primary_expected_at = 0.0
        self._primary_found.set()

    def _update_expected_promotion(self) -> None:
        """Expect the next promotion to take as long as this one did, within bounds."""
        if self.primary_expected_at:
            started = self.primary_expected_at - self.expected_promotion_s
            took = self._clock.monotonic() - started
            self.expected_promotion_s = min(max(took, MIN_PROMOTION_S), MAX_PROMOTION_S)

    def clear_primary(self, reason: str) -> None:
        """Mark the primary as unknown; statements for it wait or are refused."""
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
        self._primary_found.clear()
        self.refresh_soon()

    def refresh_soon(self) -> None:
        """Request a check, and refresh all statuses unless a refresh is running."""
        self.check_requested.set()
        if self._refresh is None or self._refresh.done():
            self._refresh = asyncio.create_task(self.refresh())

    async def refresh(self) -> None:
        """Ask all endpoints for their status.

        Endpoints whose last command failed are not waited for.
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

    async def ask_unknown(self) -> None:
        """Ask the endpoints of which something is missing.

        These have no open connection, did not answer, were not seen in this term, or
        drain. Evidence needs a connection that was opened before, the roster of the
        term only holds endpoints that were seen in it, and the last position of one
        that drains has to be known when it is gone.
        """
        await asyncio.gather(
            *(self.ask(name) for name in self.endpoints if self._is_unknown(name))
        )

    def _is_unknown(self, name: str) -> bool:
        control, status = self.controls.get(name), self.statuses.get(name)
        return (
            control is None
            or bool(control.failure)
            or not control.open_s
            or status is None
            or status[1].term != self.term
            or self.endpoints[name].draining
        )

    async def _ask_neighbours(self, info: EndpointInfo) -> bool:
        """Whether another endpoint of the group in the zone of `info` answers now."""
        names = [other.id for other in neighbours(info, self.endpoints.values())]
        return any(await asyncio.gather(*map(self.ask, names)))

    # Evidence for the primary

    async def wait_for_primary(self, deadline: float) -> str:
        """Return the primary; wait for one that is expected before the deadline.

        Raises `ProxyError` (not run) when none is expected in time, after the roles
        were asked for once more.
        """
        while True:
            now = self._clock.monotonic()
            holding = hold_for_primary(
                now=now,
                deadline=deadline,
                is_known=self.primary is not None,
                failures=self._primary_failures,
                expected_at=self.primary_expected_at,
            )
            if holding is Holding.SEND:
                return self.primary
            if holding is Holding.WAIT:
                pause = min(deadline - now, PRIMARY_POLL_INTERVAL_S)
                await self._poll_for_primary(pause)
                continue
            if self.primary is None:
                self.refresh_soon()
                await asyncio.wait({self._refresh}, timeout=max(0.0, deadline - now))
                if self.primary is not None:
                    continue
            raise self._no_primary_error()

    @property
    def _primary_failures(self) -> int:
        """Number of requests in a row that the primary did not answer."""
        primary = self.primary or ""
        control = self.controls.get(primary)
        if control is None or self.last_contact_at(primary) >= control.failing_since:
            return 0
        return control.failures

    async def _poll_for_primary(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._primary_found.wait()
        except TimeoutError:
            self.refresh_soon()

    def _no_primary_error(self) -> ProxyError:
        return ProxyError(ErrorKind.NOT_RUN_NO_PRIMARY, {"database": self.name})

    async def proven_primary(
        self, *, since: float, deadline: float, promotion_deadline: float = 0.0
    ) -> str:
        """Return an endpoint with evidence that it was primary at `since` or later.

        All commits acknowledged before `since` are in its log. Raises `ProxyError`
        (not run) when there is no primary or no evidence by the deadline. A promotion
        in progress is waited for until `promotion_deadline`, if that is later.
        """
        while True:
            if self.primary is None:
                await self.wait_for_primary(max(deadline, promotion_deadline))
                deadline = max(deadline, self._clock.monotonic() + EVIDENCE_TIME_S)
            else:
                await self.wait_for_primary(deadline)
            term = self.term
            found = await self._find_evidence(since)
            self._log_evidence_change(found)
            if found and term == self.term and self.primary:
                return self.primary
            now = self._clock.monotonic()
            if now + EVIDENCE_RETRY_DELAY_S >= deadline:
                raise ProxyError(ErrorKind.FRESHNESS_UNPROVEN, {"database": self.name})
            await asyncio.sleep(EVIDENCE_RETRY_DELAY_S)

    def _log_evidence_change(self, found: bool) -> None:
        """Log when evidence can no longer be found, and when it is found again."""
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

    async def _find_evidence(self, since: float) -> bool:
        """Return whether evidence requested at `since` or later was found.

        Concurrent calls share a round of requests that started late enough.
        """
        running = self._evidence_round
        if running is None or running[0] < since or running[1].done():
            started = self._clock.monotonic()
            running = (started, asyncio.create_task(self._gather_evidence()))
            self._evidence_round = running
        found = await asyncio.shield(running[1])
        if found:
            self._record_covered_position(running[0])
        return found

    def _record_covered_position(self, proven_at: float) -> None:
        """Add to the history what the primary's last answer and evidence cover."""
        answer = self._primary_answer
        if answer is None:
            return
        instant = min(answer[0], proven_at)
        if instant > self.sampled_at:
            self.sampled_at = self.proven_at = instant
            self.history.add(instant, answer[1])

    async def _gather_evidence(self, position: LogPosition = NO_POSITION) -> bool:
        """Ask witnesses in order of preference until one gives evidence.

        With a position, the evidence must come from one that has received it and stays.
        """
        term = self.term
        witnesses = await self._find_witnesses(commit=position != NO_POSITION)
        stable = self._in_evidence_order(
            name for name in witnesses if self._is_settled(name)
        )
        asked: list[asyncio.Task[EndpointStatus | None]] = []
        # Without a recent register a commit needs the answers of all members.
        hedge_s = HEDGE_DELAY_S
        if position != NO_POSITION and not self._knows_drains:
            hedge_s = 0.0
        done: set[asyncio.Task[EndpointStatus | None]] = set()

        def has_evidence() -> bool:
            return any(self._confirms(task.result(), term) for task in done)

        for name in stable:
            asked.append(self._ask_beside(name))
            done, _ = await asyncio.wait(
                asked, timeout=hedge_s, return_when=asyncio.FIRST_COMPLETED
            )
            if has_evidence() and self.receipts.received >= position:
                return True
        if asked:
            done, _ = await asyncio.wait(asked)
            if has_evidence():
                return self.receipts.received >= position
        return await self._all_confirm(term, position)

    def _ask_beside(self, endpoint: str) -> asyncio.Task[EndpointStatus | None]:
        """Ask an endpoint in a task that ends by itself, within the time-out.

        A request that is cancelled closes its connection, and a replica on a new one
        gives no evidence until the roster was read again.
        """
        task = asyncio.create_task(self.ask(endpoint))
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)
        return task

    async def _find_witnesses(self, *, commit: bool) -> dict[str, EndpointInfo]:
        """Return the replicas whose statuses prove the primary and commits.

        These are the members that the store names, because a promotion pauses them all.
        Only ones that don't drain prove a `commit`.
        """
        if self._roster is None:
            return {name: self.endpoints[name] for name in self.replicas}
        if self.primary is None:
            return {}
        witnesses = self._witnesses
        settled = {name for name in witnesses if self._is_settled(name)}
        if not settled or (commit and all(witnesses[n].draining for n in settled)):
            # The roster of a new term, or one read after the connections were opened.
            await asyncio.wait({self._read_roster()}, timeout=ROSTER_WAIT_S)
        elif any(
            self._has_stable_connection(name) for name in witnesses.keys() - settled
        ):
            self._read_roster()
        return self._witnesses

    def _read_roster(self) -> asyncio.Task[None]:
        """Start to read the roster, unless that is in progress."""
        if self._roster_read is None or self._roster_read.done():
            self._roster_read = asyncio.create_task(self._roster.read_again())
        return self._roster_read

    def _describe_evidence(self) -> dict[str, object]:
        """Return what the log says about a commit without a proof."""
        return {
            "settled": [name for name in self.replicas if self._is_settled(name)],
            "open_s": {n: round(self.controls[n].open_s, 2) for n in self.replicas},
            "drains_known_age_s": round(min(self._drains_known_age_s(), 1e6), 2),
        }

    @property
    def _knows_drains(self) -> bool:
        """Whether every member that drains is known to, as far as it matters."""
        return self._drains_known_age_s() <= MAX_READ_AGE_S

    def _is_cut_off_with(self, endpoint: str) -> bool:
        """Whether VMs of other zones can't ask the endpoint for its last position."""
        return self.endpoints[endpoint].zone == self._zone and self._is_cut_off()

    @property
    def _possible_members(self) -> set[str]:
        """Return all replicas that this VM knows, or none if all are known to drain.

        Every member that was one when the register was last confirmed is among them.
        """
        if all(self.endpoints[name].draining for name in self.replicas):
            return set()
        roster = self._roster
        members = roster.replicas_in_term(self.term) if roster is not None else None
        return {*(members or ()), *self.replicas} - {self.primary}

    @property
    def _witnesses(self) -> dict[str, EndpointInfo]:
        if self._roster is None:
            found = dict(self.endpoints)
        elif self.primary is None:
            found = {}
        else:
            found = self._roster.witnesses(self.term, self.primary) or {}
        return {
            name: self.endpoints[name]
            for name in found
            if name in self.endpoints and name != self.primary
        }

    async def _all_confirm(self, term: int, position: LogPosition) -> bool:
        """Ask all replicas that may have been promoted; one that was reports it.

        Valid even if a restart has lost a pause. A VM that does not monitor the group
        may know an old roster, so it asks the registered replicas as well.
        """
        members = (
            self._roster.replicas_in_term(term) if self._roster is not None else None
        )
        if members is None and self._roster is not None:
            return False
        candidates = set(members or ())
        if members is None or not self.is_monitored:
            candidates |= set(self.replicas)
        if not candidates:
            return False
        witnesses = self._witnesses
        names = list(candidates)
        answers = await asyncio.gather(*map(self.ask, names))
        if not all(self._confirms(status, term) for status in answers):
            return False
        if position == NO_POSITION:
            return True
        if not await self._still_confirm(names, term):
            return False
        staying = [
            status.received
            for name, status in zip(names, answers, strict=True)
            if name in witnesses and not witnesses[name].draining
        ]
        if staying and self._knows_drains:
            self.receipts.record(max(staying))
        elif staying and candidates >= self._possible_members > set():
            self.receipts.record(min(status.received for status in answers))
        return self.receipts.received >= position

    async def _still_confirm(self, names: Iterable[str], term: int) -> bool:
        """Whether no pause was lost between the answers, and no promotion is announced.

        A replica may have been paused after its answer, and another one have lost its
        pause before it received the commit.
        """
        answers = await asyncio.gather(*map(self.ask, names))
        if not all(self._confirms(status, term) for status in answers):
            return False
        if self._roster is None:
            return True
        asked_at = self._clock.monotonic()
        await self._roster.read_again()
        return self._roster.unsealed_at(term, self.primary or "") >= asked_at

    def _has_stable_connection(self, endpoint: str) -> bool:
        control = self.controls.get(endpoint)
        return control is not None and control.open_s >= STABLE_CONNECTION_S

    def _is_settled(self, endpoint: str) -> bool:
        """Whether a pause that the replica lost can no longer matter to a promotion.

        A holder seals the roster before it checks the pauses for the last time. So one
        that was read without a seal after the connection was opened shows that no
        holder relies on a pause from before a restart.
        """
        if self._roster is None:
            return self._has_stable_connection(endpoint)
        control = self.controls.get(endpoint)
        if control is None or not control.open_s:
            return False
        unsealed_at = self._roster.unsealed_at(self.term, self.primary or "")
        return unsealed_at >= self._clock.monotonic() - control.open_s

    async def floor_without(self, member: EndpointInfo) -> LogPosition | None:
        """Return what the next primary needs if an ended member no longer counts.

        This is the primary's position after the end, or without its answer how far the
        member had received when no VM relied on it alone. None if neither is known.
        """
        final = self.drain_watch.final_received(member)
        if not self.drain_watch.is_outlasted(member, staying=self._staying):
            final = None
        primary = self.primary
        if primary is None and self._roster is not None:
            # It may be unknown because of a pause, or demoted; it has all commits.
            primary = self._roster.primary_in_term(self.term)
        if primary is None:
            return final
        status = await self.ask(primary)
        if status is None or status.term != self.term:
            return final
        return max(status.received, final or NO_POSITION)

    @property
    def _staying(self) -> set[tuple[str, int]]:
        """Return the processes of the registered replicas that don't drain."""
        primaries = {self.primary}
        if self._roster is not None:
            primaries.add(self._roster.primary_in_term(self.term))
        return {
            info.process_key
            for info in self.endpoints.values()
            if not info.draining and info.id not in primaries
        }

    def highest_received(self, endpoint: str) -> LogPosition:
        """Return how far a replica was seen to have received in this term.

        One that has less now has started again without its log.
        """
        return self._highest_received.get(endpoint, NO_POSITION)

    def _record_received(
        self, endpoint: str, status: EndpointStatus, *, asked_at: float
    ) -> None:
        """Note how far a replica of this term has received."""
        info = self.endpoints.get(endpoint)
        if info is None or status.term != self.term:
            return
        self._highest_received[endpoint] = max(
            status.received, self.highest_received(endpoint)
        )
        if info.draining:
            self.drain_watch.record_received(
                info, status.received, asked_at=asked_at, staying=self._staying
            )

    def _record_receipt(self, endpoint: str, *, asked_at: float) -> None:
        """Note what a replica that isn't paused proves, if it is a witness.

        One that drains unnoticed proves commits only together with all others.
        """
        status = self.statuses[endpoint][1]
        if status.term != self.term or endpoint not in self._witnesses:
            return
        if not self._is_settled(endpoint):
            return
        self.receipts.record_witness(asked_at)
        receipts, now = self._member_receipts, self._clock.monotonic()
        receipts.record(endpoint, status.received, asked_at=asked_at)
        if self._knows_drains or self._is_cut_off_with(endpoint):
            if not self.endpoints[endpoint].draining:
                self.receipts.record(status.received)
        else:
            self.receipts.record(
                receipts.received_by_all(self._possible_members, now=now)
            )

    def _in_evidence_order(self, names: Iterable[str]) -> list[str]:
        """Order endpoints for evidence: this zone first, then by a hash with the VM.

        Each VM thus keeps its connection for evidence to the same replica, while the
        VMs together spread over all replicas. Endpoints that did not answer the last
        request come last.
        """

        def preference(name: str) -> tuple[bool, bool, int]:
            failing = bool(self.controls[name].failure)
            spread = crc32(f"{self._vm} {name}".encode())
            return failing, self.endpoints[name].zone != self._zone, spread

        return sorted(names, key=preference)

    def _confirms(self, status: EndpointStatus | None, term: int) -> bool:
        if status is None or status.is_primary:
            return False
        if status.held_term > term or status.term > term:
            self.refresh_soon()
            return False
        return status.term == term

    # Freshness

    async def sample(self, *, covering: float = inf) -> bool:
        """Find evidence and the primary's position; return whether both were found.

        The primary is asked only if it has not answered a statement recently. A sample
        that is in progress is joined if it covers the instant `covering`, in seconds.
        """
        running = self._sample_round
        if running is None or running[1].done() or running[0] < covering:
            started = self._clock.monotonic()
            running = (started, asyncio.create_task(self._sample(started)))
            self._sample_round = running
        return await asyncio.shield(running[1])

    async def _sample(self, started: float) -> bool:
        primary, before = self.primary, self.sampled_at
        if primary is None:
            await self.refresh()
            return self._sample_replicas(started)
        if (
            self.last_contact_at(primary) < started - RECENT_CONTACT_S
            or self._primary_answer is None
        ):
            asking = asyncio.create_task(self.ask(primary))
            if self._is_failing(primary):
                # Positions of the replicas suffice, and the primary may take the whole
                # time limit not to answer.
                found = await self._ask_replicas(started)
                await asyncio.wait({asking})
                return found or self.sampled_at > before
            await asyncio.gather(asking, self._find_evidence(started))
        else:
            await self._find_evidence(started)
        if self.sampled_at > before:
            return True
        return self._is_failing(primary) and await self._ask_replicas(started)

    def _is_failing(self, endpoint: str) -> bool:
        control = self.controls.get(endpoint)
        return control is not None and control.failure not in REACHABLE

    async def _ask_replicas(self, started: float) -> bool:
        """Ask the replicas that were not asked since `started`, and take a sample."""
        names = [
            name
            for name in self._replicas_in_term()
            if self.statuses.get(name, (-inf,))[0] < started
        ]
        await asyncio.gather(*map(self.ask, names))
        return self._sample_replicas(started)

    def _replicas_in_term(self) -> set[str]:
        """Return the replicas that may hold acknowledged commits; empty if unknown."""
        roster = self._roster
        members = roster.replicas_in_term(self.term) if roster is not None else None
        if not members:
            return set()
        primaries = {self.primary, roster.primary_in_term(self.term)}
        return {*members, *self.endpoints} - primaries

    @property
    def _knows_all_members(self) -> bool:
        """Whether no other endpoint can have acknowledged a commit of this term.

        An endpoint whose entry expired may have returned without this VM knowing, also
        if it expired before this VM started, and a new one may have joined since the
        register was last read.
        """
        now = self._clock.monotonic()
        self._vanished = {
            name: at
            for name, at in self._vanished.items()
            if now - at < ABSENCE_LIMIT_S
        }
        if self._vanished or in_use_count(self.endpoints) < self._roster.size:
            return False
        return self._register_age_s() <= MAX_REGISTER_AGE_S

    def _sample_replicas(self, started: float) -> bool:
        """Take a sample from the replicas alone, if all members of the term answered.

        With synchronous replicas, every acknowledged commit is at one of the replicas
        in the roster, so their highest position covers all commits while none is paused
        for a later term.
        """
        members = self._replicas_in_term()
        if not self.term or not members or not self.is_synchronous:
            return False
        if not self._knows_all_members:
            return False
        entries = [self.statuses.get(name) for name in members]
        replicas = [entry[1] for entry in entries if entry and entry[0] >= started]
        if len(replicas) < len(members):
            return False
        if any(not self._confirms(status, self.term) for status in replicas):
            return False
        if started > self.sampled_at:
            self.sampled_at = started
            self.history.add(started, max(s.received for s in replicas))
        return True

    def position_covering(self, instant: float) -> LogPosition | None:
        """Return a position that covers all commits acknowledged before `instant`.

        None when no sample is recent enough.
        """
        return self.history.position_covering(instant)

    async def covered_position(self, *, instant: float, deadline: float) -> LogPosition:
        """Return a position that covers all commits acknowledged before `instant`.

        Takes samples until one is recent enough. Raises `ProxyError` (not run) when
        there is none by the deadline.
        """
        while True:
            position = self.position_covering(instant)
            if position is not None:
                return position
            if not await self.sample(covering=instant):
                now = self._clock.monotonic()
                if now + EVIDENCE_RETRY_DELAY_S >= deadline:
                    raise ProxyError(
                        ErrorKind.FRESHNESS_UNPROVEN, {"database": self.name}
                    )
                await asyncio.sleep(EVIDENCE_RETRY_DELAY_S)
