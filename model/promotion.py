"""Promotions that the system asks for, where one replica acknowledges a commit.

Stands for `Coordinator`, `ReplicationGroup.proven_primary` and the roster. Endpoint 0
leads term 1, endpoints 1 and 2 are its replicas. W is a commit of term 1, acknowledged
once a replica has it; V is one of term 2. `kept`: the endpoint that is promoted has W
if W is acknowledged. `fresh`: a read that began after V was acknowledged does not run
at endpoint 0.

The rules: every replica is paused before the furthest is chosen; the pauses and the
positions are looked at again right before the call; the call is made only by the holder
of the claim. A read runs at a primary with evidence of a replica that was asked after
the read began and did not restart since the last promotion could have begun.

A replica that restarts after the last look forgets its pause, and an old primary that
nobody reaches may then still have a commit acknowledged. `kept` does not hold there
unless the old primary was demoted; docs/platform.md lists it.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

REPLICAS = (1, 2)
IDLE, PAUSING, LOOKED, CALLED = range(4)


class State(NamedTuple):
    """`has`: W in the log; `told`: the primary knows that a replica has W."""

    has: tuple[bool, bool, bool] = (False, False, False)
    held: tuple[bool, bool, bool] = (False, False, False)
    behind: tuple[bool, bool, bool] = (True, True, True)
    """Whether the endpoint is still in term 1."""
    restarted: tuple[bool, bool, bool] = (False, False, False)
    told: bool = False
    acknowledged: bool = False
    demoted: bool = False
    holders: tuple[int, int] = (IDLE, IDLE)
    chosen: tuple[int, int] = (0, 0)
    claim: int = -1
    pending: int = 0
    leader: int = 0
    newer_acknowledged: bool = False
    read: int = 0
    """0 not begun, 1 begun, 2 proven, 3 run."""
    must_see: bool = False
    lost: bool = False
    stale: bool = False


class Variant(NamedTuple):
    """Rules that may be left out, and what may happen."""

    pause_all: bool = True
    furthest: bool = True
    look_again: bool = True
    compare: bool = True
    claimed: bool = True
    settled: bool = True
    evidence: bool = True
    late_restarts: bool = False
    demote: bool = False


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.lost or state.stale:
        return
    yield from _commits(state)
    yield from _restarts(state, rules)
    for holder in (0, 1):
        yield from _promotes(state, rules, holder)
    yield from _takes_effect(state)
    yield from _reads(state, rules)


def _commits(state: State) -> Iterator[tuple[str, State]]:
    old_leads = not state.demoted and state.behind[0]
    if old_leads and not state.has[0]:
        yield "W commits at e0", state._replace(has=_put(state.has, 0, True))
    for r in REPLICAS:
        receives = state.behind[r] and not state.held[r] and r != state.leader
        if old_leads and state.has[0] and receives and not state.has[r]:
            yield (
                f"e{r} receives W",
                state._replace(has=_put(state.has, r, True), told=True),
            )
    if old_leads and state.told and not state.acknowledged:
        gone = state.leader and not state.has[state.leader]
        yield "W is acknowledged", state._replace(acknowledged=True, lost=bool(gone))
    if state.leader and not state.newer_acknowledged:
        yield "V is acknowledged", state._replace(newer_acknowledged=True)


def _restarts(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    called = state.pending or state.leader
    for r in REPLICAS:
        if r == state.leader or state.restarted[r]:
            continue
        if called and not rules.late_restarts:
            continue
        yield (
            f"e{r} restarts",
            state._replace(
                held=_put(state.held, r, False),
                restarted=_put(state.restarted, r, True),
            ),
        )


def _promotes(state: State, rules: Variant, holder: int) -> Iterator[tuple[str, State]]:
    step = state.holders[holder]
    name = f"h{holder}"
    if step == IDLE and not state.leader:
        if rules.claimed and state.claim != -1:
            return
        yield (
            f"{name} claims",
            state._replace(holders=_put(state.holders, holder, PAUSING), claim=holder),
        )
    elif step == PAUSING:
        yield from _pauses(state, rules, holder)
    elif step == LOOKED:
        if rules.claimed and state.claim != holder:
            return
        yield (
            f"{name} asks for the promotion of e{state.chosen[holder]}",
            state._replace(
                holders=_put(state.holders, holder, CALLED),
                pending=state.pending or state.chosen[holder],
            ),
        )
    if step != IDLE and state.claim == holder and not state.pending:
        # The claim lapses, or is taken away.
        yield f"{name} loses its claim", state._replace(claim=-1)


def _pauses(state: State, rules: Variant, holder: int) -> Iterator[tuple[str, State]]:
    name = f"h{holder}"
    for r in REPLICAS:
        if not state.held[r] and state.behind[r] and not state.leader:
            held = _put(state.held, r, True)
            yield f"{name} pauses e{r}", state._replace(held=held)
    paused = [r for r in REPLICAS if state.held[r]]
    if not paused or (rules.pause_all and len(paused) < len(REPLICAS)):
        return
    candidates = paused
    if rules.furthest and any(state.has[r] for r in paused):
        candidates = [r for r in paused if state.has[r]]
    for r in candidates:
        yield (
            f"{name} chooses e{r}",
            state._replace(
                holders=_put(state.holders, holder, LOOKED),
                chosen=_put(state.chosen, holder, r),
                demoted=state.demoted or rules.demote,
            ),
        )


def _takes_effect(state: State) -> Iterator[tuple[str, State]]:
    if state.pending and not state.leader:
        leader = state.pending
        yield (
            f"e{leader} leads term 2",
            state._replace(
                leader=leader,
                behind=_put(state.behind, leader, False),
                lost=state.acknowledged and not state.has[leader],
            ),
        )
    if not state.leader:
        return
    for r in REPLICAS:
        if r != state.leader and state.behind[r]:
            yield (
                f"e{r} follows term 2",
                state._replace(
                    behind=_put(state.behind, r, False),
                    held=_put(state.held, r, False),
                    has=_put(state.has, r, state.has[state.leader]),
                ),
            )


def _reads(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.read == 0:
        yield (
            "a read begins",
            state._replace(read=1, must_see=state.newer_acknowledged),
        )
    elif state.read == 1:
        if not rules.evidence:
            yield "the read is sent", state._replace(read=2)
        for r in REPLICAS:
            says_old = state.behind[r] and not state.held[r] and r != state.leader
            if says_old and not (rules.settled and state.restarted[r]):
                yield f"e{r} is evidence", state._replace(read=2)
    elif state.read == 2 and not state.demoted:
        yield "the read runs at e0", state._replace(read=3, stale=state.must_see)


def _looks_again(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Drop the calls whose pauses do not stand any more, as the last look does."""
    for label, after in _steps(state, rules):
        if after.pending and not state.pending and not _stand(state, after, rules):
            continue
        yield label, after


