"""Which command an answer belongs to, on one connection to an endpoint.

Stands for `AnswerAssigner`, `AnswerMatcher` and `PipelinedLink`. The endpoint runs the
commands of a connection in order and answers each one. An answer names no command, and
any answer may come again, at any later time. The properties:

- `mixed`: no statement gets a success with another statement's digest.
- `refused`: no write that takes effect is reported as not run.
- `pinned`: no statement runs inside a transaction that the proxy doesn't believe open,
  outside one that it believes open, or after a value that the endpoint refused.
- `stale`: no status or position is taken as evidence that is older than the command.

`own_answers` stands for all four.

Premises, each of which a variant leaves out:
- While a command waits, at most `repeats` answers come again: one, or four, an error
  among them, where only writes are sent and values that are not refused.
- The answers to earlier commands have come when the next command is sent (`prompt`). A
  marker can't be told from the answers to other commands of the proxy, so where one of
  these is late, an answer that comes again may be taken for the marker's.

An endpoint may refuse a `SETPARAM`, which stands for `RESET` and `PREPARE` as well.

Left out: more than one value, `AFTER`, a connection that breaks, time-outs.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from model.checks import Check, protocol

IDLE, OPEN, FAILED = "I", "T", "E"
WRITE, BEGIN, INNER, COMMIT = "write", "BEGIN", "statement in transaction", "COMMIT"
ROLLBACK, SET, STATUS, MARKER = "ROLLBACK", "SETPARAM", "STATUS", "marker"
SIGNED = (WRITE, INNER, COMMIT)
"""Commands whose success has a digest."""
BUSY, MALFORMED = "BUSY", "MALFORMED"
READY, MATCHING, COLLECTING, RESOLVING, SKIPPING, EXPECTING = range(6)
"""What the proxy reads: nothing, the own answer, a status until the marker, markers
after an error, markers to skip, or the marker after a BEGIN or SETPARAM."""
STATUS_ATTEMPTS = 3


class Answer(NamedTuple):
    """An answer as the proxy sees it."""

    state: str
    digest: int = 0
    """Number of the statement, or 0 for the digest `-`."""
    row: int = -1
    """Position in a status row, or -1."""
    error: str = ""
    position: int = 0


class Command(NamedTuple):
    """A command that the proxy has sent, by its number."""

    kind: str = ""
    number: int = 0


class State(NamedTuple):
    """The endpoint, the answers that may come again, and the proxy.

    `fault` names the property that does not hold any more.
    """

    fault: str = ""
    queue: tuple[Command, ...] = ()
    """Commands that the endpoint has not answered."""
    endpoint: str = IDLE
    """State of the transaction at the endpoint."""
    position: int = 0
    other_commits: int = 0
    errors: int = 0
    is_value_refused: bool = False
    given: tuple[Answer, ...] = ()
    """Answers that have come once, and may come again."""
    cuts: int = 0
    partial: Answer | None = None
    """Answer that was cut off before its READY."""
    phase: int = READY
    sent: int = 0
    repeats: int = 0
    """Answers that have come again while the present command waits."""
    unread: tuple[Answer, ...] = ()
    """Answers that came while no command waited and were not read."""
    command: Command = Command()
    has_run: bool = False
    sent_position: int = 0
    believed: str = IDLE
    """State of the transaction that the proxy believes."""
    remembered: tuple[Answer, ...] = ()
    held: tuple[Answer, ...] = ()
    """Answers that wait for a marker."""
    markers: int = 0
    attempts: int = 0
    is_closed: bool = False


class Variant(NamedTuple):
    """Rules and premises that may be left out, and bounds."""

    kinds: tuple[str, ...] = (WRITE, BEGIN, INNER, COMMIT, ROLLBACK, SET, STATUS)
    commands: int = 3
    errors: int = 1
    repeats: int = 1
    prompt: bool = True
    refuses_values: bool = True
    """Whether the endpoint may refuse values outside a transaction."""
    other_commits: int = 1
    cuts: int = 0
    error_markers: int = 4
    remembers_digests: bool = True
    needs_digest: bool = True
    """Whether a statement's success needs a digest."""
    resolves_errors: bool = True
    marks_status: bool = True
    marks_begin: bool = True
    marks_values: bool = True
    compares_state: bool = True
    closes: bool = True
    """Whether the connection is closed after an answer that can't be assigned."""
    discards_idle: bool = True
    """Whether answers that come while no command waits are read and discarded."""
    remembers_discarded: bool = True
    """Whether an error that is discarded with a status is remembered."""
    signed_positions: bool = True
    """Whether only the position of an answer with a digest is evidence."""
    rejects_cut: bool = True


