"""Finds the VM that takes the next claim to replace a group's primary."""

from __future__ import annotations

import asyncio
import base64
import json
import time

from celeryjunction.platform.standin import StandinStore

CLAIM_POLL_S = 0.002
CLAIM_WAIT_S = 3.0


async def wait_for_holder(
    store: StandinStore, group: str, limit_s: float = CLAIM_WAIT_S
) -> str:
    """Return the name of the VM that takes a group's next claim.

    The name is empty if none does within `limit_s`.
    """
    key = f"failover/{group}"
    last = store.items.get(key, {}).get("revision")
    deadline = time.monotonic() + limit_s
    while store.items.get(key, {}).get("revision") in (None, last):
        if time.monotonic() >= deadline:
            return ""
        await asyncio.sleep(CLAIM_POLL_S)
    return json.loads(base64.b64decode(store.items[key]["value"]))["vm"]
