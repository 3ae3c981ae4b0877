"""Only the package `platform` contains the names of the platform's protocols."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).resolve().parent.parent / "src" / "celeryjunction"
MAX_LINES = 1500
"""Limit of the package's lines, without the stand-in."""
PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|op/config|servers/|X-Duty-Holder"
    r"|X-Fence-Token|/promotion|max_staleness_ms|conn_limit|tx_idle_ms"
    r"|\b(MISROUTED|LAGGING|INDOUBT|DEALLOC|SETPARAM|NOSTMT)\b"
    r"|fleetbench|CELERYJUNCTION_CONFIG"
)


class TestNames:
    @pytest.mark.parametrize(
        "path",
        [path for path in SOURCE.rglob("*.py") if "platform" not in path.parts],
        ids=lambda path: str(path.relative_to(SOURCE)),
    )
    def test_platform_names_stay_in_the_adapter(self, path: Path) -> None:
        assert not PLATFORM_NAMES.search(path.read_text())

    def test_the_adapter_stays_small(self) -> None:
        files = [
            path
            for path in (SOURCE / "platform").glob("*.py")
            if path.name != "standin.py"
        ]
        assert sum(len(path.read_text().splitlines()) for path in files) < MAX_LINES
