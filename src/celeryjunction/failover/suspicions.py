"""Votes on whether a primary has failed, shared between the VMs through the store.

A VM that is cut off from a primary must not replace it while others reach it. Each VM
that suspects the primary of a term writes so, with the highest position that it saw
acknowledged, and withdraws this when the primary answers again. A VM that the primary
answers objects as soon as it sees the suspicion of another VM. So the silence of VMs
that cannot reach the store need not hold a failover up until their leases expire.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from celeryjunction.decoding import Count, DecodingError, Name, decode
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    KeyValueStore,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
    WatchEvent,
)
from celeryjunction.replication.ports import LogPosition
from celeryjunction.store_history import StoreHistory

SUSPICION_PREFIX = "suspects/"
CALL_TIMEOUT_S = 0.5

UNKNOWN_PRIMARY = "-"
"""Primary in a suspicion of a VM that knows none."""

_log = get_logger("failover")


def suspected_group(key: str) -> str:
    """Return the group that the vote at a key of the store is about."""
    return key.removeprefix(SUSPICION_PREFIX).partition("/")[0]


class Vote(msgspec.Struct, frozen=True, omit_defaults=True):
    """A VM's record of whether it considers the primary of a term failed."""

    vm: Name
    term: Count
    primary: Name
    acknowledged: tuple[Count, Count] | None = None
    """Highest position seen acknowledged; None in an objection."""

    @property
    def is_objection(self) -> bool:
        """Whether the primary answers the VM."""
        return self.acknowledged is None

    def is_about(self, *, term: int, primary: str) -> bool:
        """Whether the vote is on this primary.

        A VM that knows no primary of the term agrees with one that suspects it.
        """
        return self.term == term and (
            self.primary == primary or UNKNOWN_PRIMARY in (self.primary, primary)
        )


