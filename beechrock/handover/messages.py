"""Messages between the two processes of one node. Their times are steady seconds of the local process."""

from dataclasses import dataclass

VERSION = 2  # Version of the protocol that this process speaks
# Bits of ``Hello.features``: messages that a process understands beyond those of its version.
MEMORY_PARTS = 1
FEATURES = MEMORY_PARTS


@dataclass(frozen=True, slots=True)
class Hello:
    """The first message from both ends; its format is the same in all versions, which may append to it."""

    version: int = VERSION
    features: int = 0


@dataclass(frozen=True, slots=True)
class Deferral:
    """The sender cannot vouch for keys yet, as it has a predecessor itself."""


@dataclass(frozen=True, slots=True)
class KeyClaimed:
    """The sender has begun, or may begin, a run of this key; attempts born up to ``until_s`` repeat it."""

    key: bytes
    digest: bytes
    until_s: float


@dataclass(frozen=True, slots=True)
class ClaimsSynced:
    """All existing claims of the sender have been sent; later claims are sent before their runs begin."""


@dataclass(frozen=True, slots=True)
class SuccessorReady:
    """The successor accepts connections, and its health check reports ready."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A successor requests the right to run a key until ``until_s``, for an attempt born at ``born_s``."""

    key: bytes
    digest: bytes
    born_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class KeyGranted:
    """The successor may run the key until the time that it requested."""

    key: bytes


@dataclass(frozen=True, slots=True)
class KeyDenied:
    """The key is not granted: a preceding ``KeyClaimed`` claims it, or the sender is in doubt."""

    key: bytes


@dataclass(frozen=True, slots=True)
class KeyReleased:
    """The sender gives up its claim or grant of the key, as no run began."""

    key: bytes


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run under the sender's claim has ended, with this result or without one."""

    key: bytes
    succeeded: bool
    media: str = ""
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The current load of the sender."""

    runs: int
    kb: float
    calls: int
    connections: int


@dataclass(frozen=True, slots=True)
class MemoryLimit:
    """A successor's statement, first on each channel, of how much of the node's memory it may use."""

    kb: float


@dataclass(frozen=True, slots=True)
class MemoryRequest:
    """A request for a part of the receiver's memory, which is answered by one ``MemoryGrant``."""

    kb: float


@dataclass(frozen=True, slots=True)
class MemoryGrant:
    """Memory that the sender does not use any more and the receiver may use; may be 0."""

    kb: float


@dataclass(frozen=True, slots=True)
class DrainCommand:
    """An operator's command that sets whether the node is drained."""

    drained: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender was asked to leave."""


Message = (
    Hello
    | Deferral
    | KeyClaimed
    | ClaimsSynced
    | SuccessorReady
    | GrantRequest
    | KeyGranted
    | KeyDenied
    | KeyReleased
    | RunEnded
    | LoadReport
    | MemoryLimit
    | MemoryRequest
    | MemoryGrant
    | DrainCommand
    | Leaving
)
