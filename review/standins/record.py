"""The record of a case: what was sent, answered and run, with the time of each."""

import time
from pathlib import Path


class Record:
    """Collects lines and writes them to a file at the end."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_s

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{self.now_s():8.3f} s  {text}")

    def say(self, text: str) -> None:
        """Add a line and print it."""
        self.add(text)
        print(self._lines[-1], flush=True)

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
