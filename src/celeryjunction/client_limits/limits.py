"""Limits for clients, derived from the memory and the descriptors of the machine.

The memory that a process without clients doesn't need is split into parts for what
connections hold, for large messages that are being handled, and for statements of other
VMs. The rest is left for fragmentation and for copies that last for one call.
"""

from __future__ import annotations

SMALLEST_MEMORY_MB = 200
"""Memory of the smallest machine, in MB; used where the settings name none."""
SMALLEST_FD_LIMIT = 4300
"""Descriptors of the smallest machine."""
PROCESS_BYTES = 56_000_000
"""Resident memory of a process that serves some hundred ordinary connections."""
MIN_FREE_BYTES = 40_000_000
"""With less memory than for this, a single message of 1 MiB could not be served."""
HELD_SHARE = 0.4
WORK_SHARE = 0.25
HOME_SHARE = 0.2
"""Shares of the free memory; the sum is 0.85."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""
RESERVED_SHARE = 0.2
"""Share of the descriptors for the readiness probe, other VMs, the store, endpoints and
connections that are accepted only to be closed."""
MIN_CLIENT_SHARE = 0.25
"""Share of the descriptors that clients get where there are only a few hundred."""

CONNECTION_BYTES = 12_288
"""What an idle connection takes, in the process and in the kernel; also what a
connection may hold before it is counted exactly."""
MAX_STATE_BYTES = 8 << 20
"""Values and prepared statements of a session: a few of the largest size. Where more
than one session holds that much, the common budget refuses earlier."""
MESSAGE_LIMIT_S = 300.0
"""Time for a message that was begun: 1 MiB at 28 kbit/s."""
ANSWER_LIMIT_S = 300.0
"""Time for taking an answer."""


class ClientLimits:
    """Limits of one process.

    For example, `ClientLimits(memory_mb=200, descriptors=4300).max_connections` is
    3,240.
    """

    __slots__ = ("held_bytes", "home_bytes", "max_connections", "work_bytes")

    def __init__(self, *, memory_mb: float, descriptors: int) -> None:
        memory = (memory_mb or SMALLEST_MEMORY_MB) * 1_000_000
        free = max(memory - PROCESS_BYTES, MIN_FREE_BYTES)
        self.held_bytes = int(free * HELD_SHARE)
        """What all connections may hold together."""
        self.work_bytes = int(free * WORK_SHARE)
        """What the handling of large messages may take."""
        self.home_bytes = int(free * HOME_SHARE)
        """What statements of other VMs may take."""
        by_memory = self.held_bytes // CONNECTION_BYTES
        by_descriptors = max(
            int(descriptors * (1 - RESERVED_SHARE)) - FILE_DESCRIPTORS,
            int(descriptors * MIN_CLIENT_SHARE),
        )
        self.max_connections = max(min(by_memory, by_descriptors), 1)
        """Connections of clients."""
