"""One watch of the key-value service that serves the watches of several prefixes.

The platform charges for each call, a waiting watch as one, and each VM watches the
config, the register of endpoints and the list of VMs. A single watch of all keys costs
a third of that.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import NamedTuple

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)

RECENT_EVENTS = 1000
"""Events that are kept for a prefix whose watch starts a little behind the others."""

BATCH_DELAY_S = 1.0
"""Pause after changes, so that the next call returns several at once: a rolling restart
changes the list of VMs twice for each VM, and each VM makes a call for each change."""

_log = get_logger("store")

Failure = StoreUnavailable | StoreRefused | WatchCompacted


class WatchPage(NamedTuple):
    """Changes after a revision, and the revision that they reach."""

    events: Sequence[WatchEvent]
    revision: int


class _Subscriber:
    """The watch of one prefix."""

    __slots__ = ("prefix", "queue")

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        self.queue: asyncio.Queue[WatchEvent | Failure] = asyncio.Queue()

    def end(self, error: Failure) -> None:
        """Raise an error at once, instead of the events that still wait."""
        while not self.queue.empty():
            self.queue.get_nowait()
        self.queue.put_nowait(error)

    def deliver(self, page: WatchPage) -> None:
        for event in page.events:
            if event.key.startswith(self.prefix):
                self.queue.put_nowait(event)
        self.queue.put_nowait(WatchEvent("", None, page.revision))


class SharedWatch:
    """Distributes the changes of all keys to the watches of prefixes.

    `poll` waits for changes after a revision; it raises `StoreUnavailable`,
    `StoreRefused` or `WatchCompacted`, which ends the watches of all prefixes. After
    changes the next call waits `batch_delay_s` seconds, so that one call returns
    several.
    """

    __slots__ = (
        "_after",
        "_batch_delay_s",
        "_floor",
        "_outdated",
        "_poll",
        "_prefixes",
        "_recent",
        "_sleep",
        "_subscribers",
        "_task",
    )

    def __init__(
        self,
        poll: Callable[[int], Awaitable[WatchPage]],
        *,
        batch_delay_s: float,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._poll = poll
        self._batch_delay_s = batch_delay_s
        self._sleep = sleep
        self._subscribers: set[_Subscriber] = set()
        self._recent: deque[WatchEvent] = deque(maxlen=RECENT_EVENTS)
        self._after = 0
        self._floor = 0
        """`_recent` holds all changes after this revision."""
        self._task: asyncio.Task[None] | None = None
        self._prefixes: set[str] = set()
        self._outdated: set[str] = set()
        """Prefixes whose next watch must not go on where the last one ended."""

    async def watch(
        self, prefix: str, *, start_revision: int
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from `start_revision` on.

        After each answer of the store, an event with an empty key gives the revision
        reached. Raises what `poll` raises.
        """
        if prefix in self._outdated:
            self._outdated.discard(prefix)
            raise WatchCompacted("the service may have lost changes")
        self._prefixes.add(prefix)
        subscriber = _Subscriber(prefix)
        self._join(subscriber, start_revision - 1)
        try:
            while True:
                event = await subscriber.queue.get()
                if isinstance(event, Exception):
                    raise event
                yield event
        finally:
            self._leave(subscriber)

    def _join(self, subscriber: _Subscriber, after: int) -> None:
        if self._task is None or self._task.done():
            self._start(after)
        elif after < self._floor:
            # The others see these changes again, and ignore what they know.
            self._task.cancel()
            self._start(after)
        missed = [event for event in self._recent if event.revision > after]
        if missed:
            subscriber.deliver(WatchPage(missed, self._after))
        self._subscribers.add(subscriber)

    def _start(self, after: int) -> None:
        self._after = self._floor = after
        self._recent.clear()
        self._task = asyncio.create_task(self._run())

    def _leave(self, subscriber: _Subscriber) -> None:
        self._subscribers.discard(subscriber)
        if not self._subscribers and self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            try:
                page = await self._poll(self._after)
            except (StoreUnavailable, StoreRefused, WatchCompacted) as error:
                self._fail(error)
                return
            except Exception as error:
                _log.error("watch_failed", alarm=1, reason=repr(error))
                self._fail(StoreUnavailable(f"the watch failed: {error!r}"))
                return
            self._record(page.events)
            self._after = max(self._after, page.revision)
            for subscriber in self._subscribers:
                subscriber.deliver(page)
            if page.events:
                await self._sleep(self._batch_delay_s)

    def restart_after_loss(self) -> None:
        """End all watches, also those that are about to be resumed.

        Those of prefixes that were followed before raise `WatchCompacted` once.
        """
        ended = {subscriber.prefix for subscriber in self._subscribers}
        self._outdated |= self._prefixes - ended
        self._recent.clear()
        task, self._task = self._task, None
        for subscriber in self._subscribers:
            subscriber.end(WatchCompacted("the service has lost changes"))
        self._subscribers.clear()
        if task is not None and task is not asyncio.current_task():
            task.cancel()

    def _fail(self, error: Failure) -> None:
        for subscriber in self._subscribers:
            subscriber.queue.put_nowait(error)
        self._subscribers.clear()

    def _record(self, events: Sequence[WatchEvent]) -> None:
        for event in events:
            if len(self._recent) == RECENT_EVENTS:
                self._floor = self._recent[0].revision
            self._recent.append(event)
