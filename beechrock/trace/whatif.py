"""The recorded arrivals against the decision module, with servers modelled on the recorded runs. Pure.

The model: runs share the cores equally, and up to ``capacity`` of them go at full speed. Each run's work is
what it took in the record, less what crowding cost it there; a request that never ran gets that of a run of
its class, by its number. ``capacity`` is the one under which the works of a class differ least.

What it can't tell: callers come as recorded, so that they do not heed other refusals than those they got;
calls below are part of a run's work; failures are those recorded; memory and pauses of the machine are not
modelled.
"""

import bisect
import heapq
import itertools
import statistics
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from beechrock import interface as api
from beechrock.policy import Node
from beechrock.trace import records
from beechrock.trace.errors import UnfitError
from beechrock.trace.records import Row, value
from beechrock.trace.stored_settings import settings_of

CAPACITIES = tuple(0.5 * n for n in range(1, 129))
MOST_FITTED = 4_000  # runs that the capacity is fitted to
# A Unix time has no finer parts than a quarter of this: a rest of work below it would never pass.
NEAR_S = 1e-6
FAILED = (api.Outcome.ERROR,)


@dataclass(slots=True)
class Run:
    """A recorded run."""

    klass: int
    began: float
    ended: float
    outcome: api.Outcome


@dataclass(slots=True)
class Recorded:
    """What a replay needs of a trace; ``answers`` are verdict and seconds by request."""

    settings: api.Settings
    seed: int
    start: float
    arrivals: list[tuple[float, api.Request]]
    runs: dict[int, Run]
    answers: dict[int, tuple[str, float]]
    leaving: list[tuple[float, float]] = field(default_factory=list)
    # In which batch of the node a request came; several may stand at one time, with tries of one key.
    batches: dict[int, int] = field(default_factory=dict)


def recorded(rows: Iterable[Row]) -> Recorded:
    """UnfitError where the rows hold no start: without the settings nothing can be played."""
    told: Recorded | None = None
    began: dict[int, float] = {}
    klass: dict[int, int] = {}
    batch = 0
    for row in rows:
        batch += row[0] != "arrived"  # what is decided of a batch stands between it and the next
        match row[0]:
            case "start":
                if told is None or not told.arrivals:
                    told = Recorded(
                        settings_of(value(row, "settings")), value(row, "seed"), row[1], [], {}, {}
                    )
            case _ if told is None:
                continue
            case "arrived":
                event = records.event_of(row)
                assert isinstance(event, api.Arrived)
                told.arrivals.append((row[1], event.request))
                told.batches[event.request.id] = batch
                klass[event.request.id] = event.request.class_index
            case "run":
                began.setdefault(row[2], row[1])
            case "run_ended" if row[2] in began:
                told.runs[row[2]] = Run(
                    klass.get(row[2], 0), began.pop(row[2]), row[1], api.Outcome(value(row, "outcome"))
                )
            case "answered":
                told.answers[row[2]] = value(row, "verdict"), value(row, "took_s")
            case "leaving":
                told.leaving.append((row[1], value(row, "left_s")))
    if told is None or not told.arrivals:
        raise UnfitError("no start with arrivals after it is recorded here", do="add the earlier files")
    return told


@dataclass(slots=True)
class Model:
    """Fitted servers: how many runs go at full speed, and the work of each run in seconds."""

    capacity: float
    work: dict[int, float]
    by_class: dict[int, list[float]]
    spread: float  # mean of the works' coefficient of variation within a class

    def of(self, ident: int, klass: int) -> float:
        """A run's work; of one that never ran that of another of its class."""
        if ident in self.work:
            return self.work[ident]
        known = self.by_class.get(klass) or [w for works in self.by_class.values() for w in works] or [0.01]
        return known[ident * 2_654_435_761 % len(known)]


def fit(told: Recorded) -> Model:
    """The capacity that explains the recorded runs best."""
    ends = {
        ident: run
        for ident, run in told.runs.items()
        if run.outcome in (api.Outcome.OK, api.Outcome.ERROR) and run.ended > run.began
    }
    steps = sorted(
        [(run.began, 1) for run in told.runs.values()] + [(run.ended, -1) for run in told.runs.values()]
    )
    times, counts = [at for at, _ in steps], list(itertools.accumulate(n for _, n in steps))
    few = dict(itertools.islice(ends.items(), MOST_FITTED))
    most = max(counts, default=1)
    best: tuple[float, float] | None = None
    for capacity in CAPACITIES:
        works = _works(few, times, counts, capacity)
        spread = _spread(few, works)
        if best is None or spread < best[0] - 1e-9:
            best = spread, capacity
        if capacity > most:
            break
    spread, capacity = best or (0.0, 1.0)
    work = _works(ends, times, counts, capacity)
    by_class: dict[int, list[float]] = {}
    for ident, seconds in work.items():
        by_class.setdefault(ends[ident].klass, []).append(seconds)
    return Model(capacity, work, by_class, spread)


