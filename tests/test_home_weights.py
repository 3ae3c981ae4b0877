"""Tests of the weights of homes, also beside VMs of a version without processors."""

from __future__ import annotations

from random import Random

import msgspec

from celeryjunction.membership import VmRecord
from celeryjunction.ports import BootClock
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.relay.placement import home_weights, homes_of_group

GROUPS = [f"g{n}" for n in range(200)]


def record(name: str, link_mbps: float, cores: float) -> VmRecord:
    return VmRecord(name, "a", "", "", "", 1, 1.0, link_mbps=link_mbps, cores=cores)


def homes_seen_by(own: VmRecord, records: list[VmRecord]) -> dict[str, list[str]]:
    selector = HomeSelector(own, random=Random(1), clock=BootClock())
    selector.update({r.name: r for r in records if r is not own}, GROUPS)
    homes = {group: selector._homes[group]["a"] for group in GROUPS}
    selector.close()
    return homes


class TestHomeWeights:
    def test_the_scarcer_of_link_and_processor_counts(self) -> None:
        """Guards against a home with a wide link whose processor is overloaded."""
        weights = home_weights({"a": (1500.0, 0.5), "b": (1500.0, 2.0), "c": (9.0, 2)})
        assert weights == {"a": 25.0, "b": 100.0, "c": 9.0}

    def test_both_versions_choose_the_same_homes(self) -> None:
        """Guards against two sets of homes, during an upgrade or after it."""
        old = [record(f"old{n}", 10.0 * (n + 1), 0.0) for n in range(3)]
        new = [record(f"new{n}", 100.0, 0.2 * (n + 1)) for n in range(3)]
        links = {r.name: r.link_mbps for r in (*old, *new)}
        as_old = {g: homes_of_group(g, {"a": links})["a"] for g in GROUPS}
        assert homes_seen_by(new[0], [*old, *new]) == as_old
        stored = msgspec.json.decode(msgspec.json.encode(new), type=list[VmRecord])
        assert homes_seen_by(new[0], new) == homes_seen_by(stored[1], stored)
        assert homes_seen_by(new[0], new) != homes_seen_by(new[0], [*old[:1], *new])
