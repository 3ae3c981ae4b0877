"""Routes: which group serves a database name, how fresh and how urgent its work is."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum

import msgspec


class Consistency(Enum):
    """What a route's reads must see."""

    PRIMARY = "primary"
    """Every commit acknowledged before the read began."""
    READ_YOUR_WRITES = "read_your_writes"
    """The session's own commits, and all older than the route's bound."""
    BOUNDED_STALENESS = "bounded_staleness"
    """All commits older than the route's bound."""


class Route(msgspec.Struct, frozen=True):
    """Terms on which one database name is served. Priority 0 is the most urgent."""

    name: str
    database: str
    group: str
    consistency: Consistency
    timeout_s: float
    goal_s: float
    priority: int = 1
    staleness_s: float = 0.0


class GroupSettings(msgspec.Struct, frozen=True):
    """What the config says of one group."""

    name: str
    connection_limit: int
    """Connections that an endpoint accepts from all callers together."""
    synchronous_replicas: int


class RouteTable:
    """All routes of one config version; it never changes."""

    __slots__ = ("_by_database", "groups", "idle_transaction_s", "version")

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...],
        groups: tuple[GroupSettings, ...],
        idle_transaction_s: float,
    ) -> None:
        self.version = version
        self.groups = {group.name: group for group in groups}
        self.idle_transaction_s = idle_transaction_s
        self._by_database = {route.database: route for route in routes}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "version", self.version
        yield "routes", len(self._by_database)

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return list(self._by_database.values())

    def route(self, database: str) -> Route | None:
        """Return the route of a database name; None when there is none."""
        return self._by_database.get(database)
