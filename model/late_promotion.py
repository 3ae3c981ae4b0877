"""Promotions that are carried out late, in the same term or in a later one.

Endpoint 0 is the primary of term 1, the others are its replicas. M is one commit, of
any term. `kept`: whenever a promotion takes effect, the promoted endpoint has M if M is
confirmed, before or later. A promotion names an endpoint and no term; the endpoint
becomes the primary of the term that follows the current one, with the log that it has
then. An earlier primary goes on in its term until it joins a later one.

The holder of the claim checks that all members of the stored roster are paused, chooses
the one with the highest log, and seals the roster in a transaction that fails if the
claim or the roster changed. A call is outstanding from the seal on: it is sent and
carried out at any later time until the limit passes, or is refused. A holder may stand
still between any two steps; the next one takes the claim and starts anew.

A holder chooses another endpoint than the one that a call names only if all calls to
that one were refused or carried out, or are older than the limit. In the last case the
endpoint must be paused like the members, as the call may have been carried out. The
seal counts its calls, each of which starts the limit anew. It also names the log of the
chosen endpoint, which is the floor of the next term: a replica that has not joined the
term may lack commits of the term before.

Commits of a term are confirmed once its roster is stored. Over a seal, only the roster
of the term that the chosen endpoint begins is stored, and after the limit also that of
a term that the chosen endpoint has joined. Commits of a term that another call began
are thus not confirmed while the sealed promotion may take effect, or may have.

A holder that gives up sends RESUME to the paused replicas of the roster's term. A mark
in the roster prevents a seal until the commands are answered; it is set in a
transaction that fails if the roster is sealed.

Restarts, members that leave, and the age of connections are the subject of
confirmed_commits. Left out: a call that is carried out after the limit.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

ENDPOINTS = (0, 1, 2)
NOBODY = -1
MAX_CALLS = 2
"""Calls under one seal, and calls to one endpoint that are outstanding."""


class Roster(NamedTuple):
    """The stored roster of a term."""

    term: int = 1
    primary: int = 0
    members: frozenset[int] = frozenset({1, 2})
    sealed: int = NOBODY
    """The endpoint in the seal, the primary of the next term."""
    next_members: frozenset[int] = frozenset()
    calls: int = 0
    """Calls under this seal."""
    is_old: bool = False
    """Whether the seal's limit has passed."""
    called: frozenset[int] = frozenset()
    """Endpoints that calls under earlier seals name and that may be outstanding."""
    floor: tuple[int, bool] = (1, False)
    """The log with which the term began: the last term, and whether it has M."""
    next_floor: tuple[int, bool] = (1, False)


class Choice(NamedTuple):
    """What the holder of the claim found: the roster, and the highest log."""

    roster: Roster
    endpoint: int
    paused: frozenset[int]
    log: tuple[int, bool]
    """The log of the chosen endpoint."""


class State(NamedTuple):
    """The tuples of three hold a value per endpoint."""

    primaries: tuple[int, ...] = (0,)
    """The primary of each term."""
    terms: tuple[int, int, int] = (1, 1, 1)
    """The term that each endpoint has joined."""
    held: tuple[int, int, int] = (0, 0, 0)
    """The term for which each endpoint is paused."""
    has_m: tuple[bool, bool, bool] = (False, False, False)
    m_term: int = 0
    """The term of M, or 0."""
    confirmed: bool = False
    lost: bool = False
    outstanding: tuple[int, int, int] = (0, 0, 0)
    """Calls that may still be carried out."""
    roster: Roster = Roster()
    vm_members: frozenset[int] = frozenset()
    """Members of M's term that the VM that confirms has read."""
    choice: Choice | None = None
    resuming: frozenset[int] = frozenset()
    """Replicas where RESUME of a holder that gave up may still arrive."""
    outside_call: bool = False
    """Whether a promotion took place that no holder asked for."""


