"""One release: the replicated state of its steps, and its driver's next actions. Pure, and without a clock.

States of a release: PLANNED, RUNNING, PAUSED, HALTED, BACKING (rolling back), DONE, UNDONE (rolled back).
States of a target in it: TODO, PERMITTED (holds a permit to be out), SENT (its new version is wanted),
RETURNED (proved that it serves with that version); the rollback goes through the same states again.

Events (commands of the log): ``start``, ``pause``, ``resume``, ``halt``, ``back``, a wave's verdict, and a
target's steps; verdicts and steps carry the driver's fence.

Invariants
- A step is taken once: it names the state that it leaves, and in any other state it changes nothing.
- A driver whose fence is older than the highest one seen changes nothing.
- In HALTED and PAUSED no target leaves TODO; targets that are out may return.
- A wave begins once all targets of the previous wave are RETURNED and it was judged good.
- BACKING touches only targets that left TODO, the last changed first; it never waits for a verdict.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from beechrock.releases.judge import Judgement, Verdict


class Stage(Enum):
    PLANNED = "planned"
    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"
    BACKING = "backing"
    DONE = "done"
    UNDONE = "undone"


class Step(Enum):
    TODO = "todo"
    PERMITTED = "permitted"
    SENT = "sent"
    RETURNED = "returned"


NEXT_STEP = {Step.TODO: Step.PERMITTED, Step.PERMITTED: Step.SENT, Step.SENT: Step.RETURNED}
TRANSITIONS = {  # by command: stages in which it is possible, and the next stage
    "start": ({Stage.PLANNED}, Stage.RUNNING),
    "pause": ({Stage.RUNNING}, Stage.PAUSED),
    "resume": ({Stage.PAUSED, Stage.HALTED}, Stage.RUNNING),
    "halt": ({Stage.RUNNING, Stage.PAUSED}, Stage.HALTED),
    "back": ({Stage.RUNNING, Stage.PAUSED, Stage.HALTED}, Stage.BACKING),
}


@dataclass(frozen=True, slots=True)
class Plan:
    """The plan of a release. ``before``: previous version; ``waves``: target names, the canary first."""

    name: str
    version: str
    before: str
    waves: tuple[tuple[str, ...], ...]
    for_s: float = 300.0  # seconds after which a permit's right to go out ends


@dataclass(slots=True)
class Release:
    """The state of one release, changed only by commands of the agreed log."""

    plan: Plan
    stage: Stage = Stage.PLANNED
    steps: dict[str, Step] = field(default_factory=dict)  # by target: progress towards the new version
    touched: list[str] = field(default_factory=list)  # targets in the order in which they left TODO
    undone: dict[str, Step] = field(default_factory=dict)  # by touched target: progress of the rollback
    good: int = 0  # number of waves judged good, which is the index of the open wave
    fence: int = 0  # highest driver fence seen
    reason: str = ""  # reason given for the last ``move``

    def __post_init__(self) -> None:
        for wave in self.plan.waves:
            for name in wave:
                self.steps.setdefault(name, Step.TODO)

    def move(self, command: str, reason: str = "") -> bool:
        """Change the stage, for an operator or by the driver's halt. False: not possible in this stage."""
        allowed, stage = TRANSITIONS[command]
        if self.stage not in allowed:
            return False
        self.stage, self.reason = stage, reason
        if stage is Stage.BACKING:
            self.undone = {name: Step.TODO for name in reversed(self.touched)}
            if not self.undone:
                self.stage = Stage.UNDONE
        return True

    def accept_driver(self, fence: int) -> bool:
        """Return whether a driver with this fence may change the release, and keep the highest fence."""
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def can_leave(self, target: str, leaves: Step, back: bool = False) -> bool:
        """Return whether the target can leave that step now."""
        # A target that is out may return in any stage, or it would count as out forever.
        if back is not (self.stage is Stage.BACKING) and (back or leaves is not Step.SENT):
            return False
        steps = self.undone if back else self.steps
        if steps.get(target) is not leaves or leaves not in NEXT_STEP:
            return False
        if back or leaves is Step.SENT:
            return True
        return self.stage is Stage.RUNNING and (leaves is not Step.TODO or self.wave_of(target) == self.good)

    def step(self, fence: int, target: str, leaves: Step, back: bool = False) -> bool:
        """Move one target to its next step. False: an older driver, or it can't leave that step now."""
        if not self.accept_driver(fence) or not self.can_leave(target, leaves, back):
            return False
        steps = self.undone if back else self.steps
        if leaves is Step.TODO and not back:
            self.touched.append(target)
        steps[target] = NEXT_STEP[leaves]
        if back and all(step is Step.RETURNED for step in steps.values()):
            self.stage = Stage.UNDONE
        return True

    def reset_target(self, target: str) -> bool:
        """Reset a target whose permit ended without a change of version. Returns whether it held a permit.

        SENT is reset too: in simulation (seed 467) a node was paused past its permit's end after its version
        was sent, gave the permit back unused, and the rollback waited for it forever.
        """
        steps = self.undone if self.stage is Stage.BACKING else self.steps
        if steps.get(target) not in (Step.PERMITTED, Step.SENT):
            return False
        steps[target] = Step.TODO
        if self.stage is not Stage.BACKING:
            self.touched.remove(target)
        return True

    def version_for(self, target: str) -> str:
        """Return the version that the target is to run now; empty: no change is wanted."""
        if self.stage is Stage.BACKING:
            return self.plan.before if self.undone.get(target) is Step.SENT else ""
        return self.plan.version if self.steps.get(target) is Step.SENT else ""

    @property
    def open(self) -> bool:
        """Return whether the release is under way."""
        return self.stage not in (Stage.PLANNED, Stage.DONE, Stage.UNDONE)

    def judged(self, fence: int, wave: int, verdict: Judgement) -> bool:
        """Take the verdict on the open wave, once; a good one counts only when all its targets are back."""
        if not self.accept_driver(fence) or self.stage is not Stage.RUNNING or wave != self.good:
            return False
        if verdict.verdict is Verdict.BAD:
            return self.move("halt", f"wave {wave + 1}: {verdict.reason}")
        if verdict.verdict is Verdict.WAIT or not self.wave_returned(wave):
            return False
        self.good += 1
        if self.good == len(self.plan.waves):
            self.stage = Stage.DONE
        return True

    def wave_of(self, target: str) -> int:
        """Return the index of the target's wave."""
        return next(index for index, wave in enumerate(self.plan.waves) if target in wave)

    def wave_returned(self, wave: int) -> bool:
        """Return whether all targets of the wave have returned."""
        return all(self.steps[name] is Step.RETURNED for name in self.plan.waves[wave])


