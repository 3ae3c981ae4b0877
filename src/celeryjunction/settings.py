"""Settings of the proxy daemon, read from a file of JSON with comments.

docs/settings.md describes every key. Addresses are IP literals, because the VMs
reach each other by IP address and a name lookup could block or fail.
"""

from __future__ import annotations

import ssl
from collections.abc import Iterable, Iterator, Mapping
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from celeryjunction._documents import (
    Document,
    DocumentError,
    Problem,
    cross_check,
    find_problems,
    hide_fields,
    parse_document,
    printable,
    read_file,
    register_rules,
)
from celeryjunction.contract import (
    Contract,
    Name,
    check_against,
    dump_contract,
    parse_contract,
)
from celeryjunction.ports import EndpointRecord, GroupRecord

__all__ = ["Problem", "ProxySettings", "SettingsError", "load_settings"]


def _host_error(text: str) -> str | None:
    try:
        ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP address"
    return None


def _reachable_host_error(text: str) -> str | None:
    error = _host_error(text)
    if error is None and ip_address(text).is_unspecified:
        return f"{text} is not an address that others can reach"
    return error


def split_address(text: str) -> tuple[str, int]:
    """Split ``ip:port`` or ``[ipv6]:port``; raises `ValueError` for any other text."""
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{text!r} is not an IP address and a port")
    bracketed = host.startswith("[") and host.endswith("]")
    address = ip_address(host[1:-1] if bracketed else host)
    if bracketed != (address.version == 6) or not 1 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not an IP address and a port")
    return str(address), int(port)


def _address_error(text: str) -> str | None:
    try:
        split_address(text)
    except ValueError:
        return f"{text!r} is not an IP address and a port"
    return None


_IP = {"wanted": "an IP address, such as 127.0.0.1"}
Host = Annotated[str, Meta(extra={**_IP, "check": _host_error})]
_ReachableHost = Annotated[str, Meta(extra={**_IP, "check": _reachable_host_error})]
Port = Annotated[int, Meta(ge=0, le=65535)]
_Address = Annotated[
    str,
    Meta(
        extra={
            "wanted": "an IP address and port, such as 127.0.0.1:2379 or [::1]:2379",
            "check": _address_error,
        }
    ),
]
# A key is sent in an HTTP header, which allows printable ASCII without spaces.
_Key = Annotated[
    str,
    Meta(
        pattern=r"\A[!-~]{32,256}\Z",
        extra={
            "wanted": "a secret of 32 to 256 ASCII characters without spaces",
            "secret": True,
        },
    ),
]


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """TLS for clients: paths of PEM files, relative to the settings file."""

    certificate: str
    key: str


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address on which clients connect. Port 0 selects any free port."""

    host: Host
    port: Port
    reuse_port: bool = False
    """Whether several proxy processes on one VM share the port."""
    tls: TlsSettings | None = None


class StatusSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the HTTP status server."""

    host: Host
    port: Port


class PeersSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Address on which other proxies connect, and the keys that all proxies share.

    The first key signs; every key is accepted. With two keys, a key can be rotated
    without an outage.
    """

    host: _ReachableHost
    port: Port
    keys: Annotated[
        tuple[_Key, ...],
        Meta(min_length=1, max_length=2, extra={"wanted": "1 or 2 keys"}),
    ]
    heartbeat_port: Port = 0
    """Port for heartbeats on the same address; announced to the other proxies."""

    def __rich_repr__(self) -> Iterator[tuple[str, Any]]:
        return hide_fields(self, "keys")

    def __repr__(self) -> str:
        fields = ", ".join(f"{k}={v!r}" for k, v in self.__rich_repr__())
        return f"PeersSettings({fields})"


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses (``ip:port``) of the platform's key-value service."""

    endpoints: Annotated[tuple[_Address, ...], Meta(min_length=1)]


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that protect the proxy itself."""

    message_bytes: Annotated[int, Meta(ge=1024, le=1 << 30)] = 16 << 20
    """Largest message that a client may send, in bytes."""
    login_timeout_s: Annotated[float, Meta(ge=0.1, le=300)] = 10.0
    """Maximum time from connecting to the end of the login."""
    drain_notice_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    """Time for which a draining proxy reports not ready but accepts connections."""
    drain_limit_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    """Maximum time for open work to finish after the notice."""


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one proxy."""

    vm: Name
    zone: Name
    listen: ListenSettings
    status: StatusSettings
    peers: PeersSettings
    store: StoreSettings | None = None
    groups: tuple[GroupRecord, ...] | None = None
    """Static groups, for trying the proxy without the platform."""
    contracts: tuple[Contract, ...] | None = None
    """Static contracts, for trying the proxy without the platform. An entry in the file
    is a path relative to the settings file, or a whole contract."""
    connection_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    """Fraction of each endpoint's connections that this proxy may hold with static
    groups. With a store, a home proxy holds half of them."""
    limits: LimitSettings = LimitSettings()
    log_level: Annotated[
        str,
        Meta(
            pattern=r"\A(debug|info|warning|error)\Z",
            extra={"wanted": "one of debug, info, warning, error"},
        ),
    ] = "info"


