"""When a read may be answered by an endpoint.

Stands for `GroupMonitor.prove`, `replicas_at` and `_update_proof`, `FreshnessHistory`
and `Reader._find_target`, `_replicas_or_primary` and `_run_if_fresh`. A client writes W
through one proxy, and a read begins at another proxy once W is acknowledged. A read
within a staleness is the same but that "begins" is then the instant that it reaches
back to, so a proof kept from any moment after it stands for an entry of the history.

`sees` is about customers whose writes are replicated before they are acknowledged.
`sees_in_term` is about those whose are not ("proven"): a read answered on a proof of
W's own term sees W. On a later term W may be gone; see `lost_write`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol, put


class Seen(NamedTuple):
    """A status; `fresh` when it was asked for after the read began."""

    term: int
    primary: bool
    applied: int
    fresh: bool


class Proof(NamedTuple):
    """A proof held by the proxy; the same fields make the target of a read."""

    term: int
    position: int


class State(NamedTuple):
    """`reader` is the endpoint that the read goes to, fixed in the first step.

    `link` tells the age of the connection to it: "trying" has been asked for,
    "trying, seen" as well and a status came since; "new" was opened after the newest
    status, "old" before it. Of other endpoints only what a proof needs is kept.
    """

    group: g.Group = g.Group()
    applied: tuple[int, ...] = (0, 0, 0)
    commit: tuple[int, int] | None = None
    begun: bool = False
    reader: int = -1
    link: str = ""
    seen: tuple[Seen | None, ...] = (None, None, None)
    proof: Proof | None = None
    target: Proof | None = None
    answer: str = ""


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    platform: g.PlatformRules = g.PlatformRules(max_term=2, max_log_length=1)
    replicated: bool = True
    fresh_proof: bool = True
    same_term: bool = True
    link_older: bool = True
    established: bool = True
    recheck: bool = True
    clear_history: bool = True


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.answer:
        return
    if state.reader < 0:
        for e in (0, 1):  # e2 is in the same position as e1.
            yield f"the proxy of the read uses e{e}", state._replace(reader=e)
        return
    for label, after in g.steps(state.group, rules.platform):
        yield label, _moved(state, after)
    group = state.group
    reader = state.reader
    if state.applied[reader] < len(group.logs[reader]):
        applied = put(state.applied, reader, state.applied[reader] + 1)
        yield f"e{reader} applies an entry", state._replace(applied=applied)
    for e in g.ENDPOINTS:
        if state.commit is None and group.is_primary(e):
            yield from _commit(state, e, rules)
        if group.joined[e]:
            yield from _observe(state, e, rules)
    if group.joined[reader]:
        yield from _link(state, rules)
    if state.commit is not None and not state.begun and _acknowledged(state, rules):
        yield "W is acknowledged, the read begins", state._replace(begun=True)
    if state.begun:
        yield from _prove(state, rules)
        yield from _serve(state, rules)


def _moved(state: State, after: g.Group) -> State:
    """Take over a step of the group: applied positions and a cut connection."""
    applied, link = state.applied, state.link
    for e in g.ENDPOINTS:
        length = len(after.logs[e])
        rewound = length < len(state.group.logs[e])
        if rewound and e == state.reader and link in ("new", "old"):
            link = ""
        kept = min(applied[e], length) if e == state.reader else 0
        keep = length if after.is_primary(e) else kept
        applied = put(applied, e, keep)
    return state._replace(group=after, applied=applied, link=link)


def _commit(state: State, e: int, rules: Variant) -> Iterator[tuple[str, State]]:
    group = state.group
    if (
        len(group.logs[e]) < rules.platform.max_log_length
        and group.newest_term == group.terms[e]
    ):
        after = _moved(state, group.append(e))
        entry = (group.terms[e], len(after.group.logs[e]))
        yield f"W commits at e{e} in term {entry[0]}", after._replace(commit=entry)


def _acknowledged(state: State, rules: Variant) -> bool:
    """What `acknowledgement` has shown to hold whenever a write is acknowledged."""
    group = state.group
    has = [
        e
        for e in g.ENDPOINTS
        if group.terms[e] == state.commit[0] and group.has_entry(e, state.commit)
    ]
    return len(has) >= g.MAJORITY or not rules.replicated


def _observe(state: State, e: int, rules: Variant) -> Iterator[tuple[str, State]]:
    group, link = state.group, state.link
    primary, applied = group.is_primary(e), state.applied[e]
    if e == state.reader:
        link = {"new": "old", "trying": "trying, seen"}.get(link, link)
    elif rules.fresh_proof and not state.begun:
        return
    seen = Seen(group.terms[e], primary, applied, state.begun)
    after = state._replace(seen=put(state.seen, e, seen), link=link)
    if after != state:
        label = f"e{e} answers a query: term {seen.term}, applied {state.applied[e]}"
        yield label, after


def _link(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    link = state.link
    if not link:
        yield f"connecting to e{state.reader}", state._replace(link="trying")
    elif "trying" in link:
        age = "old" if link == "trying, seen" and not rules.established else "new"
        yield f"connected to e{state.reader}", state._replace(link=age)


def _prove(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    seen = [s for s in state.seen if s is not None]
    leader = max((s for s in seen if s.primary), key=lambda s: s.term, default=None)
    if leader is None:
        return
    held = [s for s in seen if s.term == leader.term]
    if rules.fresh_proof:
        held = [s for s in held if s.fresh and leader.fresh]
    old = state.proof
    if len(held) < g.MAJORITY or (old is not None and old.term > leader.term):
        return
    proof = Proof(leader.term, leader.applied)
    if old is not None and old.term < proof.term and not rules.clear_history:
        proof = Proof(leader.term, old.position)
    if proof != old:
        yield (
            f"term {proof.term} is proven at position {proof.position}",
            state._replace(proof=proof),
        )


def _fits(state: State, e: int, proof: Proof, rules: Variant) -> bool:
    seen = state.seen[e]
    if seen is None or seen.applied < proof.position:
        return False
    return seen.term == proof.term or not rules.same_term


def _serve(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Run the read on a connection that is older than a fitting status, or ask again.

    Choosing early and comparing the newest status again when it runs is the same as
    choosing when it runs, so the choice is a step only where that rule is left out.
    """
    proof, e = state.proof, state.reader
    if proof is None:
        return
    target = state.target
    if target is None and _fits(state, e, proof, rules):
        target = proof
        if not rules.recheck:
            yield f"the read goes to e{e}", state._replace(target=proof)
            return
    if target is None or state.link not in ("new", "old"):
        return
    if rules.link_older and state.link == "new":
        good = state.group.joined[e] and state.group.terms[e] == target.term
        if not good or state.applied[e] < target.position:
            return
    entry = state.commit
    if not state.group.has_entry(e, entry) or state.applied[e] < entry[1]:
        word = "missed" if target.term == entry[0] else "missed in a later term"
        yield f"e{e} answers the read without W", state._replace(answer=word)


