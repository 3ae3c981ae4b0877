"""When a healthy primary hands over, because it is the only endpoint that can serve.

While all replicas of a group are far behind, every read goes to the primary. If that
is more than it can do, a handover helps: the new primary serves at once with all that
it received, and the old one stays a replica that has applied everything. That costs
one promotion. Answers the load of a busy group whose replicas apply late for many
seconds.
"""

from __future__ import annotations

from collections.abc import Collection

BEHIND_S = 2.0
"""Replicas that refused reads as too far behind for so long are not about to catch up:
longer than a promotion takes, so that waiting would cost more."""
SETTLED_S = 10.0
"""A primary leads for so long at least before it hands over, or two handovers could
follow each other without an effect."""


def should_hand_over(
    *, now: float, led_since: float, behind_since: Collection[float], refusing: bool
) -> bool:
    """Return whether the primary should hand over.

    `led_since` is when it began to lead, and `behind_since` for each replica since
    when it refuses reads as too far behind (0 if it does not); seconds. `refusing`
    says whether statements were refused lately for want of room.

    ```python
    should_hand_over(now=30.0, led_since=0.0, behind_since=[25.0, 26.0], refusing=True)
    ```
    """
    return (
        refusing
        and bool(behind_since)
        and all(since and now - since >= BEHIND_S for since in behind_since)
        and now - led_since >= SETTLED_S
    )
