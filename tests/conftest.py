"""Reads KNOWN-RED.txt, groups tests, and checks that each closes its streams."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import pytest
from known_red import KnownRed, parse_known_red
from worker_groups import PROCESS_GROUP, GroupScheduling, group_of
from xdist.remote import Producer

_LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


def _listed() -> list[KnownRed]:
    return parse_known_red(_LIST.read_text()) if _LIST.exists() else []


@pytest.fixture(autouse=True)
def _open_streams(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Fail a test that leaves a stream open, in it or in the code that it runs.

    The garbage collector would close the stream during some later test, whose event
    loop is another one, and that test would fail instead.
    """
    writers: list[asyncio.StreamWriter] = []
    initialize = asyncio.StreamWriter.__init__

    def record(writer: asyncio.StreamWriter, *args: object) -> None:
        initialize(writer, *args)
        writers.append(writer)

    monkeypatch.setattr(asyncio.StreamWriter, "__init__", record)
    yield
    left_open = [writer for writer in writers if not writer.is_closing()]
    for writer in left_open:
        # The transport counts as closing even if its event loop has ended.
        with suppress(RuntimeError):
            writer.transport.abort()
    peers = [writer.get_extra_info("peername") for writer in left_open]
    assert not peers, f"streams left open to {peers}"


@pytest.fixture(autouse=True)
def _short_collections(request: pytest.FixtureRequest) -> Iterator[None]:
    """Exempt older objects from garbage collection in tests that start processes.

    The stand-in of the platform runs in this process and answers nobody meanwhile. A
    full collection of a worker's objects took 0.2 to 0.8 s.
    """
    if group_of(request.node.nodeid) != PROCESS_GROUP:
        yield
        return
    gc.freeze()
    yield
    gc.unfreeze()


def pytest_xdist_make_scheduler(
    config: pytest.Config, log: Producer
) -> GroupScheduling:
    """Return the scheduler that gives each group of tests to one worker."""
    return GroupScheduling(config, log)


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
