"""One VM of the system, independent of the platform: groups, readiness and drain.

The platform's adapter supplies the ports and the limits. A `Node` follows the register
and the routes, runs a dispatcher and a supervisor for each group, reports its readiness
to the load balancer, and drains without interrupting work.
"""

from __future__ import annotations

import asyncio
import math
import resource
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from random import Random
from typing import Protocol

from celeryjunction.adapters.client_guard import ClientGuard
from celeryjunction.allotments.allotments import Allotments
from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.client_limits.limits import ClientLimits
from celeryjunction.dispatch.connection_budget import (
    ConnectionBudget,
    connection_budget,
)
from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.dispatch.gates import IDLE_TIMEOUT_S, EndpointGate
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.failover.claims import Claims
from celeryjunction.failover.coordinator import Coordinator
from celeryjunction.failover.relief import should_hand_over
from celeryjunction.failover.supervisor import Supervisor
from celeryjunction.failover.suspicions import (
    SUSPICION_PREFIX,
    Suspicions,
    suspected_group,
)
from celeryjunction.follower import PrefixFollower
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.organisations import key_digest
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.logs import get_logger
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock, KeyValueStore, WatchEvent
from celeryjunction.reach import EndpointContact, is_cut_off
from celeryjunction.readiness import GroupView, Readiness
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.home_server import HomeServer
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.relay.messages import EndpointList, HomeStatus
from celeryjunction.relay.placement import is_crowded
from celeryjunction.relay.register_sources import SOURCES_AGE_S, RegisterSources
from celeryjunction.relay.session import ForwardingSession
from celeryjunction.replication.control import REACHABLE
from celeryjunction.replication.drain_watch import neighbours
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.member_receipts import MAX_READ_AGE_S
from celeryjunction.replication.ports import EndpointDialer, EndpointInfo, Promoter
from celeryjunction.replication.register import EndpointRegister
from celeryjunction.replication.roster import GroupRoster
from celeryjunction.route_updates.confirmation import (
    UNKNOWN_AGE_S,
    RoutesConfirmation,
)
from celeryjunction.route_updates.reader import ChangesStore, RoutesReader
from celeryjunction.route_updates.time_budget import TimeBudget
from celeryjunction.services import keep_running
from celeryjunction.store_history import StoreHistory

MAINTENANCE_INTERVAL_S = 0.5
"""Interval at which idle connections are closed and usable endpoints updated."""
SUMMARY_S = 10.0
"""Interval of the log line that summarises the load of this process."""
DRAIN_NOTICE_S = 2.4
"""Time from the order to stop until idle clients are closed: the balancer checks once a
second and removes a VM after two failed checks."""
DRAIN_POLL_S = 0.05
"""Interval at which a drain checks for open work."""
EXIT_MARGIN_S = 0.6
"""The process ends this long before it would be killed."""
DRAIN_MARGIN_S = 1.5
"""A draining primary gets no new statements from this long before the platform's bound:
the register is listed only once a second, and statements spend time in transit."""
MAX_PROOF_AGE_S = 1.5
"""A primary that was last proven longer ago, or a group whose endpoints last answered
longer ago, counts as lost: two samples have failed."""
NON_HOME_IDLE_TIMEOUT_S = 1.5
"""Idle connections of a VM that is not a home are closed after this: such a VM opens
connections only while it reaches no home."""
FIRST_LIST_TIMEOUT_S = 1.0
"""Time that a starting VM waits for the first list of VMs; a call takes 4 ms. Without a
list by then, the store is unavailable and the VM serves alone."""
MAX_ZONE_REQUESTS = 3
"""Endpoints that are asked to learn whether a zone is reached."""
MAX_FAILED_CHECKS = 2
"""Failed checks in a row after which the balancer removes a VM."""

_log = get_logger("node")


class NodeLimits:
    """Limits set by the platform, in seconds."""

    __slots__ = ("drain_s", "grace_s", "quota", "routes_s")

    def __init__(
        self,
        *,
        drain_s: float,
        grace_s: float,
        routes_s: float = math.inf,
        quota: QuotaBound | None = None,
    ) -> None:
        self.drain_s = drain_s
        """Time after which a draining endpoint must get no new statements."""
        self.grace_s = grace_s
        """Time from the order to stop until the process is killed."""
        self.routes_s = routes_s
        """Time after which changed routes must be in force."""
        self.quota = quota or QuotaBound()
        """Bound on the operations of an organisation."""


