"""Codec of the platform's line protocol: translates its messages to internal types."""

from __future__ import annotations

from functools import singledispatch

from celeryjunction.decoding import parse_amount, parse_number
from celeryjunction.errors import ErrorKind
from celeryjunction.gateway.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SetParameter,
    Statement,
    Write,
)
from celeryjunction.replication.ports import (
    AskStatus,
    ClearSession,
    Command,
    Demote,
    EndpointStatus,
    Fault,
    LogPosition,
    OpenTransaction,
    PauseReceiving,
    PrepareStatement,
    Relay,
    RelayPrepared,
    ResumeReceiving,
    RollBack,
    SetValue,
    Synchronize,
    TransactionState,
)

PROXY_REQUEST_ID = b"-"
"""Request id of statements that the proxy issues itself, not for a client."""

SYNC_STATEMENT = b"sync"
"""Name of a prepared statement that never exists: dropping it has no effect."""

STATES_BY_CODE = {
    b"I": TransactionState.IDLE,
    b"T": TransactionState.OPEN,
    b"E": TransactionState.FAILED,
}
STATE_CODES = {state: code for code, state in STATES_BY_CODE.items()}

FAULTS_BY_CODE = {
    b"BUSY": Fault.BUSY,
    b"LAGGING": Fault.BEHIND,
    b"READONLY": Fault.NOT_PRIMARY,
    b"NOSTMT": Fault.UNKNOWN_STATEMENT,
    b"MISROUTED": Fault.WRONG_ENDPOINT,
    b"OVERLOAD": Fault.TOO_MANY_CONNECTIONS,
    b"FAILED": Fault.FAILED,
    b"TIMEOUT": Fault.TIMED_OUT,
}
FAULT_CODES = {
    **{fault: code for code, fault in FAULTS_BY_CODE.items()},
    # An answer with an unknown code does not rule out that the statement ran.
    Fault.OTHER: b"INDOUBT",
}

ERROR_CODES: dict[ErrorKind, bytes] = {
    ErrorKind.NOT_RUN_DEADLINE: b"BUSY",
    ErrorKind.NOT_RUN_NO_PRIMARY: b"BUSY",
    ErrorKind.NOT_RUN_SHED: b"BUSY",
    ErrorKind.NOT_RUN_CONNECTION: b"BUSY",
    ErrorKind.NOT_RUN_ALLOTMENT: b"BUSY",
    ErrorKind.NOT_RUN_OLDER_ROUTES: b"BUSY",
    ErrorKind.NOT_RUN_MEMORY: b"BUSY",
    ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES: b"BUSY",
    ErrorKind.NOT_RUN_ROLLED_BACK: b"ABORTED",
    ErrorKind.IDLE_TRANSACTION: b"ABORTED",
    ErrorKind.SHUTTING_DOWN: b"ABORTED",
    ErrorKind.FRESHNESS_UNPROVEN: b"LAGGING",
    ErrorKind.READ_UNANSWERED: b"ABORTED",
    ErrorKind.OUTCOME_UNKNOWN: b"INDOUBT",
    ErrorKind.UNKNOWN_DATABASE: b"NODB",
    ErrorKind.UNKNOWN_KEY: b"DENIED",
    ErrorKind.UNKNOWN_STATEMENT: b"NOSTMT",
    ErrorKind.TRANSACTION_ABORTED: b"MALFORMED",
    ErrorKind.PROTOCOL_VIOLATION: b"MALFORMED",
    ErrorKind.STATEMENT_TOO_LARGE: b"TOOLARGE",
}
"""Code for each of the proxy's own errors; others get `UNKNOWN_OUTCOME_CODE`.

`READ_UNANSWERED` is reported as not run, because a read changes nothing.
"""
UNKNOWN_OUTCOME_CODE = b"INDOUBT"
"""Code that leaves open whether the statement ran."""


class MalformedStatement(Exception):
    """The text of a client's query is not a statement of the protocol."""


def parse_statement(text: bytes) -> Statement:
    """Decode the text of a query, such as ``b"READ 1a4"``.

    Raises `MalformedStatement` with the first 20 bytes of its keyword.
    """
    keyword, _, rest = text.partition(b" ")
    parser = _PARSERS.get(keyword)
    statement = parser(rest) if parser is not None else None
    if statement is None:
        raise MalformedStatement(keyword[:20].decode("latin-1"))
    return statement


def _parse_begin(rest: bytes) -> Statement | None:
    return Begin(read_only=bool(rest)) if rest in (b"", b"READ") else None


