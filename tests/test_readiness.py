"""Tests of the decision whether a VM takes new clients."""

from __future__ import annotations

from celeryjunction.readiness import START_LIMIT_S, GroupView, Readiness

SERVED = GroupView(is_reached=True, is_proven=True)
UNPROVEN = GroupView(is_reached=True, is_proven=False)
UNREACHED = GroupView(is_reached=False, is_proven=False)


class TestReadiness:
    def test_a_vm_without_groups_is_not_ready(self) -> None:
        assert not Readiness().is_ready([], now=10.0)

    def test_a_starting_vm_waits_for_proofs_of_most_groups(self) -> None:
        readiness = Readiness()
        assert not readiness.is_ready([SERVED, UNPROVEN, UNPROVEN], now=10.0)
        assert readiness.is_ready([SERVED, SERVED, UNPROVEN], now=10.1)

    def test_a_starting_vm_does_not_wait_for_proofs_for_ever(self) -> None:
        readiness = Readiness()
        assert not readiness.is_ready([UNPROVEN], now=10.0)
        assert readiness.is_ready([UNPROVEN], now=10.0 + START_LIMIT_S)

    def test_lost_primaries_take_no_started_vm_out(self) -> None:
        readiness = Readiness()
        assert readiness.is_ready([SERVED, SERVED], now=10.0)
        assert readiness.is_ready([UNPROVEN, UNPROVEN], now=60.0)

    def test_a_vm_that_reaches_less_than_half_of_the_groups_is_not_ready(self) -> None:
        readiness = Readiness()
        assert readiness.is_ready([SERVED, SERVED, SERVED], now=10.0)
        assert not readiness.is_ready([SERVED, UNREACHED, UNREACHED], now=11.0)
        assert readiness.is_ready([SERVED, UNPROVEN, UNREACHED], now=12.0)
