"""Tests of clients' connections over loopback: names of databases and error answers."""

from __future__ import annotations

import asyncio

import pytest

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.statements import Request
from celeryjunction.platform.frontend import LineFrontend
from celeryjunction.ports import BootClock
from celeryjunction.replication.ports import Answer, TransactionState

LIMIT_S = 5.0


class FailingSession:
    """A session whose statements raise an error that nobody expects."""

    state = TransactionState.IDLE

    def __init__(self) -> None:
        self.closed = False

    async def execute(self, request: object) -> None:
        raise KeyError("scripted")

    async def close(self) -> None:
        self.closed = True


class TestUnexpectedErrors:
    async def test_the_client_gets_an_unknown_outcome_before_the_close(self) -> None:
        """Guards against a connection that ends without an answer."""
        sessions: list[FailingSession] = []

        def open_session(database: str, key: bytes) -> FailingSession:
            sessions.append(FailingSession())
            return sessions[-1]

        frontend = LineFrontend(
            host="127.0.0.1", port=0, open_session=open_session, clock=BootClock()
        )
        await frontend.start()
        port = frontend._server.sockets[0].getsockname()[1]
        for _ in range(2):  # The error ends only its own connection.
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"CONNECT db who\r\nQUERY 1 WRITE 7 x\r\n")
            async with asyncio.timeout(LIMIT_S):
                answer = await reader.read()
            lines = answer.split(b"\r\n")
            assert lines[0] == b"READY I -"
            assert lines[1].startswith(b"ERROR INDOUBT ")
            assert lines[2] == b"READY I -"
            writer.close()
        assert all(session.closed for session in sessions)
        await frontend.close()


class BusySession:
    """A session whose statements take until `answer` is set; BEGIN opens."""

    def __init__(self) -> None:
        self.state = TransactionState.IDLE
        self.began = asyncio.Semaphore(0)
        self.answer = asyncio.Event()
        self.executed: list[bytes] = []

    async def execute(self, request: Request) -> Answer:
        self.executed.append(request.text)
        self.began.release()
        await self.answer.wait()
        if request.text == b"BEGIN":
            self.state = TransactionState.OPEN
        return Answer((), b"-", self.state, None)

    def abort(self, error: ProxyError) -> None:
        self.state = TransactionState.FAILED

    async def close(self) -> None:
        pass


class TestDrain:
    """A drain while a client has a statement that is not answered yet."""

    @staticmethod
    async def answers(
        requests: bytes, *, refusal: ProxyError | None = None, ends: bool = False
    ) -> tuple[BusySession, list[bytes]]:
        """Drain while the first request runs; `ends` ends the process then."""
        session = BusySession()
        frontend = LineFrontend(
            host="127.0.0.1",
            port=0,
            open_session=lambda database, key: session,
            clock=BootClock(),
        )
        await frontend.start()
        port = frontend._server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"CONNECT db who\r\n" + requests)
        async with asyncio.timeout(LIMIT_S):
            await session.began.acquire()
            for connection in frontend.connections:
                connection.drain(refusal)
            if ends:
                await frontend.close()
            session.answer.set()
            if refusal is not None and b"BEGIN" in requests:
                while session.state is not TransactionState.FAILED:
                    await asyncio.sleep(0.01)
                await frontend.close()
            lines = (await reader.read()).split(b"\r\n")[1:-1]
        writer.close()
        await frontend.close()
        return session, lines

    async def test_a_connection_ends_right_after_the_answer(self) -> None:
        """Guards against a client that is never found idle until the process ends."""
        _, lines = await self.answers(b"QUERY 1 READ 7\r\n")
        assert lines == [b"COMPLETE -", b"READY I -"]

    async def test_what_was_read_is_answered_before(self) -> None:
        session, lines = await self.answers(b"QUERY 1 READ 7\r\nQUERY 2 READ 8\r\n")
        assert session.executed == [b"READ 7", b"READ 8"]
        assert lines == 2 * [b"COMPLETE -", b"READY I -"]

    async def test_late_statements_are_refused_without_being_run(self) -> None:
        refusal = ProxyError(ErrorKind.SHUTTING_DOWN)
        requests = b"QUERY 1 READ 7\r\nQUERY 2 READ 8\r\n"
        session, lines = await self.answers(requests, refusal=refusal)
        assert session.executed == [b"READ 7"]
        assert lines[2].startswith(b"ERROR ABORTED ") and lines[3:] == [b"READY I -"]

    async def test_a_late_transaction_is_rolled_back_after_the_answer(self) -> None:
        refusal = ProxyError(ErrorKind.SHUTTING_DOWN)
        session, lines = await self.answers(b"QUERY 1 BEGIN\r\n", refusal=refusal)
        assert session.state is TransactionState.FAILED
        assert lines == [b"COMPLETE -", b"READY T -"]

    async def test_the_end_of_the_process_leaves_no_statement_unanswered(self) -> None:
        _, lines = await self.answers(b"QUERY 1 WRITE 7 x\r\n", ends=True)
        assert lines[0].startswith(b"ERROR INDOUBT ") and lines[1:] == [b"READY I -"]


async def answers_to(requests: bytes, *databases: str) -> bytes:
    """Return what a client gets for its requests where only some databases exist."""

    def open_session(database: str, key: bytes) -> FailingSession:
        if database not in databases:
            raise ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": database})
        return FailingSession()

    frontend = LineFrontend(
        host="127.0.0.1", port=0, open_session=open_session, clock=BootClock()
    )
    await frontend.start()
    port = frontend._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(requests)
    async with asyncio.timeout(LIMIT_S):
        answers = await reader.read()
    writer.close()
    await frontend.close()
    return answers


class TestDatabaseNames:
    @pytest.mark.parametrize(
        "name", ["b\u00fccher", "\u6771\u4eac", "db\u0085\u2028", "d'b\n"]
    )
    async def test_a_name_beyond_ascii_is_that_of_its_route(self, name: str) -> None:
        requests = b"CONNECT %b who\r\nRELEASE\r\n" % name.encode()
        assert await answers_to(requests, name) == b"READY I -\r\n"

    async def test_bytes_that_are_no_utf_8_name_no_database(self) -> None:
        """Guards against bytes that are taken for another name."""
        requests = b"CONNECT \xfc who\r\nRELEASE\r\n"
        answers = await answers_to(requests, "\u00fc", "\ufffd", "\\xfc", "?")
        assert answers.startswith(b"ERROR NODB ")
        assert answers.count(b"\r\n") == 1


class TestErrorTexts:
    async def test_an_error_about_a_long_name_is_a_short_line(self) -> None:
        """Guards against an answer that is longer than a message may be."""
        name = b"n" * ((1 << 20) - 20)
        answers = await answers_to(b"CONNECT %b who\r\n" % name)
        assert answers.startswith(b"ERROR NODB ") and answers.endswith(b"\r\n")
        assert len(answers) <= 2000
