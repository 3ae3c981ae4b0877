"""VMs that compete for a promotion must not let the fencing token fall or repeat.

Edges run as processes against the platform's stand-in, on the real clock.
"""

from __future__ import annotations

import asyncio
import base64
import json
import signal
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
from _cluster_support import Cluster, wait_for

from bench.fault_proxy import FaultProxy
from bench.fence_judge import find_token_violations
from bench.platform_cluster import EdgeProcess
from celeryjunction.adapters.http_path import CHECK_PATH
from celeryjunction.platform.standin import PromotionCall

WRITES_SINCE_THE_COPY = 500
"""Changes that the restored store has lost."""
SETTLED_S = 0.6
"""Time for the calls that a VM sends after it went on."""
LATE_S = 1.0
"""Delay of a call that is executed late."""
SILENCE_S = 8.0
"""Longer than a holder waits for its promotion and the next one for an earlier call."""
RETURN_GAP_S = 0.05
"""Time between the returns of two links."""
LEAD_S = 0.5
"""Time for which the first VM is the only one that may claim."""
FAILOVER_S = 6.0
"""Limit of a failover by VMs that reach everything: a promotion takes 1.5 s."""


@pytest.fixture
async def rivals(tmp_path: Path) -> AsyncIterator[Rivals]:
    rivals = Rivals(tmp_path)
    await rivals.cluster.platform.start()
    yield rivals
    await rivals.cluster.close()


class Rivals:
    """VMs in front of one group, of which the first is to hold the first claim."""

    def __init__(self, folder: Path) -> None:
        self.cluster = Cluster(folder)
        self.store = self.cluster.store
        self.store.on_executed = self._on_executed
        self.claimed: list[tuple[str, int]] = []
        """Holder and lease of each claim that was stored."""
        self.seals = 0
        """Number of seals that were stored."""
        self.end_lease_after: Callable[[str, dict], bool] = lambda path, data: False
        """Fault: whether the newest claim's lease ends after a call."""
        self.ended_leases = 0
        self.on_check_after_seal: Callable[[], None] = lambda: None
        """Called when a VM asks the promotion API for any answer after a seal."""

    @property
    def holder(self) -> EdgeProcess:
        return self.cluster.edges[0]

    @property
    def calls(self) -> list[PromotionCall]:
        return self.store.received_calls

    def _on_executed(self, path: str, data: dict, status: int) -> None:
        if path == CHECK_PATH and self.seals:
            self.on_check_after_seal()
        if status != 200:
            return
        if is_claim(path, data):
            (put,) = data["put_items"]
            holder = json.loads(base64.b64decode(put["value"]))["vm"]
            self.claimed.append((holder, put["lease"]))
        self.seals += is_seal(path, data)
        if self.claimed and self.end_lease_after(path, data):
            self.end_claim()

    def end_claim(self) -> None:
        """End the lease of the newest claim at the store."""
        self.ended_leases += 1
        self.store.end_lease(self.claimed[-1][1])

    async def start(self, *, stop_before: str = "", count: int = 2) -> None:
        """Start VMs and wait until they are ready; the first may stop itself."""
        for zone in range(count):
            await self.cluster.start_edge(
                zone=zone, stop_before="" if zone else stop_before
            )
        for edge in self.cluster.edges:
            await edge.wait_until_ready()

    def drain_primary(self) -> None:
        """Let all VMs want to replace the primary, if there is one."""
        endpoints = self.cluster.group.endpoints
        primaries = [e for e in endpoints if e.is_primary]
        if not primaries:
            return
        primary = max(primaries, key=lambda endpoint: endpoint.term)
        for endpoint in endpoints:
            state = "draining" if endpoint is primary else "ready"
            self.store.register(endpoint, state=state)

    async def let_holder_claim(self) -> None:
        """Let the first VM be the first to claim, while the others stand still."""
        await self._let_holder_act(lambda: self.claimed)

    async def stop_holder(self, *, end_claim: bool = False) -> None:
        """Let the holder claim and stop itself; its claim may end at the store."""
        await self._let_holder_act(
            lambda: self.holder.state == "T", end_claim=end_claim
        )

    async def _let_holder_act(
        self, done: Callable[[], object], *, end_claim: bool = False
    ) -> None:
        others = self.cluster.edges[1:]
        for edge in others:
            edge.process.send_signal(signal.SIGSTOP)
        try:
            self.drain_primary()
            await wait_for(done)
            if end_claim:
                self.end_claim()
        finally:
            for edge in others:
                edge.process.send_signal(signal.SIGCONT)

    async def add_promotion_links(self, count: int) -> list[FaultProxy]:
        """Let the next VMs reach the promotion API through proxies of their own."""
        port = int(self.store.address.rpartition(":")[2])
        links = [FaultProxy(lambda: port) for _ in range(count)]
        for number, link in enumerate(links, len(self.cluster.edges) + 1):
            await link.start()
            self.cluster.proxies.append(link)
            address = f"127.0.0.1:{link.port}"
            self.cluster.platform.cloud_addresses[f"edge-{number}"] = address
        return links

    async def give_holder_a_lead(self) -> None:
        """Drain the primary; the other VMs go on after `LEAD_S` or a first claim."""
        began = asyncio.get_running_loop().time()
        await self._let_holder_act(
            lambda: self.seals or asyncio.get_running_loop().time() >= began + LEAD_S
        )

    async def wait_for_call_of_another(self) -> None:
        """Wait until a VM other than the first has asked for a promotion."""
        await wait_for(lambda: any(c.holder != self.holder.name for c in self.calls))

    async def let_holder_go_on(self) -> None:
        self.holder.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLED_S)

    async def replace_primary(self) -> None:
        """Let the primary drain until another one has been promoted."""
        await wait_for(lambda: any(e.is_primary for e in self.cluster.group.endpoints))
        term = self.cluster.term
        self.drain_primary()
        await wait_for(lambda: self.cluster.term > term)

    def check(self) -> None:
        """Fail if a token fell or repeated in order of arrival."""
        assert self.calls
        violations = find_token_violations(self.calls)
        assert not violations, "\n".join([*violations, self.cluster.report()])


