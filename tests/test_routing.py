"""Tests of statement routing: at which proxy a statement or transaction runs."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
from _peer_support import ROWS, STEP, FakeGroup, FakeHome, make_work, shed_error
from _store_support import FakeTime, eventually

from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.marks import CustomerMarks
from celeryjunction.peers import Done, Execute, Write
from celeryjunction.routing import RoutedGroup

TERMS = {"begin_sql": "BEGIN", "read_only": False, "started_at": 0.0}


class EntryProxy:
    """An entry proxy `me`, third in the order of homes after its peers `a` and `b`."""

    vm = "me"

    def __init__(self) -> None:
        self.time = FakeTime()
        self.peers = {vm: FakeHome(self.time, vm) for vm in ("a", "b")}
        self.local = FakeGroup()
        self.order = ["a", "b", "me"]
        self.group = RoutedGroup(
            "db1", homes=self, local=self.local, marks=CustomerMarks(), clock=self.time
        )

    def homes(self, database: str) -> list[str]:
        return self.order

    def link(self, vm: str):
        return self.peers[vm].link

    def work(self, **changes: object):
        return make_work(self.time, **changes)

    def runs(self) -> dict[str, list[str]]:
        groups = {vm: home.group for vm, home in self.peers.items()}
        return {vm: group.runs for vm, group in {**groups, "me": self.local}.items()}


@pytest.fixture
async def entry() -> AsyncIterator[EntryProxy]:
    entry = EntryProxy()
    yield entry
    for home in entry.peers.values():
        await home.close()


class TestRoutedGroup:
    async def test_statement_runs_at_the_first_home(self, entry: EntryProxy) -> None:
        assert await entry.group.read(entry.work(), STEP) == ROWS
        assert entry.runs() == {"a": ["read"], "b": [], "me": []}
        entry.order = ["me", "a", "b"]
        await entry.group.write(entry.work(), STEP)
        assert entry.runs() == {"a": ["read"], "b": [], "me": ["write"]}

    async def test_unreachable_and_draining_homes_are_skipped(
        self, entry: EntryProxy
    ) -> None:
        entry.peers["a"].reachable = False
        await entry.group.write(entry.work(), STEP)
        assert entry.group.home == "b"
        entry.peers["b"].server.draining = True
        await entry.group.write(entry.work(), STEP)
        assert entry.runs() == {"a": [], "b": ["write"], "me": ["write"]}

    async def test_read_without_an_answer_runs_at_the_next_home(
        self, entry: EntryProxy
    ) -> None:
        entry.peers["a"].drop_answers = (Done,)
        assert await entry.group.read(entry.work(), STEP) == ROWS
        assert entry.runs() == {"a": ["read"], "b": ["read"], "me": []}

    async def test_write_without_an_answer_is_not_repeated(
        self, entry: EntryProxy
    ) -> None:
        entry.peers["a"].drop_answers = (Done,)
        with pytest.raises(ProxyError) as caught:
            await entry.group.write(entry.work(), STEP)
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
        assert entry.runs() == {"a": ["write"], "b": [], "me": []}

    async def test_repeatable_write_without_an_answer(self, entry: EntryProxy) -> None:
        # Guards against answering "not run", as the second home does, for a write that
        # may have run at the first.
        entry.peers["a"].drop_requests = (Write,)
        entry.peers["b"].group.error = shed_error()
        with pytest.raises(ProxyError) as caught:
            await entry.group.write(entry.work(repeatable=True), STEP)
        assert caught.value.kind is ErrorKind.OUTCOME_UNKNOWN
        entry.peers["b"].group.error = None
        await eventually(lambda: entry.peers["a"].link.usable)
        await entry.group.write(entry.work(repeatable=True), STEP)
        assert entry.runs() == {"a": [], "b": ["write"], "me": []}

    async def test_deadline_ends_the_search_for_a_home(self, entry: EntryProxy) -> None:
        late = entry.work()
        entry.time.advance(late.deadline_s + 1)
        with pytest.raises(ProxyError) as caught:
            await entry.group.write(late, STEP)
        assert caught.value.kind is ErrorKind.NOT_RUN_DEADLINE

    async def test_marks_and_lost_terms_of_home_and_local_group(
        self, entry: EntryProxy
    ) -> None:
        await entry.group.write(entry.work(), STEP)
        assert entry.group.mark("coop") == (1, 1)
        entry.local.lost_write_term = 3
        assert entry.group.lost_term("coop") == 3


class TestRoutedTransaction:
    async def test_transaction_stays_at_the_proxy_where_it_began(
        self, entry: EntryProxy
    ) -> None:
        transaction = entry.group.begin(**TERMS)
        await transaction.execute(entry.work(), STEP)
        entry.order = ["b", "a", "me"]
        await transaction.execute(entry.work(), STEP)
        assert await transaction.commit(entry.work()) == "COMMIT"
        assert entry.runs()["a"] == ["execute", "execute", "commit"]

    async def test_transaction_moves_to_the_next_home_only_if_nothing_was_sent(
        self, entry: EntryProxy
    ) -> None:
        entry.peers["a"].reachable = False
        transaction = entry.group.begin(**TERMS)
        await transaction.execute(entry.work(), STEP)
        assert entry.runs() == {"a": [], "b": ["execute"], "me": []}
        await transaction.rollback()
        entry.peers["b"].entry_stream.drop = (Execute,)
        transaction = entry.group.begin(**TERMS)
        with pytest.raises(ProxyError) as caught:
            await transaction.execute(entry.work(), STEP)
        assert caught.value.kind is ErrorKind.NOT_RUN_ROLLED_BACK
        assert transaction.failed and not transaction.opened
        assert await transaction.commit(entry.work()) == "ROLLBACK"
        assert entry.runs()["me"] == []

    async def test_local_and_empty_transactions(self, entry: EntryProxy) -> None:
        entry.order = ["me"]
        transaction = entry.group.begin(**TERMS)
        assert await transaction.describe(entry.work(), STEP) is None
        assert await transaction.commit(entry.work()) == "COMMIT"
        await transaction.execute(entry.work(), STEP)
        assert transaction.opened
        transaction.abort()
        await asyncio.sleep(0)
        assert entry.local.transactions[0].ended == "abort"
