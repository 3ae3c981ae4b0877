"""Reads KNOWN-RED.txt: tests that fail for a listed fault that is not yet mended."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import KnownRed, parse_known_red

_LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _listed() -> list[KnownRed]:
    return parse_known_red(_LIST.read_text()) if _LIST.exists() else []


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Expect the listed tests to fail; one that passes fails the run."""
    reasons = {entry.test: entry.reason for entry in _listed()}
    for item in items:
        if item.nodeid in reasons:
            item.add_marker(pytest.mark.xfail(reason=reasons[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print each entry, also those that name a run of the bench or the soak."""
    for entry in _listed():
        terminalreporter.write_line(f"KNOWN-RED {entry.test}: {entry.reason}")
