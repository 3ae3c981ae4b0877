"""Tests of contracts and SCRAM verifiers."""

from __future__ import annotations

from base64 import b64decode
from datetime import datetime, timedelta
from typing import Any

import json5
import msgspec
import pytest
from scramp import ScramClient, ScramMechanism

from celeryjunction.contract import (
    Contract,
    ContractError,
    Rank,
    check_against,
    dump_contract,
    parse_contract,
    parse_user,
)
from celeryjunction.ports import EndpointRecord, GroupRecord
from celeryjunction.scram import make_verifier

VERIFIER = make_verifier("pencil", salt=bytes(16))
ORDER = {
    "id": "o1",
    "signed_by": "director",
    "reason": "flood",
    "signed_at": "2030-01-01T00:00:00+08:00",
    "expires_at": "2030-01-02T00:00:00+08:00",
}


def values(**changes: Any) -> dict[str, Any]:
    return {
        "customer": "coop",
        "databases": ["buylists"],
        "verifier": VERIFIER,
        "work": {"counter": {"rank": "urgent"}, "members": {}},
        "default_work": "members",
        "shares": {"urgent": 0.4, "interactive": 0.2},
        **changes,
    }


def contract(**changes: Any) -> Contract:
    return parse_contract(json5.dumps(values(**changes)))


def problem_paths(**changes: Any) -> set[str]:
    with pytest.raises(ContractError) as caught:
        contract(**changes)
    return {problem.field_path for problem in caught.value.problems}


def group(name: str = "buylists", connections: int = 20) -> GroupRecord:
    endpoints = [EndpointRecord("e1", "127.0.0.1", 1, "z", connections=connections)]
    endpoints.append(EndpointRecord("e2", "127.0.0.1", 2, "z"))
    return GroupRecord(name, 1, "e1", tuple(endpoints))


class TestParseContract:
    def test_dump_is_canonical_and_parses_back(self) -> None:
        # Guards against two texts of one contract that compare as different, and
        # against rejecting 0.7 + 0.2 + 0.1, whose binary sum is not exactly 1.
        made = contract(shares={"interactive": 0.2, "urgent": 0.7, "background": 0.1})
        text = dump_contract(made)
        other = contract(shares={"urgent": 0.7, "background": 0.1, "interactive": 0.2})
        assert parse_contract(text.decode(), comments=False) == made
        assert dump_contract(other) == text

    def test_limits_of_fields(self) -> None:
        # Guards against a missing limit, and an invalid field that hides another.
        work = {"members": {"rank": "URGENT", "staleness_ms": -1, "deadline_ms": 0}}
        shares = {"urgent": 0, "interactive": float("nan"), "x": 0.1}
        changes = {"customer": "co.op", "verifier": "x", "default_work": "A"}
        limits = {"connections": 10_001, "idle_transaction_ms": 99, "extra": 1}
        expected = "customer verifier work.members.rank work.members.staleness_ms "
        expected += "work.members.deadline_ms default_work shares.urgent "
        expected += "shares.interactive shares.x connections idle_transaction_ms extra"
        assert problem_paths(work=work, shares=shares, **changes, **limits) == set(
            expected.split()
        )
        assert problem_paths(work={}, databases=[]) >= {"work", "databases"}

    def test_checks_between_fields(self) -> None:
        changes = {"default_work": "none", "databases": ["a", "a"], "connections": 0}
        shares = {"urgent": 0.9, "background": 0.9}
        expected = "default_work databases[1] connections shares.interactive shares"
        assert problem_paths(shares=shares, **changes) == set(expected.split())

    def test_shed_orders(self) -> None:
        # Guards against a shed order without an accountable signer, reason or period.
        bad = {"signed_by": " ", "reason": "a\nb", "lowest_rank": "all"}
        naive = {"signed_at": "2030-01-01T00:00:00", "expires_at": "soon"}
        fields = ("id", *bad, *naive)
        order = {**bad, **naive, "id": ""}
        assert problem_paths(shed_orders=[order]) == {
            f"shed_orders[0].{f}" for f in fields
        }
        for expires in (ORDER["signed_at"], "2030-01-31T00:00:01+08:00"):
            order = {**ORDER, "expires_at": expires}
            assert problem_paths(shed_orders=[order]) == {"shed_orders[0].expires_at"}
        assert problem_paths(shed_orders=[ORDER, ORDER]) == {"shed_orders[1]"}

    def test_stored_text_is_not_parsed_as_json5(self) -> None:
        # Guards against a corrupt stored contract that blocks the event loop for
        # seconds, because json5 is slow.
        with pytest.raises(ContractError, match=r"line 2\).*at column 1"):
            parse_contract("{\n]", comments=False)


