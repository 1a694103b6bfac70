"""The state machine ``releases`` of the agreed log: commands, snapshot, and the changes of releases. Pure.

States, events and invariants are described in ``agreed.py``. Each command returns (True, its result) or
(False, the reason for which it changed nothing), and never raises.
"""

from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import msgpack

from beechrock.releases.agreed import MAX_TEXT, Agreed, Done, Node
from beechrock.releases.errors import BrokenInvariantError
from beechrock.releases.judge import Judgement, Verdict
from beechrock.releases.permits import Permit, PermitRequest, Permits
from beechrock.releases.release import TRANSITIONS, Plan, Release, Step
from beechrock.releases.rows import FORMAT, budget_rows, parse_budget, parse_release, release_row

MAX_RELEASES = 16  # newest releases that are kept


class Machine(Agreed):
    """The state machine. ``changed`` is called after each command with its index and its events."""

    def __init__(self) -> None:
        super().__init__()
        self.changed: Callable[[int, list[dict[str, Any]]], None] = lambda index, rows: None

    # --- interface of the log

    def apply(self, index: int, data: bytes) -> Done:
        """Apply a command of the log, and check the invariants."""
        if self.broken:
            return False, self.broken
        try:
            values = msgpack.unpackb(data)
            if values[0] != FORMAT:
                return False, f"a command of format {values[0]!r}; format {FORMAT} is known"
            verb = VERBS[values[1]]
            done: Done = verb(self, index, *values[2:])
        except (
            ValueError,
            TypeError,
            KeyError,
            IndexError,
            AttributeError,
            msgpack.UnpackException,
        ) as error:
            done = False, f"a malformed command: {type(error).__name__}"
        self.index = index
        try:
            self.check()
        except BrokenInvariantError as error:
            self.broken = str(error)
        rows, self.rows = self.rows, []
        self.changed(index, rows)
        return done

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        packed: bytes = msgpack.packb(
            [
                FORMAT,
                {name: asdict(node) for name, node in sorted(self.nodes.items())},
                self.names,
                self.voters,
                self.servers,
                budget_rows(self.permits.budgets),
                [asdict(permit) for _, permit in sorted(self.permits.held.items())],
                self.permits.audit,
                self.gone,
                self.expired,
                self.returning,
                [release_row(release) for release in self.releases.values()],
                self.before,
                self.starts,
                self.fence,
                self.index,
                self.moved,
                *([self.budgets_version] if self.budgets_version else []),
            ]
        )
        return packed

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot. Raises BrokenInvariantError if its format is unknown."""
        values = msgpack.unpackb(data)
        if values[0] != FORMAT:
            raise BrokenInvariantError(
                f"a snapshot of format {values[0]!r}",
                where="machine releases",
                wanted=f"format {FORMAT}",
                do="start the version that wrote it",
            )
        (
            nodes,
            self.names,
            self.voters,
            self.servers,
            budgets,
            held,
            audit,
            self.gone,
            self.expired,
            self.returning,
            releases,
            self.before,
            self.starts,
            self.fence,
            self.index,
            self.moved,
            *version,
        ) = values[1:]
        self.budgets_version = version[0] if version else 0
        self.nodes = {name: Node(**node) for name, node in nodes.items()}
        self.permits = Permits()
        self.permits.held = {permit["target"]: Permit(**permit) for permit in held}
        self._rebuild_targets(parse_budget(row) for row in budgets)
        self.permits.audit = [(row[0], row[1], row[2], row[3]) for row in audit]
        self.releases = {release.plan.name: release for release in map(parse_release, releases)}
        self.check()
        self.changed(self.index, [])

    # --- releases

    def _plan(
        self, index: int, name: str, version: str, before: str, waves: list[list[str]], for_s: float, who: str
    ) -> Done:
        names = [target for wave in waves for target in wave]
        if name in self.releases and self.releases[name].open:
            return False, f"release {name} is under way"
        if not name or not names or len(set(names)) != len(names) or not all(waves):
            return False, "no name, an empty wave, or a node twice"
        if unknown := sorted(set(names) - set(self.names)):
            return False, f"{unknown[0]}: not a node of the described fleet"
        self.releases.pop(name, None)
        for old in [key for key, release in self.releases.items() if not release.open][: -MAX_RELEASES + 1]:
            del self.releases[old]
        self.releases[name] = Release(Plan(name, version, before, tuple(map(tuple, waves)), float(for_s)))
        self.permits.record(index, "planned", name, who)
        self._record_release(index, name, "planned")
        return True, index

    def _word(self, index: int, name: str, what: str, who: str, reason: str) -> Done:
        """Change a release's stage for an operator, by one of TRANSITIONS."""
        release = self.releases.get(name)
        if release is None or what not in TRANSITIONS:
            return False, f"no release {name}" if release is None else f"unknown action {what}"
        other = self.running()
        if what == "start" and other is not None:
            return False, f"release {other.plan.name} is under way"
        if not release.move(what, reason[:MAX_TEXT]):
            return False, f"release {name} is {release.stage.value}: no {what} now"
        if what == "start":
            self.before, self.starts = {}, {}
        if what == "back":
            self.starts = {}
        self.permits.record(index, f"{what} {reason}"[:MAX_TEXT].strip(), name, who)
        self._record_release(index, name, what)
        return True, release.stage.value

    def _of(self, fence: int, name: str) -> Release | str:
        """Return the release if a driver with this fence may change it; else the reason."""
        if reason := self._older_driver(fence):
            return reason
        release = self.releases.get(name)
        if release is None or not release.open:
            return f"release {name} is not under way"
        return release if release.accept_driver(fence) else "an older driver"

    def _take(
        self, index: int, fence: int, name: str, target: str, back: bool, down: list[str], figures: list[int]
    ) -> Done:
        """Grant a permit and take the step in one command, as a driver may be killed between two."""
        release = self._of(fence, name)
        if isinstance(release, str):
            return False, release
        if not release.can_leave(target, Step.TODO, back):
            return False, "not possible in its present state"
        cold = self.cold()
        done, what = self._grant(
            index,
            PermitRequest(
                target,
                f"release {name}",
                release.plan.version,
                release.plan.for_s,
                frozenset(down),
                cold,
                release=name,
                already_out=bool(back) and target in cold,
            ),
        )
        if not done:
            return False, what
        release.step(fence, target, Step.TODO, back)
        if not back:
            self.before[target] = list(figures)
        self._record_release(index, name, "permitted", target, back)
        return True, what

    def _step(self, index: int, fence: int, name: str, target: str, leaves: str, back: bool) -> Done:
        """Move a target to SENT while it holds a permit, or to RETURNED once it is back with its version."""
        release, step = self._of(fence, name), Step(leaves)
        if isinstance(release, str):
            return False, release
        node, held = self.nodes.get(target), self.permits.held.get(target)
        if step is Step.TODO or (step is Step.PERMITTED and (held is None or held.release != name)):
            return False, "the target holds no permit of this release"
        if step is Step.SENT and (
            node is None or held is not None or not node.proved or node.version != release.version_for(target)
        ):
            return False, "the target is not back with its version"
        if not release.step(fence, target, step, bool(back)):
            return False, "not possible in its present state"
        if step is Step.PERMITTED:
            self.starts[target] = 0
        self._record_release(index, name, {Step.PERMITTED: "sent", Step.SENT: "returned"}[step], target, back)
        return True, index

    def _judged(self, index: int, fence: int, name: str, wave: int, verdict: str, reason: str) -> Done:
        release = self._of(fence, name)
        if isinstance(release, str):
            return False, release
        if not release.judged(fence, wave, Judgement(Verdict(verdict), reason[:MAX_TEXT])):
            return False, "not possible in its present state"
        self.permits.record(index, f"wave {wave + 1} {verdict} {reason}"[:MAX_TEXT].strip(), name, "driver")
        self._record_release(index, name, f"judged {verdict}")
        return True, release.stage.value

    def _stop(self, index: int, fence: int, name: str, reason: str) -> Done:
        """Halt the release for the driver."""
        release = self._of(fence, name)
        if isinstance(release, str):
            return False, release
        if not release.move("halt", reason[:MAX_TEXT]):
            return False, "not possible in its present state"
        self.permits.record(index, f"halted: {reason}"[:MAX_TEXT], name, "driver")
        self._record_release(index, name, "halt")
        return True, index


VERBS: dict[str, Callable[..., Done]] = {  # by the command's name: the method that applies it
    name: getattr(Machine, f"_{name}")
    for name in (
        "here",
        "proved",
        "describe",
        "ask",
        "go",
        "expire",
        "return",
        "back",
        "force",
        "plan",
        "word",
        "take",
        "step",
        "judged",
        "stop",
    )
}
