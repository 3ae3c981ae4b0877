"""Requests to other proxies: one stream and one task for each peer that gets any.

A link dials when it is first needed and again, with back-off, when the stream broke.
While it is down, requests do not wait for it: they fail at once as not sent, so that
another proxy can take them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from itertools import count
from random import Random

from celeryjunction.balancer import backoff
from celeryjunction.liveness import Liveness
from celeryjunction.logs import get_logger
from celeryjunction.peers import (
    Abort,
    Answer,
    Cancel,
    MessageTooLarge,
    PeerLost,
    PeerStream,
    Request,
)
from celeryjunction.ports import Clock

DIAL_S = 0.5
REDIAL_BASE_S = 0.1
REDIAL_CAP_S = 2.0
IDLE_S = 60.0
"""A stream without requests for so long is closed: with thousands of VMs only the
ones in use should cost a connection and heartbeats."""

_log = get_logger("links")


class NotSent(Exception):
    """No byte of the request can have reached the peer."""


class AnswerLost(Exception):
    """The request was sent, and its answer will not come or did not come in time."""


class _Pending:
    __slots__ = ("abandon", "future")

    def __init__(self, future: asyncio.Future[Answer], abandon: bool) -> None:
        self.future = future
        self.abandon = abandon


class PeerConnection:
    """One stream to a peer with the requests that wait for an answer."""

    __slots__ = ("_clock", "_ids", "_pending", "_sent", "_stream", "used_at")

    def __init__(
        self,
        stream: PeerStream,
        *,
        clock: Clock,
        sent: Callable[[PeerStream], None] = lambda _: None,
    ) -> None:
        self._stream = stream
        self._sent = sent
        self._clock = clock
        self._ids = count(1)
        self._pending: dict[int, _Pending] = {}
        self.used_at = clock.monotonic()

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "pending", len(self._pending)

    @property
    def vm(self) -> str:
        """The peer's VM."""
        return self._stream.vm

    @property
    def closed(self) -> bool:
        """Whether the stream is closed."""
        return self._stream.closed

    @property
    def idle(self) -> bool:
        """Whether no request came for `IDLE_S` and none waits."""
        return not self._pending and self._clock.monotonic() - self.used_at > IDLE_S

    def next_id(self) -> int:
        """Return an id for a request or a transaction, unique on this connection."""
        return next(self._ids)

    async def call(
        self, request: Request, *, timeout: float, abandon: bool = False
    ) -> Answer:
        """Send a request and return its answer.

        Raises `NotSent`, or `AnswerLost` when the stream broke or `timeout` seconds
        passed. With `abandon` it is also raised as soon as the peer is suspected. A
        call that ends without an answer cancels the request at the peer.
        """
        if timeout <= 0:
            raise NotSent("no time is left")
        future = asyncio.get_running_loop().create_future()
        self.used_at = self._clock.monotonic()
        try:
            self._stream.send(request)
            self._sent(self._stream)
        except (PeerLost, MessageTooLarge) as error:
            raise NotSent(str(error)) from None
        self._pending[request.id] = _Pending(future, abandon)
        try:
            async with asyncio.timeout(timeout):
                await self._stream.flush()
                return await future
        except TimeoutError:
            self.post(Cancel(request.id))
            raise AnswerLost("no answer in time") from None
        except PeerLost as error:
            raise AnswerLost(str(error)) from None
        except (asyncio.CancelledError, AnswerLost):
            self.post(Cancel(request.id))
            raise
        finally:
            del self._pending[request.id]
            self.used_at = self._clock.monotonic()

    def post(self, message: Abort | Cancel) -> None:
        """Send a message that has no answer; without a stream it is not needed."""
        if not self._stream.closed:
            self._stream.send(message)

    async def run(self, heard: Callable[[str], None]) -> None:
        """Take in answers until the stream breaks."""
        try:
            while True:
                answer = await self._stream.receive()
                heard(self.vm)
                pending = self._pending.get(getattr(answer, "id", 0))
                if (
                    pending is not None
                    and isinstance(answer, Answer)
                    and not pending.future.done()
                ):
                    pending.future.set_result(answer)
        except PeerLost as error:
            self._fail(str(error), all_requests=True)
        finally:
            self.close()

    def abandon(self) -> None:
        """End the requests that need not wait for a suspected peer."""
        self._fail("the proxy that ran the statement is not heard", all_requests=False)

    def close(self) -> None:
        """Close the stream; requests that wait get `AnswerLost`."""
        self._stream.close()
        self._fail("the connection to the peer was closed", all_requests=True)

    def _fail(self, reason: str, *, all_requests: bool) -> None:
        for pending in self._pending.values():
            if (all_requests or pending.abandon) and not pending.future.done():
                pending.future.set_exception(AnswerLost(reason))


class PeerLink:
    """Keeps a connection to one peer while it is used."""

    __slots__ = (
        "_changed",
        "_clock",
        "_connection",
        "_dial",
        "_liveness",
        "_random",
        "_task",
        "down",
        "vm",
    )

    def __init__(
        self,
        vm: str,
        *,
        dial: Callable[[], Awaitable[PeerStream]],
        liveness: Liveness,
        clock: Clock,
        random: Random,
    ) -> None:
        self.vm = vm
        self.down = False
        self._dial = dial
        self._liveness = liveness
        self._clock = clock
        self._random = random
        self._connection: PeerConnection | None = None
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "down", self.down

    @property
    def usable(self) -> bool:
        """Whether the peer may be given requests."""
        return not self.down and not self._liveness.is_suspected(self.vm)

    async def connection(self, *, timeout: float) -> PeerConnection:
        """Return the open connection, dialling first if needed; raises `NotSent`."""
        connection = self._connection
        if connection is not None and not connection.closed:
            return connection
        if self.down:
            raise NotSent(f"{self.vm} cannot be reached")
        if self._task is None or self._task.done():
            self._changed.clear()
            self._task = asyncio.create_task(self._run(), name=f"peer-{self.vm}")
        try:
            async with asyncio.timeout(timeout):
                await self._changed.wait()
        except TimeoutError:
            raise NotSent(f"no connection to {self.vm} in time") from None
        if self._connection is None:
            raise NotSent(f"{self.vm} cannot be reached")
        return self._connection

    def check(self) -> None:
        """Close an idle stream, and abandon what waits for a suspected peer."""
        connection = self._connection
        if connection is None:
            return
        if connection.idle:
            self.close()
        elif self._liveness.is_suspected(self.vm):
            connection.abandon()

    def close(self) -> None:
        """Close the stream and stop dialling; the next request dials again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._drop()
        self.down = False

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                stream = await self._dial()
            except PeerLost as error:
                self._note_down(str(error))
                pause = backoff(
                    failures,
                    base_s=REDIAL_BASE_S,
                    cap_s=REDIAL_CAP_S,
                    random=self._random,
                )
                failures += 1
                await asyncio.sleep(pause)
                continue
            failures = 0
            await self._use(stream)
            self._note_down("the connection broke")

    async def _use(self, stream: PeerStream) -> None:
        self._connection = PeerConnection(
            stream, clock=self._clock, sent=self._liveness.record_frame_sent
        )
        self._liveness.stream_opened(self.vm)
        self.down = False
        self._changed.set()
        try:
            await self._connection.run(self._liveness.record_received)
        finally:
            self._liveness.stream_closed(self.vm)

    def _note_down(self, reason: str) -> None:
        if not self.down:
            _log.warning("peer_unreachable", vm=self.vm, reason=reason)
        self.down = True
        self._drop()
        self._changed.set()

    def _drop(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        self._changed.clear()
