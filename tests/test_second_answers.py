"""Endpoints that answer a command twice, the second time late, on any connection.

The endpoint here is a model with framing of its own. It keeps the order of its first
answers, as a connection does, and sends second ones whenever the test says so.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.adapters.line_stream import LineStream
from celeryjunction.adapters.pipelined_link import LinkCounts, PipelinedLink
from celeryjunction.errors import ConnectionLost
from celeryjunction.platform.answer_parser import AnswerParser
from celeryjunction.platform.wire import encode_command
from celeryjunction.replication.answer_assignment import (
    MARKERS_AFTER_ERROR,
    MARKERS_AFTER_STATUS,
)
from celeryjunction.replication.ports import (
    Answer,
    AskStatus,
    ClearSession,
    Command,
    Fault,
    OpenTransaction,
    Relay,
    RelayPrepared,
    RollBack,
    SetValue,
    TransactionState,
)

LIMIT_S = 0.2
"""Time-out of a command in the loop's time, for an answer that never comes."""
GREETING = b"READY I 1.0"
PLAIN_ANSWER = b"COMPLETE -\r\nREADY I 1.0\r\n"
STATUS_ANSWER = b"ROW primary 1 1.0 0 0 0 1\r\n" + PLAIN_ANSWER
BUSY_ANSWER = b"ERROR BUSY i-1\r\nREADY I 1.0\r\n"


