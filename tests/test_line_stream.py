"""Where a line ends: at CR LF, whatever bytes it holds and however it is cut."""

from __future__ import annotations

from itertools import pairwise

from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.adapters.line_stream import MAX_LINE_BYTES, LineStream

PIECES = [b"\r", b"\n", b"a", b" ", b"READY I -"]
TEXTS = (
    st.binary(max_size=12) | st.lists(st.sampled_from(PIECES)).map(b"".join)
).filter(lambda text: b"\r\n" not in text)
"""Texts that a field may hold, many with a CR or LF alone."""


class _Transport:
    def get_extra_info(self, name: str) -> None:
        return None

    def pause_reading(self) -> None:
        pass


def read_lines(chunks: list[bytes]) -> tuple[list[bytes], bool]:
    """Return the lines of a stream, and whether it refused its input."""
    stream = LineStream()
    stream.connection_made(_Transport())
    for chunk in chunks:
        stream.data_received(chunk)
    lines = []
    while (line := stream.take_line()) is not None:
        lines.append(line)
    return lines, stream._too_long


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Cut data at places, taken modulo its length."""
    size = len(data) + 1
    marks = sorted({0, len(data), *(place % size for place in places)})
    return [data[start:end] for start, end in pairwise(marks)]


class TestLineStream:
    @given(st.lists(TEXTS, max_size=8), st.lists(st.integers(0, 10_000), max_size=8))
    @settings(max_examples=400, deadline=None, derandomize=True)
    def test_a_line_feed_in_a_field_does_not_end_the_line(
        self, texts: list[bytes], places: list[int]
    ) -> None:
        data = b"".join(text + b"\r\n" for text in texts)
        assert read_lines(cut(data, places)) == (texts, False)

    def test_a_text_that_ends_with_cr_keeps_it(self) -> None:
        assert read_lines([b"a\r\r", b"\nb\r\n"]) == ([b"a\r", b"b"], False)

    def test_the_size_limit_does_not_depend_on_the_chunks(self) -> None:
        for size, is_refused in ((MAX_LINE_BYTES, False), (MAX_LINE_BYTES + 1, True)):
            data = b"x" * size + b"\r\n"
            for places in ([], [size], [size + 1], [size - 1], [7]):
                lines, refused = read_lines(cut(data, places))
                assert (len(lines), refused) == (0 if is_refused else 1, is_refused)
