"""Tests of sessions that are ended while a statement of theirs runs or waits.

An endpoint that was too busy for a transaction's statement leaves the transaction open,
and the statement is sent again after a pause. The connection is idle meanwhile.
"""

from __future__ import annotations

import asyncio

import pytest
from fakes import event_loop_policy  # noqa: F401
from replicated_fakes import FakeEndpoint
from test_gateway import Proxy, kind_of, proxy  # noqa: F401
from test_relay import Site, site  # noqa: F401

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import Begin, Commit, Read, Write
from celeryjunction.relay.messages import EndTransaction, encode
from celeryjunction.replication.ports import Answer, Fault, TransactionState


def shutting_down() -> ProxyError:
    return ProxyError(ErrorKind.SHUTTING_DOWN)


async def open_transaction(proxy: Proxy) -> StatementSession:  # noqa: F811
    session = proxy.session()
    await proxy.run(session, Begin(read_only=False))
    await proxy.run(session, Write())
    return session


async def start_refused(
    proxy: Proxy,  # noqa: F811
    session: StatementSession,
    statement: object,
) -> asyncio.Task[Answer]:
    """Start a statement that the endpoint refuses; return while it waits to retry."""
    endpoint = proxy.cluster["a1"]
    endpoint.faults = [Fault.BUSY]
    running = asyncio.create_task(proxy.run(session, statement))
    while endpoint.faults:
        await asyncio.sleep(0.001)
    await asyncio.sleep(0.002)
    assert not running.done()
    return running


def open_links(endpoint: FakeEndpoint) -> list[object]:
    """Return the connections on which a transaction is open."""
    return [link for link in endpoint.links if link.in_transaction and link.usable]


