"""One of the two replicas answers 20 times slower, then recovers.

Interactive strict reads are paced at 180 a second, 30% of what both replicas can run
and 60% of one. `p99_ratio` is the p99 from 3 s after the slowdown until the recovery,
against the p99 before. `back_in_use_s` is the time from the recovery until the replica
served, within one second, at least half of its rate before the slowdown.
"""

from __future__ import annotations

import asyncio
import time

from bench.cluster import Cluster
from bench.report import format_table, percentile_ms, print_result
from bench.service import Load, service_cluster, spread

PROXIES = 3
WORKERS = 36
INTERVAL_S = 0.2
SLOWDOWN_FACTOR = 20
NORMAL_S, SLOW_S, RECOVERY_TIMEOUT_S = 4.0, 9.0, 16.0
BASELINE_SLOW_S = 6.0
ADAPTATION_S = 3.0
RANK = "interactive"


async def _wait_until_in_use(load: Load, replica: str, normal: float) -> float:
    """Wait until the replica serves half of its normal rate; return the seconds."""
    recovered_at = time.monotonic()
    samples: list[tuple[float, int]] = []
    while (now := time.monotonic()) < recovered_at + RECOVERY_TIMEOUT_S:
        samples.append((now, (await load.statements_run())[replica]))
        earlier = [run for at, run in samples if at <= now - 1.0]
        if earlier and samples[-1][1] - earlier[-1] >= normal / 2:
            return round(now - recovered_at, 2)
        await asyncio.sleep(0.1)
    return RECOVERY_TIMEOUT_S


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("brownout", proxies=PROXIES, baseline=baseline)
    async with cluster, Load(cluster, seed=5) as load:
        load.start_paced(RANK, spread(cluster.proxies, WORKERS), INTERVAL_S)
        normal = await load.run_phase(NORMAL_S, warmup_s=2.0)
        replica = await _get_replica(cluster)
        normal_count = (
            normal.statements_after[replica] - normal.statements_before[replica]
        )
        normal_rate = normal_count / normal.seconds
        await cluster.control("db1", "slow", endpoint=replica, factor=SLOWDOWN_FACTOR)
        slowed_at = time.monotonic()
        length = BASELINE_SLOW_S if baseline else SLOW_S
        slow = await load.run_phase(length, warmup_s=0.0)
        await cluster.control("db1", "slow", endpoint=replica, factor=1)
        in_use_s = await _wait_until_in_use(load, replica, normal_rate)
    before = normal.p99_ms(RANK)
    after = slow.p99_ms(RANK, since=slowed_at + ADAPTATION_S)
    first = [t for at, t in slow.answers[RANK] if at < slowed_at + ADAPTATION_S]
    return {
        "p99_ratio": round(after / before, 2),
        "back_in_use_s": in_use_s,
        "p99_ms": [before, after],
        "first_3_s_p99_ms": percentile_ms(first, 99),
        "samples": [len(p.answers[RANK]) for p in (normal, slow)],
        "normal_rate_of_replica": round(normal_rate),
        "errors": dict(normal.errors + slow.errors),
    }


async def _get_replica(cluster: Cluster) -> str:
    state = await cluster.group_state("db1")
    return next(name for name, one in state.items() if one["role"] == "replica")


async def run() -> None:
    """Run the scenario."""
    result = await _measure(baseline=False)
    result["baseline"] = await _measure(baseline=True)
    print(format_table(result))
    print_result(result)
