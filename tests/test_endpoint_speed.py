"""Tests of learning which endpoints are slow, and of what a VM must not count."""

from __future__ import annotations

from collections import Counter
from random import Random

from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy

from celeryjunction.dispatch.dispatcher import Grant, PendingStatement
from celeryjunction.dispatch.endpoint_choice import Candidate, EndpointChoice
from celeryjunction.dispatch.endpoint_speed import SERVICE_WEIGHT, FadingMean
from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.statements import Begin, Read
from celeryjunction.metrics import format_metrics
from celeryjunction.replication.ports import Fault


class TestFadingMean:
    def test_a_slow_endpoint_is_tried_seldom_and_used_again(self) -> None:
        """Guards against a slow endpoint that is overloaded, or never used again."""
        times = {
            n: FadingMean(neutral=1.0, weight=SERVICE_WEIGHT, now=0.0) for n in "abc"
        }
        choice, counts = EndpointChoice(random=Random(1)), Counter[tuple[int, str]]()
        for n in range(10_000):  # 100 statements/s; "c" is slow for 70 s.
            now = n / 100
            all_ = [Candidate(e, 0.02 * t.value(now), 4.0) for e, t in times.items()]
            name = choice.choose(all_, vm_count=3)
            counts[n // 1000, name] += 1
            times[name].record(20.0 if name == "c" and n < 7000 else 1.0, now=now)
        assert all(0 < counts[second, "c"] < 20 for second in range(1, 7))
        assert counts[9, "c"] > 250


async def send(proxy: Proxy, endpoint: str | None = None) -> Grant:
    proxy.dispatcher.update_endpoints(proxy.cluster.infos)
    now = proxy.clock.monotonic()
    pending = PendingStatement(
        priority=0, arrived=now, queue_deadline=now + 1.0, required_endpoint=endpoint
    )
    grant = await proxy.dispatcher.acquire(pending)
    grant.mark_sent(interruptible=True)
    return grant


class TestServiceTimes:
    async def test_short_writes_do_not_make_the_primary_seem_fast(self) -> None:
        """Guards against a primary that attracts reads because its writes are short."""
        proxy = Proxy()
        for _ in range(50):
            for endpoint, seconds in (("a1", 0.002), (None, 0.03)):
                grant = await send(proxy, endpoint)
                proxy.clock.advance(seconds)
                grant.release()
        gates = proxy.dispatcher.gates
        assert gates["a1"].service_s > 0.9 * gates["b1"].service_s

    async def test_a_pause_of_this_vm_is_not_the_endpoints_fault(self) -> None:
        """Guards against reads that are aborted, and endpoints that seem slow."""
        proxy = Proxy()
        grant = await send(proxy)
        before = grant.gate.service_s
        proxy.clock.advance(1.0)
        assert not grant.gate.is_stuck(proxy.clock.monotonic())
        proxy.dispatcher._check_for_stuck()
        assert not grant.gate.unanswered_since
        grant.release()
        assert grant.gate.service_s == before

    async def test_a_refusal_is_counted_and_is_no_service_time(self) -> None:
        """Guards against an endpoint that seems fast because it refuses statements."""
        proxy = Proxy()
        await proxy.start()
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        await proxy.run(session, Begin(read_only=True))
        await proxy.run(session, Read())
        (gate,) = (g for g in proxy.dispatcher.gates.values() if g.pinned)
        before = gate.patience._answers
        proxy.cluster[gate.info.id].faults = [Fault.BUSY]
        await proxy.run(session, Read())
        assert gate.patience._answers == before
        labels = f'{{endpoint="{gate.info.id}",group="g"}}'
        lines = format_metrics(proxy.gateway.metrics)
        assert f"busy_refusals{labels} 1" in lines
        assert f"statements_placed{labels} 3" in lines  # BEGIN and two reads.
        await session.close()
