"""The key-value store is out for 30 s and then slow for 10 s, under load.

In the first half of the outage the store refuses every call, in the second half calls
hang and watches are silent. No statement may fail because of the outage. The calls of
each proxy to the store are read from the stand-in's counters.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

from bench.cluster import Cluster
from bench.drain import CLIENT_ERRORS
from bench.ledger import (
    SCHEMA,
    Ledger,
    final_rows,
    insert_op,
    run_with_timeout,
    sqlstate,
)
from bench.report import format_table, percentile_ms, print_result

PROXIES = 3
CLIENTS = 12
USERS = ("coop", "coop.browse", "coop.tally", "coop.lock")
RUN_TIMEOUT_S = 56.0
THINK_S = 0.01
SLOW_MS = 500
PHASES = (
    ("at rest", 5.0),
    ("refused", 15.0),
    ("hangs", 15.0),
    ("slow", 10.0),
    ("after", 5.0),
)
"""Name of each phase and its length in seconds."""


class StoreOutage:
    """The load, the phases, and the counts and latencies of each phase."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._running = True
        self._phase = PHASES[0][0]
        self._ledger = Ledger()
        self._statements: Counter[str] = Counter()
        self._failed: Counter[str] = Counter()
        self._latencies: dict[str, list[float]] = {name: [] for name, _ in PHASES}
        self._calls: dict[str, dict[str, float]] = {}

    async def run(self) -> dict[str, object]:
        """Run the load through all phases and return the results."""
        clients = [self._client(number) for number in range(CLIENTS)]
        await run_with_timeout(RUN_TIMEOUT_S, self._run_phases(), *clients)
        return await self._result()

    async def _client(self, number: int) -> None:
        cluster, rng = self._cluster, random.Random(number)
        user = USERS[number % len(USERS)]
        # Each client writes through one proxy and reads through another.
        first, second = rng.sample(cluster.proxies, 2)
        connections = [
            await cluster.connect(proxy, user=user) for proxy in (first, second)
        ]
        name, value = f"c{number}", 0
        await connections[0].execute("INSERT INTO counters VALUES ($1, 0)", name)
        while self._running:
            op = self._ledger.new_op(name)
            if await self._run_statement(insert_op, connections[0], op, name, op=op):
                value += await self._run_statement(
                    self._update_counter, connections[0], name, value + 1
                )
            await self._run_statement(self._read_counter, connections[1], name)
            await asyncio.sleep(THINK_S)
        for connection in connections:
            await connection.close()

    async def _run_statement(self, operation, *args: object, op: str = "") -> bool:
        started = time.monotonic()
        phase = self._phase
        self._statements[phase] += 1
        try:
            await operation(*args)
        except CLIENT_ERRORS as error:
            self._failed[f"{phase}: {sqlstate(error) or repr(error)[:80]}"] += 1
            return False
        self._latencies[phase].append(time.monotonic() - started)
        if op:
            self._ledger.acknowledged.add(op)
        return True

    async def _update_counter(self, connection, name: str, value: int) -> None:
        await connection.execute(
            "UPDATE counters SET n = $2 WHERE id = $1", name, value
        )

    async def _read_counter(self, connection, name: str) -> None:
        await connection.fetchval("SELECT n FROM counters WHERE id = $1", name)

    async def _run_phases(self) -> None:
        control = self._cluster.store_control
        await asyncio.sleep(1)
        await self._measure_phase("at rest")
        await control("outage", mode="unavailable")
        await self._measure_phase("refused")
        await control("outage", mode="hang", watches="silent")
        await self._measure_phase("hangs")
        await control("heal")
        await control("slow", ms=SLOW_MS)
        await self._measure_phase("slow")
        await control("slow", ms=0)
        await self._measure_phase("after")
        self._running = False

    async def _measure_phase(self, name: str) -> None:
        """Run a phase and record the rate of store calls of each proxy."""
        self._phase = name
        seconds = dict(PHASES)[name]
        before = await self._count_store_calls()
        started = time.monotonic()
        await asyncio.sleep(seconds)
        after = await self._count_store_calls()
        took = time.monotonic() - started
        self._calls[name] = {
            proxy: round((after[proxy] - before.get(proxy, 0)) / took, 2)
            for proxy in after
        }
        failed = dict(self._failed)
        print(f"{name}: calls/s {self._calls[name]}, failed {failed}", flush=True)

    async def _count_store_calls(self) -> dict[str, int]:
        names = {proxy.name for proxy in self._cluster.proxies}
        clients = (await self._cluster.store_state())["clients"]
        return {n: sum(c.values()) for n, c in clients.items() if n in names}

    async def _result(self) -> dict[str, object]:
        database = self._cluster.databases[0]
        direct = await self._cluster.connect_direct(database)
        ops, _ = await final_rows(direct)
        await direct.close()
        found = self._ledger.check_writes(ops)
        return {
            "failed_statements": sum(self._failed.values()),
            "failed": dict(self._failed),
            "lost_acknowledged": found["lost_acknowledged"],
            "duplicates": found["duplicates"],
            "statements": dict(self._statements),
            "calls_per_s": self._calls,
            "p50_ms": {n: percentile_ms(v, 50) for n, v in self._latencies.items()},
            "p99_ms": {n: percentile_ms(v, 99) for n, v in self._latencies.items()},
        }


async def run() -> None:
    """Run the scenario."""
    async with Cluster("store-outage", proxies=PROXIES, schema=SCHEMA) as cluster:
        result = await StoreOutage(cluster).run()
    print(format_table(result))
    print_result(result)
