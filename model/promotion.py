"""Promotions that the system requests itself, where one replica acknowledges a commit.

Stands for `Coordinator`, `ReplicationGroup.proven_primary` and `GroupRoster`. Endpoint
0 is the primary of term 1, endpoints 1 and 2 are its replicas. W is a commit of term 1,
acknowledged once a replica has received it; V is a commit of term 2. Two coordinators,
h0 and h1, may run the promotion. `kept`: the promoted endpoint has W if W is
acknowledged. `fresh`: a read that began after V was acknowledged does not run at
endpoint 0.

The rules: every replica is paused before the most advanced one is chosen; the pauses
and the positions are checked again right before the promotion is requested; only the
holder of the claim requests it. A read runs at a primary for which there is evidence
from a replica that was asked after the read began and that has not restarted since the
last promotion could have begun.

A replica that drains may leave. Its log goes to another endpoint first, so a commit
that the primary knows to be received is never at the leaving replica alone. A replica
that left need not be paused; one that is merely silent may still acknowledge, so it is
needed like any other. Platforms where the log is gone with the replica, replicas that
no roster names, and promotions that are carried out late are not covered: see
confirmed_commits and late_promotion, where a witness confirms a commit.

A replica that restarts after the last check forgets its pause, and an old primary that
no VM reaches may then still have a commit acknowledged. `kept` does not hold in this
case unless the old primary was demoted; docs/platform.md lists the case.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

REPLICAS = (1, 2)
IDLE, PAUSING, CHOSEN, REQUESTED = range(4)
"""Steps of a coordinator."""
READ_NOT_BEGUN, READ_BEGUN, READ_PROVEN, READ_DONE = range(4)
"""Steps of the read."""


class State(NamedTuple):
    """The tuples of three hold a value per endpoint, those of two per coordinator."""

    has_w: tuple[bool, bool, bool] = (False, False, False)
    paused: tuple[bool, bool, bool] = (False, False, False)
    in_term_1: tuple[bool, bool, bool] = (True, True, True)
    restarted: tuple[bool, bool, bool] = (False, False, False)
    left: tuple[bool, bool, bool] = (False, False, False)
    receipt_reported: bool = False
    """Whether the primary knows that a replica has W."""
    w_acknowledged: bool = False
    demoted: bool = False
    """Whether the old primary is demoted."""
    coordinator_steps: tuple[int, int] = (IDLE, IDLE)
    chosen: tuple[int, int] = (0, 0)
    claim_holder: int = -1
    """The coordinator that holds the claim, or -1."""
    requested: int = 0
    """The endpoint whose promotion is requested, or 0."""
    new_primary: int = 0
    """The primary of term 2, or 0."""
    v_acknowledged: bool = False
    read_step: int = READ_NOT_BEGUN
    read_must_see_v: bool = False
    lost: bool = False
    """Whether W is acknowledged and missing at the new primary."""
    stale: bool = False
    """Whether the read ran at endpoint 0 although it must see V."""


class Variant(NamedTuple):
    """Rules that may be left out, and what may happen."""

    pause_all: bool = True
    choose_most_advanced: bool = True
    recheck_pauses: bool = True
    recheck_positions: bool = True
    require_claim: bool = True
    exclude_restarted: bool = True
    require_evidence: bool = True
    wait_for_silent: bool = True
    departures: bool = False
    """Whether a replica may leave."""
    late_restarts: bool = False
    """Whether a replica may restart after the promotion was requested."""
    demote: bool = False
    """Whether the old primary is demoted when a replica is chosen."""


def _put(values: tuple, index: int, value: object) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.lost or state.stale:
        return
    yield from _commit_steps(state)
    yield from _restart_steps(state, rules)
    if rules.departures:
        yield from _departure_steps(state)
    for coordinator in (0, 1):
        yield from _promotion_steps(state, rules, coordinator)
    yield from _new_term_steps(state)
    yield from _read_steps(state, rules)


def _commit_steps(state: State) -> Iterator[tuple[str, State]]:
    old_primary_runs = not state.demoted and state.in_term_1[0]
    if old_primary_runs and not state.has_w[0]:
        yield "W commits at e0", state._replace(has_w=_put(state.has_w, 0, True))
    for r in REPLICAS:
        receives = state.in_term_1[r] and not state.paused[r] and r != state.new_primary
        if old_primary_runs and state.has_w[0] and receives and not state.has_w[r]:
            yield (
                f"e{r} receives W",
                state._replace(has_w=_put(state.has_w, r, True), receipt_reported=True),
            )
    if old_primary_runs and state.receipt_reported and not state.w_acknowledged:
        lost = state.new_primary and not state.has_w[state.new_primary]
        yield "W is acknowledged", state._replace(w_acknowledged=True, lost=bool(lost))
    if state.new_primary and not state.v_acknowledged:
        yield "V is acknowledged", state._replace(v_acknowledged=True)


def _restart_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    promotion_requested = state.requested or state.new_primary
    for r in REPLICAS:
        if r == state.new_primary or state.restarted[r] or state.left[r]:
            continue
        if promotion_requested and not rules.late_restarts:
            continue
        yield (
            f"e{r} restarts",
            state._replace(
                paused=_put(state.paused, r, False),
                restarted=_put(state.restarted, r, True),
            ),
        )


def _departure_steps(state: State) -> Iterator[tuple[str, State]]:
    for r in REPLICAS:
        others = [o for o in REPLICAS if o != r and not state.left[o]]
        handed_over = any(state.has_w[o] for o in others) or not state.receipt_reported
        if not others or not handed_over or state.left[r] or r == state.new_primary:
            continue
        if state.requested == r:
            continue
        yield (
            f"e{r} leaves",
            state._replace(
                left=_put(state.left, r, True),
                has_w=_put(state.has_w, r, False),
                paused=_put(state.paused, r, False),
                in_term_1=_put(state.in_term_1, r, False),
            ),
        )


def _needed(state: State, rules: Variant) -> list[int]:
    """Return the replicas that must be paused before one is promoted."""
    needed = [r for r in REPLICAS if not state.left[r]]
    if rules.wait_for_silent:
        return needed
    return [r for r in needed if state.paused[r]]


def _promotion_steps(
    state: State, rules: Variant, coordinator: int
) -> Iterator[tuple[str, State]]:
    step = state.coordinator_steps[coordinator]
    name = f"h{coordinator}"
    if step == IDLE and not state.new_primary:
        if rules.require_claim and state.claim_holder != -1:
            return
        yield (
            f"{name} acquires the claim",
            state._replace(
                coordinator_steps=_put(state.coordinator_steps, coordinator, PAUSING),
                claim_holder=coordinator,
            ),
        )
    elif step == PAUSING:
        yield from _pause_steps(state, rules, coordinator)
    elif step == CHOSEN:
        if rules.require_claim and state.claim_holder != coordinator:
            return
        yield (
            f"{name} requests the promotion of e{state.chosen[coordinator]}",
            state._replace(
                coordinator_steps=_put(state.coordinator_steps, coordinator, REQUESTED),
                requested=state.requested or state.chosen[coordinator],
            ),
        )
    if step != IDLE and state.claim_holder == coordinator and not state.requested:
        # The claim expires or is taken over.
        yield f"{name} loses its claim", state._replace(claim_holder=-1)


def _pause_steps(
    state: State, rules: Variant, coordinator: int
) -> Iterator[tuple[str, State]]:
    name = f"h{coordinator}"
    for r in REPLICAS:
        if not state.paused[r] and state.in_term_1[r] and not state.new_primary:
            paused = _put(state.paused, r, True)
            yield f"{name} pauses e{r}", state._replace(paused=paused)
    paused_replicas = [r for r in REPLICAS if state.paused[r]]
    if not paused_replicas or (
        rules.pause_all and set(paused_replicas) < set(_needed(state, rules))
    ):
        return
    candidates = paused_replicas
    if rules.choose_most_advanced and any(state.has_w[r] for r in paused_replicas):
        candidates = [r for r in paused_replicas if state.has_w[r]]
    for r in candidates:
        yield (
            f"{name} chooses e{r}",
            state._replace(
                coordinator_steps=_put(state.coordinator_steps, coordinator, CHOSEN),
                chosen=_put(state.chosen, coordinator, r),
                demoted=state.demoted or rules.demote,
            ),
        )


def _new_term_steps(state: State) -> Iterator[tuple[str, State]]:
    if state.requested and not state.new_primary:
        endpoint = state.requested
        yield (
            f"e{endpoint} becomes primary of term 2",
            state._replace(
                new_primary=endpoint,
                in_term_1=_put(state.in_term_1, endpoint, False),
                lost=state.w_acknowledged and not state.has_w[endpoint],
            ),
        )
    if not state.new_primary:
        return
    for r in REPLICAS:
        if r != state.new_primary and state.in_term_1[r]:
            yield (
                f"e{r} joins term 2",
                state._replace(
                    in_term_1=_put(state.in_term_1, r, False),
                    paused=_put(state.paused, r, False),
                    has_w=_put(state.has_w, r, state.has_w[state.new_primary]),
                ),
            )


def _read_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.read_step == READ_NOT_BEGUN:
        yield (
            "a read begins",
            state._replace(read_step=READ_BEGUN, read_must_see_v=state.v_acknowledged),
        )
    elif state.read_step == READ_BEGUN:
        if not rules.require_evidence:
            yield "the read is sent", state._replace(read_step=READ_PROVEN)
        for r in REPLICAS:
            follows_e0 = (
                state.in_term_1[r] and not state.paused[r] and r != state.new_primary
            )
            if follows_e0 and not (rules.exclude_restarted and state.restarted[r]):
                yield (
                    f"e{r} gives evidence for e0",
                    state._replace(read_step=READ_PROVEN),
                )
    elif state.read_step == READ_PROVEN and not state.demoted:
        yield (
            "the read runs at e0",
            state._replace(read_step=READ_DONE, stale=state.read_must_see_v),
        )


def _rechecked_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Drop the promotion requests that the last check does not allow."""
    for label, after in _steps(state, rules):
        if (
            after.requested
            and not state.requested
            and not _passes_recheck(state, after, rules)
        ):
            continue
        yield label, after


