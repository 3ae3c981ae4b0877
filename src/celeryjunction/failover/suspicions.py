"""Which VMs find a primary dead, told through the store.

A VM that is cut off from a primary must not replace it while the others reach it.
Each writes that it suspects the primary of a term, with the highest position that it
saw acknowledged, and takes that back when the primary answers again.
"""

from __future__ import annotations

import msgspec

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    KeyValueStore,
    LeaseLapsed,
    Put,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.replication.ports import LogPosition

SUSPICIONS = "suspects/"
CALL_TIMEOUT_S = 0.5

_log = get_logger("failover")


class Suspicion(msgspec.Struct, frozen=True):
    """A VM finds the primary of a term dead."""

    vm: str
    term: int
    primary: str
    acknowledged: tuple[int, int]


class Suspicions:
    """Writes this VM's suspicions and counts those of all VMs."""

    __slots__ = ("_reachable", "_store", "_vm", "_written")

    def __init__(self, store: KeyValueStore, *, vm: str) -> None:
        self._store = store
        self._vm = vm
        self._written: dict[str, Suspicion] = {}
        self._reachable = True

    async def tell(
        self, group: str, *, term: int, primary: str, acknowledged: LogPosition
    ) -> bool:
        """Write that this VM suspects a primary; return whether that was stored."""
        suspicion = Suspicion(self._vm, term, primary, tuple(acknowledged))
        known = self._written.get(group)
        if known is not None and (known.term, known.primary) == (term, primary):
            return True
        put = Put(f"{SUSPICIONS}{group}/{self._vm}", msgspec.json.encode(suspicion))
        if not await self._put(put):
            return False
        self._written[group] = suspicion
        return True

    async def withdraw(self, group: str) -> None:
        """Take this VM's suspicion back."""
        if group not in self._written:
            return
        if await self._put(Put(f"{SUSPICIONS}{group}/{self._vm}", None)):
            del self._written[group]

    async def _put(self, put: Put) -> bool:
        try:
            await self._store.compare_and_put([], [put], timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused, LeaseLapsed) as error:
            self._note_store(False, str(error))
            return False
        self._note_store(True)
        return True

    def _note_store(self, reachable: bool, reason: str = "") -> None:
        """Log when suspicions can't be stored or read, and when they can again."""
        if reachable != self._reachable:
            self._reachable = reachable
            _log.warning("suspicions_shared", possible=reachable, reason=reason)

    async def of_all(
        self, group: str, *, term: int, primary: str
    ) -> list[Suspicion] | None:
        """Return the suspicions against a primary; None when the store is away."""
        prefix = f"{SUSPICIONS}{group}/"
        try:
            listed = await self._store.list(prefix, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            self._note_store(False, str(error))
            return None
        found = []
        for item in listed.items:
            try:
                suspicion = msgspec.json.decode(item.value, type=Suspicion)
            except msgspec.DecodeError as error:
                _log.warning("suspicion_ignored", entry=item.key, reason=str(error))
                continue
            if (suspicion.term, suspicion.primary) == (term, primary):
                found.append(suspicion)
        return found
