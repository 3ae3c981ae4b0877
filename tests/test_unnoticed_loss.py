"""Tests of a store that comes back from an older copy and doesn't tell."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from random import Random

import msgspec
import pytest
from _store_support import background_tasks, eventually
from test_register import info
from test_store_restored import ConfigReader, make_store, notice_restore

from celeryjunction.failover.suspicions import SUSPICION_PREFIX, Suspicions
from celeryjunction.membership import VM_PREFIX, Membership, VmRecord
from celeryjunction.platform.records import REGISTER_PREFIX, decode_endpoint
from celeryjunction.platform.standin import StandinPlatform
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import (
    KeyValueList,
    KeyValueStore,
    SystemClock,
)
from celeryjunction.replication.ports import LogPosition
from celeryjunction.replication.register import EndpointRegister

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


class TestSuspicions:
    @staticmethod
    def suspicions(store: HttpStore) -> Suspicions:
        return Suspicions(store, vm="vm1", history=store.history)

    async def publish(self, suspicions: Suspicions) -> bool:
        return await suspicions.publish(
            "db", term=1, primary="b1", acknowledged=LogPosition(1, 1)
        )

    async def test_a_vote_that_the_store_lost_is_stored_again(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        """Guards against a failover that waits for a vote that was given."""
        suspicions, key = self.suspicions(store), f"{SUSPICION_PREFIX}db/vm1"
        copy = platform.store.copy()
        assert await self.publish(suspicions)
        platform.store.restore(copy)
        await notice_restore(store)
        assert await self.publish(suspicions)
        assert key in platform.store.items

    async def test_a_withdrawn_vote_that_comes_back_is_deleted(
        self, platform: StandinPlatform, store: HttpStore
    ) -> None:
        """Guards against a vote that nobody gives any more."""
        suspicions, key = self.suspicions(store), f"{SUSPICION_PREFIX}db/vm1"
        assert await self.publish(suspicions)
        copy = platform.store.copy()
        await suspicions.withdraw("db")
        platform.store.restore(copy)
        await notice_restore(store)
        await suspicions.withdraw("db")
        assert key not in platform.store.items
