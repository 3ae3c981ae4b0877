"""A token bucket that lends tokens, whose return never adds any.

A token that is returned late must not be spent beside one that the bucket has earned
meanwhile. Therefore a loan loses its right of return as far as the bucket would have
overflowed if the loan had not been made: the level and all returnable loans together
never exceed the capacity. In any time of t seconds, at most `capacity + rate * t`
tokens are taken and not returned, however late or often a return arrives.

    bucket = TokenBucket(rate=1.0, capacity=10.0, level=10.0, now=0.0)
    loan = bucket.lend(4.0, now=0.0)                   # loan.amount is 4.0
    bucket.take_back(loan, 3.0, now=1.0)               # the level is 10.0
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

LOAN_MEMORY_S = 1.0
"""A return later than this is not accepted. Tokens are returned within 0.3 s."""


class Loan:
    """Tokens that a bucket lent; `returnable` of them may still come back."""

    __slots__ = ("amount", "lent_at", "returnable")

    def __init__(self, amount: float, *, now: float) -> None:
        self.amount = amount
        self.lent_at = now
        self.returnable = amount


class TokenBucket:
    """Tokens that accrue at `rate` per second up to `capacity`.

    Times are seconds of one clock; a time before the last one counts as the last one.
    """

    __slots__ = ("_capacity", "_level", "_loans", "_rate", "_returnable", "_updated_at")

    def __init__(
        self, *, rate: float, capacity: float, level: float, now: float
    ) -> None:
        self._rate = rate
        self._capacity = capacity
        self._level = min(level, capacity)
        self._updated_at = now
        self._loans: deque[Loan] = deque()
        self._returnable = 0.0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "rate", self._rate
        yield "capacity", self._capacity
        yield "level", self._level

    @property
    def idle_since(self) -> float:
        """When the bucket was last used."""
        return self._updated_at

    def level(self, now: float) -> float:
        """Return the tokens at hand."""
        self._refill(now)
        return self._level

    def resize(self, *, rate: float, capacity: float, now: float) -> None:
        """Apply another limit from now on; a lower capacity shrinks the bucket."""
        self._refill(now)
        self._rate, self._capacity = rate, capacity
        self._level = min(self._level, capacity)
        self._trim_loans()

    def take(self, amount: float, now: float) -> None:
        """Take tokens that `level` showed to be at hand."""
        self._refill(now)
        self._level = max(0.0, self._level - amount)

    def lend(self, wanted: float, now: float) -> Loan:
        """Take up to `wanted` tokens, some of which may be returned."""
        self._refill(now)
        loan = Loan(max(0.0, min(wanted, self._level)), now=now)
        if loan.amount:
            self._level -= loan.amount
            self._returnable += loan.amount
            self._loans.append(loan)
        return loan

    def take_back(self, loan: Loan, amount: float, now: float) -> None:
        """Accept tokens of a loan as far as they are returnable."""
        self._refill(now)
        accepted = max(0.0, min(amount, loan.returnable))
        loan.returnable -= accepted
        self._returnable -= accepted
        self._level = min(self._capacity, self._level + accepted)

    def settle(self, loan: Loan) -> None:
        """End the right of return of a loan."""
        self._returnable -= loan.returnable
        loan.returnable = 0.0

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._updated_at = now
        self._level = min(self._capacity, self._level + self._rate * elapsed_s)
        while self._loans and (
            not self._loans[0].returnable
            or now - self._loans[0].lent_at > LOAN_MEMORY_S
        ):
            self.settle(self._loans.popleft())
        self._trim_loans()

    def _trim_loans(self) -> None:
        """Reduce returnable loans, oldest first, until all of them would fit."""
        excess = self._level + self._returnable - self._capacity
        while excess > 0 and self._loans:
            loan = self._loans[0]
            reduction = min(excess, loan.returnable)
            loan.returnable -= reduction
            self._returnable -= reduction
            excess -= reduction
            if not loan.returnable:
                self._loans.popleft()
