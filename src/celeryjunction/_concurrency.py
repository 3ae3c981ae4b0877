"""Adaptive limit of the statements that run at one endpoint at once."""

from __future__ import annotations

from collections.abc import Iterator
from math import sqrt

WINDOW_SAMPLES = 200
WINDOW_S = 1.0
MIN_SAMPLES = 50
"""Smaller windows are discarded: below 50 samples the lower quartile of noisy 1 ms
service times moves by more than 10% between windows, which the thresholds could not
distinguish from queueing."""

SLOW_RATIO = 1.25
"""Ratio of lower quartile to baseline above which a window is slow."""
STEADY_RATIO = 1.10
"""Ratio of lower quartile to baseline below which a window is steady."""
CONFIRMING_WINDOWS = 3
"""Windows in a row that must agree before the limit moves."""

LEARNING_WINDOWS = 5
"""Windows that make up the first baseline. The quartile of one window of exponential
service times is off by 15 to 30%, and a low baseline would keep the limit down."""

MIN_PROBE_DELAY_S = 10.0
MAX_PROBE_DELAY_S = 300.0


class _Baseline:
    """Running averages of service times of one kind of statement, in seconds."""

    __slots__ = ("low", "mean", "windows")

    def __init__(self) -> None:
        self.low = 0.0
        self.mean = 0.0
        self.windows = 0

    def update(self, low: float, mean: float, weight: float) -> None:
        """Move by `weight` (0 to 1) towards a window's lower quartile and mean."""
        self.low += weight * (low - self.low)
        self.mean += weight * (mean - self.mean)
        self.windows += 1


