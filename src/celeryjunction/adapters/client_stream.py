"""Streams of lines from clients, which are read only as far as they are served."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from celeryjunction.adapters.client_guard import ClientGuard
from celeryjunction.adapters.line_stream import (
    LINE_END,
    MAX_LINE_BYTES,
    LineStream,
    LineTooLong,
)
from celeryjunction.client_limits.budget import Account
from celeryjunction.client_limits.work_gate import LARGE_BYTES

RECEIVE_BUFFER = 32_768
"""SO_RCVBUF of clients' sockets. The kernel holds up to twice as much for a client that
is not read; 1 MiB needs 32 round trips."""
SEND_BUFFER = 32_768
"""SO_SNDBUF of clients' sockets; the kernel holds up to twice as much."""
MAX_WAITING_LINES = 4
"""Lines that are split off at a time."""
MAX_AHEAD_BYTES = 16_384
"""Input behind a waiting line beyond which a client is not read."""
COUNT_INTERVAL_S = 0.5
"""Interval at which an answer that is being taken is counted again."""
REFUSAL = b"ERROR BUSY the memory for clients is short\r\n"


class ClientStream(LineStream):
    """A client's connection: counts what it holds, and pauses where it sends ahead."""

    def __init__(self, guard: ClientGuard) -> None:
        super().__init__()
        self._guard = guard
        self._account = Account(self._close_over_limit)
        self._counted = False
        self._reading_paused = False
        self._has_more = False
        """Whether the buffer holds a complete line."""
        self._work = 0
        """What the message that is being handled needs, see `WorkGate`."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what the kernel and the transport hold."""
        super().connection_made(transport)
        bound_buffers(transport.get_extra_info("socket"))
        # `drain` waits as soon as the kernel does not take an answer.
        self._transport.set_write_buffer_limits(high=0)
        self._guard.budget.add_connection()
        self._counted = True

    def connection_lost(self, error: Exception | None) -> None:
        """Forget what the connection held."""
        if self._counted:
            self._counted = False
            self._guard.budget.remove_connection(self._account)
        super().connection_lost(error)

    # Input

    def data_received(self, data: bytes) -> None:
        """Split off lines, as far as they are served soon."""
        if self.closed or self._too_long:
            return
        # The common case: one whole message while nothing else waits.
        if (
            not self._buffer
            and not self._messages
            and len(data) <= LARGE_BYTES
            and data.endswith(LINE_END)
            and data.find(LINE_END) == len(data) - 2
        ):
            self._messages.append(data[:-2])
            self._wake_reader()
            return
        start = max(len(self._buffer) - 1, 0)
        self._buffer += data
        if not self._messages and not self._has_more:
            self._has_more = self._buffer.find(LINE_END, start) >= 0
            self._split()
        elif not self._has_more:
            self._has_more = self._buffer.find(LINE_END, start) >= 0
        self._update()
        self._wake_reader()

    def _split(self) -> None:
        """Move the first lines of the buffer to the messages that wait."""
        buffer, start = self._buffer, 0
        while self._has_more and len(self._messages) < MAX_WAITING_LINES:
            end = buffer.find(LINE_END, start)
            if end - start > MAX_LINE_BYTES:
                self._refuse_input()
                break
            with memoryview(buffer) as view:
                self._messages.append(bytes(view[start:end]))
            start = end + len(LINE_END)
            self._has_more = buffer.find(LINE_END, start) >= 0
        if start:
            del buffer[:start]
            self._account.message_since = None
        size = len(buffer)
        ends_with_cr = size == MAX_LINE_BYTES + 1 and buffer.endswith(b"\r")
        if not self._has_more and size > MAX_LINE_BYTES and not ends_with_cr:
            self._refuse_input()

    def _refuse_input(self) -> None:
        super()._refuse_input()
        self._reading_paused = True
        self._has_more = False
        self._buffer = bytearray()

    def _update(self) -> None:
        """Pause or resume reading, and count what is held."""
        waiting = len(self._messages)
        size = len(self._buffer)
        ahead = self._has_more or waiting > 1 or (waiting and size > MAX_AHEAD_BYTES)
        ahead = bool(ahead or self._too_long or not self._writable.is_set())
        is_open = not self.closed and not self._transport.is_closing()
        if ahead != self._reading_paused and is_open:
            self._reading_paused = ahead
            if ahead:
                self._transport.pause_reading()
            else:
                self._transport.resume_reading()
        account, now = self._account, self._guard.now()
        if not size or self._has_more or waiting:
            account.message_since = None
        elif account.message_since is None:
            account.message_since = now
        held = size + sum(map(len, self._messages)) + waiting * 64
        if self._reading_paused:
            held += 2 * RECEIVE_BUFFER
        if self._counted and (held or account.input):
            self._guard.budget.update(account, now, input=held)

    async def read_line(self) -> bytes | None:
        """Return the next line; a large one once there is memory to handle it.

        A line that waits for memory stays among the messages, so that it is dropped
        when the connection is closed.
        """
        self._release_work()
        if self._has_more and not self._messages:
            self._split()
        if self._reading_paused or self._account.input:
            self._update()
        while not self._messages:
            if self._too_long:
                raise LineTooLong
            if self.closed:
                return None
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        size = len(self._messages[0])
        if size > LARGE_BYTES:
            self._work = await self._guard.gate.acquire(size)
            if not self._messages:
                return None
        line = self._messages.popleft()
        if self._reading_paused or self._account.input:
            self._update()
        return line

    def _release_work(self) -> None:
        if self._work:
            self._guard.gate.release(self._work)
            self._work = 0

    # Output

    async def drain(self) -> None:
        """Wait until the client has taken its answers; count them until then."""
        self._release_work()
        if self._writable.is_set():
            return
        account, guard = self._account, self._guard
        account.answer_since = guard.now()
        while not self._writable.is_set():
            if self._counted:
                size = self._transport.get_write_buffer_size() + 2 * SEND_BUFFER
                guard.budget.update(account, guard.now(), output=size)
                self._update()
            with suppress(TimeoutError):
                async with asyncio.timeout(COUNT_INTERVAL_S):
                    await self._writable.wait()
        account.answer_since = None
        if self._counted:
            guard.budget.update(account, guard.now(), output=0)
            self._update()

    # Session state and end

    def hold_state(self, size: int) -> bool:
        """Count the session's state; return whether there is room for its growth."""
        account, budget = self._account, self._guard.budget
        growth = size - account.state
        if growth > LARGE_BYTES and not budget.has_room(growth):
            return False
        if self._counted:
            budget.update(account, self._guard.now(), state=size)
        return True

    def _close_over_limit(self, reason: str) -> None:
        size = self._transport.get_write_buffer_size()
        self._guard.report(reason, held=size + len(self._buffer))
        if not size:
            self.write(REFUSAL)
        self.abort()

    def abort(self) -> None:
        """Close at once and drop what was received."""
        super().abort()
        self._messages.clear()
        self._buffer = bytearray()
        self._has_more = False
        self._writable.set()

    def close(self) -> None:
        """Close after the written bytes have been sent."""
        self._release_work()
        super().close()


def bound_buffers(sock: socket.socket | None) -> None:
    """Bound the kernel's buffers of a socket, or of those that a listener accepts."""
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
