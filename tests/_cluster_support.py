"""Edges as processes against the platform's stand-in, on the real clock."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from bench.commit_judge import CommitJudge
from bench.fault_proxy import FaultProxy
from bench.platform_cluster import EdgeProcess, LineClient
from celeryjunction.platform.standin import StandinEndpoint, StandinPlatform

POLL_S = 0.01
STEP_LIMIT_S = 12.0
"""Limit of each step that a test waits for."""
WRITES = 20
THINK_S = 0.01
REPORTED = 3
"""Number of lost commits that a failure describes."""


class Cluster:
    """Edges, clients and the judge of one test, in front of one group."""

    def __init__(
        self, folder: Path, zones: int = 3, groups: tuple[str, ...] = ("db",)
    ) -> None:
        self.platform = StandinPlatform(zones=zones, groups=groups)
        self.group = self.platform.groups["db"]
        self.store = self.platform.store
        self.judge = CommitJudge(self.platform)
        self._folder = folder
        self.edges: list[EdgeProcess] = []
        self.proxies: list[FaultProxy] = []
        self._clients: list[LineClient] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def term(self) -> int:
        """Highest term of the group's endpoints."""
        return max(endpoint.term for endpoint in self.group.endpoints)

    async def start_edge(self, *, stop_before: str = "", zone: int = 0) -> EdgeProcess:
        """Start an edge; it may stop itself before a command (edge_stopped_before)."""
        name = f"edge-{len(self.edges) + 1}"
        edge = EdgeProcess(self.platform, self._folder, name)
        if stop_before:
            edge.program = "tests/edge_stopped_before.py"
            edge.environment["CELERYJUNCTION_STOP_BEFORE"] = stop_before
        self.edges.append(edge)
        await edge.start(zone=zone)
        return edge

    async def start_isolated_edge(self) -> tuple[EdgeProcess, FaultProxy]:
        """Start an edge that reaches the store through a proxy of its own."""
        port = int(self.store.address.rpartition(":")[2])
        proxy = FaultProxy(lambda: port)
        await proxy.start()
        self.proxies.append(proxy)
        self.platform.store_address = f"127.0.0.1:{proxy.port}"
        edge = await self.start_edge(zone=1)
        self.platform.store_address = ""
        await edge.wait_until_ready()
        return edge, proxy

    async def connect(self, edge: EdgeProcess) -> LineClient:
        """Open a session for reads and writes at the primary."""
        client = LineClient(edge.front_port)
        self._clients.append(client)
        assert await client.open("lock-db") == "READY I -"
        return client

    def write_through(self, edge: EdgeProcess, *, clients: int = 2) -> None:
        """Keep writing items through an edge and record what is acknowledged."""
        for _ in range(clients):
            number = len(self._tasks)
            self._tasks.append(asyncio.create_task(self._write(edge, number)))

    async def _write(self, edge: EdgeProcess, number: int) -> None:
        for count in range(100_000):
            client = LineClient(edge.front_port)
            try:
                await client.open("lock-db")
                await self._write_in_session(client, f"w{number}.{count}")
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(THINK_S)

    async def _write_in_session(self, client: LineClient, prefix: str) -> None:
        for count in range(100_000):
            item = f"{prefix}.{count}"
            lines = await client.send(f"WRITE {item} x")
            if lines[0].startswith("COMPLETE d."):
                self.judge.record(item, "x")
            if not lines[-1].startswith("READY"):
                return
            await asyncio.sleep(THINK_S)

    async def wait_for_writes(self, count: int = WRITES) -> None:
        """Wait until so many further writes were acknowledged."""
        wanted = len(self.judge.acknowledged) + count
        await wait_for(lambda: len(self.judge.acknowledged) >= wanted)

    def report(self) -> str:
        """Return the lost commits, one a line, and what the edges logged about them."""
        outputs = [edge.output for edge in self.edges]
        lines = self.judge.describe(outputs)[:REPORTED]
        for edge in self.edges:
            lines += [
                f"{edge.name}: {line.decode().rstrip()}"
                for line in edge.output.splitlines()
                if b"logger=failover" in line
            ]
        return "\n".join(lines)

    def check(self) -> None:
        """Fail if a promoted endpoint, or the last primary, lost a commit."""
        lost = len(self.judge.lost) + len(self.judge.list_missing())
        assert lost == 0, (
            f"{lost} of {len(self.judge.acknowledged)} acknowledged commits lost\n"
            f"{self.report()}"
        )

    async def close(self) -> None:
        """End all clients, edges and stand-ins."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()
        for edge in self.edges:
            if edge.running:
                await edge.stop(signal.SIGKILL)
        for proxy in self.proxies:
            proxy.close()
        await self.platform.close()


async def wait_for(
    condition: Callable[[], object], limit_s: float = STEP_LIMIT_S
) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(POLL_S)


async def occurs(condition: Callable[[], object], limit_s: float) -> bool:
    try:
        await wait_for(condition, limit_s)
    except TimeoutError:
        return False
    return True


def ignore_caller(endpoint: StandinEndpoint, caller: str, *words: bytes) -> None:
    """Let an endpoint ignore the given commands of a caller, or all of them."""
    endpoint.ignores = lambda name, word: (
        name == caller and (not words or word in words)
    )
