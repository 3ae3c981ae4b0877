"""Tests of reads: an endpoint answers only if it is proven fresh enough."""

from __future__ import annotations

import asyncio

import pytest
from fakes import (
    SELECT,
    FakeGroup,
    delay,
    event_loop_policy,  # noqa: F401
    fail_with,
    lose_connection,
    result_or_error,
)
from fakes import fake as fake

from celeryjunction.contract import Rank
from celeryjunction.errors import ErrorKind


@pytest.fixture(autouse=True)
async def start_at_position_five(fake: FakeGroup) -> None:
    for each in fake.endpoints.values():
        each.set_position(5)


async def read(fake: FakeGroup, *args: float, **options: object) -> object:
    """Run a read; return the answering endpoint and its position, or the error."""
    work = fake.work(*args, **options)
    result = await result_or_error(fake.proxy.reader.read(work, SELECT))
    if isinstance(result, ErrorKind | str):
        return result
    name, applied = result.rows[0]
    return name.decode(), int(applied)


class TestStrictRead:
    async def test_sees_every_acknowledged_write(self, fake: FakeGroup) -> None:
        # Guards R1, also for a second proxy that shares no state with the first.
        first, second = fake.proxy, fake.open()
        fake.c.applies = False
        for proxy in [first, second] * 5:
            fake.proxy = first
            await fake.write()
            fake.proxy = proxy
            assert await read(fake) == ("b", fake.a.applied)
        for reader in (first.reader, second.reader):
            assert reader.counts["replica_strict"] == reader.counts["strict"] == 5

    @pytest.mark.parametrize(
        ("rank", "deadline_s", "wait_s"),
        [
            (Rank.URGENT, 100, 0.0),
            (Rank.INTERACTIVE, 100, 0.1),
            (Rank.BACKGROUND, 100, 0.5),
            (Rank.BACKGROUND, 0.2, 0.04),
        ],
    )
    async def test_waits_by_rank_then_goes_to_the_primary(
        self, fake: FakeGroup, rank: Rank, deadline_s: float, wait_s: float
    ) -> None:
        # Guards against a read at a replica behind the proven position, and against a
        # wait of urgent work or of more than a fifth of the remaining time.
        await fake.prove()
        fake.a.set_position(6)
        began = fake.clock.monotonic()
        assert await read(fake, deadline_s, rank=rank) == ("a", 6)
        assert fake.clock.monotonic() - began == pytest.approx(wait_s, abs=0.02)

    async def test_does_not_wait_for_replicas_known_to_lag(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a futile wait of 100 ms in every strict read while the replicas
        # lag by more.
        fake.b.applies = fake.c.applies = False
        for _ in range(4):
            await fake.write()
            await asyncio.sleep(0.1)
        began = fake.clock.monotonic()
        assert (await read(fake, rank=Rank.INTERACTIVE))[0] == "a"
        assert fake.clock.monotonic() - began < 0.05

    async def test_replica_that_catches_up_answers(self, fake: FakeGroup) -> None:
        await fake.prove()
        fake.a.set_position(6)
        task = asyncio.create_task(read(fake))
        await asyncio.sleep(0.05)
        assert not task.done()
        fake.c.set_position(6)
        assert await task == ("c", 6)

    async def test_old_proof_and_old_term_do_not_serve(self, fake: FakeGroup) -> None:
        fake.b.set_position(99)
        fake.promote("c", unaware="b")
        assert (await read(fake))[0] in "ac"
        fake.c.stop()
        assert await read(fake) is ErrorKind.FRESHNESS_UNPROVEN


class TestBoundedRead:
    async def test_uses_only_replicas_within_its_bound(self, fake: FakeGroup) -> None:
        fake.b.applies = fake.c.applies = False
        await read(fake)  # proves position 5
        await asyncio.sleep(1.0)
        await fake.write()
        assert (await read(fake, staleness_s=2.0))[1] == 5
        assert await read(fake, staleness_s=0.001) == ("a", 6)
        await asyncio.sleep(3.0)
        assert await read(fake, staleness_s=2.0) == ("a", 6)

    async def test_includes_the_sessions_own_write(self, fake: FakeGroup) -> None:
        # Guards against a bounded read that misses the session's own last write.
        fake.b.applies = False
        await read(fake)
        await fake.write()
        for _ in range(10):
            assert await read(fake, staleness_s=60.0, minimum=(1, 6)) == ("c", 6)

    async def test_renews_the_proof_before_it_is_too_old(self, fake: FakeGroup) -> None:
        await read(fake)
        proven = fake.proxy.monitor.proof.proven_at
        await asyncio.sleep(1.0)
        await read(fake, staleness_s=2.0)
        await asyncio.sleep(0.1)
        assert fake.proxy.monitor.proof.proven_at > proven + 0.9

    async def test_checks_its_bound_again_after_a_queue_wait(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a position that was fresh enough only when the read was queued.
        fake.c.leaving, fake.b.applies = True, False
        await read(fake)
        handle = fake.proxy.handles["b"]
        held = [await handle.check_out(fake.work(60)) for _ in range(3)]
        waiting = asyncio.create_task(read(fake, 30.0, staleness_s=2.0))
        await asyncio.sleep(0.1)
        await fake.write()
        await asyncio.sleep(5.0)
        for checkout in held:
            checkout.release()
        assert await waiting == ("a", 6)


class TestNewConnection:
    async def test_queries_the_status_in_the_pipeline(self, fake: FakeGroup) -> None:
        # Guards A4: the log may have been rewound between the last status and the
        # opening of the connection. The answer of such an endpoint is discarded.
        await fake.prove()
        await asyncio.sleep(0.1)
        fake.c.set_position(2)
        for _ in range(10):
            assert await read(fake, staleness_s=3000.0) == ("b", 5)
        assert SELECT.sql in fake.c.executed and fake.proxy.handles["c"].pool.idle == 0

    async def test_older_connection_sends_only_the_statement(
        self, fake: FakeGroup
    ) -> None:
        fake.b.leaving = True
        await read(fake)
        await read(fake)  # the status is now newer than the connection
        asked = fake.c.status_queries
        assert (
            await read(fake, staleness_s=60.0) == ("c", 5)
            and fake.c.status_queries == asked
        )


class TestFailure:
    @pytest.mark.parametrize(
        "fault",
        [lose_connection(), fail_with("57P01"), fail_with("40001"), fail_with("53300")],
    )
    async def test_read_is_retried(self, fake: FakeGroup, fault: object) -> None:
        for each in (fake.b, fake.c):
            each.script.append(("SELECT v", fault))
        assert (await read(fake))[1] == 5

    async def test_error_of_the_statement_is_passed_on(self, fake: FakeGroup) -> None:
        for each in (fake.b, fake.c):
            each.script.append(("SELECT v", fail_with("42P01")))
        assert await read(fake) == "42P01" and fake.executed == [SELECT.sql]

    async def test_unanswered_until_the_deadline(self, fake: FakeGroup) -> None:
        for each in fake.endpoints.values():
            each.script += [("SELECT v", delay(50))] * 5
        assert await read(fake, 1.0) is ErrorKind.READ_UNANSWERED
        assert fake.connection_count() == 0

    async def test_read_moves_away_from_a_frozen_endpoint(
        self, fake: FakeGroup
    ) -> None:
        # Guards against a read that waits until its deadline at an endpoint that no
        # longer answers.
        await fake.prove()
        frozen = [("SELECT v", delay(60)), ("SELECT term", delay(60))]
        for each in (fake.b, fake.c):
            each.script += [*frozen, *[("SELECT term", delay(60))] * 20]
        began = fake.clock.monotonic()
        assert await read(fake, 30.0, staleness_s=20.0) == ("a", 5)
        assert fake.clock.monotonic() - began < 5.0

    async def test_slow_read_at_a_live_endpoint_continues(
        self, fake: FakeGroup
    ) -> None:
        for each in (fake.b, fake.c):
            each.script.append(("SELECT v", delay(6)))
        assert (await read(fake, 30.0))[0] in "bc"

    async def test_cancelled_read_closes_its_connection(self, fake: FakeGroup) -> None:
        # Guards R4: the late answer must not be returned to the next read.
        for each in (fake.b, fake.c):
            each.script.append(("SELECT v", delay(5)))
        task = asyncio.create_task(read(fake, 30.0))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])
        assert task.cancelled() and fake.connection_count() == 0
