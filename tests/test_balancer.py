"""Tests of load balancing, ejection and retry limits, in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

import pytest

from celeryjunction.balancer import (
    Balancer,
    Candidate,
    NoCandidate,
    RetryBudget,
    backoff,
)

NAMES = ("a", "b", "c")


class ManualClock:
    now = 0.0

    def monotonic(self) -> float:
        return self.now


class Reads:
    """Simulated reads at 3 endpoints, where ``a`` is faulty.

    `fault(now)` returns the factor by which ``a`` is slowed, or None when it fails.
    """

    def __init__(self, rate: float, fault: Callable[[float], float | None]) -> None:
        self.clock = ManualClock()
        self.random = Random(1)
        self.balancer = Balancer(zone="z", clock=self.clock, random=self.random)
        self.in_flight = dict.fromkeys(NAMES, 0)
        self.slot_free_at = {name: [0.0] * 3 for name in NAMES}
        self.chosen: list[tuple[float, str]] = []
        self.answers: list[tuple[float, float, bool]] = []
        self._run(rate, fault)

    def _run(self, rate: float, fault: Callable) -> None:
        sequence, events, now = count(), [], 0.0
        while now < 60:
            now += self.random.expovariate(rate)
            heapq.heappush(events, (now, next(sequence), None))
        while events:
            now, _, answered = heapq.heappop(events)
            self.clock.now = now
            if answered is not None:
                name, sent_at, ok = answered
                self.in_flight[name] -= 1
                self.balancer.observe(name, now - sent_at, ok)
                self.answers.append((sent_at, now - sent_at, ok))
                continue
            name, ends_at, ok = self._send(fault(now))
            heapq.heappush(events, (ends_at, next(sequence), (name, now, ok)))

    def _send(self, factor: float | None) -> tuple[str, float, bool]:
        now = self.clock.now
        candidates = [Candidate(name, "z", 3, self.in_flight[name]) for name in NAMES]
        name = self.balancer.choose(candidates).name
        self.chosen.append((now, name))
        self.in_flight[name] += 1
        ok = name != "a" or factor is not None
        slowdown = factor if name == "a" and ok else 1.0
        slot = self.slot_free_at[name].index(min(self.slot_free_at[name]))
        ends_at = max(now, self.slot_free_at[name][slot])
        ends_at += (
            0.003 * self.random.lognormvariate(0, 0.4) * slowdown if ok else 0.0005
        )
        self.slot_free_at[name][slot] = ends_at
        return name, ends_at, ok

    def p99(self, start: float, end: float) -> float:
        times = sorted(
            latency_s
            for sent_at, latency_s, _ in self.answers
            if start <= sent_at < end
        )
        return times[int(0.99 * len(times))]

    def fraction_to_a(self, start: float, end: float) -> float:
        names = [name for now, name in self.chosen if start <= now < end]
        return names.count("a") / len(names)


class TestEjection:
    @pytest.mark.parametrize("rate", [50, 400])
    def test_slow_endpoint_hurts_for_three_seconds_at_most(self, rate: int) -> None:
        # Guards against reads that are still sent to a slow endpoint, and against an
        # endpoint that stays out of use after it has recovered.
        reads = Reads(rate, lambda now: 20.0 if 10 <= now < 40 else 1.0)
        assert reads.p99(13, 40) <= 2 * reads.p99(2, 10)
        assert reads.fraction_to_a(13, 40) < 0.01
        assert reads.fraction_to_a(55, 60) >= 0.2

    def test_failing_endpoint_gets_few_reads_and_returns(self) -> None:
        # Guards against an endpoint that attracts reads because it fails fast.
        reads = Reads(400, lambda now: None if 10 <= now < 40 else 1.0)
        failed = [
            sent_at for sent_at, _, ok in reads.answers if not ok and sent_at >= 13
        ]
        assert len(failed) <= 10
        assert reads.fraction_to_a(55, 60) >= 0.2

    def test_slow_answers_eject_until_trials_succeed(self) -> None:
        clock = ManualClock()
        balancer = Balancer(zone="z", clock=clock, random=Random(1))
        for step in range(10):
            clock.now = step / 10
            balancer.observe("b", 0.002, ok=True)
            balancer.observe("a", 0.020, ok=True)
        assert balancer.ejected == ("a",)
        clock.now += 1.1
        candidates = [Candidate(name, "z", 3) for name in ("a", "b")]
        for _ in range(3):
            assert balancer.choose(candidates).name == "a", "no trial was sent"
            assert balancer.choose(candidates).name == "b", "more than one trial"
            balancer.observe("a", 0.002, ok=True)
        assert not balancer.ejected

    def test_last_candidate_stays_in_use(self) -> None:
        # Guards against refusing every read because all endpoints are ejected.
        balancer = Balancer(zone="z", clock=ManualClock(), random=Random(1))
        for name in NAMES:
            for _ in range(5):
                balancer.observe(name, 0.001, ok=False)
        assert set(balancer.ejected) == set(NAMES)
        candidates = [Candidate(name, "z", 3) for name in NAMES]
        assert balancer.choose(candidates) in candidates
        assert balancer.choose(candidates[:1]) is candidates[0]


class TestChoice:
    def test_leaving_candidates_are_never_chosen(self) -> None:
        balancer = Balancer(zone="z", clock=ManualClock(), random=Random(1))
        leaving = Candidate("a", "z", 3, leaving=True)
        busy = Candidate("b", "other", 3, in_flight=50)
        assert {balancer.choose([leaving, busy]) for _ in range(20)} == {busy}
        with pytest.raises(NoCandidate):
            balancer.choose([leaving])

    def test_zone_and_load_count_until_latency_is_measured(self) -> None:
        balancer = Balancer(zone="z", clock=ManualClock(), random=Random(1))
        near, far = Candidate("a", "z", 3), Candidate("b", "other", 3)
        assert balancer.choose([near, far]) is near
        assert balancer.choose([near._replace(waiting=9), far]) is far
        balancer.observe("a", 0.010, ok=True)
        balancer.observe("b", 0.002, ok=True)
        assert balancer.choose([near, far]) is far


class TestRetries:
    def test_retries_stay_within_a_tenth_of_the_requests(self) -> None:
        # Guards against retries that multiply the load during a fault, and against
        # denying retries to a client with few requests.
        clock = ManualClock()
        budget = RetryBudget(ratio=0.1, floor_per_s=0.0, clock=clock)
        retries = 0
        for _ in range(10_000):
            budget.count_request()
            retries += budget.try_spend()
        assert 990 <= retries <= 1001
        quiet = RetryBudget(floor_per_s=0.5, clock=clock)
        assert quiet.try_spend() and not quiet.try_spend()
        clock.now = 2.0
        assert quiet.try_spend() and not quiet.try_spend()

    def test_backoff_doubles_with_jitter_up_to_the_cap(self) -> None:
        rng = Random(1)
        for attempt, most in ((0, 0.01), (2, 0.04), (9, 1.0), (5000, 1.0)):
            options = {"base_s": 0.01, "cap_s": 1.0, "random": rng}
            delays = {backoff(attempt, **options) for _ in range(50)}
            assert most / 2 <= min(delays) < max(delays) <= most
