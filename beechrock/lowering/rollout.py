"""How a plan comes into force: the machine in the agreed log, the same at every node. Pure.

States of a rollout: PROPOSED (known, nobody has it), PREPARING (some have it), PREPARED (all have it, or are
steered round), ACTIVE (in force at one generation), HALTED (an operator stopped it), BACK (the one before is
in force again). Events are commands: here, propose, prepared, cannot, activate, lost, halt, back. Times are
no part of them.

Invariants (looked at after each command): at most one rollout is open and one is in force; generations grow
by one; each node of the one in force has prepared it in its present life or is steered round; a class that
carries has a node, or the plan made ahead for its loss counts; what was halted or taken back does not come
again by itself.
"""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

import msgpack

from beechrock.lowering.errors import BrokenInvariantError

MAX_NODES, MAX_CLASSES, MAX_REFUSED, MAX_TEXT = 256, 64, 32, 200
FORMAT = 1


class Stage(Enum):
    PROPOSED = "proposed"
    PREPARING = "preparing"
    PREPARED = "prepared"
    ACTIVE = "active"
    HALTED = "halted"
    BACK = "back"


@dataclass(slots=True)
class Node:
    """What a node told of itself. ``differs``: where its measures are not what its class declares."""

    life: int
    hardware: str
    hall: str
    scgi: str = ""
    differs: list[list[Any]] = field(default_factory=list)


@dataclass(slots=True)
class Rollout:
    """``number`` is the index of its proposal in the log. ``lost``: by state the classes that are gone in
    it."""

    number: int
    digest: str
    policy: str
    size: int
    by: str
    classes: list[str]
    lost: dict[str, list[str]]
    nodes: list[str]
    stage: str = Stage.PROPOSED.value
    prepared: dict[str, int] = field(default_factory=dict)  # by node the life in which it did
    cannot: dict[str, str] = field(default_factory=dict)  # by node why
    round: list[str] = field(default_factory=list)  # steered round, by name
    generation: int = 0
    state: str = ""  # the plan made ahead that counts


