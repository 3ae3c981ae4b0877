"""Which statements begin an operation, and admission of those that do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from celeryjunction.gateway.routes import RouteTable
from celeryjunction.gateway.statements import (
    Begin,
    Execute,
    Prepare,
    Read,
    Statement,
    Write,
)

if TYPE_CHECKING:
    from celeryjunction.allotments.allotments import Allotments


def begins_operation(statement: Statement, prepared: dict[bytes, Prepare]) -> bool:
    """Whether a statement outside a transaction is counted.

    `prepared` are the session's prepared statements; one with an unknown name is
    refused without reaching an endpoint.
    """
    if isinstance(statement, Execute):
        return statement.name in prepared
    return isinstance(statement, Begin | Read | Write)


async def admit_operation(
    allotments: Allotments,
    statement: Statement,
    *,
    prepared: dict[bytes, Prepare],
    table: RouteTable | None,
    organisation: str,
    deadline: float,
) -> None:
    """Take a token if the organisation has a limit and the statement is counted.

    Raises `ProxyError` (not run) if there is none.
    """
    organisations = table.organisations if table is not None else None
    if organisations is None:
        return
    limit = organisations.get(organisation)
    if limit is not None and limit.is_limited and begins_operation(statement, prepared):
        await allotments.admit(limit, deadline=deadline)
