"""Pooled connections to one endpoint.

A connection serves one transaction at a time. Admission control bounds the number of
connections; the pool only opens, keeps and closes them.
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
"""Connections opened at once per endpoint, which avoids a storm after a failover."""
IDLE_TIMEOUT_S = 60.0
"""A connection that has not been used for this time is closed."""


class EndpointPool:
    """Idle connections to one endpoint; the most recently used one is reused first."""

    __slots__ = (
        "_clock",
        "_closed",
        "_connect_slots",
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
        self._connect_slots = asyncio.Semaphore(MAX_CONNECTING)
        self._closed = False

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(self, *, timeout: float) -> EndpointConnection:
        """Return an idle connection or open one, within `timeout` seconds.

        Raises `ConnectionLost` (with `sent` False) or `EndpointError` if no connection
        can be opened.
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
        async with self._connect_slots:
            # A connection may have been released while this call waited.
            while self._idle:
                connection, _ = self._idle.pop()
                if connection.usable:
                    return connection
            return await self._connector.connect(
                self._record, self._database, timeout=min(timeout, CONNECT_TIMEOUT_S)
            )

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool; one whose state is uncertain is closed."""
        if self._closed or not connection.usable or connection.in_transaction:
            connection.close()
            return
        self._idle.append((connection, self._clock.monotonic()))

    def close_idle(self, *, older_than: float = IDLE_TIMEOUT_S) -> int:
        """Close connections idle for over `older_than` seconds; return how many."""
        idle_before = self._clock.monotonic() - older_than
        closed = 0
        while self._idle and (
            self._idle[0][1] < idle_before or not self._idle[0][0].usable
        ):
            self._idle.popleft()[0].close()
            closed += 1
        return closed

    def close(self) -> None:
        """Close all idle connections; those in use are closed on release."""
        self._closed = True
        while self._idle:
            self._idle.pop()[0].close()
