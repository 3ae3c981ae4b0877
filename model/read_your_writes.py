"""When an endpoint may answer a read.

Stands for `GroupMonitor.prove`, `replicas_at` and `_update_proof`, `FreshnessHistory`
and `Reader._find_target`, `_replicas_or_primary` and `_run_if_fresh`. A client writes W
through one proxy, and a read begins at another proxy once W is acknowledged. For a read
with bounded staleness, "begins" means the instant that its staleness reaches back to; a
proof from any moment after that instant stands for an entry of the history.

`sees` is checked for customers whose writes are replicated before they are
acknowledged. `sees_in_term` is checked for customers with "proven" acknowledgement,
whose writes are not: a read answered on a proof of W's own term sees W. In a later term
W may be lost; see `lost_write`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model import group as g
from model.checks import Check, protocol, put


class Observation(NamedTuple):
    """A status; `fresh` if its query was sent after the read began."""

    term: int
    primary: bool
    applied: int
    fresh: bool


class Proof(NamedTuple):
    """A proof of the proxy, or the target of a read."""

    term: int
    position: int


class State(NamedTuple):
    """`reader` is the endpoint that the read is sent to, chosen in the first step.

    `connection` is the state of the connection to it: "trying" while it is being
    opened, "trying, seen" if a status has arrived meanwhile, "new" if it was opened
    after the newest status, and "old" if before. For other endpoints only what a proof
    needs is recorded.
    """

    group: g.Group = g.Group()
    applied: tuple[int, ...] = (0, 0, 0)
    commit: tuple[int, int] | None = None
    read_begun: bool = False
    reader: int = -1
    connection: str = ""
    observations: tuple[Observation | None, ...] = (None, None, None)
    proof: Proof | None = None
    target: Proof | None = None
    answer: str = ""


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    platform: g.PlatformRules = g.PlatformRules(max_term=2, max_log_length=1)
    replicated: bool = True
    fresh_proof: bool = True
    same_term: bool = True
    recheck_new_connection: bool = True
    """Whether a connection opened after the status is asked for its status again."""
    age_from_establishment: bool = True
    """Whether a connection counts as opened when established, not when requested."""
    compare_newest_status: bool = True
    clear_history: bool = True
    """Whether a proof of a new term discards the positions of the old term."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.answer:
        return
    if state.reader < 0:
        for e in (0, 1):  # e2 is in the same position as e1.
            yield f"the proxy of the read uses e{e}", state._replace(reader=e)
        return
    for label, after in g.steps(state.group, rules.platform):
        yield label, _after_group_step(state, after)
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
        yield from _connect(state, rules)
    if (
        state.commit is not None
        and not state.read_begun
        and _may_be_acknowledged(state, rules)
    ):
        yield "W is acknowledged, the read begins", state._replace(read_begun=True)
    if state.read_begun:
        yield from _prove(state, rules)
        yield from _serve(state, rules)


def _after_group_step(state: State, after: g.Group) -> State:
    """Apply a step of the group to the applied positions and the connection."""
    applied, connection = state.applied, state.connection
    for e in g.ENDPOINTS:
        length = len(after.logs[e])
        rewound = length < len(state.group.logs[e])
        if rewound and e == state.reader and connection in ("new", "old"):
            connection = ""
        remaining = min(applied[e], length) if e == state.reader else 0
        position = length if after.is_primary(e) else remaining
        applied = put(applied, e, position)
    return state._replace(group=after, applied=applied, connection=connection)


def _commit(state: State, e: int, rules: Variant) -> Iterator[tuple[str, State]]:
    group = state.group
    if (
        len(group.logs[e]) < rules.platform.max_log_length
        and group.newest_term == group.terms[e]
    ):
        after = _after_group_step(state, group.append(e))
        entry = (group.terms[e], len(after.group.logs[e]))
        yield f"W commits at e{e} in term {entry[0]}", after._replace(commit=entry)


