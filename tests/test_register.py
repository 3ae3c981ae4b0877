"""Tests of the endpoint register: whose list counts, and what a restart may use."""

from __future__ import annotations

import asyncio
from random import Random

from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import FakeStore

from celeryjunction.ports import KeyValue, KeyValueList
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.replication.register import EndpointRegister

PREFIX = "servers/"


def info(name: str, *, draining: bool = False) -> EndpointInfo:
    return EndpointInfo(name, "g", "10.0.0.1", 1, "a", 3, draining, 100)


def decode(item: KeyValue) -> EndpointInfo:
    name = item.key.removeprefix(PREFIX)
    return info(name, draining=item.value == b"draining")


class BootedNow(ManualClock):
    """The clock of a machine that has just booted: it starts at 0 seconds."""

    def __init__(self) -> None:
        self._started = asyncio.get_running_loop().time()

    def monotonic(self) -> float:
        return super().monotonic() - self._started


class Register:
    """A register of a fake store with a stale copy."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.clock = BootedNow()
        self.stale: KeyValueList | None = None
        self.register = EndpointRegister(
            self.store,
            PREFIX,
            decode=decode,
            clock=self.clock,
            random=Random(1),
            list_stale=self.list_stale,
        )

    async def list_stale(self, prefix: str, *, timeout: float) -> KeyValueList:
        return self.stale or await self.store.list(prefix)

    def put(self, name: str, value: bytes | None = b"ready") -> None:
        self.store.revision += 1
        self.store.put(PREFIX + name, value)


class TestRestart:
    async def test_the_first_list_is_not_a_stale_one(self) -> None:
        """Guards against using an endpoint that left while the process restarted.

        The clock of a machine that has just booted is close to 0.
        """
        site = Register()
        site.put("a1")
        site.put("b1")
        site.stale = await site.store.list(PREFIX)
        site.put("b1", None)
        running = asyncio.create_task(site.register.run())
        await site.register.synced.wait()
        assert set(site.register.endpoints) == {"a1"}
        running.cancel()


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
