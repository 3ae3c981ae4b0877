"""Chooses the endpoints on which an owner's connections are kept.

Answers the load of organisations whose statements are too rare to keep a connection
open at each endpoint. An owner with few statements keeps to one endpoint, so that one
connection is used often enough to stay open; one with many uses several at once. The
order is that of rendezvous hashing, so each owner returns to the same endpoints. As in
consistent hashing with bounded loads, an endpoint that is busier than the mean by a
factor is passed over, so that the hash never makes an endpoint busy beside idle ones.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import ceil

from celeryjunction.home import rank_homes

USES_PER_HOME_S = 2.0
"""Statements per second that justify a connection at a further endpoint. One that is
used less often is likely to be closed before its next use."""
LOAD_BOUND = 1.25
"""Load of an endpoint, as a multiple of the mean, above which it is passed over."""
MAX_RANKED = 1024
"""Stored rankings; a VM serves fewer organisations."""


class OwnerPlacement:
    """Ranks the endpoints of one group for each owner.

    ```python
    placement = OwnerPlacement()
    placement.homes("bode", {"a1": 0, "b1": 4, "c1": 1}, uses_per_s=0.3)  # ["c1"]
    ```
    """

    __slots__ = ("_rankings",)

    def __init__(self) -> None:
        self._rankings: dict[tuple[str, ...], list[str]] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "rankings", len(self._rankings)

    def homes(
        self, owner: str, loads: Mapping[str, float], *, uses_per_s: float
    ) -> list[str]:
        """Return an owner's endpoints among those given with their busy slots.

        `uses_per_s` is the rate of the owner's statements on this VM.
        """
        count = 1 + int(uses_per_s / USES_PER_HOME_S)
        if count >= len(loads):
            return list(loads)
        bound = ceil(LOAD_BOUND * (sum(loads.values()) + 1) / len(loads))
        ranking = self._ranking(owner, loads)
        return [name for name in ranking if loads[name] < bound][:count]

    def _ranking(self, owner: str, endpoints: Mapping[str, float]) -> list[str]:
        key = owner, *endpoints
        ranking = self._rankings.get(key)
        if ranking is None:
            if len(self._rankings) >= MAX_RANKED:
                self._rankings.clear()
            ranking = self._rankings[key] = rank_homes(owner, endpoints)
        return ranking
