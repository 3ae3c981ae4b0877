"""Stand-in for a database group, with replication, promotion and fault injection.

One process runs all endpoints of a group. `serve_group` starts a group; each fault is
a method of its `RunningGroup` and an HTTP call of its control port.

Example::

    group = await serve_group(GroupConfig(name="stock", endpoints=(...)))
    await group.cut("a")
    await group.promote("b")
    await group.close()
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import msgspec
from logbook import Logger

from celeryjunction.ports import EndpointRecord, GroupRecord
from celeryjunction.standin.control import ControlServer
from celeryjunction.standin.endpoint import Endpoint, EndpointTimes

_log = Logger(__name__)
_PUBLISH_RETRY_INTERVAL_S = 0.2

PublishRecord = Callable[[GroupRecord], Awaitable[None]]


class EndpointConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one endpoint.

    Port 0 picks a free port. `connections` limits the open connections, `slots` the
    statements that run at the same time.
    """

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    zone: str = ""
    connections: int = 20
    slots: int = 3


class GroupConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of a group; the first endpoint starts as the primary of term 1.

    `promotion` is described in `GroupRecord`.

    `replication_ms` is the delay from the commit of a log entry until a replica
    receives the entry, `apply_lag_ms` the delay from there until the replica applies
    it, `connect_delay_ms` the time to open a connection, and `statement_ms` the service
    time of a statement inside a slot. The `schema` statements run on all endpoints
    before the group starts.
    """

    name: str
    endpoints: tuple[EndpointConfig, ...]
    promotion: str = "majority"
    schema: tuple[str, ...] = ()
    replication_ms: float = 1.0
    apply_lag_ms: float = 5.0
    connect_delay_ms: float = 10.0
    statement_ms: float = 0.0
    control_host: str = "127.0.0.1"
    control_port: int = 0


class FaultRefused(Exception):
    """A fault or promotion that the current state of the group does not allow."""


class _ReplicationTimer:
    """Timer for the next entry that a replica is due to receive or apply.

    `received_at` holds the receive times of the entries that are not applied yet, by
    log position. All times are those of the event loop.
    """

    __slots__ = ("due_at", "handle", "received_at")

    def __init__(self) -> None:
        self.due_at = 0.0
        self.handle: asyncio.TimerHandle | None = None
        self.received_at: dict[int, float] = {}

    def schedule(self, due_at: float, action: Callable[[], None]) -> None:
        """Run `action` at `due_at`, unless the timer already fires earlier."""
        if self.handle is not None:
            if self.due_at <= due_at:
                return
            self.handle.cancel()
        self.due_at = due_at
        self.handle = asyncio.get_running_loop().call_at(due_at, action)


class RunningGroup:
    """A running group. Endpoints have the names of the configuration."""

    def __init__(self, config: GroupConfig, publish: PublishRecord | None) -> None:
        self.config = config
        self.endpoints = {e.name: _make_endpoint(e, config) for e in config.endpoints}
        self._publish = publish
        self._replication_timers = {
            name: _ReplicationTimer() for name in self.endpoints
        }
        self._promotion_lock = asyncio.Lock()
        self._publish_lock = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._control = ControlServer(self)
        first = config.endpoints[0].name
        self._primary = self.endpoints[first]
        self._primary.is_primary = True
        self._term = 1
        self._closed = False
        self._publish_retry_scheduled = False

    # --- lifecycle ----------------------------------------------------------------

    async def start(self) -> None:
        """Publish the record, then accept clients and control requests."""
        for endpoint in self.endpoints.values():
            endpoint.on_commit = self._replicate_commit
        await self._publish_record()
        for endpoint in self.endpoints.values():
            await endpoint.listen()
        await self._control.start(self.config.control_host, self.config.control_port)

    async def close(self) -> None:
        """Stop all endpoints and the control port."""
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        await self._control.close()
        for name, endpoint in self.endpoints.items():
            handle = self._replication_timers[name].handle
            if handle is not None:
                handle.cancel()
            endpoint.close()
        # Lets the cancelled connection tasks finish.
        await asyncio.sleep(0)

    @property
    def control_port(self) -> int:
        """Port of the control API."""
        return self._control.port

    @property
    def record(self) -> GroupRecord:
        """The group's record, as published to the platform's key-value service."""
        records = tuple(
            EndpointRecord(
                name=config.name,
                host=config.host,
                port=self.endpoints[config.name].port,
                zone=config.zone,
                connections=config.connections,
                slots=config.slots,
                leaving=self.endpoints[config.name].leaving,
            )
            for config in self.config.endpoints
        )
        return GroupRecord(
            name=self.config.name,
            term=self._term,
            primary=self._primary.name,
            endpoints=records,
            promotion=self.config.promotion,
        )

    async def _publish_record(self) -> bool:
        """Publish the record; logs a failure, schedules a retry and returns False."""
        if self._publish is None:
            return True
        try:
            async with self._publish_lock:
                await self._publish(self.record)
        except Exception as error:
            _log.warning(
                "event=publish_failed group={} error={!r}", self.config.name, error
            )
            if not self._publish_retry_scheduled:
                self._publish_retry_scheduled = True
                self._start_task(self._retry_publish())
            return False
        return True

    async def _retry_publish(self) -> None:
        await asyncio.sleep(_PUBLISH_RETRY_INTERVAL_S)
        self._publish_retry_scheduled = False
        await self._publish_record()

    def _start_task(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- replication --------------------------------------------------------------

    def _replicate_commit(self, primary: Endpoint) -> None:
        """Start the replication of a commit to the other endpoints."""
        for endpoint in self.endpoints.values():
            if endpoint is not primary:
                self._advance_replica(endpoint)

    def _advance_replica(self, replica: Endpoint) -> None:
        """Receive and apply the entries that are due; schedule the next step."""
        if replica.is_primary or replica.is_frozen or replica.faults.crashed:
            return
        self._receive_due_entries(replica)
        self._apply_due_entries(replica)

    def _receive_due_entries(self, replica: Endpoint) -> None:
        primary = self._primary_of(replica)
        if primary is None:
            return
        now = asyncio.get_running_loop().time()
        primary_log, replica_log = primary.engine.log, replica.engine.log
        while len(replica_log) < len(primary_log):
            entry = primary_log[len(replica_log)]
            due_at = entry.committed_at + replica.times.replication_s
            if due_at > now:
                self._schedule_advance(replica, due_at)
                return
            replica_log.append(entry)
            self._replication_timers[replica.name].received_at[entry.position] = now

    def _apply_due_entries(self, replica: Endpoint) -> None:
        now = asyncio.get_running_loop().time()
        engine = replica.engine
        received_at = self._replication_timers[replica.name].received_at
        while engine.applied < len(engine.log):
            position = engine.applied + 1
            due_at = received_at.get(position, 0.0) + replica.times.apply_lag_s
            if due_at > now:
                self._schedule_advance(replica, due_at)
                return
            received_at.pop(position, None)
            engine.apply_next()

    def _schedule_advance(self, replica: Endpoint, due_at: float) -> None:
        timer = self._replication_timers[replica.name]

        def fire() -> None:
            timer.handle = None
            self._advance_replica(replica)

        timer.schedule(due_at, fire)

    def _primary_of(self, replica: Endpoint) -> Endpoint | None:
        """Return the reachable primary of the replica's term, None if there is none."""
        if not replica.is_connected:
            return None
        for endpoint in self._connected_endpoints():
            if endpoint.is_primary and endpoint.term == replica.term:
                return endpoint
        return None

    def _connected_endpoints(self) -> list[Endpoint]:
        return [e for e in self.endpoints.values() if e.is_connected]

    async def _rejoin_endpoints(self) -> None:
        """Move connected endpoints of older terms to the primary of the newest term."""
        primaries = [e for e in self._connected_endpoints() if e.is_primary]
        newest = max(primaries, key=lambda e: e.term, default=None)
        if newest is not None:
            await self._adopt_term(
                newest, [e for e in self._connected_endpoints() if e is not newest]
            )
        for endpoint in self.endpoints.values():
            self._advance_replica(endpoint)

    async def _adopt_term(self, primary: Endpoint, members: Iterable[Endpoint]) -> None:
        """Record the term of `primary` on the members that have an older term.

        A member whose log diverged from that of `primary` is rewound first, because a
        term is never recorded on a log with entries that the term's primary does not
        have. The clients of a former primary and of an endpoint that rewinds are
        disconnected, and its port stays closed until the rewind is done (assumption
        A4).
        """
        for member in members:
            if member.term >= primary.term:
                continue
            diverged = member.engine.common_prefix(primary.engine) < len(
                member.engine.log
            )
            if diverged or member.is_primary:
                member.disconnect_all()
            if diverged:
                self._replication_timers[member.name].received_at.clear()
                member.engine.rewind(primary.engine)
            member.adopt_term(primary.term, primary.term_start)
        for endpoint in self.endpoints.values():
            await endpoint.listen()

    def _schedule_rejoin(self) -> None:
        """Rejoin the endpoints after the longest replication delay."""
        delay = max(e.times.replication_s for e in self.endpoints.values())

        async def rejoin() -> None:
            await asyncio.sleep(delay)
            async with self._promotion_lock:
                await self._rejoin_endpoints()

        self._start_task(rejoin())

    # --- promotion ----------------------------------------------------------------

    async def promote(self, endpoint: str | None = None) -> dict[str, Any]:
        """Start a new term; returns the new term and its primary.

        Without an endpoint, the reachable one with the most advanced log is promoted;
        in ``single`` mode only replicas are considered. Raises `FaultRefused` when a
        majority is required and not reachable, when no endpoint or not the named one
        can be promoted, and when the endpoint crashes during its promotion. Raises
        `LookupError` for an unknown endpoint.
        """
        async with self._promotion_lock:
            if self.config.promotion == "single":
                chosen = await self._promote_single(endpoint)
            else:
                chosen = await self._promote_by_majority(endpoint)
            chosen.is_primary = True
            _log.info(
                "event=promoted group={} term={} primary={} position={}",
                self.config.name,
                chosen.term,
                chosen.name,
                chosen.term_start,
            )
        if self.config.promotion == "majority":
            await self._rejoin_endpoints()
        else:
            self._schedule_rejoin()
        return {"term": chosen.term, "primary": chosen.name}

    async def _promote_single(self, name: str | None) -> Endpoint:
        """Promote one endpoint alone; the others adopt the term later.

        The published record is the only proof of the term in this mode, so the
        promotion waits until the record is published.
        """
        if name is None:
            others = [e for e in self._connected_endpoints() if not e.is_primary]
            if not others:
                raise FaultRefused("no replica can be promoted")
            name = max(others, key=_log_order).name
        chosen = self._endpoint(name)
        if chosen.faults.crashed or chosen.is_frozen:
            raise FaultRefused(f"endpoint {name} does not answer")
        self._term += 1
        self._primary = chosen
        while True:
            if await self._publish_record():
                break
            await asyncio.sleep(_PUBLISH_RETRY_INTERVAL_S)
        self._raise_if_crashed(chosen)
        self._start_term(chosen)
        return chosen

    async def _promote_by_majority(self, name: str | None) -> Endpoint:
        """Promote an endpoint together with the reachable majority."""
        members = self._connected_endpoints()
        chosen = self._endpoint(name) if name is not None else None
        if len(members) <= len(self.endpoints) // 2:
            raise FaultRefused("no majority of the endpoints can be reached")
        if chosen is not None and chosen not in members:
            raise FaultRefused(f"endpoint {name} is not in the reachable majority")
        most_advanced = max(members, key=_log_order)
        chosen = chosen or most_advanced
        if chosen is not most_advanced:
            self._catch_up(chosen, most_advanced)
        self._term += 1
        self._primary = chosen
        self._start_term(chosen)
        await self._adopt_term(chosen, members)
        await self._publish_record()
        self._raise_if_crashed(chosen)
        return chosen

    def _catch_up(self, chosen: Endpoint, most_advanced: Endpoint) -> None:
        """Copy the most advanced log of the majority to the chosen endpoint (A3)."""
        if chosen.engine.common_prefix(most_advanced.engine) < len(chosen.engine.log):
            chosen.disconnect_all()
            chosen.engine.rewind(most_advanced.engine)
            self._replication_timers[chosen.name].received_at.clear()
        chosen.engine.log.extend(most_advanced.engine.log[len(chosen.engine.log) :])

    def _start_term(self, chosen: Endpoint) -> None:
        """Apply all received entries on the new primary, then record its term."""
        while chosen.engine.applied < len(chosen.engine.log):
            chosen.engine.apply_next()
        self._replication_timers[chosen.name].received_at.clear()
        chosen.adopt_term(self._term, len(chosen.engine.log))

    def _raise_if_crashed(self, chosen: Endpoint) -> None:
        if chosen.faults.crashed:
            raise FaultRefused(f"endpoint {chosen.name} crashed during its promotion")

    # --- faults -------------------------------------------------------------------

    def _endpoint(self, name: str) -> Endpoint:
        try:
            return self.endpoints[name]
        except KeyError:
            raise LookupError(f"no endpoint is named {name!r}") from None

    def _selected_endpoints(self, name: str | None) -> list[Endpoint]:
        return list(self.endpoints.values()) if name is None else [self._endpoint(name)]

    async def cut(self, endpoint: str) -> None:
        """Disconnect an endpoint from the other endpoints but not from its clients."""
        self._endpoint(endpoint).faults.cut = True

    async def heal(self, endpoint: str) -> None:
        """Undo `cut`; the endpoint adopts the newest reachable term."""
        self._endpoint(endpoint).faults.cut = False
        async with self._promotion_lock:
            await self._rejoin_endpoints()

    async def block(self, endpoint: str, zone: str | None = None) -> None:
        """Stall the traffic with the clients of a zone, or of all zones if None."""
        self._endpoint(endpoint).faults.blocked.add(zone)

    async def unblock(self, endpoint: str) -> None:
        """Undo all `block` calls of an endpoint."""
        chosen = self._endpoint(endpoint)
        chosen.faults.blocked.clear()
        chosen.wake_fault_waiters()

    async def crash(self, endpoint: str) -> None:
        """Close the endpoint's port and connections; open transactions roll back."""
        chosen = self._endpoint(endpoint)
        chosen.faults.crashed = True
        chosen.disconnect_all()

    async def restart(self, endpoint: str) -> None:
        """Start a crashed endpoint again with its committed data, log and term."""
        chosen = self._endpoint(endpoint)
        chosen.faults.crashed = False
        async with self._promotion_lock:
            await self._rejoin_endpoints()
            await chosen.listen()

    async def freeze(self, endpoint: str, seconds: float) -> None:
        """Stop all answers of an endpoint for some seconds; returns immediately.

        A later call replaces an earlier one; 0 seconds ends the freeze.
        """
        chosen = self._endpoint(endpoint)
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        chosen.faults.frozen_until = until

        def end_freeze() -> None:
            if chosen.faults.frozen_until == until and not self._closed:
                chosen.faults.frozen_until = 0.0
                chosen.wake_fault_waiters()
                self._schedule_rejoin()

        loop.call_at(until, end_freeze)

    async def lag(
        self,
        endpoint: str | None = None,
        apply_lag_ms: float | None = None,
        replication_ms: float | None = None,
    ) -> None:
        """Change the replication delays of one endpoint, or of all if None."""
        for chosen in self._selected_endpoints(endpoint):
            if apply_lag_ms is not None:
                chosen.times.apply_lag_s = apply_lag_ms / 1000
            if replication_ms is not None:
                chosen.times.replication_s = replication_ms / 1000
            self._advance_replica(chosen)

    async def slow(self, endpoint: str, factor: float) -> None:
        """Multiply the service time of an endpoint's statements by a factor."""
        self._endpoint(endpoint).times.slow_factor = factor

    async def leaving(self, endpoint: str, value: bool = True) -> None:
        """Mark an endpoint as leaving, in its status and in the record."""
        self._endpoint(endpoint).leaving = value
        await self._publish_record()

    async def lose_commit_answer(self, endpoint: str, count: int = 1) -> None:
        """Reset the connection instead of answering the next COMMITs that write.

        The commits take effect; COMMITs without a log entry are not counted.
        """
        self._endpoint(endpoint).faults.lose_commit_answers = count

    # --- state --------------------------------------------------------------------

    def state(self) -> dict[str, dict[str, Any]]:
        """Return term, role, positions, counters and faults of each endpoint."""
        return {
            name: _endpoint_state(endpoint) for name, endpoint in self.endpoints.items()
        }

    def log(self, endpoint: str) -> list[dict[str, Any]]:
        """Return the received log entries of an endpoint.

        Each statement is a list of its SQL text and its parameters.
        """
        return [
            {
                "term": entry.term,
                "position": entry.position,
                "xid": entry.xid,
                "statements": [[p.sql, list(values)] for p, values in entry.statements],
            }
            for entry in self._endpoint(endpoint).engine.log
        ]


