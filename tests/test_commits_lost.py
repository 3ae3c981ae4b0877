"""Promotions must keep every commit that a client saw acknowledged.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest

from bench.commit_judge import CommitJudge
from bench.platform_cluster import EdgeProcess, LineClient
from bench.soak import FaultProxy
from celeryjunction.platform.standin import StandinEndpoint, StandinPlatform

POLL_S = 0.01
STEP_LIMIT_S = 12.0
"""Limit of each step that a test waits for."""
FENCED_LIMIT_S = 8.0
"""Time for a promotion that may rightly not happen."""
EFFECT_DELAY_S = 1.0
"""Delay of a promotion's effect on the slowest site."""
PATH_DELAY_S = 0.05
"""Delay of a message to a distant endpoint."""
WRITES = 20
THINK_S = 0.01
REPORTED = 3
"""Number of lost commits that a failure describes."""


class Cluster:
    """Edges, clients and the judge of one test, in front of one group."""

    def __init__(self, folder: Path, zones: int = 3) -> None:
        self.platform = StandinPlatform(zones=zones)
        self.group = self.platform.groups["db"]
        self.store = self.platform.store
        self.judge = CommitJudge(self.platform)
        self._folder = folder
        self.edges: list[EdgeProcess] = []
        self.proxies: list[FaultProxy] = []
        self._clients: list[LineClient] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def term(self) -> int:
        """Highest term of the group's endpoints."""
        return max(endpoint.term for endpoint in self.group.endpoints)

    async def start_edge(self, *, stop_before: str = "", zone: int = 0) -> EdgeProcess:
        """Start an edge; it may stop itself before a command (edge_stopped_before)."""
        name = f"edge-{len(self.edges) + 1}"
        edge = EdgeProcess(self.platform, self._folder, name)
        if stop_before:
            edge.program = "tests/edge_stopped_before.py"
            edge.environment["CELERYJUNCTION_STOP_BEFORE"] = stop_before
        self.edges.append(edge)
        await edge.start(zone=zone)
        return edge

    async def start_isolated_edge(self) -> tuple[EdgeProcess, FaultProxy]:
        """Start an edge that reaches the store through a proxy of its own."""
        port = int(self.store.address.rpartition(":")[2])
        proxy = FaultProxy(lambda: port)
        await proxy.start()
        self.proxies.append(proxy)
        self.platform.store_address = f"127.0.0.1:{proxy.port}"
        edge = await self.start_edge(zone=1)
        self.platform.store_address = ""
        await edge.wait_until_ready()
        return edge, proxy

    async def connect(self, edge: EdgeProcess) -> LineClient:
        """Open a session for reads and writes at the primary."""
        client = LineClient(edge.front_port)
        self._clients.append(client)
        assert await client.open("lock-db") == "READY I -"
        return client

    def write_through(self, edge: EdgeProcess, *, clients: int = 2) -> None:
        """Keep writing items through an edge and record what is acknowledged."""
        for _ in range(clients):
            number = len(self._tasks)
            self._tasks.append(asyncio.create_task(self._write(edge, number)))

    async def _write(self, edge: EdgeProcess, number: int) -> None:
        for count in range(100_000):
            client = LineClient(edge.front_port)
            try:
                await client.open("lock-db")
                await self._write_in_session(client, f"w{number}.{count}")
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(THINK_S)

    async def _write_in_session(self, client: LineClient, prefix: str) -> None:
        for count in range(100_000):
            item = f"{prefix}.{count}"
            lines = await client.send(f"WRITE {item} x")
            if lines[0].startswith("COMPLETE d."):
                self.judge.record(item, "x")
            if not lines[-1].startswith("READY"):
                return
            await asyncio.sleep(THINK_S)

    async def wait_for_writes(self, count: int = WRITES) -> None:
        """Wait until so many further writes were acknowledged."""
        wanted = len(self.judge.acknowledged) + count
        await wait_for(lambda: len(self.judge.acknowledged) >= wanted)

    def report(self) -> str:
        """Return the lost commits, one a line, and what the edges logged about them."""
        outputs = [edge.output for edge in self.edges]
        lines = self.judge.describe(outputs)[:REPORTED]
        for edge in self.edges:
            lines += [
                f"{edge.name}: {line.decode().rstrip()}"
                for line in edge.output.splitlines()
                if b"logger=failover" in line
            ]
        return "\n".join(lines)

    def check(self) -> None:
        """Fail if a promoted endpoint, or the last primary, lost a commit."""
        lost = len(self.judge.lost) + len(self.judge.list_missing())
        assert lost == 0, (
            f"{lost} of {len(self.judge.acknowledged)} acknowledged commits lost\n"
            f"{self.report()}"
        )

    async def close(self) -> None:
        """End all clients, edges and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()
        for edge in self.edges:
            if edge.running:
                await edge.stop(signal.SIGKILL)
        for proxy in self.proxies:
            proxy.close()
        await self.platform.close()


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    cluster = Cluster(tmp_path)
    await cluster.platform.start()
    yield cluster
    await cluster.close()


async def wait_for(
    condition: Callable[[], object], limit_s: float = STEP_LIMIT_S
) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_S)


async def occurs(condition: Callable[[], object], limit_s: float) -> bool:
    try:
        await wait_for(condition, limit_s)
    except TimeoutError:
        return False
    return True


def ignore_caller(endpoint: StandinEndpoint, caller: str, *words: bytes) -> None:
    """Let an endpoint ignore the given commands of a caller, or all of them."""
    endpoint.ignores = lambda name, word: (
        name == caller and (not words or word in words)
    )


class TestAcknowledgedCommits:
    async def test_late_promotion_call_does_not_drop_commits_of_a_later_term(
        self, cluster: Cluster
    ) -> None:
        primary, first, _ = cluster.group.endpoints
        for zone in (0, 1):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0])
        await cluster.wait_for_writes()
        cluster.store.late_promotions_s = [8.0]
        cluster.store.register(primary, state="draining")
        await wait_for(lambda: cluster.store.promotions)
        first.lag_ms = 500
        await wait_for(lambda: cluster.term > 1)
        # The first choice falls behind in the later term.
        first.replication_cut = True
        await cluster.wait_for_writes()
        await occurs(lambda: cluster.judge.promotions > 1, FENCED_LIMIT_S)
        cluster.check()

    async def test_holder_that_was_stopped_before_its_call_does_not_drop_commits(
        self, cluster: Cluster
    ) -> None:
        primary, first, _ = cluster.group.endpoints
        holder = await cluster.start_edge(stop_before="promotion")
        await holder.wait_until_ready()
        cluster.store.register(primary, state="draining")
        await wait_for(lambda: holder.state == "T")
        first.lag_ms = 500
        other = await cluster.start_edge(zone=1)
        await wait_for(lambda: cluster.term > 1)
        first.replication_cut = True
        cluster.write_through(other)
        await cluster.wait_for_writes()
        holder.process.send_signal(signal.SIGCONT)
        await occurs(lambda: cluster.judge.promotions > 1, 3.0)
        cluster.check()

    async def test_late_resume_does_not_undo_the_pauses_of_another_holder(
        self, cluster: Cluster
    ) -> None:
        primary, first, _ = cluster.group.endpoints
        cluster.group.promotion_delay_s = EFFECT_DELAY_S
        front, store = await cluster.start_isolated_edge()
        holder = await cluster.start_edge(stop_before="resume")
        await holder.wait_until_ready()
        client = await cluster.connect(front)
        store.block("up", "down")
        # The first holder loses its path to a replica while it pauses them.
        ignore_caller(first, holder.name, b"PAUSE", b"RESUME")
        commit = asyncio.create_task(commit_when(client, cluster))
        cluster.store.register(primary, state="draining")
        await wait_for(lambda: holder.state == "T")
        ignore_caller(primary, "edge-3")
        await cluster.start_edge(zone=2)
        await wait_for(lambda: cluster.store.promotions)
        await asyncio.sleep(EFFECT_DELAY_S / 4)
        holder.process.send_signal(signal.SIGCONT)
        await commit
        await wait_for(lambda: cluster.judge.promotions)
        cluster.check()

    async def test_restarted_replica_does_not_acknowledge_during_a_promotion(
        self, cluster: Cluster
    ) -> None:
        primary, first, second = cluster.group.endpoints
        cluster.group.promotion_delay_s = EFFECT_DELAY_S
        front, store = await cluster.start_isolated_edge()
        holder = await cluster.start_edge()
        await holder.wait_until_ready()
        client = await cluster.connect(front)
        store.block("up", "down")
        ignore_caller(primary, holder.name)
        commit = asyncio.create_task(commit_when(client, cluster))
        cluster.store.register(primary, state="draining")
        await wait_for(lambda: cluster.store.promotions)
        await asyncio.sleep(EFFECT_DELAY_S / 4)
        (called,) = {endpoint for _, endpoint, _ in cluster.store.promotions}
        restarted = second if called == first.id else first
        await restarted.stop()
        await restarted.start(restarted.port)
        await commit
        await wait_for(lambda: cluster.judge.promotions)
        cluster.check()

    async def test_replica_that_leaves_with_its_log_does_not_drop_commits(
        self, tmp_path: Path
    ) -> None:
        cluster = Cluster(tmp_path, zones=4)
        try:
            primary, first, leaving, neighbour = cluster.group.endpoints
            neighbour.zone = leaving.zone
            await cluster.platform.start()
            front = await cluster.start_edge()
            other = await cluster.start_edge(zone=1)
            for edge in (front, other):
                await edge.wait_until_ready()
            first.replication_cut = neighbour.replication_cut = True
            cluster.write_through(front)
            await cluster.wait_for_writes()
            cluster.store.register(leaving, state="draining")
            await asyncio.sleep(1.5)
            await cluster.group.remove(leaving)
            await asyncio.sleep(0.5)
            cluster.store.put(f"servers/{leaving.id}", None)
            cluster.store.register(primary, state="draining")
            await occurs(lambda: cluster.judge.promotions, FENCED_LIMIT_S)
            cluster.check()
        finally:
            await cluster.close()

    async def test_commits_that_only_a_new_primary_has_survive_its_replacement(
        self, cluster: Cluster
    ) -> None:
        primary, _, second = cluster.group.endpoints
        for zone in (0, 1):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        confirming, _ = cluster.edges
        second.replication_cut = True
        cluster.write_through(confirming)
        await cluster.wait_for_writes()
        await primary.stop()
        cluster.store.put(f"servers/{primary.id}", None)
        await wait_for(lambda: cluster.term > 1)
        # Only this edge knows how far it confirmed commits.
        await confirming.stop(signal.SIGKILL)
        await occurs(lambda: cluster.judge.promotions > 1, STEP_LIMIT_S)
        cluster.check()

    async def test_unregistered_replica_does_not_acknowledge_during_a_promotion(
        self, cluster: Cluster
    ) -> None:
        primary, *_ = cluster.group.endpoints
        front, store = await cluster.start_isolated_edge()
        holder = await cluster.start_edge()
        await holder.wait_until_ready()
        cluster.write_through(front, clients=4)
        await cluster.wait_for_writes()
        store.block("up", "down")
        await cluster.group.add("i-db3", primary.zone)
        ignore_caller(primary, holder.name)
        cluster.store.register(primary, state="draining")
        await occurs(lambda: cluster.judge.promotions, FENCED_LIMIT_S)
        cluster.check()

    async def test_commit_between_the_pauses_and_the_demotion_is_kept(
        self, cluster: Cluster
    ) -> None:
        primary, _, distant = cluster.group.endpoints
        proxy = FaultProxy(lambda: distant.port)
        await proxy.start()
        cluster.proxies.append(proxy)
        proxy.delay_s = PATH_DELAY_S
        cluster.store.advertised_ports[distant.id] = proxy.port
        cluster.store.register(distant)
        for zone in (0, 1):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0], clients=4)
        await cluster.wait_for_writes()
        await cluster.group.add("i-db3", primary.zone)
        cluster.store.register(primary, state="draining")
        await occurs(lambda: cluster.judge.promotions, FENCED_LIMIT_S)
        cluster.check()


async def commit_when(client: LineClient, cluster: Cluster) -> None:
    """Commit a transaction when a promotion is called for, and record its outcome."""
    assert await client.send("BEGIN") == ["COMPLETE -", "READY T -"]
    assert (await client.send("WRITE late x"))[0].startswith("COMPLETE")
    while not cluster.store.promotions:
        assert (await client.send("READ late"))[-1].startswith("READY T")
        await asyncio.sleep(0.1)
    if (await client.send("COMMIT"))[0].startswith("COMPLETE d."):
        cluster.judge.record("late", "x")
