"""State machine of a plan's rollout, replicated through the agreed log to every node. Pure.

States of a rollout: PROPOSED (no node has answered), PREPARING (some nodes have prepared it or can't),
PREPARED (every node has prepared it or can't), ACTIVE (in force under a generation), HALTED (stopped by an
operator), BACK (replaced by the previous rollout). Events are the commands here, propose, prepared, cannot,
activate, lost, halt and back; none of them contains a time.

Invariants (after each command ``check`` tests all but the one on classes): at most one rollout is open and
at most one is in force; generations grow by one; each node of the rollout in force has prepared it in its
current life or is steered around; each class of the plan has a prepared node, or a loss state without that
class applies if the plan has one; a policy that was halted or taken back is not proposed again automatically.
"""

from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, field
from enum import Enum
from typing import Any

import msgpack

from beechrock.lowering.errors import BrokenInvariantError

# Maximum numbers of nodes, of classes, of refused policies, and of characters in a stored text.
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
    """Facts that a node announced about itself.

    ``differs`` lists each measured value that falls short of its class: key, declared and measured value.
    """

    life: int
    hardware: str
    hall: str
    scgi: str = ""
    differs: list[list[Any]] = field(default_factory=list)


@dataclass(slots=True)
class Rollout:
    """Rollout of one plan.

    ``number`` is the log index of its proposal; ``lost`` holds the lost classes of each loss state.
    """

    number: int
    digest: str
    policy: str
    size: int
    by: str
    classes: list[str]
    lost: dict[str, list[str]]
    nodes: list[str]
    stage: str = Stage.PROPOSED.value
    prepared: dict[str, int] = field(default_factory=dict)  # By node: the life in which it prepared the plan
    cannot: dict[str, str] = field(default_factory=dict)  # By node: why it can't run the plan
    round: list[str] = field(default_factory=list)  # Names of the nodes that requests are steered around
    generation: int = 0
    state: str = ""  # Loss state in force; empty: no loss


