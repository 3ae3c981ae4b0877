"""A group whose statements run at another proxy, the home of its database.

The error depends on what was sent:

- a statement that was not sent, or that the home refused before running it:
  `HomeUnavailable`, and the caller may send the statement to another proxy;
- a read without an answer: also `HomeUnavailable`, since reads may be repeated;
- a write without an answer: `OUTCOME_UNKNOWN`, or `HomeUnavailable` if the work is
  repeatable;
- a transaction whose COMMIT was not sent: `NOT_RUN_ROLLED_BACK`, because the home
  rolls back a transaction without a COMMIT when the stream breaks or the peer falls
  silent;
- a COMMIT without an answer: `OUTCOME_UNKNOWN`.

Errors with which the home answers are passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch

from celeryjunction.commit import (
    MIN_RESOLVE_S,
    outcome_unknown_error,
    rolled_back_error,
)
from celeryjunction.endpoints import ROLLBACK_TIMEOUT_S
from celeryjunction.errors import EndpointError, ErrorKind, ProxyError
from celeryjunction.links import AnswerLost, NotSent, PeerConnection, PeerLink
from celeryjunction.marks import CustomerMarks
from celeryjunction.peers import (
    Abort,
    Answer,
    Begin,
    Commit,
    Describe,
    Described,
    Done,
    EndpointFailed,
    Execute,
    Failed,
    Read,
    Refused,
    Request,
    Rollback,
    Write,
    terms_from_work,
)
from celeryjunction.ports import Clock, QueryResult, StatementShape, Step
from celeryjunction.work import Work

CONNECT_TIMEOUT_S = 0.75
"""Longest wait for a connection to the home before another proxy is tried."""
READ_GRACE_S = 0.25
"""Wait beyond the deadline for the home's own answer, which tells more than silence."""
WRITE_GRACE_S = MIN_RESOLVE_S + 0.5
"""The home resolves a lost COMMIT for `MIN_RESOLVE_S`, even past the deadline."""


class HomeUnavailable(Exception):
    """The home gave no answer, and the request may go to another proxy.

    `sent` tells whether the request was sent, so that it may have run there.
    """

    def __init__(self, vm: str, reason: str, *, sent: bool) -> None:
        super().__init__(reason)
        self.vm = vm
        self.sent = sent


@singledispatch
def _raise_if_error(answer: Answer) -> None:
    """Raise the error that an answer reports, if any."""


@_raise_if_error.register
def _(answer: EndpointFailed) -> None:
    raise EndpointError(answer.fields, answer.step)


@_raise_if_error.register
def _(answer: Failed) -> None:
    try:
        error = ProxyError(ErrorKind(answer.kind), answer.details)
        str(error)
    except (ValueError, KeyError, TypeError):
        # A peer of a newer version may send kinds or details unknown to this one.
        reason = f"a peer answered with the unknown error {answer.kind}"
        raise ProxyError(ErrorKind.INTERNAL, {"reason": reason}) from None
    raise error


