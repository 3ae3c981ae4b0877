"""Answers of the store, over HTTP, that can't be decoded or are out of range."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping

import pytest
from _odd_values import ODD_DIGITS, encode_with, odd_values

from celeryjunction.adapters.http_client import (
    HttpClient,
    HttpFailure,
    HttpResponder,
    HttpResponse,
)
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import Compare, KeyValue, Put, StoreUnavailable, WatchEvent

LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""
WAIT_S = 0.05
"""Time that a watch without changes waits here."""
ITEM = {"key": "servers/a", "revision": 3, "value": "eA=="}


class AnsweringClient:
    """Answers each call with the next response, the last one again and again."""

    def __init__(self, *responses: HttpResponse) -> None:
        self.responses = list(responses)

    async def request(self, method: str, path: str, **_: object) -> HttpResponse:
        if "wait_ms" in path:
            await asyncio.sleep(WAIT_S)
        return self.responses.pop(0) if self.responses[1:] else self.responses[0]

    def abort_long_polls(self) -> None:
        """Do nothing: no request waits for long."""


def answer(
    body: object, *, status: int = 200, headers: Mapping[str, str] | None = None
) -> HttpResponse:
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return HttpResponse(status, data, headers or {})


async def first_event(store: HttpStore) -> WatchEvent:
    async with asyncio.timeout(LIMIT_S):
        return await anext(store.watch("servers/", start_revision=1))


Call = Callable[[HttpStore], Awaitable[object]]
CALLS: dict[str, tuple[Call, dict[str, object], int]] = {
    "get": (lambda store: store.get("k"), ITEM, 200),
    "list": (lambda store: store.list("k"), {"items": [], "current_rev": 3}, 200),
    "watch": (first_event, {"events": [], "current_rev": 3}, 200),
    "put": (
        lambda store: store.compare_and_put([], [Put("k", b"x")]),
        {"revision": 3},
        200,
    ),
    "conflict": (
        lambda store: store.compare_and_put([Compare("k", 1)], [Put("k", b"x")]),
        {"items": [ITEM]},
        412,
    ),
    "lease": (lambda store: store.grant_lease(5), {"lease": 3}, 200),
}
"""For each call of the store, a valid body of its answer and the status."""
REQUIRED = {
    "get": ("key", "revision"),
    "list": ("items", "current_rev"),
    "watch": ("events", "current_rev"),
    "put": ("revision",),
    "conflict": ("items",),
    "lease": ("lease",),
}
ODD_ANSWERS = {
    (name, kind): value
    for name, (_, valid, _) in CALLS.items()
    for kind, value in odd_values(
        valid,
        required=REQUIRED[name],
        counts=tuple(f for f, v in valid.items() if isinstance(v, int)),
    )
    if (name, kind) not in {("conflict", "items: missing")}
    and not (name == "lease" and kind == "lease: beyond 64 bits")
}
ODD_ANSWERS |= {
    (name, f"item: {kind}"): encode_with(CALLS[name][1], field, b"[" + value + b"]")
    for name, field in (("list", "items"), ("watch", "events"), ("conflict", "items"))
    for kind, value in odd_values(
        ITEM, required=("key", "revision"), counts=("revision",)
    )
    if value.strip() and value != b"null"
}
ODD_ANSWERS |= {
    (name, "a revision beyond the range"): json.dumps(
        CALLS[name][1] | {field: 2**40}
    ).encode()
    for name, field in (
        ("get", "revision"),
        ("list", "current_rev"),
        ("watch", "current_rev"),
        ("put", "revision"),
    )
}
ODD_ANSWERS |= {
    ("lease", "none"): b'{"lease":0}',
    ("lease", "beyond 64 bits"): b'{"lease":18446744073709551616}',
}
ODD_ERAS = {kind: text for kind, text in ODD_DIGITS.items() if kind != "none"} | {
    "beyond the range": str(2**23 + 1),
    "noise": "\x00\xff" * 1000,
}


class TestStoreAnswers:
    @pytest.mark.parametrize(
        ("name", "kind"), ODD_ANSWERS, ids=lambda part: part.replace("/", "_")
    )
    async def test_an_odd_one_counts_as_no_answer(self, name: str, kind: str) -> None:
        call, valid, status = CALLS[name]
        odd = answer(ODD_ANSWERS[name, kind], status=status)
        store = HttpStore(AnsweringClient(odd, answer(valid, status=status)))
        with pytest.raises(StoreUnavailable) as caught:
            await call(store)
        assert len(str(caught.value)) < 300
        await call(store)

    @pytest.mark.parametrize("name", CALLS)
    @pytest.mark.parametrize("kind", ODD_ERAS)
    async def test_an_odd_era_is_not_taken_over(self, name: str, kind: str) -> None:
        call, valid, status = CALLS[name]
        headers = {"store-era": ODD_ERAS[kind]}
        odd = answer(valid, status=status, headers=headers)
        named = answer(valid, status=status, headers={"store-era": "0"})
        store = HttpStore(AnsweringClient(named, odd, named))
        for _ in range(3):
            await call(store)
            assert store.history.era == 0
        assert not store.history.is_restored

    @pytest.mark.parametrize("text", ["", "\u00e9", "=", "e", "\x00", "e" * 99_999])
    async def test_a_value_that_is_no_base64_is_passed_on(self, text: str) -> None:
        """The value's own decoder then reports it; the other items hold."""
        items = [ITEM | {"value": text}, ITEM | {"key": "servers/b"}]
        page = answer({"items": items, "current_rev": 3})
        listed = await HttpStore(AnsweringClient(page)).list("servers/")
        assert listed.items[1] == KeyValue("servers/b", b"x", 3)


