"""Tests of statements that run at another proxy, also when messages get lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _peer_support import ROWS, STEP, FakeHome, make_work, shed_error
from _store_support import EVENT_TIMEOUT_S, FakeTime, eventually

from celeryjunction.errors import EndpointError, ErrorKind, ProxyError
from celeryjunction.liveness import SUSPECT_TIMEOUT_S
from celeryjunction.marks import CustomerMarks
from celeryjunction.peers import (
    Commit,
    Done,
    Execute,
    Failed,
    Read,
    Rollback,
    Write,
    terms_from_work,
    work_from_terms,
)
from celeryjunction.remote import HomeUnavailable, RemoteGroup, RemoteTransaction

TERMS = {"begin_sql": "BEGIN", "read_only": False, "started_at": 0.0}


class EntryProxy:
    """An entry proxy with a remote group at one home."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.home = FakeHome(self.time)
        self.marks = CustomerMarks()
        self.remote = RemoteGroup(
            "db1", self.home.link, marks=self.marks, clock=self.time
        )

    def work(self, **changes: object):
        return make_work(self.time, **changes)

    async def assert_fails(self, call, kind: ErrorKind) -> ProxyError:
        with pytest.raises(ProxyError) as caught:
            await call
        assert caught.value.kind is kind
        return caught.value

    async def assert_unavailable(self, call, *, sent: bool) -> None:
        # Well below the work's deadline, which would give the same error.
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            with pytest.raises(HomeUnavailable) as caught:
                await call
        assert caught.value.sent is sent


@pytest.fixture
async def entry() -> AsyncIterator[EntryProxy]:
    entry = EntryProxy()
    yield entry
    await entry.home.close()


class TestAnswers:
    async def test_results_and_marks_are_returned(self, entry: EntryProxy) -> None:
        # Guards against reads at the entry proxy that miss a forwarded write.
        assert await entry.remote.read(entry.work(), STEP) == ROWS
        assert entry.remote.mark("coop") is None
        await entry.remote.write(entry.work(), STEP)
        assert entry.remote.mark("coop") == (1, 2)
        assert (await entry.remote.describe(entry.work(), STEP)).param_oids == (25,)

    async def test_entry_proxys_mark_reaches_the_home(self, entry: EntryProxy) -> None:
        entry.marks.merge("coop", (3, 7))
        await entry.remote.read(entry.work(), STEP)
        assert entry.home.group.mark("coop") == (3, 7)

    async def test_errors_are_passed_on_unchanged(self, entry: EntryProxy) -> None:
        fields = {"C": "23505", "M": "duplicate", "D": "Key (id)=(1)"}
        entry.home.group.error = EndpointError(fields, 2)
        with pytest.raises(EndpointError) as caught:
            await entry.remote.write(entry.work(), STEP)
        assert (caught.value.fields, caught.value.step) == (fields, 2)
        entry.home.group.error = shed_error()
        error = await entry.assert_fails(
            entry.remote.write(entry.work(), STEP), ErrorKind.NOT_RUN_SHED
        )
        assert error == shed_error()
        entry.home.group.error = RuntimeError("secret")
        error = await entry.assert_fails(
            entry.remote.write(entry.work(), STEP), ErrorKind.INTERNAL
        )
        assert "secret" not in str(error)

    async def test_unknown_error_kinds_are_not_reported_as_not_run(self) -> None:
        entry = EntryProxy()
        for answer in (Failed(1, "new", {}), Failed(1, "not_run_deadline", {})):
            with pytest.raises(ProxyError) as caught:
                entry.remote._result(answer, entry.work())
            assert caught.value.kind is ErrorKind.INTERNAL

    async def test_lost_writes_are_reported_once(self, entry: EntryProxy) -> None:
        entry.home.group.lost_write_term = 4
        call = entry.remote.read(entry.work(), STEP)
        await entry.assert_fails(call, ErrorKind.ACKNOWLEDGED_WRITE_LOST)
        assert entry.home.group.runs == []
        assert entry.remote.lost_term("coop") == 4
        await entry.remote.read(entry.work(), STEP)
        entry.marks.merge("coop", (4, 1))
        assert entry.remote.lost_term("coop") is None

    def test_deadlines_are_sent_as_remaining_time(self) -> None:
        # Guards against comparing the clocks of two proxies.
        sent = make_work(FakeTime(), deadline_s=5.0, minimum=(1, 2), repeatable=True)
        got = work_from_terms(terms_from_work(sent, sent.started_at + 3.0), 77.0)
        assert (got.started_at, got.deadline, got.deadline_s) == (77.0, 79.0, 5.0)
        assert (got.minimum, got.repeatable, got.rank) == ((1, 2), True, sent.rank)


