"""A connection quota of one endpoint that moves from one proxy to another.

Proxy A holds the right to the endpoint's only connection by a lease. It may be paused
at any moment; its renewals fail, and the right goes to proxy B. No code exists for
this yet. The rule found:

1. A uses its right only while its own clock, counted from before the lease was asked
   for and read again after every pause, is more than `HOLD` before the lease's end. B
   gets the right no earlier than `MARGIN` after the lapse. With clocks that drift
   apart by at most `DRIFT` <= HOLD + MARGIN over a lease, no right is used twice
   (`one_user`), provided that reading the clock and using the right are one step.
2. This bounds rights and not sockets: what a paused proxy has open stays open and
   counts at the endpoint. With rule 1 alone the limit (`within_limit`) is kept only
   while nobody is paused past its lease, for which A must close its sockets before it
   does anything else after a pause (`over_only_while_paused`).
3. The limit is kept if besides the right is handed over only when the endpoint shows
   that A's connections are gone, again provided that A's check and its use are one
   step. No program can promise that: a pause may fall between the two. So the limit
   itself has to be the endpoint's own count, which refuses a connection too many. A
   refusal then means "not free yet": B waits and keeps its right.

So quotas should share out the connections by rule 1 and leave some spare, while the
endpoint's count decides.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

TTL, HOLD, MARGIN, DRIFT = 4, 1, 1, 2
LIMIT = 1
END = TTL + MARGIN + 1


class State(NamedTuple):
    """`time` is real and `clock` is A's, both from the moment of the renewal."""

    time: int = 0
    clock: int = 0
    paused: bool = False
    stale: bool = False
    """A was paused and has not read its clock since."""
    checked: bool = False
    """A has read its clock and will open a connection next."""
    granted_to_b: bool = False
    a_open: int = 0
    b_open: int = 0
    used_twice: bool = False


class Variant(NamedTuple):
    """The rules; each can be left out."""

    margin: int = MARGIN
    hold: int = HOLD
    check_after_pause: bool = True
    close_after_pause: bool = True
    wait_until_gone: bool = False
    atomic: bool = True
    endpoint_counts: bool = False


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.time < END:
        for clock in range(state.clock, state.clock + DRIFT + 2):
            if abs(clock - state.time - 1) <= DRIFT:
                after = state._replace(time=state.time + 1, clock=clock)
                if _in_time(state, after, rules):
                    yield f"time {after.time}, A's clock {clock}", after
    lapsed = state.time >= TTL + rules.margin
    gone = state.a_open == 0 or not rules.wait_until_gone
    if lapsed and gone and not state.granted_to_b:
        yield "the right goes to B", state._replace(granted_to_b=True)
    room = state.a_open + state.b_open < LIMIT or not rules.endpoint_counts
    if state.granted_to_b and not state.b_open and room:
        yield "B opens a connection", state._replace(b_open=1)
    if state.paused:
        yield "A goes on", state._replace(paused=False)
    else:
        yield "A is paused", state._replace(paused=True, stale=True)
        yield from _holder(state, rules, room)


def _valid(state: State, rules: Variant) -> bool:
    return state.clock < TTL - rules.hold


def _in_time(before: State, after: State, rules: Variant) -> bool:
    """A's timer closes its connections in time, unless A is paused or forgets to."""
    if before.paused or before.stale or not before.a_open:
        return True
    return _valid(after, rules) or not rules.close_after_pause


def _holder(state: State, rules: Variant, room: bool) -> Iterator[tuple[str, State]]:
    if state.stale and rules.close_after_pause:
        # Comes before all else, so that nothing else is offered.
        kept = state.a_open if _valid(state, rules) else 0
        after = state._replace(stale=False, a_open=kept)
        if not (state.checked and not rules.atomic):
            yield "A reads its clock and closes what has lapsed", after
            return
    if state.a_open:
        yield "A closes its connection", state._replace(a_open=0)
        return
    valid = _valid(state, rules) or (state.stale and not rules.check_after_pause)
    opened = state._replace(
        a_open=1, checked=False, used_twice=state.used_twice or state.granted_to_b
    )
    if rules.atomic:
        if valid and room:
            yield "A finds its lease good and opens a connection", opened
    elif state.checked:
        if room:
            yield "A opens a connection", opened
    elif valid:
        yield "A finds its lease good", state._replace(checked=True)


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


_TIME = Variant()
_GONE = Variant(wait_until_gone=True)
_COUNTS = Variant(endpoint_counts=True, atomic=False)
_UNCHECKED = _TIME._replace(check_after_pause=False, close_after_pause=False)
CHECKS = [
    _check("one_user", _TIME),
    _check("over_only_while_paused", _TIME),
    _check("within_limit", _GONE),
    _check("within_limit", _COUNTS),
    _check("one_user", _TIME._replace(margin=0), "the margin (handed over at lapse)"),
    _check("one_user", _TIME._replace(hold=0), "stopping before the lease's end"),
    _check("one_user", _UNCHECKED, "reading the clock after a pause"),
    _check("one_user", _TIME._replace(atomic=False), "check and use in one step"),
    _check("within_limit", _TIME, "waiting until the connections are gone"),
    _check(
        "over_only_while_paused",
        _TIME._replace(close_after_pause=False),
        "closing lapsed connections after a pause",
    ),
    _check(
        "within_limit",
        _GONE._replace(atomic=False),
        "the endpoint's count, where check and use are two steps",
    ),
]
