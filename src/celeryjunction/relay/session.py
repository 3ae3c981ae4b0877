"""A caller's session whose transactions run here or at a home VM.

The session's state stays with the caller's VM. A statement outside a transaction can
run at any home, and so can each transaction; a lost home costs what it was running.
"""

from __future__ import annotations

from collections.abc import Iterator

from celeryjunction.errors import (
    ConnectionLost,
    ErrorKind,
    ProxyError,
    Ran,
    outcome_unknown,
    rolled_back,
)
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.routes import Route
from celeryjunction.gateway.session import StatementSession
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Read,
    Request,
    Rollback,
    Write,
)
from celeryjunction.relay.home_link import HomeLink
from celeryjunction.relay.homes import HomeSelector
from celeryjunction.relay.messages import NO_TRANSACTION, Outcome
from celeryjunction.replication.ports import Answer, TransactionState

HOME_TRIES = 2
"""Homes that are tried before this VM runs a statement itself: those of a zone."""
OUTCOME_SLACK_S = 0.1
"""Wait beyond a statement's time-out, so that the home's own answer arrives."""

_IDLE, _OPEN, _FAILED = TransactionState


class _Seat:
    """A caller's transaction at a home."""

    __slots__ = (
        "epoch",
        "link",
        "number",
        "request_id",
        "state",
        "state_sent",
        "wrote",
    )

    def __init__(self, link: HomeLink, number: int, request_id: bytes) -> None:
        self.link = link
        self.epoch = link.epoch
        """The home's connection that the transaction began on."""
        self.number = number
        self.request_id = request_id
        self.state = _OPEN
        self.state_sent = True
        """Whether the home has the session's values and prepared names."""
        self.wrote = False


