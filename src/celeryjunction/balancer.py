"""Choice of the endpoint for a read, and limits for retries.

`Balancer` picks the cheaper of two random candidates, so that many proxies do not all
rush to the same endpoint. It takes an endpoint out of use by evidence, consecutive
failures or answers far slower than the group's, and returns it gradually.
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
ZONE_PENALTY_S = 0.0015
"""Expected extra time to another zone, until the endpoint's latency is measured."""

PEAK_WEIGHT = 0.5
FALL_S = 1.0
FORGET_S = 5.0
"""An estimate that no answer confirms decays as ``exp(-(age / FORGET_S) ** 2)``, so
that the endpoint is tried again: after 9 s if it was 20 times slower than the others,
and after 13 s if it was 1,000 times slower."""

FAILURES = 3
SLOW_FACTOR = 4.0
SLOW_FLOOR_S = 0.0005
"""Latencies below this are not told apart: such ratios are scheduling noise."""

WINDOW_S = 0.5
WINDOW_SAMPLES = 5
WINDOW_LIMIT = 64

FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 10.0
"""With the trials and the ramp, an endpoint is in use within 15 s of its recovery."""

TRIALS = 3
TRIAL_TIMEOUT_S = 2.0
"""A trial without an answer for so long, for example a cancelled one, is repeated."""

RAMP_S = 3.0
RAMP_START = 0.1
FORGIVE_S = 10.0
"""After so long in full use, the next ejection is a first one again."""


class Candidate(NamedTuple):
    """An endpoint that may serve a read.

    `in_flight` counts this proxy's statements at the endpoint, and `waiting` those of
    the read's rank in the queue for it. Each endpoint keeps a rank's share only of its
    own time, so the ranks must be spread each by itself.
    """

    name: str
    zone: str
    slots: int
    in_flight: int = 0
    waiting: int = 0
    leaving: bool = False


class NoCandidate(LookupError):
    """No candidate was given, or all are leaving."""


class _State:
    """What is known of one endpoint. Times are monotonic seconds."""

    __slots__ = (
        "_peak",
        "ejected_until",
        "ejection_s",
        "failures",
        "measured_at",
        "ramp_from",
        "trial_at",
        "trials",
        "typical",
        "window",
        "window_from",
    )

    def __init__(self) -> None:
        self._peak = 0.0
        self.typical = 0.0
        self.measured_at = -inf
        self.failures = 0
        self.window: list[float] = []
        self.window_from = 0.0
        self.ejection_s = 0.0
        self.ejected_until = -inf
        self.trials = 0
        self.trial_at = -inf
        self.ramp_from = -inf

    @property
    def measured(self) -> bool:
        return self.typical > 0

    def latency(self, now: float) -> float:
        """Return the latency estimate, which decays while nothing confirms it."""
        age = (now - self.measured_at) / FORGET_S
        return self._peak * exp(-age * age) if age < 10 else 0.0

    def measure(self, seconds: float, now: float) -> None:
        """Raise the estimate at once on a slow answer, lower it over `FALL_S`."""
        if not self.measured:
            self._peak = self.typical = seconds
        elif seconds > self._peak:
            self._peak += PEAK_WEIGHT * (seconds - self._peak)
        else:
            keep = exp(-(now - self.measured_at) / FALL_S)
            self._peak = seconds + keep * (self._peak - seconds)
        self.typical += 0.1 * (seconds - self.typical)
        self.measured_at = now

    def add_to_window(self, seconds: float, now: float) -> float | None:
        """Add an answer; return the window's median when the window is complete."""
        if not self.window:
            self.window_from = now
        if len(self.window) < WINDOW_LIMIT:
            self.window.append(seconds)
        if now - self.window_from < WINDOW_S or len(self.window) < WINDOW_SAMPLES:
            return None
        middle = median(self.window)
        self.window.clear()
        return middle

    def eject(self, now: float) -> None:
        """Take the endpoint out of use, twice as long as the last time."""
        if self.ramp_from + RAMP_S + FORGIVE_S < now and not self.trials:
            self.ejection_s = 0.0
        self.ejection_s = min(
            LONGEST_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s)
        )
        self.ejected_until = now + self.ejection_s
        self.trials = TRIALS
        self.trial_at = -inf
        self.failures = 0
        self.window.clear()

    def trial_succeeded(self, seconds: float, now: float) -> None:
        """Count a good trial; the last one starts the ramp with a fresh estimate."""
        self.trials -= 1
        self.trial_at = -inf
        self._peak = self.typical = seconds
        self.measured_at = now
        if not self.trials:
            self.ramp_from = now

    def wants_trial(self, now: float) -> bool:
        if not self.trials or now < self.ejected_until:
            return False
        return now - self.trial_at >= TRIAL_TIMEOUT_S

    def admission(self, now: float) -> float:
        """Return the probability with which the endpoint is a candidate."""
        if self.trials:
            return 0.0
        return min(1.0, RAMP_START + (now - self.ramp_from) / RAMP_S)


