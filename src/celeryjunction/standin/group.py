"""Stand-in for a database group: replication, promotion and faults.

One process runs all endpoints of a group. `serve_group` starts one; each fault is a
method of the `RunningGroup`, and an HTTP call of its control port.

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
_REPUBLISH_PAUSE_S = 0.2

Publish = Callable[[GroupRecord], Awaitable[None]]


class EndpointConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint; port 0 takes any free port."""

    name: str
    host: str = "127.0.0.1"
    port: int = 0
    zone: str = ""
    connections: int = 20
    slots: int = 3


class GroupConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group; the first endpoint starts as the primary of term 1.

    `replication_ms` is the time until a replica received a committed entry,
    `apply_lag_ms` that from received to applied, `statement_ms` the service time of
    a statement inside a slot. `schema` runs on all endpoints before the start.
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
    """A fault or promotion that the group's present state does not allow."""


class _Follower:
    """Timer of one replica: at most one, at the next moment something is due."""

    __slots__ = ("due", "received_at", "timer")

    def __init__(self) -> None:
        self.due = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.received_at: dict[int, float] = {}

    def arm(self, due: float, action: Callable[[], None]) -> None:
        if self.timer is not None:
            if self.due <= due:
                return
            self.timer.cancel()
        self.due = due
        self.timer = asyncio.get_running_loop().call_at(due, action)


