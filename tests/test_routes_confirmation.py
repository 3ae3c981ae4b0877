"""Until when a VM knows its routes to be the newest, and when it reads them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.follower import PrefixFollower
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.metrics import Metrics
from celeryjunction.ports import KeyValue, KeyValueList, StoreUnavailable, WatchEvent
from celeryjunction.route_updates.confirmation import RoutesConfirmation
from celeryjunction.route_updates.reader import RoutesReader
from celeryjunction.route_updates.time_budget import LOST_ANSWERS, TimeBudget
from celeryjunction.shared_watch import WatchPage
from celeryjunction.store_history import StoreHistory

BOUND_S = 5.0
STATUS_S = 0.2
BUSY_ROUND_TRIP_S = 1.0


class TestTimeBudget:
    @pytest.mark.parametrize("bound_s", [3.0, 5.0, 6.0, 10.0])
    @pytest.mark.parametrize("forwards", [False, True])
    def test_the_steps_of_a_change_stay_within_the_bound(
        self, bound_s: float, forwards: bool
    ) -> None:
        """Guards against a step that leaves no time for the next ones."""
        assert TimeBudget(bound_s).latest_s(forwards=forwards) < bound_s

    def test_a_bound_of_zero_does_not_read_without_pause(self) -> None:
        """Guards against a setting that has a VM call the store all the time."""
        assert TimeBudget(0.0).retry_s > 0.0

    def test_a_call_over_a_busy_link_is_not_given_up(self) -> None:
        """Guards against reads that begin again from nothing."""
        budget = TimeBudget(BOUND_S)
        assert budget.call_s >= 2 * BUSY_ROUND_TRIP_S
        assert budget.timeout_s >= budget.call_s
        assert budget.attempts > LOST_ANSWERS


class TestRoutesConfirmation:
    def test_a_home_that_the_store_does_not_answer_confirms_nothing(self) -> None:
        """Guards against statuses that hide a newer version from a whole zone."""
        confirmation = RoutesConfirmation()
        for now in range(1, 10):
            confirmation.record_report(1, in_force=1, confirmed_at=0.0)
            assert confirmation.age_s(now) == now

    def test_one_home_that_the_store_answers_is_enough(self) -> None:
        """Guards against calls of each VM for one home that is cut off."""
        confirmation = RoutesConfirmation()
        for now in range(1, 10):
            confirmation.record_report(1, in_force=1, confirmed_at=now - 0.5)
            confirmation.record_report(1, in_force=1, confirmed_at=0.0)
            assert confirmation.age_s(now) == 0.5

    def test_a_read_of_the_vm_itself_confirms_the_routes(self) -> None:
        """Guards against calls of a VM that the store answers."""
        confirmation = RoutesConfirmation(own_confirmed_at=lambda: 7.0)
        confirmation.record_report(1, in_force=1, confirmed_at=3.0)
        assert confirmation.age_s(8.0) == 1.0

    def test_a_newer_version_confirms_nothing_until_it_is_in_force(self) -> None:
        """Guards against old routes that a report of newer ones confirms."""
        confirmation = RoutesConfirmation(own_confirmed_at=lambda: 1.0)
        confirmation.record_report(2, in_force=1, confirmed_at=4.0)
        assert confirmation.age_s(5.0) == 4.0
        assert confirmation.newer_version(1) == 2
        assert confirmation.newer_version(2) == 0


class ReadStore:
    """A store without watches; `answer` decides on the answer to each read."""

    def __init__(self) -> None:
        self.reads: list[float] = []
        self.revision = 1
        self.answer: Callable[[int], float] = lambda number: 0.004
        """Seconds to the answer of a read; infinite for none, negative to refuse."""

    async def list(self, prefix: str, *, timeout: float) -> KeyValueList:
        return KeyValueList((KeyValue("op/config", b"1", 1),), 1)

    async def watch(
        self, prefix: str, *, start_revision: int
    ) -> AsyncIterator[WatchEvent]:
        await asyncio.Event().wait()
        yield WatchEvent("", None, 0)

    async def changes(self, prefix: str, after: int, *, timeout: float) -> WatchPage:
        self.reads.append(asyncio.get_running_loop().time())
        seconds = self.answer(len(self.reads))
        if seconds < 0:
            raise StoreUnavailable("status 503")
        try:
            async with asyncio.timeout(timeout):
                await asyncio.sleep(seconds)
        except TimeoutError:
            raise StoreUnavailable("no response") from None
        events = [WatchEvent("op/config", b"2", self.revision)]
        return WatchPage(events if self.revision > after else [], self.revision)


class Reading:
    """A VM that reads the routes; nothing else confirms them unless `report` does."""

    def __init__(self, store: ReadStore, *, forwards: bool = False) -> None:
        self.versions = [1]
        follower = PrefixFollower(store, "op/", clock=ManualClock(), random=Random(1))
        follower.subscribe(lambda event: self.versions.append(int(event.value)))
        self.confirmation = RoutesConfirmation(
            own_confirmed_at=lambda: follower.confirmed_at
        )
        self.reader = RoutesReader(
            follower,
            store,
            confirmation=self.confirmation,
            budget=lambda: TimeBudget(BOUND_S),
            in_force=lambda: self.versions[-1],
            forwards=lambda: forwards,
            vm_count=lambda: 71,
            history=StoreHistory(),
            clock=ManualClock(),
            random=Random(2),
        )
        self._tasks = [
            asyncio.create_task(follower.run()),
            asyncio.create_task(self.reader.run()),
        ]

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()


class TestRoutesReader:
    async def test_no_age_exceeds_the_bound_while_answers_are_lost(self) -> None:
        """Guards against reads that wait for one another."""
        random, store = Random(3), ReadStore()
        left = 0

        def answer(number: int) -> float:
            nonlocal left
            if not left and random.random() < 0.3:
                left = LOST_ANSWERS + 1
            left = max(left - 1, 0)
            return math.inf if left else random.choice([0.004, 1.9])

        store.answer = answer
        reading = Reading(store)
        await asyncio.sleep(1)
        for _ in range(600):
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            assert reading.confirmation.age_s(now) <= BOUND_S
        reading.close()

    async def test_reads_that_are_refused_are_repeated_with_a_pause(self) -> None:
        """Guards against calls without pause while the store is away."""
        store = ReadStore()
        store.answer = lambda number: -1.0
        reading = Reading(store)
        await asyncio.sleep(20)
        assert 10 <= len(store.reads) <= 20 / TimeBudget(BOUND_S).retry_s
        reading.close()

    async def test_homes_that_report_spare_the_calls(self) -> None:
        """Guards against calls of each VM for what its homes have read."""
        store = ReadStore()
        reading = Reading(store, forwards=True)
        for _ in range(100):
            await asyncio.sleep(STATUS_S)
            now = asyncio.get_running_loop().time()
            reading.confirmation.record_report(1, in_force=1, confirmed_at=now - 1.5)
        assert not store.reads
        reading.close()

    async def test_homes_that_stop_reporting_are_noticed(self) -> None:
        """Guards against a VM that waits for statuses of homes that are gone."""
        store = ReadStore()
        reading = Reading(store, forwards=True)
        started_at = asyncio.get_running_loop().time()
        limit_s = TimeBudget(BOUND_S).limit_s(forwards=True)
        await asyncio.sleep(2 * limit_s)
        assert store.reads[0] - started_at <= limit_s + STATUS_S
        reading.close()

    async def test_a_version_that_a_home_reports_is_read_at_once(self) -> None:
        """Guards against a newer version that is known and not read."""
        store = ReadStore()
        reading = Reading(store)
        await asyncio.sleep(0.1)
        store.revision = 2
        reading.confirmation.record_report(2, in_force=1, confirmed_at=0.0)
        reading.reader.wake()
        await asyncio.sleep(0.1)
        assert reading.versions[-1] == 2
        reading.close()


class TestRefusals:
    @pytest.fixture
    async def gateway(self) -> Gateway:
        """A VM that has just read its routes, and never does again."""
        now = asyncio.get_running_loop().time()
        gateway = Gateway(clock=ManualClock(), metrics=Metrics())
        gateway.confirmation = RoutesConfirmation(own_confirmed_at=lambda: now)
        gateway.routes_bound_s = lambda: BOUND_S
        gateway.apply_routes(
            RouteTable(version=3, routes=(), groups=(), idle_transaction_s=0.0)
        )
        return gateway

    async def refuse(self, gateway: Gateway) -> ErrorKind:
        error = ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": "db"})
        return gateway.refusal(error).kind

    async def test_a_database_that_newer_routes_may_have_is_not_said_to_be_unknown(
        self, gateway: Gateway
    ) -> None:
        """Guards against refusals that only an older version justifies."""
        assert await self.refuse(gateway) is ErrorKind.UNKNOWN_DATABASE
        await asyncio.sleep(BOUND_S + 0.1)
        assert await self.refuse(gateway) is ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES

    async def test_a_version_that_is_known_and_not_in_force_counts_as_newer(
        self, gateway: Gateway
    ) -> None:
        """Guards against a refusal right after a home has reported a newer version."""
        gateway.confirmation.record_report(4, in_force=3, confirmed_at=0.0)
        assert await self.refuse(gateway) is ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES

    async def test_routes_that_cannot_be_decoded_count_as_newer(
        self, gateway: Gateway
    ) -> None:
        """Guards against refusals that rest on the routes before them."""
        gateway.confirmation.is_newest_unusable = True
        assert await self.refuse(gateway) is ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES
