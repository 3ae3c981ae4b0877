"""Tests of the endpoint register: whose list counts, and what a restart may use."""

from __future__ import annotations

import asyncio
from random import Random

from _node_support import WatchedStore
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.ports import KeyValue, KeyValueList
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.replication.register import REREGISTER_S, EndpointRegister
from celeryjunction.store_history import StoreHistory

PREFIX = "servers/"


def info(name: str, *, draining: bool = False, started: int = 100) -> EndpointInfo:
    return EndpointInfo(name, "g", "10.0.0.1", 1, "a", 3, draining, started)


def decode(item: KeyValue) -> EndpointInfo | str:
    if item.value == b"odd":
        return "not valid"
    name = item.key.removeprefix(PREFIX)
    if item.value == b"restarted":
        return info(name, started=200)
    return info(name, draining=item.value == b"draining")


class Register:
    """A register of a fake store."""

    def __init__(self) -> None:
        self.store = WatchedStore()
        self.register = EndpointRegister(
            self.store, PREFIX, decode=decode, clock=ManualClock(), random=Random(1)
        )
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._task = asyncio.create_task(self.register.run())
        await self.register.synced.wait()

    async def names_after(self, seconds: float) -> set[str]:
        """Return the endpoints in use after a time in which expired ones may go."""
        for _ in range(round(seconds / 0.25)):
            await asyncio.sleep(0.25)
            self.register.remove_expired()
        return set(self.register.endpoints)

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()

    def put(self, name: str, value: bytes | None = b"ready") -> None:
        self.store.revision += 1
        self.store.put(PREFIX + name, value)


class TestRestart:
    async def test_an_endpoint_that_left_meanwhile_is_not_used(self) -> None:
        """Guards against using an endpoint that left while the process restarted."""
        site = Register()
        site.put("a1")
        site.put("b1")
        site.put("b1", None)
        await site.start()
        assert set(site.register.endpoints) == {"a1"}
        site.stop()


class TestChanges:
    async def test_a_draining_endpoint_is_noticed_and_goes_at_once(self) -> None:
        site = Register()
        site.put("a1")
        site.put("b1")
        await site.start()
        await asyncio.sleep(REREGISTER_S)
        site.put("b1", b"draining")
        assert await site.names_after(0.25) == {"a1", "b1"}
        assert site.register.endpoints["b1"].draining
        site.put("b1", None)
        assert await site.names_after(0.25) == {"a1"}
        site.stop()

    async def test_a_drain_counts_from_when_it_may_have_begun(self) -> None:
        """Guards against a primary in use past the bound of a drain learnt of late."""
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(1)
        cut_off_at = site.register._clock.monotonic()
        site.store.unavailable = True
        await asyncio.sleep(1)
        site.put("a1", b"draining")
        await asyncio.sleep(8)
        site.store.unavailable = False
        await asyncio.sleep(4)
        assert 0 < site.register.draining_since["a1"] <= cut_off_at
        site.stop()

    async def test_a_drain_that_began_while_a_list_waited_counts_from_its_call(
        self,
    ) -> None:
        """Guards against a list that waits on a busy link and looks new."""
        site = Register()
        site.put("a1")
        list_now = site.store.list

        async def list_late(prefix: str, *, timeout: float) -> KeyValueList:
            listed = await list_now(prefix, timeout=timeout)
            await asyncio.sleep(1.4)
            return listed

        site.store.list = list_late
        asked_at = asyncio.get_running_loop().time()
        assert await site.register.poll()
        site.put("a1", b"draining")
        assert await site.register.poll()
        assert site.register.draining_since["a1"] <= asked_at

    async def test_an_expired_entry_that_returns_was_never_lost(self) -> None:
        """Guards against giving up an endpoint that was only slow to report.

        Entries may expire while the store is away, and a watch may outlast that.
        """
        site = Register()
        site.put("a1")
        site.put("b1")
        await site.start()
        await asyncio.sleep(REREGISTER_S)
        lost = []
        site.register.subscribe(lambda found: lost.append("b1" not in found))
        site.put("b1", None)
        assert await site.names_after(2.0) == {"a1", "b1"}
        site.put("b1")
        assert await site.names_after(2 * REREGISTER_S) == {"a1", "b1"}
        assert not any(lost)
        site.stop()

    async def test_an_entry_that_stays_away_is_lost(self) -> None:
        site = Register()
        site.put("a1")
        site.put("b1")
        await site.start()
        site.put("b1", None)
        assert await site.names_after(REREGISTER_S + 1.0) == {"a1"}
        site.stop()

    async def test_an_entry_that_stays_invalid_is_lost(self) -> None:
        """Guards against an endpoint that stays in use after another writer's entry."""
        site = Register()
        site.put("a1")
        site.put("b1")
        await site.start()
        site.put("b1", b"odd")
        assert await site.names_after(REREGISTER_S + 1.0) == {"a1"}
        site.stop()

    async def test_entries_that_expired_in_an_outage_are_waited_for(self) -> None:
        site = Register()
        site.put("a1")
        site.put("b1", b"draining")
        await site.start()
        site.store.unavailable = True
        await asyncio.sleep(5)
        site.put("b1", None)
        site.store.unavailable = False
        assert await site.names_after(2.0) == {"a1", "b1"}
        assert await site.names_after(2 * REREGISTER_S) == {"a1"}
        site.stop()

    async def test_a_change_older_than_the_list_does_not_bring_an_endpoint_back(
        self,
    ) -> None:
        """Guards against a watch that lags behind a list."""
        site = Register()
        site.put("a1")
        await site.start()
        site.put("b1")
        older = site.store.history[-1]
        site.put("b1", None)
        assert await site.register.poll()
        site.register._apply(older)
        assert await site.names_after(1.0) == {"a1"}
        site.stop()

    async def test_at_rest_the_register_is_not_listed(self) -> None:
        """Guards against polling, which the platform charges."""
        site = Register()
        site.put("a1")
        await site.start()
        calls = site.store.calls
        await asyncio.sleep(30)
        assert site.store.calls == calls
        site.stop()


