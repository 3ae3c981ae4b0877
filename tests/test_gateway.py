"""Tests of client sessions: shared connections, transactions and outcomes."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from replicated_fakes import WORK_S, FakeCluster

from celeryjunction.dispatch.answer_patience import MIN_TIMEOUT_S
from celeryjunction.dispatch.connection_budget import ConnectionBudget
from celeryjunction.dispatch.dispatcher import (
    OVERLOAD_REFUSALS,
    OVERLOAD_WINDOW_S,
    Dispatcher,
)
from celeryjunction.errors import ErrorKind, ProxyError, Ran
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.routes import Consistency, GroupSettings, Route, RouteTable
from celeryjunction.gateway.session import StatementSession
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
from celeryjunction.metrics import Metrics
from celeryjunction.replication.group import ReplicationGroup
from celeryjunction.replication.ports import (
    Answer,
    ClearSession,
    EndpointInfo,
    Fault,
    LogPosition,
    OpenTransaction,
    Relay,
    SetValue,
    TransactionState,
)

IDLE_S = 3.0


def table(version: int = 1, *, synchronous: int = 1, **changes: object) -> RouteTable:
    settings = {"timeout_s": 0.8, "goal_s": 0.25} | changes
    routes = tuple(
        Route(kind.value, kind.value, "g", kind, staleness_s=1.5, **settings)
        for kind in Consistency
    )
    return RouteTable(
        version=version,
        routes=routes,
        groups=(GroupSettings("g", 22, synchronous),),
        idle_transaction_s=IDLE_S,
    )


class Proxy:
    """A VM's gateway to a fake group."""

    def __init__(self) -> None:
        self.cluster = FakeCluster()
        self.clock = ManualClock()
        self.gateway = Gateway(clock=self.clock, metrics=Metrics())
        self.gateway.apply_routes(table())
        self.group = ReplicationGroup(
            "g", zone="a", dialer=self.cluster, clock=self.clock
        )
        self.dispatcher = Dispatcher(
            zone="a",
            dialer=self.cluster,
            clock=self.clock,
            random=Random(1),
            budget=lambda info: ConnectionBudget(5, 5),
        )
        self.gateway.groups["g"] = self.group
        self.gateway.dispatchers["g"] = self.dispatcher
        self._numbers = 0

    async def start(self) -> None:
        self.group.update_endpoints(self.cluster.infos)
        self.dispatcher.update_endpoints(self.cluster.infos)
        await self.group.refresh()
        await asyncio.sleep(3.1)
        await self.group.sample()

    def session(self, kind: Consistency = Consistency.PRIMARY) -> StatementSession:
        return StatementSession(kind.value, gateway=self.gateway)

    def request(self, statement: object, text: bytes = b"") -> Request:
        self._numbers += 1
        name = type(statement).__name__.upper().encode()
        arrived = self.clock.monotonic()
        return Request(b"q%d" % self._numbers, text or name, statement, arrived)

    async def run(self, session: StatementSession, statement: object) -> Answer:
        texts = {Read: b"READ 1", Write: b"WRITE 1 x", Commit: b"COMMIT"}
        text = texts.get(type(statement), b"")
        return await session.execute(self.request(statement, text))

    def executed(self) -> list[tuple[str, bytes]]:
        return [
            (name, text)
            for name, endpoint in self.cluster.endpoints.items()
            for _, text in endpoint.executed
        ]


@pytest.fixture
async def proxy() -> AsyncIterator[Proxy]:
    proxy = Proxy()
    await proxy.start()
    yield proxy
    proxy.dispatcher.close()


async def kind_of(call) -> ErrorKind | Fault | None:
    try:
        answer = await call
    except ProxyError as error:
        return error.kind
    return answer.fault


