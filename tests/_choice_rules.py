"""Rules of choice that `_choice_simulation` compares; as a program, prints a table."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from math import exp
from random import Random

from _choice_simulation import Chooser, Site, simulate

from celeryjunction.dispatch.endpoint_choice import Candidate, EndpointChoice
from celeryjunction.dispatch.endpoint_speed import (
    SERVICE_WEIGHT,
    FadingMean,
    GroupTimes,
)
from celeryjunction.dispatch.load_estimate import LoadEstimate

SERVICE_S = 0.02
"""Service time for the product's code, seconds."""

AGES = (1, 3, 10, 20)
SITES = {
    "even": Site(1, 1, slots=(5, 5, 5)),
    "one at half the speed": Site(1, 1, speeds=(1.0, 1.0, 0.5)),
    "a quarter at the primary only": Site(1, 1, pinned=0.25),
    "low load": Site(1, 1, load=0.4),
}


class Present(Chooser):
    """The least cost with the last value, as before `EndpointChoice`."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        return min(allowed, key=self.cost)


class AnyEndpoint(Chooser):
    """A random endpoint, without regard to load: what no rule should be worse than."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        return self.random.choice(allowed)


class TwoChoices(Chooser):
    """The cheaper of two random endpoints."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        return min(self.random.sample(allowed, min(2, len(allowed))), key=self.cost)


class SlowService(Chooser):
    """Learns service times with a weight of 0.02 per answer, for less noise."""

    service_weight = 0.02


class OwnLoad(SlowService):
    """The least cost by this VM's own statements only; ties are broken at random."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        self.elsewhere = [0.0] * len(self.elsewhere)
        return min(allowed, key=lambda e: (self.cost(e), self.random.random()))


class AgeWeights(SlowService):
    """Random, in proportion to free slots by a value that is weighted by its age."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        weight = exp(self.sampled_at - now)
        return self.random.choices(
            allowed, [self.free(e, weight * self.elsewhere[e]) for e in allowed]
        )[0]

    def free(self, endpoint: int, elsewhere: float) -> float:
        free = self.site.slots[endpoint] - self.running[endpoint] - elsewhere
        return max(free, 0.1) / self.service[endpoint]


class FreeShares(SlowService):
    """Random, in proportion to what is left of this VM's share of the free slots."""

    def choose(self, allowed: Sequence[int], now: float) -> int:
        weights = []
        for e in allowed:
            free = self.site.slots[e] - self.elsewhere[e]
            weights.append(max(0.1, free / self.site.choosers - self.running[e]))
        return self.random.choices(allowed, weights)[0]


class DecayingEstimate(SlowService):
    """The least cost by a value that decays to the mean of the former values."""

    def __init__(self, site: Site, random: Random) -> None:
        super().__init__(site, random)
        self.mean = [0.0] * len(site.slots)
        self.last = list(self.mean)

    def sampled(self, elsewhere: list[float], sampled_at: float, now: float) -> None:
        self.last, self.sampled_at = elsewhere, sampled_at
        for e, value in enumerate(elsewhere):
            self.mean[e] += 0.2 * (value - self.mean[e])

    def choose(self, allowed: Sequence[int], now: float) -> int:
        weight = exp(self.sampled_at - now)
        for e, mean in enumerate(self.mean):
            self.elsewhere[e] = mean + weight * (self.last[e] - mean)
        return min(allowed, key=self.cost)


class OwnAnswers(Chooser):
    """The least load by own statements, answer times and refusals, which decay."""

    def __init__(self, site: Site, random: Random) -> None:
        super().__init__(site, random)
        self.ratio = [1.0] * len(site.slots)
        self.answered_at = [-100.0] * len(site.slots)
        self.refused_at = [-100.0] * len(site.slots)

    def answered(self, endpoint: int, seconds: float, now: float) -> None:
        self.ratio[endpoint] += 0.3 * (seconds - self.ratio[endpoint])
        self.answered_at[endpoint] = now

    def refused(self, endpoint: int, now: float) -> None:
        self.refused_at[endpoint] = now

    def choose(self, allowed: Sequence[int], now: float) -> int:
        def load(e: int) -> tuple[float, float]:
            above = max(0.0, self.ratio[e] - 1.0) * exp(
                (self.answered_at[e] - now) / 3.0
            )
            full = 2.0 * exp(self.refused_at[e] - now)
            own = self.running[e] / self.site.slots[e]
            return own + above + full, self.random.random()

        return min(allowed, key=load)


class Turns(Chooser):
    """Turns in proportion to the expected free slots: the product's own code."""

    def __init__(self, site: Site, random: Random) -> None:
        super().__init__(site, random)
        self.loads = [LoadEstimate() for _ in site.slots]
        self.turns = EndpointChoice(random=random)
        self.times = GroupTimes()
        self.slowness = [
            FadingMean(neutral=1.0, weight=SERVICE_WEIGHT, now=0.0) for _ in site.slots
        ]

    def answered(self, endpoint: int, seconds: float, now: float) -> None:
        ratio = self.times.record((1, True), seconds * SERVICE_S)
        self.slowness[endpoint].record(ratio, now=now * SERVICE_S)

    def sampled(self, elsewhere: list[float], sampled_at: float, now: float) -> None:
        for load, value in zip(self.loads, elsewhere, strict=True):
            load.record_status(value, at=sampled_at * SERVICE_S)

    def choose(self, allowed: Sequence[int], now: float) -> int:
        candidates = []
        for e in allowed:
            slowness = self.slowness[e].value(now * SERVICE_S)
            self.service[e] = self.times.mean_s * slowness / SERVICE_S
            self.elsewhere[e] = self.loads[e].busy_elsewhere(
                now * SERVICE_S, service_s=self.service[e] * SERVICE_S
            )
            free = self.site.slots[e] - self.running[e] - self.elsewhere[e]
            candidates.append(Candidate(str(e), self.cost(e) * SERVICE_S, free))
        return int(self.turns.choose(candidates, vm_count=self.site.choosers))


RULES: list[type[Chooser]] = [
    Present,
    AnyEndpoint,
    TwoChoices,
    OwnLoad,
    AgeWeights,
    FreeShares,
    DecayingEstimate,
    OwnAnswers,
    Turns,
]


def main(sites: Sequence[str]) -> None:
    """Print misplaced fraction and busiest share for each rule, VM count and age."""
    for name in sites or SITES:
        print(f"{name}: misplaced, busiest share by age " + ", ".join(map(str, AGES)))
        for choosers in (1, 3, 6, 36, 300):
            for rule in RULES:
                cells = []
                for age in AGES:
                    site = SITES[name]._replace(choosers=choosers, age=age)
                    outcome = simulate(site, rule, statements=12_000)
                    cells.append(f"{outcome.misplaced:.3f} {outcome.busiest:.2f}")
                print(f"{choosers:4} {rule.__name__:17}", " | ".join(cells), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
