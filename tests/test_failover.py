"""Tests of failover: detection, choice of a replica, claims, holders that stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from itertools import pairwise
from random import Random

import msgspec
import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from msgspec.structs import replace
from replicated_fakes import PROMOTION_S, FakeCluster, FakeEndpoint, FakeStore

from celeryjunction.failover import supervisor
from celeryjunction.failover.claims import CLAIM_PREFIX, LEASE_S, Claim, Claims
from celeryjunction.failover.coordinator import MAX_DECISION_S, Coordinator
from celeryjunction.failover.detector import (
    REFUSED_LIMIT_S,
    SILENT_LIMIT_S,
    STALLED_LIMIT_S,
    PrimaryFailureDetector,
)
from celeryjunction.failover.selection import choose_replica
from celeryjunction.failover.supervisor import (
    MAX_AGREEMENT_PAUSE_S,
    OBJECTION_WAIT_S,
    SUSPECT_INTERVAL_S,
    Supervisor,
)
from celeryjunction.failover.suspicions import (
    SUSPICION_PREFIX,
    UNKNOWN_PRIMARY,
    Suspicions,
    Vote,
)
from celeryjunction.ports import Compare, KeyValue, Put, PutResult, WatchEvent
from celeryjunction.replication.control import ASK_TIMEOUT_S
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    EndpointInfo,
    EndpointStatus,
    LogPosition,
    PauseReceiving,
    PromotionResult,
)
from celeryjunction.replication.roster import ROSTER_PREFIX, GroupRoster
from celeryjunction.store_history import StoreHistory

MARGIN_S = 0.01
"""Covers the rounding of times."""

SHORT_S = 0.1
"""Covers the check of the pauses and the demotion."""

ANSWER_LIMIT_S = 0.3
"""Limit of the calls and commands of a failover, all of which are answered."""
FAILOVER_LIMIT_S = 4.0
"""Detection (0.9 s), the calls and the promotion (1 s), with a second to spare."""


class Vm:
    """The failover components that one VM runs for the group."""

    def __init__(
        self,
        cluster: FakeCluster,
        store: FakeStore,
        name: str = "vm1",
        *,
        monitor_count: int = 1,
        should_hand_over: Callable[[Vm], bool] = lambda vm: False,
        unanswered_since: Callable[[], float] = lambda: 0.0,
    ) -> None:
        clock = ManualClock()
        random = Random(name)
        self.cluster = cluster
        self.roster = GroupRoster("g", store, clock=clock, vm=name)
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
        self.suspicions = Suspicions(store, vm=name)
        self.supervisor = Supervisor(
            self.group,
            coordinator=self.coordinator,
            suspicions=self.suspicions,
            roster=self.roster,
            monitor_count=lambda: monitor_count,
            should_hand_over=lambda: should_hand_over(self),
            unanswered_since=lambda endpoint: (
                unanswered_since() if endpoint == "a1" and cluster["a1"].silent else 0.0
            ),
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


async def wait_for_term(
    vm: Vm, term: int, *, limit_s: float = FAILOVER_LIMIT_S
) -> bool:
    """Wait until the VM knows a primary of the term; False at the time limit."""
    deadline = asyncio.get_running_loop().time() + limit_s
    while asyncio.get_running_loop().time() < deadline:
        if vm.group.term == term and vm.group.primary is not None:
            return True
        await asyncio.sleep(0.02)
    return False


async def lose_claim(vm: Vm, store: FakeStore) -> Claim:
    """Return a claim of a VM that another VM has taken since."""
    claim = await vm.claims.acquire("g")
    store.put(CLAIM_PREFIX + "g", None)
    await Claims(store, vm="vm2", clock=ManualClock()).acquire("g")
    return claim


def status(received: int, *, term: int = 1, lag_s: float = 0.0) -> EndpointStatus:
    return EndpointStatus(False, 1, LogPosition(term, received), 2, lag_s, 0, 1)


class ClaimLosingStore(FakeStore):
    """Has another VM's claim, with the same revision, once a roster was written."""

    async def compare_and_put(
        self, compares: Sequence[Compare], puts: Sequence[Put], **options: float
    ) -> PutResult:
        result = await super().compare_and_put(compares, puts, **options)
        key = CLAIM_PREFIX + "g"
        if puts[0].key == ROSTER_PREFIX + "g":
            self.items[key] = KeyValue(key, b"vm2", self.items[key].revision)
        return result


class ShortestPauses(Random):
    """Draws the lower bound of each range."""

    def uniform(self, a: float, b: float) -> float:
        return a


class TestChooseReplica:
    def test_chooses_the_replica_with_the_most_log(self, cluster: FakeCluster) -> None:
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

    def test_among_equals_chooses_the_one_with_less_apply_lag(
        self, cluster: FakeCluster
    ) -> None:
        chosen = choose_replica(
            {"b1": status(5, lag_s=0.4), "c1": status(5)},
            cluster.infos,
            acknowledged=LogPosition(1, 5),
        )
        assert chosen == "c1"


