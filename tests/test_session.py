"""Tests of client sessions: settings, work classes, transaction status."""

from __future__ import annotations

import asyncio

import pytest
from fakes import (
    INSERT,
    SELECT,
    FakeGroup,
    delay,
    event_loop_policy,  # noqa: F401
    fail_with,
    make_contract,
    result_or_error,
)
from fakes import fake as fake

from celeryjunction.contract import Rank
from celeryjunction.errors import ErrorKind
from celeryjunction.ports import Login, Step
from celeryjunction.session import Session
from celeryjunction.sessions import Sessions, StaticContracts


class SessionOpener:
    """A proxy's session factory over a fake group; `works` lists the observed work."""

    def __init__(self, fake: FakeGroup, **contract: object) -> None:
        self.works = []
        self.contracts = StaticContracts((make_contract(**contract),))
        self.sessions = Sessions(
            contracts=self.contracts,
            group=lambda name: fake.proxy if name == "db" else None,
            clock=fake.clock,
            observe=lambda work, seconds, ok: self.works.append(work),
        )

    async def open(
        self, user: str = "coop", database: str = "db", **options: str
    ) -> Session:
        return await self.sessions.open(Login(user, database, options, "peer"))


@pytest.fixture
async def opener(fake: FakeGroup) -> SessionOpener:
    return SessionOpener(fake, idle_transaction_ms=2000)


async def run_statements(session: Session, *texts: str) -> object:
    """Run statements; return the last one's first value, its tag or its error."""
    for sql in texts:
        result = await result_or_error(session.execute(Step(sql)))
    if isinstance(result, ErrorKind | str):
        return result
    return result.rows[0][0].decode() if result.rows else result.tag


class TestLogin:
    @pytest.mark.parametrize(
        ("user", "database", "kind"),
        [
            ("nobody", "db", ErrorKind.NO_CONTRACT),
            ("coop.boss", "db", ErrorKind.NO_CONTRACT),
            ("coop", "other", ErrorKind.UNKNOWN_DATABASE),
        ],
    )
    async def test_is_refused_outside_the_contract(
        self, opener: SessionOpener, user: str, database: str, kind: ErrorKind
    ) -> None:
        assert await result_or_error(opener.open(user, database)) is kind
        assert opener.sessions.count == 0

    async def test_database_of_another_customer_is_refused(
        self, fake: FakeGroup
    ) -> None:
        refused = await result_or_error(SessionOpener(fake, databases=["mine"]).open())
        assert refused is ErrorKind.UNKNOWN_DATABASE

    async def test_is_refused_while_draining(self, opener: SessionOpener) -> None:
        opener.sessions.start_draining()
        assert await result_or_error(opener.open()) is ErrorKind.SHUTTING_DOWN

    async def test_options_are_settings(self, opener: SessionOpener) -> None:
        await run_statements(await opener.open(statement_timeout="300"), SELECT.sql)
        assert opener.works[-1].deadline_s == 0.3
        assert await result_or_error(opener.open(work_mem="1")) is ErrorKind.UNSUPPORTED


class TestWorkClass:
    async def test_comes_from_login_and_set(self, opener: SessionOpener) -> None:
        session = await opener.open("coop.sheet")
        await run_statements(session, SELECT.sql)
        await run_statements(session, "SET celeryjunction.work = 'counter'", SELECT.sql)
        terms = [(w.rank, w.deadline_s, w.staleness_s) for w in opener.works]
        assert terms[0] == (Rank.INTERACTIVE, 2.0, 0.5)
        assert terms[-1] == (Rank.URGENT, 1.0, 0.0)
        assert await run_statements(session, "SHOW celeryjunction.work") == "counter"

    async def test_only_classes_of_the_contract(self, opener: SessionOpener) -> None:
        # Guards against a client that uses a rank which its contract does not allow.
        session = await opener.open()
        assert (
            await run_statements(session, "SET celeryjunction.work = 'boss'") == "22023"
        )
        assert await run_statements(session, "SHOW celeryjunction.work") == "counter"

    async def test_changed_contract_is_in_force_at_once(
        self, opener: SessionOpener
    ) -> None:
        session = await opener.open()
        work = {"counter": {"rank": "urgent", "deadline_ms": 77}}
        opener.contracts._contracts["coop"] = make_contract(work=work)
        await run_statements(session, SELECT.sql)
        assert opener.works[-1].deadline_s == 0.077

    async def test_proxy_settings(self, opener: SessionOpener) -> None:
        session = await opener.open("coop.sheet")
        await run_statements(session, "SET celeryjunction.strict = on")
        await run_statements(session, "SET celeryjunction.repeatable = on", SELECT.sql)
        assert (opener.works[-1].staleness_s, opener.works[-1].repeatable) == (
            0.0,
            True,
        )
        assert await run_statements(session, "SHOW celeryjunction.repeatable") == "on"
        await run_statements(session, "RESET ALL", SELECT.sql)
        assert not opener.works[-1].repeatable
        for text in ("strict = maybe", "nonsense = 1"):
            assert (
                await run_statements(session, f"SET celeryjunction.{text}") == "22023"
            )


