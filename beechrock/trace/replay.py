"""The decision module played again on what it was told: the same actions, to the bit. Pure.

A trace that has its start can be played exactly; where the first difference is, the record or the module
changed.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from beechrock import interface as api
from beechrock.policy import Node
from beechrock.trace import records
from beechrock.trace.errors import FormatError, UnfitError
from beechrock.trace.records import ACTIONS, EVENTS, Row
from beechrock.trace.stored_settings import settings_of

Maker = Callable[[api.Settings, int, float], Node]


@dataclass(slots=True)
class Batch:
    """What the module was told at one moment, and what it said."""

    now: float
    events: list[api.Event] = field(default_factory=list)
    actions: list[Row] = field(default_factory=list)


@dataclass(slots=True)
class Difference:
    """Where a replay leaves the record."""

    batch: int
    now: float
    recorded: list[Row]
    replayed: list[Row]


@dataclass(slots=True)
class Replayed:
    batches: int = 0
    events: int = 0
    actions: int = 0
    gaps: int = 0
    first: Difference | None = None
    differing: int = 0


Start = tuple[float, int, float, api.Settings]  # now, seed, started, settings


def batches(rows: Iterable[Row]) -> Iterator[Batch | Start | Row]:
    """Starts, batches and gaps, in the order of the record. FormatError where rows do not fit together."""
    batch: Batch | None = None
    events = actions = 0
    for row in rows:
        kind = row[0]
        if kind == "batch":
            if events or actions:
                raise FormatError(f"a batch at {row[1]} inside another")
            events, actions = row[2], row[3]
            batch = Batch(row[1])
        elif kind in EVENTS and batch is not None and events:
            batch.events.append(records.event_of(row))
            events -= 1
        elif kind in ACTIONS and batch is not None and actions and not events:
            batch.actions.append(row)
            actions -= 1
        elif kind == "start":
            yield row[1], row[2], row[3], settings_of(row[4])
        elif kind == "gap":
            events = actions = 0
            batch = None
            yield row
        elif kind in EVENTS + ACTIONS and batch is not None:
            raise FormatError(f"a row {kind} at {row[1]} outside its batch")
        if batch is not None and not events and not actions:
            yield batch
            batch = None


def exactly(rows: Iterable[Row], make: Maker = Node) -> Replayed:
    """Tell the module all that is recorded, and compare what it says.

    UnfitError where the rows have no start. After a gap nothing is compared until the next start.
    """
    found, node = Replayed(), None
    started = False
    for part in batches(rows):
        if isinstance(part, Batch):
            if node is None:
                continue
            found.batches, found.events = found.batches + 1, found.events + len(part.events)
            said = [records.action_row(part.now, action) for action in node.decide(part.now, part.events)]
            found.actions += len(said)
            if said != part.actions:
                found.differing += 1
                if found.first is None:
                    found.first = Difference(found.batches, part.now, part.actions, said)
        elif part[0] == "gap":
            found.gaps, node = found.gaps + 1, None
        else:
            now, seed, begun, settings = part
            node, started = make(settings, seed, now), True
            node.set_started(begun)
    if not started:
        raise UnfitError(
            "no start is recorded here",
            do="an exact replay needs the record from a start on; add the earlier files",
        )
    return found
