"""Connection to the holder of a share, from which this VM requests tokens.

One request is in flight at a time; what is wanted meanwhile goes into the next one,
for all organisations together. A reply that takes longer than `REPLY_TIMEOUT_S` is
ignored: its tokens were deducted at the holder and are lost, so that a late reply never
adds any.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from itertools import count

from celeryjunction.adapters.frame_stream import FrameStream
from celeryjunction.allotments.demand import Lot
from celeryjunction.decoding import DecodingError
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.relay.messages import AskTokens, Tokens, decode_from_home, encode

REPLY_TIMEOUT_S = 0.25
"""Time-out of a request, connecting included."""
RETRY_S = 1.0
"""After a failure, operations do not wait for the holder for this time."""
IDLE_TIMEOUT_S = 10.0
"""A connection that was not used for this long is closed."""

Connect = Callable[[tuple[str, int]], Awaitable[FrameStream]]
"""Opens a connection to a host and port; raises `OSError` or `UnicodeError`."""

_log = get_logger("allotments")


async def connect_frames(address: tuple[str, int]) -> FrameStream:
    """Open a connection over TCP."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(FrameStream, *address)
    return stream


class _Want:
    """Tokens that one organisation wants, until the reply or the time-out."""

    __slots__ = ("amount", "future")

    def __init__(self, amount: float, future: asyncio.Future[Lot | None]) -> None:
        self.amount = amount
        self.future = future


class _InFlight:
    """A request that was sent."""

    __slots__ = ("number", "sent_at", "wants")

    def __init__(self, number: int, sent_at: float, wants: dict[str, _Want]) -> None:
        self.number = number
        self.sent_at = sent_at
        self.wants = wants


class HolderLink:
    """Requests tokens from one VM that holds shares."""

    def __init__(
        self,
        vm: str,
        address: tuple[str, int],
        *,
        clock: Clock,
        connect: Connect = connect_frames,
    ) -> None:
        self.vm = vm
        self.address = address
        self._clock = clock
        self._connect = connect
        self._numbers = count(1)
        self._stream: FrameStream | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[None] | None = None
        self._in_flight: _InFlight | None = None
        self._wanted: dict[str, _Want] = {}
        self._returned: dict[str, float] = {}
        self._last_numbers: dict[str, int] = {}
        """Number of the last request on this connection, by organisation."""
        self._used_at = clock.monotonic()
        self._failed_at: float | None = None
        """When the last request failed; None if it was answered."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "vm", self.vm
        yield "connected", self._stream is not None

    @property
    def is_failing(self) -> bool:
        """Whether the last request failed a short time ago."""
        failed_at = self._failed_at
        return failed_at is not None and self._clock.monotonic() - failed_at < RETRY_S

    @property
    def is_idle(self) -> bool:
        """Whether the connection was not used for `IDLE_TIMEOUT_S`."""
        return self._clock.monotonic() - self._used_at >= IDLE_TIMEOUT_S

    async def ask(self, organisation: str, wanted: float) -> Lot | None:
        """Request tokens of an organisation, for which none are requested already.

        Returns None if no reply arrives within `REPLY_TIMEOUT_S`.
        """
        future = asyncio.get_running_loop().create_future()
        want = _Want(wanted, future)
        self._wanted[organisation] = want
        self._flush()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                return await future
        except TimeoutError:
            self._fail("no reply")
            return None
        finally:
            if self._wanted.get(organisation) is want:
                del self._wanted[organisation]

    def give_back(self, organisation: str, lot: Lot, amount: float) -> None:
        """Return unused tokens; dropped if more were requested since.

        The holder takes a return for one of its last grant.
        """
        is_last = self._last_numbers.get(organisation) == lot.number
        if is_last and amount > 0 and self._stream is not None:
            self._returned[organisation] = (
                self._returned.get(organisation, 0.0) + amount
            )
            self._flush()

    def _flush(self) -> None:
        """Send what is wanted and returned, unless a request is in flight."""
        if self._in_flight is not None or not (self._wanted or self._returned):
            return
        stream = self._stream
        if stream is None or stream.closed:
            if self._connecting is None or self._connecting.done():
                self._connecting = asyncio.create_task(self._open())
            return
        wants, self._wanted = self._wanted, {}
        returned, self._returned = self._returned, {}
        number = next(self._numbers)
        self._used_at = now = self._clock.monotonic()
        self._in_flight = _InFlight(number, now, wants)
        self._last_numbers.update(dict.fromkeys(wants, number))
        amounts = {
            name: (wants[name].amount if name in wants else 0.0, returned.get(name, 0))
            for name in wants.keys() | returned.keys()
        }
        stream.write_frame(encode(AskTokens(number, amounts)))

    async def _open(self) -> None:
        self._used_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                stream = await self._connect(self.address)
        except (OSError, TimeoutError, UnicodeError) as error:
            self._fail(type(error).__name__)  # UnicodeError: no name of a host.
            return
        self._stream = stream
        self._reading = asyncio.create_task(self._read(stream))
        self._flush()

    async def _read(self, stream: FrameStream) -> None:
        reason = "connection ended"
        while (frame := await stream.read_frame()) is not None:
            try:
                message = decode_from_home(frame)
            except DecodingError as error:
                reason = f"unreadable: {error}"
                break
            if isinstance(message, Tokens):
                self._handle(message)
        if self._stream is stream:
            self._fail(reason)

    def _handle(self, message: Tokens) -> None:
        in_flight = self._in_flight
        if in_flight is None or in_flight.number != message.number:
            return
        self._in_flight = None
        # This VM may have been suspended since the request, which its timers do not
        # notice.
        if self._clock.monotonic() - in_flight.sent_at <= REPLY_TIMEOUT_S:
            self._failed_at = None
            for name, want in in_flight.wants.items():
                lot = Lot(
                    min(message.granted.get(name, 0.0), want.amount),
                    source=self,
                    number=in_flight.number,
                    requested_at=in_flight.sent_at,
                )
                if not want.future.done():
                    want.future.set_result(lot)
        else:
            _resolve(in_flight.wants)
        self._flush()

    def _fail(self, reason: str) -> None:
        """Give up what is in flight and close the connection."""
        if self._failed_at is None:
            _log.warning("holder_not_reached", vm=self.vm, reason=reason)
        self._failed_at = self._clock.monotonic()
        self._disconnect()

    def _disconnect(self) -> None:
        in_flight, self._in_flight = self._in_flight, None
        wanted, self._wanted = self._wanted, {}
        self._returned.clear()
        self._last_numbers.clear()
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.abort()
        _resolve(wanted)
        if in_flight is not None:
            _resolve(in_flight.wants)

    def close(self) -> None:
        """Close the connection; waiting requests get no tokens."""
        for task in (self._connecting, self._reading):
            if task is not None:
                task.cancel()
        self._disconnect()


def _resolve(wants: dict[str, _Want]) -> None:
    """End requests without tokens."""
    for want in wants.values():
        if not want.future.done():
            want.future.set_result(None)
