"""The machine ``budgets`` of the agreed log: which node may spend how much of which pot. Deterministic,
pure.

A pot is a team's budget for one period (``budget``), or the rate that a dependency survives (``rate``). A
lease is the part of a pot that one life of a node holds. Commands: ASK (renews leases, and grants more by
need), BACK (the n-th give-back of a lease), CLOSE (by the leader, of a lease that was not renewed). The log
index of the first ASK, with the position in it, numbers a lease.

States of a lease: OPEN, CLOSED (a budget's amount stays counted until the same life gives back the unspent
rest; a rate's amount is free again at once).
Invariants: in a pot, the amounts of open leases and the counted amounts of closed ones never grow beyond the
whole; a give-back is applied once, in the order of its number, and never exceeds its lease; a close that was
decided before a renewal doesn't close the renewed lease; the old pots that are dropped are never opened
again while newer ones are kept.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgpack

from beechrock.replica.errors import BrokenInvariantError, ReplicaRecordError

MACHINE = "budgets"
FORMAT = 1
MOST_POTS, KEEP_PERIODS = 16_384, 4  # Maximum number of pots, and of periods of one team.
MOST_LEASES = 256  # Maximum number of leases in a pot, closed ones included.
MOST_ITEMS = 256  # Maximum number of items in an ASK.
MOST_NAME = 256  # Maximum length of a name.
START_BITS = 20  # Number of random bits below the life number in a holder's life.
# Largest share of the free amount that one request is granted. If no more than the share LEAST of the whole
# pot is free, a request may get all of it.
SLICE, LEAST = 0.5, 1 / 32


class Result(Enum):
    DONE = "done"
    BAD = "bad"
    FULL = "full"
    GONE = "gone"  # There is no such lease or pot; nothing has changed.
    LATE = "late"  # The lease was renewed after the close was decided.


@dataclass(slots=True)
class Lease:
    id: int
    holder: str  # Name of the node.
    life: int  # Life of the node, with random bits (``start``).
    amount: float  # Amount granted, less what was given back.
    turn: int = 1  # Version: counts renewals and give-backs.
    backs: int = 0  # Number of give-backs applied.
    open: bool = True


@dataclass(slots=True)
class Pot:
    kind: str  # budget or rate
    name: str  # Name of the team or dependency.
    period: int  # Number of the period, from 1; 0 for a rate.
    whole: float  # Amount of the whole pot.
    number: int  # Generation of the inventory that defines the amount.
    leases: dict[int, Lease] = field(default_factory=dict)

    @property
    def granted(self) -> float:
        return sum(lease.amount for lease in self.leases.values())

    @property
    def free(self) -> float:
        return max(0.0, self.whole - self.granted)


PotKey = tuple[str, str, int]  # Kind, name and period of a pot.


@dataclass(frozen=True, slots=True)
class Granted:
    """The state of a lease after an item of an ASK, or after a BACK."""

    pot: PotKey
    id: int
    amount: float
    turn: int
    backs: int


@dataclass(slots=True)
class Budgets:
    pots: dict[PotKey, Pot] = field(default_factory=dict)
    without: frozenset[str] = frozenset()  # Names of guards to disable; for simulations and tests only.

    # --- commands of the log

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a command of the log. Return a list of Granted with the leases after an ASK or a BACK, or a
        Result."""
        try:
            version, what, *told = msgpack.unpackb(command)
            if version != FORMAT:
                return Result.BAD
            before = {key: pot.granted for key, pot in self.pots.items()} if what != "ask" else {}
            match what, told:
                case "ask", [str(holder), int(life), list(items)]:
                    return self._ask(index, holder, life, items[:MOST_ITEMS])
                case "back", [str(holder), int(life), int(ident), int(n), float(amount), list(pot)]:
                    result = self._back(holder, life, _key(pot), ident, n, amount)
                case "close", [int(ident), int(turn), list(pot)]:
                    result = self._close(_key(pot), ident, turn)
                case _:
                    return Result.BAD
        except (ValueError, TypeError, msgpack.UnpackException):
            return Result.BAD
        for key, granted in before.items():
            if self.pots[key].granted > granted + 1e-9:
                raise BrokenInvariantError("a give-back that grants", where=f"pot {key}")
        return result

    def _ask(self, index: int, holder: str, life: int, items: list[Any]) -> Any:
        wanted = [(_key(pot), float(whole), int(number), float(want)) for pot, whole, number, want in items]
        return [
            granted
            for n, one in enumerate(wanted)
            if (granted := self._one(index * MOST_ITEMS + n, holder, life, *one)) is not None
        ]

    def _one(
        self, ident: int, holder: str, life: int, key: PotKey, whole: float, number: int, want: float
    ) -> Granted | None:
        pot = self._pot(key, whole, number)
        if pot is None or not want >= 0 or len(holder) > MOST_NAME:
            return None
        mine = [one for one in pot.leases.values() if one.holder == holder and one.open]
        if any(one.life > life for one in mine):
            # Two nodes have one name, or this is a late command of an earlier life: the newer life holds the
            # lease.
            return None
        lease = next((one for one in mine if one.life == life), None)
        room = pot.free if pot.free <= LEAST * pot.whole else SLICE * pot.free
        if "whole" in self.without:
            room = want
        grant = min(want, room)
        if lease is None:
            if len(pot.leases) >= MOST_LEASES:
                return None
            lease = pot.leases[ident] = Lease(ident, holder, life, 0.0, 0)
        granted = pot.granted
        lease.amount += grant
        lease.turn += 1
        if grant and pot.granted > max(pot.whole, granted) + 1e-6 and "whole" not in self.without:
            raise BrokenInvariantError(f"{pot.granted:g} granted of {pot.whole:g}", where=f"pot {key}")
        return Granted(key, lease.id, lease.amount, lease.turn, lease.backs)

    def _pot(self, key: PotKey, whole: float, number: int) -> Pot | None:
        kind, name, period = key
        pot = self.pots.get(key)
        if pot is None:
            if (
                kind not in ("budget", "rate")
                or not 0 < len(name.encode()) <= MOST_NAME
                or not whole > 0
                or (kind == "rate") != (period == 0)
                or len(self.pots) >= MOST_POTS
            ):
                return None
            pot = self.pots[key] = Pot(kind, name, period, whole, number)
            self._drop(name)
            return self.pots.get(key)
        if number > pot.number or (number == pot.number and 0 < whole < pot.whole):
            # Of two amounts from the same generation, the smaller counts.
            pot.number, pot.whole = number, whole
        return pot

    def _drop(self, name: str) -> None:
        """Drop the oldest periods of a team. That includes a period that was just opened if it is older than
        all others: it may have been dropped before, and what it had granted is not known any more."""
        periods = sorted(key for key in self.pots if key[0] == "budget" and key[1] == name)
        for key in periods[:-KEEP_PERIODS]:
            del self.pots[key]

    def _back(self, holder: str, life: int, key: PotKey, ident: int, n: int, amount: float) -> Any:
        pot = self.pots.get(key)
        lease = pot.leases.get(ident) if pot is not None else None
        if lease is None or (lease.holder, lease.life) != (holder, life):
            return Result.GONE
        if n <= lease.backs and "once" not in self.without:
            return [Granted(key, ident, lease.amount, lease.turn, lease.backs)]  # It was applied before.
        if n > lease.backs + 1:
            return Result.BAD
        if not 0 <= amount <= lease.amount + 1e-9:
            return Result.BAD
        lease.backs += 1
        lease.turn += 1  # So the holder ignores a late answer from before, which has the larger amount.
        lease.amount = max(0.0, lease.amount - amount)
        return [Granted(key, ident, lease.amount, lease.turn, lease.backs)]

    def _close(self, key: PotKey, ident: int, turn: int) -> Result:
        pot = self.pots.get(key)
        lease = pot.leases.get(ident) if pot is not None else None
        if pot is None or lease is None or not lease.open:
            return Result.GONE
        if lease.turn != turn and "turn" not in self.without:
            return Result.LATE
        lease.open = False
        if pot.kind == "rate" or "counted" in self.without:
            del pot.leases[ident]
        return Result.DONE

    # --- reading and snapshots

    def open_leases(self) -> list[tuple[PotKey, Lease]]:
        return [(key, lease) for key, pot in self.pots.items() for lease in pot.leases.values() if lease.open]

    def snapshot(self) -> bytes:
        pots = [
            (
                *key,
                pot.whole,
                pot.number,
                [
                    (one.id, one.holder, one.life, one.amount, one.turn, one.backs, one.open)
                    for one in pot.leases.values()
                ],
            )
            for key, pot in self.pots.items()
        ]
        data: bytes = msgpack.packb((FORMAT, pots))
        return data

    def restore(self, data: bytes) -> None:
        """Load a snapshot. Raises ReplicaRecordError if it is not one of this format."""
        try:
            version, pots = msgpack.unpackb(data)
        except (ValueError, TypeError, msgpack.UnpackException):
            version, pots = 0, []
        if version != FORMAT:
            raise ReplicaRecordError(
                f"format {version}",
                where="snapshot of budgets",
                wanted=f"{FORMAT}",
                do="run the version that wrote it, or a later one",
            )
        self.pots = {}
        for kind, name, period, whole, number, held in pots:
            leases = {one[0]: Lease(*one) for one in held}
            self.pots[kind, name, period] = Pot(kind, name, period, whole, number, leases)


