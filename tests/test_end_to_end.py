"""Tests with real client libraries through a proxy to a stand-in group, in process."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from datetime import UTC, date, datetime
from decimal import Decimal

import asyncpg
import psycopg
import pytest

from celeryjunction.contract import Contract, WorkClass
from celeryjunction.daemon import Proxy
from celeryjunction.scram import make_verifier
from celeryjunction.settings import (
    ListenSettings,
    PeersSettings,
    ProxySettings,
    StatusSettings,
)
from celeryjunction.standin.group import (
    EndpointConfig,
    GroupConfig,
    RunningGroup,
    serve_group,
)

PASSWORD = "correct horse"
SCHEMA = (
    "CREATE TABLE kinds (id int8 PRIMARY KEY, t text, n numeric, at timestamptz, "
    "d date, tags text[], ints int8[], ok bool, f float8)",
    "CREATE TABLE ops (op text NOT NULL)",
)
VALUES = (
    7,
    "naïve ünï 'quoted'",
    Decimal("12345678901234567890.123456"),
    datetime(2026, 12, 4, 9, 41, 14, 250000, tzinfo=UTC),
    date(2026, 12, 4),
    ["a", "b,c", 'd"e'],
    [1, -2, 9007199254740993],
    True,
    0.5,
)
NULLS = (8, *[None] * 8)


def _contract() -> Contract:
    return Contract(
        customer="coop",
        databases=("db",),
        verifier=make_verifier(PASSWORD),
        work={
            "desk": WorkClass(deadline_ms=5000),
            "sheet": WorkClass(staleness_ms=60_000),
        },
        default_work="desk",
        shares={"interactive": 0.5},
        idle_transaction_ms=200,
    )


class Site:
    """A stand-in group and a proxy that serves it."""

    def __init__(self, group: RunningGroup, proxy: Proxy) -> None:
        self.group = group
        self.proxy = proxy

    async def asyncpg(self, user: str = "coop", **options) -> asyncpg.Connection:
        """Connect with asyncpg."""
        return await asyncpg.connect(
            host="127.0.0.1",
            port=self.proxy.port,
            user=user,
            password=options.pop("password", PASSWORD),
            database=options.pop("database", "db"),
            ssl=False,
            **options,
        )

    async def psycopg(self, **options) -> psycopg.AsyncConnection:
        """Connect with psycopg."""
        return await psycopg.AsyncConnection.connect(
            host="127.0.0.1",
            port=self.proxy.port,
            user="coop",
            password=PASSWORD,
            dbname="db",
            sslmode="disable",
            **options,
        )


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    endpoints = tuple(EndpointConfig(name=name, zone="z1") for name in "abc")
    config = GroupConfig(
        name="db", endpoints=endpoints, schema=SCHEMA, connect_delay_ms=1
    )
    group = await serve_group(config)
    settings = ProxySettings(
        vm="vm-1",
        zone="z1",
        listen=ListenSettings(host="127.0.0.1", port=0),
        status=StatusSettings(host="127.0.0.1", port=0),
        peers=PeersSettings(host="127.0.0.1", port=0, keys=("k" * 32,)),
        groups=(group.record,),
        contracts=(_contract(),),
    )
    proxy = Proxy(settings)
    await proxy.start()
    yield Site(group, proxy)
    await proxy.close()
    await group.close()


INSERT = "INSERT INTO kinds VALUES ($1, $2, $3, $4, $5, $6, $7, $8, $9)"


class TestAsyncpg:
    async def test_types_nulls_and_prepared_statements(self, site: Site) -> None:
        client = await site.asyncpg()
        for row in (VALUES, NULLS):
            assert await client.execute(INSERT, *row) == "INSERT 0 1"
        statement = await client.prepare("SELECT * FROM kinds WHERE id = $1")
        for row in (VALUES, NULLS, VALUES):
            assert tuple(await statement.fetchrow(row[0])) == row
        assert await client.execute("UPDATE kinds SET t = 'x'") == "UPDATE 2"
        await client.close()

    async def test_large_result_and_cursor(self, site: Site) -> None:
        client = await site.asyncpg()
        rows = await client.fetch("SELECT n FROM generate_series(1, 30000) AS g(n)")
        assert [row["n"] for row in rows] == list(range(1, 30001))
        async with client.transaction():
            seen = [
                r["n"]
                async for r in client.cursor(
                    "SELECT n FROM generate_series(1, 120) AS g(n)", prefetch=50
                )
            ]
        assert seen == list(range(1, 121))
        await client.close()

    async def test_transactions_and_errors(self, site: Site) -> None:
        client = await site.asyncpg()
        with pytest.raises(asyncpg.UniqueViolationError):
            async with client.transaction():
                await client.execute("INSERT INTO kinds (id) VALUES (1)")
                await client.execute("INSERT INTO kinds (id) VALUES (1)")
        assert await client.fetchval("SELECT count(*) FROM kinds") == 0
        async with client.transaction():
            await client.execute("INSERT INTO kinds (id) VALUES (1)")
            with pytest.raises(asyncpg.UndefinedTableError):
                async with client.transaction():
                    await client.execute("INSERT INTO nowhere VALUES (1)")
        assert await client.fetchval("SELECT count(*) FROM kinds") == 1
        await client.close()

    async def test_pool_resets_its_connections(self, site: Site) -> None:
        pool = asyncpg.create_pool(
            host="127.0.0.1",
            port=site.proxy.port,
            user="coop",
            password=PASSWORD,
            database="db",
            ssl=False,
            min_size=1,
            max_size=1,
        )
        async with pool:
            for _ in range(3):
                assert await pool.fetchval("SELECT 1") == 1

    async def test_unsupported_features_are_refused_before_they_run(
        self, site: Site
    ) -> None:
        client = await site.asyncpg()
        for sql in (
            "LISTEN x",
            "COPY kinds TO STDOUT",
            "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
            "CREATE TEMP TABLE x (a int4)",
        ):
            with pytest.raises(asyncpg.FeatureNotSupportedError):
                await client.execute(sql)
        assert await client.fetchval("SELECT 1") == 1
        await client.close()

    async def test_idle_transaction_is_rolled_back_and_reported(
        self, site: Site
    ) -> None:
        client = await site.asyncpg()
        await client.execute("BEGIN")
        await client.execute("INSERT INTO ops VALUES ('idle')")
        await asyncio.sleep(0.3)
        with pytest.raises(asyncpg.IdleInTransactionSessionTimeoutError):
            await client.execute("INSERT INTO ops VALUES ('late')")
        await client.execute("ROLLBACK")
        assert await client.fetchval("SELECT count(*) FROM ops") == 0
        await client.close()


class TestPsycopg:
    async def test_types_nulls_and_prepared_statements(self, site: Site) -> None:
        client = await site.psycopg(autocommit=True)
        insert = f"INSERT INTO kinds VALUES ({', '.join(['%s'] * 9)})"
        for row in (VALUES, NULLS):
            await client.execute(insert, row)
        for binary in (False, True):
            for row in [VALUES, NULLS] * 4:
                cursor = await client.execute(
                    "SELECT * FROM kinds WHERE id = %s", (row[0],), binary=binary
                )
                assert await cursor.fetchone() == row
        await client.close()

    async def test_transactions_errors_and_simple_batches(self, site: Site) -> None:
        client = await site.psycopg()
        await client.execute("INSERT INTO ops VALUES ('a')")
        await client.rollback()
        await client.execute("INSERT INTO ops VALUES ('b')")
        with pytest.raises(psycopg.errors.UndefinedTable):
            await client.execute("SELECT * FROM nowhere")
        with pytest.raises(psycopg.errors.InFailedSqlTransaction):
            await client.execute("SELECT 1")
        await client.rollback()
        await client.execute(
            "INSERT INTO ops VALUES ('c'); INSERT INTO ops VALUES ('d')"
        )
        await client.commit()
        cursor = await client.execute("SELECT op FROM ops ORDER BY op")
        assert await cursor.fetchall() == [("c",), ("d",)]
        await client.close()


class TestLogin:
    async def test_login_errors_have_specific_sqlstates(self, site: Site) -> None:
        for options, sqlstate in (
            ({"password": "wrong"}, "28P01"),
            ({"user": "nobody"}, "28P01"),
            ({"user": "coop.nothing"}, "28000"),
            ({"database": "elsewhere"}, "3D000"),
        ):
            with pytest.raises(asyncpg.PostgresError) as caught:
                await site.asyncpg(**options)
            assert caught.value.sqlstate == sqlstate

    async def test_oversized_statement_does_not_affect_other_clients(
        self, site: Site
    ) -> None:
        other, client = await site.asyncpg(), await site.asyncpg()
        with pytest.raises((asyncpg.PostgresError, asyncpg.InterfaceError, OSError)):
            await client.execute("SELECT '" + "x" * (17 << 20) + "'")
        assert await other.fetchval("SELECT 1") == 1
        await other.close()


class TestFailover:
    async def test_writes_continue_after_a_promotion(self, site: Site) -> None:
        # Guards against a failover that blocks later writes. The write under way when
        # the primary is cut off waits for the promotion, then fails with an unknown
        # outcome.
        client = await site.asyncpg()
        await client.execute("INSERT INTO ops VALUES ('before')")
        await site.group.cut("a")
        waiting = asyncio.ensure_future(
            client.execute("INSERT INTO ops VALUES ('cut')")
        )
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await site.group.promote()
        with pytest.raises(asyncpg.PostgresError) as caught:
            await waiting
        assert caught.value.sqlstate == "08007"
        await client.execute("INSERT INTO ops VALUES ('after')")
        found = [row["op"] for row in await client.fetch("SELECT op FROM ops")]
        assert found == ["before", "after"]
        await client.close()

    async def test_lost_commit_answer_is_resolved(self, site: Site) -> None:
        client = await site.asyncpg()
        await client.execute("INSERT INTO ops VALUES ('first')")
        await site.group.lose_commit_answer("a", 1)
        assert await client.execute("INSERT INTO ops VALUES ('once')") == "INSERT 0 1"
        assert await client.fetchval("SELECT count(*) FROM ops WHERE op = 'once'") == 1
        await client.close()
