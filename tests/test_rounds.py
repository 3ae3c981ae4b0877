"""Tests of the proofs of a group's primary and log positions."""

from __future__ import annotations

import asyncio

import pytest
from fakes import FakeGroup, event_loop_policy  # noqa: F401
from fakes import fake as fake

from celeryjunction.ports import EndpointStatus
from celeryjunction.rounds import GroupMonitor, NoProof


def see(monitor: GroupMonitor, sent: dict[str, float], **changes: object) -> None:
    """Let the monitor take in answers of endpoints to queries sent at given times."""
    for name, sent_at in sent.items():
        status = EndpointStatus(1, name == "a", 0, 0, False, 0)
        monitor.observe(name, status._replace(**changes), sent_at)


class TestProof:
    async def test_needs_a_majority_and_the_primary(self, fake: FakeGroup) -> None:
        # Guards against a primary, or replicas, that prove themselves.
        alone, headless = fake.proxy.monitor, fake.open().monitor
        see(alone, {"a": 10})
        see(headless, {"b": 10, "c": 10})
        assert alone.proof is None and headless.proof is None
        see(alone, {"b": 11})
        assert (alone.proof.term, alone.proof.primary) == (1, "a")

    async def test_holds_from_the_oldest_query_it_rests_on(
        self, fake: FakeGroup
    ) -> None:
        # Guards against observations sent before the operation began: one new answer
        # of a cut-off primary must not renew a proof.
        monitor = fake.proxy.monitor
        see(monitor, {"a": 10, "b": 11})
        see(monitor, {"a": 12})
        assert monitor.proof.proven_at == 11
        see(monitor, {"c": 13})
        assert monitor.proof.proven_at == 12

    async def test_primarys_position_is_not_older_than_the_proof(
        self, fake: FakeGroup
    ) -> None:
        # Guards against new replica answers paired with an old primary position.
        see(fake.proxy.monitor, {"a": 10, "b": 12, "c": 12}, applied=5)
        assert fake.proxy.monitor.proof.proven_at == 10

    async def test_single_promotion_needs_all_or_the_platform(self) -> None:
        # Guards against a majority taken as proof where promotions need none.
        other = FakeGroup(promotion="single")
        monitor = other.proxy.monitor
        see(monitor, {"a": 10, "b": 10})
        assert monitor.proof is None
        see(monitor, {"c": 9})
        assert monitor.proof.proven_at == 9
        see(monitor, {"a": 21})
        monitor.observe_platform(other.record, 20)
        assert monitor.proof.proven_at == 20
        other.promote("b", unaware="ac")
        monitor.observe_platform(other.record, 30)
        see(monitor, {"a": 31})
        assert monitor.proof.proven_at == 20
        await other.close()

    async def test_older_term_never_returns(self, fake: FakeGroup) -> None:
        # Guards against answers of a replaced term with a higher position, late ones
        # and those of endpoints that lost their state.
        monitor = fake.proxy.monitor
        see(monitor, {"b": 10}, term=2, is_primary=True, applied=5)
        see(monitor, {"c": 10}, term=2, applied=5)
        see(monitor, {"a": 11, "c": 11, "b": 11}, applied=100)
        assert (monitor.proof.term, monitor.proof.position) == (2, 5)

    async def test_suspicion_needs_a_newer_proof(self, fake: FakeGroup) -> None:
        # Guards against writes that keep going to a primary that just failed.
        monitor, now = fake.proxy.monitor, fake.clock.monotonic()
        see(monitor, {"a": now - 1, "b": now - 1})
        assert monitor.trusted_proof is monitor.proof
        monitor.suspect()
        assert monitor.trusted_proof is None
        see(monitor, {"a": now + 1, "b": now + 1})
        assert monitor.trusted_proof is monitor.proof


class TestTermChange:
    async def test_empties_the_history(self, fake: FakeGroup) -> None:
        # Guards against positions of two terms in one history: position 50 of term 1
        # may be another entry than position 50 of term 2.
        monitor = fake.proxy.monitor
        see(monitor, {"a": 10, "b": 10}, applied=50)
        see(monitor, {"b": 20}, term=2, is_primary=True, applied=60)
        see(monitor, {"c": 20}, term=2)
        assert monitor.position_covering(5) == 60

    async def test_positions_count_in_their_term_only(self) -> None:
        # Guards against a position of an older term that proves a newer one.
        other = FakeGroup("abcde")
        monitor = other.proxy.monitor
        see(monitor, {"a": 10, "b": 10, "c": 10}, term=2, received=7, applied=7)
        see(monitor, {"d": 10, "e": 10}, received=99, applied=99)
        assert monitor.replicas_at(2, 8) == []
        assert monitor.replicas_at(2, 7) == ["b", "c"]
        # Only positions seen in term 2 count for what its majority has received.
        assert monitor._majority_received[2] == 7
        await other.close()


class TestProbes:
    async def test_run_only_while_somebody_waits(self, fake: FakeGroup) -> None:
        # Guards against an idle group that costs status queries.
        await asyncio.sleep(10)
        assert fake.a.status_queries == 0
        proofs = await asyncio.gather(*(fake.prove() for _ in range(50)))
        assert {proof.term for proof in proofs} == {1}
        await asyncio.sleep(10)
        assert fake.a.status_queries <= 2
        await fake.close()
        assert not any(each.connections for each in fake.endpoints.values())

    async def test_wait_ends_at_the_deadline_or_when_cancelled(
        self, fake: FakeGroup
    ) -> None:
        # Guards against waiters that are left behind and keep the probes running.
        fake.b.stop()
        fake.c.stop()
        monitor, began = fake.proxy.monitor, fake.clock.monotonic()
        with pytest.raises(NoProof):
            await fake.prove()
        assert fake.clock.monotonic() - began == pytest.approx(1, abs=0.01)
        fake.a.stop()
        waiter = asyncio.create_task(monitor.prove(since=began, deadline=9999))
        await asyncio.sleep(0.01)
        waiter.cancel()
        await asyncio.sleep(0.01)
        assert monitor.waiting == 0 and not monitor.demand.is_set()
