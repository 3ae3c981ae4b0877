"""Which replicas may hold acknowledged commits of a group's term, kept in the store.

An entry of the platform's register lapses when an endpoint is cut off from the store,
although it goes on receiving, and VMs forget what they saw when they restart. Before a
promotion every replica that took part in the term must be paused, so the members of a
term are written down as they are seen. A member is struck off when it drained and its
port was then found closed, or when it was absent for `FORGET_S`. That its entry lapsed
is not enough: it may be cut off together with the primary and go on receiving.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Compare,
    KeyValueStore,
    LeaseLapsed,
    Put,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.replication.ports import EndpointInfo

ROSTERS = "groups/"
FORGET_S = 60.0
"""An absent member is struck off after this. Longer than the partitions in which it may
still receive; until then a failover that needs it waits."""
CALL_TIMEOUT_S = 0.5

_log = get_logger("replication")


class Roster(msgspec.Struct, frozen=True):
    """Members of a group's term, the primary included, as the store keeps them."""

    term: int = 0
    primary: str = ""
    members: tuple[EndpointInfo, ...] = ()


class GroupRoster:
    """One group's roster: what this VM saw, merged with what the store keeps."""

    __slots__ = ("_absent", "_clock", "_key", "_known", "_left", "_seen", "_store")

    def __init__(self, group: str, store: KeyValueStore, *, clock: Clock) -> None:
        self._key = ROSTERS + group
        self._store = store
        self._clock = clock
        self._known: Roster | None = None
        self._seen = Roster()
        self._left: set[str] = set()
        self._absent: dict[str, float] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "term", self._seen.term
        yield "members", [member.id for member in self._seen.members]

    def note(
        self,
        *,
        term: int,
        primary: str | None,
        alive: dict[str, EndpointInfo],
        registered: dict[str, EndpointInfo],
    ) -> None:
        """Note which endpoints take part in a term, by their own word.

        `registered` are the entries of the register now.
        """
        self._note_absent(registered)
        members = {} if term > self._seen.term else _by_id(self._seen)
        known = self._known
        if known is not None and known.term == term:
            members = _by_id(known) | members
        members |= alive
        kept = {
            name: member for name, member in members.items() if not self._gone(name)
        }
        leader = primary or (self._seen.primary if term == self._seen.term else "")
        self._seen = Roster(term, leader, tuple(kept[name] for name in sorted(kept)))

    def _note_absent(self, registered: dict[str, EndpointInfo]) -> None:
        now = self._clock.monotonic()
        for member in self._seen.members:
            entry = registered.get(member.id)
            if entry is None:
                self._absent.setdefault(member.id, now)
            else:
                self._absent.pop(member.id, None)
                self._left.discard(member.id)
        self._seen = msgspec.structs.replace(
            self._seen,
            members=tuple(registered.get(m.id, m) for m in self._seen.members),
        )

    def replicas_in_term(self, term: int) -> list[str] | None:
        """Return the replicas that may hold acknowledged commits of a term.

        None while the store's roster of that term is not known.
        """
        known = self._known
        if known is None or known.term != term or not known.primary:
            return None
        members = _by_id(self._merged(known))
        members.pop(known.primary, None)
        return list(members)

    def absent_leavers(self) -> list[EndpointInfo]:
        """Return the members that drained and have no entry any more."""
        return [
            member
            for member in self._seen.members
            if member.draining and member.id in self._absent
        ]

    def strike_off(self, name: str) -> None:
        """Note that a member that drained has ended: its log is gone with it."""
        self._left.add(name)
        _log.info("member_struck_off", entry=self._key, endpoint=name)

    def _gone(self, name: str) -> bool:
        since = self._absent.get(name)
        absent = since is not None and self._clock.monotonic() - since >= FORGET_S
        return absent or name in self._left

    @property
    def outdated(self) -> bool:
        """Whether the store lacks something that this VM saw."""
        seen, known = self._seen, self._known
        if not seen.term or (known is not None and known.term > seen.term):
            return False
        if known is None or known.term < seen.term:
            return True
        changed = {(member.id, member.draining) for member in known.members} != {
            (member.id, member.draining) for member in seen.members
        }
        return changed or (bool(seen.primary) and known.primary != seen.primary)

    async def read(self) -> Roster | None:
        """Read the store's roster; None when the store is away."""
        kept = await self._read()
        return None if kept is None else kept[0]

    async def _read(self) -> tuple[Roster, int] | None:
        try:
            item = await self._store.get(self._key, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning("roster_not_read", entry=self._key, reason=str(error))
            return None
        if item is None:
            return Roster(), 0
        try:
            roster = msgspec.json.decode(item.value, type=Roster)
        except msgspec.DecodeError as error:
            _log.error("roster_ignored", alarm=1, entry=self._key, reason=str(error))
            roster = Roster()
        self._known = roster
        return roster, item.revision

    async def write(self) -> bool:
        """Put what this VM saw into the store, if it is still missing there."""
        kept = await self._read()
        if kept is None:
            return False
        stored, revision = kept
        merged = self._merged(stored)
        if merged == stored:
            return True
        put = Put(self._key, msgspec.json.encode(merged))
        try:
            result = await self._store.compare_and_put(
                [Compare(self._key, revision)], [put], timeout=CALL_TIMEOUT_S
            )
        except (StoreUnavailable, StoreRefused, LeaseLapsed) as error:
            _log.warning("roster_not_written", entry=self._key, reason=str(error))
            return False
        if result.succeeded:
            self._known = merged
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
        if stored.term < seen.term:
            return seen
        members = _by_id(stored) | _by_id(seen)
        kept = {name: m for name, m in members.items() if not self._gone(name)}
        return Roster(
            seen.term,
            seen.primary or stored.primary,
            tuple(kept[name] for name in sorted(kept)),
        )

    def to_pause(
        self, stored: Roster, *, term: int, registered: dict[str, EndpointInfo]
    ) -> dict[str, EndpointInfo]:
        """Return the endpoints to pause before the primary of `term` is replaced.

        The primary itself is not among them: every acknowledged commit is also at a
        replica.
        """
        merged = self._merged(stored)
        needed = dict(registered)
        if merged.term == term:
            needed = _by_id(merged) | needed
            needed.pop(merged.primary, None)
        return {name: info for name, info in needed.items() if not self._gone(name)}


def _by_id(roster: Roster) -> dict[str, EndpointInfo]:
    return {member.id: member for member in roster.members}
