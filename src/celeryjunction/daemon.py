"""The proxy daemon: wires the modules together and runs them until a stop signal."""

from __future__ import annotations

import asyncio
import os
import signal
import ssl
from collections.abc import Coroutine
from random import Random

import uvloop

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.adapters.pg_endpoint import EndpointLogin, PgConnector
from celeryjunction.adapters.pg_server import PgFrontend
from celeryjunction.contract import Contract, ContractError, parse_contract
from celeryjunction.contracts_store import StoredContract
from celeryjunction.directory import StaticDirectory, StoreDirectory
from celeryjunction.forwarding import Forwarding
from celeryjunction.group import Group
from celeryjunction.local import PROBE_CONNECTIONS, home_connections
from celeryjunction.logs import get_logger, set_up_logs
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.peers import Identity
from celeryjunction.ports import Clock, EndpointRecord, GroupRecord, SystemClock
from celeryjunction.service import GroupService
from celeryjunction.sessions import Sessions, StaticContracts
from celeryjunction.settings import ProxySettings
from celeryjunction.status import StatusServer
from celeryjunction.work import Work

MAINTENANCE_INTERVAL_S = 1.0
"""Interval at which idle connections are closed, also those of leaving endpoints."""
DRAIN_POLL_S = 0.05
"""Interval at which a drain checks for open work."""
ENDPOINT_USER = "celeryjunction"

_log = get_logger("daemon")


class StoreContracts:
    """Contracts from the key-value service, decoded once per change."""

    __slots__ = ("_contracts",)

    def __init__(self, directory: StoreDirectory) -> None:
        self._contracts: dict[str, Contract] = {}
        for stored in directory.contracts.values():
            self._store_parsed(stored)
        directory.on_contract_change(self._store_parsed)

    def contract(self, customer: str) -> Contract | None:
        """Return the customer's contract; None without one."""
        return self._contracts.get(customer)

    def _store_parsed(self, stored: StoredContract) -> None:
        contract = parse_contract(stored.text, comments=False)
        self._contracts[contract.customer] = contract


def _report_replaced_store() -> None:
    _log.error(
        "store_replaced", alarm=1, reason="the service answers as another cluster"
    )


def _contract_problems(text: str) -> list[str]:
    try:
        # Contracts are stored as plain JSON. Parsing one with comments takes 60 µs per
        # character and blocks the event loop, and so all clients, meanwhile.
        parse_contract(text, comments=False)
    except ContractError as error:
        return [str(problem) for problem in error.problems]
    return []


