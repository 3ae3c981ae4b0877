"""Analysis of statements: their kind, their types and their SQLite text."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto

from pg_mimic import PgError, ResultColumn
from pg_mimic.arrays import ELEMENT_OID
from pg_mimic.types import (
    BOOL,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT8,
    NUMERIC,
    TEXT,
    TIMESTAMP,
    TIMESTAMPTZ,
)
from sqlglot import exp, parse
from sqlglot.errors import SqlglotError

from celeryjunction.standin._inference import (
    Scope,
    TableColumns,
    expected_type,
    output_columns,
    result_type,
    series_column,
)
from celeryjunction.standin._types import (
    INTEGER_VALUE_BITS,
    VOID,
    oid_of,
    storage_type,
    to_storage,
)

STATUS_TABLE = "celeryjunction_status"
_FRACTIONAL_TYPES = (NUMERIC, FLOAT4, FLOAT8)
_TOKENS = re.compile(
    r"""('(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|\$(\w*)\$.*?\$\2\$)"""
    r"""|\$(\d+)|(;)""",
    re.DOTALL,
)
_CONTROL_STATEMENT = re.compile(
    r"\s*(BEGIN|START\s+TRANSACTION|COMMIT|END|ROLLBACK\s+(?:WORK\s+|TRANSACTION\s+)?TO"
    r"|ROLLBACK|ABORT|SAVEPOINT|RELEASE|SET|RESET|SHOW|DISCARD|DEALLOCATE|CLOSE"
    r"|UNLISTEN)\b\s*([^;]*?)\s*;?\s*$",
    re.IGNORECASE | re.DOTALL,
)


class PlanKind(Enum):
    """What a statement does."""

    EMPTY = auto()
    BEGIN = auto()
    COMMIT = auto()
    ROLLBACK = auto()
    SAVEPOINT = auto()
    ROLLBACK_TO = auto()
    RELEASE = auto()
    SET = auto()
    SHOW = auto()
    UTILITY = auto()
    STATUS = auto()
    READ = auto()
    WRITE = auto()


_CONTROL_KINDS = {
    "BEGIN": PlanKind.BEGIN,
    "START": PlanKind.BEGIN,
    "COMMIT": PlanKind.COMMIT,
    "END": PlanKind.COMMIT,
    "ROLLBACK": PlanKind.ROLLBACK,
    "ABORT": PlanKind.ROLLBACK,
    "SAVEPOINT": PlanKind.SAVEPOINT,
    "RELEASE": PlanKind.RELEASE,
    "SET": PlanKind.SET,
    "SHOW": PlanKind.SHOW,
}


@dataclass(slots=True)
class Plan:
    """The analysis of a statement text.

    `tag` is the command tag without a row count, `argument` the rest of a control
    statement and `sqlite` the text for SQLite. Parameters arrive with the types
    `wire_oids` and are stored with the types `storage_oids`. `takes_lock` marks SELECT
    FOR UPDATE and similar. `sleep` is the duration of a ``pg_sleep`` in seconds, or the
    placeholder of the parameter with the duration. `needs_slot` is False for reads that
    run without a slot of the endpoint.
    """

    sql: str
    kind: PlanKind
    tag: str
    argument: str = ""
    sqlite: str = ""
    wire_oids: list[int] = field(default_factory=list)
    storage_oids: list[int] = field(default_factory=list)
    columns: list[ResultColumn] | None = None
    needs_slot: bool = True
    takes_lock: bool = False
    assigns_xid: bool = False
    is_ddl: bool = False
    sleep: float | exp.Placeholder | None = None


def split_statements(sql: str) -> list[str]:
    """Split a simple query at semicolons outside quotes and comments."""
    separators = [match.start() for match in _TOKENS.finditer(sql) if match.group(4)]
    starts = [0, *(separator + 1 for separator in separators)]
    parts = [sql[a:b] for a, b in zip(starts, [*separators, len(sql)], strict=True)]
    return [part for part in parts if part.strip()] or [""]


