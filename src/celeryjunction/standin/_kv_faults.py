"""Faults and call counts of the key-value service's stand-in."""

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


class Caller(NamedTuple):
    """Who makes a call, from the metadata ``client-name`` and ``client-zone``."""

    name: str
    zone: str


def caller_of(context: object) -> Caller:
    """Return the caller of a gRPC call; the peer address stands in for a name."""
    metadata = dict(context.invocation_metadata() or ())
    name = metadata.get("client-name") or context.peer()
    return Caller(name, metadata.get("client-zone", ""))


class Faults:
    """The faults that are active now, and how a call experiences them."""

    __slots__ = (
        "_blocked",
        "_cleared",
        "_heal_timer",
        "_held",
        "_lose_count",
        "_lose_mode",
        "_lose_probability",
        "_random",
        "_to_delay",
        "mode",
        "on_outage",
        "silent_watches",
        "slow_s",
    )

    def __init__(self) -> None:
        self.mode: str | None = None
        self.silent_watches = False
        self.slow_s = 0.0
        self.on_outage: set[Callable[[], None]] = set()
        self._blocked: set[str] = set()
        self._cleared = asyncio.Event()
        self._cleared.set()
        self._heal_timer: asyncio.TimerHandle | None = None
        self._held: list[Callable[[], object]] = []
        self._lose_count = 0
        self._lose_mode = UNAVAILABLE
        self._lose_probability = 0.0
        self._random = Random(0)
        self._to_delay = 0

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
        for callback in tuple(self.on_outage):
            callback()

    def heal(self) -> None:
        """End the outage and the zone blocks."""
        if self._heal_timer is not None:
            self._heal_timer.cancel()
            self._heal_timer = None
        self.mode = None
        self.silent_watches = False
        self._blocked.clear()
        self._cleared.set()

    def block(self, zone: str) -> None:
        """Let calls from a zone hang until `heal`."""
        self._blocked.add(zone)
        self._cleared.clear()
        for callback in tuple(self.on_outage):
            callback()

    def lose_answers(
        self, *, count: int, probability: float, seed: int, mode: str
    ) -> None:
        """Choose which changes lose their answer."""
        if mode not in _MODES:
            raise ValueError(f"unknown mode {mode!r}")
        self._lose_count = count
        self._lose_probability = probability
        self._lose_mode = mode
        self._random = Random(seed)

    def delay_changes(self, count: int) -> None:
        """Let the next changes fail first and take effect at `release_changes`."""
        self._to_delay = count

    def release_changes(self) -> int:
        """Apply the delayed changes now; returns how many there were."""
        held, self._held = self._held, []
        for apply in held:
            # A change that has become invalid is dropped: its caller is long gone.
            with contextlib.suppress(RequestError):
                apply()
        return len(held)

    def hits(self, caller: Caller) -> bool:
        """Tell whether an outage or a zone block affects the caller."""
        return self.mode is not None or caller.zone in self._blocked

    def watch_breaks(self, caller: Caller) -> bool:
        """Tell whether the caller's watches break now."""
        return self.mode is not None and not self.silent_watches

    async def admit(self, caller: Caller) -> None:
        """Delay, hang or fail a call as the active faults demand."""
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.mode == UNAVAILABLE:
            raise RequestError(StatusCode.UNAVAILABLE, "outage")
        await self.wait_cleared(caller)

    async def wait_cleared(self, caller: Caller) -> None:
        """Wait until no outage or block affects the caller."""
        while self.hits(caller):
            await self._cleared.wait()

    def take_delay(self, apply: Callable[[], object]) -> bool:
        """Hold the change back when it is one to delay."""
        if self._to_delay <= 0:
            return False
        self._to_delay -= 1
        self._held.append(apply)
        return True

    async def lose_answer(self) -> None:
        """Fail or hang a call whose change took effect, when its answer is lost."""
        if self._lose_count > 0:
            self._lose_count -= 1
        elif self._random.random() >= self._lose_probability:
            return
        if self._lose_mode == HANG:
            await asyncio.Event().wait()
        raise RequestError(StatusCode.UNAVAILABLE, "answer lost")


class Meter:
    """Counts of calls by method and caller, with rates over the last seconds."""

    __slots__ = ("_clock", "_seconds", "by_client", "calls", "watches")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seconds: deque[list[int]] = deque(maxlen=_RATE_WINDOW_S + 1)
        self.calls: Counter[str] = Counter()
        self.by_client: dict[str, Counter[str]] = {}
        self.watches = 0

    def count(self, method: str, caller: Caller, *, change: bool) -> None:
        """Count one call."""
        self.calls[method] += 1
        if len(self.by_client) < _MAX_CLIENTS or caller.name in self.by_client:
            self.by_client.setdefault(caller.name, Counter())[method] += 1
        second = int(self._clock.monotonic())
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0, 0])
        self._seconds[-1][2 if change else 1] += 1

    def rates(self) -> tuple[float, float]:
        """Return reads and writes a second, over the last 5 whole seconds."""
        now = int(self._clock.monotonic())
        recent = [one for one in self._seconds if now - _RATE_WINDOW_S <= one[0] < now]
        reads = sum(one[1] for one in recent) / _RATE_WINDOW_S
        writes = sum(one[2] for one in recent) / _RATE_WINDOW_S
        return reads, writes
