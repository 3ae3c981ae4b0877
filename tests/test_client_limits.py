"""Who is admitted, slowed, refused or closed, without a network or a clock."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celeryjunction.adapters.client_guard import default_guard
from celeryjunction.adapters.client_stream import ClientStream
from celeryjunction.adapters.line_stream import MAX_LINE_BYTES, LineTooLong
from celeryjunction.client_limits.budget import Account, MemoryBudget
from celeryjunction.client_limits.home_shares import HomeShares
from celeryjunction.client_limits.limits import (
    ANSWER_LIMIT_S,
    MAX_STATE_BYTES,
    MESSAGE_LIMIT_S,
    ClientLimits,
)
from celeryjunction.client_limits.state_size import StateSize
from celeryjunction.client_limits.work_gate import WorkGate
from celeryjunction.errors import ErrorKind, ProxyError

MIB = 1 << 20
STEP_LIMIT_S = 5.0


class TestLimits:
    def test_the_smallest_machine_admits_some_thousand_connections(self) -> None:
        limits = ClientLimits(memory_mb=200, descriptors=4300)
        assert limits.max_connections == 3240

    @given(st.integers(0, 4000), st.integers(0, 100_000))
    def test_the_parts_fit_into_the_memory(
        self, memory_mb: int, descriptors: int
    ) -> None:
        limits = ClientLimits(memory_mb=memory_mb, descriptors=descriptors)
        parts = limits.held_bytes + limits.work_bytes + limits.home_bytes
        assert limits.max_connections >= 1
        if memory_mb >= 100:
            assert parts <= memory_mb * 1_000_000 - 56_000_000
        if descriptors >= 300:
            assert limits.max_connections <= descriptors - 200


class Connections:
    """Connections of a budget; `closed` has the names and reasons in order."""

    def __init__(self, limit: int) -> None:
        self.budget = MemoryBudget(limit)
        self.closed: list[tuple[str, str]] = []
        self.accounts: dict[str, Account] = {}

    def hold(self, name: str, now: float, size: int) -> None:
        """Let a connection hold partial messages."""
        if name not in self.accounts:
            self.accounts[name] = Account(lambda why: self.closed.append((name, why)))
        self.budget.update(self.accounts[name], now, input=size)


class TestMemoryBudget:
    def test_nothing_is_closed_within_the_limit(self) -> None:
        crowd = Connections(3 * MIB)
        for number in range(3):
            crowd.hold(str(number), number, MIB)
        assert not crowd.closed

    def test_of_equal_sizes_the_one_held_for_longest_is_closed(self) -> None:
        crowd = Connections(3 * MIB)
        for number in range(4):
            crowd.hold(str(number), number, MIB)
        assert crowd.closed[0] == ("0", "memory")
        assert crowd.budget.held <= 3 * MIB

    def test_at_one_moment_the_largest_is_closed(self) -> None:
        """Guards against closing many small ones for one large one."""
        crowd = Connections(2 * MIB)
        for number in range(10):
            crowd.hold(f"small{number}", 0.0, 100_000)
        crowd.hold("large", 0.0, 2 * MIB)
        assert crowd.closed == [("large", "memory")]

    def test_connections_that_hold_nothing_are_never_closed(self) -> None:
        crowd = Connections(MIB)
        crowd.hold("idle", 0.0, 100)
        crowd.hold("idle", 0.0, 0)
        crowd.hold("large", 100.0, 2 * MIB)
        assert crowd.closed == [("large", "memory")]

    def test_an_idle_session_that_keeps_values_is_closed_last(self) -> None:
        """Guards against its age, which makes any size the largest product."""
        crowd = Connections(2 * MIB)
        crowd.hold("idle", 0.0, 0)
        crowd.budget.update(crowd.accounts["idle"], 0.0, state=MIB)
        crowd.hold("large", 1e6, MIB)
        assert not crowd.closed
        crowd.hold("larger", 1e6, MIB)
        assert {name for name, _ in crowd.closed} <= {"large", "larger"}
        assert crowd.closed

    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, 2 * MIB), st.integers(0, 5)),
            max_size=60,
        )
    )
    @settings(deadline=None, derandomize=True)
    def test_the_sum_is_within_the_limit_after_each_step(
        self, steps: list[tuple[int, int, int]]
    ) -> None:
        crowd, now = Connections(4 * MIB), 0
        for number, size, elapsed in steps:
            now += elapsed
            crowd.hold(str(number), now, size)
            assert 0 <= crowd.budget.held <= 4 * MIB
            held = sum(account.held for account in crowd.accounts.values())
            assert crowd.budget.held == held

    def test_an_unfinished_message_is_closed_after_its_time(self) -> None:
        crowd = Connections(MIB)
        crowd.hold("slow", 0.0, 10)
        crowd.accounts["slow"].message_since = 0.0
        crowd.budget.close_overdue(MESSAGE_LIMIT_S)
        assert not crowd.closed
        crowd.budget.close_overdue(MESSAGE_LIMIT_S + 1)
        assert crowd.closed == [("slow", "message")]

    def test_an_answer_not_taken_is_closed_after_its_time(self) -> None:
        crowd = Connections(MIB)
        crowd.hold("slow", 0.0, 10)
        crowd.accounts["slow"].answer_since = 0.0
        crowd.budget.close_overdue(ANSWER_LIMIT_S + 1)
        assert crowd.closed == [("slow", "answer")]

    def test_a_held_session_without_a_message_is_kept_for_ever(self) -> None:
        """Guards against closing idle sessions, which are legal."""
        crowd = Connections(MIB)
        crowd.hold("idle", 0.0, 10)
        crowd.budget.close_overdue(1e9)
        assert not crowd.closed


class TestWorkGate:
    async def test_a_message_beyond_the_limit_runs_alone(self) -> None:
        gate = WorkGate(MIB)
        async with asyncio.timeout(STEP_LIMIT_S):
            need = await gate.acquire(MIB)
        assert gate.in_use == need == 5 * MIB

    async def test_waiting_messages_are_admitted_in_order(self) -> None:
        gate, admitted = WorkGate(10, copies=1), []

        async def run(name: str, size: int) -> None:
            need = await gate.acquire(size)
            admitted.append(name)
            await asyncio.sleep(0)
            gate.release(need)

        async with asyncio.timeout(STEP_LIMIT_S):
            await asyncio.gather(run("a", 8), run("b", 9), run("c", 1))
        assert admitted == ["a", "b", "c"]
        assert gate.in_use == 0

    async def test_a_cancelled_wait_leaves_no_trace(self) -> None:
        gate = WorkGate(10, copies=1)
        need = await gate.acquire(10)
        waiting = [asyncio.create_task(gate.acquire(5)) for _ in range(2)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        gate.release(need)
        async with asyncio.timeout(STEP_LIMIT_S):
            assert await waiting[1] == 5
        waiting[0].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        assert gate.in_use == 5


class TestHomeShares:
    def test_one_vm_may_not_use_what_is_guaranteed_to_others(self) -> None:
        """Guards against a crowd at one VM that starves the other VMs."""
        shares = HomeShares(MIB)
        shares.add("busy")
        shares.add("calm")
        while shares.take("busy", 1000):
            pass
        assert shares.take("calm", 1000)
        taken = 1
        while shares.take("calm", 1000):
            taken += 1
        assert taken >= MIB // 4 // 7096 - 1

    def test_the_sum_stays_within_the_limit(self) -> None:
        shares, total = HomeShares(MIB), 0
        for vm in range(3):
            shares.add(vm)
        for vm in range(3):
            while need := shares.take(vm, 1000):
                total += need
        assert total <= MIB + 7096

    def test_a_large_statement_of_a_calm_vm_is_taken(self) -> None:
        shares = HomeShares(MIB)
        shares.add("vm")
        need = shares.take("vm", 4 * MIB)
        assert need and not shares.take("vm", 10)
        shares.release("vm", need)
        assert shares.take("vm", 10)


class TestStateSize:
    def test_a_value_that_is_replaced_counts_once(self) -> None:
        state = StateSize()
        value = (b"name", b"x" * MIB)
        state.replace((), value)
        size = state.size
        state.replace(value, value)
        assert state.size == size
        state.replace(value, ())
        assert state.size == 0

    def test_growth_beyond_the_limit_is_refused_and_not_counted(self) -> None:
        state = StateSize()
        with pytest.raises(ProxyError) as refusal:
            state.replace((), (b"name", b"x" * MAX_STATE_BYTES))
        assert refusal.value.kind is ErrorKind.STATEMENT_TOO_LARGE
        assert state.size == 0

    def test_growth_without_memory_is_refused_and_truthfully(self) -> None:
        state = StateSize()
        state.hold = lambda size: False
        with pytest.raises(ProxyError) as refusal:
            state.replace((), (b"name", b"x"))
        assert refusal.value.kind is ErrorKind.NOT_RUN_MEMORY
        assert state.size == 0


class _Transport:
    """A transport that records whether it is read."""

    def __init__(self) -> None:
        self.reading = True
        self.aborted = False

    def get_extra_info(self, name: str) -> None:
        return None

    def set_write_buffer_limits(self, *, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.aborted

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        self.aborted = True


def make_stream() -> tuple[ClientStream, _Transport]:
    stream, transport = ClientStream(default_guard()), _Transport()
    stream.connection_made(transport)
    return stream, transport


class TestClientStream:
    @given(
        st.lists(st.binary(max_size=6).filter(lambda b: b"\r\n" not in b + b"\r")),
        st.integers(1, 9),
    )
    @settings(deadline=None, derandomize=True)
    def test_lines_are_the_same_however_they_are_cut(
        self, texts: list[bytes], piece: int
    ) -> None:
        """Guards against short pieces that are taken for lines."""
        asyncio.run(self._check(texts, piece))

    async def _check(self, texts: list[bytes], piece: int) -> None:
        data = b"".join(text + b"\r\n" for text in texts)
        stream, transport = make_stream()
        for start in range(0, len(data), piece):
            stream.data_received(data[start : start + piece])
        async with asyncio.timeout(STEP_LIMIT_S):
            assert [await stream.read_line() for _ in texts] == texts
        assert transport.reading and not stream.buffered

    async def test_a_client_that_sends_ahead_is_not_read(self) -> None:
        stream, transport = make_stream()
        stream.data_received(b"a\r\n")
        assert transport.reading
        stream.data_received(b"b\r\nc\r\n")
        assert not transport.reading
        for expected in (b"a", b"b", b"c"):
            assert await stream.read_line() == expected
        assert transport.reading

    async def test_a_message_beyond_the_limit_is_refused(self) -> None:
        stream, transport = make_stream()
        stream.data_received(b"x" * (MAX_LINE_BYTES + 2))
        with pytest.raises(LineTooLong):
            await stream.read_line()
        assert not transport.reading

    async def test_what_a_connection_held_is_given_back_at_its_end(self) -> None:
        stream, _ = make_stream()
        budget = stream._guard.budget
        stream.data_received(b"x" * MIB)
        assert budget.held > MIB
        stream.connection_lost(None)
        assert budget.held == budget.connections == 0
