"""HTTP client of the platform's metadata store: `KeyValueStore`.

Watches are long polls: a call returns as soon as there is a change, or empty after the
wait that it names. All responses name the store's era; revisions and leases are passed
on in the form of `store_history`, and those of an earlier era are not sent.
"""

from __future__ import annotations

import base64
from collections.abc import AsyncIterator, Sequence
from urllib.parse import urlencode

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure, HttpResponse
from celeryjunction.decoding import DecodingError, decode_json
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
from celeryjunction.shared_watch import BATCH_DELAY_S, SharedWatch, WatchPage
from celeryjunction.store_evidence import StoreEvidence
from celeryjunction.store_history import (
    Lease,
    Revision,
    StoreHistory,
    local_lease,
    local_revision,
)
from celeryjunction.watch_wait import WatchWait

ERA_HEADER = "store-era"
"""Header of all responses: how often the store came back from an older copy."""


class _Item(msgspec.Struct):
    key: str
    revision: Revision
    value: str = ""
    tombstone: bool = False


class _KeyResponse(_Item):
    current_rev: Revision = 0


class _RangePage(msgspec.Struct):
    items: list[_Item]
    current_rev: Revision
    has_more: bool = False


class _ChangesPage(msgspec.Struct):
    events: list[_Item]
    current_rev: Revision


class _PutResponse(msgspec.Struct):
    revision: Revision


class _ConflictResponse(msgspec.Struct):
    items: list[_Item | None] = []


class _LeaseResponse(msgspec.Struct):
    lease: Lease


