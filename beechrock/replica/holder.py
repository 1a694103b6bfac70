"""A node's side of its leases: what it may spend now, what it requests, and what it gives back. Pure.

States of a holding: NONE (never granted), HELD, ENDED (by this node's clock, or after a pause: nothing more
is spent until a request that was sent later is answered). Events: ``look`` (time), ``used`` (the amount
spent), ``asks``, ``answered``, ``surplus``, ``gave_back``.
Invariants: ``cap``, read after ``look``, never exceeds what the log granted, less the amounts that are given
back or proposed to be; in any state but HELD it doesn't exceed the amount already spent; a lease's end is
counted from when the request was sent, and comes earlier by DRIFT; a give-back is proposed under the same
number until its result is known, and lowers the cap before it is proposed.
"""

from dataclasses import dataclass, field
from enum import Enum

from beechrock.replica.errors import BrokenInvariantError
from beechrock.replica.leases import Granted, PotKey

DRIFT = 0.05  # Allowance for clock drift, as a share of a lease's length; defined in docs/fleet.md.
PAUSE_SHARE = 0.25  # A gap between two calls of ``look`` longer than this share of a lease counts as a pause.
RESERVE_LEASES = 4.0  # Number of lease lengths whose expected need a holder keeps in reserve.
RENEWALS_PER_LEASE = 3.0  # Number of renewals in the length of a lease.
NEED_AVERAGE_S = 10.0  # Time over which the need is averaged, in seconds.
MAX_HOLDINGS = 4096  # Maximum number of current holdings.
KEPT_PAST = 3  # Number of past holdings kept for each current pot.


class State(Enum):
    NONE = "none"
    HELD = "held"
    ENDED = "ended"


@dataclass(slots=True)
class Back:
    """A give-back, proposed again until it is known to be applied."""

    pot: PotKey
    id: int  # The lease's number.
    n: int  # Number of this give-back within its lease, from 1.
    amount: float
    sent_s: float = float("-inf")  # Time of the last proposal, in monotonic seconds.


@dataclass(slots=True)
class Holding:
    """This node's lease of one pot."""

    pot: PotKey
    whole: float  # Size of the whole pot.
    generation: int  # Generation of the inventory that defines the size; 0 if unknown.
    state: State = State.NONE
    id: int = 0  # Number of the current lease; 0 if there was none.
    amount: float = 0.0  # Amount granted by the log in the current lease.
    spent_before: float = 0.0  # Amount spent under this node's earlier leases, which the log counts there.
    turn: int = 0  # Version of the current lease, as last answered by the log.
    backs: int = 0  # Number of give-backs of the current lease that the log has applied.
    ends_s: float = float("-inf")  # End of the current lease, in monotonic seconds.
    spent: float = 0.0  # Amount spent under all leases of this pot.
    need_per_s: float = 0.0  # Average rate of spending.
    used_s: float | None = None  # Time of the last ``used``, in monotonic seconds.
    returning: dict[int, Back] = field(default_factory=dict)  # By lease: the give-back in progress.
    asked_s: float = float("-inf")  # Time of the last request, in monotonic seconds.

    @property
    def limit(self) -> float:
        """Upper bound of ``cap``: what earlier leases spent, plus the current lease less its pending
        give-back."""
        pending = self.returning.get(self.id)
        return self.spent_before + self.amount - (pending.amount if pending is not None else 0.0)

    @property
    def cap(self) -> float:
        """Total amount that may be spent in this pot now. Valid only directly after ``look``."""
        return self.limit if self.state is State.HELD else min(self.spent, self.limit)

    def target(self, nodes: int, lease_s: float) -> float:
        """Return the total amount to hold: enough for RESERVE_LEASES lease lengths of the need, or a small
        share of the pot while nothing has been spent."""
        ahead = RESERVE_LEASES * lease_s * self.need_per_s
        part = self.spent + max(ahead, 0.02 * self.whole) if self.spent else self.whole / (4 * nodes)
        return min(part, self.whole)


