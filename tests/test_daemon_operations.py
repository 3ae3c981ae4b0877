"""Tests of a running proxy: contracts in force, leaving endpoints, shutdown."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import asyncpg
import logbook
import msgspec
import pytest
from _store_support import EVENT_TIMEOUT_S, eventually, running_store, write

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.contracts_store import (
    CONTRACT_PREFIX,
    ContractEnvelope,
    ContractStore,
)
from celeryjunction.daemon import Proxy
from celeryjunction.membership import VmRecord, list_vms
from celeryjunction.ports import SystemClock
from celeryjunction.settings import parse_settings
from celeryjunction.standin.cli import _publisher
from celeryjunction.standin.group import (
    EndpointConfig,
    GroupConfig,
    RunningGroup,
    serve_group,
)
from celeryjunction.standin.kv import RunningStore
from tests.test_contract import values

PASSWORD = "pencil"
TABLE = "CREATE TABLE t (n int4)"


def contract(**changes: object) -> str:
    document = {
        "databases": ["db1"],
        "work": {"counter": {}, "old": {"staleness_ms": 60_000}},
        "default_work": "counter",
        "shares": {"interactive": 0.5},
        "connections": 5,
        **changes,
    }
    return json.dumps(values(**document))


class Installation:
    """A key-value store, a group and a proxy in this process."""

    def __init__(
        self, server: RunningStore, store: EtcdStore, group: RunningGroup, proxy: Proxy
    ) -> None:
        self.server, self.store, self.group, self.proxy = server, store, group, proxy
        self.contracts = ContractStore(
            store, clock=SystemClock(), validate=lambda _: []
        )

    async def set(self, text: str, base: int, change_id: str) -> int:
        outcome = await self.contracts.set(
            "coop",
            text,
            base_revision=base,
            change_id=change_id,
            author="mei",
            reason="test",
        )
        return outcome.revision

    async def connect(self, user: str = "coop") -> asyncpg.Connection:
        return await asyncpg.connect(
            host="127.0.0.1",
            port=self.proxy.port,
            user=user,
            password=PASSWORD,
            database="db1",
            ssl=False,
        )

    async def vm(self) -> VmRecord | None:
        return next(iter(await list_vms(self.store)), None)

    def statements(self, endpoint: str) -> int:
        return self.group.state()[endpoint]["statements_run"]


def settings(port: int, **limits: float):
    document = {
        "vm": "vm-1",
        "zone": "a",
        "listen": {"host": "127.0.0.1", "port": 0},
        "status": {"host": "127.0.0.1", "port": 0},
        "peers": {"host": "127.0.0.1", "port": 0, "keys": ["k" * 32]},
        "store": {"endpoints": [f"127.0.0.1:{port}"]},
        "limits": {"drain_notice_s": 0, **limits},
    }
    return parse_settings(json.dumps(document), directory=Path())


@asynccontextmanager
async def installation(**limits: float) -> AsyncIterator[Installation]:
    async with running_store() as (server, store):
        endpoints = tuple(EndpointConfig(name=n, zone=n) for n in "abc")
        config = GroupConfig(name="db1", endpoints=endpoints, schema=(TABLE,))
        group = await serve_group(config, _publisher(store))
        proxy = Proxy(settings(server.port, **limits))
        env = Installation(server, store, group, proxy)
        try:
            env.first_revision = await env.set(contract(), 0, "c0")
            await proxy.start()
            yield env
        finally:
            await proxy.close()
            await group.close()


class TestContractsInForce:
    async def test_the_applied_revision_is_reported(self) -> None:
        # Guards against an applied revision that is reported before the VM uses the
        # contract.
        async with installation() as env:
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                while (vm := await env.vm()) is None:
                    await asyncio.sleep(0.01)
                assert vm.applied_revision == env.first_revision
                text = contract(idle_transaction_ms=5000)
                second = await env.set(text, env.first_revision, "c1")
                while (await env.vm()).applied_revision < second:
                    await asyncio.sleep(0.01)
            contracts = env.proxy._sessions._contracts
            assert contracts.contract("coop").idle_transaction_ms == 5000

    @pytest.mark.parametrize("text", ["{", contract(connections=0)])
    async def test_an_unreadable_contract_does_not_replace_the_last_valid_one(
        self, text: str
    ) -> None:
        # Guards against a customer refused because of an unreadable contract, and
        # against a VM that reports such a contract as in force.
        logs = logbook.TestHandler()
        with logs.applicationbound():
            async with installation() as env:
                envelope = ContractEnvelope("x", "mei", "test", 0.0, text)
                value = msgspec.json.encode(envelope)
                await write(env.store, CONTRACT_PREFIX + "coop", value)
                await eventually(
                    lambda: any(
                        "event=contract_ignored alarm=1" in r.message
                        for r in logs.records
                    )
                )
                client = await env.connect()
                assert await client.fetchval("SELECT 1") == 1
                await client.close()
                bad = (await env.store.get(CONTRACT_PREFIX + "coop")).revision
                applied = env.proxy._membership.record.applied_revision
                assert env.first_revision <= applied < bad


class TestLeavingEndpoint:
    @pytest.mark.parametrize("store_out", [False, True])
    async def test_a_replica_gets_no_new_work(self, store_out: bool) -> None:
        # Guards against reads that continue at a leaving endpoint, also when only its
        # own status shows that it leaves, and when the accepted staleness of the reads
        # makes status queries unnecessary.
        async with installation() as env:
            clients = [await env.connect(user) for user in ("coop.old", "coop")]
            for client in clients:
                await self.read(client)
            if store_out:
                env.server.outage()
            for name in "bc":
                env.group.endpoints[name].leaving = True
            if not store_out:
                await env.group.leaving("b")
            # Requirement R7 allows 3 s until a leaving endpoint gets no new work.
            await asyncio.sleep(3.0)
            before = [env.statements(name) for name in "abc"]
            for client in clients:
                await self.read(client)
            after = [env.statements(name) for name in "abc"]
            new = [b - a for a, b in zip(before, after, strict=True)]
            assert new == [40, 0, 0]
            group = env.proxy._local_groups()["db1"]
            await eventually(lambda: group.handles["b"].pool.idle == 0)
            for client in clients:
                await client.close()

    async def read(self, client: asyncpg.Connection) -> None:
        for _ in range(20):
            await client.fetchval("SELECT count(*) FROM t")

    async def test_a_primary_takes_writes_until_another_is_promoted(self) -> None:
        # Guards against refused writes while no other endpoint can accept them.
        async with installation() as env:
            client = await env.connect()
            await env.group.leaving("a")
            await asyncio.sleep(0.1)
            await client.execute("INSERT INTO t VALUES (1)")
            await env.group.promote("b")
            await client.execute("INSERT INTO t VALUES (2)")
            before = env.statements("a")
            for _ in range(10):
                assert await client.fetchval("SELECT count(*) FROM t") == 2
            assert env.statements("a") == before
            await client.close()


class TestDrain:
    async def test_open_work_ends_before_the_proxy_stops(self) -> None:
        # Guards against a shutdown that cuts off a transaction or an idle client.
        async with installation() as env:
            busy, idle = await env.connect(), await env.connect()
            transaction = busy.transaction()
            await transaction.start()
            await busy.execute("INSERT INTO t VALUES (1)")
            env.proxy.stop()
            await eventually(idle.is_closed)
            with pytest.raises(OSError):
                await env.connect()
            assert not env.proxy.stopped.is_set()
            await busy.execute("INSERT INTO t VALUES (2)")
            await transaction.commit()
            await asyncio.wait_for(env.proxy.stopped.wait(), EVENT_TIMEOUT_S)
            assert len(env.group.log("a")) == 1
            assert await env.vm() is None

    async def test_connections_are_accepted_during_the_notice_time(self) -> None:
        # Guards against clients refused before the load balancer sees the drain.
        async with installation(drain_notice_s=0.5) as env:
            env.proxy.stop()
            await asyncio.sleep(0)
            assert not env.proxy._snapshot()["ready"]
            client = await env.connect()
            assert await client.fetchval("SELECT 1") == 1
            await asyncio.wait_for(env.proxy.stopped.wait(), EVENT_TIMEOUT_S)
            assert client.is_closed()

    @pytest.mark.parametrize("again", [False, True])
    async def test_the_limit_or_a_second_signal_ends_the_drain(
        self, again: bool
    ) -> None:
        # Guards against an abandoned transaction that prevents the proxy from stopping.
        limit = 3600.0 if again else 0.2
        async with installation(drain_limit_s=limit) as env:
            client = await env.connect()
            await client.execute("BEGIN")
            await client.execute("INSERT INTO t VALUES (1)")
            env.proxy.stop()
            await asyncio.sleep(0)
            if again:
                env.proxy.stop()
            await asyncio.wait_for(env.proxy.stopped.wait(), EVENT_TIMEOUT_S)
            assert env.group.log("a") == []
            await client.close()
