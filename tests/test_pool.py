"""Tests of pooled connections: reuse, limits and closing of uncertain ones."""

from __future__ import annotations

import asyncio

import pytest
from fakes import (
    SELECT,
    FakeGroup,
    delay,
    event_loop_policy,  # noqa: F401
    result_or_error,
)
from fakes import fake as fake

from celeryjunction.errors import ErrorKind
from celeryjunction.pool import MAX_CONNECTING, EndpointPool
from celeryjunction.ports import Step


def pool_of(fake: FakeGroup) -> EndpointPool:
    record = fake.record.endpoints[0]
    return EndpointPool(record, "db", connector=fake, clock=fake.clock)


class TestReuse:
    async def test_clean_connection_is_reused_and_a_dead_one_is_not(
        self, fake: FakeGroup
    ) -> None:
        pool = pool_of(fake)
        first = await pool.acquire(timeout=1)
        pool.release(first)
        assert await pool.acquire(timeout=1) is first
        pool.release(first)
        fake.a.disconnect()
        assert (await pool.acquire(timeout=1)).usable

    async def test_open_transaction_never_reaches_the_next_user(
        self, fake: FakeGroup
    ) -> None:
        # Guards against statements of two transactions on one connection (R3).
        pool = pool_of(fake)
        first = await pool.acquire(timeout=1)
        await first.run([Step("BEGIN")], timeout=1)
        pool.release(first)
        assert not first.usable and pool.idle == 0

    async def test_closes_connections_idle_for_long_or_released_after_close(
        self, fake: FakeGroup
    ) -> None:
        pool = pool_of(fake)
        old, young, used = [await pool.acquire(timeout=1) for _ in range(3)]
        pool.release(old)
        fake.clock.advance(50)
        pool.release(young)
        fake.clock.advance(20)
        assert pool.close_idle() == 1 and (old.usable, young.usable) == (False, True)
        pool.close()
        pool.release(used)
        assert not used.usable and not young.usable


class TestConnecting:
    async def test_attempts_are_bounded_in_number_and_time(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a storm of connection attempts after a failover.
        fake.a.connect_s = 1.0
        pool = pool_of(fake)
        attempts = [result_or_error(pool.acquire(timeout=1.5)) for _ in range(4)]
        results = await asyncio.gather(*attempts)
        assert results.count("lost unsent") == 4 - MAX_CONNECTING

    @pytest.mark.parametrize("fault", ["53300", "down", "slow"])
    async def test_failure_frees_slot_and_connection(
        self, fake: FakeGroup, fault: str
    ) -> None:
        # Guards against a limit that shrinks with each failed connection attempt.
        handle = fake.proxy.handles["a"]
        fake.a.connect_sqlstate = "53300" if fault == "53300" else ""
        fake.a.down = fault == "down"
        fake.a.connect_s = 9.0 if fault == "slow" else 0.01
        for _ in range(3):
            failure = await result_or_error(handle.check_out(fake.work()))
            assert failure == ("53300" if fault == "53300" else "lost unsent")
            assert handle.admission.running == handle.admission.connections_held == 0

    async def test_past_the_deadline_nothing_is_sent(self, fake: FakeGroup) -> None:
        work, handle = fake.work(1.0), fake.proxy.handles["a"]
        checkout = await handle.check_out(work)
        fake.clock.advance(2)
        assert await result_or_error(checkout.run([SELECT], work)) == "lost unsent"
        assert (
            await result_or_error(handle.check_out(work)) is ErrorKind.NOT_RUN_DEADLINE
        )
        checkout.release()
        checkout.release()
        assert fake.executed == [] and handle.admission.connections_held == 0


class TestUncertainState:
    @pytest.mark.parametrize("way", ["cancelled", "timed out"])
    async def test_unanswered_connection_is_closed(
        self, fake: FakeGroup, way: str
    ) -> None:
        # Guards against a late answer that the next user would read as its own (R4).
        pool = pool_of(fake)
        fake.a.script.append(("SELECT", delay(5)))
        first = await pool.acquire(timeout=1)
        task = asyncio.create_task(first.run([SELECT], timeout=0.5))
        await asyncio.sleep(0.1)
        if way == "cancelled":
            task.cancel()
        await asyncio.wait([task])
        pool.release(first)
        assert not first.usable and pool.idle == 0
