"""Ordinary callers of an edge, and the times at which they were served."""

from __future__ import annotations

import asyncio
import time
from itertools import count, pairwise

from harness3.edges import Edge, Record

CONNECT_LIMIT_S = 2.0
"""A consumer closes its session if READY takes longer (PROTOCOL)."""
BUDGET_S = 3.0
"""Time budget of a `sheet-browse` request."""
PAUSE_S = 0.2
PROBE_INTERVAL_S = 1.0
"""The platform asks each machine for its readiness once a second."""


class Caller:
    """One ordinary consumer: a read each 0.2 s on one session, opened again if lost."""

    def __init__(self, edge: Edge, number: int, record: Record) -> None:
        self._edge = edge
        self._name = f"c{number}"
        self._record = record
        self.served_at: list[float] = []
        """When a request was answered with success, seconds since the case's start."""
        self.failed_at: list[float] = []
        """When a request was not, or a session not opened."""

    async def run(self) -> None:
        """Send requests until cancelled."""
        for session in count(1):
            try:
                await self._serve_session(session)
            except (OSError, TimeoutError, EOFError) as error:
                self.failed_at.append(self._record.now_s)
                reason = type(error).__name__
                self._record.write(f"{self._edge.name} {self._name} failed: {reason}")
            await asyncio.sleep(PAUSE_S)

    async def _serve_session(self, session: int) -> None:
        async with asyncio.timeout(CONNECT_LIMIT_S):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._edge.front
            )
            writer.write(f"CONNECT sheet-db {self._name}\r\n".encode())
            line = await reader.readline()
        try:
            if not line.startswith(b"READY"):
                raise EOFError
            for number in count(1):
                await self._send(reader, writer, f"{self._name}.{session}.{number}")
                await asyncio.sleep(PAUSE_S)
        finally:
            writer.close()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, id_: str
    ) -> None:
        began, result = time.monotonic(), b""
        async with asyncio.timeout(BUDGET_S):
            writer.write(f"QUERY {id_} READ a1\r\n".encode())
            while not (line := await reader.readline()).startswith(b"READY"):
                if not line:
                    raise EOFError
                result = line.strip()
        took_s = time.monotonic() - began
        served = result.startswith(b"COMPLETE")
        (self.served_at if served else self.failed_at).append(self._record.now_s)
        text = result.decode("latin-1")[:60]
        self._record.write(f"{self._edge.name} {id_} {text} after {took_s:.3f} s")


async def probe_each_second(
    edge: Edge, record: Record, answered_at: list[float]
) -> None:
    """Ask for the readiness as the platform does; note when it was answered."""
    while True:
        began = time.monotonic()
        status = await edge.probe(PROBE_INTERVAL_S)
        record.write(f"{edge.name} readiness {status or 'no answer'}")
        if status:
            answered_at.append(record.now_s)
        await asyncio.sleep(max(0.0, began + PROBE_INTERVAL_S - time.monotonic()))


def longest_gap_s(times: list[float], begin: float, end: float) -> float:
    """Return the longest time between `begin` and `end` without any of the times."""
    inside = [begin, *sorted(at for at in times if begin <= at <= end), end]
    return max(b - a for a, b in pairwise(inside))
