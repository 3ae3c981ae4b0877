"""Tests of the limits of organisations that all VMs enforce together."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _allotment_support import Site, Vm
from _node_support import Deployment
from fakes import event_loop_policy  # noqa: F401
from test_gateway import Proxy, kind_of, table

from celeryjunction.allotments.admission import begins_operation
from celeryjunction.allotments.bound import (
    DISPATCH_S,
    LATE_FRACTION,
    QuotaBound,
)
from celeryjunction.allotments.demand import (
    TOKEN_LIFE_S,
    DemandForecast,
    Lot,
    TokenStock,
)
from celeryjunction.allotments.share_rules import (
    UNTRACED_DELAY_S,
    USE_S,
    Decision,
    Knowledge,
    ShareEntry,
    candidates,
    decide,
)
from celeryjunction.allotments.shares import Borrowed, HeldShare, HeldShares
from celeryjunction.allotments.token_bucket import TokenBucket
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.organisations import Organisation, OrganisationTable
from celeryjunction.gateway.routes import Consistency, RouteTable
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Write,
)
from celeryjunction.membership import VmRecord

ORGANISATION = Organisation("bode", rate_per_s=30, burst=30)
SMALL = Organisation("small", rate_per_s=0.1, burst=1)
OWN = ShareEntry("a0", incarnation=5, era=2)
KNOWN = Knowledge(era=2, contact_since=100.0)


class StubAllotments:
    """Admits a number of operations."""

    def __init__(self, tokens: int = 100) -> None:
        self.tokens = tokens
        self.admitted: list[str] = []

    async def admit(self, organisation: Organisation, *, deadline: float) -> None:
        if len(self.admitted) == self.tokens:
            details = {"organisation": organisation.name, "reason": "nothing_left"}
            raise ProxyError(ErrorKind.NOT_RUN_ALLOTMENT, details)
        self.admitted.append(organisation.name)


def limited_table(known: RouteTable) -> RouteTable:
    return RouteTable(
        version=2,
        routes=tuple(known.routes),
        groups=tuple(known.groups.values()),
        idle_transaction_s=3.0,
        organisations=OrganisationTable(
            [(ORGANISATION, []), (Organisation("free"), [])]
        ),
    )


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    site = Site(ORGANISATION, SMALL)
    await site.full()
    yield site
    await site.close()


def held(*shares: HeldShare) -> HeldShares:
    result = HeldShares()
    for share in shares:
        result.add(share)
    return result


def full_share(number: int = 0) -> HeldShare:
    return HeldShare(number, free_from=0.0, valid_until=500.0, bound=QuotaBound())


class TestTokenBucket:
    def test_a_late_return_adds_nothing_beside_earned_tokens(self) -> None:
        """Guards against twice the capacity in one window."""
        bucket = TokenBucket(rate=1.0, capacity=10.0, level=10.0, now=0.0)
        loan = bucket.lend(10.0, now=0.0)
        assert bucket.level(0.5) == pytest.approx(0.5)
        bucket.resize(rate=100.0, capacity=10.0, now=0.5)
        assert bucket.level(0.7) == pytest.approx(10.0)
        bucket.take(10.0, 0.7)
        bucket.take_back(loan, 10.0, 0.7)
        assert bucket.level(0.7) == pytest.approx(0.0)

    def test_a_timely_return_undoes_the_loan(self) -> None:
        bucket = TokenBucket(rate=1.0, capacity=10.0, level=10.0, now=0.0)
        loan = bucket.lend(4.0, now=0.0)
        bucket.take_back(loan, 3.0, now=0.1)
        bucket.take_back(loan, 3.0, now=0.1)
        assert bucket.level(0.1) == pytest.approx(10.0)

    def test_a_lower_limit_shrinks_the_bucket(self) -> None:
        bucket = TokenBucket(rate=1.0, capacity=10.0, level=10.0, now=0.0)
        bucket.resize(rate=0.5, capacity=2.0, now=0.0)
        assert bucket.level(0.0) == 2.0


class TestShares:
    def test_a_share_starts_empty_and_is_full_once_earlier_grants_do_not_count(
        self,
    ) -> None:
        """Guards against the grants of two holders in one window."""
        bound = QuotaBound()
        taken = HeldShare(0, free_from=100.0, valid_until=500.0, bound=bound)
        assert taken.bucket(ORGANISATION, 100.0).level(100.0) == 0.0
        later = HeldShare(0, free_from=100.0, valid_until=500.0, bound=bound)
        at = 100.0 + bound.memory_s
        assert later.bucket(ORGANISATION, at).level(at) == 10.0

    def test_nothing_is_granted_outside_the_time_of_a_share(self) -> None:
        """Guards against use after a suspension, and before a forgotten holder ends."""
        shares = held(
            HeldShare(0, free_from=10.0, valid_until=20.0, bound=QuotaBound())
        )
        assert shares.level(ORGANISATION, 9.9) == 0.0
        assert shares.level(ORGANISATION, 15.0) > 0.0
        assert shares.take(ORGANISATION, 1.0, 20.0) == 0.0

    def test_several_short_borrowers_get_whole_tokens_only(self) -> None:
        """Guards against fractions at many VMs that none can use in time."""
        shares, first, second = held(full_share()), Borrowed(), Borrowed()
        shares.take(ORGANISATION, 9.5, 100.0)
        assert shares.lend(ORGANISATION, 1.0, first, 100.0) == pytest.approx(0.5)
        assert shares.lend(ORGANISATION, 1.0, second, 100.07) == 0.0
        assert shares.lend(ORGANISATION, 1.0, second, 100.11) == 1.0

    def test_the_bound_covers_the_life_of_tokens_and_whole_tokens(self) -> None:
        for bound in (QuotaBound(), QuotaBound(5.0, 0.0, 0.0), QuotaBound(5.0, 0.1, 0)):
            for rate, burst in ((0.1, 1), (1, 3), (40, 1), (40, 80), (3000, 10)):
                organisation = Organisation("o", rate, burst)
                share_rate, capacity = bound.share_limit(organisation)
                spent_s = bound.window_s + TOKEN_LIFE_S + DISPATCH_S
                total = 3 * (capacity + share_rate * spent_s)
                assert total <= bound.limit(organisation) + 1e-6
                if bound == QuotaBound():
                    late = LATE_FRACTION * bound.slack
                    room = bound.limit(organisation) - 3 * capacity - late
                    steady = min(rate + burst / bound.window_s, room / spent_s)
                    steady = max(rate, steady)
                    assert 3 * share_rate == pytest.approx(steady)
                    assert steady >= rate
                    assert capacity == max(1, burst / 3)


class TestDemand:
    def test_the_forecast_follows_the_recent_rate(self) -> None:
        forecast = DemandForecast()
        for number in range(200):
            forecast.record(number * 0.01)
        assert forecast.needed(2.0) == pytest.approx(20.0, rel=0.1)
        assert forecast.needed(5.0) == 0.0

    def test_tokens_expire(self) -> None:
        stock = TokenStock()
        stock.add(Lot(2.0, source=None, number=1, requested_at=10.0))
        assert stock.take(1.0, 10.29) == 1.0
        assert stock.take(1.0, 10.3) == 0.0


class TestDecisions:
    def decide(self, entry, trace, *, now=200.0, known=KNOWN, position=0, free=10.0):
        return decide(
            entry,
            trace,
            own=OWN,
            known=known,
            free_for_s=free,
            position=position,
            now=now,
        )

    def test_a_held_share_stays_where_it_is(self) -> None:
        assert self.decide(ShareEntry("b0", 1, 2), None) is Decision.LEAVE

    def test_a_restarted_holder_takes_over_at_once(self) -> None:
        assert self.decide(ShareEntry("a0", 4, 2), None, now=100.1) is Decision.TAKE

    def test_a_newer_process_of_the_same_name_keeps_it(self) -> None:
        assert self.decide(ShareEntry("a0", 6, 2), None) is Decision.LEAVE

    def test_an_entry_of_an_earlier_era_does_not_show_the_last_holder(self) -> None:
        """Guards against a second holder after the store has lost the first one."""
        for entry, trace in (
            (ShareEntry("a0", 4, era=1), None),
            (None, ShareEntry("b0", 4, era=1)),
            (ShareEntry("a0", 4, era=2, settled=False), None),
        ):
            early = self.decide(entry, trace, now=100.0 + USE_S - 0.1)
            assert early is Decision.TAKE_AND_WAIT
            assert self.decide(entry, trace, now=100.1 + USE_S) is Decision.TAKE

    def test_a_known_loss_is_waited_for(self) -> None:
        known = Knowledge(era=2, contact_since=0.0, lost_at=195.0)
        trace = ShareEntry("b0", 1, era=2)
        assert self.decide(None, trace, known=known) is Decision.TAKE_AND_WAIT

    def test_a_share_that_nobody_ever_held_is_taken_soon(self) -> None:
        at = 100.0 + UNTRACED_DELAY_S
        assert self.decide(None, None, now=at - 0.1) is Decision.LEAVE
        assert self.decide(None, None, now=at) is Decision.TAKE

    def test_candidates_have_turns(self) -> None:
        trace = ShareEntry("b0", 1, era=2)
        assert self.decide(None, trace, free=0.5, position=1) is Decision.LEAVE
        assert self.decide(None, trace, free=0.7, position=1) is Decision.TAKE

    def test_candidates_of_the_shares_zone_come_first(self) -> None:
        vms = {
            name: VmRecord(name, name[0], "", "", "", 1, 0.0, leaving=name == "b1")
            for name in ("a0", "a1", "b0", "b1", "c0")
        }
        assert candidates(1, vms)[0] == "b0"
        assert sorted(candidates(2, vms)) == ["a0", "a1", "b0", "c0"]
        assert candidates(2, vms)[0] == "c0"


class TestAdmission:
    def test_operations_are_counted_once(self) -> None:
        prepared = {b"p": Prepare(b"p", False, b"READ")}
        assert begins_operation(Begin(read_only=False), {})
        assert begins_operation(Read(), {})
        assert begins_operation(Execute(b"p", b""), prepared)
        assert not begins_operation(Execute(b"q", b""), prepared)
        assert not begins_operation(Commit(), prepared)

    async def test_a_token_at_hand_costs_no_wait(self, site: Site) -> None:
        call = site.holder(0).run_operation("bode")
        with pytest.raises(StopIteration) as ended:
            call.send(None)
        assert ended.value.value == "ok"

    async def test_the_whole_burst_is_served_at_one_vm(self, site: Site) -> None:
        vm = site.other_vm
        results = [await vm.run_operation("bode") for _ in range(32)]
        assert results.count("ok") in (30, 31)
        assert results[-1] == "nothing_left"

    async def test_a_token_is_put_together_from_fractions(self, site: Site) -> None:
        """Guards against refusals while no share but the sum has a token."""
        vm = site.other_vm
        for _ in range(3):
            assert await vm.run_operation("small") == "ok"
        assert await vm.run_operation("small") == "nothing_left"
        await asyncio.sleep(10.1)  # A third of a token in each share.
        assert await vm.run_operation("small") == "ok"

    async def test_a_refused_request_returns_its_fractions(self, site: Site) -> None:
        vm = site.other_vm
        for _ in range(3):
            await vm.run_operation("small")
        for _ in range(10):
            await asyncio.sleep(1.0)
            last = await vm.run_operation("small")
        assert last == "ok"

    async def test_overload_is_served_up_to_the_rate(self, site: Site) -> None:
        admitted = await site.load("bode", rate=300, seconds=10)
        steady, burst = (
            3 * QuotaBound().share_limit(ORGANISATION)[0],
            ORGANISATION.burst,
        )
        assert burst + 9.7 * steady <= admitted <= burst + 10 * steady + 1
        assert site.worst_window("bode") <= QuotaBound().limit(ORGANISATION)


class TestNode:
    async def test_only_limits_make_a_node_use_shares(self) -> None:
        """Guards against store calls of a deployment without organisations."""
        deployment = Deployment("g")
        node = await deployment.start_node("a0", "a")
        routes = node.gateway.table
        await asyncio.sleep(10.0)
        assert node.gateway.allotments is None
        assert not [key for key in deployment.store.items if "allotments" in key]
        node.apply_routes(limited_table(routes))
        await asyncio.sleep(10.0)
        assert {"allotments/0", "allotments/2"} <= deployment.store.items.keys()
        await node.gateway.allotments.admit(ORGANISATION, deadline=0.0)
        await deployment.close()


class TestFailures:
    async def test_a_claim_without_an_answer_is_made_again(self, site: Site) -> None:
        site.holder(1).kill()
        site.store.lose_answers = 1
        await asyncio.sleep(15.0)
        assert site.holder(1) is not None

    async def test_a_killed_holders_share_moves_once(self, site: Site) -> None:
        holder = site.holder(1)
        holder.kill()
        assert await site.load("bode", rate=15, seconds=5) == pytest.approx(75, abs=15)
        await asyncio.sleep(10)
        assert site.holder(1).record.zone == holder.record.zone
        assert [len(vm.shares) for vm in site.vms.values()].count(1) >= 3

    async def test_a_restarted_holder_goes_on_at_once_and_empty(
        self, site: Site
    ) -> None:
        name = site.holder(1).record.name
        await site.load("bode", rate=300, seconds=0.5)
        site.vms[name].kill()
        vm = site.start(name)
        await asyncio.sleep(1.0)
        assert vm.shares == [1]
        await site.load("bode", rate=300, seconds=5)
        assert site.worst_window("bode") <= QuotaBound().limit(ORGANISATION)

    async def test_a_cut_off_holder_stops_before_its_successor_begins(
        self, site: Site
    ) -> None:
        holder, uses = site.holder(0), []
        holder.store.cut = True
        for _ in range(200):
            uses.append([vm.record.name for vm in site.vms.values() if 0 in vm.shares])
            await asyncio.sleep(0.1)
        assert all(len(names) <= 1 for names in uses)
        assert uses[0] != uses[-1] != []

    async def test_holders_outlive_an_outage_of_the_store(self, site: Site) -> None:
        site.store.unavailable = True
        await asyncio.sleep(9.0)
        site.store.unavailable = False
        assert await site.load("bode", rate=30, seconds=5) >= 145

    async def test_a_suspended_holder_grants_nothing_any_more(self, site: Site) -> None:
        holder = site.holder(0)
        holder.clock.ahead_s = 20.0
        assert holder.shares == []

    async def test_late_replies_are_ignored(self, site: Site) -> None:
        """Guards against tokens that are used after another holder has begun."""
        for name in site.vms:
            site.delays[name] = 0.2
        vm = site.other_vm
        assert await vm.run_operation("bode", timeout=2.0) == "no_holder"
        site.delays.clear()
        await asyncio.sleep(1.1)
        assert await vm.run_operation("bode") == "ok"

    async def test_a_vm_without_holders_refuses(self, site: Site) -> None:
        vm = site.other_vm
        site.cuts = {frozenset((vm.record.name, other)) for other in site.vms}
        started = vm.clock.monotonic()
        assert await vm.run_operation("bode", timeout=2.0) == "no_holder"
        assert vm.clock.monotonic() - started <= 0.8
        assert await vm.run_operation("bode") == "no_holder"

    async def test_a_loss_of_the_store_adds_no_tokens(self, site: Site) -> None:
        """The holder of share 0 is cut off while the store forgets that it exists."""
        saved, old = site.store.save(), site.holder(0)
        saved[0].pop("allotments/0")
        old.store.cut = True
        site.store.restore(saved)
        for _ in range(150):
            users: list[Vm] = [vm for vm in site.vms.values() if 0 in vm.shares]
            assert len(users) <= 1
            await asyncio.sleep(0.1)
        assert site.holder(0) not in (None, old)
        assert site.holder(1) is not None

    async def test_a_draining_holder_frees_its_share(self, site: Site) -> None:
        holder = site.holder(2)
        holder.draining = True
        await asyncio.sleep(3.0)
        assert site.holder(2) not in (None, holder)


class TestSessions:
    @pytest.fixture
    async def proxy(self):
        proxy = Proxy()
        await proxy.start()
        proxy.gateway.apply_routes(limited_table(table()))
        yield proxy
        proxy.dispatcher.close()

    @staticmethod
    def session(proxy: Proxy, organisation: str = "bode") -> StatementSession:
        name = Consistency.PRIMARY.value
        return StatementSession(name, gateway=proxy.gateway, organisation=organisation)

    async def test_a_transaction_is_counted_at_its_begin(self, proxy: Proxy) -> None:
        allotments = proxy.gateway.allotments = StubAllotments()
        session = self.session(proxy)
        for statement in (Begin(read_only=False), Write(), Read(), Commit()):
            await proxy.run(session, statement)
        assert allotments.admitted == ["bode"]
        await proxy.run(session, Read())
        await kind_of(proxy.run(session, Execute(b"unknown", b"")))
        assert allotments.admitted == ["bode", "bode"]

    async def test_a_refused_statement_reaches_no_endpoint(self, proxy: Proxy) -> None:
        proxy.gateway.allotments = StubAllotments(tokens=0)
        session = self.session(proxy)
        for statement in (Read(), Write(), Begin(read_only=False)):
            refused = await kind_of(proxy.run(session, statement))
            assert refused is ErrorKind.NOT_RUN_ALLOTMENT
        assert proxy.executed() == []
        assert proxy.gateway.open_transactions == 0

    async def test_an_organisation_without_a_limit_needs_no_token(
        self, proxy: Proxy
    ) -> None:
        proxy.gateway.allotments = StubAllotments(tokens=0)
        for organisation in ("free", ""):
            await proxy.run(self.session(proxy, organisation), Read())
