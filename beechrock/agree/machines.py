"""The state machines to which the log's commands are applied, each proposal at most once. Pure.

A command's first bytes name its machine. A proposer numbers its proposals within its life and sends the
number below which it knows all outcomes (``acked``); a session remembers the applied numbers from there on,
so that a proposal which was sent twice, or appended by two leaders, has one effect. After an entry of a newer
life of a proposer, entries of its older lives have no effect.

Invariants: for each (proposer, life, number) at most one command reaches a machine; at most
``MAX_OPEN_PROPOSALS`` numbers per session and ``MAX_SESSIONS`` sessions are kept; results depend neither on
time nor on the node.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any, Protocol

import msgpack

from beechrock.agree.errors import BadMessageError
from beechrock.agree.messages import Entry, EntryKind
from beechrock.agree.rules import MAX_OPEN_PROPOSALS, MAX_SESSIONS

SNAPSHOT_VERSION = 1


class Machine(Protocol):
    """A deterministic state machine; it answers a bad command by a result, never by an exception."""

    def apply(self, index: int, command: bytes) -> Any:
        """Apply the command of the entry at ``index``; return its result."""

    def snapshot(self) -> bytes:
        """Return the machine's whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the machine's state by a state that ``snapshot`` returned."""


class NoEffect(Enum):
    """Why an entry had no effect."""

    NO_COMMAND = auto()
    DUPLICATE = auto()  # the proposal was applied before, or its number is outside the session's window
    PAST_LIFE = auto()  # the proposal is of a former life of its proposer
    NO_MACHINE = auto()


@dataclass(slots=True)
class Session:
    """Applied proposals of one proposer.

    ``applied``: applied numbers at or above ``floor``; the proposer knows the outcome of all lower numbers.
    """

    life: int
    floor: int = 1
    applied: set[int] = field(default_factory=set)
    last_index: int = 0  # index of the newest entry of this proposer


def wrap(machine: str, command: bytes) -> bytes:
    """Return the command, prefixed with the name of its machine (at most 255 bytes)."""
    name = machine.encode()
    return bytes([len(name)]) + name + command


class StateMachines:
    """All state machines of a node, and the sessions of the proposers."""

    def __init__(self, machines: Mapping[str, Machine], dedup: bool = True) -> None:
        self.machines = machines
        self.sessions: dict[str, Session] = {}
        self.dedup = dedup
        # States of machines that this program version does not have; they are kept for the next snapshot.
        self.unhosted: dict[str, bytes] = {}

    def apply(self, entry: Entry) -> Any:
        """Apply an entry; return the machine's result, or the reason why it had no effect."""
        if entry.kind is not EntryKind.COMMAND:
            return NoEffect.NO_COMMAND
        no_effect = self._record(entry)
        if no_effect is not None:
            return no_effect
        size = entry.data[0] if entry.data else 0
        machine = self.machines.get(entry.data[1 : 1 + size].decode(errors="replace"))
        if machine is None:
            return NoEffect.NO_MACHINE
        return machine.apply(entry.index, entry.data[1 + size :])

    def _record(self, entry: Entry) -> NoEffect | None:
        """Record the proposal as applied; return None, or the reason why it must have no effect."""
        session = self._session(entry)
        if not self.dedup:
            return None
        if entry.life < session.life:
            return NoEffect.PAST_LIFE
        session.last_index = entry.index
        if entry.acked > session.floor:
            session.floor = entry.acked
            session.applied = {seq for seq in session.applied if seq >= session.floor}
        known = entry.seq < session.floor or entry.seq in session.applied
        if known or entry.seq >= session.floor + MAX_OPEN_PROPOSALS:
            return NoEffect.DUPLICATE
        session.applied.add(entry.seq)
        return None

    def _session(self, entry: Entry) -> Session:
        """Return the session of the entry's proposer, or start one for a new proposer or a newer life."""
        session = self.sessions.get(entry.proposer)
        if session is None or entry.life > session.life:
            if session is None and len(self.sessions) >= MAX_SESSIONS:
                del self.sessions[min(self.sessions, key=lambda name: (self.sessions[name].last_index, name))]
            session = self.sessions[entry.proposer] = Session(entry.life)
        return session

    def is_applied(self, proposer: str, life: int, seq: int) -> bool:
        """Return whether the proposal was applied in the session of this life."""
        session = self.sessions.get(proposer)
        if session is None or session.life != life:
            return False
        return seq < session.floor or seq in session.applied

    def snapshot(self) -> bytes:
        """Return the encoded state of all machines and sessions."""
        sessions = [
            (name, session.life, session.floor, sorted(session.applied), session.last_index)
            for name, session in sorted(self.sessions.items())
        ]
        hosted = {name: machine.snapshot() for name, machine in self.machines.items()}
        machines = sorted({**self.unhosted, **hosted}.items())
        data: bytes = msgpack.packb((SNAPSHOT_VERSION, sessions, machines))
        return data

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's. Raises BadMessageError if it cannot be read."""
        try:
            version, sessions, machines = msgpack.unpackb(data)
            if version != SNAPSHOT_VERSION:
                raise BadMessageError(
                    f"snapshot of version {version}", where="agreed log", wanted="version 1"
                )
            self.sessions = {
                name: Session(life, floor, set(applied), last_index)
                for name, life, floor, applied, last_index in sessions
            }
        except (ValueError, TypeError, msgpack.exceptions.UnpackException) as error:
            raise BadMessageError(f"snapshot cannot be read: {error}", where="agreed log") from error
        self.unhosted = {}
        for name, held in machines:
            if name in self.machines:
                self.machines[name].restore(held)
            else:
                self.unhosted[name] = held
