"""Priority ranks of work."""

from __future__ import annotations

from enum import IntEnum


class Rank(IntEnum):
    """How urgent a piece of work is. A smaller value is served first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2

    @property
    def label(self) -> str:
        """Name of the rank as contracts write it."""
        return self.name.lower()
