"""Clients' sessions that draw operations and have each answer judged."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import deque
from random import Random

from bench.odd_texts import TextSource
from bench.statement_judge import AcknowledgedCommits, Operation, SentStatement
from bench.statement_judge import StatementJudge as Judge

ANSWER_LIMIT_S = 4.0
THINK_S = (0.0, 0.02)
RECONNECT_S = 0.02
MAX_TRANSACTION = 5
STALENESS_S = {"lock-db": 0.0, "sheet-db": 1.5, "tally-db": 2.5}
"""Staleness that each database's route allows."""
READ_YOUR_WRITES = "tally-db"

_request_numbers = itertools.count(1)


class SessionEnded(Exception):
    """The session's connection ended, or its client gives it up."""


class Reply:
    """A whole answer to a statement; `code` is empty for a success."""

    __slots__ = ("code", "digest", "rows", "state")

    def __init__(
        self, rows: tuple[bytes, ...], digest: bytes, code: bytes, state: bytes
    ) -> None:
        self.rows = rows
        self.digest = digest
        self.code = code
        self.state = state


class MessageStream(asyncio.Protocol):
    """Splits what comes on a connection into messages at CR LF."""

    def __init__(self) -> None:
        self._buffer = b""
        self._changed = asyncio.Event()
        self._has_ended = False
        self.messages: deque[bytes] = deque()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for writing."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Split the received data."""
        *messages, self._buffer = (self._buffer + data).split(b"\r\n")
        self.messages.extend(messages)
        self._changed.set()

    def connection_lost(self, error: Exception | None) -> None:
        """Wake a waiting read."""
        self._has_ended = True
        self._changed.set()

    async def read(self) -> bytes:
        """Return the next message; raises `SessionEnded`."""
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while not self.messages:
                    if self._has_ended:
                        raise SessionEnded
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            raise SessionEnded from None
        return self.messages.popleft()


