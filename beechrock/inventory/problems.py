"""Collects the problems of an inventory: those of all files in one pass, each with file and line."""

import difflib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

MOST_LISTED = 200  # Problems kept; others are only counted, as one bad default can affect 100,000 entries
MOST_SHOWN = 80  # Characters of a value in a message


class Severity(Enum):
    ERROR = "error"  # The inventory can't be used
    WARNING = "warning"  # The inventory can be used, but is probably not what the author meant


@dataclass(frozen=True, slots=True, order=True)
class Place:
    """A line of a file; lines count from 1, and 0 stands for the file as a whole."""

    file: str
    line: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}" if self.line else self.file


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem, printed as ``FILE:LINE: ENTRY: KEY: TEXT``; entry and key are empty for a whole file."""

    place: Place
    entry: str
    key: str
    text: str
    severity: Severity = Severity.ERROR
    wanted: str = ""  # Values that the key allows; empty if unknown

    def __str__(self) -> str:
        mark = "warning: " if self.severity is Severity.WARNING else ""
        return ": ".join(part for part in (str(self.place), self.entry, self.key, mark + self.text) if part)

    def as_json(self) -> dict[str, object]:
        return {
            "file": self.place.file,
            "line": self.place.line,
            "entry": self.entry,
            "key": self.key,
            "severity": self.severity.value,
            "text": self.text,
            "wanted": self.wanted,
        }


class Problems:
    """Problems found so far, without duplicates; at most ``most`` are kept and the others are counted."""

    def __init__(self, most: int = MOST_LISTED) -> None:
        self.most = most
        self.listed: list[Problem] = []
        self.errors = self.warnings = 0
        self._seen: set[Problem] = set()

    def add(
        self,
        place: Place,
        entry: str,
        key: str,
        text: str,
        severity: Severity = Severity.ERROR,
        wanted: str = "",
    ) -> None:
        problem = Problem(place, entry, key, text, severity, wanted)
        if problem in self._seen:
            return
        if severity is Severity.ERROR:
            self.errors += 1
        else:
            self.warnings += 1
        if len(self.listed) < self.most:
            self._seen.add(problem)
            self.listed.append(problem)

    def warn(self, place: Place, entry: str, key: str, text: str) -> None:
        self.add(place, entry, key, text, Severity.WARNING)

    def lines(self) -> list[str]:
        """Return the problems sorted by file and line; a last line counts those that were not kept."""
        found = [str(p) for p in sorted(self.listed, key=lambda p: (p.place, p.entry, p.key))]
        more = self.errors + self.warnings - len(found)
        return [*found, f"and {more} more problems"] if more > 0 else found


def nearest(word: str, known: Iterable[str]) -> str:
    """Return `` (is NAME meant?)`` for the known name most similar to ``word``, or an empty string."""
    found = difflib.get_close_matches(word[:MOST_SHOWN], list(known), 1, 0.75)
    return f" (is {found[0]} meant?)" if found else ""


def shown(value: object) -> str:
    """Return the value as text for a message, cut to ``MOST_SHOWN`` characters."""
    text = repr(value)
    return text if len(text) <= MOST_SHOWN else text[: MOST_SHOWN - 3] + "..."
