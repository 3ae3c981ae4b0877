"""Tests of statements that a VM forwards to a home VM of its zone, over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from replicated_fakes import FakeCluster
from test_gateway import kind_of, table

from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import Dispatcher
from celeryjunction.errors import ErrorKind, ProxyError, Ran
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.routes import Consistency, RouteTable
from celeryjunction.gateway.session import SessionState, StatementSession
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Request,
    Rollback,
    SetParameter,
    Write,
)
from celeryjunction.membership import VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.ports import BootClock
from celeryjunction.relay import home_link
from celeryjunction.relay.home_link import SILENCE_TIMEOUT_S
from celeryjunction.relay.home_server import HomeServer
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.relay.messages import EndpointList, HomeStatus
from celeryjunction.relay.session import ForwardingSession
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    NO_POSITION,
    Answer,
    LogPosition,
    OpenTransaction,
    SetValue,
    TransactionState,
)

OUTCOME_LIMIT_S = 0.5
"""Limit of an outcome that takes no work; the route's time-out is 0.8 s."""
LIMIT_S = 5.0
"""Time-out for operations that take milliseconds on an idle machine."""
TEXTS = {Read: b"READ 1", Write: b"WRITE 1 x", Commit: b"COMMIT"}


class Vm:
    """A VM with a gateway to the cluster and a home server."""

    def __init__(self, name: str, cluster: FakeCluster) -> None:
        self.name = name
        self.clock = BootClock()
        self.gateway = Gateway(clock=self.clock, metrics=Metrics())
        self.gateway.apply_routes(table())
        self.group = ReplicationGroup("g", zone="a", dialer=cluster, clock=self.clock)
        self.dispatcher = Dispatcher(
            zone="a",
            dialer=cluster,
            clock=self.clock,
            random=Random(1),
            budget=lambda info: ConnectionBudget(5, 5),
        )
        self.gateway.groups["g"] = self.group
        self.gateway.dispatchers["g"] = self.dispatcher
        self.leaving = False
        self.served = ["g"]
        self.isolated = False
        self.cluster = cluster
        self.server = HomeServer(
            self.gateway,
            status=lambda: HomeStatus(
                self.served, self.isolated, self.leaving, endpoints_version=7
            ),
            endpoints=lambda: EndpointList(7, list(cluster.infos.values())),
        )
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.group.update_endpoints(self.cluster.infos)
        self.dispatcher.update_endpoints(self.cluster.infos)
        await self.group.refresh()
        await self.server.start("127.0.0.1", port)
        self.port = self.server.port

    @property
    def record(self) -> VmRecord:
        return VmRecord(self.name, "a", f"127.0.0.1:{self.port}", "", "", 1, 0.0)


class Site:
    """Two homes and a forwarding VM in one zone."""

    def __init__(self) -> None:
        self.cluster = FakeCluster()
        self.forwarding_vm = Vm("guest", self.cluster)
        self.homes = [Vm("home1", self.cluster), Vm("home2", self.cluster)]
        self.updates: list[EndpointList | None] = []
        self.selector: HomeSelector | None = None
        self._numbers = 0

    async def start(self) -> None:
        for vm in (*self.homes, self.forwarding_vm):
            await vm.start()
        self.selector = _FixedOrderSelector(
            self.forwarding_vm.record,
            ["home1", "home2"],
            on_update=lambda link: self.updates.append(link.endpoints),
        )
        self.selector.update({vm.name: vm.record for vm in self.homes}, ["g"])
        await self.until(lambda: all(link.usable for link in self.links))

    @property
    def links(self) -> list:
        return list(self.selector._links.values())

    async def until(self, condition) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.005)

    def session(
        self, kind: Consistency = Consistency.READ_YOUR_WRITES
    ) -> ForwardingSession:
        return ForwardingSession(
            kind.value, gateway=self.forwarding_vm.gateway, homes=self.selector
        )

    async def run(self, session: ForwardingSession, statement: object) -> Answer:
        self._numbers += 1
        text = TEXTS.get(type(statement), b"")
        arrived = self.forwarding_vm.clock.monotonic()
        request = Request(b"q%d" % self._numbers, text, statement, arrived)
        return await session.execute(request)

    def forwarded(self) -> dict[str, int]:
        rows = self.forwarding_vm.gateway.metrics.snapshot()["counters"]
        return {
            row["labels"]["home"]: row["value"]
            for row in rows
            if row["name"] == "forwarded_statements"
        }

    @property
    def open_at_homes(self) -> int:
        return sum(vm.gateway.open_transactions for vm in self.homes)

    async def close(self) -> None:
        self.selector.close()
        for vm in (*self.homes, self.forwarding_vm):
            await vm.server.close()
            vm.dispatcher.close()
            vm.group.close()


