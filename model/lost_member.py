"""A replacement without a member that doesn't answer the holder.

Endpoint 0 is the primary, 1 and 2 are members of its roster. The holder of the claim
reaches 0 and 1; endpoint 2 may receive from 0 and confirm commits to VMs that reach it.
W is a commit of the term. `kept`: the promoted endpoint has W if W is confirmed, before
the promotion or later. `no_promotion`, to be refuted: endpoint 1 is never promoted.

The holder demotes endpoint 0, asks for the end of its log, pauses 0 and 1, chooses 1 if
it has that log, otherwise 0, seals the roster, asks both again and calls. Endpoint 0
may crash and come back with its log, which ends its demotion and its pause.

Left out: a crash of endpoint 0 between the last check and the promotion, other holders
(a subject of confirmed_commits), and earlier calls: with one, nothing is demoted.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

NOBODY = -1
IDLE, DEMOTING, ASKED, PAUSED, SEALED = range(5)
"""Steps of the holder."""


class State(NamedTuple):
    """`has_w` is a value per endpoint."""

    has_w: tuple[bool, bool, bool] = (False, False, False)
    demoted: bool = False
    paused: bool = False
    """Whether endpoint 1 is paused; endpoint 2 never is."""
    step: int = IDLE
    requires_w: bool = False
    """Whether the log of endpoint 0 had W when the holder asked."""
    chosen: int = NOBODY
    crashes: int = 0
    promoted: int = NOBODY
    confirmed: bool = False


class Variant(NamedTuple):
    """Rules that may be left out."""

    demote: bool = True
    ask_after: bool = True
    """Whether the end of the log is asked for after the demotion."""
    require_log: bool = True
    check_again: bool = True
    """Whether the demotion is checked again after the seal."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if not state.demoted and state.promoted in (NOBODY, 0):
        yield from _commit_steps(state)
    if not state.confirmed and any(state.has_w[1:]):
        receivers = [r for r in (1, 2) if state.has_w[r] and r != state.promoted]
        if receivers and not (state.paused and receivers == [1]):
            yield "W is confirmed", state._replace(confirmed=True)
    if state.promoted != NOBODY:
        return
    if state.crashes == 0:
        yield "e0 comes back", state._replace(crashes=1, demoted=False)
    yield from _holder_steps(state, rules)


def _commit_steps(state: State) -> Iterator[tuple[str, State]]:
    for r in range(3):
        may_receive = r == 0 or (state.has_w[0] and not (r == 1 and state.paused))
        if may_receive and not state.has_w[r]:
            yield f"e{r} has W", state._replace(has_w=put(state.has_w, r, True))


def _holder_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    demoted = state.demoted or rules.demote
    if state.step == IDLE:
        early = state.has_w[0] and not rules.ask_after
        asked = state._replace(step=DEMOTING, requires_w=early)
        yield "the holder asks e0", asked
    elif state.step == DEMOTING:
        required = state.has_w[0] if rules.ask_after else state.requires_w
        ended = state._replace(step=ASKED, demoted=demoted, requires_w=required)
        yield "the holder demotes e0", ended
    elif state.step == ASKED:
        yield "the holder pauses e1", state._replace(step=PAUSED, paused=True)
    elif state.step == PAUSED:
        has_all = state.has_w[1] or not (state.requires_w and rules.require_log)
        sealed = state._replace(step=SEALED, chosen=1 if has_all else 0)
        yield f"the holder chooses e{sealed.chosen}, and seals the roster", sealed
    elif state.step == SEALED:
        is_demoted = state.demoted or not (rules.check_again and rules.demote)
        if is_demoted:
            promoted = state._replace(promoted=state.chosen)
            yield f"e{state.chosen} is promoted", promoted


def _check(
    rules: Variant, omitted_rule: str = "", *, refuted: bool = True, prop: str = "kept"
) -> Check:
    def is_kept(d: dict) -> bool:
        promoted = d["promoted"]
        return not d["confirmed"] or promoted == NOBODY or d["has_w"][promoted]

    properties = {"kept": is_kept, "no_promotion": lambda d: d["promoted"] != 1}
    model = protocol(
        "lost_member",
        State(),
        lambda state: _steps(state, rules),
        **{prop: properties[prop]},
    )
    return Check("lost_member", prop, model, omitted_rule, refuted)


CHECKS = [
    _check(Variant(), refuted=False),
    _check(Variant(), "nothing; endpoint 1 can be promoted", prop="no_promotion"),
    _check(Variant(demote=False), "the demotion"),
    _check(Variant(ask_after=False), "the end of the log asked for after the demotion"),
    _check(Variant(require_log=False), "the comparison with the primary's log"),
    _check(Variant(check_again=False), "the check of the demotion after the seal"),
]
