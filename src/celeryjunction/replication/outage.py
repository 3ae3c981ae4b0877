"""Decides whether a statement that needs the primary waits for it or is refused.

Answers the load of a group whose primary failed: every VM gets statements that no
endpoint may run. One that the primary's successor can still serve in time waits for the
promotion. Any other is refused at once, since no VM of the system can run it; holding
it until its queue deadline would only keep its client from knowing.
"""

from __future__ import annotations

from enum import Enum

CONFIRMING_FAILURES = 2
"""Failed requests in a row after which a primary counts as down. One may be a lost
packet or a connection that broke."""


class Holding(Enum):
    """What to do with a statement that needs the primary."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


def hold_for_primary(
    *,
    now: float,
    deadline: float,
    is_known: bool,
    failures: int,
    expected_at: float,
) -> Holding:
    """Return what to do with a statement that must be served by `deadline`.

    `is_known` is whether an endpoint is known as primary, `failures` the number of
    requests in a row that it did not answer, and `expected_at` when a promotion in
    progress should take effect, 0 if there is none. Times are seconds of one clock.

    ```python
    hold_for_primary(now=5.0, deadline=5.6, is_known=False, failures=0, expected_at=5.3)
    # Holding.WAIT
    ```
    """
    if is_known:
        return Holding.REFUSE if failures >= CONFIRMING_FAILURES else Holding.SEND
    return Holding.WAIT if now < expected_at <= deadline else Holding.REFUSE
