"""The shares that this VM holds, and the buckets from which it grants tokens."""

from __future__ import annotations

from collections.abc import Iterator

from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.allotments.demand import ROUNDING, TOKEN_LIFE_S
from celeryjunction.allotments.token_bucket import Loan, TokenBucket
from celeryjunction.gateway.organisations import Organisation


class HeldShare:
    """A share that this VM holds, with a bucket for each organisation.

    `free_from` is when earlier holders have stopped. Their grants of the last window
    may still count, so a bucket starts empty then; it starts full once those count in
    no window any more. Nothing is granted before `free_from`, nor from
    `valid_until` on.
    """

    __slots__ = ("_bound", "_buckets", "free_from", "number", "valid_until")

    def __init__(
        self,
        number: int,
        *,
        free_from: float,
        valid_until: float,
        bound: QuotaBound,
    ) -> None:
        self.number = number
        self.free_from = free_from
        self.valid_until = valid_until
        self._bound = bound
        self._buckets: dict[str, TokenBucket] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "number", self.number
        yield "free_from", self.free_from
        yield "valid_until", self.valid_until

    def is_usable(self, now: float) -> bool:
        """Whether this VM may grant tokens of the share."""
        return self.free_from <= now < self.valid_until

    def bucket(self, organisation: Organisation, now: float) -> TokenBucket:
        """Return the bucket of an organisation, with the limit now in force."""
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = self._add_bucket(organisation, now)
        return bucket

    def _add_bucket(self, organisation: Organisation, now: float) -> TokenBucket:
        rate, capacity = self._bound.share_limit(organisation)
        free_s = now - self.free_from
        is_clear = free_s >= self._bound.memory_s
        level = capacity if is_clear else rate * max(0.0, free_s)
        bucket = TokenBucket(rate=rate, capacity=capacity, level=level, now=now)
        self._buckets[organisation.name] = bucket
        return bucket

    def apply_limits(
        self, limits: dict[str, Organisation], bound: QuotaBound, now: float
    ) -> None:
        """Apply the limits now in force.

        The bucket of a removed organisation stays for a window, since the organisation
        may return at once.
        """
        self._bound = bound
        for name, bucket in list(self._buckets.items()):
            organisation = limits.get(name)
            if organisation is not None:
                rate, capacity = self._bound.share_limit(organisation)
                bucket.resize(rate=rate, capacity=capacity, now=now)
            elif now - bucket.idle_since >= self._bound.memory_s:
                del self._buckets[name]


class Borrowed:
    """The loans of the last grant to one organisation on one connection."""

    __slots__ = ("loans",)

    def __init__(self) -> None:
        self.loans: list[tuple[TokenBucket, Loan]] = []

    def take_back(self, amount: float, now: float) -> None:
        """Return tokens of these loans to their buckets."""
        for bucket, loan in self.loans:
            part = min(amount, loan.returnable)
            bucket.take_back(loan, part, now)
            amount -= part

    def settle(self) -> None:
        """End the right of return of these loans."""
        for bucket, loan in self.loans:
            bucket.settle(loan)
        self.loans.clear()


class HeldShares:
    """All shares that this VM holds."""

    __slots__ = ("_by_number", "_shortages")

    def __init__(self) -> None:
        self._by_number: dict[int, HeldShare] = {}
        self._shortages: dict[str, tuple[Borrowed, float]] = {}
        """Who last got less than it wanted and when, by organisation."""

    def __len__(self) -> int:
        return len(self._by_number)

    def __iter__(self) -> Iterator[HeldShare]:
        return iter(self._by_number.values())

    def __contains__(self, number: int) -> bool:
        return number in self._by_number

    def get(self, number: int) -> HeldShare | None:
        """Return a share that this VM holds."""
        return self._by_number.get(number)

    def add(self, share: HeldShare) -> None:
        """Hold a share from now on."""
        self._by_number[share.number] = share

    def remove(self, number: int) -> None:
        """Stop using a share."""
        self._by_number.pop(number, None)

    def apply_limits(
        self, limits: dict[str, Organisation], bound: QuotaBound, now: float
    ) -> None:
        """Apply the limits now in force to all shares."""
        for share in self:
            share.apply_limits(limits, bound, now)

    def level(self, organisation: Organisation, now: float) -> float:
        """Return the tokens at hand in all shares."""
        return sum(
            share.bucket(organisation, now).level(now)
            for share in self
            if share.is_usable(now)
        )

    def take(self, organisation: Organisation, amount: float, now: float) -> float:
        """Take up to `amount` tokens for an operation of this VM; return how many."""
        taken = 0.0
        for share in self:
            if taken < amount and share.is_usable(now):
                bucket = share.bucket(organisation, now)
                part = min(bucket.level(now), amount - taken)
                bucket.take(part, now)
                taken += part
        return taken

    def lend(
        self, organisation: Organisation, wanted: float, borrowed: Borrowed, now: float
    ) -> float:
        """Lend up to `wanted` tokens to another VM; return how many.

        The loans of the grant before it lose their right of return, so that a return
        always belongs to the last grant.
        """
        borrowed.settle()
        amount = min(wanted, self.level(organisation, now))
        if amount < wanted:
            if self._is_contended(organisation.name, borrowed, now):
                amount = float(int(amount + ROUNDING))
            self._shortages[organisation.name] = borrowed, now
        granted = 0.0
        for share in self:
            if granted < amount and share.is_usable(now):
                bucket = share.bucket(organisation, now)
                loan = bucket.lend(amount - granted, now)
                if loan.amount:
                    borrowed.loans.append((bucket, loan))
                    granted += loan.amount
        return granted

    def _is_contended(self, name: str, borrowed: Borrowed, now: float) -> bool:
        """Whether another VM got too little within the life of a token.

        If several VMs each got a fraction of a token, none could use it in time.
        """
        other, short_at = self._shortages.get(name, (borrowed, 0.0))
        return other is not borrowed and now - short_at < TOKEN_LIFE_S
