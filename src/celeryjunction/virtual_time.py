"""The virtual-time rule of start-time fair queueing.

Answers the load of a flow that sends far more than its share: it alone waits, and idle
capacity still goes to whoever can use it. A flow's virtual time is the service that it
received, divided by its share. The waiting flow with the least virtual time is served
next. The clock of the queue follows the flows in service, so that time in which a flow
was idle earns it no credit, and service that nobody else wanted costs it nothing.
"""

from __future__ import annotations

from collections.abc import Iterable


class VirtualFlow:
    """A flow of work with a share of the service, both in seconds of service."""

    __slots__ = ("share", "virtual_s")

    def __init__(self, share: float) -> None:
        self.share = share
        self.virtual_s = 0.0

    def charge(self, amount_s: float) -> None:
        """Count service that the flow received; a negative amount undoes it."""
        self.virtual_s += amount_s / self.share


class VirtualClock:
    """Virtual time of one queue of flows.

    ```python
    clock, flow = VirtualClock(), VirtualFlow(share=2.0)
    clock.start(flow)       # the flow begins to wait
    clock.advance([flow])   # the least virtual time among those that wait
    flow.charge(0.02)       # it is served for 20 ms: virtual time 0.01
    ```
    """

    __slots__ = ("virtual_s",)

    def __init__(self) -> None:
        self.virtual_s = 0.0

    def start(self, flow: VirtualFlow) -> None:
        """Let an idle flow begin, without credit for the time when it was idle."""
        flow.virtual_s = max(flow.virtual_s, self.virtual_s)

    def skip_queue(self, flow: VirtualFlow) -> None:
        """Align clock and flow when the flow is served at once since nobody waits."""
        if flow.virtual_s < self.virtual_s:
            flow.virtual_s = self.virtual_s
        else:
            self.virtual_s = flow.virtual_s

    def advance(self, waiting: Iterable[VirtualFlow]) -> float:
        """Move the clock up to the flow that is served next.

        Returns the least virtual time of the waiting flows.
        """
        least = min(flow.virtual_s for flow in waiting)
        self.virtual_s = max(self.virtual_s, least)
        return least
