"""Connection of a forwarding VM to one home: statements, outcomes and liveness.

One task connects, reads and reconnects. A home that is frozen, cut off or without power
does not close its connections, so its status is polled, and a connection without a
reply is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from itertools import count
from math import inf
from random import Random

from celeryjunction.adapters.frame_stream import (
    MAX_FRAME_BYTES,
    FrameStream,
    FrameTooLarge,
)
from celeryjunction.client_limits.work_gate import WorkGate
from celeryjunction.decoding import DecodingError
from celeryjunction.errors import ConnectionLost
from celeryjunction.gateway.session import SessionState
from celeryjunction.gateway.statements import Request
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.relay.messages import (
    AskEndpoints,
    AskHomeStatus,
    EndpointList,
    EndTransaction,
    HomeStatus,
    Outcome,
    RunStatement,
    decode_from_home,
    encode,
)

STATUS_INTERVAL_S = 0.2
"""Interval at which a home is asked for its status."""
SILENCE_TIMEOUT_S = 0.6
"""A connection on which nothing arrives for this long is closed at the next poll. Two
or three polls are then unanswered. The shortest time-out of a statement is 0.8 s."""
KEPT_REQUESTS = 16
"""Requests for the status whose times are kept; a connection that is closed for its
silence has three or four without an answer."""
LONGEST_ANSWER_S = SILENCE_TIMEOUT_S + STATUS_INTERVAL_S
"""Time that the status of a home which does not repeat numbers may have taken."""
CONNECT_TIMEOUT_S = 0.3
"""Time-out of a connection within the zone, where a round trip takes 0.4 ms."""
MIN_RETRY_S = 0.05
MAX_RETRY_S = 1.0
"""Pause before the next connection attempt, doubling from the first to the second."""

RECONNECT_GRACE_S = 1.0
"""Statements may wait for a home that was lost less than this ago, since a process that
ends is restarted after a short delay."""
WINDOW_BYTES = 6 << 20
"""Statements in flight on a connection; further ones wait here, before they are
encoded. A statement of 1 MiB with the largest session state has about 4 MiB."""
STATEMENT_BYTES = 1024
"""Size of a frame beside its text and the session's state."""

_log = get_logger("relay")


