"""A connection for one HTTP request that must not arrive late.

An open connection proves nothing: a proxy or a balancer that accepted it may hold back
what is written to it, and deliver it long after the caller gave up. A request is
therefore sent only on a connection on which the service has just answered.

    path = HttpPath(client)
    if await path.confirm():
        await path.send("POST", "/call", body=body, headers=headers, timeout=0.4)
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from celeryjunction.adapters.http_client import (
    HttpChannel,
    HttpClient,
    HttpFailure,
    HttpResponse,
)
from celeryjunction.logs import get_logger

ANSWER_LIMIT_S = 3.0
"""A service that takes longer to answer anything counts as silent."""
LEAST_ANSWER_LIMIT_S = 0.3
USUAL_ANSWERS = 4
"""A connection counts as silent after so many times its first answer's time."""
CHECK_PATH = "/"
"""Path of the request that only has to be answered, with whatever status."""
GATEWAY_FAILURES = (502, 504)
"""Statuses of a gateway that may have passed a request on and got no answer."""
UNAVAILABLE = 503
"""Status of a gateway, or a service, that passes nothing on."""

_log = get_logger("http")


class HttpNotSent(HttpFailure):
    """The request was not sent."""


class HttpPath:
    """A connection to a service, and whether the service answers on it."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client
        self._channel: HttpChannel | None = None
        self._answer_limit_s = ANSWER_LIMIT_S
        self._service_closes = False
        """Whether the service closes connections after an answer."""

    @property
    def _is_confirmed(self) -> bool:
        is_open = self._channel is not None and not self._channel.closed
        return is_open or self._service_closes

    async def confirm(self) -> bool:
        """Open a connection, and return whether the service answers on it now.

        On a connection that was checked before, a second response to that check could
        be taken for the answer. The answer's status doesn't matter, unless it may be
        that of a gateway which doesn't reach the service. If the service closes the
        connection after it, the next request opens another one.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.close()
        self._service_closes = False
        try:
            channel = await self._open_channel()
            response = await channel.request(
                "GET", CHECK_PATH, timeout=self._answer_limit_s
            )
            if response.status in (UNAVAILABLE, *GATEWAY_FAILURES):
                raise HttpFailure(f"status {response.status}")
        except HttpFailure as error:
            _log.warning("service_silent", reason=str(error))
            self.close()
            return False
        self._service_closes = channel.is_last_response
        usual_s = USUAL_ANSWERS * (loop.time() - began)
        self._answer_limit_s = min(ANSWER_LIMIT_S, max(LEAST_ANSWER_LIMIT_S, usual_s))
        return True

    async def _open_channel(self) -> HttpChannel:
        if self._channel is None or self._channel.closed:
            self._channel = await self._client.open_channel()
        return self._channel

    async def send(
        self,
        method: str,
        path: str,
        *,
        body: bytes,
        headers: Mapping[str, str],
        timeout: float,
        is_due: Callable[[], bool] = lambda: True,
    ) -> HttpResponse:
        """Send a request if `is_due` still holds, and close the connection afterwards.

        Raises `HttpNotSent` if it was not sent, and `HttpFailure` if the service didn't
        answer in `timeout` seconds, or longer if it answered slowly before: the request
        may then arrive at any later time. A response with the status and the body of
        the check's is taken for a second one to the check.
        """
        try:
            if not self._is_confirmed:
                raise HttpFailure("the connection was closed")
            channel = await self._open_channel()
        except HttpFailure as error:
            raise HttpNotSent(str(error)) from None
        if not is_due():
            raise HttpNotSent(f"{path}: not due any more")
        try:
            response = await channel.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=max(timeout, self._answer_limit_s),
            )
        finally:
            self.close()
        if response.status in GATEWAY_FAILURES:
            raise HttpFailure(f"{path}: status {response.status}")
        return response

    def close(self) -> None:
        """Close the connection."""
        if self._channel is not None:
            self._channel.close()
