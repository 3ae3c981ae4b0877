"""What was found out about statement texts: shapes, repetition, hidden writes."""

from __future__ import annotations

from collections import OrderedDict

from celeryjunction.ports import Clock, StatementShape

MAX_SHAPES = 4096
MAX_TEXTS = 8192
MAX_WRITING = 1024
SHAPE_TTL_S = 60.0
"""A change of schema that went past this proxy is noticed after so long."""


class ShapeCache:
    """Parameters and columns of statements, by database, text and declared types."""

    __slots__ = ("_clock", "_shapes", "_texts", "_writing")

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._shapes: OrderedDict[tuple, tuple[StatementShape, float]] = OrderedDict()
        self._writing: OrderedDict[str, None] = OrderedDict()
        self._texts: OrderedDict[str, None] = OrderedDict()

    def get(
        self, database: str, sql: str, oids: tuple[int, ...]
    ) -> StatementShape | None:
        """Return a cached shape that is not too old."""
        entry = self._shapes.get((database, sql, oids))
        if entry is None or self._clock.monotonic() - entry[1] > SHAPE_TTL_S:
            return None
        return entry[0]

    def put(
        self, database: str, sql: str, oids: tuple[int, ...], shape: StatementShape
    ) -> None:
        """Keep a shape."""
        self._shapes[database, sql, oids] = (shape, self._clock.monotonic())
        if len(self._shapes) > MAX_SHAPES:
            self._shapes.popitem(last=False)

    def is_repeated(self, sql: str) -> bool:
        """Whether the text came before; only such texts are worth preparing."""
        if sql in self._texts:
            return True
        self._texts[sql] = None
        if len(self._texts) > MAX_TEXTS:
            self._texts.popitem(last=False)
        return False

    def has_hidden_write(self, sql: str) -> bool:
        """Whether the text looks like a read but was found to write."""
        return sql in self._writing

    def record_hidden_write(self, sql: str) -> None:
        """Remember that a text that looks like a read writes."""
        self._writing[sql] = None
        if len(self._writing) > MAX_WRITING:
            self._writing.popitem(last=False)

    def clear(self) -> None:
        """Forget all shapes, after a change of schema."""
        self._shapes.clear()
