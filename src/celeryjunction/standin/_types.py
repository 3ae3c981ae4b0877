"""PostgreSQL types in SQLite: type names, stored values and wire encoders.

The declared SQLite type of a column consists of a type affinity and the PostgreSQL type
OID, for example ``TEXT_1184``, so that the SQLite catalog also records the PostgreSQL
types. Timestamps are stored as naive UTC text of fixed width, numerics as text with the
collation ``cj_numeric``, arrays as JSON text and booleans as 0 and 1.
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
INTEGER_VALUE_BITS = {INT2: 15, INT4: 31, INT8: 63}
"""Integer types with their number of bits without the sign."""
_FLOAT_TYPES = (FLOAT4, FLOAT8)
_TEXT_TYPES = (TEXT, VARCHAR, BPCHAR, JSON, JSONB, VOID)

_SqlType = exp.DataType.Type
_OID_BY_TYPE = {
    _SqlType.BOOLEAN: BOOL,
    _SqlType.SMALLINT: INT2,
    _SqlType.INT: INT4,
    _SqlType.SERIAL: INT4,
    _SqlType.BIGINT: INT8,
    _SqlType.BIGSERIAL: INT8,
    _SqlType.FLOAT: FLOAT4,
    _SqlType.DOUBLE: FLOAT8,
    _SqlType.DECIMAL: NUMERIC,
    _SqlType.TEXT: TEXT,
    _SqlType.VARCHAR: VARCHAR,
    _SqlType.CHAR: BPCHAR,
    _SqlType.DATE: DATE,
    _SqlType.TIMESTAMP: TIMESTAMP,
    _SqlType.TIMESTAMPTZ: TIMESTAMPTZ,
    _SqlType.UUID: UUID,
    _SqlType.JSON: JSON,
    _SqlType.JSONB: JSONB,
    _SqlType.VARBINARY: BYTEA,
}


def oid_of(kind: exp.DataType) -> int:
    """Return the OID of a parsed type name; unknown names count as text."""
    if kind.this == _SqlType.ARRAY:
        return ARRAY_OID[oid_of(kind.expressions[0])]
    return _OID_BY_TYPE.get(kind.this, TEXT)


def storage_type(oid: int) -> str:
    """Return the declared SQLite type of a column with a PostgreSQL type."""
    if oid in INTEGER_VALUE_BITS or oid == BOOL:
        return f"INTEGER_{oid}"
    if oid in _FLOAT_TYPES:
        return f"REAL_{oid}"
    if oid == BYTEA:
        return f"BLOB_{oid}"
    return f"TEXT_{oid}" + (" COLLATE cj_numeric" if oid == NUMERIC else "")


def oid_of_storage(declared: str) -> int:
    """Return the OID of a declared SQLite type; ``INTEGER`` is a serial column."""
    suffix = declared.rpartition("_")[2]
    return int(suffix) if suffix.isdigit() else INT8


def canonical_timestamp(moment: datetime) -> str:
    """Return the stored form of a timestamp.

    The form is naive UTC with microseconds, so that text order is time order.
    """
    if moment.tzinfo is not None:
        moment = moment.astimezone(UTC).replace(tzinfo=None)
    return moment.isoformat(sep=" ", timespec="microseconds")


def _integer_to_storage(oid: int, value: str) -> int:
    number = int(value)
    if not -(1 << INTEGER_VALUE_BITS[oid]) <= number < 1 << INTEGER_VALUE_BITS[oid]:
        raise PgError("22003", f"value {number} is out of range for its integer type")
    return number


def _bool_to_storage(value: str) -> int:
    word = value.strip().lower()
    if word in ("t", "true", "1", "on", "yes"):
        return 1
    if word in ("f", "false", "0", "off", "no"):
        return 0
    raise ValueError(value)


def _array_to_storage(oid: int, value: str | list[Any]) -> str:
    items = parse_array_literal(value) if isinstance(value, str) else value
    return json.dumps([_element_to_storage(ELEMENT_OID[oid], item) for item in items])


def _element_to_storage(oid: int, item: Any) -> Any:
    if isinstance(item, list):
        return [_element_to_storage(oid, part) for part in item]
    return to_storage(oid, item)


_PARSERS: dict[int, Callable[[str], Any]] = {
    BOOL: _bool_to_storage,
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
    """Convert the text of a parameter (or a list for an array) to its stored form.

    Raises `PgError` 22P02 for text that is invalid for the type and 22003 for an
    integer out of range.
    """
    if value is None:
        return None
    try:
        if oid in INTEGER_VALUE_BITS:
            return _integer_to_storage(oid, value)
        if oid in ELEMENT_OID:
            return _array_to_storage(oid, value)
        parse = _PARSERS.get(oid)
        return parse(value) if parse is not None else value
    except (ValueError, TypeError, InvalidOperation) as error:
        message = f"invalid input syntax for type oid {oid}: {value!r}"
        raise PgError("22P02", message) from error


def _array_from_storage(oid: int, value: str) -> list[Any]:
    element = ELEMENT_OID[oid]

    def convert(item: Any) -> Any:
        if isinstance(item, list):
            return [convert(part) for part in item]
        return None if item is None else _from_storage(element, item)

    return [convert(item) for item in json.loads(value)]


def _from_storage(oid: int, value: Any) -> Any:
    """Convert a stored value to the Python value that pg-mimic encodes."""
    if oid in ELEMENT_OID:
        return _array_from_storage(oid, value)
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
    if oid in INTEGER_VALUE_BITS:
        return int(value)
    if oid in _FLOAT_TYPES:
        return float(value)
    return bool(value) if oid == BOOL else value


@lru_cache(maxsize=256)
def wire_encoder(oid: int, format_code: int) -> Callable[[Any], bytes]:
    """Return the function that encodes a stored value, not None, for the wire.

    `format_code` is 0 for text and 1 for binary.
    """
    if oid in _TEXT_TYPES and not (oid == JSONB and format_code):
        return lambda value: str(value).encode()
    if format_code == 0:
        if oid in INTEGER_VALUE_BITS:
            return lambda value: b"%d" % value
        return lambda value: encode_value(oid, _from_storage(oid, value)).encode()
    if oid == INT8:
        pack = struct.Struct("!q").pack
        return lambda value: pack(int(value))
    return lambda value: encode_value_binary(oid, _from_storage(oid, value))
