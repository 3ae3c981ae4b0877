"""Tests of one watch that serves several prefixes."""

from __future__ import annotations

import asyncio

import pytest
from fakes import event_loop_policy  # noqa: F401

from celeryjunction import shared_watch
from celeryjunction.ports import StoreUnavailable, WatchCompacted, WatchEvent
from celeryjunction.shared_watch import SharedWatch, WatchPage

WAIT_S = 2.5
BATCH_DELAY_S = 1.0


class Service:
    """Answers polls from a list of changes, after a wait if there is none."""

    def __init__(self) -> None:
        self.events: list[WatchEvent] = []
        self.calls: list[int] = []
        self.failure: Exception | None = None
        self._changed = asyncio.Event()
        self.watch = SharedWatch(self.poll, batch_delay_s=BATCH_DELAY_S)

    def put(self, key: str, value: bytes | None = b"x") -> None:
        self.events.append(WatchEvent(key, value, len(self.events) + 1))
        self._changed.set()

    async def poll(self, after: int) -> WatchPage:
        self.calls.append(after)
        if self.failure is not None:
            raise self.failure
        if not self._newer(after):
            self._changed.clear()
            try:
                async with asyncio.timeout(WAIT_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
        return WatchPage(self._newer(after), len(self.events))

    def _newer(self, after: int) -> list[WatchEvent]:
        return [event for event in self.events if event.revision > after]


async def collect(
    service: Service, prefix: str, count: int, *, start: int = 1
) -> list[str]:
    """Return the keys of the next `count` changes under a prefix."""
    keys = []
    async for event in service.watch.watch(prefix, start_revision=start):
        keys += [event.key] if event.key else []
        if len(keys) == count:
            break
    return keys


class TestSharedWatch:
    async def test_each_prefix_sees_its_changes_in_order(self) -> None:
        service = Service()
        for key in ("op/config", "vms/a", "servers/1", "vms/b"):
            service.put(key)
        found = await asyncio.gather(
            collect(service, "vms/", 2), collect(service, "servers/", 1)
        )
        assert found == [["vms/a", "vms/b"], ["servers/1"]]
        assert len(service.calls) == 1

    async def test_three_prefixes_cost_one_call_for_each_wait(self) -> None:
        """Guards against a call for each prefix, which the platform charges."""
        service = Service()
        tasks = [
            asyncio.create_task(collect(service, prefix, 1))
            for prefix in ("op/", "vms/", "servers/")
        ]
        await asyncio.sleep(10 * WAIT_S + 0.1)
        assert len(service.calls) == 11
        for task in tasks:
            task.cancel()

    async def test_changes_close_to_each_other_share_a_call(self) -> None:
        service = Service()
        task = asyncio.create_task(collect(service, "vms/", 50))
        for number in range(50):
            service.put(f"vms/{number}")
            await asyncio.sleep(0.01)
        assert len(await task) == 50
        assert len(service.calls) <= 3

    async def test_a_watch_that_starts_later_misses_nothing(self) -> None:
        """Guards against changes between a list and the watch that follows it."""
        service = Service()
        first = asyncio.create_task(collect(service, "op/", 2))
        service.put("op/a")
        service.put("servers/1")
        await asyncio.sleep(0.1)
        assert await collect(service, "servers/", 1) == ["servers/1"]
        service.put("op/b")
        assert await first == ["op/a", "op/b"]

    async def test_a_watch_that_starts_further_back_restarts_the_shared_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        service = Service()
        service.put("vms/a")
        service.put("vms/b")
        later = asyncio.create_task(collect(service, "vms/", 1, start=3))
        await asyncio.sleep(0.1)
        assert await collect(service, "vms/", 2) == ["vms/a", "vms/b"]
        later.cancel()

    async def test_more_changes_than_are_kept_are_polled_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(shared_watch, "RECENT_EVENTS", 3)
        service = Service()
        first = asyncio.create_task(collect(service, "vms/", 100))
        for number in range(10):
            service.put(f"vms/{number}")
        await asyncio.sleep(0.1)
        assert len(await collect(service, "vms/", 10)) == 10
        first.cancel()

    @pytest.mark.parametrize("failure", [StoreUnavailable, WatchCompacted])
    async def test_a_failure_ends_all_watches_and_the_next_one_starts_again(
        self, failure: type[Exception]
    ) -> None:
        service = Service()
        tasks = [
            asyncio.create_task(collect(service, prefix, 1)) for prefix in ("a/", "b/")
        ]
        await asyncio.sleep(0.1)
        service.failure = failure("scripted")
        await asyncio.sleep(2 * WAIT_S)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        assert [type(result) for result in results] == [failure, failure]
        service.failure = None
        service.put("a/1")
        assert await collect(service, "a/", 1) == ["a/1"]

    async def test_a_watch_that_begins_as_the_last_one_ends_is_served(self) -> None:
        """Guards against joining a call that is being cancelled."""
        service = Service()
        service.put("op/config")
        first = service.watch.watch("op/", start_revision=1)
        assert (await anext(first)).key == "op/config"
        await first.aclose()
        second = service.watch.watch("op/", start_revision=2)
        async with asyncio.timeout(2 * WAIT_S):
            event = await anext(second)
        assert event.revision == 1
        await second.aclose()

    async def test_no_call_waits_when_nobody_watches(self) -> None:
        service = Service()
        task = asyncio.create_task(collect(service, "a/", 1))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        calls = len(service.calls)
        await asyncio.sleep(5 * WAIT_S)
        assert len(service.calls) == calls