def _make_endpoint(endpoint: EndpointConfig, group: GroupConfig) -> Endpoint:
    return Endpoint(
        name=endpoint.name,
        host=endpoint.host,
        port=endpoint.port,
        connections=endpoint.connections,
        slots=endpoint.slots,
        schema=group.schema,
        times=EndpointTimes(
            replication_s=group.replication_ms / 1000,
            apply_lag_s=group.apply_lag_ms / 1000,
            connect_delay_s=group.connect_delay_ms / 1000,
            statement_s=group.statement_ms / 1000,
        ),
    )


def _log_order(endpoint: Endpoint) -> tuple[int, int, bool]:
    """Return a sort key by the term of the last log entry, then by log length.

    Log positions are comparable only within the history of one term. Between equal
    logs a replica is preferred to the current primary.
    """
    engine = endpoint.engine
    return engine.last_term, len(engine.log), not endpoint.is_primary


def _endpoint_state(endpoint: Endpoint) -> dict[str, Any]:
    counters, faults = endpoint.counters, endpoint.faults
    return {
        **endpoint.status_row(),
        "connections": counters.connections,
        "peak_connections": counters.peak_connections,
        "refused_connections": counters.refused_connections,
        "statements_run": counters.statements_run,
        "running": counters.running,
        "peak_running": counters.peak_running,
        "busy_s": counters.busy_s,
        "cut": faults.cut,
        "crashed": faults.crashed,
        "frozen": endpoint.is_frozen,
    }


async def serve_group(
    config: GroupConfig, publish: PublishRecord | None = None
) -> RunningGroup:
    """Start a group.

    `publish` is called with the group's record at the start, at each promotion and
    at each call of `RunningGroup.leaving`. After a failure it is called again with the
    record of that time.
    """
    group = RunningGroup(config, publish)
    await group.start()
    return group
