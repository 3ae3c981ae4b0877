"""The bound on an organisation's operations, and the limit of one share within it.

In a window of W seconds, the buckets of the three shares give out at most their
capacities and r * W. What was granted up to `TOKEN_LIFE_S` before the window may be
used in it, and what was admitted up to `DISPATCH_S` before it may reach an endpoint in
it: the buckets' rate counts for that time too. docs/design/allotments.md has the sum.
"""

from __future__ import annotations

import msgspec

from celeryjunction.allotments.demand import TOKEN_LIFE_S
from celeryjunction.allotments.share_rules import SHARES
from celeryjunction.gateway.organisations import Organisation

DISPATCH_S = 0.2
"""Time from an operation's admission until it reaches an endpoint."""
LATE_FRACTION = 0.5
"""Part of the slack that is kept for operations that reach an endpoint later, because
they were queued or their VM was frozen."""


class QuotaBound(msgspec.Struct, frozen=True):
    """At most (rate * window_s + burst) * (1 + overrun) + slack operations a window."""

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0

    @property
    def memory_s(self) -> float:
        """Seconds after which a grant does not count in any window from then on."""
        return self.window_s + TOKEN_LIFE_S

    def limit(self, organisation: Organisation) -> float:
        """Return how many operations may reach endpoints in a window."""
        allowed = organisation.rate_per_s * self.window_s + organisation.burst
        return allowed * (1 + self.overrun) + self.slack

    def share_limit(self, organisation: Organisation) -> tuple[float, float]:
        """Return the rate and the capacity of an organisation's bucket in one share.

        Each share can hold a whole token, unless the tolerance of the bound is too
        small for that. Under steady load a bucket's capacity is used once and its rate
        all the time, while rate and burst allow the burst in every window: the rate is
        therefore higher by a burst in each window, as far as the bound has room for
        the life of a token and for late operations.
        """
        burst, limit = organisation.burst, self.limit(organisation)
        capacity = max(float(SHARES), burst)
        spent_s = self.memory_s + DISPATCH_S
        if capacity + organisation.rate_per_s * spent_s > limit:
            capacity = max(1.0, burst)
        most = max(0.0, limit - capacity) / spent_s
        least = min(organisation.rate_per_s, most)
        steady = organisation.rate_per_s + burst / self.window_s
        room = most - LATE_FRACTION * self.slack / spent_s
        return max(least, min(steady, room)) / SHARES, capacity / SHARES
