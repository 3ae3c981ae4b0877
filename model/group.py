"""A database group of three endpoints under the assumptions A1 to A5.

A log is a tuple of the terms in which its entries were written, so that position and
term together identify an entry. A promotion goes in steps: endpoints record the new
term one by one, and once a majority has, one of them becomes its primary. An endpoint
that has recorded a term answers nothing until its log is a part of the history of that
term's primary (`joined`); A4 and A5 mean this, though they do not say it. In mode
"single" the record of the platform comes first and the endpoint follows alone (A2).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import put

ENDPOINTS = (0, 1, 2)
MAJORITY = 2


class Group(NamedTuple):
    """Per endpoint: recorded term, joined, log; per term: its primary."""

    terms: tuple[int, ...] = (1, 1, 1)
    joined: tuple[bool, ...] = (True, True, True)
    logs: tuple[tuple[int, ...], ...] = ((), (), ())
    primaries: tuple[int, ...] = (0,)
    record: int = 1
    """Term in the platform's record."""

    @property
    def newest(self) -> int:
        """The newest term that took effect."""
        return len(self.primaries)

    def is_primary(self, e: int) -> bool:
        """Whether the endpoint takes itself for the primary of its term."""
        term = self.terms[e]
        return self.joined[e] and term <= self.newest and self.primaries[term - 1] == e

    def has(self, e: int, entry: tuple[int, int]) -> bool:
        """Whether the endpoint's log has the entry (term, position)."""
        term, position = entry
        log = self.logs[e]
        return len(log) >= position and log[position - 1] == term

    def append(self, e: int) -> Group:
        """Write an entry at a primary."""
        return self._replace(logs=put(self.logs, e, (*self.logs[e], self.terms[e])))


def last_term_first(log: tuple[int, ...]) -> object:
    """Order of logs for a promotion: term of the last entry, then position."""
    return (log[-1] if log else 0, len(log))


def position_only(log: tuple[int, ...]) -> object:
    """Order of logs by the highest received position, whatever its history."""
    return len(log)


class Rules(NamedTuple):
    """How the platform promotes: `order` of logs (None: any member may be picked)."""

    mode: str = "majority"
    terms: int = 3
    length: int = 2
    order: Callable[[tuple[int, ...]], object] | None = last_term_first
    joined_only: bool = True


def steps(group: Group, rules: Rules) -> Iterator[tuple[str, Group]]:
    """Yield what the group may do by itself."""
    for e in ENDPOINTS:
        if group.is_primary(e) and len(group.logs[e]) < rules.length:
            yield f"e{e} writes in term {group.terms[e]}", group.append(e)
        yield from _follow(group, e, rules)
    if rules.mode == "single":
        yield from _promote_single(group, rules)
    else:
        yield from _promote_majority(group, rules)


def _follow(group: Group, e: int, rules: Rules) -> Iterator[tuple[str, Group]]:
    term, log = group.terms[e], group.logs[e]
    if term <= group.newest and group.joined[e]:
        leader = group.logs[group.primaries[term - 1]]
        if group.terms[group.primaries[term - 1]] == term and len(log) < len(leader):
            received = put(group.logs, e, leader[: len(log) + 1])
            yield f"e{e} receives", group._replace(logs=received)
    elif term <= group.newest and group.terms[group.primaries[term - 1]] == term:
        leader = group.logs[group.primaries[term - 1]]
        yield f"e{e} joins term {term}", _join(group, e, leader)
    if term < group.newest:
        recorded = group._replace(
            terms=put(group.terms, e, group.newest), joined=put(group.joined, e, False)
        )
        yield f"e{e} records term {group.newest}", recorded


def _join(group: Group, e: int, leader: tuple[int, ...]) -> Group:
    log = group.logs[e]
    kept = 0
    while kept < min(len(log), len(leader)) and log[kept] == leader[kept]:
        kept += 1
    return group._replace(
        logs=put(group.logs, e, log[:kept]), joined=put(group.joined, e, True)
    )


def _promote_majority(group: Group, rules: Rules) -> Iterator[tuple[str, Group]]:
    term = group.newest + 1
    if term > rules.terms:
        return
    for e in ENDPOINTS:
        if group.terms[e] < term:
            recorded = group._replace(
                terms=put(group.terms, e, term), joined=put(group.joined, e, False)
            )
            yield f"e{e} records term {term}", recorded
    members = [e for e in ENDPOINTS if group.terms[e] == term]
    if len(members) < MAJORITY:
        return
    order = rules.order
    best = max(order(group.logs[e]) for e in members) if order else None
    for e in members:
        if order is None or order(group.logs[e]) == best:
            yield f"e{e} becomes primary of term {term}", _take_over(group, e)


def _promote_single(group: Group, rules: Rules) -> Iterator[tuple[str, Group]]:
    term = group.newest + 1
    if group.record < term <= rules.terms:
        yield f"the record says term {term}", group._replace(record=term)
    if group.record == term:
        for e in ENDPOINTS:
            yield (
                f"e{e} becomes primary of term {term}",
                _take_over(group._replace(terms=put(group.terms, e, term)), e),
            )


def _take_over(group: Group, e: int) -> Group:
    return group._replace(
        primaries=(*group.primaries, e), joined=put(group.joined, e, True)
    )
