"""Tests of client sessions: settings, work classes, transaction status."""

from __future__ import annotations

import asyncio

import pytest
from fakes import (
    INSERT,
    SELECT,
    FakeGroup,
    event_loop_policy,  # noqa: F401
    make_contract,
    outcome,
    refuse,
    wait,
)
from fakes import fake as fake

from celeryjunction.contract import Rank
from celeryjunction.errors import ErrorKind
from celeryjunction.ports import Login, Step
from celeryjunction.session import Session
from celeryjunction.sessions import Sessions, StaticContracts


class Desk:
    """A proxy's session factory over one fake group; `works` is what was served."""

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
async def desk(fake: FakeGroup) -> Desk:
    return Desk(fake, idle_transaction_ms=2000)


async def say(session: Session, *texts: str) -> object:
    """Run statements; return the last one's first value, its tag or its error."""
    for sql in texts:
        result = await outcome(session.execute(Step(sql)))
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
        self, desk: Desk, user: str, database: str, kind: ErrorKind
    ) -> None:
        assert await outcome(desk.open(user, database)) is kind
        assert desk.sessions.count == 0

    async def test_database_of_another_customer_is_refused(
        self, fake: FakeGroup
    ) -> None:
        refused = await outcome(Desk(fake, databases=["mine"]).open())
        assert refused is ErrorKind.UNKNOWN_DATABASE

    async def test_is_refused_while_draining(self, desk: Desk) -> None:
        desk.sessions.start_draining()
        assert await outcome(desk.open()) is ErrorKind.SHUTTING_DOWN

    async def test_options_are_settings(self, desk: Desk) -> None:
        await say(await desk.open(statement_timeout="300"), SELECT.sql)
        assert desk.works[-1].deadline_s == 0.3
        assert await outcome(desk.open(work_mem="1")) is ErrorKind.UNSUPPORTED


class TestWorkClass:
    async def test_comes_from_login_and_set(self, desk: Desk) -> None:
        session = await desk.open("coop.sheet")
        await say(session, SELECT.sql)
        await say(session, "SET celeryjunction.work = 'counter'", SELECT.sql)
        terms = [(w.rank, w.deadline_s, w.staleness_s) for w in desk.works]
        assert terms[0] == (Rank.INTERACTIVE, 2.0, 0.5)
        assert terms[-1] == (Rank.URGENT, 1.0, 0.0)
        assert await say(session, "SHOW celeryjunction.work") == "counter"

    async def test_only_classes_of_the_contract(self, desk: Desk) -> None:
        # Guards against a caller that takes a rank which the contract does not allow.
        session = await desk.open()
        assert await say(session, "SET celeryjunction.work = 'boss'") == "22023"
        assert await say(session, "SHOW celeryjunction.work") == "counter"

    async def test_changed_contract_is_in_force_at_once(self, desk: Desk) -> None:
        session = await desk.open()
        work = {"counter": {"rank": "urgent", "deadline_ms": 77}}
        desk.contracts._contracts["coop"] = make_contract(work=work)
        await say(session, SELECT.sql)
        assert desk.works[-1].deadline_s == 0.077

    async def test_own_settings(self, desk: Desk) -> None:
        session = await desk.open("coop.sheet")
        await say(session, "SET celeryjunction.strict = on")
        await say(session, "SET celeryjunction.repeatable = on", SELECT.sql)
        assert (desk.works[-1].staleness_s, desk.works[-1].repeatable) == (0.0, True)
        assert await say(session, "SHOW celeryjunction.repeatable") == "on"
        await say(session, "RESET ALL", SELECT.sql)
        assert not desk.works[-1].repeatable
        for text in ("strict = maybe", "nonsense = 1"):
            assert await say(session, f"SET celeryjunction.{text}") == "22023"


