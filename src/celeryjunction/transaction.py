"""Transactions that a client opened, each pinned to one connection.

Nothing is sent at BEGIN. The first statement opens the transaction at the primary, or,
if the transaction is declared read-only, at a replica that is proven fresh. At the
primary the statement is answered only once a read barrier is passed: a proof, valid at
or after the moment when the transaction began, that the primary was not replaced.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from celeryjunction.commit import TRANSACTION_ID_STEP, rolled_back_error
from celeryjunction.endpoints import Checkout
from celeryjunction.errors import ConnectionLost, EndpointError
from celeryjunction.ports import QueryResult, StatementShape, Step
from celeryjunction.rounds import NoProof
from celeryjunction.work import Work

if TYPE_CHECKING:
    from celeryjunction.group import Group


class Transaction:
    """An open transaction of a client.

    `begin_sql` is the client's own BEGIN, and `started_at` the monotonic time at
    which it arrived. `failed` is set after an error: only ROLLBACK (also to a
    savepoint) is allowed.
    """

    def __init__(
        self, group: Group, *, begin_sql: str, read_only: bool, started_at: float
    ) -> None:
        self._group = group
        self._begin_step = Step(begin_sql, prepare=False)
        self._read_only = read_only
        self._started_at = started_at
        self._checkout: Checkout | None = None
        self._xid = b""
        self._term = 0
        self._lock = asyncio.Lock()
        self._aborted = False
        self.failed = False

    @property
    def opened(self) -> bool:
        """Whether the transaction is open at an endpoint."""
        return self._checkout is not None

    async def execute(self, work: Work, step: Step) -> QueryResult:
        """Run a statement; any error leaves the transaction failed.

        Raises `ProxyError`, or `EndpointError` when the endpoint rejects the statement.
        """
        async with self._lock:
            try:
                if self._checkout is None:
                    return await self._open(work, step)
                return await self._run_statement(self._checkout, work, step)
            except BaseException:
                self.failed = True
                self._release_if_broken()
                raise

    async def describe(self, work: Work, step: Step) -> StatementShape | None:
        """Describe a statement on the transaction's connection.

        Returns None if the transaction has not been opened at an endpoint yet.
        """
        async with self._lock:
            if self._checkout is None:
                return None
            timeout = work.deadline - self._group.clock.monotonic()
            try:
                return await self._checkout.connection.describe(
                    step.sql, step.param_oids, timeout=timeout
                )
            except BaseException as error:
                self.failed = True
                self._release_if_broken()
                if isinstance(error, ConnectionLost):
                    reason = f"the connection broke: {error.reason}"
                    raise rolled_back_error(reason) from None
                raise

    async def commit(self, work: Work) -> str:
        """Commit and return the command tag; a failed transaction is rolled back.

        The tag is then ``ROLLBACK``. Raises the errors of `Committer.commit`.
        """
        async with self._lock:
            if self.failed:
                await self._roll_back()
                return "ROLLBACK"
            checkout = self._checkout
            if checkout is None:
                return "COMMIT"
            self._checkout = None
            try:
                return await self._commit(checkout, work)
            finally:
                checkout.release()

    async def rollback(self) -> None:
        """Roll back and release the connection."""
        async with self._lock:
            await self._roll_back()

    def abort(self) -> None:
        """Close the connection at once, which rolls the transaction back.

        A statement that is opening the transaction fails.
        """
        self.failed = self._aborted = True
        checkout, self._checkout = self._checkout, None
        if checkout is not None:
            checkout.release(ok=False, reusable=False)

    async def _commit(self, checkout: Checkout, work: Work) -> str:
        checkout.begin_statement(work)
        if self._read_only:
            # The transaction changed nothing, so a lost answer to COMMIT is harmless.
            with suppress(ConnectionLost):
                await checkout.run([Step("COMMIT")], work)
            return "COMMIT"
        committed = await self._group.committer.commit(
            checkout, work, xid=self._xid, term=self._term
        )
        self._group.record_acknowledged(work, committed)
        return committed.tag

    async def _open(self, work: Work, step: Step) -> QueryResult:
        if self._read_only:
            checkout, results = await self._group.reader.open_transaction(
                work, [self._begin_step, step]
            )
            self._keep(checkout)
            checkout.end_statement()
            return results[-1]
        checkout = await self._open_at_primary(work)
        statement = asyncio.create_task(self._run_steps(checkout, [step], work))
        try:
            await self._pass_read_barrier(work)
            (result,) = await statement
        except BaseException:
            # Cancelling a statement that is still running closes the connection.
            statement.cancel()
            await asyncio.gather(statement, return_exceptions=True)
            raise
        checkout.end_statement()
        return result

    async def _open_at_primary(self, work: Work) -> Checkout:
        """Begin the transaction at the primary and return its connection.

        This is retried, which is safe because no statement of the client has been sent.
        """
        attempt = 0
        while True:
            proof, checkout = await self._group.check_out_primary(work)
            try:
                _, xid = await checkout.run(
                    [self._begin_step, TRANSACTION_ID_STEP], work
                )
            except (ConnectionLost, EndpointError) as error:
                await checkout.roll_back()
                checkout.release(ok=False)
                if not self._group.suspect_if_endpoint_fault(error):
                    raise
                attempt += 1
                await self._group.back_off(work, attempt)
                continue
            except BaseException:
                checkout.release(ok=False, reusable=False)
                raise
            self._keep(checkout)
            self._term = proof.term
            self._xid = xid.rows[0][0] or b""
            return checkout

    def _keep(self, checkout: Checkout) -> None:
        """Keep the connection on which the transaction was opened.

        Raises `ProxyError` and closes the connection if it was aborted meanwhile.
        """
        if self._aborted:
            checkout.release(ok=False, reusable=False)
            raise rolled_back_error("it was aborted while it was being opened")
        self._checkout = checkout

    async def _pass_read_barrier(self, work: Work) -> None:
        """Wait for proof that the term was current when the transaction began.

        Raises `ProxyError` and suspects the primary if another term is proven, or if
        nothing is proven by the deadline.
        """
        try:
            proof = await self._group.monitor.prove(
                since=self._started_at, deadline=work.deadline
            )
        except NoProof:
            proof = None
        if proof is None or proof.term != self._term:
            self._group.monitor.suspect()
            raise rolled_back_error("the primary was not proven current")

    async def _run_statement(
        self, checkout: Checkout, work: Work, step: Step
    ) -> QueryResult:
        checkout.begin_statement(work)
        (result,) = await self._run_steps(checkout, [step], work)
        checkout.end_statement()
        return result

    async def _run_steps(
        self, checkout: Checkout, steps: list[Step], work: Work
    ) -> list[QueryResult]:
        """Run steps; errors that the primary caused make it suspected.

        A lost connection is raised as `ProxyError` with `NOT_RUN_ROLLED_BACK`.
        """
        try:
            return await checkout.run(steps, work)
        except EndpointError as error:
            checkout.end_statement()
            if not self._read_only:
                self._group.suspect_if_endpoint_fault(error)
            raise
        except ConnectionLost as error:
            # COMMIT has not been sent, so the endpoint rolls the transaction back.
            if not self._read_only:
                self._group.monitor.suspect()
            raise rolled_back_error(f"the connection broke: {error.reason}") from None

    def _release_if_broken(self) -> None:
        """End the statement; release the connection if it is unusable."""
        checkout = self._checkout
        if checkout is None:
            return
        checkout.end_statement()
        if not checkout.connection.usable:
            self._checkout = None
            checkout.release(ok=False, reusable=False)

    async def _roll_back(self) -> None:
        checkout, self._checkout = self._checkout, None
        if checkout is None:
            return
        try:
            await checkout.roll_back()
        finally:
            checkout.release()
