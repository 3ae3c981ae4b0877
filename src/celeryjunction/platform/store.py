"""HTTP client of the platform's metadata store: `KeyValueStore`.

Watches are long polls: a call returns as soon as there is a change, or empty after the
wait that it names.
"""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Sequence
from urllib.parse import urlencode

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure, HttpResponse
from celeryjunction.logs import get_logger
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
from celeryjunction.shared_watch import SharedWatch, WatchPage

MIN_WAIT_MS = 500
WAIT_MARGIN_MS = 500
"""A long poll for changes waits this much less than the platform's bound on the config,
so that a dead connection is noticed in time."""
PEER_REPORTED_WAIT_MS = 6000
"""Wait of a long poll while a peer reports changes within a second."""
BATCH_DELAY_S = 1.0
"""Pause after changes, so that the next call returns several at once: a rolling restart
changes the list of VMs twice for each VM, and each VM makes a call for each change. It
is well within the platform's bound on the config."""
WATCH_TIMEOUT_MARGIN_S = 0.5
"""A long poll without a response this long after its wait is taken as broken."""
ERA_HEADER = "store-era"
"""Header of all responses: how often the store came back from an older copy."""

_log = get_logger("store")


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""
    tombstone: bool = False


class _RangePage(msgspec.Struct):
    items: list[_Item]
    current_rev: int
    has_more: bool = False


class _ChangesPage(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class _PutResponse(msgspec.Struct):
    revision: int


class _ConflictResponse(msgspec.Struct):
    items: list[_Item | None] = []


class _LeaseResponse(msgspec.Struct):
    lease: int


class HttpStore:
    """Implements `KeyValueStore`. All watches share one long poll.

    Changes are seen within `config_apply_ms` even if the connection is dead. While
    `peer_reports_changes` is set, another VM reports them as well, and the long poll
    makes fewer calls.
    """

    def __init__(self, client: HttpClient, *, config_apply_ms: float = 3000.0) -> None:
        self._client = client
        self._wait_ms = max(int(config_apply_ms) - WAIT_MARGIN_MS, MIN_WAIT_MS)
        self._shared_watch = SharedWatch(
            self._poll_changes, batch_delay_s=BATCH_DELAY_S
        )
        self.peer_reports_changes = False
        self._era = 0

    @property
    def era(self) -> int:
        """Highest era that a response named; 0 before the first one."""
        return self._era

    @property
    def longest_silence_s(self) -> float:
        """Longest time between two answers to a long poll of a VM that has no peer."""
        return self._wait_ms / 1000 + BATCH_DELAY_S

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
        self._observe_era(response)
        if response.status in accept:
            return response
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailable(f"status {response.status}")
        raise StoreRefused(f"status {response.status}")

    def _observe_era(self, response: HttpResponse) -> None:
        text = response.headers.get(ERA_HEADER, "")
        era = int(text) if text.isdecimal() else self._era
        if era == self._era:
            return
        if self._era:
            _log.warning("store_era_changed", era=era, before=self._era)
        self._era = max(self._era, era)

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key with a linearizable read."""
        response = await self._call(
            "GET", "/kv-key", query={"key": key}, timeout=timeout, accept=(200, 404)
        )
        return None if response.status == 404 else _key_value(_decode(response, _Item))

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        """Read all keys under a prefix with linearizable reads.

        The pages are not one snapshot. The returned revision is that of the first
        page, so a watch that continues from it yields the changes made meanwhile.
        """
        return await self._list_pages({"prefix": prefix}, timeout)

    async def _list_pages(
        self, query: dict[str, object], timeout: float
    ) -> KeyValueList:
        items: list[KeyValue] = []
        revision = 0
        while True:
            response = await self._call(
                "GET", "/kv-range", query=query, timeout=timeout
            )
            page = _decode(response, _RangePage)
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
        """Apply all puts atomically if every compare holds.

        Raises `LeaseExpired` if `lease` is not 0 and no longer exists.
        """
        body = {
            "expected_rev": [
                {"key": compare.key, "revision": compare.revision}
                for compare in compares
            ],
            "put_items": [
                {"key": put.key, "value": _encode_value(put.value), "lease": lease}
                for put in puts
                if put.value is not None
            ],
            "delete_keys": [put.key for put in puts if put.value is None],
        }
        response = await self._call(
            "POST", "/kv-txn", body=body, timeout=timeout, accept=(200, 404, 412)
        )
        if response.status == 404:
            raise LeaseExpired("the lease has expired")
        if response.status == 200:
            return self._put_result(compares, puts, _decode(response, _PutResponse))
        found = {
            item.key: _key_value(item)
            for item in _decode(response, _ConflictResponse).items
            if item is not None and item.revision and not item.tombstone
        }
        current = tuple(found.get(compare.key) for compare in compares)
        return PutResult(False, 0, current)

    @staticmethod
    def _put_result(
        compares: Sequence[Compare], puts: Sequence[Put], written: _PutResponse
    ) -> PutResult:
        values = {put.key: put.value for put in puts}
        current = tuple(
            KeyValue(compare.key, value, written.revision)
            if (value := values.get(compare.key)) is not None
            else None
            for compare in compares
        )
        return PutResult(True, written.revision, current)

    def watch(self, prefix: str, *, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from `start_revision` on.

        After each response, an event with an empty key gives the revision reached.
        Raises `WatchCompacted` if changes after the revision are no longer kept.
        """
        return self._shared_watch.watch(prefix, start_revision=start_revision)

    async def _poll_changes(self, after: int) -> WatchPage:
        """Wait for changes of any key after a revision."""
        wait_ms = self._wait_ms
        if self.peer_reports_changes:
            wait_ms = max(wait_ms, PEER_REPORTED_WAIT_MS)
        response = await self._call(
            "GET",
            "/kv-watch",
            query={"prefix": "", "after": after, "wait_ms": wait_ms},
            timeout=wait_ms / 1000 + WATCH_TIMEOUT_MARGIN_S,
            accept=(200, 410),
            long_poll=True,
        )
        if response.status == 410:
            raise WatchCompacted(f"changes after revision {after} were compacted")
        page = _decode(response, _ChangesPage)
        events = [
            WatchEvent(
                item.key,
                None if item.tombstone else _key_value(item).value,
                item.revision,
            )
            for item in page.events
        ]
        return WatchPage(events, page.current_rev)

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Create a lease that expires `ttl` seconds after its last renewal."""
        response = await self._call(
            "POST", "/kv-lease", body={"ttl_ms": ttl * 1000}, timeout=timeout
        )
        return _decode(response, _LeaseResponse).lease

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; False when it has expired."""
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
        """Close the idle connections."""
        self._client.close()


def _decode(response: HttpResponse, kind):
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreUnavailable(f"unreadable answer: {error}") from None


def _encode_value(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _key_value(item: _Item) -> KeyValue:
    try:
        value = base64.b64decode(item.value)
    except ValueError:
        value = b""
    return KeyValue(item.key, value, item.revision)
