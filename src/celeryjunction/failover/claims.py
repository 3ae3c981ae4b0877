"""The right to promote in a group: a leased key in the store.

The claim is checked at the store again right before it is used, so that a holder whose
key was removed notices. The lease time counts from before the lease was requested. A
claim is known by its value, which no other claim has: a store that came back from an
older copy gives revisions and leases out again, also to the claims of other VMs.
"""

from __future__ import annotations

import msgspec

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

CLAIM_PREFIX = "failover/"
LEASE_S = 5
"""A claim expires after this; a whole promotion takes about 1.5 s."""
LEASE_MARGIN_S = 1.0
"""A claim is not used in its last second: the call must arrive while it is valid."""
CALL_TIMEOUT_S = 0.5

_log = get_logger("failover")


class _Holder(msgspec.Struct, frozen=True):
    vm: str
    attempt: int


class Claim:
    """A VM's right to promote in one group, until `expires_at` (seconds)."""

    __slots__ = (
        "expires_at",
        "group",
        "lease",
        "requested_at",
        "revision",
        "value",
    )

    def __init__(
        self,
        *,
        group: str,
        value: bytes,
        lease: int,
        revision: int,
        requested_at: float,
    ) -> None:
        self.group = group
        self.value = value
        """The stored value, which no other claim has."""
        self.lease = lease
        self.revision = revision
        self.requested_at = requested_at
        """When the claim was requested; seconds."""
        self.expires_at = requested_at + LEASE_S - LEASE_MARGIN_S


class Claims:
    """Acquires, checks and releases claims in the store."""

    __slots__ = ("_attempts", "_clock", "_store", "_vm")

    def __init__(self, store: KeyValueStore, *, vm: str, clock: Clock) -> None:
        self._store = store
        self._vm = vm
        self._clock = clock
        self._attempts = 0

    async def acquire(self, group: str) -> Claim | None:
        """Return a claim; None if another VM holds it or the store is unavailable."""
        self._attempts += 1
        started = self._clock.monotonic()
        value = msgspec.json.encode(_Holder(self._vm, self._attempt_id(started)))
        try:
            lease = await self._store.grant_lease(LEASE_S, timeout=CALL_TIMEOUT_S)
            revision = await self._put(group, lease, value)
        except (StoreUnavailable, StoreRefused, LeaseExpired) as error:
            _log.warning("claim_failed", group=group, reason=str(error))
            return None
        if revision is None:
            await self._revoke(lease)
            return None
        _log.info("claim_taken", group=group, revision=revision, lease=lease)
        return Claim(
            group=group,
            value=value,
            lease=lease,
            revision=revision,
            requested_at=started,
        )

    def _attempt_id(self, started: float) -> int:
        # Unique for this VM, also across restarts: microseconds since boot, a counter.
        return int(started * 1e6) * 1000 + self._attempts % 1000

    async def _put(self, group: str, lease: int, value: bytes) -> int | None:
        key = CLAIM_PREFIX + group
        try:
            result = await self._store.compare_and_put(
                [Compare(key, 0)],
                [Put(key, value)],
                lease=lease,
                timeout=CALL_TIMEOUT_S,
            )
        except StoreUnavailable:
            # The put may have succeeded and only its answer been lost.
            current = await self._store.get(key, timeout=CALL_TIMEOUT_S)
            own = current is not None and current.value == value
            return current.revision if own else None
        return result.revision if result.succeeded else None

    async def is_valid(self, claim: Claim) -> bool:
        """Ask the store whether the claim is still held."""
        if not self.is_unexpired(claim):
            return False
        return await self._is_stored(claim) and self.is_unexpired(claim)

    def is_unexpired(self, claim: Claim) -> bool:
        """Whether the claim's lease still runs by this VM's clock."""
        return self._clock.monotonic() < claim.expires_at

    def condition(self, claim: Claim) -> Compare:
        """Return the condition that the claim is still held, for a transaction."""
        return Compare(CLAIM_PREFIX + claim.group, claim.revision)

    async def _is_stored(self, claim: Claim) -> bool:
        """Whether the store answers and still has the claim."""
        try:
            key = CLAIM_PREFIX + claim.group
            current = await self._store.get(key, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning("claim_not_checked", group=claim.group, reason=str(error))
            return False
        return (
            current is not None
            and current.revision == claim.revision
            and current.value == claim.value
        )

    async def release(self, claim: Claim) -> None:
        """Delete the claim, so that other VMs need not wait for its lease to expire.

        The lease is left to lapse: its number may be that of another VM's lease now.
        """
        key = CLAIM_PREFIX + claim.group
        try:
            current = await self._store.get(key, timeout=CALL_TIMEOUT_S)
            if current is not None and current.value == claim.value:
                await self._store.compare_and_put(
                    [Compare(key, current.revision)],
                    [Put(key, None)],
                    timeout=CALL_TIMEOUT_S,
                )
        except (StoreUnavailable, StoreRefused) as error:
            _log.info("claim_left_to_lapse", group=claim.group, reason=str(error))

    async def _revoke(self, lease: int) -> None:
        try:
            await self._store.revoke_lease(lease, timeout=CALL_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            _log.info("lease_left_to_lapse", lease=lease, reason=str(error))
