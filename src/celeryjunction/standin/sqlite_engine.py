"""The data of one endpoint: a log of transactions over two SQLite databases.

`committed` has the effect of every applied log entry and serves reads. `working` has
the open write transaction, of which there is at most one, on top of the same
entries. A commit appends the transaction's statements to the log and runs them again
on `committed`; a replica runs them from its copy of the log.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

from pg_mimic import PgError

from celeryjunction.standin._inference import TableColumns
from celeryjunction.standin._plan import Plan, make_plan, split_statements
from celeryjunction.standin._types import oid_of_storage

_PLANS_KEPT = 4096
_COPY_PAST = 100
"""Entries behind past which `working` is copied rather than brought up to date."""
_ERRORS = (
    ("UNIQUE constraint", "23505"),
    ("NOT NULL constraint", "23502"),
    ("CHECK constraint", "23514"),
    ("FOREIGN KEY constraint", "23503"),
    ("no such table", "42P01"),
    ("no such column", "42703"),
    ("has no column named", "42703"),
    ("no such function", "42883"),
    ("no such savepoint", "3B001"),
    ("already exists", "42P07"),
    ("syntax error", "42601"),
)


@dataclass(slots=True)
class LogEntry:
    """One committed transaction; `committed_at` is the event loop's time."""

    term: int
    position: int
    xid: int
    now: str
    committed_at: float
    statements: list[tuple[Plan, tuple[Any, ...]]]


@dataclass(slots=True)
class WriteTransaction:
    """The open write transaction; savepoints hold their number of statements."""

    xid: int
    now: str
    statements: list[tuple[Plan, tuple[Any, ...]]] = field(default_factory=list)
    savepoints: list[tuple[str, int]] = field(default_factory=list)


def _decimal(value: Any) -> Decimal:
    return Decimal(str(value))


def _numeric(operation: str) -> Any:
    method = {"div": "__truediv__"}.get(operation, f"__{operation}__")

    def compute(left: Any, right: Any) -> str | None:
        if left is None or right is None:
            return None
        if operation in ("div", "mod") and not _decimal(right):
            raise ZeroDivisionError
        return format(getattr(_decimal(left), method)(_decimal(right)), "f")

    return compute


class _Sum:
    """Aggregate ``sum`` over numeric, without the rounding of floats."""

    def __init__(self) -> None:
        self.total = Decimal(0)
        self.count = 0

    def step(self, value: Any) -> None:
        if value is not None:
            self.total += _decimal(value)
            self.count += 1

    def finalize(self) -> str | None:
        return format(self.total, "f") if self.count else None


class _Average(_Sum):
    """Aggregate ``avg`` over integers and numeric."""

    def finalize(self) -> str | None:
        return format(self.total / self.count, "f") if self.count else None


class _Database:
    """One SQLite database with the functions that the rewritten statements call."""

    def __init__(self, xids: dict[int, str]) -> None:
        self.now = ""
        self.xid = 0
        db = sqlite3.connect(":memory:", isolation_level=None, cached_statements=512)
        self._db = db
        db.execute("PRAGMA foreign_keys = ON")
        db.execute("PRAGMA case_sensitive_like = ON")
        db.create_collation("cj_numeric", _compare_numeric)
        db.create_function("cj_now", 0, lambda: self.now)
        db.create_function("pg_current_xact_id", 0, lambda: self.xid)
        db.create_function("pg_xact_status", 1, lambda x: xids.get(int(x)))
        db.create_function("cj_series", 2, lambda a, b: json.dumps([*range(a, b + 1)]))
        for name in ("add", "sub", "mul", "div", "mod"):
            db.create_function(f"cj_{name}", 2, _numeric(name), deterministic=True)
        # asyncpg reads and sets `jit` around its type queries.
        db.create_function("current_setting", 1, lambda name: "off")
        db.create_function("set_config", 3, lambda name, value, local: value)
        db.create_aggregate("cj_sum", 1, _Sum)
        db.create_aggregate("cj_avg", 1, _Average)

    def execute(
        self, sql: str, params: Sequence[Any] = ()
    ) -> tuple[list[tuple[Any, ...]], int]:
        """Run one statement and return its rows and the number of rows affected."""
        before = self._db.total_changes
        try:
            cursor = self._db.execute(sql, params)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise _translate(error) from error
        if cursor.description is not None:
            return rows, len(rows)
        changed = cursor.rowcount
        return rows, changed if changed >= 0 else self._db.total_changes - before

    def apply(self, entry: LogEntry) -> None:
        """Run a committed transaction again."""
        self.now, self.xid = entry.now, entry.xid
        self.execute("BEGIN")
        for plan, params in entry.statements:
            self.execute(plan.sqlite, params)
        self.execute("COMMIT")

    def copy_from(self, other: _Database) -> None:
        other._db.backup(self._db)

    def table(self, name: str) -> TableColumns:
        rows = self._db.execute("SELECT name, type FROM pragma_table_info(?)", (name,))
        return {column: oid_of_storage(declared) for column, declared in rows}

    def close(self) -> None:
        self._db.close()


