"""Roster of the replicas that may hold acknowledged commits of a group's term.

Before a promotion, every replica that took part in the term must be paused. The
platform's register does not list all of them: the entry of an endpoint that is cut off
from the store expires, although the endpoint may go on receiving, perhaps cut off
together with the primary. VMs forget what they saw when they restart. The members of a
term are therefore recorded in the store as they are seen. A member is removed once it
drained and its process was found to have ended, or after an absence of
`ABSENCE_LIMIT_S`. Removed members are recorded too, because other VMs would otherwise
add them again from what they saw, and a VM that restarts would wait for them. The
roster also keeps the size of the group, so that a VM that restarts notices that an
endpoint is missing.

A commit is confirmed to its client once a member has received it, so the members that
are paused for a promotion have all confirmed commits. Right before the promotion is
requested its holder seals the roster: a sealed roster takes no further members and
names the next primary and the members of the next term, because the platform's call
may be carried out late and names no term.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from operator import attrgetter
from secrets import token_hex

import msgspec

from celeryjunction.decoding import MAX_NUMBER, DecodingError, decode
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Compare,
    KeyValueStore,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.replication.fencing_token import compose_token
from celeryjunction.replication.ports import NO_POSITION, EndpointInfo, LogPosition
from celeryjunction.replication.restarts import MemberRestarts, restarted_members
from celeryjunction.replication.stored_roster import Roster
from celeryjunction.store_history import StoreHistory

ROSTER_PREFIX = "groups/"
ABSENCE_LIMIT_S = 60.0
"""An absent member is removed after this. Longer than the partitions in which it may
still receive; until then, a failover that needs the member waits."""
SEAL_LIMIT_S = 10.0
"""A sealed promotion may still take effect for this long: the platform carries a call
out up to 6 s late, and a promotion takes up to 3 s. A VM whose call was not answered
makes no other one before."""
CALL_LIMIT_S = 7.0
"""A promotion call that the platform hasn't answered counts as lost after this and the
next holder's wait of 1.5 s: it may be held up on its way, or carried out 6 s late."""
MAX_CALLS = 2
"""Calls of one VM under one token."""
RESUME_LIMIT_S = CALL_LIMIT_S
"""A RESUME without an answer may still arrive for this long, like a promotion call."""
RESUME_ID_BYTES = 8
READ_INTERVAL_S = 0.1
"""Shortest pause between two reads by VMs that wait for the roster of a new term."""
SEALED_READ_INTERVAL_S = 0.2
SEAL_ATTEMPTS = 3
SEAL_TIMEOUT_S = 0.3
"""Time limit of a call while replicas are paused; a slow store takes 0.2 s."""
CALL_TIMEOUT_S = 0.5

_log = get_logger("replication")


_roster = msgspec.json.Decoder(Roster)


def in_use_count(registered: Mapping[str, EndpointInfo]) -> int:
    """Return the number of registered endpoints that do not drain."""
    return sum(not info.draining for info in registered.values())


