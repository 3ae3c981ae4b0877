"""Load generator by rank, and the service that each rank receives.

All statements are strict or bounded reads of one row with the same service time, so
the endpoint time of a rank is its part of the answers times the busy time of the slots,
which the endpoints count. Nothing writes, so the two replicas are always fresh and
serve the reads: the capacity is that of their slots, and every figure is taken over
both replicas together. The nominal service time of 10 ms takes 10 to 11 ms in the
stand-in, whose timers tick each millisecond.

A closed-loop worker sends its next statement as soon as it has an answer; a demand of
"10 times the capacity" is ten such workers for each slot. A paced worker sends at fixed
times, and its latency counts from the time at which the statement was due.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Iterable

import asyncpg

from bench.cluster import Cluster, Proxy, contract
from bench.ledger import SCHEMA, sqlstate
from bench.report import percentile_ms

BASELINE = "bench.baseline_proxy"
SERVICE_S = 0.010
SLOTS = 3
"""Statements that an endpoint runs at the same time."""
REPLICAS = 2
CONNECTIONS = 20
"""Connection limit of each endpoint of the stand-in."""
SHARES = {"urgent": 0.5, "interactive": 0.3, "background": 0.1}
USERS = {"urgent": "coop.lock", "interactive": "coop", "background": "coop.tally"}
CAPACITY = SLOTS * REPLICAS / SERVICE_S
"""Nominal maximum of statements a second on the slots of both replicas."""
READ = "SELECT n FROM counters WHERE id = 'a'"
CALL_TIMEOUT_S = 2.0
"""Time-out after which a client switches to another proxy, in scenarios where proxies
fail."""
DEADLINE_SQLSTATE = "CJ001"
"""SQLSTATE of a statement that did not run before its deadline."""


def service_cluster(name: str, *, proxies: int, baseline: bool = False) -> Cluster:
    """Return a cluster with a group of 3 endpoints, which have 3 slots each.

    The deadline of urgent work is 250 ms, because a person waits for the answer.
    """
    document = contract("coop", ["db1"], shares=SHARES)
    document["work"]["lock"]["deadline_ms"] = 250
    return Cluster(
        f"{name}-baseline" if baseline else name,
        proxies=proxies,
        schema=[*SCHEMA, "INSERT INTO counters VALUES ('a', 0)"],
        group_options={"statement_ms": SERVICE_S * 1000},
        contracts=[document],
        proxy_module=BASELINE if baseline else "celeryjunction",
    )


class Phase:
    """Answers and errors of one phase of a run, by rank."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self.ended = 0.0
        self.statements_before: dict[str, int] = {}
        self.statements_after: dict[str, int] = {}
        self.busy_s = 0.0
        self.answers: dict[str, list[tuple[float, float]]] = {r: [] for r in SHARES}
        self.failed: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()

    @property
    def seconds(self) -> float:
        """Length of the phase."""
        return self.ended - self.started

    def p99_ms(self, rank: str, *, since: float = 0.0) -> float:
        """Return the p99 latency of a rank over the answers from `since` on."""
        return percentile_ms([t for at, t in self.answers[rank] if at >= since], 99)

    def answered_fraction(self, rank: str) -> float:
        """Return the fraction of a rank's statements that had no error."""
        answered = len(self.answers[rank])
        return round(answered / max(answered + self.failed[rank], 1), 4)

    def rate(self, rank: str | None = None) -> float:
        """Return the answers a second of one rank, or of all."""
        ranks = SHARES if rank is None else (rank,)
        return sum(len(self.answers[r]) for r in ranks) / self.seconds

    def slot_share(self, rank: str) -> float:
        """Return the fraction of the slots' time that a rank used."""
        return round(self.utilization() * self.rate(rank) / self.rate(), 4)

    def relative_share(self, rank: str, *, offered: float | None = None) -> float:
        """Return the received service over the contract's share or a smaller demand.

        `offered` is the demand of paced workers in statements a second.
        """
        if offered is not None and offered < SHARES[rank] * CAPACITY:
            return round(self.rate(rank) / offered, 3)
        return round(self.slot_share(rank) / SHARES[rank], 3)

    def utilization(self) -> float:
        """Return the fraction of the slots' time in which they were busy."""
        return round(self.busy_s / self.seconds / (SLOTS * REPLICAS), 3)

    def statements_by_endpoint(self) -> list[int]:
        """Return the number of statements that each endpoint ran, ascending."""
        return sorted(
            n - self.statements_before[e] for e, n in self.statements_after.items()
        )

    def rate_in_window(self, begin: float, seconds: float) -> float:
        """Return the answers a second of all ranks, from `begin` for `seconds`."""
        found = sum(
            begin <= at < begin + seconds for a in self.answers.values() for at, _ in a
        )
        return found / seconds


