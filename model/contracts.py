"""Contract changes by two operators, and the proxies that apply them.

`Change` stands for `ContractStore._apply_change`, `_read_snapshot`,
`_build_transaction` and `_outcome_from`: both operators change revision 0. A request
whose answer is lost may still be in flight. `Apply` stands for `PrefixFollower._apply`,
`_relist` and `StoreDirectory`: a proxy receives revisions from the store, or late and
out of order from a peer, and after a restart it has applied none.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

OPERATORS = (0, 1)
PROXIES = (0, 1)
MAX_SENDS = 2
"""Requests that an operator sends before it gives up."""
MAX_REVISION = 3
"""Highest contract revision that `Apply` explores."""


class Change(NamedTuple):
    """`log` has the operator of each revision; it is also the audit trail.

    `in_flight` has the requests in flight, each with its operator and the revision that
    it compares. `read_revisions` has, for each operator, the revision read before the
    audit trail is read.
    """

    log: tuple[int, ...] = ()
    in_flight: tuple[tuple[int, int], ...] = ()
    phases: tuple[str, ...] = ("read", "read")
    read_revisions: tuple[int, ...] = (0, 0)
    send_counts: tuple[int, ...] = (0, 0)


def _change_steps(state: Change, blind_rewrite: bool) -> Iterator[tuple[str, Change]]:
    for request in sorted(set(state.in_flight)):
        operator, base = request
        position = state.in_flight.index(request)
        rest = state.in_flight[:position] + state.in_flight[position + 1 :]
        is_current = base == len(state.log)
        after = state._replace(in_flight=rest)
        if is_current:
            after = after._replace(log=(*state.log, operator))
        result = "takes effect" if is_current else "is refused"
        yield f"request of operator {operator} {result}, the answer is lost", after
        if state.phases[operator] == "waiting":
            phase = "accepted" if is_current else "read"
            yield (
                f"request of operator {operator} {result}",
                _with_phase(after, operator, phase),
            )
        yield f"request of operator {operator} is lost", state._replace(in_flight=rest)
    for operator in OPERATORS:
        yield from _operator_steps(state, operator, blind_rewrite)


def _with_phase(state: Change, operator: int, phase: str) -> Change:
    return state._replace(phases=put(state.phases, operator, phase))


def _operator_steps(
    state: Change, operator: int, blind_rewrite: bool
) -> Iterator[tuple[str, Change]]:
    phase, revision = state.phases[operator], state.read_revisions[operator]
    if phase == "read":
        after = state._replace(
            read_revisions=put(state.read_revisions, operator, len(state.log))
        )
        label = f"operator {operator} reads revision {len(state.log)}"
        yield label, _with_phase(after, operator, "trail")
    elif phase == "trail":
        rewrites = blind_rewrite and state.send_counts[operator] > 0
        if operator in state.log and not rewrites:
            yield (
                f"operator {operator} finds its change",
                _with_phase(state, operator, "accepted"),
            )
        elif revision != 0 and not rewrites:
            yield (
                f"operator {operator} reports a conflict",
                _with_phase(state, operator, "conflict"),
            )
        elif state.send_counts[operator] < MAX_SENDS:
            sent = state._replace(
                in_flight=tuple(sorted((*state.in_flight, (operator, revision)))),
                send_counts=put(
                    state.send_counts, operator, state.send_counts[operator] + 1
                ),
            )
            yield (
                f"operator {operator} changes revision {revision}",
                _with_phase(sent, operator, "waiting"),
            )
        else:
            yield (
                f"operator {operator} gives up",
                _with_phase(state, operator, "unknown"),
            )
    elif phase == "waiting":
        yield f"operator {operator} has no answer", _with_phase(state, operator, "read")


class Apply(NamedTuple):
    """`applied` and `sent_to_peer` have a revision for each proxy.

    `sent_to_peer` is the highest revision that the proxy may have sent to its peer.
    """

    stored: int = 0
    applied: tuple[int, ...] = (0, 0)
    sent_to_peer: tuple[int, ...] = (0, 0)
    went_back: bool = False


def _apply_steps(state: Apply, compare_revisions: bool) -> Iterator[tuple[str, Apply]]:
    if state.stored < MAX_REVISION:
        yield "a change is accepted", state._replace(stored=state.stored + 1)
    for proxy in PROXIES:
        if state.applied[proxy]:
            applied = put(state.applied, proxy, 0)
            yield f"proxy {proxy} restarts", state._replace(applied=applied)
        offered = {("the store", state.stored)}
        offered |= {
            ("its peer", r) for r in range(1, state.sent_to_peer[1 - proxy] + 1)
        }
        for source, revision in sorted(offered):
            applied_revision = state.applied[proxy]
            if revision == applied_revision or (
                compare_revisions and revision < applied_revision
            ):
                continue
            yield (
                f"proxy {proxy} applies {revision} from {source}",
                state._replace(
                    applied=put(state.applied, proxy, revision),
                    sent_to_peer=put(
                        state.sent_to_peer,
                        proxy,
                        max(state.sent_to_peer[proxy], revision),
                    ),
                    went_back=state.went_back or revision < applied_revision,
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
    blind_rewrite = bool(omitted_rule)
    if prop == "never_back":
        model = protocol(
            "contracts",
            Apply(),
            lambda state: _apply_steps(state, not omitted_rule),
            never_back=lambda d: not d["went_back"],
        )
    else:
        model = protocol(
            "contracts",
            Change(),
            lambda state: _change_steps(state, blind_rewrite),
            accepted_once=_accepted_once,
            not_overwritten=lambda d: len(d["log"]) <= 1,
            one_winner=lambda d: d["phases"] != ("accepted", "accepted"),
            conflict_is_true=_conflict_is_true,
        )
    return Check("contracts", prop, model, omitted_rule, bool(omitted_rule))


_READ_BACK = "reading back after a lost answer (blind rewrite)"
CHECKS = [
    _check("accepted_once"),
    _check("not_overwritten"),
    _check("one_winner"),
    _check("conflict_is_true"),
    _check("never_back"),
    _check("accepted_once", _READ_BACK),
    _check("not_overwritten", _READ_BACK),
    _check("one_winner", _READ_BACK),
    _check("never_back", "comparing revisions before applying"),
]
