"""Decides whether an answer that came on a connection belongs to a command.

An endpoint may answer a command twice, the second time late, and no answer names its
command. What an answer contains shows whether it can be the command's own:

- The success of a client's statement has a digest that no other run has, so one that
  came before on the connection answers an earlier statement.
- Other successes have the digest ``-``. They differ in whether they contain a status
  row and in the transaction's state.
- An error may repeat an earlier one exactly. `Match.UNCERTAIN` then asks the caller for
  a marker: a command whose answer follows the statement's own one.
"""

from __future__ import annotations

from enum import Enum
from functools import singledispatch

from celeryjunction.replication.ports import (
    Answer,
    AskStatus,
    Command,
    Demote,
    Fault,
    OpenTransaction,
    PauseReceiving,
    Relay,
    RelayPrepared,
    ResumeReceiving,
    RollBack,
    TransactionState,
)

NO_DIGEST = b"-"
"""Digest of successes that no statement of a client produced."""
MAX_REMEMBERED_ANSWERS = 2000
"""A connection that has given more answers that may come again is replaced."""


class Match(Enum):
    """Whether an answer belongs to the command that waits for one."""

    OWN = "own"
    FOREIGN = "foreign"
    """It answers an earlier command; the command's own answer is still to come."""
    UNCERTAIN = "uncertain"
    """It may be this command's error, or an earlier command's."""


class AnswerMatcher:
    """Remembers the answers of one connection that may come a second time.

    `state` is the transaction state that the commands answered so far have left.
    """

    __slots__ = ("_remembered", "state")

    def __init__(self) -> None:
        self._remembered: set[int] = set()
        self.state = TransactionState.IDLE

    @property
    def is_full(self) -> bool:
        """Whether the connection should be replaced, to bound what is remembered."""
        return len(self._remembered) >= MAX_REMEMBERED_ANSWERS

    def match(self, command: Command, answer: Answer) -> Match:
        """Return whether `answer` is the one to `command`, the oldest unanswered."""
        if answer.fault is None:
            return Match.OWN if _fits(command, answer, self) else Match.FOREIGN
        if answer.state is TransactionState.OPEN and self.state is not answer.state:
            return Match.FOREIGN  # An error opens no transaction.
        if answer.fault is Fault.UNKNOWN_STATEMENT:
            # Markers may be answered with this, too.
            may_be_own = isinstance(command, RelayPrepared)
            return Match.UNCERTAIN if may_be_own else Match.FOREIGN
        is_repeated = _error_key(answer) in self._remembered
        return Match.UNCERTAIN if is_repeated else Match.OWN

    def remembers(self, digest: bytes) -> bool:
        """Whether a statement's success with this digest came before."""
        return hash(digest) in self._remembered

    def accept(self, answer: Answer) -> None:
        """Take an answer as the command's own."""
        self.state = answer.state
        self.remember(answer)

    def remember(self, answer: Answer) -> None:
        """Remember an answer to a command of this connection, which may come again."""
        if answer.fault is not None:
            self._remembered.add(_error_key(answer))
        elif answer.digest != NO_DIGEST:
            self._remembered.add(hash(answer.digest))

    def may_be_discarded(self, answer: Answer) -> bool:
        """Whether an answer that no command waits for can only be a second one."""
        if answer.fault is Fault.UNKNOWN_STATEMENT:
            return True
        if answer.fault is not None:
            return _error_key(answer) in self._remembered
        return answer.digest == NO_DIGEST or self.remembers(answer.digest)


@singledispatch
def _fits(command: Command, answer: Answer, matcher: AnswerMatcher) -> bool:
    """Whether a success can be that of a command."""
    return is_plain(answer) and answer.state is matcher.state


@_fits.register(Relay)
@_fits.register(RelayPrepared)
def _(command: Command, answer: Answer, matcher: AnswerMatcher) -> bool:
    return answer.digest != NO_DIGEST and not matcher.remembers(answer.digest)


@_fits.register(AskStatus)
@_fits.register(PauseReceiving)
@_fits.register(ResumeReceiving)
@_fits.register(Demote)
def _(command: Command, answer: Answer, matcher: AnswerMatcher) -> bool:
    return answer.digest == NO_DIGEST and len(answer.rows) == 1


@_fits.register
def _(command: OpenTransaction, answer: Answer, matcher: AnswerMatcher) -> bool:
    return is_plain(answer) and answer.state is TransactionState.OPEN


@_fits.register
def _(command: RollBack, answer: Answer, matcher: AnswerMatcher) -> bool:
    return is_plain(answer) and answer.state is TransactionState.IDLE


def is_plain(answer: Answer) -> bool:
    """Whether an answer reports a success and nothing else."""
    return answer.digest == NO_DIGEST and not answer.rows


def _error_key(answer: Answer) -> int:
    return hash((answer.detail, answer.state, answer.position))
