"""Messages between proxies, their encoding and their authentication.

A message is an `Envelope` with a body, encoded with msgpack. On a stream, each frame
carries an HMAC that covers the frame's number, under a key derived from the shared key
and a fresh nonce of each side. A frame is therefore valid once, on one connection and
in one direction. A heartbeat is sent outside of streams: it is signed with the shared
key, names the receiving process, and carries a number that only increases.

Messages are authenticated but not encrypted, like those to the endpoints.

Compatibility: fields are only appended, with defaults. A message of a newer version or
with an unknown tag is dropped and counted.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from celeryjunction.contract import Rank, ShedOrder
from celeryjunction.ports import QueryResult, StatementShape, Step
from celeryjunction.work import Work

VERSION = 1
MAC_BYTES = 32
NONCE_BYTES = 16

OnDrop = Callable[[str], None]
"""Called with the reason for each message that is dropped."""


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages."""


class WorkTerms(_Message):
    """`Work` as sent to another proxy.

    `left_s` is the time left until the deadline when the message was sent, because
    proxies share no clock. `started_at` is not sent: the home uses the time of arrival,
    which is later and so requires at least the same freshness of a strict read.
    """

    customer: str
    rank: Rank
    share: float
    left_s: float
    deadline_s: float
    staleness_s: float
    repeatable: bool
    replicated: bool
    shed_order: ShedOrder | None
    minimum: tuple[int, int] | None


class KnownWrites(_Message):
    """Acknowledged writes of the customer that the sender knows of.

    `mark` is the highest acknowledged (term, log position). `lost_term` is the newest
    term whose loss of acknowledged writes was already reported; 0 for none.
    """

    mark: tuple[int, int] | None = None
    lost_term: int = 0


class Hello(_Message, tag="hello"):
    """Opens a stream, once in each direction; `to` names the receiving VM."""

    to: str
    nonce: bytes


class Ready(_Message, tag="ready"):
    """Proves that the side that opened the connection knows the key and both nonces."""


class Heartbeat(_Message, tag="heartbeat"):
    """Shows that the sender runs. `to` and `to_incarnation` name the receiver."""

    to: str
    to_incarnation: int
    number: int
    leaving: bool = False


class Read(_Message, tag="read"):
    """Run a read outside a transaction."""

    id: int
    database: str
    work: WorkTerms
    step: Step
    known: KnownWrites


class Write(_Message, tag="write"):
    """Run a write outside a transaction."""

    id: int
    database: str
    work: WorkTerms
    step: Step
    known: KnownWrites


class Describe(_Message, tag="describe"):
    """Describe a statement; in a transaction when `transaction` is not 0."""

    id: int
    database: str
    work: WorkTerms
    step: Step
    transaction: int = 0


class Begin(_Message):
    """Options of a transaction; sent with the first statement, which opens it."""

    sql: str
    read_only: bool


class Execute(_Message, tag="execute"):
    """Run a statement of a transaction; `begin` is set for the first one only.

    `failed` is the transaction's state at the entry proxy; a rollback to a savepoint
    resets it.
    """

    id: int
    transaction: int
    database: str
    work: WorkTerms
    step: Step
    known: KnownWrites
    begin: Begin | None = None
    failed: bool = False


class Commit(_Message, tag="commit"):
    """Commit a transaction."""

    id: int
    transaction: int
    work: WorkTerms


class Rollback(_Message, tag="rollback"):
    """Roll a transaction back; answered with `Done`."""

    id: int
    transaction: int


class Abort(_Message, tag="abort"):
    """Roll a transaction back at once; not answered."""

    transaction: int


class Cancel(_Message, tag="cancel"):
    """Cancel a request; not answered. An answer to the request is then ignored."""

    id: int


class Done(_Message, tag="done"):
    """Result of a statement, a commit or a rollback.

    `mark` is the customer's mark at the home; `opened` says whether the transaction
    is open at an endpoint.
    """

    id: int
    result: QueryResult
    mark: tuple[int, int] | None = None
    opened: bool = False


class Described(_Message, tag="described"):
    """A statement's shape; None if its transaction is not opened yet."""

    id: int
    shape: StatementShape | None


class Refused(_Message, tag="refused"):
    """The request was not run and may be sent to another proxy."""

    id: int
    reason: str


class Failed(_Message, tag="failed"):
    """A `ProxyError`."""

    id: int
    kind: str
    details: dict[str, Any]
    opened: bool = False


class EndpointFailed(_Message, tag="endpoint_failed"):
    """An `EndpointError`."""

    id: int
    fields: dict[str, str]
    step: int
    opened: bool = False


Request = Read | Write | Describe | Execute | Commit | Rollback
Answer = Done | Described | Refused | Failed | EndpointFailed
Message = Hello | Ready | Heartbeat | Request | Abort | Cancel | Answer


class Envelope(_Message):
    """A message with its version and the process that sent it."""

    version: int
    vm: str
    incarnation: int
    body: Message


class _UndecodedEnvelope(_Message):
    """An envelope whose body is left undecoded, to find out why decoding failed."""

    version: int
    vm: str
    incarnation: int
    body: msgspec.Raw


class BadMessage(Exception):
    """A message that must be dropped; the text is the reason that is counted."""


class PeerLost(Exception):
    """The connection to a peer broke or could not be opened."""


class MessageTooLarge(Exception):
    """A message is larger than peers accept; nothing was sent."""


