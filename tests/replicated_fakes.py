"""Fakes of a replicated group and a store for the ports of `replication`/`failover`.

The group follows the platform's rules: a commit is acknowledged once a replica received
it, a paused replica receives nothing, and a promoted one becomes primary with its log.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from contextlib import suppress

from celeryjunction.errors import ConnectionLost
from celeryjunction.ports import (
    Compare,
    KeyValue,
    KeyValueList,
    LeaseExpired,
    Put,
    PutResult,
    StoreUnavailable,
)
from celeryjunction.replication.ports import (
    Answer,
    AskStatus,
    ClearSession,
    Command,
    Demote,
    EndpointInfo,
    EndpointRefused,
    EndpointStatus,
    Fault,
    LogPosition,
    OpenTransaction,
    PauseReceiving,
    PrepareStatement,
    PromotionRequest,
    PromotionResult,
    Relay,
    RelayPrepared,
    ResumeReceiving,
    RollBack,
    SetValue,
    TransactionState,
)

DELAY_S = 0.0005
"""Half a round trip."""
WORK_S = 0.01
PROMOTION_S = 1.0
SYNC_LIMIT_S = 30.0


class FakeEndpoint:
    """One endpoint; `silent` and `refusing` make it unreachable.

    With `replication_cut`, it receives no commits.
    """

    def __init__(self, name: str, *, zone: str = "a", primary: bool = False) -> None:
        self.info = EndpointInfo(name, "g", "10.0.0.1", 1, zone, 3)
        self.is_primary = primary
        self.term = 1
        self.log: list[LogPosition] = []
        self.held_term = 0
        self.silent = False
        self.ignores_resume = False
        """Fault: RESUME commands are neither run nor answered."""
        self.refuses_control = False
        """Fault: control commands are refused as BUSY, without running them."""
        self.refusing = False
        self.replication_cut = False
        self.applied = 10**9
        self.faults: list[Fault | str] = []
        """What happens to the next statements: a fault, or the loss of the connection
        before ("lose") or after ("lose after") the statement ran."""
        self.executed: list[tuple[bytes, bytes]] = []
        self.commands: list[Command] = []
        self.links: list[FakeLink] = []

    @property
    def received(self) -> LogPosition:
        return self.log[-1] if self.log else LogPosition(1, 0)

    @property
    def visible(self) -> LogPosition:
        seen = self.log[: self.applied]
        return seen[-1] if seen else LogPosition(1, 0)

    def restart(self) -> None:
        """Restart the process, which closes its connections and ends a pause."""
        self.held_term = 0
        for link in self.links:
            link.close()
        self.links.clear()


class FakeCluster:
    """Endpoints of one group; an `EndpointDialer`, `Promoter` and `PromotionPath`."""

    def __init__(self, *names: str, limit: int = 22) -> None:
        self.endpoints = {
            name: FakeEndpoint(name, zone=name[0], primary=index == 0)
            for index, name in enumerate(names or ("a1", "b1", "c1"))
        }
        self.limit = limit
        self.promotions: list[tuple[str, str, int]] = []
        self.promotion_answers: list[PromotionResult] = []
        self.promotion_api_answers = True
        self.acknowledged: list[LogPosition] = []
        self.opened = 0
        self.synchronous_replication = True

    def __getitem__(self, name: str) -> FakeEndpoint:
        return self.endpoints[name]

    @property
    def infos(self) -> dict[str, EndpointInfo]:
        return {name: endpoint.info for name, endpoint in self.endpoints.items()}

    # EndpointDialer

    async def connect(
        self, endpoint: EndpointInfo, *, timeout: float, owner: str = ""
    ) -> FakeLink:
        fake = self.endpoints.get(endpoint.id)
        if fake is not None and fake.silent:
            await asyncio.sleep(timeout)
            raise ConnectionLost("silent", sent=False)
        await asyncio.sleep(2 * DELAY_S)
        if fake is None or fake.refusing:
            raise ConnectionLost("ConnectionRefusedError", sent=False)
        open_links = [link for link in fake.links if link.usable or link.running]
        if len(open_links) >= self.limit:
            raise EndpointRefused(Fault.TOO_MANY_CONNECTIONS)
        link = FakeLink(self, fake, owner)
        fake.links.append(link)
        self.opened += 1
        return link

    def status(self, answer: Answer) -> EndpointStatus | None:
        return answer.rows[0] if answer.rows else None  # type: ignore[return-value]

    # Promoter and PromotionPath

    async def open_path(self) -> FakeCluster | None:
        return self if self.promotion_api_answers else None

    async def confirm(self) -> bool:
        return self.promotion_api_answers

    def close(self) -> None:
        pass

    async def promote(self, request: PromotionRequest) -> PromotionResult:
        if not request.is_due():
            return PromotionResult.REFUSED
        endpoint = request.endpoint
        self.promotions.append((endpoint, request.holder, request.fencing_token))
        answer = PromotionResult.ACCEPTED
        if self.promotion_answers:
            answer = self.promotion_answers.pop(0)
        if answer is PromotionResult.REFUSED:
            return answer
        if answer is PromotionResult.UNANSWERED:
            return answer
        loop = asyncio.get_running_loop()
        loop.call_later(PROMOTION_S, self.take_over, endpoint)
        return answer

    def take_over(self, name: str) -> None:
        """Let a promotion take effect: replicas take over the new primary's log."""
        new_primary = self.endpoints[name]
        new_primary.term = (
            max(endpoint.term for endpoint in self.endpoints.values()) + 1
        )
        new_primary.is_primary, new_primary.held_term = True, 0
        for endpoint in self.endpoints.values():
            if (
                endpoint is not new_primary
                and not endpoint.silent
                and not endpoint.is_primary
            ):
                endpoint.term, endpoint.held_term = new_primary.term, 0
                endpoint.log = list(new_primary.log)

    async def commit(self, primary: FakeEndpoint) -> LogPosition | None:
        """Commit at a primary; None if no replica received it in `SYNC_LIMIT_S`."""
        position = LogPosition(primary.term, primary.received.number + 1)
        primary.log.append(position)
        waited = 0.0
        while waited < SYNC_LIMIT_S:
            receivers = [
                endpoint
                for endpoint in self.endpoints.values()
                if not endpoint.is_primary
                and endpoint.held_term <= endpoint.term
                and not (endpoint.replication_cut or endpoint.refusing)
            ]
            for endpoint in receivers:
                endpoint.log = list(primary.log)
            if receivers or not self.synchronous_replication:
                self.acknowledged.append(position)
                return position
            await asyncio.sleep(0.05)
            waited += 0.05
        return None


