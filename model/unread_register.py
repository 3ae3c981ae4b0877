"""Commits of a VM that may not know which members drain.

Endpoint 0 is the primary; 1 and 2 are members, 3 may join. W is a commit. One VM
confirms it; the other VMs drop members that left and choose the next primary, while
endpoint 0 doesn't answer. `kept`: the promoted endpoint has W if W is confirmed.

While its copy of the register is recent, the VM confirms W once a member has it that
the copy doesn't show as draining. Otherwise every member that it knows must have W, and
one of them must not be known to drain. The other VMs ask a draining member for its last
position once no copy without its drain is recent. They drop a member that left with
that position as a floor if a member that ran when its drain began still runs.

The copy is recent as of a read of this VM, or of another one that reports it. That the
VMs which replace primaries report no further drain has the same effect: none of them
takes a last position before the copy is old.

The zone of the VM, with endpoint 1, may be cut off from the other VMs. If the copy was
recent when that began, endpoint 1 alone is enough until the VM notices the end: nobody
else asks it meanwhile, and a drain that was seen before counts anew afterwards.

Left out: pauses, restarts and the roster (subjects of confirmed_commits), the primary's
position, which covers all commits, and a member that stays absent for too long.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

MEMBERS = (1, 2)
IN_ZONE = 1
"""The member in the VM's zone."""
JOINING = 3
NOBODY = -1
RUNS, DRAINS, ASKED, LEFT = range(4)
"""States of a replica; in the third, its last position is known."""
NO_ONE: frozenset[int] = frozenset()


class State(NamedTuple):
    """The tuples of four hold a value per endpoint."""

    has_w: tuple[bool, bool, bool, bool] = (False, False, False, False)
    drain: tuple[int, int, int, int] = (RUNS, RUNS, RUNS, RUNS)
    last_had_w: tuple[bool, bool, bool, bool] = (False, False, False, False)
    """Whether the last position that a replica was asked for includes W."""
    was_asked: tuple[bool, bool, bool, bool] = (False, False, False, False)
    stayed: tuple[frozenset[int], ...] = (NO_ONE, NO_ONE, NO_ONE, NO_ONE)
    """The replicas that ran when a replica's drain began."""
    shown: tuple[bool, bool, bool, bool] = (False, False, False, False)
    """Whether the VM's copy shows a replica as draining."""
    recent: bool = True
    joined: bool = False
    knows_joined: bool = False
    """Whether the VM's copy lists the replica that joined."""
    cut: bool = False
    trusts_zone: bool = False
    """Whether the VM takes its zone for cut off since its copy was recent."""
    confirmed: bool = False
    promoted: int = NOBODY


class Variant(NamedTuple):
    """Rules that may be left out, and what may happen."""

    ask_late: bool = True
    """Whether last positions wait until no copy without the drain is recent."""
    unread: str = "all"
    """What confirms W without a recent copy: "all" members, "one", or "others" (all
    that the copy doesn't show as draining)."""
    outlasted: bool = True
    """Whether a member that left is dropped only if one that stayed still runs."""
    together: bool = True
    """Whether members may drain at the same time."""
    cuts: bool = False
    """Whether the zone may be cut off."""
    check_copy: bool = True
    """Whether the copy has to be recent when that begins."""
    count_anew: bool = True
    """Whether a drain counts anew after the end of a cut, until the VM notices it."""
    joins: str = ""
    """When endpoint 3 may join: "" (never), "late" (once a member drains), "early"
    (before any does), "any"."""


def _replicas(state: State) -> list[int]:
    joined = [JOINING] if state.joined else []
    return [r for r in (*MEMBERS, *joined) if state.drain[r] != LEFT]


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.promoted != NOBODY:
        return
    yield from _commit_steps(state)
    yield from _register_steps(state, rules)
    yield from _drain_steps(state, rules)
    if rules.cuts:
        yield from _cut_steps(state, rules)
    if not state.confirmed and _is_proven(state, rules):
        yield "W is confirmed", state._replace(confirmed=True)
    yield from _promotion_steps(state, rules)


def _commit_steps(state: State) -> Iterator[tuple[str, State]]:
    for e in (0, *_replicas(state)):
        if not state.has_w[e] and (e == 0 or state.has_w[0]):
            yield f"e{e} has W", state._replace(has_w=put(state.has_w, e, True))


def _register_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.recent:
        yield "the VM's copy is old", state._replace(recent=False)
    shown = tuple(step != RUNS for step in state.drain)
    read = state._replace(recent=True, shown=shown, knows_joined=state.joined)
    if read != state and not state.confirmed:
        yield "the VM reads the register", read
    begun = any(step != RUNS for step in state.drain)
    may_join = {"": False, "late": begun, "early": not begun, "any": True}[rules.joins]
    if may_join and not state.joined:
        yield f"e{JOINING} joins", state._replace(joined=True)


