"""Load balancing of reads, outlier ejection and retry limits.

`Balancer` picks the cheaper of two random candidates, so that many proxies do not all
send their reads to the same endpoint. It ejects an endpoint after consecutive failures,
or when its answers are far slower than the group's, and brings it back gradually.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from math import exp, inf
from random import Random
from statistics import median
from typing import NamedTuple

from celeryjunction._pauses import PauseDetector
from celeryjunction.ports import Clock

FIRST_LATENCY_S = 0.001
"""Latency assumed before the first answer."""
ZONE_PENALTY_S = 0.0015
"""Extra latency assumed for another zone until the endpoint's latency is measured."""

PEAK_WEIGHT = 0.5
LATENCY_DECAY_S = 1.0
"""Time constant with which faster answers lower the latency estimate."""
STALE_DECAY_S = 5.0
"""An estimate that no answer confirms decays as ``exp(-(age / STALE_DECAY_S) ** 2)``,
so that the endpoint is tried again: after 9 s if it was 20 times slower than the
others, after 13 s if it was 1,000 times slower."""

FAILURES_TO_EJECT = 3
SLOW_FACTOR = 4.0
MIN_COMPARED_LATENCY_S = 0.0005
"""Lower bound of the others' median when latencies are compared, since the ratios of
shorter latencies are mostly scheduling noise."""

WINDOW_S = 0.5
MIN_WINDOW_SAMPLES = 5
MAX_WINDOW_SAMPLES = 64

MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 10.0
"""Including trials and ramp, an endpoint is in use within 15 s of its recovery."""

TRIALS = 3
TRIAL_TIMEOUT_S = 2.0
"""A trial that got no answer in this time, for example a cancelled one, is repeated."""

RAMP_S = 3.0
RAMP_START_PROBABILITY = 0.1
EJECTION_RESET_S = 10.0
"""After this time in full use, the next ejection has the minimum length again."""


class Candidate(NamedTuple):
    """An endpoint that may serve a read.

    `in_flight` counts this proxy's statements at the endpoint, and `waiting` the
    statements of the read's rank that are queued for it. An endpoint guarantees a
    rank's share of its own time only, so each rank's work must be spread separately.
    """

    name: str
    zone: str
    slots: int
    in_flight: int = 0
    waiting: int = 0
    leaving: bool = False


class NoCandidate(LookupError):
    """No candidate was given, or all are leaving the group."""


