"""Tests of proxies that share a database, with a stand-in group and store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import asyncpg
import msgspec
import pytest
from _store_support import FakeTime, eventually, running_store, write

from celeryjunction._pauses import PauseDetector
from celeryjunction.contract import parse_contract
from celeryjunction.contracts_store import Accepted, ContractStore
from celeryjunction.daemon import Proxy
from celeryjunction.forwarding import LiveHomes
from celeryjunction.home import rank_homes
from celeryjunction.local import NON_HOME_RETENTION_S, LocalGroup, home_connections
from celeryjunction.marks import CustomerMarks
from celeryjunction.membership import VmRecord
from celeryjunction.ports import EndpointRecord, SystemClock
from celeryjunction.scram import make_verifier
from celeryjunction.settings import ProxySettings
from celeryjunction.standin.group import EndpointConfig, GroupConfig, serve_group

PASSWORD, KEY = "pencil", "k" * 32
VMS = ["vm-1", "vm-2"]
HOME, OTHER = rank_homes("g", VMS)
CONNECTIONS = 6


def settings(vm: str, store_port: int) -> ProxySettings:
    address = {"host": "127.0.0.1", "port": 0}
    values = {"vm": vm, "zone": "za", "listen": address, "status": address}
    values |= {"peers": {**address, "keys": [KEY]}}
    values |= {"store": {"endpoints": [f"127.0.0.1:{store_port}"]}}
    values |= {"limits": {"drain_notice_s": 0}}
    return msgspec.convert(values, ProxySettings)


async def put_contract(store: Any) -> None:
    document = {"customer": "coop", "databases": ["g"], "default_work": "counter"}
    document |= {"verifier": make_verifier(PASSWORD), "connections": 10}
    document |= {"work": {"counter": {"rank": "interactive", "deadline_ms": 20_000}}}
    document |= {"shares": {"interactive": 0.5}}
    text = msgspec.json.encode(document).decode()
    parse_contract(text)
    contracts = ContractStore(
        store, clock=SystemClock(), validate=lambda _: [], random=Random(1)
    )
    outcome = await contracts.set(
        "coop", text, base_revision=0, change_id="c", author="t", reason="t"
    )
    assert isinstance(outcome, Accepted)


class Cluster:
    """Two proxies, a group and a store in one process."""

    def __init__(self, group: Any, proxies: dict[str, Proxy]) -> None:
        self.group = group
        self.proxies = proxies

    async def connect(self, vm: str) -> asyncpg.Connection:
        return await asyncpg.connect(
            host="127.0.0.1",
            port=self.proxies[vm].port,
            user="coop",
            password=PASSWORD,
            database="g",
            ssl=False,
        )

    def status(self, vm: str) -> dict[str, Any]:
        return self.proxies[vm]._snapshot()["forwarding"]

    def endpoint_states(self, name: str) -> list[int]:
        return [state[name] for state in self.group.state().values()]


@asynccontextmanager
async def running_cluster() -> AsyncIterator[Cluster]:
    async with running_store() as (server, store):

        async def publish(record) -> None:
            await write(store, "/groups/g", msgspec.json.encode(record))

        endpoints = tuple(
            EndpointConfig(name=n, zone=f"z{n}", connections=CONNECTIONS) for n in "abc"
        )
        schema = ("CREATE TABLE t (id int8 PRIMARY KEY)",)
        config = GroupConfig(name="g", endpoints=endpoints, schema=schema)
        group = await serve_group(config, publish)
        await put_contract(store)
        proxies = {vm: Proxy(settings(vm, server.port)) for vm in VMS}
        cluster = Cluster(group, proxies)
        try:
            for proxy in proxies.values():
                await proxy.start()
            for proxy in proxies.values():
                homes = proxy._forwarding._homes
                await eventually(lambda homes=homes: len(homes._table.vms) == 2)
            yield cluster
        finally:
            for proxy in proxies.values():
                if not proxy.stopped.is_set():
                    await proxy.close()
            await group.close()


class TestTwoProxies:
    async def test_statements_run_at_the_home(self) -> None:
        async with running_cluster() as cluster:
            home, other = await cluster.connect(HOME), await cluster.connect(OTHER)
            for number in range(5):
                await other.execute("INSERT INTO t VALUES ($1)", number)
                assert await home.fetchval("SELECT count(*) FROM t") == number + 1
            async with other.transaction():
                await other.execute("INSERT INTO t VALUES (10)")
                assert await other.fetchval("SELECT count(*) FROM t") == 6
            with pytest.raises(asyncpg.UniqueViolationError):
                await other.execute("INSERT INTO t VALUES (10)")
            assert (
                cluster.status(HOME)["home"]
                == cluster.status(OTHER)["home"]
                == {"g": HOME}
            )
            assert cluster.status(OTHER)["forwarded"] > 7
            assert (
                cluster.status(HOME)["served"] == cluster.status(OTHER)["forwarded"] + 3
            )
            assert cluster.proxies[OTHER]._snapshot()["groups"] == {}
            await eventually(lambda: OTHER in cluster.status(HOME)["heard_s_ago"])
            await home.close()
            await other.close()

    async def test_connections_stay_within_half_of_the_limit(self) -> None:
        # Guards against an old and a new home that together exceed an endpoint's limit.
        async with running_cluster() as cluster:
            clients = [await cluster.connect(vm) for vm in VMS * 8]
            for start in (0, 100):
                await asyncio.gather(
                    *(
                        client.execute("INSERT INTO t VALUES ($1)", start + i)
                        for i, client in enumerate(clients)
                    )
                )
            assert max(cluster.endpoint_states("peak_connections")) <= CONNECTIONS // 2
            for client in clients:
                await client.close()

    async def test_drained_home_finishes_its_work_and_hands_over(self) -> None:
        async with running_cluster() as cluster:
            client, transaction_client = (
                await cluster.connect(OTHER),
                await cluster.connect(OTHER),
            )
            transaction = transaction_client.transaction()
            await transaction.start()
            await transaction_client.execute("INSERT INTO t VALUES (1)")
            draining = asyncio.create_task(cluster.proxies[HOME].drain())
            await eventually(lambda: cluster.status(OTHER)["home"] == {"g": OTHER})
            # A write would wait for the open transaction: the stand-in has one lock.
            assert await client.fetchval("SELECT count(*) FROM t") == 0
            assert not draining.done()
            await transaction_client.execute("INSERT INTO t VALUES (2)")
            await transaction.commit()
            await draining
            await client.execute("INSERT INTO t VALUES (3)")
            assert await client.fetchval("SELECT count(*) FROM t") == 3
            assert max(cluster.endpoint_states("peak_connections")) <= CONNECTIONS
            await client.close()
            await transaction_client.close()

    async def test_lost_home_is_replaced(self) -> None:
        async with running_cluster() as cluster:
            client = await cluster.connect(OTHER)
            await client.execute("INSERT INTO t VALUES (1)")
            await cluster.proxies[HOME].close()
            await client.execute("INSERT INTO t VALUES (2)")
            assert await client.fetchval("SELECT count(*) FROM t") == 2
            await client.close()


class TestLiveHomes:
    def record(self, vm: str, incarnation: int = 1, leaving: bool = False) -> VmRecord:
        return VmRecord(vm, "z", "p", "s", "t", incarnation, 0.0, leaving=leaving)

    def test_leaving_vms_are_homes_only_without_others(self) -> None:
        homes = LiveHomes("a", make_link=lambda vm: None)
        homes.update({"b": self.record("b"), "c": self.record("c")})
        assert homes.homes("g") == rank_homes("g", "abc")
        homes.record_leaving("b", 1)
        homes.leave()
        assert homes.homes("g") == ["c"]
        homes.update({"b": self.record("b"), "c": self.record("c", leaving=True)})
        assert homes.homes("g") == rank_homes("g", "abc")
        # A VM that left is a home again once it runs a new process.
        homes.update({"b": self.record("b", 2)})
        assert homes.homes("g") == ["b"]


class FakePool:
    closed_idle = 0

    def close_idle(self, *, older_than: float) -> None:
        self.closed_idle += 1


class FakeHandle:
    def __init__(self) -> None:
        self.pool = FakePool()


class FakeOpenGroup:
    def __init__(self) -> None:
        self.pauses = PauseDetector()
        self.handles = {"a": FakeHandle()}
        self.closed = False

    async def read(self, work: object, step: object) -> None:
        pass

    def begin(self, **terms: object) -> FakeOpenGroup:
        return self

    def abort(self) -> None:
        pass

    async def close(self) -> None:
        self.closed = True


class TestLocalGroup:
    def test_connections_of_a_home(self) -> None:
        for connections, pooled in ((20, 9), (40, 19), (5, 1), (1, 1)):
            endpoint = EndpointRecord("a", "127.0.0.1", 1, "z", connections)
            assert home_connections(endpoint) == pooled

    async def test_former_home_releases_its_connections_when_unused(self) -> None:
        # Guards against interrupting a statement because the home moved.
        time, group = FakeTime(), FakeOpenGroup()
        local = LocalGroup(
            "g", make=lambda *_: group, marks=CustomerMarks(), clock=time
        )
        await local.read(None, None)
        await local.release_unless_home(is_home=True)
        transaction = local.begin(begin_sql="BEGIN", read_only=False, started_at=0.0)
        await local.release_unless_home(is_home=False)
        assert group.handles["a"].pool.closed_idle == 1 and not group.closed
        transaction.abort()
        transaction.abort()
        assert local.uses == 0
        time.advance(NON_HOME_RETENTION_S + 0.1)
        await local.release_unless_home(is_home=False)
        assert group.closed and local.group is None

    async def test_group_of_a_non_home_is_retained_briefly(self) -> None:
        time, group = FakeTime(), FakeOpenGroup()
        local = LocalGroup(
            "g", make=lambda *_: group, marks=CustomerMarks(), clock=time
        )
        await local.read(None, None)
        await local.release_unless_home(is_home=False)
        assert not group.closed
        time.advance(NON_HOME_RETENTION_S + 0.1)
        await local.release_unless_home(is_home=False)
        assert group.closed