class Machine:
    """State of all rollouts, registered in the agreed log as ``lowering``.

    ``changed`` is called after each applied command and after a restore.
    """

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.open: Rollout | None = None
        self.active: Rollout | None = None
        self.before: Rollout | None = None
        self.generation = self.fence = 0
        self.refused: dict[str, str] = {}  # By policy digest: "halted" or "back"
        self.last = ""  # Text on the last rollout that was halted or taken back
        self.broken = ""  # Broken invariant; if not empty, every command is rejected
        self.changed: Any = lambda: None

    # --- Interface of the agreed log

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a command; return (True, result) or (False, reason). Never raises an exception."""
        if self.broken:
            return False, self.broken
        try:
            decoded = msgpack.unpackb(command)
            verb, rest = str(decoded[0]), list(decoded[1:])
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
            return False, f"an invalid command: {type(error).__name__}"
        self._update_state()
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
                {name: asdict(node) for name, node in sorted(self.nodes.items())},
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
        self.nodes = {name: Node(**fields) for name, fields in nodes.items()}
        self.open, self.active, self.before = (Rollout(**r) if r is not None else None for r in rollouts)
        self.refused = dict(refused)
        self.check()
        self.changed()

    # --- Commands

    def _here(
        self, index: int, name: str, life: int, hardware: str, hall: str, scgi: str, differs: list[list[Any]]
    ) -> tuple[bool, Any]:
        """Record a started node and its measurements; plans prepared by an earlier life of it don't count."""
        known = self.nodes.get(name)
        if known is None and len(self.nodes) >= MAX_NODES:
            return False, f"over {MAX_NODES} nodes"
        if known is not None and life < known.life:
            return False, "a later life of the node was announced"
        self.nodes[name] = Node(life, hardware, hall, scgi, differs[:20])
        for rollout in (self.open, self.active, self.before):
            if rollout is not None and rollout.prepared.get(name, life) != life:
                del rollout.prepared[name]
                self._bypass(rollout, name)
        self._update_stage()
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
        allow_refused: bool = False,
    ) -> tuple[bool, Any]:
        if reason := self._fenced(fence):
            return False, reason
        if self.open is not None:
            # Of two concurrent proposals the first in the log wins; the other proposer is told who won.
            return False, f"{self.open.digest} of {self.open.by} is under way"
        if self.active is not None and self.active.digest == digest:
            self.active.policy = policy  # Another inventory compiles to the same plan
            return True, self.active.number
        if policy in self.refused and not allow_refused:
            return False, f"was {self.refused[policy]}"
        if not 0 < len(classes) <= MAX_CLASSES or not 0 < len(nodes) <= MAX_NODES:
            return False, "no class, no node, or too many of them"
        self.refused.pop(policy, None)
        self.open = Rollout(index, digest, policy, size, by, sorted(classes), dict(lost), sorted(nodes))
        return True, index

    def _rollout(self, number: int) -> Rollout | None:
        return next(
            (r for r in (self.open, self.active, self.before) if r is not None and r.number == number), None
        )

    def _prepared(self, index: int, number: int, name: str, life: int, digest: str) -> tuple[bool, Any]:
        rollout = self._rollout(number)
        if rollout is None or name not in rollout.nodes:
            return False, "no such rollout, or no such node in it"
        if digest != rollout.digest:
            return False, f"prepared {digest}, and {rollout.digest} is expected"
        node = self.nodes.get(name)
        if node is None or node.life != life:
            return False, "not the life of the node that was announced last"
        rollout.prepared[name] = life
        rollout.cannot.pop(name, None)
        if name in rollout.round:
            rollout.round.remove(name)
        self._update_stage()
        return True, index

    def _cannot(self, index: int, number: int, name: str, life: int, reason: str) -> tuple[bool, Any]:
        """Record that a node can't prepare the plan, or no longer has the resources to run it."""
        rollout, node = self._rollout(number), self.nodes.get(name)
        if rollout is None or name not in rollout.nodes or node is None or node.life != life:
            return False, "no such rollout, node or life"
        rollout.prepared.pop(name, None)
        rollout.cannot[name] = reason[:MAX_TEXT]
        self._bypass(rollout, name)
        self._update_stage()
        return True, index

    def _bypass(self, rollout: Rollout, name: str) -> None:
        if rollout.generation and name not in rollout.round:
            rollout.round = sorted([*rollout.round, name])

    def _update_state(self) -> None:
        """Switch to the loss state that fits if the present one does not cover all missing classes.

        This also has to run when a node comes back: in a random history both classes were lost, one of them
        came back, and the loss state of the other did not come into force.
        """
        rollout = self.active
        if rollout is None:
            return
        missing = self.missing(rollout)
        if not set(missing) <= set(rollout.lost.get(rollout.state, [])):
            state = self.state_for(rollout, missing)
            rollout.state = rollout.state if state is None else state

    def _update_stage(self) -> None:
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
        """Return the classes of the plan without a node that has prepared it, sorted by name."""
        present = {self.nodes[name].hardware for name in rollout.prepared if name in self.nodes}
        return sorted(set(rollout.classes) - present)

    def state_for(self, rollout: Rollout, missing: list[str]) -> str | None:
        """Return the loss state that covers the missing classes and loses the fewest; None if none does."""
        if not missing:
            return ""
        fit = [(len(lost), name) for name, lost in rollout.lost.items() if set(missing) <= set(lost)]
        return min(fit)[1] if fit else None

    def _activate(self, index: int, fence: int, number: int, bypassed: list[str]) -> tuple[bool, Any]:
        """Put the open rollout into force.

        Each node must have prepared it or be steered around, and a loss state must cover missing classes.
        """
        if reason := self._fenced(fence):
            return False, reason
        rollout = self.open
        if rollout is None or rollout.number != number:
            return False, "no such rollout is under way"
        pending = [name for name in rollout.nodes if name not in rollout.prepared and name not in bypassed]
        if pending:
            return False, f"{', '.join(pending)} neither prepared nor steered round"
        if not rollout.prepared:
            return False, "no node has prepared it"
        missing = self.missing(rollout)
        state = self.state_for(rollout, missing)
        if state is None:
            return False, f"no plan is without {', '.join(missing)}"
        self.generation += 1
        rollout.generation, rollout.stage, rollout.state = self.generation, Stage.ACTIVE.value, state
        rollout.round = [name for name in rollout.nodes if name not in rollout.prepared]
        self.before, self.active, self.open = self.active, rollout, None
        return True, self.generation

    def _lost(self, index: int, fence: int, number: int, state: str) -> tuple[bool, Any]:
        """Switch to the loss state of a lost hall or class; an empty state means that nothing is lost."""
        if reason := self._fenced(fence):
            return False, reason
        rollout = self.active
        if rollout is None or rollout.number != number or (state and state not in rollout.lost):
            return False, "the rollout is not in force, or has no such loss state"
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
        """Put the previous rollout into force again, under a new generation.

        Nodes that have not prepared it any more are steered around.
        """
        if self.before is None or self.active is None:
            return False, "there is no previous rollout"
        state = self.state_for(self.before, self.missing(self.before))
        if state is None or not self.before.prepared:
            return (
                False,
                "no node has the previous rollout prepared, or no loss state covers its missing classes",
            )
        self._refuse(self.active, Stage.BACK, who)
        self.generation += 1
        previous = self.before
        previous.generation, previous.state = self.generation, state
        previous.round = [name for name in previous.nodes if name not in previous.prepared]
        self.active, self.before = previous, self.active
        return True, self.generation

    def _refuse(self, rollout: Rollout, stage: Stage, who: str) -> None:
        rollout.stage = stage.value
        self.refused.pop(rollout.policy, None)
        self.refused[rollout.policy] = stage.value
        while len(self.refused) > MAX_REFUSED:
            del self.refused[next(iter(self.refused))]
        self.last = f"{rollout.digest[:12]} {stage.value} by {who}"[:MAX_TEXT]

    # --- Invariants

    def check(self) -> None:
        """Check the invariants, after every command. Raises BrokenInvariantError."""
        active = self.active
        if active is not None:
            self._require(
                active.generation == self.generation,
                "the generation of the rollout in force is not the last one",
            )
            self._require(
                all(name in active.prepared or name in active.round for name in active.nodes),
                "a node of the rollout in force is neither prepared nor steered around",
            )
            self._require(
                all(self.nodes[name].life == life for name, life in active.prepared.items()),
                "a plan counts as prepared by an earlier life of a node",
            )
        if self.open is not None:
            self._require(self.open.generation == 0, "the open rollout already has a generation")
            self._require(
                self.open.policy not in self.refused, "a policy that was halted or taken back is open again"
            )

    def _require(self, good: bool, what: str) -> None:
        if not good:
            raise BrokenInvariantError(
                what, where="lowering", do="send the log; this node has left the rollout"
            )


def command(verb: str, *rest: Any) -> bytes:
    packed: bytes = msgpack.packb([verb, *rest])
    return packed
