"""A small stand-in of the platform, for tests and the demo.

It serves endpoints of database groups on the line protocol, and the metadata store and
the promotion call over HTTP, all in one process on loopback. It follows the platform's
specification only where the proxy depends on it, and its speed is not realistic.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from httptools import HttpParserError, HttpRequestParser

from celeryjunction.standin.message_stream import StandinStream

PROMOTION_DELAY_S = 0.2
"""Time from an accepted promotion call until it takes effect."""
OLD_PRIMARY_DELAY_S = 0.5
"""Time after which a replaced primary that was not demoted follows the new one."""
FOLLOW_RETRY_S = 0.02
APPLY_DELAY_S = 0.005
"""Time until a replica applies the entries that it received."""
FIRST_LEASE = 200_000_000_000_000
"""Leases are numbers of up to 48 bits, as on the platform."""
RECORDED_CALLERS = 10_000
SYNC_COMMIT_TIMEOUT_S = 10.0
"""Time after which a commit that no replica received fails."""


class StandinEndpoint:
    """One endpoint of a group: an in-memory key-value table with a log."""

    def __init__(self, group: StandinGroup, name: str, zone: str) -> None:
        self.group = group
        self.id = name
        self.zone = zone
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        """Term for which the endpoint stopped receiving; 0 while it receives."""
        self.log: list[tuple[tuple[int, int], dict[bytes, bytes]]] = []
        """Position (term, number) and changed items of each commit."""
        self.applied_count = 0
        """Number of log entries that reads see."""
        self.silent = False
        """Fault: statements are read but neither run nor answered."""
        self.down = False
        self.replication_cut = False
        """Fault: the endpoint receives no log entries from its primary."""
        self.lag_ms = 0
        """Lag that the status reports, in ms."""
        self.ignores: Callable[[str, bytes], bool] = lambda caller, word: False
        """Fault: whether to leave a caller's command unanswered and not run, by the
        caller's name and the command's first word."""
        self.is_too_busy: Callable[[], bool] = lambda: False
        """Fault: whether to refuse the next statement as BUSY, without running it."""
        self.second_answer_delay_s: Callable[[], float | None] = lambda: None
        """Fault: after how many seconds the next answer comes again; None: not."""
        self.statements: list[bytes] = []
        """Texts of the clients' statements."""
        self.callers: deque[tuple[str, bytes]] = deque(maxlen=RECORDED_CALLERS)
        """Name that a connection gave and text of the last statements on it."""
        self.runs = 0
        """Number of statements that were answered with a digest."""
        self.born = 1
        """Start time of the process in its register entry, in ms."""
        self.port = 0
        """Port of the listener, which a restart after `stop` may reuse."""
        self._server: asyncio.Server | None = None
        self.streams: set[StandinStream] = set()

    @property
    def received_position(self) -> tuple[int, int]:
        """Position of the end of the log."""
        return self.log[-1][0] if self.log else (1, 0)

    @property
    def applied_position(self) -> tuple[int, int]:
        """Position of the last entry that reads see."""
        return self.log[self.applied_count - 1][0] if self.applied_count else (1, 0)

    def read(self, item: bytes) -> bytes:
        """Return an item's value as reads see it, ``-`` without one."""
        for _, changes in reversed(self.log[: self.applied_count]):
            if item in changes:
                return changes[item]
        return b"-"

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; after a `stop`, the earlier log is still there."""
        loop = asyncio.get_running_loop()
        self.down = False
        self.group.rejoin(self)
        self._server = await loop.create_server(self._accept, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listener and all connections, as a crash does."""
        self.down = True
        self._server.close()
        self.held_term = 0
        for stream in list(self.streams):
            stream.abort()

    def lose_data(self, *, is_primary: bool) -> None:
        """Lose log and terms while stopped; the next start is the first one."""
        self.log, self.applied_count = [], 0
        self.term, self.is_primary = 1, is_primary
        self.born += 1

    def _accept(self) -> StandinStream:
        return StandinStream(self._serve)

    def _serve(self, stream: StandinStream) -> None:
        self.streams.add(stream)
        stream.on_lost = lambda: self.streams.discard(stream)
        task = asyncio.create_task(_EndpointConnection(self, stream).serve())
        self.group.tasks.add(task)
        task.add_done_callback(self.group.tasks.discard)

    def receive_log(self, log: list) -> None:
        """Replace the log, and apply it after `APPLY_DELAY_S`."""
        self.log = list(log)
        loop = asyncio.get_running_loop()
        loop.call_later(APPLY_DELAY_S, self._apply)

    def _apply(self) -> None:
        self.applied_count = len(self.log)

    def status(self) -> bytes:
        """Return the row that answers a status command; busy slots are 0."""
        role = b"primary" if self.is_primary else b"replica"
        fields = (
            role,
            self.term,
            *self.received_position,
            self.held_term,
            self.lag_ms,
            len(self.streams),
        )
        return b"%b %d %d.%d %d %d 0 %d" % fields


