"""Which proxy is the home of a database: rendezvous hashing over the live proxies.

Every proxy computes the same order from the same list of VMs, with no messages. When a
VM leaves, only the databases whose home it was move, wherever it stood in the list.
Jump consistent hash can only shorten or lengthen the list at its end: with 33,000
databases, removing the middle one of 5 VMs moved 55% of them (rendezvous: 20%, those
of the VM), and the middle one of 2,300 moved 50% (rendezvous: 0.06%).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from hashlib import blake2b
from heapq import nlargest
from itertools import islice
from math import log
from typing import NamedTuple

KEPT = 4
"""Homes kept per database: the home and those that stand in for it."""
MAX_CHANGES = 64


def _score(database: str, vm: str) -> bytes:
    # Names hold no NUL, so no two pairs give the same text. Equal digests of two VMs
    # are told apart by the VM's name.
    return blake2b(f"{vm}\0{database}".encode(), digest_size=8).digest()


def rank_homes(database: str, vms: Iterable[str]) -> list[str]:
    """Return all VMs in the order in which they are the database's home."""
    return sorted(vms, key=lambda vm: (_score(database, vm), vm), reverse=True)


def rank_weighted(database: str, weights: Mapping[str, float]) -> list[str]:
    """Return all VMs, ordered so that each is first in proportion to its weight.

    Weighted rendezvous hashing: with -w / ln(u), u evenly spread in (0, 1).
    """

    def score(vm: str) -> tuple[float, str]:
        u = (int.from_bytes(_score(database, vm)) + 1) / (2**64 + 2)
        return -weights[vm] / log(u), vm

    return sorted(weights, key=score, reverse=True)


class _Change(NamedTuple):
    """A change of the VM list; `stayed` counts the VMs that were and are in it."""

    gone: frozenset[str]
    new: frozenset[str]
    stayed: int


class HomeTable:
    """The first homes of each database that was asked for.

    Ranking one database over 2,300 VMs takes more than a millisecond, so a change of
    the VM list does not rank again. It is applied to a database's kept homes when the
    database is asked for next: VMs that left are taken out, and new ones compared
    with those kept. A database is ranked again only when fewer than two homes are
    left, or after more than `MAX_CHANGES` changes.
    """

    __slots__ = ("_changes", "_kept", "_version", "_vms")

    def __init__(self) -> None:
        self._vms: frozenset[str] = frozenset()
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._version = 0
        self._kept: dict[str, tuple[int, list[tuple[bytes, str]]]] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vms", len(self._vms)
        yield "databases", len(self._kept)

    @property
    def vms(self) -> frozenset[str]:
        """The VMs that databases are spread over."""
        return self._vms

    def update(self, vms: Iterable[str]) -> None:
        """Take over a new list of VMs."""
        old, self._vms = self._vms, frozenset(vms)
        if old != self._vms:
            gone, new = old - self._vms, self._vms - old
            self._changes.append(_Change(gone, new, len(old) - len(gone)))
            self._version += 1

    def homes(self, database: str) -> list[str]:
        """Return the database's first homes, at most `KEPT`; empty without VMs."""
        version, kept = self._kept.get(database, (-1, []))
        if version != self._version:
            kept = self._bring_up_to_date(database, version, kept)
            self._kept[database] = (self._version, kept)
        return [vm for _, vm in kept]

    def _bring_up_to_date(
        self, database: str, version: int, kept: list[tuple[bytes, str]]
    ) -> list[tuple[bytes, str]]:
        missed = self._version - version
        if version < 0 or missed > len(self._changes):
            return self._rank(database)
        for change in islice(self._changes, len(self._changes) - missed, None):
            remaining = [entry for entry in kept if entry[1] not in change.gone]
            if len(remaining) < min(2, change.stayed):
                return self._rank(database)
            # Behind the last kept home stand VMs that are not kept, unless all are.
            # So the list may grow only if it held all of them.
            limit = KEPT if len(remaining) == change.stayed else len(remaining)
            added = [(_score(database, vm), vm) for vm in change.new]
            kept = nlargest(limit, remaining + added)
        return kept

    def _rank(self, database: str) -> list[tuple[bytes, str]]:
        return nlargest(KEPT, ((_score(database, vm), vm) for vm in self._vms))
