"""Versioned keys with history and leases, as etcd v3 defines them.

This module holds the data of the stand-in for the key-value service and does no I/O.
Requests and responses are the protobuf messages of the etcd v3 API.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from aetcd import rpc
from grpc import StatusCode

from celeryjunction.ports import Clock

MAX_VALUE_BYTES = 1024 * 1024
MAX_TXN_OPERATIONS = 128
_LEASE_NOT_FOUND = "etcdserver: requested lease not found"


class RequestError(Exception):
    """A request that the service answers with an error status."""

    def __init__(self, code: StatusCode, details: str) -> None:
        super().__init__(details)
        self.code = code
        self.details = details


class Change(NamedTuple):
    """A changed key: its event, and the key before the change if it existed."""

    event: rpc.Event
    previous: rpc.KeyValue | None


class Lease:
    """A lease and the keys attached to it.

    `ttl` is in seconds, `deadline` in monotonic seconds.
    """

    __slots__ = ("deadline", "id", "keys", "ttl")

    def __init__(self, lease_id: int, ttl: int, deadline: float) -> None:
        self.id = lease_id
        self.ttl = ttl
        self.deadline = deadline
        self.keys: set[bytes] = set()


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key lies in a range as encoded by etcd.

    An empty `end` means the single key `start`, and a NUL byte no upper bound.
    """
    if not end:
        return key == start
    return key >= start and (end == b"\0" or key < end)


