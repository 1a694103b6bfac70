"""The queue of writes at an edge's member, with quotas by team. Pure, and small in memory.

States of a write: WAITING -> SENT -> APPLIED | REFUSED | EXPIRED | DISCARDED, and DOUBT, which only an
operator ends, by release (WAITING again) or discard. SENT is not durable: after a restart the write is
WAITING again, and upstream's marks know whether it ran.
Events: ``add``, ``sent``, ``unsent`` (to be sent again), ``end``, ``doubt``, ``clear_doubt``.
Invariants: a write leaves the queue only by an end that upstream settled; the bytes of all teams add up to
``bytes_held``; a write that does not fit is refused before it is accepted, never after.

For each write 19 bytes are kept in memory (its place in the log, its size, its team, its state); the rest is
read from the log when its turn comes.
"""

from array import array
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from beechrock.edges.causal import Dot
from beechrock.edges.errors import EdgeFullError, EdgeInvariantError
from beechrock.edges.words import ENDS, State

CUT_AFTER_S = 30.0  # Retry delay in seconds for refused callers while nothing is replayed
MAX_TEAMS = 4096


NOT_HELD = 255  # State in a lane of a counter whose write is not held, or not yet
_ENDED = frozenset((NOT_HELD, *(state.value for state in ENDS)))
MIN_TRIM = 256  # Minimum number of ended writes at the front of a lane to remove at once
TURNS_SLACK = 8192
_COUNTER_BITS = 40  # Bits of the counter in a turn's code; the lane's number is in the bits above


class Lane:
    """The writes of one writer from counter ``base`` on; earlier ones have ended or were never held."""

    __slots__ = ("base", "number", "places", "sizes", "states", "teams", "writer")

    def __init__(self, writer: str, number: int, base: int) -> None:
        self.writer, self.number, self.base = writer, number, base
        self.places, self.sizes, self.teams, self.states = array("q"), array("i"), array("H"), bytearray()

    def find(self, n: int) -> int | None:
        """Return the index of counter ``n``, or None if its write is not held or was trimmed."""
        at = n - self.base
        return at if 0 <= at < len(self.states) and self.states[at] != NOT_HELD else None

    def reach(self, n: int) -> int:
        """Return the index of counter ``n``, growing the lane to hold it; copies may come in any order."""
        if (missing := self.base - n) > 0:
            self.places[0:0], self.sizes[0:0] = array("q", [0]) * missing, array("i", [0]) * missing
            self.teams[0:0] = array("H", [0]) * missing
            self.states[0:0] = bytes([NOT_HELD]) * missing
            self.base = n
        if (missing := n - self.base + 1 - len(self.states)) > 0:
            self.places.extend(array("q", [0]) * missing)
            self.sizes.extend(array("i", [0]) * missing)
            self.teams.extend(array("H", [0]) * missing)
            self.states.extend(bytes([NOT_HELD]) * missing)
        return n - self.base

    def trim(self) -> None:
        at, count = 0, len(self.states)
        while at < count and self.states[at] in _ENDED:
            at += 1
        if at >= MIN_TRIM or at == count:
            del self.places[:at], self.sizes[:at], self.teams[:at], self.states[:at]
            self.base += at


class Turns:
    """The writes of one team, in order of arrival."""

    __slots__ = ("at", "codes")

    def __init__(self) -> None:
        self.codes, self.at = array("q"), 0

    def take(self) -> int | None:
        if self.at >= len(self.codes):
            return None
        code = self.codes[self.at]
        self.at += 1
        if self.at >= 4096 and 2 * self.at >= len(self.codes):
            del self.codes[: self.at]
            self.at = 0
        return code


