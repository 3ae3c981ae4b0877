"""One attempt to replace a primary, and what it has found."""

from __future__ import annotations

from celeryjunction.failover.claims import Claim
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    NO_POSITION,
    EndpointInfo,
    EndpointStatus,
    LogPosition,
    PromotionPath,
)


class Attempt:
    """One replacement under a claim: what was found, and what a choice must keep."""

    __slots__ = (
        "acknowledged",
        "claim",
        "demoted_primary",
        "infos",
        "is_announced",
        "is_unanimous",
        "old_primary",
        "outstanding",
        "path",
        "paused",
        "promotion_pending",
        "required",
        "sealed",
        "term",
        "token",
        "unanswered",
    )

    def __init__(
        self,
        claim: Claim,
        path: PromotionPath,
        *,
        term: int,
        infos: dict[str, EndpointInfo],
        demoted_primary: str,
        sealed: str,
        outstanding: str,
    ) -> None:
        self.claim = claim
        self.path = path
        self.term = term
        """Term of the primary that is replaced."""
        self.infos = infos
        """All endpoints that may be chosen, by id."""
        self.demoted_primary = demoted_primary
        """The term's primary if an earlier attempt may have demoted it, or empty."""
        self.old_primary: str | None = None
        """The endpoint that leads the term, if it is known."""
        self.acknowledged: LogPosition = NO_POSITION
        """Highest position that the voting VMs saw acknowledged."""
        self.is_unanimous = False
        """Whether all VMs that monitor the group have voted."""
        self.required = NO_POSITION
        """Position that the next primary must have received."""
        self.sealed = sealed
        """Endpoint whose promotion to the next term is announced, or empty."""
        self.outstanding = outstanding
        """Endpoint that a call of an earlier term may still promote, or empty."""
        self.paused: dict[str, EndpointStatus] = {}
        """Statuses of the paused replicas."""
        self.promotion_pending = False
        """Whether an earlier promotion may rely on the pauses."""
        self.is_announced = False
        """Whether the call of this attempt is announced in the stored roster."""
        self.unanswered: list[str] = []
        """Members that are not paused, as the old primary's log has ended."""
        self.token = 0
        """Fencing token of the promotion; 0 until one is decided."""


def is_paused(status: EndpointStatus, term: int) -> bool:
    """Whether a replica is paused for the end of `term`, not of a later one."""
    return status.held_term > term >= status.term and not status.is_primary


def describe_old_primary(
    group: ReplicationGroup, old_primary: str | None, *, now: float
) -> dict[str, object]:
    """Return the old primary's last known role and log end, for the log."""
    known = group.statuses.get(old_primary or "")
    if known is None:
        return {"old_primary": old_primary, "old_received": None}
    asked_at, status = known
    return {
        "old_primary": old_primary,
        "old_received": str(status.received),
        "old_is_primary": status.is_primary,
        "old_age_s": round(now - asked_at, 3),
    }