def _stand(state: State, after: State, rules: Variant) -> bool:
    """Whether the last look finds all paused, where they were when one was chosen."""
    if rules.look_again and not all(state.held[r] for r in REPLICAS):
        return False
    ahead = [r for r in REPLICAS if state.has[r]]
    return not (rules.compare and ahead and after.pending not in ahead)


def _check(prop: str, rules: Variant, without: str = "", refuted: bool = True) -> Check:
    model = protocol(
        "promotion",
        State(),
        lambda state: _looks_again(state, rules),
        kept=lambda d: not d["lost"],
        fresh=lambda d: not d["stale"],
    )
    return Check("promotion", prop, model, without, refuted)


CHECKS = [
    _check("kept", Variant(), refuted=False),
    _check("fresh", Variant(), refuted=False),
    _check("fresh", Variant(late_restarts=True), refuted=False),
    _check(
        "kept",
        Variant(late_restarts=True, demote=True),
        "nothing; a late restart is harmless when the old primary was demoted",
        refuted=False,
    ),
    _check(
        "kept",
        Variant(pause_all=False, look_again=False, compare=False),
        "the pause of all",
    ),
    _check(
        "kept", Variant(furthest=False, compare=False), "the choice of the furthest"
    ),
    _check("kept", Variant(look_again=False), "the last look at the pauses"),
    _check("kept", Variant(compare=False), "the positions at the last look"),
    _check(
        "kept",
        Variant(late_restarts=True),
        "the pause of a replica that restarts after the last look",
    ),
    _check(
        "kept",
        Variant(claimed=False),
        "the claim; it keeps the tokens in order, the pauses keep the commits",
        refuted=False,
    ),
    _check("fresh", Variant(evidence=False), "the evidence"),
    _check(
        "fresh",
        Variant(settled=False, late_restarts=True),
        "the age of the connection to a restarted replica",
    ),
]
