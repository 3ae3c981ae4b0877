"""Tests of telling endpoints that left from silent ones, by the register alone."""

from __future__ import annotations

import pytest

from celeryjunction.replication.departures import MARGIN_S, Departures
from celeryjunction.replication.ports import EndpointInfo

HEARTBEAT_S = 1.2
SILENCE_S = 3 * HEARTBEAT_S


def info(name: str, *, draining: bool = True) -> EndpointInfo:
    return EndpointInfo(name, "g", "10.0.0.1", 1, "a", 3, draining, 100)


class Lists:
    """Lists of a register with one endpoint, in turn."""

    def __init__(self, *, draining: bool = True) -> None:
        self.departures = Departures(heartbeat_s=HEARTBEAT_S)
        self.endpoint = info("a1", draining=draining)
        self._previous: dict[str, EndpointInfo] = {}

    def add(
        self,
        at: float,
        *,
        revision: int,
        entry: int | None = None,
        linearizable: bool = True,
    ) -> None:
        """Record a list, with the endpoint's entry at revision `entry`."""
        self.departures.record_list(
            {} if entry is None else {"a1": entry},
            previous=self._previous,
            list_revision=revision,
            requested_at=at,
            received_at=at + 0.004,
            linearizable=linearizable,
        )
        self._previous = {} if entry is None else {"a1": self.endpoint}

    @property
    def has_left(self) -> bool:
        return self.departures.has_left(self.endpoint)


class TestDepartures:
    def test_an_entry_that_goes_soon_after_a_heartbeat_has_left(self) -> None:
        lists = Lists()
        lists.add(10.0, revision=5, entry=5)
        lists.add(11.0, revision=8, entry=7, linearizable=False)
        lists.add(12.9, revision=9)
        assert lists.has_left

    @pytest.mark.parametrize("early", [0.05, MARGIN_S - 0.05])
    def test_a_silent_endpoint_has_not_left(self, early: float) -> None:
        """Guards against dropping a member that may still acknowledge commits.

        It fell silent right after a heartbeat, and its entry expired `early`.
        """
        lists = Lists()
        lists.add(10.0, revision=5, entry=5)
        lists.add(10.1, revision=8, entry=7)
        lists.add(10.0 + SILENCE_S - early, revision=9)
        assert not lists.has_left

    def test_a_stale_list_does_not_tell_when_a_heartbeat_was(self) -> None:
        """Guards against taking the time of a stale list for that of its entries."""
        lists = Lists()
        lists.add(10.0, revision=5, entry=5)
        lists.add(14.0, revision=6, entry=6, linearizable=False)
        lists.add(14.2, revision=9)
        assert not lists.has_left

    def test_an_endpoint_that_did_not_drain_has_not_left(self) -> None:
        lists = Lists(draining=False)
        lists.add(10.0, revision=5, entry=5)
        lists.add(11.0, revision=8, entry=7)
        lists.add(12.0, revision=9)
        assert not lists.has_left

    def test_absence_after_an_outage_of_the_store_proves_nothing(self) -> None:
        lists = Lists()
        lists.add(10.0, revision=5, entry=5)
        lists.add(11.0, revision=8, entry=7)
        lists.departures.record_outage()
        lists.add(12.0, revision=9)
        assert not lists.has_left

    def test_a_later_process_under_the_same_id_has_not_left(self) -> None:
        lists = Lists()
        lists.add(10.0, revision=5, entry=5)
        lists.add(11.0, revision=8, entry=7)
        lists.add(12.0, revision=9)
        later = EndpointInfo("a1", "g", "10.0.0.1", 1, "a", 3, True, 200)
        assert not lists.departures.has_left(later)
