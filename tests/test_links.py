"""Faults that hold on one link at the same time, and links between VMs."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from bench import link_faults
from bench.fault_proxy import FaultProxy
from bench.link_faults import LinkFaults
from bench.links import BlockedLinks, Link, LinkFault, Links
from bench.platform_cluster import EdgeProcess
from celeryjunction.platform.standin import StandinPlatform

LIMIT_S = 3.0
STILL_WAITING_S = 0.1


class Echo:
    """A connection through a link to a server that echoes each byte."""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        proxy = FaultProxy(lambda: port)
        await proxy.start()
        self.link = Link(proxy, zone="zone-0")
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", proxy.port
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(1):
                writer.write(data)
        finally:
            writer.close()

    async def send(self) -> None:
        """Send a byte and wait for its echo."""
        self._writer.write(b"x")
        async with asyncio.timeout(LIMIT_S):
            assert await self._reader.read(1) == b"x"

    async def close(self) -> None:
        self._writer.close()
        self.link.proxy.close()
        self.server.close()
        await asyncio.sleep(STILL_WAITING_S)


@pytest.fixture
async def echo() -> AsyncIterator[Echo]:
    echo = Echo()
    await echo.start()
    yield echo
    await echo.close()


class TestLink:
    async def test_bytes_arrive_after_the_last_fault_that_withholds_them(
        self, echo: Echo
    ) -> None:
        await echo.send()
        faults = [LinkFault("up", "down"), LinkFault("down")]
        for fault in faults:
            echo.link.begin(fault)
        sent = asyncio.create_task(echo.send())
        for fault in faults:
            await asyncio.sleep(STILL_WAITING_S)
            assert not sent.done()
            echo.link.end(fault)
        await sent

    async def test_unblocked_link_still_has_its_other_faults(self, echo: Echo) -> None:
        blocked, fault = BlockedLinks(lambda: [echo.link]), LinkFault("up")
        echo.link.begin(fault)
        blocked.block("up", "down")
        sent = asyncio.create_task(echo.send())
        await asyncio.sleep(STILL_WAITING_S)
        blocked.unblock()
        await asyncio.sleep(STILL_WAITING_S)
        assert not sent.done()
        echo.link.end(fault)
        await sent

    async def test_the_longest_delay_holds(self, echo: Echo) -> None:
        faults = [LinkFault(delay_s=0.01), LinkFault(delay_s=STILL_WAITING_S)]
        for fault in faults:
            echo.link.begin(fault)
        began = asyncio.get_running_loop().time()
        await echo.send()
        assert asyncio.get_running_loop().time() - began >= 2 * STILL_WAITING_S
        for fault in faults:
            echo.link.end(fault)
        assert echo.link.proxy.delay_s == 0.0


class TestLinksOfVm:
    async def test_vm_reaches_the_platform_and_is_reached_over_its_links(
        self, tmp_path: Path
    ) -> None:
        platform = StandinPlatform()
        await platform.start()
        links = Links(platform)
        edge = EdgeProcess(platform, tmp_path, "edge-0")
        await links.add_vm(edge, zone="zone-0")
        addresses = {
            kind: f"127.0.0.1:{links.of_kind(kind)['edge-0'].proxy.port}"
            for kind in ("store", "promotion", "vm")
        }
        assert len(set(addresses.values())) == len(addresses)
        await edge.start()
        try:
            await edge.wait_until_ready()
            settings = json.loads(edge.path.read_bytes())
            record = json.loads(
                base64.b64decode(platform.store.items["/vms/edge-0"]["value"])
            )
        finally:
            await edge.stop(signal.SIGKILL)
            links.close()
            await platform.close()
        assert settings["platform"]["address"] == addresses["store"]
        assert settings["cloud_api"]["address"] == addresses["promotion"]
        assert record["peer_address"] == addresses["vm"]


class TestRestoredStore:
    async def test_call_on_a_silent_link_arrives_after_a_restore(
        self, tmp_path: Path
    ) -> None:
        platform = StandinPlatform()
        await platform.start()
        links = Links(platform)
        edge = EdgeProcess(platform, tmp_path, "edge-0")
        await links.add_vm(edge, zone="zone-0")
        link = links.of_kind("promotion")["edge-0"]
        silence = LinkFault("up", "down")
        link.begin(silence)
        body = b'{"service": "db", "id": "i-db1"}'
        _, writer = await asyncio.open_connection("127.0.0.1", link.proxy.port)
        writer.write(b"POST /promotion HTTP/1.1\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        await asyncio.sleep(STILL_WAITING_S)
        assert not platform.store.received_calls
        platform.restore_store(platform.store.copy())
        writer.close()
        link.end(silence)
        await asyncio.sleep(STILL_WAITING_S)
        assert len(platform.store.received_calls) == 1
        links.close()
        await platform.close()


class TestLinkFaults:
    async def test_no_fault_is_left_at_the_end(
        self, echo: Echo, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(link_faults, "HOLDER_SHARE", 0.0)
        monkeypatch.setattr(link_faults, "LONGEST_PAUSE_S", 0.1)
        for name in ("SHORTEST_S", "SILENCE_S", "LONGEST_S"):
            monkeypatch.setattr(link_faults, name, 0.2)
        platform = StandinPlatform()
        links = Links(platform)
        links.add("endpoint", "i-db0", echo.link)
        counts: Counter[str] = Counter()
        await LinkFaults(platform, links, seed=1, counts=counts).run(2.0)
        assert any("silent" in name for name in counts)
        assert not echo.link.proxy.blocked
        assert echo.link.proxy.delay_s == 0.0
