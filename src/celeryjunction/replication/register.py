"""Endpoints of all groups, from the platform's register of heartbeats.

An endpoint's entry expires when its heartbeats stop, but also while the store is
unavailable. A missing entry therefore means a lost endpoint only once the store has
answered for `REREGISTER_S`, because running endpoints are listed again by then.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterable, Iterator
from random import Random

from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    KeyValue,
    KeyValueList,
    KeyValueStore,
    StoreRefused,
    StoreUnavailable,
)
from celeryjunction.replication.ports import EndpointInfo

POLL_INTERVAL_S = 1.0
"""Interval between two list calls. Entries change with each heartbeat, so a watch would
cost as many calls as there are heartbeats."""
LINEARIZABLE_INTERVAL_S = 2.8
"""Interval between linearizable lists, which cost ten times as much as stale ones.
Together with the poll interval, a draining endpoint is noticed well within the shortest
drain time of 7 s, however old the stale lists are."""
LIST_TIMEOUT_S = 1.5
REREGISTER_S = 3.0
"""The platform lists running endpoints again about 2 s after the store returns."""
MAX_PEER_AGE_S = 2.0
"""A list that another VM passes on is used until the register's confirmation is this
old. Covers that VM's poll interval and one failed call."""
UNAVAILABLE_AFTER_S = 2.5
"""After this long without an answer the store counts as unavailable, and entries may
have expired meanwhile."""

_log = get_logger("register")

Decode = Callable[[KeyValue], EndpointInfo | str]
ListStale = Callable[..., Awaitable[KeyValueList]]
OnEndpoints = Callable[[dict[str, EndpointInfo]], None]


class EndpointRegister:
    """Polls the register and keeps the last known entries while it is unavailable."""

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        *,
        decode: Decode,
        clock: Clock,
        random: Random,
        list_stale: ListStale | None = None,
    ) -> None:
        self.endpoints: dict[str, EndpointInfo] = {}
        self.draining_since: dict[str, float] = {}
        """When each endpoint was first seen draining, seconds; 0 for the first list."""
        self.synced = asyncio.Event()
        self._store = store
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._random = random
        self._list_stale = list_stale
        self._linearizable_at = -math.inf
        self._revision = 0
        self._answered_at = 0.0
        self._available_since = 0.0
        self._listeners: list[OnEndpoints] = []
        self._ignored: dict[str, str] = {}
        self._peer_list_until = 0.0
        self.version = 0
        """Grows with each change of the endpoints."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "endpoints", sorted(self.endpoints)
        yield "revision", self._revision

    def subscribe(self, listener: OnEndpoints) -> None:
        """Call `listener` with all endpoints after each change."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """List the register periodically until cancelled."""
        while True:
            now = self._clock.monotonic()
            if now >= self._peer_list_until:
                await self.poll(
                    stale=now - self._linearizable_at < LINEARIZABLE_INTERVAL_S
                )
            pause = POLL_INTERVAL_S if self.synced.is_set() else POLL_INTERVAL_S / 5
            await asyncio.sleep(pause * self._random.uniform(0.8, 1.2))

    @property
    def age_s(self) -> float:
        """Seconds since the register confirmed the endpoints."""
        return self._clock.monotonic() - self._answered_at

    @property
    def revision(self) -> int:
        """Revision of the store that the endpoints reflect."""
        return self._revision

    def update_from_peer(
        self, endpoints: Iterable[EndpointInfo], *, age_s: float, revision: int = 0
    ) -> None:
        """Use the endpoints that another VM's register confirmed `age_s` seconds ago.

        Until they are `MAX_PEER_AGE_S` old, the register is not polled. A list of an
        older `revision` than the known one is ignored, since it may name endpoints that
        have left; 0 means that the peer does not tell the revision.
        """
        if age_s > MAX_PEER_AGE_S or 0 < revision < self._revision:
            return
        self._revision = max(self._revision, revision)
        now = self._clock.monotonic()
        self._peer_list_until = now + MAX_PEER_AGE_S - age_s
        self._answered_at = max(self._answered_at, now - age_s)
        found = {info.id: info for info in endpoints}
        if found != self.endpoints or not self.synced.is_set():
            self._set_endpoints(found, now)

    async def poll(self, *, stale: bool = False) -> bool:
        """List the register once; return whether the store answered.

        With `stale`, the list is cheaper for the store but may be seconds old.
        """
        stale_list = self._list_stale if stale else None
        call = stale_list or self._store.list
        started = self._clock.monotonic()
        try:
            listed = await call(self._prefix, timeout=LIST_TIMEOUT_S)
        except (StoreUnavailable, StoreRefused) as error:
            if self._available_since:
                _log.warning("register_unavailable", reason=str(error))
            self._available_since = 0.0
            return False
        now = self._clock.monotonic()
        if stale_list is None:
            self._linearizable_at = started
        if listed.revision < self._revision:
            return True
        if not self._available_since or now - self._answered_at > UNAVAILABLE_AFTER_S:
            _log.info("register_available", revision=listed.revision)
            self._available_since = now
        self._answered_at = now
        self._revision = listed.revision
        self._process_items(listed.items, now)
        return True

    def _process_items(self, items: tuple[KeyValue, ...], now: float) -> None:
        found: dict[str, EndpointInfo] = {}
        for item in items:
            info = self._decode(item)
            if isinstance(info, str):
                self._ignore(item.key, info)
            else:
                found[info.id] = info
        complete = now - self._available_since >= REREGISTER_S
        if not complete:
            for name, info in self.endpoints.items():
                found.setdefault(name, info)
        if found != self.endpoints or not self.synced.is_set():
            self._set_endpoints(found, now)

    def _set_endpoints(self, found: dict[str, EndpointInfo], now: float) -> None:
        for name in sorted(self.endpoints.keys() - found.keys()):
            _log.info("endpoint_gone", endpoint=name, revision=self._revision)
        for name, info in found.items():
            previous = self.endpoints.get(name)
            if previous != info:
                _log.info(
                    "endpoint_registered",
                    endpoint=name,
                    group=info.group,
                    zone=info.zone,
                    draining=info.draining,
                    started_ms=info.started_ms,
                    revision=self._revision,
                )
        first = not self.synced.is_set()
        self.draining_since = {
            name: self.draining_since.get(name, 0.0 if first else now)
            for name, info in found.items()
            if info.draining
        }
        self.endpoints = found
        self.version += 1
        self.synced.set()
        for listener in self._listeners:
            listener(found)

    def _ignore(self, key: str, reason: str) -> None:
        if self._ignored.get(key) != reason and len(self._ignored) < 1000:
            self._ignored[key] = reason
            _log.warning("register_entry_ignored", entry=key, reason=reason)
