"""Commits of a VM whose copy of the register may lack that a replica drains."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from math import inf
from random import Random
from types import SimpleNamespace

import pytest
from fakes import ManualClock, event_loop_policy  # noqa: F401
from msgspec.structs import replace
from test_confirmed_commits import MemberProxy
from test_gateway import kind_of
from test_register import Register, info

from celeryjunction.errors import ErrorKind
from celeryjunction.gateway.statements import Write
from celeryjunction.membership import VmRecord
from celeryjunction.ports import WatchEvent
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.register_sources import RegisterSources
from celeryjunction.replication.drain_watch import DRAIN_KNOWN_S
from celeryjunction.replication.member_receipts import (
    MAX_ANSWER_AGE_S,
    MAX_READ_AGE_S,
    MemberReceipts,
)
from celeryjunction.replication.ports import NO_POSITION, EndpointInfo, LogPosition
from celeryjunction.replication.receipts import (
    MIN_EVIDENCE_TIME_S,
    UNPROVEN_RETRY_S,
)
from celeryjunction.replication.register import READ_AGE_S


@pytest.fixture
async def proxy() -> AsyncIterator[MemberProxy]:
    proxy = MemberProxy()
    await proxy.start()
    yield proxy
    proxy.dispatcher.close()


def set_drains_known_age(proxy: MemberProxy, seconds: float) -> None:
    proxy.group._drains_known_age_s = lambda: seconds


class TestWitnesses:
    def test_the_limit_ends_before_a_last_position_counts(self) -> None:
        """Guards against a limit that others' conclusions don't wait for."""
        assert MAX_READ_AGE_S < DRAIN_KNOWN_S

    @pytest.mark.parametrize("age_s", [MAX_READ_AGE_S + 0.1, inf])
    async def test_one_of_two_members_is_not_enough(
        self, proxy: MemberProxy, age_s: float
    ) -> None:
        set_drains_known_age(proxy, age_s)
        proxy.cut("b1")
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN

    async def test_all_members_are_enough(self, proxy: MemberProxy) -> None:
        set_drains_known_age(proxy, inf)
        assert (await proxy.run(proxy.session(), Write())).fault is None

    async def test_a_member_without_an_entry_may_be_the_only_one_that_stays(
        self, proxy: MemberProxy
    ) -> None:
        """Guards against a proof by the members that happen to be registered."""
        set_drains_known_age(proxy, inf)
        del proxy.cluster.endpoints["c1"]
        proxy.group.update_endpoints(proxy.cluster.infos)
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN

    async def test_members_that_all_drain_prove_nothing(
        self, proxy: MemberProxy
    ) -> None:
        set_drains_known_age(proxy, inf)
        for name in ("b1", "c1"):
            endpoint = proxy.cluster[name]
            endpoint.info = replace(endpoint.info, draining=True)
        proxy.group.update_endpoints(proxy.cluster.infos)
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN

    async def test_a_request_that_is_not_awaited_keeps_its_connection(
        self, proxy: MemberProxy
    ) -> None:
        """Guards against proofs that end as a replica's connection is a new one."""
        set_drains_known_age(proxy, inf)
        links = {name: proxy.group.controls[name]._link for name in ("b1", "c1")}
        for _ in range(5):
            await proxy.run(proxy.session(), Write())
        for name, link in links.items():
            assert proxy.group.controls[name]._link is link

    @pytest.mark.parametrize("zone", ["a", "b"])
    async def test_a_member_of_a_zone_that_is_cut_off_is_enough_there(
        self, proxy: MemberProxy, zone: str
    ) -> None:
        """Guards against a zone that refuses writes which nobody else may drop."""
        set_drains_known_age(proxy, inf)
        proxy.group._is_cut_off = lambda: True
        proxy.group._zone = zone
        proxy.cut("c1")
        result = await kind_of(proxy.run(proxy.session(), Write()))
        in_zone = proxy.cluster["b1"].info.zone == zone
        assert result is (None if in_zone else ErrorKind.OUTCOME_UNKNOWN)