class ConcurrencyLimit:
    """Limit that adapts to the service times of an endpoint.

    Service times are collected in windows of 200 samples, or of 1 s if that has at
    least 50. The lower quartile of a window is compared with a baseline. Each rank has
    its own baseline, because ranks run different statements; the rank with the most
    samples in the window decides.

    - After three windows in a row above 1.25 times the baseline, by more than the
      quartile's standard error and with more than half of the limit in use, the
      endpoint is queueing: the limit is multiplied by 0.8 and reduced by at least 1.
    - If the quartile falls by less than 10% after that, the statements themselves have
      become slower: the limit is restored, and the quartile becomes the baseline.
    - After three windows in a row below 1.1 times the baseline, in which at least 80%
      of the samples saw the limit reached and work waiting, the limit grows by 1.
    - Above the endpoint's stated `slots` the limit is a probe. On an endpoint that
      really has only `slots`, service times grow by the factor ``limit / slots`` in the
      mean, so half of that increase of the mean (25% at most) ends the probe. (The
      quartile shows no short queue if all service times are alike, because some
      statements still find a free slot.) Each step above `slots` is at least 10 s after
      the one before. Each probe that fails doubles this delay, up to 300 s.

    The baseline is the mean of the first 5 windows, in which the limit does not move.
    After that it moves by a tenth towards faster windows, and by a twentieth towards
    slower ones that are not significantly slow, so that a baseline that was low by
    chance does not persist. It does not move during a probe, or successive probes would
    each raise it.

    The limit stays between 1 and twice `slots`.
    """

    __slots__ = (
        "_baselines",
        "_before_decrease",
        "_limit",
        "_next_probe_at",
        "_probe_delay_s",
        "_running_sum",
        "_sample_count",
        "_samples",
        "_saturated_samples",
        "_slots",
        "_slow_windows",
        "_steady_windows",
        "_window_started_at",
    )

    def __init__(self, *, slots: int) -> None:
        if slots < 1:
            raise ValueError("slots must be at least 1")
        self._slots = slots
        self._limit = slots
        self._baselines: dict[int, _Baseline] = {}
        self._before_decrease: tuple[int, float] | None = None
        self._probe_delay_s = MIN_PROBE_DELAY_S
        self._next_probe_at = 0.0
        self._slow_windows = 0
        self._steady_windows = 0
        self._window_started_at = -1.0
        self._samples: dict[int, list[float]] = {}
        self._sample_count = 0
        self._saturated_samples = 0
        self._running_sum = 0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "limit", self._limit
        yield "slots", self._slots

    @property
    def limit(self) -> int:
        """Number of statements that may run at once."""
        return self._limit

    def observe(
        self, kind: int, service_s: float, *, now: float, running: int, waiting: bool
    ) -> None:
        """Record the service time of a statement that was answered.

        `kind` groups comparable statements (by rank). `running` is the number of
        statements that ran when this one was answered, including itself, and `waiting`
        says whether more were waiting.
        """
        if self._window_started_at < 0:
            self._window_started_at = now
            self._next_probe_at = now + self._probe_delay_s
        samples = self._samples.get(kind)
        if samples is None:
            samples = self._samples[kind] = []
        samples.append(service_s)
        self._sample_count += 1
        self._running_sum += running
        if waiting and running >= self._limit:
            self._saturated_samples += 1
        if (
            self._sample_count >= WINDOW_SAMPLES
            or now - self._window_started_at >= WINDOW_S
        ):
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        kind, samples = max(self._samples.items(), key=lambda item: len(item[1]))
        saturated = self._saturated_samples >= 0.8 * self._sample_count
        in_use = 2 * self._running_sum > self._limit * self._sample_count
        self._samples = {}
        self._sample_count = self._saturated_samples = self._running_sum = 0
        self._window_started_at = now
        if len(samples) >= MIN_SAMPLES:
            samples.sort()
            self._evaluate_window(kind, samples, in_use, saturated, now)

    def _evaluate_window(
        self, kind: int, samples: list[float], in_use: bool, saturated: bool, now: float
    ) -> None:
        """Adjust the limit or the baseline by the sorted samples of a window."""
        count = len(samples)
        low = samples[count // 4]
        mean = sum(samples) / count
        baseline = self._baselines.setdefault(kind, _Baseline())
        if baseline.windows < LEARNING_WINDOWS:
            baseline.update(low, mean, 1 / (baseline.windows + 1))
            return
        ratio = low / baseline.low if baseline.low > 0 else 1.0
        excess = self._limit - self._slots
        if excess > 0:
            is_slow = mean > baseline.mean * min(
                SLOW_RATIO, 1 + 0.5 * excess / self._slots
            )
        else:
            # The quartile less its standard error, as a rank among the samples.
            lower_bound = samples[int(count / 4 - sqrt(count * 3 / 16))]
            is_slow = in_use and lower_bound > SLOW_RATIO * baseline.low
        self._slow_windows = self._slow_windows + 1 if is_slow else 0
        self._steady_windows = (
            self._steady_windows + 1 if ratio < STEADY_RATIO and saturated else 0
        )
        if not is_slow and excess <= 0:
            baseline.update(low, mean, 0.1 if ratio < 1 else 0.05)
        if self._slow_windows >= CONFIRMING_WINDOWS:
            self._slow_windows = 0
            self._decrease(kind, low, mean, now)
        elif self._steady_windows >= CONFIRMING_WINDOWS:
            self._steady_windows = 0
            self._increase(now)

    def _decrease(self, kind: int, low: float, mean: float, now: float) -> None:
        if self._limit > self._slots:
            self._limit = self._slots
            self._probe_delay_s = min(MAX_PROBE_DELAY_S, 2 * self._probe_delay_s)
            self._next_probe_at = now + self._probe_delay_s
        elif self._before_decrease is not None and low > 0.9 * self._before_decrease[1]:
            self._limit = self._before_decrease[0]
            self._before_decrease = None
            self._baselines[kind].update(low, mean, 1.0)
        else:
            self._before_decrease = (self._limit, low)
            self._limit = max(1, int(self._limit * 0.8))

    def _increase(self, now: float) -> None:
        self._before_decrease = None
        if self._limit >= self._slots:
            if now < self._next_probe_at:
                return
            self._next_probe_at = now + self._probe_delay_s
        self._limit = min(2 * self._slots, self._limit + 1)
