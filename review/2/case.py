"""A new replica that can't register yet is left out when its primary is replaced."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from harness.backend import Backend
from harness.deployment import BACKEND_HOST, Client, Deployment, run_case

CLIENTS = 36
PAUSE_S = 0.03
USUAL_S = 5.0
"""Time with requests before the release."""
CUT_S = 5.0
"""Time for which the new backend is cut off from the store."""
DRAIN_AFTER_S = 1.5
"""Time from the start of the new backend until the old one reports `draining`."""
JUDGED_S = 10.0
"""Time with requests after the old backend reported `draining`."""


class Writer:
    """A consumer that writes items of its own, one after the other."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        self._deployment = deployment
        self._number = number
        self._count = 0
        self.acknowledged: set[bytes] = set()

    async def run(self, ends_at: float) -> None:
        """Write until the given time; reconnect when the session ends."""
        loop = asyncio.get_running_loop()
        edges = self._deployment.edges
        while loop.time() < ends_at:
            edge = edges[self._number % len(edges)]
            client = Client(self._deployment.record, edge.host, edge.front)
            try:
                if (await client.open("firme")).startswith(b"READY"):
                    await self._write(client, ends_at)
            except OSError:
                pass
            client.close()
            await asyncio.sleep(PAUSE_S)

    async def _write(self, client: Client, ends_at: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < ends_at:
            self._count += 1
            item = b"w%d.%d" % (self._number, self._count)
            lines = await client.query(b"WRITE %b v" % item, limit_s=3.0)
            if lines[0].startswith(b"COMPLETE d."):
                self.acknowledged.add(item)
            if not lines[-1].startswith(b"READY I"):
                return
            await asyncio.sleep(PAUSE_S)


async def play(deployment: Deployment, trouble: bool) -> bool:
    """Replace the primary by a new backend; return whether all commits are kept."""
    for zone in ("miraflores", "surco", "san-isidro"):
        deployment.add_edge(zone).start()
    for edge in deployment.edges:
        await edge.wait_until_ready()
    service = deployment.services["libro"]
    old = service.primary
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + USUAL_S + DRAIN_AFTER_S + JUDGED_S
    writers = [Writer(deployment, number) for number in range(CLIENTS)]
    writing = [asyncio.create_task(writer.run(ends_at)) for writer in writers]
    await asyncio.sleep(USUAL_S)
    new = Backend(service, "i-libro4", old.zone, BACKEND_HOST)
    await service.add(new)
    deployment.record.say("backend", new.id, "started")
    if trouble:
        # Its entry arrives when the path to the store is back.
        loop.call_later(CUT_S, deployment.register, new)
    else:
        deployment.register(new)
    await asyncio.sleep(DRAIN_AFTER_S)
    deployment.register(old, state="draining")
    deployment.record.say("backend", old.id, "reported draining")
    await asyncio.gather(*writing)
    await asyncio.sleep(0.5)
    leader = service.primary
    deployment.record.say("primary", leader.id, "term", leader.term)
    kept = {item for _, changes in leader.log for item in changes}
    acknowledged = set().union(*(writer.acknowledged for writer in writers))
    lost = sorted(acknowledged - kept)
    deployment.record.say("commits", f"{len(acknowledged)} acknowledged")
    if leader is old:
        raise RuntimeError("the primary was not replaced")
    if lost:
        deployment.record.say("LOST", len(lost), "acknowledged commits:", *lost)
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