class Machine:
    """In the log under the name ``lowering``; ``changed`` is called after each command that was applied
    here."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.open: Rollout | None = None
        self.active: Rollout | None = None
        self.before: Rollout | None = None
        self.generation = self.fence = 0
        self.refused: dict[str, str] = {}  # by policy's digest: halted, or taken back
        self.last = ""  # how the last rollout that did not come into force ended
        self.broken = ""  # an invariant that did not hold: nothing is taken any more
        self.changed: Any = lambda: None

    # --- the log's interface

    def apply(self, index: int, command: bytes) -> Any:
        """(True, what came of it), or (False, why nothing did); never an exception."""
        if self.broken:
            return False, self.broken
        try:
            told = msgpack.unpackb(command)
            verb, rest = str(told[0]), list(told[1:])
            step: Callable[..., tuple[bool, Any]] = {
                "here": self._here,
                "propose": self._propose,
                "prepared": self._prepared,
                "cannot": self._cannot,
                "activate": self._activate,
                "lost": self._lost,
                "halt": self._halt,
                "back": self._back,
            }[verb]  # type: ignore[assignment]
            done = step(index, *rest)
        except (
            ValueError,
            TypeError,
            KeyError,
            IndexError,
            AttributeError,
            msgpack.UnpackException,
        ) as error:
            return False, f"a command that is none: {type(error).__name__}"
        self._restate()
        try:
            self.check()
        except BrokenInvariantError as error:
            self.broken = str(error)
        self.changed()
        return done

    def snapshot(self) -> bytes:
        packed: bytes = msgpack.packb(
            [
                FORMAT,
                {n: asdict(node) for n, node in sorted(self.nodes.items())},
                *(asdict(r) if r is not None else None for r in (self.open, self.active, self.before)),
                self.generation,
                self.fence,
                self.refused,
                self.last,
            ]
        )
        return packed

    def restore(self, data: bytes) -> None:
        _, nodes, *rollouts, self.generation, self.fence, refused, self.last = msgpack.unpackb(data)
        self.nodes = {name: Node(**told) for name, told in nodes.items()}
        self.open, self.active, self.before = (Rollout(**r) if r is not None else None for r in rollouts)
        self.refused = dict(refused)
        self.check()
        self.changed()

    # --- commands

    def _here(
        self, index: int, name: str, life: int, hardware: str, hall: str, scgi: str, differs: list[list[Any]]
    ) -> tuple[bool, Any]:
        """A node began, with what it measured. What an earlier life had prepared is gone with it."""
        known = self.nodes.get(name)
        if known is None and len(self.nodes) >= MAX_NODES:
            return False, f"over {MAX_NODES} nodes"
        if known is not None and life < known.life:
            return False, "a later life was here"
        self.nodes[name] = Node(life, hardware, hall, scgi, differs[:20])
        for rollout in (self.open, self.active, self.before):
            if rollout is not None and rollout.prepared.get(name, life) != life:
                del rollout.prepared[name]
                self._steer_round(rollout, name)
        self._stage()
        return True, index

    def _fenced(self, fence: int) -> str:
        if fence < self.fence:
            return f"an older publisher: fence {fence}, and {self.fence} was seen"
        self.fence = fence
        return ""

    def _propose(
        self,
        index: int,
        fence: int,
        by: str,
        digest: str,
        policy: str,
        size: int,
        classes: list[str],
        lost: Mapping[str, list[str]],
        nodes: list[str],
        again: bool = False,
    ) -> tuple[bool, Any]:
        if why := self._fenced(fence):
            return False, why
        if self.open is not None:
            # Of two at once the first in the log has it; the other's proposer hears whose it is.
            return False, f"{self.open.digest} of {self.open.by} is under way"
        if self.active is not None and self.active.digest == digest:
            self.active.policy = policy  # another inventory that comes to the same plan
            return True, self.active.number
        if policy in self.refused and not again:
            return False, f"was {self.refused[policy]}"
        if not 0 < len(classes) <= MAX_CLASSES or not 0 < len(nodes) <= MAX_NODES:
            return False, "no class or no node, or too many"
        self.refused.pop(policy, None)
        self.open = Rollout(index, digest, policy, size, by, sorted(classes), dict(lost), sorted(nodes))
        return True, index

    def _of(self, number: int) -> Rollout | None:
        return next(
            (r for r in (self.open, self.active, self.before) if r is not None and r.number == number), None
        )

    def _prepared(self, index: int, number: int, name: str, life: int, digest: str) -> tuple[bool, Any]:
        rollout = self._of(number)
        if rollout is None or name not in rollout.nodes:
            return False, "no such rollout, or no such node in it"
        if digest != rollout.digest:
            return False, f"prepared {digest}, and {rollout.digest} is wanted"
        node = self.nodes.get(name)
        if node is None or node.life != life:
            return False, "not the life that was here last"
        rollout.prepared[name] = life
        rollout.cannot.pop(name, None)
        if name in rollout.round:
            rollout.round.remove(name)
        self._stage()
        return True, index

    def _cannot(self, index: int, number: int, name: str, life: int, why: str) -> tuple[bool, Any]:
        """It can't prepare it, or has lost what it had."""
        rollout, node = self._of(number), self.nodes.get(name)
        if rollout is None or name not in rollout.nodes or node is None or node.life != life:
            return False, "no such rollout, node or life"
        rollout.prepared.pop(name, None)
        rollout.cannot[name] = why[:MAX_TEXT]
        self._steer_round(rollout, name)
        self._stage()
        return True, index

    def _steer_round(self, rollout: Rollout, name: str) -> None:
        if rollout.generation and name not in rollout.round:
            rollout.round = sorted([*rollout.round, name])

    def _restate(self) -> None:
        """The last node of a class goes, or another comes: the plan that was made for it counts from this
        entry on.

        Seen in a random history: both classes were gone, one came back, and the other's loss was not gone by.
        """
        rollout = self.active
        if rollout is None:
            return
        gone = self.missing(rollout)
        if not set(gone) <= set(rollout.lost.get(rollout.state, [])):
            state = self.state_for(rollout, gone)
            rollout.state = rollout.state if state is None else state

    def _stage(self) -> None:
        rollout = self.open
        if rollout is not None:
            done = set(rollout.prepared) | set(rollout.cannot)
            rollout.stage = (
                Stage.PREPARED
                if done.issuperset(rollout.nodes)
                else Stage.PREPARING
                if done
                else Stage.PROPOSED
            ).value

    def missing(self, rollout: Rollout) -> list[str]:
        """Classes that carry and have no node that prepared it."""
        there = {self.nodes[name].hardware for name in rollout.prepared if name in self.nodes}
        return sorted(set(rollout.classes) - there)

    def state_for(self, rollout: Rollout, gone: list[str]) -> str | None:
        """The plan made ahead that does without these; the one that gives up least. None: there is none."""
        if not gone:
            return ""
        fit = [(len(lost), name) for name, lost in rollout.lost.items() if set(gone) <= set(lost)]
        return min(fit)[1] if fit else None

    def _activate(self, index: int, fence: int, number: int, going_round: list[str]) -> tuple[bool, Any]:
        """Only with each node prepared or steered round, and each class there or its loss planned."""
        if why := self._fenced(fence):
            return False, why
        rollout = self.open
        if rollout is None or rollout.number != number:
            return False, "no such rollout is under way"
        left = [n for n in rollout.nodes if n not in rollout.prepared and n not in going_round]
        if left:
            return False, f"{', '.join(left)} neither prepared nor steered round"
        if not rollout.prepared:
            return False, "no node has prepared it"
        gone = self.missing(rollout)
        state = self.state_for(rollout, gone)
        if state is None:
            return False, f"no plan is without {', '.join(gone)}"
        self.generation += 1
        rollout.generation, rollout.stage, rollout.state = self.generation, Stage.ACTIVE.value, state
        rollout.round = [n for n in rollout.nodes if n not in rollout.prepared]
        self.before, self.active, self.open = self.active, rollout, None
        return True, self.generation

    def _lost(self, index: int, fence: int, number: int, state: str) -> tuple[bool, Any]:
        """A hall or a class is gone, or all are back (empty): by the plan made ahead."""
        if why := self._fenced(fence):
            return False, why
        rollout = self.active
        if rollout is None or rollout.number != number or (state and state not in rollout.lost):
            return False, "not in force, or no plan for it"
        if not set(self.missing(rollout)) <= set(rollout.lost.get(state, [])):
            return False, f"without {', '.join(self.missing(rollout))} this is no plan"
        rollout.state = state
        return True, index

    def _halt(self, index: int, who: str) -> tuple[bool, Any]:
        if self.open is None:
            return False, "nothing is under way"
        self._refuse(self.open, Stage.HALTED, who)
        self.open = None
        return True, index

    def _back(self, index: int, who: str) -> tuple[bool, Any]:
        """The one before is in force again, as a new generation; nodes that lost it meanwhile are steered
        round."""
        if self.before is None or self.active is None:
            return False, "there is none before"
        state = self.state_for(self.before, self.missing(self.before))
        if state is None or not self.before.prepared:
            return False, "nobody has prepared the one before any more, or a class of it is gone"
        self._refuse(self.active, Stage.BACK, who)
        self.generation += 1
        back = self.before
        back.generation, back.state = self.generation, state
        back.round = [n for n in back.nodes if n not in back.prepared]
        self.active, self.before = back, self.active
        return True, self.generation

    def _refuse(self, rollout: Rollout, stage: Stage, who: str) -> None:
        rollout.stage = stage.value
        self.refused.pop(rollout.policy, None)
        self.refused[rollout.policy] = stage.value
        while len(self.refused) > MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        self.last = f"{rollout.digest[:12]} {stage.value} by {who}"[:MAX_TEXT]

    # --- what always holds

    def check(self) -> None:
        """BrokenInvariantError; looked at after every command."""
        active = self.active
        if active is not None:
            self._holds(active.generation == self.generation, "the one in force is not the last generation")
            self._holds(
                all(n in active.prepared or n in active.round for n in active.nodes),
                "a node of the one in force is neither prepared nor steered round",
            )
            self._holds(
                all(self.nodes[n].life == life for n, life in active.prepared.items()),
                "a life that is gone counts as prepared",
            )
        if self.open is not None:
            self._holds(self.open.generation == 0, "what is under way has a generation")
            self._holds(
                self.open.policy not in self.refused, "what was halted or taken back is under way again"
            )

    def _holds(self, good: bool, what: str) -> None:
        if not good:
            raise BrokenInvariantError(
                what, where="lowering", do="send the log; this node takes no part any more"
            )


def command(verb: str, *rest: Any) -> bytes:
    packed: bytes = msgpack.packb([verb, *rest])
    return packed