def _model(rules: Variant):
    return protocol(
        "read_your_writes",
        State(),
        lambda state: _steps(state, rules),
        sees=lambda d: not d["answer"],
        sees_in_term=lambda d: d["answer"] != "missed",
    )


_REPLICATED = Variant()
_PROVEN = Variant(replicated=False)
_VARIANTS: tuple[tuple[str, Variant, str, bool], ...] = (
    ("sees", _REPLICATED, "", False),
    ("sees_in_term", _PROVEN, "", False),
    (
        "sees",
        _REPLICATED._replace(fresh_proof=False),
        "a proof from after the read began",
        True,
    ),
    (
        "sees",
        _REPLICATED._replace(same_term=False),
        "the term (positions of different terms are compared)",
        True,
    ),
    (
        "sees_in_term",
        _PROVEN._replace(link_older=False),
        "asking again on a connection opened after the status",
        True,
    ),
    (
        "sees_in_term",
        _PROVEN._replace(established=False),
        "the time when the connection was established (that of the attempt is taken)",
        True,
    ),
    (
        "sees_in_term",
        _PROVEN._replace(recheck=False),
        "comparing the newest status with the target when the read runs",
        True,
    ),
    (
        "sees",
        _REPLICATED._replace(link_older=False),
        "asking again, for replicated writes; A1-A3 make it redundant",
        False,
    ),
    (
        "sees",
        _REPLICATED._replace(clear_history=False),
        "clearing the history; A1-A3 make it redundant",
        False,
    ),
)
CHECKS = [
    Check("read_your_writes", prop, _model(rules), omitted_rule, expect_refuted)
    for prop, rules, omitted_rule, expect_refuted in _VARIANTS
]
