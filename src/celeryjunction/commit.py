"""Commits: how their outcome is determined and when they may be acknowledged.

A commit is acknowledged only with a proof, obtained after it took effect, that its
primary had not been replaced. If the answer to COMMIT is lost, the transaction's status
is queried by its id, at the same endpoint and in the same term.
"""

from __future__ import annotations

import asyncio

from celeryjunction.endpoints import Checkout
from celeryjunction.errors import (
    ConnectionLost,
    EndpointError,
    ErrorKind,
    ProxyError,
)
from celeryjunction.logs import get_logger
from celeryjunction.ports import (
    Clock,
    EndpointRecord,
    EndpointStatus,
    QueryResult,
    Step,
)
from celeryjunction.rounds import STATUS_STEP, GroupMonitor, NoProof, decode_status
from celeryjunction.work import Work

COMMIT_STEP = Step("COMMIT")
TRANSACTION_ID_STEP = Step("SELECT pg_current_xact_id()")

CLOSING_STATES = frozenset({"57P01", "57P02", "57P03", "08006", "08003"})
"""SQLSTATEs of an endpoint that shuts down. They do not tell whether the commit took
effect, so the transaction's status is queried."""
STATUS_RETRY_S = 0.02
"""Pause between two queries for a transaction's status."""
STATUS_TIMEOUT_S = 1.0
"""Time limit of the connection attempt and of the query for the status, each."""
MIN_CONFIRM_S = 0.2
"""Least time to wait for the proof of a commit, even past the deadline: a commit that
was resolved after the deadline still gets its true answer."""
MIN_RESOLVE_S = 2.0
"""Least time to determine the outcome of a COMMIT whose answer was lost, even past the
deadline: a late definite answer is worth more to the client than "outcome unknown"."""

_log = get_logger("commit")


def outcome_unknown_error(reason: str) -> ProxyError:
    """Return the error for a write that may or may not have taken effect."""
    return ProxyError(ErrorKind.OUTCOME_UNKNOWN, {"reason": reason})


def rolled_back_error(reason: str) -> ProxyError:
    """Return the error for a transaction that is proven rolled back."""
    return ProxyError(ErrorKind.NOT_RUN_ROLLED_BACK, {"reason": reason})


class Committed:
    """A commit that took effect at an endpoint.

    Its entry is at or before log position `position` of `term`. `tag` is the command
    tag that the client gets.
    """

    __slots__ = ("endpoint", "position", "tag", "term")

    def __init__(self, *, endpoint: str, term: int, position: int, tag: str) -> None:
        self.endpoint = endpoint
        self.term = term
        self.position = position
        self.tag = tag

    def __rich_repr__(self):
        yield "endpoint", self.endpoint
        yield "term", self.term
        yield "position", self.position


