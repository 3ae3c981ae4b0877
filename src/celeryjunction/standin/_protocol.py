"""PostgreSQL protocol of the stand-in's endpoints: pg-mimic with three changes.

Messages are dispatched in the connection's own task, output is sent once per Sync or
simple query, and command tags come from the executed statement. The loop of pg-mimic
starts a task and drains the output for each message, which costs more than the
statements themselves.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable, Callable
from typing import Any

from pg_mimic import PgError, PgServer, Portal, ResultColumn, Statement, messages
from pg_mimic.connection import Connection
from pg_mimic.results import format_code_for
from pg_mimic.stream import ConnectionClosed, PgStream

from celeryjunction.standin._plan import Plan, PlanKind, split_statements
from celeryjunction.standin._types import to_storage, wire_encoder

_LENGTH = struct.Struct("!i")
_DATA_ROW = struct.Struct("!cih")
_NULL = _LENGTH.pack(-1)
_FLUSH_BYTES = 256 * 1024

Rows = list[tuple[Any, ...]]
Runner = Callable[[Plan, tuple[Any, ...]], Awaitable[tuple[Rows, str]]]


class BufferedStream(PgStream):
    """Collects output until `drain`, which first awaits `wait_until_passable`."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        wait_until_passable: Callable[[], Awaitable[None]],
    ) -> None:
        super().__init__(reader, writer)
        self.wait_until_passable = wait_until_passable
        self._chunks: list[bytes] = []

    def write(self, data: bytes) -> None:
        """Add a message to the pending output."""
        self._chunks.append(data)

    async def drain(self) -> None:
        """Send the pending output."""
        await self.wait_until_passable()
        chunks, self._chunks = self._chunks, []
        if chunks:
            self.writer.write(b"".join(chunks))
            await self.writer.drain()

    def abort(self) -> None:
        """Reset the connection and discard the pending output."""
        self._chunks.clear()
        self.writer.transport.abort()


class PlannedStatement(Statement):
    """A prepared statement with its plan."""

    def __init__(self, plan: Plan, runner: Runner) -> None:
        self.plan = plan
        self.sql = plan.sql
        self.param_oids = list(plan.wire_oids)
        self._runner = runner

    async def describe(self) -> list[ResultColumn] | None:
        """Return the result columns."""
        return self.plan.columns

    def bind(self, params: list[Any]) -> Portal:
        """Convert the parameters to their stored form.

        Raises `PgError` 08P01 for a wrong number of parameters, 22P02 for invalid
        values and 22003 for integers out of range.
        """
        oids = self.plan.storage_oids
        if len(params) != len(oids):
            text = f"bind message supplies {len(params)} parameters, not {len(oids)}"
            raise PgError("08P01", text)
        stored = tuple(map(to_storage, oids, params))
        return PlannedPortal(self.plan, self._runner, stored)


class PlannedPortal(Portal):
    """A bound statement; `tag` is the command tag after the execution."""

    def __init__(self, plan: Plan, runner: Runner, params: tuple[Any, ...]) -> None:
        self.plan = plan
        self.tag = ""
        self._runner = runner
        self._params = params
        self._rows: Rows | None = None
        self._position = 0

    async def execute(self, max_rows: int) -> tuple[Rows, bool]:
        """Run the statement on the first call; later calls return further rows."""
        if self._rows is None:
            self._rows, self.tag = await self._runner(self.plan, self._params)
        start = self._position
        end = start + max_rows if max_rows > 0 else len(self._rows)
        self._position = end
        return self._rows[start:end], end < len(self._rows)


