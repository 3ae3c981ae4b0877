"""Tests of sharing an endpoint's connections, and of the room left for a restart."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster

from celeryjunction.dispatch.connection_budget import (
    MIN_LINKS,
    ConnectionBudget,
    connection_budget,
)
from celeryjunction.dispatch.dispatcher import Dispatcher, PendingStatement
from celeryjunction.dispatch.gates import RESTING_IDLE_S

SITES = [
    # limit, homes, active homes, shares status: the users' sites, then invented ones
    (16, 4, 4, False),
    (22, 4, 4, False),
    (39, 5, 5, False),
    (46, 6, 3, True),
    (216, 10, 5, False),
    (88, 10, 5, True),
    (200, 2, 1, False),
    (8, 2, 2, True),
]


class TestConnectionBudget:
    @pytest.mark.parametrize(("limit", "homes", "active", "shares"), SITES)
    def test_half_of_the_connections_are_free_at_rest(
        self, limit: int, homes: int, active: int, shares: bool
    ) -> None:
        budget = connection_budget(
            limit, homes=homes, active_homes=active, is_home=True, shares_status=shares
        )
        status = 0 if shares else active
        assert active * budget.resting + status <= limit / 2

    @pytest.mark.parametrize(("limit", "homes", "active", "shares"), SITES)
    def test_a_burst_may_use_what_the_endpoint_accepts(
        self, limit: int, homes: int, active: int, shares: bool
    ) -> None:
        budget = connection_budget(
            limit, homes=homes, active_homes=active, is_home=True, shares_status=shares
        )
        assert active * budget.most >= limit - homes

    def test_a_vm_that_is_no_home_takes_few(self) -> None:
        budget = connection_budget(
            88, homes=10, active_homes=5, is_home=False, shares_status=True
        )
        assert budget == ConnectionBudget(MIN_LINKS, 1)


class TestLimit:
    async def test_statements_that_waited_share_the_connections(self) -> None:
        """Guards against more connections than the budget when one becomes free.

        Each statement in the queue saw the same idle connection, and those that came
        too late opened one of their own.
        """
        cluster, clock = FakeCluster("a1"), ManualClock()
        dispatcher = TestRestart.dispatcher(cluster, 1, running_s=0.1)
        await asyncio.gather(
            *(TestRestart.run_statement(dispatcher, clock) for _ in range(5))
        )
        assert dispatcher.gates["a1"].links == dispatcher.gates["a1"].max_links == 1
        assert dispatcher.gates["a1"].running == 0

    async def test_a_statement_that_gives_up_leaves_its_connection(self) -> None:
        cluster, clock = FakeCluster("a1"), ManualClock()
        dispatcher = TestRestart.dispatcher(cluster, 1, running_s=0.1)
        pending = PendingStatement(
            priority=1, arrived=clock.monotonic(), queue_deadline=clock.monotonic() + 1
        )
        first = await dispatcher.acquire(pending)
        waiting = asyncio.create_task(TestRestart.run_statement(dispatcher, clock))
        await asyncio.sleep(0.01)
        first.release()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        await TestRestart.run_statement(dispatcher, clock)
        assert dispatcher.gates["a1"].links == 1


class TestRestart:
    """All VMs lose power after a burst, and the endpoint keeps their connections."""

    @staticmethod
    def dispatcher(cluster: FakeCluster, vm: int, *, running_s: float) -> Dispatcher:
        dispatcher = Dispatcher(
            zone="a",
            dialer=cluster,
            clock=ManualClock(),
            random=Random(vm),
            budget=lambda info: connection_budget(
                16,
                homes=4,
                active_homes=4,
                is_home=True,
                shares_status=False,
                running_s=running_s,
            ),
        )
        dispatcher.update_endpoints({"a1": cluster["a1"].info})
        return dispatcher

    @staticmethod
    async def burst(dispatcher: Dispatcher, clock: ManualClock) -> None:
        """Use all connections that the dispatcher may open, and give them back."""
        grants = []
        for _ in range(3):
            pending = PendingStatement(
                priority=0,
                arrived=clock.monotonic(),
                queue_deadline=clock.monotonic() + 1,
            )
            grants.append(await dispatcher.acquire(pending))
        for grant in grants:
            grant.release()

    async def test_every_vm_gets_a_connection_at_once(self) -> None:
        """Guards against endpoints that refuse all VMs for 3 s after a power loss.

        Seen on each day of tianyuan-hq that ends with a loss of power: the endpoints
        were at their limit of 16, all of it idle connections of the last run.
        """
        cluster = FakeCluster("a1", limit=16)
        clock = ManualClock()
        before = [self.dispatcher(cluster, vm, running_s=60.0) for vm in range(4)]
        for dispatcher in before:
            await self.burst(dispatcher, clock)
        await asyncio.sleep(2 * RESTING_IDLE_S)
        for dispatcher in before:
            dispatcher.gates["a1"].close_idle()
        after = [self.dispatcher(cluster, vm, running_s=0.1) for vm in range(4)]
        for dispatcher in after:
            # Statements wait for the first VM's connection instead of using up those
            # of the VMs that start next.
            await asyncio.gather(
                *(self.run_statement(dispatcher, clock) for _ in range(5))
            )
        assert sum(link.usable for link in cluster["a1"].links) <= 8

    @staticmethod
    async def run_statement(dispatcher: Dispatcher, clock: ManualClock) -> None:
        pending = PendingStatement(
            priority=1,
            arrived=clock.monotonic(),
            queue_deadline=clock.monotonic() + 0.1,
        )
        grant = await dispatcher.acquire(pending)
        await asyncio.sleep(0.005)
        grant.release()
