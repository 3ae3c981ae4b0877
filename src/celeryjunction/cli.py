"""Command line of celeryjunction.

Exit codes: 0 for success, 1 if an external dependency failed (for example, a proxy does
not answer), 2 for invalid arguments, settings or contracts.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Iterable
from getpass import getpass
from pathlib import Path
from typing import Annotated, NoReturn

import aiohttp
from typer import Argument, Exit, Option, Typer, echo

from celeryjunction._documents import DocumentError, Problem, read_file
from celeryjunction.contract import parse_contract
from celeryjunction.contract_cli import app as contract_app
from celeryjunction.contract_cli import audit
from celeryjunction.scram import make_verifier
from celeryjunction.settings import (
    SettingsError,
    describe_document,
    load_settings,
    parse_settings,
)
from celeryjunction.standin.cli import app as standin_app

app = Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)

_REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=10)  # Seconds.
_Url = Annotated[
    str, Option(help="URL of the proxy's status server, such as http://127.0.0.1:8080.")
]

app.add_typer(standin_app, name="standin")
app.add_typer(contract_app, name="contract")
app.command()(audit)


@app.callback()
def root() -> None:
    """Run a database proxy with session consistency."""


@app.command()
def check(files: Annotated[list[Path], Argument(metavar="FILE...")]) -> None:
    """Validate settings files and contracts, and print every problem."""
    failed = False
    for path in files:
        problems = _check_file(path)
        failed = failed or bool(problems)
        for problem in problems:
            echo(f"{path}: {problem}")
        if not problems:
            echo(f"{path}: ok")
    if failed:
        raise Exit(2)


def _check_file(path: Path) -> Iterable[Problem]:
    try:
        text = read_file(path)
        kind = describe_document(text)
        if kind == "contract":
            parse_contract(text)
        elif kind == "settings":
            parse_settings(text, directory=path.parent)
        else:
            message = "is neither a contract nor a settings file"
            remedy = "give customer (contract) or vm and listen (settings)"
            return [Problem("", message, remedy)]
    except DocumentError as error:
        return error.problems
    return []


@app.command()
def proxy(
    config: Annotated[Path, Option(help="Settings file, JSON with comments.")],
) -> None:
    """Run the proxy daemon."""
    try:
        settings = load_settings(config)
    except SettingsError as error:
        for problem in error.problems:
            echo(f"{config}: {problem}", err=True)
        raise Exit(2) from None
    # Imported here because the other commands do not need the daemon's libraries.
    from celeryjunction.daemon import run_proxy

    run_proxy(settings)


@app.command()
def status(url: _Url) -> None:
    """Print the status of a proxy as JSON."""
    echo(asyncio.run(_request("GET", f"{url.rstrip('/')}/status", {})))


@app.command()
def drain(
    url: _Url,
    key_file: Annotated[
        Path, Option(help="File that contains one of the peers' keys.")
    ],
) -> None:
    """Ask a proxy to finish its work and stop."""
    try:
        key = read_file(key_file).strip()
    except DocumentError as error:
        _fail(str(error.problems[0]), code=2)
    if not (key.isascii() and key.isprintable() and key):
        _fail(f"{key_file} does not hold one key of printable ASCII", code=2)
    headers = {"Authorization": f"Bearer {key}"}
    echo(asyncio.run(_request("POST", f"{url.rstrip('/')}/drain", headers)))


async def _request(method: str, url: str, headers: dict[str, str]) -> str:
    try:
        async with (
            aiohttp.ClientSession(timeout=_REQUEST_TIMEOUT) as session,
            # Following a redirect could send the key to another server.
            session.request(
                method, url, headers=headers, allow_redirects=False
            ) as response,
        ):
            text = await response.text()
    except aiohttp.InvalidURL:
        _fail(f"{url} is not a URL; give one such as http://127.0.0.1:8080", code=2)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = str(error) or type(error).__name__
        _fail(f"no answer from {url}: {reason}; check the address")
    if not 200 <= response.status < 300:
        _fail(f"{url} answered with status {response.status}: {text.strip()}")
    return text


@app.command()
def verifier() -> None:
    """Read a password and print its SCRAM verifier for a contract.

    The password is read from the terminal without echo, or from the first line of a
    pipe.
    """
    try:
        password = _read_password()
        echo(make_verifier(password))
    except ValueError as error:
        _fail(str(error), code=2)


def _read_password() -> str:
    if not sys.stdin.isatty():
        return sys.stdin.readline().rstrip("\r\n")
    password = getpass("Password: ")
    if getpass("Again: ") != password:
        raise ValueError("the passwords differ")
    return password


def _fail(message: str, *, code: int = 1) -> NoReturn:
    echo(message, err=True)
    raise Exit(code)


def main() -> None:
    """Run the command line."""
    app()