class Endpoint:
    """Answers the commands of one connection; `runs` has what it answered to each.

    `late` says for each answer how many of the earlier ones come again right before it.
    At most `budget` come, and the test sets it anew before each command.
    """

    def __init__(
        self,
        stream: LineStream,
        *,
        late: list[int],
        errors: set[int],
        unknown_names_fail: bool = False,
    ) -> None:
        self._stream = stream
        self._late = late
        self._errors = errors
        self._unknown_names_fail = unknown_names_fail
        self.inserted: dict[bytes, bytes] = {}
        """Second answers that come right before the next one to a command, by word."""
        self._buffer = b""
        self._state = b"I"
        self._commits = 0
        self.sent: list[bytes] = []
        self._repeated: Counter[int] = Counter()
        self.number = 0
        self.budget = 1
        self.rows: dict[bytes, bytes] = {}
        self.failed: dict[bytes, bool] = {}

    def get_extra_info(self, name: str) -> None:
        return None

    def is_closing(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def abort(self) -> None:
        self._stream.closed = True

    def write(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._answer(line)

    def _answer(self, line: bytes) -> None:
        _, request_id, text = line.split(b" ", 2)
        self.number += 1
        body = self._run(request_id, text)
        answer = body + b"READY %b 1.%d\r\n" % (self._state, self._commits)
        answer = self.inserted.pop(text.split(b" ")[0], b"") + answer
        self.sent.append(answer)
        loop = asyncio.get_running_loop()
        loop.call_soon(self._send, len(self.sent) - 1)

    def _send(self, index: int) -> None:
        count = self._late[index % len(self._late)] if self._late else 0
        for _ in range(count):
            self.repeat_one(before=index)
        if not self._stream.closed:
            self._stream.data_received(self.sent[index])

    def repeat_one(self, *, before: int | None = None) -> None:
        """Send the oldest answer that came only once a second time."""
        for index in range(len(self.sent) if before is None else before):
            if not self.budget or self._stream.closed:
                return
            if not self._repeated[index]:
                self._repeated[index] += 1
                self.budget -= 1
                self._stream.data_received(self.sent[index])
                return

    def _run(self, request_id: bytes, text: bytes) -> bytes:
        word = text.split(b" ")[0]
        if self._unknown_names_fail and word in (b"DEALLOC", b"EXECUTE"):
            return b"ERROR NOSTMT i-1\r\n"
        if request_id == b"-":
            if word == b"STATUS":
                row = b"ROW primary 1 1.%d 0 0 0 %d\r\n" % (self._commits, self.number)
                self.rows[b"status"] = row[4:-2]
                return row + b"COMPLETE -\r\n"
            if word == b"ROLLBACK":
                self._state = b"I"
            return b"COMPLETE -\r\n"
        if self.number in self._errors:
            self.failed[request_id] = True
            return b"ERROR BUSY i-1\r\n"
        self.failed[request_id] = False
        if word == b"BEGIN":
            self._state = b"T"
            return b"COMPLETE -\r\n"
        if word == b"COMMIT":
            self._state = b"I"
        self._commits += word != b"READ"
        row = b"row of %b" % request_id
        self.rows[request_id] = row
        return b"ROW %b\r\nCOMPLETE d%d\r\n" % (row, self.number)


def connect(
    late: list[int],
    errors: set[int],
    *,
    kind: type[Endpoint] = Endpoint,
    unknown_names_fail: bool = False,
) -> tuple[PipelinedLink, Endpoint]:
    """Return a link to a model of an endpoint."""
    stream = LineStream()
    endpoint = kind(
        stream, late=late, errors=errors, unknown_names_fail=unknown_names_fail
    )
    stream.connection_made(endpoint)
    link = PipelinedLink(
        stream,
        endpoint="i-1",
        encode=encode_command,
        parser=AnswerParser(greeting=GREETING),
        opened_at=0.0,
        counts=LinkCounts(),
    )
    return link, endpoint


class SilentEndpoint(Endpoint):
    """Answers no command by itself; the test supplies the answers."""

    def _answer(self, line: bytes) -> None:
        pass

    def answer_with(self, *answers: bytes) -> None:
        """Send these answers, first or second ones."""
        self._stream.data_received(b"".join(answers))


def connect_silent() -> tuple[PipelinedLink, SilentEndpoint]:
    """Return a link to an endpoint whose answers the test supplies."""
    link, endpoint = connect([], set(), kind=SilentEndpoint)
    assert isinstance(endpoint, SilentEndpoint)
    return link, endpoint


def check_own(command: Command, answer: Answer, endpoint: Endpoint) -> None:
    """Check that an answer is the one that the endpoint gave to this command."""
    if isinstance(command, AskStatus):
        assert answer.rows == (endpoint.rows[b"status"],)
    elif isinstance(command, Relay | OpenTransaction):
        assert (answer.fault is not None) == endpoint.failed[command.request_id]
        if isinstance(command, Relay) and answer.fault is None:
            assert answer.rows == (endpoint.rows[command.request_id],)


def make_command(kind: str, number: int) -> Command:
    """Return a command of a kind; statements have an id of their own."""
    name = b"q%d" % number
    return {
        "status": AskStatus(),
        "read": Relay(name, b"READ 1"),
        "write": Relay(name, b"WRITE 1 a\nb"),
        "commit": Relay(name, b"COMMIT"),
        "begin": OpenTransaction(name, False),
        "rollback": RollBack(),
        "clear": ClearSession(),
        "set": SetValue(b"a", b"b"),
    }[kind]


SESSIONS = st.lists(
    st.sampled_from(
        [
            ["read"],
            ["write"],
            ["status"],
            ["clear", "set", "read"],
            ["begin", "read", "commit"],
            ["begin", "write", "rollback"],
        ]
    ),
    max_size=12,
)


class TestPipelinedLink:
    @given(
        sessions=SESSIONS,
        late=st.lists(st.integers(0, 1), max_size=9),
        errors=st.sets(st.integers(1, 40), max_size=12),
        idle=st.sets(st.integers(0, 30), max_size=10),
    )
    @settings(max_examples=400, deadline=None, derandomize=True)
    def test_a_second_answer_is_not_taken_for_that_of_a_later_command(
        self,
        sessions: list[list[str]],
        late: list[int],
        errors: set[int],
        idle: set[int],
    ) -> None:
        async def play() -> None:
            link, endpoint = connect(late, errors)
            number = 0
            for session in sessions:
                if not link.usable or link.in_transaction:
                    link, endpoint = connect(late, errors)
                for kind in session:
                    number += 1
                    command = make_command(kind, number)
                    endpoint.budget = 1
                    try:
                        (answer,) = await link.run([command], timeout=LIMIT_S)
                    except ConnectionLost:
                        break
                    check_own(command, answer, endpoint)
                    if number in idle:
                        endpoint.repeat_one()
                    if answer.fault is not None:
                        break

        asyncio.run(play())

    async def test_a_second_answer_costs_no_statement_and_no_connection(self) -> None:
        link, endpoint = connect([0, 1], set())
        for number in range(20):
            command = make_command("write", number)
            (answer,) = await link.run([command], timeout=LIMIT_S)
            check_own(command, answer, endpoint)
            if number % 3 == 0:
                endpoint.repeat_one()
        assert link.usable

    async def test_a_status_that_comes_twice_is_asked_for_again(self) -> None:
        link, endpoint = connect([0, 0, 1], set())
        for _ in range(3):
            endpoint.budget = 1
            (answer,) = await link.run([AskStatus()], timeout=LIMIT_S)
            check_own(AskStatus(), answer, endpoint)

    async def test_a_status_and_its_marker_that_come_twice_are_not_taken_for_new_ones(
        self,
    ) -> None:
        link, endpoint = connect([], set())
        await link.run([AskStatus()], timeout=LIMIT_S)
        status_and_marker = b"".join(endpoint.sent[:2])
        await link.run([make_command("write", 1)], timeout=LIMIT_S)
        endpoint.inserted[b"STATUS"] = status_and_marker
        (answer,) = await link.run([AskStatus()], timeout=LIMIT_S)
        check_own(AskStatus(), answer, endpoint)

    async def test_an_error_that_came_before_may_be_the_own_one(self) -> None:
        link, _ = connect([], {1, 2})
        for number in range(2):
            command = make_command("write", number)
            (answer,) = await link.run([command], timeout=LIMIT_S)
            assert answer.fault is Fault.BUSY
        assert link.usable

    async def test_an_error_that_comes_twice_is_no_promise_for_a_write_that_ran(
        self,
    ) -> None:
        link, endpoint = connect([0, 1], {1})
        await link.run([make_command("write", 1)], timeout=LIMIT_S)
        command = make_command("write", 2)
        (answer,) = await link.run([command], timeout=LIMIT_S)
        check_own(command, answer, endpoint)
        assert answer.fault is None

    async def test_a_refused_value_is_not_hidden_by_a_second_answer(self) -> None:
        link, endpoint = connect_silent()
        setting = asyncio.create_task(link.run([SetValue(b"a", b"b")], timeout=LIMIT_S))
        await asyncio.sleep(0)
        endpoint.answer_with(PLAIN_ANSWER, BUSY_ANSWER, PLAIN_ANSWER)
        with pytest.raises(ConnectionLost):
            await setting
        assert not link.usable

    async def test_three_second_answers_beside_an_error_do_not_confirm_it(
        self,
    ) -> None:
        link, endpoint = connect_silent()
        failing = asyncio.create_task(
            link.run([make_command("write", 1)], timeout=LIMIT_S)
        )
        await asyncio.sleep(0)
        endpoint.answer_with(BUSY_ANSWER)
        await failing
        command = make_command("write", 2)
        written = asyncio.create_task(link.run([command], timeout=LIMIT_S))
        await asyncio.sleep(0)
        endpoint.answer_with(BUSY_ANSWER, *[PLAIN_ANSWER] * 3)
        endpoint.answer_with(b"COMPLETE d2\r\nREADY I 1.1\r\n")
        endpoint.answer_with(*[PLAIN_ANSWER] * MARKERS_AFTER_ERROR)
        (answer,) = await written
        assert answer.fault is None

    async def test_an_error_discarded_with_a_status_is_no_promise_for_a_later_write(
        self,
    ) -> None:
        link, endpoint = connect_silent()
        asked = asyncio.create_task(link.run([AskStatus()], timeout=LIMIT_S))
        await asyncio.sleep(0)
        markers = [PLAIN_ANSWER] * MARKERS_AFTER_STATUS
        endpoint.answer_with(STATUS_ANSWER, BUSY_ANSWER, *markers)
        await asyncio.sleep(0)
        endpoint.answer_with(STATUS_ANSWER, *markers)
        await asked
        command = make_command("write", 1)
        written = asyncio.create_task(link.run([command], timeout=LIMIT_S))
        await asyncio.sleep(0)
        endpoint.answer_with(BUSY_ANSWER, b"COMPLETE d1\r\nREADY I 1.1\r\n")
        endpoint.answer_with(*[PLAIN_ANSWER] * MARKERS_AFTER_ERROR)
        (answer,) = await written
        assert answer.fault is None

    async def test_an_unknown_name_of_a_marker_is_no_error_of_a_statement(self) -> None:
        link, endpoint = connect([], set(), unknown_names_fail=True)
        await link.run([AskStatus()], timeout=LIMIT_S)
        marker_answer = endpoint.sent[-1]
        await link.run([make_command("write", 1)], timeout=LIMIT_S)
        endpoint.inserted[b"DEALLOC"] = marker_answer
        command = make_command("write", 2)
        _, answer = await link.run([AskStatus(), command], timeout=LIMIT_S)
        check_own(command, answer, endpoint)

    async def test_an_unknown_prepared_name_may_be_the_own_error(self) -> None:
        link, _ = connect([], set(), unknown_names_fail=True)
        command = RelayPrepared(b"q1", b"s1", b"7")
        (answer,) = await link.run([command], timeout=LIMIT_S)
        assert answer.fault is Fault.UNKNOWN_STATEMENT
        assert link.usable

    async def test_a_begin_is_not_answered_by_an_earlier_command(self) -> None:
        link, _ = connect([0, 1], set())
        await link.run([SetValue(b"a", b"b")], timeout=LIMIT_S)
        (answer,) = await link.run([make_command("begin", 1)], timeout=LIMIT_S)
        assert answer.state is TransactionState.OPEN
        assert link.in_transaction

    @pytest.mark.parametrize(
        "surplus",
        [
            b"READY I 1.9\r\n",
            b"COMPLETE d99\r\nREADY I 1.0\r\n",
            b"ERROR BUSY i-1\r\nREADY I 1.0\r\n",
            b"ROW a\r\n",
            b"COMPLETE d1\r\nCOMPLETE d1\r\nREADY I 1.0\r\n",
            b"ROW a",
        ],
    )
    async def test_an_answer_that_no_command_can_have_closes_the_connection(
        self, surplus: bytes
    ) -> None:
        link, endpoint = connect([], set())
        await link.run([make_command("read", 1)], timeout=LIMIT_S)
        endpoint._stream.data_received(surplus)
        assert not link.usable

    @pytest.mark.parametrize(
        "cut_answer", [b"ROW a\r\n", b"COMPLETE d7\r\n", b"ERROR BUSY i-1\r\n"]
    )
    async def test_a_cut_answer_is_not_joined_with_the_next_one(
        self, cut_answer: bytes
    ) -> None:
        link, endpoint = connect([], set())
        running = asyncio.create_task(
            link.run([make_command("status", 1)], timeout=LIMIT_S)
        )
        endpoint._stream.data_received(cut_answer)
        with pytest.raises(ConnectionLost):
            await running
        assert not link.usable

    async def test_the_greeting_may_come_twice(self) -> None:
        link, endpoint = connect([], set())
        endpoint._stream.data_received(GREETING + b"\r\n")
        assert link.usable
        command = make_command("read", 1)
        (answer,) = await link.run([command], timeout=LIMIT_S)
        check_own(command, answer, endpoint)
