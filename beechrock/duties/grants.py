"""The agreed machine ``duties``: which duties there are, and who holds each under which fence.

Commands, each an entry of the log: DECLARE a duty; BEGIN a leadership (a new leader's first command); GRANT a
duty to a member's process, in place of the grant that has the fence ``replaces`` (0: of none); BACK, from a
holder that acts no more; REVOKE; RETIRE a duty that nobody holds; WAITS, how long members that come and go
are held down, for the next leader. A fence is the index of its GRANT; a leader's epoch is the index of its
BEGIN.

Invariants: a duty has at most one grant; fences of a duty grow; a GRANT, REVOKE or WAITS of any leader but
the last is refused, as it cannot know what a later one renewed; a GRANT that does not name what it replaces
is refused.
Deterministic: no clock, no random source; a bad command gives ``Result.BAD``, never an exception.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, StrEnum
from typing import Any

import msgpack

from beechrock.duties.errors import BrokenInvariantError, GrantsUnreadableError
from beechrock.duties.guards import Guard
from beechrock.duties.model import MAX_DUTIES, MAX_HOLD_DOWNS, Duty, Grant, Kind, WithoutQuorum

VERSION = 2  # 1 had no waits; it is still read
ALL_DUTIES = ""  # given to ``on_changed`` where any of them may have changed


class CommandKind(StrEnum):
    """What a command of the log does."""

    DECLARE = "declare"
    BEGIN = "begin"
    GRANT = "grant"
    BACK = "back"
    REVOKE = "revoke"
    RETIRE = "retire"
    WAITS = "waits"


class Result(Enum):
    """What a command had for effect."""

    DONE = "done"
    OLD_LEADER = "old reign"  # a later leader has begun
    CHANGED = "changed"  # the grant that it names is not the one in force
    UNKNOWN = "unknown"  # no such duty
    FULL = "full"
    BAD = "bad"


def _duty_fields(duty: Duty) -> list[Any]:
    return [
        duty.name,
        duty.kind.value,
        duty.scope,
        duty.halls,
        duty.hardware,
        duty.lease_s,
        duty.without_quorum.value,
    ]


def _duty(fields: list[Any]) -> Duty:
    name, kind, scope, halls, hardware, lease_s, without = fields
    return Duty(
        str(name),
        Kind(kind),
        str(scope),
        tuple(str(hall) for hall in halls),
        tuple(str(hardware_class) for hardware_class in hardware),
        float(lease_s),
        WithoutQuorum(without),
    )


def _pack(*fields: Any) -> bytes:
    packed: bytes = msgpack.packb(fields)
    return packed


def _command(kind: CommandKind, *fields: Any) -> bytes:
    return _pack(kind.value, *fields)


def declare(duty: Duty) -> bytes:
    """Return the command that adds or changes a duty."""
    return _command(CommandKind.DECLARE, *_duty_fields(duty))


def begin(member: str, life: int, term: int) -> bytes:
    """Return the command that begins a leadership."""
    return _command(CommandKind.BEGIN, member, life, term)


def grant(name: str, holder: str, life: int, replaces: int, leader_epoch: int) -> bytes:
    """Return the command that grants a duty, in place of the grant with the fence ``replaces``."""
    return _command(CommandKind.GRANT, name, holder, life, replaces, leader_epoch)


def back(name: str, fence: int) -> bytes:
    """Return the command by which a holder gives its grant back."""
    return _command(CommandKind.BACK, name, fence)


def revoke(name: str, fence: int, leader_epoch: int) -> bytes:
    """Return the command by which the leader ends a grant."""
    return _command(CommandKind.REVOKE, name, fence, leader_epoch)


def retire(name: str) -> bytes:
    """Return the command that removes a duty."""
    return _command(CommandKind.RETIRE, name)


def waits(changes: dict[str, float], leader_epoch: int) -> bytes:
    """Return the command that changes hold-downs: by key the wait in seconds, 0 for one that is forgiven."""
    return _command(CommandKind.WAITS, list(changes.items()), leader_epoch)


def _ignore_change(duty: str) -> None:
    pass


class GrantTable:
    """The table, the same at every member that applied the same entries."""

    def __init__(self, without: frozenset[str] = frozenset()) -> None:
        self.without = without
        self.duties: dict[str, Duty] = {}
        self.held: dict[str, Grant] = {}
        self.floor: dict[str, int] = {}  # by duty the highest fence ever given; outlives a RETIRE
        self.waits: dict[str, float] = {}  # by key of a hold-down its wait in seconds, the oldest first
        self.leader_epoch = 0  # index of the last BEGIN
        self.leader = ""
        self.leader_life = 0
        self.applied = 0
        self.on_changed: Callable[[str], None] = _ignore_change  # set by the actor

    def shortest_s(self, default_s: float) -> float:
        """Return the shortest of all leases that hold or may be given, and the default."""
        return min(
            [
                default_s,
                *(duty.lease_s for duty in self.duties.values()),
                *(grant.lease_s for grant in self.held.values()),
            ]
        )

    # --- commands

    def apply(self, index: int, command: bytes) -> Result:
        """Apply the command of the entry at ``index``."""
        self.applied = index
        try:
            name, *fields = msgpack.unpackb(command)
            handler = HANDLERS.get(name)
            return Result.BAD if handler is None else handler(self, index, fields)
        except (ValueError, TypeError, LookupError, msgpack.UnpackException):
            return Result.BAD

    def _declare(self, index: int, fields: list[Any]) -> Result:
        duty = _duty(fields)
        if not duty.is_valid:
            return Result.BAD
        if duty.name not in self.duties and len(self.duties) >= MAX_DUTIES:
            return Result.FULL
        self.duties[duty.name] = duty
        self.on_changed(duty.name)
        return Result.DONE

    def _begin(self, index: int, fields: list[Any]) -> Result:
        leader, life = str(fields[0]), int(fields[1])  # where the second is none, nothing has changed yet
        self.leader = leader
        self.leader_life = life
        self.leader_epoch = index
        self.on_changed(ALL_DUTIES)
        return Result.DONE

    def _grant(self, index: int, fields: list[Any]) -> Result:
        name, holder, life, replaces, leader_epoch = fields
        new = Grant(str(holder), int(life), index, 0.0)
        return self._replace(str(name), new, int(replaces), int(leader_epoch))

    def _replace(self, name: str, new: Grant, replaces: int, leader_epoch: int) -> Result:
        if name not in self.duties:
            return Result.UNKNOWN
        if leader_epoch != self.leader_epoch and Guard.LEADER_EPOCH not in self.without:
            # A proposal of a leader that lost its place may come in much later, through another member.
            # It waited for what *it* renewed; its successor may have renewed since.
            return Result.OLD_LEADER
        current = self.held.get(name)
        if (
            current.fence if current is not None else 0
        ) != replaces and Guard.REPLACED_FENCE not in self.without:
            # Two proposals of one leader for one duty, the first of which was taken for lost.
            return Result.CHANGED
        if new.fence <= self.floor.get(name, 0):
            raise BrokenInvariantError(
                f"fence {new.fence} is not above {self.floor[name]}",
                where=f"duty {name}",
                wanted="log indices that grow",
                do="keep this member's folder and report it",
            )
        self.held[name] = replace(new, lease_s=self.duties[name].lease_s)
        self.floor[name] = new.fence
        self.on_changed(name)
        return Result.DONE

    def _back(self, index: int, fields: list[Any]) -> Result:
        return self._end(str(fields[0]), int(fields[1]))

    def _revoke(self, index: int, fields: list[Any]) -> Result:
        if int(fields[2]) != self.leader_epoch and Guard.LEADER_EPOCH not in self.without:
            return Result.OLD_LEADER
        return self._end(str(fields[0]), int(fields[1]))

    def _end(self, name: str, fence: int) -> Result:
        current = self.held.get(name)
        if current is None or current.fence != fence:
            return Result.CHANGED
        del self.held[name]
        self.on_changed(name)
        return Result.DONE

    def _retire(self, index: int, fields: list[Any]) -> Result:
        name = str(fields[0])
        if name not in self.duties:
            return Result.UNKNOWN
        if name in self.held:
            return Result.CHANGED
        del self.duties[name]
        self.on_changed(name)
        return Result.DONE

    def _waits(self, index: int, fields: list[Any]) -> Result:
        changes = {str(key): float(wait_s) for key, wait_s in fields[0]}
        if int(fields[1]) != self.leader_epoch:
            return Result.OLD_LEADER
        for key, wait_s in changes.items():
            self.waits.pop(key, None)
            if wait_s > 0.0:
                self.waits[key] = wait_s
        while len(self.waits) > MAX_HOLD_DOWNS:
            del self.waits[next(iter(self.waits))]
        return Result.DONE

    # --- snapshots

    def snapshot(self) -> bytes:
        """Return the whole table."""
        return _pack(
            VERSION,
            self.leader_epoch,
            self.leader,
            self.leader_life,
            self.applied,
            [_duty_fields(duty) for duty in self.duties.values()],
            [(name, held.holder, held.life, held.fence, held.lease_s) for name, held in self.held.items()],
            list(self.floor.items()),
            list(self.waits.items()),
        )

    def restore(self, data: bytes) -> None:
        """Set the table to a snapshot's. Raises GrantsUnreadableError for another version, or none."""
        try:
            version, *fields = msgpack.unpackb(data)
            if version not in (1, VERSION):
                raise GrantsUnreadableError(
                    f"grants of format {version}",
                    where="snapshot of duties",
                    wanted=f"format 1 to {VERSION}",
                    do="run the program that wrote it, or a newer one",
                )
            if version == 1:
                fields.append([])
            leader_epoch, leader, life, applied, duties, held, floor, waits = fields
            self.duties = {duty.name: duty for duty in map(_duty, duties)}
            self.held = {str(name): Grant(*grant) for name, *grant in held}
            self.floor = {str(name): int(fence) for name, fence in floor}
            self.waits = {str(key): float(wait_s) for key, wait_s in waits}
        except (ValueError, TypeError, LookupError, msgpack.UnpackException):
            raise GrantsUnreadableError(
                "no snapshot of grants", where="snapshot of duties", do="take it again from another member"
            ) from None
        self.leader_epoch = int(leader_epoch)
        self.leader = str(leader)
        self.leader_life = int(life)
        self.applied = int(applied)
        self.on_changed(ALL_DUTIES)


HANDLERS: dict[str, Callable[[GrantTable, int, list[Any]], Result]] = {
    CommandKind.DECLARE: GrantTable._declare,
    CommandKind.BEGIN: GrantTable._begin,
    CommandKind.GRANT: GrantTable._grant,
    CommandKind.BACK: GrantTable._back,
    CommandKind.REVOKE: GrantTable._revoke,
    CommandKind.RETIRE: GrantTable._retire,
    CommandKind.WAITS: GrantTable._waits,
}
