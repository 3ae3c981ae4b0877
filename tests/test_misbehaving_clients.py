"""Crowds of clients that misbehave must not end a VM's process or exhaust its machine.

Edges run as processes against the platform's stand-in, with limits that are lowered in
their settings. No test checks a time or a share of served requests: the process lives,
its memory and descriptors stay under its limits, and one ordinary request is answered.
The crowds and the bounds are fixed; they were sized to exceed the bounds without the
limits for clients. The tests may not run beside other load.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import resource
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from _cluster_support import Cluster, wait_for

from bench.platform_cluster import EdgeProcess, LineClient

MIB = 1 << 20
MEMORY_MB = 128
"""`limits.memory_mb` of each edge; a process without clients takes about 40 MB."""
FD_LIMIT = 1000
"""`limits.fd_limit` of each edge."""
FILE_DESCRIPTORS = 200
"""Descriptors of the limit that the platform reserves for files."""
CROWD_LIMIT_S = 20.0
"""A crowd ends after this, also if the edge takes no more of its input."""
QUIET_S = 4.0
"""A crowd has done what it can once nothing was sent or received for this long."""
ANSWER_LIMIT_S = 20.0
ARRIVAL_S = 0.06
"""Time between the arrivals of two readers, so that their reads are answered."""
SAMPLE_S = 0.02

LONG_MESSAGE = b"QUERY q1 WRITE a " + b"x" * (MIB - 64)
"""A legal message without its end."""
CONNECT = b"CONNECT lock-db c1\r\n"


class Watch:
    """Highest memory and number of descriptors of a process while a crowd plays."""

    def __init__(self, edge: EdgeProcess) -> None:
        self._edge = edge
        self._pid = edge.process.pid
        self.memory = 0
        """Highest resident memory plus what the kernel holds for clients, in bytes."""
        self.kernel = 0
        self.descriptors = 0

    def sample(self) -> None:
        """Take a sample."""
        if not self._edge.running:
            return
        kernel = _kernel_bytes(self._edge.front_port)
        resident = _status_bytes(self._pid, "VmRSS")
        peak = _status_bytes(self._pid, "VmHWM")
        self.kernel = max(self.kernel, kernel)
        self.memory = max(self.memory, resident + kernel, peak)
        with suppress(OSError):
            count = len(os.listdir(f"/proc/{self._pid}/fd"))
            self.descriptors = max(self.descriptors, count)

    def check(self) -> None:
        """Fail if the process has ended or exceeded a limit."""
        self.sample()
        print(
            f"{self._edge.name}: {self.memory / 1e6:.0f} MB, of which the kernel's "
            f"{self.kernel / 1e6:.0f} MB at most, {self.descriptors} descriptors"
        )
        assert self._edge.running and self._edge.process.pid == self._pid
        assert self.memory <= MEMORY_MB * 1_000_000
        assert self.descriptors <= FD_LIMIT - FILE_DESCRIPTORS


def _status_bytes(pid: int, field: str) -> int:
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1]) * 1024
    return 0


def _kernel_bytes(port: int) -> int:
    """Return what the kernel holds for the server's side of a port's connections."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port:
            sent, _, received = fields[4].partition(":")
            total += int(sent, 16) + int(received, 16)
    return total


class Member:
    """One connection of a crowd."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._socket = socket.socket()
        self._socket.setblocking(False)
        self._loop = asyncio.get_running_loop()
        self.moved_at = time.monotonic()
        """When the member last sent or received something."""

    async def connect(self, *, receive_buffer: int = 0) -> None:
        """Connect to the edge."""
        if receive_buffer:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await self._loop.sock_connect(self._socket, ("127.0.0.1", self._port))
        self.moved_at = time.monotonic()

    async def send(self, data: bytes, *, piece: int = 65_536) -> None:
        """Send data in pieces, as far as the edge takes it."""
        view = memoryview(data)
        for start in range(0, len(data), piece):
            await self._loop.sock_sendall(self._socket, view[start : start + piece])
            self.moved_at = time.monotonic()
            await asyncio.sleep(0)

    async def receive(self, size: int) -> bytes:
        """Receive up to `size` bytes."""
        data = await self._loop.sock_recv(self._socket, size)
        self.moved_at = time.monotonic()
        return data

    async def stay(self, seconds: float) -> None:
        """Keep the connection open and the crowd playing, without reading."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            await asyncio.sleep(min(0.1, seconds))
            self.moved_at = time.monotonic()

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


