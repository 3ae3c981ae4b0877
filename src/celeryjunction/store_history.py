"""Revisions and leases of a store that may come back from an older copy.

A store that lost what it acknowledged last gives out the same revisions and lease
numbers again, for other changes and other VMs. It tells its era, which rises with each
such loss. `StoreHistory` adds the era above the bits of revisions and leases: they
never repeat, a later era's revision is always the higher one, and a lease of an earlier
era is never taken for another VM's.

    history = StoreHistory()
    history.subscribe(end_watches)
    history.observe(2)
    revision = history.qualify_revision(24)
    history.is_current_revision(revision), local_revision(revision)  # True, 24
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

from msgspec import Meta

from celeryjunction.decoding import parse_number
from celeryjunction.logs import get_logger
from celeryjunction.ports import StoreUnavailable

FIRST_ERA = 1
"""Era of a store that has lost nothing; its numbers are passed on unchanged."""
_REVISION_BITS = 40
_LEASE_BITS = 64
"""Lease numbers are not counted up from 0 and may be of any size below this."""
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_LEASE = (1 << _LEASE_BITS) - 1
MAX_ERA = 1 << 23
"""Highest era with which a revision keeps to 63 bits."""
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]
"""A revision in an answer of the store; 0 if there is none."""
Lease = Annotated[int, Meta(ge=1)]
"""A lease in an answer of the store; `qualify_lease` checks its size."""

_log = get_logger("store")


def local_revision(revision: int) -> int:
    """Return a revision as the store knows it in its era."""
    return revision & MAX_REVISION


def local_lease(lease: int) -> int:
    """Return a lease as the store knows it in its era."""
    return lease & MAX_LEASE


class StoreHistory:
    """The store's era, from its responses."""

    __slots__ = ("_era", "_is_named", "_listeners")

    def __init__(self) -> None:
        self._era = FIRST_ERA
        self._is_named = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> int:
        """Highest era that a response named."""
        return self._era

    def subscribe(self, on_restored: Callable[[], None]) -> None:
        """Call `on_restored` whenever the store came back from an older copy."""
        self._listeners.append(on_restored)

    def observe_text(self, text: str) -> None:
        """Note the era that a response names, if it does; see `observe`."""
        era = parse_number(text, limit=MAX_ERA)
        if era is not None:
            self.observe(era)

    def observe(self, era: int) -> None:
        """Note the era of a response; raises `StoreUnavailable` if it is over.

        Eras below the first one are taken for it.
        """
        if not self._is_named:
            self._is_named = True
            _log.info("store_era_known", era=era)
        era = max(era, FIRST_ERA)
        if era < self._era:
            raise StoreUnavailable(f"a late response of era {era}")
        if era > self._era:
            _log.warning("store_era_changed", era=era, before=self._era)
            self._era = era
            for listener in self._listeners:
                listener()

    def qualify_revision(self, revision: int) -> int:
        """Return a revision of the present era, unique across eras; 0 stays 0."""
        return revision and (self._losses << _REVISION_BITS) + revision

    def qualify_lease(self, lease: int) -> int:
        """Return a lease of the present era, unique across eras; 0 stays 0.

        Raises `StoreUnavailable` for a lease beyond 64 bits.
        """
        if lease > MAX_LEASE:
            raise StoreUnavailable("unreadable answer: a lease beyond 64 bits")
        return lease and (self._losses << _LEASE_BITS) + lease

    def is_current_revision(self, revision: int) -> bool:
        """Whether a revision, if there is one, is of the present era."""
        return not revision or revision >> _REVISION_BITS == self._losses

    def is_current_lease(self, lease: int) -> bool:
        """Whether a lease, if there is one, is of the present era."""
        return not lease or lease >> _LEASE_BITS == self._losses

    @property
    def _losses(self) -> int:
        return self._era - FIRST_ERA

    def check_unchanged(self, era: int) -> None:
        """Raise `StoreUnavailable` if the store was restored since `era`."""
        if era != self._era:
            raise StoreUnavailable("the store was restored during the call")
