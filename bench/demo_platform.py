"""Demonstration: three edge processes, the platform's stand-in and a failover."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

from bench.platform_cluster import EdgeProcess, LineClient
from bench.report import format_table, percentile_ms, print_result
from celeryjunction.platform.standin import StandinPlatform

DURATION_S = 6.0
CRASH_AT_S = 2.0
EDGES = 3
CLIENTS = 12
THINK_S = 0.02
"""Pause of a client between two operations."""
DATABASES = ("lock-db", "tally-db", "sheet-db")


class Load:
    """Clients that write and read; counts answers and stale reads of own writes."""

    def __init__(self, edges: list[EdgeProcess]) -> None:
        self._edges = edges
        self._end = time.monotonic() + DURATION_S
        self.counts: Counter[str] = Counter()
        self.latencies: list[float] = []
        self.gaps: list[float] = []

    async def run(self) -> None:
        """Run all clients until the end."""
        await asyncio.gather(*(self._run_client(number) for number in range(CLIENTS)))

    async def _run_client(self, number: int) -> None:
        database = DATABASES[number % len(DATABASES)]
        client = LineClient(self._edges[number % len(self._edges)].front_port)
        await client.open(database)
        written, refused_since = "-", 0.0
        n = 0
        while time.monotonic() < self._end:
            n += 1
            writes = n % 3 == 0 and not database.startswith("sheet")
            text = f"WRITE c{number} v{n}" if writes else f"READ c{number}"
            started = time.monotonic()
            lines = await client.send(text)
            now = time.monotonic()
            if lines[0].startswith("ERROR"):
                self.counts[lines[0].split(" ")[1]] += 1
                refused_since = refused_since or started
                if "INDOUBT" in lines[0]:
                    # Reads are not checked until a later write succeeds.
                    written = f"v{n}?"
            else:
                self.counts["served"] += 1
                self.latencies.append(now - started)
                if refused_since:
                    self.gaps.append(now - refused_since)
                    refused_since = 0.0
                if writes:
                    written = f"v{n}"
                elif not written.endswith("?") and lines[0] != f"ROW {written}":
                    self.counts["stale own reads"] += not database.startswith("sheet")
            await asyncio.sleep(THINK_S)
        client.close()


async def run() -> None:
    """Start platform and edges, crash the primary under load, stop the edges."""
    platform = StandinPlatform()
    await platform.start()
    with tempfile.TemporaryDirectory() as folder:
        edges = [EdgeProcess(platform, Path(folder), f"edge-{n}") for n in range(EDGES)]
        try:
            for number, edge in enumerate(edges):
                await edge.start(zone=number)
            for edge in edges:
                await edge.wait_until_ready()
            load = Load(edges)
            loading = asyncio.create_task(load.run())
            await asyncio.sleep(CRASH_AT_S)
            await platform.groups["db"].endpoints[0].stop()
            await loading
            codes = [await edge.stop() for edge in edges]
        finally:
            for edge in edges:
                await edge.stop(signal.SIGKILL)
            await platform.close()
    result = {
        **load.counts,
        "p50_ms": percentile_ms(load.latencies, 50),
        "p99_ms": percentile_ms(load.latencies, 99),
        "longest_gap_s": round(max(load.gaps, default=0.0), 2),
        "promotions": len(platform.store.promotions),
        "exit_codes": codes,
    }
    print(format_table(result))
    print_result(result)