class RemoteGroup:
    """A group at one peer. Implements `GroupService`.

    In addition to that protocol's errors, calls raise `HomeUnavailable`.
    """

    __slots__ = ("clock", "database", "link", "marks")

    def __init__(
        self, database: str, link: PeerLink, *, marks: CustomerMarks, clock: Clock
    ) -> None:
        self.database = database
        self.link = link
        self.marks = marks
        self.clock = clock

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "vm", self.link.vm

    async def read(self, work: Work, step: Step) -> QueryResult:
        """Run a read at the home."""
        connection = await self._connection(work)
        request = Read(
            connection.next_id(),
            self.database,
            terms_from_work(work, self.clock.monotonic()),
            step,
            self.marks.known_writes(work.customer),
        )
        answer = await self._call(
            connection, request, work, READ_GRACE_S, abandon_if_suspected=True
        )
        return self._result(answer, work)

    async def write(self, work: Work, step: Step) -> QueryResult:
        """Run a write at the home; it is sent at most once."""
        connection = await self._connection(work)
        request = Write(
            connection.next_id(),
            self.database,
            terms_from_work(work, self.clock.monotonic()),
            step,
            self.marks.known_writes(work.customer),
        )
        try:
            answer = await self._call(
                connection,
                request,
                work,
                WRITE_GRACE_S,
                abandon_if_suspected=work.repeatable,
            )
        except HomeUnavailable as error:
            if error.sent and not work.repeatable:
                raise outcome_unknown_error(
                    f"the answer of proxy {error.vm} was lost"
                ) from None
            raise
        return self._result(answer, work)

    async def describe(self, work: Work, step: Step) -> StatementShape:
        """Return a statement's parameters and columns."""
        connection = await self._connection(work)
        now = self.clock.monotonic()
        request = Describe(
            connection.next_id(), self.database, terms_from_work(work, now), step
        )
        answer = await self._call(
            connection, request, work, READ_GRACE_S, abandon_if_suspected=True
        )
        _raise_if_error(answer)
        if not isinstance(answer, Described) or answer.shape is None:
            raise _unexpected_answer(answer)
        return answer.shape

    def begin(
        self, *, begin_sql: str, read_only: bool, started_at: float
    ) -> RemoteTransaction:
        """Return a new transaction, which the home opens at its first statement.

        `started_at` is not sent: the home uses the arrival time of the first statement,
        which is later, so the read barrier requires no less.
        """
        del started_at
        return RemoteTransaction(self, Begin(begin_sql, read_only))

    def mark(self, customer: str) -> tuple[int, int] | None:
        """Return the highest (term, log position) acknowledged to a customer."""
        return self.marks.mark(customer)

    def lost_term(self, customer: str) -> int | None:
        """Return the newest term for which the home reported lost writes."""
        return self.marks.lost_term(customer)

    async def _connection(self, work: Work) -> PeerConnection:
        timeout = min(CONNECT_TIMEOUT_S, work.deadline - self.clock.monotonic())
        try:
            return await self.link.connection(timeout=timeout)
        except NotSent as error:
            raise HomeUnavailable(self.link.vm, str(error), sent=False) from None

    async def _call(
        self,
        connection: PeerConnection,
        request: Request,
        work: Work,
        grace_s: float,
        *,
        abandon_if_suspected: bool,
    ) -> Answer:
        remaining_s = work.deadline - self.clock.monotonic()
        try:
            answer = await connection.call(
                request,
                timeout=remaining_s + grace_s if remaining_s > 0 else 0.0,
                abandon_if_suspected=abandon_if_suspected,
            )
        except NotSent as error:
            raise HomeUnavailable(self.link.vm, str(error), sent=False) from None
        except AnswerLost as error:
            raise HomeUnavailable(self.link.vm, str(error), sent=True) from None
        if isinstance(answer, Refused):
            raise HomeUnavailable(self.link.vm, answer.reason, sent=False)
        return answer

    def _result(self, answer: Answer, work: Work) -> QueryResult:
        try:
            _raise_if_error(answer)
        except ProxyError as error:
            self.marks.record_loss(work.customer, error)
            raise
        if not isinstance(answer, Done):
            raise _unexpected_answer(answer)
        self.marks.merge(work.customer, answer.mark)
        return answer.result


