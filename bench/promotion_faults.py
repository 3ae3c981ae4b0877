"""Faults around promotions, for the soak: they overlap and follow each other."""

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
    PROMOTION_DELAY_S,
    StandinEndpoint,
    StandinPlatform,
)

SMALLEST_GROUP = 3
"""Endpoints that a group keeps when one leaves."""
LARGEST_GROUP = 5


class PromotionFaults:
    """Injects faults around the promotions of the group ``db`` for some time.

    `add_endpoint` makes a new endpoint reachable by the edges before it registers,
    `remove_endpoint` one that has ended unreachable.
    """

    def __init__(
        self,
        platform: StandinPlatform,
        edges: list[EdgeProcess],
        *,
        seed: int,
        counts: Counter[str],
        add_endpoint: Callable[[StandinEndpoint], Awaitable[None]],
        remove_endpoint: Callable[[StandinEndpoint], None],
    ) -> None:
        self._platform = platform
        self._store = platform.store
        self._group = platform.groups["db"]
        self._edges = edges
        self._seed = seed
        self._counts = counts
        self._add_endpoint = add_endpoint
        self._remove_endpoint = remove_endpoint
        self._draining: set[StandinEndpoint] = set()
        self._added = count(len(self._group.endpoints))

    async def run(self, seconds: float) -> None:
        """Start random faults for some seconds, and wait until they have ended."""
        end = time.monotonic() + seconds
        running: list[asyncio.Task[None]] = []
        faults: list[Callable[[Random], Awaitable[None]]] = [
            self._drain_primary,
            self._drain_primary,
            self._delay_promotions,
            self._slow_promotions,
            self._stop_holder,
            self._stop_holder,
            self._ignore_edges,
            self._restart_replica,
            self._cut_replication,
            self._replace_replica,
        ]
        for number in count():
            if time.monotonic() >= end:
                break
            random = Random(f"{self._seed} promotion {number}")
            fault = random.choice(faults)
            self._counts[fault.__name__.lstrip("_")] += 1
            running.append(asyncio.create_task(fault(random)))
            await asyncio.sleep(random.choice([0.05, random.uniform(0.3, 2.0)]))
        await asyncio.gather(*running)
        self._store.late_promotions_s.clear()

    def register_draining(self) -> None:
        """Write the entries of draining endpoints again, after a restore."""
        for endpoint in self._draining:
            if endpoint in self._group.endpoints:
                self._drain(endpoint)

    def _running(self, *, primary: bool) -> list[StandinEndpoint]:
        return [
            endpoint
            for endpoint in self._group.endpoints
            if endpoint.is_primary == primary
            and not endpoint.down
            and endpoint not in self._draining
        ]

    async def _drain_primary(self, random: Random) -> None:
        for endpoint in self._running(primary=True)[:1]:
            self._drain(endpoint)
            await asyncio.sleep(random.uniform(1.0, 5.0))
            await self._restart(endpoint, random)

    async def _restart(self, endpoint: StandinEndpoint, random: Random) -> None:
        """Restart an endpoint that drained, as a new process with the same log."""
        if endpoint.down or endpoint not in self._group.endpoints:
            return
        await endpoint.stop()
        await asyncio.sleep(random.uniform(0.0, 0.5))
        await endpoint.start()
        endpoint.born += 1
        self._draining.discard(endpoint)
        self._register(endpoint)

    def _drain(self, endpoint: StandinEndpoint) -> None:
        self._draining.add(endpoint)
        self._store.register(endpoint, state="draining")

    def _register(self, endpoint: StandinEndpoint) -> None:
        if endpoint in self._group.endpoints:
            self._store.register(endpoint)

    async def _delay_promotions(self, random: Random) -> None:
        calls = random.randint(1, 2)
        self._store.late_promotions_s += [random.uniform(0.3, 8) for _ in range(calls)]
        await asyncio.sleep(random.uniform(1.0, 4.0))

    async def _slow_promotions(self, random: Random) -> None:
        self._group.promotion_delay_s = random.uniform(0.2, 1.0)
        await asyncio.sleep(random.uniform(1.0, 4.0))
        self._group.promotion_delay_s = PROMOTION_DELAY_S

    async def _stop_holder(self, random: Random) -> None:
        """Stop the VM that takes the next claim, at a random moment of its work."""
        holder = await wait_for_holder(self._store, self._group.name)
        await asyncio.sleep(random.choice([0.0, random.uniform(0.0, 0.1)]))
        for edge in self._edges:
            if edge.name == holder and edge.running:
                edge.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(random.uniform(0.5, 9.0))
                if edge.running:
                    edge.process.send_signal(signal.SIGCONT)

    async def _ignore_edges(self, random: Random) -> None:
        """Let an endpoint not hear some of the edges."""
        endpoint = random.choice(self._group.endpoints)
        names = [edge.name for edge in self._edges]
        cut = random.sample(names, random.randint(1, len(names) - 1))
        endpoint.ignores = lambda caller, word: caller in cut
        await asyncio.sleep(random.uniform(0.5, 6.0))
        endpoint.ignores = lambda caller, word: False

    async def _restart_replica(self, random: Random) -> None:
        replicas = self._running(primary=False)
        if len(replicas) < 2:
            return
        endpoint = random.choice(replicas)
        await endpoint.stop()
        await asyncio.sleep(random.uniform(0.0, 0.5))
        if endpoint in self._group.endpoints:
            await endpoint.start()

    async def _cut_replication(self, random: Random) -> None:
        endpoint = random.choice(self._group.endpoints)
        endpoint.replication_cut = True
        await asyncio.sleep(random.uniform(0.5, 6.0))
        endpoint.replication_cut = False

    async def _replace_replica(self, random: Random) -> None:
        """Start a replica that registers late, then drain another of its zone."""
        replicas = self._running(primary=False)
        if (
            not replicas
            or not self._running(primary=True)
            or len(self._group.endpoints) >= LARGEST_GROUP
        ):
            return
        leaving = random.choice(replicas)
        added = await self._group.add(f"i-db{next(self._added)}", leaving.zone)
        await self._add_endpoint(added)
        await asyncio.sleep(random.choice([0.0, random.uniform(0.0, 5.0)]))
        self._register(added)
        if leaving not in self._running(primary=False):
            return
        self._drain(leaving)
        await asyncio.sleep(random.uniform(1.0, 3.0))
        if not self._may_leave(leaving):
            await self._restart(leaving, random)
            return
        await self._group.remove(leaving)
        self._remove_endpoint(leaving)
        await asyncio.sleep(random.uniform(0.2, 1.0))
        self._store.put(f"servers/{leaving.id}", None)

    def _may_leave(self, endpoint: StandinEndpoint) -> bool:
        """Whether the group can do without a replica and its log."""
        others = [other for other in self._group.endpoints if other is not endpoint]
        return (
            endpoint in self._group.endpoints
            and not endpoint.is_primary
            and not endpoint.down
            and len(others) >= SMALLEST_GROUP
            and max(other.received_position for other in others)
            >= endpoint.received_position
        )
