"""Commands for contracts: ``celeryjunction contract get|set|edit|list|…``.

Exit codes: 0 for success, 1 if the key-value service or another dependency failed, 2
for a rejected contract or invalid arguments, 3 for a conflict with another change, 4 if
the change is accepted but not in force on every live VM.
"""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import shlex
import subprocess
import tempfile
import uuid
from collections.abc import Awaitable, Callable, Iterable, Sequence
from contextlib import suppress
from datetime import UTC, datetime
from functools import singledispatch
from pathlib import Path
from typing import Annotated, NamedTuple, NoReturn, TypeVar

import aiohttp
import msgspec
from typer import Argument, Exit, Option, Typer, echo

from celeryjunction._documents import DocumentError, parse_document, read_file
from celeryjunction.adapters.etcd import EtcdStore
from celeryjunction.contract import Contract, check_against, parse_contract
from celeryjunction.contracts_store import (
    CONTRACT_PREFIX,
    Accepted,
    AuditRecord,
    Conflict,
    ContractStore,
    NotApplied,
    Rejected,
    SetOutcome,
    StoredContract,
    Unknown,
    Validate,
    decode_envelope,
    diff,
    lagging_vms,
    stored_contract,
)
from celeryjunction.decoding import Count, DecodingError, decode
from celeryjunction.directory import GROUP_PREFIX
from celeryjunction.logs import format_event
from celeryjunction.membership import VmRecord, list_vms
from celeryjunction.ports import (
    GroupRecord,
    KeyValueStore,
    StoreRefused,
    StoreUnavailable,
    SystemClock,
)
from celeryjunction.settings import SettingsError, load_settings, split_address

STORE_VARIABLE = "CELERYJUNCTION_STORE"
MAX_STATUS_REQUESTS = 64
"""Maximum number of concurrent requests to the VMs' status pages."""
STATUS_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.2
"""Time between two checks of the VMs during `--wait`."""
FAILED, REFUSED, CONFLICT, NOT_IN_FORCE = 1, 2, 3, 4

app = Typer(no_args_is_help=True, help="Read and change contracts.")

T = TypeVar("T")
_Store = Annotated[
    str,
    Option(
        help="Addresses of the key-value service (ip:port), separated by commas; "
        f"default: those of --config or of ${STORE_VARIABLE}."
    ),
]
_Config = Annotated[
    Path | None, Option(help="Settings file with the service's addresses.")
]
_Customer = Annotated[str, Argument(help="Name of the customer.")]
_Reason = Annotated[str, Option(help="Reason for the change, for the audit trail.")]
_Author = Annotated[
    str,
    Option(
        help="Author of the change, for the audit trail; default: the current user."
    ),
]
_Wait = Annotated[
    float, Option(min=0, help="Seconds to wait for all live VMs to apply the change.")
]


class _Change(NamedTuple):
    """A requested change of a contract.

    `source` is the document as the operator wrote it, `text` the stored form.
    """

    source: str
    text: str
    base_revision: int
    change_id: str
    author: str
    reason: str
    wait_s: float


@app.command(name="set")
def set_(
    file: Annotated[Path, Argument(help="Contract, JSON with comments.")],
    reason: _Reason,
    store: _Store = "",
    config: _Config = None,
    author: _Author = "",
    base: Annotated[
        int, Option(help="Revision on which the change is based; 0 for a new contract.")
    ] = 0,
    change_id: Annotated[
        str,
        Option(
            help="Id of the change, to pass again when repeating it; default: a new id."
        ),
    ] = "",
    wait: _Wait = 0,
) -> None:
    """Put a contract in force, unless it was changed since the base revision."""
    try:
        source = read_file(file)
        text = to_plain_json(source)
    except DocumentError as error:
        _fail(f"{file}: {error}", REFUSED)
    change = _new_change(source, text, base, author, reason, wait, change_id)
    raise Exit(_with_store(store, config, lambda kv: _apply_change(kv, change)))


@app.command()
def edit(
    customer: _Customer,
    reason: _Reason,
    store: _Store = "",
    config: _Config = None,
    author: _Author = "",
    wait: _Wait = 0,
) -> None:
    """Edit a contract with $EDITOR and put it in force."""
    stored = _with_store(store, config, lambda kv: _contract_store(kv).get(customer))
    if stored is None:
        _fail(f"customer {customer} has no contract; create one with set", FAILED)
    path = _write_temporary_file(stored)
    source, text = _run_editor(path)
    if text == stored.text:
        path.unlink()
        echo("no change")
        return
    change = _new_change(source, text, stored.revision, author, reason, wait)
    code = FAILED
    try:
        code = _with_store(
            store,
            config,
            lambda kv: _apply_change(kv, change, expected_customer=customer),
        )
    finally:
        if code in (0, NOT_IN_FORCE):
            path.unlink()
        else:
            echo(f"the edited contract is kept in {path}", err=True)
            echo(f"it is based on revision {stored.revision}", err=True)
    raise Exit(code)