class ForwardingSession:
    """Runs one caller's statements, one at a time, like `StatementSession`."""

    def __init__(self, database: str, *, gateway: Gateway, homes: HomeSelector) -> None:
        self.database = database
        self._gateway = gateway
        self._homes = homes
        self._local = StatementSession(database, gateway=gateway)
        self._seat: _Seat | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "state", self.state
        yield "home", self._seat.link.vm if self._seat else None, None

    @property
    def state(self) -> TransactionState:
        """Idle, in a transaction, or in a failed transaction."""
        return self._seat.state if self._seat is not None else self._local.state

    async def execute(self, request: Request) -> Answer:
        """Run one statement here or at a home; raises `ProxyError`."""
        seat = self._seat
        route = self._gateway.route(self.database)
        if seat is not None:
            return await self._noted(request, seat.link, self._in_seat(seat, request))
        if route is None or not self._may_leave(request, route):
            return await self._local.execute(request)
        link = await self._homes.choose(route.group)
        if link is None:
            return await self._local.execute(request)
        if isinstance(request.statement, Begin):
            return await self._begin(link, request, route)
        return await self._noted(request, link, self._single(link, request, route))

    def _may_leave(self, request: Request, route: Route) -> bool:
        """Whether a home could run the statement: it needs an endpoint."""
        if self._homes.is_home(route.group) or self._local.state is not _IDLE:
            return False
        statement = request.statement
        if isinstance(statement, Execute):
            return statement.name in self._local.kept.prepared
        return isinstance(statement, Begin | Read | Write)

    def _writes(self, request: Request) -> bool:
        statement = request.statement
        if isinstance(statement, Execute):
            prepared = self._local.kept.prepared.get(statement.name)
            return prepared is not None and prepared.writes
        return isinstance(statement, Write)

    async def _single(self, link: HomeLink, request: Request, route: Route) -> Answer:
        """Run a statement outside a transaction; a read may be sent to two homes."""
        unanswered = False
        chosen: HomeLink | None = link
        for _ in range(HOME_TRIES):
            if chosen is None:
                break
            try:
                outcome = await self._run(
                    chosen, request, route, NO_TRANSACTION, state=True
                )
            except ConnectionLost as error:
                if error.sent and self._writes(request):
                    raise outcome_unknown(error.reason) from None
                unanswered = unanswered or error.sent
                chosen = await self._homes.choose(route.group, other_than=chosen)
                continue
            if outcome.error is not ErrorKind.UNKNOWN_DATABASE:
                return self._answer(outcome)
            break  # The home has not got the route yet.
        try:
            return await self._local.execute(request)
        except ProxyError as error:
            if unanswered and error.spec.ran is Ran.NO:
                raise ProxyError(ErrorKind.READ_UNANSWERED) from None
            raise

    async def _begin(self, link: HomeLink, request: Request, route: Route) -> Answer:
        """Open a transaction at a home, or here when none takes it."""
        chosen: HomeLink | None = link
        for _ in range(HOME_TRIES):
            if chosen is None:
                break
            number = chosen.new_seat()
            try:
                outcome = await self._run(chosen, request, route, number, state=True)
            except ConnectionLost:
                chosen.end_seat(number)
                chosen = await self._homes.choose(route.group, other_than=chosen)
                continue
            if outcome.error is not None:
                chosen.end_seat(number)
                break
            self._seat = _Seat(chosen, number, request.id)
            return self._answer(outcome)
        return await self._local.execute(request)

    async def _in_seat(self, seat: _Seat, request: Request) -> Answer:
        statement = request.statement
        if isinstance(statement, Rollback):
            self._leave(seat)
            return Answer((), b"-", _IDLE, None)
        if not isinstance(statement, Begin | Commit | Read | Write | Execute) or (
            isinstance(statement, Execute)
            and statement.name not in self._local.kept.prepared
        ):
            return await self._change_state(seat, request)
        route = self._gateway.route(self.database)
        if route is None:
            raise self._lose(seat, "its route was removed")
        if seat.epoch != seat.link.epoch:
            raise self._lose(seat, "its home was lost")
        ends = isinstance(statement, Commit)
        seat.wrote = seat.wrote or self._writes(request)
        try:
            outcome = await self._run(
                seat.link, request, route, seat.number, state=not seat.state_sent
            )
        except ConnectionLost as error:
            if not ends:
                raise self._lose(seat, error.reason) from None
            self._leave(seat)
            if error.sent and seat.wrote:
                raise outcome_unknown(error.reason) from None
            raise rolled_back(error.reason) from None
        seat.state_sent = True
        seat.state = outcome.state
        if seat.state is _IDLE:
            seat.link.forget_seat(seat.number)
            self._seat = None
        return self._answer(outcome)

    async def _change_state(self, seat: _Seat, request: Request) -> Answer:
        """Change a value or a prepared name; the next statement brings it along."""
        if seat.state is _FAILED:
            raise ProxyError(ErrorKind.TRANSACTION_ABORTED)
        answer = await self._local.execute(request)
        seat.state_sent = False
        return answer._replace(state=seat.state)

    async def _run(
        self, link: HomeLink, request: Request, route: Route, seat: int, *, state: bool
    ) -> Outcome:
        elapsed_s = self._gateway.clock.monotonic() - request.arrived
        outcome = await link.run(
            request,
            database=self.database,
            seat=seat,
            state=self._local.kept if state else None,
            timeout=max(route.timeout_s - elapsed_s, 0.0) + OUTCOME_SLACK_S,
        )
        self._gateway.metrics.count("forwarded_statements", home=link.vm)
        kept = self._local.kept
        kept.position = max(kept.position, outcome.position)
        return outcome

    @staticmethod
    def _answer(outcome: Outcome) -> Answer:
        if outcome.answer is None:
            raise ProxyError(outcome.error or ErrorKind.INTERNAL, outcome.details)
        return outcome.answer

    async def _noted(self, request: Request, link: HomeLink, running) -> Answer:
        """Log what failed, with the home; the home's own line has the other inputs."""
        try:
            return await running
        except ProxyError as error:
            self._gateway.request_log.write(
                "forwarded_failed",
                id=request.id.decode("latin-1"),
                statement=type(request.statement).__name__,
                database=self.database,
                home=link.vm,
                home_usable=link.usable,
                outcome=error.kind.value,
            )
            raise

    # Ends of transactions

    def _leave(self, seat: _Seat) -> None:
        """Have the home roll back what is open."""
        seat.link.end_seat(seat.number)
        self._seat = None

    def _lose(self, seat: _Seat, reason: str) -> ProxyError:
        """Refuse the transaction's further statements; return its error."""
        self._leave(seat)
        error = rolled_back(reason)
        self._local.fail_transaction(seat.request_id, error)
        return error

    def abort(self, error: ProxyError) -> None:
        """Roll back an idle open transaction; its next statement gets `error`."""
        if self._seat is None:
            self._local.abort(error)
            return
        seat = self._seat
        self._leave(seat)
        self._local.fail_transaction(seat.request_id, error)

    async def close(self) -> None:
        """Roll back what is open."""
        if self._seat is not None:
            self._leave(self._seat)
        await self._local.close()
