"""The edge program, run as a process against the platform's stand-in."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from bench.platform_cluster import START_TIMEOUT_S, EdgeProcess, LineClient
from celeryjunction.platform.standin import StandinPlatform
from celeryjunction.replication.register import REREGISTER_S

RETRY_S = 0.1
FAILOVER_LIMIT_S = 15.0
"""Limit of a failover (detection, calls and promotion) on a busy machine."""
CONFIG_LIMIT_S = 3.0
"""The platform's bound on the time until a changed config is in force."""

ODD_ENTRIES = {
    "nested": b'{"a":' * 3000,
    "number too large": b'{"service":"db","address":"127.0.0.1:9","zone":"zone-0",'
    b'"slots":3,"state":"ready","born":1' + b"0" * 400 + b"}",
    "port out of range": b'{"service":"db","address":"127.0.0.1:65536",'
    b'"zone":"zone-0","slots":3,"state":"ready","born":1}',
}
"""Entries of another writer."""


def ignores_hup(status: Path) -> bool:
    (mask,) = (
        line.split()[1] for line in status.read_text().splitlines() if "SigIgn" in line
    )
    return bool(int(mask, 16) & 1 << (signal.SIGHUP - 1))


@pytest.fixture
async def platform() -> AsyncIterator[StandinPlatform]:
    platform = StandinPlatform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def edge(platform: StandinPlatform, tmp_path: Path) -> AsyncIterator[EdgeProcess]:
    edge = EdgeProcess(platform, tmp_path, "edge-1")
    await edge.start()
    await edge.wait_until_ready()
    yield edge
    await edge.stop(signal.SIGKILL)


