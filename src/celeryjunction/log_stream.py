"""A non-blocking log stream, which passes lines to a thread by a bounded queue."""

from __future__ import annotations

import os
from queue import Empty, Full, Queue
from threading import Thread

MAX_QUEUED_LINES = 5000
"""Lines that are queued while the output is slow; further ones are dropped."""
_END = ""  # Tells the thread to stop.


class BackgroundStream:
    """Writes text to a file descriptor in the background.

    If the reader is too slow, lines are dropped. The next line for which the queue has
    room is then preceded by a line with the number of dropped ones.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._queue: Queue[str] = Queue(MAX_QUEUED_LINES)
        self._dropped = 0
        self._thread = Thread(target=self._run, name="log", daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queue text, or drop it if the queue is full."""
        try:
            if self._dropped:
                notice = f"level=warning event=lines_dropped count={self._dropped}\n"
                self._queue.put_nowait(notice)
                self._dropped = 0
            self._queue.put_nowait(text)
        except Full:
            self._dropped += 1
        return len(text)

    def flush(self) -> None:
        """Do nothing, because the thread writes queued text without delay."""

    def close(self, *, timeout: float = 0.5) -> None:
        """Write the queued text and stop.

        Waits up to `timeout` seconds for room in the queue, and as long again for the
        thread to write the rest.
        """
        try:
            self._queue.put(_END, timeout=timeout)
        except Full:
            return
        self._thread.join(timeout)

    def _run(self) -> None:
        while True:
            text = self._queue.get()
            ended = text == _END
            parts = [text]
            while not ended:
                try:
                    text = self._queue.get_nowait()
                except Empty:
                    break
                ended = text == _END
                parts.append(text)
            data = "".join(parts).encode()
            while data:
                data = data[os.write(self._descriptor, data) :]
            if ended:
                return
