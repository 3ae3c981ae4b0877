"""Config changes while single answers of the store are lost, on real edge processes.

``python -m bench.config_lags --seconds 60 --seed 1`` adds and removes a route every 0.3
to 2 s. Each VM is asked for the route when `config_apply_ms` has passed since the ack,
and must then serve it, or no longer have it. The store is never away: it loses at most
`--most-lost` answers of a VM in a row, answers late, cuts watches and closes
connections (`LossyStore`). VMs are killed and started again; each has the bound's time
after its start. Prints the broken rules and how late each version was in force.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Annotated

import typer

from bench.lossy_store import LossyStore
from bench.platform_cluster import EdgeProcess, LineClient, reserve_port
from bench.report import format_table, print_result

BOUND_S = 5.0
"""`config_apply_ms` and `contact_ms` of the largest deployments."""
REGRESSION_S = 0.25
"""`rollback_slack_ms`: time after which a version that was seen must stay in force."""
FIRST_HOST = "base"
"""Route of all configs."""
ZONES = ("zone-0", "zone-1", "zone-2")
GROUP = "db"
CHANGE_PAUSE_S = (0.3, 2.0)
RESTART_PAUSE_S = (3.0, 8.0)
LIFE_S = 7.0
"""Least time from a route's ack to its removal."""
WATCHED_S = 0.15
"""Interval at which each VM is asked for the newest route."""
SETTLE_S = 5.0
"""Time for the VMs to learn of each other before the first change."""
START_S = 60.0
"""Time-out for the start of all processes, with room for a busy machine."""


class TimedEdge(EdgeProcess):
    """An edge process; `in_force` has the time of each version in force."""

    started_at = 0.0

    def __init__(self, platform: ConfigPlatform, folder: Path, name: str) -> None:
        super().__init__(platform, folder, name)
        self.in_force: dict[int, float] = {}

    async def start(self, *, zone: int = 0) -> None:
        """Start the process, and forget what an earlier one had in force."""
        self.in_force = {}
        self.started_at = time.monotonic()
        await super().start(zone=zone)

    async def _read(self) -> None:
        async for line in self.process.stdout:
            self.output += b"%.3f " % time.monotonic() + line
            fields = line.split()
            if b"routes_in_force" in line:
                version = next(f for f in fields if f.startswith(b"version="))
                self.in_force[int(version[8:])] = time.monotonic()

    async def ask(self, host: str) -> str:
        """Open a session; return READY or the code of the error, "" without answer."""
        client = LineClient(self.front_port)
        try:
            words = (await client.open(host)).split()
        except (OSError, TimeoutError):
            return ""
        finally:
            client.close()
        return words[1] if words[:1] == ["ERROR"] else words[0] if words else ""

    async def wait_until_serving(self) -> None:
        """Wait until the process has the first config in force."""
        while await self.ask(FIRST_HOST) != "READY":
            await asyncio.sleep(WATCHED_S)

    def is_judged(self, now: float) -> bool:
        """Whether the process has run for the whole bound, and has any config."""
        return self.running and bool(self.in_force) and now - self.started_at > BOUND_S


class ConfigPlatform:
    """The store, the operator's config and the settings of the edge processes."""

    def __init__(self, store: LossyStore) -> None:
        self._store = store
        self._version = 0
        self._addresses: dict[str, str] = {}
        self._api_port = reserve_port()

    async def add(self, name: str) -> None:
        """Open the store's address for a VM."""
        self._addresses[name] = await self._store.listen(name)

    def configure(self, hosts: list[str], step: int) -> tuple[int, float]:
        """Write a config with these routes; return its version and its ack's time."""
        self._version += step
        config = {
            "version": self._version,
            "routes": [
                {
                    "name": f"r-{host}",
                    "host": host,
                    "prefix": "/",
                    "kind": "primary",
                    "timeout_ms": 800,
                    "goal_ms": 250,
                    "priority": 0,
                    "service": GROUP,
                    "max_attempts": 2,
                }
                for host in hosts
            ],
            "services": [{"name": GROUP, "conn_limit": 22, "sync_replicas": 1}],
            "limits": {"tx_idle_ms": 3000},
        }
        value = json.dumps(config).encode()
        return self._version, self._store.put("op/config", value)

    def settings(
        self, name: str, *, front: int, ready: int, internal: int = 0, zone: int = 0
    ) -> dict:
        """Return the settings of an edge process on loopback ports."""
        return {
            "node_name": name,
            "zone": ZONES[zone],
            "listen": {
                "front": f"127.0.0.1:{front}",
                "ready": f"127.0.0.1:{ready}",
                "control": "",
            },
            "internal_port_range": [internal, internal],
            "platform": {"address": self._addresses[name]},
            "cloud_api": {"address": f"127.0.0.1:{self._api_port}"},
            "bounds": {
                "drain_ms": 10_000,
                "grace_s": 6,
                "config_apply_ms": int(BOUND_S * 1000),
                "contact_ms": int(BOUND_S * 1000),
            },
        }


