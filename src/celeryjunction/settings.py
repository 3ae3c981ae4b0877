"""Settings of the proxy daemon: a file of JSON with comments.

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
    check_as,
    cross_check,
    find_problems,
    hide_fields,
    parse_document,
    printable,
    read_file,
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


def _fault_of_host(text: str) -> str | None:
    try:
        ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP address"
    return None


def _fault_of_reachable_host(text: str) -> str | None:
    fault = _fault_of_host(text)
    if fault is None and ip_address(text).is_unspecified:
        return f"{text} is not an address that others can reach"
    return fault


def split_address(text: str) -> tuple[str, int]:
    """Split ``ip:port`` or ``[ipv6]:port``; raises `ValueError` for another form."""
    host, colon, port = text.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit() and len(port) <= 5):
        raise ValueError(f"{text!r} is not an IP address and a port")
    bracketed = host.startswith("[") and host.endswith("]")
    address = ip_address(host[1:-1] if bracketed else host)
    if bracketed != (address.version == 6) or not 1 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not an IP address and a port")
    return str(address), int(port)


def _fault_of_address(text: str) -> str | None:
    try:
        split_address(text)
    except ValueError:
        return f"{text!r} is not an IP address and a port"
    return None


_IP = {"wanted": "an IP address, such as 127.0.0.1"}
Host = Annotated[str, Meta(extra={**_IP, "check": _fault_of_host})]
_ReachableHost = Annotated[str, Meta(extra={**_IP, "check": _fault_of_reachable_host})]
Port = Annotated[int, Meta(ge=0, le=65535)]
_Address = Annotated[
    str,
    Meta(
        extra={
            "wanted": "an IP address and port, such as 127.0.0.1:2379 or [::1]:2379",
            "check": _fault_of_address,
        }
    ),
]
# The key travels in an HTTP header, which takes printable ASCII without spaces.
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
    """Where clients connect. Port 0 takes any free port."""

    host: Host
    port: Port
    reuse_port: bool = False
    """Whether several proxy processes of one VM share the port."""
    tls: TlsSettings | None = None


class StatusSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where status is served over HTTP."""

    host: Host
    port: Port


class PeersSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where other proxies connect, and the keys that they share.

    The first key signs; every key is accepted. Two keys let the key be replaced
    without an outage.
    """

    host: _ReachableHost
    port: Port
    keys: Annotated[
        tuple[_Key, ...],
        Meta(min_length=1, max_length=2, extra={"wanted": "1 or 2 keys"}),
    ]
    heartbeat_port: Port = 0
    """Port for heartbeats, on the same address; it is announced to the others."""

    def __rich_repr__(self) -> Iterator[tuple[str, Any]]:
        return hide_fields(self, "keys")

    def __repr__(self) -> str:
        fields = ", ".join(f"{k}={v!r}" for k, v in self.__rich_repr__())
        return f"PeersSettings({fields})"


class StoreSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's key-value service: addresses ``ip:port``."""

    endpoints: Annotated[tuple[_Address, ...], Meta(min_length=1)]


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that protect the proxy itself."""

    message_bytes: Annotated[int, Meta(ge=1024, le=1 << 30)] = 16 << 20
    """Largest message of a client, bytes."""
    login_timeout_s: Annotated[float, Meta(ge=0.1, le=300)] = 10.0
    """Time from connecting to a complete login."""
    drain_notice_s: Annotated[float, Meta(ge=0, le=600)] = 5.0
    """Time that a stopping proxy is not ready but still takes connections."""
    drain_limit_s: Annotated[float, Meta(ge=0, le=3600)] = 30.0
    """Time that open work has to finish after the notice."""


class ProxySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of one proxy."""

    vm: Name
    zone: Name
    listen: ListenSettings
    status: StatusSettings
    peers: PeersSettings
    store: StoreSettings | None = None
    groups: tuple[GroupRecord, ...] | None = None
    """Static groups, to try the proxy without the platform."""
    contracts: tuple[Contract, ...] | None = None
    """Static contracts, to try the proxy without the platform. The file lists paths
    (relative to the settings file) or whole contracts."""
    connection_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    """Part of each endpoint's connections that this proxy may hold with static groups.
    With a store, a home proxy holds half of them."""
    limits: LimitSettings = LimitSettings()
    log_level: Annotated[
        str,
        Meta(
            pattern=r"\A(debug|info|warning|error)\Z",
            extra={"wanted": "one of debug, info, warning, error"},
        ),
    ] = "info"


class SettingsError(DocumentError):
    """The settings cannot be used; `problems` says why, field by field."""


class _EndpointRules(msgspec.Struct):
    """Limits of `EndpointRecord` in a settings file."""

    name: Name
    host: _ReachableHost
    port: Annotated[int, Meta(ge=1, le=65535)]
    zone: Name
    connections: Annotated[int, Meta(ge=1, le=10_000)] = 20
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 3
    leaving: bool = False


class _GroupRules(msgspec.Struct):
    """Limits of `GroupRecord` in a settings file."""

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


check_as(EndpointRecord, _EndpointRules)
check_as(GroupRecord, _GroupRules)


