"""Ports: what the product needs from endpoints that replicate a log.

A platform's adapter implements these protocols. Times are seconds of the caller's
clock, positions are `LogPosition`.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec


class LogPosition(NamedTuple):
    """A place in a group's log. Positions of a later term are greater."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


NO_POSITION = LogPosition(0, 0)


class EndpointInfo(msgspec.Struct, frozen=True):
    """One endpoint as the platform's register describes it."""

    id: str
    group: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    """Unix milliseconds of the start of its process; 0 if unknown."""

    def is_same_process(self, other: EndpointInfo) -> bool:
        """Whether both describe one run of a process at one address."""
        return (self.host, self.port, self.started_ms) == (
            other.host,
            other.port,
            other.started_ms,
        )


class EndpointStatus(NamedTuple):
    """An endpoint's own word about itself, as its answer to a status command."""

    is_primary: bool
    term: int
    received: LogPosition
    """The end of its log; what its reads see may be older."""
    held_term: int
    """Term for which it stopped receiving; 0 when it receives."""
    lag_s: float
    busy: int
    connections: int


class Fault(Enum):
    """Why an endpoint did not do what it was asked."""

    BUSY = "busy"
    BEHIND = "behind"
    NOT_PRIMARY = "not_primary"
    UNKNOWN_STATEMENT = "unknown_statement"
    WRONG_ENDPOINT = "wrong_endpoint"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    OTHER = "other"

    @property
    def may_have_run(self) -> bool:
        """Whether the statement may have run."""
        return self in (Fault.FAILED, Fault.TIMED_OUT, Fault.OTHER)


class TransactionState(Enum):
    """State of a session or of an endpoint's connection after an answer."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Answer(NamedTuple):
    """An endpoint's whole answer to one command.

    `rows` and `digest` pass through unchanged. `fault` is None when it succeeded.
    """

    rows: tuple[bytes, ...]
    digest: bytes
    state: TransactionState
    position: LogPosition | None
    fault: Fault | None = None
    detail: str = ""


class Relay(msgspec.Struct, frozen=True):
    """A caller's statement, passed on with its id and text unchanged.

    With `after`, it runs only if the endpoint's reads see that position.
    """

    request_id: bytes
    text: bytes
    after: LogPosition | None = None


class RelayPrepared(msgspec.Struct, frozen=True):
    """A caller's run of a prepared statement, under the connection's name for it."""

    request_id: bytes
    name: bytes
    arguments: bytes
    after: LogPosition | None = None


class OpenTransaction(msgspec.Struct, frozen=True):
    """Opens a caller's transaction; only a primary opens one that may write."""

    request_id: bytes
    read_only: bool
    after: LogPosition | None = None


class RollBack(msgspec.Struct, frozen=True):
    """Ends the open transaction without effect."""


class ClearSession(msgspec.Struct, frozen=True):
    """Clears the connection's values and prepared statements."""


class SetValue(msgspec.Struct, frozen=True):
    """Sets a session value on the connection."""

    name: bytes
    value: bytes


class PrepareStatement(msgspec.Struct, frozen=True):
    """Prepares a statement of a shape under a name on the connection."""

    name: bytes
    writes: bool
    shape: bytes


class AskStatus(msgspec.Struct, frozen=True):
    """Asks for an `EndpointStatus`."""


class PauseReceiving(msgspec.Struct, frozen=True):
    """Stops a replica from receiving, under a term above every known one."""

    term: int


class ResumeReceiving(msgspec.Struct, frozen=True):
    """Lets a paused replica receive again."""


class Demote(msgspec.Struct, frozen=True):
    """Makes a primary of a lower term a replica."""

    term: int


Command = (
    Relay
    | RelayPrepared
    | OpenTransaction
    | RollBack
    | ClearSession
    | SetValue
    | PrepareStatement
    | AskStatus
    | PauseReceiving
    | ResumeReceiving
    | Demote
)


class EndpointLink(Protocol):
    """A connection to an endpoint; one pipeline of commands runs at a time."""

    opened_at: float
    """Time when the connection was established, seconds."""
    values: dict[bytes, bytes]
    """Session values that the endpoint acknowledged on this connection."""
    prepared: set[bytes]
    """Names of statements that the endpoint acknowledged as prepared."""
    state_uncertain: bool
    """Whether values or names may differ from these: a transaction changed them."""

    @property
    def usable(self) -> bool:
        """False once the connection is closed or its state is in doubt."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Whether the last answer left a transaction open, or failed and not ended."""
        ...

    async def run(self, commands: Sequence[Command], *, timeout: float) -> list[Answer]:
        """Send the commands in one go and return one answer each.

        Raises `ConnectionLost` when an answer is missing after `timeout` seconds or
        the connection broke; it is closed then.
        """
        ...

    def close(self) -> None:
        """Close at once, which rolls back an open transaction."""
        ...


class EndpointDialer(Protocol):
    """Opens connections to endpoints and reads their status."""

    async def connect(self, endpoint: EndpointInfo, *, timeout: float) -> EndpointLink:
        """Open a connection; raises `ConnectionLost` or `EndpointRefused`."""
        ...

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Return the status in an answer; None when it holds none."""
        ...


class EndpointRefused(Exception):
    """An endpoint refused a connection; nothing was sent on it."""

    def __init__(self, fault: Fault, detail: str = "") -> None:
        super().__init__(f"{fault.value} {detail}".strip())
        self.fault = fault


class PromotionResult(Enum):
    """What is known after a promotion was asked for."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Promoter(Protocol):
    """The platform's call that makes a replica the primary of the next term."""

    async def promote(
        self, *, group: str, endpoint: str, holder: str, fencing_token: int
    ) -> PromotionResult:
        """Ask for the promotion; the answer may be lost (`UNKNOWN`)."""
        ...
