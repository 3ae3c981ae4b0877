"""Malformed entries and answers of another writer; no process may stop at one."""

from __future__ import annotations

import asyncio
import json
from random import Random

import msgspec
import pytest
from _node_support import Deployment, WatchedStore
from _odd_values import (
    DEPTHS,
    ODD_AMOUNTS,
    ODD_NUMBERS,
    ODD_PORTS,
    encode_with,
    nested_arrays,
    nested_objects,
    odd_values,
)
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.contracts_store import shed_signers, stored_contract
from celeryjunction.decoding import MAX_REASON_CHARACTERS, MAX_SLOTS
from celeryjunction.directory import StoreDirectory
from celeryjunction.failover.suspicions import Suspicions
from celeryjunction.follower import PrefixFollower
from celeryjunction.membership import Membership, VmRecord, list_vms
from celeryjunction.platform.records import decode_config, decode_endpoint
from celeryjunction.ports import BootClock, KeyValue, StoreUnavailable, WatchEvent
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.replication.ports import EndpointInfo
from celeryjunction.replication.register import REREGISTER_S, EndpointRegister
from celeryjunction.replication.roster import GroupRoster
from celeryjunction.replication.stored_roster import Roster

ENTRY = {
    "service": "g",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "slots": 3,
    "state": "ready",
    "db_role": "replica",
    "born": 17,
}
ODD_ENTRIES = dict(
    odd_values(
        ENTRY,
        required=("service", "address", "zone", "slots", "state"),
        counts=("slots", "born"),
    )
)


def entry(**changes: object) -> bytes:
    return msgspec.json.encode(ENTRY | changes)


def is_short_and_printable(reason: object) -> bool:
    return (
        isinstance(reason, str)
        and 0 < len(reason) <= MAX_REASON_CHARACTERS
        and reason.isascii()
        and reason.isprintable()
    )


class TestRegisterEntries:
    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    def test_an_odd_entry_gives_a_short_reason(self, kind: str) -> None:
        found = decode_endpoint(KeyValue("servers/x", ODD_ENTRIES[kind], 3))
        assert is_short_and_printable(found)

    @pytest.mark.parametrize("kind", ODD_PORTS)
    def test_a_port_is_from_1_to_65535_in_ascii_digits(self, kind: str) -> None:
        value = entry(address=f"10.0.0.1:{ODD_PORTS[kind]}")
        assert is_short_and_printable(decode_endpoint(KeyValue("servers/x", value, 3)))

    @pytest.mark.parametrize(
        "changes",
        [
            {"address": "\u0661.0.0.1:80"},
            {"address": "10.0.0.1" + "." * 100_000 + ":80"},
            {"address": "10.0.0.1\r\n:80"},
            {"slots": 0},
            {"slots": MAX_SLOTS + 1},
            {"state": "r" * 1_000_000},
            {"state": "ready\n"},
            {"zone": "z" * 1_000_000},
            {"service": "g" * 1_000_000},
        ],
        ids=lambda changes: ascii(changes)[:40],
    )
    def test_a_value_out_of_bounds_is_not_valid(
        self, changes: dict[str, object]
    ) -> None:
        found = decode_endpoint(KeyValue("servers/x", entry(**changes), 3))
        assert is_short_and_printable(found)

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nQUERY", "\u00e9", "\ud800"])
    def test_an_id_that_no_message_can_hold_is_not_valid(self, name: str) -> None:
        found = decode_endpoint(KeyValue(f"servers/{name}", entry(), 3))
        assert is_short_and_printable(found)

    @pytest.mark.parametrize(
        "changes",
        [
            {},
            {"address": "10.0.0.1:1"},
            {"address": "10.0.0.1:65535"},
            {"slots": MAX_SLOTS},
            {"born": 2**63 - 1},
            {"unknown": "9" * 5000},
            {"unknown": [[[[]]]]},
        ],
        ids=lambda changes: ascii(changes)[:40],
    )
    def test_a_value_within_bounds_is_valid(self, changes: dict[str, object]) -> None:
        found = decode_endpoint(KeyValue("servers/x", entry(**changes), 3))
        assert not isinstance(found, str)
        assert found.id == "x"


