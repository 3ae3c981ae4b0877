"""Connections to endpoints that answer pipelined commands in order, in lines."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from celeryjunction.adapters.line_stream import LineStream, LineTooLong
from celeryjunction.errors import ConnectionLost
from celeryjunction.replication.answer_assignment import AnswerAssigner, with_markers
from celeryjunction.replication.ports import Answer, Command, TransactionState


class MalformedAnswer(Exception):
    """The lines are no answer, so what follows can't be assigned to a command."""


class LineParser(Protocol):
    """Assembles the lines of one answer after the other."""

    @property
    def is_within_answer(self) -> bool:
        """Whether the last line was not the last one of an answer."""
        ...

    def feed(self, line: bytes) -> Answer | None:
        """Add a line; return the answer that it completes. Raises `MalformedAnswer`."""
        ...


class LinkCounts:
    """What the connections of a process have sent and discarded."""

    __slots__ = ("commands", "discarded")

    def __init__(self) -> None:
        self.commands: Counter[str] = Counter()
        """Commands sent since the start, by kind."""
        self.discarded: Counter[str] = Counter()
        """Answers that were not those of the command that waited, by its kind."""


class PipelinedLink:
    """Implements `EndpointLink` on one connection.

    `encode` returns the bytes that send a command, `parser` assembles the lines that
    come into answers. The connection is closed where an answer can't be assigned to a
    command for sure.
    """

    def __init__(
        self,
        stream: LineStream,
        *,
        endpoint: str,
        encode: Callable[[Command], bytes],
        parser: LineParser,
        opened_at: float,
        counts: LinkCounts,
        owner: str = "",
    ) -> None:
        self._counts = counts
        self.owner = owner
        self.opened_at = opened_at
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.state_uncertain = False
        self._stream = stream
        self._running = False
        self._has_expired = False
        """Whether an answer didn't come in time."""
        self._encode = encode
        self._parser = parser
        self._answers = AnswerAssigner(
            endpoint,
            read=self._read_answer,
            send=self._send,
            discarded=counts.discarded,
        )

    @property
    def usable(self) -> bool:
        """Whether a command may be sent: none runs and nothing unread has arrived."""
        if self._running or self._stream.closed:
            return False
        if self._stream.buffered:
            self._discard_second_answers()
        if self._stream.closed or self._stream.buffered:
            return False
        if self._parser.is_within_answer:
            return False
        return not self._answers.is_full or self.in_transaction

    @property
    def in_transaction(self) -> bool:
        """Whether the last answer left a transaction open, or failed but not ended."""
        return self._answers.state is not TransactionState.IDLE

    def _discard_second_answers(self) -> None:
        """Discard what came while no command waited for an answer."""
        try:
            while (line := self._stream.take_line()) is not None:
                answer = self._parser.feed(line)
                if answer is not None:
                    self._answers.discard(answer)
        except MalformedAnswer as error:
            self._answers.unassignable(str(error))
            self.close()
        except ConnectionLost:
            self.close()

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
        for command in commands:
            self._counts.commands[type(command).__name__] += 1
        self._send(with_markers(commands))
        loop = asyncio.get_running_loop()
        expiry = loop.call_later(timeout, self._expire)
        try:
            answers = [await self._answers.read_own(each) for each in commands]
        except BaseException:
            self.close()
            raise
        finally:
            expiry.cancel()
        self._running = False
        return answers

    def _expire(self) -> None:
        self._has_expired = True
        self.close()

    def _send(self, commands: Iterable[Command]) -> None:
        self._stream.write(b"".join(map(self._encode, commands)))

    async def _read_answer(self) -> Answer:
        take_line, feed = self._stream.take_line, self._parser.feed
        try:
            while True:
                line = take_line()
                if line is None:
                    line = await self._read_line()
                answer = feed(line)
                if answer is not None:
                    return answer
        except MalformedAnswer as error:
            raise self._answers.unassignable(str(error)) from None

    async def _read_line(self) -> bytes:
        try:
            line = await self._stream.read_line()
        except LineTooLong:
            raise ConnectionLost("a message was too long", sent=True) from None
        if line is None:
            reason = "the endpoint closed the connection"
            if self._has_expired:
                reason = "no answer in time"
            raise ConnectionLost(reason, sent=True)
        return line

    def close(self) -> None:
        """Close the connection at once; answers not yet read are lost."""
        self._stream.abort()
