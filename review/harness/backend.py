"""Stand-in of database backends, by PROTOCOL.md.

A line ends with CR LF and its last field extends to the end of the line, so that a
field may hold a lone LF. A commit is acknowledged once one replica has received it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import suppress
from typing import NamedTuple

from harness.record import Record

MAX_LINE_BYTES = 1 << 20
PROMOTE_S = 0.6
"""Time from an accepted promotion call until it takes effect."""
FOLLOW_S = 1.0
"""Time after which a replaced primary that was not demoted follows the new one."""
APPLY_S = 0.008
"""Time until a replica applies what it received."""
ONE_WAY_S = 0.0014
"""Time of a message between zones."""
SYNC_POLL_S = 0.01
SYNC_LIMIT_S = 10.0

Position = tuple[int, int]


class Run(NamedTuple):
    """One statement that a backend ran for a consumer."""

    at: float
    backend: str
    connection: int
    caller: str
    """Who opened the connection."""
    state: bytes
    """State of the connection before the statement."""
    request_id: bytes
    text: bytes


class Backend:
    """One backend of a service; `fault` may return an error code instead of a run."""

    def __init__(self, service: Service, name: str, zone: str, host: str) -> None:
        self.service = service
        self.id = name
        self.zone = zone
        self.host = host
        self.port = 0
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.log: list[tuple[Position, dict[bytes, bytes]]] = []
        self.applied = 0
        self.work_s = 0.002
        self.fault: Callable[[bytes, bytes], bytes | None] = lambda text, state: None
        self.connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def received_position(self) -> Position:
        """Position of the end of the log."""
        return self.log[-1][0] if self.log else (1, 0)

    @property
    def applied_position(self) -> Position:
        """Position of the last entry that reads see."""
        return self.log[self.applied - 1][0] if self.applied else (1, 0)

    @property
    def running(self) -> bool:
        """Whether the backend accepts connections."""
        return self._server is not None

    def read(self, item: bytes) -> bytes:
        """Return an item's data, ``-`` without any."""
        for _, changes in reversed(self.log[: self.applied]):
            if item in changes:
                return changes[item]
        return b"-"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2 * MAX_LINE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End as a process does: close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self.connections):
            writer.transport.abort()

    def receive(self, log: list[tuple[Position, dict[bytes, bytes]]]) -> None:
        """Take over the primary's log and apply it a little later."""
        self.log = list(log)
        count = len(self.log)
        asyncio.get_running_loop().call_later(APPLY_S, self._apply, count)

    def _apply(self, count: int) -> None:
        self.applied = min(max(self.applied, count), len(self.log))

    def status(self) -> bytes:
        """Return the row that answers STATUS, PAUSE, RESUME and DEMOTE."""
        role = b"primary" if self.is_primary else b"replica"
        return b"%b %d %d.%d %d 0 0 %d" % (
            role,
            self.term,
            *self.received_position,
            self.held_term,
            len(self.connections),
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await _Connection(self, reader, writer).serve()
        finally:
            self.connections.discard(writer)
            writer.close()


class _Connection:
    """Server side of one connection."""

    def __init__(
        self,
        backend: Backend,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._backend = backend
        self._reader = reader
        self._writer = writer
        self._number = next(backend.service.connection_numbers)
        self._caller = ""
        self._one_way_s = 0.0
        self._state = b"I"
        self._writes: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, bytes] = {}

    async def serve(self) -> None:
        """Serve until the connection ends, which rolls back."""
        backend = self._backend
        fields = (await self._read_line()).split(b" ")
        wrong_id = len(fields) > 3 and fields[3].decode() != backend.id
        if fields[0] != b"CONNECT" or fields[1] != backend.service.name.encode():
            wrong_id = True
        if wrong_id:
            self._writer.write(b"ERROR MISROUTED %b\r\n" % backend.id.encode())
            return
        self._caller = fields[2].decode()
        self._one_way_s = 0.0 if backend.zone in self._caller else ONE_WAY_S
        self._send_ready()
        while True:
            line = await self._read_line()
            word, _, rest = line.partition(b" ")
            request_id, _, text = rest.partition(b" ")
            if word != b"QUERY":
                return
            await asyncio.sleep(self._one_way_s)
            await self._run(request_id, text)
            await asyncio.sleep(self._one_way_s)
            self._send_ready()
            await self._writer.drain()

    async def _read_line(self) -> bytes:
        return (await self._reader.readuntil(b"\r\n"))[:-2]

    def _send_ready(self) -> None:
        position = self._backend.applied_position
        self._writer.write(b"READY %b %d.%d\r\n" % (self._state, *position))

    def _complete(self, digest: bytes, *rows: bytes) -> None:
        answer = b"".join(b"ROW %b\r\n" % row for row in rows)
        self._writer.write(answer + b"COMPLETE %b\r\n" % digest)

    def _fail(self, code: bytes, *, ends: bool = True) -> None:
        if ends and self._state == b"T":
            self._state = b"E"
        self._writer.write(b"ERROR %b %b\r\n" % (code, self._backend.id.encode()))

    async def _run(self, request_id: bytes, text: bytes) -> None:
        backend = self._backend
        word, _, rest = text.partition(b" ")
        if word == b"AFTER":
            position, _, text = rest.partition(b" ")
            term, _, number = position.partition(b".")
            if backend.applied_position < (int(term), int(number)):
                return self._fail(b"LAGGING")
            word, _, rest = text.partition(b" ")
        if request_id == b"-":
            return self._run_own(word, rest)
        code = backend.fault(text, self._state)
        if code is not None:
            return self._fail(code, ends=False)
        if self._state == b"E" and word not in (b"ROLLBACK", b"COMMIT"):
            return self._fail(b"MALFORMED")
        if word == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            if name not in self._prepared:
                return self._fail(b"NOSTMT")
            word = self._prepared[name]
        run = Run(
            backend.service.record.seconds(),
            backend.id,
            self._number,
            self._caller,
            self._state,
            request_id,
            text,
        )
        backend.service.runs.append(run)
        backend.service.record.add(
            "run", backend.id, f"connection {self._number} of {self._caller}",
            self._state, request_id, text,
        )  # fmt: skip
        await asyncio.sleep(backend.work_s)
        return await self._run_statement(word, rest, request_id)

    async def _run_statement(self, word: bytes, rest: bytes, request_id: bytes) -> None:
        backend = self._backend
        digest = b"d.%b.%b" % (backend.id.encode(), request_id)
        item, _, data = rest.partition(b" ")
        if word == b"BEGIN":
            if self._state != b"I":
                return self._fail(b"MALFORMED")
            if rest != b"READ" and not backend.is_primary:
                return self._fail(b"READONLY")
            self._state = b"T"
            return self._complete(digest)
        if word == b"READ":
            value = self._writes.get(item) or backend.read(item)
            return self._complete(digest, value)
        if word == b"WRITE":
            if not backend.is_primary:
                return self._fail(b"READONLY")
            if self._state == b"T":
                self._writes[item] = data
                return self._complete(digest)
            return await self._commit({item: data}, digest)
        if word == b"COMMIT" and self._state == b"T":
            writes, self._writes = self._writes, {}
            self._state = b"I"
            return await self._commit(writes, digest)
        if word in (b"ROLLBACK", b"COMMIT") and self._state != b"I":
            self._state, self._writes = b"I", {}
            return self._complete(digest)
        return self._fail(b"MALFORMED")

    async def _commit(self, writes: dict[bytes, bytes], digest: bytes) -> None:
        backend = self._backend
        if writes and not backend.is_primary:
            return self._fail(b"READONLY")
        if writes and not await backend.service.commit(backend, writes):
            return self._fail(b"TIMEOUT")
        return self._complete(digest)

    def _run_own(self, word: bytes, rest: bytes) -> None:
        """Run a statement that the system issues itself."""
        backend = self._backend
        if word == b"PAUSE":
            if not backend.is_primary and int(rest) > backend.term:
                backend.held_term = int(rest)
        elif word == b"RESUME":
            backend.held_term = 0
        elif word == b"DEMOTE":
            if backend.is_primary and int(rest) > backend.term:
                backend.is_primary = False
        elif word == b"PREPARE":
            name, kind, _ = rest.split(b" ", 2)
            self._prepared[name] = kind
        elif word == b"RESET":
            self._prepared.clear()
        elif word == b"ROLLBACK":
            self._state, self._writes = b"I", {}
        elif word not in (b"STATUS", b"SETPARAM", b"DEALLOC"):
            return self._fail(b"MALFORMED")
        if word in (b"STATUS", b"PAUSE", b"RESUME", b"DEMOTE"):
            return self._complete(b"-", backend.status())
        return self._complete(b"-")


class Service:
    """One primary and its replicas."""

    def __init__(
        self, name: str, zones: list[str], *, record: Record, host: str
    ) -> None:
        self.name = name
        self.record = record
        self.runs: list[Run] = []
        self.connection_numbers: Iterator[int] = iter(range(1, 1 << 30))
        self.backends = [
            Backend(self, f"i-{name}{number}", zone, host)
            for number, zone in enumerate(zones, 1)
        ]
        self.backends[0].is_primary = True

    @property
    def primary(self) -> Backend | None:
        """The backend that leads the latest term, if one does."""
        leaders = [b for b in self.backends if b.is_primary and b.running]
        return max(leaders, key=lambda b: b.term, default=None)

    async def add(self, backend: Backend) -> None:
        """Start another replica with the primary's log."""
        primary = self.primary
        backend.term, backend.log = primary.term, list(primary.log)
        backend.applied = len(backend.log)
        await backend.start()
        self.backends.append(backend)

    async def commit(self, primary: Backend, writes: dict[bytes, bytes]) -> bool:
        """Commit and wait until a replica has received the entry."""
        entry = ((primary.term, primary.received_position[1] + 1), writes)
        primary.log.append(entry)
        primary.applied = len(primary.log)
        for _ in range(int(SYNC_LIMIT_S / SYNC_POLL_S)):
            if not primary.is_primary or not primary.running:
                return False
            receivers = [
                backend
                for backend in self.backends
                if backend is not primary
                and backend.running
                and backend.term == primary.term
                and not backend.held_term
            ]
            for backend in receivers:
                backend.receive(primary.log)
            if receivers:
                self.record.add("committed", primary.id, entry[0], *writes)
                return True
            await asyncio.sleep(SYNC_POLL_S)
        return False

    def promote(self, name: str) -> int:
        """Have a backend lead the next term soon; return the HTTP status."""
        chosen = next((b for b in self.backends if b.id == name), None)
        if chosen is None or not chosen.running:
            return 409
        if not chosen.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, self._lead, chosen)
        return 200

    def _lead(self, chosen: Backend) -> None:
        previous = [b for b in self.backends if b.is_primary and b is not chosen]
        chosen.term = max(b.term for b in self.backends) + 1
        chosen.is_primary, chosen.held_term = True, 0
        chosen.applied = len(chosen.log)
        self.record.add("promoted", chosen.id, chosen.term)
        loop = asyncio.get_running_loop()
        for backend in self.backends:
            if backend in previous:
                loop.call_later(FOLLOW_S, self._follow, backend, chosen)
            elif backend is not chosen:
                self._follow(backend, chosen)

    @staticmethod
    def _follow(backend: Backend, primary: Backend) -> None:
        if backend.term >= primary.term:
            return
        backend.is_primary, backend.held_term = False, 0
        backend.term = primary.term
        backend.log = list(primary.log)
        backend.applied = len(backend.log)
