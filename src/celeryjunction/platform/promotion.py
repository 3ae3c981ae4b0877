"""HTTP client of the platform's promotion call: `Promoter`."""

from __future__ import annotations

import msgspec

from celeryjunction.adapters.http_client import HttpClient, HttpFailure
from celeryjunction.adapters.http_path import HttpNotSent, HttpPath
from celeryjunction.replication.ports import PromotionRequest, PromotionResult

CALL_TIMEOUT_S = 0.4
"""A promotion usually takes about 20 ms."""


class HttpPromoter:
    """Implements `Promoter`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def open_path(self) -> HttpPromotionPath | None:
        """Open a connection; None if the platform doesn't answer on it."""
        path = HttpPromotionPath(self._client)
        return path if await path.confirm() else None


class HttpPromotionPath(HttpPath):
    """Implements `PromotionPath`."""

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        """Send the request, and say what became of it."""
        token = str(request.fencing_token)
        headers = {"X-Duty-Holder": request.holder, "X-Fence-Token": token}
        body = msgspec.json.encode({"service": request.group, "id": request.endpoint})
        options = {"timeout": CALL_TIMEOUT_S, "is_due": request.is_due}
        try:
            response = await self.send(
                "POST", "/promotion", body=body, headers=headers, **options
            )
        except HttpFailure as error:
            was_sent = not isinstance(error, HttpNotSent)
            return PromotionResult.UNANSWERED if was_sent else PromotionResult.REFUSED
        if response.status >= 500 and response.status != 503:
            return PromotionResult.UNKNOWN
        is_accepted = response.status == 200
        return PromotionResult.ACCEPTED if is_accepted else PromotionResult.REFUSED
