"""The complete list of errors that the proxy itself reports to clients.

Every error has a kind from `ErrorKind`. `ERROR_TABLE` maps each kind to its SQLSTATE,
its message, whether the statement ran and whether the client may safely send it again.
docs/errors.md shows the same table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Ran(Enum):
    """Whether the statement that failed with the error ran at an endpoint."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(Enum):
    """The kinds of errors that the proxy itself reports."""

    NOT_RUN_DEADLINE = "not_run_deadline"
    NOT_RUN_NO_PRIMARY = "not_run_no_primary"
    NOT_RUN_SHED = "not_run_shed"
    NOT_RUN_ALLOTMENT = "not_run_allotment"
    NOT_RUN_OLDER_ROUTES = "not_run_older_routes"
    NOT_RUN_MEMORY = "not_run_memory"
    NOT_RUN_UNCONFIRMED_ROUTES = "not_run_unconfirmed_routes"
    NOT_RUN_ROLLED_BACK = "not_run_rolled_back"
    NOT_RUN_CONNECTION = "not_run_connection"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ACKNOWLEDGED_WRITE_LOST = "acknowledged_write_lost"
    FRESHNESS_UNPROVEN = "freshness_unproven"
    READ_UNANSWERED = "read_unanswered"
    UNSUPPORTED = "unsupported"
    UNKNOWN_DATABASE = "unknown_database"
    NO_CONTRACT = "no_contract"
    WRONG_PASSWORD = "wrong_password"
    UNKNOWN_KEY = "unknown_key"
    STATEMENT_TOO_LARGE = "statement_too_large"
    PROTOCOL_VIOLATION = "protocol_violation"
    UNKNOWN_STATEMENT = "unknown_statement"
    DUPLICATE_STATEMENT = "duplicate_statement"
    UNKNOWN_PORTAL = "unknown_portal"
    DUPLICATE_PORTAL = "duplicate_portal"
    CANCELLED = "cancelled"
    IDLE_TRANSACTION = "idle_transaction"
    TRANSACTION_ABORTED = "transaction_aborted"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorSpec:
    """The answer for one kind of error; `message` is a `str.format` template."""

    sqlstate: str
    message: str
    ran: Ran
    retryable: bool


