"""Tests of endpoint choice, ejection and retry limits, in simulated time."""

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
    """Reads at 3 endpoints; `fault(now)` slows ``a`` by a factor, None: it fails."""

    def __init__(self, rate: float, fault: Callable[[float], float | None]) -> None:
        self.clock = ManualClock()
        self.random = Random(1)
        self.balancer = Balancer(zone="z", clock=self.clock, random=self.random)
        self.in_flight = dict.fromkeys(NAMES, 0)
        self.free = {name: [0.0] * 3 for name in NAMES}
        self.chosen: list[tuple[float, str]] = []
        self.answers: list[tuple[float, float, bool]] = []
        self._run(rate, fault)

    def _run(self, rate: float, fault: Callable) -> None:
        order, events, now = count(), [], 0.0
        while now < 60:
            now += self.random.expovariate(rate)
            heapq.heappush(events, (now, next(order), None))
        while events:
            now, _, answered = heapq.heappop(events)
            self.clock.now = now
            if answered is not None:
                name, came, ok = answered
                self.in_flight[name] -= 1
                self.balancer.observe(name, now - came, ok)
                self.answers.append((came, now - came, ok))
                continue
            name, ends, ok = self._send(fault(now))
            heapq.heappush(events, (ends, next(order), (name, now, ok)))

    def _send(self, factor: float | None) -> tuple[str, float, bool]:
        now = self.clock.now
        candidates = [Candidate(name, "z", 3, self.in_flight[name]) for name in NAMES]
        name = self.balancer.choose(candidates).name
        self.chosen.append((now, name))
        self.in_flight[name] += 1
        ok = name != "a" or factor is not None
        slower = factor if name == "a" and ok else 1.0
        slot = self.free[name].index(min(self.free[name]))
        ends = max(now, self.free[name][slot])
        ends += 0.003 * self.random.lognormvariate(0, 0.4) * slower if ok else 0.0005
        self.free[name][slot] = ends
        return name, ends, ok

    def p99(self, start: float, end: float) -> float:
        times = sorted(took for came, took, _ in self.answers if start <= came < end)
        return times[int(0.99 * len(times))]

    def share_of_a(self, start: float, end: float) -> float:
        names = [name for now, name in self.chosen if start <= now < end]
        return names.count("a") / len(names)


class TestEjection:
    @pytest.mark.parametrize("rate", [50, 400])
    def test_slow_endpoint_hurts_for_three_seconds_at_most(self, rate: int) -> None:
        # Guards against slow answers that keep reaching clients, and against an
        # endpoint that stays out of use after it recovered.
        reads = Reads(rate, lambda now: 20.0 if 10 <= now < 40 else 1.0)
        assert reads.p99(13, 40) <= 2 * reads.p99(2, 10)
        assert reads.share_of_a(13, 40) < 0.01
        assert reads.share_of_a(55, 60) >= 0.2

    def test_failing_endpoint_gets_few_reads_and_returns(self) -> None:
        # Guards against an endpoint that looks fast because it fails fast.
        reads = Reads(400, lambda now: None if 10 <= now < 40 else 1.0)
        failed = [came for came, _, ok in reads.answers if not ok and came >= 13]
        assert len(failed) <= 10
        assert reads.share_of_a(55, 60) >= 0.2

    def test_slow_answers_eject_until_trials_are_good(self) -> None:
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
        # Guards against refusing every read because all endpoints failed.
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

    def test_zone_and_load_count_until_latency_is_known(self) -> None:
        balancer = Balancer(zone="z", clock=ManualClock(), random=Random(1))
        near, far = Candidate("a", "z", 3), Candidate("b", "other", 3)
        assert balancer.choose([near, far]) is near
        assert balancer.choose([near._replace(waiting=9), far]) is far
        balancer.observe("a", 0.010, ok=True)
        balancer.observe("b", 0.002, ok=True)
        assert balancer.choose([near, far]) is far


class TestRetries:
    def test_retries_stay_within_a_tenth_of_the_requests(self) -> None:
        # Guards against retries that multiply a fault's load; quiet callers may retry.
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
