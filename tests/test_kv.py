"""Tests of the stand-in for the key-value service."""

from __future__ import annotations

import pytest
from _store_support import FakeTime, running_store, write
from aetcd import rpc
from aiohttp import ClientSession

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.ports import Compare, Put, StoreUnavailable
from celeryjunction.standin._versions import RequestError, VersionedKeys


class TestVersions:
    def put(self, data: VersionedKeys, key: bytes, value: bytes) -> None:
        data.put(rpc.PutRequest(key=key, value=value))

    def test_a_past_revision_can_be_read_until_compacted(self) -> None:
        data = VersionedKeys(clock=FakeTime())
        self.put(data, b"a", b"1")
        self.put(data, b"a", b"2")
        data.delete(rpc.DeleteRangeRequest(key=b"a"))
        values = [
            [item.value for item in data.range(request).kvs]
            for request in (rpc.RangeRequest(key=b"a", revision=n) for n in (2, 3, 4))
        ]
        assert values == [[b"1"], [b"2"], []]
        data.compact(4)
        with pytest.raises(RequestError):
            data.range(rpc.RangeRequest(key=b"a", revision=3))

    def test_an_invalid_transaction_changes_nothing(self) -> None:
        # Guards against a rejected transaction that leaves some of its puts applied.
        data = VersionedKeys(clock=FakeTime())
        puts = [rpc.PutRequest(key=b"a"), rpc.PutRequest(key=b"b", lease=5)]
        operations = [rpc.RequestOp(request_put=put) for put in puts]
        with pytest.raises(RequestError):
            data.txn(rpc.TxnRequest(success=operations))
        assert (data.key_count, data.revision) == (0, 1)

    def test_a_recreated_key_starts_over(self) -> None:
        data = VersionedKeys(clock=FakeTime())
        self.put(data, b"a", b"1")
        data.delete(rpc.DeleteRangeRequest(key=b"a"))
        data.delete(rpc.DeleteRangeRequest(key=b"a"))
        self.put(data, b"a", b"2")
        item = data.range(rpc.RangeRequest(key=b"a")).kvs[0]
        assert (item.version, item.create_revision, item.mod_revision) == (1, 4, 4)


class TestLeases:
    async def test_expiry_deletes_the_lease_keys_and_no_others(self) -> None:
        time = FakeTime()
        async with running_store(clock=time) as (_, store):
            lease = await store.grant_lease(10)
            puts = [Put("/held", b""), Put("/moved", b"")]
            await store.compare_and_put([], puts, lease=lease)
            await write(store, "/moved", b"no longer under the lease")
            time.advance(9)
            assert await store.renew_lease(lease)
            time.advance(9)
            assert await store.get("/held") is not None
            time.advance(1)
            assert [item.key for item in (await store.list("/")).items] == ["/moved"]
            assert not await store.renew_lease(lease)


class TestControl:
    async def test_faults_over_http(self) -> None:
        async with running_store() as (server, store), ClientSession() as http:
            base = f"http://127.0.0.1:{server.control_port}"

            async def post(name: str, **arguments: object) -> int:
                async with http.post(f"{base}/{name}", json=arguments) as response:
                    return response.status

            assert await post("outage", mode="hang", seconds=0.05) == 200
            await store.get("/k", timeout=10)
            assert await post("lose_answers", probability=1.0, seed=3) == 200
            with pytest.raises(StoreUnavailable):
                await write(store, "/k", b"1")
            assert await post("outage", mode="nonsense") == 400
            async with http.get(f"{base}/state") as response:
                state = await response.json()
            assert (state["revision"], state["outage"]) == (2, None)
            assert state["clients"]["test"] == state["calls"]

    async def test_a_delayed_change_takes_effect_after_its_failure(self) -> None:
        async with running_store() as (server, store):
            server.delay_changes(1)
            with pytest.raises(StoreUnavailable):
                await store.compare_and_put([Compare("/k", 0)], [Put("/k", b"1")])
            assert await store.get("/k") is None
            assert server.release_changes() == 1
            assert (await store.get("/k")).value == b"1"

    async def test_a_block_affects_only_its_zone(self) -> None:
        async with running_store() as (server, store):
            far = EtcdStore([f"127.0.0.1:{server.port}"], zone="b")
            server.block("b")
            with pytest.raises(StoreUnavailable):
                await far.get("/k", timeout=0.2)
            assert await store.get("/k") is None
            server.heal()
            assert await far.get("/k") is None
            await far.close()