def _compare_numeric(left: str, right: str) -> int:
    a, b = Decimal(left), Decimal(right)
    return (a > b) - (a < b)


def _translate(error: Exception) -> PgError:
    text = str(error)
    for words, sqlstate in _ERRORS:
        if words in text:
            return PgError(sqlstate, text)
    if isinstance(error, OverflowError):
        return PgError("22003", "value out of range")
    return PgError("22012" if "user-defined function" in text else "XX000", text)


class Engine:
    """Log and data of one endpoint.

    `xids` maps transaction ids to ``in progress``, ``committed`` or ``aborted``, as
    ``pg_xact_status`` reports them. A replica continues the ids of its log, so that
    after a promotion an id may name another transaction than it did before.
    """

    def __init__(self, schema: Sequence[str]) -> None:
        self.log: list[LogEntry] = []
        self.applied = 0
        self.xids: dict[int, str] = {}
        self._next_xid = 1000
        self._committed = _Database(self.xids)
        self._working = _Database(self.xids)
        self._working_at = 0
        self._plans: dict[tuple[str, tuple[int | None, ...]], Plan] = {}
        self._tables: dict[str, TableColumns] = {}
        for statement in (part for text in schema for part in split_statements(text)):
            plan = self.plan(statement, ())
            for database in (self._committed, self._working):
                database.execute(plan.sqlite)
            self._forget_plans()

    def plan(self, sql: str, declared: Sequence[int | None]) -> Plan:
        """Analyse a statement, from a cache when the text came before."""
        key = (sql, tuple(declared))
        plan = self._plans.get(key)
        if plan is None:
            plan = make_plan(sql, declared, self._columns_of)
            if len(self._plans) >= _PLANS_KEPT:
                self._plans.clear()
            self._plans[key] = plan
        return plan

    def _columns_of(self, table: str) -> TableColumns | None:
        columns = self._tables.get(table)
        if columns is None:
            columns = self._committed.table(table) or self._working.table(table)
            self._tables[table] = columns
        return columns or None

    def _forget_plans(self) -> None:
        self._plans.clear()
        self._tables.clear()

    def assign_xid(self) -> int:
        """Return a new transaction id, in progress."""
        xid = self._next_xid
        self._next_xid += 1
        self.xids[xid] = "in progress"
        return xid

    def read(
        self, plan: Plan, params: Sequence[Any], *, now: str, xid: int
    ) -> list[tuple[Any, ...]]:
        """Run a read on what is committed here."""
        self._committed.now, self._committed.xid = now, xid
        return self._committed.execute(plan.sqlite, params)[0]

    def begin(self, xid: int, now: str, savepoints: Sequence[str]) -> WriteTransaction:
        """Open the write transaction on top of all applied entries."""
        if self.applied - self._working_at > _COPY_PAST:
            self._working.copy_from(self._committed)
        else:
            for entry in self.log[self._working_at : self.applied]:
                self._working.apply(entry)
        self._working_at = self.applied
        self._working.execute("BEGIN")
        write = WriteTransaction(xid, now)
        for name in savepoints:
            self.savepoint(write, name)
        return write

    def run(
        self, write: WriteTransaction, plan: Plan, params: tuple[Any, ...], *, log: bool
    ) -> tuple[list[tuple[Any, ...]], int]:
        """Run a statement in the write transaction; `log` is False for reads."""
        self._working.now, self._working.xid = write.now, write.xid
        result = self._working.execute(plan.sqlite, params)
        if log:
            write.statements.append((plan, params))
        if plan.is_ddl:
            self._forget_plans()
        return result

    def savepoint(self, write: WriteTransaction, name: str) -> None:
        """Set a savepoint in the write transaction."""
        self._working.execute(f"SAVEPOINT {name}")
        write.savepoints.append((name, len(write.statements)))

    def release(self, write: WriteTransaction, name: str) -> None:
        """Forget a savepoint, and those after it."""
        self._working.execute(f"RELEASE {name}")
        del write.savepoints[_index(write, name) :]

    def rollback_to(self, write: WriteTransaction, name: str) -> None:
        """Undo the statements after a savepoint and drop them from the log entry."""
        self._working.execute(f"ROLLBACK TO {name}")
        index = _index(write, name)
        del write.statements[write.savepoints[index][1] :]
        del write.savepoints[index + 1 :]

    def commit(self, write: WriteTransaction, *, term: int, at: float) -> bool:
        """Commit; returns whether a log entry was written."""
        self._working.execute("COMMIT")
        self.xids[write.xid] = "committed"
        if not write.statements:
            return False
        position = len(self.log) + 1
        self.log.append(
            LogEntry(term, position, write.xid, write.now, at, write.statements)
        )
        self._working_at = position
        self.apply_next()
        return True

    def rollback(self, write: WriteTransaction) -> None:
        """Undo the write transaction."""
        self._working.execute("ROLLBACK")
        self.xids[write.xid] = "aborted"
        if any(plan.is_ddl for plan, _ in write.statements):
            self._forget_plans()

    def apply_next(self) -> None:
        """Apply the next received entry to what reads see."""
        entry = self.log[self.applied]
        self._committed.apply(entry)
        self.applied += 1
        self._note_xid(entry)
        if any(plan.is_ddl for plan, _ in entry.statements):
            self._forget_plans()

    def _note_xid(self, entry: LogEntry) -> None:
        self.xids[entry.xid] = "committed"
        self._next_xid = max(self._next_xid, entry.xid + 1)

    @property
    def last_term(self) -> int:
        """Term of the last received entry; 0 for an empty log."""
        return self.log[-1].term if self.log else 0

    def common_prefix(self, other: Engine) -> int:
        """Return the number of leading log entries that both logs share."""
        length = min(len(self.log), len(other.log))
        while length and self.log[length - 1].term != other.log[length - 1].term:
            length -= 1
        return length

    def rewind(self, leader: Engine) -> None:
        """Drop the entries that the leader does not have.

        When some were applied, the data is copied from the leader as it is there,
        and so is its log: SQLite cannot undo a committed transaction.
        """
        prefix = self.common_prefix(leader)
        del self.log[prefix:]
        if prefix >= self.applied:
            return
        self.log[:] = leader.log[: leader.applied]
        self.applied = len(self.log)
        self._working_at = self.applied
        self._committed.copy_from(leader._committed)
        self._working.copy_from(leader._committed)
        self.xids.clear()
        for entry in self.log:
            self._note_xid(entry)
        self._next_xid = self.log[-1].xid + 1 if self.log else 1000
        self._forget_plans()

    def close(self) -> None:
        """Free the databases."""
        self._committed.close()
        self._working.close()


def _index(write: WriteTransaction, name: str) -> int:
    """Return the index of the latest savepoint of a name."""
    names = [known for known, _ in write.savepoints]
    return len(names) - 1 - names[::-1].index(name)
