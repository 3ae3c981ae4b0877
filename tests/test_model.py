"""Tests of the models, and of the code against counterexamples of the models."""

from __future__ import annotations

import asyncio
from functools import partial
from types import SimpleNamespace

import pytest
from _model_support import (
    COMMIT,
    QUERY_OUTCOME,
    READ,
    WRITE,
    group_harness,
    group_record,
    row,
    run_ready_tasks,
    status_row,
)
from _store_support import FakeTime

from celeryjunction.adapters.pg_endpoint import EndpointLogin, PgConnector
from celeryjunction.adapters.pg_server import ClientConnection
from celeryjunction.commit import Committed
from celeryjunction.contract import Acknowledgement, Contract, WorkClass
from celeryjunction.errors import ConnectionLost, ErrorKind, ProxyError, Ran
from celeryjunction.ports import EndpointRecord, QueryResult
from celeryjunction.rounds import STATUS_STEP
from celeryjunction.session import Session
from celeryjunction.shapes import ShapeCache
from model.all_checks import CHECKS
from model.checks import run


class TestModels:
    @pytest.mark.parametrize(
        "check", CHECKS, ids=lambda c: f"{c.model}-{c.omitted_rule}"
    )
    def test_verdict_is_the_expected_one(self, check) -> None:
        # Guards against a property that no longer holds, and a rule that is not needed.
        outcome = run(check)
        assert outcome.expected, outcome
        assert outcome.exhaustive or check.expect_refuted
        assert bool(outcome.trace) is check.expect_refuted


class TestAcknowledgement:
    async def test_the_primarys_status_alone_is_no_proof(self) -> None:
        # Guards against an acknowledgement by a primary that is cut off.
        async with group_harness() as harness:
            confirmation = harness.confirm()
            harness.observe_status("e0", 1, 1, primary=True)
            await run_ready_tasks()
            assert not confirmation.done()

    async def test_observations_before_the_commit_do_not_count(self) -> None:
        # Guards against counting a majority whose reports precede a promotion.
        async with group_harness() as harness:
            harness.prove()
            confirmation = harness.confirm()
            harness.observe_status("e0", 1, 1, primary=True)
            await run_ready_tasks()
            assert not confirmation.done()
            harness.observe_status("e2", 1)
            assert await confirmation is True

    async def test_a_majority_proves_nothing_with_single_promotion(self) -> None:
        # Guards against two primaries: in single mode, one endpoint is promoted alone.
        async with group_harness(promotion="single") as harness:
            confirmation = harness.confirm()
            harness.observe_status("e0", 1, 1, primary=True)
            harness.observe_status("e2", 1)
            harness.monitor.observe_platform(
                group_record(2, promotion="single"), harness.now
            )
            await run_ready_tasks()
            assert not confirmation.done()

    async def test_a_write_that_one_endpoint_received_is_not_replicated(self) -> None:
        # Guards against an acknowledged write that a promotion drops.
        async with group_harness() as harness:
            confirmation = harness.confirm(replicated=True)
            harness.observe_status("e0", 1, 1, primary=True)
            harness.observe_status("e2", 1, 0)
            await run_ready_tasks()
            assert not confirmation.done()
            harness.observe_status("e2", 1, 1)
            assert await confirmation is True


class TestReadYourWrites:
    async def test_a_proof_from_before_the_read_is_not_used(self) -> None:
        # Guards against a read that misses a write acknowledged after the proof.
        async with group_harness() as harness:
            harness.prove()
            harness.now += 1
            with pytest.raises(ProxyError) as caught:
                await harness.group.reader.read(harness.work(deadline_s=0.0), READ)
            assert caught.value.kind is ErrorKind.FRESHNESS_UNPROVEN
            assert harness.sent == []

    async def test_positions_of_another_term_are_not_compared(self) -> None:
        # Guards against a read at a former primary that went on writing alone, and
        # against a freshness history kept across a change of term.
        async with group_harness() as harness:
            harness.observe_status("e0", 1, 9)
            harness.prove(1, 3)
            before = harness.now
            harness.prove(2, 4, primary="e1")
            harness.observe_status("e0", 1, 9)
            assert harness.monitor.replicas_at(2, 4) == ["e2"]
            assert harness.monitor.position_covering(before) == 4

    async def test_a_connection_newer_than_the_status_is_checked_again(self) -> None:
        # Guards against a rewind after the status and before the connection opened.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            assert statements == [STATUS_STEP.sql, READ.sql]
            harness.now += 10
            return [status_row(2, 0, b"replica"), row(b"old")]

        async with group_harness(script=answer) as harness:
            harness.prove(1, 3)
            work = harness.work()
            harness.now += 1
            # Every endpoint has rewound; no answer is passed on until the deadline.
            with pytest.raises(ProxyError):
                await harness.group.reader.open_transaction(work, [READ])
            assert harness.sent_count(READ.sql) >= 1


