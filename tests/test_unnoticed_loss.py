"""Tests of a store that comes back from an older copy and doesn't tell."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from random import Random

import msgspec
import pytest
from _store_support import background_tasks, eventually
from test_register import info
from test_store_restored import ConfigReader, make_store

from celeryjunction.membership import VM_PREFIX, Membership, VmRecord
from celeryjunction.platform.records import REGISTER_PREFIX, decode_endpoint
from celeryjunction.platform.standin import StandinPlatform
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import (
    KeyValueList,
    KeyValueStore,
    StoreUnavailable,
    SystemClock,
)
from celeryjunction.replication.register import EndpointRegister
from celeryjunction.store_evidence import StoreEvidence
from celeryjunction.store_history import StoreHistory

OTHERS = pytest.mark.parametrize("others", [0])
"""Number of other changes after the restore."""


@pytest.fixture
async def platform() -> AsyncIterator[StandinPlatform]:
    platform = StandinPlatform(zones=3)
    platform.store.era = None
    await platform.start()
    yield platform
    await platform.close()


@pytest.fixture
async def store(platform: StandinPlatform) -> AsyncIterator[HttpStore]:
    store = make_store(platform)
    yield store
    await store.close()


def write_others(platform: StandinPlatform, count: int) -> None:
    """Change keys that nobody follows."""
    for number in range(count):
        platform.store.put(f"other/{number}", b"x")


class WaitingReader(ConfigReader):
    """Follows the config, and waits for a version."""

    async def wait_for(self, version: int) -> None:
        """Wait until a version is in force."""
        await eventually(lambda: self.version == version)


class TestConfig:
    @OTHERS
    @pytest.mark.parametrize("lost_changes", [2, 5])
    async def test_a_change_with_a_reused_revision_comes_into_force(
        self,
        platform: StandinPlatform,
        store: HttpStore,
        lost_changes: int,
        others: int,
    ) -> None:
        reader = WaitingReader(store)
        async with background_tasks(reader.follower.run()):
            await reader.wait_for(1)
            copy = platform.store.copy()
            for _ in range(lost_changes):
                await reader.wait_for(platform.configure())
            platform.store.restore(copy)
            version = platform.configure()
            write_others(platform, others)
            await reader.wait_for(version)

    @OTHERS
    async def test_the_loss_of_another_keys_changes_hides_no_change(
        self, platform: StandinPlatform, store: HttpStore, others: int
    ) -> None:
        reader = WaitingReader(store)
        async with background_tasks(reader.follower.run()):
            await reader.wait_for(1)
            copy = platform.store.copy()
            write_others(platform, 3)
            await reader.wait_for(platform.configure())
            platform.store.restore(copy)
            version = platform.configure()
            write_others(platform, others)
            await reader.wait_for(version)


def make_register(store: KeyValueStore) -> EndpointRegister:
    return EndpointRegister(
        store,
        REGISTER_PREFIX,
        decode=decode_endpoint,
        clock=SystemClock(),
        random=Random(1),
    )


class ListingStore:
    """Lists no keys, at one revision."""

    def __init__(self, revision: int) -> None:
        self.revision = revision
        self.while_listing: Callable[[], None] = lambda: None

    async def list(self, prefix: str, *, timeout: float) -> KeyValueList:
        """Return the list after `while_listing`."""
        self.while_listing()
        return KeyValueList((), self.revision)


class TestRegister:
    @OTHERS
    async def test_an_endpoint_registered_after_the_loss_is_seen(
        self, platform: StandinPlatform, store: HttpStore, others: int
    ) -> None:
        register = make_register(store)
        endpoint = platform.groups["db"].endpoints[0]
        async with background_tasks(register.run()):
            await register.synced.wait()
            copy = platform.store.copy()
            for _ in range(4):
                platform.store.register(endpoint)
            platform.store.register(endpoint, version="v2")
            await eventually(lambda: register.revision == platform.store.revision)
            platform.store.restore(copy)
            platform.store.register(endpoint, state="draining")
            write_others(platform, others)
            await eventually(lambda: register.endpoints[endpoint.id].draining)


class TestMembership:
    @staticmethod
    def member(store: HttpStore, name: str) -> Membership:
        address = "127.0.0.1:1"
        record = VmRecord(name, "a", address, address, address, 1, 0.0)
        return Membership(
            store,
            record,
            spread_s=0.1,
            put_interval_s=0.05,
            clock=SystemClock(),
            random=Random(1),
            history=store.history,
        )

    @OTHERS
    async def test_a_peer_with_a_reused_revision_is_seen(
        self, platform: StandinPlatform, store: HttpStore, others: int
    ) -> None:
        member = self.member(store, "vm1")
        async with background_tasks(member.run()):
            await eventually(lambda: member.announced.is_set())
            copy = platform.store.copy()
            for name in ("vm2", "vm3", "vm4"):
                record = self.member(store, name).record
                platform.store.put(VM_PREFIX + name, msgspec.json.encode(record))
            await eventually(lambda: "vm4" in member.peers())
            platform.store.restore(copy)
            record = self.member(store, "vm5").record
            platform.store.put(VM_PREFIX + "vm5", msgspec.json.encode(record))
            write_others(platform, others)
            await eventually(lambda: "vm5" in member.peers())


class TestPeerLists:
    def test_a_homes_list_of_before_the_loss_hides_no_later_one(self) -> None:
        """Guards against endpoints that a forwarding VM doesn't see."""
        register = make_register(ListingStore(6))
        register.update_from_peer([info("a1")], age_s=0.1, revision=9, peer="vm1")
        register.update_from_peer([info("b1")], age_s=0.1, revision=7, peer="vm2")
        assert set(register.endpoints) == {"a1"}
        register.update_from_peer([info("b1")], age_s=0.1, revision=5, peer="vm1")
        assert set(register.endpoints) == {"b1"}
        register.update_from_peer([info("c1")], age_s=0.1, revision=6, peer="vm1")
        assert set(register.endpoints) == {"c1"}

    async def test_a_homes_list_of_before_the_loss_hides_no_own_one(self) -> None:
        """Guards against a home that ends before it notices the loss."""
        register = make_register(ListingStore(6))
        register.update_from_peer([info("a1")], age_s=0.1, revision=9, peer="vm1")
        assert await register.poll()
        assert register.revision == 6

    async def test_an_answer_that_a_newer_one_overtook_is_dropped(self) -> None:
        """Guards against taking a late answer for a loss."""
        store = ListingStore(6)
        register = make_register(store)
        store.while_listing = lambda: register.update_from_peer(
            [info("a1")], age_s=0.1, revision=9, peer="vm1"
        )
        assert await register.poll()
        assert register.revision == 9
        assert set(register.endpoints) == {"a1"}