class ConfigRun:
    """One run; `violations` describes what broke the rule."""

    def __init__(self, *, seed: int, edges: int, most_lost: int, folder: Path) -> None:
        self._random = Random(f"{seed} operator")
        self._restarts = Random(f"{seed} restarts")
        self.store = LossyStore(seed=seed, most_lost=most_lost)
        self._platform = ConfigPlatform(self.store)
        self.edges = [
            TimedEdge(self._platform, folder, f"edge-{number}")
            for number in range(edges)
        ]
        self._hosts: dict[str, float] = {FIRST_HOST: 0.0}
        """Routes of the newest config, with the times of their acks."""
        self._removed: set[str] = set()
        """Routes whose removal was sent."""
        self._acks: dict[int, float] = {}
        self.violations: list[str] = []
        self.lags: list[float] = []
        self.answers: Counter[str] = Counter()
        self._checks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float, *, restarts: bool) -> None:
        """Change the config for some seconds and judge all changes."""
        try:
            self._platform.configure(list(self._hosts), 1)
            for number, edge in enumerate(self.edges):
                await self._platform.add(edge.name)
                await edge.start(zone=number % len(ZONES))
            async with asyncio.timeout(START_S):
                await asyncio.gather(
                    *(edge.wait_until_serving() for edge in self.edges)
                )
            await asyncio.sleep(SETTLE_S)
            watchers = [asyncio.create_task(self._watch(edge)) for edge in self.edges]
            if restarts:
                watchers.append(asyncio.create_task(self._restart_edges()))
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                self._change()
                await asyncio.sleep(self._random.uniform(*CHANGE_PAUSE_S))
            await asyncio.gather(*self._checks)
            for watcher in watchers:
                watcher.cancel()
        finally:
            await asyncio.gather(
                *(edge.stop(signal.SIGKILL) for edge in self.edges if edge.process)
            )
            await self.store.close()

    def _change(self) -> None:
        """Add a route, or remove the oldest one."""
        now = time.monotonic()
        oldest, acked_at = next(iter(list(self._hosts.items())[1:]), ("", now))
        is_removal = now - acked_at > LIFE_S and self._random.random() < 0.5
        host = oldest if is_removal else f"h{len(self._acks)}"
        if is_removal:
            self._removed.add(host)
            del self._hosts[host]
        else:
            self._hosts[host] = now
        version, acked_at = self._platform.configure(
            list(self._hosts), self._random.randint(1, 9)
        )
        if not is_removal:
            self._hosts[host] = acked_at
        self._acks[version] = acked_at
        check = asyncio.create_task(
            self._check(host, version, acked_at, is_served=not is_removal)
        )
        self._checks.add(check)

    async def _check(
        self, host: str, version: int, acked_at: float, *, is_served: bool
    ) -> None:
        """Ask each VM for a route when the bound has passed."""
        await asyncio.sleep(acked_at + BOUND_S - time.monotonic())
        await asyncio.gather(
            *(self._check_at(edge, host, version, is_served) for edge in self.edges)
        )

    async def _check_at(
        self, edge: TimedEdge, host: str, version: int, is_served: bool
    ) -> None:
        asked_at = time.monotonic()
        if not edge.is_judged(asked_at):
            return
        acked_at = self._acks[version]
        applied = [at for v, at in edge.in_force.items() if v >= version]
        self.lags.append(min(applied, default=asked_at) - acked_at)
        answer = await edge.ask(host)
        if not edge.is_judged(asked_at) or not answer:
            return
        if is_served and host in self._removed:
            return
        self.answers[answer] += 1
        if answer == ("NODB" if is_served else "READY"):
            await asyncio.sleep(BOUND_S)
            applied = [at for v, at in edge.in_force.items() if v >= version]
            late_s = min(applied, default=time.monotonic()) - acked_at
            faults = [
                f"{at - acked_at:+.2f} {form} {call}"
                for at, call, form in self.store.links[edge.name].log
                if acked_at - BOUND_S <= at <= asked_at and form == "lost"
            ]
            self.violations.append(
                f"CONFIG: {edge.name} answered {answer} for {host} {BOUND_S:g} s after "
                f"the ack of version {version}; in force after {late_s:.2f} s; lost "
                f"answers: {', '.join(faults) or 'none'}"
            )

    async def _watch(self, edge: TimedEdge) -> None:
        """Ask a VM for the newest routes all the time, and judge regressions."""
        served: dict[str, float] = {}
        started_at = 0.0
        while True:
            await asyncio.sleep(WATCHED_S)
            if edge.started_at != started_at:
                served, started_at = {}, edge.started_at
            host = self._random.choice(list(self._hosts)[-5:])
            sent_at = time.monotonic()
            answer = await edge.ask(host)
            if edge.started_at != started_at:
                continue
            if answer == "READY":
                served.setdefault(host, sent_at)
            seen_s = sent_at - served.get(host, sent_at)
            is_older = answer == "NODB" and host not in self._removed
            if is_older and seen_s > REGRESSION_S:
                self.violations.append(
                    f"CONFIG: {edge.name} answered NODB for {host}, which it served "
                    f"{seen_s:.2f} s before"
                )

    async def _restart_edges(self) -> None:
        """Kill VMs and start them again, one at a time."""
        while True:
            await asyncio.sleep(self._restarts.uniform(*RESTART_PAUSE_S))
            number = self._restarts.randrange(len(self.edges))
            edge = self.edges[number]
            if edge.running:
                await edge.stop(signal.SIGKILL)
                await edge.start(zone=number % len(ZONES))

    def result(self) -> dict[str, object]:
        """Return the figures of the run; times in seconds."""
        lags = sorted(self.lags) or [0.0]
        return {
            "versions": len(self._acks),
            "median_lag": round(lags[len(lags) // 2], 2),
            "lag_99_percent": round(lags[int(0.99 * len(lags))], 2),
            "longest_lag": round(lags[-1], 2),
            "answers_after_the_bound": dict(self.answers),
            "store_calls": dict(self.store.calls),
            "store_answers": dict(self.store.faults),
            "broken": len(self.violations),
        }


def main(
    seconds: Annotated[float, typer.Option(help="Time of the changes.")] = 60.0,
    seed: int = 1,
    edges: int = 12,
    most_lost: Annotated[
        int, typer.Option(help="Answers of a VM that are lost in a row.")
    ] = 2,
    restarts: bool = True,
    logs: Annotated[
        Path | None, typer.Option(help="Folder for the logs of a failed run.")
    ] = None,
) -> None:
    """Run edge processes against a store that loses single answers."""

    async def run() -> ConfigRun:
        with tempfile.TemporaryDirectory() as folder:
            config_run = ConfigRun(
                seed=seed, edges=edges, most_lost=most_lost, folder=Path(folder)
            )
            await config_run.run(seconds, restarts=restarts)
        return config_run

    config_run = asyncio.run(run())
    for violation in config_run.violations:
        print(violation)
    print(format_table(config_run.result()))
    print_result({"seed": seed, **config_run.result()})
    if config_run.violations and logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
        for edge in config_run.edges:
            (logs / f"{edge.name}.log").write_bytes(edge.output)
    sys.exit(1 if config_run.violations else 0)


if __name__ == "__main__":
    typer.run(main)
