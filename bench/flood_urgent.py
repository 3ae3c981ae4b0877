"""Service of interactive and background work during a flood of urgent work.

Five closed-loop workers for each of the 6 slots of the two replicas offer urgent work,
and two for each slot interactive and background work, so that both always have work
waiting. All figures are over both replicas together; `utilization` is the fraction of
the slots' time in which statements held them, as the endpoints measure it.

`refused_without_signature` counts statements that failed, except those that waited
until their deadline.
"""

from __future__ import annotations

from bench.report import format_table, print_result
from bench.service import (
    DEADLINE_SQLSTATE,
    REPLICAS,
    SLOTS,
    Load,
    service_cluster,
    spread,
)

PROXIES = 3
URGENT = 5 * SLOTS * REPLICAS
OTHERS = 2 * SLOTS * REPLICAS
WARMUP_S = 9.0
LOADED_S = 10.0


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("flood-urgent", proxies=PROXIES, baseline=baseline)
    async with cluster, Load(cluster, seed=2) as load:
        load.start_closed("urgent", spread(cluster.proxies, URGENT))
        load.start_closed("interactive", spread(cluster.proxies, OTHERS))
        load.start_closed("background", spread(cluster.proxies, OTHERS))
        phase = await load.run_phase(LOADED_S, warmup_s=WARMUP_S)
    kept = {rank: phase.relative_share(rank) for rank in ("interactive", "background")}
    refused = sum(n for error, n in phase.errors.items() if error != DEADLINE_SQLSTATE)
    return {
        "min_share_kept": min(kept.values()),
        "kept": kept,
        "utilization": phase.utilization(),
        "refused_without_signature": refused,
        "shares": {rank: phase.slot_share(rank) for rank in phase.answers},
        "statements_by_endpoint": phase.statements_by_endpoint(),
        "urgent_met": phase.answered_fraction("urgent"),
        "urgent_p99_ms": phase.p99_ms("urgent"),
        "errors": dict(phase.errors),
    }


async def run() -> None:
    """Run the scenario."""
    result = await _measure(baseline=False)
    result["baseline"] = await _measure(baseline=True)
    print(format_table(result))
    print_result(result)
