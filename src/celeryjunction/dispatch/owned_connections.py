"""Decides which idle connection a statement reuses, and which makes way for a new one.

Answers the load of many organisations of very uneven size on fewer connections than
there are organisations. A connection serves only the owner that it named when it was
opened, and opening one takes 12 ms of an endpoint's slot, as much as a statement. The
connection that is closed is therefore the one whose next use is probably furthest away:
the least recently used one of those that its owner has beside others, and an owner's
last one by how often the owner uses it. In a trial with 87 organisations, 120
statements/s and 3 endpoints of 22 connections, this order opened 0.125 connections a
statement. The least recently used one first, except the last one of an owner with 4
times the uses of the one that needs another, opened 0.153.

An owner with many clients or long transactions gets at most a third of the connections
while others need some, so that it alone waits.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import exp

from celeryjunction.replication.ports import EndpointLink

OWNER_DIVISOR = 3
"""One owner has at most one connection in this many while others need some."""
NEED_S = 3.0
"""Others need connections for this long after they used or waited for one: a pinned
connection may stay idle in its transaction for 3 s."""
PINNABLE_DIVISOR = 3
"""One connection in this many is reserved for statements outside transactions, since a
transaction may hold its connection idle for up to 3 s."""
DECAY_INTERVAL_S = 0.1
"""The count decays in steps of this, an error of 1%."""
RATE_TIME_CONSTANT_S = 10.0
"""Time constant of the decaying count of an owner's uses. The smallest of 87
organisations uses an endpoint every few seconds."""
FORGET_AFTER_S = 60.0
"""An owner without connections is forgotten this long after its last use, when less
than 1% of its count is left."""


class OwnerRecord:
    """The connections of one owner to one endpoint, and how often it uses them.

    `idle` holds connections and since when they are idle, in that order.
    """

    __slots__ = (
        "_counted_at",
        "_uses",
        "held",
        "idle",
        "pinned",
        "promised",
        "used_at",
    )

    def __init__(self) -> None:
        self.idle: list[tuple[EndpointLink, float]] = []
        self.held = 0
        """Connections that are open or being opened."""
        self.pinned = 0
        """Connections held by open transactions."""
        self.promised = 0
        """Statements that left the queue and have not taken a connection yet."""
        self.used_at = 0.0
        self._uses = 0.0
        self._counted_at = 0.0

    def record_use(self, now: float) -> None:
        """Record that a statement takes a connection."""
        self.used_at = now
        if now - self._counted_at > DECAY_INTERVAL_S:
            self._uses = self.uses_per_s(now) * RATE_TIME_CONSTANT_S
            self._counted_at = now
        self._uses += 1.0

    def uses_per_s(self, now: float) -> float:
        """Return the recent rate of statements, as a decaying mean."""
        decay = exp((self._counted_at - now) / RATE_TIME_CONSTANT_S)
        return self._uses * decay / RATE_TIME_CONSTANT_S

    def value(self, idle_since: float, now: float) -> float:
        """Return the expected uses per second of an idle connection.

        One that the owner has beside others is used only when those are busy, which
        was last when it became idle.
        """
        rate = self.uses_per_s(now)
        return rate if self.held == 1 else min(rate, 1 / max(now - idle_since, 1e-3))


class OwnedConnections:
    """The connections of this VM to one endpoint by owner; times are seconds.

    ```python
    connections = OwnedConnections(max_links=22)
    connections.may_open("bode", now)      # True: there is room
    connections.take("bode", {}, now)      # None: none of its own is idle
    connections.make_room(now)             # False: nothing had to be closed
    connections.add("bode")                # counted as open from now on
    connections.put(link, now)             # idle, for the next statement
    ```
    """

    __slots__ = (
        "_last_need",
        "_other_need",
        "_records",
        "idle_count",
        "links",
        "max_links",
        "pinned",
        "promised",
    )

    def __init__(self, *, max_links: int) -> None:
        self.max_links = max_links
        self.links = 0
        """Connections that are open or being opened."""
        self.idle_count = 0
        self.promised = 0
        self.pinned = 0
        self._records: dict[str, OwnerRecord] = {}
        self._last_need = "", float("-inf")
        """The owner that used or waited for a connection last, and when."""
        self._other_need = "", float("-inf")
        """The same of the last owner before it."""

    def __rich_repr__(self) -> Iterator[tuple[str, object]]:
        yield "links", self.links
        yield "idle", self.idle_count
        yield "owners", len(self._records)

    @property
    def idle(self) -> list[tuple[EndpointLink, float]]:
        """All idle connections and since when, the least recently used first."""
        entries = [entry for record in self._records.values() for entry in record.idle]
        return sorted(entries, key=lambda entry: entry[1])

    @property
    def owner_limit(self) -> int:
        """Connections that one owner may have while others need some."""
        return max(1, self.max_links // OWNER_DIVISOR)

    def record(self, owner: str) -> OwnerRecord:
        """Return what is known about an owner."""
        record = self._records.get(owner)
        if record is None:
            record = self._records[owner] = OwnerRecord()
        return record

    def has_idle(self, owner: str) -> bool:
        """Whether an idle connection of the owner is free for another statement."""
        record = self._records.get(owner)
        return (
            record is not None
            and len(record.idle) > record.promised
            and self.idle_count > self.promised
        )

    def uses_per_s(self, owner: str, now: float) -> float:
        """Return the recent rate of an owner's statements."""
        record = self._records.get(owner)
        return record.uses_per_s(now) if record is not None else 0.0

    # Decisions

    def may_open(self, owner: str, now: float, *, beside: bool = True) -> bool:
        """Whether a connection may be opened, `beside` others or only for another.

        An owner at its limit opens one beside those of others, but not in the place of
        one while they need it.
        """
        free = self.idle_count - self.promised
        if self.links - free >= self.max_links:
            return False
        if beside and self.links < self.max_links:
            return True
        return free > 0 and not self._is_limited(owner, now)

    def may_pin(self, owner: str, now: float) -> bool:
        """Whether another transaction of the owner may pin a connection."""
        if self.pinned >= self.max_links - self.max_links // PINNABLE_DIVISOR:
            return False
        record = self._records.get(owner)
        if record is None or record.pinned < self.owner_limit:
            return True
        return not self._others_need(owner, now)

    def _is_limited(self, owner: str, now: float) -> bool:
        record = self._records.get(owner)
        at_limit = record is not None and record.held >= self.owner_limit
        return at_limit and self._others_need(owner, now)

    def _others_need(self, owner: str, now: float) -> bool:
        last_owner, last_at = self._last_need
        needed_at = last_at if last_owner != owner else self._other_need[1]
        return now - needed_at <= NEED_S

    def record_need(self, owner: str, now: float) -> None:
        """Record that an owner uses, or waits for, a connection."""
        if owner != self._last_need[0]:
            self._other_need = self._last_need
        self._last_need = owner, now

    def take(
        self, owner: str, values: dict[bytes, bytes], now: float
    ) -> EndpointLink | None:
        """Take an idle connection of the owner, if possible with these values.

        The most recently used one is preferred, so that the others can be closed. None
        if the owner has none; broken ones are closed.
        """
        self.record_need(owner, now)
        record = self._records.get(owner) or self.record(owner)
        record.record_use(now)
        idle = record.idle
        if idle:
            link = idle[-1][0]
            if link.values == values and link.usable:
                idle.pop()
                self.idle_count -= 1
                return link
        self.drop_broken(owner)
        if not idle:
            return None
        matching = (
            n for n in reversed(range(len(idle))) if idle[n][0].values == values
        )
        self.idle_count -= 1
        return idle.pop(next(matching, -1))[0]

    def make_room(self, now: float, *, beside: bool = True) -> bool:
        """Close the idle connection of least value if a new one must replace another.

        Returns whether one was closed.
        """
        if beside and self.links < self.max_links:
            return False
        limit = self.owner_limit
        best: tuple[tuple[bool, bool, float], tuple[EndpointLink, float]] | None = None
        for record in self._records.values():
            if len(record.idle) > record.promised:
                entry = record.idle[0]
                within = record.held <= limit
                key = (entry[0].usable, within, record.value(entry[1], now))
                if best is None or key < best[0]:
                    best = key, entry
        if best is None:
            return False
        self._close(best[1])
        return True

    def close_idle(
        self,
        now: float,
        *,
        older_than: float,
        resting_links: int,
        resting_idle_s: float,
        keep: int = 0,
    ) -> None:
        """Close what is broken, idle for `older_than` seconds, or in excess at rest.

        While there are more than `resting_links`, those that are idle for
        `resting_idle_s` are closed, the least valuable first. The `keep` oldest ones
        stay open.
        """
        entries = self.idle
        kept = sorted(entries, key=lambda entry: entry[0].opened_at)[:keep]
        for entry in entries:
            if not entry[0].usable or (
                entry not in kept and now - entry[1] > older_than
            ):
                self._close(entry)
        if self.links > resting_links:
            self._close_surplus(now, resting_links, resting_idle_s, kept)
        self._forget_owners(now)

    def _close_surplus(
        self,
        now: float,
        resting_links: int,
        resting_idle_s: float,
        kept: list[tuple[EndpointLink, float]],
    ) -> None:
        surplus = [
            entry
            for entry in self.idle
            if entry not in kept and now - entry[1] > resting_idle_s
        ]
        for entry in sorted(surplus, key=lambda entry: self._order_at_rest(entry, now)):
            if self.links <= resting_links:
                return
            self._close(entry)

    def _order_at_rest(self, entry: tuple[EndpointLink, float], now: float) -> float:
        """Return a number that is lower for connections that are closed sooner."""
        link, since = entry
        if len(self._records) == 1:
            return link.opened_at
        return self._records[link.owner].value(since, now)

    def _forget_owners(self, now: float) -> None:
        for owner, record in list(self._records.items()):
            in_use = record.held or record.promised or record.pinned
            if not in_use and now - record.used_at > FORGET_AFTER_S:
                del self._records[owner]

    # Accounting

    def add(self, owner: str) -> None:
        """Count a connection that is being opened, or was taken over."""
        self.links += 1
        self.record(owner).held += 1

    def remove(self, owner: str) -> None:
        """Stop counting a connection that is not idle."""
        self.links -= 1
        self.record(owner).held -= 1

    def put(self, link: EndpointLink, now: float) -> None:
        """Add a connection to the idle ones."""
        self.record(link.owner).idle.append((link, now))
        self.idle_count += 1

    def promise(self, owner: str, count: int = 1) -> None:
        """Reserve a connection for a statement that left the queue, or undo it."""
        self.promised += count
        self.record(owner).promised += count

    def pin(self, owner: str, count: int = 1) -> None:
        """Count a connection that a transaction holds, or undo it."""
        self.pinned += count
        self.record(owner).pinned += count

    def lend(self) -> EndpointLink | None:
        """Take the idle connection that was opened first, of any owner."""
        self.drop_broken()
        if not self.idle_count:
            return None
        entry = min(self.idle, key=lambda entry: entry[0].opened_at)
        self._records[entry[0].owner].idle.remove(entry)
        self.idle_count -= 1
        return entry[0]

    def drop_broken(self, owner: str | None = None) -> None:
        """Close the idle connections that cannot be used, of one owner or of all."""
        records = self._records.values() if owner is None else [self.record(owner)]
        for record in records:
            for entry in [entry for entry in record.idle if not entry[0].usable]:
                self._close(entry)

    def _close(self, entry: tuple[EndpointLink, float]) -> None:
        link = entry[0]
        self._records[link.owner].idle.remove(entry)
        self.idle_count -= 1
        self.remove(link.owner)
        link.close()
