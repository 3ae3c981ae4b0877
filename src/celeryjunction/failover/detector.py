"""When a primary counts as dead, from what this VM saw of it."""

from __future__ import annotations

from celeryjunction.ports import Clock
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import Fault, LogPosition

REFUSED_S = 0.25
"""A primary that refuses connections for so long is suspected: no process listens, or
a partition refuses them."""
SILENT_S = 0.7
"""A primary that answers no question for so long is suspected. Shorter than the time in
which a caller's statement gives up (0.8 s and more), longer than two lost packets."""
STALLED_S = 1.0
"""Commits that reach no replica for so long cannot be acknowledged."""
LEAST_FAILURES = 2
REFUSALS = frozenset({"ConnectionRefusedError", "ConnectionResetError"})
NO_ROOM = frozenset({Fault.BUSY.value, Fault.TOO_MANY_CONNECTIONS.value})
"""Failures that only a living endpoint answers."""
REACHABLE = NO_ROOM | {""}
"""The same, and no failure at all."""
CLOSED = REFUSALS | {"the endpoint closed the connection", "closed while connecting"}
"""Failures that come at once: the first of them may be a connection that breaks."""


class PrimaryWatch:
    """Judges one group's primary after each sample.

    Times are counted only while this VM was awake enough to ask: each failure is an
    answer that did not come to a question of its own.
    """

    __slots__ = (
        "_clock",
        "_failing_since",
        "_failures",
        "_group",
        "_primary",
        "_refused",
        "_stalled_since",
        "_unreceived",
    )

    def __init__(self, group: ReplicationGroup, *, clock: Clock) -> None:
        self._group = group
        self._clock = clock
        self._primary: str | None = None
        self._reset()

    def _reset(self) -> None:
        self._failing_since = 0.0
        self._failures = 0
        self._refused = 0
        self._stalled_since = 0.0
        self._unreceived: LogPosition | None = None

    @property
    def failing(self) -> bool:
        """Whether the last question to the primary got no answer."""
        return self._failures > 0

    def note(self, primary: str, *, answered: bool, asked_at: float) -> None:
        """Note whether the primary answered lately, or the question of `asked_at`."""
        if primary != self._primary:
            self._primary = primary
            self._reset()
        control = self._group.controls.get(primary)
        failure = control.failure if control is not None else "gone"
        if answered or failure in REACHABLE:
            self._failures = self._refused = 0
            self._failing_since = 0.0
            return
        self._failures += 1
        self._refused += failure in CLOSED
        self._failing_since = self._failing_since or asked_at

    def note_replication(
        self, primary: LogPosition, replicas: list[LogPosition]
    ) -> None:
        """Note how far the log is at the primary and at all its replicas."""
        if not replicas or max(replicas) >= (self._unreceived or primary):
            self._stalled_since = 0.0
            self._unreceived = None
            if replicas and max(replicas) >= primary:
                return
        if self._unreceived is None and replicas:
            self._unreceived = primary
            self._stalled_since = self._clock.monotonic()

    def verdict(self) -> str | None:
        """Return why the primary should be replaced; None if it should not."""
        now = self._clock.monotonic()
        if self._failures >= LEAST_FAILURES:
            failing_s = now - self._failing_since
            if self._refused == self._failures and failing_s >= REFUSED_S:
                return "refused"
            if failing_s >= SILENT_S:
                return "silent"
        if self._stalled_since and now - self._stalled_since >= STALLED_S:
            return "stalled"
        return None
