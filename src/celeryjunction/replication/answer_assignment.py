"""Assigns the answers that come on a connection to the commands that wait for them.

Answers come in the order of the commands, but any of them may come a second time, late.
Second answers are discarded. Where the content of an answer can't show whose it is, a
marker is sent after the command: a command without effect, whose answer comes after the
command's own one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable, Iterator

from celeryjunction.errors import ConnectionLost
from celeryjunction.logs import get_logger
from celeryjunction.replication.answer_matching import AnswerMatcher, Match, is_plain
from celeryjunction.replication.ports import (
    STATUS_COMMANDS,
    Answer,
    AskStatus,
    ClearSession,
    Command,
    Fault,
    OpenTransaction,
    PrepareStatement,
    SetValue,
    Synchronize,
    TransactionState,
)

MARKERS_AFTER_ERROR = 4
"""An error that came before counts only if so many markers' answers follow it."""
MARKERS_AFTER_STATUS = 2
"""A status counts only if so many markers' answers follow it."""
STATUS_ATTEMPTS = 3
"""Attempts to get a status while second answers to earlier ones come."""
MARKER = Synchronize()
STATE_COMMANDS = frozenset((OpenTransaction, ClearSession, SetValue, PrepareStatement))
"""Commands with a marker, because statements rest on them: no refusal may be missed."""

_log = get_logger("replication")


def with_markers(commands: Iterable[Command]) -> Iterator[Command]:
    """Return the commands, each with the markers that it needs."""
    for command in commands:
        yield command
        if type(command) in STATE_COMMANDS:
            yield MARKER
        elif type(command) in STATUS_COMMANDS:
            yield from (MARKER,) * MARKERS_AFTER_STATUS


class AnswerAssigner:
    """Reads the answers to the commands of one connection to an endpoint.

    `read` returns the next answer that comes, `send` sends commands. `discarded` counts
    the answers that were not those of the command that waited, by its kind.
    """

    __slots__ = (
        "_discarded",
        "_endpoint",
        "_has_second_answers",
        "_matcher",
        "_read",
        "_send",
    )

    def __init__(
        self,
        endpoint: str,
        *,
        read: Callable[[], Awaitable[Answer]],
        send: Callable[[Iterable[Command]], None],
        discarded: Counter[str],
    ) -> None:
        self._endpoint = endpoint
        self._read = read
        self._send = send
        self._discarded = discarded
        self._matcher = AnswerMatcher()
        self._has_second_answers = False

    @property
    def state(self) -> TransactionState:
        """The transaction state that the commands answered so far have left."""
        return self._matcher.state

    @property
    def is_full(self) -> bool:
        """Whether the connection should be replaced, to bound what is remembered."""
        return self._matcher.is_full

    def discard(self, answer: Answer) -> None:
        """Discard an answer that no command waits for.

        Raises `ConnectionLost` if it isn't a second one.
        """
        if not self._matcher.may_be_discarded(answer):
            raise self.unassignable("an answer came that no command waits for")
        self._discarded["no_command_waits"] += 1
        self._has_second_answers = True

    def unassignable(self, reason: str) -> ConnectionLost:
        """Log why answers can't be assigned any more, and return the error."""
        _log.warning("answer_unassignable", endpoint=self._endpoint, reason=reason)
        return ConnectionLost(reason, sent=True)

    async def read_own(self, command: Command) -> Answer:
        """Return the command's own answer.

        The commands were sent as `with_markers` returns them. Raises `ConnectionLost`
        if the answer can't be told from others.
        """
        if type(command) in STATUS_COMMANDS:
            return await self._read_status(command)
        answer = await self._read()
        while (match := self._matcher.match(command, answer)) is Match.FOREIGN:
            if not self._matcher.may_be_discarded(answer):
                raise self.unassignable("an answer came to no known command")
            self._count_discarded(command)
            answer = await self._read()
        if match is Match.UNCERTAIN:
            answer = await self._resolve(command, answer)
        self._matcher.accept(answer)
        if type(command) in STATE_COMMANDS:
            await self._expect_marker(answer.state)
        return answer

    async def _read_status(self, command: Command) -> Answer:
        """Return the only status that comes before the markers' answers.

        Statuses can't be told from one another, so if there are two, another one is
        asked for.
        """
        for _ in range(STATUS_ATTEMPTS):
            statuses = await self._read_until_markers(command)
            if len(statuses) == 1:
                self._matcher.accept(statuses[0])
                return statuses[0]
            for answer in statuses:
                self._matcher.remember(answer)
            self._count_discarded(command)
            if all(answer.fault is None for answer in statuses):
                # The command has run, and must not run again later.
                command = AskStatus()
            self._send(with_markers([command]))
        raise self.unassignable("a status came more than once")

    async def _read_until_markers(self, command: Command) -> list[Answer]:
        """Return the statuses, or errors, that come before the last marker's answer."""
        statuses: list[Answer] = []
        markers = 0
        while markers < MARKERS_AFTER_STATUS:
            answer = await self._read()
            if statuses and _is_marker(answer):
                self._matcher.accept(answer)
                markers += 1
            elif self._is_status(command, answer):
                statuses.append(answer)
            else:
                self._count_discarded(command)
        return statuses

    def _is_status(self, command: Command, answer: Answer) -> bool:
        """Whether an answer has a status, or says why there is none."""
        if answer.fault is not None:
            return not _is_marker(answer)
        return self._matcher.match(command, answer) is Match.OWN

    async def _resolve(self, command: Command, error: Answer) -> Answer:
        """Return the command's own answer after an error that came before.

        If the markers' answers come next, the error is the command's own.
        """
        if error.state is TransactionState.FAILED:
            raise self.unassignable("an error came twice in a failed transaction")
        self._send([MARKER] * MARKERS_AFTER_ERROR)
        markers = 0
        while markers < MARKERS_AFTER_ERROR:
            answer = await self._read()
            if _is_marker(answer) and answer.state is error.state:
                self._matcher.accept(answer)
                markers += 1
            elif self._matcher.match(command, answer) is Match.OWN:
                await self._skip_markers(MARKERS_AFTER_ERROR)
                return answer
            else:
                self._count_discarded(command)
        if self._has_second_answers:
            # The error may have come again together with the answers to its markers.
            raise self.unassignable("an error came again, as other answers did")
        return error

    async def _expect_marker(self, state: TransactionState) -> None:
        """Read a marker's answer that shows the state after the command before it.

        An error may be the command's own one, if its success was a second answer.
        """
        while True:
            answer = await self._read()
            if _is_marker(answer):
                if answer.state is state:
                    self._matcher.accept(answer)
                    return
            elif answer.fault is not None:
                raise self.unassignable("a marker was answered with an error")

    async def _skip_markers(self, count: int) -> None:
        while count:
            answer = await self._read()
            if _is_marker(answer):
                count -= 1
            elif not self._matcher.may_be_discarded(answer):
                raise self.unassignable("a marker was answered with something else")

    def _count_discarded(self, command: Command) -> None:
        self._discarded[type(command).__name__] += 1
        self._has_second_answers = True


def _is_marker(answer: Answer) -> bool:
    """Whether an answer can be that to a marker, and to no command with a status."""
    if answer.fault is not None:
        return answer.fault is Fault.UNKNOWN_STATEMENT
    return is_plain(answer)