class Variant(NamedTuple):
    """Rules that may be left out, and what may happen."""

    m_term: int = 1
    """The term of M."""
    max_term: int = 3
    attempts_at_end: bool = True
    """Whether holders go on when the last term has begun."""
    check_at_seal: bool = True
    sticky: bool = True
    """Whether a holder chooses the endpoint in the seal until the limit passes."""
    count_calls: bool = True
    """Whether a refusal removes the seal only if this was its only call."""
    keep_called: bool = True
    """Whether the roster keeps the endpoints of calls under earlier seals."""
    keep_floor: bool = True
    """Whether the seal's log is the floor of the next term."""
    renew_limit: bool = True
    """Whether a seal's limit starts again with each call."""
    end_at_limit: bool = True
    """Whether no call is carried out after the limit."""
    refuse_unexpected: bool = True
    """Whether a seal refuses the roster of another term than its own."""
    ask_sealed: bool = True
    """Whether the endpoint in an old seal must have joined a term that it refused."""
    pause_sealed: bool = True
    """Whether the endpoint in an old seal must be paused, too."""
    read_stored: bool = True
    """Whether a roster must be stored before commits of its term are confirmed."""
    resume: bool = False
    """Whether holders send RESUME."""
    resume_claimed: bool = True
    resume_unsealed: bool = True
    resume_own_term: bool = True
    """Whether RESUME is sent only to replicas that are in the roster's term."""
    mark_resume: bool = True
    """Whether there is no seal while RESUME is unanswered."""
    outside_calls: bool = False
    """Whether an outside call may promote an endpoint, before M commits."""
    refusals: bool = True
    """Whether calls may be refused."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.lost:
        return
    yield from _commit_steps(state, rules)
    yield from _term_steps(state, rules)
    for label, after in _roster_steps(state, rules):
        if rules.check_at_seal and after.roster != state.roster:
            # The holder's transaction would fail.
            after = after._replace(choice=None)
        yield label, after


def _roster_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    yield from _vm_steps(state, rules)
    if len(state.primaries) < rules.max_term or rules.attempts_at_end:
        yield from _holder_steps(state, rules)
    yield from _seal_steps(state, rules)
    if rules.resume:
        yield from _resume_steps(state, rules)


def _is_primary(state: State, endpoint: int) -> bool:
    return state.primaries[state.terms[endpoint] - 1] == endpoint


def _is_paused(state: State, endpoint: int) -> bool:
    return state.held[endpoint] > state.terms[endpoint]


def _commit_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for e in ENDPOINTS:
        term = state.terms[e]
        if not state.m_term and _is_primary(state, e) and term == rules.m_term:
            yield (
                f"M commits at e{e} in term {term}",
                state._replace(has_m=put(state.has_m, e, True), m_term=term),
            )
    for e in ENDPOINTS:
        in_term = state.terms[e] == state.m_term and not _is_primary(state, e)
        if not in_term or _is_paused(state, e):
            continue
        primary = state.primaries[state.m_term - 1]
        goes_on = state.terms[primary] == state.m_term
        if goes_on and not state.has_m[e]:
            yield f"e{e} receives M", state._replace(has_m=put(state.has_m, e, True))
        is_member = e in state.vm_members
        if state.has_m[e] and is_member and not state.confirmed:
            yield f"M is confirmed by e{e}", _with_confirmation(state)


def _with_confirmation(state: State) -> State:
    later = state.primaries[state.m_term :]
    lost = bool(later) and not state.has_m[later[-1]]
    return state._replace(confirmed=True, lost=lost, vm_members=frozenset())


def _term_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    term = len(state.primaries)
    for e in ENDPOINTS:
        if state.outstanding[e] and term < rules.max_term:
            left = put(state.outstanding, e, state.outstanding[e] - 1)
            yield (
                f"e{e} is promoted and begins term {term + 1}",
                _promoted(state, e, rules)._replace(outstanding=left),
            )
        may_promote = rules.outside_calls and not state.outside_call
        if may_promote and term < rules.m_term:
            yield (
                f"an outside call promotes e{e}, which begins term {term + 1}",
                _promoted(state, e, rules)._replace(outside_call=True),
            )
        primary = state.primaries[-1]
        if state.terms[e] < term and state.held[e] <= term:
            yield (
                f"e{e} joins term {term}",
                state._replace(
                    terms=put(state.terms, e, term),
                    held=put(state.held, e, 0),
                    has_m=put(state.has_m, e, state.has_m[primary]),
                ),
            )


def _promoted(state: State, endpoint: int, rules: Variant) -> State:
    term = len(state.primaries) + 1
    goes_on = term < rules.max_term or rules.attempts_at_end
    return state._replace(
        primaries=(*state.primaries, endpoint),
        choice=state.choice if goes_on else None,
        terms=put(state.terms, endpoint, term),
        held=put(state.held, endpoint, 0),
        lost=state.confirmed and not state.has_m[endpoint],
    )


def _vm_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    for members in _members_to_read(state, rules):
        if members != state.vm_members:
            yield (
                f"the VM reads the members of term {rules.m_term}",
                state._replace(vm_members=members),
            )
    for term in range(roster.term + 1, len(state.primaries) + 1):
        if _may_store(state, term, rules):
            yield f"a VM stores the roster of term {term}", _with_term(state, term)
    for e in ENDPOINTS:
        is_member = e in roster.members or e == roster.primary
        if state.terms[e] == roster.term and not is_member and roster.sealed == NOBODY:
            stored = roster._replace(members=roster.members | {e})
            yield f"a VM stores e{e} as a member", state._replace(roster=stored)


def _members_to_read(state: State, rules: Variant) -> Iterator[frozenset[int]]:
    """Yield the members of M's term, as stored or as named by the seal."""
    roster = state.roster
    if state.confirmed:
        return
    if roster.term == rules.m_term:
        yield roster.members
    began = state.primaries[rules.m_term - 1 : rules.m_term]
    is_next = roster.term == rules.m_term - 1 and not rules.read_stored
    if is_next and began == (roster.sealed,):
        yield roster.next_members


