"""Measures the control traffic of a node without clients and statements.

The scenario fills the key-value stand-in: group records without running endpoints,
contracts, and records of VMs that do not run. Bytes are counted on encoded messages,
without the headers of gRPC, HTTP/2, nng and TCP.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from collections.abc import Callable
from random import Random

import msgspec

from bench.cluster import Cluster, Proxy, contract
from bench.report import format_table, print_result
from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.adapters.nng import NngTransport
from celeryjunction.contracts_store import CONTRACT_PREFIX, ContractEnvelope
from celeryjunction.directory import GROUP_PREFIX
from celeryjunction.membership import VM_PREFIX, VmRecord
from celeryjunction.ports import EndpointRecord, GroupRecord, Put

NODES = (5, 10, 20, 40)
DATABASES = (10, 1_000, 10_000)
CUSTOMERS = 300
LISTED_VMS = 2_300
"""VM records at the planned size. The VMs that do not run have loopback addresses of
their own, at which this process receives their heartbeats; it sends none."""
WINDOW_S = 1.8
SETTLE_S = 0.3
CHANGES = 3
APPLIED_REPORTS_S = 6.5
"""40 nodes put their applied revisions up to 6 s after a change."""
OUTAGE_S = 2.0
PEAK_WINDOW_S = 2.0
START_SPREAD_S = 0.5
PUTS_PER_CALL = 100

_BYTE_COUNTERS = (
    "store_bytes_sent",
    "store_bytes_received",
    "heartbeat_bytes_sent",
    "heartbeat_bytes_received",
)


class _Sample:
    """Totals over all running nodes at one moment."""

    def __init__(self, at: float, cpu_s: float, calls: int, bytes_: int) -> None:
        self.at = at
        self.cpu_s = cpu_s
        self.calls = calls
        self.bytes = bytes_

    def per_node(self, later: _Sample, nodes: int) -> dict[str, float]:
        """Return the mean rates of a node between this sample and a later one."""
        seconds = (later.at - self.at) * nodes
        return {
            "calls_per_s": round((later.calls - self.calls) / seconds, 3),
            "bytes_per_s": round((later.bytes - self.bytes) / seconds, 1),
            "cpu_percent": round((later.cpu_s - self.cpu_s) / seconds * 100, 3),
        }


class _Run:
    """The installation that is measured."""

    def __init__(self, cluster: Cluster, store: EtcdStore) -> None:
        self.cluster = cluster
        self.store = store
        self.databases = 0
        self.vm_records = 0
        self.started = time.perf_counter()
        self._random = Random(7)
        self._document = contract("customer-000", ["db00000"])
        self._heartbeat_sink = NngTransport()
        self._heartbeat_sink.start("0.0.0.0", 0, lambda _: None)

    def print_step(self, name: str, **values: object) -> None:
        """Print a step with the time since the start, as a JSON line."""
        at_s = round(time.perf_counter() - self.started, 1)
        print(json.dumps({"step": name, "at_s": at_s, **values}), flush=True)

    def close(self) -> None:
        """Stop receiving heartbeats."""
        self._heartbeat_sink.close()

    @property
    def nodes(self) -> int:
        """Number of running proxies."""
        return len(self.cluster.proxies)

    async def scale_to(self, nodes: int) -> None:
        """Start proxies until `nodes` of them run."""
        new = [self.cluster.add_proxy() for _ in range(nodes - self.nodes)]
        await asyncio.gather(*(self.start(proxy) for proxy in new))

    async def start(self, proxy: Proxy) -> None:
        """Start a proxy after a random delay."""
        await asyncio.sleep(self._random.uniform(0.0, START_SPREAD_S))
        await self.cluster.start_proxy(proxy)

    async def put_databases(self, count: int) -> None:
        """Put group records until there are `count`."""
        await self._put([_group(index) for index in range(self.databases, count)])
        self.databases = count

    async def put_contracts(self, count: int) -> None:
        """Put `count` contracts."""
        await self._put([self._contract(index, "set-up") for index in range(count)])

    async def put_vm_records(self, count: int) -> None:
        """Put records of VMs that do not run until `count` VMs are listed."""
        missing = range(self.nodes, count)
        await self._put([_vm(index, self._heartbeat_sink.port) for index in missing])
        self.vm_records = count

    async def change_contracts(self, idle: dict[str, float]) -> dict[str, float]:
        """Change contracts once a second; return the cost of one change on a node.

        The rates of the window `idle` are subtracted. With all VMs listed, nodes put
        their applied revisions minutes later, which is not included.
        """
        before = await self.sample()
        for number in range(CHANGES):
            await self._put([self._contract(number, f"change-{number}")])
            await asyncio.sleep(1.0)
        if not self.vm_records:
            await asyncio.sleep(APPLIED_REPORTS_S)
        after = await self.sample()
        rates = before.per_node(after, self.nodes)
        per_change = (after.at - before.at) / CHANGES
        added = {name: (rates[name] - idle[name]) * per_change for name in rates}
        return {
            "nodes": self.nodes,
            "listed_vms": max(self.vm_records, self.nodes),
            "calls": round(added["calls_per_s"], 3),
            "bytes": round(added["bytes_per_s"]),
            "cpu_ms": round(added["cpu_percent"] * 10, 2),
        }

    async def measure_idle(self) -> dict[str, float]:
        """Measure the nodes over a window without changes."""
        await asyncio.sleep(SETTLE_S)
        before = await self.sample()
        await asyncio.sleep(WINDOW_S)
        after = await self.sample()
        state = await self.cluster.store_state()
        memory = [proxy.process.rss_mb() for proxy in self.cluster.proxies]
        result = {
            "nodes": self.nodes,
            "databases": self.databases,
            "listed_vms": max(self.vm_records, self.nodes),
            **before.per_node(after, self.nodes),
            "rss_mb": round(statistics.median(memory), 1),
            "watches": round(state["watches"] / self.nodes, 2),
        }
        self.print_step("window", **result)
        return result

    async def sample(self) -> _Sample:
        """Read the counters of all nodes, CPU time first."""
        proxies = self.cluster.proxies
        at = time.perf_counter()
        cpu_s = sum(proxy.process.cpu_seconds() for proxy in proxies)
        clients = (await self.cluster.store_state())["clients"]
        calls = sum(sum(clients.get(p.name, {}).values()) for p in proxies)
        statuses = await asyncio.gather(*(self.cluster.status(p) for p in proxies))
        bytes_ = sum(
            status["control"][key] for status in statuses for key in _BYTE_COUNTERS
        )
        return _Sample(at, cpu_s, calls, bytes_)

    async def peak_calls(self, seconds: float) -> int:
        """Return the most calls within one second, watches included."""
        totals: list[tuple[float, int]] = []
        end = time.perf_counter() + seconds
        while (now := time.perf_counter()) < end:
            state = await self.cluster.store_state()
            totals.append((now, sum(state["calls"].values())))
            await asyncio.sleep(0.1)
        return max(
            later_total - total
            for at, total in totals
            for later, later_total in totals
            if 0.0 <= later - at <= 1.05
        )

    async def _put(self, puts: list[Put]) -> None:
        for first in range(0, len(puts), PUTS_PER_CALL):
            batch = puts[first : first + PUTS_PER_CALL]
            await self.store.compare_and_put([], batch, timeout=10.0)

    def _contract(self, index: int, change: str) -> Put:
        customer = f"customer-{index:03}"
        document = {**self._document, "customer": customer}
        text = json.dumps(document, indent=2)
        envelope = ContractEnvelope(change, "bench", "bench", time.time(), text)
        return Put(CONTRACT_PREFIX + customer, msgspec.json.encode(envelope))


def _group(index: int) -> Put:
    name = f"db{index:05}"
    endpoints = tuple(
        EndpointRecord(
            f"{name}-{n}", f"10.{n}.{index >> 8}.{index & 255}", 5432, f"zone-{n}"
        )
        for n in (1, 2, 3)
    )
    record = GroupRecord(name, 1, endpoints[0].name, endpoints)
    return Put(GROUP_PREFIX + name, msgspec.json.encode(record))


def _vm(index: int, port: int) -> Put:
    name, host = f"vm-listed-{index:04}", f"127.9.{index >> 8}.{index & 255}"
    record = VmRecord(
        name,
        f"zone-{index % 20}",
        f"{host}:7000",
        f"{host}:5432",
        f"{host}:8000",
        1,
        time.time(),
        heartbeat_address=f"{host}:{port}",
    )
    return Put(VM_PREFIX + name, msgspec.json.encode(record))


async def _outage(run: _Run) -> dict[str, int]:
    """Make the store unavailable to running nodes; return peaks of calls a second."""
    run.print_step("outage")
    await run.cluster.store_control("outage")
    during = await run.peak_calls(OUTAGE_S)
    await run.cluster.store_control("heal")
    return {"during": during, "after": await run.peak_calls(PEAK_WINDOW_S)}


async def _restart(run: _Run) -> int:
    """Restart all nodes during a store outage; return the peak of calls a second."""
    run.print_step("restart")
    proxies = run.cluster.proxies
    await run.cluster.store_control("outage")
    await asyncio.gather(*(proxy.process.kill() for proxy in proxies))
    starting = [
        asyncio.create_task(run.cluster.start_proxy(proxy)) for proxy in proxies
    ]
    # Time for the processes to load; the nodes then wait for the store.
    await asyncio.sleep(OUTAGE_S + len(proxies) * 0.08)
    await run.cluster.store_control("heal")
    peak = await run.peak_calls(PEAK_WINDOW_S)
    await asyncio.gather(*starting)
    return peak


def _slopes(windows: list[dict], key: str, is_included: Callable[[dict], bool]) -> dict:
    included = [window for window in windows if is_included(window)]
    sizes = [window[key] for window in included]
    slopes = {}
    for name in ("calls_per_s", "bytes_per_s", "cpu_percent", "rss_mb"):
        fit = statistics.linear_regression(sizes, [window[name] for window in included])
        scale = 1 if key == "nodes" else 1000
        slopes[name] = round(fit.slope * scale, 5)
    return slopes


async def _measure(run: _Run) -> dict[str, object]:
    windows, changes = [], []
    await run.put_contracts(CUSTOMERS)
    await run.put_databases(DATABASES[0])
    for count in NODES:
        await run.scale_to(count)
        windows.append(await run.measure_idle())
    await run.put_databases(DATABASES[1])
    windows.append(await run.measure_idle())
    restart = await _restart(run)
    await run.put_databases(DATABASES[2])
    windows.append(await run.measure_idle())
    largest = windows[-1]
    changes.append(await run.change_contracts(largest))
    run.print_step("list VMs")
    await run.put_vm_records(LISTED_VMS)
    windows.append(await run.measure_idle())
    changes.append(await run.change_contracts(windows[-1]))
    return {
        **largest,
        "slopes": _all_slopes(windows),
        "per_change_and_node": changes,
        "outage_peak_calls_per_s": await _outage(run),
        "restart_peak_calls_per_s": restart,
    }


def _all_slopes(windows: list[dict]) -> dict[str, dict]:
    few, most = DATABASES[0], NODES[-1]
    largest = [w for w in windows if w["nodes"] == most]
    unlisted = [w for w in largest if w["listed_vms"] == most]
    full = [w for w in largest if w["databases"] == DATABASES[-1]]
    return {
        "per_node": _slopes(windows, "nodes", lambda w: w["databases"] == few),
        "per_1000_databases": _slopes(unlisted, "databases", lambda _: True),
        "per_1000_listed_vms": _slopes(full, "listed_vms", lambda _: True),
    }


async def run() -> None:
    """Run the scenario."""
    started = time.perf_counter()
    options = {"proxies": 0, "groups": 0, "contracts": [], "connection_share": 1.0}
    async with Cluster("control", **options) as cluster:
        store = EtcdStore([cluster.store_address], name="bench")
        run = _Run(cluster, store)
        try:
            result = await _measure(run)
        finally:
            run.close()
            await store.close()
            # No node has work to drain.
            await asyncio.gather(*(p.process.kill() for p in cluster.proxies))
    result["took_s"] = round(time.perf_counter() - started, 1)
    print(format_table(result))
    print_result(result)
