"""Tests of the handover of a primary whose replicas can't serve reads."""

from __future__ import annotations

from celeryjunction.failover.relief import MIN_BEHIND_S, MIN_TENURE_S, should_hand_over

NOW = 100.0
BEHIND_LONG = NOW - 2 * MIN_BEHIND_S


def hands_over(**changes: object) -> bool:
    arguments = {
        "now": NOW,
        "led_since": NOW - 2 * MIN_TENURE_S,
        "behind_since": [BEHIND_LONG, BEHIND_LONG],
        "is_overloaded": True,
    }
    return should_hand_over(**(arguments | changes))


class TestShouldHandOver:
    def test_handover_when_all_replicas_lag_and_statements_are_refused(self) -> None:
        """Guards against a primary that serves alone while its replicas lag.

        In the bench scenario scale-1 of apdd-pedidos-grown, one endpoint of three
        served all load for 22 s.
        """
        assert hands_over()

    def test_no_handover_while_one_replica_serves(self) -> None:
        assert not hands_over(behind_since=[BEHIND_LONG, 0.0])

    def test_no_handover_while_a_replica_may_catch_up(self) -> None:
        assert not hands_over(behind_since=[BEHIND_LONG, NOW - MIN_BEHIND_S / 2])

    def test_no_handover_without_refused_statements(self) -> None:
        assert not hands_over(is_overloaded=False)

    def test_no_handover_soon_after_the_last(self) -> None:
        assert not hands_over(led_since=NOW - MIN_TENURE_S / 2)

    def test_no_handover_in_a_group_without_replicas(self) -> None:
        assert not hands_over(behind_since=[])
