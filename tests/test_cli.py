"""Tests of the command line."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from typer.testing import CliRunner

from celeryjunction.cli import app
from celeryjunction.scram import verifier_error
from tests.test_contract import values
from tests.test_settings import example
from tests.test_status import KEYS, FakeProxy


def run(*arguments: object, text: str = "") -> tuple[int, str, str]:
    result = CliRunner().invoke(app, [str(a) for a in arguments], input=text)
    assert result.exception is None or isinstance(result.exception, SystemExit)
    return result.exit_code, result.stdout, result.stderr


@pytest.fixture
def settings(tmp_path: Path) -> Path:
    path = tmp_path / "proxy.json5"
    path.write_text(example())
    return path


class TestCheck:
    def test_problems_of_all_files(self, tmp_path: Path, settings: Path) -> None:
        # Guards against a valid file that hides the problems of an earlier file.
        contract, other = tmp_path / "coop.json", tmp_path / "other.json"
        contract.write_text(str(values(verifier="hunter2", connections=0)))
        other.write_text("{}")
        assert run("check", settings) == (0, f"{settings}: ok\n", "")
        code, text, _ = run("check", contract, other, tmp_path / "none", settings)
        lines = text.splitlines()
        assert (code, len(lines)) == (2, 5)
        assert lines[1].startswith(f"{contract}: connections (line 1): 0 is not")
        assert "hunter2" not in text and lines[-1].endswith(": ok")


class TestProxy:
    def test_bad_settings_exit_2(self, settings: Path) -> None:
        settings.write_text("{vm: 1}")
        code, text, errors = run("proxy", "--config", settings)
        assert (code, text) == (2, "") and "listen: is missing" in errors


class TestVerifier:
    def test_password_from_a_pipe(self) -> None:
        code, text, _ = run("verifier", text="pencil\n")
        assert (code, verifier_error(text.strip())) == (0, None)
        assert run("verifier", text="\n") == (2, "", "the password is empty\n")


class TestRequests:
    async def test_status_and_drain(self, tmp_path: Path) -> None:
        proxy, key = FakeProxy(), tmp_path / "key"
        await proxy.server.start()
        url = f"http://127.0.0.1:{proxy.server.port}/"

        async def call(*arguments: object) -> tuple[int, str, str]:
            return await asyncio.to_thread(run, *arguments)

        try:
            assert await call("status", "--url", url) == (0, '{"vm":"a"}\n', "")
            key.write_text("wrong" * 8)
            code, _, errors = await call("drain", "--url", url, "--key-file", key)
            assert (code, proxy.drains) == (1, 0) and "401" in errors
            key.write_text(KEYS[1] + "\n")
            code, _, _ = await call("drain", "--url", url, "--key-file", key)
            assert (code, proxy.drains) == (0, 1)
        finally:
            await proxy.server.close()
        code, _, errors = await call("status", "--url", url)
        assert code == 1 and "no answer" in errors

    def test_bad_arguments_exit_2(self, tmp_path: Path) -> None:
        key = tmp_path / "key"
        key.write_text("a\nb")
        url = "http://127.0.0.1:1"
        assert run("drain", "--url", url, "--key-file", key)[0] == 2
        assert run("drain", "--url", url, "--key-file", tmp_path / "none")[0] == 2
        assert run("status", "--url", "nonsense")[0] == 2
