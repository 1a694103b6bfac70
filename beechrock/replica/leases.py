"""The machine ``budgets`` of the agreed log: which node may spend how much of which pot. Pure.

A pot is a team's budget for one period (``budget``), or the rate that a dependency survives (``rate``). A
lease is the part of a pot that one life of a node holds. Commands: ASK (renews leases, and grants more by
need), BACK (the n-th give-back of a lease), CLOSE (by the leader, of a lease that was not renewed). A lease's
number comes from the log index of its first ASK and its position there. All commands are deterministic.

States of a lease: OPEN, CLOSED (a budget's amount stays counted until the same life gives back the unspent
rest; a rate's amount is free again at once).
Invariants: in a pot, the amounts of open leases and the counted amounts of closed ones never grow beyond the
whole; a give-back is applied once, in the order of its number, and never exceeds its lease; a close that was
decided before a renewal doesn't close the renewed lease; a pot that was dropped is never opened again.
"""

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import msgpack

from beechrock.replica.errors import BrokenInvariantError, ReplicaRecordError

MACHINE = "budgets"
FORMAT = 1
MAX_POTS, KEEP_PERIODS = 16_384, 4  # Maximum number of pots, and of periods of one team.
MAX_LEASES = 256  # Maximum number of leases in a pot, closed ones included.
MAX_ITEMS = 256  # Maximum number of items in an ASK.
MAX_NAME = 256  # Maximum length of a name.
START_BITS = 20  # Number of random bits below the life number in a holder's life.
# Largest share of the free amount that one request is granted. If no more than SMALL_SHARE of the whole pot
# is free, a request may get all of it.
GRANT_SHARE, SMALL_SHARE = 0.5, 1 / 32


class Result(Enum):
    DONE = "done"
    BAD = "bad"
    FULL = "full"
    GONE = "gone"  # There is no such lease or pot; nothing has changed.
    LATE = "late"  # The lease was renewed after the close was decided.


@dataclass(slots=True)
class Lease:
    """The part of a pot that one life of a node holds."""

    id: int
    holder: str  # Name of the node.
    life: int  # Life of the node, with random bits (``holder_life``).
    amount: float  # Amount granted, less what was given back.
    turn: int = 1  # Version: counts renewals and give-backs.
    backs: int = 0  # Number of give-backs applied.
    open: bool = True


