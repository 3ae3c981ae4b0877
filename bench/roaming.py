"""Checks read-your-writes for sessions that change proxies after each write.

Replicas lag by 50 to 500 ms. Strict readers check that they see their own writes, and
readers that accept 1 s of staleness that no answer is older. Proxies exchange no
separate messages for read-your-writes, so lost or late messages cannot affect it.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque

import asyncpg

from bench.cluster import Cluster
from bench.ledger import SCHEMA, run_with_timeout, sqlstate
from bench.report import format_table, percentile_ms, print_result

LAGS_MS = (50, 200, 500)
PHASE_S = 10.0
SESSIONS = 8
BROWSERS = 4
STALENESS_S = 1.0
THINK_S = 0.02


class Phase:
    """Load at one replica lag."""

    def __init__(self, cluster: Cluster, lag_ms: int) -> None:
        self._cluster = cluster
        self._lag_ms = lag_ms
        self._end = time.monotonic() + PHASE_S
        self._random = random.Random(lag_ms)
        self._history: dict[str, deque[tuple[float, int]]] = {}
        self.strict_reads = 0
        self.bounded_reads = 0
        self.violations = 0
        self.errors: dict[str, int] = {}
        self.latencies: list[float] = []
        self.write_latencies: list[float] = []

    async def run(self) -> None:
        """Run all sessions and browsers for the duration of the phase."""
        names = [f"s{self._lag_ms}-{i}" for i in range(SESSIONS)]
        await run_with_timeout(
            PHASE_S + 10,
            *(self._session(name) for name in names),
            *(self._browser(names) for _ in range(BROWSERS)),
        )

    async def _session(self, name: str) -> None:
        connections = [await self._cluster.connect(p) for p in self._cluster.proxies]
        await connections[0].execute("INSERT INTO counters VALUES ($1, 0)", name)
        self._history[name] = deque([(time.monotonic(), 0)])
        value = 0
        while time.monotonic() < self._end:
            writer, reader = self._random.sample(connections, 2)
            value = await self._write(writer, name, value)
            await self._strict_read(reader, name, value)
            await asyncio.sleep(THINK_S)
        for connection in connections:
            await connection.close()

    async def _write(
        self, connection: asyncpg.Connection, name: str, value: int
    ) -> int:
        started = time.monotonic()
        try:
            await connection.execute(
                "UPDATE counters SET n = $2 WHERE id = $1", name, value + 1
            )
        except asyncpg.PostgresError as error:
            self._record_error(error)
            return value
        now = time.monotonic()
        self.write_latencies.append(now - started)
        self._history[name].append((now, value + 1))
        return value + 1

    async def _strict_read(
        self, connection: asyncpg.Connection, name: str, value: int
    ) -> None:
        started = time.monotonic()
        try:
            seen = await connection.fetchval(
                "SELECT n FROM counters WHERE id = $1", name
            )
        except asyncpg.PostgresError as error:
            self._record_error(error)
            return
        self.latencies.append(time.monotonic() - started)
        self.strict_reads += 1
        self.violations += seen is None or seen < value

    async def _browser(self, names: list[str]) -> None:
        proxy = self._random.choice(self._cluster.proxies)
        connection = await self._cluster.connect(proxy, user="coop.browse")
        await asyncio.sleep(0.5)
        while time.monotonic() < self._end:
            name = self._random.choice(names)
            oldest = self._value_at(name, time.monotonic() - STALENESS_S)
            try:
                seen = await connection.fetchval(
                    "SELECT n FROM counters WHERE id = $1", name
                )
            except asyncpg.PostgresError as error:
                self._record_error(error)
                continue
            self.bounded_reads += 1
            self.violations += oldest is not None and (seen is None or seen < oldest)
            await asyncio.sleep(THINK_S / 4)
        await connection.close()

    def _value_at(self, name: str, instant: float) -> int | None:
        history = self._history.get(name, ())
        return max((n for at, n in history if at <= instant), default=None)

    def _record_error(self, error: Exception) -> None:
        state = sqlstate(error)
        self.errors[state] = self.errors.get(state, 0) + 1


async def _count_reads(cluster: Cluster) -> dict[str, int]:
    totals = {"replica_strict": 0, "strict": 0, "replica_bounded": 0, "bounded": 0}
    for proxy in cluster.proxies:
        for group in (await cluster.status(proxy))["groups"].values():
            for name in totals:
                totals[name] += group["reads"][name]
    return totals


async def run() -> None:
    """Run the scenario."""
    result: dict[str, object] = {"violations": 0, "replica_read_share": {}}
    async with Cluster("roaming", proxies=3, schema=SCHEMA) as cluster:
        before = await _count_reads(cluster)
        for lag in LAGS_MS:
            await cluster.control("db1", "lag", apply_lag_ms=lag)
            phase = Phase(cluster, lag)
            await phase.run()
            after = await _count_reads(cluster)
            delta = {name: after[name] - before[name] for name in after}
            before = after
            result["violations"] += phase.violations
            result["replica_read_share"][f"strict_{lag}ms"] = round(
                delta["replica_strict"] / max(delta["strict"], 1), 3
            )
            result["replica_read_share"][f"bounded_{lag}ms"] = round(
                delta["replica_bounded"] / max(delta["bounded"], 1), 3
            )
            result[f"lag_{lag}ms"] = {
                "strict_reads": phase.strict_reads,
                "bounded_reads": phase.bounded_reads,
                "errors": phase.errors,
                "strict_read_ms_p50": percentile_ms(phase.latencies, 50),
                "strict_read_ms_p99": percentile_ms(phase.latencies, 99),
                "write_ms_p50": percentile_ms(phase.write_latencies, 50),
            }
            print(f"lag {lag} ms: {delta} {phase.errors}", flush=True)
    print(format_table(result))
    print_result(result)
