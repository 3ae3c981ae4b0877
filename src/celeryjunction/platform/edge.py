"""The edge program: wires the product to the platform and runs until told to stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Coroutine
from math import ceil
from random import Random

from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.failover.claims import Claims
from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.supervisor import Supervisor
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.follower import PrefixFollower
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.session import StatementSession
from celeryjunction.log_stream import BackgroundStream
from celeryjunction.logs import get_logger, set_up_logs
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.platform.frontend import LineFrontend
from celeryjunction.platform.http import HttpClient, HttpResponder
from celeryjunction.platform.promotion import PromotionCall
from celeryjunction.platform.records import (
    CONFIG_KEY,
    CONFIG_PREFIX,
    REGISTER_PREFIX,
    decode_config,
    decode_endpoint,
)
from celeryjunction.platform.settings import (
    EdgeSettings,
    SettingsError,
    load_settings,
    split_address,
)
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import BootClock, WatchEvent
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.replication.register import EndpointRegister
from celeryjunction.replication.roster import GroupRoster

MAINTENANCE_S = 0.5
"""Interval at which idle connections and usable endpoints are looked over."""
NOTICE_S = 2.4
"""Time from SIGTERM until idle callers are closed: the balancer asks once a second and
takes a VM out after two misses."""
DRAIN_POLL_S = 0.05
EXIT_MARGIN_S = 0.6
"""The program ends so long before it would be killed."""
DRAIN_MARGIN_S = 1.5
"""A draining primary gets nothing new so long before the platform's bound: the
register is listed once a second, and a statement is on its way for a while."""
PROVEN_S = 1.5
"""A group without proof for so long does not count as served: two samples failed."""
ISOLATED_SHARE = 0.6
"""Part of the other zones' endpoints that do not answer a VM that is cut off. The loss
of one zone of three takes half of them."""
MISSES = 2
"""Questions without a 200 after which the balancer takes a VM out."""
SETTINGS_POLL_S = 2.0
"""Interval at which the settings file is looked at; it may change without a signal."""
SUMMARY_S = 10.0
"""Interval of the log line that sums up what this process does."""
EXIT_BAD_SETTINGS = 2

_log = get_logger("edge")


class Edge:
    """One edge process."""

    def __init__(self, settings: EdgeSettings) -> None:
        self._settings = settings
        self._clock = BootClock()
        self._random = Random()
        self._metrics = Metrics()
        self._gateway = Gateway(clock=self._clock, metrics=self._metrics)
        self._dialer = LineDialer(caller=settings.node_name, clock=self._clock)
        self._store_client = HttpClient(*split_address(settings.platform.address))
        self._store = HttpStore(self._store_client)
        self._duty_client = HttpClient(*split_address(settings.cloud_api.address))
        self._promoter = PromotionCall(self._duty_client)
        self._claims = Claims(self._store, vm=settings.node_name, clock=self._clock)
        self._suspicions = Suspicions(self._store, vm=settings.node_name)
        self._register = EndpointRegister(
            self._store,
            REGISTER_PREFIX,
            decode=decode_endpoint,
            clock=self._clock,
            random=self._random,
        )
        self._register.subscribe(lambda _: self._apply_endpoints())
        self._config = PrefixFollower(
            self._store, CONFIG_PREFIX, clock=self._clock, random=self._random
        )
        self._config.subscribe(self._config_changed)
        self._membership = self._new_membership()
        self._supervisors: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._draining = False
        self._was_ready: bool | None = None
        self._misses = 0
        self.stopped = asyncio.Event()

    def _new_membership(self) -> Membership:
        settings = self._settings
        now = self._clock.wall()
        record = VmRecord(
            name=settings.node_name,
            zone=settings.zone,
            peer_address=settings.listen.control,
            sql_address=settings.listen.front,
            status_address=settings.listen.ready,
            incarnation=int(now * 1_000_000),
            started_at=now,
        )
        return Membership(self._store, record, clock=self._clock, random=self._random)

    async def start(self) -> None:
        """Listen at once and follow the platform; readiness comes with both."""
        settings = self._settings
        host, port = split_address(settings.listen.front)
        self._frontend = LineFrontend(
            host=host, port=port, open_session=self._open_session, clock=self._clock
        )
        await self._frontend.start()
        host, port = split_address(settings.listen.ready)
        loop = asyncio.get_running_loop()
        self._ready_server = await loop.create_server(
            lambda: HttpResponder(self._answer_probe), host, port
        )
        for work in (
            self._config.run(),
            self._register.run(),
            self._membership.run(),
            self._maintain(),
        ):
            self._start_task(work)
        _log.info("started", vm=settings.node_name, zone=settings.zone)

    # What the platform says

    def _config_changed(self, event: WatchEvent) -> None:
        if event.key != CONFIG_KEY or event.value is None:
            return
        table = decode_config(event.value)
        if table is not None and self._gateway.take_routes(table):
            self._membership.update(applied_revision=event.revision)
            self._apply_endpoints()

    def _apply_endpoints(self) -> None:
        """Give each group its endpoints, and each dispatcher those it may use."""
        by_group: dict[str, dict[str, EndpointInfo]] = {
            name: {} for name in self._gateway.groups
        }
        table = self._gateway.table
        if table is not None:
            by_group.update({name: {} for name in table.groups})
        for info in self._register.endpoints.values():
            by_group.setdefault(info.group, {})[info.id] = info
        for name, endpoints in by_group.items():
            group = self._gateway.groups.get(name) or self._add_group(name)
            if endpoints != group.endpoints:
                group.follow(endpoints)
                group.refresh_soon()
            self._gateway.dispatchers[name].follow(
                {key: info for key, info in endpoints.items() if self._usable(info)}
            )

    def _usable(self, info: EndpointInfo) -> bool:
        """Whether an endpoint may get statements.

        A draining one gets none, unless it is the primary and the bound is not near.
        """
        if not info.draining:
            return True
        if self._gateway.groups[info.group].primary != info.id:
            return False
        since = self._register.draining_since.get(info.id, 0.0)
        bound_s = self._settings.bounds.drain_ms / 1000 - DRAIN_MARGIN_S
        return self._clock.monotonic() - since < bound_s

    def _add_group(self, name: str) -> ReplicationGroup:
        roster = GroupRoster(name, self._store, clock=self._clock)
        group = ReplicationGroup(
            name,
            zone=self._settings.zone,
            dialer=self._dialer,
            clock=self._clock,
            roster=roster,
        )
        self._gateway.groups[name] = group
        dispatcher = Dispatcher(
            zone=self._settings.zone,
            dialer=self._dialer,
            clock=self._clock,
            random=self._random,
            max_links=self._max_links,
        )
        dispatcher.on_stuck = lambda _: group.nudged.set()
        self._gateway.dispatchers[name] = dispatcher
        coordinator = Coordinator(
            group,
            roster=roster,
            claims=self._claims,
            promoter=self._promoter,
            vm=self._settings.node_name,
            clock=self._clock,
            random=self._random,
            dialer=self._dialer,
            refresh_register=self._register.poll,
        )
        supervisor = Supervisor(
            group,
            coordinator=coordinator,
            suspicions=self._suspicions,
            roster=roster,
            live_vms=self._live_vms,
            dialer=self._dialer,
            clock=self._clock,
            random=self._random,
        )
        self._supervisors[name] = self._start_task(supervisor.run())
        return group

    def _live_vms(self) -> int:
        return len(self._membership.peers()) + 1

    def _max_links(self, info: EndpointInfo) -> int:
        """Return this VM's part of the connections that an endpoint accepts.

        Each VM keeps one more for status.
        """
        table = self._gateway.table
        terms = table.groups.get(info.group) if table is not None else None
        if terms is None:
            return 1
        vms = self._live_vms()
        return max(1, ceil((terms.connection_limit - vms) / vms))

    # Callers and the balancer

    def _open_session(self, database: str) -> StatementSession:
        if self._gateway.table is None:
            raise ProxyError(
                ErrorKind.NOT_RUN_CONNECTION,
                {"database": database, "reason": "no config yet"},
            )
        if self._gateway.route(database) is None:
            raise ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": database})
        return StatementSession(database, gateway=self._gateway)

    @property
    def ready(self) -> bool:
        """Whether new callers are welcome: half of the groups at least are served."""
        gateway = self._gateway
        if (
            self._draining
            or gateway.table is None
            or not self._register.synced.is_set()
        ):
            return False
        if self._isolated:
            return False
        oldest = self._clock.monotonic() - PROVEN_S
        groups = [gateway.groups[name] for name in gateway.table.groups]
        served = sum(group.proven_at >= oldest for group in groups)
        return bool(groups) and 2 * served >= len(groups)

    @property
    def _isolated(self) -> bool:
        """Whether most endpoints of other zones do not answer this VM any more."""
        now = self._clock.monotonic()
        failing = [
            gate.failing or gate.stuck(now)
            for dispatcher in self._gateway.dispatchers.values()
            for gate in dispatcher.gates.values()
            if gate.info.zone != self._settings.zone
        ]
        return bool(failing) and sum(failing) >= ISOLATED_SHARE * len(failing)

    def _answer_probe(self, path: str) -> tuple[int, bytes]:
        if path.startswith("/metrics"):
            return 200, self._metrics_text()
        ready = self.ready
        if ready != self._was_ready:
            self._was_ready = ready
            _log.info("readiness_changed", ready=ready, draining=self._draining)
        self._misses = 0 if ready else self._misses + 1
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _metrics_text(self) -> bytes:
        snapshot = self._metrics.snapshot()
        lines = []
        for row in snapshot["counters"]:
            labels = ",".join(f'{k}="{v}"' for k, v in row["labels"].items())
            lines.append(f"{row['name']}{{{labels}}} {row['value']}")
        for row in snapshot["latency"]:
            labels = f'rank="{row["rank"]}",database="{row["customer"]}"'
            for name in ("count", "p50_us", "p99_us", "p999_us", "max_us"):
                lines.append(f"latency_{name}{{{labels}}} {row[name]}")
        lines += [
            f'store_calls{{call="{name}"}} {calls}'
            for name, calls in sorted(self._store_client.calls.items())
        ]
        lines += [
            f'endpoint_commands{{command="{name}"}} {sent}'
            for name, sent in sorted(self._dialer.sent.items())
        ]
        lines.append(f"endpoint_connections_opened {self._dialer.opened}")
        return ("\n".join(lines) + "\n").encode()

    # Maintenance, reload, stop

    async def _maintain(self) -> None:
        looked_at = summed_up_at = 0.0
        while True:
            await asyncio.sleep(MAINTENANCE_S)
            self._apply_endpoints()
            for name, dispatcher in self._gateway.dispatchers.items():
                statuses = self._gateway.groups[name].statuses
                for endpoint, gate in dispatcher.gates.items():
                    gate.close_idle()
                    gate.note_alive(self._gateway.groups[name].heard_at(endpoint))
                    known = statuses.get(endpoint)
                    if known is not None:
                        gate.others_busy = max(0, known[1].busy - gate.running)
            now = self._clock.monotonic()
            if self._misses >= MISSES and not self._draining:
                # Callers come back elsewhere, where they can be served.
                self._frontend.close_idle()
            if now - looked_at >= SETTINGS_POLL_S:
                looked_at = now
                self.reload()
            if now - summed_up_at >= SUMMARY_S:
                summed_up_at = now
                self._log_summary()

    def _log_summary(self) -> None:
        gateway = self._gateway
        _log.info(
            "summary",
            callers=len(self._frontend.connections),
            running=gateway.running,
            open_transactions=gateway.open_transactions,
            waiting=sum(one.waiting for one in gateway.dispatchers.values()),
            endpoint_connections_opened=self._dialer.opened,
            endpoint_commands=dict(self._dialer.sent),
            store_calls=dict(self._store_client.calls),
        )

    def reload(self) -> None:
        """Read the settings again; bounds change at once, addresses at a restart."""
        try:
            settings = load_settings()
        except SettingsError as error:
            _log.warning("settings_not_read", reason=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            _log.info("settings_reloaded", vm=settings.node_name)

    def stop(self) -> None:
        """Start to drain; further calls change nothing."""
        if not self._draining:
            self._start_task(self._drain())

    async def _drain(self) -> None:
        self._draining = self._gateway.draining = True
        grace_s = self._settings.bounds.grace_s
        started = self._clock.monotonic()
        _log.info("drain_started", connections=len(self._frontend.connections))
        await asyncio.sleep(min(NOTICE_S, grace_s / 2))
        self._frontend.stop_accepting()
        while self._frontend.connections:
            elapsed = self._clock.monotonic() - started
            if elapsed >= grace_s - EXIT_MARGIN_S:
                break
            self._frontend.close_idle()
            if elapsed >= grace_s / 2:
                self._abort_idle_transactions()
            await asyncio.sleep(DRAIN_POLL_S)
        _log.info("drain_finished", connections=len(self._frontend.connections))
        await self._close()

    def _abort_idle_transactions(self) -> None:
        error = ProxyError(ErrorKind.SHUTTING_DOWN)
        for connection in self._frontend.connections:
            if not connection.running and connection.session is not None:
                connection.session.abort(error)

    async def _close(self) -> None:
        await self._frontend.close()
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for dispatcher in self._gateway.dispatchers.values():
            dispatcher.close()
        for group in self._gateway.groups.values():
            group.close()
        try:
            async with asyncio.timeout(EXIT_MARGIN_S / 2):
                await self._membership.leave()
        except TimeoutError:
            _log.warning("lease_left_to_lapse", vm=self._settings.node_name)
        self._ready_server.close()
        _log.info("stopped", vm=self._settings.node_name)
        self.stopped.set()

    def _start_task(
        self, coroutine: Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("task_failed", alarm=1, reason=repr(error))


async def _serve(settings: EdgeSettings) -> None:
    edge = Edge(settings)
    await edge.start()
    gc.freeze()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, edge.stop)
    loop.add_signal_handler(signal.SIGINT, edge.stop)
    loop.add_signal_handler(signal.SIGHUP, edge.reload)
    await edge.stopped.wait()


def main() -> int:
    """Run the edge program; return its exit code."""
    try:
        settings = load_settings()
        stream = BackgroundStream(sys.stdout.fileno())
        set_up_logs("info", stream=stream)
        # libuv may use io_uring, which the platform refuses.
        os.environ.setdefault("UV_USE_IO_URING", "0")
        from uvloop import new_event_loop
    except SettingsError as error:
        print(f"celeryjunction: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(settings))
    stream.close()
    return 0
