"""Conversion of Unix timestamps from other processes of this machine to the node's steady time. Pure.

A request's birth is the steady time at which it was stamped. The wall clock may be stepped by seconds or
hours, in either direction, between a stamp and its reading. So the offset (Unix time - steady time) is
tracked: the recent past is a list of segments, each with one offset.

    steady time   ---[ segment, offset A ]---(gap)---[ segment, offset B ]--- now
                                      last seen   first seen

A step is noticed only at the next reading of both clocks. In the gap before that either offset may have
applied, so both segments extend over it. Slewing ends a segment too, once the offset is ``STEP_S`` away from
the segment's first offset.

Invariants: segments are in order and cover the whole remembered time; there are at most ``MAX_SEGMENTS``; no
birth is in the future. And if the clock was stepped at most once between two readings:

- the true birth lies from ``born - earlier_s`` to ``born + later_s``, within ``TOLERANCE_S``;
- a due time counted from ``born`` is never later than the true one, unless the true one has passed at the
  reading; ``RequestTable`` enforces it, whatever the module derives from the latest birth;
- it is earlier by at most the sum of the backward steps in the remembered time, or the longest gap, if that
  is more (``core/actor.py`` reads the clocks at least once a second).

A step that is reversed between two readings shows only in the stamps made meanwhile. Stamps that fit no
offset count from the last reading before the gap. Stamps that look slightly old or new (2 s back, or 2 s
ahead and read that late) count as such, so their requests are due that much sooner or later.
"""

import math
from dataclasses import dataclass

STEP_S = 0.005  # offsets this close count as equal; the fastest slewing, 500 ppm, takes 10 s for it
TOLERANCE_S = STEP_S + 0.002  # stamps are truncated to milliseconds, and no two clocks are read at once
UNSEEN_STEP_S = 0.1  # a greater change cannot be slewing; such a step may hide a second one in its gap
MAX_SEGMENTS = 64  # a clock that is being corrected takes fewer steps in the remembered time
# A stamp that no offset explains is taken to be from a step that was reversed between two readings, if there
# was a gap of ``MIN_GAP_S`` without readings. The stamp must be ahead of its reading, or too old to have been
# read late, ``MAX_READ_DELAY_S``; and off by at most ``MAX_STEP_S``, as clocks are stepped by no more.
MIN_GAP_S, MAX_READ_DELAY_S, MAX_STEP_S = 0.12, 600.0, 7200.0
# Seconds by which a stamp may be ahead of its reading (both clocks are the same machine's), and by which the
# reading may be past the request's due time.
MAX_BORN_AHEAD_S, MAX_PAST_DUE_S = 1.0, 10.0


@dataclass(frozen=True, slots=True)
class Birth:
    """When a request reached the machine, in steady seconds, and the uncertainty of that."""

    born: float  # earliest possible birth that leaves any time; due times count from it
    earlier_s: float = 0.0  # seconds by which it may be earlier; repeats are looked up as of this birth
    later_s: float = 0.0  # seconds by which it may be later; a new key is remembered from the latest birth

    @property
    def earliest(self) -> float:
        """The earliest possible birth."""
        return self.born - self.earlier_s

    @property
    def latest(self) -> float:
        """The latest possible birth."""
        return self.born + self.later_s


FAR_OFF = Birth(-math.inf)  # no offset of the remembered time explains the stamp


@dataclass(slots=True)
class Segment:
    """A period in which the offset stayed within ``STEP_S`` of ``offset``; times in steady seconds."""

    offset: float
    begins: float  # last reading before it, since which its offset may have applied
    first_seen: float
    last_seen: float
    ends: float = math.inf  # steady time (s) of the first clock reading in the next segment; inf: none yet
    stepped: bool = False  # whether it began with a step, not by slewing


class ClockOffset:
    """Tracks the offset between the clocks by readings of both, and converts stamps to births."""

    def __init__(self, now: float, unix_s: float, remember_s: float) -> None:
        """``remember_s``: the greatest age, in seconds, at which a request may still be read."""
        self.remember_s = remember_s
        self.segments = [Segment(unix_s - now, -math.inf, now, now)]
        self.gap = (-math.inf, -math.inf)  # last period of ``MIN_GAP_S`` or more without a reading

    def observe(self, now: float, unix_s: float) -> bool:
        """Record one reading of both clocks; return whether it shows a step, too large for slewing."""
        offset = unix_s - now
        current = self.segments[-1]
        change = abs(offset - current.offset)
        if now - current.last_seen >= MIN_GAP_S:
            self.gap = current.last_seen, now
        stepped = change > UNSEEN_STEP_S
        if change <= STEP_S:
            current.last_seen = now
        else:
            current.ends = now
            self.segments.append(Segment(offset, current.last_seen, now, now, stepped=stepped))
        while self.segments[0].ends < now - self.remember_s or len(self.segments) > MAX_SEGMENTS:
            del self.segments[0]
        return stepped

    def birth(self, unix_s: float, now: float, give_up_s: float) -> Birth:
        """Return the birth of a request that has the stamp ``unix_s`` and was read now, or ``FAR_OFF``.

        ``give_up_s``: seconds from its birth to its due time. If several segments explain the stamp, births
        whose due time has passed are skipped: if one of them is the true birth, the request is late anyway.
        """
        oldest = now - give_up_s - MAX_PAST_DUE_S
        births = sorted(self._possible_births(unix_s, now, oldest))
        if births:
            in_time = [born for born in births if now - born < give_up_s]
            born = in_time[0] if in_time else births[0]
            return Birth(born, born - births[0], births[-1] - born)
        if any(segment.stepped and segment.first_seen >= oldest for segment in self.segments):
            # A step of the wall clock was seen since ``oldest``. Between two clock readings, e.g. while the
            # process was paused, there may have been two steps: a stamp made between them may fit no
            # segment's offset. So take this stamp to be made in the gap before the latest segment.
            return self._born_in_gap(self.segments[-1].begins, now, oldest, give_up_s)
        # A step may be reversed before any reading shows it: a stamp made between fits no offset, but is not
        # malformed.
        ahead_s = unix_s - self.segments[-1].offset - now
        if self.gap[1] >= oldest and (
            MAX_BORN_AHEAD_S < ahead_s <= MAX_STEP_S or -MAX_STEP_S <= ahead_s < -MAX_READ_DELAY_S
        ):
            return self._born_in_gap(self.gap[0], now, oldest, give_up_s)
        return FAR_OFF

    @staticmethod
    def _born_in_gap(begins: float, now: float, oldest: float, give_up_s: float) -> Birth:
        """Return the birth of a request whose stamp fits no segment's offset.

        The stamp is taken to be made between two clock readings, of which ``begins`` is the first. The birth
        is ``begins``, or ``now`` if the due time, ``give_up_s`` after ``begins``, has passed. Its uncertainty
        covers ``oldest`` to ``now``. Times are in steady seconds.
        """
        born = begins if now - begins < give_up_s else now
        return Birth(born, born - oldest, now - born)

    def _possible_births(self, unix_s: float, now: float, oldest: float) -> list[float]:
        """Return the births that explain the stamp, one for each segment in which it may have been made."""
        births = []
        for segment in self.segments:
            born = unix_s - segment.offset
            ends = min(segment.ends + TOLERANCE_S, now + MAX_BORN_AHEAD_S)
            if max(segment.begins - TOLERANCE_S, oldest) <= born <= ends:
                births.append(min(born, now))
        return births
