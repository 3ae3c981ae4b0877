"""Regression tests of faults in reads, transactions, commits and sessions."""

from __future__ import annotations

import asyncio

import pytest
from fakes import (
    INSERT,
    SELECT,
    FakeConnection,
    FakeGroup,
    delay,
    event_loop_policy,  # noqa: F401
    lose_connection,
    result_or_error,
    run_action,
)
from fakes import fake as fake
from test_reads import read
from test_session import SessionOpener, run_statements
from test_transaction import begin, begin_with_insert

from celeryjunction.errors import ErrorKind
from celeryjunction.ports import QueryResult


class TestReads:
    async def test_status_after_the_connection_was_opened_must_be_fresh(
        self, fake: FakeGroup
    ) -> None:
        # Guards R1: a replica is chosen, rewinds into a new term while a connection to
        # it is opened, and a probe observes it before the statement is sent. The newer
        # status is valid for the connection but not fresh enough.
        for each in fake.endpoints.values():
            each.set_position(5)
        fake.b.leaving = True
        await fake.prove()
        fake.c.connect_s = 0.05
        task = asyncio.create_task(read(fake, 5.0))
        await asyncio.sleep(0.02)
        fake.promote("a")
        fake.c.set_position(2)
        fake.c.disconnect()
        fake.c.connect_s = 0.001
        await fake.prove()
        await asyncio.sleep(0.01)
        assert fake.proxy.monitor.observations["c"].status.applied == 2
        assert (await task)[1] >= 5

    @pytest.mark.parametrize("fault", ["rewound", "stopped"])
    async def test_primary_serves_when_the_only_fresh_replica_fails(
        self, fake: FakeGroup, fault: str
    ) -> None:
        # Guards against a read that retries the same failing replica until its deadline
        # because that replica's last status is still fresh enough.
        fake.b.applies = False
        await fake.write()
        await fake.prove()
        await asyncio.sleep(0.1)
        if fault == "rewound":
            fake.c.disconnect()
            fake.c.set_position(0)
        else:
            fake.c.stop()
        assert await read(fake, 2.0, staleness_s=600.0, minimum=(1, 1)) == ("a", 1)

    async def test_first_read_after_a_lossy_promotion_is_refused(
        self, fake: FakeGroup
    ) -> None:
        # Guards against an answer without an acknowledged write: the proof obtained for
        # the read itself is the first of the new term, after the mark was checked.
        session = await SessionOpener(fake, acknowledgement="proven").open()
        fake.b.receives = fake.c.receives = False
        assert await run_statements(session, INSERT.sql) == "INSERT"
        fake.promote("b", unaware="a")
        assert (
            await run_statements(session, SELECT.sql)
            is ErrorKind.ACKNOWLEDGED_WRITE_LOST
        )


class TestTransactions:
    async def test_demoted_primary_is_suspected(self, fake: FakeGroup) -> None:
        # Guards against transactions that go to a demoted endpoint, one after another,
        # and fail with 25006 although no statement was sent: it must be suspected.
        await fake.write()
        fake.promote("b")
        for _ in range(3):
            transaction = begin(fake)
            last = await result_or_error(transaction.execute(fake.work(), INSERT))
            await transaction.rollback()
            await asyncio.sleep(1.0)
        assert isinstance(last, QueryResult)

    async def test_failed_barrier_ends_the_running_statement(
        self, fake: FakeGroup
    ) -> None:
        # Guards against ROLLBACK on a connection whose statement still runs, and
        # against a rollback to a savepoint that revives a transaction whose read
        # barrier failed.
        await fake.write()
        fake.promote("b", unaware="a")
        fake.a.script.append(("SELECT v", delay(0.5)))
        transaction = begin(fake)
        result = await result_or_error(transaction.execute(fake.work(), SELECT))
        assert result is ErrorKind.NOT_RUN_ROLLED_BACK and not transaction.opened
        await transaction.rollback()

    @pytest.mark.parametrize("word", ["SELECT v", "COMMIT"])
    async def test_lost_read_only_connection_is_a_defined_error(
        self, fake: FakeGroup, word: str
    ) -> None:
        # Guards against an internal error (XX000): `ClientSession` may raise only the
        # errors of ERROR_TABLE and of endpoints.
        session = await SessionOpener(fake).open()
        for each in fake.endpoints.values():
            each.script.append((word, lose_connection()))
        for sql in ("BEGIN READ ONLY", SELECT.sql, "COMMIT"):
            assert await run_statements(session, sql) not in ("lost", "lost unsent")

    async def test_lost_describe_is_a_defined_error(self, fake: FakeGroup) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(("DESCRIBE", lose_connection()))
        result = await result_or_error(transaction.describe(fake.work(), SELECT))
        assert result is ErrorKind.NOT_RUN_ROLLED_BACK


