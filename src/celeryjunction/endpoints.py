"""One endpoint as seen by the router: admission, pool and checked-out connections."""

from __future__ import annotations

from collections.abc import Sequence

from celeryjunction._pauses import PauseDetector
from celeryjunction.admission import EndpointAdmission, Ticket
from celeryjunction.errors import (
    ConnectionLost,
    EndpointError,
    ErrorKind,
    ProxyError,
)
from celeryjunction.pool import EndpointPool
from celeryjunction.ports import (
    Clock,
    EndpointConnection,
    EndpointConnector,
    EndpointRecord,
    QueryResult,
    Step,
)
from celeryjunction.work import Work

ROLLBACK_STEP = Step("ROLLBACK")
ROLLBACK_TIMEOUT_S = 1.0


def deadline_error(work: Work) -> ProxyError:
    """Return the error for work whose deadline passed before it was sent."""
    return ProxyError(ErrorKind.NOT_RUN_DEADLINE, {"deadline_s": work.deadline_s})


class EndpointHandle:
    """Admission control and connection pool of one endpoint."""

    __slots__ = ("admission", "clock", "pool", "record")

    def __init__(
        self,
        record: EndpointRecord,
        database: str,
        *,
        connections: int,
        connector: EndpointConnector,
        clock: Clock,
        pauses: PauseDetector | None = None,
    ) -> None:
        self.record = record
        self.clock = clock
        self.admission = EndpointAdmission(
            slots=record.slots, connections=connections, clock=clock, pauses=pauses
        )
        self.pool = EndpointPool(record, database, connector=connector, clock=clock)

    @property
    def name(self) -> str:
        """Name of the endpoint."""
        return self.record.name

    async def check_out(self, work: Work) -> Checkout:
        """Wait for a slot and a connection.

        Raises `ProxyError` if the work is refused or its deadline passes, and
        `ConnectionLost` or `EndpointError` if no connection can be opened. In all these
        cases the statement was not sent.
        """
        ticket = Ticket(
            customer=work.customer,
            rank=work.rank,
            share=work.share,
            deadline=work.deadline,
            shed_order=work.shed_order,
        )
        await self.admission.acquire(ticket)
        try:
            timeout = work.deadline - self.clock.monotonic()
            if timeout <= 0:
                raise deadline_error(work)
            connection = await self.pool.acquire(timeout=timeout)
        except BaseException:
            self.admission.release_connection(ticket)
            self.admission.release_slot(ticket, service_s=0.0, ok=False)
            raise
        return Checkout(self, ticket, connection)


class Checkout:
    """A connection in use, and the slot of the statement that runs on it."""

    __slots__ = (
        "_handle",
        "_released",
        "_running",
        "_started_at",
        "_ticket",
        "connection",
    )

    def __init__(
        self, handle: EndpointHandle, ticket: Ticket, connection: EndpointConnection
    ) -> None:
        self._handle = handle
        self._ticket = ticket
        self._started_at = handle.clock.monotonic()
        self._running = True
        self._released = False
        self.connection = connection

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self._handle.name

    @property
    def statement_ended(self) -> bool:
        """Whether the current statement has ended."""
        return not self._running

    @property
    def handle(self) -> EndpointHandle:
        """The endpoint's handle."""
        return self._handle

    async def run(self, steps: Sequence[Step], work: Work) -> list[QueryResult]:
        """Run a pipeline within the time left until the work's deadline."""
        timeout = work.deadline - self._handle.clock.monotonic()
        if timeout <= 0:
            raise ConnectionLost("the deadline passed", sent=False)
        return await self.connection.run(steps, timeout=timeout)

    def begin_statement(self, work: Work) -> None:
        """End the current statement and take a slot for the transaction's next one."""
        self.end_statement()
        self._ticket.deadline = work.deadline
        self._handle.admission.acquire_slot(self._ticket)
        self._started_at = self._handle.clock.monotonic()
        self._running = True

    def end_statement(self, *, ok: bool = True) -> float:
        """Free the slot and return the seconds since the statement started."""
        elapsed_s = self._handle.clock.monotonic() - self._started_at
        if self._running:
            self._running = False
            self._handle.admission.release_slot(
                self._ticket, service_s=elapsed_s, ok=ok
            )
        return elapsed_s

    async def roll_back(self) -> None:
        """Roll back an open or failed transaction; close the connection on failure."""
        connection = self.connection
        if not (connection.usable and connection.in_transaction):
            return
        try:
            await connection.run([ROLLBACK_STEP], timeout=ROLLBACK_TIMEOUT_S)
        except (ConnectionLost, EndpointError):
            connection.close()

    def release(self, *, ok: bool = True, reusable: bool = True) -> float:
        """Release connection and slot; return the seconds since the statement started.

        A connection that is not `reusable`, or whose state is uncertain, is closed.
        """
        # The connection is released first, so that the next waiter finds both free.
        if not self._released:
            self._released = True
            if not reusable:
                self.connection.close()
            self._handle.pool.release(self.connection)
            self._handle.admission.release_connection(self._ticket)
        return self.end_statement(ok=ok)
