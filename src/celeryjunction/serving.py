"""The home's side of forwarding: runs requests of other proxies on local groups.

Each request runs in its own task, so that it can be cancelled. When a stream breaks,
its requests are cancelled and its open transactions rolled back. When a peer is only
suspected, its open transactions are rolled back.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from functools import singledispatchmethod
from typing import Protocol

from celeryjunction.commit import rolled_back_error
from celeryjunction.errors import EndpointError, ErrorKind, ProxyError
from celeryjunction.liveness import Liveness
from celeryjunction.logs import get_logger
from celeryjunction.peers import (
    Abort,
    Answer,
    Cancel,
    Commit,
    Describe,
    Described,
    Done,
    EndpointFailed,
    Execute,
    Failed,
    KnownWrites,
    Message,
    MessageTooLarge,
    PeerLost,
    PeerStream,
    Read,
    Refused,
    Request,
    Rollback,
    Write,
    work_from_terms,
)
from celeryjunction.ports import Clock, QueryResult
from celeryjunction.service import GroupService, GroupTransaction
from celeryjunction.work import Work

_log = get_logger("serving")


class ServedGroup(GroupService, Protocol):
    """A local group as `PeerServer` needs it."""

    def merge_mark(self, customer: str, mark: tuple[int, int] | None) -> None:
        """Merge a customer's mark from another proxy."""
        ...


class PeerServer:
    """Serves the streams that other proxies open.

    `group` returns the local group of a database, None for an unknown one. While
    `draining` is True, new requests are refused; open transactions continue.
    """

    def __init__(
        self,
        *,
        group: Callable[[str], ServedGroup | None],
        liveness: Liveness,
        clock: Clock,
    ) -> None:
        self.group = group
        self.clock = clock
        self.draining = False
        self.served_count = 0
        self._liveness = liveness
        self._sessions: set[_PeerSession] = set()

    @property
    def in_flight(self) -> int:
        """Number of running forwarded requests and open forwarded transactions."""
        return sum(session.in_flight for session in self._sessions)

    async def serve(self, stream: PeerStream) -> None:
        """Serve a stream until it breaks."""
        session = _PeerSession(self, stream)
        self._sessions.add(session)
        self._liveness.stream_opened(stream.vm)
        try:
            while True:
                message = await stream.receive()
                self._liveness.record_received(stream.vm)
                session.dispatch(message)
        except PeerLost as error:
            _log.info("peer_left", vm=stream.vm, reason=str(error))
        finally:
            self._liveness.stream_closed(stream.vm)
            self._sessions.discard(session)
            await session.close()

    def record_answer_sent(self, stream: PeerStream) -> None:
        """Record that an answer was sent, which spares the peer a heartbeat."""
        self._liveness.record_frame_sent(stream)

    def abort_suspected(self) -> None:
        """Roll back the open transactions of suspected peers."""
        for session in self._sessions:
            if self._liveness.is_suspected(session.vm):
                session.abort_transactions()

    async def close(self) -> None:
        """Close all streams, cancel their requests and roll back their transactions."""
        await asyncio.gather(*(session.close() for session in list(self._sessions)))