class _FixedOrderSelector(HomeSelector):
    """Selects homes in a fixed order, whatever their names hash to."""

    def __init__(self, own: VmRecord, order: list[str], **options: object) -> None:
        super().__init__(own, random=Random(1), clock=BootClock(), **options)
        self._order = order

    def _homes_in_zone(self, group: str) -> list[str]:
        return self._order if self._has_vm_list else []


@pytest.fixture
async def site() -> AsyncIterator[Site]:
    site = Site()
    await site.start()
    yield site
    await site.close()


class TestStatements:
    async def test_the_first_home_runs_statements_unchanged(self, site: Site) -> None:
        session = site.session()
        answer = await site.run(session, Write())
        assert answer.fault is None and answer.position is not None
        assert (b"q1", b"WRITE 1 x") in site.cluster["a1"].executed
        await site.run(session, Read())
        assert site.forwarded() == {"home1": 2}
        assert site.forwarding_vm.dispatcher.gates["a1"].links == 0

    async def test_own_writes_are_visible_at_another_home(self, site: Site) -> None:
        session = site.session()
        written = (await site.run(session, Write())).position
        site.homes[0].leaving = True
        site.homes[0].server.send_status()
        await site.until(lambda: not site.links[0].usable)
        site.cluster["b1"].applied = site.cluster["c1"].applied = 0
        answer = await site.run(session, Read())
        assert answer.fault is None and answer.position >= written
        assert site.forwarded() == {"home1": 1, "home2": 1}

    async def test_values_and_prepared_names_are_sent_to_the_home(
        self, site: Site
    ) -> None:
        session = site.session()
        await site.run(session, SetParameter(b"zone", b"1"))
        await site.run(session, Prepare(b"s1", False, b"q2c"))
        answer = await site.run(session, Execute(b"s1", b"7"))
        assert answer.fault is None
        asked = [c for one in site.cluster.endpoints.values() for c in one.commands]
        assert SetValue(b"zone", b"1") in asked

    async def test_an_unknown_name_is_refused_locally(self, site: Site) -> None:
        outcome = await kind_of(site.run(site.session(), Execute(b"s9", b"7")))
        assert outcome is ErrorKind.UNKNOWN_STATEMENT
        assert not site.forwarded()

    async def test_a_home_without_the_route_is_skipped(self, site: Site) -> None:
        empty = RouteTable(version=2, routes=(), groups=(), idle_transaction_s=3.0)
        site.homes[0].gateway.apply_routes(empty)
        answer = await site.run(site.session(), Read())
        assert answer.fault is None

    async def test_a_read_without_an_outcome_is_repeated(self, site: Site) -> None:
        site.cluster["a1"].silent = site.cluster["b1"].silent = True
        site.cluster["c1"].silent = True
        reading = asyncio.create_task(site.run(site.session(), Read()))
        await site.until(lambda: site.homes[0].gateway.running)
        await site.homes[0].server.close()
        for name in ("a1", "b1", "c1"):
            site.cluster[name].silent = False
        assert (await reading).fault is None

    async def test_a_write_without_an_outcome_is_unknown(self, site: Site) -> None:
        site.cluster["a1"].silent = True
        writing = asyncio.create_task(kind_of(site.run(site.session(), Write())))
        await site.until(lambda: site.homes[0].dispatcher.gates["a1"].running)
        await site.homes[0].server.close()
        assert await writing is ErrorKind.OUTCOME_UNKNOWN

    async def test_a_write_that_was_not_sent_runs_locally(self, site: Site) -> None:
        for vm in site.homes:
            await vm.server.close()
        await site.until(lambda: not any(link.usable for link in site.links))
        answer = await site.run(site.session(), Write())
        assert answer.fault is None
        assert site.forwarding_vm.dispatcher.gates["a1"].links == 1


