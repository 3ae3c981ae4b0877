"""Answers the load balancer's probe and requests for metrics over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from celeryjunction.metrics import format_counters, format_metrics
from celeryjunction.node import Node


class NodePage:
    """The pages of one VM: its metrics at ``/metrics``, its readiness elsewhere.

    `counters` returns further counters for the metrics.
    """

    def __init__(
        self, node: Node, *, counters: Callable[[], dict[str, object]]
    ) -> None:
        self._node = node
        self._counters = counters

    def respond(self, path: str) -> tuple[int, bytes]:
        """Return status and body for the path of a GET request."""
        if path.startswith("/metrics"):
            return 200, self._metrics_text()
        ready = self._node.check_readiness()
        return (200, b"ready\n") if ready else (503, b"not ready\n")

    def _metrics_text(self) -> bytes:
        node = self._node
        routes = {
            "routes_version": node.gateway.version,
            "routes_age_s": round(node.routes_age_s, 2),
        }
        lines = format_metrics(node.metrics) + format_counters(
            {**routes, **self._counters()}
        )
        return ("\n".join(lines) + "\n").encode()
