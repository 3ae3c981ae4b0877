"""Consumers that write, and the judge of what a promoted endpoint's log has."""

from __future__ import annotations

import asyncio
from itertools import count

from celeryjunction.platform.standin import StandinEndpoint, StandinPlatform
from harness3.edges import Edge, Record

STATEMENT_S = 3.0
CONNECT_S = 2.0
"""A consumer closes its session if READY takes longer (PROTOCOL)."""
EXPIRY_S = 3.6
"""An entry is removed after three heartbeats of 1.2 s."""
CRASHED_S = 7.0
"""`srv_crash` and a crash of `replica_lag` last up to 7 s."""


class Writer:
    """A consumer that writes new values on a `primary` route and notes what it got."""

    def __init__(
        self, edge: Edge, number: int, record: Record, *, pause_s: float
    ) -> None:
        self._pause_s = pause_s
        self._edge = edge
        self._number = number
        self._record = record
        self.acknowledged: dict[bytes, float] = {}
        """Values whose write was answered with a digest, and when."""

    async def run(self) -> None:
        """Write until cancelled."""
        for session in count(1):
            try:
                await self._run_session(session)
            except (OSError, TimeoutError, EOFError) as error:
                self._record.write(
                    f"{self._edge.name} w{self._number} {type(error).__name__}"
                )
            await asyncio.sleep(self._pause_s)

    async def _run_session(self, session: int) -> None:
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self._edge.front
            )
            writer.write(f"CONNECT lock-db w{self._number}\r\n".encode())
            line = await reader.readline()
        try:
            if not line.startswith(b"READY"):
                raise EOFError
            for number in count(1):
                value = f"{self._edge.name}.{self._number}.{session}.{number}".encode()
                await self._write(reader, writer, value)
                await asyncio.sleep(self._pause_s)
        finally:
            writer.close()

    async def _write(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, value: bytes
    ) -> None:
        result = b""
        item = b"item-%b" % value
        async with asyncio.timeout(STATEMENT_S):
            writer.write(b"QUERY %b WRITE %b %b\r\n" % (value, item, value))
            while not (line := await reader.readline()).startswith(b"READY"):
                if not line:
                    raise EOFError
                result = line.strip()
        if result.startswith(b"COMPLETE"):
            self.acknowledged[value] = self._record.now_s
        self._record.write(f"{value.decode()} {result.decode()[:70]}")


def values_of(endpoint: StandinEndpoint) -> set[bytes]:
    """Return all values that an endpoint's log has."""
    return {value for _, changes in endpoint.log for value in changes.values()}


class Judge:
    """Compares each promoted endpoint's log with the acknowledged writes."""

    def __init__(self, writers: list[Writer], record: Record) -> None:
        self._writers = writers
        self._record = record
        self.promotions = 0
        self.lost: set[bytes] = set()

    def promoted(self, endpoint: StandinEndpoint) -> None:
        """Note the acknowledged writes that a promoted endpoint lacks."""
        self.promotions += 1
        known = values_of(endpoint)
        acknowledged = [v for writer in self._writers for v in writer.acknowledged]
        lost = {value for value in acknowledged if value not in known}
        self.lost |= lost
        self._record.say(
            f"{endpoint.id} is promoted; of {len(acknowledged)} acknowledged writes "
            f"its log lacks {len(lost)}"
        )
        for value in sorted(lost):
            self._record.write(f"lost: {value.decode()}")


async def crash(
    platform: StandinPlatform, endpoint: StandinEndpoint, record: Record
) -> None:
    """Crash a primary, which comes back with its log."""
    await endpoint.stop()
    record.write(f"{endpoint.id} crashes")
    await asyncio.sleep(EXPIRY_S)
    platform.store.put(f"servers/{endpoint.id}", None)
    await asyncio.sleep(CRASHED_S - EXPIRY_S)
    await endpoint.start(endpoint.port)
    platform.store.register(endpoint)
    record.write(f"{endpoint.id} is back, primary: {endpoint.is_primary}")