Play = Callable[[Member], Awaitable[None]]


async def play_crowd(
    edge: EdgeProcess, count: int, play: Play, watches: list[Watch]
) -> list[Member]:
    """Let a crowd do what it can; its connections stay open."""
    members = [Member(edge.front_port) for _ in range(count)]
    tasks = [asyncio.create_task(_play(member, play)) for member in members]
    ends_at = time.monotonic() + CROWD_LIMIT_S
    try:
        while (now := time.monotonic()) < ends_at:
            for watch in watches:
                watch.sample()
            if now - max(member.moved_at for member in members) > QUIET_S:
                break
            await asyncio.sleep(SAMPLE_S)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return members


async def _play(member: Member, play: Play) -> None:
    with suppress(OSError):  # The edge may close the connection.
        await play(member)


class Site:
    """One edge that is a home, or two homes and an edge that forwards to them."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        settings = cluster.platform.settings
        self._link_mbps = 1000.0

        def limited(name: str, **ports: Any) -> dict:
            limits = {"memory_mb": MEMORY_MB, "fd_limit": FD_LIMIT}
            limits["link_mbps"] = self._link_mbps
            return settings(name, **ports) | {"limits": limits}

        cluster.platform.settings = limited

    async def start(self, *, forwards: bool) -> None:
        """Start the edges; the crowd's edge is the last one."""
        for _ in range(2 if forwards else 0):
            await self._start_edge()
        self._link_mbps = 0.001 if forwards else 1000.0
        self.edge = await self._start_edge()
        if forwards:
            await self._wait_until_forwarding()

    async def _start_edge(self) -> EdgeProcess:
        edge = await self.cluster.start_edge()
        limits = (FD_LIMIT, FD_LIMIT)
        resource.prlimit(edge.process.pid, resource.RLIMIT_NOFILE, limits)
        await edge.wait_until_ready()
        return edge

    async def _wait_until_forwarding(self) -> None:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while "forwarded_statements" not in (await self.edge.probe("/metrics"))[1]:
                await self.request("READ ordinary")

    async def request(self, text: str) -> None:
        """Have one ordinary request answered."""
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while not await self._is_answered(text):
                await asyncio.sleep(0.1)

    async def _is_answered(self, text: str) -> bool:
        client = LineClient(self.edge.front_port)
        try:
            if await client.open("lock-db") != "READY I -":
                return False
            lines = await client.send(text)
            return any(line.startswith("COMPLETE d.") for line in lines)
        except (OSError, TimeoutError):
            return False
        finally:
            client.close()

    async def survive(self, count: int, play: Play) -> None:
        """Play a crowd and check what must hold during and after it."""
        watches = [Watch(edge) for edge in self.cluster.edges]
        members = await play_crowd(self.edge, count, play, watches)
        try:
            for watch in watches:
                watch.check()
        finally:
            for member in members:
                member.close()
        await self.request("READ ordinary")
        for watch in watches:
            watch.check()


@pytest.fixture(params=[False, True], ids=["home", "forwarding"])
async def site(tmp_path: Path, request: pytest.FixtureRequest) -> AsyncIterator[Site]:
    cluster = Cluster(tmp_path)
    await cluster.platform.start()
    site = Site(cluster)
    try:
        await site.start(forwards=request.param)
        yield site
    finally:
        await cluster.close()


class TestUnfinishedMessages:
    """Guards against partial messages that are kept without a common bound."""

    async def test_legal_messages_in_one_piece(self, site: Site) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT + LONG_MESSAGE, piece=2 * MIB)

        await site.survive(250, play)

    async def test_legal_messages_in_small_pieces(self, site: Site) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT + LONG_MESSAGE, piece=8192)

        await site.survive(250, play)

    @pytest.mark.parametrize("piece", [2 * MIB, 8192], ids=["one-piece", "pieces"])
    async def test_messages_before_connect_is_complete(
        self, site: Site, piece: int
    ) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(b"CONNECT lock-db " + b"k" * (MIB - 64), piece=piece)

        await site.survive(250, play)

    async def test_messages_far_over_the_limit(self, site: Site) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT + LONG_MESSAGE + b"x" * (4 * MIB), piece=8 * MIB)

        await site.survive(250, play)

    async def test_slow_senders(self, site: Site) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT + LONG_MESSAGE[: 700 * 1024])
            for _ in range(100):
                await asyncio.sleep(0.05)
                await member.send(b"x")

        await site.survive(250, play)