def _key(told: Any) -> PotKey:
    kind, name, period = told
    return str(kind), str(name), int(period)


def start(life: int, drawn: int) -> int:
    """Return a holder's life: its life number above random bits, so it is greater than those of earlier
    lives and equals that of another process only by a chance of one in a million. Two processes of one name
    may have the same life number (copies of one folder, a clock that was ahead); without the bits both would
    spend one lease."""
    return (life << START_BITS) | (drawn & ((1 << START_BITS) - 1))


def too_far(budgets: Budgets, wanted: set[PotKey], name: str) -> set[PotKey]:
    """Return those of the wanted pots that are not open yet and lie more than one period after the periods
    of most other holders of the same team.

    Opening four such pots would drop the present ones (KEEP_PERIODS). The requesting node applies this rule,
    not the machine. A fleet that was stopped for many periods can continue as soon as the leader has closed
    the old leases, as they no longer count here.
    """
    new = {pot for pot in wanted if pot[0] == "budget" and pot not in budgets.pots}
    stand: dict[str, dict[str, int]] = {pot[1]: {} for pot in new}
    for (kind, team, period), pot in budgets.pots.items():
        if kind == "budget" and team in stand:
            for lease in pot.leases.values():
                if lease.open and lease.holder != name:
                    stand[team][lease.holder] = max(period, stand[team].get(lease.holder, 0))
    return {
        pot
        for pot in new
        if 2 * sum(at < pot[2] - 1 for at in stand[pot[1]].values()) > len(stand[pot[1]]) + 1
    }


