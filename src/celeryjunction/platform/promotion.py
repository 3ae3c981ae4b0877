"""HTTP client of the platform's promotion call: `Promoter`."""

from __future__ import annotations

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure, HttpNotSent
from celeryjunction.logs import get_logger
from celeryjunction.replication.ports import PromotionRequest, PromotionResult

CALL_TIMEOUT_S = 0.4
"""A promotion usually takes about 20 ms. After the time-out the connection is reset, so
that a call still delayed on the network is not executed later."""

_log = get_logger("failover")


class HttpPromoter:
    """Implements `Promoter`. Each call uses a connection of its own."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        """Send the request; `UNKNOWN` if the call may have been executed."""
        token = str(request.fencing_token)
        headers = {"X-Duty-Holder": request.holder, "X-Fence-Token": token}
        body = msgspec.json.encode({"service": request.group, "id": request.endpoint})
        try:
            response = await self._client.request(
                "POST",
                "/promotion",
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
                new_connection=True,
                is_due=request.is_due,
            )
        except HttpNotSent:
            return PromotionResult.REFUSED
        except HttpFailure as error:
            _log.warning(
                "promotion_unanswered",
                group=request.group,
                fencing_token=request.fencing_token,
                reason=str(error),
            )
            return PromotionResult.UNKNOWN
        if response.status == 200:
            return PromotionResult.ACCEPTED
        if response.status >= 500 and response.status != 503:
            return PromotionResult.UNKNOWN
        return PromotionResult.REFUSED
