"""Format of KNOWN-RED.txt.

Each entry is a line with four fields between bars: the test's id as pytest prints it,
or the name of a bench or soak run; the command with its seed; what was seen; the issue.
Empty lines and lines that begin with # are ignored.
"""

from __future__ import annotations


class KnownRed:
    """One entry of the list."""

    __slots__ = ("command", "issue", "seen", "test")

    def __init__(self, test: str, command: str, seen: str, issue: str) -> None:
        self.test = test
        self.command = command
        self.seen = seen
        self.issue = issue

    @property
    def reason(self) -> str:
        """Everything but the test, for reports."""
        return f"{self.seen} ({self.command}; {self.issue})"


def parse_known_red(text: str) -> list[KnownRed]:
    """Parse the list; raises `ValueError` with the number of an incomplete line."""
    entries = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(f"KNOWN-RED.txt line {number}: four fields are needed")
        entries.append(KnownRed(*fields))
    return entries
