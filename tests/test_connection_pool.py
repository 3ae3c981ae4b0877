"""Tests of the connections of organisations, without a network."""

from __future__ import annotations

import asyncio
import heapq
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeCluster
from test_lent_connections import StubLink

from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher, PendingStatement
from celeryjunction.dispatch.owned_connections import NEED_S, OwnedConnections
from celeryjunction.dispatch.owner_placement import OwnerPlacement
from celeryjunction.metrics import Metrics

LINKS = 22


def new_dispatcher(
    cluster: FakeCluster, clock: ManualClock, metrics: Metrics | None = None
) -> Dispatcher:
    dispatcher = Dispatcher(
        zone="a",
        dialer=cluster,
        clock=clock,
        random=Random(1),
        budget=lambda info: ConnectionBudget(LINKS, LINKS),
        metrics=metrics,
    )
    dispatcher.update_endpoints(cluster.infos)
    return dispatcher


def owned_link(owner: str, opened_at: float = 0.0) -> StubLink:
    link = StubLink()
    link.owner, link.opened_at = owner, opened_at
    return link


def use(connections: OwnedConnections, owner: str, now: float) -> StubLink:
    """Run a statement; return its connection, idle again."""
    link = connections.take(owner, {}, now)
    if link is None:
        connections.make_room(now)
        connections.add(owner)
        link = owned_link(owner, now)
    connections.put(link, now)
    return link


class TestReuse:
    def test_a_connection_serves_its_owner_only(self) -> None:
        connections = OwnedConnections(max_links=4)
        link = use(connections, "bode", 0.0)
        assert connections.take("cairo", {}, 1.0) is None
        assert connections.take("", {}, 1.0) is None
        assert connections.take("bode", {}, 1.0) is link

    def test_promises_of_others_do_not_take_more_than_there_are(self) -> None:
        """Guards against more connections than the budget when several wait."""
        connections = OwnedConnections(max_links=1)
        use(connections, "bode", 0.0)
        assert connections.may_open("cairo", 0.0)
        connections.promise("cairo")
        assert not connections.has_idle("bode")
        assert not connections.may_open("bode", 0.0)
        connections.promise("cairo", -1)
        assert connections.has_idle("bode")


class TestEviction:
    def test_a_statement_does_not_wait_for_idle_connections_of_others(self) -> None:
        connections = OwnedConnections(max_links=2)
        links = [use(connections, owner, 0.0) for owner in ("bode", "cairo")]
        assert connections.may_open("delhi", 0.1)
        use(connections, "delhi", 0.1)
        assert connections.links == 2
        assert [link.closed for link in links] == [True, False]

    def test_the_last_one_of_a_frequent_owner_is_kept(self) -> None:
        connections = OwnedConnections(max_links=2)
        for tick in range(20):
            frequent = use(connections, "bode", tick / 10)
        rare = use(connections, "cairo", 2.0)
        use(connections, "delhi", 2.1)
        assert rare.closed
        assert not frequent.closed

    def test_at_the_limit_of_the_endpoint_a_new_one_replaces_another(self) -> None:
        """Guards against waits for a limit that this VM's idle connections fill."""
        connections = OwnedConnections(max_links=9)
        assert not connections.may_open("bode", 0.0, beside=False)
        link = use(connections, "cairo", 0.0)
        assert connections.may_open("bode", 0.0, beside=False)
        assert connections.make_room(0.0, beside=False)
        assert link.closed


class TestOwnerLimit:
    def hold(self, connections: OwnedConnections, owner: str, now: float) -> None:
        connections.take(owner, {}, now)
        connections.make_room(now)
        connections.add(owner)

    def test_an_owner_at_its_limit_takes_no_connection_that_others_need(self) -> None:
        connections = OwnedConnections(max_links=6)
        for _ in range(2):
            self.hold(connections, "bode", 0.0)
        for owner in ("cairo", "delhi", "essen", "fargo"):
            use(connections, owner, 0.0)
        assert not connections.may_open("bode", 1.0)
        assert connections.may_open("genoa", 1.0)
        assert connections.may_open("bode", NEED_S + 0.1)

    def test_transactions_of_one_owner_pin_a_third_while_others_need_some(self) -> None:
        connections = OwnedConnections(max_links=22)
        for _ in range(7):
            self.hold(connections, "bode", 0.0)
            connections.pin("bode")
        assert connections.may_pin("bode", 0.1)
        connections.record_need("cairo", 0.1)
        assert not connections.may_pin("bode", 0.2)
        assert connections.may_pin("cairo", 0.2)

    @pytest.mark.parametrize("owner", ["", "bode"])
    def test_an_owner_alone_may_use_all(self, owner: str) -> None:
        connections = OwnedConnections(max_links=6)
        for _ in range(6):
            assert connections.may_open(owner, 0.0)
            self.hold(connections, owner, 0.0)
        assert not connections.may_open(owner, 0.0)


