"""Promotion calls of one group that are on their way to the platform.

`rising`: no call arrives with a token below that of a call that arrived before, and no
two VMs call under the same token. A VM may repeat its call under its token.
`one_term`: no roster of a later term is sealed; to be refuted.

A call is sent, arrives (the platform sees its token), is accepted or refused, is
answered unless the answer is lost, and, if accepted, is carried out at any later time
or never: then the endpoints' next term begins. A link that falls silent withholds a
call, so that it arrives at any later time or never.

A VM claims the right to promote, reads the roster, decides its token, seals the roster
and calls. It may stand still, restart under its name or give up between any two steps,
and another VM's claim may replace its own at any time. The seal counts the calls under
it, and those that are known not to be on their way. While one may be, other VMs leave
the claim alone, until the limit passes or the next term begins. A holder that gives up
takes its seal back if it found none, and otherwise counts its own call as answered.

A new token is above all that exist, as if the wall clocks agreed; how it is made is the
subject of fencing_tokens, and which endpoint may be chosen that of late_promotion.

Premises, each of which a variant leaves out:
- No call arrives after the limit, when its holder has called or given up
  (`lost_at_limit`). The limit passes for all VMs at a time. A holder that gets no
  answer resets the connection, and so does the end of its process (`resets_at_end`).
- An answer comes from the platform, after the call arrived (`answer_proves`).
- A term begins by a call of a holder, not by an outside call to the endpoint in the
  seal (`outside_call`).
- The store loses nothing (`restores`).

Left out: more than two VMs, members that restart and forget a pause, calls that are
carried out after the limit, two processes of one name at a time, tokens that a VM
remembers, rosters that can't be read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

VMS = (0, 1)
NOBODY = -1

IDLE, DECIDED, SEALED, CHECKED, CALLED, ACCEPTED, GIVING_UP = range(7)
"""What a VM has done; one that gives up was refused, or does not call."""


class Roster(NamedTuple):
    """The stored roster of a term."""

    term: int = 1
    holder: int = NOBODY
    """The VM that sealed the roster."""
    token: int = 0
    """Token of the seal, or 0."""
    unanswered: int = 0
    """Calls under the seal that may be on their way."""
    is_repeated: bool = False
    """Whether there was more than one seal for the same endpoint."""
    outstanding: bool = False
    """Whether a call of the term before may promote its endpoint again."""
    awaits_call: bool = False
    """Whether a call under the seal of the term before may be on its way."""
    is_old: bool = False
    """Whether the limit has passed."""
    fence: int = 0
    """Highest token of the group."""


class Vm(NamedTuple):
    """What a VM knows and does."""

    phase: int = IDLE
    term: int = 0
    """Term that is replaced."""
    token: int = 0
    found_seal: bool = False
    """Whether the roster was sealed when the VM read it."""
    is_stored: bool = False
    """Whether the VM's seal is stored."""
    other_endpoint: bool = False
    """Whether the VM chose another endpoint than an old seal's."""


class State(NamedTuple):
    """The endpoints' term, the store, the VMs, the calls and what the platform saw."""

    term: int = 1
    roster: Roster = Roster()
    claim: int = NOBODY
    vms: tuple[Vm, ...] = (Vm(),) * len(VMS)
    held: bool = False
    """Whether a call on its way belongs to a process that ended without a reset."""
    on_way: tuple[tuple[int, int], ...] = ()
    """VM and token of the calls on their way whose answer nobody awaits."""
    accepted: int = 0
    """Calls that may still be carried out."""
    sent: int = 0
    highest: int = 0
    """Highest token that arrived."""
    caller: int = NOBODY
    fell: bool = False
    copy: Roster | None = None
    losses: int = 0
    outside_calls: int = 0