def _may_store(state: State, term: int, rules: Variant) -> bool:
    roster = state.roster
    if roster.sealed == NOBODY or not rules.refuse_unexpected:
        return True
    if term == roster.term + 1 and state.primaries[term - 1] == roster.sealed:
        return True
    has_joined = state.terms[roster.sealed] == term or not rules.ask_sealed
    return roster.is_old and has_joined


def _with_term(state: State, term: int) -> State:
    """Store a later term's roster; its members are the seal's and those seen in it."""
    roster, primary = state.roster, state.primaries[term - 1]
    is_next = term == roster.term + 1 and primary == roster.sealed
    seen = {e for e in ENDPOINTS if state.terms[e] == term and e != primary}
    called = roster.called
    is_sealed = roster.sealed != NOBODY and not roster.is_old
    if is_sealed and (not is_next or roster.calls > 1):
        called = called | {roster.sealed}
    members = frozenset(seen) | (roster.next_members if is_next else frozenset())
    floor = roster.next_floor if is_next else (term, False)
    return state._replace(
        roster=Roster(term, primary, members, called=called, floor=floor)
    )


def _holder_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    for e in ENDPOINTS:
        is_replica = not _is_primary(state, e) and e != roster.primary
        may_pause = max(state.held[e], state.terms[e]) <= roster.term
        if is_replica and may_pause:
            held = put(state.held, e, roster.term + 1)
            yield f"a holder pauses e{e}", state._replace(held=held)
    if state.choice is not None:
        yield "another holder takes the claim", state._replace(choice=None)
        if state.choice.roster == roster or not rules.check_at_seal:
            yield from _call_steps(state, rules)
        return
    paused = [e for e in ENDPOINTS if _is_held(state, e)]
    needed = set(roster.members)
    if rules.pause_sealed and roster.sealed != NOBODY:
        needed.add(roster.sealed)
    if not paused or not needed <= set(paused):
        return
    highest = max(_log(state, e) for e in paused)
    if rules.keep_floor and highest < roster.floor:
        return
    for e in paused:
        if _log(state, e) == highest and _may_choose(roster, e, rules):
            choice = Choice(roster, e, frozenset(paused), highest)
            yield f"the holder chooses e{e}", state._replace(choice=choice)


def _log(state: State, endpoint: int) -> tuple[int, bool]:
    return state.terms[endpoint], state.has_m[endpoint]


