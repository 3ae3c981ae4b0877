"""The HTTP clients of the store and the promotion call, and the decoding of records."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from urllib.parse import parse_qsl

import pytest

from bench.fault_proxy import FaultProxy
from celeryjunction.adapters.http_client import HttpClient, HttpFailure, HttpResponse
from celeryjunction.gateway.routes import Consistency
from celeryjunction.platform.promotion import HttpPromoter
from celeryjunction.platform.records import decode_config, decode_endpoint
from celeryjunction.platform.settings import SettingsError, split_address
from celeryjunction.platform.standin import StandinPlatform
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import (
    Compare,
    KeyValue,
    LeaseExpired,
    Put,
    StoreUnavailable,
)
from celeryjunction.replication.ports import PromotionRequest, PromotionResult
from celeryjunction.watch_wait import PEER_REPORTED_WAIT_MS

BODY = b"x" * (48 << 10)
"""Longer than what a peer that reads nothing receives, shorter than what is buffered
for it."""


@pytest.fixture
async def platform() -> AsyncIterator[StandinPlatform]:
    platform = StandinPlatform()
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def store(platform: StandinPlatform) -> AsyncIterator[HttpStore]:
    store = HttpStore(HttpClient(*split_address(platform.store.address)))
    yield store
    await store.close()


class RecordingClient:
    """A client that records the paths of its requests and refuses them."""

    def __init__(self) -> None:
        self.paths: list[str] = []

    async def request(self, method: str, path: str, **_: object) -> HttpResponse:
        self.paths.append(path)
        return HttpResponse(503, b"")

    def abort_long_polls(self) -> None:
        """Do nothing: no request waits."""


class TestWatchWait:
    @pytest.mark.parametrize("config_apply_ms", [1500.0, 3000.0, 6000.0])
    async def test_a_dead_connection_is_noticed_within_the_bound(
        self, config_apply_ms: float
    ) -> None:
        """Guards against a wait that suits the bound of one site only."""
        client = RecordingClient()
        store = HttpStore(client, config_apply_ms=config_apply_ms)
        with pytest.raises(StoreUnavailable):
            await anext(store.watch("op/", start_revision=1))
        query = dict(parse_qsl(client.paths[0].partition("?")[2]))
        assert config_apply_ms / 2 <= int(query["wait_ms"]) < config_apply_ms

    async def test_a_peer_that_reports_changes_allows_a_longer_wait(self) -> None:
        client = RecordingClient()
        store = HttpStore(client, config_apply_ms=3000.0)
        store.watch_wait.peer_reports_changes = True
        with pytest.raises(StoreUnavailable):
            await anext(store.watch("op/", start_revision=1))
        assert f"wait_ms={PEER_REPORTED_WAIT_MS}" in client.paths[0]

    async def test_a_connection_opened_in_an_outage_is_given_up_soon(self) -> None:
        """Guards against a config that is late because the first watch is dead."""
        client = RecordingClient()
        store = HttpStore(client, config_apply_ms=3000.0)
        store.watch_wait.peer_reports_changes = True
        for _ in range(2):
            with pytest.raises(StoreUnavailable):
                await anext(store.watch("op/", start_revision=1))
        query = dict(parse_qsl(client.paths[1].partition("?")[2]))
        # Leaves the follower's pause and a list within the bound.
        assert int(query["wait_ms"]) <= 1000

    async def test_the_long_wait_returns_with_an_answer(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        watch = store.watch("op/", start_revision=1)
        store.watch_wait.failed = True
        await anext(watch)
        assert store.watch_wait.next_ms > 1000
        await watch.aclose()


class TestHttpStore:
    async def test_a_put_needs_its_compare(self, store: HttpStore) -> None:
        first = await store.compare_and_put([Compare("a", 0)], [Put("a", b"1")])
        again = await store.compare_and_put([Compare("a", 0)], [Put("a", b"2")])
        assert first.succeeded
        assert not again.succeeded
        assert again.current[0] == KeyValue("a", b"1", first.revision)
        assert (await store.get("a")).value == b"1"

    async def test_a_key_is_deleted_with_its_lease(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        lease = await store.grant_lease(5)
        await store.compare_and_put([], [Put("a", b"1")], lease=lease)
        assert await store.renew_lease(lease)
        await store.revoke_lease(lease)
        assert await store.get("a") is None
        assert not await store.renew_lease(lease)
        with pytest.raises(LeaseExpired):
            await store.compare_and_put([], [Put("a", b"1")], lease=lease)

    async def test_a_watch_yields_changes_and_deletions(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        listed = await store.list("my/")
        events = store.watch("my/", start_revision=listed.revision + 1)
        asyncio.get_running_loop().call_later(0.05, platform.store.put, "my/a", b"1")
        seen = await anext(events)
        assert (seen.key, seen.value) == ("my/a", b"1")
        platform.store.put("my/a", None)
        while not seen.key or seen.value is not None:
            seen = await anext(events)
        assert seen.key == "my/a"

    async def test_pages_are_joined(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        for number in range(700):
            platform.store.put(f"my/{number:03}", b"x")
        listed = await store.list("my/")
        assert len({item.key for item in listed.items}) == 700

    @pytest.mark.parametrize("status", [429, 503])
    async def test_an_overload_status_is_unavailable(
        self, platform: StandinPlatform, store: HttpStore, status: int
    ) -> None:
        platform.store.error_status = status
        with pytest.raises(StoreUnavailable):
            await store.get("a")

    async def test_a_call_without_answer_drops_the_waiting_watch(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        """Guards against a watch that waits on a dead connection until its time-out.

        Found by the bench scenario scale-2, seed 459041009094. A time-out of another
        call shows that the connections may be dead.
        """
        watch = store.watch("my/", start_revision=platform.store.revision + 1)
        next_event = asyncio.ensure_future(anext(watch))
        await asyncio.sleep(0.1)
        never_set = asyncio.Event()

        async def hang(*args: object) -> tuple[int, object]:
            await never_set.wait()
            return 200, {}

        platform.store.handle_request = hang
        with pytest.raises(StoreUnavailable):
            await store.get("a", timeout=0.1)
        with pytest.raises(StoreUnavailable):
            await asyncio.wait_for(next_event, 1.0)


class TestRecords:
    def test_a_config_is_decoded(self) -> None:
        entry = {
            "name": "r",
            "host": "lepu270",
            "prefix": "/",
            "kind": "read_your_writes",
            "timeout_ms": 800,
            "goal_ms": 250,
            "priority": 1,
            "service": "huvo11a",
            "max_attempts": 2,
            "max_staleness_ms": 2500,
        }
        config = {
            "version": 7,
            "routes": [entry],
            "services": [{"name": "huvo11a", "conn_limit": 22, "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000, "body_bytes": 1},
        }
        table = decode_config(json.dumps(config).encode())
        route = table.route("lepu270")
        assert route.consistency is Consistency.READ_YOUR_WRITES
        assert (route.timeout_s, route.goal_s, route.staleness_s) == (0.8, 0.25, 2.5)
        assert table.groups["huvo11a"].connection_limit == 22
        assert table.idle_transaction_s == 3.0

    @pytest.mark.parametrize("value", [b"", b"{}", b"\xff", b'{"version": "x"}'])
    def test_an_invalid_config_is_none(self, value: bytes) -> None:
        assert decode_config(value) is None

    def test_a_register_entry_is_decoded(self) -> None:
        entry = (
            b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"z","slots":3,'
            b'"state":"draining","sequence":4,"db_role":"replica","born":17}'
        )
        info = decode_endpoint(KeyValue("servers/i-7f", entry, 3))
        assert (info.id, info.group, info.port) == ("i-7f", "huvo11a", 8080)
        assert info.draining
        assert info.started_ms == 17

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"\xfe",
            b"[]",
            b'{"service":"s"}',
            b'{"service":"s","address":"x","zone":"z","slots":3,"state":"ready"}',
            b'{"service":"s","address":"10.0.0.1:99999","zone":"z","slots":3,'
            b'"state":"ready"}',
            b'{"service":"s","address":"10.0.0.1:-1","zone":"z","slots":3,'
            b'"state":"ready"}',
            b'{"service":"s","address":"a.b:2","zone":"z","slots":3,"state":"ready"}',
            b'{"service":"s","address":"1:2","zone":"z","slots":"3","state":"ready"}',
            b'{"service":"s","address":"1:2","zone":"z","slots":3,"state":"odd"}',
        ],
    )
    def test_an_invalid_entry_gives_a_reason(self, value: bytes) -> None:
        assert isinstance(decode_endpoint(KeyValue("servers/x", value, 3)), str)

    @pytest.mark.parametrize("address", ["", "10.0.0.1", "10.0.0.1:x", ":80"])
    def test_an_address_needs_host_and_port(self, address: str) -> None:
        with pytest.raises(SettingsError):
            split_address(address)


def make_request(endpoint: str, *, is_due: bool = True) -> PromotionRequest:
    return PromotionRequest(
        group="db",
        endpoint=endpoint,
        holder="vm1",
        fencing_token=41,
        is_due=lambda: is_due,
    )


class TestGivenUpRequest:
    """A peer that reads nothing for a while, as behind a silent link."""

    @pytest.mark.parametrize("kind", ["client", "channel"])
    async def test_its_bytes_do_not_arrive_later(self, kind: str) -> None:
        """Guards against calls that arrive long after their VM gave them up."""
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            client = HttpClient(*listener.getsockname())
            caller = client if kind == "client" else await client.open_channel()
            with pytest.raises(HttpFailure):
                await caller.request("POST", "/call", body=BODY, timeout=0.2)
            await asyncio.sleep(0.05)
            accepted, _ = listener.accept()
        with accepted:
            accepted.settimeout(5.0)
            assert await asyncio.to_thread(count_received, accepted) < len(BODY)


def count_received(peer: socket.socket) -> int:
    """Return how many bytes arrive until the connection ends."""
    received = 0
    try:
        while data := peer.recv(1 << 16):
            received += len(data)
    except ConnectionResetError:
        pass
    return received


class TestHttpPromoter:
    async def test_sends_group_endpoint_and_token(
        self, platform: StandinPlatform
    ) -> None:
        path = await make_promoter(platform).open_path()
        result = await path.promote(make_request("i-db1"))
        assert result is PromotionResult.ACCEPTED
        assert platform.store.promotions == [("db", "i-db1", "41")]

    async def test_an_unknown_endpoint_is_refused(
        self, platform: StandinPlatform
    ) -> None:
        path = await make_promoter(platform).open_path()
        result = await path.promote(make_request("i-none"))
        assert result is PromotionResult.REFUSED

    async def test_a_call_that_is_not_due_any_more_is_not_sent(
        self, platform: StandinPlatform
    ) -> None:
        """Guards against a lower token after another holder's, from a VM that stood."""
        path = await make_promoter(platform).open_path()
        result = await path.promote(make_request("i-db1", is_due=False))
        assert result is PromotionResult.REFUSED
        assert not platform.store.promotions

    async def test_a_lost_answer_leaves_the_call_unanswered(
        self, platform: StandinPlatform
    ) -> None:
        path = await make_promoter(platform).open_path()
        platform.store.responses_to_drop = 1
        result = await path.promote(make_request("i-db1"))
        assert result is PromotionResult.UNANSWERED

    async def test_a_call_that_cannot_be_sent_is_refused(
        self, platform: StandinPlatform
    ) -> None:
        path = await make_promoter(platform).open_path()
        await platform.store.close()
        path.close()
        result = await path.promote(make_request("i-db1"))
        assert result is PromotionResult.REFUSED

    async def test_without_a_listener_there_is_no_path(
        self, platform: StandinPlatform
    ) -> None:
        promoter = make_promoter(platform)
        await platform.store.close()
        assert await promoter.open_path() is None

    async def test_the_call_is_sent_on_the_connection_that_was_answered(self) -> None:
        """Guards against a call on a connection that proves nothing."""
        async with answering(make_answer(404)) as server:
            path = await server.promoter.open_path()
            assert await path.confirm()
            server.answer = make_answer(200)
            assert await path.promote(make_request("i")) is PromotionResult.ACCEPTED
            assert server.requests_by_connection == [1, 2]

    async def test_a_connection_that_was_lost_since_its_answer_carries_no_call(
        self,
    ) -> None:
        async with answering(make_answer(200)) as server:
            path = await server.promoter.open_path()
            server.reset()
            await asyncio.sleep(0.05)
            assert await path.promote(make_request("i")) is PromotionResult.REFUSED
            assert server.requests_by_connection == [1]

    async def test_an_answer_that_ends_with_the_connection_is_one(self) -> None:
        async with answering(
            b"HTTP/1.0 404 Not Found\r\n\r\nno", closes=True
        ) as server:
            assert await server.promoter.open_path() is not None

    @pytest.mark.parametrize(
        ("status", "result"),
        [
            (409, PromotionResult.REFUSED),
            (429, PromotionResult.REFUSED),
            (500, PromotionResult.UNKNOWN),
            (502, PromotionResult.UNANSWERED),
            (503, PromotionResult.REFUSED),
            (504, PromotionResult.UNANSWERED),
        ],
    )
    async def test_a_status_tells_what_became_of_the_call(
        self, status: int, result: PromotionResult
    ) -> None:
        async with answering(make_answer(404)) as server:
            path = await server.promoter.open_path()
            server.answer = make_answer(status)
            assert await path.promote(make_request("i")) is result

    async def test_the_answer_of_a_gateway_is_no_path(self) -> None:
        async with answering(make_answer(502)) as server:
            assert await server.promoter.open_path() is None

    async def test_a_path_whose_link_fell_silent_is_not_confirmed(
        self, platform: StandinPlatform
    ) -> None:
        """Guards against a call that waits on its way until another VM has called."""
        link = FaultProxy(lambda: split_address(platform.store.address)[1])
        await link.start()
        promoter = HttpPromoter(HttpClient("127.0.0.1", link.port))
        path = await promoter.open_path()
        assert await path.confirm()
        link.block("up")
        assert not await path.confirm()
        assert await promoter.open_path() is None
        link.close()


