"""Starts the project's edge program as the deploy file says, and records a case."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import signal
import socket
import sys
import time
import tomllib
from asyncio.subprocess import Process, create_subprocess_exec
from collections.abc import Awaitable, Callable, Collection
from pathlib import Path
from tempfile import TemporaryDirectory

from celeryjunction.platform.standin import StandinPlatform
from harness3.silent_proxy import SilentProxy

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""
START_LIMIT_S = 30.0
LIMITS = {
    "cpu_share": 0.817,
    "cores": 2,
    "memory_mb": 430,
    "fd_limit": 6450,
    "link_mbps": 1500.0,
    "disk_mb": 0,
}
"""Limits of a machine, as in the example of DEPLOY."""
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "outer_bound_ms": 12000,
    "recovery_s": 12,
    "require_fencing": False,
    "thaw_slack_ms": 300,
}
"""Bounds of both small deployments."""


class Record:
    """The case's `record.txt`: one line for each event, with the time since start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s:8.3f}  {text}\n")
        self._file.flush()

    def write_log(self, name: str, path: Path) -> None:
        """Add the decisions about failovers from a process's log."""
        for line in path.read_text(errors="replace").splitlines():
            if "logger=failover" in line or "logger=replication" in line:
                self._file.write(f"{name}: {line}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Edge:
    """One edge process on loopback."""

    def __init__(
        self, platform: StandinPlatform, folder: Path, name: str, *, zone: int = 0
    ) -> None:
        self.name = name
        self.front, self.ready, self.internal = free_port(), free_port(), free_port()
        self.process: Process | None = None
        self.helpers: list[Process] = []
        """Processes that the case has started against this edge; they end with it."""
        self.store_proxy: SilentProxy | None = None
        """Proxy on this machine's way to the store, if the case has one."""
        self._platform = platform
        self._folder = folder
        self._zone = zone

    def _settings(self) -> dict[str, object]:
        given = self._platform.settings(
            self.name,
            front=self.front,
            ready=self.ready,
            internal=self.internal,
            zone=self._zone,
        )
        return given | {
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "limits": LIMITS,
            "bounds": BOUNDS,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
        }

    async def start(self) -> None:
        """Write the settings file and start the program of the deploy file."""
        settings = self._folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        passed_on = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in passed_on if name in os.environ
        }
        log = (self._folder / f"{self.name}.log").open("ab")
        self.process = await create_subprocess_exec(
            *shlex.split(deploy["roles"]["edge"]["run"]),
            cwd=ROOT,
            env=environment
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CELERYJUNCTION_CONFIG": str(settings),
            },
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    async def probe(self, timeout_s: float) -> int:
        """Ask for the readiness as the platform does; 0 without an answer in time."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                try:
                    writer.write(b"GET /readiness HTTP/1.1\r\nHost: edge\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
                return int(line.split()[1]) if line else 0
        except (OSError, TimeoutError):
            return 0

    async def wait_until_ready(self) -> None:
        """Wait for a 200; raises `TimeoutError`."""
        async with asyncio.timeout(START_LIMIT_S):
            while await self.probe(1.0) != 200:
                await asyncio.sleep(0.1)

    def memory_mb(self, field: str = "VmRSS") -> float:
        """Return a memory figure of the process from /proc; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    async def end(self) -> None:
        """Kill the process and the helpers."""
        for process in (self.process, *self.helpers):
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()


Play = Callable[[StandinPlatform, list[Edge], Record, bool], Awaitable[int]]
"""Plays a case; takes also whether the disruption happens, returns the exit code."""


async def _put_proxy(edge: Edge, platform: StandinPlatform) -> None:
    """Put a proxy on an edge's way to the store."""
    port = int(platform.store.address.rpartition(":")[2])
    edge.store_proxy = SilentProxy(port)
    await edge.store_proxy.start()
    platform.store_addresses[edge.name] = edge.store_proxy.address


async def _run(
    play: Play,
    record: Record,
    *,
    edges: int,
    trouble: bool,
    groups: tuple[str, ...],
    behind_proxy: Collection[str],
) -> int:
    # A SIGTERM ends the case in order, and with it all that it started.
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    platform = StandinPlatform(groups=groups)
    await platform.start()
    started: list[Edge] = []
    with TemporaryDirectory() as folder:
        try:
            for number in range(edges):
                edge = Edge(
                    platform,
                    Path(folder),
                    f"edge-{number + 1}",
                    zone=number % len(platform.zones),
                )
                started.append(edge)
                if edge.name in behind_proxy:
                    await _put_proxy(edge, platform)
                await edge.start()
            for edge in started:
                await edge.wait_until_ready()
                record.write(f"{edge.name} is ready, process {edge.process.pid}")
            code = await play(platform, started, record, trouble)
            for edge in started:
                record.write_log(edge.name, Path(folder) / f"{edge.name}.log")
            return code
        finally:
            for edge in started:
                await edge.end()
            await platform.close()


def run_case(
    folder: Path,
    play: Play,
    *,
    edges: int,
    groups: tuple[str, ...] = ("db",),
    behind_proxy: Collection[str] = (),
    limit_s: float = 110.0,
) -> None:
    """Play a case and exit with its code; `TROUBLE=0` leaves the disruption out.

    The edges named in `behind_proxy` reach the store through a proxy of their own.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"disruption: {'on' if trouble else 'off'}")
    try:
        code = asyncio.run(
            asyncio.wait_for(
                _run(
                    play,
                    record,
                    edges=edges,
                    trouble=trouble,
                    groups=groups,
                    behind_proxy=behind_proxy,
                ),
                limit_s,
            )
        )
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.say(f"the case couldn't run: {error!r}")
        code = NOT_RUN
    record.write(f"exit code {code}")
    sys.exit(code)
