"""The kinds of records: type of state, priority of sending, and which of several values is in effect.
Pure."""

from collections.abc import Callable
from dataclasses import dataclass

from beechrock.replica.errors import ReplicaRecordError
from beechrock.replica.records import Causal, Own, State, Tally

MAX_KEY_BYTES = 256  # Maximum length of a key, in bytes.
MAX_KINDS = 32  # Maximum number of kinds.


def first(values: list[bytes]) -> bytes | None:
    return values[0] if values else None


def prefer_ejection(values: list[bytes]) -> bytes | None:
    """Return the value in effect among conflicting values of an ejection: an ejecting one, the greatest in
    byte order, before any that begins with ``-`` and so marks the server as healthy."""
    ejecting = [value for value in values if not value.startswith(b"-")]
    return max(ejecting) if ejecting else first(values)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of records."""

    name: str
    state: type[Tally] | type[Causal] | type[Own]
    priority: int  # Lower ones are sent first; 0 is for records that limit spending.
    # Returns the value in effect among conflicting ones.
    acting: Callable[[list[bytes]], bytes | None] = first


BUILT_IN = (
    Kind("spending", Tally, 0),  # Key: team and period.
    Kind("ejection", Causal, 1, prefer_ejection),
    Kind("note", Causal, 2),  # Free notes of operators.
    # Key: name of the writing node, alone (advice.py) or before a suffix (trial.py).
    Kind("learned", Own, 3),
)


class Kinds:
    """The known kinds by name. Records of unknown kinds, as of a newer version, are refused."""

    def __init__(self, *more: Kind) -> None:
        self.by_name = {kind.name: kind for kind in (*BUILT_IN, *more)}
        if len(self.by_name) > MAX_KINDS:
            raise ReplicaRecordError(f"{len(self.by_name)} kinds", where="kinds", wanted=f"{MAX_KINDS}")

    def of(self, name: str, key: str, state: State | None = None) -> Kind:
        """Return the kind. Raises ReplicaRecordError if it is unknown, the key is empty or too long, or the
        state is of another type."""
        kind = self.by_name.get(name)
        if kind is None:
            raise ReplicaRecordError(
                f"kind {name!r} is not known here", where=key[:64], do="run one version at all nodes"
            )
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES:
            raise ReplicaRecordError(
                f"a key of {len(key.encode())} bytes", where=name, wanted=f"1 to {MAX_KEY_BYTES}"
            )
        if state is not None and not isinstance(state, kind.state):
            raise ReplicaRecordError(
                f"a state of {type(state).__name__}", where=f"{name} {key}", wanted=kind.state.__name__
            )
        return kind
