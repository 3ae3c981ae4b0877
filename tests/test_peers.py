"""Tests of the messages between proxies and of their authentication."""

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
    def test_rows_cross_unchanged(self) -> None:
        column = Column(b"n\xff", 25, -1, -1)
        result = QueryResult("SELECT 1", (column,), [(None, b"\x00\xff")])
        done = Done(7, result, (2, 3), True)
        envelope = open_envelope(ME.seal(done))
        assert (envelope.vm, envelope.incarnation) == ("vm-1", 10)
        assert envelope.body == done

    def test_bad_messages_are_told_apart(self) -> None:
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

    def test_every_cut_and_changed_message_is_refused_or_valid(self) -> None:
        # Guards against an exception of another kind, which would end the reader.
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
    def check(self, *keys: str) -> HeartbeatVerifier:
        return HeartbeatVerifier(PeerKeys(keys), ME)

    def beat(self, number: int = 1, *, key: str = OLD, sender=PEER, **to) -> bytes:
        to = {"to": ME.vm, "to_incarnation": ME.incarnation} | to
        return seal_heartbeat(PeerKeys((key,)), sender, Heartbeat(number=number, **to))

    def test_either_key_is_accepted(self) -> None:
        check = self.check(NEW, OLD)
        assert check.open(self.beat(1, key=OLD)).vm == "vm-2"
        assert check.open(self.beat(2, key=NEW)).body.number == 2
        assert reason(check.open, self.beat(3, key=OTHER)) == "authentication"
        changed = self.beat(4)[:-1] + b"\x01"
        assert reason(check.open, changed) == "authentication"

    def test_replayed_ones_are_refused(self) -> None:
        # Guards against a recorded heartbeat that keeps a dead VM alive.
        check, first = self.check(OLD), self.beat(5)
        check.open(first)
        for number in (5, 4):
            assert reason(check.open, self.beat(number)) == "replayed"
        check.open(self.beat(1, sender=Identity("vm-2", 21)))
        assert reason(check.open, self.beat(9)) == "replayed"
        after_restart = HeartbeatVerifier(PeerKeys((OLD,)), Identity("vm-1", 11))
        assert reason(after_restart.open, first) == "foreign"

    def test_others_are_refused(self) -> None:
        check = self.check(OLD)
        assert reason(check.open, self.beat(to="vm-3")) == "foreign"
        assert reason(check.open, b"") == "authentication"
        assert reason(check.open, b"x" * (MAX_HEARTBEAT_BYTES + 1)) == "oversized"
        data = PEER.seal(Cancel(1))
        signed = PeerKeys((OLD,)).sign(b"celeryjunction heartbeat", data) + data
        assert reason(check.open, signed) == "unexpected"
