"""A proxy with simple policies as a baseline: ``python -m bench.baseline_proxy``.

The daemon runs with four policies replaced: statements are admitted first come, first
served, up to the number of connections; nothing is forwarded; each proxy gets an equal
part of the connections; and a read goes to a random endpoint among the fresh ones. The
arguments are those of ``python -m celeryjunction``.
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
    """A single queue for the connections, without ranks, shares or a slot limit."""

    def __init__(self, *, connections: int, clock: Clock, **_: object) -> None:
        self.concurrency = connections
        self.connections = connections
        self.running = 0
        self.connections_held = 0
        self._clock = clock
        self._queue: deque[tuple[Ticket, asyncio.Future[None]]] = deque()

    @property
    def queued(self) -> int:
        """Number of waiting statements."""
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
        """Count the start of another statement of an open transaction."""
        self.running += 1

    def release_slot(self, ticket: Ticket, *, service_s: float, ok: bool) -> None:
        """Count the end of a statement."""
        self.running -= 1

    def release_connection(self, ticket: Ticket) -> None:
        """Pass the connection to the first waiting statement, or free it."""
        if not ticket.holds_connection:
            return
        ticket.holds_connection = False
        while self._queue:
            _, future = self._queue.popleft()
            if not future.done():
                future.set_result(None)
                return
        self.connections_held -= 1


class RandomBalancer(Balancer):
    """Chooses among the candidates with equal probability."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random candidate that is not leaving."""
        return self._random.choice([c for c in candidates if not c.leaving])


async def _skip_peers(self: daemon.Proxy, directory: object) -> None:
    """Join no peers, so that the proxy forwards nothing."""


def replace_policies() -> None:
    """Replace the policies in this process."""
    endpoints.EndpointAdmission = FirstComeAdmission
    group.Balancer = RandomBalancer
    daemon.Proxy._join_peers = _skip_peers


if __name__ == "__main__":
    replace_policies()
    main()
