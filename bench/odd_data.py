"""Data of writes that holds bytes which a line of the protocol may hold."""

from __future__ import annotations

ODD_TEXTS = (
    "x",
    "a\nb",
    "\n",
    "\r",
    "a\r\r",
    "\n\rb",
    "\x00\xff\x85\x1c",
    " a  ",
    "paid\nCOMPLETE d.i-x.1\nREADY I 1.1",
    "see\nQUERY q1 WRITE w0 1",
    "\nROW 1",
)
"""Texts in Latin-1, some with a second line that reads like a message."""


def make_data(value: int) -> str:
    """Return the data of a write of this value."""
    return f"{value} {ODD_TEXTS[value % len(ODD_TEXTS)]}"


def parse_value(data: str) -> int | None:
    """Return the value that data was made of; None if it is not such data.

    The item was not written yet if it is ``-``, which counts as 0.
    """
    if data == "-":
        return 0
    number = data.partition(" ")[0]
    if not number.isdigit() or data != make_data(int(number)):
        return None
    return int(number)
