"""Divides the bound on a change of the routes between the steps of noticing it.

A change must be in force at each VM within a bound after its ack. The watch brings it
at once, unless its answer is lost, which looks like a watch without changes. Therefore
a VM also reads the changes when its routes were not confirmed for `max_age_s`, and
sends further reads beside those that are not answered. The sum of the steps stays
within the bound if `LOST_ANSWERS` reads are lost one after the other and the next one
goes over a busy link.

    budget = TimeBudget(5.0)
    budget.max_age_s, budget.retry_s, budget.call_s  # 1.5, 0.5, 2.0
    budget.latest_s(forwards=False)  # 4.5
"""

from __future__ import annotations

LOST_ANSWERS = 2
"""Reads that may be lost in a row."""
MAX_AGE_PART = 0.3
RETRY_PART = 0.1
CALL_PART = 0.4
"""Part of the bound for one call. With a bound of 5 s, that is a round trip to connect
and one for the request over a link on which packets wait for 0.5 s."""
REPORT_S = 0.25
"""Time until a VM learns that the store has answered a home, which it asks every
0.2 s."""


LEAST_BOUND_S = 1.0
"""A shorter bound is not kept: the reads would take up the store."""


class TimeBudget:
    """The steps of noticing a change within `bound_s`, in seconds."""

    __slots__ = ("bound_s",)

    def __init__(self, bound_s: float) -> None:
        self.bound_s = max(bound_s, LEAST_BOUND_S)

    @property
    def max_age_s(self) -> float:
        """Age of the last confirmation at which a VM reads the changes."""
        return MAX_AGE_PART * self.bound_s

    @property
    def retry_s(self) -> float:
        """Time after which another read is sent beside one without an answer."""
        return RETRY_PART * self.bound_s

    @property
    def call_s(self) -> float:
        """Longest time of a call that is answered."""
        return CALL_PART * self.bound_s

    @property
    def attempts(self) -> int:
        """Reads at the same time; more would only share the link with one another."""
        return LOST_ANSWERS + 1

    @property
    def timeout_s(self) -> float:
        """Time until a read without any answer makes room for another one."""
        return self.call_s + self.retry_s

    def limit_s(self, *, forwards: bool) -> float:
        """Return the age at which a VM reads the changes.

        A VM that forwards its statements learns of its homes' confirmations later.
        """
        return self.max_age_s + (REPORT_S if forwards else 0.0)

    def latest_s(self, *, forwards: bool) -> float:
        """Return the time after which a change is in force at the latest."""
        lost_s = LOST_ANSWERS * self.retry_s
        return self.limit_s(forwards=forwards) + lost_s + self.call_s
