"""Tests of the history that converts a staleness into a log position."""

from __future__ import annotations

from celeryjunction.freshness import COARSE_LENGTH, FINE_LENGTH, FreshnessHistory


class TestHistory:
    def test_returns_the_first_entry_at_or_after_the_instant(self) -> None:
        # Guards against an entry before the instant, which does not cover it.
        history = FreshnessHistory()
        for instant, position in ((10.0, 1), (10.5, 2), (11.0, 3)):
            history.add(instant, position)
        found = [history.position_covering(at) for at in (9.0, 10.0, 10.1, 11.1)]
        assert found == [1, 1, 2, None]

    def test_thinning_never_gives_a_lower_position(self) -> None:
        # Guards against merged or dropped entries that prove more than was observed.
        history = FreshnessHistory()
        seen = [(0.003 * n, n // 2) for n in range(5000)]
        for instant, position in seen:
            history.add(instant, position)
        assert all(history.position_covering(at) >= low for at, low in seen[::7])

    def test_coarse_entries_reach_back_further_than_fine_ones(self) -> None:
        history = FreshnessHistory()
        for n in range(COARSE_LENGTH + 100):
            history.add(float(n), n)
        newest = COARSE_LENGTH + 99
        assert history.position_covering(newest - FINE_LENGTH - 50) <= newest - 300
        assert history.position_covering(newest - 3000) <= newest - 2998
