"""Decides which connections of clients are closed when memory is short or time is over.

Each connection reports what it holds to its account. The budget compares the sum with
its limit. It has no clock: the caller passes the time.
"""

from __future__ import annotations

from collections.abc import Callable

from celeryjunction.client_limits.limits import (
    ANSWER_LIMIT_S,
    CONNECTION_BYTES,
    MESSAGE_LIMIT_S,
)

AFTER_CLOSING = 0.9
"""Part of the limit that is in use after connections were closed, so that the next byte
does not close the next one."""
SHORT = 0.6
"""Part of the limit from which on nothing that lasts is added, so that there is always
room for messages."""
MIN_AGE_S = 0.5
"""Added to each age, so that connections of the same moment are ranked by size."""
MAX_AGE_S = 60.0
"""Older ones are ranked by size alone: a few bytes of a slow client matter little."""


class Account:
    """What one connection holds, in bytes, and since when (`close` ends it)."""

    __slots__ = (
        "answer_since",
        "close",
        "input",
        "message_since",
        "output",
        "passing_since",
        "state",
    )

    def __init__(self, close: Callable[[str], None]) -> None:
        self.close = close
        """Called with the reason for which the connection is closed."""
        self.input = 0
        """Input that was not handled yet."""
        self.output = 0
        """Answers that the client has not taken yet."""
        self.state = 0
        """Values and prepared statements of the session."""
        self.passing_since = 0.0
        """Since when there is input or output without a break."""
        self.message_since: float | None = None
        """When a message was begun that has not ended yet."""
        self.answer_since: float | None = None
        """When the client began not to take an answer."""

    @property
    def passing(self) -> int:
        """Input and output, which an ordinary client holds for a short time."""
        return self.input + self.output

    @property
    def held(self) -> int:
        """The sum of what the connection holds."""
        return self.input + self.output + self.state


class MemoryBudget:
    """The accounts of all connections that hold more than an idle one.

    For example, with a limit of 2 MiB, of three connections that hold 1 MiB the one
    that has held it for the longest time is closed.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._connections = 0
        self._held = 0
        self._accounts: set[Account] = set()

    @property
    def held(self) -> int:
        """Bytes that all connections hold."""
        return self._held + self._connections * CONNECTION_BYTES

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._connections

    def add_connection(self) -> None:
        """Count a connection."""
        self._connections += 1

    def has_room(self, size: int) -> bool:
        """Whether `size` bytes may be added that are kept for long."""
        return self.held + size <= self._limit * SHORT

    def update(
        self,
        account: Account,
        now: float,
        *,
        input: int | None = None,
        output: int | None = None,
        state: int | None = None,
    ) -> None:
        """Set what a connection holds, and close connections if that is too much."""
        before, passed = account.held, account.passing
        if input is not None:
            account.input = input
        if output is not None:
            account.output = output
        if state is not None:
            account.state = state
        held = account.held
        self._held += held - before
        if not passed and account.passing:
            account.passing_since = now
        if not held:
            self._accounts.discard(account)
        elif not before:
            self._accounts.add(account)
        if self.held > self._limit:
            self._close_largest(now)

    def remove_connection(self, account: Account) -> None:
        """Forget a connection that has ended."""
        self._connections -= 1
        self._forget(account)

    def _forget(self, account: Account) -> None:
        self._held -= account.held
        account.input = account.output = account.state = 0
        account.message_since = account.answer_since = None
        self._accounts.discard(account)

    def _close_largest(self, now: float) -> None:
        """Close the connections that hold most for longest; idle sessions last."""

        def rank(account: Account) -> tuple[float, int]:
            age = min(now - account.passing_since, MAX_AGE_S) + MIN_AGE_S
            return account.passing * age, account.state

        ranked = sorted(self._accounts, key=rank)
        while ranked and self.held > self._limit * AFTER_CLOSING:
            account = ranked.pop()
            self._forget(account)
            account.close("memory")

    def close_overdue(self, now: float) -> None:
        """Close the connections whose message or answer has taken too long."""
        for account in list(self._accounts):
            message, answer = account.message_since, account.answer_since
            if message is not None and now - message > MESSAGE_LIMIT_S:
                reason = "message"
            elif answer is not None and now - answer > ANSWER_LIMIT_S:
                reason = "answer"
            else:
                continue
            self._forget(account)
            account.close(reason)
