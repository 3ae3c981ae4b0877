"""Writes a text of two lines; compares what the backends ran with what was sent."""

from __future__ import annotations

import sys
from pathlib import Path

from harness2.backends import Service
from harness2.consumers import Consumer, Record, new_request_id, run_case
from harness2.deployment import Deployment

ZONES = ["miraflores", "surco", "san-isidro"]
ROUTE = {
    "name": "pedido-firme",
    "host": "lepu270",
    "service": "libro-dulces",
    "kind": "primary",
    "timeout_ms": 1000,
    "goal_ms": 200,
    "priority": 0,
    "max_staleness_ms": 0,
}


async def write_texts(record: Record, has_trouble: bool) -> list[str]:
    """Write two texts at each edge; return the statements that nobody sent."""
    separator = b"\n" if has_trouble else b" "
    service = Service("libro-dulces", ZONES, work_s=lambda: 0.008)
    deployment = Deployment(service, ZONES, [ROUTE])
    sent: dict[bytes, bytes] = {}
    try:
        await deployment.start()
        for number, edge in enumerate(deployment.edges):
            texts = [
                b"WRITE n%d 12 ladoo" % number + separator + b"6 barfi",
                b"WRITE o%d see ticket" % number
                + separator
                + b"QUERY 5c0e7a21d94b36f%d WRITE deposit%d 0" % (number, number),
            ]
            for text in texts:
                request_id = new_request_id()
                sent[request_id] = text
                record.add(f"sent to {edge.name}: {request_id.decode()} {text!r}")
                consumer = Consumer(edge.front_port)
                await consumer.open(ROUTE["host"])
                answer = await consumer.send(request_id, text)
                record.add(f"answered: {request_id.decode()} {answer!r}")
                consumer.close()
    finally:
        await deployment.close()
    broken = []
    for run in service.runs:
        record.add(
            f"{run.backend} ran {run.request_id.decode()} {run.text!r}", at=run.at
        )
        if run.request_id not in sent:
            broken.append(f"ran {run.request_id!r} {run.text!r}, which nobody sent")
        elif run.text != sent[run.request_id]:
            broken.append(f"ran {run.text!r}, sent was {sent[run.request_id]!r}")
    return broken


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(run_case(folder, write_texts, limit_s=60.0))
