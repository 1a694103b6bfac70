"""Data types of the grantor: its rules, its actions and its records about grants."""

from dataclasses import dataclass
from typing import NamedTuple

from beechrock.duties.messages import RenewalReply
from beechrock.duties.model import Duty, Grant

HOLD_DOWN_PROPOSAL = ""  # placeholder for the duty's name in a proposal that changes hold-downs


@dataclass(frozen=True, slots=True)
class Rules:
    """Times and rates of the grantor."""

    lease_s: float = 3.0  # default lease of a duty, in seconds
    hold_down_s: float = 5.0  # shortest hold-down of a member, in seconds
    max_moves_per_s: float = 50.0  # maximum rate of moves of duties, per second

    @property
    def silence_s(self) -> float:
        """Seconds without a request after which a member is granted nothing."""
        return self.lease_s


@dataclass(frozen=True, slots=True)
class Propose:
    """Action: propose a command to the agreed log.

    ``name`` is the duty's name, or HOLD_DOWN_PROPOSAL.
    """

    name: str
    command: bytes
    reason: str


@dataclass(frozen=True, slots=True)
class Push:
    """Action: send a reply to the member at once, without waiting for its next request."""

    member: str
    reply: RenewalReply
    name: str
    reason: str


class YieldRequest(NamedTuple):
    """Time and reason of a request to a holder to yield."""

    requested_s: float  # clock time of the request, in seconds
    reason: str


class LastProgress(NamedTuple):
    """Latest progress of a holder."""

    done: int  # the holder's count of completed work
    at_s: float  # clock time when ``done`` last changed or no work was waiting, in seconds


class Vacancy(NamedTuple):
    """Duty to be placed, with the grant to be replaced, if there is one."""

    duty: Duty
    grant: Grant | None
