"""Runs a small installation as processes on loopback and signals them."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
from pathlib import Path

import aiohttp
import asyncpg

from celeryjunction.scram import make_verifier

ROOT = Path(".bench")
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
PASSWORD = "bench"
PEER_KEY = "bench-key-0123456789abcdef0123456789abcdef"
_allocated_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free at the moment, a different one in each call.

    The port is below the usual ephemeral range: with 40 proxies, an outgoing connection
    took the port of a process that had not started yet.
    """
    while True:
        port = random.randrange(10_000, 32_768)
        if port in _allocated_ports:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _allocated_ports.add(port)
        return port


def contract(customer: str, databases: list[str], **changes: object) -> dict:
    """Return a contract with classes of work of all ranks; `changes` replace fields."""
    document: dict[str, object] = {
        "customer": customer,
        "databases": databases,
        "verifier": make_verifier(PASSWORD),
        "default_work": "counter",
        "work": {
            "lock": {"rank": "urgent", "deadline_ms": 5000},
            "counter": {"rank": "interactive", "deadline_ms": 10000},
            "browse": {
                "rank": "interactive",
                "staleness_ms": 1000,
                "deadline_ms": 10000,
            },
            "tally": {
                "rank": "background",
                "staleness_ms": 5000,
                "deadline_ms": 30000,
            },
        },
        "shares": {"urgent": 0.5, "interactive": 0.3, "background": 0.1},
        "connections": 10,
    }
    document.update(changes)
    return document