class FakeLink:
    """Implements `EndpointLink`."""

    def __init__(
        self, cluster: FakeCluster, endpoint: FakeEndpoint, owner: str = ""
    ) -> None:
        self.owner = owner
        self.opened_at = asyncio.get_running_loop().time()
        self.values: dict[bytes, bytes] = {}
        self.prepared: set[bytes] = set()
        self.state_uncertain = False
        self.server_values: dict[bytes, bytes] = {}
        self.server_prepared: set[bytes] = set()
        self.running = False
        self._cluster = cluster
        self._endpoint = endpoint
        self._state = TransactionState.IDLE
        self._wrote = False
        self._closed = False
        self._closed_event = asyncio.Event()

    @property
    def usable(self) -> bool:
        return not self._closed and not self.running

    @property
    def in_transaction(self) -> bool:
        return self._state is not TransactionState.IDLE

    def close(self) -> None:
        self._closed = True
        self._closed_event.set()

    async def run(self, commands: Sequence[Command], *, timeout: float) -> list[Answer]:
        if not self.usable:
            raise ConnectionLost("closed", sent=False)
        self.running = True
        try:
            async with asyncio.timeout(timeout):
                return [await self._run(command) for command in commands]
        except TimeoutError:
            self._closed = True
            raise ConnectionLost("no answer in time", sent=True) from None
        except BaseException:
            self._closed = True
            raise
        finally:
            self.running = False

    async def _run(self, command: Command) -> Answer:
        endpoint = self._endpoint
        ignored = endpoint.ignores_resume and isinstance(command, ResumeReceiving)
        if endpoint.silent or ignored:
            await self._closed_event.wait()
            raise ConnectionLost("the connection was closed", sent=True)
        await asyncio.sleep(2 * DELAY_S)
        if endpoint.refusing or self._closed:
            raise ConnectionLost("the endpoint closed the connection", sent=True)
        endpoint.commands.append(command)
        if isinstance(command, Relay | RelayPrepared):
            return await self._relay(command)
        return self._control(command)

    def _answer(self, rows: tuple = (), *, fault: Fault | None = None) -> Answer:
        endpoint = self._endpoint
        return Answer(rows, b"-", self._state, endpoint.visible, fault)

    def _control(self, command: Command) -> Answer:
        endpoint = self._endpoint
        if endpoint.refuses_control:
            return self._answer(fault=Fault.BUSY)
        if isinstance(command, OpenTransaction):
            if command.after is not None and endpoint.visible < command.after:
                return self._answer(fault=Fault.BEHIND)
            if not command.read_only and not endpoint.is_primary:
                return self._answer(fault=Fault.NOT_PRIMARY)
            self._state, self._wrote = TransactionState.OPEN, False
        elif isinstance(command, RollBack):
            self._state, self._wrote = TransactionState.IDLE, False
        elif isinstance(command, ClearSession):
            self.server_values.clear()
            self.server_prepared.clear()
        elif isinstance(command, SetValue):
            self.server_values[command.name] = command.value
        elif isinstance(command, PrepareStatement):
            self.server_prepared.add(command.name)
        elif isinstance(command, PauseReceiving):
            if command.term > endpoint.term and not endpoint.is_primary:
                endpoint.held_term = command.term
        elif isinstance(command, ResumeReceiving):
            endpoint.held_term = 0
        elif isinstance(command, Demote) and command.term > endpoint.term:
            endpoint.is_primary = False
        if isinstance(command, AskStatus | PauseReceiving | ResumeReceiving | Demote):
            status = EndpointStatus(
                endpoint.is_primary,
                endpoint.term,
                endpoint.received,
                endpoint.held_term,
                0.0,
                0,
                1,
            )
            return self._answer((status,))
        return self._answer()

    async def _work(self, seconds: float) -> None:
        """Take time for a statement, which a close of the connection aborts."""
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._closed_event.wait()
                raise ConnectionLost("the connection was closed", sent=True)

    async def _relay(self, command: Relay | RelayPrepared) -> Answer:
        endpoint = self._endpoint
        fault = endpoint.faults.pop(0) if endpoint.faults else None
        if fault == "lose":
            raise ConnectionLost("scripted", sent=True)
        if isinstance(fault, Fault):
            return self._answer(fault=fault)
        if isinstance(command, RelayPrepared):
            if command.name not in self.server_prepared:
                return self._answer(fault=Fault.UNKNOWN_STATEMENT)
            writes = command.name.startswith(b"pw")
            text = b"EXECUTE"
        else:
            writes = command.text.startswith(b"WRITE")
            text = command.text
        if command.after is not None and endpoint.visible < command.after:
            return self._answer(fault=Fault.BEHIND)
        if writes and not endpoint.is_primary:
            return self._answer(fault=Fault.NOT_PRIMARY)
        await self._work(WORK_S)
        endpoint.executed.append((command.request_id, text))
        commit = text == b"COMMIT"
        if writes:
            self._wrote = True
        if commit:
            self._state = TransactionState.IDLE
        single = self._state is TransactionState.IDLE and not commit
        if (writes and single) or (commit and self._wrote):
            self._wrote = False
            if await self._cluster.commit(endpoint) is None:
                raise ConnectionLost("never replicated", sent=True)
        if fault == "lose after":
            raise ConnectionLost("scripted", sent=True)
        rows = () if writes or commit else (endpoint.info.id.encode(),)
        digest = endpoint.info.id.encode() + b":" + command.request_id
        return Answer(rows, digest, self._state, endpoint.visible)


