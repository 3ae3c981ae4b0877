"""The platform's metadata store over HTTP: `KeyValueStore`."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator, Sequence
from urllib.parse import urlencode

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure, HttpResponse
from celeryjunction.ports import (
    Compare,
    KeyValue,
    KeyValueList,
    LeaseLapsed,
    Put,
    PutResult,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)

URGENT_WAIT_MS = 2500
"""A watch of an urgent prefix is asked anew after this. A connection that went silent
is then noticed in time for the platform's bound on the config (3 s after 4 s without
contact)."""
RELAXED_WAIT_MS = 6000
"""The same while another VM says within a second that there is something new."""
WATCH_WAIT_MS = 15_000
"""Any other watch is asked anew after this: each call is priced."""
BATCH_S = 2.0
"""Pause of such a watch after a change. A rolling restart changes the list of VMs
twice for each of them, and each VM would make a call for each change."""
WATCH_SLACK_S = 0.5
"""A watch without an answer for so much longer is broken."""


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _Written(msgspec.Struct):
    revision: int


class _Mismatch(msgspec.Struct):
    items: list[_Item | None] = []


class _Lease(msgspec.Struct):
    lease: int


class HttpStore:
    """Implements `KeyValueStore`. Watches use connections of their own.

    `urgent_prefix` is the one whose changes have a bound. While `relaxed` is set, its
    changes are also heard of otherwise, and fewer calls are made.
    """

    def __init__(self, client: HttpClient, *, urgent_prefix: str = "") -> None:
        self._client = client
        self._urgent_prefix = urgent_prefix
        self.relaxed = False

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: dict[str, object] | None = None,
        body: object = None,
        accept: tuple[int, ...] = (200,),
        long_poll: bool = False,
    ) -> HttpResponse:
        if query:
            path = f"{path}?{urlencode(query)}"
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            response = await self._client.request(
                method, path, body=data, timeout=timeout, long_poll=long_poll
            )
        except HttpFailure as error:
            raise StoreUnavailable(str(error)) from None
        if response.status in accept:
            return response
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailable(f"status {response.status}")
        raise StoreRefused(f"status {response.status}")

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key, linearizable."""
        response = await self._call(
            "GET", "/kv-key", query={"key": key}, timeout=timeout, accept=(200, 404)
        )
        return None if response.status == 404 else _key_value(_decode(response, _Item))

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        """Read all keys under a prefix; the revision is that of the first page.

        Pages are not a snapshot: a change during the list is seen by a watch that
        starts at that revision.
        """
        return await self._list({"prefix": prefix}, timeout)

    async def list_stale(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        """Read all keys under a prefix as they may have been seconds ago.

        That costs a tenth of a linearizable read.
        """
        return await self._list({"prefix": prefix, "allow_stale": 1}, timeout)

    async def _list(self, query: dict[str, object], timeout: float) -> KeyValueList:
        items: list[KeyValue] = []
        revision = 0
        while True:
            response = await self._call(
                "GET", "/kv-range", query=query, timeout=timeout
            )
            page = _decode(response, _Range)
            revision = revision or page.current_rev
            items += map(_key_value, page.items)
            if not page.has_more or not page.items:
                return KeyValueList(tuple(items), revision)
            query["after"] = page.items[-1].key

    async def compare_and_put(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        *,
        lease: int = 0,
        timeout: float = 2.0,
    ) -> PutResult:
        """Apply all puts in one step if every compare holds."""
        body = {
            "expected_rev": [
                {"key": one.key, "revision": one.revision} for one in compares
            ],
            "put_items": [
                {"key": put.key, "value": _encode(put.value), "lease": lease}
                for put in puts
                if put.value is not None
            ],
            "delete_keys": [put.key for put in puts if put.value is None],
        }
        response = await self._call(
            "POST", "/kv-txn", body=body, timeout=timeout, accept=(200, 404, 412)
        )
        if response.status == 404:
            raise LeaseLapsed("the lease is gone")
        if response.status == 200:
            return self._put_result(compares, puts, _decode(response, _Written))
        found = {
            item.key: _key_value(item)
            for item in _decode(response, _Mismatch).items
            if item is not None and item.revision and not item.tombstone
        }
        current = tuple(found.get(one.key) for one in compares)
        return PutResult(False, 0, current)

    @staticmethod
    def _put_result(
        compares: Sequence[Compare], puts: Sequence[Put], written: _Written
    ) -> PutResult:
        values = {put.key: put.value for put in puts}
        current = tuple(
            KeyValue(one.key, value, written.revision)
            if (value := values.get(one.key)) is not None
            else None
            for one in compares
        )
        return PutResult(True, written.revision, current)

    async def watch(
        self, prefix: str, *, start_revision: int
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from a revision on."""
        after = start_revision - 1
        urgent = prefix == self._urgent_prefix
        while True:
            wait_ms = self._wait_ms(urgent)
            query = {"prefix": prefix, "after": after, "wait_ms": wait_ms}
            response = await self._call(
                "GET",
                "/kv-watch",
                query=query,
                timeout=wait_ms / 1000 + WATCH_SLACK_S,
                accept=(200, 410),
                long_poll=True,
            )
            if response.status == 410:
                raise WatchCompacted(f"changes after {after} are gone")
            page = _decode(response, _Events)
            for item in page.events:
                value = None if item.tombstone else _key_value(item).value
                yield WatchEvent(item.key, value, item.revision)
            after = max(after, page.current_rev)
            yield WatchEvent("", None, after)
            if page.events and not urgent:
                await asyncio.sleep(BATCH_S)

    def _wait_ms(self, urgent: bool) -> int:
        if not urgent:
            return WATCH_WAIT_MS
        return RELAXED_WAIT_MS if self.relaxed else URGENT_WAIT_MS

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Return a new lease that lapses after `ttl` seconds without renewal."""
        response = await self._call(
            "POST", "/kv-lease", body={"ttl_ms": ttl * 1000}, timeout=timeout
        )
        return _decode(response, _Lease).lease

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; False when it has lapsed."""
        response = await self._call(
            "POST", f"/kv-keep/{lease}", timeout=timeout, accept=(200, 404)
        )
        return response.status == 200

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        """End a lease and delete its keys."""
        await self._call(
            "DELETE", f"/kv-lease-end/{lease}", timeout=timeout, accept=(200, 404)
        )

    async def close(self) -> None:
        """Close the connections."""
        self._client.close()


def _decode(response: HttpResponse, kind):
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"unreadable answer: {error}") from None


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _key_value(item: _Item) -> KeyValue:
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return KeyValue(item.key, value, item.revision)
