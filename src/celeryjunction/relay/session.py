"""A client's session whose transactions run on this VM or at a home VM.

The session's state stays on the client's VM. Each transaction, and each statement
outside one, can run at any home, so that the loss of a home only affects what was
running there.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from celeryjunction.errors import (
    ConnectionLost,
    ErrorKind,
    ProxyError,
    Ran,
    outcome_unknown_error,
    rolled_back_error,
)
from celeryjunction.gateway.gateway import Gateway
from celeryjunction.gateway.organisations import ANYONE, Caller
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

MAX_HOME_ATTEMPTS = 2
"""Homes to try before this VM runs a statement itself: all homes of a zone."""
OUTCOME_MARGIN_S = 0.1
"""Wait beyond a statement's time-out, so that the home's own error can arrive."""
RUN_LOCALLY = (
    ErrorKind.UNKNOWN_DATABASE,
    ErrorKind.NOT_RUN_OLDER_ROUTES,
    ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES,
    ErrorKind.STATEMENT_TOO_LARGE,
)
"""Errors after which this VM runs a statement itself: the home does not have the route
or its version, or cannot tell, or the answer to a read is too large for a frame."""
REFUSED_BY_HOME = (ErrorKind.NOT_RUN_ALLOTMENT, ErrorKind.NOT_RUN_MEMORY)
"""Errors of a BEGIN after which this VM does not open the transaction itself."""

_IDLE, _OPEN, _FAILED = TransactionState


class _HomeTransaction:
    """An open transaction at a home."""

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
        """`HomeLink.epoch` of the connection on which the transaction began."""
        self.number = number
        self.request_id = request_id
        self.state = _OPEN
        self.state_sent = True
        """Whether the home has the session's current values and prepared names."""
        self.wrote = False


