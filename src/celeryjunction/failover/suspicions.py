"""Suspicions of a failed primary, shared between the VMs through the store.

A VM that is cut off from a primary must not replace it while others reach it. Each VM
that suspects the primary of a term writes so, with the highest position that it saw
acknowledged, and withdraws this when the primary answers again.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    KeyValueStore,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.replication.ports import LogPosition
from celeryjunction.store_history import StoreHistory

SUSPICION_PREFIX = "suspects/"
CALL_TIMEOUT_S = 0.5

UNKNOWN_PRIMARY = "-"
"""Primary in a suspicion of a VM that knows none."""

_log = get_logger("failover")


class Suspicion(msgspec.Struct, frozen=True):
    """A VM's record that it considers the primary of a term failed."""

    vm: str
    term: int
    primary: str
    acknowledged: tuple[int, int]


class Suspicions:
    """Writes this VM's suspicions and reads those of all VMs.

    `lease` returns the lease of this VM's announcement, or 0. A suspicion ends with it,
    so that one of a VM that ended does not count later, and is stored again under the
    next lease. `history` tells when the store came back from an older copy, which may
    contain suspicions that were withdrawn.
    """

    __slots__ = (
        "_history",
        "_lease",
        "_published",
        "_reachable",
        "_store",
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
        self._published: dict[str, tuple[Suspicion, int]] = {}
        """The stored suspicion of each group, and its lease."""
        self._withdrawn: dict[str, int] = {}
        """Era of the store in which each group's suspicion was deleted."""
        self._reachable = True

    async def publish(
        self, group: str, *, term: int, primary: str, acknowledged: LogPosition
    ) -> bool:
        """Store that this VM suspects a primary; return whether it is stored."""
        suspicion = Suspicion(self._vm, term, primary, tuple(acknowledged))
        lease = self._lease()
        last, last_lease = self._published.get(group, (None, 0))
        if (
            last is not None
            and (last.term, last.primary) == (term, primary)
            and last_lease == lease
        ):
            return True
        put = Put(self._key(group), msgspec.json.encode(suspicion))
        if not await self._put(put, lease=lease):
            return False
        self._published[group] = (suspicion, lease)
        return True

    async def withdraw(self, group: str) -> None:
        """Delete this VM's suspicion from the store, if it may be there."""
        era = self._history.era
        if group not in self._published and self._withdrawn.get(group, era) == era:
            return
        if await self._put(Put(self._key(group), None)):
            self._published.pop(group, None)
            self._withdrawn[group] = era

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

    async def list_against(
        self, group: str, *, term: int, primary: str
    ) -> list[Suspicion] | None:
        """Return all VMs' suspicions of a primary; None if the store is unavailable.

        A VM that knows no primary of the term agrees with one that suspects it.
        """
        prefix = f"{SUSPICION_PREFIX}{group}/"
        try:
            listed = await self._store.list(prefix, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            self._set_reachable(False, str(error))
            return None
        found = []
        for item in listed.items:
            try:
                suspicion = msgspec.json.decode(item.value, type=Suspicion)
            except msgspec.DecodeError as error:
                _log.warning("suspicion_ignored", entry=item.key, reason=str(error))
                continue
            same_primary = suspicion.primary == primary or UNKNOWN_PRIMARY in (
                suspicion.primary,
                primary,
            )
            if suspicion.term == term and same_primary:
                found.append(suspicion)
        return found
