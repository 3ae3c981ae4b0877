"""Control connection to an endpoint, for status requests and failover commands."""

from __future__ import annotations

import asyncio
from typing import Protocol

from celeryjunction.errors import ConnectionLost
from celeryjunction.ports import Clock
from celeryjunction.replication.ports import (
    AskStatus,
    Command,
    EndpointDialer,
    EndpointInfo,
    EndpointLink,
    EndpointRefused,
    EndpointStatus,
    Fault,
)

ASK_TIMEOUT_S = 0.3
"""A status takes 0.5 ms of a slot; the limit allows for a queue of 30 ms statements."""
IDLE_TIMEOUT_S = 4.0
"""An unused connection is closed after this. Evidence is requested more often, so the
connections that provide it stay open."""
CONNECTION_REFUSED = "ConnectionRefusedError"
"""Failure when no process accepts connections at the address."""
ENDPOINT_REPLACED = Fault.WRONG_ENDPOINT.value
"""Failure when another process accepts connections at the address."""
OVERLOADED = frozenset({Fault.BUSY.value, Fault.TOO_MANY_CONNECTIONS.value})
"""Failures that only a running endpoint reports: it has no capacity left."""
REACHABLE = OVERLOADED | {""}
"""Values of `ControlLink.failure` with which the endpoint runs and is reached."""


class IdleConnectionPool(Protocol):
    """Lends idle statement connections for control commands."""

    def borrow(self, endpoint: str) -> EndpointLink | None:
        """Return the oldest idle connection; None if none can be lent."""
        ...

    def give_back(self, endpoint: str, link: EndpointLink) -> None:
        """Return a borrowed connection to the pool."""
        ...

    def adopt(self, endpoint: EndpointInfo, link: EndpointLink) -> bool:
        """Take over a new connection if statements may use it; return whether so."""
        ...

    def oldest_idle_s(self, endpoint: str) -> float:
        """Return for how long the connection that `borrow` returns has been open."""
        ...


class ControlLink:
    """Sends status requests and commands to one endpoint, one at a time.

    The connection is opened on demand and kept, unless `idle_pool` lends one: where
    many VMs share an endpoint's connection limit, one connection serves statements and
    control commands.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_idle_pool",
        "_link",
        "_lock",
        "_used_at",
        "_was_closed",
        "failed_at",
        "failing_since",
        "failure",
        "failures",
        "info",
    )

    def __init__(
        self,
        info: EndpointInfo,
        *,
        dialer: EndpointDialer,
        clock: Clock,
        idle_pool: IdleConnectionPool | None = None,
    ) -> None:
        self._idle_pool = idle_pool
        self.info = info
        self.failure = ""
        """Why the last command got no answer; empty when it got one."""
        self.failed_at = 0.0
        """When a command last got no answer; seconds."""
        self.failures = 0
        """Number of commands in a row without an answer."""
        self.failing_since = 0.0
        """When the first of these commands was sent; seconds."""
        self._dialer = dialer
        self._clock = clock
        self._link: EndpointLink | None = None
        self._used_at = 0.0
        self._was_closed = False
        self._lock = asyncio.Lock()

    @property
    def open_s(self) -> float:
        """Seconds for which the next command's connection has been open; 0 if none."""
        if self._link is None or not self._link.usable:
            idle_pool = self._idle_pool
            return (
                idle_pool.oldest_idle_s(self.info.id) if idle_pool is not None else 0.0
            )
        return self._clock.monotonic() - self._link.opened_at

    @property
    def was_closed(self) -> bool:
        """Whether the endpoint closed the idle connection, and none is open since."""
        return self._was_closed or self._is_closed

    @property
    def _is_closed(self) -> bool:
        link = self._link
        return link is not None and not link.usable and not self._lock.locked()

    async def ask(
        self, command: Command | None = None, *, timeout: float = ASK_TIMEOUT_S
    ) -> EndpointStatus | None:
        """Send a command, by default a status request, and return the status.

        None if no status came back within `timeout` seconds; `failure` has the reason.
        """
        sent_at = self._clock.monotonic()
        try:
            async with asyncio.timeout(timeout), self._lock:
                status = await self._ask(command or AskStatus(), timeout)
            self.failures = 0
            return status
        except TimeoutError:
            self.failure = "silent"
        except ConnectionLost as error:
            self.failure = error.reason
        except EndpointRefused as error:
            self.failure = error.fault.value
        self.failed_at = self._clock.monotonic()
        if self.failure in REACHABLE:
            self.failures = 0
        else:
            self.failing_since = self.failing_since if self.failures else sent_at
            self.failures += 1
        return None

    async def _ask(self, command: Command, timeout: float) -> EndpointStatus | None:
        self._used_at = self._clock.monotonic()
        link = self._link
        borrowed = None
        if link is None or not link.usable:
            if link is not None:
                self._was_closed = True
                link.close()
            self._link = None
            if self._idle_pool is not None:
                borrowed = self._idle_pool.borrow(self.info.id)
            link = borrowed or await self._dialer.connect(self.info, timeout=timeout)
            self._link = None if borrowed else link
        try:
            (answer,) = await link.run([command], timeout=timeout)
        except BaseException:
            link.close()
            raise
        finally:
            if borrowed is not None:
                self._idle_pool.give_back(self.info.id, borrowed)
            elif self._idle_pool is not None and self._idle_pool.adopt(self.info, link):
                self._link = None
        self._was_closed = False
        status = self._dialer.status(answer)
        self.failure = "" if status else (answer.fault or answer.state).value
        return status

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()

    def close_idle(self) -> None:
        """Close an unused connection, because endpoints limit their number."""
        idle_s = self._clock.monotonic() - self._used_at
        if (
            self._link is not None
            and idle_s >= IDLE_TIMEOUT_S
            and not self._lock.locked()
        ):
            self._link.close()
            self._link = None
            self._was_closed = False
