"""Requests to other proxies, over one stream and one task for each peer in use.

A link dials on its first request, and again with back-off after its stream broke. While
it is down, requests do not wait for it: they fail at once as not sent, so that another
proxy can take them.
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

DIAL_TIMEOUT_S = 0.5
REDIAL_BASE_S = 0.1
REDIAL_CAP_S = 2.0
IDLE_TIMEOUT_S = 60.0
"""A stream without requests for this long is closed: with thousands of VMs, only links
in use should cost a connection and heartbeats."""

_log = get_logger("links")


class NotSent(Exception):
    """The request was not sent: no byte of it can have reached the peer."""


class AnswerLost(Exception):
    """The request was sent, but its answer will not come or did not come in time."""


class _Pending:
    __slots__ = ("abandon_if_suspected", "future")

    def __init__(
        self, future: asyncio.Future[Answer], abandon_if_suspected: bool
    ) -> None:
        self.future = future
        self.abandon_if_suspected = abandon_if_suspected


class PeerConnection:
    """A stream to a peer, with the requests that wait for an answer."""

    __slots__ = (
        "_clock",
        "_on_sent",
        "_pending",
        "_request_ids",
        "_stream",
        "last_used_at",
    )

    def __init__(
        self,
        stream: PeerStream,
        *,
        clock: Clock,
        on_sent: Callable[[PeerStream], None] = lambda _: None,
    ) -> None:
        self._stream = stream
        self._on_sent = on_sent
        self._clock = clock
        self._request_ids = count(1)
        self._pending: dict[int, _Pending] = {}
        self.last_used_at = clock.monotonic()

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
        """Whether no request waits and none was active for `IDLE_TIMEOUT_S`."""
        return (
            not self._pending
            and self._clock.monotonic() - self.last_used_at > IDLE_TIMEOUT_S
        )

    def next_id(self) -> int:
        """Return an id for a request or transaction, unique on this connection."""
        return next(self._request_ids)

    async def call(
        self, request: Request, *, timeout: float, abandon_if_suspected: bool = False
    ) -> Answer:
        """Send a request and return its answer.

        Raises `NotSent`, or `AnswerLost` when the stream broke or `timeout` seconds
        passed. With `abandon_if_suspected`, `AnswerLost` is also raised once the peer
        is suspected. A call that ends without an answer cancels the request at the
        peer.
        """
        if timeout <= 0:
            raise NotSent("no time is left")
        future = asyncio.get_running_loop().create_future()
        self.last_used_at = self._clock.monotonic()
        try:
            self._stream.send(request)
            self._on_sent(self._stream)
        except (PeerLost, MessageTooLarge) as error:
            raise NotSent(str(error)) from None
        self._pending[request.id] = _Pending(future, abandon_if_suspected)
        try:
            async with asyncio.timeout(timeout):
                await self._stream.flush()
                return await future
        except TimeoutError:
            self.send_one_way(Cancel(request.id))
            raise AnswerLost("no answer in time") from None
        except PeerLost as error:
            raise AnswerLost(str(error)) from None
        except (asyncio.CancelledError, AnswerLost):
            self.send_one_way(Cancel(request.id))
            raise
        finally:
            del self._pending[request.id]
            self.last_used_at = self._clock.monotonic()

    def send_one_way(self, message: Abort | Cancel) -> None:
        """Send a message that has no answer.

        Does nothing on a closed stream: the peer ends the stream's requests itself.
        """
        if not self._stream.closed:
            self._stream.send(message)

    async def run(self, on_received: Callable[[str], None]) -> None:
        """Receive answers until the stream breaks."""
        try:
            while True:
                answer = await self._stream.receive()
                on_received(self.vm)
                pending = self._pending.get(getattr(answer, "id", 0))
                if (
                    pending is not None
                    and isinstance(answer, Answer)
                    and not pending.future.done()
                ):
                    pending.future.set_result(answer)
        except PeerLost as error:
            self._fail_pending(str(error), all_requests=True)
        finally:
            self.close()

    def abandon_requests(self) -> None:
        """Fail the requests that do not wait for a suspected peer."""
        self._fail_pending(
            "the proxy that ran the statement is not heard", all_requests=False
        )

    def close(self) -> None:
        """Close the stream; pending requests raise `AnswerLost`."""
        self._stream.close()
        self._fail_pending("the connection to the peer was closed", all_requests=True)

    def _fail_pending(self, reason: str, *, all_requests: bool) -> None:
        for pending in self._pending.values():
            if (
                all_requests or pending.abandon_if_suspected
            ) and not pending.future.done():
                pending.future.set_exception(AnswerLost(reason))


class PeerLink:
    """Keeps a connection to one peer open while it is in use."""

    __slots__ = (
        "_clock",
        "_connection",
        "_dial",
        "_dial_completed",
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
        self._dial_completed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "down", self.down

    @property
    def usable(self) -> bool:
        """Whether requests may be sent to the peer."""
        return not self.down and not self._liveness.is_suspected(self.vm)

    async def connection(self, *, timeout: float) -> PeerConnection:
        """Return the open connection, dialling first if needed.

        Raises `NotSent` if there is none within `timeout` seconds.
        """
        connection = self._connection
        if connection is not None and not connection.closed:
            return connection
        if self.down:
            raise NotSent(f"{self.vm} cannot be reached")
        if self._task is None or self._task.done():
            self._dial_completed.clear()
            self._task = asyncio.create_task(self._run(), name=f"peer-{self.vm}")
        try:
            async with asyncio.timeout(timeout):
                await self._dial_completed.wait()
        except TimeoutError:
            raise NotSent(f"no connection to {self.vm} in time") from None
        if self._connection is None:
            raise NotSent(f"{self.vm} cannot be reached")
        return self._connection

    def check(self) -> None:
        """Close an idle stream, or abandon the requests to a suspected peer."""
        connection = self._connection
        if connection is None:
            return
        if connection.idle:
            self.close()
        elif self._liveness.is_suspected(self.vm):
            connection.abandon_requests()

    def close(self) -> None:
        """Close the stream and stop dialling; the next request dials again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
        self._drop_connection()
        self.down = False

    async def _run(self) -> None:
        failures = 0
        while True:
            try:
                stream = await self._dial()
            except PeerLost as error:
                self._mark_down(str(error))
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
            await self._run_connection(stream)
            self._mark_down("the connection broke")

    async def _run_connection(self, stream: PeerStream) -> None:
        self._connection = PeerConnection(
            stream, clock=self._clock, on_sent=self._liveness.record_frame_sent
        )
        self._liveness.stream_opened(self.vm)
        self.down = False
        self._dial_completed.set()
        try:
            await self._connection.run(self._liveness.record_received)
        finally:
            self._liveness.stream_closed(self.vm)

    def _mark_down(self, reason: str) -> None:
        if not self.down:
            _log.warning("peer_unreachable", vm=self.vm, reason=reason)
        self.down = True
        self._drop_connection()
        self._dial_completed.set()

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        self._dial_completed.clear()
