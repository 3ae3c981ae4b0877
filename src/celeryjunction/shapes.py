"""Cache of facts about statement texts: shapes, repetition and hidden writes."""

from __future__ import annotations

from collections import OrderedDict

from celeryjunction.ports import Clock, StatementShape

MAX_SHAPES = 4096
MAX_RECORDED_TEXTS = 8192
MAX_HIDDEN_WRITES = 1024
SHAPE_TTL_S = 60.0
"""Bounds how long a schema change made outside this proxy can go unnoticed."""


class ShapeCache:
    """Shapes of statements by database, text and declared types, and facts by text.

    A shape is a statement's parameters and columns.
    """

    __slots__ = ("_clock", "_hidden_writes", "_recorded_texts", "_shapes")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._shapes: OrderedDict[tuple, tuple[StatementShape, float]] = OrderedDict()
        self._hidden_writes: OrderedDict[str, None] = OrderedDict()
        self._recorded_texts: OrderedDict[str, None] = OrderedDict()

    def get(
        self, database: str, sql: str, oids: tuple[int, ...]
    ) -> StatementShape | None:
        """Return a cached shape that is at most `SHAPE_TTL_S` old, else None."""
        entry = self._shapes.get((database, sql, oids))
        if entry is None or self._clock.monotonic() - entry[1] > SHAPE_TTL_S:
            return None
        return entry[0]

    def put(
        self, database: str, sql: str, oids: tuple[int, ...], shape: StatementShape
    ) -> None:
        """Cache a shape; the oldest one is dropped beyond `MAX_SHAPES`."""
        self._shapes[database, sql, oids] = (shape, self._clock.monotonic())
        if len(self._shapes) > MAX_SHAPES:
            self._shapes.popitem(last=False)

    def is_repeated(self, sql: str) -> bool:
        """Record a text and return whether it was recorded before.

        Only repeated texts are worth preparing.
        """
        if sql in self._recorded_texts:
            return True
        self._recorded_texts[sql] = None
        if len(self._recorded_texts) > MAX_RECORDED_TEXTS:
            self._recorded_texts.popitem(last=False)
        return False

    def has_hidden_write(self, sql: str) -> bool:
        """Whether the text looks like a read but is recorded as a write."""
        return sql in self._hidden_writes

    def record_hidden_write(self, sql: str) -> None:
        """Record that a text that looks like a read writes."""
        self._hidden_writes[sql] = None
        if len(self._hidden_writes) > MAX_HIDDEN_WRITES:
            self._hidden_writes.popitem(last=False)

    def clear(self) -> None:
        """Drop all shapes, after a schema change."""
        self._shapes.clear()
