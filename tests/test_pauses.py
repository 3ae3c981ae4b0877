"""Tests of service times measured across a pause of the process."""

from __future__ import annotations

from random import Random

from celeryjunction._pauses import PAUSE_THRESHOLD_S, PauseDetector
from celeryjunction.admission import EndpointAdmission, Ticket
from celeryjunction.balancer import Balancer
from celeryjunction.contract import Rank


class Clock:
    now = 0.0

    def monotonic(self) -> float:
        return self.now


class TestPauseDetector:
    def test_a_pause_is_detected_before_the_next_tick(self) -> None:
        # Answers may be handled before the first tick when a stopped process continues.
        pauses = PauseDetector()
        pauses.tick(0.0)
        assert not pauses.overlaps_pause(0.1, PAUSE_THRESHOLD_S)
        assert pauses.overlaps_pause(0.1, 15.0)

    def test_only_intervals_that_overlap_the_pause_are_reported(self) -> None:
        pauses = PauseDetector()
        for now in (0.0, 0.5, 15.0, 15.5):
            pauses.tick(now)
        assert pauses.overlaps_pause(0.4, 15.6)
        assert not pauses.overlaps_pause(15.2, 15.6)

    def test_no_pause_is_reported_without_ticks(self) -> None:
        assert not PauseDetector().overlaps_pause(0.0, 100.0)


class TestAfterAPause:
    async def test_guarantee_is_not_used_up(self) -> None:
        # Guards against slots that stay unused for seconds: charging 15 s put the rank
        # deep into debt, and made its work count as long.
        clock, pauses = Clock(), PauseDetector()
        admission = EndpointAdmission(
            slots=3, connections=9, clock=clock, pauses=pauses
        )
        ticket = Ticket(customer="c", rank=Rank.URGENT, share=0.5, deadline=60.0)
        pauses.tick(0.0)
        await admission.acquire(ticket)
        clock.now = 15.0
        admission.release_connection(ticket)
        admission.release_slot(ticket, service_s=15.0, ok=True)
        assert admission._queues[Rank.URGENT].busy.read(15.0) < 0.01
        assert admission._queues[Rank.URGENT].expected_s < 0.01

    def test_endpoints_do_not_look_slow(self) -> None:
        clock, pauses = Clock(), PauseDetector()
        balancer = Balancer(zone="z", clock=clock, random=Random(1), pauses=pauses)
        pauses.tick(0.0)
        balancer.observe("a", 0.01, ok=True)
        clock.now = 15.0
        balancer.observe("a", 15.0, ok=True)
        assert (balancer.latency_s("a") or 0.0) <= 0.01
