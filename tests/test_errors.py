"""Tests of the errors that the proxy reports."""

from __future__ import annotations

from pathlib import Path

from celeryjunction.errors import ERROR_TABLE, ErrorKind, ProxyError, Ran


class TestErrorTable:
    def test_every_kind_has_an_entry(self) -> None:
        assert set(ERROR_TABLE) == set(ErrorKind)

    def test_not_run_messages_belong_to_kinds_that_did_not_run(self) -> None:
        # Guards against reporting "not run" for a statement that may have run.
        for spec in ERROR_TABLE.values():
            if "not run" in spec.message:
                assert spec.ran is Ran.NO

    def test_sqlstates_are_distinct_and_well_formed(self) -> None:
        states = [spec.sqlstate for spec in ERROR_TABLE.values()]
        assert all(len(state) == 5 for state in states)
        assert len(set(states)) == len(states)

    def test_message_is_formatted_with_details(self) -> None:
        error = ProxyError(ErrorKind.UNSUPPORTED, {"feature": "COPY"})
        assert error.sqlstate == "0A000"
        assert error.message == "not run: COPY is not supported on shared connections"


class TestDocumentation:
    def test_documentation_matches_the_table(self) -> None:
        # Guards against documentation of answers that the code no longer gives.
        page = Path("docs/errors.md").read_text()
        rows = [line for line in page.splitlines() if line.startswith("| `")]
        expected = [
            f"| `{kind.value}` | `{spec.sqlstate}` | {spec.message} | {spec.ran.value} "
            f"| {'yes' if spec.retryable else 'no'} |"
            for kind, spec in ERROR_TABLE.items()
        ]
        assert rows == expected
