"""Backends of one service: a primary and replicas that share one log.

They speak the line protocol of `PROTOCOL.md`. A message ends with CR LF, and a bare LF
or CR is part of a field. Replicas receive and apply a commit at once. There are no
faults, and nobody promotes.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

MAX_MESSAGE_BYTES = 1 << 20
SLOTS = 3


class Run:
    """A statement that a backend ran for a consumer."""

    __slots__ = ("at", "backend", "request_id", "text")

    def __init__(self, backend: str, request_id: bytes, text: bytes) -> None:
        self.at = time.monotonic()
        self.backend = backend
        self.request_id = request_id
        self.text = text


class Service:
    """The backends of a service, what they hold and what they ran."""

    def __init__(
        self, name: str, zones: list[str], *, work_s: Callable[[], float]
    ) -> None:
        self.name = name
        self.work_s = work_s
        """Returns how long the next statement takes, in seconds."""
        self.items: dict[bytes, bytes] = {}
        self.commits = 0
        self.runs: list[Run] = []
        self.backends = [
            Backend(self, f"i-{number}", zone, is_primary=number == 0)
            for number, zone in enumerate(zones)
        ]

    async def start(self) -> None:
        """Listen on loopback."""
        for backend in self.backends:
            await backend.start()

    def close(self) -> None:
        """Stop listening."""
        for backend in self.backends:
            backend.close()

    @property
    def position(self) -> bytes:
        """Position of the log."""
        return b"1.%d" % self.commits


class Backend:
    """One backend."""

    def __init__(
        self, service: Service, name: str, zone: str, *, is_primary: bool
    ) -> None:
        self.service = service
        self.id = name
        self.zone = zone
        self.is_primary = is_primary
        self.connections = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2 * MAX_MESSAGE_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            await _Connection(self, reader, writer).serve()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()


class _Connection:
    """A caller's connection to a backend."""

    def __init__(
        self,
        backend: Backend,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._backend = backend
        self._service = backend.service
        self._reader = reader
        self._writer = writer
        self._state = b"I"
        self._writes: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, bytes] = {}

    async def _read_message(self) -> bytes:
        return (await self._reader.readuntil(b"\r\n")).removesuffix(b"\r\n")

    async def serve(self) -> None:
        """Serve until the caller leaves, which rolls back."""
        words = (await self._read_message()).split(b" ")
        expected = [b"CONNECT", self._service.name.encode()]
        if words[:2] != expected or words[3:] not in ([], [self._backend.id.encode()]):
            self._send(b"ERROR MISROUTED " + self._backend.id.encode())
            return
        self._send_ready()
        while (message := await self._read_message()) != b"RELEASE":
            _, _, rest = message.partition(b" ")
            request_id, _, text = rest.partition(b" ")
            await self._run(request_id, text)
            self._send_ready()

    def _send(self, message: bytes) -> None:
        self._writer.write(message + b"\r\n")

    def _send_ready(self) -> None:
        self._send(b"READY %b %b" % (self._state, self._service.position))

    async def _run(self, request_id: bytes, text: bytes) -> None:
        if text.startswith(b"AFTER "):
            text = text.split(b" ", 2)[2]
        word, _, rest = text.partition(b" ")
        if request_id != b"-":
            self._service.runs.append(Run(self._backend.id, request_id, text))
        if word == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            word = self._prepared[name]
        if word in (b"READ", b"WRITE", b"COMMIT"):
            async with self._backend.slots:
                await asyncio.sleep(self._service.work_s())
            self._finish_statement(word, rest, request_id)
        else:
            self._run_command(word, rest)

    def _finish_statement(self, word: bytes, rest: bytes, request_id: bytes) -> None:
        item, _, data = rest.partition(b" ")
        if word == b"READ":
            value = self._writes.get(item, self._service.items.get(item, b"-"))
            self._send(b"ROW " + value)
        elif word == b"WRITE":
            if not self._backend.is_primary:
                self._state = b"I" if self._state == b"I" else b"E"
                self._send(b"ERROR READONLY " + self._backend.id.encode())
                return
            self._writes[item] = data
        if self._state == b"I" or word == b"COMMIT":
            self._commit()
        self._send(b"COMPLETE d.%b.%b" % (self._backend.id.encode(), request_id))

    def _commit(self) -> None:
        if self._writes:
            self._service.items |= self._writes
            self._service.commits += 1
        self._writes, self._state = {}, b"I"

    def _run_command(self, word: bytes, rest: bytes) -> None:
        backend = self._backend
        if word == b"BEGIN":
            if rest != b"READ" and not backend.is_primary:
                self._send(b"ERROR READONLY " + backend.id.encode())
                return
            self._state = b"T"
        elif word == b"ROLLBACK":
            self._writes, self._state = {}, b"I"
        elif word == b"PREPARE":
            name, kind, _ = rest.split(b" ", 2)
            self._prepared[name] = kind
        elif word == b"RESET":
            self._prepared.clear()
        elif word in (b"STATUS", b"PAUSE", b"RESUME", b"DEMOTE"):
            role = b"primary" if backend.is_primary else b"replica"
            row = (role, self._service.position, backend.connections)
            self._send(b"ROW %b 1 %b 0 0 0 %d" % row)
        elif word not in (b"SETPARAM", b"DEALLOC"):
            self._send(b"ERROR MALFORMED " + word)
            return
        self._send(b"COMPLETE -")