@dataclass(slots=True)
class Pot:
    """An amount that nodes share by leases."""

    kind: str  # budget or rate
    name: str  # Name of the team or dependency.
    period: int  # Number of the period, from 1; 0 for a rate.
    whole: float  # Amount of the whole pot.
    generation: int  # Generation of the inventory that defines the amount.
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
    """The machine: all pots and their leases."""

    pots: dict[PotKey, Pot] = field(default_factory=dict)
    without: frozenset[str] = frozenset()  # Names of guards to disable; for simulations and tests only.

    # --- commands of the log

    def apply(self, index: int, command: bytes) -> Any:
        """Apply a command of the log. Return a list of Granted with the leases after an ASK or a BACK, or a
        Result."""
        try:
            version, verb, *fields = msgpack.unpackb(command)
            if version != FORMAT:
                return Result.BAD
            before = {key: pot.granted for key, pot in self.pots.items()} if verb != "ask" else {}
            match verb, fields:
                case "ask", [str(holder), int(life), list(items)]:
                    return self._ask(index, holder, life, items[:MAX_ITEMS])
                case "back", [str(holder), int(life), int(ident), int(n), float(amount), list(pot)]:
                    result = self._back(holder, life, _pot_key(pot), ident, n, amount)
                case "close", [int(ident), int(turn), list(pot)]:
                    result = self._close(_pot_key(pot), ident, turn)
                case _:
                    return Result.BAD
        except (ValueError, TypeError, msgpack.UnpackException):
            return Result.BAD
        for key, granted in before.items():
            if self.pots[key].granted > granted + 1e-9:
                raise BrokenInvariantError(
                    "a give-back or close increased a granted amount", where=f"pot {key}"
                )
        return result

    def _ask(self, index: int, holder: str, life: int, items: list[Any]) -> Any:
        wanted = [
            (_pot_key(pot), float(whole), int(generation), float(want))
            for pot, whole, generation, want in items
        ]
        return [
            granted
            for n, item in enumerate(wanted)
            if (granted := self._grant(index * MAX_ITEMS + n, holder, life, *item)) is not None
        ]

    def _grant(
        self, ident: int, holder: str, life: int, key: PotKey, whole: float, generation: int, want: float
    ) -> Granted | None:
        pot = self._open_pot(key, whole, generation)
        if pot is None or not want >= 0 or len(holder) > MAX_NAME:
            return None
        held = [other for other in pot.leases.values() if other.holder == holder and other.open]
        if any(other.life > life for other in held):
            # Two nodes have one name, or this is a late command of an earlier life. The newer life holds it.
            return None
        lease = next((other for other in held if other.life == life), None)
        room = pot.free if pot.free <= SMALL_SHARE * pot.whole else GRANT_SHARE * pot.free
        if "whole" in self.without:
            room = want
        grant = min(want, room)
        if lease is None:
            if len(pot.leases) >= MAX_LEASES:
                return None
            lease = pot.leases[ident] = Lease(ident, holder, life, 0.0, 0)
        granted = pot.granted
        lease.amount += grant
        lease.turn += 1
        if grant and pot.granted > max(pot.whole, granted) + 1e-6 and "whole" not in self.without:
            raise BrokenInvariantError(f"{pot.granted:g} granted of {pot.whole:g}", where=f"pot {key}")
        return Granted(key, lease.id, lease.amount, lease.turn, lease.backs)

    def _open_pot(self, key: PotKey, whole: float, generation: int) -> Pot | None:
        kind, name, period = key
        pot = self.pots.get(key)
        if pot is None:
            if (
                kind not in ("budget", "rate")
                or not 0 < len(name.encode()) <= MAX_NAME
                or not whole > 0
                or (kind == "rate") != (period == 0)
                or len(self.pots) >= MAX_POTS
            ):
                return None
            pot = self.pots[key] = Pot(kind, name, period, whole, generation)
            self._drop_old_periods(name)
            return self.pots.get(key)
        if generation > pot.generation or (generation == pot.generation and 0 < whole < pot.whole):
            # Of two amounts from the same generation, the smaller counts.
            pot.generation, pot.whole = generation, whole
        return pot

    def _drop_old_periods(self, name: str) -> None:
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
                pot.generation,
                [
                    (
                        lease.id,
                        lease.holder,
                        lease.life,
                        lease.amount,
                        lease.turn,
                        lease.backs,
                        lease.open,
                    )
                    for lease in pot.leases.values()
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
        for kind, name, period, whole, generation, held in pots:
            leases = {row[0]: Lease(*row) for row in held}
            self.pots[kind, name, period] = Pot(kind, name, period, whole, generation, leases)


def _pot_key(fields: Any) -> PotKey:
    kind, name, period = fields
    return str(kind), str(name), int(period)


def holder_life(life: int, drawn: int) -> int:
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
    positions: dict[str, dict[str, int]] = {pot[1]: {} for pot in new}
    for (kind, team, period), pot in budgets.pots.items():
        if kind == "budget" and team in positions:
            for lease in pot.leases.values():
                if lease.open and lease.holder != name:
                    positions[team][lease.holder] = max(period, positions[team].get(lease.holder, 0))
    return {
        pot
        for pot in new
        if 2 * sum(at < pot[2] - 1 for at in positions[pot[1]].values()) > len(positions[pot[1]]) + 1
    }


# --- commands


def _command(*fields: Any) -> bytes:
    data: bytes = msgpack.packb((FORMAT, *fields))
    return data


def ask(holder: str, life: int, items: list[tuple[PotKey, float, int, float]]) -> bytes:
    """Encode an ASK. Each item: pot, its whole amount, the inventory's generation, the additional amount
    wanted (0 to only renew)."""
    return _command("ask", holder, life, [list(item) for item in items])


def back(holder: str, life: int, pot: PotKey, ident: int, n: int, amount: float) -> bytes:
    return _command("back", holder, life, ident, n, float(amount), list(pot))


def close(pot: PotKey, ident: int, turn: int) -> bytes:
    return _command("close", ident, turn, list(pot))


@dataclass(slots=True)
class Closing:
    """The leader's choice of leases to close. Not replicated: a new leader waits a whole lease first."""

    lease_s: float  # Seconds without a renewal after which a lease is closed.
    # By lease: its turn, and when it was first seen.
    turns_seen: dict[int, tuple[int, float]] = field(default_factory=dict)

    def due(self, now: float, budgets: Budgets) -> list[tuple[PotKey, int, int]]:
        """Return the leases to close, each with pot, lease and turn. The time counts from when this leader
        first saw the turn, which is after the holder sent its request."""
        found, turns = [], dict[int, tuple[int, float]]()
        for key, lease in budgets.open_leases():
            turn, since_s = self.turns_seen.get(lease.id, (0, now))
            turns[lease.id] = (turn, since_s) if turn == lease.turn else (lease.turn, now)
            if now - turns[lease.id][1] > self.lease_s:
                found.append((key, lease.id, lease.turn))
        self.turns_seen = turns
        return found
