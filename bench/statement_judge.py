"""Compares what clients were answered with what the endpoints ran."""

from __future__ import annotations

import time
from bisect import bisect_left
from collections import Counter, defaultdict

from bench.statement_runs import StatementRun

PROMISES = {b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"OVERLOAD"}
"""Codes which state that nothing of an operation is kept."""
PROXY_COMMANDS = {
    b"STATUS",
    b"PAUSE",
    b"RESUME",
    b"DEMOTE",
    b"ROLLBACK",
    b"RESET",
    b"SETPARAM",
    b"PREPARE",
    b"DEALLOC",
}
"""Commands that the proxy may send itself."""
RULES = ("MIXED", "UNASKED", "REFUSED", "PINNED", "TWICE", "STALE")
MAX_EXAMPLES = 5


class Operation:
    """One attempt of a client: a single statement, or a transaction."""

    __slots__ = ("begin_id", "is_promised", "required", "sent")

    def __init__(self, *, required: int) -> None:
        self.required = required
        """Number of commits that its reads must see."""
        self.begin_id = b""
        """Request id of the transaction's BEGIN."""
        self.is_promised = False
        """Whether the client was told that nothing is kept."""
        self.sent: list[SentStatement] = []


class SentStatement:
    """A statement that a client sent, and its session as acknowledged until then."""

    __slots__ = ("operation", "prepared", "request_id", "text", "values")

    def __init__(
        self,
        operation: Operation,
        *,
        request_id: bytes,
        text: bytes,
        values: dict[bytes, bytes],
        prepared: tuple[bytes, bytes] | None,
    ) -> None:
        self.operation = operation
        self.request_id = request_id
        self.text = text
        self.values = dict(values)
        self.prepared = prepared
        operation.sent.append(self)

    def is_text(self, text: bytes) -> bool:
        """Whether a text is this one; names of prepared statements may differ."""
        if self.prepared is None:
            return text == self.text
        return _without_name(text) == _without_name(self.text)


def _without_name(text: bytes) -> list[bytes]:
    word, _, rest = text.partition(b" ")
    return [word, *rest.split(b" ", 1)[1:]]


class AcknowledgedCommits:
    """Numbers of the commits that clients know of, with the time of the answer."""

    __slots__ = ("_numbers", "_times")

    def __init__(self) -> None:
        self._times: list[float] = []
        self._numbers: list[int] = []
        """The highest number up to each time."""

    def add(self, number: int) -> None:
        """Record a commit that was acknowledged now."""
        self._times.append(time.monotonic())
        self._numbers.append(max(number, self._numbers[-1] if self._numbers else 0))

    def newest(self, *, before: float) -> int:
        """Return the highest number acknowledged before a time; 0 if none."""
        index = bisect_left(self._times, before)
        return self._numbers[index - 1] if index else 0


class StatementJudge:
    """Collects broken rules and counts answers.

    Answers are judged as they come, and `finish` judges the runs once all is over.
    """

    def __init__(
        self, runs: list[StatementRun], runs_by_digest: dict[bytes, StatementRun]
    ) -> None:
        self._runs = runs
        self._runs_by_digest = runs_by_digest
        self._sent: dict[bytes, SentStatement] = {}
        self._operations: list[Operation] = []
        self.commits = AcknowledgedCommits()
        self.broken: Counter[str] = Counter()
        self.examples: dict[str, list[str]] = defaultdict(list)
        self.answers: Counter[str] = Counter()
        """Answers to statements by their code, ``COMPLETE`` for successes."""

    def add_operation(self, operation: Operation) -> None:
        """Record an operation that a client begins."""
        self._operations.append(operation)

    def add_sent(self, sent: SentStatement) -> None:
        """Record a statement before it is sent."""
        self._sent[sent.request_id] = sent

    def report(self, rule: str, text: str) -> None:
        """Record a broken rule."""
        self.broken[rule] += 1
        if len(self.examples[rule]) < MAX_EXAMPLES:
            self.examples[rule].append(text)

    def judge_success(
        self, sent: SentStatement, rows: tuple[bytes, ...], digest: bytes
    ) -> int:
        """Judge the success of a read, write or commit; return its commit's number."""
        self.answers["COMPLETE"] += 1
        run = self._runs_by_digest.get(digest)
        if run is None or run.request_id != sent.request_id or run.rows != rows:
            source = "no run" if run is None else f"{run.request_id!r} {run.text!r}"
            answer = f"{digest!r} {rows!r} of {source}"
            self.report("MIXED", f"{sent.request_id!r} {sent.text!r} got {answer}")
            return 0
        if run.commit:
            self.commits.add(run.commit)
        return run.commit

    def judge_error(self, sent: SentStatement, code: bytes) -> None:
        """Record an error as the answer to a statement."""
        self.answers[code.decode("latin-1")] += 1
        if code in PROMISES:
            sent.operation.is_promised = True
        if code == b"NOSTMT" and sent.prepared is not None:
            self.report("PINNED", f"{sent.text!r} was prepared, and got NOSTMT")

    def finish(self) -> None:
        """Judge all runs, and the promises of all operations."""
        runs_by_id: dict[bytes, list[StatementRun]] = defaultdict(list)
        for run in self._runs:
            if run.request_id == b"-":
                self._judge_own_command(run)
                continue
            runs_by_id[run.request_id].append(run)
            sent = self._sent.get(run.request_id)
            if sent is None or not sent.is_text(run.text):
                wanted = None if sent is None else sent.text
                self.report(
                    "UNASKED", f"{run.request_id!r} ran {run.text!r}, sent {wanted!r}"
                )
            elif run.has_succeeded:
                self._judge_run(run, sent)
        for operation in self._operations:
            self._judge_operation(operation, runs_by_id)

    def _judge_own_command(self, run: StatementRun) -> None:
        if run.text.partition(b" ")[0] not in PROXY_COMMANDS:
            self.report("UNASKED", f"the proxy sent {run.text!r}")

    def _judge_run(self, run: StatementRun, sent: SentStatement) -> None:
        operation = sent.operation
        if run.owner != operation.begin_id:
            self.report(
                "PINNED",
                f"{sent.text!r} of {operation.begin_id!r} ran in that of {run.owner!r}",
            )
        if run.values != sent.values:
            self.report("PINNED", f"{sent.text!r} with {run.values!r}: {sent.values!r}")
        if run.prepared != sent.prepared:
            self.report("PINNED", f"{sent.text!r} ran {run.prepared!r}")
        if run.is_read and run.log_size < operation.required:
            self.report(
                "STALE",
                f"{sent.text!r} saw {run.log_size} commits of {operation.required}",
            )

    def _judge_operation(
        self, operation: Operation, runs_by_id: dict[bytes, list[StatementRun]]
    ) -> None:
        places = set()
        for sent in operation.sent:
            runs = runs_by_id[sent.request_id]
            kept = [run for run in runs if run.is_write and run.commit]
            if kept and operation.is_promised:
                self.report("REFUSED", f"{sent.request_id!r} {sent.text!r} was kept")
            if len(kept) > 1:
                self.report("TWICE", f"{sent.request_id!r} {sent.text!r}")
            places |= {
                (run.connection, run.transaction) for run in runs if run.has_succeeded
            }
        if operation.begin_id and len(places) > 1:
            self.report("PINNED", f"transaction {operation.begin_id!r} at {places}")
