"""Faults of the answers that endpoints give: sent twice, cut off, lost, or errors."""

from __future__ import annotations

from random import Random

PROXY_ID = b"-"


class AnswerFaults:
    """Shares of answers with a fault, drawn from a seeded source.

    `repeated` names the answers of which `repeat_share` come twice: ``all``, those to
    clients' ``statements``, those to the proxy's own ``commands``, or ``errors``. The
    second one comes after a delay within `delays_s`, in seconds.

        faults = AnswerFaults(Random(7), repeated="errors", repeat_share=0.3)
        faults.draw_delay(b"q1", is_error=True)  # 0.12, or None
    """

    __slots__ = (
        "_delays_s",
        "_random",
        "busy_share",
        "cut_share",
        "greeting_share",
        "lost_share",
        "repeat_share",
        "repeated",
        "unknown_names_fail",
    )

    def __init__(
        self,
        random: Random,
        *,
        repeated: str = "all",
        repeat_share: float = 0.0,
        delays_s: tuple[float, float] = (0.001, 0.3),
        greeting_share: float = 0.0,
        busy_share: float = 0.0,
        cut_share: float = 0.0,
        lost_share: float = 0.0,
        unknown_names_fail: bool = False,
    ) -> None:
        self._random = random
        self._delays_s = delays_s
        self.repeated = repeated
        self.repeat_share = repeat_share
        self.greeting_share = greeting_share
        """Share of greetings that come twice."""
        self.busy_share = busy_share
        """Share of clients' statements that are refused without a run."""
        self.cut_share = cut_share
        """Share of answers that end early, together with their connection."""
        self.lost_share = lost_share
        """Share of answers that never come, on a connection that stays open."""
        self.unknown_names_fail = unknown_names_fail
        """Whether DEALLOC of an unknown name is answered with NOSTMT."""

    def occurs(self, share: float) -> bool:
        """Draw whether a fault with this share occurs."""
        return share > 0 and self._random.random() < share

    def draw_delay(self, request_id: bytes, *, is_error: bool) -> float | None:
        """Draw when an answer comes again; None if it does not."""
        if not self._may_repeat(request_id, is_error):
            return None
        if not self.occurs(self.repeat_share):
            return None
        return self._random.uniform(*self._delays_s)

    def draw_greeting_delay(self) -> float | None:
        """Draw when a greeting comes again; None if it does not."""
        if not self.occurs(self.greeting_share):
            return None
        return self._random.uniform(*self._delays_s)

    def draw_cut(self, size: int) -> int:
        """Draw how many of an answer's bytes come before it is cut off."""
        return self._random.randrange(size)

    def _may_repeat(self, request_id: bytes, is_error: bool) -> bool:
        if self.repeated == "errors":
            return is_error
        if self.repeated == "all":
            return True
        return (request_id == PROXY_ID) == (self.repeated == "commands")