class RemoteTransaction:
    """A transaction that runs at a peer. Implements `GroupTransaction`.

    It is bound to the connection that carried its first statement.
    """

    __slots__ = ("_begin", "_connection", "_group", "_id", "failed", "opened")

    def __init__(self, group: RemoteGroup, begin: Begin) -> None:
        self._group = group
        self._begin = begin
        self._connection: PeerConnection | None = None
        self._id = 0
        self.failed = False
        self.opened = False

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement; any error leaves the transaction failed.

        Raises `HomeUnavailable` when the first statement provably did not run at the
        home; the transaction may then begin at another proxy.
        """
        try:
            if self._connection is None:
                return await self._open(work, step)
            return await self._execute(self._connection, work, step, None)
        except HomeUnavailable as error:
            if self._connection is None:
                raise
            raise self._abort_as_lost(str(error)) from None
        except BaseException:
            self.failed = True
            raise

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe on the transaction's connection; None before it is opened."""
        group, connection = self._group, self._connection
        if connection is None or not self.opened:
            return None
        terms = terms_from_work(work, group.clock.monotonic())
        request = Describe(connection.next_id(), group.database, terms, step, self._id)
        try:
            answer = await group._call(
                connection, request, work, READ_GRACE_S, abandon_if_suspected=True
            )
            _raise_if_error(answer)
        except HomeUnavailable as error:
            raise self._abort_as_lost(str(error)) from None
        except BaseException:
            self.failed = True
            raise
        return answer.shape if isinstance(answer, Described) else None

    async def commit(self, work: Work) -> str:
        """Commit and return the command tag, ``ROLLBACK`` for a failed transaction."""
        connection = self._connection
        if self.failed or connection is None:
            await self.rollback()
            return "ROLLBACK" if self.failed else "COMMIT"
        self._connection = None
        group = self._group
        terms = terms_from_work(work, group.clock.monotonic())
        request = Commit(connection.next_id(), self._id, terms)
        try:
            answer = await group._call(
                connection, request, work, WRITE_GRACE_S, abandon_if_suspected=False
            )
        except HomeUnavailable as error:
            if error.sent and not self._begin.read_only:
                raise outcome_unknown_error(
                    f"the answer of proxy {error.vm} to the commit was lost"
                ) from None
            connection.send_one_way(Abort(self._id))
            raise rolled_back_error(f"proxy {error.vm} was lost: {error}") from None
        return group._result(answer, work).tag

    async def rollback(self) -> None:
        """Roll back; return once the home has done so or is out of reach."""
        connection, self._connection = self._connection, None
        if connection is None:
            return
        request = Rollback(connection.next_id(), self._id)
        try:
            await connection.call(
                request, timeout=ROLLBACK_TIMEOUT_S, abandon_if_suspected=True
            )
        except NotSent:
            pass  # The stream broke, so the home rolls back on its own.
        except AnswerLost:
            connection.send_one_way(Abort(self._id))

    def abort(self) -> None:
        """Request a rollback without waiting for it."""
        self.failed = True
        self.opened = False
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.send_one_way(Abort(self._id))

    async def _open(self, work: Work, step: Step) -> QueryResult:
        connection = await self._group._connection(work)
        self._id = connection.next_id()
        self._connection = connection
        try:
            return await self._execute(connection, work, step, self._begin)
        except HomeUnavailable as error:
            if not error.sent:
                self._connection = None
            raise

    async def _execute(
        self,
        connection: PeerConnection,
        work: Work,
        step: Step,
        begin: Begin | None,
    ) -> QueryResult:
        group = self._group
        request = Execute(
            connection.next_id(),
            self._id,
            group.database,
            terms_from_work(work, group.clock.monotonic()),
            step,
            group.marks.known_writes(work.customer),
            begin,
            self.failed,
        )
        # Unknown while the statement runs; stays False if the call is cancelled.
        self.opened = False
        answer = await group._call(
            connection, request, work, READ_GRACE_S, abandon_if_suspected=True
        )
        self.opened = getattr(answer, "opened", False)
        return group._result(answer, work)

    def _abort_as_lost(self, reason: str) -> ProxyError:
        self.abort()
        return rolled_back_error(f"the proxy that held it was lost: {reason}")


def _unexpected_answer(answer: Answer) -> ProxyError:
    reason = f"a peer answered with {type(answer).__name__}"
    return ProxyError(ErrorKind.INTERNAL, {"reason": reason})
