"""What endpoints ran: one record for each statement that reached an endpoint."""

from __future__ import annotations


class StatementRun:
    """A statement that an endpoint received, and what came of it."""

    __slots__ = (
        "commit",
        "connection",
        "digest",
        "endpoint",
        "error",
        "is_read",
        "is_write",
        "log_size",
        "owner",
        "prepared",
        "request_id",
        "rows",
        "text",
        "transaction",
        "values",
    )

    def __init__(
        self, *, endpoint: str, connection: int, request_id: bytes, text: bytes
    ) -> None:
        self.endpoint = endpoint
        self.connection = connection
        self.request_id = request_id
        self.text = text
        """Text without the prefix AFTER."""
        self.digest = b""
        """Digest of a success; empty for an error, and while the statement runs."""
        self.error = b""
        """Code of an error."""
        self.rows: tuple[bytes, ...] = ()
        self.commit = 0
        """Number of the commit that kept this write; 0 for none."""
        self.log_size = 0
        """Number of commits that the statement saw."""
        self.transaction = 0
        """Number of the transaction that it ran in; 0 for none."""
        self.owner = b""
        """Request id of the transaction's BEGIN."""
        self.values: dict[bytes, bytes] = {}
        """The connection's session values."""
        self.prepared: tuple[bytes, bytes] | None = None
        """Kind and shape of the prepared statement that was executed."""
        self.is_read = False
        self.is_write = False

    @property
    def has_succeeded(self) -> bool:
        """Whether the statement ran to its end without an error."""
        return bool(self.digest)