class ClientConnection(Connection):
    """The connection of one client."""

    _cancelling = False
    _dispatching = False
    _task: asyncio.Task[None] | None = None

    def request_cancel(self) -> None:
        """Cancel the running statement, if any."""
        if self._dispatching and self._task is not None:
            self._cancelling = True
            self._task.cancel()

    async def _command_loop(self) -> None:
        self._task = asyncio.current_task()
        while True:
            tag, payload = await self.stream.read_message()
            if tag == messages.TERMINATE:
                return
            await self.session.before_message()
            await self._dispatch_cancellable(tag, payload)
            if tag in (messages.QUERY, messages.SYNC):
                self._ignore_until_sync = False
                self.stream.write(messages.make_ready_for_query(self.tx_status))
                await self.stream.drain()
            elif self._ignore_until_sync:
                # A client that waits after Flush needs the error before it sends Sync.
                await self.stream.drain()

    async def _dispatch_cancellable(self, tag: bytes, payload: bytes) -> None:
        self._dispatching = True
        try:
            await self._dispatch(tag, payload)
        except asyncio.CancelledError:
            if not self._cancelling or self._task is None:
                raise
            self._task.uncancel()
            text = "canceling statement due to user request"
            fields = {"S": "ERROR", "V": "ERROR", "C": "57014", "M": text}
            self.stream.write(messages.make_error_response(fields))
            if self.tx_status != b"I":
                self.tx_status = b"E"
            self._ignore_until_sync = True
        finally:
            self._dispatching = self._cancelling = False

    async def _handle_simple_query(self, sql: str) -> None:
        for text in split_statements(sql):
            statement = await self.session.prepare(text, [])
            columns = await statement.describe()
            portal = statement.bind([])
            if columns is not None:
                self.stream.write(_encode_row_description(columns, []))
            await self._send_result(portal, columns, [], 0, text)

    async def _handle_describe(self, parsed: Any) -> None:
        if parsed.kind == messages.TARGET_STATEMENT:
            await super()._handle_describe(parsed)
            return
        entry = self._get_portal(parsed.name)
        if entry.columns is None:
            self.stream.write(messages.make_no_data())
        else:
            formats = entry.result_format_codes
            self.stream.write(_encode_row_description(entry.columns, formats))

    async def _handle_execute(self, parsed: Any) -> None:
        entry = self._get_portal(parsed.portal_name)
        formats = entry.result_format_codes
        await self._send_result(
            entry.portal, entry.columns, formats, parsed.max_rows, entry.sql
        )

    async def _send_result(
        self,
        portal: Portal,
        columns: list[ResultColumn] | None,
        formats: list[int],
        max_rows: int,
        sql: str,
    ) -> None:
        rows, suspended = await portal.execute(max_rows)
        if columns is not None:
            await self._send_rows(rows, columns, formats)
        if suspended:
            self.stream.write(messages.make_portal_suspended())
        elif isinstance(portal, PlannedPortal) and portal.plan.kind is PlanKind.EMPTY:
            self.stream.write(messages.make_empty_query_response())
        else:
            tag = portal.tag if isinstance(portal, PlannedPortal) else "SELECT 0"
            self.stream.write(messages.make_command_complete(tag))

    async def _send_rows(
        self, rows: Rows, columns: list[ResultColumn], formats: list[int]
    ) -> None:
        encoders = [
            wire_encoder(column.oid, format_code_for(formats, index))
            for index, column in enumerate(columns)
        ]
        pending_bytes = 0
        for row in rows:
            message = _encode_data_row(row, encoders)
            self.stream.write(message)
            pending_bytes += len(message)
            if pending_bytes > _FLUSH_BYTES:
                pending_bytes = 0
                await self.stream.drain()


def _encode_row_description(columns: list[ResultColumn], formats: list[int]) -> bytes:
    return messages.make_row_description(
        [
            messages.FieldSpec(c.name, c.oid, format_code=format_code_for(formats, i))
            for i, c in enumerate(columns)
        ]
    )


def _encode_data_row(
    row: tuple[Any, ...], encoders: list[Callable[[Any], bytes]]
) -> bytes:
    parts = []
    for value, encode in zip(row, encoders, strict=True):
        if value is None:
            parts.append(_NULL)
        else:
            data = encode(value)
            parts.append(_LENGTH.pack(len(data)))
            parts.append(data)
    body = b"".join(parts)
    return _DATA_ROW.pack(b"D", len(body) + 6, len(row)) + body


class ClientServer(PgServer):
    """Accepts clients and calls `serve` for each after its startup message.

    `before_handshake` is awaited before the first byte of a new connection is read.
    """

    def __init__(
        self,
        before_handshake: Callable[[], Awaitable[None]],
        serve: Callable[[PgServer, Any, dict[str, str]], Awaitable[None]],
        make_stream: Callable[..., BufferedStream],
    ) -> None:
        super().__init__(lambda: None)
        self._before_handshake = before_handshake
        self._serve = serve
        self._make_stream = make_stream

    async def _handle_client(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._before_handshake()
            stream = self._make_stream(reader, writer)
            startup = await self._negotiate_startup(stream)
            if startup is not None:
                await self._serve(self, stream, startup)
        except (ConnectionClosed, ConnectionError):
            pass

    def register(self, connection: Connection) -> None:
        """Register a connection as a target of cancel requests."""
        self._connections[connection.pid] = connection

    def unregister(self, connection: Connection) -> None:
        """Remove a connection from the targets of cancel requests."""
        self._connections.pop(connection.pid, None)

    def allocate_pid(self) -> int:
        """Return the next process id."""
        return self._allocate_pid()

    def abort(self) -> None:
        """Stop listening and reset all connections, also those in the handshake."""
        for writer in list(self._writers):
            writer.transport.abort()
        self.close()
