"""Config changes while the store loses single answers, on real edge processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from bench.config_lags import BOUND_S, ConfigPlatform, ConfigRun, TimedEdge
from bench.lossy_store import LossyStore

START_S = 20.0


class TestLostAnswers:
    @pytest.fixture
    async def store(self) -> AsyncIterator[LossyStore]:
        store = LossyStore(seed=1, most_lost=0)
        yield store
        await store.close()

    @pytest.fixture
    async def platform(self, store: LossyStore) -> ConfigPlatform:
        platform = ConfigPlatform(store)
        await platform.add("edge")
        platform.configure(["base"], 1)
        return platform

    @pytest.fixture
    async def edge(
        self, platform: ConfigPlatform, tmp_path: Path
    ) -> AsyncIterator[TimedEdge]:
        edge = TimedEdge(platform, tmp_path, "edge")
        await edge.start()
        yield edge
        await edge.stop(signal.SIGKILL)

    async def test_a_route_is_served_in_time_after_two_lost_answers(
        self, store: LossyStore, platform: ConfigPlatform, edge: TimedEdge
    ) -> None:
        """Guards against a bound that one lost answer of the store uses up."""
        async with asyncio.timeout(START_S):
            while await edge.ask("base") != "READY":
                await asyncio.sleep(0.05)
        version, _ = platform.configure(["base", "first"], 1)
        async with asyncio.timeout(BOUND_S):
            while version not in edge.in_force:
                await asyncio.sleep(0.01)
        store.links["edge"].left_of_config = 2
        platform.configure(["base", "first", "second"], 1)
        await asyncio.sleep(BOUND_S)
        assert await edge.ask("second") == "READY"

    async def test_a_vm_that_cannot_read_the_routes_does_not_say_that_none_exists(
        self, store: LossyStore, platform: ConfigPlatform, edge: TimedEdge
    ) -> None:
        """Guards against refusals that rest on routes of unknown age."""
        async with asyncio.timeout(START_S):
            while await edge.ask("base") != "READY":
                await asyncio.sleep(0.05)
        assert await edge.ask("first") == "NODB"
        store.links["edge"].left_of_config = 1000
        platform.configure(["base", "first"], 1)
        await asyncio.sleep(BOUND_S)
        assert await edge.ask("first") == "BUSY"
        assert await edge.ask("base") == "READY"


class TestManyVms:
    async def test_no_vm_is_late_while_answers_are_lost(self, tmp_path: Path) -> None:
        """Guards against config changes that are late at homes or at other VMs."""
        run = ConfigRun(seed=1, edges=12, most_lost=2, folder=tmp_path)
        await run.run(25.0, restarts=True)
        assert not run.violations, "\n".join(run.violations)
        assert run.answers["READY"] > 50