def is_claim(path: str, data: dict) -> bool:
    """Whether a call of the store takes a claim."""
    keys = [put["key"] for put in data.get("put_items", [])]
    return path == "/kv-txn" and any(key.startswith("failover/") for key in keys)


def is_seal(path: str, data: dict) -> bool:
    """Whether a call of the store announces a promotion."""
    keys = [row["key"] for row in data.get("expected_rev", [])]
    return (
        path == "/kv-txn"
        and any(key.startswith("failover/") for key in keys)
        and (not is_claim(path, data) and bool(data.get("put_items")))
    )


def is_promotion(path: str, data: dict) -> bool:
    """Whether a call asks for a promotion."""
    return path == "/promotion"


def unanswered(
    kind: Callable[[str, dict], bool], *seconds: float, lost: list[float]
) -> Callable[[str, dict], float | None]:
    """Return a fault: the first calls of a kind are executed late, without an answer.

    `lost` receives their delays, in seconds.
    """
    left = list(seconds)

    def unanswered_after(path: str, data: dict) -> float | None:
        if not left or not kind(path, data):
            return None
        lost.append(left.pop(0))
        return lost[-1]

    return unanswered_after


class TestEraOfSomeAnswers:
    @pytest.mark.parametrize("named", ["with_status_200", "by_reads_of_keys"])
    async def test_failovers_after_a_restore_have_higher_tokens(
        self, rivals: Rivals, named: str
    ) -> None:
        store = rivals.store
        store.names_era = {
            "with_status_200": lambda path, status: status == 200,
            "by_reads_of_keys": lambda path, status: path == "/kv-key",
        }[named]
        await rivals.start(count=3)
        copy = store.copy()
        for _ in range(WRITES_SINCE_THE_COPY):
            store.put("other/key", b"x")
        await rivals.replace_primary()
        restored: list[str] = []

        def restore_before_a_claim(path: str, data: dict) -> None:
            if is_claim(path, data) and not restored:
                restored.append(path)
                rivals.cluster.platform.restore_store(copy)

        store.unanswered_after = restore_before_a_claim
        await rivals.replace_primary()
        assert restored
        await rivals.replace_primary()
        rivals.check()