def _works(runs: dict[int, Run], times: list[float], counts: list[int], capacity: float) -> dict[int, float]:
    """The seconds that each run would have taken alone."""
    # done[i]: the work that a run gets done from the first step to step i.
    rates = [min(1.0, capacity / n) if n > 0 else 1.0 for n in counts]
    done = [0.0]
    for at in range(1, len(times)):
        done.append(done[-1] + (times[at] - times[at - 1]) * rates[at - 1])
    found = {}
    for ident, run in runs.items():
        first, last = bisect.bisect_left(times, run.began), bisect.bisect_left(times, run.ended)
        found[ident] = max(1e-4, done[last] - done[first])
    return found


def _spread(runs: dict[int, Run], works: dict[int, float]) -> float:
    by_class: dict[int, list[float]] = {}
    for ident, seconds in works.items():
        by_class.setdefault(runs[ident].klass, []).append(seconds)
    spreads = [statistics.pstdev(w) / statistics.fmean(w) for w in by_class.values() if len(w) > 2]
    return statistics.fmean(spreads) if spreads else 0.0


@dataclass(slots=True)
class Service:
    """What came of a class: answers by verdict, served within the aim, and the seconds of those served."""

    answers: Counter[str] = field(default_factory=Counter)
    in_aim: int = 0
    took: list[float] = field(default_factory=list)

    def add(self, verdict: str, took: float, aim_s: float) -> None:
        self.answers[verdict] += 1
        if verdict == "served":
            self.took.append(took)
            self.in_aim += took <= aim_s

    def part(self) -> float:
        """Of the answers, those served within the aim."""
        return self.in_aim / max(1, sum(self.answers.values()))

    def percentile(self, p: float) -> float | None:
        if not self.took:
            return None
        return sorted(self.took)[min(len(self.took) - 1, int(p / 100 * len(self.took)))]


def service(told: Recorded, answers: dict[int, tuple[str, float]]) -> dict[str, Service]:
    """By the name of the class."""
    found: dict[str, Service] = {}
    for _, request in told.arrivals:
        if request.id in answers:
            c = told.settings.classes[request.class_index]
            verdict, took = answers[request.id]
            found.setdefault(c.name or str(request.class_index), Service()).add(
                verdict, took, c.latency_objective_s
            )
    return found


