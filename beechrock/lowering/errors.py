"""Errors of the lowering that operators see; the type determines the exit code and the log event."""

from typing import ClassVar

from beechrock.errors import OperatorError


class LoweringError(OperatorError):
    """Base class of this package's errors."""

    event: ClassVar[str] = "lowering.error"


class PolicyError(LoweringError):
    """The policy contradicts itself or names something that does not exist."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "lowering.policy_bad"


class NowhereError(LoweringError):
    """No hardware class can keep a ``must`` of a rule; the policy is rejected."""

    exit_code: ClassVar[int] = 1
    event: ClassVar[str] = "lowering.fits_nowhere"


class WitnessError(LoweringError):
    """The tables differ from the interpreter by more than the report states; the compile is discarded."""

    event: ClassVar[str] = "lowering.witness"


class PlanError(LoweringError):
    """The bytes are not a valid plan, or this program does not support its format."""

    event: ClassVar[str] = "lowering.plan_bad"


class RolloutError(LoweringError):
    """The requested step of the rollout is not possible in its current state."""

    event: ClassVar[str] = "lowering.rollout"


class BrokenInvariantError(LoweringError):
    """An invariant is broken; this node leaves the rollout and keeps serving."""

    event: ClassVar[str] = "lowering.broken"
