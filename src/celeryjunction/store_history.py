"""Revisions and leases of a store that may come back from an older copy.

A store that lost what it acknowledged last gives out the same revisions and lease
numbers again, for other changes and other VMs. It tells its era, which rises with each
such loss, from whatever number. `StoreHistory` adds the era above the bits of revisions
and leases: they never repeat, a later era's revision is always the higher one, and a
lease of an earlier era is never taken for another VM's.

    history = StoreHistory()
    history.subscribe(end_watches)
    history.observe(2)
    history.observe(3)  # calls end_watches
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

_REVISION_BITS = 40
_LEASE_BITS = 64
"""Lease numbers are not counted up from 0 and may be of any size below this."""
MAX_REVISION = (1 << _REVISION_BITS) - 1
MAX_LEASE = (1 << _LEASE_BITS) - 1
MAX_ERA = 1 << 23
"""Highest era with which a revision keeps to 63 bits."""
MAX_LOGGED_TEXT = 40
"""Characters of an unreadable era that are logged."""
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

    __slots__ = ("_era", "_ignored_text", "_listeners", "_losses")

    def __init__(self) -> None:
        self._era: int | None = None
        self._losses = 0
        self._ignored_text = ""
        self._listeners: list[Callable[[], None]] = []

    @property
    def era(self) -> int:
        """Highest era that a response named; 0 if none did."""
        return self._era or 0

    @property
    def is_restored(self) -> bool:
        """Whether the store came back from an older copy since the first response."""
        return self._losses > 0

    @property
    def losses(self) -> int:
        """How often this VM found that the store came back from an older copy.

        Unlike the era, it also counts what the store didn't tell, and other VMs may
        have another number.
        """
        return self._losses

    def subscribe(self, on_restored: Callable[[], None]) -> None:
        """Call `on_restored` whenever the store came back from an older copy."""
        self._listeners.append(on_restored)

    def observe_text(self, text: str) -> None:
        """Note the era that a response names, if it does; see `observe`."""
        era = parse_number(text, limit=MAX_ERA)
        if era is not None:
            self.observe(era)
        elif text and text != self._ignored_text:
            self._ignored_text = text
            _log.error("store_era_ignored", alarm=1, text=text[:MAX_LOGGED_TEXT])

    def observe(self, era: int) -> None:
        """Note the era of a response; raises `StoreUnavailable` if it is over."""
        if self._era is None:
            self._era = era
            _log.info("store_era_known", era=era)
        elif era < self._era:
            raise StoreUnavailable(f"a late response of era {era}")
        elif era > self._era:
            self._begin_era(era)

    def begin_next_era(self) -> None:
        """Note a loss of a store that names no era."""
        self._begin_era(self.era + 1)

    def note_loss(self, *, reason: str, **evidence: int) -> None:
        """Note evidence that the store came back from an older copy and doesn't tell.

        The era stays, because revisions with it are compared with other VMs'.
        """
        _log.warning("store_loss_noticed", reason=reason, **evidence)
        self._restored()

    def _begin_era(self, era: int) -> None:
        _log.warning("store_era_changed", era=era, before=self._era)
        self._era = era
        self._restored()

    def _restored(self) -> None:
        self._losses += 1
        for listener in self._listeners:
            listener()

    def qualify_revision(self, revision: int) -> int:
        """Return a revision of the present era, unique across eras; 0 stays 0."""
        return revision and (self.era << _REVISION_BITS) + revision

    def qualify_lease(self, lease: int) -> int:
        """Return a lease of the present era, unique across eras; 0 stays 0.

        Raises `StoreUnavailable` for a lease beyond 64 bits.
        """
        if lease > MAX_LEASE:
            raise StoreUnavailable("unreadable answer: a lease beyond 64 bits")
        return lease and (self.era << _LEASE_BITS) + lease

    def is_current_revision(self, revision: int) -> bool:
        """Whether a revision, if there is one, is of the present era."""
        return not revision or revision >> _REVISION_BITS == self.era

    def is_current_lease(self, lease: int) -> bool:
        """Whether a lease, if there is one, is of the present era."""
        return not lease or lease >> _LEASE_BITS == self.era

    def check_no_loss_since(self, losses: int) -> None:
        """Raise `StoreUnavailable` if the store was restored since `losses` counted."""
        if losses != self._losses:
            raise StoreUnavailable("the store was restored during the call")