def _passes_recheck(state: State, after: State, rules: Variant) -> bool:
    """Whether all replicas are paused, and the chosen one has W if any of them has."""
    needed = _needed(state, rules)
    if state.left[after.requested] or not needed:
        return False
    if rules.recheck_pauses and not all(state.paused[r] for r in needed):
        return False
    with_w = [r for r in REPLICAS if state.has_w[r]]
    return not (rules.recheck_positions and with_w and after.requested not in with_w)


def _check(
    prop: str, rules: Variant, omitted_rule: str = "", expect_refuted: bool = True
) -> Check:
    model = protocol(
        "promotion",
        State(),
        lambda state: _rechecked_steps(state, rules),
        kept=lambda d: not d["lost"],
        fresh=lambda d: not d["stale"],
    )
    return Check("promotion", prop, model, omitted_rule, expect_refuted)


CHECKS = [
    _check("kept", Variant(), expect_refuted=False),
    _check("fresh", Variant(), expect_refuted=False),
    _check("kept", Variant(departures=True), expect_refuted=False),
    _check("fresh", Variant(departures=True), expect_refuted=False),
    _check(
        "kept",
        Variant(departures=True, wait_for_silent=False),
        "the wait for a member that is silent but may not have left",
    ),
    _check("fresh", Variant(late_restarts=True), expect_refuted=False),
    _check(
        "kept",
        Variant(late_restarts=True, demote=True),
        "nothing; a late restart is harmless when the old primary was demoted",
        expect_refuted=False,
    ),
    _check(
        "kept",
        Variant(pause_all=False, recheck_pauses=False, recheck_positions=False),
        "the pause of all replicas",
    ),
    _check(
        "kept",
        Variant(choose_most_advanced=False, recheck_positions=False),
        "the choice of the most advanced replica",
    ),
    _check("kept", Variant(recheck_pauses=False), "the recheck of the pauses"),
    _check("kept", Variant(recheck_positions=False), "the recheck of the positions"),
    _check(
        "kept",
        Variant(late_restarts=True),
        "the pause of a replica that restarts after the last check",
    ),
    _check(
        "kept",
        Variant(require_claim=False),
        "the claim; it keeps the tokens in order, the pauses keep the commits",
        expect_refuted=False,
    ),
    _check("fresh", Variant(require_evidence=False), "the evidence from a replica"),
    _check(
        "fresh",
        Variant(exclude_restarted=False, late_restarts=True),
        "the age of the connection to a restarted replica",
    ),
]
