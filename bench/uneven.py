"""Compares load that enters mostly through one of five proxies with even load.

Forty closed-loop workers of all ranks keep both replicas saturated. In the even phase
each proxy has a fifth of each rank's workers, in the uneven phase one proxy has 80%.
The proxy with most of the load is not the home of the database. All figures are over
both replicas together.
"""

from __future__ import annotations

from bench.cluster import Cluster, Proxy
from bench.report import format_table, print_result
from bench.service import (
    SHARES,
    Load,
    Phase,
    connections_over_limit,
    home_of,
    peak_connections,
    service_cluster,
    spread,
)

PROXIES = 5
WORKERS = {"urgent": 20, "interactive": 10, "background": 10}
PHASE_S = 7.0
BUSY_FRACTION = 0.8


async def _phase(cluster: Cluster, entries: dict[str, list[Proxy]]) -> Phase:
    async with Load(cluster, seed=3) as load:
        for rank, proxies in entries.items():
            load.start_closed(rank, proxies)
        return await load.run_phase(PHASE_S, warmup_s=2.0)


def _distribute_unevenly(cluster: Cluster, busy: Proxy, count: int) -> list[Proxy]:
    others = [proxy for proxy in cluster.proxies if proxy is not busy]
    main = round(count * BUSY_FRACTION)
    return [busy] * main + spread(others, count - main)


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("uneven", proxies=PROXIES, baseline=baseline)
    async with cluster:
        even = {r: spread(cluster.proxies, n) for r, n in WORKERS.items()}
        first = await _phase(cluster, even)
        home = None if baseline else await home_of(cluster)
        busy = next(p for p in cluster.proxies if p is not home)
        uneven = {r: _distribute_unevenly(cluster, busy, n) for r, n in WORKERS.items()}
        second = await _phase(cluster, uneven)
        over_limit, peak = (
            await connections_over_limit(cluster),
            await peak_connections(cluster),
        )
    ratios = {rank: round(second.rate(rank) / first.rate(rank), 3) for rank in SHARES}
    return {
        "throughput_ratio": round(second.rate() / first.rate(), 3),
        "min_share_ratio": min(ratios.values()),
        "share_ratios": ratios,
        "over_limit": over_limit,
        "peak_connections": peak,
        "kept_uneven": {rank: second.relative_share(rank) for rank in SHARES},
        "utilization": [first.utilization(), second.utilization()],
        "errors": dict(first.errors + second.errors),
    }


async def run() -> None:
    """Run the scenario."""
    result = await _measure(baseline=False)
    result["baseline"] = await _measure(baseline=True)
    print(format_table(result))
    print_result(result)
