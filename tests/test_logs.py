"""Tests of structured log lines."""

from __future__ import annotations

import io
import json
import logging
import re
import shlex
from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.logs import REDACTED_FIELDS, format_event, get_logger, set_up_logs

ODD_TEXTS = [
    "a\nlevel=error event=forged",
    '" end=2',
    "\\",
    '\\"',
    "\x85",
    "\u2028",
    "\0",
]
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^ "]*)(?= |$)')


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


class TestAnyText:
    @given(
        st.lists(st.text(max_size=12) | st.sampled_from(ODD_TEXTS), max_size=4),
        st.binary(max_size=8),
    )
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_ids_and_names_of_any_bytes_stay_in_their_value(
        self, names: list[str], request_id: bytes
    ) -> None:
        stream = io.StringIO()
        setup = set_up_logs("info", stream=stream, clock=FixedClock())
        fields = {f"name{number}": name for number, name in enumerate(names)}
        request = request_id.decode("latin-1")
        get_logger("x").info("e", id=request, **fields, both=names, of=fields, end=1)
        setup.close()
        (line,) = stream.getvalue().splitlines()
        assert line.isascii() and line.isprintable()
        keys = [key for key, _ in PAIR.findall(line)]
        assert keys[3:] == ["event", "id", *fields, "both", "of", "end"]
        values = dict(PAIR.findall(line))
        assert read_value(values["id"]) == request
        for name, text in fields.items():
            assert read_value(values[name]) == text


def read_value(text: str) -> str:
    """Return a logged value as a reader of the log gets it."""
    return json.loads(text) if text.startswith('"') else text