class TestAbort:
    async def test_a_statement_that_waits_to_be_retried_stays_in_its_transaction(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        """Guards against a write that is committed alone after its rollback.

        A stopping home aborted the transaction during the pause before the retry
        (review/3).
        """
        session = await open_transaction(proxy)
        running = await start_refused(proxy, session, Write())
        session.abort(shutting_down())
        assert (await running).state is TransactionState.OPEN
        assert not proxy.cluster.acknowledged
        session.abort(shutting_down())
        assert await kind_of(proxy.run(session, Commit())) is ErrorKind.SHUTTING_DOWN
        assert not proxy.cluster.acknowledged
        assert not open_links(proxy.cluster["a1"])

    async def test_a_commit_that_waits_to_be_retried_is_answered_truthfully(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        """Guards against a COMMIT that is sent again after the rollback."""
        session = await open_transaction(proxy)
        running = await start_refused(proxy, session, Commit())
        session.abort(shutting_down())
        assert (await running).fault is None
        assert len(proxy.cluster.acknowledged) == 1

    async def test_a_commit_that_waits_for_a_witness_keeps_its_connection(
        self,
        proxy: Proxy,  # noqa: F811
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Guards against an internal error for a COMMIT beside an abort."""
        session = await open_transaction(proxy)
        receipts = proxy.group.receipts
        waiting, may_go_on = asyncio.Event(), asyncio.Event()
        expect_witness = receipts.expect_witness

        async def wait(**options: float) -> bool:
            waiting.set()
            await may_go_on.wait()
            return await expect_witness(**options)

        monkeypatch.setattr(type(receipts), "expect_witness", lambda _, **o: wait(**o))
        running = asyncio.create_task(proxy.run(session, Commit()))
        await waiting.wait()
        session.abort(shutting_down())
        await asyncio.sleep(0.01)
        may_go_on.set()
        assert (await running).fault is None
        assert len(proxy.cluster.acknowledged) == 1


class TestClose:
    async def test_a_statement_that_waits_to_be_retried_is_not_sent_again(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        """Guards against a write that is committed alone after its client left."""
        session = await open_transaction(proxy)
        running = await start_refused(proxy, session, Write())
        await session.close()
        assert running.cancelled()
        assert not proxy.cluster.acknowledged
        assert not open_links(proxy.cluster["a1"])
        assert proxy.gateway.open_transactions == 0

    async def test_a_commit_that_waits_to_be_retried_is_rolled_back(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        session = await open_transaction(proxy)
        running = await start_refused(proxy, session, Commit())
        await session.close()
        assert running.cancelled()
        assert not proxy.cluster.acknowledged
        assert not open_links(proxy.cluster["a1"])

    async def test_a_transaction_that_is_being_opened_is_not_left_open(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        """Guards against a pinned connection that no session knows any more."""
        session = proxy.session()
        await proxy.run(session, Begin(read_only=False))
        running = asyncio.create_task(proxy.run(session, Write()))
        gate = proxy.dispatcher.gates["a1"]
        while not gate.running:
            await asyncio.sleep(0.0001)
        await session.close()
        await asyncio.wait({running})
        assert gate.pinned == gate.running == 0
        assert not open_links(proxy.cluster["a1"])

    async def test_a_closed_session_runs_nothing(self, proxy: Proxy) -> None:  # noqa: F811
        """Guards against a statement that runs outside its ended transaction."""
        session = await open_transaction(proxy)
        await session.close()
        outcome = await kind_of(proxy.run(session, Write()))
        assert outcome is ErrorKind.NOT_RUN_ROLLED_BACK
        assert not proxy.cluster.acknowledged


class TestDrainOfAHome:
    async def test_only_transactions_without_a_running_statement_are_aborted(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against a forwarded write that runs outside its transaction.

        The drain of its home aborted the transaction between two attempts (review/3).
        """
        waiting, idle = site.session(), site.session()
        for session in (waiting, idle):
            await site.run(session, Begin(read_only=False))
            await site.run(session, Write())
        endpoint = site.cluster["a1"]
        endpoint.faults = [Fault.BUSY]
        running = asyncio.create_task(site.run(waiting, Write()))
        await site.until(lambda: not endpoint.faults)
        await asyncio.sleep(0.005)
        site.homes[0].server.abort_idle(shutting_down())
        assert (await running).state is TransactionState.OPEN
        assert (await site.run(waiting, Commit())).fault is None
        assert await kind_of(site.run(idle, Commit())) is ErrorKind.SHUTTING_DOWN
        assert len(site.cluster.acknowledged) == 1


class TestEndAtAHome:
    async def test_a_client_that_leaves_during_a_retry_commits_nothing(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against a forwarded write that runs after its transaction's end."""
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        endpoint = site.cluster["a1"]
        endpoint.faults = [Fault.BUSY]
        running = asyncio.create_task(site.run(session, Write()))
        await site.until(lambda: not endpoint.faults)
        running.cancel()
        await asyncio.wait({running})
        await session.close()
        home = site.homes[0]
        await site.until(lambda: not home.server.busy)
        assert not site.cluster.acknowledged
        assert not open_links(endpoint)
        assert home.dispatcher.gates["a1"].pinned == 0

    async def test_a_forwarding_vm_that_is_lost_does_not_stop_a_rollback(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against a transaction that stays open at a home after its end."""
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        home = site.homes[0]
        ((vm, serving),) = home.server._forwarding_vms.items()
        site.cluster["a1"].silent = True
        running = asyncio.create_task(kind_of(site.run(session, Write())))
        await site.until(lambda: home.dispatcher.gates["a1"].running)
        (seat,) = vm.transactions
        vm._handle(encode(EndTransaction(seat)))
        await asyncio.sleep(0)
        serving.cancel()
        await running
        await site.until(lambda: not home.server._forwarding_vms)
        assert home.gateway.open_transactions == 0
        assert home.dispatcher.gates["a1"].pinned == 0
        assert not open_links(site.cluster["a1"])

    async def test_a_begin_that_is_cancelled_opens_nothing_at_the_home(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against a transaction that nobody ends: its client left at BEGIN.

        It would delay the drain of the home until the grace time ends.
        """
        running = asyncio.create_task(site.run(site.session(), Begin(read_only=False)))
        link = site.links[0]
        await asyncio.sleep(0)
        assert link._outcomes
        running.cancel()
        await asyncio.wait({running})
        assert not link.busy
        home = site.homes[0]
        await site.run(site.session(), Read())
        await site.until(lambda: not home.server.busy)
        assert home.gateway.open_transactions == 0


class TestStatementDuringAnAbort:
    async def test_it_is_not_forwarded(
        self,
        site: Site,  # noqa: F811
    ) -> None:
        """Guards against a write that runs alone while its transaction is rolled back.

        The transaction is open on a VM that forwards, since it found no home.
        """
        for vm in site.homes:
            await vm.server.close()
        await site.until(lambda: not any(link.usable for link in site.links))
        session = site.session()
        await site.run(session, Begin(read_only=False))
        await site.run(session, Write())
        for vm in site.homes:
            await vm.server.start("127.0.0.1", vm.port)
        await site.until(lambda: all(link.usable for link in site.links))
        session.abort(shutting_down())
        await asyncio.sleep(0)
        assert session.state is TransactionState.FAILED
        outcome = await kind_of(site.run(session, Write()))
        assert outcome is ErrorKind.TRANSACTION_ABORTED
        assert await kind_of(site.run(session, Commit())) is ErrorKind.SHUTTING_DOWN
        assert not site.cluster.acknowledged

    async def test_a_client_that_leaves_does_not_stop_the_rollback(
        self,
        proxy: Proxy,  # noqa: F811
    ) -> None:
        """Guards against a connection that is closed in the middle of a rollback."""
        session = await open_transaction(proxy)
        session.abort(shutting_down())
        running = asyncio.create_task(proxy.run(session, Write()))
        await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait({running})
        await session.close()
        gate = proxy.dispatcher.gates["a1"]
        assert gate.pinned == gate.running == 0
        assert all(link.usable for link in proxy.cluster["a1"].links)
        assert not open_links(proxy.cluster["a1"])
        assert proxy.gateway.open_transactions == 0