class TestCancel:
    async def test_cancelled_commit_is_not_reported_as_not_run(
        self, fake: FakeGroup
    ) -> None:
        # Guards R5: a cancelled call is answered with 57014, "did not run". Once COMMIT
        # has been sent this may be wrong, so the call must run to its end.
        def commit_slowly(connection: FakeConnection) -> object:
            connection.end("committed")
            return delay(0.5)(connection)

        fake.a.script.append(("COMMIT", commit_slowly))
        task = asyncio.create_task(fake.write(9.0))
        await asyncio.sleep(0.2)
        assert fake.a.applied == 1
        task.cancel()
        await asyncio.wait([task])
        assert not task.cancelled()
        assert task.result() in ("INSERT", ErrorKind.OUTCOME_UNKNOWN)


class TestSessions:
    async def test_missing_contract_leaves_nothing_busy(self, fake: FakeGroup) -> None:
        # Guards against a drain that waits for a statement that never ran, and against
        # an open transaction without an idle limit.
        opener = SessionOpener(fake, idle_transaction_ms=2000)
        session = await opener.open()
        await run_statements(session, "BEGIN", INSERT.sql)
        opener.contracts._contracts.clear()
        assert await run_statements(session, SELECT.sql) is ErrorKind.NO_CONTRACT
        await asyncio.sleep(3)
        assert fake.a.outcomes["1"] == "aborted"
        await session.close()
        assert opener.sessions.busy_count == 0 and not session.is_busy

    @pytest.mark.parametrize("reset", ["RESET ALL", "RESET celeryjunction.work"])
    async def test_reset_keeps_the_work_class_of_the_login(
        self, fake: FakeGroup, reset: str
    ) -> None:
        # Guards against serving work under the default class after RESET ALL, which
        # client connection pools run between two uses.
        session = await SessionOpener(fake).open("coop.sheet")
        await run_statements(session, reset)
        assert await run_statements(session, "SHOW celeryjunction.work") == "sheet"

    @pytest.mark.parametrize("name", ["statement_timeout", "timezone"])
    async def test_set_to_default_is_a_reset(self, fake: FakeGroup, name: str) -> None:
        session = await SessionOpener(fake).open()
        assert await run_statements(session, f"SET {name} TO DEFAULT") == "SET"

    async def test_savepoint_needs_a_transaction(self, fake: FakeGroup) -> None:
        # Guards against a savepoint that is accepted but has no effect (25P01).
        session = await SessionOpener(fake).open()
        assert (
            await run_statements(session, "SAVEPOINT s") == "25P01"
            and fake.executed == []
        )

    async def test_shape_cached_during_a_schema_change_is_dropped(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a description with the old columns for 60 s after a change of
        # schema.
        opener = SessionOpener(fake)
        session = await opener.open()
        shapes, key = opener.sessions._shapes, ("db", SELECT.sql, ())
        fake.a.script.append(("ALTER", run_action(lambda: shapes.put(*key, "old"))))
        await run_statements(session, "ALTER TABLE t ADD w int")
        assert shapes.get(*key) is None
