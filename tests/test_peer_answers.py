"""Tests that an answer between proxies reaches only the request that it names."""

from __future__ import annotations

import asyncio

import pytest
from _peer_support import ROWS, STEP, make_work
from _store_support import FakeTime
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.links import AnswerLost, PeerConnection
from celeryjunction.peers import Done, Message, PeerLost, Read, terms_from_work
from celeryjunction.ports import QueryResult

LIMIT_S = 5.0


class ScriptedStream:
    """A stream whose answers the test delivers by hand."""

    vm, incarnation, backlog = "vm-b", 1, 0

    def __init__(self) -> None:
        self.closed = False
        self.sent: list[Message] = []
        self._answers: asyncio.Queue[Message | None] = asyncio.Queue()

    def send(self, message: Message) -> None:
        if self.closed:
            raise PeerLost("closed")
        self.sent.append(message)

    async def flush(self) -> None:
        """Nothing is held back."""

    async def receive(self) -> Message:
        answer = await self._answers.get()
        if answer is None:
            raise PeerLost("the stream broke")
        return answer

    def deliver(self, answer: Message | None) -> None:
        """Deliver an answer, or break the stream with None."""
        self._answers.put_nowait(answer)

    def close(self) -> None:
        self.closed = True


class Proxy:
    """A connection, its scripted stream and its receiving task."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.stream = ScriptedStream()
        self.connection = PeerConnection(self.stream, clock=self.time)
        self.task = asyncio.create_task(self.connection.run(lambda _: None))

    def request(self) -> Read:
        work = terms_from_work(make_work(self.time), self.time.now)
        return Read(self.connection.next_id(), "db1", work, STEP, None)

    def call(self, request: Read, *, timeout: float = LIMIT_S) -> asyncio.Task:
        return asyncio.create_task(self.connection.call(request, timeout=timeout))

    async def close(self) -> None:
        self.connection.close()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


def done(number: int) -> Done:
    return Done(number, QueryResult("SELECT 1", None, [(b"%d" % number,)]))


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


class TestAnswers:
    @given(
        st.permutations(range(1, 6)),
        st.lists(st.integers(0, 12), max_size=8),
    )
    @settings(deadline=None, derandomize=True, max_examples=60)
    def test_any_order_with_second_and_unknown_answers(self, order, others) -> None:
        async def play() -> None:
            proxy = Proxy()
            calls = {}
            for _ in range(5):
                request = proxy.request()
                calls[request.id] = proxy.call(request)
            await settle()
            for number in order:
                proxy.stream.deliver(done(number))
                for other in others:
                    if other in order[: order.index(number) + 1] or other > 5:
                        proxy.stream.deliver(done(other))
            for number, call in calls.items():
                assert await asyncio.wait_for(call, LIMIT_S) == done(number)
            assert not proxy.task.done()
            await proxy.close()

        asyncio.run(play())

    @pytest.mark.parametrize("end", ["time-out", "cancellation"])
    async def test_a_late_answer_does_not_reach_the_next_request(
        self, end: str
    ) -> None:
        proxy = Proxy()
        first = proxy.request()
        call = proxy.call(first, timeout=0.01 if end == "time-out" else LIMIT_S)
        await settle()
        if end == "cancellation":
            call.cancel()
        with pytest.raises((AnswerLost, asyncio.CancelledError)):
            await call
        second = proxy.request()
        call = proxy.call(second)
        await settle()
        proxy.stream.deliver(done(first.id))
        await settle()
        assert second.id != first.id and not call.done()
        proxy.stream.deliver(done(second.id))
        assert await call == done(second.id)
        await proxy.close()

    async def test_an_answer_after_a_reconnect_is_no_request_of_the_new_stream(
        self,
    ) -> None:
        old, new = Proxy(), Proxy()
        lost, request = old.request(), new.request()
        assert lost.id == request.id
        old_call, new_call = old.call(lost), new.call(request)
        await settle()
        old.stream.deliver(None)
        with pytest.raises(AnswerLost):
            await old_call
        old.stream.deliver(done(lost.id))
        await settle()
        assert not new_call.done()
        new.stream.deliver(Done(request.id, ROWS))
        assert (await new_call).result == ROWS
        await old.close()
        await new.close()
