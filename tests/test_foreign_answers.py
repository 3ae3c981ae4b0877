"""Answers and texts of real edge processes, compared with what endpoints ran."""

from __future__ import annotations

import pytest

from bench.stutter import StutterRun, run_form

SECONDS = 1.2
SEED = 1
MIN_SUCCESSES = 100


async def run(form: str) -> StutterRun:
    return await run_form(form, seed=SEED, seconds=SECONDS)


def check(stutter: StutterRun) -> None:
    """Check that no rule was broken, and that statements were served."""
    judge = stutter.judge
    assert not judge.broken, f"{dict(judge.broken)}\n{dict(judge.examples)}"
    assert judge.answers["COMPLETE"] >= MIN_SUCCESSES


class TestFieldsOfAllBytes:
    async def test_a_text_is_not_cut_at_a_line_feed(self) -> None:
        check(await run("line-feeds"))

    async def test_a_line_of_a_text_is_not_taken_for_a_message(self) -> None:
        check(await run("messages"))

    async def test_any_byte_but_the_separators_is_forwarded_unchanged(self) -> None:
        check(await run("all-bytes"))


class TestSecondAnswers:
    @pytest.mark.parametrize("form", ["statements-10", "commands-10"])
    async def test_a_second_answer_is_not_taken_for_that_of_another_statement(
        self, form: str
    ) -> None:
        stutter = await run(form)
        check(stutter)
        assert stutter.group.repeated_answers

    async def test_a_write_that_ran_is_not_refused_with_an_earlier_error(self) -> None:
        stutter = await run("errors-50-quick")
        check(stutter)
        assert stutter.group.repeated_answers

    async def test_a_second_greeting_is_not_taken_for_an_answer(self) -> None:
        stutter = await run("greetings-50")
        check(stutter)
        assert stutter.group.repeated_answers
