"""Commits through an edge that the store turns away are kept, and are served.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from _cluster_support import Cluster, occurs, wait_for

from bench.fault_proxy import FaultProxy
from bench.platform_cluster import EdgeProcess
from celeryjunction.replication.member_receipts import MAX_READ_AGE_S

DRAIN_S = 7.6
"""From a replica's report to its end: the platform's 7 s and a little longer."""
PRIMARY_AWAY_S = 5.0
"""Time for which a crashed primary is away; a failover that goes on takes 1 to 2 s."""
DEAF_AFTER_S = 5.8
"""From that report until the other replica receives nothing."""


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    # The end of an endpoint shows only beside another one in its zone.
    cluster = Cluster(tmp_path, groups=("db", "orders"))
    await cluster.platform.start()
    yield cluster
    await cluster.close()


async def start_unread(cluster: Cluster) -> tuple[EdgeProcess, FaultProxy]:
    """Start three edges; clients write through one, which the store turns away."""
    edge, store = await cluster.start_isolated_edge()
    for zone in (0, 2):
        await (await cluster.start_edge(zone=zone)).wait_until_ready()
    cluster.write_through(edge, clients=4)
    await cluster.wait_for_writes(100)
    store.block("up", "down")
    return edge, store


class TestCutOffProcess:
    async def test_a_replica_that_leaves_unnoticed_proves_no_commit_alone(
        self, cluster: Cluster
    ) -> None:
        """Guards against a promotion without commits that a leaving replica proved."""
        primary, leaving, other = cluster.group.endpoints
        await start_unread(cluster)
        await asyncio.sleep(0.3)
        cluster.store.register(leaving, state="draining")
        await asyncio.sleep(DEAF_AFTER_S)
        other.replication_cut = True
        await asyncio.sleep(DRAIN_S - DEAF_AFTER_S - 0.1)
        await primary.stop()
        await asyncio.sleep(0.1)
        await cluster.group.remove(leaving)
        cluster.store.put(f"servers/{leaving.id}", None)
        await wait_for(lambda: cluster.judge.promotions)
        cluster.check()

    @pytest.mark.parametrize("silent_for", ["one", "all"])
    async def test_one_replica_is_enough_while_the_store_is_silent(
        self, cluster: Cluster, silent_for: str
    ) -> None:
        """Guards against a VM that refuses writes for want of the store alone."""
        _, _, other = cluster.group.endpoints
        await start_unread(cluster)
        if silent_for == "all":
            cluster.store.error_status = 503
        await asyncio.sleep(1.0)
        other.replication_cut = True
        await asyncio.sleep(MAX_READ_AGE_S + 1.0)
        await cluster.wait_for_writes(200)
        cluster.check()

    async def test_a_lapsed_lease_leaves_a_vm_among_those_that_have_to_vote(
        self, cluster: Cluster
    ) -> None:
        """Guards against votes of all VMs but the one that confirmed the commits."""
        primary, holder, other = cluster.group.endpoints
        edge, store = await start_unread(cluster)
        record = cluster.store.items[f"/vms/{edge.name}"]
        cluster.store.end_lease(record["lease"])
        await asyncio.sleep(1.0)
        other.replication_cut = True
        await cluster.wait_for_writes()
        await primary.stop()
        await holder.stop()
        await asyncio.sleep(0.2)
        holder.lose_data(is_primary=False)
        await holder.start(holder.port)
        cluster.store.register(holder)
        await occurs(lambda: cluster.judge.promotions, PRIMARY_AWAY_S)
        other.replication_cut = False
        store.unblock()
        await primary.start(primary.port)
        cluster.store.register(primary)
        await cluster.wait_for_writes()
        cluster.check()