class TestPeerLists:
    async def test_an_older_list_does_not_bring_an_endpoint_back(self) -> None:
        """Guards against a home's older list after this VM saw an endpoint leave."""
        site = Register()
        site.put("a1")
        site.put("b1")
        older = site.store.revision
        site.put("b1", None)
        assert await site.register.poll()
        both = [info("a1"), info("b1")]
        site.register.update_from_peer(both, age_s=1.0, revision=older)
        assert set(site.register.endpoints) == {"a1"}

    async def test_a_newer_list_is_used(self) -> None:
        site = Register()
        site.put("a1")
        assert await site.register.poll()
        newer = site.store.revision + 1
        site.register.update_from_peer([info("b1")], age_s=1.0, revision=newer)
        assert set(site.register.endpoints) == {"b1"}
        assert site.register.revision == newer


class TestRestoredStore:
    """The store comes back from an older copy, under later revisions."""

    @staticmethod
    async def draining_for(site: Register, seconds: float) -> float:
        """Let an endpoint drain; return when that began."""
        site.put("a1")
        site.put("b1")
        await site.start()
        await asyncio.sleep(REREGISTER_S)
        site.put("b1", b"draining")
        await asyncio.sleep(seconds)
        assert site.register.endpoints["b1"].draining
        return site.register.draining_since["b1"]

    async def test_a_draining_endpoint_does_not_become_ready(self) -> None:
        """Guards against new statements for an endpoint that is about to end."""
        site = Register()
        since = await self.draining_for(site, 2.0)
        site.put("b1", b"ready")
        await asyncio.sleep(0.25)
        assert site.register.endpoints["b1"].draining
        assert site.register.draining_since["b1"] == since
        site.stop()

    async def test_a_drained_endpoint_that_is_listed_again_is_draining(self) -> None:
        """Guards against statements for an endpoint that has left."""
        site = Register()
        since = await self.draining_for(site, 2.0)
        site.put("b1", None)
        assert await site.names_after(0.25) == {"a1"}
        site.put("b1", b"ready")
        await asyncio.sleep(0.25)
        assert site.register.endpoints["b1"].draining
        assert site.register.draining_since["b1"] == since
        site.stop()

    async def test_a_new_process_of_a_drained_endpoint_is_ready(self) -> None:
        site = Register()
        await self.draining_for(site, 2.0)
        site.put("b1", b"restarted")
        await asyncio.sleep(0.25)
        assert not site.register.endpoints["b1"].draining
        assert "b1" not in site.register.draining_since
        site.stop()

    async def test_a_draining_endpoint_that_the_copy_lacks_may_return(self) -> None:
        """Guards against dropping a draining primary that still serves."""
        site = Register()
        history = StoreHistory()
        history.subscribe(site.register.await_reregistration)
        await self.draining_for(site, 2.0)
        history.begin_next_era()
        site.put("b1", None)
        assert await site.names_after(1.0) == {"a1", "b1"}
        assert await site.names_after(REREGISTER_S) == {"a1"}
        site.stop()
