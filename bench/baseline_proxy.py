"""A proxy with plain policies, to compare with: ``python -m bench.baseline_proxy``.

It is the daemon with four policies replaced: statements are admitted first come, first
served, up to the connections; nothing is forwarded, and each proxy gets an equal part
of the connections; a read goes to a random endpoint among those that are fresh. It
takes the same arguments as ``python -m celeryjunction``.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Sequence

from celeryjunction import daemon, endpoints, group
from celeryjunction.admission import Ticket
from celeryjunction.balancer import Balancer, Candidate
from celeryjunction.cli import main
from celeryjunction.contract import Rank
from celeryjunction.ports import Clock


class FirstComeAdmission:
    """One queue for the connections, without ranks, shares or a limit by slots."""

    def __init__(self, *, connections: int, clock: Clock, **_: object) -> None:
        self.concurrency = connections
        self.connections = connections
        self.running = 0
        self.connections_held = 0
        self._clock = clock
        self._queue: deque[tuple[Ticket, asyncio.Future[None]]] = deque()

    @property
    def queued(self) -> int:
        """Number of statements that wait."""
        return sum(not future.done() for _, future in self._queue)

    def waiting_of(self, rank: Rank) -> int:
        """Return the number of waiting statements; all ranks share the queue."""
        return self.queued

    @property
    def waiting(self) -> dict[Rank, int]:
        """Waiting statements of each rank."""
        counts = dict.fromkeys(Rank, 0)
        for ticket, future in self._queue:
            counts[ticket.rank] += not future.done()
        return counts

    async def acquire(self, ticket: Ticket) -> None:
        """Wait for a free connection; raises `ProxyError` at the deadline."""
        ticket.entered_at = self._clock.monotonic()
        if self.connections_held >= self.connections:
            future = asyncio.get_running_loop().create_future()
            self._queue.append((ticket, future))
            try:
                async with asyncio.timeout(ticket.deadline - ticket.entered_at):
                    await future
            except TimeoutError:
                raise ticket.deadline_error() from None
        else:
            self.connections_held += 1
        ticket.holds_connection = True
        self.running += 1

    def acquire_slot(self, ticket: Ticket) -> None:
        """Count the next statement of an open transaction."""
        self.running += 1

    def release_slot(self, ticket: Ticket, *, service_s: float, ok: bool) -> None:
        """Count the end of a statement."""
        self.running -= 1

    def release_connection(self, ticket: Ticket) -> None:
        """Hand the connection to the first that waits."""
        if not ticket.holds_connection:
            return
        ticket.holds_connection = False
        while self._queue:
            _, future = self._queue.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.connections_held -= 1


class RandomChoice(Balancer):
    """Chooses among the candidates with equal chances."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return any candidate that stays."""
        return self._random.choice([c for c in candidates if not c.leaving])


async def _no_peers(self: daemon.Proxy, directory: object) -> None:
    """Leave the proxy without peers, so that it forwards nothing."""


def patch() -> None:
    """Replace the policies in this process."""
    endpoints.EndpointAdmission = FirstComeAdmission
    group.Balancer = RandomChoice
    daemon.Proxy._join_peers = _no_peers


if __name__ == "__main__":
    patch()
    main()
