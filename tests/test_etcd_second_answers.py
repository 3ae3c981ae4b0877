"""Tests of the etcd adapter against a server that answers renewals twice."""

from __future__ import annotations

import asyncio

from aetcd import rpc
from aetcd.rpc import rpc_pb2_grpc
from grpc import aio

from celeryjunction.adapters.etcd import EtcdStore


class StutteringLease(rpc_pb2_grpc.LeaseServicer):
    """Answers each renewal twice: by the lease's state, then by its opposite."""

    async def LeaseKeepAlive(self, requests, context):  # noqa: N802
        async for request in requests:
            alive = request.ID % 2
            yield rpc.LeaseKeepAliveResponse(ID=request.ID, TTL=9 * alive)
            yield rpc.LeaseKeepAliveResponse(ID=request.ID, TTL=9 * (1 - alive))


class TestRenewals:
    async def test_a_second_answer_is_no_other_renewals(self) -> None:
        server = aio.server()
        rpc_pb2_grpc.add_LeaseServicer_to_server(StutteringLease(), server)
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        store = EtcdStore([f"127.0.0.1:{port}"])
        for _ in range(3):
            leases = range(1, 9)
            renewed = await asyncio.gather(*map(store.renew_lease, leases))
            assert renewed == [bool(lease % 2) for lease in leases]
            for lease in leases:
                assert await store.renew_lease(lease) is bool(lease % 2)
        await store.close()
        await server.stop(None)
