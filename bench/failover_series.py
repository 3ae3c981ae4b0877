"""Failovers in series, in several groups at once, for the soak."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random

from bench.claims import wait_for_holder
from bench.platform_cluster import EdgeProcess
from celeryjunction.platform.standin import (
    StandinEndpoint,
    StandinGroup,
    StandinPlatform,
)

GROUPS = ("db", "orders", "stock")
POLL_S = 0.01
DISTURBED_SHARE = 0.25
"""Share of the failovers whose holder is killed or stopped."""
LONGEST_PAUSE_S = 0.5
"""Longest time between two failovers of a group."""
SHORTEST_OUTAGE_S = 1.0
LONGEST_OUTAGE_S = 6.0
"""A lost primary comes back after a time between these if it was not replaced; links
that fail need a longer one."""


class FailoverSeries:
    """Replaces the primaries of all groups again and again for some time.

    A group's primary crashes or drains and comes back once it was replaced. The VM that
    claims the replacement may be killed or stopped meanwhile; `restart_edge` kills and
    starts an edge.
    """

    def __init__(
        self,
        platform: StandinPlatform,
        edges: list[EdgeProcess],
        *,
        seed: int,
        counts: Counter[str],
        restart_edge: Callable[[EdgeProcess, Random], Awaitable[None]],
        longest_outage_s: float = LONGEST_OUTAGE_S,
    ) -> None:
        self._platform = platform
        self._edges = edges
        self._seed = seed
        self._counts = counts
        self._restart_edge = restart_edge
        self._longest_outage_s = longest_outage_s
        self._draining: set[StandinEndpoint] = set()

    async def run(self, seconds: float) -> None:
        """Start failovers for some seconds and wait until the last have ended."""
        end = time.monotonic() + seconds
        groups = self._platform.groups.values()
        await asyncio.gather(*(self._replace_primaries(group, end) for group in groups))

    def register_draining(self) -> None:
        """Write the entries of draining endpoints again, after a restore."""
        for endpoint in self._draining:
            self._platform.store.register(endpoint, state="draining")

    async def _replace_primaries(self, group: StandinGroup, end: float) -> None:
        random = Random(f"{self._seed} series {group.name}")
        running: list[asyncio.Task[None]] = []
        for number in count():
            if time.monotonic() >= end:
                break
            fault = random.choice(
                [self._crash_primary, self._crash_primary, self._drain_primary]
            )
            task = self._disturb_holder(
                group, Random(f"{self._seed} holder {group.name} {number}")
            )
            running.append(asyncio.create_task(task))
            self._counts[fault.__name__.lstrip("_")] += 1
            await fault(await self._wait_for_primary(group), random)
            await asyncio.sleep(random.uniform(0.0, LONGEST_PAUSE_S))
        await asyncio.gather(*running)

    async def _crash_primary(self, primary: StandinEndpoint, random: Random) -> None:
        await primary.stop()
        await self._wait_for_promotion(primary, random)
        await primary.start()

    async def _drain_primary(self, primary: StandinEndpoint, random: Random) -> None:
        self._draining.add(primary)
        self._platform.store.register(primary, state="draining")
        await self._wait_for_promotion(primary, random)
        await primary.stop()
        await asyncio.sleep(random.uniform(0.0, 0.3))
        await primary.start()
        primary.born += 1
        self._draining.discard(primary)
        self._platform.store.register(primary)

    async def _wait_for_primary(self, group: StandinGroup) -> StandinEndpoint:
        """Wait for a primary, which a group lacks while one is demoted."""
        while not (found := [e for e in group.endpoints if e.is_primary]):
            await asyncio.sleep(POLL_S)
        return max(found, key=lambda endpoint: endpoint.term)

    async def _wait_for_promotion(
        self, primary: StandinEndpoint, random: Random
    ) -> None:
        limit_s = random.uniform(SHORTEST_OUTAGE_S, self._longest_outage_s)
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline and all(
            endpoint.term <= primary.term for endpoint in primary.group.endpoints
        ):
            await asyncio.sleep(POLL_S)

    async def _disturb_holder(self, group: StandinGroup, random: Random) -> None:
        """Sometimes kill or stop the VM that takes the next claim."""
        if random.random() > DISTURBED_SHARE:
            return
        fault = random.choice([self._stop_holder, self._kill_holder])
        holder = await wait_for_holder(self._platform.store, group.name)
        await asyncio.sleep(random.choice([0.0, random.uniform(0.0, 0.2)]))
        for edge in self._edges:
            if edge.name == holder and edge.running:
                self._counts[fault.__name__.lstrip("_")] += 1
                await fault(edge, random)

    async def _stop_holder(self, edge: EdgeProcess, random: Random) -> None:
        edge.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(random.uniform(0.5, 9.0))
        if edge.running:
            edge.process.send_signal(signal.SIGCONT)

    async def _kill_holder(self, edge: EdgeProcess, random: Random) -> None:
        await self._restart_edge(edge, random)
