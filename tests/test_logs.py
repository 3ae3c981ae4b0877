"""Tests of structured log lines."""

from __future__ import annotations

import io
import logging
import shlex
from collections.abc import Iterator

import pytest

from celeryjunction.logs import REDACTED_FIELDS, format_event, get_logger, set_up_logs


class FixedClock:
    def monotonic(self) -> float:
        return 0.0

    def wall(self) -> float:
        return 1_893_456_000.25


@pytest.fixture
def output() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    setup = set_up_logs("info", stream=stream, clock=FixedClock())
    yield stream
    setup.close()


class TestLines:
    def test_format_and_level(self, output: io.StringIO) -> None:
        logger = get_logger("pool")
        logger.debug("hidden")
        logger.info("opened", endpoint="e1", waited_s=0.25, reused=False, term=None)
        assert output.getvalue() == (
            "time=2030-01-01T00:00:00.250Z level=info logger=pool event=opened "
            "endpoint=e1 waited_s=0.25 reused=false term=null\n"
        )

    def test_library_records_are_one_line(self, output: io.StringIO) -> None:
        # Guards against records of `logging` that span several lines or forge one.
        try:
            raise ValueError("a\nlevel=error event=forged")
        except ValueError:
            logging.getLogger("lib").exception("x\ny")
        (line,) = output.getvalue().splitlines()
        pairs = [word.partition("=")[0] for word in shlex.split(line)]
        assert pairs == ["time", "level", "logger", "event", "message", "exception"]

    @pytest.mark.parametrize(
        "value",
        ["a b", 'a"b', "a=b", "a\nb", "a\x7fb", "a\u2028b", "\x85", "", "\ud800", "\\"],
    )
    def test_values_cannot_forge_a_line(self, output: io.StringIO, value: str) -> None:
        get_logger("x").warning("e", name=value, next=1)
        (line,) = output.getvalue().splitlines()
        assert line.isascii() and line.isprintable()
        names = [word.partition("=")[0] for word in shlex.split(line)]
        assert names[3:] == ["event", "name", "next"]

    def test_fields_cannot_replace_the_fixed_ones(self) -> None:
        text = format_event("e", {"level": 1, "event": "x", "a b=c\n": ("x", 2)})
        assert text == "event=e field_level=1 field_event=x a_b_c_=x,2"


class TestRedaction:
    @pytest.mark.parametrize("name", sorted(REDACTED_FIELDS))
    def test_secret_fields(self, name: str) -> None:
        # Guards against a secret in the log, including one in a nested mapping.
        text = format_event(
            "e", {name: "hush", name.upper(): "hush", "m": {name: "hush"}}
        )
        assert "hush" not in text and text.count("<redacted>") == 3
