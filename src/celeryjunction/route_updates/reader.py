"""Reads the changes of the store when the routes were not confirmed recently.

The watch brings changes quickly, but its answer may be lost, or another call of the VM
may end it. The reader does not depend on it: it asks the store for the changes since
the last known revision, which takes one short answer while there are none. The same
answer confirms the register of endpoints.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from random import Random
from typing import Protocol

from celeryjunction.follower import RECONNECTS_PER_S, PrefixFollower
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
)
from celeryjunction.replication.register import READ_AGE_S, EndpointRegister
from celeryjunction.route_updates.confirmation import RoutesConfirmation
from celeryjunction.route_updates.time_budget import TimeBudget
from celeryjunction.shared_watch import WatchPage
from celeryjunction.store_history import StoreHistory

SPREAD = (0.7, 1.0)
"""Parts of `TimeBudget.max_age_s` between which a home's next read is drawn, so that
one home's read confirms the routes of the others."""
LEAST_WAIT_S = 0.001
"""Shorter waits may not pass: the sum of a large time and a tiny one is rounded."""
OUTAGE_RETRY_FACTOR = 2.0
"""The pause between reads grows by this once the bound has passed."""

_log = get_logger("routes")


class ChangesStore(Protocol):
    """A store that returns changes without waiting for one."""

    async def changes(self, prefix: str, after: int, *, timeout: float) -> WatchPage:
        """Return the changes under a prefix after a revision.

        Raises `WatchCompacted` if the store does not keep them any more.
        """
        ...


class RoutesReader:
    """Keeps the routes confirmed, and reads a newer version that another VM reports.

    `in_force` returns the version in force, and `forwards` whether this VM takes its
    homes' reports as confirmations. Otherwise the `register` is kept confirmed as well.
    """

    def __init__(
        self,
        follower: PrefixFollower,
        store: ChangesStore,
        *,
        confirmation: RoutesConfirmation,
        budget: Callable[[], TimeBudget],
        in_force: Callable[[], int],
        forwards: Callable[[], bool],
        vm_count: Callable[[], int],
        history: StoreHistory,
        clock: Clock,
        random: Random,
        register: EndpointRegister | None = None,
    ) -> None:
        self._register = register
        self._follower = follower
        self._store = store
        self._confirmation = confirmation
        self._budget = budget
        self._in_force = in_force
        self._forwards = forwards
        self._vm_count = vm_count
        self._history = history
        self._clock = clock
        self._random = random
        self._woken = asyncio.Event()
        self._after = 0
        """Revision that the last read reached."""
        self._losses = 0
        """Losses of the store before that read."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "age_s", self._confirmation.age_s(self._clock.monotonic())
        yield "in_force", self._in_force()

    def wake(self) -> None:
        """Read at once if another VM has reported a newer version."""
        self._woken.set()

    async def run(self) -> None:
        """Read the changes whenever that is due, until cancelled."""
        await self._follower.synced.wait()
        while True:
            limit_s = self._budget().limit_s(forwards=self._forwards())
            if not self._forwards():
                limit_s *= self._random.uniform(*SPREAD)
            await self._wait_until_due(limit_s)
            await self._read_until_confirmed(limit_s)

    def _due_in_s(self, limit_s: float) -> float:
        if self._confirmation.newer_version(self._in_force()):
            return 0.0
        left_s = limit_s - self._confirmation.age_s(self._clock.monotonic())
        return min(left_s, self._register_due_in_s(limit_s))

    def _register_due_in_s(self, limit_s: float) -> float:
        register = self._register
        if register is None or self._forwards() or not register.applied_revision:
            return math.inf
        return min(limit_s, READ_AGE_S) - register.confirmed_age_s

    async def _wait_until_due(self, limit_s: float) -> None:
        while (left_s := self._due_in_s(limit_s)) > 0.0:
            self._woken.clear()
            try:
                async with asyncio.timeout(max(left_s, LEAST_WAIT_S)):
                    await self._woken.wait()
            except TimeoutError:
                continue

    async def _read_until_confirmed(self, limit_s: float) -> None:
        """Send a read, and further ones beside it, until the routes are confirmed.

        Every second one is a list, which has only the newest routes: the changes have
        all versions that were in force since.
        """
        attempts: list[asyncio.Task[None]] = []
        lists = False
        try:
            while self._due_in_s(limit_s) <= 0.0:
                if len(attempts) < self._budget().attempts:
                    attempts.append(asyncio.create_task(self._read(lists=lists)))
                    lists = not lists
                await self._wait_for_answer(attempts, limit_s)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _wait_for_answer(
        self, attempts: list[asyncio.Task[None]], limit_s: float
    ) -> None:
        """Wait until the routes are confirmed or the next read is due."""
        pause = asyncio.create_task(asyncio.sleep(self._pause_s()))
        try:
            while not pause.done() and self._due_in_s(limit_s) <= 0.0:
                ended, _ = await asyncio.wait(
                    {*attempts, pause}, return_when=asyncio.FIRST_COMPLETED
                )
                attempts[:] = [task for task in attempts if not task.done()]
                for task in ended:
                    task.result()
        finally:
            pause.cancel()

    def _pause_s(self) -> float:
        """Return the time until the next read."""
        budget = self._budget()
        pause_s = budget.retry_s
        if self._confirmation.age_s(self._clock.monotonic()) >= budget.bound_s:
            pause_s *= OUTAGE_RETRY_FACTOR
        return max(pause_s, self._vm_count() / RECONNECTS_PER_S)

    async def _read(self, *, lists: bool) -> None:
        """Apply the changes, or list the keys: also if the store keeps no changes."""
        follower, sent_at = self._follower, self._clock.monotonic()
        timeout_s = self._budget().timeout_s
        if lists:
            await follower.refresh(timeout_s)
            return
        if self._losses != follower.losses:
            self._after, self._losses = 0, follower.losses
        after, prefix = max(self._after, follower.revision), follower.prefix
        register = self._register
        if register is not None and register.applied_revision:
            # The changes of all keys confirm the register as well, in the same call.
            after, prefix = min(after, register.applied_revision), ""
        try:
            if self._losses != self._history.losses:
                raise WatchCompacted("the store has lost changes")
            page = await self._store.changes(prefix, after, timeout=timeout_s)
        except WatchCompacted:
            await follower.refresh(timeout_s)
            if not prefix:
                await register.poll()
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning(
                "routes_not_read",
                age_s=round(self._confirmation.age_s(sent_at), 2),
                reason=str(error),
            )
        else:
            routes = [e for e in page.events if e.key.startswith(follower.prefix)]
            follower.apply_changes(routes, sent_at=sent_at)
            if not prefix:
                register.apply_changes(page.events, sent_at=sent_at)
            self._after = max(self._after, page.revision)
