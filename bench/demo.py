"""Demonstration: a few seconds of mixed load, then a table and one JSON object."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter

import asyncpg

from bench.cluster import Cluster, Proxy
from bench.ledger import SCHEMA, Ledger, final_rows, insert_op, run_with_timeout
from bench.report import format_table, print_result

DURATION_S = 6.0
WORKERS = 9


class Demo:
    """Clients that write, read their writes elsewhere, browse and run transactions."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._ledger = Ledger()
        self._end = time.monotonic() + DURATION_S
        self._random = random.Random(1)

    async def run(self) -> dict[str, object]:
        """Run the load and return the results."""
        workers = [self._worker(f"w{i}") for i in range(WORKERS)]
        await run_with_timeout(DURATION_S + 15, self._progress(), *workers)
        return await self._result()

    async def _worker(self, name: str) -> None:
        cluster = self._cluster
        connections = [await cluster.connect(proxy) for proxy in cluster.proxies]
        browse = await cluster.connect(cluster.proxies[0], user="coop.browse")
        n = 0
        await connections[0].execute("INSERT INTO counters VALUES ($1, 0)", name)
        while time.monotonic() < self._end:
            writer, reader = self._random.sample(connections, 2)
            n = await self._write_and_read(writer, reader, name, n)
            await self._browse(browse, name)
            await self._pair(writer, self._ledger.new_op(name))
        for connection in [*connections, browse]:
            await connection.close()

    async def _write_and_read(
        self, writer: asyncpg.Connection, reader: asyncpg.Connection, name: str, n: int
    ) -> int:
        ledger = self._ledger
        op = ledger.new_op(name)
        await ledger.write(op, lambda: insert_op(writer, op, name))
        sql = "UPDATE counters SET n = $2 WHERE id = $1"
        if await ledger.write("", lambda: writer.execute(sql, name, n + 1)):
            n += 1
        # The update adds no row to `writes`, so `check_writes` must not expect one.
        ledger.acknowledged.discard("")
        ledger.reads += 1
        value = await reader.fetchval("SELECT n FROM counters WHERE id = $1", name)
        ledger.stale_reads += value < n
        return n

    async def _browse(self, connection: asyncpg.Connection, name: str) -> None:
        self._ledger.reads += 1
        await connection.fetchval("SELECT n FROM counters WHERE id = $1", name)

    async def _pair(self, connection: asyncpg.Connection, txn: str) -> None:
        try:
            async with connection.transaction():
                for side in (1, 2):
                    await connection.execute(
                        "INSERT INTO pairs VALUES ($1, $2)", txn, side
                    )
        except asyncpg.PostgresError as error:
            self._ledger.failed[error.sqlstate] += 1

    async def _progress(self) -> None:
        while (remaining_s := self._end - time.monotonic()) > 0:
            ledger = self._ledger
            print(
                f"\r{remaining_s:4.1f} s left, {ledger.reads} reads, "
                f"{len(ledger.acknowledged)} writes ",
                end="",
                flush=True,
            )
            await asyncio.sleep(min(0.5, remaining_s))
        print()

    async def _result(self) -> dict[str, object]:
        cluster, ledger = self._cluster, self._ledger
        database = cluster.databases[0]
        shares = await asyncio.gather(*(self._reads(p) for p in cluster.proxies))
        direct = await cluster.connect_direct(database)
        ops, pairs = await final_rows(direct)
        await direct.close()
        found = ledger.check_writes(ops)
        replica = sum(
            share.get("replica_strict", 0) + share.get("replica_bounded", 0)
            for share in shares
        )
        reads = sum(
            share.get("strict", 0) + share.get("bounded", 0) for share in shares
        )
        return {
            "reads": ledger.reads,
            "writes": len(ledger.acknowledged),
            "replica_read_share": round(replica / max(reads, 1), 3),
            "stale_reads": ledger.stale_reads,
            "duplicate_writes": found["duplicates"],
            "lost_acknowledged_writes": found["lost_acknowledged"],
            "mixed_transactions": ledger.check_pairs(pairs),
            "refused": sum(ledger.failed.values()) - len(ledger.unknown),
            "unknown": len(ledger.unknown),
        }

    async def _reads(self, proxy: Proxy) -> dict[str, int]:
        groups = (await self._cluster.status(proxy))["groups"].values()
        return dict(sum((Counter(group["reads"]) for group in groups), Counter()))


async def run() -> None:
    """Run the demonstration."""
    print("starting the stand-ins and three proxies …", flush=True)
    async with Cluster("demo", proxies=3, schema=SCHEMA) as cluster:
        result = await Demo(cluster).run()
    print(format_table(result))
    print_result(result)
