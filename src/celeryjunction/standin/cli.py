"""Commands that run the stand-ins: ``celeryjunction standin store|group``."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Annotated

import json5
import msgspec
from typer import Exit, Option, Typer, echo

from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.directory import GROUP_PREFIX
from celeryjunction.ports import Compare, GroupRecord, Put
from celeryjunction.standin.group import GroupConfig, serve_group
from celeryjunction.standin.kv import serve_store

app = Typer(no_args_is_help=True, help="Run a stand-in of the platform.")


class GroupFile(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of a group's file besides `GroupConfig`.

    `store` holds the addresses of the key-value service to which the group publishes
    its record; the record is not published without addresses.
    """

    store: tuple[str, ...] = ()


@app.command()
def store(
    port: Annotated[int, Option(help="Port of the key-value service.")] = 2379,
    control_port: Annotated[int, Option(help="Port of the control API.")] = 0,
    host: Annotated[str, Option(help="Address to listen on.")] = "127.0.0.1",
) -> None:
    """Run the stand-in of the key-value service."""
    asyncio.run(_run_store(host, port, control_port))


@app.command()
def group(config: Annotated[Path, Option(help="JSON file of the group.")]) -> None:
    """Run the stand-in of one database group."""
    try:
        document = json5.loads(config.read_text())
        store_settings = msgspec.convert(
            {"store": document.pop("store", ())}, GroupFile, strict=False
        )
        settings = msgspec.convert(document, GroupConfig, strict=False)
    except (OSError, ValueError) as error:
        echo(f"{config}: {error}", err=True)
        raise Exit(2) from None
    asyncio.run(_run_group(settings, store_settings.store))


async def _run_store(host: str, port: int, control_port: int) -> None:
    running = await serve_store(
        host=host, port=port, control_host=host, control_port=control_port
    )
    await _close_on_signal(running.close)


async def _run_group(config: GroupConfig, addresses: tuple[str, ...]) -> None:
    store = EtcdStore(addresses) if addresses else None
    publish = _publisher(store) if store is not None else None
    running = await serve_group(config, publish)
    await _close_on_signal(running.close)
    if store is not None:
        await store.close()


def _publisher(store: EtcdStore) -> Callable[[GroupRecord], Awaitable[None]]:
    """Return a function that writes a group's record to the key-value service."""

    async def publish(record: GroupRecord) -> None:
        key = f"{GROUP_PREFIX}{record.name}"
        current = await store.get(key)
        revision = current.revision if current is not None else 0
        await store.compare_and_put(
            [Compare(key, revision)], [Put(key, msgspec.json.encode(record))]
        )

    return publish


async def _close_on_signal(close: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM or SIGINT, then call `close`."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await close()