class Balancer:
    """Chooses endpoints for reads of one group of like endpoints.

    The cost of a candidate is ``latency * (1 + (in_flight + waiting) / slots)``, plus
    a penalty for another zone until the candidate is measured. The latency estimate
    follows slow answers at once and falls slowly.

    An endpoint is ejected after 3 failures in a row, or when the median of its
    answers in half a second (at least 5) is more than 4 times the median of the other
    endpoints. Ejections last 1 s, then twice as long each time, up to 10 s. After one,
    3 trial statements are sent, one at a time; when all are good, the endpoint's
    probability of being a candidate rises from 0.1 to 1 over 3 s. A slow or failed
    trial ejects it again.

    A candidate that is the only one left is used even while ejected.
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
        self._states: dict[str, _State] = {}

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "zone", self._zone
        yield "ejected", self.ejected

    @property
    def ejected(self) -> tuple[str, ...]:
        """Names of the endpoints that are ejected or on trial."""
        return tuple(name for name, state in self._states.items() if state.trials)

    def latency_s(self, endpoint: str) -> float | None:
        """Latency estimate of an endpoint in seconds; None before the first answer."""
        state = self._states.get(endpoint)
        if state is None or not state.measured:
            return None
        return state.latency(self._clock.monotonic())

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return the candidate to use; raises `NoCandidate` when all are leaving."""
        now = self._clock.monotonic()
        staying = [each for each in candidates if not each.leaving]
        if not staying:
            raise NoCandidate("no endpoint that stays in service")
        if len(staying) == 1:
            return staying[0]
        usable = []
        for each in staying:
            state = self._state(each.name)
            if state.wants_trial(now):
                state.trial_at = now
                return each
            chance = state.admission(now)
            if chance >= 1 or self._random.random() < chance:
                usable.append(each)
        if not usable:
            usable = [e for e in staying if not self._state(e.name).trials] or staying
        if len(usable) > 2:
            usable = self._random.sample(usable, 2)
        return min(usable, key=lambda each: self._cost(each, now))

    def observe(self, endpoint: str, seconds: float, ok: bool) -> None:
        """Record an answer after `seconds`; `ok` is False for a failure.

        A failure counts as latency only when it was slower than the estimate, so that
        an endpoint that fails fast does not look attractive. A time during which this
        process was paused says nothing of the endpoint and is not recorded.
        """
        now = self._clock.monotonic()
        if self._pauses.overlaps_pause(now - seconds, now):
            return
        state = self._state(endpoint)
        usual = self._usual(endpoint)
        slow = seconds > SLOW_FACTOR * usual
        if state.trials:
            self._judge_trial(state, seconds, ok and not slow, now)
            return
        if ok or seconds > state.latency(now):
            state.measure(seconds, now)
        if not ok:
            state.failures += 1
            if state.failures >= FAILURES:
                state.eject(now)
            return
        state.failures = 0
        middle = state.add_to_window(seconds, now)
        if middle is not None and middle > SLOW_FACTOR * usual:
            state.eject(now)

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that left the group."""
        self._states.pop(endpoint, None)

    def _judge_trial(
        self, state: _State, seconds: float, good: bool, now: float
    ) -> None:
        if now < state.ejected_until:
            return  # the answer to a statement that was sent before the ejection
        if good:
            state.trial_succeeded(seconds, now)
        else:
            state.eject(now)

    def _state(self, name: str) -> _State:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _State()
        return state

    def _usual(self, endpoint: str) -> float:
        """Return the median latency of the other endpoints in use, seconds."""
        others = [
            state.typical
            for name, state in self._states.items()
            if name != endpoint and state.measured and not state.trials
        ]
        return max(median(others), SLOW_FLOOR_S) if others else inf

    def _cost(self, candidate: Candidate, now: float) -> float:
        state = self._state(candidate.name)
        latency = state.latency(now) if state.measured else FIRST_LATENCY_S
        load = (candidate.in_flight + candidate.waiting) / max(1, candidate.slots)
        cost = latency * (1 + load)
        if not state.measured and candidate.zone != self._zone:
            cost += ZONE_PENALTY_S
        return cost


class RetryBudget:
    """Token bucket that keeps retries below a part of the requests.

    Each request adds `ratio` tokens, each second `floor_per_s`, and a retry takes one.
    At most `burst` tokens are kept. So a fault that fails every request multiplies
    the load by no more than ``1 + ratio``, and a quiet client may still retry.
    """

    __slots__ = ("_at", "_burst", "_clock", "_floor_per_s", "_ratio", "_tokens")

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
        self._at = clock.monotonic()

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        self._refill()
        return self._tokens

    def count_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry; False when the budget is used up."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        grown = self._tokens + (now - self._at) * self._floor_per_s
        self._tokens = min(self._burst, grown)
        self._at = now


def backoff(attempt: int, *, base_s: float, cap_s: float, random: Random) -> float:
    """Return the delay in seconds before a retry; the first `attempt` is 0.

    The delay doubles with each attempt up to `cap_s`, and is then scaled by a random
    factor between one half and one, so that callers that failed together do not come
    back together. For example, attempt 2 with a base of 10 ms waits 20 to 40 ms.
    """
    longest = min(cap_s, base_s * 2.0 ** min(attempt, 60))
    return longest * (0.5 + random.random() / 2)
