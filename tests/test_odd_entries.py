"""Malformed entries and answers of another writer; no process may stop at one."""

from __future__ import annotations

import asyncio
from random import Random

import msgspec
import pytest
from _node_support import WatchedStore
from _odd_values import ODD_PORTS, odd_values
from fakes import ManualClock, event_loop_policy  # noqa: F401

from celeryjunction.decoding import MAX_REASON_CHARACTERS, MAX_SLOTS
from celeryjunction.platform.records import decode_endpoint
from celeryjunction.ports import KeyValue
from celeryjunction.replication.register import REREGISTER_S, EndpointRegister

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