class Committer:
    """Commits transactions of one group."""

    __slots__ = ("_clock", "_monitor")

    def __init__(self, monitor: GroupMonitor, *, clock: Clock) -> None:
        self._monitor = monitor
        self._clock = clock

    async def commit(
        self, checkout: Checkout, work: Work, *, xid: bytes, term: int
    ) -> Committed:
        """Commit the open transaction and prove that it may be acknowledged.

        `xid` is the transaction's id and `term` the term in which it began. The
        connection is released before the wait for the proof.

        A cancelled caller does not stop the commit: once COMMIT may have been sent,
        "cancelled, did not run" could be wrong. The cancellation is dropped and the
        actual outcome returned or raised.

        Raises `EndpointError` if the endpoint refused the commit, and `ProxyError` with
        `NOT_RUN_ROLLED_BACK` if the transaction is proven rolled back or
        `OUTCOME_UNKNOWN` if no outcome is proven.
        """
        commit = self._commit(checkout, work, xid=xid, term=term)
        task = asyncio.get_running_loop().create_task(commit)
        while True:
            try:
                return await asyncio.shield(task)
            except asyncio.CancelledError:
                if task.cancelled():
                    raise

    async def _commit(
        self, checkout: Checkout, work: Work, *, xid: bytes, term: int
    ) -> Committed:
        committed = await self._send_commit(checkout, work, xid=xid, term=term)
        checkout.release()
        await self.confirm(committed, work)
        return committed

    async def confirm(self, committed: Committed, work: Work) -> None:
        """Wait for the proof that the commit may be acknowledged.

        Raises `ProxyError` with `OUTCOME_UNKNOWN` if there is none by the deadline, or
        within `MIN_CONFIRM_S` if that is later.
        """
        now = self._clock.monotonic()
        try:
            proven = await self._monitor.confirm(
                term=committed.term,
                position=committed.position,
                since=now,
                replicated=work.replicated,
                deadline=max(work.deadline, now + MIN_CONFIRM_S),
            )
        except NoProof:
            proven = False
        if not proven:
            self._monitor.suspect()
            _log.warning(
                "commit_unproven",
                database=self._monitor.database,
                endpoint=committed.endpoint,
                term=committed.term,
                position=committed.position,
            )
            raise outcome_unknown_error(
                "the commit reached an endpoint that was not proven to be the primary"
            )

    async def _send_commit(
        self, checkout: Checkout, work: Work, *, xid: bytes, term: int
    ) -> Committed:
        try:
            result, status = await checkout.run([COMMIT_STEP, STATUS_STEP], work)
        except EndpointError as error:
            if error.sqlstate == "25006":
                self._monitor.suspect()
                raise rolled_back_error(
                    "the endpoint stopped being the primary"
                ) from None
            if error.step == 0 and error.sqlstate not in CLOSING_STATES:
                raise
            self._monitor.suspect()
            return await self._resolve_outcome(checkout, work, xid=xid, term=term)
        except ConnectionLost as error:
            if not error.sent:
                raise rolled_back_error(
                    "the connection broke before the commit"
                ) from None
            self._monitor.suspect()
            return await self._resolve_outcome(checkout, work, xid=xid, term=term)
        if result.tag != "COMMIT":
            raise rolled_back_error("the endpoint answered the commit with a rollback")
        return self._committed(checkout.endpoint, status, term, result.tag)

    def _committed(
        self, endpoint: str, result: QueryResult, term: int, tag: str
    ) -> Committed:
        status = decode_status(result)
        # In a later term of the same endpoint the position does not show whether a
        # majority received this commit or an older entry at the same position.
        if not status.is_primary or status.term != term:
            raise outcome_unknown_error(
                "the endpoint stopped being the primary during the commit"
            )
        return Committed(
            endpoint=endpoint, term=status.term, position=status.applied, tag=tag
        )

    async def _resolve_outcome(
        self, checkout: Checkout, work: Work, *, xid: bytes, term: int
    ) -> Committed:
        """Determine the outcome of a commit whose answer was lost.

        Raises `ProxyError` unless the transaction is found committed.
        """
        record = checkout.handle.record
        checkout.release(ok=False, reusable=False)
        until = max(work.deadline, self._clock.monotonic() + MIN_RESOLVE_S)
        while self._clock.monotonic() < until:
            outcome, status = await self._transaction_status(record, xid)
            if status is not None and (status.term != term or not status.is_primary):
                raise outcome_unknown_error(
                    "the primary was replaced during the commit"
                )
            if outcome == b"committed" and status is not None:
                _log.info("commit_resolved", endpoint=record.name, outcome="committed")
                return Committed(
                    endpoint=record.name,
                    term=term,
                    position=status.applied,
                    tag="COMMIT",
                )
            if outcome == b"aborted":
                raise rolled_back_error("the connection broke during the commit")
            if outcome == b"unknown":
                raise outcome_unknown_error(
                    "the endpoint no longer knows the transaction"
                )
            proof = self._monitor.proof
            if proof is not None and proof.term > term:
                raise outcome_unknown_error(
                    "the primary was replaced during the commit"
                )
            await asyncio.sleep(STATUS_RETRY_S)
        raise outcome_unknown_error(
            "the endpoint did not answer after the commit was sent"
        )

    async def _transaction_status(
        self, record: EndpointRecord, xid: bytes
    ) -> tuple[bytes | None, EndpointStatus | None]:
        """Query a transaction's outcome and the endpoint's status.

        Both are None if the endpoint does not answer. The status follows the outcome in
        one pipeline, so a status of the same term is valid for the outcome too.
        """
        outcome_step = Step("SELECT pg_xact_status($1)", (xid,), (0,))
        connection = None
        try:
            connection = await self._monitor.connector.connect(
                record, self._monitor.database, timeout=STATUS_TIMEOUT_S
            )
            outcome, status = await connection.run(
                [outcome_step, STATUS_STEP], timeout=STATUS_TIMEOUT_S
            )
        except (ConnectionLost, EndpointError):
            return None, None
        finally:
            if connection is not None:
                connection.close()
        return outcome.rows[0][0] or b"unknown", decode_status(status)
