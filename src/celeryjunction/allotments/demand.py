"""How many tokens a VM needs soon, and the received tokens that it has not yet used.

Tokens that are asked for ahead keep steady load from waiting. They are few, because
what is not used within `TOKEN_LIFE_S` is lost to the other VMs unless it is returned.
"""

from __future__ import annotations

from collections import deque
from math import exp
from typing import Protocol

HORIZON_S = 0.2
"""A VM asks for what it needs in this time."""
MIN_AHEAD = 4.0
"""Nothing is asked for ahead below this forecast. With fewer operations the tokens
often stay unused, and the round trip of 0.4 to 2 ms is short beside any statement."""
RATE_MEMORY_S = 0.5
"""Time constant of the recent rate: two and a half horizons."""
TOKEN_LIFE_S = 0.3
"""Tokens are used within this time of their request."""
ROUNDING = 1e-9
"""Sums of fractions that miss a whole token by less than this count as one."""


class DemandForecast:
    """Recent rate of operations, as an exponentially weighted mean."""

    __slots__ = ("_rate", "_updated_at")

    def __init__(self) -> None:
        self._rate = 0.0
        self._updated_at = 0.0

    def record(self, now: float) -> None:
        """Count an operation."""
        self._rate = self.rate(now) + 1 / RATE_MEMORY_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the recent operations per second."""
        elapsed_s = now - self._updated_at
        return self._rate * exp(-elapsed_s / RATE_MEMORY_S) if self._rate else 0.0

    def needed(self, now: float) -> float:
        """Return the tokens to have at hand; 0 if they would rarely be used in time."""
        expected = self.rate(now) * HORIZON_S
        return expected if expected >= MIN_AHEAD else 0.0


class TokenSource(Protocol):
    """Where tokens came from, to which unused ones are returned."""

    def give_back(self, organisation: str, lot: Lot, amount: float) -> None:
        """Return unused tokens of a grant."""
        ...


class Lot:
    """Tokens of one grant; `number` is that of the request."""

    __slots__ = ("amount", "expires_at", "number", "source")

    def __init__(
        self, amount: float, *, source: TokenSource, number: int, requested_at: float
    ) -> None:
        self.amount = amount
        self.source = source
        self.number = number
        self.expires_at = requested_at + TOKEN_LIFE_S

    def is_usable(self, now: float) -> bool:
        """Whether the tokens may be used."""
        return now < self.expires_at

    def is_older(self, now: float, seconds: float) -> bool:
        """Whether the tokens were requested at least this long ago."""
        return now - (self.expires_at - TOKEN_LIFE_S) >= seconds


class TokenStock:
    """Tokens of one organisation that were granted to this VM, oldest first."""

    __slots__ = ("_lots",)

    def __init__(self) -> None:
        self._lots: deque[Lot] = deque()

    @property
    def lots(self) -> list[Lot]:
        """The lots that are left, also expired ones."""
        return list(self._lots)

    def add(self, lot: Lot) -> None:
        """Store the tokens of a grant."""
        self._lots.append(lot)

    def level(self, now: float) -> float:
        """Return the tokens that may be used now, and drop the expired ones."""
        lots = self._lots
        while lots and (not lots[0].is_usable(now) or lots[0].amount <= 0):
            lots.popleft()
        return sum(lot.amount for lot in lots if lot.is_usable(now))

    def take(self, amount: float, now: float) -> float:
        """Take up to `amount` tokens, the oldest first; return how many."""
        taken = 0.0
        for lot in self._lots:
            if taken >= amount:
                break
            if lot.is_usable(now):
                part = min(lot.amount, amount - taken)
                lot.amount -= part
                taken += part
        return taken

    def remove(self, lot: Lot) -> float:
        """Remove a lot; return the tokens that were left in it."""
        amount, lot.amount = lot.amount, 0.0
        return amount