class TestPrimaryFailureDetector:
    def _detector(
        self, cluster: FakeCluster
    ) -> tuple[PrimaryFailureDetector, ReplicationGroup]:
        clock = ManualClock()
        group = ReplicationGroup("g", zone="a", dialer=cluster, clock=clock)
        group.update_endpoints(cluster.infos)
        return PrimaryFailureDetector(group, clock=clock), group

    async def test_one_missing_answer_is_not_a_failure(
        self, cluster: FakeCluster
    ) -> None:
        detector, group = self._detector(cluster)
        group.controls["a1"].failure = "silent"
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_LIMIT_S * 2)
        assert detector.verdict() is None

    async def test_missing_answers_count_after_the_silent_limit(
        self, cluster: FakeCluster
    ) -> None:
        detector, group = self._detector(cluster)
        group.controls["a1"].failure = "silent"
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_LIMIT_S + MARGIN_S)
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        assert detector.verdict() == "silent"

    async def test_refused_connections_count_sooner(self, cluster: FakeCluster) -> None:
        detector, group = self._detector(cluster)
        group.controls["a1"].failure = "ConnectionRefusedError"
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        await asyncio.sleep(REFUSED_LIMIT_S + MARGIN_S)
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        assert detector.verdict() == "refused"

    async def test_an_answer_clears_the_suspicion(self, cluster: FakeCluster) -> None:
        detector, group = self._detector(cluster)
        group.controls["a1"].failure = "silent"
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        detector.record_check("a1", answered=True, asked_at=ManualClock().monotonic())
        await asyncio.sleep(SILENT_LIMIT_S + MARGIN_S)
        detector.record_check("a1", answered=False, asked_at=ManualClock().monotonic())
        assert detector.verdict() is None

    @pytest.mark.parametrize("failure", ["busy", "too_many_connections"])
    async def test_an_overloaded_primary_is_not_suspected(
        self, cluster: FakeCluster, failure: str
    ) -> None:
        detector, group = self._detector(cluster)
        group.controls["a1"].failure = failure
        for _ in range(5):
            detector.record_check(
                "a1", answered=False, asked_at=ManualClock().monotonic()
            )
            await asyncio.sleep(SILENT_LIMIT_S)
        assert detector.verdict() is None

    async def test_commits_that_reach_no_replica_are_a_stall(
        self, cluster: FakeCluster
    ) -> None:
        detector, _ = self._detector(cluster)
        behind = [LogPosition(1, 4), LogPosition(1, 3)]
        detector.record_replication(LogPosition(1, 6), behind)
        await asyncio.sleep(STALLED_LIMIT_S + MARGIN_S)
        detector.record_replication(LogPosition(1, 6), behind)
        assert detector.verdict() == "stalled"

    async def test_lagging_replicas_are_not_a_stall(self, cluster: FakeCluster) -> None:
        detector, _ = self._detector(cluster)
        for number in range(1, 10):
            detector.record_replication(
                LogPosition(1, number + 2), [LogPosition(1, number), LogPosition(1, 0)]
            )
            await asyncio.sleep(STALLED_LIMIT_S / 2)
        assert detector.verdict() is None


class TestClaims:
    async def test_only_one_vm_acquires_the_claim(self, store: FakeStore) -> None:
        first = Claims(store, vm="vm1", clock=ManualClock())
        second = Claims(store, vm="vm2", clock=ManualClock())
        claim = await first.acquire("g")
        assert claim is not None
        assert await second.acquire("g") is None

    async def test_a_released_claim_can_be_acquired_at_once(
        self, store: FakeStore
    ) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.acquire("g")
        await claims.release(claim)
        later = await Claims(store, vm="vm2", clock=ManualClock()).acquire("g")
        assert later is not None

    async def test_a_put_whose_answer_was_lost_is_found(self, store: FakeStore) -> None:
        store.lose_answers = 1
        claim = await Claims(store, vm="vm1", clock=ManualClock()).acquire("g")
        assert claim is not None
        assert claim.revision == store.items[CLAIM_PREFIX + "g"].revision

    async def test_a_claim_whose_key_was_removed_is_not_valid(
        self, store: FakeStore
    ) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.acquire("g")
        store.put(CLAIM_PREFIX + "g", None)
        await Claims(store, vm="vm2", clock=ManualClock()).acquire("g")
        assert not await claims.is_valid(claim)

    async def test_a_frozen_holder_finds_its_claim_expired(
        self, store: FakeStore
    ) -> None:
        clock = ManualClock()
        claims = Claims(store, vm="vm1", clock=clock)
        claim = await claims.acquire("g")
        clock.advance(LEASE_S)
        assert not await claims.is_valid(claim)

    async def test_no_claim_is_valid_without_the_store(self, store: FakeStore) -> None:
        claims = Claims(store, vm="vm1", clock=ManualClock())
        claim = await claims.acquire("g")
        store.unavailable = True
        assert not await claims.is_valid(claim)


