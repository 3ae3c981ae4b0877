"""Tests of a stand-in group: replication, promotion, faults and control API."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import asyncpg
import pytest

from celeryjunction.ports import GroupRecord
from celeryjunction.standin.group import (
    EndpointConfig,
    FaultRefused,
    GroupConfig,
    RunningGroup,
    serve_group,
)

SCHEMA = ("CREATE TABLE t (id int8 PRIMARY KEY, at timestamptz DEFAULT now())",)
STATUS = "SELECT term, role, received, applied, leaving, term_start "
STATUS += "FROM celeryjunction_status"
CONNECTION_LOST = (asyncpg.PostgresConnectionError, asyncpg.InterfaceError, OSError)
ONE_HOUR_MS = 3_600_000.0

Start = Callable[..., Awaitable[RunningGroup]]


@pytest.fixture
async def start() -> Any:
    groups: list[RunningGroup] = []

    async def start_group(publish: Any = None, **options: Any) -> RunningGroup:
        endpoints = tuple(EndpointConfig(name=n, zone=f"z{n}") for n in "abc")
        config = GroupConfig(name="g", endpoints=endpoints, schema=SCHEMA, **options)
        groups.append(await serve_group(config, publish))
        return groups[-1]

    yield start_group
    for group in groups:
        await group.close()


async def connect(
    group: RunningGroup, name: str, application: str = "test"
) -> asyncpg.Connection:
    return await asyncpg.connect(
        host="127.0.0.1",
        port=group.endpoints[name].port,
        user="u",
        database="g",
        server_settings={"application_name": application},
    )


async def insert(client: asyncpg.Connection, number: int) -> None:
    await client.execute("INSERT INTO t (id) VALUES ($1)", number)


async def read_ids(group: RunningGroup, name: str) -> list[int]:
    client = await connect(group, name)
    rows = await client.fetch("SELECT id FROM t ORDER BY id")
    await client.close()
    return [row["id"] for row in rows]


async def eventually(condition: Callable[[], bool]) -> None:
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("the expected state was not reached")


def has_applied(group: RunningGroup, name: str, position: int) -> Callable[[], bool]:
    return lambda: group.state()[name]["applied"] == position


class TestReplication:
    async def test_replicas_get_equal_rows(self, start: Start) -> None:
        # Guards against replicas that evaluate now() again when they apply an entry.
        group = await start()
        client = await connect(group, "a")
        await insert(client, 1)
        await eventually(has_applied(group, "b", 1))
        await eventually(has_applied(group, "c", 1))
        rows = [
            await (await connect(group, name)).fetchrow("SELECT * FROM t")
            for name in "abc"
        ]
        assert rows[0] == rows[1] == rows[2]
        assert group.log("a") == group.log("b") == group.log("c")

    async def test_lag_separates_received_from_applied(self, start: Start) -> None:
        group = await start(apply_lag_ms=ONE_HOUR_MS)
        client = await connect(group, "a")
        await insert(client, 1)
        await eventually(lambda: group.state()["b"]["received"] == 1)
        assert group.state()["b"]["applied"] == 0
        assert await read_ids(group, "b") == []
        await group.lag("b", apply_lag_ms=0)
        assert await read_ids(group, "b") == [1]
        assert group.state()["c"]["applied"] == 0


class TestPromotion:
    async def test_needs_a_majority(self, start: Start) -> None:
        group = await start()
        await group.cut("b")
        with pytest.raises(FaultRefused):
            await group.promote("b")
        await group.crash("c")
        with pytest.raises(FaultRefused):
            await group.promote()
        assert {s["term"] for s in group.state().values()} == {1}

    async def test_picks_the_highest_received_and_applies_it(
        self, start: Start
    ) -> None:
        # Guards against a promotion that loses an entry which a member of the
        # majority has received and not applied yet.
        group = await start(apply_lag_ms=ONE_HOUR_MS)
        await group.lag("b", replication_ms=ONE_HOUR_MS)
        await insert(await connect(group, "a"), 1)
        await eventually(lambda: group.state()["c"]["received"] == 1)
        await group.cut("a")
        assert await group.promote() == {"term": 2, "primary": "c"}
        client = await connect(group, "c")
        status = await client.fetchrow(STATUS)
        assert tuple(status) == (2, "primary", 1, 1, False, 1)
        assert group.state()["b"]["term"] == 2

    async def test_named_endpoint_catches_up_first(self, start: Start) -> None:
        group = await start()
        await group.lag("b", replication_ms=ONE_HOUR_MS)
        await insert(await connect(group, "a"), 1)
        await eventually(lambda: group.state()["c"]["received"] == 1)
        await group.cut("a")
        await group.promote("b")
        assert await read_ids(group, "b") == [1]

    async def test_demotion_rolls_back_open_writes(self, start: Start) -> None:
        group = await start()
        client = await connect(group, "a")
        await client.execute("BEGIN")
        await insert(client, 1)
        await group.promote("b")
        with pytest.raises(CONNECTION_LOST):
            await client.execute("COMMIT")
        assert await read_ids(group, "a") == [] and group.log("a") == []

    async def test_record_is_published_before_writes(self, start: Start) -> None:
        # Guards assumption A2: a new primary must not accept writes before its term is
        # published.
        records: list[tuple[GroupRecord, bool]] = []
        groups: list[RunningGroup] = []

        async def publish(record: GroupRecord) -> None:
            writable = any(
                s["role"] == "primary" and s["term"] == record.term
                for g in groups
                for s in g.state().values()
            )
            records.append((record, writable))

        groups.append(await start(publish))
        await groups[0].promote("c")
        await groups[0].leaving("a", True)
        published = [(record.term, record.primary) for record, _ in records]
        assert published == [(1, "a"), (2, "c"), (2, "c")]
        assert records[1][1] is False
        assert records[2][0].endpoints[0].leaving

    async def test_failing_publish_does_not_stop_the_group(self, start: Start) -> None:
        failures = 3
        published: list[GroupRecord] = []

        async def publish(record: GroupRecord) -> None:
            nonlocal failures
            failures -= 1
            if failures >= 0:
                raise ConnectionError("no key-value service")
            published.append(record)

        group = await start(publish)
        await group.promote("b")
        await insert(await connect(group, "b"), 1)
        await eventually(lambda: bool(published) and published[-1].term == 2)


class TestPartition:
    async def test_cut_primary_accepts_writes_and_heal_rewinds(
        self, start: Start
    ) -> None:
        # Guards against a former primary that keeps its diverged log entries (A4).
        group = await start()
        old = await connect(group, "a")
        await insert(old, 1)
        await eventually(has_applied(group, "b", 1))
        await group.cut("a")
        await insert(old, 2)
        await group.promote("b")
        await insert(await connect(group, "b"), 3)
        assert await old.fetchval("SELECT count(*) FROM t") == 2
        assert (await old.fetchrow(STATUS))["term"] == 1
        await group.heal("a")
        with pytest.raises(CONNECTION_LOST):
            await old.fetchval("SELECT 1")
        await eventually(has_applied(group, "a", 2))
        assert await read_ids(group, "a") == [1, 3]
        assert group.log("a") == group.log("b")
        assert group.state()["a"]["role"] == "replica"

    async def test_new_primary_starts_from_its_applied_data(self, start: Start) -> None:
        # Guards against an outdated write database on a new primary, both when the
        # missing entries are applied to it and when it is copied.
        group = await start(apply_lag_ms=0)
        client = await connect(group, "a")
        for number in range(150):
            await insert(client, number)
        await group.promote("b")
        client = await connect(group, "b")
        with pytest.raises(asyncpg.UniqueViolationError):
            await insert(client, 149)
        await insert(client, 150)
        await group.promote("c")
        await insert(await connect(group, "c"), 151)
        assert await read_ids(group, "c") == list(range(152))

    async def test_single_promotion_leaves_the_old_primary_unaware(
        self, start: Start
    ) -> None:
        group = await start(promotion="single")
        await group.cut("a")
        await group.promote("b")
        await insert(await connect(group, "a"), 1)
        await insert(await connect(group, "b"), 2)
        assert group.state()["a"]["role"] == group.state()["b"]["role"] == "primary"
        await group.heal("a")
        assert await read_ids(group, "a") == [2]
        await eventually(lambda: group.state()["c"]["term"] == 2)


class TestFaults:
    async def test_block_stalls_one_zone_only(self, start: Start) -> None:
        group = await start()
        near = await connect(group, "a", "celeryjunction/vm1/near")
        far = await connect(group, "a", "celeryjunction/vm2/far")
        await group.block("a", "far")
        # A simple query is a single message: the statement stays unexecuted only if
        # this message is held back.
        statement = "INSERT INTO t (id) VALUES (1)"
        stalled = asyncio.create_task(far.execute(statement))
        opening = asyncio.create_task(connect(group, "a", "celeryjunction/vm3/far"))
        for _ in range(20):
            assert await near.fetchval("SELECT count(*) FROM t") == 0
        assert not stalled.done() and not opening.done()
        await group.unblock("a")
        await stalled
        await opening
        assert await read_ids(group, "a") == [1]

    async def test_freeze_answers_nothing_and_ends(self, start: Start) -> None:
        group = await start()
        frozen, other = await connect(group, "a"), await connect(group, "b")
        await group.freeze("a", 600)
        waiting = asyncio.create_task(frozen.fetchval("SELECT 1"))
        for _ in range(20):
            await other.fetchval("SELECT 1")
        assert not waiting.done()
        await group.freeze("a", 0)
        assert await waiting == 1

    async def test_frozen_primary_follows_after_a_promotion(self, start: Start) -> None:
        group = await start()
        await group.freeze("a", 600)
        await group.promote("b")
        assert group.state()["a"]["role"] == "primary"
        await group.freeze("a", 0)
        await eventually(lambda: group.state()["a"]["role"] == "replica")
        assert group.state()["a"]["term"] == 2

    async def test_crash_and_restart_keep_committed_data(self, start: Start) -> None:
        group = await start()
        client = await connect(group, "a")
        await insert(client, 1)
        await client.execute("BEGIN")
        await insert(client, 2)
        await group.crash("a")
        with pytest.raises(CONNECTION_LOST):
            await client.execute("COMMIT")
        with pytest.raises(OSError):
            await connect(group, "a")
        await group.restart("a")
        assert await read_ids(group, "a") == [1]
        await insert(await connect(group, "a"), 3)


class TestControl:
    async def test_calls_and_refusals(self, start: Start) -> None:
        group = await start()
        await insert(await connect(group, "a"), 1)
        await eventually(has_applied(group, "c", 1))
        base = f"http://127.0.0.1:{group.control_port}"
        async with aiohttp.ClientSession() as http:
            for path, body, status in (
                ("cut", {"endpoint": "a"}, 200),
                ("promote", {"endpoint": "a"}, 409),
                ("promote", {}, 200),
                ("leaving", {"endpoint": "b", "value": True}, 200),
                ("crash", {"endpoint": "nowhere"}, 404),
                ("crash", {"place": "a"}, 400),
            ):
                async with http.post(f"{base}/{path}", json=body) as response:
                    assert response.status == status, (path, await response.text())
            async with http.get(f"{base}/state") as response:
                state = await response.json()
            async with http.get(f"{base}/log", params={"endpoint": "c"}) as response:
                log = await response.json()
        assert (state["a"]["term"], state["c"]["term"]) == (1, 2)
        assert state["b"]["leaving"] is True
        expected = [["INSERT INTO t (id) VALUES ($1)", [1]]]
        assert [entry["statements"] for entry in log] == [expected]
