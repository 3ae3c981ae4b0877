"""Applies the limits for clients: counts, closes and logs their connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from celeryjunction.client_limits.budget import MemoryBudget
from celeryjunction.client_limits.limits import (
    SMALLEST_FD_LIMIT,
    SMALLEST_MEMORY_MB,
    ClientLimits,
)
from celeryjunction.client_limits.work_gate import WorkGate
from celeryjunction.gateway.request_log import RequestLog
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock, SystemClock

SWEEP_S = 2.0
"""Interval at which overdue messages and answers are looked for."""


class ClientGuard:
    """Admits connections of clients and keeps what they hold within the limits."""

    def __init__(
        self, limits: ClientLimits, *, clock: Clock, metrics: Metrics, log: RequestLog
    ) -> None:
        self.limits = limits
        self.budget = MemoryBudget(limits.held_bytes)
        self.gate = WorkGate(limits.work_bytes)
        self.now: Callable[[], float] = clock.monotonic
        self._metrics = metrics
        self._log = log

    def admits(self) -> bool:
        """Whether a new connection is served; if not, that is counted and logged."""
        if self.budget.connections < self.limits.max_connections:
            return True
        self.report("connections", held=0)
        return False

    def report(self, reason: str, *, held: int) -> None:
        """Record that a connection is closed because of a limit."""
        self._metrics.count("client_connections_closed", reason=reason)
        self._log.write(
            "client_closed",
            reason=reason,
            held=held,
            connections=self.budget.connections,
            held_by_all=self.budget.held,
        )

    async def run(self) -> None:
        """Close overdue connections for ever."""
        while True:
            await asyncio.sleep(SWEEP_S)
            self.budget.close_overdue(self.now())


def default_guard() -> ClientGuard:
    """Return a guard with the limits of the smallest machine."""
    clock = SystemClock()
    limits = ClientLimits(memory_mb=SMALLEST_MEMORY_MB, descriptors=SMALLEST_FD_LIMIT)
    return ClientGuard(
        limits, clock=clock, metrics=Metrics(), log=RequestLog(clock=clock)
    )
