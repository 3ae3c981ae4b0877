"""Messages between proxies, their encoding and their authentication.

A message is an `Envelope` with a body, encoded with msgpack. On a stream each frame
carries an HMAC under a key derived from the shared key and a fresh nonce of each side,
over the frame's number; so a frame is valid once, on one connection, in one direction.
A heartbeat travels alone: it is signed with the shared key, names the process that it
is meant for, and carries a number that only grows.

Messages are authenticated but not encrypted, like those to the endpoints.

Versions: fields are only appended, with defaults. A message of a newer version or with
an unknown tag is dropped and counted.
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
    """`Work` on the way to another proxy.

    `left_s` is the time left until the deadline when the message was sent; proxies
    share no clock. `begun` is not sent: the home takes the arrival, which is later
    and so asks no less of a strict read.
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
    """What the sender knows of the customer's writes.

    `mark` is the highest (term, log position) acknowledged, and `lost_term` the
    newest term whose loss of acknowledged writes was already reported; 0 for none.
    """

    mark: tuple[int, int] | None = None
    lost_term: int = 0


class Hello(_Message, tag="hello"):
    """Opens a stream, once in each direction; `to` is the VM that is meant."""

    to: str
    nonce: bytes


class Ready(_Message, tag="ready"):
    """Proves that the dialling side knows the key and both nonces."""


class Heartbeat(_Message, tag="heartbeat"):
    """Says that the sender runs. `to` and `to_incarnation` name the receiver."""

    to: str
    to_incarnation: int
    number: int
    leaving: bool = False


class Read(_Message, tag="read"):
    """Run a read by itself."""

    id: int
    database: str
    work: WorkTerms
    step: Step
    known: KnownWrites


class Write(_Message, tag="write"):
    """Run a write by itself."""

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
    """Terms of a transaction that its first statement opens."""

    sql: str
    read_only: bool


class Execute(_Message, tag="execute"):
    """Run a statement of a transaction; `begin` comes with the first one only.

    `failed` is the transaction's state as the entry proxy knows it; a rollback to a
    savepoint resets it.
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
    """Roll a transaction back and answer."""

    id: int
    transaction: int


class Abort(_Message, tag="abort"):
    """Roll a transaction back at once; there is no answer."""

    transaction: int


class Cancel(_Message, tag="cancel"):
    """Cancel a request; there is no answer to either any more."""

    id: int


class Done(_Message, tag="done"):
    """A statement's or a commit's answer.

    `mark` is the customer's mark at the home, `opened` whether the transaction has
    reached an endpoint.
    """

    id: int
    result: QueryResult
    mark: tuple[int, int] | None = None
    opened: bool = False


class Described(_Message, tag="described"):
    """A statement's shape; None when the transaction is not opened yet."""

    id: int
    shape: StatementShape | None


class Refused(_Message, tag="refused"):
    """The request was not run here and may go to another proxy."""

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


class _Outline(_Message):
    version: int
    vm: str
    incarnation: int
    body: msgspec.Raw


class BadMessage(Exception):
    """A message that cannot be used; the text is the reason that is counted."""


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
        """Bytes that were sent and that the system has not taken yet."""
        ...

    def send(self, message: Message) -> None:
        """Send a message; raises `PeerLost` or `MessageTooLarge` if it was not."""
        ...

    async def flush(self) -> None:
        """Wait while too much that was sent is not taken; raises `PeerLost`."""
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
        """Return the message in an encoded envelope."""
        return _encode(Envelope(VERSION, self.vm, self.incarnation, message))


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode
_decode_outline = msgspec.msgpack.Decoder(_Outline).decode
_TAGS = frozenset(t.__struct_config__.tag for t in Message.__args__)


def open_envelope(data: bytes) -> Envelope:
    """Decode an authentic message; raises `BadMessage`."""
    try:
        envelope = _decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise BadMessage(_fault_of(data)) from None
    if envelope.version > VERSION:
        raise BadMessage("newer_version")
    return envelope


def _fault_of(data: bytes) -> str:
    try:
        outline = _decode_outline(data)
        if outline.version > VERSION:
            return "newer_version"
        tag = msgspec.msgpack.decode(outline.body)[0]
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return "malformed"
    except (IndexError, KeyError, TypeError):
        return "malformed"
    known = not isinstance(tag, str) or tag in _TAGS
    return "malformed" if known else "unknown_type"


class PeerKeys:
    """The shared keys: the first signs, every key is accepted.

    To replace a key without an outage, add the new one as the second key on all VMs,
    then make it the first on all, then remove the old one.
    """

    __slots__ = ("_keys",)

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = tuple(key.encode() for key in keys)

    @property
    def signing_key(self) -> bytes:
        """The key that signs."""
        return self._keys[0]

    def sign(self, context: bytes, data: bytes) -> bytes:
        """Return the MAC of data; `context` keeps uses of a key apart."""
        return sign(self._keys[0], context, data)

    def find_key(self, context: bytes, data: bytes, mac: bytes) -> bytes | None:
        """Return the key under which the MAC is right; None for none of them."""
        for key in self._keys:
            if hmac.compare_digest(sign(key, context, data), mac):
                return key
        return None


def sign(key: bytes, context: bytes, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of data in a context of fixed length per use."""
    return hmac.digest(key, context + data, "sha256")


HEARTBEAT_CONTEXT = b"celeryjunction heartbeat"
MAX_HEARTBEAT_BYTES = 1024


def seal_heartbeat(keys: PeerKeys, me: Identity, heartbeat: Heartbeat) -> bytes:
    """Return a signed heartbeat."""
    data = me.seal(heartbeat)
    return keys.sign(HEARTBEAT_CONTEXT, data) + data


class HeartbeatVerifier:
    """Opens heartbeats that are meant for this process and were not seen before."""

    __slots__ = ("_keys", "_me", "_seen")

    def __init__(self, keys: PeerKeys, me: Identity) -> None:
        self._keys = keys
        self._me = me
        self._seen: dict[str, tuple[int, int]] = {}

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
        if (body.to, body.to_incarnation) != (self._me.vm, self._me.incarnation):
            raise BadMessage("foreign")
        number = (envelope.incarnation, body.number)
        if number <= self._seen.get(envelope.vm, (0, 0)):
            raise BadMessage("replayed")
        self._seen[envelope.vm] = number
        return envelope

    def retain(self, vms: frozenset[str]) -> None:
        """Forget the numbers of all but these VMs."""
        self._seen = {vm: seen for vm, seen in self._seen.items() if vm in vms}


def terms_from_work(work: Work, now: float) -> WorkTerms:
    """Return the terms of work to send at the monotonic time `now`."""
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
    """Return the work for terms that arrived at the monotonic time `now`."""
    work = Work(
        customer=terms.customer,
        rank=terms.rank,
        share=terms.share,
        begun=now,
        deadline_s=terms.left_s,
        staleness_s=terms.staleness_s,
        repeatable=terms.repeatable,
        replicated=terms.replicated,
        shed_order=terms.shed_order,
        minimum=terms.minimum,
    )
    work.deadline_s = terms.deadline_s  # Errors name the contract's deadline.
    return work