def lost_commit(outcome: bytes, *, term: int = 1, statements_fail_from: int = 99):
    """Return a script whose COMMIT is lost and whose status gives an outcome."""
    seen = {"statements": 0}

    async def answer(name: str, statements: list[str]) -> list[QueryResult]:
        if statements[0] == COMMIT:
            raise ConnectionLost("cut", sent=True)
        if statements[0] == QUERY_OUTCOME:
            return [row(outcome), status_row(term, 1)]
        seen["statements"] += 1
        if seen["statements"] >= statements_fail_from:
            raise ConnectionLost("cut", sent=True)
        return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

    return answer


async def failed_write(harness, **options) -> ProxyError:
    harness.prove()
    with pytest.raises(ProxyError) as caught:
        await harness.group.write(harness.work(**options), WRITE)
    return caught.value


class TestAtMostOnce:
    async def test_an_unknown_outcome_is_not_sent_again(self) -> None:
        # Guards against a statement that takes effect twice.
        async with group_harness(script=lost_commit(b"committed", term=2)) as harness:
            error = await failed_write(harness)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN
            assert harness.sent_count(WRITE.sql) == 1

    async def test_the_outcome_of_a_lost_commit_is_queried(self) -> None:
        # Guards against "not run" for a commit whose answer was lost.
        async with group_harness(script=lost_commit(b"committed")) as harness:
            error = await failed_write(harness, deadline_s=0.2)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN
            assert harness.sent_count(QUERY_OUTCOME) == 1
        async with group_harness(script=lost_commit(b"aborted")) as harness:
            error = await failed_write(harness)
            assert error.kind is ErrorKind.NOT_RUN_ROLLED_BACK

    async def test_aborted_in_another_term_is_not_trusted(self) -> None:
        # Guards against "not run" because of the status of a rewound endpoint.
        async with group_harness(script=lost_commit(b"aborted", term=2)) as harness:
            error = await failed_write(harness)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN


class TestFaults:
    """Counterexamples that the code followed in earlier versions."""

    async def test_a_later_term_in_the_commits_answer_is_not_confirmed(self) -> None:
        # Guards against an entry of an old term that counts as received in a later one:
        # the primary of a term in between, whose last entry is newer, drops the entry.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == COMMIT:
                asyncio.get_running_loop().call_soon(harness.prove, 3, 1)
                return [QueryResult("COMMIT", None, ()), status_row(3, 1)]
            return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

        async with group_harness(script=answer) as harness:
            error = await failed_write(harness)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN

    async def test_age_of_a_connection_counts_from_its_establishment(
        self,
    ) -> None:
        # Guards against a status and a rewind that both occur during a slow connect.
        clock = FakeTime()

        async def serve(reader, writer) -> None:
            await reader.readexactly(8)
            clock.advance(3)
            writer.write(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        login = EndpointLogin(user="proxy", application_name="test")
        endpoint = EndpointRecord(name="e0", host="127.0.0.1", port=port, zone="a")
        async with server:
            connector = PgConnector(login, clock=clock)
            connection = await connector.connect(endpoint, "stock", timeout=10)
            connection.close()
        assert connection.opened_at >= clock.now

    async def test_a_status_newer_than_the_choice_is_compared(self) -> None:
        # Guards against a rewind between the choice of an endpoint and its read.
        unchecked: list[str] = []

        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == STATUS_STEP.sql:
                return [status_row(2, 0, b"replica"), row(b"old")]
            unchecked.append(name)
            return [row(name.encode())]

        def report_rewind() -> None:
            harness.now += 1
            harness.observe_status("e2", 2, 0)

        async with group_harness(script=answer) as harness:
            harness.prove(1, 3)
            harness.on_connect = report_rewind
            # The primary's status is queried too, because its connection is newer than
            # the status. It reports another term here, so no answer reaches the client.
            with pytest.raises(ProxyError):
                await harness.group.reader.open_transaction(harness.work(), [READ])
            assert "e2" not in unchecked

    async def test_an_earlier_unknown_attempt_is_not_forgotten(self) -> None:
        # Guards against "not run" for a repeatable statement whose first attempt may
        # have run.
        lost = lost_commit(b"committed", term=2, statements_fail_from=2)

        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            # Renews each distrusted proof too soon for the retry budget to refill.
            renew = partial(harness.prove, 2, 1, after_s=0.001)
            asyncio.get_running_loop().call_soon(renew)
            return await lost(name, statements)

        async with group_harness(script=answer) as harness:
            error = await failed_write(harness, repeatable=True)
            assert harness.sent_count(WRITE.sql) > 1
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN

    async def test_a_statement_cancelled_after_commit_is_not_reported_as_not_run(
        self,
    ) -> None:
        # Guards against "canceled; it did not run" for a commit that took effect.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == COMMIT:
                client.request_cancel()
                await asyncio.sleep(0.05)
                raise ConnectionLost("cut", sent=True)
            if statements[0] == QUERY_OUTCOME:
                return [row(None), status_row(1, 1)]
            return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

        async with group_harness(script=answer) as harness:
            client = ClientConnection(
                SimpleNamespace(closed=False), SimpleNamespace(clock=harness), 1
            )
            client._task = asyncio.current_task()
            harness.prove()
            with pytest.raises(ProxyError) as caught:
                await client._call(harness.group.write, harness.work(), WRITE)
            assert harness.sent_count(COMMIT) == 1
            assert caught.value.spec.ran is not Ran.NO

    async def test_a_term_of_another_history_does_not_hide_a_lost_write(self) -> None:
        # Guards against comparing term starts: e0 alone reached position 11 in term 1,
        # e1 acknowledged position 11 in term 2, and term 3 starts at 11 of e0's log.
        async with group_harness() as harness:
            harness.prove(2, 11, primary="e1", start=10, primary_only=True)
            acknowledge(harness, 2, 11)
            harness.prove(3, 11, start=11)
            assert harness.group.lost_term("co-op") == 3

    async def test_an_unseen_term_does_not_hide_a_lost_write(self) -> None:
        # Guards against comparing term starts: position 11 was acknowledged in term 1.
        # Term 2, which an idle proxy did not observe, started at 10 and reached 15.
        # Term 3 starts at 15.
        async with group_harness() as harness:
            harness.prove(1, 11, primary_only=True)
            acknowledge(harness, 1, 11)
            harness.prove(3, 15, primary="e1", start=15)
            assert harness.group.lost_term("co-op") == 3

    async def test_the_read_that_proves_the_new_term_is_refused(self) -> None:
        # Guards against a check that precedes the proof used by the read.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            return [row(b"old")]

        async with group_harness(script=answer) as harness:
            harness.prove(1, 11)
            acknowledge(harness, 1, 11)
            session = open_session(harness)
            harness.now += 1
            reading = asyncio.create_task(session.execute(READ))
            await run_ready_tasks()
            harness.prove(2, 10, primary="e1", start=10)
            with pytest.raises(ProxyError) as caught:
                await reading
            assert caught.value.kind is ErrorKind.ACKNOWLEDGED_WRITE_LOST


def acknowledge(harness, term: int, position: int) -> None:
    committed = Committed(endpoint="e0", term=term, position=position, tag="COMMIT")
    harness.group.record_acknowledged(harness.work(), committed)


def open_session(harness) -> Session:
    contract = Contract(
        customer="co-op",
        databases=("stock",),
        verifier="",
        work={"counter": WorkClass(rank="urgent")},
        default_work="counter",
        shares={},
        acknowledgement=Acknowledgement.PROVEN,
    )
    return Session(
        group=harness.group,
        contract=lambda: contract,
        customer="co-op",
        work_name=None,
        shapes=ShapeCache(clock=harness),
        clock=harness,
        on_close=lambda session: None,
        observe=lambda work, seconds, ok: None,
    )