class TestLostMessages:
    async def test_nothing_is_sent_to_an_unreachable_home(
        self, entry: EntryProxy
    ) -> None:
        entry.home.reachable = False
        for call in (entry.remote.read, entry.remote.write, entry.remote.describe):
            await entry.assert_unavailable(call(entry.work(), STEP), sent=False)
        assert not entry.home.link.usable

    async def test_draining_home_refuses_before_running(
        self, entry: EntryProxy
    ) -> None:
        entry.home.server.draining = True
        await entry.assert_unavailable(
            entry.remote.write(entry.work(), STEP), sent=False
        )
        transaction = entry.remote.begin(**TERMS)
        await entry.assert_unavailable(
            transaction.execute(entry.work(), STEP), sent=False
        )
        assert not transaction.failed and entry.home.group.transactions == []

    async def test_read_without_an_answer_may_run_at_another_proxy(
        self, entry: EntryProxy
    ) -> None:
        entry.home.drop_answers = (Done,)
        await entry.assert_unavailable(entry.remote.read(entry.work(), STEP), sent=True)

    @pytest.mark.parametrize("runs", [0, 1])
    async def test_write_without_an_answer_has_unknown_outcome(
        self, entry: EntryProxy, runs: int
    ) -> None:
        # Guards against answering "not run", or running twice, for a write that may
        # have run.
        entry.home.drop_requests = () if runs else (Write,)
        entry.home.drop_answers = (Done,)
        call = entry.remote.write(entry.work(), STEP)
        await entry.assert_fails(call, ErrorKind.OUTCOME_UNKNOWN)
        assert len(entry.home.group.runs) == runs
        # The link redials without a request.
        await eventually(lambda: entry.home.link.usable)
        call = entry.remote.write(entry.work(repeatable=True), STEP)
        await entry.assert_unavailable(call, sent=True)

    async def test_no_answer_in_time(self, entry: EntryProxy) -> None:
        entry.home.group.before_run = asyncio.Event().wait
        call = entry.remote.read(entry.work(deadline_s=0.01), STEP)
        await entry.assert_unavailable(call, sent=True)
        await eventually(lambda: entry.home.group.cancelled == 1)
        late = entry.work()
        entry.time.advance(late.deadline_s + 1)
        await entry.assert_unavailable(entry.remote.write(late, STEP), sent=False)

    async def test_cancelled_call_is_cancelled_at_the_home(
        self, entry: EntryProxy
    ) -> None:
        started = asyncio.Event()

        async def wait() -> None:
            started.set()
            await asyncio.Event().wait()

        entry.home.group.before_run = wait
        task = asyncio.create_task(entry.remote.write(entry.work(), STEP))
        await started.wait()
        task.cancel()
        await eventually(lambda: entry.home.group.cancelled == 1)
        assert entry.home.server.in_flight == 0

    async def test_silent_home_ends_reads_but_not_writes(
        self, entry: EntryProxy
    ) -> None:
        # Guards against reads that wait for a paused proxy, and against giving up a
        # write whose answer still arrives.
        release = asyncio.Event()
        entry.home.group.before_run = release.wait
        read = asyncio.create_task(entry.remote.read(entry.work(), STEP))
        write = asyncio.create_task(entry.remote.write(entry.work(), STEP))
        await eventually(lambda: entry.home.server.in_flight == 2)
        entry.time.advance(SUSPECT_TIMEOUT_S + 0.1)
        assert not entry.home.link.usable
        entry.home.link.check()
        await entry.assert_unavailable(read, sent=True)
        release.set()
        assert await write == ROWS
        assert entry.home.link.usable


