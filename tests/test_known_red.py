"""Tests of the list of known failures and of how a test run treats it."""

from __future__ import annotations

from pathlib import Path

import pytest
from known_red import parse_known_red

pytest_plugins = ["pytester"]

ENTRY = "{test} | pytest, seed 1 | loses a write | issue 2\n"
TESTS = """
def test_listed():
    assert {listed}

def test_other():
    assert {other}
"""


class TestParsing:
    def test_reads_the_four_fields(self) -> None:
        (entry,) = parse_known_red("# comment\n\n" + ENTRY.format(test="t.py::test_a"))
        assert entry.test == "t.py::test_a"
        assert entry.reason == "loses a write (pytest, seed 1; issue 2)"

    @pytest.mark.parametrize("line", ["t.py::test_a", "a | b | c", "a | | c | d"])
    def test_an_incomplete_entry_is_an_error(self, line: str) -> None:
        with pytest.raises(ValueError, match="line 1"):
            parse_known_red(line)


class TestRuns:
    @pytest.mark.parametrize(
        ("listed", "other", "passes"),
        [(False, True, True), (True, True, False), (False, False, False)],
    )
    def test_only_listed_failures_are_passed_over(
        self, pytester: pytest.Pytester, listed: bool, other: bool, passes: bool
    ) -> None:
        """Guards against a list that hides other failures or mended faults."""
        folder = pytester.mkdir("tests")
        sources = Path(__file__).parent
        for name in ("conftest.py", "known_red.py", "worker_groups.py"):
            (folder / name).write_text((sources / name).read_text())
        (folder / "test_a.py").write_text(TESTS.format(listed=listed, other=other))
        entry = ENTRY.format(test="tests/test_a.py::test_listed")
        (pytester.path / "KNOWN-RED.txt").write_text(entry)
        pytester.makeini("[pytest]\npythonpath = tests\n")
        result = pytester.runpytest_subprocess("tests")
        assert (result.ret == 0) == passes
        result.stdout.fnmatch_lines(["KNOWN-RED tests/test_a.py::test_listed: *"])