def make_answer(status: int) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status


class AnsweringServer:
    """Gives one answer to all requests, and counts them by connection."""

    def __init__(self, answer: bytes, *, closes: bool) -> None:
        self.answer = answer
        self._closes = closes
        self.requests_by_connection: list[int] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = len(self.requests_by_connection)
        self.requests_by_connection.append(0)
        self._writers.append(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests_by_connection[connection] += 1
                writer.write(self.answer)
                if self._closes:
                    break
        writer.close()

    def reset(self) -> None:
        for writer in self._writers:
            writer.transport.abort()


@asynccontextmanager
async def answering(
    answer: bytes, *, closes: bool = False
) -> AsyncIterator[AnsweringServer]:
    server = AnsweringServer(answer, closes=closes)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    server.promoter = HttpPromoter(HttpClient("127.0.0.1", port))
    try:
        yield server
    finally:
        listener.close()
        server.reset()


def make_promoter(platform: StandinPlatform) -> HttpPromoter:
    return HttpPromoter(HttpClient(*split_address(platform.store.address)))


class TestSecondResponses:
    async def test_a_second_response_is_not_taken_for_that_of_the_next_request(
        self,
    ) -> None:
        writers = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            sent = b""
            with suppress(asyncio.IncompleteReadError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    writer.write(sent)
                    path = head.split(b" ")[1]
                    sent = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n" + path
                    writer.write(sent)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = HttpClient(*server.sockets[0].getsockname())
        for path in ("/a", "/b", "/c"):
            response = await client.request("GET", path, timeout=5)
            assert response.body == path.encode()
        server.close()
        for writer in writers:
            writer.transport.abort()
