"""Fencing tokens of one group, with a store that comes back from an older copy.

`rising`: no call reaches the platform with a token below one before it. `unique`: no
two VMs call under the same token. `ordered`: both. `across_terms`: `rising` for a call
that replaces the primary of a later term than the calls before it.

A VM claims the right to promote, asks the endpoints and reads the roster, pauses the
members, seals the roster, and calls. It may stand still, restart, or give up between
any two steps. The store keeps the claim and the roster with the highest token. It takes
a copy at any time and comes back from it, which the VMs in `noticed` notice. It then
gives out the same revisions and leases again; here a claim's revision is its lease, and
only claims count. The platform accepts or refuses a call. An accepted call takes effect
at any later time or never, also if the endpoints have begun a later term.

A token of the design "wall" is the store's era, as the VM knows it, then the term that
the pause is for, then the wall clock, but higher than all tokens that the VM knows. A
VM knows the tokens that it has read or written since it started. The endpoints may
start again with nothing, so from term 1. Labels show a token as term and what is below
it.

Time exists as the wall clock and as these premises, each of which a variant leaves out:
- A holder has called or given up when its claim's lease ends (`in_lease`).
- A holder that finds the members paused, or the roster sealed, waits until the holder
  that paused them has called or given up (`waits`). It only matters if the store lost
  a claim. `PENDING_PROMOTION_WAIT_S` is longer than `MAX_CLAIM_AGE_S` and a call.
- A holder calls as soon as it has found the members still paused (`check_pause`).
- The wall clock ticks between two claims (`fine_clock`).
- Wall clocks agree (`ahead`: how far that of VM 0 is ahead).
- The claim of the seal's transaction and of a release is the holder's own, not one that
  another VM got under the same revision and lease (`own_claim`).

Left out: members that restart and forget a pause, calls that overtake one another on
their way, rosters without the endpoint that was promoted, a wall clock that jumps.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

VMS = (0, 1)
TERM_FACTOR = 16
"""A token's term counts for more than any number of ticks, claims and eras."""
ERA_FACTOR = 8
"""The store's era counts for more than any number of ticks, in a variant."""
ERA_ABOVE_FACTOR = 256
"""The store's era counts for more than any term."""
MAX_TERM = 3

IDLE, CLAIMED, ASKED, PAUSED, SEALED, UNSEALING, RELEASING = range(7)
"""What a VM has done; a VM that unseals was refused or gives up."""
_HAS_PAUSED = (PAUSED, SEALED)


class Claim(NamedTuple):
    """A claim, as the store keeps it and as its holder knows it."""

    attempt: int
    """Identifies the claim; the store's comparisons of revisions do not tell it."""
    revision: int


_ENDED = Claim(-1, 0)
"""A claim that its holder does not use any more."""


class Store(NamedTuple):
    """The content of the store."""

    revision: int = 0
    claim: Claim | None = None
    term: int = 1
    """The roster's term."""
    seal: int = 0
    """Token of the seal, or 0."""
    fence: int = 0
    """Highest token of the group, as the roster keeps it."""


class Vm(NamedTuple):
    """What a VM knows and does."""

    phase: int = IDLE
    claim: Claim | None = None
    losses: int = 0
    """Losses of the store before the claim."""
    term: int = 1
    """Term that is replaced."""
    is_pending: bool = False
    """Whether a call of an earlier holder may be outstanding."""
    token: int = 0
    """The token; the highest one that the VM knew, until it has one."""
    known: int = 0
    """Highest token that this VM has read or written since its start."""


class State(NamedTuple):
    """The endpoints, the store and its copy, the VMs, and what the platform saw."""

    term: int = 1
    held: int = 0
    """Term for which the members are paused, or 0."""
    store: Store = Store()
    copy: Store | None = None
    vms: tuple[Vm, ...] = (Vm(),) * len(VMS)
    attempts: int = 0
    losses: int = 0
    clock: int = 0
    calls: int = 0
    accepted: int = 0
    """Calls that may take effect."""
    highest: int = 0
    """Highest token that reached the platform."""
    caller: int = -1
    """The VM that called under it."""
    highest_term: int = 0
    """The term that this call was to replace."""
    forgotten: int = 0
    """How often the endpoints started again with nothing."""
    fell: bool = False
    fell_across: bool = False
    """Whether the token of a later term was lower."""
    shared: bool = False


