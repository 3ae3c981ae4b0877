"""A VM's connection to one home: statements, their outcomes, and whether it is alive.

One task connects, reads and reconnects. A home that is frozen, cut off or without power
says nothing, so it is asked for its pulse; a connection without an answer is given up.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

import msgspec

from celeryjunction.adapters.frame_stream import FrameStream
from celeryjunction.errors import ConnectionLost
from celeryjunction.gateway.session import SessionState
from celeryjunction.gateway.statements import Request
from celeryjunction.logs import get_logger
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

PULSE_S = 0.2
"""Interval at which a home is asked for its pulse."""
SILENT_S = 0.6
"""A home that says nothing for so long is given up at the next question: two or three
are then unanswered. The shortest time-out of a statement is 0.8 s."""
CONNECT_TIMEOUT_S = 0.3
"""Limit for a connection within the zone, where a round trip takes 0.4 ms."""
RETRY_S = 0.05
LONGEST_RETRY_S = 1.0
"""Pause before a home is tried again, doubling from the first to the longest."""

RETURN_S = 1.0
"""A process that ended is started again after a short delay; one that is not back after
this is not waited for."""

_log = get_logger("relay")


class HomeLink:
    """Runs statements at one home VM."""

    def __init__(
        self,
        vm: str,
        address: tuple[str, int],
        *,
        random: Random,
        on_update: Callable[[HomeLink], None] = lambda link: None,
    ) -> None:
        self.vm = vm
        self.address = address
        self.status: HomeStatus | None = None
        """The home's last word on this connection; None while it has none."""
        self.endpoints: EndpointList | None = None
        """The home's list of endpoints, on this connection."""
        self._on_update = on_update
        self._gone_at = asyncio.get_running_loop().time()
        self.epoch = 0
        """Number of connections so far; a transaction is lost with its connection."""
        self._random = random
        self._stream: FrameStream | None = None
        self._numbers = count(1)
        self._seats = count(1)
        self._open_seats: set[int] = set()
        self._waiting: dict[int, asyncio.Future[Outcome]] = {}
        self._heard_at = 0.0
        self._task = asyncio.create_task(self._run())

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "usable", self.usable

    @property
    def usable(self) -> bool:
        """Whether the home answers and takes new transactions."""
        return self.status is not None and not self.status.leaving

    @property
    def may_return(self) -> bool:
        """Whether the home was lost, or first tried, a short time ago."""
        return asyncio.get_running_loop().time() - self._gone_at < RETURN_S

    @property
    def busy(self) -> bool:
        """Whether statements wait or transactions are open at the home."""
        return bool(self._waiting or self._open_seats)

    def new_seat(self) -> int:
        """Return a number for a transaction on this connection."""
        number = next(self._seats)
        self._open_seats.add(number)
        return number

    def forget_seat(self, seat: int) -> None:
        """Note that a transaction has ended at the home."""
        self._open_seats.discard(seat)

    async def run(
        self,
        request: Request,
        *,
        database: str,
        seat: int,
        state: SessionState | None,
        timeout: float,
    ) -> Outcome:
        """Run a statement; raises `ConnectionLost` when no outcome came.

        A timeout does not close the connection: other statements share it.
        """
        stream = self._stream
        if stream is None or stream.closed:
            raise ConnectionLost(f"no connection to home {self.vm}", sent=False)
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        stream.write_frame(encode(RunStatement(number, seat, database, request, state)))
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            reason = f"no outcome from home {self.vm}"
            raise ConnectionLost(reason, sent=True) from None
        finally:
            self._waiting.pop(number, None)

    def end_seat(self, seat: int) -> None:
        """Have a transaction rolled back that is no longer wanted."""
        self.forget_seat(seat)
        if self._stream is not None:
            self._stream.write_frame(encode(EndTransaction(seat)))

    def close(self) -> None:
        """Close for good."""
        self._task.cancel()
        self._lost("closed")

    async def _run(self) -> None:
        pause = RETRY_S
        while True:
            reason = await self._serve_once()
            if self._lost(reason):
                pause = RETRY_S
            await asyncio.sleep(pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, LONGEST_RETRY_S)

    async def _serve_once(self) -> str:
        """Connect and read until the connection ends; return why it did."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, self._stream = await loop.create_connection(
                    FrameStream, *self.address
                )
        except (OSError, TimeoutError) as error:
            return type(error).__name__
        self.epoch += 1
        asking = asyncio.create_task(self._poll_status(self._stream))
        try:
            return await self._read(self._stream)
        finally:
            asking.cancel()

    async def _read(self, stream: FrameStream) -> str:
        while (frame := await stream.read_frame()) is not None:
            self._heard_at = asyncio.get_running_loop().time()
            try:
                message = decode_from_home(frame)
            except msgspec.MsgspecError as error:
                return f"unreadable: {error}"
            if isinstance(message, HomeStatus):
                self._handle_status(message)
            elif isinstance(message, EndpointList):
                self.endpoints = message
                self._on_update(self)
            else:
                future = self._waiting.get(message.number)
                if future is not None and not future.done():
                    future.set_result(message)
        return "connection ended"

    def _handle_status(self, status: HomeStatus) -> None:
        before, self.status = self.status, status
        if before is None or before.leaving != status.leaving:
            _log.info("home_reached", vm=self.vm, leaving=status.leaving)
        known = self.endpoints
        if known is None or known.version != status.endpoints_version:
            self._stream.write_frame(encode(AskEndpoints()))
        self._on_update(self)

    async def _poll_status(self, stream: FrameStream) -> None:
        """Ask again and again; give the connection up when nothing comes."""
        loop = asyncio.get_running_loop()
        self._heard_at = loop.time()
        while True:
            stream.write_frame(encode(AskHomeStatus()))
            asked_at = loop.time()
            await asyncio.sleep(PULSE_S)
            now = loop.time()
            if now - asked_at > 2 * PULSE_S:
                # This VM stood still; that says nothing of the home.
                self._heard_at = now
            elif now - self._heard_at >= SILENT_S:
                stream.abort()
                return

    def _lost(self, reason: str) -> bool:
        """Fail what waits; return whether the home had been reached."""
        reached, self.status = self.status is not None, None
        self.endpoints = None
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        if reached:
            self._gone_at = asyncio.get_running_loop().time()
            _log.warning(
                "home_lost", vm=self.vm, reason=reason, waiting=len(self._waiting)
            )
        for future in self._waiting.values():
            if not future.done():
                future.set_exception(
                    ConnectionLost(f"home {self.vm} was lost: {reason}", sent=True)
                )
        return reached
