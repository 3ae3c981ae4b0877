"""Local copies of the keys under a prefix of the key-value service."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterator, Sequence
from functools import cache
from random import Random
from typing import TypeVar

import msgspec

from celeryjunction.decoding import DecodingError, decode, printable_reason
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    KeyValue,
    KeyValueList,
    KeyValueStore,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
    WatchEvent,
)

_LIST_TIMEOUT_S = 5.0
_MAX_LIST_TIMEOUT_S = 60.0
"""The timeout for lists doubles up to this after each failure: when all VMs list 33,000
groups at once, 5 s may be too short for each of them on every attempt."""
_SMALL_LIST_TIMEOUT_S = 2.5
"""Time-out for lists of few keys, which take some ms, or 2 s over a link on which
packets wait for 0.5 s in each direction."""
_SMALL_LIST_RETRY_S = 1.0
"""Such a list is sent again beside one that got no answer for this long: a call that is
sent as the service falls silent gets none when the service is back."""
_SMALL_MAX_BACKOFF_S = 0.5
"""Longest pause between such lists. A change is in force 1.5 s after the service is
back."""
REFRESH_TIMEOUT_S = 1.5
"""Time-out of a list besides the watch. It does not grow with failures: while one
waits on a dead connection, no other is made."""
RECONNECTS_PER_S = 1_500
"""Rate at which all VMs together call the service after an outage."""
PREFIXES_PER_VM = 3
"""Number of prefixes that each VM follows."""
_log = get_logger("follower")

T = TypeVar("T")
OnChange = Callable[[WatchEvent], None]
Sleep = Callable[[float], Awaitable[None]]


class PrefixFollower:
    """Follows all keys under a prefix of the key-value service.

    The follower lists the keys once, then watches from the listed revision on. After a
    failure it resumes the watch at its last revision, with jittered back-off; it lists
    again only if the service has compacted the changes in between. Subscribers get
    each change once and in order; a key that vanished between two lists is passed on
    as a deletion. An answer older than the known revision is ignored, unless the
    service was found to have lost changes. The keys stay available during an outage.

    `max_backoff_s` bounds the pause between two attempts, in seconds. With the default
    a contract change is in force within 3 s after an outage. `set_vm_count` makes the
    pauses longer with many VMs.

    With `is_small` set, the prefix has few keys, and a list without an answer is given
    up soon. With `keep_values=False` only keys and revisions are kept, for subscribers
    that store the values in another form.
    """

    __slots__ = (
        "_base_backoff_s",
        "_clock",
        "_confirmed_at",
        "_failures",
        "_items",
        "_keep_values",
        "_last_contact",
        "_losses",
        "_max_backoff_s",
        "_needs_list",
        "_prefix",
        "_random",
        "_revision",
        "_revisions",
        "_sleep",
        "_spread_s",
        "_store",
        "_subscribers",
        "_synced_listeners",
        "is_small",
        "synced",
    )

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        *,
        clock: Clock,
        random: Random,
        base_backoff_s: float = 0.1,
        max_backoff_s: float = 1.5,
        keep_values: bool = True,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self.is_small = False
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._random = random
        self._base_backoff_s = base_backoff_s
        self._max_backoff_s = max_backoff_s
        self._sleep = sleep
        self._subscribers: list[OnChange] = []
        self._keep_values = keep_values
        self._spread_s = 0.0
        self._items: dict[str, KeyValue] = {}
        self._revisions: dict[str, int] = {}
        self._revision = 0
        self._losses = 0
        self._failures = 0
        self._last_contact = -math.inf
        self._confirmed_at = -math.inf
        self._needs_list = True
        self._synced_listeners: list[Callable[[], None]] = []
        self.synced = asyncio.Event()

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "prefix", self._prefix
        yield "revision", self._revision
        yield "keys", len(self._revisions)
        yield "age_s", self.age_s

    @property
    def prefix(self) -> str:
        """Prefix of the keys."""
        return self._prefix

    @property
    def losses(self) -> int:
        """How often the service had lost changes before the last list."""
        return self._losses

    @property
    def confirmed_at(self) -> float:
        """Monotonic time until which all changes are applied, by lists and reads.

        That is when the call was sent, since its answer may come much later. A watch
        does not count: one whose answer is lost looks like one without changes.
        """
        return self._confirmed_at

    @property
    def revision(self) -> int:
        """Revision of the service up to which all changes have been applied."""
        return self._revision

    @property
    def age_s(self) -> float:
        """Seconds since the service last answered; infinite before its first answer."""
        return self._clock.monotonic() - self._last_contact

    @property
    def _logged_age_s(self) -> float | None:
        age_s = self.age_s
        return round(age_s, 2) if math.isfinite(age_s) else None

    @property
    def items(self) -> dict[str, KeyValue]:
        """The last known keys and values; empty with `keep_values=False`."""
        return dict(self._items)

    def subscribe(self, on_change: OnChange) -> None:
        """Call `on_change` for every change from now on."""
        self._subscribers.append(on_change)

    def on_synced(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, after the next list of the keys."""
        self._synced_listeners.append(callback)

    def set_vm_count(self, vms: int) -> None:
        """Spread calls after an outage so that `vms` VMs keep to `RECONNECTS_PER_S`.

        With 2,300 VMs the first pause is up to 4.6 s, and after a failed attempt 4.6 to
        9.2 s.
        """
        self._spread_s = PREFIXES_PER_VM * vms / RECONNECTS_PER_S

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            try:
                if self._needs_list and self.is_small:
                    await self._apply_list(self._list_small())
                elif self._needs_list:
                    await self._relist(self._list_timeout_s)
                await self._watch()
            except WatchCompacted as error:
                self._needs_list = True
                # The service answers, so the list need not wait for a long back-off.
                self._failures = 0
                _log.warning(
                    "watch_compacted",
                    prefix=self._prefix,
                    revision=self._revision,
                    reason=str(error),
                )
            except (StoreUnavailable, StoreRefused) as error:
                _log.warning(
                    "watch_broken",
                    prefix=self._prefix,
                    revision=self._revision,
                    failures=self._failures,
                    age_s=self._logged_age_s,
                    reason=str(error),
                )
            await self._back_off()

    async def refresh(self, timeout_s: float = REFRESH_TIMEOUT_S) -> bool:
        """List the keys now, besides the watch; return whether the service answered."""
        try:
            await self._relist(timeout_s)
        except (StoreUnavailable, StoreRefused) as error:
            _log.warning(
                "refresh_failed",
                prefix=self._prefix,
                age_s=self._logged_age_s,
                reason=str(error),
            )
            return False
        return True

    def apply_changes(self, events: Sequence[WatchEvent], *, sent_at: float) -> None:
        """Apply all changes after the known revision, which were read at `sent_at`.

        Changes that the watch or a list has brought meanwhile are ignored.
        """
        known = self._revision
        for event in events:
            if event.revision > known:
                self._apply(event)
                self._revision = max(self._revision, event.revision)
        self._confirm(sent_at)

    def _confirm(self, sent_at: float) -> None:
        self._confirmed_at = max(self._confirmed_at, sent_at)

    async def _back_off(self) -> None:
        is_first = self._failures == 0
        exponential = self._base_backoff_s * 2 ** min(self._failures, 16)
        self._failures += 1
        longest = _SMALL_MAX_BACKOFF_S if self.is_small else self._max_backoff_s
        ceiling = min(longest, exponential)
        if is_first and self._spread_s > ceiling:
            pause = self._random.uniform(0.0, self._spread_s)
        else:
            ceiling = max(ceiling, 2 * self._spread_s)
            pause = self._random.uniform(ceiling / 2, ceiling)
        await self._sleep(pause)

    @property
    def _list_timeout_s(self) -> float:
        timeout = _LIST_TIMEOUT_S * 2 ** min(self._failures, 16)
        return min(timeout, _MAX_LIST_TIMEOUT_S)

    async def _list_small(self) -> KeyValueList:
        """List few keys; send the call again beside one that is not answered soon.

        Raises what the first attempt to fail raises, if none was answered before.
        """
        attempts: set[asyncio.Task[KeyValueList]] = set()
        try:
            while True:
                call = self._store.list(self._prefix, timeout=_SMALL_LIST_TIMEOUT_S)
                attempts.add(asyncio.ensure_future(call))
                pause = asyncio.ensure_future(self._sleep(_SMALL_LIST_RETRY_S))
                try:
                    await asyncio.wait(
                        {*attempts, pause}, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    pause.cancel()
                ended = [attempt for attempt in attempts if attempt.done()]
                if ended:
                    ended.sort(key=lambda attempt: attempt.exception() is not None)
                    return ended[0].result()
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _relist(self, timeout_s: float = _LIST_TIMEOUT_S) -> None:
        await self._apply_list(self._store.list(self._prefix, timeout=timeout_s))

    async def _apply_list(self, listing: Awaitable[KeyValueList]) -> None:
        known, sent_at = self._revision, self._clock.monotonic()
        listed = await listing
        if listed.losses < self._losses:
            raise StoreUnavailable("the list is from before a loss")
        if listed.losses == self._losses and listed.revision < self._revision:
            if listed.revision >= known:
                # A newer answer arrived meanwhile.
                self._record_contact()
                self._confirm(sent_at)
                return
            _log.error(
                "store_went_back",
                alarm=1,
                prefix=self._prefix,
                known=self._revision,
                listed=listed.revision,
            )
            raise StoreUnavailable("the service listed an older revision")
        changes = self._differences(listed)
        _log.info(
            "keys_listed",
            prefix=self._prefix,
            known=self._revision,
            revision=listed.revision,
            entries=len(listed.items),
            changes=len(changes),
        )
        for event in changes:
            self._pass_on(event)
        self._record_contact()
        self._confirm(sent_at)
        self._revision, self._losses = listed.revision, listed.losses
        self._needs_list = False
        self.synced.set()
        callbacks, self._synced_listeners = self._synced_listeners, []
        for callback in callbacks:
            callback()

    def _differences(self, listed: KeyValueList) -> list[WatchEvent]:
        """Return the changes that lead from the known keys to a list, by revision."""
        present = {item.key for item in listed.items}
        changed = [
            WatchEvent(item.key, item.value, item.revision)
            for item in sorted(listed.items, key=lambda item: item.revision)
            if self._is_change(item, listed)
        ]
        deleted = sorted(self._revisions.keys() - present)
        return changed + [WatchEvent(key, None, listed.revision) for key in deleted]

    def _is_change(self, item: KeyValue, listed: KeyValueList) -> bool:
        """Whether a listed item is to replace the known one.

        A revision that the service gave out again may be equal or lower and stand for
        another value. Lists are not snapshots, so an item whose known revision is
        higher than the list's may be older than the known one.
        """
        revision = self._revisions.get(item.key, 0)
        if item.revision > revision or listed.losses != self._losses:
            return True
        known = self._items.get(item.key, item)
        return revision <= listed.revision and (
            item.revision != revision or item.value != known.value
        )

    async def _watch(self) -> None:
        events = self._store.watch(self._prefix, start_revision=self._revision + 1)
        try:
            async for event in events:
                # The revision of a progress notification (an event without a key) is
                # ignored: services may send it before changes that the watch has not
                # delivered yet.
                if event.key and event.revision >= self._revision:
                    self._apply(event)
                    self._revision = event.revision
                self._record_contact()
        finally:
            if hasattr(events, "aclose"):
                await events.aclose()
        raise StoreUnavailable("the watch ended")

    def _record_contact(self) -> None:
        self._last_contact = self._clock.monotonic()
        self._failures = 0

    def _apply(self, event: WatchEvent) -> None:
        if event.revision <= self._revisions.get(event.key, 0):
            return
        self._pass_on(event)

    def _pass_on(self, event: WatchEvent) -> None:
        if event.value is None:
            self._items.pop(event.key, None)
            if self._revisions.pop(event.key, None) is None:
                return
        else:
            self._revisions[event.key] = event.revision
            if self._keep_values:
                self._items[event.key] = KeyValue(*event)
        for subscriber in self._subscribers:
            try:
                subscriber(event)
            except Exception as error:
                # A subscriber that fails on one record must not stop the updates of
                # all others.
                _log.error(
                    "subscriber_failed",
                    alarm=1,
                    store_key=event.key,
                    revision=event.revision,
                    reason=repr(error),
                )


_json_decoder = cache(msgspec.json.Decoder)


def decode_record(prefix: str, key: str, value: bytes, kind: type[T]) -> T | str:
    """Decode the record at `key`; return the reason as a string if it is unusable.

    A usable record is stored at `prefix` followed by its own name.
    """
    try:
        record = decode(_json_decoder(kind), value)
    except DecodingError as error:
        return str(error)
    if prefix + record.name != key:
        return printable_reason(f"it names {record.name}")
    return record
