"""Decides the publisher's next step: compile, activate a plan, report a loss, or wait. Pure."""

from collections.abc import Collection
from dataclasses import dataclass

from beechrock.lowering.rollout import Machine, Rollout

PREPARE_S = 10.0  # Seconds that a node may take to prepare a plan; afterwards requests are steered around it
GONE_S = 3.0  # Seconds of silence after which a node counts as lost; only a hint, the agreed log decides
RETRY_S = 5.0  # Seconds until the next attempt after a failed compile or proposal
# A gap in seconds between two steps after which earlier messages don't show which nodes are up now.
PAUSE_S = 1.0


@dataclass(frozen=True, slots=True)
class Compile:
    pass


@dataclass(frozen=True, slots=True)
class Activate:
    number: int
    round: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Lost:
    number: int
    state: str


Step = Compile | Activate | Lost | None
MAX_SEEN = 256  # Maximum number of inventories remembered during one compile; the oldest is dropped first


class Compiling:
    """A running compile, and the inventories that were in force at this node since it began.

    Its plan is proposed if it was compiled from any of them. When only the newest inventory was accepted, a
    policy that changed faster than a compile takes was never published.
    """

    def __init__(self, wanted: str) -> None:
        self.seen = {wanted: None}

    def add_inventory(self, wanted: str) -> None:
        self.seen[wanted] = None
        while len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]

    def takes(self, made_from: str, wanted: str, machine: Machine) -> bool:
        """Return whether to propose the plan.

        A plan is not proposed after its change was withdrawn: if the inventory is the one in force again, no
        new plan is needed.
        """
        if not wanted or made_from not in self.seen:
            return False
        return made_from == wanted or machine.active is None or machine.active.policy != wanted


class Publisher:
    """State of the publisher, in memory only; a new holder finds its predecessor's progress in the log."""

    def __init__(self, prepare_s: float = PREPARE_S, gone_s: float = GONE_S) -> None:
        self.prepare_s, self.gone_s = prepare_s, gone_s
        self.stepped_s, self.losses_from_s = float("-inf"), float("-inf")
        self.since: dict[int, float] = {}  # By rollout number: time at which this holder saw it first
        self.tried: tuple[str, float] = ("", 0.0)  # Inventory digest and time of the last compile

    def step(self, now: float, machine: Machine, wanted: str, responsive: Collection[str]) -> Step:
        """Return the next step.

        ``wanted`` is the digest of the inventory to publish, or empty; ``responsive`` are the nodes from
        which a message came recently.
        """
        if now - self.stepped_s > PAUSE_S:
            self.losses_from_s = now + self.gone_s
        self.stepped_s = now
        if machine.open is not None:
            return self._carry(now, machine, machine.open)
        self.since.clear()
        if machine.active is not None:
            state = self._state(machine, machine.active, responsive)
            # After a gap between steps, wait ``gone_s`` before reporting a loss: a publisher that had just
            # come back from a network cut reported a class as lost although all its nodes were up.
            if (
                state is not None
                and state != machine.active.state
                and (not state or now >= self.losses_from_s)
            ):
                return Lost(machine.active.number, state)
        if (
            wanted
            and (machine.active is None or machine.active.policy != wanted)
            and wanted not in machine.refused
        ):
            digest, at = self.tried
            if digest != wanted or now - at >= RETRY_S:
                self.tried = wanted, now
                return Compile()
        return None

    def _carry(self, now: float, machine: Machine, rollout: Rollout) -> Step:
        began = self.since.setdefault(rollout.number, now)
        pending = [
            name for name in rollout.nodes if name not in rollout.prepared and name not in rollout.cannot
        ]
        if pending and now - began < self.prepare_s:
            return None
        if not rollout.prepared or machine.state_for(rollout, machine.missing(rollout)) is None:
            return None  # No node is prepared, or no loss state covers a missing class: keep waiting
        return Activate(rollout.number, tuple(name for name in rollout.nodes if name not in rollout.prepared))

    def _state(self, machine: Machine, rollout: Rollout, responsive: Collection[str]) -> str | None:
        """Return the loss state that fits the responsive nodes; None to keep the present one."""
        present = [name for name in rollout.prepared if name in responsive and name in machine.nodes]
        if not present:
            return None  # If no node responds, it is the publisher that is cut off
        halls = {machine.nodes[name].hall for name in rollout.prepared if name in machine.nodes}
        lost_halls = sorted(halls - {machine.nodes[name].hall for name in present})
        missing = sorted(set(rollout.classes) - {machine.nodes[name].hardware for name in present})
        for hall in lost_halls:
            state = f"hall:{hall}"
            if state in rollout.lost and set(missing) <= set(rollout.lost[state]):
                return state
        return machine.state_for(rollout, missing)
