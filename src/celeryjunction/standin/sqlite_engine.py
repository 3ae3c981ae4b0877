"""Storage of one endpoint: a log of transactions and two SQLite databases.

The `committed` database contains the effect of all applied log entries and serves
reads. The `working` database contains the open write transaction, of which there is at
most one, on top of the applied entries. A commit appends the transaction's statements
to the log and runs them again on `committed`; a replica runs them from its copy of the
log.
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

_MAX_CACHED_PLANS = 4096
_MAX_ENTRIES_TO_APPLY = 100
"""If `working` is more log entries behind, it is copied from `committed` instead."""
_FIRST_XID = 1000
_SQLSTATES = (
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
    """A committed transaction.

    `now` is the value of ``now()`` in the transaction, so that it is the same on all
    endpoints. `committed_at` is in the event loop's time.
    """

    term: int
    position: int
    xid: int
    now: str
    committed_at: float
    statements: list[tuple[Plan, tuple[Any, ...]]]


@dataclass(slots=True)
class WriteTransaction:
    """The open write transaction.

    `savepoints` holds each name with the number of statements before the savepoint.
    """

    xid: int
    now: str
    statements: list[tuple[Plan, tuple[Any, ...]]] = field(default_factory=list)
    savepoints: list[tuple[str, int]] = field(default_factory=list)


def _to_decimal(value: Any) -> Decimal:
    return Decimal(str(value))


def _make_numeric_function(operation: str) -> Any:
    method = {"div": "__truediv__"}.get(operation, f"__{operation}__")

    def compute(left: Any, right: Any) -> str | None:
        if left is None or right is None:
            return None
        if operation in ("div", "mod") and not _to_decimal(right):
            raise ZeroDivisionError
        return format(getattr(_to_decimal(left), method)(_to_decimal(right)), "f")

    return compute


class _NumericSum:
    """Aggregate ``sum`` over numeric, without floating-point rounding."""

    def __init__(self) -> None:
        self.total = Decimal(0)
        self.count = 0

    def step(self, value: Any) -> None:
        if value is not None:
            self.total += _to_decimal(value)
            self.count += 1

    def finalize(self) -> str | None:
        return format(self.total, "f") if self.count else None


class _NumericAverage(_NumericSum):
    """Aggregate ``avg`` over integers and numeric."""

    def finalize(self) -> str | None:
        return format(self.total / self.count, "f") if self.count else None


class _Database:
    """A SQLite database with the functions that rewritten statements call.

    `now` and `xid` are the values of ``now()`` and ``pg_current_xact_id()``.
    """

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
            db.create_function(
                f"cj_{name}", 2, _make_numeric_function(name), deterministic=True
            )
        # asyncpg reads and sets `jit` around its type introspection queries.
        db.create_function("current_setting", 1, lambda name: "off")
        db.create_function("set_config", 3, lambda name, value, local: value)
        db.create_aggregate("cj_sum", 1, _NumericSum)
        db.create_aggregate("cj_avg", 1, _NumericAverage)

    def execute(
        self, sql: str, params: Sequence[Any] = ()
    ) -> tuple[list[tuple[Any, ...]], int]:
        """Run a statement; returns its rows and the number of affected rows."""
        before = self._db.total_changes
        try:
            cursor = self._db.execute(sql, params)
            rows = cursor.fetchall()
        except (sqlite3.Error, OverflowError) as error:
            raise _to_pg_error(error) from error
        if cursor.description is not None:
            return rows, len(rows)
        changed = cursor.rowcount
        return rows, changed if changed >= 0 else self._db.total_changes - before

    def apply(self, entry: LogEntry) -> None:
        """Run the statements of a log entry in one transaction."""
        self.now, self.xid = entry.now, entry.xid
        self.execute("BEGIN")
        for plan, params in entry.statements:
            self.execute(plan.sqlite, params)
        self.execute("COMMIT")

    def copy_from(self, other: _Database) -> None:
        other._db.backup(self._db)

    def table_columns(self, name: str) -> TableColumns:
        rows = self._db.execute("SELECT name, type FROM pragma_table_info(?)", (name,))
        return {column: oid_of_storage(declared) for column, declared in rows}

    def close(self) -> None:
        self._db.close()


def _compare_numeric(left: str, right: str) -> int:
    a, b = Decimal(left), Decimal(right)
    return (a > b) - (a < b)


def _to_pg_error(error: Exception) -> PgError:
    text = str(error)
    for fragment, sqlstate in _SQLSTATES:
        if fragment in text:
            return PgError(sqlstate, text)
    if isinstance(error, OverflowError):
        return PgError("22003", "value out of range")
    # SQLite reports any exception in a Python function in this way; the expected one
    # is the ZeroDivisionError of `_make_numeric_function`.
    return PgError("22012" if "user-defined function" in text else "XX000", text)


class Engine:
    """Log and data of one endpoint.

    `xids` maps transaction ids to ``in progress``, ``committed`` or ``aborted``, as
    ``pg_xact_status`` reports them. A replica continues with the ids of its own log, so
    that after a promotion an id can denote another transaction than on the former
    primary.
    """

    def __init__(self, schema: Sequence[str]) -> None:
        self.log: list[LogEntry] = []
        self.applied = 0
        self.xids: dict[int, str] = {}
        self._next_xid = _FIRST_XID
        self._committed = _Database(self.xids)
        self._working = _Database(self.xids)
        self._working_position = 0
        self._plans: dict[tuple[str, tuple[int | None, ...]], Plan] = {}
        self._tables: dict[str, TableColumns] = {}
        for statement in (part for text in schema for part in split_statements(text)):
            plan = self.plan(statement, ())
            for database in (self._committed, self._working):
                database.execute(plan.sqlite)
            self._clear_plan_cache()

    def plan(self, sql: str, declared: Sequence[int | None]) -> Plan:
        """Return the analysis of a statement, cached by text and declared types."""
        key = (sql, tuple(declared))
        plan = self._plans.get(key)
        if plan is None:
            plan = make_plan(sql, declared, self._columns_of)
            if len(self._plans) >= _MAX_CACHED_PLANS:
                self._plans.clear()
            self._plans[key] = plan
        return plan

    def _columns_of(self, table: str) -> TableColumns | None:
        columns = self._tables.get(table)
        if columns is None:
            columns = self._committed.table_columns(
                table
            ) or self._working.table_columns(table)
            self._tables[table] = columns
        return columns or None

    def _clear_plan_cache(self) -> None:
        self._plans.clear()
        self._tables.clear()

    def assign_xid(self) -> int:
        """Return a new transaction id, with the status ``in progress``."""
        xid = self._next_xid
        self._next_xid += 1
        self.xids[xid] = "in progress"
        return xid

    def read(
        self, plan: Plan, params: Sequence[Any], *, now: str, xid: int
    ) -> list[tuple[Any, ...]]:
        """Run a read on the committed data of this endpoint."""
        self._committed.now, self._committed.xid = now, xid
        return self._committed.execute(plan.sqlite, params)[0]

    def begin(self, xid: int, now: str, savepoints: Sequence[str]) -> WriteTransaction:
        """Open the write transaction on top of all applied entries."""
        if self.applied - self._working_position > _MAX_ENTRIES_TO_APPLY:
            self._working.copy_from(self._committed)
        else:
            for entry in self.log[self._working_position : self.applied]:
                self._working.apply(entry)
        self._working_position = self.applied
        self._working.execute("BEGIN")
        write = WriteTransaction(xid, now)
        for name in savepoints:
            self.savepoint(write, name)
        return write

    def run(
        self, write: WriteTransaction, plan: Plan, params: tuple[Any, ...], *, log: bool
    ) -> tuple[list[tuple[Any, ...]], int]:
        """Run a statement in the write transaction.

        `log` is True for statements that belong to the log entry, False for reads.
        """
        self._working.now, self._working.xid = write.now, write.xid
        result = self._working.execute(plan.sqlite, params)
        if log:
            write.statements.append((plan, params))
        if plan.is_ddl:
            self._clear_plan_cache()
        return result

    def savepoint(self, write: WriteTransaction, name: str) -> None:
        """Set a savepoint in the write transaction."""
        self._working.execute(f"SAVEPOINT {name}")
        write.savepoints.append((name, len(write.statements)))

    def release(self, write: WriteTransaction, name: str) -> None:
        """Release a savepoint and those after it."""
        self._working.execute(f"RELEASE {name}")
        del write.savepoints[_savepoint_index(write, name) :]

    def rollback_to(self, write: WriteTransaction, name: str) -> None:
        """Roll back to a savepoint and drop later statements from the log entry."""
        self._working.execute(f"ROLLBACK TO {name}")
        index = _savepoint_index(write, name)
        del write.statements[write.savepoints[index][1] :]
        del write.savepoints[index + 1 :]

    def commit(self, write: WriteTransaction, *, term: int, at: float) -> bool:
        """Commit the write transaction; returns whether a log entry was written."""
        self._working.execute("COMMIT")
        self.xids[write.xid] = "committed"
        if not write.statements:
            return False
        position = len(self.log) + 1
        self.log.append(
            LogEntry(term, position, write.xid, write.now, at, write.statements)
        )
        self._working_position = position
        self.apply_next()
        return True

    def rollback(self, write: WriteTransaction) -> None:
        """Roll back the write transaction."""
        self._working.execute("ROLLBACK")
        self.xids[write.xid] = "aborted"
        if any(plan.is_ddl for plan, _ in write.statements):
            self._clear_plan_cache()

    def apply_next(self) -> None:
        """Apply the next received log entry to the committed data."""
        entry = self.log[self.applied]
        self._committed.apply(entry)
        self.applied += 1
        self._record_committed_xid(entry)
        if any(plan.is_ddl for plan, _ in entry.statements):
            self._clear_plan_cache()

    def _record_committed_xid(self, entry: LogEntry) -> None:
        self.xids[entry.xid] = "committed"
        self._next_xid = max(self._next_xid, entry.xid + 1)

    @property
    def last_term(self) -> int:
        """Term of the last received entry; 0 for an empty log."""
        return self.log[-1].term if self.log else 0

    def common_prefix(self, other: Engine) -> int:
        """Return the number of leading entries that both logs have in common."""
        length = min(len(self.log), len(other.log))
        while length and self.log[length - 1].term != other.log[length - 1].term:
            length -= 1
        return length

    def rewind(self, primary: Engine) -> None:
        """Drop the log entries that the primary does not have.

        If a dropped entry was applied already, the primary's committed data and its
        applied log are copied, because SQLite cannot undo a committed transaction.
        """
        prefix = self.common_prefix(primary)
        del self.log[prefix:]
        if prefix >= self.applied:
            return
        self.log[:] = primary.log[: primary.applied]
        self.applied = len(self.log)
        self._working_position = self.applied
        self._committed.copy_from(primary._committed)
        self._working.copy_from(primary._committed)
        self.xids.clear()
        for entry in self.log:
            self._record_committed_xid(entry)
        self._next_xid = self.log[-1].xid + 1 if self.log else _FIRST_XID
        self._clear_plan_cache()

    def close(self) -> None:
        """Close the databases."""
        self._committed.close()
        self._working.close()


def _savepoint_index(write: WriteTransaction, name: str) -> int:
    """Return the index of the latest savepoint of a name."""
    names = [savepoint for savepoint, _ in write.savepoints]
    return len(names) - 1 - names[::-1].index(name)