class TestRest:
    def test_those_with_the_fewest_uses_are_closed(self) -> None:
        connections = OwnedConnections(max_links=4)
        frequent = [use(connections, "bode", tick / 10) for tick in range(20)][-1]
        rare = use(connections, "cairo", 2.0)
        connections.close_idle(3.0, older_than=8.0, resting_links=1, resting_idle_s=0.5)
        assert rare.closed
        assert not frequent.closed
        assert connections.links == 1


class TestPlacement:
    def test_a_busy_endpoint_is_passed_over(self) -> None:
        placement = OwnerPlacement()
        loads = {"a1": 0, "b1": 0, "c1": 0}
        (home,) = placement.homes("bode", loads, uses_per_s=0.1)
        (other,) = placement.homes("bode", loads | {home: 4}, uses_per_s=0.1)
        assert other != home
        assert len(placement.homes("bode", loads, uses_per_s=9.0)) == 3

    async def test_a_control_connection_is_adopted_only_where_it_is_useful(
        self,
    ) -> None:
        cluster = FakeCluster("a1")
        dispatcher = new_dispatcher(cluster, ManualClock())
        dispatcher.lends_idle_connections = True
        dispatcher.update_endpoints(cluster.infos)
        dispatcher.serves_no_owner = False
        assert not dispatcher.adopt(cluster["a1"].info, owned_link(""))
        dispatcher.serves_no_owner = True
        assert dispatcher.adopt(cluster["a1"].info, owned_link(""))


ORGANISATIONS = [f"o{number}" for number in range(87)]
SIZES = [(rank + 1) ** -1.2 for rank in range(87)]
STATEMENTS = 3000
RATE = 120.0


def opened_before(seed: int) -> float:
    """Return the connections per statement of a pool without regard to owners.

    Any endpoint is used, and the least recently used connection makes way.
    """
    random, at, opened = Random(seed), 0.0, 0
    idle: list[list[str]] = [[], [], []]
    busy: list[tuple[float, int, str]] = []
    for _ in range(STATEMENTS):
        at += random.expovariate(RATE)
        while busy and busy[0][0] <= at:
            _, endpoint, owner = heapq.heappop(busy)
            idle[endpoint].append(owner)
        (owner,) = random.choices(ORGANISATIONS, SIZES)
        endpoint = random.randrange(3)
        if owner in idle[endpoint]:
            idle[endpoint].remove(owner)
        else:
            opened += 1
            in_use = sum(entry[1] == endpoint for entry in busy)
            if len(idle[endpoint]) + in_use >= LINKS:
                idle[endpoint].pop(0)
        heapq.heappush(busy, (at + random.uniform(0.006, 0.03), endpoint, owner))
    return opened / STATEMENTS


class SlowCluster(FakeCluster):
    """A group where opening a connection takes 12 ms."""

    async def connect(self, *args: object, **options: object) -> object:
        await asyncio.sleep(0.011)
        return await super().connect(*args, **options)


async def opened_now(seed: int) -> float:
    """Return the connections per statement that the dispatcher opens."""
    random, clock, cluster = Random(seed), ManualClock(), SlowCluster(limit=LINKS)
    metrics = Metrics()
    dispatcher = new_dispatcher(cluster, clock, metrics)

    async def run(owner: str) -> None:
        now = clock.monotonic()
        pending = PendingStatement(
            priority=1, arrived=now, queue_deadline=now + 1, organisation=owner
        )
        grant = await dispatcher.acquire(pending)
        await asyncio.sleep(random.uniform(0.006, 0.03))
        grant.release()

    async with asyncio.TaskGroup() as tasks:
        for _ in range(STATEMENTS):
            await asyncio.sleep(random.expovariate(RATE))
            tasks.create_task(run(random.choices(ORGANISATIONS, SIZES)[0]))
    dispatcher.close()
    counts = {row["name"]: row["value"] for row in metrics.snapshot()["counters"]}
    assert counts["connections_opened"] == cluster.opened
    assert cluster.opened + counts["connections_reused"] == STATEMENTS
    assert cluster.opened - counts["connections_evicted"] <= 3 * LINKS
    return cluster.opened / STATEMENTS


class TestManyOrganisations:
    async def test_few_statements_need_a_new_connection(self) -> None:
        """Guards against 87 organisations that push out each other's connections.

        They are of very uneven size, on 22 connections at each of 3 endpoints. Reads at
        any endpoint opened a connection for every third statement.
        """
        before, now = opened_before(1), await opened_now(1)
        assert before > 0.28
        assert now < 0.4 * before
