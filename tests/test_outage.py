"""Tests of holding or refusing statements while a group has no primary that answers."""

from __future__ import annotations

import asyncio

import pytest
from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy, kind_of, table

from celeryjunction.errors import ErrorKind
from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.statements import Read, Write
from celeryjunction.replication.outage import (
    CONFIRMING_FAILURES,
    Holding,
    hold_for_primary,
)
from celeryjunction.replication.ports import PauseReceiving

REFUSAL_LIMIT_S = 0.01
"""A refusal that waits for nothing takes a few round trips of 1 ms."""


@pytest.fixture
async def proxy():
    proxy = Proxy()
    await proxy.start()
    yield proxy
    proxy.dispatcher.close()


def hold(**changes: object) -> Holding:
    state = {
        "now": 10.0,
        "deadline": 10.6,
        "is_known": True,
        "failures": 0,
        "expected_at": 0.0,
    }
    return hold_for_primary(**(state | changes))


class TestHoldForPrimary:
    def test_a_primary_that_answers_gets_the_statement(self) -> None:
        assert hold() is Holding.SEND
        assert hold(failures=CONFIRMING_FAILURES - 1) is Holding.SEND

    def test_without_a_successor_in_sight_the_statement_is_refused(self) -> None:
        assert hold(failures=CONFIRMING_FAILURES) is Holding.REFUSE
        assert hold(is_known=False) is Holding.REFUSE

    def test_a_promotion_in_time_is_waited_for(self) -> None:
        assert hold(is_known=False, expected_at=10.3) is Holding.WAIT

    @pytest.mark.parametrize("expected_at", [10.7, 9.9])
    def test_a_promotion_too_late_or_overdue_is_not(self, expected_at: float) -> None:
        assert hold(is_known=False, expected_at=expected_at) is Holding.REFUSE


class TestPrimaryDown:
    """The load of a group whose primary crashed, with nobody to replace it."""

    @pytest.mark.parametrize("statement", [Read, Write])
    async def test_statements_are_refused_at_once(
        self, proxy: Proxy, statement: type
    ) -> None:
        """Guards against holding statements that no VM can serve.

        Seen on trouble-3 of tianyuan-hq: 205 statements waited 70 or 140 ms each.
        """
        proxy.cluster["a1"].refusing = True
        for _ in range(CONFIRMING_FAILURES):
            await proxy.group.ask("a1")
        started = proxy.clock.monotonic()
        for _ in range(20):
            outcome = await kind_of(proxy.run(proxy.session(), statement()))
            assert outcome is ErrorKind.NOT_RUN_NO_PRIMARY
        assert proxy.clock.monotonic() - started < 20 * REFUSAL_LIMIT_S

    async def test_a_primary_that_answers_again_is_used(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].refusing = True
        for _ in range(CONFIRMING_FAILURES):
            await proxy.group.ask("a1")
        proxy.cluster["a1"].refusing = False
        await proxy.group.ask("a1")
        await asyncio.sleep(0.5)
        assert await kind_of(proxy.run(proxy.session(), Write())) is None

    async def test_a_primary_that_answers_statements_is_not_down(
        self, proxy: Proxy
    ) -> None:
        """Guards against refusing for statuses that queue behind slow statements."""
        control = proxy.group.controls["a1"]
        control.failures, control.failure = CONFIRMING_FAILURES, "silent"
        control.failing_since = proxy.clock.monotonic() - 0.5
        proxy.group.record_answer("a1", None, sent_at=proxy.clock.monotonic() - 0.1)
        assert await kind_of(proxy.run(proxy.session(), Write())) is None

    async def test_a_read_waits_for_a_promotion_within_its_time(
        self, proxy: Proxy
    ) -> None:
        """Guards against refusals right before the new primary takes over."""
        proxy.gateway.apply_routes(table(2, timeout_s=2.0, goal_s=0.1))
        proxy.cluster["a1"].refusing = True
        for name in ("b1", "c1"):
            await proxy.group.controls[name].ask(PauseReceiving(2))
            await proxy.group.ask(name)
        proxy.group.primary_expected_at = proxy.clock.monotonic() + 0.5
        loop = asyncio.get_running_loop()
        loop.call_later(0.4, proxy.cluster.take_over, "b1")
        session = proxy.session(Consistency.PRIMARY)
        assert await kind_of(proxy.run(session, Read())) is None