class TestRegister:
    """The register goes on with the other entries, through its list and its watch."""

    @pytest.mark.parametrize("kind", ODD_ENTRIES)
    async def test_an_odd_entry_leaves_the_others_in_use(self, kind: str) -> None:
        odd = ODD_ENTRIES[kind]
        store = WatchedStore()

        def put(name: str, value: bytes | None) -> None:
            store.revision += 1
            store.put(f"servers/{name}", value)

        put("a1", entry())
        put("listed", odd)
        register = EndpointRegister(
            store,
            "servers/",
            decode=decode_endpoint,
            clock=ManualClock(),
            random=Random(1),
        )
        task = asyncio.create_task(register.run())
        await asyncio.sleep(0.5)
        assert set(register.endpoints) == {"a1"}
        put("watched", odd)
        put("b1", entry())
        await asyncio.sleep(0.5)
        assert set(register.endpoints) == {"a1", "b1"}
        # An entry that becomes odd is handled as one that is missing.
        put("a1", odd)
        put("c1", entry())
        await asyncio.sleep(0.5)
        assert set(register.endpoints) == {"a1", "b1", "c1"}
        await asyncio.sleep(REREGISTER_S)
        register.remove_expired()
        assert set(register.endpoints) == {"b1", "c1"}
        put("a1", entry())
        put("b1", None)
        await asyncio.sleep(0.5 + REREGISTER_S)
        register.remove_expired()
        assert set(register.endpoints) == {"a1", "c1"}
        assert not task.done()
        task.cancel()


VOTE = {"vm": "vm-1", "term": 1, "primary": "a1", "acknowledged": [1, 5]}
ODD_VOTES = dict(odd_values(VOTE, required=("vm", "term", "primary"), counts=("term",)))
ODD_VOTES |= {
    f"acknowledged: {kind}": encode_with(VOTE, "acknowledged", value)
    for kind, value in {
        "one number": b"[1]",
        "negative": b"[1,-1]",
        "400 digits": b"[1," + b"9" * 400 + b"]",
        "nested": nested_arrays(3_000),
    }.items()
}
GOOD_VOTE = json.dumps(VOTE | {"vm": "vm-2"}).encode()


class TestVotes:
    """An odd vote counts as none, and those of the other VMs hold."""

    @pytest.mark.parametrize("kind", ODD_VOTES)
    async def test_the_others_are_listed(self, kind: str) -> None:
        store = WatchedStore()
        store.put("suspects/g/vm-1", ODD_VOTES[kind])
        store.put("suspects/g/vm-2", GOOD_VOTE)
        votes = await Suspicions(store, vm="vm-3").list_votes("g", term=1, primary="a1")
        assert [vote.vm for vote in votes] == ["vm-2"]

    @pytest.mark.parametrize("kind", ODD_VOTES)
    async def test_changes_are_still_followed(self, kind: str) -> None:
        suspicions = Suspicions(WatchedStore(), vm="vm-3")

        def is_suspected() -> bool:
            return suspicions.is_suspected_by_others("g", term=1, primary="a1")

        key = "suspects/g/vm-1"
        suspicions.apply_change(WatchEvent(key, json.dumps(VOTE).encode(), 1))
        assert is_suspected()
        suspicions.apply_change(WatchEvent(key, ODD_VOTES[kind], 2))
        assert not is_suspected()
        suspicions.apply_change(WatchEvent("suspects/g/vm-2", GOOD_VOTE, 3))
        assert is_suspected()


