"""One endpoint as dispatch sees it: statements in flight, connections, failures."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random
from typing import Protocol

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
"""A new connection takes 12 to 16 ms on a calm day; this allows a full queue."""
IDLE_TIMEOUT_S = 8.0
"""Idle connections are closed after this, so that other VMs can use the limit."""
FAILURES = 2
"""Failures in a row after which an endpoint is avoided."""
FIRST_AVOID_S = 0.3
LONGEST_AVOID_S = 3.0
"""An avoided endpoint is tried again after this, doubling from the first."""
STUCK_S = 0.2
"""An endpoint that answered none of its statements for so long counts as stuck. The
longest statements take 45 ms (220 ms for the least urgent kind), and while an endpoint
is busy some statement ends every few ms."""
RESERVED_PART = 3
"""One connection in so many is kept for statements outside transactions. Callers that
rest inside transactions hold theirs for up to 3 s by the users' limits."""
FULL_PAUSE_S = 0.1
"""Pause before another connection is tried at an endpoint that has too many."""
SERVICE_WEIGHT = 0.1
"""Weight of a new sample in the mean service time."""
FAULT_WEIGHT = 0.1
"""Weight of a statement in the share of those that the endpoint failed."""
MOST_FAULTS = 0.9
"""Largest such share that counts: one that fails all is still tried at times."""
FIRST_SERVICE_S = 0.02
"""Mean service time assumed before the first answer, from the users' work figures."""

_log = get_logger("dispatch")


class Sent(Protocol):
    """A statement that was sent on a connection."""

    interruptible: bool
    """Whether it changes nothing that a broken connection does not undo."""
    link: EndpointLink


