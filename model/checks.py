"""What is checked: a property of a model, or a model with one rule left out."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol, check_safety


class Check(NamedTuple):
    """One property of one variant of a model.

    `without` names the rule that the variant leaves out, and is empty for the
    protocol itself. `refuted` is the verdict that the specification expects: True for
    a rule that is needed. A rule that turns out not to be needed is listed with
    False and says so in its name.
    """

    model: str
    prop: str
    protocol: Protocol
    without: str = ""
    refuted: bool = False


class Outcome(NamedTuple):
    """The checker's answer; `trace` is a shortest counterexample, if there is one."""

    check: Check
    states: int
    exhaustive: bool
    holds: bool | None
    trace: tuple[str, ...]

    @property
    def expected(self) -> bool:
        """Whether the answer is definite and the one that is expected."""
        return self.holds is (not self.check.refuted)


def protocol(
    name: str,
    initial: tuple,
    steps: Callable[[tuple], Iterator[tuple[str, tuple]]],
    **properties: Callable[[dict], bool],
) -> Protocol:
    """Return a minicheck protocol whose states are `NamedTuple`s like `initial`."""
    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=lambda state: list(steps(state)),
        invariants=properties,
    )


def run(check: Check) -> Outcome:
    """Explore all states, or stop at a counterexample or the checker's limit."""
    model = check.protocol
    failed = False

    def holds(state: dict) -> bool:
        nonlocal failed
        good = model.invariants[check.prop](state)
        failed = failed or not good
        return good

    answer = check_safety(
        Protocol(
            name=model.name,
            candidate=False,
            fields=model.fields,
            initial=model.initial,
            transitions=lambda state: [] if failed else model.transitions(state),
            invariants={check.prop: holds},
        )
    )
    found = answer["properties"][check.prop]
    trace = tuple(str(step["label"]) for step in found["counterexample"] or ())[1:]
    states, exhaustive = answer["reachable_states"], answer["exhaustive"] and not failed
    return Outcome(check, states, exhaustive, found["holds"], trace)


def put(values: tuple, index: int, value: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])
