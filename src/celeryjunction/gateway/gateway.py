"""State that sessions share: the routes in force, the groups and their dispatchers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING

from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.request_log import RequestLog
from celeryjunction.gateway.routes import Route, RouteTable
from celeryjunction.logs import get_logger
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.route_updates.confirmation import RoutesConfirmation

if TYPE_CHECKING:
    from celeryjunction.allotments.allotments import Allotments

_log = get_logger("gateway")


class Gateway:
    """Routes, groups and counters of one VM.

    `running` is the number of statements in progress.
    """

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.request_log = RequestLog(clock=clock)
        self.table: RouteTable | None = None
        self.groups: dict[str, ReplicationGroup] = {}
        self.dispatchers: dict[str, Dispatcher] = {}
        self.allotments: Allotments | None = None
        """Limits of the organisations; None while no routes in force have any."""
        self.on_newer_routes: Callable[[int], None] = lambda version: None
        """Called when another VM has newer routes in force than this one."""
        self.routes_bound_s: Callable[[], float] = lambda: math.inf
        """Returns the bound on a change of the routes, seconds."""
        self.confirmation: RoutesConfirmation | None = None
        """Until when the routes are known to be the newest; None without a store."""
        self.open_transactions = 0
        self.running = 0

    def apply_routes(self, table: RouteTable, *, age_s: float | None = None) -> bool:
        """Put routes in force if their version is newer; return whether it is.

        `age_s` is the age of the routes that they replace, for the log.
        """
        previous = self.table
        if previous is not None and table.version <= previous.version:
            if table.version < previous.version:
                _log.warning(
                    "routes_not_newer",
                    version=table.version,
                    in_force=previous.version,
                )
            return False
        self.table = table
        _log.info(
            "routes_in_force",
            version=table.version,
            before=previous.version if previous else None,
            routes=len(table.routes),
            groups=len(table.groups),
            previous_age_s=age_s,
        )
        return True

    @property
    def version(self) -> int:
        """Version of the routes in force; 0 if there are none yet."""
        return self.table.version if self.table is not None else 0

    def route(self, database: str) -> Route | None:
        """Return the route in force for a database name."""
        return self.table.route(database) if self.table is not None else None

    def refusal(self, error: ProxyError) -> ProxyError:
        """Return the error for what the routes in force do not have.

        It says that a database or a key does not exist only if the routes were the
        newest ones within the bound on a change. Otherwise the client may try again,
        at once at another VM.
        """
        confirmation = self.confirmation
        if confirmation is None or self.table is None:
            return error
        age_s = confirmation.age_s(self.clock.monotonic())
        is_outdated = confirmation.newer_version(self.table.version) > 0
        is_outdated = is_outdated or confirmation.is_newest_unusable
        if age_s <= self.routes_bound_s() and not is_outdated:
            return error
        details = {"database": error.details["database"], "age_s": age_s}
        return ProxyError(ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES, details)

    def weight(self, organisation: str) -> float:
        """Return an organisation's share of the slots relative to others."""
        table = self.table.organisations if self.table is not None else None
        found = table.get(organisation) if table is not None else None
        return found.weight if found is not None else 1.0

    @property
    def idle_transaction_s(self) -> float:
        """Seconds after which an idle transaction is rolled back; 0 for no limit."""
        return self.table.idle_transaction_s if self.table is not None else 0.0
