"""Session state on shared connections: values and prepared statements.

Callers' names for prepared statements collide, so a connection keeps one statement for
each shape under a name made from the shape. Values are set where they differ; a value
that the session does not have is only removed by clearing the connection.
"""

from __future__ import annotations

from hashlib import blake2s

from celeryjunction.errors import ConnectionLost
from celeryjunction.gateway.statements import Prepare
from celeryjunction.replication.ports import (
    ClearSession,
    Command,
    EndpointLink,
    PrepareStatement,
    SetValue,
)

MAX_PREPARED = 200
"""Statements kept prepared on a connection; one with more is cleared."""


def shared_name(prepared: Prepare) -> bytes:
    """Return the name under which connections keep this shape."""
    kind = b"w" if prepared.writes else b"r"
    digest = blake2s(kind + b" " + prepared.shape, digest_size=8).hexdigest()
    return b"p" + kind + digest.encode()


def state_commands(
    link: EndpointLink,
    *,
    values: dict[bytes, bytes],
    prepared: Prepare | None,
    in_transaction: bool,
) -> list[Command]:
    """Return the commands that give a connection the session's state."""
    commands: list[Command] = []
    has_values, has_names = link.values, link.prepared
    surplus = any(name not in values for name in has_values)
    surplus = surplus or link.state_uncertain or len(has_names) > MAX_PREPARED
    if surplus and not in_transaction:
        commands.append(ClearSession())
        has_values, has_names = {}, set()
    commands += [
        SetValue(name, value)
        for name, value in values.items()
        if has_values.get(name) != value
    ]
    if prepared is not None:
        name = shared_name(prepared)
        if name not in has_names:
            commands.append(PrepareStatement(name, prepared.writes, prepared.shape))
    return commands


async def bring_state(
    link: EndpointLink, commands: list[Command], *, timeout: float
) -> None:
    """Run state commands; raises `ConnectionLost` (not sent) if one fails."""
    if not commands:
        return
    answers = await link.run(commands, timeout=timeout)
    if any(answer.fault is not None for answer in answers):
        link.close()
        raise ConnectionLost("the session's state was refused", sent=False)
    for command in commands:
        if isinstance(command, ClearSession):
            link.values.clear()
            link.prepared.clear()
            link.state_uncertain = False
        elif isinstance(command, SetValue):
            link.values[command.name] = command.value
        elif isinstance(command, PrepareStatement):
            link.prepared.add(command.name)