def _parse_set(rest: bytes) -> Statement | None:
    name, _, value = rest.partition(b" ")
    return SetParameter(name, value) if name else None


def _parse_prepare(rest: bytes) -> Statement | None:
    name, _, rest = rest.partition(b" ")
    kind, _, shape = rest.partition(b" ")
    if not name or not shape or kind not in (b"READ", b"WRITE"):
        return None
    return Prepare(name, kind == b"WRITE", shape)


def _parse_execute(rest: bytes) -> Statement | None:
    name, _, arguments = rest.partition(b" ")
    return Execute(name, arguments) if name else None


_PARSERS = {
    b"BEGIN": _parse_begin,
    b"COMMIT": lambda rest: None if rest else Commit(),
    b"ROLLBACK": lambda rest: None if rest else Rollback(),
    b"READ": lambda rest: Read() if rest else None,
    b"WRITE": lambda rest: Write() if rest else None,
    b"SETPARAM": _parse_set,
    b"PREPARE": _parse_prepare,
    b"EXECUTE": _parse_execute,
    b"DEALLOC": lambda rest: Deallocate(rest) if rest else None,
}


@singledispatch
def encode_command(command: Command) -> bytes:
    """Return the line that makes an endpoint run a command."""
    raise TypeError(f"unknown command: {command!r}")


def _encode_query(request_id: bytes, after: LogPosition | None, text: bytes) -> bytes:
    prefix = b"" if after is None else b"AFTER %d.%d " % after
    return b"QUERY %b %b%b\r\n" % (request_id, prefix, text)


@encode_command.register
def _(command: Relay) -> bytes:
    return _encode_query(command.request_id, command.after, command.text)


@encode_command.register
def _(command: RelayPrepared) -> bytes:
    text = b"EXECUTE " + command.name
    if command.arguments:
        text += b" " + command.arguments
    return _encode_query(command.request_id, command.after, text)


@encode_command.register
def _(command: OpenTransaction) -> bytes:
    text = b"BEGIN READ" if command.read_only else b"BEGIN"
    return _encode_query(command.request_id, command.after, text)


@encode_command.register
def _(command: RollBack) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"ROLLBACK")


@encode_command.register
def _(command: ClearSession) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"RESET")


@encode_command.register
def _(command: SetValue) -> bytes:
    return _encode_query(
        PROXY_REQUEST_ID, None, b"SETPARAM %b %b" % (command.name, command.value)
    )


@encode_command.register
def _(command: PrepareStatement) -> bytes:
    kind = b"WRITE" if command.writes else b"READ"
    text = b"PREPARE %b %b %b" % (command.name, kind, command.shape)
    return _encode_query(PROXY_REQUEST_ID, None, text)


@encode_command.register
def _(command: AskStatus) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"STATUS")


@encode_command.register
def _(command: PauseReceiving) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"PAUSE %d" % command.term)


@encode_command.register
def _(command: ResumeReceiving) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"RESUME")


@encode_command.register
def _(command: Demote) -> bytes:
    return _encode_query(PROXY_REQUEST_ID, None, b"DEMOTE %d" % command.term)


_SYNC_LINE = _encode_query(PROXY_REQUEST_ID, None, b"DEALLOC " + SYNC_STATEMENT)


@encode_command.register
def _(command: Synchronize) -> bytes:
    return _SYNC_LINE


def parse_position(text: bytes) -> LogPosition | None:
    """Decode ``TERM.NUMBER``; None for ``-`` and for malformed text."""
    first, _, second = text.partition(b".")
    term, number = parse_number(first), parse_number(second)
    return None if term is None or number is None else LogPosition(term, number)


def parse_status(row: bytes) -> EndpointStatus | None:
    """Decode the row of a status answer; None if the row is malformed.

    Its fields, separated by spaces: role, term, received position, held term, lag in
    ms, busy slots and connections.
    """
    fields = row.split(b" ", 7)
    if len(fields) < 7 or fields[0] not in (b"primary", b"replica"):
        return None
    term, held_term, busy, connections = (parse_number(fields[i]) for i in (1, 3, 5, 6))
    received, lag_ms = parse_position(fields[2]), parse_amount(fields[4])
    if received is None and fields[2] == b"-":
        received = LogPosition(term or 0, 0)
    if None in (term, received, held_term, lag_ms, busy, connections):
        return None
    return EndpointStatus(
        is_primary=fields[0] == b"primary",
        term=term,
        received=received,
        held_term=held_term,
        lag_s=lag_ms / 1000,
        busy=busy,
        connections=connections,
    )
