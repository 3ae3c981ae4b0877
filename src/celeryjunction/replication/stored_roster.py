"""The roster of a group's term as the store has it; see `roster`."""

from __future__ import annotations

import msgspec

from celeryjunction.decoding import Count, Name
from celeryjunction.replication.ports import NO_POSITION, EndpointInfo


class Roster(msgspec.Struct, frozen=True):
    """Members of a group's term, the primary included, as stored."""

    term: Count = 0
    primary: Name = ""
    members: tuple[EndpointInfo, ...] = ()
    departed: tuple[tuple[Name, Count], ...] = ()
    """Members of this term that ended: id and start time of the process, in ms."""
    size: Count = 0
    """Largest number of endpoints that were registered and not draining."""
    floor: tuple[Count, Count] = NO_POSITION
    """Position that the next primary needs: where the term began, or how far a member
    that was removed had received."""
    next_primary: Name = ""
    """The endpoint whose promotion was or will be requested; empty if not sealed."""
    next_members: tuple[EndpointInfo, ...] = ()
    """Members of the term that this promotion begins, its primary included."""
    next_floor: tuple[Count, Count] = NO_POSITION
    """The end of the log of that endpoint, with which it begins its term."""
    seal_token: Count = 0
    """Fencing token of the promotion that the seal announces."""
    seal_holder: Name = ""
    """The VM that announced it."""
    seals: Count = 0
    """Number of seals for this next primary: each may have led to a call."""
    answered: Count = 0
    """How many of these calls the platform has answered, so that they are not on their
    way any more."""
    outstanding: Name = ""
    """The primary, if a second call under the seal of the term before may promote it
    again; empty if there was only one."""
    repeat_unanswered: bool = False
    """Whether one of several calls under the seal of the term before may still be on
    its way."""
    fence: Count = 0
    """Highest fencing token of the group's promotions, in this term and before."""
    resuming: Name = ""
    """Id of the RESUME commands that a holder sends; empty if all were answered."""

    @property
    def is_sealed(self) -> bool:
        """Whether a promotion was or will be requested under this roster."""
        return bool(self.next_primary)

    @property
    def has_call_out(self) -> bool:
        """Whether a call may be on its way that the platform hasn't answered."""
        if self.is_sealed:
            return self.answered < self.seals
        return self.repeat_unanswered

    @property
    def highest_token(self) -> int:
        """Highest fencing token known; VMs of earlier versions keep only the seal's."""
        return max(self.fence, self.seal_token)

    def opened(self) -> Roster:
        """Return the roster without its seal."""
        return msgspec.structs.replace(
            self,
            next_primary="",
            next_members=(),
            next_floor=NO_POSITION,
            seal_token=0,
            seal_holder="",
            seals=0,
            answered=0,
        )

    def successor(self) -> Roster:
        """Return the roster of the next term, as announced by the seal.

        It isn't sealed: a promotion beyond that term needs a roster of it first.
        """
        return Roster(
            term=self.term + 1,
            primary=self.next_primary,
            members=self.next_members,
            size=self.size,
            floor=self.next_floor,
            outstanding=self.next_primary if self.seals > 1 else "",
            repeat_unanswered=self.seals > 1 and self.has_call_out,
            fence=self.highest_token,
        )
