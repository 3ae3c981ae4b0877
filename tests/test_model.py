"""Tests of the models, and of the code against the models' counterexamples."""

from __future__ import annotations

import asyncio
from functools import partial
from types import SimpleNamespace

import pytest
from _model_support import (
    ASK,
    COMMIT,
    READ,
    WRITE,
    record,
    rig,
    row,
    settle,
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
        # Guards against a rule that no longer holds, or one that nothing needs.
        outcome = run(check)
        assert outcome.expected, outcome
        assert outcome.exhaustive or check.expect_refuted


class TestAcknowledgement:
    async def test_own_word_of_the_primary_is_no_proof(self) -> None:
        # Guards against acknowledging at a primary that is cut off.
        async with rig() as one:
            waiting = one.confirm()
            one.see("e0", 1, 1, primary=True)
            await settle()
            assert not waiting.done()

    async def test_observations_before_the_commit_do_not_count(self) -> None:
        # Guards against a majority that reported the term before the promotion.
        async with rig() as one:
            one.prove()
            waiting = one.confirm()
            one.see("e0", 1, 1, primary=True)
            await settle()
            assert not waiting.done()
            one.see("e2", 1)
            assert await waiting is True

    async def test_a_majority_proves_nothing_with_single_promotion(self) -> None:
        # Guards against two primaries where one endpoint is promoted alone.
        async with rig(promotion="single") as one:
            waiting = one.confirm()
            one.see("e0", 1, 1, primary=True)
            one.see("e2", 1)
            one.monitor.observe_platform(record(2, promotion="single"), one.now)
            await settle()
            assert not waiting.done()

    async def test_a_write_that_one_endpoint_received_is_not_replicated(self) -> None:
        # Guards against an acknowledged write that a promotion drops.
        async with rig() as one:
            waiting = one.confirm(replicated=True)
            one.see("e0", 1, 1, primary=True)
            one.see("e2", 1, 0)
            await settle()
            assert not waiting.done()
            one.see("e2", 1, 1)
            assert await waiting is True


class TestReadYourWrites:
    async def test_a_proof_from_before_the_read_is_not_used(self) -> None:
        # Guards against a read that misses a write acknowledged after the proof.
        async with rig() as one:
            one.prove()
            one.now += 1
            with pytest.raises(ProxyError) as caught:
                await one.group.reader.read(one.work(deadline_s=0.0), READ)
            assert caught.value.kind is ErrorKind.FRESHNESS_UNPROVEN
            assert one.sent == []

    async def test_positions_of_another_term_are_not_compared(self) -> None:
        # Guards against a former primary whose log went on by itself, and against
        # history kept across the change.
        async with rig() as one:
            one.see("e0", 1, 9)
            one.prove(1, 3)
            before = one.now
            one.prove(2, 4, primary="e1")
            one.see("e0", 1, 9)
            assert one.monitor.replicas_at(2, 4) == ["e2"]
            assert one.monitor.position_covering(before) == 4

    async def test_a_younger_connection_is_asked_again(self) -> None:
        # Guards against a rewind between the status and the connection.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            assert statements == [STATUS_STEP.sql, READ.sql]
            one.now += 10
            return [status_row(2, 0, b"replica"), row(b"old")]

        async with rig(script=answer) as one:
            one.prove(1, 3)
            work = one.work()
            one.now += 1
            # Every endpoint has rewound; no answer is passed on until the deadline.
            with pytest.raises(ProxyError):
                await one.group.reader.open_transaction(work, [READ])
            assert one.count(READ.sql) >= 1


def lost_commit(outcome: bytes, *, term: int = 1, statements_fail_from: int = 99):
    """Return a script whose COMMIT is lost and whose status gives an outcome."""
    seen = {"statements": 0}

    async def answer(name: str, statements: list[str]) -> list[QueryResult]:
        if statements[0] == COMMIT:
            raise ConnectionLost("cut", sent=True)
        if statements[0] == ASK:
            return [row(outcome), status_row(term, 1)]
        seen["statements"] += 1
        if seen["statements"] >= statements_fail_from:
            raise ConnectionLost("cut", sent=True)
        return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

    return answer


async def write(one, **options) -> ProxyError:
    one.prove()
    with pytest.raises(ProxyError) as caught:
        await one.group.write(one.work(**options), WRITE)
    return caught.value


class TestAtMostOnce:
    async def test_an_unknown_outcome_is_not_sent_again(self) -> None:
        # Guards against a statement that takes effect twice.
        async with rig(script=lost_commit(b"committed", term=2)) as one:
            error = await write(one)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN
            assert one.count(WRITE.sql) == 1

    async def test_a_lost_commit_is_asked_about(self) -> None:
        # Guards against "not run" for a commit whose answer was lost.
        async with rig(script=lost_commit(b"committed")) as one:
            error = await write(one, deadline_s=0.2)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN
            assert one.count(ASK) == 1
        async with rig(script=lost_commit(b"aborted")) as one:
            error = await write(one)
            assert error.kind is ErrorKind.NOT_RUN_ROLLED_BACK

    async def test_aborted_in_another_term_means_nothing(self) -> None:
        # Guards against "not run" on the word of a rewound endpoint.
        async with rig(script=lost_commit(b"aborted", term=2)) as one:
            error = await write(one)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN


class TestFaults:
    """Counterexamples that the code follows today; each fails until it is mended."""

    async def test_a_later_term_in_the_commits_answer_is_not_confirmed(self) -> None:
        # Guards against an entry of an old term that counts as received in a new one;
        # the primary of a term in between, whose last entry is newer, drops it.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == COMMIT:
                asyncio.get_running_loop().call_soon(one.prove, 3, 1)
                return [QueryResult("COMMIT", None, ()), status_row(3, 1)]
            return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

        async with rig(script=answer) as one:
            error = await write(one)
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN

    async def test_age_of_a_connection_counts_from_its_establishment(
        self,
    ) -> None:
        # Guards against a status and a rewind that both fall into a slow connect.
        clock = FakeTime()

        async def serve(reader, writer) -> None:
            await reader.readexactly(8)
            clock.advance(3)
            writer.write(b"R\0\0\0\x08\0\0\0\0Z\0\0\0\x05I")

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
        # Guards against a rewind between the choice of an endpoint and the read.
        unchecked: list[str] = []

        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == STATUS_STEP.sql:
                return [status_row(2, 0, b"replica"), row(b"old")]
            unchecked.append(name)
            return [row(name.encode())]

        def reported_again() -> None:
            one.now += 1
            one.see("e2", 2, 0)

        async with rig(script=answer) as one:
            one.prove(1, 3)
            one.on_connect = reported_again
            # The primary is asked as well, because its connection is younger; it
            # answers with another term here, so no answer is passed on.
            with pytest.raises(ProxyError):
                await one.group.reader.open_transaction(one.work(), [READ])
            assert "e2" not in unchecked

    async def test_an_earlier_unknown_attempt_is_not_forgotten(self) -> None:
        # Guards against "not run" for a repeatable statement whose first attempt
        # may have run.
        lost = lost_commit(b"committed", term=2, statements_fail_from=2)

        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            # Each distrusted proof is renewed, too soon to refill the retry budget.
            renew = partial(one.prove, 2, 1, after_s=0.001)
            asyncio.get_running_loop().call_soon(renew)
            return await lost(name, statements)

        async with rig(script=answer) as one:
            error = await write(one, repeatable=True)
            assert one.count(WRITE.sql) > 1
            assert error.kind is ErrorKind.OUTCOME_UNKNOWN

    async def test_a_statement_cancelled_after_commit_is_not_called_not_run(
        self,
    ) -> None:
        # Guards against "canceled; it did not run" for a commit that took effect.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            if statements[0] == COMMIT:
                client.request_cancel()
                await asyncio.sleep(0.05)
                raise ConnectionLost("cut", sent=True)
            if statements[0] == ASK:
                return [row(None), status_row(1, 1)]
            return [QueryResult("BEGIN", None, ()), row(b"7"), row(b"1")]

        async with rig(script=answer) as one:
            client = ClientConnection(
                SimpleNamespace(closed=False), SimpleNamespace(clock=one), 1
            )
            client._task = asyncio.current_task()
            one.prove()
            with pytest.raises(ProxyError) as caught:
                await client._call(one.group.write, one.work(), WRITE)
            assert one.count(COMMIT) == 1
            assert caught.value.spec.ran is not Ran.NO

    async def test_a_term_of_another_history_does_not_hide_a_lost_write(self) -> None:
        # Term 1 went on alone to 11 at e0, term 2 acknowledged 11 at e1, and term 3
        # starts at 11 from e0's history.
        async with rig() as one:
            one.prove(2, 11, primary="e1", start=10, alone=True)
            acknowledge(one, 2, 11)
            one.prove(3, 11, start=11)
            assert one.group.lost_term("co-op") == 3

    async def test_an_unseen_term_does_not_hide_a_lost_write(self) -> None:
        # Term 1 acknowledged 11; term 2 started at 10 and went on to 15, unseen by an
        # idle proxy; term 3 starts at 15.
        async with rig() as one:
            one.prove(1, 11, alone=True)
            acknowledge(one, 1, 11)
            one.prove(3, 15, primary="e1", start=15)
            assert one.group.lost_term("co-op") == 3

    async def test_the_read_that_proves_the_new_term_is_refused(self) -> None:
        # Guards against a check that comes before the proof that the read uses.
        async def answer(name: str, statements: list[str]) -> list[QueryResult]:
            return [row(b"old")]

        async with rig(script=answer) as one:
            one.prove(1, 11)
            acknowledge(one, 1, 11)
            session = open_session(one)
            one.now += 1
            reading = asyncio.create_task(session.execute(READ))
            await settle()
            one.prove(2, 10, primary="e1", start=10)
            with pytest.raises(ProxyError) as caught:
                await reading
            assert caught.value.kind is ErrorKind.ACKNOWLEDGED_WRITE_LOST


def acknowledge(one, term: int, position: int) -> None:
    committed = Committed(endpoint="e0", term=term, position=position, tag="COMMIT")
    one.group.record_acknowledged(one.work(), committed)


def open_session(one) -> Session:
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
        group=one.group,
        contract=lambda: contract,
        customer="co-op",
        work_name=None,
        shapes=ShapeCache(clock=one),
        clock=one,
        on_close=lambda session: None,
        observe=lambda work, seconds, ok: None,
    )
