"""The edge program: connects a node to the platform and serves until it is stopped."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import os
import signal
import sys
from random import Random

from celeryjunction.adapters.http_client import HttpClient, HttpResponder
from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.follower import PrefixFollower
from celeryjunction.log_stream import BackgroundStream
from celeryjunction.logs import get_logger, set_up_logs
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.node import Node, NodeLimits
from celeryjunction.node_page import NodePage
from celeryjunction.platform.endpoints import LineDialer
from celeryjunction.platform.frontend import LineFrontend
from celeryjunction.platform.promotion import HttpPromoter
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
    internal_address,
    load_settings,
    split_address,
)
from celeryjunction.platform.store import HttpStore
from celeryjunction.ports import BootClock, Clock, WatchEvent
from celeryjunction.relay.placement import MIN_CORES
from celeryjunction.replication.register import EndpointRegister
from celeryjunction.watch_wait import WatchWait

SETTINGS_POLL_S = 2.0
"""Interval at which the settings file is read: it may change without a SIGHUP."""
METRICS_PORT_VARIABLE = "CELERYJUNCTION_METRICS_PORT"
"""Environment variable with a second port for the HTTP server. The deployment's files
set it, because a scraper needs a metrics port that is known in advance."""
EXIT_BAD_SETTINGS = 2

_log = get_logger("edge")


class Edge:
    """Builds one VM's node with the platform's clients, and its listeners."""

    def __init__(self, settings: EdgeSettings) -> None:
        self._settings = settings
        clock, random = BootClock(), Random()
        self._clock = clock
        self._dialer = LineDialer(client_name=settings.node_name, clock=clock)
        self._store_client = HttpClient(*split_address(settings.platform.address))
        bounds = settings.bounds
        self._store = store = HttpStore(self._store_client)
        store.watch_wait = wait = WatchWait(bounds.config_apply_ms, bounds.contact_ms)
        self._config = PrefixFollower(store, CONFIG_PREFIX, clock=clock, random=random)
        self._config.is_small = True
        self._config.subscribe(self._apply_config)
        register = EndpointRegister(
            store,
            REGISTER_PREFIX,
            decode=decode_endpoint,
            clock=clock,
            random=random,
            watch_silence_s=wait.longest_silence_s,
        )
        promotion_client = HttpClient(*split_address(settings.cloud_api.address))
        self.node = Node(
            vm=settings.node_name,
            zone=settings.zone,
            limits=_make_limits(settings),
            store=store,
            dialer=self._dialer,
            promoter=HttpPromoter(promotion_client),
            register=register,
            membership=_make_membership(settings, store, clock, random),
            counters=self._io_counters,
            clock=clock,
            random=random,
            history=store.history,
        )
        self.node.follow_routes(self._config, store)

    async def start(self) -> None:
        """Open the listeners, then start the node and its watches of the platform.

        The node reports that it is ready once it has routes, endpoints and proven
        groups.
        """
        listen = self._settings.listen
        host, port = split_address(listen.front)
        limits = self._settings.limits
        guard = self.node.limit_clients(limits.memory_mb, int(limits.fd_limit))
        frontend = LineFrontend(
            host=host,
            port=port,
            open_session=self.node.open_session,
            clock=self._clock,
            guard=guard,
        )
        await frontend.start()
        await self.node.home_server.start(*internal_address(self._settings))
        host, port = split_address(listen.ready)
        loop = asyncio.get_running_loop()
        page = NodePage(self.node, counters=self._io_counters)
        http_ports = {port, int(os.environ.get(METRICS_PORT_VARIABLE) or port)}
        for http_port in http_ports:
            await loop.create_server(
                lambda: HttpResponder(page.respond), host, http_port
            )
        self.node.start(frontend)
        self.node.start_service("config", self._config.run)
        self.node.start_service("settings", self._watch_settings)

    def _apply_config(self, event: WatchEvent) -> None:
        if event.key == CONFIG_KEY and event.value is not None:
            self.node.apply_routes(decode_config(event.value))

    def _io_counters(self) -> dict[str, object]:
        return {
            "endpoint_connections_opened": self._dialer.connections_opened,
            "endpoint_commands": dict(self._dialer.counts.commands),
            "endpoint_answers_discarded": dict(self._dialer.counts.discarded),
            "store_calls": dict(self._store_client.calls),
            "store_era": self._store.history.era,
        }

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._store.watch_wait.peer_reports_changes = self.node.is_forwarding_only
            self.reload_settings()

    def reload_settings(self) -> None:
        """Read the settings again.

        Changed bounds apply at once; all other changes apply after a restart.
        """
        try:
            settings = load_settings()
        except SettingsError as error:
            _log.warning("settings_not_read", reason=str(error))
            return
        if settings != self._settings:
            self._settings = settings
            self.node.limits = _make_limits(settings)
            _log.info("settings_reloaded", vm=settings.node_name)


def _make_limits(settings: EdgeSettings) -> NodeLimits:
    bounds = settings.bounds
    quota = QuotaBound(bounds.quota_window_s, bounds.quota_overrun, bounds.quota_slack)
    return NodeLimits(
        drain_s=bounds.drain_ms / 1000,
        grace_s=bounds.grace_s,
        routes_s=bounds.config_apply_ms / 1000,
        quota=quota,
    )


def _make_membership(
    settings: EdgeSettings, store: HttpStore, clock: Clock, random: Random
) -> Membership:
    now = clock.wall()
    record = VmRecord(
        name=settings.node_name,
        zone=settings.zone,
        peer_address="{}:{}".format(*internal_address(settings)),
        sql_address=settings.listen.front,
        status_address=settings.listen.ready,
        incarnation=int(now * 1_000_000),
        started_at=now,
        link_mbps=settings.limits.link_mbps,
        cores=max(settings.limits.cpu_share * settings.limits.cores, MIN_CORES),
    )
    return Membership(store, record, clock=clock, random=random, history=store.history)


async def _serve(settings: EdgeSettings) -> None:
    edge = Edge(settings)
    await edge.start()
    gc.freeze()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, edge.node.stop)
    loop.add_signal_handler(signal.SIGINT, edge.node.stop)
    loop.add_signal_handler(signal.SIGHUP, edge.reload_settings)
    await edge.node.stopped.wait()


def main() -> int:
    """Run the edge program; return its exit code."""
    try:
        settings = load_settings()
    except SettingsError as error:
        print(f"celeryjunction: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    faulthandler.register(signal.SIGUSR1)  # Dumps all thread stacks to standard error.
    stream = BackgroundStream(sys.stdout.fileno())
    set_up_logs("info", stream=stream)
    # libuv would otherwise use io_uring, which the platform does not allow.
    os.environ.setdefault("UV_USE_IO_URING", "0")
    from uvloop import new_event_loop

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_serve(settings))
    stream.close()
    return 0
