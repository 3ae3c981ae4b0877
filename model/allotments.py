"""One share of an organisation's limit, which two VMs hold in turn.

The bucket of the share holds one token and earns one in `WINDOW + LIFE` ticks. VM A
grants it to a borrower, over a connection on which messages take any time, or uses it
itself; VM B uses it itself. Messages get lost, VMs stop for any time, restart, are cut
off from the store or suspended, and the store forgets the holder or comes back with an
earlier one. The property: two operations are at least `WINDOW` ticks apart. The shares
are independent, so that the sum over all shares is bounded as that of one bucket is.

The rules of `src/celeryjunction/allotments/`, each of which is needed:

1. A share is used only for `LEASE` ticks after the last renewal was sent, by a clock
   that counts suspensions.
2. A VM that takes a share starts with an empty bucket, also after its own restart.
3. After a loss of the store's history, a VM that takes a share waits for the time that
   a forgotten holder may go on, also if the share's key has the VM's own name.
4. Tokens are deducted when they are granted, used within `LIFE` of their request, and
   returned only while the bucket has not earned them again.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

WINDOW, LIFE, LEASE = 2, 1, 3
"""Durations in ticks."""
REFILL = WINDOW + LIFE
NOBODY, A, B = range(3)
IDLE, REQUESTED, GRANTED, HELD, RETURNED = range(5)
"""States of the borrower's request."""
NO_RENEWAL = -1


class State(NamedTuple):
    """Times are ticks that remain, unless they are called ages."""

    owner: int = A
    """The VM that the share's key names at the store."""
    lease: int = LEASE
    a_use: int = LEASE
    """How long A may use the share, as A believes."""
    a_wait: int = 0
    """Until A's bucket has a token."""
    a_returnable: bool = False
    b_use: int = 0
    b_wait: int = 0
    renewal_age: int = NO_RENEWAL
    renewed: bool = False
    """Whether the store has received the renewal."""
    request: int = IDLE
    request_age: int = 0
    forgotten: int = 0
    """How long a holder that the store has forgotten may go on."""
    use_age: int = WINDOW
    too_many: bool = False


class Variant(NamedTuple):
    """The rules; each can be left out."""

    lease_checked: bool = True
    suspension_counted: bool = True
    counted_from_request: bool = True
    starts_empty: bool = True
    empty_after_restart: bool = True
    waits_after_loss: bool = True
    own_name_waits: bool = True
    deducted_at_grant: bool = True
    tokens_expire: bool = True
    late_replies_ignored: bool = True
    returns_limited: bool = True


def _use(state: State) -> State:
    return state._replace(too_many=state.too_many or state.use_age < WINDOW, use_age=0)


def _tick(state: State, *, a_clock_stops: bool = False) -> State:
    lease = max(state.lease - 1, 0)
    a_wait = max(state.a_wait - 1, 0)
    renewal_age = state.renewal_age
    if renewal_age != NO_RENEWAL:
        renewal_age = min(renewal_age + 1, LEASE)
    return state._replace(
        lease=lease,
        owner=state.owner if lease else NOBODY,
        a_use=state.a_use if a_clock_stops else max(state.a_use - 1, 0),
        a_wait=a_wait,
        # The bucket has earned the token again, beside which none may come back.
        a_returnable=state.a_returnable and a_wait > 0,
        b_use=max(state.b_use - 1, 0),
        b_wait=max(state.b_wait - 1, 0),
        renewal_age=renewal_age,
        request_age=min(state.request_age + 1, LIFE + 1) if state.request else 0,
        forgotten=max(state.forgotten - 1, 0),
        use_age=min(state.use_age + 1, WINDOW),
    )


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.too_many:
        return
    yield "time passes", _tick(state)
    if not rules.suspension_counted:
        yield "time passes while A is suspended", _tick(state, a_clock_stops=True)
    yield from _store_steps(state, rules)
    yield from _a_steps(state, rules)
    yield from _borrower_steps(state, rules)
    if state.b_use and not state.b_wait:
        yield "B uses a token", _use(state)._replace(b_wait=REFILL)