@app.command()
def get(
    customer: _Customer,
    store: _Store = "",
    config: _Config = None,
) -> None:
    """Print a contract; its revision goes to standard error."""
    stored = _with_store(store, config, lambda kv: _contract_store(kv).get(customer))
    if stored is None:
        _fail(f"customer {customer} has no contract", FAILED)
    echo(f"revision {stored.revision}", err=True)
    echo(stored.text)


@app.command(name="list")
def list_(store: _Store = "", config: _Config = None) -> None:
    """List the customers with the revisions of their contracts."""
    listed = _with_store(store, config, lambda kv: kv.list(CONTRACT_PREFIX))
    for item in listed.items:
        stored = stored_contract(item)
        fields = {"customer": stored.customer, "revision": stored.revision}
        with suppress(DecodingError):
            envelope = decode_envelope(item.value)
            fields |= {"at": _format_time(envelope.time), "author": envelope.author}
            fields |= {"change_id": envelope.change_id}
        echo(format_event("contract", fields))


@app.command()
def history(customer: _Customer, store: _Store = "", config: _Config = None) -> None:
    """List the revisions of a contract in the audit trail, oldest first."""
    for record in _with_store(
        store, config, lambda kv: _contract_store(kv).audit(customer)
    ):
        echo(_audit_line(record))


@app.command(name="diff")
def diff_(
    customer: _Customer,
    rev1: Annotated[int, Argument(help="Older revision.")],
    rev2: Annotated[int, Argument(help="Newer revision.")],
    store: _Store = "",
    config: _Config = None,
) -> None:
    """Print the difference between two revisions of a contract in the audit trail."""
    texts = {
        version.revision: version.text
        for version in _with_store(
            store, config, lambda kv: _contract_store(kv).history(customer)
        )
    }
    for revision in (rev1, rev2):
        if revision not in texts:
            available = ", ".join(map(str, texts)) or "none"
            _fail(f"revision {revision} is not kept; kept are: {available}", REFUSED)
    echo(diff(texts[rev1], texts[rev2]))


@app.command()
def status(customer: _Customer, store: _Store = "", config: _Config = None) -> None:
    """Report whether the accepted contract is in force on every live VM."""
    raise Exit(_with_store(store, config, lambda kv: _show_status(kv, customer)))


def audit(
    store: _Store = "",
    config: _Config = None,
    customer: Annotated[str, Option(help="Only this customer.")] = "",
) -> None:
    """Print the audit trail of contract changes."""
    for record in _with_store(
        store, config, lambda kv: _contract_store(kv).audit(customer or None)
    ):
        echo(_audit_line(record))


def to_plain_json(text: str) -> str:
    """Convert a contract's text to plain JSON, the form in which it is stored.

    Plain JSON is returned unchanged. Comments of JSON with comments are removed. Raises
    `DocumentError`.
    """
    try:
        parse_document(text, comments=False)
    except DocumentError:
        values = parse_document(text).values
        return json.dumps(values, indent=2, ensure_ascii=False)
    return text


def contract_problems(
    text: str, others: Iterable[Contract], groups: Iterable[GroupRecord]
) -> list[str]:
    """Return the problems of a contract, including those next to the other contracts.

    Each problem is one line.
    """
    try:
        contract = parse_contract(text)
    except DocumentError as error:
        return [str(problem) for problem in error.problems]
    problems = check_against(contract, others, groups)
    return [str(problem) for problem in parse_document(text).locate(problems)]


async def read_contracts_and_groups(
    store: KeyValueStore,
) -> tuple[list[Contract], list[GroupRecord]]:
    """Read all contracts and groups; unreadable ones are reported and omitted."""
    contracts, groups = [], []
    for item in (await store.list(CONTRACT_PREFIX)).items:
        try:
            contracts.append(parse_contract(stored_contract(item).text, comments=False))
        except DocumentError:
            echo(f"{item.key} cannot be read and is left out of the check", err=True)
    for item in (await store.list(GROUP_PREFIX)).items:
        try:
            groups.append(decode(_group_record, item.value))
        except DecodingError:
            echo(f"{item.key} cannot be read and is left out of the check", err=True)
    return contracts, groups


