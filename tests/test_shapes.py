"""Tests of the cache of statement shapes."""

from __future__ import annotations

from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.ports import StatementShape
from celeryjunction.shapes import MAX_SHAPES, SHAPE_TTL_S, ShapeCache

SHAPE = StatementShape((23,), None)


class TestShapes:
    async def test_are_keyed_by_database_text_and_types(self) -> None:
        # Guards against returning the columns of another database's table.
        shapes = ShapeCache(clock=ManualClock())
        shapes.put("db", "SELECT $1", (23,), SHAPE)
        assert shapes.get("db", "SELECT $1", (23,)) is SHAPE
        assert shapes.get("other", "SELECT $1", (23,)) is None
        assert shapes.get("db", "SELECT $1", (25,)) is None

    async def test_expire_after_their_ttl_and_after_a_schema_change(self) -> None:
        clock = ManualClock()
        shapes = ShapeCache(clock=clock)
        shapes.put("db", "x", (), SHAPE)
        clock.advance(SHAPE_TTL_S + 1)
        assert shapes.get("db", "x", ()) is None
        shapes.put("db", "x", (), SHAPE)
        shapes.clear()
        assert shapes.get("db", "x", ()) is None

    async def test_are_bounded(self) -> None:
        shapes = ShapeCache(clock=ManualClock())
        for number in range(MAX_SHAPES + 1):
            shapes.put("db", str(number), (), SHAPE)
        assert shapes.get("db", "0", ()) is None
        assert shapes.get("db", "1", ()) is SHAPE