class _EndpointConnection:
    """Server side of a connection to an endpoint."""

    def __init__(self, endpoint: StandinEndpoint, stream: StandinStream) -> None:
        self._endpoint = endpoint
        self._stream = stream
        self._answer = b""
        """What was sent of the current answer."""
        self._state = b"I"
        self._writes: dict[bytes, bytes] = {}
        self._prepared: dict[bytes, bytes] = {}

    async def serve(self) -> None:
        endpoint = self._endpoint
        line = await self._stream.read_line()
        fields = (line or b"").split(b" ")
        if len(fields) < 2 or fields[0] != b"CONNECT":
            self._stream.close()
            return
        wrong_id = len(fields) > 3 and fields[3].decode() != endpoint.id
        if fields[1].decode() != endpoint.group.name or wrong_id:
            self._stream.write(b"ERROR MISROUTED %b\r\n" % endpoint.id.encode())
            self._stream.close()
            return
        caller = fields[2].decode() if len(fields) > 2 else ""
        if not endpoint.ignores(caller, b"CONNECT"):
            self._send_ready()
        while (line := await self._stream.read_line()) is not None:
            _, _, rest = line.partition(b" ")
            request_id, _, text = rest.partition(b" ")
            if endpoint.silent or endpoint.ignores(caller, text.partition(b" ")[0]):
                continue
            endpoint.callers.append((caller, text))
            await self._run(request_id, text)
            self._send_ready()

    def _send_ready(self) -> None:
        position = self._endpoint.applied_position
        self._send(b"READY %b %d.%d\r\n" % (self._state, *position))
        answer, self._answer = self._answer, b""
        delay_s = self._endpoint.second_answer_delay_s()
        if delay_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._stream.write, answer)

    def _send(self, data: bytes) -> None:
        self._answer += data
        self._stream.write(data)

    def _complete(self, digest: bytes = b"-", *rows: bytes) -> None:
        answer = b"".join(b"ROW %b\r\n" % row for row in rows)
        self._send(answer + b"COMPLETE %b\r\n" % digest)

    def _fail(self, code: bytes) -> None:
        if self._state == b"T":
            self._state = b"E"
        self._send(b"ERROR %b %b\r\n" % (code, self._endpoint.id.encode()))

    async def _run(self, request_id: bytes, text: bytes) -> None:
        endpoint = self._endpoint
        if request_id != b"-":
            endpoint.statements.append(text)
        word, _, rest = text.partition(b" ")
        if word == b"AFTER":
            position, _, text = rest.partition(b" ")
            term, _, number = position.partition(b".")
            if endpoint.applied_position < (int(term), int(number)):
                return self._fail(b"LAGGING")
            word, _, rest = text.partition(b" ")
        if word == b"EXECUTE":
            name, _, rest = rest.partition(b" ")
            kind = self._prepared.get(name)
            if kind is None:
                return self._fail(b"NOSTMT")
            word = kind
        if word in _REFUSABLE and endpoint.is_too_busy():
            # The statement has not run, so its transaction stays open.
            self._send(b"ERROR BUSY %b\r\n" % endpoint.id.encode())
            return None
        handler = _HANDLERS.get(word)
        if handler is None:
            return self._fail(b"MALFORMED")
        await handler(self, request_id, rest)
        return None

    def _make_digest(self, request_id: bytes) -> bytes:
        endpoint = self._endpoint
        endpoint.runs += 1
        return b"d.%b.%b.%d" % (endpoint.id.encode(), request_id, endpoint.runs)

    async def _status(self, request_id: bytes, rest: bytes) -> None:
        self._complete(b"-", self._endpoint.status())

    async def _pause(self, request_id: bytes, rest: bytes) -> None:
        if not self._endpoint.is_primary and int(rest) > self._endpoint.term:
            self._endpoint.held_term = int(rest)
        await self._status(request_id, rest)

    async def _resume(self, request_id: bytes, rest: bytes) -> None:
        self._endpoint.held_term = 0
        await self._status(request_id, rest)

    async def _demote(self, request_id: bytes, rest: bytes) -> None:
        if int(rest) > self._endpoint.term:
            self._endpoint.is_primary = False
            self._endpoint.group.rejoin(self._endpoint)
        await self._status(request_id, rest)

    async def _begin(self, request_id: bytes, rest: bytes) -> None:
        if rest != b"READ" and not self._endpoint.is_primary:
            return self._fail(b"READONLY")
        self._state = b"T"
        self._complete()
        return None

    async def _rollback(self, request_id: bytes, rest: bytes) -> None:
        self._state, self._writes = b"I", {}
        self._complete()

    async def _commit(self, request_id: bytes, rest: bytes) -> None:
        writes, self._writes = self._writes, {}
        self._state = b"I"
        if writes and not self._endpoint.is_primary:
            return self._fail(b"READONLY")
        if writes and not await self._endpoint.group.commit(self._endpoint, writes):
            return self._fail(b"TIMEOUT")
        self._complete(self._make_digest(request_id))
        return None

    async def _read(self, request_id: bytes, rest: bytes) -> None:
        item = rest.split(b" ")[0]
        value = self._writes.get(item) or self._endpoint.read(item)
        self._complete(self._make_digest(request_id), value)

    async def _write(self, request_id: bytes, rest: bytes) -> None:
        if not self._endpoint.is_primary:
            return self._fail(b"READONLY")
        item, _, data = rest.partition(b" ")
        if self._state == b"T":
            self._writes[item] = data
        elif not await self._endpoint.group.commit(self._endpoint, {item: data}):
            return self._fail(b"TIMEOUT")
        self._complete(self._make_digest(request_id))
        return None

    async def _prepare(self, request_id: bytes, rest: bytes) -> None:
        name, kind, *_ = rest.split(b" ")
        self._prepared[name] = kind
        self._complete()

    async def _reset(self, request_id: bytes, rest: bytes) -> None:
        self._prepared.clear()
        self._complete()

    async def _accept_without_effect(self, request_id: bytes, rest: bytes) -> None:
        self._complete()


