"""Connections that are lent for control commands, while their endpoint is replaced."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
from replicated_fakes import FakeCluster, FakeLink

from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher, PendingStatement
from celeryjunction.dispatch.gates import EndpointGate
from celeryjunction.ports import BootClock
from celeryjunction.replication.control import ControlLink
from celeryjunction.replication.ports import EndpointInfo

LIMIT_S = 5.0


class Pool:
    """A dispatcher that lends its idle connections to one endpoint's control link."""

    def __init__(self) -> None:
        self.clock = BootClock()
        self.cluster = FakeCluster("a1")
        self.dispatcher = Dispatcher(
            zone="a",
            dialer=self.cluster,
            clock=self.clock,
            random=Random(1),
            budget=lambda info: ConnectionBudget(5, 5),
        )
        self.dispatcher.lends_idle_connections = True
        self.dispatcher.update_endpoints(self.cluster.infos)
        self.control = ControlLink(
            self.info,
            dialer=self.cluster,
            clock=self.clock,
            idle_pool=self.dispatcher,
        )

    @property
    def info(self) -> EndpointInfo:
        return self.cluster["a1"].info

    def replace_process(self) -> None:
        """Register the endpoint's id with another process."""
        restarted = msgspec.structs.replace(self.info, started_ms=7, port=2)
        self.dispatcher.update_endpoints({"a1": restarted})

    async def connection(self) -> FakeLink:
        """Run a statement's part on a connection; return it, idle again."""
        now = self.clock.monotonic()
        pending = PendingStatement(
            priority=1, arrived=now, queue_deadline=now + LIMIT_S
        )
        grant = await self.dispatcher.acquire(pending)
        grant.release()
        return grant.link


class TestReplacedProcess:
    async def test_a_connection_to_the_earlier_process_serves_no_statement(
        self,
    ) -> None:
        """Guards against reads at a process that the id does not name any more."""
        pool = Pool()
        earlier = await pool.connection()
        asking = asyncio.create_task(pool.control.ask())
        await asyncio.sleep(0)
        pool.replace_process()
        assert await asking is not None
        assert not earlier.usable
        assert await pool.connection() is not earlier
        assert pool.dispatcher.gates["a1"].links == 1
        pool.dispatcher.close()

    async def test_a_control_connection_to_the_earlier_process_is_not_adopted(
        self,
    ) -> None:
        pool = Pool()
        asking = asyncio.create_task(pool.control.ask())
        await asyncio.sleep(0)
        pool.replace_process()
        assert await asking is not None
        assert pool.dispatcher.gates["a1"].links == 0
        (opened,) = pool.cluster["a1"].links
        assert await pool.connection() is not opened
        pool.dispatcher.close()

    async def test_a_connection_goes_back_to_the_gate_that_counts_it(self) -> None:
        """Guards against a count of connections that gets lower than their number."""
        pool = Pool()
        await pool.connection()
        asking = asyncio.create_task(pool.control.ask())
        await asyncio.sleep(0)
        pool.dispatcher.update_endpoints({})
        pool.dispatcher.update_endpoints(pool.cluster.infos)
        assert await asking is not None
        gate = pool.dispatcher.gates["a1"]
        gate.close()
        assert gate.links == 0
        pool.dispatcher.close()


class StubLink:
    """A connection that can turn unusable without being closed."""

    def __init__(self) -> None:
        self.usable, self.closed = True, False
        self.in_transaction = False
        self.values: dict[bytes, bytes] = {}
        self.owner = ""
        self.opened_at = 0.0

    def close(self) -> None:
        self.closed = True


class TestIdleConnections:
    def test_one_that_can_not_be_used_any_more_is_closed(self) -> None:
        gate = EndpointGate(
            EndpointInfo("a1", "g", "h", 1, "a", 3),
            dialer=FakeCluster("a1"),
            clock=BootClock(),
            random=Random(1),
            max_links=3,
        )
        link = StubLink()
        assert gate.adopt(link)
        link.usable = False
        assert gate.borrow() is None
        assert link.closed
        assert gate.links == 0
