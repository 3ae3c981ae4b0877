"""Tests of proofs of a group's primary and log positions."""

from __future__ import annotations

import asyncio

import pytest
from fakes import FakeGroup, event_loop_policy  # noqa: F401
from fakes import fake as fake

from celeryjunction.ports import EndpointStatus
from celeryjunction.rounds import GroupMonitor, NoProof


def report(monitor: GroupMonitor, sent: dict[str, float], **changes: object) -> None:
    """Give the monitor the answers of endpoints to queries sent at given times.

    Without `changes` the status is that of an empty log in term 1 with primary a.
    """
    for name, sent_at in sent.items():
        status = EndpointStatus(1, name == "a", 0, 0, False, 0)
        monitor.observe(name, status._replace(**changes), sent_at)


class TestProof:
    async def test_needs_a_majority_and_the_primary(self, fake: FakeGroup) -> None:
        # Guards against a proof from the primary alone or from replicas alone.
        primary_only, replicas_only = fake.proxy.monitor, fake.open().monitor
        report(primary_only, {"a": 10})
        report(replicas_only, {"b": 10, "c": 10})
        assert primary_only.proof is None and replicas_only.proof is None
        report(primary_only, {"b": 11})
        assert (primary_only.proof.term, primary_only.proof.primary) == (1, "a")

    async def test_is_as_old_as_its_oldest_query(self, fake: FakeGroup) -> None:
        # Guards against a proof based on queries sent before the operation began: one
        # new answer of an isolated primary must not renew a proof.
        monitor = fake.proxy.monitor
        report(monitor, {"a": 10, "b": 11})
        report(monitor, {"a": 12})
        assert monitor.proof.proven_at == 11
        report(monitor, {"c": 13})
        assert monitor.proof.proven_at == 12

    async def test_primarys_position_is_not_older_than_the_proof(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a proof that combines new answers of replicas with an old log
        # position of the primary.
        report(fake.proxy.monitor, {"a": 10, "b": 12, "c": 12}, applied=5)
        assert fake.proxy.monitor.proof.proven_at == 10

    async def test_single_promotion_needs_all_or_the_platform(self) -> None:
        # Guards against a majority taken as proof when promotions need no majority.
        other = FakeGroup(promotion="single")
        monitor = other.proxy.monitor
        report(monitor, {"a": 10, "b": 10})
        assert monitor.proof is None
        report(monitor, {"c": 9})
        assert monitor.proof.proven_at == 9
        report(monitor, {"a": 21})
        monitor.observe_platform(other.record, 20)
        assert monitor.proof.proven_at == 20
        other.promote("b", unaware="ac")
        monitor.observe_platform(other.record, 30)
        report(monitor, {"a": 31})
        assert monitor.proof.proven_at == 20
        await other.close()

    async def test_older_term_never_returns(self, fake: FakeGroup) -> None:
        # Guards against a return to a replaced term: its answers may arrive late, have
        # a higher log position, or come from endpoints that lost their state.
        monitor = fake.proxy.monitor
        report(monitor, {"b": 10}, term=2, is_primary=True, applied=5)
        report(monitor, {"c": 10}, term=2, applied=5)
        report(monitor, {"a": 11, "c": 11, "b": 11}, applied=100)
        assert (monitor.proof.term, monitor.proof.position) == (2, 5)

    async def test_suspicion_needs_a_newer_proof(self, fake: FakeGroup) -> None:
        # Guards against writes that still go to a primary that has just failed.
        monitor, now = fake.proxy.monitor, fake.clock.monotonic()
        report(monitor, {"a": now - 1, "b": now - 1})
        assert monitor.trusted_proof is monitor.proof
        monitor.suspect()
        assert monitor.trusted_proof is None
        report(monitor, {"a": now + 1, "b": now + 1})
        assert monitor.trusted_proof is monitor.proof


class TestTermChange:
    async def test_clears_the_history(self, fake: FakeGroup) -> None:
        # Guards against log positions of two terms in one history: position 50 may be
        # a different entry in term 1 and in term 2.
        monitor = fake.proxy.monitor
        report(monitor, {"a": 10, "b": 10}, applied=50)
        report(monitor, {"b": 20}, term=2, is_primary=True, applied=60)
        report(monitor, {"c": 20}, term=2)
        assert monitor.position_covering(5) == 60

    async def test_positions_count_in_their_term_only(self) -> None:
        # Guards against log positions of an older term that count in a newer one.
        other = FakeGroup("abcde")
        monitor = other.proxy.monitor
        report(monitor, {"a": 10, "b": 10, "c": 10}, term=2, received=7, applied=7)
        report(monitor, {"d": 10, "e": 10}, received=99, applied=99)
        assert monitor.replicas_at(2, 8) == []
        assert monitor.replicas_at(2, 7) == ["b", "c"]
        # Only positions reported in term 2 count as received by its majority.
        assert monitor._majority_received[2] == 7
        await other.close()


class TestProbes:
    async def test_run_only_while_an_operation_waits(self, fake: FakeGroup) -> None:
        # Guards against status queries to an idle group.
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
        # Guards against ended waits that stay registered and keep the probes running.
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