class _EndpointState:
    """Measurements and ejection state of one endpoint. Times are monotonic seconds."""

    __slots__ = (
        "_peak_s",
        "ejected_until",
        "failures",
        "last_ejection_s",
        "mean_s",
        "measured_at",
        "ramp_started_at",
        "trial_sent_at",
        "trials_left",
        "window",
        "window_started_at",
    )

    def __init__(self) -> None:
        self._peak_s = 0.0
        self.mean_s = 0.0
        self.measured_at = -inf
        self.failures = 0
        self.window: list[float] = []
        self.window_started_at = 0.0
        self.last_ejection_s = 0.0
        self.ejected_until = -inf
        self.trials_left = 0
        self.trial_sent_at = -inf
        self.ramp_started_at = -inf

    @property
    def is_measured(self) -> bool:
        return self.mean_s > 0

    def latency(self, now: float) -> float:
        """Return the latency estimate, which decays while no answer confirms it."""
        age = (now - self.measured_at) / STALE_DECAY_S
        return self._peak_s * exp(-age * age) if age < 10 else 0.0

    def update_latency(self, seconds: float, now: float) -> None:
        """Move halfway up to a slower answer, or down over `LATENCY_DECAY_S`."""
        if not self.is_measured:
            self._peak_s = self.mean_s = seconds
        elif seconds > self._peak_s:
            self._peak_s += PEAK_WEIGHT * (seconds - self._peak_s)
        else:
            keep = exp(-(now - self.measured_at) / LATENCY_DECAY_S)
            self._peak_s = seconds + keep * (self._peak_s - seconds)
        self.mean_s += 0.1 * (seconds - self.mean_s)
        self.measured_at = now

    def add_to_window(self, seconds: float, now: float) -> float | None:
        """Add an answer; return the window's median when the window is complete."""
        if not self.window:
            self.window_started_at = now
        if len(self.window) < MAX_WINDOW_SAMPLES:
            self.window.append(seconds)
        if (
            now - self.window_started_at < WINDOW_S
            or len(self.window) < MIN_WINDOW_SAMPLES
        ):
            return None
        median_s = median(self.window)
        self.window.clear()
        return median_s

    def eject(self, now: float) -> None:
        """Take the endpoint out of use, for twice as long as the last time."""
        if (
            self.ramp_started_at + RAMP_S + EJECTION_RESET_S < now
            and not self.trials_left
        ):
            self.last_ejection_s = 0.0
        self.last_ejection_s = min(
            MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * self.last_ejection_s)
        )
        self.ejected_until = now + self.last_ejection_s
        self.trials_left = TRIALS
        self.trial_sent_at = -inf
        self.failures = 0
        self.window.clear()

    def trial_succeeded(self, seconds: float, now: float) -> None:
        """Record a good trial; the last one starts the ramp.

        The trial's time replaces the latency estimate.
        """
        self.trials_left -= 1
        self.trial_sent_at = -inf
        self._peak_s = self.mean_s = seconds
        self.measured_at = now
        if not self.trials_left:
            self.ramp_started_at = now

    def is_trial_due(self, now: float) -> bool:
        if not self.trials_left or now < self.ejected_until:
            return False
        return now - self.trial_sent_at >= TRIAL_TIMEOUT_S

    def candidate_probability(self, now: float) -> float:
        """Return the probability with which the endpoint is a candidate."""
        if self.trials_left:
            return 0.0
        return min(1.0, RAMP_START_PROBABILITY + (now - self.ramp_started_at) / RAMP_S)


