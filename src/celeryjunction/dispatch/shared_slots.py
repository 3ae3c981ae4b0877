"""Limit on the statements in flight to an endpoint that other VMs use as well.

An endpoint runs a few statements at once and queues the rest in order of arrival,
whatever their priority. If each VM filled all slots, urgent statements would wait at
the endpoint behind others. Answer times well above their baseline show such a queue:
the limit then decreases towards this VM's fair share of the slots, and statements wait
in this VM's priority queue instead. With normal answer times the limit increases
again, so that a VM can use slots that others leave free. This matters during bursts
that need more slots than there are.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil

QUEUEING_RATIO = 2.0
"""Ratio of recent to baseline answer times from which on the limit decreases. At 2, the
endpoint queues as many statements as it runs. Noise is about a quarter, the spread of
the mean of ten lognormal service times."""
NORMAL_RATIO = 1.4
"""Ratio up to which the limit increases."""
RECENT_WEIGHT = 0.1
"""Weight of one answer in the moving average of the ratio."""
BASELINE_WEIGHT = 0.001
"""Weight of one answer in the baseline: a time constant of 10 s for a home with 100
answers/s, so that a burst of a few seconds does not become the baseline."""
BASELINE_ANSWERS = 30
"""Answers that are averaged into the first baseline of a priority."""
DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.1
"""Factor of one decrease, and increase with each normal answer, in statements."""
ANSWERS_BETWEEN_DECREASES = 6
"""Answers without a further decrease, since their statements were sent before the last
one."""


class SharedSlots:
    """Adapts the limit of this VM's statements at one endpoint to its answer times.

    ```python
    shared = SharedSlots(slots=4, vm_count=3)
    shared.observe(0, 0.2)   # priority and answer time in seconds
    shared.limit             # between 2, a third of the slots, and 4
    ```
    """

    __slots__ = (
        "_baselines",
        "_decrease_pause",
        "_limit",
        "_ratio",
        "slots",
        "vm_count",
    )

    def __init__(self, *, slots: int, vm_count: int) -> None:
        self.slots = max(slots, 1)
        self.vm_count = max(vm_count, 1)
        self._limit = float(self.slots)
        self._ratio = 1.0
        self._decrease_pause = 0
        self._baselines: dict[int, tuple[int, float]] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "limit", self.limit
        yield "ratio", round(self._ratio, 2)

    @property
    def fair_share(self) -> int:
        """This VM's fair share of the slots, at least one."""
        return ceil(self.slots / self.vm_count)

    @property
    def limit(self) -> int:
        """Statements that may be in flight at once."""
        return max(self.fair_share, min(int(self._limit), self.slots))

    def observe(self, priority: int, seconds: float) -> None:
        """Record the answer time of a statement."""
        count, baseline = self._baselines.get(priority, (0, 0.0))
        if count < BASELINE_ANSWERS:
            baseline += (seconds - baseline) / (count + 1)
            self._baselines[priority] = count + 1, baseline
            return
        self._ratio += RECENT_WEIGHT * (seconds / max(baseline, 1e-4) - self._ratio)
        self._decrease_pause = max(0, self._decrease_pause - 1)
        if self._ratio >= QUEUEING_RATIO:
            if not self._decrease_pause:
                self._decrease()
        elif self._ratio <= NORMAL_RATIO:
            baseline += BASELINE_WEIGHT * (seconds - baseline)
            self._baselines[priority] = count, baseline
            self._limit = min(self._limit + INCREASE_STEP, float(self.slots))

    def record_busy(self) -> None:
        """Record that the endpoint refused a statement because its queue was full."""
        if not self._decrease_pause:
            self._decrease()

    def _decrease(self) -> None:
        self._decrease_pause = ANSWERS_BETWEEN_DECREASES
        self._limit = max(float(self.fair_share), self._limit * DECREASE_FACTOR)
