"""Tests of what the nodes of a deployment decide about readiness."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random
from types import SimpleNamespace

import pytest
from _node_support import Deployment
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.follower import PrefixFollower
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.gateway.statements import Read, Request
from celeryjunction.node import Node
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.relay.messages import HomeStatus
from celeryjunction.replication.group import HEDGE_DELAY_S, MAX_REGISTER_AGE_S
from celeryjunction.replication.ports import Fault, LogPosition, PromotionResult
from celeryjunction.route_updates.confirmation import RoutesConfirmation
from celeryjunction.shared_watch import WatchPage

Outcome = ErrorKind | Fault | None

VMS = ("vm-b", "vm-c")
GROUPS = ("g1", "g2", "g3")
OUTAGE_S = 6.0
"""Longer than the staleness bound of the routes (1.5 s)."""


@pytest.fixture
async def deployment() -> AsyncIterator[Deployment]:
    deployment = Deployment(*GROUPS)
    for name in VMS:
        await deployment.start_node(name, name[-1])
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


async def read(deployment: Deployment, vm: str, database: str) -> Outcome:
    """Read at a VM; return how that ended."""
    session = deployment.nodes[vm].open_session(database)
    arrived = asyncio.get_running_loop().time()
    try:
        answer = await session.execute(Request(b"q", b"READ 1", Read(), arrived))
    except ProxyError as error:
        return error.kind
    finally:
        await session.close()
    return answer.fault


class TestSilentReplica:
    async def test_the_other_replica_gives_the_evidence(
        self, deployment: Deployment
    ) -> None:
        """Guards against refusing a group's reads while one replica is silent.

        Evidence counts only on a connection that has been open for 3 s. A VM that kept
        one to its preferred replica alone refused reads for that long.
        """
        for name in ("b-g1", "c-g1"):
            deployment.groups["g1"][name].silent = True
            outcomes = []
            for _ in range(30):
                outcomes += [await read(deployment, vm, "g1-primary") for vm in VMS]
                await asyncio.sleep(0.1)
            assert outcomes == [None] * len(outcomes)
            deployment.groups["g1"][name].silent = False
            await asyncio.sleep(5)

    async def test_reads_do_not_wait_for_it(self, deployment: Deployment) -> None:
        """Guards against asking the silent replica first for each read."""
        deployment.groups["g1"]["b-g1"].silent = True
        await asyncio.sleep(1)
        loop = asyncio.get_running_loop()
        for _ in range(10):
            started = loop.time()
            await read(deployment, "vm-b", "g1-primary")
            assert loop.time() - started < HEDGE_DELAY_S
            await asyncio.sleep(0.1)


class TestReadsWithoutPrimary:
    """The store is unavailable, so a failed primary can't be replaced."""

    @pytest.mark.parametrize("kind", ["bounded_staleness", "read_your_writes"])
    @pytest.mark.parametrize("way", ["silent", "refusing"])
    async def test_replicas_serve_reads(
        self, deployment: Deployment, kind: str, way: str
    ) -> None:
        """Guards against refusing reads for an outage of the primary alone.

        Seen on trouble-3 of tianyuan-hq: 420 reads were refused as not proven fresh,
        although both replicas answered and the replicas together hold every commit.
        """
        deployment.store.unavailable = True
        setattr(deployment.groups["g1"]["a-g1"], way, True)
        outcomes = []
        for _ in range(round(OUTAGE_S / 0.25)):
            outcomes += [await read(deployment, vm, f"g1-{kind}") for vm in VMS]
            await asyncio.sleep(0.25)
        assert outcomes == [None] * len(outcomes)

    async def test_without_synchronous_replicas_they_do_not(
        self,
    ) -> None:
        """Guards against a read without a commit that only the primary has."""
        deployment = Deployment("g1", synchronous_replicas=0)
        await deployment.start_node("vm-b", "b")
        await asyncio.sleep(5)
        deployment.store.unavailable = True
        deployment.groups["g1"]["a-g1"].silent = True
        await asyncio.sleep(OUTAGE_S)
        outcome = await read(deployment, "vm-b", "g1-bounded_staleness")
        assert outcome is ErrorKind.FRESHNESS_UNPROVEN
        await deployment.close()

    async def test_an_endpoint_that_vanished_may_have_a_commit(
        self, deployment: Deployment
    ) -> None:
        """Guards against a stale read by a VM that does not know of a replica's return.

        Found by a hunt on tianyuan-hq (mix, seed 951628317630): a replica's entry had
        expired in a cut of its zone, and its group had got a new primary. Then the VM's
        own zone was cut off, and the replica returned and acknowledged commits.
        """
        cluster = deployment.groups["g1"]
        cluster["c-g1"].silent = True
        deployment.register(None, name="c-g1")
        cluster.take_over("b-g1")
        cluster["a-g1"].is_primary, cluster["a-g1"].term = False, 2
        await asyncio.sleep(8)
        deployment.store.unavailable = True
        cluster["b-g1"].silent = True
        await asyncio.sleep(OUTAGE_S)
        outcome = await read(deployment, "vm-c", "g1-bounded_staleness")
        assert outcome is ErrorKind.FRESHNESS_UNPROVEN

    async def test_a_vm_that_started_later_knows_that_one_is_missing(
        self, deployment: Deployment
    ) -> None:
        """Guards against the same stale read at a VM that never saw the entry."""
        cluster = deployment.groups["g1"]
        cluster["c-g1"].silent = True
        deployment.register(None, name="c-g1")
        cluster.take_over("b-g1")
        cluster["a-g1"].is_primary, cluster["a-g1"].term = False, 2
        await asyncio.sleep(8)
        await deployment.start_node("vm-a", "a")
        await asyncio.sleep(5)
        deployment.store.unavailable = True
        cluster["b-g1"].silent = True
        await asyncio.sleep(OUTAGE_S)
        outcome = await read(deployment, "vm-a", "g1-bounded_staleness")
        assert outcome is ErrorKind.FRESHNESS_UNPROVEN

    async def test_a_long_outage_of_the_store_may_hide_a_new_replica(
        self, deployment: Deployment
    ) -> None:
        deployment.store.unavailable = True
        deployment.groups["g1"]["a-g1"].silent = True
        await asyncio.sleep(MAX_REGISTER_AGE_S + 2.0)
        outcome = await read(deployment, "vm-b", "g1-bounded_staleness")
        assert outcome is ErrorKind.FRESHNESS_UNPROVEN

    async def test_a_silent_replica_may_have_a_commit(
        self, deployment: Deployment
    ) -> None:
        deployment.store.unavailable = True
        for name in ("a-g1", "b-g1"):
            deployment.groups["g1"][name].silent = True
        await asyncio.sleep(OUTAGE_S)
        outcome = await read(deployment, VMS[0], "g1-bounded_staleness")
        assert outcome is ErrorKind.FRESHNESS_UNPROVEN


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


