"""Discrete simulation of VMs that place statements on endpoints with old load values.

The unit of time is the mean service time of an endpoint of speed 1.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Sequence
from itertools import count
from random import Random
from typing import Any, NamedTuple

WINDOW = 25.0
"""Length of the windows in which the busiest endpoint is compared with the mean: half a
second with statements of 20 ms."""
QUEUE_PER_SLOT = 1
"""Statements that an endpoint queues for each slot before it refuses others as busy."""

_ARRIVAL, _END, _SAMPLE, _DELIVERY = range(4)


class Site(NamedTuple):
    """Endpoints, and the VMs that place statements on them.

    `age` is the mean age of the values in use: each VM samples all endpoints at this
    interval, and learns the values half of it later. `load` is the offered load as a
    fraction of what the endpoints can serve.
    """

    choosers: int
    age: float
    slots: tuple[int, ...] = (4, 4, 4)
    speeds: tuple[float, ...] = (1.0, 1.0, 1.0)
    load: float = 0.7
    pinned: float = 0.0
    """Fraction of the statements that only the first endpoint, the primary, may run."""


class Chooser:
    """What one VM knows of the endpoints; a rule is a subclass with its `choose`."""

    service_weight = 0.1
    """Weight of an answer in the moving average of the answer times."""

    def __init__(self, site: Site, random: Random) -> None:
        self.site = site
        self.random = random
        self.running = [0] * len(site.slots)
        self.elsewhere = [0.0] * len(site.slots)
        """Slots that other VMs used according to the last sample."""
        self.sampled_at = 0.0
        self.service = [1.0] * len(site.slots)
        """Moving average of the answer times, as `EndpointGate.service_s`."""

    def cost(self, endpoint: int) -> float:
        """Return the expected time by the last sample, as `Dispatcher._cost`."""
        busy = self.running[endpoint] + self.elsewhere[endpoint]
        return self.service[endpoint] * (1.0 + busy / self.site.slots[endpoint])

    def choose(self, allowed: Sequence[int], now: float) -> int:
        raise NotImplementedError

    def sampled(self, elsewhere: list[float], sampled_at: float, now: float) -> None:
        self.elsewhere, self.sampled_at = elsewhere, sampled_at

    def answered(self, endpoint: int, seconds: float, now: float) -> None:
        self.service[endpoint] += self.service_weight * (
            seconds - self.service[endpoint]
        )

    def refused(self, endpoint: int, now: float) -> None:
        pass


class Outcome(NamedTuple):
    """Result of a simulation."""

    misplaced: float
    """Fraction of arrivals at a full endpoint while another had a free slot."""
    busiest: float
    """Mean over windows of the busiest endpoint's arrivals by capacity, relative to
    the mean of the endpoints."""
    refused: float
    """Fraction of arrivals that were refused as busy."""
    mean_time: float
    """Mean time from arrival to answer."""


class _Endpoint:
    __slots__ = ("arrivals", "busy", "queue", "slots", "speed")

    def __init__(self, slots: int, speed: float) -> None:
        self.slots, self.speed = slots, speed
        self.busy = 0
        self.queue: deque[tuple[int, float]] = deque()
        self.arrivals = 0


def simulate(
    site: Site,
    rule: Callable[[Site, Random], Chooser],
    *,
    statements: int = 6000,
    seed: int = 1,
) -> Outcome:
    """Place statements of random VMs; those at a full endpoint wait there in order."""
    rng = Random(seed)
    endpoints = [_Endpoint(*pair) for pair in zip(site.slots, site.speeds, strict=True)]
    choosers = [rule(site, Random(f"{seed}-{n}")) for n in range(site.choosers)]
    capacity = sum(e.slots * e.speed for e in endpoints)
    numbers = count()
    events: list[tuple[float, int, int, Any]] = [(0.0, next(numbers), _ARRIVAL, None)]
    for n in range(site.choosers):
        at = rng.uniform(0.0, site.age)
        events.append((at, next(numbers), _SAMPLE, n))
    heapq.heapify(events)
    warm_up = statements // 10
    arrived = counted = misplaced = refused = placed = 0
    total_time = 0.0
    window_end, ratios = WINDOW, []

    def begin(e: _Endpoint, index: int, n: int, sent: float, now: float) -> None:
        e.busy += 1
        work = rng.lognormvariate(-0.245, 0.7) / e.speed
        heapq.heappush(events, (now + work, next(numbers), _END, (index, n, sent)))

    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == _ARRIVAL:
            if now >= window_end:
                shares = [e.arrivals / (e.slots * e.speed) for e in endpoints]
                if arrived > warm_up:
                    ratios.append(max(shares) * len(shares) / sum(shares))
                for e in endpoints:
                    e.arrivals = 0
                window_end += WINDOW
            arrived += 1
            n = rng.randrange(site.choosers)
            chooser = choosers[n]
            is_pinned = site.pinned > 0 and rng.random() < site.pinned
            allowed = [0] if is_pinned else list(range(len(endpoints)))
            while allowed:
                # A VM has no more statements at an endpoint than slots, as
                # `SharedSlots.limit`.
                free = [i for i in allowed if chooser.running[i] < endpoints[i].slots]
                index = chooser.choose(free or allowed, now)
                e = endpoints[index]
                e.arrivals += 1
                is_full = e.busy >= e.slots
                if arrived > warm_up and not is_pinned:
                    counted += 1
                    misplaced += is_full and any(o.busy < o.slots for o in endpoints)
                if not is_full:
                    chooser.running[index] += 1
                    begin(e, index, n, now, now)
                    break
                if len(e.queue) < QUEUE_PER_SLOT * e.slots:
                    chooser.running[index] += 1
                    e.queue.append((n, now))
                    break
                refused += arrived > warm_up
                chooser.refused(index, now)
                allowed.remove(index)
            if arrived < statements:
                gap = rng.expovariate(site.load * capacity)
                heapq.heappush(events, (now + gap, next(numbers), _ARRIVAL, None))
        elif kind == _END:
            index, n, sent = data
            e = endpoints[index]
            e.busy -= 1
            choosers[n].running[index] -= 1
            choosers[n].answered(index, now - sent, now)
            placed += 1
            total_time += now - sent
            if e.queue:
                waiting, at = e.queue.popleft()
                begin(e, index, waiting, at, now)
        elif kind == _SAMPLE:
            own = choosers[data].running
            values = [
                float(max(0, e.busy - r)) for e, r in zip(endpoints, own, strict=True)
            ]
            if arrived < statements:
                delivery = (
                    now + site.age / 2,
                    next(numbers),
                    _DELIVERY,
                    (data, values, now),
                )
                heapq.heappush(events, delivery)
                heapq.heappush(events, (now + site.age, next(numbers), _SAMPLE, data))
        else:
            n, values, at = data
            choosers[n].sampled(values, at, now)
    return Outcome(
        misplaced / counted,
        sum(ratios) / len(ratios),
        refused / counted,
        total_time / placed,
    )
