"""Tests of contract changes and their audit trail."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from _store_support import FakeTime, background_tasks, eventually, running_store

from celeryjunction import contracts_store
from celeryjunction.contracts_store import (
    Accepted,
    Conflict,
    ContractStore,
    NotApplied,
    Rejected,
    Unknown,
    diff,
    lagging_vms,
)
from celeryjunction.membership import VmRecord
from celeryjunction.ports import KeyValueList, StoreRefused


def make_contracts(store, time: FakeTime | None = None) -> ContractStore:
    return ContractStore(
        store,
        clock=time or FakeTime(),
        validate=lambda text: ["it is bad"] if "bad" in text else [],
        random=Random(1),
        sleep=time.sleep if time else asyncio.sleep,
    )


def change(contracts: ContractStore, text: str, base: int, change_id: str, **options):
    options = {"author": "mei", "reason": "test"} | options
    return contracts.set(
        "co-op", text, base_revision=base, change_id=change_id, **options
    )


async def no_contract(*_: object, **__: object) -> None:
    return None


async def no_trail(*_: object, **__: object) -> KeyValueList:
    return KeyValueList((), 1)


class TestSet:
    async def test_contract_and_audit_entry_are_written_together(self) -> None:
        async with running_store() as (_, store):
            contracts = make_contracts(store)
            first = await change(contracts, "one", 0, "c1")
            shed = '{shed_orders: [{signed_by: "director"}]}'
            second = await change(contracts, shed, first.revision, "c2", author="ana")
            current = await contracts.get("co-op")
            assert (current.text, current.revision) == (shed, second.revision)
            newest = (await contracts.audit())[-1]
            entry = newest.entry
            assert newest.revision == second.revision
            assert (entry.before, entry.after) == ("one", shed)
            assert (entry.author, entry.change_id) == ("ana", "c2")
            assert entry.base_revision == first.revision
            assert entry.shed_signers == ("director",)
            assert [v.text for v in await contracts.history("co-op")] == ["one", shed]

    async def test_one_of_several_concurrent_changes_wins(self) -> None:
        # Guards against a change that silently overwrites a concurrent one.
        async with running_store() as (_, store):
            base = (await change(make_contracts(store), "base", 0, "c0")).revision
            outcomes = await asyncio.gather(
                *(
                    change(make_contracts(store), f"by {n}", base, f"c{n}")
                    for n in range(1, 6)
                )
            )
            winners = [o for o in outcomes if isinstance(o, Accepted)]
            losers = [o for o in outcomes if isinstance(o, Conflict)]
            assert (len(winners), len(losers)) == (1, 4)
            current = await make_contracts(store).get("co-op")
            assert current.revision == winners[0].revision
            assert losers[0].current == current
            assert f"-{current.text}" in losers[0].diff
            assert len(await make_contracts(store).audit("co-op")) == 2

    async def test_invalid_changes_are_rejected_without_a_call(self) -> None:
        async with running_store() as (_, store):
            contracts = make_contracts(store)
            assert await change(contracts, "bad", 0, "c") == Rejected(("it is bad",))
            assert isinstance(
                await change(contracts, "x", 0, "c", reason=" "), Rejected
            )
            assert store.total_calls == 0
            large = await change(contracts, "x" * 2**20, 0, "c")
            assert isinstance(large, Rejected) and await contracts.get("co-op") is None

    async def test_audit_trail_is_bounded(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against an audit trail that grows without bound.
        monkeypatch.setattr(contracts_store, "MAX_AUDIT_ENTRIES", 3)
        async with running_store() as (_, store):
            contracts, base = make_contracts(store), 0
            for number in range(6):
                base = (
                    await change(contracts, str(number), base, f"c{number}")
                ).revision
            assert [r.entry.after for r in await contracts.audit("co-op")] == [
                "3",
                "4",
                "5",
            ]


class TestLostAnswers:
    @pytest.mark.parametrize("mode", ["unavailable", "hang"])
    async def test_a_change_that_took_effect_is_accepted(self, mode: str) -> None:
        # Guards against reporting a conflict, or applying the change twice, if only
        # the answer to the change was lost.
        async with running_store() as (server, store):
            server.lose_answers(1, mode=mode)
            outcome = await change(make_contracts(store), "one", 0, "c1")
            current = await make_contracts(store).get("co-op")
            assert outcome == Accepted(current.revision)
            assert len(await make_contracts(store).audit("co-op")) == 1

    async def test_a_replaced_change_is_accepted(self) -> None:
        # Guards against reporting a conflict for a change that was applied and then
        # replaced: only the audit trail still shows it.
        async with running_store() as (server, store):
            time = FakeTime()
            server.lose_answers(1)
            async with background_tasks(
                change(make_contracts(store, time), "one", 0, "c1")
            ) as tasks:
                await eventually(lambda: time.sleepers != [])
                base = (await make_contracts(store).get("co-op")).revision
                await change(make_contracts(store), "two", base, "c2")
                await eventually(tasks[0].done, time, limit=30)
            assert tasks[0].result() == Accepted(base)
            assert (await make_contracts(store).get("co-op")).text == "two"

    async def test_a_change_that_takes_effect_late_is_applied_once(self) -> None:
        # Guards against a delayed change that takes effect besides its retry.
        async with running_store() as (server, store):
            time = FakeTime()
            server.delay_changes(1)
            async with background_tasks(
                change(make_contracts(store, time), "one", 0, "c1")
            ) as tasks:
                await eventually(lambda: time.sleepers != [])
                await eventually(tasks[0].done, time, limit=30)
            assert isinstance(tasks[0].result(), Accepted)
            server.release_changes()
            assert len(await make_contracts(store).audit("co-op")) == 1

    async def test_outcome_is_unknown_if_the_read_fails_too(self) -> None:
        async with running_store() as (server, store):
            time = FakeTime()
            server.lose_answers(1)
            async with background_tasks(
                change(make_contracts(store, time), "one", 0, "c1")
            ) as tasks:
                await eventually(lambda: time.sleepers != [])
                server.outage()
                await eventually(tasks[0].done, time, limit=30)
            assert isinstance(tasks[0].result(), Unknown)
            server.heal()
            # Repeating the change with the same id yields the outcome of the first.
            again = await change(make_contracts(store), "one", 0, "c1")
            assert again == Accepted(
                (await make_contracts(store).get("co-op")).revision
            )

    @pytest.mark.parametrize("refused_call", ["get", "compare_and_put"])
    async def test_a_refused_retry_does_not_deny_the_first_attempt(
        self, refused_call: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against reporting that nothing was changed while an earlier attempt,
        # whose answer was lost, took effect or still may.
        async with running_store() as (server, store):
            server.lose_answers(1)
            time = FakeTime()
            async with background_tasks(
                change(make_contracts(store, time), "one", 0, "c1")
            ) as tasks:
                await eventually(lambda: time.sleepers != [])

                async def refuse(*_: object, **__: object) -> None:
                    raise StoreRefused("too many requests")

                monkeypatch.setattr(type(store), refused_call, refuse)
                if refused_call == "compare_and_put":
                    # The first attempt is not visible yet.
                    monkeypatch.setattr(type(store), "get", no_contract)
                    monkeypatch.setattr(type(store), "list", no_trail)
                await eventually(tasks[0].done, time, limit=30)
            assert isinstance(tasks[0].result(), Unknown)

    async def test_a_refused_first_attempt_is_rejected(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async with running_store() as (_, store):

            async def refuse(*_: object, **__: object) -> None:
                raise StoreRefused("not permitted")

            monkeypatch.setattr(type(store), "compare_and_put", refuse)
            assert isinstance(
                await change(make_contracts(store), "one", 0, "c1"), Rejected
            )

    async def test_nothing_is_sent_during_an_outage(self) -> None:
        # Guards against an unknown outcome for a change that was never sent.
        async with running_store() as (server, store):
            time = FakeTime()
            server.outage()
            async with background_tasks(
                change(make_contracts(store, time), "one", 0, "c1")
            ) as tasks:
                await eventually(tasks[0].done, time, limit=30)
            assert isinstance(tasks[0].result(), NotApplied)
            assert "Txn" not in server.state()["calls"]

    async def test_change_id_of_another_change_is_rejected(self) -> None:
        # Guards against accepting a text that was never stored.
        async with running_store() as (_, store):
            await change(make_contracts(store), "one", 0, "c1")
            outcome = await change(make_contracts(store), "two", 0, "c1")
            assert isinstance(outcome, Rejected)


class TestReports:
    def test_lagging_vms_lists_vms_below_the_revision(self) -> None:
        vms = [VmRecord(n, "a", "", "", "", 1, 0.0, r) for n, r in (("x", 4), ("y", 5))]
        assert lagging_vms(5, vms) == ["x"]

    def test_diff_of_equal_texts_is_empty(self) -> None:
        assert diff("a", "a") == ""
        assert "+b" in diff("a", "b").splitlines()
