"""Lists and pages of changes that are older than what is known."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from test_odd_answers import AnsweringClient, answer
from test_register import PREFIX, decode, info

from celeryjunction.follower import PrefixFollower
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import (
    KeyValue,
    KeyValueList,
    StoreUnavailable,
    WatchEvent,
)
from celeryjunction.replication.register import (
    REREGISTER_S,
    REWATCH_PAUSE_S,
    EndpointRegister,
)
from celeryjunction.shared_watch import SharedWatch, WatchPage

SOON_S = 0.05


def change(name: str, revision: int, value: bytes | None = b"ready") -> WatchEvent:
    return WatchEvent(PREFIX + name, value, revision)


class OrderedStore:
    """Answers lists and watches with what a test hands in, in any order."""

    def __init__(self, *listed: KeyValue, revision: int) -> None:
        self.lists: list[asyncio.Future[KeyValueList]] = []
        self.pages: asyncio.Queue[WatchPage | StoreUnavailable] = asyncio.Queue()
        self.started_after: list[int] = []
        """Revisions after which changes were asked for."""
        self._first = KeyValueList(listed, revision, 0)
        self._watch = SharedWatch(self._poll, batch_delay_s=0)

    async def _poll(self, after: int) -> WatchPage:
        self.started_after.append(after)
        page = await self.pages.get()
        if isinstance(page, Exception):
            raise page
        return page

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        if self._first is not None:
            first, self._first = self._first, None
            return first
        self.lists.append(asyncio.get_running_loop().create_future())
        return await self.lists[-1]

    def watch(self, prefix: str, *, start_revision: int) -> AsyncIterator[WatchEvent]:
        return self._watch.watch(prefix, start_revision=start_revision)

    async def send(self, *events: WatchEvent, revision: int) -> None:
        """Answer the watch, and wait until the changes are applied."""
        self.pages.put_nowait(WatchPage(events, revision))
        await asyncio.sleep(SOON_S)


class TestFollower:
    @pytest.fixture
    def store(self) -> OrderedStore:
        return OrderedStore(KeyValue(PREFIX + "a", b"1", 5), revision=5)

    @pytest.fixture
    async def follower(self, store: OrderedStore) -> AsyncIterator[PrefixFollower]:
        follower = PrefixFollower(store, PREFIX, clock=ManualClock(), random=Random(1))
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(SOON_S)
        yield follower
        task.cancel()

    async def test_a_page_that_comes_twice_or_late_changes_nothing(
        self, store: OrderedStore, follower: PrefixFollower
    ) -> None:
        seen: list[WatchEvent] = []
        first = (change("a", 6, b"2"), change("b", 7))
        second = (change("a", 8, b"3"), change("b", 9, None))
        await store.send(*first, revision=7)
        await store.send(*second, revision=9)
        follower.subscribe(seen.append)
        for late, revision in ((second, 9), (first, 7), (first, 7), (second, 9)):
            await store.send(*late, revision=revision)
        assert not seen
        assert [item.value for item in follower.items.values()] == [b"3"]

    async def test_a_list_that_a_change_overtook_is_no_loss_of_the_store(
        self,
        store: OrderedStore,
        follower: PrefixFollower,
        capfd: pytest.CaptureFixture[str],
    ) -> None:
        refresh = asyncio.create_task(follower.refresh())
        await asyncio.sleep(SOON_S)
        await store.send(change("a", 6, b"2"), revision=6)
        store.lists[0].set_result(KeyValueList((KeyValue(PREFIX + "a", b"1", 5),), 5))
        assert await refresh
        assert follower.items[PREFIX + "a"].value == b"2"
        assert "store_went_back" not in "".join(capfd.readouterr())

    async def test_lists_in_the_other_order_keep_the_newer_one(
        self, store: OrderedStore, follower: PrefixFollower
    ) -> None:
        tasks = [asyncio.create_task(follower.refresh()) for _ in range(2)]
        await asyncio.sleep(SOON_S)
        for index, value, revision in ((1, b"3", 8), (0, b"2", 7)):
            item = KeyValue(PREFIX + "a", value, revision)
            store.lists[index].set_result(KeyValueList((item,), revision))
            await asyncio.sleep(SOON_S)
        assert all(await asyncio.gather(*tasks))
        assert follower.items[PREFIX + "a"].value == b"3"


class TestRegister:
    async def test_a_page_that_comes_again_does_not_bring_an_endpoint_back(
        self,
    ) -> None:
        store = OrderedStore(KeyValue(PREFIX + "a", b"ready", 5), revision=5)
        register = EndpointRegister(
            store, PREFIX, decode=decode, clock=ManualClock(), random=Random(1)
        )
        task = asyncio.create_task(register.run())
        await asyncio.sleep(REREGISTER_S)
        await store.send(change("b", 6, b"draining"), revision=6)
        assert set(register.endpoints) == {"a", "b"}
        await store.send(change("b", 7, None), revision=7)
        assert set(register.endpoints) == {"a"}
        await store.send(change("b", 6, b"draining"), revision=6)
        assert set(register.endpoints) == {"a"}
        task.cancel()

    async def test_a_list_that_another_vms_overtook_does_not_bring_an_endpoint_back(
        self,
    ) -> None:
        listed = [KeyValue(PREFIX + name, b"draining", 5) for name in "ab"]
        store = OrderedStore(*listed, revision=5)
        register = EndpointRegister(
            store, PREFIX, decode=decode, clock=ManualClock(), random=Random(1)
        )
        task = asyncio.create_task(register.run())
        await asyncio.sleep(REREGISTER_S)
        store.pages.put_nowait(StoreUnavailable("the connection was closed"))
        await asyncio.sleep(2 * REWATCH_PAUSE_S)
        peers = [info("a", draining=True)]
        register.update_from_peer(peers, age_s=0, revision=10)
        store.lists[0].set_result(KeyValueList(tuple(listed), 8))
        await asyncio.sleep(SOON_S)
        assert store.started_after[-1] == 8
        await store.send(change("b", 9, None), revision=11)
        assert set(register.endpoints) == {"a"}
        task.cancel()


class TestStore:
    async def test_a_response_of_an_earlier_era_is_none(self) -> None:
        items = {"items": [], "current_rev": 9}
        eras = [
            answer(items, headers={"store-era": era}) for era in ("2", "3", "2", "3")
        ]
        store = HttpStore(AnsweringClient(*eras))
        for _ in range(2):
            await store.list(PREFIX)
        with pytest.raises(StoreUnavailable):
            await store.list(PREFIX)
        assert store.history.era == 3
        await store.list(PREFIX)

    async def test_responses_in_the_other_order_are_no_loss(self) -> None:
        store = HttpStore(client := ReorderingClient())
        reads = [asyncio.create_task(store.get("k")) for _ in range(2)]
        await asyncio.sleep(SOON_S)
        for index, revision in ((1, 9), (0, 8)):
            body = {"key": "k", "revision": 3, "value": "", "current_rev": revision}
            client.waiting[index].set_result(answer(body))
            await asyncio.sleep(SOON_S)
        await asyncio.gather(*reads)
        assert not store.history.is_restored

    async def test_the_era_of_a_late_response_ends_no_watch(self) -> None:
        store = HttpStore(client := ReorderingClient())
        reads = [asyncio.create_task(store.get("k")) for _ in range(2)]
        await asyncio.sleep(SOON_S)
        for index, era in ((1, "3"), (0, "2")):
            body = {"key": "k", "revision": 3, "value": "", "current_rev": 9}
            response = answer(body, headers={"store-era": era})
            client.waiting[index].set_result(response)
            await asyncio.sleep(SOON_S)
        late, _ = await asyncio.gather(*reads, return_exceptions=True)
        assert isinstance(late, StoreUnavailable)
        assert (store.history.era, store.history.losses) == (3, 0)

    async def test_changes_of_a_page_are_passed_on_by_revision(self) -> None:
        events = [
            {"key": PREFIX + name, "revision": revision, "value": ""}
            for name, revision in (("b", 4), ("a", 3))
        ]
        page = answer({"events": events, "current_rev": 4})
        seen = []
        async for event in HttpStore(AnsweringClient(page)).watch(
            PREFIX, start_revision=3
        ):
            if not event.key:
                break
            seen.append(event.revision)
        assert seen == [3, 4]


class ReorderingClient:
    """Keeps requests waiting until a test answers them, in any order."""

    def __init__(self) -> None:
        self.waiting: list[asyncio.Future] = []

    async def request(self, method: str, path: str, **_: object) -> object:
        self.waiting.append(asyncio.get_running_loop().create_future())
        return await self.waiting[-1]

    def abort_long_polls(self) -> None:
        """Do nothing: no request waits for long."""
