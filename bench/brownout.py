"""One of the two replicas answers 20 times slower, then recovers.

Interactive strict reads are paced at 180 a second, 30% of what both replicas can run
and 60% of one. `p99_ratio` is the p99 from 3 s after the slowdown until the recovery,
against that before. `back_in_use_s` is the time from the recovery until the replica
served, in one second, at least half as many statements as in a second before.
"""

from __future__ import annotations

import asyncio
import time

from bench.cluster import Cluster
from bench.report import finish, percentile_ms, table
from bench.service import Load, service_cluster, spread

PROXIES = 3
WORKERS = 36
INTERVAL_S = 0.2
SLOWER = 20
NORMAL_S, BROWN_S, BACK_LIMIT_S = 4.0, 9.0, 16.0
BASELINE_BROWN_S = 6.0
AFTER_S = 3.0
RANK = "interactive"


async def _back_in_use_s(load: Load, replica: str, normal: float) -> float:
    """Wait until the replica serves half of its normal rate; return how long."""
    recovered = time.monotonic()
    seen: list[tuple[float, int]] = []
    while (now := time.monotonic()) < recovered + BACK_LIMIT_S:
        seen.append((now, (await load.statements_run())[replica]))
        earlier = [run for at, run in seen if at <= now - 1.0]
        if earlier and seen[-1][1] - earlier[-1] >= normal / 2:
            return round(now - recovered, 2)
        await asyncio.sleep(0.1)
    return BACK_LIMIT_S


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("brownout", proxies=PROXIES, baseline=baseline)
    async with cluster, Load(cluster, seed=5) as load:
        load.start_paced(RANK, spread(cluster.proxies, WORKERS), INTERVAL_S)
        normal = await load.run_phase(NORMAL_S, warmup_s=2.0)
        replica = await _a_replica(cluster)
        usual = normal.statements_after[replica] - normal.statements_before[replica]
        usual_rate = usual / normal.seconds
        await cluster.control("db1", "slow", endpoint=replica, factor=SLOWER)
        slowed = time.monotonic()
        length = BASELINE_BROWN_S if baseline else BROWN_S
        brown = await load.run_phase(length, warmup_s=0.0)
        await cluster.control("db1", "slow", endpoint=replica, factor=1)
        back = await _back_in_use_s(load, replica, usual_rate)
    before = normal.p99_ms(RANK)
    after = brown.p99_ms(RANK, since=slowed + AFTER_S)
    first = [t for at, t in brown.answers[RANK] if at < slowed + AFTER_S]
    return {
        "p99_ratio": round(after / before, 2),
        "back_in_use_s": back,
        "p99_ms": [before, after],
        "first_3_s_p99_ms": percentile_ms(first, 99),
        "samples": [len(p.answers[RANK]) for p in (normal, brown)],
        "normal_rate_of_replica": round(usual_rate),
        "errors": dict(normal.errors + brown.errors),
    }


async def _a_replica(cluster: Cluster) -> str:
    state = await cluster.group_state("db1")
    return next(name for name, one in state.items() if one["role"] == "replica")


async def run() -> None:
    """Run the scenario."""
    result = await _measure(baseline=False)
    result["baseline"] = await _measure(baseline=True)
    print(table(result))
    finish(result)
