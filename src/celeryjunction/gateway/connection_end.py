"""When a client's connection ends: with its key, or in a drain, between operations.

In a drain a busy client rarely pauses between an answer and its next statement, so its
connection ends right after an answer instead of when it is found idle.
"""

from __future__ import annotations

from typing import Protocol

from celeryjunction.errors import ProxyError
from celeryjunction.replication.ports import TransactionState


class EndingSession(Protocol):
    """A client's session, as far as the end of its connection needs it."""

    @property
    def state(self) -> TransactionState:
        """Whether a transaction is open."""
        ...

    def abort(self, error: ProxyError) -> None:
        """Roll back an open transaction."""
        ...


class ConnectionEnd:
    """Decides whether a connection goes on after an answer."""

    __slots__ = ("_is_draining", "_refusal", "is_revoked")

    def __init__(self) -> None:
        self.is_revoked = False
        """Whether the connection ends now, after the answer to a running statement."""
        self._is_draining = False
        self._refusal: ProxyError | None = None

    def drain(self, refusal: ProxyError | None) -> None:
        """End the connection between transactions; a `refusal` ends these as well."""
        self._is_draining = True
        self._refusal = refusal

    def check(self, session: EndingSession) -> None:
        """Raise the refusal if the session would begin an operation."""
        if self._refusal is not None and session.state is TransactionState.IDLE:
            raise self._refusal

    def is_due(self, session: EndingSession, *, has_input: bool) -> bool:
        """Whether the connection ends after an answer.

        A statement that was read (`has_input`) is answered first.
        """
        if self.is_revoked or not self._is_draining:
            return self.is_revoked
        is_open = session.state is TransactionState.OPEN
        if is_open and self._refusal is not None and not has_input:
            session.abort(self._refusal)
        return session.state is TransactionState.IDLE and not has_input
