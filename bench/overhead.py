"""Measures the latency and CPU time that the proxy adds to statements.

The same client runs statements directly at the endpoint and through the proxy. The two
alternate in short turns, so that other load on the machine slows both.
"""

from __future__ import annotations

import asyncio
import statistics
import time

import asyncpg

from bench.cluster import Cluster
from bench.ledger import SCHEMA
from bench.report import format_table, percentile_ms, print_result

TURNS = 10
TURN_S = 0.5
LOAD_S = 6.0
LOAD_CLIENTS = 24
NODE_RATE = 5650
"""Statements a second that each node must run at the planned size."""

READ = "SELECT n FROM counters WHERE id = $1"
WRITE = "UPDATE counters SET n = n + 1 WHERE id = $1"


async def _run_turn(
    connection: asyncpg.Connection, sql: str, seconds: float
) -> list[float]:
    latencies = []
    end = time.perf_counter() + seconds
    statement = await connection.prepare(sql)
    while (started := time.perf_counter()) < end:
        await statement.fetch("a")
        latencies.append(time.perf_counter() - started)
    return latencies


async def _latency(
    direct: asyncpg.Connection, through: asyncpg.Connection, sql: str
) -> dict[str, float]:
    latencies_by_path: dict[str, list[float]] = {"direct": [], "through": []}
    for _ in range(TURNS):
        latencies_by_path["direct"] += await _run_turn(direct, sql, TURN_S / 2)
        latencies_by_path["through"] += await _run_turn(through, sql, TURN_S / 2)
    p50 = {
        name: statistics.median(latencies) * 1000
        for name, latencies in latencies_by_path.items()
    }
    return {
        "direct_ms_p50": round(p50["direct"], 3),
        "through_ms_p50": round(p50["through"], 3),
        "added_ms_p50": round(p50["through"] - p50["direct"], 3),
        "through_ms_p99": percentile_ms(latencies_by_path["through"], 99),
    }


async def _load(cluster: Cluster, sql: str, user: str) -> dict[str, float]:
    proxy = cluster.proxies[0]
    connections = [await cluster.connect(proxy, user=user) for _ in range(LOAD_CLIENTS)]
    cpu, started = proxy.process.cpu_seconds(), time.perf_counter()
    turns = await asyncio.gather(
        *(_run_turn(connection, sql, LOAD_S) for connection in connections)
    )
    elapsed = time.perf_counter() - started
    cpu = proxy.process.cpu_seconds() - cpu
    statements = sum(len(latencies) for latencies in turns)
    for connection in connections:
        await connection.close()
    return {
        "statements_per_s": round(statements / elapsed),
        "cpu_us_per_statement": round(cpu / statements * 1e6, 1),
        "cpu_share": round(cpu / elapsed, 2),
        "ms_p50": percentile_ms([t for latencies in turns for t in latencies], 50),
    }


async def run() -> None:
    """Run the scenario."""
    async with Cluster("overhead", proxies=1, schema=SCHEMA) as cluster:
        direct = await cluster.connect_direct("db1")
        strict = await cluster.connect(cluster.proxies[0])
        bounded = await cluster.connect(cluster.proxies[0], user="coop.browse")
        await strict.execute("INSERT INTO counters VALUES ('a', 0)")
        result: dict[str, object] = {
            "bounded_read": await _latency(direct, bounded, READ),
            "strict_read": await _latency(direct, strict, READ),
            "write": await _latency(direct, strict, WRITE),
            "load_bounded_read": await _load(cluster, READ, "coop.browse"),
            "load_strict_read": await _load(cluster, READ, "coop"),
            "load_write": await _load(cluster, WRITE, "coop"),
        }
    load = result["load_bounded_read"]
    result["added_ms_p50"] = result["bounded_read"]["added_ms_p50"]
    result["statements_per_s_per_process"] = round(1e6 / load["cpu_us_per_statement"])
    result["cpu_us_per_statement"] = load["cpu_us_per_statement"]
    result["processes_per_vm"] = -(-NODE_RATE // result["statements_per_s_per_process"])
    print(format_table(result))
    print_result(result)
