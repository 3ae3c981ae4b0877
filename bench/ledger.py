"""Outcomes that clients received, compared with the endpoints' data at the end."""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import Awaitable, Callable

import asyncpg

SCHEMA = [
    "CREATE TABLE counters (id text PRIMARY KEY, n int8 NOT NULL)",
    "CREATE TABLE writes (op text NOT NULL, worker text NOT NULL)",
    "CREATE TABLE pairs (txn text NOT NULL, side int4 NOT NULL)",
]

NOT_RUN_SQLSTATES = frozenset({"CJ001", "CJ002", "CJ003", "CJ004", "CJ005"})
UNKNOWN = "08007"


def sqlstate(error: BaseException) -> str:
    """Return the SQLSTATE of a client library's error, or an empty string."""
    return getattr(error, "sqlstate", None) or ""


class Ledger:
    """Operations by outcome; each operation has a unique name."""

    def __init__(self) -> None:
        self.acknowledged: set[str] = set()
        self.not_run: set[str] = set()
        self.unknown: set[str] = set()
        self.failed: Counter[str] = Counter()
        self.reads = 0
        self.stale_reads = 0
        self.wrong_answers = 0
        self.latencies: dict[str, list[float]] = {}
        self._names = itertools.count()

    def new_op(self, worker: str) -> str:
        """Return a unique name for a new operation."""
        return f"{worker}-{next(self._names)}"

    def record_latency(self, operation: str, seconds: float) -> None:
        """Record the latency of an operation, in seconds."""
        self.latencies.setdefault(operation, []).append(seconds)

    async def write(self, op: str, run: Callable[[], Awaitable[object]]) -> bool:
        """Run a write and record its outcome; return whether it was acknowledged."""
        started = time.monotonic()
        try:
            await run()
        except (asyncpg.PostgresError, asyncpg.InterfaceError, OSError) as error:
            self._record_error(op, error)
            return False
        self.acknowledged.add(op)
        self.record_latency("write", time.monotonic() - started)
        return True

    def _record_error(self, op: str, error: Exception) -> None:
        state = sqlstate(error)
        self.failed[state or type(error).__name__] += 1
        if state in NOT_RUN_SQLSTATES:
            self.not_run.add(op)
        else:
            # Without an answer, or with another error, the write may have taken effect.
            self.unknown.add(op)

    def check_writes(self, rows: list[str]) -> dict[str, int]:
        """Compare outcomes with the operations found at the primary; return counts."""
        found = Counter(rows)
        return {
            "lost_acknowledged": sum(1 for op in self.acknowledged if op not in found),
            "duplicates": sum(1 for count in found.values() if count > 1),
            "false_not_run": sum(1 for op in self.not_run if op in found),
        }

    def check_pairs(self, rows: list[tuple[str, int]]) -> int:
        """Count transactions with rows that are missing or duplicated."""
        sides: dict[str, list[int]] = {}
        for txn, side in rows:
            sides.setdefault(txn, []).append(side)
        return sum(1 for found in sides.values() if sorted(found) != [1, 2])


async def insert_op(connection: asyncpg.Connection, op: str, worker: str) -> None:
    """Insert a row for an operation."""
    await connection.execute(
        "INSERT INTO writes (op, worker) VALUES ($1, $2)", op, worker
    )


async def final_rows(connection: asyncpg.Connection) -> tuple[list[str], list]:
    """Read all operations and pairs directly from an endpoint."""
    writes = await connection.fetch("SELECT op FROM writes")
    pairs = await connection.fetch("SELECT txn, side FROM pairs")
    return [row["op"] for row in writes], [(r["txn"], r["side"]) for r in pairs]


async def run_with_timeout(seconds: float, *workers: Awaitable[object]) -> None:
    """Run workers for at most `seconds`, then cancel those that have not finished."""
    tasks = [asyncio.ensure_future(worker) for worker in workers]
    done, unfinished = await asyncio.wait(tasks, timeout=seconds)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(*unfinished, return_exceptions=True)
    for task in done:
        task.result()