def make_plan(
    sql: str,
    declared: Sequence[int | None],
    columns_of: Callable[[str], TableColumns | None],
) -> Plan:
    """Analyse a statement.

    `declared` holds the parameter types that the client declared, `columns_of` returns
    the columns of a table. Raises `PgError` for statements that are invalid or not
    supported by the stand-in.
    """
    control = _CONTROL_STATEMENT.match(sql)
    if control is not None:
        return _control_plan(sql, control)
    statement = _parse(sql)
    if statement is None:
        return Plan(sql, PlanKind.EMPTY, "")
    return _Analysis(sql, statement, declared, columns_of).plan()


def _control_plan(sql: str, match: re.Match[str]) -> Plan:
    words = match.group(1).upper().split()
    argument = match.group(2)
    if words[0] == "ROLLBACK" and words[-1] == "TO":
        name = re.sub(r"(?i)^savepoint\s+", "", argument)
        return Plan(sql, PlanKind.ROLLBACK_TO, "ROLLBACK", name)
    kind = _CONTROL_KINDS.get(words[0], PlanKind.UTILITY)
    tag = {
        PlanKind.BEGIN: "BEGIN",
        PlanKind.COMMIT: "COMMIT",
        PlanKind.ROLLBACK: "ROLLBACK",
    }
    plan = Plan(sql, kind, tag.get(kind, words[0]), argument)
    if kind is PlanKind.RELEASE:
        plan.argument = re.sub(r"(?i)^savepoint\s+", "", argument)
    if kind is PlanKind.SHOW:
        plan.columns = [ResultColumn(argument.strip('"').lower(), TEXT)]
    return plan


def _parse(sql: str) -> exp.Expression | None:
    """Parse one statement.

    Parameters are renamed to ``:pN`` first, because sqlglot's tokenizer treats ``$1,$``
    without a space as the start of a dollar-quoted string.
    """

    def rename_parameter(match: re.Match[str]) -> str:
        return f" :p{match.group(3)} " if match.group(3) else match.group(0)

    try:
        statements = [
            s for s in parse(_TOKENS.sub(rename_parameter, sql), "postgres") if s
        ]
    except SqlglotError as error:
        reason = str(error).splitlines()[0]
        raise PgError("42601", f"syntax error: {reason}") from error
    if len(statements) > 1:
        raise PgError("42601", "cannot insert multiple commands into one statement")
    return statements[0] if statements else None


