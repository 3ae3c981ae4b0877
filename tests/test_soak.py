"""A short seeded run of the soak, and each seed that ever broke a promise."""

from __future__ import annotations

import pytest

from bench.soak import play

SEEDS = (1, 2)
SECONDS = 4.0

FAILED_SEEDS: tuple[int, ...] = ()
"""Seeds that broke a promise once, each with a line on the cause."""


class TestSoak:
    @pytest.mark.parametrize("seed", SEEDS + FAILED_SEEDS)
    async def test_promises_hold(self, seed: int) -> None:
        soak = await play(seed, SECONDS)
        assert not soak.journal.violations
        assert soak.journal.acknowledged
