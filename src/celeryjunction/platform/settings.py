"""The platform's settings file."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

PATH_VARIABLE = "CELERYJUNCTION_CONFIG"


class SettingsError(Exception):
    """The settings file is missing or lacks what is needed."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this process serves, each ``IP:PORT``."""

    front: str
    ready: str
    control: str = ""


class Address(msgspec.Struct, frozen=True):
    """A service of the platform, ``IP:PORT``."""

    address: str


class Bounds(msgspec.Struct, frozen=True):
    """The bounds of the rules that this program keeps by its own timers."""

    drain_ms: float
    """Time after which a draining endpoint must get nothing new."""
    grace_s: float
    """Time from SIGTERM to SIGKILL."""


class Limits(msgspec.Struct, frozen=True):
    """What the VM may use."""

    link_mbps: float = 1.0
    """Capacity of its network link, Mbit/s."""


class EdgeSettings(msgspec.Struct, frozen=True):
    """What the program reads of the settings; unknown fields are ignored."""

    node_name: str
    zone: str
    listen: Listen
    platform: Address
    cloud_api: Address
    bounds: Bounds
    limits: Limits = Limits()
    heartbeat_ms: float = 1200.0
    """Interval at which endpoints renew their register entries."""
    seeds: list[str] = []
    internal_port_range: list[int] = []


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT``; raises `SettingsError`."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{address!r} is not an address IP:PORT")
    return host, int(port)


def internal_address(settings: EdgeSettings) -> tuple[str, int]:
    """Return the address for other VMs: the first internal port of this VM.

    Any free port is taken where the settings name none.
    """
    host, _ = split_address(settings.listen.front)
    ports = settings.internal_port_range
    return host, ports[0] if ports else 0


def load_settings() -> EdgeSettings:
    """Read the file that the environment names; raises `SettingsError`."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"set {PATH_VARIABLE} to the path of the settings file")
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=EdgeSettings)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from None
