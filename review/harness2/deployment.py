"""A small deployment on loopback: edge processes, a service, and the platform's store.

The store is the project's own stand-in. The edges run with the command, the environment
and the settings that the deploy file and `DEPLOY.md` name.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import tomllib
from asyncio.subprocess import DEVNULL, Process, create_subprocess_exec
from pathlib import Path

from celeryjunction.platform.standin import StandinStore
from harness2.backends import Service

ROOT = Path(__file__).resolve().parent.parent.parent
START_LIMIT_S = 30.0
GRACE_S = 6
CONNECTION_LIMIT = 39
"""Connections of a backend, as at apdd-pedidos."""
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_ms": 5000,
    "catch_up_s": 4,
    "drain_ms": 7000,
    "grace_s": GRACE_S,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "rollback_slack_ms": 250,
    "outer_bound_ms": 12000,
    "recovery_s": 12,
    "require_fencing": False,
    "thaw_slack_ms": 300,
}


def free_port() -> int:
    """Return a loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Edge:
    """An edge process."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.front_port = free_port()
        self.ready_port = free_port()
        self.process: Process | None = None
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"

    async def start(
        self, store_address: str, zones: list[str], *, cloud_address: str = ""
    ) -> None:
        """Write the settings and start the process.

        The promotion call is at the store's address if `cloud_address` is empty.
        """
        internal_port = free_port()
        settings = {
            "node_name": self.name,
            "role": "edge",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": self.zone,
            "region": "lima",
            "zones": dict.fromkeys(zones, "lima"),
            "listen": {
                "front": f"127.0.0.1:{self.front_port}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "internal_port_range": [internal_port, internal_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {"memory_mb": 430, "fd_limit": 6300, "link_mbps": 1500.0},
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "kv", "history_s": 20},
            "cloud_api": {
                "address": cloud_address or store_address,
                "duties": ["promotion"],
            },
        }
        self._settings_path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["edge"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= role["env"]
        environment["CELERYJUNCTION_METRICS_PORT"] = str(free_port())
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CELERYJUNCTION_CONFIG"] = str(self._settings_path)
        with self._log_path.open("wb") as log:
            self.process = await create_subprocess_exec(
                *role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def log(self) -> str:
        """What the process wrote."""
        return self._log_path.read_text(errors="replace")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        """Wait until the process says that it is ready; raises `TimeoutError`."""
        async with asyncio.timeout(START_LIMIT_S):
            while not await self._is_ready():
                if not self.is_running:
                    raise RuntimeError(f"{self.name} ended: {self.log[-500:]}")
                await asyncio.sleep(0.1)

    async def kill(self) -> None:
        """End the process."""
        if self.is_running:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """Three edges in three zones, one service and the store."""

    def __init__(self, service: Service, zones: list[str], routes: list[dict]) -> None:
        self.service = service
        self._zones = zones
        self._routes = routes
        self._store = StandinStore()
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.edges = [
            Edge(f"edge-{zone}-1", zone, folder) for number, zone in enumerate(zones)
        ]

    async def start(self) -> None:
        """Start everything and wait until the edges are ready."""
        await self.service.start()
        await self._store.start()
        for backend in self.service.backends:
            self._store.put_json(
                f"servers/{backend.id}",
                {
                    "service": self.service.name,
                    "address": f"127.0.0.1:{backend.port}",
                    "zone": backend.zone,
                    "version": "v1",
                    "slots": 3,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "db_role": "primary" if backend.is_primary else "replica",
                    "sequence": 1,
                    "born": 1_700_000_000_000,
                },
            )
        service = {
            "name": self.service.name,
            "conn_limit": CONNECTION_LIMIT,
            "sync_replicas": 1,
        }
        config = {
            "version": 3,
            "routes": self._routes,
            "services": [service],
            "limits": {"tx_idle_ms": 3000},
        }
        self._store.put_json("op/config", config)
        for edge in self.edges:
            await edge.start(self._store.address, self._zones)
        await asyncio.gather(*(edge.wait_until_ready() for edge in self.edges))

    async def close(self) -> None:
        """End all processes and listeners."""
        for edge in self.edges:
            await edge.kill()
        self.service.close()
        await self._store.close()
        self._folder.cleanup()
