"""Processor time of an edge process for each statement, in two checkouts side by side.

    python -m bench.statement_cost OTHER_CHECKOUT

The checkouts take turns in one run, with the same load, so that what else runs on the
machine acts on both.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path
from statistics import median

from bench.platform_cluster import ROOT, EdgeProcess, LineClient
from celeryjunction.platform.standin import StandinPlatform

ROUNDS = 10
CLIENTS = 6
OPERATIONS = 600
"""Operations of each client in a round: a read, a write, a transaction in turn."""
DATABASES = ("lock-db", "tally-db", "sheet-db")
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


async def run_client(edge: EdgeProcess, number: int) -> int:
    """Run one client's operations; return the number of statements."""
    database = DATABASES[number % len(DATABASES)]
    client = LineClient(edge.front_port)
    await client.open(database)
    statements = 0
    for operation in range(OPERATIONS):
        item = f"c{number}"
        texts = [f"READ {item}"]
        if operation % 3 == 1 and not database.startswith("sheet"):
            texts = [f"WRITE {item} v{operation}"]
        elif operation % 3 == 2:
            texts = ["BEGIN", f"READ {item}", "COMMIT"]
        for text in texts:
            await client.send(text)
        statements += len(texts)
    client.close()
    return statements


async def measure(edge: EdgeProcess) -> float:
    """Return the microseconds of processor time for each statement of one round."""
    before = processor_s(edge.process.pid)
    clients = (run_client(edge, number) for number in range(CLIENTS))
    statements = sum(await asyncio.gather(*clients))
    return (processor_s(edge.process.pid) - before) / statements * 1e6


async def run(other: Path) -> None:
    """Measure both checkouts in turns and print the medians and their ratio."""
    costs: dict[str, list[float]] = {"this": [], "other": []}
    programs = {"this": ROOT, "other": other}
    for round_number in range(ROUNDS):
        order = list(programs)[:: 1 if round_number % 2 else -1]
        for name in order:
            platform = StandinPlatform()
            await platform.start()
            with tempfile.TemporaryDirectory() as folder:
                edge = EdgeProcess(platform, Path(folder), "edge-0")
                edge.program = str(programs[name].resolve() / "deploy/edge.py")
                edge.environment["PYTHONPATH"] = ""
                try:
                    await edge.start()
                    await edge.wait_until_ready()
                    costs[name].append(await measure(edge))
                finally:
                    await edge.stop(signal.SIGKILL)
                    await platform.close()
    for name, values in costs.items():
        shown = " ".join(f"{value:.0f}" for value in values)
        print(f"{name}: median {median(values):.0f} us a statement ({shown})")
    print(f"ratio {median(costs['this']) / median(costs['other']):.3f}")


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1])))
