"""Ports: protocols that a platform's adapter implements for replicated endpoints.

Times are seconds of the caller's monotonic clock, positions are `LogPosition`.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from celeryjunction.decoding import Count, Name, Port, Slots


class LogPosition(NamedTuple):
    """A position in a group's log. Positions of a later term compare as greater."""

    term: Count
    number: Count

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


NO_POSITION = LogPosition(0, 0)


class EndpointInfo(msgspec.Struct, frozen=True):
    """One endpoint as described by the platform's register."""

    id: Name
    group: Name
    host: Name
    port: Port
    zone: Name
    slots: Slots
    draining: bool = False
    """Whether it is about to stop: replicas get no new statements, and a primary is
    replaced."""
    started_ms: Count = 0
    """Unix time at which its process started, in milliseconds; 0 if unknown."""

    def is_same_process(self, other: EndpointInfo) -> bool:
        """Whether both describe one run of a process at one address."""
        return (self.host, self.port, self.started_ms) == (
            other.host,
            other.port,
            other.started_ms,
        )

    @property
    def process_key(self) -> tuple[str, int]:
        """Identifies one process of the endpoint: id and start time."""
        return self.id, self.started_ms


class EndpointStatus(NamedTuple):
    """An endpoint's report about itself, in its answer to a status command."""

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
    """Why an endpoint did not carry out a command."""

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
    """An endpoint's complete answer to one command.

    `rows` and `digest` pass through unchanged. `fault` is None on success.
    """

    rows: tuple[bytes, ...]
    digest: bytes
    state: TransactionState
    position: LogPosition | None
    fault: Fault | None = None
    detail: str = ""


class Relay(msgspec.Struct, frozen=True):
    """A client's statement, forwarded with its id and text unchanged.

    With `after`, it runs only if the endpoint's reads include that position.
    """

    request_id: bytes
    text: bytes
    after: LogPosition | None = None


class RelayPrepared(msgspec.Struct, frozen=True):
    """A client's run of a statement that is prepared as `name` on the connection."""

    request_id: bytes
    name: bytes
    arguments: bytes
    after: LogPosition | None = None


class OpenTransaction(msgspec.Struct, frozen=True):
    """Opens a client's transaction; only a primary opens one that may write."""

    request_id: bytes
    read_only: bool
    after: LogPosition | None = None


class RollBack(msgspec.Struct, frozen=True):
    """Rolls back the open transaction."""


class ClearSession(msgspec.Struct, frozen=True):
    """Clears the connection's session values and prepared statements."""


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
    """Stops a replica from receiving, for a term later than every known one."""

    term: int


class ResumeReceiving(msgspec.Struct, frozen=True):
    """Lets a paused replica receive again."""


class Demote(msgspec.Struct, frozen=True):
    """Makes a primary of a lower term a replica."""

    term: int


class Synchronize(msgspec.Struct, frozen=True):
    """Has no effect. Its answer comes after those of the commands before it."""


STATUS_COMMANDS = frozenset((AskStatus, PauseReceiving, ResumeReceiving, Demote))
"""Types of the commands that are answered with an `EndpointStatus`."""

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
    | Synchronize
)


class EndpointLink(Protocol):
    """A connection to an endpoint; one pipeline of commands runs at a time."""

    opened_at: float
    """Time when the connection was established, seconds."""
    owner: str
    """Organisation whose statements may run on the connection; empty for those of
    clients without one, and for control commands only."""
    values: dict[bytes, bytes]
    """Session values that the endpoint acknowledged on this connection."""
    prepared: set[bytes]
    """Names of statements that the endpoint acknowledged as prepared."""
    state_uncertain: bool
    """Whether a transaction may have changed what `values` and `prepared` record."""

    @property
    def usable(self) -> bool:
        """False once the connection is closed or its state is unknown."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Whether the last answer left a transaction open or failed but not ended."""
        ...

    async def run(self, commands: Sequence[Command], *, timeout: float) -> list[Answer]:
        """Send the commands as one pipeline and return one answer for each.

        Raises `ConnectionLost` when an answer is missing after `timeout` seconds or
        the connection broke; the connection is then closed.
        """
        ...

    def close(self) -> None:
        """Close immediately, which rolls back an open transaction."""
        ...


class EndpointDialer(Protocol):
    """Opens connections to endpoints and reads their status."""

    async def connect(
        self, endpoint: EndpointInfo, *, timeout: float, owner: str = ""
    ) -> EndpointLink:
        """Open a connection for an owner.

        Raises `ConnectionLost` or `EndpointRefused`.
        """
        ...

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Return the status that an answer contains; None without one."""
        ...


class EndpointRefused(Exception):
    """An endpoint refused a connection; nothing was sent on it."""

    def __init__(self, fault: Fault, detail: str = "") -> None:
        super().__init__(f"{fault.value} {detail}".strip())
        self.fault = fault


class PromotionResult(Enum):
    """What is known after a promotion was requested."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    """The platform answered, and may or may not carry the promotion out."""
    UNANSWERED = "unanswered"
    """The request may still be on its way, and be carried out whenever it arrives."""


class PromotionRequest:
    """A request to make a replica the primary of its group's next term.

    `holder` is the VM that holds the claim to promote; `fencing_token` rises with each
    request for the group. `is_due` is asked right before the request is sent; if it is
    False, the request is not sent and counts as refused.
    """

    __slots__ = ("endpoint", "fencing_token", "group", "holder", "is_due")

    def __init__(
        self,
        *,
        group: str,
        endpoint: str,
        holder: str,
        fencing_token: int,
        is_due: Callable[[], bool] = lambda: True,
    ) -> None:
        self.group = group
        self.endpoint = endpoint
        self.holder = holder
        self.fencing_token = fencing_token
        self.is_due = is_due


class PromotionPath(Protocol):
    """A connection to the platform's promotion call, for one request."""

    async def confirm(self) -> bool:
        """Return whether the platform answers on this connection now.

        An open connection alone proves nothing: whatever accepted it may hold back what
        is written to it, and deliver it later.
        """
        ...

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        """Request the promotion."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class Promoter(Protocol):
    """The platform's call that makes a replica the primary of the next term."""

    async def open_path(self) -> PromotionPath | None:
        """Open a connection; None if the platform doesn't answer on it."""
        ...
