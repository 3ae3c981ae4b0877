"""HTTP client of the platform's promotion call: `Promoter`."""

from __future__ import annotations

import asyncio

import msgspec

from celeryjunction.adapters.http_client import HttpChannel, HttpClient, HttpFailure
from celeryjunction.logs import get_logger
from celeryjunction.replication.ports import (
    PromotionPath,
    PromotionRequest,
    PromotionResult,
)

CALL_TIMEOUT_S = 0.4
"""A promotion usually takes about 20 ms. After the time-out the connection is reset,
which discards what has not left this VM or reaches the platform after the reset."""
ANSWER_LIMIT_S = 1.0
"""A platform that takes longer to answer anything counts as silent."""
LEAST_ANSWER_LIMIT_S = 0.3
USUAL_ANSWERS = 4
"""A connection counts as silent after so many times its first answer's time."""
GATEWAY_FAILURES = (502, 504)
"""Statuses of a gateway that may have passed the call on and got no answer."""
CHECK_PATH = "/"
"""Path of the request that only has to be answered, with whatever status."""

_log = get_logger("failover")


class HttpPromoter:
    """Implements `Promoter`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def open_path(self) -> PromotionPath | None:
        """Open a connection; None if the platform doesn't answer on it."""
        path = HttpPromotionPath(self._client)
        return path if await path.confirm() else None


class HttpPromotionPath:
    """Implements `PromotionPath`."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._channel: HttpChannel | None = None
        self._answer_limit_s = ANSWER_LIMIT_S
        self._closes = False
        """Whether the platform closes connections after an answer."""

    async def confirm(self) -> bool:
        """Return whether the platform answers on this connection now.

        The answer's status doesn't matter, unless it may be that of a gateway which
        doesn't reach the platform. If the platform closes the connection after it, the
        next request opens another one.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            channel = await self._open_channel()
            response = await channel.request(
                "GET", CHECK_PATH, timeout=self._answer_limit_s
            )
            if response.status >= 500:
                raise HttpFailure(f"status {response.status}")
        except HttpFailure as error:
            _log.warning("promotion_api_silent", reason=str(error))
            self.close()
            return False
        self._closes = channel.closed
        usual_s = USUAL_ANSWERS * (loop.time() - began)
        self._answer_limit_s = min(ANSWER_LIMIT_S, max(LEAST_ANSWER_LIMIT_S, usual_s))
        return True

    async def _open_channel(self) -> HttpChannel:
        if self._channel is None or self._channel.closed:
            self._channel = await self._client.open_channel()
        return self._channel

    def _is_confirmed(self) -> bool:
        return self._closes or not (self._channel is None or self._channel.closed)

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        """Send the request; the connection is closed afterwards."""
        token = str(request.fencing_token)
        headers = {"X-Duty-Holder": request.holder, "X-Fence-Token": token}
        body = msgspec.json.encode({"service": request.group, "id": request.endpoint})
        if not self._is_confirmed():
            return PromotionResult.REFUSED
        try:
            channel = await self._open_channel()
        except HttpFailure:
            return PromotionResult.REFUSED
        if not request.is_due():
            return PromotionResult.REFUSED
        try:
            response = await channel.request(
                "POST",
                "/promotion",
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except HttpFailure as error:
            _log.warning(
                "promotion_unanswered",
                group=request.group,
                fencing_token=request.fencing_token,
                reason=str(error),
            )
            return PromotionResult.UNANSWERED
        finally:
            self.close()
        if response.status == 200:
            return PromotionResult.ACCEPTED
        if response.status in GATEWAY_FAILURES:
            return PromotionResult.UNANSWERED
        if response.status >= 500 and response.status != 503:
            return PromotionResult.UNKNOWN
        return PromotionResult.REFUSED

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
