"""Endpoints that answer twice, and texts of all bytes, on real edge processes.

``python -m bench.stutter --form all-5 --seconds 12 --seed 1`` runs one form: sessions
of clients at three edges in front of a group of three endpoints (`StutteringGroup`).
It prints the broken rules, the answers by their codes, and what the endpoints saw.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from bench.answer_faults import AnswerFaults
from bench.odd_texts import ALL_BYTES, LINE_FEEDS, MESSAGES, PLAIN, TextSource
from bench.platform_cluster import EdgeProcess
from bench.report import format_table, print_result
from bench.statement_judge import RULES, StatementJudge
from bench.stutter_sessions import STALENESS_S, ClientSession
from bench.stuttering_endpoints import StutteringGroup
from celeryjunction.platform.standin import StandinPlatform

SESSIONS = 21
SHARED_ITEMS = 6
EDGE_ZONES = (0, 0, 0)
"""One of the VMs of a zone forwards its statements to the others."""
LATE_ANSWERS_S = 0.4
"""Time after the last statement in which second answers still come."""
QUICK_S = (0.001, 0.003)
SLOW_S = (0.02, 0.3)


class Form:
    """What clients send and which answers have faults."""

    __slots__ = ("faults", "texts")

    def __init__(self, texts: str = PLAIN, **faults: object) -> None:
        self.texts = texts
        self.faults = faults


FORMS = {
    "none": Form(),
    "line-feeds": Form(LINE_FEEDS),
    "messages": Form(MESSAGES),
    "all-bytes": Form(ALL_BYTES),
    "all-5": Form(repeat_share=0.05),
    "all-5-quick": Form(repeat_share=0.05, delays_s=QUICK_S),
    "all-5-slow": Form(repeat_share=0.05, delays_s=SLOW_S),
    "statements-10": Form(repeated="statements", repeat_share=0.1),
    "commands-10": Form(repeated="commands", repeat_share=0.1),
    "commands-50": Form(repeated="commands", repeat_share=0.5),
    "commands-50-slow": Form(repeated="commands", repeat_share=0.5, delays_s=SLOW_S),
    "errors-30": Form(repeated="errors", repeat_share=0.3, busy_share=0.2),
    "errors-50-quick": Form(
        repeated="errors", repeat_share=0.5, busy_share=0.2, delays_s=(0.001, 0.05)
    ),
    "greetings-50": Form(greeting_share=0.5),
    "cut-1": Form(cut_share=0.01),
    "lost-1": Form(lost_share=0.01),
    "nostmt": Form(repeat_share=0.05, unknown_names_fail=True),
    "mixed": Form(
        ALL_BYTES,
        repeat_share=0.1,
        greeting_share=0.2,
        busy_share=0.03,
        cut_share=0.003,
    ),
}


class StutterRun:
    """One run of a form; `judge` has the broken rules."""

    def __init__(self, form: str, *, seed: int, folder: Path) -> None:
        self._form = FORMS[form]
        self._seed = seed
        self._random = Random(seed)
        self._folder = folder
        self.platform = StandinPlatform()
        faults = AnswerFaults(Random(f"{seed} faults"), **self._form.faults)
        self.group = StutteringGroup(
            "db", self.platform.zones, faults=faults, random=Random(f"{seed} group")
        )
        self.platform.groups["db"] = self.group
        self.judge = StatementJudge(self.group.runs, self.group.runs_by_digest)
        self._edges: list[EdgeProcess] = []

    @asynccontextmanager
    async def _started(self) -> AsyncIterator[None]:
        await self.platform.start()
        try:
            for number, zone in enumerate(EDGE_ZONES):
                edge = EdgeProcess(self.platform, self._folder, f"edge-{number}")
                self._edges.append(edge)
                await edge.start(zone=zone)
            await asyncio.gather(*(edge.wait_until_ready() for edge in self._edges))
            yield
        finally:
            for edge in self._edges:
                if edge.running:
                    await edge.stop(signal.SIGKILL)
            await self.platform.close()

    async def run(self, seconds: float) -> None:
        """Run the clients for a time, then judge."""
        async with self._started():
            until = time.monotonic() + seconds
            clients = self._make_clients()
            await asyncio.gather(*(client.run(until=until) for client in clients))
            await asyncio.sleep(LATE_ANSWERS_S)
        self.judge.finish()

    def _make_clients(self) -> list[ClientSession]:
        texts = TextSource(self._random, form=self._form.texts)
        shared_items = [texts.draw_word() for _ in range(SHARED_ITEMS)]
        databases = list(STALENESS_S)
        return [
            ClientSession(
                self._edges[number % len(self._edges)].front_port,
                databases[number // len(self._edges) % len(databases)],
                judge=self.judge,
                texts=TextSource(
                    Random(f"{self._seed} texts {number}"), form=self._form.texts
                ),
                shared_items=shared_items,
                random=Random(f"{self._seed} {number}"),
            )
            for number in range(SESSIONS)
        ]

    def describe(self) -> dict[str, object]:
        """Return the counts of broken rules, answers and endpoints' work."""
        judge, answers = self.judge, self.judge.answers
        return {
            "statements": answers.total(),
            **{rule: judge.broken[rule] for rule in RULES},
            "successes": answers["COMPLETE"],
            "indoubt": answers["INDOUBT"],
            "aborted": answers["ABORTED"],
            "busy": answers["BUSY"],
            "answers": dict(answers),
            "answers_repeated": self.group.repeated_answers,
            "connections_opened": self.group.connections_opened,
            "promotions": self.group.promotions,
        }


async def run_form(form: str, *, seed: int, seconds: float) -> StutterRun:
    """Run a form in a temporary folder and return it with its judge."""
    with tempfile.TemporaryDirectory() as folder:
        run = StutterRun(form, seed=seed, folder=Path(folder))
        await run.run(seconds)
    return run


def main(
    form: Annotated[str, typer.Option(help=", ".join(FORMS))] = "all-5",
    seconds: Annotated[float, typer.Option(min=0.5, max=300.0)] = 12.0,
    seed: int = 1,
) -> None:
    """Run one form and print what was broken."""
    if form not in FORMS:
        raise typer.BadParameter(f"a form is one of {', '.join(FORMS)}")
    run = asyncio.run(run_form(form, seed=seed, seconds=seconds))
    result = {"form": form, "seed": seed, **run.describe()}
    print(format_table(result))
    for rule, examples in run.judge.examples.items():
        for example in examples:
            print(f"{rule}: {example}")
    print_result(result)
    sys.exit(1 if run.judge.broken else 0)


if __name__ == "__main__":
    typer.run(main)
