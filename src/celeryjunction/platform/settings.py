"""The settings file that the platform provides for this program."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from celeryjunction.decoding import (
    Amount,
    DecodingError,
    IpAddress,
    ListenPort,
    decode_json,
    parse_address,
)

SETTINGS_PATH_VARIABLE = "CELERYJUNCTION_CONFIG"


class SettingsError(Exception):
    """The settings file is missing or can't be decoded."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this process serves, each ``IP:PORT``."""

    front: IpAddress
    """For clients, on the line protocol."""
    ready: IpAddress
    """For readiness checks and metrics, over HTTP."""


class Address(msgspec.Struct, frozen=True):
    """Address of a service of the platform, ``IP:PORT``."""

    address: IpAddress


class Bounds(msgspec.Struct, frozen=True):
    """Time bounds of the platform that this program keeps with its own timers."""

    drain_ms: Amount
    """Time after which a draining endpoint must get no new statements."""
    grace_s: Amount
    """Time from SIGTERM to SIGKILL."""
    config_apply_ms: Amount = 3000.0
    """Time after which a changed config must be in force."""
    contact_ms: Amount = 0.0
    """Time for which a VM whose connections failed is not held to such bounds."""
    quota_window_s: Amount = 5.0
    quota_overrun: Amount = 0.1
    quota_slack: Amount = 20.0
    """Bound on an organisation's operations, see `QuotaBound`."""


class Limits(msgspec.Struct, frozen=True):
    """Resource limits of the VM."""

    link_mbps: Amount = 1.0
    """Capacity of the VM's network link, Mbit/s."""
    cpu_share: Amount = 1.0
    """Part of its processor cores that the VM may use."""
    cores: Amount = 1.0
    memory_mb: Amount = 200.0
    fd_limit: Amount = 4300.0


class EdgeSettings(msgspec.Struct, frozen=True):
    """The settings that this program reads; unknown fields are ignored."""

    node_name: str
    zone: str
    listen: Listen
    platform: Address
    """The metadata store."""
    cloud_api: Address
    """The service that promotes replicas."""
    bounds: Bounds
    limits: Limits = Limits()
    internal_port_range: list[ListenPort] = []


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port; raises `SettingsError`."""
    if (parsed := parse_address(address)) is None:
        raise SettingsError(f"{address[:60]!r} is not an address IP:PORT")
    return parsed


def internal_address(settings: EdgeSettings) -> tuple[str, int]:
    """Return the listener for other VMs, on any free port without a port range."""
    host, _ = split_address(settings.listen.front)
    ports = settings.internal_port_range
    return host, ports[0] if ports else 0


def load_settings() -> EdgeSettings:
    """Read the file that `SETTINGS_PATH_VARIABLE` names; raises `SettingsError`."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(
            f"set {SETTINGS_PATH_VARIABLE} to the path of the settings file"
        )
    try:
        return decode_json(EdgeSettings, Path(path).read_bytes())
    except (OSError, DecodingError) as error:
        raise SettingsError(f"{path}: {error}") from None
