"""Structured logging through logbook: one line of key=value pairs for each event.

For example ``logger.info("endpoint_left", endpoint="e1", waited_s=0.25)`` writes
``time=2030-01-31T08:00:00.000Z level=info logger=pool event=endpoint_left
endpoint=e1 waited_s=0.25``. Values with any but a few safe characters are written as
JSON strings in ASCII, so that no value can end a line or add a pair.
"""

from __future__ import annotations

import json
import logging
import re
import sys
from collections.abc import Mapping
from datetime import UTC, datetime
from enum import Enum
from functools import singledispatch
from typing import Any, TextIO

import logbook
from logbook.compat import RedirectLoggingHandler

from celeryjunction.ports import Clock, SystemClock

LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}
REDACTED_FIELDS = frozenset(
    {"password", "verifier", "key", "keys", "secret", "params", "sql"}
)
"""Fields whose values no logger ever writes."""

_REDACTED = "<redacted>"
_RESERVED_FIELDS = frozenset({"time", "level", "logger", "event"})
_UNQUOTED_VALUE = re.compile(r"[A-Za-z0-9_.:/@+,%<>()\[\]*-]{1,200}\Z")
_INVALID_NAME_CHARACTERS = re.compile(r"[^A-Za-z0-9_]")
_MAX_VALUE_CHARACTERS = 2000  # Keeps lines below the limits of log collectors.

_logger_group = logbook.LoggerGroup(level=logbook.INFO)


class EventLogger:
    """Writes the events of one module."""

    __slots__ = ("_logger", "_name")

    def __init__(self, name: str) -> None:
        self._name = name
        self._logger = logbook.Logger(name)
        _logger_group.add_logger(self._logger)

    def debug(self, event: str, /, **fields: object) -> None:
        """Write an event that is of interest only to developers."""
        self._write(logbook.DEBUG, event, fields)

    def info(self, event: str, /, **fields: object) -> None:
        """Write an event of normal operation."""
        self._write(logbook.INFO, event, fields)

    def warning(self, event: str, /, **fields: object) -> None:
        """Write an event that operators should know about."""
        self._write(logbook.WARNING, event, fields)

    def error(self, event: str, /, **fields: object) -> None:
        """Write an event that operators should act on."""
        self._write(logbook.ERROR, event, fields)

    def _write(self, level: int, event: str, fields: Mapping[str, object]) -> None:
        if level >= self._logger.level:
            pairs = format_event(event, fields)
            self._logger.log(level, pairs, extra={"formatted": True})

    def __rich_repr__(self) -> Any:
        yield "name", self._name


class LogSetup:
    """The log output of the process; `close` removes its handlers."""

    __slots__ = ("_clock", "_handler", "_redirect")

    def __init__(self, level: str, *, stream: TextIO | None, clock: Clock) -> None:
        self._clock = clock
        self._handler = logbook.StreamHandler(stream or sys.stderr)
        self._handler.formatter = self._format
        self._handler.push_application()
        self._redirect = RedirectLoggingHandler()
        self._redirect.setLevel(logging.WARNING)
        logging.getLogger().addHandler(self._redirect)
        _logger_group.level = LEVELS[level]

    def close(self) -> None:
        """Stop writing log lines."""
        logging.getLogger().removeHandler(self._redirect)
        self._handler.pop_application()

    def _format(self, record: logbook.LogRecord, handler: logbook.Handler) -> str:
        now = datetime.fromtimestamp(self._clock.wall(), UTC)
        time = now.isoformat(timespec="milliseconds").replace("+00:00", "Z")
        level = record.level_name.lower()
        line = f"time={time} level={level} logger={_render(record.channel)}"
        if record.extra["formatted"]:
            return f"{line} {record.message}"
        fields = {"message": record.message}
        if record.formatted_exception:
            fields["exception"] = record.formatted_exception
        return f"{line} {format_event('log', fields)}"


def set_up_logs(
    level: str, *, stream: TextIO | None = None, clock: Clock | None = None
) -> LogSetup:
    """Start writing events of `level` and above to `stream` (stderr by default).

    Warnings and errors that libraries log through `logging` are written as
    ``event=log``.
    """
    return LogSetup(level, stream=stream, clock=clock or SystemClock())


def get_logger(name: str) -> EventLogger:
    """Return the logger of a module."""
    return EventLogger(name)


def format_event(event: str, fields: Mapping[str, object]) -> str:
    """Return ``event=NAME key=value …``, with values escaped and secrets redacted."""
    pairs = [f"event={_render(event)}"]
    pairs += [f"{_field_name(k)}={_field_value(k, v)}" for k, v in fields.items()]
    return " ".join(pairs)


def _field_name(name: str) -> str:
    name = _INVALID_NAME_CHARACTERS.sub("_", name)
    return f"field_{name}" if name in _RESERVED_FIELDS else name


def _field_value(name: str, value: object) -> str:
    return _REDACTED if name.lower() in REDACTED_FIELDS else _render(value)


def _quote(text: str) -> str:
    if _UNQUOTED_VALUE.match(text):
        return text
    if len(text) > _MAX_VALUE_CHARACTERS:
        text = f"{text[:_MAX_VALUE_CHARACTERS]}…"
    return json.dumps(text).replace("\x7f", "\\u007f")


@singledispatch
def _render(value: object) -> str:
    return _quote(str(value))


@_render.register
def _(value: bool | None) -> str:
    return json.dumps(value)


@_render.register
def _(value: float) -> str:
    return f"{value:.6g}"


@_render.register
def _(value: Enum) -> str:
    return _quote(str(value.value))


@_render.register
def _(value: bytes | bytearray | memoryview) -> str:
    # Bytes are a customer's rows or parameters; only their length is written.
    return f"<{len(value)}_bytes>"


@_render.register
def _(value: Mapping) -> str:
    return _quote(" ".join(f"{k}={_field_value(str(k), v)}" for k, v in value.items()))


@_render.register
def _(value: list | tuple) -> str:
    return _quote(",".join(map(_render, value)))
