"""Connections to endpoints: `EndpointDialer`, `EndpointLink` on the line protocol."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence

from celeryjunction.adapters.line_stream import LineStream, LineTooLong
from celeryjunction.errors import ConnectionLost
from celeryjunction.logs import get_logger
from celeryjunction.platform.wire import (
    FAULTS_BY_CODE,
    STATES_BY_CODE,
    encode_command,
    parse_position,
    parse_status,
)
from celeryjunction.ports import Clock
from celeryjunction.replication.answer_matching import AnswerMatcher, Match
from celeryjunction.replication.ports import (
    Answer,
    Command,
    EndpointInfo,
    EndpointRefused,
    EndpointStatus,
    Fault,
    TransactionState,
)

_log = get_logger("endpoints")


class LineLink:
    """Implements `EndpointLink` on one connection.

    `commands_sent` is the dialer's count of commands by kind, `mismatches` that of
    answers which aren't, or may not be, those of the commands that waited for them.
    """

    def __init__(
        self,
        stream: LineStream,
        *,
        opened_at: float,
        commands_sent: Counter[str],
        mismatches: Counter[str],
    ) -> None:
        self._commands_sent = commands_sent
        self._mismatches = mismatches
        self._matcher = AnswerMatcher()
        self.opened_at = opened_at
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.state_uncertain = False
        self._stream = stream
        self._running = False
        self._state = TransactionState.IDLE

    @property
    def usable(self) -> bool:
        """Whether the connection is open, with no command running or bytes unread."""
        return not (self._stream.closed or self._running or self._stream.buffered)

    @property
    def in_transaction(self) -> bool:
        """Whether the last answer left a transaction open, or failed but not ended."""
        return self._state is not TransactionState.IDLE

    async def run(self, commands: Sequence[Command], *, timeout: float) -> list[Answer]:
        """Send the commands as one pipeline and return an answer for each, in order.

        Raises `ConnectionLost`. The connection is closed if an answer does not arrive
        within `timeout` seconds, or the call is cancelled, because the answers could
        no longer be assigned to their commands.
        """
        if not self.usable:
            self.close()
            raise ConnectionLost("the connection was closed", sent=False)
        self._running = True
        self._commands_sent.update(type(command).__name__ for command in commands)
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
        self._count_mismatches(commands, answers)
        return answers

    def _count_mismatches(
        self, commands: Sequence[Command], answers: list[Answer]
    ) -> None:
        for command, answer in zip(commands, answers, strict=True):
            match = self._matcher.match(command, answer)
            if match is not Match.OWN:
                kind = type(command).__name__
                self._mismatches[f"{kind} {match.value}"] += 1
                _log.warning("answer_mismatch", command=kind, match=match)
            self._matcher.accept(answer)

    async def _read_answer(self) -> Answer:
        rows: list[bytes] = []
        digest, detail, fault = b"", "", None
        while True:
            line = await self._read_line()
            tag, _, rest = line.partition(b" ")
            if tag == b"ROW":
                rows.append(rest)
            elif tag == b"COMPLETE":
                digest = rest
            elif tag == b"ERROR":
                code, _, text = rest.partition(b" ")
                fault = FAULTS_BY_CODE.get(code, Fault.OTHER)
                detail = f"{code.decode('latin-1')} {text.decode('latin-1')}".strip()
            elif tag == b"READY":
                state, _, position = rest.partition(b" ")
                return self._build_answer(rows, digest, state, position, fault, detail)
            else:
                raise ConnectionLost("an unknown message came", sent=True)

    @staticmethod
    def _build_answer(
        rows: list[bytes],
        digest: bytes,
        state: bytes,
        position: bytes,
        fault: Fault | None,
        detail: str,
    ) -> Answer:
        if state not in STATES_BY_CODE or not (digest or fault):
            raise ConnectionLost("an answer was cut off", sent=True)
        return Answer(
            tuple(rows),
            digest,
            STATES_BY_CODE[state],
            parse_position(position),
            fault,
            detail,
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
        """Close the connection at once; answers not yet read are lost."""
        self._stream.abort()
        self._stream.closed = True


class LineDialer:
    """Implements `EndpointDialer`.

    `client_name` is the name that the proxy gives in the CONNECT message to endpoints.
    """

    def __init__(self, *, client_name: str, clock: Clock) -> None:
        self._client_name = client_name.encode()
        self._clock = clock
        self.connections_opened = 0
        """Connections opened since the start."""
        self.commands_sent: Counter[str] = Counter()
        """Commands sent since the start, by kind."""
        self.mismatches: Counter[str] = Counter()
        """Answers that may not be those of their commands, by kind and match."""

    async def connect(self, endpoint: EndpointInfo, *, timeout: float) -> LineLink:
        """Open a connection and wait until the endpoint is ready for statements.

        Raises `EndpointRefused` if the endpoint answers with an error, and
        `ConnectionLost` if it can't be reached within `timeout` seconds.
        """
        stream: LineStream | None = None
        try:
            async with asyncio.timeout(timeout):
                loop = asyncio.get_running_loop()
                _, stream = await loop.create_connection(
                    LineStream, endpoint.host, endpoint.port
                )
                fields = (
                    endpoint.group.encode(),
                    self._client_name,
                    endpoint.id.encode(),
                )
                stream.write(b"CONNECT %b %b %b\r\n" % fields)
                line = await stream.read_line()
        except TimeoutError:
            _abort(stream)
            raise ConnectionLost("silent", sent=False) from None
        except (OSError, OverflowError, UnicodeError) as error:
            _abort(stream)
            reason = type(error).__name__
            raise ConnectionLost(reason, sent=False) from None
        except BaseException:
            _abort(stream)
            raise
        self._check_ready(stream, line)
        self.connections_opened += 1
        return LineLink(
            stream,
            opened_at=self._clock.monotonic(),
            commands_sent=self.commands_sent,
            mismatches=self.mismatches,
        )

    @staticmethod
    def _check_ready(stream: LineStream, line: bytes | None) -> None:
        tag, _, rest = (line or b"").partition(b" ")
        if tag == b"READY":
            return
        _abort(stream)
        if tag != b"ERROR":
            raise ConnectionLost("closed while connecting", sent=False)
        code, _, text = rest.partition(b" ")
        fault = FAULTS_BY_CODE.get(code, Fault.OTHER)
        raise EndpointRefused(fault, text.decode("latin-1"))

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Decode the answer to a status command; None if it holds no status."""
        if answer.fault is not None or not answer.rows:
            return None
        return parse_status(answer.rows[0])


def _abort(stream: LineStream | None) -> None:
    if stream is not None:
        stream.abort()