class TestSettings:
    async def test_passive_and_fixed_ones_stay_at_the_proxy(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        # Guards against session state on shared connections.
        session = await desk.open()
        name = "SHOW application_name"
        assert await say(session, "SET application_name = 'till'", name) == "till"
        assert await say(session, "RESET application_name", name) != "till"
        assert await say(session, "SET timezone TO 'utc'") == "SET"
        assert await say(session, "SET timezone TO 'Asia/Lima'") == "22023"
        assert await say(session, "SHOW client_encoding") == "UTF8"
        assert fake.ran == []

    @pytest.mark.parametrize("sql", ["SET work_mem = '1MB'", "LISTEN x"])
    async def test_unsupported_ones_are_refused(
        self, fake: FakeGroup, desk: Desk, sql: str
    ) -> None:
        assert await say(await desk.open(), sql) is ErrorKind.UNSUPPORTED
        assert fake.ran == []

    async def test_statement_timeout_only_tightens(self, desk: Desk) -> None:
        session = await desk.open()
        for value, seconds in (("'250ms'", 0.25), ("'5s'", 1.0), ("0", 1.0)):
            await say(session, f"SET statement_timeout = {value}", SELECT.sql)
            assert desk.works[-1].deadline_s == seconds
        assert await say(session, "SET statement_timeout = 'soon'") == "22023"


class TestOwnWrites:
    async def test_bounded_read_includes_them(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        session = await desk.open("coop.sheet")
        await say(session, SELECT.sql)
        fake.b.applies = False
        for write in ([INSERT.sql], ["BEGIN", INSERT.sql, "COMMIT"]):
            fake.b.at(fake.a.applied)
            await say(session, *write)
            for _ in range(8):
                result = await session.execute(SELECT)
                assert int(result.rows[0][1]) == fake.a.applied


class TestTransactions:
    async def test_status_follows_the_protocol(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        session = await desk.open()
        assert session.transaction_status == b"I"
        assert await say(session, "BEGIN") == "BEGIN" and fake.ran == []
        assert session.transaction_status == b"T"
        fake.a.script.append(("SELECT v", refuse("42P01")))
        assert await say(session, INSERT.sql, SELECT.sql) == "42P01"
        assert session.transaction_status == b"E"
        assert await say(session, SELECT.sql) is ErrorKind.TRANSACTION_ABORTED
        assert await say(session, "COMMIT") == "ROLLBACK" and fake.a.applied == 0
        assert session.transaction_status == b"I"

    async def test_savepoint_recovers_from_an_error(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        session = await desk.open()
        fake.a.script.append(("SELECT v", refuse("42P01")))
        await say(session, "BEGIN", INSERT.sql, "SAVEPOINT s", SELECT.sql)
        await say(session, "ROLLBACK TO SAVEPOINT s")
        assert session.transaction_status == b"T"
        assert await say(session, SELECT.sql, "COMMIT") == "COMMIT"
        assert fake.a.applied == 1

    async def test_savepoint_does_not_revive_a_lost_connection(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        # Guards against a second transaction opened in the place of the lost one.
        session = await desk.open()
        await say(session, "BEGIN", INSERT.sql, "SAVEPOINT s")
        fake.a.disconnect()
        assert await say(session, INSERT.sql) is ErrorKind.NOT_RUN_ROLLED_BACK
        revived = await say(session, "ROLLBACK TO SAVEPOINT s")
        assert revived is ErrorKind.TRANSACTION_ABORTED
        assert await say(session, "ROLLBACK") == "ROLLBACK"

    async def test_read_only_one_uses_a_replica(self, desk: Desk) -> None:
        session = await desk.open()
        assert await say(session, "BEGIN READ ONLY", SELECT.sql) in "bc"
        assert await say(session, "COMMIT") == "COMMIT"

    async def test_close_rolls_back(self, fake: FakeGroup, desk: Desk) -> None:
        session = await desk.open()
        await say(session, "BEGIN", INSERT.sql)
        assert desk.sessions.busy_count == 1
        await session.close()
        assert (desk.sessions.count, fake.a.ran[-1]) == (0, "ROLLBACK")


class TestIdleLimit:
    @pytest.mark.parametrize(("text", "status"), [(SELECT.sql, b"E"), ("COMMIT", b"I")])
    async def test_rolls_back_and_the_next_answer_says_so(
        self, fake: FakeGroup, desk: Desk, text: str, status: bytes
    ) -> None:
        # Guards against an abandoned transaction that holds locks, and against a
        # COMMIT that looks successful after it.
        session = await desk.open()
        await say(session, "BEGIN", INSERT.sql)
        await asyncio.sleep(1.9)
        assert fake.a.outcomes["1"] == "in progress"
        await asyncio.sleep(0.2)
        assert fake.a.outcomes["1"] == "aborted"
        assert await say(session, text) is ErrorKind.IDLE_TRANSACTION
        assert session.transaction_status == status

    async def test_counts_only_idle_time(self, fake: FakeGroup, desk: Desk) -> None:
        session = await desk.open("coop.sheet")
        fake.a.script += [("INSERT", wait(1.5))] * 3
        await say(session, "BEGIN")
        for _ in range(3):
            await say(session, INSERT.sql)
            await asyncio.sleep(1.5)
        assert await say(session, "COMMIT") == "COMMIT"


class TestDescribe:
    async def test_is_cached_until_a_schema_change(
        self, fake: FakeGroup, desk: Desk
    ) -> None:
        session, other = await desk.open(), await desk.open()
        for each in (session, other):
            assert (await each.describe(SELECT.sql, ())).columns[0].name == b"v"
        assert fake.ran == ["DESCRIBE"]
        await say(session, "ALTER TABLE t ADD w int")
        await other.describe(SELECT.sql, ())
        assert fake.ran.count("DESCRIBE") == 2
