"""Server of a home VM: runs statements that VMs of its zone forward."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from celeryjunction.adapters.frame_stream import (
    MAX_FRAME_BYTES,
    FrameStream,
    FrameTooLarge,
)
from celeryjunction.allotments.holder_link import IDLE_TIMEOUT_S
from celeryjunction.allotments.shares import Borrowed
from celeryjunction.client_limits.home_shares import HomeShares
from celeryjunction.client_limits.work_gate import LARGE_BYTES
from celeryjunction.decoding import DecodingError
from celeryjunction.errors import ErrorKind, ProxyError, rolled_back_error
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import Begin, Execute, Read
from celeryjunction.logs import get_logger
from celeryjunction.relay.messages import (
    NO_TRANSACTION,
    AskEndpoints,
    AskTokens,
    EndpointList,
    EndTransaction,
    FromHome,
    HomeStatus,
    Outcome,
    RunStatement,
    Tokens,
    decode_to_home,
    encode,
    error_details,
)
from celeryjunction.replication.ports import (
    NO_POSITION,
    LogPosition,
    TransactionState,
)

SILENCE_TIMEOUT_S = 3.0
"""A forwarding VM that sends nothing for this long has lost its clients, and their
transactions are rolled back. Endpoints keep the connection of an unreachable client for
the same time."""

STALL_THRESHOLD_S = 0.55
"""A frame that is read this long after the previous one may have waited while this VM
was paused, and its sender may have given it up. Shorter than the `SILENCE_TIMEOUT_S` of
`home_link`, after which a forwarding VM gives up a home, and longer than two of its
status intervals."""
DEFAULT_STATEMENT_BYTES = 28_800_000
"""What statements of other VMs may take on the smallest machine."""
MAX_UNSENT_BYTES = 4 << 20
"""Answers that a forwarding VM has not taken, beyond which it gets no further rows."""

BORROWER_TIMEOUT_S = IDLE_TIMEOUT_S + 2.0
"""Time-out of a connection on which a VM asks for tokens, and which it closes itself
when it doesn't need it."""

_log = get_logger("relay")


