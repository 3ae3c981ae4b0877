"""Injected faults and call counts of the key-value service's stand-in."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from grpc import StatusCode

from celeryjunction.ports import Clock
from celeryjunction.standin._versions import RequestError

UNAVAILABLE = "unavailable"
HANG = "hang"
_MODES = (UNAVAILABLE, HANG)
_RATE_WINDOW_S = 5
_MAX_CLIENTS = 10_000


class Client(NamedTuple):
    """Client of a call, from the metadata ``client-name`` and ``client-zone``."""

    name: str
    zone: str


def client_of(context: object) -> Client:
    """Return the client of a gRPC call, named by its peer address if it has no name."""
    metadata = dict(context.invocation_metadata() or ())
    name = metadata.get("client-name") or context.peer()
    return Client(name, metadata.get("client-zone", ""))


class Faults:
    """The active faults and their effect on calls.

    `on_fault` callbacks run when an outage or a zone block starts. `slow_s` delays each
    call and each delivery to a watch.
    """

    __slots__ = (
        "_blocked",
        "_cleared",
        "_delay_count",
        "_delayed_changes",
        "_heal_timer",
        "_lose_count",
        "_lose_mode",
        "_lose_probability",
        "_random",
        "mode",
        "on_fault",
        "silent_watches",
        "slow_s",
    )

    def __init__(self) -> None:
        self.mode: str | None = None
        self.silent_watches = False
        self.slow_s = 0.0
        self.on_fault: set[Callable[[], None]] = set()
        self._blocked: set[str] = set()
        self._cleared = asyncio.Event()
        self._cleared.set()
        self._heal_timer: asyncio.TimerHandle | None = None
        self._delayed_changes: list[Callable[[], object]] = []
        self._lose_count = 0
        self._lose_mode = UNAVAILABLE
        self._lose_probability = 0.0
        self._random = Random(0)
        self._delay_count = 0

    def outage(self, seconds: float | None, *, mode: str, watches: str) -> None:
        """Start an outage; see `RunningStore.outage`."""
        if mode not in _MODES or watches not in ("break", "silent"):
            raise ValueError(f"unknown mode {mode!r} or watches {watches!r}")
        self.heal()
        self.mode = mode
        self.silent_watches = watches == "silent"
        self._cleared.clear()
        if seconds is not None:
            loop = asyncio.get_running_loop()
            self._heal_timer = loop.call_later(seconds, self.heal)
        for callback in tuple(self.on_fault):
            callback()

    def heal(self) -> None:
        """End the outage and the zone blocks; see `RunningStore.heal`."""
        if self._heal_timer is not None:
            self._heal_timer.cancel()
            self._heal_timer = None
        self.mode = None
        self.silent_watches = False
        self._blocked.clear()
        self._cleared.set()

    def block(self, zone: str) -> None:
        """Make calls from a zone hang until `heal`."""
        self._blocked.add(zone)
        self._cleared.clear()
        for callback in tuple(self.on_fault):
            callback()

    def lose_answers(
        self, *, count: int, probability: float, seed: int, mode: str
    ) -> None:
        """Set which changes lose their response; see `RunningStore.lose_answers`."""
        if mode not in _MODES:
            raise ValueError(f"unknown mode {mode!r}")
        self._lose_count = count
        self._lose_probability = probability
        self._lose_mode = mode
        self._random = Random(seed)

    def delay_changes(self, count: int) -> None:
        """Set how many of the next changes are delayed until `release_changes`."""
        self._delay_count = count

    def release_changes(self) -> int:
        """Apply the delayed changes in order; returns their number."""
        delayed_changes, self._delayed_changes = self._delayed_changes, []
        for apply in delayed_changes:
            # A change that has become invalid is dropped: its call failed long ago.
            with contextlib.suppress(RequestError):
                apply()
        return len(delayed_changes)

    def affects(self, client: Client) -> bool:
        """Return whether an outage or a zone block affects the client."""
        return self.mode is not None or client.zone in self._blocked

    def breaks_watches(self, client: Client) -> bool:
        """Return whether an outage breaks watches; zone blocks do not."""
        return self.mode is not None and not self.silent_watches

    async def apply_before_call(self, client: Client) -> None:
        """Delay, hang or fail a call according to the active faults."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.mode == UNAVAILABLE:
            raise RequestError(StatusCode.UNAVAILABLE, "outage")
        await self.wait_until_unaffected(client)

    async def wait_until_unaffected(self, client: Client) -> None:
        """Wait until no outage or block affects the client."""
        while self.affects(client):
            await self._cleared.wait()

    def delay_if_requested(self, apply: Callable[[], object]) -> bool:
        """Keep a change for `release_changes` if it is to be delayed.

        Returns whether the change was kept.
        """
        if self._delay_count <= 0:
            return False
        self._delay_count -= 1
        self._delayed_changes.append(apply)
        return True

    async def fail_if_response_lost(self) -> None:
        """Fail or hang a call after its change took effect, if its response is lost."""
        if self._lose_count > 0:
            self._lose_count -= 1
        elif self._random.random() >= self._lose_probability:
            return
        if self._lose_mode == HANG:
            await asyncio.Event().wait()
        raise RequestError(StatusCode.UNAVAILABLE, "answer lost")


class CallCounters:
    """Counts of calls by method and by client, and call rates.

    After the first `_MAX_CLIENTS` clients, further ones are not counted by client.
    """

    __slots__ = ("_clock", "_per_second", "by_client", "calls", "watches")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Entries of [second, reads, writes].
        self._per_second: deque[list[int]] = deque(maxlen=_RATE_WINDOW_S + 1)
        self.calls: Counter[str] = Counter()
        self.by_client: dict[str, Counter[str]] = {}
        self.watches = 0

    def count(self, method: str, client: Client, *, change: bool) -> None:
        """Count one call."""
        self.calls[method] += 1
        if len(self.by_client) < _MAX_CLIENTS or client.name in self.by_client:
            self.by_client.setdefault(client.name, Counter())[method] += 1
        second = int(self._clock.monotonic())
        if not self._per_second or self._per_second[-1][0] != second:
            self._per_second.append([second, 0, 0])
        self._per_second[-1][2 if change else 1] += 1

    def rates(self) -> tuple[float, float]:
        """Return reads and writes per second, over the last 5 whole seconds."""
        now = int(self._clock.monotonic())
        recent = [
            entry
            for entry in self._per_second
            if now - _RATE_WINDOW_S <= entry[0] < now
        ]
        reads = sum(entry[1] for entry in recent) / _RATE_WINDOW_S
        writes = sum(entry[2] for entry in recent) / _RATE_WINDOW_S
        return reads, writes
