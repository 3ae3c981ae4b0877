"""Five rounds of failover from a primary that is cut off but alive.

In each round the primary is cut off from the other endpoints and an operator promotes
another one, while writers go on through every proxy. The gap is the time from the end
of the promotion call, when a majority has recorded the new term, until the first
acknowledged write through each proxy. The old primary stays reachable for the proxies,
so that only the acknowledgement rules prevent the loss of acknowledged commits.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from functools import partial

import asyncpg

from bench.cluster import Cluster, Proxy, contract
from bench.ledger import SCHEMA, Ledger, final_rows, insert_op, run_with_timeout
from bench.report import format_table, percentile_ms, print_result

ROUNDS = 5
PROXIES = 3
WRITERS = 6
CUT_S = 1.0
SETTLE_S = 2.0
WARMUP_S = 1.0
RUN_TIMEOUT_S = 55.0


class Failover:
    """Writers, promotions and their observations."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._database = cluster.databases[0]
        self._ledgers = {name: Ledger() for name in ("coop", "fast")}
        self._ack_instants: dict[str, list[float]] = {
            p.name: [] for p in cluster.proxies
        }
        self._ack_times: dict[str, float] = {}
        self._running = True
        self._gaps: list[float] = []
        self._in_flight = 0
        self._unknown_in_flight = 0
        self._promoted_at: list[float] = []

    async def run(self) -> dict[str, object]:
        """Run the rounds and return the results."""
        writers = [
            self._writer(f"{customer}{i}", customer, self._cluster.proxies[i % PROXIES])
            for customer in self._ledgers
            for i in range(WRITERS)
        ]
        await run_with_timeout(RUN_TIMEOUT_S, self._rounds(), *writers)
        return await self._result()

    async def _writer(self, name: str, customer: str, proxy: Proxy) -> None:
        ledger = self._ledgers[customer]
        connection = await self._cluster.connect(proxy, user=f"{customer}.lock")
        while self._running:
            op = ledger.new_op(name)
            if await ledger.write(op, partial(insert_op, connection, op, name)):
                now = time.monotonic()
                self._ack_instants[proxy.name].append(now)
                self._ack_times[op] = now
            await asyncio.sleep(0.01)
        await connection.close()

    async def _rounds(self) -> None:
        await asyncio.sleep(WARMUP_S)
        for _ in range(ROUNDS):
            await self._run_round()
        self._running = False

    async def _run_round(self) -> None:
        cluster, database = self._cluster, self._database
        old = await cluster.primary(database)
        await cluster.control(database, "cut", endpoint=old)
        await asyncio.sleep(CUT_S)
        await cluster.control(database, "promote")
        promoted = time.monotonic()
        self._promoted_at.append(promoted)
        await asyncio.sleep(SETTLE_S)
        for acks in self._ack_instants.values():
            later = [at for at in acks if at >= promoted]
            gap = later[0] - promoted if later else SETTLE_S
            self._gaps.append(gap)
        print(f"gaps so far, ms: {[round(g * 1000) for g in self._gaps]}", flush=True)
        await cluster.control(database, "heal", endpoint=old)
        await asyncio.sleep(0.5)

    async def _result(self) -> dict[str, object]:
        cluster, database = self._cluster, self._database
        primary = await cluster.primary(database)
        index = int(primary.rsplit("-", 1)[1]) - 1
        direct = await cluster.connect_direct(database, index)
        ops, _ = await final_rows(direct)
        await direct.close()
        strict = self._ledgers["coop"].check_writes(ops)
        fast = self._ledgers["fast"].check_writes(ops)
        total = sum(len(ledger.acknowledged) for ledger in self._ledgers.values())
        unknown = sum(len(ledger.unknown) for ledger in self._ledgers.values())
        failed = self._ledgers["coop"].failed + self._ledgers["fast"].failed
        latencies = self._ledgers["coop"].latencies.get("write", [])
        proven_latencies = self._ledgers["fast"].latencies.get("write", [])
        return {
            "lost_acknowledged": strict["lost_acknowledged"],
            "duplicates": strict["duplicates"] + fast["duplicates"],
            "false_not_run": strict["false_not_run"] + fast["false_not_run"],
            "gap_ms": round(statistics.median(self._gaps) * 1000),
            "gap_max_ms": round(max(self._gaps) * 1000),
            "acknowledged": total,
            "unknown_share": round(unknown / max(total + unknown, 1), 4),
            "errors": dict(failed),
            "write_ms_p50": percentile_ms(latencies, 50),
            "proven_only": {
                "lost_acknowledged": fast["lost_acknowledged"],
                "acknowledged_after_replacement": self._count_late_acks(ops),
                "write_ms_p50": percentile_ms(proven_latencies, 50),
            },
        }

    def _count_late_acks(self, ops: list[str]) -> int:
        """Count lost writes acknowledged after the promotion that dropped them.

        Only writes acknowledged within `SETTLE_S` after a promotion count: one that was
        acknowledged more than a deadline before the next promotion cannot have been
        dropped by an earlier one.
        """
        found = set(ops)
        lost = [op for op in self._ledgers["fast"].acknowledged if op not in found]
        return sum(
            1
            for op in lost
            if any(
                0 <= self._ack_times[op] - at <= SETTLE_S for at in self._promoted_at
            )
        )


async def run() -> None:
    """Run the scenario."""
    databases = ["db1"]
    contracts = [
        contract("coop", databases),
        contract(
            "fast",
            databases,
            acknowledgement="proven",
            shares={"urgent": 0.05, "interactive": 0.03, "background": 0.01},
        ),
    ]
    async with Cluster(
        "failover", proxies=PROXIES, schema=SCHEMA, contracts=contracts
    ) as cluster:
        try:
            result = await Failover(cluster).run()
        except asyncpg.PostgresError as error:
            raise SystemExit(f"failover scenario failed: {error}") from error
    print(format_table(result))
    print_result(result)
