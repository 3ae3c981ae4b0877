"""Promotions must keep every commit that a client saw acknowledged.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from _cluster_support import (
    POLL_S,
    STEP_LIMIT_S,
    Cluster,
    ignore_caller,
    occurs,
    wait_for,
)

from bench.fault_proxy import FaultProxy
from bench.platform_cluster import LineClient
from celeryjunction.platform.standin import StandinEndpoint
from celeryjunction.replication.roster import RESUME_LIMIT_S

FENCED_LIMIT_S = 8.0
"""Time for a promotion that may rightly not happen."""
EFFECT_DELAY_S = 1.0
"""Delay of a promotion's effect on the slowest site."""
SILENCE_S = 6.0
"""Time for which a link withholds a command."""
RECOVERY_S = 15.0
"""The platform's bound for a recovery; a failover after a holder that stopped between
its seal and its call takes more than 8.5 s."""
KEEP_OPEN_S = 0.5
"""Time between the statements that keep a transaction open."""
PATH_DELAY_S = 0.05
"""Delay of a message to a distant endpoint."""


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    cluster = Cluster(tmp_path)
    await cluster.platform.start()
    yield cluster
    await cluster.close()


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
        await wait_for(lambda: cluster.term > 1, RECOVERY_S)
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
        limit_s = RESUME_LIMIT_S + STEP_LIMIT_S
        await wait_for(lambda: cluster.store.promotions, limit_s)
        await asyncio.sleep(EFFECT_DELAY_S / 4)
        holder.process.send_signal(signal.SIGCONT)
        await commit
        await wait_for(lambda: cluster.judge.promotions)
        cluster.check()

    async def test_resume_held_up_by_a_silent_link_does_not_undo_later_pauses(
        self, cluster: Cluster
    ) -> None:
        primary, first, second = cluster.group.endpoints
        cluster.group.promotion_delay_s = EFFECT_DELAY_S
        front, store = await cluster.start_isolated_edge()
        holder = await cluster.start_edge()
        await holder.wait_until_ready()
        cluster.write_through(front, clients=4)
        await cluster.wait_for_writes()
        store.block("up", "down")
        # The holder gives up, as one replica ignores its PAUSE.
        first.ignores = lambda name, word: (
            name == front.name or (name, word) == (holder.name, b"PAUSE")
        )
        held = hold_resume(second, holder.name)
        cluster.store.register(primary, state="draining")
        await wait_for(lambda: held and "failover/db" not in cluster.store.items)
        holder.process.send_signal(signal.SIGSTOP)
        ignore_caller(primary, "edge-3")
        await cluster.start_edge(zone=2)
        await occurs(lambda: cluster.store.promotions, SILENCE_S)
        # The next holder's path to the replica is cut when the RESUME arrives.
        ignore_caller(second, "edge-3")
        second.held_term = 0
        await asyncio.sleep(EFFECT_DELAY_S)
        ignore_caller(second, "")
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


class TestLateCommands:
    """Commands of an attempt that was given up, of which no VM knows any more."""

    @pytest.mark.parametrize("command", ["PAUSE", "DEMOTE"])
    async def test_late_command_costs_time_and_no_commits(
        self, cluster: Cluster, command: str
    ) -> None:
        primary, *replicas = cluster.group.endpoints
        for zone in (0, 1):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0])
        await cluster.wait_for_writes()
        if command == "PAUSE":
            for replica in replicas:
                replica.held_term = cluster.term + 1
        else:
            primary.is_primary = False
        await wait_for(lambda: cluster.term > 1)
        await cluster.wait_for_writes()
        cluster.check()


def hold_resume(endpoint: StandinEndpoint, caller: str) -> list[bytes]:
    """Withhold RESUME of a caller from an endpoint; return the list of those held."""
    held: list[bytes] = []

    def ignores(name: str, word: bytes) -> bool:
        if (name, word) != (caller, b"RESUME"):
            return False
        held.append(word)
        return True

    endpoint.ignores = ignores
    return held


async def commit_when(client: LineClient, cluster: Cluster) -> None:
    """Commit a transaction when a promotion is called for, and record its outcome."""
    assert await client.send("BEGIN") == ["COMPLETE -", "READY T -"]
    assert (await client.send("WRITE late x"))[0].startswith("COMPLETE")
    loop = asyncio.get_running_loop()
    read_at = loop.time()
    while not cluster.store.promotions:
        if loop.time() - read_at >= KEEP_OPEN_S:
            assert (await client.send("READ late"))[-1].startswith("READY T")
            read_at = loop.time()
        await asyncio.sleep(POLL_S)
    if (await client.send("COMMIT"))[0].startswith("COMPLETE d."):
        cluster.judge.record("late", "x")
