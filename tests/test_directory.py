"""Tests of the followers of the key-value service and of the directories."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import pytest
from _store_support import (
    EVENT_TIMEOUT_S,
    FakeTime,
    background_tasks,
    eventually,
    running_store,
    write,
)

from celeryjunction.contracts_store import ContractEnvelope
from celeryjunction.directory import StaticDirectory, StoreDirectory
from celeryjunction.follower import PrefixFollower
from celeryjunction.ports import (
    EndpointRecord,
    GroupRecord,
    KeyValueList,
    StoreUnavailable,
    WatchEvent,
)


def group(term: int, *, name: str = "orders", primary: str = "e1") -> GroupRecord:
    endpoint = EndpointRecord(name=primary, host="127.0.0.1", port=1, zone="a")
    return GroupRecord(name=name, term=term, primary=primary, endpoints=(endpoint,))


def contract(change_id: str, text: str) -> bytes:
    return msgspec.json.encode(ContractEnvelope(change_id, "mei", "test", 0.0, text))


def follower(store, time: FakeTime, seen: list[WatchEvent]) -> PrefixFollower:
    prefix_follower = PrefixFollower(
        store, "/p/", clock=time, random=Random(1), sleep=time.sleep
    )
    prefix_follower.subscribe(seen.append)
    return prefix_follower


class TestPrefixFollower:
    async def test_resumes_without_missing_or_repeating_a_change(self) -> None:
        # Guards against changes lost between two watches.
        time, seen = FakeTime(), []
        async with running_store() as (server, store):
            prefix_follower = follower(store, time, seen)
            await write(store, "/p/a", b"0")
            async with background_tasks(prefix_follower.run()):
                await eventually(prefix_follower.synced.is_set)
                for number in range(1, 6):
                    await eventually(lambda: server.state()["watches"] == 1, time)
                    await write(store, "/p/a", b"%d" % number)
                    server.outage()
                    await eventually(lambda: server.state()["watches"] == 0)
                    server.heal()
                    await write(store, "/p/b", b"%d" % number)
                await eventually(lambda: len(seen) >= 11, time)
            revisions = [event.revision for event in seen]
            assert revisions == sorted(set(revisions)) and len(seen) == 11
            # The prefix was listed once; each outage cost only a new watch.
            assert store.calls["Range"] == 1

    async def test_lists_again_after_a_compaction(self) -> None:
        # Guards against a follower that is stuck at a compacted revision or misses a
        # deletion.
        time, seen = FakeTime(), []
        async with running_store() as (server, store):
            prefix_follower = follower(store, time, seen)
            await write(store, "/p/gone", b"")
            await write(store, "/p/kept", b"")
            async with background_tasks(prefix_follower.run()):
                await eventually(lambda: server.state()["watches"] == 1)
                server.outage()
                await eventually(lambda: server.state()["watches"] == 0)
                server.heal()
                await write(store, "/p/gone", None)
                await write(store, "/p/new", b"")
                server.compact()
                await eventually(lambda: len(seen) == 4, time)
            assert set(prefix_follower.items) == {"/p/kept", "/p/new"}
            assert seen[3].key == "/p/gone" and seen[3].value is None

    async def test_keeps_the_last_known_keys_during_an_outage(self) -> None:
        time, seen = FakeTime(), []
        async with running_store() as (server, store):
            prefix_follower = follower(store, time, seen)
            await write(store, "/p/a", b"1")
            async with background_tasks(prefix_follower.run()):
                await eventually(prefix_follower.synced.is_set)
                server.outage()
                await eventually(lambda: prefix_follower.age_s > 30, time, limit=60)
                assert prefix_follower.items["/p/a"].value == b"1" and len(seen) == 1
                server.heal()
                await eventually(lambda: prefix_follower.age_s < 1, time)

    async def test_lists_of_few_keys_are_given_up_soon(self) -> None:
        """Guards against a call from a silence that is waited for when it is over.

        The service falls silent twice, and answers from 6 s on.
        """
        time = FakeTime()
        began = time.monotonic()

        class TwiceSilent:
            async def list(self, prefix: str, *, timeout: float) -> KeyValueList:
                started = time.monotonic() - began
                if started < 4.5 or 4.9 <= started < 6.0:
                    await time.sleep(timeout)
                    raise StoreUnavailable("no answer")
                answered_at.append(started)
                return KeyValueList((), 1)

            async def watch(self, prefix: str, **options: int) -> None:
                await asyncio.Event().wait()
                yield

        answered_at: list[float] = []
        prefix_follower = follower(TwiceSilent(), time, [])
        prefix_follower.is_small = True
        async with background_tasks(prefix_follower.run()):
            await eventually(prefix_follower.synced.is_set, time, limit=60)
        assert answered_at[0] <= 6.0 + 1.5

    async def test_an_older_revision_of_the_service_is_ignored(self) -> None:
        # Guards against contracts that revert when the service is restored from an old
        # backup.
        seen = []
        prefix_follower = follower(None, FakeTime(), seen)
        prefix_follower._revision = 9
        prefix_follower._apply(WatchEvent("/p/a", b"new", 9))

        class OldStore:
            async def list(self, prefix: str, *, timeout: float) -> KeyValueList:
                return KeyValueList((), 5)

        prefix_follower._store = OldStore()
        with pytest.raises(StoreUnavailable):
            await prefix_follower._relist()
        prefix_follower._apply(WatchEvent("/p/a", b"old", 8))
        assert prefix_follower.items["/p/a"].value == b"new" and len(seen) == 1

    async def test_with_many_vms_attempts_are_spread(self) -> None:
        # Guards against calls from thousands of VMs in one second after an outage.
        pauses: list[float] = []

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)
            await asyncio.sleep(0)

        class Down:
            async def list(self, prefix: str, **options: float) -> KeyValueList:
                raise StoreUnavailable("outage")

        for seed in range(50):
            prefix_follower = PrefixFollower(
                Down(), "/p/", clock=FakeTime(), random=Random(seed), sleep=sleep
            )
            prefix_follower.set_vm_count(2_300)
            pauses.clear()
            async with background_tasks(prefix_follower.run()):
                await eventually(lambda: len(pauses) >= 3)
            # 3 calls by each of 2,300 VMs at 1,500 calls per second take 4.6 s.
            assert 0.0 <= pauses[0] <= 4.6
            assert all(4.6 <= pause <= 9.2 for pause in pauses[1:])

    async def test_a_refresh_after_an_outage_does_not_wait_for_a_dead_connection(
        self,
    ) -> None:
        """Guards against a config that is not in force until the watch times out."""
        limits: list[float] = []
        pauses: list[float] = []

        async def sleep(seconds: float) -> None:
            pauses.append(seconds)
            await asyncio.sleep(0)

        class Down:
            async def list(self, prefix: str, *, timeout: float) -> KeyValueList:
                limits.append(timeout)
                raise StoreUnavailable("outage")

        prefix_follower = PrefixFollower(
            Down(), "/p/", clock=FakeTime(), random=Random(1), sleep=sleep
        )
        async with background_tasks(prefix_follower.run()):
            await eventually(lambda: len(pauses) >= 8)
        assert not await prefix_follower.refresh()
        # Shorter than the platform's bounds on the config, 3 to 6 s.
        assert limits[-1] <= 1.5


class TestStoreDirectory:
    async def test_group_and_contract_changes_are_applied(self) -> None:
        time, changes = FakeTime(), []
        async with running_store() as (_, store):
            await write(store, "/groups/orders", msgspec.json.encode(group(1)))
            await write(store, "/contracts/co-op", contract("c1", "one"))
            directory = StoreDirectory(
                store, clock=time, random=Random(1), sleep=time.sleep
            )
            directory.on_group_change(
                lambda name, record: changes.append((name, record))
            )
            async with background_tasks(directory.run()):
                await asyncio.wait_for(directory.synced(), EVENT_TIMEOUT_S)
                assert directory.group("orders").term == 1
                revision = await write(store, "/contracts/co-op", contract("c2", "two"))
                await eventually(lambda: directory.applied_revision == revision)
                assert directory.contract("co-op").text == "two"
                await write(store, "/groups/orders", None)
                await eventually(lambda: directory.group("orders") is None)
            assert changes == [("orders", group(1)), ("orders", None)]

    async def test_a_skipped_change_of_a_restored_service_is_not_reported_in_force(
        self,
    ) -> None:
        async with running_store() as (server, store):
            await write(store, "/contracts/co-op", contract("c1", "one"))
            directory = StoreDirectory(
                store, clock=FakeTime(), random=Random(1), history=store.history
            )
            async with background_tasks(directory.run()):
                await asyncio.wait_for(directory.synced(), EVENT_TIMEOUT_S)
                assert directory.applied_revision
                server.become_restored()
                await write(store, "/contracts/co-op", contract("c2", "two"))
                assert directory.applied_revision == 0

    def directory(self) -> StoreDirectory:
        return StoreDirectory(
            None,
            clock=FakeTime(),
            random=Random(1),
            check_contract=lambda text: ["bad"] if text == "bad" else [],
        )

    def test_a_removed_group_does_not_come_back_with_an_older_term(self) -> None:
        # Guards against forgetting a group's term when its record is removed.
        directory = StoreDirectory(None, clock=FakeTime(), random=Random(1))
        for revision, term in ((1, 5), (2, None), (3, 4)):
            value = None if term is None else msgspec.json.encode(group(term))
            directory._group_changed(WatchEvent("/groups/orders", value, revision))
        assert directory.group("orders") is None
        assert not directory.has_database("orders")
        value = msgspec.json.encode(group(6))
        directory._group_changed(WatchEvent("/groups/orders", value, 4))
        assert directory.group("orders") == group(6)
        assert directory.has_database("orders")

    def test_a_group_in_use_is_decoded_again_after_a_change(self) -> None:
        # Guards against answers from a stale cached record.
        directory = StoreDirectory(None, clock=FakeTime(), random=Random(1))
        for term in (1, 2):
            value = msgspec.json.encode(group(term))
            directory._group_changed(WatchEvent("/groups/orders", value, term))
            assert directory.group("orders") == group(term)
        directory._group_changed(WatchEvent("/groups/orders", None, 3))
        assert directory.group("orders") is None

    def test_a_group_never_goes_back_to_an_older_term(self) -> None:
        directory = self.directory()
        records = [group(3), group(2), group(3, primary="e2"), None, group(1)]
        for revision, record in enumerate(records, 1):
            value = msgspec.json.encode(record) if record else None
            directory._group_changed(WatchEvent("/groups/orders", value, revision))
            if revision == 3:
                assert directory.group("orders") == group(3, primary="e2")
        assert directory.group("orders") is None

    @pytest.mark.parametrize(
        "value", [b"{", b"\xff", msgspec.json.encode(group(9, name="other"))]
    )
    def test_the_last_valid_group_record_stays(self, value: bytes) -> None:
        # Guards against an unreadable record that makes a database unreachable.
        directory = self.directory()
        good = msgspec.json.encode(group(3))
        directory._group_changed(WatchEvent("/groups/orders", good, 1))
        directory._group_changed(WatchEvent("/groups/orders", value, 2))
        assert directory.group("orders") == group(3)

    @pytest.mark.parametrize("value", [b"{", contract("c2", "bad"), None])
    def test_the_last_valid_contract_stays(self, value: bytes | None) -> None:
        # Guards against a customer refused because of an invalid or missing record.
        directory = self.directory()
        event = WatchEvent("/contracts/co-op", contract("c1", "good"), 5)
        directory._contract_changed(event)
        directory._contract_changed(WatchEvent("/contracts/co-op", value, 7))
        assert directory.contract("co-op").text == "good"

    def test_an_ignored_contract_is_not_reported_as_in_force(self) -> None:
        directory = self.directory()
        for customer, text, revision in (("a", "bad", 7), ("b", "good", 9)):
            event = WatchEvent(f"/contracts/{customer}", contract("c", text), revision)
            directory._contract_changed(event)
        assert directory.applied_revision == 6
        event = WatchEvent("/contracts/a", contract("d", "good"), 10)
        directory._contract_changed(event)
        assert directory.applied_revision == 10

    async def test_read_now_fails_for_an_old_or_missing_record(self) -> None:
        # Guards against a write acknowledged on the basis of a stale record.
        async with running_store() as (_, store):
            directory = StoreDirectory(store, clock=FakeTime(), random=Random(1))
            with pytest.raises(StoreUnavailable):
                await directory.read_now("orders", timeout=5)
            await write(store, "/groups/orders", msgspec.json.encode(group(4)))
            assert (await directory.read_now("orders", timeout=5)).term == 4
            await write(store, "/groups/orders", msgspec.json.encode(group(3)))
            with pytest.raises(StoreUnavailable):
                await directory.read_now("orders", timeout=5)


class TestStaticDirectory:
    async def test_read_now_fails_with_settings_only(self) -> None:
        # Guards against a write acknowledged on the basis of settings.
        directory = StaticDirectory([group(1)])
        assert directory.group("orders") == group(1)
        with pytest.raises(StoreUnavailable):
            await directory.read_now("orders", timeout=1)