class TestStandstill:
    @pytest.mark.parametrize("step", ["seal", "promotion"])
    async def test_holder_that_stood_still_sends_no_token_below_the_next_holders(
        self, rivals: Rivals, step: str
    ) -> None:
        await rivals.start(stop_before=step)
        await rivals.stop_holder(end_claim=True)
        await rivals.wait_for_call_of_another()
        await rivals.let_holder_go_on()
        rivals.check()


class TestDelayedCall:
    async def test_call_held_up_right_after_the_link_answered_is_below_no_higher_token(
        self, rivals: Rivals
    ) -> None:
        (link,) = await rivals.add_promotion_links(1)
        await rivals.start()
        rivals.on_check_after_seal = lambda: link.block("up")
        await rivals.let_holder_claim()
        await wait_for(lambda: link.blocked)
        await asyncio.sleep(SETTLED_S)
        rivals.end_claim()
        await asyncio.sleep(SILENCE_S - SETTLED_S)
        link.unblock()
        await wait_for(lambda: rivals.cluster.term > 1)
        await rivals.replace_primary()
        assert rivals.calls[0].holder == rivals.holder.name
        rivals.check()


class TestSilentPromotionApi:
    """Links to the promotion API take bytes and deliver them when they are back."""

    @pytest.mark.parametrize("silent", [1, 3], ids=["one_vm", "all_vms"])
    async def test_calls_that_wait_on_silent_links_arrive_below_no_higher_token(
        self, rivals: Rivals, silent: int
    ) -> None:
        links = await rivals.add_promotion_links(3)
        await rivals.start(count=3)
        for link in links[:silent]:
            link.block("up", "down")
        await rivals.give_holder_a_lead()
        await asyncio.sleep(SILENCE_S)
        for link in reversed(links):
            link.unblock()
            await asyncio.sleep(RETURN_GAP_S)
        await wait_for(lambda: rivals.cluster.term > 1)
        await asyncio.sleep(SETTLED_S)
        await rivals.replace_primary()
        rivals.check()

    async def test_vm_with_a_silent_link_leaves_the_failover_to_the_others(
        self, rivals: Rivals
    ) -> None:
        links = await rivals.add_promotion_links(3)
        await rivals.start(count=3)
        links[0].block("up", "down")
        await rivals.give_holder_a_lead()
        await wait_for(lambda: rivals.cluster.term > 1, FAILOVER_S)
        rivals.check()


class TestSlowPromotionApi:
    @pytest.mark.parametrize("answer_s", [0.6, 1.5])
    async def test_failover_goes_on_though_each_answer_is_slow(
        self, rivals: Rivals, answer_s: float
    ) -> None:
        for link in await rivals.add_promotion_links(2):
            link.delay_s = answer_s / 2
        await rivals.start()
        await rivals.replace_primary()
        rivals.check()


class TestLapsedClaim:
    @pytest.mark.parametrize("call", [is_claim, is_seal])
    async def test_lease_that_ends_at_the_store_right_after_a_call(
        self, rivals: Rivals, call: Callable[[str, dict], bool]
    ) -> None:
        await rivals.start()
        rivals.end_lease_after = lambda path, data: (
            not rivals.ended_leases and call(path, data)
        )
        await rivals.let_holder_claim()
        await wait_for(lambda: rivals.ended_leases and rivals.cluster.term > 1)
        await rivals.replace_primary()
        rivals.check()


class TestLostAnswers:
    @pytest.mark.parametrize(
        ("call", "late_s"),
        [(is_claim, 0.0), (is_claim, LATE_S), (is_seal, 0.0), (is_promotion, 0.0)],
    )
    async def test_call_that_is_executed_and_not_answered(
        self, rivals: Rivals, call: Callable[[str, dict], bool], late_s: float
    ) -> None:
        await rivals.start()
        lost: list[float] = []
        rivals.store.unanswered_after = unanswered(call, late_s, lost=lost)
        rivals.drain_primary()
        await wait_for(lambda: lost and rivals.cluster.term > 1)
        await asyncio.sleep(late_s)
        await rivals.replace_primary()
        rivals.check()
