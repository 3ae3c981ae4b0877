"""Tests of learning which endpoints are slow, and of pauses of the VM itself."""

from __future__ import annotations

from collections import Counter
from random import Random

from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster

from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher, Grant, PendingStatement
from celeryjunction.dispatch.endpoint_choice import Candidate, EndpointChoice
from celeryjunction.dispatch.endpoint_speed import SERVICE_WEIGHT, FadingMean

SLOW = 20.0


def play(
    seconds: float, times: dict[str, FadingMean], slow: set[str], start: float
) -> Counter[str]:
    """Place 100 statements/s on endpoints by learnt times; count them by endpoint."""
    choice, counts = EndpointChoice(random=Random(1)), Counter[str]()
    for n in range(int(seconds * 100)):
        now = start + n / 100
        both = [Candidate(e, 0.02 * t.value(now), 4.0) for e, t in times.items()]
        name = choice.choose(both, vm_count=3)
        counts[name] += 1
        times[name].record(SLOW if name in slow else 1.0, now=now)
    return counts


class TestFadingMean:
    def test_a_slow_endpoint_is_tried_seldom_and_used_again(self) -> None:
        """Guards against a slow endpoint that is overloaded, or never used again."""
        times = {
            n: FadingMean(neutral=1.0, weight=SERVICE_WEIGHT, now=0.0) for n in "abc"
        }
        play(10, times, {"c"}, 0.0)
        slow = play(60, times, {"c"}, 10.0)
        assert 0 < slow["c"] < 0.02 * slow.total()
        play(20, times, set(), 70.0)
        recovered = play(10, times, set(), 90.0)
        assert recovered["c"] > 0.25 * recovered.total()


class TestDispatcher:
    def setup_method(self) -> None:
        self.cluster = FakeCluster()
        self.clock = ManualClock()
        self.dispatcher = Dispatcher(
            zone="a",
            dialer=self.cluster,
            clock=self.clock,
            random=Random(1),
            budget=lambda info: ConnectionBudget(5, 5),
        )

    async def send(self, endpoint: str | None = None) -> Grant:
        now = self.clock.monotonic()
        self.dispatcher.update_endpoints(self.cluster.infos)
        grant = await self.dispatcher.acquire(
            PendingStatement(
                priority=0,
                arrived=now,
                queue_deadline=now + 1.0,
                required_endpoint=endpoint,
            )
        )
        grant.mark_sent(interruptible=True)
        return grant

    async def test_short_writes_do_not_make_the_primary_seem_fast(self) -> None:
        """Guards against a primary that attracts reads because its writes are short."""
        for _ in range(50):
            write = await self.send("a1")
            self.clock.advance(0.002)
            write.release()
            read = await self.send()
            self.clock.advance(0.03)
            read.release()
        gates = self.dispatcher.gates
        assert gates["a1"].service_s > 0.9 * gates["b1"].service_s

    async def test_a_pause_of_this_vm_is_not_the_endpoints_fault(self) -> None:
        """Guards against reads that are aborted, and endpoints that seem slow.

        After the process stood still for a second, no endpoint seems to have answered.
        """
        grant = await self.send()
        before = grant.gate.service_s
        self.clock.advance(1.0)
        assert not grant.gate.is_stuck(self.clock.monotonic())
        self.dispatcher._check_for_stuck()
        assert not grant.gate.unanswered_since
        grant.release()
        assert grant.gate.service_s == before
