"""When a commit may be acknowledged.

Stands for `Committer.confirm`, `GroupMonitor.observe`, `observe_platform`,
`confirm`, `_derive_proof`, `_term_current_at`, `_update_majority_received` and
`Committer._committed`. One proxy commits one write W at whatever endpoint takes it,
and observes endpoints before and after. An observation counts from the moment its
query was sent; here it is either older than the commit's answer or not (`fresh`).

A3 is modelled with the term of the last entry first. By position alone, as the design
page words it, the property `survives` is refuted: see the last variants.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol, put


class Seen(NamedTuple):
    """What the proxy last saw of an endpoint."""

    term: int
    primary: bool
    received: int
    fresh: bool


class State(NamedTuple):
    """`commit` is W's (term, position), `believed` the same as the proxy has it."""

    group: g.Group = g.Group()
    seen: tuple[Seen | None, ...] = (None, None, None)
    record_fresh: int = 0
    commit: tuple[int, int] | None = None
    at: int = 0
    late: bool = False
    believed: tuple[int, int] | None = None
    acknowledged: bool = False


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    platform: g.PlatformRules = g.PlatformRules()
    replicated: bool = True
    majority: bool = True
    fresh_only: bool = True
    all_in_single: bool = True
    same_term: bool = True
    track_late: bool = False
    early: bool = False
    """Whether observations before the commit are modelled; they never help."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for label, after in g.steps(state.group, rules.platform):
        yield label, state._replace(group=after)
    if state.acknowledged:
        return
    if state.commit is None:
        yield from _commit(state, rules)
    elif state.believed is None:
        yield from _answer(state, rules)
    if state.believed is not None or (rules.early and state.commit is None):
        yield from _observe(state, rules)
    if state.believed is not None and _confirmed(state, rules):
        # What was seen plays no part afterwards.
        yield "acknowledged", state._replace(acknowledged=True, seen=(), record_fresh=0)


def _commit(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    group = state.group
    for e in g.ENDPOINTS:
        if group.is_primary(e) and len(group.logs[e]) < rules.platform.max_log_length:
            after = group.append(e)
            yield (
                f"W commits at e{e} in term {group.terms[e]}",
                state._replace(
                    group=after,
                    commit=(group.terms[e], len(after.logs[e])),
                    at=e,
                    late=rules.track_late and group.newest_term > group.terms[e],
                ),
            )


def _answer(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """The status in the commit's pipeline; a rewind would have broken it."""
    group, e = state.group, state.at
    if not group.is_primary(e) or not group.has_entry(e, state.commit):
        return
    if group.terms[e] != state.commit[0] and rules.same_term:
        return
    yield (
        f"the answer says term {group.terms[e]}",
        state._replace(believed=(group.terms[e], len(group.logs[e])), at=0),
    )


def _observe(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Let an endpoint answer a status query.

    An answer that could only delay the acknowledgement is left out: every state it
    leads to is also reached without it.
    """
    group, fresh = state.group, state.believed is not None
    term, position = state.believed or (1, 1)
    for e in g.ENDPOINTS:
        if not group.joined[e] and rules.platform.joined_only:
            continue
        if group.terms[e] != term:
            continue
        received = position if len(group.logs[e]) >= position else 0
        if rules.replicated and not received:
            continue
        seen = Seen(term, group.is_primary(e), received, fresh)
        if seen != state.seen[e]:
            word = "after" if fresh else "before"
            yield (
                f"e{e} answers a query sent {word} the commit: term {term}, "
                f"received {len(group.logs[e])}",
                state._replace(seen=put(state.seen, e, seen)),
            )
    if (
        rules.platform.mode == "single"
        and fresh
        and state.record_fresh < group.record_term
    ):
        yield (
            f"the record is read: term {group.record_term}",
            state._replace(record_fresh=group.record_term),
        )


def _confirmed(state: State, rules: Variant) -> bool:
    term, position = state.believed
    seen = [s for s in state.seen if s is not None]
    leaders = [s for s in seen if s.primary]
    leader = max(leaders, key=lambda s: s.term, default=None)
    if leader is None or leader.term != term:
        return False
    if rules.fresh_only and not leader.fresh:
        return False
    same = [s for s in seen if s.term == term]
    held = sum(1 for s in same if s.fresh or not rules.fresh_only)
    single = rules.platform.mode == "single" and rules.all_in_single
    needed = (len(g.ENDPOINTS) if single else g.MAJORITY) if rules.majority else 1
    if held < needed and state.record_fresh != term:
        return False
    received = sum(1 for s in same if s.received >= position)
    return not rules.replicated or received >= g.MAJORITY


def _survives(d: dict) -> bool:
    group, commit = d["group"], d["commit"]
    return not d["acknowledged"] or all(
        group.has_entry(e, commit)
        for e in g.ENDPOINTS
        if group.is_primary(e) and group.terms[e] > d["believed"][0]
    )


def _model(rules: Variant):
    return protocol(
        "acknowledgement",
        State(),
        lambda state: _steps(state, rules),
        not_replaced=lambda d: not (d["acknowledged"] and d["late"]),
        survives=_survives,
    )


_ONE = g.PlatformRules(max_term=2, max_log_length=1)
_SINGLE = g.PlatformRules(mode="single", max_term=2, max_log_length=1)
_TWO = g.PlatformRules(max_term=3, max_log_length=1)
_LONG = g.PlatformRules(max_term=3, max_log_length=2)
_VARIANTS: tuple[tuple[str, Variant, str, bool], ...] = (
    (
        "not_replaced",
        Variant(_ONE, replicated=False, track_late=True, early=True),
        "",
        False,
    ),
    (
        "not_replaced",
        Variant(_SINGLE, replicated=False, track_late=True, early=True),
        "",
        False,
    ),
    ("survives", Variant(_LONG), "", False),
    ("survives", Variant(_ONE, early=True), "", False),
    (
        "not_replaced",
        Variant(_ONE, replicated=False, majority=False, track_late=True),
        "a majority (the primary's own word is enough)",
        True,
    ),
    (
        "not_replaced",
        Variant(_ONE, replicated=False, fresh_only=False, track_late=True, early=True),
        "observations sent after the commit",
        True,
    ),
    (
        "not_replaced",
        Variant(_SINGLE, replicated=False, all_in_single=False, track_late=True),
        "all endpoints or the record in single mode",
        True,
    ),
    ("survives", Variant(_ONE, replicated=False), "the replicated check", True),
    (
        "survives",
        Variant(_ONE._replace(order=None)),
        "A3 (any endpoint of the majority is promoted)",
        True,
    ),
    (
        "survives",
        Variant(_TWO._replace(order=g.position_only)),
        "the term of the last entry in A3 (by position alone)",
        True,
    ),
    (
        "survives",
        Variant(_TWO._replace(joined_only=False)),
        "joining before answering (A5: an endpoint answers before its rewind)",
        True,
    ),
    (
        "survives",
        Variant(g.PlatformRules(max_term=4, max_log_length=1), same_term=False),
        "the commit's own term (a later term in the commit's answer is taken)",
        True,
    ),
)
CHECKS = [
    Check("acknowledgement", prop, _model(rules), omitted_rule, expect_refuted)
    for prop, rules, omitted_rule, expect_refuted in _VARIANTS
]
