"""Contract changes by two operators, and the proxies that apply them.

`Change` stands for `ContractStore._settle`, `_read`, `_transaction` and `_judge`: both
operators change revision 0. A request whose answer is lost may still be in flight.
`Apply` stands for `PrefixFollower._apply`, `_relist` and `StoreDirectory`: a proxy
hears of revisions from the store, or late and out of order from a peer, and starts
again with nothing.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

OPERATORS = (0, 1)
MAX_SENDS = 2
REVISIONS = 3


class Change(NamedTuple):
    """`log` names the operator of each revision, which is also the audit trail.

    `wire` holds the requests in flight: operator and compared revision. `reads` is
    the revision that an operator has read before it reads the trail.
    """

    log: tuple[int, ...] = ()
    wire: tuple[tuple[int, int], ...] = ()
    phases: tuple[str, ...] = ("read", "read")
    reads: tuple[int, ...] = (0, 0)
    sends: tuple[int, ...] = (0, 0)


def _change(state: Change, blind: bool) -> Iterator[tuple[str, Change]]:
    for request in sorted(set(state.wire)):
        operator, base = request
        position = state.wire.index(request)
        rest = state.wire[:position] + state.wire[position + 1 :]
        good = base == len(state.log)
        after = state._replace(wire=rest)
        if good:
            after = after._replace(log=(*state.log, operator))
        word = "takes effect" if good else "is refused"
        yield f"request of {operator} {word}, the answer is lost", after
        if state.phases[operator] == "waiting":
            phase = "accepted" if good else "read"
            yield f"request of {operator} {word}", _phase(after, operator, phase)
        yield f"request of {operator} is lost", state._replace(wire=rest)
    for operator in OPERATORS:
        yield from _operator(state, operator, blind)


def _phase(state: Change, operator: int, phase: str) -> Change:
    return state._replace(phases=put(state.phases, operator, phase))


def _operator(
    state: Change, operator: int, blind: bool
) -> Iterator[tuple[str, Change]]:
    phase, revision = state.phases[operator], state.reads[operator]
    if phase == "read":
        after = state._replace(reads=put(state.reads, operator, len(state.log)))
        label = f"{operator} reads revision {len(state.log)}"
        yield label, _phase(after, operator, "trail")
    elif phase == "trail":
        rewrites = blind and state.sends[operator] > 0
        if operator in state.log and not rewrites:
            yield f"{operator} finds its change", _phase(state, operator, "accepted")
        elif revision != 0 and not rewrites:
            yield f"{operator}: conflict", _phase(state, operator, "conflict")
        elif state.sends[operator] < MAX_SENDS:
            sent = state._replace(
                wire=tuple(sorted((*state.wire, (operator, revision)))),
                sends=put(state.sends, operator, state.sends[operator] + 1),
            )
            yield f"{operator} sends on {revision}", _phase(sent, operator, "waiting")
        else:
            yield f"{operator} gives up", _phase(state, operator, "unknown")
    elif phase == "waiting":
        yield f"{operator} has no answer", _phase(state, operator, "read")


class Apply(NamedTuple):
    """`applied` per proxy, `told` the highest revision that it may have told a peer."""

    store: int = 0
    applied: tuple[int, ...] = (0, 0)
    told: tuple[int, ...] = (0, 0)
    went_back: bool = False


def _apply(state: Apply, compare: bool) -> Iterator[tuple[str, Apply]]:
    if state.store < REVISIONS:
        yield "a change is accepted", state._replace(store=state.store + 1)
    for proxy in OPERATORS:
        if state.applied[proxy]:
            applied = put(state.applied, proxy, 0)
            yield f"proxy {proxy} starts again", state._replace(applied=applied)
        heard = {("the store", state.store)}
        heard |= {("its peer", r) for r in range(1, state.told[1 - proxy] + 1)}
        for source, revision in sorted(heard):
            known = state.applied[proxy]
            if revision == known or (compare and revision < known):
                continue
            yield (
                f"proxy {proxy} applies {revision} from {source}",
                state._replace(
                    applied=put(state.applied, proxy, revision),
                    told=put(state.told, proxy, max(state.told[proxy], revision)),
                    went_back=state.went_back or revision < known,
                ),
            )


def _accepted_once(d: dict) -> bool:
    return all(
        d["log"].count(operator) == 1
        for operator in OPERATORS
        if d["phases"][operator] == "accepted"
    )


def _conflict_is_true(d: dict) -> bool:
    return not any(
        operator in d["log"]
        for operator in OPERATORS
        if d["phases"][operator] == "conflict"
    )


def _check(prop: str, omitted_rule: str = "") -> Check:
    blind = bool(omitted_rule)
    if prop == "never_back":
        model = protocol(
            "contracts",
            Apply(),
            lambda state: _apply(state, not omitted_rule),
            never_back=lambda d: not d["went_back"],
        )
    else:
        model = protocol(
            "contracts",
            Change(),
            lambda state: _change(state, blind),
            accepted_once=_accepted_once,
            not_overwritten=lambda d: len(d["log"]) <= 1,
            one_winner=lambda d: d["phases"] != ("accepted", "accepted"),
            conflict_is_true=_conflict_is_true,
        )
    return Check("contracts", prop, model, omitted_rule, bool(omitted_rule))


_LOST = "reading back after a lost answer (blind rewrite)"
CHECKS = [
    _check("accepted_once"),
    _check("not_overwritten"),
    _check("one_winner"),
    _check("conflict_is_true"),
    _check("never_back"),
    _check("accepted_once", _LOST),
    _check("not_overwritten", _LOST),
    _check("one_winner", _LOST),
    _check("never_back", "comparing revisions before applying"),
]