MEMBER = {
    "id": "a1",
    "group": "g",
    "host": "10.0.0.1",
    "port": 8080,
    "zone": "a",
    "slots": 3,
    "draining": False,
    "started_ms": 17,
}
ROSTER = {
    "term": 1,
    "primary": "a1",
    "members": [MEMBER],
    "departed": [["b1", 17]],
    "size": 3,
    "floor": [1, 4],
    "next_primary": "b1",
    "next_members": [MEMBER],
    "next_floor": [1, 5],
    "seal_token": 7,
    "seal_holder": "vm1",
    "fence": 7,
    "seals": 1,
    "answered": 0,
    "outstanding": "",
    "resuming": "",
}
ODD_ROSTERS = {
    kind: value
    for kind, value in odd_values(
        ROSTER,
        required=("primary", "term", "members", "next_primary", "next_members"),
        counts=("term", "size", "seal_token", "seals", "answered", "fence"),
    )
    if not kind.endswith(": missing")
}
ODD_ROSTERS |= {
    f"member with {kind}": encode_with(ROSTER, "members", b"[" + value + b"]")
    for kind, value in odd_values(
        MEMBER,
        required=("id", "group", "host", "port", "zone", "slots"),
        counts=("port", "slots", "started_ms"),
    )
    if kind != "empty" and not kind.endswith("blanks") and kind != "blank"
}
ODD_ROSTERS |= {
    f"{position}: {kind}": encode_with(ROSTER, position, b"[1," + number + b"]")
    for position in ("floor", "next_floor")
    for kind, number in ODD_NUMBERS.items()
}
ODD_ROSTERS |= {
    f"departed: {kind}": encode_with(ROSTER, "departed", b'[["b1",' + number + b"]]")
    for kind, number in ODD_NUMBERS.items()
}


class TestRosters:
    @pytest.mark.parametrize("kind", ODD_ROSTERS)
    async def test_an_odd_one_is_replaced_by_what_is_seen(self, kind: str) -> None:
        store = WatchedStore()
        store.put("groups/g", ODD_ROSTERS[kind])
        roster = GroupRoster("g", store, clock=ManualClock())
        assert await roster.read() == Roster()
        info = EndpointInfo("a1", "g", "10.0.0.1", 8080, "a", 3, started_ms=17)
        roster.record_members(
            term=2, primary="a1", members={"a1": info}, registered={"a1": info}
        )
        assert roster.needs_write and await roster.write()
        stored = await GroupRoster("g", store, clock=ManualClock()).read()
        assert (stored.term, stored.members) == (2, (info,))


ROUTE = {
    "name": "r",
    "host": "d",
    "service": "g",
    "kind": "primary",
    "timeout_ms": 800,
    "goal_ms": 200,
    "priority": 1,
    "max_staleness_ms": 1500,
}
SERVICE = {"name": "g", "conn_limit": 22, "sync_replicas": 1}
CONFIG = {
    "version": 2,
    "routes": [ROUTE],
    "services": [SERVICE],
    "limits": {"tx_idle_ms": 3000},
}
CONFIG_FIELDS = ("version", "routes", "services")
ODD_CONFIGS = dict(odd_values(CONFIG, required=CONFIG_FIELDS, counts=("version",)))
for _list, _fields, _required, _counts in (
    (
        "routes",
        ROUTE,
        ("name", "host", "service", "kind"),
        ("priority",),
    ),
    ("services", SERVICE, ("name",), ("conn_limit", "sync_replicas")),
):
    ODD_CONFIGS |= {
        f"{_list}: {kind}": encode_with(CONFIG, _list, b"[" + value + b"]")
        for kind, value in odd_values(_fields, required=_required, counts=_counts)
        if value.strip()
    }
for _amount in ("timeout_ms", "goal_ms", "max_staleness_ms"):
    ODD_CONFIGS |= {
        f"{_amount}: {kind}": encode_with(
            CONFIG, "routes", b"[" + encode_with(ROUTE, _amount, number) + b"]"
        )
        for kind, number in ODD_AMOUNTS.items()
    }
ODD_CONFIGS |= {
    f"tx_idle_ms: {kind}": encode_with(
        CONFIG, "limits", b'{"tx_idle_ms":' + number + b"}"
    )
    for kind, number in ODD_AMOUNTS.items()
}


class TestConfig:
    @pytest.mark.parametrize("kind", ODD_CONFIGS)
    async def test_an_odd_one_leaves_the_one_before_in_force(self, kind: str) -> None:
        store = WatchedStore()
        in_force: list[int] = []

        def put(value: bytes) -> None:
            store.revision += 1
            store.put("op/config", value)

        def apply(event: WatchEvent) -> None:
            table = decode_config(event.value)
            if table is not None:
                in_force.append(table.version)

        follower = PrefixFollower(store, "op/", clock=ManualClock(), random=Random(1))
        follower.subscribe(apply)
        put(ODD_CONFIGS[kind])
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        assert decode_config(ODD_CONFIGS[kind]) is None
        put(json.dumps(CONFIG).encode())
        await asyncio.sleep(0.5)
        put(ODD_CONFIGS[kind])
        await asyncio.sleep(0.5)
        assert in_force == [2]
        put(json.dumps(CONFIG | {"version": 3}).encode())
        await asyncio.sleep(0.5)
        assert in_force == [2, 3]
        task.cancel()


