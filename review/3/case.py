"""A home that is stopped rolls back a transaction while it retries its statement."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

from harness.backend import Service
from harness.deployment import Client, Deployment, EdgeProcess, run_case

EDGES = 3
"""Edges of one zone: the third one forwards to the other two."""
SETTLE_S = 4.0
CLIENTS = 24
OPENED_BEFORE_S = 0.3
"""Time from the first statement of the transactions to SIGTERM."""
RESUME_S = 2.9
"""Time after SIGTERM at which the consumers go on with their transactions."""
RESUME_SPREAD_S = 0.1
STATEMENTS = 7
"""Further statements of a transaction."""
PAUSE_S = 0.01
BURST = (2.5, 5.5)
"""Time of the burst after SIGTERM, in which the primary refuses statements."""
BUSY_SHARE = 0.5
PROMISES = (b"BUSY", b"ABORTED", b"LAGGING", b"READONLY", b"MISROUTED", b"OVERLOAD")


async def find_homes(
    deployment: Deployment, service: Service
) -> tuple[EdgeProcess, EdgeProcess]:
    """Return the edge that forwards and the home that it forwards to."""
    edges = {edge.name: edge for edge in deployment.edges}
    for edge in deployment.edges:
        client = Client(deployment.record, edge.host, edge.front)
        await client.open("firme")
        await client.query(b"WRITE probe " + edge.name.encode())
        client.close()
        caller = next(r for r in service.runs if r.request_id == client.last_id).caller
        if caller != edge.name:
            deployment.record.say("found", f"{edge.name} forwards to {caller}")
            return edge, edges[caller]
    raise RuntimeError("no edge forwards")


class Attempt:
    """One consumer attempt: a transaction of several writes."""

    def __init__(self, deployment: Deployment, edge: EdgeProcess, number: int) -> None:
        self.client = Client(deployment.record, edge.host, edge.front)
        self.number = number
        self.ids: set[bytes] = set()
        self.items: set[bytes] = set()
        self.promise = b""
        """The answer that promises that nothing is kept."""
        self.ended = False

    async def open(self) -> None:
        """Open the session and the transaction, with a first write."""
        opened = await self.client.open("firme")
        if not opened.startswith(b"READY"):
            raise RuntimeError(f"no session: {opened!r}")
        await self.send(b"BEGIN")
        await self.write(0)

    async def write(self, index: int) -> None:
        """Write one item of its own."""
        item = b"a%d.%d" % (self.number, index)
        self.items.add(item)
        await self.send(b"WRITE %b v" % item)

    async def send(self, text: bytes) -> None:
        """Send a statement and note what its answer promises."""
        lines = await self.client.query(text, limit_s=5.0)
        self.ids.add(self.client.last_id)
        for line in lines:
            word, _, rest = line.partition(b" ")
            code = rest.split(b" ")[0]
            if word == b"ERROR":
                self.ended = True
                if code in PROMISES and not self.promise:
                    self.promise = line
        self.ended = self.ended or not lines[-1]
        self.failed = lines[-1].startswith(b"READY E")

    async def go_on(self, pause_s: float) -> None:
        """Send the rest of the transaction; end it with COMMIT."""
        await asyncio.sleep(pause_s / 2)
        await self.write(1)
        await asyncio.sleep(pause_s / 2)
        for index in range(2, STATEMENTS + 2):
            await self.write(index)
            if self.ended or self.failed:
                break
            await asyncio.sleep(PAUSE_S)
        if not self.ended:
            await self.send(b"COMMIT")
        self.client.close()


def check(deployment: Deployment, service: Service, attempts: list[Attempt]) -> bool:
    """Return whether no attempt with a promise has a committed write."""
    primary = service.primary
    committed = {item for _, changes in primary.log for item in changes}
    states = {run.request_id: run.state for run in service.runs}
    broken = 0
    for attempt in attempts:
        kept = sorted(attempt.items & committed)
        if attempt.promise and kept:
            broken += 1
            deployment.record.say("REFUSED", attempt.promise, "but committed:", *kept)
        outside = [i for i in sorted(attempt.ids) if states.get(i) == b"I"]
        for request_id in outside:
            if any(r.request_id == request_id and b"BEGIN" not in r.text
                   for r in service.runs):  # fmt: skip
                deployment.record.say("PINNED", "outside its transaction:", request_id)
    promised = sum(bool(attempt.promise) for attempt in attempts)
    deployment.record.say("attempts", len(attempts), f"{promised} with a promise")
    return not broken


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Stop the home in a burst; return whether its promises were kept."""
    generator = random.Random()
    for _ in range(EDGES):
        deployment.add_edge("miraflores").start()
    for edge in deployment.edges:
        await edge.wait_until_ready()
    await asyncio.sleep(SETTLE_S)
    service = deployment.services["libro"]
    forwarding, home = await find_homes(deployment, service)
    attempts = [Attempt(deployment, forwarding, n) for n in range(CLIENTS)]
    for attempt in attempts:
        await attempt.open()
    await asyncio.sleep(OPENED_BEFORE_S)
    loop = asyncio.get_running_loop()
    stopped_at = loop.time()

    def fault(text: bytes, state: bytes) -> bytes | None:
        since = loop.time() - stopped_at
        if BURST[0] <= since < BURST[1] and generator.random() < BUSY_SHARE:
            return b"BUSY"
        return None

    if trouble:
        home.signal(signal.SIGTERM)
        for backend in service.backends:
            backend.fault = fault
    await asyncio.gather(
        *(
            attempt.go_on(RESUME_S + RESUME_SPREAD_S * generator.random())
            for attempt in attempts
        )
    )
    await asyncio.sleep(1.0)
    return check(deployment, service, attempts)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
