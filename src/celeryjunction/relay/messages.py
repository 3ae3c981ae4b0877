"""Messages between a forwarding VM and a home VM, encoded as msgpack.

A home keeps no state of a session between transactions: the first statement of each
transaction carries the session's state, so that the next one can run at another home.
"""

from __future__ import annotations

import msgspec

from celeryjunction.decoding import Amount, Count, Name, decode
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.organisations import NO_ORGANISATION
from celeryjunction.gateway.session import SessionState
from celeryjunction.gateway.statements import Request
from celeryjunction.replication.ports import (
    NO_POSITION,
    Answer,
    EndpointInfo,
    LogPosition,
    TransactionState,
)
from celeryjunction.route_updates.confirmation import UNKNOWN_AGE_S

NO_TRANSACTION = 0
"""Value of `seat` for a statement outside a transaction."""


class RunStatement(msgspec.Struct, frozen=True, array_like=True, tag="run"):
    """Run a statement; `seat` is the transaction's number on this connection.

    `state` is omitted if the home already has it for this transaction. A home whose
    routes are older than `routes_version` does not begin the statement.
    """

    number: int
    seat: int
    database: str
    request: Request
    state: SessionState | None = None
    organisation: str = NO_ORGANISATION
    routes_version: Count = 0


class EndTransaction(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Roll back the transaction with this number: its client left or gave up."""

    seat: int


class AskHomeStatus(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Ask the home for its `HomeStatus`, which repeats the number."""

    number: Count = 0


class Outcome(msgspec.Struct, frozen=True, array_like=True, tag="outcome"):
    """Reply to `RunStatement`: an endpoint's answer, or the home's own error.

    `state` is the transaction state afterwards, `position` the end of the session's
    own writes.
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
    """State of a home, and versions of what it read from the platform."""

    served: list[str]
    """Groups whose primary the home recently proved."""
    isolated: bool
    """Whether the home reaches no other zone."""
    leaving: bool
    """Whether the home is draining and takes no new transactions."""
    routes_version: Count = 0
    endpoints_version: Count = 0
    """Version of the home's list of endpoints; it increases with each change."""
    endpoints_age_s: Amount = 0.0
    """Seconds since the endpoint register confirmed that list."""
    reached: list[str] = []
    """Groups of which an endpoint recently answered the home."""
    routes_age_s: Amount = 0.0
    """Seconds since the home's routes were last known to be the newest ones."""
    answers: Count = 0
    """Number of the last `AskHomeStatus`; 0 from a home that does not repeat it."""
    endpoints_read_s: Amount = UNKNOWN_AGE_S
    """Seconds since a read of the register was sent that confirmed the list."""


class EndpointList(msgspec.Struct, frozen=True, array_like=True, tag="endpoints"):
    """The home's list of endpoints."""

    version: Count
    endpoints: list[EndpointInfo]
    revision: Count = 0
    """Revision of the store that the list reflects; 0 from a home that does not say."""


class AskTokens(msgspec.Struct, frozen=True, array_like=True, tag="ask_tokens"):
    """Ask the holder of a share for tokens, by organisation.

    The amounts are the tokens wanted, and those of the last grant on this connection
    that are returned unused.
    """

    number: Count
    organisations: dict[Name, tuple[Amount, Amount]]


class Tokens(msgspec.Struct, frozen=True, array_like=True, tag="tokens"):
    """Reply to `AskTokens`: the tokens granted, by organisation."""

    number: Count
    granted: dict[Name, Amount]


ToHome = RunStatement | EndTransaction | AskHomeStatus | AskEndpoints | AskTokens
FromHome = Outcome | HomeStatus | EndpointList | Tokens

_encoder = msgspec.msgpack.Encoder()
_to_home = msgspec.msgpack.Decoder(ToHome)
_from_home = msgspec.msgpack.Decoder(FromHome)


def encode(message: ToHome | FromHome) -> bytes:
    """Encode a message as a frame."""
    return _encoder.encode(message)


def decode_to_home(frame: bytes) -> ToHome:
    """Decode a message to a home; raises `DecodingError`."""
    return decode(_to_home, frame)


def decode_from_home(frame: bytes) -> FromHome:
    """Decode a message from a home; raises `DecodingError`."""
    return decode(_from_home, frame)


def error_details(error: ProxyError) -> dict[str, str | int | float | None]:
    """Return an error's details with values that can be encoded."""
    return {
        key: value if isinstance(value, int | float | None) else str(value)
        for key, value in error.details.items()
    }
