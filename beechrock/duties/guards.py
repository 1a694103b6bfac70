"""The safety rules of the duties, by name. Only tests and benchmarks take one out (``without``)."""

from enum import StrEnum


class Guard(StrEnum):
    """Each is in force unless it is named in ``without``."""

    NEW_LEADER_WAITS = "new_leader_waits"  # a new leader waits a lease for what the last one renewed
    FROM_SENT = "from_sent"  # a lease counts from the sending of the request
    QUIET_GAP = "quiet_gap"  # a gap of a new leader's clock counts as no time of that wait
    QUIET_ONCE = "quiet_once"  # nor does what passed before an earlier grantor of its own
    DRIFT = "drift"  # a holder stops DRIFT before its lease's end
    LEASE_END = "end"  # nobody acts after the lease's end
    PAUSE = "pause"  # nor after a pause, before the leader was asked again
    LEADER_LEASE = "leading"  # the leader answers only under its own lease
    LEADER_EPOCH = "reign"  # commands of an earlier leader are refused
    REPLACED_FENCE = "after"  # a grant names the one that it replaces
    ENDING = "ending"  # what a proposal replaces is not renewed
    LEADER_PAUSE = "leader_pause"  # a gap of the leader's clock counts as no time
    STOP_FIRST = "stop_first"  # a fence is given back only when the worker has stopped
    TAKE_OVER = "taking"  # no act before the predecessor's state is taken over
    FENCE = "fence"  # receivers refuse a lower fence
    DURABLE = "durable"  # a receiver syncs a fence before it accepts under it
    PROGRESS = "progress"  # a holder without progress is asked to yield
    EARLIER_LEADER = "earlier_reign"  # a grant of an earlier leader counts as renewed
    RENEWED_ONCE = "was_renewed"  # a grant that was renewed once is not unclaimed
