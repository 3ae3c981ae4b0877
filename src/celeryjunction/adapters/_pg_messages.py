"""Strict parsers and fast builders of PostgreSQL messages.

They supplement ``pg_mimic.messages``, whose parsers read counts as signed integers,
ignore trailing bytes and accept negative lengths. The parsers here raise ValueError,
IndexError or ``struct.error`` for a malformed body.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from functools import lru_cache
from struct import Struct
from typing import NamedTuple

from pg_mimic import messages
from pg_mimic.messages import ParsedParse

from celeryjunction.ports import Column

_unpack_uint16 = Struct("!H").unpack_from
_unpack_int32 = Struct("!i").unpack_from
_pack_int32 = Struct("!i").pack
_pack_row_header = Struct("!cih").pack
_pack_field = Struct("!ihIhih").pack
_NULL = _pack_int32(-1)


class ParsedBind(NamedTuple):
    """A Bind message with the format codes as the client sent them."""

    portal_name: str
    statement_name: str
    param_formats: tuple[int, ...]
    params: tuple[bytes | None, ...]
    result_formats: tuple[int, ...]


def _read_string(payload: bytes, start: int) -> tuple[str, int]:
    end = payload.index(0, start)
    return payload[start:end].decode(), end + 1


def _expect_end(payload: bytes, end: int) -> None:
    if end != len(payload):
        raise ValueError("message length does not match its fields")


def parse_query(payload: bytes) -> str:
    """Return the text of a Query message."""
    sql, end = _read_string(payload, 0)
    _expect_end(payload, end)
    return sql


def parse_parse(payload: bytes) -> ParsedParse:
    """Return the fields of a Parse message."""
    name, start = _read_string(payload, 0)
    sql, start = _read_string(payload, start)
    (count,) = _unpack_uint16(payload, start)
    oids = Struct(f"!{count}I").unpack_from(payload, start + 2)
    _expect_end(payload, start + 2 + 4 * count)
    return ParsedParse(name, sql, list(oids))


def _read_formats(payload: bytes, start: int) -> tuple[tuple[int, ...], int]:
    (count,) = _unpack_uint16(payload, start)
    end = start + 2 + 2 * count
    codes = Struct(f"!{count}H").unpack_from(payload, start + 2) if count else ()
    return codes, end


def parse_bind(payload: bytes) -> ParsedBind:
    """Return the fields of a Bind message, with parameters as raw bytes."""
    portal_name, start = _read_string(payload, 0)
    statement_name, start = _read_string(payload, start)
    param_formats, start = _read_formats(payload, start)
    (count,) = _unpack_uint16(payload, start)
    start += 2
    params: list[bytes | None] = []
    for _ in range(count):
        (length,) = _unpack_int32(payload, start)
        start += 4
        if length == -1:
            params.append(None)
            continue
        if length < 0 or start + length > len(payload):
            raise ValueError("a parameter has an invalid length")
        params.append(payload[start : start + length])
        start += length
    result_formats, start = _read_formats(payload, start)
    _expect_end(payload, start)
    return ParsedBind(
        portal_name, statement_name, param_formats, tuple(params), result_formats
    )


def parse_execute(payload: bytes) -> tuple[str, int]:
    """Return the portal name and row limit of an Execute message."""
    name, start = _read_string(payload, 0)
    (limit,) = _unpack_int32(payload, start)
    _expect_end(payload, start + 4)
    return name, limit


def parse_target(payload: bytes) -> tuple[bytes, str]:
    """Return the kind (``S`` or ``P``) and name in a Describe or Close message."""
    kind = payload[:1]
    if kind not in (b"S", b"P"):
        raise ValueError("the target is neither a statement nor a portal")
    name, end = _read_string(payload, 1)
    _expect_end(payload, end)
    return kind, name


def parse_empty(payload: bytes) -> None:
    """Check that the body of a Sync or Flush message is empty."""
    _expect_end(payload, 0)


def skip_body(payload: bytes) -> None:
    """Accept any body."""


def parse_startup(payload: bytes) -> dict[str, str]:
    """Return the parameters of a startup message."""
    parameters = messages.parse_startup_message(payload)
    size = sum(len(k.encode()) + len(v.encode()) + 2 for k, v in parameters.items())
    if size + 1 != len(payload) or not payload.endswith(b"\x00"):
        raise ValueError("startup message length does not match its parameters")
    return parameters


def parse_command_line(text: str) -> dict[str, str]:
    """Return the settings of the startup parameter ``options``.

    Settings are written ``-c name=value`` or ``--name=value``. A backslash escapes the
    next character, so a value may contain spaces. Raises ValueError.
    """
    words = _split_words(text)
    settings: dict[str, str] = {}
    while words:
        word = words.pop(0)
        if word == "-c":
            word = words.pop(0) if words else ""
        elif word.startswith(("-c", "--")):
            word = word[2:]
        else:
            raise ValueError(f"unknown option {word!r}")
        name, found, value = word.partition("=")
        if not found or not name:
            raise ValueError(f"option {word!r} has no value")
        settings[name.replace("-", "_").lower()] = value
    return settings


def _split_words(text: str) -> list[str]:
    words, current, escaped = [], "", False
    for character in text:
        if escaped or not (character.isspace() or character == "\\"):
            current += character
            escaped = False
        elif character == "\\":
            escaped = True
        elif current:
            words.append(current)
            current = ""
    return [*words, current] if current else words


def make_negotiate_version(version: int, unknown: Sequence[str]) -> bytes:
    """Build NegotiateProtocolVersion: newest supported version, unknown parameters."""
    body = _pack_int32(version) + _pack_int32(len(unknown))
    body += b"".join(name.encode() + b"\x00" for name in unknown)
    return b"v" + _pack_int32(len(body) + 4) + body


@lru_cache(maxsize=2048)
def make_row_description(columns: tuple[Column, ...], result_format: int) -> bytes:
    """Build a RowDescription from the columns that an endpoint described."""
    body = b"".join(
        column.name
        + b"\x00"
        + _pack_field(0, 0, column.oid, column.size, column.modifier, result_format)
        for column in columns
    )
    head = b"T" + _pack_int32(len(body) + 6) + len(columns).to_bytes(2, "big")
    return head + body


def make_parameter_description(oids: Sequence[int]) -> bytes:
    """Build a ParameterDescription."""
    body = Struct(f"!H{len(oids)}I").pack(len(oids), *oids)
    return b"t" + _pack_int32(len(body) + 4) + body


def append_row(parts: list[bytes], row: Sequence[bytes | None]) -> int:
    """Append the parts of a DataRow message and return its size in bytes."""
    size = 6 + 4 * len(row)
    header_index = len(parts)
    parts.append(b"")
    for value in row:
        if value is None:
            parts.append(_NULL)
        else:
            length = len(value)
            size += length
            parts.append(_pack_int32(length))
            parts.append(value)
    parts[header_index] = _pack_row_header(b"D", size, len(row))
    return size + 1


def make_error(fields: Mapping[str, str], *, severity: str) -> bytes:
    """Build an ErrorResponse; `severity` replaces the severity in `fields`."""
    merged = {"S": severity, "V": severity}
    merged |= {
        code: value.encode(errors="replace").decode().replace("\x00", "")
        for code, value in fields.items()
        if code not in merged and len(code) == 1 and code.isascii() and code.isalpha()
    }
    return messages.make_error_response(merged)