class Proxy:
    """One proxy process, configured by its settings."""

    def __init__(self, settings: ProxySettings, *, clock: Clock | None = None) -> None:
        self._settings = settings
        self._clock = clock or SystemClock()
        self._random = Random()
        self._metrics = Metrics()
        self._groups: dict[str, Group] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._store: EtcdStore | None = None
        self._membership: Membership | None = None
        self._forwarding: Forwarding | None = None
        self._draining = False
        self._closing = False
        self._ready = False
        self.stopped = asyncio.Event()

    @property
    def port(self) -> int:
        """Port for client connections."""
        return self._frontend.port

    @property
    def status_port(self) -> int:
        """Port of the status server."""
        return self._status.port

    async def start(self) -> None:
        """Connect to the platform and serve clients."""
        settings = self._settings
        self._connector = PgConnector(
            EndpointLogin(
                user=ENDPOINT_USER,
                application_name=f"celeryjunction/{settings.vm}/{settings.zone}",
            ),
            clock=self._clock,
        )
        contracts = await self._start_directory()
        self._sessions = Sessions(
            contracts=contracts,
            group=self._group,
            clock=self._clock,
            observe=self._observe,
        )
        await self._start_servers()
        self._start_task(self._maintain())
        self._ready = True
        _log.info("proxy_started", vm=settings.vm, zone=settings.zone, port=self.port)

    def stop(self) -> None:
        """Start to drain; a second call closes everything at once."""
        self._start_task(self.close() if self._draining else self.drain())

    async def drain(self) -> None:
        """Shut down without interrupting requests.

        The proxy reports that it is not ready, but accepts connections for the notice
        time, so that the load balancer can react, and refuses them afterwards. Open
        connections are closed when idle; the drain limit bounds the wait for the rest.
        """
        if self._draining:
            return
        self._draining = True
        self._ready = False
        limits = self._settings.limits
        _log.info("drain_started", notice_s=limits.drain_notice_s)
        if self._forwarding is not None:
            self._forwarding.leave()
        if self._membership is not None:
            self._membership.update(leaving=True)
        await asyncio.sleep(limits.drain_notice_s)
        await self._frontend.stop_accepting()
        self._sessions.start_draining()
        try:
            async with asyncio.timeout(limits.drain_limit_s):
                await self._frontend.drain_connections()
                # Work for other proxies must finish as well.
                while self._open_work_count:
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            _log.warning("drain_limit_reached", limit_s=limits.drain_limit_s)
        _log.info(
            "drain_finished",
            left=self._frontend.connections,
            busy=self._open_work_count,
        )
        await self.close()

    @property
    def _open_work_count(self) -> int:
        """Number of sessions with open work, plus forwarded work of other proxies."""
        forwarded = self._forwarding.in_flight if self._forwarding is not None else 0
        return self._sessions.busy_count + forwarded

    async def close(self) -> None:
        """Close everything at once."""
        if self._closing:
            return
        self._closing = True
        self._ready = False
        try:
            await self._close_components()
        finally:
            self.stopped.set()

    async def _close_components(self) -> None:
        await self._frontend.close()
        # `drain` may run as one of the tasks and must not cancel itself.
        tasks = self._tasks - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._forwarding is not None:
            await self._forwarding.close()
        if self._membership is not None:
            await self._membership.leave()
        for group in self._groups.values():
            await group.close()
        if self._store is not None:
            await self._store.close()
        await self._status.close()

    async def _start_directory(self):
        settings = self._settings
        if settings.store is None:
            self._directory = StaticDirectory(settings.groups or ())
            return StaticContracts(settings.contracts or ())
        self._store = EtcdStore(
            settings.store.endpoints, name=settings.vm, zone=settings.zone
        )
        directory = StoreDirectory(
            self._store,
            clock=self._clock,
            random=self._random,
            check_contract=_contract_problems,
            history=self._store.history,
        )
        self._directory = directory
        directory.on_group_change(self._group_changed)
        contracts = StoreContracts(directory)
        self._start_task(directory.run())
        await directory.synced()
        await self._join_peers(directory)
        return contracts

    async def _join_peers(self, directory: StoreDirectory) -> None:
        settings = self._settings
        identity = Identity(settings.vm, int(self._clock.wall() * 1_000_000))
        self._forwarding = Forwarding(
            identity,
            settings.peers,
            make_group=self._new_group,
            has_database=directory.has_database,
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
        )
        await self._forwarding.start()
        record = VmRecord(
            name=settings.vm,
            zone=settings.zone,
            peer_address=self._forwarding.peer_address,
            heartbeat_address=self._forwarding.heartbeat_address,
            sql_address=f"{settings.listen.host}:{settings.listen.port}",
            status_address=f"{settings.status.host}:{settings.status.port}",
            incarnation=identity.incarnation,
            started_at=self._clock.wall(),
            applied_revision=directory.applied_revision,
        )
        history = self._store.history
        membership = Membership(
            self._store,
            record,
            clock=self._clock,
            random=self._random,
            history=history,
        )
        self._membership = membership
        history.subscribe(membership.withdraw_applied_revision)
        history.subscribe(_report_replaced_store)
        # The directory subscribed first, so it has already applied the change.
        directory.contracts_follower.subscribe(
            lambda _: membership.update(applied_revision=directory.applied_revision)
        )
        membership.on_vm_count(directory.set_vm_count)
        self._start_task(membership.run())
        await membership.follower.synced.wait()
        self._forwarding.join(membership)

    async def _start_servers(self) -> None:
        settings = self._settings
        tls = settings.listen.tls
        context = None
        if tls is not None:
            context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            context.load_cert_chain(tls.certificate, tls.key)
        self._frontend = PgFrontend(
            self._sessions,
            host=settings.listen.host,
            port=settings.listen.port,
            reuse_port=settings.listen.reuse_port,
            ssl_context=context,
            max_message_bytes=settings.limits.message_bytes,
            login_timeout_s=settings.limits.login_timeout_s,
            clock=self._clock,
        )
        await self._frontend.start()
        self._status = StatusServer(
            settings,
            ready=lambda: self._ready,
            status=self._snapshot,
            metrics=self._metrics.snapshot,
            drain=lambda: self._start_task(self.drain()),
        )
        await self._status.start()

    def _group(self, database: str) -> GroupService | None:
        if self._forwarding is not None:
            return self._forwarding.group(database)
        group = self._groups.get(database)
        if group is None and self._directory.group(database) is not None:
            group = self._groups[database] = self._new_group(database)
        return group

    def _new_group(
        self, database: str, marks: dict[str, tuple[int, int]] | None = None
    ) -> Group:
        group = Group(
            database,
            directory=self._directory,
            connector=self._connector,
            connections=self._connections,
            zone=self._settings.zone,
            clock=self._clock,
            random=self._random,
            marks=marks,
        )
        group.update_record(self._directory.group(database))
        return group

    def _group_changed(self, database: str, record: GroupRecord | None) -> None:
        if self._forwarding is not None and record is not None:
            self._forwarding.update_record(database, record)

    def _local_groups(self) -> dict[str, Group]:
        """Return the groups that run in this process."""
        if self._forwarding is None:
            return self._groups
        groups = self._forwarding.local_groups
        return {
            local.database: local.group for local in groups if local.group is not None
        }

    def _connections(self, endpoint: EndpointRecord) -> int:
        if self._forwarding is not None:
            return home_connections(endpoint)
        share = int(endpoint.connections * self._settings.connection_share)
        return max(share - PROBE_CONNECTIONS, 1)

    def _observe(self, work: Work, seconds: float, ok: bool) -> None:
        self._metrics.record_latency(
            rank=work.rank, customer=work.customer, endpoint="", seconds=seconds
        )
        if not ok:
            self._metrics.count("failed_statements", customer=work.customer)

    def _snapshot(self) -> dict[str, object]:
        groups = self._local_groups()
        snapshot = {
            "vm": self._settings.vm,
            "zone": self._settings.zone,
            "ready": self._ready,
            "draining": self._draining,
            **self._store_snapshot(),
            "clients": self._frontend.connections,
            "sessions": self._sessions.count,
            "busy": self._sessions.busy_count,
            "groups": {name: group.snapshot() for name, group in groups.items()},
        }
        if self._forwarding is not None:
            snapshot["forwarding"] = self._forwarding.snapshot()
        return snapshot

    def _store_snapshot(self) -> dict[str, object]:
        directory = self._directory
        if not isinstance(directory, StoreDirectory):
            return {}
        return {
            "applied_revision": directory.applied_revision,
            "contracts": {
                name: stored.revision for name, stored in directory.contracts.items()
            },
            "store_age_s": round(directory.age_s, 3),
            "control": self._control_snapshot(),
        }

    def _control_snapshot(self) -> dict[str, object]:
        """Return counts of calls to the key-value service and of control bytes."""
        store = self._store
        counts = {
            "store_calls": dict(store.calls),
            "store_bytes_sent": store.bytes_sent,
            "store_bytes_received": store.bytes_received,
        }
        if self._forwarding is not None:
            sent, received = self._forwarding.heartbeat_bytes
            counts["heartbeat_bytes_sent"] = sent
            counts["heartbeat_bytes_received"] = received
        return counts

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            for group in self._local_groups().values():
                group.close_idle_to_leaving()
                for handle in group.handles.values():
                    handle.pool.close_idle()

    def _start_task(self, coroutine: Coroutine[object, object, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("task_failed", reason=repr(error))


async def _serve(settings: ProxySettings) -> None:
    proxy = Proxy(settings)
    loop = asyncio.get_running_loop()
    await proxy.start()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, proxy.stop)
    await proxy.stopped.wait()


def run_proxy(settings: ProxySettings) -> None:
    """Run the proxy until it has drained after SIGTERM or SIGINT."""
    # libuv would otherwise use io_uring, which the platform forbids.
    os.environ["UV_USE_IO_URING"] = "0"
    set_up_logs(settings.log_level)
    uvloop.run(_serve(settings))
