"""Frames between VMs: any bytes, cut anywhere, and sizes beyond the limit."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from replicated_fakes import FakeLink
from test_line_stream import cut
from test_relay import LIMIT_S, Site, kind_of

from celeryjunction.adapters.frame_stream import MAX_FRAME_BYTES, FrameStream
from celeryjunction.gateway.session import SessionState
from celeryjunction.gateway.statements import (
    Execute,
    Prepare,
    Read,
    Request,
    SetParameter,
    Write,
)
from celeryjunction.relay.messages import (
    Outcome,
    RunStatement,
    decode_from_home,
    decode_to_home,
    encode,
)
from celeryjunction.replication.ports import Answer, Command, Fault, TransactionState

BYTES = st.binary(max_size=12) | st.sampled_from([b"", b"\r", b"\n", b"\0", b"'\"\\"])
NAMES = st.text(st.characters(exclude_categories=["Cs"]), max_size=8)
STATEMENTS = (
    st.just(Read())
    | st.builds(SetParameter, BYTES, BYTES)
    | st.builds(Prepare, BYTES, st.booleans(), BYTES)
    | st.builds(Execute, BYTES, BYTES)
)
REQUESTS = st.builds(Request, BYTES, BYTES, STATEMENTS, st.just(1.5))
STATES = st.builds(
    SessionState,
    st.dictionaries(BYTES, BYTES, max_size=3),
    st.dictionaries(BYTES, st.builds(Prepare, BYTES, st.booleans(), BYTES), max_size=3),
)
COUNTS = st.integers(0, 2**40)
ANSWERS = st.builds(
    Answer,
    st.lists(BYTES, max_size=3).map(tuple),
    BYTES,
    st.sampled_from(TransactionState),
    st.none(),
    st.none() | st.sampled_from(Fault),
    NAMES,
)


class _Transport:
    def __init__(self) -> None:
        self.is_aborted = False

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        self.is_aborted = True

    def write(self, data: bytes) -> None:
        self.written = getattr(self, "written", b"") + data


def written_frames(frames: list[bytes]) -> bytes:
    """Return the bytes that a stream writes for frames."""
    stream, transport = FrameStream(), _Transport()
    stream.connection_made(transport)
    for frame in frames:
        stream.write_frame(frame)
    return getattr(transport, "written", b"")


def read_frames(chunks: list[bytes]) -> tuple[list[bytes], bool]:
    """Return the frames of a stream, and whether it aborted the connection."""
    stream, transport = FrameStream(), _Transport()
    stream.connection_made(transport)
    for chunk in chunks:
        stream.data_received(chunk)
    frames = []
    while (frame := stream.take_line()) is not None:
        frames.append(frame)
    return frames, transport.is_aborted


class TestFrames:
    @given(st.lists(BYTES, max_size=8), st.lists(st.integers(0, 10_000), max_size=8))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_frames_do_not_depend_on_the_chunks(
        self, frames: list[bytes], places: list[int]
    ) -> None:
        data = written_frames(frames)
        assert read_frames(cut(data, places)) == (frames, False)

    @given(st.lists(BYTES, max_size=4), st.integers(1, 2**32 - 1 - MAX_FRAME_BYTES))
    @settings(max_examples=50, deadline=None, derandomize=True)
    def test_nothing_is_read_after_a_frame_beyond_the_limit(
        self, frames: list[bytes], excess: int
    ) -> None:
        header = (MAX_FRAME_BYTES + excess).to_bytes(4, "big")
        data = written_frames(frames) + header
        follows = written_frames([b"x"])
        assert read_frames([data, follows, follows]) == (frames, True)

    @given(st.builds(RunStatement, COUNTS, COUNTS, NAMES, REQUESTS, st.none() | STATES))
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_a_statement_arrives_unchanged(self, message: RunStatement) -> None:
        assert decode_to_home(encode(message)) == message

    @given(
        st.builds(Outcome, COUNTS, st.sampled_from(TransactionState), answer=ANSWERS)
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_an_outcome_arrives_unchanged(self, message: Outcome) -> None:
        assert decode_from_home(encode(message)) == message


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    site = Site()
    await site.start()
    yield site
    await site.close()


class TestLargeMessages:
    async def test_a_large_session_state_harms_no_other_session(
        self, site: Site
    ) -> None:
        """Guards against one client whose values break the connections to all homes."""
        slow = asyncio.create_task(site.run(site.session(), Read()))
        large = site.session()
        for number in range(5):
            name = b"v%d" % number
            await site.run(large, SetParameter(name, b"x" * (1 << 20)))
        answer = await site.run(large, Write())
        assert answer.fault is None
        assert (await slow).fault is None
        assert [link.epoch for link in site.links] == [1, 1]

    async def test_a_large_answer_harms_no_other_session(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against rows of one client that break the connection to a home."""
        relay = FakeLink._relay

        async def answer_largely(link: FakeLink, command: Command) -> Answer:
            answer = await relay(link, command)
            is_large = getattr(command, "text", b"") == b"READ 1"
            return answer._replace(rows=(b"x" * (1 << 20),) * 5) if is_large else answer

        monkeypatch.setattr(FakeLink, "_relay", answer_largely)
        reading = asyncio.create_task(kind_of(site.run(site.session(), Read())))
        writing = asyncio.create_task(site.run(site.session(), Write()))
        async with asyncio.timeout(LIMIT_S):
            assert await reading is None
            assert (await writing).fault is None
        assert [link.epoch for link in site.links] == [1, 1]