VM = {
    "name": "vm-1",
    "zone": "a",
    "peer_address": "10.0.0.1:7000",
    "sql_address": "10.0.0.1:7001",
    "status_address": "10.0.0.1:7002",
    "incarnation": 17,
    "started_at": 1.0,
    "applied_revision": 3,
    "link_mbps": 2.5,
}
ODD_VMS = dict(
    odd_values(
        VM,
        required=(
            "name",
            "zone",
            "peer_address",
            "sql_address",
            "status_address",
            "incarnation",
            "started_at",
        ),
        counts=("incarnation", "applied_revision"),
    )
)
for _amount in ("started_at", "link_mbps"):
    ODD_VMS |= {
        f"{_amount}: {kind}": encode_with(VM, _amount, number)
        for kind, number in ODD_AMOUNTS.items()
    }


class TestVms:
    """A VM replaces its own odd announcement; the others keep what they know of it."""

    @staticmethod
    def announcement(name: str, **changes: object) -> bytes:
        return json.dumps(VM | {"name": name} | changes).encode()

    @pytest.mark.parametrize("kind", ODD_VMS)
    async def test_the_others_are_followed(self, kind: str) -> None:
        odd = ODD_VMS[kind]
        store = WatchedStore()

        def put(name: str, value: bytes) -> None:
            store.revision += 1
            store.put(f"/vms/{name}", value)

        put("vm-1", odd)
        put("vm-2", self.announcement("vm-2"))
        own = VmRecord("vm-3", "a", "", "", "", 1, 0.0)
        membership = Membership(store, own, clock=ManualClock(), random=Random(1))
        task = asyncio.create_task(membership.run())
        await asyncio.sleep(0.5)
        assert set(membership.peers()) == {"vm-2"}
        put("vm-2", odd.replace(b"vm-1", b"vm-2"))
        put("vm-4", self.announcement("vm-4"))
        await asyncio.sleep(0.5)
        assert set(membership.peers()) == {"vm-2", "vm-4"}
        put("vm-2", self.announcement("vm-2", zone="b"))
        put("vm-3", odd.replace(b"vm-1", b"vm-3"))
        await asyncio.sleep(5.0)
        assert membership.peers()["vm-2"].zone == "b"
        names = {vm.name for vm in await list_vms(store)}
        assert names == {"vm-2", "vm-3", "vm-4"}
        assert not membership.superseded.is_set()
        assert not task.done()
        task.cancel()

    @pytest.mark.parametrize("kind", ODD_PORTS)
    async def test_an_odd_address_is_no_home(self, kind: str) -> None:
        own = VmRecord("vm-9", "a", "", "", "", 1, 0.0)
        homes = HomeSelector(own, random=Random(1), clock=BootClock())
        records = [
            VmRecord("vm-1", "a", f"10.0.0.1:{ODD_PORTS[kind]}", "", "", 1, 0.0, 0),
            VmRecord("vm-2", "a", "10.0.0.1:7000", "", "", 1, 0.0),
        ]
        peers = {record.name: record for record in records}
        groups = [f"g{number}" for number in range(20)]
        homes.update(peers, groups)
        assert dict(homes.__rich_repr__())["links"] == ["vm-2"]
        homes.close()