class TestRoutesOfHomes:
    """Reads of a VM whose store answers reads of the routes, and no watch."""

    @pytest.fixture
    def reads(self) -> list[float]:
        return []

    @pytest.fixture
    async def node(self, deployment: Deployment, reads: list[float]) -> Node:
        """A node whose store never has a newer version of the routes."""
        loop = asyncio.get_running_loop()

        class Store:
            async def changes(
                self, prefix: str, after: int, *, timeout: float
            ) -> WatchPage:
                reads.append(loop.time())
                return WatchPage([], 1)

        node = deployment.nodes["vm-b"]
        follower = PrefixFollower(Store(), "op/", clock=ManualClock(), random=Random(1))
        follower.synced.set()
        node.limits.routes_s = 5.0
        node.follow_routes(follower, Store())
        node.start_service("routes", node._routes_reader.run)
        return node

    def report(
        self, node: Node, *, version: int, age_s: float, asked_s: float = 0.0
    ) -> None:
        """Deliver the status of a home that was asked `asked_s` seconds ago."""
        status = HomeStatus(
            [],
            isolated=False,
            leaving=False,
            routes_version=version,
            routes_age_s=age_s,
        )
        asked_at = asyncio.get_running_loop().time() - asked_s
        node._apply_home_update(
            SimpleNamespace(status=status, endpoints=None, status_asked_at=asked_at)
        )

    @pytest.mark.parametrize("forwards", [True, False])
    async def test_a_version_that_the_store_lost_is_not_read_at_each_status(
        self,
        node: Node,
        reads: list[float],
        monkeypatch: pytest.MonkeyPatch,
        forwards: bool,
    ) -> None:
        """Guards against calls without pause while the store's copy is older."""
        monkeypatch.setattr(HomeSelector, "is_forwarding_only", forwards)
        for _ in range(100):
            self.report(node, version=2, age_s=0.0)
            await asyncio.sleep(0.03)
        assert 1 <= len(reads) <= 11

    @pytest.mark.parametrize("forwards", [True, False])
    async def test_a_newer_version_is_read_by_homes_as_well(
        self,
        node: Node,
        reads: list[float],
        monkeypatch: pytest.MonkeyPatch,
        forwards: bool,
    ) -> None:
        """Guards against a home that ignores what other homes report."""
        monkeypatch.setattr(HomeSelector, "is_forwarding_only", forwards)
        await asyncio.sleep(0.1)
        reads.clear()
        self.report(node, version=2, age_s=0.0)
        await asyncio.sleep(0.1)
        assert len(reads) == 1

    async def test_homes_that_the_store_does_not_answer_confirm_nothing(
        self, node: Node, reads: list[float], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a zone that keeps old routes while its homes report them."""
        monkeypatch.setattr(HomeSelector, "is_forwarding_only", True)
        await asyncio.sleep(0.1)
        reads_before = len(reads)
        for number in range(50):
            self.report(node, version=1, age_s=0.2 * number)
            await asyncio.sleep(0.2)
        assert len(reads) > reads_before
        assert reads[reads_before] - reads[reads_before - 1] <= 5.0

    async def test_a_status_counts_from_when_it_was_asked_for(self, node: Node) -> None:
        """Guards against an answer that waited on a busy link and looks new."""
        node.apply_routes(
            RouteTable(version=1, routes=(), groups=(), idle_transaction_s=0.0)
        )
        node._confirmation = RoutesConfirmation()
        self.report(node, version=1, age_s=0.4, asked_s=1.0)
        assert node.routes_age_s == pytest.approx(1.4, abs=0.01)


class TestVotes:
    async def test_the_homes_object_while_another_vm_suspects_a_live_primary(
        self, deployment: Deployment
    ) -> None:
        """Guards against replacing a primary that only some VMs do not reach."""

        async def objecting() -> set[str]:
            await asyncio.sleep(2)
            reader = Suspicions(deployment.store, vm="reader")
            votes = await reader.list_votes("g1", term=1, primary="a-g1")
            return {vote.vm for vote in votes if vote.is_objection}

        other = Suspicions(deployment.store, vm="vm-x")
        position = LogPosition(0, 0)
        assert await other.publish("g1", term=1, primary="a-g1", acknowledged=position)
        assert await objecting() == set(VMS)
        await other.withdraw("g1")
        assert await objecting() == set()
