"""Terms of service of a statement, derived from its customer's contract."""

from __future__ import annotations

from celeryjunction.contract import Rank, ShedOrder


class Work:
    """Terms under which one statement is served.

    `started_at` is the time at which the statement reached the session. It and
    `deadline`, which is `deadline_s` later, are in monotonic seconds. `staleness_s` is
    0 for read-your-writes. With `repeatable` the statement may be sent again after a
    failure, even if it may already have run. With `replicated` a write is acknowledged
    only once a majority has received it. `minimum` is the (term, log position) of the
    session's own last write, which its reads must include whatever staleness they
    accept.
    """

    __slots__ = (
        "customer",
        "deadline",
        "deadline_s",
        "minimum",
        "rank",
        "repeatable",
        "replicated",
        "share",
        "shed_order",
        "staleness_s",
        "started_at",
    )

    def __init__(
        self,
        *,
        customer: str,
        rank: Rank,
        share: float,
        started_at: float,
        deadline_s: float,
        staleness_s: float = 0.0,
        repeatable: bool = False,
        replicated: bool = True,
        shed_order: ShedOrder | None = None,
        minimum: tuple[int, int] | None = None,
    ) -> None:
        self.customer = customer
        self.rank = rank
        self.share = share
        self.started_at = started_at
        self.deadline_s = deadline_s
        self.deadline = started_at + deadline_s
        self.staleness_s = staleness_s
        self.repeatable = repeatable
        self.replicated = replicated
        self.shed_order = shed_order
        self.minimum = minimum

    def __rich_repr__(self):
        yield "customer", self.customer
        yield "rank", self.rank
        yield "deadline", self.deadline
        yield "staleness_s", self.staleness_s
