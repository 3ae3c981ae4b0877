"""Five proxies are drained in turn under load; then two endpoints leave.

Clients choose among the ready proxies, as the platform's load balancer does, and
connect again when their connection was closed before they sent anything. A cut is a
request that was answered with an error, or whose connection broke without an answer.
The leaving endpoint counts the statements that it runs; status queries take no slot and
are not counted.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections import Counter

import aiohttp
import asyncpg

from bench.cluster import Cluster, Proxy, contract
from bench.ledger import SCHEMA, run_with_timeout, sqlstate
from bench.report import format_table, print_result

PROXIES = 5
CLIENTS = 30
DRAIN_NOTICE_S = 0.5
DRAIN_TIMEOUT_S = 10.0
LEAVING_S = 3.0
OBSERVE_S = 3.0
RUN_TIMEOUT_S = 55.0
USERS = ("coop", "coop.browse", "coop.tally", "coop.lock")


CLIENT_ERRORS = (
    OSError,
    asyncpg.PostgresError,
    asyncpg.InterfaceError,
    asyncpg.InternalClientError,
)


class NotSentError(Exception):
    """The connection was found closed before a transaction's first statement."""


class Client:
    """A client that sends requests and transactions, one connection at a time."""

    def __init__(self, drain: Drain, number: int) -> None:
        self._drain = drain
        self._random = random.Random(number)
        self._user = USERS[number % len(USERS)]
        # Ranges from clients that never pause to clients that are idle for seconds.
        self._think_s = (0.0, 0.002, 0.02, 0.2, 1.5)[number % 5]
        self._connection: asyncpg.Connection | None = None

    async def run(self) -> None:
        """Send requests until the run ends."""
        while self._drain.running:
            connection = await self._get_connection()
            if connection is None:
                continue
            await self._request(connection)
            await asyncio.sleep(self._think_s * self._random.uniform(0.5, 1.5))
        if self._connection is not None:
            await self._connection.close()

    async def _get_connection(self) -> asyncpg.Connection | None:
        connection = self._connection
        if connection is not None and not connection.is_closed():
            return connection
        if connection is not None:
            self._drain.counts["told_while_idle"] += 1
            self._connection = None
        proxy = self._random.choice(self._drain.ready_proxies)
        try:
            self._connection = await self._drain.cluster.connect(proxy, user=self._user)
        except CLIENT_ERRORS:
            self._drain.counts["connects_refused"] += 1
            await asyncio.sleep(0.02)
        return self._connection

    async def _request(self, connection: asyncpg.Connection) -> None:
        kind = self._random.choice(("read", "read", "write", "transaction"))
        try:
            await getattr(self, f"_{kind}")(connection)
        except (NotSentError, *CLIENT_ERRORS) as error:
            self._record_failure(connection, kind, error)
        else:
            self._drain.counts[kind] += 1

    def _record_failure(
        self, connection: asyncpg.Connection, kind: str, error: Exception
    ) -> None:
        self._connection = None
        if isinstance(error, NotSentError) or (
            kind != "transaction" and _is_not_sent(error)
        ):
            self._drain.counts["told_while_idle"] += 1
        else:
            self._drain.cuts[f"{kind} {sqlstate(error) or repr(error)[:80]}"] += 1
        connection.terminate()

    async def _read(self, connection: asyncpg.Connection) -> None:
        await connection.fetchval("SELECT count(*) FROM pairs WHERE txn = $1", "x")

    async def _write(self, connection: asyncpg.Connection) -> None:
        await connection.execute(
            "INSERT INTO writes (op, worker) VALUES ($1, $2)", "op", self._user
        )

    async def _transaction(self, connection: asyncpg.Connection) -> None:
        txn = f"{id(self)}-{self._random.random()}"
        sent = False
        try:
            await connection.execute("BEGIN")
            sent = True
            for side in (1, 2):
                await connection.execute("INSERT INTO pairs VALUES ($1, $2)", txn, side)
                await asyncio.sleep(self._random.uniform(0, 0.02))
            await connection.execute("COMMIT")
        except CLIENT_ERRORS as error:
            if not sent and _is_not_sent(error):
                raise NotSentError from error
            raise