# --- commands


def _command(*told: Any) -> bytes:
    data: bytes = msgpack.packb((FORMAT, *told))
    return data


def ask(holder: str, life: int, items: list[tuple[PotKey, float, int, float]]) -> bytes:
    """Encode an ASK. Each item: pot, its whole amount, the inventory's generation, the additional amount
    wanted (0 to only renew)."""
    return _command("ask", holder, life, [list(one) for one in items])


def back(holder: str, life: int, pot: PotKey, ident: int, n: int, amount: float) -> bytes:
    return _command("back", holder, life, ident, n, float(amount), list(pot))


def close(pot: PotKey, ident: int, turn: int) -> bytes:
    return _command("close", ident, turn, list(pot))


@dataclass(slots=True)
class Closing:
    """The leader's choice of leases to close. It is not replicated: a new leader waits a full lease for
    each."""

    lease_s: float  # Seconds without a renewal after which a lease is closed.
    # By lease: its turn, and when it was first seen.
    seen: dict[int, tuple[int, float]] = field(default_factory=dict)

    def due(self, now: float, budgets: Budgets) -> list[tuple[PotKey, int, int]]:
        """Return the leases to close, each with pot, lease and turn. The time counts from when this leader
        first saw the turn, which is after the holder sent its request."""
        found, standing = [], dict[int, tuple[int, float]]()
        for key, lease in budgets.open_leases():
            turn, since_s = self.seen.get(lease.id, (0, now))
            standing[lease.id] = (turn, since_s) if turn == lease.turn else (lease.turn, now)
            if now - standing[lease.id][1] > self.lease_s:
                found.append((key, lease.id, lease.turn))
        self.seen = standing
        return found
