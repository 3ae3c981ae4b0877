"""Nodes of a deployment over fake groups, for tests of what all VMs decide together."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import msgspec
from fakes import ManualClock
from replicated_fakes import FakeCluster, FakeEndpoint, FakeLink, FakeStore

from celeryjunction.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from celeryjunction.membership import Membership, VmRecord
from celeryjunction.node import Node, NodeLimits
from celeryjunction.ports import KeyValue, StoreUnavailable, WatchEvent
from celeryjunction.replication.ports import (
    Answer,
    EndpointInfo,
    EndpointStatus,
    PromotionRequest,
    PromotionResult,
)
from celeryjunction.replication.register import EndpointRegister

REGISTER_PREFIX = "servers/"
WATCH_POLL_S = 0.05


class WatchedStore(FakeStore):
    """A store whose keys can be watched and whose leases can be renewed."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[WatchEvent] = []

    def put(self, key: str, value: bytes | None) -> None:
        super().put(key, value)
        self.history.append(WatchEvent(key, value, self.revision))

    def end_lease(self, lease: int) -> None:
        for key in self.leases.pop(lease, ()):
            self.revision += 1
            self.put(key, None)

    async def watch(
        self, prefix: str, *, start_revision: int
    ) -> AsyncIterator[WatchEvent]:
        after = start_revision - 1
        while True:
            await asyncio.sleep(WATCH_POLL_S)
            if self.unavailable:
                raise StoreUnavailable("away")
            for event in [event for event in self.history if event.revision > after]:
                if event.key.startswith(prefix):
                    yield event
            after = self.revision
            yield WatchEvent("", None, after)

    async def renew_lease(self, lease: int, *, timeout: float = 2.0) -> bool:
        await self._call()
        return lease in self.leases


class NoClients:
    """A front end without clients."""

    connections = ()

    def stop_accepting(self) -> None:
        pass

    def close_idle(self) -> int:
        return 0

    async def close(self) -> None:
        pass


class Deployment:
    """Groups of one endpoint a zone, and nodes; implements the endpoint ports.

    The primaries are in the first zone. `zones` are single letters.
    """

    def __init__(
        self, *groups: str, zones: str = "abc", synchronous_replicas: int = 1
    ) -> None:
        self._synchronous_replicas = synchronous_replicas
        self.store = WatchedStore()
        self.groups = {
            group: FakeCluster(*(f"{zone}-{group}" for zone in zones))
            for group in groups
        }
        self.nodes: dict[str, Node] = {}
        for name, cluster in self.groups.items():
            for endpoint in cluster.endpoints.values():
                endpoint.info = msgspec.structs.replace(endpoint.info, group=name)
                self.register(endpoint.info)

    def register(self, info: EndpointInfo | None, *, name: str = "") -> None:
        """Write an endpoint's entry, or remove that of `name`."""
        self.store.revision += 1
        value = None if info is None else msgspec.json.encode(info)
        self.store.put(REGISTER_PREFIX + (info.id if info else name), value)

    def endpoints_in(self, zone: str) -> list[FakeEndpoint]:
        """Return the endpoints of a zone."""
        return [
            endpoint
            for cluster in self.groups.values()
            for endpoint in cluster.endpoints.values()
            if endpoint.info.zone == zone
        ]

    async def start_node(self, name: str, zone: str) -> Node:
        """Start a node with a route of each consistency for each group."""
        clock = ManualClock()
        random = Random(name)
        record = VmRecord(name, zone, "", "", "", 1, 0.0)
        node = Node(
            vm=name,
            zone=zone,
            limits=NodeLimits(drain_s=7.0, grace_s=6.0),
            store=self.store,
            dialer=self,
            promoter=self,
            register=EndpointRegister(
                self.store, REGISTER_PREFIX, decode=_decode, clock=clock, random=random
            ),
            membership=Membership(self.store, record, clock=clock, random=random),
            counters=dict,
            clock=clock,
            random=random,
        )
        node.start(NoClients())
        node.apply_routes(self._routes())
        self.nodes[name] = node
        return node

    def _routes(self) -> RouteTable:
        routes = tuple(
            Route(
                f"{group}-{kind.value}",
                f"{group}-{kind.value}",
                group,
                kind,
                staleness_s=1.5,
                timeout_s=0.8,
                goal_s=0.25,
            )
            for group in self.groups
            for kind in Consistency
        )
        settings = tuple(
            GroupSettings(group, 22, self._synchronous_replicas)
            for group in self.groups
        )
        return RouteTable(
            version=1, routes=routes, groups=settings, idle_transaction_s=3.0
        )

    async def close(self) -> None:
        """Stop the nodes at once."""
        for node in self.nodes.values():
            await node._close()

    # EndpointDialer and Promoter

    async def connect(
        self, endpoint: EndpointInfo, *, timeout: float, owner: str = ""
    ) -> FakeLink:
        return await self.groups[endpoint.group].connect(
            endpoint, timeout=timeout, owner=owner
        )

    @staticmethod
    def status(answer: Answer) -> EndpointStatus | None:
        return answer.rows[0] if answer.rows else None  # type: ignore[return-value]

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        return await self.groups[request.group].promote(request)


def _decode(item: KeyValue) -> EndpointInfo:
    return msgspec.json.decode(item.value, type=EndpointInfo)
