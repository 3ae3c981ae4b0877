"""A replacement without a member that doesn't answer: the primary's log decides.

A member that is lost may be the only one with a commit, but the primary has all. So if
the primary answers and another member follows it, the primary is demoted first. Its log
ends then, and a replica that has all of it lacks no commit. The demoted primary is
paused with the others, and asked again after the seal, as a restart would end that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection
from typing import TypeGuard

from celeryjunction.replication.ports import Demote, EndpointStatus, LogPosition

CATCH_UP_S = 0.3
"""Time for a replica to receive what the primary has: some round trips."""
POLL_INTERVAL_S = 0.03

Ask = Callable[[str, Demote | None], Awaitable[EndpointStatus | None]]


async def end_log(
    ask: Ask,
    *,
    primary: str,
    term: int,
    members: Collection[str],
    is_claimed: Callable[[], Awaitable[bool]],
) -> bool:
    """Demote the primary of `term`; return whether its log has ended.

    Not if no member follows it, or if the claim is lost. `ask` sends a command, or asks
    for the status.
    """
    status = await ask(primary, None)
    if not _is_of(status, term) or not await _follow(ask, members, status.received):
        return False
    if not await is_claimed():
        return False
    status = await ask(primary, Demote(term + 1))
    if not _is_of(status, term) or status.is_primary:
        return False
    await _follow(ask, members, status.received)
    return True


def _is_of(status: EndpointStatus | None, term: int) -> TypeGuard[EndpointStatus]:
    return status is not None and status.term == term


async def _follow(ask: Ask, members: Collection[str], position: LogPosition) -> bool:
    """Return whether a member has received a position, or does soon."""
    for _ in range(round(CATCH_UP_S / POLL_INTERVAL_S)):
        answers = await asyncio.gather(*(ask(name, None) for name in members))
        if any(status and status.received >= position for status in answers):
            return True
        await asyncio.sleep(POLL_INTERVAL_S)
    return False
