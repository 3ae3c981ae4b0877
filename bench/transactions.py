"""Clients that hold transactions open while sessions are ended from outside.

The clients run transactions of several statements with pauses, and some leave in the
middle of a statement. A transaction must be committed as a whole or not at all, and not
at all if an answer promised that nothing is kept or if COMMIT was never sent.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from bench.commit_judge import CommitJudge
from bench.platform_cluster import LineClient
from celeryjunction.platform.standin import StandinEndpoint

STATEMENTS = 12
"""Most writes of a transaction."""
LONG_PAUSE_S = 2.8
"""Longest pause inside a transaction; idle transactions are rolled back after 3 s."""
SHORT_PAUSE_S = 0.01
"""Longest of the other pauses. With two long ones, a transaction can be active when a
stopping edge aborts those that are idle."""
LEAVE_SHARE = 0.03
"""Share of the statements in the middle of which the client leaves."""
LEAVE_AFTER_S = 0.04
"""Longest time after which it does, about the pause of two retries."""
REPORTED = 5
"""Number of violations that are reported."""


class Transaction:
    """What a client knows of one transaction."""

    __slots__ = ("commit_sent", "committed", "failed", "items", "name", "refused")

    def __init__(self, name: str) -> None:
        self.name = name
        self.items: set[str] = set()
        """Items whose write was answered with success."""
        self.refused: set[str] = set()
        """Items whose write was promised to have had no effect."""
        self.failed = False
        """Whether an answer promised that nothing is kept."""
        self.commit_sent = False
        self.committed = False

    def describe(self, found: set[str]) -> str:
        """Return what is wrong with the items found in the log; empty if nothing is."""
        if found & self.refused:
            problem = "refused writes were committed"
        elif self.committed and found != self.items:
            problem = "was acknowledged and not committed as a whole"
        elif found and (self.failed or not self.commit_sent):
            problem = "was committed though nothing should be kept"
        elif found and found != self.items:
            problem = "was committed in part"
        else:
            return ""
        return f"transaction {self.name} {problem}: {sorted(found)} of {self.items}"


class TransactionClients:
    """Runs clients with `open_session`, which returns None if no edge accepts one."""

    def __init__(
        self,
        *,
        seed: int,
        judge: CommitJudge,
        counts: Counter[str],
        open_session: Callable[[int], Awaitable[LineClient | None]],
        close_session: Callable[[LineClient], None],
        execute: Callable[[LineClient, str], Awaitable[list[str]]],
        not_executed: tuple[str, ...],
    ) -> None:
        self._seed = seed
        self._judge = judge
        self._counts = counts
        self._open_session = open_session
        self._close_session = close_session
        self._execute = execute
        self._not_executed = not_executed
        self._transactions: list[Transaction] = []

    async def run(self, number: int, *, ended: Callable[[], bool]) -> None:
        """Run one transaction after another until `ended` returns True."""
        random = Random(f"{self._seed} transactions {number}")
        client: LineClient | None = None
        turn = number
        while not ended():
            if client is None:
                turn += 1
                client = await self._open_session(turn)
                continue
            name = f"t{number}.{len(self._transactions)}"
            transaction = Transaction(name)
            self._transactions.append(transaction)
            if not await self._run_transaction(client, transaction, random):
                self._close_session(client)
                client = None

    async def _run_transaction(
        self, client: LineClient, transaction: Transaction, random: Random
    ) -> bool:
        """Run a transaction; return False if the session has ended."""
        if (await self._execute(client, "BEGIN"))[0] != "COMPLETE -":
            return False
        statements = range(random.randint(2, STATEMENTS))
        long_pauses = random.sample(statements, 2)
        for index in statements:
            item = f"{transaction.name}.{index}"
            if random.random() < LEAVE_SHARE:
                await self._leave(client, f"WRITE {item} x", random)
                return False
            lines = await self._execute(client, f"WRITE {item} x")
            if lines == ["?"]:
                return False
            self._record_write(transaction, item, lines)
            if not lines[-1].startswith("READY T"):
                break
            pause_s = LONG_PAUSE_S if index in long_pauses else SHORT_PAUSE_S
            await asyncio.sleep(pause_s * random.random())
        return await self._end(client, transaction, random)

    def _record_write(
        self, transaction: Transaction, item: str, lines: list[str]
    ) -> None:
        if lines[0].startswith("COMPLETE"):
            transaction.items.add(item)
            return
        code = lines[0].split(" ")[1]
        self._counts[f"transaction {code}"] += 1
        if code not in self._not_executed:
            return
        transaction.refused.add(item)
        if not lines[-1].startswith("READY T"):
            transaction.failed = True

    async def _leave(self, client: LineClient, text: str, random: Random) -> None:
        """Close the connection in the middle of a statement."""
        self._counts["clients that left"] += 1
        statement = asyncio.create_task(self._execute(client, text))
        await asyncio.sleep(random.uniform(0.0, LEAVE_AFTER_S))
        client.close()
        await statement

    async def _end(
        self, client: LineClient, transaction: Transaction, random: Random
    ) -> bool:
        if random.random() < LEAVE_SHARE:
            return (await self._execute(client, "ROLLBACK")) != ["?"]
        transaction.commit_sent = True
        lines = await self._execute(client, "COMMIT")
        if lines == ["?"]:
            return False
        if lines[0].startswith("COMPLETE"):
            transaction.committed = True
            for item in transaction.items:
                self._judge.record(item, "x")
            self._counts["transactions committed"] += 1
        else:
            code = lines[0].split(" ")[1]
            self._counts[f"commit {code}"] += 1
            transaction.failed = transaction.failed or code in self._not_executed
        return True

    def violations(self, primary: StandinEndpoint) -> list[str]:
        """Return what the primary's log shows to be wrong."""
        found: dict[str, set[str]] = {}
        for _, changes in primary.log:
            for item in changes:
                name, _, _ = item.decode().rpartition(".")
                found.setdefault(name, set()).add(item.decode())
        texts = (t.describe(found.get(t.name, set())) for t in self._transactions)
        return [text for text in texts if text][:REPORTED]