class TestTransactions:
    async def opened(self, entry: EntryProxy) -> RemoteTransaction:
        transaction = entry.remote.begin(**TERMS)
        assert await transaction.execute(entry.work(), STEP) == ROWS
        assert transaction.opened
        return transaction

    async def test_commit_and_rollback(self, entry: EntryProxy) -> None:
        for end in ("commit", "rollback"):
            transaction = await self.opened(entry)
            await transaction.execute(entry.work(), STEP)
            assert await transaction.describe(entry.work(), STEP) is not None
            if end == "commit":
                assert await transaction.commit(entry.work()) == "COMMIT"
            else:
                await transaction.rollback()
            assert entry.home.group.transactions[-1].ended == end
        assert entry.home.server.in_flight == 0

    async def test_savepoint_recovers_a_failed_transaction(
        self, entry: EntryProxy
    ) -> None:
        transaction = await self.opened(entry)
        entry.home.group.error = EndpointError({"C": "23505"})
        with pytest.raises(EndpointError):
            await transaction.execute(entry.work(), STEP)
        assert transaction.failed and transaction.opened
        entry.home.group.error = None
        await transaction.execute(entry.work(), STEP)
        transaction.failed = False  # The session does this after the savepoint.
        assert await transaction.commit(entry.work()) == "COMMIT"

    async def test_failed_transaction_is_rolled_back(self, entry: EntryProxy) -> None:
        transaction = await self.opened(entry)
        transaction.failed = True
        assert await transaction.commit(entry.work()) == "ROLLBACK"
        assert entry.home.group.transactions[0].ended == "rollback"

    @pytest.mark.parametrize("lost", [Execute, Commit])
    async def test_home_lost_before_commit(self, entry: EntryProxy, lost: type) -> None:
        # The home rolls back when the connection breaks, so nothing can have committed.
        transaction = await self.opened(entry)
        if lost is Commit:
            entry.home.entry_stream.close()
            call = transaction.commit(entry.work())
        else:
            entry.home.entry_stream.drop = (Execute,)
            call = transaction.execute(entry.work(), STEP)
        await entry.assert_fails(call, ErrorKind.NOT_RUN_ROLLED_BACK)
        await eventually(lambda: entry.home.group.transactions[0].ended == "abort")
        assert entry.home.group.runs == ["execute"]

    async def test_first_statement_without_an_answer(self, entry: EntryProxy) -> None:
        entry.home.drop_answers = (Done,)
        transaction = entry.remote.begin(**TERMS)
        call = transaction.execute(entry.work(), STEP)
        await entry.assert_fails(call, ErrorKind.NOT_RUN_ROLLED_BACK)
        assert transaction.failed
        await eventually(lambda: entry.home.group.transactions[0].ended == "abort")

    async def test_commit_without_an_answer_has_unknown_outcome(
        self, entry: EntryProxy
    ) -> None:
        transaction = await self.opened(entry)
        entry.home.entry_stream.peer_end.drop = (Done,)
        call = transaction.commit(entry.work())
        await entry.assert_fails(call, ErrorKind.OUTCOME_UNKNOWN)
        assert entry.home.group.transactions[0].ended == "commit"

    async def test_transactions_of_a_silent_entry_proxy_are_rolled_back(
        self, entry: EntryProxy
    ) -> None:
        # Guards against a paused proxy whose transactions hold locks indefinitely.
        transaction = await self.opened(entry)
        entry.time.advance(SUSPECT_TIMEOUT_S + 0.1)
        entry.home.server.abort_suspected()
        assert entry.home.group.transactions[0].ended == "abort"
        call = transaction.commit(entry.work())
        await entry.assert_fails(call, ErrorKind.NOT_RUN_ROLLED_BACK)

    async def test_transaction_that_lost_its_connection_is_not_committed(
        self, entry: EntryProxy
    ) -> None:
        # Guards against answering COMMIT when nothing was committed.
        transaction = await self.opened(entry)
        entry.home.group.transactions[0].opened = False
        call = transaction.commit(entry.work())
        await entry.assert_fails(call, ErrorKind.NOT_RUN_ROLLED_BACK)

    async def test_drain_waits_for_open_transactions(self, entry: EntryProxy) -> None:
        transaction = await self.opened(entry)
        entry.home.server.draining = True
        assert entry.home.server.in_flight == 1
        await transaction.execute(entry.work(), STEP)
        assert await transaction.commit(entry.work()) == "COMMIT"
        assert entry.home.server.in_flight == 0

    async def test_abort_and_rollback_after_a_lost_message(
        self, entry: EntryProxy
    ) -> None:
        transaction = await self.opened(entry)
        transaction.abort()
        await eventually(lambda: entry.home.group.transactions[0].ended == "abort")
        transaction = await self.opened(entry)
        entry.home.entry_stream.drop = (Rollback, Read)
        await transaction.rollback()
        await eventually(lambda: entry.home.group.transactions[1].ended == "abort")
