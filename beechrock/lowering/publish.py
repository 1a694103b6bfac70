"""What the holder of the publisher's duty does next: compile, propose, wait, activate, or tell of a loss.
Pure."""

from collections.abc import Collection
from dataclasses import dataclass

from beechrock.lowering.rollout import Machine, Rollout

PREPARE_S = 10.0  # so long a node may take to prepare before it is steered round
GONE_S = 3.0  # silent for so long, a node counts as gone; advice, the log has the word
RETRY_S = 5.0  # after a compile or a proposal that came to nothing
PAUSE_S = 1.0  # a longer gap between two steps: who was heard before it says nothing of who is there now


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
MAX_SEEN = 256  # inventories that come into force while one compile runs; the oldest is forgotten


class Compiling:
    """A compile under way, and the inventories that were in force here since it began.

    What it was made from is proposed if it was one of them. Only the newest one would do otherwise: seen in
    the run of all parts, a policy that changed faster than a compile takes was never published.
    """

    def __init__(self, wanted: str) -> None:
        self.seen = {wanted: None}

    def saw(self, wanted: str) -> None:
        self.seen[wanted] = None
        while len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]

    def takes(self, made_from: str, wanted: str, machine: Machine) -> bool:
        """Not what was withdrawn: a change that is taken back to what is in force needs no new plan."""
        if not wanted or made_from not in self.seen:
            return False
        return made_from == wanted or machine.active is None or machine.active.policy != wanted


class Publisher:
    """Volatile: a new holder begins anew, and finds in the log what its predecessor left."""

    def __init__(self, prepare_s: float = PREPARE_S, gone_s: float = GONE_S) -> None:
        self.prepare_s, self.gone_s = prepare_s, gone_s
        self.stepped_s, self.losses_from_s = float("-inf"), float("-inf")
        self.since: dict[int, float] = {}  # by rollout: when this holder saw it first
        self.tried: tuple[str, float] = ("", 0.0)

    def step(self, now: float, machine: Machine, wanted: str, heard: Collection[str]) -> Step:
        """``wanted`` is the digest of the inventory to go by, empty: none; ``heard`` are nodes that are
        not silent."""
        if now - self.stepped_s > PAUSE_S:
            self.losses_from_s = now + self.gone_s
        self.stepped_s = now
        if machine.open is not None:
            return self._carry(now, machine, machine.open)
        self.since.clear()
        if machine.active is not None:
            state = self._state(machine, machine.active, heard)
            # Seen in the run of all parts: back from a cut, it told a class lost whose nodes were all up.
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
        left = [n for n in rollout.nodes if n not in rollout.prepared and n not in rollout.cannot]
        if left and now - began < self.prepare_s:
            return None
        if not rollout.prepared or machine.state_for(rollout, machine.missing(rollout)) is None:
            return (
                None  # nobody can, or a class is missing that no plan does without: it stays open and is told
            )
        return Activate(rollout.number, tuple(n for n in rollout.nodes if n not in rollout.prepared))

    def _state(self, machine: Machine, rollout: Rollout, heard: Collection[str]) -> str | None:
        """The plan that fits who is there; None: leave it."""
        there = [n for n in rollout.prepared if n in heard and n in machine.nodes]
        if not there:
            return None  # a publisher that hears nobody is the one that is cut off
        halls = {machine.nodes[n].hall for n in rollout.prepared if n in machine.nodes}
        gone_halls = sorted(halls - {machine.nodes[n].hall for n in there})
        gone = sorted(set(rollout.classes) - {machine.nodes[n].hardware for n in there})
        for hall in gone_halls:
            state = f"hall:{hall}"
            if state in rollout.lost and set(gone) <= set(rollout.lost[state]):
                return state
        return machine.state_for(rollout, gone)
