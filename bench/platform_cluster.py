"""A client of the line protocol, and edge processes on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from asyncio.subprocess import PIPE, Process, create_subprocess_exec
from pathlib import Path
from random import sample

from celeryjunction.platform.standin import StandinPlatform

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
"""Time-out for the start or the end of a process, with room for a busy machine."""
ANSWER_TIMEOUT_S = 10.0
RESERVED_PORTS = range(12_000, 32_000)
RESERVATION_HOST = "127.0.0.2"
"""Address at which a reserved port is held, so that it is free at 127.0.0.1."""
_reservations: list[socket.socket] = []


def reserve_port() -> int:
    """Return a free loopback port that no other process is given.

    It is below the ports that the system gives to connections. Other calls, also those
    of other processes, skip it until this process ends. Raises `OSError` if no port is
    left.
    """
    for port in sample(RESERVED_PORTS, len(RESERVED_PORTS)):
        reservation = socket.socket()
        try:
            reservation.bind((RESERVATION_HOST, port))
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return port
    raise OSError("no free port is left")


class LineClient:
    """A client's session in the line protocol; texts are encoded as Latin-1."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._number = 0
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, database: str, key: str = "c1") -> str:
        """Connect to a database with a key; return the line of the answer."""
        self._reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._writer.write(f"CONNECT {database} {key}\r\n".encode())
        return await self._line()

    async def _line(self) -> str:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                line = await self._reader.readuntil(b"\r\n")
        except (ConnectionError, asyncio.IncompleteReadError):
            return ""
        return line.decode("latin-1").removesuffix("\r\n")

    async def send(self, text: str) -> list[str]:
        """Send a statement; return the lines of its answer up to READY."""
        self._number += 1
        query = f"QUERY q{self._number} {text}\r\n"
        return await self.send_raw(query.encode("latin-1"))

    async def send_raw(self, data: bytes) -> list[str]:
        """Send bytes; return the lines up to READY or up to the end (an empty line)."""
        self._writer.write(data)
        lines = []
        while True:
            line = await self._line()
            lines.append(line)
            if not line or line.startswith("READY"):
                return lines

    async def closes_without_answer(self) -> bool:
        """Whether the peer closes the connection without sending a line."""
        return await self._line() == ""

    def close(self) -> None:
        """Close the connection, if it was opened."""
        if self._writer is not None:
            self._writer.close()


class EdgeProcess:
    """An edge process on loopback."""

    def __init__(self, platform: StandinPlatform, folder: Path, name: str) -> None:
        self._platform = platform
        self.path = folder / f"{name}.json"
        self.name = name
        self.front_port = reserve_port()
        self.ready_port = reserve_port()
        self.internal_port = reserve_port()
        self.process: Process | None = None
        self.restarting = False
        self.has_output = False
        """Whether the process has written to standard output since its start."""
        self.output = b""
        self.program = "deploy/edge.py"
        """Path of the program in the repository."""
        self.environment: dict[str, str] = {}
        """Further environment variables of the process."""

    async def start(self, *, zone: int = 0) -> None:
        """Write the settings and start the process."""
        settings = self._platform.settings(
            self.name,
            front=self.front_port,
            ready=self.ready_port,
            internal=self.internal_port,
            zone=zone,
        )
        self.path.write_text(json.dumps(settings))
        self.process = await create_subprocess_exec(
            sys.executable,
            self.program,
            cwd=ROOT,
            env={
                **os.environ,
                **self.environment,
                "CELERYJUNCTION_CONFIG": str(self.path),
            },
            stdout=PIPE,
        )
        self.has_output = False
        self._read_task = asyncio.create_task(self._read())

    async def _read(self) -> None:
        async for line in self.process.stdout:
            self.output += line
            self.has_output = True

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def state(self) -> str:
        """State of the running process as in /proc, e.g. ``T`` when it is stopped."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text()
        return stat.rpartition(")")[2].split()[0]

    def describe(self) -> str:
        """Return the process's state; SIGUSR1 makes it write its stacks to stderr."""
        if not self.running:
            return f"exited with code {self.process.returncode}"
        self.process.send_signal(signal.SIGUSR1)
        return f"process {self.process.pid} in state {self.state}"

    async def probe(self, path: str = "/readiness") -> tuple[int, str]:
        """Send a GET request to the ready address; return status and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.split("Content-Length: ")[1].split("\r\n")[0])
            body = (await reader.readexactly(length)).decode()
        finally:
            writer.close()
        return int(head.split(" ")[1]), body

    async def wait_until_ready(self) -> None:
        """Wait until the readiness probe succeeds; raises `TimeoutError`."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    if (await self.probe())[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def stop(self, signum: int = signal.SIGTERM) -> int:
        """Send a signal, wait for the end and return the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signum)
        async with asyncio.timeout(START_TIMEOUT_S):
            code = await self.process.wait()
        await self._read_task
        return code
