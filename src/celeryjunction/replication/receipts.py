"""Proofs that commits of a group's term are kept by the next promotion.

A primary acknowledges a commit once any replica has received it. That replica may be
one that no holder of a claim knows, or one that leaves with its log, so a commit is
confirmed to its client only once a witness has received it: a member of the stored
roster that isn't about to leave. A promotion pauses all members and chooses the one
with the most log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Collection

from celeryjunction.logs import get_logger
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import NO_POSITION, LogPosition

MIN_RETRY_DELAY_S = 0.005
"""First pause between two attempts to prove a commit, which may be on its way."""
MAX_RETRY_DELAY_S = 0.1
EVIDENCE_RETRY_DELAY_S = 0.03
"""Pause between two attempts to reach a witness."""
MIN_EVIDENCE_TIME_S = 0.1
"""Least time for a witness to answer: a new connection and a round trip."""
MAX_WITNESS_AGE_S = 1.0
"""A write is sent only if a witness answered within this time. Longer than the interval
between samples, which ask one."""
UNPROVEN_RETRY_S = 0.5
"""Pause between two writes that are sent while an earlier commit is not proven."""

_log = get_logger("replication")


class CommitReceipts:
    """What the witnesses of one group are known to have received in its term.

    `term` returns the group's term. `ask` asks the witnesses until one answers that has
    received a position, and returns whether one has; it reports answers to `record`.
    `request_refresh` has the group's statuses asked for. `describe` returns what the
    log says about a commit without a proof.
    """

    __slots__ = (
        "_ask",
        "_attempt_at",
        "_clock",
        "_describe",
        "_group",
        "_request_refresh",
        "_round",
        "_term",
        "_unproven",
        "_vote",
        "_witnesses",
        "received",
        "witnessed_at",
    )

    def __init__(
        self,
        group: str,
        *,
        term: Callable[[], int],
        witnesses: Callable[[], Collection[str]],
        ask: Callable[[LogPosition], Awaitable[bool]],
        request_refresh: Callable[[], None],
        clock: Clock,
        describe: Callable[[], dict[str, object]] = dict,
    ) -> None:
        self._group = group
        self._describe = describe
        self._term = term
        self._witnesses = witnesses
        self._ask = ask
        self._request_refresh = request_refresh
        self._clock = clock
        self._round: asyncio.Task[bool] | None = None
        self._vote: LogPosition | None = None
        self._unproven = NO_POSITION
        """Highest position of this term that was not proven by its deadline."""
        self._attempt_at = 0.0
        """When a write is sent next although that one is not proven; seconds."""
        self.received = NO_POSITION
        """Highest position of this term that a witness is known to have received."""
        self.witnessed_at = 0.0
        """When the last witness that confirmed the primary was asked; seconds."""

    def clear(self) -> None:
        """Forget everything: a later term has begun."""
        self.received = self._unproven = NO_POSITION
        self._vote = None
        self.witnessed_at = 0.0

    def limit_to_vote(self, acknowledged: LogPosition | None) -> None:
        """Prove nothing beyond what this VM's vote says; None if it has none any more.

        A member that started again is taken over with what all votes say, so a commit
        must not be proven later by what its earlier process had received.
        """
        if acknowledged is None and self._vote is not None:
            self.received = NO_POSITION
        self._vote = acknowledged

    def record(self, received: LogPosition) -> None:
        """Note how far a witness that stays has received."""
        self.received = max(self.received, received)

    def record_witness(self, asked_at: float) -> None:
        """Note that a witness confirmed the primary when asked at `asked_at`."""
        self.witnessed_at = max(self.witnessed_at, asked_at)

    async def expect_witness(self, *, deadline: float) -> bool:
        """Return whether a witness confirmed the primary lately, or does now.

        One that has to be asked has until the deadline (seconds), and at least
        `MIN_EVIDENCE_TIME_S`. While an earlier commit is not proven, a later one hardly
        will be, so one round of requests decides. At times one is sent all the same:
        a replica may take up its log only with the next commit.
        """
        if self._unproven > self.received:
            await self._share_round(self._unproven)
            now = self._clock.monotonic()
            if self._unproven > self.received and now < self._attempt_at:
                return False
            self._attempt_at = now + UNPROVEN_RETRY_S
        time_s = max(deadline - self._clock.monotonic(), MIN_EVIDENCE_TIME_S)
        try:
            async with asyncio.timeout(time_s):
                while self._clock.monotonic() - self.witnessed_at > MAX_WITNESS_AGE_S:
                    started = self._clock.monotonic()
                    if await self._share_round(NO_POSITION):
                        self.record_witness(started)
                        break
                    await asyncio.sleep(EVIDENCE_RETRY_DELAY_S)
        except TimeoutError:
            return False
        return True

    async def prove(self, position: LogPosition, *, deadline: float) -> bool:
        """Return whether a witness has received a commit, by the deadline (seconds).

        False as soon as a later term than the commit's is known.
        """
        pause_s = MIN_RETRY_DELAY_S
        while self._term() <= position.term:
            if self._is_proven(position):
                return True
            if self._term() == position.term:
                await self._share_round(position)
            else:
                self._request_refresh()
            if self._is_proven(position):
                return True
            if self._clock.monotonic() + pause_s >= deadline:
                break
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_RETRY_DELAY_S)
        if self._term() == position.term and self.received < position:
            self._unproven = max(self._unproven, position)
            self._attempt_at = self._clock.monotonic() + UNPROVEN_RETRY_S
        _log.warning(
            "commit_not_proven",
            group=self._group,
            term=self._term(),
            position=str(position),
            received=str(self.received),
            witnesses=sorted(self._witnesses()),
            **self._describe(),
        )
        return False

    def _is_proven(self, position: LogPosition) -> bool:
        if self._vote is not None and position > self._vote:
            return False
        return self._term() == position.term and self.received >= position

    async def _share_round(self, position: LogPosition) -> bool:
        """Join the running round of requests, or start one for a position."""
        if self._round is None or self._round.done():
            self._round = asyncio.ensure_future(self._ask(position))
        return await asyncio.shield(self._round)
