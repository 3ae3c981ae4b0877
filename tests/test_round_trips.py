"""Counts the round trips that a statement waits for, one after the other.

docs/platform.md has the table. All endpoints of the fakes are one round trip away, also
the replica that gives evidence, which is in the VM's own zone on most sites.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import replicated_fakes
from fakes import event_loop_policy  # noqa: F401
from replicated_fakes import DELAY_S
from test_gateway import Proxy

from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import Begin, Commit, Read, Write

ROUND_TRIP_S = 2 * DELAY_S


@pytest.fixture
async def proxy(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Proxy]:
    """Yield a proxy whose connections are open and whose statements take no work."""
    monkeypatch.setattr(replicated_fakes, "WORK_S", 0.0)
    proxy = Proxy()
    await proxy.start()
    for kind in Consistency:
        await proxy.run(proxy.session(kind), Read())
    await asyncio.sleep(1)
    await proxy.group.sample()
    yield proxy
    proxy.dispatcher.close()


async def round_trips(
    proxy: Proxy, session: StatementSession, statement: object
) -> float:
    started = proxy.clock.monotonic()
    answer = await proxy.run(session, statement)
    assert answer.fault is None
    return round((proxy.clock.monotonic() - started) / ROUND_TRIP_S, 2)


class TestRoundTrips:
    @pytest.mark.parametrize(
        ("kind", "statement", "expected"),
        [
            (Consistency.PRIMARY, Read, 2),
            (Consistency.PRIMARY, Write, 2),
            (Consistency.READ_YOUR_WRITES, Read, 1),
            (Consistency.READ_YOUR_WRITES, Write, 2),
            (Consistency.BOUNDED_STALENESS, Read, 1),
        ],
    )
    async def test_of_a_single_statement(
        self, proxy: Proxy, kind: Consistency, statement: type, expected: int
    ) -> None:
        assert await round_trips(proxy, proxy.session(kind), statement()) == expected

    @pytest.mark.parametrize(
        ("kind", "first"),
        [
            (Consistency.PRIMARY, 3),
            (Consistency.READ_YOUR_WRITES, 2),
            (Consistency.BOUNDED_STALENESS, 2),
        ],
    )
    async def test_of_a_transaction(
        self, proxy: Proxy, kind: Consistency, first: int
    ) -> None:
        """`BEGIN` is answered at once; the first statement opens the transaction."""
        session = proxy.session(kind)
        found = [
            await round_trips(proxy, session, statement)
            for statement in (Begin(False), Read(), Write(), Commit())
        ]
        assert found == [0, first, 1, 2]
