"""The platform's line protocol: statements, commands, error codes, status, streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from celeryjunction.adapters.line_stream import MAX_LINE_BYTES, LineStream, LineTooLong
from celeryjunction.errors import ERROR_TABLE, ConnectionLost, ErrorKind, Ran
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    SetParameter,
    Write,
)
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.platform.standin import StandinGroup
from celeryjunction.platform.wire import (
    ERROR_CODES,
    FAULT_CODES,
    FAULTS_BY_CODE,
    MalformedStatement,
    encode_command,
    parse_position,
    parse_statement,
    parse_status,
)
from celeryjunction.ports import BootClock
from celeryjunction.replication.ports import (
    AskStatus,
    EndpointInfo,
    EndpointRefused,
    Fault,
    LogPosition,
    OpenTransaction,
    PauseReceiving,
    Relay,
    RelayPrepared,
    TransactionState,
)

NO_EFFECT_CODES = {
    b"BUSY",
    b"ABORTED",
    b"LAGGING",
    b"READONLY",
    b"MISROUTED",
    b"OVERLOAD",
}
"""Codes that tell the client that its attempt had no lasting effect."""


class TestParseStatement:
    @pytest.mark.parametrize(
        ("text", "statement"),
        [
            (b"BEGIN", Begin(read_only=False)),
            (b"BEGIN READ", Begin(read_only=True)),
            (b"COMMIT", Commit()),
            (b"READ 1a4", Read()),
            (b"WRITE 1a4 some data", Write()),
            (b"SETPARAM zone a b", SetParameter(b"zone", b"a b")),
            (b"PREPARE s1 WRITE q2c", Prepare(b"s1", True, b"q2c")),
            (b"EXECUTE s1 1a4 xk qp", Execute(b"s1", b"1a4 xk qp")),
            (b"DEALLOC s1", Deallocate(b"s1")),
        ],
    )
    def test_decodes_each_statement(self, text: bytes, statement: object) -> None:
        assert parse_statement(text) == statement

    @pytest.mark.parametrize(
        "text",
        [b"", b"BEGIN WRITE", b"PREPARE s1", b"PREPARE s1 X q", b"AFTER 1.2 READ 3"],
    )
    def test_refuses_other_text(self, text: bytes) -> None:
        with pytest.raises(MalformedStatement):
            parse_statement(text)


class TestEncodeCommand:
    @pytest.mark.parametrize(
        ("command", "line"),
        [
            (Relay(b"q1", b"READ 1a4"), b"QUERY q1 READ 1a4\r\n"),
            (
                Relay(b"q1", b"READ 1a4", LogPosition(3, 1207)),
                b"QUERY q1 AFTER 3.1207 READ 1a4\r\n",
            ),
            (
                RelayPrepared(b"q1", b"pr1", b"1a4 x", LogPosition(3, 7)),
                b"QUERY q1 AFTER 3.7 EXECUTE pr1 1a4 x\r\n",
            ),
            (OpenTransaction(b"q1", True), b"QUERY q1 BEGIN READ\r\n"),
            (OpenTransaction(b"q1", False), b"QUERY q1 BEGIN\r\n"),
            (AskStatus(), b"QUERY - STATUS\r\n"),
            (PauseReceiving(4), b"QUERY - PAUSE 4\r\n"),
        ],
    )
    def test_encodes_each_command(self, command: object, line: bytes) -> None:
        assert encode_command(command) == line


class TestErrorCodes:
    def test_only_errors_that_did_not_run_get_a_no_effect_code(self) -> None:
        """An unanswered read is exempt: it changes nothing even if it ran."""
        for kind, code in ERROR_CODES.items():
            if code in NO_EFFECT_CODES and kind is not ErrorKind.READ_UNANSWERED:
                assert ERROR_TABLE[kind].ran is Ran.NO, kind

    def test_an_unknown_outcome_gets_another_code(self) -> None:
        assert ERROR_CODES[ErrorKind.OUTCOME_UNKNOWN] not in NO_EFFECT_CODES
        assert FAULT_CODES[Fault.OTHER] not in NO_EFFECT_CODES

    def test_only_faults_that_did_not_run_have_a_no_effect_code(self) -> None:
        for code, fault in FAULTS_BY_CODE.items():
            assert (code in NO_EFFECT_CODES) != (
                fault.may_have_run or code == b"NOSTMT"
            )


class TestParsePositionAndStatus:
    def test_positions(self) -> None:
        assert parse_position(b"3.1207") == LogPosition(3, 1207)
        assert parse_position(b"-") is None
        assert parse_position(b"3.x") is None

    def test_a_status_row(self) -> None:
        status = parse_status(b"replica 3 3.1209 4 12 2 17")
        assert not status.is_primary
        assert (status.term, status.held_term) == (3, 4)
        assert status.received == LogPosition(3, 1209)
        assert (status.lag_s, status.busy, status.connections) == (0.012, 2, 17)

    @pytest.mark.parametrize("row", [b"", b"replica 3", b"judge 3 3.1 0 0 0 0"])
    def test_a_malformed_row_is_no_status(self, row: bytes) -> None:
        assert parse_status(row) is None


class _Transport:
    def __init__(self) -> None:
        self.closing = False

    def get_extra_info(self, name: str) -> None:
        return None

    def pause_reading(self) -> None:
        pass

    def is_closing(self) -> bool:
        return self.closing


class TestLineStream:
    def _stream(self) -> LineStream:
        stream = LineStream()
        stream.connection_made(_Transport())
        return stream

    async def test_reassembles_lines_from_chunks(self) -> None:
        stream = self._stream()
        stream.data_received(b"ROW a\r\nCOMP")
        stream.data_received(b"LETE d\r\n")
        assert await stream.read_line() == b"ROW a"
        assert await stream.read_line() == b"COMPLETE d"
        assert not stream.buffered

    async def test_a_line_cut_off_by_the_end_is_not_returned(self) -> None:
        stream = self._stream()
        stream.data_received(b"COMPLETE d")
        stream.connection_lost(None)
        assert await stream.read_line() is None

    async def test_an_oversized_line_without_end_is_refused(self) -> None:
        stream = self._stream()
        stream.data_received(b"x" * (MAX_LINE_BYTES + 1))
        with pytest.raises(LineTooLong):
            await stream.read_line()


@pytest.fixture
async def group() -> AsyncIterator[StandinGroup]:
    group = StandinGroup("db", ["a", "b", "c"])
    for endpoint in group.endpoints:
        await endpoint.start()
    yield group
    for endpoint in group.endpoints:
        await endpoint.stop()


def make_info(group: StandinGroup, number: int, **changes: object) -> EndpointInfo:
    endpoint = group.endpoints[number]
    fields = {"id": endpoint.id, "group": group.name, "port": endpoint.port} | changes
    return EndpointInfo(host="127.0.0.1", zone=endpoint.zone, slots=3, **fields)


class TestLineLink:
    async def test_a_pipeline_is_answered_in_order(self, group: StandinGroup) -> None:
        dialer = LineDialer(client_name="t", clock=BootClock())
        link = await dialer.connect(make_info(group, 0), timeout=5)
        answers = await link.run(
            [AskStatus(), Relay(b"q1", b"WRITE 1 x"), Relay(b"q2", b"READ 1")],
            timeout=5,
        )
        assert dialer.status(answers[0]).is_primary
        assert answers[1].position == LogPosition(1, 1)
        assert answers[2].rows == (b"x",)
        assert answers[2].digest == b"d.i-db0.q2.2"
        link.close()

    async def test_clients_that_use_the_same_id_get_answers(
        self, group: StandinGroup
    ) -> None:
        """Guards against a stand-in whose answers look like second ones."""
        dialer = LineDialer(client_name="t", clock=BootClock())
        link = await dialer.connect(make_info(group, 0), timeout=5)
        digests = set()
        for _ in range(3):
            (answer,) = await link.run([Relay(b"q1", b"WRITE 1 x")], timeout=1)
            digests.add(answer.digest)
        assert len(digests) == 3
        link.close()

    async def test_another_endpoint_at_the_address_is_refused(
        self, group: StandinGroup
    ) -> None:
        dialer = LineDialer(client_name="t", clock=BootClock())
        with pytest.raises(EndpointRefused) as refused:
            await dialer.connect(make_info(group, 0, id="i-gone"), timeout=5)
        assert refused.value.fault is Fault.WRONG_ENDPOINT

    async def test_a_refused_connection_reports_that_nothing_was_sent(
        self, group: StandinGroup
    ) -> None:
        info = make_info(group, 0)
        await group.endpoints[0].stop()
        with pytest.raises(ConnectionLost) as lost:
            await LineDialer(client_name="t", clock=BootClock()).connect(
                info, timeout=5
            )
        assert not lost.value.sent

    async def test_a_timeout_closes_the_connection(self, group: StandinGroup) -> None:
        dialer = LineDialer(client_name="t", clock=BootClock())
        link = await dialer.connect(make_info(group, 1), timeout=5)
        group.endpoints[1].silent = True
        with pytest.raises(ConnectionLost) as lost:
            await link.run([Relay(b"q1", b"READ 1")], timeout=0.1)
        assert lost.value.sent
        assert not link.usable

    async def test_a_replica_refuses_a_transaction_that_may_write(
        self, group: StandinGroup
    ) -> None:
        dialer = LineDialer(client_name="t", clock=BootClock())
        link = await dialer.connect(make_info(group, 1), timeout=5)
        (answer,) = await link.run([OpenTransaction(b"q1", False)], timeout=5)
        assert answer.fault is Fault.NOT_PRIMARY
        assert answer.state is TransactionState.IDLE
        link.close()

    async def test_a_cancelled_pipeline_closes_the_connection(
        self, group: StandinGroup
    ) -> None:
        dialer = LineDialer(client_name="t", clock=BootClock())
        link = await dialer.connect(make_info(group, 1), timeout=5)
        group.endpoints[1].silent = True
        running = asyncio.create_task(link.run([AskStatus()], timeout=5))
        await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        assert not link.usable
