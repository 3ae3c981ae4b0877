"""Draws fields and texts of statements from all bytes that the protocol allows."""

from __future__ import annotations

from random import Random

PLAIN = "plain"
LINE_FEEDS = "line feeds"
MESSAGES = "messages"
ALL_BYTES = "all bytes"

_LETTERS = b"abcdefghijklmnopqrstuvwxyz"
_SEPARATORS = (b"\n", b"\r", b"\n\n", b"\r\r", b"\0", b"\x85", b"\x0b", b"\x1c")
_ODD_BYTES = (*_SEPARATORS, b"\xff", b"\xc3\x28", b"\xe2\x80\xa8", b"\t", b'"', b"\x1b")
_MESSAGES = (
    b"COMPLETE d.00000000000000000000000000000000",
    b"COMPLETE -",
    b"READY I 1.1",
    b"READY T -",
    b"ROW stray",
    b"ERROR BUSY i-db0",
    b"QUERY - WRITE stray stray",
    b"QUERY 0badbadbadbadbad READ stray",
    b"RELEASE",
)


class TextSource:
    r"""Draws fields of one form, from a seeded source.

    No field contains CR LF, and a word contains no blank either.

        TextSource(Random(7), form=LINE_FEEDS).draw_text()  # b"qk\nzr"
    """

    __slots__ = ("_form", "_random")

    def __init__(self, random: Random, *, form: str) -> None:
        self._random = random
        self._form = form

    def draw_word(self) -> bytes:
        """Draw a field that other fields follow."""
        if self._form != ALL_BYTES:
            return self._draw_letters()
        return self._draw().replace(b" ", b"_")

    def draw_text(self) -> bytes:
        """Draw the last field of a message, which may contain blanks."""
        if self._form == MESSAGES:
            end = b"\n" if self._random.random() < 0.5 else b""
            message = self._random.choice(_MESSAGES)
            return self._draw_letters() + b"\n" + message + end
        return self._draw()

    def _draw_letters(self) -> bytes:
        size = self._random.randrange(1, 9)
        return bytes(self._random.choices(_LETTERS, k=size))

    def _draw(self) -> bytes:
        if self._form == PLAIN:
            return self._draw_letters()
        if self._form == LINE_FEEDS:
            return self._draw_letters() + b"\n" + self._draw_letters()
        parts = self._random.choices(
            (*_ODD_BYTES, self._draw_letters(), self._random.randbytes(4), b" x "),
            k=self._random.randrange(1, 5),
        )
        return self._without_line_end(b"".join(parts))

    @staticmethod
    def _without_line_end(field: bytes) -> bytes:
        while b"\r\n" in field:
            field = field.replace(b"\r\n", b"")
        return field or b"x"
