"""Type inference for SQL expressions, parameters and result columns.

The rules follow PostgreSQL where clients can see the difference. None stands for a type
that cannot be inferred from the expression itself: that of a parameter without a
declared type, a string literal or NULL.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from functools import singledispatch

from pg_mimic import ARRAY_OID, PgError
from pg_mimic.arrays import ELEMENT_OID
from pg_mimic.types import (
    BOOL,
    DATE,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    NUMERIC,
    TEXT,
    TIMESTAMP,
    TIMESTAMPTZ,
    UUID,
)
from sqlglot import exp

from celeryjunction.standin._types import VOID, oid_of

TableColumns = dict[str, int]
_NUMERIC_ORDER = (INT2, INT4, INT8, NUMERIC, FLOAT8)
"""Numeric types; arithmetic has the type of the operand that is last in this order."""
_FUNCTION_TYPES = {
    "pg_current_xact_id": INT8,
    "pg_xact_status": TEXT,
    "pg_sleep": VOID,
    "pg_advisory_unlock_all": VOID,
}
_ARGUMENT_TYPES = {"pg_sleep": FLOAT8, "pg_xact_status": INT8}
_ARITHMETIC = (exp.Add, exp.Sub, exp.Mul, exp.Div, exp.Mod)
_COMPARISON = (exp.EQ, exp.NEQ, exp.LT, exp.LTE, exp.GT, exp.GTE, exp.NullSafeEQ)


class Scope:
    """The tables of a statement by alias, and the parameter types known so far.

    `target_columns` are those of the table that the statement changes. Aliases are
    looked up in the whole statement without regard to nesting, so that an alias which
    subqueries use for different tables is not resolved correctly.
    """

    __slots__ = ("parameters", "sources", "target_columns")

    def __init__(
        self,
        statement: exp.Expression,
        columns_of: Callable[[str], TableColumns | None],
    ) -> None:
        self.sources: dict[str, TableColumns] = {}
        self.parameters: dict[int, int] = {}
        self.target_columns: TableColumns = {}
        derived = {cte.alias for cte in statement.find_all(exp.CTE)}
        for table in statement.find_all(exp.Table):
            if isinstance(table.this, exp.ExplodingGenerateSeries):
                self.sources[table.alias_or_name or "generate_series"] = {
                    series_column(table): INT4
                }
            elif table.name not in derived:
                self._add_table(table, columns_of(table.name))
        self._add_derived(statement)
        if isinstance(statement, exp.DML):
            self.target_columns = self.sources.get(
                target_table(statement).alias_or_name, {}
            )
            self.sources["excluded"] = self.target_columns

    def _add_table(self, table: exp.Table, columns: TableColumns | None) -> None:
        if columns is None:
            raise PgError("42P01", f'relation "{table.name}" does not exist')
        self.sources[table.alias_or_name] = columns

    def _add_derived(self, statement: exp.Expression) -> None:
        for cte in statement.find_all(exp.CTE):
            query = cte.this
            first = query.left if isinstance(query, exp.SetOperation) else query
            output = output_columns(first, self)
            names = [column.name for column in cte.args["alias"].columns]
            names = names or [name for name, _ in output]
            columns = dict(zip(names, (oid for _, oid in output), strict=False))
            for table in statement.find_all(exp.Table):
                if table.name == cte.alias:
                    self.sources[table.alias_or_name] = columns
        for query in reversed(list(statement.find_all(exp.Subquery))):
            if query.alias:
                self.sources[query.alias] = dict(output_columns(query.this, self))

    def column(self, node: exp.Column) -> int | None:
        """Return the type of a column.

        The type is None for a whole-row reference and for an output name in ORDER BY or
        GROUP BY. Raises `PgError` 42703 for an unknown column and 42P01 for an unknown
        table.
        """
        if node.table:
            columns = self.sources.get(node.table)
            if columns is None:
                raise PgError("42P01", f'missing FROM-clause entry for "{node.table}"')
            if node.name in columns:
                return columns[node.name]
        else:
            for alias, columns in self.sources.items():
                if alias != "excluded" and node.name in columns:
                    return columns[node.name]
            if node.name in self.sources or node.find_ancestor(exp.Order, exp.Group):
                return None
        raise PgError("42703", f'column "{node.name}" does not exist')


def target_table(statement: exp.Expression) -> exp.Table:
    """Return the table that an INSERT, UPDATE or DELETE changes."""
    target = statement.this
    return target.this if isinstance(target, exp.Schema) else target


def series_column(table: exp.Table) -> str:
    """Return the name of the column of a generate_series table."""
    alias = table.args.get("alias")
    if alias is not None and alias.columns:
        return alias.columns[0].name
    return table.alias or "generate_series"


def _first_known_type(
    nodes: Iterable[exp.Expression | None], scope: Scope
) -> int | None:
    types = (result_type(node, scope) for node in nodes if node is not None)
    return next((oid for oid in types if oid is not None), None)


@singledispatch
def result_type(node: exp.Expression, scope: Scope) -> int | None:
    """Return the type OID of an expression, or None if it cannot be inferred."""
    if isinstance(node, exp.Predicate | exp.Connector):
        return BOOL
    return TEXT


@result_type.register(exp.Null)
def _(node: exp.Null, scope: Scope) -> int | None:
    return None


@result_type.register(exp.Boolean)
@result_type.register(exp.Not)
@result_type.register(exp.Exists)
@result_type.register(exp.In)
def _(node: exp.Expression, scope: Scope) -> int | None:
    return BOOL


@result_type.register(exp.Literal)
def _(node: exp.Literal, scope: Scope) -> int | None:
    if node.is_string:
        return None
    if not node.this.isdigit():
        return NUMERIC
    return INT4 if int(node.this) < 1 << 31 else INT8


@result_type.register(exp.Placeholder)
def _(node: exp.Placeholder, scope: Scope) -> int | None:
    return scope.parameters.get(int(node.name[1:]))


@result_type.register(exp.Column)
def _(node: exp.Column, scope: Scope) -> int | None:
    return scope.column(node)


@result_type.register(exp.Cast)
def _(node: exp.Cast, scope: Scope) -> int | None:
    return oid_of(node.to)


@result_type.register(exp.Paren)
@result_type.register(exp.Neg)
@result_type.register(exp.Abs)
@result_type.register(exp.Round)
@result_type.register(exp.Window)
@result_type.register(exp.Alias)
@result_type.register(exp.Filter)
@result_type.register(exp.Distinct)
@result_type.register(exp.Collate)
def _(node: exp.Expression, scope: Scope) -> int | None:
    return result_type(node.this or node.expressions[0], scope)


@result_type.register(exp.Add)
@result_type.register(exp.Sub)
@result_type.register(exp.Mul)
@result_type.register(exp.Div)
@result_type.register(exp.Mod)
def _(node: exp.Binary, scope: Scope) -> int | None:
    sides = [result_type(side, scope) for side in (node.left, node.right)]
    known_types = [oid for oid in sides if oid is not None]
    numeric_types = [oid for oid in known_types if oid in _NUMERIC_ORDER]
    if known_types and len(numeric_types) == len(known_types):
        return max(numeric_types, key=_NUMERIC_ORDER.index)
    return known_types[0] if known_types else None


@result_type.register(exp.Coalesce)
@result_type.register(exp.Greatest)
@result_type.register(exp.Least)
@result_type.register(exp.Max)
@result_type.register(exp.Min)
@result_type.register(exp.Nullif)
def _(node: exp.Expression, scope: Scope) -> int | None:
    return _first_known_type([node.this, *node.expressions], scope)


@result_type.register(exp.Case)
def _(node: exp.Case, scope: Scope) -> int | None:
    branches = [branch.args["true"] for branch in node.args["ifs"]]
    return _first_known_type([*branches, node.args.get("default")], scope)


@result_type.register(exp.Count)
@result_type.register(exp.RowNumber)
@result_type.register(exp.Rank)
def _(node: exp.Expression, scope: Scope) -> int | None:
    return INT8


@result_type.register(exp.Sum)
def _(node: exp.Sum, scope: Scope) -> int | None:
    inner = result_type(node.this, scope)
    if inner == INT8:
        return NUMERIC
    return INT8 if inner in (INT2, INT4) else inner


@result_type.register(exp.Avg)
def _(node: exp.Avg, scope: Scope) -> int | None:
    return FLOAT8 if result_type(node.this, scope) == FLOAT8 else NUMERIC


@result_type.register(exp.Length)
@result_type.register(exp.ExplodingGenerateSeries)
def _(node: exp.Expression, scope: Scope) -> int | None:
    return INT4


@result_type.register(exp.CurrentTimestamp)
def _(node: exp.CurrentTimestamp, scope: Scope) -> int | None:
    return TIMESTAMPTZ


@result_type.register(exp.Localtimestamp)
def _(node: exp.Localtimestamp, scope: Scope) -> int | None:
    return TIMESTAMP


@result_type.register(exp.CurrentDate)
def _(node: exp.CurrentDate, scope: Scope) -> int | None:
    return DATE


@result_type.register(exp.Uuid)
def _(node: exp.Uuid, scope: Scope) -> int | None:
    return UUID


@result_type.register(exp.Array)
def _(node: exp.Array, scope: Scope) -> int | None:
    return ARRAY_OID[_first_known_type(node.expressions, scope) or TEXT]


@result_type.register(exp.Subquery)
@result_type.register(exp.Select)
def _(node: exp.Expression, scope: Scope) -> int | None:
    query = node.this if isinstance(node, exp.Subquery) else node
    return output_columns(query, scope)[0][1]


@result_type.register(exp.Anonymous)
def _(node: exp.Anonymous, scope: Scope) -> int | None:
    return _FUNCTION_TYPES.get(node.name.lower(), TEXT)


def expected_type(node: exp.Expression, scope: Scope) -> int | None:
    """Return the type that the place of a parameter or literal requires, if any."""
    parent = node.parent
    if isinstance(parent, exp.Paren | exp.Neg | exp.Alias):
        return expected_type(parent, scope)
    if isinstance(parent, exp.Cast):
        return oid_of(parent.to)
    if isinstance(parent, exp.Limit | exp.Offset):
        return INT8
    if isinstance(parent, _COMPARISON + _ARITHMETIC):
        side = parent.right if parent.left is node else parent.left
        return _compared_type(node, side, scope) or (
            expected_type(parent, scope) if isinstance(parent, _ARITHMETIC) else None
        )
    if isinstance(parent, exp.Between | exp.In):
        siblings = [parent.this, parent.args.get("low"), *parent.expressions]
        return _first_known_type(
            [other for other in siblings if other is not node], scope
        )
    if isinstance(parent, exp.Any):
        return _any_type(parent, scope)
    if isinstance(parent, exp.Anonymous):
        return _ARGUMENT_TYPES.get(parent.name.lower())
    if isinstance(parent, exp.ExplodingGenerateSeries):
        return INT4
    if isinstance(parent, exp.DefaultColumnConstraint):
        return oid_of(parent.find_ancestor(exp.ColumnDef).args["kind"])
    if isinstance(parent, exp.Tuple | exp.Select):
        return _inserted_type(node, parent, scope)
    if isinstance(parent, exp.Coalesce | exp.Case | exp.If | exp.Greatest | exp.Least):
        return _branch_type(node, parent, scope)
    return None


def _compared_type(
    node: exp.Expression, side: exp.Expression, scope: Scope
) -> int | None:
    if isinstance(side, exp.Any):
        return ELEMENT_OID.get(result_type(side.this.unnest(), scope) or 0)
    return result_type(side, scope)


def _any_type(node: exp.Any, scope: Scope) -> int | None:
    comparison = node.parent
    side = comparison.right if comparison.left is node else comparison.left
    element = result_type(side, scope)
    return ARRAY_OID.get(element) if element is not None else None


def _inserted_type(
    node: exp.Expression, parent: exp.Expression, scope: Scope
) -> int | None:
    insert = parent.find_ancestor(exp.Insert)
    if insert is None or not scope.target_columns:
        return None
    if isinstance(parent, exp.Select) and insert.expression is not parent:
        return None
    if isinstance(parent, exp.Tuple) and not isinstance(parent.parent, exp.Values):
        return None
    index = next(i for i, item in enumerate(parent.expressions) if item is node)
    named = insert.this.expressions if isinstance(insert.this, exp.Schema) else ()
    names = [column.name for column in named] or list(scope.target_columns)
    if index >= len(names):
        raise PgError("42601", "INSERT has more expressions than target columns")
    if names[index] not in scope.target_columns:
        raise PgError("42703", f'column "{names[index]}" does not exist')
    return scope.target_columns[names[index]]


def _branch_type(
    node: exp.Expression, parent: exp.Expression, scope: Scope
) -> int | None:
    if isinstance(parent, exp.If) and node is parent.this:
        return BOOL
    case = parent.parent if isinstance(parent, exp.If) else parent
    return result_type(case, scope) or expected_type(case, scope)


def output_columns(query: exp.Expression, scope: Scope) -> list[tuple[str, int]]:
    """Return the names and types of the columns that a query or RETURNING yields."""
    if isinstance(query, exp.SetOperation):
        return output_columns(query.left, scope)
    if isinstance(query, exp.Subquery):
        return output_columns(query.this, scope)
    if isinstance(query, exp.Values):
        row = query.expressions[0].expressions
        return [
            (f"column{number}", result_type(item, scope) or TEXT)
            for number, item in enumerate(row, 1)
        ]
    return [
        column
        for item in query.expressions
        for column in _item_columns(item, query, scope)
    ]


def _item_columns(
    item: exp.Expression, query: exp.Expression, scope: Scope
) -> Iterator[tuple[str, int]]:
    if isinstance(item, exp.Star):
        for columns in _row_sources(query, scope):
            yield from columns.items()
    elif isinstance(item, exp.Column) and isinstance(item.this, exp.Star):
        yield from scope.sources.get(item.table, {}).items()
    else:
        yield _output_name(item), result_type(item, scope) or TEXT


def _row_sources(query: exp.Expression, scope: Scope) -> Iterator[TableColumns]:
    if isinstance(query, exp.Returning):
        yield scope.target_columns
        return
    joins = query.args.get("joins") or ()
    for part in (query.args.get("from_"), *joins):
        if part is not None:
            name = part.this.alias_or_name or "generate_series"
            yield scope.sources.get(name, {})


def _output_name(item: exp.Expression) -> str:
    if isinstance(item, exp.Alias | exp.Column):
        return item.alias_or_name
    if isinstance(item, exp.Cast | exp.Window | exp.Paren):
        return _output_name(item.this)
    if isinstance(item, exp.ExplodingGenerateSeries):
        return "generate_series"
    if isinstance(item, exp.CurrentTimestamp):
        return "now"
    if isinstance(item, exp.Anonymous):
        return item.name.lower()
    if isinstance(item, exp.Func) and not isinstance(item, exp.Connector):
        return item.sql_name().lower()
    return "?column?"
