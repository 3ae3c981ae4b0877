"""Adaptive limit of the statements sent to one endpoint at once."""

from __future__ import annotations

from collections.abc import Iterator
from math import sqrt

WINDOW_SAMPLES = 200
WINDOW_S = 1.0
MIN_SAMPLES = 50
"""Below 50 samples the lower quartile of noisy 1 ms service times moves by more than
10% from window to window, which the thresholds could not tell from queueing."""

SLOWER = 1.25
STEADY = 1.10
CONFIRM = 3
"""Windows in a row that must agree before the limit moves."""

LEARNING = 5
"""Windows that make the first baseline. The quartile of one window of exponential
service times is off by 15 to 30%, and a low baseline would hold the limit down."""

FIRST_PROBE_S = 10.0
LONGEST_PROBE_S = 300.0


class _Baseline:
    """Usual service times of one kind of statement, in seconds."""

    __slots__ = ("low", "mean", "windows")

    def __init__(self) -> None:
        self.low = 0.0
        self.mean = 0.0
        self.windows = 0

    def follow(self, low: float, mean: float, weight: float) -> None:
        """Move towards a window's lower quartile and mean."""
        self.low += weight * (low - self.low)
        self.mean += weight * (mean - self.mean)
        self.windows += 1


class ConcurrencyLimit:
    """Limit that follows the service times an endpoint shows.

    Service times are gathered in windows of 200 samples, or of 1 s when that holds at
    least 50. The lower quartile of a window is compared with a baseline, separately
    for each rank, because ranks run different statements; the rank with the most
    samples decides.

    - Three windows in a row above 1.25 times the baseline, by more than the quartile's
      standard error, with more than half of the limit in use: the endpoint is
      queueing, and the limit is multiplied by 0.8 (at least one less).
    - If the quartile stays within 10% after that, the statements themselves became
      slower: the limit is restored and the quartile becomes the baseline.
    - Three windows in a row below 1.1 times the baseline, with the limit reached and
      work waiting in nearly all of them: the limit grows by one.
    - Above the endpoint's stated `slots` the limit is a probe. An endpoint that really
      has only `slots` answers ``limit / slots`` times slower in the mean, so half of
      that increase of the mean ends the probe. (The quartile does not show a short
      queue when service times are all alike: some statements still find a free slot.)
      The next probe starts 10 s later, and twice as late each time, up to 300 s.

    The baseline is the mean of the first 5 windows, in which the limit does not move.
    After that it moves by a tenth towards faster windows, and by a twentieth towards
    slower ones that are not surely slow, so that a baseline that was low by chance is
    forgotten. It does not move during a probe, or probes would add up.

    The limit stays between 1 and twice `slots`.
    """

    __slots__ = (
        "_baselines",
        "_before",
        "_limit",
        "_next_probe",
        "_probe_delay",
        "_samples",
        "_saturated",
        "_slots",
        "_slow",
        "_started",
        "_steady",
        "_total",
        "_used",
    )

    def __init__(self, *, slots: int) -> None:
        if slots < 1:
            raise ValueError("slots must be at least 1")
        self._slots = slots
        self._limit = slots
        self._baselines: dict[int, _Baseline] = {}
        self._before: tuple[int, float] | None = None
        self._probe_delay = FIRST_PROBE_S
        self._next_probe = 0.0
        self._slow = 0
        self._steady = 0
        self._started = -1.0
        self._samples: dict[int, list[float]] = {}
        self._total = 0
        self._saturated = 0
        self._used = 0

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "limit", self._limit
        yield "slots", self._slots

    @property
    def limit(self) -> int:
        """Statements that may run at once."""
        return self._limit

    def observe(
        self, kind: int, service_s: float, *, now: float, running: int, waiting: bool
    ) -> None:
        """Record the service time of a statement that was answered.

        `kind` groups comparable statements (the rank). `running` counts the
        statements that ran when this one was answered, itself included, and
        `waiting` says whether more were waiting.
        """
        if self._started < 0:
            self._started = now
            self._next_probe = now + self._probe_delay
        samples = self._samples.get(kind)
        if samples is None:
            samples = self._samples[kind] = []
        samples.append(service_s)
        self._total += 1
        self._used += running
        if waiting and running >= self._limit:
            self._saturated += 1
        if self._total >= WINDOW_SAMPLES or now - self._started >= WINDOW_S:
            self._close_window(now)

    def _close_window(self, now: float) -> None:
        kind, samples = max(self._samples.items(), key=lambda item: len(item[1]))
        saturated = self._saturated >= 0.8 * self._total
        in_use = 2 * self._used > self._limit * self._total
        self._samples = {}
        self._total = self._saturated = self._used = 0
        self._started = now
        if len(samples) >= MIN_SAMPLES:
            samples.sort()
            self._judge(kind, samples, in_use, saturated, now)

    def _judge(
        self, kind: int, samples: list[float], in_use: bool, saturated: bool, now: float
    ) -> None:
        """Apply the rule to the sorted samples of a window."""
        count = len(samples)
        low = samples[count // 4]
        mean = sum(samples) / count
        usual = self._baselines.setdefault(kind, _Baseline())
        if usual.windows < LEARNING:
            usual.follow(low, mean, 1 / (usual.windows + 1))
            return
        ratio = low / usual.low if usual.low > 0 else 1.0
        over = self._limit - self._slots
        if over > 0:
            slow = mean > usual.mean * min(SLOWER, 1 + 0.5 * over / self._slots)
        else:
            surely = samples[int(count / 4 - sqrt(count * 3 / 16))]
            slow = in_use and surely > SLOWER * usual.low
        self._slow = self._slow + 1 if slow else 0
        self._steady = self._steady + 1 if ratio < STEADY and saturated else 0
        if not slow and over <= 0:
            usual.follow(low, mean, 0.1 if ratio < 1 else 0.05)
        if self._slow >= CONFIRM:
            self._slow = 0
            self._decrease(kind, low, mean, now)
        elif self._steady >= CONFIRM:
            self._steady = 0
            self._increase(now)

    def _decrease(self, kind: int, low: float, mean: float, now: float) -> None:
        if self._limit > self._slots:
            self._limit = self._slots
            self._probe_delay = min(LONGEST_PROBE_S, 2 * self._probe_delay)
            self._next_probe = now + self._probe_delay
        elif self._before is not None and low > 0.9 * self._before[1]:
            self._limit = self._before[0]
            self._before = None
            self._baselines[kind].follow(low, mean, 1.0)
        else:
            self._before = (self._limit, low)
            self._limit = max(1, int(self._limit * 0.8))

    def _increase(self, now: float) -> None:
        self._before = None
        if self._limit >= self._slots:
            if now < self._next_probe:
                return
            self._next_probe = now + self._probe_delay
        self._limit = min(2 * self._slots, self._limit + 1)
