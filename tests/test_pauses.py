"""Tests of times measured across a pause of the process."""

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
    def test_a_pause_is_known_before_the_next_beat(self) -> None:
        # Answers may be handled first when a stopped process goes on.
        pauses = PauseDetector()
        pauses.tick(0.0)
        assert not pauses.overlaps_pause(0.1, PAUSE_THRESHOLD_S)
        assert pauses.overlaps_pause(0.1, 15.0)

    def test_only_what_was_open_during_the_pause_is_touched(self) -> None:
        pauses = PauseDetector()
        for now in (0.0, 0.5, 15.0, 15.5):
            pauses.tick(now)
        assert pauses.overlaps_pause(0.4, 15.6)
        assert not pauses.overlaps_pause(15.2, 15.6)

    def test_nothing_is_touched_without_beats(self) -> None:
        assert not PauseDetector().overlaps_pause(0.0, 100.0)


class TestAfterAPause:
    async def test_guarantee_is_not_used_up(self) -> None:
        # A statement charged 15 s put its rank so far into debt, and made its work
        # count as long, that slots stayed unused for seconds.
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
