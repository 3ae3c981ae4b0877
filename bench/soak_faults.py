"""Random faults of endpoints, the store and the edges, for the soak."""

from __future__ import annotations

import asyncio
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Mapping, Sequence
from itertools import count
from random import Random
from typing import Protocol

from bench.fault_proxy import FaultProxy
from bench.platform_cluster import EdgeProcess
from celeryjunction.platform.standin import StandinEndpoint, StandinPlatform

GRACE_S = 6.0
"""Time from SIGTERM to the end of an edge; it aborts idle transactions after half."""


class RestartEdge(Protocol):
    """Ends an edge by a signal and starts it after a pause, unless it restarts."""

    async def __call__(
        self, edge: EdgeProcess, signum: signal.Signals, *, pause_s: float
    ) -> None:
        """Restart the edge."""


class SoakFaults:
    """Injects random faults of the group ``db``, its store and the edges.

    `proxies` holds the proxies of the endpoints, by their id, and of the store.
    """

    def __init__(
        self,
        platform: StandinPlatform,
        edges: list[EdgeProcess],
        proxies: Mapping[str, FaultProxy],
        *,
        seed: int,
        counts: Counter[str],
        restart_edge: RestartEdge,
        transactions: bool = False,
        failovers: bool = False,
    ) -> None:
        self._platform = platform
        self._edges = edges
        self._proxies = proxies
        self._seed = seed
        self._counts = counts
        self._restart = restart_edge
        self._faults = self._choose(transactions=transactions, failovers=failovers)

    def _choose(
        self, *, transactions: bool, failovers: bool
    ) -> list[Callable[[Random, float], Awaitable[None]]]:
        if failovers:
            return [
                self._pause_edge,
                self._restart_edge,
                self._hup_edge,
                self._change_config,
                self._reset_endpoint,
                self._delay_endpoint,
                self._lose_answers,
            ]
        if transactions:
            return [
                self._refuse_statements,
                self._stop_edges_in_burst,
                self._stop_edges_in_burst,
                self._restart_edge,
                self._pause_edge,
                self._reset_endpoint,
                self._delay_endpoint,
                self._hup_edge,
            ]
        return [
            self._block_endpoint,
            self._reset_endpoint,
            self._delay_endpoint,
            self._crash_primary,
            self._deafen_replica,
            self._block_store,
            self._refuse_store,
            self._lose_answers,
            self._pause_edge,
            self._restart_edge,
            self._change_config,
            self._hup_edge,
        ]

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds, one after another; they may overlap."""
        end = time.monotonic() + seconds
        running: list[asyncio.Task[None]] = []
        for number in count():
            if time.monotonic() >= end:
                break
            # A generator per fault makes a seed's sequence of faults reproducible.
            random = Random(f"{self._seed} {number}")
            fault = random.choice(self._faults)
            self._counts[fault.__name__.lstrip("_")] += 1
            fault_s = random.uniform(0.2, 2.5)
            pause = random.uniform(0.1, 1.2)
            running.append(asyncio.create_task(fault(random, fault_s)))
            await asyncio.sleep(pause)
        await asyncio.gather(*running)

    @property
    def _endpoints(self) -> list[StandinEndpoint]:
        return self._platform.groups["db"].endpoints

    def _random_endpoint(self, random: Random) -> StandinEndpoint:
        return random.choice(self._endpoints)

    async def _block_endpoint(self, random: Random, seconds: float) -> None:
        proxy = self._proxies[self._random_endpoint(random).id]
        proxy.block(*random.choice([("up",), ("down",), ("up", "down")]))
        await asyncio.sleep(seconds)
        proxy.unblock()

    async def _reset_endpoint(self, random: Random, seconds: float) -> None:
        self._proxies[self._random_endpoint(random).id].reset()

    async def _delay_endpoint(self, random: Random, seconds: float) -> None:
        proxy = self._proxies[self._random_endpoint(random).id]
        proxy.delay_s = random.uniform(0.005, 0.1)
        await asyncio.sleep(seconds)
        proxy.delay_s = 0.0

    async def _crash_primary(self, random: Random, seconds: float) -> None:
        primaries = [e for e in self._endpoints if e.is_primary and not e.down]
        if not primaries or any(e.down for e in self._endpoints):
            return
        await primaries[0].stop()
        await asyncio.sleep(seconds)
        await primaries[0].start()

    async def _refuse_statements(self, random: Random, seconds: float) -> None:
        share = random.uniform(0.2, 0.8)
        for endpoint in self._endpoints:
            endpoint.is_too_busy = lambda: random.random() < share
        await asyncio.sleep(seconds)
        for endpoint in self._endpoints:
            endpoint.is_too_busy = lambda: False

    async def _deafen_replica(self, random: Random, seconds: float) -> None:
        endpoint = self._random_endpoint(random)
        endpoint.replication_cut = True
        await asyncio.sleep(seconds)
        endpoint.replication_cut = False

    async def _block_store(self, random: Random, seconds: float) -> None:
        self._proxies["store"].block("up", "down")
        await asyncio.sleep(seconds)
        self._proxies["store"].unblock()

    async def _refuse_store(self, random: Random, seconds: float) -> None:
        self._platform.store.error_status = random.choice([429, 503])
        await asyncio.sleep(seconds)
        self._platform.store.error_status = 0

    async def _lose_answers(self, random: Random, seconds: float) -> None:
        self._platform.store.responses_to_drop = random.randint(1, 5)

    async def _pause_edge(self, random: Random, seconds: float) -> None:
        edge = random.choice(self._edges)
        if edge.running:
            edge.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            if edge.running:
                edge.process.send_signal(signal.SIGCONT)

    async def _stop_edges_in_burst(self, random: Random, seconds: float) -> None:
        """Stop edges; refuse statements while they roll open transactions back."""
        await asyncio.gather(
            self._restart_edge(random, seconds, signals=[signal.SIGTERM]),
            self._restart_edge(random, seconds, signals=[signal.SIGTERM]),
            self._refuse_late_in_drain(random, seconds),
        )

    async def _refuse_late_in_drain(self, random: Random, seconds: float) -> None:
        await asyncio.sleep(GRACE_S / 2 - random.uniform(0.1, 0.5))
        await self._refuse_statements(random, seconds)

    async def _restart_edge(
        self,
        random: Random,
        seconds: float,
        *,
        signals: Sequence[signal.Signals] = (signal.SIGTERM, signal.SIGKILL),
    ) -> None:
        edge = random.choice(self._edges)
        if not edge.restarting:
            await self._restart(edge, random.choice(signals), pause_s=seconds / 4)

    async def _change_config(self, random: Random, seconds: float) -> None:
        self._platform.configure()

    async def _hup_edge(self, random: Random, seconds: float) -> None:
        # Until the edge's first line of output, SIGHUP would end the interpreter.
        edge = random.choice(self._edges)
        if edge.running and edge.has_output:
            edge.process.send_signal(signal.SIGHUP)
