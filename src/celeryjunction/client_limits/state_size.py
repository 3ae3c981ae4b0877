"""Counts a session's values and prepared statements, and refuses what is too much."""

from __future__ import annotations

from collections.abc import Callable

from celeryjunction.client_limits.limits import MAX_STATE_BYTES
from celeryjunction.errors import ErrorKind, ProxyError

ENTRY_BYTES = 300
"""Memory of an entry beside its bytes."""


class StateSize:
    """Size of one session's state.

    For example, a session that holds a value of 1 MiB may replace it by another one of
    1 MiB, and is refused an eighth name with such a value.
    """

    __slots__ = ("_size", "hold")

    def __init__(self) -> None:
        self._size = 0
        self.hold: Callable[[int], bool] = lambda size: True
        """Reports the size; returns whether there is memory for its growth."""

    @property
    def size(self) -> int:
        """Size of all entries."""
        return self._size

    def replace(self, before: tuple[bytes, ...], after: tuple[bytes, ...]) -> None:
        """Count an entry that replaces another one; an empty tuple is no entry.

        Raises `ProxyError` (not run).
        """
        growth = _entry_size(after) - _entry_size(before)
        size = self._size + growth
        if growth > 0 and size > MAX_STATE_BYTES:
            details: dict[str, object] = {"size": size, "limit": MAX_STATE_BYTES}
            raise ProxyError(ErrorKind.STATEMENT_TOO_LARGE, details)
        if not self.hold(size) and growth > 0:
            raise ProxyError(ErrorKind.NOT_RUN_MEMORY, {"part": "session state"})
        self._size = size


def _entry_size(fields: tuple[bytes, ...]) -> int:
    return sum(map(len, fields)) + ENTRY_BYTES if fields else 0
