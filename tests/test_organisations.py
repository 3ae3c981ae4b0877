"""Organisations: who a client is, which connections serve it, when it must leave."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from test_gateway import table
from test_relay import Site, site  # noqa: F401

from bench.platform_cluster import EdgeProcess, LineClient
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.organisations import ANYONE, Caller, key_digest
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.gateway.statements import Read
from celeryjunction.platform.records import decode_config
from celeryjunction.platform.standin import StandinPlatform

REVOKE_LIMIT_S = 5.0
"""The platform's bound on the time until a removed key's sessions have ended."""
KEYS = {"bode": "key-of-bode-1", "lund": "key-of-lund-1"}


def tenants(**keys: str) -> list[dict]:
    return [{"name": name, "api_keys": [key]} for name, key in keys.items()]


def decode(version: int = 1, *, anonymous: bool = False, **keys: str) -> RouteTable:
    route = {
        "name": "r",
        "host": "db",
        "service": "g",
        "kind": "primary",
        "anonymous": anonymous,
    }
    config = {
        "version": version,
        "routes": [route],
        "services": [{"name": "g"}],
        "tenants": tenants(**keys),
    }
    return decode_config(json.dumps(config).encode())


def refusal(routes: RouteTable, key: bytes) -> ErrorKind:
    with pytest.raises(ProxyError) as refused:
        routes.identify("db", key_digest(key))
    return refused.value.kind


class TestIdentity:
    def test_a_key_names_its_organisation(self) -> None:
        routes = decode(**KEYS)
        digest = key_digest(KEYS["lund"].encode())
        assert routes.identify("db", digest) == Caller("lund", digest)

    @pytest.mark.parametrize("key", [b"", b"key-of-nobody", b"bode", b"\xff"])
    def test_an_unknown_key_is_refused(self, key: bytes) -> None:
        assert refusal(decode(**KEYS), key) is ErrorKind.UNKNOWN_KEY

    def test_without_organisations_nobody_needs_a_key(self) -> None:
        assert decode().identify("db", b"") is ANYONE

    def test_an_anonymous_route_needs_no_key(self) -> None:
        assert decode(anonymous=True, **KEYS).identify("db", b"") is ANYONE

    def test_a_name_that_would_break_the_line_to_endpoints_has_no_keys(self) -> None:
        """Guards against a name with a blank, which would shift the line's fields."""
        assert refusal(decode(**{"bo de": "k"}), b"k") is ErrorKind.UNKNOWN_KEY


class TestStillAdmitted:
    """Guards against sessions that outlive what admitted them."""

    CALLER = Caller("bode", key_digest(KEYS["bode"].encode()))

    def test_while_the_organisation_holds_the_key(self) -> None:
        assert decode(**KEYS).still_admits("db", self.CALLER)

    def test_not_once_the_key_is_removed_or_given_to_another(self) -> None:
        moved = {"lund": KEYS["bode"]}
        for routes in (decode(bode="new", lund="l"), decode(**moved)):
            assert not routes.still_admits("db", self.CALLER)

    def test_not_without_a_key_once_the_route_needs_one(self) -> None:
        assert decode(anonymous=True, **KEYS).still_admits("db", ANYONE)
        assert not decode(**KEYS).still_admits("db", ANYONE)


