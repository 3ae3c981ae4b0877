"""Ports: protocols through which the core uses endpoints, the platform and clocks.

Adapters implement these protocols, and tests implement them with small fakes. The
types of the values that cross a port are defined here as well.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple, Protocol

import msgspec

from celeryjunction.decoding import Count, Port, Slots

TEXT_FORMAT = 0
BINARY_FORMAT = 1


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Seconds of a clock that never goes back, from an arbitrary origin."""
        ...

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        ...


class SystemClock:
    """The operating system's clocks, in seconds.

    The methods are the functions of the standard library: a statement reads the clock
    about fifteen times, and a wrapper would double the cost.
    """

    __slots__ = ()

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class BootClock:
    """Clocks for proofs that must expire during a suspension of the VM, in seconds.

    The monotonic clock of the event loop stops while a VM is suspended;
    ``CLOCK_BOOTTIME`` does not.
    """

    __slots__ = ()

    @staticmethod
    def monotonic() -> float:
        """Seconds since boot, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    wall = staticmethod(time.time)


class EndpointRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An endpoint as described by the platform's group record."""

    name: str
    host: str
    port: Port
    zone: str
    connections: Count = 20
    """Total number of connections that the endpoint accepts."""
    slots: Slots = 3
    """Number of statements that the endpoint runs concurrently."""
    leaving: bool = False


class GroupRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A database group as described by the platform's key-value service.

    `promotion` is ``"majority"`` if a promotion takes effect only after a majority of
    the endpoints has recorded the new term, and ``"single"`` if this is not known.
    """

    name: str
    term: Count
    primary: str
    endpoints: tuple[EndpointRecord, ...]
    promotion: str = "majority"

    @property
    def majority(self) -> int:
        """Smallest number of endpoints that is a majority of the group."""
        return len(self.endpoints) // 2 + 1


class EndpointStatus(NamedTuple):
    """The status that an endpoint reports about itself.

    Log positions count entries of the log. Reads at the endpoint see the log up to
    `applied`; on a replica, `received` may be ahead of it. `term_start` is the log
    position at which the current term began.
    """

    term: int
    is_primary: bool
    received: int
    applied: int
    leaving: bool
    term_start: int


class Column(NamedTuple):
    """A result column: name, type OID, type size and modifier from the endpoint."""

    name: bytes
    oid: int
    size: int
    modifier: int


class StatementShape(NamedTuple):
    """Parameter types and columns of a statement.

    `columns` is None if the statement returns no rows.
    """

    param_oids: tuple[int, ...]
    columns: tuple[Column, ...] | None


class Step(NamedTuple):
    """One statement of a pipeline.

    `params` are raw bytes in the formats of `param_formats` (0 text, 1 binary).
    `result_format` is the format of all result columns. `prepare` keeps the statement
    prepared on the connection, for texts that are likely to be repeated.
    """

    sql: str
    params: tuple[bytes | None, ...] = ()
    param_formats: tuple[int, ...] = ()
    param_oids: tuple[int, ...] = ()
    result_format: int = TEXT_FORMAT
    prepare: bool = True


class QueryResult(NamedTuple):
    """The result of one step; `tag` is the command tag, for example ``INSERT 0 1``."""

    tag: str
    columns: tuple[Column, ...] | None
    rows: Sequence[tuple[bytes | None, ...]]


class EndpointConnection(Protocol):
    """A connection to an endpoint. One pipeline runs at a time."""

    opened_at: float
    """Monotonic time at which the connection was established, in seconds.

    A status that the endpoint reported before this time may be outdated for this
    connection, because the endpoint could rewind its log while the connection was
    being opened.
    """
    verified_term: int
    """Term in which a transaction that may write was last opened here; 0 for none."""

    @property
    def usable(self) -> bool:
        """Whether the connection is open and its state is certain."""
        ...

    @property
    def in_transaction(self) -> bool:
        """Whether the endpoint reports an open or failed transaction."""
        ...

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        """Run the steps in order in one round trip, and return one result for each.

        `timeout` is in seconds. Raises `EndpointError` if a step fails (later steps do
        not run) and `ConnectionLost` if no complete answer arrives. In the latter case,
        and if the call is cancelled, the connection closes itself.
        """
        ...

    async def describe(
        self, sql: str, param_oids: Sequence[int], *, timeout: float
    ) -> StatementShape:
        """Prepare the statement and return its shape without running it."""
        ...

    def close(self) -> None:
        """Close immediately; a late answer is never read."""
        ...


class EndpointConnector(Protocol):
    """Opens connections to endpoints."""

    async def connect(
        self, endpoint: EndpointRecord, database: str, *, timeout: float
    ) -> EndpointConnection:
        """Open a connection; raises `ConnectionLost` or `EndpointError`."""
        ...


class KeyValue(NamedTuple):
    """A key of the key-value service; `revision` is that of the key's last change."""

    key: str
    value: bytes
    revision: int


