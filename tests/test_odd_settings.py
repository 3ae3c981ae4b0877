"""Settings files that can't be decoded or hold values out of range."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from _odd_values import ODD_AMOUNTS, ODD_PORTS, encode_with, odd_values

from celeryjunction.platform.settings import (
    SETTINGS_PATH_VARIABLE,
    SettingsError,
    internal_address,
    load_settings,
    split_address,
)

SETTINGS = {
    "node_name": "edge-1",
    "zone": "a",
    "listen": {"front": "127.0.0.1:7000", "ready": "127.0.0.1:7001"},
    "internal_port_range": [7002, 7009],
    "platform": {"address": "127.0.0.1:7003"},
    "cloud_api": {"address": "127.0.0.1:7004"},
    "bounds": {"drain_ms": 7000, "grace_s": 6},
}
ODD_SETTINGS = dict(
    odd_values(
        SETTINGS,
        required=("node_name", "zone", "listen", "platform", "cloud_api", "bounds"),
        counts=(),
    )
)
for _name in ("drain_ms", "grace_s", "config_apply_ms", "contact_ms"):
    ODD_SETTINGS |= {
        f"{_name}: {kind}": encode_with(
            SETTINGS, "bounds", encode_with(SETTINGS["bounds"], _name, number)
        )
        for kind, number in ODD_AMOUNTS.items()
    }
ODD_SETTINGS |= {
    f"internal_port_range: {port.decode()[:20]}": encode_with(
        SETTINGS, "internal_port_range", b"[" + port + b"]"
    )
    for port in (b"-1", b"65536", b"1" + b"0" * 30, b'"1"', b"1e400")
}


for _address in ("front", "ready"):
    ODD_SETTINGS |= {
        f"{_address}: {kind}": encode_with(
            SETTINGS,
            "listen",
            json.dumps(SETTINGS["listen"] | {_address: f"127.0.0.1:{port}"}).encode(),
        )
        for kind, port in ODD_PORTS.items()
    }
for _service in ("platform", "cloud_api"):
    ODD_SETTINGS |= {
        f"{_service}: port {kind}": encode_with(
            SETTINGS, _service, json.dumps({"address": f"127.0.0.1:{port}"}).encode()
        )
        for kind, port in ODD_PORTS.items()
    }


class TestSettings:
    @pytest.fixture
    def path(self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
        path = tmp_path / "settings.json"
        monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
        return path

    @pytest.mark.parametrize("kind", ODD_SETTINGS)
    def test_an_odd_file_is_an_error_with_a_reason(self, path: Path, kind: str) -> None:
        path.write_bytes(ODD_SETTINGS[kind])
        with pytest.raises(SettingsError) as caught:
            load_settings()
        assert str(path) in str(caught.value)

    @pytest.mark.parametrize("kind", ODD_PORTS)
    def test_a_port_is_from_1_to_65535_in_ascii_digits(self, kind: str) -> None:
        with pytest.raises(SettingsError):
            split_address(f"127.0.0.1:{ODD_PORTS[kind]}")

    def test_a_valid_file_is_read(self, path: Path) -> None:
        path.write_text(json.dumps(SETTINGS))
        assert internal_address(load_settings()) == ("127.0.0.1", 7002)