class Variant(NamedTuple):
    """Rules and premises that may be left out, and bounds."""

    sort: bool = False
    """Whether states are the same but for the VMs' numbers, which labels then mix."""
    max_calls: int = 3
    max_unanswered: int = 3
    """Calls under one seal that are not known to be answered."""
    max_term: int = 3
    waits: bool = True
    """Whether a VM doesn't claim while another one's call may be on its way."""
    next_term_waits: bool = True
    """Whether this goes on in the next term if a call was repeated."""
    keeps_outstanding: bool = True
    """Whether it does also if a call of the term before was still outstanding."""
    later_term_waits: bool = True
    """Whether it goes on in the terms after that one."""
    repeats: bool = True
    """Whether a VM repeats its own call under its token."""
    waits_for_own: bool = False
    """Whether a VM awaits its own calls, too."""
    compares_holder: bool = True
    """Whether a VM repeats only its own calls."""
    new_token_after_loss: bool = True
    """Whether a VM that noticed a loss of the store repeats no call."""
    counts_announced: bool = True
    """Whether a holder counts only a call whose seal was stored."""
    counts_earlier: bool = True
    """Whether the seal of a repeated call counts the earlier ones, as the roster does.
    """
    counts_refused: bool = True
    """Whether a repeated call that was refused, or not sent, is counted as answered."""
    answer_proves: bool = True
    """Whether a call is counted as answered only after it arrived."""
    unseals_first_only: bool = True
    """Whether only a holder that found no seal takes its seal back."""
    unseals_arrived: bool = True
    """Whether a holder keeps its seal if its call may be on its way."""
    lost_at_limit: bool = True
    """Whether no call arrives after the limit."""
    resets_at_end: bool = True
    """Whether the end of a process that awaits an answer resets its connection."""
    claim_at_seal: bool = True
    check_pause: bool = True
    """Whether a holder finds the members still paused for its term after the seal."""
    primary_again: bool = True
    """Whether the term's primary may be chosen, demoted, while it is outstanding."""
    proof: bool = True
    """Whether the platform answers on the connection right before the call."""
    link_lasts: bool = False
    """Whether a link that answered stays until the call arrived."""
    claim_at_call: bool = False
    """Whether the store is asked for the claim, and the call follows at once."""
    restores: int = 0
    sealed_copy: bool = False
    """Whether the store takes its copy only while a seal is younger than the limit."""
    outside_call: bool = False
    """Whether one promotion takes place that no holder asked for."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.fell:
        return
    for label, after in _all_steps(state, rules):
        yield label, _reduced(after, rules)


def _all_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    yield from _platform_steps(state, rules)
    yield from _store_steps(state, rules)
    for v in VMS:
        yield from _vm_steps(state, v, rules)


def _reduced(state: State, rules: Variant) -> State:
    """Return the state without what no further step depends on.

    Tokens are replaced by their ranks.
    """
    if state.fell:
        return State(fell=True)
    if state.sent == rules.max_calls:
        calls = ((v, vm.token) for v, vm in enumerate(state.vms) if vm.phase == CALLED)
        state = State(
            sent=state.sent,
            on_way=(*state.on_way, *calls),
            highest=state.highest,
            caller=state.caller,
        )
    for v, vm in enumerate(state.vms):
        if rules.claim_at_call and vm.phase == SEALED and state.claim != v:
            vm = vm._replace(phase=GIVING_UP, term=0)
            state = _with_vm(state, v, vm)
        if _is_over(state, v, rules):
            state = _with_vm(state, v, Vm())
    state = _without_claim(state, rules)
    state = _without_fence(state)
    state = _without_highest(state)
    ranks = {token: rank for rank, token in enumerate(sorted(_tokens(state)))}
    ranked = _with_tokens(state, ranks)
    return min(ranked, _with_tokens(_swapped(state), ranks)) if rules.sort else ranked


def _is_over(state: State, v: int, rules: Variant) -> bool:
    """Whether a VM can neither call nor change the roster any more."""
    vm = state.vms[v]
    if vm.phase == DECIDED:
        may_seal = state.claim == v or not rules.claim_at_seal
        return not may_seal and vm.token != state.roster.token
    if vm.phase in (ACCEPTED, GIVING_UP) and state.copy is None:
        return not _has_seal(state, v)
    return False


def _without_claim(state: State, rules: Variant) -> State:
    """Return the state without a claim that is not compared any more."""
    if state.claim == NOBODY:
        return state
    phase = state.vms[state.claim].phase
    is_used = phase == DECIDED or (phase == SEALED and rules.claim_at_call)
    return state if is_used else state._replace(claim=NOBODY)


def _without_fence(state: State) -> State:
    """Return the state without the tokens that no later token is compared with."""
    roster, copy = state.roster, state.copy
    if not any(vm.phase == DECIDED for vm in state.vms):
        roster = roster._replace(fence=roster.token)
    if copy is not None:
        copy = copy._replace(fence=copy.token)
    return state._replace(roster=roster, copy=copy)


def _without_highest(state: State) -> State:
    """Return the state without a highest token that no call can be below."""
    rosters = [roster for roster in (state.roster, state.copy) if roster is not None]
    tokens = {token for _, token in state.on_way}
    tokens |= {vm.token for vm in state.vms} | {roster.token for roster in rosters}
    tokens.discard(0)
    if state.highest not in tokens:
        state = state._replace(caller=NOBODY)
    if not tokens or state.highest < min(tokens):
        state = state._replace(highest=0)
    return state


def _swapped(state: State) -> State:
    """Return the state with the VMs' numbers swapped."""

    def other(v: int) -> int:
        return v if v == NOBODY else 1 - v

    def swapped(roster: Roster) -> Roster:
        return roster._replace(holder=other(roster.holder))

    return state._replace(
        roster=swapped(state.roster),
        copy=None if state.copy is None else swapped(state.copy),
        claim=other(state.claim),
        vms=tuple(reversed(state.vms)),
        on_way=tuple((other(v), token) for v, token in state.on_way),
        caller=other(state.caller),
    )