class Suspicions:
    """Writes this VM's votes and reads those of all VMs.

    `lease` returns the lease of this VM's announcement, or 0. A vote ends with it, so
    that one of a VM that ended does not count later, and is stored again under the
    next lease. `history` tells when the store came back from an older copy, which may
    contain votes that were withdrawn. `apply_change` takes the changes of all votes.
    """

    __slots__ = (
        "_history",
        "_lease",
        "_others",
        "_published",
        "_reachable",
        "_store",
        "_unexpected",
        "_vm",
        "_withdrawn",
    )

    def __init__(
        self,
        store: KeyValueStore,
        *,
        vm: str,
        lease: Callable[[], int] = lambda: 0,
        history: StoreHistory | None = None,
    ) -> None:
        self._lease = lease
        self._history = history or StoreHistory()
        self._store = store
        self._vm = vm
        self._published: dict[str, tuple[Vote, int, int]] = {}
        """The stored vote on each group, its lease, and how often the store had lost
        changes before."""
        self._withdrawn: dict[str, int] = {}
        """How often the store had lost changes when the vote on each group was
        deleted."""
        self._unexpected: set[str] = set()
        """Groups on which the store had another vote of this VM than `_published`, as
        a call was carried out late or its answer was lost."""
        self._others: dict[str, Vote] = {}
        """Suspicions of other VMs by key, as far as their changes were seen."""
        self._reachable = True

    async def publish(
        self, group: str, *, term: int, primary: str, acknowledged: LogPosition
    ) -> bool:
        """Store that this VM suspects a primary; return whether it is stored."""
        return await self._publish(
            group, Vote(self._vm, term, primary, tuple(acknowledged))
        )

    async def object(self, group: str, *, term: int, primary: str) -> bool:
        """Store that a primary answers this VM; return whether it is stored."""
        vote = Vote(self._vm, term, primary)
        is_new = not self._is_published(group, vote)
        stored = await self._publish(group, vote)
        if stored and is_new:
            _log.info("suspicion_opposed", group=group, primary=primary, term=term)
        return stored

    def _is_published(self, group: str, vote: Vote) -> bool:
        last, lease, losses = self._published.get(group, (None, 0, 0))
        return (
            last is not None
            and group not in self._unexpected
            and last.is_objection == vote.is_objection
            and (last.term, last.primary) == (vote.term, vote.primary)
            and (vote.is_objection or last.acknowledged >= vote.acknowledged)
            and (lease, losses) == (self._lease(), self._history.losses)
        )

    async def _publish(self, group: str, vote: Vote) -> bool:
        if self._is_published(group, vote):
            return True
        lease, losses = self._lease(), self._history.losses
        put = Put(self._key(group), msgspec.json.encode(vote))
        if not await self._put(put, lease=lease):
            return False
        self._published[group] = (vote, lease, losses)
        self._unexpected.discard(group)
        return True

    async def withdraw(self, group: str) -> None:
        """Delete this VM's vote from the store, if it may be there."""
        losses = self._history.losses
        is_deleted = self._withdrawn.get(group, losses) == losses
        if not (group in self._published or group in self._unexpected) and is_deleted:
            return
        if await self._put(Put(self._key(group), None)):
            self._published.pop(group, None)
            self._unexpected.discard(group)
            self._withdrawn[group] = losses

    def may_be_stored(self, group: str) -> bool:
        """Whether the store may have a suspicion of this VM."""
        vote, *_ = self._published.get(group, (None,))
        is_known = vote is not None and vote.is_objection
        return group in self._unexpected or not (vote is None or is_known)

    def _key(self, group: str) -> str:
        return f"{SUSPICION_PREFIX}{group}/{self._vm}"

    async def _put(self, put: Put, *, lease: int = 0) -> bool:
        try:
            await self._store.compare_and_put(
                [], [put], lease=lease, timeout=CALL_TIMEOUT_S
            )
        except (StoreUnavailable, StoreRefused, LeaseExpired) as error:
            self._set_reachable(False, str(error))
            return False
        self._set_reachable(True)
        return True

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
        """Log when suspicions can't be stored or read, and when they can again."""
        if reachable != self._reachable:
            self._reachable = reachable
            _log.warning("suspicions_shared", possible=reachable, reason=reason)

    def apply_change(self, event: WatchEvent) -> None:
        """Take over a change of a vote in the store."""
        vote = None if event.value is None else _decode(event.key, event.value)
        group = suspected_group(event.key)
        if event.key == self._key(group):
            self._check_own(group, vote)
        elif vote is None or vote.is_objection:
            self._others.pop(event.key, None)
        else:
            self._others[event.key] = vote

    def _check_own(self, group: str, stored: Vote | None) -> None:
        """Note whether the store has the vote that this VM takes for stored."""
        published, *_ = self._published.get(group, (None,))
        if stored == published:
            self._unexpected.discard(group)
        else:
            self._unexpected.add(group)

    def is_suspected_by_others(self, group: str, *, term: int, primary: str) -> bool:
        """Whether another VM is known to suspect a primary."""
        return any(
            suspected_group(key) == group and vote.is_about(term=term, primary=primary)
            for key, vote in self._others.items()
        )

    async def list_votes(
        self, group: str, *, term: int, primary: str
    ) -> list[Vote] | None:
        """Return all VMs' votes on a primary; None if the store is unavailable."""
        prefix = f"{SUSPICION_PREFIX}{group}/"
        try:
            listed = await self._store.list(prefix, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            self._set_reachable(False, str(error))
            return None
        votes = (_decode(item.key, item.value) for item in listed.items)
        return [
            vote
            for vote in votes
            if vote is not None and vote.is_about(term=term, primary=primary)
        ]


_vote = msgspec.json.Decoder(Vote)


def _decode(key: str, value: bytes) -> Vote | None:
    try:
        return decode(_vote, value)
    except DecodingError as error:
        _log.warning("vote_ignored", entry=key, reason=str(error))
        return None
