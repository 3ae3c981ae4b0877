"""Tests of the closed list of errors."""

from __future__ import annotations

from celeryjunction.errors import ERROR_TABLE, ErrorKind, ProxyError, Ran


class TestErrorTable:
    def test_every_kind_has_an_answer(self) -> None:
        assert set(ERROR_TABLE) == set(ErrorKind)

    def test_not_run_messages_belong_to_kinds_that_did_not_run(self) -> None:
        # Guards against "not run" being said of a statement that may have run.
        for spec in ERROR_TABLE.values():
            if "not run" in spec.message:
                assert spec.ran is Ran.NO

    def test_sqlstates_are_distinct_and_well_formed(self) -> None:
        states = [spec.sqlstate for spec in ERROR_TABLE.values()]
        assert all(len(state) == 5 for state in states)
        assert len(set(states)) == len(states)

    def test_message_is_filled_in(self) -> None:
        error = ProxyError(ErrorKind.UNSUPPORTED, {"feature": "COPY"})
        assert error.sqlstate == "0A000"
        assert error.message == "not run: COPY is not supported on shared connections"
