"""HTTP control API of a stand-in database group.

``POST /<method>`` with a JSON object of arguments calls the `RunningGroup` method of
that name; ``GET /state`` and ``GET /log?endpoint=<name>`` return the group's state and
the log of an endpoint. The status is 409 for `FaultRefused`, 404 for an unknown
endpoint and 400 for invalid JSON or wrong arguments.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from celeryjunction.standin.group import RunningGroup

CONTROL_METHODS = (
    "promote",
    "cut",
    "heal",
    "block",
    "unblock",
    "crash",
    "restart",
    "freeze",
    "lag",
    "slow",
    "leaving",
    "lose_commit_answer",
)


class ControlServer:
    """Serves the control API of one group."""

    def __init__(self, group: RunningGroup) -> None:
        self._group = group
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self, host: str, port: int) -> None:
        """Start listening; port 0 picks a free port."""
        app = web.Application()
        app.router.add_get("/state", self._state)
        app.router.add_get("/log", self._log)
        for name in CONTROL_METHODS:
            app.router.add_post(
                f"/{name}", self._make_handler(getattr(self._group, name))
            )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, host, port).start()
        self._runner = runner
        self.port = runner.addresses[0][1]

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _state(self, request: web.Request) -> web.Response:
        return _json(self._group.state())

    async def _log(self, request: web.Request) -> web.Response:
        return await _call_method(
            self._read_log, {"endpoint": request.query["endpoint"]}
        )

    async def _read_log(self, endpoint: str) -> Any:
        return self._group.log(endpoint)

    def _make_handler(
        self, method: Callable[..., Awaitable[Any]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            try:
                arguments = msgspec.json.decode(
                    await request.read() or b"{}", type=dict
                )
            except msgspec.MsgspecError as error:
                return _json({"error": str(error)}, status=400)
            return await _call_method(method, arguments)

        return handle


async def _call_method(
    method: Callable[..., Awaitable[Any]], arguments: dict[str, Any]
) -> web.Response:
    from celeryjunction.standin.group import FaultRefused

    try:
        return _json(await method(**arguments) or {})
    except FaultRefused as error:
        return _json({"error": str(error)}, status=409)
    except LookupError as error:
        return _json({"error": str(error.args[0])}, status=404)
    except TypeError as error:
        return _json({"error": str(error)}, status=400)


def _json(value: Any, *, status: int = 200) -> web.Response:
    body = msgspec.json.encode(value)
    return web.Response(body=body, status=status, content_type="application/json")
