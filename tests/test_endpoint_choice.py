"""Tests of the choice of endpoints by VMs that know old values of their load."""

from __future__ import annotations

import pytest
from _choice_rules import RULES, AnyEndpoint, Present
from _choice_simulation import Chooser, Site, simulate


class TestSimulation:
    @pytest.mark.parametrize("age", [3, 10, 20])
    def test_the_last_value_is_worse_than_none_for_many_vms(self, age: int) -> None:
        """Shows the fault: all VMs send to the endpoint with the lowest old value."""
        site = Site(36, age)
        present, random = simulate(site, Present), simulate(site, AnyEndpoint)
        assert present.misplaced > 1.2 * random.misplaced

    @pytest.mark.parametrize("rule", RULES)
    def test_one_vm_knows_the_load(self, rule: type[Chooser]) -> None:
        """Guards against a simulation in which the only VM doesn't know the load."""
        assert simulate(Site(1, 10), rule, statements=2000).misplaced == 0
