"""The platform must never see a fencing token that is lower than one before it.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from _cluster_support import Cluster, wait_for

from bench.fence_judge import find_token_violations
from celeryjunction.platform.standin import PromotionCall

WRITES_SINCE_THE_COPY = 500
"""Changes that the restored store has lost."""


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    cluster = Cluster(tmp_path)
    await cluster.platform.start()
    yield cluster
    await cluster.close()


async def replace_crashed_primary(cluster: Cluster) -> None:
    """Let the primary crash, start it again once it was replaced, and wait for writes.

    The next failover can rely on what the VMs know of the new term by then.
    """
    primaries = [e for e in cluster.group.endpoints if e.is_primary]
    primary = max(primaries, key=lambda endpoint: endpoint.term)
    term = cluster.term
    await primary.stop()
    await wait_for(lambda: cluster.term > term)
    await primary.start(primary.port)
    await cluster.wait_for_writes()


class TestRestoredStore:
    @pytest.mark.parametrize("first_era", [0, 1, None])
    async def test_failovers_after_a_restore_have_higher_tokens(
        self, cluster: Cluster, first_era: int | None
    ) -> None:
        cluster.store.era = first_era
        for zone in range(3):
            await (await cluster.start_edge(zone=zone)).wait_until_ready()
        cluster.write_through(cluster.edges[0])
        await cluster.wait_for_writes()
        copy = cluster.store.copy()
        for _ in range(WRITES_SINCE_THE_COPY):
            cluster.store.put("other/key", b"x")
        await replace_crashed_primary(cluster)
        cluster.platform.restore_store(copy)
        await replace_crashed_primary(cluster)
        cluster.platform.restore_store(copy)
        await replace_crashed_primary(cluster)
        assert len(cluster.store.received_calls) >= 3
        assert not find_token_violations(cluster.store.received_calls)
        cluster.check()


class TestJudge:
    @staticmethod
    def calls(*holders_and_tokens: tuple[str, int]) -> list[PromotionCall]:
        return [
            PromotionCall(
                group="db", endpoint="i-db1", holder=holder, fencing_token=str(token)
            )
            for holder, token in holders_and_tokens
        ]

    def test_rising_tokens_and_a_repeated_call_are_allowed(self) -> None:
        assert not find_token_violations(self.calls(("a", 1), ("a", 1), ("b", 2)))

    def test_a_lower_token_is_reported_also_after_a_repeated_one(self) -> None:
        assert find_token_violations(self.calls(("a", 9), ("a", 9), ("b", 3)))

    def test_the_same_token_of_two_vms_is_reported(self) -> None:
        assert find_token_violations(self.calls(("a", 9), ("b", 9)))
