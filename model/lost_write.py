"""Whether the loss of an acknowledged write is detected ("proven" acknowledgement).

Stands for `Group.record_acknowledged`, `lost_term`, `GroupMonitor.dropping_term` and
`Session._raise_if_write_lost`. W is acknowledged before a majority has received it.
Later the proxy proves a newer term and either serves a read from that term's primary or
refuses the read. `noticed`: a read that misses W is refused. A refusal is allowed even
if W was kept.

Three rules decide on a refusal. "term_start": the new term started before W's position.
This rule is refuted, because the position may count entries of another history, or of a
term in between that the proxy did not observe. "history": the status names the terms of
the primary's log, so that W's own term can be looked up. "kept": W counts as kept only
if a majority was observed to have received it in its own term; otherwise any later term
is a possible loss. The last two hold, provided that the check comes after the proof
that the read uses. `dropping_term` follows "kept", and also refuses if a later term is
known to start before W's position.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol


class State(NamedTuple):
    """`mark` is W's (term, position)."""

    group: g.Group = g.Group()
    mark: tuple[int, int] | None = None
    majority_observed: bool = False
    """Whether a majority was observed to have W in W's term."""
    proven_term: int = 1
    """The newest term that the proxy has proven."""
    unnoticed: bool = False
    """Whether a read was served that misses W."""


class Variant(NamedTuple):
    """`rule` decides on a refusal; `proof_first`: the check follows the proof."""

    rule: str = "history"
    proof_first: bool = True
    platform: g.PlatformRules = g.PlatformRules(max_term=3, max_log_length=2)


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.unnoticed:
        return
    group = state.group
    for label, after in g.steps(group, rules.platform):
        yield label, state._replace(group=after)
    if state.mark is None:
        for e in g.ENDPOINTS:
            room = len(group.logs[e]) < rules.platform.max_log_length
            if group.is_primary(e) and group.newest_term == group.terms[e] and room:
                mark = (group.terms[e], len(group.logs[e]) + 1)
                yield (
                    f"W commits at e{e} and is acknowledged: {mark}",
                    state._replace(
                        group=group.append(e), mark=mark, proven_term=mark[0]
                    ),
                )
        return
    with_w = [
        e
        for e in g.ENDPOINTS
        if group.joined[e]
        and group.terms[e] == state.mark[0]
        and group.has_entry(e, state.mark)
    ]
    if len(with_w) >= g.MAJORITY and not state.majority_observed:
        yield "a majority is observed to have W", state._replace(majority_observed=True)
    primary = group.primaries[-1]
    if group.newest_term > state.mark[0] and group.is_primary(primary):
        checked_term = group.newest_term if rules.proof_first else state.proven_term
        missed = not group.has_entry(primary, state.mark)
        yield (
            f"a read is served on a proof of term {group.newest_term}",
            state._replace(
                proven_term=group.newest_term,
                unnoticed=missed and not _is_refused(state, checked_term, rules),
            ),
        )


def _is_refused(state: State, checked_term: int, rules: Variant) -> bool:
    if checked_term <= state.mark[0]:
        return False
    log = state.group.logs[state.group.primaries[checked_term - 1]]
    if rules.rule == "history":
        return not state.group.has_entry(
            state.group.primaries[checked_term - 1], state.mark
        )
    if rules.rule == "kept":
        return not state.majority_observed
    term_start = sum(1 for term in log if term < checked_term)
    return term_start < state.mark[1]


def _check(
    rules: Variant, omitted_rule: str = "", expect_refuted: bool = True
) -> Check:
    model = protocol(
        "lost_write",
        State(),
        lambda state: _steps(state, rules),
        noticed=lambda d: not d["unnoticed"],
    )
    return Check("lost_write", "noticed", model, omitted_rule, expect_refuted)


CHECKS = [
    _check(Variant("history"), expect_refuted=False),
    _check(Variant("kept"), expect_refuted=False),
    _check(Variant("term_start"), "the history of the term (its start is compared)"),
    _check(
        Variant("term_start", platform=g.PlatformRules(max_term=2, max_log_length=2)),
        "the history of the term; redundant while there was only one promotion",
        expect_refuted=False,
    ),
    _check(Variant("history", proof_first=False), "the check after the proof"),
]
