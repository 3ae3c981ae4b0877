"""Tests of admission, in simulated time on an event loop that never sleeps."""

from __future__ import annotations

import asyncio
import functools
import random
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine

import pytest

from celeryjunction.admission import ConcurrencyLimit, EndpointAdmission, Ticket
from celeryjunction.contract import Rank, ShedOrder
from celeryjunction.errors import ErrorKind, ProxyError

URGENT, INTERACTIVE, BACKGROUND = Rank
SHARES = {URGENT: 0.6, INTERACTIVE: 0.3, BACKGROUND: 0.1}
MEAN_S = {URGENT: 0.005, INTERACTIVE: 0.01, BACKGROUND: 0.05}
ORDER = ShedOrder("o1", "director", "festival", "", "")


class _Selector(selectors.DefaultSelector):
    """Advances simulated time instead of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list:
        self.now += timeout or 0.0
        return super().select(0)


class Simulation(asyncio.SelectorEventLoop):
    """Event loop whose time is simulated; also the clock of the code under test."""

    def __init__(self) -> None:
        self.simulated = _Selector()
        super().__init__(self.simulated)

    def time(self) -> float:
        return self.simulated.now

    monotonic = time


def simulate(scenario: Callable[..., Coroutine], *args: object) -> float | None:
    with asyncio.Runner(loop_factory=Simulation) as runner:
        return runner.run(scenario(*args))


def simulated(test: Callable[..., Coroutine]) -> Callable[..., None]:
    """Run a test in simulated time, on a loop of its own."""
    return functools.wraps(test)(lambda *args: simulate(test, *args))


def admission(slots: int = 3, connections: int = 20) -> EndpointAdmission:
    clock = asyncio.get_running_loop()
    return EndpointAdmission(slots=slots, connections=connections, clock=clock)


def ticket(rank: Rank = URGENT, *, wait: float = 60.0, **options: object) -> Ticket:
    deadline = asyncio.get_running_loop().time() + wait
    options = {"customer": "co-op", "share": SHARES[rank], **options}
    return Ticket(rank=rank, deadline=deadline, **options)


def done(adm: EndpointAdmission, used: Ticket, seconds: float = 0.01) -> None:
    adm.release_connection(used)
    adm.release_slot(used, service_s=seconds, ok=True)


async def start(adm: EndpointAdmission, *tickets: Ticket) -> list[asyncio.Task]:
    tasks = [asyncio.create_task(adm.acquire(each)) for each in tickets]
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return tasks


class Load:
    """Fake endpoint with slots behind a FIFO queue, and clients that use it."""

    def __init__(self, slots: int = 3) -> None:
        self.loop = asyncio.get_running_loop()
        self.admission = admission(slots)
        self.endpoint = asyncio.Semaphore(slots)
        self.random = random.Random(1)
        self.busy: Counter = Counter()
        self.latency: list[float] = []

    async def statement(self, rank: Rank, mean_s: float, **options: object) -> None:
        came = self.loop.time()
        used = ticket(rank, **options)
        await self.admission.acquire(used)
        sent = self.loop.time()
        async with self.endpoint:
            service_s = mean_s * self.random.uniform(0.5, 1.5)
            await asyncio.sleep(service_s)
        self.busy[rank, used.customer] += service_s
        done(self.admission, used, self.loop.time() - sent)
        if rank is URGENT:
            self.latency.append(self.loop.time() - came)

    async def flood(self, rank: Rank, until: float, clients: int = 20, **options):
        async def client() -> None:
            while self.loop.time() < until:
                await self.statement(rank, MEAN_S[rank], **options)

        await asyncio.gather(*(client() for _ in range(clients)))

    async def arrivals(self, rank: Rank, rate: float, until: float) -> None:
        async with asyncio.TaskGroup() as group:
            while self.loop.time() < until:
                await asyncio.sleep(self.random.expovariate(rate))
                group.create_task(self.statement(rank, MEAN_S[rank]))

    def used(self, rank: Rank) -> float:
        return self.busy[rank, "co-op"] / (3 * self.loop.time())


class TestShares:
    @simulated
    async def test_each_rank_keeps_its_share_when_all_flood(self) -> None:
        # Guards against urgent floods that starve other ranks, and idle slots.
        load = Load()
        await asyncio.gather(*(load.flood(rank, 20.0) for rank in Rank))
        assert load.used(INTERACTIVE) >= 0.27
        assert load.used(BACKGROUND) >= 0.09
        assert load.used(URGENT) >= 0.9 * 0.6
        assert sum(load.used(rank) for rank in Rank) >= 0.9

    @simulated
    async def test_use_of_spare_time_is_no_debt_when_a_flood_begins(self) -> None:
        # Guards against a rank that starves for having used time nobody wanted, and
        # against unused shares (interactive work is absent) that nobody gets.
        load = Load()
        await load.flood(BACKGROUND, 10.0)
        alone, since = load.busy[BACKGROUND, "co-op"], load.loop.time()
        async with asyncio.TaskGroup() as group:
            for rank in (URGENT, BACKGROUND):
                group.create_task(load.flood(rank, 16.0))
            await asyncio.sleep(16.0 - since)
            slot_time = 3 * (16.0 - since)
            assert load.busy[BACKGROUND, "co-op"] - alone >= 0.09 * slot_time
            assert load.busy[URGENT, "co-op"] >= 0.8 * slot_time

    @simulated
    async def test_customers_share_a_rank_by_weight(self) -> None:
        # Guards against fairness by statement count, and against banked idle credit:
        # the second customer comes late and gets no more than its share.
        load = Load()
        async with asyncio.TaskGroup() as group:
            group.create_task(load.flood(INTERACTIVE, 20.0, share=0.2))
            await asyncio.sleep(10)
            before = load.busy[INTERACTIVE, "co-op"]
            await load.flood(INTERACTIVE, 20.0, customer="asociacion", share=0.1)
            first = load.busy[INTERACTIVE, "co-op"] - before
        ratio = first / load.busy[INTERACTIVE, "asociacion"]
        assert ratio == pytest.approx(2.0, rel=0.1)


class TestUrgentLatency:
    @pytest.mark.parametrize("rate", [20, 60, 200])
    def test_background_flood_at_most_doubles_urgent_p99(self, rate: int) -> None:
        # Guards against long background statements that hold every slot.
        async def p99(flood: bool) -> float:
            load = Load()
            background = load.flood(BACKGROUND, 20.0, 20 if flood else 0)
            await asyncio.gather(background, load.arrivals(URGENT, rate, 20.0))
            return sorted(load.latency)[int(0.99 * len(load.latency))]

        assert simulate(p99, True) <= 2 * simulate(p99, False)

    @simulated
    async def test_urgent_work_is_sent_before_earlier_background_work(self) -> None:
        adm = admission()
        tickets = [ticket(BACKGROUND) for _ in range(9)]
        tasks = await start(adm, *tickets)
        assert [task.done() for task in tasks].count(True) == adm.running == 2
        await asyncio.wait_for(adm.acquire(ticket()), 0.001)
        done(adm, tickets[0])
        assert adm.running == 2, "background work took the last free slot"
        for task in tasks:
            task.cancel()

    @simulated
    async def test_single_slot_runs_long_background_work_after_a_quiet_time(
        self,
    ) -> None:
        # Guards against background work that waits for ever when nothing happens.
        adm = admission(slots=1)
        urgent = ticket()
        await adm.acquire(urgent)
        done(adm, urgent)
        await adm.acquire(ticket(BACKGROUND, expected_s=5.0))
        assert 1.0 <= asyncio.get_running_loop().time() <= 2.1


class TestWaiting:
    @simulated
    async def test_cancelled_waiters_leak_neither_slot_nor_connection(self) -> None:
        # Cancels before and after the grant reached the waiting task.
        adm = admission(slots=1, connections=1)
        first = ticket()
        await adm.acquire(first)
        waiting, granted, last = await start(adm, *(ticket() for _ in range(3)))
        waiting.cancel()
        await asyncio.sleep(0)
        done(adm, first)
        granted.cancel()
        await last
        assert (adm.running, adm.connections_held, adm.waiting[URGENT]) == (1, 1, 0)
        assert granted.cancelled()

    @simulated
    async def test_deadline_ends_the_wait_and_hopeless_work_is_not_sent(self) -> None:
        adm = admission(slots=1)
        await adm.acquire(ticket())
        for expected_s in (0.0, 0.2):
            with pytest.raises(ProxyError) as caught:
                await adm.acquire(ticket(wait=0.5, expected_s=expected_s))
            assert caught.value.kind is ErrorKind.NOT_RUN_DEADLINE
            assert "0.5 s" in str(caught.value)
        assert asyncio.get_running_loop().time() == pytest.approx(0.5 + 0.3)
        with pytest.raises(ProxyError):
            await admission().acquire(ticket(wait=0.1, expected_s=0.2))

    @simulated
    async def test_connections_may_shrink_below_what_is_held(self) -> None:
        # Guards against new grants while too many connections are held, and against
        # blocking a statement whose transaction already holds one.
        adm = admission(connections=2)
        held = [ticket(), ticket()]
        for each in held:
            await adm.acquire(each)
            adm.release_slot(each, service_s=0.01, ok=True)
        adm.set_connections(1)
        (waiting,) = await start(adm, ticket())
        adm.release_connection(held[0])
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await adm.acquire(held[1])
        done(adm, held[1])
        await waiting

    @simulated
    async def test_open_transactions_go_first_within_a_rank(self) -> None:
        adm = admission(slots=1)
        open_transaction, running = ticket(), ticket()
        await adm.acquire(open_transaction)
        adm.release_slot(open_transaction, service_s=0.01, ok=True)
        await adm.acquire(running)
        other = ticket(customer="asociacion")
        new, next_step = await start(adm, other, open_transaction)
        done(adm, running)
        await next_step
        assert not new.done()
        new.cancel()


class TestOverload:
    @simulated
    async def test_only_signed_work_is_shed_lowest_rank_first(self) -> None:
        adm = admission(slots=1)
        await adm.acquire(ticket(expected_s=1.0))
        slow = {"wait": 1.5, "expected_s": 1.0}
        order = ShedOrder("o2", "director", "fire", "", "", "interactive")
        background, unsigned = await start(
            adm, ticket(BACKGROUND, shed_order=ORDER), ticket(INTERACTIVE, **slow)
        )
        tasks = await start(adm, *(ticket(INTERACTIVE) for _ in range(1000)))
        (first,) = await start(adm, ticket(INTERACTIVE, shed_order=order, **slow))
        assert background.exception().kind is ErrorKind.NOT_RUN_SHED
        assert "o1 signed by director" in str(background.exception())
        assert not first.done() and not unsigned.done()
        with pytest.raises(ProxyError, match="o2 signed by director: fire"):
            await adm.acquire(ticket(INTERACTIVE, shed_order=order, **slow))
        for task in (*tasks, first, unsigned):
            task.cancel()

    @simulated
    async def test_pressure_warns_before_deadlines_are_missed(self) -> None:
        load = Load()
        overload = asyncio.create_task(load.arrivals(URGENT, 900, 4.0))
        await asyncio.sleep(3)
        pressure = load.admission.pressure()[URGENT]
        assert pressure.growth_per_s == pytest.approx(300, rel=0.3)
        # 60 s are allowed, and the wait grows by about half a second a second.
        assert 80 <= pressure.seconds_left <= 160
        assert load.admission.pressure()[BACKGROUND].seconds_left == float("inf")
        await overload
        assert load.admission.snapshot().waiting[URGENT] == 0


class TestConcurrencyLimit:
    @staticmethod
    def run(limit: ConcurrencyLimit, service: Callable[[], float], seconds: float):
        """Feed answers of a saturated endpoint of 3 slots; return the limits seen."""
        seen = []
        for answer in range(int(seconds / 0.001)):
            running = limit.limit
            service_s = service() * max(1.0, running / 3)
            now = answer * 0.001
            limit.observe(0, service_s, now=now, running=running, waiting=True)
            seen.append(running)
        return seen

    @pytest.mark.parametrize("seed", range(3))
    def test_noise_does_not_lower_the_limit(self, seed: int) -> None:
        # Guards against a limit that follows the noise of 1 ms service times.
        rng = random.Random(seed)
        limit = ConcurrencyLimit(slots=3)
        seen = self.run(limit, lambda: rng.expovariate(1000), 30)
        assert seen.count(3) >= 0.9 * len(seen) and min(seen) >= 2

    def test_limit_falls_only_when_that_shortens_the_answers(self) -> None:
        # Guards against throttling for slowness that no smaller limit can heal. The
        # first endpoint has one slot left to this proxy; the second became slower.
        limits = ConcurrencyLimit(slots=3), ConcurrencyLimit(slots=3)
        for limit in limits:
            self.run(limit, lambda: 0.001, 2)
        seen = self.run(limits[0], lambda: 0.001 * limits[0].limit, 20)
        assert sum(seen) / len(seen) <= 2 and max(seen[10_000:]) <= 3
        assert self.run(limits[1], lambda: 0.003, 20)[-1] >= 3


class TestWaitingOfARank:
    @simulated
    async def test_counts_only_that_rank(self) -> None:
        # With all ranks counted, the balancer gathered background work at one endpoint,
        # which keeps the rank's share only of its own time.
        adm = admission(slots=1)
        await adm.acquire(ticket(URGENT))
        tasks = [
            asyncio.create_task(adm.acquire(ticket(rank)))
            for rank in (URGENT, BACKGROUND, BACKGROUND)
        ]
        await asyncio.sleep(0)
        assert [adm.waiting_of(rank) for rank in Rank] == [1, 0, 2]
        for task in tasks:
            task.cancel()