class TestSuspicions:
    @staticmethod
    async def agreeing(store: FakeStore, *, primary: str = "a1") -> int:
        votes = await Suspicions(store, vm="reader").list_votes(
            "g", term=1, primary=primary
        )
        return sum(not vote.is_objection for vote in votes)

    async def test_one_of_a_vm_that_ended_does_not_count_later(
        self, store: FakeStore
    ) -> None:
        """Guards against replacing a healthy primary on a vote that was left behind.

        A VM that was killed can't withdraw its suspicion, and does not know of it after
        its restart.
        """
        lease = await store.grant_lease(10)
        suspicions = Suspicions(store, vm="vm1", lease=lambda: lease)
        none = LogPosition(0, 0)
        assert await suspicions.publish("g", term=1, primary="a1", acknowledged=none)
        assert await self.agreeing(store) == 1
        await asyncio.sleep(11)
        assert await self.agreeing(store) == 0

    async def test_one_whose_lease_has_ended_is_stored_again(
        self, store: FakeStore
    ) -> None:
        """Guards against a vote that the store lost and the VM takes for stored."""
        leases = [await store.grant_lease(60) for _ in range(2)]
        suspicions = Suspicions(store, vm="vm1", lease=lambda: leases[0])
        none = LogPosition(0, 0)
        assert await suspicions.publish("g", term=1, primary="a1", acknowledged=none)
        store.end_lease(leases.pop(0))
        assert await self.agreeing(store) == 0
        assert await suspicions.publish("g", term=1, primary="a1", acknowledged=none)
        assert await self.agreeing(store) == 1

    async def test_a_withdrawn_one_that_the_store_restored_is_deleted(
        self, store: FakeStore
    ) -> None:
        """Guards against replacing a healthy primary on a vote from an older copy."""
        history = StoreHistory()
        suspicions = Suspicions(store, vm="vm1", history=history)
        none = LogPosition(0, 0)
        assert await suspicions.publish("g", term=1, primary="a1", acknowledged=none)
        copy = dict(store.items)
        await suspicions.withdraw("g")
        assert await self.agreeing(store) == 0
        store.items = copy
        history.begin_next_era()
        await suspicions.withdraw("g")
        assert await self.agreeing(store) == 0
        calls = store.calls
        await suspicions.withdraw("g")
        assert store.calls == calls

    async def test_a_late_one_that_the_vm_did_not_keep_is_deleted(
        self, store: FakeStore
    ) -> None:
        """Guards against replacing a healthy primary on a vote without an answer."""
        suspicions = Suspicions(store, vm="vm1")
        store.lose_answers = 1
        none = LogPosition(0, 0)
        stored = suspicions.publish("g", term=1, primary="a1", acknowledged=none)
        assert not await stored
        assert await self.agreeing(store) == 1
        self.watch(store, suspicions)
        await suspicions.withdraw("g")
        assert await self.agreeing(store) == 0

    @pytest.mark.parametrize("late", ["put", "deletion"])
    async def test_one_that_a_late_call_replaced_is_stored_again(
        self, store: FakeStore, late: str
    ) -> None:
        """Guards against an objection that is stored after a later suspicion."""
        suspicions = Suspicions(store, vm="vm1")
        assert await suspicions.object("g", term=1, primary="a1")
        (item,) = store.items.values()
        none = LogPosition(0, 0)
        for _ in range(2):
            assert await suspicions.publish(
                "g", term=1, primary="a1", acknowledged=none
            )
            assert await self.agreeing(store) == 1
            store.put(item.key, item.value if late == "put" else None)
            self.watch(store, suspicions)
        assert await self.agreeing(store) == 0

    async def test_the_change_by_its_own_call_costs_no_further_one(
        self, store: FakeStore
    ) -> None:
        suspicions = Suspicions(store, vm="vm1")
        none = LogPosition(0, 0)
        for _ in range(2):
            assert await suspicions.publish(
                "g", term=1, primary="a1", acknowledged=none
            )
            self.watch(store, suspicions)
            assert store.calls == 1

    @staticmethod
    def watch(store: FakeStore, suspicions: Suspicions) -> None:
        """Tell of the present vote of vm1, or of its deletion."""
        key = "suspects/g/vm1"
        item = store.items.get(key)
        value = item.value if item is not None else None
        suspicions.apply_change(WatchEvent(key, value, store.revision))

    async def test_a_vm_that_knows_no_primary_agrees(self, store: FakeStore) -> None:
        """Guards against votes of VMs that started after the primary had failed."""
        none = LogPosition(0, 0)
        for vm, primary in (("vm1", "a1"), ("vm2", UNKNOWN_PRIMARY)):
            suspicions = Suspicions(store, vm=vm)
            assert await suspicions.publish(
                "g", term=1, primary=primary, acknowledged=none
            )
        assert await self.agreeing(store) == 2
        assert await self.agreeing(store, primary=UNKNOWN_PRIMARY) == 2
        assert await self.agreeing(store, primary="b1") == 1

    async def test_votes_are_read_less_and_less_often(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against ten calls a second while most VMs can't vote."""
        vm = Vm(cluster, store, monitor_count=4)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        await asyncio.sleep(2)
        calls = store.calls
        await asyncio.sleep(8)
        assert store.calls - calls <= 8 / MAX_AGREEMENT_PAUSE_S + 2
        await vm.stop()

    async def test_a_vote_is_stored_again_when_later_commits_were_confirmed(
        self, store: FakeStore
    ) -> None:
        """Guards against a choice that lacks what was confirmed since the vote."""
        suspicions = Suspicions(store, vm="vm1")
        for number in (1, 9):
            assert await suspicions.publish(
                "g", term=1, primary="a1", acknowledged=LogPosition(1, number)
            )
        (vote,) = await suspicions.list_votes("g", term=1, primary="a1")
        assert vote.acknowledged == (1, 9)


class TestObjections:
    """Votes of VMs that the primary answers, while most VMs cannot reach the store."""

    VOTERS = 2
    MONITORS = 6

    async def replaced(
        self, cluster: FakeCluster, store: FakeStore, *, voters: int = VOTERS
    ) -> bool:
        """Whether a silent primary is replaced that some of the VMs suspect."""
        vms = [
            Vm(cluster, store, f"vm{n}", monitor_count=self.MONITORS)
            for n in range(voters)
        ]
        for vm in vms:
            vm.run()
        assert await wait_for_term(vms[0], 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        assert not await wait_for_term(vms[0], 2, limit_s=OBJECTION_WAIT_S)
        replaced = await wait_for_term(vms[0], 2)
        for vm in vms:
            await vm.stop()
        return replaced

    async def test_a_failed_primary_is_replaced_though_most_vms_cannot_vote(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against no primary until the leases of the other VMs expire."""
        assert await self.replaced(cluster, store)
        assert len(cluster.promotions) == 1

    async def test_a_primary_that_answers_a_vm_is_not_replaced(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        objecting = Suspicions(store, vm="vm9")
        assert await objecting.object("g", term=1, primary="a1")
        assert not await self.replaced(cluster, store)
        assert not cluster.promotions

    async def test_one_vm_alone_does_not_replace_a_primary(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        assert not await self.replaced(cluster, store, voters=1)

    async def test_the_time_for_objections_starts_again_after_an_outage(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a failover before objections of this time can be seen."""
        vms = [
            Vm(cluster, store, f"vm{n}", monitor_count=self.MONITORS)
            for n in range(self.VOTERS)
        ]
        for vm in vms:
            vm.run()
        assert await wait_for_term(vms[0], 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        await asyncio.sleep(OBJECTION_WAIT_S)
        store.unavailable = True
        await asyncio.sleep(OBJECTION_WAIT_S)
        store.unavailable = False
        assert not await wait_for_term(vms[0], 2, limit_s=OBJECTION_WAIT_S)
        assert await wait_for_term(vms[0], 2)
        for vm in vms:
            await vm.stop()

    async def test_a_vm_that_the_primary_answers_objects_until_the_suspicion_ends(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, monitor_count=self.MONITORS)
        vm.run()
        assert await wait_for_term(vm, 1)
        key = f"{SUSPICION_PREFIX}g/vm9"
        value = msgspec.json.encode(Vote("vm9", 1, "a1", (0, 0)))
        vm.suspicions.apply_change(WatchEvent(key, value, 1))
        await asyncio.sleep(1)
        votes = await vm.suspicions.list_votes("g", term=1, primary="a1")
        assert [vote.vm for vote in votes if vote.is_objection] == ["vm1"]
        vm.suspicions.apply_change(WatchEvent(key, None, 2))
        await asyncio.sleep(1)
        assert not await vm.suspicions.list_votes("g", term=1, primary="a1")
        await vm.stop()

    async def test_a_vm_that_suspects_the_primary_itself_does_not_object(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, monitor_count=self.MONITORS)
        vm.run()
        assert await wait_for_term(vm, 1)
        value = msgspec.json.encode(Vote("vm9", 1, "a1", (0, 0)))
        key = f"{SUSPICION_PREFIX}g/vm9"
        vm.suspicions.apply_change(WatchEvent(key, value, 1))
        await asyncio.sleep(1)
        cluster["a1"].silent = True
        await asyncio.sleep(3)
        votes = await vm.suspicions.list_votes("g", term=1, primary="a1")
        assert [vote.is_objection for vote in votes] == [False]
        await vm.stop()


class TestFailover:
    async def test_a_crashed_primary_is_replaced(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        await cluster.commit(cluster["a1"])
        cluster["a1"].refusing = True
        assert await wait_for_term(vm, 2)
        assert cluster[vm.group.primary].log == cluster["a1"].log
        await vm.stop()

    async def test_a_silent_primary_is_replaced_when_half_of_the_vms_agree(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vms = [Vm(cluster, store, f"vm{n}", monitor_count=4) for n in range(2)]
        for vm in vms:
            vm.run()
        assert await wait_for_term(vms[0], 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        assert await wait_for_term(vms[0], 2)
        assert len(cluster.promotions) == 1
        for vm in vms:
            await vm.stop()

    async def test_unanswered_statements_count_as_silence(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a detection that starts over at the first status request.

        Two status requests without an answer take about as long as the limit, so that
        half of the time, with short pauses, a third one had to fail 0.4 s later.
        """
        silent_at: list[float] = []
        vm = Vm(cluster, store, unanswered_since=lambda: silent_at[0])
        vm.supervisor._random = ShortestPauses()
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        loop = asyncio.get_running_loop()
        silent_at.append(loop.time())
        await asyncio.sleep(0.2)
        vm.group.check_requested.set()
        assert await wait_for_term(vm, 2)
        requests = 2 * ASK_TIMEOUT_S + 1.2 * SUSPECT_INTERVAL_S
        detected_s = loop.time() - silent_at[0] - PROMOTION_S
        assert detected_s < 0.2 + requests + ANSWER_LIMIT_S
        await vm.stop()

    async def test_a_primary_that_only_one_vm_suspects_is_not_replaced(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, monitor_count=4)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["a1"].silent = True
        assert not await wait_for_term(vm, 2)
        assert not cluster.promotions
        assert not any(
            isinstance(command, PauseReceiving)
            for endpoint in cluster.endpoints.values()
            for command in endpoint.commands
        )
        await vm.stop()

    async def test_an_unreachable_replica_may_have_the_only_copy(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against losing a commit whose two copies are both cut off.

        Found by the bench scenario trouble-3, seed 673452150923: a partition cut off
        the zone of the primary and of the only replica that had the commit.
        """
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["b1"].replication_cut = True
        await cluster.commit(cluster["a1"])
        cluster["a1"].silent = cluster["c1"].silent = True
        # The endpoints are cut off from the store too, so their entries expire.
        vm.group.update_endpoints({"b1": cluster["b1"].info})
        assert not await wait_for_term(vm, 2)
        assert not cluster.promotions
        cluster["a1"].refusing, cluster["c1"].silent = True, False
        vm.group.update_endpoints(cluster.infos)
        assert await wait_for_term(vm, 2)
        assert vm.group.primary == "c1"
        await vm.stop()

    async def replace_without_c1(
        self, cluster: FakeCluster, store: FakeStore, *, b1_follows: bool
    ) -> tuple[Vm, LogPosition]:
        """Let c1 be lost, and the primary drain; return a commit and the VM."""
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["b1"].replication_cut = not b1_follows
        position = await cluster.commit(cluster["a1"])
        cluster["c1"].silent = True
        await asyncio.sleep(1)
        cluster["a1"].info = replace(cluster["a1"].info, draining=True)
        vm.group.update_endpoints(cluster.infos)
        await wait_for_term(vm, 2)
        await vm.stop()
        return vm, position

    async def test_a_lost_replica_does_not_keep_a_primary_that_answers(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a drained primary that nothing replaces for a minute."""
        vm, position = await self.replace_without_c1(cluster, store, b1_follows=True)
        assert vm.group.primary == "b1" and cluster["b1"].received >= position
        assert not cluster["a1"].is_primary

    async def test_a_lost_replica_may_have_what_no_other_has_received(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        _, position = await self.replace_without_c1(cluster, store, b1_follows=False)
        assert not cluster.promotions
        assert cluster["a1"].is_primary and cluster["a1"].received == position

    async def test_a_restarted_vm_reads_the_members_from_the_store(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        await vm.stop()
        cluster["b1"].replication_cut = True
        await cluster.commit(cluster["a1"])
        cluster["a1"].silent = cluster["c1"].silent = True
        restarted = Vm(cluster, store, "vm2")
        restarted.group.update_endpoints({"b1": cluster["b1"].info})
        restarted.run()
        assert not await wait_for_term(restarted, 2)
        assert not cluster.promotions
        await restarted.stop()

    async def test_a_claim_lost_before_the_call_promotes_nobody(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        claim = await lose_claim(vm, store)
        cluster["a1"].refusing = True
        assert not await vm.coordinator._replace(claim, cluster, LogPosition(0, 0))
        assert not cluster.promotions

    async def test_the_call_has_the_token_of_the_seal(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        assert await vm.coordinator.replace(
            "draining", term=1, acknowledged=LogPosition(0, 0)
        )
        stored = await GroupRoster("g", store, clock=ManualClock()).read()
        assert cluster.promotions == [("b1", "vm1", stored.seal_token)]
        assert stored.seal_token == stored.fence > 0

    async def test_replicas_of_a_later_term_do_not_count_as_paused(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a token of an earlier term after one of a later term."""
        vm = Vm(cluster, store)
        needed = {name: cluster[name].info for name in ("b1", "c1")}
        for name in needed:
            cluster[name].term, cluster[name].held_term = 3, 4
        assert await vm.coordinator._pause_all(needed, 1) is None

    async def test_a_claim_that_the_store_lost_after_the_seal_promotes_nobody(
        self, cluster: FakeCluster
    ) -> None:
        """Guards against two holders: another VM can claim since, and call first."""
        vm = Vm(cluster, ClaimLosingStore())
        await vm.group.refresh()
        assert not await vm.coordinator.replace(
            "draining", term=1, acknowledged=LogPosition(0, 0)
        )
        assert not cluster.promotions
        assert cluster["a1"].is_primary

    async def test_a_claim_that_was_confirmed_long_before_the_call_promotes_nobody(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a call after another holder's: that one waits 1.5 s."""
        vm = Vm(cluster, store)
        await vm.group.refresh()
        demote = vm.coordinator._demote

        async def demote_late(*arguments: object) -> None:
            await demote(*arguments)
            vm.claims._clock.advance(1.0)

        vm.coordinator._demote = demote_late
        assert not await vm.coordinator.replace(
            "draining", term=1, acknowledged=LogPosition(0, 0)
        )
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

    async def test_a_holder_that_lost_its_claim_does_not_end_the_next_ones_pause(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        await vm.group.refresh()
        claim = await lose_claim(vm, store)
        missing = LogPosition(1, 99)
        assert not await vm.coordinator._replace(claim, cluster, missing)
        assert cluster["b1"].held_term == cluster["c1"].held_term == 2

    async def test_another_vm_continues_after_a_holder_killed_after_the_pause(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        first = Vm(cluster, store, "vm1")
        first.run()
        assert await wait_for_term(first, 1)
        await asyncio.sleep(3)
        await first.stop()
        await first.claims.acquire("g")
        first_token = first.roster.next_token(1)
        await first.coordinator._pause_all(
            {name: cluster[name].info for name in ("b1", "c1")}, 1
        )
        cluster["a1"].silent = True
        second = Vm(cluster, store, "vm2")
        second.run()
        await asyncio.sleep(LEASE_S)
        assert await wait_for_term(second, 2)
        (_, holder, token) = cluster.promotions[-1]
        assert holder == "vm2"
        assert token > first_token
        await second.stop()

    async def test_a_holder_that_stood_still_after_its_seal_sends_no_lower_token(
        self,
        cluster: FakeCluster,
        store: FakeStore,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        first, second = Vm(cluster, store, "vm1"), Vm(cluster, store, "vm2")
        others: list[asyncio.Task[bool]] = []
        check_pauses = first.coordinator._still_paused

        def replace_primary(vm: Vm) -> Awaitable[bool]:
            return vm.coordinator.replace(
                "draining", term=1, acknowledged=LogPosition(0, 0)
            )

        async def check_pauses_late(
            paused: dict[str, EndpointStatus], term: int
        ) -> bool:
            store.end_lease(max(store.leases))
            others.append(asyncio.create_task(replace_primary(second)))
            await asyncio.sleep(MAX_DECISION_S - SHORT_S)
            return await check_pauses(paused, term)

        for vm in (first, second):
            await vm.group.refresh()
        monkeypatch.setattr(first.coordinator, "_still_paused", check_pauses_late)
        await replace_primary(first)
        await asyncio.gather(*others)
        tokens = [token for _, _, token in cluster.promotions]
        assert tokens == sorted(tokens)

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
        """Guards against losing a commit that a restarted replica acknowledges.

        The restart ends the replica's pause, so the unreachable old primary may still
        get a commit acknowledged. model/promotion.py finds this trace if the replica
        is not paused again.
        """
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

    async def test_a_promotion_whose_answer_was_lost_is_not_repeated(
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

    async def test_a_primary_cut_off_from_its_replicas_is_replaced(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["b1"].replication_cut = cluster["c1"].replication_cut = True
        writing = asyncio.create_task(cluster.commit(cluster["a1"]))
        assert await wait_for_term(vm, 2)
        assert not cluster["a1"].is_primary
        writing.cancel()
        await vm.stop()


class FakeClaims:
    """Claims whose `acquire` is scripted."""

    def __init__(self, acquire: Callable[[str], Awaitable[None]]) -> None:
        self.acquire = acquire


class TestDepartedMembers:
    """Members that were replaced by plan must not hold up a later failover."""

    @staticmethod
    async def hand_over(cluster: FakeCluster, vm: Vm) -> str:
        """Replace the draining primary a1; return the new primary."""
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        cluster["a1"].info = replace(cluster["a1"].info, draining=True)
        vm.group.update_endpoints(cluster.infos)
        assert await wait_for_term(vm, 2)
        cluster["a1"].is_primary = False
        cluster["a1"].term = 2
        await asyncio.sleep(3)
        return vm.group.primary

    @staticmethod
    def remaining(cluster: FakeCluster) -> dict[str, EndpointInfo]:
        return {name: info for name, info in cluster.infos.items() if name != "a1"}

    async def test_one_whose_machine_is_gone_is_not_needed(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a group without a primary for as long as a cut lasts.

        Seen on trouble-1 of tianyuan-hq: the former primary refused connections for a
        moment when its process ended. When the register dropped it, its machine was
        gone and answered nothing.
        """
        cluster.endpoints["z2"] = FakeEndpoint("z2", zone="a")
        vm = Vm(cluster, store)
        primary = await self.hand_over(cluster, vm)
        cluster["a1"].refusing = True
        cluster["a1"].restart()
        await asyncio.sleep(0.5)
        cluster["a1"].refusing, cluster["a1"].silent = False, True
        vm.group.update_endpoints(self.remaining(cluster))
        await asyncio.sleep(1.0)
        cluster[primary].silent = True
        assert await wait_for_term(vm, 3)
        await vm.stop()

    @pytest.mark.parametrize("zone_answers", [True, False])
    async def test_a_closed_connection_shows_the_end_unless_the_zone_is_cut_off(
        self, cluster: FakeCluster, store: FakeStore, zone_answers: bool
    ) -> None:
        """Guards against missing an end whose refusals nobody saw.

        The machine answers nothing as soon as the process has ended. A partition that
        resets connections looks the same, but the rest of the zone is silent then.
        """
        cluster.endpoints["z2"] = FakeEndpoint("z2", zone="a")
        vm = Vm(cluster, store)
        primary = await self.hand_over(cluster, vm)
        cluster["a1"].restart()
        cluster["a1"].silent = True
        cluster["z2"].silent = not zone_answers
        await asyncio.sleep(1.0)
        vm.group.update_endpoints(self.remaining(cluster))
        await asyncio.sleep(0.5)
        cluster[primary].silent, cluster["z2"].silent = True, False
        assert await wait_for_term(vm, 3) == zone_answers
        await vm.stop()

    async def test_one_that_may_run_still_holds_a_failover_up(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against forgetting the only holder of a commit.

        A member that drains and is cut off from the store with its primary may still
        receive and acknowledge.
        """
        vm = Vm(cluster, store)
        primary = await self.hand_over(cluster, vm)
        cluster["a1"].silent = cluster[primary].silent = True
        vm.group.update_endpoints(self.remaining(cluster))
        assert not await wait_for_term(vm, 3)
        await vm.stop()

    async def test_its_end_is_noticed_at_once(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a probe that comes after the zone was cut off."""
        cluster.endpoints["z2"] = FakeEndpoint("z2", zone="a")
        vm = Vm(cluster, store)
        await self.hand_over(cluster, vm)
        cluster["a1"].refusing = True
        vm.group.update_endpoints(self.remaining(cluster))
        vm.group.refresh_soon()
        await asyncio.sleep(0.15)
        assert not vm.roster.absent_drained_members()
        await vm.stop()

    async def test_a_silent_one_does_not_delay_the_detection(
        self, cluster: FakeCluster, store: FakeStore, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against checks of the primary that wait for a member that is gone.

        Each probe of a silent member takes 0.3 s, and a check used to wait for it.
        """
        vm = Vm(cluster, store)
        primary = await self.hand_over(cluster, vm)
        cluster["a1"].silent = True
        vm.group.update_endpoints(self.remaining(cluster))
        # Probes at each check, so that the test does not depend on their phase.
        monkeypatch.setattr(supervisor, "DRAINED_CHECK_INTERVAL_S", 0.01)
        await asyncio.sleep(1.0)
        started = asyncio.get_running_loop().time()
        steps = []
        claimed = asyncio.Event()
        ask = vm.group.ask

        async def record(endpoint: str) -> EndpointStatus | None:
            if endpoint == primary and not claimed.is_set():
                steps.append(asyncio.get_running_loop().time() - started)
            return await ask(endpoint)

        async def refuse_claim(group: str) -> None:
            claimed.set()

        vm.group.ask = record
        vm.coordinator._claims = FakeClaims(refuse_claim)
        cluster[primary].silent = True
        async with asyncio.timeout(FAILOVER_LIMIT_S):
            await claimed.wait()
        gaps = [after - before for before, after in pairwise(steps)]
        assert max(gaps) < 2 * ASK_TIMEOUT_S
        await vm.stop()

    async def test_an_unexpected_error_does_not_end_the_checks(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        calls = []

        async def fail() -> None:
            calls.append(1)
            raise KeyError("scripted")

        vm.group.ask_unknown = fail
        vm.run()
        assert await wait_for_term(vm, 1)
        await asyncio.sleep(3)
        assert len(calls) >= 2
        await vm.stop()


class TestSharedRoster:
    """Several VMs record the members of one term."""

    @staticmethod
    def roster(cluster: FakeCluster, store: FakeStore) -> GroupRoster:
        roster = GroupRoster("g", store, clock=ManualClock())
        roster.record_members(
            term=1, primary="b1", members=cluster.infos, registered=cluster.infos
        )
        return roster

    async def test_a_vm_that_did_not_see_the_end_does_not_add_a_member_again(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        first, second = (self.roster(cluster, store) for _ in range(2))
        gone = cluster["a1"].info
        registered = {n: i for n, i in cluster.infos.items() if n != "a1"}
        for roster in (first, second):
            assert await roster.write()
            roster.record_members(
                term=1, primary="b1", members=registered, registered=registered
            )
        first.remove_member(gone)
        first.record_members(
            term=1, primary="b1", members=registered, registered=registered
        )
        assert first.needs_write and await first.write()
        assert await second.write()
        assert not second.needs_write
        stored = await second.read()
        assert {member.id for member in stored.members} == {"b1", "c1"}
        restarted = GroupRoster("g", store, clock=ManualClock())
        stored = await restarted.read()
        needed = restarted.endpoints_to_pause(stored, term=1, registered=registered)
        assert set(needed) == {"c1"}

    async def test_one_that_the_store_lost_is_written_again(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a promotion without the only holder of a commit.

        A VM that starts later knows of a member that is cut off only from the store.
        """
        history = StoreHistory()
        roster = GroupRoster("g", store, clock=ManualClock(), history=history)
        copy = dict(store.items)
        for term, primary in ((1, "b1"), (2, "c1")):
            roster.record_members(
                term=term,
                primary=primary,
                members=cluster.infos,
                registered=cluster.infos,
            )
            assert await roster.write()
        assert not roster.needs_write
        store.items = copy
        history.begin_next_era()
        assert roster.needs_write and await roster.write()
        assert not roster.needs_write
        stored = await GroupRoster("g", store, clock=ManualClock()).read()
        assert (stored.term, stored.primary, len(stored.members)) == (2, "c1", 3)

    async def test_what_another_vm_wrote_survives_a_restore(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against forgetting what this VM knows from the lost roster only."""
        history = StoreHistory()
        writer = self.roster(cluster, store)
        assert await writer.write()
        roster = GroupRoster("g", store, clock=ManualClock(), history=history)
        assert (await roster.read()).size == 3
        known = {"b1": cluster["b1"].info}
        roster.record_members(term=1, primary="b1", members=known, registered=known)
        store.items = {}
        history.begin_next_era()
        assert roster.needs_write and await roster.write()
        stored = await GroupRoster("g", store, clock=ManualClock()).read()
        assert (stored.size, len(stored.members)) == (3, 3)

    async def test_a_member_that_is_registered_is_needed(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        """Guards against a wrong conclusion about an endpoint that runs."""
        roster = self.roster(cluster, store)
        roster.remove_member(cluster["a1"].info)
        roster.record_members(
            term=1, primary="b1", members=cluster.infos, registered=cluster.infos
        )
        assert await roster.write()
        stored = await roster.read()
        needed = roster.endpoints_to_pause(stored, term=1, registered=cluster.infos)
        assert set(needed) == {"a1", "c1"}


class TestRelief:
    async def test_an_overloaded_primary_hands_over(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store, should_hand_over=lambda vm: vm.group.term == 1)
        await cluster.commit(cluster["a1"])
        vm.run()
        assert await wait_for_term(vm, 2)
        assert vm.group.primary != "a1"
        assert cluster[vm.group.primary].log == cluster["a1"].log
        assert not cluster["a1"].is_primary
        await vm.stop()

    async def test_vms_that_request_a_handover_together_promote_once(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        def should_hand_over(vm: Vm) -> bool:
            return vm.group.term == 1

        vms = [
            Vm(
                cluster,
                store,
                f"vm{n}",
                monitor_count=4,
                should_hand_over=should_hand_over,
            )
            for n in range(4)
        ]
        for vm in vms:
            vm.run()
        assert await wait_for_term(vms[0], 2)
        await asyncio.sleep(5)
        assert len(cluster.promotions) == 1
        for vm in vms:
            await vm.stop()

    async def test_a_replacement_requested_for_an_older_term_changes_nothing(
        self, cluster: FakeCluster, store: FakeStore
    ) -> None:
        vm = Vm(cluster, store)
        vm.run()
        assert await wait_for_term(vm, 1)
        done = await vm.coordinator.replace(
            "replicas_behind", term=0, acknowledged=LogPosition(0, 0)
        )
        assert done and not cluster.promotions
        assert await vm.claims.acquire("g") is not None
        await vm.stop()
