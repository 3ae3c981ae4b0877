"""Assignment of databases to home proxies, by rendezvous hashing over the live proxies.

Every proxy computes the same order from the same list of VMs, without messages. When a
VM leaves, only the databases that had it as their home move, whatever its place in the
list. Jump consistent hash only supports adding and removing VMs at the end of the list:
with 33,000 databases, removing the middle one of 5 VMs moved 55% of them (rendezvous:
20%, those of the VM), and the middle one of 2,300 moved 50% (rendezvous: 0.06%).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from heapq import nlargest
from itertools import islice
from math import log
from typing import NamedTuple

HOMES_PER_DATABASE = 4
"""Homes cached per database: the home and its replacements in order."""
MAX_CHANGES = 64
"""Stored changes of the VM list; a database that missed more is ranked again."""


def _score(database: str, vm: str) -> bytes:
    # Names contain no NUL, so no two pairs give the same text. Callers break ties
    # between equal digests by the VM's name.
    return blake2b(f"{vm}\0{database}".encode(), digest_size=8).digest()


def rank_homes(database: str, vms: Iterable[str]) -> list[str]:
    """Return all VMs, ordered by preference as the database's home."""
    return sorted(vms, key=lambda vm: (_score(database, vm), vm), reverse=True)


def rank_weighted(database: str, weights: Mapping[str, float]) -> list[str]:
    """Return all VMs, ordered so that each is first in proportion to its weight.

    Weighted rendezvous hashing: the score is -w / ln(u), with u uniform in (0, 1).
    """

    def score(vm: str) -> tuple[float, str]:
        u = (int.from_bytes(_score(database, vm)) + 1) / (2**64 + 2)
        return -weights[vm] / log(u), vm

    return sorted(weights, key=score, reverse=True)


class _Change(NamedTuple):
    """A change of the VM list; `retained` counts the VMs that stayed in it."""

    removed: frozenset[str]
    added: frozenset[str]
    retained: int


class HomeTable:
    """Cache of the first homes of each database that was looked up.

    Ranking one database over 2,300 VMs takes more than a millisecond, so a change of
    the VM list does not trigger a new ranking. At the next lookup of a database the
    change is applied to its cached homes: removed VMs are taken out, and added ones
    compared with the cached ones. A database is ranked again only when fewer than two
    homes remain, or after more than `MAX_CHANGES` changes.
    """

    __slots__ = ("_cache", "_changes", "_version", "_vms")

    def __init__(self) -> None:
        self._vms: frozenset[str] = frozenset()
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._version = 0
        self._cache: dict[str, tuple[int, list[tuple[bytes, str]]]] = {}
        """Version of the VM list and scored homes, by database."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vms", len(self._vms)
        yield "databases", len(self._cache)

    @property
    def vms(self) -> frozenset[str]:
        """The VMs among which databases are distributed."""
        return self._vms

    def update(self, vms: Iterable[str]) -> None:
        """Replace the list of VMs."""
        old, self._vms = self._vms, frozenset(vms)
        if old != self._vms:
            removed, added = old - self._vms, self._vms - old
            self._changes.append(_Change(removed, added, len(old) - len(removed)))
            self._version += 1

    def homes(self, database: str) -> list[str]:
        """Return the database's homes in order, at most `HOMES_PER_DATABASE`.

        The list is empty without VMs.
        """
        version, homes = self._cache.get(database, (-1, []))
        if version != self._version:
            homes = self._apply_changes(database, version, homes)
            self._cache[database] = (self._version, homes)
        return [vm for _, vm in homes]

    def _apply_changes(
        self, database: str, version: int, homes: list[tuple[bytes, str]]
    ) -> list[tuple[bytes, str]]:
        missed = self._version - version
        if version < 0 or missed > len(self._changes):
            return self._rank(database)
        for change in islice(self._changes, len(self._changes) - missed, None):
            remaining = [entry for entry in homes if entry[1] not in change.removed]
            if len(remaining) < min(2, change.retained):
                return self._rank(database)
            # VMs that are not cached rank behind the last cached home. The list may
            # therefore grow only if it contained all retained VMs.
            limit = (
                HOMES_PER_DATABASE
                if len(remaining) == change.retained
                else len(remaining)
            )
            added = [(_score(database, vm), vm) for vm in change.added]
            homes = nlargest(limit, remaining + added)
        return homes

    def _rank(self, database: str) -> list[tuple[bytes, str]]:
        return nlargest(
            HOMES_PER_DATABASE, ((_score(database, vm), vm) for vm in self._vms)
        )