def _steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.fault or state.is_closed:
        return
    if state.phase == READY and state.sent < rules.commands:
        yield from _send_steps(state, rules)
    if state.unread and state.phase != READY:
        answer, *unread = state.unread
        after = state._replace(unread=tuple(unread))
        yield f"{_described(answer)} is read", _received(after, answer, rules)
    else:
        yield from _first_answers(state, rules)
        yield from _second_answers(state, rules)
    if state.other_commits < rules.other_commits:
        yield (
            "another connection commits",
            state._replace(
                position=state.position + 1, other_commits=state.other_commits + 1
            ),
        )


def _send_steps(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    if state.partial is not None and rules.rejects_cut:
        return
    if state.queue and rules.prompt:
        return
    kinds = {
        IDLE: (WRITE, BEGIN, SET, STATUS),
        OPEN: (INNER, COMMIT, ROLLBACK, SET),
        FAILED: (ROLLBACK,),
    }
    for kind in kinds[state.believed]:
        if kind in rules.kinds:
            number = state.sent + 1
            after = state._replace(
                sent=number,
                repeats=0,
                command=Command(kind, number),
                has_run=False,
                sent_position=state.position,
                phase=COLLECTING if kind == STATUS else MATCHING,
                attempts=1,
            )
            yield f"{kind} {number} is sent", _with_sent(after, rules)


def _is_marked(kind: str, rules: Variant) -> bool:
    return (
        (kind == STATUS and rules.marks_status)
        or (kind == BEGIN and rules.marks_begin)
        or (kind == SET and rules.marks_values)
    )


def _with_sent(state: State, rules: Variant) -> State:
    """Return the state with the waiting command in the queue, and its marker."""
    marker = (Command(MARKER),) if _is_marked(state.command.kind, rules) else ()
    return state._replace(queue=(*state.queue, state.command, *marker))


def _first_answers(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    """Yield the states after the endpoint has run and answered the next command."""
    if not state.queue:
        return
    command, *rest = state.queue
    after = state._replace(queue=tuple(rest))
    for answer, ran in _run(after, command, rules):
        label = f"{command.kind} {command.number or ''}".strip()
        text = f"{label} is answered with {_described(answer)}"
        given = tuple(sorted((*ran.given, answer)))
        yield from _arrivals(text, ran._replace(given=given), answer, rules)


def _second_answers(state: State, rules: Variant) -> Iterator[tuple[str, State]]:
    is_idle = state.phase == READY
    if is_idle and rules.discards_idle:
        return  # It would be discarded, or come while the next command waits.
    if state.repeats >= rules.repeats:
        return
    for answer in sorted(set(state.given)):
        text = f"an answer comes again: {_described(answer)}"
        given = list(state.given)
        given.remove(answer)
        after = state._replace(
            given=tuple(given),
            repeats=state.repeats + 1,
        )
        yield from _arrivals(text, after, answer, rules)


def _described(answer: Answer) -> str:
    result = answer.error or (f"digest {answer.digest}" if answer.digest else "-")
    row = "" if answer.row < 0 else f" and row {answer.row}"
    return f"{result}{row}, state {answer.state}, position {answer.position}"


def _run(
    state: State, command: Command, rules: Variant
) -> Iterator[tuple[Answer, State]]:
    """Yield the answers that the endpoint may give, and the state after each."""
    kind, before = command.kind, state.endpoint
    if before == FAILED and kind not in (ROLLBACK, COMMIT):
        yield _refusal(state, MALFORMED, FAILED)
        return
    if kind in (WRITE, INNER, COMMIT, BEGIN, STATUS) and state.errors < rules.errors:
        after = IDLE if before == IDLE else FAILED
        yield _refusal(state._replace(errors=state.errors + 1), BUSY, after)
    if kind == COMMIT and before != OPEN:
        yield _refusal(state, MALFORMED, IDLE)
    elif kind == BEGIN and before == OPEN:
        yield _refusal(state, MALFORMED, FAILED)
    elif kind in SIGNED:
        yield _ran_statement(state, command)
    elif kind == STATUS:
        yield Answer(before, row=state.position, position=state.position), state
    else:
        ended = {BEGIN: OPEN, ROLLBACK: IDLE}.get(kind, before)
        if kind == SET:
            state = state._replace(is_value_refused=False)
        if kind == SET and before == OPEN and state.errors < rules.errors:
            yield _refusal(state._replace(errors=state.errors + 1), BUSY, FAILED)
        if kind == SET and before == IDLE and rules.refuses_values:
            yield _refusal(state._replace(is_value_refused=True), BUSY, IDLE)
        position = 0 if rules.signed_positions else state.position
        yield Answer(ended, position=position), state._replace(endpoint=ended)


def _refusal(state: State, error: str, ended: str) -> tuple[Answer, State]:
    answer = Answer(ended, error=error, position=state.position)
    return answer, state._replace(endpoint=ended)


def _ran_statement(state: State, command: Command) -> tuple[Answer, State]:
    kind, before = command.kind, state.endpoint
    is_outside = kind == WRITE
    fault = state.fault
    if (before == IDLE) is not is_outside or state.is_value_refused:
        fault = "pinned"
    is_kept = kind == COMMIT or before == IDLE
    is_waiting = command == state.command
    if is_kept and not (is_waiting and state.phase != READY):
        fault = fault or "refused"  # The proxy has reported an error before the run.
    state = state._replace(
        fault=fault,
        endpoint=IDLE if kind == COMMIT else before,
        position=state.position + is_kept,
        has_run=state.has_run or (is_waiting and is_kept),
    )
    answer = Answer(state.endpoint, digest=command.number, position=state.position)
    return answer, state


def _arrivals(
    text: str, state: State, answer: Answer, rules: Variant
) -> Iterator[tuple[str, State]]:
    """Yield the states after an answer has arrived in full, or cut off."""
    if state.partial is None:
        yield text, _received(state, answer, rules)
        if state.cuts < rules.cuts:
            cut = state._replace(cuts=state.cuts + 1, partial=answer)
            yield f"{text}; cut off before READY", cut
    elif rules.rejects_cut:
        yield text, _closed(state._replace(partial=None), rules)
    else:
        joined = answer._replace(
            digest=answer.digest or state.partial.digest,
            error=answer.error or state.partial.error,
        )
        yield text, _received(state._replace(partial=None), joined, rules)


def _closed(state: State, rules: Variant) -> State:
    """Return the state after an answer that can't be assigned."""
    if not rules.closes:
        return state
    return State(fault=state.fault, is_closed=True)


def _received(state: State, answer: Answer, rules: Variant) -> State:
    if state.fault:
        return state
    if state.phase == READY:
        if not rules.discards_idle:
            return state._replace(unread=(*state.unread, answer))
        return _received_idle(state, answer, rules)
    if state.phase == MATCHING:
        return _received_matching(state, answer, rules)
    if state.phase == COLLECTING:
        return _received_collecting(state, answer, rules)
    if state.phase == RESOLVING:
        return _received_resolving(state, answer, rules)
    if state.phase == SKIPPING:
        return _received_skipping(state, answer, rules)
    return _received_expecting(state, answer, rules)


def _may_be_discarded(state: State, answer: Answer) -> bool:
    if answer.error or answer.digest:
        return _key(answer) in state.remembered
    return True


def _received_idle(state: State, answer: Answer, rules: Variant) -> State:
    return state if _may_be_discarded(state, answer) else _closed(state, rules)


def _received_matching(state: State, answer: Answer, rules: Variant) -> State:
    if not _may_be_own(state, answer, rules):
        return state
    is_repeated = answer.error and _key(answer) in state.remembered
    if not is_repeated or not rules.resolves_errors:
        return _matched(state, answer, rules)
    if answer.state == FAILED:
        return _closed(state, rules)
    markers = (Command(MARKER),) * rules.error_markers
    return state._replace(
        phase=RESOLVING, held=(answer,), markers=0, queue=(*state.queue, *markers)
    )


def _may_be_own(state: State, answer: Answer, rules: Variant) -> bool:
    """Whether an answer can be that of the waiting command."""
    kind, is_same = state.command.kind, answer.state == state.believed
    if answer.error:
        return answer.state != OPEN or is_same or not rules.compares_state
    if kind in SIGNED:
        if not answer.digest:
            return not rules.needs_digest
        return _key(answer) not in state.remembered or not rules.remembers_digests
    if answer.digest:
        return False
    if kind == STATUS or answer.row >= 0:
        return kind == STATUS and answer.row >= 0
    ended = {BEGIN: OPEN, ROLLBACK: IDLE}.get(kind, state.believed)
    return answer.state == ended or not rules.compares_state


def _matched(state: State, answer: Answer, rules: Variant) -> State:
    """Return the state after an answer that is taken as the waiting command's own."""
    if state.command.kind in (BEGIN, SET) and _is_marked(state.command.kind, rules):
        state = _accepted(state, answer)
        return state._replace(phase=EXPECTING, held=(answer,))
    return _finished(_accepted(state, answer), answer, rules)


def _is_marker(answer: Answer) -> bool:
    return not answer.error and not answer.digest and answer.row < 0


def _received_collecting(state: State, answer: Answer, rules: Variant) -> State:
    if not _is_marker(answer):
        if not _may_be_own(state, answer, rules):
            return state
        if not rules.marks_status:
            return _finished(_accepted(state, answer), answer, rules)
        return state._replace(held=(*state.held, answer))
    if not state.held:
        return state
    state = _accepted(state, answer)
    if len(state.held) == 1:
        (status,) = state.held
        return _finished(_accepted(state, status), status, rules)
    if rules.remembers_discarded:
        errors = [_key(each) for each in state.held if each.error]
        remembered = tuple(sorted({*state.remembered, *errors}))
        state = state._replace(remembered=remembered)
    if state.attempts == STATUS_ATTEMPTS:
        return _closed(state, rules)
    return _with_sent(state._replace(held=(), attempts=state.attempts + 1), rules)


def _received_resolving(state: State, answer: Answer, rules: Variant) -> State:
    (error,) = state.held
    if _is_marker(answer) and answer.state == error.state:
        state = _accepted(state, answer)._replace(markers=state.markers + 1)
        if state.markers < rules.error_markers:
            return state
        return _matched(state, error, rules)
    if not _may_be_own(state, answer, rules) or (
        answer.error and _key(answer) in state.remembered
    ):
        return state
    return state._replace(phase=SKIPPING, held=(answer,), markers=rules.error_markers)


def _received_skipping(state: State, answer: Answer, rules: Variant) -> State:
    if _is_marker(answer):
        state = state._replace(markers=state.markers - 1)
        return state if state.markers else _matched(state, state.held[0], rules)
    return state if _may_be_discarded(state, answer) else _closed(state, rules)


def _received_expecting(state: State, answer: Answer, rules: Variant) -> State:
    (own,) = state.held
    if answer.error and rules.closes:
        return _closed(state, rules)
    if answer.error or (_is_marker(answer) and answer.state == own.state):
        return _finished(state, own, rules)
    return state


def _key(answer: Answer) -> Answer:
    """Return what is remembered of an answer."""
    if answer.error:
        return answer
    return Answer(IDLE, digest=answer.digest)


def _accepted(state: State, answer: Answer) -> State:
    state = state._replace(believed=answer.state)
    if answer.error or answer.digest:
        remembered = tuple(sorted({*state.remembered, _key(answer)}))
        return state._replace(remembered=remembered)
    return state


def _finished(state: State, answer: Answer, rules: Variant) -> State:
    """Return the state after the command's caller got its answer."""
    kind, number = state.command
    fault = ""
    if kind in SIGNED and not answer.error and answer.digest != number:
        fault = "mixed"
    elif answer.error and state.has_run and kind in SIGNED:
        fault = "refused"
    elif kind == STATUS and not answer.error and answer.row < state.sent_position:
        fault = "stale"
    elif answer.digest or (not rules.signed_positions and kind != STATUS):
        fault = "stale" if answer.position < state.sent_position else ""
    after = state._replace(
        fault=fault, phase=READY, held=(), markers=0, attempts=0, has_run=False
    )
    if kind == SET and answer.error:
        return State(is_closed=True)
    # Only a command in the queue is still of interest.
    command = state.command if state.command in state.queue else Command()
    return after._replace(command=command, repeats=0, sent_position=0)


def _check(prop: str, rules: Variant, omitted_rule: str = "") -> Check:
    model = protocol(
        "answers",
        State(),
        lambda state: _steps(state, rules),
        own_answers=lambda d: not d["fault"],
        mixed=lambda d: d["fault"] != "mixed",
        refused=lambda d: d["fault"] != "refused",
        pinned=lambda d: d["fault"] != "pinned",
        stale=lambda d: d["fault"] != "stale",
    )
    return Check("answers", prop, model, omitted_rule, bool(omitted_rule))


_ALL_KINDS = Variant()
_STATUSES = Variant(kinds=(WRITE, STATUS), commands=4)
_VALUES = Variant(kinds=(SET, STATUS), commands=4)
_TRANSACTIONS = Variant(
    kinds=(BEGIN, INNER, COMMIT, ROLLBACK), commands=5, errors=2, other_commits=0
)
_LATE_TRANSACTIONS = _TRANSACTIONS._replace(errors=1, prompt=False)
_ERRORS = Variant(
    kinds=(WRITE, SET), commands=5, repeats=4, refuses_values=False, other_commits=0
)
_CUT = Variant(cuts=1)
CHECKS = [
    _check("own_answers", _ALL_KINDS),
    _check("own_answers", _STATUSES),
    _check("own_answers", _VALUES),
    _check("own_answers", _TRANSACTIONS),
    _check("own_answers", _TRANSACTIONS._replace(kinds=(BEGIN, INNER, COMMIT, SET))),
    _check("own_answers", _LATE_TRANSACTIONS),
    _check("own_answers", _ERRORS),
    _check("own_answers", _CUT),
    _check(
        "mixed",
        _ALL_KINDS._replace(remembers_digests=False),
        "remembering the digests that came",
    ),
    _check(
        "mixed",
        _ALL_KINDS._replace(needs_digest=False),
        "a digest in the success of a statement",
    ),
    _check(
        "refused",
        _ALL_KINDS._replace(resolves_errors=False),
        "markers after an error that came before",
    ),
    _check(
        "refused",
        _ERRORS._replace(error_markers=1),
        "four markers after an error (one)",
    ),
    _check(
        "refused",
        _ERRORS._replace(error_markers=3),
        "four markers after an error (three)",
    ),
    _check(
        "refused",
        _ALL_KINDS._replace(remembers_discarded=False),
        "remembering an error that is discarded with a status",
    ),
    _check(
        "stale",
        _ALL_KINDS._replace(marks_status=False),
        "the marker after a status",
    ),
    _check(
        "pinned",
        _LATE_TRANSACTIONS._replace(marks_begin=False),
        "the marker after BEGIN",
    ),
    _check(
        "pinned",
        _ALL_KINDS._replace(marks_values=False),
        "the marker after RESET, SETPARAM and PREPARE",
    ),
    _check(
        "pinned",
        _TRANSACTIONS._replace(compares_state=False),
        "the comparison of the transaction's state",
    ),
    _check(
        "pinned",
        _TRANSACTIONS._replace(closes=False),
        "closing the connection after an answer that can't be assigned",
    ),
    _check(
        "stale",
        _ALL_KINDS._replace(discards_idle=False),
        "discarding what comes while no command waits",
    ),
    _check(
        "stale",
        _ALL_KINDS._replace(signed_positions=False),
        "a digest beside a position that is evidence",
    ),
    _check(
        "refused",
        _CUT._replace(rejects_cut=False),
        "closing the connection after an answer without READY (joined with the next)",
    ),
    _check(
        "stale",
        _ALL_KINDS._replace(repeats=2),
        "the premise of one second answer at once, for a status (two)",
    ),
    _check(
        "pinned",
        _ALL_KINDS._replace(repeats=2),
        "the premise of one second answer at once, for a refused value (two)",
    ),
    _check(
        "refused",
        _ERRORS._replace(commands=6, repeats=5),
        "the premise of three second answers beside that of an error (four)",
    ),
    _check(
        "stale",
        _VALUES._replace(prompt=False),
        "the premise that the answers before have come, for a status",
    ),
    _check(
        "pinned",
        _LATE_TRANSACTIONS._replace(errors=2),
        "the premise that the answers before have come, for BEGIN (two errors)",
    ),
]
