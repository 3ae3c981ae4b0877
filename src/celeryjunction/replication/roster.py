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
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

import msgspec

from celeryjunction.decoding import Count, DecodingError, Name, decode
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
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.store_history import StoreHistory

ROSTER_PREFIX = "groups/"
ABSENCE_LIMIT_S = 60.0
"""An absent member is removed after this. Longer than the partitions in which it may
still receive; until then, a failover that needs the member waits."""
CALL_TIMEOUT_S = 0.5

_log = get_logger("replication")


class Roster(msgspec.Struct, frozen=True):
    """Members of a group's term, the primary included, as stored."""

    term: Count = 0
    primary: Name = ""
    members: tuple[EndpointInfo, ...] = ()
    departed: tuple[tuple[Name, Count], ...] = ()
    """Members of this term that ended: id and start time of the process, in ms."""
    size: Count = 0
    """Largest number of endpoints that were registered and not draining."""


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
        "_clock",
        "_departed",
        "_history",
        "_key",
        "_registered",
        "_seen",
        "_store",
        "_stored_era",
        "_stored_roster",
    )

    def __init__(
        self,
        group: str,
        store: KeyValueStore,
        *,
        clock: Clock,
        history: StoreHistory | None = None,
    ) -> None:
        self._key = ROSTER_PREFIX + group
        self._store = store
        self._clock = clock
        self._history = history or StoreHistory()
        self._stored_roster: Roster | None = None
        self._stored_era = self._history.era
        """Era of the store in which the stored roster was read or written."""
        self._seen = Roster()
        self._departed: set[tuple[str, int]] = set()
        self._registered: set[tuple[str, int]] = set()
        self._absent_since: dict[str, float] = {}

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
    ) -> None:
        """Record the members that report a term in their status.

        `registered` are the entries that the register has now.
        """
        self._registered = {info.process_key for info in registered.values()}
        self._record_absent(registered)
        if term > self._seen.term:
            self._departed.clear()
        merged = {} if term > self._seen.term else _by_id(self._seen)
        stored = self._stored_roster
        if stored is not None and stored.term == term:
            merged = _by_id(stored) | merged
        merged |= members
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
        self._seen = msgspec.structs.replace(
            self._seen,
            members=tuple(registered.get(m.id, m) for m in self._seen.members),
        )

    def replicas_in_term(self, term: int) -> list[str] | None:
        """Return the replicas that may hold acknowledged commits of a term.

        None until this VM has read a stored roster of that term with a primary.
        """
        stored = self._stored_roster
        if stored is None or stored.term != term or not stored.primary:
            return None
        members = _by_id(self._merged(stored))
        members.pop(stored.primary, None)
        return list(members)

    def primary_in_term(self, term: int) -> str | None:
        """Return the stored primary of a term; None if it is not known."""
        stored = self._stored_roster
        return stored.primary if stored is not None and stored.term == term else None

    def absent_drained_members(self) -> list[EndpointInfo]:
        """Return the members that drained and that the register no longer lists."""
        return [
            member
            for member in self._seen.members
            if member.draining
            and member.id in self._absent_since
            and not self._is_removed(member)
        ]

    def remove_member(self, member: EndpointInfo) -> None:
        """Remove a drained member that has ended: its log no longer exists."""
        self._departed.add(member.process_key)
        _log.info("member_struck_off", entry=self._key, endpoint=member.id)

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
        if stored is None or stored.term < seen.term:
            return True
        if self._stored_era != self._history.era:
            return True
        changed = {(member.id, member.draining) for member in stored.members} != {
            (member.id, member.draining) for member in seen.members
        }
        changed = changed or not set(seen.departed) <= set(stored.departed)
        changed = changed or seen.size > stored.size
        return changed or (bool(seen.primary) and stored.primary != seen.primary)

    async def read(self) -> Roster | None:
        """Read the stored roster; None if the store is unavailable."""
        found = await self._read_revision()
        return None if found is None else found[0]

    async def _read_revision(self) -> tuple[Roster, int] | None:
        try:
            item = await self._store.get(self._key, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning("roster_not_read", entry=self._key, reason=str(error))
            return None
        if item is None:
            if self._stored_roster is not None:
                self._set_stored(Roster())
            return Roster(), 0
        try:
            roster = decode(_roster, item.value)
        except DecodingError as error:
            _log.error("roster_ignored", alarm=1, entry=self._key, reason=str(error))
            roster = Roster()
        self._set_stored(roster)
        self._record_departed(roster)
        return roster, item.revision

    def _set_stored(self, roster: Roster) -> None:
        era, previous = self._history.era, self._stored_roster
        if previous is not None and era != self._stored_era:
            self._keep_lost(previous)
        self._stored_roster, self._stored_era = roster, era

    def _keep_lost(self, lost: Roster) -> None:
        """Take over what only the roster of an earlier era of the store tells."""
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
        merged = self._merged(stored)
        if merged == stored:
            return True
        put = Put(self._key, msgspec.json.encode(merged))
        try:
            result = await self._store.compare_and_put(
                [Compare(self._key, revision)], [put], timeout=CALL_TIMEOUT_S
            )
        except (StoreUnavailable, StoreRefused, LeaseExpired) as error:
            _log.warning("roster_not_written", entry=self._key, reason=str(error))
            return False
        if result.succeeded:
            self._set_stored(merged)
            _log.info(
                "roster_written",
                entry=self._key,
                term=merged.term,
                primary=merged.primary,
                members=[member.id for member in merged.members],
            )
        return result.succeeded

    def _merged(self, stored: Roster) -> Roster:
        seen = self._seen
        if stored.term > seen.term:
            return stored
        size = max(seen.size, stored.size)
        if stored.term < seen.term:
            return msgspec.structs.replace(seen, size=size)
        members = _by_id(stored) | _by_id(seen)
        remaining = {name: m for name, m in members.items() if not self._is_removed(m)}
        return Roster(
            seen.term,
            seen.primary or stored.primary,
            tuple(remaining[name] for name in sorted(remaining)),
            self._departed_members,
            size,
        )

    def endpoints_to_pause(
        self, stored: Roster, *, term: int, registered: dict[str, EndpointInfo]
    ) -> dict[str, EndpointInfo]:
        """Return the endpoints to pause before the primary of `term` is replaced.

        The primary itself is not included, because every acknowledged commit is also at
        a replica.
        """
        merged = self._merged(stored)
        needed = dict(registered)
        if merged.term == term:
            needed = _by_id(merged) | needed
            needed.pop(merged.primary, None)
        return needed


def _by_id(roster: Roster) -> dict[str, EndpointInfo]:
    return {member.id: member for member in roster.members}