class TestStatementsSentAhead:
    """Guards against input that is read faster than it is served."""

    async def test_small_statements(self, site: Site) -> None:
        statements = b"QUERY q1 READ a\r\n" * 200_000

        async def play(member: Member) -> None:
            await member.connect(receive_buffer=4096)
            await member.send(CONNECT + statements)

        await site.survive(20, play)

    async def test_statements_that_need_no_endpoint(self, site: Site) -> None:
        statements = b"QUERY q1 SETPARAM a b\r\n" * 200_000

        async def play(member: Member) -> None:
            await member.connect(receive_buffer=4096)
            await member.send(CONNECT + statements)

        await site.survive(20, play)

    async def test_large_statements(self, site: Site) -> None:
        statements = (LONG_MESSAGE + b"\r\n") * 10

        async def play(member: Member) -> None:
            await member.connect(receive_buffer=4096)
            await member.send(CONNECT + statements)

        await site.survive(20, play)


class TestSessionState:
    """Guards against values and prepared names that are kept without a bound."""

    @pytest.mark.parametrize("statement", ["SETPARAM v%d %s", "PREPARE p%d READ %s"])
    async def test_many_large_values(self, site: Site, statement: str) -> None:
        text = "x" * (MIB // 2)

        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT)
            await member.receive(4096)
            for number in range(20):
                query = f"QUERY q {statement % (number, text)}\r\n"
                await member.send(query.encode())
                if not await member.receive(4096):
                    return

        await site.survive(40, play)

    async def test_statements_of_sessions_with_large_values(self, site: Site) -> None:
        """A forwarding VM sends a session's values with its statement."""
        text = "x" * (MIB // 2)

        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT)
            await member.receive(4096)
            for number in range(4):
                await member.send(f"QUERY q SETPARAM v{number} {text}\r\n".encode())
                if not await member.receive(4096):
                    return
            await member.send(b"QUERY q READ a\r\n" * 200)
            await member.stay(4.0)

        await site.survive(80, play)


class TestAnswersNotTaken:
    """Guards against answers that are kept for clients that do not take them."""

    async def test_stopped_readers(self, site: Site) -> None:
        await site.request("WRITE big " + "x" * (MIB - 64))
        numbers = itertools.count()

        async def play(member: Member) -> None:
            await member.stay(next(numbers) * ARRIVAL_S)
            await member.connect(receive_buffer=4096)
            await member.send(CONNECT + b"QUERY q READ big\r\n" * 20)
            await member.stay(CROWD_LIMIT_S)

        await site.survive(250, play)

    async def test_slow_readers(self, site: Site) -> None:
        await site.request("WRITE big " + "x" * (MIB - 64))
        numbers = itertools.count()

        async def play(member: Member) -> None:
            await member.stay(next(numbers) * ARRIVAL_S)
            await member.connect(receive_buffer=4096)
            await member.send(CONNECT + b"QUERY q READ big\r\n" * 20)
            while await member.receive(512):
                await asyncio.sleep(0.1)

        await site.survive(250, play)


class TestDescriptors:
    """Guards against clients that take the descriptors which the VM itself needs."""

    async def test_idle_connections_leave_room_for_the_readiness_probe(
        self, site: Site
    ) -> None:
        async def play(member: Member) -> None:
            await member.connect()
            await member.send(CONNECT)
            while await member.receive(4096):
                pass

        watches = [Watch(edge) for edge in site.cluster.edges]
        members = await play_crowd(site.edge, 1500, play, watches)
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                for edge in site.cluster.edges:
                    assert (await edge.probe())[0] in (200, 503)
            for watch in watches:
                watch.check()
        finally:
            for member in members:
                member.close()
        await wait_for(lambda: site.edge.running)
        await site.request("READ ordinary")