class TestTransactions:
    async def test_a_transaction_stays_at_its_home(self, site: Site) -> None:
        session = site.session()
        assert (await site.run(session, Begin(read_only=False))).digest == b"-"
        assert session.state is TransactionState.OPEN
        await site.run(session, Write())
        site.homes[0].leaving = True
        site.homes[0].server.send_status()
        await site.until(lambda: not site.links[0].usable)
        await site.run(session, Read())
        answer = await site.run(session, Commit())
        assert answer.fault is None and session.state is TransactionState.IDLE
        assert site.forwarded() == {"home1": 4}
        assert session._local.session_state.position == answer.position > NO_POSITION
        assert site.open_at_homes == 0

    async def test_a_value_set_in_a_transaction_reaches_the_home(
        self, site: Site
    ) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        answer = await site.run(session, SetParameter(b"zone", b"2"))
        assert answer.state is TransactionState.OPEN
        await site.run(session, Write())
        assert SetValue(b"zone", b"2") in site.cluster["a1"].commands

    async def test_a_rollback_ends_the_transaction_at_the_home(
        self, site: Site
    ) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        await site.run(session, Rollback())
        assert session.state is TransactionState.IDLE
        await site.until(lambda: not site.open_at_homes)
        assert not site.cluster.acknowledged

    async def test_a_client_that_leaves_rolls_back(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        await session.close()
        await site.until(lambda: not site.open_at_homes)
        assert not site.cluster.acknowledged

    async def test_a_lost_forwarding_vm_rolls_back(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        site.selector.close()
        await site.until(lambda: not site.open_at_homes)
        assert not site.cluster.acknowledged

    async def test_a_lost_home_rolls_back(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        await site.homes[0].server.close()
        await site.until(lambda: not site.links[0].usable)
        outcome = await kind_of(site.run(session, Write()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK
        assert session.state is TransactionState.FAILED
        outcome = await kind_of(site.run(session, Read()))
        assert outcome is ErrorKind.TRANSACTION_ABORTED
        await site.run(session, Rollback())
        assert (await site.run(session, Write())).fault is None
        assert len(site.cluster.acknowledged) == 1

    async def test_a_new_connection_does_not_resume_a_transaction(
        self, site: Site
    ) -> None:
        """Guards against a write that runs outside its lost transaction.

        The home restarts, so that the link is usable again but the transaction is gone.
        """
        session = site.session()
        await site.run(session, Begin(read_only=False))
        home, port = site.homes[0], site.homes[0].port
        await home.server.close()
        await site.until(lambda: not site.links[0].usable)
        await home.server.start("127.0.0.1", port)
        await site.until(lambda: site.links[0].usable)
        outcome = await kind_of(site.run(session, Write()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK
        assert not site.cluster["a1"].executed

    async def test_a_commit_without_an_outcome_is_unknown(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        site.cluster["a1"].silent = True
        committing = asyncio.create_task(kind_of(site.run(session, Commit())))
        await site.until(lambda: site.homes[0].gateway.running)
        await asyncio.sleep(0.02)
        await site.homes[0].server.close()
        assert await committing is ErrorKind.OUTCOME_UNKNOWN
        assert session.state is TransactionState.IDLE

    async def test_a_lost_read_only_commit_is_a_rollback(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=True))
        await site.run(session, Read())
        await site.homes[0].server.close()
        await site.until(lambda: not site.links[0].usable)
        outcome = await kind_of(site.run(session, Commit()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK

    async def test_a_removed_route_rolls_back(self, site: Site) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        empty = RouteTable(version=2, routes=(), groups=(), idle_transaction_s=3.0)
        site.forwarding_vm.gateway.apply_routes(empty)
        outcome = await kind_of(site.run(session, Write()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK
        await site.until(lambda: not site.open_at_homes)

    async def test_a_transaction_survives_a_change_of_homes(self, site: Site) -> None:
        """Guards against a link that closes when its VM is no longer a home.

        VMs that join or leave change the homes of a group.
        """
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        peers = {vm.name: vm.record for vm in site.homes}
        site.selector._order = ["home2"]
        site.selector.update(peers, ["g"])
        assert [link.vm for link in site.links] == ["home2"]
        assert (await site.run(session, Commit())).fault is None
        site.selector.update(peers, ["g"])
        assert not site.selector._retired
        await site.run(session, Read())
        assert site.forwarded() == {"home1": 3, "home2": 1}

    async def test_a_begin_without_an_outcome_goes_to_the_other_home(
        self, site: Site
    ) -> None:
        # The first home is given up after 0.6 s or more; the second needs time too.
        for vm in (site.forwarding_vm, *site.homes):
            vm.gateway.apply_routes(table(2, timeout_s=LIMIT_S))
        site.homes[0].server._server.close()
        for connection in list(site.homes[0].server._forwarding_vms):
            connection.stream._transport.pause_reading()
        session = site.session()
        await site.run(session, Begin(read_only=False))
        assert session._transaction.link.vm == "home2"

    async def test_an_abort_on_the_forwarding_vm_rolls_back_at_the_home(
        self, site: Site
    ) -> None:
        session = site.session()
        await site.run(session, Begin(read_only=False))
        session.abort(ProxyError(ErrorKind.SHUTTING_DOWN))
        assert session.state is TransactionState.FAILED
        outcome = await kind_of(site.run(session, Commit()))
        assert outcome is ErrorKind.SHUTTING_DOWN
        await site.until(lambda: not site.open_at_homes)

    async def test_a_transaction_that_ends_at_once_leaves_nothing_open(
        self, site: Site
    ) -> None:
        """Guards against a transaction that stays open at a home after its end.

        The home reads `BEGIN` and the end in one go when the client leaves at once.
        Such a transaction would delay the home's drain until the grace time ends.
        """
        link = site.links[0]
        number = link.start_transaction()
        begin = Request(b"q1", b"BEGIN", Begin(False), site.homes[0].clock.monotonic())
        running = asyncio.create_task(
            link.run(
                begin,
                database="primary",
                transaction=number,
                state=SessionState(),
                timeout=LIMIT_S,
            )
        )
        await asyncio.sleep(0)
        link.end_transaction(number)
        await running
        home = next(vm for vm in site.homes if vm.name == link.vm)
        await site.until(lambda: not home.server.busy)
        assert site.open_at_homes == 0


class TestHomeLink:
    async def test_a_silent_home_is_abandoned(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # The link would otherwise be back before a slow machine sees that it was lost.
        monkeypatch.setattr(home_link, "MIN_RETRY_S", 2 * LIMIT_S)
        (connection,) = site.homes[0].server._forwarding_vms
        connection.stream._transport.pause_reading()
        await site.until(lambda: not site.links[0].usable)
        silent_s = asyncio.get_running_loop().time() - site.links[0]._heard_at
        assert SILENCE_TIMEOUT_S <= silent_s <= LIMIT_S
        assert (await site.run(site.session(), Read())).fault is None
        assert site.forwarded() == {"home2": 1}

    async def test_a_paused_home_runs_no_abandoned_statement(self, site: Site) -> None:
        """Guards against an abandoned write that runs after later ones.

        A home that was paused reads it late (soak seed 701).
        """
        (connection,) = site.homes[0].server._forwarding_vms
        connection.stream._transport.pause_reading()
        session = site.session()
        outcome = await kind_of(site.run(session, Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN
        connection.stream._transport.resume_reading()
        await site.until(lambda: connection not in site.homes[0].server._forwarding_vms)
        assert not site.cluster["a1"].executed

    async def test_a_home_that_returns_is_used_again(self, site: Site) -> None:
        home, port = site.homes[0], site.homes[0].port
        await home.server.close()
        await site.until(lambda: not site.links[0].usable)
        await home.server.start("127.0.0.1", port)
        await site.until(lambda: site.links[0].usable)
        await site.run(site.session(), Read())
        assert site.forwarded() == {"home1": 1}

    async def test_a_statement_waits_for_a_home_that_starts(self, site: Site) -> None:
        for vm in site.homes:
            await vm.server.close()
        await site.until(lambda: not any(link.usable for link in site.links))
        reading = asyncio.create_task(site.run(site.session(), Read()))
        await site.homes[1].server.start("127.0.0.1", site.homes[1].port)
        assert (await reading).fault is None
        assert site.forwarded() == {"home2": 1}

    async def test_a_home_that_proved_the_primary_goes_first(self, site: Site) -> None:
        """Guards against reads at a home that cannot prove the primary.

        Such homes occur when they restart while a zone is cut off.
        """
        site.homes[0].served = []
        site.homes[0].server.send_status()
        await site.until(lambda: not site.links[0].status.served)
        await site.run(site.session(), Read())
        assert site.forwarded() == {"home2": 1}
        site.homes[1].served = []
        site.homes[1].server.send_status()
        await site.until(lambda: not site.links[1].status.served)
        await site.run(site.session(), Read())
        assert site.forwarded() == {"home1": 1, "home2": 1}

    async def test_a_forwarding_vm_is_isolated_when_most_homes_are(
        self, site: Site
    ) -> None:
        for vm, isolated in zip(site.homes, (False, True), strict=True):
            vm.isolated = True
            vm.server.send_status()
            name = vm.name
            await site.until(
                lambda name=name: site.selector._links[name].status.isolated
            )
            assert site.selector.homes_isolated is isolated

    async def test_a_forwarding_vm_receives_endpoints(self, site: Site) -> None:
        await site.until(lambda: any(site.updates))
        assert site.selector.is_forwarding_only
        assert {info.id for info in site.updates[-1].endpoints} == {"a1", "b1", "c1"}

    async def test_an_undecodable_frame_is_ignored(self, site: Site) -> None:
        site.links[0]._stream.write_frame(b"\x93nonsense")
        assert (await site.run(site.session(), Read())).fault is None

    async def test_an_unexpected_error_is_answered_and_ends_only_its_statement(
        self, site: Site, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a client that waits until its time-out for an outcome."""

        async def fail(*_: object) -> None:
            raise KeyError("scripted")

        session = site.session()
        with monkeypatch.context() as patch:
            patch.setattr(StatementSession, "execute", fail)
            with pytest.raises(ProxyError) as caught:
                async with asyncio.timeout(OUTCOME_LIMIT_S):
                    await site.run(session, Write())
        assert caught.value.spec.ran is not Ran.NO
        assert (await site.run(session, Read())).fault is None


class TestProofs:
    async def test_the_home_takes_its_own_time_for_proofs(self, site: Site) -> None:
        """Guards against the use of another VM's clock reading at the home.

        The clocks of two VMs differ, so that reading means nothing at the home.
        """
        session = site.session(Consistency.PRIMARY)
        await site.run(session, Begin(read_only=False))
        await site.run(session, Read())
        begun = [
            command
            for command in site.cluster["a1"].commands
            if isinstance(command, OpenTransaction)
        ]
        assert [command.request_id for command in begun] == [b"q1"]

    async def test_positions_only_increase(self, site: Site) -> None:
        session = site.session()
        session._local.session_state.position = LogPosition(9, 1)
        await kind_of(site.run(session, Write()))
        assert session._local.session_state.position == LogPosition(9, 1)
