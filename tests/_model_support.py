"""A proxy's `Group`, with statuses and scripted answers supplied by the test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from random import Random

from celeryjunction.contract import Rank
from celeryjunction.group import Group
from celeryjunction.ports import (
    EndpointRecord,
    EndpointStatus,
    GroupRecord,
    QueryResult,
    Step,
    StoreUnavailable,
)
from celeryjunction.rounds import STATUS_STEP
from celeryjunction.work import Work

WRITE = Step("UPDATE stock SET n = n - 1")
READ = Step("SELECT n FROM stock")
COMMIT, QUERY_OUTCOME = "COMMIT", "SELECT pg_xact_status($1)"

Script = Callable[[str, list[str]], Awaitable[list[QueryResult]]]


def group_record(term: int = 1, *, primary: str = "e0", promotion: str = "majority"):
    endpoints = tuple(
        EndpointRecord(name=f"e{n}", host="127.0.0.1", port=1, zone="a")
        for n in range(3)
    )
    return GroupRecord("stock", term, primary, endpoints, promotion)


def row(*values: bytes) -> QueryResult:
    return QueryResult("SELECT 1", (), [values])


def status_row(term: int, position: int, role: bytes = b"primary") -> QueryResult:
    position = b"%d" % position
    return row(b"%d" % term, role, position, position, b"f", b"0")


class GroupHarness:
    """Directory, connector and clock of a `Group` of the endpoints e0 to e2.

    `script(endpoint, statements)` answers each pipeline. A pipeline that only queries
    the status gets no answer; `observe_status` supplies statuses. `sent` has the
    endpoint and the text of each statement sent.
    """

    def __init__(self, promotion: str, script: Script | None) -> None:
        self.now = 100.0
        self.script = script
        self.sent: list[tuple[str, str]] = []
        self.on_connect: Callable[[], None] = lambda: None
        self.group = Group(
            "stock",
            directory=self,
            connector=self,
            connections=lambda endpoint: 4,
            zone="a",
            clock=self,
            random=Random(1),
        )
        self.monitor = self.group.monitor
        self.group.update_record(group_record(promotion=promotion))

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        raise StoreUnavailable("none in this test")

    async def connect(
        self, endpoint, database: str, *, timeout: float
    ) -> ScriptedConnection:
        connection = ScriptedConnection(self, endpoint.name)
        self.on_connect()
        return connection

    def observe_status(
        self, name: str, term: int, applied: int = 0, *, primary=False, start: int = 0
    ) -> None:
        """Supply a status whose query was sent now."""
        status = EndpointStatus(term, primary, applied, applied, False, start)
        self.monitor.observe(name, status, self.now)

    def prove(
        self,
        term: int = 1,
        position: int = 0,
        *,
        primary: str = "e0",
        start: int = 0,
        after_s: float = 1.0,
        primary_only: bool = False,
    ) -> None:
        """Advance the clock, then have two endpoints report the term.

        With `primary_only` only the primary has the position.
        """
        self.now += after_s
        self.observe_status("e2", term, 0 if primary_only else position)
        self.observe_status(primary, term, position, primary=True, start=start)

    def confirm(self, *, replicated: bool = False) -> asyncio.Task[bool]:
        """Start to confirm a commit at position 1 of term 1."""
        self.now += 1
        return asyncio.create_task(
            self.monitor.confirm(
                term=1,
                position=1,
                since=self.now,
                replicated=replicated,
                deadline=self.now + 60,
            )
        )

    def work(self, *, deadline_s: float = 60.0, **options) -> Work:
        return Work(
            customer="co-op",
            rank=Rank.URGENT,
            share=1.0,
            started_at=self.now,
            deadline_s=deadline_s,
            **options,
        )

    def sent_count(self, sql: str) -> int:
        return sum(1 for _, sent in self.sent if sent == sql)


class ScriptedConnection:
    def __init__(self, harness: GroupHarness, name: str) -> None:
        self.harness = harness
        self.name = name
        self.opened_at = harness.now
        self.verified_term = harness.monitor.proof.term if harness.monitor.proof else 0
        self.usable = True
        self.in_transaction = False

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        if list(steps) == [STATUS_STEP]:
            await asyncio.Event().wait()
        statements = [step.sql for step in steps]
        self.harness.sent += [(self.name, sql) for sql in statements]
        try:
            return await self.harness.script(self.name, statements)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        self.usable = False


@asynccontextmanager
async def group_harness(*, promotion: str = "majority", script: Script | None = None):
    harness = GroupHarness(promotion, script)
    try:
        yield harness
    finally:
        await harness.group.close()


async def run_ready_tasks() -> None:
    """Yield to the event loop often enough for the tasks that are ready to run."""
    for _ in range(10):
        await asyncio.sleep(0)
