"""Endpoints and clients on the platform's lines, with framing of their own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from replicated_fakes import FakeCluster
from test_gateway import table
from test_relay import Vm

from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.platform.frontend import LineFrontend
from celeryjunction.relay.session import ForwardingSession
from celeryjunction.replication.ports import EndpointInfo

LIMIT_S = 10.0
"""Time-out for operations that take milliseconds on an idle machine."""
CRLF = b"\r\n"


class WireEndpoint:
    """Runs one statement after the other on each connection.

    A READ is answered with a row that holds its id and its item, and each run with a
    digest of its own. `delay` returns the seconds that a statement takes.
    """

    def __init__(self, delay: Callable[[bytes], float] = lambda text: 0.0) -> None:
        self.delay = delay
        self.runs: list[tuple[bytes, bytes]] = []
        """Id and text of each statement of a client that was run."""
        self.values: dict[bytes, dict[bytes, bytes]] = {}
        """Values that were set where a client's statement ran, by its id."""
        self.digests: dict[bytes, bytes] = {}
        """Id of the statement by digest."""
        self.answered = 0
        """Answers to clients' statements that were sent, also to closed connections."""
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self) -> int:
        """Listen; return the port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        tasks = list(self._tasks)
        for writer in self._tasks.values():
            writer.transport.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks[task] = writer
        task.add_done_callback(self._tasks.pop)
        connection = _Connection(self, writer)
        buffer = b""
        try:
            while data := await reader.read(1 << 16):
                *lines, buffer = (buffer + data).split(CRLF)
                for line in lines:
                    await connection.handle(line)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()

    def record(self, request_id: bytes, text: bytes, values: dict) -> bytes:
        """Record that a statement ran; return its digest."""
        self.runs.append((request_id, text))
        self.values[request_id] = dict(values)
        digest = b"%d.%d" % (len(self.runs), hash(text) & 0xFFFF)
        self.digests[digest] = request_id
        return digest


class _Connection:
    """One connection's transaction, values and prepared names."""

    def __init__(self, endpoint: WireEndpoint, writer: asyncio.StreamWriter) -> None:
        self._endpoint = endpoint
        self._writer = writer
        self._state = b"I"
        self._values: dict[bytes, bytes] = {}
        self._shapes: dict[bytes, bytes] = {}

    async def handle(self, line: bytes) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"CONNECT":
            self._writer.write(b"READY I 1.0" + CRLF)
            return
        request_id, _, text = rest.partition(b" ")
        if text.startswith(b"AFTER "):
            text = text.split(b" ", 2)[2]
        await asyncio.sleep(self._endpoint.delay(text))
        rows, result = self._run(request_id, text)
        answer = [b"ROW " + row for row in rows]
        answer += [result, b"READY %b 1.0" % self._state]
        self._endpoint.answered += request_id != b"-"
        self._writer.write(CRLF.join(answer) + CRLF)

    def _run(self, request_id: bytes, text: bytes) -> tuple[list[bytes], bytes]:
        keyword, _, rest = text.partition(b" ")
        name, _, rest = rest.partition(b" ")
        if keyword == b"BEGIN":
            self._state = b"T"
        elif keyword == b"ROLLBACK":
            self._state = b"I"
        elif keyword == b"RESET":
            self._values.clear()
            self._shapes.clear()
        elif keyword == b"SETPARAM":
            self._values[name] = rest
        elif keyword == b"PREPARE":
            self._shapes[name] = rest
        elif keyword == b"DEALLOC":
            return [], b"ERROR NOSTMT no such name"
        else:
            if keyword == b"COMMIT":
                self._state = b"I"
            shape = self._shapes.get(name, b"") if keyword == b"EXECUTE" else b""
            digest = self._endpoint.record(
                request_id, shape + b"|" + rest if shape else text, self._values
            )
            reads = keyword == b"READ" or shape.startswith(b"READ ")
            row = request_id + b" " + text.partition(b" ")[2] if not shape else rest
            return [row] if reads else [], b"COMPLETE " + digest
        return [], b"COMPLETE -"


class WireStack:
    """A VM whose clients and endpoints use lines over loopback.

    Proofs come from a fake group; statements run at a `WireEndpoint`.
    """

    def __init__(
        self, delay: Callable[[bytes], float] = lambda text: 0.0, *, links: int = 5
    ) -> None:
        self.endpoint = WireEndpoint(delay)
        self.vm = Vm("vm", FakeCluster())
        self.dialer = LineDialer(client_name="vm", clock=self.vm.clock)
        self.vm.dispatcher = Dispatcher(
            zone="a",
            dialer=self.dialer,
            clock=self.vm.clock,
            random=Random(1),
            budget=lambda info: ConnectionBudget(links, links),
        )
        self.vm.gateway.dispatchers["g"] = self.vm.dispatcher
        self.frontend = LineFrontend(
            host="127.0.0.1", port=0, open_session=self.session, clock=self.vm.clock
        )
        self.sessions: list[ForwardingSession] = []

    async def start(self, **changes: object) -> None:
        """Start all parts; `changes` are those of the routes."""
        port = await self.endpoint.start()
        gateway = self.vm.gateway
        gateway.apply_routes(table(2, **changes))
        self.vm.group.update_endpoints(self.vm.cluster.infos)
        await self.vm.group.refresh()
        self.vm.dispatcher.update_endpoints({"a1": self.info(port)})
        await self.frontend.start()

    def info(self, port: int) -> EndpointInfo:
        """Return the endpoint's entry with its address on loopback."""
        info = self.vm.cluster["a1"].info
        return msgspec.structs.replace(info, host="127.0.0.1", port=port, slots=20)

    def session(self, database: str, key: bytes = b"") -> ForwardingSession:
        session = ForwardingSession(
            database, gateway=self.vm.gateway, homes=_AlwaysHome()
        )
        self.sessions.append(session)
        return session

    @property
    def port(self) -> int:
        """The port for clients."""
        return self.frontend._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        await self.frontend.close()
        self.vm.dispatcher.close()
        self.vm.group.close()
        await self.endpoint.close()


class _AlwaysHome:
    """Makes each session run its statements on its own VM."""

    def is_home(self, group: str) -> bool:
        return True


class WireClient:
    """A client that reads what comes and splits it at CR LF."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self.writer = writer
        self._buffer = b""

    @classmethod
    async def connect(cls, port: int, database: bytes) -> WireClient:
        """Connect to a database; return the client once it is ready."""
        client = cls(*await asyncio.open_connection("127.0.0.1", port))
        client.writer.write(b"CONNECT %b who\r\n" % database)
        assert await client.line() == b"READY I -"
        return client

    async def line(self) -> bytes:
        """Return the next line; raises `EOFError` at the end."""
        async with asyncio.timeout(LIMIT_S):
            while CRLF not in self._buffer:
                data = await self._reader.read(1 << 16)
                if not data:
                    raise EOFError(self._buffer)
                self._buffer += data
        line, _, self._buffer = self._buffer.partition(CRLF)
        return line

    async def answer(self) -> list[bytes]:
        """Return the lines of the next answer, up to its READY."""
        lines = [await self.line()]
        while not lines[-1].startswith(b"READY "):
            lines.append(await self.line())
        return lines

    async def ask(self, request_id: bytes, text: bytes) -> list[bytes]:
        """Send a request and return its answer."""
        self.writer.write(b"QUERY %b %b\r\n" % (request_id, text))
        return await self.answer()
