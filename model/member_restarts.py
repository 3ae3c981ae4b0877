"""A member that starts again empty while the primary is down.

Endpoint 0 is the primary, 1 and 2 are the members of its roster. W is a commit that VM
A confirms once endpoint 1 has received it. Endpoint 0 may crash and comes back with its
log; endpoint 1 may start again, once, and holds nothing then. `kept`: the promoted
endpoint has W if W is confirmed.

A holder promotes endpoint 2, or 1, if its log has what the roster's floor and the votes
of that moment require. While the roster names the earlier process of endpoint 1, that
needs the answer of endpoint 0. A holder replaces it by the new process with the
position of endpoint 0, or with the votes of both VMs, and stores that as the floor. A
VM votes while endpoint 0 is down, and withdraws its vote when it sees a pause. VM A may
end, and its vote with it, once endpoint 1 has started again.

Reading the votes and writing the roster is one step here. Pauses, seals and the call
are the subject of confirmed_commits.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

NO_VOTE, WITHOUT_W, WITH_W = range(3)
NOBODY = -1


class State(NamedTuple):
    """`has_w` is a value per endpoint."""

    has_w: tuple[bool, bool, bool] = (False, False, False)
    primary_down: bool = False
    restarted: bool = False
    vote_a: int = NO_VOTE
    vote_b: bool = False
    """Whether VM B, which has confirmed nothing, has voted."""
    proven: bool = False
    """Whether endpoint 1 told VM A that it has W, perhaps before it started again."""
    held: bool = False
    """Whether VM A confirms nothing that its last vote lacks."""
    a_ended: bool = False
    confirmed: bool = False
    names_new_process: bool = False
    """Whether the roster names the new process of endpoint 1."""
    floor: bool = False
    """Whether the roster's floor includes W."""
    promoted: int = NOBODY


class Variant(NamedTuple):
    """Rules that may be left out."""

    keep_earlier: bool = True
    """Whether the roster keeps the earlier process until its position is known."""
    ask_all: bool = True
    """Whether that takes the votes of both VMs, not of one."""
    store_floor: bool = True
    hold_proofs: bool = True
    """Whether a VM that voted confirms nothing beyond its vote."""
    prove_again: bool = True
    """Whether earlier proofs don't count when that ends with the vote."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.promoted != NOBODY:
        return
    yield from _commit_steps(state)
    yield from _endpoint_steps(state)
    yield from _vote_steps(state, rules)
    yield from _holder_steps(state, rules)


def _commit_steps(state: State) -> Iterator[tuple[str, State]]:
    if not state.primary_down:
        for endpoint in range(3):
            if not state.has_w[endpoint] and (endpoint == 0 or state.has_w[0]):
                has_w = put(state.has_w, endpoint, True)
                yield f"e{endpoint} has W", state._replace(has_w=has_w)
    if state.has_w[1] and not state.a_ended:
        yield "e1 tells A that it has W", state._replace(proven=True)
    if state.proven and not (state.confirmed or state.a_ended or state.held):
        yield "A confirms W", state._replace(confirmed=True)


def _endpoint_steps(state: State) -> Iterator[tuple[str, State]]:
    down = not state.primary_down
    yield (
        "e0 crashes" if down else "e0 comes back with its log",
        state._replace(primary_down=down),
    )
    if not state.restarted:
        has_w = put(state.has_w, 1, False)
        yield "e1 starts again empty", state._replace(restarted=True, has_w=has_w)


def _vote_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.primary_down:
        if not state.a_ended:
            vote = WITH_W if state.confirmed else WITHOUT_W
            held = rules.hold_proofs and not state.confirmed
            yield "A votes", state._replace(vote_a=vote, held=held)
        yield "B votes", state._replace(vote_b=True)
    proven = state.proven and not rules.prove_again
    withdrawn = state._replace(vote_a=NO_VOTE, held=False, proven=proven)
    yield "A withdraws its vote", withdrawn
    yield "B withdraws its vote", state._replace(vote_b=False)
    if state.names_new_process:
        yield "A ends", state._replace(vote_a=NO_VOTE, a_ended=True)


def _holder_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    agreed = state.vote_a != NO_VOTE or state.vote_b
    if not agreed:
        return
    if state.restarted and not state.names_new_process:
        taken_over = state._replace(names_new_process=True)
        if not rules.keep_earlier:
            yield "the roster names the new process", taken_over
        if not state.primary_down:
            floor = state.has_w[0]
            yield "it does with e0's position", taken_over._replace(floor=floor)
        if (state.vote_b and state.vote_a != NO_VOTE) or not rules.ask_all:
            floor = rules.store_floor and state.vote_a == WITH_W
            yield "it does with the votes", taken_over._replace(floor=floor)
        return
    required = state.floor or state.vote_a == WITH_W
    highest = 1 if state.has_w[1] else 2
    if state.primary_down and (state.has_w[highest] or not required):
        yield f"e{highest} is promoted", state._replace(promoted=highest)


def _is_kept(state: State) -> bool:
    is_lost = state.promoted != NOBODY and not state.has_w[state.promoted]
    return not (state.confirmed and is_lost)


def _check(rules: Variant, omitted_rule: str = "") -> Check:
    model = protocol(
        "member_restarts",
        State(),
        lambda state: _steps(state, rules),
        kept=lambda d: _is_kept(State(**d)),
    )
    return Check("member_restarts", "kept", model, omitted_rule, bool(omitted_rule))


CHECKS = [
    _check(Variant()),
    _check(
        Variant(keep_earlier=False),
        "the earlier process in the roster until its position is known",
    ),
    _check(Variant(ask_all=False), "the votes of all VMs (half of them are enough)"),
    _check(Variant(store_floor=False), "the floor with the new process"),
    _check(Variant(hold_proofs=False), "a vote that limits later confirmations"),
    _check(
        Variant(prove_again=False),
        "new proofs after that limit (those from before the restart count)",
    ),
]
