"""The platform must never see a fencing token that is lower than one before it.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from _cluster_support import Cluster, wait_for
from msgspec.json import encode
from msgspec.structs import replace
from replicated_fakes import FakeCluster, FakeStore

from bench.fence_judge import find_token_violations
from celeryjunction.failover.claims import Claims
from celeryjunction.platform.standin import PromotionCall
from celeryjunction.replication.ports import NO_POSITION
from celeryjunction.replication.roster import ROSTER_PREFIX, GroupRoster
from celeryjunction.store_history import StoreHistory

WRITES_SINCE_THE_COPY = 500
"""Changes that the restored store has lost."""


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    cluster = Cluster(tmp_path)
    await cluster.platform.start()
    yield cluster
    await cluster.close()


async def replace_crashed_primary(cluster: Cluster) -> None:
    """Let the primary crash, start it again once it was replaced, and wait for writes.

    The next failover can rely on what the VMs know of the new term by then.
    """
    primaries = [e for e in cluster.group.endpoints if e.is_primary]
    primary = max(primaries, key=lambda endpoint: endpoint.term)
    term = cluster.term
    await primary.stop()
    await wait_for(lambda: cluster.term > term)
    await primary.start(primary.port)
    await cluster.wait_for_writes()


class TestRestoredStore:
    @pytest.mark.parametrize("first_era", [0, 1, None])
    async def test_failovers_after_a_restore_have_higher_tokens(
        self, cluster: Cluster, first_era: int | None
    ) -> None:
        cluster.store.era = first_era
        for zone in range(3):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0])
        await cluster.wait_for_writes()
        copy = cluster.store.copy()
        for _ in range(WRITES_SINCE_THE_COPY):
            cluster.store.put("other/key", b"x")
        await replace_crashed_primary(cluster)
        cluster.platform.restore_store(copy)
        await replace_crashed_primary(cluster)
        cluster.platform.restore_store(copy)
        await replace_crashed_primary(cluster)
        assert len(cluster.store.received_calls) >= 3
        assert not find_token_violations(cluster.store.received_calls)
        cluster.check()


class TestTermsThatStartAgain:
    async def test_failover_after_endpoints_and_store_lost_all_has_a_higher_token(
        self, cluster: Cluster
    ) -> None:
        copy, endpoints = cluster.store.copy(), cluster.group.endpoints
        for zone in range(3):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0])
        await cluster.wait_for_writes()
        for _ in range(2):
            await replace_crashed_primary(cluster)
        for edge in cluster.edges:
            await edge.stop(signal.SIGKILL)
        for endpoint in endpoints:
            await endpoint.stop()
            endpoint.lose_data(is_primary=endpoint is endpoints[0])
        cluster.platform.restore_store(copy)
        for endpoint in endpoints:
            await endpoint.start(endpoint.port)
        for zone, edge in enumerate(cluster.edges):
            await edge.start(zone=zone)
        for edge in cluster.edges:
            await edge.wait_until_ready()
        await cluster.wait_for_writes()
        await replace_crashed_primary(cluster)
        assert len(cluster.store.received_calls) >= 3
        assert not find_token_violations(cluster.store.received_calls)


class SetClock:
    """Clock whose time of day is set."""

    def __init__(self, wall_s: float = 1_700_000_000.0) -> None:
        self.wall_s = wall_s

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.wall_s


class Holder:
    """A VM that seals the roster of the group ``g`` as a holder of the claim does."""

    def __init__(
        self,
        store: FakeStore,
        name: str,
        *,
        clock: SetClock | None = None,
        era: int = 1,
    ) -> None:
        clock, history = clock or SetClock(), StoreHistory()
        history.observe(era)
        self.infos = FakeCluster().infos
        self.roster = GroupRoster("g", store, clock=clock, history=history, vm=name)
        self._claims = Claims(store, vm=name, clock=clock)

    async def see_term(self, term: int, *, primary: str = "a1") -> bool:
        """Store the roster of a term, as VMs do once they know its primary."""
        self.roster.record_members(
            term=term, primary=primary, members=self.infos, registered=self.infos
        )
        return await self.roster.write()

    async def seal(self, term: int, *, token: int = 0) -> int:
        """Seal the roster of a term; return the token, 0 if it was not sealed."""
        await self.roster.read()
        claim = await self._claims.acquire("g")
        token = token or self.roster.next_token(term)
        sealed = await self.roster.seal(
            term=term,
            next_primary="b1",
            next_members=[self.infos["b1"], self.infos["c1"]],
            next_floor=NO_POSITION,
            paused=["b1", "c1"],
            claim=self._claims.condition(claim),
            token=token,
        )
        await self._claims.release(claim)
        return token if sealed else 0


class TestTokens:
    @pytest.fixture
    def store(self) -> FakeStore:
        return FakeStore()

    async def test_a_later_term_has_a_higher_token_though_all_else_is_lost(
        self, store: FakeStore
    ) -> None:
        first = Holder(store, "vm1", clock=SetClock(4_000_000_000.0))
        token = await first.seal(1)
        store.items.clear()
        store.revision = 0
        later = Holder(store, "vm2", clock=SetClock(0.0))
        assert await later.seal(2) > token > 0

    async def test_a_lost_token_of_the_same_term_is_not_used_again(
        self, store: FakeStore
    ) -> None:
        clock = SetClock()
        token = await Holder(store, "vm1", clock=clock).seal(1)
        store.items.clear()
        clock.wall_s += 0.1
        assert await Holder(store, "vm2", clock=clock).seal(1) > token > 0

    async def test_after_a_noticed_loss_clocks_do_not_matter(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        store.items.clear()
        other = Holder(store, "vm2", clock=SetClock(0.0), era=2)
        assert await other.seal(1) > token > 0

    async def test_a_later_era_has_a_higher_token_though_the_terms_start_again(
        self, store: FakeStore
    ) -> None:
        """Guards against endpoints that lose their terms together with the store."""
        token = await Holder(store, "vm1", clock=SetClock(4_000_000_000.0)).seal(3)
        store.items.clear()
        assert await Holder(store, "vm2", clock=SetClock(0.0), era=2).seal(1) > token

    @pytest.mark.parametrize("era", [2**11 - 1, 2**11, 2**23 - 1])
    async def test_an_era_beyond_its_bits_does_not_lower_the_token(
        self, store: FakeStore, era: int
    ) -> None:
        token = await Holder(store, "vm1", era=era).seal(1)
        store.items.clear()
        assert await Holder(store, "vm2", era=era + 1).seal(2) > token

    async def test_a_vm_that_knows_a_lost_token_exceeds_it_with_a_slow_clock(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        other = Holder(store, "vm2", clock=SetClock(0.0))
        await other.roster.read()
        store.items.clear()
        assert await other.seal(1) > token > 0

    async def test_a_holder_with_a_slow_clock_exceeds_the_stored_token(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        assert await Holder(store, "vm2", clock=SetClock(0.0)).seal(1) > token > 0

    async def test_a_token_that_is_not_the_highest_seals_nothing(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        assert not await Holder(store, "vm2").seal(1, token=token - 1)

    async def test_a_seal_of_another_vm_with_the_same_token_is_not_taken_for_ones_own(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        assert not await Holder(store, "vm2").seal(1, token=token)

    async def test_a_seal_whose_answer_was_lost_is_ones_own(
        self, store: FakeStore
    ) -> None:
        holder = Holder(store, "vm1")
        assert await holder.see_term(1)
        store.lose_answers = 2  # Of the claim and of the seal.
        assert await holder.seal(1)
        assert (await holder.roster.read()).seals == 1

    async def test_the_token_of_an_earlier_versions_seal_is_exceeded(
        self, store: FakeStore
    ) -> None:
        token = await Holder(store, "vm1").seal(1)
        stored = await Holder(store, "vm1").roster.read()
        value = encode(replace(stored, fence=0))
        store.put(ROSTER_PREFIX + "g", value)
        assert await Holder(store, "vm2", clock=SetClock(0.0)).seal(1) > token > 0

    async def test_a_refused_promotion_keeps_its_token_in_the_roster(
        self, store: FakeStore
    ) -> None:
        first = Holder(store, "vm1")
        token = await first.seal(1)
        assert await first.roster.unseal(token=token)
        assert await Holder(store, "vm2", clock=SetClock(0.0)).seal(1) > token > 0

    @pytest.mark.parametrize("is_refused", [False, True])
    async def test_the_roster_of_the_next_term_keeps_the_token(
        self, store: FakeStore, is_refused: bool
    ) -> None:
        first, other = Holder(store, "vm1"), Holder(store, "vm2")
        assert await first.see_term(1)
        token = await first.seal(1)
        assert not is_refused or await first.roster.unseal(token=token)
        assert await other.see_term(2, primary="b1")
        stored = await Holder(store, "vm3").roster.read()
        assert (stored.term, stored.highest_token) == (2, token)

    async def test_a_vm_writes_a_token_that_the_store_lost(
        self, store: FakeStore
    ) -> None:
        first = Holder(store, "vm1")
        assert await first.see_term(1)
        copy = store.items[ROSTER_PREFIX + "g"]
        token = await first.seal(1)
        assert await first.roster.unseal(token=token)
        store.items[ROSTER_PREFIX + "g"] = copy
        assert (await first.roster.read()).highest_token == 0
        assert first.roster.needs_write and await first.roster.write()
        assert (await Holder(store, "vm2").roster.read()).highest_token == token

    async def test_a_term_beyond_any_number_gives_a_token_that_can_be_stored(
        self, store: FakeStore
    ) -> None:
        holder = Holder(store, "vm1", clock=SetClock(1e12), era=2**23)
        assert holder.roster.next_token(2**63 - 2) <= 2**63 - 1
        assert not await holder.seal(1, token=2**63)


class TestJudge:
    @staticmethod
    def calls(*holders_and_tokens: tuple[str, int]) -> list[PromotionCall]:
        return [
            PromotionCall(
                group="db", endpoint="i-db1", holder=holder, fencing_token=str(token)
            )
            for holder, token in holders_and_tokens
        ]

    def test_rising_tokens_and_a_repeated_call_are_allowed(self) -> None:
        assert not find_token_violations(self.calls(("a", 1), ("a", 1), ("b", 2)))

    def test_a_lower_token_is_reported_also_after_a_repeated_one(self) -> None:
        assert find_token_violations(self.calls(("a", 9), ("a", 9), ("b", 3)))

    def test_the_same_token_of_two_vms_is_reported(self) -> None:
        assert find_token_violations(self.calls(("a", 9), ("b", 9)))
