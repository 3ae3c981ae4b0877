"""Tests of the detection of a VM that is cut off from the other zones."""

from __future__ import annotations

from celeryjunction.reach import MAX_ANSWER_AGE_S, EndpointContact, is_cut_off

ANSWERS = EndpointContact("b", 0.1, False)
SILENT = EndpointContact("b", 2.0, True)
ZONES = ("b", "c")


class TestIsCutOff:
    def test_one_reached_zone_of_two_is_enough(self) -> None:
        assert not is_cut_off([SILENT, EndpointContact("c", 0.1, False)], zones=ZONES)

    def test_cut_off_when_all_zones_fail(self) -> None:
        assert is_cut_off(
            [SILENT, SILENT, EndpointContact("c", 9.0, True)], zones=ZONES
        )

    def test_one_reached_endpoint_of_a_zone_is_enough(self) -> None:
        assert not is_cut_off([SILENT, ANSWERS], zones=["b"])

    def test_a_recent_answer_before_a_failure_does_not_count(self) -> None:
        assert is_cut_off([EndpointContact("b", 0.2, True)], zones=["b"])

    def test_a_zone_without_recent_requests_counts_as_reached(self) -> None:
        """Guards against isolation reported on an old answer without a failed request.

        In the bench's trouble-2 one home noticed a cut 2 s after another.
        """
        assert not is_cut_off(
            [SILENT, EndpointContact("c", 2 * MAX_ANSWER_AGE_S, False)], zones=ZONES
        )

    def test_a_zone_without_contacts_counts_as_reached(self) -> None:
        """Guards against isolation reported for the loss of a single replica.

        The home of a single group that lost one replica had no contact with the third
        zone (inc-8bde).
        """
        assert not is_cut_off([SILENT, SILENT], zones=ZONES)

    def test_not_cut_off_without_other_zones(self) -> None:
        assert not is_cut_off([], zones=[])
