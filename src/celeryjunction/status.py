"""HTTP server for the load balancer and operators.

``GET /ready`` answers 200 or 503, ``GET /status`` and ``GET /metrics`` answer JSON,
and ``POST /drain`` starts a graceful shutdown. Only ``/drain`` has a side effect; it
requires one of the peers' keys as ``Authorization: Bearer KEY``.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

from celeryjunction.logs import get_logger
from celeryjunction.settings import ProxySettings

_log = get_logger("status")
_MAX_BODY_BYTES = 1024  # No request needs a body.


class StatusServer:
    """Serves the status of one proxy.

    `ready` returns whether the proxy accepts new clients, `status` and `metrics` return
    JSON-serialisable data, and `drain` starts the shutdown and returns at once; `drain`
    may be called repeatedly.
    """

    __slots__ = ("_drain", "_metrics", "_ready", "_runner", "_settings", "_status")

    def __init__(
        self,
        settings: ProxySettings,
        *,
        ready: Callable[[], bool],
        status: Callable[[], Any],
        metrics: Callable[[], Any],
        drain: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._ready = ready
        self._status = status
        self._metrics = metrics
        self._drain = drain
        self._runner: web.AppRunner | None = None

    @property
    def port(self) -> int:
        """The listening port; raises `RuntimeError` before `start`."""
        if self._runner is None or not self._runner.addresses:
            raise RuntimeError("the status server is not started")
        return self._runner.addresses[0][1]

    async def start(self) -> None:
        """Start listening; raises `OSError` if the address is in use."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/ready", self._get_ready),
                web.get("/status", self._get_status),
                web.get("/metrics", self._get_metrics),
                web.post("/drain", self._post_drain),
            ]
        )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        address = self._settings.status
        try:
            await web.TCPSite(runner, address.host, address.port).start()
        except OSError:
            await runner.cleanup()
            raise
        self._runner = runner

    async def close(self) -> None:
        """Stop listening and close open connections."""
        runner, self._runner = self._runner, None
        if runner is not None:
            await runner.cleanup()

    async def _get_ready(self, request: web.Request) -> web.Response:
        ready = self._ready()
        text = "ready\n" if ready else "not ready\n"
        return web.Response(status=200 if ready else 503, text=text)

    async def _get_status(self, request: web.Request) -> web.Response:
        return _json_response(self._status())

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return _json_response(self._metrics())

    async def _post_drain(self, request: web.Request) -> web.Response:
        if not self._authorized(request.headers.get("Authorization", "")):
            _log.warning("drain_refused", peer=request.remote)
            headers = {"WWW-Authenticate": "Bearer"}
            message = {"error": "one of the peers' keys is needed as bearer token"}
            return _json_response(message, status=401, headers=headers)
        _log.info("drain_requested", peer=request.remote)
        self._drain()
        return _json_response({"draining": True}, status=202)

    def _authorized(self, header: str) -> bool:
        scheme, _, token = header.partition(" ")
        given = token.strip().encode("utf-8", "surrogateescape")
        # All keys are compared, so that the response time does not reveal which one
        # matched.
        matches = [
            hmac.compare_digest(given, key.encode())
            for key in self._settings.peers.keys
        ]
        return scheme.lower() == "bearer" and any(matches)


def _json_response(
    data: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    body = msgspec.json.encode(data)
    return web.Response(
        status=status, body=body, headers=headers, content_type="application/json"
    )
