"""The record of one play: what was sent, answered and run, and which rules were broken."""

import os
import time
from typing import TextIO


class Record:
    """Writes lines with the Unix time to a file, and counts the broken rules."""

    def __init__(self, path: str) -> None:
        self._file: TextIO = open(path, "w", encoding="utf-8", buffering=1)  # noqa: SIM115
        self.broken: list[str] = []
        self.counts: dict[str, int] = {}

    def note(self, *words: object) -> None:
        """Write one line."""
        print(f"{time.time():.4f}", *words, file=self._file)

    def count(self, name: str, by: int = 1) -> None:
        """Count something for the summary."""
        self.counts[name] = self.counts.get(name, 0) + by

    def breach(self, rule: str, *words: object) -> None:
        """Note a broken rule."""
        self.broken.append(rule)
        self.note("BROKEN", rule, *words)

    def close(self) -> None:
        """Write the summary and close the file."""
        for name in sorted(self.counts):
            self.note("total", name, self.counts[name])
        for rule in sorted(set(self.broken)):
            self.note("rule", rule, "broken", self.broken.count(rule), "times")
        self.note("verdict", "broken" if self.broken else "held")
        self._file.flush()
        os.fsync(self._file.fileno())
        self._file.close()
