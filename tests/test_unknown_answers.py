"""What a connection does with answers that fit nothing it knows."""

from __future__ import annotations

import asyncio

import pytest
from test_second_answers import (
    LIMIT_S,
    PLAIN_ANSWER,
    STATUS_ANSWER,
    SilentEndpoint,
    connect,
    connect_silent,
    make_command,
)

from celeryjunction.adapters.pipelined_link import PipelinedLink
from celeryjunction.errors import ConnectionLost
from celeryjunction.ports import BootClock
from celeryjunction.replication.answer_assignment import MARKERS_AFTER_STATUS
from celeryjunction.replication.control import ControlLink
from celeryjunction.replication.ports import (
    Answer,
    EndpointInfo,
    EndpointStatus,
    ResumeReceiving,
    RollBack,
)

MARKER_ANSWERS = [PLAIN_ANSWER] * MARKERS_AFTER_STATUS


class TestRollBack:
    async def test_a_refused_rollback_is_not_hidden_by_a_second_answer(self) -> None:
        link, endpoint = connect_silent()
        opening = asyncio.create_task(
            link.run([make_command("begin", 1)], timeout=LIMIT_S)
        )
        await asyncio.sleep(0)
        open_answer = b"COMPLETE -\r\nREADY T 1.0\r\n"
        endpoint.answer_with(open_answer, open_answer)
        await opening
        ending = asyncio.create_task(link.run([RollBack()], timeout=LIMIT_S))
        await asyncio.sleep(0)
        # The first one answers an earlier command a second time.
        endpoint.answer_with(PLAIN_ANSWER)
        try:
            await ending
        except ConnectionLost:
            return
        if not link.usable:
            return
        writing = asyncio.create_task(
            link.run([make_command("write", 2)], timeout=LIMIT_S)
        )
        await asyncio.sleep(0)
        endpoint.answer_with(b"ERROR READONLY i-1\r\nREADY T 1.0\r\n")
        endpoint.answer_with(b"COMPLETE d2\r\nREADY T 1.0\r\n")
        with pytest.raises(ConnectionLost):
            await writing


class CommandRecorder(SilentEndpoint):
    """Keeps the texts of the commands that it got."""

    def _answer(self, line: bytes) -> None:
        self.sent.append(line.split(b" ", 2)[2])


class TestCommandsWithEffect:
    async def test_a_resume_whose_status_came_twice_is_sent_once(self) -> None:
        link, endpoint = connect([], set(), kind=CommandRecorder)
        resuming = asyncio.create_task(link.run([ResumeReceiving()], timeout=LIMIT_S))
        await asyncio.sleep(0)
        endpoint.answer_with(STATUS_ANSWER, STATUS_ANSWER, *MARKER_ANSWERS)
        await asyncio.sleep(0)
        endpoint.answer_with(STATUS_ANSWER, *MARKER_ANSWERS)
        await resuming
        assert endpoint.sent.count(b"RESUME") == 1


class SilentDialer:
    """Opens connections to endpoints whose answers the test supplies."""

    def __init__(self) -> None:
        self.endpoints: list[SilentEndpoint] = []

    async def connect(
        self, endpoint: EndpointInfo, *, timeout: float, owner: str = ""
    ) -> PipelinedLink:
        """Return a link to a silent endpoint."""
        link, silent = connect_silent()
        self.endpoints.append(silent)
        return link

    def status(self, answer: Answer) -> EndpointStatus | None:
        """Decode no status."""
        return None


class TestControlLink:
    async def test_a_connection_with_part_of_an_answer_is_closed(self) -> None:
        dialer = SilentDialer()
        info = EndpointInfo("i-1", "db", "127.0.0.1", 1, "a", 4)
        control = ControlLink(info, dialer=dialer, clock=BootClock())
        for number in range(2):
            asking = asyncio.create_task(control.ask(timeout=LIMIT_S))
            await asyncio.sleep(0.01)
            dialer.endpoints[number].answer_with(STATUS_ANSWER, *MARKER_ANSWERS)
            await asyncio.sleep(0.01)
            dialer.endpoints[number].answer_with(b"ROW a\r\n")
            await asking
        assert dialer.endpoints[0]._stream.closed
