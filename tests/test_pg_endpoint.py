"""Tests of the libpq adapter against the stand-in group."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from celeryjunction.adapters.pg_endpoint import (
    MAX_PREPARED_STATEMENTS,
    EndpointLogin,
    PgConnection,
    PgConnector,
)
from celeryjunction.errors import ConnectionLost, EndpointError
from celeryjunction.pool import EndpointPool
from celeryjunction.ports import BINARY_FORMAT, EndpointRecord, Step, SystemClock
from celeryjunction.rounds import STATUS_STEP, decode_status
from celeryjunction.standin.group import (
    EndpointConfig,
    GroupConfig,
    RunningGroup,
    serve_group,
)

SCHEMA = ("CREATE TABLE t (id int8 PRIMARY KEY, name text)",)
ANSWER_TIMEOUT_S = 20.0
"""Timeout of calls that are answered; no passing test waits this long."""
FAULT_TIMEOUT_S = 0.05
"""Timeout of calls that remain unanswered because of a fault."""
SELECT = Step("SELECT name FROM t WHERE id = $1", (b"1",), (0,), (20,))
LOGIN = EndpointLogin(user="celeryjunction", application_name="celeryjunction/vm/z1")


@pytest.fixture
async def group() -> AsyncIterator[RunningGroup]:
    endpoints = tuple(EndpointConfig(name=n, zone="z1", connections=4) for n in "ab")
    config = GroupConfig(
        name="g", endpoints=endpoints, schema=SCHEMA, connect_delay_ms=0
    )
    running = await serve_group(config)
    yield running
    await running.close()


def record_of(group: RunningGroup, name: str = "a") -> EndpointRecord:
    return next(e for e in group.record.endpoints if e.name == name)


async def connect(group: RunningGroup, name: str = "a") -> PgConnection:
    connector = PgConnector(LOGIN)
    return await connector.connect(
        record_of(group, name), "g", timeout=ANSWER_TIMEOUT_S
    )


async def run_steps(connection: PgConnection, *steps: Step | str) -> list:
    """Run the steps; return the rows of each, or its tag if it has no columns."""
    full = [Step(step) if isinstance(step, str) else step for step in steps]
    results = await connection.run(full, timeout=ANSWER_TIMEOUT_S)
    return [list(r.rows) if r.columns is not None else r.tag for r in results]


class TestPipeline:
    async def test_one_result_for_each_step(self, group: RunningGroup) -> None:
        connection = await connect(group)
        opening = await run_steps(connection, "BEGIN", "SELECT pg_current_xact_id()")
        assert opening[0] == "BEGIN" and int(opening[1][0][0]) > 0
        assert connection.in_transaction
        insert = Step("INSERT INTO t VALUES ($1, $2)", (b"1", None), (0, 0), (20, 25))
        assert await run_steps(connection, insert, SELECT) == ["INSERT 0 1", [(None,)]]
        (committed, status) = await connection.run(
            [Step("COMMIT"), STATUS_STEP], timeout=ANSWER_TIMEOUT_S
        )
        assert committed.tag == "COMMIT" and decode_status(status).applied == 1
        assert not connection.in_transaction and connection.usable

    async def test_formats_pass_through(self, group: RunningGroup) -> None:
        connection = await connect(group)
        number = (7).to_bytes(8, "big")
        step = Step("SELECT $1::int8", (number,), (1,), (20,), BINARY_FORMAT)
        assert await run_steps(connection, step, step._replace(prepare=False)) == [
            [(number,)],
            [(number,)],
        ]

    async def test_a_failed_step_is_reported_and_later_ones_do_not_run(
        self, group: RunningGroup
    ) -> None:
        connection = await connect(group)
        for prepare in (True, False):
            sql = f"INSERT INTO t VALUES ({2 + prepare}, 'x')"
            insert = Step(sql, prepare=prepare)
            bad = Step("SELECT nothing FROM nowhere", prepare=prepare)
            with pytest.raises(EndpointError) as error:
                await run_steps(connection, "BEGIN", bad, insert)
            assert error.value.step == 1 and error.value.fields["M"]
            assert connection.usable and connection.in_transaction
            assert await run_steps(connection, "ROLLBACK", SELECT) == ["ROLLBACK", []]
            assert group.log("a") == [] or not prepare
            # Names of statements that were never prepared must be dropped.
            assert await run_steps(connection, insert) == ["INSERT 0 1"]

    async def test_a_write_on_a_replica_fails(self, group: RunningGroup) -> None:
        connection = await connect(group, "b")
        with pytest.raises(EndpointError) as error:
            await run_steps(connection, "BEGIN", "SELECT pg_current_xact_id()")
        assert (error.value.sqlstate, error.value.step) == ("25006", 1)

    async def test_prepared_statements_are_bounded(self, group: RunningGroup) -> None:
        connection = await connect(group)
        for number in range(MAX_PREPARED_STATEMENTS + 5):
            assert await run_steps(connection, f"SELECT {number}") == [
                [(b"%d" % number,)]
            ]
        assert len(connection._prepared_names) == MAX_PREPARED_STATEMENTS
        assert await run_steps(connection, "SELECT 0") == [[(b"0",)]]

    async def test_describe_runs_nothing(self, group: RunningGroup) -> None:
        connection = await connect(group)
        shape = await connection.describe(SELECT.sql, (20,), timeout=ANSWER_TIMEOUT_S)
        assert shape.param_oids == (20,) and shape.columns[0].name == b"name"
        sql = "INSERT INTO t VALUES (9, 'x')"
        shape = await connection.describe(sql, (), timeout=ANSWER_TIMEOUT_S)
        assert shape.columns is None and group.log("a") == []
        with pytest.raises(EndpointError):
            await connection.describe("SELECT x FROM y", (), timeout=ANSWER_TIMEOUT_S)
        assert await run_steps(connection, "SELECT 5") == [[(b"5",)]]


class TestBrokenAnswers:
    @pytest.mark.parametrize("way", ["freeze", "block", "cancel"])
    async def test_late_answer_never_reaches_the_next_user(
        self, group: RunningGroup, way: str
    ) -> None:
        # Guards R4: the answer to an abandoned call must not reach another user.
        pool = EndpointPool(
            record_of(group), "g", connector=PgConnector(LOGIN), clock=SystemClock()
        )
        first = await pool.acquire(timeout=ANSWER_TIMEOUT_S)
        await run_steps(first, "SELECT 1")
        if way == "freeze":
            await group.freeze("a", 60)
        elif way == "block":
            await group.block("a", "z1")
        slow = Step("SELECT pg_sleep(60)") if way == "cancel" else Step("SELECT 11")
        limit = ANSWER_TIMEOUT_S if way == "cancel" else FAULT_TIMEOUT_S
        task = asyncio.create_task(first.run([slow], timeout=limit))
        if way == "cancel":
            await asyncio.sleep(FAULT_TIMEOUT_S)
            task.cancel()
        with pytest.raises((ConnectionLost, asyncio.CancelledError)) as error:
            await task
        assert getattr(error.value, "sent", True) and not first.usable
        pool.release(first)
        assert pool.idle == 0
        await group.freeze("a", 0)
        await group.unblock("a")
        second = await pool.acquire(timeout=ANSWER_TIMEOUT_S)
        assert second is not first
        assert await run_steps(second, "SELECT 22") == [[(b"22",)]]
        pool.release(second)
        pool.close()

    async def test_a_cancelled_call_frees_the_endpoints_slot(
        self, group: RunningGroup
    ) -> None:
        # Guards against a slow statement that keeps running after its client left.
        connection = await connect(group)
        sleep = Step("SELECT pg_sleep(60)")
        task = asyncio.create_task(connection.run([sleep], timeout=ANSWER_TIMEOUT_S))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not group.state()["a"]["running"]:
                await asyncio.sleep(0.005)
            task.cancel()
            while group.state()["a"]["running"]:
                await asyncio.sleep(0.005)

    async def test_a_crash_ends_running_and_idle_connections(
        self, group: RunningGroup
    ) -> None:
        connection, idle = await connect(group), await connect(group)
        sleep = Step("SELECT pg_sleep(60)")
        task = asyncio.create_task(connection.run([sleep], timeout=ANSWER_TIMEOUT_S))
        await asyncio.sleep(FAULT_TIMEOUT_S)
        await group.crash("a")
        with pytest.raises(ConnectionLost) as lost:
            await task
        assert lost.value.sent and not connection.usable
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while idle.usable:
                await asyncio.sleep(0.005)
        with pytest.raises(ConnectionLost) as lost:
            await run_steps(idle, "SELECT 1")
        assert not lost.value.sent


class TestConnecting:
    async def test_too_many_connections_is_an_endpoint_error(
        self, group: RunningGroup
    ) -> None:
        connections = [await connect(group) for _ in range(4)]
        with pytest.raises(EndpointError) as error:
            await connect(group)
        assert error.value.sqlstate == "53300"
        connections[0].close()
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while group.state()["a"]["connections"] > 3:
                await asyncio.sleep(0.005)
        await connect(group)

    async def test_unreachable_endpoints_raise_connection_lost(
        self, group: RunningGroup
    ) -> None:
        await group.crash("a")
        with pytest.raises(ConnectionLost) as lost:
            await connect(group)
        assert not lost.value.sent
        await group.freeze("b", 60)
        connector = PgConnector(LOGIN)
        with pytest.raises(ConnectionLost) as lost:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await connector.connect(
                    record_of(group, "b"), "g", timeout=FAULT_TIMEOUT_S
                )
        assert not lost.value.sent

    async def test_opened_at_is_taken_after_connecting(
        self, group: RunningGroup
    ) -> None:
        # Guards A4: the endpoint may rewind its log while the connection is being
        # opened, so a status seen in the meantime must not count for the connection.
        config = group.config
        seen = []

        class Clock(SystemClock):
            def monotonic(self) -> float:
                seen.append(group.endpoints["a"].counters.connections)
                return 1.0

        connector = PgConnector(LOGIN, clock=Clock())
        connection = await connector.connect(
            record_of(group), "g", timeout=ANSWER_TIMEOUT_S
        )
        assert config.endpoints[0].name == "a" and seen == [1]
        assert connection.opened_at == 1.0