class TestVerifier:
    def test_client_can_log_in(self) -> None:
        # Guards against a verifier with which no client can authenticate.
        _, middle, keys = make_verifier("pencil").split("$")
        count, salt = middle.split(":")
        stored = [b64decode(text) for text in (salt, *keys.split(":"))]
        mechanism = ScramMechanism("SCRAM-SHA-256")
        server = mechanism.make_server(lambda user: (*stored, int(count)))
        client = ScramClient(["SCRAM-SHA-256"], "user", "pencil")
        server.set_client_first(client.get_client_first())
        client.set_server_first(server.get_server_first())
        server.set_client_final(client.get_client_final())
        client.set_server_final(server.get_server_final())

    def test_rejected_passwords_are_not_echoed(self) -> None:
        for password in ("", "a\x00b", "\ud800"):
            with pytest.raises(ValueError, match=r"the password (is empty|holds)"):
                make_verifier(password)

    def test_invalid_verifiers_are_rejected_and_not_echoed(self) -> None:
        # Guards against a password in the output of `check` or in a log.
        few, salt = VERIFIER.replace("4096", "4095"), VERIFIER.replace("AAAA", "", 2)
        for bad in ("hunter2-plain", few, salt, VERIFIER[:-4], VERIFIER + "\n"):
            with pytest.raises(ContractError, match="celeryjunction verifier") as error:
                contract(verifier=bad)
            assert bad not in str(error.value)
        assert VERIFIER not in repr(contract())


class TestCheckAgainst:
    def test_accepts_a_compatible_contract(self) -> None:
        assert check_against(contract(), [contract(connections=1)], [group()]) == []

    def test_unknown_databases_and_connection_limits(self) -> None:
        (problem,) = check_against(contract(), [], [group("other")])
        assert (problem.field_path, "other" in problem.remedy) == ("databases[0]", True)
        (problem,) = check_against(contract(), [], [group(connections=9)])
        assert problem.field_path == "connections" and "e1" in problem.message

    def test_shares_that_exceed_an_endpoint(self) -> None:
        # Guards against overcommitted shares: granting this customer's would break
        # another customer's guarantee.
        other = contract(customer="other")
        (problem,) = check_against(contract(), [other], [group()])
        assert problem.field_path == "shares" and "0.4" in problem.remedy
        elsewhere = msgspec.structs.replace(other, databases=("stock",))
        assert check_against(contract(), [elsewhere], [group()]) == []


class TestLookups:
    def test_work_class_of_a_login(self) -> None:
        # Guards against a client that obtains a rank which the contract does not
        # grant.
        made = contract()
        assert parse_user("coop") == ("coop", None)
        assert parse_user("coop.") == ("coop", "")
        assert parse_user("coop.counter") == ("coop", "counter")
        assert made.work_class(None) is made.work["members"]
        assert made.work_class("counter").rank_value is Rank.URGENT
        with pytest.raises(KeyError):
            made.work_class("")

    def test_active_shed_order(self) -> None:
        # Guards against refusing work outside the period or ranks of a shed order.
        longer = {**ORDER, "id": "o2", "expires_at": "2030-01-03T00:00:00+08:00"}
        made = contract(shed_orders=[longer, {**ORDER, "lowest_rank": "interactive"}])
        start = datetime.fromisoformat("2029-12-31T16:00:00+00:00")

        def active(rank: Rank, after: timedelta) -> str | None:
            order = made.active_shed_order(rank, start + after)
            return order and order.id

        day, tick = timedelta(days=1), timedelta(microseconds=1)
        assert active(Rank.BACKGROUND, -tick) is None
        assert active(Rank.BACKGROUND, 0 * day) == "o2"
        assert active(Rank.INTERACTIVE, day - tick) == "o1"
        assert active(Rank.INTERACTIVE, day) is None
        assert active(Rank.URGENT, 0 * day) is None
        assert active(Rank.BACKGROUND, 2 * day) is None