def _tokens(state: State) -> set[int]:
    rosters = [roster for roster in (state.roster, state.copy) if roster is not None]
    return (
        {0, state.highest}
        | {token for _, token in state.on_way}
        | {vm.token for vm in state.vms}
        | {token for roster in rosters for token in (roster.token, roster.fence)}
    )


def _with_tokens(state: State, ranks: dict[int, int]) -> State:
    def ranked(roster: Roster) -> Roster:
        return roster._replace(token=ranks[roster.token], fence=ranks[roster.fence])

    return state._replace(
        roster=ranked(state.roster),
        copy=None if state.copy is None else ranked(state.copy),
        vms=tuple(vm._replace(token=ranks[vm.token]) for vm in state.vms),
        on_way=tuple(sorted((v, ranks[token]) for v, token in state.on_way)),
        highest=ranks[state.highest],
    )


def _platform_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for v, token in sorted(set(state.on_way)):
        calls = list(state.on_way)
        calls.remove((v, token))
        arrived = _with_arrival(state, v, token)._replace(on_way=tuple(calls))
        label = f"the withheld call of VM {v} with token {token} arrives"
        yield f"{label}, accepted", _with_accepted(arrived, rules)
        yield f"{label}, refused", arrived
    if state.accepted and state.term < rules.max_term:
        yield (
            f"a call is carried out and begins term {state.term + 1}",
            state._replace(term=state.term + 1, accepted=state.accepted - 1),
        )
    may_promote = rules.outside_call and not state.outside_calls
    if may_promote and state.term < rules.max_term:
        yield (
            f"an outside call begins term {state.term + 1}",
            state._replace(term=state.term + 1, outside_calls=1),
        )


def _with_arrival(state: State, v: int, token: int) -> State:
    is_shared = token == state.highest and state.caller not in (v, NOBODY)
    return state._replace(
        highest=max(state.highest, token),
        caller=v if token >= state.highest else state.caller,
        fell=token < state.highest or is_shared,
    )


