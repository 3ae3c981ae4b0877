"""How often a statement takes effect, and which outcome the client is told.

Stands for `Group.write`, `_write_once`, `_run_statement`, `_may_repeat` and
`Committer._send_commit`, `_resolve_outcome` and `_transaction_status`. A
statement is sent in a transaction of its own, at most twice. Messages and answers may
be in flight when a connection breaks: they may still arrive, and only afterwards does
the endpoint notice that the connection is closed. A change of term at the endpoint
aborts an open transaction, and the endpoint's status of a transaction of an earlier
term is not reliable (A6).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

MAX_ATTEMPTS = 2


class Attempt(NamedTuple):
    """One transaction: messages in flight, its state at the endpoint, the answer."""

    in_flight: tuple[str, ...] = ("statement",)
    transaction: str = ""
    answer: str = ""
    is_broken: bool = False
    """Whether the connection is broken."""
    new_term: bool = False
    """Whether the endpoint has recorded a new term since the statement was sent."""


class State(NamedTuple):
    """`phase` is the proxy's; `may_have_run` refers to earlier attempts.

    `ran` counts how often the statement took effect.
    """

    attempts: tuple[Attempt, ...] = ()
    phase: str = "ready"
    may_have_run: bool = False
    ran: int = 0


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    repeatable: bool = False
    """Whether the statement may be sent again: a property of it, not a rule."""
    retry_unknown: bool = False
    """Whether any statement is sent again after an unknown outcome."""
    query_status: bool = True
    check_term: bool = True
    remember_unknown: bool = True
    cancel_is_unknown: bool = True


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for number, attempt in enumerate(state.attempts):
        for label, after, ran in _endpoint_steps(attempt):
            yield (
                f"attempt {number + 1}: {label}",
                state._replace(
                    attempts=put(state.attempts, number, after), ran=state.ran + ran
                ),
            )
    if state.phase == "ready":
        yield (
            "the statement is sent",
            state._replace(attempts=(*state.attempts, Attempt()), phase="sent"),
        )
    elif state.phase in ("sent", "committing", "asking"):
        yield from _proxy_steps(state, state.attempts[-1], rules)


def _endpoint_steps(attempt: Attempt) -> Iterator[tuple[str, Attempt, int]]:
    """Yield the steps of endpoint and network.

    Each comes with its label, the attempt after it, and how often the statement takes
    effect in it (0 or 1).
    """
    if attempt.in_flight:
        message, *rest = attempt.in_flight
        after, ran = attempt._replace(in_flight=tuple(rest)), 0
        if message == "statement" and not attempt.new_term:
            after = after._replace(transaction="open", answer="opened")
        elif message == "commit" and attempt.transaction == "open":
            after, ran = after._replace(transaction="committed", answer="committed"), 1
        else:
            after = after._replace(transaction="aborted", answer="refused")
        yield f"{message} arrives, {after.answer}", after, ran
        if attempt.is_broken:
            yield "the messages in flight are lost", attempt._replace(in_flight=()), 0
    elif attempt.is_broken and attempt.transaction == "open":
        yield (
            "the endpoint notices the closed connection",
            attempt._replace(transaction="aborted"),
            0,
        )
    if not attempt.is_broken:
        yield "the connection breaks", attempt._replace(is_broken=True), 0
    if not attempt.new_term:
        after = attempt._replace(new_term=True)
        if after.transaction == "open":
            after = after._replace(transaction="aborted", answer="refused")
        yield "the endpoint records a new term", after, 0


def _proxy_steps(
    state: State, attempt: Attempt, rules: Variant
) -> Iterator[tuple[str, State]]:
    answer = "" if attempt.is_broken else attempt.answer
    if state.phase == "sent":
        if answer == "opened":
            after = attempt._replace(in_flight=("commit",), answer="")
            attempts = (*state.attempts[:-1], after)
            yield (
                "COMMIT is sent",
                state._replace(attempts=attempts, phase="committing"),
            )
        if attempt.is_broken or answer == "refused":
            yield _not_run(state, rules, "COMMIT was not sent")
    elif state.phase == "committing":
        if answer == "committed":
            yield "answer: done", state._replace(phase="done")
            yield _unknown(state, rules, "the commit is not confirmed")
        if answer == "refused":
            yield _not_run(state, rules, "the commit was refused")
        if attempt.is_broken and rules.query_status:
            yield "the proxy queries the status", state._replace(phase="asking")
        elif attempt.is_broken:
            yield _not_run(state, rules, "the connection broke")
        if rules.cancel_is_unknown:
            yield _unknown(state, rules, "cancelled after COMMIT")
        else:
            yield "cancelled, answer: not run", state._replace(phase="not_run")
    else:
        yield from _status_steps(state, attempt, rules)


def _status_steps(
    state: State, attempt: Attempt, rules: Variant
) -> Iterator[tuple[str, State]]:
    yield _unknown(state, rules, "no status before the deadline")
    if attempt.new_term and rules.check_term:
        yield _unknown(state, rules, "the status is of another term")
        return
    if attempt.transaction == "committed":
        yield "status committed, answer: done", state._replace(phase="done")
    if attempt.transaction == "aborted" or attempt.new_term:
        yield _not_run(state, rules, "status aborted")


def _not_run(state: State, rules: Variant, reason: str) -> tuple[str, State]:
    if rules.repeatable and len(state.attempts) < MAX_ATTEMPTS:
        return f"{reason}, retry", state._replace(phase="ready")
    if state.may_have_run and rules.remember_unknown:
        return f"{reason}, answer: unknown", state._replace(phase="unknown")
    return f"{reason}, answer: not run", state._replace(phase="not_run")


def _unknown(state: State, rules: Variant, reason: str) -> tuple[str, State]:
    may_retry = rules.repeatable or rules.retry_unknown
    if may_retry and len(state.attempts) < MAX_ATTEMPTS:
        return f"{reason}, retry", state._replace(phase="ready", may_have_run=True)
    return f"{reason}, answer: unknown", state._replace(phase="unknown")


def _check(prop: str, rules: Variant, omitted_rule: str = "") -> Check:
    model = protocol(
        "at_most_once",
        State(),
        lambda state: _steps(state, rules),
        once=lambda d: d["ran"] <= 1,
        not_run_is_true=lambda d: d["phase"] != "not_run" or d["ran"] == 0,
    )
    return Check("at_most_once", prop, model, omitted_rule, bool(omitted_rule))


_REPEATABLE = Variant(repeatable=True)
CHECKS = [
    _check("once", Variant()),
    _check("not_run_is_true", Variant()),
    _check("not_run_is_true", _REPEATABLE),
    _check("once", Variant(retry_unknown=True), "no retry after an unknown outcome"),
    _check(
        "not_run_is_true",
        Variant(query_status=False),
        "querying the status of the transaction",
    ),
    _check(
        "not_run_is_true",
        Variant(check_term=False),
        "the term of the status (an abort reported in another term is trusted)",
    ),
    _check(
        "not_run_is_true",
        _REPEATABLE._replace(remember_unknown=False),
        "the unknown outcome of an earlier attempt of a repeatable statement",
    ),
    _check(
        "not_run_is_true",
        Variant(cancel_is_unknown=False),
        "unknown for a statement cancelled after COMMIT was sent",
    ),
]
