"""Tests of transactions that a client opened."""

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
    lose_connection,
    result_or_error,
    run_action,
)
from fakes import fake as fake

from celeryjunction.errors import ErrorKind
from celeryjunction.transaction import Transaction

ROLLED_BACK = ErrorKind.NOT_RUN_ROLLED_BACK


def begin(fake: FakeGroup, *, read_only: bool = False) -> Transaction:
    sql = "BEGIN READ ONLY" if read_only else "BEGIN"
    started_at = fake.clock.monotonic()
    return Transaction(
        fake.proxy, begin_sql=sql, read_only=read_only, started_at=started_at
    )


async def begin_with_insert(fake: FakeGroup) -> Transaction:
    transaction = begin(fake)
    await transaction.execute(fake.work(), INSERT)
    return transaction


class TestLifecycle:
    async def test_sends_nothing_before_its_first_statement(
        self, fake: FakeGroup
    ) -> None:
        assert await begin(fake).commit(fake.work()) == "COMMIT"
        await begin(fake).rollback()
        assert fake.executed == [] and fake.connection_count() == 0

    async def test_stays_on_one_connection_and_commits(self, fake: FakeGroup) -> None:
        # Guards R3: a concurrent transaction gets a connection of its own.
        first, second = await begin_with_insert(fake), await begin_with_insert(fake)
        for transaction in (first, second):
            await transaction.execute(fake.work(), SELECT)
        assert len(fake.a.connections) == 3  # one is the probe's
        assert fake.proxy.handles["a"].admission.running == 0
        assert await first.commit(fake.work()) == "COMMIT"
        await second.rollback()
        assert fake.proxy.mark("coop") == (1, 1) and fake.a.applied == 1
        assert fake.proxy.handles["a"].pool.idle == 2 and fake.connection_count() == 2

    async def test_commit_of_a_failed_one_rolls_back(self, fake: FakeGroup) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(("SELECT v", fail_with("42P01")))
        assert (
            await result_or_error(transaction.execute(fake.work(), SELECT)) == "42P01"
        )
        assert transaction.failed
        assert await transaction.commit(fake.work()) == "ROLLBACK"
        assert fake.a.applied == 0 and fake.a.executed[-1] == "ROLLBACK"

    async def test_commit_is_proven_like_a_write(self, fake: FakeGroup) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(
            ("COMMIT", run_action(lambda: fake.promote("b", unaware="a")))
        )
        kind = await result_or_error(transaction.commit(fake.work()))
        assert kind is ErrorKind.OUTCOME_UNKNOWN
        assert fake.proxy.handles["a"].admission.connections_held == 0


class TestBarrier:
    @pytest.mark.parametrize("seen", [True, False])
    async def test_first_statement_waits_for_the_barrier(
        self, fake: FakeGroup, seen: bool
    ) -> None:
        # Guards R1 inside transactions: an isolated primary answers the statement, but
        # the other endpoints do not answer or prove a newer term.
        await fake.write()
        if seen:
            fake.promote("b", unaware="a")
        else:
            fake.b.stop()
            fake.c.stop()
        transaction = begin(fake)
        call = transaction.execute(fake.work(1.0), SELECT)
        assert await result_or_error(call) is ROLLED_BACK
        assert transaction.failed and SELECT.sql in fake.a.executed


class TestBrokenConnection:
    @pytest.mark.parametrize("fault", [lose_connection(), delay(50)])
    async def test_is_closed_and_rolled_back(
        self, fake: FakeGroup, fault: object
    ) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(("INSERT", fault))
        call = transaction.execute(fake.work(1.0), INSERT)
        assert (
            await result_or_error(call) is ROLLED_BACK and fake.connection_count() == 0
        )
        assert await transaction.commit(fake.work()) == "ROLLBACK"
        assert fake.a.outcomes == {"1": "aborted"}

    async def test_cancelled_statement_closes_it(self, fake: FakeGroup) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(("SELECT v", delay(5)))
        task = asyncio.create_task(transaction.execute(fake.work(9.0), SELECT))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() and transaction.failed and fake.connection_count() == 0

    @pytest.mark.parametrize("read_only", [False, True])
    async def test_abort_while_it_is_being_opened_closes_it(
        self, fake: FakeGroup, read_only: bool
    ) -> None:
        """Guards against a transaction that stays open and that nobody can end.

        A home aborts the transactions of a peer that it suspects, also while one is
        being opened.
        """
        for endpoint in (fake.a, fake.b, fake.c):
            endpoint.script.append(("BEGIN", delay(0.5)))
        transaction = begin(fake, read_only=read_only)
        call = result_or_error(transaction.execute(fake.work(9.0), SELECT))
        task = asyncio.create_task(call)
        await asyncio.sleep(0.2)
        transaction.abort()
        assert await task is ROLLED_BACK
        assert transaction.failed and not transaction.opened
        for handle in fake.proxy.handles.values():
            assert handle.admission.running == handle.admission.connections_held == 0

    async def test_lost_rollback_closes_it(self, fake: FakeGroup) -> None:
        transaction = await begin_with_insert(fake)
        fake.a.script.append(("ROLLBACK", lose_connection()))
        await transaction.rollback()
        assert fake.connection_count() == 0


class TestReadOnly:
    @pytest.mark.parametrize("fresh", [True, False])
    async def test_runs_on_a_fresh_replica_or_the_primary(
        self, fake: FakeGroup, fresh: bool
    ) -> None:
        fake.b.applies, fake.c.applies = False, fresh
        await fake.write()
        transaction, name = begin(fake, read_only=True), "c" if fresh else "a"
        for _ in range(2):
            result = await transaction.execute(fake.work(), SELECT)
            assert result.rows[0] == (name.encode(), b"1")
        assert await transaction.commit(fake.work()) == "COMMIT"
        script = ["BEGIN READ ONLY", SELECT.sql, SELECT.sql, "COMMIT"]
        assert fake.endpoints[name].executed[-4:] == script
        assert fake.proxy.handles[name].admission.connections_held == 0


class TestDescribe:
    async def test_uses_the_open_connection(self, fake: FakeGroup) -> None:
        assert await begin(fake).describe(fake.work(), SELECT) is None
        transaction = await begin_with_insert(fake)
        shape = await transaction.describe(fake.work(), SELECT)
        assert shape.columns is not None and fake.a.executed[-1] == "DESCRIBE"
        await transaction.rollback()
