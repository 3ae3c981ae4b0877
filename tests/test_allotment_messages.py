"""Tests of requests for tokens between VMs, over loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from celeryjunction.allotments.holder_link import REPLY_TIMEOUT_S, HolderLink
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.metrics import Metrics
from celeryjunction.ports import BootClock
from celeryjunction.relay.home_server import STALL_THRESHOLD_S, HomeServer
from celeryjunction.relay.messages import AskTokens, Tokens


class StubAllotments:
    """Grants what is asked for."""

    def __init__(self) -> None:
        self.asked: list[AskTokens] = []

    def grant(self, message: AskTokens, borrower: dict) -> Tokens:
        self.asked.append(message)
        granted = {name: want for name, (want, _) in message.organisations.items()}
        return Tokens(message.number, granted)


@pytest.fixture
async def holder():
    clock = BootClock()
    gateway = Gateway(clock=clock, metrics=Metrics())
    gateway.allotments = StubAllotments()
    server = HomeServer(gateway, status=lambda: None, endpoints=lambda: None)
    await server.start("127.0.0.1", 0)
    yield server, gateway.allotments
    await server.close()


class TestLinks:
    async def test_requests_share_one_message_and_returns_follow(self, holder) -> None:
        server, allotments = holder
        link = HolderLink("h", ("127.0.0.1", server.port), clock=BootClock())
        lots = await asyncio.gather(link.ask("a", 2.5), link.ask("b", 1.0))
        assert [lot.amount for lot in lots] == [2.5, 1.0]
        assert len(allotments.asked) == 1
        link.give_back("a", lots[0], 1.5)
        assert (await link.ask("b", 1.0)).amount == 1.0
        assert any(m.organisations.get("a") == (0.0, 1.5) for m in allotments.asked)
        link.close()

    async def test_a_quiet_link_stays_open(self, holder) -> None:
        """Guards against taking a request for tokens for a stalled statement."""
        server, _ = holder
        link = HolderLink("h", ("127.0.0.1", server.port), clock=BootClock())
        for _ in range(2):
            assert await link.ask("a", 1.0) is not None
            await asyncio.sleep(STALL_THRESHOLD_S + 0.1)
        assert await link.ask("a", 1.0) is not None
        link.close()

    async def test_an_older_grant_is_not_returned(self, holder) -> None:
        """Guards against a return that the holder takes for one of another loan."""
        server, allotments = holder
        link = HolderLink("h", ("127.0.0.1", server.port), clock=BootClock())
        first = await link.ask("a", 2.0)
        await link.ask("a", 1.0)
        link.give_back("a", first, 2.0)
        await link.ask("b", 1.0)
        returned = [m.organisations.get("a", (0, 0))[1] for m in allotments.asked]
        assert returned == [0.0, 0.0, 0]
        link.close()

    async def test_a_holder_that_is_not_there_gives_nothing(self) -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = server.getsockname()
        link = HolderLink("h", address, clock=BootClock())
        async with asyncio.timeout(20 * REPLY_TIMEOUT_S):
            assert await link.ask("a", 1.0) is None
        assert link.is_failing
        link.close()
        server.close()
