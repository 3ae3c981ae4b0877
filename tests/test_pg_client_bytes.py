"""Tests over bytes and chunks of what clients and endpoints may send."""

from __future__ import annotations

import asyncio
import struct
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from pg_mimic.stream import ConnectionClosed
from test_pg_server import FakeFactory, RawClient, packet, sqlstate

from celeryjunction.adapters import _pg_messages as pg
from celeryjunction.adapters._pg_stream import ClientStream, ConnectionFault
from celeryjunction.adapters.pg_server import PgFrontend

TAGS = b"QPBDECSHXdcf"
MAX_BYTES = 300

ODD_TEXT = st.text(
    st.sampled_from("a'\"\\\r\n\t\x00\x01\x1b\u2028\xe9\U0001f600"), max_size=12
)
ODD_BYTES = st.one_of(
    ODD_TEXT.map(str.encode),
    st.binary(max_size=12),
    st.lists(st.sampled_from([b"\0", b"\r\n", b"\xff", b"Q", b"\0\0\0\4"])).map(
        b"".join
    ),
)
NO_NUL = ODD_BYTES.map(lambda data: data.replace(b"\0", b""))


def frame(tag: bytes, body: bytes, length: int | None = None) -> bytes:
    size = len(body) + 4 if length is None else length
    return tag + struct.pack("!i", size) + body


def cut(data: bytes, places: list[int]) -> list[bytes]:
    ends = sorted({place % (len(data) + 1) for place in places} | {len(data)})
    return [data[a:b] for a, b in zip([0, *ends], ends, strict=False) if a < b]


class FakeTransport(asyncio.Transport):
    def pause_reading(self) -> None:
        """Input is fed by the test."""

    def resume_reading(self) -> None:
        """Input is fed by the test."""


async def read_all(chunks: list[bytes], *, startup: bool = False) -> list[object]:
    """Feed the chunks one at a time; return what was read, the error last."""
    stream = ClientStream(lambda _: None)
    stream.connection_made(FakeTransport())
    stream.accepted_tags, stream.max_message_bytes = TAGS, MAX_BYTES
    seen: list[object] = []

    async def read() -> None:
        try:
            if startup:
                seen.append(await stream.read_startup_packet())
            while True:
                seen.append(await stream.read_message())
        except ConnectionFault as fault:
            seen.append((type(fault).__name__, str(fault)))
        except ConnectionClosed:
            seen.append("closed")

    task = asyncio.create_task(read())
    for chunk in chunks:
        await asyncio.sleep(0)
        stream.data_received(chunk)
    for _ in range(3):
        await asyncio.sleep(0)
    stream.eof_received()
    await asyncio.wait_for(task, 5)
    return seen


FRAMES = st.lists(
    st.tuples(st.sampled_from([bytes([tag]) for tag in TAGS]), ODD_BYTES), max_size=6
)
PLACES = st.lists(st.integers(0, 400), max_size=12)


class TestFraming:
    @given(FRAMES, PLACES)
    @settings(deadline=None, derandomize=True, max_examples=150)
    def test_messages_do_not_depend_on_the_chunks(self, frames, places) -> None:
        data = b"".join(frame(tag, body) for tag, body in frames)
        assert asyncio.run(read_all(cut(data, places))) == [*frames, "closed"]

    @given(FRAMES, st.integers(-(2**31), 2**31 - 1), ODD_BYTES, PLACES)
    @settings(deadline=None, derandomize=True, max_examples=150)
    def test_a_wrong_length_ends_the_connection(
        self, frames, length, body, places
    ) -> None:
        data = b"".join(frame(*parts) for parts in frames)
        data += frame(b"Q", body, length)
        seen = asyncio.run(read_all(cut(data, places)))
        assert seen == asyncio.run(read_all([data]))
        assert seen[: len(frames)] == frames
        if not 4 <= length <= MAX_BYTES:
            assert seen[len(frames)][0] == "ConnectionFault"

    @given(st.integers(-(2**31), 2**31 - 1), ODD_BYTES, FRAMES, PLACES)
    @settings(deadline=None, derandomize=True, max_examples=150)
    def test_startup_packets_do_not_depend_on_the_chunks(
        self, code, body, frames, places
    ) -> None:
        packet = struct.pack("!ii", len(body) + 8, code) + body
        data = packet + b"".join(frame(*parts) for parts in frames)
        seen = asyncio.run(read_all(cut(data, places), startup=True))
        assert seen == [(code, body), *frames, "closed"]

    @given(st.binary(max_size=60), PLACES)
    @settings(deadline=None, derandomize=True, max_examples=200)
    def test_any_bytes_are_read_alike_in_any_chunks(self, data, places) -> None:
        for startup in (False, True):
            whole = asyncio.run(read_all([data], startup=startup))
            parts = asyncio.run(read_all(cut(data, places), startup=startup))
            assert whole == parts


PARSERS = {
    "query": pg.parse_query,
    "parse": pg.parse_parse,
    "bind": pg.parse_bind,
    "execute": pg.parse_execute,
    "target": pg.parse_target,
    "startup": pg.parse_startup,
}
REJECTED = (ValueError, IndexError, struct.error)


