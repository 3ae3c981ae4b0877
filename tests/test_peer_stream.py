"""Tests of authenticated streams between proxies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _store_support import eventually

from celeryjunction.adapters import peer_stream
from celeryjunction.adapters.peer_stream import PeerListener, dial_peer
from celeryjunction.peers import (
    Cancel,
    Described,
    Identity,
    MessageTooLarge,
    PeerKeys,
    PeerLost,
    Refused,
)

OLD, NEW, OTHER = ("o" * 32, "n" * 32, "x" * 32)


class EchoListener:
    """Answers each `Cancel` with a `Refused` whose reason is `id` characters long."""

    def __init__(self, *keys: str) -> None:
        self.dropped: list[str] = []
        self.streams: list[object] = []
        self.listener = PeerListener(
            self.serve,
            identity=Identity("home", 1),
            keys=PeerKeys(keys),
            on_drop=self.dropped.append,
        )

    async def serve(self, stream) -> None:
        self.streams.append(stream)
        try:
            while True:
                message = await stream.receive()
                stream.send(Refused(message.id, "x" * message.id))
                await stream.flush()
        except PeerLost:
            pass

    async def dial(self, *keys: str, vm: str = "home", port: int = 0, dropped=None):
        return await dial_peer(
            "127.0.0.1",
            port or self.listener.port,
            vm,
            identity=Identity("entry", 2),
            keys=PeerKeys(keys),
            timeout=20.0,
            on_drop=(dropped if dropped is not None else []).append,
        )


@pytest.fixture
async def listener() -> AsyncIterator[EchoListener]:
    listener = EchoListener(NEW, OLD)
    await listener.listener.start("127.0.0.1", 0)
    yield listener
    await listener.listener.close()
    for stream in listener.streams:
        stream.close()


class RecordingRelay:
    """Forwards bytes to the listener and records what the dialling side sent.

    While `corrupting` is set, the last byte of each such chunk is changed.
    """

    def __init__(self, port: int) -> None:
        self.port, self.sent, self.corrupting = port, [], False
        self.tasks: list[asyncio.Task] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> int:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer) -> None:
        back, forth = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers += [writer, forth]
        self.tasks.append(asyncio.create_task(self.forward(back, writer, False)))
        await self.forward(reader, forth, True)

    async def forward(self, reader, writer, dialling: bool) -> None:
        while data := await reader.read(1 << 16):
            if dialling:
                self.sent.append(data)
                if self.corrupting:
                    data = data[:-1] + bytes([data[-1] ^ 1])
            writer.write(data)
        writer.close()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


class TestStreams:
    async def test_messages_in_both_directions(self, listener: EchoListener) -> None:
        # Covers messages of several frames, and a peer that still signs with the old
        # key during a key change.
        stream = await listener.dial(OLD, NEW)
        for size in (1, peer_stream.MAX_FRAME_BYTES + 5):
            stream.send(Cancel(size))
            answer = await stream.receive()
            assert (answer.id, len(answer.reason)) == (size, size)
        assert (stream.vm, stream.incarnation) == ("home", 1)
        assert listener.streams[0].vm == "entry" and listener.dropped == []
        stream.close()
        with pytest.raises(PeerLost):
            stream.send(Cancel(1))

    async def test_unknown_keys_and_names_are_refused(
        self, listener: EchoListener
    ) -> None:
        for keys, vm in (((OTHER,), "home"), ((OLD, NEW), "other")):
            with pytest.raises(PeerLost):
                await listener.dial(*keys, vm=vm)
        await eventually(lambda: len(listener.dropped) == 2)
        assert listener.dropped == ["authentication", "foreign"]
        assert listener.streams == []

    @pytest.mark.parametrize(
        ("data", "reason"),
        [
            (b"GET / HTTP/1.1\r\n\r\n", "oversized"),
            (b"\x00\x00\x00\x01x", "malformed"),
            (b"\x00\x00\x00\x20" + b"x" * 32, "authentication"),
        ],
    )
    async def test_malformed_input_ends_only_its_connection(
        self, listener: EchoListener, data: bytes, reason: str
    ) -> None:
        good = await listener.dial(OLD, NEW)
        _, writer = await asyncio.open_connection("127.0.0.1", listener.listener.port)
        writer.write(data)
        await eventually(lambda: listener.dropped == [reason])
        good.send(Cancel(1))
        assert (await good.receive()).id == 1
        good.close()
        writer.close()

    async def test_a_changed_frame_ends_its_connection(
        self, listener: EchoListener
    ) -> None:
        relay = RecordingRelay(listener.listener.port)
        stream = await listener.dial(OLD, NEW, port=await relay.start())
        stream.send(Cancel(1))
        await stream.receive()
        relay.corrupting = True
        stream.send(Cancel(2))
        with pytest.raises(PeerLost):
            await stream.receive()
        assert listener.dropped == ["authentication"]
        stream.close()
        relay.close()

    async def test_a_replayed_connection_does_nothing(
        self, listener: EchoListener
    ) -> None:
        # Guards against a recorded connection whose statements run a second time.
        relay = RecordingRelay(listener.listener.port)
        stream = await listener.dial(OLD, NEW, port=await relay.start())
        stream.send(Cancel(1))
        await stream.receive()
        _, writer = await asyncio.open_connection("127.0.0.1", listener.listener.port)
        writer.write(b"".join(relay.sent))
        await eventually(lambda: listener.dropped == ["authentication"])
        assert len(listener.streams) == 1
        stream.close()
        writer.close()
        relay.close()

    async def test_unusable_messages_are_dropped(
        self, listener: EchoListener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        dropped: list[str] = []
        stream = await listener.dial(OLD, NEW, dropped=dropped)
        await eventually(lambda: bool(listener.streams))
        served = listener.streams[0]
        served._writer.write(b"".join(served._split_frames(b"\x00")))
        served._identity = Identity("home", 9)
        served.send(Described(1, None))
        served._identity = Identity("home", 1)
        served.send(Described(2, None))
        assert await stream.receive() == Described(2, None)
        assert dropped == ["malformed", "foreign"]
        monkeypatch.setattr(peer_stream, "MAX_MESSAGE_BYTES", 100)
        with pytest.raises(MessageTooLarge):
            stream.send(Refused(1, "x" * 200))
        stream.close()
