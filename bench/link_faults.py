"""Faults of links, for the soak: delayed, reset, cut one way or silent."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from itertools import count
from random import Random

from bench.claims import wait_for_holder
from bench.links import Link, LinkFault, Links
from celeryjunction.platform.standin import StandinPlatform

SHORTEST_S = 0.5
SILENCE_S = 5.5
"""Time for which a holder waits for its promotion and the next one for an earlier call.
Every second fault is at least that long."""
LONGEST_S = 9.0
"""A fault holds for a time between `SHORTEST_S` and this."""
PRIMARY_OUTAGE_S = 15.0
"""Longest outage of a primary in such runs: a silence and the failover after it."""
LONGEST_PAUSE_S = 3.0
"""Longest time between the starts of two series of faults."""
LONGEST_GAP_S = 0.5
"""Longest time between two faults of a series."""
LONGEST_SPREAD_S = 0.2
"""Links that fail together return within this time, in any order."""
HOLDER_SHARE = 0.75
"""Share of the series that begin when a VM takes a claim to replace a primary."""
LONGEST_HOLDER_DELAY_S = 0.1
"""Longest time between the claim and the fault."""
MOST_FAULTS = 3
"""Most faults of a series, which hits the same links."""
KIND_WEIGHTS = {"promotion": 6, "store": 1, "vm": 1, "endpoint": 1}
SCOPE_WEIGHTS = {"one": 3, "zone": 2, "all": 1}
FORM_WEIGHTS = {"silent": 4, "cut_up": 2, "cut_down": 2, "delayed": 2, "reset": 1}
DIRECTIONS = {"silent": ("up", "down"), "cut_up": ("up",), "cut_down": ("down",)}


class LinkFaults:
    """Injects faults of one link, of a zone's links or of all links of a kind.

    The faults come in series, which overlap. All connections stay open, except with a
    reset; bytes that are withheld arrive when the fault ends.
    """

    def __init__(
        self,
        platform: StandinPlatform,
        links: Links,
        *,
        seed: int,
        counts: Counter[str],
    ) -> None:
        self._platform = platform
        self._links = links
        self._seed = seed
        self._counts = counts

    async def run(self, seconds: float) -> None:
        """Start faults for some seconds and wait until the last have ended."""
        end = time.monotonic() + seconds
        running: list[asyncio.Task[None]] = []
        for number in count():
            if time.monotonic() >= end:
                break
            random = Random(f"{self._seed} links {number}")
            running.append(asyncio.create_task(self._inject_series(random, end)))
            await asyncio.sleep(random.uniform(0.0, LONGEST_PAUSE_S))
        await asyncio.gather(*running)

    async def _inject_series(self, random: Random, end: float) -> None:
        kind = _draw(random, {kind: KIND_WEIGHTS[kind] for kind in self._links.kinds})
        scope = _draw(random, SCOPE_WEIGHTS)
        links = self._links_around(await self._choose(kind, random), kind, scope)
        for _ in range(random.randint(1, MOST_FAULTS)):
            if time.monotonic() >= end:
                break
            form = _draw(random, FORM_WEIGHTS)
            self._counts[f"{form} {kind} link"] += 1
            self._counts[f"link faults of {scope}"] += 1
            await self._inject(links, form, random)
            await asyncio.sleep(random.uniform(0.0, LONGEST_GAP_S))

    async def _choose(self, kind: str, random: Random) -> Link:
        """Return a link, often that of the next claim's holder."""
        links = self._links.of_kind(kind)
        chosen = random.choice(list(links.values()))
        group = random.choice(list(self._platform.groups))
        delay_s = random.choice([0.0, random.uniform(0.0, LONGEST_HOLDER_DELAY_S)])
        if random.random() > HOLDER_SHARE:
            return chosen
        holder = await wait_for_holder(self._platform.store, group)
        await asyncio.sleep(delay_s)
        return links.get(holder, chosen)

    def _links_around(self, chosen: Link, kind: str, scope: str) -> list[Link]:
        if scope == "one":
            return [chosen]
        return [
            link
            for link in self._links.of_kind(kind).values()
            if scope == "all" or link.zone == chosen.zone
        ]

    async def _inject(self, links: list[Link], form: str, random: Random) -> None:
        """Let a fault hold on some links for about the same time."""
        seconds = random.choice(
            [
                random.uniform(SHORTEST_S, LONGEST_S),
                random.uniform(SILENCE_S, LONGEST_S),
            ]
        )
        delay_s = random.choice([random.uniform(0.01, 0.2), random.uniform(0.2, 5.0)])
        ends = [seconds + random.uniform(0.0, LONGEST_SPREAD_S) for _ in links]
        if form == "reset":
            holds = [self._reset(link, s) for link, s in zip(links, ends, strict=True)]
        else:
            fault = LinkFault(
                *DIRECTIONS.get(form, ()), delay_s=delay_s if form == "delayed" else 0.0
            )
            holds = [
                self._hold(link, fault, s) for link, s in zip(links, ends, strict=True)
            ]
        await asyncio.gather(*holds)

    async def _hold(self, link: Link, fault: LinkFault, seconds: float) -> None:
        link.begin(fault)
        await asyncio.sleep(seconds)
        link.end(fault)

    async def _reset(self, link: Link, seconds: float) -> None:
        """Reset all connections at the start and at the end of some seconds."""
        link.proxy.reset()
        await asyncio.sleep(seconds)
        link.proxy.reset()


def _draw(random: Random, weights: dict[str, int]) -> str:
    (drawn,) = random.choices(list(weights), list(weights.values()))
    return drawn
