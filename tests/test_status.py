"""Tests of the HTTP status server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from celeryjunction.settings import parse_settings
from celeryjunction.status import StatusServer
from tests.test_settings import minimal

KEYS = ("a" * 32, "b" * 32)
ADDRESS = {"host": "127.0.0.1", "port": 0}
SERVERS = {"status": ADDRESS, "peers": {**ADDRESS, "keys": KEYS}}


class FakeProxy:
    def __init__(self) -> None:
        self.ready = True
        self.drains = 0
        settings = parse_settings(minimal(**SERVERS), directory=Path())
        self.server = StatusServer(
            settings,
            ready=lambda: self.ready,
            status=lambda: {"vm": "a"},
            metrics=lambda: {"latency": []},
            drain=self.drain,
        )

    def drain(self) -> None:
        self.drains += 1

    async def fetch(self, method: str, path: str, key: str | None = None) -> tuple:
        headers = {"Authorization": key} if key is not None else {}
        url = f"http://127.0.0.1:{self.server.port}{path}"
        async with (
            aiohttp.ClientSession() as session,
            session.request(method, url, headers=headers) as answer,
        ):
            return answer.status, await answer.text()


@pytest.fixture
async def proxy() -> AsyncIterator[FakeProxy]:
    proxy = FakeProxy()
    await proxy.server.start()
    yield proxy
    await proxy.server.close()


class TestStatusServer:
    async def test_pages(self, proxy: FakeProxy) -> None:
        # Guards against a load balancer that sends clients to a draining proxy.
        assert (await proxy.fetch("GET", "/ready"))[0] == 200
        proxy.ready = False
        assert (await proxy.fetch("GET", "/ready"))[0] == 503
        assert await proxy.fetch("GET", "/status") == (200, '{"vm":"a"}')
        assert await proxy.fetch("GET", "/metrics") == (200, '{"latency":[]}')

    async def test_drain_requires_one_of_the_keys(self, proxy: FakeProxy) -> None:
        # Guards against an unauthorised caller that stops proxies.
        for key in (None, "", "Bearer", "Bearer x", f"Basic {KEYS[0]}", "Bearer \xe9"):
            assert (await proxy.fetch("POST", "/drain", key))[0] == 401
        assert (await proxy.fetch("GET", "/drain", f"Bearer {KEYS[0]}"))[0] == 405
        assert proxy.drains == 0
        for key in KEYS:
            assert (await proxy.fetch("POST", "/drain", f"Bearer {key}"))[0] == 202
        assert proxy.drains == 2

    async def test_close_frees_the_port(self, proxy: FakeProxy) -> None:
        port = proxy.server.port
        await proxy.server.close()
        with pytest.raises(OSError):
            await asyncio.open_connection("127.0.0.1", port)