class Balancer:
    """Chooses endpoints for reads in one group of interchangeable endpoints.

    The cost of a candidate is ``latency * (1 + (in_flight + waiting) / slots)``, plus
    a penalty for another zone until its latency is measured. The latency estimate
    rises quickly with slow answers and falls slowly.

    An endpoint is ejected after 3 failures in a row, or when the median of its
    answers in half a second (at least 5) is more than 4 times the median of the other
    endpoints. The first ejection lasts 1 s, each further one twice as long, up to 10 s.
    Afterwards 3 trial statements are sent, one at a time. When all succeed, the
    probability that the endpoint is a candidate rises from 0.1 to 1 over 3 s. A slow or
    failed trial ejects the endpoint again.

    The only remaining candidate is used even while ejected.
    """

    __slots__ = ("_clock", "_pauses", "_random", "_states", "_zone")

    def __init__(
        self,
        *,
        zone: str,
        clock: Clock,
        random: Random,
        pauses: PauseDetector | None = None,
    ) -> None:
        self._zone = zone
        self._pauses = pauses or PauseDetector()
        self._clock = clock
        self._random = random
        self._states: dict[str, _EndpointState] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "zone", self._zone
        yield "ejected", self.ejected

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the endpoints that are ejected or awaiting successful trials."""
        return tuple(name for name, state in self._states.items() if state.trials_left)

    def latency_s(self, endpoint: str) -> float | None:
        """Latency estimate of an endpoint in seconds; None before the first answer."""
        state = self._states.get(endpoint)
        if state is None or not state.is_measured:
            return None
        return state.latency(self._clock.monotonic())

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate to use.

        Raises `NoCandidate` when none is given or all are leaving.
        """
        now = self._clock.monotonic()
        staying = [each for each in candidates if not each.leaving]
        if not staying:
            raise NoCandidate("no endpoint that stays in service")
        if len(staying) == 1:
            return staying[0]
        usable = []
        for each in staying:
            state = self._state_of(each.name)
            if state.is_trial_due(now):
                state.trial_sent_at = now
                return each
            probability = state.candidate_probability(now)
            if probability >= 1 or self._random.random() < probability:
                usable.append(each)
        if not usable:
            usable = [
                e for e in staying if not self._state_of(e.name).trials_left
            ] or staying
        if len(usable) > 2:
            usable = self._random.sample(usable, 2)
        return min(usable, key=lambda each: self._cost(each, now))

    def observe(self, endpoint: str, seconds: float, ok: bool) -> None:
        """Record an answer after `seconds`; `ok` is False for a failure.

        The time of a failure raises the latency estimate but never lowers it, so that
        an endpoint that fails fast does not look attractive. A time that overlaps a
        pause of this process is not recorded, since it does not show the endpoint's
        speed.
        """
        now = self._clock.monotonic()
        if self._pauses.overlaps_pause(now - seconds, now):
            return
        state = self._state_of(endpoint)
        others_median_s = self._others_median_s(endpoint)
        is_slow = seconds > SLOW_FACTOR * others_median_s
        if state.trials_left:
            self._judge_trial(state, seconds, ok and not is_slow, now)
            return
        if ok or seconds > state.latency(now):
            state.update_latency(seconds, now)
        if not ok:
            state.failures += 1
            if state.failures >= FAILURES_TO_EJECT:
                state.eject(now)
            return
        state.failures = 0
        median_s = state.add_to_window(seconds, now)
        if median_s is not None and median_s > SLOW_FACTOR * others_median_s:
            state.eject(now)

    def forget(self, endpoint: str) -> None:
        """Drop the state of an endpoint that left the group."""
        self._states.pop(endpoint, None)

    def _judge_trial(
        self, state: _EndpointState, seconds: float, good: bool, now: float
    ) -> None:
        if now < state.ejected_until:
            return  # The statement was sent before the ejection.
        if good:
            state.trial_succeeded(seconds, now)
        else:
            state.eject(now)

    def _state_of(self, name: str) -> _EndpointState:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _EndpointState()
        return state

    def _others_median_s(self, endpoint: str) -> float:
        """Return the median latency of the other endpoints in use, in seconds.

        Infinite if no other endpoint is measured and in use.
        """
        others = [
            state.mean_s
            for name, state in self._states.items()
            if name != endpoint and state.is_measured and not state.trials_left
        ]
        return max(median(others), MIN_COMPARED_LATENCY_S) if others else inf

    def _cost(self, candidate: Candidate, now: float) -> float:
        state = self._state_of(candidate.name)
        latency = state.latency(now) if state.is_measured else FIRST_LATENCY_S
        load = (candidate.in_flight + candidate.waiting) / max(1, candidate.slots)
        cost = latency * (1 + load)
        if not state.is_measured and candidate.zone != self._zone:
            cost += ZONE_PENALTY_S
        return cost


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    Each request adds `ratio` tokens, each second adds `floor_per_s`, and a retry takes
    one. The bucket holds at most `burst` tokens. Apart from the tokens added by time, a
    fault that fails every request multiplies the load by no more than ``1 + ratio``;
    those tokens let a client with few requests retry.
    """

    __slots__ = (
        "_burst",
        "_clock",
        "_floor_per_s",
        "_ratio",
        "_refilled_at",
        "_tokens",
    )

    def __init__(
        self,
        *,
        ratio: float = 0.1,
        floor_per_s: float = 1.0,
        burst: float = 10.0,
        clock: Clock,
    ) -> None:
        self._ratio = ratio
        self._floor_per_s = floor_per_s
        self._burst = burst
        self._clock = clock
        self._tokens = 1.0
        self._refilled_at = clock.monotonic()

    @property
    def tokens(self) -> float:
        """Number of retries that may be made now."""
        self._refill()
        return self._tokens

    def count_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry; return False if the budget is used up."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        tokens = self._tokens + (now - self._refilled_at) * self._floor_per_s
        self._tokens = min(self._burst, tokens)
        self._refilled_at = now


def backoff(attempt: int, *, base_s: float, cap_s: float, random: Random) -> float:
    """Return the delay in seconds before a retry; the first `attempt` is 0.

    The delay doubles with each attempt up to `cap_s`, and is then scaled by a random
    factor between one half and one, so that callers that failed together do not retry
    together. For example, attempt 2 with a base of 10 ms waits 20 to 40 ms.
    """
    longest_s = min(cap_s, base_s * 2.0 ** min(attempt, 60))
    return longest_s * (0.5 + random.random() / 2)
