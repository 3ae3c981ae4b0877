"""Admits operations of organisations within their limits, jointly with the other VMs.

await allotments.admit(organisation, deadline=arrived + 1.0)  # or ProxyError
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random

from celeryjunction.allotments.account import Account, Refused
from celeryjunction.allotments.bound import QuotaBound
from celeryjunction.allotments.holder_link import Connect, HolderLink, connect_frames
from celeryjunction.allotments.share_leases import ShareLeases
from celeryjunction.allotments.share_rules import (
    SHARE_PREFIX,
    decode_entry,
    share_number,
)
from celeryjunction.allotments.shares import Borrowed, HeldShares
from celeryjunction.decoding import parse_address
from celeryjunction.errors import ErrorKind, ProxyError
from celeryjunction.follower import PrefixFollower
from celeryjunction.gateway.organisations import Organisation
from celeryjunction.gateway.routes import RouteTable
from celeryjunction.membership import VmRecord
from celeryjunction.metrics import Metrics
from celeryjunction.ports import Clock, KeyValueStore, WatchEvent
from celeryjunction.relay.messages import AskTokens, Tokens
from celeryjunction.store_history import StoreHistory

MAINTENANCE_S = 0.5
"""Interval at which idle links are closed and the holders' addresses looked up."""


class Allotments:
    """Limits of organisations at one VM: its shares, and links to the other holders.

    `vms` returns all VMs, this one included, and is empty while they are not known.
    `may_hold` returns whether this VM may hold shares. `bound` returns the bound on
    the operations in a window.
    """

    def __init__(
        self,
        store: KeyValueStore,
        *,
        own: VmRecord,
        vms: Callable[[], Mapping[str, VmRecord]],
        may_hold: Callable[[], bool],
        bound: Callable[[], QuotaBound],
        history: StoreHistory,
        metrics: Metrics,
        clock: Clock,
        random: Random,
        connect: Connect = connect_frames,
    ) -> None:
        self._own = own
        self._vms = vms
        self._metrics = metrics
        self._clock = clock
        self._bound = bound
        self._connect = connect
        self._limits: dict[str, Organisation] = {}
        self._accounts: dict[str, Account] = {}
        self._links: dict[str, HolderLink] = {}
        self._holders: dict[int, str] = {}
        """VMs that hold the shares, as last seen in the store."""
        self._ordered: list[HolderLink] | None = None
        """Links in the order in which holders are asked; None if it may be outdated."""
        self._held = HeldShares()
        self._follower = PrefixFollower(store, SHARE_PREFIX, clock=clock, random=random)
        self._follower.subscribe(self._apply_change)
        self._leases = ShareLeases(
            store,
            own=own,
            shares=self._held,
            follower=self._follower,
            vms=vms,
            is_wanted=lambda: bool(self._limits) and may_hold(),
            bound=bound,
            history=history,
            clock=clock,
        )

    def apply_routes(self, table: RouteTable) -> None:
        """Put the limits of newer routes in force, at the held shares too."""
        organisations = table.organisations or ()
        self._limits = {one.name: one for one in organisations if one.is_limited}
        self._held.apply_limits(self._limits, self._bound(), self._clock.monotonic())
        for name, account in list(self._accounts.items()):
            limit = self._limits.get(name)
            if limit is None:
                account.close()
                del self._accounts[name]
            else:
                account.organisation = limit

    async def run(self) -> None:
        """Hold shares and maintain the links until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._follower.run())
            tasks.create_task(self._leases.run())
            tasks.create_task(self._maintain())

    async def close(self) -> None:
        """Give up all shares and close the links; call after `run` has ended."""
        for account in self._accounts.values():
            account.close()
        for link in self._links.values():
            link.close()
        self._links.clear()
        await self._leases.give_up()

    # Operations of this VM

    async def admit(self, organisation: Organisation, *, deadline: float) -> None:
        """Take a token for an operation; raises `ProxyError` if none is left.

        Returns without awaiting if a token is at hand. `deadline` is the time until
        which the operation may wait, in seconds of the clock.
        """
        account = self._accounts.get(organisation.name)
        if account is None:
            account = self._add_account(organisation)
        if not account.take():
            try:
                await account.wait(deadline=deadline)
            except Refused as refusal:
                self._metrics.count(
                    "allotment_refused",
                    organisation=organisation.name,
                    reason=str(refusal),
                )
                raise ProxyError(
                    ErrorKind.NOT_RUN_ALLOTMENT,
                    {"organisation": organisation.name, "reason": str(refusal)},
                ) from None
        self._metrics.count("allotment_admitted", organisation=organisation.name)

    def _add_account(self, organisation: Organisation) -> Account:
        account = Account(
            organisation,
            shares=self._held,
            links=self._ordered_links,
            clock=self._clock,
        )
        self._accounts[organisation.name] = account
        return account

    def _ordered_links(self) -> list[HolderLink]:
        """Return links to the other holders: first that in this VM's zone."""
        if self._ordered is not None:
            return self._ordered
        vms = self._vms()
        names = {
            name: vms[name].zone != self._own.zone
            for _, name in sorted(self._holders.items())
            if name != self._own.name and name in vms
        }
        links = []
        for name in sorted(names, key=names.__getitem__):
            address = parse_address(vms[name].peer_address)
            if address is not None:
                links.append(self._link(name, address))
        self._ordered = links
        return links

    def _link(self, vm: str, address: tuple[str, int]) -> HolderLink:
        link = self._links.get(vm)
        if link is not None and link.address != address:
            link.close()
            link = None
        if link is None:
            link = self._links[vm] = HolderLink(
                vm, address, clock=self._clock, connect=self._connect
            )
        return link

    # Requests of other VMs

    def grant(self, message: AskTokens, borrower: dict[str, Borrowed]) -> Tokens:
        """Answer another VM's request.

        `borrower` holds the last loans on its connection, by organisation.
        """
        now = self._clock.monotonic()
        granted: dict[str, float] = {}
        for name, (wanted, returned) in message.organisations.items():
            organisation = self._limits.get(name)
            if organisation is None:
                continue
            borrowed = borrower.setdefault(name, Borrowed())
            if returned:
                borrowed.take_back(returned, now)
            if wanted:
                granted[name] = self._held.lend(organisation, wanted, borrowed, now)
        return Tokens(message.number, granted)

    # Holders and links

    def _apply_change(self, event: WatchEvent) -> None:
        self._ordered = None
        number = share_number(event.key)
        if number is None:
            return
        entry = decode_entry(event.value)
        if entry is None:
            self._holders.pop(number, None)
        else:
            self._holders[number] = entry.vm

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_S)
            self._ordered = None
            vms = self._vms()
            for name, link in list(self._links.items()):
                if link.is_idle or name not in vms:
                    link.close()
                    del self._links[name]
