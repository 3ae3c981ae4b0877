"""A promotion call that the platform hasn't answered must not be overtaken.

The endpoints and the store are fakes, on a virtual clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from fakes import event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster, FakeStore
from test_confirmed_commits import (
    NO_COMMIT,
    cluster,  # noqa: F401
    started_second_vm,
    started_vm,
    store,  # noqa: F401
)
from test_failover import Vm, wait_for_term

from celeryjunction.failover.claims import LEASE_S
from celeryjunction.failover.promotion_paths import PromotionPaths
from celeryjunction.ports import KeyValue, StoreUnavailable
from celeryjunction.replication.ports import (
    LogPosition,
    PromotionRequest,
    PromotionResult,
)
from celeryjunction.replication.roster import (
    CALL_LIMIT_S,
    SEAL_LIMIT_S,
    SEAL_TIMEOUT_S,
    GroupRoster,
)

SERVED_AGAIN_S = 30.0
"""Limit for a group of two VMs, one of which is never answered: two calls' waits."""


async def replace(vm: Vm, term: int = 1) -> bool:
    return await vm.coordinator.replace("silent", term=term, acknowledged=NO_COMMIT)


async def call_without_answer(vm: Vm, cluster: FakeCluster) -> None:  # noqa: F811
    cluster["a1"].silent = True
    cluster.promotion_answers = [PromotionResult.UNANSWERED]
    assert not await replace(vm)


