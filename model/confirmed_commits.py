"""Commits that a witness confirms, and the promotion that must keep them.

Endpoint 0 is the primary of term 1, endpoints 1 and 2 are the members of its stored
roster, and endpoint 3 is a replica that may join. W is a commit of term 1. A VM
confirms W once a witness said that it has received W. `kept`: the promoted endpoint has
W if W is confirmed, before the promotion or later.

The holder of the claim reads the roster, checks that all its members are paused,
chooses the one with the highest log, and seals the roster in a transaction that fails
if the claim or the roster changed. It then asks all paused replicas again. If all are
still paused with the same positions, it calls, and the promotion takes effect at any
time after that, or the call is refused. Otherwise it gives up. A holder that gives up
or whose call was refused removes its seal, unless it had found one: an earlier call may
be outstanding then, and the holder chooses the endpoint in that seal.

The holder may stand still between any two steps, and another one take the claim; the
new holder starts anew, and the old one's transaction and call fail. It may still remove
its seal if no other holder has sealed the roster since. The read of the roster and the
choice are one step: the roster never returns to an earlier value, and the seal fails if
it changed. Pauses and the demotion may arrive at any time, from any holder.

Endpoint 2 may drain and leave with its log. The VM that confirms learns of the drain
before the endpoint leaves; another VM may remove the endpoint from the roster. An ended
member counts until it is removed. The floor is the position of the primary, asked after
the member ended, or the member's own, asked when all VMs knew of the drain; without
either the member is not removed. What voting VMs saw confirmed is left out, because the
VM that confirmed W need not vote.

A restart drops the pause and closes the connections. A new connection is fresh: a
replica is no witness on it until the VM has read the roster after the connection was
opened, and found it unsealed. Any later seal is followed by a check that finds the
pause missing. Instead of that check, the VM may wait before the read for the longest
time from a holder's choice to its seal. Alternatively all members are asked after one
of them reported W, and all answer that they are not paused; this holds for restarts of
one member only, unless the roster is found unsealed after the answers.

Left out: a VM that doesn't know of the drain (a subject of unread_register), a store
that comes back from an older copy, and the end of a seal whose limit has passed, which
is a subject of late_promotion.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

REPLICAS = (1, 2, 3)
LEAVING = 2
"""The replica that may drain and leave."""
JOINING = 3
"""The replica that may join after the roster was stored."""
NOBODY = -1
IDLE, CHOSEN, SEALED = range(3)
"""Steps of the holder of the claim."""
UNSEEN, WITHOUT_W, WITH_W = range(3)
"""Positions that a VM may have seen."""
RUNS, DRAINS, DRAIN_KNOWN, LEFT = range(4)
"""States of the leaving replica; in the third, the VM that confirms knows of it."""


class Roster(NamedTuple):
    """The stored roster; `members` are the replicas of term 1."""

    members: frozenset[int] = frozenset({1, 2})
    removed: bool = False
    """Whether the leaving replica was removed."""
    floor: bool = False
    """Whether the floor includes W."""


class Holder(NamedTuple):
    """The holder of the claim, what it found and whom it chose."""

    step: int = IDLE
    roster: Roster = Roster()
    found: int = NOBODY
    """The endpoint in the seal that the holder found."""
    chosen: int = NOBODY
    paused: frozenset[int] = frozenset()
    """Paused replicas; after the seal, those that have not been asked again."""
    with_w: frozenset[int] = frozenset()
    """Those of them that had W."""


class State(NamedTuple):
    """The tuples of four hold a value per endpoint."""

    has_w: tuple[bool, bool, bool, bool] = (False, False, False, False)
    paused: tuple[bool, bool, bool, bool] = (False, False, False, False)
    fresh: tuple[bool, bool, bool, bool] = (False, False, False, False)
    """Whether the connection to the replica is fresh."""
    joined: bool = False
    leaving: int = RUNS
    sight: int = UNSEEN
    """What the VM that removes the leaving replica saw before the end."""
    roster: Roster = Roster()
    vm_members: frozenset[int] = frozenset({1, 2})
    """Members that the VM that confirms has read or written."""
    reported: int = NOBODY
    """The member that reported W before the others were asked."""
    unpaused: frozenset[int] = frozenset()
    """Members that answered that they are not paused."""
    holder: Holder = Holder()
    sealed: int = NOBODY
    """The endpoint in the seal."""
    removable: bool = False
    """Whether the holder that wrote the seal found none, and may remove it."""
    called: int = NOBODY
    """The endpoint that a call may still promote."""
    has_read: bool = False
    """Whether the VM read the unsealed roster at any time, if that is enough."""
    demoted: bool = False
    promoted: int = NOBODY
    confirmed: bool = False


class Variant(NamedTuple):
    """Rules that may be left out, and what may happen."""

    require_witness: bool = True
    require_member: bool = True
    exclude_draining: bool = True
    exclude_fresh: bool = True
    read_on_reconnect: bool = True
    """Whether a fresh connection counts only after a read of the unsealed roster."""
    read_after_open: bool = True
    """Whether that read must follow the opening of the connection."""
    check_after_seal: bool = True
    """Whether the holder checks the pauses between the seal and the call."""
    check_positions: bool = True
    """Whether that check compares the positions, too."""
    bounded_seal: bool = False
    """Whether the VM waits on a fresh connection, before that read, for as long as a
    holder takes from the choice to the seal."""
    calls_again: bool = False
    """Whether holders go on while a call is outstanding."""
    keep_found_seal: bool = True
    """Whether a holder that gives up keeps a seal that it found."""
    floor_source: str = "either"
    """Also "primary" (its position after the member's end), "drain" (the member's
    position when all VMs know of the drain), "sight" (that position at any time),
    "earlier" (the primary's position before that end) and "" (no floor)."""
    remove_ended: bool = True
    """Whether an ended member counts until it is removed."""
    reread_roster: bool = True
    seal_refuses_members: bool = True
    choose_highest: bool = True
    choose_demoted: bool = True
    agreement: str = ""
    """Whether the answers of all members are enough on fresh connections: "" (no),
    "ordered" (the others are asked after the report), "unordered", "received" (all
    report W), or "unsealed" (like "ordered", and the roster is unsealed afterwards)."""
    joins: bool = True
    drains: bool = True
    restarts: tuple[int, ...] = ()
    """The replicas that may restart."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.promoted != NOBODY and (state.confirmed or state.has_w[state.promoted]):
        return
    yield from _commit_steps(state)
    yield from _confirm_steps(state, rules)
    yield from _agreement_steps(state, rules)
    yield from _replica_steps(state, rules)
    if rules.drains:
        yield from _drain_steps(state, rules)
    yield from _roster_steps(state, rules)
    if state.promoted != NOBODY:
        return
    yield from _command_steps(state)
    if state.called == NOBODY or rules.calls_again:
        yield from _holder_steps(state, rules)
    yield from _seal_steps(state)


def _is_lost(state: State) -> bool:
    return (
        state.confirmed and state.promoted != NOBODY and not state.has_w[state.promoted]
    )


def _is_present(state: State, replica: int) -> bool:
    if replica == JOINING:
        return state.joined
    return replica != LEAVING or state.leaving != LEFT


def _in_term_1(state: State, replica: int) -> bool:
    return _is_present(state, replica) and replica != state.promoted


def _commit_steps(state: State) -> Iterator[tuple[str, State]]:
    if state.demoted or state.promoted == 0:
        return
    if not state.has_w[0]:
        yield "W commits at e0", state._replace(has_w=put(state.has_w, 0, True))
        return
    for r in REPLICAS:
        if _in_term_1(state, r) and not state.paused[r] and not state.has_w[r]:
            yield f"e{r} receives W", state._replace(has_w=put(state.has_w, r, True))


def _confirm_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.confirmed:
        return
    for r in REPLICAS:
        if not state.has_w[r] or not _in_term_1(state, r):
            continue
        if not rules.require_witness:
            yield "e0 acknowledges W; W is confirmed", _confirmed(state)
        elif _may_testify(state, rules, r) and not (
            rules.exclude_fresh and state.fresh[r]
        ):
            yield f"W is confirmed by e{r}", _confirmed(state)


def _confirmed(state: State) -> State:
    """Confirm W, and forget what matters to the confirmation only."""
    return state._replace(
        confirmed=True,
        fresh=State().fresh,
        vm_members=frozenset(),
        reported=NOBODY,
        unpaused=frozenset(),
        has_read=False,
    )


def _may_testify(state: State, rules: Variant, replica: int) -> bool:
    """Whether the replica is a witness, apart from the age of the connection."""
    if state.paused[replica]:
        return False
    if rules.require_member and replica not in state.vm_members:
        return False
    draining = replica == LEAVING and state.leaving == DRAIN_KNOWN
    return not (rules.exclude_draining and draining)


def _agreement_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if not rules.agreement or state.confirmed or not state.has_w[0]:
        return
    members = [r for r in state.vm_members if _in_term_1(state, r)]
    for r in members:
        may_report = state.reported == NOBODY and state.has_w[r]
        if may_report and _may_testify(state, rules, r):
            yield f"e{r} reports W", state._replace(reported=r)
        if state.paused[r] or r in state.unpaused:
            continue
        asked = state.reported != NOBODY or rules.agreement == "unordered"
        if asked and (state.has_w[r] or rules.agreement != "received"):
            unpaused = state.unpaused | {r}
            yield f"e{r} says it isn't paused", state._replace(unpaused=unpaused)
    is_sealed = rules.agreement == "unsealed" and state.sealed != NOBODY
    have_answered = state.reported != NOBODY and state.vm_members <= state.unpaused
    if have_answered and not is_sealed:
        yield "W is confirmed by all members", _confirmed(state)


def _replica_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if rules.joins and not state.joined:
        fresh = put(state.fresh, JOINING, not state.confirmed)
        yield f"e{JOINING} joins", state._replace(joined=True, fresh=fresh)
    for r in rules.restarts:
        if _in_term_1(state, r):
            after = state._replace(
                paused=put(state.paused, r, False),
                fresh=put(state.fresh, r, not state.confirmed),
            )
            yield f"e{r} restarts", after
    if not state.confirmed:
        yield from _settling_steps(state, rules)


def _settling_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    settled = state._replace(fresh=State().fresh)
    is_waiting = rules.bounded_seal and state.holder.step == CHOSEN
    if not rules.read_on_reconnect:
        if any(state.fresh) and not is_waiting:
            yield "3 s pass", settled
        return
    if state.sealed == NOBODY and not is_waiting:
        label = "the VM reads the unsealed roster"
        if not rules.read_after_open and not state.has_read:
            yield label, settled._replace(has_read=True)
        elif any(state.fresh):
            yield label, settled
    if state.has_read and any(state.fresh):
        yield "the VM relies on its earlier read of the unsealed roster", settled


def _drain_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.promoted == LEAVING:
        return
    if state.leaving == RUNS:
        yield f"e{LEAVING} drains", state._replace(leaving=DRAINS)
    elif state.leaving == DRAINS:
        known = state._replace(leaving=DRAIN_KNOWN)
        yield f"the VM knows that e{LEAVING} drains", known
    elif state.leaving == DRAIN_KNOWN:
        yield (
            f"e{LEAVING} leaves with its log",
            state._replace(
                leaving=LEFT,
                has_w=put(state.has_w, LEAVING, False),
                paused=put(state.paused, LEAVING, False),
                fresh=put(state.fresh, LEAVING, False),
            ),
        )
    yield from _sight_steps(state, rules)


def _sight_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    is_final = state.sealed != NOBODY and not state.removable
    if state.leaving == LEFT or is_final:
        return
    source = 0 if rules.floor_source == "earlier" else LEAVING
    is_late = state.leaving == DRAIN_KNOWN
    if rules.floor_source not in ("sight", "earlier") and not is_late:
        return
    sight = WITH_W if state.has_w[source] else WITHOUT_W
    if sight != state.sight:
        yield (
            f"another VM sees the position of e{source}",
            state._replace(sight=sight),
        )


def _roster_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    if state.vm_members != roster.members and not state.confirmed:
        yield "the VM reads the roster", state._replace(vm_members=roster.members)
    is_open = state.sealed == NOBODY or not rules.seal_refuses_members
    if state.joined and JOINING not in roster.members and is_open:
        stored = roster._replace(members=roster.members | {JOINING})
        known = frozenset() if state.confirmed else stored.members
        yield (
            f"the VM stores e{JOINING} as a member",
            state._replace(roster=stored, vm_members=known),
        )
    if state.leaving == LEFT and not roster.removed and state.sealed == NOBODY:
        for floor in sorted(_floors(state, rules)):
            stored = Roster(roster.members - {LEAVING}, True, floor)
            yield (
                f"another VM removes e{LEAVING} from the roster",
                state._replace(roster=stored, sight=UNSEEN),
            )


def _floors(state: State, rules: Variant) -> set[bool]:
    """Return the floors with which the member may be removed."""
    floors = set()
    if not rules.floor_source:
        floors.add(False)
    if rules.floor_source in ("either", "primary"):
        floors.add(state.has_w[0])
    if rules.floor_source != "primary" and state.sight != UNSEEN:
        floors.add(state.sight == WITH_W)
    return floors


def _command_steps(state: State) -> Iterator[tuple[str, State]]:
    for r in REPLICAS:
        if _is_present(state, r) and not state.paused[r]:
            paused = put(state.paused, r, True)
            yield f"a holder pauses e{r}", state._replace(paused=paused)
    if not state.demoted:
        yield "a holder demotes e0", state._replace(demoted=True)


def _holder_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    holder = state.holder
    if holder.step == IDLE:
        yield from _choice_steps(state, rules)
        return
    yield "another holder takes the claim", state._replace(holder=Holder())
    if holder.step == SEALED:
        yield from _check_steps(state, rules)
    elif holder.roster == state.roster or not rules.reread_roster:
        is_new = holder.found == NOBODY
        after = state._replace(sealed=holder.chosen, removable=is_new, holder=Holder())
        if not is_new:
            after = after._replace(sight=UNSEEN)
        label = f"the holder seals the roster with e{holder.chosen}"
        if rules.check_after_seal:
            checking = Holder(SEALED, paused=holder.paused, with_w=holder.with_w)
            yield label, after._replace(holder=checking)
        else:
            yield label, after._replace(called=holder.chosen)


def _check_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Yield the answers after the seal; the last one leads to the call."""
    holder = state.holder
    for r in holder.paused:
        has_moved = state.has_w[r] != (r in holder.with_w)
        if not state.paused[r] or (has_moved and rules.check_positions):
            yield f"e{r} is not as before, the holder gives up", _given_up(state, rules)
            continue
        left = Holder(SEALED, paused=holder.paused - {r}, with_w=holder.with_w - {r})
        yield f"e{r} is still paused", state._replace(holder=left)
    if not holder.paused:
        called = state._replace(holder=Holder(), called=state.sealed)
        yield f"the holder calls for e{state.sealed}", called


def _given_up(state: State, rules: Variant) -> State:
    if state.removable or not rules.keep_found_seal:
        state = _unsealed(state)
    return state._replace(holder=Holder())


def _unsealed(state: State) -> State:
    return state._replace(sealed=NOBODY, removable=False)


def _seal_steps(state: State) -> Iterator[tuple[str, State]]:
    """Yield what the calls lead to, and what holders that lost the claim may do."""
    if state.removable and state.called != NOBODY:
        yield (
            "the call is refused, and its holder removes the seal",
            _unsealed(state)._replace(called=NOBODY),
        )
    elif state.removable and state.holder.step != SEALED:
        yield "an earlier holder gives up and removes its seal", _unsealed(state)
    if state.called != NOBODY and _is_present(state, state.called):
        yield (
            f"the promotion of e{state.called} takes effect",
            state._replace(promoted=state.called, holder=Holder()),
        )


def _choice_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster, found = state.roster, state.sealed
    needed = set(roster.members)
    if not rules.remove_ended:
        needed = {r for r in needed if _is_present(state, r)}
    candidates = [r for r in REPLICAS if state.paused[r]]
    if not candidates or not needed <= set(candidates):
        return
    with_w = [r for r in candidates if state.has_w[r]]
    choice = Holder(
        CHOSEN,
        roster,
        found,
        paused=frozenset(candidates),
        with_w=frozenset(with_w),
    )
    if rules.choose_highest and with_w:
        candidates = with_w
    for r in candidates:
        if found in (NOBODY, r) and (state.has_w[r] or not roster.floor):
            chosen = choice._replace(chosen=r)
            yield f"the holder chooses e{r}", state._replace(holder=chosen)
    has_enough = state.demoted and state.has_w[0]
    is_free = found in (NOBODY, 0)
    if is_free and rules.choose_demoted and has_enough and roster.floor and not with_w:
        chosen = choice._replace(chosen=0)
        yield "the holder chooses e0 again", state._replace(holder=chosen)


def _is_promoted_after(state: State, endpoint: int) -> bool:
    """Whether the endpoint is promoted, and W was confirmed."""
    return state.confirmed and state.promoted == endpoint


def _is_replaced_after_departure(state: State) -> bool:
    """Whether the old primary is promoted again because a member left with W."""
    return (
        _is_promoted_after(state, 0)
        and state.leaving == LEFT
        and not any(state.has_w[r] for r in REPLICAS)
    )


PROPERTIES: dict[str, Callable[[State], bool]] = {
    "kept": lambda state: not _is_lost(state),
    "no_promotion": lambda state: not _is_promoted_after(state, 1),
    "no_return": lambda state: not _is_replaced_after_departure(state),
}
"""`kept`, and two that the protocol must refute because it can promote an endpoint."""


def _check(
    rules: Variant,
    omitted_rule: str = "",
    expect_refuted: bool = True,
    prop: str = "kept",
) -> Check:
    model = protocol(
        "confirmed_commits",
        State(),
        lambda state: _steps(state, rules),
        **{prop: lambda d: PROPERTIES[prop](State(**d))},
    )
    return Check("confirmed_commits", prop, model, omitted_rule, expect_refuted)


_RESTARTS = Variant(drains=False, restarts=(1, 2))
_NO_JOINS = _RESTARTS._replace(joins=False)
_WAIT = Variant(check_after_seal=False, bounded_seal=True)
"""The VM's wait on a fresh connection instead of the holder's check after the seal."""
_AGREEMENT = Variant(drains=False, joins=False, restarts=(2,), agreement="ordered")

CHECKS = [
    _check(Variant(), expect_refuted=False),
    _check(Variant(restarts=(2,)), expect_refuted=False),
    _check(_RESTARTS, expect_refuted=False),
    _check(_NO_JOINS._replace(calls_again=True), expect_refuted=False),
    _check(Variant(joins=False, restarts=(2,), calls_again=True), expect_refuted=False),
    _check(_AGREEMENT, expect_refuted=False),
    _check(
        _AGREEMENT._replace(restarts=(1, 2), agreement="unsealed"),
        expect_refuted=False,
    ),
    _check(
        _WAIT,
        "the check after the seal; the wait replaces it (no member restarts)",
        expect_refuted=False,
    ),
    _check(
        _WAIT._replace(restarts=(2,)),
        "the check after the seal; the wait replaces it (a member restarts)",
        expect_refuted=False,
    ),
    _check(
        _WAIT._replace(drains=False, restarts=(1, 2)),
        "the check after the seal; the wait replaces it (two members restart)",
        expect_refuted=False,
    ),
    _check(
        Variant(),
        "nothing; a replica is promoted after W is confirmed",
        prop="no_promotion",
    ),
    _check(
        Variant(),
        "nothing; the old primary is promoted again after a member left with W",
        prop="no_return",
    ),
    _check(
        Variant(require_witness=False),
        "the witness (the primary's own acknowledgement is enough)",
    ),
    _check(Variant(require_member=False), "the witness's place in the stored roster"),
    _check(
        Variant(exclude_draining=False),
        "the exclusion of a witness that is known to drain",
    ),
    _check(
        Variant(exclude_draining=False, floor_source="primary"),
        "the exclusion of a witness that is known to drain; a floor that is always the "
        "primary's position makes it redundant",
        expect_refuted=False,
    ),
    _check(
        _RESTARTS._replace(exclude_fresh=False),
        "the exclusion of a witness on a fresh connection",
    ),
    _check(
        _RESTARTS._replace(read_on_reconnect=False),
        "the read of the unsealed roster (the promotion may be late)",
    ),
    _check(
        _RESTARTS._replace(read_after_open=False),
        "the read of the unsealed roster after the connection was opened (any earlier "
        "read is enough)",
    ),
    _check(_RESTARTS._replace(check_after_seal=False), "the check after the seal"),
    _check(
        _RESTARTS._replace(check_positions=False),
        "the comparison of the positions in the check after the seal",
    ),
    _check(
        _WAIT._replace(drains=False, restarts=(1, 2), exclude_fresh=False),
        "the check after the seal, and the wait on a fresh connection",
    ),
    _check(
        _WAIT._replace(drains=False, restarts=(1, 2), read_on_reconnect=False),
        "the check after the seal, and the read of the unsealed roster after the wait",
    ),
    _check(
        _NO_JOINS._replace(calls_again=True, keep_found_seal=False),
        "the seal that a holder found when it gives up (its call may be outstanding)",
    ),
    _check(
        _AGREEMENT._replace(agreement="unordered"),
        "asking the other members after one reported W",
    ),
    _check(
        _AGREEMENT._replace(restarts=(1, 2)),
        "a member that does not restart after the check, where all are asked",
    ),
    _check(
        _AGREEMENT._replace(restarts=(1, 2), agreement="received"),
        "a member that does not restart after the check; redundant if all report W",
        expect_refuted=False,
    ),
    _check(Variant(floor_source=""), "the floor"),
    _check(
        Variant(floor_source="sight"),
        "a floor from when all VMs knew of the drain (any earlier sight is taken)",
    ),
    _check(
        Variant(floor_source="earlier"),
        "asking the primary for the floor after the member ended",
    ),
    _check(
        Variant(remove_ended=False),
        "the removal of an ended member before the seal (its end is enough)",
    ),
    _check(Variant(reread_roster=False), "the comparison of the roster at the seal"),
    _check(
        Variant(seal_refuses_members=False), "the refusal of members by a sealed roster"
    ),
    _check(Variant(choose_highest=False), "the choice of the highest log"),
    _check(
        Variant(choose_demoted=False, floor_source=""),
        "the demoted primary as a candidate, and the floor",
    ),
    _check(
        Variant(choose_demoted=False),
        "the demoted primary as a candidate; with the floor nobody is promoted then",
        expect_refuted=False,
        prop="no_return",
    ),
]
