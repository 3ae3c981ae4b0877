"""Decides whether a VM is cut off from the other zones, by its contact with endpoints.

A VM that is cut off together with its zone cannot get a commit acknowledged, and other
VMs can serve its clients better. A VM that talks to a single endpoint or zone cannot
tell the loss of that one from its own isolation, so a zone without failed contacts
counts as reached.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import NamedTuple

MAX_ANSWER_AGE_S = 0.7
"""An endpoint that answered a request sent within this time counts as reached.
Primaries and evidence are sampled more often than this in normal operation; see
`SAMPLE_INTERVAL_S` in failover/supervisor.py."""


class EndpointContact(NamedTuple):
    """Contact with one endpoint of another zone."""

    zone: str
    answer_age_s: float
    """Seconds since the last answered request was sent."""
    failing: bool
    """Whether the last request or statement got no answer."""

    @property
    def is_reached(self) -> bool:
        """Whether the endpoint answered within `MAX_ANSWER_AGE_S` and did not fail."""
        return not self.failing and self.answer_age_s < MAX_ANSWER_AGE_S


def is_cut_off(contacts: Iterable[EndpointContact], *, zones: Collection[str]) -> bool:
    """Return whether every other zone has failed contacts and no reached ones.

    ```python
    failed, answers = EndpointContact("b", 9, True), EndpointContact("c", 0, False)
    is_cut_off([failed, answers], zones="bc")  # False
    is_cut_off([failed, answers._replace(failing=True)], zones="bc")  # True
    ```
    """
    by_zone: dict[str, list[EndpointContact]] = {zone: [] for zone in zones}
    for contact in contacts:
        by_zone.setdefault(contact.zone, []).append(contact)
    return bool(by_zone) and all(
        any(contact.failing for contact in zone_contacts)
        and not any(contact.is_reached for contact in zone_contacts)
        for zone_contacts in by_zone.values()
    )
