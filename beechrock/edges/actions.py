"""Actions that the pure modules return for the actor to carry out. Pure.

All records that a turn appended to the log are synced before any of its actions is carried out, so a crash
cannot undo a promise.
"""

from dataclasses import dataclass

from beechrock.edges.causal import Dot, Seen
from beechrock.edges.words import Entry, State, Word


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    word: Word


@dataclass(frozen=True, slots=True)
class Run:
    """Upstream's request to run a write in the module; the outcome is reported to ``ran``."""

    key: int
    entry: Entry
    live: bool


@dataclass(frozen=True, slots=True)
class Accepted:
    """Answer to the caller: 202 with the receipt of its accepted write."""

    ref: int
    dot: Dot
    seen: Seen
    places: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Turned:
    """Answer to the caller: 503, as its write was refused and not stored."""

    ref: int
    after_s: float
    why: str


@dataclass(frozen=True, slots=True)
class Done:
    """Answer to the caller: upstream's verdict on its straight write; ``failed`` if that is unknown."""

    ref: int
    verdict: str
    body: bytes = b""
    media: str = ""
    after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Noted:
    """The end of a write, to be logged as an event for the history."""

    dot: Dot
    nonce: str
    state: State
    why: str


Action = Send | Run | Accepted | Turned | Done | Noted
