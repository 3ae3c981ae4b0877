"""Statements of clients, as the protocol adapter decodes them."""

from __future__ import annotations

import msgspec


class Begin(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Opens a transaction."""

    read_only: bool


class Commit(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Commits the open transaction."""


class Rollback(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Rolls the open transaction back."""


class Read(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Reads an item."""


class Write(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Writes an item."""


class SetParameter(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Sets a session value."""

    name: bytes
    value: bytes


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Prepares a statement of a shape under a name within the session."""

    name: bytes
    writes: bool
    shape: bytes


class Execute(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Runs a prepared statement; `arguments` is the text after the name."""

    name: bytes
    arguments: bytes


class Deallocate(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Removes a prepared statement."""

    name: bytes


Statement = (
    Begin
    | Commit
    | Rollback
    | Read
    | Write
    | SetParameter
    | Prepare
    | Execute
    | Deallocate
)


class Request(msgspec.Struct, frozen=True, array_like=True):
    """A client's statement with its id and text.

    `arrived` is when its first byte was received, in seconds of the clock that the
    freshness proofs use.
    """

    id: bytes
    text: bytes
    statement: Statement
    arrived: float
