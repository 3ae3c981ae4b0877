"""How far the members of a group have received, as this VM was told by each.

A VM whose register copy is recent knows which members drain, so a commit at one that
stays is kept. Without a recent copy, any member may be draining unnoticed, and the
other VMs may already have dropped it with what it had then. A commit is kept all the
same if every member has it, unless all of them leave together:

    receipts.record("b1", LogPosition(1, 7), asked_at=10.0)
    receipts.received_by_all({"b1", "c1"}, now=10.1)  # NO_POSITION
    receipts.record("c1", LogPosition(1, 6), asked_at=10.05)
    receipts.received_by_all({"b1", "c1"}, now=10.1)  # 1.6
"""

from __future__ import annotations

from collections.abc import Collection

from celeryjunction.replication.drain_watch import DRAIN_KNOWN_S
from celeryjunction.replication.ports import NO_POSITION, LogPosition

CLOCK_MARGIN_S = 0.5
"""Allowance for clocks of two VMs that run at different rates."""
MAX_READ_AGE_S = DRAIN_KNOWN_S - CLOCK_MARGIN_S
"""A member that the register doesn't show as draining proves commits by itself while
the read that confirmed the register was sent at most this long before its answer. The
other VMs ask for its last position `DRAIN_KNOWN_S` after its drain, or later."""
MAX_ANSWER_AGE_S = 1.0
"""Answers of all members count together within this time. Shorter than a drain, so that
members which are replaced one after the other have not left in between."""


class MemberReceipts:
    """The last answer of each member of one group in its term."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: dict[str, tuple[float, LogPosition]] = {}

    def clear(self) -> None:
        """Forget everything: a later term has begun."""
        self._answers.clear()

    def record(self, member: str, received: LogPosition, *, asked_at: float) -> None:
        """Note the answer of a member that was asked at `asked_at`, in seconds."""
        self._answers[member] = (asked_at, received)

    def received_by_all(self, members: Collection[str], *, now: float) -> LogPosition:
        """Return up to where all members have received, by their recent answers.

        `NO_POSITION` if there are no members or one has not answered recently.
        """
        oldest = now - MAX_ANSWER_AGE_S
        answers = [self._answers.get(member) for member in members]
        recent = [a for a in answers if a is not None and a[0] >= oldest]
        if len(recent) < len(answers):
            return NO_POSITION
        return min((received for _, received in recent), default=NO_POSITION)