class TestFloor:
    @pytest.mark.parametrize("drains_too", [False, True])
    async def test_a_last_position_counts_while_another_replica_stays(
        self, proxy: MemberProxy, drains_too: bool
    ) -> None:
        """Guards against commits that only replicas had which left together."""
        group, position = proxy.group, LogPosition(1, 5)
        leaving, other = (proxy.cluster[name] for name in ("b1", "c1"))
        leaving.info = replace(leaving.info, draining=True)
        group.update_endpoints(proxy.cluster.infos)
        for asked_at in (0.0, DRAIN_KNOWN_S):
            group.drain_watch.record_received(
                leaving.info, position, asked_at=asked_at, staying=group._staying
            )
        other.info = replace(other.info, draining=drains_too)
        group.update_endpoints(proxy.cluster.infos)
        proxy.cluster["a1"].silent = True
        floor = await group.floor_without(leaving.info)
        assert floor == (None if drains_too else position)

    async def test_a_drain_counts_anew_after_an_endpoint_could_not_be_reached(
        self, proxy: MemberProxy
    ) -> None:
        """Guards against a last position from right after the end of a cut."""
        group, leaving = proxy.group, proxy.cluster["b1"]
        leaving.info = replace(leaving.info, draining=True)
        group.update_endpoints(proxy.cluster.infos)
        await group.ask("b1")
        leaving.silent = True
        await asyncio.sleep(DRAIN_KNOWN_S / 2)
        await group.ask("b1")
        leaving.silent = False
        await asyncio.sleep(DRAIN_KNOWN_S / 2)
        await group.ask("b1")
        assert group.drain_watch.final_received(leaving.info) is None
        await asyncio.sleep(DRAIN_KNOWN_S)
        await group.ask("b1")
        assert group.drain_watch.final_received(leaving.info) == leaving.received


class TestMemberReceipts:
    def test_answers_count_together_only_for_a_while(self) -> None:
        """Guards against answers of replicas that were replaced one by one."""
        receipts = MemberReceipts()
        receipts.record("b1", LogPosition(1, 7), asked_at=10.0)
        receipts.record("c1", LogPosition(1, 6), asked_at=10.5)
        names = {"b1", "c1"}
        assert receipts.received_by_all(names, now=10.6) == LogPosition(1, 6)
        late = 10.0 + MAX_ANSWER_AGE_S + 0.1
        assert receipts.received_by_all(names, now=late) == NO_POSITION
        assert receipts.received_by_all({"b1", "d1"}, now=10.6) == NO_POSITION
        assert receipts.received_by_all(set(), now=10.6) == NO_POSITION


class TestRegister:
    async def test_a_watch_confirms_nothing(self) -> None:
        """Guards against an answer that waited, or a lost one, taken for recent."""
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(5)
        site.put("b1")
        await asyncio.sleep(0.1)
        assert "b1" in site.register.endpoints
        assert site.register.confirmed_age_s > 5.0
        site.stop()

    async def test_changes_count_from_when_they_were_asked_for(self) -> None:
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(5)
        sent_at = asyncio.get_running_loop().time() - 2.0
        revision = site.register.applied_revision + 1
        drains = WatchEvent("servers/a1", b"draining", revision)
        site.register.apply_changes([drains], sent_at=sent_at)
        assert site.register.confirmed_age_s == pytest.approx(2.0)
        assert site.register.endpoints["a1"].draining
        site.stop()

    @pytest.mark.parametrize("is_read", [False, True])
    async def test_another_vms_list_counts_while_the_store_is_silent(
        self, is_read: bool
    ) -> None:
        """Guards against drains that a VM learns of only from the store."""
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(READ_AGE_S + 1.0)
        now = asyncio.get_running_loop().time()
        if is_read:
            site.register.apply_changes([], sent_at=now)
        report(site, [info("a1", draining=True)], read_at=now - 0.5)
        assert site.register.endpoints["a1"].draining is not is_read
        assert site.register.confirmed_age_s == pytest.approx(0.0 if is_read else 0.5)
        site.stop()

    async def test_the_same_list_confirms_without_a_read(self) -> None:
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(5)
        now = asyncio.get_running_loop().time()
        assert report(site, [info("a1")], read_at=now - 0.5)
        assert site.register.confirmed_age_s == pytest.approx(0.5)
        site.stop()

    async def test_an_agreement_is_no_confirmation(self) -> None:
        """Guards against passing on as read what no VM has read."""
        site = Register()
        site.put("a1")
        await site.start()
        await asyncio.sleep(5)
        site.register.record_agreement(asyncio.get_running_loop().time() - 0.5)
        assert site.register.drains_known_age_s == pytest.approx(0.5)
        assert site.register.confirmed_age_s > 4.0
        site.stop()


