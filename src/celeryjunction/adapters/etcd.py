"""The platform's key-value service over etcd v3.

The adapter uses aetcd's messages and service stubs on its own channels. aetcd's client
supports a single address, shares one watch stream between all watches and hides broken
watches, whereas this adapter has to fail over and report a broken watch.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence

from aetcd import rpc
from aetcd.utils import prefix_range_end
from grpc import ChannelConnectivity, RpcError, StatusCode, aio

from celeryjunction.ports import (
    Compare,
    KeyValue,
    KeyValueList,
    LeaseExpired,
    Put,
    PutResult,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)
from celeryjunction.store_history import StoreHistory

_PAGE_KEYS = 1_000
"""Keys that one page of `EtcdStore.list` reads."""
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    # A change must be sent at most once, so the library must not retry calls.
    ("grpc.enable_retries", 0),
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    # With the default of 2 minutes, a recovered service could stay unused that long.
    ("grpc.max_reconnect_backoff_ms", 1_000),
)


class _Member:
    """One service address: its channel and the stubs on it."""

    __slots__ = ("address", "channel", "kv", "lease", "watch")

    def __init__(self, address: str) -> None:
        self.address = address
        self.channel = aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        self.kv = rpc.KVStub(self.channel)
        self.lease = rpc.LeaseStub(self.channel)
        self.watch = rpc.WatchStub(self.channel)

    async def wait_until_ready(self) -> None:
        """Wait until the channel is connected; raises `ConnectionError`."""
        state = self.channel.get_state(try_to_connect=True)
        while state is not ChannelConnectivity.READY:
            if state is ChannelConnectivity.TRANSIENT_FAILURE:
                raise ConnectionError(f"cannot connect to {self.address}")
            await self.channel.wait_for_state_change(state)
            state = self.channel.get_state(try_to_connect=True)


_Call = Callable[[_Member, float], Awaitable]


class EtcdStore:
    """`KeyValueStore` over one or more addresses (``host:port``) of an etcd v3 service.

    A call goes to the address that worked last. A failed read is retried at the next
    address. A change is sent at most once, after its channel has connected, because
    the effect of a retried change could not be told from another client's change.

    `name` and `zone` are sent as metadata. `calls` counts calls by method; each watch
    counts as one call. `bytes_sent` and `bytes_received` count the encoded messages,
    without gRPC, HTTP/2 and TCP headers.

    `progress_s` is the time in seconds without a response after which a watch requests
    a progress notification; after twice that time the watch counts as broken.

    `history` tells when the service answers as another cluster: it was restored from a
    copy, and revisions may name other changes than before. They are passed on as they
    are, because contracts that were lost must not go out of force unnoticed.

    Create the store inside a running event loop.
    """

    __slots__ = (
        "_cluster_id",
        "_current",
        "_members",
        "_metadata",
        "_progress_s",
        "bytes_received",
        "bytes_sent",
        "calls",
        "history",
    )

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        name: str = "",
        zone: str = "",
        progress_s: float = 5.0,
    ) -> None:
        if not addresses:
            raise ValueError("the key-value service needs at least one address")
        self._members = [_Member(address) for address in addresses]
        self._current = 0
        self._progress_s = progress_s
        pairs = (("client-name", name), ("client-zone", zone))
        self._metadata = tuple(pair for pair in pairs if pair[1])
        self.calls: Counter[str] = Counter()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.history = StoreHistory()
        self._cluster_id = 0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "addresses", [member.address for member in self._members]
        yield "current", self._members[self._current].address
        yield "calls", self.total_calls

    @property
    def total_calls(self) -> int:
        """Number of calls made so far, including watches."""
        return self.calls.total()

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key, linearizably, within `timeout` seconds."""
        request = rpc.RangeRequest(key=key.encode())
        answer = await self._read("Range", request, timeout)
        return _key_value(answer.kvs[0]) if answer.kvs else None

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        """Read all keys under a prefix at one revision, ordered by key."""
        deadline = _now() + timeout
        end = prefix_range_end(prefix.encode())
        start, revision, items = prefix.encode(), 0, []
        while True:
            request = rpc.RangeRequest(
                key=start, range_end=end, limit=_PAGE_KEYS, revision=revision
            )
            answer = await self._read("Range", request, deadline - _now())
            revision = revision or answer.header.revision
            items.extend(_key_value(item) for item in answer.kvs)
            if not answer.more:
                return KeyValueList(tuple(items), revision)
            start = answer.kvs[-1].key + b"\0"

    async def compare_and_put(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        *,
        lease: int = 0,
        timeout: float = 2.0,
    ) -> PutResult:
        """Apply all puts atomically if every compare holds.

        Raises `LeaseExpired` or `StoreRefused`, in which case nothing was changed.
        """
        reads = [_read_operation(compare) for compare in compares]
        request = rpc.TxnRequest(
            compare=[_compare(compare) for compare in compares],
            success=[_write_operation(put, lease) for put in puts] + reads,
            failure=reads,
        )
        answer = await self._call_once(
            "Txn",
            lambda member, left: self._unary(member.kv.Txn, request, left),
            timeout,
        )
        read_responses = answer.responses[len(answer.responses) - len(reads) :]
        current = (one.response_range.kvs for one in read_responses)
        return PutResult(
            answer.succeeded,
            answer.header.revision,
            tuple(_key_value(kvs[0]) if kvs else None for kvs in current),
        )

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Return a new lease that expires after `ttl` seconds without renewal."""
        request = rpc.LeaseGrantRequest(TTL=ttl)
        answer = await self._call_once(
            "LeaseGrant",
            lambda member, left: self._unary(member.lease.LeaseGrant, request, left),
            timeout,
        )
        return answer.ID

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; return False if it has expired."""

        async def renew(member: _Member, left: float) -> bool:
            call = member.lease.LeaseKeepAlive(timeout=left, metadata=self._metadata)
            try:
                await call.write(self._count_sent(rpc.LeaseKeepAliveRequest(ID=lease)))
                answer = self._count_received(await call.read())
            finally:
                call.cancel()
            if answer is aio.EOF:
                raise StoreUnavailable("the renewal stream ended without an answer")
            return answer.TTL > 0

        return await self._call_any_member("LeaseKeepAlive", renew, timeout)

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        """Revoke a lease and delete its keys; an expired lease is no error."""
        request = rpc.LeaseRevokeRequest(ID=lease)
        with contextlib.suppress(LeaseExpired):
            await self._call_once(
                "LeaseRevoke",
                lambda member, left: self._unary(
                    member.lease.LeaseRevoke, request, left
                ),
                timeout,
            )

    async def watch(
        self, prefix: str, *, start_revision: int, timeout: float = 2.0
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from a revision on.

        Responses without changes yield progress events, which have an empty key.
        Opening the watch may take `timeout` seconds. Raises `StoreUnavailable` if the
        watch breaks or stops responding, and `WatchCompacted` if the service no longer
        keeps the changes from `start_revision` on.
        """
        member = await self._connect_member(_now() + timeout)
        self.calls["Watch"] += 1
        # Makes a member without a leader end the watch.
        metadata = (*self._metadata, ("hasleader", "true"))
        request = _watch_request(prefix, start_revision)
        try:
            with self._translate_errors():
                call = member.watch.Watch(metadata=metadata)
                events = self._read_watch(call, request, timeout)
                async with contextlib.aclosing(events):
                    async for event in events:
                        yield event
        except StoreUnavailable:
            self._advance_past(member)
            raise

    async def close(self) -> None:
        """Close the connections; calls in progress raise `StoreUnavailable`."""
        for member in self._members:
            await member.channel.close()

    async def _read_watch(
        self, call: aio.StreamStreamCall, request: rpc.WatchRequest, timeout: float
    ) -> AsyncIterator[WatchEvent]:
        await call.write(self._count_sent(request))
        wait_s, progress_requested = timeout, True
        read_task = asyncio.ensure_future(call.read())
        try:
            while True:
                await asyncio.wait({read_task}, timeout=wait_s)
                if read_task.done():
                    for event in _watch_events(
                        self._count_received(read_task.result())
                    ):
                        yield event
                    read_task = asyncio.ensure_future(call.read())
                    wait_s, progress_requested = self._progress_s, False
                elif progress_requested:
                    raise StoreUnavailable("the watch stopped responding")
                else:
                    progress = rpc.WatchProgressRequest()
                    request = rpc.WatchRequest(progress_request=progress)
                    await call.write(self._count_sent(request))
                    progress_requested = True
        finally:
            call.cancel()
            await _cancel_read(read_task)

    async def _read(self, method: str, request: object, timeout: float) -> object:
        return await self._call_any_member(
            method,
            lambda member, left: self._unary(getattr(member.kv, method), request, left),
            timeout,
        )

    async def _call_any_member(
        self, method: str, call_member: _Call, timeout: float
    ) -> object:
        """Make an idempotent call at one address after the other until the deadline."""
        deadline = _now() + timeout
        failure = StoreUnavailable("no time left for the call")
        for remaining in range(len(self._members), 0, -1):
            left = deadline - _now()
            if left <= 0:
                break
            member = self._members[self._current]
            self.calls[method] += 1
            try:
                with self._translate_errors():
                    # Half of the time is reserved for the remaining addresses.
                    return await call_member(
                        member, left if remaining == 1 else left / 2
                    )
            except StoreUnavailable as error:
                failure = error
                self._advance_past(member)
        raise failure

    async def _call_once(
        self, method: str, call_member: _Call, timeout: float
    ) -> object:
        """Send a change once, to the first address that connects."""
        deadline = _now() + timeout
        member = await self._connect_member(deadline)
        self.calls[method] += 1
        try:
            with self._translate_errors():
                return await call_member(member, max(0.001, deadline - _now()))
        except StoreUnavailable:
            self._advance_past(member)
            raise

    async def _connect_member(self, deadline: float) -> _Member:
        failure = StoreUnavailable("no time left to connect")
        for remaining in range(len(self._members), 0, -1):
            left = deadline - _now()
            member = self._members[self._current]
            try:
                with self._translate_errors():
                    async with asyncio.timeout(left / 2 if remaining > 1 else left):
                        await member.wait_until_ready()
                    return member
            except StoreUnavailable as error:
                failure = error
                self._advance_past(member)
        raise failure

    def _advance_past(self, member: _Member) -> None:
        """Use the next address, unless another call has already switched."""
        if self._members[self._current] is member:
            self._current = (self._current + 1) % len(self._members)

    async def _unary(self, stub: Callable, request: object, timeout: float) -> object:
        self._count_sent(request)
        answer = await stub(request, timeout=timeout, metadata=self._metadata)
        return self._count_received(answer)

    def _count_sent(self, message: object) -> object:
        self.bytes_sent += message.ByteSize()
        return message

    def _count_received(self, message: object) -> object:
        if message is not aio.EOF:
            self.bytes_received += message.ByteSize()
            self._observe_cluster(message.header.cluster_id)
        return message

    def _observe_cluster(self, cluster_id: int) -> None:
        if not cluster_id or cluster_id == self._cluster_id:
            return
        previous, self._cluster_id = self._cluster_id, cluster_id
        if previous:
            self.history.begin_next_era()

    @contextlib.contextmanager
    def _translate_errors(self) -> Iterator[None]:
        """Raise the library's errors as those of the `KeyValueStore` port."""
        try:
            yield
        except RpcError as error:
            raise _port_error(error) from error
        except (OSError, TimeoutError) as error:
            raise StoreUnavailable(str(error) or "timeout") from error
        except (aio.BaseError, asyncio.InvalidStateError) as error:
            # A closed channel, or a write on a stream that has just ended.
            raise StoreUnavailable(f"connection closed: {error}") from error
        except asyncio.CancelledError as error:
            # The library also raises CancelledError when the service or the closing of
            # the channel cancelled the call, without any task being cancelled.
            task = asyncio.current_task()
            if task is not None and not task.cancelling():
                raise StoreUnavailable("the call was cancelled") from error
            raise


def _now() -> float:
    return asyncio.get_running_loop().time()


def _port_error(error: RpcError) -> Exception:
    code, details = error.code(), error.details() or ""
    if code is StatusCode.INVALID_ARGUMENT:
        return StoreRefused(details)
    if code is StatusCode.NOT_FOUND and "lease" in details:
        return LeaseExpired(details)
    return StoreUnavailable(f"{code.name}: {details}")


async def _cancel_read(read_task: asyncio.Future) -> None:
    """Cancel a read in progress and retrieve its exception, if any."""
    read_task.cancel()
    await asyncio.wait({read_task}, timeout=1.0)
    if read_task.done() and not read_task.cancelled():
        read_task.exception()


def _watch_request(prefix: str, start_revision: int) -> rpc.WatchRequest:
    key = prefix.encode()
    create = rpc.WatchCreateRequest(
        key=key, range_end=prefix_range_end(key), start_revision=start_revision
    )
    return rpc.WatchRequest(create_request=create)


def _watch_events(response: object) -> Iterator[WatchEvent]:
    if response is aio.EOF:
        raise StoreUnavailable("the watch ended")
    if response.compact_revision:
        raise WatchCompacted(f"changes are kept from {response.compact_revision} on")
    if response.canceled:
        raise StoreUnavailable(f"the watch was cancelled: {response.cancel_reason}")
    for event in response.events:
        deleted = event.type == rpc.Event.DELETE
        yield WatchEvent(
            _key(event.kv.key),
            None if deleted else event.kv.value,
            event.kv.mod_revision,
        )
    if not response.events:
        yield WatchEvent("", None, response.header.revision)


def _key_value(item: rpc.KeyValue) -> KeyValue:
    return KeyValue(_key(item.key), item.value, item.mod_revision)


def _key(key: bytes) -> str:
    # A key that is not UTF-8 was not written by the proxy. It must not prevent other
    # keys from being read.
    return key.decode(errors="replace")


def _compare(compare: Compare) -> rpc.Compare:
    return rpc.Compare(
        result=rpc.Compare.EQUAL,
        target=rpc.Compare.MOD,
        key=compare.key.encode(),
        mod_revision=compare.revision,
    )


def _read_operation(compare: Compare) -> rpc.RequestOp:
    request = rpc.RangeRequest(key=compare.key.encode())
    return rpc.RequestOp(request_range=request)


def _write_operation(put: Put, lease: int) -> rpc.RequestOp:
    key = put.key.encode()
    if put.value is None:
        request = rpc.DeleteRangeRequest(key=key)
        return rpc.RequestOp(request_delete_range=request)
    request = rpc.PutRequest(key=key, value=put.value, lease=lease)
    return rpc.RequestOp(request_put=request)
