"""Decides how long the next long poll for changes of the store waits.

Answers the load of many VMs that watch the store, each call of which is charged, and
of the moment after an outage: a connection that was opened while the store answered
nothing may be dead, and only the end of the wait shows it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from celeryjunction.ports import StoreRefused, StoreUnavailable
from celeryjunction.shared_watch import BATCH_DELAY_S, WatchPage

Changes = Callable[..., Awaitable[WatchPage]]
"""Takes a prefix, a revision, and `wait_ms` and `timeout` as keywords."""

MIN_WAIT_MS = 500
ANSWER_MARGIN_MS = 500
"""A long poll without a response this long after its wait is taken as broken."""
RECOVERY_MS = 1500
"""A long poll waits this much less than a VM has to notice a change over a dead
connection: `ANSWER_MARGIN_MS`, then time to connect again, also if the first attempt
fails, and to list the keys if the service has discarded the changes in between."""
PEER_REPORTED_WAIT_MS = 6000
"""Wait while a peer reports changes within a second."""
WAIT_AFTER_FAILURE_MS = 500
"""Wait of the long poll after a failed one."""


class WatchWait:
    """Wait of the next long poll; changes are to be seen within `bound_ms`.

    One lost answer takes up that time. Where more may be lost, a bound must not rest on
    the watch alone, see `route_updates`.

    After its connections were reset or fell silent, a VM is not held to the bound for
    `contact_ms`, so that it has the longer of the two times to notice a dead
    connection. While `peer_reports_changes` is set, another VM reports changes as well,
    and fewer calls suffice.
    """

    __slots__ = ("failed", "longest_alone_ms", "peer_reports_changes")

    def __init__(self, bound_ms: float, contact_ms: float = 0.0) -> None:
        allowed_ms = int(max(bound_ms, contact_ms))
        wait_ms = max(allowed_ms - RECOVERY_MS, allowed_ms // 2)
        self.longest_alone_ms = max(wait_ms, MIN_WAIT_MS)
        """Longest wait of a VM without such a peer."""
        self.peer_reports_changes = False
        self.failed = False
        """Whether the last long poll got no answer."""

    @property
    def longest_silence_s(self) -> float:
        """Longest time between two answers to a long poll of a VM that has no peer."""
        return self.longest_alone_ms / 1000 + BATCH_DELAY_S

    async def poll(self, changes: Changes, after: int) -> WatchPage:
        """Wait for changes of any key; raises what `changes` raises."""
        wait_ms = self.next_ms
        timeout = (wait_ms + ANSWER_MARGIN_MS) / 1000
        try:
            page = await changes("", after, wait_ms=wait_ms, timeout=timeout)
        except (StoreUnavailable, StoreRefused):
            self.failed = True
            raise
        self.failed = False
        return page

    @property
    def next_ms(self) -> int:
        """Milliseconds that the next long poll waits."""
        if self.failed:
            return WAIT_AFTER_FAILURE_MS
        if self.peer_reports_changes:
            return max(self.longest_alone_ms, PEER_REPORTED_WAIT_MS)
        return self.longest_alone_ms
