"""Pooled connections to one endpoint.

The pool hands a connection to one transaction at a time. Admission has already made
sure that the number of connections stays within the limit; the pool only opens,
keeps and closes them.
"""

from __future__ import annotations

import asyncio
from collections import deque

from celeryjunction.errors import ConnectionLost
from celeryjunction.ports import (
    Clock,
    EndpointConnection,
    EndpointConnector,
    EndpointRecord,
)

CONNECT_TIMEOUT_S = 3.0
MAX_CONNECTING = 2
"""Connections opened at once per endpoint, so that a failover causes no storm."""
IDLE_TIMEOUT_S = 60.0
"""An idle connection older than this since its last use is closed."""


class EndpointPool:
    """Idle connections to one endpoint; the most recently used is taken first."""

    __slots__ = (
        "_clock",
        "_closed",
        "_connecting",
        "_connector",
        "_database",
        "_idle",
        "_record",
    )

    def __init__(
        self,
        record: EndpointRecord,
        database: str,
        *,
        connector: EndpointConnector,
        clock: Clock,
    ) -> None:
        self._record = record
        self._database = database
        self._connector = connector
        self._clock = clock
        self._idle: deque[tuple[EndpointConnection, float]] = deque()
        self._connecting = asyncio.Semaphore(MAX_CONNECTING)
        self._closed = False

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(self, *, timeout: float) -> EndpointConnection:
        """Return an idle connection or open one, within `timeout` seconds.

        Raises `ConnectionLost` (never sent) or `EndpointError` when none can be had.
        """
        while self._idle:
            connection, _ = self._idle.pop()
            if connection.usable:
                return connection
        try:
            async with asyncio.timeout(timeout):
                return await self._connect(timeout)
        except TimeoutError:
            raise ConnectionLost("no connection in time", sent=False) from None

    async def _connect(self, timeout: float) -> EndpointConnection:
        async with self._connecting:
            # Another user may have returned a connection in the meantime.
            while self._idle:
                connection, _ = self._idle.pop()
                if connection.usable:
                    return connection
            return await self._connector.connect(
                self._record, self._database, timeout=min(timeout, CONNECT_TIMEOUT_S)
            )

    def release(self, connection: EndpointConnection) -> None:
        """Take a connection back; one whose state is in doubt is closed."""
        if self._closed or not connection.usable or connection.in_transaction:
            connection.close()
            return
        self._idle.append((connection, self._clock.monotonic()))

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S) -> int:
        """Close connections idle for more than so many seconds; return how many."""
        limit = self._clock.monotonic() - older_than
        closed = 0
        while self._idle and (self._idle[0][1] < limit or not self._idle[0][0].usable):
            self._idle.popleft()[0].close()
            closed += 1
        return closed

    def close(self) -> None:
        """Close all idle connections; those in use close when they come back."""
        self._closed = True
        while self._idle:
            self._idle.pop()[0].close()
