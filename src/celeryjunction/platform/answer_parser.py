"""Assembles the lines that an endpoint sends into answers."""

from __future__ import annotations

from celeryjunction.adapters.pipelined_link import MalformedAnswer
from celeryjunction.platform.wire import (
    FAULTS_BY_CODE,
    STATES_BY_CODE,
    parse_position,
)
from celeryjunction.replication.ports import Answer, Fault, LogPosition


class AnswerParser:
    """Collects the lines of one answer after the other.

    `greeting` is the line that answered CONNECT; it may come a second time between two
    answers.

        parser = AnswerParser(greeting=b"READY I 3.1207")
        parser.feed(b"ROW qhzk")        # None
        parser.feed(b"COMPLETE 7.1f3")  # None
        parser.feed(b"READY I 3.1209")  # the Answer
    """

    __slots__ = (
        "_detail",
        "_digest",
        "_fault",
        "_greeting",
        "_has_result",
        "_position",
        "_position_text",
        "_rows",
    )

    def __init__(self, *, greeting: bytes = b"") -> None:
        self._greeting = greeting
        self._position_text = b""
        self._position: LogPosition | None = None
        self._start_answer()

    def _start_answer(self) -> None:
        self._rows: list[bytes] = []
        self._has_result = False
        self._digest, self._detail = b"", ""
        self._fault: Fault | None = None

    @property
    def is_within_answer(self) -> bool:
        """Whether the last line was not the last one of an answer."""
        return self._has_result or bool(self._rows)

    def feed(self, line: bytes) -> Answer | None:
        """Add a line; return the answer that it completes, if any.

        Raises `MalformedAnswer`.
        """
        tag, _, rest = line.partition(b" ")
        if self._has_result:
            if tag != b"READY":
                raise MalformedAnswer("an answer was cut off")
            return self._complete(rest)
        if tag == b"ROW":
            self._rows.append(rest)
        elif tag == b"COMPLETE" and rest:
            self._has_result, self._digest = True, rest
        elif tag == b"ERROR":
            code, _, text = rest.partition(b" ")
            self._has_result = True
            self._fault = FAULTS_BY_CODE.get(code, Fault.OTHER)
            self._detail = f"{code.decode('latin-1')} {text.decode('latin-1')}".strip()
        elif self._rows or line != self._greeting:
            raise MalformedAnswer("an unknown message came")
        return None

    def _complete(self, rest: bytes) -> Answer:
        code, _, position = rest.partition(b" ")
        state = STATES_BY_CODE.get(code)
        if state is None:
            raise MalformedAnswer("an answer has an unknown state")
        if position != self._position_text:
            self._position_text = position
            self._position = parse_position(position)
        rows, fault = tuple(self._rows), self._fault
        answer = Answer(rows, self._digest, state, self._position, fault, self._detail)
        self._start_answer()
        return answer