class TestSettings:
    async def test_stored_and_fixed_ones_are_not_forwarded(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        # Guards against session state that a client leaves on shared connections.
        session = await opener.open()
        name = "SHOW application_name"
        assert (
            await run_statements(session, "SET application_name = 'till'", name)
            == "till"
        )
        assert await run_statements(session, "RESET application_name", name) != "till"
        assert await run_statements(session, "SET timezone TO 'utc'") == "SET"
        assert await run_statements(session, "SET timezone TO 'Asia/Lima'") == "22023"
        assert await run_statements(session, "SHOW client_encoding") == "UTF8"
        assert fake.executed == []

    @pytest.mark.parametrize("sql", ["SET work_mem = '1MB'", "LISTEN x"])
    async def test_unsupported_statements_are_refused(
        self, fake: FakeGroup, opener: SessionOpener, sql: str
    ) -> None:
        assert await run_statements(await opener.open(), sql) is ErrorKind.UNSUPPORTED
        assert fake.executed == []

    async def test_statement_timeout_only_tightens(self, opener: SessionOpener) -> None:
        session = await opener.open()
        for value, seconds in (("'250ms'", 0.25), ("'5s'", 1.0), ("0", 1.0)):
            await run_statements(
                session, f"SET statement_timeout = {value}", SELECT.sql
            )
            assert opener.works[-1].deadline_s == seconds
        assert (
            await run_statements(session, "SET statement_timeout = 'soon'") == "22023"
        )


class TestOwnWrites:
    async def test_bounded_read_includes_own_writes(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session = await opener.open("coop.sheet")
        await run_statements(session, SELECT.sql)
        fake.b.applies = False
        for write in ([INSERT.sql], ["BEGIN", INSERT.sql, "COMMIT"]):
            fake.b.set_position(fake.a.applied)
            await run_statements(session, *write)
            for _ in range(8):
                result = await session.execute(SELECT)
                assert int(result.rows[0][1]) == fake.a.applied


class TestTransactions:
    async def test_status_follows_the_protocol(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session = await opener.open()
        assert session.transaction_status == b"I"
        assert await run_statements(session, "BEGIN") == "BEGIN" and fake.executed == []
        assert session.transaction_status == b"T"
        fake.a.script.append(("SELECT v", fail_with("42P01")))
        assert await run_statements(session, INSERT.sql, SELECT.sql) == "42P01"
        assert session.transaction_status == b"E"
        assert (
            await run_statements(session, SELECT.sql) is ErrorKind.TRANSACTION_ABORTED
        )
        assert (
            await run_statements(session, "COMMIT") == "ROLLBACK"
            and fake.a.applied == 0
        )
        assert session.transaction_status == b"I"

    async def test_savepoint_recovers_from_an_error(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session = await opener.open()
        fake.a.script.append(("SELECT v", fail_with("42P01")))
        await run_statements(session, "BEGIN", INSERT.sql, "SAVEPOINT s", SELECT.sql)
        await run_statements(session, "ROLLBACK TO SAVEPOINT s")
        assert session.transaction_status == b"T"
        assert await run_statements(session, SELECT.sql, "COMMIT") == "COMMIT"
        assert fake.a.applied == 1

    async def test_savepoint_does_not_revive_a_lost_connection(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        # Guards against a second transaction that silently replaces the lost one.
        session = await opener.open()
        await run_statements(session, "BEGIN", INSERT.sql, "SAVEPOINT s")
        fake.a.disconnect()
        assert (
            await run_statements(session, INSERT.sql) is ErrorKind.NOT_RUN_ROLLED_BACK
        )
        revived = await run_statements(session, "ROLLBACK TO SAVEPOINT s")
        assert revived is ErrorKind.TRANSACTION_ABORTED
        assert await run_statements(session, "ROLLBACK") == "ROLLBACK"

    async def test_read_only_transaction_uses_a_replica(
        self, opener: SessionOpener
    ) -> None:
        session = await opener.open()
        assert await run_statements(session, "BEGIN READ ONLY", SELECT.sql) in "bc"
        assert await run_statements(session, "COMMIT") == "COMMIT"

    async def test_close_rolls_back(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session = await opener.open()
        await run_statements(session, "BEGIN", INSERT.sql)
        assert opener.sessions.busy_count == 1
        await session.close()
        assert (opener.sessions.count, fake.a.executed[-1]) == (0, "ROLLBACK")


class TestIdleLimit:
    @pytest.mark.parametrize(("text", "status"), [(SELECT.sql, b"E"), ("COMMIT", b"I")])
    async def test_rolls_back_and_the_next_answer_reports_it(
        self, fake: FakeGroup, opener: SessionOpener, text: str, status: bytes
    ) -> None:
        # Guards against an abandoned transaction that keeps its locks, and against a
        # COMMIT that reports success after the rollback.
        session = await opener.open()
        await run_statements(session, "BEGIN", INSERT.sql)
        await asyncio.sleep(1.9)
        assert fake.a.outcomes["1"] == "in progress"
        await asyncio.sleep(0.2)
        assert fake.a.outcomes["1"] == "aborted"
        assert await run_statements(session, text) is ErrorKind.IDLE_TRANSACTION
        assert session.transaction_status == status

    async def test_counts_only_idle_time(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session = await opener.open("coop.sheet")
        fake.a.script += [("INSERT", delay(1.5))] * 3
        await run_statements(session, "BEGIN")
        for _ in range(3):
            await run_statements(session, INSERT.sql)
            await asyncio.sleep(1.5)
        assert await run_statements(session, "COMMIT") == "COMMIT"


class TestDescribe:
    async def test_is_cached_until_a_schema_change(
        self, fake: FakeGroup, opener: SessionOpener
    ) -> None:
        session, other = await opener.open(), await opener.open()
        for each in (session, other):
            assert (await each.describe(SELECT.sql, ())).columns[0].name == b"v"
        assert fake.executed == ["DESCRIBE"]
        await run_statements(session, "ALTER TABLE t ADD w int")
        await other.describe(SELECT.sql, ())
        assert fake.executed.count("DESCRIBE") == 2
