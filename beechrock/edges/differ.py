"""Resolution of conflicts between concurrent writes to one subject, with one result for all readers. Pure.

Rules (``services.when_differing``): BOTH runs all. LAST: the write with the highest rank wins; the rank is
the causal height, then the dot, and never a clock. FIRST: the write that upstream ran first wins, and a later
write that did not know it is superseded. Upstream durably keeps the *standing* (winning) write of each
subject, so the decision is made in one place.

Invariants: with LAST the write of a subject that ran last has the highest rank of all that arrived, whatever
their order of arrival; with FIRST each write that ran knew the standing write before it.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from beechrock.edges.causal import Dot, Seen

# Maximum number of subjects with a standing write; the least recently written one is evicted, and the next
# write to it simply runs.
MAX_SUBJECTS = 16_384


class Differing(Enum):
    FIRST = "first"
    LAST = "last"
    BOTH = "both"


@dataclass(frozen=True, slots=True)
class Standing:
    dot: Dot
    seen: Seen

    @property
    def rank(self) -> tuple[int, Dot]:
        return self.seen.height, self.dot


@dataclass(slots=True)
class Differ:
    subjects: OrderedDict[int, Standing] = field(default_factory=OrderedDict)

    def superseded_by(self, rule: Differing, place: int, new: Standing) -> Dot | None:
        """Return the standing write that supersedes ``new``, or None if ``new`` may run."""
        held = self.subjects.get(place)
        if rule is Differing.BOTH or held is None or held.dot in new.seen.dots:
            return None
        if rule is Differing.LAST:
            return held.dot if held.rank > new.rank else None
        return None if new.seen.knows(held.dot) else held.dot

    def ran(self, rule: Differing, place: int, new: Standing) -> None:
        """Record that ``new`` was applied and is now the standing write of its subject."""
        if rule is Differing.BOTH:
            return
        self.subjects.pop(place, None)
        self.subjects[place] = new
        if len(self.subjects) > MAX_SUBJECTS:
            self.subjects.popitem(last=False)

    def forget(self, writer: str) -> None:
        """Forget the standing writes of a closed life: new writes cannot tell whether they follow them."""
        for place in [place for place, held in self.subjects.items() if held.dot.writer == writer]:
            del self.subjects[place]

    def plain(self) -> list[Any]:
        return [[place, list(s.dot), s.seen.plain()] for place, s in self.subjects.items()]

    @classmethod
    def of_plain(cls, plain: list[Any]) -> "Differ":
        return cls(
            OrderedDict((place, Standing(Dot(*dot), Seen.of_plain(seen))) for place, dot, seen in plain)
        )
