"""Config changes over silent connections and busy links, in simulated time."""

from __future__ import annotations

import asyncio
import base64
import math
from random import Random
from urllib.parse import parse_qsl

import msgspec
import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.adapters.http_client import (
    CONNECT_RETRY_S,
    HttpClient,
    HttpFailure,
    HttpResponse,
)
from celeryjunction.follower import PrefixFollower
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import StoreUnavailable, WatchEvent
from celeryjunction.route_updates.confirmation import RoutesConfirmation
from celeryjunction.route_updates.reader import RoutesReader
from celeryjunction.route_updates.time_budget import TimeBudget

BOUND_S = 5.0
"""Bound on a change, and time for which a VM whose connections fell silent is not held
to it: `config_apply_ms` and `contact_ms` of the largest deployments."""
ANSWER_S = 0.004
BUSY_S = 2.0
"""A call over a link on which packets wait for 0.5 s in each direction: one round trip
to connect and one for the request. Operators expect a VM to keep its bounds there."""
KEY = "op/config"


class SilentStore:
    """A store over HTTP whose open connections can fall silent.

    It has discarded the changes up to `compacted`. Requests that wait when `silence`
    is called are never answered; later ones are. The next `lost_answers` answers with
    a change, or to a call without a wait, never come.
    """

    def __init__(self) -> None:
        self.polled = asyncio.Event()
        self.compacted = 0
        self.call_s = ANSWER_S
        self.lost_answers = 0
        self._revision = 1
        self._changed = asyncio.Condition()
        self._silent = asyncio.Event()
        self._polls: set[asyncio.Future[HttpResponse]] = set()

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
        """Fail the long polls, as another call that got no response does."""
        for poll in self._polls:
            poll.cancel()

    async def request(
        self,
        method: str,
        path: str,
        *,
        timeout: float,
        long_poll: bool = False,
        **_: object,
    ) -> HttpResponse:
        call, _, query = path.partition("?")
        silent = self._silent
        answer = asyncio.ensure_future(self._answer(call, dict(parse_qsl(query))))
        if long_poll:
            self._polls.add(answer)
        silenced = asyncio.ensure_future(silent.wait())
        try:
            async with asyncio.timeout(timeout):
                await asyncio.wait(
                    {answer, silenced}, return_when=asyncio.FIRST_COMPLETED
                )
                if silenced.done():
                    await asyncio.Event().wait()
                if answer.cancelled():
                    raise HttpFailure("the connection was closed")
                return await answer
        except TimeoutError:
            raise HttpFailure(f"{call}: no response: TimeoutError") from None
        finally:
            self._polls.discard(answer)
            answer.cancel()
            silenced.cancel()

    async def _answer(self, call: str, query: dict[str, str]) -> HttpResponse:
        await asyncio.sleep(self.call_s)
        response = await self._execute(call, query)
        if self.lost_answers and b'"events":[]' not in response.body:
            self.lost_answers -= 1
            await asyncio.Event().wait()
        return response

    async def _execute(self, call: str, query: dict[str, str]) -> HttpResponse:
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


class Home:
    """A VM that learns of config changes from the store alone."""

    def __init__(self, service: SilentStore) -> None:
        self._service = service
        self._versions: dict[int, float] = {}
        store = HttpStore(service, config_apply_ms=BOUND_S * 1000)
        self._config = PrefixFollower(
            store, "op/", clock=ManualClock(), random=Random(1)
        )
        self._config.is_small = True
        self._config.set_vm_count(71)
        self._config.subscribe(self._record)
        reader = RoutesReader(
            self._config,
            store,
            confirmation=RoutesConfirmation(
                own_confirmed_at=lambda: self._config.confirmed_at
            ),
            budget=lambda: TimeBudget(BOUND_S),
            in_force=lambda: 1,
            forwards=lambda: False,
            vm_count=lambda: 71,
            history=store.history,
            clock=ManualClock(),
            random=Random(1),
        )
        self._tasks = [
            asyncio.create_task(self._config.run()),
            asyncio.create_task(reader.run()),
        ]

    def _record(self, event: WatchEvent) -> None:
        now = asyncio.get_running_loop().time()
        self._versions.setdefault(event.revision, now)

    async def time_until_in_force(self) -> float:
        """Change the config; return the seconds until it is in force, or infinity."""
        changed_at = asyncio.get_running_loop().time()
        await self._service.change()
        await asyncio.sleep(2 * BOUND_S)
        newer = [at for at in self._versions.values() if at >= changed_at]
        return min(newer, default=math.inf) - changed_at

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()


