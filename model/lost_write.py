"""Whether the loss of an acknowledged write is noticed ("proven" acknowledgement).

Stands for `Group.record_acknowledged`, `lost_term` and `Session._raise_if_write_lost`.
W is acknowledged without a majority having received it. Later the proxy proves a newer
term and serves a read from that term's primary, or refuses it. `noticed`: a read that
misses W is refused. A refusal though W was kept is allowed.

The rule of the code, that the new term started before W's position, is refuted: the
position counts entries of another history, or of a term in between that nobody saw.
Two rules hold. Either the status names the terms of the primary's history, so that
W's own term can be looked up; or a mark counts as kept only if a majority was seen to
have received it in its own term, and any later term is otherwise a possible loss. In
both cases the check must come after the proof that the read uses.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol


class State(NamedTuple):
    """`kept`: a majority was seen with W in W's term; `known`: newest term proven."""

    group: g.Group = g.Group()
    mark: tuple[int, int] | None = None
    kept: bool = False
    known: int = 1
    unnoticed: bool = False


class Variant(NamedTuple):
    """`rule` decides on the proven term; `proof_first` is the order of the steps."""

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
                    state._replace(group=group.append(e), mark=mark, known=mark[0]),
                )
        return
    having = [
        e
        for e in g.ENDPOINTS
        if group.joined[e]
        and group.terms[e] == state.mark[0]
        and group.has_entry(e, state.mark)
    ]
    if len(having) >= g.MAJORITY and not state.kept:
        yield "a majority is seen to have W", state._replace(kept=True)
    newest = group.primaries[-1]
    if group.newest_term > state.mark[0] and group.is_primary(newest):
        checked = group.newest_term if rules.proof_first else state.known
        missed = not group.has_entry(newest, state.mark)
        yield (
            f"a read is served on a proof of term {group.newest_term}",
            state._replace(
                known=group.newest_term,
                unnoticed=missed and not _refused(state, checked, rules),
            ),
        )


def _refused(state: State, checked: int, rules: Variant) -> bool:
    if checked <= state.mark[0]:
        return False
    log = state.group.logs[state.group.primaries[checked - 1]]
    if rules.rule == "history":
        return not state.group.has_entry(state.group.primaries[checked - 1], state.mark)
    if rules.rule == "kept":
        return not state.kept
    term_start = sum(1 for term in log if term < checked)
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
