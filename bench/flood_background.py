"""Service of urgent and interactive work during a flood of background work.

Ten closed-loop workers for each of the 6 slots of the two replicas offer background
work. Urgent work (100 statements a second, a sixth of the capacity) and interactive
work (60 a second) are paced. The same urgent and interactive load without the flood
gives the unloaded p99. All figures are over both replicas together.
"""

from __future__ import annotations

from bench.report import format_table, print_result
from bench.service import (
    REPLICAS,
    SLOTS,
    Load,
    Phase,
    service_cluster,
    spread,
)

PROXIES = 3
BACKGROUND = 10 * SLOTS * REPLICAS
URGENT, INTERACTIVE = 12, 6
URGENT_INTERVAL_S, INTERACTIVE_INTERVAL_S = 0.12, 0.1
UNLOADED_S, FLOODED_S = 8.0, 10.0


def _figures(unloaded: Phase, flooded: Phase) -> dict[str, object]:
    offered = {
        "urgent": URGENT / URGENT_INTERVAL_S,
        "interactive": INTERACTIVE / INTERACTIVE_INTERVAL_S,
        "background": None,
    }
    kept = {
        rank: flooded.relative_share(rank, offered=rate)
        for rank, rate in offered.items()
    }
    before, after = unloaded.p99_ms("urgent"), flooded.p99_ms("urgent")
    return {
        "urgent_p99_ratio": round(after / before, 2),
        "urgent_p99_ms": [before, after],
        "urgent_samples": [len(p.answers["urgent"]) for p in (unloaded, flooded)],
        "urgent_met": flooded.answered_fraction("urgent"),
        "min_share_kept": min(kept.values()),
        "kept": kept,
        "utilization": flooded.utilization(),
        "errors": dict(flooded.errors),
    }


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("flood-background", proxies=PROXIES, baseline=baseline)
    async with cluster, Load(cluster, seed=1) as load:
        load.start_paced("urgent", spread(cluster.proxies, URGENT), URGENT_INTERVAL_S)
        load.start_paced(
            "interactive",
            spread(cluster.proxies, INTERACTIVE),
            INTERACTIVE_INTERVAL_S,
        )
        unloaded = await load.run_phase(UNLOADED_S, warmup_s=2.0)
        load.start_closed("background", spread(cluster.proxies, BACKGROUND))
        flooded = await load.run_phase(FLOODED_S, warmup_s=2.0)
    return _figures(unloaded, flooded)


async def run() -> None:
    """Run the scenario."""
    result = await _measure(baseline=False)
    result["baseline"] = await _measure(baseline=True)
    print(format_table(result))
    print_result(result)