class Act(Enum):
    """What the driver does next."""

    ASK = "ask"  # request a permit for the target
    SEND = "send"  # ask the target to change its version; a repeat changes nothing
    CHECK = "check"  # check whether the target has proved that it is back
    JUDGE = "judge"  # judge the open wave
    HALT = "halt"  # halt the release


@dataclass(frozen=True, slots=True)
class Todo:
    """One action of the driver; ``back``: for the rollback."""

    act: Act
    target: str = ""
    version: str = ""
    back: bool = False
    reason: str = ""


def next_actions(release: Release, late: Mapping[str, float], quorum: bool, max_late_s: float) -> list[Todo]:
    """Return the driver's next actions.

    ``late``: seconds for which each target has been SENT; ``quorum``: whether the log has a quorum;
    ``most_late_s``: seconds after which a SENT target that has not returned halts the release. The stage and
    steps are replicated, so any driver that takes over goes on from the same point.
    """
    plan = release.plan
    if release.stage is Stage.BACKING:
        return [
            _act(name, step, plan.before, True)
            for name, step in release.undone.items()
            if step is not Step.RETURNED
        ]
    returning = [
        Todo(Act.CHECK, name, plan.version) for name, step in release.steps.items() if step is Step.SENT
    ]
    if release.stage is not Stage.RUNNING:
        return returning
    if not quorum:  # no further target goes out, and the halt names the reason
        return [*returning, Todo(Act.HALT, reason="no quorum")]
    stuck = [
        name for name, since in late.items() if since > max_late_s and release.steps.get(name) is Step.SENT
    ]
    if stuck:
        return [*returning, Todo(Act.HALT, reason=f"{stuck[0]} did not return in {max_late_s:g} s")]
    wave = plan.waves[release.good]
    if release.wave_returned(release.good):
        return [Todo(Act.JUDGE)]
    return [
        _act(name, release.steps[name], plan.version, False)
        for name in wave
        if release.steps[name] is not Step.RETURNED
    ]


def _act(name: str, step: Step, version: str, back: bool) -> Todo:
    act = {Step.TODO: Act.ASK, Step.PERMITTED: Act.SEND, Step.SENT: Act.CHECK}[step]
    return Todo(act, name, version, back)


def plan_waves(halls: Mapping[str, list[str]], canary: int, max_size: int) -> tuple[tuple[str, ...], ...]:
    """Return a wave of ``canary`` targets, then waves of at most ``max_size`` targets of one hall each."""
    names = [name for hall in sorted(halls) for name in sorted(halls[hall])]
    canary_wave = tuple(names[:canary])
    waves = [canary_wave] if canary_wave else []
    for hall in sorted(halls):
        remaining = [name for name in sorted(halls[hall]) if name not in canary_wave]
        waves.extend(
            tuple(remaining[start : start + max_size]) for start in range(0, len(remaining), max(1, max_size))
        )
    return tuple(waves)
