"""Claims, renews, confirms and gives up this VM's shares in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.allotments.leased_keys import LeasedKeys
from celeryjunction.allotments.share_rules import (
    SHARES,
    Decision,
    Knowledge,
    ShareEntry,
    candidates,
    decide,
    decode_entry,
    share_key,
    share_number,
    trace_key,
)
from celeryjunction.allotments.shares import HeldShare, HeldShares
from celeryjunction.follower import PrefixFollower
from celeryjunction.logs import get_logger
from celeryjunction.membership import VmRecord
from celeryjunction.ports import (
    Clock,
    KeyValue,
    KeyValueStore,
    LeaseExpired,
    StoreRefused,
    StoreUnavailable,
    WatchEvent,
)
from celeryjunction.store_history import StoreHistory

STEP_S = 0.25
"""Interval of the checks."""

_log = get_logger("allotments")


class ShareLeases:
    """Keeps `shares` in accordance with the store.

    `vms` returns the VMs that may hold shares, this one included; it is empty while
    they are not known. `is_wanted` returns whether there are limits to enforce.
    """

    def __init__(
        self,
        store: KeyValueStore,
        *,
        own: VmRecord,
        shares: HeldShares,
        follower: PrefixFollower,
        vms: Callable[[], Mapping[str, VmRecord]],
        is_wanted: Callable[[], bool],
        bound: Callable[[], QuotaBound],
        history: StoreHistory,
        clock: Clock,
    ) -> None:
        self._keys = LeasedKeys(store, history=history, clock=clock)
        self._own = own
        self._shares = shares
        self._follower = follower
        self._vms = vms
        self._is_wanted = is_wanted
        self._bound = bound
        self._history = history
        self._clock = clock
        self._revisions: dict[int, int] = {}
        """Revision of each held share's key, as this VM wrote it."""
        self._eras: dict[int, int] = {}
        """Era of the store in which this VM last wrote each held share's key."""
        self._unconfirmed: set[int] = set()
        """Held shares whose keys the store may have lost."""
        self._unsettled: set[int] = set()
        """Held shares whose keys still say that a forgotten holder may use them."""
        self._absent_since: dict[int, float] = {}
        self._contact_since: float | None = None
        self._lost_at: float | None = clock.monotonic() if history.losses else None
        self._failing = False
        history.subscribe(self._store_lost_changes)
        follower.subscribe(self._apply_change)

    async def run(self) -> None:
        """Keep shares until cancelled."""
        while True:
            try:
                await self._step()
                self._failing = False
            except LeaseExpired:
                self._keys.forget_lease()
                for share in list(self._shares):
                    if share.number not in self._unconfirmed:
                        self._lose(share.number, "lease_expired")
            except (StoreUnavailable, StoreRefused) as error:
                if not self._failing:
                    self._failing = True
                    _log.warning("share_call_failed", reason=str(error))
            await asyncio.sleep(STEP_S)

    async def give_up(self) -> None:
        """Stop using all shares and free them for other VMs."""
        held = [share.number for share in self._shares]
        for number in held:
            self._drop(number)
            _log.info("share_given_up", share=number)
        await self._keys.revoke()

    # Changes in the store

    def _store_lost_changes(self) -> None:
        """Confirm the held shares again; their use goes on until the lease ends.

        Other VMs that find the loss wait for the time that this VM may still use them.
        """
        self._lost_at = self._clock.monotonic()
        self._keys.forget_lease()
        self._unconfirmed.update(share.number for share in self._shares)

    def _apply_change(self, event: WatchEvent) -> None:
        number = share_number(event.key)
        if number is None:
            return
        if event.value is None:
            self._absent_since.setdefault(number, self._clock.monotonic())
        else:
            self._absent_since.pop(number, None)
        is_older = event.revision <= self._revisions.get(number, 0)
        if number not in self._shares or number in self._unconfirmed or is_older:
            return
        if not self._is_own(decode_entry(event.value)):
            self._lose(number, "taken_or_deleted")

    def _is_own(self, entry: ShareEntry | None) -> bool:
        return (
            entry is not None
            and entry.vm == self._own.name
            and entry.incarnation == self._own.incarnation
        )

    # Steps

    async def _step(self) -> None:
        now = self._clock.monotonic()
        for share in list(self._shares):
            if now >= share.valid_until:
                self._lose(share.number, "not_renewed")
        if not self._is_wanted():
            if self._keys.has_lease:
                await self.give_up()
            return
        if not self._follower.synced.is_set():
            return
        if self._contact_since is None:
            self._contact_since = now
        if self._keys.is_renewal_due:
            await self._renew()
        for number in range(SHARES):
            if number in self._unconfirmed:
                await self._confirm(number)
            elif number in self._shares:
                await self._settle(number)
            else:
                await self._consider(number)

    async def _renew(self) -> None:
        if await self._keys.renew():
            for share in self._shares:
                if share.number not in self._unconfirmed:
                    share.valid_until = self._keys.valid_until

    async def _consider(self, number: int) -> None:
        """Take a share if it is free and this VM's turn."""
        now = self._clock.monotonic()
        items = self._follower.items
        item, trace = items.get(share_key(number)), items.get(trace_key(number))
        entry = _decode(item)
        if item is not None and (entry is None or entry.vm != self._own.name):
            return  # Held, or written by another program.
        ranked = candidates(number, self._vms())
        if self._own.name not in ranked:
            return
        free_for_s = 0.0
        if item is None:
            free_for_s = now - self._absent_since.setdefault(number, now)
        decision = decide(
            entry,
            _decode(trace),
            own=self._entry(),
            known=self._known,
            free_for_s=free_for_s,
            position=ranked.index(self._own.name),
            now=now,
        )
        if decision is not Decision.LEAVE:
            revision = item.revision if item is not None else 0
            await self._take(number, revision, settled=decision is Decision.TAKE)

    async def _take(self, number: int, revision: int, *, settled: bool) -> None:
        known = self._known
        revision = await self._write(number, revision, settled=settled)
        if not revision:
            return
        now = self._clock.monotonic()
        free_from = now if settled else max(now, known.forgotten_until)
        self._shares.add(
            HeldShare(
                number,
                free_from=free_from,
                valid_until=self._keys.valid_until,
                bound=self._bound(),
            )
        )
        self._record_write(number, revision)
        if not settled:
            self._unsettled.add(number)
        _log.info(
            "share_taken",
            share=number,
            revision=revision,
            usable_in_s=round(free_from - now, 1),
        )

    async def _write(self, number: int, revision: int, *, settled: bool) -> int:
        entry = self._entry(settled=settled)
        return await self._keys.write(number, entry, revision=revision)

    async def _confirm(self, number: int) -> None:
        """Write a held share's key again, which the store may have lost.

        An entry of an era up to that of this VM's own is that of a holder before it.
        """
        item = await self._keys.read(number)
        entry = _decode(item)
        written_era, era = self._eras[number], self._history.era
        is_stale = entry is not None and entry.era <= written_era and entry.era != era
        if item is not None and not (is_stale or self._is_own(entry)):
            self._lose(number, "taken_after_loss")
            return
        revision = item.revision if item is not None else 0
        settled = number not in self._unsettled
        revision = await self._write(number, revision, settled=settled)
        share = self._shares.get(number)
        if revision and share is not None:
            self._unconfirmed.discard(number)
            self._record_write(number, revision)
            share.valid_until = self._keys.valid_until
            _log.info("share_confirmed", share=number, revision=revision)

    async def _settle(self, number: int) -> None:
        """Record that no forgotten holder can use the share any more."""
        share = self._shares.get(number)
        if share is None or self._clock.monotonic() < share.free_from:
            return
        if number in self._unsettled:
            revision = self._revisions[number]
            revision = await self._write(number, revision, settled=True)
            if not revision:
                return
            self._record_write(number, revision)
            self._unsettled.discard(number)
        trace = _decode(self._follower.items.get(trace_key(number)))
        if trace is None or not trace.settled or trace.era != self._history.era:
            await self._keys.write_trace(number, self._entry())

    # State

    def _record_write(self, number: int, revision: int) -> None:
        self._revisions[number] = revision
        self._eras[number] = self._history.era

    @property
    def _known(self) -> Knowledge:
        return Knowledge(self._history.era, self._contact_since or 0.0, self._lost_at)

    def _entry(self, *, settled: bool = True) -> ShareEntry:
        return ShareEntry(
            self._own.name, self._own.incarnation, self._history.era, settled
        )

    def _lose(self, number: int, reason: str) -> None:
        self._drop(number)
        _log.warning("share_lost", share=number, reason=reason)

    def _drop(self, number: int) -> None:
        """Stop using a share."""
        self._shares.remove(number)
        self._unconfirmed.discard(number)
        self._unsettled.discard(number)
        self._revisions.pop(number, None)


def _decode(item: KeyValue | None) -> ShareEntry | None:
    return decode_entry(item.value) if item is not None else None
