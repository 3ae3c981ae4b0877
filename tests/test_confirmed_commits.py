"""Tests of what proves that a confirmed commit is kept by the next promotion."""

from __future__ import annotations

import asyncio

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster, FakeStore
from test_failover import FAILOVER_LIMIT_S, Vm, wait_for_term

from celeryjunction.failover.claims import LEASE_S
from celeryjunction.failover.supervisor import ABANDONED_PAUSE_S
from celeryjunction.replication.ports import (
    PauseReceiving,
    ResumeReceiving,
)


@pytest.fixture
def cluster() -> FakeCluster:
    return FakeCluster()


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


async def started_vm(cluster: FakeCluster, store: FakeStore, name: str = "vm1") -> Vm:
    """Return a VM that has stored the roster of term 1, with its supervisor stopped."""
    vm = Vm(cluster, store, name)
    vm.run()
    assert await wait_for_term(vm, 1)
    await asyncio.sleep(3)
    await vm.stop()
    return vm


class TestResume:
    async def test_a_holder_without_the_store_leaves_the_replicas_paused(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """The store may have given the claim to another VM, which relies on them."""
        vm = Vm(cluster, store)
        await vm.group.refresh()
        claim = await vm.claims.acquire("g")
        infos = {name: cluster[name].info for name in ("b1", "c1")}
        await vm.coordinator._pause_all(infos, 1)
        store.unavailable = True
        await vm.coordinator._abort(claim, ["b1", "c1"], False)
        commands = [c for n in infos for c in cluster[n].commands]
        assert not any(isinstance(command, ResumeReceiving) for command in commands)
        assert any(isinstance(command, PauseReceiving) for command in commands)

    async def test_replicas_left_paused_are_released_once_the_store_is_back(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = await started_vm(cluster, store)
        claim = await vm.claims.acquire("g")
        infos = {name: cluster[name].info for name in ("b1", "c1")}
        await vm.coordinator._pause_all(infos, 1)
        store.unavailable = True
        await vm.coordinator._abort(claim, ["b1", "c1"], False)
        vm.run()
        await asyncio.sleep(2)
        store.unavailable = False
        limit_s = LEASE_S + ABANDONED_PAUSE_S + FAILOVER_LIMIT_S
        assert await wait_for_term(vm, 2, limit_s=limit_s)
        position = await cluster.commit(cluster[vm.group.primary])
        assert position is not None and position.term == 2
        await vm.stop()

    async def test_a_replica_that_has_not_joined_the_term_stays_paused(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """It would receive from the primary of its own term, which was replaced."""
        cluster["a1"].term = cluster["b1"].term = 2
        vm = Vm(cluster, store)
        await vm.group.refresh()
        claim = await vm.claims.acquire("g")
        infos = {name: cluster[name].info for name in ("b1", "c1")}
        await vm.coordinator._pause_all(infos, 2)
        await vm.coordinator._abort(claim, ["b1", "c1"], False)
        assert (cluster["b1"].held_term, cluster["c1"].held_term) == (0, 3)