_HANDLERS = {
    b"STATUS": _EndpointConnection._status,
    b"PAUSE": _EndpointConnection._pause,
    b"RESUME": _EndpointConnection._resume,
    b"DEMOTE": _EndpointConnection._demote,
    b"BEGIN": _EndpointConnection._begin,
    b"ROLLBACK": _EndpointConnection._rollback,
    b"COMMIT": _EndpointConnection._commit,
    b"READ": _EndpointConnection._read,
    b"WRITE": _EndpointConnection._write,
    b"PREPARE": _EndpointConnection._prepare,
    b"RESET": _EndpointConnection._reset,
    b"SETPARAM": _EndpointConnection._accept_without_effect,
    b"DEALLOC": _EndpointConnection._accept_without_effect,
}


_REFUSABLE = frozenset((b"BEGIN", b"COMMIT", b"READ", b"WRITE"))
"""Statements of clients, which need a slot at the endpoint."""


class StandinGroup:
    """A group of endpoints. A commit succeeds once a replica has received it."""

    def __init__(self, name: str, zones: list[str]) -> None:
        self.name = name
        self.tasks: set[asyncio.Task[None]] = set()
        self.endpoints = [
            StandinEndpoint(self, f"i-{name}{number}", zone)
            for number, zone in enumerate(zones)
        ]
        self.endpoints[0].is_primary = True
        self.promotion_delay_s = PROMOTION_DELAY_S
        self.on_promotion: Callable[[StandinEndpoint], None] = lambda endpoint: None
        """Called when a promotion takes effect, before other endpoints follow."""

    async def add(self, name: str, zone: str) -> StandinEndpoint:
        """Start a new replica with the primary's log; it is not registered."""
        primary = max(
            (endpoint for endpoint in self.endpoints if endpoint.is_primary),
            key=lambda endpoint: endpoint.term,
        )
        endpoint = StandinEndpoint(self, name, zone)
        endpoint.term, endpoint.log = primary.term, list(primary.log)
        endpoint.applied_count = len(endpoint.log)
        await endpoint.start()
        self.endpoints.append(endpoint)
        return endpoint

    async def remove(self, endpoint: StandinEndpoint) -> None:
        """End an endpoint for good; its log is lost."""
        await endpoint.stop()
        self.endpoints.remove(endpoint)

    async def commit(self, primary: StandinEndpoint, changes: dict) -> bool:
        """Commit at a primary and wait until a replica has received the changes.

        False if the endpoint stops, loses the primary role or reaches
        `SYNC_COMMIT_TIMEOUT_S` before that; the changes stay in its log.
        """
        term, number = primary.term, primary.received_position[1] + 1
        primary.log.append(((term, number), changes))
        primary.applied_count = len(primary.log)
        deadline = time.monotonic() + SYNC_COMMIT_TIMEOUT_S
        while time.monotonic() < deadline and primary.is_primary and not primary.down:
            receivers = [
                endpoint
                for endpoint in self.endpoints
                if endpoint is not primary
                and endpoint.term == primary.term
                and not (
                    endpoint.held_term or endpoint.down or endpoint.replication_cut
                )
            ]
            for endpoint in receivers:
                endpoint.receive_log(primary.log)
            if receivers:
                return not primary.down
            await asyncio.sleep(0.01)
        return False

    def promote(self, name: str) -> int:
        """Make an endpoint the primary after `promotion_delay_s`.

        Returns the HTTP status of the promotion call.
        """
        new_primary = next(
            (endpoint for endpoint in self.endpoints if endpoint.id == name), None
        )
        if new_primary is None or new_primary.down:
            return 409
        if not new_primary.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promotion_delay_s, self._apply_promotion, new_primary)
        return 200

    def rejoin(self, endpoint: StandinEndpoint) -> None:
        """Make a demoted or restarted endpoint follow the primary of a later term."""
        primary = next((other for other in self.endpoints if other.is_primary), None)
        if primary is not None and primary.term > endpoint.term:
            self._follow(endpoint, primary)

    def _apply_promotion(self, new_primary: StandinEndpoint) -> None:
        """Start the next term; the old primary follows after `OLD_PRIMARY_DELAY_S`."""
        old_primaries = [endpoint for endpoint in self.endpoints if endpoint.is_primary]
        new_primary.term = max(endpoint.term for endpoint in self.endpoints) + 1
        new_primary.is_primary, new_primary.held_term = True, 0
        self.on_promotion(new_primary)
        for endpoint in self.endpoints:
            if endpoint is not new_primary and endpoint not in old_primaries:
                self._follow(endpoint, new_primary)
        loop = asyncio.get_running_loop()
        for endpoint in old_primaries:
            loop.call_later(OLD_PRIMARY_DELAY_S, self._follow, endpoint, new_primary)

    def _follow(self, endpoint: StandinEndpoint, primary: StandinEndpoint) -> None:
        if endpoint.term >= primary.term or not primary.is_primary:
            return
        if endpoint.replication_cut:
            # It learns of the later term when it can receive again.
            loop = asyncio.get_running_loop()
            loop.call_later(FOLLOW_RETRY_S, self._follow, endpoint, primary)
            return
        endpoint.is_primary, endpoint.held_term, endpoint.term = False, 0, primary.term
        endpoint.log = list(primary.log)
        endpoint.applied_count = len(endpoint.log)
        for stream in list(endpoint.streams):
            stream.abort()