class ForwardingSession:
    """Runs one client's statements, one at a time, locally or at a home.

    It has the interface of `StatementSession`.
    """

    def __init__(
        self,
        database: str,
        *,
        gateway: Gateway,
        homes: HomeSelector,
        caller: Caller = ANYONE,
    ) -> None:
        self.database = database
        self.caller = caller
        self._gateway = gateway
        self._homes = homes
        self._local = StatementSession(
            database, gateway=gateway, organisation=caller.organisation
        )
        self._transaction: _HomeTransaction | None = None

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "database", self.database
        yield "state", self.state
        yield "home", self._transaction.link.vm if self._transaction else None, None

    @property
    def state(self) -> TransactionState:
        """Idle, in a transaction, or in a failed transaction."""
        return (
            self._transaction.state
            if self._transaction is not None
            else self._local.state
        )

    @property
    def hold_state(self) -> Callable[[int], bool]:
        """Called with the size of the session's state; False refuses its growth."""
        return self._local.state_size.hold

    @hold_state.setter
    def hold_state(self, hold: Callable[[int], bool]) -> None:
        self._local.state_size.hold = hold

    async def execute(self, request: Request) -> Answer:
        """Run one statement locally or at a home; raises `ProxyError`."""
        transaction = self._transaction
        route = self._gateway.route(self.database)
        if transaction is not None:
            return await self._log_failure(
                request,
                transaction.link,
                self._run_in_transaction(transaction, request),
            )
        if route is None or not self._can_forward(request, route):
            return await self._local.execute(request)
        link = await self._homes.choose(route.group)
        if link is None:
            return await self._local.execute(request)
        if isinstance(request.statement, Begin):
            return await self._begin(link, request, route)
        return await self._log_failure(
            request, link, self._run_single(link, request, route)
        )

    def _can_forward(self, request: Request, route: Route) -> bool:
        """Whether a home may run the statement, which then needs an endpoint."""
        if self._homes.is_home(route.group) or self._local.state is not _IDLE:
            return False
        statement = request.statement
        if isinstance(statement, Execute):
            return statement.name in self._local.session_state.prepared
        return isinstance(statement, Begin | Read | Write)

    def _writes(self, request: Request) -> bool:
        statement = request.statement
        if isinstance(statement, Execute):
            prepared = self._local.session_state.prepared.get(statement.name)
            return prepared is not None and prepared.writes
        return isinstance(statement, Write)

    async def _run_single(
        self, link: HomeLink, request: Request, route: Route
    ) -> Answer:
        """Run a statement outside a transaction; a lost read is repeated elsewhere."""
        unanswered = False
        chosen: HomeLink | None = link
        for _ in range(MAX_HOME_ATTEMPTS):
            if chosen is None:
                break
            try:
                outcome = await self._forward(
                    chosen, request, route, NO_TRANSACTION, state=True
                )
            except ConnectionLost as error:
                if error.sent and self._writes(request):
                    raise outcome_unknown_error(error.reason) from None
                unanswered = unanswered or error.sent
                chosen = await self._homes.choose(route.group, other_than=chosen)
                continue
            if outcome.error not in RUN_LOCALLY:
                return self._answer(outcome)
            break
        try:
            return await self._local.execute(request)
        except ProxyError as error:
            if unanswered and error.spec.ran is Ran.NO:
                raise ProxyError(ErrorKind.READ_UNANSWERED) from None
            raise

    async def _begin(self, link: HomeLink, request: Request, route: Route) -> Answer:
        """Open a transaction at a home, or locally if no home opens it."""
        chosen: HomeLink | None = link
        for _ in range(MAX_HOME_ATTEMPTS):
            if chosen is None:
                break
            number = chosen.start_transaction()
            try:
                outcome = await self._forward(
                    chosen, request, route, number, state=True
                )
            except ConnectionLost:
                chosen.end_transaction(number)
                chosen = await self._homes.choose(route.group, other_than=chosen)
                continue
            except BaseException:  # The client left.
                chosen.end_transaction(number)
                raise
            if outcome.error is not None:
                chosen.end_transaction(number)
                if outcome.error in REFUSED_BY_HOME:
                    raise ProxyError(outcome.error, outcome.details)
                break
            self._transaction = _HomeTransaction(chosen, number, request.id)
            return self._answer(outcome)
        return await self._local.execute(request)

    async def _run_in_transaction(
        self, transaction: _HomeTransaction, request: Request
    ) -> Answer:
        statement = request.statement
        if isinstance(statement, Rollback):
            self._end_at_home(transaction)
            return Answer((), b"-", _IDLE, None)
        if not isinstance(statement, Begin | Commit | Read | Write | Execute) or (
            isinstance(statement, Execute)
            and statement.name not in self._local.session_state.prepared
        ):
            return await self._change_session_state(transaction, request)
        route = self._gateway.route(self.database)
        if route is None:
            raise self._fail_transaction(transaction, "its route was removed")
        if transaction.epoch != transaction.link.epoch:
            raise self._fail_transaction(transaction, "its home was lost")
        ends = isinstance(statement, Commit)
        transaction.wrote = transaction.wrote or self._writes(request)
        try:
            outcome = await self._forward(
                transaction.link,
                request,
                route,
                transaction.number,
                state=not transaction.state_sent,
            )
        except ConnectionLost as error:
            if not ends:
                raise self._fail_transaction(transaction, error.reason) from None
            self._end_at_home(transaction)
            if error.sent and transaction.wrote:
                raise outcome_unknown_error(error.reason) from None
            raise rolled_back_error(error.reason) from None
        transaction.state_sent = True
        transaction.state = outcome.state
        if transaction.state is _IDLE:
            transaction.link.mark_transaction_ended(transaction.number)
            self._transaction = None
        return self._answer(outcome)

    async def _change_session_state(
        self, transaction: _HomeTransaction, request: Request
    ) -> Answer:
        """Change a value or prepared name; the next statement sends it to the home."""
        if transaction.state is _FAILED:
            raise ProxyError(ErrorKind.TRANSACTION_ABORTED)
        answer = await self._local.execute(request)
        transaction.state_sent = False
        return answer._replace(state=transaction.state)

    async def _forward(
        self,
        link: HomeLink,
        request: Request,
        route: Route,
        transaction: int,
        *,
        state: bool,
    ) -> Outcome:
        elapsed_s = self._gateway.clock.monotonic() - request.arrived
        outcome = await link.run(
            request,
            database=self.database,
            transaction=transaction,
            state=self._local.session_state if state else None,
            timeout=max(route.timeout_s - elapsed_s, 0.0) + OUTCOME_MARGIN_S,
            organisation=self.caller.organisation,
            routes_version=self._gateway.table.version,
        )
        self._gateway.metrics.count("forwarded_statements", home=link.vm)
        session_state = self._local.session_state
        session_state.position = max(session_state.position, outcome.position)
        return outcome

    @staticmethod
    def _answer(outcome: Outcome) -> Answer:
        if outcome.answer is None:
            raise ProxyError(outcome.error or ErrorKind.INTERNAL, outcome.details)
        return outcome.answer

    async def _log_failure(
        self, request: Request, link: HomeLink, forwarding
    ) -> Answer:
        """Log a failure with its home; the home logs the other inputs itself."""
        try:
            return await forwarding
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

    # End of transactions

    def _end_at_home(self, transaction: _HomeTransaction) -> None:
        """Have the home roll the transaction back."""
        transaction.link.end_transaction(transaction.number)
        self._transaction = None

    def _fail_transaction(
        self, transaction: _HomeTransaction, reason: str
    ) -> ProxyError:
        """Mark the transaction as failed; return the error for its statement."""
        self._end_at_home(transaction)
        error = rolled_back_error(reason)
        self._local.adopt_failed_transaction(transaction.request_id, error)
        return error

    def abort(self, error: ProxyError) -> None:
        """Roll back an idle open transaction; its next statement gets `error`."""
        if self._transaction is None:
            self._local.abort(error)
            return
        transaction = self._transaction
        self._end_at_home(transaction)
        self._local.adopt_failed_transaction(transaction.request_id, error)

    async def close(self) -> None:
        """Roll back an open transaction."""
        if self._transaction is not None:
            self._end_at_home(self._transaction)
        await self._local.close()