class ClientSession:
    """One client; it reconnects when its session ends."""

    def __init__(
        self,
        port: int,
        database: str,
        *,
        judge: Judge,
        texts: TextSource,
        shared_items: list[bytes],
        random: Random,
    ) -> None:
        self._port = port
        self._database = database
        self._judge = judge
        self._texts = texts
        self._random = random
        self._items = [*shared_items, texts.draw_word(), texts.draw_word()]
        self._stream: MessageStream | None = None

    async def run(self, *, until: float) -> None:
        """Run operations until a time of the monotonic clock."""
        while time.monotonic() < until:
            try:
                await self._open()
                while time.monotonic() < until:
                    await self._run_operation()
                    await self._think()
                    if self._random.random() < 0.03:
                        raise SessionEnded
            except (SessionEnded, OSError):
                pass
            finally:
                if self._stream is not None:
                    self._stream.transport.close()
            await asyncio.sleep(RECONNECT_S)

    async def _think(self) -> None:
        await asyncio.sleep(self._random.uniform(*THINK_S))

    async def _open(self) -> None:
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, tuple[bytes, bytes]] = {}
        self._own_commits = AcknowledgedCommits()
        loop = asyncio.get_running_loop()
        _, self._stream = await loop.create_connection(
            MessageStream, "127.0.0.1", self._port
        )
        connect = b"CONNECT %b u%d" % (self._database.encode(), id(self) % 1000)
        self._stream.transport.write(connect + b"\r\n")
        if not (await self._stream.read()).startswith(b"READY I "):
            raise SessionEnded

    def _required_commits(self) -> int:
        now = time.monotonic()
        required = self._judge.commits.newest(before=now - STALENESS_S[self._database])
        if self._database == READ_YOUR_WRITES:
            required = max(required, self._own_commits.newest(before=now))
        return required

    async def _run_operation(self) -> None:
        draw = self._random.random()
        if draw < 0.25:
            await self._run_transaction()
        elif draw < 0.33:
            await self._set_value()
        elif draw < 0.42:
            await self._prepare()
        else:
            operation = self._begin_operation()
            reply = await self._send(operation, *self._draw_statement())
            if reply.state != b"I":
                raise SessionEnded

    def _begin_operation(self) -> Operation:
        operation = Operation(required=self._required_commits())
        self._judge.add_operation(operation)
        return operation

    def _draw_statement(self) -> tuple[bytes, tuple[bytes, bytes] | None]:
        """Draw a text, and the prepared statement that it executes."""
        item = self._random.choice(self._items)
        if self._prepared and self._random.random() < 0.3:
            name = self._random.choice(list(self._prepared))
            prepared = self._prepared[name]
            text = b"EXECUTE %b %b" % (name, item)
            if prepared[0] == b"WRITE":
                text += b" " + self._texts.draw_text()
            return text, prepared
        if self._random.random() < 0.5:
            return b"READ " + item, None
        return b"WRITE %b %b" % (item, self._texts.draw_text()), None

    async def _run_transaction(self) -> None:
        operation = self._begin_operation()
        is_read_only = self._random.random() < 0.2
        operation.begin_id = self._new_id()
        text = b"BEGIN READ" if is_read_only else b"BEGIN"
        reply = await self._send(operation, text, request_id=operation.begin_id)
        for _ in range(self._random.randrange(1, MAX_TRANSACTION)):
            if reply.code:
                break
            await self._think()
            text, prepared = self._draw_statement()
            if is_read_only:
                text, prepared = b"READ " + self._random.choice(self._items), None
            reply = await self._send(operation, text, prepared)
        if self._random.random() < 0.05:
            raise SessionEnded
        if reply.code and reply.state == b"I":
            return
        ends_early = reply.code or self._random.random() < 0.15
        text = b"ROLLBACK" if ends_early else b"COMMIT"
        reply = await self._send(operation, text)
        if reply.state != b"I":
            raise SessionEnded

    async def _set_value(self) -> None:
        name, value = self._texts.draw_word(), self._texts.draw_text()
        if self._values and self._random.random() < 0.5:
            name = self._random.choice(list(self._values))
        await self._change_session(b"SETPARAM %b %b" % (name, value))
        self._values[name] = value

    async def _prepare(self) -> None:
        name, shape = self._texts.draw_word(), self._texts.draw_text()
        kind = self._random.choice((b"READ", b"WRITE"))
        if name in self._prepared:
            await self._change_session(b"DEALLOC " + name)
            del self._prepared[name]
        await self._change_session(b"PREPARE %b %b %b" % (name, kind, shape))
        self._prepared[name] = (kind, shape)

    async def _change_session(self, text: bytes) -> None:
        reply = await self._send(self._begin_operation(), text)
        if reply.code or reply.state != b"I":
            raise SessionEnded

    def _new_id(self) -> bytes:
        number = b"%016x" % next(_request_numbers)
        return number + self._texts.draw_word()

    async def _send(
        self,
        operation: Operation,
        text: bytes,
        prepared: tuple[bytes, bytes] | None = None,
        *,
        request_id: bytes = b"",
    ) -> Reply:
        if any(not message.startswith(b"ERROR") for message in self._stream.messages):
            self._judge.report("MIXED", f"unasked: {list(self._stream.messages)!r}")
            raise SessionEnded
        sent = SentStatement(
            operation,
            request_id=request_id or self._new_id(),
            text=text,
            values=self._values,
            prepared=prepared,
        )
        self._judge.add_sent(sent)
        self._stream.transport.write(b"QUERY %b %b\r\n" % (sent.request_id, text))
        try:
            reply = await self._read_reply(sent)
        except SessionEnded:
            self._judge.answers["no answer"] += 1
            raise
        self._judge_reply(sent, reply)
        return reply

    def _judge_reply(self, sent: SentStatement, reply: Reply) -> None:
        if reply.code:
            self._judge.judge_error(sent, reply.code)
            return
        word = sent.text.partition(b" ")[0]
        if word in (b"READ", b"WRITE", b"COMMIT", b"EXECUTE"):
            number = self._judge.judge_success(sent, reply.rows, reply.digest)
            if number:
                self._own_commits.add(number)
            return
        self._judge.answers["COMPLETE"] += 1

    async def _read_reply(self, sent: SentStatement) -> Reply:
        rows: list[bytes] = []
        digest, code = b"", b""
        while True:
            message = await self._stream.read()
            tag, _, rest = message.partition(b" ")
            has_result = bool(digest or code)
            if tag == b"ROW" and not has_result:
                rows.append(rest)
            elif tag == b"COMPLETE" and rest and not has_result:
                digest = rest
            elif tag == b"ERROR" and rest and not has_result:
                code = rest.partition(b" ")[0]
            elif tag == b"READY" and has_result:
                return Reply(tuple(rows), digest, code, rest.partition(b" ")[0])
            else:
                self._judge.report("MIXED", f"{sent.text!r} was answered {message!r}")
                raise SessionEnded
