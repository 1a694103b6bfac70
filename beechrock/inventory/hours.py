"""Weekly hours in which a contract is in effect: ``mon-fri 08:00-18:00, sat 22:00-02:00``. Pure.

Hours are kept as sorted spans of seconds in a week, so a lookup is a binary search. The time zone is a fixed
offset from UTC: daylight saving time takes effect only when an operator changes the inventory.
"""

import re
from bisect import bisect_right
from dataclasses import dataclass

from beechrock.inventory.errors import BadValueError

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
DAY_S, WEEK_S = 86_400, 604_800
MAX_SPANS = 64
_PART = re.compile(r"(?:([a-z]{3})(?:-([a-z]{3}))?\s+)?(\d\d):(\d\d)-(\d\d):(\d\d)")
WANTED = "as mon-fri 08:00-18:00, sat 10:00-14:00"


@dataclass(frozen=True, slots=True)
class Hours:
    """Sorted, disjoint spans of the week, as (start, end) in seconds since Monday 00:00 local time.

    ``offset_s`` is the offset of local time from UTC, in seconds.
    """

    spans: tuple[tuple[int, int], ...] = ((0, WEEK_S),)
    offset_s: int = 0

    def look(self, wall: float) -> tuple[bool, float]:
        """Return whether the Unix time ``wall`` is within the hours, and the seconds until that changes.

        The seconds are infinite if the hours cover the whole week.
        """
        if self.spans == ((0, WEEK_S),):
            return True, float("inf")
        # 1970-01-01 was a Thursday.
        at = (wall + self.offset_s + 3 * DAY_S) % WEEK_S
        place = bisect_right(self.spans, (at, float("inf"))) - 1
        if place >= 0 and at < self.spans[place][1]:
            end = self.spans[place][1]
            first = self.spans[0]
            if end == WEEK_S and first[0] == 0:  # The span continues past the end of the week
                end += first[1]
            return True, end - at
        after = self.spans[place + 1][0] if place + 1 < len(self.spans) else self.spans[0][0] + WEEK_S
        return False, after - at


def parse(text: str, offset_s: int = 0) -> Hours:
    """Parse weekly hours; raise BadValueError with the fault if the text is malformed.

    An end that is not after its begin is on the next day; 24:00 is the end of a day.
    """
    spans: list[tuple[int, int]] = []
    for part in text.lower().split(","):
        found = _PART.fullmatch(part.strip())
        if found is None:
            raise BadValueError(f"{part.strip()!r} says no hours", wanted=WANTED)
        first, last, *numbers = found.groups()
        if any(day is not None and day not in DAYS for day in (first, last)):
            raise BadValueError(f"{part.strip()!r} names no day", wanted=" ".join(DAYS))
        h1, m1, h2, m2 = map(int, numbers)
        begin, end = 3600 * h1 + 60 * m1, 3600 * h2 + 60 * m2
        if m1 > 59 or m2 > 59 or begin >= DAY_S or end > DAY_S:
            raise BadValueError(f"{part.strip()!r} has no time of a day", wanted="00:00 to 24:00")
        a = DAYS.index(first) if first else 0
        b = DAYS.index(last) if last else a if first else 6
        for day in range(a, b + 1 if b >= a else b + 8):
            at = day % 7 * DAY_S
            spans.append((at + begin, at + (end if end > begin else end + DAY_S)))
    return Hours(_joined(spans), offset_s)


def _joined(spans: list[tuple[int, int]]) -> tuple[tuple[int, int], ...]:
    """Wrap spans into one week, sort them, and merge those that overlap or touch."""
    cut = [(a, min(b, WEEK_S)) for a, b in spans] + [(0, b - WEEK_S) for _, b in spans if b > WEEK_S]
    found: list[tuple[int, int]] = []
    for a, b in sorted(cut):
        if found and a <= found[-1][1]:
            found[-1] = found[-1][0], max(b, found[-1][1])
        else:
            found.append((a, b))
    if len(found) > MAX_SPANS:
        raise BadValueError(f"{len(found)} spans a week", wanted=f"at most {MAX_SPANS}")
    return tuple(found)
