"""How often a statement takes effect, and what is answered.

Stands for `Group.write`, `_write_once`, `_run_statement`, `_may_repeat` and
`Committer._send_commit`, `_resolve_outcome` and `_transaction_status`. A
statement is sent in a transaction of its own, at most twice. Messages and answers may
be in flight when a connection breaks: what is in flight may still arrive, and only then
does the endpoint see the end. A change of term at the endpoint aborts an open
transaction, and what the endpoint says about transactions of an earlier term means
nothing (A6).
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol, put

MAX_ATTEMPTS = 2


class Attempt(NamedTuple):
    """One transaction: messages in flight, its state at the endpoint, the answer."""

    wire: tuple[str, ...] = ("statement",)
    server: str = ""
    answer: str = ""
    broken: bool = False
    new_term: bool = False


class State(NamedTuple):
    """`phase` is the proxy's; `doubt` says that an earlier attempt may have run."""

    attempts: tuple[Attempt, ...] = ()
    phase: str = "ready"
    doubt: bool = False
    ran: int = 0


class Variant(NamedTuple):
    """The rules of the proxy; each can be left out."""

    repeatable: bool = False
    retry_unknown: bool = False
    ask: bool = True
    own_term: bool = True
    keep_doubt: bool = True
    cancel_unknown: bool = True


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    for number, attempt in enumerate(state.attempts):
        for label, after, ran in _endpoint(attempt):
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
        yield from _proxy(state, state.attempts[-1], rules)


def _endpoint(attempt: Attempt) -> Iterator[tuple[str, Attempt, int]]:
    """Yield what endpoint and network do, and how often that runs the statement."""
    if attempt.wire:
        message, *rest = attempt.wire
        after, ran = attempt._replace(wire=tuple(rest)), 0
        if message == "statement" and not attempt.new_term:
            after = after._replace(server="open", answer="opened")
        elif message == "commit" and attempt.server == "open":
            after, ran = after._replace(server="committed", answer="committed"), 1
        else:
            after = after._replace(server="aborted", answer="refused")
        yield f"{message} arrives, {after.answer}", after, ran
        if attempt.broken:
            yield "what is in flight is lost", attempt._replace(wire=()), 0
    elif attempt.broken and attempt.server == "open":
        yield "the endpoint sees the end", attempt._replace(server="aborted"), 0
    if not attempt.broken:
        yield "the connection breaks", attempt._replace(broken=True), 0
    if not attempt.new_term:
        after = attempt._replace(new_term=True)
        if after.server == "open":
            after = after._replace(server="aborted", answer="refused")
        yield "the endpoint records a new term", after, 0


def _proxy(
    state: State, attempt: Attempt, rules: Variant
) -> Iterator[tuple[str, State]]:
    answer = "" if attempt.broken else attempt.answer
    if state.phase == "sent":
        if answer == "opened":
            after = attempt._replace(wire=("commit",), answer="")
            attempts = (*state.attempts[:-1], after)
            yield (
                "COMMIT is sent",
                state._replace(attempts=attempts, phase="committing"),
            )
        if attempt.broken or answer == "refused":
            yield _not_run(state, rules, "COMMIT was not sent")
    elif state.phase == "committing":
        if answer == "committed":
            yield "answer: done", state._replace(phase="done")
            yield _unknown(state, rules, "not confirmed")
        if answer == "refused":
            yield _not_run(state, rules, "the commit was refused")
        if attempt.broken and rules.ask:
            yield "the proxy asks for the status", state._replace(phase="asking")
        elif attempt.broken:
            yield _not_run(state, rules, "the connection broke")
        if rules.cancel_unknown:
            yield _unknown(state, rules, "cancelled after COMMIT")
        else:
            yield "cancelled, answer: not run", state._replace(phase="not_run")
    else:
        yield from _ask(state, attempt, rules)


def _ask(state: State, attempt: Attempt, rules: Variant) -> Iterator[tuple[str, State]]:
    yield _unknown(state, rules, "no status before the deadline")
    if attempt.new_term and rules.own_term:
        yield _unknown(state, rules, "the status is of another term")
        return
    if attempt.server == "committed":
        yield "status committed, answer: done", state._replace(phase="done")
    if attempt.server == "aborted" or attempt.new_term:
        yield _not_run(state, rules, "status aborted")


def _not_run(state: State, rules: Variant, reason: str) -> tuple[str, State]:
    if rules.repeatable and len(state.attempts) < MAX_ATTEMPTS:
        return f"{reason}, again", state._replace(phase="ready")
    if state.doubt and rules.keep_doubt:
        return f"{reason}, answer: unknown", state._replace(phase="unknown")
    return f"{reason}, answer: not run", state._replace(phase="not_run")


def _unknown(state: State, rules: Variant, reason: str) -> tuple[str, State]:
    again = rules.repeatable or rules.retry_unknown
    if again and len(state.attempts) < MAX_ATTEMPTS:
        return f"{reason}, again", state._replace(phase="ready", doubt=True)
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
    _check("not_run_is_true", Variant(ask=False), "asking for the status"),
    _check(
        "not_run_is_true",
        Variant(own_term=False),
        "the status's own term (aborted of another term is trusted)",
    ),
    _check(
        "not_run_is_true",
        _REPEATABLE._replace(keep_doubt=False),
        "the doubt of an earlier attempt of a repeatable statement",
    ),
    _check(
        "not_run_is_true",
        Variant(cancel_unknown=False),
        "unknown for a statement cancelled after COMMIT was sent",
    ),
]