class RunningGroup:
    """A group that runs. Endpoints are named as in the configuration."""

    def __init__(self, config: GroupConfig, publish: Publish | None) -> None:
        self.config = config
        self.endpoints = {e.name: _make_endpoint(e, config) for e in config.endpoints}
        self._publish = publish
        self._followers = {name: _Follower() for name in self.endpoints}
        self._promoting = asyncio.Lock()
        self._publishing = asyncio.Lock()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._control = ControlServer(self)
        first = config.endpoints[0].name
        self._primary = self.endpoints[first]
        self._primary.is_primary = True
        self._term = 1
        self._closed = False
        self._republishing = False

    # --- life ---------------------------------------------------------------------

    async def start(self) -> None:
        """Publish the record, then accept clients and control calls."""
        for endpoint in self.endpoints.values():
            endpoint.on_commit = self._committed
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
            timer = self._followers[name].timer
            if timer is not None:
                timer.cancel()
            endpoint.close()
        # Lets the cancelled connection tasks run to their end.
        await asyncio.sleep(0)

    @property
    def control_port(self) -> int:
        """Port of the control API."""
        return self._control.port

    @property
    def record(self) -> GroupRecord:
        """The group as the platform's key-value service describes it."""
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
        """Publish the record; a failure is logged and tried again later."""
        if self._publish is None:
            return True
        try:
            async with self._publishing:
                await self._publish(self.record)
        except Exception as error:
            _log.warning(
                "event=publish_failed group={} error={!r}", self.config.name, error
            )
            if not self._republishing:
                self._republishing = True
                self._spawn(self._publish_later())
            return False
        return True

    async def _publish_later(self) -> None:
        await asyncio.sleep(_REPUBLISH_PAUSE_S)
        self._republishing = False
        await self._publish_record()

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # --- replication --------------------------------------------------------------

    def _committed(self, primary: Endpoint) -> None:
        for endpoint in self.endpoints.values():
            if endpoint is not primary:
                self._replicate(endpoint)

    def _replicate(self, replica: Endpoint) -> None:
        """Receive and apply what is due, and arm the timer for what is next."""
        if replica.is_primary or replica.frozen or replica.faults.crashed:
            return
        self._receive(replica)
        self._apply(replica)

    def _receive(self, replica: Endpoint) -> None:
        leader = self._leader_of(replica)
        if leader is None:
            return
        now = asyncio.get_running_loop().time()
        log, received = leader.engine.log, replica.engine.log
        while len(received) < len(log):
            entry = log[len(received)]
            due = entry.committed_at + replica.times.replication
            if due > now:
                self._arm(replica, due)
                return
            received.append(entry)
            self._followers[replica.name].received_at[entry.position] = now

    def _apply(self, replica: Endpoint) -> None:
        now = asyncio.get_running_loop().time()
        engine = replica.engine
        received_at = self._followers[replica.name].received_at
        while engine.applied < len(engine.log):
            position = engine.applied + 1
            due = received_at.get(position, 0.0) + replica.times.apply_lag
            if due > now:
                self._arm(replica, due)
                return
            received_at.pop(position, None)
            engine.apply_next()

    def _arm(self, replica: Endpoint, due: float) -> None:
        follower = self._followers[replica.name]

        def fire() -> None:
            follower.timer = None
            self._replicate(replica)

        follower.arm(due, fire)

    def _leader_of(self, replica: Endpoint) -> Endpoint | None:
        """Return the primary that the replica receives from at present."""
        if not replica.connected:
            return None
        for endpoint in self._connected():
            if endpoint.is_primary and endpoint.term == replica.term:
                return endpoint
        return None

    def _connected(self) -> list[Endpoint]:
        return [e for e in self.endpoints.values() if e.connected]

    async def _rejoin_all(self) -> None:
        """Let connected endpoints of older terms follow the newest primary."""
        primaries = [e for e in self._connected() if e.is_primary]
        leader = max(primaries, key=lambda e: e.term, default=None)
        if leader is not None:
            await self._follow(
                leader, [e for e in self._connected() if e is not leader]
            )
        for endpoint in self.endpoints.values():
            self._replicate(endpoint)

    async def _follow(self, leader: Endpoint, followers: Iterable[Endpoint]) -> None:
        """Record the leader's term on endpoints of older terms, rewound first.

        Clients of an endpoint that was a primary, or that rewinds, are disconnected
        and its port closed until the rewind is done (assumption A4). A term is never
        recorded on a log with entries that the term's primary does not have.
        """
        for follower in followers:
            if follower.term >= leader.term:
                continue
            diverged = follower.engine.common_prefix(leader.engine) < len(
                follower.engine.log
            )
            if diverged or follower.is_primary:
                follower.disconnect_all()
            if diverged:
                self._followers[follower.name].received_at.clear()
                follower.engine.rewind(leader.engine)
            follower.follow_term(leader.term, leader.term_start)
        for endpoint in self.endpoints.values():
            await endpoint.listen()

    def _rejoin_soon(self) -> None:
        """Let the news of a term arrive after the replication delay."""
        delay = max(e.times.replication for e in self.endpoints.values())

        async def rejoin() -> None:
            await asyncio.sleep(delay)
            async with self._promoting:
                await self._rejoin_all()

        self._spawn(rejoin())

    # --- promotion ----------------------------------------------------------------

    async def promote(self, endpoint: str | None = None) -> dict[str, Any]:
        """Start a new term; returns the new term and primary.

        Raises `FaultRefused` when a majority is needed and cannot be reached.
        """
        async with self._promoting:
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
            await self._rejoin_all()
        else:
            self._rejoin_soon()
        return {"term": chosen.term, "primary": chosen.name}

    async def _promote_single(self, name: str | None) -> Endpoint:
        """Promote one endpoint alone; the others learn of it later.

        The record is what proves the term in this mode, so the promotion waits until
        it is published.
        """
        if name is None:
            others = [e for e in self._connected() if not e.is_primary]
            if not others:
                raise FaultRefused("no replica can be promoted")
            name = max(others, key=_log_order).name
        chosen = self._endpoint(name)
        if chosen.faults.crashed or chosen.frozen:
            raise FaultRefused(f"endpoint {name} does not answer")
        self._term += 1
        self._primary = chosen
        while True:
            if await self._publish_record():
                break
            await asyncio.sleep(_REPUBLISH_PAUSE_S)
        self._require_up(chosen)
        self._start_term(chosen)
        return chosen

    async def _promote_by_majority(self, name: str | None) -> Endpoint:
        members = self._connected()
        chosen = self._endpoint(name) if name is not None else None
        if len(members) <= len(self.endpoints) // 2:
            raise FaultRefused("no majority of the endpoints can be reached")
        if chosen is not None and chosen not in members:
            raise FaultRefused(f"endpoint {name} is not in the reachable majority")
        best = max(members, key=_log_order)
        chosen = chosen or best
        if chosen is not best:
            self._catch_up(chosen, best)
        self._term += 1
        self._primary = chosen
        self._start_term(chosen)
        await self._follow(chosen, members)
        await self._publish_record()
        self._require_up(chosen)
        return chosen

    def _catch_up(self, chosen: Endpoint, best: Endpoint) -> None:
        """Give the named endpoint the highest received log of the majority (A3)."""
        if chosen.engine.common_prefix(best.engine) < len(chosen.engine.log):
            chosen.disconnect_all()
            chosen.engine.rewind(best.engine)
            self._followers[chosen.name].received_at.clear()
        chosen.engine.log.extend(best.engine.log[len(chosen.engine.log) :])

    def _start_term(self, chosen: Endpoint) -> None:
        """Record the new term at its primary, with all that it received applied."""
        while chosen.engine.applied < len(chosen.engine.log):
            chosen.engine.apply_next()
        self._followers[chosen.name].received_at.clear()
        chosen.follow_term(self._term, len(chosen.engine.log))

    def _require_up(self, chosen: Endpoint) -> None:
        if chosen.faults.crashed:
            raise FaultRefused(f"endpoint {chosen.name} crashed during its promotion")

    # --- faults -------------------------------------------------------------------

    def _endpoint(self, name: str) -> Endpoint:
        try:
            return self.endpoints[name]
        except KeyError:
            raise LookupError(f"no endpoint is named {name!r}") from None

    def _named(self, name: str | None) -> list[Endpoint]:
        return list(self.endpoints.values()) if name is None else [self._endpoint(name)]

    async def cut(self, endpoint: str) -> None:
        """Cut an endpoint from the other endpoints, not from its clients."""
        self._endpoint(endpoint).faults.cut = True

    async def heal(self, endpoint: str) -> None:
        """Undo `cut`; the endpoint follows the newest term."""
        self._endpoint(endpoint).faults.cut = False
        async with self._promoting:
            await self._rejoin_all()

    async def block(self, endpoint: str, zone: str | None = None) -> None:
        """Let no byte pass to or from the clients of a zone, or of all zones."""
        self._endpoint(endpoint).faults.blocked.add(zone)

    async def unblock(self, endpoint: str) -> None:
        """Undo all `block` calls of an endpoint."""
        chosen = self._endpoint(endpoint)
        chosen.faults.blocked.clear()
        chosen.faults_changed()

    async def crash(self, endpoint: str) -> None:
        """Close the endpoint's port and sockets; open transactions roll back."""
        chosen = self._endpoint(endpoint)
        chosen.faults.crashed = True
        chosen.disconnect_all()

    async def restart(self, endpoint: str) -> None:
        """Start a crashed endpoint with its committed data, log and term."""
        chosen = self._endpoint(endpoint)
        chosen.faults.crashed = False
        async with self._promoting:
            await self._rejoin_all()
            await chosen.listen()

    async def freeze(self, endpoint: str, seconds: float) -> None:
        """Let an endpoint answer nothing for some seconds; returns at once.

        A later call replaces an earlier one, so that 0 seconds ends it.
        """
        chosen = self._endpoint(endpoint)
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        chosen.faults.frozen_until = until

        def thaw() -> None:
            if chosen.faults.frozen_until == until and not self._closed:
                chosen.faults.frozen_until = 0.0
                chosen.faults_changed()
                self._rejoin_soon()

        loop.call_at(until, thaw)

    async def lag(
        self,
        endpoint: str | None = None,
        apply_lag_ms: float | None = None,
        replication_ms: float | None = None,
    ) -> None:
        """Change the delays of one replica, or of all when `endpoint` is None."""
        for chosen in self._named(endpoint):
            if apply_lag_ms is not None:
                chosen.times.apply_lag = apply_lag_ms / 1000
            if replication_ms is not None:
                chosen.times.replication = replication_ms / 1000
            self._replicate(chosen)

    async def slow(self, endpoint: str, factor: float) -> None:
        """Multiply the service time of statements."""
        self._endpoint(endpoint).times.slow_factor = factor

    async def leaving(self, endpoint: str, value: bool = True) -> None:
        """Mark an endpoint as leaving, in its status and in the record."""
        self._endpoint(endpoint).leaving = value
        await self._publish_record()

    async def lose_commit_answer(self, endpoint: str, count: int = 1) -> None:
        """Let the next COMMITs that write take effect, then close the socket."""
        self._endpoint(endpoint).faults.lose_commit_answers = count

    # --- views --------------------------------------------------------------------

    def state(self) -> dict[str, dict[str, Any]]:
        """Return term, role, positions, counters and faults of each endpoint."""
        return {name: _state_of(endpoint) for name, endpoint in self.endpoints.items()}

    def log(self, endpoint: str) -> list[dict[str, Any]]:
        """Return the received log of an endpoint; statements are [sql, params]."""
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
            replication=group.replication_ms / 1000,
            apply_lag=group.apply_lag_ms / 1000,
            connect_delay=group.connect_delay_ms / 1000,
            statement=group.statement_ms / 1000,
        ),
    )


def _log_order(endpoint: Endpoint) -> tuple[int, int, bool]:
    """Order logs by the term of the last entry, then by length.

    Positions are comparable only within one term's history. Among equals a replica
    comes before the present primary.
    """
    engine = endpoint.engine
    return engine.last_term, len(engine.log), not endpoint.is_primary


def _state_of(endpoint: Endpoint) -> dict[str, Any]:
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
        "frozen": endpoint.frozen,
    }


async def serve_group(
    config: GroupConfig, publish: Publish | None = None
) -> RunningGroup:
    """Start a group; `publish` gets its record at the start and at each change."""
    group = RunningGroup(config, publish)
    await group.start()
    return group
