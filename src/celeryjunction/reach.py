"""Whether a VM still reaches other zones, from what endpoints there answered.

A VM that is cut off together with its zone cannot have anything acknowledged, and its
callers are better served elsewhere. That one endpoint or one zone is lost looks the
same to a VM that talks to no other, so a zone it knows nothing of counts as reached.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

RECENT_S = 0.7
"""An answer so long ago shows that an endpoint is reached. Primaries and evidence are
asked more often on any day; see `SAMPLE_INTERVAL_S` in failover/supervisor.py."""


class Contact(NamedTuple):
    """What is known of one endpoint of another zone."""

    zone: str
    answered_s: float
    """Seconds since a question that it answered."""
    failing: bool
    """Whether the last question or statement got no answer."""

    @property
    def reached(self) -> bool:
        """Whether it answered lately."""
        return not self.failing and self.answered_s < RECENT_S


def is_cut_off(contacts: Iterable[Contact], *, zones: Collection[str]) -> bool:
    """Return whether none of the other zones answers, though each was asked.

    ```python
    is_cut_off([Contact("b", 9, True), Contact("c", 0, False)], zones="bc")  # False
    is_cut_off([Contact("b", 9, True), Contact("c", 2, True)], zones="bc")   # True
    ```
    """
    by_zone: dict[str, list[Contact]] = {zone: [] for zone in zones}
    for contact in contacts:
        by_zone.setdefault(contact.zone, []).append(contact)
    return bool(by_zone) and all(
        any(contact.failing for contact in known)
        and not any(contact.reached for contact in known)
        for known in by_zone.values()
    )
