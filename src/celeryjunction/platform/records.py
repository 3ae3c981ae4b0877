"""Decodes the operator's config and the entries of the endpoint register."""

from __future__ import annotations

from typing import Literal

import msgspec

from celeryjunction.decoding import (
    Amount,
    Count,
    DecodingError,
    IpAddress,
    Name,
    Slots,
    decode_json,
    is_word,
)
from celeryjunction.gateway.organisations import Organisation, OrganisationTable
from celeryjunction.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from celeryjunction.logs import get_logger
from celeryjunction.ports import KeyValue
from celeryjunction.replication.ports import EndpointInfo

CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
REGISTER_PREFIX = "servers/"

_log = get_logger("records")


class _Route(msgspec.Struct):
    name: Name
    host: Name
    """Name of the database that clients connect to, not of a machine."""
    service: Name
    """Name of the database group."""
    kind: Consistency
    """Consistency of reads."""
    timeout_ms: Amount = 1000.0
    """Time limit of a single statement."""
    goal_ms: Amount = 1000.0
    """Latency objective of a whole operation."""
    priority: Count = 1
    max_staleness_ms: Amount = 0.0
    anonymous: bool = False


class _Service(msgspec.Struct):
    """A database group."""

    name: Name
    conn_limit: Count = 20
    """Limit of connections to each endpoint, from all VMs together."""
    sync_replicas: Count = 0


class _Limits(msgspec.Struct):
    tx_idle_ms: Amount = 0.0
    """Time after which an idle transaction is rolled back; 0 for no limit."""


class _Tenant(msgspec.Struct):
    """An organisation."""

    name: Name
    api_keys: list[str] = []
    rate_per_s: Amount = 0.0
    """Operations per second that all VMs together may run; 0 for no limit."""
    burst: Amount = 0.0


class _Config(msgspec.Struct):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _RegisterEntry(msgspec.Struct):
    service: Name
    address: IpAddress
    zone: Name
    slots: Slots
    state: Literal["ready", "draining"]
    db_role: str = ""
    born: Count = 0
    """Unix time at which the endpoint's process started, in ms; 0 if unknown."""


def decode_config(value: bytes) -> RouteTable | None:
    """Decode the operator's config; an invalid one is logged, and None returned."""
    try:
        config = decode_json(_Config, value)
    except DecodingError as error:
        _log.error("config_ignored", alarm=1, reason=str(error))
        return None
    groups = tuple(
        GroupSettings(service.name, service.conn_limit, service.sync_replicas)
        for service in config.services
    )
    return RouteTable(
        version=config.version,
        routes=tuple(map(_convert_route, config.routes)),
        groups=groups,
        idle_transaction_s=config.limits.tx_idle_ms / 1000,
        organisations=_convert_tenants(config.tenants),
    )


def _convert_tenants(tenants: list[_Tenant]) -> OrganisationTable | None:
    """Return the organisations; None if the config has none.

    A name that does not fit into a line is left out, and its keys are then unknown.
    """
    if not tenants:
        return None
    return OrganisationTable(
        (
            Organisation(tenant.name, tenant.rate_per_s, tenant.burst),
            [key.encode() for key in tenant.api_keys],
        )
        for tenant in tenants
        if is_word(tenant.name)
    )


def _convert_route(route: _Route) -> Route:
    return Route(
        name=route.name,
        database=route.host,
        group=route.service,
        consistency=route.kind,
        timeout_s=route.timeout_ms / 1000,
        goal_s=route.goal_ms / 1000,
        priority=route.priority,
        staleness_s=route.max_staleness_ms / 1000,
        anonymous=route.anonymous,
    )


def decode_endpoint(item: KeyValue) -> EndpointInfo | str:
    """Decode an entry of the register; return the reason if it is not valid."""
    name = item.key.removeprefix(REGISTER_PREFIX)
    if not is_word(name):
        return "the id is not a word of printable ASCII"
    try:
        entry = decode_json(_RegisterEntry, item.value)
    except DecodingError as error:
        return str(error)
    host, _, port = entry.address.rpartition(":")
    return EndpointInfo(
        id=name,
        group=entry.service,
        host=host,
        port=int(port),
        zone=entry.zone,
        slots=entry.slots,
        draining=entry.state == "draining",
        started_ms=entry.born,
    )