class PeerStream(Protocol):
    """An authenticated connection to another proxy, messages in order."""

    vm: str
    """VM at the other end."""
    incarnation: int
    """Incarnation of the process at the other end."""

    @property
    def closed(self) -> bool:
        """Whether nothing can be sent any more."""
        ...

    @property
    def backlog(self) -> int:
        """Bytes that were sent and not yet passed to the operating system."""
        ...

    def send(self, message: Message) -> None:
        """Send a message; raises `PeerLost` or `MessageTooLarge` if it was not sent."""
        ...

    async def flush(self) -> None:
        """Wait while the backlog is too large; raises `PeerLost`."""
        ...

    async def receive(self) -> Message:
        """Return the next valid message; raises `PeerLost`."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...


class Identity:
    """The name and incarnation under which this process sends."""

    __slots__ = ("incarnation", "vm")

    def __init__(self, vm: str, incarnation: int) -> None:
        self.vm = vm
        self.incarnation = incarnation

    def seal(self, message: Message) -> bytes:
        """Return the message in an encoded `Envelope` of this process."""
        return _encode(Envelope(VERSION, self.vm, self.incarnation, message))


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode
_decode_envelope_only = msgspec.msgpack.Decoder(_UndecodedEnvelope).decode
_TAGS = frozenset(t.__struct_config__.tag for t in Message.__args__)


def open_envelope(data: bytes) -> Envelope:
    """Decode an authentic message; raises `BadMessage`."""
    try:
        envelope = _decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise BadMessage(_drop_reason(data)) from None
    if envelope.version > VERSION:
        raise BadMessage("newer_version")
    return envelope


def _drop_reason(data: bytes) -> str:
    """Return why the data cannot be decoded as an envelope."""
    try:
        envelope = _decode_envelope_only(data)
        if envelope.version > VERSION:
            return "newer_version"
        tag = msgspec.msgpack.decode(envelope.body)[0]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return "malformed"
    except (IndexError, KeyError, TypeError):
        return "malformed"
    has_known_tag = not isinstance(tag, str) or tag in _TAGS
    return "malformed" if has_known_tag else "unknown_type"


class PeerKeys:
    """The shared keys: the first one signs, each one is accepted.

    To replace a key without an outage, add the new key as the second one on all VMs,
    then make it the first on all, then remove the old key.
    """

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = tuple(key.encode() for key in keys)

    @property
    def signing_key(self) -> bytes:
        """The key that signs outgoing messages."""
        return self._keys[0]

    def sign(self, context: bytes, data: bytes) -> bytes:
        """Return the MAC of data; for `context` see the function `sign`."""
        return sign(self._keys[0], context, data)

    def find_key(self, context: bytes, data: bytes, mac: bytes) -> bytes | None:
        """Return the key under which the MAC is valid; None if no key matches."""
        for key in self._keys:
            if hmac.compare_digest(sign(key, context, data), mac):
                return key
        return None


def sign(key: bytes, context: bytes, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of `context` followed by data.

    `context` separates the uses of a key. It must have a fixed length for each use,
    because nothing separates it from the data.
    """
    return hmac.digest(key, context + data, "sha256")


HEARTBEAT_CONTEXT = b"celeryjunction heartbeat"
MAX_HEARTBEAT_BYTES = 1024


def seal_heartbeat(keys: PeerKeys, identity: Identity, heartbeat: Heartbeat) -> bytes:
    """Return an encoded heartbeat, preceded by its MAC."""
    data = identity.seal(heartbeat)
    return keys.sign(HEARTBEAT_CONTEXT, data) + data


class HeartbeatVerifier:
    """Decodes heartbeats that are addressed to this process and are no replays."""

    __slots__ = ("_identity", "_keys", "_last_numbers")

    def __init__(self, keys: PeerKeys, identity: Identity) -> None:
        self._keys = keys
        self._identity = identity
        self._last_numbers: dict[str, tuple[int, int]] = {}

    def open(self, data: bytes) -> Envelope:
        """Return a valid heartbeat's envelope; raises `BadMessage`."""
        if len(data) > MAX_HEARTBEAT_BYTES:
            raise BadMessage("oversized")
        mac, content = data[:MAC_BYTES], data[MAC_BYTES:]
        if self._keys.find_key(HEARTBEAT_CONTEXT, content, mac) is None:
            raise BadMessage("authentication")
        envelope = open_envelope(content)
        body = envelope.body
        if not isinstance(body, Heartbeat):
            raise BadMessage("unexpected")
        if (body.to, body.to_incarnation) != (
            self._identity.vm,
            self._identity.incarnation,
        ):
            raise BadMessage("foreign")
        number = (envelope.incarnation, body.number)
        if number <= self._last_numbers.get(envelope.vm, (0, 0)):
            raise BadMessage("replayed")
        self._last_numbers[envelope.vm] = number
        return envelope

    def retain(self, vms: frozenset[str]) -> None:
        """Discard the last heartbeat numbers of all but these VMs."""
        self._last_numbers = {
            vm: number for vm, number in self._last_numbers.items() if vm in vms
        }


def terms_from_work(work: Work, now: float) -> WorkTerms:
    """Return `work` as sent at the monotonic time `now`."""
    return WorkTerms(
        work.customer,
        work.rank,
        work.share,
        work.deadline - now,
        work.deadline_s,
        work.staleness_s,
        work.repeatable,
        work.replicated,
        work.shed_order,
        work.minimum,
    )


def work_from_terms(terms: WorkTerms, now: float) -> Work:
    """Return the work of a message that arrived at the monotonic time `now`."""
    work = Work(
        customer=terms.customer,
        rank=terms.rank,
        share=terms.share,
        started_at=now,
        deadline_s=terms.left_s,
        staleness_s=terms.staleness_s,
        repeatable=terms.repeatable,
        replicated=terms.replicated,
        shed_order=terms.shed_order,
        minimum=terms.minimum,
    )
    work.deadline_s = terms.deadline_s  # Errors show the deadline of the contract.
    return work
