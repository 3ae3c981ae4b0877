"""A PostgreSQL endpoint with framing of its own that answers out of order on demand.

It shares no code with the product. Each statement returns one row with its own text,
so a test sees whose answer a caller got.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable

from celeryjunction.adapters.pg_endpoint import EndpointLogin, PgConnection, PgConnector
from celeryjunction.ports import EndpointRecord

LIMIT_S = 5.0
"""Time-out of answered calls; no passing test waits this long."""

Answer = list[bytes]
Edit = Callable[[Answer], Answer]


def message(tag: bytes, body: bytes = b"") -> bytes:
    """Return one message."""
    return tag + struct.pack("!i", len(body) + 4) + body


def fields(tag: bytes, **values: str) -> bytes:
    """Return an ErrorResponse or NoticeResponse."""
    parts = [k.encode() + v.encode() + b"\0" for k, v in values.items()]
    return message(tag, b"".join(parts) + b"\0")


READY = message(b"Z", b"I")
COMPLETE = message(b"C", b"SELECT 1\0")
ROW_HEAD = message(b"T", b"\0\1text\0" + struct.pack("!ihihih", 0, 0, 25, -1, -1, 0))


def row(text: bytes) -> bytes:
    """Return a DataRow with one column."""
    return message(b"D", b"\0\1" + struct.pack("!i", len(text)) + text)


def answer(text: bytes) -> Answer:
    """Return the answer to a statement that was bound, described and executed."""
    return [message(b"2"), ROW_HEAD, row(text), COMPLETE]


class OddEndpoint:
    """Answers each Sync; `edit` changes the answer, `push` sends bytes unasked."""

    def __init__(self) -> None:
        self.edit: Edit | None = None
        self.login_end = READY
        self.answered = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> OddEndpoint:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def record(self) -> EndpointRecord:
        """The endpoint's record."""
        port = self._server.sockets[0].getsockname()[1]
        return EndpointRecord(
            name="odd", zone="z1", host="127.0.0.1", port=port, slots=4
        )

    @property
    def connector(self) -> PgConnector:
        """The product's connector."""
        return PgConnector(EndpointLogin(user="cj", application_name="test"))

    async def connect(self) -> PgConnection:
        """Open a connection of the product."""
        return await self.connector.connect(self.record, "db", timeout=LIMIT_S)

    def push(self, data: bytes) -> None:
        """Send bytes on the newest connection."""
        self._writers[-1].write(data)

    async def close(self) -> None:
        """Close the port and all connections."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.wait_for(asyncio.gather(*self._tasks), LIMIT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.append(asyncio.current_task())
        try:
            size, code = struct.unpack("!ii", await reader.readexactly(8))
            await reader.readexactly(size - 8)
            if code >> 16 != 3:
                writer.close()
                return
            self._writers.append(writer)
            login = message(b"R", bytes(4)), message(b"K", bytes(8)), self.login_end
            writer.write(b"".join(login))
            await self._serve_statements(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _serve_statements(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        texts: dict[bytes, bytes] = {}
        bound = b""
        parts: Answer = []
        while True:
            tag, size = struct.unpack("!ci", await reader.readexactly(5))
            body = await reader.readexactly(size - 4)
            names = body.split(b"\0")
            if tag == b"P":
                texts[names[0]] = names[1]
                parts.append(message(b"1"))
            elif tag == b"B":
                bound = texts[names[1]]
                parts.append(message(b"2"))
            elif tag == b"D":
                parts.append(ROW_HEAD)
            elif tag == b"E":
                parts += [row(bound), COMPLETE]
            elif tag == b"C":
                parts.append(message(b"3"))
            elif tag == b"S":
                parts.append(READY)
                if self.edit is not None:
                    parts = self.edit(parts)
                self.answered += 1
                writer.write(b"".join(parts))
                parts = []
