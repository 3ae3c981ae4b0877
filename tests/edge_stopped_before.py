"""Runs an edge that stops itself with SIGSTOP, once, before one step of a failover.

`CELERYJUNCTION_STOP_BEFORE` names the step: ``claim`` (its put), ``seal``, ``check``
(of the pauses, after the seal), ``promotion`` (its call) or ``resume``.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from celeryjunction.failover.claims import Claims  # noqa: E402
from celeryjunction.failover.coordinator import Coordinator  # noqa: E402
from celeryjunction.platform.edge import main  # noqa: E402
from celeryjunction.platform.promotion import HttpPromotionPath  # noqa: E402
from celeryjunction.replication.control import ControlLink  # noqa: E402
from celeryjunction.replication.ports import (  # noqa: E402
    Command,
    EndpointStatus,
    PromotionRequest,
    PromotionResult,
    ResumeReceiving,
)
from celeryjunction.replication.roster import GroupRoster  # noqa: E402

_stops_left = 1


def _stop(command: str) -> None:
    global _stops_left
    if _stops_left and os.environ["CELERYJUNCTION_STOP_BEFORE"] == command:
        _stops_left -= 1
        os.kill(os.getpid(), signal.SIGSTOP)


_promote, _ask = HttpPromotionPath.promote, ControlLink.ask
_put_claim, _seal = Claims._put, GroupRoster.seal
_still_paused = Coordinator._still_paused


async def _promote_after_stop(
    self: HttpPromotionPath, request: PromotionRequest
) -> PromotionResult:
    _stop("promotion")
    return await _promote(self, request)


async def _ask_after_stop(
    self: ControlLink, command: Command | None = None, **options: float
) -> EndpointStatus | None:
    if isinstance(command, ResumeReceiving):
        _stop("resume")
    return await _ask(self, command, **options)


async def _put_claim_after_stop(
    self: Claims, group: str, lease: int, value: bytes
) -> int | None:
    _stop("claim")
    return await _put_claim(self, group, lease, value)


async def _seal_after_stop(self: GroupRoster, **fields: object) -> bool | None:
    _stop("seal")
    return await _seal(self, **fields)


async def _still_paused_after_stop(
    self: Coordinator, paused: dict[str, EndpointStatus], term: int
) -> bool:
    _stop("check")
    return await _still_paused(self, paused, term)


HttpPromotionPath.promote = _promote_after_stop
ControlLink.ask = _ask_after_stop
Claims._put = _put_claim_after_stop
GroupRoster.seal = _seal_after_stop
Coordinator._still_paused = _still_paused_after_stop

if __name__ == "__main__":
    sys.exit(main())