def _is_held(state: State, endpoint: int) -> bool:
    """Whether the endpoint is paused for the end of the stored roster's term."""
    term = state.roster.term
    is_replica = not _is_primary(state, endpoint) and endpoint != state.roster.primary
    return is_replica and state.held[endpoint] > term >= state.terms[endpoint]


def _may_choose(roster: Roster, endpoint: int, rules: Variant) -> bool:
    if rules.keep_called and not roster.called <= {endpoint}:
        return False
    if roster.sealed == NOBODY or roster.is_old or not rules.sticky:
        return True
    return roster.sealed == endpoint


def _call_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    choice, roster = state.choice, state.roster
    if rules.mark_resume and state.resuming:
        return
    calls = state.outstanding[choice.endpoint] + 1
    again = roster.sealed == choice.endpoint and not roster.is_old
    if calls > MAX_CALLS or (again and roster.calls == MAX_CALLS):
        return
    sealed = roster._replace(
        sealed=choice.endpoint,
        next_members=choice.paused - {choice.endpoint},
        next_floor=choice.log,
        calls=roster.calls + 1 if again else 1,
        is_old=False,
    )
    yield (
        f"the holder seals the roster with e{choice.endpoint} and calls",
        state._replace(
            roster=sealed,
            choice=None,
            outstanding=put(state.outstanding, choice.endpoint, calls),
        ),
    )


def _seal_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    if (roster.sealed == NOBODY or roster.is_old) and not roster.called:
        return
    if roster.sealed != NOBODY and not roster.is_old:
        yield from _refusal_steps(state, rules)
    old = roster._replace(is_old=roster.sealed != NOBODY, called=frozenset())
    outstanding = State().outstanding if rules.end_at_limit else state.outstanding
    if not rules.renew_limit and roster.calls > 1:
        later = min(state.outstanding[roster.sealed], roster.calls - 1)
        outstanding = put(outstanding, roster.sealed, later)
    yield (
        "the limit of all calls passes",
        state._replace(roster=old, outstanding=outstanding),
    )


def _refusal_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    roster = state.roster
    calls = state.outstanding[roster.sealed]
    if not rules.refusals or not calls:
        return
    after = state._replace(outstanding=put(state.outstanding, roster.sealed, calls - 1))
    if roster.calls == 1 or not rules.count_calls:
        unsealed = roster._replace(
            sealed=NOBODY,
            next_members=frozenset(),
            calls=0,
            next_floor=Roster().next_floor,
        )
        after = after._replace(roster=unsealed)
    yield f"the call to e{roster.sealed} is refused", after


def _resume_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for e in sorted(state.resuming):
        if _is_paused(state, e):
            yield f"e{e} resumes", state._replace(held=put(state.held, e, 0))
    choice = None if rules.mark_resume else state.choice
    if state.resuming:
        yield (
            "all RESUME commands are answered",
            state._replace(resuming=frozenset(), choice=choice),
        )
        return
    targets = _targets(state, rules)
    is_claimed = state.choice is None or not rules.resume_claimed
    is_open = state.roster.sealed == NOBODY or not rules.resume_unsealed
    if targets and is_claimed and is_open:
        yield (
            "a holder that gave up sends RESUME",
            state._replace(resuming=targets, choice=choice),
        )


def _targets(state: State, rules: Variant) -> frozenset[int]:
    """Return the replicas that RESUME is sent to: those paused for this term's end."""
    term = state.roster.term
    return frozenset(
        e
        for e in ENDPOINTS
        if _is_paused(state, e)
        and (state.terms[e] == term or not rules.resume_own_term)
    )


def _is_promoted_after(state: State) -> bool:
    """Whether a holder's promotion took effect after the term of a confirmed M."""
    return state.confirmed and len(state.primaries) > state.m_term


PROPERTIES: dict[str, Callable[[State], bool]] = {
    "kept": lambda state: not state.lost,
    "no_promotion": lambda state: not _is_promoted_after(state),
}
"""`kept`, and one that the protocol must refute because it can promote an endpoint."""