def _with_accepted(state: State, rules: Variant) -> State:
    accepted = state.accepted + 1 if state.term < rules.max_term else 0
    return state._replace(accepted=accepted)


def _store_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    if roster.term < state.term:
        yield (
            f"a VM stores the roster of term {state.term}",
            state._replace(roster=_roster_of(roster, state.term, rules)),
        )
    elif roster.token and roster.is_old:
        opened = Roster(roster.term, fence=roster.fence)
        yield "a VM removes the old seal", state._replace(roster=opened)
    yield from _limit_steps(state, rules)
    if state.losses < rules.restores:
        is_kept = bool(roster.token) and not roster.is_old
        if state.copy is None and (is_kept or not rules.sealed_copy):
            yield "the store takes a copy", state._replace(copy=roster)
        elif state.copy not in (None, roster):
            yield (
                "the store comes back from its copy",
                state._replace(
                    roster=state.copy, copy=None, claim=NOBODY, losses=state.losses + 1
                ),
            )


def _roster_of(roster: Roster, term: int, rules: Variant) -> Roster:
    """Return the roster of a later term, as stored or as announced by the seal."""
    if roster.is_old:
        return Roster(term, fence=roster.fence)
    is_next = roster.token and term == roster.term + 1
    if not is_next and not rules.later_term_waits:
        return Roster(term, fence=roster.fence)
    outstanding = roster.is_repeated or (rules.keeps_outstanding and roster.outstanding)
    awaits = roster.unanswered > 0 if roster.token else roster.awaits_call
    if is_next:
        awaits = awaits and outstanding and rules.next_term_waits
    return Roster(term, outstanding=outstanding, awaits_call=awaits, fence=roster.fence)


def _limit_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Let the limit pass: holders have called or given up, and know the outcome."""
    roster = state.roster
    if roster.is_old or not (roster.token or roster.outstanding or roster.awaits_call):
        return
    if any(vm.phase in (SEALED, CHECKED, CALLED) for vm in state.vms):
        return
    yield (
        "the limit passes",
        state._replace(
            roster=roster._replace(
                is_old=bool(roster.token), outstanding=False, awaits_call=False
            ),
            on_way=() if rules.lost_at_limit and not state.held else state.on_way,
            accepted=0,
        ),
    )


def _vm_steps(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    if vm.phase == IDLE:
        if state.sent < rules.max_calls:
            yield from _read(state, v, rules)
    elif vm.phase == DECIDED:
        yield from _seal(state, v, rules)
    elif vm.phase == SEALED:
        if state.term == vm.term or not rules.check_pause:
            yield from _check_pause(state, v, rules)
    elif vm.phase == CHECKED:
        yield from _call(state, v, rules)
    elif vm.phase == CALLED:
        yield from _await_answer(state, v, rules)
    elif vm.phase == ACCEPTED:
        yield f"VM {v} counts the answer", _end(_with_answer(state, v, rules), v)
        yield f"VM {v} restarts", _end(state, v)
    else:
        yield from _give_up(state, v, rules)
    if vm.phase in (SEALED, CHECKED):
        giving_up = _with_vm(state, v, vm._replace(phase=GIVING_UP, term=0))
        yield f"VM {v} gives up before its call", giving_up


def _with_vm(state: State, v: int, vm: Vm, **changes: object) -> State:
    return state._replace(vms=put(state.vms, v, vm), **changes)


def _end(state: State, v: int) -> State:
    """Let a VM release its claim, or restart."""
    return _with_vm(state, v, Vm())


def _read(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    """Claim, read the roster and decide, unless a call is to be awaited.

    An earlier claim has been released or has lapsed.
    """
    roster = state.roster
    if roster.term + 1 == state.term and roster.token:
        roster = _roster_of(roster, state.term, rules)
    if roster.term != state.term or (rules.waits and _must_wait(roster, v, rules)):
        return
    is_outstanding = roster.outstanding and not roster.token
    if is_outstanding and not rules.primary_again:
        return
    vm = state.vms[v]
    state = state._replace(claim=v)
    newest = max(_tokens(state)) + 1
    decided = vm._replace(
        phase=DECIDED,
        term=state.term,
        token=newest,
        found_seal=bool(roster.token),
    )
    if roster.token and roster.is_old:
        other = decided._replace(other_endpoint=True)
        yield (
            f"VM {v} claims and chooses another endpoint, token {newest}",
            _with_vm(state, v, other),
        )
    if _may_repeat(state, v, roster, rules):
        decided = decided._replace(token=roster.token)
    yield (
        f"VM {v} claims and decides on token {decided.token}",
        _with_vm(state, v, decided),
    )


def _must_wait(roster: Roster, v: int, rules: Variant) -> bool:
    """Whether a call that this VM can't repeat may be on its way."""
    if roster.is_old:
        return False
    if not roster.token:
        return roster.awaits_call
    return roster.unanswered > 0 and (roster.holder != v or rules.waits_for_own)