class TestOlderHome:
    async def test_a_home_with_older_routes_runs_no_forwarded_statement(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against an answer that only an older version of the config allows."""
        refused: list[int] = []
        for home in site.homes:
            home.gateway.on_newer_routes = refused.append
        site.forwarding_vm.gateway.apply_routes(table(2))
        assert (await site.run(site.session(), Read())).fault is None
        assert refused == [2]
        rows = site.forwarding_vm.gateway.metrics.snapshot()["latency"]
        assert sum(row["count"] for row in rows) == 1  # It ran on its own VM.


class Edges:
    """Edge processes in one zone, with organisations in the config."""

    def __init__(self, folder: Path) -> None:
        self.platform = StandinPlatform()
        self.processes: list[EdgeProcess] = []
        self._folder = folder
        self._clients: list[LineClient] = []

    async def start(self, count: int) -> None:
        self.platform.tenants = tenants(**KEYS)
        await self.platform.start()
        for number in range(count):
            edge = EdgeProcess(self.platform, self._folder, f"edge-{number}")
            self.processes.append(edge)
            await edge.start()
        for edge in self.processes:
            await edge.wait_until_ready()

    async def client(self, organisation: str, number: int = 0) -> LineClient:
        client = await self.open(KEYS[organisation], number)
        assert client.greeting == "READY I -"
        return client

    async def open(self, key: str, number: int = 0) -> LineClient:
        client = LineClient(self.processes[number].front_port)
        self._clients.append(client)
        client.greeting = await client.open("lock-db", key)
        return client

    def callers(self, text: bytes) -> set[str]:
        """Return the names on the connections where endpoints ran a text."""
        return {
            caller
            for endpoint in self.platform.groups["db"].endpoints
            for caller, ran in endpoint.callers
            if ran == text
        }

    async def close(self) -> None:
        for client in self._clients:
            client.close()
        for edge in self.processes:
            await edge.stop(signal.SIGKILL)
        await self.platform.close()


@pytest.fixture
async def edges(tmp_path: Path) -> AsyncIterator[Edges]:
    edges = Edges(tmp_path)
    yield edges
    await edges.close()


class TestEdgeProcesses:
    async def test_endpoints_see_each_statement_under_its_organisation(
        self, edges: Edges
    ) -> None:
        """Guards against a connection that serves two organisations.

        The last of four edges is no home, so its statements are forwarded.
        """
        await edges.start(4)
        for number in range(4):
            for name in KEYS:
                client = await edges.client(name, number)
                text = f"WRITE {name}{number} x"
                assert (await client.send(text))[0].startswith("COMPLETE d.")
                assert edges.callers(text.encode()) == {name}
        assert edges.callers(b"STATUS") & {"edge-0", "edge-1", "edge-2", "edge-3"}
        assert "key-of" not in str(edges.callers(b"STATUS"))
        output = b"".join(edge.output for edge in edges.processes)
        assert output and b"key-of" not in output
        assert "key-of" not in (await edges.processes[0].probe("/metrics"))[1]

    async def test_an_unknown_key_is_denied_and_the_connection_closed(
        self, edges: Edges
    ) -> None:
        await edges.start(1)
        client = await edges.open("key-of-nobody")
        assert client.greeting.startswith("ERROR DENIED ")
        assert "key-of" not in client.greeting
        assert await client.closes_without_answer()

    async def test_a_removed_key_ends_its_sessions_and_no_others(
        self, edges: Edges
    ) -> None:
        """Guards against a transaction that commits after its key was removed."""
        await edges.start(1)
        idle, busy = await edges.client("bode"), await edges.client("bode")
        other = await edges.client("lund")
        for text in ("BEGIN", "WRITE revoked x"):
            assert (await busy.send(text))[-1].startswith("READY T")
        await other.send("BEGIN")
        edges.platform.tenants = tenants(bode="key-of-bode-2", lund=KEYS["lund"])
        edges.platform.configure()
        async with asyncio.timeout(REVOKE_LIMIT_S):
            assert await idle.closes_without_answer()
            assert await busy.closes_without_answer()
        assert (await other.send("WRITE kept x"))[-1].startswith("READY T")
        assert (await other.send("COMMIT"))[0].startswith("COMPLETE d.")
        assert (await edges.open(KEYS["bode"])).greeting.startswith("ERROR DENIED ")
        again = await edges.open("key-of-bode-2")
        assert again.greeting == "READY I -"
        assert not any(
            line.startswith("ROW x") for line in await again.send("READ revoked")
        )