class _PeerSession:
    """Requests and transactions of one stream."""

    def __init__(self, server: PeerServer, stream: PeerStream) -> None:
        self._server = server
        self._stream = stream
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._transactions: dict[int, tuple[GroupTransaction, ServedGroup]] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "requests", len(self._tasks)
        yield "transactions", len(self._transactions)

    @property
    def vm(self) -> str:
        """The peer's VM."""
        return self._stream.vm

    @property
    def in_flight(self) -> int:
        """Number of running requests and open transactions."""
        return len(self._tasks) + len(self._transactions)

    @singledispatchmethod
    def dispatch(self, message: Message) -> None:
        """Start or cancel a request, or abort a transaction; ignore other messages."""

    @dispatch.register
    def _(self, message: Request) -> None:
        if message.id in self._tasks:
            return  # Answers to two requests with one id could not be distinguished.
        task = asyncio.create_task(self._serve(message))
        self._tasks[message.id] = task
        task.add_done_callback(lambda _: self._tasks.pop(message.id, None))

    @dispatch.register
    def _(self, message: Cancel) -> None:
        task = self._tasks.get(message.id)
        if task is not None:
            task.cancel()

    @dispatch.register
    def _(self, message: Abort) -> None:
        entry = self._transactions.pop(message.transaction, None)
        if entry is not None:
            entry[0].abort()

    def abort_transactions(self) -> None:
        """Roll back all open transactions, without waiting for answers."""
        for transaction, _ in self._transactions.values():
            transaction.abort()
        self._transactions.clear()

    async def close(self) -> None:
        """Close the stream, cancel its requests and roll its transactions back."""
        self._stream.close()
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        self.abort_transactions()
        await asyncio.gather(*tasks, return_exceptions=True)
        # A task may have opened a transaction before it was cancelled.
        self.abort_transactions()

    async def _serve(self, request: Request) -> None:
        self._server.served_count += 1
        answer = await self._answer(request)
        try:
            try:
                self._stream.send(answer)
                self._server.record_answer_sent(self._stream)
            except MessageTooLarge as error:
                reason = f"the answer is too large for proxies to exchange: {error}"
                self._stream.send(_internal_error(request, reason))
            await self._stream.flush()
        except PeerLost:
            pass  # `PeerServer.serve` handles the end of the stream.

    async def _answer(self, request: Request) -> Answer:
        try:
            return await self._run(request)
        except ProxyError as error:
            opened = self._opened(request)
            return Failed(request.id, error.kind.value, dict(error.details), opened)
        except EndpointError as error:
            opened = self._opened(request)
            return EndpointFailed(request.id, error.fields, error.step, opened)
        except Exception as error:
            _log.error("forwarded_request_failed", vm=self.vm, reason=repr(error))
            return _internal_error(request, type(error).__name__, self._opened(request))

    def _opened(self, request: Request) -> bool:
        entry = self._transactions.get(getattr(request, "transaction", 0))
        return entry is not None and entry[0].opened

    @singledispatchmethod
    async def _run(self, request: Request) -> Answer:
        raise NotImplementedError(type(request).__name__)

    @_run.register
    async def _(self, request: Read) -> Answer:
        group = self._group(request)
        if isinstance(group, Refused):
            return group
        work = self._work_from(request)
        _raise_if_write_lost(group, work, request.known)
        result = await group.read(work, request.step)
        # The proof that the read used may be the first one in a new term.
        _raise_if_write_lost(group, work, request.known)
        return _make_done(request, result, group, work)

    @_run.register
    async def _(self, request: Write) -> Answer:
        group = self._group(request)
        if isinstance(group, Refused):
            return group
        work = self._work_from(request)
        _raise_if_write_lost(group, work, request.known)
        result = await group.write(work, request.step)
        return _make_done(request, result, group, work)

    @_run.register
    async def _(self, request: Describe) -> Answer:
        if request.transaction:
            transaction, _ = self._transaction(request.transaction)
            shape = await transaction.describe(self._work_from(request), request.step)
            return Described(request.id, shape)
        group = self._group(request)
        if isinstance(group, Refused):
            return group
        shape = await group.describe(self._work_from(request), request.step)
        return Described(request.id, shape)

    @_run.register
    async def _(self, request: Execute) -> Answer:
        if request.begin is not None:
            group = self._group(request)
            if isinstance(group, Refused):
                return group
            transaction = group.begin(
                begin_sql=request.begin.sql,
                read_only=request.begin.read_only,
                started_at=self._server.clock.monotonic(),
            )
            self._transactions[request.transaction] = transaction, group
        else:
            transaction, group = self._transaction(request.transaction)
        work = self._work_from(request)
        _raise_if_write_lost(group, work, request.known)
        transaction.failed = request.failed
        result = await transaction.execute(work, request.step)
        return _make_done(request, result, group, work, opened=transaction.opened)

    @_run.register
    async def _(self, request: Commit) -> Answer:
        transaction, group = self._transaction(request.transaction)
        work = self._work_from(request)
        # `transaction.failed` may be outdated, as a rollback to a savepoint may have
        # reset the state at the entry proxy. That proxy never commits a failed one.
        transaction.failed = not transaction.opened
        try:
            if transaction.failed:
                transaction.abort()
                raise rolled_back_error("its connection was lost")
            tag = await transaction.commit(work)
        finally:
            self._transactions.pop(request.transaction, None)
        return _make_done(request, QueryResult(tag, None, ()), group, work)

    @_run.register
    async def _(self, request: Rollback) -> Answer:
        transaction, _ = self._transaction(request.transaction)
        try:
            await transaction.rollback()
        finally:
            self._transactions.pop(request.transaction, None)
        return Done(request.id, QueryResult("ROLLBACK", None, ()))

    def _group(
        self, request: Read | Write | Describe | Execute
    ) -> ServedGroup | Refused:
        """Return the group that runs a new request, or the refusal to send."""
        if self._server.draining:
            return Refused(request.id, "the proxy is draining")
        group = self._server.group(request.database)
        if group is None:
            return Refused(request.id, "the proxy does not know the database")
        known = getattr(request, "known", None)
        if known is not None:
            group.merge_mark(request.work.customer, known.mark)
        return group

    def _transaction(self, number: int) -> tuple[GroupTransaction, ServedGroup]:
        entry = self._transactions.get(number)
        if entry is None:
            raise rolled_back_error("its proxy was not heard for a time")
        return entry

    def _work_from(self, request: Read | Write | Describe | Execute | Commit) -> Work:
        return work_from_terms(request.work, self._server.clock.monotonic())


def _make_done(
    request: Request,
    result: QueryResult,
    group: ServedGroup,
    work: Work,
    *,
    opened: bool = False,
) -> Done:
    return Done(request.id, result, group.mark(work.customer), opened)


def _internal_error(request: Request, reason: str, opened: bool = False) -> Failed:
    kind = ErrorKind.INTERNAL.value
    return Failed(request.id, kind, {"reason": reason}, opened)


def _raise_if_write_lost(group: ServedGroup, work: Work, known: KnownWrites) -> None:
    """Raise `ProxyError` for a strict statement if acknowledged writes were dropped.

    Each loss is reported once: `known` holds the newest term already reported.
    """
    term = group.lost_term(work.customer)
    if term is None or term <= known.lost_term or work.staleness_s > 0:
        return
    _log.error(
        "acknowledged_write_lost",
        customer=work.customer,
        database=group.database,
        term=term,
    )
    raise ProxyError(
        ErrorKind.ACKNOWLEDGED_WRITE_LOST, {"term": term, "customer": work.customer}
    )