class HttpStore:
    """Implements `KeyValueStore`. All watches share one long poll."""

    def __init__(self, client: HttpClient, *, config_apply_ms: float = 3000.0) -> None:
        self._client = client
        self.watch_wait = WatchWait(config_apply_ms)
        self._shared_watch = SharedWatch(
            lambda after: self.watch_wait.poll(self.changes, after),
            batch_delay_s=BATCH_DELAY_S,
        )
        self.history = StoreHistory()
        self._evidence = StoreEvidence(self.history)
        # A watch of an earlier era waits for a revision that may not come.
        self.history.subscribe(client.abort_long_polls)
        self.history.subscribe(self._shared_watch.restart_after_loss)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        query: dict[str, object] | None = None,
        body: object = None,
        accept: tuple[int, ...] = (200,),
        **options: bool,
    ) -> HttpResponse:
        if query:
            path = f"{path}?{urlencode(query)}"
        data = b"" if body is None else msgspec.json.encode(body)
        try:
            response = await self._client.request(
                method, path, body=data, timeout=timeout, **options
            )
        except HttpFailure as error:
            raise StoreUnavailable(str(error)) from None
        self.history.observe_text(response.headers.get(ERA_HEADER, ""))
        if response.status in accept:
            return response
        if response.status in (429, 503) or response.status >= 500:
            raise StoreUnavailable(f"status {response.status}")
        raise StoreRefused(f"status {response.status}")

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        """Read one key with a linearizable read."""
        call = self._evidence.begin()
        response = await self._call(
            "GET", "/kv-key", query={"key": key}, timeout=timeout, accept=(200, 404)
        )
        if response.status == 404:
            return None
        item = _decode(response, _KeyResponse)
        self._evidence.confirm(call, item.current_rev)
        return self._key_value(item)

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
        revision, losses = 0, None
        while True:
            call = self._evidence.begin()
            response = await self._call(
                "GET", "/kv-range", query=query, timeout=timeout, large=True
            )
            page = _decode(response, _RangePage)
            self._evidence.confirm(call, page.current_rev)
            losses = self.history.losses if losses is None else losses
            self.history.check_no_loss_since(losses)
            revision = revision or self.history.qualify_revision(page.current_rev)
            items += map(self._key_value, page.items)
            if not page.has_more or not page.items:
                return KeyValueList(tuple(items), revision, losses)
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

        A revision of an earlier era does not hold. Raises `LeaseExpired` if `lease` is
        not 0 and no longer exists, and `StoreUnavailable` also if the store was
        restored during the call.
        """
        history = self.history
        if not history.is_current_lease(lease):
            raise LeaseExpired("the store has lost the lease")
        if not all(
            history.is_current_revision(compare.revision) for compare in compares
        ):
            current = [await self.get(c.key, timeout=timeout) for c in compares]
            return PutResult(False, 0, tuple(current))
        body = {
            "expected_rev": [
                {"key": compare.key, "revision": local_revision(compare.revision)}
                for compare in compares
            ],
            "put_items": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": local_lease(lease),
                }
                for put in puts
                if put.value is not None
            ],
            "delete_keys": [put.key for put in puts if put.value is None],
        }
        call = self._evidence.begin()
        response = await self._call(
            "POST", "/kv-txn", body=body, timeout=timeout, accept=(200, 404, 412)
        )
        succeeded, revision = response.status == 200, 0
        if succeeded:
            revision = _decode(response, _PutResponse).revision
            self._evidence.confirm(call, revision)
            revision = history.qualify_revision(revision)
        if lease or any(compare.revision for compare in compares):
            history.check_no_loss_since(call.losses)
        if response.status == 404:
            raise LeaseExpired("the lease has expired")
        if succeeded:
            found = {
                put.key: KeyValue(put.key, put.value, revision)
                for put in puts
                if put.value is not None
            }
        else:
            found = {
                item.key: self._key_value(item)
                for item in _decode(response, _ConflictResponse).items
                if item is not None and item.revision and not item.tombstone
            }
        current = tuple(found.get(compare.key) for compare in compares)
        return PutResult(succeeded, revision, current)

    def watch(self, prefix: str, *, start_revision: int) -> AsyncIterator[WatchEvent]:
        """Yield the changes under a prefix from `start_revision` on.

        After each response, an event with an empty key gives the revision reached.
        Raises `WatchCompacted` if changes after the revision are no longer kept.
        """
        return self._shared_watch.watch(prefix, start_revision=start_revision)

    async def changes(
        self, prefix: str, after: int, *, wait_ms: int = 0, timeout: float
    ) -> WatchPage:
        """Return the changes under a prefix after a revision, or wait for one.

        Raises `WatchCompacted` if the store does not keep them any more.
        """
        history = self.history
        if not history.is_current_revision(after):
            raise WatchCompacted("the store was restored from a copy")
        call = self._evidence.begin()
        number = local_revision(after)
        response = await self._call(
            "GET",
            "/kv-watch",
            query={"prefix": prefix, "after": number, "wait_ms": wait_ms},
            timeout=timeout,
            accept=(200, 410),
            long_poll=wait_ms > 0,
            large=True,
        )
        if response.status == 410 or not history.is_current_revision(after):
            raise WatchCompacted(f"changes after revision {after} were compacted")
        page = _decode(response, _ChangesPage)
        self._evidence.confirm(call, page.current_rev, after=after)
        if call.losses != history.losses:
            raise WatchCompacted("the store has lost changes")
        events = [
            WatchEvent(
                item.key,
                None if item.tombstone else self._key_value(item).value,
                history.qualify_revision(item.revision),
            )
            for item in sorted(page.events, key=lambda item: item.revision)
        ]
        return WatchPage(events, history.qualify_revision(page.current_rev))

    def _key_value(self, item: _Item) -> KeyValue:
        try:
            value = base64.b64decode(item.value)
        except ValueError:
            value = b""
        return KeyValue(item.key, value, self.history.qualify_revision(item.revision))

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        """Create a lease that expires `ttl` seconds after its last renewal."""
        body = {"ttl_ms": ttl * 1000}
        response = await self._call("POST", "/kv-lease", body=body, timeout=timeout)
        return self.history.qualify_lease(_decode(response, _LeaseResponse).lease)

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        """Renew a lease; False when it has expired or is of an earlier era."""
        if not self.history.is_current_lease(lease):
            return False
        path = f"/kv-keep/{local_lease(lease)}"
        response = await self._call("POST", path, timeout=timeout, accept=(200, 404))
        return response.status == 200 and self.history.is_current_lease(lease)

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        """End a lease and delete its keys; one of an earlier era ends by itself."""
        if not self.history.is_current_lease(lease):
            return
        path = f"/kv-lease-end/{local_lease(lease)}"
        await self._call("DELETE", path, timeout=timeout, accept=(200, 404))

    async def close(self) -> None:
        """End the waiting watch."""
        self._client.close()


def _decode(response: HttpResponse, kind):
    try:
        return decode_json(kind, response.body)
    except DecodingError as error:
        raise StoreUnavailable(f"unreadable answer: {error}") from None