class PromotionCall:
    """A promotion call that was carried out."""

    __slots__ = ("endpoint", "fencing_token", "group", "holder")

    def __init__(
        self, *, group: str, endpoint: str, holder: str, fencing_token: str
    ) -> None:
        self.group = group
        self.endpoint = endpoint
        self.holder = holder
        self.fencing_token = fencing_token


class StoreCopy:
    """State of the metadata store at one moment."""

    __slots__ = ("changes", "items", "leases", "revision")

    def __init__(self, store: StandinStore) -> None:
        self.items = dict(store.items)
        self.changes = list(store.changes)
        self.revision = store.revision
        self.leases = dict(store.leases)


class StandinStore:
    """The metadata store and the promotion call over HTTP."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.changes: list[dict] = []
        self.revision = 1
        self.era: int | None = 1
        """Rises by one each time the store comes back from an older copy; None if the
        store does not tell."""
        self.leases: dict[int, float] = {}
        """End of each lease, monotonic seconds."""
        self._lease_lives: dict[int, float] = {}
        """Seconds from a renewal of each lease to its end."""
        self.groups: dict[str, StandinGroup] = {}
        self.advertised_ports: dict[str, int] = {}
        """Ports that `register` writes for endpoints behind a proxy, by endpoint."""
        self.advertised_vms: dict[str, str] = {}
        """Addresses that the records of VMs behind a proxy name, by VM."""
        self.received_calls: list[PromotionCall] = []
        """All promotion calls, in the order of their arrival."""
        self.promotion_calls: list[PromotionCall] = []
        """The promotion calls that were carried out, in this order."""
        self.late_promotions_s: list[float] = []
        """Fault: seconds after which the next calls are carried out, one entry a call.
        They are not answered before."""
        self.responses_to_drop = 0
        """Fault: number of POST calls to execute without sending a response."""
        self.unanswered_after: Callable[[str, dict], float | None] = lambda *call: None
        """Fault: seconds after which a call is executed without a response, by its
        path and JSON body; None to answer it."""
        self.names_era: Callable[[str, int], bool] = lambda path, status: True
        """Fault: whether a response names the era, by the path and the status."""
        self.on_executed: Callable[[str, dict, int], None] = lambda *call: None
        """Called with path, JSON body and status when a call was executed."""
        self.error_status: int = 0
        """Fault: HTTP status that answers all calls; 0 to serve them."""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._promotion_server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[asyncio.Transport] = set()

    @property
    def address(self) -> str:
        """Address of the listener."""
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    @property
    def promotion_address(self) -> str:
        """Address of a listener whose connections a restore doesn't cut."""
        return f"127.0.0.1:{self._promotion_server.sockets[0].getsockname()[1]}"

    @property
    def promotions(self) -> list[tuple[str, str, str]]:
        """Group, endpoint and fencing token of each promotion call."""
        return [
            (call.group, call.endpoint, call.fencing_token)
            for call in self.received_calls
        ]

    async def start(self) -> None:
        """Listen on loopback."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HttpConnection(self, self.connections), "127.0.0.1", 0
        )
        self._promotion_server = await loop.create_server(
            lambda: _HttpConnection(self, set()), "127.0.0.1", 0
        )

    async def close(self) -> None:
        """Stop serving."""
        self._server.close()
        self._promotion_server.close()
        for task in list(self.tasks):
            task.cancel()

    def copy(self) -> StoreCopy:
        """Return a copy of the present state for `restore`."""
        return StoreCopy(self)

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy: what was written since is lost.

        Revisions and leases given out since are given out again, and the connections
        of waiting watches are cut.
        """
        self.items, self.changes = dict(copy.items), list(copy.changes)
        self.revision, self.leases = copy.revision, dict(copy.leases)
        if self.era is not None:
            self.era += 1
        for connection in list(self.connections):
            connection.abort()

    def put(self, key: str, value: bytes | None, *, lease: int = 0) -> None:
        """Write a key, or delete it if `value` is None."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            change = {"key": key, "revision": self.revision, "tombstone": True}
        else:
            text = base64.b64encode(value).decode()
            change = {
                "key": key,
                "value": text,
                "revision": self.revision,
                "created": self.items.get(key, {}).get("created", self.revision),
                "lease": lease,
            }
            self.items[key] = change
        self.changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, key: str, value: object) -> None:
        """Write a key with a JSON value, as the operator and the endpoints do."""
        self.put(key, json.dumps(value).encode())

    def register(self, endpoint: StandinEndpoint, **changes: object) -> None:
        """Write an endpoint's entry in the register; `changes` replace its fields."""
        port = self.advertised_ports.get(endpoint.id, endpoint.port)
        entry = {
            "service": endpoint.group.name,
            "address": f"127.0.0.1:{port}",
            "zone": endpoint.zone,
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if endpoint.is_primary else "replica",
            "sequence": self.revision,
            "born": endpoint.born,
        }
        self.put_json(f"servers/{endpoint.id}", entry | changes)

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for lease in [n for n, ends in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item["lease"] == lease:
                self.put(key, None)

    async def handle_request(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        """Execute one call; return the status and the JSON body of its response."""
        if self.error_status:
            return self.error_status, {}
        self._expire_leases()
        url = urlsplit(target)
        fields = parse_qs(url.query, keep_blank_values=True)
        query = {name: values[0] for name, values in fields.items()}
        data = json.loads(body) if body else {}
        if url.path == "/promotion":
            return await self._promote(data, headers), {}
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"current_rev": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            found = [
                entry
                for key, entry in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:500],
                "has_more": len(found) > 500,
                "current_rev": self.revision,
            }
        if url.path == "/kv-watch":
            if int(query["after"]) > self.revision:
                return 410, {}
            return 200, await self._watch(query)
        if url.path == "/kv-txn":
            return self._transact(data)
        if url.path.startswith(("/kv-lease", "/kv-keep/")):
            return self._lease_call(method, url.path, data)
        return 404, {"error": "no such call"}

    async def _promote(self, data: dict, headers: dict[str, str]) -> int:
        call = PromotionCall(
            group=data["service"],
            endpoint=data["id"],
            holder=headers.get("x-duty-holder", ""),
            fencing_token=headers.get("x-fence-token", ""),
        )
        self.received_calls.append(call)
        if self.late_promotions_s:
            await asyncio.sleep(self.late_promotions_s.pop(0))
        self.promotion_calls.append(call)
        return self.groups[call.group].promote(call.endpoint)

    async def _watch(self, query: dict[str, str]) -> object:
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                change
                for change in self.changes
                if change["revision"] > int(query["after"])
                and change["key"].startswith(query["prefix"])
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current_rev": self.revision}
            changed = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait({changed}, timeout=left)
            changed.cancel()

    def _transact(self, data: dict) -> tuple[int, object]:
        rows = data.get("expected_rev", [])
        found = [self.items.get(row["key"]) for row in rows]
        revisions = [item["revision"] if item else 0 for item in found]
        if revisions != [row["revision"] for row in rows]:
            return 412, {"items": [item for item in found if item]}
        leases = {put.get("lease", 0) for put in data.get("put_items", [])} - {0}
        if leases - self.leases.keys():
            return 404, {}
        for put in data.get("put_items", []):
            value = self._advertise(put["key"], base64.b64decode(put["value"]))
            self.put(put["key"], value, lease=put.get("lease", 0))
        for key in data.get("delete_keys", []):
            self.put(key, None)
        return 200, {"revision": self.revision}

    def _advertise(self, key: str, value: bytes) -> bytes:
        """Replace the address in the record of a VM behind a proxy."""
        address = self.advertised_vms.get(key.removeprefix("/vms/"))
        if address is None:
            return value
        return json.dumps(json.loads(value) | {"peer_address": address}).encode()

    def _lease_call(self, method: str, path: str, data: dict) -> tuple[int, object]:
        if path == "/kv-lease":
            lease = max(self.leases, default=FIRST_LEASE) + 1
            self._lease_lives[lease] = data["ttl_ms"] / 1000
            self.leases[lease] = time.monotonic() + self._lease_lives[lease]
            return 200, {"lease": lease, "ttl_ms": data["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease] = time.monotonic() + self._lease_lives[lease]
        return 200, {}


class _HttpConnection(asyncio.Protocol):
    """Server side of an HTTP connection to the store; one call at a time."""

    def __init__(
        self, store: StandinStore, connections: set[asyncio.Transport]
    ) -> None:
        self._store = store
        self._connections = connections
        self._parser = HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._connections.add(transport)

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.discard(self._transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        self._target = url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode()
        call = self._respond(method, self._target, self._headers, self._body)
        task = asyncio.create_task(call)
        self._store.tasks.add(task)
        task.add_done_callback(self._store.tasks.discard)

    async def _respond(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        path, fields = target.partition("?")[0], json.loads(body) if body else {}
        unanswered_after = self._store.unanswered_after(path, fields)
        if unanswered_after:
            await asyncio.sleep(unanswered_after)
        status, answer = await self._store.handle_request(method, target, headers, body)
        self._store.on_executed(path, fields, status)
        if unanswered_after is not None:
            return
        if method == "POST" and self._store.responses_to_drop:
            self._store.responses_to_drop -= 1
            self._transport.abort()
            return
        data = json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
        if self._store.era is not None and self._store.names_era(path, status):
            head += f"Store-Era: {self._store.era}\r\n"
        self._transport.write(head.encode() + b"\r\n" + data)


class StandinPlatform:
    """The whole platform: groups, store, promotion calls and an operator's config."""

    def __init__(self, *, groups: tuple[str, ...] = ("db",), zones: int = 3) -> None:
        self.zones = [f"zone-{number}" for number in range(zones)]
        self.store = StandinStore()
        self.groups = {name: StandinGroup(name, self.zones) for name in groups}
        self.store.groups = self.groups
        self._version = 0
        self.tenants: list[dict] = []
        """Organisations of the configs written from now on."""
        self._config: dict = {}
        self.store_address = ""
        """Address of the store in the edges' settings, if not the store's own."""
        self.store_addresses: dict[str, str] = {}
        """Addresses of the store in edges' settings, by the edge's name."""
        self.cloud_addresses: dict[str, str] = {}
        """Addresses of the promotion call in edges' settings, by the edge's name."""

    async def start(self) -> None:
        """Start the store and the endpoints, and write the first config."""
        await self.store.start()
        for group in self.groups.values():
            for endpoint in group.endpoints:
                await endpoint.start()
                self.store.register(endpoint)
        self.configure()

    async def close(self) -> None:
        """Stop the endpoints and the store."""
        for group in self.groups.values():
            for endpoint in group.endpoints:
                await endpoint.stop()
            for task in list(group.tasks):
                task.cancel()
        await self.store.close()

    def configure(self, *, routes: list[dict] | None = None) -> int:
        """Write a newer config; return its version."""
        self._version += 1
        kinds = {
            "lock": ("primary", 0, 0),
            "sheet": ("bounded_staleness", 2, 1500),
            "tally": ("read_your_writes", 1, 2500),
        }
        if routes is None:
            routes = [
                {
                    "name": f"{name}-{group}",
                    "host": f"{name}-{group}",
                    "prefix": "/",
                    "kind": kind,
                    "timeout_ms": 2000,
                    "goal_ms": 500,
                    "priority": priority,
                    "service": group,
                    "max_staleness_ms": staleness_ms,
                }
                for group in self.groups
                for name, (kind, priority, staleness_ms) in kinds.items()
            ]
        services = [
            {"name": name, "conn_limit": 22, "sync_replicas": 1} for name in self.groups
        ]
        self._config = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": {"tx_idle_ms": 3000},
        }
        if self.tenants:
            self._config["tenants"] = self.tenants
        self.store.put_json("op/config", self._config)
        return self._version

    @property
    def version(self) -> int:
        """Version of the newest config."""
        return self._version

    def restore_store(self, copy: StoreCopy) -> None:
        """Restore the store; the operator and the endpoints write again.

        The entries of endpoints that have left are deleted.
        """
        self.store.restore(copy)
        running = {
            f"servers/{endpoint.id}"
            for group in self.groups.values()
            for endpoint in group.endpoints
        }
        for key in list(self.store.items):
            if key.startswith("servers/") and key not in running:
                self.store.put(key, None)
        self.store.put_json("op/config", self._config)
        for group in self.groups.values():
            for endpoint in group.endpoints:
                self.store.register(endpoint)

    def settings(
        self, name: str, *, front: int, ready: int, internal: int = 0, zone: int = 0
    ) -> dict:
        """Return the settings of an edge process on loopback ports."""
        address = self.store_address or self.store.address
        return {
            "node_name": name,
            "zone": self.zones[zone],
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": "",
            },
            "internal_port_range": [internal, internal],
            "platform": {"address": self.store_addresses.get(name, address)},
            "cloud_api": {"address": self.cloud_addresses.get(name, address)},
            "bounds": {"drain_ms": 7000, "grace_s": 6},
        }
