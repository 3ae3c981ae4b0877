"""Failure detector for a primary, based on what this VM sees of it."""

from __future__ import annotations

from celeryjunction.ports import Clock
from celeryjunction.replication.control import REACHABLE
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import LogPosition

REFUSED_LIMIT_S = 0.25
"""A primary that refuses connections for this long is suspected: no process listens, or
a partition refuses them."""
SILENT_LIMIT_S = 0.7
"""A primary that answers no request for this long is suspected. Shorter than the time
limit of clients' statements (0.8 s and more), longer than two lost packets."""
STALLED_LIMIT_S = 1.0
"""Commits can't be acknowledged if they reach no replica for this long."""
MIN_FAILURES = 2
REFUSALS = frozenset({"ConnectionRefusedError", "ConnectionResetError"})
IMMEDIATE_FAILURES = REFUSALS | {
    "the endpoint closed the connection",
    "closed while connecting",
}
"""Failures that are seen without a time-out. A single one may be just a connection
that broke, so at least `MIN_FAILURES` must follow each other."""


class PrimaryFailureDetector:
    """Decides after each check whether a group's primary should be replaced.

    A verdict needs several failures, each a missing answer to a request of its own, so
    that a pause of this VM itself does not count as a failure of the primary.
    """

    __slots__ = (
        "_clock",
        "_failing_since",
        "_failures",
        "_group",
        "_immediate_failures",
        "_primary",
        "_stalled_since",
        "_unreplicated",
    )

    def __init__(self, group: ReplicationGroup, *, clock: Clock) -> None:
        self._group = group
        self._clock = clock
        self._primary: str | None = None
        self._reset()

    def _reset(self) -> None:
        self._failing_since = 0.0
        self._failures = 0
        self._immediate_failures = 0
        self._stalled_since = 0.0
        self._unreplicated: LogPosition | None = None

    @property
    def is_failing(self) -> bool:
        """Whether the last request to the primary got no answer."""
        return self._failures > 0

    def record_check(self, primary: str, *, answered: bool, asked_at: float) -> None:
        """Record a check that began at `asked_at` and whether the primary answered."""
        if primary != self._primary:
            self._primary = primary
            self._reset()
        control = self._group.controls.get(primary)
        failure = control.failure if control is not None else "gone"
        if answered or failure in REACHABLE:
            self._failures = self._immediate_failures = 0
            self._failing_since = 0.0
            return
        self._failures += 1
        self._immediate_failures += failure in IMMEDIATE_FAILURES
        self._failing_since = self._failing_since or asked_at

    def record_replication(
        self, primary: LogPosition, replicas: list[LogPosition]
    ) -> None:
        """Record the ends of the primary's log and of all its replicas' logs."""
        if not replicas or max(replicas) >= (self._unreplicated or primary):
            self._stalled_since = 0.0
            self._unreplicated = None
            if replicas and max(replicas) >= primary:
                return
        if self._unreplicated is None and replicas:
            self._unreplicated = primary
            self._stalled_since = self._clock.monotonic()

    def verdict(self) -> str | None:
        """Return `refused`, `silent` or `stalled` if the primary failed; else None."""
        now = self._clock.monotonic()
        if self._failures >= MIN_FAILURES:
            failing_s = now - self._failing_since
            if (
                self._immediate_failures == self._failures
                and failing_s >= REFUSED_LIMIT_S
            ):
                return "refused"
            if failing_s >= SILENT_LIMIT_S:
                return "silent"
        if self._stalled_since and now - self._stalled_since >= STALLED_LIMIT_S:
            return "stalled"
        return None
