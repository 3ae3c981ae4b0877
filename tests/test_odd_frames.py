"""Frames of other VMs that can't be decoded or hold numbers out of range."""

from __future__ import annotations

import asyncio
import math
from random import Random

import msgspec
import pytest
from _odd_values import DEPTHS, NOISE_BYTES
from replicated_fakes import FakeCluster
from test_odd_entries import is_short_and_printable
from test_relay import Vm

from celeryjunction.adapters.frame_stream import FrameStream
from celeryjunction.decoding import DecodingError
from celeryjunction.ports import BootClock
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.messages import (
    AskHomeStatus,
    HomeStatus,
    decode_from_home,
    decode_to_home,
    encode,
)

LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""
ODD_FRAMES = {
    "empty": b"",
    "noise": b"\xc1\xff\x00" * (NOISE_BYTES // 3),
    "no UTF-8": b"\x91\xa3\xff\xfe\xff",
    "null": b"\xc0",
    "cut off": b"\x95\xa5pulse",
    "no tag": b"\x90",
    "unknown tag": b"\x91\xa3odd",
    **{
        f"{tag} in {depth} levels": b"\xdc\x00\x20" + msgspec.msgpack.encode(tag) + deep
        for tag in ("run", "ask", "pulse", "endpoints", "outcome")
        for depth in DEPTHS
        for deep in (b"\x91" * depth + b"\x00" + b"\x00" * 30,)
    },
}
INFO = ("a1", "g", "10.0.0.1", 8080, "a", 3, False, 17)
FIELDS = ("id", "group", "host", "port", "zone", "slots", "draining", "started_ms")


def endpoints_frame(version: object = 1, revision: object = 1, **changes) -> bytes:
    info = dict(zip(FIELDS, INFO, strict=True)) | changes
    return msgspec.msgpack.encode(("endpoints", version, [info], revision))


def status_frame(**changes: object) -> bytes:
    fields = {
        "served": ["g"],
        "isolated": False,
        "leaving": False,
        "routes_version": 1,
        "endpoints_version": 1,
        "endpoints_age_s": 0.5,
        "reached": [],
        "routes_age_s": 0.5,
    }
    return msgspec.msgpack.encode(("pulse", *(fields | changes).values()))


OUT_OF_RANGE = {
    **{
        f"{field} {value}": endpoints_frame(**{field: value})
        for field, value in (
            ("port", 0),
            ("port", 65_536),
            ("port", 2**64 - 1),
            ("slots", 0),
            ("slots", 2**63),
            ("started_ms", -1),
            ("started_ms", 2**64 - 1),
            ("version", -1),
            ("revision", -1),
            ("revision", 2**64 - 1),
        )
    },
    **{
        f"{field} {value}": status_frame(**{field: value})
        for field, value in (
            ("routes_version", -1),
            ("routes_version", 2**64 - 1),
            ("endpoints_version", -1),
            ("endpoints_age_s", -1.0),
            ("endpoints_age_s", math.nan),
            ("endpoints_age_s", math.inf),
            ("routes_age_s", -1.0),
            ("routes_age_s", math.inf),
        )
    },
}


class TestDecoding:
    @pytest.mark.parametrize("kind", ODD_FRAMES)
    def test_an_odd_frame_gives_a_short_reason(self, kind: str) -> None:
        for decode_frame in (decode_to_home, decode_from_home):
            with pytest.raises(DecodingError) as caught:
                decode_frame(ODD_FRAMES[kind])
            assert is_short_and_printable(str(caught.value))

    @pytest.mark.parametrize("kind", OUT_OF_RANGE)
    def test_a_number_out_of_range_is_refused(self, kind: str) -> None:
        with pytest.raises(DecodingError):
            decode_from_home(OUT_OF_RANGE[kind])

    def test_frames_within_range_are_decoded(self) -> None:
        assert decode_from_home(endpoints_frame()).endpoints[0].port == 8080
        assert decode_from_home(status_frame()).endpoints_age_s == 0.5
        assert decode_from_home(status_frame()).routes_age_s == 0.5


class TestHomeServer:
    @pytest.mark.parametrize("kind", ODD_FRAMES)
    async def test_it_goes_on_with_the_frames_that_follow(self, kind: str) -> None:
        vm = Vm("home", FakeCluster())
        await vm.start()
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(FrameStream, "127.0.0.1", vm.port)
        stream.write_frame(ODD_FRAMES[kind])
        stream.write_frame(encode(AskHomeStatus()))
        async with asyncio.timeout(LIMIT_S):
            frame = await stream.read_frame()
        assert frame is not None and isinstance(decode_from_home(frame), HomeStatus)
        stream.abort()
        await vm.server.close()


class OddHome:
    """Sends one odd frame on its first connection, and a status on each."""

    def __init__(self, frame: bytes) -> None:
        self._frame = frame
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def connections(self) -> int:
        """Connections opened so far."""
        return len(self._writers)

    async def serve(
        self, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        frames = [self._frame] if self.connections == 1 else []
        for frame in (*frames, status_frame()):
            writer.write(len(frame).to_bytes(4, "big") + frame)
        await writer.drain()

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


class TestHomeLink:
    @pytest.mark.parametrize("kind", [*ODD_FRAMES, *OUT_OF_RANGE])
    async def test_it_connects_again_after_an_odd_frame(self, kind: str) -> None:
        home = OddHome((ODD_FRAMES | OUT_OF_RANGE)[kind])
        server = await asyncio.start_server(home.serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        link = HomeLink("home", address, random=Random(1), clock=BootClock())
        async with asyncio.timeout(LIMIT_S):
            while home.connections < 2 or not link.usable:
                await asyncio.sleep(0.01)
        link.close()
        home.close()
        server.close()
        await asyncio.sleep(0.01)

    @pytest.mark.parametrize("host", ["a" * 70, "a..b", "\u00e9" * 80, "a b"])
    async def test_a_host_that_has_no_address_is_tried_again(self, host: str) -> None:
        link = HomeLink("home", (host, 7000), random=Random(1), clock=BootClock())
        await asyncio.sleep(0.3)
        assert not link._task.done()
        link.close()
