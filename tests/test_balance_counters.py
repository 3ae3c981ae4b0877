"""Tests of the counters that show the balance between endpoints."""

from __future__ import annotations

from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy

from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.statements import Begin, Read
from celeryjunction.metrics import format_metrics
from celeryjunction.replication.ports import Fault


class TestServiceTimes:
    async def test_a_fault_in_a_transaction_is_no_service_time(self) -> None:
        """Guards against an endpoint that seems fast because it refuses statements."""
        proxy = Proxy()
        await proxy.start()
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        await proxy.run(session, Begin(read_only=True))
        await proxy.run(session, Read())
        (gate,) = (g for g in proxy.dispatcher.gates.values() if g.pinned)
        before = gate.patience._answers
        proxy.cluster[gate.info.id].faults = [Fault.BUSY]
        await proxy.run(session, Read())
        assert gate.patience._answers == before
        await session.close()
        proxy.dispatcher.close()
        proxy.group.close()


class TestCounters:
    async def test_refusals_are_counted_apart_from_placed_statements(self) -> None:
        """Guards against refusals that look like statements that an endpoint ran."""
        proxy = Proxy()
        await proxy.start()
        proxy.cluster["a1"].faults = [Fault.BUSY]
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        assert (await proxy.run(session, Read())).fault is None
        lines = format_metrics(proxy.gateway.metrics)
        assert 'busy_refusals{endpoint="a1",group="g"} 1' in lines
        assert sum(line.startswith("statements_placed{") for line in lines) == 1
        proxy.dispatcher.close()
        proxy.group.close()