class HomeLink:
    """Runs statements at one home VM.

    `on_update` is called when the home sent its status or its list of endpoints.
    """

    def __init__(
        self,
        vm: str,
        address: tuple[str, int],
        *,
        random: Random,
        clock: Clock,
        on_update: Callable[[HomeLink], None] = lambda link: None,
    ) -> None:
        self.vm = vm
        self.address = address
        self.status: HomeStatus | None = None
        """The last status on this connection; None before the first one."""
        self.endpoints: EndpointList | None = None
        """The home's list of endpoints, as sent on this connection."""
        self._on_update = on_update
        self._lost_at = asyncio.get_running_loop().time()
        self.epoch = 0
        """Number of connections so far; a transaction is lost with its connection."""
        self._random = random
        self._stream: FrameStream | None = None
        self._statement_numbers = count(1)
        self._transaction_numbers = count(1)
        self._open_transactions: set[int] = set()
        self._outcomes: dict[int, asyncio.Future[Outcome]] = {}
        self._heard_at = 0.0
        self._clock = clock
        self._asked_at: dict[int, float] = {}
        """Times at which the last requests for the status were sent, by number."""
        self.status_asked_at = -inf
        """When the request was sent that the last status answers; monotonic."""
        self._window = WorkGate(WINDOW_BYTES, copies=1)
        self._task = asyncio.create_task(self._run())

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "usable", self.usable

    @property
    def usable(self) -> bool:
        """Whether the home answers and accepts new transactions."""
        return self.status is not None and not self.status.leaving

    @property
    def may_reconnect(self) -> bool:
        """Whether the home was lost, or first tried, only a short time ago."""
        return asyncio.get_running_loop().time() - self._lost_at < RECONNECT_GRACE_S

    @property
    def busy(self) -> bool:
        """Whether statements are in flight or transactions are open at the home."""
        return bool(self._outcomes or self._open_transactions)

    def start_transaction(self) -> int:
        """Return the number of a new transaction at the home."""
        number = next(self._transaction_numbers)
        self._open_transactions.add(number)
        return number

    def mark_transaction_ended(self, transaction: int) -> None:
        """Record that a transaction has ended at the home."""
        self._open_transactions.discard(transaction)

    async def run(
        self,
        request: Request,
        *,
        database: str,
        transaction: int,
        state: SessionState | None,
        timeout: float,
        organisation: str = "",
        routes_version: int = 0,
    ) -> Outcome:
        """Run a statement; raises `ConnectionLost` without an outcome in `timeout` s.

        A time-out does not close the connection, since other statements share it.
        `transaction` is the transaction's number or `NO_TRANSACTION`.
        """
        stream = self._stream
        if stream is None or stream.closed:
            raise ConnectionLost(f"no connection to home {self.vm}", sent=False)
        number = next(self._statement_numbers)
        message = RunStatement(
            number, transaction, database, request, state, organisation, routes_version
        )
        size = _statement_size(request, state)
        if size > MAX_FRAME_BYTES:
            raise ConnectionLost(f"a statement of {size} bytes", sent=False)
        need, sent = 0, False
        try:
            async with asyncio.timeout(timeout):
                need = await self._window.acquire(size)
                if stream.closed:
                    raise ConnectionLost(f"home {self.vm} was lost", sent=False)
                stream.write_frame(encode(message))
                sent = True
                future = asyncio.get_running_loop().create_future()
                self._outcomes[number] = future
                return await future
        except FrameTooLarge as error:
            raise ConnectionLost(str(error), sent=False) from None
        except TimeoutError:
            reason = f"no outcome from home {self.vm}"
            raise ConnectionLost(reason, sent=sent) from None
        finally:
            self._outcomes.pop(number, None)
            self._window.release(need)

    def end_transaction(self, transaction: int) -> None:
        """Have the home roll a transaction back."""
        self.mark_transaction_ended(transaction)
        if self._stream is not None:
            self._stream.write_frame(encode(EndTransaction(transaction)))

    def close(self) -> None:
        """Close the connection and do not reconnect."""
        self._task.cancel()
        self._handle_loss("closed")

    async def _run(self) -> None:
        pause = MIN_RETRY_S
        while True:
            reason = await self._connect_and_read()
            if self._handle_loss(reason):
                pause = MIN_RETRY_S
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, MAX_RETRY_S)

    async def _connect_and_read(self) -> str:
        """Connect, and read until the connection ends; return the reason."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self._stream = await loop.create_connection(
                    FrameStream, *self.address
                )
        except (OSError, TimeoutError, UnicodeError) as error:
            return type(error).__name__  # UnicodeError: no name of a host.
        self.epoch += 1
        polling = asyncio.create_task(self._poll_status(self._stream))
        try:
            return await self._read(self._stream)
        finally:
            polling.cancel()

    async def _read(self, stream: FrameStream) -> str:
        while (frame := await stream.read_frame()) is not None:
            self._heard_at = asyncio.get_running_loop().time()
            try:
                message = decode_from_home(frame)
            except DecodingError as error:
                return f"unreadable: {error}"
            if isinstance(message, HomeStatus):
                self._handle_status(message)
            elif isinstance(message, EndpointList):
                self.endpoints = message
                self._on_update(self)
            elif isinstance(message, Outcome):
                future = self._outcomes.get(message.number)
                if future is not None and not future.done():
                    future.set_result(message)
        return "connection ended"

    def _handle_status(self, status: HomeStatus) -> None:
        before, self.status = self.status, status
        if status.answers:
            self.status_asked_at = self._asked_at.get(status.answers, -inf)
        else:
            self.status_asked_at = self._clock.monotonic() - LONGEST_ANSWER_S
        if before is None or before.leaving != status.leaving:
            _log.info("home_reached", vm=self.vm, leaving=status.leaving)
        endpoints = self.endpoints
        if endpoints is None or endpoints.version != status.endpoints_version:
            self._stream.write_frame(encode(AskEndpoints()))
        self._on_update(self)

    async def _poll_status(self, stream: FrameStream) -> None:
        """Poll the home's status; abort the connection when nothing arrives."""
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        self._asked_at.clear()
        for number in count(1):
            self._asked_at[number] = self._clock.monotonic()
            self._asked_at.pop(number - KEPT_REQUESTS, None)
            stream.write_frame(encode(AskHomeStatus(number)))
            asked_at = loop.time()
            await asyncio.sleep(STATUS_INTERVAL_S)
            now = loop.time()
            if now - asked_at > 2 * STATUS_INTERVAL_S:
                # This VM was paused, so the silence is no evidence against the home.
                self._heard_at = now
            elif now - self._heard_at >= SILENCE_TIMEOUT_S:
                stream.abort()
                return

    def _handle_loss(self, reason: str) -> bool:
        """Fail the statements in flight; return whether the home had been reached."""
        reached, self.status = self.status is not None, None
        self.endpoints = None
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        if reached:
            self._lost_at = asyncio.get_running_loop().time()
            _log.warning(
                "home_lost", vm=self.vm, reason=reason, waiting=len(self._outcomes)
            )
        for future in self._outcomes.values():
            if not future.done():
                future.set_exception(
                    ConnectionLost(f"home {self.vm} was lost: {reason}", sent=True)
                )
        return reached


def _statement_size(request: Request, state: SessionState | None) -> int:
    """Estimate the size of a statement's frame: its text and the session's state."""
    size = STATEMENT_BYTES + len(request.text)
    if state is not None and (state.values or state.prepared):
        size += sum(map(len, state.values.values()))
        size += sum(len(prepared.shape) for prepared in state.prepared.values())
    return size