def _store_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if not state.forgotten:
        yield (
            "the store forgets the holder",
            state._replace(owner=NOBODY, lease=0, forgotten=LEASE),
        )
        if state.owner == A:
            yield (
                "the store comes back with B as an earlier holder",
                state._replace(owner=B, lease=LEASE, forgotten=LEASE),
            )
    if state.renewal_age != NO_RENEWAL and not state.renewed and state.owner == A:
        yield "the store renews A's lease", state._replace(lease=LEASE, renewed=True)
    if state.owner == B and state.b_use:
        yield "B renews its lease", state._replace(lease=LEASE, b_use=LEASE)
    wait = REFILL if rules.starts_empty else 0
    if state.owner == NOBODY and not state.b_use:
        forgotten = state.forgotten if rules.waits_after_loss else 0
        yield (
            "B takes the free share",
            state._replace(owner=B, lease=LEASE, b_use=LEASE, b_wait=wait + forgotten),
        )
    if state.owner == B and not state.b_use:
        forgotten = state.forgotten if rules.own_name_waits else 0
        yield (
            "B finds its own name and takes the share over",
            state._replace(lease=LEASE, b_use=LEASE, b_wait=wait + forgotten),
        )
    if state.owner == NOBODY and state.a_use:
        yield "A confirms its share", state._replace(owner=A, lease=LEASE)
    elif state.owner == NOBODY:
        taken = _restart_a(state, wait + state.forgotten)
        yield "A takes the free share", taken._replace(owner=A)
    if state.owner == A:
        wait = REFILL if rules.empty_after_restart else 0
        restarted = _restart_a(state, wait + state.forgotten)
        yield "A restarts and takes its share over", restarted


def _restart_a(state: State, wait: int) -> State:
    return state._replace(
        lease=LEASE,
        a_use=LEASE,
        a_wait=wait,
        a_returnable=False,
        renewal_age=NO_RENEWAL,
        renewed=False,
    )


def _a_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    may_use = state.a_use > 0 or not rules.lease_checked
    if may_use and not state.a_wait:
        yield "A uses a token", _use(state)._replace(a_wait=REFILL, a_returnable=False)
        if state.request == REQUESTED:
            granted = state._replace(request=GRANTED)
            if rules.deducted_at_grant:
                granted = granted._replace(a_wait=REFILL, a_returnable=True)
            yield "A grants a token", granted
    if state.request == RETURNED:
        returned = state._replace(request=IDLE, request_age=0)
        if state.a_returnable or not rules.returns_limited:
            returned = returned._replace(a_wait=0, a_returnable=False)
        yield "A receives the returned token", returned
    if state.renewal_age == NO_RENEWAL:
        if state.a_use:
            yield "A sends a renewal", state._replace(renewal_age=0, renewed=False)
        return
    ended = state._replace(renewal_age=NO_RENEWAL, renewed=False)
    yield "A gets no answer to its renewal", ended
    if state.renewed:
        spent = state.renewal_age if rules.counted_from_request else 0
        a_use = max(state.a_use, LEASE - spent) if state.a_use else 0
        yield "A's renewal is answered", ended._replace(a_use=a_use)


def _borrower_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    lost = state._replace(request=IDLE, request_age=0)
    if state.request == IDLE:
        yield "the borrower asks A", state._replace(request=REQUESTED, request_age=0)
        return
    yield "the message or the token is lost", lost
    is_late = state.request_age > LIFE
    if state.request == GRANTED:
        if not is_late:
            yield "the borrower gets the token", state._replace(request=HELD)
        elif not rules.late_replies_ignored:
            late = state._replace(request=HELD, request_age=0)
            yield "the borrower gets the token late", late
    if state.request == HELD:
        if not is_late or not rules.tokens_expire:
            yield "the borrower uses the token", _use(lost)
        yield "the borrower returns the token", state._replace(request=RETURNED)


def _check(rules: Variant, omitted_rule: str = "") -> Check:
    model = protocol(
        "allotments",
        State(),
        lambda state: _steps(state, rules),
        within_bound=lambda fields: not fields["too_many"],
    )
    return Check("allotments", "within_bound", model, omitted_rule, bool(omitted_rule))


_RULES = Variant()
CHECKS = [
    _check(_RULES),
    _check(_RULES._replace(lease_checked=False), "stopping at the lease's end"),
    _check(
        _RULES._replace(suspension_counted=False), "a clock that counts suspensions"
    ),
    _check(
        _RULES._replace(counted_from_request=False),
        "counting from before a renewal was sent",
    ),
    _check(_RULES._replace(starts_empty=False), "starting with an empty bucket"),
    _check(
        _RULES._replace(empty_after_restart=False),
        "starting with an empty bucket after a restart",
    ),
    _check(_RULES._replace(waits_after_loss=False), "waiting after a loss"),
    _check(
        _RULES._replace(own_name_waits=False),
        "waiting after a loss where the key has the own name",
    ),
    _check(_RULES._replace(deducted_at_grant=False), "deducting tokens when granted"),
    _check(_RULES._replace(tokens_expire=False), "the end of a token's life"),
    _check(_RULES._replace(late_replies_ignored=False), "ignoring late replies"),
    _check(
        _RULES._replace(returns_limited=False),
        "refusing returns of tokens that were earned again",
    ),
]
