"""A primary that hands over because its replicas can't take reads."""

from __future__ import annotations

from celeryjunction.failover.relief import BEHIND_S, SETTLED_S, should_hand_over

NOW = 100.0
LONG = NOW - 2 * BEHIND_S


def due(**changes: object) -> bool:
    terms = {
        "now": NOW,
        "led_since": NOW - 2 * SETTLED_S,
        "behind_since": [LONG, LONG],
        "refusing": True,
    }
    return should_hand_over(**(terms | changes))


class TestReliefDue:
    def test_all_replicas_behind_and_work_refused(self) -> None:
        """apdd-pedidos-grown, scale-1: one endpoint of three served for 22 s."""
        assert due()

    def test_one_replica_that_serves_is_relief_enough(self) -> None:
        assert not due(behind_since=[LONG, 0.0])

    def test_replicas_that_may_catch_up_are_waited_for(self) -> None:
        assert not due(behind_since=[LONG, NOW - BEHIND_S / 2])

    def test_without_refusals_nothing_is_gained(self) -> None:
        assert not due(refusing=False)

    def test_handovers_do_not_follow_each_other(self) -> None:
        assert not due(led_since=NOW - SETTLED_S / 2)

    def test_a_group_without_replicas(self) -> None:
        assert not due(behind_since=[])
