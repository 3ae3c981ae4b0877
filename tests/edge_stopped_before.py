"""Runs an edge that stops itself with SIGSTOP, once, before it sends one command.

`CELERYJUNCTION_STOP_BEFORE` names the command: ``promotion`` or ``resume``.
"""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "src"))

from celeryjunction.platform.edge import main  # noqa: E402
from celeryjunction.platform.promotion import HttpPromoter  # noqa: E402
from celeryjunction.replication.control import ControlLink  # noqa: E402
from celeryjunction.replication.ports import (  # noqa: E402
    Command,
    EndpointStatus,
    PromotionRequest,
    PromotionResult,
    ResumeReceiving,
)

_stops_left = 1


def _stop(command: str) -> None:
    global _stops_left
    if _stops_left and os.environ["CELERYJUNCTION_STOP_BEFORE"] == command:
        _stops_left -= 1
        os.kill(os.getpid(), signal.SIGSTOP)


_promote, _ask = HttpPromoter.promote, ControlLink.ask


async def _promote_after_stop(
    self: HttpPromoter, request: PromotionRequest
) -> PromotionResult:
    _stop("promotion")
    return await _promote(self, request)


async def _ask_after_stop(
    self: ControlLink, command: Command | None = None, **options: float
) -> EndpointStatus | None:
    if isinstance(command, ResumeReceiving):
        _stop("resume")
    return await _ask(self, command, **options)


HttpPromoter.promote = _promote_after_stop
ControlLink.ask = _ask_after_stop

if __name__ == "__main__":
    sys.exit(main())
