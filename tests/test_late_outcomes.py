"""Outcomes of forwarded statements that come late, twice or not at all."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import pytest
from _wire_support import WireEndpoint
from hypothesis import given, settings
from hypothesis import strategies as st
from test_relay import TEXTS, Site

from celeryjunction.adapters.frame_stream import FrameStream
from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.errors import ConnectionLost, ProxyError
from celeryjunction.gateway.statements import Begin, Commit, Read, Request, Write
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.ports import BootClock
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.messages import (
    NO_TRANSACTION,
    EndpointList,
    HomeStatus,
    Outcome,
    RunStatement,
    decode_to_home,
    encode,
)
from celeryjunction.relay.session import ForwardingSession
from celeryjunction.replication.ports import Answer, TransactionState

LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""


class ScriptedHome:
    """Collects statements, and sends outcomes when the test says so."""

    def __init__(self) -> None:
        self.statements: list[RunStatement] = []
        self._streams: list[FrameStream] = []
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()

    def _accept(self) -> FrameStream:
        stream = FrameStream()
        self._streams.append(stream)
        task = asyncio.create_task(self._serve(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    async def _serve(self, stream: FrameStream) -> None:
        stream_number = len(self._streams)
        while (frame := await stream.read_frame()) is not None:
            message = decode_to_home(frame)
            if isinstance(message, RunStatement):
                self.statements.append(message)
            else:
                status = HomeStatus(
                    ["g"], False, False, endpoints_version=stream_number
                )
                stream.write_frame(encode(EndpointList(stream_number, [])))
                stream.write_frame(encode(status))

    def send(self, statement: RunStatement) -> None:
        """Send the outcome of a statement on the newest connection."""
        answer = Answer((), statement.request.id, TransactionState.IDLE, None)
        outcome = Outcome(statement.number, answer.state, answer=answer)
        self._streams[-1].write_frame(encode(outcome))

    def drop(self) -> None:
        """Close the newest connection."""
        self._streams[-1].abort()

    async def close(self) -> None:
        self._server.close()
        for stream in self._streams:
            stream.abort()
        await asyncio.gather(*self._tasks)


ACTIONS = st.lists(
    st.tuples(st.sampled_from(["run", "answer", "cancel", "drop"]), st.integers(0, 5)),
    max_size=25,
)


class TestHomeLink:
    @given(ACTIONS)
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_no_statement_gets_the_outcome_of_another(
        self, actions: list[tuple[str, int]]
    ) -> None:
        """Guards against numbers that name two statements, also after a reconnect."""
        asyncio.run(self.check(actions))

    async def check(self, actions: list[tuple[str, int]]) -> None:
        home = ScriptedHome()
        link = HomeLink("home", await home.start(), random=Random(1), clock=BootClock())
        await until(lambda: link.usable)
        running: list[asyncio.Task[Outcome | None]] = []
        for action, index in actions:
            if action == "run":
                running.append(asyncio.create_task(run_at(link, len(running))))
                await until(lambda: len(home.statements) == len(running))
            elif action == "cancel" and running:
                running[index % len(running)].cancel()
            elif action == "answer" and home.statements:
                home.send(home.statements[index % len(home.statements)])
            elif action == "drop":
                epoch = link.epoch
                home.drop()
                await until(lambda epoch=epoch: link.epoch > epoch and link.usable)
                assert link.endpoints is None or link.endpoints.version == link.epoch
            await asyncio.sleep(0.001)
        for statement in home.statements:
            home.send(statement)
        outcomes = await asyncio.gather(*running, return_exceptions=True)
        for number, outcome in enumerate(outcomes):
            if isinstance(outcome, Outcome):
                assert outcome.answer.digest == b"q%d" % number
            else:
                assert isinstance(outcome, ConnectionLost | asyncio.CancelledError)
        assert not link.busy
        link.close()
        await home.close()


async def run_at(link: HomeLink, number: int) -> Outcome:
    request = Request(b"q%d" % number, b"READ 1", Read(), 0.0)
    return await link.run(
        request,
        database="primary",
        transaction=NO_TRANSACTION,
        state=None,
        timeout=LIMIT_S,
    )


async def until(condition) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.002)


class WireSite(Site):
    """Two homes and a forwarding VM whose endpoint is reached over loopback."""

    def __init__(self, random: Random) -> None:
        super().__init__()
        self.random = random
        self.endpoint = WireEndpoint(lambda text: random.choice((0.0, 0.002, 0.02)))
        self.foreign: list[tuple[bytes, Answer]] = []
        self.successes = 0

    async def start(self) -> None:
        port = await self.endpoint.start()
        await super().start()
        for vm in (*self.homes, self.forwarding_vm):
            vm.dispatcher.close()
            vm.dispatcher = Dispatcher(
                zone="a",
                dialer=LineDialer(client_name=vm.name, clock=vm.clock),
                clock=vm.clock,
                random=Random(1),
                budget=lambda info: ConnectionBudget(4, 4),
            )
            vm.gateway.dispatchers["g"] = vm.dispatcher
            info = msgspec.structs.replace(
                self.cluster["a1"].info, host="127.0.0.1", port=port, slots=20
            )
            vm.dispatcher.update_endpoints({"a1": info})

    async def run_statement(
        self, session: ForwardingSession, statement: object
    ) -> None:
        """Run a statement; record an answer that is not its own."""
        self._numbers += 1
        request_id = b"q%d" % self._numbers
        text = TEXTS.get(type(statement), b"BEGIN")
        arrived = self.forwarding_vm.clock.monotonic()
        request = Request(request_id, text, statement, arrived)
        answer = await session.execute(request)
        if answer.fault is not None or answer.digest == b"-":
            return
        self.successes += 1
        if self.endpoint.digests.get(answer.digest) != request_id:
            self.foreign.append((request_id, answer))

    async def run_client(self) -> None:
        """Run an operation of a client that may leave at any time."""
        session = self.session()
        kinds = (Read(),), (Write(),), (Begin(False), Read(), Write(), Commit())
        statements = self.random.choice(kinds)

        async def run_all() -> None:
            for statement in statements:
                await self.run_statement(session, statement)

        running = asyncio.create_task(run_all())
        await asyncio.wait([running], timeout=self.random.choice((0.005, 0.03, 2.0)))
        running.cancel()
        await asyncio.wait([running])
        if not running.cancelled() and running.exception() is not None:
            assert isinstance(running.exception(), ProxyError)
        await session.close()

    async def disturb(self) -> None:
        """Break the connections between VMs, or restart a home, now and then."""
        while True:
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            home = self.random.choice(self.homes)
            if self.random.random() < 0.5:
                for vm in list(home.server._forwarding_vms):
                    vm.stream.abort()
            else:
                await home.server.close()
                await home.server.start("127.0.0.1", home.port)

    async def close(self) -> None:
        await super().close()
        await self.endpoint.close()


class TestSessions:
    @pytest.mark.parametrize("seed", range(3))
    async def test_clients_get_their_own_answers_while_homes_are_lost(
        self, seed: int
    ) -> None:
        site = WireSite(Random(seed))
        await site.start()
        disturbing = asyncio.create_task(site.disturb())
        for _ in range(25):
            await asyncio.gather(*(site.run_client() for _ in range(6)))
        disturbing.cancel()
        await asyncio.wait([disturbing])
        assert not site.foreign
        assert site.successes >= 50
        runs = [request_id for request_id, text in site.endpoint.runs]
        writes = [request_id for request_id, text in site.endpoint.runs if b"W" in text]
        assert len(writes) == len(set(writes)) and len(runs) >= site.successes
        await site.close()
