"""A model of a database group whose endpoints may answer twice.

Messages are split at CR LF by code of this module, not by the proxy's, so that faults
of the proxy's framing show. The endpoints share one log. Replicas receive a commit at
once and apply it a few milliseconds later. A promotion loses no commits.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from random import Random

from bench.answer_faults import PROXY_ID, AnswerFaults
from bench.statement_runs import StatementRun

MESSAGE_END = b"\r\n"
MAX_MESSAGE_BYTES = 1 << 20
SLOTS = 4
WORK_S = (0.0005, 0.003)
"""Range of the time that a statement takes."""
APPLY_DELAY_S = 0.005
PROMOTION_DELAY_S = 0.2

Body = tuple[list[bytes], bytes, bytes]
"""Rows, digest and error of an answer; the error is empty for a success."""


class StutteringGroup:
    """The endpoints of a group, their log and what they ran."""

    def __init__(
        self, name: str, zones: list[str], *, faults: AnswerFaults, random: Random
    ) -> None:
        self.name = name
        self.faults = faults
        self.random = random
        self.term = 1
        self.log: list[tuple[int, dict[bytes, bytes]]] = []
        """Term and changed items of each commit."""
        self.runs: list[StatementRun] = []
        self.runs_by_digest: dict[bytes, StatementRun] = {}
        self.repeated_answers = 0
        self.connections_opened = 0
        self.promotions = 0
        self.connection_numbers = itertools.count(1)
        self.transaction_numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()
        self.endpoints = [
            StutteringEndpoint(self, f"i-{name}{number}", zone)
            for number, zone in enumerate(zones)
        ]
        self.endpoints[0].is_primary = True

    def commit(self, changes: dict[bytes, bytes]) -> int:
        """Append a commit to the log and return its number."""
        self.log.append((self.term, changes))
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_DELAY_S, self._apply, len(self.log))
        for endpoint in self.endpoints:
            if endpoint.is_primary:
                endpoint.apply(len(self.log))
        return len(self.log)

    def _apply(self, size: int) -> None:
        for endpoint in self.endpoints:
            endpoint.apply(size)

    def promote(self, name: str) -> int:
        """Make an endpoint the primary; return the HTTP status of the call."""
        chosen = [endpoint for endpoint in self.endpoints if endpoint.id == name]
        if not chosen:
            return 409
        if not chosen[0].is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTION_DELAY_S, self._apply_promotion, chosen[0])
        return 200

    def _apply_promotion(self, primary: StutteringEndpoint) -> None:
        self.term += 1
        self.promotions += 1
        for endpoint in self.endpoints:
            endpoint.is_primary = endpoint is primary
            endpoint.held_term = 0
            endpoint.apply(len(self.log))


class StutteringEndpoint:
    """One endpoint of the group."""

    def __init__(self, group: StutteringGroup, name: str, zone: str) -> None:
        self.group = group
        self.id = name
        self.zone = zone
        self.is_primary = False
        self.applied = 0
        """Number of commits that reads see."""
        self.held_term = 0
        self._items: dict[bytes, bytes] = {}
        self.born = 1
        self.port = 0
        self.connections = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2 * MAX_MESSAGE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        self.group.connections_opened += 1
        try:
            await _Connection(self, reader, writer).serve()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.connections -= 1
            self._tasks.discard(task)
            writer.close()

    def read(self, item: bytes) -> bytes:
        """Return an item's value as reads see it, ``-`` without one."""
        return self._items.get(item, b"-")

    def apply(self, size: int) -> None:
        """Apply the log's first `size` commits."""
        for _, changes in self.group.log[self.applied : size]:
            self._items |= changes
        self.applied = max(self.applied, size)

    @property
    def position(self) -> bytes:
        """Position of the last commit that reads see."""
        return self._format_position(self.applied)

    def _format_position(self, size: int) -> bytes:
        term = self.group.log[size - 1][0] if size else 1
        return b"%d.%d" % (term, size)

    def has_applied(self, position: bytes) -> bool:
        """Whether reads see the commits up to a position."""
        return self.applied >= int(position.partition(b".")[2])

    def status(self) -> bytes:
        """Return the row that answers STATUS; lag and busy slots are 0."""
        role = b"primary" if self.is_primary else b"replica"
        received = self._format_position(len(self.group.log))
        fields = (role, self.group.term, received, self.held_term, self.connections)
        return b"%b %d %b %d 0 0 %d" % fields