class TestSingleStatements:
    async def test_a_primary_read_runs_at_the_primary(self, proxy: Proxy) -> None:
        answer = await proxy.run(proxy.session(), Read())
        assert answer.rows == (b"a1",)
        assert answer.digest.startswith(b"a1:")

    async def test_a_bounded_read_names_a_covering_position(self, proxy: Proxy) -> None:
        await proxy.cluster.commit(proxy.cluster["a1"])
        await asyncio.sleep(2)
        await proxy.run(proxy.session(Consistency.BOUNDED_STALENESS), Read())
        relays = [
            command
            for endpoint in proxy.cluster.endpoints.values()
            for command in endpoint.commands
            if isinstance(command, Relay)
        ]
        assert relays[0].after == LogPosition(1, 1)

    async def test_a_replica_that_lags_is_skipped(self, proxy: Proxy) -> None:
        session = proxy.session(Consistency.READ_YOUR_WRITES)
        await proxy.run(session, Write())
        for name in ("b1", "c1"):
            proxy.cluster[name].applied = 0
        for _ in range(5):
            answer = await proxy.run(session, Read())
            assert answer.rows == (b"a1",)

    async def test_replicas_that_refuse_reads_for_lag_are_marked(
        self, proxy: Proxy
    ) -> None:
        gates = proxy.dispatcher.gates
        session = proxy.session(Consistency.READ_YOUR_WRITES)
        await proxy.run(session, Write())
        proxy.cluster["b1"].applied = proxy.cluster["c1"].applied = 0
        gates["a1"].service_s = 1.0  # The replicas are tried first.
        assert (await proxy.run(session, Read())).fault is None
        assert gates["b1"].behind_since and gates["c1"].behind_since
        assert not gates["a1"].behind_since
        proxy.cluster["b1"].applied = 10**9
        assert (await proxy.run(session, Read())).fault is None
        assert not gates["b1"].behind_since

    async def test_many_refusals_in_a_second_mean_overload(self, proxy: Proxy) -> None:
        for gate in proxy.dispatcher.gates.values():
            gate.avoid_until = float("inf")
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        assert not proxy.dispatcher.is_overloaded
        calls = [kind_of(proxy.run(session, Read())) for _ in range(OVERLOAD_REFUSALS)]
        outcomes = await asyncio.gather(*calls)
        assert set(outcomes) == {ErrorKind.NOT_RUN_DEADLINE}
        assert proxy.dispatcher.is_overloaded
        await asyncio.sleep(2 * OVERLOAD_WINDOW_S)
        assert not proxy.dispatcher.is_overloaded

    async def test_another_session_need_not_see_the_write_at_once(
        self, proxy: Proxy
    ) -> None:
        await proxy.run(proxy.session(Consistency.READ_YOUR_WRITES), Write())
        for name in ("b1", "c1"):
            proxy.cluster[name].applied = 0
        proxy.cluster["a1"].silent = True
        answer = await proxy.run(proxy.session(Consistency.READ_YOUR_WRITES), Read())
        assert answer.fault is None

    async def test_an_unknown_database_is_refused(self, proxy: Proxy) -> None:
        session = StatementSession("nowhere", gateway=proxy.gateway)
        assert await kind_of(proxy.run(session, Read())) is ErrorKind.UNKNOWN_DATABASE

    async def test_a_removed_route_is_refused_at_the_next_statement(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        await proxy.run(session, Read())
        proxy.gateway.apply_routes(
            RouteTable(version=2, routes=(), groups=(), idle_transaction_s=IDLE_S)
        )
        assert await kind_of(proxy.run(session, Read())) is ErrorKind.UNKNOWN_DATABASE

    async def test_an_older_version_of_the_routes_is_ignored(
        self, proxy: Proxy
    ) -> None:
        proxy.gateway.apply_routes(table(5, timeout_s=0.1))
        assert not proxy.gateway.apply_routes(table(4))
        assert proxy.gateway.table.version == 5


class TestOutcomes:
    async def test_a_write_without_an_answer_is_unknown(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].faults = ["lose after"]
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN
        assert len(proxy.cluster["a1"].executed) == 1

    async def test_a_refused_write_is_retried(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].faults = [Fault.NOT_PRIMARY]
        answer = await proxy.run(proxy.session(), Write())
        assert answer.fault is None
        assert len(proxy.cluster["a1"].executed) == 1

    async def test_a_failed_write_is_not_retried(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].faults = [Fault.FAILED]
        answer = await proxy.run(proxy.session(), Write())
        assert answer.fault is Fault.FAILED
        assert not proxy.cluster["a1"].executed

    async def test_a_failed_read_is_retried_elsewhere(self, proxy: Proxy) -> None:
        """Guards against failed reads while one endpoint fails part of what it runs."""
        proxy.cluster["a1"].faults = [Fault.FAILED]
        answer = await proxy.run(proxy.session(Consistency.BOUNDED_STALENESS), Read())
        assert answer.fault is None
        assert not proxy.cluster["a1"].executed

    async def test_a_failed_primary_read_is_retried(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].faults = [Fault.FAILED]
        answer = await proxy.run(proxy.session(), Read())
        assert answer.fault is None
        assert [name for name, _ in proxy.executed()] == ["a1"]

    async def test_failed_reads_are_retried_within_a_budget(self, proxy: Proxy) -> None:
        for endpoint in proxy.cluster.endpoints.values():
            endpoint.faults = [Fault.FAILED] * 1000
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        for _ in range(100):
            assert (await proxy.run(session, Read())).fault is Fault.FAILED
        left = sum(
            len(endpoint.faults) for endpoint in proxy.cluster.endpoints.values()
        )
        # 100 first attempts, 20 retries saved up before, 20 earned.
        assert 3000 - left == pytest.approx(140, abs=2)

    async def test_a_failed_read_is_not_reported_as_not_run(self, proxy: Proxy) -> None:
        proxy.cluster["a1"].faults = [Fault.FAILED] + [Fault.BUSY] * 5
        outcome = await kind_of(proxy.run(proxy.session(), Read()))
        assert outcome is ErrorKind.READ_UNANSWERED

    async def test_an_endpoint_that_fails_reads_gets_fewer(self, proxy: Proxy) -> None:
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        for _ in range(40):
            proxy.cluster["a1"].faults = [Fault.FAILED]
            await proxy.run(session, Read())
        tried = [name for name, _ in proxy.executed()]
        assert proxy.dispatcher.gates["a1"].fault_rate < 0.9
        proxy.cluster["a1"].faults = []
        for _ in range(10):
            await proxy.run(session, Read())
        assert "a1" not in [name for name, _ in proxy.executed()][len(tried) :]

    async def test_a_read_without_an_answer_is_retried_elsewhere(
        self, proxy: Proxy
    ) -> None:
        for endpoint in proxy.cluster.endpoints.values():
            endpoint.faults = ["lose"]
        proxy.cluster["c1"].faults = []
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        answer = await proxy.run(session, Read())
        assert answer.rows == (b"c1",)

    async def test_a_read_that_was_sent_is_not_reported_as_not_run(
        self, proxy: Proxy
    ) -> None:
        for endpoint in proxy.cluster.endpoints.values():
            endpoint.faults = ["lose"] * 9
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        outcome = await kind_of(proxy.run(session, Read()))
        assert outcome is ErrorKind.READ_UNANSWERED

    async def test_a_read_at_a_silent_endpoint_is_retried_soon(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        await proxy.run(session, Read())
        proxy.cluster["a1"].silent = proxy.cluster["b1"].silent = True
        started = proxy.clock.monotonic()
        answer = await proxy.run(session, Read())
        assert answer.rows == (b"c1",)
        assert proxy.clock.monotonic() - started < 3 * MIN_TIMEOUT_S

    async def test_without_evidence_a_primary_read_is_refused_unsent(
        self, proxy: Proxy
    ) -> None:
        for name in ("b1", "c1"):
            proxy.cluster[name].silent = True
        with pytest.raises(ProxyError) as refused:
            await proxy.run(proxy.session(), Read())
        assert refused.value.spec.ran is Ran.NO
        assert not proxy.cluster["a1"].executed

    async def test_a_replica_under_a_later_term_gives_no_evidence(
        self, proxy: Proxy
    ) -> None:
        for name in ("b1", "c1"):
            proxy.cluster[name].held_term = 2
        outcome = await kind_of(proxy.run(proxy.session(), Read()))
        assert outcome in (ErrorKind.FRESHNESS_UNPROVEN, ErrorKind.NOT_RUN_NO_PRIMARY)
        assert not proxy.cluster["a1"].executed

    async def test_a_restarted_replica_gives_no_evidence_alone(
        self, proxy: Proxy
    ) -> None:
        """Guards against a proof from a replica that forgot its pause in a restart.

        The other replica is still paused under the later term.
        """
        for name in ("b1", "c1"):
            proxy.cluster[name].held_term = 2
        proxy.cluster["b1"].restart()
        outcome = await kind_of(proxy.run(proxy.session(), Read()))
        assert isinstance(outcome, ErrorKind)
        assert not proxy.cluster["a1"].executed

    async def test_an_outdated_roster_does_not_hide_a_new_replica(
        self, proxy: Proxy
    ) -> None:
        """Guards against a proof from the members of an outdated roster alone.

        A VM that is no longer a home does not receive new members.
        """

        class OutdatedRoster:
            def replicas_in_term(self, term: int) -> list[str]:
                return ["b1"]

            def witnesses(self, term: int, primary: str) -> dict[str, EndpointInfo]:
                return {"b1": proxy.cluster["b1"].info}

            def unsealed_at(self, term: int, primary: str) -> float:
                return proxy.clock.monotonic()

            async def read_again(self) -> None:
                pass

        proxy.group._roster = OutdatedRoster()
        proxy.group.is_monitored = False
        proxy.cluster["c1"].held_term = 2
        for name in ("b1", "c1"):
            proxy.cluster[name].restart()
        proxy.cluster["c1"].held_term = 2
        outcome = await kind_of(proxy.run(proxy.session(), Read()))
        assert isinstance(outcome, ErrorKind)
        assert not proxy.cluster["a1"].executed


class TestWithoutSynchronousReplicas:
    async def test_a_commit_needs_evidence_after_it(self, proxy: Proxy) -> None:
        proxy.gateway.apply_routes(table(2, synchronous=0))
        answer = await proxy.run(proxy.session(), Write())
        assert answer.fault is None

    async def test_a_replaced_primary_acknowledges_nothing(self, proxy: Proxy) -> None:
        proxy.gateway.apply_routes(table(2, synchronous=0))
        for name in ("b1", "c1"):
            proxy.cluster[name].held_term = 2
        proxy.cluster.synchronous_replication = False
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN


class TestTransactions:
    async def test_statements_keep_their_connection(self, proxy: Proxy) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        for _ in range(3):
            answer = await proxy.run(session, Write())
            assert answer.state is TransactionState.OPEN
        answer = await proxy.run(session, Commit())
        assert answer.state is TransactionState.IDLE
        assert answer.digest.startswith(b"a1:")
        opened = [
            c for c in proxy.cluster["a1"].commands if isinstance(c, OpenTransaction)
        ]
        assert len(opened) == 1

    async def test_a_transaction_is_opened_with_the_id_of_its_begin(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        begin = proxy.request(Begin(read_only=False))
        await session.execute(begin)
        await proxy.run(session, Write())
        (opened,) = (
            c for c in proxy.cluster["a1"].commands if isinstance(c, OpenTransaction)
        )
        assert opened.request_id == begin.id
        await session.close()

    async def test_a_read_only_transaction_may_run_at_a_replica(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session(Consistency.BOUNDED_STALENESS)
        proxy.cluster["a1"].refusing = True
        await proxy.run(session, Begin(read_only=True))
        answer = await proxy.run(session, Read())
        assert answer.rows in ((b"b1",), (b"c1",))
        await proxy.run(session, Commit())

    async def test_a_lost_statement_rolls_back(self, proxy: Proxy) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        proxy.cluster["a1"].faults = ["lose"]
        outcome = await kind_of(proxy.run(session, Write()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK
        assert session.state is TransactionState.FAILED
        refused = await kind_of(proxy.run(session, Read()))
        assert refused is ErrorKind.TRANSACTION_ABORTED
        committed = await kind_of(proxy.run(session, Commit()))
        assert committed is ErrorKind.NOT_RUN_ROLLED_BACK
        assert session.state is TransactionState.IDLE
        assert not proxy.cluster.acknowledged

    async def test_a_commit_without_an_answer_is_unknown(self, proxy: Proxy) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        proxy.cluster["a1"].faults = ["lose after"]
        outcome = await kind_of(proxy.run(session, Commit()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN

    async def test_a_lost_commit_without_writes_is_a_rollback(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Read())
        proxy.cluster["a1"].faults = ["lose after"]
        outcome = await kind_of(proxy.run(session, Commit()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK

    async def test_an_empty_transaction_is_committed_at_an_endpoint(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        answer = await proxy.run(session, Commit())
        assert answer.digest.startswith(b"a1:")

    async def test_idle_transactions_leave_connections_to_other_statements(
        self, proxy: Proxy
    ) -> None:
        """Guards against idle transactions that hold all connections of an endpoint."""
        idle = [proxy.session() for _ in range(8)]
        opened = 0
        for session in idle:
            await proxy.run(session, Begin(read_only=False))
            opened += await kind_of(proxy.run(session, Write())) is None
        gate = proxy.dispatcher.gates["a1"]
        assert opened == gate.pinned == 4 < gate.max_links == 5
        assert (await proxy.run(proxy.session(), Write())).fault is None
        for session in idle:
            await session.close()
        assert gate.pinned == 0
        again = proxy.session()
        await proxy.run(again, Begin(read_only=False))
        assert (await proxy.run(again, Write())).fault is None

    async def test_an_idle_transaction_is_rolled_back_and_reported(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        await asyncio.sleep(IDLE_S + 0.1)
        assert proxy.dispatcher.gates["a1"].running == 0
        assert session.state is TransactionState.FAILED
        outcome = await kind_of(proxy.run(session, Commit()))
        assert outcome is ErrorKind.IDLE_TRANSACTION
        assert session.state is TransactionState.IDLE
        assert not proxy.cluster.acknowledged

    async def test_a_client_that_leaves_rolls_back(self, proxy: Proxy) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        await session.close()
        await asyncio.sleep(0.1)
        assert not proxy.cluster.acknowledged
        assert proxy.gateway.open_transactions == 0


class TestBusyEndpoints:
    async def test_a_commit_that_was_not_run_is_retried(self, proxy: Proxy) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        proxy.cluster["a1"].faults = [Fault.BUSY, Fault.BUSY]
        answer = await proxy.run(session, Commit())
        assert answer.fault is None
        assert len(proxy.cluster.acknowledged) == 1

    async def test_a_connection_with_an_open_transaction_is_closed(
        self, proxy: Proxy
    ) -> None:
        """Guards against a next statement that runs inside a former transaction.

        A commit that the endpoint was too busy to run leaves the transaction open on
        its connection, which must then not be reused.
        """
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        proxy.cluster["a1"].faults = [Fault.BUSY] * 10
        answer = await proxy.run(session, Commit())
        assert answer.fault is Fault.BUSY
        assert session.state is TransactionState.IDLE
        proxy.cluster["a1"].faults = []
        links = proxy.cluster["a1"].links
        assert not any(link.usable and link.in_transaction for link in links)
        await proxy.run(proxy.session(), Write())
        assert len(proxy.cluster.acknowledged) == 1


class TestSharedLimit:
    async def test_one_connection_serves_statements_and_status(self) -> None:
        """Guards against exhausted connections, as with 36 VMs and a limit of 46."""
        proxy = Proxy()
        proxy.dispatcher.lends_idle_connections = True
        proxy.group = ReplicationGroup(
            "g",
            zone="a",
            dialer=proxy.cluster,
            clock=proxy.clock,
            idle_pool=proxy.dispatcher,
        )
        proxy.gateway.groups["g"] = proxy.group
        await proxy.start()
        for _ in range(5):
            await proxy.run(proxy.session(), Read())
            await proxy.group.ask("a1")
        assert len([x for x in proxy.cluster["a1"].links if x.usable]) == 1
        proxy.dispatcher.close()


class TestSharedState:
    async def test_values_are_set_for_each_session(self, proxy: Proxy) -> None:
        first, second = proxy.session(), proxy.session()
        await proxy.run(first, SetParameter(b"zone", b"1"))
        await proxy.run(second, SetParameter(b"lang", b"ms"))
        seen = []
        for session in (first, second, first):
            await proxy.run(session, Read())
            link = next(x for x in proxy.cluster["a1"].links if x.values)
            seen.append(dict(link.server_values))
        assert seen == [{b"zone": b"1"}, {b"lang": b"ms"}, {b"zone": b"1"}]

    async def test_a_session_without_values_gets_a_clean_connection(
        self, proxy: Proxy
    ) -> None:
        first, second = proxy.session(), proxy.session()
        await proxy.run(first, SetParameter(b"zone", b"1"))
        await proxy.run(first, Read())
        await proxy.run(second, Read())
        statements = [
            link
            for link in proxy.cluster["a1"].links
            if link.server_values and link.values
        ]
        assert not statements
        assert any(isinstance(c, ClearSession) for c in proxy.cluster["a1"].commands)

    async def test_sessions_can_use_the_same_prepared_name(self, proxy: Proxy) -> None:
        first, second = proxy.session(), proxy.session()
        await proxy.run(first, Prepare(b"s1", False, b"q1"))
        await proxy.run(second, Prepare(b"s1", True, b"q2"))
        read = await proxy.run(first, Execute(b"s1", b"7"))
        wrote = await proxy.run(second, Execute(b"s1", b"7 x"))
        assert read.rows
        assert not wrote.rows
        assert proxy.cluster.acknowledged

    async def test_an_unknown_name_is_refused(self, proxy: Proxy) -> None:
        outcome = await kind_of(proxy.run(proxy.session(), Execute(b"s9", b"7")))
        assert outcome is ErrorKind.UNKNOWN_STATEMENT

    async def test_values_set_in_a_rolled_back_transaction_are_cleared(
        self, proxy: Proxy
    ) -> None:
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        await proxy.run(session, Write())
        await proxy.run(session, SetParameter(b"zone", b"2"))
        await proxy.run(session, Write())
        assert any(isinstance(c, SetValue) for c in proxy.cluster["a1"].commands)
        await proxy.run(session, Rollback())
        assert not any(
            link.server_values for link in proxy.cluster["a1"].links if link.usable
        )


class TestFailoverSeenByClients:
    async def test_closing_a_group_does_not_lose_its_primary(
        self, proxy: Proxy
    ) -> None:
        """Guards against a VM that logs lost primaries while it stops (inc-396f)."""
        proxy.group.close()
        assert proxy.group.primary == "a1"

    async def test_positions_of_the_old_term_are_dropped(self, proxy: Proxy) -> None:
        await proxy.group.sample()
        assert proxy.group.position_covering(0.0) is not None
        proxy.cluster["a1"].silent = True
        proxy.cluster.take_over("b1")
        await proxy.group.refresh()
        assert proxy.group.primary == "b1"
        assert proxy.group.position_covering(0.0) is None

    async def test_a_write_waits_for_a_promotion_expected_in_time(
        self, proxy: Proxy
    ) -> None:
        for name in ("b1", "c1"):
            proxy.cluster[name].held_term = 2
        proxy.cluster["a1"].refusing = True
        await proxy.group.refresh()
        assert proxy.group.primary is None
        proxy.group.primary_expected_at = proxy.clock.monotonic() + 0.3
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, proxy.cluster.take_over, "b1")
        answer = await proxy.run(proxy.session(), Write())
        assert answer.fault is None
        assert proxy.executed() == [("b1", b"WRITE 1 x")]

    async def test_a_write_is_refused_at_once_without_such_a_promotion(
        self, proxy: Proxy
    ) -> None:
        for name in ("b1", "c1"):
            proxy.cluster[name].held_term = 2
        proxy.cluster["a1"].refusing = True
        await proxy.group.refresh()
        proxy.group.primary_expected_at = proxy.clock.monotonic() + 5.0
        started = proxy.clock.monotonic()
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.NOT_RUN_NO_PRIMARY
        assert proxy.clock.monotonic() - started < 4 * WORK_S
