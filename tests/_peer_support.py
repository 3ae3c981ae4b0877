"""A home proxy with a fake group, reached over an in-memory stream that can fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from _store_support import FakeTime

from celeryjunction.contract import Rank
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.links import PeerLink
from celeryjunction.liveness import Liveness
from celeryjunction.marks import CustomerMarks
from celeryjunction.peers import Envelope, Identity, PeerLost, open_envelope
from celeryjunction.ports import QueryResult, StatementShape, Step
from celeryjunction.serving import PeerServer
from celeryjunction.work import Work

STEP = Step("SELECT $1", (b"1", None), (0, 1), (25, 0))
ROWS = QueryResult("SELECT 1", None, [(b"1", None)])
DEADLINE_S = 60.0


def make_work(time: FakeTime, **changes: object) -> Work:
    terms = {"customer": "coop", "rank": Rank.URGENT, "share": 0.5}
    terms |= {"started_at": time.now, "deadline_s": DEADLINE_S}
    return Work(**(terms | changes))


class FakeTransaction:
    def __init__(self, group: FakeGroup) -> None:
        self.group = group
        self.failed = self.opened = False
        self.ended = ""

    async def execute(self, work: Work, step: Step) -> QueryResult:
        try:
            result = await self.group.run("execute", work, step)
        except BaseException:
            self.failed = True
            raise
        self.opened = True
        return result

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        return StatementShape((25,), None)

    async def commit(self, work: Work) -> str:
        await self.group.run("commit", work, STEP)
        self.ended = "commit"
        return "COMMIT"

    async def rollback(self) -> None:
        self.ended = "rollback"

    def abort(self) -> None:
        self.failed = True
        self.ended = "abort"


class FakeGroup:
    """Implements `ServedGroup`; `before_run` is awaited before a run takes effect."""

    database = "db1"

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.cancelled = 0
        self.transactions: list[FakeTransaction] = []
        self.marks = CustomerMarks()
        self.lost_write_term: int | None = None
        self.error: Exception | None = None
        self.before_run: Callable | None = None

    async def run(self, kind: str, work: Work, step: Step) -> QueryResult:
        assert step == STEP and work.customer == "coop"
        try:
            if self.before_run is not None:
                await self.before_run()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.error is not None:
            raise self.error
        self.runs.append(kind)
        return ROWS

    async def read(self, work: Work, step: Step) -> QueryResult:
        return await self.run("read", work, step)

    async def write(self, work: Work, step: Step) -> QueryResult:
        result = await self.run("write", work, step)
        self.merge_mark(work.customer, (1, len(self.runs)))
        return result

    async def describe(self, work: Work, step: Step) -> StatementShape:
        return StatementShape((25,), None)

    def begin(self, **terms: object) -> FakeTransaction:
        self.transactions.append(FakeTransaction(self))
        return self.transactions[-1]

    def mark(self, customer: str) -> tuple[int, int] | None:
        return self.marks.mark(customer)

    def merge_mark(self, customer: str, mark: tuple[int, int] | None) -> None:
        self.marks.merge(customer, mark)

    def lost_term(self, customer: str) -> int | None:
        return self.lost_write_term


class FakeStream:
    """One end of an in-memory stream; messages are encoded as on the network.

    Sending a message of a type in `drop` loses it and closes the connection.
    """

    backlog = 0

    def __init__(self, vm: str, own_vm: str) -> None:
        self.vm, self.incarnation = vm, 1
        self.identity = Identity(own_vm, 1)
        self.inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.peer_end: FakeStream | None = None
        self.closed = False
        self.drop: tuple[type, ...] = ()

    def send(self, message: object) -> None:
        if self.closed:
            raise PeerLost("closed")
        if isinstance(message, self.drop):
            self.close()
        else:
            self.peer_end.inbox.put_nowait(self.identity.seal(message))

    async def flush(self) -> None:
        pass

    async def receive(self) -> object:
        data = await self.inbox.get()
        if data is None:
            raise PeerLost("the connection broke")
        envelope: Envelope = open_envelope(data)
        return envelope.body

    def close(self) -> None:
        for end in (self, self.peer_end):
            if not end.closed:
                end.closed = True
                end.inbox.put_nowait(None)


class FakeHome:
    """A home proxy `vm` with a fake group, and an entry proxy's link to it."""

    def __init__(self, time: FakeTime, vm: str = "home") -> None:
        self.vm, self.reachable = vm, True
        self.group = FakeGroup()
        self.server = PeerServer(
            group=lambda name: self.group if name == "db1" else None,
            liveness=Liveness(clock=time, random=Random(1)),
            clock=time,
        )
        self.entry_stream: FakeStream | None = None
        self.streams: list[FakeStream] = []
        self.tasks: list[asyncio.Task] = []
        self.drop_requests: tuple[type, ...] = ()
        self.drop_answers: tuple[type, ...] = ()
        self.liveness = Liveness(clock=time, random=Random(1))
        self.link = PeerLink(
            vm, dial=self.dial, liveness=self.liveness, clock=time, random=Random(1)
        )

    async def dial(self) -> FakeStream:
        if not self.reachable:
            raise PeerLost("refused")
        self.entry_stream, home_stream = (
            FakeStream(self.vm, "entry"),
            FakeStream("entry", self.vm),
        )
        self.entry_stream.peer_end, home_stream.peer_end = (
            home_stream,
            self.entry_stream,
        )
        self.entry_stream.drop, home_stream.drop = self.drop_requests, self.drop_answers
        self.tasks.append(asyncio.create_task(self.server.serve(home_stream)))
        return self.entry_stream

    async def close(self) -> None:
        self.link.close()
        await asyncio.gather(*self.tasks)


def shed_error() -> ProxyError:
    details = {"order": "o1", "signed_by": "director", "reason": "flood"}
    return ProxyError(ErrorKind.NOT_RUN_SHED, details)