ERROR_TABLE: dict[ErrorKind, ErrorSpec] = {
    ErrorKind.NOT_RUN_DEADLINE: ErrorSpec(
        "CJ001",
        "not run: the deadline of {deadline_s:g} s passed before it was sent",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_NO_PRIMARY: ErrorSpec(
        "CJ002",
        "not run: no primary of database {database} was proven before the deadline",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_SHED: ErrorSpec(
        "CJ003",
        "not run: refused under shed order {order} signed by {signed_by}: {reason}",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_ALLOTMENT: ErrorSpec(
        "CJ006",
        "not run: organisation {organisation} has used up its allotment",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_OLDER_ROUTES: ErrorSpec(
        "CJ007",
        "not run: the routes in force are older than version {version}",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_MEMORY: ErrorSpec(
        "CJ008",
        "not run: the memory for {part} is short",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_UNCONFIRMED_ROUTES: ErrorSpec(
        "CJ009",
        "not run: newer routes may have database {database}; those in force were "
        "confirmed {age_s:.1f} s ago",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_ROLLED_BACK: ErrorSpec(
        "CJ004",
        "not run: the transaction was rolled back before it was committed ({reason})",
        Ran.NO,
        True,
    ),
    ErrorKind.NOT_RUN_CONNECTION: ErrorSpec(
        "CJ005",
        "not run: no connection to an endpoint of database {database} ({reason})",
        Ran.NO,
        True,
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorSpec(
        "08007",
        "outcome unknown: the statement may or may not have run ({reason})",
        Ran.UNKNOWN,
        False,
    ),
    ErrorKind.ACKNOWLEDGED_WRITE_LOST: ErrorSpec(
        "CJ010",
        "refused: a promotion to term {term} dropped acknowledged writes of customer "
        "{customer}; check the data, then repeat the read",
        Ran.NO,
        True,
    ),
    ErrorKind.FRESHNESS_UNPROVEN: ErrorSpec(
        "CJ011",
        "not run: no endpoint of database {database} was proven fresh enough "
        "before the deadline",
        Ran.NO,
        True,
    ),
    ErrorKind.READ_UNANSWERED: ErrorSpec(
        "CJ012",
        "the read was sent but not answered before the deadline; it changed nothing",
        Ran.UNKNOWN,
        True,
    ),
    ErrorKind.UNSUPPORTED: ErrorSpec(
        "0A000",
        "not run: {feature} is not supported on shared connections",
        Ran.NO,
        False,
    ),
    ErrorKind.UNKNOWN_DATABASE: ErrorSpec(
        "3D000",
        'database "{database}" does not exist; use one of the databases that the '
        "contract names",
        Ran.NO,
        False,
    ),
    ErrorKind.NO_CONTRACT: ErrorSpec(
        "28000",
        'customer "{customer}" has no contract; ask the operators to create one',
        Ran.NO,
        False,
    ),
    ErrorKind.WRONG_PASSWORD: ErrorSpec(
        "28P01",
        'password authentication failed for customer "{customer}"',
        Ran.NO,
        False,
    ),
    ErrorKind.UNKNOWN_KEY: ErrorSpec(
        "28001",
        'no organisation with access to database "{database}" has this key',
        Ran.NO,
        False,
    ),
    ErrorKind.STATEMENT_TOO_LARGE: ErrorSpec(
        "54000",
        "not run: a message of {size} bytes is larger than the limit of {limit} bytes",
        Ran.NO,
        False,
    ),
    ErrorKind.PROTOCOL_VIOLATION: ErrorSpec(
        "08P01", "protocol violation: {reason}", Ran.NO, False
    ),
    ErrorKind.UNKNOWN_STATEMENT: ErrorSpec(
        "26000", 'prepared statement "{name}" does not exist', Ran.NO, False
    ),
    ErrorKind.DUPLICATE_STATEMENT: ErrorSpec(
        "42P05", 'prepared statement "{name}" already exists', Ran.NO, False
    ),
    ErrorKind.UNKNOWN_PORTAL: ErrorSpec(
        "34000", 'portal "{name}" does not exist', Ran.NO, False
    ),
    ErrorKind.DUPLICATE_PORTAL: ErrorSpec(
        "42P03", 'portal "{name}" already exists', Ran.NO, False
    ),
    ErrorKind.CANCELLED: ErrorSpec(
        "57014",
        "canceled on request of the client; nothing was changed",
        Ran.NO,
        True,
    ),
    ErrorKind.IDLE_TRANSACTION: ErrorSpec(
        "25P03",
        "the transaction was rolled back: it was idle for more than {limit_s:g} s",
        Ran.NO,
        True,
    ),
    ErrorKind.TRANSACTION_ABORTED: ErrorSpec(
        "25P02",
        "current transaction is aborted, commands ignored until end of transaction",
        Ran.NO,
        False,
    ),
    ErrorKind.SHUTTING_DOWN: ErrorSpec(
        "57P01",
        "not run: this proxy is shutting down; connect again to reach another one",
        Ran.NO,
        True,
    ),
    ErrorKind.INTERNAL: ErrorSpec(
        "XX000", "internal error: {reason}", Ran.UNKNOWN, False
    ),
}


@dataclass(slots=True)
class ProxyError(Exception):
    """An error of a kind in `ERROR_TABLE`, with the details for its message.

    For example, ``ProxyError(ErrorKind.UNSUPPORTED, {"feature": "COPY"})`` is answered
    with SQLSTATE 0A000 and a message that COPY is not supported on shared connections.
    """

    kind: ErrorKind
    details: dict[str, object] = field(default_factory=dict)

    @property
    def spec(self) -> ErrorSpec:
        """The entry of `ERROR_TABLE` for this kind."""
        return ERROR_TABLE[self.kind]

    @property
    def sqlstate(self) -> str:
        """SQLSTATE of the answer (five characters)."""
        return self.spec.sqlstate

    @property
    def message(self) -> str:
        """Message of the answer, formatted with the details."""
        return self.spec.message.format(**self.details)

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.message}"


@dataclass(slots=True)
class EndpointError(Exception):
    """An endpoint answered a step of a pipeline with an error.

    `fields` holds the error's fields by protocol letter (``C`` is the SQLSTATE, ``M``
    the message). `step` is the index of the failed step; later steps did not run.
    """

    fields: dict[str, str]
    step: int = 0

    @property
    def sqlstate(self) -> str:
        """SQLSTATE from the endpoint (five characters), ``XX000`` if it sent none."""
        return self.fields.get("C", "XX000")

    def __str__(self) -> str:
        return f"{self.sqlstate} {self.fields.get('M', '')}"


@dataclass(slots=True)
class ConnectionLost(Exception):
    """The connection to an endpoint broke, timed out or could not be opened.

    `sent` is False only when no byte of the pipeline can have reached the endpoint.
    """

    reason: str
    sent: bool

    def __str__(self) -> str:
        return self.reason


def outcome_unknown_error(reason: str) -> ProxyError:
    """Return the error for a statement that may or may not have run."""
    return ProxyError(ErrorKind.OUTCOME_UNKNOWN, {"reason": reason})


def rolled_back_error(reason: str) -> ProxyError:
    """Return the error for a transaction that was rolled back before its commit."""
    return ProxyError(ErrorKind.NOT_RUN_ROLLED_BACK, {"reason": reason})
