"""Which response belongs to which request, of the client and of the server."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from itertools import cycle, pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.adapters import http_client
from celeryjunction.adapters.http_client import (
    HttpClient,
    HttpFailure,
    HttpResponder,
    HttpResponse,
    _Connection,
)
from celeryjunction.platform.promotion import HttpPromoter
from celeryjunction.replication.ports import PromotionRequest, PromotionResult

LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""
LATE_S = 0.05
"""How much later a second response comes."""

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def encode_response(status: int, body: bytes = b"", *fields: bytes) -> bytes:
    lines = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(body), *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def make_request() -> PromotionRequest:
    return PromotionRequest(
        group="db",
        endpoint="i",
        holder="vm1",
        fencing_token=41,
        is_due=lambda: True,
    )


@asynccontextmanager
async def serving(serve: Serve) -> AsyncIterator[HttpClient]:
    """Call `serve` for each connection; yield a client of this server."""
    writers = []

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        with suppress(asyncio.IncompleteReadError, OSError):
            await serve(reader, writer)
        if reader.at_eof():
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    client = HttpClient(*server.sockets[0].getsockname())
    try:
        yield client
    finally:
        client.close()
        server.close()
        for writer in writers:
            writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> str:
    """Read a request and return its method."""
    head = await reader.readuntil(b"\r\n\r\n")
    fields = head.decode().lower().split("\r\n")
    length = next(f for f in fields if f.startswith("content-length:"))
    await reader.readexactly(int(length.partition(":")[2]))
    return head.decode().partition(" ")[0]


async def request_once(data: bytes) -> HttpResponse:
    """Return what the client takes for the response if a server sends `data`."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        writer.write(data)

    async with serving(serve) as client:
        return await client.request("GET", "/", timeout=LIMIT_S)


