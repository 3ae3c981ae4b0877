"""Accepts connections of clients that send lines, and runs a task for each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from celeryjunction.adapters.client_guard import ClientGuard, default_guard
from celeryjunction.adapters.client_stream import ClientStream, bound_buffers
from celeryjunction.logs import get_logger

BACKLOG = 128
"""Connections that the kernel accepts meanwhile. Those over the limit of connections
take a descriptor until they are closed, so a burst must fit into the reserve."""

_log = get_logger("frontend")


class LineConnection(Protocol):
    """One client's connection."""

    @property
    def is_idle(self) -> bool:
        """Whether no request is pending and no transaction is open."""
        ...

    def close(self) -> None:
        """Close the connection after pending output has been sent."""
        ...

    async def serve(self) -> None:
        """Serve the client until the connection ends."""
        ...


Connection = TypeVar("Connection", bound=LineConnection)


class LineServer(Generic[Connection]):
    """Accepts clients' connections; a subclass makes the object that serves one."""

    def __init__(
        self, *, host: str, port: int, guard: ClientGuard | None = None
    ) -> None:
        self._host = host
        self._port = port
        self._guard = guard or default_guard()
        self._server: asyncio.Server | None = None
        self._connections: dict[Connection, asyncio.Task[None]] = {}

    def _make_connection(self, stream: ClientStream) -> Connection:
        raise NotImplementedError

    @property
    def connections(self) -> list[Connection]:
        """The open connections."""
        return list(self._connections)

    async def start(self) -> None:
        """Open the listener; raises `OSError`."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, self._host, self._port, backlog=BACKLOG
        )
        for sock in self._server.sockets:
            bound_buffers(sock)

    def _accept(self) -> ClientStream:
        stream = _AcceptedStream(self._guard)
        stream.on_connected = self._serve
        return stream

    def _serve(self, stream: ClientStream) -> None:
        connection = self._make_connection(stream)
        task = asyncio.create_task(connection.serve())
        self._connections[connection] = task
        task.add_done_callback(lambda done: self._connection_done(connection, done))

    def _connection_done(
        self, connection: Connection, task: asyncio.Task[None]
    ) -> None:
        self._connections.pop(connection, None)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, TimeoutError):
            _log.error("connection_failed", reason=repr(error))

    def stop_accepting(self) -> None:
        """Close the listener, so that new connections are refused."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> int:
        """Close the connections that are idle; return how many."""
        idle = [connection for connection in self._connections if connection.is_idle]
        for connection in idle:
            connection.close()
        return len(idle)

    async def close(self) -> None:
        """Close the listener and all connections, and wait for their tasks."""
        self.stop_accepting()
        tasks = list(self._connections.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _AcceptedStream(ClientStream):
    on_connected: Callable[[ClientStream], None]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        if not self._guard.admits():
            self._transport = transport
            self.abort()
            return
        super().connection_made(transport)
        self.on_connected(self)
