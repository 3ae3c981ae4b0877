"""PostgreSQL types over SQLite storage: names, stored form and wire encoders.

A column's declared type in SQLite is an affinity and the type OID, for example
``TEXT_1184``, so that the catalog of a database is its own record of the PostgreSQL
types. Timestamps are stored as naive UTC text of fixed width, numerics as text with
the collation ``cj_numeric``, arrays as JSON text and booleans as 0 and 1.
"""

from __future__ import annotations

import json
import struct
import uuid
from collections.abc import Callable
from datetime import UTC, date, datetime
from decimal import Decimal, InvalidOperation
from functools import lru_cache
from typing import Any

from pg_mimic import ARRAY_OID, PgError
from pg_mimic.arrays import ELEMENT_OID, parse_array_literal
from pg_mimic.types import (
    BOOL,
    BPCHAR,
    BYTEA,
    DATE,
    FLOAT4,
    FLOAT8,
    INT2,
    INT4,
    INT8,
    JSON,
    JSONB,
    NUMERIC,
    TEXT,
    TIMESTAMP,
    TIMESTAMPTZ,
    UUID,
    VARCHAR,
    encode_value,
    encode_value_binary,
)
from sqlglot import exp

VOID = 2278
INTEGERS = {INT2: 15, INT4: 31, INT8: 63}
"""Integer types with the number of value bits."""
_FLOATS = (FLOAT4, FLOAT8)
_STRINGS = (TEXT, VARCHAR, BPCHAR, JSON, JSONB, VOID)

_D = exp.DataType.Type
_OIDS = {
    _D.BOOLEAN: BOOL,
    _D.SMALLINT: INT2,
    _D.INT: INT4,
    _D.SERIAL: INT4,
    _D.BIGINT: INT8,
    _D.BIGSERIAL: INT8,
    _D.FLOAT: FLOAT4,
    _D.DOUBLE: FLOAT8,
    _D.DECIMAL: NUMERIC,
    _D.TEXT: TEXT,
    _D.VARCHAR: VARCHAR,
    _D.CHAR: BPCHAR,
    _D.DATE: DATE,
    _D.TIMESTAMP: TIMESTAMP,
    _D.TIMESTAMPTZ: TIMESTAMPTZ,
    _D.UUID: UUID,
    _D.JSON: JSON,
    _D.JSONB: JSONB,
    _D.VARBINARY: BYTEA,
}


def oid_of(kind: exp.DataType) -> int:
    """Return the OID of a parsed type name; an unknown name is taken as text."""
    if kind.this == _D.ARRAY:
        return ARRAY_OID[oid_of(kind.expressions[0])]
    return _OIDS.get(kind.this, TEXT)


def storage_type(oid: int) -> str:
    """Return the declared SQLite type of a column."""
    if oid in INTEGERS or oid == BOOL:
        return f"INTEGER_{oid}"
    if oid in _FLOATS:
        return f"REAL_{oid}"
    if oid == BYTEA:
        return f"BLOB_{oid}"
    return f"TEXT_{oid}" + (" COLLATE cj_numeric" if oid == NUMERIC else "")


def oid_of_storage(declared: str) -> int:
    """Return the OID behind a declared SQLite type; ``INTEGER`` is a serial column."""
    suffix = declared.rpartition("_")[2]
    return int(suffix) if suffix.isdigit() else INT8


def canonical_timestamp(moment: datetime) -> str:
    """Return the stored form: naive UTC with microseconds, so that text sorts."""
    if moment.tzinfo is not None:
        moment = moment.astimezone(UTC).replace(tzinfo=None)
    return moment.isoformat(sep=" ", timespec="microseconds")


def _store_integer(oid: int, value: str) -> int:
    number = int(value)
    if not -(1 << INTEGERS[oid]) <= number < 1 << INTEGERS[oid]:
        raise PgError("22003", f"value {number} is out of range for its integer type")
    return number


def _store_bool(value: str) -> int:
    word = value.strip().lower()
    if word in ("t", "true", "1", "on", "yes"):
        return 1
    if word in ("f", "false", "0", "off", "no"):
        return 0
    raise ValueError(value)


def _store_array(oid: int, value: str | list[Any]) -> str:
    items = parse_array_literal(value) if isinstance(value, str) else value
    return json.dumps([_store_element(ELEMENT_OID[oid], item) for item in items])


def _store_element(oid: int, item: Any) -> Any:
    if isinstance(item, list):
        return [_store_element(oid, part) for part in item]
    return to_storage(oid, item)


_STORE: dict[int, Callable[[str], Any]] = {
    BOOL: _store_bool,
    FLOAT4: float,
    FLOAT8: float,
    NUMERIC: lambda value: format(Decimal(value), "f"),
    DATE: lambda value: date.fromisoformat(value[:10]).isoformat(),
    TIMESTAMP: lambda value: canonical_timestamp(datetime.fromisoformat(value)),
    TIMESTAMPTZ: lambda value: canonical_timestamp(datetime.fromisoformat(value)),
    UUID: lambda value: str(uuid.UUID(value)),
    BYTEA: lambda value: bytes.fromhex(value.removeprefix("\\x")),
}


def to_storage(oid: int, value: Any) -> Any:
    """Convert a parameter's text (a list for arrays) to the stored form.

    Raises `PgError` 22P02 when the text is not of the type.
    """
    if value is None:
        return None
    try:
        if oid in INTEGERS:
            return _store_integer(oid, value)
        if oid in ELEMENT_OID:
            return _store_array(oid, value)
        store = _STORE.get(oid)
        return store(value) if store is not None else value
    except (ValueError, TypeError, InvalidOperation) as error:
        message = f"invalid input syntax for type oid {oid}: {value!r}"
        raise PgError("22P02", message) from error


def _load_array(oid: int, value: str) -> list[Any]:
    element = ELEMENT_OID[oid]

    def convert(item: Any) -> Any:
        if isinstance(item, list):
            return [convert(part) for part in item]
        return None if item is None else _load(element, item)

    return [convert(item) for item in json.loads(value)]


def _load(oid: int, value: Any) -> Any:
    """Convert a stored value to the Python value that pg-mimic encodes."""
    if oid in ELEMENT_OID:
        return _load_array(oid, value)
    if oid == NUMERIC:
        return Decimal(str(value))
    if oid == TIMESTAMPTZ:
        return datetime.fromisoformat(value).replace(tzinfo=UTC)
    if oid == TIMESTAMP:
        return datetime.fromisoformat(value)
    if oid == DATE:
        return date.fromisoformat(value[:10])
    if oid == UUID:
        return uuid.UUID(value)
    if oid in INTEGERS:
        return int(value)
    if oid in _FLOATS:
        return float(value)
    return bool(value) if oid == BOOL else value


@lru_cache(maxsize=256)
def wire_encoder(oid: int, format_code: int) -> Callable[[Any], bytes]:
    """Return the function from a stored value (not None) to its bytes on the wire."""
    if oid in _STRINGS and not (oid == JSONB and format_code):
        return lambda value: str(value).encode()
    if format_code == 0:
        if oid in INTEGERS:
            return lambda value: b"%d" % value
        return lambda value: encode_value(oid, _load(oid, value)).encode()
    if oid == INT8:
        pack = struct.Struct("!q").pack
        return lambda value: pack(int(value))
    return lambda value: encode_value_binary(oid, _load(oid, value))
