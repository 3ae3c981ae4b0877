"""A small deployment on loopback: edge processes, backends, store and clients."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from celeryjunction.platform.standin import StandinStore
from harness.backend import Backend, Service
from harness.record import Record

ROOT = Path(__file__).resolve().parent.parent.parent
ZONES = ["miraflores", "surco", "san-isidro"]
BACKEND_HOST = "127.0.0.1"
BEAT_S = 1.2
READY_LIMIT_S = 30.0
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 4000, "ack_ms": 5000,
    "catch_up_s": 4, "drain_ms": 7000, "grace_s": 6, "loss_slack_ms": 200,
    "config_apply_ms": 3000, "rollback_slack_ms": 250, "outer_bound_ms": 12000,
    "recovery_s": 12, "require_fencing": False, "thaw_slack_ms": 300,
}  # fmt: skip
"""The bounds of the site apdd-pedidos."""


def free_port(host: str) -> int:
    """Return a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Client:
    """A consumer's session."""

    _sessions = 0

    def __init__(self, record: Record, host: str, port: int) -> None:
        Client._sessions += 1
        self.name = f"c{Client._sessions}"
        self._record = record
        self._address = host, port
        self._writer: asyncio.StreamWriter | None = None
        self._queries = 0

    async def open(self, database: str) -> bytes:
        """Connect; return the answer, empty if the connection ended."""
        self._reader, self._writer = await asyncio.open_connection(
            *self._address, limit=1 << 22
        )
        self._writer.write(f"CONNECT {database} {self.name}\r\n".encode())
        return await self._read_line()

    async def _read_line(self) -> bytes:
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2]
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def query(self, text: bytes, *, limit_s: float = 10.0) -> list[bytes]:
        """Send a statement; return the lines up to READY, or an empty line at the end.

        The id of the statement is `last_id`.
        """
        self._queries += 1
        self.last_id = f"{self.name}-{self._queries}".encode()
        self._record.add("sent", self.name, self.last_id, text)
        self._writer.write(b"QUERY %b %b\r\n" % (self.last_id, text))
        lines: list[bytes] = []
        try:
            async with asyncio.timeout(limit_s):
                while not lines or not (
                    not lines[-1] or lines[-1].startswith(b"READY")
                ):
                    lines.append(await self._read_line())
        except TimeoutError:
            lines.append(b"")
        self._record.add("answered", self.name, self.last_id, *lines)
        return lines

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


