"""Ports: what the core needs from endpoints, the platform and time.

The adapters implement these protocols; tests implement them with small fakes. The
values that cross a port are defined here as well.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NamedTuple, Protocol

import msgspec

TEXT_FORMAT = 0
BINARY_FORMAT = 1


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> float:
        """Seconds of a clock that never goes back; the origin has no meaning."""
        ...

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        ...


class SystemClock:
    """The operating system's clocks, in seconds.

    The methods are the standard library's own functions: a statement reads the clock
    some fifteen times, and a wrapper would cost as much again.
    """

    __slots__ = ()

    monotonic = staticmethod(time.monotonic)
    wall = staticmethod(time.time)


class BootClock:
    """Clocks for proofs that must not outlive a suspension of the VM, in seconds.

    The steady clock of the event loop stands still while a VM is suspended;
    ``CLOCK_BOOTTIME`` does not.
    """

    __slots__ = ()

    @staticmethod
    def monotonic() -> float:
        """Seconds since the boot, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    wall = staticmethod(time.time)


class EndpointRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint as the platform's group record describes it."""

    name: str
    host: str
    port: int
    zone: str
    connections: int = 20
    """Connections that the endpoint accepts in all."""
    slots: int = 3
    """Statements that the endpoint runs at once."""
    leaving: bool = False


class GroupRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A database group as the platform's key-value service describes it.

    `promotion` is ``"majority"`` when a promotion takes effect only after a majority
    of the endpoints recorded the new term, and ``"single"`` when that is not known.
    """

    name: str
    term: int
    primary: str
    endpoints: tuple[EndpointRecord, ...]
    promotion: str = "majority"

    @property
    def majority(self) -> int:
        """Number of endpoints that form a majority of the group."""
        return len(self.endpoints) // 2 + 1


class EndpointStatus(NamedTuple):
    """An endpoint's own word about itself.

    Log positions count entries of the log. `applied` is what reads at the endpoint
    see; `received` may be ahead of it on a replica. `term_start` is the log position
    at which the current term began.
    """

    term: int
    is_primary: bool
    received: int
    applied: int
    leaving: bool
    term_start: int


class Column(NamedTuple):
    """A result column: name, type OID, type size and modifier as the endpoint gave."""

    name: bytes
    oid: int
    size: int
    modifier: int


class StatementShape(NamedTuple):
    """What a statement takes and returns: `columns` is None when it returns no rows."""

    param_oids: tuple[int, ...]
    columns: tuple[Column, ...] | None


class Step(NamedTuple):
    """One statement of a pipeline.

    `params` are the raw bytes in the formats of `param_formats` (0 text, 1 binary);
    `result_format` asks for all result columns in one format. `prepare` keeps the
    statement prepared on the connection, for texts that come again.
    """

    sql: str
    params: tuple[bytes | None, ...] = ()
    param_formats: tuple[int, ...] = ()
    param_oids: tuple[int, ...] = ()
    result_format: int = TEXT_FORMAT
    prepare: bool = True


class QueryResult(NamedTuple):
    """The answer to one step: `tag` is the command tag, for example ``INSERT 0 1``."""

    tag: str
    columns: tuple[Column, ...] | None
    rows: Sequence[tuple[bytes | None, ...]]


class EndpointConnection(Protocol):
    """A connection to an endpoint. One pipeline runs at a time."""

    opened_at: float
    """Monotonic time when the connection was established, seconds.

    What the endpoint said before may be outdated on this connection, because it could
    rewind its log while the connection was being opened.
    """
    verified_term: int
    """Term in which a transaction that may write was last opened here; 0 for none."""

    @property
    def usable(self) -> bool:
        """False once the connection is closed or its state is in doubt."""
        ...

    @property
    def in_transaction(self) -> bool:
        """True while the endpoint reports an open or failed transaction."""
        ...

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        """Run the steps in order in one round trip and return one result each.

        `timeout` is in seconds. Raises `EndpointError` when a step fails (the later
        steps did not run) and `ConnectionLost` when no whole answer came; then, and
        when the call is cancelled, the connection closes itself.
        """
        ...

    async def describe(
        self, sql: str, param_oids: Sequence[int], *, timeout: float
    ) -> StatementShape:
        """Prepare the statement and return its shape, without running it."""
        ...

    def close(self) -> None:
        """Close at once. A late answer is never read."""
        ...


class EndpointConnector(Protocol):
    """Opens connections to endpoints."""

    async def connect(
        self, endpoint: EndpointRecord, database: str, *, timeout: float
    ) -> EndpointConnection:
        """Open a connection; raises `ConnectionLost` or `EndpointError`."""
        ...


class KeyValue(NamedTuple):
    """A key of the key-value service; `revision` is that of its last change."""

    key: str
    value: bytes
    revision: int


class KeyValueList(NamedTuple):
    """Keys under a prefix, read at the service's `revision`."""

    items: tuple[KeyValue, ...]
    revision: int