def load_settings(path: str | Path) -> ProxySettings:
    """Read and check a settings file; raises `SettingsError` with all problems."""
    path = Path(path)
    try:
        return parse_settings(read_file(path), directory=path.parent)
    except DocumentError as error:
        raise SettingsError(error.problems) from None


def parse_settings(text: str, *, directory: Path) -> ProxySettings:
    """Return the settings of a document; paths in it are relative to `directory`.

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
    """Replace the paths in `values` by the contracts that the files hold."""
    problems: list[Problem] = []
    contracts: list[Any] = []
    for index, item in enumerate(values["contracts"]):
        place = f"contracts[{index}]"
        if not isinstance(item, str):
            problems += find_problems(Contract, item, place)
            contracts.append(item)
            continue
        try:
            contract = parse_contract(read_file(directory / item))
            contracts.append(msgspec.json.decode(dump_contract(contract)))
        except DocumentError as error:
            problems += [_in_file(place, item, problem) for problem in error.problems]
    # Checks between contracts need all of them.
    values["contracts"] = [] if problems else contracts
    return problems


def _in_file(place: str, name: str, problem: Problem) -> Problem:
    where = problem.place or "document"
    if problem.line is not None:
        where = f"{where} (line {problem.line})"
    return Problem(
        place, f"{printable(name)}: {where}: {problem.message}", problem.remedy
    )


def _resolve_tls(values: dict[str, Any], directory: Path) -> list[Problem]:
    """Make the paths of the TLS files absolute and try to load them."""
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
    return missing or list(_try_certificate(paths["certificate"], paths["key"]))


def _try_certificate(certificate: str, key: str) -> Iterator[Problem]:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        # Without a password function, OpenSSL would ask on the terminal.
        context.load_cert_chain(certificate, key, password=lambda: "")
    except (OSError, ValueError) as error:
        message = f"the certificate and key cannot be loaded: {error}"
        remedy = "give PEM files that belong together, the key without a password"
        yield Problem("listen.tls", message, remedy)


@cross_check(ProxySettings)
def _check_settings(parts: Mapping[str, Any]) -> Iterator[Problem]:
    yield from _check_sources(parts)
    yield from _check_ports(parts)
    groups, contracts = parts.get("groups"), parts.get("contracts")
    yield from _check_names("groups", [group.name for group in groups or ()])
    names = [contract.customer for contract in contracts or ()]
    yield from _check_names("contracts", names)
    if groups is None or contracts is None:
        return
    for index, contract in enumerate(contracts):
        # Against the earlier ones only, so that each conflict is reported once.
        for problem in check_against(contract, contracts[:index], groups):
            place = f"contracts[{index}].{problem.place}"
            yield Problem(place, problem.message, problem.remedy)


def _check_sources(parts: Mapping[str, Any]) -> Iterator[Problem]:
    """Check that groups and contracts come from the platform or from the file."""
    if "store" not in parts:
        return
    for name in ("groups", "contracts"):
        if parts["store"] is None and parts.get(name, ()) is None:
            message = "is missing, and there is no store to take it from"
            yield Problem(name, message, "add store, or groups and contracts")
        if parts["store"] is not None and parts.get(name) is not None:
            message = "is given together with store, which holds the same"
            yield Problem(name, message, f"remove {name} or store")


def _check_ports(parts: Mapping[str, Any]) -> Iterator[Problem]:
    seen: dict[int, tuple[str, str]] = {}
    for name in ("listen", "status", "peers"):
        part = parts.get(name)
        if part is None or part.port == 0:
            continue
        other, host = seen.setdefault(part.port, (name, part.host))
        anywhere = any(ip_address(h).is_unspecified for h in (host, part.host))
        if other != name and (host == part.host or anywhere):
            message = f"{part.port} is also the port of {other}"
            yield Problem(f"{name}.port", message, "give another port")


def _check_names(place: str, names: Iterable[str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            message = f"{name} is given twice"
            yield Problem(f"{place}[{index}]", message, "remove one of them")
        seen.add(name)


@cross_check(PeersSettings)
def _check_keys(parts: Mapping[str, Any]) -> Iterator[Problem]:
    keys = parts.get("keys", ())
    if len(set(keys)) < len(keys):
        yield Problem("keys[1]", "is the same as the first key", "remove one of them")


@cross_check(GroupRecord)
def _check_group(parts: Mapping[str, Any]) -> Iterator[Problem]:
    if "endpoints" not in parts:
        return
    names = [endpoint.name for endpoint in parts["endpoints"]]
    yield from _check_names("endpoints", names)
    if "primary" in parts and parts["primary"] not in names:
        message = f"{parts['primary']} is not an endpoint of the group"
        yield Problem("primary", message, f"give one of {', '.join(names)}")


def describe_document(text: str) -> str:
    """Say whether a document is a ``contract``, ``settings`` or ``unknown``.

    The keys that only one of them has decide. Raises `DocumentError` when the text
    is not JSON.
    """
    document: Document = parse_document(text)
    keys = set(document.values) if isinstance(document.values, dict) else set()
    contract = len(keys & set(Contract.__struct_fields__))
    settings = len(keys & set(ProxySettings.__struct_fields__))
    if contract == settings:
        return "unknown"
    return "contract" if contract > settings else "settings"
