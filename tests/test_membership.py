"""Tests of the announcement of a VM and of its list of peers."""

from __future__ import annotations

from random import Random

import msgspec
from _store_support import FakeTime, background_tasks, eventually, running_store, write

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.membership import Membership, VmRecord, list_vms
from celeryjunction.ports import WatchEvent
from celeryjunction.standin.kv import RunningStore
from celeryjunction.store_history import StoreHistory


def record(name: str = "vm1", *, incarnation: int = 1) -> VmRecord:
    return VmRecord(name, "a", "p", "s", "t", incarnation, 0.0)


def member(store, time: FakeTime, vm: VmRecord, *, seed: int = 1) -> Membership:
    return Membership(store, vm, clock=time, random=Random(seed), sleep=time.sleep)


def renewals_of(server: RunningStore) -> int:
    return server.state()["calls"].get("LeaseKeepAlive", 0)


class TimedStore(EtcdStore):
    """Records when leases are requested."""

    def __init__(self, time: FakeTime, port: int) -> None:
        super().__init__([f"127.0.0.1:{port}"])
        self.time = time
        self.requested_at: list[float] = []

    async def grant_lease(self, ttl: int, **options: float) -> int:
        self.requested_at.append(self.time.now)
        return await super().grant_lease(ttl, **options)


class TestAnnouncing:
    async def test_announces_renews_and_leaves(self) -> None:
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                started = time.now
                for number in range(1, 6):
                    await eventually(
                        lambda n=number: renewals_of(server) == n, time, limit=4.0
                    )
                assert await list_vms(store) == (record(),)
            # Each renewal is due 2.7 to 3.3 s after the one before.
            assert 5 * 2.6 < time.now - started < 5 * 4.0
            calls = server.state()["calls"]
            assert (calls["LeaseGrant"], calls["Txn"]) == (1, 1)
            await membership.leave()
            assert await list_vms(store) == ()

    async def test_a_paused_vm_announces_itself_again_after_its_lease_expired(
        self,
    ) -> None:
        # Guards against a VM that continues under an expired lease.
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                time.advance(30)
                server.expire_leases()
                assert server.state()["keys"] == 0
                # The pause before the next request is at most 3 s.
                await eventually(lambda: server.state()["keys"] == 1, time, limit=3.3)
            assert server.state()["calls"]["LeaseGrant"] == 2

    async def test_many_vms_request_new_leases_spread_out(self) -> None:
        # Guards against all VMs requesting a lease at once after an outage.
        time = FakeTime()
        async with running_store(clock=time) as (server, _):
            store = TimedStore(time, server.port)
            members = [member(store, time, record(f"vm{n}"), seed=n) for n in range(8)]
            async with background_tasks(*(membership.run() for membership in members)):
                for membership in members:
                    await eventually(membership.announced.is_set)
                store.requested_at.clear()
                server.outage()
                time.advance(30)
                server.expire_leases()
                server.heal()
                await eventually(lambda: server.state()["keys"] == 8, time, limit=8)
            await store.close()
            assert len(store.requested_at) == 8
            assert max(store.requested_at) - min(store.requested_at) > 0.5

    async def test_updates_are_batched(self) -> None:
        # Guards against one write to the service for each contract change.
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                for revision in range(100, 150):
                    membership.update(applied_revision=revision)
                membership.update(applied_revision=7, leaving=True)
                await eventually(lambda: server.state()["calls"]["Txn"] == 2, time)
            stored = (await list_vms(store))[0]
            assert (stored.applied_revision, stored.leaving) == (149, True)

    async def test_a_withdrawn_applied_revision_is_announced(self) -> None:
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            membership.update(applied_revision=7)
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                assert (await list_vms(store))[0].applied_revision == 7
                puts = server.state()["calls"]["Txn"]
                membership.withdraw_applied_revision()
                await eventually(lambda: server.state()["calls"]["Txn"] > puts, time)
            assert (await list_vms(store))[0].applied_revision == 0

    async def test_with_many_vms_applied_revisions_are_put_with_a_delay(self) -> None:
        # Guards against 2,300 puts, each read by 2,300 VMs, for one contract change.
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                for number in range(119):
                    peer = msgspec.json.encode(record(f"peer{number}"))
                    await write(store, f"/vms/peer{number}", peer)
                await eventually(lambda: len(membership.peers()) == 119)
                puts, started = server.state()["calls"]["Txn"], time.now
                membership.update(applied_revision=100)
                membership.update(applied_revision=101)
                await eventually(
                    lambda: server.state()["calls"]["Txn"] > puts, time, limit=40
                )
                # 120 VMs that put 5 times a second take (120 - 20) / 5 = 20 s.
                assert 10 <= time.now - started <= 35
                assert server.state()["calls"]["Txn"] == puts + 1

    async def test_with_many_vms_leaving_is_put_at_once(self) -> None:
        # Guards against a put of `leaving` delayed by a pending applied revision.
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set)
                for number in range(119):
                    peer = msgspec.json.encode(record(f"peer{number}"))
                    await write(store, f"/vms/peer{number}", peer)
                await eventually(lambda: len(membership.peers()) == 119)
                puts = server.state()["calls"]["Txn"]
                time.advance(1.0)
                membership.update(applied_revision=100)
                membership.update(leaving=True)
                # The clock advances by no more than the interval between two puts.
                await eventually(
                    lambda: server.state()["calls"]["Txn"] > puts, time, limit=1.0
                )

    async def test_announces_itself_although_answers_are_lost(self) -> None:
        time = FakeTime()
        async with running_store(clock=time) as (server, store):
            membership = member(store, time, record())
            server.lose_answers(2)
            async with background_tasks(membership.run()):
                await eventually(membership.announced.is_set, time)
            assert await list_vms(store) == (record(),)

    async def test_the_newer_incarnation_wins(self) -> None:
        # Guards against two processes of one VM overwriting its record in turn.
        time = FakeTime()
        async with running_store(clock=time) as (_, store):
            old = member(store, time, record(incarnation=1))
            new = member(store, time, record(incarnation=2), seed=2)
            async with background_tasks(old._announce(), old.follower.run()) as tasks:
                await eventually(old.announced.is_set)
                async with background_tasks(new.run()):
                    await eventually(new.announced.is_set, time)
                    # Announcing has ended, so later updates are not put either.
                    await eventually(tasks[0].done, time)
                    assert old.superseded.is_set()
                    assert await list_vms(store) == (record(incarnation=2),)
            assert not new.superseded.is_set()

    async def test_an_older_incarnation_does_not_announce_itself(self) -> None:
        time = FakeTime()
        async with running_store(clock=time) as (_, store):
            newer = record(incarnation=2)
            await write(store, "/vms/vm1", msgspec.json.encode(newer))
            old = member(store, time, record(incarnation=1))
            async with background_tasks(old.run()):
                await eventually(old.superseded.is_set, time)
            assert await list_vms(store) == (newer,)