def encode(kind: str, parsed: object) -> bytes:
    """Build the body of a message from its fields."""
    match kind, parsed:
        case "query", sql:
            return sql.encode() + b"\0"
        case "target", (letter, name):
            return letter + name.encode() + b"\0"
        case "execute", (name, limit):
            return name.encode() + b"\0" + struct.pack("!i", limit)
        case "startup", fields:
            pairs = [f"{k}\0{v}\0".encode() for k, v in fields.items()]
            return b"".join(pairs) + b"\0"
        case "parse", fields:
            oids = fields.param_oids
            head = f"{fields.statement_name}\0{fields.sql}\0".encode()
            return head + struct.pack(f"!H{len(oids)}I", len(oids), *oids)
    name, statement, formats, params, results = parsed
    values = b"".join(
        struct.pack("!i", -1)
        if param is None
        else struct.pack("!i", len(param)) + param
        for param in params
    )
    return (
        f"{name}\0{statement}\0".encode()
        + struct.pack(f"!H{len(formats)}HH", len(formats), *formats, len(params))
        + values
        + struct.pack(f"!H{len(results)}H", len(results), *results)
    )


class TestBodies:
    @pytest.mark.parametrize("kind", PARSERS)
    @given(body=st.one_of(ODD_BYTES, st.lists(ODD_BYTES).map(b"\0".join)))
    @settings(deadline=None, derandomize=True, max_examples=400)
    def test_no_byte_is_dropped_silently(self, kind: str, body: bytes) -> None:
        try:
            parsed = PARSERS[kind](body)
        except REJECTED:
            return
        assert encode(kind, parsed) == body

    @given(NO_NUL, ODD_BYTES.filter(bool))
    @settings(deadline=None, derandomize=True, max_examples=100)
    def test_a_query_with_a_nul_inside_is_rejected(self, head, tail) -> None:
        with pytest.raises(ValueError):
            pg.parse_query(head + b"\0" + tail + b"\0")

    @given(NO_NUL, NO_NUL, st.lists(st.one_of(st.none(), ODD_BYTES), max_size=4))
    @settings(deadline=None, derandomize=True, max_examples=150)
    def test_parameters_pass_through_unchanged(self, name, statement, params) -> None:
        fields = [b"p" + name.hex().encode(), b"s" + statement.hex().encode()]
        body = encode(
            "bind", (fields[0].decode(), fields[1].decode(), (1,), params, ())
        )
        assert list(pg.parse_bind(body).params) == params

    @pytest.mark.parametrize("count", [0x8000, 0xFFFF])
    def test_a_parse_with_missing_types_is_rejected(self, count: int) -> None:
        body = b"\0select 1\0" + struct.pack("!H", count)
        with pytest.raises(REJECTED):
            pg.parse_parse(body)


def error_fields(data: bytes) -> dict[bytes, bytes]:
    """Split an ErrorResponse into its fields; the whole body must be used."""
    (size,) = struct.unpack("!i", data[1:5])
    assert data[:1] == b"E" and size == len(data) - 1
    body = data[5:]
    assert body.endswith(b"\0\0")
    parts = body[:-2].split(b"\0")
    fields = {part[:1]: part[1:] for part in parts}
    assert len(fields) == len(parts)
    return fields


class TestErrors:
    @given(st.dictionaries(st.sampled_from("CMDHPqWstcdnFLR"), ODD_TEXT, max_size=6))
    @settings(deadline=None, derandomize=True, max_examples=150)
    def test_odd_values_neither_cut_the_message_nor_add_fields(self, values) -> None:
        fields = error_fields(pg.make_error(values, severity="ERROR"))
        assert fields.keys() == {b"S", b"V"} | {code.encode() for code in values}
        for code, value in values.items():
            assert fields[code.encode()] == value.replace("\0", "").encode()

    @pytest.mark.parametrize("code", ["\0", "", "MM", "\u00e9"])
    def test_an_odd_code_adds_no_field(self, code: str) -> None:
        error = pg.make_error({"C": "XX000", code: "x", "M": "m"}, severity="ERROR")
        assert error_fields(error).keys() == {b"S", b"V", b"C", b"M"}


ODD_QUERIES = (
    "select 'a\nb'",
    "select 'a\r\nQ\x01\x1b[31m\u2028'",
    "select '\U0001f600\x7f'",
)


class TestClients:
    @pytest.mark.parametrize("seed", range(4))
    async def test_messages_in_pieces_reach_only_their_own_session(
        self, seed: int
    ) -> None:
        frontend = PgFrontend(FakeFactory(), host="127.0.0.1", port=0)
        await frontend.start()
        clients = [await RawClient.connect(frontend) for _ in range(3)]
        texts = [[f"{sql} -- {i}" for sql in ODD_QUERIES] for i in range(3)]
        random = Random(seed)
        pieces = [
            cut(
                b"".join(packet(b"Q", sql.encode() + b"\0") for sql in client_texts),
                [random.randrange(10_000) for _ in range(8)],
            )
            for client_texts in texts
        ]
        while any(pieces):
            index = random.choice([i for i in range(3) if pieces[i]])
            clients[index].writer.write(pieces[index].pop(0))
            await asyncio.sleep(0.001)
        for client in clients:
            for _ in ODD_QUERIES:
                await client.exchange(b"", until=b"Z")
            client.writer.close()
        assert [session.executed for session in frontend.factory.sessions] == texts
        await frontend.close()

    @pytest.mark.parametrize("tail", [b"x\0", b"\0", packet(b"Q", b"select 2\0")])
    async def test_a_query_with_a_nul_inside_runs_nothing(self, tail: bytes) -> None:
        frontend = PgFrontend(FakeFactory(), host="127.0.0.1", port=0)
        await frontend.start()
        client = await RawClient.connect(frontend)
        answers = await client.exchange(packet(b"Q", b"select 1\0" + tail), until=b"E")
        assert sqlstate(answers) == "08P01"
        assert frontend.factory.session.executed == []
        client.writer.close()
        await frontend.close()
