"""Messages between a VM that has a caller and a home VM, as msgpack.

A home keeps nothing of a caller between two transactions: each first statement brings
the session's state along, so the next one can run at another home.
"""

from __future__ import annotations

import msgspec

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.session import SessionState
from celeryjunction.gateway.statements import Request
from celeryjunction.replication.ports import (
    NO_POSITION,
    Answer,
    EndpointInfo,
    LogPosition,
    TransactionState,
)

NO_TRANSACTION = 0
"""Seat number of a statement outside a transaction."""


class RunStatement(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Run a statement; `seat` numbers the caller's transaction on this stream.

    `state` is left out while it is what the home got last for the seat.
    """

    number: int
    seat: int
    database: str
    request: Request
    state: SessionState | None = None


class EndTransaction(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """The caller left or gave up: roll its transaction back."""

    seat: int


class AskHomeStatus(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Ask the home for its `HomeStatus`."""


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """Answer to `RunStatement`: an endpoint's answer, or the home's own error.

    `state` is the session's afterwards, `position` the end of its own writes.
    """

    number: int
    state: TransactionState
    position: LogPosition = NO_POSITION
    answer: Answer | None = None
    error: ErrorKind | None = None
    details: dict[str, str | int | float | None] = {}


class AskEndpoints(msgspec.Struct, frozen=True, array_like=True, tag="list"):
    """Ask the home for its `EndpointList`."""


class HomeStatus(msgspec.Struct, frozen=True, array_like=True, tag="pulse"):
    """What a home says of itself and of what it read from the platform."""

    served: list[str]
    """Groups whose primary it proved lately."""
    isolated: bool
    leaving: bool
    routes_version: int = 0
    endpoints_version: int = 0
    """Number of the home's list of endpoints, which grows with each change."""
    endpoints_age_s: float = 0.0
    """Seconds since the register confirmed that list."""


class EndpointList(msgspec.Struct, frozen=True, array_like=True, tag="endpoints"):
    """The home's list of endpoints."""

    version: int
    endpoints: list[EndpointInfo]


ToHome = RunStatement | EndTransaction | AskHomeStatus | AskEndpoints
FromHome = Outcome | HomeStatus | EndpointList

_encoder = msgspec.msgpack.Encoder()
_to_home = msgspec.msgpack.Decoder(ToHome)
_from_home = msgspec.msgpack.Decoder(FromHome)


def encode(message: ToHome | FromHome) -> bytes:
    """Return a message's frame."""
    return _encoder.encode(message)


def decode_to_home(frame: bytes) -> ToHome:
    """Decode what a home gets; raises `msgspec.MsgspecError`."""
    return _to_home.decode(frame)


def decode_from_home(frame: bytes) -> FromHome:
    """Decode what a home sent; raises `msgspec.MsgspecError`."""
    return _from_home.decode(frame)


def details_of(error: ProxyError) -> dict[str, str | int | float | None]:
    """Return the details of an error's message as they can be sent."""
    return {
        key: value if isinstance(value, int | float | None) else str(value)
        for key, value in error.details.items()
    }
