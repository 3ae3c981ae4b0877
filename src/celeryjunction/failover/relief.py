"""Handover of an overloaded primary that is the only endpoint able to serve reads.

While all replicas of a group are too far behind, every read goes to the primary. If
that exceeds its capacity, a handover helps: the new primary serves at once with all
that it received, and the old one becomes a replica that has applied everything. The
cost is one promotion. This covers busy groups whose replicas lag for many seconds.
"""

from __future__ import annotations

from collections.abc import Collection

MIN_BEHIND_S = 2.0
"""Replicas that have refused reads as too far behind for this long are not expected to
catch up soon. Longer than a promotion takes, so waiting on would cost more."""
MIN_TENURE_S = 10.0
"""Least time as primary before a handover. With a shorter one, handovers could follow
each other before the first takes effect."""


def should_hand_over(
    *,
    now: float,
    led_since: float,
    behind_since: Collection[float],
    is_overloaded: bool,
) -> bool:
    """Return whether the primary should hand over.

    `led_since` is when it became primary. `behind_since` holds for each replica the
    time since which it has refused reads as too far behind, 0 if it does not. All
    times are seconds of one clock. `is_overloaded` says whether many statements
    recently missed their queue deadline.

    ```python
    should_hand_over(
        now=30.0, led_since=0.0, behind_since=[25.0, 26.0], is_overloaded=True
    )
    ```
    """
    return (
        is_overloaded
        and bool(behind_since)
        and all(since and now - since >= MIN_BEHIND_S for since in behind_since)
        and now - led_since >= MIN_TENURE_S
    )
