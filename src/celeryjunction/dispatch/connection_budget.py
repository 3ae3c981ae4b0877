"""Shares the connections that an endpoint accepts among the VMs that use it.

Answers two loads. In a burst, the VMs together may use all connections. When all VMs
lose power at once, the endpoint keeps their connections for seconds (3 s on the users'
platform) and refuses others above its limit, while the VMs that start again need some.
At rest the VMs therefore hold no more than half of the connections; the others are
closed soon after a burst.
"""

from __future__ import annotations

from math import ceil
from typing import NamedTuple

MIN_LINKS = 2
"""Connections that each VM may open at an endpoint, however many VMs there are."""
START_WINDOW_S = 3.0
"""A VM that started less than this ago keeps to its connections at rest, so that those
that start a moment later find some as well. Endpoints keep the connections of VMs that
lost power for this long."""
RESTING_SHARE = 0.5
"""Part of an endpoint's limit that the VMs hold at rest. The other part serves the same
VMs while the endpoint still keeps the connections of their last run."""


class ConnectionBudget(NamedTuple):
    """Connections for statements that one VM may have to an endpoint."""

    most: int
    """Connections at any time."""
    resting: int
    """Connections above which idle ones are closed soon."""


def connection_budget(
    limit: int,
    *,
    homes: int,
    active_homes: int,
    is_home: bool,
    shares_status: bool,
    running_s: float = START_WINDOW_S,
) -> ConnectionBudget:
    """Return a VM's budget at an endpoint that accepts `limit` connections.

    `homes` is the number of the group's homes, each of which keeps a connection for
    status commands, and `active_homes` the number of those that run statements.
    With `shares_status` the connections for statements serve status commands as well.
    A VM that is not a home connects only while it reaches no home. `running_s` is the
    time since this VM's process started.

    ```python
    connection_budget(16, homes=4, active_homes=4, is_home=True, shares_status=False)
    # ConnectionBudget(most=3, resting=1)
    ```
    """
    if not is_home:
        return ConnectionBudget(MIN_LINKS, 1)
    most = ceil((limit - homes) / active_homes)
    resting = int(RESTING_SHARE * limit / active_homes) - (not shares_status)
    most = max(MIN_LINKS, most)
    resting = min(max(1, resting), most)
    return ConnectionBudget(most if running_s >= START_WINDOW_S else resting, resting)
