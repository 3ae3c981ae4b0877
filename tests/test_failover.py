"""Replacement of a primary: detection, choice, claims, and holders that stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster, FakeStore

from celeryjunction.failover.claims import CLAIMS, LEASE_S, Claims
from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.detector import (
    REFUSED_S,
    SILENT_S,
    STALLED_S,
    PrimaryWatch,
)
from celeryjunction.failover.selection import choose_replica
from celeryjunction.failover.supervisor import Supervisor
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    EndpointStatus,
    LogPosition,
    PauseReceiving,
    PromotionResult,
)
from celeryjunction.replication.roster import GroupRoster

MARGIN_S = 0.01
"""Covers the rounding of times."""

FAILOVER_LIMIT_S = 4.0
"""Detection (0.9 s), the calls and the promotion (1 s), with a second to spare."""


class Vm:
    """What one VM runs for the group."""

    def __init__(
        self,
        cluster: FakeCluster,
        store: FakeStore,
        name: str = "vm1",
        *,
        watchers: int = 1,
        overloaded: Callable[[Vm], bool] = lambda vm: False,
    ) -> None:
        clock = ManualClock()
        random = Random(name)
        self.cluster = cluster
        self.roster = GroupRoster("g", store, clock=clock)
        self.group = ReplicationGroup(
            "g", zone="a", dialer=cluster, clock=clock, roster=self.roster
        )
        self.group.update_endpoints(cluster.infos)
        self.claims = Claims(store, vm=name, clock=clock)
        self.coordinator = Coordinator(
            self.group,
            roster=self.roster,
            claims=self.claims,
            promoter=cluster,
            vm=name,
            clock=clock,
            dialer=cluster,
            refresh_register=self.refresh,
        )
        self.supervisor = Supervisor(
            self.group,
            coordinator=self.coordinator,
            suspicions=Suspicions(store, vm=name),
            roster=self.roster,
            watchers=lambda: watchers,
            overloaded=lambda: overloaded(self),
            dialer=cluster,
            clock=clock,
            random=random,
        )
        self.task: asyncio.Task[None] | None = None

    async def refresh(self) -> bool:
        return True

    def run(self) -> None:
        self.task = asyncio.create_task(self.supervisor.run())

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


@pytest.fixture
def cluster() -> FakeCluster:
    return FakeCluster()


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


async def led(vm: Vm, term: int) -> bool:
    """Wait until the VM knows a primary of the term."""
    deadline = asyncio.get_running_loop().time() + FAILOVER_LIMIT_S
    while asyncio.get_running_loop().time() < deadline:
        if vm.group.term == term and vm.group.primary is not None:
            return True
        await asyncio.sleep(0.02)
    return False


def status(received: int, *, term: int = 1, lag_s: float = 0.0) -> EndpointStatus:
    return EndpointStatus(False, 1, LogPosition(term, received), 2, lag_s, 0, 1)


class TestChooseReplica:
    def test_takes_the_furthest(self, cluster: FakeCluster) -> None:
        chosen = choose_replica(
            {"b1": status(5), "c1": status(7)},
            cluster.infos,
            acknowledged=LogPosition(1, 7),
        )
        assert chosen == "c1"

    def test_compares_terms_before_numbers(self, cluster: FakeCluster) -> None:
        chosen = choose_replica(
            {"b1": status(9, term=1), "c1": status(8, term=2)},
            cluster.infos,
            acknowledged=LogPosition(1, 0),
        )
        assert chosen == "c1"

    def test_refuses_when_an_acknowledged_commit_is_missing(
        self, cluster: FakeCluster
    ) -> None:
        chosen = choose_replica(
            {"b1": status(5)}, cluster.infos, acknowledged=LogPosition(1, 6)
        )
        assert chosen is None

    def test_of_equal_ones_takes_the_one_that_applied_more(
        self, cluster: FakeCluster
    ) -> None:
        chosen = choose_replica(
            {"b1": status(5, lag_s=0.4), "c1": status(5)},
            cluster.infos,
            acknowledged=LogPosition(1, 5),
        )
        assert chosen == "c1"


class TestPrimaryWatch:
    def _watch(self, cluster: FakeCluster) -> tuple[PrimaryWatch, ReplicationGroup]:
        clock = ManualClock()
        group = ReplicationGroup("g", zone="a", dialer=cluster, clock=clock)
        group.update_endpoints(cluster.infos)
        return PrimaryWatch(group, clock=clock), group

    async def test_one_missing_answer_is_no_verdict(self, cluster: FakeCluster) -> None:
        watch, group = self._watch(cluster)
        group.controls["a1"].failure = "silent"
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_S * 2)
        assert watch.verdict() is None

    async def test_silence_counts_after_its_time(self, cluster: FakeCluster) -> None:
        watch, group = self._watch(cluster)
        group.controls["a1"].failure = "silent"
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_S + MARGIN_S)
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        assert watch.verdict() == "silent"

    async def test_a_closed_port_counts_sooner(self, cluster: FakeCluster) -> None:
        watch, group = self._watch(cluster)
        group.controls["a1"].failure = "ConnectionRefusedError"
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(REFUSED_S + MARGIN_S)
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        assert watch.verdict() == "refused"

    async def test_an_answer_clears_the_suspicion(self, cluster: FakeCluster) -> None:
        watch, group = self._watch(cluster)
        group.controls["a1"].failure = "silent"
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        watch.note("a1", answered=True, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_S + MARGIN_S)
        watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
        assert watch.verdict() is None

    @pytest.mark.parametrize("failure", ["busy", "too_many_connections"])
    async def test_a_refusal_for_load_is_a_sign_of_life(
        self, cluster: FakeCluster, failure: str
    ) -> None:
        watch, group = self._watch(cluster)
        group.controls["a1"].failure = failure
        for _ in range(5):
            watch.note("a1", answered=False, asked_at=ManualClock().monotonic())
            await asyncio.sleep(SILENT_S)
        assert watch.verdict() is None

    async def test_commits_that_reach_no_replica_are_a_stall(
        self, cluster: FakeCluster
    ) -> None:
        watch, _ = self._watch(cluster)
        behind = [LogPosition(1, 4), LogPosition(1, 3)]
        watch.note_replication(LogPosition(1, 6), behind)
        await asyncio.sleep(STALLED_S + MARGIN_S)
        watch.note_replication(LogPosition(1, 6), behind)
        assert watch.verdict() == "stalled"

    async def test_replicas_that_follow_later_are_no_stall(
        self, cluster: FakeCluster
    ) -> None:
        watch, _ = self._watch(cluster)
        for number in range(1, 10):
            watch.note_replication(
                LogPosition(1, number + 2), [LogPosition(1, number), LogPosition(1, 0)]
            )
            await asyncio.sleep(STALLED_S / 2)
        assert watch.verdict() is None


class TestClaims:
    async def test_only_one_vm_gets_it(self, store: FakeStore) -> None:
        first = Claims(store, vm="vm1", clock=ManualClock())
        second = Claims(store, vm="vm2", clock=ManualClock())
        claim = await first.take("g")
        assert claim is not None
        assert await second.take("g") is None

    async def test_a_later_claim_has_a_higher_token(self, store: FakeStore) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.take("g")
        await claims.give_back(claim)
        later = await Claims(store, vm="vm2", clock=ManualClock()).take("g")
        assert later.fencing_token > claim.fencing_token

    async def test_a_lost_answer_is_looked_up(self, store: FakeStore) -> None:
        store.lose_answers = 1
        claim = await Claims(store, vm="vm1", clock=ManualClock()).take("g")
        assert claim is not None
        assert claim.fencing_token == store.items[CLAIMS + "g"].revision

    async def test_a_claim_that_was_taken_away_does_not_hold(
        self, store: FakeStore
    ) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.take("g")
        store.put(CLAIMS + "g", None)
        await Claims(store, vm="vm2", clock=ManualClock()).take("g")
        assert not await claims.holds(claim)

    async def test_a_frozen_holder_finds_its_claim_expired(
        self, store: FakeStore
    ) -> None:
        clock = ManualClock()
        claims = Claims(store, vm="vm1", clock=clock)
        claim = await claims.take("g")
        clock.advance(LEASE_S)
        assert not await claims.holds(claim)

    async def test_without_the_store_nothing_holds(self, store: FakeStore) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.take("g")
        store.unavailable = True
        assert not await claims.holds(claim)


class TestFailover:
    async def test_a_crashed_primary_is_replaced(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await led(vm, 1)
        await asyncio.sleep(3)
        await cluster.commit(cluster["a1"])
        cluster["a1"].refusing = True
        assert await led(vm, 2)
        assert cluster[vm.group.primary].log == cluster["a1"].log
        await vm.stop()

    async def test_a_silent_primary_is_replaced_when_half_of_the_vms_agree(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vms = [Vm(cluster, store, f"vm{n}", watchers=4) for n in range(2)]
        for vm in vms:
            vm.run()
        assert await led(vms[0], 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        assert await led(vms[0], 2)
        assert len(cluster.promotions) == 1
        for vm in vms:
            await vm.stop()

    async def test_a_vm_alone_in_its_suspicion_replaces_nobody(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, watchers=4)
        vm.run()
        assert await led(vm, 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        assert not await led(vm, 2)
        assert not cluster.promotions
        assert not any(
            isinstance(command, PauseReceiving)
            for one in cluster.endpoints.values()
            for command in one.commands
        )
        await vm.stop()

    async def test_a_replica_that_cannot_be_asked_may_be_the_only_holder(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """The bench's trouble-3, seed 673452150923: zone cut with both holders."""
        vm = Vm(cluster, store)
        vm.run()
        assert await led(vm, 1)
        await asyncio.sleep(3)
        cluster["b1"].replication_cut = True
        await cluster.commit(cluster["a1"])
        cluster["a1"].silent = cluster["c1"].silent = True
        # Its entry lapses as well, because it is cut off from the store too.
        vm.group.update_endpoints({"b1": cluster["b1"].info})
        assert not await led(vm, 2)
        assert not cluster.promotions
        cluster["a1"].refusing, cluster["c1"].silent = True, False
        vm.group.update_endpoints(cluster.infos)
        assert await led(vm, 2)
        assert vm.group.primary == "c1"
        await vm.stop()

    async def test_a_restarted_vm_knows_the_members_from_the_store(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await led(vm, 1)
        await asyncio.sleep(3)
        await vm.stop()
        cluster["b1"].replication_cut = True
        await cluster.commit(cluster["a1"])
        cluster["a1"].silent = cluster["c1"].silent = True
        fresh = Vm(cluster, store, "vm2")
        fresh.group.update_endpoints({"b1": cluster["b1"].info})
        fresh.run()
        assert not await led(fresh, 2)
        assert not cluster.promotions
        await fresh.stop()

    async def test_a_claim_lost_before_the_call_promotes_nobody(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        claim = await vm.claims.take("g")
        store.put(CLAIMS + "g", None)
        await Claims(store, vm="vm2", clock=ManualClock()).take("g")
        cluster["a1"].refusing = True
        assert not await vm.coordinator._replace(claim, LogPosition(0, 0))
        assert not cluster.promotions

    async def test_a_refused_promotion_lets_the_replicas_receive_again(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        cluster.promotion_answers = [PromotionResult.REFUSED]
        assert not await vm.coordinator.replace(
            "draining", term=1, acknowledged=LogPosition(0, 0)
        )
        assert cluster["b1"].held_term == cluster["c1"].held_term == 0

    async def test_a_holder_killed_after_the_pause_is_followed_by_another(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        first = Vm(cluster, store, "vm1")
        first.run()
        assert await led(first, 1)
        await asyncio.sleep(3)
        await first.stop()
        claim = await first.claims.take("g")
        await first.coordinator._pause_all(
            {name: cluster[name].info for name in ("b1", "c1")}, 1
        )
        cluster["a1"].silent = True
        second = Vm(cluster, store, "vm2")
        second.run()
        await asyncio.sleep(LEASE_S)
        assert await led(second, 2)
        (_, holder, token) = cluster.promotions[-1]
        assert holder == "vm2"
        assert token > claim.fencing_token
        await second.stop()

    async def test_a_replica_that_lost_its_pause_stops_the_promotion(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        needed = {name: cluster[name].info for name in ("b1", "c1")}
        paused = await vm.coordinator._pause_all(needed, 1)
        cluster["c1"].restart()
        assert not await vm.coordinator._still_paused(paused, 1)

    async def test_a_replica_that_restarts_after_the_call_is_paused_again(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """The model's trace without the pause of a replica that restarts late."""
        vm = Vm(cluster, store)
        await vm.group.refresh()
        cluster["a1"].silent = True
        loop = asyncio.get_running_loop()
        replacing = asyncio.create_task(
            vm.coordinator.replace("silent", term=1, acknowledged=LogPosition(0, 0))
        )
        loop.call_later(0.5, cluster["c1"].restart)
        await asyncio.sleep(0.7)
        assert cluster["c1"].held_term == 2
        assert await replacing

    async def test_a_lost_answer_of_the_promotion_is_waited_out(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        cluster["a1"].refusing = True
        cluster.promotion_answers = [PromotionResult.UNKNOWN]
        assert await vm.coordinator.replace(
            "refused", term=1, acknowledged=LogPosition(0, 0)
        )
        assert len(cluster.promotions) == 1

    async def test_commits_cut_off_from_replicas_lead_to_a_new_primary(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await led(vm, 1)
        await asyncio.sleep(3)
        cluster["b1"].replication_cut = cluster["c1"].replication_cut = True
        writing = asyncio.create_task(cluster.commit(cluster["a1"]))
        assert await led(vm, 2)
        assert not cluster["a1"].is_primary
        writing.cancel()
        await vm.stop()


class TestRelief:
    async def test_a_primary_that_serves_alone_hands_over(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, overloaded=lambda vm: vm.group.term == 1)
        await cluster.commit(cluster["a1"])
        vm.run()
        assert await led(vm, 2)
        assert vm.group.primary != "a1"
        assert cluster[vm.group.primary].log == cluster["a1"].log
        assert not cluster["a1"].is_primary
        await vm.stop()

    async def test_vms_that_all_want_it_promote_once(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        def overloaded(vm: Vm) -> bool:
            return vm.group.term == 1

        vms = [
            Vm(cluster, store, f"vm{n}", watchers=4, overloaded=overloaded)
            for n in range(4)
        ]
        for vm in vms:
            vm.run()
        assert await led(vms[0], 2)
        await asyncio.sleep(5)
        assert len(cluster.promotions) == 1
        for vm in vms:
            await vm.stop()

    async def test_a_holder_that_comes_late_changes_nothing(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await led(vm, 1)
        done = await vm.coordinator.replace(
            "replicas_behind", term=0, acknowledged=LogPosition(0, 0)
        )
        assert done and not cluster.promotions
        assert await vm.claims.take("g") is not None
        await vm.stop()
