"""A consumer's session, and the record of what a script saw."""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ANSWER_LIMIT_S = 5.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Consumer:
    """One session. Messages end with CR LF."""

    def __init__(self, port: int) -> None:
        self._port = port

    async def open(self, database: str) -> None:
        """Connect; raises `RuntimeError` if the database isn't served."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._writer.write(b"CONNECT %b u1\r\n" % database.encode())
        line = await self._read_message()
        if not line.startswith(b"READY I"):
            raise RuntimeError(f"CONNECT was answered with {line!r}")

    async def _read_message(self) -> bytes:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            return (await self._reader.readuntil(b"\r\n")).removesuffix(b"\r\n")

    async def send(self, request_id: bytes, text: bytes) -> list[bytes]:
        """Send a request; return the messages up to READY.

        Raises `IncompleteReadError` or `ConnectionError` if the connection ends before,
        and `TimeoutError`.
        """
        self._writer.write(b"QUERY %b %b\r\n" % (request_id, text))
        messages = []
        while not messages or not messages[-1].startswith(b"READY"):
            messages.append(await self._read_message())
        return messages

    def close(self) -> None:
        """End the session."""
        self._writer.close()


def new_request_id() -> bytes:
    """Return an id like those of the pages."""
    return secrets.token_hex(8).encode()


class Record:
    """What was sent, answered and run, in `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started = time.monotonic()

    def add(self, text: str, *, at: float | None = None) -> None:
        """Add a line with its time in seconds since the start."""
        at = time.monotonic() if at is None else at
        self._lines.append(f"{at - self._started:8.3f} {text}")

    def write(self) -> None:
        """Write the lines in the order of their times."""
        self._path.write_text("\n".join(sorted(self._lines)) + "\n")


def run_case(
    folder: Path,
    case: Callable[[Record, bool], Awaitable[list[str]]],
    *,
    limit_s: float,
) -> int:
    """Run a case; return the exit code.

    `case` gets the record and whether to cause the trouble, and returns how the rule
    was broken.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(record, has_trouble)

    try:
        broken = asyncio.run(run())
    except Exception:
        record.add("could not run: " + traceback.format_exc().replace("\n", " | "))
        record.write()
        traceback.print_exc()
        return NOT_RUN
    for line in broken:
        record.add(f"BROKEN {line}")
    record.write()
    print(f"trouble: {has_trouble}; rule broken {len(broken)} times", file=sys.stderr)
    for line in broken[:5]:
        print(line, file=sys.stderr)
    return BROKEN if broken else HELD
