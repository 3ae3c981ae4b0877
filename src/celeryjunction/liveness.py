"""Failure detection of peers, and the choice of peers that get heartbeats.

In a full mesh of 2,300 VMs, each VM would send and receive 4,600 heartbeats a second.
Heartbeats therefore go only to peers with an open stream, over which statements are
exchanged, and to a few random other peers, which keeps the list of VMs alive while the
key-value service is unavailable. A frame on a stream shows that its sender is alive as
well, so a peer that was sent a frame since the last round gets no heartbeat; with
streams to 2,000 peers these heartbeats would take 4 cores. Only a peer with a stream is
expected to send regularly, so only such a peer can be suspected.
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
"""With this many bytes queued on a stream, a frame does not replace a heartbeat, since
its arrival may be delayed."""
RANDOM_PEERS = 3
SMALL_NETWORK_PEERS = 20
"""With more peers, only one random peer gets a heartbeat instead of `RANDOM_PEERS`.
Sending and receiving a heartbeat costs 1.0 ms of processor time, and three of them keep
the list of VMs alive only when it is short."""


class Liveness:
    """Records when peers were last heard from. Times are monotonic seconds."""

    __slots__ = (
        "_clock",
        "_frame_sent_to",
        "_last_heard_at",
        "_last_selection_at",
        "_random",
        "_stream_counts",
    )

    def __init__(self, *, clock: Clock, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._last_heard_at: dict[str, float] = {}
        self._frame_sent_to: set[str] = set()
        self._stream_counts: Counter[str] = Counter()
        self._last_selection_at = clock.monotonic()

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "streams", dict(self._stream_counts)

    def stream_opened(self, vm: str) -> None:
        """Record a new stream to or from a peer, which also counts as heard from."""
        self._stream_counts[vm] += 1
        self.record_received(vm)

    def stream_closed(self, vm: str) -> None:
        """Record the end of a stream."""
        self._stream_counts[vm] -= 1
        if self._stream_counts[vm] <= 0:
            del self._stream_counts[vm]

    def record_received(self, vm: str) -> None:
        """Record that a message or frame of a peer arrived now."""
        self._last_heard_at[vm] = self._clock.monotonic()

    def record_frame_sent(self, stream: PeerStream) -> None:
        """Record that a frame was sent, unless its arrival may be delayed."""
        if stream.backlog < MAX_BACKLOG_BYTES:
            self._frame_sent_to.add(stream.vm)

    def is_suspected(self, vm: str) -> bool:
        """Whether a peer with a stream was silent for over `SUSPECT_TIMEOUT_S`."""
        if vm not in self._stream_counts:
            return False
        return self._clock.monotonic() - self._last_heard_at[vm] > SUSPECT_TIMEOUT_S

    def seconds_since_heard(self) -> dict[str, float]:
        """Return the seconds since each peer was last heard from."""
        now = self._clock.monotonic()
        return {vm: round(now - at, 3) for vm, at in self._last_heard_at.items()}

    def heartbeat_targets(
        self, peers: Iterable[str], *, all_streams: bool = False
    ) -> list[str]:
        """Return the peers to send a heartbeat to; call every `HEARTBEAT_INTERVAL_S`.

        With `all_streams`, peers that were sent a frame are included, because only a
        heartbeat announces that this VM is leaving.

        A late call means that this process was paused. Silence during a pause proves
        nothing, so all peers get the full timeout again.
        """
        now = self._clock.monotonic()
        if now - self._last_selection_at > SUSPECT_TIMEOUT_S / 2:
            self._last_heard_at = dict.fromkeys(self._last_heard_at, now)
        self._last_selection_at = now
        current = set(peers)
        for vm in [
            v
            for v in self._last_heard_at
            if v not in current and v not in self._stream_counts
        ]:
            del self._last_heard_at[vm]
        others = sorted(current - self._stream_counts.keys())
        random_count = RANDOM_PEERS if len(current) <= SMALL_NETWORK_PEERS else 1
        chosen = self._random.sample(others, min(random_count, len(others)))
        due = current & self._stream_counts.keys()
        if not all_streams:
            due -= self._frame_sent_to
        self._frame_sent_to.clear()
        return [*due, *chosen]
