"""Tests of where statements run."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _peer_support import ROWS, STEP, FakeGroup, Home, shed, work
from _store_support import FakeTime, eventually

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.marks import CustomerMarks
from celeryjunction.peers import Done, Execute, Write
from celeryjunction.routing import RoutedGroup

TERMS = {"begin_sql": "BEGIN", "read_only": False, "begun": 0.0}


class World:
    """An entry proxy `me`, which is the third home after two peers."""

    vm = "me"

    def __init__(self) -> None:
        self.time = FakeTime()
        self.peers = {vm: Home(self.time, vm) for vm in ("a", "b")}
        self.local = FakeGroup()
        self.order = ["a", "b", "me"]
        self.group = RoutedGroup(
            "db1", homes=self, local=self.local, marks=CustomerMarks(), clock=self.time
        )

    def homes(self, database: str) -> list[str]:
        return self.order

    def link(self, vm: str):
        return self.peers[vm].link

    def work(self, **changes: object):
        return work(self.time, **changes)

    def runs(self) -> dict[str, list[str]]:
        groups = {vm: home.group for vm, home in self.peers.items()}
        return {vm: group.runs for vm, group in {**groups, "me": self.local}.items()}


@pytest.fixture
async def world() -> AsyncIterator[World]:
    world = World()
    yield world
    for home in world.peers.values():
        await home.close()


class TestRoutedGroup:
    async def test_the_first_home_runs_it(self, world: World) -> None:
        assert await world.group.read(world.work(), STEP) == ROWS
        assert world.runs() == {"a": ["read"], "b": [], "me": []}
        world.order = ["me", "a", "b"]
        await world.group.write(world.work(), STEP)
        assert world.runs() == {"a": ["read"], "b": [], "me": ["write"]}

    async def test_unreachable_homes_are_passed_over(self, world: World) -> None:
        world.peers["a"].reachable = False
        await world.group.write(world.work(), STEP)
        assert world.group.home == "b"
        world.peers["b"].server.draining = True
        await world.group.write(world.work(), STEP)
        assert world.runs() == {"a": [], "b": ["write"], "me": ["write"]}

    async def test_a_lost_read_runs_at_the_next_home(self, world: World) -> None:
        world.peers["a"].drop_answers = (Done,)
        assert await world.group.read(world.work(), STEP) == ROWS
        assert world.runs() == {"a": ["read"], "b": ["read"], "me": []}

    async def test_a_lost_write_runs_nowhere_else(self, world: World) -> None:
        world.peers["a"].drop_answers = (Done,)
        with pytest.raises(ProxyError) as caught:
            await world.group.write(world.work(), STEP)
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
        assert world.runs() == {"a": ["write"], "b": [], "me": []}

    async def test_a_lost_repeatable_write(self, world: World) -> None:
        # Guards against "not run" from the second home of a write that may have run
        # at the first.
        world.peers["a"].drop_requests = (Write,)
        world.peers["b"].group.error = shed()
        with pytest.raises(ProxyError) as caught:
            await world.group.write(world.work(repeatable=True), STEP)
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
        world.peers["b"].group.error = None
        await eventually(lambda: world.peers["a"].link.usable)
        await world.group.write(world.work(repeatable=True), STEP)
        assert world.runs() == {"a": [], "b": ["write"], "me": []}

    async def test_the_deadline_ends_the_search(self, world: World) -> None:
        late = world.work()
        world.time.advance(late.deadline_s + 1)
        with pytest.raises(ProxyError) as caught:
            await world.group.write(late, STEP)
        assert caught.value.kind is ErrorKind.NOT_RUN_DEADLINE

    async def test_marks_of_both_sides(self, world: World) -> None:
        await world.group.write(world.work(), STEP)
        assert world.group.mark("coop") == (1, 1)
        world.local.lost = 3
        assert world.group.lost_term("coop") == 3


class TestRoutedTransaction:
    async def test_it_stays_where_it_began(self, world: World) -> None:
        transaction = world.group.begin(**TERMS)
        await transaction.execute(world.work(), STEP)
        world.order = ["b", "a", "me"]
        await transaction.execute(world.work(), STEP)
        assert await transaction.commit(world.work()) == "COMMIT"
        assert world.runs()["a"] == ["execute", "execute", "commit"]

    async def test_it_begins_elsewhere_only_if_nothing_was_sent(
        self, world: World
    ) -> None:
        world.peers["a"].reachable = False
        transaction = world.group.begin(**TERMS)
        await transaction.execute(world.work(), STEP)
        assert world.runs() == {"a": [], "b": ["execute"], "me": []}
        await transaction.rollback()
        world.peers["b"].entry.drop = (Execute,)
        transaction = world.group.begin(**TERMS)
        with pytest.raises(ProxyError) as caught:
            await transaction.execute(world.work(), STEP)
        assert caught.value.kind is ErrorKind.NOT_RUN_ROLLED_BACK
        assert transaction.failed and not transaction.opened
        assert await transaction.commit(world.work()) == "ROLLBACK"
        assert world.runs()["me"] == []

    async def test_a_local_one_and_an_empty_one(self, world: World) -> None:
        world.order = ["me"]
        transaction = world.group.begin(**TERMS)
        assert await transaction.describe(world.work(), STEP) is None
        assert await transaction.commit(world.work()) == "COMMIT"
        await transaction.execute(world.work(), STEP)
        assert transaction.opened
        transaction.abort()
        await asyncio.sleep(0)
        assert world.local.transactions[0].ended == "abort"
