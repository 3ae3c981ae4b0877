"""Opens, lends and closes this VM's connections to one endpoint.

The rules are in `owned_connections`. Answers two loads: statements of many
organisations, each of which needs a connection of its own, and endpoints at their
connection limit, where further attempts pause for a moment.
"""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

from celeryjunction.dispatch.owned_connections import OwnedConnections
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    EndpointDialer,
    EndpointInfo,
    EndpointLink,
    EndpointRefused,
    Fault,
)

CONNECT_TIMEOUT_S = 0.3
"""Opening a connection takes 12 to 16 ms without load; the rest allows for a full
queue at the endpoint."""
IDLE_TIMEOUT_S = 8.0
"""Idle connections are closed after this, to leave the endpoint's connection limit to
other VMs."""
RESTING_IDLE_S = 0.5
"""Idle connections above the number at rest are closed after this."""
CONNECTION_LIMIT_BACKOFF_S = 0.1
"""Mean pause before another connection to an endpoint that is at its limit."""
INITIAL_OPENING_S = 0.012
"""Time to open a connection that is assumed before the first one."""
OPENING_WEIGHT = 0.1
"""Weight of a new sample in the moving average of this time."""


class ConnectionPool:
    """Connections of this VM to one endpoint.

    `metrics` counts the connections that were opened, reused, and evicted to make way
    for another owner's.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_lent",
        "_metrics",
        "_random",
        "_reused",
        "closed",
        "connection_limit_until",
        "connections",
        "opening_s",
        "resting_links",
    )

    def __init__(
        self,
        *,
        dialer: EndpointDialer,
        clock: Clock,
        random: Random,
        max_links: int,
        metrics: Metrics,
    ) -> None:
        self.connections = OwnedConnections(max_links=max_links)
        self.resting_links = max_links
        """Connections above which idle ones are closed soon."""
        self.opening_s = INITIAL_OPENING_S
        """Moving average of the time to open a connection."""
        self.connection_limit_until = 0.0
        self.closed = False
        self._dialer = dialer
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._lent: set[EndpointLink] = set()
        self._reused = 0
        """Connections reused since the last count, which `close_idle` passes on."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield from self.connections.__rich_repr__()
        yield "lent", len(self._lent)

    def has_link(self, now: float, owner: str = "") -> bool:
        """Whether a connection of an owner is idle or may be opened at `now`.

        While the endpoint is at its limit, a new one only replaces another owner's.
        """
        connections = self.connections
        return connections.has_idle(owner) or connections.may_open(
            owner, now, beside=now >= self.connection_limit_until
        )

    def take(self, values: dict[bytes, bytes], owner: str) -> EndpointLink | None:
        """Take an idle connection of an owner; one with these values is preferred."""
        link = self.connections.take(owner, values, self._clock.monotonic())
        self._reused += link is not None
        return link

    async def open(self, info: EndpointInfo, owner: str) -> EndpointLink:
        """Open a connection, in the place of an idle one if necessary.

        Raises `ConnectionLost` (nothing sent) or `EndpointRefused`.
        """
        connections, now = self.connections, self._clock.monotonic()
        if connections.make_room(now, beside=now >= self.connection_limit_until):
            self._metrics.count("connections_evicted")
        connections.add(owner)
        try:
            link = await self._dialer.connect(
                info, timeout=CONNECT_TIMEOUT_S, owner=owner
            )
        except BaseException as error:
            connections.remove(owner)
            self._record_connection_limit(error)
            raise
        took_s = self._clock.monotonic() - now
        self.opening_s += OPENING_WEIGHT * (took_s - self.opening_s)
        self._metrics.count("connections_opened")
        return link

    def _record_connection_limit(self, error: BaseException) -> None:
        if not isinstance(error, EndpointRefused):
            return
        if error.fault is Fault.TOO_MANY_CONNECTIONS:
            pause_s = CONNECTION_LIMIT_BACKOFF_S * self._random.uniform(0.5, 1.5)
            self.connection_limit_until = self._clock.monotonic() + pause_s

    def release(self, link: EndpointLink, *, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable.

        A connection with an open transaction is closed too, since the next statement
        would run inside that transaction.
        """
        if self.closed or not reusable or not link.usable or link.in_transaction:
            link.close()
            self.connections.remove(link.owner)
            return
        self.connections.put(link, self._clock.monotonic())

    # Connections shared with control commands

    def borrow(self) -> EndpointLink | None:
        """Lend the oldest idle connection for a control command; None without one."""
        link = self.connections.lend()
        if link is not None:
            self._lent.add(link)
        return link

    def take_back(self, link: EndpointLink) -> None:
        """Return a lent connection to the pool; close it if another pool lent it."""
        if link not in self._lent:
            link.close()
            return
        self._lent.remove(link)
        self.release(link, reusable=True)

    def adopt(self, link: EndpointLink) -> bool:
        """Take over a connection opened for a control command, if there is room."""
        connections = self.connections
        if self.closed or not link.usable or connections.links >= connections.max_links:
            return False
        connections.add(link.owner)
        self.release(link, reusable=True)
        return True

    @property
    def oldest_idle_s(self) -> float:
        """Age of the connection that `borrow` would lend, in seconds."""
        opened = [link.opened_at for link, _ in self.connections.idle if link.usable]
        return self._clock.monotonic() - min(opened) if opened else 0.0

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S, keep: int = 0) -> None:
        """Close the connections that have been idle for `older_than` seconds.

        Those above `resting_links` are closed sooner. The `keep` oldest ones stay open:
        a new connection costs the endpoint a slot, and evidence counts only on one that
        has been open for a while.
        """
        if self._reused:
            self._metrics.count("connections_reused", self._reused)
            self._reused = 0
        self.connections.close_idle(
            self._clock.monotonic(),
            older_than=older_than,
            resting_links=self.resting_links,
            resting_idle_s=min(older_than, RESTING_IDLE_S),
            keep=keep,
        )

    def close(self) -> None:
        """Close the idle connections now, and those in use when they are released."""
        self.closed = True
        self.close_idle(older_than=float("-inf"))
