"""How many statements a VM sends to an endpoint at once that other VMs use as well.

An endpoint runs a few statements at once and queues the rest in the order in which
they came, whatever their priority. VMs that each fill all slots therefore make urgent
statements wait behind others. When answers take much longer than usual, the endpoint
queues: the limit falls towards this VM's part of the slots, and the statements wait
here instead, in order of priority. When answers are quick again, it grows back, so that
a VM may use slots that the others leave free. Answers the load of a burst that needs
more slots than there are.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil

QUEUED = 2.0
"""Answers that take so many times the usual time show a queue of the endpoint's length
again. The mean of ten lognormal times of the users' sheet varies by about a quarter."""
CALM = 1.4
"""Below this the limit grows again."""
RECENT_WEIGHT = 0.1
"""Weight of one answer in the recent ratio."""
USUAL_WEIGHT = 0.001
"""Weight of one answer in the usual time: 10 s of a home with 100 answers a second. A
burst of a few seconds must not become usual."""
FIRST_ANSWERS = 30
"""Answers that make the first usual time of a priority."""
DECREASE = 0.7
INCREASE = 0.1
"""Factor of one decrease, and growth with each quick answer, in statements."""
PAUSE_ANSWERS = 6
"""Answers between two decreases: those that were sent before the first."""


class SharedSlots:
    """Limit of this VM's statements at one endpoint, from the times of its answers.

    ```python
    shared = SharedSlots(slots=4, vm_count=3)
    shared.observe(0, 0.2)   # a priority and the seconds that an answer took
    shared.limit             # between 2, a third of the slots, and 4
    ```
    """

    __slots__ = ("_limit", "_pause", "_ratio", "_usual", "slots", "vm_count")

    def __init__(self, *, slots: int, vm_count: int) -> None:
        self.slots = max(slots, 1)
        self.vm_count = max(vm_count, 1)
        self._limit = float(self.slots)
        self._ratio = 1.0
        self._pause = 0
        self._usual: dict[int, tuple[int, float]] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "limit", self.limit
        yield "ratio", round(self._ratio, 2)

    @property
    def part(self) -> int:
        """This VM's part of the slots, one at least."""
        return ceil(self.slots / self.vm_count)

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return max(self.part, min(int(self._limit), self.slots))

    def observe(self, priority: int, seconds: float) -> None:
        """Note how long a statement of a priority took until its answer."""
        count, usual = self._usual.get(priority, (0, 0.0))
        if count < FIRST_ANSWERS:
            usual += (seconds - usual) / (count + 1)
            self._usual[priority] = count + 1, usual
            return
        self._ratio += RECENT_WEIGHT * (seconds / max(usual, 1e-4) - self._ratio)
        self._pause = max(0, self._pause - 1)
        if self._ratio >= QUEUED:
            if not self._pause:
                self._decrease()
        elif self._ratio <= CALM:
            usual += USUAL_WEIGHT * (seconds - usual)
            self._usual[priority] = count, usual
            self._limit = min(self._limit + INCREASE, float(self.slots))

    def note_busy(self) -> None:
        """Note that the endpoint refused a statement because its queue is full."""
        if not self._pause:
            self._decrease()

    def _decrease(self) -> None:
        self._pause = PAUSE_ANSWERS
        self._limit = max(float(self.part), self._limit * DECREASE)
