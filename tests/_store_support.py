"""Shared helpers of tests that use the key-value service."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager, suppress

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.ports import Compare, Put
from celeryjunction.standin.kv import RunningStore, serve_store

EVENT_TIMEOUT_S = 20.0
"""Time limit for expected events; a test that passes never waits this long."""


class FakeTime:
    """A clock and a sleep function, which only `advance` moves on."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.sleepers: list[tuple[float, asyncio.Future]] = []

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return 1_700_000_000.0 + self.now

    async def sleep(self, seconds: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.sleepers.append((self.now + seconds, waiter))
        self.advance(0)
        await waiter

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for due, waiter in self.sleepers:
            if due <= self.now and not waiter.done():
                waiter.set_result(None)
        self.sleepers = [one for one in self.sleepers if not one[1].done()]


async def eventually(
    condition: Callable[[], bool], time: FakeTime | None = None, *, limit: float = 5.0
) -> None:
    """Wait until the condition holds.

    The fake time advances in small steps, by `limit` seconds in total. With a limit
    below the TTL of a lease, no lease expires only because the machine is busy.
    """
    end = time.now + limit if time else 0.0
    async with asyncio.timeout(EVENT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
            if time is not None and time.now < end:
                time.advance(0.05)


@asynccontextmanager
async def running_store(**options) -> AsyncIterator[tuple[RunningStore, EtcdStore]]:
    """Start a stand-in for the key-value service and connect to it."""
    server = await serve_store(**options)
    store = EtcdStore([f"127.0.0.1:{server.port}"], name="test", progress_s=0.2)
    try:
        yield server, store
    finally:
        await store.close()
        await server.close()


@asynccontextmanager
async def background_tasks(*coroutines: Coroutine) -> AsyncIterator[list[asyncio.Task]]:
    """Run coroutines in the background; an exception in one fails the test."""
    tasks = [asyncio.create_task(one) for one in coroutines]
    try:
        yield tasks
    finally:
        for task in tasks:
            task.cancel()
        for task in tasks:
            with suppress(asyncio.CancelledError):
                await task


async def write(store: EtcdStore, key: str, value: bytes | None) -> int:
    """Write a key unconditionally and return the revision."""
    return (await store.compare_and_put([], [Put(key, value)])).revision


async def create(store: EtcdStore, key: str, value: bytes):
    """Write a key if it is absent."""
    return await store.compare_and_put([Compare(key, 0)], [Put(key, value)])
