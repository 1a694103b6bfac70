"""Names of the safety rules (guards) of the duties. Only tests and benchmarks disable one (``without``)."""

from enum import StrEnum


class Guard(StrEnum):
    """A safety rule; it is in force unless ``without`` contains it."""

    NEW_LEADER_WAITS = "new_leader_waits"  # a new leader waits until its predecessor's leases have expired
    FROM_SENT = "from_sent"  # a holder's lease starts when its request was sent, not when the reply arrived
    QUIET_GAP = "quiet_gap"  # a gap of a new leader's clock does not count towards its wait for old leases
    QUIET_ONCE = "quiet_once"  # a quiet period counts for one grantor only, not for the next one
    DRIFT = "drift"  # a holder's lease is shorter than the leader's by the share DRIFT
    LEASE_END = "end"  # a holder does not act after the end of its lease
    PAUSE = "pause"  # a holder does not act after a pause until the leader has answered a new request
    LEADER_LEASE = "leading"  # a leader answers requests only while its own lease is valid
    LEADER_EPOCH = "reign"  # the log refuses commands of an earlier leader
    REPLACED_FENCE = "after"  # the log refuses a grant that does not name the current grant as replaced
    ENDING = "ending"  # a grant that a pending proposal replaces is not renewed
    LEADER_PAUSE = "leader_pause"  # a gap of the leader's clock does not count towards any lease
    STOP_FIRST = "stop_first"  # a holder gives its fence back only after its worker has stopped
    TAKE_OVER_FIRST = "taking"  # a holder does not act before it has taken over the predecessor's state
    FENCE = "fence"  # a receiver refuses effects under a lower fence
    DURABLE = "durable"  # a receiver makes a fence durable before it accepts an effect under it
    PROGRESS = "progress"  # a holder that makes no progress while work waits is asked to yield
    EARLIER_LEADER = "earlier_reign"  # a grant from before this leadership counts as claimed
    RENEWED_ONCE = "was_renewed"  # a grant that was renewed once counts as claimed