class _Analysis:
    """The steps of one analysis; modifies the statement's syntax tree in place."""

    def __init__(
        self,
        sql: str,
        statement: exp.Expression,
        declared: Sequence[int | None],
        columns_of: Callable[[str], TableColumns | None],
    ) -> None:
        self._tree = statement
        self._plan = Plan(sql, PlanKind.READ, _command_tag(statement))
        self._plan.is_ddl = isinstance(statement, exp.Create | exp.Drop | exp.Alter)
        if not (self._plan.is_ddl or isinstance(statement, exp.TruncateTable)):
            self._check_supported()
            if self._is_status_query():
                columns_of = {STATUS_TABLE: STATUS_COLUMNS}.get
        self._scope = Scope(
            exp.Select() if self._plan.is_ddl else statement, columns_of
        )
        self._declared = declared

    def plan(self) -> Plan:
        plan = self._plan
        if isinstance(self._tree, exp.DML | exp.TruncateTable) or plan.is_ddl:
            plan.kind = PlanKind.WRITE
        self._infer_parameters()
        plan.columns = self._result_columns()
        if self._is_status_query():
            plan.kind = PlanKind.STATUS
            plan.needs_slot = False
            return plan
        self._find_special_functions()
        self._rewrite()
        plan.sqlite = self._tree.sql("sqlite")
        return plan

    def _check_supported(self) -> None:
        tree = self._tree
        if not isinstance(tree, exp.Query | exp.Values | exp.DML):
            raise PgError("0A000", f"{self._plan.tag} is not supported by the stand-in")
        if any(isinstance(cte.this, exp.DML) for cte in tree.find_all(exp.CTE)):
            raise PgError("0A000", "data-modifying WITH is not supported")
        if isinstance(tree, exp.DML) and tree.find(exp.Rand):
            raise PgError("0A000", "random() in a write cannot be replicated")

    def _is_status_query(self) -> bool:
        source = self._tree.args.get("from_")
        return source is not None and source.this.name == STATUS_TABLE

    def _infer_parameters(self) -> None:
        declared = dict(enumerate((oid or None for oid in self._declared), 1))
        self._scope.parameters.update({n: o for n, o in declared.items() if o})
        stored: dict[int, int] = {}
        for node in self._tree.find_all(exp.Placeholder):
            number = int(node.name[1:])
            expected = expected_type(node, self._scope)
            if (
                expected in INTEGER_VALUE_BITS
                and declared.get(number) in _FRACTIONAL_TYPES
            ):
                expected = declared[number]
            stored[number] = stored.get(number) or expected or 0
            if expected is not None:
                self._scope.parameters.setdefault(number, expected)
        count = max([*stored, *declared], default=0)
        parameter_types = self._scope.parameters
        numbers = range(1, count + 1)
        self._plan.wire_oids = [parameter_types.get(n) or TEXT for n in numbers]
        self._plan.storage_oids = [
            stored.get(n) or parameter_types.get(n) or TEXT for n in numbers
        ]

    def _result_columns(self) -> list[ResultColumn] | None:
        tree: exp.Expression | None = self._tree
        if self._plan.kind is PlanKind.WRITE:
            tree = tree.args.get("returning") if isinstance(tree, exp.DML) else None
        if tree is None:
            return None
        return [
            ResultColumn(name, oid) for name, oid in output_columns(tree, self._scope)
        ]

    def _find_special_functions(self) -> None:
        plan = self._plan
        for node in list(self._tree.find_all(exp.Anonymous)):
            name = node.name.lower()
            if name == "pg_current_xact_id":
                plan.assigns_xid = True
            if name == "pg_sleep":
                argument = node.expressions[0]
                is_parameter = isinstance(argument, exp.Placeholder)
                plan.sleep = argument if is_parameter else float(argument.name)
            if name in ("pg_sleep", "pg_advisory_unlock_all"):
                node.replace(exp.Literal.string(""))
            elif name in ("pg_current_xact_id", "pg_xact_status"):
                plan.needs_slot = self._tree.args.get("from_") is not None
        plan.takes_lock = any(self._tree.find_all(exp.Lock))

    def _rewrite(self) -> None:
        """Rewrite the tree for SQLite; types are inferred before any modification."""
        scope = self._scope
        tree = self._tree
        rewrites: list[tuple[exp.Expression, Callable[..., exp.Expression], int]] = []
        for node in [] if self._plan.is_ddl else tree.walk():
            rewrite = _TYPED_REWRITES.get(type(node))
            if rewrite is not None:
                inner = node.this if type(node) in (exp.Sum, exp.Avg) else node
                rewrites.append((node, rewrite, result_type(inner, scope) or 0))
        self._rewrite_literals()
        if isinstance(tree, exp.Insert) and isinstance(tree.this, exp.Table):
            self._add_column_names(tree)
        for node in list(tree.find_all(exp.Lock)):
            node.parent.set("locks", None)
        for node, rewrite, oid in reversed(rewrites):
            if node is not tree:
                node.replace(rewrite(node, oid))
        for node in list(tree.find_all(exp.Any)):
            node.parent.replace(_rewrite_any(node))
        for node in list(tree.find_all(*_UNTYPED_REWRITES)):
            node.replace(_UNTYPED_REWRITES[type(node)](node))
        for key in tree.find_all(exp.Ordered):
            if not isinstance(key.parent, exp.Order):
                # SQLite does not accept NULLS FIRST or LAST in index and conflict keys.
                key.set("nulls_first", not key.args.get("desc"))
        if isinstance(tree, exp.TruncateTable):
            self._tree = exp.Delete(this=tree.expressions[0])
        elif self._plan.is_ddl:
            _rewrite_ddl(tree)

    def _add_column_names(self, insert: exp.Insert) -> None:
        """Add the names of the first columns, as many as there are values.

        Without column names SQLite rejects fewer values than columns.
        """
        if not isinstance(insert.expression, exp.Query | exp.Values):
            return
        count = len(output_columns(insert.expression, self._scope))
        names = [exp.to_identifier(name) for name in self._scope.target_columns][:count]
        insert.set("this", exp.Schema(this=insert.this.copy(), expressions=names))

    def _rewrite_literals(self) -> None:
        for node in list(self._tree.find_all(exp.Literal)):
            in_default = isinstance(node.parent, exp.DefaultColumnConstraint)
            if self._plan.is_ddl and not in_default:
                continue
            expected = expected_type(node, self._scope)
            if expected is None or not (node.is_string or expected == NUMERIC):
                continue
            stored = to_storage(expected, node.this)
            is_text = isinstance(stored, str)
            make_literal = exp.Literal.string if is_text else exp.Literal.number
            if not isinstance(stored, bytes):
                node.replace(make_literal(stored))


