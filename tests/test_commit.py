"""Tests of commits: acknowledged only if proven, lost answers resolved."""

from __future__ import annotations

import asyncio
from functools import partial
from itertools import product

import pytest
from fakes import (
    INSERT,
    FakeGroup,
    event_loop_policy,  # noqa: F401
    fail_with,
    lose_connection,
    result_or_error,
    run_action,
)
from fakes import fake as fake

from celeryjunction.errors import ErrorKind
from celeryjunction.ports import Step

UNKNOWN = ErrorKind.OUTCOME_UNKNOWN
ROLLED_BACK = ErrorKind.NOT_RUN_ROLLED_BACK


class TestReplacedPrimary:
    @pytest.mark.parametrize("replicated", [True, False])
    @pytest.mark.parametrize("seen", [True, False])
    @pytest.mark.parametrize("side", ["a", "ab"])
    async def test_never_acknowledges(
        self, side: str, seen: bool, replicated: bool
    ) -> None:
        # Guards R2: a partitioned primary answers, alone or with a replica on its side,
        # while the other side has a new primary that this proxy may or may not reach.
        other = FakeGroup("abcde")

        def cut_off() -> None:
            other.promote("c", unaware=side)
            for name in "" if seen else set("abcde") - set(side):
                other.endpoints[name].stop()

        other.a.script.append(("COMMIT", run_action(cut_off)))
        assert await other.write(replicated=replicated) is UNKNOWN
        assert other.a.applied == 1
        await other.close()

    @pytest.mark.parametrize("promoted", [True, False])
    @pytest.mark.parametrize("platform_up", [True, False])
    async def test_single_promotion_needs_all_or_the_platform(
        self, promoted: bool, platform_up: bool
    ) -> None:
        # Guards against a majority taken as proof: only the platform, not a and b,
        # knows whether the unreachable c was promoted.
        other = FakeGroup(promotion="single")
        assert await other.write() == "INSERT"

        def lose_sight_of_c() -> None:
            if promoted:
                other.promote("c", unaware="ab")
            other.c.stop()
            other.platform_up = platform_up

        other.a.script.append(("COMMIT", run_action(lose_sight_of_c)))
        proven = platform_up and not promoted
        assert await other.write() == ("INSERT" if proven else UNKNOWN)
        await other.close()


class TestReplication:
    async def test_waits_for_a_majority_that_received_it(self, fake: FakeGroup) -> None:
        # Guards against a promotion that drops an acknowledged write.
        fake.b.receives = fake.c.receives = fake.b.applies = False
        task = asyncio.create_task(fake.write(5.0))
        await asyncio.sleep(1.0)
        assert not task.done()
        fake.b.received = 1
        await asyncio.sleep(0.1)
        assert task.result() == "INSERT"
        assert await fake.write(replicated=False) == "INSERT"

    async def test_position_of_another_term_does_not_count(self) -> None:
        # Guards against counting the received position of a divergent log.
        other = FakeGroup("abcde")
        other.b.receives = other.c.receives = False
        for each in (other.d, other.e):
            each.term, each.received = 0, 99
        assert await other.write() is UNKNOWN
        await other.close()


class TestLostAnswer:
    @pytest.mark.parametrize(
        ("fault", "expected"),
        [(lose_connection(committed=True), "INSERT"), (lose_connection(), ROLLED_BACK)],
        ids=["committed", "aborted"],
    )
    async def test_is_resolved(
        self, fake: FakeGroup, fault: object, expected: object
    ) -> None:
        fake.a.script.append(("COMMIT", fault))
        assert await fake.write() == expected
        assert fake.executed.count(INSERT.sql) == 1

    async def test_committed_but_unconfirmed_is_unknown(self, fake: FakeGroup) -> None:
        # Guards against a primary's own report of the commit taken as proof.
        fake.a.script += [
            ("COMMIT", lose_connection(committed=True)),
            ("SELECT pg_xact", run_action(fake.b.stop)),
            ("SELECT term", run_action(fake.c.stop)),
        ]
        assert await fake.write() is UNKNOWN

    @pytest.mark.parametrize(
        ("change", "result"),
        [*product(("term", "role"), ("committed", "aborted")), ("", None)],
    )
    async def test_report_of_a_replaced_primary_proves_nothing(
        self, fake: FakeGroup, change: str, result: str | None
    ) -> None:
        # Guards against an id that denotes another transaction in another term, and
        # against an id that the endpoint no longer knows.
        def replace() -> None:
            fake.a.outcomes["1"] = result
            fake.a.is_primary = change != "role"
            if change == "term":
                fake.promote("a")

        fake.a.script += [
            ("COMMIT", lose_connection()),
            ("SELECT pg_xact", run_action(replace)),
        ]
        assert await fake.write() is UNKNOWN

    async def test_status_in_progress_is_queried_again(self, fake: FakeGroup) -> None:
        def still_running() -> None:
            fake.a.outcomes["1"] = "in progress"
            asyncio.get_running_loop().call_later(0.3, end)

        def end() -> None:
            fake.a.outcomes["1"] = "committed"
            fake.commit(fake.a)

        fake.a.script += [
            ("COMMIT", lose_connection()),
            ("SELECT pg_xact", run_action(still_running)),
        ]
        assert await fake.write() == "INSERT"

    async def test_stopped_endpoint_leads_to_unknown(self, fake: FakeGroup) -> None:
        fake.a.script.append(("COMMIT", run_action(fake.a.stop)))
        began = fake.clock.monotonic()
        assert await fake.write(1.0) is UNKNOWN
        assert fake.clock.monotonic() - began < 5

    async def test_failing_status_after_commit_is_resolved(
        self, fake: FakeGroup
    ) -> None:
        # Guards against an error of the status query taken for an error of COMMIT.
        await fake.write()
        later = partial(fake.a.script.append, ("SELECT term", fail_with("57P01")))
        fake.a.script.append(("COMMIT", run_action(later)))
        assert await fake.write() == "INSERT" and fake.a.applied == 2

    async def test_connection_lost_before_commit_did_not_run(
        self, fake: FakeGroup
    ) -> None:
        work, committer = fake.work(), fake.proxy.committer
        checkout = await fake.proxy.handles["a"].check_out(work)
        steps = [Step("BEGIN"), Step("SELECT pg_current_xact_id()"), INSERT]
        await checkout.run(steps, work)
        fake.a.stop()
        commit = committer.commit(checkout, work, xid=b"1", term=1)
        assert await result_or_error(commit) is ROLLED_BACK and fake.a.applied == 0
        checkout.release()
