"""Config changes while connections to the store are silent, in simulated time."""

from __future__ import annotations

import asyncio
import base64
from random import Random
from urllib.parse import parse_qsl

import msgspec
import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.adapters.http_client import HttpFailure, HttpResponse
from celeryjunction.follower import PrefixFollower
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import StoreUnavailable, WatchEvent

BOUND_S = 5.0
"""Bound on a change, and time for which a VM whose connections fell silent is not held
to it: `config_apply_ms` and `contact_ms` of the largest deployments."""
ANSWER_S = 0.004
KEY = "op/config"


class SilentStore:
    """A store over HTTP whose open connections can fall silent.

    It has discarded the changes up to `compacted`. Requests that wait when `silence`
    is called are never answered; later ones are.
    """

    def __init__(self) -> None:
        self.polled = asyncio.Event()
        self.compacted = 0
        self._revision = 1
        self._changed = asyncio.Condition()
        self._silent = asyncio.Event()

    async def change(self) -> None:
        """Write the key again."""
        self._revision += 1
        async with self._changed:
            self._changed.notify_all()

    def silence(self) -> None:
        """Stop answering the requests that wait."""
        self._silent.set()
        self._silent = asyncio.Event()

    def abort_long_polls(self) -> None:
        """Do nothing: a request that timed out leaves none to abort."""

    async def request(
        self, method: str, path: str, *, timeout: float, **_: object
    ) -> HttpResponse:
        call, _, query = path.partition("?")
        silent = self._silent
        answer = asyncio.ensure_future(self._answer(call, dict(parse_qsl(query))))
        silenced = asyncio.ensure_future(silent.wait())
        try:
            async with asyncio.timeout(timeout):
                await asyncio.wait(
                    {answer, silenced}, return_when=asyncio.FIRST_COMPLETED
                )
                if silenced.done():
                    await asyncio.Event().wait()
                return await answer
        except TimeoutError:
            raise HttpFailure(f"{call}: no response: TimeoutError") from None
        finally:
            answer.cancel()
            silenced.cancel()

    async def _answer(self, call: str, query: dict[str, str]) -> HttpResponse:
        await asyncio.sleep(ANSWER_S)
        item = {
            "key": KEY,
            "revision": self._revision,
            "value": base64.b64encode(b"%d" % self._revision).decode(),
        }
        if call == "/kv-range":
            return _respond({"items": [item], "current_rev": self._revision})
        after = int(query["after"])
        if after < self.compacted:
            return HttpResponse(410, b"{}")
        self.polled.set()
        async with self._changed:
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self._changed.wait_for(lambda: self._revision > after)
            except TimeoutError:
                return _respond({"events": [], "current_rev": self._revision})
        item["revision"] = self._revision
        return _respond({"events": [item], "current_rev": self._revision})


def _respond(body: object) -> HttpResponse:
    return HttpResponse(200, msgspec.json.encode(body))


class TestConfigOfAHome:
    """A VM that learns of changes by its own watch alone."""

    @pytest.mark.parametrize("compacted", [False, True])
    async def test_a_change_after_a_silence_is_in_force_within_the_bound(
        self, compacted: bool
    ) -> None:
        """Guards against noticing a dead watch only when the bound has passed."""
        service = SilentStore()
        store = HttpStore(service, config_apply_ms=BOUND_S * 1000)
        seen: list[tuple[float, WatchEvent]] = []
        loop = asyncio.get_running_loop()
        follower = PrefixFollower(store, "op/", clock=ManualClock(), random=Random(1))
        follower.is_small = True
        follower.set_vm_count(71)
        follower.subscribe(lambda event: seen.append((loop.time(), event)))
        task = asyncio.create_task(follower.run())
        try:
            await asyncio.wait_for(service.polled.wait(), timeout=BOUND_S)
            silent_at = loop.time()
            service.silence()
            service.compacted = 2 if compacted else 0
            await service.change()
            await asyncio.sleep(2 * BOUND_S)
        finally:
            task.cancel()
        changes = [at for at, event in seen if event.revision > 1]
        assert changes
        assert changes[0] - silent_at <= BOUND_S

    async def test_a_poll_that_was_never_answered_is_unavailable(self) -> None:
        """Guards against a watch that waits without end."""
        service = SilentStore()
        store = HttpStore(service, config_apply_ms=BOUND_S * 1000)
        watch = asyncio.create_task(anext(store.watch("op/", start_revision=2)))
        await service.polled.wait()
        service.silence()
        with pytest.raises(StoreUnavailable):
            await asyncio.wait_for(watch, timeout=BOUND_S + 1)
