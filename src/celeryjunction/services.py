"""Background tasks that must run as long as the process does."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from celeryjunction.logs import get_logger

RESTART_DELAY_S = 0.5
"""Pause before a task that ended with an error runs again, so that an error that
repeats does not take the processor from the others."""

_log = get_logger("services")


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    *,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> None:
    """Run a task, and run it again after an unexpected error, until cancelled.

    A process whose register or membership has stopped would go on serving from what
    it knew, without an end. Ends when `run` returns.

    ```python
    asyncio.create_task(keep_running("register", register.run))
    ```
    """
    while True:
        try:
            return await run()
        except Exception as error:
            _log.error("service_failed", alarm=1, service=name, reason=repr(error))
        await sleep(RESTART_DELAY_S)
