"""Stand-in for the platform's key-value service: etcd v3 over gRPC, with faults.

It keeps everything in memory. Faults are driven by the methods of `RunningStore` or,
from another process, by JSON over HTTP at the control address:

    POST /outage        {"seconds": 5, "mode": "unavailable", "watches": "break"}
    POST /heal
    POST /slow          {"ms": 200}
    POST /lose_answers  {"count": 1} or {"probability": 0.1, "seed": 7}
    POST /delay_changes {"count": 1}, later POST /release_changes
    POST /block         {"zone": "a"}
    POST /compact       {"revision": 120}
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
from celeryjunction.standin._kv_faults import Caller, Faults, Meter, caller_of
from celeryjunction.standin._versions import RequestError, VersionedKeys, in_range

_EXPIRY_INTERVAL_S = 0.1
_MAX_MESSAGE_BYTES = 64 * 1024 * 1024
_RESPONSE_EVENTS = 1_000


class _Service:
    """What the three gRPC services share."""

    __slots__ = ("data", "faults", "meter")

    def __init__(self, data: VersionedKeys, faults: Faults, meter: Meter) -> None:
        self.data = data
        self.faults = faults
        self.meter = meter

    async def call(
        self,
        method: str,
        context: aio.ServicerContext,
        apply: Callable[[], object],
        *,
        change: bool = False,
    ) -> object:
        """Run one unary call under the active faults."""
        caller = caller_of(context)
        self.meter.count(method, caller, change=change)
        try:
            await self.faults.admit(caller)
            if change and self.faults.take_delay(apply):
                raise RequestError(StatusCode.UNAVAILABLE, "change delayed")
            return await self._apply(apply, change)
        except RequestError as error:
            await context.abort(error.code, error.details)

    async def _apply(self, apply: Callable[[], object], change: bool) -> object:
        self.data.expire()
        before = self.data.revision, self.data.lease_count
        answer = apply()
        if change and before != (self.data.revision, self.data.lease_count):
            await self.faults.lose_answer()
        return answer


class _KvService(rpc_pb2_grpc.KVServicer):
    def __init__(self, service: _Service) -> None:
        self._service = service

    async def Range(self, request, context):  # noqa: N802
        apply = self._service.data.range
        return await self._service.call("Range", context, lambda: apply(request))

    async def Put(self, request, context):  # noqa: N802
        apply = self._service.data.put
        return await self._service.call(
            "Put", context, lambda: apply(request), change=True
        )

    async def DeleteRange(self, request, context):  # noqa: N802
        apply = self._service.data.delete
        return await self._service.call(
            "DeleteRange", context, lambda: apply(request), change=True
        )

    async def Txn(self, request, context):  # noqa: N802
        apply = self._service.data.txn
        return await self._service.call(
            "Txn", context, lambda: apply(request), change=True
        )

    async def Compact(self, request, context):  # noqa: N802
        data = self._service.data

        def compact() -> rpc.CompactionResponse:
            data.compact(request.revision)
            return rpc.CompactionResponse(header=data.header())

        return await self._service.call("Compact", context, compact)


class _LeaseService(rpc_pb2_grpc.LeaseServicer):
    def __init__(self, service: _Service) -> None:
        self._service = service

    async def LeaseGrant(self, request, context):  # noqa: N802
        apply = self._service.data.grant
        return await self._service.call(
            "LeaseGrant", context, lambda: apply(request), change=True
        )

    async def LeaseRevoke(self, request, context):  # noqa: N802
        apply = self._service.data.revoke
        return await self._service.call(
            "LeaseRevoke", context, lambda: apply(request), change=True
        )

    async def LeaseKeepAlive(self, request_iterator, context):  # noqa: N802
        apply = self._service.data.keep_alive
        async for request in request_iterator:
            answer = await self._service.call(
                "LeaseKeepAlive", context, lambda request=request: apply(request)
            )
            await context.write(answer)

    async def LeaseTimeToLive(self, request, context):  # noqa: N802
        apply = self._service.data.time_to_live
        return await self._service.call(
            "LeaseTimeToLive", context, lambda: apply(request)
        )

    async def LeaseLeases(self, request, context):  # noqa: N802
        apply = self._service.data.leases
        return await self._service.call("LeaseLeases", context, apply)


class _Watcher:
    """One watch of a stream; `next_revision` is the first one not yet sent."""

    __slots__ = ("next_revision", "request")

    def __init__(self, request: rpc.WatchCreateRequest, next_revision: int) -> None:
        self.request = request
        self.next_revision = next_revision

    def wants(self, event: rpc.Event) -> bool:
        """Tell whether the event is in the range and not filtered out."""
        if not in_range(event.kv.key, self.request.key, self.request.range_end):
            return False
        unwanted = (
            rpc.WatchCreateRequest.NOPUT
            if event.type == rpc.Event.PUT
            else rpc.WatchCreateRequest.NODELETE
        )
        return unwanted not in self.request.filters


class _WatchStream:
    """The watches of one client stream and the responses due to it."""

    __slots__ = ("_data", "_next_id", "_outbox", "_progress", "due", "watchers")

    def __init__(self, data: VersionedKeys) -> None:
        self._data = data
        self._next_id = 0
        self._outbox: deque[rpc.WatchResponse] = deque()
        self._progress = False
        self.due = asyncio.Event()
        self.watchers: dict[int, _Watcher] = {}

    def handle(self, request: rpc.WatchRequest) -> None:
        """Take in a request of the client."""
        kind = request.WhichOneof("request_union")
        if kind == "create_request":
            self._create(request.create_request)
        elif kind == "cancel_request":
            self._cancel(request.cancel_request.watch_id)
        else:
            self._progress = True
        self.due.set()

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
        """Yield what is due now: answers, then events, then a progress note."""
        while self._outbox:
            yield self._outbox.popleft()
        for watch_id, watcher in tuple(self.watchers.items()):
            if watcher.next_revision < self._data.compacted:
                self._cancel(
                    watch_id,
                    compact_revision=self._data.compacted,
                    cancel_reason="etcdserver: mvcc: required revision has been "
                    "compacted",
                )
                yield self._outbox.popleft()
            else:
                yield from self._events(watch_id, watcher)
        if self._progress:
            self._progress = False
            yield self._response(-1)

    def _events(self, watch_id: int, watcher: _Watcher) -> Iterator[rpc.WatchResponse]:
        batch: list[rpc.Event] = []
        for change in self._data.changes_since(watcher.next_revision):
            if not watcher.wants(change.event):
                continue
            revision = change.event.kv.mod_revision
            # The events of one revision stay in one response.
            full = len(batch) >= _RESPONSE_EVENTS
            if full and revision != batch[-1].kv.mod_revision:
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
    def __init__(self, service: _Service) -> None:
        self._service = service

    async def Watch(self, request_iterator, context):  # noqa: N802
        data, faults = self._service.data, self._service.faults
        caller = caller_of(context)
        stream = _WatchStream(data)
        data.on_commit.add(stream.due.set)
        faults.on_outage.add(stream.due.set)
        reader = asyncio.create_task(self._read(stream, request_iterator, caller))
        try:
            await self._deliver(stream, context, caller, reader)
        except RequestError as error:
            await context.abort(error.code, error.details)
        finally:
            reader.cancel()
            data.on_commit.discard(stream.due.set)
            faults.on_outage.discard(stream.due.set)
            self._service.meter.watches -= len(stream.watchers)
            stream.watchers.clear()

    async def _read(
        self,
        stream: _WatchStream,
        requests: AsyncIterator[rpc.WatchRequest],
        caller: Caller,
    ) -> None:
        meter = self._service.meter
        async for request in requests:
            if request.WhichOneof("request_union") == "create_request":
                meter.count("Watch", caller, change=False)
            before = len(stream.watchers)
            stream.handle(request)
            meter.watches += len(stream.watchers) - before

    async def _deliver(
        self,
        stream: _WatchStream,
        context: aio.ServicerContext,
        caller: Caller,
        reader: asyncio.Task,
    ) -> None:
        faults, meter = self._service.faults, self._service.meter
        reader.add_done_callback(lambda _: stream.due.set())
        while not reader.done():
            await stream.due.wait()
            stream.due.clear()
            if faults.watch_breaks(caller):
                raise RequestError(StatusCode.UNAVAILABLE, "outage")
            await faults.wait_cleared(caller)
            if faults.slow_s:
                await asyncio.sleep(faults.slow_s)
            before = len(stream.watchers)
            due = list(stream.responses())
            meter.watches += len(stream.watchers) - before
            for response in due:
                await context.write(response)


class RunningStore:
    """A running stand-in: its addresses, its faults and its counts."""

    __slots__ = (
        "_control",
        "_expiry",
        "_server",
        "_service",
        "control_port",
        "port",
    )

    def __init__(self, service: _Service, server: aio.Server, port: int) -> None:
        self._service = service
        self._server = server
        self._control: web.AppRunner | None = None
        self._expiry = asyncio.create_task(self._expire_regularly())
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
        """Start an outage for some seconds, or until `heal` when None.

        With mode ``unavailable`` calls fail at once, with ``hang`` they wait for the
        end of the outage or of their deadline. Watches break, or with ``silent``
        stay open and deliver nothing. Leases go on to lapse meanwhile.
        """
        self._service.faults.outage(seconds, mode=mode, watches=watches)

    def heal(self) -> None:
        """End the outage and the zone blocks; slowness and lost answers stay."""
        self._service.faults.heal()

    def slow(self, ms: float) -> None:
        """Delay each call and each delivery of a watch; 0 ends it."""
        self._service.faults.slow_s = ms / 1000

    def lose_answers(
        self,
        count: int = 0,
        *,
        probability: float = 0.0,
        seed: int = 0,
        mode: str = "unavailable",
    ) -> None:
        """Let changes take effect and then fail: the next `count`, or some of them.

        Both 0 ends it. With mode ``hang`` the answer never comes.
        """
        self._service.faults.lose_answers(
            count=count, probability=probability, seed=seed, mode=mode
        )

    def delay_changes(self, count: int = 1) -> None:
        """Let the next `count` changes fail, and take effect at `release_changes`."""
        self._service.faults.delay_changes(count)

    def release_changes(self) -> int:
        """Apply the delayed changes in order; returns how many there were."""
        return self._service.faults.release_changes()

    def block(self, zone: str) -> None:
        """Cut off the clients of a zone until `heal`: calls hang, watches are mute."""
        self._service.faults.block(zone)

    def compact(self, revision: int | None = None) -> None:
        """Drop the history before a revision, by default all of it."""
        data = self._service.data
        data.compact(data.revision if revision is None else revision)

    def expire_leases(self) -> None:
        """End the leases that lapsed by the clock; this also happens by itself."""
        self._service.data.expire()

    def state(self) -> dict[str, object]:
        """Return counts and rates; the rates cover the last 5 whole seconds."""
        data, meter = self._service.data, self._service.meter
        reads, writes = meter.rates()
        return {
            "revision": data.revision,
            "compacted": data.compacted,
            "keys": data.key_count,
            "leases": data.lease_count,
            "outage": self._service.faults.mode,
            "watches": meter.watches,
            "calls": dict(meter.calls),
            "clients": {name: dict(c) for name, c in meter.by_client.items()},
            "reads_per_s": reads,
            "writes_per_s": writes,
        }

    async def close(self) -> None:
        """Stop serving at once; open calls and watches break."""
        self._expiry.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._expiry
        if self._control is not None:
            await self._control.cleanup()
        await self._server.stop(grace=None)

    async def _expire_regularly(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            self._service.data.expire()

    async def serve_control(self, host: str, port: int) -> None:
        """Serve the control interface; `control_port` is set afterwards."""
        app = web.Application()
        app.router.add_get("/state", self._get_state)
        for name in _CONTROLS:
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
            answer = getattr(self, request.path[1:])(**arguments)
        except (msgspec.MsgspecError, TypeError, ValueError, RequestError) as error:
            return _json({"error": str(error)}, status=400)
        return _json({"ok": True, "result": answer})


_CONTROLS = (
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
    """Start a stand-in of the key-value service and return it.

    Port 0 picks a free port. Leases lapse by `clock`, the system's by default. Raises
    `OSError` or `RuntimeError` when an address cannot be bound.
    """
    clock = clock or SystemClock()
    data = VersionedKeys(clock=clock, history_limit=history_limit)
    service = _Service(data, Faults(), Meter(clock))
    options = (
        ("grpc.so_reuseport", 0),
        ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
        ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    )
    server = aio.server(options=options)
    rpc_pb2_grpc.add_KVServicer_to_server(_KvService(service), server)
    rpc_pb2_grpc.add_LeaseServicer_to_server(_LeaseService(service), server)
    rpc_pb2_grpc.add_WatchServicer_to_server(_WatchService(service), server)
    bound = server.add_insecure_port(f"{host}:{port}")
    await server.start()
    running = RunningStore(service, server, bound)
    try:
        await running.serve_control(control_host, control_port)
    except BaseException:
        await running.close()
        raise
    return running
