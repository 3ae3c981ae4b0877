"""A simulated event loop and a fake database group behind the endpoint ports.

When every task waits, simulated time jumps to the next timer. Tests therefore take no
real time, and their timing does not depend on the machine. A test module uses the loop
through ``from fakes import event_loop_policy  # noqa: F401``.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from random import Random

import msgspec
import pytest

from celeryjunction.contract import Contract, Rank
from celeryjunction.errors import ConnectionLost, EndpointError, ProxyError
from celeryjunction.group import Group
from celeryjunction.ports import (
    Column,
    EndpointRecord,
    GroupRecord,
    QueryResult,
    StatementShape,
    Step,
    StoreUnavailable,
)
from celeryjunction.rounds import STATUS_STEP, Proof
from celeryjunction.work import Work

DELAY_S = 0.001
"""Half a round trip to an endpoint."""
LATEST_TIME_S = 4000.0
"""Simulated time, which starts at 1000 s, after which a test is taken to hang."""

INSERT = Step("INSERT INTO t VALUES (1)")
SELECT = Step("SELECT v FROM t")


class _Selector(selectors.DefaultSelector):
    """Advances `now` to the next timer instead of waiting."""

    now = 1000.0

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if not events:
            if timeout is None or self.now > LATEST_TIME_S:
                raise RuntimeError("no timer is left, or the test runs for too long")
            self.now += max(timeout, 0.0)
        return events


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop that runs in simulated time."""

    def __init__(self) -> None:
        self.simulated = _Selector()
        super().__init__(self.simulated)

    def time(self) -> float:
        return self.simulated.now


class SimulatedPolicy(asyncio.DefaultEventLoopPolicy):
    new_event_loop = staticmethod(SimulatedLoop)


@pytest.fixture(scope="module")
def event_loop_policy() -> asyncio.AbstractEventLoopPolicy:
    return SimulatedPolicy()


@pytest.fixture
async def fake() -> AsyncIterator[FakeGroup]:
    """Yield a group of three endpoints; all its proxies are closed afterwards."""
    group = FakeGroup()
    yield group
    await group.close()


async def result_or_error(call: Awaitable[object]) -> object:
    """Return the call's result, or its error as a kind or SQLSTATE.

    A lost connection gives "lost", or "lost unsent" if nothing was sent.
    """
    try:
        return await call
    except ProxyError as error:
        return error.kind
    except EndpointError as error:
        return error.sqlstate
    except ConnectionLost as error:
        return "lost" if error.sent else "lost unsent"


