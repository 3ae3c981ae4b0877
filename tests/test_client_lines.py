"""Clients' lines on their way to an endpoint and back, over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
from _wire_support import LIMIT_S, WireClient, WireStack
from hypothesis import given, settings
from hypothesis import strategies as st
from test_line_stream import cut

from celeryjunction.adapters.line_stream import MAX_LINE_BYTES

PIECES = [
    b"\r",
    b"\n",
    b"\0",
    b"\x1b[2J",
    b"'",
    b'"',
    b"\\",
    b" ",
    b"\xff\xc3",
    b"\x85",
]
PIECES += [b"\nREADY I -", b"\rQUERY x WRITE 1 x", b"\nCOMPLETE 1.1", b"\nROW a"]
FIELDS = (
    (
        st.binary(max_size=10)
        | st.lists(st.sampled_from(PIECES), max_size=4).map(b"".join)
    )
    .map(lambda text: b"v" + text)
    .filter(lambda text: b"\r\n" not in text)
)
WORDS = FIELDS.filter(lambda text: b" " not in text)
TEXTS = (
    st.builds(b"READ %b".__mod__, FIELDS)
    | st.builds(b"WRITE 1 %b".__mod__, FIELDS)
    | st.tuples(WORDS, FIELDS).map(lambda pair: b"SETPARAM %b %b" % pair)
)


class TestAnyBytes:
    @given(
        st.lists(TEXTS, max_size=6), st.lists(st.integers(0, 10_000), max_size=6), WORDS
    )
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_pipelined_requests_reach_the_endpoint_and_their_answers_the_client(
        self, texts: list[bytes], places: list[int], word: bytes
    ) -> None:
        asyncio.run(self.check(texts, places, word))

    async def check(self, texts: list[bytes], places: list[int], word: bytes) -> None:
        stack = WireStack()
        await stack.start()
        client = await WireClient.connect(stack.port, b"read_your_writes")
        ids = [b"%d%b" % (number, word) for number in range(len(texts))]
        requests = list(zip(ids, texts, strict=True))
        for chunk in cut(
            b"".join(b"QUERY %b %b\r\n" % one for one in requests), places
        ):
            client.writer.write(chunk)
            await asyncio.sleep(0)
        for request_id, text in requests:
            answer = await client.answer()
            keyword, _, rest = text.partition(b" ")
            if keyword == b"SETPARAM":
                assert answer == [b"COMPLETE -", b"READY I -"]
                continue
            rows = [b"ROW %b %b" % (request_id, rest)] if keyword == b"READ" else []
            assert answer[:-2] == rows
            digest = answer[-2].removeprefix(b"COMPLETE ")
            assert stack.endpoint.digests[digest] == request_id
        sent = [one for one in requests if not one[1].startswith(b"SETPARAM")]
        assert stack.endpoint.runs == sent
        client.writer.close()
        await stack.close()

    @given(st.lists(st.dictionaries(WORDS, FIELDS, max_size=3), min_size=2, max_size=4))
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_sessions_that_share_a_connection_keep_their_values(
        self, values: list[dict[bytes, bytes]]
    ) -> None:
        asyncio.run(self.check_values(values))

    async def check_values(self, values: list[dict[bytes, bytes]]) -> None:
        stack = WireStack(links=1)
        await stack.start()
        for turn, wanted in enumerate(values):
            client = await WireClient.connect(stack.port, b"read_your_writes")
            for name, value in wanted.items():
                await client.ask(b"s", b"SETPARAM %b %b" % (name, value))
            await client.ask(b"%d" % turn, b"READ 1")
            assert stack.endpoint.values[b"%d" % turn] == wanted
            client.writer.close()
        assert stack.dialer.connections_opened == 1
        await stack.close()

    @given(st.lists(st.tuples(WORDS, FIELDS), min_size=1, max_size=4, unique=True))
    @settings(max_examples=40, deadline=None, derandomize=True)
    def test_sessions_that_share_a_connection_keep_their_shapes(
        self, prepared: list[tuple[bytes, bytes]]
    ) -> None:
        asyncio.run(self.check_shapes(prepared))

    async def check_shapes(self, prepared: list[tuple[bytes, bytes]]) -> None:
        stack = WireStack(links=1)
        await stack.start()
        for number, (name, shape) in enumerate(prepared):
            client = await WireClient.connect(stack.port, b"read_your_writes")
            await client.ask(b"p", b"PREPARE %b READ %b" % (name, shape))
            await client.ask(b"%d" % number, b"EXECUTE %b 7 x" % name)
            text = b"READ %b|7 x" % shape
            assert stack.endpoint.runs[-1] == (b"%d" % number, text)
            client.writer.close()
        await stack.close()


class TestBoundaries:
    @pytest.fixture
    async def stack(self) -> AsyncIterator[WireStack]:
        stack = WireStack()
        await stack.start()
        yield stack
        await stack.close()

    async def test_a_message_of_the_largest_size_passes_wherever_it_is_cut(
        self, stack: WireStack
    ) -> None:
        head = b"QUERY 1 WRITE 1 "
        line = head + b"\n" * (MAX_LINE_BYTES - len(head)) + b"\r\n"
        for place in (1, len(head), MAX_LINE_BYTES - 1, MAX_LINE_BYTES, -1):
            client = await WireClient.connect(stack.port, b"read_your_writes")
            for part in (line[:place], line[place:]):
                client.writer.write(part)
                await asyncio.sleep(0.01)
            answer = await client.answer()
            assert answer[0].startswith(b"COMPLETE ")
            assert stack.endpoint.runs[-1][1] == line[8:-2]
            client.writer.close()

    async def test_a_message_beyond_the_limit_does_not_run(
        self, stack: WireStack
    ) -> None:
        """Guards against a part of a message that is run, or taken for the next one."""
        head = b"QUERY 1 WRITE 1 "
        line = head + b"x" * (MAX_LINE_BYTES + 1 - len(head)) + b"\r\n"
        for place in (1, MAX_LINE_BYTES, MAX_LINE_BYTES + 1, -1):
            client = await WireClient.connect(stack.port, b"read_your_writes")
            client.writer.write(b"QUERY 0 READ 1\r\n")
            for part in (line[:place], line[place:] + b"QUERY 2 WRITE 1 x\r\n"):
                client.writer.write(part)
                await asyncio.sleep(0.01)
            assert (await client.answer())[0] == b"ROW 0 1"
            with suppress(ConnectionError):
                assert (await client.line()).startswith(b"ERROR TOOLARGE ")
                with pytest.raises(EOFError):
                    await client.line()
            client.writer.close()
        assert {text for _, text in stack.endpoint.runs} == {b"READ 1"}

    @pytest.mark.parametrize("cut_off", [b"QUERY 2 WRITE 1 ab", b"QUERY 2 WRITE 1 a\r"])
    async def test_a_request_that_was_cut_off_does_not_run(
        self, stack: WireStack, cut_off: bytes
    ) -> None:
        client = await WireClient.connect(stack.port, b"read_your_writes")
        await client.ask(b"1", b"READ 1")
        client.writer.write(cut_off)
        await client.writer.drain()
        client.writer.close()
        async with asyncio.timeout(LIMIT_S):
            while stack.frontend.connections:
                await asyncio.sleep(0.005)
        assert stack.endpoint.runs == [(b"1", b"READ 1")]

    async def test_requests_after_errors_get_their_own_answers(
        self, stack: WireStack
    ) -> None:
        client = await WireClient.connect(stack.port, b"read_your_writes")
        texts = [b"NONSENSE\nREADY I -", b"READ 1", b"EXECUTE a\nb 7", b"COMMIT", b""]
        texts += [b"AFTER 1.0 READ 1", b"READ 2"]
        for number, text in enumerate(texts):
            client.writer.write(b"QUERY %d %b\r\n" % (number, text))
        answers = [await client.answer() for _ in texts]
        codes = [answer[0].partition(b" ")[2].partition(b" ")[0] for answer in answers]
        assert codes[0] == codes[3] == codes[4] == codes[5] == b"MALFORMED"
        assert codes[2] == b"NOSTMT"
        assert answers[1][0] == b"ROW 1 1" and answers[6][0] == b"ROW 6 2"
        assert [len(answer) for answer in answers] == [2, 3, 2, 2, 2, 2, 3]
        client.writer.close()