class _Connection:
    """A connection to an endpoint, and its session."""

    def __init__(
        self,
        endpoint: StutteringEndpoint,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._endpoint = endpoint
        self._group = endpoint.group
        self._faults = endpoint.group.faults
        self._reader = reader
        self._writer = writer
        self._number = next(endpoint.group.connection_numbers)
        self._state = b"I"
        self._transaction = 0
        self._owner = b""
        self._writes: list[tuple[StatementRun, bytes, bytes]] = []
        self._values: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, tuple[bytes, bytes]] = {}

    async def _read_message(self) -> bytes:
        return (await self._reader.readuntil(MESSAGE_END))[: -len(MESSAGE_END)]

    async def serve(self) -> None:
        """Serve until the caller leaves, which rolls back."""
        fields = (await self._read_message()).split(b" ")
        endpoint_id = self._endpoint.id.encode()
        is_expected = fields[:2] == [b"CONNECT", self._group.name.encode()]
        if not is_expected or fields[3:] not in ([], [endpoint_id]):
            self._writer.write(b"ERROR MISROUTED %b\r\n" % endpoint_id)
            return
        greeting = b"READY I %b\r\n" % self._endpoint.position
        self._writer.write(greeting)
        self._repeat_later(greeting, self._faults.draw_greeting_delay())
        while (message := await self._read_message()) != b"RELEASE":
            _, _, rest = message.partition(b" ")
            request_id, _, text = rest.partition(b" ")
            try:
                rows, digest, error = await self._run(request_id, text)
            except ValueError:
                rows, digest, error = [], b"", b"MALFORMED"
            self._answer(request_id, rows, digest, error)

    def _answer(
        self, request_id: bytes, rows: list[bytes], digest: bytes, error: bytes
    ) -> None:
        parts = [b"ROW %b\r\n" % row for row in rows]
        if error:
            parts.append(b"ERROR %b %b\r\n" % (error, self._endpoint.id.encode()))
        else:
            parts.append(b"COMPLETE %b\r\n" % digest)
        parts.append(b"READY %b %b\r\n" % (self._state, self._endpoint.position))
        answer = b"".join(parts)
        if self._faults.occurs(self._faults.lost_share):
            return
        if self._faults.occurs(self._faults.cut_share):
            self._writer.write(answer[: self._faults.draw_cut(len(answer))])
            raise ConnectionResetError
        self._writer.write(answer)
        delay = self._faults.draw_delay(request_id, is_error=bool(error))
        self._repeat_later(answer, delay)

    def _repeat_later(self, message: bytes, delay: float | None) -> None:
        if delay is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._repeat, message)

    def _repeat(self, message: bytes) -> None:
        if not self._writer.is_closing():
            self._group.repeated_answers += 1
            self._writer.write(message)

    async def _run(self, request_id: bytes, text: bytes) -> Body:
        after = b""
        if text.startswith(b"AFTER "):
            _, after, text = text.split(b" ", 2)
        run = StatementRun(
            endpoint=self._endpoint.id,
            connection=self._number,
            request_id=request_id,
            text=text,
        )
        self._group.runs.append(run)
        word, _, rest = text.partition(b" ")
        if self._state == b"E" and word not in (b"ROLLBACK", b"COMMIT"):
            return self._fail(run, b"MALFORMED")
        if word == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            run.prepared = self._prepared.get(name)
            if run.prepared is None:
                return self._fail(run, b"NOSTMT")
            word = run.prepared[0]
        if word in (b"READ", b"WRITE", b"COMMIT", b"BEGIN"):
            return await self._run_statement(run, word, rest, after)
        return self._run_command(run, word, rest)

    def _fail(self, run: StatementRun, code: bytes) -> Body:
        run.error = code
        if self._state == b"T" and code != b"BUSY":
            self._state = b"E"
        return [], b"", code

    async def _run_statement(
        self, run: StatementRun, word: bytes, rest: bytes, after: bytes
    ) -> Body:
        async with self._endpoint.slots:
            await asyncio.sleep(self._group.random.uniform(*WORK_S))
        if run.request_id != PROXY_ID and self._faults.occurs(self._faults.busy_share):
            return self._fail(run, b"BUSY")
        if after and not self._endpoint.has_applied(after):
            return self._fail(run, b"LAGGING")
        run.transaction, run.owner = self._transaction, self._owner
        run.values = dict(self._values)
        run.log_size = self._endpoint.applied
        if word == b"BEGIN":
            return self._begin(run, rest)
        item, _, data = rest.partition(b" ")
        if word == b"READ":
            run.is_read = True
            return self._complete(run, [self._read(item)])
        if word == b"WRITE":
            return self._write(run, item, data)
        return self._commit(run)

    def _complete(self, run: StatementRun, rows: list[bytes]) -> Body:
        run.rows = tuple(rows)
        # A digest is drawn anew for each run.
        run.digest = b"d.%032x" % self._group.random.getrandbits(128)
        self._group.runs_by_digest[run.digest] = run
        return rows, run.digest, b""

    def _begin(self, run: StatementRun, rest: bytes) -> Body:
        if rest != b"READ" and not self._endpoint.is_primary:
            return self._fail(run, b"READONLY")
        self._end_transaction()
        self._state, self._owner = b"T", run.request_id
        self._transaction = next(self._group.transaction_numbers)
        return [], b"-", b""

    def _end_transaction(self) -> None:
        self._state, self._transaction, self._owner = b"I", 0, b""
        self._writes = []

    def _read(self, item: bytes) -> bytes:
        for _, own_item, data in reversed(self._writes):
            if own_item == item:
                return data
        return self._endpoint.read(item)

    def _write(self, run: StatementRun, item: bytes, data: bytes) -> Body:
        run.is_write = True
        if not self._endpoint.is_primary:
            return self._fail(run, b"READONLY")
        if self._state == b"T":
            self._writes.append((run, item, data))
        else:
            run.commit = self._group.commit({item: data})
        return self._complete(run, [])

    def _commit(self, run: StatementRun) -> Body:
        writes, has_failed = self._writes, self._state == b"E"
        if has_failed or (writes and not self._endpoint.is_primary):
            self._end_transaction()
            return self._fail(run, b"FAILED" if has_failed else b"READONLY")
        self._end_transaction()
        if writes:
            run.commit = self._group.commit({item: data for _, item, data in writes})
            for write, _, _ in writes:
                write.commit = run.commit
        return self._complete(run, [])

    def _run_command(self, run: StatementRun, word: bytes, rest: bytes) -> Body:
        handler = _COMMANDS.get(word)
        if handler is None:
            return self._fail(run, b"MALFORMED")
        return handler(self, rest)

    def _status(self, rest: bytes) -> Body:
        return [self._endpoint.status()], b"-", b""

    def _pause(self, rest: bytes) -> Body:
        if not self._endpoint.is_primary and int(rest) > self._group.term:
            self._endpoint.held_term = int(rest)
        return self._status(rest)

    def _resume(self, rest: bytes) -> Body:
        self._endpoint.held_term = 0
        return self._status(rest)

    def _roll_back(self, rest: bytes) -> Body:
        self._end_transaction()
        return [], b"-", b""

    def _reset(self, rest: bytes) -> Body:
        self._values.clear()
        self._prepared.clear()
        return [], b"-", b""

    def _set_value(self, rest: bytes) -> Body:
        name, _, value = rest.partition(b" ")
        self._values[name] = value
        return [], b"-", b""

    def _prepare(self, rest: bytes) -> Body:
        name, kind, shape = rest.split(b" ", 2)
        self._prepared[name] = (kind, shape)
        return [], b"-", b""

    def _deallocate(self, rest: bytes) -> Body:
        was_known = self._prepared.pop(rest, None) is not None
        if was_known or not self._faults.unknown_names_fail:
            return [], b"-", b""
        return [], b"", b"NOSTMT"


_COMMANDS: dict[bytes, Callable[[_Connection, bytes], Body]] = {
    b"STATUS": _Connection._status,
    b"PAUSE": _Connection._pause,
    b"RESUME": _Connection._resume,
    b"DEMOTE": _Connection._status,
    b"ROLLBACK": _Connection._roll_back,
    b"RESET": _Connection._reset,
    b"SETPARAM": _Connection._set_value,
    b"PREPARE": _Connection._prepare,
    b"DEALLOC": _Connection._deallocate,
}
