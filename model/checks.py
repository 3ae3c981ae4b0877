"""Checks of one property of a model or of a variant with one rule left out."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol, check_safety


class Check(NamedTuple):
    """One property of one variant of a model.

    `omitted_rule` names the rule that the variant leaves out, and is empty for the
    protocol itself. `expect_refuted` is the expected verdict: True if the rule is
    needed. A rule that is not needed is listed with False, and its name says why.
    """

    model: str
    prop: str
    protocol: Protocol
    omitted_rule: str = ""
    expect_refuted: bool = False


class Outcome(NamedTuple):
    """The result of a check.

    `states` counts the states explored, and `exhaustive` says whether these are all.
    `holds` is None if the checker reached its limit of states. `trace` has the steps
    of a shortest counterexample, if there is one.
    """

    check: Check
    states: int
    exhaustive: bool
    holds: bool | None
    trace: tuple[str, ...]

    @property
    def expected(self) -> bool:
        """Whether the verdict is definite and the expected one."""
        return self.holds is (not self.check.expect_refuted)


def protocol(
    name: str,
    initial: tuple,
    steps: Callable[[tuple], Iterator[tuple[str, tuple]]],
    **properties: Callable[[dict], bool],
) -> Protocol:
    """Return a minicheck protocol; `initial` is a `NamedTuple`, as are all states.

    `steps` yields a label and the next state for each step that a state allows. The
    properties are predicates of a state, given as a dict of its fields.
    """
    return Protocol(
        name=name,
        candidate=False,
        fields=initial._fields,
        initial=initial,
        transitions=lambda state: list(steps(state)),
        invariants=properties,
    )


def run(check: Check) -> Outcome:
    """Explore all states, or stop at a counterexample or the checker's state limit."""
    model = check.protocol
    failed = False

    def holds(state: dict) -> bool:
        nonlocal failed
        is_valid = model.invariants[check.prop](state)
        failed = failed or not is_valid
        return is_valid

    result = check_safety(
        Protocol(
            name=model.name,
            candidate=False,
            fields=model.fields,
            initial=model.initial,
            transitions=lambda state: [] if failed else model.transitions(state),
            invariants={check.prop: holds},
        )
    )
    verdict = result["properties"][check.prop]
    trace = tuple(str(step["label"]) for step in verdict["counterexample"] or ())[1:]
    states, exhaustive = result["reachable_states"], result["exhaustive"] and not failed
    return Outcome(check, states, exhaustive, verdict["holds"], trace)


def put(values: tuple, index: int, value: object) -> tuple:
    """Return the tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])