def _may_repeat(state: State, v: int, roster: Roster, rules: Variant) -> bool:
    if not rules.repeats or not roster.token:
        return False
    if state.losses and rules.new_token_after_loss:
        return False
    return roster.holder == v or not rules.compares_holder


def _seal(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm, roster = state.vms[v], state.roster
    is_own = roster.token == vm.token and (
        roster.holder == v or not rules.compares_holder
    )
    failed = _with_vm(state, v, vm._replace(phase=GIVING_UP, term=0))
    yield f"VM {v} fails to seal the roster", failed if is_own else _end(state, v)
    if roster.token and roster.term + 1 == vm.term:
        roster = _roster_of(roster, vm.term, rules)
    if roster.term != vm.term or (rules.claim_at_seal and state.claim != v):
        return
    if not (is_own or roster.fence < vm.token):
        return
    is_again = bool(roster.token) and not vm.other_endpoint
    if roster.token == vm.token and not rules.counts_earlier:
        is_again = False
    unanswered = roster.unanswered + 1 if is_again else 1
    if unanswered > rules.max_unanswered:
        return
    sealed = roster._replace(
        holder=v,
        token=vm.token,
        unanswered=unanswered,
        is_repeated=is_again,
        is_old=False,
        fence=vm.token,
    )
    after = vm._replace(
        phase=SEALED,
        other_endpoint=False,
        is_stored=True,
    )
    label = f"VM {v} seals the roster of term {vm.term} with token {vm.token}"
    yield label, _with_vm(state, v, after, roster=sealed)


def _check_pause(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    checked = _with_vm(state, v, state.vms[v]._replace(phase=CHECKED, term=0))
    if rules.claim_at_call:
        yield from _call(checked, v, rules)
    else:
        yield f"VM {v} finds the members still paused", checked


def _call(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.sent == rules.max_calls or (rules.claim_at_call and state.claim != v):
        return
    vm = state.vms[v]
    called = vm._replace(phase=CALLED)
    after = _with_vm(state, v, called, sent=state.sent + 1)
    label = f"VM {v} calls with token {vm.token}"
    if rules.proof and rules.link_lasts:
        for outcome, arrived in _arrivals(after, v, rules):
            yield f"{label}; it {outcome}", arrived
    else:
        yield label, after


def _arrivals(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    arrived = _with_arrival(state, v, vm.token)
    accepted = _with_vm(arrived, v, vm._replace(phase=ACCEPTED, found_seal=False))
    yield "arrives, accepted", _with_accepted(accepted, rules)
    refused = _with_vm(arrived, v, vm._replace(phase=GIVING_UP))
    yield "arrives, refused", refused


def _await_answer(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    for outcome, arrived in _arrivals(state, v, rules):
        yield f"the call of VM {v} with token {vm.token} {outcome}", arrived
    on_way = tuple(sorted((*state.on_way, (v, vm.token))))
    unanswered = state._replace(on_way=on_way)
    yield f"VM {v} gets no answer", _end(unanswered, v)
    if not rules.resets_at_end:
        yield f"VM {v} is killed", _end(unanswered._replace(held=True), v)
    if not rules.answer_proves:
        counted = _with_answer(unanswered, v, rules)
        yield f"VM {v} counts an answer that is not the platform's", _end(counted, v)
    if not rules.unseals_arrived and not vm.found_seal:
        opened = _unsealed(unanswered, v)
        yield f"VM {v} gets no answer and takes its seal back", _end(opened, v)


def _give_up(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    yield f"VM {v} restarts", _end(state, v)
    if not vm.found_seal or not rules.unseals_first_only:
        yield f"VM {v} takes its seal back", _end(_unsealed(state, v), v)
    elif rules.counts_refused:
        counted = _with_answer(state, v, rules)
        yield f"VM {v} counts its call as answered", _end(counted, v)


def _has_seal(state: State, v: int) -> bool:
    return (state.roster.token, state.roster.holder) == (state.vms[v].token, v)


def _unsealed(state: State, v: int) -> State:
    if not _has_seal(state, v):
        return state
    roster = state.roster
    opened = Roster(
        roster.term,
        outstanding=roster.outstanding,
        awaits_call=roster.awaits_call,
        fence=roster.fence,
    )
    return state._replace(roster=opened)


def _with_answer(state: State, v: int, rules: Variant) -> State:
    is_counted = state.vms[v].is_stored or not rules.counts_announced
    if not _has_seal(state, v) or not is_counted:
        return state
    left = max(0, state.roster.unanswered - 1)
    return state._replace(roster=state.roster._replace(unanswered=left))


PROPERTIES: dict[str, Callable[[dict], bool]] = {
    "rising": lambda state: not state["fell"],
    "one_term": lambda state: not (state["roster"].term > 1 and state["roster"].token),
}
"""`rising`, and one that the protocol must refute because holders go on."""


def _check(
    rules: Variant,
    omitted_rule: str = "",
    expect_refuted: bool = True,
    prop: str = "rising",
) -> Check:
    rules = rules._replace(sort=not expect_refuted)
    model = protocol(
        "promotion_calls",
        State(),
        lambda state: _steps(state, rules),
        **{prop: PROPERTIES[prop]},
    )
    return Check("promotion_calls", prop, model, omitted_rule, expect_refuted)


_BASE = Variant()
_FOUR_CALLS = Variant(max_calls=4)
_NO_WAIT = Variant(waits=False, link_lasts=True, claim_at_call=True)
"""A link that answered stays, and a holder calls at once or not at all."""
_RESTORED = Variant(max_calls=2, max_unanswered=2, max_term=1, restores=1)
_RESTORED_LINK = _RESTORED._replace(
    link_lasts=True, claim_at_call=True, sealed_copy=True
)

CHECKS = [
    _check(_BASE, expect_refuted=False),
    _check(
        Variant(max_calls=5, max_term=4),
        "nothing; five calls and four terms",
        expect_refuted=False,
    ),
    _check(
        _BASE,
        "nothing; a roster of a later term is sealed",
        prop="one_term",
    ),
    # The proof on the connection.
    _check(
        _BASE._replace(proof=False),
        "the proof on the connection; the wait is enough",
        expect_refuted=False,
    ),
    _check(
        _NO_WAIT,
        "the wait for an unanswered call; a link that answered stays",
        expect_refuted=False,
    ),
    _check(
        _NO_WAIT._replace(proof=False),
        "the proof on the connection, and the wait for an unanswered call",
    ),
    _check(
        _NO_WAIT._replace(link_lasts=False),
        "the wait for an unanswered call (a link falls silent after the proof)",
    ),
    _check(
        _NO_WAIT._replace(claim_at_call=False),
        "the call at once after the claim was asked for, and the wait",
    ),
    # Premises of the wait.
    _check(
        _BASE._replace(lost_at_limit=False),
        "the limit (a call arrives after it)",
    ),
    _check(
        _BASE._replace(resets_at_end=False),
        "the reset of a killed process's connection (its call is held up longer)",
    ),
    _check(
        _BASE._replace(answer_proves=False),
        "the count after the arrival (an answer is not the platform's, as a gateway's)",
    ),
    _check(
        _BASE._replace(outside_call=True),
        "terms that only holders begin (an outside call begins one)",
    ),
    # Rules.
    _check(_BASE._replace(waits=False), "the wait for an unanswered call"),
    _check(
        _BASE._replace(repeats=False),
        "the repeat under the same token (a VM repeats its call under a new one)",
    ),
    _check(
        _BASE._replace(repeats=False, waits_for_own=True),
        "the repeat; a VM awaits its own call, too",
        expect_refuted=False,
    ),
    _check(
        _BASE._replace(compares_holder=False),
        "the holder in the seal (another VM repeats the call under its token)",
    ),
    _check(
        _BASE._replace(next_term_waits=False),
        "the next term's wait after a repeated call",
    ),
    _check(
        _BASE._replace(check_pause=False),
        "the check of the pauses after the seal, with three calls",
        expect_refuted=False,
    ),
    _check(
        _FOUR_CALLS._replace(check_pause=False),
        "the check of the pauses after the seal",
    ),
    _check(
        _FOUR_CALLS._replace(keeps_outstanding=False),
        "the next term's wait after a call that was outstanding before the seal",
    ),
    _check(
        _FOUR_CALLS._replace(keeps_outstanding=False, primary_again=False),
        "this wait; no demoted primary is chosen while it is outstanding",
        expect_refuted=False,
    ),
    _check(
        _FOUR_CALLS._replace(next_term_waits=False, primary_again=False),
        "the next term's wait; no demoted primary is chosen while it is outstanding",
        expect_refuted=False,
    ),
    _check(
        _FOUR_CALLS._replace(later_term_waits=False),
        "the wait in terms after the next (two repeated calls each begin a term)",
    ),
    _check(
        _BASE._replace(keeps_outstanding=False, later_term_waits=False),
        "both of these waits, with three calls",
        expect_refuted=False,
    ),
    _check(
        _BASE._replace(counts_announced=False),
        "the stored seal of the call that is counted (one without a seal is counted)",
    ),
    _check(
        _BASE._replace(counts_earlier=False),
        "the count of earlier calls (a restarted VM's repeat counts as the first call)",
    ),
    _check(
        _BASE._replace(counts_refused=False),
        "the count of a repeated call that was refused; it only shortens the wait",
        expect_refuted=False,
    ),
    _check(
        _BASE._replace(unseals_first_only=False),
        "the seal after a refused repeat (the first call may be on its way)",
    ),
    _check(
        _BASE._replace(unseals_arrived=False),
        "the seal of a call that may be on its way",
    ),
    _check(
        _BASE._replace(claim_at_seal=False),
        "the claim in the seal's transaction",
    ),
    # A store that comes back from an older copy.
    _check(_RESTORED, "a store that loses nothing (the copy has no seal)"),
    _check(
        _RESTORED_LINK,
        "a store that loses nothing; calls arrive at once, and VMs notice the loss",
        expect_refuted=False,
    ),
    _check(
        _RESTORED_LINK._replace(
            repeats=False, waits_for_own=True, new_token_after_loss=False
        ),
        "a store that loses nothing; calls arrive at once, and none is repeated",
        expect_refuted=False,
    ),
    _check(
        _RESTORED_LINK._replace(new_token_after_loss=False),
        "a new token after a loss (the copy's seal is repeated below a later token)",
    ),
]
