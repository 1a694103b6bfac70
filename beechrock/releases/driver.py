"""The driver, run by the holder of the duty ``releases:driver``: which commands it proposes next. Pure.

It acts on the replicated state of the releases. Its own state (since when it has seen a condition, baseline
figures) only delays its actions, so another driver can take over at any point.
Events: ``step(now, seen)``, some times a second, and ``refused`` with the log's refusal of a ``take``.

Invariants
- Each action is one command, which names the state that it leaves and the driver's fence: no step runs twice.
- The driver never brings a target back, and ends no node's permit; it lets targets out only by ``take``.
- A release proceeds only while it is RUNNING, has a quorum, and no more nodes are down than each budget
  allows.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from beechrock.releases.agreed import VOTERS, Agreed, configured_budgets
from beechrock.releases.judge import Figures, Judgement, Rules, Verdict, judge, total
from beechrock.releases.permits import Budget, Kind
from beechrock.releases.release import Act, Release, Stage, Step, Todo, next_actions
from beechrock.releases.rows import budget_rows

PERMIT_RETRY_S = 1.0  # seconds until a refused permit is requested again
MAX_WAITS = 20  # lines that name what the driver waits for


@dataclass(frozen=True, slots=True)
class Command:
    """A command to propose; ``rest`` are its arguments without the driver's fence, which precedes them."""

    verb: str
    rest: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Status:
    """A recent report of a node about itself."""

    life: int
    figures: Figures  # since its process started
    open: int = 0  # requests in progress


@dataclass(frozen=True, slots=True)
class Seen:
    """The input of one step of the driver: the agreed state, and what this node sees of the fleet.

    ``down``: nodes that links and membership report as down, with or without a permit; ``outage``: reason to
    halt the release for a lost quorum, or empty.
    """

    machine: Agreed
    statuses: Mapping[str, Status]
    down: frozenset[str]
    names: list[str]
    voters: list[str]
    servers: list[list[Any]]
    budgets: tuple[Budget, ...]
    outage: str = ""
    budgets_version: int = 0


@dataclass(slots=True)
class Watch:
    """Detects that the log had no leader for long. Each node watches, and reports it to the others.

    An outage that only one node saw is a cut of that node's own links.
    """

    quorum_s: float
    lost_at: float | None = None  # start of the present outage; None while there is a leader
    moved: int = 0  # index of the last command that changed a release, as the outage began
    last_outage: tuple[int, float] = (-1, 0.0)  # of the last long outage: that index, length in seconds

    def look(self, now: float, led: bool, machine: Agreed) -> float:
        """Return the seconds of the last outage; 0: none, one still lasts, or a release has moved since."""
        if not led:
            if self.lost_at is None:
                self.lost_at, self.moved = now, machine.moved
            return 0.0
        if self.lost_at is not None and now - self.lost_at >= self.quorum_s:
            self.last_outage = self.moved, now - self.lost_at
        self.lost_at = None
        # If the release moved meanwhile, the log had a quorum, and only this node was cut off.
        return self.last_outage[1] if machine.moved == self.last_outage[0] else 0.0


