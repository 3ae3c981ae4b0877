"""Checks that answers and transactions of clients do not mix under faults.

Echo clients request a text of their own, partly with a time-out short enough to cancel
the request, while endpoints freeze, are blocked, slow down or lose commit answers.
Transaction clients insert two rows in each transaction, which must be stored completely
or not at all and see no rows of other transactions.
"""

from __future__ import annotations

import asyncio
import random
import time

import asyncpg

from bench.cluster import Cluster
from bench.ledger import SCHEMA, final_rows, run_with_timeout, sqlstate
from bench.report import format_table, print_result

DURATION_S = 20.0
ECHO_CLIENTS = 12
TRANSACTION_CLIENTS = 6
CANCEL_SHARE = 0.3


class Crossed:
    """Clients and faults, and the counts of outcomes."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._end = time.monotonic() + DURATION_S
        self._random = random.Random(7)
        self._committed: set[str] = set()
        self._rolled_back: set[str] = set()
        self.counts = dict.fromkeys(
            ("answers", "wrong_answers", "cancelled", "errors", "transactions"), 0
        )
        self.states: dict[str, int] = {}

    async def run(self) -> dict[str, object]:
        """Run the load under faults; return the results."""
        await run_with_timeout(
            DURATION_S + 25,
            self._faults(),
            *(self._echo(i) for i in range(ECHO_CLIENTS)),
            *(self._transactions(i) for i in range(TRANSACTION_CLIENTS)),
        )
        return await self._result()

    async def _faults(self) -> None:
        names = [f"db1-{i}" for i in (1, 2, 3)]
        while time.monotonic() < self._end - 3:
            name = self._random.choice(names)
            fault = self._random.choice(("freeze", "block", "slow", "lose"))
            await self._inject(fault, name)
            await asyncio.sleep(0.5)

    async def _inject(self, fault: str, name: str) -> None:
        control = self._cluster.control
        if fault == "freeze":
            await control("db1", "freeze", endpoint=name, seconds=0.3)
        elif fault == "block":
            await control("db1", "block", endpoint=name, zone=None)
            await asyncio.sleep(0.3)
            await control("db1", "unblock", endpoint=name)
        elif fault == "slow":
            await control("db1", "slow", endpoint=name, factor=20)
            await asyncio.sleep(0.3)
            await control("db1", "slow", endpoint=name, factor=1)
        else:
            await control("db1", "lose_commit_answer", endpoint=name, count=3)

    async def _connect(self, index: int) -> asyncpg.Connection:
        proxies = self._cluster.proxies
        user = "coop.browse" if index % 2 else "coop"
        return await self._cluster.connect(proxies[index % len(proxies)], user=user)

    async def _echo(self, index: int) -> None:
        connection = await self._connect(index)
        number = 0
        while time.monotonic() < self._end:
            number += 1
            text = f"echo-{index}-{number}"
            cancel = self._random.random() < CANCEL_SHARE
            timeout = self._random.uniform(0.001, 0.02) if cancel else 8.0
            try:
                rows = await connection.fetch(
                    "SELECT $1::text AS t, n FROM generate_series(1, $2::int8) AS g(n)",
                    text,
                    1 + number % 40,
                    timeout=timeout,
                )
            except TimeoutError:
                self.counts["cancelled"] += 1
            except (asyncpg.PostgresError, asyncpg.InterfaceError, OSError) as error:
                self._record_error(error)
                if connection.is_closed():
                    connection = await self._connect(index)
            else:
                self._check_rows(rows, text, 1 + number % 40)
        await connection.close()

    def _check_rows(self, rows: list[asyncpg.Record], text: str, count: int) -> None:
        self.counts["answers"] += 1
        is_complete = [row["n"] for row in rows] == list(range(1, count + 1))
        is_own = all(row["t"] == text for row in rows)
        self.counts["wrong_answers"] += not (is_complete and is_own)

    async def _transactions(self, index: int) -> None:
        connection = await self._connect(index * 2)
        number = 0
        while time.monotonic() < self._end:
            number += 1
            name = f"txn-{index}-{number}"
            try:
                await self._transaction(connection, name, roll_back=number % 5 == 0)
            except (asyncpg.PostgresError, asyncpg.InterfaceError, OSError) as error:
                self._record_error(error)
                if connection.is_closed():
                    connection = await self._connect(index * 2)
        await connection.close()

    async def _transaction(
        self, connection: asyncpg.Connection, name: str, *, roll_back: bool
    ) -> None:
        self.counts["transactions"] += 1
        transaction = connection.transaction()
        await transaction.start()
        try:
            for side in (1, 2):
                await connection.execute(
                    "INSERT INTO pairs VALUES ($1, $2)", name, side
                )
            seen = await connection.fetchval(
                "SELECT count(*) FROM pairs WHERE txn = $1", name
            )
            self.counts["wrong_answers"] += seen != 2
        except BaseException:
            if not connection.is_closed():
                await transaction.rollback()
            raise
        if roll_back:
            await transaction.rollback()
            self._rolled_back.add(name)
        else:
            await transaction.commit()
            self._committed.add(name)

    def _record_error(self, error: Exception) -> None:
        self.counts["errors"] += 1
        state = sqlstate(error) or f"{type(error).__name__}: {error}"
        self.states[state] = self.states.get(state, 0) + 1

    async def _result(self) -> dict[str, object]:
        direct = await self._cluster.connect_direct("db1")
        _, pairs = await final_rows(direct)
        await direct.close()
        sides: dict[str, list[int]] = {}
        for txn, side in pairs:
            sides.setdefault(txn, []).append(side)
        mixed = sum(1 for found in sides.values() if sorted(found) != [1, 2])
        return {
            "wrong_answers": self.counts["wrong_answers"],
            "mixed_transactions": mixed + len(self._rolled_back & set(sides)),
            "lost_transactions": len(self._committed - set(sides)),
            "answers": self.counts["answers"],
            "transactions": self.counts["transactions"],
            "cancelled": self.counts["cancelled"],
            "errors": self.states,
        }


async def run() -> None:
    """Run the scenario."""
    async with Cluster("crossed", proxies=3, schema=SCHEMA) as cluster:
        result = await Crossed(cluster).run()
    print(format_table(result))
    print_result(result)