STATUS_COLUMNS: TableColumns = {
    "term": INT8,
    "role": TEXT,
    "received": INT8,
    "applied": INT8,
    "leaving": BOOL,
    "term_start": INT8,
}


def _command_tag(statement: exp.Expression) -> str:
    if isinstance(statement, exp.Query | exp.Values):
        return "SELECT"
    if isinstance(statement, exp.Create | exp.Drop | exp.Alter):
        return f"{statement.key.upper()} {statement.args.get('kind') or 'TABLE'}"
    if isinstance(statement, exp.TruncateTable):
        return "TRUNCATE TABLE"
    if isinstance(statement, exp.Command):
        return str(statement.this).upper()
    return statement.key.upper()


def _make_call(name: str, *arguments: exp.Expression) -> exp.Anonymous:
    return exp.Anonymous(this=name, expressions=list(arguments))


def _rewrite_arithmetic(node: exp.Binary, oid: int) -> exp.Expression:
    if oid != NUMERIC:
        return node.copy()
    call = _make_call(f"cj_{node.key}", node.left.copy(), node.right.copy())
    return exp.Paren(this=exp.Collate(this=call, expression=exp.Var(this="cj_numeric")))


def _rewrite_negation(node: exp.Neg, oid: int) -> exp.Expression:
    if oid != NUMERIC or isinstance(node.this, exp.Literal):
        return node.copy()
    return _make_call("cj_sub", exp.Literal.number(0), node.this.copy())


def _rewrite_sum(node: exp.Sum, oid: int) -> exp.Expression:
    return _make_call("cj_sum", node.this.copy()) if oid == NUMERIC else node.copy()


def _rewrite_avg(node: exp.Avg, oid: int) -> exp.Expression:
    is_float = oid in (FLOAT4, FLOAT8)
    return node.copy() if is_float else _make_call("cj_avg", node.this.copy())


def _rewrite_cast(node: exp.Cast, oid: int) -> exp.Expression:
    """Keep casts that change the stored value; drop casts that only set the type."""
    inner = node.this.copy()
    if isinstance(node.this, exp.Placeholder | exp.Null):
        return inner
    if oid in INTEGER_VALUE_BITS:
        return exp.Cast(this=inner, to=exp.DataType.build("BIGINT"))
    if oid in (FLOAT4, FLOAT8):
        return exp.Cast(this=inner, to=exp.DataType.build("DOUBLE"))
    if oid == DATE:
        return _make_call(
            "substr", inner, exp.Literal.number(1), exp.Literal.number(10)
        )
    if oid in (BOOL, BYTEA, VOID, TIMESTAMP, TIMESTAMPTZ) or oid in ELEMENT_OID:
        return inner
    return exp.Cast(this=inner, to=exp.DataType.build("TEXT"))


