"""Measures the memory that an idle client connection takes in a proxy."""

from __future__ import annotations

import asyncio

from bench.cluster import Cluster
from bench.ledger import SCHEMA
from bench.report import format_table, print_result

CONNECTIONS = 2_000
CONCURRENT_CONNECTS = 20
SETTLE_S = 1.0
IDLE_S = 3.0


async def run() -> None:
    """Run the scenario."""
    async with Cluster("connections", proxies=1, schema=SCHEMA) as cluster:
        proxy = cluster.proxies[0]
        connect_slots = asyncio.Semaphore(CONCURRENT_CONNECTS)

        async def connect(run_statement: bool):
            async with connect_slots:
                connection = await cluster.connect(proxy)
                if run_statement:
                    await connection.fetch("SELECT n FROM counters WHERE id = $1", "a")
                return connection

        # The first connections allocate what all connections share.
        opened = [await connect(True) for _ in range(5)]
        before = proxy.process.rss_mb()
        opened += await asyncio.gather(*(connect(False) for _ in range(CONNECTIONS)))
        await asyncio.sleep(SETTLE_S)
        after, cpu_s = proxy.process.rss_mb(), proxy.process.cpu_seconds()
        await asyncio.sleep(IDLE_S)
        cpu_s = proxy.process.cpu_seconds() - cpu_s
        for connection in opened:
            connection.terminate()
    result = {
        "connections": CONNECTIONS,
        "rss_before_mb": round(before, 1),
        "rss_after_mb": round(after, 1),
        "kb_per_connection": round((after - before) * 1000 / CONNECTIONS, 1),
        "idle_cpu_percent": round(cpu_s / IDLE_S * 100, 2),
    }
    print(format_table(result))
    print_result(result)