ENDPOINT = {"name": "a1", "host": "10.0.0.1", "port": 8080, "zone": "a", "slots": 3}
GROUP = {"name": "g", "term": 1, "primary": "a1", "endpoints": [ENDPOINT]}
ODD_GROUPS = dict(
    odd_values(
        GROUP, required=("name", "term", "primary", "endpoints"), counts=("term",)
    )
)
ODD_GROUPS |= {
    f"endpoint: {kind}": encode_with(GROUP, "endpoints", b"[" + value + b"]")
    for kind, value in odd_values(
        ENDPOINT, required=("name", "host", "port", "zone"), counts=("port", "slots")
    )
    if value.strip()
}
CONTRACT = {
    "change_id": "c1",
    "author": "mei",
    "reason": "test",
    "time": 1.0,
    "document": "{}",
}
ODD_CONTRACTS = dict(
    odd_values(
        CONTRACT,
        required=("change_id", "author", "reason", "time", "document"),
        counts=(),
    )
)


class TestDirectory:
    """Groups and contracts hold until a valid record replaces them."""

    @staticmethod
    async def directory(store: WatchedStore) -> tuple[StoreDirectory, asyncio.Task]:
        directory = StoreDirectory(store, clock=ManualClock(), random=Random(1))
        task = asyncio.create_task(directory.run())
        await asyncio.sleep(0.5)
        return directory, task

    @staticmethod
    async def put(store: WatchedStore, key: str, value: bytes) -> None:
        store.revision += 1
        store.put(key, value)
        await asyncio.sleep(0.5)

    @pytest.mark.parametrize("kind", ODD_GROUPS)
    async def test_an_odd_group_leaves_the_one_before(self, kind: str) -> None:
        store = WatchedStore()
        directory, task = await self.directory(store)
        await self.put(store, "/groups/g", json.dumps(GROUP).encode())
        await self.put(store, "/groups/g", ODD_GROUPS[kind])
        assert directory.group("g").term == 1
        with pytest.raises(StoreUnavailable):
            await directory.read_now("g", timeout=1.0)
        await self.put(store, "/groups/g", json.dumps(GROUP | {"term": 2}).encode())
        assert directory.group("g").term == 2
        assert not task.done()
        task.cancel()

    @pytest.mark.parametrize("kind", ODD_CONTRACTS)
    async def test_an_odd_contract_is_not_in_force(self, kind: str) -> None:
        store = WatchedStore()
        directory, task = await self.directory(store)
        await self.put(store, "/contracts/c", json.dumps(CONTRACT).encode())
        in_force = directory.applied_revision
        await self.put(store, "/contracts/c", ODD_CONTRACTS[kind])
        await self.put(store, "/contracts/d", json.dumps(CONTRACT).encode())
        assert set(directory.contracts) == {"c", "d"}
        assert directory.applied_revision == in_force
        item = KeyValue("/contracts/c", ODD_CONTRACTS[kind], 3)
        assert stored_contract(item).change_id == ""
        await self.put(store, "/contracts/c", json.dumps(CONTRACT).encode())
        assert directory.applied_revision == store.revision
        task.cancel()

    @pytest.mark.parametrize("depth", DEPTHS)
    def test_a_deep_document_names_no_signers(self, depth: int) -> None:
        text = nested_objects(depth).decode()
        assert shed_signers(text) == ()
        assert shed_signers('{"shed_orders":' + "9" * 5000 + "}") == ()


class TestUnknownGroups:
    async def test_an_entry_of_an_unknown_group_is_not_used(self) -> None:
        """Guards against supervising a group that the config does not name."""
        deployment = Deployment("g1")
        strangers = [
            EndpointInfo(f"x{number}", f"odd{number}", "10.0.0.9", 9, "a", 3)
            for number in range(3)
        ]
        for info in strangers:
            deployment.register(info)
        node = await deployment.start_node("vm-1", "a")
        await asyncio.sleep(10.0)
        assert set(node.gateway.groups) == {"g1"}
        assert node.check_readiness()
        await deployment.close()

    async def test_its_zone_does_not_hide_an_isolation(self) -> None:
        """Guards against a VM that does not notice that it is cut off."""
        deployment = Deployment("g1")
        deployment.register(EndpointInfo("x1", "odd", "10.0.0.9", 9, "z", 3))
        node = await deployment.start_node("vm-1", "a")
        await asyncio.sleep(10.0)
        assert not node._reaches_no_zone
        for endpoint in deployment.endpoints_in("b") + deployment.endpoints_in("c"):
            endpoint.silent = True
        await asyncio.sleep(10.0)
        assert node._reaches_no_zone
        await deployment.close()