class ClientConnection(Protocol):
    """A client's connection, as far as the drain needs it."""

    running: bool
    session: ForwardingSession | None

    def revoke(self) -> None:
        """End the connection, after the answer to a running statement."""
        ...

    def drain(self, refusal: ProxyError | None) -> None:
        """End the connection between transactions; a `refusal` ends these as well."""
        ...


class Frontend(Protocol):
    """Accepts clients."""

    @property
    def connections(self) -> Sequence[ClientConnection]:
        """Open connections."""
        ...

    def stop_accepting(self) -> None:
        """Refuse new connections from now on."""
        ...

    def close_idle(self) -> int:
        """Close the connections that are between operations; return how many."""
        ...

    async def close(self) -> None:
        """Close everything."""
        ...


class Node:
    """Runs the groups of one VM."""

    def __init__(
        self,
        *,
        vm: str,
        zone: str,
        limits: NodeLimits,
        store: KeyValueStore,
        dialer: EndpointDialer,
        promoter: Promoter,
        register: EndpointRegister,
        membership: Membership,
        counters: Callable[[], dict[str, object]],
        clock: Clock,
        random: Random,
        history: StoreHistory | None = None,
    ) -> None:
        self.limits = limits
        self.metrics = Metrics()
        self.gateway = Gateway(clock=clock, metrics=self.metrics)
        self.stopped = asyncio.Event()
        self._vm = vm
        self._zone = zone
        self._store = store
        self._dialer = dialer
        self._promoter = promoter
        self._register = register
        self._membership = membership
        self._counters = counters
        self._clock = clock
        self._random = random
        self._history = history or StoreHistory()
        self._history.subscribe(register.await_reregistration)
        self._claims = Claims(store, vm=vm, clock=clock)
        self._suspicions = Suspicions(
            store, vm=vm, lease=lambda: membership.lease, history=self._history
        )
        self._votes = PrefixFollower(
            store, SUSPICION_PREFIX, clock=clock, random=random, keep_values=False
        )
        self._votes.is_small = membership.follower.is_small = True
        self._votes.subscribe(self._apply_vote)
        self._homes = HomeSelector(
            membership.record,
            random=random,
            clock=clock,
            on_update=self._apply_home_update,
        )
        self._register_sources = RegisterSources(
            membership.record,
            random=random,
            clock=clock,
            on_update=self._apply_register_report,
        )
        self.home_server = HomeServer(
            self.gateway,
            status=self._home_status,
            endpoints=lambda: EndpointList(
                register.version, list(register.endpoints.values()), register.revision
            ),
        )
        self._confirmation = RoutesConfirmation()
        self._routes_reader: RoutesReader | None = None
        self._frontend: Frontend | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._draining = False
        self._readiness = Readiness()
        self._was_ready: bool | None = None
        self._was_isolated = False
        self._knew_drains = False
        """Whether all drains were known when isolation last began or ended."""
        self._failed_checks = 0
        self._started_at = clock.monotonic()
        register.subscribe(lambda _: self._apply_endpoints())
        membership.follower.on_synced(self._update_topology)

    def start(self, frontend: Frontend) -> None:
        """Start the background tasks and serve the clients of `frontend`."""
        self._frontend = frontend
        self.start_service("register", self._register.run)
        self.start_service("membership", self._membership.run)
        self.start_service("votes", self._follow_votes)
        self.start_service("maintenance", self._maintain)
        if self._routes_reader is not None:
            self.start_service("routes", self._routes_reader.run)
        _log.info("started", vm=self._vm, zone=self._zone)

    def limit_clients(self, memory_mb: float, descriptors: int) -> ClientGuard:
        """Return the guard that keeps clients within the machine's resources."""
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed != resource.RLIM_INFINITY:
            descriptors = min(descriptors, allowed)
        limits = ClientLimits(memory_mb=memory_mb, descriptors=descriptors)
        guard = ClientGuard(
            limits,
            clock=self._clock,
            metrics=self.metrics,
            log=self.gateway.request_log,
        )
        self.home_server.limit_statements(limits.home_bytes)
        self.start_service("client_limits", guard.run)
        return guard

    # Routes and endpoints

    def follow_routes(self, follower: PrefixFollower, store: ChangesStore) -> None:
        """Keep the routes confirmed, through the follower of their keys.

        Call this before `start`.
        """
        self._confirmation = RoutesConfirmation(
            own_confirmed_at=lambda: follower.confirmed_at
        )
        self.gateway.confirmation = self._confirmation
        self._routes_reader = RoutesReader(
            follower,
            store,
            confirmation=self._confirmation,
            budget=lambda: TimeBudget(self.limits.routes_s),
            in_force=lambda: self.gateway.version,
            forwards=lambda: self._homes.is_forwarding_only,
            vm_count=lambda: len(self._membership.peers()) + 1,
            history=self._history,
            clock=self._clock,
            random=self._random,
            register=self._register,
        )
        self.gateway.on_newer_routes = self._record_newer_routes
        self.gateway.routes_bound_s = lambda: self.limits.routes_s

    @property
    def routes_age_s(self) -> float:
        """Seconds since the routes were last known to be the newest ones."""
        return self._confirmation.age_s(self._clock.monotonic())

    def _record_newer_routes(self, version: int) -> None:
        """Note that another VM has a version in force; read it if it is newer."""
        self._record_report(version, confirmed_at=-math.inf)

    def _record_report(self, version: int, *, confirmed_at: float) -> None:
        in_force = self.gateway.version
        self._confirmation.record_report(
            version, in_force=in_force, confirmed_at=confirmed_at
        )
        if version > in_force and self._routes_reader is not None:
            self._routes_reader.wake()

    def apply_routes(self, table: RouteTable | None) -> None:
        """Put newer routes in force; None stands for routes that cannot be decoded.

        They are not forwarded to the other VMs, since each change would then cost a
        call for each pair of VMs.
        """
        self._confirmation.is_newest_unusable = table is None
        if table is None:
            return
        if self.gateway.apply_routes(table, age_s=round(self.routes_age_s, 2)):
            self._apply_limits(table)
            self._end_revoked_sessions()
            self._update_topology()

    def _apply_limits(self, table: RouteTable) -> None:
        """Enforce the organisations' limits from the first routes that have any."""
        allotments = self.gateway.allotments
        if allotments is None:
            organisations = table.organisations or ()
            if not any(organisation.is_limited for organisation in organisations):
                return
            allotments = self.gateway.allotments = Allotments(
                self._store,
                own=self._membership.record,
                vms=self._known_vms,
                may_hold=lambda: not self._draining,
                bound=lambda: self.limits.quota,
                history=self._history,
                metrics=self.metrics,
                clock=self._clock,
                random=self._random,
            )
            self.start_service("allotments", allotments.run)
        allotments.apply_routes(table)

    def _known_vms(self) -> dict[str, VmRecord]:
        """Return all VMs, this one included; none while they are not known."""
        if not self._membership.follower.synced.is_set():
            return {}
        own = self._membership.record
        return {**self._membership.peers(), own.name: own}

    def _update_topology(self) -> None:
        self._update_homes()
        self._apply_endpoints()

    def _update_homes(self) -> None:
        """Determine the homes of each group."""
        table = self.gateway.table
        if table is None:
            return
        waited_s = self._clock.monotonic() - self._started_at
        if (
            not self._membership.follower.synced.is_set()
            and waited_s < FIRST_LIST_TIMEOUT_S
        ):
            # A VM that knows no other VMs takes itself for a home and would use up the
            # connections that the homes need.
            return
        self._homes.update(self._membership.peers(), table.groups)

    def _apply_endpoints(self) -> None:
        """Pass each group its endpoints, and each dispatcher the usable ones."""
        gateway = self.gateway
        by_group: dict[str, dict[str, EndpointInfo]] = {
            name: {} for name in gateway.groups
        }
        if gateway.table is not None:
            by_group.update({name: {} for name in gateway.table.groups})
        for info in self._register.endpoints.values():
            # Another writer's entry may name a group that the config doesn't have.
            if info.group in by_group:
                by_group[info.group][info.id] = info
        for name, endpoints in by_group.items():
            group = gateway.groups.get(name) or self._add_group(name)
            settings = gateway.table.groups.get(name) if gateway.table else None
            group.is_synchronous = settings is None or settings.synchronous_replicas > 0
            if endpoints != group.endpoints:
                group.update_endpoints(endpoints)
                if self._homes.is_home(name):
                    group.refresh_soon()
            gateway.dispatchers[name].update_endpoints(
                {key: info for key, info in endpoints.items() if self._is_usable(info)}
            )

    async def _follow_votes(self) -> None:
        """Follow the votes on primaries once this VM is a home: only homes vote."""
        while not any(map(self._homes.is_home, self.gateway.groups)):
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
        await self._votes.run()

    def _apply_vote(self, event: WatchEvent) -> None:
        self._suspicions.apply_change(event)
        group = self.gateway.groups.get(suspected_group(event.key))
        if group is not None and self._homes.is_home(group.name):
            group.check_requested.set()

    def _is_usable(self, info: EndpointInfo) -> bool:
        """Whether an endpoint may get statements.

        A draining endpoint gets none, except as primary until `DRAIN_MARGIN_S` before
        the platform's limit.
        """
        if not info.draining:
            return True
        if self.gateway.groups[info.group].primary != info.id:
            return False
        since = self._register.draining_since.get(info.id, 0.0)
        return self._clock.monotonic() - since < self.limits.drain_s - DRAIN_MARGIN_S

    def _add_group(self, name: str) -> ReplicationGroup:
        roster = GroupRoster(
            name, self._store, clock=self._clock, history=self._history, vm=self._vm
        )
        dispatcher = Dispatcher(
            zone=self._zone,
            dialer=self._dialer,
            clock=self._clock,
            random=self._random,
            budget=self._connection_budget,
            vm_count=lambda: self._homes.active_home_count(name),
            metrics=self.metrics,
        )
        group = ReplicationGroup(
            name,
            zone=self._zone,
            dialer=self._dialer,
            clock=self._clock,
            vm=self._vm,
            roster=roster,
            idle_pool=dispatcher,
            ask_zone=self._ask_zone,
            register_age_s=lambda: self._register.age_s,
            drains_known_age_s=lambda: self._register.drains_known_age_s,
            is_cut_off=lambda: self._is_cut_off,
        )
        dispatcher.on_stuck = lambda _: self._on_endpoint_stuck(group)
        self.gateway.groups[name] = group
        self.gateway.dispatchers[name] = dispatcher
        self.start_service("supervisor", self._new_supervisor(group, roster).run)
        return group

    async def _ask_zone(self, info: EndpointInfo) -> bool:
        """Whether another endpoint in the zone of `info`, of any group, answers now."""
        others = neighbours(info, self._register.endpoints.values())
        groups = self.gateway.groups
        answers = await asyncio.gather(
            *(
                groups[other.group].ask(other.id)
                for other in others[:MAX_ZONE_REQUESTS]
                if other.group in groups
            )
        )
        return any(answers)

    def _on_endpoint_stuck(self, group: ReplicationGroup) -> None:
        """Check at once whether the endpoint, its zone or this VM is cut off."""
        group.check_requested.set()
        group.refresh_soon()
        self._report_isolation()

    def _new_supervisor(
        self, group: ReplicationGroup, roster: GroupRoster
    ) -> Supervisor:
        coordinator = Coordinator(
            group,
            roster=roster,
            claims=self._claims,
            promoter=self._promoter,
            vm=self._vm,
            clock=self._clock,
            dialer=self._dialer,
            refresh_register=self._register.poll,
        )
        return Supervisor(
            group,
            coordinator=coordinator,
            suspicions=self._suspicions,
            roster=roster,
            monitor_count=lambda: self._homes.home_count(group.name),
            vanished_monitors=lambda: self._homes.vanished_homes(group.name),
            is_monitor=lambda: self._homes.is_home(group.name),
            should_hand_over=lambda: self._should_hand_over(group),
            unanswered_since=self.gateway.dispatchers[group.name].unanswered_since,
            dialer=self._dialer,
            clock=self._clock,
            random=self._random,
        )

    def _should_hand_over(self, group: ReplicationGroup) -> bool:
        """Whether an overloaded primary should hand over since its replicas lag."""
        dispatcher = self.gateway.dispatchers[group.name]
        replicas = [n for n in group.replicas if not group.endpoints[n].draining]
        return should_hand_over(
            now=self._clock.monotonic(),
            led_since=group.led_since,
            behind_since=[
                dispatcher.gates[name].behind_since
                for name in replicas
                if name in dispatcher.gates
            ],
            is_overloaded=dispatcher.is_overloaded,
        )

    def _connection_budget(self, info: EndpointInfo) -> ConnectionBudget:
        """Return how many connections for statements this VM may have."""
        table, group = self.gateway.table, info.group
        settings = table.groups.get(group) if table is not None else None
        if settings is None:
            return ConnectionBudget(1, 1)
        return connection_budget(
            settings.connection_limit,
            homes=self._homes.home_count(group),
            active_homes=self._homes.active_home_count(group),
            is_home=self._homes.is_home(group),
            shares_status=(
                self._lends_idle_connections(group) and table.serves_no_owner(group)
            ),
            running_s=self._clock.monotonic() - self._started_at,
        )

    def _lends_idle_connections(self, group: str) -> bool:
        """Whether idle connections may be exchanged between status and statements."""
        table = self.gateway.table
        settings = table.groups.get(group) if table is not None else None
        vms = len(self._membership.peers()) + 1
        return settings is not None and is_crowded(settings.connection_limit, vms)

    # Clients and the balancer

    def open_session(self, database: str, key: bytes = b"") -> ForwardingSession:
        """Open the session of a client that presents a key; raises `ProxyError`."""
        table = self.gateway.table
        if table is None:
            raise ProxyError(
                ErrorKind.NOT_RUN_CONNECTION,
                {"database": database, "reason": "no config yet"},
            )
        digest = key_digest(key) if table.organisations is not None else b""
        try:
            caller = table.identify(database, digest)
        except ProxyError as unconfirmed:
            error = self.gateway.refusal(unconfirmed)
            self.metrics.count("refused_sessions", reason=error.kind.value)
            self.gateway.request_log.write(
                "session_refused",
                database=database,
                reason=error.kind.value,
                routes_version=table.version,
                routes_age_s=round(self.routes_age_s, 2),
            )
            raise error from None
        return ForwardingSession(
            database, gateway=self.gateway, homes=self._homes, caller=caller
        )

    def _end_revoked_sessions(self) -> None:
        """End the sessions of clients that the routes in force don't admit any more."""
        table = self.gateway.table
        if self._frontend is None or table is None:
            return
        ended: Counter[str] = Counter()
        for connection in self._frontend.connections:
            session = connection.session
            if session is not None and not table.still_admits(
                session.database, session.caller
            ):
                ended[session.caller.organisation] += 1
                connection.revoke()
        for organisation, count in ended.items():
            self.metrics.count("revoked_sessions", count, organisation=organisation)
            _log.info(
                "sessions_revoked",
                organisation=organisation,
                sessions=count,
                routes_version=table.version,
            )

    @property
    def ready(self) -> bool:
        """Whether to ask the balancer for new clients."""
        table = self.gateway.table
        synced = self._register.synced.is_set()
        if self._draining or table is None or not synced or self._is_isolated:
            return False
        now = self._clock.monotonic()
        groups = [self._view_group(name, now) for name in table.groups]
        return self._readiness.is_ready(groups, now=now)

    def _view_group(self, name: str, now: float) -> GroupView:
        group, oldest = self.gateway.groups[name], now - MAX_PROOF_AGE_S
        return GroupView(
            is_reached=group.reached_at >= oldest or self._homes.is_reached(name),
            is_proven=group.proven_at >= oldest or self._homes.is_primary_proven(name),
        )

    def _home_status(self) -> HomeStatus:
        """Return the status for the VMs that forward statements to this home."""
        oldest = self._clock.monotonic() - MAX_PROOF_AGE_S
        groups = self.gateway.groups.items()
        return HomeStatus(
            [name for name, group in groups if group.proven_at >= oldest],
            self._reaches_no_zone,
            self._draining,
            routes_version=self.gateway.version,
            endpoints_version=self._register.version,
            endpoints_age_s=self._register.age_s,
            reached=[name for name, group in groups if group.reached_at >= oldest],
            routes_age_s=self.routes_age_s,
            endpoints_read_s=min(self._register.confirmed_age_s, UNKNOWN_AGE_S),
        )

    @property
    def is_forwarding_only(self) -> bool:
        """Whether this VM learns of new routes and endpoints from a home."""
        return self._homes.is_forwarding_only

    def _apply_home_update(self, link: HomeLink) -> None:
        """Read newer routes; take over endpoints, or their confirmation at a home."""
        status, listed = link.status, link.endpoints
        if status is None:
            return
        confirmed_at = link.status_asked_at - status.routes_age_s
        self._record_report(status.routes_version, confirmed_at=confirmed_at)
        if not self._homes.is_forwarding_only:
            self._apply_register_report(link)
        elif listed is not None and listed.version == status.endpoints_version:
            self._register.update_from_peer(
                listed.endpoints,
                age_s=status.endpoints_age_s,
                revision=listed.revision,
                peer=link.vm,
                read_at=link.status_asked_at - status.endpoints_read_s,
            )

    def _apply_register_report(self, link: HomeLink) -> None:
        """Take another VM's list of endpoints as a confirmation of the register."""
        status, listed = link.status, link.endpoints
        if status is None or listed is None:
            return
        if listed.version != status.endpoints_version:
            return
        is_same = self._register.apply_report(
            listed.endpoints,
            read_at=link.status_asked_at - status.endpoints_read_s,
            age_s=status.endpoints_age_s,
            revision=listed.revision,
            peer=link.vm,
        )
        self._register_sources.record_report(link, is_same=is_same)
        self._register.record_agreement(self._register_sources.agreed_at)

    def _update_register_sources(self) -> None:
        """Ask other VMs for their register while the store doesn't answer this one."""
        is_late = self._register.read_age_s > SOURCES_AGE_S
        monitors = self._homes.fellow_homes
        self._register_sources.update(
            self._membership.peers(),
            monitors=monitors,
            is_needed=is_late and bool(monitors) and not self._draining,
        )

    @property
    def _is_isolated(self) -> bool:
        """Whether this VM or most of its homes reach no other zone."""
        return self._reaches_no_zone or self._homes.homes_isolated

    @property
    def _is_cut_off(self) -> bool:
        """Whether the zone is cut off since a time when all drains were known.

        A VM that talks with one of another zone isn't, whatever endpoints answer.
        """
        knows_drains = self._was_isolated and self._knew_drains
        return knows_drains and not self._register_sources.reaches_zone

    @property
    def _reaches_no_zone(self) -> bool:
        """Whether no endpoint of another zone answers this VM."""
        now = self._clock.monotonic()
        contacts = [
            self._contact(group, gate, now)
            for name, group in self.gateway.groups.items()
            if self._homes.is_home(name)
            for gate in self.gateway.dispatchers[name].gates.values()
            if gate.info.zone != self._zone
        ]
        zones = {
            info.zone
            for group in self.gateway.groups.values()
            for info in group.endpoints.values()
        }
        return is_cut_off(contacts, zones=zones - {self._zone})

    @staticmethod
    def _contact(
        group: ReplicationGroup, gate: EndpointGate, now: float
    ) -> EndpointContact:
        contact_at = group.last_contact_at(gate.info.id)
        control = group.controls.get(gate.info.id)
        unanswered = (
            control is not None
            and control.failure not in REACHABLE
            and control.failed_at > contact_at
        )
        failing = unanswered or gate.is_failing or gate.is_stuck(now)
        return EndpointContact(gate.info.zone, now - contact_at, failing)

    def check_readiness(self) -> bool:
        """Return `ready` for a check of the balancer and count failed checks."""
        ready = self.ready
        if ready != self._was_ready:
            self._was_ready = ready
            _log.info(
                "readiness_changed",
                ready=ready,
                draining=self._draining,
                isolated=self._is_isolated,
            )
        self._failed_checks = 0 if ready else self._failed_checks + 1
        return ready

    # Maintenance and stop

    def _report_isolation(self) -> None:
        """Send the home status at once when isolation begins or ends."""
        isolated = self._reaches_no_zone
        if isolated != self._was_isolated:
            self._was_isolated = isolated
            self._knew_drains = self._register.drains_known_age_s <= MAX_READ_AGE_S
            _log.warning("isolation_changed", vm=self._vm, isolated=isolated)
            self.home_server.send_status()

    async def _maintain(self) -> None:
        last_summary_at = 0.0
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._register.remove_expired()
            self._update_topology()
            for name, dispatcher in self.gateway.dispatchers.items():
                self._maintain_group(self.gateway.groups[name], dispatcher)
            self._report_isolation()
            self._update_register_sources()
            if self._failed_checks >= MAX_FAILED_CHECKS and not self._draining:
                # Clients reconnect through the balancer to a VM that is ready.
                self._frontend.close_idle()
            now = self._clock.monotonic()
            if now - last_summary_at >= SUMMARY_S:
                last_summary_at = now
                self._log_summary()

    def _maintain_group(self, group: ReplicationGroup, dispatcher: Dispatcher) -> None:
        dispatcher.lends_idle_connections = self._lends_idle_connections(group.name)
        table = self.gateway.table
        dispatcher.serves_no_owner = table is None or table.serves_no_owner(group.name)
        is_home = self._homes.is_home(group.name)
        idle_s = IDLE_TIMEOUT_S if is_home else NON_HOME_IDLE_TIMEOUT_S
        for endpoint, gate in dispatcher.gates.items():
            gate.close_idle(older_than=idle_s, keep=is_home)
            gate.record_alive(group.last_contact_at(endpoint))
            status = group.statuses.get(endpoint)
            if status is not None:
                gate.load.record_status(status[1].busy - gate.running, at=status[0])

    def _log_summary(self) -> None:
        gateway = self.gateway
        _log.info(
            "summary",
            callers=len(self._frontend.connections),
            running=gateway.running,
            open_transactions=gateway.open_transactions,
            waiting=sum(
                dispatcher.waiting for dispatcher in gateway.dispatchers.values()
            ),
            **self._counters(),
        )

    def stop(self) -> None:
        """Start to drain; further calls have no effect."""
        if not self._draining:
            self._draining = True
            self.home_server.send_status()
            self.start_task(self._drain())

    async def _drain(self) -> None:
        grace_s = self.limits.grace_s
        frontend = self._frontend
        started = self._clock.monotonic()
        _log.info("drain_started", connections=len(frontend.connections))
        await asyncio.sleep(min(DRAIN_NOTICE_S, grace_s / 2))
        frontend.stop_accepting()
        while frontend.connections or self.home_server.busy:
            elapsed = self._clock.monotonic() - started
            if elapsed >= grace_s - EXIT_MARGIN_S:
                break
            is_late = elapsed >= grace_s / 2
            refusal = ProxyError(ErrorKind.SHUTTING_DOWN) if is_late else None
            for connection in frontend.connections:
                connection.drain(refusal)
            if is_late:
                self._abort_idle_transactions()
            await asyncio.sleep(DRAIN_POLL_S)
        _log.info("drain_finished", connections=len(frontend.connections))
        await self._close()

    def _abort_idle_transactions(self) -> None:
        error = ProxyError(ErrorKind.SHUTTING_DOWN)
        self.home_server.abort_idle(error)
        for connection in self._frontend.connections:
            if not connection.running and connection.session is not None:
                connection.session.abort(error)

    async def _close(self) -> None:
        await self._frontend.close()
        await self.home_server.close()
        self._homes.close()
        self._register_sources.close()
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for dispatcher in self.gateway.dispatchers.values():
            dispatcher.close()
        for group in self.gateway.groups.values():
            group.close()
        try:
            async with asyncio.timeout(EXIT_MARGIN_S / 2):
                if self.gateway.allotments is not None:
                    await self.gateway.allotments.close()
                await self._membership.leave()
        except TimeoutError:
            _log.warning("lease_left_to_lapse", vm=self._vm)
        _log.info("stopped", vm=self._vm)
        self.stopped.set()

    def start_service(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a background task until the node stops, also after an error."""
        self.start_task(keep_running(name, run))

    def start_task(
        self, coroutine: Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        """Run a coroutine until the node stops; log an exception that ends it."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("task_failed", alarm=1, reason=repr(error))
