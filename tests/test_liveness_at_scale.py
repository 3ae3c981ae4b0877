"""Tests of the choice of heartbeat targets with many peers or many frames."""

from __future__ import annotations

from random import Random

from _store_support import FakeTime

from celeryjunction.liveness import HEARTBEAT_INTERVAL_S, SUSPECT_TIMEOUT_S, Liveness


class FakeStream:
    vm = "vm1"
    backlog = 0


def make_liveness(time: FakeTime) -> Liveness:
    return Liveness(clock=time, random=Random(1))


class TestHeartbeatsBesidesFrames:
    def test_a_frame_replaces_one_heartbeat_only(self) -> None:
        # Guards against 2 heartbeats a second to each of 2,000 busy peers, and against
        # a silence so long that the peer would suspect this VM.
        time = FakeTime()
        liveness = make_liveness(time)
        liveness.stream_opened("vm1")
        liveness.record_frame_sent(FakeStream())
        assert liveness.heartbeat_targets(["vm1"]) == []
        time.advance(HEARTBEAT_INTERVAL_S)
        assert liveness.heartbeat_targets(["vm1"]) == ["vm1"]
        assert 2 * HEARTBEAT_INTERVAL_S < SUSPECT_TIMEOUT_S / 1.5

    def test_a_frame_behind_a_large_backlog_replaces_none(self) -> None:
        # Guards against suspicion while a large answer is being sent.
        liveness, stream = make_liveness(FakeTime()), FakeStream()
        stream.backlog = 1 << 20
        liveness.stream_opened("vm1")
        liveness.record_frame_sent(stream)
        assert liveness.heartbeat_targets(["vm1"]) == ["vm1"]

    def test_a_leaving_vm_sends_to_all_peers_with_a_stream(self) -> None:
        # Guards against busy peers that do not learn that the VM is leaving.
        liveness = make_liveness(FakeTime())
        liveness.stream_opened("vm1")
        liveness.record_frame_sent(FakeStream())
        assert liveness.heartbeat_targets(["vm1"], all_streams=True) == ["vm1"]


class TestRandomPeers:
    def test_among_many_peers_one_random_peer_gets_a_heartbeat(self) -> None:
        # Guards against 3 new connections every 0.5 s on each of thousands of VMs.
        liveness = make_liveness(FakeTime())
        assert len(liveness.heartbeat_targets([f"vm{n}" for n in range(20)])) == 3
        assert len(liveness.heartbeat_targets([f"vm{n}" for n in range(21)])) == 1
