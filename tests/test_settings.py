"""Tests of the settings file."""

from __future__ import annotations

import re
from pathlib import Path

import json5
import pytest

from celeryjunction.settings import (
    ProxySettings,
    SettingsError,
    load_settings,
)

DOC = Path(__file__).parent.parent / "docs" / "settings.md"
KEY = "k" * 32


def example() -> str:
    return re.search(r"```json5\n(.*?)```", DOC.read_text(), re.S).group(1)


def minimal(**changes: object) -> str:
    address = {"host": "127.0.0.1", "port": 0}
    values = {"vm": "a", "zone": "z", "listen": address, "status": address}
    values |= {"peers": {**address, "keys": [KEY]}}
    values |= {"store": {"endpoints": ["127.0.0.1:2379"]}}
    return json5.dumps({**values, **changes})


def problems_of(tmp_path: Path, text: str) -> dict[str, str]:
    path = tmp_path / "proxy.json5"
    path.write_text(text)
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert all(problem.remedy for problem in caught.value.problems)
    return {problem.field_path: str(problem) for problem in caught.value.problems}


class TestExample:
    def load(self, tmp_path: Path) -> ProxySettings:
        path = tmp_path / "proxy.json5"
        path.write_text(example())
        return load_settings(path)

    def test_documented_example_loads(self, tmp_path: Path) -> None:
        # Guards against documentation that shows settings which the proxy rejects.
        settings = self.load(tmp_path)
        assert settings.groups[0].endpoints[2].port == 7003
        assert settings.contracts[0].work["counter"].rank == "urgent"
        assert (settings.limits.drain_notice_s, settings.limits.drain_limit_s) == (
            5,
            30,
        )

    def test_every_key_is_documented(self) -> None:
        # Guards against a key that is added without a row in docs/settings.md.
        rows = set(re.findall(r"^\| `([\w.]+)`", DOC.read_text(), re.M))
        for name in ProxySettings.__struct_fields__:
            assert any(row == name or row.startswith(f"{name}.") for row in rows), name

    def test_repr_hides_secrets(self, tmp_path: Path) -> None:
        # Guards against keys and verifiers in log lines and tracebacks.
        text = repr(self.load(tmp_path))
        assert "random-characters" not in text and "SCRAM" not in text


class TestProblems:
    def test_all_problems_are_reported_with_their_lines(self, tmp_path: Path) -> None:
        # Guards against reporting only one problem for each run.
        text = """{ // one
          vm: "A", zone: "z", colour: 1,
          listen: {host: "localhost", port: 70000},
          /* four
           */ status: {host: "127.0.0.1", port: true},
          peers: {host: "0.0.0.0", port: 1, keys: ["hush"]},
        }"""
        found = problems_of(tmp_path, text)
        expected = "vm:2 listen.host:3 listen.port:3 status.port:5 peers.host:6 "
        expected += "peers.keys[0]:6 colour:2 groups: contracts:"
        lines = [
            f"{field_path}:{''.join(re.findall(r'line (.)', text))}"
            for field_path, text in found.items()
        ]
        assert lines == expected.split()
        assert "from 0 up to 65,535" in found["listen.port"]

    def test_keys_are_never_shown(self, tmp_path: Path) -> None:
        for keys in ('"hush-hush"', '{a: "hush-hush"}', '["hush-hush"]'):
            text = minimal().replace(f'["{KEY}"]', keys)
            assert "hush-hush" not in str(problems_of(tmp_path, text))

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("{\n a: ]", 'document (line 2): not readable as JSON: unexpected "]" at'),
            ("", "not readable"),
            ("[" * 100_000, "nested too deeply"),
            ("1" * 5000, "thousands of digits"),
            ("// x\n" * 30_000, "are more than"),
            ("[]", "a list is not an object"),
            ('{vm: "a", "vm": "b"}', "vm (line 1): is given twice"),
        ],
    )
    def test_unreadable_text(self, tmp_path: Path, text: str, expected: str) -> None:
        # Guards against a traceback instead of a problem that names its position.
        assert expected in str(problems_of(tmp_path, text))

    def test_missing_file_and_bad_encoding(self, tmp_path: Path) -> None:
        with pytest.raises(SettingsError, match="does not exist"):
            load_settings(tmp_path / "none.json5")
        path = tmp_path / "latin.json5"
        path.write_bytes(b'{vm: "\xe9"}')
        with pytest.raises(SettingsError, match="not UTF-8"):
            load_settings(path)

    def test_limits_of_fields(self, tmp_path: Path) -> None:
        bad = ["localhost:1", "::1:1", "127.0.0.1:0"]
        found = problems_of(
            tmp_path,
            minimal(
                store={"endpoints": ["[::1]:1", *bad]},
                groups=[],
                connection_share=0,
                limits={"drain_limit_s": float("inf")},
                peers={"host": "::1", "port": 1, "keys": [KEY, KEY]},
                log_level="info\n",
            ),
        )
        expected = "store.endpoints[1] store.endpoints[2] store.endpoints[3] "
        expected += "connection_share limits.drain_limit_s peers.keys[1] log_level"
        assert set(found) == set(expected.split())
        found = problems_of(tmp_path, minimal(groups=[], store={"endpoints": []}))
        assert set(found) == {"store.endpoints"}
        assert "groups" in problems_of(tmp_path, minimal(groups=[]))

    def test_port_shared_by_two_servers(self, tmp_path: Path) -> None:
        # Guards against a port conflict that shows only when the second server binds.
        listen, status = ({"host": h, "port": 6000} for h in ("0.0.0.0", "127.0.0.1"))
        found = problems_of(tmp_path, minimal(listen=listen, status=status))
        assert set(found) == {"status.port"}

    def test_tls_files(self, tmp_path: Path) -> None:
        # Guards against a failure at start-up after `check` printed "ok".
        tls = {"certificate": "c.pem", "key": "k.pem"}
        text = minimal(listen={"host": "127.0.0.1", "port": 0, "tls": tls})
        found = set(problems_of(tmp_path, text))
        assert found == {"listen.tls.certificate", "listen.tls.key"}
        for name in tls.values():
            (tmp_path / name).write_text("x")
        assert set(problems_of(tmp_path, text)) == {"listen.tls"}


class TestStaticData:
    def test_groups_and_contracts_are_checked(self, tmp_path: Path) -> None:
        values = json5.loads(example())
        group, contract = values["groups"][0], values["contracts"][0]
        group["primary"] = "nobody"
        group["endpoints"][0]["port"] = 0
        values["contracts"] = [contract, "none.json", {**contract, "connections": 0}]
        found = problems_of(tmp_path, json5.dumps(values))
        expected = "groups[0].endpoints[0].port contracts[1] contracts[2].connections"
        assert set(found) == set(expected.split())

    def test_contracts_are_checked_against_each_other(self, tmp_path: Path) -> None:
        values = json5.loads(example())
        contract = values["contracts"][0]
        (tmp_path / "other.json").write_text(
            json5.dumps({**contract, "customer": "other"}, quote_keys=True)
        )
        values["contracts"].append("other.json")
        found = problems_of(tmp_path, json5.dumps(values))
        assert set(found) == {"contracts[1].shares"}
