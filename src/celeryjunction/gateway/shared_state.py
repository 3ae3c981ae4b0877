"""Applies session state, values and prepared statements, to shared connections.

Sessions may use the same name for different prepared statements, so a connection has
one statement for each shape, under a name derived from the shape. Values that differ
are set. A value that the session does not have can only be removed by clearing the
connection.
"""

from __future__ import annotations

from hashlib import blake2b, blake2s

from celeryjunction.errors import ConnectionLost
from celeryjunction.gateway.statements import Prepare
from celeryjunction.replication.ports import (
    ClearSession,
    Command,
    EndpointLink,
    PrepareStatement,
    SetValue,
)

MAX_PREPARED_STATEMENTS = 200
"""Statements that stay prepared on a connection; with more, it is cleared."""

MAX_KEPT_BYTES = 256
"""Longer values are kept as digests: each connection would keep up to 8 MiB."""


def kept_value(value: bytes) -> bytes:
    """Return what a connection keeps of a value, to compare it: long ones' digests.

    A digest is longer than any value that is kept itself, so the two never equal.
    """
    if len(value) <= MAX_KEPT_BYTES:
        return value
    return blake2b(value).digest().ljust(MAX_KEPT_BYTES + 1)


def shared_name(prepared: Prepare) -> bytes:
    """Return the name of a statement's shape on connections."""
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
    """Return the commands that apply the session's state to a connection.

    Inside a transaction the connection is not cleared.
    """
    commands: list[Command] = []
    link_values, link_names = link.values, link.prepared
    needs_clear = any(name not in values for name in link_values)
    needs_clear = (
        needs_clear or link.state_uncertain or len(link_names) > MAX_PREPARED_STATEMENTS
    )
    if needs_clear and not in_transaction:
        commands.append(ClearSession())
        link_values, link_names = {}, set()
    commands += [
        SetValue(name, value)
        for name, value in values.items()
        if link_values.get(name) != kept_value(value)
    ]
    if prepared is not None:
        name = shared_name(prepared)
        if name not in link_names:
            commands.append(PrepareStatement(name, prepared.writes, prepared.shape))
    return commands


async def apply_state(
    link: EndpointLink, commands: list[Command], *, timeout: float
) -> None:
    """Run commands of `state_commands` and record their effect on the link.

    Raises `ConnectionLost` (not sent) and closes the connection if one fails.
    """
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
            link.values[command.name] = kept_value(command.value)
        elif isinstance(command, PrepareStatement):
            link.prepared.add(command.name)
