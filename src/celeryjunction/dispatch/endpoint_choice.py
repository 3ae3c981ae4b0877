"""Chooses among the endpoints that may run a statement.

Answers one load: many VMs choose at the same moment by similar values. If each took
the endpoint of least cost, all would take the same one until the next value arrives.
Each VM therefore gives all candidates turns, in proportion to the free slots that it
expects there and to their speed. Turns in a fixed proportion are more even than random
choices, and the smaller the number of VMs, the more even is their sum. A VM that alone
uses the endpoints knows their load and takes the least cost.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from math import inf
from random import Random
from typing import NamedTuple

MIN_FREE_SLOTS = 0.1
"""Lower bound of the free slots: an endpoint that was full may have one by now."""
MIN_COST_S = 1e-6
COST_EXPONENT = 2
"""Power of the cost by which a turn becomes rarer. With 1, a connection that has to be
opened (12 ms beside a service time of 20 ms) would still get 60% of the turns that an
idle one gets; from 3 on, VMs overload the faster endpoints (docs/design/
load-balancing.md)."""


class Candidate(NamedTuple):
    """An endpoint that may run a statement."""

    name: str
    cost_s: float
    """Expected seconds until success."""
    free_slots: float
    """Slots that are expected to be free; may be negative."""


class EndpointChoice:
    """Gives endpoints their turns (smooth weighted round robin).

    ```python
    choice = EndpointChoice(random=Random())
    both = [Candidate("a", 0.02, 4.0), Candidate("b", 0.02, 2.0)]
    choice.choose(both, vm_count=3)  # "a" in two of three calls
    ```
    """

    __slots__ = ("_credits", "_random")

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._credits: dict[str, float] = {}
        """Turns that each endpoint is owed, by name."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "credits", self._credits

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget all other endpoints."""
        for name in [name for name in self._credits if name not in endpoints]:
            del self._credits[name]

    def choose(self, candidates: list[Candidate], *, vm_count: int) -> str:
        """Return the name of the endpoint; there must be a candidate.

        `vm_count` is the number of VMs that send statements to these endpoints.
        """
        if len(candidates) == 1:
            return candidates[0].name
        if vm_count <= 1:
            return min(candidates, key=lambda candidate: candidate.cost_s).name
        weights = []
        for _, cost_s, free in candidates:
            free = free if free > MIN_FREE_SLOTS else MIN_FREE_SLOTS
            weights.append(free / (cost_s or MIN_COST_S) ** COST_EXPONENT)
        scale = 1.0 / sum(weights)
        credits = self._credits
        best, most = "", -inf
        for (name, _, _), weight in zip(candidates, weights, strict=True):
            credit = credits.get(name)
            if credit is None:
                # VMs that start or learn of an endpoint together begin at other turns.
                credit = self._random.random()
            credits[name] = credit = credit + weight * scale
            if credit > most:
                best, most = name, credit
        credits[best] -= 1.0
        return best
