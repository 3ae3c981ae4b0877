"""An organisation's operations at this VM that wait for tokens, and who is asked.

A VM takes from its own shares, from the tokens that it received, and then from the
holders in order. An operation is refused as soon as every holder has said that nothing
is left. A token may be put together from fractions of several holders, so that a small
organisation is not refused while the sum of its shares has a token.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator, Sequence

from celeryjunction.allotments.demand import ROUNDING, DemandForecast, TokenStock
from celeryjunction.allotments.holder_link import HolderLink
from celeryjunction.allotments.shares import HeldShares
from celeryjunction.gateway.organisations import Organisation
from celeryjunction.ports import Clock

EMPTY_S = 0.02
"""A holder that had too little is not asked again for this long. Otherwise each refused
operation would cost a request to each holder."""
LOW_STOCK_FRACTION = 0.5
"""Tokens are asked for ahead once less than this fraction of the forecast is left."""
MAX_AHEAD_FRACTION = 0.125
"""Tokens that one VM has at hand for its forecast, as a fraction of the burst: the
other VMs do not have these while they need them."""
RETURN_AFTER_S = 0.2
"""Tokens that are still unused after this time are returned to their holder."""

NOTHING_LEFT = "nothing_left"
NO_HOLDER = "no_holder"
"""No holder of a share could be asked."""
TOO_LATE = "too_late"
"""The deadline passed while holders were asked."""


class Refused(Exception):
    """An operation got no token; the argument is the reason."""


class Account:
    """Tokens and waiting operations of one organisation at this VM."""

    __slots__ = (
        "_clock",
        "_empty_until",
        "_forecast",
        "_gathering",
        "_links",
        "_shares",
        "_stock",
        "_waiters",
        "organisation",
    )

    def __init__(
        self,
        organisation: Organisation,
        *,
        shares: HeldShares,
        links: Callable[[], Sequence[HolderLink]],
        clock: Clock,
    ) -> None:
        self.organisation = organisation
        self._shares = shares
        self._links = links
        self._clock = clock
        self._forecast = DemandForecast()
        self._stock = TokenStock()
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._empty_until: dict[str, float] = {}
        self._gathering: asyncio.Task[None] | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "organisation", self.organisation.name
        yield "waiting", len(self._waiters)

    def take(self) -> bool:
        """Count an operation and take a token for it, if one is at hand."""
        now = self._clock.monotonic()
        self._forecast.record(now)
        if self._waiters or not self._take_local(now):
            return False
        self._ask_ahead(now)
        return True

    async def wait(self, *, deadline: float) -> None:
        """Wait for a token from a holder; raises `Refused`."""
        if not self._waiters and not self._askable(self._clock.monotonic()):
            raise Refused(self._reason())
        loop = asyncio.get_running_loop()
        waiter = loop.create_future()
        self._waiters.append(waiter)
        self._start_gathering()
        remaining_s = deadline - self._clock.monotonic()
        try:
            async with asyncio.timeout(max(remaining_s, 0.0)):
                await waiter
        except TimeoutError:
            raise Refused(TOO_LATE) from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _take_local(self, now: float) -> bool:
        """Take one token, or nothing, from the own shares and the stock."""
        at_hand = self._shares.level(self.organisation, now)
        stock = self._stock.level(now)
        if at_hand + stock < 1.0 - ROUNDING:
            return False
        # Received tokens go first, because they expire.
        taken = self._stock.take(1.0, now)
        if taken < 1.0:
            self._shares.take(self.organisation, 1.0 - taken, now)
        return True

    def _level(self, now: float) -> float:
        return self._stock.level(now) + self._shares.level(self.organisation, now)

    def _needed(self, now: float) -> float:
        """Return the tokens to have at hand for the forecast."""
        most = self.organisation.burst * MAX_AHEAD_FRACTION
        return min(self._forecast.needed(now), most)

    def _ask_ahead(self, now: float) -> None:
        needed = self._needed(now)
        if needed and self._level(now) < needed * LOW_STOCK_FRACTION:
            self._start_gathering()

    def _askable(self, now: float) -> list[HolderLink]:
        """Return the holders that may have tokens, in the order to ask them."""
        return [
            link
            for link in self._links()
            if not link.is_failing and self._empty_until.get(link.vm, 0.0) <= now
        ]

    def _reason(self) -> str:
        links = self._links()
        if not len(self._shares) and all(link.is_failing for link in links):
            return NO_HOLDER
        return NOTHING_LEFT

    def _start_gathering(self) -> None:
        if self._gathering is None or self._gathering.done():
            self._gathering = asyncio.create_task(self._gather())

    async def _gather(self) -> None:
        """Ask holders until no operation waits and the forecast is covered."""
        try:
            while True:
                now = self._clock.monotonic()
                self._serve_waiters(now)
                needed = self._needed(now)
                missing = len(self._waiters) + needed - self._level(now)
                is_stocked = missing <= needed * (1 - LOW_STOCK_FRACTION)
                if not self._waiters and is_stocked:
                    return
                links = self._askable(now)
                if not links:
                    self._refuse_waiters(now)
                    return
                await self._ask(links[0], missing)
        finally:
            self._refuse_waiters(self._clock.monotonic())

    async def _ask(self, link: HolderLink, wanted: float) -> None:
        lot = await link.ask(self.organisation.name, wanted)
        if lot is None:
            return
        self._stock.add(lot)
        if lot.amount < wanted - ROUNDING:
            self._empty_until[link.vm] = self._clock.monotonic() + EMPTY_S
        if lot.amount > 0:
            loop = asyncio.get_running_loop()
            loop.call_later(RETURN_AFTER_S, self._return_unused)

    def _serve_waiters(self, now: float) -> None:
        while self._waiters:
            if self._waiters[0].done():
                self._waiters.popleft()
            elif self._take_local(now):
                self._waiters.popleft().set_result(None)
            else:
                return

    def _refuse_waiters(self, now: float) -> None:
        """Refuse all waiting operations and return fractions that none can use."""
        if not self._waiters:
            return
        reason = self._reason()
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(Refused(reason))
        if not self._needed(now):
            self._return_lots(now, older_than_s=0.0)

    def _return_unused(self) -> None:
        self._return_lots(self._clock.monotonic(), older_than_s=RETURN_AFTER_S)

    def _return_lots(self, now: float, *, older_than_s: float) -> None:
        for lot in self._stock.lots:
            if lot.is_usable(now) and lot.is_older(now, older_than_s):
                amount = self._stock.remove(lot)
                lot.source.give_back(self.organisation.name, lot, amount)

    def close(self) -> None:
        """Stop asking holders."""
        if self._gathering is not None:
            self._gathering.cancel()
