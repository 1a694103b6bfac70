"""Replicated state machine ``duties``: the declared duties, and the holder and fence of each.

Each command is an entry of the agreed log:
- DECLARE adds or changes a duty.
- BEGIN starts a leadership; it is a new leader's first command.
- GRANT gives a duty to a member's process and replaces the grant with the fence ``replaces`` (0 for none).
- BACK comes from a holder that has stopped acting, and ends its grant.
- REVOKE ends a grant on behalf of the leader.
- RETIRE removes a duty that no member holds.
- WAITS records the hold-downs of unstable members for the next leader.

A fence is the log index of its GRANT; a leader's epoch is the log index of its BEGIN.

Invariants: a duty has at most one grant; the fences of a duty increase; a GRANT, REVOKE or WAITS from any
leader but the latest is refused, because that leader cannot know which leases a later one renewed; a GRANT
whose ``replaces`` is not the current fence is refused.
The machine is deterministic, without clock or random source. A malformed command results in ``Result.BAD``,
never in an exception.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, StrEnum
from typing import Any

import msgpack

from beechrock.duties.errors import BrokenInvariantError, GrantsUnreadableError
from beechrock.duties.guards import Guard
from beechrock.duties.model import MAX_DUTIES, MAX_HOLD_DOWNS, Duty, Grant, Kind, WithoutQuorum

VERSION = 2  # format of the snapshot; format 1 had no hold-downs and is still read
ALL_DUTIES = ""  # argument of ``on_changed`` when any of the duties may have changed


class CommandKind(StrEnum):
    """Kind of a log command, described at the head of this module."""

    DECLARE = "declare"
    BEGIN = "begin"
    GRANT = "grant"
    BACK = "back"
    REVOKE = "revoke"
    RETIRE = "retire"
    WAITS = "waits"


class Result(Enum):
    """Result of applying a command."""

    DONE = "done"
    OLD_LEADER = "old reign"  # the command comes from a leader that has a successor
    CHANGED = "changed"  # the command does not match the current grant of the duty
    UNKNOWN = "unknown"  # the duty is not declared
    FULL = "full"  # the table has its maximum number of duties
    BAD = "bad"  # the command is malformed or its values are out of bounds


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
    """Return the command DECLARE, which adds or changes a duty."""
    return _command(CommandKind.DECLARE, *_duty_fields(duty))


def begin(member: str, life: int, term: int) -> bytes:
    """Return the command BEGIN, which starts a leadership."""
    return _command(CommandKind.BEGIN, member, life, term)


def grant(name: str, holder: str, life: int, replaces: int, leader_epoch: int) -> bytes:
    """Return the command GRANT, which replaces the grant with the fence ``replaces`` (0 for none)."""
    return _command(CommandKind.GRANT, name, holder, life, replaces, leader_epoch)


def back(name: str, fence: int) -> bytes:
    """Return the command BACK, with which a holder gives its grant back."""
    return _command(CommandKind.BACK, name, fence)


def revoke(name: str, fence: int, leader_epoch: int) -> bytes:
    """Return the command REVOKE, with which the leader ends a grant."""
    return _command(CommandKind.REVOKE, name, fence, leader_epoch)


def retire(name: str) -> bytes:
    """Return the command RETIRE, which removes a duty."""
    return _command(CommandKind.RETIRE, name)


def waits(changes: dict[str, float], leader_epoch: int) -> bytes:
    """Return the command WAITS, which changes hold-downs.

    ``changes`` maps the key of a hold-down to its length in seconds; 0 removes it.
    """
    return _command(CommandKind.WAITS, list(changes.items()), leader_epoch)


def _ignore_change(duty: str) -> None:
    pass


class GrantTable:
    """Table of duties and grants, identical at every member that has applied the same log entries."""

    def __init__(self, without: frozenset[str] = frozenset()) -> None:
        self.without = without
        self.duties: dict[str, Duty] = {}
        self.held: dict[str, Grant] = {}
        self.floor: dict[str, int] = {}  # highest fence ever granted, by duty; a RETIRE does not remove it
        self.waits: dict[str, float] = {}  # length of each hold-down in seconds, by key, the oldest first
        self.leader_epoch = 0  # log index of the last BEGIN
        self.leader = ""
        self.leader_life = 0
        self.applied = 0
        # Called with the name of a changed duty, or ALL_DUTIES; the actor in part.py sets it.
        self.on_changed: Callable[[str], None] = _ignore_change

    def shortest_s(self, default_s: float) -> float:
        """Return the shortest lease in seconds among ``default_s``, the duties and the current grants."""
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
        leader, life = str(fields[0]), int(fields[1])  # both parsed first: an error must leave no change
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
            # A proposal of a former leader may be applied much later, forwarded by another member. That
            # leader waited for the leases that it renewed itself; its successor may have renewed others.
            return Result.OLD_LEADER
        current = self.held.get(name)
        if (
            current.fence if current is not None else 0
        ) != replaces and Guard.REPLACED_FENCE not in self.without:
            # A leader that considers a proposal lost makes a second proposal; only one of the two may apply.
            return Result.CHANGED
        if new.fence <= self.floor.get(name, 0):
            raise BrokenInvariantError(
                f"fence {new.fence} is not above {self.floor[name]}",
                where=f"duty {name}",
                wanted="increasing log indices",
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
        """Return the whole table, packed."""
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
        """Replace the table by that of a snapshot.

        Raises GrantsUnreadableError if the format is unknown or the data is not a snapshot.
        """
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
                "not a snapshot of grants", where="snapshot of duties", do="copy it again from another member"
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