class KeyValueList(NamedTuple):
    """The keys under a prefix as of the service's `revision`.

    Revisions of lists are in order only if `losses` is the same: it counts how often
    the service was found to have lost changes.
    """

    items: tuple[KeyValue, ...]
    revision: int
    losses: int = 0


class WatchEvent(NamedTuple):
    """A change seen by a watch; `value` is None if the key was deleted.

    An event with an empty key is a progress notification: the watch is alive, and no
    key changed. It is sent when the watch is accepted and then at intervals.
    """

    key: str
    value: bytes | None
    revision: int


class Compare(NamedTuple):
    """Condition that the key's last change has `revision`; 0 if the key is absent."""

    key: str
    revision: int


class Put(NamedTuple):
    """Writes a key, or deletes it if `value` is None."""

    key: str
    value: bytes | None


class PutResult(NamedTuple):
    """Outcome of a compare-and-put; `current` is the state of the compared keys."""

    succeeded: bool
    revision: int
    current: tuple[KeyValue | None, ...]


class StoreUnavailable(Exception):
    """The key-value service did not answer; a change may have taken effect."""


class StoreRefused(Exception):
    """The key-value service rejected a request as invalid; nothing was changed."""


class LeaseExpired(Exception):
    """A put named a lease that no longer exists; nothing was changed."""


class WatchCompacted(Exception):
    """Changes since the start revision were compacted; list the keys again."""


class KeyValueStore(Protocol):
    """The platform's key-value service. All calls raise `StoreUnavailable`."""

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key linearizably. `timeout` is in seconds."""
        ...

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        """Read all keys under a prefix at one revision."""
        ...

    async def compare_and_put(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        *,
        lease: int = 0,
        timeout: float = 2.0,
    ) -> PutResult:
        """Apply all puts atomically if every compare holds.

        Raises `LeaseExpired` if the lease no longer exists, and `StoreRefused` if the
        service rejects the request, for example because it is too large.
        """
        ...

    def watch(self, prefix: str, *, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix, starting at a revision.

        All changes of one revision are yielded before the watch can break, so a watch
        may be resumed at the revision after that of the last event. Raises
        `StoreUnavailable` if the watch breaks, and `WatchCompacted` if the start
        revision has been compacted.
        """
        ...

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Create a lease that expires after `ttl` seconds without renewal."""
        ...

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; return False if it has expired."""
        ...

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        """End a lease and delete its keys."""
        ...

    async def close(self) -> None:
        """Close the connection to the service."""
        ...


class GroupDirectory(Protocol):
    """The last known database groups of the platform."""

    def group(self, database: str) -> GroupRecord | None:
        """Return the last known record, which may be outdated; None if unknown."""
        ...

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Read the record from the platform; raises `StoreUnavailable`."""
        ...


class PeerTransport(Protocol):
    """Transport for single messages between proxies; any message may be lost."""

    @property
    def port(self) -> int:
        """The port on which the transport listens; 0 before `start`."""
        ...

    def start(self, host: str, port: int, receive: Callable[[bytes], None]) -> None:
        """Listen and call `receive` with each message; raises `OSError`."""
        ...

    def send(self, host: str, port: int, message: bytes) -> bool:
        """Send a message without waiting; return False if that is not possible."""
        ...

    def close(self) -> None:
        """Close all sockets."""
        ...


class Login(NamedTuple):
    """The login request of a client.

    `options` holds the startup parameters except user and database, and `peer` the
    client's address and port.
    """

    user: str
    database: str
    options: dict[str, str]
    peer: str


class ClientSession(Protocol):
    """One client's session, as used by the client-side adapter.

    All methods raise `ProxyError` for the proxy's own errors, and `EndpointError` for
    errors from an endpoint, which are passed on to the client.
    """

    @property
    def transaction_status(self) -> bytes:
        """``b"I"`` idle, ``b"T"`` in a transaction, ``b"E"`` in a failed one."""
        ...

    async def describe(self, sql: str, param_oids: Sequence[int]) -> StatementShape:
        """Return parameter types and result columns without running the statement.

        `param_oids` are the types that the client declared; 0 means undeclared.
        """
        ...

    async def execute(self, step: Step) -> QueryResult:
        """Run one statement. Cancelling the call cancels the statement.

        Rows are returned as raw bytes in the step's result format.
        """
        ...

    async def close(self) -> None:
        """Roll back an open transaction and release the connections."""
        ...


class SessionFactory(Protocol):
    """Checks logins and opens sessions."""

    def verifier(self, user: str) -> str | None:
        """Return the SCRAM verifier of the user's contract; None if there is none."""
        ...

    async def open(self, login: Login) -> ClientSession:
        """Open a session after a successful login; raises `ProxyError`."""
        ...