def _is_not_sent(error: Exception) -> bool:
    """Whether asyncpg found the connection closed and sent nothing.

    Between the proxy's notice and the end of the stream, asyncpg is in its state 2,
    discards input, and raises an internal error before it sends a request.
    """
    if isinstance(error, asyncpg.InternalClientError):
        return "another operation (2) is in progress" in str(error)
    closed = isinstance(error, asyncpg.InterfaceError) and sqlstate(error) == ""
    return closed and "connection is closed" in str(error)


class Drain:
    """The load, the drained proxies and the leaving endpoints."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.running = True
        self.ready_proxies: list[Proxy] = list(cluster.proxies)
        self.counts: Counter[str] = Counter()
        self.cuts: Counter[str] = Counter()
        self._exit_codes: list[int] = []
        self._drain_s: list[float] = []
        self._leaving_statements: dict[str, int] = {}

    async def run(self) -> dict[str, object]:
        """Run the load and all steps; return the results."""
        clients = [Client(self, number).run() for number in range(CLIENTS)]
        await run_with_timeout(
            RUN_TIMEOUT_S, self._steps(), self._poll_readiness(), *clients
        )
        requests = sum(self.counts[k] for k in ("read", "write", "transaction"))
        return {
            "cut_requests": sum(self.cuts.values()),
            "new_work_after_3s": sum(self._leaving_statements.values()),
            "cuts": dict(self.cuts),
            "new_work": self._leaving_statements,
            "exit_codes": self._exit_codes,
            "drain_s": [round(seconds, 2) for seconds in self._drain_s],
            "requests": requests,
            **self.counts,
        }

    async def _poll_readiness(self) -> None:
        """Probe the readiness of the proxies, as the load balancer does."""
        while self.running:
            proxies = self.cluster.proxies
            answers = await asyncio.gather(*(self.cluster.is_ready(p) for p in proxies))
            self.ready_proxies = [
                p for p, ok in zip(proxies, answers, strict=True) if ok
            ]
            await asyncio.sleep(0.1)

    async def _steps(self) -> None:
        await asyncio.sleep(2)
        for proxy in self.cluster.proxies:
            await self._restart(proxy)
        await self._test_leaving("db1-3", "record", outage=False)
        await self._test_leaving("db1-2", "status only", outage=True)
        self.running = False

    async def _restart(self, proxy: Proxy) -> None:
        started = time.monotonic()
        proxy.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            self._exit_codes.append(await proxy.process.wait())
        self._drain_s.append(time.monotonic() - started)
        await self.cluster.start_proxy(proxy)
        print(f"{proxy.name} drained; cuts {dict(self.cuts)}", flush=True)
        await asyncio.sleep(0.5)

    async def _test_leaving(
        self, endpoint: str, announced_by: str, *, outage: bool
    ) -> None:
        """Mark a replica as leaving; count the statements that it runs after 3 s."""
        cluster = self.cluster
        if outage:
            await cluster.store_control("outage", mode="unavailable")
        leaving = asyncio.create_task(
            cluster.control("db1", "leaving", endpoint=endpoint)
        )
        await asyncio.sleep(LEAVING_S)
        before = await cluster.group_state("db1")
        await asyncio.sleep(OBSERVE_S)
        after = await cluster.group_state("db1")
        name = f"{endpoint} ({announced_by})"
        self._leaving_statements[name] = (
            after[endpoint]["statements_run"] - before[endpoint]["statements_run"]
        )
        connections = after[endpoint]["connections"]
        print(
            f"{name} leaves: {connections} connections, {self._leaving_statements}",
            flush=True,
        )
        await cluster.store_control("heal")
        await leaving
        await cluster.control("db1", "leaving", endpoint=endpoint, value=False)


async def run() -> None:
    """Run the scenario."""
    contracts = [contract("coop", ["db1"], connections=15)]
    async with Cluster(
        "drain",
        proxies=PROXIES,
        schema=SCHEMA,
        contracts=contracts,
        drain_notice_s=DRAIN_NOTICE_S,
    ) as cluster:
        try:
            result = await Drain(cluster).run()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise SystemExit(f"drain scenario failed: {error!r}") from error
    print(format_table(result))
    print_result(result)