@pytest.fixture(autouse=True)
async def opened_clients(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[None]:
    """Close the clients that a test opened and left open."""
    clients: list[LineClient] = []
    open_client = LineClient.open

    async def record(client: LineClient, database: str, key: str = "c1") -> str:
        clients.append(client)
        return await open_client(client, database, key)

    monkeypatch.setattr(LineClient, "open", record)
    yield
    for client in clients:
        client.close()


async def connect_client(edge: EdgeProcess, database: str) -> LineClient:
    client = LineClient(edge.front_port)
    assert await client.open(database) == "READY I -"
    return client


async def wait_until_served(client: LineClient, text: str) -> None:
    async with asyncio.timeout(FAILOVER_LIMIT_S):
        while not any(line.startswith("COMPLETE") for line in await client.send(text)):
            await asyncio.sleep(RETRY_S)


class TestServing:
    async def test_reads_its_own_writes(self, edge: EdgeProcess) -> None:
        client = await connect_client(edge, "tally-db")
        assert (await client.send("WRITE 7 x1"))[0].startswith("COMPLETE d.")
        row, digest, ready = await client.send("READ 7")
        assert row == "ROW x1"
        assert digest.startswith("COMPLETE d.")
        assert ready.startswith("READY I ")

    async def test_commits_a_transaction(self, edge: EdgeProcess) -> None:
        client = await connect_client(edge, "lock-db")
        assert await client.send("BEGIN") == ["COMPLETE -", "READY T -"]
        assert (await client.send("WRITE 7 x2"))[-1].startswith("READY T")
        assert (await client.send("COMMIT"))[0].startswith("COMPLETE d.")
        assert (await client.send("READ 7"))[0] == "ROW x2"

    async def test_refuses_an_unknown_database(self, edge: EdgeProcess) -> None:
        client = LineClient(edge.front_port)
        assert (await client.open("nowhere")).startswith("ERROR NODB")
        assert await client.closes_without_answer()

    async def test_a_malformed_statement_leaves_the_connection_usable(
        self, edge: EdgeProcess
    ) -> None:
        client = await connect_client(edge, "lock-db")
        assert (await client.send("JUMP 7"))[0].startswith("ERROR MALFORMED")
        assert (await client.send("READ 7"))[0].startswith("ROW")

    async def test_an_oversized_line_ends_only_its_connection(
        self, edge: EdgeProcess
    ) -> None:
        client = await connect_client(edge, "lock-db")
        other = await connect_client(edge, "lock-db")
        lines = await client.send_raw(b"QUERY q1 WRITE 7 " + b"x" * (2 << 20))
        assert lines[0].startswith("ERROR TOOLARGE") or lines == [""]
        assert (await other.send("READ 7"))[0].startswith("ROW")

    async def test_a_changed_config_is_in_force_within_its_bound(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        client = await connect_client(edge, "lock-db")
        platform.configure(routes=[])
        async with asyncio.timeout(CONFIG_LIMIT_S):
            while not (await client.send("READ 7"))[0].startswith("ERROR NODB"):
                await asyncio.sleep(RETRY_S)

    async def test_invalid_register_entries_are_skipped(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        platform.store.put("servers/odd", b"\xff\x00")
        platform.store.put_json("servers/less", {"service": "db"})
        await asyncio.sleep(1.5)
        client = await connect_client(edge, "lock-db")
        assert (await client.send("READ 7"))[0].startswith("ROW")
        assert edge.process.returncode is None

    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    async def test_an_odd_register_entry_stops_no_process(
        self, edge: EdgeProcess, platform: StandinPlatform, tmp_path: Path, kind: str
    ) -> None:
        """Guards against a process that ends, or stops following, at such an entry."""
        platform.store.put("servers/odd", ODD_ENTRIES[kind])
        started_later = EdgeProcess(platform, tmp_path, "edge-2")
        await started_later.start()
        await started_later.wait_until_ready()
        primary = platform.groups["db"].endpoints[0]
        platform.store.put(f"servers/{primary.id}", ODD_ENTRIES[kind])
        await asyncio.sleep(REREGISTER_S + RETRY_S)
        platform.store.register(primary)
        for one in (edge, started_later):
            client = await connect_client(one, "lock-db")
            await wait_until_served(client, "WRITE 7 after")
        current = next(e for e in platform.groups["db"].endpoints if e.is_primary)
        await current.stop()
        for one in (edge, started_later):
            client = await connect_client(one, "lock-db")
            await wait_until_served(client, "WRITE 8 after")
            assert one.process.returncode is None
        await started_later.stop(signal.SIGKILL)

    async def test_metrics_count_failed_requests(self, edge: EdgeProcess) -> None:
        client = await connect_client(edge, "lock-db")
        await client.send("EXECUTE none 7")
        status, text = await edge.probe("/metrics")
        assert status == 200
        assert 'failed_requests{outcome="unknown_statement"} 1' in text


class TestFailover:
    async def test_a_crashed_primary_is_replaced(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        client = await connect_client(edge, "lock-db")
        assert (await client.send("WRITE 7 before"))[0].startswith("COMPLETE d.")
        old = platform.groups["db"].endpoints[0]
        await old.stop()
        await wait_until_served(client, "WRITE 8 after")
        assert (await client.send("READ 7"))[0] == "ROW before"
        assert len(platform.store.promotions) == 1

    async def test_a_draining_primary_is_replaced(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        client = await connect_client(edge, "lock-db")
        await client.send("WRITE 7 before")
        old = platform.groups["db"].endpoints[0]
        platform.store.register(old, state="draining")
        async with asyncio.timeout(FAILOVER_LIMIT_S):
            while old.is_primary:
                await asyncio.sleep(RETRY_S)
        await wait_until_served(client, "WRITE 8 after")
        assert (await client.send("READ 7"))[0] == "ROW before"


class TestStop:
    async def test_sigterm_lets_open_transactions_commit(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        idle = await connect_client(edge, "lock-db")
        busy = await connect_client(edge, "lock-db")
        await busy.send("BEGIN")
        await busy.send("WRITE 7 x3")
        edge.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert (await edge.probe())[0] == 503
        assert (await idle.send("READ 7"))[0].startswith("ROW")
        assert (await busy.send("COMMIT"))[0].startswith("COMPLETE d.")
        assert await idle.closes_without_answer()
        assert await busy.closes_without_answer()
        assert await edge.stop() == 0
        assert b"event=stopped" in edge.output

    async def test_a_transaction_still_open_at_the_exit_is_rolled_back(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        client = await connect_client(edge, "lock-db")
        await client.send("BEGIN")
        await client.send("WRITE 7 never")
        assert await edge.stop() == 0
        assert platform.groups["db"].endpoints[0].read(b"7") == b"-"

    async def test_sighup_does_not_interrupt_service(self, edge: EdgeProcess) -> None:
        client = await connect_client(edge, "lock-db")
        edge.process.send_signal(signal.SIGHUP)
        assert (await client.send("READ 7"))[0].startswith("ROW")
        assert edge.process.returncode is None

    async def test_sighup_during_the_start_is_ignored(
        self, platform: StandinPlatform, tmp_path: Path
    ) -> None:
        """Guards against a SIGHUP before its handler is installed ending the process.

        Found by the soak, seed 103.
        """
        edge = EdgeProcess(platform, tmp_path, "edge-2")
        await edge.start()
        status = Path(f"/proc/{edge.process.pid}/status")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not ignores_hup(status):
                await asyncio.sleep(0.002)
        edge.process.send_signal(signal.SIGHUP)
        await edge.wait_until_ready()
        assert await edge.stop() == 0

    async def test_invalid_settings_end_the_start(
        self, platform: StandinPlatform, tmp_path: Path
    ) -> None:
        edge = EdgeProcess(platform, tmp_path, "edge-2")
        await edge.start()
        await edge.stop(signal.SIGKILL)
        edge.path.write_text('{"node_name": "edge-2"}')
        platform.settings = lambda *args, **kwargs: {"node_name": "edge-2"}
        await edge.start()
        assert await asyncio.wait_for(edge.process.wait(), 20) == 2


class TestStoreUnavailable:
    async def test_statements_are_still_served(
        self, edge: EdgeProcess, platform: StandinPlatform
    ) -> None:
        client = await connect_client(edge, "tally-db")
        platform.store.error_status = 503
        await asyncio.sleep(2.0)
        assert (await client.send("WRITE 7 x4"))[0].startswith("COMPLETE d.")
        assert (await client.send("READ 7"))[0] == "ROW x4"
        assert (await edge.probe())[0] == 200


class TestHomes:
    async def test_a_third_vm_of_a_zone_forwards_statements(
        self, platform: StandinPlatform, tmp_path: Path
    ) -> None:
        edges = [EdgeProcess(platform, tmp_path, f"edge-{n}") for n in range(3)]
        try:
            for edge in edges:
                await edge.start()
            for edge in edges:
                await edge.wait_until_ready()
            forwarding_vm, metrics = await find_forwarding_vm(edges)
            assert 'forwarded_statements{home="edge-' in metrics
            client = await connect_client(forwarding_vm, "lock-db")
            assert (await client.send("BEGIN"))[0] == "COMPLETE -"
            assert (await client.send("WRITE 7 x1"))[-1].startswith("READY T")
            assert (await client.send("COMMIT"))[0].startswith("COMPLETE d.")
            for edge in edges:
                if edge is not forwarding_vm:
                    await edge.stop(signal.SIGTERM)
            # Without any home, the VM serves statements itself.
            await wait_until_served(client, "READ 7")
        finally:
            for edge in edges:
                if edge.running:
                    await edge.stop(signal.SIGKILL)


async def find_forwarding_vm(edges: list[EdgeProcess]) -> tuple[EdgeProcess, str]:
    """Return the VM that forwards statements, with its metrics."""
    async with asyncio.timeout(FAILOVER_LIMIT_S):
        while True:
            for edge in edges:
                client = await connect_client(edge, "lock-db")
                await client.send("READ 7")
                client.close()
                text = (await edge.probe("/metrics"))[1]
                if "forwarded_statements" in text:
                    return edge, text
            await asyncio.sleep(RETRY_S)