def report(
    site: Register, endpoints: Iterable[EndpointInfo], *, read_at: float
) -> bool:
    revision = site.store.revision
    return site.register.apply_report(
        endpoints, read_at=read_at, age_s=0.1, revision=revision, peer="vm-2"
    )


def vm_record(name: str, port: int) -> VmRecord:
    address = f"127.0.0.1:{port}"
    return VmRecord(name, "a", address, address, address, 1, 0.0)


class TestRegisterSources:
    @pytest.fixture
    async def sources(self) -> AsyncIterator[RegisterSources]:
        sources = RegisterSources(
            vm_record("vm-1", 1),
            random=Random(1),
            clock=ManualClock(),
            on_update=lambda link: None,
        )
        yield sources
        sources.close()

    def connect(self, sources: RegisterSources, *, is_needed: bool = True) -> None:
        names = [f"vm-{number}" for number in range(2, 12)]
        peers = {name: vm_record(name, 1) for name in names}
        monitors = {"vm-1", "vm-2", "vm-3"}
        sources.update(peers, monitors=monitors, is_needed=is_needed)

    @staticmethod
    def link(name: str, asked_at: float) -> HomeLink:
        return SimpleNamespace(vm=name, status_asked_at=asked_at)

    async def test_all_that_monitor_the_groups_have_to_agree(
        self, sources: RegisterSources
    ) -> None:
        """Guards against a VM that knows of a drain and was not asked."""
        self.connect(sources)
        sources.record_report(self.link("vm-2", 5.0), is_same=True)
        sources.record_report(self.link("vm-4", 6.0), is_same=True)
        sources.record_report(self.link("vm-3", 7.0), is_same=False)
        assert sources.agreed_at == -inf
        sources.record_report(self.link("vm-3", 8.0), is_same=True)
        assert sources.agreed_at == 5.0

    async def test_connections_last_as_long_as_they_are_needed(
        self, sources: RegisterSources
    ) -> None:
        self.connect(sources)
        assert {"vm-2", "vm-3"} < sources._links.keys()
        assert len(sources._links) < 10
        sources.record_report(self.link("vm-2", 5.0), is_same=True)
        sources.record_report(self.link("vm-3", 5.0), is_same=True)
        self.connect(sources, is_needed=False)
        assert not sources._links
        assert sources.agreed_at == -inf


class TestUnprovenCommits:
    async def test_writes_are_refused_at_once_while_an_earlier_one_is_not_proven(
        self, proxy: MemberProxy
    ) -> None:
        """Guards against callers that learn only at the deadline, one after another."""
        await proxy.join("a4")
        proxy.cut("b1", "c1")
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.OUTCOME_UNKNOWN
        began = asyncio.get_running_loop().time()
        outcome = await kind_of(proxy.run(proxy.session(), Write()))
        assert outcome is ErrorKind.NOT_RUN_NO_PRIMARY
        assert asyncio.get_running_loop().time() - began < MIN_EVIDENCE_TIME_S

    async def test_a_write_is_sent_at_times(self, proxy: MemberProxy) -> None:
        """Guards against a group that stays without writes once it had none proven."""
        set_drains_known_age(proxy, inf)
        proxy.cut("b1")
        await kind_of(proxy.run(proxy.session(), Write()))
        proxy.cluster["b1"].replication_cut = False
        await asyncio.sleep(UNPROVEN_RETRY_S)
        assert (await proxy.run(proxy.session(), Write())).fault is None
        assert (await proxy.run(proxy.session(), Write())).fault is None