class VersionedKeys:
    """Keys with revisions, a bounded history of changes, and leases.

    `on_commit` callbacks run after each new revision. The history keeps the changes of
    at least the last `history_limit` revisions; older revisions count as compacted.
    """

    __slots__ = (
        "_clock",
        "_history",
        "_history_limit",
        "_items",
        "_leases",
        "_next_lease_id",
        "_sorted_keys",
        "cluster_id",
        "compacted_revision",
        "on_commit",
        "revision",
    )

    def __init__(self, *, clock: Clock, history_limit: int = 10_000) -> None:
        self._clock = clock
        self._history_limit = history_limit
        self._items: dict[bytes, rpc.KeyValue] = {}
        self._sorted_keys: list[bytes] = []
        self._history: list[list[Change]] = []
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = 7_000_000_000_000_001
        self.revision = 1
        self.cluster_id = 1
        self.compacted_revision = 0
        self.on_commit: set[Callable[[], None]] = set()

    @property
    def key_count(self) -> int:
        """Number of existing keys."""
        return len(self._sorted_keys)

    @property
    def lease_count(self) -> int:
        """Number of leases that have not ended."""
        return len(self._leases)

    def header(self) -> rpc.ResponseHeader:
        """Return a response header with the current revision."""
        return rpc.ResponseHeader(
            cluster_id=self.cluster_id,
            member_id=1,
            revision=self.revision,
            raft_term=1,
        )

    # Reads

    def range(self, request: rpc.RangeRequest) -> rpc.RangeResponse:
        """Answer a Range request, also for a past revision."""
        found = self._select(request.key, request.range_end, request.revision)
        found.sort(key=_sort_key(request))
        if request.sort_order == rpc.RangeRequest.DESCEND:
            found.reverse()
        returned = found[: request.limit] if request.limit else found
        if request.count_only:
            returned = []
        if request.keys_only:
            returned = [_without_value(item) for item in returned]
        return rpc.RangeResponse(
            header=self.header(),
            kvs=returned,
            more=bool(request.limit) and len(found) > request.limit,
            count=len(found),
        )

    def _select(self, start: bytes, end: bytes, revision: int = 0) -> list:
        if revision > self.revision:
            raise RequestError(
                StatusCode.OUT_OF_RANGE,
                "etcdserver: mvcc: required revision is a future revision",
            )
        if 0 < revision < self.compacted_revision:
            raise RequestError(
                StatusCode.OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            )
        found = {key: self._items[key] for key in self._keys_in(start, end)}
        if 0 < revision < self.revision:
            self._undo_after(revision, found, start, end)
        return list(found.values())

    def _keys_in(self, start: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [start] if start in self._items else []
        low = bisect_left(self._sorted_keys, start)
        high = None if end == b"\0" else bisect_left(self._sorted_keys, end)
        return self._sorted_keys[low:high]

    def _undo_after(self, revision: int, found: dict, start: bytes, end: bytes) -> None:
        for changes in reversed(self._history_since(revision + 1)):
            for event, previous in reversed(changes):
                key = event.kv.key
                if not in_range(key, start, end):
                    continue
                found.pop(key, None)
                if previous is not None:
                    found[key] = previous

    def _history_since(self, revision: int) -> list[list[Change]]:
        first_revision = self.revision - len(self._history) + 1
        return self._history[max(0, revision - first_revision) :]

    def changes_since(self, revision: int) -> Iterable[Change]:
        """Return the changes in the history from a revision on, in order."""
        return (
            change for changes in self._history_since(revision) for change in changes
        )

    # Writes

    def put(self, request: rpc.PutRequest) -> rpc.PutResponse:
        """Answer a Put request."""
        self._check_put(request)
        changes: list[Change] = []
        previous = self._put(request, changes)
        self._commit(changes)
        return rpc.PutResponse(
            header=self.header(), prev_kv=previous if request.prev_kv else None
        )

    def delete(self, request: rpc.DeleteRangeRequest) -> rpc.DeleteRangeResponse:
        """Answer a DeleteRange request."""
        changes: list[Change] = []
        deleted = self._delete(request.key, request.range_end, changes)
        self._commit(changes)
        return rpc.DeleteRangeResponse(
            header=self.header(),
            deleted=len(deleted),
            prev_kvs=deleted if request.prev_kv else (),
        )

    def txn(self, request: rpc.TxnRequest) -> rpc.TxnResponse:
        """Answer a Txn request; an invalid part leaves all keys unchanged."""
        _check_txn(request)
        succeeded = all(self._compare_succeeds(compare) for compare in request.compare)
        operations = request.success if succeeded else request.failure
        for operation in operations:
            if operation.WhichOneof("request") == "request_put":
                self._check_put(operation.request_put)
        changes: list[Change] = []
        responses = [
            self._run_operation(operation, changes) for operation in operations
        ]
        self._commit(changes)
        return rpc.TxnResponse(
            header=self.header(), succeeded=succeeded, responses=responses
        )

    def _run_operation(self, operation: rpc.RequestOp, changes: list) -> rpc.ResponseOp:
        kind = operation.WhichOneof("request")
        if kind == "request_range":
            return rpc.ResponseOp(response_range=self.range(operation.request_range))
        if kind == "request_put":
            previous = self._put(operation.request_put, changes)
            prev_kv = previous if operation.request_put.prev_kv else None
            return rpc.ResponseOp(
                response_put=rpc.PutResponse(header=self.header(), prev_kv=prev_kv)
            )
        request = operation.request_delete_range
        deleted = self._delete(request.key, request.range_end, changes)
        response = rpc.DeleteRangeResponse(
            header=self.header(),
            deleted=len(deleted),
            prev_kvs=deleted if request.prev_kv else (),
        )
        return rpc.ResponseOp(response_delete_range=response)

    def _compare_succeeds(self, compare: rpc.Compare) -> bool:
        keys = self._keys_in(compare.key, compare.range_end) or [compare.key]
        return all(_item_satisfies(compare, self._items.get(key)) for key in keys)

    def _check_put(self, request: rpc.PutRequest) -> None:
        if not request.key:
            raise RequestError(
                StatusCode.INVALID_ARGUMENT, "etcdserver: key is not provided"
            )
        if len(request.value) > MAX_VALUE_BYTES:
            raise RequestError(
                StatusCode.INVALID_ARGUMENT, "etcdserver: request is too large"
            )
        if request.ignore_value or request.ignore_lease:
            raise RequestError(StatusCode.UNIMPLEMENTED, "ignore_value, ignore_lease")
        if request.lease and request.lease not in self._leases:
            raise RequestError(StatusCode.NOT_FOUND, _LEASE_NOT_FOUND)

    def _put(self, request: rpc.PutRequest, changes: list) -> rpc.KeyValue | None:
        revision = self.revision + 1
        previous = self._items.get(request.key)
        if previous is None:
            insort(self._sorted_keys, request.key)
        item = rpc.KeyValue(
            key=request.key,
            value=request.value,
            create_revision=previous.create_revision if previous else revision,
            mod_revision=revision,
            version=previous.version + 1 if previous else 1,
            lease=request.lease,
        )
        self._detach_from_lease(previous)
        if request.lease:
            self._leases[request.lease].keys.add(request.key)
        self._items[request.key] = item
        event = rpc.Event(type=rpc.Event.PUT, kv=item)
        changes.append(Change(event, previous))
        return previous

    def _delete(self, start: bytes, end: bytes, changes: list) -> list[rpc.KeyValue]:
        deleted = []
        for key in self._keys_in(start, end):
            previous = self._items.pop(key)
            del self._sorted_keys[bisect_left(self._sorted_keys, key)]
            self._detach_from_lease(previous)
            tombstone = rpc.KeyValue(key=key, mod_revision=self.revision + 1)
            event = rpc.Event(type=rpc.Event.DELETE, kv=tombstone)
            changes.append(Change(event, previous))
            deleted.append(previous)
        return deleted

    def _detach_from_lease(self, item: rpc.KeyValue | None) -> None:
        if item is not None and item.lease in self._leases:
            self._leases[item.lease].keys.discard(item.key)

    def _commit(self, changes: list[Change]) -> None:
        if not changes:
            return
        self.revision += 1
        self._history.append(changes)
        # Trims in blocks, because each removal from the front moves the whole list.
        if len(self._history) > self._history_limit * 5 // 4:
            self.compact(self.revision - self._history_limit + 1)
        for callback in tuple(self.on_commit):
            callback()

    def compact(self, revision: int) -> None:
        """Drop the history before a revision.

        Raises `RequestError` if the revision is compacted already or in the future.
        """
        if revision > self.revision or revision <= self.compacted_revision:
            raise RequestError(
                StatusCode.OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted"
                if revision <= self.compacted_revision
                else "etcdserver: mvcc: required revision is a future revision",
            )
        self._history = self._history_since(revision)
        self.compacted_revision = revision

    # Leases

    def grant(self, request: rpc.LeaseGrantRequest) -> rpc.LeaseGrantResponse:
        """Answer a LeaseGrant request."""
        lease_id = request.ID
        if lease_id in self._leases:
            raise RequestError(
                StatusCode.FAILED_PRECONDITION, "etcdserver: lease already exists"
            )
        if not lease_id:
            lease_id, self._next_lease_id = self._next_lease_id, self._next_lease_id + 1
        ttl = max(1, request.TTL)
        deadline = self._clock.monotonic() + ttl
        self._leases[lease_id] = Lease(lease_id, ttl, deadline)
        return rpc.LeaseGrantResponse(header=self.header(), ID=lease_id, TTL=ttl)

    def keep_alive(
        self, request: rpc.LeaseKeepAliveRequest
    ) -> rpc.LeaseKeepAliveResponse:
        """Answer a LeaseKeepAlive request; a TTL of 0 means no such lease exists."""
        lease = self._leases.get(request.ID)
        if lease is not None:
            lease.deadline = self._clock.monotonic() + lease.ttl
        return rpc.LeaseKeepAliveResponse(
            header=self.header(), ID=request.ID, TTL=lease.ttl if lease else 0
        )

    def revoke(self, request: rpc.LeaseRevokeRequest) -> rpc.LeaseRevokeResponse:
        """Answer a LeaseRevoke request."""
        if request.ID not in self._leases:
            raise RequestError(StatusCode.NOT_FOUND, _LEASE_NOT_FOUND)
        self._end_lease(request.ID)
        return rpc.LeaseRevokeResponse(header=self.header())

    def time_to_live(
        self, request: rpc.LeaseTimeToLiveRequest
    ) -> rpc.LeaseTimeToLiveResponse:
        """Answer a LeaseTimeToLive request; a TTL of -1 means no such lease exists."""
        lease = self._leases.get(request.ID)
        if lease is None:
            return rpc.LeaseTimeToLiveResponse(
                header=self.header(), ID=request.ID, TTL=-1
            )
        return rpc.LeaseTimeToLiveResponse(
            header=self.header(),
            ID=request.ID,
            TTL=max(0, int(lease.deadline - self._clock.monotonic())),
            grantedTTL=lease.ttl,
            keys=sorted(lease.keys) if request.keys else (),
        )

    def leases(self) -> rpc.LeaseLeasesResponse:
        """Answer a LeaseLeases request."""
        statuses = [rpc.LeaseStatus(ID=lease_id) for lease_id in self._leases]
        return rpc.LeaseLeasesResponse(header=self.header(), leases=statuses)

    def expire(self) -> None:
        """End the leases whose deadline has passed and delete their keys."""
        now = self._clock.monotonic()
        for lease in [each for each in self._leases.values() if each.deadline <= now]:
            self._end_lease(lease.id)

    def _end_lease(self, lease_id: int) -> None:
        changes: list[Change] = []
        for key in sorted(self._leases[lease_id].keys):
            self._delete(key, b"", changes)
        del self._leases[lease_id]
        self._commit(changes)


def _without_value(item: rpc.KeyValue) -> rpc.KeyValue:
    stripped = rpc.KeyValue()
    stripped.CopyFrom(item)
    stripped.value = b""
    return stripped


def _sort_key(request: rpc.RangeRequest) -> Callable[[rpc.KeyValue], object]:
    if (
        request.min_mod_revision
        or request.max_mod_revision
        or request.min_create_revision
        or request.max_create_revision
    ):
        raise RequestError(StatusCode.UNIMPLEMENTED, "revision filters of a range")
    field = {
        rpc.RangeRequest.KEY: "key",
        rpc.RangeRequest.VERSION: "version",
        rpc.RangeRequest.CREATE: "create_revision",
        rpc.RangeRequest.MOD: "mod_revision",
        rpc.RangeRequest.VALUE: "value",
    }[request.sort_target]
    return lambda item: getattr(item, field)


def _check_txn(request: rpc.TxnRequest) -> None:
    for operations in (request.success, request.failure):
        if max(len(operations), len(request.compare)) > MAX_TXN_OPERATIONS:
            raise RequestError(
                StatusCode.INVALID_ARGUMENT,
                "etcdserver: too many operations in txn request",
            )
        written: set[bytes] = set()
        for operation in operations:
            _check_operation(operation, written)


def _check_operation(operation: rpc.RequestOp, written: set[bytes]) -> None:
    kind = operation.WhichOneof("request")
    if kind == "request_txn":
        raise RequestError(StatusCode.UNIMPLEMENTED, "nested transactions")
    if kind == "request_put":
        key = operation.request_put.key
    elif kind == "request_delete_range":
        key = operation.request_delete_range.key
    else:
        return
    if key in written:
        raise RequestError(
            StatusCode.INVALID_ARGUMENT,
            "etcdserver: duplicate key given in txn request",
        )
    written.add(key)


def _item_satisfies(compare: rpc.Compare, item: rpc.KeyValue | None) -> bool:
    target = compare.target
    if target == rpc.Compare.VALUE:
        if item is None:
            return False
        actual, expected = item.value, compare.value
    else:
        field = {
            rpc.Compare.VERSION: "version",
            rpc.Compare.CREATE: "create_revision",
            rpc.Compare.MOD: "mod_revision",
            rpc.Compare.LEASE: "lease",
        }[target]
        actual = getattr(item, field) if item is not None else 0
        expected = getattr(compare, field)
    return {
        rpc.Compare.EQUAL: actual == expected,
        rpc.Compare.GREATER: actual > expected,
        rpc.Compare.LESS: actual < expected,
        rpc.Compare.NOT_EQUAL: actual != expected,
    }[compare.result]
