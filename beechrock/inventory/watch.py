"""Decides when to read the inventory again and whether to apply the result. Pure: events and times come in.

States: STEADY, SETTLING (files are being written), READING, HELD (a valid result removes so many entries that
it needs confirmation). Events: ``Seen``, ``Word`` (the operator's), ``Done``, ``Undone``. Actions: ``Read``,
``Take``, ``Refuse``, ``Hold``, ``Same``. Invariants: only one read runs at a time; a result is not applied if
files changed during the read; a bad file is reported once; a held generation is applied only if a second
read, ``confirm_s`` later or at the operator's request, returns the same generation.
"""

from dataclasses import dataclass
from enum import Enum

from beechrock.inventory.generation import Generation
from beechrock.inventory.plan import Change

Stamp = tuple[tuple[object, ...], ...]  # For each file: path, device, inode, size, mtime, ctime


class State(Enum):
    STEADY = "steady"
    SETTLING = "settling"
    READING = "reading"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Rules:
    """Intervals of the watch, in seconds."""

    settle_s: float = 0.5  # Time without changes before files are read
    longest_s: float = 10.0  # Time after which files are read even if they keep changing
    confirm_s: float = 10.0  # Time before a held change is read a second time
    again_s: float = 5.0  # Time before a retry if the node's disk failed


@dataclass(frozen=True, slots=True)
class Seen:
    """A stamp of the files as they are now."""

    stamp: Stamp


@dataclass(frozen=True, slots=True)
class Word:
    """The operator's request to read now, which also confirms a held change if it is read again."""


@dataclass(frozen=True, slots=True)
class Done:
    """Result of a read: a generation and its change, or the problems; stamps from before and after the read.

    ``failed`` means that the node's own disk failed and the files are not at fault.
    """

    found: Generation | None
    change: Change | None
    problems: tuple[str, ...]
    before: Stamp
    after: Stamp
    failed: bool = False


@dataclass(frozen=True, slots=True)
class Undone:
    """A generation could not be applied; ``before`` stays in force."""

    before: Generation
    why: str


@dataclass(frozen=True, slots=True)
class Read:
    pass


@dataclass(frozen=True, slots=True)
class Take:
    """Apply ``new``; the owner reports ``Undone`` with ``before``, the generation in force, if it can't."""

    new: Generation
    change: Change
    before: Generation


@dataclass(frozen=True, slots=True)
class Refuse:
    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Hold:
    new: Generation
    change: Change


@dataclass(frozen=True, slots=True)
class Same:
    """The files changed but their content means the same as the generation in force."""


Event = Seen | Word | Done | Undone
Action = Read | Take | Refuse | Hold | Same


class Watch:
    """State machine: ``take`` handles an event; ``running`` is the generation in force."""

    def __init__(self, rules: Rules, running: Generation, stamp: Stamp) -> None:
        self.rules, self.running, self.stamp = rules, running, stamp
        self.state = State.STEADY
        self.problems: tuple[str, ...] = ()  # Problems of the last read; empty after a good one
        self._candidate, self._since, self._started = stamp, 0.0, 0.0
        self._held: str | None = None  # Digest of the generation that waits for confirmation
        self._held_at = 0.0
        self._retry_at: float | None = None  # Time of the retry after a failure of the node's disk
        self._requested = self._reread = False

    def take(self, now: float, event: Event) -> list[Action]:
        match event:
            case Seen(stamp):
                return self._seen(now, stamp)
            case Word():
                if self.state is State.READING:
                    self._reread = True  # The running read started before this request
                    return []
                self._requested = True
                return self._read()
            case Undone(before, why):
                self.running = before
                return self._refuse((why,))
            case Done():
                return self._done(now, event) if self.state is State.READING else []

    def _read(self) -> list[Action]:
        self.state, self._retry_at = State.READING, None
        return [Read()]

    def _seen(self, now: float, stamp: Stamp) -> list[Action]:
        match self.state:
            case State.STEADY | State.HELD if stamp != self.stamp:
                self._settle(now, stamp)
                self._started = now
            case State.HELD if now - self._held_at >= self.rules.confirm_s:
                return self._read()
            case State.STEADY if self._retry_at is not None and now >= self._retry_at:
                return self._read()
            case State.SETTLING if stamp != self._candidate:
                self._settle(now, stamp)
        if self.state is State.SETTLING and (
            now - self._since >= self.rules.settle_s or now - self._started >= self.rules.longest_s
        ):
            return self._read()
        return []

    def _settle(self, now: float, stamp: Stamp) -> None:
        self.state, self._candidate, self._since = State.SETTLING, stamp, now

    def _done(self, now: float, done: Done) -> list[Action]:
        requested, self._requested = self._requested, False
        if self._reread:
            self._reread, self._requested = False, True
            return self._read()
        if done.before != done.after:
            # Files were swapped during the read, so the result may mix old and new files.
            self._settle(now, done.after)
            return []
        self.stamp = done.after
        if done.found is None or done.change is None:
            last_problems, self._retry_at = self.problems, now + self.rules.again_s if done.failed else None
            refused = self._refuse(done.problems)
            return [] if done.failed and last_problems == done.problems else refused  # Reported once
        self.problems = ()
        if done.found.digest == self.running.digest:
            self.state, self._held = State.STEADY, None
            return [Same()]
        change = done.change
        if change.refused:
            return self._refuse(change.refused)
        is_held = done.found.digest == self._held
        if change.held and not (is_held and (requested or now - self._held_at >= self.rules.confirm_s)):
            if not is_held:
                self._held, self._held_at = done.found.digest, now
            self.state = State.HELD
            return [] if is_held else [Hold(done.found, change)]
        before, self.running = self.running, done.found
        self.state, self._held = State.STEADY, None
        return [Take(done.found, change, before)]

    def _refuse(self, problems: tuple[str, ...]) -> list[Action]:
        self.state, self._held, self.problems = State.STEADY, None, problems
        return [Refuse(problems)]
