"""Dispatch state of one endpoint: statements in flight, connections and failures."""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from random import Random
from typing import Protocol

from celeryjunction._pauses import PauseDetector
from celeryjunction.dispatch.answer_patience import AnswerPatience
from celeryjunction.dispatch.endpoint_speed import (
    SERVICE_WEIGHT,
    FadingMean,
    GroupTimes,
)
from celeryjunction.dispatch.load_estimate import LoadEstimate
from celeryjunction.dispatch.shared_slots import SharedSlots
from celeryjunction.errors import ConnectionLost
from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    EndpointDialer,
    EndpointInfo,
    EndpointLink,
    EndpointRefused,
    Fault,
)

CONNECT_TIMEOUT_S = 0.3
"""Opening a connection takes 12 to 16 ms without load; the rest allows for a full
queue at the endpoint."""
IDLE_TIMEOUT_S = 8.0
"""Idle connections are closed after this, to leave the endpoint's connection limit to
other VMs."""
RESTING_IDLE_S = 0.5
"""Idle connections above the number at rest are closed after this."""
AVOID_AFTER_FAILURES = 2
"""Consecutive failures after which an endpoint is avoided."""
MIN_AVOID_S = 0.3
MAX_AVOID_S = 3.0
"""An avoided endpoint is retried after a delay that doubles between these bounds."""
RESERVED_DIVISOR = 3
"""One connection in this many is reserved for statements outside transactions, since a
transaction may hold its connection idle for up to 3 s."""
CONNECTION_LIMIT_BACKOFF_S = 0.1
"""Mean pause before another connection to an endpoint that is at its limit."""
REFRESH_S = 0.01
"""Interval at which estimates are computed again at most: they change little within
half a service time."""
FAULT_WEIGHT = 0.1
"""Weight of a statement in the moving average of the fault rate."""
MAX_FAULT_RATE = 0.9
"""Bound of the fault rate in the cost, so that an endpoint that fails all statements is
still tried at times."""

_log = get_logger("dispatch")


class SentStatement(Protocol):
    """A statement that was sent and has no answer yet."""

    interruptible: bool
    """Whether closing the connection undoes all that the statement may have changed."""
    link: EndpointLink


