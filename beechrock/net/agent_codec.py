"""Codec of the render farm agent's line protocol: decodes notices, encodes commands. No I/O.

A line consists of fields separated by spaces; the first field is its kind. The names used on the wire appear
in this module only.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from beechrock.interface import Outcome
from beechrock.net.connection import BadInputError

RUN_OVER, CALL_WANTED, SKIPPED = "outcome", "request", "aside"  # kinds of the numbered notices
NUMBERED = (RUN_OVER, CALL_WANTED, SKIPPED)
OUTCOMES = {"PASS": Outcome.OK, "FAIL": Outcome.ERROR, "KILLED": Outcome.STOPPED, "NOOP": Outcome.MOOT}
WARM = "LOADED"  # field of a greeting: the agent needs no warm-up
PASSED = "PASS"  # result field of a health check that passed
LIVENESS_TAG = "quiet"  # tag of sample requests that only probe whether the agent is alive
LAUNCH = "launch"  # the command that starts a run; refusals name it too
MAX_AGE_MS = 1e12  # thirty years: the maximum age of a run or of the agent that is accepted as valid


class RunNotice(NamedTuple):
    """Notice that a run has ended.

    A named tuple, as there is one for each request: it costs less than a frozen dataclass.
    """

    number: int
    trace: str
    outcome: Outcome
    elapsed_s: float
    result: bytes


class CallNotice(NamedTuple):
    """Notice that a run waits for the reply to a call.

    A named tuple for its lower cost, as a request may have several.
    """

    number: int
    trace: str
    body: bytes


@dataclass(frozen=True, slots=True)
class SkippedNotice:
    """Notice number whose notice does not concern this node."""

    number: int


@dataclass(frozen=True, slots=True)
class SampleNotice:
    """Values of the gauges, in answer to the sample request with this tag."""

    tag: str
    values: list[float]


@dataclass(frozen=True, slots=True)
class GreetingNotice:
    """Answer to a subscription: whether the agent warms up, and seconds since it started."""

    warming_up: bool
    age_s: float


@dataclass(frozen=True, slots=True)
class ExerciseNotice:
    """Result of a health check's work."""

    tag: str
    passed: bool


@dataclass(frozen=True, slots=True)
class RefusalNotice:
    """Refusal of a command: the command's kind, then its arguments."""

    arguments: list[str]


Notice = (
    RunNotice | CallNotice | SkippedNotice | SampleNotice | GreetingNotice | ExerciseNotice | RefusalNotice
)


def has_body(fields: list[str]) -> bool:
    """Return whether a body follows the line."""
    return fields[0] == CALL_WANTED or (fields[0] == RUN_OVER and len(fields) > 5)


def decode(fields: list[str], body: bytes) -> Notice | None:
    """Return the decoded notice, or None if its kind is unknown.

    Raises BadInputError, LookupError or ValueError if it is malformed.
    """
    match fields[0]:
        case "outcome":
            number, trace, outcome = int(fields[1]), fields[2], OUTCOMES[fields[3]]
            elapsed_s = seconds_from_ms(fields[4])
            if outcome is Outcome.OK and len(fields) != 6:
                raise BadInputError("a result without its length")
            return RunNotice(number, trace, outcome, elapsed_s, body)
        case "request":
            number, trace = int(fields[1]), fields[2]
            if len(fields) != 4:
                raise BadInputError("a call without the length of its body")
            return CallNotice(number, trace, body)
        case "aside":
            return SkippedNotice(int(fields[1]))
        case "sampled":
            return SampleNotice(fields[1], [finite(text) for text in fields[2:]])
        case "greeting":
            return GreetingNotice(fields[1] != WARM, seconds_from_ms(fields[2]))
        case "exercised":
            return ExerciseNotice(fields[1], fields[2] == PASSED)
        case "refusal":
            return RefusalNotice(fields[1:])
    return None


def finite(text: str) -> float:
    """Parse a finite number. Raises BadInputError or ValueError."""
    value = float(text)
    if not math.isfinite(value):
        raise BadInputError(f"{text}: not finite")
    return value


def seconds_from_ms(milliseconds: str) -> float:
    """Parse a duration in milliseconds and return it in seconds. Raises BadInputError or ValueError."""
    value = finite(milliseconds)
    if not 0 <= value <= MAX_AGE_MS:
        raise BadInputError(f"{milliseconds}: not a valid duration")
    return value / 1000


def subscribe_line(last_notice: int) -> str:
    """Return the handshake of a link: a subscription to all notices after number ``last_notice``."""
    return f"subscribe {last_notice}"


def sample_line(tag: str) -> str:
    """Return the command that requests the gauges."""
    return f"sample {tag}"


def exercise_line(tag: str) -> str:
    """Return the command that runs a health check's work."""
    return f"exercise {tag}"


def launch_line(trace: str, route: str) -> str:
    """Return the command that starts a run."""
    return f"{LAUNCH} {trace} {route}"


def pause_line(trace: str) -> str:
    """Return the command that pauses a run."""
    return f"freeze {trace}"


def resume_line(trace: str) -> str:
    """Return the command that resumes a paused run."""
    return f"thaw {trace}"


def deliver_line(trace: str) -> str:
    """Return the command that gives a run the reply to its call."""
    return f"deliver {trace}"


def forgo_line(trace: str, mark: int) -> str:
    """Return the command that lets a run continue without the reply to the call with the number ``mark``."""
    return f"forgo {trace} {mark}"
