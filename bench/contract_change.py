"""Two operators change contracts while the store fails and a zone is cut off from it.

Each operator reads a contract, edits it and sets it, and repeats a change of unknown
outcome under the same id. The scenario polls every proxy's status for the revision that
the proxy applies. At the end, the audit trail must hold each accepted change exactly
once, in an unbroken chain, and no refused change.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import signal
import time
import uuid
from collections import Counter

import aiohttp

from bench.cluster import Cluster, contract
from bench.ledger import run_with_timeout
from bench.report import format_table, percentile_ms, print_result
from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.contracts_store import (
    AUDIT_PREFIX,
    Accepted,
    AuditEntry,
    Conflict,
    ContractStore,
    Unknown,
    lagging_vms,
)
from celeryjunction.follower import PrefixFollower
from celeryjunction.membership import list_vms
from celeryjunction.ports import StoreUnavailable, SystemClock, WatchEvent

PROXIES = 4
CUSTOMERS = ("coop", "dulceros")
OPERATORS = 2
THINK_S = 0.05
EDIT_S = 0.1
"""Time between reading and setting a contract, in which the other operator may set it
and so cause a conflict."""
POLL_INTERVAL_S = 0.02
SETTLE_S = 3.0
RUN_TIMEOUT_S = 55.0
IN_FORCE_TARGET_S = 3.0
"""Time in which every proxy should apply an accepted change; only reported."""


class UnreachableTimes:
    """Time spans in which proxies could not reach the store, in monotonic seconds."""

    def __init__(self) -> None:
        self._spans: list[tuple[str, float, float]] = []

    def add_until_now(self, proxy: str, start: float) -> None:
        """Record that a proxy could not reach the store from `start` until now."""
        self._spans.append((proxy, start, time.monotonic()))

    def next_reachable(self, proxy: str, instant: float) -> float:
        """Return when the proxy can reach the store, at `instant` or later."""
        for name, start, end in sorted(self._spans, key=lambda span: span[1]):
            if name == proxy and start <= instant < end:
                instant = end
        return instant


class ContractChange:
    """Operators, faults, and the observations of proxies and audit trail."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._random = random.Random(7)
        self._running = self._operators_running = True
        self._unreachable = UnreachableTimes()
        self._accepted: dict[str, tuple[str, int, float]] = {}
        self._refused: set[str] = set()
        self._outcomes: Counter[str] = Counter()
        self._audit_entries: list[tuple[int, AuditEntry]] = []
        self._applied: dict[str, list[tuple[float, dict[str, int]]]] = {
            proxy.name: [] for proxy in cluster.proxies
        }
        self._reverted = 0
        self._reported: list[float] = []

    async def run(self) -> dict[str, object]:
        """Run the operators and the faults and return the figures."""
        store = EtcdStore([self._cluster.store_address], name="bench")
        follower = PrefixFollower(
            store, AUDIT_PREFIX, clock=SystemClock(), random=self._random
        )
        follower.subscribe(self._record_entry)
        following = asyncio.create_task(follower.run())
        try:
            await run_with_timeout(
                RUN_TIMEOUT_S,
                self._faults(),
                *(self._operator(f"op-{i}") for i in range(OPERATORS)),
                *(self._poll_proxy(proxy) for proxy in self._cluster.proxies),
            )
            lagging = lagging_vms(
                max(revision for _, revision, _ in self._accepted.values()),
                await list_vms(store),
            )
        finally:
            following.cancel()
            await store.close()
        return self._result(lagging)

    def _record_entry(self, event: WatchEvent) -> None:
        if event.value is not None:
            entry = AuditEntry(**json.loads(event.value))
            self._audit_entries.append((event.revision, entry))

    # Operators.

    async def _operator(self, name: str) -> None:
        store = EtcdStore([self._cluster.store_address], name=name)
        contracts = ContractStore(
            store, clock=SystemClock(), validate=lambda _: [], random=self._random
        )
        number = 0
        while self._operators_running:
            number += 1
            try:
                await self._change_contract(contracts, name, number)
            except StoreUnavailable:
                self._outcomes["read failed"] += 1
            await asyncio.sleep(THINK_S)
        await store.close()

    async def _change_contract(
        self, contracts: ContractStore, name: str, number: int
    ) -> None:
        customer = self._random.choice(CUSTOMERS)
        stored = await contracts.get(customer)
        document = json.loads(stored.text)
        document["idle_transaction_ms"] = 1000 + self._random.randrange(100_000)
        text = json.dumps(document)
        change_id = f"{name}-{number}-{uuid.uuid4()}"
        await asyncio.sleep(EDIT_S)
        while True:
            outcome = await contracts.set(
                customer,
                text,
                base_revision=stored.revision,
                change_id=change_id,
                author=name,
                reason="bench",
                timeout=4.0,
            )
            self._outcomes[type(outcome).__name__] += 1
            if not isinstance(outcome, Unknown):
                break
        if isinstance(outcome, Accepted):
            now = time.monotonic()
            self._accepted[change_id] = (customer, outcome.revision, now)
        elif isinstance(outcome, Conflict):
            self._refused.add(change_id)

    # Proxies.

    async def _poll_proxy(self, proxy) -> None:
        previous: dict[str, int] = {}
        while self._running:
            try:
                async with asyncio.timeout(1.0):
                    status = await self._cluster.status(proxy)
            except (TimeoutError, aiohttp.ClientError):
                continue
            revisions = status["contracts"]
            for customer, revision in revisions.items():
                self._reverted += revision < previous.get(customer, 0)
            if revisions != previous:
                self._applied[proxy.name].append((time.monotonic(), revisions))
            previous = revisions
            await asyncio.sleep(POLL_INTERVAL_S)

    # Faults.

    async def _faults(self) -> None:
        control = self._cluster.store_control
        names = [proxy.name for proxy in self._cluster.proxies]
        await self._phase("no fault", 3)
        await control("lose_answers", probability=0.3, seed=5)
        await self._phase("answers lost", 5)
        await control("lose_answers")
        await control("slow", ms=200)
        await self._phase("slow by 200 ms", 5)
        await control("slow", ms=0)
        for mode in ("unavailable", "hang"):
            watches = "break" if mode == "unavailable" else "silent"
            started = time.monotonic()
            await control("outage", mode=mode, watches=watches)
            await self._phase(f"outage ({mode})", 3)
            await control("heal")
            for name in names:
                self._unreachable.add_until_now(name, started)
            await self._phase("after the outage", 3)
        await self._delay_changes()
        await self._cut_off_zone()
        await self._pause_proxy()
        self._running = False

    async def _phase(self, name: str, seconds: float) -> None:
        print(f"{name}, {seconds} s; outcomes {dict(self._outcomes)}", flush=True)
        await asyncio.sleep(seconds)

    async def _delay_changes(self) -> None:
        """Let changes take effect only after their operators received a failure."""
        await self._cluster.store_control("delay_changes", count=4)
        await self._phase("changes that take effect late", 2)
        await self._cluster.store_control("release_changes")
        await asyncio.sleep(1)

    async def _cut_off_zone(self) -> None:
        zone = self._cluster.proxies[0].zone
        started = time.monotonic()
        await self._cluster.store_control("block", zone=zone)
        await self._phase(f"{zone} cut off", 5)
        await self._cluster.store_control("heal")
        for proxy in self._cluster.proxies:
            if proxy.zone == zone:
                self._unreachable.add_until_now(proxy.name, started)
        await self._phase(f"{zone} back", 2)

    async def _pause_proxy(self) -> None:
        proxy = self._cluster.proxies[1]
        started = time.monotonic()
        proxy.process.send_signal(signal.SIGSTOP)
        await self._phase(f"{proxy.name} paused", 3)
        proxy.process.send_signal(signal.SIGCONT)
        self._unreachable.add_until_now(proxy.name, started)
        await self._phase(f"{proxy.name} runs again", 3)
        self._operators_running = False
        await self._phase("no changes", SETTLE_S)

    # Figures.

    def _result(self, lagging: list[str]) -> dict[str, object]:
        ids = Counter(entry.change_id for _, entry in self._audit_entries)
        times = self._in_force_times()
        finite = [seconds for seconds in times if math.isfinite(seconds)]
        return {
            "reverted": self._reverted,
            "lost": sum(1 for change_id in self._accepted if change_id not in ids),
            "double_applied": sum(1 for count in ids.values() if count > 1),
            "refused_but_applied": sum(
                1 for change_id in self._refused if change_id in ids
            ),
            "broken_chain": self._count_broken_links(),
            "in_force_s": round(percentile_ms(finite, 99) / 1000, 3),
            "in_force_s_max": round(max(finite), 3),
            "in_force_s_p50": round(percentile_ms(finite, 50) / 1000, 3),
            "in_force_target_s": IN_FORCE_TARGET_S,
            "never_in_force": len(times) - len(finite),
            "vms_not_reporting_the_last": lagging,
            "accepted": len(self._accepted),
            "outcomes": dict(self._outcomes),
        }

    def _in_force_times(self) -> list[float]:
        """Return the seconds until each proxy applied each accepted change.

        The time starts at the acceptance, or at the proxy's next contact with the store
        if the store was unreachable then.
        """
        times = []
        for customer, revision, accepted_at in self._accepted.values():
            for name, applied in self._applied.items():
                start = self._unreachable.next_reachable(name, accepted_at)
                at = next(
                    (
                        t
                        for t, revisions in applied
                        if revisions.get(customer, 0) >= revision
                    ),
                    math.inf,
                )
                times.append(max(0.0, at - start))
        return times

    def _count_broken_links(self) -> int:
        """Count the entries whose predecessor is not the change they replaced."""
        last: dict[str, tuple[int, str]] = {}
        broken = 0
        for revision, entry in sorted(self._audit_entries, key=lambda item: item[0]):
            if entry.customer in last:
                expected, text = last[entry.customer]
                broken += entry.base_revision != expected or entry.before != text
            last[entry.customer] = (revision, entry.after)
        return broken


async def run() -> None:
    """Run the scenario."""
    shares = {"urgent": 0.2, "interactive": 0.2, "background": 0.1}
    contracts = [contract(name, ["db1"], shares=shares) for name in CUSTOMERS]
    async with Cluster(
        "contract-change", proxies=PROXIES, zones=3, contracts=contracts
    ) as cluster:
        result = await ContractChange(cluster).run()
    print(format_table(result))
    print_result(result)
