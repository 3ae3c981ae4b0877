"""Values that another writer may leave under a key, and odd numbers as text."""

from __future__ import annotations

import json
from collections.abc import Iterator, Mapping

DEPTHS = (3_000, 100_000)
NOISE_BYTES = 1 << 20

ODD_NUMBERS = {
    "beyond 64 bits": b"18446744073709551616",
    "400 digits": b"9" * 400,
    "5000 digits": b"9" * 5000,
    "1e400": b"1e400",
    "negative": b"-1",
    "NaN": b"NaN",
    "infinite": b"-Infinity",
    "of a fraction": b"1.5",
    "as text": b'"3"',
    "as truth": b"true",
    "null": b"null",
}
"""JSON values that no count holds."""

ODD_AMOUNTS = {
    kind: ODD_NUMBERS[kind]
    for kind in ("400 digits", "1e400", "negative", "NaN", "infinite", "as text")
}
"""JSON values that no amount, which may have a fraction, holds."""

ODD_DIGITS = {
    "none": "",
    "non-ASCII": "\u0668\u0660",
    "superscript": "\u00b2",
    "signed": "+80",
    "negative": "-80",
    "with a blank": " 80",
    "with an underscore": "8_0",
    "beyond 64 bits": str(2**64),
    "31 digits": "1" + "0" * 30,
    "5000 digits": "8" * 5000,
    "hexadecimal": "0x50",
    "a fraction": "8.0",
}
"""Texts that no count holds, some of which `int()` accepts."""

ODD_PORTS = {**ODD_DIGITS, "zero": "0", "65536": "65536"}


def nested_arrays(depth: int) -> bytes:
    """Return JSON arrays within one another."""
    return b"[" * depth + b"]" * depth


def nested_objects(depth: int) -> bytes:
    """Return JSON objects within one another."""
    return b'{"x":' * depth + b"0" + b"}" * depth


def encode_with(fields: Mapping[str, object], name: str, value: bytes) -> bytes:
    """Return the fields as JSON, with encoded text as the value of one of them."""
    pairs = [
        json.dumps(key).encode() + b":" + json.dumps(other).encode()
        for key, other in fields.items()
        if key != name
    ]
    return b"{" + b",".join([*pairs, json.dumps(name).encode() + b":" + value]) + b"}"


def odd_values(
    valid: Mapping[str, object], *, required: tuple[str, ...], counts: tuple[str, ...]
) -> Iterator[tuple[str, bytes]]:
    """Yield descriptions and values of which none is a valid entry.

    `valid` are the fields of a valid one, and `counts` those with whole numbers. The
    first of the `required` fields has to be text.
    """
    text = required[0]
    yield "empty", b""
    yield "blank", b" "
    yield "cut off", json.dumps(valid).encode()[:-1]
    yield "noise", b"\xa7\x00{" * (NOISE_BYTES // 3)
    yield "1 MiB of blanks", b" " * NOISE_BYTES
    yield "no UTF-8", encode_with(valid, text, b'"\xff\xfe"')
    yield "lone surrogate", encode_with(valid, text, b'"\\ud800"')
    yield "null", b"null"
    yield "number", b"3"
    yield "array", b"[]"
    for depth in DEPTHS:
        yield f"{depth} arrays", nested_arrays(depth)
        yield f"{depth} open arrays", b"[" * depth
        yield f"{depth} objects", nested_objects(depth)
        yield f"{depth} open objects", b'{"x":' * depth
        for name in ("unknown", *required):
            yield (
                f"{name}: {depth} arrays",
                encode_with(valid, name, nested_arrays(depth)),
            )
            yield (
                f"{name}: {depth} objects",
                encode_with(valid, name, nested_objects(depth)),
            )
    for name in required:
        fields = {key: value for key, value in valid.items() if key != name}
        yield f"{name}: missing", json.dumps(fields).encode()
        yield f"{name}: null", encode_with(valid, name, b"null")
        yield f"{name}: object", encode_with(valid, name, b"{}")
    for name in counts:
        for kind, number in ODD_NUMBERS.items():
            yield f"{name}: {kind}", encode_with(valid, name, number)