class SettingsError(DocumentError):
    """The settings are invalid; `problems` lists the reasons by field."""


class _EndpointRules(msgspec.Struct):
    """Constraints on `EndpointRecord` in a settings file."""

    name: Name
    host: _ReachableHost
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: Name
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 20
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 3
    leaving: bool = False


class _GroupRules(msgspec.Struct):
    """Constraints on `GroupRecord` in a settings file."""

    name: Name
    term: Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
    primary: Name
    endpoints: Annotated[tuple[EndpointRecord, ...], Meta(min_length=1)]
    promotion: Annotated[
        str,
        Meta(
            pattern=r"\A(majority|single)\Z",
            extra={"wanted": "one of majority, single"},
        ),
    ] = "majority"


register_rules(EndpointRecord, _EndpointRules)
register_rules(GroupRecord, _GroupRules)


def load_settings(path: str | Path) -> ProxySettings:
    """Read and check a settings file; raises `SettingsError` with all problems."""
    path = Path(path)
    try:
        return parse_settings(read_file(path), directory=path.parent)
    except DocumentError as error:
        raise SettingsError(error.problems) from None


def parse_settings(text: str, *, directory: Path) -> ProxySettings:
    """Parse settings; relative paths in them are resolved against `directory`.

    Raises `DocumentError` with all problems.
    """
    document = parse_document(text)
    values = document.values
    problems: list[Problem] = []
    if isinstance(values, dict):
        values = dict(values)
        if isinstance(values.get("contracts"), list):
            problems += _read_contracts(values, directory)
        if isinstance(values.get("listen"), dict):
            problems += _resolve_tls(values, directory)
    problems = find_problems(ProxySettings, values) + problems
    if problems:
        raise DocumentError(document.locate(problems))
    return msgspec.convert(values, ProxySettings)


def _read_contracts(values: dict[str, Any], directory: Path) -> list[Problem]:
    """Replace the contract paths in `values` by the contents of the files."""
    problems: list[Problem] = []
    contracts: list[Any] = []
    for index, item in enumerate(values["contracts"]):
        field_path = f"contracts[{index}]"
        if not isinstance(item, str):
            problems += find_problems(Contract, item, field_path)
            contracts.append(item)
            continue
        try:
            contract = parse_contract(read_file(directory / item))
            contracts.append(msgspec.json.decode(dump_contract(contract)))
        except DocumentError as error:
            problems += [
                _problem_in_file(field_path, item, problem)
                for problem in error.problems
            ]
    # Contracts are checked against each other only if all of them are valid.
    values["contracts"] = [] if problems else contracts
    return problems


def _problem_in_file(field_path: str, name: str, problem: Problem) -> Problem:
    where = problem.field_path or "document"
    if problem.line is not None:
        where = f"{where} (line {problem.line})"
    return Problem(
        field_path, f"{printable(name)}: {where}: {problem.message}", problem.remedy
    )


