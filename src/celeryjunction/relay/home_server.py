"""The home's side: runs the statements that VMs of its zone pass on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from celeryjunction.adapters.frame_stream import FrameStream
from celeryjunction.errors import ProxyError, rolled_back
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import Begin
from celeryjunction.logs import get_logger
from celeryjunction.relay.messages import (
    NO_TRANSACTION,
    AskEndpoints,
    EndpointList,
    EndTransaction,
    FromHome,
    HomeStatus,
    Outcome,
    RunStatement,
    decode_to_home,
    details_of,
    encode,
)
from celeryjunction.replication.ports import TransactionState

SILENT_S = 3.0
"""A VM that says nothing for so long has lost its callers; they hold transactions. As
long as endpoints keep the connection of an unreachable caller."""

STALLED_S = 0.55
"""A frame that comes so long after the one before it may have waited while this VM
stood still, and its sender has given it up: shorter than the `SILENT_S` after which a
guest gives up a home, longer than two of its pulses."""

_log = get_logger("relay")


class GuestStream(FrameStream):
    """A connection of another VM; `on_made` starts its task."""

    on_made: Callable[[GuestStream], None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        super().connection_made(transport)
        self.on_made(self)


class HomeServer:
    """Accepts the VMs of this zone; `status` says how this home is."""

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
        self._guests: dict[_Guest, asyncio.Task[None]] = {}

    async def start(self, host: str, port: int) -> None:
        """Listen; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, host, port)

    @property
    def port(self) -> int:
        """The port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def busy(self) -> bool:
        """Whether transactions are open or statements run for other VMs."""
        return any(guest.seats or guest.running for guest in self._guests)

    def send_status(self) -> None:
        """Send the pulse unasked, because it changed."""
        for guest in self._guests:
            guest.stream.write_frame(encode(self._status()))

    def abort_idle(self, error: ProxyError) -> None:
        """Roll back the transactions that wait for their next statement."""
        for guest in self._guests:
            for session in guest.seats.values():
                session.abort(error)

    def _accept(self) -> GuestStream:
        stream = GuestStream()
        stream.on_made = self._serve
        return stream

    def _serve(self, stream: FrameStream) -> None:
        guest = _Guest(
            stream,
            gateway=self._gateway,
            status=self._status,
            endpoints=self._endpoints,
        )
        task = asyncio.create_task(guest.serve())
        self._guests[guest] = task
        task.add_done_callback(lambda done: self._ended(guest, done))

    def _ended(self, guest: _Guest, task: asyncio.Task[None]) -> None:
        self._guests.pop(guest, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("guest_failed", reason=repr(error))

    async def close(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._guests.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _Guest:
    """One VM whose callers' statements run here."""

    def __init__(
        self,
        stream: FrameStream,
        *,
        gateway: Gateway,
        status: Callable[[], HomeStatus],
        endpoints: Callable[[], EndpointList],
    ) -> None:
        self.stream = stream
        self.seats: dict[int, StatementSession] = {}
        """Sessions with an open transaction."""
        self.running: set[asyncio.Task[None]] = set()
        self._gateway = gateway
        self._status = status
        self._endpoints = endpoints

    async def serve(self) -> None:
        """Serve the VM until the connection ends, then roll back what is open."""
        try:
            read_at = self._gateway.clock.monotonic()
            while (frame := await self._read()) is not None:
                before, read_at = read_at, self._gateway.clock.monotonic()
                if read_at - before >= STALLED_S:
                    # Running a write now could undo what the caller wrote since.
                    _log.warning("guest_stalled", for_s=round(read_at - before, 3))
                    return
                self._take(frame)
        finally:
            self.stream.abort()
            running = list(self.running)
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
            seats, self.seats = self.seats, {}
            for session in seats.values():
                await session.close()

    async def _read(self) -> bytes | None:
        try:
            async with asyncio.timeout(SILENT_S):
                return await self.stream.read_frame()
        except TimeoutError:
            _log.warning("guest_silent", transactions=len(self.seats))
            return None

    def _take(self, frame: bytes) -> None:
        try:
            message = decode_to_home(frame)
        except msgspec.MsgspecError as error:
            _log.error("message_ignored", reason=str(error))
            return
        if isinstance(message, RunStatement):
            task = asyncio.create_task(self._run(message))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
        elif isinstance(message, EndTransaction):
            session = self.seats.pop(message.seat, None)
            if session is not None:
                task = asyncio.create_task(session.close())
                self.running.add(task)
                task.add_done_callback(self.running.discard)
        elif isinstance(message, AskEndpoints):
            self._send(self._endpoints())
        else:
            self._send(self._status())

    async def _run(self, message: RunStatement) -> None:
        session = self._session(message)
        if session is None:
            # The seat is from before this process started.
            error = rolled_back("its home does not know it any more")
            self._send(_failed(message.number, TransactionState.FAILED, error))
            return
        # The home's clock is another one; taking the later instant asks no less of
        # a proof.
        arrived = self._gateway.clock.monotonic()
        request = msgspec.structs.replace(message.request, arrived=arrived)
        try:
            answer = await session.execute(request)
            outcome = Outcome(message.number, session.state, answer=answer)
        except ProxyError as error:
            outcome = _failed(message.number, session.state, error)
        if session.state is TransactionState.IDLE:
            self.seats.pop(message.seat, None)
        self._send(msgspec.structs.replace(outcome, position=session.kept.position))

    def _send(self, message: FromHome) -> None:
        self.stream.write_frame(encode(message))

    def _session(self, message: RunStatement) -> StatementSession | None:
        session = self.seats.get(message.seat)
        if session is None:
            begins = isinstance(message.request.statement, Begin)
            if message.state is None or (message.seat != NO_TRANSACTION and not begins):
                return None
            session = StatementSession(
                message.database, gateway=self._gateway, state=message.state
            )
            if message.seat != NO_TRANSACTION:
                self.seats[message.seat] = session
        elif message.state is not None:
            session.kept = message.state
        return session


def _failed(number: int, state: TransactionState, error: ProxyError) -> Outcome:
    return Outcome(number, state, error=error.kind, details=details_of(error))