class GroupRoster:
    """One group's roster: what this VM saw, merged with the stored one.

    After the store came back from an older copy, what this VM knows is merged into the
    copy's roster.
    """

    __slots__ = (
        "_absent_since",
        "_call_awaited_until",
        "_calls",
        "_clock",
        "_departed",
        "_ended_resume",
        "_first_received",
        "_floor",
        "_highest_token",
        "_history",
        "_key",
        "_newest_stored_term",
        "_next_read_at",
        "_read_at",
        "_registered",
        "_restarts",
        "_resume_awaited_until",
        "_resume_seen",
        "_seal_seen",
        "_seen",
        "_store",
        "_stored_losses",
        "_stored_roster",
        "_unanswered_token",
        "_vm",
    )

    def __init__(
        self,
        group: str,
        store: KeyValueStore,
        *,
        clock: Clock,
        history: StoreHistory | None = None,
        vm: str = "",
    ) -> None:
        self._vm = vm
        self._key = ROSTER_PREFIX + group
        self._store = store
        self._clock = clock
        self._history = history or StoreHistory()
        self._stored_roster: Roster | None = None
        self._stored_losses = self._history.losses
        """Losses of the store that were known when the roster was read or written."""
        self._seen = Roster()
        self._restarts = MemberRestarts(clock)
        self._departed: set[tuple[str, int]] = set()
        self._registered: set[tuple[str, int]] = set()
        self._absent_since: dict[str, float] = {}
        self._floor = NO_POSITION
        self._first_received = NO_POSITION
        """The end of the primary's log when this VM first saw it in the term."""
        self._newest_stored_term = 0
        self._highest_token = 0
        self._seal_seen: tuple[tuple[int, int, int, str], float] | None = None
        """The calls that may be outstanding, and since when they are known; seconds."""
        self._unanswered_token = 0
        """Token of this VM's last call if it was not answered, or 0."""
        self._calls = 0
        """This VM's calls under that token."""
        self._call_awaited_until = 0.0
        """Until when a call may arrive whose seal the store has lost; seconds."""
        self._ended_resume = ""
        """Id of this VM's RESUME commands that are not on their way any more."""
        self._resume_awaited_until = 0.0
        """Until when a RESUME may arrive that the store has lost; seconds."""
        self._resume_seen = ("", 0.0)
        """Id of the RESUME commands in the stored roster, and since when it is known;
        seconds."""
        self._next_read_at = 0.0
        self._read_at = 0.0
        """When the read or write of the known stored roster was sent; seconds."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "term", self._seen.term
        yield "members", [member.id for member in self._seen.members]

    def record_members(
        self,
        *,
        term: int,
        primary: str | None,
        members: dict[str, EndpointInfo],
        registered: dict[str, EndpointInfo],
        primary_received: LogPosition = NO_POSITION,
        restart_floor: LogPosition | None = None,
    ) -> None:
        """Record the members that report a term in their status.

        `registered` are the entries that the register has now, `primary_received` is
        the end of the primary's log. The next primary needs that if no promotion to
        this term was announced. `restart_floor` is the end of that log if the primary
        was asked for it later than `registered` was read.
        """
        self._registered = {info.process_key for info in registered.values()}
        is_new = term > self._seen.term
        if is_new:
            self._departed.clear()
            self._floor = self._first_received = NO_POSITION
        if primary is not None and self._first_received == NO_POSITION:
            self._first_received = primary_received
        stored = self._stored_in_term(term, primary) or Roster()
        merged = self._restarts.merge(stored, Roster() if is_new else self._seen)
        leader = stored.primary
        earlier = self._restarts.earlier_processes(merged, registered, primary=leader)
        if earlier and restart_floor is not None:
            self._restarts.accept(registered[name] for name in earlier)
            self._floor, earlier = max(self._floor, restart_floor), {}
        self._record_absent(registered)
        current = {m: registered[m] for m in merged if m in registered}
        merged |= current | members | earlier
        remaining = {
            name: member
            for name, member in merged.items()
            if not self._is_removed(member)
        }
        current_primary = primary or (
            self._seen.primary if term == self._seen.term else ""
        )
        self._seen = Roster(
            term,
            current_primary,
            tuple(remaining[name] for name in sorted(remaining)),
            self._departed_members,
            max(self._seen.size, in_use_count(registered)),
            self._floor,
        )

    @property
    def size(self) -> int:
        """Largest number of endpoints that the group is known to have had in use."""
        stored = self._stored_roster
        return max(self._seen.size, stored.size if stored is not None else 0)

    @property
    def _departed_members(self) -> tuple[tuple[str, int], ...]:
        return tuple(sorted(self._departed))

    def _record_absent(self, registered: dict[str, EndpointInfo]) -> None:
        now = self._clock.monotonic()
        for member in self._seen.members:
            entry = registered.get(member.id)
            if entry is None:
                self._absent_since.setdefault(member.id, now)
            else:
                self._absent_since.pop(member.id, None)

    def _stored_in_term(self, term: int, primary: str | None = None) -> Roster | None:
        """Return the stored roster of a term, or what a seal announces for it.

        The announcement counts only if `primary`, where known, is the announced one.
        """
        stored = self._stored_roster
        if stored is None or stored.term == term:
            return stored
        if not stored.is_sealed or stored.term + 1 != term:
            return None
        if primary not in (None, stored.next_primary):
            return None
        return stored.successor()

    def replicas_in_term(self, term: int) -> list[str] | None:
        """Return the replicas that may hold acknowledged commits of a term.

        None until this VM has read a stored roster of that term with a primary.
        """
        stored = self._stored_in_term(term)
        if stored is None or not stored.primary:
            return None
        members = _by_id(self._merged(stored))
        members.pop(stored.primary, None)
        return list(members)

    def witnesses(self, term: int, primary: str) -> dict[str, EndpointInfo] | None:
        """Return the stored members that prove the primary and commits of a term.

        Only members that every holder of a claim finds in the store count, so not those
        that this VM has seen and not stored. None if no roster of the term with this
        primary was read since the last loss of the store.
        """
        stored = self._stored_in_term(term, primary)
        if stored is None or self._stored_losses != self._history.losses:
            return None
        if stored.primary != primary:
            return None
        return {
            member.id: member
            for member in stored.members
            if member.id != primary and not self._is_removed(member)
        }

    async def read_again(self) -> None:
        """Read the roster, at most every `READ_INTERVAL_S`."""
        now = self._clock.monotonic()
        if now >= self._next_read_at:
            self._next_read_at = now + READ_INTERVAL_S
            await self._read_revision()
            if self._stored_roster is not None and self._stored_roster.is_sealed:
                # It stays sealed at least until the promotion takes effect.
                self._next_read_at = now + SEALED_READ_INTERVAL_S

    def unsealed_at(self, term: int, primary: str) -> float:
        """Return when the roster of a term was last known not to be sealed; seconds.

        0 if it is sealed or not known.
        """
        stored = self._stored_in_term(term, primary)
        if self.witnesses(term, primary) is None or stored.is_sealed:
            return 0.0
        return self._read_at

    def primary_in_term(self, term: int) -> str | None:
        """Return the stored primary of a term; None if it is not known."""
        stored = self._stored_in_term(term)
        return stored.primary if stored is not None else None

    def absent_drained_members(self) -> list[EndpointInfo]:
        """Return the members that drained and that the register no longer lists."""
        return [
            member
            for member in self._seen.members
            if member.draining
            and member.id in self._absent_since
            and not self._is_removed(member)
        ]

    def require(self, position: LogPosition, *, term: int) -> None:
        """Have the next writes of the roster store what the next primary needs."""
        if term == self._seen.term:
            self._floor = max(self._floor, position)

    async def accept_restarts(
        self, new: dict[str, EndpointInfo], *, floor: LogPosition
    ) -> bool:
        """Store new processes of members, whose earlier ones had received `floor`."""
        self._restarts.accept(new.values())
        self.require(floor, term=self._seen.term)
        members = tuple(new.get(m.id, m) for m in self._seen.members)
        self._seen = msgspec.structs.replace(self._seen, members=members)
        return await self.write()

    def remove_member(
        self, member: EndpointInfo, *, received: LogPosition = NO_POSITION
    ) -> None:
        """Remove a drained member that has ended: its log no longer exists.

        `received` is the highest position that it was seen to have received.
        """
        self._departed.add(member.process_key)
        self._floor = max(self._floor, received)
        _log.info(
            "member_struck_off",
            entry=self._key,
            endpoint=member.id,
            received=str(received),
        )

    def _is_removed(self, member: EndpointInfo) -> bool:
        since = self._absent_since.get(member.id)
        absent = (
            since is not None and self._clock.monotonic() - since >= ABSENCE_LIMIT_S
        )
        # A registered endpoint runs, whatever was concluded about it before.
        key = member.process_key
        return absent or (key in self._departed and key not in self._registered)

    @property
    def needs_write(self) -> bool:
        """Whether the stored roster lacks something that this VM saw."""
        seen, stored = self._seen, self._stored_roster
        if not seen.term or (stored is not None and stored.term > seen.term):
            return False
        if stored is None:
            return True
        if not self._may_replace(stored):
            return False
        if stored.term < seen.term or stored.is_sealed:
            return True
        if self._stored_losses != self._history.losses:
            return True
        changed = {(m.process_key, m.draining) for m in stored.members} != {
            (m.process_key, m.draining) for m in seen.members
        }
        changed = changed or not set(seen.departed) <= set(stored.departed)
        changed = changed or self._floor > stored.floor
        changed = changed or self._highest_token > stored.highest_token
        changed = changed or stored.resuming != self._unanswered_resume(stored)
        changed = changed or seen.size > stored.size
        is_old = self.seal_age_s >= SEAL_LIMIT_S
        changed = changed or (bool(stored.outstanding) and is_old)
        return changed or (bool(seen.primary) and stored.primary != seen.primary)

    async def read(self) -> Roster | None:
        """Read the stored roster; None if the store is unavailable."""
        found = await self._read_revision()
        return None if found is None else found[0]

    async def _read_revision(
        self, *, timeout: float = CALL_TIMEOUT_S
    ) -> tuple[Roster, int] | None:
        sent_at = self._clock.monotonic()
        try:
            item = await self._store.get(self._key, timeout=timeout)
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning("roster_not_read", entry=self._key, reason=str(error))
            return None
        if item is None:
            if self._stored_roster is not None:
                self._set_stored(Roster(), sent_at=sent_at)
            return Roster(), 0
        try:
            roster = decode(_roster, item.value)
        except DecodingError as error:
            _log.error("roster_ignored", alarm=1, entry=self._key, reason=str(error))
            roster = Roster()
        self._set_stored(roster, sent_at=sent_at)
        self._record_departed(roster)
        return roster, item.revision

    def _set_stored(self, roster: Roster, *, sent_at: float) -> None:
        losses, previous = self._history.losses, self._stored_roster
        if previous is not None and losses != self._stored_losses:
            self._keep_lost(previous)
        self._stored_roster, self._stored_losses = roster, losses
        self._read_at = sent_at
        self._newest_stored_term = max(self._newest_stored_term, roster.term)
        self._highest_token = max(self._highest_token, roster.highest_token)
        self._note_seal(roster)
        if roster.resuming != self._resume_seen[0]:
            self._resume_seen = (roster.resuming, self._clock.monotonic())

    def _note_seal(self, roster: Roster) -> None:
        called = roster.next_primary or roster.outstanding
        seal = (roster.term, roster.seal_token, roster.seals, called)
        if not called:
            self._seal_seen = None
        elif self._seal_seen is None or self._seal_seen[0] != seal:
            self._seal_seen = (seal, self._clock.monotonic())

    @property
    def seal_age_s(self) -> float:
        """Seconds since this VM first saw the present seal; 0 without one.

        A roster that is not sealed counts too, if several calls led to its term.
        """
        if self._seal_seen is None:
            return 0.0
        return self._clock.monotonic() - self._seal_seen[1]

    def _may_replace(self, stored: Roster) -> bool:
        """Whether a sealed roster may be changed.

        Until its promotion can no longer take effect, only the roster of the next term
        with the announced primary replaces it. The roster of any other later term also
        needs the announced primary to have joined that term. One that a later roster
        had replaced was brought back by the store.
        """
        seen = self._seen
        if not stored.is_sealed or stored.term < self._newest_stored_term:
            return True
        if seen.term > stored.term and seen.primary == stored.next_primary:
            return True
        if self.seal_age_s < SEAL_LIMIT_S:
            return False
        has_joined = stored.next_primary in _by_id(seen)
        return (
            seen.term == stored.term or has_joined or self.seal_age_s >= ABSENCE_LIMIT_S
        )

    def _keep_lost(self, lost: Roster) -> None:
        """Take over what only the roster of an earlier era of the store tells."""
        if lost.has_call_out and self._seal_seen is not None:
            self._call_awaited_until = self._seal_seen[1] + CALL_LIMIT_S
        if self._unanswered_resume(lost):
            self._resume_awaited_until = self._resume_seen[1] + RESUME_LIMIT_S
        if lost.term > self._seen.term:
            self._departed.clear()
        if lost.term >= self._seen.term:
            self._departed |= set(lost.departed)
        self._seen = self._merged(lost)

    def _record_departed(self, stored: Roster) -> None:
        """Remove the members of this term that other VMs found to have ended."""
        if stored.term != self._seen.term:
            return
        self._departed |= set(stored.departed)
        self._seen = msgspec.structs.replace(
            self._seen,
            members=tuple(m for m in self._seen.members if not self._is_removed(m)),
            departed=self._departed_members,
        )

    async def write(self) -> bool:
        """Store what this VM saw, unless it is there; return whether it is stored."""
        found = await self._read_revision()
        if found is None:
            return False
        stored, revision = found
        if not self._may_replace(stored):
            return False
        merged = self._merged(stored)
        if merged == stored:
            return True
        if not await self._put(merged, [Compare(self._key, revision)]):
            return False
        _log.info(
            "roster_written",
            entry=self._key,
            term=merged.term,
            primary=merged.primary,
            members=[member.id for member in merged.members],
        )
        return True

    def next_token(self, term: int) -> int:
        """Return the fencing token for a promotion that replaces the primary of `term`.

        It is higher than all that this VM knows, and one that the store has lost.
        """
        token = compose_token(
            era=self._history.era, next_term=term + 1, wall_s=self._clock.wall()
        )
        return max(token, self._highest_token + 1)

    async def seal(
        self,
        *,
        term: int,
        next_primary: str,
        next_members: Iterable[EndpointInfo],
        next_floor: LogPosition,
        paused: Collection[str],
        claim: Compare,
        token: int,
        earlier_calls: int = 0,
    ) -> bool | None:
        """Announce a promotion in the stored roster; return whether that is stored.

        False if a member other than the primary isn't in `paused`, if the claim or the
        roster changed meanwhile, or if `token`, from `next_token`, is not the highest
        one. A token from `repeatable_token` was announced for `earlier_calls` before.
        None if the store's answers were lost.
        """
        announced = Roster(
            next_primary=next_primary,
            next_members=tuple(sorted(next_members, key=attrgetter("id"))),
            next_floor=next_floor,
            seal_token=token,
            seal_holder=self._vm,
            seals=earlier_calls + 1,
        )
        sealed: bool | None = False
        for _ in range(SEAL_ATTEMPTS):
            found = await self._read_revision(timeout=SEAL_TIMEOUT_S)
            if found is not None:
                sealed = await self._seal_stored(
                    announced, *found, term=term, paused=paused, claim=claim
                )
                if sealed is not None:
                    break
        _log.info(
            "roster_sealed",
            entry=self._key,
            term=term,
            next_primary=next_primary,
            next_members=[member.id for member in announced.next_members],
            token=token,
            stored=sealed,
        )
        return sealed

    async def _seal_stored(
        self,
        announced: Roster,
        stored: Roster,
        revision: int,
        *,
        term: int,
        paused: Collection[str],
        claim: Compare,
    ) -> bool | None:
        is_own = self._is_own_seal(stored, announced.seal_token)
        if is_own and stored.seals >= announced.seals:
            return True  # An earlier attempt, whose answer was lost.
        current = self._stored_in_term(term)
        if current is None and stored.term:
            _log.warning(
                "roster_not_sealed", entry=self._key, term=term, stored_term=stored.term
            )
            return False  # The roster of this term has to be stored first.
        if current is None:
            current = Roster(term=term)
        if self.has_unanswered_resume:
            _log.warning("roster_not_sealed", entry=self._key, resuming=stored.resuming)
            return False
        missing = self._unpaused_members(current, paused)
        lowest = stored.highest_token + (0 if is_own else 1)
        is_highest = lowest <= announced.seal_token <= MAX_NUMBER
        if missing or stored.term > term or not is_highest:
            _log.warning(
                "roster_not_sealed",
                entry=self._key,
                term=term,
                stored_term=stored.term,
                missing=missing,
                highest_token=stored.highest_token,
            )
            return False
        is_repeated = current.next_primary == announced.next_primary
        # Calls that were awaited for the limit don't count as on their way any more.
        is_lost = self.seal_age_s >= CALL_LIMIT_S
        answered = current.seals if is_lost else current.answered
        is_old = self.seal_age_s >= SEAL_LIMIT_S
        sealed = msgspec.structs.replace(
            current,
            next_primary=announced.next_primary,
            next_members=announced.next_members,
            next_floor=announced.next_floor,
            seal_token=announced.seal_token,
            seal_holder=announced.seal_holder,
            floor=self.floor(current, term=term),
            seals=current.seals + 1 if is_repeated else 1,
            answered=answered if is_repeated else 0,
            outstanding="" if is_old else current.outstanding,
            repeat_unanswered=current.repeat_unanswered and not is_lost,
            fence=announced.seal_token,
            resuming="",
        )
        return await self._put(
            sealed, [claim, Compare(self._key, revision)], timeout=SEAL_TIMEOUT_S
        )

    def _is_own_seal(self, stored: Roster, token: int) -> bool:
        return (stored.seal_token, stored.seal_holder) == (token, self._vm)

    def _unpaused_members(self, roster: Roster, paused: Collection[str]) -> list[str]:
        return [
            member.id
            for member in roster.members
            if member.id not in (*paused, roster.primary)
            and not self._is_removed(member)
        ]

    def sealed_choice(self, term: int) -> str:
        """Return the endpoint whose promotion in a term is announced, or empty."""
        stored = self._stored_roster
        if stored is None or stored.term != term:
            return ""
        return stored.next_primary

    def outstanding_choice(self, term: int) -> str:
        """Return the endpoint that a call of an earlier term may promote, or empty."""
        stored = self._stored_in_term(term)
        return stored.outstanding if stored is not None else ""

    def repeatable_token(self, term: int, chosen: str) -> tuple[int, int]:
        """Return the token of this VM's own unanswered call, and its number of seals.

        A call that is repeated under its token can't arrive after a higher one of this
        VM. Zeros if the stored roster announces no such call for `chosen`.
        """
        stored = self._stored_roster
        if stored is None or (stored.term, stored.next_primary) != (term, chosen):
            return 0, 0
        return (stored.seal_token, stored.seals) if self._may_repeat(stored) else (0, 0)

    def _may_repeat(self, stored: Roster) -> bool:
        """Whether a sealed roster announces a call that this VM may repeat.

        Not for long: another VM may have called since, and one whose calls have no
        effect must not keep the others waiting.
        """
        return (
            stored.seal_holder == self._vm
            and stored.seal_token == self._unanswered_token == self._highest_token
            and self._calls < MAX_CALLS
            and self.seal_age_s < CALL_LIMIT_S
        )

    def must_await_call(self, term: int) -> bool:
        """Whether a call that this VM can't repeat may be on its way to the platform.

        It could arrive after a call of this VM, with a lower token.
        """
        if self._clock.monotonic() < self._call_awaited_until:
            return True
        stored = self._stored_in_term(term)
        if stored is None:
            return False
        # After one without an answer, the other VMs try first.
        is_own = stored.seal_holder == self._vm
        if self.seal_age_s >= (SEAL_LIMIT_S if is_own else CALL_LIMIT_S):
            return False
        may_repeat = stored.is_sealed and self._may_repeat(stored)
        return stored.has_call_out and not may_repeat

    @property
    def has_unanswered_resume(self) -> bool:
        """Whether a RESUME may still arrive and end a pause."""
        if self._clock.monotonic() < self._resume_awaited_until:
            return True
        stored = self._stored_roster
        return stored is not None and bool(self._unanswered_resume(stored))

    def _unanswered_resume(self, stored: Roster) -> str:
        """Return the id of the RESUME commands that may still arrive, or empty."""
        resuming, since = self._resume_seen
        is_old = self._clock.monotonic() - since >= RESUME_LIMIT_S
        is_over = stored.resuming == self._ended_resume or (
            stored.resuming == resuming and is_old
        )
        return "" if is_over else stored.resuming

    async def begin_resume(
        self, *, term: int, primary: str | None, claim: Compare
    ) -> str:
        """Announce RESUME commands in a term; return their id for `end_resume`.

        Empty if that isn't stored: the claim is lost, the roster is sealed, an earlier
        RESUME may still arrive, or the store doesn't answer.
        """
        resuming = token_hex(RESUME_ID_BYTES)
        for _ in range(SEAL_ATTEMPTS):
            found = await self._read_revision()
            if found is None:
                continue
            stored, revision = found
            if stored.resuming == resuming:
                return resuming  # An earlier attempt, whose answer was lost.
            # The seal of the term before has served, if that term's primary leads.
            current = self._stored_in_term(term, primary)
            current = stored if current is None else current
            if current.is_sealed or self.has_unanswered_resume:
                break
            known = {"resuming": resuming, "floor": self.floor(current, term=term)}
            announced = msgspec.structs.replace(current, **known)
            if await self._put(announced, [claim, Compare(self._key, revision)]):
                return resuming
        self._ended_resume = resuming  # It may be stored, but nothing is sent.
        _log.warning("resume_not_announced", entry=self._key)
        return ""

    async def end_resume(self, resuming: str) -> None:
        """Record that all RESUME commands of this id were answered or not sent."""
        self._ended_resume = resuming
        for _ in range(SEAL_ATTEMPTS):
            found = await self._read_revision()
            if found is None:
                continue
            stored, revision = found
            if stored.resuming != resuming:
                return
            ended = msgspec.structs.replace(stored, resuming="")
            if await self._put(ended, [Compare(self._key, revision)]):
                return

    def note_call(self, *, token: int, is_answered: bool) -> None:
        """Note whether the platform answered this VM's call under a token."""
        if is_answered:
            self._unanswered_token = self._calls = 0
        else:
            self._calls = self._calls + 1 if token == self._unanswered_token else 1
            self._unanswered_token = token

    async def record_answer(self, *, token: int) -> None:
        """Store that the platform answered a call under this token."""
        found = await self._read_revision()
        if found is None or not self._is_own_seal(found[0], token):
            return
        stored, revision = found
        answered = min(stored.answered + 1, stored.seals)
        roster = msgspec.structs.replace(stored, answered=answered)
        await self._put(roster, [Compare(self._key, revision)])

    async def unseal(self, *, token: int) -> bool:
        """Remove the seal of a promotion that is not requested or was refused.

        Returns whether the store has no seal of this token.
        """
        found = await self._read_revision()
        if found is None:
            return False
        stored, revision = found
        if not self._is_own_seal(stored, token):
            return not stored.is_sealed
        return bool(await self._put(stored.opened(), [Compare(self._key, revision)]))

    async def _put(
        self,
        roster: Roster,
        compares: Sequence[Compare],
        *,
        timeout: float = CALL_TIMEOUT_S,
    ) -> bool | None:
        """Store a roster; return whether it is stored, None if the answer was lost."""
        put = Put(self._key, msgspec.json.encode(roster))
        sent_at = self._clock.monotonic()
        try:
            result = await self._store.compare_and_put(compares, [put], timeout=timeout)
        except (StoreUnavailable, StoreRefused, LeaseExpired) as error:
            _log.warning("roster_not_written", entry=self._key, reason=str(error))
            return None
        if result.succeeded:
            self._set_stored(roster, sent_at=sent_at)
        return result.succeeded

    def _merged(self, stored: Roster) -> Roster:
        """Return the stored roster with what this VM saw, without a seal.

        A stored roster of a later term is returned as it is.
        """
        seen = self._seen
        if stored.term > seen.term:
            return stored
        size = max(seen.size, stored.size)
        if stored.is_sealed and stored.next_primary == seen.primary:
            announced = stored.successor()
            stored = announced if announced.term == seen.term else stored
        if stored.term < seen.term:
            called = stored.next_primary or stored.outstanding
            has_call_out = stored.has_call_out and self.seal_age_s < SEAL_LIMIT_S
            return msgspec.structs.replace(
                seen,
                size=size,
                floor=max(self._floor, self._first_received),
                outstanding=called if has_call_out else "",
                repeat_unanswered=has_call_out,
                fence=self._highest_token,
                resuming=self._unanswered_resume(stored),
            )
        if stored.outstanding and self.seal_age_s >= SEAL_LIMIT_S:
            stored = msgspec.structs.replace(
                stored, outstanding="", repeat_unanswered=False
            )
        members = self._restarts.merge(stored, seen)
        remaining = {name: m for name, m in members.items() if not self._is_removed(m)}
        return Roster(
            seen.term,
            seen.primary or stored.primary,
            tuple(remaining[name] for name in sorted(remaining)),
            self._departed_members,
            size,
            max(self._floor, LogPosition(*stored.floor)),
            outstanding=stored.outstanding,
            repeat_unanswered=stored.repeat_unanswered,
            fence=self._highest_token,
            resuming=self._unanswered_resume(stored),
        )

    def needs_primary_position(
        self, term: int, registered: Mapping[str, EndpointInfo]
    ) -> bool:
        """Whether a new term or a restarted member is to be recorded next."""
        return term > self._seen.term or bool(
            restarted_members(_by_id(self._seen), registered)
        )

    def endpoints_to_pause(
        self, stored: Roster, *, term: int, registered: dict[str, EndpointInfo]
    ) -> dict[str, EndpointInfo]:
        """Return the endpoints to pause before the primary of `term` is replaced.

        The primary itself is not included, because every acknowledged commit is also at
        a replica.
        """
        effective = self._stored_in_term(term) or stored
        merged = self._merged(effective)
        needed = dict(registered)
        if merged.term == term:
            needed = _by_id(merged) | needed
            needed.pop(merged.primary, None)
        if effective.term == term and self.seal_age_s < ABSENCE_LIMIT_S:
            # Its promotion may have taken effect for some VMs.
            announced = {member.id: member for member in effective.next_members}
            if effective.next_primary in announced:
                info = announced[effective.next_primary]
                needed.setdefault(info.id, info)
        return needed

    def floor(self, stored: Roster, *, term: int) -> LogPosition:
        """Return the position up to which members of `term` that left had received."""
        effective = self._stored_in_term(term) or stored
        known = LogPosition(*effective.floor) if effective.term == term else NO_POSITION
        return max(known, self._floor if self._seen.term == term else NO_POSITION)


def _by_id(roster: Roster) -> dict[str, EndpointInfo]:
    return {member.id: member for member in roster.members}
