"""Tests of proxies that share a database, with the stand-ins of group and store."""

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
from celeryjunction.local import LINGER_S, LocalGroup, home_connections
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
    one = ContractStore(
        store, clock=SystemClock(), validate=lambda _: [], random=Random(1)
    )
    outcome = await one.set(
        "coop", text, base_revision=0, change_id="c", author="t", reason="t"
    )
    assert isinstance(outcome, Accepted)


class Site:
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

    def state(self, name: str) -> list[int]:
        return [state[name] for state in self.group.state().values()]


@asynccontextmanager
async def site() -> AsyncIterator[Site]:
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
        one = Site(group, proxies)
        try:
            for proxy in proxies.values():
                await proxy.start()
            for proxy in proxies.values():
                homes = proxy._forwarding._homes
                await eventually(lambda homes=homes: len(homes._table.vms) == 2)
            yield one
        finally:
            for proxy in proxies.values():
                if not proxy.stopped.is_set():
                    await proxy.close()
            await group.close()


class TestTwoProxies:
    async def test_statements_run_at_the_home(self) -> None:
        async with site() as one:
            home, other = await one.connect(HOME), await one.connect(OTHER)
            for number in range(5):
                await other.execute("INSERT INTO t VALUES ($1)", number)
                assert await home.fetchval("SELECT count(*) FROM t") == number + 1
            async with other.transaction():
                await other.execute("INSERT INTO t VALUES (10)")
                assert await other.fetchval("SELECT count(*) FROM t") == 6
            with pytest.raises(asyncpg.UniqueViolationError):
                await other.execute("INSERT INTO t VALUES (10)")
            assert one.status(HOME)["home"] == one.status(OTHER)["home"] == {"g": HOME}
            assert one.status(OTHER)["forwarded"] > 7
            assert one.status(HOME)["served"] == one.status(OTHER)["forwarded"] + 3
            assert one.proxies[OTHER]._snapshot()["groups"] == {}
            await eventually(lambda: OTHER in one.status(HOME)["heard_s_ago"])
            await home.close()
            await other.close()

    async def test_connections_stay_within_half(self) -> None:
        # Guards against an old and a new home that together pass the limit.
        async with site() as one:
            links = [await one.connect(vm) for vm in VMS * 8]
            for start in (0, 100):
                await asyncio.gather(
                    *(
                        link.execute("INSERT INTO t VALUES ($1)", start + i)
                        for i, link in enumerate(links)
                    )
                )
            assert max(one.state("peak_connections")) <= CONNECTIONS // 2
            for link in links:
                await link.close()

    async def test_a_drained_home_finishes_and_hands_over(self) -> None:
        async with site() as one:
            link, open_link = await one.connect(OTHER), await one.connect(OTHER)
            transaction = open_link.transaction()
            await transaction.start()
            await open_link.execute("INSERT INTO t VALUES (1)")
            draining = asyncio.create_task(one.proxies[HOME].drain())
            await eventually(lambda: one.status(OTHER)["home"] == {"g": OTHER})
            # A write would wait for the open one: the stand-in has one lock.
            assert await link.fetchval("SELECT count(*) FROM t") == 0
            assert not draining.done()
            await open_link.execute("INSERT INTO t VALUES (2)")
            await transaction.commit()
            await draining
            await link.execute("INSERT INTO t VALUES (3)")
            assert await link.fetchval("SELECT count(*) FROM t") == 3
            assert max(one.state("peak_connections")) <= CONNECTIONS
            await link.close()
            await open_link.close()

    async def test_a_lost_home_is_replaced(self) -> None:
        async with site() as one:
            link = await one.connect(OTHER)
            await link.execute("INSERT INTO t VALUES (1)")
            await one.proxies[HOME].close()
            await link.execute("INSERT INTO t VALUES (2)")
            assert await link.fetchval("SELECT count(*) FROM t") == 2
            await link.close()


class TestLiveHomes:
    def record(self, vm: str, incarnation: int = 1, leaving: bool = False) -> VmRecord:
        return VmRecord(vm, "z", "p", "s", "t", incarnation, 0.0, leaving=leaving)

    def test_leaving_vms_come_only_without_others(self) -> None:
        homes = LiveHomes("a", make_link=lambda vm: None)
        homes.update({"b": self.record("b"), "c": self.record("c")})
        assert homes.homes("g") == rank_homes("g", "abc")
        homes.note_leaving("b", 1)
        homes.leave()
        assert homes.homes("g") == ["c"]
        homes.update({"b": self.record("b"), "c": self.record("c", leaving=True)})
        assert homes.homes("g") == rank_homes("g", "abc")
        # A new process of a VM that left is a home again.
        homes.update({"b": self.record("b", 2)})
        assert homes.homes("g") == ["b"]


class FakePool:
    closed_idle = 0

    def close_idle(self, *, older_than: float) -> None:
        self.closed_idle += 1


class FakeHandle:
    def __init__(self) -> None:
        self.pool = FakePool()


class FakeLocal:
    def __init__(self) -> None:
        self.pauses = PauseDetector()
        self.handles = {"a": FakeHandle()}
        self.closed = False

    async def read(self, work: object, step: object) -> None:
        pass

    def begin(self, **terms: object) -> FakeLocal:
        return self

    def abort(self) -> None:
        pass

    async def close(self) -> None:
        self.closed = True


class TestLocalGroup:
    def test_cap(self) -> None:
        for connections, pooled in ((20, 9), (40, 19), (5, 1), (1, 1)):
            endpoint = EndpointRecord("a", "127.0.0.1", 1, "z", connections)
            assert home_connections(endpoint) == pooled

    async def test_a_former_home_gives_up_its_connections(self) -> None:
        # Guards against a statement that is cut because the home moved.
        time, group = FakeTime(), FakeLocal()
        local = LocalGroup(
            "g", make=lambda *_: group, marks=CustomerMarks(), clock=time
        )
        await local.read(None, None)
        await local.review(is_home=True)
        transaction = local.begin(begin_sql="BEGIN", read_only=False, begun=0.0)
        await local.review(is_home=False)
        assert group.handles["a"].pool.closed_idle == 1 and not group.closed
        transaction.abort()
        transaction.abort()
        assert local.uses == 0
        time.advance(LINGER_S + 0.1)
        await local.review(is_home=False)
        assert group.closed and local.group is None

    async def test_a_guest_is_kept_for_a_moment(self) -> None:
        time, group = FakeTime(), FakeLocal()
        local = LocalGroup(
            "g", make=lambda *_: group, marks=CustomerMarks(), clock=time
        )
        await local.read(None, None)
        await local.review(is_home=False)
        assert not group.closed
        time.advance(LINGER_S + 0.1)
        await local.review(is_home=False)
        assert group.closed