def _resolve_tls(values: dict[str, Any], directory: Path) -> list[Problem]:
    """Make the paths of the TLS files absolute and check that the files load."""
    tls = values["listen"].get("tls")
    if not isinstance(tls, dict):
        return []
    paths = {name: tls.get(name) for name in ("certificate", "key")}
    if not all(isinstance(name, str) and name for name in paths.values()):
        return []
    paths = {name: str((directory / text).absolute()) for name, text in paths.items()}
    values["listen"] = {**values["listen"], "tls": {**tls, **paths}}
    missing = [
        Problem(
            f"listen.tls.{name}", f"{printable(path)} is not a file", "check the path"
        )
        for name, path in paths.items()
        if not Path(path).is_file()
    ]
    return missing or list(_check_certificate(paths["certificate"], paths["key"]))


def _check_certificate(certificate: str, key: str) -> Iterator[Problem]:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        # Without a password callback, OpenSSL prompts on the terminal.
        context.load_cert_chain(certificate, key, password=lambda: "")
    except (OSError, ValueError) as error:
        message = f"the certificate and key cannot be loaded: {error}"
        remedy = "give PEM files that belong together, the key without a password"
        yield Problem("listen.tls", message, remedy)


@cross_check(ProxySettings)
def _check_settings(fields: Mapping[str, Any]) -> Iterator[Problem]:
    yield from _check_sources(fields)
    yield from _check_ports(fields)
    groups, contracts = fields.get("groups"), fields.get("contracts")
    yield from _check_duplicates("groups", [group.name for group in groups or ()])
    names = [contract.customer for contract in contracts or ()]
    yield from _check_duplicates("contracts", names)
    if groups is None or contracts is None:
        return
    for index, contract in enumerate(contracts):
        # Only earlier contracts are considered, so that a conflict is reported once.
        for problem in check_against(contract, contracts[:index], groups):
            field_path = f"contracts[{index}].{problem.field_path}"
            yield Problem(field_path, problem.message, problem.remedy)


def _check_sources(fields: Mapping[str, Any]) -> Iterator[Problem]:
    """Check that groups and contracts come from either the platform or the file."""
    if "store" not in fields:
        return
    for name in ("groups", "contracts"):
        if fields["store"] is None and fields.get(name, ()) is None:
            message = "is missing, and there is no store to take it from"
            yield Problem(name, message, "add store, or groups and contracts")
        if fields["store"] is not None and fields.get(name) is not None:
            message = "is given together with store, which holds the same"
            yield Problem(name, message, f"remove {name} or store")


def _check_ports(fields: Mapping[str, Any]) -> Iterator[Problem]:
    seen: dict[int, tuple[str, str]] = {}
    for name in ("listen", "status", "peers"):
        section = fields.get(name)
        if section is None or section.port == 0:
            continue
        other, host = seen.setdefault(section.port, (name, section.host))
        wildcard = any(ip_address(h).is_unspecified for h in (host, section.host))
        if other != name and (host == section.host or wildcard):
            message = f"{section.port} is also the port of {other}"
            yield Problem(f"{name}.port", message, "give another port")


def _check_duplicates(field_path: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            message = f"{name} is given twice"
            yield Problem(f"{field_path}[{index}]", message, "remove one of them")
        seen.add(name)


@cross_check(PeersSettings)
def _check_keys(fields: Mapping[str, Any]) -> Iterator[Problem]:
    keys = fields.get("keys", ())
    if len(set(keys)) < len(keys):
        yield Problem("keys[1]", "is the same as the first key", "remove one of them")


@cross_check(GroupRecord)
def _check_group(fields: Mapping[str, Any]) -> Iterator[Problem]:
    if "endpoints" not in fields:
        return
    names = [endpoint.name for endpoint in fields["endpoints"]]
    yield from _check_duplicates("endpoints", names)
    if "primary" in fields and fields["primary"] not in names:
        message = f"{fields['primary']} is not an endpoint of the group"
        yield Problem("primary", message, f"give one of {', '.join(names)}")


def describe_document(text: str) -> str:
    """Classify a document as ``contract``, ``settings`` or ``unknown``.

    The kind that shares more top-level keys with the document wins. Raises
    `DocumentError` if the text is not JSON.
    """
    document: Document = parse_document(text)
    keys = set(document.values) if isinstance(document.values, dict) else set()
    contract = len(keys & set(Contract.__struct_fields__))
    settings = len(keys & set(ProxySettings.__struct_fields__))
    if contract == settings:
        return "unknown"
    return "contract" if contract > settings else "settings"