class Process:
    """One process of the installation."""

    def __init__(
        self, name: str, args: list[str], log: Path, module: str = "celeryjunction"
    ) -> None:
        self.name = name
        self._args = args
        self._module = module
        self._log = log
        self._process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Start the process; its output is appended to the log file."""
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self._module,
                *self._args,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    def send_signal(self, signum: int) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signum)

    async def stop(self) -> int:
        """Send SIGCONT and SIGTERM, SIGKILL after a time-out; return the exit code."""
        if self._process is None:
            return 0
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            return await self._process.wait()

    async def kill(self) -> None:
        """Send SIGKILL and wait for the end of the process."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def cpu_seconds(self) -> float:
        """Return the CPU time used so far, from /proc."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def rss_mb(self) -> float:
        """Return the resident memory in megabytes (10^6 bytes), from /proc."""
        pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Proxy:
    """A proxy process and its addresses."""

    def __init__(self, name: str, zone: str, process: Process) -> None:
        self.name = name
        self.zone = zone
        self.process = process
        self.port = 0
        self.status_port = 0


class Cluster:
    """A platform store, database groups and proxies on loopback."""

    def __init__(
        self,
        name: str,
        *,
        proxies: int = 3,
        groups: int = 1,
        zones: int = 3,
        schema: list[str] | None = None,
        group_options: dict | None = None,
        contracts: list[dict] | None = None,
        drain_notice_s: float = 0.0,
        connection_share: float | None = None,
        proxy_module: str = "celeryjunction",
    ) -> None:
        self._directory = ROOT / name
        self._directory.mkdir(parents=True, exist_ok=True)
        self._zones = [f"zone-{i + 1}" for i in range(zones)]
        self.databases = [f"db{i + 1}" for i in range(groups)]
        self._schema = schema or []
        self._group_options = group_options or {}
        if contracts is None:
            contracts = [contract("coop", self.databases)]
        self._contracts = contracts
        self._drain_notice_s = drain_notice_s
        self._connection_share = connection_share or 1.0 / proxies
        self._proxy_module = proxy_module
        self._store_port = free_port()
        self._store_control_port = free_port()
        self._control_ports: dict[str, int] = {}
        self.endpoint_ports: dict[str, list[int]] = {}
        self.processes: list[Process] = []
        self.proxies: list[Proxy] = []
        self._proxy_count = proxies
        self._http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Cluster:
        for log in self._directory.glob("*.log"):
            log.unlink()
        self._http = aiohttp.ClientSession()
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Stop the proxies, then all other processes."""
        await asyncio.gather(
            *(p.process.stop() for p in self.proxies),
        )
        await asyncio.gather(*(p.stop() for p in self.processes))
        if self._http is not None:
            await self._http.close()

    @property
    def store_address(self) -> str:
        """Address of the key-value stand-in."""
        return f"127.0.0.1:{self._store_port}"

    def add_proxy(self) -> Proxy:
        """Add a proxy without starting it."""
        proxy = self._new_proxy(len(self.proxies))
        self.proxies.append(proxy)
        return proxy

    async def store_state(self) -> dict:
        """Return the counts of the key-value stand-in."""
        return await self._get(self._store_control_port, "state")

    async def control(self, database: str, action: str, **body: object) -> dict:
        """Call the control API of a group's stand-in."""
        return await self._post(self._control_ports[database], action, body)

    async def store_control(self, action: str, **body: object) -> dict:
        """Call the control API of the key-value stand-in."""
        return await self._post(self._store_control_port, action, body)

    async def is_ready(self, proxy: Proxy) -> bool:
        """Probe the readiness of a proxy as the platform's load balancer does."""
        url = f"http://127.0.0.1:{proxy.status_port}/ready"
        try:
            async with self._http.get(url) as answer:
                return answer.status == 200
        except aiohttp.ClientError:
            return False

    async def group_state(self, database: str) -> dict:
        """Return the state of a group's endpoints."""
        return await self._get(self._control_ports[database], "state")

    async def status(self, proxy: Proxy) -> dict:
        """Return a proxy's status."""
        return await self._get(proxy.status_port, "status")

    async def primary(self, database: str) -> str:
        """Return the name of the primary with the highest term."""
        state = await self.group_state(database)
        primaries = [(s["term"], n) for n, s in state.items() if s["role"] == "primary"]
        return max(primaries)[1]

    async def connect(
        self,
        proxy: Proxy,
        *,
        user: str = "coop",
        database: str | None = None,
        **options: object,
    ) -> asyncpg.Connection:
        """Connect a client through a proxy."""
        return await asyncpg.connect(
            host="127.0.0.1",
            port=proxy.port,
            user=user,
            password=PASSWORD,
            database=database or self.databases[0],
            ssl=False,
            **options,
        )

    async def connect_direct(self, database: str, index: int = 0) -> asyncpg.Connection:
        """Connect a client directly to an endpoint."""
        return await asyncpg.connect(
            host="127.0.0.1",
            port=self.endpoint_ports[database][index],
            user="bench",
            database=database,
            ssl=False,
        )

    async def _start(self) -> None:
        await self._spawn(
            "store",
            [
                "standin",
                "store",
                "--port",
                str(self._store_port),
                "--control-port",
                str(self._store_control_port),
            ],
            self._store_control_port,
            "state",
        )
        for database in self.databases:
            await self._start_group(database)
        await self._put_contracts()
        for index in range(self._proxy_count):
            self.proxies.append(self._new_proxy(index))
        await asyncio.gather(*(self.start_proxy(proxy) for proxy in self.proxies))

    async def _start_group(self, database: str) -> None:
        control = self._control_ports[database] = free_port()
        ports = self.endpoint_ports[database] = [free_port() for _ in range(3)]
        config = {
            "name": database,
            "endpoints": [
                {
                    "name": f"{database}-{i + 1}",
                    "host": "127.0.0.1",
                    "port": port,
                    "zone": self._zones[i % len(self._zones)],
                }
                for i, port in enumerate(ports)
            ],
            "schema": self._schema,
            "control_host": "127.0.0.1",
            "control_port": control,
            "store": [f"127.0.0.1:{self._store_port}"],
            **self._group_options,
        }
        path = self._write(f"{database}.json", config)
        args = ["standin", "group", "--config", str(path)]
        await self._spawn(database, args, control, "state")

    async def _put_contracts(self) -> None:
        for document in self._contracts:
            path = self._write(f"{document['customer']}.contract.json", document)
            process = Process(
                "contract",
                [
                    "contract",
                    "set",
                    str(path),
                    "--store",
                    f"127.0.0.1:{self._store_port}",
                    "--author",
                    "bench",
                    "--reason",
                    "set-up",
                ],
                self._directory / "contract.log",
            )
            await process.start()
            if await process._process.wait() != 0:
                raise RuntimeError(
                    f"contract set failed, see the log in {self._directory}"
                )

    def _new_proxy(self, index: int) -> Proxy:
        name = f"vm-{index + 1}"
        zone = self._zones[index % len(self._zones)]
        config = self._directory / f"{name}.json"
        args = ["proxy", "--config", str(config)]
        log = self._directory / f"{name}.log"
        return Proxy(name, zone, Process(name, args, log, self._proxy_module))

    async def start_proxy(self, proxy: Proxy) -> None:
        """Start a proxy on new ports and wait until it is ready."""
        proxy.port, proxy.status_port = free_port(), free_port()
        settings = {
            "vm": proxy.name,
            "zone": proxy.zone,
            "listen": {"host": "127.0.0.1", "port": proxy.port},
            "status": {"host": "127.0.0.1", "port": proxy.status_port},
            "peers": {"host": "127.0.0.1", "port": free_port(), "keys": [PEER_KEY]},
            "store": {"endpoints": [f"127.0.0.1:{self._store_port}"]},
            "connection_share": self._connection_share,
            "limits": {"drain_notice_s": self._drain_notice_s},
        }
        self._write(f"{proxy.name}.json", settings)
        await proxy.process.start()
        await self._wait_until_up(proxy.status_port, "ready")

    async def _spawn(self, name: str, args: list[str], port: int, path: str) -> None:
        process = Process(name, args, self._directory / f"{name}.log")
        self.processes.append(process)
        await process.start()
        await self._wait_until_up(port, path)

    async def _wait_until_up(self, port: int, path: str) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + START_TIMEOUT_S
        while loop.time() < end:
            try:
                async with self._http.get(f"http://127.0.0.1:{port}/{path}") as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(
            f"no answer on port {port}, see the logs in {self._directory}"
        )

    def _write(self, name: str, document: dict) -> Path:
        path = self._directory / name
        path.write_text(json.dumps(document, indent=2))
        return path

    async def _get(self, port: int, path: str):
        async with self._http.get(f"http://127.0.0.1:{port}/{path}") as answer:
            answer.raise_for_status()
            return await answer.json()

    async def _post(self, port: int, path: str, body: dict) -> dict:
        url = f"http://127.0.0.1:{port}/{path}"
        async with self._http.post(url, json=body) as answer:
            if answer.status >= 400:
                raise RuntimeError(f"{path}: {answer.status} {await answer.text()}")
            return await answer.json()
