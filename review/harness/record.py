"""Record of a run: what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines with the seconds since the start and writes them to a file."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started = time.monotonic()
        self._lines: list[str] = []

    def seconds(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started

    def add(self, event: str, *words: object) -> None:
        """Add one line; bytes are shown as a Python literal."""
        text = " ".join(
            repr(word)[1:] if isinstance(word, bytes) else str(word) for word in words
        )
        self._lines.append(f"{self.seconds():8.3f} {event:<9} {text}")

    def say(self, event: str, *words: object) -> None:
        """Add one line and print it."""
        self.add(event, *words)
        print(self._lines[-1], flush=True)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")
