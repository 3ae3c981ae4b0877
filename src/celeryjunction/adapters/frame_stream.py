"""Streams of length-prefixed frames over TCP, between VMs."""

from __future__ import annotations

import struct

from celeryjunction.adapters.line_stream import LineStream

MAX_FRAME_BYTES = 4 << 20
"""Limit of a frame: a statement or answer of 1 MiB, plus the session's state."""

_HEADER = struct.Struct(">I")


class FrameTooLarge(Exception):
    """A frame was not sent, because it is larger than `MAX_FRAME_BYTES`."""


class FrameStream(LineStream):
    """A connection whose messages are frames; an oversized frame aborts it."""

    def data_received(self, data: bytes) -> None:
        """Split the received data into frames."""
        if self.closed:
            return
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _HEADER.size:
            (size,) = _HEADER.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                self.abort()
                self.closed = True
                break
            end = start + _HEADER.size + size
            if len(buffer) < end:
                break
            self._messages.append(bytes(buffer[start + _HEADER.size : end]))
            start = end
        del buffer[:start]
        self._wake_reader()

    async def read_frame(self) -> bytes | None:
        """Return the next frame; None if the connection ended."""
        return await self.read_line()

    def write_frame(self, frame: bytes) -> None:
        """Send a frame; on a closed connection it is dropped.

        Raises `FrameTooLarge`: the other side would end the connection, on which other
        sessions wait for their outcomes.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise FrameTooLarge(f"a frame of {len(frame)} bytes")
        self.write(_HEADER.pack(len(frame)) + frame)
