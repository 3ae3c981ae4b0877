"""Statements that are given up before their answer comes, on shared connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from _wire_support import LIMIT_S, WireClient, WireStack

from celeryjunction.errors import ProxyError
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import Begin, Read, Request, Write
from celeryjunction.replication.control import ControlLink
from celeryjunction.replication.ports import Answer

TIMEOUT_S = 0.1
LATE_S = 0.15
"""When the late answers come: after the time-out of their statements."""


def delay(text: bytes) -> float:
    """Return the seconds that a statement takes; items name those that are late."""
    return LATE_S if b"late" in text or text == b"STATUS" else 0.001


class Sessions:
    """Sessions whose statements run at one endpoint, on few connections."""

    def __init__(self, stack: WireStack) -> None:
        self.stack = stack
        self.foreign: list[tuple[bytes, Answer]] = []
        """Id and answer of each statement that got another one's."""
        self.successes = 0
        self._numbers = 0

    def open(self) -> StatementSession:
        gateway = self.stack.vm.gateway
        return StatementSession("read_your_writes", gateway=gateway)

    async def run(
        self, session: StatementSession, statement: object, text: bytes
    ) -> bool:
        """Run a statement and check its answer; return whether it succeeded."""
        self._numbers += 1
        request_id = b"q%d" % self._numbers
        arrived = self.stack.vm.clock.monotonic()
        try:
            answer = await session.execute(
                Request(request_id, text, statement, arrived)
            )
        except ProxyError:
            return False
        if answer.fault is not None or answer.digest == b"-":
            return answer.fault is None
        if self.stack.endpoint.digests.get(answer.digest) != request_id:
            self.foreign.append((request_id, answer))
        self.successes += 1
        return True

    async def read(self, item: bytes = b"1") -> bool:
        return await self.run(self.open(), Read(), b"READ " + item)

    async def check_following(self) -> None:
        """Run statements until all late answers have come; each must get its own."""
        loop = asyncio.get_running_loop()
        end = loop.time() + 2 * LATE_S
        before = self.successes
        while loop.time() < end:
            await self.read()
        assert self.successes > before
        assert not self.foreign


@pytest.fixture
async def sessions() -> AsyncIterator[Sessions]:
    stack = WireStack(delay, links=2)
    await stack.start(timeout_s=TIMEOUT_S)
    yield Sessions(stack)
    await stack.close()


class TestGivenUpStatements:
    async def test_a_time_out_leaves_no_answer_to_the_next_statement(
        self, sessions: Sessions
    ) -> None:
        assert not await sessions.read(b"late")
        assert not await sessions.run(sessions.open(), Write(), b"WRITE late x")
        await sessions.check_following()

    @pytest.mark.parametrize("wait_s", [0.0, 0.002, 0.02])
    async def test_a_cancelled_statement_leaves_no_answer_to_the_next(
        self, sessions: Sessions, wait_s: float
    ) -> None:
        assert await sessions.read()
        session = sessions.open()
        running = asyncio.create_task(sessions.run(session, Read(), b"READ late"))
        await asyncio.sleep(wait_s)
        await session.close()
        await asyncio.wait([running])
        await sessions.check_following()

    @pytest.mark.parametrize("text", [b"READ late", b"WRITE late x"])
    async def test_a_transaction_that_is_closed_leaves_no_answer_to_the_next(
        self, sessions: Sessions, text: bytes
    ) -> None:
        session = sessions.open()
        assert await sessions.run(session, Begin(read_only=False), b"BEGIN")
        assert await sessions.run(session, Read(), b"READ 1")
        statement = Write() if text.startswith(b"WRITE") else Read()
        running = asyncio.create_task(sessions.run(session, statement, text))
        await asyncio.sleep(0.02)
        await session.close()
        await asyncio.wait([running])
        await sessions.check_following()

    async def test_an_interrupted_statement_leaves_no_answer_to_the_next(
        self, sessions: Sessions
    ) -> None:
        """Guards against reuse of a connection whose endpoint was found stuck."""
        reading = asyncio.create_task(sessions.read(b"late"))
        await asyncio.sleep(0.02)
        assert sessions.stack.vm.dispatcher.gates["a1"].interrupt() == 1
        await reading
        await sessions.check_following()

    async def test_a_late_status_on_a_lent_connection_reaches_no_statement(
        self, sessions: Sessions
    ) -> None:
        assert await sessions.read()
        dispatcher = sessions.stack.vm.dispatcher
        dispatcher.lends_idle_connections = True
        control = ControlLink(
            dispatcher.gates["a1"].info,
            dialer=sessions.stack.dialer,
            clock=sessions.stack.vm.clock,
            idle_pool=dispatcher,
        )
        assert await control.ask(timeout=TIMEOUT_S) is None
        assert control.failure in ("silent", "no answer in time")
        await sessions.check_following()
        asking = asyncio.create_task(control.ask(timeout=LIMIT_S))
        await asyncio.sleep(0.02)
        asking.cancel()
        await asyncio.wait([asking])
        await sessions.check_following()

    @pytest.mark.parametrize("seed", range(3))
    async def test_many_statements_that_end_at_random_times(
        self, sessions: Sessions, seed: int
    ) -> None:
        random = Random(seed)

        async def run_one() -> None:
            session = sessions.open()
            if random.random() < 0.3:
                await sessions.run(session, Begin(read_only=True), b"BEGIN READ")
            item = random.choice([b"1", b"2", b"late"])
            running = asyncio.create_task(
                sessions.run(session, Read(), b"READ " + item)
            )
            await asyncio.wait([running], timeout=random.uniform(0.0, 0.03))
            await session.close()
            await asyncio.wait([running])

        for _ in range(20):
            await asyncio.gather(*(run_one() for _ in range(4)))
        await sessions.check_following()


class TestLeavingClients:
    async def test_a_client_that_leaves_takes_no_answer_of_another(
        self, sessions: Sessions
    ) -> None:
        port = sessions.stack.port
        for number in range(5):
            leaving = await WireClient.connect(port, b"read_your_writes")
            leaving.writer.write(b"QUERY a BEGIN\r\nQUERY b%d READ late\r\n" % number)
            await asyncio.sleep(0.01)
            leaving.writer.transport.abort()
            staying = await WireClient.connect(port, b"read_your_writes")
            for turn in range(10):
                name = b"c%d.%d" % (number, turn)
                answer = await staying.ask(name, b"READ 1")
                assert answer[0] == b"ROW %b 1" % name
                await asyncio.sleep(0.01)
            staying.writer.close()

    async def test_a_stop_gives_no_client_an_answer_of_another(
        self, sessions: Sessions
    ) -> None:
        """Guards against answers that are sent while statements are cancelled."""
        stack = sessions.stack
        clients = [
            await WireClient.connect(stack.port, b"read_your_writes") for _ in range(4)
        ]
        for number, client in enumerate(clients):
            for turn in range(20):
                client.writer.write(b"QUERY %d.%d READ %d\r\n" % (number, turn, number))
        await clients[0].answer()
        stack.frontend.close_idle()
        await stack.frontend.close()
        for number, client in enumerate(clients):
            lines = []
            with pytest.raises((EOFError, ConnectionError)):
                while True:
                    lines.append(await client.line())
            rows = [line for line in lines if line.startswith(b"ROW ")]
            first = 1 if number == 0 else 0
            assert rows == [
                b"ROW %d.%d %d" % (number, turn, number)
                for turn in range(first, first + len(rows))
            ]
            client.writer.close()