class Load:
    """Clients of a cluster that run until `stop` and record answers in `phase`."""

    def __init__(
        self, cluster: Cluster, *, seed: int, timeout_s: float | None = None
    ) -> None:
        self.phase = Phase()
        self._cluster = cluster
        self._timeout_s = timeout_s
        self._random = random.Random(seed)
        self._running = True
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Load:
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    def start_closed(self, rank: str, proxies: Iterable[Proxy]) -> None:
        """Start a closed-loop worker for each entry of `proxies`; these may repeat."""
        for proxy in proxies:
            self._start(self._closed(rank, proxy))

    def start_paced(
        self, rank: str, proxies: Iterable[Proxy], interval_s: float
    ) -> None:
        """Start a paced worker for each entry of `proxies`, each at a random offset."""
        for proxy in proxies:
            self._start(self._paced(rank, proxy, interval_s))

    async def stop(self) -> None:
        """Cancel the workers, which close their connections, and raise their error."""
        self._running = False
        tasks, self._tasks = self._tasks, set()
        for task in tasks:
            task.cancel()
        for result in await asyncio.gather(*tasks, return_exceptions=True):
            if isinstance(result, Exception):
                raise result

    async def run_phase(self, seconds: float, *, warmup_s: float = 0.5) -> Phase:
        """Measure a phase after a warm-up in which queues fill or drain."""
        await asyncio.sleep(warmup_s)
        phase = self.phase = Phase()
        before = await self._cluster.group_state("db1")
        phase.started = time.monotonic()
        await asyncio.sleep(seconds)
        phase.ended = time.monotonic()
        self.phase = Phase()
        after = await self._cluster.group_state("db1")
        phase.statements_before = {
            n: endpoint["statements_run"] for n, endpoint in before.items()
        }
        phase.statements_after = {
            n: endpoint["statements_run"] for n, endpoint in after.items()
        }
        phase.busy_s = sum(after[n]["busy_s"] - before[n]["busy_s"] for n in after)
        return phase

    async def statements_run(self) -> dict[str, int]:
        """Return the number of statements that each endpoint has run."""
        state = await self._cluster.group_state("db1")
        return {name: endpoint["statements_run"] for name, endpoint in state.items()}

    def _start(self, worker) -> None:
        self._tasks.add(asyncio.create_task(worker))

    async def _closed(self, rank: str, proxy: Proxy) -> None:
        client = _Client(self._cluster, rank, proxy, self._timeout_s)
        try:
            while self._running:
                await self._run_statement(client, rank, time.monotonic())
        finally:
            client.close()

    async def _paced(self, rank: str, proxy: Proxy, interval_s: float) -> None:
        client = _Client(self._cluster, rank, proxy, self._timeout_s)
        due = time.monotonic() + 0.3 + interval_s * self._random.random()
        try:
            await client.connect()
            while self._running:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                await self._run_statement(client, rank, due)
                due += interval_s
        finally:
            client.close()

    async def _run_statement(self, client: _Client, rank: str, due: float) -> None:
        """Run a statement and record its latency or error.

        A deadline error within 200 ms is counted as early, because the statement cannot
        have waited until its deadline.
        """
        sent = time.monotonic()
        try:
            await client.read()
        except (asyncpg.PostgresError, asyncpg.InterfaceError, OSError) as error:
            state = sqlstate(error) or type(error).__name__
            self.phase.failed[rank] += 1
            early = state == DEADLINE_SQLSTATE and time.monotonic() - sent < 0.2
            self.phase.errors[f"{state} early" if early else state] += 1
            if not sqlstate(error):
                client.switch_proxy(self._random.choice(self._cluster.proxies))
                await asyncio.sleep(0.05)
        else:
            now = time.monotonic()
            self.phase.answers[rank].append((now, now - due))


class _Client:
    """A connection that is opened again after a loss."""

    def __init__(
        self, cluster: Cluster, rank: str, proxy: Proxy, timeout_s: float | None
    ) -> None:
        self._cluster = cluster
        self._user = USERS[rank]
        self._proxy = proxy
        self._timeout_s = timeout_s
        self._connection: asyncpg.Connection | None = None
        self._statement = None

    async def connect(self) -> None:
        """Connect and prepare the statement."""
        async with asyncio.timeout(self._timeout_s):
            connection = await self._cluster.connect(self._proxy, user=self._user)
            self._connection = connection
            self._statement = await connection.prepare(READ)

    async def read(self) -> None:
        """Run the statement; raises `TimeoutError` (an `OSError`) without an answer."""
        if self._statement is None:
            await self.connect()
        async with asyncio.timeout(self._timeout_s):
            await self._statement.fetch()

    def switch_proxy(self, proxy: Proxy) -> None:
        """Close the connection; the next statement connects to another proxy."""
        self.close()
        self._proxy = proxy

    def close(self) -> None:
        """Close the connection at once."""
        connection, self._connection = self._connection, None
        self._statement = None
        if connection is not None:
            connection.terminate()


def spread(proxies: list[Proxy], count: int) -> list[Proxy]:
    """Return `count` proxies for workers, evenly distributed."""
    return [proxies[i % len(proxies)] for i in range(count)]


async def connections_over_limit(cluster: Cluster) -> int:
    """Return the most connections by which an endpoint exceeded its limit.

    The stand-in refuses connections above the limit, so its peak never exceeds the
    limit; the refused connections are added.
    """
    state = await cluster.group_state("db1")
    return max(
        max(0, endpoint["peak_connections"] - CONNECTIONS)
        + endpoint["refused_connections"]
        for endpoint in state.values()
    )


async def peak_connections(cluster: Cluster) -> int:
    """Return the highest number of connections that an endpoint has had."""
    state = await cluster.group_state("db1")
    return max(endpoint["peak_connections"] for endpoint in state.values())


async def home_of(cluster: Cluster) -> Proxy:
    """Return the home of the database as the first proxy sees it."""
    status = await cluster.status(cluster.proxies[0])
    vm = status["forwarding"]["home"]["db1"]
    return next(proxy for proxy in cluster.proxies if proxy.name == vm)
