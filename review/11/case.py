"""Case 11: a leaving replica proves commits that the next primary lacks."""

from __future__ import annotations

import asyncio
from pathlib import Path

from harness3.edges import BROKEN, HELD, NOT_RUN, Edge, Record, run_case
from harness3.writers import Judge, Writer, crash

from celeryjunction.platform.standin import StandinEndpoint, StandinPlatform

GROUPS = ("db", "orders")
CUT_EDGE = "edge-1"
WRITERS = 6
PAUSE_S = 0.03
CALM_S = 6.0
"""Before the planned work, so that all machines have proven their primaries."""
STORE_SILENT_S = 9.6
"""`platform_down` (nodes) lasts up to 9.9 s in the site files."""
DRAIN_AFTER_S = 0.3
"""From the begin of that silence until the replica reports that it drains."""
DEAF_AFTER_S = 5.8
"""From that report until another replica receives nothing."""
DEAF_S = 6.5
"""`replica_lag` (deaf crash) lasts up to 6.5 s in the site files."""
DRAIN_S = 7.6
"""From the report to the end of the replica: `drain_ms` (7 s) and a little longer."""
CRASH_BEFORE_END_S = 0.1
"""The primary crashes this long before the draining replica ends."""
WATCHED_S = 14.0


async def leave(
    platform: StandinPlatform, endpoint: StandinEndpoint, record: Record
) -> None:
    """Drain a replica as planned, and end it."""
    platform.store.register(endpoint, state="draining")
    record.write(f"{endpoint.id} reports that it drains")
    await asyncio.sleep(DRAIN_S)
    await endpoint.group.remove(endpoint)
    platform.store.put(f"servers/{endpoint.id}", None)
    record.write(f"{endpoint.id} has ended")


async def play(
    platform: StandinPlatform, edges: list[Edge], record: Record, trouble: bool
) -> int:
    """Have a replica leave, beside the disruption, and judge the promotions."""
    group = platform.groups["db"]
    primary, leaving, other = group.endpoints
    writers = [Writer(edges[0], n, record, pause_s=PAUSE_S) for n in range(WRITERS)]
    judge = Judge(writers, record)
    group.on_promotion = judge.promoted
    tasks = [asyncio.create_task(writer.run()) for writer in writers]
    await asyncio.sleep(CALM_S)
    proxy = edges[0].store_proxy
    if trouble:
        record.say(f"the store turns {CUT_EDGE} away for {STORE_SILENT_S} s")
        proxy.silence_for(STORE_SILENT_S)
    await asyncio.sleep(DRAIN_AFTER_S)
    began = record.now_s
    tasks.append(asyncio.create_task(leave(platform, leaving, record)))
    await asyncio.sleep(DEAF_AFTER_S)
    if trouble:
        record.say(f"{other.id} receives nothing for {DEAF_S} s")
        other.replication_cut = True
        loop = asyncio.get_running_loop()
        loop.call_later(DEAF_S, setattr, other, "replication_cut", False)
    crash_at = began + DRAIN_S - CRASH_BEFORE_END_S
    await asyncio.sleep(crash_at - record.now_s)
    if trouble:
        record.say(f"{primary.id} crashes as {leaving.id} is about to end")
        tasks.append(asyncio.create_task(crash(platform, primary, record)))
    await asyncio.sleep(WATCHED_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    acknowledged = sum(len(writer.acknowledged) for writer in writers)
    record.say(
        f"{acknowledged} writes acknowledged, {judge.promotions} promotions, "
        f"{len(judge.lost)} acknowledged writes lost"
    )
    if not acknowledged:
        return NOT_RUN
    return BROKEN if judge.lost else HELD


if __name__ == "__main__":
    run_case(
        Path(__file__).resolve().parent,
        play,
        edges=4,
        groups=GROUPS,
        behind_proxy=(CUT_EDGE,),
    )
