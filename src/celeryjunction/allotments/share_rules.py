"""Who takes a free share, and from when until when a holder may use it.

A share is a key under `SHARE_PREFIX` with the holder's lease. A second key without a
lease, the *trace* of the share, stays after the holder is gone. Both name the era of
the store in which they were written: a value of another era shows that the store has
lost changes since, so that it may have forgotten a later holder. Such a holder may go
on for `USE_S` after its last renewal, which was before the loss. Until then the share
is not *settled*: it is held, so that no other VM takes it, but not used.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

import msgspec

from celeryjunction.decoding import (
    Count,
    DecodingError,
    Name,
    decode_json,
    parse_number,
)
from celeryjunction.home import rank_weighted
from celeryjunction.membership import VmRecord

SHARES = 3
SHARE_PREFIX = "allotments/"
TRACE_SUFFIX = "/trace"
LEASE_S = 12
"""The store may be unavailable for 9 s without a holder losing its share."""
RENEWAL_S = 1.75
"""Interval of renewals. An outage of 9 s that begins just before one, the check that is
due up to 0.25 s later and a call that hangs at the end of the outage (0.5 s, and 0.25 s
to the next check) are together shorter than `USE_S`."""
USE_S = 11.8
"""Time after sending a renewal for which a share may be used. The difference from
`LEASE_S` allows the clocks of the VM and the store to differ by 1.6% in speed."""
UNTRACED_DELAY_S = 3.0
"""Time after its first contact with the store in which a VM doesn't take a share that
has no trace. If the store has come back from a copy that is older than the trace,
running VMs notice it in this time and take the share first."""
TURN_S = 0.6
"""Time that each candidate has to take a free share before the next one may."""
MAX_TURNS = 8
"""Candidates that have a turn of their own; the others share the next one."""


class ShareEntry(msgspec.Struct, frozen=True):
    """Value of a share's key and of its trace."""

    vm: Name
    incarnation: Count
    era: Count
    """Era of the store in which the entry was written."""
    settled: bool = True
    """Whether no holder that the store has forgotten can use the share any more."""


class Decision(Enum):
    """What a VM may do with a share that it does not hold."""

    LEAVE = "leave"
    """Another VM holds it, or has its turn."""
    TAKE = "take"
    """Take it, and use it from now on."""
    TAKE_AND_WAIT = "take_and_wait"
    """Take it, and use it once no forgotten holder can use it any more."""


def share_key(share: int) -> str:
    """Return the key of a share."""
    return f"{SHARE_PREFIX}{share}"


def share_number(key: str) -> int | None:
    """Return the share whose key this is; None for other keys, such as traces."""
    number = parse_number(key.removeprefix(SHARE_PREFIX), limit=SHARES - 1)
    return number if number is not None and key == share_key(number) else None


def trace_key(share: int) -> str:
    """Return the key of a share's trace."""
    return f"{SHARE_PREFIX}{share}{TRACE_SUFFIX}"


def decode_entry(value: bytes | None) -> ShareEntry | None:
    """Decode an entry; None if there is none or another writer's is malformed."""
    if value is None:
        return None
    try:
        return decode_json(ShareEntry, value)
    except DecodingError:
        return None


def candidates(share: int, vms: Mapping[str, VmRecord]) -> list[str]:
    """Return the VMs that may take a share, in the order in which they should.

    First come the VMs of the share's zone, then those of the next zones.
    """
    by_zone: dict[str, dict[str, float]] = {}
    for record in vms.values():
        if not record.leaving:
            links = by_zone.setdefault(record.zone, {})
            links[record.name] = max(record.link_mbps, 1.0)
    zones = sorted(by_zone)
    return [
        name
        for index in range(len(zones))
        for name in rank_weighted(
            share_key(share), by_zone[zones[(share + index) % len(zones)]]
        )
    ]


def turn_delay_s(position: int) -> float:
    """Return how long a share must have been free for the candidate at a position."""
    return min(position, MAX_TURNS) * TURN_S


class Knowledge(msgspec.Struct, frozen=True):
    """What a VM knows of the store's past; times are seconds of its clock."""

    era: int
    contact_since: float
    """When the store first answered this process."""
    lost_at: float | None = None
    """When this process last found that the store had lost changes."""

    @property
    def forgotten_until(self) -> float:
        """Until when a holder that the store has forgotten may use its share."""
        since = self.contact_since if self.lost_at is None else self.lost_at
        return since + USE_S


def decide(
    entry: ShareEntry | None,
    trace: ShareEntry | None,
    *,
    own: ShareEntry,
    known: Knowledge,
    free_for_s: float,
    position: int,
    now: float,
) -> Decision:
    """Decide about a share that this VM does not hold.

    `own` is what this VM would write, `position` its place among the candidates, and
    `free_for_s` how long the share's key has been absent.
    """
    if entry is not None:
        if entry.vm != own.vm or entry.incarnation > own.incarnation:
            return Decision.LEAVE
        # The former process is dead, unless the store has lost that another VM took
        # the share from it.
    elif free_for_s < turn_delay_s(position):
        return Decision.LEAVE
    if known.lost_at is not None and now < known.forgotten_until:
        return Decision.TAKE_AND_WAIT
    latest = entry or trace
    if latest is None:
        delay_s = UNTRACED_DELAY_S + turn_delay_s(position)
        is_early = now - known.contact_since < delay_s
        return Decision.LEAVE if is_early else Decision.TAKE
    is_proven = latest.settled and latest.era == known.era
    if not is_proven and now < known.forgotten_until:
        return Decision.TAKE_AND_WAIT
    return Decision.TAKE