class TestFramedResponses:
    async def test_header_fields_of_a_second_response_are_not_the_firsts(self) -> None:
        first = encode_response(200, b"a", b"Store-Era: 1")
        second = encode_response(200, b"b", b"Store-Era: 2")
        response = await request_once(first + second)
        assert response.body == b"a"
        assert response.headers["store-era"] == "1"

    @pytest.mark.parametrize("status", [100, 102, 103])
    async def test_an_interim_response_is_not_taken_for_the_final_one(
        self, status: int
    ) -> None:
        interim = b"HTTP/1.1 %d X\r\nLink: x\r\n\r\n" % status
        response = await request_once(2 * interim + encode_response(404, b"none"))
        assert response == HttpResponse(404, b"none", {"content-length": "4"})

    async def test_fields_after_a_chunked_body_do_not_replace_those_before_it(
        self,
    ) -> None:
        head = b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nStore-Era: 1\r\n\r\n"
        response = await request_once(head + b"1\r\na\r\n0\r\nStore-Era: 2\r\n\r\n")
        assert (response.body, response.headers["store-era"]) == (b"a", "1")

    async def test_a_response_to_no_request_fails_the_next_one_at_once(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(encode_response(200))
            await reader.read()

        async with serving(serve) as client:
            channel = await client.open_channel()
            await asyncio.sleep(LATE_S)
            async with asyncio.timeout(LIMIT_S / 2):
                with pytest.raises(HttpFailure):
                    await channel.request("GET", "/", timeout=LIMIT_S)


CHECKED = encode_response(404, b"no such call")
"""Response to the check."""


class CallServer:
    """Answers checks with `CHECKED`, and a call with what `answer_call` writes."""

    def __init__(
        self,
        answer_call: Callable[[asyncio.StreamWriter], Awaitable[None]],
        *,
        second_check_after_s: float | None = None,
    ) -> None:
        self._answer_call = answer_call
        self._second_check_after_s = second_check_after_s
        self.requests: list[list[str]] = []
        """Methods of the requests, by connection."""

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        methods: list[str] = []
        self.requests.append(methods)
        loop = asyncio.get_running_loop()
        while True:
            methods.append(await read_request(reader))
            if methods[-1] == "POST":
                await self._answer_call(writer)
                continue
            writer.write(CHECKED)
            if self._second_check_after_s is not None:
                loop.call_later(self._second_check_after_s, writer.write, CHECKED)


class TestCallAfterCheck:
    """A second response to the check that comes after the call was sent."""

    async def promote(self, *responses: bytes) -> PromotionResult:
        """Return the result of a call after which the server sends `responses`."""

        async def answer(writer: asyncio.StreamWriter) -> None:
            for response in responses:
                writer.write(response)
                await asyncio.sleep(LATE_S)

        async with serving(CallServer(answer).serve) as client:
            path = await HttpPromoter(client).open_path()
            return await path.promote(make_request())

    async def test_it_does_not_refuse_a_call_that_is_carried_out(self) -> None:
        assert await self.promote(CHECKED, encode_response(200)) is (
            PromotionResult.ACCEPTED
        )

    async def test_it_does_not_answer_a_call_that_may_be_on_its_way(self) -> None:
        assert await self.promote(CHECKED) is PromotionResult.UNANSWERED

    async def test_it_does_not_hide_a_refusal(self) -> None:
        result = await self.promote(CHECKED, encode_response(429))
        assert result is PromotionResult.REFUSED

    async def test_one_that_comes_before_the_call_leaves_its_connection_usable(
        self,
    ) -> None:
        async def accept(writer: asyncio.StreamWriter) -> None:
            writer.write(encode_response(200))

        server = CallServer(accept, second_check_after_s=0)
        async with serving(server.serve) as client:
            path = await HttpPromoter(client).open_path()
            await asyncio.sleep(LATE_S)
            assert await path.promote(make_request()) is PromotionResult.ACCEPTED
        assert server.requests == [["GET", "POST"]]

    async def test_another_one_before_the_call_keeps_it_from_being_sent(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                requests.append(await read_request(reader))
                writer.write(CHECKED + encode_response(500))

        requests: list[str] = []
        async with serving(serve) as client:
            path = await HttpPromoter(client).open_path()
            assert await path.promote(make_request()) is PromotionResult.REFUSED
        assert requests == ["GET"]


class TestCheck:
    async def test_a_late_second_response_does_not_confirm_a_silent_path(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            connections.append(writer)
            await read_request(reader)
            if len(connections) == 1:
                writer.write(CHECKED)
                await asyncio.sleep(LATE_S)
                writer.write(CHECKED)
            await reader.read()

        connections: list[asyncio.StreamWriter] = []
        async with serving(serve) as client:
            path = await HttpPromoter(client).open_path()
            assert not await path.confirm()


class FakeTransport:
    """A transport that sends nothing."""

    def write(self, data: bytes) -> None:
        """Ignore the data."""

    def get_extra_info(self, name: str) -> None:
        """Return that there is no socket."""

    def close(self) -> None:
        """Do nothing: the test calls `connection_lost`."""

    abort = close


def receive(*exchanges: list[bytes]) -> list[HttpResponse | None]:
    """Return the responses to requests on one connection, and None for failures.

    Each request is sent before its chunks arrive; the connection ends after the last.
    """

    async def run() -> list[HttpResponse | None]:
        connection = _Connection()
        connection.connection_made(FakeTransport())
        received = []
        for chunks in exchanges:
            request = asyncio.create_task(connection.request(b""))
            await asyncio.sleep(0)
            for chunk in chunks:
                if not connection.closed:
                    connection.data_received(chunk)
            if chunks is exchanges[-1]:
                connection.connection_lost(None)
            try:
                received.append(await request)
            except HttpFailure:
                received.append(None)
        return received

    return asyncio.run(run())


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in pairwise(ends)]


def end_at_close(status: int, body: bytes, *fields: bytes) -> bytes:
    return b"\r\n".join([b"HTTP/1.0 %d X" % status, *fields]) + b"\r\n\r\n" + body


def encode_chunked(status: int, body: bytes, *fields: bytes) -> bytes:
    fields = (*fields, b"Transfer-Encoding: chunked")
    head = b"\r\n".join([b"HTTP/1.1 %d X" % status, *fields]) + b"\r\n\r\n"
    parts = [b"%x\r\n%b\r\n" % (len(p), p) for p in (body[:2], body[2:]) if p]
    return head + b"".join(parts) + b"0\r\nStore-Era: 9\r\n\r\n"


PATHS = st.sampled_from([b"/", b"/readiness", b"/metrics?a=1"])
PLACES = st.lists(st.integers(0, 400), max_size=12)
STATUSES = st.sampled_from([200, 404, 409, 429, 503])
FRAMED = st.sampled_from([encode_response, encode_chunked])
ENCODERS = st.sampled_from([encode_response, encode_chunked, end_at_close])
BODIES = st.one_of(st.binary(max_size=20), st.just(encode_response(200, b"inner")))
EXTRAS = st.one_of(st.just(b""), st.binary(max_size=20), st.just(encode_response(500)))
INTERIMS = st.lists(st.sampled_from([100, 102, 103]), max_size=2)
FIELDS = st.sampled_from([b"Store-Era: 4", b"A:", b"A: \xfe\xff", b"A: b\r\nA: c"])


class TestAnyChunks:
    """Responses and their second ones, cut at any places."""

    @settings(deadline=None, derandomize=True, max_examples=300)
    @given(ENCODERS, STATUSES, BODIES, FIELDS, INTERIMS, PLACES)
    def test_a_response_is_the_same_however_it_is_cut(
        self, encode, status, body, field, interims, places
    ) -> None:
        data = b"".join(b"HTTP/1.1 %d X\r\n\r\n" % interim for interim in interims)
        data += encode(status, body, field)
        [whole] = receive([data])
        assert whole is not None
        assert (whole.status, whole.body) == (status, body)
        assert receive(cut(data, places)) == [whole]

    @settings(deadline=None, derandomize=True, max_examples=300)
    @given(FRAMED, BODIES, EXTRAS, PLACES)
    def test_bytes_after_a_response_do_not_change_it(
        self, encode, body, extra, places
    ) -> None:
        data = encode(200, body, b"Store-Era: 4")
        assert receive(cut(data + extra, places)) == receive([data])

    @settings(deadline=None, derandomize=True, max_examples=200)
    @given(FRAMED, BODIES, st.integers(0, 400), PLACES)
    def test_a_response_that_is_cut_off_is_none(
        self, encode, body, length, places
    ) -> None:
        data = encode(200, body)
        data = data[: length % len(data)]
        assert receive(cut(data, places)) == [None]

    @settings(deadline=None, derandomize=True, max_examples=200)
    @given(st.binary(max_size=60), PLACES)
    def test_noise_is_no_response(self, noise, places) -> None:
        assert receive(cut(noise, places)) == [None]
        head = b"HTTP/1.1 200 X\r\n"
        assert receive(cut(head + noise, places)) == receive([head + noise])

    @settings(deadline=None, derandomize=True, max_examples=300)
    @given(FRAMED, BODIES, st.integers(0, 400), st.integers(0, 2), PLACES, PLACES)
    def test_the_next_request_gets_no_bytes_of_an_earlier_response(
        self, encode, body, before, copies, first, second
    ) -> None:
        """The second responses come partly before the next request, partly after."""
        check, call = encode(404, body), encode(200, body)
        late = check * copies
        before %= len(late) + 1
        exchanges = [check + late[:before], late[before:] + call]
        answers = receive(cut(exchanges[0], first), cut(exchanges[1], second))
        assert [answer and answer.status for answer in answers] == [404, 200]
        answers = receive(cut(exchanges[0], first), cut(late[before:], second))
        assert answers[1] is None


class TestResponder:
    """Responses of the server for readiness and metrics, to requests in any chunks."""

    def exchange(self, *chunks: bytes) -> tuple[bytes, bool]:
        """Return what `HttpResponder` sends, and whether it ends the connection."""
        transport = RecordingTransport()
        responder = HttpResponder(lambda path: (200, path.encode()))
        responder.connection_made(transport)
        for chunk in chunks:
            if not transport.is_closed:
                responder.data_received(chunk)
        return bytes(transport.sent), transport.is_closed

    @settings(deadline=None, derandomize=True, max_examples=200)
    @given(st.lists(PATHS, max_size=4), st.binary(max_size=5), PLACES)
    def test_pipelined_requests_are_answered_in_order(
        self, paths, body, places
    ) -> None:
        data = b"".join(encode_get(path, body) for path in paths)
        answers = b"".join(encode_answer(path) for path in paths)
        assert self.exchange(*cut(data, places)) == (answers, False)

    @pytest.mark.parametrize(
        "request_",
        [
            b"GET /a HTTP/1.0\r\n\r\n",
            b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n",
        ],
    )
    def test_a_client_that_waits_for_the_end_gets_one(self, request_: bytes) -> None:
        assert self.exchange(request_) == (encode_answer(b"/a"), True)

    def test_a_body_does_not_follow_the_response_to_head(self) -> None:
        sent, _ = self.exchange(b"HEAD /a HTTP/1.1\r\n\r\n")
        assert sent == encode_answer(b"/a").removesuffix(b"/a")


class RecordingTransport(FakeTransport):
    """Records what is written to it, and whether it was closed."""

    def __init__(self) -> None:
        self.sent = bytearray()
        self.is_closed = False

    def write(self, data: bytes) -> None:
        """Record the data."""
        self.sent += data

    def close(self) -> None:
        """Record the end of the connection."""
        self.is_closed = True

    abort = close


def encode_get(path: bytes, body: bytes) -> bytes:
    head = b"GET %b HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (path, len(body))
    return head + body


def encode_answer(path: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(path)
    return head + b"Content-Type: text/plain\r\n\r\n" + path


REQUESTS = 1000


class TestConnectionsOfRequests:
    """Guards against sockets that stay open after their requests."""

    async def answer_or_not(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        if b"/answered" in head:
            writer.write(2 * encode_response(200))
        elif b"/cut" in head:
            writer.write(encode_response(200, b"xyz")[:-1])
        elif b"/noise" in head:
            writer.write(b"\xa7\x00{")
        else:
            await reader.read()
        writer.close()

    async def open_sockets_after(
        self, call: Callable[[HttpClient], Awaitable[None]], *, calls: int
    ) -> int:
        """Return how many more sockets than before this process has open."""
        async with serving(self.answer_or_not) as client:
            before = count_sockets()
            for _ in range(0, calls, 20):
                await asyncio.gather(*(call(client) for _ in range(20)))
            for _ in range(100):
                if count_sockets() <= before:
                    break
                await asyncio.sleep(LATE_S)
            return count_sockets() - before

    @pytest.mark.parametrize("path", ["/answered", "/cut", "/noise"])
    async def test_answered_and_failed_ones_leave_none(self, path: str) -> None:
        async def call(client: HttpClient) -> None:
            with suppress(HttpFailure):
                await client.request("GET", path, timeout=LIMIT_S)

        assert await self.open_sockets_after(call, calls=REQUESTS) <= 0

    async def test_those_without_a_response_leave_none(self) -> None:
        async def call(client: HttpClient) -> None:
            with pytest.raises(HttpFailure):
                await client.request("GET", "/silent", timeout=LATE_S)

        assert await self.open_sockets_after(call, calls=100) <= 0

    async def test_cancelled_ones_leave_none(self) -> None:
        async def call(client: HttpClient) -> None:
            request = client.request("GET", "/silent", timeout=LIMIT_S)
            task = asyncio.create_task(request)
            await asyncio.sleep(next(delays))
            task.cancel()
            with pytest.raises(asyncio.CancelledError):
                await task

        delays = cycle([0, 0.0005, 0.001, 0.01])
        assert await self.open_sockets_after(call, calls=200) <= 0

    async def test_closing_the_client_ends_waiting_long_polls(self) -> None:
        async def call(client: HttpClient) -> None:
            poll = client.request("GET", "/silent", timeout=LIMIT_S, long_poll=True)
            task = asyncio.create_task(poll)
            async with asyncio.timeout(LIMIT_S / 2):
                while not task.done():  # It may still be connecting.
                    await asyncio.sleep(LATE_S)
                    client.close()
            with pytest.raises(HttpFailure):
                await task

        assert await self.open_sockets_after(call, calls=100) <= 0

    async def test_checks_of_a_path_leave_none(self) -> None:
        async def call(client: HttpClient) -> None:
            path = await HttpPromoter(client).open_path()
            for _ in range(3):
                await path.confirm()
            path.close()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await CallServer(self.leave_unanswered).serve(reader, writer)

        self.answer_or_not = serve
        assert await self.open_sockets_after(call, calls=100) <= 0

    async def leave_unanswered(self, writer: asyncio.StreamWriter) -> None:
        """Send no response to a call."""


def count_sockets() -> int:
    """Return the number of sockets that this process has open."""
    sockets = 0
    for descriptor in Path("/proc/self/fd").iterdir():
        with suppress(OSError):
            sockets += str(descriptor.readlink()).startswith("socket:")
    return sockets


CALLER = """
import asyncio, sys
from celeryjunction.adapters.http_client import HttpClient
from celeryjunction.adapters.http_path import HttpPath

async def call():
    path = HttpPath(HttpClient("127.0.0.1", int(sys.argv[1])))
    assert await path.confirm()
    await path.send("POST", "/call", body=b"", headers={}, timeout=60)

asyncio.run(call())
"""


class TestKilledProcess:
    async def test_a_call_on_its_way_is_reset_with_its_process(self) -> None:
        """Guards against a call that the system delivers long after its process."""
        called, ended = asyncio.Event(), asyncio.get_running_loop().create_future()

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            writer.write(CHECKED)
            await read_request(reader)
            called.set()
            try:
                ended.set_result(await reader.read())
            except ConnectionResetError as error:
                ended.set_result(error)

        async with serving(serve) as client, asyncio.timeout(4 * LIMIT_S):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", CALLER, str(client._port)
            )
            await called.wait()
            process.kill()
            await process.wait()
            assert isinstance(await ended, ConnectionResetError)


class TestLargeResponses:
    """A response in parts that takes longer than the request's time-out."""

    TIMEOUT_S = 0.3

    async def receive(self, pause_s: float, *, large: bool) -> HttpResponse:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await read_request(reader)
            for part in (encode_response(200, b"x" * 8)[:-8], *[b"x"] * 8):
                writer.write(part)
                await asyncio.sleep(pause_s)

        async with serving(serve) as client:
            return await client.request(
                "GET", "/kv-range", timeout=self.TIMEOUT_S, large=large
            )

    async def test_one_that_arrives_slowly_is_not_given_up(self) -> None:
        """Guards against a page over a narrow link that begins again without end."""
        response = await self.receive(0.1, large=True)
        assert response.body == b"x" * 8

    async def test_a_small_one_keeps_to_its_time_out(self) -> None:
        with pytest.raises(HttpFailure):
            await self.receive(0.1, large=False)

    async def test_one_that_stops_arriving_is_given_up(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a response without an end that holds up a watch."""
        monkeypatch.setattr(http_client, "STALL_LIMIT_S", 0.05)
        with pytest.raises(HttpFailure):
            await self.receive(0.25, large=True)
