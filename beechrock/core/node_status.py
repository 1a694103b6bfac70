"""The node's health and advice as last set by the decision module; front ends report them to callers."""

from dataclasses import dataclass


@dataclass(slots=True)
class NodeStatus:
    """Status of the node; only the action executor writes it."""

    healthy: bool = True
    cached: bool = False  # whether health checks report ``healthy`` without testing whether runs can start
    advice: float | None = None  # value sent with each answer; None: not sent
    idle_s: float = 0.0  # seconds after which idle connections are closed; 0: as in the settings
