"""Tests of the contract commands, run as subprocesses."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
from _store_support import background_tasks, running_store, write
from aiohttp import web

from celeryjunction.contract_cli import STORE_VARIABLE, store_addresses, to_plain_json
from celeryjunction.contracts_store import CONTRACT_PREFIX
from celeryjunction.membership import VmRecord
from tests.test_contract import ORDER, group, values
from tests.test_settings import example, minimal


class Operator:
    """Runs commands as an operator against one store."""

    def __init__(self, server, store, path: Path) -> None:
        self.server, self.store, self.path = server, store, path

    def file(self, **changes: object) -> Path:
        path = self.path / "coop.json5"
        path.write_text("// comment\n" + json.dumps(values(**changes), indent=1))
        return path

    async def run(self, *arguments: object, editor: str = "") -> tuple[int, str, str]:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "celeryjunction", *map(str, arguments)),
            env=os.environ
            | {
                STORE_VARIABLE: f"127.0.0.1:{self.server.port}",
                "EDITOR": editor,
                "TMPDIR": str(self.path),
                "PYTHONPATH": "src",
            },
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, errors = await process.communicate()
        return process.returncode, out.decode(), errors.decode()

    async def set(self, *more: object, **changes: object) -> tuple[int, str, str]:
        file = self.file(**changes)
        return await self.run("contract", "set", file, "--reason", "test", *more)

    async def edit(
        self, old: str, new: str, *, pause_s: float = 0
    ) -> tuple[int, str, str]:
        script = self.path / "editor.py"
        script.write_text(
            "import pathlib, sys, time; path = pathlib.Path(sys.argv[1])\n"
            f"path.write_text(path.read_text().replace({old!r}, {new!r}))\n"
            f"time.sleep({pause_s})"
        )
        arguments = ("contract", "edit", "coop", "--reason", "test")
        return await self.run(*arguments, editor=f"{sys.executable} {script}")

    def edited_files(self) -> list[Path]:
        return list(self.path.glob("coop.*.json"))

    async def revision(self) -> int:
        return (await self.store.get(CONTRACT_PREFIX + "coop")).revision

    async def announce(
        self, name: str, applied: int, status: str = "127.0.0.1:9"
    ) -> None:
        vm = VmRecord(name, "a", "p", "s", status, 1, 0.0, applied)
        await write(self.store, f"/vms/{name}", msgspec.json.encode(vm))


@asynccontextmanager
async def running_operator(path: Path) -> AsyncIterator[Operator]:
    async with running_store() as (server, store):
        await write(store, "/groups/buylists", msgspec.json.encode(group()))
        yield Operator(server, store, path)


def revision_of(text: str) -> int:
    return int(text.split("accepted as revision ")[1].split()[0])


class TestSet:
    async def test_contract_and_its_audit_trail(self, tmp_path: Path) -> None:
        async with running_operator(tmp_path) as operator:
            code, out, _ = await operator.set("--author", "mei", shed_orders=[ORDER])
            first = revision_of(out)
            assert code == 0
            code, out, _ = await operator.set("--base", first, connections=7)
            second = revision_of(out)
            code, out, errors = await operator.run("contract", "get", "coop")
            assert (code, errors) == (0, f"revision {second}\n")
            assert json.loads(out)["connections"] == 7
            _, out, _ = await operator.run("contract", "list")
            assert f"customer=coop revision={second}" in out
            _, out, _ = await operator.run("contract", "diff", "coop", first, second)
            assert '+  "connections": 7' in out
            code, _, errors = await operator.run("contract", "diff", "coop", 1, second)
            assert code == 2 and f"kept are: {first}, {second}" in errors
            _, out, _ = await operator.run("audit")
            assert "author=mei" in out and "shed_signers=director" in out
            assert out == (await operator.run("contract", "history", "coop"))[1]

    async def test_contract_that_exceeds_limits_is_rejected(
        self, tmp_path: Path
    ) -> None:
        # Guards against accepting a contract that exceeds the group's connections or
        # the shares left by others, and against a rejection without a reason.
        async with running_operator(tmp_path) as operator:
            code, _, errors = await operator.set(customer="other")
            assert code == 0, errors
            code, _, errors = await operator.set(connections=30, shares={"urgent": 1.5})
            assert code == 2 and "shares.urgent (line" in errors and "1.5" in errors
            code, _, errors = await operator.set(connections=30)
            lines = operator.file(connections=30).read_text().splitlines()
            line = lines.index(' "connections": 30') + 1
            assert code == 2 and f"connections (line {line})" in errors
            assert "30 is more than the 20 connections of endpoint" in errors
            shares = {"urgent": 0.5, "interactive": 0.3}
            code, _, errors = await operator.set(shares=shares)
            assert code == 2 and "shares of 0.8 and 0.6 of other" in errors
            code, _, errors = await operator.set(databases=["nowhere"])
            assert code == 2 and "there is no database nowhere" in errors
            assert await operator.store.get(CONTRACT_PREFIX + "coop") is None

    async def test_conflict_shows_the_difference(self, tmp_path: Path) -> None:
        async with running_operator(tmp_path) as operator:
            await operator.set()
            code, out, errors = await operator.set(connections=7)
            assert (code, '+  "connections": 7' in out) == (3, True)
            assert "conflict: the contract is at revision" in errors

    async def test_wait_reports_lagging_vms(self, tmp_path: Path) -> None:
        # Guards against reporting a contract as in force while a VM still applies the
        # old one.
        async with running_operator(tmp_path) as operator:
            await operator.announce("vm1", 10_000)
            await operator.announce("vm2", 1)
            code, out, errors = await operator.set("--wait", 0.5)
            assert code == 4 and "accepted as revision" in out
            assert "vm2" in errors and "vm1" not in errors
            code, out, errors = await operator.run("contract", "status", "coop")
            assert code == 4 and "event=accepted customer=coop" in out
            assert "in force on 1 of 2 VMs" in out and "vm2" in errors
            base = await operator.revision()
            change = operator.set("--wait", 60, "--base", base, connections=7)
            async with background_tasks(change) as tasks:
                await operator.announce("vm2", 10_000)
                code, out, _ = await tasks[0]
            assert code == 0 and "in force on 2 of 2 VMs" in out

    async def test_vm_with_an_old_record_is_queried(self, tmp_path: Path) -> None:
        # Guards against reporting a contract as not in force only because a VM's record
        # is updated late.
        async def status(_: web.Request) -> web.Response:
            return web.json_response({"applied_revision": 10_000})

        app = web.Application()
        app.router.add_get("/status", status)
        runner = web.AppRunner(app)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            host, port = runner.addresses[0][:2]
            async with running_operator(tmp_path) as operator:
                await operator.announce("vm1", 1, f"{host}:{port}")
                code, out, _ = await operator.set("--wait", 10)
                assert code == 0 and "in force on 1 of 1 VMs" in out
        finally:
            await runner.cleanup()

    async def test_outage_of_the_store(self, tmp_path: Path) -> None:
        async with running_operator(tmp_path) as operator:
            operator.server.outage()
            code, _, errors = await operator.set()
            assert code == 1 and "gave no answer" in errors


class TestEdit:
    async def test_edit_changes_the_current_contract(self, tmp_path: Path) -> None:
        async with running_operator(tmp_path) as operator:
            await operator.set(connections=5)
            code, out, _ = await operator.edit('"connections": 5', '"connections": 6')
            assert code == 0 and "accepted as revision" in out
            stored = await operator.store.get(CONTRACT_PREFIX + "coop")
            assert b'\\"connections\\": 6' in stored.value
            assert operator.edited_files() == []
            assert (await operator.edit("x", "x"))[:2] == (0, "no change\n")

    async def test_conflict_keeps_the_edited_file(self, tmp_path: Path) -> None:
        # Guards against losing the edited file, or overwriting the other change.
        async with running_operator(tmp_path) as operator:
            await operator.set(connections=5)
            base, other = (
                await operator.revision(),
                await operator.store.get(CONTRACT_PREFIX + "coop"),
            )
            edit = operator.edit('"connections": 5', '"connections": 6', pause_s=1)
            async with background_tasks(edit) as tasks:
                while not operator.edited_files():
                    await asyncio.sleep(0.01)
                await write(operator.store, other.key, other.value)
                code, out, errors = await tasks[0]
            assert code == 3 and '+  "connections": 6' in out
            (edited,) = operator.edited_files()
            assert json.loads(edited.read_text())["connections"] == 6
            assert str(edited) in errors and f"revision {base}" in errors

    @pytest.mark.parametrize(
        ("old", "new"), [('s": 5', 's": 0'), ('"coop"', '"other"'), ("{", "")]
    )
    async def test_rejected_edit_is_kept(
        self, tmp_path: Path, old: str, new: str
    ) -> None:
        async with running_operator(tmp_path) as operator:
            await operator.set(connections=5)
            code, _, errors = await operator.edit(old, new)
            (edited,) = operator.edited_files()
            assert code == 2 and str(edited) in errors


class TestAddresses:
    def test_precedence_of_option_settings_and_variable(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.delenv(STORE_VARIABLE, raising=False)
        with pytest.raises(ValueError, match=STORE_VARIABLE):
            store_addresses("", None)
        monkeypatch.setenv(STORE_VARIABLE, "127.0.0.1:1, 127.0.0.1:2")
        assert store_addresses("", None) == ("127.0.0.1:1", "127.0.0.1:2")
        config = tmp_path / "proxy.json5"
        config.write_text(example())
        with pytest.raises(ValueError, match="names no key-value service"):
            store_addresses("", config)
        config.write_text(minimal())
        assert store_addresses("", config) == ("127.0.0.1:2379",)
        assert store_addresses("127.0.0.1:3", config) == ("127.0.0.1:3",)
        with pytest.raises(ValueError, match="localhost"):
            store_addresses("localhost:3", None)

    def test_comments_are_not_stored(self) -> None:
        # Guards against proxies that spend seconds on parsing JSON with comments.
        assert json.loads(to_plain_json("{a: 1, // b\n}")) == {"a": 1}
        assert to_plain_json('{"a":  1}') == '{"a":  1}'