@dataclass(slots=True)
class Holder:
    """All leases of this node."""

    name: str
    life: int
    nodes: int  # Number of nodes in the fleet.
    lease_s: float  # Length of a lease, in seconds.
    holdings: dict[PotKey, Holding] = field(default_factory=dict)
    current: set[PotKey] = field(default_factory=set)  # Pots that are renewed now.
    forgotten_upto: dict[str, int] = field(default_factory=dict)  # By team: the latest forgotten period.
    last_look_s: float | None = None  # Time of the last ``look``, in monotonic seconds.
    next_end_s: float = float("-inf")  # Earliest end of a lease, in monotonic seconds.
    # End of the last pause, in monotonic seconds; answers to requests sent before it extend no lease.
    pause_end_s: float = float("-inf")
    leaving: bool = False  # Whether all unspent amounts are given back.
    without: frozenset[str] = frozenset()  # Names of guards to disable; for simulations and tests only.

    def look(self, now: float) -> bool:
        """End the leases that have expired, or all leases after a pause. Must be called before each use of
        ``cap``. Return whether any lease ended."""
        paused = (
            self.last_look_s is not None and not 0 <= now - self.last_look_s <= PAUSE_SHARE * self.lease_s
        )
        paused = paused and "pause" not in self.without
        if paused:
            self.pause_end_s = now
        self.last_look_s = now
        if not paused and now < self.next_end_s:
            return False  # The usual case, as this runs before every batch of the decision module.
        ended = False
        for holding in self.holdings.values():
            if holding.state is State.HELD and (
                paused or (now >= holding.ends_s and "end" not in self.without)
            ):
                holding.state, ended = State.ENDED, True
        self.next_end_s = min(
            (holding.ends_s for holding in self.holdings.values() if holding.state is State.HELD),
            default=float("inf"),
        )
        return ended

    def pots(self, wanted: dict[PotKey, tuple[float, int]]) -> None:
        """Set the current pots, each with its size and the inventory's generation. Other holdings are no
        longer renewed, but up to KEPT_PAST of them for each current pot are kept, as a wall clock may go
        back. A forgotten period is never opened again."""
        self.current = set()
        for pot, (whole, generation) in list(wanted.items())[:MAX_HOLDINGS]:
            if pot[2] and pot[2] <= self.forgotten_upto.get(pot[1], 0):
                continue
            holding = self.holdings.setdefault(pot, Holding(pot, whole, generation))
            holding.whole, holding.generation = whole, generation
            self.current.add(pot)
        past = sorted(self.holdings.keys() - self.current, key=lambda pot: pot[2])
        for pot in past[: max(0, len(past) - KEPT_PAST * len(wanted))]:
            del self.holdings[pot]
            self.forgotten_upto[pot[1]] = max(self.forgotten_upto.get(pot[1], 0), pot[2])

    def used(self, now: float, pot: PotKey, spent: float) -> None:
        """Set the total amount spent in a pot. Raises BrokenInvariantError if it exceeds what was granted."""
        holding = self.holdings[pot]
        if spent > holding.spent and spent > holding.limit + 1e-6 and not self.without:
            raise BrokenInvariantError(f"{spent:g} spent of {holding.limit:g}", where=f"pot {pot}")
        if holding.used_s is not None and now > holding.used_s:
            part = min(1.0, (now - holding.used_s) / NEED_AVERAGE_S)
            rate = max(0.0, spent - holding.spent) / (now - holding.used_s)
            holding.need_per_s += part * (rate - holding.need_per_s)
        holding.spent, holding.used_s = spent, now

    def asks(self, now: float) -> list[tuple[PotKey, float, int, float]]:
        """Return requests for the current pots that are due for renewal or running low, each with the pot,
        its size, the inventory's generation and the additional amount. They count as sent now."""
        due = []
        for holding in (self.holdings[pot] for pot in self.current):
            age = now - holding.asked_s
            left, ahead = holding.cap - holding.spent, RESERVE_LEASES * self.lease_s * holding.need_per_s
            low = left <= 0.25 * ahead or left <= 0.005 * holding.whole
            if age >= self.lease_s / RENEWALS_PER_LEASE or (low and age >= 0.1 * self.lease_s):
                holding.asked_s = now
                want = max(0.0, holding.target(self.nodes, self.lease_s) - holding.limit)
                due.append((holding.pot, holding.whole, holding.generation, want))
        return due

    def answered(self, sent_s: float, answer: list[Granted]) -> None:
        """Process the log's answer to the requests sent at ``sent_s``. Leases older than the known ones are
        ignored."""
        for granted in answer:
            holding = self.holdings.get(granted.pot)
            if (
                holding is None
                or granted.id < holding.id
                or (granted.id == holding.id and granted.turn <= holding.turn)
            ):
                continue
            if granted.id != holding.id:
                self._replace_lease(holding, granted)
            holding.amount, holding.turn, holding.backs = granted.amount, granted.turn, granted.backs
            pending = holding.returning.get(holding.id)
            if pending is not None and granted.backs >= pending.n:
                del holding.returning[holding.id]
            if sent_s >= self.pause_end_s or "sent" in self.without:
                holding.ends_s = sent_s + (1 - DRIFT) * self.lease_s
                holding.state = State.HELD
                self.next_end_s = min(self.next_end_s, holding.ends_s)

    def _replace_lease(self, holding: Holding, granted: Granted) -> None:
        """Replace a lease that was closed by a new one. The amount spent stays counted in the old lease; the
        rest is given back, unless a give-back of the old lease is still pending."""
        if holding.id:
            under = max(0.0, holding.spent - holding.spent_before)
            rest = holding.amount - under
            pending = holding.returning.pop(holding.id, None)
            # A pending give-back may not be applied yet: it stays, and the rest remains in the old lease.
            if pending is not None:
                rest -= pending.amount
                holding.returning[holding.id] = pending
            elif rest > 0:
                holding.returning[holding.id] = Back(holding.pot, holding.id, holding.backs + 1, rest)
            holding.spent_before += under
        holding.id, holding.turn = granted.id, 0

    def surplus(self, now: float) -> list[Back]:
        """Return the give-backs to propose now: of holdings that far exceed their need, and earlier ones
        that are not known to be applied after a lease's length."""
        for holding in (self.holdings[pot] for pot in self.current):
            target = holding.spent if self.leaving else holding.target(self.nodes, self.lease_s)
            spare, threshold = holding.limit - target, max(0.05 * holding.whole, target - holding.spent)
            if (
                holding.id
                and holding.id not in holding.returning
                and spare > (0.0 if self.leaving else threshold)
            ):
                give = min(spare, holding.limit - holding.spent)
                if give > 0:
                    holding.returning[holding.id] = Back(holding.pot, holding.id, holding.backs + 1, give)
        due = [
            back
            for holding in self.holdings.values()
            for back in holding.returning.values()
            if now - back.sent_s >= self.lease_s
        ]
        for back in due:
            back.sent_s = now
        return due

    def gave_back(self, answer: object) -> None:
        """Process the log's answer to a give-back: a list of Granted, or anything else if it was not
        applied."""
        for granted in answer if isinstance(answer, list) else []:
            holding = self.holdings.get(granted.pot)
            if holding is None:
                continue
            if granted.id == holding.id and granted.turn > holding.turn:
                holding.amount, holding.turn, holding.backs = granted.amount, granted.turn, granted.backs
            pending = holding.returning.get(granted.id)
            if pending is not None and granted.backs >= pending.n:
                del holding.returning[granted.id]
