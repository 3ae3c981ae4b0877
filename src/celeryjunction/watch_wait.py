"""Decides how long the next long poll for changes of the store waits.

Answers the load of many VMs that watch the store, each call of which is charged, and
of the moment after an outage: a connection that was opened while the store answered
nothing may be dead, and only the end of the wait shows it.
"""

from __future__ import annotations

from celeryjunction.shared_watch import BATCH_DELAY_S

MIN_WAIT_MS = 500
WAIT_MARGIN_MS = 500
"""A long poll waits this much less than the platform's bound on the config, so that a
dead connection is noticed in time."""
PEER_REPORTED_WAIT_MS = 6000
"""Wait while a peer reports changes within a second."""
WAIT_AFTER_FAILURE_MS = 500
"""Wait of the long poll after a failed one."""


class WatchWait:
    """Wait of the next long poll; changes must be seen within `bound_ms`.

    While `peer_reports_changes` is set, another VM reports them as well, and fewer
    calls suffice.
    """

    __slots__ = ("failed", "longest_alone_ms", "peer_reports_changes")

    def __init__(self, bound_ms: float) -> None:
        self.longest_alone_ms = max(int(bound_ms) - WAIT_MARGIN_MS, MIN_WAIT_MS)
        """Longest wait of a VM without such a peer."""
        self.peer_reports_changes = False
        self.failed = False
        """Whether the last long poll got no answer."""

    @property
    def longest_silence_s(self) -> float:
        """Longest time between two answers to a long poll of a VM that has no peer."""
        return self.longest_alone_ms / 1000 + BATCH_DELAY_S

    @property
    def next_ms(self) -> int:
        """Milliseconds that the next long poll waits."""
        if self.failed:
            return WAIT_AFTER_FAILURE_MS
        if self.peer_reports_changes:
            return max(self.longest_alone_ms, PEER_REPORTED_WAIT_MS)
        return self.longest_alone_ms