class TestEvidence:
    """What is no evidence of a loss, and what is."""

    async def test_answers_that_overtake_each_other_show_no_loss(self) -> None:
        history = StoreHistory()
        evidence = StoreEvidence(history)
        first, second = evidence.begin(), evidence.begin()
        evidence.confirm(second, 8)
        evidence.confirm(first, 7)
        assert history.losses == 0
        evidence.confirm(evidence.begin(), 7)
        assert history.losses == 1

    async def test_an_answer_that_waited_through_a_loss_is_dropped(self) -> None:
        """Guards against a second loss that the answer would make seem one."""
        history = StoreHistory()
        evidence = StoreEvidence(history)
        evidence.confirm(evidence.begin(), 8)
        late = evidence.begin()
        evidence.confirm(evidence.begin(), 5)
        with pytest.raises(StoreUnavailable):
            evidence.confirm(late, 8)
        evidence.confirm(evidence.begin(), 6)
        assert history.losses == 1

    async def test_a_later_era_is_one_loss(self) -> None:
        history = StoreHistory()
        evidence = StoreEvidence(history)
        history.observe(1)
        evidence.confirm(evidence.begin(), 8)
        call = evidence.begin()
        history.observe(2)
        evidence.confirm(call, 5)
        evidence.confirm(evidence.begin(), 6)
        assert history.losses == 1

    async def test_an_outage_without_a_loss_costs_no_list(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        """Guards against calls of all VMs after each outage."""
        reader = WaitingReader(store)
        calls = store._client.calls
        async with background_tasks(reader.follower.run()):
            await reader.wait_for(1)
            await reader.wait_for(platform.configure())
            await asyncio.sleep(1.2)
            before = dict(calls)
            for connection in list(platform.store.connections):
                connection.abort()
            await asyncio.sleep(1.2)
            assert calls["/kv-range"] == before["/kv-range"]
            assert calls["/kv-watch"] - before["/kv-watch"] <= 3
            await reader.wait_for(platform.configure())
        assert store.history.losses == 0