async def _apply_change(
    store: KeyValueStore, change: _Change, *, expected_customer: str | None = None
) -> int:
    """Validate and set a contract, wait for the VMs, and return the exit code.

    If `expected_customer` is given, the document must be that customer's contract.
    """
    others, groups = await read_contracts_and_groups(store)
    problems = contract_problems(change.source, others, groups)
    if problems:
        return _report(Rejected(tuple(problems)), change)
    document_customer = parse_contract(change.text).customer
    if expected_customer is not None and document_customer != expected_customer:
        problem = (
            f"customer: {document_customer} is not {expected_customer}, whose contract "
            "was edited"
        )
        return _report(Rejected((problem,)), change)
    outcome = await _contract_store(store).set(
        document_customer,
        change.text,
        base_revision=change.base_revision,
        change_id=change.change_id,
        author=change.author,
        reason=change.reason,
    )
    code = _report(outcome, change)
    if isinstance(outcome, Accepted) and change.wait_s > 0:
        return await _wait_until_in_force(store, outcome.revision, change.wait_s)
    return code


async def _wait_until_in_force(
    store: KeyValueStore, revision: int, timeout_s: float
) -> int:
    """Wait until every live VM applies a revision, and return the exit code."""
    clock = SystemClock()
    deadline = clock.monotonic() + timeout_s
    while True:
        vms, failure = (), ""
        try:
            vms = await list_vms(store)
        except StoreUnavailable as error:
            failure = str(error)
        vms = await _refresh_applied_revisions(revision, vms)
        lagging = lagging_vms(revision, vms)
        if not lagging and not failure:
            echo(f"in force on {len(vms)} of {len(vms)} VMs")
            return 0
        if clock.monotonic() >= deadline:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    if failure:
        echo(f"cannot tell whether it is in force: {failure}", err=True)
    _print_lagging_vms(revision, vms)
    return NOT_IN_FORCE


async def _show_status(store: KeyValueStore, customer: str) -> int:
    item = await store.get(CONTRACT_PREFIX + customer)
    if item is None:
        echo(f"customer {customer} has no contract", err=True)
        return FAILED
    try:
        envelope = decode_envelope(item.value)
        parse_contract(envelope.document, comments=False)
    except (DecodingError, DocumentError):
        echo(
            f"unreadable: revision {item.revision}; VMs still apply the last valid one"
        )
        return NOT_IN_FORCE
    fields = {
        "customer": customer,
        "revision": item.revision,
        "at": _format_time(envelope.time),
        "author": envelope.author,
        "reason": envelope.reason,
        "change_id": envelope.change_id,
    }
    echo(format_event("accepted", fields))
    vms = await _refresh_applied_revisions(item.revision, await list_vms(store))
    lagging = lagging_vms(item.revision, vms)
    echo(f"in force on {len(vms) - len(lagging)} of {len(vms)} VMs")
    _print_lagging_vms(item.revision, vms)
    return NOT_IN_FORCE if lagging else 0


class _StatusPage(msgspec.Struct):
    """What is used of a VM's status page."""

    applied_revision: Count


_status_page = msgspec.json.Decoder(_StatusPage)
_group_record = msgspec.json.Decoder(GroupRecord)


async def _refresh_applied_revisions(
    revision: int, vms: Sequence[VmRecord]
) -> list[VmRecord]:
    """Request the applied revision of VMs whose records are older than a revision.

    With many VMs, a record is updated minutes after a change. The record of a VM that
    does not answer is returned unchanged.
    """
    limit = asyncio.Semaphore(MAX_STATUS_REQUESTS)

    async def refresh(vm: VmRecord) -> VmRecord:
        if vm.applied_revision >= revision:
            return vm
        with suppress(aiohttp.ClientError, TimeoutError, DecodingError):
            async with (
                limit,
                session.get(f"http://{vm.status_address}/status") as response,
            ):
                page = decode(_status_page, await response.read())
                return msgspec.structs.replace(
                    vm, applied_revision=page.applied_revision
                )
        return vm

    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        return list(await asyncio.gather(*(refresh(vm) for vm in vms)))


def _print_lagging_vms(revision: int, vms: Sequence[VmRecord]) -> None:
    lagging = set(lagging_vms(revision, vms))
    for vm in sorted(vms, key=lambda vm: vm.name):
        if vm.name in lagging:
            echo(
                f"not in force on {vm.name} (zone {vm.zone}, status at "
                f"{vm.status_address}), which applies changes up to revision "
                f"{vm.applied_revision}",
                err=True,
            )


