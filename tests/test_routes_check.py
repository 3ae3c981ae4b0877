"""When a VM reads the routes beside its watch."""

from __future__ import annotations

import pytest

from celeryjunction.relay.routes_check import (
    HOME_STATUS_TIMEOUT_S,
    UNKNOWN_AGE_S,
    RoutesCheck,
)

MAX_AGE_S = 4.75
STATUS_S = 0.2


def first_due(check: RoutesCheck, *, confirmed_at: float, until: float) -> float | None:
    """Return when routes become due whose home was last answered at `confirmed_at`."""
    steps = round(until / STATUS_S)
    for now in (step * STATUS_S for step in range(1, steps + 1)):
        check.record_report(now - confirmed_at, now=now)
        if check.is_due(now=now):
            return now
    return None


class TestRoutesCheck:
    def test_a_home_whose_watch_is_dead_does_not_confirm_the_routes(self) -> None:
        """Guards against statuses that hide a newer version from a whole zone."""
        check = RoutesCheck(own_age_s=lambda: UNKNOWN_AGE_S, max_age_s=MAX_AGE_S)
        due = first_due(check, confirmed_at=0.0, until=10.0)
        assert due == pytest.approx(MAX_AGE_S, abs=STATUS_S)

    def test_one_home_that_the_store_answers_is_enough(self) -> None:
        """Guards against calls of each VM for one home that is cut off."""
        check = RoutesCheck(own_age_s=lambda: UNKNOWN_AGE_S, max_age_s=MAX_AGE_S)
        for step in range(100):
            now = step * STATUS_S
            check.record_report(0.5, now=now)
            check.record_report(now, now=now)
            assert not check.is_due(now=now)

    def test_an_answer_to_the_vm_itself_confirms_them(self) -> None:
        """Guards against calls of a VM whose own watch is answered."""
        check = RoutesCheck(own_age_s=lambda: 1.0, max_age_s=MAX_AGE_S)
        assert first_due(check, confirmed_at=0.0, until=20.0) is None

    def test_reads_that_fail_are_repeated_with_a_pause(self) -> None:
        """Guards against a call at each status while the store is away."""
        check = RoutesCheck(own_age_s=lambda: UNKNOWN_AGE_S, max_age_s=MAX_AGE_S)
        reads = 0
        for step in range(100):
            now = step * STATUS_S
            check.record_report(now, now=now)
            if check.is_due(now=now):
                check.record_read(now=now)
                reads += 1
        assert 5 <= reads <= (100 * STATUS_S - MAX_AGE_S) / HOME_STATUS_TIMEOUT_S + 1

    def test_homes_that_stop_reporting_are_noticed(self) -> None:
        """Guards against a VM that waits for statuses of homes that are gone."""
        check = RoutesCheck(own_age_s=lambda: 0.0)
        assert not check.is_due(now=100.0)
        check.record_report(0.0, now=100.0)
        assert not check.is_due(now=100.0 + HOME_STATUS_TIMEOUT_S / 2)
        assert check.is_due(now=100.0 + HOME_STATUS_TIMEOUT_S)
        check.stop_reports()
        assert not check.is_due(now=200.0)
