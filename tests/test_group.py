"""Tests of writes: sent to a proven primary, at most once, kept through a failover."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from fakes import (
    INSERT,
    FakeConnection,
    FakeGroup,
    delay,
    event_loop_policy,  # noqa: F401
    fail_with,
    lose_connection,
)
from fakes import fake as fake

from celeryjunction.errors import ConnectionLost, ErrorKind

ROLLED_BACK = ErrorKind.NOT_RUN_ROLLED_BACK
NO_PRIMARY = ErrorKind.NOT_RUN_NO_PRIMARY
OPENING = ["BEGIN", "SELECT pg_current_xact_id()"]


class TestAtMostOnce:
    @pytest.mark.parametrize(
        "fault", [lose_connection(), delay(50), fail_with("57P01")]
    )
    @pytest.mark.parametrize("verified", [True, False])
    async def test_failed_write_is_not_sent_again(
        self, fake: FakeGroup, fault: object, verified: bool
    ) -> None:
        # Guards R5 and R6: a statement that is not repeatable is sent once, even when
        # it is proven that it did not take effect.
        if verified:
            await fake.write()
        fake.a.script.append(("INSERT", fault))
        assert await fake.write() is ROLLED_BACK
        assert fake.executed.count(INSERT.sql) == fake.a.applied + 1

    @pytest.mark.parametrize("word", ["INSERT", "COMMIT"])
    async def test_repeatable_is_sent_again(self, fake: FakeGroup, word: str) -> None:
        fake.a.script.append((word, lose_connection()))
        assert await fake.write(repeatable=True) == "INSERT"
        assert fake.executed.count(INSERT.sql) == 2 and fake.a.applied == 1

    async def test_unresolved_first_attempt_is_not_reported_as_not_run(
        self, fake: FakeGroup
    ) -> None:
        # Guards R5: the COMMIT of the first attempt took effect but its outcome cannot
        # be determined, and the second attempt is then proven rolled back.
        async def commit_and_forget(connection: FakeConnection) -> None:
            connection.end("committed")
            fake.a.outcomes.clear()
            fake.a.script += [("INSERT", lose_connection())] * 100
            connection.close()
            raise ConnectionLost("scripted", sent=True)

        fake.a.script.append(("COMMIT", commit_and_forget))
        result = await fake.write(repeatable=True)
        assert fake.a.applied == 1 and result is ErrorKind.OUTCOME_UNKNOWN

    async def test_retries_end_at_the_deadline_and_stay_within_the_budget(
        self, fake: FakeGroup
    ) -> None:
        # Guards against retries that multiply the load when every statement fails.
        fake.a.script.append(("INSERT", delay(50)))
        assert await fake.write(repeatable=True) is ROLLED_BACK
        fake.a.script += [("INSERT", lose_connection())] * 1000
        began = fake.clock.monotonic()
        writes = [fake.write(repeatable=True) for _ in range(50)]
        assert set(await asyncio.gather(*writes)) == {ROLLED_BACK}
        assert fake.clock.monotonic() - began < 1.1
        assert 51 < fake.executed.count(INSERT.sql) <= 61

    async def test_error_of_the_statement_is_passed_on(self, fake: FakeGroup) -> None:
        fake.a.script.append(("INSERT", fail_with("23505")))
        assert await fake.write(repeatable=True) == "23505"
        assert fake.a.executed[-1] == "ROLLBACK" and fake.connection_count() == 1


class TestDemotedPrimary:
    async def test_write_refused_by_a_replica_did_not_run(
        self, fake: FakeGroup
    ) -> None:
        fake.a.script.append(("INSERT", fail_with("25006")))
        assert await fake.write() is ROLLED_BACK
        assert fake.proxy.monitor.trusted_proof is None

    async def test_first_write_sends_only_the_opening(self, fake: FakeGroup) -> None:
        # Guards against a statement that is sent to an endpoint demoted since the proof
        # and therefore may not be sent again.
        await fake.write()
        fake.a.executed.clear()
        fake.promote("b")
        assert await fake.write() == "INSERT"
        assert fake.a.executed == OPENING and fake.b.executed.count(INSERT.sql) == 1

    async def test_connection_of_an_older_term_is_verified_again(
        self, fake: FakeGroup
    ) -> None:
        await fake.write()
        for each in fake.endpoints.values():
            each.term = 2  # a second term of the same primary, connections kept
        fake.proxy.monitor.suspect()
        fake.a.script.append(("SELECT pg_current", fail_with("25006")))
        fake.a.executed.clear()
        assert await fake.write() == "INSERT"
        assert fake.a.executed[:2] == OPENING and fake.a.executed.count(INSERT.sql) == 1


class TestNoPrimary:
    async def test_writes_wait_and_continue_in_the_new_term(
        self, fake: FakeGroup
    ) -> None:
        # Guards against refusing unsent writes during a failover: they must wait.
        await fake.write()
        fake.a.stop()
        tasks = [asyncio.create_task(fake.write(10.0)) for _ in range(5)]
        await asyncio.sleep(3.0)
        assert not any(task.done() for task in tasks)
        fake.promote("b", unaware="a")
        await asyncio.sleep(0.3)
        assert {task.result() for task in tasks} == {"INSERT"}
        assert fake.b.executed.count(INSERT.sql) == 5

    async def test_deadline_is_reported_as_not_run(self, fake: FakeGroup) -> None:
        fake.b.stop()
        fake.c.stop()
        began = fake.clock.monotonic()
        assert await fake.write(1.0) is NO_PRIMARY and fake.executed == []
        assert fake.clock.monotonic() - began == pytest.approx(1.0, abs=0.01)

    async def test_refused_connections_keep_the_write_waiting(
        self, fake: FakeGroup
    ) -> None:
        # The primary refuses connections with 53300: nothing was sent, so the write
        # is retried.
        await fake.write()
        fake.a.disconnect()
        fake.a.connect_sqlstate = "53300"
        task = asyncio.create_task(fake.write(5.0))
        await asyncio.sleep(1.0)
        fake.a.connect_sqlstate = ""
        assert await task == "INSERT"

    async def test_primary_outside_the_record(self, fake: FakeGroup) -> None:
        del fake.proxy.handles["a"]
        assert await fake.write(0.5) is NO_PRIMARY


class TestCancelledWrite:
    @pytest.mark.parametrize("word", ["BEGIN", "INSERT"])
    async def test_connection_is_closed(self, fake: FakeGroup, word: str) -> None:
        # Guards R3 and R4: the next write must get another connection, so that it does
        # not receive the answer of the cancelled one.
        await fake.write()
        fake.a.script.append((word, delay(5)))
        task = asyncio.create_task(fake.write(9.0))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() and fake.connection_count() == 0
        assert await fake.write() == "INSERT" and fake.a.applied == 2


class TestRecord:
    async def test_moved_endpoint_gets_a_new_pool(self, fake: FakeGroup) -> None:
        # Guards against connections to an endpoint's previous address, and against an
        # older record that overwrites a newer one.
        await fake.write()
        old, group = dict(fake.proxy.handles), fake.proxy
        first, *others = fake.record.endpoints
        endpoints = (msgspec.structs.replace(first, port=2), *others)
        moved = msgspec.structs.replace(fake.record, term=2, endpoints=endpoints)
        group.update_record(moved)
        group.update_record(fake.record)
        assert group.handles["a"].record.port == 2 and fake.connection_count() == 0
        assert group.handles["b"] is old["b"]


class TestMarks:
    @pytest.mark.parametrize("lost", [True, False])
    async def test_term_that_starts_before_an_acknowledged_write(
        self, fake: FakeGroup, lost: bool
    ) -> None:
        # Guards against a promotion that drops acknowledged writes unnoticed.
        fake.b.receives = not lost
        await fake.write(replicated=False)
        assert fake.proxy.lost_term("coop") is None
        fake.promote("b", unaware="a")
        await fake.prove()
        assert fake.proxy.lost_term("coop") == (2 if lost else None)
        assert fake.proxy.lost_term("other") is None