class TestWatches:
    async def test_all_watches_end_when_the_answer_can_not_be_used(self) -> None:
        """Guards against watches that wait without an end for a task that failed."""

        class FailingClient(AnsweringClient):
            async def request(self, *_: object, **__: object) -> HttpResponse:
                raise ValueError("unexpected")

        store = HttpStore(FailingClient())
        tasks = [
            asyncio.ensure_future(anext(store.watch(prefix, start_revision=1)))
            for prefix in ("op/", "servers/")
        ]
        async with asyncio.timeout(LIMIT_S):
            errors = await asyncio.gather(*tasks, return_exceptions=True)
        assert [type(error) for error in errors] == [StoreUnavailable] * 2


ODD_RESPONSES = {
    "noise": b"\xa7\x00{" * 1000,
    "empty": b"",
    "status": b"HTTP/1.1 9999999999 X\r\nContent-Length: 0\r\n\r\n",
    "negative length": b"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n",
    "huge length": b"HTTP/1.1 200 X\r\nContent-Length: 1" + b"0" * 400 + b"\r\n\r\n",
    "non-ASCII length": b"HTTP/1.1 200 X\r\nContent-Length: \xd9\xa3\r\n\r\n123",
    "two lengths": b"HTTP/1.1 200 X\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n1",
    "bad chunk": b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "huge chunk": b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"f" * 400
    + b"\r\n",
    "header": b"HTTP/1.1 200 X\r\n\xff\x00: \xfe\r\nContent-Length: 0\r\n\r\n",
}


class TestHttpClient:
    @pytest.mark.parametrize("kind", ODD_RESPONSES)
    async def test_an_odd_response_fails_only_its_request(self, kind: str) -> None:
        responses = [ODD_RESPONSES[kind]]
        writers = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            good = b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx"
            writer.write(responses.pop() if responses else good)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = HttpClient(*server.sockets[0].getsockname())
        with pytest.raises(HttpFailure):
            await client.request("GET", "/", timeout=0.3)
        response = await client.request("GET", "/", timeout=LIMIT_S)
        assert response == HttpResponse(200, b"x", {"content-length": "1"})
        client.close()
        server.close()
        for writer in writers:
            writer.transport.abort()

    async def test_an_upgrade_ends_its_connection(self) -> None:
        loop = asyncio.get_running_loop()
        errors: list[dict] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        response = b"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n\x00"
        connections = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        client = HttpClient(*server.sockets[0].getsockname())
        for _ in range(2):
            channel = await client.open_channel()
            answered = await channel.request("GET", "/", timeout=LIMIT_S)
            assert answered.status == 101
            assert channel.closed
        assert len(connections) == 2
        assert not errors
        client.close()
        server.close()
        for writer in connections:
            writer.transport.abort()


ODD_REQUESTS = {
    "noise": b"\xa7\x00{" * 1000,
    "no version": b"GET /\r\n\r\n",
    "not UTF-8": b"GET /\xff\xfe HTTP/1.1\r\n\r\n",
    "negative length": b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "huge length": b"GET / HTTP/1.1\r\nContent-Length: 1" + b"0" * 400 + b"\r\n\r\n",
    "long path": b"GET /" + b"x" * (1 << 20) + b" HTTP/1.1\r\n\r\n",
    "upgrade": b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n\x00",
    "nothing": b"",
}


class TestProbes:
    @pytest.mark.parametrize("kind", ODD_REQUESTS)
    async def test_an_odd_request_leaves_the_next_one_answered(self, kind: str) -> None:
        loop = asyncio.get_running_loop()
        errors: list[dict] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        server = await loop.create_server(
            lambda: HttpResponder(lambda _: (200, b"ready\n")), "127.0.0.1", 0
        )
        address = server.sockets[0].getsockname()
        for request in (ODD_REQUESTS[kind], b"GET /ready HTTP/1.1\r\n\r\n"):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            if request:
                async with asyncio.timeout(LIMIT_S):
                    try:
                        data = await reader.read(1000)
                    except ConnectionResetError:
                        data = b""
            writer.transport.abort()
        assert data.startswith(b"HTTP/1.1 200")
        assert not errors
        server.close()
