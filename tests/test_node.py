"""Tests of what the nodes of a deployment decide about readiness."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _node_support import Deployment
from fakes import event_loop_policy  # noqa: F401

from celeryjunction.replication.ports import PromotionResult

GROUPS = ("g1", "g2", "g3")


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    deployment = Deployment(*GROUPS)
    for name, zone in (("vm-b", "b"), ("vm-c", "c")):
        await deployment.start_node(name, zone)
    await asyncio.sleep(5)
    yield deployment
    await deployment.close()


async def readiness(deployment: Deployment, seconds: float) -> list[set[str]]:
    """Return the nodes that were ready, at each check of the balancer."""
    seen = []
    for _ in range(round(seconds / 0.25)):
        nodes = deployment.nodes.items()
        seen.append({name for name, node in nodes if node.check_readiness()})
        await asyncio.sleep(0.25)
    return seen


class TestReadiness:
    async def test_nodes_are_ready_in_normal_operation(
        self, deployment: Deployment
    ) -> None:
        assert await readiness(deployment, 2) == 8 * [{"vm-b", "vm-c"}]

    async def test_groups_without_a_primary_take_no_vm_out(
        self, deployment: Deployment
    ) -> None:
        """Guards against a deployment without any VM in the balancer.

        The zone of all primaries is cut off while the store is unavailable, so no
        primary can be replaced. Each VM refuses the same statements and can still serve
        reads at the replicas, so none may withdraw.
        """
        deployment.store.unavailable = True
        for endpoint in deployment.endpoints_in("a"):
            endpoint.silent = True
        assert await readiness(deployment, 6) == 24 * [{"vm-b", "vm-c"}]

    async def test_a_vm_that_reaches_no_endpoint_withdraws(
        self, deployment: Deployment
    ) -> None:
        for zone in "abc":
            for endpoint in deployment.endpoints_in(zone):
                endpoint.silent = True
        seen = await readiness(deployment, 6)
        assert seen[-1] == set()

    async def test_a_vm_that_starts_without_primaries_becomes_ready(
        self, deployment: Deployment
    ) -> None:
        """Guards against waiting for proofs that no VM can get."""
        for endpoint in deployment.endpoints_in("a"):
            endpoint.silent = True
        for cluster in deployment.groups.values():
            cluster.promotion_answers = 100 * [PromotionResult.REFUSED]
        await deployment.start_node("vm-b2", "b")
        seen = await readiness(deployment, 6)
        assert "vm-b2" in seen[-1]
