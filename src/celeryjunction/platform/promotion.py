"""HTTP client of the platform's promotion call: `Promoter`."""

from __future__ import annotations

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure
from celeryjunction.replication.ports import PromotionResult

CALL_TIMEOUT_S = 0.4
"""A promotion usually takes about 20 ms. After the time-out the connection is reset, so
that a call still delayed on the network is not executed later."""


class HttpPromoter:
    """Implements `Promoter`. Each call uses a connection of its own."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def promote(
        self, *, group: str, endpoint: str, holder: str, fencing_token: int
    ) -> PromotionResult:
        """Ask the platform to make a replica the primary of the next term.

        `holder` is the VM that holds the claim, `fencing_token` rises with each call
        for the group. Returns `UNKNOWN` if the call may have been executed.
        """
        headers = {"X-Duty-Holder": holder, "X-Fence-Token": str(fencing_token)}
        body = msgspec.json.encode({"service": group, "id": endpoint})
        try:
            response = await self._client.request(
                "POST",
                "/promotion",
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
                new_connection=True,
            )
        except HttpFailure:
            return PromotionResult.UNKNOWN
        if response.status == 200:
            return PromotionResult.ACCEPTED
        if response.status >= 500 and response.status != 503:
            return PromotionResult.UNKNOWN
        return PromotionResult.REFUSED