class ManualClock:
    """The simulated loop's time; `advance` moves it forward."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return 1_700_000_000.0 + self.monotonic()

    def advance(self, seconds: float) -> None:
        asyncio.get_running_loop().simulated.now += seconds


Fault = Callable[["FakeConnection"], Awaitable[None]]
"""Scripted behaviour of a connection that runs before a step takes effect."""


def fail_with(sqlstate: str) -> Fault:
    """Answer the step with an error."""

    async def fault(connection: FakeConnection) -> None:
        raise EndpointError({"C": sqlstate, "M": "scripted"})

    return fault


def lose_connection(*, committed: bool = False) -> Fault:
    """Close the connection instead of running the step; `committed` commits first."""

    async def fault(connection: FakeConnection) -> None:
        if committed:
            connection.end("committed")
        connection.close()
        raise ConnectionLost("scripted", sent=True)

    return fault


def delay(seconds: float) -> Fault:
    """Hold the step up for some time."""

    async def fault(connection: FakeConnection) -> None:
        await asyncio.sleep(seconds)

    return fault


def run_action(action: Callable[[], object]) -> Fault:
    """Call a function just before the step."""

    async def fault(connection: FakeConnection) -> None:
        action()

    return fault


class FakeConnection:
    """Implements `EndpointConnection` over a `FakeEndpoint`."""

    def __init__(self, endpoint: FakeEndpoint, opened_at: float) -> None:
        self.endpoint = endpoint
        self.opened_at = opened_at
        self.verified_term = 0
        self.usable = True
        self.in_transaction = False
        self.xid = ""
        self._running = False
        self._broken = asyncio.get_running_loop().create_future()
        endpoint.connections.append(self)

    async def run(self, steps: Sequence[Step], *, timeout: float) -> list[QueryResult]:
        if not self.usable:
            raise ConnectionLost("closed", sent=False)
        assert not self._running, "a pipeline is already running on this connection"
        self._running = True
        work = asyncio.ensure_future(self._run(steps))
        try:
            await asyncio.wait(
                (work, self._broken), timeout=timeout, return_when="FIRST_COMPLETED"
            )
            if work.done():
                return work.result()
            raise ConnectionLost("no answer", sent=True)
        except BaseException as error:
            if not isinstance(error, EndpointError):
                self.close()
            raise
        finally:
            work.cancel()
            self._running = False

    async def _run(self, steps: Sequence[Step]) -> list[QueryResult]:
        await asyncio.sleep(DELAY_S)
        results = []
        for index, step in enumerate(steps):
            try:
                results.append(await self._step(step))
            except EndpointError as error:
                await asyncio.sleep(DELAY_S)
                raise EndpointError(error.fields, index) from None
        await asyncio.sleep(DELAY_S)
        return results

    async def _step(self, step: Step) -> QueryResult:
        endpoint, sql = self.endpoint, step.sql
        if sql != STATUS_STEP.sql:
            endpoint.executed.append(sql)
        for prefix, fault in endpoint.script:
            if sql.startswith(prefix):
                endpoint.script.remove((prefix, fault))
                await fault(self)
                break
        if sql == STATUS_STEP.sql:
            endpoint.status_queries += 1
            return _row(*endpoint.status_row())
        word = sql.split()[0]
        if word == "BEGIN":
            self.in_transaction, self.xid = True, ""
        elif "pg_current_xact_id" in sql:
            endpoint.require_primary()
            self.xid = str(len(endpoint.outcomes) + 1)
            endpoint.outcomes[self.xid] = "in progress"
            return _row(self.xid)
        elif "pg_xact_status" in sql:
            return _row(endpoint.outcomes.get(step.params[0].decode()))
        elif word in ("COMMIT", "ROLLBACK") and "TO" not in sql:
            self.end("committed" if word == "COMMIT" else "aborted")
        elif word == "INSERT":
            endpoint.require_primary()
        elif word == "SELECT":
            return _row(endpoint.name, endpoint.applied)
        return QueryResult(word, None, ())

    def end(self, outcome: str) -> None:
        """End the transaction; a commit adds one entry to the log."""
        if self.xid:
            self.endpoint.outcomes[self.xid] = outcome
            if outcome == "committed":
                self.endpoint.group.commit(self.endpoint)
        self.in_transaction, self.xid = False, ""

    async def describe(
        self, sql: str, param_oids: Sequence[int], *, timeout: float
    ) -> StatementShape:
        await self.run([Step("DESCRIBE")], timeout=timeout)
        return StatementShape((), (Column(b"v", 25, -1, -1),))

    def close(self) -> None:
        if self.usable:
            self.usable = False
            self.endpoint.connections.remove(self)
            if self.xid:
                self.endpoint.outcomes[self.xid] = "aborted"
            if not self._broken.done():
                self._broken.set_result(None)


def _row(*values: object) -> QueryResult:
    row = tuple(None if v is None else str(v).encode() for v in values)
    return QueryResult("SELECT 1", (), [row])


class FakeEndpoint:
    """State of one endpoint.

    `script` holds pairs of a prefix and a fault: the fault is applied once, to the next
    step whose SQL starts with the prefix. `executed` lists all statements but status
    queries. With `receives` false the endpoint gets no entries of the log, and with
    `applies` false it does not apply them.
    """

    def __init__(self, group: FakeGroup, name: str) -> None:
        self.group = group
        self.name = name
        self.term = 1
        self.is_primary = False
        self.received = self.applied = self.term_start = 0
        self.leaving = False
        self.receives = self.applies = True
        self.down = False
        self.connect_sqlstate = ""
        self.connect_s = DELAY_S
        self.script: list[tuple[str, Fault]] = []
        self.executed: list[str] = []
        self.status_queries = 0
        self.outcomes: dict[str, str] = {}
        self.connections: list[FakeConnection] = []

    def status_row(self) -> tuple[object, ...]:
        role = "primary" if self.is_primary else "replica"
        leaving = "t" if self.leaving else "f"
        positions = (self.received, self.applied)
        return self.term, role, *positions, leaving, self.term_start

    def require_primary(self) -> None:
        if not self.is_primary:
            raise EndpointError({"C": "25006", "M": "read-only"})

    def disconnect(self) -> None:
        for connection in list(self.connections):
            connection.close()

    def stop(self) -> None:
        """Close all connections and refuse new ones."""
        self.down = True
        self.disconnect()

    def set_position(self, position: int) -> None:
        self.received = self.applied = position


class FakeGroup:
    """A database group that is also its `EndpointConnector` and `GroupDirectory`.

    `proxy` is a proxy's `Group`; `open` makes further ones. An endpoint is also an
    attribute of the fake, for example ``fake.a``.
    """

    def __init__(self, names: str = "abc", *, promotion: str = "majority") -> None:
        self.clock = ManualClock()
        self.endpoints = {name: FakeEndpoint(self, name) for name in names}
        self.endpoints[names[0]].is_primary = True
        records = (EndpointRecord(name=n, host=n, port=1, zone="z") for n in names)
        self.record = GroupRecord("db", 1, names[0], tuple(records), promotion)
        self.platform_up = False
        self.groups: list[Group] = []
        self.proxy = self.open()

    def __getattr__(self, name: str) -> FakeEndpoint:
        try:
            return self.endpoints[name]
        except KeyError:
            raise AttributeError(name) from None

    def connection_count(self) -> int:
        """Return how many connections the proxy uses or keeps idle."""
        handles = self.proxy.handles.values()
        return sum(h.pool.idle + h.admission.connections_held for h in handles)

    async def prove(self) -> Proof:
        now = self.clock.monotonic()
        return await self.proxy.monitor.prove(since=now, deadline=now + 1)

    async def write(self, deadline_s: float = 1.0, **options: object) -> object:
        """Run a write; return its command tag, or the error as `result_or_error`."""
        work = self.work(deadline_s, **options)
        result = await result_or_error(self.proxy.write(work, INSERT))
        return result.tag if isinstance(result, QueryResult) else result

    def commit(self, primary: FakeEndpoint) -> None:
        """Add an entry to the primary's log and replicate it."""
        primary.set_position(primary.applied + 1)
        for other in self.endpoints.values():
            if other is not primary and other.term == primary.term and other.receives:
                other.received = primary.received
                if other.applies:
                    other.applied = other.received

    def promote(self, name: str, *, unaware: str = "") -> None:
        """Start a new term with `name` as the primary.

        The endpoints in `unaware` do not learn of it. A former primary that does closes
        its connections (A4).
        """
        chosen = self.endpoints[name]
        term = max(each.term for each in self.endpoints.values()) + 1
        for each in self.endpoints.values():
            if each.name not in unaware:
                if each.is_primary and each is not chosen:
                    each.disconnect()
                each.term, each.term_start = term, chosen.received
                each.is_primary = each is chosen
        replaced = {"term": term, "primary": name}
        self.record = msgspec.structs.replace(self.record, **replaced)

    async def connect(
        self, endpoint: EndpointRecord, database: str, *, timeout: float
    ) -> FakeConnection:
        chosen = self.endpoints[endpoint.name]
        async with asyncio.timeout(timeout):
            await asyncio.sleep(chosen.connect_s)
        if chosen.connect_sqlstate:
            raise EndpointError({"C": chosen.connect_sqlstate, "M": "scripted"})
        if chosen.down:
            raise ConnectionLost("refused", sent=False)
        return FakeConnection(chosen, self.clock.monotonic())

    def group(self, database: str) -> GroupRecord | None:
        return self.record if database == "db" else None

    async def read_now(self, database: str, *, timeout: float) -> GroupRecord:
        await asyncio.sleep(DELAY_S)
        if not self.platform_up:
            raise StoreUnavailable("scripted")
        return self.record

    def open(self) -> Group:
        group = Group(
            "db",
            directory=self,
            connector=self,
            connections=lambda record: 10,
            zone="z",
            clock=self.clock,
            random=Random(1),
        )
        group.update_record(self.record)
        self.groups.append(group)
        return group

    async def close(self) -> None:
        for group in self.groups:
            await group.close()

    def work(self, deadline_s: float = 1.0, **options: object) -> Work:
        terms = {"customer": "coop", "rank": Rank.INTERACTIVE, "share": 0.5}
        started_at = self.clock.monotonic()
        return Work(
            **{**terms, "started_at": started_at, "deadline_s": deadline_s, **options}
        )

    @property
    def executed(self) -> list[str]:
        """Statements executed by all endpoints, without status queries."""
        return [sql for each in self.endpoints.values() for sql in each.executed]


def make_contract(**changes: object) -> Contract:
    document = {
        "customer": "coop",
        "databases": ["db"],
        "verifier": "",
        "work": {
            "counter": {"rank": "urgent", "deadline_ms": 1000},
            "sheet": {"rank": "interactive", "staleness_ms": 500, "deadline_ms": 2000},
        },
        "default_work": "counter",
        "shares": {"urgent": 0.5, "interactive": 0.3},
        **changes,
    }
    return msgspec.convert(document, Contract)
