"""Routes: the group, consistency and priority of each database name."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.organisations import ANYONE, Caller, OrganisationTable


class Consistency(Enum):
    """What a route's reads must see."""

    PRIMARY = "primary"
    """All commits that were acknowledged before the read began."""
    READ_YOUR_WRITES = "read_your_writes"
    """The session's own commits, and all commits older than the route's bound."""
    BOUNDED_STALENESS = "bounded_staleness"
    """All commits older than the route's bound."""


class Route(msgspec.Struct, frozen=True):
    """How statements for one database name are served.

    Priority 0 is the most urgent.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    """Time-out of a statement from its arrival, seconds."""
    goal_s: float
    """Goal for the answer time, seconds."""
    priority: int = 1
    staleness_s: float = 0.0
    """Bound of the staleness of reads, seconds."""
    anonymous: bool = False
    """Whether clients need no key and belong to no organisation."""


class GroupSettings(msgspec.Struct, frozen=True):
    """Settings of one group in the config."""

    name: str
    connection_limit: int
    """Connections that an endpoint accepts from all VMs together."""
    synchronous_replicas: int


class RouteTable:
    """All routes of one config version; immutable."""

    __slots__ = (
        "_by_database",
        "_open_groups",
        "groups",
        "idle_transaction_s",
        "organisations",
        "version",
    )

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        groups: tuple[GroupSettings, ...],
        idle_transaction_s: float,
        organisations: OrganisationTable | None = None,
    ) -> None:
        self.version = version
        self.organisations = organisations
        """The organisations; None if clients need no key."""
        self.groups = {group.name: group for group in groups}
        self.idle_transaction_s = idle_transaction_s
        self._by_database = {route.database: route for route in routes}
        self._open_groups = {route.group for route in routes if route.anonymous}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "version", self.version
        yield "routes", len(self._by_database)

    @property
    def routes(self) -> list[Route]:
        """All routes of the table."""
        return list(self._by_database.values())

    def route(self, database: str) -> Route | None:
        """Return the route of a database name, or None."""
        return self._by_database.get(database)

    def serves_no_owner(self, group: str) -> bool:
        """Whether a group has statements of clients without an organisation."""
        return self.organisations is None or group in self._open_groups

    def identify(self, database: str, digest: bytes) -> Caller:
        """Return who a client of a database is, by the digest of its key.

        Raises `ProxyError` if there is no such route, or no organisation has the key.
        """
        route = self.route(database)
        if route is None:
            raise ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": database})
        if self.organisations is None or route.anonymous:
            return ANYONE
        organisation = self.organisations.find(digest)
        if organisation is None:
            raise ProxyError(ErrorKind.UNKNOWN_KEY, {"database": database})
        return Caller(organisation.name, digest)

    def still_admits(self, database: str, caller: Caller) -> bool:
        """Whether a session that an earlier version admitted may go on.

        A session whose route was removed is refused statement by statement instead.
        """
        route = self.route(database)
        if route is None:
            return True
        try:
            return self.identify(database, caller.digest) == caller
        except ProxyError:
            return False