class _Play:
    """One run of the model: a clock, what shares the cores, and who waits for what."""

    def __init__(
        self,
        told: Recorded,
        model: Model,
        settings: api.Settings,
        make: Callable[[api.Settings, int, float], Node],
    ) -> None:
        self.told, self.model, self.settings = told, model, settings
        self.node = make(settings, told.seed, told.start)
        self.tick_s = settings.tick_s or 0.004
        self.now, self.done = told.start, 0.0  # ``done``: work that each run has got done so far
        self.ends: list[tuple[float, int]] = []  # by the value of ``done`` at which they end
        self.running: dict[int, float] = {}
        self.requests: dict[int, tuple[float, api.Request]] = {}
        self.began: dict[int, float] = {}
        self.kept: set[int] = set()
        self.over: dict[int, bool] = {}  # of runs: whether they went well
        self.waiters: dict[int, list[int]] = {}
        self.timers: list[tuple[float, int]] = []
        self.answers: dict[int, tuple[str, float]] = {}

    def rate(self) -> float:
        return min(1.0, self.model.capacity / len(self.running)) if self.running else 1.0

    def next_end(self) -> float:
        while self.ends and self.ends[0][1] not in self.running:
            heapq.heappop(self.ends)
        return self.now + max(0.0, self.ends[0][0] - self.done) / self.rate() if self.ends else float("inf")

    def advance(self, to: float) -> None:
        self.done += (to - self.now) * self.rate()
        self.now = to

    def ended(self) -> list[api.Event]:
        """Runs whose work is done by now."""
        found: list[api.Event] = []
        while self.ends and (self.ends[0][1] not in self.running or self.ends[0][0] <= self.done + NEAR_S):
            _, ident = heapq.heappop(self.ends)
            if self.running.pop(ident, None) is None:
                continue
            run = self.told.runs.get(ident)
            well = run is None or run.outcome not in FAILED
            self.over[ident] = well
            self.answer(ident, "served" if well else "failed")
            found.append(
                api.RunFinished(
                    ident, api.Outcome.OK if well else api.Outcome.ERROR, self.now - self.began[ident]
                )
            )
            for waiter in self.waiters.pop(ident, []):
                self.answer(waiter, "served" if well else "failed")
                found.append(api.RunFinished(waiter, api.Outcome.OK if well else api.Outcome.ERROR, 0.0))
        return found

    def answer(self, ident: int, verdict: str) -> None:
        at, request = self.requests[ident]
        self.answers.setdefault(ident, (verdict, self.now - at + request.age_s))

    def arrived(self, at: float, request: api.Request) -> api.Event:
        first = request.repeat_of if request.repeat_of in self.kept else None
        self.requests[request.id] = at, request
        return api.Arrived(replace(request, repeat_of=first))

    def carry_out(self, actions: list[api.Action]) -> list[api.Event]:
        after: list[api.Event] = []
        for action in actions:
            match action:
                case api.Run(ident) if ident not in self.running:
                    self.running[ident] = self.done
                    self.began[ident] = self.now
                    work = self.model.of(ident, self.requests[ident][1].class_index)
                    heapq.heappush(self.ends, (self.done + work, ident))
                case api.Reject(ident, _, _):
                    self.answer(ident, "refused")
                case api.Fail(ident):
                    self.answer(ident, "failed")
                case api.Stop(ident) if self.running.pop(ident, None) is not None:
                    after.append(api.RunFinished(ident, api.Outcome.STOPPED, self.now - self.began[ident]))
                case api.Remember(ident, _):
                    self.kept.add(ident)
                case api.Forget(ident):
                    self.kept.discard(ident)
                case api.ShareResult(ident):
                    first = self.requests[ident][1].repeat_of or 0
                    if first in self.running:
                        self.waiters.setdefault(first, []).append(ident)
                    elif first in self.over:
                        well = self.over[first]
                        self.answer(ident, "served" if well else "failed")
                        after.append(
                            api.RunFinished(ident, api.Outcome.OK if well else api.Outcome.ERROR, 0.0)
                        )
                    else:  # the first is still held: it is waited for
                        self.waiters.setdefault(first, []).append(ident)
                case api.SetTimer(token, delay):
                    heapq.heappush(self.timers, (self.now + delay, token))
        return after


Arrival = tuple[float, api.Request] | None


def _later_batch(told: Recorded, first: Arrival, arrival: Arrival) -> bool:
    """Whether a request came in the same tick as the first one, but after the node had decided of that."""
    if first is None or arrival is None or first[0] != arrival[0]:
        return False
    return told.batches.get(first[1].id) != told.batches.get(arrival[1].id)


def play(
    told: Recorded,
    model: Model,
    settings: api.Settings | None = None,
    make: Callable[[api.Settings, int, float], Node] = Node,
) -> dict[int, tuple[str, float]]:
    """Verdict and seconds by request, as the module would have had it under ``settings``."""
    playing = _Play(told, model, settings or told.settings, make)
    arrivals, leaving = iter([*told.arrivals, None]), iter([*told.leaving, None])
    coming, notice = next(arrivals), next(leaving)
    pending: list[api.Event] = []
    until = told.arrivals[-1][0] + max(c.deadline_s for c in playing.settings.classes) + 1.0
    playing.carry_out(playing.node.decide(playing.now, []))
    decided = playing.now
    while playing.now < until:
        due = min(
            coming[0] if coming else float("inf"),
            notice[0] if notice else float("inf"),
            playing.timers[0][0] if playing.timers else float("inf"),
            playing.next_end(),
            playing.now if pending else float("inf"),
        )
        if due == float("inf"):
            break
        # As in the node: at most one batch a tick. A timer that is due at once would else stop the time.
        playing.advance(max(due, decided + playing.tick_s))
        events, pending = pending, []
        while playing.timers and playing.timers[0][0] <= playing.now:
            _, token = heapq.heappop(playing.timers)
            busy = len(playing.running) / model.capacity
            gauges = api.Gauges(min(1.0, busy), max(0.0, len(playing.running) - model.capacity))
            events.append(api.TimerFired(token, gauges))
        events += playing.ended()
        while notice and notice[0] <= playing.now:
            events.append(api.ShutdownNotice(notice[1]))
            notice = next(leaving)
        first = coming
        while coming and coming[0] <= playing.now and not _later_batch(told, first, coming):
            events.append(playing.arrived(*coming))
            coming = next(arrivals)
        if events:
            decided = playing.now
            pending = playing.carry_out(playing.node.decide(playing.now, events))
    return playing.answers
