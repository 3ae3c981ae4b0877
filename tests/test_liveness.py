"""Tests of heartbeats, of their transport and of the links that they watch."""

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
        one = Liveness(clock=time, random=Random(1))
        one.stream_opened("a")
        one.record_received("b")
        time.advance(SUSPECT_TIMEOUT_S + 0.1)
        assert one.is_suspected("a") and not one.is_suspected("b")
        one.record_received("a")
        assert not one.is_suspected("a")
        one.stream_opened("a")
        one.stream_closed("a")
        time.advance(SUSPECT_TIMEOUT_S + 0.1)
        assert one.is_suspected("a")
        one.stream_closed("a")
        assert not one.is_suspected("a")

    def test_an_own_pause_proves_nothing(self) -> None:
        # Guards against a resumed proxy that takes all its peers for dead.
        time = FakeTime()
        one = Liveness(clock=time, random=Random(1))
        one.stream_opened("a")
        time.advance(30.0)
        assert one.is_suspected("a")
        one.heartbeat_targets({"a"})
        assert not one.is_suspected("a")
        for _ in range(5):
            time.advance(0.5)
            one.heartbeat_targets({"a"})
        assert one.is_suspected("a")

    def test_heartbeats_go_to_few(self) -> None:
        # Guards against a full mesh of heartbeats between 2,300 VMs.
        one = Liveness(clock=FakeTime(), random=Random(1))
        vms = {f"vm-{i}" for i in range(2300)}
        one.stream_opened("vm-7")
        chosen = one.heartbeat_targets(vms)
        # With so many peers one random one is enough besides those with a stream.
        assert chosen[0] == "vm-7" and len(set(chosen)) == 2
        few = Liveness(clock=FakeTime(), random=Random(1)).heartbeat_targets(
            set(list(vms)[:10])
        )
        assert len(set(few)) == RANDOM_PEERS


class TestNngTransport:
    async def test_messages_arrive_and_garbage_harms_nothing(self) -> None:
        got: list[bytes] = []
        a, b = NngTransport(), NngTransport()
        b.start("127.0.0.1", 0, got.append)
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", b.port)
            writer.write(b"garbage" * 100)
            a.send("127.0.0.1", b.port, b"one")
            await eventually(lambda: got == [b"one"])
            a.send("127.0.0.1", b.port, b"x" * (nng.MAX_MESSAGE_BYTES + 1))

            def again() -> bool:
                a.send("127.0.0.1", b.port, b"two")
                return got[-1] == b"two"

            await eventually(again)
            assert set(got) == {b"one", b"two"}
            writer.close()
        finally:
            a.close()
            b.close()

    async def test_sending_to_nobody_never_blocks(self) -> None:
        one = NngTransport()
        sent = [one.send("127.0.0.1", 1, b"x") for _ in range(5)]
        assert sent == [True, False, False, False, False]
        for port in range(1, nng.MAX_PUSH_SOCKETS + 10):
            one.send("127.0.0.1", port, b"x")
        assert len(one._push) == nng.MAX_PUSH_SOCKETS
        one.close()
