"""Logins and sessions: who may connect, to which database, under which contract."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from celeryjunction.contract import Contract, parse_user
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.ports import Clock, Login
from celeryjunction.service import GroupService
from celeryjunction.session import Observer, Session
from celeryjunction.shapes import ShapeCache

IGNORED_OPTIONS = frozenset(
    {"application_name", "client_encoding", "replication", "fallback_application_name"}
)


class ContractSource(Protocol):
    """Source of the contracts in force."""

    def contract(self, customer: str) -> Contract | None:
        """Return the customer's contract, or None if there is none."""
        ...


class StaticContracts:
    """Contracts from the settings file."""

    __slots__ = ("_contracts",)

    def __init__(self, contracts: tuple[Contract, ...]) -> None:
        self._contracts = {contract.customer: contract for contract in contracts}

    def contract(self, customer: str) -> Contract | None:
        """Return the customer's contract, or None if there is none."""
        return self._contracts.get(customer)


class Sessions:
    """Opens sessions and tracks the open ones. Implements `SessionFactory`."""

    def __init__(
        self,
        *,
        contracts: ContractSource,
        group: Callable[[str], GroupService | None],
        clock: Clock,
        observe: Observer,
    ) -> None:
        self._contracts = contracts
        self._group = group
        self._clock = clock
        self._observe = observe
        self._shapes = ShapeCache(clock=clock)
        self._open_sessions: set[Session] = set()
        self._draining = False

    @property
    def count(self) -> int:
        """Number of open sessions."""
        return len(self._open_sessions)

    @property
    def busy_count(self) -> int:
        """Number of sessions with a running statement or an open transaction."""
        return sum(1 for session in self._open_sessions if session.is_busy)

    def start_draining(self) -> None:
        """Refuse new sessions from now on."""
        self._draining = True

    def verifier(self, user: str) -> str | None:
        """Return the SCRAM verifier of a login name; None for an unknown customer."""
        customer, _ = parse_user(user)
        contract = self._contracts.contract(customer)
        return contract.verifier if contract is not None else None

    async def open(self, login: Login) -> Session:
        """Open a session; raise `ProxyError` with the reason for a refused login."""
        if self._draining:
            raise ProxyError(ErrorKind.SHUTTING_DOWN)
        customer, work_name = parse_user(login.user)
        contract = self._contracts.contract(customer)
        if contract is None:
            raise ProxyError(ErrorKind.NO_CONTRACT, {"customer": customer})
        if work_name is not None and work_name not in contract.work:
            raise ProxyError(ErrorKind.NO_CONTRACT, {"customer": login.user})
        group = self._group(login.database)
        if group is None or login.database not in contract.databases:
            raise ProxyError(ErrorKind.UNKNOWN_DATABASE, {"database": login.database})
        session = Session(
            group=group,
            contract=lambda: self._contracts.contract(customer),
            customer=customer,
            work_name=work_name,
            shapes=self._shapes,
            clock=self._clock,
            on_close=self._open_sessions.discard,
            observe=self._observe,
        )
        session.apply_options(
            {k: v for k, v in login.options.items() if k not in IGNORED_OPTIONS}
        )
        self._open_sessions.add(session)
        return session
