"""Tests of background tasks that outlive unexpected errors."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from _node_support import WatchedStore
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.replication.register import EndpointRegister
from celeryjunction.services import keep_running


class TestKeepRunning:
    async def test_a_failed_task_runs_again(self) -> None:
        runs = []

        async def run() -> None:
            runs.append(1)
            if len(runs) < 3:
                raise KeyError("scripted")

        await keep_running("test", run)
        assert len(runs) == 3

    async def test_a_cancelled_task_ends(self) -> None:
        task = asyncio.create_task(keep_running("test", asyncio.Event().wait))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    async def test_the_register_is_read_again_after_an_error(self) -> None:
        """Guards against a register that stops for good at one unexpected entry."""
        store, failures = WatchedStore(), [KeyError("scripted")]
        store.put("servers/a1", b"")

        def decode(item: object) -> str:
            if failures:
                raise failures.pop()
            return "not valid"

        register = EndpointRegister(
            store, "servers/", decode=decode, clock=ManualClock(), random=Random(1)
        )
        task = asyncio.create_task(keep_running("register", register.run))
        async with asyncio.timeout(5):
            await register.synced.wait()
        task.cancel()
