"""Streams of length-prefixed frames over TCP, between VMs."""

from __future__ import annotations

import struct

from celeryjunction.adapters.line_stream import LineStream

MAX_FRAME_BYTES = 4 << 20
"""Longest frame: a statement or answer of 1 MiB with the session's state around it."""

_HEADER = struct.Struct(">I")


class FrameStream(LineStream):
    """A connection whose messages are frames; a longer one breaks it."""

    def data_received(self, data: bytes) -> None:
        """Split what came into frames."""
        buffer = self._buffer
        buffer += data
        start = 0
        while len(buffer) - start >= _HEADER.size:
            (size,) = _HEADER.unpack_from(buffer, start)
            if size > MAX_FRAME_BYTES:
                self.abort()
                return
            end = start + _HEADER.size + size
            if len(buffer) < end:
                break
            self._lines.append(bytes(buffer[start + _HEADER.size : end]))
            start = end
        del buffer[:start]
        self._wake()

    async def read_frame(self) -> bytes | None:
        """Return the next frame; None when the connection ended."""
        return await self.read_line()

    def write_frame(self, frame: bytes) -> None:
        """Send a frame; one for a closed connection is dropped."""
        self.write(_HEADER.pack(len(frame)) + frame)
