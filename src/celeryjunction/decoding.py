"""Decoding of what other processes wrote: entries, frames, numbers and addresses.

Malformed data of any kind raises `DecodingError`, whose message is short and printable.
msgspec raises several types of errors, among them `RecursionError` for deep nesting,
and `int()` accepts signs, blanks, underscores and digits of all scripts.
"""

from __future__ import annotations

import re
from functools import cache
from math import isfinite
from typing import Annotated, Protocol, TypeVar

import msgspec
from msgspec import Meta

MAX_NUMBER = 2**63 - 1
"""Largest number that each encoding in use can hold."""
MAX_PORT = 65_535
MAX_SLOTS = 10_000
"""Largest number of statements that an endpoint may run at once."""
MAX_NAME_CHARACTERS = 200
"""Longest name of an endpoint, group, zone or VM; the store's limit for a key."""
MAX_REASON_CHARACTERS = 200

Count = Annotated[int, Meta(ge=0, le=MAX_NUMBER)]
"""A term, a position, a revision, a version or a time in whole units."""
Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
ListenPort = Annotated[int, Meta(ge=0, le=MAX_PORT)]
"""A port to listen on; 0 for any free port."""
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
Name = Annotated[str, Meta(max_length=MAX_NAME_CHARACTERS)]
Amount = Annotated[float, Meta(ge=0.0, le=1e15)]
"""A time or a rate; finite."""

_OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_PORT = "(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5]?[0-9]{1,4})"
IpAddress = Annotated[
    str, Meta(pattern=rf"\A({_OCTET}\.){{3}}{_OCTET}:(?!0+\Z){_PORT}\Z")
]
"""An IPv4 address and a port."""

_MAX_DIGITS = len(str(MAX_NUMBER))
_MAX_AMOUNT_CHARACTERS = 32
_AMOUNT = re.compile(rb"[0-9]+(\.[0-9]*)?([eE][+-]?[0-9]+)?")
_json_decoder = cache(msgspec.json.Decoder)

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class DecodingError(Exception):
    """Data is malformed; the message is printable ASCII of bounded length."""


class Decoder(Protocol[T_co]):
    """A decoder of msgspec for JSON or msgpack."""

    def decode(self, data: bytes, /) -> T_co:
        """Decode a value."""
        ...


def decode_json(kind: type[T], data: bytes) -> T:
    """Decode a value of a type from JSON; raises `DecodingError`."""
    return decode(_json_decoder(kind), data)


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Decode a value of the decoder's type; raises `DecodingError`."""
    try:
        return decoder.decode(data)
    except RecursionError:
        raise DecodingError("the values are nested too deeply") from None
    except (msgspec.MsgspecError, ValueError, OverflowError) as error:
        raise DecodingError(printable_reason(str(error))) from None


def printable_reason(text: str) -> str:
    """Return a text as printable ASCII, cut to `MAX_REASON_CHARACTERS`."""
    text = ascii(text[:MAX_REASON_CHARACTERS])[1:-1]
    return text[:MAX_REASON_CHARACTERS]


def parse_number(text: str | bytes, *, limit: int = MAX_NUMBER) -> int | None:
    """Decode ASCII digits as a number of at most `limit`; None for other text."""
    if not (text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS):
        return None
    number = int(text)
    return number if number <= limit else None


def parse_amount(text: bytes) -> float | None:
    """Decode a finite decimal number of at least 0; None for other text."""
    if len(text) > _MAX_AMOUNT_CHARACTERS or not _AMOUNT.fullmatch(text):
        return None
    amount = float(text)
    return amount if isfinite(amount) else None


def is_word(text: str) -> bool:
    """Whether a text is printable ASCII without blanks, and not empty."""
    return bool(text) and text.isascii() and text.isprintable() and " " not in text


def parse_address(text: str) -> tuple[str, int] | None:
    """Split ``HOST:PORT`` with a port from 1 to 65535; None for other text."""
    host, _, digits = text.rpartition(":")
    port = parse_number(digits, limit=MAX_PORT)
    if not host or not port or not (host.isascii() and host.isprintable()):
        return None
    return (host, port) if len(host) <= MAX_NAME_CHARACTERS else None
