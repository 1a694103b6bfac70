"""The state that a node knows of each peer, and a message to send to one."""

from dataclasses import dataclass

from beechrock.replica.messages import Message


@dataclass(frozen=True, slots=True)
class Say:
    """A message to send."""

    to: str
    message: Message
    after: int  # Number of changes that must be synced before the message is sent.


@dataclass(slots=True)
class PeerState:
    """The state of a peer as its messages reported it."""

    at_s: float = float("-inf")  # Time of its last message, in monotonic seconds.
    stage: str = ""  # Its stage of catch-up.
    count: int = 0  # Number of records that it holds.
    root: bytes = b""  # Root digest of its records.
    acked_upto: int = -1  # The peer holds all changes of this node up to this number; -1 if unknown.
    verdict: str = ""  # This node's verdict on the peer's store.
    opening: bytes = b""  # Digest of the opening of its store, from its last Hello.
    resets: int = 0  # Number of resets in its life (Catchup.resets), from its last Hello.
    outdated: bool = False  # Whether it must take a full copy before its records are accepted.