_TYPED_REWRITES: dict[type, Callable[..., exp.Expression]] = {
    exp.Add: _rewrite_arithmetic,
    exp.Sub: _rewrite_arithmetic,
    exp.Mul: _rewrite_arithmetic,
    exp.Div: _rewrite_arithmetic,
    exp.Mod: _rewrite_arithmetic,
    exp.Neg: _rewrite_negation,
    exp.Sum: _rewrite_sum,
    exp.Avg: _rewrite_avg,
    exp.Cast: _rewrite_cast,
}


def _rewrite_now(node: exp.Expression) -> exp.Expression:
    call = _make_call("cj_now")
    in_default = isinstance(node.parent, exp.DefaultColumnConstraint)
    return exp.Paren(this=call) if in_default else call


def _rewrite_current_date(node: exp.Expression) -> exp.Expression:
    return _make_call(
        "substr", _rewrite_now(node), exp.Literal.number(1), exp.Literal.number(10)
    )


def _rewrite_series(node: exp.ExplodingGenerateSeries) -> exp.Expression:
    call = _make_call("cj_series", node.args["start"].copy(), node.args["end"].copy())
    source = _make_call("json_each", call)
    query = exp.select("value").from_(exp.Table(this=source))
    table = node.parent
    if not isinstance(table, exp.Table):
        if len(table.expressions) != 1 or table.args.get("from_"):
            raise PgError("0A000", "generate_series is supported on its own only")
        table.set("from_", exp.From(this=exp.Table(this=source)))
        return exp.column("value")
    query = exp.select(exp.alias_(exp.column("value"), series_column(table)))
    alias = exp.TableAlias(this=exp.to_identifier(table.alias or "generate_series"))
    table.set("alias", alias)
    return exp.Subquery(this=query.from_(exp.Table(this=source)))


def _rewrite_any(node: exp.Any) -> exp.Expression:
    comparison = node.parent
    if not isinstance(comparison, exp.EQ) or comparison.right is not node:
        raise PgError("0A000", "ANY is supported after = only")
    values = _make_call("json_each", node.this.unnest().copy())
    query = exp.select("value").from_(exp.Table(this=values))
    return exp.In(this=comparison.left.copy(), query=exp.Subquery(this=query))


def _rewrite_array(node: exp.Array) -> exp.Expression:
    return _make_call("json_array", *(item.copy() for item in node.expressions))


_UNTYPED_REWRITES: dict[type, Callable[..., exp.Expression]] = {
    exp.ExplodingGenerateSeries: _rewrite_series,
    exp.Array: _rewrite_array,
    exp.CurrentTimestamp: _rewrite_now,
    exp.Localtimestamp: _rewrite_now,
    exp.CurrentDate: _rewrite_current_date,
    exp.Placeholder: lambda node: exp.Var(this=f"?{node.name[1:]}"),
}


def _rewrite_ddl(tree: exp.Expression) -> None:
    for column in tree.find_all(exp.ColumnDef):
        _rewrite_column(column)
    for key in tree.find_all(exp.PrimaryKey):
        names = {part.name for part in key.expressions}
        for column in tree.find_all(exp.ColumnDef):
            if column.name in names:
                _add_not_null(column)


def _rewrite_column(column: exp.ColumnDef) -> None:
    kind = column.args["kind"]
    kinds = [constraint.args["kind"] for constraint in column.constraints]
    identity = [
        c for c in kinds if isinstance(c, exp.GeneratedAsIdentityColumnConstraint)
    ]
    serial = kind.this in (exp.DataType.Type.SERIAL, exp.DataType.Type.BIGSERIAL)
    for constraint in identity:
        constraint.parent.pop()
    if serial or identity:
        # SQLite assigns keys only if the declared type is exactly INTEGER.
        column.set("kind", exp.Var(this="INTEGER"))
        return
    column.set("kind", exp.Var(this=storage_type(oid_of(kind))))
    if any(isinstance(c, exp.PrimaryKeyColumnConstraint) for c in kinds):
        _add_not_null(column)


def _add_not_null(column: exp.ColumnDef) -> None:
    constraint = exp.ColumnConstraint(kind=exp.NotNullColumnConstraint())
    column.append("constraints", constraint)
