"""Dispatch state of one endpoint: statements in flight, answer times and failures."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from random import Random
from typing import Protocol

from celeryjunction._pauses import PauseDetector
from celeryjunction.dispatch.answer_patience import AnswerPatience
from celeryjunction.dispatch.connection_pool import (
    IDLE_TIMEOUT_S,
    RESTING_IDLE_S,
    ConnectionPool,
)
from celeryjunction.dispatch.endpoint_speed import (
    SERVICE_WEIGHT,
    FadingMean,
    GroupTimes,
)
from celeryjunction.dispatch.load_estimate import LoadEstimate
from celeryjunction.dispatch.shared_slots import SharedSlots
from celeryjunction.errors import ConnectionLost
from celeryjunction.logs import get_logger
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    EndpointDialer,
    EndpointInfo,
    EndpointLink,
    EndpointRefused,
    Fault,
)

__all__ = ["IDLE_TIMEOUT_S", "RESTING_IDLE_S", "EndpointGate", "SentStatement"]

AVOID_AFTER_FAILURES = 2
"""Consecutive failures after which an endpoint is avoided."""
MIN_AVOID_S = 0.3
MAX_AVOID_S = 3.0
"""An avoided endpoint is retried after a delay that doubles between these bounds."""
REFRESH_S = 0.01
"""Interval at which estimates are computed again at most: they change little within
half a service time."""
FAULT_WEIGHT = 0.1
"""Weight of a statement in the moving average of the fault rate."""
MAX_FAULT_RATE = 0.9
"""Bound of the fault rate in the cost, so that an endpoint that fails all statements is
still tried at times."""
SHORTEST_WEIGHT = 0.01
"""Weight of a longer time in the shortest recent one, so that a single short
statement counts for about a hundred."""

_log = get_logger("dispatch")


class SentStatement(Protocol):
    """A statement that was sent and has no answer yet."""

    interruptible: bool
    """Whether closing the connection undoes all that the statement may have changed."""
    link: EndpointLink


class EndpointGate:
    """Tracks this VM's statements at one endpoint; `pool` has its connections to it.

    `max_links` bounds the connections that this VM opens for statements. `times` is
    shared with the other endpoints of the group. A time-out of a connection during a
    pause that `pauses` reports is this VM's own failure, not the endpoint's.
    """

    __slots__ = (
        "_avoid_s",
        "_clock",
        "_failed_at",
        "_failures",
        "_faults",
        "_pauses",
        "_refreshed_at",
        "_sent_at",
        "_service_s",
        "_slowness",
        "_times",
        "answered_at",
        "avoid_until",
        "behind_since",
        "fault_rate",
        "info",
        "load",
        "patience",
        "pool",
        "running",
        "shared",
        "shortest_s",
        "slots_busy_elsewhere",
        "unanswered_since",
    )

    def __init__(
        self,
        info: EndpointInfo,
        *,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
        max_links: int,
        metrics: Metrics | None = None,
        times: GroupTimes | None = None,
        pauses: PauseDetector | None = None,
    ) -> None:
        self.info = info
        self.pool = ConnectionPool(
            dialer=dialer,
            clock=clock,
            random=random,
            max_links=max_links,
            metrics=metrics or Metrics(),
        )
        self.running = 0
        """Slots in use: statements of this VM that are sent or about to be."""
        self.load = LoadEstimate()
        self._times = times or GroupTimes()
        self._pauses = pauses or PauseDetector()
        now = clock.monotonic()
        self._slowness = FadingMean(neutral=1.0, weight=SERVICE_WEIGHT, now=now)
        """Answer times relative to the group's mean."""
        self._service_s = self._times.mean_s
        self._refreshed_at = -inf
        self.shortest_s = 0.0
        """The shortest recent time of a statement, 0 before the first answer."""
        self.fault_rate = 0.0
        """Moving average of the part of statements that the endpoint failed, 0 to 1."""
        self.slots_busy_elsewhere = 0.0
        """Slots that other VMs are expected to use."""
        self._faults = FadingMean(neutral=0.0, weight=FAULT_WEIGHT, now=now)
        self.patience = AnswerPatience()
        self.shared = SharedSlots(slots=info.slots, vm_count=1)
        self.behind_since = 0.0
        """Time since which the endpoint refuses reads for replication lag; 0 if it does
        not."""
        self.avoid_until = 0.0
        self._clock = clock
        self._failures = 0
        self._failed_at = 0.0
        self._avoid_s = 0.0
        self._sent_at: dict[SentStatement, float] = {}
        self.answered_at = 0.0
        """Time of the last answer, seconds."""
        self.unanswered_since = 0.0
        """Since when no statement was answered, once the endpoint was found stuck;
        seconds, 0 if it answers."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "id", self.info.id
        yield "running", self.running
        yield "links", self.links

    @property
    def links(self) -> int:
        """Connections that are open or being opened."""
        return self.pool.connections.links

    def refresh(self, now: float) -> None:
        """Update the estimates of load, speed and faults, at most every 10 ms."""
        if now - self._refreshed_at >= REFRESH_S:
            self._refreshed_at = now
            self._service_s = self._times.mean_s * self._slowness.value(now)
            self.fault_rate = self._faults.value(now)
            self.slots_busy_elsewhere = self.load.busy_elsewhere(
                now, service_s=self._service_s
            )

    @property
    def free_slots(self) -> float:
        """Slots that are expected to be free; negative with a queue."""
        return max(self.info.slots, 1) - self.running - self.slots_busy_elsewhere

    @property
    def service_s(self) -> float:
        """Expected time of a statement with the group's usual mix, in seconds."""
        return self._service_s

    @service_s.setter
    def service_s(self, seconds: float) -> None:
        slowness = seconds / self._times.mean_s
        self._slowness.assume(slowness, now=self._clock.monotonic())
        self._refreshed_at = -inf

    @property
    def max_links(self) -> int:
        """Connections that this VM may have at any time."""
        return self.pool.connections.max_links

    @property
    def pinned(self) -> int:
        """Connections held by open transactions."""
        return self.pool.connections.pinned

    async def acquire(
        self, values: dict[bytes, bytes], owner: str = ""
    ) -> EndpointLink:
        """Return an idle connection of an owner, or open one.

        One with these values is preferred. Raises `ConnectionLost` (nothing sent) or
        `EndpointRefused`.
        """
        link = self.pool.take(values, owner)
        if link is not None:
            return link
        started = self._clock.monotonic()
        try:
            return await self.pool.open(self.info, owner)
        except (ConnectionLost, EndpointRefused) as error:
            paused = self._pauses.overlaps_pause(started, self._clock.monotonic())
            if isinstance(error, EndpointRefused) or not paused:
                self._record_connect_failure(error)
            raise

    def _record_connect_failure(self, error: ConnectionLost | EndpointRefused) -> None:
        if isinstance(error, ConnectionLost):
            self.record_failure(error.reason, weight=AVOID_AFTER_FAILURES)
        elif error.fault is not Fault.TOO_MANY_CONNECTIONS:
            self.record_failure("refused", weight=AVOID_AFTER_FAILURES)

    def borrow(self) -> EndpointLink | None:
        """Lend the oldest idle connection for a control command; None without one."""
        return self.pool.borrow()

    def adopt(self, link: EndpointLink) -> bool:
        """Take over a connection opened for a control command, if there is room."""
        return self.pool.adopt(link)

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S, keep: int = 0) -> None:
        """Close the connections that have been idle for `older_than` seconds.

        Those above the number at rest are closed sooner; the `keep` oldest ones stay.
        """
        self.pool.close_idle(older_than=older_than, keep=keep)

    def close(self) -> None:
        """Close the idle connections now, and those in use when they are released."""
        self.pool.close()

    # Statements in flight

    def record_sent(self, sent: SentStatement) -> None:
        """Record that a statement was sent."""
        self._sent_at[sent] = self._clock.monotonic()

    def record_ended(self, sent: SentStatement) -> None:
        """Record that a statement is no longer in flight."""
        self._sent_at.pop(sent, None)

    def remaining_s(self, now: float) -> list[float]:
        """Return the least time until each of the running statements ends, seconds."""
        shortest_s = self.shortest_s
        sent = [max(0.0, shortest_s + at - now) for at in self._sent_at.values()]
        return sent + [shortest_s] * (self.running - len(sent))

    def is_stuck(self, now: float) -> bool:
        """Whether statements are in flight and none was answered for too long.

        False while a pause of this process is not yet taken into account.
        """
        if not self._sent_at or self._pauses.overlaps_pause(now, now):
            return False
        oldest = next(iter(self._sent_at.values()))
        return now - max(oldest, self.answered_at) >= self.patience.timeout_s

    def excuse_pause(self, paused_s: float) -> None:
        """Don't count a pause of this process, which has just ended, as silence."""
        if self._sent_at:
            oldest = next(iter(self._sent_at.values()))
            now = self._clock.monotonic()
            self.answered_at = min(now, max(oldest, self.answered_at) + paused_s)

    def record_stuck(self) -> None:
        """Record that the endpoint was found stuck, before its statements end."""
        if not self.unanswered_since and self._sent_at:
            oldest = next(iter(self._sent_at.values()))
            self.unanswered_since = max(oldest, self.answered_at)

    def interrupt(self) -> int:
        """Abort the interruptible statements by closing their connections.

        Returns the number of statements.
        """
        interrupted = [sent for sent in self._sent_at if sent.interruptible]
        if interrupted:
            self.patience.record_interruption(self._clock.monotonic())
        for sent in interrupted:
            self.record_ended(sent)
            sent.link.close()
        return len(interrupted)

    def record_answer(self, seconds: float) -> None:
        """Record that a statement was answered, whatever the answer was."""
        shortest_s = self.shortest_s
        if not shortest_s or seconds < shortest_s:
            self.shortest_s = seconds
        else:
            self.shortest_s = shortest_s + SHORTEST_WEIGHT * (seconds - shortest_s)
        self.answered_at = self._clock.monotonic()
        self.unanswered_since = 0.0
        self._failures = 0
        self._avoid_s = 0.0

    def record_service_time(
        self, seconds: float, *, priority: int, had_choice: bool = True
    ) -> None:
        """Record the service time of a statement.

        `had_choice` is whether other endpoints may run such statements. The times of
        others, such as writes, can't be compared.
        """
        self.shared.observe(priority, seconds)
        self.patience.record_answer(seconds)
        ratio = self._times.record((priority, had_choice), seconds)
        if had_choice:
            self._slowness.record(ratio, now=self._clock.monotonic())
        self.behind_since = 0.0

    def record_behind(self) -> None:
        """Record that a read was refused because the endpoint lags too far behind."""
        self.behind_since = self.behind_since or self._clock.monotonic()

    def record_fault(self, failed: bool) -> None:
        """Record whether the endpoint failed a statement that it may have run."""
        self._faults.record(float(failed), now=self._clock.monotonic())
        self._refreshed_at = -inf

    @property
    def expected_attempts(self) -> float:
        """Expected number of attempts until a statement does not fail."""
        return 1.0 / (1.0 - min(self.fault_rate, MAX_FAULT_RATE))

    def record_failure(self, reason: str, *, weight: int = 1) -> None:
        """Record that the endpoint gave no answer; avoid it after repeated failures."""
        self._failures += weight
        self._failed_at = self._clock.monotonic()
        if self._failures < AVOID_AFTER_FAILURES:
            return
        self._avoid_s = min(max(MIN_AVOID_S, 2 * self._avoid_s), MAX_AVOID_S)
        self.avoid_until = self._clock.monotonic() + self._avoid_s
        _log.warning(
            "endpoint_avoided",
            endpoint=self.info.id,
            group=self.info.group,
            reason=reason,
            for_s=self._avoid_s,
        )

    def describe(self) -> str:
        """Return the inputs of dispatch decisions about this endpoint, for the log."""
        now = self._clock.monotonic()
        words = [
            f"running:{self.running}/{self.shared.limit}",
            f"links:{self.links}/{self.max_links}",
        ]
        if self.pinned:
            words.append(f"pinned:{self.pinned}")
        if self.fault_rate >= FAULT_WEIGHT:
            words.append(f"faults:{self.fault_rate:.0%}")
        if self.behind_since:
            words.append("behind")
        if self.is_stuck(now):
            words.append("stuck")
        if self.is_failing:
            words.append("failing")
        if now < self.avoid_until:
            words.append("avoided")
        return ",".join(words)

    @property
    def is_failing(self) -> bool:
        """Whether the last statements or connection attempts got no answer."""
        return self._failures >= AVOID_AFTER_FAILURES

    def record_alive(self, sent_at: float) -> None:
        """Stop avoiding the endpoint if it answered a command after its last failure.

        `sent_at` is the time when the answered command was sent, in seconds.
        """
        self.patience.record_alive(sent_at)
        if sent_at > self._failed_at:
            self._failures = 0
            self.avoid_until = 0.0
        if sent_at > self.unanswered_since:
            self.unanswered_since = 0.0
