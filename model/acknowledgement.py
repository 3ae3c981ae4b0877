"""When a commit may be acknowledged.

Stands for `Committer.confirm`, `GroupMonitor.observe`, `observe_platform`,
`confirm`, `_derive_proof`, `_term_current_at`, `_update_majority_received` and
`Committer._committed`. One proxy commits one write W at any endpoint that accepts it,
and observes the endpoints before and after the commit. An observation is valid from
the moment its query was sent: either before the commit's answer or after it (`fresh`).

`not_replaced`: no newer term had a primary when an acknowledged W was committed.
`survives`: the primary of every later term has an acknowledged W.

A3 is modelled with logs ordered by the term of the last entry, then by position. With
the order by position alone, as the design page describes A3, `survives` is refuted; see
the variant with `position_only`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol, put


class Observation(NamedTuple):
    """The newest status of an endpoint that the proxy has received."""

    term: int
    primary: bool
    received: int
    fresh: bool


class State(NamedTuple):
    """`commit` is W's (term, position), `believed` the same as the proxy knows it."""

    group: g.Group = g.Group()
    observations: tuple[Observation | None, ...] = (None, None, None)
    observed_record_term: int = 0
    """Term of the platform's record as read after the commit, or 0."""
    commit: tuple[int, int] | None = None
    committed_at: int = 0
    """The endpoint at which W was committed."""
    late: bool = False
    """Whether a newer term had a primary when W was committed."""
    believed: tuple[int, int] | None = None
    acknowledged: bool = False


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    platform: g.PlatformRules = g.PlatformRules()
    replicated: bool = True
    require_majority: bool = True
    fresh_only: bool = True
    all_in_single: bool = True
    """Whether single mode needs all endpoints or the platform's record."""
    same_term: bool = True
    track_late: bool = False
    """Whether `State.late` is recorded; leaving it out reduces the state space."""
    early_observations: bool = False
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
    if state.believed is not None or (
        rules.early_observations and state.commit is None
    ):
        yield from _observe(state, rules)
    if state.believed is not None and _is_confirmed(state, rules):
        # Observations have no effect from here on; dropping them saves states.
        yield (
            "acknowledged",
            state._replace(acknowledged=True, observations=(), observed_record_term=0),
        )


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
                    committed_at=e,
                    late=rules.track_late and group.newest_term > group.terms[e],
                ),
            )


def _answer(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Let the proxy learn the status in the commit's pipeline.

    A rewind in between closes the connection, so that no status arrives.
    """
    group, e = state.group, state.committed_at
    if not group.is_primary(e) or not group.has_entry(e, state.commit):
        return
    if group.terms[e] != state.commit[0] and rules.same_term:
        return
    yield (
        f"the answer says term {group.terms[e]}",
        state._replace(believed=(group.terms[e], len(group.logs[e])), committed_at=0),
    )


def _observe(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Let an endpoint answer a status query.

    An answer that can only delay the acknowledgement is left out: every state that it
    leads to is also reached without the answer.
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
        observation = Observation(term, group.is_primary(e), received, fresh)
        if observation != state.observations[e]:
            when = "after" if fresh else "before"
            yield (
                f"e{e} answers a query sent {when} the commit: term {term}, "
                f"received {len(group.logs[e])}",
                state._replace(observations=put(state.observations, e, observation)),
            )
    if (
        rules.platform.mode == "single"
        and fresh
        and state.observed_record_term < group.record_term
    ):
        yield (
            f"the record is read: term {group.record_term}",
            state._replace(observed_record_term=group.record_term),
        )


def _is_confirmed(state: State, rules: Variant) -> bool:
    term, position = state.believed
    observations = [o for o in state.observations if o is not None]
    primaries = [o for o in observations if o.primary]
    primary = max(primaries, key=lambda o: o.term, default=None)
    if primary is None or primary.term != term:
        return False
    if rules.fresh_only and not primary.fresh:
        return False
    in_term = [o for o in observations if o.term == term]
    reporting = sum(1 for o in in_term if o.fresh or not rules.fresh_only)
    single = rules.platform.mode == "single" and rules.all_in_single
    needed = (
        (len(g.ENDPOINTS) if single else g.MAJORITY) if rules.require_majority else 1
    )
    if reporting < needed and state.observed_record_term != term:
        return False
    received = sum(1 for o in in_term if o.received >= position)
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


_ONE_PROMOTION = g.PlatformRules(max_term=2, max_log_length=1)
_SINGLE_MODE = g.PlatformRules(mode="single", max_term=2, max_log_length=1)
_TWO_PROMOTIONS = g.PlatformRules(max_term=3, max_log_length=1)
_TWO_ENTRIES = g.PlatformRules(max_term=3, max_log_length=2)
_VARIANTS: tuple[tuple[str, Variant, str, bool], ...] = (
    (
        "not_replaced",
        Variant(
            _ONE_PROMOTION, replicated=False, track_late=True, early_observations=True
        ),
        "",
        False,
    ),
    (
        "not_replaced",
        Variant(
            _SINGLE_MODE, replicated=False, track_late=True, early_observations=True
        ),
        "",
        False,
    ),
    ("survives", Variant(_TWO_ENTRIES), "", False),
    ("survives", Variant(_ONE_PROMOTION, early_observations=True), "", False),
    (
        "not_replaced",
        Variant(
            _ONE_PROMOTION, replicated=False, require_majority=False, track_late=True
        ),
        "a majority (the primary's own status is enough)",
        True,
    ),
    (
        "not_replaced",
        Variant(
            _ONE_PROMOTION,
            replicated=False,
            fresh_only=False,
            track_late=True,
            early_observations=True,
        ),
        "queries sent after the commit (earlier ones count as well)",
        True,
    ),
    (
        "not_replaced",
        Variant(_SINGLE_MODE, replicated=False, all_in_single=False, track_late=True),
        "all endpoints or the record in single mode",
        True,
    ),
    (
        "survives",
        Variant(_ONE_PROMOTION, replicated=False),
        "the replicated check",
        True,
    ),
    (
        "survives",
        Variant(_ONE_PROMOTION._replace(order=None)),
        "A3 (any endpoint of the majority is promoted)",
        True,
    ),
    (
        "survives",
        Variant(_TWO_PROMOTIONS._replace(order=g.position_only)),
        "the term of the last entry in A3 (by position alone)",
        True,
    ),
    (
        "survives",
        Variant(_TWO_PROMOTIONS._replace(joined_only=False)),
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