class Variant(NamedTuple):
    """The design, its rules and premises, and bounds."""

    design: str = "wall"
    """`revision`, `term_revision` or `wall`."""
    noticed: frozenset[int] = frozenset()
    """VMs that notice a loss of the store."""
    sort: bool = False
    """Whether states are the same but for the VMs' numbers, which labels then mix."""
    restores: int = 1
    max_attempts: int = 3
    max_calls: int = 2
    max_clock: int = 1
    ahead: int = 0
    restarts: bool = True
    in_lease: bool = True
    waits: bool = True
    fine_clock: bool = True
    read_by_all: bool = False
    """Whether all VMs have read the store's last token before a copy replaces it."""
    own_claim: bool = True
    own_seal: bool = True
    """Whether a holder tells its seal from another one's with the same token."""
    check_pause: bool = True
    claim_at_call: bool = False
    """Whether the store is asked for the claim, and the call follows at once."""
    pause_term: bool = True
    """Whether the term is that of the paused members, not of the VM's last attempt."""
    remember: bool = True
    """Whether a VM remembers the tokens that it has read or written."""
    merge_keeps: bool = True
    unseal_keeps: bool = True
    next_term_keeps: bool = True
    compare_at_seal: bool = True
    claim_at_seal: bool = True
    forgets: int = 0
    """How often the endpoints may start again with nothing; from term 2 on, with a copy
    of the store of term 1."""
    era: str = "above"
    """Whether the store's era is `above` or `below` the term, or `none`."""
    wall_clock: bool = True
    term_above: bool = True
    """Whether the term is above the seconds, not below them."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for label, after in _all_steps(state, rules):
        yield label, _without_the_past(after, rules)


def _without_the_past(state: State, rules: Variant) -> State:
    """Return the state without what no further step depends on."""
    is_last = state.attempts == rules.max_attempts
    is_over = is_last and all(vm.phase in (IDLE, RELEASING) for vm in state.vms)
    if is_over or state.calls == rules.max_calls:
        return State(
            calls=rules.max_calls,
            fell=state.fell,
            fell_across=state.fell_across,
            shared=state.shared,
        )
    if not rules.own_claim:
        return state
    live = [vm.claim for vm in state.vms]
    store, copy = state.store, state.copy
    if store.claim is not None and store.claim not in live:
        store = store._replace(claim=_ENDED)
    if copy is not None and copy.claim is not None and copy.claim not in live:
        copy = copy._replace(claim=_ENDED)
    state = state._replace(store=store, copy=copy)
    return _sorted(state) if rules.sort else state


def _sorted(state: State) -> State:
    """Return the state with the VMs in an order that depends on what they do only."""
    first, second = state.vms
    if _sort_key(first) <= _sort_key(second):
        return state
    caller = 1 - state.caller if state.caller in VMS else state.caller
    return state._replace(vms=(second, first), caller=caller)


def _sort_key(vm: Vm) -> tuple:
    return vm.phase, vm.claim or (), vm[2:]


def _all_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.calls == rules.max_calls:
        return
    yield from _store_steps(state, rules)
    if state.accepted and state.term < MAX_TERM:
        yield (
            f"a promotion takes effect and begins term {state.term + 1}",
            state._replace(term=state.term + 1, accepted=state.accepted - 1),
        )
    if state.forgotten < rules.forgets and state.term > 1:
        yield (
            "the endpoints start again with nothing",
            state._replace(term=1, held=0, accepted=0, forgotten=state.forgotten + 1),
        )
    if state.clock < rules.max_clock and not rules.fine_clock:
        yield "the wall clocks tick", state._replace(clock=state.clock + 1)
    for v in VMS:
        yield from _vm_steps(state, v, rules)


def _store_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    store = state.store
    if state.losses < rules.restores:
        if state.copy is None:
            yield "the store takes a copy", state._replace(copy=store)
        elif state.copy != store and _may_lose(state, rules):
            keeps_copy = state.losses + 1 < rules.restores
            yield (
                "the store comes back from its copy",
                state._replace(
                    store=state.copy,
                    copy=state.copy if keeps_copy else None,
                    losses=state.losses + 1,
                ),
            )
    is_used = any(vm.claim == store.claim for vm in state.vms)
    if store.claim is not None and not (is_used and rules.in_lease):
        yield (
            "the lease of the stored claim ends",
            state._replace(store=store._replace(claim=None)),
        )


def _may_lose(state: State, rules: Variant) -> bool:
    fence = state.store.fence
    return not rules.read_by_all or all(vm.known >= fence for vm in state.vms)


def _vm_steps(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm, store = state.vms[v], state.store
    # One that restarts before it pauses is like one that gives up, and then restarts.
    is_seen = vm.known if vm.phase == IDLE else vm.phase >= PAUSED
    if rules.restarts and is_seen:
        term = 1 if rules.pause_term else vm.term
        yield f"VM {v} restarts", _with_vm(state, v, Vm(term=term))
    yield from _roster_steps(state, v, rules)
    if vm.phase == IDLE:
        if store.claim is None and state.attempts < rules.max_attempts:
            yield (
                f"VM {v} claims revision {store.revision + 1}",
                _claim(state, v, rules),
            )
    elif vm.phase == CLAIMED:
        yield f"VM {v} reads the roster and asks the endpoints", _ask(state, v, rules)
    elif vm.phase == ASKED:
        if _may_pause(state, v, rules):
            yield from _pause(state, v, rules)
    elif vm.phase == PAUSED:
        yield from _seal(state, v, rules)
    elif vm.phase == SEALED:
        if _may_call(state, v, rules):
            yield from _call(state, v, rules)
    elif vm.phase == UNSEALING:
        yield f"VM {v} unseals and resumes", _unseal(state, v, rules)
    else:
        yield f"VM {v} releases its claim", _release(state, v, rules)
    if vm.phase in (ASKED, PAUSED, SEALED):
        after = vm._replace(phase=UNSEALING if vm.phase > ASKED else RELEASING)
        ended = _with_vm(state, v, after)
        if after.phase == RELEASING:
            ended = _end(ended, v, rules)
        yield f"VM {v} gives up", ended


def _with_vm(state: State, v: int, vm: Vm, **changes: object) -> State:
    return state._replace(vms=put(state.vms, v, vm), **changes)


def _with_known(vm: Vm, token: int) -> Vm:
    return vm._replace(known=max(vm.known, token))


def _roster_steps(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    """Yield reads, merges and rosters of later terms, which any VM may write."""
    store, vm = state.store, state.vms[v]
    if store.fence > vm.known and rules.design == "wall":
        after = _with_known(vm, store.fence)
        yield f"VM {v} reads the roster", _with_vm(state, v, after)
    if store.term < state.term:
        known = vm.known if rules.remember else 0
        fence = max(store.fence, known) if rules.next_term_keeps else 0
        stored = store._replace(term=state.term, seal=0, fence=fence)
        yield (
            f"VM {v} stores the roster of term {state.term}",
            state._replace(store=stored),
        )
    if not rules.merge_keeps and not store.seal and store.fence:
        stored = store._replace(fence=0)
        yield f"VM {v} merges what it saw", state._replace(store=stored)


def _claim(state: State, v: int, rules: Variant) -> State:
    # Without a use for them, revisions and losses would only multiply the states.
    has_revisions = rules.design != "wall" or not rules.own_claim
    revision = state.store.revision + 1 if has_revisions else 0
    claim = Claim(state.attempts, revision)
    losses = state.losses if v in rules.noticed else 0
    vm = state.vms[v]._replace(phase=CLAIMED, claim=claim, losses=losses)
    stored = state.store._replace(revision=revision, claim=claim)
    return _with_vm(
        state,
        v,
        vm,
        store=stored,
        attempts=state.attempts + 1,
        clock=state.clock + rules.fine_clock,
    )


def _ask(state: State, v: int, rules: Variant) -> State:
    vm, store = state.vms[v], state.store
    term = state.term if rules.pause_term else vm.term
    is_pending = state.held > state.term or bool(store.seal)
    vm = _with_known(vm, store.fence)
    known = vm.known if rules.remember else store.fence
    vm = vm._replace(phase=ASKED, term=term, is_pending=is_pending, token=known)
    return _with_vm(state, v, vm)


def _may_pause(state: State, v: int, rules: Variant) -> bool:
    """Whether the holder has waited for an earlier one, if it has to."""
    if not rules.waits or not state.vms[v].is_pending:
        return True
    return not any(w.phase in _HAS_PAUSED for w in state.vms if w != state.vms[v])


def _pause(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    if rules.pause_term and vm.term != state.term:
        return  # A member of a later term refuses.
    token = _token(state, v, rules)
    yield (
        f"VM {v} pauses the members for term {vm.term + 1}; token {_text(token)}",
        _with_vm(
            state,
            v,
            vm._replace(phase=PAUSED, token=token),
            held=max(state.held, vm.term + 1),
        ),
    )


def _token(state: State, v: int, rules: Variant) -> int:
    vm = state.vms[v]
    revision = vm.claim.revision + (
        TERM_FACTOR * vm.losses if v in rules.noticed else 0
    )
    if rules.design == "revision":
        return revision
    if rules.design == "term_revision":
        return TERM_FACTOR * TERM_FACTOR * (vm.term + 1) + revision
    clock = state.clock + (rules.ahead if v == 0 else 0) if rules.wall_clock else 0
    era = vm.losses if v in rules.noticed else 0
    if rules.era == "below":
        clock += ERA_FACTOR * era
    elif rules.era == "above":
        clock += ERA_ABOVE_FACTOR * era
    if rules.term_above:
        return max(TERM_FACTOR * (vm.term + 1) + clock, vm.token + 1)
    return max(TERM_FACTOR * clock + vm.term + 1, vm.token + 1)


def _text(token: int) -> str:
    return f"{token // TERM_FACTOR}.{token % TERM_FACTOR}"


def _has_claim(state: State, v: int, rules: Variant) -> bool:
    """Whether a comparison with the holder's claim succeeds at the store."""
    vm, stored = state.vms[v], state.store.claim
    if stored is None or (v in rules.noticed and vm.losses != state.losses):
        return False
    if rules.own_claim:
        return stored == vm.claim
    return stored.revision == vm.claim.revision


