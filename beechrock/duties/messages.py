"""Messages between members and the leader about duties, and their encoding (msgpack, the version first).

A member sends a ``RenewalRequest`` to the leader several times per lease, as a heartbeat with the duties that
it supports and those that it holds. A ``RenewalReply`` is the leader's answer, which no log records. Both may
be lost, duplicated, delayed and reordered.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

import msgpack

VERSION = 1  # format version of the messages
MAX_FENCES = 4096  # maximum number of fences read from one message


class MessageKind(IntEnum):
    """Number that identifies the kind of a message on the wire."""

    RENEWAL_REQUEST = 0
    RENEWAL_REPLY = 1
    MOVE_REQUEST = 2


@dataclass(frozen=True, slots=True)
class HeldFence:
    """Fence that the sender holds for a duty, with the progress of its worker."""

    name: str  # name of the duty
    fence: int
    done: int  # amount of work completed since the worker's start; it never decreases
    waiting: int  # amount of work that could be done now but is not


@dataclass(frozen=True, slots=True)
class RenewalRequest:
    """Request from a member to the leader to renew its leases."""

    seq: int  # sequence number, copied to the reply
    life: int  # incarnation number of the sender's process
    hall: str
    hardware: str
    serving: bool  # whether the sender may be granted duties
    leaving: bool  # whether the sender gives its duties back in order to leave
    supported_digest: int  # digest of the names of the duties for which the sender has workers
    supported: tuple[str, ...] | None  # names of those duties if the leader needs them, else None
    held: tuple[HeldFence, ...]  # fences that the sender holds


class RenewedLease(NamedTuple):
    """Fence whose lease the leader renews, and the length of the lease in seconds."""

    fence: int
    lease_s: float


@dataclass(frozen=True, slots=True)
class RenewalReply:
    """Reply from the leader to a member.

    ``seq`` 0 marks a message that answers no request, and therefore renews nothing.
    """

    seq: int  # sequence number of the request
    life: int  # incarnation number of the member's process; another process ignores the reply
    renewed: tuple[RenewedLease, ...]  # leases that the leader renews
    yield_fences: tuple[int, ...]  # fences that the member must give back
    send_supported: bool  # whether the next request must list the supported duties


@dataclass(frozen=True, slots=True)
class MoveRequest:
    """Operator's request, forwarded to the leader, to ask a duty's holder to yield."""

    name: str  # name of the duty


Message = RenewalRequest | RenewalReply | MoveRequest


def encode(message: Message) -> bytes:
    """Return the encoded message."""
    match message:
        case MoveRequest():
            fields: list[Any] = [VERSION, int(MessageKind.MOVE_REQUEST), message.name]
        case RenewalRequest():
            held = [(held.name, held.fence, held.done, held.waiting) for held in message.held]
            fields = [
                VERSION,
                int(MessageKind.RENEWAL_REQUEST),
                message.seq,
                message.life,
                message.hall,
                message.hardware,
                message.serving,
                message.leaving,
                message.supported_digest,
                message.supported,
                held,
            ]
        case RenewalReply():
            fields = [
                VERSION,
                int(MessageKind.RENEWAL_REPLY),
                message.seq,
                message.life,
                message.renewed,
                message.yield_fences,
                message.send_supported,
            ]
    packed: bytes = msgpack.packb(fields)
    return packed


def decode(data: bytes) -> Message | None:
    """Return the decoded message, or None if the version is unknown or the data is malformed."""
    try:
        fields = msgpack.unpackb(data)
        if fields[0] != VERSION:
            return None
        if fields[1] == MessageKind.RENEWAL_REQUEST:
            return _request(fields)
        if fields[1] == MessageKind.MOVE_REQUEST:
            return MoveRequest(str(fields[2]))
        return _reply(fields)
    except (ValueError, TypeError, LookupError, msgpack.UnpackException):
        return None


def _request(fields: list[Any]) -> RenewalRequest:
    _, _, seq, life, hall, hardware, serving, leaving, digest, supported, held = fields
    return RenewalRequest(
        int(seq),
        int(life),
        str(hall),
        str(hardware),
        bool(serving),
        bool(leaving),
        int(digest),
        None if supported is None else tuple(str(name) for name in supported),
        tuple(
            HeldFence(str(name), int(fence), int(done), int(waiting))
            for name, fence, done, waiting in held[:MAX_FENCES]
        ),
    )


def _reply(fields: list[Any]) -> RenewalReply:
    _, _, seq, life, renewed, yield_fences, send_supported = fields
    return RenewalReply(
        int(seq),
        int(life),
        tuple(RenewedLease(int(fence), float(lease_s)) for fence, lease_s in renewed[:MAX_FENCES]),
        tuple(int(fence) for fence in yield_fences[:MAX_FENCES]),
        bool(send_supported),
    )
