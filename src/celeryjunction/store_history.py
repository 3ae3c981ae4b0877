"""Revisions and leases of a store that may come back from an older copy.

A store that lost what it acknowledged last gives out the same revisions and lease
numbers again, for other changes and other VMs. It tells its era, which rises with each
such loss. `StoreHistory` puts the era into the upper bits of revisions and leases: they
never repeat, a later era's revision is always the higher one, and a lease of an earlier
era is never taken for another VM's.

    history = StoreHistory(on_restored=end_watches)
    history.observe(2)
    revision = history.qualify(24)
    era_of(revision), local_number(revision)  # 2, 24
"""

from __future__ import annotations

from collections.abc import Callable

from celeryjunction.logs import get_logger
from celeryjunction.ports import StoreUnavailable

FIRST_ERA = 1
"""Era of a store that has lost nothing; its numbers are passed on unchanged."""
_ERA_BITS = 40
_LOCAL_MASK = (1 << _ERA_BITS) - 1

_log = get_logger("store")


def era_of(number: int) -> int:
    """Return the era of a qualified revision or lease."""
    return (number >> _ERA_BITS) + FIRST_ERA


def local_number(number: int) -> int:
    """Return the revision or lease as the store knows it in its era."""
    return number & _LOCAL_MASK


class StoreHistory:
    """The store's era, from its responses; `on_restored` is called when it rises."""

    __slots__ = ("_era", "_on_restored")

    def __init__(self, *, on_restored: Callable[[], None]) -> None:
        self._era = FIRST_ERA
        self._on_restored = on_restored

    @property
    def era(self) -> int:
        """Highest era that a response named."""
        return self._era

    def observe(self, era: int) -> None:
        """Note the era of a response; raises `StoreUnavailable` if it is over."""
        if era < self._era:
            raise StoreUnavailable(f"a late response of era {era}")
        if era > self._era:
            _log.warning("store_era_changed", era=era, before=self._era)
            self._era = era
            self._on_restored()

    def qualify(self, number: int) -> int:
        """Return a revision or lease of the present era, unique across eras.

        0 stands for no revision or no lease and stays 0.
        """
        return number and ((self._era - FIRST_ERA) << _ERA_BITS) + number

    def is_current(self, number: int) -> bool:
        """Whether a revision or lease, if there is one, is of the present era."""
        return not number or era_of(number) == self._era

    def check_unchanged(self, era: int) -> None:
        """Raise `StoreUnavailable` if the store was restored since `era`."""
        if era != self._era:
            raise StoreUnavailable("the store was restored during the call")
