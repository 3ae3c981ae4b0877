"""A key-value store over HTTP whose answers to each VM can be lost, late or cut.

It reads requests and writes responses with code of its own. Each VM has an address of
its own, so that the faults of one VM's link leave the others alone. Its first revision
is drawn, and waiting watches are cut at any time, as the protocol allows.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections import Counter, deque
from contextlib import suppress
from random import Random
from urllib.parse import parse_qsl, urlsplit

HISTORY_S = 20.0
"""Time for which changes are kept for watches."""
LONGEST_HOLD_S = 0.9
"""A late answer and its request wait on a link for at most half a second each."""
EPISODE_S = (4.0, 9.0)
"""Time from the end of one series of lost answers of a VM to the next one."""
OTHER_SHARE = 0.2
"""Share of the answers without a change at which a due series begins."""
CUT_SHARE = 0.1
"""Share of the watches that are cut while they wait."""
CLOSE_SHARE = 0.02
"""Share of the calls whose connection is closed without an answer."""
HOLD_SHARE = 0.05
"""Share of the answers that come late."""


class LinkState:
    """Faults of the answers to one VM.

    At most `most_lost` answers are lost one after the other, then none for a time drawn
    from `EPISODE_S`. What closes a connection is seen at once and comes at any time.
    Without `most_lost` there are no such faults.
    """

    __slots__ = ("_left", "_most_lost", "_next_at", "_random", "left_of_config", "log")

    def __init__(self, random: Random, *, most_lost: int) -> None:
        self._random = random
        self._most_lost = most_lost
        self._next_at = time.monotonic() + random.uniform(0.0, EPISODE_S[1])
        self._left = 0
        """Answers that are still to be lost."""
        self.left_of_config = 0
        """Answers about the config that are still to be lost, beside those."""
        self.log: deque[tuple[float, str, str]] = deque(maxlen=200)
        """Time, call and form of the last faults."""

    def draw(self, call: str, *, is_awaited: bool) -> str:
        """Return the form of the next answer; "" for one without a fault.

        A series begins at an answer that carries a change, or at any other one.
        """
        now, form = time.monotonic(), ""
        if self.left_of_config and is_awaited:
            self.left_of_config -= 1
            return "lost"
        if not self._most_lost:
            return ""
        is_due = not self._left and now >= self._next_at
        if is_due and (is_awaited or self._random.random() < OTHER_SHARE):
            self._left = self._random.randint(1, self._most_lost)
        if self._left:
            self._left -= 1
            self._next_at = now + self._random.uniform(*EPISODE_S)
            form = "lost"
        elif self._random.random() < CLOSE_SHARE:
            form = self._random.choice(["closed", "reset"])
        elif self._random.random() < HOLD_SHARE:
            form = "late"
        if form:
            self.log.append((now, call, form))
        return form


class LossyStore:
    """The store; `put` writes as the operator does and returns the time of its ack."""

    def __init__(self, *, seed: int, most_lost: int) -> None:
        self._seed = seed
        self._most_lost = most_lost
        self._random = Random(f"{seed} store")
        self._items: dict[str, dict] = {}
        self._revision = self._random.randrange(1, 1_000_000_000)
        self._changes: deque[tuple[float, dict]] = deque()
        self._compacted = self._revision
        self._changed = asyncio.Event()
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = self._random.randrange(1, 1 << 40)
        self._servers: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[None]] = set()
        self.links: dict[str, LinkState] = {}
        self.calls: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()

    async def listen(self, vm: str) -> str:
        """Open the address of one VM."""
        link = LinkState(Random(f"{self._seed} {vm}"), most_lost=self._most_lost)
        self.links[vm] = link

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(self._serve(reader, writer, link))
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self._servers.append(server)
        port = server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Close all addresses and connections."""
        for server in self._servers:
            server.close()
        for task in list(self._connections):
            task.cancel()

    def put(self, key: str, value: bytes | None, *, lease: int = 0) -> float:
        """Write or delete a key; return the time at which the write was acknowledged.

        Watches learn of it afterwards.
        """
        self._revision += 1
        if value is None:
            self._items.pop(key, None)
            change = {"key": key, "revision": self._revision, "tombstone": True}
        else:
            created = self._items.get(key, {}).get("created", self._revision)
            change = self._items[key] = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self._revision,
                "created": created,
                "lease": lease,
            }
        now = time.monotonic()
        self._changes.append((now, change))
        while self._changes[0][0] < now - HISTORY_S:
            self._compacted = self._changes.popleft()[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()
        return time.monotonic()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: LinkState,
    ) -> None:
        """Answer the requests of a connection, one after the other."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                method, target, _ = first.split(" ")
                headers = dict(line.lower().split(": ", 1) for line in lines if line)
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length)
                if not await self._respond(method, target, body, writer, link):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _respond(
        self,
        method: str,
        target: str,
        body: bytes,
        writer: asyncio.StreamWriter,
        link: LinkState,
    ) -> bool:
        """Execute a call and answer it; return whether the connection goes on."""
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        call = "/".join(url.path.split("/")[:2])
        self.calls[call] += 1
        status, answer = await self._execute(method, url.path, query, body)
        is_awaited = bool(answer.get("events")) or query.get("prefix") == "op/"
        form = link.draw(call, is_awaited=is_awaited)
        self.faults[form or "none"] += 1
        if form == "lost":
            await asyncio.Event().wait()
        if form == "closed" or status == 0:
            return False
        if form == "reset":
            writer.transport.abort()
            return False
        if form == "late":
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_HOLD_S))
        data = json.dumps(answer, separators=(",", ":")).encode()
        writer.write(
            f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
        return True

    async def _execute(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict]:
        """Execute a call; a status of 0 stands for a watch that is cut."""
        now = time.monotonic()
        for lease in [n for n, (ends, _) in self._leases.items() if ends <= now]:
            self._end_lease(lease)
        data = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self._items.get(query["key"])
            return (200, {**item, "current_rev": self._revision}) if item else (404, {})
        if path == "/kv-range":
            found = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            ]
            return 200, {
                "items": found[:500],
                "has_more": len(found) > 500,
                "current_rev": self._revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._transact(data)
        if path == "/kv-lease":
            self._next_lease += 1
            ttl_s = data["ttl_ms"] / 1000
            self._leases[self._next_lease] = (now + ttl_s, ttl_s)
            return 200, {"lease": self._next_lease, "ttl_ms": data["ttl_ms"]}
        lease = int(path.rpartition("/")[2])
        if lease not in self._leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
        else:
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (now + ttl_s, ttl_s)
        return 200, {}

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, item in self._items.items() if item["lease"] == lease]:
            self.put(key, None)

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, wait_s = int(query["after"]), int(query["wait_ms"]) / 1000
        ends = time.monotonic() + wait_s
        is_cut = self._random.random() < CUT_SHARE
        if is_cut:
            ends -= self._random.uniform(0.0, wait_s)
        while True:
            if after < self._compacted or after > self._revision:
                return 410, {}
            events = [
                change
                for _, change in self._changes
                if change["revision"] > after
                and change["key"].startswith(query["prefix"])
            ]
            left = ends - time.monotonic()
            if events or (left <= 0 and not is_cut):
                self._random.shuffle(events)
                return 200, {"events": events, "current_rev": self._revision}
            if left <= 0:
                return 0, {}
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), timeout=left)

    def _transact(self, data: dict) -> tuple[int, dict]:
        rows = data.get("expected_rev", [])
        found = [self._items.get(row["key"]) for row in rows]
        if [item["revision"] if item else 0 for item in found] != [
            row["revision"] for row in rows
        ]:
            return 412, {"items": [item for item in found if item]}
        puts = data.get("put_items", [])
        if {put.get("lease", 0) for put in puts} - {0, *self._leases}:
            return 404, {}
        for put in puts:
            value = base64.b64decode(put["value"])
            self.put(put["key"], value, lease=put.get("lease", 0))
        for key in data.get("delete_keys", []):
            self.put(key, None)
        return 200, {"revision": self._revision}
