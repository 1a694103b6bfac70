"""Errors of the replica, as shown to operators."""

from beechrock.errors import OperatorError


class ReplicaError(OperatorError):
    """Base class of the errors of ``replica``."""

    event = "replica.error"


class ReplicaFullError(ReplicaError):
    """A bound of the replica is reached; nothing was written."""

    event = "replica.full"


class ReplicaRecordError(ReplicaError):
    """A record, message or snapshot cannot be read: it is damaged, or was written by a newer version."""

    event = "replica.record"


class UnknownRecordError(ReplicaError):
    """No record of that kind and key is held here."""

    event = "replica.unknown"
    exit_code = 1


class NotKeptError(ReplicaError):
    """No majority acknowledged a change in time; this node has it, and still sends it to the others."""

    event = "replica.not_kept"


class BrokenInvariantError(ReplicaError):
    """An invariant of the replica is violated: this node's replica has stopped; the node goes on serving."""

    event = "replica.broken"