def _drain_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for r in MEMBERS:
        step = state.drain[r]
        others = {x for x in _replicas(state) if x != r and state.drain[x] == RUNS}
        is_alone = all(state.drain[x] in (RUNS, LEFT) for x in MEMBERS)
        if step == RUNS and (rules.together or is_alone):
            begun = state._replace(
                drain=put(state.drain, r, DRAINS),
                stayed=put(state.stayed, r, frozenset(others)),
            )
            yield f"e{r} drains", begun
        is_due = state.shown[r] or not state.recent or not rules.ask_late
        is_apart = r == IN_ZONE and (
            state.cut or (state.trusts_zone and rules.count_anew)
        )
        if step == DRAINS and is_due and not is_apart:
            asked = state._replace(
                drain=put(state.drain, r, ASKED),
                was_asked=put(state.was_asked, r, True),
                last_had_w=put(state.last_had_w, r, state.has_w[r]),
            )
            yield f"another VM asks e{r} for its last position", asked
        if step in (DRAINS, ASKED):
            left = state._replace(
                drain=put(state.drain, r, LEFT), has_w=put(state.has_w, r, False)
            )
            yield f"e{r} leaves with its log", left


def _cut_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.cut:
        yield "the cut ends", state._replace(cut=False)
        return
    if state.trusts_zone:
        yield "the VM notices the end", state._replace(trusts_zone=False)
    elif not state.confirmed:
        trusts = state.recent or not rules.check_copy
        yield "the zone is cut off", state._replace(cut=True, trusts_zone=trusts)


def _is_proven(state: State, rules: Variant) -> bool:
    known = [*MEMBERS, JOINING] if state.knows_joined else list(MEMBERS)
    staying = [r for r in known if not state.shown[r]]
    having = [r for r in known if state.has_w[r] and state.drain[r] != LEFT]
    if state.recent or rules.unread == "one":
        return any(r in having for r in staying)
    if state.trusts_zone and IN_ZONE in having and IN_ZONE in staying:
        return True
    if rules.unread == "others":
        known = staying
    return bool(staying) and set(known) <= set(having)


def _promotion_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    needs_w = False
    if state.cut and state.drain[IN_ZONE] != LEFT:
        return
    for r in (r for r in MEMBERS if state.drain[r] == LEFT):
        outlasting = [x for x in state.stayed[r] if state.drain[x] == RUNS]
        if not state.was_asked[r] or (rules.outlasted and not outlasting):
            return
        needs_w = needs_w or state.last_had_w[r]
    candidates = _replicas(state)
    highest = [r for r in candidates if state.has_w[r]]
    if not highest and needs_w:
        return
    for r in highest or candidates:
        yield f"e{r} is promoted", state._replace(promoted=r)


def _is_kept(state: State) -> bool:
    promoted = state.promoted
    return not state.confirmed or promoted == NOBODY or state.has_w[promoted]


def _is_unused(state: State) -> bool:
    """Whether no promotion kept W that was confirmed without a recent copy."""
    unseen = any(
        state.drain[r] == LEFT and not state.shown[r] and not state.last_had_w[r]
        for r in MEMBERS
    )
    return not (state.confirmed and unseen and state.promoted != NOBODY)


PROPERTIES: dict[str, Callable[[State], bool]] = {
    "kept": _is_kept,
    "no_promotion": _is_unused,
}
"""`kept`, and one that the protocol must refute because it does promote."""


def _check(
    rules: Variant, omitted_rule: str = "", *, refuted: bool = True, prop: str = "kept"
) -> Check:
    model = protocol(
        "unread_register",
        State(),
        lambda state: _steps(state, rules),
        **{prop: lambda d: PROPERTIES[prop](State(**d))},
    )
    return Check("unread_register", prop, model, omitted_rule, refuted)


CHECKS = [
    _check(Variant(), refuted=False),
    _check(Variant(joins="late"), refuted=False),
    _check(Variant(together=False, joins="any"), refuted=False),
    _check(Variant(cuts=True), refuted=False),
    _check(Variant(cuts=True, joins="late"), refuted=False),
    _check(
        Variant(cuts=True, check_copy=False),
        "a recent copy at the begin of a cut",
    ),
    _check(
        Variant(cuts=True, count_anew=False),
        "counting a drain anew after a cut",
    ),
    _check(
        Variant(),
        "nothing; a replica is promoted after one left unnoticed",
        prop="no_promotion",
    ),
    _check(Variant(unread="one"), "the answers of all without a recent copy"),
    _check(
        Variant(unread="others", joins="late", together=True),
        "the answers of those that are known to drain",
    ),
    _check(Variant(ask_late=False), "the age that a copy must have"),
    _check(
        Variant(outlasted=False, joins="late"),
        "a member that outlasts the one that is dropped",
    ),
    _check(
        Variant(joins="early"),
        "a joined endpoint that the VM knows, while all members drain together",
    ),
]
