"""Tests of the time after which an endpoint counts as stuck."""

from __future__ import annotations

import asyncio

import pytest
import replicated_fakes
from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy, kind_of, table

from celeryjunction.dispatch.answer_patience import MIN_TIMEOUT_S, AnswerPatience
from celeryjunction.gateway.routes import Consistency
from celeryjunction.gateway.statements import Read

SITES_MS = [1, 3, 18, 30, 40, 500]
"""Mean work of statements: the users' sites, and two invented ones."""


class TestAnswerPatience:
    @pytest.mark.parametrize("work_ms", SITES_MS)
    def test_one_answer_teaches_the_scale_of_a_site(self, work_ms: int) -> None:
        patience = AnswerPatience()
        patience.record_answer(work_ms / 1000)
        assert patience.timeout_s >= 2 * work_ms / 1000

    @pytest.mark.parametrize("work_ms", [1, 3, 18, 30, 40])
    def test_short_statements_leave_the_shortest_limit(self, work_ms: int) -> None:
        patience = AnswerPatience()
        for _ in range(100):
            patience.record_answer(work_ms / 1000)
        assert patience.timeout_s == MIN_TIMEOUT_S

    def test_an_endpoint_that_turns_slow_gets_longer(self) -> None:
        patience = AnswerPatience()
        for seconds in 50 * [0.03] + 20 * [0.15]:
            patience.record_answer(seconds)
        assert patience.timeout_s > 0.45

    def test_a_dead_endpoint_does_not(self) -> None:
        patience = AnswerPatience()
        for at in range(5):
            patience.record_interruption(float(at))
            patience.record_alive(at - 1.0)
        assert patience.timeout_s == MIN_TIMEOUT_S

    def test_one_that_was_alive_after_an_abort_does(self) -> None:
        patience = AnswerPatience()
        for at in range(3):
            patience.record_interruption(float(at))
            patience.record_alive(at + 0.5)
        assert patience.timeout_s == 8 * MIN_TIMEOUT_S


class TestSlowStatements:
    async def test_statements_of_half_a_second_end(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a site whose statements are aborted before they can end.

        Statements that took longer than 0.2 s were started again elsewhere for ever.
        """
        monkeypatch.setattr(replicated_fakes, "WORK_S", 0.5)
        proxy = Proxy()
        await proxy.start()
        proxy.gateway.apply_routes(table(2, timeout_s=10.0, goal_s=5.0))
        outcomes = []
        for _ in range(8):
            session = proxy.session(Consistency.READ_YOUR_WRITES)
            outcomes.append(await kind_of(proxy.run(session, Read())))
            await proxy.group.refresh()
            for name, gate in proxy.dispatcher.gates.items():
                gate.record_alive(proxy.group.last_contact_at(name))
            await asyncio.sleep(0.5)
        assert outcomes[-4:] == [None] * 4
        executed = len(proxy.executed())
        await kind_of(proxy.run(session, Read()))
        assert len(proxy.executed()) == executed + 1
        proxy.dispatcher.close()
