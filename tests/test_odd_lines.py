"""Lines of endpoints and clients that hold odd text or numbers out of range."""

from __future__ import annotations

import asyncio

import pytest
from _odd_values import (
    NOISE_BYTES,
    ODD_DIGITS,
)

from celeryjunction.errors import ConnectionLost
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.platform.wire import (
    MalformedStatement,
    parse_position,
    parse_statement,
    parse_status,
)
from celeryjunction.ports import BootClock
from celeryjunction.replication.ports import EndpointInfo, LogPosition, Relay

LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""
STATUS = (b"replica", b"3", b"3.1209", b"4", b"12.5", b"2", b"17")
ODD_ROWS = {
    f"field {index}: {kind}": b" ".join(
        (*STATUS[:index], text.encode(), *STATUS[index + 1 :])
    )
    for index in (1, 3, 5, 6)
    for kind, text in ODD_DIGITS.items()
}
ODD_ROWS |= {
    f"lag: {text}": b" ".join((*STATUS[:4], text.encode(), *STATUS[5:]))
    for text in (
        "",
        "nan",
        "inf",
        "-inf",
        "1e400",
        "-1",
        "1_0",
        "+1",
        "\u0661",
        "9" * 400,
        "9" * 5000,
    )
}
ODD_ROWS |= {
    f"position: {text[:20]}": b" ".join((*STATUS[:2], text.encode(), *STATUS[3:]))
    for text in ("", ".", "3", "3.", ".3", "3.x", "3.-1", "3.1.1", f"3.{2**63}")
}
ODD_ROWS |= {
    "noise": b"\xa7\x00{" * (NOISE_BYTES // 3),
    "blanks": b" " * NOISE_BYTES,
    "no UTF-8": b"replica \xff \xfe 0 0 0 0",
}


class TestPositions:
    @pytest.mark.parametrize("kind", ODD_DIGITS)
    def test_odd_digits_are_no_position(self, kind: str) -> None:
        digits = ODD_DIGITS[kind].encode()
        assert parse_position(b"3." + digits) is None
        assert parse_position(digits + b".3") is None

    @pytest.mark.parametrize("text", [b"", b".", b"3", b"3.1.1", b"\xff.\xfe"])
    def test_other_text_is_no_position(self, text: bytes) -> None:
        assert parse_position(text) is None

    def test_the_largest_position(self) -> None:
        text = b"%d.%d" % (2**63 - 1, 2**63 - 1)
        assert parse_position(text) == LogPosition(2**63 - 1, 2**63 - 1)


class TestStatusRows:
    @pytest.mark.parametrize("kind", ODD_ROWS, ids=lambda kind: kind[:40])
    def test_an_odd_row_is_no_status(self, kind: str) -> None:
        assert parse_status(ODD_ROWS[kind]) is None

    def test_a_row_without_a_position_is_at_the_start_of_its_term(self) -> None:
        status = parse_status(b"primary 3 - 0 0 0 0")
        assert status.received == LogPosition(3, 0)


class TestStatements:
    @pytest.mark.parametrize(
        "text",
        [b"", b"\xff\xfe", b"\x00" * NOISE_BYTES, b"BEGIN " + b"9" * 5000],
        ids=["empty", "no UTF-8", "noise", "digits"],
    )
    def test_odd_text_is_malformed(self, text: bytes) -> None:
        with pytest.raises(MalformedStatement) as caught:
            parse_statement(text)
        assert len(str(caught.value)) <= 20


class TestLineDialer:
    @staticmethod
    def info(host: str, port: int) -> EndpointInfo:
        return EndpointInfo("a1", "g", host, port, "a", 3)

    @pytest.mark.parametrize("host", ["a" * 70, "a..b", "\u00e9" * 80, "a b"])
    async def test_a_host_that_has_no_address_is_not_reached(self, host: str) -> None:
        dialer = LineDialer(client_name="test", clock=BootClock())
        with pytest.raises(ConnectionLost):
            await dialer.connect(self.info(host, 1), timeout=LIMIT_S)

    @pytest.mark.parametrize("kind", ODD_DIGITS)
    async def test_an_odd_position_leaves_the_connection_in_use(
        self, kind: str
    ) -> None:
        writers = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await reader.readuntil(b"\r\n")
            writer.write(b"READY I -\r\n")
            positions = (b"3." + ODD_DIGITS[kind].encode(), b"3.7")
            for number, position in enumerate(positions):
                await reader.readuntil(b"\r\n")
                writer.write(b"COMPLETE d%d\r\nREADY I %b\r\n" % (number, position))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        dialer = LineDialer(client_name="test", clock=BootClock())
        address = server.sockets[0].getsockname()
        link = await dialer.connect(self.info(*address), timeout=LIMIT_S)
        positions = [
            (await link.run([Relay(b"q%d" % i, b"READ 1")], timeout=LIMIT_S))[
                0
            ].position
            for i in range(2)
        ]
        assert positions == [None, LogPosition(3, 7)]
        link.close()
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(0.01)
