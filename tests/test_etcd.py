"""Tests of the etcd adapter against the stand-in."""

from __future__ import annotations

import asyncio

import aetcd
import pytest
from _store_support import background_tasks, create, eventually, running_store, write

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.ports import (
    Compare,
    LeaseExpired,
    Put,
    StoreRefused,
    StoreUnavailable,
    WatchCompacted,
)


class TestProtocol:
    async def test_aetcds_client_works_with_the_stand_in(self) -> None:
        # Guards against a stand-in that works only with the project's own adapter.
        async with running_store() as (server, _):
            async with aetcd.Client(port=server.port) as client:
                await client.put(b"/a/1", b"x")
                await client.put(b"/a/2", b"y", lease=await client.lease(9))
                items = await client.get_prefix(b"/a/")
                swapped = await client.transaction(
                    compare=[client.transactions.version(b"/a/1") == 1],
                    success=[client.transactions.delete(b"/a/1")],
                    failure=[],
                )
            assert [item.value for item in items] == [b"x", b"y"]
            assert swapped[0]

    async def test_list_reads_all_pages_at_one_revision(self) -> None:
        # Guards against keys missing beyond the first page.
        async with running_store() as (_, store):
            for block in range(12):
                keys = (f"/p/{block:02}-{number:03}" for number in range(100))
                await store.compare_and_put([], [Put(key, b"") for key in keys])
            listed = await store.list("/p/")
            assert len({item.key for item in listed.items}) == 1200
            assert listed.revision == 13


class TestChanges:
    async def test_a_compare_that_fails_changes_nothing(self) -> None:
        async with running_store() as (_, store):
            first = await create(store, "/k", b"1")
            second = await store.compare_and_put(
                [Compare("/k", 0)], [Put("/k", b"2"), Put("/other", b"2")]
            )
            assert first.succeeded and not second.succeeded
            assert second.current[0].value == b"1"
            assert await store.get("/other") is None

    async def test_a_change_without_an_answer_is_not_sent_again(self) -> None:
        # Guards against a retried change that reports its own first attempt as a
        # conflict.
        async with running_store() as (server, store):
            server.lose_answers(1)
            with pytest.raises(StoreUnavailable):
                await create(store, "/k", b"1")
            assert (await store.get("/k")).value == b"1"
            assert server.state()["calls"]["Txn"] == store.calls["Txn"] == 1

    async def test_refused_requests_are_not_reported_as_unavailable(self) -> None:
        # Guards against retrying without end a request that can never succeed.
        async with running_store() as (_, store):
            with pytest.raises(StoreRefused):
                await write(store, "/k", bytes(1024 * 1024 + 1))
            with pytest.raises(LeaseExpired):
                await store.compare_and_put([], [Put("/k", b"")], lease=99)


class TestFailover:
    async def test_changes_go_on_at_another_address(self) -> None:
        # Guards against one unreachable address making the service unusable.
        async with running_store() as (dead, _):
            port = dead.port
        async with running_store() as (server, _):
            store = EtcdStore([f"127.0.0.1:{port}", f"127.0.0.1:{server.port}"])
            assert (await create(store, "/k", b"1")).succeeded
            await store.close()

    @pytest.mark.parametrize("mode", ["unavailable", "hang"])
    async def test_an_outage_fails_every_call_in_time(self, mode: str) -> None:
        # Guards against a call that waits for an unresponsive service without end.
        async with running_store() as (server, store):
            lease = await store.grant_lease(10)
            server.outage(mode=mode)
            calls = (
                store.get("/k", timeout=0.2),
                store.list("/k", timeout=0.2),
                store.compare_and_put([], [Put("/k", b"")], timeout=0.2),
                store.grant_lease(5, timeout=0.2),
                store.renew_lease(lease, timeout=0.2),
                store.revoke_lease(lease, timeout=0.2),
            )
            failures = await asyncio.gather(*calls, return_exceptions=True)
            assert {type(failure) for failure in failures} == {StoreUnavailable}
            server.heal()
            # The unanswered put may take effect late, as the port documents.
            stored = await store.get("/k")
            assert stored is None or (stored.value, stored.revision) == (b"", 2)


class TestRestoredService:
    async def test_a_response_of_another_cluster_begins_an_era(self) -> None:
        async with running_store() as (server, store):
            await write(store, "/k", b"1")
            assert not store.history.is_restored
            server.become_restored()
            await store.get("/k")
            await store.get("/k")
            assert store.history.is_restored
            assert store.history.era == 1


class TestWatch:
    async def test_a_watch_yields_past_and_new_changes(self) -> None:
        async with running_store() as (_, store):
            first = await write(store, "/w/a", b"1")
            await write(store, "/elsewhere", b"1")
            seen = []

            async def follow() -> None:
                async for event in store.watch("/w/", start_revision=first):
                    if event.key:
                        seen.append((event.key, event.value))

            async with background_tasks(follow()):
                await eventually(lambda: len(seen) == 1)
                await write(store, "/w/a", None)
                await eventually(lambda: len(seen) == 2)
            assert seen == [("/w/a", b"1"), ("/w/a", None)]

    async def test_a_compacted_start_revision_raises_watch_compacted(self) -> None:
        # Guards against a follower that resumes its watch and misses changes.
        async with running_store(history_limit=4) as (_, store):
            for _ in range(12):
                await write(store, "/w/a", b"")
            with pytest.raises(WatchCompacted):
                async for _ in store.watch("/w/", start_revision=2):
                    pass

    @pytest.mark.parametrize("watches", ["break", "silent"])
    async def test_a_broken_or_silent_watch_ends(self, watches: str) -> None:
        # Guards against taking a half-open connection for a prefix without changes.
        async with running_store() as (server, store):
            watch = store.watch("/w/", start_revision=1)
            await anext(watch)
            server.outage(mode="hang", watches=watches)
            with pytest.raises(StoreUnavailable):
                async with asyncio.timeout(10):
                    async for _ in watch:
                        pass
            assert store.calls["Watch"] == 1

    @pytest.mark.parametrize("side", ["service", "client"])
    async def test_closing_breaks_a_watch_without_cancelling_its_task(
        self, side: str
    ) -> None:
        # Guards against a follower's task ending as if it had been cancelled.
        async with running_store() as (server, store):
            watch = store.watch("/w/", start_revision=1)
            await anext(watch)
            waiting = asyncio.ensure_future(anext(watch))
            await asyncio.sleep(0)
            await (server if side == "service" else store).close()
            with pytest.raises(StoreUnavailable):
                async with asyncio.timeout(10):
                    await waiting