def _may_be_acknowledged(state: State, rules: Variant) -> bool:
    """Whether W may be acknowledged.

    A replicated write needs a majority with W in W's term, as `acknowledgement` shows.
    """
    group = state.group
    with_w = [
        e
        for e in g.ENDPOINTS
        if group.terms[e] == state.commit[0] and group.has_entry(e, state.commit)
    ]
    return len(with_w) >= g.MAJORITY or not rules.replicated


def _observe(state: State, e: int, rules: Variant) -> Iterator[tuple[str, State]]:
    group, connection = state.group, state.connection
    primary, applied = group.is_primary(e), state.applied[e]
    if e == state.reader:
        connection = {"new": "old", "trying": "trying, seen"}.get(
            connection, connection
        )
    elif rules.fresh_proof and not state.read_begun:
        return
    observation = Observation(group.terms[e], primary, applied, state.read_begun)
    after = state._replace(
        observations=put(state.observations, e, observation), connection=connection
    )
    if after != state:
        label = (
            f"e{e} answers a query: term {observation.term}, applied {state.applied[e]}"
        )
        yield label, after


def _connect(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    connection = state.connection
    if not connection:
        yield f"connecting to e{state.reader}", state._replace(connection="trying")
    elif "trying" in connection:
        age = (
            "old"
            if connection == "trying, seen" and not rules.age_from_establishment
            else "new"
        )
        yield f"connected to e{state.reader}", state._replace(connection=age)


def _prove(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    seen = [o for o in state.observations if o is not None]
    primary = max((o for o in seen if o.primary), key=lambda o: o.term, default=None)
    if primary is None:
        return
    in_term = [o for o in seen if o.term == primary.term]
    if rules.fresh_proof:
        in_term = [o for o in in_term if o.fresh and primary.fresh]
    old = state.proof
    if len(in_term) < g.MAJORITY or (old is not None and old.term > primary.term):
        return
    proof = Proof(primary.term, primary.applied)
    if old is not None and old.term < proof.term and not rules.clear_history:
        proof = Proof(primary.term, old.position)
    if proof != old:
        yield (
            f"term {proof.term} is proven at position {proof.position}",
            state._replace(proof=proof),
        )


def _is_fresh_enough(state: State, e: int, proof: Proof, rules: Variant) -> bool:
    observation = state.observations[e]
    if observation is None or observation.applied < proof.position:
        return False
    return observation.term == proof.term or not rules.same_term


def _serve(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Run the read on a connection older than a fresh enough status, or recheck first.

    A choice that is compared with the newest status when the read runs is equal to a
    choice made at that time, so the choice is a step only where that rule is left out.
    """
    proof, e = state.proof, state.reader
    if proof is None:
        return
    target = state.target
    if target is None and _is_fresh_enough(state, e, proof, rules):
        target = proof
        if not rules.compare_newest_status:
            yield f"the read goes to e{e}", state._replace(target=proof)
            return
    if target is None or state.connection not in ("new", "old"):
        return
    if rules.recheck_new_connection and state.connection == "new":
        in_term = state.group.joined[e] and state.group.terms[e] == target.term
        if not in_term or state.applied[e] < target.position:
            return
    entry = state.commit
    if not state.group.has_entry(e, entry) or state.applied[e] < entry[1]:
        answer = "missed" if target.term == entry[0] else "missed in a later term"
        yield f"e{e} answers the read without W", state._replace(answer=answer)


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
        _PROVEN._replace(recheck_new_connection=False),
        "asking again on a connection opened after the status",
        True,
    ),
    (
        "sees_in_term",
        _PROVEN._replace(age_from_establishment=False),
        "the time when the connection was established (that of the attempt is taken)",
        True,
    ),
    (
        "sees_in_term",
        _PROVEN._replace(compare_newest_status=False),
        "comparing the newest status with the target when the read runs",
        True,
    ),
    (
        "sees",
        _REPLICATED._replace(recheck_new_connection=False),
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