def _contract_store(
    store: KeyValueStore, validate: Validate = lambda _: []
) -> ContractStore:
    return ContractStore(store, clock=SystemClock(), validate=validate)


def _new_change(
    source: str,
    text: str,
    base_revision: int,
    author: str,
    reason: str,
    wait_s: float,
    change_id: str = "",
) -> _Change:
    return _Change(
        source,
        text,
        base_revision,
        change_id or str(uuid.uuid4()),
        author or getpass.getuser(),
        reason,
        wait_s,
    )


def _write_temporary_file(stored: StoredContract) -> Path:
    handle, name = tempfile.mkstemp(prefix=f"{stored.customer}.", suffix=".json")
    with os.fdopen(handle, "w", encoding="utf-8") as file:
        file.write(stored.text)
    return Path(name)


def _run_editor(path: Path) -> tuple[str, str]:
    """Run the operator's editor; return the file's text and its plain JSON form."""
    editor = shlex.split(os.environ.get("EDITOR", "")) or ["vi"]
    try:
        subprocess.run([*editor, str(path)], check=True)
        source = read_file(path)
        return source, to_plain_json(source)
    except (OSError, subprocess.CalledProcessError) as error:
        _fail(f"{editor[0]} failed, nothing was changed: {error}; see {path}", FAILED)
    except DocumentError as error:
        _fail(f"{error}\nthe edited contract is kept in {path}", REFUSED)


def store_addresses(store: str, config: Path | None) -> tuple[str, ...]:
    """Return the service's addresses from the option, settings or variable.

    Raises `ValueError` if there are none or one is malformed.
    """
    if not store and config is not None:
        try:
            settings = load_settings(config)
        except SettingsError as error:
            raise ValueError(f"{config}: {error}") from None
        if settings.store is None:
            raise ValueError(f"{config} names no key-value service (store)")
        return settings.store.endpoints
    text = store or os.environ.get(STORE_VARIABLE, "")
    addresses = tuple(part.strip() for part in text.split(",") if part.strip())
    if not addresses:
        raise ValueError(f"give --store or --config, or set {STORE_VARIABLE}")
    for address in addresses:
        split_address(address)
    return addresses


def _with_store(
    store: str, config: Path | None, call: Callable[[KeyValueStore], Awaitable[T]]
) -> T:
    try:
        addresses = store_addresses(store, config)
    except ValueError as error:
        _fail(str(error), REFUSED)

    async def run() -> T:
        connected = EtcdStore(addresses)
        try:
            return await call(connected)
        finally:
            await connected.close()

    try:
        return asyncio.run(run())
    except (StoreUnavailable, StoreRefused) as error:
        _fail(f"the key-value service gave no answer: {error}", FAILED)


def _fail(message: str, code: int) -> NoReturn:
    echo(message, err=True)
    raise Exit(code)


def _format_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat(timespec="seconds")


def _audit_line(record: AuditRecord) -> str:
    entry = record.entry
    fields = {
        "at": _format_time(entry.time),
        "customer": entry.customer,
        "revision": record.revision,
        "base_revision": entry.base_revision,
        "author": entry.author,
        "reason": entry.reason,
        "change_id": entry.change_id,
    }
    if entry.shed_signers:
        fields["shed_signers"] = entry.shed_signers
    return format_event("contract_changed", fields)


@singledispatch
def _report(outcome: SetOutcome, change: _Change) -> int:
    """Print the outcome of a change and return the exit code."""
    raise TypeError(f"no report for outcome {outcome!r}")


@_report.register
def _(outcome: Accepted, change: _Change) -> int:
    echo(f"accepted as revision {outcome.revision}")
    return 0


@_report.register
def _(outcome: Conflict, change: _Change) -> int:
    revision = outcome.current.revision if outcome.current else 0
    echo(
        f"conflict: the contract is at revision {revision}, and the change is based "
        f"on {change.base_revision}; from the current contract to the refused one:",
        err=True,
    )
    echo(outcome.diff)
    return CONFLICT


@_report.register
def _(outcome: Rejected, change: _Change) -> int:
    for problem in outcome.problems:
        echo(problem, err=True)
    return REFUSED


@_report.register
def _(outcome: NotApplied, change: _Change) -> int:
    echo(f"not applied, and it will not be: {outcome.reason}", err=True)
    return FAILED


@_report.register
def _(outcome: Unknown, change: _Change) -> int:
    echo(
        f"unknown whether it was applied: {outcome.reason}; repeat it with "
        f"--change-id {change.change_id} --base {change.base_revision}",
        err=True,
    )
    return FAILED