def _check(
    rules: Variant,
    omitted_rule: str = "",
    expect_refuted: bool = True,
    prop: str = "kept",
) -> Check:
    model = protocol(
        "late_promotion",
        State(vm_members=Roster().members if rules.m_term == 1 else frozenset()),
        lambda state: _steps(state, rules),
        **{prop: lambda d: PROPERTIES[prop](State(**d))},
    )
    return Check("late_promotion", prop, model, omitted_rule, expect_refuted)


_FIRST_TERM = Variant()
_SECOND_TERM = Variant(m_term=2)
_THIRD_TERM = Variant(m_term=3, max_term=4, attempts_at_end=False)
_OUTSIDE = Variant(m_term=2, outside_calls=True, attempts_at_end=False)
_RESUME = Variant(resume=True)

CHECKS = [
    _check(_FIRST_TERM, expect_refuted=False),
    _check(_SECOND_TERM, expect_refuted=False),
    _check(_THIRD_TERM, expect_refuted=False),
    _check(_OUTSIDE, expect_refuted=False),
    _check(_RESUME, expect_refuted=False),
    _check(_RESUME._replace(m_term=2), expect_refuted=False),
    _check(
        _FIRST_TERM,
        "nothing; an endpoint is promoted after M of term 1 is confirmed",
        prop="no_promotion",
    ),
    _check(
        _SECOND_TERM,
        "nothing; an endpoint is promoted after M of term 2 is confirmed",
        prop="no_promotion",
    ),
    _check(
        _OUTSIDE,
        "nothing; an endpoint is promoted after M of an unexpected term is confirmed",
        prop="no_promotion",
    ),
    _check(
        _SECOND_TERM._replace(check_at_seal=False),
        "the comparison of the roster at the seal",
    ),
    _check(
        _SECOND_TERM._replace(sticky=False),
        "the same choice while an earlier call may be outstanding",
    ),
    _check(
        _SECOND_TERM._replace(count_calls=False),
        "the count of calls (a refusal removes the seal of two calls)",
    ),
    _check(
        _SECOND_TERM._replace(renew_limit=False),
        "the limit that starts with the last call (it starts with the first one)",
    ),
    _check(
        _SECOND_TERM._replace(end_at_limit=False),
        "the limit (a call is carried out after it)",
    ),
    _check(
        _THIRD_TERM._replace(keep_called=False),
        "the calls under earlier seals, in the roster of the next term",
    ),
    _check(
        _FIRST_TERM._replace(keep_floor=False),
        "the chosen log as the floor of the next term",
    ),
    _check(
        _OUTSIDE._replace(refuse_unexpected=False),
        "the refusal of an unexpected next term's roster",
    ),
    _check(
        _THIRD_TERM._replace(refuse_unexpected=False),
        "the refusal of an unexpected later term's roster, without outside calls",
    ),
    _check(
        _THIRD_TERM._replace(ask_sealed=False),
        "the answer of the endpoint in an old seal (the limit is enough)",
    ),
    _check(
        _RESUME._replace(m_term=2, pause_sealed=False),
        "the pause of the endpoint in an old seal",
    ),
    _check(
        _OUTSIDE._replace(read_stored=False),
        "the stored roster of the next term (the seal's members are enough)",
    ),
    _check(
        _THIRD_TERM._replace(read_stored=False),
        "the stored roster of the next term; redundant without outside calls",
        expect_refuted=False,
    ),
    _check(
        _RESUME._replace(mark_resume=False),
        "the mark while RESUME is unanswered (the claim is checked before it is sent)",
    ),
    _check(
        _RESUME._replace(resume_claimed=False, mark_resume=False),
        "the claim for RESUME, and the mark",
    ),
    _check(
        _RESUME._replace(resume_claimed=False),
        "the claim for RESUME; the mark makes it redundant",
        expect_refuted=False,
    ),
    _check(
        _RESUME._replace(resume_unsealed=False),
        "the refusal of RESUME by a sealed roster",
    ),
    _check(
        _RESUME._replace(resume_own_term=False),
        "RESUME for replicas of the roster's term only",
    ),
]
