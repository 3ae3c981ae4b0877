"""Replication and promotion in the platform's stand-in."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterator

import pytest

from celeryjunction.adapters.http_client import HttpClient, HttpFailure
from celeryjunction.platform.standin import (
    StandinEndpoint,
    StandinGroup,
    StandinPlatform,
)

LIMIT_S = 3.0
STILL_WAITING_S = 0.1
PAUSED = 2


@pytest.fixture
async def platform() -> AsyncIterator[StandinPlatform]:
    platform = StandinPlatform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
def group(platform: StandinPlatform) -> StandinGroup:
    return platform.groups["db"]


async def send(endpoint: StandinEndpoint, *texts: str, caller: str = "edge") -> str:
    """Send commands on one connection; return the last answer's first line."""
    reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
    try:
        async with asyncio.timeout(LIMIT_S):
            writer.write(f"CONNECT db {caller}\r\n".encode())
            await reader.readline()
            for text in texts:
                writer.write(f"QUERY q {text}\r\n".encode())
                lines = [await reader.readline()]
                while lines[-1] and not lines[-1].startswith(b"READY"):
                    lines.append(await reader.readline())
    finally:
        writer.close()
    return lines[0].decode().rstrip()


async def is_waiting(task: asyncio.Task[str]) -> bool:
    await asyncio.sleep(STILL_WAITING_S)
    return not task.done()


class TestReplication:
    async def test_a_commit_needs_one_replica(self, group: StandinGroup) -> None:
        primary, first, second = group.endpoints
        second.replication_cut = True
        assert (await send(primary, "WRITE 7 x")).startswith("COMPLETE d.")
        assert first.received_position == (1, 1)
        assert second.received_position == (1, 0)

    async def test_a_paused_replica_receives_nothing(self, group: StandinGroup) -> None:
        primary, first, second = group.endpoints
        for replica in (first, second):
            await send(replica, f"PAUSE {PAUSED}")
        writing = asyncio.create_task(send(primary, "WRITE 7 x"))
        assert await is_waiting(writing)
        assert first.received_position == second.received_position == (1, 0)
        await send(first, "RESUME")
        assert (await writing).startswith("COMPLETE d.")
        assert first.received_position == (1, 1)
        assert second.received_position == (1, 0)

    async def test_a_restart_forgets_the_pause(self, group: StandinGroup) -> None:
        primary, first, second = group.endpoints
        for replica in (first, second):
            await send(replica, f"PAUSE {PAUSED}")
        await first.stop()
        await first.start(first.port)
        assert (await send(primary, "WRITE 7 x")).startswith("COMPLETE d.")
        assert first.received_position == (1, 1)

    async def test_a_demoted_primary_acknowledges_no_waiting_commit(
        self, group: StandinGroup
    ) -> None:
        primary, first, second = group.endpoints
        for replica in (first, second):
            await send(replica, f"PAUSE {PAUSED}")
        writing = asyncio.create_task(send(primary, "WRITE 7 x"))
        assert await is_waiting(writing)
        await send(primary, f"DEMOTE {PAUSED}")
        await send(first, "RESUME")
        assert (await writing).startswith("ERROR TIMEOUT")
        assert first.received_position == (1, 0)

    async def test_a_removed_replica_takes_its_log_along(
        self, group: StandinGroup
    ) -> None:
        primary, first, second = group.endpoints
        second.replication_cut = True
        await send(primary, "WRITE 7 x")
        await group.remove(first)
        assert group.endpoints == [primary, second]
        assert second.received_position == (1, 0)

    async def test_an_added_replica_receives(self, group: StandinGroup) -> None:
        primary, first, second = group.endpoints
        first.replication_cut = second.replication_cut = True
        added = await group.add("i-db3", primary.zone)
        assert (await send(primary, "WRITE 7 x")).startswith("COMPLETE d.")
        assert added.received_position == (1, 1)

    async def test_an_ignored_command_is_not_run(self, group: StandinGroup) -> None:
        _, first, _ = group.endpoints
        first.ignores = lambda caller, word: caller == "cut" and word == b"PAUSE"
        with pytest.raises(TimeoutError):
            await send(first, f"PAUSE {PAUSED}", caller="cut")
        assert first.held_term == 0
        await send(first, f"PAUSE {PAUSED}")
        assert first.held_term == PAUSED


class TestPromotion:
    async def test_a_late_call_is_carried_out_later(
        self, platform: StandinPlatform, group: StandinGroup
    ) -> None:
        _, first, second = group.endpoints
        group.promotion_delay_s = 0.0
        promoted: list[str] = []
        group.on_promotion = lambda endpoint: promoted.append(endpoint.id)
        store = platform.store
        store.late_promotions_s = [0.2]
        calls = [
            asyncio.create_task(
                store.handle_request(
                    "POST", "/promotion", {}, b'{"service": "db", "id": "%b"}' % name
                )
            )
            for name in (first.id.encode(), second.id.encode())
        ]
        assert await asyncio.gather(*calls) == [(200, {}), (200, {})]
        await asyncio.sleep(STILL_WAITING_S)
        assert promoted == [second.id, first.id]
        assert [call.endpoint for call in store.promotion_calls] == promoted
        assert first.term == 3


class TestStoreFaults:
    @pytest.fixture
    def client(self, platform: StandinPlatform) -> Iterator[HttpClient]:
        host, _, port = platform.store.address.rpartition(":")
        client = HttpClient(host, int(port))
        yield client
        client.close()

    async def test_a_call_without_an_answer_is_executed_after_a_while(
        self, platform: StandinPlatform, client: HttpClient
    ) -> None:
        store = platform.store
        store.unanswered_after = lambda path, data: 2 * STILL_WAITING_S
        with pytest.raises(HttpFailure):
            await client.request(
                "POST", "/kv-lease", body=b'{"ttl_ms": 5000}', timeout=STILL_WAITING_S
            )
        assert not store.leases
        await asyncio.sleep(2 * STILL_WAITING_S)
        assert len(store.leases) == 1

    async def test_an_answer_names_the_era_unless_it_is_withheld(
        self, platform: StandinPlatform, client: HttpClient
    ) -> None:
        platform.store.names_era = lambda path, status: path != "/kv-lease"
        named = [
            "store-era"
            in (
                await client.request(
                    method, path, body=b'{"ttl_ms": 5000}', timeout=LIMIT_S
                )
            ).headers
            for method, path in (("POST", "/kv-lease"), ("GET", "/kv-key?key=x"))
        ]
        assert named == [False, True]

    async def test_an_edge_has_its_own_address_of_the_promotion_call(
        self, platform: StandinPlatform
    ) -> None:
        platform.cloud_addresses["edge-1"] = "127.0.0.1:9"
        addresses = [
            platform.settings(name, front=1, ready=2)["cloud_api"]["address"]
            for name in ("edge-1", "edge-2")
        ]
        assert addresses == ["127.0.0.1:9", platform.store.address]