class FakeStore:
    """Implements what claims, suspicions and rosters need of `KeyValueStore`."""

    def __init__(self) -> None:
        self.items: dict[str, KeyValue] = {}
        self.leases: dict[int, set[str]] = {}
        self.revision = 10
        self.unavailable = False
        self.lose_answers = 0
        """Number of puts that succeed but whose answer is lost."""
        self.calls = 0

    async def _call(self) -> None:
        self.calls += 1
        await asyncio.sleep(0.004)
        if self.unavailable:
            raise StoreUnavailable("away")

    async def get(self, key: str, *, timeout: float = 2.0) -> KeyValue | None:
        await self._call()
        return self.items.get(key)

    async def list(self, prefix: str, *, timeout: float = 2.0) -> KeyValueList:
        await self._call()
        found = [item for key, item in self.items.items() if key.startswith(prefix)]
        return KeyValueList(tuple(found), self.revision)

    async def compare_and_put(
        self,
        compares: Sequence[Compare],
        puts: Sequence[Put],
        *,
        lease: int = 0,
        timeout: float = 2.0,
    ) -> PutResult:
        await self._call()
        if lease and lease not in self.leases:
            raise LeaseExpired("gone")
        current = tuple(self.items.get(compare.key) for compare in compares)
        found = [item.revision if item else 0 for item in current]
        if found != [compare.revision for compare in compares]:
            return PutResult(False, self.revision, current)
        self.revision += 1
        for put in puts:
            self.put(put.key, put.value)
            if lease:
                self.leases[lease].add(put.key)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailable("the answer was lost")
        after = tuple(self.items.get(compare.key) for compare in compares)
        return PutResult(True, self.revision, after)

    def put(self, key: str, value: bytes | None) -> None:
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = KeyValue(key, value, self.revision)

    async def grant_lease(self, ttl: int, *, timeout: float = 2.0) -> int:
        await self._call()
        lease = len(self.leases) + 1
        self.leases[lease] = set()
        loop = asyncio.get_running_loop()
        loop.call_later(ttl, self.end_lease, lease)
        return lease

    def end_lease(self, lease: int) -> None:
        for key in self.leases.pop(lease, ()):
            self.items.pop(key, None)

    async def revoke_lease(self, lease: int, *, timeout: float = 2.0) -> None:
        await self._call()
        self.end_lease(lease)
