"""A connection quota of one endpoint that moves from one proxy to another.

Proxy A holds a lease on the right to the endpoint's only connection. A may be paused at
any moment; its renewals fail, and the right passes to proxy B. No code implements this
yet. The model gives these rules:

1. A uses its right only while its own clock is more than `EARLY_STOP` before the end of
   the lease. The clock counts from before the lease was requested and is read again
   after every pause. B receives the right no earlier than `MARGIN` after the lease has
   expired. With clocks that drift apart by at most `DRIFT` <= EARLY_STOP + MARGIN
   during a lease, no right is used twice (`one_user`), provided that reading the clock
   and using the right are one atomic step.
2. Rule 1 bounds rights, not sockets: the connections that a paused proxy has open stay
   open and count at the endpoint. With rule 1 alone the limit (`within_limit`) is kept
   only while no proxy is paused past its lease. For this, A must close its sockets
   before anything else after a pause (`over_only_while_paused`).
3. The limit is kept if, in addition, the right passes to B only once the endpoint shows
   that A's connections are closed, again provided that A's check and its use are one
   atomic step. No program can guarantee that: a pause may fall between the two. The
   endpoint itself therefore has to count connections and refuse one too many. A refusal
   then means "not free yet": B waits and keeps its right.

Quotas should therefore distribute the connections by rule 1 and leave some unused,
while the endpoint enforces the limit.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

TTL, EARLY_STOP, MARGIN, DRIFT = 4, 1, 1, 2
"""Durations in steps of `State.time`."""
LIMIT = 1
"""Connections that the endpoint allows."""
MAX_TIME = TTL + MARGIN + 1


class State(NamedTuple):
    """`time` is real and `clock` is A's clock; both count from the renewal.

    `a_open` and `b_open` count open connections.
    """

    time: int = 0
    clock: int = 0
    paused: bool = False
    stale: bool = False
    """Whether A was paused and has not read its clock since."""
    checked: bool = False
    """Whether A has read its clock and will open a connection next."""
    granted_to_b: bool = False
    a_open: int = 0
    b_open: int = 0
    used_twice: bool = False


class Variant(NamedTuple):
    """The rules; each can be left out."""

    margin: int = MARGIN
    early_stop: int = EARLY_STOP
    check_after_pause: bool = True
    close_after_pause: bool = True
    wait_until_closed: bool = False
    """Whether the right passes to B only after A's connections are closed."""
    atomic: bool = True
    """Whether the check of the lease and its use are one step."""
    endpoint_counts: bool = False
    """Whether the endpoint refuses connections beyond the limit."""


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.time < MAX_TIME:
        for clock in range(state.clock, state.clock + DRIFT + 2):
            if abs(clock - state.time - 1) <= DRIFT:
                after = state._replace(time=state.time + 1, clock=clock)
                if _is_timely(state, after, rules):
                    yield f"time {after.time}, A's clock {clock}", after
    expired = state.time >= TTL + rules.margin
    released = state.a_open == 0 or not rules.wait_until_closed
    if expired and released and not state.granted_to_b:
        yield "the right passes to B", state._replace(granted_to_b=True)
    room = state.a_open + state.b_open < LIMIT or not rules.endpoint_counts
    if state.granted_to_b and not state.b_open and room:
        yield "B opens a connection", state._replace(b_open=1)
    if state.paused:
        yield "A resumes", state._replace(paused=False)
    else:
        yield "A is paused", state._replace(paused=True, stale=True)
        yield from _proxy_a_steps(state, rules, room)


def _is_lease_valid(state: State, rules: Variant) -> bool:
    return state.clock < TTL - rules.early_stop


def _is_timely(before: State, after: State, rules: Variant) -> bool:
    """Whether A's connections are closed by the time of `after`, if A must close them.

    A's timer closes them, unless A is paused or its rules do not require it.
    """
    if before.paused or before.stale or not before.a_open:
        return True
    return _is_lease_valid(after, rules) or not rules.close_after_pause


def _proxy_a_steps(
    state: State, rules: Variant, room: bool
) -> Iterator[tuple[str, State]]:
    if state.stale and rules.close_after_pause:
        # Reading the clock precedes any other step, except between a check and its use.
        still_open = state.a_open if _is_lease_valid(state, rules) else 0
        after = state._replace(stale=False, a_open=still_open)
        if not (state.checked and not rules.atomic):
            yield "A reads its clock and closes connections whose lease expired", after
            return
    if state.a_open:
        yield "A closes its connection", state._replace(a_open=0)
        return
    valid = _is_lease_valid(state, rules) or (
        state.stale and not rules.check_after_pause
    )
    opened = state._replace(
        a_open=1, checked=False, used_twice=state.used_twice or state.granted_to_b
    )
    if rules.atomic:
        if valid and room:
            yield "A finds its lease valid and opens a connection", opened
    elif state.checked:
        if room:
            yield "A opens a connection", opened
    elif valid:
        yield "A finds its lease valid", state._replace(checked=True)


def _check(prop: str, rules: Variant, omitted_rule: str = "") -> Check:
    model = protocol(
        "quota",
        State(),
        lambda state: _steps(state, rules),
        one_user=lambda d: not d["used_twice"],
        within_limit=lambda d: d["a_open"] + d["b_open"] <= LIMIT,
        over_only_while_paused=lambda d: (
            d["a_open"] + d["b_open"] <= LIMIT or d["paused"] or d["stale"]
        ),
    )
    return Check("quota", prop, model, omitted_rule, bool(omitted_rule))


_LEASE_ONLY = Variant()
_CLOSED_FIRST = Variant(wait_until_closed=True)
_ENDPOINT_COUNTS = Variant(endpoint_counts=True, atomic=False)
_UNCHECKED = _LEASE_ONLY._replace(check_after_pause=False, close_after_pause=False)
CHECKS = [
    _check("one_user", _LEASE_ONLY),
    _check("over_only_while_paused", _LEASE_ONLY),
    _check("within_limit", _CLOSED_FIRST),
    _check("within_limit", _ENDPOINT_COUNTS),
    _check(
        "one_user", _LEASE_ONLY._replace(margin=0), "the margin (handed over at expiry)"
    ),
    _check(
        "one_user",
        _LEASE_ONLY._replace(early_stop=0),
        "stopping before the lease's end",
    ),
    _check("one_user", _UNCHECKED, "reading the clock after a pause"),
    _check("one_user", _LEASE_ONLY._replace(atomic=False), "check and use in one step"),
    _check("within_limit", _LEASE_ONLY, "waiting until the connections are closed"),
    _check(
        "over_only_while_paused",
        _LEASE_ONLY._replace(close_after_pause=False),
        "closing the connections of an expired lease after a pause",
    ),
    _check(
        "within_limit",
        _CLOSED_FIRST._replace(atomic=False),
        "the endpoint's count, where check and use are two steps",
    ),
]