class WatchEvent(NamedTuple):
    """A change seen by a watch; `value` is None when the key was deleted.

    An event with an empty key is a progress note: the watch is alive, and no key
    changed. Notes come when the watch is accepted and then at intervals.
    """

    key: str
    value: bytes | None
    revision: int


class Compare(NamedTuple):
    """Holds when the key's last change has `revision`; 0 means the key is absent."""

    key: str
    revision: int


class Put(NamedTuple):
    """Writes a key, or deletes it when `value` is None."""

    key: str
    value: bytes | None


class PutResult(NamedTuple):
    """Outcome of a compare-and-put; `current` holds the compared keys as they are."""

    succeeded: bool
    revision: int
    current: tuple[KeyValue | None, ...]


class StoreUnavailable(Exception):
    """The key-value service gave no answer; a change may have taken effect."""


class StoreRefused(Exception):
    """The key-value service refused a request as invalid; nothing was changed."""


class LeaseLapsed(Exception):
    """A put named a lease that no longer exists; nothing was changed."""


class WatchCompacted(Exception):
    """The changes from the start revision on are no longer kept; list again."""


class KeyValueStore(Protocol):
    """The platform's key-value service. All calls raise `StoreUnavailable`."""

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key, linearizable. `timeout` is in seconds."""
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
        """Apply all puts in one step if every compare holds.

        Raises `LeaseLapsed` when the lease is gone and `StoreRefused` when the
        service does not take the request, for example because it is too large.
        """
        ...

    def watch(self, prefix: str, *, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from a revision on.

        All changes of one revision are yielded before the watch can break, so a
        watch may be resumed at the revision after the last event's. Raises
        `StoreUnavailable` when the watch breaks and `WatchCompacted` when the start
        revision is no longer kept.
        """
        ...

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Return a new lease that lapses after `ttl` seconds without renewal."""
        ...

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; False when it has lapsed."""
        ...

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        """End a lease and delete its keys."""
        ...

    async def close(self) -> None:
        """Close the connection to the service."""
        ...


class GroupDirectory(Protocol):
    """The database groups, as last known from the platform."""

    def group(self, database: str) -> GroupRecord | None:
        """Return the last known record, which may lag; None for an unknown name."""
        ...

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        """Read the record from the platform; raises `StoreUnavailable`."""
        ...


class PeerTransport(Protocol):
    """Single messages between proxies; any of them may be lost."""

    @property
    def port(self) -> int:
        """The port that is listened on; 0 before `start`."""
        ...

    def start(self, host: str, port: int, receive: Callable[[bytes], None]) -> None:
        """Listen and call `receive` with each message; raises `OSError`."""
        ...

    def send(self, host: str, port: int, message: bytes) -> bool:
        """Send a message if that is possible at once; otherwise return False."""
        ...

    def close(self) -> None:
        """Close all sockets."""
        ...


class Login(NamedTuple):
    """What a client asks for when it connects.

    `options` holds the startup parameters other than user and database.
    """

    user: str
    database: str
    options: dict[str, str]
    peer: str


class ClientSession(Protocol):
    """One client's session, as the client-side adapter drives it.

    All methods raise `ProxyError` for the proxy's own errors and `EndpointError` for
    errors that an endpoint answered, which are passed on to the client.
    """

    @property
    def transaction_status(self) -> bytes:
        """``b"I"`` idle, ``b"T"`` in a transaction, ``b"E"`` in a failed one."""
        ...

    async def describe(self, sql: str, param_oids: Sequence[int]) -> StatementShape:
        """Return parameter types and result columns, without running anything.

        `param_oids` are the types that the client declared; 0 means undeclared.
        """
        ...

    async def execute(self, step: Step) -> QueryResult:
        """Run one statement. Cancelling the call cancels the statement.

        Rows come back as raw bytes in the step's result format.
        """
        ...

    async def close(self) -> None:
        """Roll back what is open and give connections back."""
        ...


class SessionFactory(Protocol):
    """Checks logins and opens sessions."""

    def verifier(self, user: str) -> str | None:
        """Return the SCRAM verifier of the user's contract; None without one."""
        ...

    async def open(self, login: Login) -> ClientSession:
        """Open a session after a good login; raises `ProxyError`."""
        ...
