"""Tests of the counters that show the balance between endpoints."""

from __future__ import annotations

from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy

from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.statements import Read
from celeryjunction.metrics import format_metrics
from celeryjunction.replication.ports import Fault


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
