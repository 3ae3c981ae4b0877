"""Homes whose records are gone, and whose votes are needed all the same."""

from __future__ import annotations

import asyncio

from fakes import ManualClock, event_loop_policy  # noqa: F401
from msgspec.structs import replace
from replicated_fakes import FakeCluster, FakeStore
from test_failover import Vm
from test_unread_register import vm_record

from celeryjunction.membership import VmRecord
from celeryjunction.relay.vanished_homes import VANISHED_LIMIT_S, VanishedHomes

HOMES = {"g": {"vm-1", "vm-2", "vm-3"}}


def records(*names: str) -> dict[str, VmRecord]:
    return {name: vm_record(name, 1) for name in names}


class TestVanishedHomes:
    def vanish(self, *present: str) -> VanishedHomes:
        vanished = VanishedHomes(ManualClock())
        vanished.update(HOMES, records("vm-2", "vm-3"), own="vm-1")
        vanished.update(HOMES, records(*present), own="vm-1")
        return vanished

    async def test_a_home_without_a_record_is_remembered_for_a_while(self) -> None:
        """Guards against the votes of all being counted without one cut off."""
        vanished = self.vanish("vm-3")
        assert vanished.names("g") == {"vm-2"}
        assert not vanished.names("h")
        await asyncio.sleep(VANISHED_LIMIT_S + 1.0)
        assert not vanished.names("g")

    async def test_one_that_is_back_is_forgotten(self) -> None:
        vanished = self.vanish("vm-3")
        vanished.update({"g": {"vm-1", "vm-3"}}, records("vm-2", "vm-3"), own="vm-1")
        assert not vanished.names("g")

    async def test_one_that_announced_its_end_is_not_expected(self) -> None:
        """Guards against failovers that wait for a VM that was stopped as planned."""
        vanished = VanishedHomes(ManualClock())
        peers = records("vm-2", "vm-3")
        peers["vm-2"] = replace(peers["vm-2"], leaving=True)
        vanished.update(HOMES, peers, own="vm-1")
        vanished.update(HOMES, records("vm-3"), own="vm-1")
        assert not vanished.names("g")


class TestVotes:
    async def test_a_vanished_monitor_has_to_vote(self) -> None:
        """Guards against a restarted member taken over without all who know of it."""
        vm = Vm(FakeCluster(), FakeStore(), monitor_count=2)
        supervisor = vm.supervisor
        assert supervisor._is_unanimous({"vm1", "vm2"})
        supervisor._vanished_monitors = lambda: {"vm3"}
        assert not supervisor._is_unanimous({"vm1", "vm2"})
        assert supervisor._is_unanimous({"vm1", "vm2", "vm3"})
