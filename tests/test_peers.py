"""Tests of the messages between proxies and their authentication."""

from __future__ import annotations

import msgspec
import pytest

from celeryjunction.peers import (
    MAX_HEARTBEAT_BYTES,
    BadMessage,
    Cancel,
    Done,
    Heartbeat,
    HeartbeatVerifier,
    Identity,
    PeerKeys,
    open_envelope,
    seal_heartbeat,
)
from celeryjunction.ports import Column, QueryResult

OLD, NEW, OTHER = ("o" * 32, "n" * 32, "x" * 32)
ME, PEER = Identity("vm-1", 10), Identity("vm-2", 20)


def reason(call, *arguments: object) -> str:
    with pytest.raises(BadMessage) as caught:
        call(*arguments)
    return str(caught.value)


class TestEnvelope:
    def test_rows_are_encoded_without_loss(self) -> None:
        column = Column(b"n\xff", 25, -1, -1)
        result = QueryResult("SELECT 1", (column,), [(None, b"\x00\xff")])
        done = Done(7, result, (2, 3), True)
        envelope = open_envelope(ME.seal(done))
        assert (envelope.vm, envelope.incarnation) == ("vm-1", 10)
        assert envelope.body == done

    def test_reasons_of_bad_messages(self) -> None:
        encode = msgspec.msgpack.encode
        assert reason(open_envelope, b"") == "malformed"
        assert reason(open_envelope, encode([1, "a", 1, ["read", 1]])) == "malformed"
        assert reason(open_envelope, encode([1, "a", 1, ["x", 1]])) == "unknown_type"
        for body in (["cancel", 1], ["x"], 5):
            assert reason(open_envelope, encode([2, "a", 1, body])) == "newer_version"
        for body in ([], {}, None, [[]], [{}]):
            assert reason(open_envelope, encode([1, "a", 1, body])) == "malformed"

    def test_appended_fields_are_ignored(self) -> None:
        # Guards against an outage while VMs of two versions run side by side.
        data = msgspec.msgpack.encode([1, "a", 1, ["cancel", 5, "new"], "new"])
        assert open_envelope(data).body == Cancel(5)

    def test_truncated_or_changed_messages_raise_no_other_error(self) -> None:
        # Guards against exceptions other than `BadMessage`, which would end the reader.
        data = ME.seal(Heartbeat("vm-2", 20, 1))
        variants = [data[:n] for n in range(len(data))]
        variants += [data[:n] + b"\xc1" + data[n + 1 :] for n in range(len(data))]
        variants += [b"\x91" * 5000]
        for variant in variants:
            try:
                open_envelope(variant)
            except BadMessage:
                continue


class TestHeartbeats:
    def verifier(self, *keys: str) -> HeartbeatVerifier:
        return HeartbeatVerifier(PeerKeys(keys), ME)

    def heartbeat(self, number: int = 1, *, key: str = OLD, sender=PEER, **to) -> bytes:
        to = {"to": ME.vm, "to_incarnation": ME.incarnation} | to
        return seal_heartbeat(PeerKeys((key,)), sender, Heartbeat(number=number, **to))

    def test_either_key_is_accepted(self) -> None:
        verifier = self.verifier(NEW, OLD)
        assert verifier.open(self.heartbeat(1, key=OLD)).vm == "vm-2"
        assert verifier.open(self.heartbeat(2, key=NEW)).body.number == 2
        assert reason(verifier.open, self.heartbeat(3, key=OTHER)) == "authentication"
        changed = self.heartbeat(4)[:-1] + b"\x01"
        assert reason(verifier.open, changed) == "authentication"

    def test_replayed_heartbeats_are_refused(self) -> None:
        # Guards against a recorded heartbeat that makes a dead VM look alive.
        verifier, first = self.verifier(OLD), self.heartbeat(5)
        verifier.open(first)
        for number in (5, 4):
            assert reason(verifier.open, self.heartbeat(number)) == "replayed"
        verifier.open(self.heartbeat(1, sender=Identity("vm-2", 21)))
        assert reason(verifier.open, self.heartbeat(9)) == "replayed"
        after_restart = HeartbeatVerifier(PeerKeys((OLD,)), Identity("vm-1", 11))
        assert reason(after_restart.open, first) == "foreign"

    def test_foreign_oversized_and_unexpected_heartbeats_are_refused(self) -> None:
        verifier = self.verifier(OLD)
        assert reason(verifier.open, self.heartbeat(to="vm-3")) == "foreign"
        assert reason(verifier.open, b"") == "authentication"
        assert reason(verifier.open, b"x" * (MAX_HEARTBEAT_BYTES + 1)) == "oversized"
        data = PEER.seal(Cancel(1))
        signed = PeerKeys((OLD,)).sign(b"celeryjunction heartbeat", data) + data
        assert reason(verifier.open, signed) == "unexpected"
