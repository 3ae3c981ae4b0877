"""Tests that no caller gets an answer of a PostgreSQL endpoint to another statement."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from _odd_endpoint import (
    COMPLETE,
    LIMIT_S,
    READY,
    ROW_HEAD,
    Answer,
    OddEndpoint,
    answer,
    fields,
    message,
    row,
)

from celeryjunction.adapters.pg_endpoint import PgConnection
from celeryjunction.errors import ConnectionLost, EndpointError
from celeryjunction.pool import EndpointPool
from celeryjunction.ports import Step, SystemClock

FIRST = Step("SELECT 'first'")
SECOND = Step("SELECT 'second'")

UNASKED = {
    "whole answer": b"".join([*answer(b"late"), READY]),
    "answer without its end": b"".join(answer(b"late")),
    "ready": READY,
    "complete": COMPLETE,
    "row": row(b"late"),
    "columns": ROW_HEAD,
    "parsed": message(b"1"),
    "suspended": message(b"s"),
    "error": fields(b"E", S="ERROR", V="ERROR", C="23505", M="late"),
    "copy": message(b"G", b"\0\0\0"),
    "unknown type": message(b"?", b"late"),
    "cut answer": b"".join(answer(b"late"))[:-3],
    "cut header": COMPLETE[:3],
}
ALLOWED = {
    "notice": fields(b"N", S="NOTICE", V="NOTICE", C="00000", M="a\nb"),
    "warning": fields(b"N", S="WARNING", V="WARNING", C="01000", M="idle"),
    "parameter": message(b"S", b"TimeZone\0UTC\0"),
    "two at once": message(b"S", b"TimeZone\0UTC\0")
    + fields(b"N", S="NOTICE", V="NOTICE", C="00000", M="a"),
    "notification": message(b"A", b"\0\0\0\1channel\0text\0"),
}


@pytest_asyncio.fixture
async def endpoint() -> AsyncIterator[OddEndpoint]:
    started = await OddEndpoint().start()
    yield started
    await started.close()


async def run(connection: PgConnection, *steps: Step) -> list[bytes]:
    results = await connection.run(steps, timeout=LIMIT_S)
    return [result.rows[0][0] for result in results]


async def wait_until_closed(connection: PgConnection) -> None:
    async with asyncio.timeout(1.0):
        while connection.usable:
            await asyncio.sleep(0.001)


class TestIdleConnection:
    @pytest.mark.parametrize("kind", UNASKED)
    async def test_an_unasked_answer_closes_it(
        self, endpoint: OddEndpoint, kind: str
    ) -> None:
        connection = await endpoint.connect()
        assert await run(connection, FIRST) == [b"SELECT 'first'"]
        endpoint.push(UNASKED[kind])
        await wait_until_closed(connection)
        with pytest.raises(ConnectionLost) as lost:
            await run(connection, SECOND)
        assert not lost.value.sent

    @pytest.mark.parametrize("kind", ALLOWED)
    async def test_asynchronous_messages_leave_it_open(
        self, endpoint: OddEndpoint, kind: str
    ) -> None:
        connection = await endpoint.connect()
        endpoint.push(ALLOWED[kind])
        await asyncio.sleep(0.01)
        assert await run(connection, FIRST, SECOND) == [
            b"SELECT 'first'",
            b"SELECT 'second'",
        ]
        assert connection.usable
        connection.close()

    async def test_unread_input_is_noticed_before_the_next_statement(
        self, endpoint: OddEndpoint
    ) -> None:
        connection = await endpoint.connect()
        await run(connection, FIRST)
        # The socket has the bytes, but the loop has not announced them.
        connection._loop.remove_reader(connection._fileno)
        endpoint.push(UNASKED["whole answer"])
        await asyncio.sleep(0.01)
        with pytest.raises(ConnectionLost) as lost:
            await run(connection, SECOND)
        assert not lost.value.sent and endpoint.answered == 1

    @pytest.mark.parametrize("kind", ["ready", "whole answer", "complete"])
    async def test_an_answer_after_the_login_is_no_statements(
        self, endpoint: OddEndpoint, kind: str
    ) -> None:
        endpoint.login_end = READY + UNASKED[kind]
        connection = await endpoint.connect()
        try:
            assert await run(connection, FIRST) == [b"SELECT 'first'"]
        except ConnectionLost:
            assert not connection.usable
        connection.close()

    async def test_the_pool_does_not_lend_it_after_a_second_answer(
        self, endpoint: OddEndpoint
    ) -> None:
        pool = EndpointPool(
            endpoint.record, "db", connector=endpoint.connector, clock=SystemClock()
        )
        first = await pool.acquire(timeout=LIMIT_S)
        await run(first, FIRST)
        pool.release(first)
        endpoint.push(UNASKED["whole answer"])
        await wait_until_closed(first)
        second = await pool.acquire(timeout=LIMIT_S)
        assert second is not first
        assert await run(second, SECOND) == [b"SELECT 'second'"]
        pool.release(second)
        pool.close()


def twice(parts: Answer) -> Answer:
    return parts + parts


def ready_twice(parts: Answer) -> Answer:
    return [*parts, READY]


def ready_first(parts: Answer) -> Answer:
    return [READY, *parts]


def late_first(parts: Answer) -> Answer:
    return [*answer(b"late"), READY, *parts]


def complete_twice(parts: Answer) -> Answer:
    index = parts.index(COMPLETE)
    return [*parts[:index], COMPLETE, *parts[index:]]


def complete_before_ready(parts: Answer) -> Answer:
    return [*parts[:-1], COMPLETE, READY]


def last_answer_missing(parts: Answer) -> Answer:
    return [*parts[:-3], READY]


def row_without_columns(parts: Answer) -> Answer:
    return [part for part in parts if part != ROW_HEAD]


def unknown_type(parts: Answer) -> Answer:
    return [message(b"?", b"x"), *parts]


def tag_that_is_no_text(parts: Answer) -> Answer:
    odd = message(b"C", b"SELECT 1\xff\0")
    return [odd if part == COMPLETE else part for part in parts]


class TestAnswersInAPipeline:
    @pytest.mark.parametrize(
        "edit",
        [
            twice,
            ready_twice,
            ready_first,
            late_first,
            complete_twice,
            complete_before_ready,
            last_answer_missing,
            row_without_columns,
            unknown_type,
            tag_that_is_no_text,
        ],
    )
    async def test_odd_answers_lose_the_connection(
        self, endpoint: OddEndpoint, edit
    ) -> None:
        connection = await endpoint.connect()
        await run(connection, FIRST)
        endpoint.edit = edit
        with pytest.raises(ConnectionLost) as lost:
            async with asyncio.timeout(1.0):
                await run(connection, FIRST, SECOND)
        assert lost.value.sent and not connection.usable

    async def test_an_error_followed_by_a_second_one_loses_the_connection(
        self, endpoint: OddEndpoint
    ) -> None:
        connection = await endpoint.connect()
        error = fields(b"E", S="ERROR", V="ERROR", C="23505", M="duplicate")
        endpoint.edit = lambda parts: [error, READY, error, READY]
        with pytest.raises(ConnectionLost):
            await run(connection, FIRST)
        assert not connection.usable

    async def test_an_error_leaves_the_connection_open(
        self, endpoint: OddEndpoint
    ) -> None:
        connection = await endpoint.connect()
        error = fields(b"E", S="ERROR", V="ERROR", C="23505", M="duplicate")
        endpoint.edit = lambda parts: [error, READY]
        with pytest.raises(EndpointError):
            await run(connection, FIRST, SECOND)
        endpoint.edit = None
        assert await run(connection, SECOND) == [b"SELECT 'second'"]
        connection.close()