class TestRepeatedCall:
    async def test_a_claim_lost_before_its_seal_leaves_the_first_call_unanswered(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        vm = await started_vm(cluster, store)
        await call_without_answer(vm, cluster)
        seal = GroupRoster.seal

        async def lose_claim_and_seal(
            self: GroupRoster, **arguments: object
        ) -> bool | None:
            store.items.pop("failover/g")
            return await seal(self, **arguments)

        with monkeypatch.context() as patch:
            patch.setattr(GroupRoster, "seal", lose_claim_and_seal)
            assert not await replace(vm)
        await check_still_awaited(vm, cluster, store)

    async def test_a_store_too_slow_for_its_seal_leaves_the_first_call_unanswered(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        await call_without_answer(vm, cluster)
        get = store.get

        async def get_slowly(key: str, *, timeout: float = 2.0) -> KeyValue | None:
            await asyncio.sleep(min(timeout, 0.35))
            if timeout <= SEAL_TIMEOUT_S:
                raise StoreUnavailable("slow")
            return await get(key, timeout=timeout)

        store.get = get_slowly
        assert not await replace(vm)
        store.get = get
        await check_still_awaited(vm, cluster, store)

    async def test_a_higher_token_that_the_store_lost_ends_the_repeats(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        await call_without_answer(vm, cluster)
        copy = dict(store.items)
        second = await started_second_vm(cluster, store)
        assert not await replace(second)
        await asyncio.sleep(SEAL_LIMIT_S)
        cluster.take_over = lambda name: None
        assert not await replace(second)
        del cluster.take_over
        await asyncio.sleep(LEASE_S)
        store.items = copy
        await asyncio.sleep(SEAL_LIMIT_S)
        await replace(vm)
        sent = [token for _, _, token in cluster.promotions]
        assert len(sent) == 3
        assert sent == sorted(sent)

    async def test_two_answered_calls_hold_up_no_failover_of_the_next_term(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        cluster["a1"].silent = True
        cluster.take_over = lambda name: None
        assert not await replace(vm)
        assert (await vm.roster.read()).answered == 1
        del cluster.take_over
        assert await replace(vm)
        assert len(cluster.promotions) == 2
        assert not vm.roster.must_await_call(2)


class TestAwaitedCall:
    async def test_a_seal_that_the_store_lost_is_awaited_by_a_vm_that_saw_it(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        copy = dict(store.items)
        await call_without_answer(vm, cluster)
        second = await started_second_vm(cluster, store)
        assert not await replace(second)
        store.items = copy
        second.roster._history.note_loss(reason="test")
        await replace(second)
        assert len(cluster.promotions) == 1
        await asyncio.sleep(SEAL_LIMIT_S)
        assert await replace(second)

    async def test_a_refusal_in_the_next_term_does_not_start_the_wait_anew(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        await call_without_answer(vm, cluster)
        assert await replace(vm)
        cluster["a1"].silent = False
        vm.run()
        await asyncio.sleep(3 * SEAL_LIMIT_S)
        await vm.stop()
        cluster.promotion_answers = [PromotionResult.REFUSED]
        assert not await replace(vm, 2)
        assert len(cluster.promotions) == 3
        assert not vm.roster.must_await_call(2)

    async def test_a_vm_that_starts_later_does_not_wait_for_an_old_call(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        await call_without_answer(vm, cluster)
        assert await replace(vm)
        vm.run()
        await asyncio.sleep(60 * SEAL_LIMIT_S)
        await vm.stop()
        second = await started_second_vm(cluster, store)
        second.run()
        await asyncio.sleep(2)
        await second.stop()
        assert not second.roster.must_await_call(2)

    async def test_a_vm_whose_calls_have_no_effect_does_not_keep_the_others_away(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        second = await started_second_vm(cluster, store)
        vm.coordinator._paths = PromotionPaths(UnansweredPath(cluster))
        cluster["a1"].silent = True
        assert not await replace(vm)
        vm.run()
        second.run()
        assert await wait_for_term(second, 2, limit_s=SERVED_AGAIN_S)
        await vm.stop()
        await second.stop()

    async def test_an_old_seal_does_not_end_the_wait_for_a_holder_whose_claim_is_lost(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        first = await started_vm(cluster, store)
        second = await started_second_vm(cluster, store)
        third = Vm(cluster, store, "vm3")
        await third.group.refresh()
        cluster.take_over = lambda name: None
        await call_without_answer(first, cluster)
        await second.roster.read()
        await third.roster.read()
        await asyncio.sleep(CALL_LIMIT_S)
        copy = dict(store.items)
        late = LatePath(cluster)
        second.coordinator._paths = PromotionPaths(late)
        calling = asyncio.create_task(replace(second))
        await late.is_called.wait()
        store.items = copy
        await asyncio.sleep(0.1)
        await asyncio.gather(calling, replace(third))
        tokens = [token for _, _, token in cluster.promotions]
        assert tokens == sorted(set(tokens))


class TestPromotionPaths:
    async def test_an_unexpected_error_ends_one_attempt_only(self) -> None:
        paths = PromotionPaths(FailingOnce())
        with pytest.raises(RuntimeError):
            await paths.take()
        assert await paths.take() is not None

    async def test_a_slow_answer_serves_the_next_attempt(self) -> None:
        paths = PromotionPaths(SlowPromoter())
        assert await paths.take() is None
        assert paths.was_silent
        await asyncio.sleep(0.2)
        assert await paths.take() is not None
        assert not paths.was_silent


async def check_still_awaited(
    vm: Vm,
    cluster: FakeCluster,  # noqa: F811
    store: FakeStore,  # noqa: F811
) -> None:
    """Fail if another VM may call although the first call was not answered."""
    roster = await vm.roster.read()
    assert (roster.seals, roster.answered) == (1, 0)
    second = await started_second_vm(cluster, store)
    await asyncio.sleep(LEASE_S)
    await replace(second)
    assert len(cluster.promotions) == 1


class UnansweredPath:
    """Promoter and path whose calls get no answer and have no effect."""

    def __init__(self, cluster: FakeCluster) -> None:  # noqa: F811
        self._cluster = cluster

    async def open_path(self) -> UnansweredPath:
        return self

    async def confirm(self) -> bool:
        return True

    def close(self) -> None:
        pass

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        if not request.is_due():
            return PromotionResult.REFUSED
        self._cluster.promotions.append(
            (request.endpoint, request.holder, request.fencing_token)
        )
        return PromotionResult.UNANSWERED


class LatePath:
    """Promoter and path that stand still for 0.4 s before the call is sent."""

    def __init__(self, cluster: FakeCluster) -> None:  # noqa: F811
        self._cluster = cluster
        self.is_called = asyncio.Event()

    async def open_path(self) -> LatePath:
        return self

    async def confirm(self) -> bool:
        return True

    def close(self) -> None:
        pass

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        self.is_called.set()
        await asyncio.sleep(0.4)
        return await self._cluster.promote(request)


class FailingOnce:
    """Promoter whose first attempt fails in an unexpected way."""

    def __init__(self) -> None:
        self._fails = True

    async def open_path(self) -> FakeCluster:
        if self._fails:
            self._fails = False
            raise RuntimeError("once")
        return FakeCluster()


class SlowPromoter:
    """Promoter whose answer takes longer than a VM waits."""

    async def open_path(self) -> FakeCluster:
        await asyncio.sleep(0.4)
        return FakeCluster()


class TestResumeOnItsWay:
    async def test_answered_commands_hold_up_nobody_though_the_store_was_away(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        vm = await started_vm(cluster, store)
        end_resume = GroupRoster.end_resume

        async def end_while_away(self: GroupRoster, resuming: str) -> None:
            store.unavailable = True
            await end_resume(self, resuming)
            store.unavailable = False

        monkeypatch.setattr(GroupRoster, "end_resume", end_while_away)
        assert not await give_up(vm)
        await asyncio.sleep(LEASE_S)
        cluster["a1"].silent = True
        assert await replace(vm)

    async def test_one_that_the_store_lost_is_awaited_by_a_vm_that_saw_it(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        """Guards against a RESUME that ends the pause of a later promotion."""
        vm = await started_vm(cluster, store)
        copy = dict(store.items)
        cluster["c1"].ignores_resume = True
        assert not await give_up(vm)
        second = await started_second_vm(cluster, store)
        await second.roster.read()
        store.items = copy
        second.roster._history.note_loss(reason="test")
        cluster["a1"].silent = True
        await replace(second)
        assert not cluster.promotions

    async def test_replicas_are_resumed_before_the_terms_roster_is_written(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        cluster["a1"].silent = True
        assert await replace(vm)
        old = cluster["a1"]
        old.silent = old.is_primary = False
        old.term, old.held_term = 2, 0
        await vm.group.refresh()
        assert not await give_up(vm, 2)
        assert not any(e.held_term for e in cluster.endpoints.values())

    async def test_replicas_are_resumed_though_the_store_is_slow(
        self,
        cluster: FakeCluster,  # noqa: F811
        store: FakeStore,  # noqa: F811
    ) -> None:
        vm = await started_vm(cluster, store)
        for name in ("get", "compare_and_put"):
            setattr(store, name, slowed(getattr(store, name)))
        assert not await give_up(vm)
        assert not any(e.held_term for e in cluster.endpoints.values())


async def give_up(vm: Vm, term: int = 1) -> bool:
    """Attempt a failover for which no replica has enough log."""
    missing = LogPosition(term, 10**6)
    return await vm.coordinator.replace("silent", term=term, acknowledged=missing)


def slowed(call: Callable[..., Awaitable[object]]) -> Callable[..., Awaitable[object]]:
    async def call_slowly(
        *arguments: object, timeout: float = 2.0, **options: object
    ) -> object:
        await asyncio.sleep(min(timeout, 0.35))
        if timeout <= SEAL_TIMEOUT_S:
            raise StoreUnavailable("slow")
        return await call(*arguments, timeout=timeout, **options)

    return call_slowly
