"""A database group of three endpoints under the assumptions A1 to A5.

A log is a tuple of the terms in which its entries were written, so that term and
position identify an entry. A promotion takes several steps: endpoints record the new
term one by one, and once a majority has recorded it, one of them becomes its primary.
An endpoint that has recorded a term answers nothing until its log is a prefix of the
log of that term's primary (`joined`); A4 and A5 imply this without saying so. In mode
"single" the platform's record names the new term first, and then one endpoint becomes
its primary alone (A2).
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
    record_term: int = 1
    """Term in the platform's record."""

    @property
    def newest_term(self) -> int:
        """The newest term that has a primary."""
        return len(self.primaries)

    def is_primary(self, e: int) -> bool:
        """Whether the endpoint acts as the primary of its recorded term."""
        term = self.terms[e]
        return (
            self.joined[e]
            and term <= self.newest_term
            and self.primaries[term - 1] == e
        )

    def has_entry(self, e: int, entry: tuple[int, int]) -> bool:
        """Whether the endpoint's log contains the entry, given as (term, position)."""
        term, position = entry
        log = self.logs[e]
        return len(log) >= position and log[position - 1] == term

    def append(self, e: int) -> Group:
        """Return the group after the primary `e` has written an entry."""
        return self._replace(logs=put(self.logs, e, (*self.logs[e], self.terms[e])))


def last_term_first(log: tuple[int, ...]) -> object:
    """Sort key of logs for a promotion: term of the last entry, then position."""
    return (log[-1] if log else 0, len(log))


def position_only(log: tuple[int, ...]) -> object:
    """Sort key of logs for a promotion: the position alone, whatever the terms."""
    return len(log)


class PlatformRules(NamedTuple):
    """How the platform promotes, and the limits of the state space.

    `order` is the sort key of the log that a new primary must have (None: any endpoint
    of the majority may become primary). With `joined_only` false, endpoints answer
    before they have joined.
    """

    mode: str = "majority"
    max_term: int = 3
    max_log_length: int = 2
    order: Callable[[tuple[int, ...]], object] | None = last_term_first
    joined_only: bool = True


def steps(group: Group, rules: PlatformRules) -> Iterator[tuple[str, Group]]:
    """Yield the steps that the group may take without the proxy."""
    for e in ENDPOINTS:
        if group.is_primary(e) and len(group.logs[e]) < rules.max_log_length:
            yield f"e{e} writes in term {group.terms[e]}", group.append(e)
        yield from _replicate(group, e, rules)
    if rules.mode == "single":
        yield from _promote_single(group, rules)
    else:
        yield from _promote_majority(group, rules)


def _replicate(
    group: Group, e: int, rules: PlatformRules
) -> Iterator[tuple[str, Group]]:
    term, log = group.terms[e], group.logs[e]
    if term <= group.newest_term and group.joined[e]:
        source = group.logs[group.primaries[term - 1]]
        if group.terms[group.primaries[term - 1]] == term and len(log) < len(source):
            received = put(group.logs, e, source[: len(log) + 1])
            yield f"e{e} receives", group._replace(logs=received)
    elif term <= group.newest_term and group.terms[group.primaries[term - 1]] == term:
        source = group.logs[group.primaries[term - 1]]
        yield f"e{e} joins term {term}", _join(group, e, source)
    if term < group.newest_term:
        recorded = group._replace(
            terms=put(group.terms, e, group.newest_term),
            joined=put(group.joined, e, False),
        )
        yield f"e{e} records term {group.newest_term}", recorded


def _join(group: Group, e: int, source: tuple[int, ...]) -> Group:
    log = group.logs[e]
    common = 0
    while common < min(len(log), len(source)) and log[common] == source[common]:
        common += 1
    return group._replace(
        logs=put(group.logs, e, log[:common]), joined=put(group.joined, e, True)
    )


def _promote_majority(
    group: Group, rules: PlatformRules
) -> Iterator[tuple[str, Group]]:
    term = group.newest_term + 1
    if term > rules.max_term:
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
    highest = max(order(group.logs[e]) for e in members) if order else None
    for e in members:
        if order is None or order(group.logs[e]) == highest:
            yield f"e{e} becomes primary of term {term}", _become_primary(group, e)


def _promote_single(group: Group, rules: PlatformRules) -> Iterator[tuple[str, Group]]:
    term = group.newest_term + 1
    if group.record_term < term <= rules.max_term:
        yield f"the record says term {term}", group._replace(record_term=term)
    if group.record_term == term:
        for e in ENDPOINTS:
            yield (
                f"e{e} becomes primary of term {term}",
                _become_primary(group._replace(terms=put(group.terms, e, term)), e),
            )


def _become_primary(group: Group, e: int) -> Group:
    return group._replace(
        primaries=(*group.primaries, e), joined=put(group.joined, e, True)
    )
