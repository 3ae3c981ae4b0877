"""Stand-in for the platform's key-value service: etcd v3 over gRPC, with faults.

All data is in memory. Faults are injected by the methods of `RunningStore` or, from
another process, by JSON over HTTP at the control address:

    POST /outage        {"seconds": 5, "mode": "unavailable", "watches": "break"}
    POST /heal
    POST /slow          {"ms": 200}
    POST /lose_answers  {"count": 1} or {"probability": 0.1, "seed": 7}
    POST /delay_changes {"count": 1}, later POST /release_changes
    POST /block         {"zone": "a"}
    POST /compact       {"revision": 120}
    POST /expire_leases
    GET  /state
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterator

import msgspec
from aetcd import rpc
from aetcd.rpc import rpc_pb2_grpc
from aiohttp import web
from grpc import StatusCode, aio

from celeryjunction.ports import Clock, SystemClock
from celeryjunction.standin._kv_faults import CallCounters, Client, Faults, client_of
from celeryjunction.standin._versions import RequestError, VersionedKeys, in_range

_EXPIRY_INTERVAL_S = 0.1
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_MAX_RESPONSE_EVENTS = 1_000


class _Backend:
    """Data, faults and call handling that the three gRPC services share."""

    __slots__ = ("counters", "data", "faults")

    def __init__(
        self, data: VersionedKeys, faults: Faults, counters: CallCounters
    ) -> None:
        self.data = data
        self.faults = faults
        self.counters = counters

    async def call(
        self,
        method: str,
        context: aio.ServicerContext,
        apply: Callable[[], object],
        *,
        change: bool = False,
    ) -> object:
        """Run a unary call under the active faults.

        `apply` runs the request; `change` is True for requests that can change data.
        """
        client = client_of(context)
        self.counters.count(method, client, change=change)
        try:
            await self.faults.apply_before_call(client)
            if change and self.faults.delay_if_requested(apply):
                raise RequestError(StatusCode.UNAVAILABLE, "change delayed")
            return await self._apply(apply, change)
        except RequestError as error:
            await context.abort(error.code, error.details)

    async def _apply(self, apply: Callable[[], object], change: bool) -> object:
        self.data.expire()
        state_before = self.data.revision, self.data.lease_count
        response = apply()
        if change and state_before != (self.data.revision, self.data.lease_count):
            await self.faults.fail_if_response_lost()
        return response


class _KvService(rpc_pb2_grpc.KVServicer):
    def __init__(self, backend: _Backend) -> None:
        self._backend = backend

    async def Range(self, request, context):  # noqa: N802
        apply = self._backend.data.range
        return await self._backend.call("Range", context, lambda: apply(request))

    async def Put(self, request, context):  # noqa: N802
        apply = self._backend.data.put
        return await self._backend.call(
            "Put", context, lambda: apply(request), change=True
        )

    async def DeleteRange(self, request, context):  # noqa: N802
        apply = self._backend.data.delete
        return await self._backend.call(
            "DeleteRange", context, lambda: apply(request), change=True
        )

    async def Txn(self, request, context):  # noqa: N802
        apply = self._backend.data.txn
        return await self._backend.call(
            "Txn", context, lambda: apply(request), change=True
        )

    async def Compact(self, request, context):  # noqa: N802
        data = self._backend.data

        def compact() -> rpc.CompactionResponse:
            data.compact(request.revision)
            return rpc.CompactionResponse(header=data.header())

        return await self._backend.call("Compact", context, compact)


class _LeaseService(rpc_pb2_grpc.LeaseServicer):
    def __init__(self, backend: _Backend) -> None:
        self._backend = backend

    async def LeaseGrant(self, request, context):  # noqa: N802
        apply = self._backend.data.grant
        return await self._backend.call(
            "LeaseGrant", context, lambda: apply(request), change=True
        )

    async def LeaseRevoke(self, request, context):  # noqa: N802
        apply = self._backend.data.revoke
        return await self._backend.call(
            "LeaseRevoke", context, lambda: apply(request), change=True
        )

    async def LeaseKeepAlive(self, request_iterator, context):  # noqa: N802
        apply = self._backend.data.keep_alive
        async for request in request_iterator:
            response = await self._backend.call(
                "LeaseKeepAlive", context, lambda request=request: apply(request)
            )
            await context.write(response)

    async def LeaseTimeToLive(self, request, context):  # noqa: N802
        apply = self._backend.data.time_to_live
        return await self._backend.call(
            "LeaseTimeToLive", context, lambda: apply(request)
        )

    async def LeaseLeases(self, request, context):  # noqa: N802
        apply = self._backend.data.leases
        return await self._backend.call("LeaseLeases", context, apply)


class _Watcher:
    """One watch of a stream; `next_revision` is the first revision not yet sent."""

    __slots__ = ("next_revision", "request")

    def __init__(self, request: rpc.WatchCreateRequest, next_revision: int) -> None:
        self.request = request
        self.next_revision = next_revision

    def matches(self, event: rpc.Event) -> bool:
        """Return whether the event is in the watched range and not filtered out."""
        if not in_range(event.kv.key, self.request.key, self.request.range_end):
            return False
        excluding_filter = (
            rpc.WatchCreateRequest.NOPUT
            if event.type == rpc.Event.PUT
            else rpc.WatchCreateRequest.NODELETE
        )
        return excluding_filter not in self.request.filters


class _WatchStream:
    """The watches of one client stream and the responses to send on it.

    `wakeup` is set when there may be responses to send.
    """

    __slots__ = (
        "_data",
        "_next_id",
        "_outbox",
        "_progress_requested",
        "wakeup",
        "watchers",
    )

    def __init__(self, data: VersionedKeys) -> None:
        self._data = data
        self._next_id = 0
        self._outbox: deque[rpc.WatchResponse] = deque()
        self._progress_requested = False
        self.wakeup = asyncio.Event()
        self.watchers: dict[int, _Watcher] = {}

    def handle(self, request: rpc.WatchRequest) -> None:
        """Handle a create, cancel or progress request of the client."""
        kind = request.WhichOneof("request_union")
        if kind == "create_request":
            self._create(request.create_request)
        elif kind == "cancel_request":
            self._cancel(request.cancel_request.watch_id)
        else:
            self._progress_requested = True
        self.wakeup.set()

    def _create(self, request: rpc.WatchCreateRequest) -> None:
        watch_id = request.watch_id or self._next_id
        self._next_id = max(self._next_id, watch_id) + 1
        start = request.start_revision or self._data.revision + 1
        self.watchers[watch_id] = _Watcher(request, start)
        self._outbox.append(self._response(watch_id, created=True))

    def _cancel(self, watch_id: int, **reason: object) -> None:
        if self.watchers.pop(watch_id, None) is not None:
            self._outbox.append(self._response(watch_id, canceled=True, **reason))

    def _response(self, watch_id: int, **fields: object) -> rpc.WatchResponse:
        return rpc.WatchResponse(
            header=self._data.header(), watch_id=watch_id, **fields
        )

    def responses(self) -> Iterator[rpc.WatchResponse]:
        """Yield the responses due: to requests, then events, then a progress report."""
        while self._outbox:
            yield self._outbox.popleft()
        for watch_id, watcher in tuple(self.watchers.items()):
            if watcher.next_revision < self._data.compacted_revision:
                self._cancel(
                    watch_id,
                    compact_revision=self._data.compacted_revision,
                    cancel_reason="etcdserver: mvcc: required revision has been "
                    "compacted",
                )
                yield self._outbox.popleft()
            else:
                yield from self._events(watch_id, watcher)
        if self._progress_requested:
            self._progress_requested = False
            yield self._response(-1)

    def _events(self, watch_id: int, watcher: _Watcher) -> Iterator[rpc.WatchResponse]:
        batch: list[rpc.Event] = []
        for change in self._data.changes_since(watcher.next_revision):
            if not watcher.matches(change.event):
                continue
            revision = change.event.kv.mod_revision
            # All events of a revision are sent in the same response.
            is_full = len(batch) >= _MAX_RESPONSE_EVENTS
            if is_full and revision != batch[-1].kv.mod_revision:
                yield self._response(watch_id, events=batch)
                batch = []
            event = change.event
            if watcher.request.prev_kv and change.previous is not None:
                event = rpc.Event(type=event.type, kv=event.kv, prev_kv=change.previous)
            batch.append(event)
        watcher.next_revision = max(watcher.next_revision, self._data.revision + 1)
        if batch:
            yield self._response(watch_id, events=batch)


class _WatchService(rpc_pb2_grpc.WatchServicer):
    def __init__(self, backend: _Backend) -> None:
        self._backend = backend

    async def Watch(self, request_iterator, context):  # noqa: N802
        data, faults = self._backend.data, self._backend.faults
        client = client_of(context)
        stream = _WatchStream(data)
        data.on_commit.add(stream.wakeup.set)
        faults.on_fault.add(stream.wakeup.set)
        reader = asyncio.create_task(
            self._read_requests(stream, request_iterator, client)
        )
        try:
            await self._send_responses(stream, context, client, reader)
        except RequestError as error:
            await context.abort(error.code, error.details)
        finally:
            reader.cancel()
            data.on_commit.discard(stream.wakeup.set)
            faults.on_fault.discard(stream.wakeup.set)
            self._backend.counters.watches -= len(stream.watchers)
            stream.watchers.clear()

    async def _read_requests(
        self,
        stream: _WatchStream,
        requests: AsyncIterator[rpc.WatchRequest],
        client: Client,
    ) -> None:
        counters = self._backend.counters
        async for request in requests:
            if request.WhichOneof("request_union") == "create_request":
                counters.count("Watch", client, change=False)
            watchers_before = len(stream.watchers)
            stream.handle(request)
            counters.watches += len(stream.watchers) - watchers_before

    async def _send_responses(
        self,
        stream: _WatchStream,
        context: aio.ServicerContext,
        client: Client,
        reader: asyncio.Task,
    ) -> None:
        faults, counters = self._backend.faults, self._backend.counters
        reader.add_done_callback(lambda _: stream.wakeup.set())
        while not reader.done():
            await stream.wakeup.wait()
            stream.wakeup.clear()
            if faults.breaks_watches(client):
                raise RequestError(StatusCode.UNAVAILABLE, "outage")
            await faults.wait_until_unaffected(client)
            if faults.slow_s:
                await asyncio.sleep(faults.slow_s)
            watchers_before = len(stream.watchers)
            responses = list(stream.responses())
            counters.watches += len(stream.watchers) - watchers_before
            for response in responses:
                await context.write(response)


class RunningStore:
    """A running stand-in for the key-value service, with fault injection and counts."""

    __slots__ = (
        "_backend",
        "_control",
        "_expiry_task",
        "_server",
        "control_port",
        "port",
    )

    def __init__(self, backend: _Backend, server: aio.Server, port: int) -> None:
        self._backend = backend
        self._server = server
        self._control: web.AppRunner | None = None
        self._expiry_task = asyncio.create_task(self._expire_leases_periodically())
        self.port = port
        self.control_port = 0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "port", self.port
        yield "control_port", self.control_port

    def outage(
        self,
        seconds: float | None = None,
        *,
        mode: str = "unavailable",
        watches: str = "break",
    ) -> None:
        """Start an outage that lasts some seconds, or until `heal` when None.

        With mode ``unavailable`` calls fail immediately; with ``hang`` they wait for
        the end of the outage or of their deadline. Watches break, or with `watches` set
        to ``silent`` stay open and deliver nothing. Leases still expire during an
        outage. An earlier outage and all zone blocks end. Raises `ValueError` for an
        unknown `mode` or `watches`.
        """
        self._backend.faults.outage(seconds, mode=mode, watches=watches)

    def heal(self) -> None:
        """End the outage and the zone blocks; other faults stay active."""
        self._backend.faults.heal()

    def slow(self, ms: float) -> None:
        """Delay each call and each delivery to a watch; 0 ends the delay."""
        self._backend.faults.slow_s = ms / 1000

    def lose_answers(
        self,
        count: int = 0,
        *,
        probability: float = 0.0,
        seed: int = 0,
        mode: str = "unavailable",
    ) -> None:
        """Fail changes after they took effect: the next `count`, then a random share.

        Each further change loses its response with `probability`, drawn from a random
        generator with `seed`. Calling without arguments ends the fault. With mode
        ``hang`` the call never completes; with ``unavailable`` it fails. Raises
        `ValueError` for an unknown mode.
        """
        self._backend.faults.lose_answers(
            count=count, probability=probability, seed=seed, mode=mode
        )

    def delay_changes(self, count: int = 1) -> None:
        """Fail the next `count` changes; they take effect at `release_changes`."""
        self._backend.faults.delay_changes(count)

    def release_changes(self) -> int:
        """Apply the delayed changes in order; returns their number."""
        return self._backend.faults.release_changes()

    def block(self, zone: str) -> None:
        """Block clients of a zone until `heal`: calls hang, watches get no events."""
        self._backend.faults.block(zone)

    def compact(self, revision: int | None = None) -> None:
        """Drop the history before a revision, by default before the current one.

        Raises `RequestError` if the revision is compacted already or in the future.
        """
        data = self._backend.data
        data.compact(data.revision if revision is None else revision)

    def become_restored(self) -> None:
        """Answer as the cluster that a copy of the present state was restored to."""
        self._backend.data.cluster_id += 1

    def expire_leases(self) -> None:
        """Expire leases now; this also happens periodically and before each call."""
        self._backend.data.expire()

    def state(self) -> dict[str, object]:
        """Return counts and rates; rates are averages over the last 5 whole seconds."""
        data, counters = self._backend.data, self._backend.counters
        reads, writes = counters.rates()
        return {
            "revision": data.revision,
            "compacted": data.compacted_revision,
            "keys": data.key_count,
            "leases": data.lease_count,
            "outage": self._backend.faults.mode,
            "watches": counters.watches,
            "calls": dict(counters.calls),
            "clients": {name: dict(c) for name, c in counters.by_client.items()},
            "reads_per_s": reads,
            "writes_per_s": writes,
        }

    async def close(self) -> None:
        """Stop serving immediately; open calls and watches break."""
        self._expiry_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._expiry_task
        if self._control is not None:
            await self._control.cleanup()
        await self._server.stop(grace=None)

    async def _expire_leases_periodically(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._backend.data.expire()

    async def serve_control(self, host: str, port: int) -> None:
        """Serve the control API and set `control_port`."""
        app = web.Application()
        app.router.add_get("/state", self._get_state)
        for name in _CONTROL_METHODS:
            app.router.add_post(f"/{name}", self._post)
        self._control = web.AppRunner(app, shutdown_timeout=0.1)
        await self._control.setup()
        site = web.TCPSite(self._control, host, port)
        await site.start()
        self.control_port = self._control.addresses[0][1]

    async def _get_state(self, _: web.Request) -> web.Response:
        return _json(self.state())

    async def _post(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            arguments = msgspec.json.decode(body, type=dict) if body else {}
            result = getattr(self, request.path[1:])(**arguments)
        except (msgspec.MsgspecError, TypeError, ValueError, RequestError) as error:
            return _json({"error": str(error)}, status=400)
        return _json({"ok": True, "result": result})


_CONTROL_METHODS = (
    "outage",
    "heal",
    "slow",
    "lose_answers",
    "delay_changes",
    "release_changes",
    "block",
    "compact",
    "expire_leases",
)


def _json(document: object, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document),
        status=status,
        content_type="application/json",
    )


async def serve_store(
    *,
    host: str = "127.0.0.1",
    port: int = 0,
    control_host: str = "127.0.0.1",
    control_port: int = 0,
    clock: Clock | None = None,
    history_limit: int = 10_000,
) -> RunningStore:
    """Start a stand-in for the key-value service and return it.

    Port 0 picks a free port. Leases expire by `clock`, by default the system clock.
    Raises `OSError` or `RuntimeError` when an address cannot be bound.
    """
    clock = clock or SystemClock()
    data = VersionedKeys(clock=clock, history_limit=history_limit)
    backend = _Backend(data, Faults(), CallCounters(clock))
    options = (
        ("grpc.so_reuseport", 0),
        ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
        ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    )
    server = aio.server(options=options)
    rpc_pb2_grpc.add_KVServicer_to_server(_KvService(backend), server)
    rpc_pb2_grpc.add_LeaseServicer_to_server(_LeaseService(backend), server)
    rpc_pb2_grpc.add_WatchServicer_to_server(_WatchService(backend), server)
    bound_port = server.add_insecure_port(f"{host}:{port}")
    await server.start()
    running = RunningStore(backend, server, bound_port)
    try:
        await running.serve_control(control_host, control_port)
    except BaseException:
        await running.close()
        raise
    return running