@dataclass(slots=True)
class Driver:
    """The driver's state during one term of the duty."""

    rules: Rules
    return_s: float  # seconds until a changed node that has not returned halts the release
    gone_s: float  # seconds for which too many nodes must be down to halt the release
    first_seen: dict[tuple[str, ...], float] = field(default_factory=dict)  # by condition: when first seen
    refusals: dict[str, tuple[float, str]] = field(default_factory=dict)  # refused permits: (time, reason)
    baselines: dict[str, tuple[int, Figures]] = field(default_factory=dict)  # others' life, first figures
    waits: list[str] = field(default_factory=list)  # lines that name what the driver waits for

    def step(self, now: float, seen: Seen) -> list[Command]:
        """Return the commands to propose now."""
        machine = seen.machine
        active: set[tuple[str, ...]] = set()  # keys of the conditions that hold in this step
        commands = self._describe(seen) + self._expire(now, machine, active)
        self.waits = []
        if seen.budgets_version == machine.budgets_version > 0 and (
            configured_budgets(seen.budgets) != configured_budgets(machine.permits.budgets)
        ):
            self.waits.append(
                f"budgets: others of version {machine.budgets_version} are in force; raise budgets_version"
            )
        release = machine.running()
        if release is None:
            self.baselines, self.refusals = {}, {}
        elif machine.index:
            commands += self._release(now, seen, release, active)
        self.first_seen = {key: at for key, at in self.first_seen.items() if key in active}
        del self.waits[MAX_WAITS:]
        return commands

    def refused(self, now: float, target: str, reason: str) -> None:
        """Record the log's refusal of a ``take``, which is retried after PERMIT_RETRY_S."""
        self.refusals[target] = now, reason

    def _seconds_seen(self, now: float, active: set[tuple[str, ...]], *key: str) -> float:
        """Return the seconds for which this condition has held without a break."""
        active.add(key)
        return now - self.first_seen.setdefault(key, now)

    def _describe(self, seen: Seen) -> list[Command]:
        machine = seen.machine
        fleet, budgets, version = (seen.names, seen.voters, seen.servers), seen.budgets, seen.budgets_version
        if version <= machine.budgets_version > 0:  # the budgets in force stay, whichever node drives
            version = machine.budgets_version
            budgets = configured_budgets(machine.permits.budgets) + tuple(
                budget for budget in budgets if budget.service == VOTERS
            )
        if (machine.names, machine.voters, machine.servers) == fleet and (
            (machine.permits.budgets, machine.budgets_version) == (budgets, version)
        ):
            return []
        return [Command("describe", (*fleet, budget_rows(budgets), *([version] if version else [])))]

    def _expire(self, now: float, machine: Agreed, active: set[tuple[str, ...]]) -> list[Command]:
        commands = []
        for name, permit in machine.permits.held.items():
            if name in machine.gone or name in machine.expired:
                continue
            if self._seconds_seen(now, active, "permit", name, str(permit.fence)) > permit.for_s:
                commands.append(Command("expire", (name, permit.fence)))
        return commands

    def _release(
        self, now: float, seen: Seen, release: Release, active: set[tuple[str, ...]]
    ) -> list[Command]:
        name, running = release.plan.name, release.stage is Stage.RUNNING
        late = {
            target: self._seconds_seen(now, active, "sent", name, target)
            for target, step in release.steps.items()
            if step is Step.SENT
        }
        if running:
            reason = seen.outage or self._too_many_down(now, seen, active) or self._breach(now, seen, release)
            if reason:
                return [Command("stop", (name, reason))]
        commands = []
        for todo in next_actions(release, late, True, self.return_s):
            commands += self._act(now, seen, release, todo, active, late)
        return commands

    def _act(
        self,
        now: float,
        seen: Seen,
        release: Release,
        todo: Todo,
        active: set[tuple[str, ...]],
        late: Mapping[str, float],
    ) -> list[Command]:
        machine, name, target = seen.machine, release.plan.name, todo.target
        match todo.act:
            case Act.HALT:
                return [Command("stop", (name, todo.reason))]
            case Act.ASK:
                at, reason = self.refusals.get(target, (now - PERMIT_RETRY_S, ""))
                if now - at < PERMIT_RETRY_S:
                    self.waits.append(f"{target}: no permit: {reason}")
                    return []
                figures = seen.statuses[target].figures if target in seen.statuses else Figures()
                return [Command("take", (name, target, todo.back, sorted(seen.down), figures_row(figures)))]
            case Act.SEND:
                if target in machine.cold():
                    return [Command("step", (name, target, Step.PERMITTED.value, todo.back))]
                self.waits.append(f"{target}: is to go out")
            case Act.CHECK:
                node = machine.nodes.get(target)
                if node is not None and node.proved and target not in machine.permits.held:
                    if node.version == todo.version:
                        return [Command("step", (name, target, Step.SENT.value, todo.back))]
                    self.waits.append(f"{target}: is back with {node.version}, and not {todo.version}")
                else:
                    waited = f" for {late[target]:.0f} s" if target in late else ""
                    self.waits.append(f"{target}: is to come back with {todo.version}{waited}")
            case Act.JUDGE:
                wave = release.good
                judged = self._judge_nodes(
                    seen,
                    release,
                    release.plan.waves[wave],
                    self._seconds_seen(now, active, "judge", name, str(wave)),
                )
                if judged.verdict is not Verdict.WAIT:
                    return [Command("judged", (name, wave, judged.verdict.value, judged.reason))]
                self.waits.append(f"wave {wave + 1}: {judged.reason}")
        return []

    # --- reasons to halt a release

    def _too_many_down(self, now: float, seen: Seen, active: set[tuple[str, ...]]) -> str:
        """Return the reason if, for ``gone_s``, more nodes without a permit are down than a budget allows."""
        machine = seen.machine
        out = (seen.down | machine.cold()) - machine.permits.held.keys()
        for budget in machine.permits.budgets:
            for hall in (
                sorted({t.hall for t in machine.permits.targets.values()}) if budget.each_hall else [""]
            ):
                covered = [
                    t.name
                    for t in machine.permits.targets.values()
                    if budget.kind is Kind.NODE and budget.covers(t) and hall in ("", t.hall)
                ]
                lost = sorted(out & set(covered))
                if (
                    lost
                    and len(lost) > budget.allowed(len(covered))
                    and (self._seconds_seen(now, active, "down", budget.name, hall) >= self.gone_s)
                ):
                    return (
                        f"{len(lost)} down, budget {budget.name} allows {budget.allowed(len(covered))}: "
                        f"{', '.join(lost[:5])}"
                    )
        return ""

    def _breach(self, now: float, seen: Seen, release: Release) -> str:
        """Return the reason of a BAD verdict on the returned nodes, which halts at once in any wave."""
        touched = [name for name in release.touched if release.steps[name] is Step.RETURNED]
        judged = self._judge_nodes(seen, release, touched, 0.0)
        return judged.reason if judged.verdict is Verdict.BAD else ""

    def _judge_nodes(self, seen: Seen, release: Release, names: Any, waited_s: float) -> Judgement:
        machine = seen.machine
        starts = max([machine.starts.get(name, 0) - 1 for name in release.touched] + [0])
        new = total(self._current_figures(seen, name) for name in names) + Figures(restarts=starts)
        rest = []
        for name in machine.names:
            if name not in release.touched and name in seen.statuses:
                status = seen.statuses[name]
                life, baseline = self.baselines.setdefault(name, (status.life, status.figures))
                if life == status.life:
                    rest.append(difference(status.figures, baseline))
        before = total(parse_figures(machine.before[name]) for name in names if name in machine.before)
        return judge(new, total(rest), before, waited_s, self.rules)

    def _current_figures(self, seen: Seen, name: str) -> Figures:
        """Return a node's figures since its process started, if it is the life that the log knows."""
        status, node = seen.statuses.get(name), seen.machine.nodes.get(name)
        return (
            status.figures
            if status is not None and node is not None and status.life == node.life
            else Figures()
        )


def figures_row(figures: Figures) -> list[int]:
    """Return the figures as the row that is sent and stored; it has no restarts."""
    return [figures.requests, figures.served, figures.refused, figures.failed, figures.slow]


def parse_figures(row: list[int]) -> Figures:
    """Return the figures of a row; zeros if its length is wrong."""
    return Figures(*map(int, row)) if len(row) == 5 else Figures()


def difference(latest: Figures, baseline: Figures) -> Figures:
    """Return the counts since the baseline."""
    return Figures(
        *(now - then for now, then in zip(figures_row(latest), figures_row(baseline), strict=True))
    )
