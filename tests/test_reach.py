"""Whether a VM is cut off, from what other zones' endpoints answered."""

from __future__ import annotations

from celeryjunction.reach import RECENT_S, Contact, is_cut_off

ANSWERS = Contact("b", 0.1, False)
SILENT = Contact("b", 2.0, True)
ZONES = ("b", "c")


class TestIsCutOff:
    def test_a_lost_zone_of_two_is_not_the_vm(self) -> None:
        assert not is_cut_off([SILENT, Contact("c", 0.1, False)], zones=ZONES)

    def test_all_zones_silent(self) -> None:
        assert is_cut_off([SILENT, SILENT, Contact("c", 9.0, True)], zones=ZONES)

    def test_one_answer_from_a_zone_is_enough(self) -> None:
        assert not is_cut_off([SILENT, ANSWERS], zones=["b"])

    def test_an_answer_before_the_failure_is_none(self) -> None:
        assert is_cut_off([Contact("b", 0.2, True)], zones=["b"])

    def test_a_zone_that_was_not_asked_counts_as_reached(self) -> None:
        """The bench's grown trouble-2: a home knew of the cut 2 s after another one."""
        assert not is_cut_off([SILENT, Contact("c", 2 * RECENT_S, False)], zones=ZONES)

    def test_a_zone_of_which_nothing_is_known_counts_as_reached(self) -> None:
        """The bench's inc-8bde: the home of one group, which lost a replica."""
        assert not is_cut_off([SILENT, SILENT], zones=ZONES)

    def test_without_other_zones_nothing_is_cut(self) -> None:
        assert not is_cut_off([], zones=[])