class ForwardingVmStream(FrameStream):
    """Connection of a forwarding VM; `on_made` starts the task that serves it."""

    on_made: Callable[[ForwardingVmStream], None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve the connection."""
        super().connection_made(transport)
        self.on_made(self)


class HomeServer:
    """Accepts connections of VMs of this zone.

    `status` returns the status of this home, `endpoints` its list of endpoints.
    """

    def __init__(
        self,
        gateway: Gateway,
        *,
        status: Callable[[], HomeStatus],
        endpoints: Callable[[], EndpointList],
    ) -> None:
        self._gateway = gateway
        self._status = status
        self._endpoints = endpoints
        self._server: asyncio.Server | None = None
        self._shares = HomeShares(DEFAULT_STATEMENT_BYTES)
        self._forwarding_vms: dict[_ForwardingVm, asyncio.Task[None]] = {}

    async def start(self, host: str, port: int) -> None:
        """Start to listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.sockets[0].getsockname()[1]

    def limit_statements(self, limit: int) -> None:
        """Set what the statements of other VMs may take, in bytes."""
        self._shares.limit = limit

    @property
    def busy(self) -> bool:
        """Whether transactions are open or statements run for other VMs."""
        return any(vm.busy for vm in self._forwarding_vms)

    def send_status(self) -> None:
        """Send the status unasked to all VMs, because it changed."""
        for vm in self._forwarding_vms:
            vm.send_status()

    def abort_idle(self, error: ProxyError) -> None:
        """Roll back the open transactions that run no statement."""
        for vm in self._forwarding_vms:
            for session in vm.transactions.values():
                session.abort(error)

    def _accept(self) -> ForwardingVmStream:
        stream = ForwardingVmStream()
        stream.on_made = self._serve
        return stream

    def _serve(self, stream: FrameStream) -> None:
        vm = _ForwardingVm(
            stream,
            gateway=self._gateway,
            status=self._status,
            endpoints=self._endpoints,
            shares=self._shares,
        )
        self._shares.add(vm)
        task = asyncio.create_task(vm.serve())
        self._forwarding_vms[vm] = task
        task.add_done_callback(lambda done: self._ended(vm, done))

    def _ended(self, vm: _ForwardingVm, task: asyncio.Task[None]) -> None:
        self._forwarding_vms.pop(vm, None)
        self._shares.remove(vm)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("guest_failed", reason=repr(error))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._forwarding_vms.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _ForwardingVm:
    """A VM that forwards its clients' statements to this home."""

    def __init__(
        self,
        stream: FrameStream,
        *,
        gateway: Gateway,
        status: Callable[[], HomeStatus],
        endpoints: Callable[[], EndpointList],
        shares: HomeShares,
    ) -> None:
        self.stream = stream
        self._shares = shares
        self.transactions: dict[int, StatementSession] = {}
        """Sessions with an open transaction, by transaction number."""
        self._running: set[asyncio.Task[None]] = set()
        """Tasks of statements."""
        self._ending: set[asyncio.Task[None]] = set()
        """Tasks that roll back transactions which the VM ended."""
        self._borrowed: dict[str, Borrowed] | None = None
        """Tokens last granted on this connection, by organisation; None if the VM has
        not asked for any."""
        self._gateway = gateway
        self._status = status
        self._endpoints = endpoints
        self._last_asked = 0
        """Number of the last request for the status."""

    @property
    def busy(self) -> bool:
        """Whether transactions are open or statements run for the VM."""
        return bool(self.transactions or self._running or self._ending)

    async def serve(self) -> None:
        """Serve the VM until the connection ends, then roll back open transactions."""
        try:
            read_at = self._gateway.clock.monotonic()
            while (frame := await self._read()) is not None:
                before, read_at = read_at, self._gateway.clock.monotonic()
                if read_at - before >= STALL_THRESHOLD_S and self._borrowed is None:
                    # Running a write that the sender gave up could undo what the
                    # client wrote since.
                    _log.warning("guest_stalled", for_s=round(read_at - before, 3))
                    return
                self._handle(frame)
        finally:
            self.stream.abort()
            running = list(self._running)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, *self._ending, return_exceptions=True)
            transactions, self.transactions = self.transactions, {}
            for session in transactions.values():
                await session.close()

    async def _read(self) -> bytes | None:
        try:
            silence_s = SILENCE_TIMEOUT_S
            if self._borrowed is not None:
                silence_s = BORROWER_TIMEOUT_S
            async with asyncio.timeout(silence_s):
                return await self.stream.read_frame()
        except TimeoutError:
            _log.warning("guest_silent", transactions=len(self.transactions))
            return None

    def _handle(self, frame: bytes) -> None:
        try:
            message = decode_to_home(frame)
        except DecodingError as error:
            _log.error("message_ignored", reason=str(error))
            return
        if isinstance(message, RunStatement):
            need = self._take(message, len(frame))
            if not need:
                return
            # The session is looked up before the task starts, so that an
            # `EndTransaction` that was received together with it finds it.
            task = asyncio.create_task(self._run(message, self._session(message)))
            self._running.add(task)
            task.add_done_callback(lambda done: self._statement_ended(done, need))
        elif isinstance(message, EndTransaction):
            session = self.transactions.pop(message.seat, None)
            if session is not None:
                task = asyncio.create_task(session.close())
                self._ending.add(task)
                task.add_done_callback(self._ending.discard)
        elif isinstance(message, AskEndpoints):
            self._send(self._endpoints())
        elif isinstance(message, AskTokens):
            self._send(self._grant(message))
        else:
            self._last_asked = message.number
            self.send_status()

    def send_status(self) -> None:
        """Send the home's status."""
        status = msgspec.structs.replace(self._status(), answers=self._last_asked)
        self._send(status)

    def _take(self, message: RunStatement, size: int) -> int:
        """Take a statement; refuse it and return 0 if memory is short.

        Small statements of open transactions are always taken, so that these end.
        """
        session = self.transactions.get(message.seat)
        takes_answers = self.stream.unsent <= MAX_UNSENT_BYTES
        if takes_answers and (need := self._shares.take(self, size)):
            return need
        is_in_transaction = session is not None or message.state is None
        if is_in_transaction and size <= LARGE_BYTES:
            return self._shares.force(self, size)
        self._gateway.metrics.count("refused_statements", reason="memory")
        self._gateway.request_log.write("statement_refused", reason="memory", size=size)
        state = TransactionState.IDLE if session is None else session.state
        error = ProxyError(
            ErrorKind.NOT_RUN_MEMORY, {"part": "statements of other VMs"}
        )
        self._send(_failed(message.number, state, error))
        return 0

    def _statement_ended(self, task: asyncio.Task[None], need: int) -> None:
        self._running.discard(task)
        self._shares.release(self, need)

    async def _run(
        self, message: RunStatement, session: StatementSession | None
    ) -> None:
        if session is None:
            # The transaction was opened before this process started.
            error = rolled_back_error("its home does not know it any more")
            self._send(_failed(message.number, TransactionState.FAILED, error))
            return
        # The clocks of two VMs differ. The home's later time of arrival makes the
        # freshness proof no weaker.
        arrived = self._gateway.clock.monotonic()
        request = msgspec.structs.replace(message.request, arrived=arrived)
        try:
            answer = await session.execute(request)
            outcome = Outcome(message.number, session.state, answer=answer)
        except ProxyError as error:
            outcome = _failed(message.number, session.state, error)
        except Exception as unexpected:
            outcome = await self._abandon(message, session, unexpected)
        if session.state is TransactionState.IDLE:
            self.transactions.pop(message.seat, None)
        position = session.session_state.position
        if self.stream.unsent > MAX_UNSENT_BYTES and _reads(message, session):
            # The VM takes no answers, and more of them would fill this one.
            error = ProxyError(ErrorKind.READ_UNANSWERED)
            outcome = _failed(message.number, outcome.state, error)
        outcome = msgspec.structs.replace(outcome, position=position)
        try:
            self._send(outcome)
        except FrameTooLarge as too_large:
            error = _too_large_error(message, session, str(too_large))
            self._send(_failed(message.number, outcome.state, error, position))

    async def _abandon(
        self, message: RunStatement, session: StatementSession, unexpected: Exception
    ) -> Outcome:
        """End a session after an unexpected error; return its statement's outcome."""
        reason = repr(unexpected)
        _log.error(
            "statement_error",
            alarm=1,
            id=message.request.id.decode("latin-1"),
            database=message.database,
            reason=reason,
        )
        await session.close()
        self.transactions.pop(message.seat, None)
        in_transaction = message.seat != NO_TRANSACTION
        state = TransactionState.FAILED if in_transaction else TransactionState.IDLE
        error = ProxyError(ErrorKind.INTERNAL, {"reason": reason})
        return _failed(message.number, state, error)

    def _grant(self, message: AskTokens) -> Tokens:
        """Grant tokens; a late request costs tokens and does no other harm."""
        if self._borrowed is None:
            self._borrowed = {}
        allotments = self._gateway.allotments
        if allotments is None:
            return Tokens(message.number, {})
        return allotments.grant(message, self._borrowed)

    def _send(self, message: FromHome) -> None:
        self.stream.write_frame(encode(message))

    def _session(self, message: RunStatement) -> StatementSession | None:
        session = self.transactions.get(message.seat)
        if session is None:
            begins = isinstance(message.request.statement, Begin)
            if message.state is None or (message.seat != NO_TRANSACTION and not begins):
                return None
            session = StatementSession(
                message.database,
                gateway=self._gateway,
                state=message.state,
                organisation=message.organisation,
                routes_version=message.routes_version,
            )
            if message.seat != NO_TRANSACTION:
                self.transactions[message.seat] = session
        elif message.state is not None:
            session.session_state = message.state
        return session


def _reads(message: RunStatement, session: StatementSession) -> bool:
    """Whether a statement only reads."""
    statement = message.request.statement
    if isinstance(statement, Execute):
        prepared = session.session_state.prepared.get(statement.name)
        return prepared is not None and not prepared.writes
    return isinstance(statement, Read)


def _too_large_error(
    message: RunStatement, session: StatementSession, reason: str
) -> ProxyError:
    """Return the error for a statement whose answer is too large to be sent.

    A read changes nothing, so another VM may run it again.
    """
    if _reads(message, session):
        details = {"size": "more", "limit": MAX_FRAME_BYTES}
        return ProxyError(ErrorKind.STATEMENT_TOO_LARGE, details)
    return ProxyError(ErrorKind.INTERNAL, {"reason": reason})


def _failed(
    number: int,
    state: TransactionState,
    error: ProxyError,
    position: LogPosition = NO_POSITION,
) -> Outcome:
    details = error_details(error)
    return Outcome(number, state, position, error=error.kind, details=details)
