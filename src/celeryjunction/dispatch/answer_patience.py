"""How long an endpoint may answer none of its statements before it counts as stuck.

Answers two loads. An endpoint that is cut off must be noticed soon, so that its reads
can be repeated elsewhere. One that is merely slow, because its statements take long or
it is overloaded, must not have its work aborted and started again, since each attempt
adds to its load and none would ever end. The limit therefore follows the times that its
statements take. An endpoint that answers a command after statements were aborted was
slow rather than cut off, and gets longer the next time.
"""

from __future__ import annotations

from collections.abc import Iterator

MIN_TIMEOUT_S = 0.2
"""Lower bound: a busy endpoint with short statements ends one every few ms."""
MAX_TIMEOUT_S = 10.0
SERVICE_TIMES = 4.0
"""The limit as a multiple of the mean time of a statement. Few statements take longer
than this, and an endpoint with several slots ends others meanwhile."""
FIRST_ANSWERS = 10
"""Answers that are averaged with equal weights at first, so that one is enough to learn
the scale of a site's statements."""
WEIGHT = 0.1
"""Weight of a later answer in the moving average."""


class AnswerPatience:
    """The limit for one endpoint; times are seconds of one clock.

    ```python
    patience = AnswerPatience()
    patience.record_answer(0.5)  # a statement took 0.5 s
    patience.timeout_s           # 2.0
    ```
    """

    __slots__ = ("_answers", "_backoff", "_interrupted_at", "_mean_s")

    def __init__(self) -> None:
        self._answers = 0
        self._mean_s = 0.0
        self._backoff = 1.0
        self._interrupted_at: float | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "timeout_s", round(self.timeout_s, 3)

    @property
    def timeout_s(self) -> float:
        """Seconds without an answer after which the endpoint is stuck."""
        expected_s = max(SERVICE_TIMES * self._mean_s, MIN_TIMEOUT_S)
        return min(expected_s * self._backoff, MAX_TIMEOUT_S)

    def record_answer(self, seconds: float) -> None:
        """Record how long a statement took."""
        self._answers += 1
        weight = max(WEIGHT, 1 / min(self._answers, FIRST_ANSWERS))
        self._mean_s += weight * (seconds - self._mean_s)
        self._backoff = 1.0

    def record_interruption(self, now: float) -> None:
        """Record that statements were aborted because the endpoint was stuck."""
        self._interrupted_at = now

    def record_alive(self, sent_at: float) -> None:
        """Record that a command that was sent at this time was answered."""
        if self._interrupted_at is not None and sent_at >= self._interrupted_at:
            self._interrupted_at = None
            self._backoff = min(2 * self._backoff, MAX_TIMEOUT_S / MIN_TIMEOUT_S)
