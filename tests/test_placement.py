"""Tests of the placement of homes."""

from __future__ import annotations

from collections import Counter

import pytest

from celeryjunction.home import rank_weighted
from celeryjunction.relay.placement import HOMES_PER_ZONE, homes_of_group, is_crowded


def zone(name: str, wide: int, narrow: int) -> dict[str, float]:
    links = {f"{name}-wide-{n}": 200.0 for n in range(wide)}
    return links | {f"{name}-narrow-{n}": 10.0 for n in range(narrow)}


class TestHomesOfGroup:
    def test_all_vms_of_a_small_zone_are_homes(self) -> None:
        zones = {"a": zone("a", 2, 0), "b": zone("b", 1, 0)}
        homes = homes_of_group("g", zones)
        assert {name: set(vms) for name, vms in homes.items()} == {
            name: set(links) for name, links in zones.items()
        }

    @pytest.mark.parametrize("vms", [12, 100, 1000])
    def test_the_number_of_homes_does_not_grow_with_the_vms(self, vms: int) -> None:
        """Guards against too many connections at a site that grows in VMs.

        One such site has 36 VMs and endpoints that accept 46 connections.
        """
        zones = {name: zone(name, 2, vms - 2) for name in "abc"}
        homes = homes_of_group("g", zones)
        assert all(len(names) == HOMES_PER_ZONE for names in homes.values())

    def test_vms_with_wide_links_are_homes_of_most_groups(self) -> None:
        links = zone("a", 2, 10)
        first = Counter(
            homes_of_group(f"g{n}", {"a": links})["a"][0] for n in range(2000)
        )
        wide = sum(count for vm, count in first.items() if "wide" in vm)
        # Two links of 200 Mbit/s beside ten of 10 have 400 of 500.
        assert wide / 2000 == pytest.approx(0.8, abs=0.05)

    def test_a_lost_vm_moves_only_its_own_groups(self) -> None:
        links = zone("a", 0, 12)
        gone = "a-narrow-3"
        rest = {vm: mbps for vm, mbps in links.items() if vm != gone}
        for n in range(200):
            before = homes_of_group(f"g{n}", {"a": links})["a"]
            after = homes_of_group(f"g{n}", {"a": rest})["a"]
            assert after == before or gone in before

    def test_equal_weights_share_evenly(self) -> None:
        links = {f"vm{n}": 1.0 for n in range(4)}
        first = Counter(rank_weighted(f"g{n}", links)[0] for n in range(2000))
        assert all(
            count / 2000 == pytest.approx(0.25, abs=0.05) for count in first.values()
        )


class TestIsCrowded:
    def test_limits_of_existing_sites(self) -> None:
        assert not is_crowded(22, 4)
        assert not is_crowded(39, 5)
        assert is_crowded(46, 36)