class TestConfigOfAHome:
    @pytest.mark.parametrize("compacted", [False, True])
    async def test_a_change_after_a_silence_is_in_force_within_the_bound(
        self, compacted: bool
    ) -> None:
        """Guards against noticing a dead watch only when the bound has passed."""
        service = SilentStore()
        home = Home(service)
        await asyncio.wait_for(service.polled.wait(), timeout=BOUND_S)
        service.silence()
        service.compacted = 2 if compacted else 0
        assert await home.time_until_in_force() <= BOUND_S
        home.close()

    async def test_a_change_comes_over_a_busy_link_within_the_bound(self) -> None:
        """Guards against reads that are given up and begun again without end."""
        service = SilentStore()
        home = Home(service)
        await asyncio.wait_for(service.polled.wait(), timeout=BOUND_S)
        service.call_s = BUSY_S

        async def fail_other_calls() -> None:
            while True:
                service.abort_long_polls()
                await asyncio.sleep(0.5)

        failing = asyncio.create_task(fail_other_calls())
        for _ in range(3):
            assert await home.time_until_in_force() <= BOUND_S
        failing.cancel()
        home.close()

    @pytest.mark.parametrize("call_s", [ANSWER_S, BUSY_S])
    async def test_a_change_is_in_force_in_time_after_two_lost_answers(
        self, call_s: float
    ) -> None:
        """Guards against a sum of waits that leaves no time for a lost answer."""
        late = []
        for phase in range(0, 50, 2):
            service = SilentStore()
            home = Home(service)
            await asyncio.wait_for(service.polled.wait(), timeout=BOUND_S)
            await service.change()
            await asyncio.sleep(phase / 10)
            service.call_s, service.lost_answers = call_s, 2
            passed_s = await home.time_until_in_force()
            if passed_s > BOUND_S:
                late.append((phase / 10, passed_s))
            home.close()
        assert not late

    async def test_a_poll_that_was_never_answered_is_unavailable(self) -> None:
        """Guards against a watch that waits without end."""
        service = SilentStore()
        store = HttpStore(service, config_apply_ms=BOUND_S * 1000)
        watch = asyncio.create_task(anext(store.watch("op/", start_revision=2)))
        await service.polled.wait()
        service.silence()
        with pytest.raises(StoreUnavailable):
            await asyncio.wait_for(watch, timeout=BOUND_S + 1)


class Opened:
    """A connection that was established; whether it was closed again."""

    def __init__(self) -> None:
        self.closed = False

    def abort(self) -> None:
        self.closed = True


class SlowClient(HttpClient):
    """Connects after the given times in seconds, one for each attempt."""

    def __init__(self, *delays: float) -> None:
        super().__init__("127.0.0.1", 1)
        self._delays = iter(delays)
        self.opened: list[Opened] = []

    async def _open_connection(self) -> Opened:
        delay = next(self._delays, math.inf)
        if delay == math.inf:
            await asyncio.Event().wait()
        await asyncio.sleep(delay)
        self.opened.append(Opened())
        return self.opened[-1]


class TestConnect:
    @pytest.mark.parametrize(
        ("delays", "expected_s"),
        [
            pytest.param((0.01,), 0.01, id="at once"),
            pytest.param((0.9,), 0.9, id="busy link"),
            pytest.param((math.inf, 0.01), CONNECT_RETRY_S + 0.01, id="lost packet"),
            pytest.param((0.9, 0.2, 0.2), 0.9, id="two at once"),
        ],
    )
    async def test_the_first_connection_is_used(
        self, delays: tuple[float, ...], expected_s: float
    ) -> None:
        """Guards against giving up a connection whose packets wait in a busy link."""
        client, loop = SlowClient(*delays), asyncio.get_running_loop()
        started = loop.time()
        connection = await client._connect()
        assert loop.time() - started == pytest.approx(expected_s, abs=0.01)
        await asyncio.sleep(2)
        assert [other for other in client.opened if not other.closed] == [connection]

    async def test_attempts_end_with_the_request(self) -> None:
        """Guards against connections that nobody uses or closes."""
        client = SlowClient(*[2.5] * 8)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(2.0):
                await client._connect()
        await asyncio.sleep(5)
        assert not client.opened