def _seal(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm, store = state.vms[v], state.store
    label = f"VM {v} seals the roster with {_text(vm.token)}"
    if store.seal == vm.token and not rules.own_seal:
        # Taken for an earlier attempt, whose answer was lost.
        sealed = vm._replace(phase=SEALED)
        yield f"VM {v} finds its token in the seal", _with_vm(state, v, sealed)
        return
    if store.term != vm.term or (
        rules.claim_at_seal and not _has_claim(state, v, rules)
    ):
        return
    is_wall = rules.design == "wall"
    if is_wall and rules.compare_at_seal and store.fence >= vm.token:
        return
    fence = max(store.fence, vm.token) if is_wall else 0
    sealed = _with_known(vm._replace(phase=SEALED), fence)
    stored = store._replace(seal=vm.token, fence=fence)
    yield label, _with_vm(state, v, sealed, store=stored)


def _may_call(state: State, v: int, rules: Variant) -> bool:
    term = state.vms[v].term
    is_own_term = state.term == term or not rules.pause_term
    if rules.check_pause and not (state.held > term and is_own_term):
        return False
    return not rules.claim_at_call or _has_claim(state, v, rules)


def _call(state: State, v: int, rules: Variant) -> Iterator[tuple[str, State]]:
    vm = state.vms[v]
    fell = vm.token < state.highest
    called = state._replace(
        calls=state.calls + 1,
        highest=max(state.highest, vm.token),
        caller=v if vm.token >= state.highest else state.caller,
        highest_term=vm.term if vm.token >= state.highest else state.highest_term,
        fell=state.fell or fell,
        fell_across=state.fell_across or (fell and vm.term > state.highest_term),
        shared=state.shared or (vm.token == state.highest and v != state.caller),
    )
    label = f"VM {v} calls with {_text(vm.token)}"
    accepted = vm._replace(phase=RELEASING)
    yield (
        f"{label}, accepted",
        _end(
            _with_vm(called, v, accepted, accepted=min(state.accepted + 1, 2)),
            v,
            rules,
        ),
    )
    yield f"{label}, refused", _with_vm(called, v, vm._replace(phase=UNSEALING))


def _unseal(state: State, v: int, rules: Variant) -> State:
    """Remove the holder's seal, and resume if the store still has the claim."""
    vm, store = state.vms[v], state.store
    if store.seal == vm.token and not vm.is_pending:
        fence = store.fence if rules.unseal_keeps else 0
        store = store._replace(seal=0, fence=fence)
    may_resume = _has_claim(state, v, rules) and not vm.is_pending and not store.seal
    held = 0 if may_resume else state.held
    after = vm._replace(phase=RELEASING)
    return _end(_with_vm(state, v, after, store=store, held=held), v, rules)


def _end(state: State, v: int, rules: Variant) -> State:
    """Release the claim at once if a late release would not touch another one."""
    return _release(state, v, rules) if rules.own_claim else state


def _release(state: State, v: int, rules: Variant) -> State:
    """End the claim's lease, which may be another VM's by now."""
    store = state.store
    if _has_claim(state, v, rules):
        store = store._replace(claim=None)
    vm = state.vms[v]
    after = Vm(
        term=1 if rules.pause_term else vm.term,
        known=vm.known,
    )
    return _with_vm(state, v, after, store=store)


PROPERTIES: dict[str, Callable[[dict], bool]] = {
    "rising": lambda state: not state["fell"],
    "across_terms": lambda state: not state["fell_across"],
    "ordered": lambda state: not state["fell"] and not state["shared"],
    "unique": lambda state: not state["shared"],
}


def _check(
    rules: Variant,
    omitted_rule: str = "",
    expect_refuted: bool = True,
    prop: str = "rising",
) -> Check:
    model = protocol(
        "fencing_tokens",
        _INITIAL_IN_TERM_2 if rules.forgets else State(),
        lambda state: _steps(state, rules),
        **{prop: PROPERTIES[prop]},
    )
    return Check("fencing_tokens", prop, model, omitted_rule, expect_refuted)


_INITIAL_IN_TERM_2 = State(term=2, store=Store(term=2), copy=Store())
_ALL = frozenset(VMS)
_WALL = Variant(restarts=False)
_THREE_CALLS = _WALL._replace(max_calls=3)
_KEPT = _THREE_CALLS._replace(restores=0)
"""The store loses nothing."""
_SECONDS = _KEPT._replace(fine_clock=False)
_BENT_KEPT = _KEPT._replace(ahead=2)
_BENT = _WALL._replace(ahead=2)
_READ = _BENT._replace(read_by_all=True)
_FORGET = Variant(noticed=_ALL, forgets=1, claim_at_call=True, sort=True)

CHECKS = [
    _check(_THREE_CALLS._replace(sort=True), expect_refuted=False, prop="ordered"),
    _check(
        Variant(sort=True),
        "nothing; VMs restart",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _SECONDS._replace(sort=True),
        "a wall clock that ticks between two claims; the roster is enough",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _BENT_KEPT,
        "wall clocks that agree; the roster is enough",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _BENT,
        "wall clocks that agree; the term is enough if it has risen",
        expect_refuted=False,
        prop="across_terms",
    ),
    _check(
        _READ,
        "wall clocks that agree; a lost token that all VMs have read",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _BENT._replace(noticed=_ALL),
        "wall clocks that agree; all VMs notice the loss",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _FORGET,
        "the terms of the endpoints, which start again with nothing",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(noticed=frozenset({0})),
        "the era at one of the VMs; the roster is enough",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(waits=False, claim_at_call=True, sort=True),
        "the wait for an earlier holder; the claim is asked for right before the call",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(
            merge_keeps=False,
            unseal_keeps=False,
            next_term_keeps=False,
            remember=False,
            sort=True,
        ),
        "the roster's token and the memory of tokens; term and clock are enough",
        expect_refuted=False,
        prop="ordered",
    ),
    # Other designs.
    _check(
        _WALL._replace(design="revision", noticed=_ALL),
        "the term; all VMs notice the loss",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(design="revision", noticed=frozenset({0})),
        "the term (the token is the revision, and one VM does not notice the loss)",
    ),
    _check(
        _WALL._replace(design="revision"),
        "the term (the token is the revision, and no VM notices the loss)",
    ),
    _check(
        _WALL._replace(design="term_revision"),
        "the wall clock (the revision is below the term, and no VM notices the loss)",
    ),
    # Premises.
    _check(
        _THREE_CALLS._replace(check_pause=False),
        "the call at once after the check of the pauses",
    ),
    _check(
        _WALL._replace(waits=False),
        "the wait for an earlier holder (a decision takes longer than the wait)",
    ),
    _check(
        _KEPT._replace(in_lease=False, waits=False),
        "the call within the lease (a frozen sender), without a loss of the store",
    ),
    _check(
        _WALL._replace(fine_clock=False),
        "a wall clock that ticks between two claims",
        prop="unique",
    ),
    _check(_BENT, "wall clocks that agree; the last token of the term is lost"),
    _check(
        _READ._replace(restarts=True),
        "the memory of tokens over a restart, wall clocks that agree",
    ),
    _check(
        _WALL._replace(own_claim=False),
        "the comparison of the claim's value (a revision and a lease are reused)",
    ),
    # Rules.
    _check(
        _WALL._replace(own_seal=False),
        "the holder in the seal (another's seal with the same token is taken for own)",
        prop="unique",
    ),
    _check(
        _THREE_CALLS._replace(pause_term=False),
        "the term of the paused members (that of the VM's last attempt is taken)",
    ),
    _check(
        _READ._replace(remember=False),
        "the memory of tokens",
    ),
    _check(
        _BENT_KEPT._replace(merge_keeps=False),
        "the roster's token after a merge",
    ),
    _check(
        _BENT_KEPT._replace(unseal_keeps=False),
        "the roster's token after a refused call",
    ),
    _check(
        _BENT_KEPT._replace(next_term_keeps=False),
        "the roster's token in the next term's roster; the term is enough",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(compare_at_seal=False, sort=True),
        "the comparison with the token read at the seal; the claim is enough",
        expect_refuted=False,
        prop="ordered",
    ),
    _check(
        _WALL._replace(claim_at_seal=False),
        "the claim in the seal's transaction",
    ),
    _check(_WALL._replace(wall_clock=False), "the wall clock"),
    _check(
        _BENT._replace(noticed=_ALL, era="none"),
        "the store's era (all VMs notice the loss, wall clocks differ)",
    ),
    _check(
        _FORGET._replace(era="below"),
        "the store's era above the term (the endpoints and the store lose all)",
    ),
    _check(
        _FORGET._replace(noticed=frozenset()),
        "an era that tells the loss (the endpoints and the store lose all)",
    ),
    _check(
        _BENT._replace(term_above=False),
        "the term above the wall clock (it is below, and wall clocks differ)",
        prop="across_terms",
    ),
]
