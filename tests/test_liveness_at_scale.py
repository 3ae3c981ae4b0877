"""Tests of which peers get heartbeats when there are many peers or many frames."""

from __future__ import annotations

from random import Random

from _store_support import FakeTime

from celeryjunction.liveness import HEARTBEAT_INTERVAL_S, SUSPECT_TIMEOUT_S, Liveness


class Stream:
    vm = "vm1"
    backlog = 0


def liveness(time: FakeTime) -> Liveness:
    return Liveness(clock=time, random=Random(1))


class TestHeartbeatsBesidesFrames:
    def test_a_frame_stands_for_one_heartbeat_only(self) -> None:
        # Guards against 2 heartbeats a second to each of 2,000 busy peers, and
        # against a silence that the peer would take for a fault.
        time = FakeTime()
        one = liveness(time)
        one.stream_opened("vm1")
        one.record_frame_sent(Stream())
        assert one.heartbeat_targets(["vm1"]) == []
        time.advance(HEARTBEAT_INTERVAL_S)
        assert one.heartbeat_targets(["vm1"]) == ["vm1"]
        assert 2 * HEARTBEAT_INTERVAL_S < SUSPECT_TIMEOUT_S / 1.5

    def test_a_frame_behind_many_bytes_does_not_count(self) -> None:
        # Guards against suspicion while a large answer is on its way.
        one, stream = liveness(FakeTime()), Stream()
        stream.backlog = 1 << 20
        one.stream_opened("vm1")
        one.record_frame_sent(stream)
        assert one.heartbeat_targets(["vm1"]) == ["vm1"]

    def test_a_leaving_vm_tells_all_peers_with_a_stream(self) -> None:
        # Guards against a leaving VM whose busy peers do not hear of it.
        one = liveness(FakeTime())
        one.stream_opened("vm1")
        one.record_frame_sent(Stream())
        assert one.heartbeat_targets(["vm1"], all_streams=True) == ["vm1"]


class TestRandomPeers:
    def test_with_many_peers_one_gets_a_heartbeat(self) -> None:
        # Guards against 3 connections opened every 0.5 s among thousands of VMs.
        one = liveness(FakeTime())
        assert len(one.heartbeat_targets([f"vm{n}" for n in range(20)])) == 3
        assert len(one.heartbeat_targets([f"vm{n}" for n in range(21)])) == 1