class TestPeers:
    def peer_event(self, vm: VmRecord | None, revision: int) -> WatchEvent:
        value = msgspec.json.encode(vm) if vm else None
        return WatchEvent("/vms/vm2", value, revision)

    def test_a_vanished_peer_stays_while_messages_arrive(self) -> None:
        # Guards against removal of a healthy peer during an outage of the service.
        time = FakeTime()
        membership = member(None, time, record())
        membership._vm_changed(self.peer_event(record("vm2"), 1))
        membership.record_received("vm2")
        membership._vm_changed(self.peer_event(None, 2))
        time.advance(9)
        assert set(membership.peers()) == {"vm2"}
        membership.record_received("vm2")
        time.advance(9)
        assert set(membership.peers()) == {"vm2"}
        time.advance(2)
        assert membership.peers() == {}

    def test_a_vanished_peer_without_messages_is_removed(self) -> None:
        membership = member(None, FakeTime(), record())
        membership._vm_changed(self.peer_event(record("vm2"), 1))
        membership._vm_changed(self.peer_event(None, 2))
        assert membership.peers() == {}

    def test_many_vanished_peers_stay_for_the_grace_period(self) -> None:
        # Guards against all databases changing their home after an outage longer than
        # a lease.
        time = FakeTime()
        membership = member(None, time, record())
        vms = [f"vm{number}" for number in range(2, 602)]
        for vm in vms:
            value = msgspec.json.encode(record(vm))
            membership._vm_changed(WatchEvent(f"/vms/{vm}", value, 1))
        for vm in vms:
            membership._vm_changed(WatchEvent(f"/vms/{vm}", None, 2))
        time.advance(3.9)
        # 601 VMs announce themselves at 200 per second, which takes 3 s; a put takes
        # up to 1 s more.
        assert len(membership.peers()) == 600
        time.advance(0.2)
        assert membership.peers() == {}

    def test_an_older_incarnation_of_a_peer_is_ignored(self) -> None:
        membership = member(None, FakeTime(), record())
        for revision, incarnation in enumerate((5, 4), 1):
            vm = record("vm2", incarnation=incarnation)
            membership._vm_changed(self.peer_event(vm, revision))
        membership._vm_changed(WatchEvent("/vms/vm2", b"{", 3))
        assert membership.peers()["vm2"].incarnation == 5

    def test_peers_that_a_restored_store_lacks_stay_for_a_lease(self) -> None:
        """Guards against one VM that takes itself for the only home of its group."""
        history, time = StoreHistory(), FakeTime()
        membership = Membership(
            None, record(), clock=time, random=Random(1), history=history
        )
        membership._vm_changed(self.peer_event(record("vm2"), 1))
        history.begin_next_era()
        membership._vm_changed(WatchEvent("/vms/vm2", None, 2))
        time.advance(9.0)
        assert set(membership.peers()) == {"vm2"}
        time.advance(2.0)
        assert membership.peers() == {}

    def test_a_peer_that_leaves_goes_at_once(self) -> None:
        membership = member(None, FakeTime(), record())
        membership._vm_changed(self.peer_event(record("vm2"), 1))
        membership._vm_changed(WatchEvent("/vms/vm2", None, 2))
        assert membership.peers() == {}
