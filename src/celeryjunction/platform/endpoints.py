"""Endpoints over the platform's line protocol: `EndpointDialer` and `EndpointLink`."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from celeryjunction.adapters.line_stream import LineStream, LineTooLong
from celeryjunction.errors import ConnectionLost
from celeryjunction.platform.wire import (
    FAULTS,
    STATES,
    encode_command,
    parse_position,
    parse_status,
)
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    Answer,
    Command,
    EndpointInfo,
    EndpointRefused,
    EndpointStatus,
    Fault,
    TransactionState,
)


class LineLink:
    """Implements `EndpointLink` on one connection."""

    def __init__(
        self, stream: LineStream, *, opened_at: float, sent: Counter[str]
    ) -> None:
        self._sent = sent
        self.opened_at = opened_at
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.state_uncertain = False
        self._stream = stream
        self._running = False
        self._state = TransactionState.IDLE

    @property
    def usable(self) -> bool:
        """Whether the connection is open, with nothing left unread or unanswered."""
        return not (self._stream.closed or self._running or self._stream.buffered)

    @property
    def in_transaction(self) -> bool:
        """Whether the last answer left a transaction open."""
        return self._state is not TransactionState.IDLE

    async def run(self, commands: Sequence[Command], *, timeout: float) -> list[Answer]:
        """Send the commands in one go and return one answer each."""
        if not self.usable:
            self.close()
            raise ConnectionLost("the connection was closed", sent=False)
        self._running = True
        self._sent.update(type(command).__name__ for command in commands)
        self._stream.write(b"".join(map(encode_command, commands)))
        try:
            async with asyncio.timeout(timeout):
                answers = [await self._read_answer() for _ in commands]
        except TimeoutError:
            self.close()
            raise ConnectionLost("no answer in time", sent=True) from None
        except BaseException:
            self.close()
            raise
        self._running = False
        self._state = answers[-1].state
        return answers

    async def _read_answer(self) -> Answer:
        rows: list[bytes] = []
        digest, detail, fault = b"", "", None
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(b" ")
            if word == b"ROW":
                rows.append(rest)
            elif word == b"COMPLETE":
                digest = rest
            elif word == b"ERROR":
                code, _, text = rest.partition(b" ")
                fault = FAULTS.get(code, Fault.OTHER)
                detail = f"{code.decode('latin-1')} {text.decode('latin-1')}".strip()
            elif word == b"READY":
                state, _, position = rest.partition(b" ")
                return self._answer(rows, digest, state, position, fault, detail)
            else:
                raise ConnectionLost("an unknown message came", sent=True)

    @staticmethod
    def _answer(
        rows: list[bytes],
        digest: bytes,
        state: bytes,
        position: bytes,
        fault: Fault | None,
        detail: str,
    ) -> Answer:
        if state not in STATES or not (digest or fault):
            raise ConnectionLost("an answer was cut off", sent=True)
        return Answer(
            tuple(rows), digest, STATES[state], parse_position(position), fault, detail
        )

    async def _read_line(self) -> bytes:
        try:
            line = await self._stream.read_line()
        except LineTooLong:
            raise ConnectionLost("a message was too long", sent=True) from None
        if line is None:
            raise ConnectionLost("the endpoint closed the connection", sent=True)
        return line

    def close(self) -> None:
        """Close at once."""
        self._stream.abort()
        self._stream.closed = True


class LineDialer:
    """Implements `EndpointDialer`. `caller` is the name that endpoints see."""

    def __init__(self, *, caller: str, clock: Clock) -> None:
        self._caller = caller.encode()
        self._clock = clock
        self.opened = 0
        """Connections opened since the start."""
        self.sent: Counter[str] = Counter()
        """Commands sent since the start, by kind."""

    async def connect(self, endpoint: EndpointInfo, *, timeout: float) -> LineLink:
        """Open a connection and wait until the endpoint is ready for statements."""
        stream: LineStream | None = None
        try:
            async with asyncio.timeout(timeout):
                loop = asyncio.get_running_loop()
                _, stream = await loop.create_connection(
                    LineStream, endpoint.host, endpoint.port
                )
                fields = (endpoint.group.encode(), self._caller, endpoint.id.encode())
                stream.write(b"CONNECT %b %b %b\r\n" % fields)
                line = await stream.read_line()
        except TimeoutError:
            _abort(stream)
            raise ConnectionLost("silent", sent=False) from None
        except OSError as error:
            _abort(stream)
            reason = type(error).__name__
            raise ConnectionLost(reason, sent=False) from None
        except BaseException:
            _abort(stream)
            raise
        self._check_ready(stream, line)
        self.opened += 1
        return LineLink(stream, opened_at=self._clock.monotonic(), sent=self.sent)

    @staticmethod
    def _check_ready(stream: LineStream, line: bytes | None) -> None:
        word, _, rest = (line or b"").partition(b" ")
        if word == b"READY":
            return
        _abort(stream)
        if word != b"ERROR":
            raise ConnectionLost("closed while connecting", sent=False)
        code, _, text = rest.partition(b" ")
        fault = FAULTS.get(code, Fault.OTHER)
        raise EndpointRefused(fault, text.decode("latin-1"))

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Return the status in an answer."""
        if answer.fault is not None or not answer.rows:
            return None
        return parse_status(answer.rows[0])


def _abort(stream: LineStream | None) -> None:
    if stream is not None:
        stream.abort()