class EndpointGate:
    """Counts what this VM has at one endpoint and keeps its idle connections.

    `max_links` bounds the connections that this VM opens for statements.
    """

    __slots__ = (
        "_avoid_s",
        "_clock",
        "_dialer",
        "_failed_at",
        "_failures",
        "_idle",
        "_random",
        "_sent",
        "answered_at",
        "avoid_until",
        "behind_since",
        "closed",
        "fault_share",
        "full_until",
        "info",
        "links",
        "max_links",
        "pinned",
        "running",
        "service_s",
        "shared",
        "slots_busy_elsewhere",
    )

    def __init__(
        self,
        info: EndpointInfo,
        *,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
        max_links: int,
    ) -> None:
        self.info = info
        self.max_links = max_links
        self.running = 0
        """Statements of this VM that are sent or about to be."""
        self.links = 0
        """Connections open or being opened."""
        self.pinned = 0
        """Connections that open transactions hold."""
        self.slots_busy_elsewhere = 0
        """Slots that other VMs kept busy at the last status."""
        self.service_s = FIRST_SERVICE_S
        self.shared = SharedSlots(slots=info.slots, vm_count=1)
        self.fault_share = 0.0
        """Share of its statements that the endpoint failed lately, 0 to 1."""
        self.behind_since = 0.0
        """Since when it refuses reads as too far behind; 0 when it does not."""
        self.avoid_until = 0.0
        self.full_until = 0.0
        self.closed = False
        self._idle: list[tuple[EndpointLink, float]] = []
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._failures = 0
        self._failed_at = 0.0
        self._avoid_s = 0.0
        self._sent: dict[Sent, float] = {}
        self.answered_at = 0.0
        """When the last answer came; seconds."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "id", self.info.id
        yield "running", self.running
        yield "links", self.links

    def has_link(self, now: float) -> bool:
        """Whether a connection is idle or may be opened now."""
        if self._idle:
            return True
        return self.links < self.max_links and now >= self.full_until

    @property
    def may_pin(self) -> bool:
        """Whether another transaction may hold a connection."""
        return self.pinned < self.max_links - self.max_links // RESERVED_PART

    async def take(self, values: dict[bytes, bytes]) -> EndpointLink:
        """Return an idle connection, best one with these values, or open one.

        Raises `ConnectionLost` (nothing sent) or `EndpointRefused`.
        """
        link = self._take_idle(values)
        if link is not None:
            return link
        self.links += 1
        try:
            link = await self._dialer.connect(self.info, timeout=CONNECT_TIMEOUT_S)
        except BaseException as error:
            self.links -= 1
            self._note_connect_failure(error)
            raise
        return link

    def _take_idle(self, values: dict[bytes, bytes]) -> EndpointLink | None:
        self._drop_broken()
        for index in range(len(self._idle) - 1, -1, -1):
            if self._idle[index][0].values == values:
                return self._idle.pop(index)[0]
        return self._idle.pop()[0] if self._idle else None

    def _drop_broken(self) -> None:
        kept = [entry for entry in self._idle if entry[0].usable]
        self.links -= len(self._idle) - len(kept)
        self._idle = kept

    def _note_connect_failure(self, error: BaseException) -> None:
        now = self._clock.monotonic()
        if isinstance(error, EndpointRefused):
            if error.fault is Fault.TOO_MANY_CONNECTIONS:
                self.full_until = now + FULL_PAUSE_S * self._random.uniform(0.5, 1.5)
            else:
                self.note_failure("refused", weight=FAILURES)
        elif isinstance(error, ConnectionLost):
            self.note_failure(error.reason, weight=FAILURES)

    def give(self, link: EndpointLink, *, reusable: bool) -> None:
        """Take a connection back; one that is not reusable is closed.

        So is one with an open transaction: the next statement would run inside it.
        """
        if self.closed or not reusable or not link.usable or link.in_transaction:
            link.close()
            self.links -= 1
            return
        self._idle.append((link, self._clock.monotonic()))

    def borrow(self) -> EndpointLink | None:
        """Lend the oldest idle connection for a command; None without one."""
        self._drop_broken()
        if not self._idle:
            return None
        oldest = min(self._idle, key=lambda entry: entry[0].opened_at)
        self._idle.remove(oldest)
        return oldest[0]

    def adopt(self, link: EndpointLink) -> bool:
        """Take over a connection that was opened for a command, if there is room."""
        if self.closed or not link.usable or self.links >= self.max_links:
            return False
        self.links += 1
        self.give(link, reusable=True)
        return True

    @property
    def oldest_idle_s(self) -> float:
        """Seconds for which the connection that `borrow` lends has been open."""
        opened = [link.opened_at for link, _ in self._idle if link.usable]
        return self._clock.monotonic() - min(opened) if opened else 0.0

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S) -> None:
        """Close the connections that were idle for so many seconds."""
        limit = self._clock.monotonic() - older_than
        kept = []
        for link, since in self._idle:
            if since >= limit and link.usable:
                kept.append((link, since))
            else:
                link.close()
                self.links -= 1
        self._idle = kept

    def close(self) -> None:
        """Close the idle connections now and those in use when they come back."""
        self.closed = True
        self.close_idle(older_than=float("-inf"))

    # Statements that wait for their answer

    def note_sent(self, sent: Sent) -> None:
        """Note that a statement was sent."""
        self._sent[sent] = self._clock.monotonic()

    def note_ended(self, sent: Sent) -> None:
        """Note that a statement no longer waits for its answer."""
        self._sent.pop(sent, None)

    def is_stuck(self, now: float) -> bool:
        """Whether statements wait for an endpoint that answers none at all."""
        if not self._sent:
            return False
        oldest = next(iter(self._sent.values()))
        return now - max(oldest, self.answered_at) >= STUCK_S

    def interrupt(self) -> int:
        """Break off the statements that may run again elsewhere; return how many."""
        interrupted = [sent for sent in self._sent if sent.interruptible]
        for sent in interrupted:
            self.note_ended(sent)
            sent.link.close()
        return len(interrupted)

    def note_answer(self) -> None:
        """Note that a statement was answered, whatever the answer was."""
        self.answered_at = self._clock.monotonic()
        self._failures = 0
        self._avoid_s = 0.0

    def note_service(self, seconds: float, *, priority: int) -> None:
        """Note that a statement was served after so many seconds."""
        self.shared.observe(priority, seconds)
        self.service_s += SERVICE_WEIGHT * (seconds - self.service_s)
        self.behind_since = 0.0

    def note_behind(self) -> None:
        """Note that a read was refused because the endpoint lags too far behind."""
        self.behind_since = self.behind_since or self._clock.monotonic()

    def note_fault(self, failed: bool) -> None:
        """Note whether the endpoint failed a statement that it answered."""
        self.fault_share += FAULT_WEIGHT * (failed - self.fault_share)

    @property
    def expected_tries(self) -> float:
        """Mean number of tries until it does not fail a statement."""
        return 1.0 / (1.0 - min(self.fault_share, MOST_FAULTS))

    def note_failure(self, reason: str, *, weight: int = 1) -> None:
        """Note that the endpoint gave no answer; repeated failures avoid it."""
        self._failures += weight
        self._failed_at = self._clock.monotonic()
        if self._failures < FAILURES:
            return
        self._avoid_s = min(max(FIRST_AVOID_S, 2 * self._avoid_s), LONGEST_AVOID_S)
        self.avoid_until = self._clock.monotonic() + self._avoid_s
        _log.warning(
            "endpoint_avoided",
            endpoint=self.info.id,
            group=self.info.group,
            reason=reason,
            for_s=self._avoid_s,
        )

    def describe(self) -> str:
        """Return what decides whether a statement may be sent, for the log."""
        now = self._clock.monotonic()
        words = [
            f"running:{self.running}/{self.shared.limit}",
            f"links:{self.links}/{self.max_links}",
        ]
        if self.pinned:
            words.append(f"pinned:{self.pinned}")
        if self.fault_share >= FAULT_WEIGHT:
            words.append(f"faults:{self.fault_share:.0%}")
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
        """Whether the last statements or connections got no answer."""
        return self._failures >= FAILURES

    def record_alive(self, heard_at: float) -> None:
        """Use a failing endpoint again that answered something sent at `heard_at`."""
        if heard_at > self._failed_at:
            self._failures = 0
            self.avoid_until = 0.0
