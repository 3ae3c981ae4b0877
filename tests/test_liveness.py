"""Tests of failure detection by heartbeats, and of their transport."""

from __future__ import annotations

import asyncio
from random import Random

from _store_support import FakeTime, eventually

from celeryjunction.adapters import nng
from celeryjunction.adapters.nng import NngTransport
from celeryjunction.liveness import RANDOM_PEERS, SUSPECT_TIMEOUT_S, Liveness


class TestLiveness:
    def test_only_a_silent_peer_with_a_stream_is_suspected(self) -> None:
        time = FakeTime()
        liveness = Liveness(clock=time, random=Random(1))
        liveness.stream_opened("a")
        liveness.record_received("b")
        time.advance(SUSPECT_TIMEOUT_S + 0.1)
        assert liveness.is_suspected("a") and not liveness.is_suspected("b")
        liveness.record_received("a")
        assert not liveness.is_suspected("a")
        liveness.stream_opened("a")
        liveness.stream_closed("a")
        time.advance(SUSPECT_TIMEOUT_S + 0.1)
        assert liveness.is_suspected("a")
        liveness.stream_closed("a")
        assert not liveness.is_suspected("a")

    def test_silence_during_an_own_pause_is_no_suspicion(self) -> None:
        # Guards against a resumed process that suspects all its peers.
        time = FakeTime()
        liveness = Liveness(clock=time, random=Random(1))
        liveness.stream_opened("a")
        time.advance(30.0)
        assert liveness.is_suspected("a")
        liveness.heartbeat_targets({"a"})
        assert not liveness.is_suspected("a")
        for _ in range(5):
            time.advance(0.5)
            liveness.heartbeat_targets({"a"})
        assert liveness.is_suspected("a")

    def test_heartbeats_go_to_few_peers(self) -> None:
        # Guards against a full mesh of heartbeats between 2,300 VMs.
        liveness = Liveness(clock=FakeTime(), random=Random(1))
        vms = {f"vm-{i}" for i in range(2300)}
        liveness.stream_opened("vm-7")
        chosen = liveness.heartbeat_targets(vms)
        # Among many peers, one random peer is enough besides those with a stream.
        assert chosen[0] == "vm-7" and len(set(chosen)) == 2
        few = Liveness(clock=FakeTime(), random=Random(1)).heartbeat_targets(
            set(list(vms)[:10])
        )
        assert len(set(few)) == RANDOM_PEERS


class TestNngTransport:
    async def test_messages_arrive_despite_invalid_input(self) -> None:
        received: list[bytes] = []
        a, b = NngTransport(), NngTransport()
        b.start("127.0.0.1", 0, received.append)
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", b.port)
            writer.write(b"garbage" * 100)
            a.send("127.0.0.1", b.port, b"one")
            await eventually(lambda: received == [b"one"])
            a.send("127.0.0.1", b.port, b"x" * (nng.MAX_MESSAGE_BYTES + 1))

            def second_arrives() -> bool:
                a.send("127.0.0.1", b.port, b"two")
                return received[-1] == b"two"

            await eventually(second_arrives)
            assert set(received) == {b"one", b"two"}
            writer.close()
        finally:
            a.close()
            b.close()

    async def test_sending_without_a_receiver_never_blocks(self) -> None:
        transport = NngTransport()
        sent = [transport.send("127.0.0.1", 1, b"x") for _ in range(5)]
        assert sent == [True, False, False, False, False]
        for port in range(1, nng.MAX_PUSH_SOCKETS + 10):
            transport.send("127.0.0.1", port, b"x")
        assert len(transport._push_sockets) == nng.MAX_PUSH_SOCKETS
        transport.close()