class EdgeProcess:
    """The program of the deploy file as a process of its own."""

    def __init__(
        self, deployment: Deployment, name: str, host: str, zone: str, store: str
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self._deployment = deployment
        self._store = store
        self.front = free_port(host)
        self._ready = free_port(host)
        self._internal = free_port(host)
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = deployment.folder / f"{name}.log"

    def start(self) -> None:
        """Write the settings file and start the process."""
        path = self._deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self._settings()))
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in ("PATH", "HOME", "LANG")
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CELERYJUNCTION_CONFIG"] = str(path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", "deploy/edge.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._deployment.record.say("started", self.name, f"process of {self.zone}")

    def _settings(self) -> dict[str, object]:
        return {
            "node_name": self.name,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": self.zone,
            "region": "lima",
            "zones": dict.fromkeys(ZONES, "lima"),
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self._ready}",
            },
            "internal_port_range": [self._internal, self._internal],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.817, "cores": 2, "memory_mb": 430,
                       "fd_limit": 6300, "link_mbps": 1500.0, "disk_mb": 0},
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self._store, "form": "kv", "writes_per_s": 400,
                         "reads_per_s": 2000, "history_s": 20,
                         "value_bytes": 1048576, "ttl_min_ms": 1000},
            "cloud_api": {"address": self._deployment.store.address,
                          "rate_per_s": 50.0, "duties": ["promotion"],
                          "duty_per_s": 50.0},
        }  # fmt: skip

    async def is_ready(self) -> bool:
        """Ask the process once whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self._ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return line.startswith(b"HTTP/1.1 200")

    async def wait_until_ready(self) -> None:
        """Wait for readiness; raises `TimeoutError`."""
        async with asyncio.timeout(READY_LIMIT_S):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._deployment.record.say("signal", self.name, number.name)

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        return self.process.returncode

    def log_text(self) -> str:
        """Return what the process wrote."""
        return self.log_path.read_text() if self.log_path.exists() else ""


class Deployment:
    """Store, backends and edge processes; everything ends with `close`."""

    def __init__(self, record: Record, *, services: tuple[str, ...] = ("libro",)):
        self.record = record
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.store = StandinStore()
        self.services = {
            name: Service(name, ZONES, record=record, host=BACKEND_HOST)
            for name in services
        }
        self.store.groups = self.services
        self.edges: list[EdgeProcess] = []
        self._version = 6
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the store and the backends, and write the first config."""
        await self.store.start()
        for service in self.services.values():
            for backend in service.backends:
                await backend.start()
                self.register(backend)
        self.configure()

    def register(self, backend: Backend, **changes: object) -> None:
        """Write a backend's entry; `changes` replace fields."""
        entry = {
            "service": backend.service.name,
            "address": f"{backend.host}:{backend.port}",
            "zone": backend.zone,
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "cold_left_ms": 0,
            "db_role": "primary" if backend.is_primary else "replica",
            "sequence": 1,
            "born": 1_733_000_000_000,
        }
        self.store.put_json(f"servers/{backend.id}", entry | changes)

    def configure(self, **services_by_database: str) -> int:
        """Write a newer config; return its version.

        `services_by_database` overrides the service of routes by database name.
        """
        self._version += 1
        kinds = {
            "firme": ("primary", 1000, 200, 0, 0),
            "vitrina": ("bounded_staleness", 2000, 1200, 2, 1500),
            "recojo": ("read_your_writes", 1000, 400, 1, 2500),
        }
        first = next(iter(self.services))
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "prefix": "/",
                "kind": kind,
                "timeout_ms": timeout_ms,
                "goal_ms": goal_ms,
                "priority": priority,
                "service": services_by_database.get(database, first),
                "max_attempts": 2,
                "max_staleness_ms": staleness_ms,
            }
            for database, (kind, timeout_ms, goal_ms, priority, staleness_ms) in (
                kinds.items()
            )
        ]
        services = [
            {"name": name, "health_path": "/health", "conn_limit": 39,
             "protocol": "h1", "tls": False, "sync_replicas": 1}
            for name in self.services
        ]  # fmt: skip
        limits = {"header_bytes": 16384, "body_bytes": 262144, "tx_idle_ms": 3000}
        config = {
            "version": self._version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put_json("op/config", config)
        self.record.say("config", f"version {self._version}", services_by_database)
        return self._version

    def add_edge(self, zone: str, *, store: str = "") -> EdgeProcess:
        """Add an edge process; it is not started. `store` may name a proxy."""
        number = len(self.edges) + 1
        edge = EdgeProcess(
            self,
            f"edge-{zone}-{number}",
            f"127.0.0.{10 + number}",
            zone,
            store or self.store.address,
        )
        self.edges.append(edge)
        return edge

    async def close(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for edge in self.edges:
            if edge.process is not None and edge.process.poll() is None:
                edge.process.kill()
                await edge.wait()
        for service in self.services.values():
            for backend in service.backends:
                await backend.stop()
        await self.store.close()
        self._folder.cleanup()


Play = Callable[[Deployment, bool], Awaitable[bool]]
"""Plays a case, with or without the disruption; returns whether the rule held."""


def run_case(
    folder: Path, play: Play, *, services: tuple[str, ...] = ("libro",)
) -> int:
    """Play a case; return the exit code of its script and write ``record.txt``."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> bool:
        deployment = Deployment(record, services=services)
        try:
            async with asyncio.timeout(110):
                await deployment.start()
                return await play(deployment, trouble)
        finally:
            for edge in deployment.edges:
                with suppress(OSError):
                    for line in edge.log_text().splitlines()[-200:]:
                        record.add("log", edge.name, line)
            await deployment.close()

    try:
        held = asyncio.run(run())
    except Exception as error:
        record.say("not run", repr(error))
        record.write()
        return 2
    record.say("result", "the rule held" if held else "the rule was broken")
    record.write()
    return 0 if held else 1
