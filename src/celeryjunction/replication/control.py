"""A control connection to an endpoint, for status and the commands of a failover."""

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
"""A status takes 0.5 ms of a slot; this allows for a queue of 30 ms statements."""


IDLE_LIMIT_S = 4.0
"""An unused connection is closed after this. Evidence is asked for more often, so the
connections that give it stay open."""
REFUSED = "ConnectionRefusedError"
"""Failure of a connection that nobody accepts at the address."""
REPLACED = Fault.WRONG_ENDPOINT.value
"""Failure of a connection that another process accepts at the address."""


class IdleConnectionPool(Protocol):
    """Idle connections for statements, which may carry a command in between."""

    def borrow(self, endpoint: str) -> EndpointLink | None:
        """Return the oldest idle connection; None if there is none to lend."""
        ...

    def give_back(self, endpoint: str, link: EndpointLink) -> None:
        """Take a borrowed connection back."""
        ...

    def adopt(self, endpoint: str, link: EndpointLink) -> bool:
        """Take over a new connection, if it may serve for statements as well."""
        ...

    def oldest_idle_s(self, endpoint: str) -> float:
        """Return for how long the connection that `borrow` gives has been open."""
        ...


class ControlLink:
    """Asks one endpoint for its status, one command at a time.

    The connection is opened when it is needed and kept, unless `idle_pool` lends one:
    where many VMs share an endpoint's limit, one connection serves for both.
    """

    __slots__ = (
        "_clock",
        "_dialer",
        "_idle_pool",
        "_link",
        "_lock",
        "_used_at",
        "failed_at",
        "failure",
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
        """When a command got no answer last, seconds."""
        self._dialer = dialer
        self._clock = clock
        self._link: EndpointLink | None = None
        self._used_at = 0.0
        self._lock = asyncio.Lock()

    @property
    def open_s(self) -> float:
        """Seconds for which the connection has been open; 0 without one."""
        if self._link is None or not self._link.usable:
            idle_pool = self._idle_pool
            return (
                idle_pool.oldest_idle_s(self.info.id) if idle_pool is not None else 0.0
            )
        return self._clock.monotonic() - self._link.opened_at

    async def ask(
        self, command: Command | None = None, *, timeout: float = ASK_TIMEOUT_S
    ) -> EndpointStatus | None:
        """Send a command, by default for the status; None without a good answer.

        The reason is then in `failure`.
        """
        try:
            async with asyncio.timeout(timeout), self._lock:
                return await self._ask(command or AskStatus(), timeout)
        except TimeoutError:
            self.failure = "silent"
        except ConnectionLost as error:
            self.failure = error.reason
        except EndpointRefused as error:
            self.failure = error.fault.value
        self.failed_at = self._clock.monotonic()
        return None

    async def _ask(self, command: Command, timeout: float) -> EndpointStatus | None:
        self._used_at = self._clock.monotonic()
        link = self._link
        lent = None
        if link is None or not link.usable:
            self._link = None
            if self._idle_pool is not None:
                lent = self._idle_pool.borrow(self.info.id)
            link = lent or await self._dialer.connect(self.info, timeout=timeout)
            self._link = None if lent else link
        try:
            (answer,) = await link.run([command], timeout=timeout)
        except BaseException:
            link.close()
            raise
        finally:
            if lent is not None:
                self._idle_pool.give_back(self.info.id, lent)
            elif self._idle_pool is not None and self._idle_pool.adopt(
                self.info.id, link
            ):
                self._link = None
        status = self._dialer.status(answer)
        self.failure = "" if status else (answer.fault or answer.state).value
        return status

    def close(self) -> None:
        """Close the connection."""
        if self._link is not None:
            self._link.close()

    def close_idle(self) -> None:
        """Close a connection that was not used lately: endpoints limit their number."""
        idle_s = self._clock.monotonic() - self._used_at
        if (
            self._link is not None
            and idle_s >= IDLE_LIMIT_S
            and not self._lock.locked()
        ):
            self._link.close()
            self._link = None
