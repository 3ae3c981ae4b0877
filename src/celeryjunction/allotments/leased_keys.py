"""Writes the keys of this VM's shares, all under one lease of its own.

The time of the lease counts from before it was requested or last renewed.
"""

from __future__ import annotations

import msgspec

from celeryjunction.allotments.share_rules import (
    LEASE_S,
    RENEWAL_S,
    USE_S,
    ShareEntry,
    share_key,
    trace_key,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    Compare,
    KeyValue,
    KeyValueStore,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.store_history import StoreHistory

CALL_TIMEOUT_S = 0.5
"""Time-out of a call."""

_log = get_logger("allotments")


class LeasedKeys:
    """Keys of shares in the store. All calls raise `StoreUnavailable`."""

    __slots__ = ("_clock", "_history", "_lease", "_renew_at", "_store", "_valid_until")

    def __init__(
        self, store: KeyValueStore, *, history: StoreHistory, clock: Clock
    ) -> None:
        self._store = store
        self._history = history
        self._clock = clock
        self._lease = 0
        self._valid_until = 0.0
        self._renew_at = 0.0

    @property
    def has_lease(self) -> bool:
        """Whether a lease was granted and is not known to have ended."""
        return bool(self._lease)

    @property
    def valid_until(self) -> float:
        """Until when the keys under the lease may be relied on, seconds."""
        return self._valid_until

    @property
    def is_renewal_due(self) -> bool:
        """Whether the lease is to be renewed now."""
        return bool(self._lease) and self._clock.monotonic() >= self._renew_at

    def forget_lease(self) -> None:
        """Request a new lease for the next write: the present one has ended."""
        self._lease = 0

    async def renew(self) -> bool:
        """Renew the lease; return False if it was forgotten meanwhile.

        Raises `LeaseExpired` if it has expired.
        """
        lease, sent_at = self._lease, self._clock.monotonic()
        renewed = await self._store.renew_lease(lease, timeout=CALL_TIMEOUT_S)
        if lease != self._lease:
            return False
        if not renewed:
            raise LeaseExpired("the lease of the shares has expired")
        self._record_lease(lease, sent_at)
        return True

    async def read(self, share: int) -> KeyValue | None:
        """Read a share's key."""
        return await self._store.get(share_key(share), timeout=CALL_TIMEOUT_S)

    async def write(self, share: int, entry: ShareEntry, *, revision: int) -> int:
        """Write a share's key if its last change has a revision, 0 for no key.

        Returns the new revision, or 0 if there was another change. Raises
        `StoreUnavailable` also if the store lost changes meanwhile.
        """
        await self._ensure_lease()
        losses, key = self._history.losses, share_key(share)
        result = await self._store.compare_and_put(
            [Compare(key, revision)],
            [Put(key, msgspec.json.encode(entry))],
            lease=self._lease,
            timeout=CALL_TIMEOUT_S,
        )
        self._history.check_no_loss_since(losses)
        return result.revision if result.succeeded else 0

    async def write_trace(self, share: int, entry: ShareEntry) -> None:
        """Write a share's trace, without a lease."""
        put = Put(trace_key(share), msgspec.json.encode(entry))
        await self._store.compare_and_put([], [put], timeout=CALL_TIMEOUT_S)

    async def revoke(self) -> None:
        """End the lease, which deletes all keys; otherwise it lapses."""
        lease, self._lease = self._lease, 0
        if not lease:
            return
        try:
            await self._store.revoke_lease(lease, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            _log.info("lease_left_to_lapse", lease=lease, reason=str(error))

    async def _ensure_lease(self) -> None:
        if not self._lease:
            sent_at, losses = self._clock.monotonic(), self._history.losses
            lease = await self._store.grant_lease(LEASE_S, timeout=CALL_TIMEOUT_S)
            self._history.check_no_loss_since(losses)
            self._record_lease(lease, sent_at)

    def _record_lease(self, lease: int, sent_at: float) -> None:
        self._lease = lease
        self._valid_until = sent_at + USE_S
        self._renew_at = sent_at + RENEWAL_S