@dataclass(slots=True)
class Queue:
    most_bytes: int
    without: frozenset[str] = frozenset()
    lanes: dict[str, Lane] = field(default_factory=dict)
    lanes_by_number: list[Lane] = field(default_factory=list)
    free_numbers: list[int] = field(default_factory=list)  # Numbers of forgotten lanes, for reuse
    teams: list[str] = field(default_factory=list)
    bytes_by_team: dict[str, int] = field(default_factory=dict)  # Bytes of waiting writes by team
    counts_by_team: dict[str, int] = field(default_factory=dict)  # Number of waiting writes by team
    turns: dict[str, Turns] = field(default_factory=dict)
    bytes_held: int = 0
    drained_per_s: float = 0.0  # Measured replay rate in bytes per second; 0 if unknown

    def __len__(self) -> int:
        return sum(self.counts_by_team.values())

    def __contains__(self, dot: Dot) -> bool:
        return self.state(dot) is not None

    def admit(self, team: str, size: int, shares: Mapping[str, float]) -> None:
        """Check that there is room for a write of a team.

        Within its share a team always has room; beyond it, only in bytes that no other team's share reserves.
        Without shares one team's flood during a cut caused the refusal of all other teams' writes.

        Raises EdgeFullError if there is no room.
        """
        used, reserved = self.bytes_by_team.get(team, 0), 0.0
        if "shares" not in self.without and used + size > shares.get(team, 0.0) * self.most_bytes:
            for other, share in shares.items():
                if other != team:
                    reserved += max(0.0, share * self.most_bytes - self.bytes_by_team.get(other, 0))
        over = self.bytes_held + size + reserved - self.most_bytes
        if over > 0 or (team not in self.counts_by_team and len(self.teams) >= MAX_TEAMS):
            after = over / self.drained_per_s if self.drained_per_s > 0 else CUT_AFTER_S
            raise EdgeFullError(
                f"the queue holds {self.bytes_held >> 10} KB of {self.most_bytes >> 10} KB; "
                f"team {team} has {used >> 10} KB of it",
                min(max(1.0, after), 600.0),
                where="edges.most_mb",
                wanted="room within the team's share",
                do="wait for upstream, raise edges.most_mb, or discard (docs/edges.md)",
            )

    def add(self, dot: Dot, team: str, size: int, place: int) -> bool:
        """Add a write of ``size`` bytes at index ``place`` of the log; return False if it is held already."""
        lane = self.lanes.get(dot.writer)
        if lane is None:
            number = self.free_numbers.pop() if self.free_numbers else len(self.lanes_by_number)
            lane = self.lanes[dot.writer] = Lane(dot.writer, number, dot.n)
            self.lanes_by_number[number : number + 1] = [lane]
        if lane.find(dot.n) is not None:
            return False
        if team not in self.counts_by_team:
            self.teams.append(team)
            self.counts_by_team[team] = self.bytes_by_team[team] = 0
            self.turns[team] = Turns()
        at = lane.reach(dot.n)
        lane.places[at], lane.sizes[at], lane.states[at] = place, size, State.WAITING.value
        lane.teams[at] = self.teams.index(team)
        self.bytes_by_team[team] += size
        self.counts_by_team[team] += 1
        self.bytes_held += size
        self.turns[team].codes.append(lane.number << _COUNTER_BITS | dot.n)
        return True

    def state(self, dot: Dot) -> State | None:
        """Return the state of a write, or None if it was never held or has ended and been trimmed."""
        lane = self.lanes.get(dot.writer)
        at = lane.find(dot.n) if lane is not None else None
        return State(lane.states[at]) if lane is not None and at is not None else None

    def waits(self, dot: Dot) -> bool:
        """Whether the write is held here and has not ended."""
        state = self.state(dot)
        return state is not None and state not in ENDS

    def place(self, dot: Dot) -> int:
        lane = self.lanes[dot.writer]
        return lane.places[lane.reach(dot.n)]

    def team(self, dot: Dot) -> str:
        lane = self.lanes[dot.writer]
        return self.teams[lane.teams[lane.reach(dot.n)]]

    def moved(self, dot: Dot, place: int) -> None:
        """Record that the write is now at index ``place`` of the log."""
        lane = self.lanes[dot.writer]
        lane.places[lane.reach(dot.n)] = place

    def take(self, team: str) -> Dot | None:
        """Take the team's next waiting write; it is not returned again unless ``rewind`` is called."""
        turns = self.turns[team]
        while (code := turns.take()) is not None:
            dot = self._dot(code)
            if self.state(dot) is State.WAITING:
                return dot
        return None

    def sent(self, dot: Dot) -> None:
        self._to(dot, State.SENT)

    def doubt(self, dot: Dot) -> None:
        self._to(dot, State.DOUBT)

    def unsent(self, dot: Dot) -> None:
        """Set a sent write to WAITING again; the caller that took it offers it again."""
        if self.state(dot) is State.SENT:
            self._to(dot, State.WAITING)

    def clear_doubt(self, dot: Dot) -> None:
        """Set a write in doubt to WAITING again, after an operator released it."""
        if self.state(dot) is State.DOUBT:
            self._to(dot, State.WAITING)

    def rewind(self) -> None:
        """Start again at the oldest write, as if none had been taken."""
        for turns in self.turns.values():
            turns.codes, turns.at = array("q"), 0
        for dot, state, _ in sorted(self.live(), key=lambda found: found[2]):
            if state is State.SENT:
                self._to(dot, State.WAITING)
            self.turns[self.team(dot)].codes.append(self.lanes[dot.writer].number << _COUNTER_BITS | dot.n)

    def end(self, dot: Dot, state: State) -> bool:
        """End a write in ``state``; return False if it is not held here or has ended before."""
        lane = self.lanes.get(dot.writer)
        at = lane.find(dot.n) if lane is not None else None
        if state not in ENDS:
            raise EdgeInvariantError(f"{state.name} is no end", where=f"{dot}")
        if lane is None or at is None or State(lane.states[at]) in ENDS:
            return False
        team = self.teams[lane.teams[at]]
        self.bytes_by_team[team] -= lane.sizes[at]
        self.counts_by_team[team] -= 1
        self.bytes_held -= lane.sizes[at]
        lane.states[at] = state.value
        if self.bytes_by_team[team] < 0 or self.counts_by_team[team] < 0:
            raise EdgeInvariantError(f"team {team} holds less than nothing", where="edges.queue")
        lane.trim()
        turns = self.turns[team]
        # A member that never replays takes no turns, so ended writes are removed from them here.
        if len(turns.codes) > 4 * self.counts_by_team[team] + TURNS_SLACK:
            turns.codes = array(
                "q", [code for code in turns.codes[turns.at :] if self.waits(self._dot(code))]
            )
            turns.at = 0
        return True

    def idle(self, writer: str) -> bool:
        """Whether no write of this writer waits here."""
        lane = self.lanes.get(writer)
        return lane is None or all(value in _ENDED for value in lane.states)

    def forget(self, writers: list[str]) -> None:
        """Remove the lanes of idle writers that cannot write any more."""
        gone = {lane.number for writer in writers if (lane := self.lanes.pop(writer, None)) is not None}
        if not gone:
            return
        for number in gone:
            self.lanes_by_number[number] = Lane("", number, 0)
            self.free_numbers.append(number)
        for turns in self.turns.values():  # The numbers will be reused for other lanes
            turns.codes = array("q", [c for c in turns.codes[turns.at :] if c >> _COUNTER_BITS not in gone])
            turns.at = 0

    def live(self) -> Iterator[tuple[Dot, State, int]]:
        """Iterate over all writes that have not ended, as dot, state and index in the log."""
        for lane in self.lanes_by_number:
            for at, value in enumerate(lane.states):
                if value not in _ENDED:
                    yield Dot(lane.writer, lane.base + at), State(value), lane.places[at]

    def heads(self) -> Iterator[tuple[Dot, State]]:
        """Iterate over the first write of each writer that has not ended."""
        for lane in self.lanes_by_number:
            for at, value in enumerate(lane.states):
                if value not in _ENDED:
                    yield Dot(lane.writer, lane.base + at), State(value)
                    break

    def oldest_place(self) -> int | None:
        """Return the lowest index of the log that is still needed, or None."""
        return min((place for _, _, place in self.live()), default=None)

    def _dot(self, code: int) -> Dot:
        return Dot(self.lanes_by_number[code >> _COUNTER_BITS].writer, code & ((1 << _COUNTER_BITS) - 1))

    def _to(self, dot: Dot, state: State) -> None:
        lane = self.lanes[dot.writer]
        lane.states[lane.reach(dot.n)] = state.value
