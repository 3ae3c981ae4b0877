"""The home of a database is killed; its successor is paused for 15 s and resumed.

48 closed-loop workers of all ranks on five proxies keep both replicas saturated. A
client that lost its connection, or got no answer for 2 s, switches to another proxy.
`capacity_back_s` is the longest of three times: from the kill, the pause and the
resumption until the answers a second, over the next 2 s, are back at 90% of those
before. The baseline runs at the same time in a second installation, where no proxy is
the home and any two proxies are used. All figures are over both replicas together.
"""

from __future__ import annotations

import asyncio
import signal
import time

from bench.cluster import Cluster, Proxy
from bench.report import format_table, print_result
from bench.service import (
    CALL_TIMEOUT_S,
    Load,
    Phase,
    connections_over_limit,
    home_of,
    peak_connections,
    service_cluster,
    spread,
)

PROXIES = 5
WORKERS = {"urgent": 24, "interactive": 12, "background": 12}
BEFORE_S = 4.0
AFTER_KILL_S = 9.0
PAUSE_S = 15.0
AFTER_RESUME_S = 5.0
WINDOW_S = 2.0
RECOVERED_FRACTION = 0.9


def _recovery_s(phase: Phase, event: float, before: float, limit_s: float) -> float:
    """Return the time from an event to recovered throughput, at most `limit_s`."""
    steps = int((limit_s - WINDOW_S) / 0.1)
    for step in range(steps):
        if (
            phase.rate_in_window(event + step / 10, WINDOW_S)
            >= RECOVERED_FRACTION * before
        ):
            return step / 10
    return limit_s


class _FaultTimes:
    """Instants of the faults, in monotonic seconds."""

    killed = 0.0
    paused = 0.0
    resumed = 0.0


async def _inject_faults(cluster: Cluster, *, baseline: bool) -> _FaultTimes:
    times = _FaultTimes()
    await asyncio.sleep(BEFORE_S)
    first = cluster.proxies[0] if baseline else await home_of(cluster)
    times.killed = time.monotonic()
    await first.process.kill()
    cluster.proxies.remove(first)
    await asyncio.sleep(AFTER_KILL_S)
    second: Proxy = cluster.proxies[0] if baseline else await home_of(cluster)
    times.paused = time.monotonic()
    second.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(PAUSE_S)
    finally:
        second.process.send_signal(signal.SIGCONT)
    times.resumed = time.monotonic()
    await asyncio.sleep(AFTER_RESUME_S)
    return times


async def _measure(*, baseline: bool) -> dict[str, object]:
    cluster = service_cluster("proxy-dies", proxies=PROXIES, baseline=baseline)
    async with cluster, Load(cluster, seed=4, timeout_s=CALL_TIMEOUT_S) as load:
        for rank, count in WORKERS.items():
            load.start_closed(rank, spread(cluster.proxies, count))
        await asyncio.sleep(2.0)
        phase = load.phase
        times = await _inject_faults(cluster, baseline=baseline)
        phase.ended = time.monotonic()
        over_limit, peak = (
            await connections_over_limit(cluster),
            await peak_connections(cluster),
        )
    before = phase.rate_in_window(times.killed - 3.0, 3.0)
    before_pause = phase.rate_in_window(times.paused - 3.0, 3.0)
    back = {
        "kill": _recovery_s(phase, times.killed, before, AFTER_KILL_S),
        "pause": _recovery_s(phase, times.paused, before_pause, PAUSE_S),
        "resume": _recovery_s(phase, times.resumed, before, AFTER_RESUME_S),
    }
    return {
        "over_limit": over_limit,
        "capacity_back_s": max(back.values()),
        "back_s": back,
        "peak_connections": peak,
        "answers_per_s": {
            "before_kill": round(before),
            "before_pause": round(before_pause),
            "while_paused": round(phase.rate_in_window(times.paused + 6, PAUSE_S - 6)),
            "after_resume": round(phase.rate_in_window(times.resumed + 2, 3.0)),
        },
        "errors": dict(phase.errors),
    }


async def run() -> None:
    """Run the scenario."""
    result, baseline = await asyncio.gather(
        _measure(baseline=False), _measure(baseline=True)
    )
    result["baseline"] = baseline
    print(format_table(result))
    print_result(result)