class EndpointGate:
    """Tracks this VM's statements at one endpoint and pools its connections to it.

    `max_links` bounds the connections that this VM opens for statements. `times` is
    shared with the other endpoints of the group. A time-out of a connection during a
    pause that `pauses` reports is this VM's own failure, not the endpoint's.
    """

    __slots__ = (
        "_avoid_s",
        "_clock",
        "_dialer",
        "_failed_at",
        "_failures",
        "_faults",
        "_idle",
        "_lent",
        "_pauses",
        "_random",
        "_refreshed_at",
        "_sent_at",
        "_service_s",
        "_slowness",
        "_times",
        "answered_at",
        "avoid_until",
        "behind_since",
        "closed",
        "connection_limit_until",
        "fault_rate",
        "info",
        "links",
        "load",
        "max_links",
        "patience",
        "pinned",
        "promised",
        "resting_links",
        "running",
        "shared",
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
        times: GroupTimes | None = None,
        pauses: PauseDetector | None = None,
    ) -> None:
        self.info = info
        self.max_links = max_links
        self.resting_links = max_links
        """Connections above which idle ones are closed soon."""
        self.running = 0
        """Slots in use: statements of this VM that are sent or about to be."""
        self.links = 0
        """Connections that are open or being opened."""
        self.promised = 0
        """Statements that left the queue and have not taken a connection yet."""
        self.pinned = 0
        """Connections held by open transactions."""
        self.load = LoadEstimate()
        self._times = times or GroupTimes()
        self._pauses = pauses or PauseDetector()
        now = clock.monotonic()
        self._slowness = FadingMean(neutral=1.0, weight=SERVICE_WEIGHT, now=now)
        """Answer times relative to the group's mean."""
        self._service_s = self._times.mean_s
        self._refreshed_at = -inf
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
        self.connection_limit_until = 0.0
        self.closed = False
        self._idle: list[tuple[EndpointLink, float]] = []
        self._lent: set[EndpointLink] = set()
        self._dialer = dialer
        self._clock = clock
        self._random = random
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
    def service_s(self) -> float:
        """Expected time of a statement with the group's usual mix, in seconds."""
        return self._service_s

    @service_s.setter
    def service_s(self, seconds: float) -> None:
        slowness = seconds / self._times.mean_s
        self._slowness.assume(slowness, now=self._clock.monotonic())
        self._refreshed_at = -inf

    def has_link(self, now: float, owner: str = "") -> bool:
        """Whether a connection of an owner is idle or may be opened at `now`."""
        free = len(self._idle) - self.promised
        if free > 0 and any(link.owner == owner for link, _ in self._idle):
            return True
        may_open = self.links - free < self.max_links
        return may_open and now >= self.connection_limit_until

    @property
    def may_pin(self) -> bool:
        """Whether another transaction may pin a connection."""
        return self.pinned < self.max_links - self.max_links // RESERVED_DIVISOR

    async def acquire(
        self, values: dict[bytes, bytes], owner: str = ""
    ) -> EndpointLink:
        """Return an idle connection of an owner, or open one.

        One with these values is preferred.

        Raises `ConnectionLost` (nothing sent) or `EndpointRefused`.
        """
        link = self._take_idle(values, owner)
        if link is not None:
            return link
        self._make_room()
        self.links += 1
        started = self._clock.monotonic()
        try:
            link = await self._dialer.connect(
                self.info, timeout=CONNECT_TIMEOUT_S, owner=owner
            )
        except BaseException as error:
            self.links -= 1
            paused = self._pauses.overlaps_pause(started, self._clock.monotonic())
            if isinstance(error, EndpointRefused) or not paused:
                self._record_connect_failure(error)
            raise
        return link

    def _take_idle(self, values: dict[bytes, bytes], owner: str) -> EndpointLink | None:
        self._drop_broken()
        newest = None
        for index in range(len(self._idle) - 1, -1, -1):
            link = self._idle[index][0]
            if link.owner != owner:
                continue
            if link.values == values:
                return self._idle.pop(index)[0]
            newest = index if newest is None else newest
        return None if newest is None else self._idle.pop(newest)[0]

    def _make_room(self) -> None:
        """Close the connection that was idle longest if no further one may be open."""
        if self.links >= self.max_links and self._idle:
            self._idle.pop(0)[0].close()
            self.links -= 1

    def _drop_broken(self) -> None:
        kept = []
        for entry in self._idle:
            if entry[0].usable:
                kept.append(entry)
            else:
                entry[0].close()
                self.links -= 1
        self._idle = kept

    def _record_connect_failure(self, error: BaseException) -> None:
        now = self._clock.monotonic()
        if isinstance(error, EndpointRefused):
            if error.fault is Fault.TOO_MANY_CONNECTIONS:
                self.connection_limit_until = (
                    now + CONNECTION_LIMIT_BACKOFF_S * self._random.uniform(0.5, 1.5)
                )
            else:
                self.record_failure("refused", weight=AVOID_AFTER_FAILURES)
        elif isinstance(error, ConnectionLost):
            self.record_failure(error.reason, weight=AVOID_AFTER_FAILURES)

    def release(self, link: EndpointLink, *, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        A connection with an open transaction is closed too, since the next statement
        would run inside that transaction.
        """
        if self.closed or not reusable or not link.usable or link.in_transaction:
            link.close()
            self.links -= 1
            return
        self._idle.append((link, self._clock.monotonic()))

    def borrow(self) -> EndpointLink | None:
        """Lend the oldest idle connection for a control command; None without one."""
        self._drop_broken()
        if not self._idle:
            return None
        oldest = min(self._idle, key=lambda entry: entry[0].opened_at)
        self._idle.remove(oldest)
        self._lent.add(oldest[0])
        return oldest[0]

    def take_back(self, link: EndpointLink) -> None:
        """Return a lent connection to the pool; close it if another gate lent it."""
        if link not in self._lent:
            link.close()
            return
        self._lent.remove(link)
        self.release(link, reusable=True)

    def adopt(self, link: EndpointLink) -> bool:
        """Take over a connection opened for a control command, if there is room."""
        if self.closed or not link.usable or self.links >= self.max_links:
            return False
        self.links += 1
        self.release(link, reusable=True)
        return True

    @property
    def oldest_idle_s(self) -> float:
        """Age of the connection that `borrow` would lend, in seconds."""
        opened = [link.opened_at for link, _ in self._idle if link.usable]
        return self._clock.monotonic() - min(opened) if opened else 0.0

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S, keep: int = 0) -> None:
        """Close the connections that have been idle for `older_than` seconds.

        Those above `resting_links` are closed sooner. The `keep` oldest ones stay open:
        a new connection costs the endpoint a slot, and evidence counts only on one that
        has been open for a while.
        """
        now = self._clock.monotonic()
        oldest_first = sorted(self._idle, key=lambda entry: entry[0].opened_at)
        kept = []
        for position, (link, since) in enumerate(oldest_first):
            surplus = self.links > self.resting_links and position >= keep
            limit_s = min(older_than, RESTING_IDLE_S) if surplus else older_than
            if link.usable and (position < keep or now - since <= limit_s):
                kept.append((link, since))
            else:
                link.close()
                self.links -= 1
        self._idle = sorted(kept, key=lambda entry: entry[1])

    def close(self) -> None:
        """Close the idle connections now, and those in use when they are released."""
        self.closed = True
        self.close_idle(older_than=float("-inf"))

    # Statements in flight

    def record_sent(self, sent: SentStatement) -> None:
        """Record that a statement was sent."""
        self._sent_at[sent] = self._clock.monotonic()

    def record_ended(self, sent: SentStatement) -> None:
        """Record that a statement is no longer in flight."""
        self._sent_at.pop(sent, None)

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

    def record_answer(self) -> None:
        """Record that a statement was answered, whatever the answer was."""
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
