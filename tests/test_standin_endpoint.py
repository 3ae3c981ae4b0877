"""Tests of a stand-in endpoint with asyncpg and psycopg as clients."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import AsyncIterator, Callable
from datetime import UTC, date, datetime
from decimal import Decimal
from typing import Any

import asyncpg
import psycopg
import pytest

from celeryjunction.standin.group import (
    EndpointConfig,
    GroupConfig,
    RunningGroup,
    serve_group,
)

SCHEMA = (
    "CREATE TABLE stock (id int8 PRIMARY KEY, name text NOT NULL UNIQUE, "
    "price numeric(12,2) NOT NULL DEFAULT 0, made timestamptz DEFAULT now(), "
    "CHECK (price >= 0))",
    "CREATE TABLE kinds (a int4, b int8, c text, d numeric, e bool, f timestamptz, "
    "g timestamp, h date, i float8, j uuid, l int8[], m text[])",
)
ROW = (
    7,
    1 << 40,
    "it's é",
    Decimal("1.230"),
    True,
    datetime(2024, 1, 2, 3, 4, 5, 6, tzinfo=UTC),
    datetime(2024, 1, 2, 3, 4, 5),
    date(2024, 1, 2),
    1.5,
    uuid.UUID(int=5),
    [1, None, 3],
    ["a", 'b,"c'],
)
STATUS = "SELECT term, role, received, applied, leaving, term_start "
STATUS += "FROM celeryjunction_status"


@pytest.fixture
async def group() -> AsyncIterator[RunningGroup]:
    endpoints = tuple(EndpointConfig(name=n, connections=4) for n in ("a", "b"))
    config = GroupConfig(name="g", endpoints=endpoints, schema=SCHEMA)
    running = await serve_group(config)
    yield running
    await running.close()


async def connect(group: RunningGroup, name: str = "a") -> asyncpg.Connection:
    port = group.endpoints[name].port
    return await asyncpg.connect(host="127.0.0.1", port=port, user="u", database="g")


async def connect_psycopg(group: RunningGroup) -> psycopg.AsyncConnection[Any]:
    port = group.endpoints["a"].port
    return await psycopg.AsyncConnection.connect(
        host="127.0.0.1", port=port, user="u", dbname="g", autocommit=True
    )


async def eventually(condition: Callable[[], bool]) -> None:
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("the expected state was not reached")


class TestTypes:
    async def test_asyncpg_round_trip_in_binary(self, group: RunningGroup) -> None:
        # Guards against inferred parameter types for which asyncpg cannot encode the
        # values.
        client = await connect(group)
        placeholders = ",".join(f"${n}" for n in range(1, 13))
        row = await client.fetchrow(
            f"INSERT INTO kinds VALUES ({placeholders}) RETURNING *", *ROW
        )
        assert tuple(row) == ROW
        found = await client.fetchrow(
            "SELECT a FROM kinds WHERE b=$1 AND d=$2 AND e=$3 AND f=$4 AND j=$5",
            *(ROW[i] for i in (1, 3, 4, 5, 9)),
        )
        assert found["a"] == 7

    @pytest.mark.parametrize("binary", [False, True])
    async def test_psycopg_round_trip(self, group: RunningGroup, binary: bool) -> None:
        client = await connect_psycopg(group)
        placeholders = ",".join(["%b" if binary else "%s"] * 12)
        cursor = client.cursor(binary=binary)
        await cursor.execute(
            f"INSERT INTO kinds VALUES ({placeholders}) RETURNING *", ROW
        )
        assert await cursor.fetchone() == ROW
        assert cursor.statusmessage == "INSERT 0 1"

    async def test_numeric_arithmetic_is_exact(self, group: RunningGroup) -> None:
        # Guards against numeric values that are computed as SQLite floats.
        client = await connect(group)
        await client.execute("INSERT INTO stock VALUES (1, 'x', 0.10), (2, 'y', 9)")
        await client.execute("UPDATE stock SET price = price + $1", Decimal("0.20"))
        row = await client.fetchrow(
            "SELECT sum(price), max(price), count(*), sum(id) FROM stock "
            "WHERE price > 0"
        )
        assert tuple(row) == (Decimal("9.50"), Decimal("9.20"), 2, Decimal(3))

    async def test_statement_shapes(self, group: RunningGroup) -> None:
        client = await connect(group)
        await client.execute("INSERT INTO stock (id, name) VALUES (1,'x'),(2,'y')")
        for sql, arguments, expected in (
            ("SELECT id FROM stock WHERE id = ANY($1::int8[])", [[2, 5]], [(2,)]),
            ("SELECT i*2 FROM generate_series(1,$1) AS t(i)", [2], [(2,), (4,)]),
            ("SELECT $1::int8 + 1, '7'::int4", [2], [(3, 7)]),
            ("WITH t AS (SELECT 1 AS a) SELECT a, true FROM t", [], [(1, True)]),
            ("SELECT count(*) FROM generate_series(1,$1)", [20000], [(20000,)]),
        ):
            assert [tuple(r) for r in await client.fetch(sql, *arguments)] == expected

    async def test_command_tags(self, group: RunningGroup) -> None:
        client = await connect(group)
        for sql, tag in (
            ("INSERT INTO stock (id, name) VALUES (1,'x'), (2,'y')", "INSERT 0 2"),
            ("WITH z AS (SELECT 1 AS i) UPDATE stock SET price=1", "UPDATE 2"),
            ("DELETE FROM stock WHERE id > 5", "DELETE 0"),
            ("SELECT id FROM stock", "SELECT 2"),
        ):
            assert await client.execute(sql) == tag

    @pytest.mark.parametrize(
        ("sql", "sqlstate"),
        [
            ("INSERT INTO stock (id, name) VALUES (1, 'z')", "23505"),
            ("INSERT INTO stock (id) VALUES (2)", "23502"),
            ("UPDATE stock SET price = price - 1", "23514"),
            ("SELEC 1", "42601"),
            ("SELECT * FROM missing", "42P01"),
            ("SELECT missing FROM stock", "42703"),
            ("INSERT INTO stock (id, name) VALUES (random(), 'r')", "0A000"),
        ],
    )
    async def test_sqlstates(
        self, group: RunningGroup, sql: str, sqlstate: str
    ) -> None:
        client = await connect(group)
        await client.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
        with pytest.raises(asyncpg.PostgresError) as caught:
            await client.fetch(sql)
        assert caught.value.sqlstate == sqlstate


class TestTransactions:
    async def test_uncommitted_writes_are_seen_inside_only(
        self, group: RunningGroup
    ) -> None:
        writer, reader = await connect(group), await connect(group)
        await writer.execute("BEGIN")
        xid = await writer.fetchval("SELECT pg_current_xact_id()")
        await writer.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
        assert await writer.fetchval("SELECT count(*) FROM stock") == 1
        assert await reader.fetchval("SELECT count(*) FROM stock") == 0
        status = "SELECT pg_xact_status($1)"
        assert await reader.fetchval(status, xid) == "in progress"
        await writer.execute("COMMIT")
        assert await reader.fetchval("SELECT count(*) FROM stock") == 1
        assert await reader.fetchval(status, xid) == "committed"
        assert await reader.fetchval(status, xid + 100) is None

    async def test_disconnect_rolls_back_and_frees_the_lock(
        self, group: RunningGroup
    ) -> None:
        writer, other = await connect(group), await connect(group)
        await writer.execute("BEGIN")
        xid = await writer.fetchval("SELECT pg_current_xact_id()")
        await writer.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
        writer.terminate()
        await other.execute("INSERT INTO stock (id, name) VALUES (1, 'y')")
        assert await other.fetchval("SELECT pg_xact_status($1)", xid) == "aborted"
        assert len(group.log("a")) == 1

    async def test_commit_of_a_failed_transaction_rolls_back(
        self, group: RunningGroup
    ) -> None:
        # Guards against a COMMIT that keeps the statements before the failed one.
        client = await connect_psycopg(group)
        await client.execute("BEGIN")
        await client.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
        with pytest.raises(psycopg.errors.UniqueViolation):
            await client.execute("INSERT INTO stock (id, name) VALUES (1, 'z')")
        with pytest.raises(psycopg.errors.InFailedSqlTransaction):
            await client.execute("SELECT 1")
        assert (await client.execute("COMMIT")).statusmessage == "ROLLBACK"
        assert group.log("a") == []

    async def test_savepoint_drops_statements_from_the_log(
        self, group: RunningGroup
    ) -> None:
        client = await connect(group)
        async with client.transaction():
            with pytest.raises(asyncpg.UniqueViolationError):
                async with client.transaction():
                    await client.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
                    await client.execute("INSERT INTO stock (id, name) VALUES (1, 'y')")
            await client.execute("INSERT INTO stock (id, name) VALUES (2, 'z')")
        assert [len(entry["statements"]) for entry in group.log("a")] == [1]
        assert await client.fetchval("SELECT id FROM stock") == 2

    async def test_read_only_and_replica_refuse_writes(
        self, group: RunningGroup
    ) -> None:
        insert = "INSERT INTO stock (id, name) VALUES (1, 'x')"
        primary, replica = await connect(group), await connect(group, "b")
        await primary.execute("BEGIN READ ONLY")
        for client in (primary, replica):
            with pytest.raises(asyncpg.ReadOnlySQLTransactionError):
                await client.execute(insert)
        with pytest.raises(asyncpg.ReadOnlySQLTransactionError):
            await replica.fetchval("SELECT pg_current_xact_id()")

    async def test_pipeline_skips_after_an_error(self, group: RunningGroup) -> None:
        # Guards against a pipelined COMMIT that runs after an earlier statement failed.
        client = await connect_psycopg(group)
        with pytest.raises(psycopg.errors.UndefinedTable):
            async with client.pipeline():
                await client.execute("BEGIN")
                await client.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
                await client.execute("INSERT INTO missing VALUES (1)")
                await client.execute("COMMIT")
        await client.execute("ROLLBACK")
        assert group.log("a") == []

    async def test_lost_commit_answer_took_effect(self, group: RunningGroup) -> None:
        client, other = await connect(group), await connect(group)
        await group.lose_commit_answer("a", 1)
        await client.execute("BEGIN")
        await client.execute("INSERT INTO stock (id, name) VALUES (1, 'x')")
        with pytest.raises((asyncpg.PostgresConnectionError, OSError)):
            await client.execute("COMMIT")
        assert await other.fetchval("SELECT count(*) FROM stock") == 1


class TestCapacity:
    async def test_slots_bound_statements_but_not_control(
        self, group: RunningGroup
    ) -> None:
        # Guards against status queries, BEGIN or COMMIT that wait for a slot.
        sleepers = [await connect(group) for _ in range(3)]
        tasks = [
            asyncio.create_task(sleeper.fetch("SELECT pg_sleep($1)", 600.0))
            for sleeper in sleepers
        ]
        await eventually(lambda: group.state()["a"]["running"] == 3)
        client = await connect(group)
        async with asyncio.timeout(20):
            assert (await client.fetchrow(STATUS))["role"] == "primary"
            await client.execute("BEGIN")
            assert await client.fetchval("SELECT pg_current_xact_id()") > 0
            await client.execute("COMMIT")
        waiting = asyncio.create_task(client.fetchval("SELECT 1"))
        tasks[0].cancel()
        assert await waiting == 1
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert group.state()["a"]["peak_running"] == 3

    async def test_lock_waiters_hold_no_slot(self, group: RunningGroup) -> None:
        # Guards against a deadlock in which statements that wait for the write lock
        # occupy all slots, so that the lock holder cannot commit.
        holder, *others = [await connect(group) for _ in range(4)]
        await holder.execute("BEGIN")
        await holder.execute("INSERT INTO stock (id, name) VALUES (1, 'a')")
        insert = "INSERT INTO stock (id, name) VALUES ($1, $1::int8::text)"
        tasks = [
            asyncio.create_task(other.execute(insert, number))
            for number, other in enumerate(others, 2)
        ]
        for _ in range(20):
            assert await holder.fetchval("SELECT count(*) FROM stock") == 1
        await holder.execute("COMMIT")
        await asyncio.gather(*tasks)
        assert len(group.log("a")) == 4

    async def test_connection_limit(self, group: RunningGroup) -> None:
        clients = [await connect(group) for _ in range(4)]
        with pytest.raises(asyncpg.TooManyConnectionsError):
            await connect(group)
        await clients[0].close()
        await eventually(lambda: group.state()["a"]["connections"] == 3)
        await connect(group)
        assert group.state()["a"]["peak_connections"] == 4

    async def test_cancel_request(self, group: RunningGroup) -> None:
        client = await connect_psycopg(group)
        task = asyncio.create_task(client.execute("SELECT pg_sleep(600)"))
        await eventually(lambda: group.state()["a"]["running"] == 1)
        await client.cancel_safe()
        with pytest.raises(psycopg.errors.QueryCanceled):
            await task
        assert await (await client.execute("SELECT 1")).fetchone() == (1,)
