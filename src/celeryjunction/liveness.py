"""Which peers are heard, and to which ones heartbeats go.

A full mesh of heartbeats would cost a node of 2,300 some 4,600 messages a second each
way. So heartbeats go only to peers with an open stream, over which statements are
exchanged, and to a few random others, which keeps the list of VMs alive while the
key-value service is out. Frames of a stream count as heard too, so a peer to which a
frame went since the last heartbeats gets none; with streams to 2,000 peers they would
take 4 cores. Only a peer with a
stream is expected to be heard, and so only such a peer can be suspected.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from random import Random

from celeryjunction.peers import PeerStream
from celeryjunction.ports import Clock

HEARTBEAT_INTERVAL_S = 0.5
SUSPECT_TIMEOUT_S = 2.0
MAX_BACKLOG_BYTES = 64 << 10
"""With more bytes waiting on a stream, a frame does not stand for a heartbeat."""
RANDOM_PEERS = 3
FEW_PEERS = 20
"""With more peers only one random one gets a heartbeat: sending and receiving one costs
1.0 ms of processor time, and three keep only a list of few peers alive."""


class Liveness:
    """What was heard of each peer. Times are monotonic seconds."""

    __slots__ = ("_clock", "_heard", "_random", "_sent", "_streams", "_ticked")

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._heard: dict[str, float] = {}
        self._sent: set[str] = set()
        self._streams: Counter[str] = Counter()
        self._ticked = clock.monotonic()

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "streams", dict(self._streams)

    def stream_opened(self, vm: str) -> None:
        """Note a new stream to or from a peer, which has just been heard."""
        self._streams[vm] += 1
        self.record_received(vm)

    def stream_closed(self, vm: str) -> None:
        """Note the end of a stream."""
        self._streams[vm] -= 1
        if self._streams[vm] <= 0:
            del self._streams[vm]

    def record_received(self, vm: str) -> None:
        """Note that a peer was heard just now."""
        self._heard[vm] = self._clock.monotonic()

    def record_frame_sent(self, stream: PeerStream) -> None:
        """Note that a frame was sent, unless it may take long to arrive."""
        if stream.backlog < MAX_BACKLOG_BYTES:
            self._sent.add(stream.vm)

    def is_suspected(self, vm: str) -> bool:
        """Whether a peer that should be heard was silent for `SUSPECT_TIMEOUT_S`."""
        if vm not in self._streams:
            return False
        return self._clock.monotonic() - self._heard[vm] > SUSPECT_TIMEOUT_S

    def seconds_since_heard(self) -> dict[str, float]:
        """Return the seconds since each peer was heard."""
        now = self._clock.monotonic()
        return {vm: round(now - at, 3) for vm, at in self._heard.items()}

    def heartbeat_targets(
        self, peers: Iterable[str], *, all_streams: bool = False
    ) -> list[str]:
        """Return the peers that get a heartbeat, every `HEARTBEAT_INTERVAL_S`.

        With `all_streams` also those that a frame was sent to, because only a
        heartbeat tells that this VM leaves.

        A late call means that this process was paused. Silence proves nothing then,
        so all peers get the full time again.
        """
        now = self._clock.monotonic()
        if now - self._ticked > SUSPECT_TIMEOUT_S / 2:
            self._heard = dict.fromkeys(self._heard, now)
        self._ticked = now
        known = set(peers)
        for vm in [v for v in self._heard if v not in known and v not in self._streams]:
            del self._heard[vm]
        others = sorted(known - self._streams.keys())
        wanted = RANDOM_PEERS if len(known) <= FEW_PEERS else 1
        chosen = self._random.sample(others, min(wanted, len(others)))
        due = known & self._streams.keys()
        if not all_streams:
            due -= self._sent
        self._sent.clear()
        return [*due, *chosen]
